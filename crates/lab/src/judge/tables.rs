//! Each forwarder's routes and assignments over time, rebuilt from the frames that reached it.

use std::collections::BTreeMap;

use ravenspar_protocol::{kind, tag, Body, DecodeError};
use ravenspar_standin::capture::unhex;
use ravenspar_standin::{Event, Time};

/// A period in which a forwarder routed a slice to one server, or to none.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutePeriod {
    pub from: Time,
    /// `Time::MAX` if it has not ended.
    pub to: Time,
    pub server: Option<String>,
}

/// A message with lines that reached a forwarder.
#[derive(Clone, Debug)]
pub struct Message {
    pub at: Time,
    pub stream: u64,
    pub lines: u64,
    pub mark: Option<u64>,
    /// The steward's term, from its welcome.
    pub term: u64,
}

/// A period in which a forwarder was connected to a steward by a stream.
#[derive(Clone, Debug)]
pub struct Connection {
    pub stream: u64,
    pub forwarder: u64,
    pub from: Time,
    pub to: Time,
}

/// What all forwarders received during a day.
#[derive(Debug, Default)]
pub struct ForwarderTables {
    /// By forwarder and slice, in order of time.
    pub routes: BTreeMap<(u64, usize), Vec<RoutePeriod>>,
    pub connections: Vec<Connection>,
    pub messages: Vec<Message>,
    /// By forwarder and slice: the highest term received, and the stream that it was received on.
    latest_assignments: BTreeMap<(u64, usize), (u64, u64)>,
    /// By forwarder and slice: when it received an assignment, and the stream of the assigned steward, in order of time.
    pub assigned: BTreeMap<(u64, usize), Vec<(Time, u64)>>,
    /// The steward at the other end of each stream; a stream without an entry belongs to steward 0.
    stewards: BTreeMap<u64, usize>,
    /// Stale fields that reached a forwarder: from a lower term, or for a slice not assigned to their steward.
    pub refused: usize,
}

/// Stands for a stream where a slice is assigned to no steward, as far as a forwarder knows.
const NO_STREAM: u64 = u64::MAX;

/// What is known of a stream from its frames so far.
#[derive(Default)]
struct Stream {
    forwarder: Option<u64>,
    term: u64,
    servers: BTreeMap<u64, String>,
    /// The lines of the initial table received so far: server by slice.
    initial_lines: BTreeMap<usize, u64>,
    /// The assignments of the initial table received so far: slice and term.
    initial_assignments: Vec<(usize, u64)>,
}

impl ForwarderTables {
    /// Rebuilds all tables from a capture; `slices` is how many slices there are.
    pub fn new(events: &[Event], slices: usize) -> ForwarderTables {
        let mut tables = ForwarderTables::default();
        let mut streams: BTreeMap<u64, Stream> = BTreeMap::new();
        for event in events {
            match event {
                Event::Frame { at, stream, down, body } => {
                    let body = unhex(body).unwrap_or_default();
                    let entry = streams.entry(*stream).or_default();
                    // A body that can't be decoded is skipped; its receiver closes the stream.
                    let _ = tables.apply_frame(*at, *stream, entry, *down, &body, slices);
                }
                Event::Opened { stream, steward, .. } => _ = tables.stewards.insert(*stream, *steward),
                Event::Closed { at, stream } => tables.close_stream(*at, *stream),
                Event::Forwarder { at, number, state } if state == "killed" => {
                    // A killed forwarder loses its table.
                    (0..slices).for_each(|slice| tables.set_route(*at, *number, slice, None));
                    tables
                        .connections
                        .iter_mut()
                        .filter(|c| c.forwarder == *number)
                        .for_each(|c| c.to = c.to.min(*at));
                }
                _ => {}
            }
        }
        tables
    }

    /// Ends the connections of a stream.
    fn close_stream(&mut self, at: Time, stream: u64) {
        self.connections.iter_mut().filter(|c| c.stream == stream).for_each(|c| c.to = c.to.min(at));
    }

    /// Starts a new route period, and ends the one before.
    fn set_route(&mut self, at: Time, forwarder: u64, slice: usize, server: Option<String>) {
        let routes = self.routes.entry((forwarder, slice)).or_default();
        if let Some(last) = routes.last_mut().filter(|last| last.to == Time::MAX) {
            if server.is_none() && last.server.is_none() {
                return; // still without a server
            }
            last.to = at;
        }
        routes.push(RoutePeriod { from: at, to: Time::MAX, server });
    }

    /// Records an assignment that a forwarder received. Returns false if it is refused as stale.
    fn accept_assignment(&mut self, at: Time, forwarder: u64, slice: usize, term: u64, stream: u64) -> bool {
        let latest = self.latest_assignments.entry((forwarder, slice)).or_default();
        let accepted = term >= latest.0;
        if accepted {
            *latest = (term, stream);
            self.assigned.entry((forwarder, slice)).or_default().push((at, stream));
        }
        self.refused += usize::from(!accepted);
        accepted
    }

    /// Returns true if a slice is assigned to the steward at the other end; else the field is refused.
    fn accept_line(&mut self, forwarder: u64, slice: usize, stream: u64) -> bool {
        let accepted =
            self.latest_assignments.get(&(forwarder, slice)).is_some_and(|latest| latest.1 == stream);
        self.refused += usize::from(!accepted);
        accepted
    }

    /// Applies one frame that crossed stream `number`.
    fn apply_frame(
        &mut self,
        at: Time,
        number: u64,
        stream: &mut Stream,
        down: bool,
        body: &[u8],
        slices: usize,
    ) -> Result<(), DecodeError> {
        let mut body = Body::new(body)?;
        let body_kind = body.kind();
        if !down {
            while let Some((tag, mut field)) = body.field()? {
                if body_kind == kind::HELLO && tag == tag::PROXY {
                    stream.forwarder = Some(field.number()?);
                }
            }
            return Ok(());
        }
        let Some(forwarder) = stream.forwarder else { return Ok(()) };
        if body_kind == kind::WELCOME {
            self.connections.push(Connection { stream: number, forwarder, from: at, to: Time::MAX });
        }
        let (mut lines, mut mark) = (0, None);
        // Slices newly assigned by this frame, with their lines: each is one change.
        let mut new_slices: BTreeMap<usize, Option<String>> = BTreeMap::new();
        while let Some((tag, mut field)) = body.field()? {
            match (body_kind, tag) {
                (kind::WELCOME, tag::TERM) => stream.term = field.number()?,
                (_, tag::SERVER) => {
                    let server = field.number()?;
                    stream.servers.insert(server, field.text()?.to_owned());
                }
                (kind::READ, tag::CHARGE) => {
                    let (first, count, term) = (field.index()?, field.index()?, field.number()?);
                    let all = first..first.saturating_add(count).min(slices);
                    stream.initial_assignments.extend(all.map(|slice| (slice, term)));
                }
                (kind::READ, tag::LINE) => {
                    stream.initial_lines.insert(field.index()?, field.number()?);
                }
                (kind::READ, tag::END) => {
                    let lines = std::mem::take(&mut stream.initial_lines);
                    for (slice, term) in std::mem::take(&mut stream.initial_assignments) {
                        if self.accept_assignment(at, forwarder, slice, term, number) {
                            let server =
                                lines.get(&slice).and_then(|server| stream.servers.get(server)).cloned();
                            self.set_route(at, forwarder, slice, server);
                        }
                    }
                }
                (kind::TABLE, tag::CHARGE) => {
                    let (first, count, term) = (field.index()?, field.index()?, field.number()?);
                    for slice in first..first.saturating_add(count).min(slices) {
                        if self.accept_assignment(at, forwarder, slice, term, number) {
                            new_slices.insert(slice, None);
                        }
                    }
                }
                (kind::TABLE, tag::LEFT) => {
                    let (first, count) = (field.index()?, field.index()?);
                    for slice in first..first.saturating_add(count).min(slices) {
                        if self.accept_line(forwarder, slice, number) {
                            // Its line stays, but the slice has no steward until the next assignment.
                            self.assigned.entry((forwarder, slice)).or_default().push((at, NO_STREAM));
                        }
                    }
                }
                (kind::TABLE, tag::HELD) => {
                    let (slice, server) = (field.index()?, field.number()?);
                    if self.accept_line(forwarder, slice, number) {
                        new_slices.insert(slice, stream.servers.get(&server).cloned());
                    }
                }
                (kind::TABLE, tag::LINE) => {
                    lines += 1;
                    let (slice, server) = (field.index()?, field.number()?);
                    if self.accept_line(forwarder, slice, number) {
                        new_slices.remove(&slice);
                        self.set_route(at, forwarder, slice, stream.servers.get(&server).cloned());
                    }
                }
                (kind::TABLE, tag::DROP) => {
                    lines += 1;
                    let slice = field.index()?;
                    if self.accept_line(forwarder, slice, number) {
                        new_slices.remove(&slice);
                        self.set_route(at, forwarder, slice, None);
                    }
                }
                (kind::TABLE, tag::LEVEL | tag::WITHDRAW) => lines += 1,
                (kind::TABLE, tag::MARK) => {
                    lines += 1;
                    mark = Some(field.number()?);
                }
                _ => {}
            }
        }
        for (slice, server) in new_slices {
            self.set_route(at, forwarder, slice, server);
        }
        if body_kind == kind::TABLE {
            self.messages.push(Message { at, stream: number, lines, mark, term: stream.term });
        }
        Ok(())
    }

    /// Returns when a forwarder last began to route a slice to a server, up to `at`. `None` if it never did. A route that
    /// has ended by then counts too.
    pub fn routed_since(&self, forwarder: u64, slice: usize, server: &str, at: Time) -> Option<Time> {
        let routes = self.routes.get(&(forwarder, slice))?;
        let before = routes.iter().rev().filter(|route| route.from <= at);
        before.into_iter().find(|route| route.server.as_deref() == Some(server)).map(|route| route.from)
    }

    /// Returns the steward that a slice is assigned to at `at` and since when the forwarder has known it while connected
    /// to it. `None` if it isn't connected to that steward.
    pub fn assigned_since(&self, forwarder: u64, slice: usize, at: Time) -> Option<(Time, usize)> {
        let assigned = self.assigned.get(&(forwarder, slice))?;
        let (since, stream) = *assigned.iter().rev().find(|(from, _)| *from <= at)?;
        let connection =
            self.connections.iter().rev().find(|c| c.stream == stream && c.from <= at && at < c.to)?;
        Some((since.max(connection.from), self.stewards.get(&stream).copied().unwrap_or(0)))
    }

    /// The periods in which a forwarder was connected to the steward that a slice is assigned to; adjacent ones merged.
    pub fn connected_periods(&self, forwarder: u64, slice: usize) -> Vec<(Time, Time)> {
        let assigned = self.assigned.get(&(forwarder, slice)).map_or(&[][..], Vec::as_slice);
        let mut periods: Vec<(Time, Time)> = Vec::new();
        for (i, &(from, stream)) in assigned.iter().enumerate() {
            let to = assigned.get(i + 1).map_or(Time::MAX, |next| next.0);
            for connection in self.connections.iter().filter(|c| c.stream == stream) {
                let (from, to) = (from.max(connection.from), to.min(connection.to));
                match periods.last_mut() {
                    Some(last) if from <= last.1 => last.1 = last.1.max(to),
                    _ if from < to => periods.push((from, to)),
                    _ => {}
                }
            }
        }
        periods
    }

    /// How long each hand-over took, from the first revoke that any forwarder received.
    pub fn gaps(&self, events: &[Event]) -> Gaps {
        // By slice: route changes at all forwarders. The first revoke and the first grant after it make a hand-over.
        let mut changes: BTreeMap<usize, Vec<(Time, Option<&str>)>> = BTreeMap::new();
        for (&(_, slice), routes) in &self.routes {
            let received = routes.iter().map(|route| (route.from, route.server.as_deref()));
            changes.entry(slice).or_default().extend(received);
        }
        let mut writes: BTreeMap<usize, Vec<(Time, &str)>> = BTreeMap::new();
        for event in events {
            if let Event::Accepted { at, server, slice, writes: true, .. } = event {
                writes.entry(*slice as usize).or_default().push((*at, server));
            }
        }
        let mut gaps = Gaps::default();
        for (slice, mut received) in changes {
            received.sort();
            let mut owner = None;
            let mut revoked = None;
            for (at, server) in received {
                match server {
                    None if owner.is_some() && revoked.is_none() => revoked = Some(at),
                    Some(server) if owner != Some(server) => {
                        if let (Some(_), Some(from)) = (owner, revoked) {
                            gaps.until_line.push(at - from);
                            let written = writes.get(&slice).into_iter().flatten();
                            let first =
                                written.filter(|(took, at_server)| *took >= at && *at_server == server);
                            gaps.until_write.extend(first.map(|(took, _)| took - from).min());
                        }
                        (owner, revoked) = (Some(server), None);
                    }
                    _ => {}
                }
            }
        }
        gaps.until_line.sort_unstable();
        gaps.until_write.sort_unstable();
        gaps
    }
}

/// Durations of hand-overs, sorted.
#[derive(Clone, Debug, Default)]
pub struct Gaps {
    /// From a revoke to the next line.
    until_line: Vec<Time>,
    /// From a revoke to the next write.
    until_write: Vec<Time>,
}

impl Gaps {
    pub fn count(&self) -> usize {
        self.until_line.len()
    }

    pub fn median_route(&self) -> Time {
        self.until_line.get(self.until_line.len() / 2).copied().unwrap_or(0)
    }

    pub fn worst_route(&self) -> Time {
        self.until_line.last().copied().unwrap_or(0)
    }

    pub fn median_write(&self) -> Time {
        self.until_write.get(self.until_write.len() / 2).copied().unwrap_or(0)
    }

    pub fn worst_write(&self) -> Time {
        self.until_write.last().copied().unwrap_or(0)
    }
}

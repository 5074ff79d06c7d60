//! What each forwarder was told, by the frames that reached it.

use std::collections::BTreeMap;

use ravenspar_protocol::{kind, tag, Body, DecodeError};
use ravenspar_standin::capture::unhex;
use ravenspar_standin::{Event, Time};

/// A stretch of time in which a forwarder held a slice for one server, or for none.
#[derive(Clone, Debug, PartialEq)]
pub struct Span {
    pub from: Time,
    /// `Time::MAX` while it lasts.
    pub to: Time,
    pub server: Option<String>,
}

/// A message with lines that reached a forwarder.
#[derive(Clone, Debug)]
pub struct Message {
    pub at: Time,
    pub stream: u64,
    pub lines: u64,
    pub epoch: Option<u64>,
    /// The steward's, by its welcome.
    pub term: u64,
}

/// A stretch of time in which a forwarder was joined on a stream.
#[derive(Clone, Debug)]
pub struct Joined {
    pub stream: u64,
    pub forwarder: u64,
    pub from: Time,
    pub to: Time,
}

#[derive(Debug, Default)]
pub struct View {
    /// By forwarder and slice, in order of time.
    pub spans: BTreeMap<(u64, usize), Vec<Span>>,
    pub joined: Vec<Joined>,
    pub messages: Vec<Message>,
    /// By forwarder and slice: the highest term that it has been told, and the stream that told it.
    assignments: BTreeMap<(u64, usize), (u64, u64)>,
    /// By forwarder and slice: since when it has been told that a stream's steward is in charge, in order of time.
    pub owned: BTreeMap<(u64, usize), Vec<(Time, u64)>>,
    /// The steward at the other end of each stream; those not named are of the only one there is.
    stewards: BTreeMap<u64, usize>,
    /// Lines of lower terms, or of slices that their steward was not in charge of, that reached a forwarder.
    pub refused: usize,
}

/// No stream has this number: nobody is in charge of a slice, as far as a forwarder was told.
const NOBODY: u64 = u64::MAX;

#[derive(Default)]
struct Stream {
    forwarder: Option<u64>,
    term: u64,
    servers: BTreeMap<u64, String>,
    /// The whole table as far as it has been read.
    next: BTreeMap<usize, u64>,
    /// The charges of the table that is being read.
    assignments: Vec<(usize, u64)>,
}

impl View {
    pub fn new(events: &[Event], slices: usize) -> View {
        let mut view = View::default();
        let mut streams: BTreeMap<u64, Stream> = BTreeMap::new();
        for event in events {
            match event {
                Event::Frame { at, stream, down, body } => {
                    let body = unhex(body).unwrap_or_default();
                    let entry = streams.entry(*stream).or_default();
                    // A body that can't be read says nothing; whoever sent it has to bear the end of its stream.
                    let _ = view.frame(*at, *stream, entry, *down, &body, slices);
                }
                Event::Opened { stream, steward, .. } => _ = view.stewards.insert(*stream, *steward),
                Event::Shut { at, stream } => view.leave(*at, *stream),
                Event::Forwarder { at, number, state } if state == "killed" => {
                    // What it held is gone with it.
                    (0..slices).for_each(|slice| view.hold(*at, *number, slice, None));
                    view.joined
                        .iter_mut()
                        .filter(|j| j.forwarder == *number)
                        .for_each(|j| j.to = j.to.min(*at));
                }
                _ => {}
            }
        }
        view
    }

    fn leave(&mut self, at: Time, stream: u64) {
        self.joined.iter_mut().filter(|j| j.stream == stream).for_each(|j| j.to = j.to.min(at));
    }

    fn hold(&mut self, at: Time, forwarder: u64, slice: usize, server: Option<String>) {
        let spans = self.spans.entry((forwarder, slice)).or_default();
        if let Some(last) = spans.last_mut().filter(|last| last.to == Time::MAX) {
            if server.is_none() && last.server.is_none() {
                return; // it goes on without one
            }
            last.to = at;
        }
        spans.push(Span { from: at, to: Time::MAX, server });
    }

    /// A forwarder is told that a steward is in charge of a slice; whether that counts.
    fn assign(&mut self, at: Time, forwarder: u64, slice: usize, term: u64, stream: u64) -> bool {
        let known = self.assignments.entry((forwarder, slice)).or_default();
        let counts = term >= known.0;
        if counts {
            *known = (term, stream);
            self.owned.entry((forwarder, slice)).or_default().push((at, stream));
        }
        self.refused += usize::from(!counts);
        counts
    }

    /// Whether a line counts: its slice is in charge of the steward at the other end.
    fn counts(&mut self, forwarder: u64, slice: usize, stream: u64) -> bool {
        let counts = self.assignments.get(&(forwarder, slice)).is_some_and(|known| known.1 == stream);
        self.refused += usize::from(!counts);
        counts
    }

    fn frame(
        &mut self,
        at: Time,
        number: u64,
        stream: &mut Stream,
        down: bool,
        body: &[u8],
        slices: usize,
    ) -> Result<(), DecodeError> {
        let mut body = Body::new(body)?;
        let what = body.kind();
        if !down {
            while let Some((tag, mut field)) = body.field()? {
                if what == kind::HELLO && tag == tag::PROXY {
                    stream.forwarder = Some(field.number()?);
                }
            }
            return Ok(());
        }
        let Some(forwarder) = stream.forwarder else { return Ok(()) };
        if what == kind::WELCOME {
            self.joined.push(Joined { stream: number, forwarder, from: at, to: Time::MAX });
        }
        let (mut lines, mut epoch) = (0, None);
        // Slices that come into charge by this frame, with their lines: one change.
        let mut fresh: BTreeMap<usize, Option<String>> = BTreeMap::new();
        while let Some((tag, mut field)) = body.field()? {
            match (what, tag) {
                (kind::WELCOME, tag::TERM) => stream.term = field.number()?,
                (_, tag::SERVER) => {
                    let server = field.number()?;
                    stream.servers.insert(server, field.text()?.to_owned());
                }
                (kind::READ, tag::CHARGE) => {
                    let (first, count, term) = (field.index()?, field.index()?, field.number()?);
                    let all = first..first.saturating_add(count).min(slices);
                    stream.assignments.extend(all.map(|slice| (slice, term)));
                }
                (kind::READ, tag::LINE) => {
                    stream.next.insert(field.index()?, field.number()?);
                }
                (kind::READ, tag::END) => {
                    let next = std::mem::take(&mut stream.next);
                    for (slice, term) in std::mem::take(&mut stream.assignments) {
                        if self.assign(at, forwarder, slice, term, number) {
                            let server =
                                next.get(&slice).and_then(|server| stream.servers.get(server)).cloned();
                            self.hold(at, forwarder, slice, server);
                        }
                    }
                }
                (kind::TABLE, tag::CHARGE) => {
                    let (first, count, term) = (field.index()?, field.index()?, field.number()?);
                    for slice in first..first.saturating_add(count).min(slices) {
                        if self.assign(at, forwarder, slice, term, number) {
                            fresh.insert(slice, None);
                        }
                    }
                }
                (kind::TABLE, tag::LEFT) => {
                    let (first, count) = (field.index()?, field.index()?);
                    for slice in first..first.saturating_add(count).min(slices) {
                        if self.counts(forwarder, slice, number) {
                            // What it was told of the slice stands, but nobody answers for it until it is told who.
                            self.owned.entry((forwarder, slice)).or_default().push((at, NOBODY));
                        }
                    }
                }
                (kind::TABLE, tag::HELD) => {
                    let (slice, server) = (field.index()?, field.number()?);
                    if self.counts(forwarder, slice, number) {
                        fresh.insert(slice, stream.servers.get(&server).cloned());
                    }
                }
                (kind::TABLE, tag::LINE) => {
                    lines += 1;
                    let (slice, server) = (field.index()?, field.number()?);
                    if self.counts(forwarder, slice, number) {
                        fresh.remove(&slice);
                        self.hold(at, forwarder, slice, stream.servers.get(&server).cloned());
                    }
                }
                (kind::TABLE, tag::DROP) => {
                    lines += 1;
                    let slice = field.index()?;
                    if self.counts(forwarder, slice, number) {
                        fresh.remove(&slice);
                        self.hold(at, forwarder, slice, None);
                    }
                }
                (kind::TABLE, tag::LEVEL | tag::WITHDRAW) => lines += 1,
                (kind::TABLE, tag::MARK) => {
                    lines += 1;
                    epoch = Some(field.number()?);
                }
                _ => {}
            }
        }
        for (slice, server) in fresh {
            self.hold(at, forwarder, slice, server);
        }
        if what == kind::TABLE {
            self.messages.push(Message { at, stream: number, lines, epoch, term: stream.term });
        }
        Ok(())
    }

    /// Since when a forwarder has held a slice for a server, at a time; none if it does not, or did not until then.
    /// One that has let go of it counts from when it last took it.
    pub fn held_since(&self, forwarder: u64, slice: usize, server: &str, at: Time) -> Option<Time> {
        let spans = self.spans.get(&(forwarder, slice))?;
        let before = spans.iter().rev().filter(|span| span.from <= at);
        before.into_iter().find(|span| span.server.as_deref() == Some(server)).map(|span| span.from)
    }

    /// Since when a forwarder has had a slice in charge of a steward that it is joined with, and which one that is; none
    /// while it is not joined with the one in charge.
    pub fn owned_since(&self, forwarder: u64, slice: usize, at: Time) -> Option<(Time, usize)> {
        let owned = self.owned.get(&(forwarder, slice))?;
        let (since, stream) = *owned.iter().rev().find(|(from, _)| *from <= at)?;
        let joined = self.joined.iter().rev().find(|j| j.stream == stream && j.from <= at && at < j.to)?;
        Some((since.max(joined.from), self.stewards.get(&stream).copied().unwrap_or(0)))
    }

    /// Stretches in which a forwarder was joined with whoever was in charge of a slice, one after the other as one.
    pub fn covered(&self, forwarder: u64, slice: usize) -> Vec<(Time, Time)> {
        let owned = self.owned.get(&(forwarder, slice)).map_or(&[][..], Vec::as_slice);
        let mut covered: Vec<(Time, Time)> = Vec::new();
        for (i, &(from, stream)) in owned.iter().enumerate() {
            let to = owned.get(i + 1).map_or(Time::MAX, |next| next.0);
            for joined in self.joined.iter().filter(|j| j.stream == stream) {
                let (from, to) = (from.max(joined.from), to.min(joined.to));
                match covered.last_mut() {
                    Some(last) if from <= last.1 => last.1 = last.1.max(to),
                    _ if from < to => covered.push((from, to)),
                    _ => {}
                }
            }
        }
        covered
    }

    /// How long each hand-over took.
    pub fn gaps(&self, events: &[Event]) -> Gaps {
        // The first that any forwarder heard of a revoke, and of the grant after it.
        let mut changes: BTreeMap<usize, Vec<(Time, Option<&str>)>> = BTreeMap::new();
        for (&(_, slice), spans) in &self.spans {
            let reported = spans.iter().map(|span| (span.from, span.server.as_deref()));
            changes.entry(slice).or_default().extend(reported);
        }
        let mut writes: BTreeMap<usize, Vec<(Time, &str)>> = BTreeMap::new();
        for event in events {
            if let Event::Took { at, server, slice, writes: true, .. } = event {
                writes.entry(*slice as usize).or_default().push((*at, server));
            }
        }
        let mut gaps = Gaps::default();
        for (slice, mut reported) in changes {
            reported.sort();
            let mut owner = None;
            let mut revoked = None;
            for (at, server) in reported {
                match server {
                    None if owner.is_some() && revoked.is_none() => revoked = Some(at),
                    Some(server) if owner != Some(server) => {
                        if let (Some(_), Some(from)) = (owner, revoked) {
                            gaps.lines.push(at - from);
                            let written = writes.get(&slice).into_iter().flatten();
                            let first =
                                written.filter(|(took, at_server)| *took >= at && *at_server == server);
                            gaps.writes.extend(first.map(|(took, _)| took - from).min());
                        }
                        (owner, revoked) = (Some(server), None);
                    }
                    _ => {}
                }
            }
        }
        gaps.lines.sort_unstable();
        gaps.writes.sort_unstable();
        gaps
    }
}

/// Times of hand-overs, in order.
#[derive(Clone, Debug, Default)]
pub struct Gaps {
    lines: Vec<Time>,
    writes: Vec<Time>,
}

impl Gaps {
    pub fn count(&self) -> usize {
        self.lines.len()
    }

    pub fn median_route(&self) -> Time {
        self.lines.get(self.lines.len() / 2).copied().unwrap_or(0)
    }

    pub fn worst_route(&self) -> Time {
        self.lines.last().copied().unwrap_or(0)
    }

    pub fn median_write(&self) -> Time {
        self.writes.get(self.writes.len() / 2).copied().unwrap_or(0)
    }

    pub fn worst_write(&self) -> Time {
        self.writes.last().copied().unwrap_or(0)
    }
}

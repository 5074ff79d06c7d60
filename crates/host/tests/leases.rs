//! Randomised test that each slice has at most one writer, whatever is paused, cut, killed or slow: a host and model
//! proxies in simulated time.
//!
//! Proxies follow `docs/protocol.md`. The world tracks which proxy could write which slice to which server at any time; a
//! write may be in progress for as long as the settings say. Seeds of runs that once failed are kept in
//! `REGRESSION_SEEDS`.

mod common;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use common::{hello, ping, settings, LEASE, SETTLE};
use ravenspar_host::{Host, Output, Server};
use ravenspar_protocol::{kind, tag, Body, Frame};
use ravenspar_steward::{Health, ListScope, Time, SECOND};

const SLICES: usize = 3;
const PROXIES: usize = 3;
const SERVERS: [&str; 3] = ["a", "b", "c"];
/// Seeds that once found a fault. 1125: a table read without its levels. 398 and 291: two writers with a safeguard removed
/// (answers deferred after a start; joined only once all updates are applied). The steward's decisions have changed since,
/// so the seeds no longer reproduce these; `earlier_lives.rs` covers both.
const REGRESSION_SEEDS: [u64; 3] = [1125, 398, 291];

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Wake,
    ToHost { stream: u64, body: Vec<u8> },
    HostClosed { stream: u64 },
    Sent { stream: u64 },
    Committed { incarnation: u64, ticket: u64, routes: Vec<(usize, Option<String>, u64)> },
    ToProxy { proxy: usize, stream: u64, body: Vec<u8> },
    ProxyClosed { proxy: usize, stream: u64 },
    Dial { proxy: usize },
    Ping { proxy: usize, stream: u64 },
    InjectFault,
}

#[derive(Clone, Default)]
struct Proxy {
    boot: u64,
    stream: u64,
    has_table: bool,
    /// Owner, and whether the line's weight admits writes.
    owner: Vec<Option<(String, bool)>>,
    open: Vec<bool>,
    /// The table that is being read.
    new_owner: Vec<Option<(String, bool)>>,
    new_open: Vec<bool>,
    names: BTreeMap<u64, String>,
    /// Expiry of the lease.
    lease: Time,
    /// Paused until this time.
    paused: Time,
}

impl Proxy {
    /// The server that the proxy would write a slice to while its lease lasts.
    fn writer(&self, slice: usize) -> Option<&String> {
        let (owner, admits_writes) = self.owner.get(slice)?.as_ref()?;
        Some(owner).filter(|_| *admits_writes && self.open[slice])
    }
}

struct World {
    rng: fastrand::Rng,
    now: Time,
    host: Host,
    incarnation: u64,
    host_paused: Time,
    /// Owner and weight of each slice as stored on disk.
    record: BTreeMap<usize, (String, u64)>,
    committed: Time,
    proxies: Vec<Proxy>,
    /// Paused incarnations of proxies that were replaced; they may still resume.
    replaced: Vec<Proxy>,
    next_stream: u64,
    /// The proxy of each unbroken stream.
    streams: BTreeMap<u64, usize>,
    /// When the last frame of a stream arrives, per direction.
    last_arrivals: BTreeMap<(u64, bool), Time>,
    queue: BinaryHeap<Reverse<(Time, u64, Event)>>,
    event_count: u64,
    wake: Time,
    health: [Health; 3],
    /// The last time at which any proxy could write a slice to a server.
    last_writes: BTreeMap<(usize, String), Time>,
    grants: u64,
}

impl World {
    fn new(seed: u64) -> World {
        let host = Host::new(0, seed, settings(SLICES, PROXIES), 1, &[], &[]).expect("settings are complete");
        let mut world = World {
            rng: fastrand::Rng::with_seed(seed),
            now: 0,
            host,
            incarnation: 1,
            host_paused: 0,
            record: BTreeMap::new(),
            committed: 0,
            proxies: vec![Proxy::default(); PROXIES],
            replaced: Vec::new(),
            next_stream: 1,
            streams: BTreeMap::new(),
            last_arrivals: BTreeMap::new(),
            queue: BinaryHeap::new(),
            event_count: 0,
            wake: Time::MAX,
            health: [Health::Ready; 3],
            last_writes: BTreeMap::new(),
            grants: 0,
        };
        world.list();
        for proxy in 0..PROXIES {
            world.proxies[proxy].boot = proxy as u64 + 1;
            world.at(0, Event::Dial { proxy });
        }
        world.at(SECOND, Event::InjectFault);
        world.at(0, Event::Wake);
        world
    }

    /// Schedules an event.
    fn at(&mut self, time: Time, event: Event) {
        self.event_count += 1;
        self.queue.push(Reverse((time.max(self.now), self.event_count, event)));
    }

    /// Sends an event over a stream: in order, after a random delay.
    fn send(&mut self, stream: u64, down: bool, from: Time, event: Event) {
        let delay = self.rng.i64(1..300);
        let last = self.last_arrivals.entry((stream, down)).or_insert(0);
        *last = (*last).max(from + delay);
        let at = *last;
        self.at(at, event);
    }

    /// Passes the complete server list to the host.
    fn list(&mut self) {
        self.host.list_begin(ListScope::Complete);
        for (id, health) in SERVERS.iter().zip(self.health) {
            self.host.list_entry(id, "zone", "127.0.0.1:1", health, 0);
        }
        self.host.list_end(ListScope::Complete);
    }

    fn run(&mut self, until: Time) {
        while let Some(Reverse((time, number, event))) = self.queue.pop() {
            if time > until {
                return;
            }
            self.track_possible_writes(time);
            self.now = time;
            self.handle(number, event);
            self.check();
        }
    }

    /// Notes which writes were possible from the previous event until `time`.
    fn track_possible_writes(&mut self, time: Time) {
        for proxy in self.proxies.iter().chain(&self.replaced) {
            let until = time.min(proxy.lease);
            for slice in (0..SLICES).filter(|_| proxy.lease > self.now) {
                if let Some(server) = proxy.writer(slice) {
                    let last = self.last_writes.entry((slice, server.clone())).or_insert(Time::MIN);
                    *last = (*last).max(until);
                }
            }
        }
    }

    /// Asserts that no proxy may write a slice to a server while a write may be in progress at another server.
    fn check(&self) {
        for (number, proxy) in self.proxies.iter().chain(&self.replaced).enumerate() {
            for slice in (0..SLICES).filter(|_| proxy.lease > self.now) {
                let Some(server) = proxy.writer(slice) else { continue };
                for other in SERVERS.iter().filter(|other| *other != server) {
                    let last =
                        self.last_writes.get(&(slice, (*other).to_owned())).copied().unwrap_or(Time::MIN / 2);
                    assert!(
                        last + SETTLE <= self.now,
                        "at {} proxy {number} may write slice {slice} to {server}, though {other} could be written to until {last}",
                        self.now
                    );
                }
            }
        }
    }

    /// Postpones an event, keeping its order among those of its stream.
    fn postpone(&mut self, until: Time, number: u64, event: Event) {
        self.queue.push(Reverse((until, number, event)));
    }

    fn handle(&mut self, number: u64, event: Event) {
        match event {
            Event::Wake => self.wake = Time::MAX,
            Event::ToHost { .. }
            | Event::HostClosed { .. }
            | Event::Sent { .. }
            | Event::Committed { .. }
                if self.now < self.host_paused =>
            {
                if let Event::Committed { routes, .. } = &event {
                    self.commit(routes); // the disk completes the write while the process is paused
                }
                return self.postpone(self.host_paused, number, event);
            }
            Event::ToHost { stream, body } => self.host.frame(self.now, stream, &body),
            Event::HostClosed { stream } => self.host.closed(self.now, stream),
            Event::Sent { stream } => self.host.sent(self.now, stream),
            Event::Committed { incarnation, ticket, routes } => {
                self.commit(&routes);
                if incarnation == self.incarnation {
                    self.host.recorded(ticket);
                }
            }
            Event::ToProxy { proxy, .. } | Event::ProxyClosed { proxy, .. } | Event::Ping { proxy, .. }
                if self.now < self.proxies[proxy].paused =>
            {
                let until = self.proxies[proxy].paused;
                return self.postpone(until, number, event);
            }
            Event::ToProxy { proxy, stream, body } => {
                if self.proxies[proxy].stream == stream {
                    self.proxy_receives(proxy, stream, &body);
                }
            }
            Event::ProxyClosed { proxy, stream } => {
                if self.proxies[proxy].stream == stream {
                    (self.proxies[proxy].stream, self.proxies[proxy].has_table) = (0, false);
                    let wait = self.rng.i64(0..5_000);
                    self.at(self.now + wait, Event::Dial { proxy });
                }
            }
            Event::Dial { proxy } => self.dial(proxy),
            Event::Ping { proxy, stream } => {
                if self.proxies[proxy].stream == stream {
                    let body = ping(self.now);
                    self.send(stream, false, self.now, Event::ToHost { stream, body });
                    self.at(self.now + LEASE / 4, Event::Ping { proxy, stream });
                }
            }
            Event::InjectFault => self.inject_fault(),
        }
        if self.now >= self.host_paused {
            self.run_host();
        }
    }

    /// Writes routes to the disk.
    fn commit(&mut self, routes: &[(usize, Option<String>, u64)]) {
        for (slice, owner, weight) in routes {
            match owner {
                Some(owner) => _ = self.record.insert(*slice, (owner.clone(), *weight)),
                None => _ = self.record.remove(slice),
            }
        }
    }

    /// A proxy opens a stream, unless it has one.
    fn dial(&mut self, proxy: usize) {
        if self.proxies[proxy].stream != 0 {
            return;
        }
        let stream = self.next_stream;
        self.next_stream += 1;
        self.streams.insert(stream, proxy);
        self.host.opened(self.now, stream);
        let entry = &mut self.proxies[proxy];
        (entry.stream, entry.has_table) = (stream, false);
        entry.names.clear();
        (entry.new_owner, entry.new_open) = (vec![None; SLICES], vec![true; SLICES]);
        let body = hello(proxy as u64, entry.boot);
        self.send(stream, false, self.now, Event::ToHost { stream, body });
        self.at(self.now, Event::Ping { proxy, stream });
    }

    /// A proxy handles a received frame.
    fn proxy_receives(&mut self, proxy: usize, stream: u64, body: &[u8]) {
        let entry = &mut self.proxies[proxy];
        let mut body = Body::new(body).expect("valid frame");
        let frame_kind = body.kind();
        let mut answer = Frame::new(kind::ANSWER);
        let mut needs_answer = false;
        while let Some((tag, mut field)) = body.field().expect("valid field") {
            let is_table = frame_kind == kind::READ;
            match tag {
                tag::SERVER => {
                    let server = field.number().expect("valid number");
                    entry.names.insert(server, field.text().expect("valid id").to_owned());
                }
                tag::LINE => {
                    let (slice, server) =
                        (field.index().expect("valid slice"), field.number().expect("valid server"));
                    let weight = field.number().expect("valid weight");
                    let owner = entry.names.get(&server).map(|name| (name.clone(), weight >= 1_000_000));
                    *(if is_table { &mut entry.new_owner[slice] } else { &mut entry.owner[slice] }) = owner;
                }
                tag::DROP => {
                    let slice = field.index().expect("valid slice");
                    (entry.owner[slice], entry.open[slice]) = (None, true);
                }
                tag::LEVEL => {
                    let level =
                        [field.number(), field.number(), field.number()].map(|n| n.expect("valid number"));
                    if level[1] == 0 || level[1] & 2 != 0 {
                        let slice = level[0] as usize - 1;
                        (if is_table { &mut entry.new_open } else { &mut entry.open })[slice] = level[2] > 0;
                    }
                }
                tag::END | tag::MARK => {
                    answer.numbers(tag, &[field.number().expect("valid number")]);
                    needs_answer = true;
                    if is_table {
                        (entry.owner, entry.open) = (entry.new_owner.clone(), entry.new_open.clone());
                        entry.has_table = true;
                    }
                }
                tag::SENT if frame_kind == kind::ECHO && entry.has_table => {
                    entry.lease = entry.lease.max(field.time().expect("valid time") + LEASE);
                }
                _ => {}
            }
        }
        if needs_answer {
            let body = answer.finish().to_vec();
            self.send(stream, false, self.now, Event::ToHost { stream, body });
        }
    }

    /// Carries out all outputs; at random the process is paused between two of them.
    fn run_host(&mut self) {
        self.host.timeout(self.now);
        let mut from = self.now;
        while let Some(output) = self.host.poll(self.now) {
            if self.rng.u32(0..400) == 0 {
                from += self.rng.i64(0..3 * SECOND);
                self.host_paused = self.host_paused.max(from);
            }
            match output {
                Output::Frame { stream, body } => {
                    self.grants += u64::from(body[0] == kind::TABLE);
                    if let Some(&proxy) = self.streams.get(&stream) {
                        let body = body.to_vec();
                        self.send(stream, true, from, Event::ToProxy { proxy, stream, body });
                        self.at(from + 1, Event::Sent { stream });
                    }
                }
                Output::Close { stream, .. } => {
                    if let Some(proxy) = self.streams.remove(&stream) {
                        self.send(stream, true, from, Event::ProxyClosed { proxy, stream });
                    }
                }
                Output::Record { ticket, routes, .. } => {
                    let name = |server: usize| self.host.server(server).id.clone();
                    let route = |&(s, server, weight): &(usize, Option<usize>, f64)| {
                        (s, server.map(name), (weight * 1e6) as u64)
                    };
                    let routes = routes.iter().map(route).collect();
                    // Commits complete in order; the disk is slow at times.
                    let max_delay = if self.rng.u32(0..20) == 0 { 2 * SECOND } else { 100 };
                    self.committed = self.committed.max(from + self.rng.i64(1..max_delay));
                    self.at(
                        self.committed,
                        Event::Committed { incarnation: self.incarnation, ticket, routes },
                    );
                }
                Output::Joined { .. } | Output::Watch => {}
            }
        }
        let wake = self.host.next_timeout(self.now).max(self.host_paused);
        if wake < self.wake {
            self.wake = wake;
            self.at(wake, Event::Wake);
        }
    }

    /// Injects a random fault and schedules the next one.
    fn inject_fault(&mut self) {
        let delay = self.rng.i64(0..SECOND);
        self.at(self.now + delay, Event::InjectFault);
        let proxy = self.rng.usize(0..PROXIES);
        let stream = self.proxies[proxy].stream;
        match self.rng.u32(0..12) {
            // A server drains, disappears or comes back.
            0..=4 => {
                let server = self.rng.usize(0..SERVERS.len());
                self.health[server] = [Health::Ready, Health::Draining, Health::Gone][self.rng.usize(0..3)];
                self.list();
            }
            // A stream breaks: each side learns of it at its own time, and frames in transit are lost.
            5..=6 if stream != 0 => {
                self.streams.remove(&stream);
                let (a, b) = (self.rng.i64(0..8_000), self.rng.i64(0..8_000));
                self.drop_in_transit(stream);
                self.at(self.now + a, Event::HostClosed { stream });
                self.at(self.now + b, Event::ProxyClosed { proxy, stream });
            }
            // A proxy is paused.
            7 => {
                let until = self.now + self.rng.i64(0..4 * SECOND);
                self.proxies[proxy].paused = self.proxies[proxy].paused.max(until);
            }
            // A proxy is paused and replaced by another incarnation; the paused one keeps its lease and routes.
            8 => {
                let mut paused_proxy = self.proxies[proxy].clone();
                paused_proxy.stream = 0;
                self.replaced.push(paused_proxy);
                self.proxies[proxy] = Proxy { boot: 1_000 + self.event_count, ..Proxy::default() };
                let wait = self.rng.i64(0..3_000);
                self.at(self.now + wait, Event::Dial { proxy });
                if stream != 0 && self.rng.bool() {
                    self.at(self.now + wait / 2, Event::HostClosed { stream });
                }
            }
            9 => self.host_paused = self.host_paused.max(self.now + self.rng.i64(0..4 * SECOND)),
            // The steward is killed and restarts from the record on disk.
            10 if self.rng.bool() => self.restart(),
            _ => {}
        }
    }

    /// Removes the frames of a stream that are in transit.
    fn drop_in_transit(&mut self, stream: u64) {
        let on = |event: &Event| match event {
            Event::ToHost { stream: of, .. } | Event::ToProxy { stream: of, .. } => *of == stream,
            _ => false,
        };
        self.queue.retain(|Reverse((_, _, event))| !on(event));
    }

    /// Kills the steward and starts it from the record on disk.
    fn restart(&mut self) {
        self.incarnation += 1;
        self.host_paused = self.now;
        // Pending commits are lost; frames already written to sockets still arrive.
        self.queue.retain(|Reverse((_, _, event))| {
            !matches!(
                event,
                Event::Committed { .. }
                    | Event::ToHost { .. }
                    | Event::HostClosed { .. }
                    | Event::Sent { .. }
            )
        });
        for (stream, proxy) in std::mem::take(&mut self.streams) {
            self.send(stream, true, self.now, Event::ProxyClosed { proxy, stream });
        }
        let server = |id: &str| Server {
            id: id.to_owned(),
            zone: "zone".to_owned(),
            address: "127.0.0.1:1".to_owned(),
        };
        let list: Vec<_> =
            SERVERS.iter().zip(self.health).map(|(id, health)| (server(id), health, 0)).collect();
        let record = self.record.iter().map(|(&s, (owner, weight))| (s, owner.clone(), *weight as f64 / 1e6));
        let record: Vec<_> = record.collect();
        self.host = Host::new(
            self.now,
            self.incarnation,
            settings(SLICES, PROXIES),
            self.incarnation,
            &list,
            &record,
        )
        .expect("settings are complete");
        self.list();
        for proxy in 0..PROXIES {
            if self.proxies[proxy].stream == 0 {
                self.at(self.now, Event::Dial { proxy });
            }
        }
    }
}

#[test]
fn no_pause_cut_or_kill_gives_a_slice_two_writers() {
    let from: u64 = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    let runs: u64 = std::env::var("RUNS").ok().and_then(|runs| runs.parse().ok()).unwrap_or(60);
    let mut grants = 0;
    for seed in REGRESSION_SEEDS.into_iter().chain(from..from + runs) {
        println!("seed {seed}");
        let mut world = World::new(seed);
        world.run(120 * SECOND);
        grants += world.grants;
    }
    println!("{grants} messages with lines");
    assert!(grants > runs * 10, "too few moves: {grants} messages in {runs} runs");
}

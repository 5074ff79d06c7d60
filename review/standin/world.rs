//! What the store, the channels and the proxies hold, and the events that are due.

use std::collections::BinaryHeap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Figures of the deployment, as its settings state them.
#[derive(Clone)]
pub struct Site {
    pub proxies: usize,
    pub slices: usize,
    pub stewards: usize,
    pub lease_s: f64,
    pub settle_s: f64,
    pub rate: f64,
    pub head: f64,
    pub late_s: (f64, f64),
    pub redial_s: (f64, f64),
    pub sync_s: (f64, f64),
    pub grace_s: f64,
    pub messages: usize,
    pub cycle_s: f64,
    pub reports_late_s: f64,
    pub reqs_per_s: f64,
    pub cold_from: f64,
    pub cold_s: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Slice {
    /// The steward in charge, and since when.
    pub charge: Option<usize>,
    pub given_at: Option<Instant>,
    pub line: Option<String>,
    /// The store keeps it for this steward, which has died, and gives it back at its start.
    pub kept_for: Option<usize>,
}

/// What a proxy holds of a slice.
#[derive(Clone, Debug)]
pub struct Held {
    pub line: Option<String>,
    pub levels: [f64; 2],
    /// Writes end then; the store has to be read.
    pub writes_until: Option<Instant>,
}

#[derive(Clone, Debug)]
pub struct Proxy {
    pub held: Vec<Held>,
    /// By steward: since when it is joined, and a number that grows with each break.
    pub joined: Vec<Option<Instant>>,
    pub epoch: Vec<u64>,
    /// It has held a table before.
    pub seen: Vec<bool>,
}

/// The relay's view of one steward.
#[derive(Default)]
pub struct Link {
    pub news: Vec<(u64, TcpStream)>,
    pub up: bool,
    pub channel_free: Option<Instant>,
    /// When messages were written, for the report.
    pub written: Vec<Instant>,
    pub first_pong: Option<Instant>,
    /// Calls read, and the relay's troubles.
    pub calls: usize,
    pub connections: u64,
    /// The relay takes no connection and closes those that come.
    pub away: bool,
}

#[derive(Clone, Debug)]
pub enum Change {
    Line(usize, Option<String>),
    Level(Option<usize>, Vec<usize>, f64),
    Mark(u64),
}

#[derive(Clone, Debug)]
pub enum Event {
    Apply { proxy: usize, steward: usize, epoch: u64, changes: Vec<Change>, sent: Instant },
    Join { proxy: usize, steward: usize, epoch: u64 },
    Read { proxy: usize, steward: usize, epoch: u64, slice: Option<usize> },
    Give { slice: usize, steward: usize },
}

pub struct Due {
    at: Instant,
    number: u64,
    event: Event,
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// One try of a proxy at a host.
#[derive(Clone, Debug)]
pub struct Try {
    pub at: Instant,
    pub proxy: usize,
    pub slice: usize,
    pub class: usize,
    pub host: String,
    pub answered: bool,
    /// The steward in charge of the slice, and since when this proxy is joined to it.
    pub charge: Option<usize>,
    pub joined: Option<Instant>,
    pub given: Option<Instant>,
}

pub struct State {
    pub slices: Vec<Slice>,
    pub proxies: Vec<Proxy>,
    pub links: Vec<Link>,
    pub due: BinaryHeap<Due>,
    pub number: u64,
    pub tries: Vec<Try>,
    pub refused: u64,
    pub record: Vec<String>,
    pub rng: u64,
    pub over: bool,
}

pub struct World {
    pub site: Site,
    pub begun: Instant,
    pub state: Mutex<State>,
}

pub type Shared = Arc<World>;

impl World {
    pub fn new(site: Site) -> Shared {
        let held = Held { line: None, levels: [1.0; 2], writes_until: None };
        let proxy = Proxy {
            held: vec![held; site.slices],
            joined: vec![None; site.stewards],
            epoch: vec![0; site.stewards],
            seen: vec![false; site.stewards],
        };
        let state = State {
            slices: vec![Slice::default(); site.slices],
            proxies: vec![proxy; site.proxies],
            links: (0..site.stewards).map(|_| Link::default()).collect(),
            due: BinaryHeap::new(),
            number: 0,
            tries: Vec::new(),
            refused: 0,
            record: Vec::new(),
            rng: 0x9e37_79b9_7f4a_7c15,
            over: false,
        };
        Arc::new(World { site, begun: Instant::now(), state: Mutex::new(state) })
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.begun).as_secs_f64()
    }

    /// Writes a line of the record.
    pub fn note(&self, text: impl std::fmt::Display) {
        self.lock().note(self.begun, text);
    }
}

impl State {
    pub fn note(&mut self, begun: Instant, text: impl std::fmt::Display) {
        self.record.push(format!("{:8.3} {text}", begun.elapsed().as_secs_f64()));
    }

    pub fn random(&mut self) -> f64 {
        self.rng ^= self.rng << 13;
        self.rng ^= self.rng >> 7;
        self.rng ^= self.rng << 17;
        (self.rng >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&mut self, (from, to): (f64, f64)) -> Duration {
        Duration::from_secs_f64(from + (to - from) * self.random())
    }

    pub fn schedule(&mut self, at: Instant, event: Event) {
        self.number += 1;
        let number = self.number;
        self.due.push(Due { at, number, event });
    }

    /// Sends a line to all subscriptions of a steward.
    pub fn tell(&mut self, steward: usize, line: &str) {
        let text = format!("{line}\n");
        self.links[steward].news.retain_mut(|(_, socket)| socket.write_all(text.as_bytes()).is_ok());
    }

    /// The streams between the proxies and a steward break, with what is on its way.
    pub fn break_stream(&mut self, proxy: usize, steward: usize, lease_s: f64) {
        let now = Instant::now();
        let entry = &mut self.proxies[proxy];
        entry.epoch[steward] += 1;
        if entry.joined[steward].take().is_none() {
            return;
        }
        let until = now + Duration::from_secs_f64(lease_s);
        for (slice, held) in self.slices.iter().zip(&mut entry.held) {
            if slice.charge == Some(steward) {
                held.writes_until = Some(held.writes_until.map_or(until, |at| at.min(until)));
            }
        }
        self.tell(steward, &format!(r#"{{"jsonrpc":"2.0","method":"CLOSED","params":{{"id":{proxy}}}}}"#));
    }

    /// The steward's process has died.
    pub fn died(&mut self, steward: usize, site: &Site) {
        self.links[steward].news.clear();
        self.links[steward].up = false;
        self.links[steward].channel_free = None;
        self.links[steward].first_pong = None;
        for slice in 0..site.slices {
            if self.slices[slice].charge == Some(steward) {
                self.slices[slice].kept_for = Some(steward);
            }
        }
        (0..site.proxies).for_each(|proxy| self.break_stream(proxy, steward, site.lease_s));
    }

    /// The steward has subscribed after its start: proxies dial it.
    pub fn came_up(&mut self, steward: usize, site: &Site) {
        self.links[steward].up = true;
        // At its start the store gives the steward its slices back.
        for slice in 0..site.slices {
            if self.slices[slice].kept_for.take() == Some(steward) {
                self.slices[slice].charge = None;
                self.schedule(Instant::now() + Duration::from_millis(300), Event::Give { slice, steward });
            }
        }
        for proxy in 0..site.proxies {
            let at = Instant::now() + self.between(site.redial_s);
            let epoch = self.proxies[proxy].epoch[steward];
            self.schedule(at, Event::Join { proxy, steward, epoch });
        }
    }

    pub fn grant_lines(&self, slice: usize) -> Vec<String> {
        let mut lines =
            vec![format!(r#"{{"jsonrpc":"2.0","method":"GRANT","params":{{"range":{slice},"flag":true}}}}"#)];
        if let Some(host) = &self.slices[slice].line {
            lines.push(format!(
                r#"{{"jsonrpc":"2.0","method":"ROW","params":{{"range":{slice},"target":"{host}","rps":1.0}}}}"#
            ));
        }
        lines
    }

    pub fn joined_line(&self, proxy: usize, steward: usize, site: &Site) -> String {
        let rps = site.reqs_per_s / site.proxies as f64;
        let new = !self.proxies[proxy].seen[steward];
        format!(
            r#"{{"jsonrpc":"2.0","method":"SUBSCRIBE","params":{{"id":{proxy},"site":"a","rps":{rps:.1},"new":{new}}}}}"#
        )
    }

    /// Puts a slice into the charge of a steward, or of none.
    pub fn give(&mut self, slice: usize, steward: Option<usize>, site: &Site) {
        let now = Instant::now();
        if let Some(before) = self.slices[slice].charge {
            let taken =
                format!(r#"{{"jsonrpc":"2.0","method":"GRANT","params":{{"range":{slice},"flag":false}}}}"#);
            self.tell(before, &taken);
        }
        self.slices[slice].charge = steward;
        self.slices[slice].given_at = Some(now);
        let until = now + Duration::from_secs_f64(site.lease_s);
        for proxy in 0..site.proxies {
            let held = &mut self.proxies[proxy].held[slice];
            held.writes_until = Some(held.writes_until.map_or(until, |at| at.min(until)));
        }
        let Some(steward) = steward else { return };
        for line in self.grant_lines(slice) {
            self.tell(steward, &line);
        }
        for proxy in 0..site.proxies {
            if self.proxies[proxy].joined[steward].is_some() {
                let (at, epoch) = (now + self.between(site.sync_s), self.proxies[proxy].epoch[steward]);
                self.schedule(at, Event::Read { proxy, steward, epoch, slice: Some(slice) });
            }
        }
    }

    fn happen(&mut self, event: Event, site: &Site) {
        let now = Instant::now();
        match event {
            Event::Join { proxy, steward, epoch } => {
                if !self.links[steward].up || self.proxies[proxy].epoch[steward] != epoch {
                    return;
                }
                let line = self.joined_line(proxy, steward, site);
                self.proxies[proxy].joined[steward] = Some(now);
                self.proxies[proxy].seen[steward] = true;
                self.tell(steward, &line);
                let at = now + self.between(site.sync_s);
                self.schedule(at, Event::Read { proxy, steward, epoch, slice: None });
            }
            Event::Read { proxy, steward, epoch, slice } => {
                if self.proxies[proxy].epoch[steward] != epoch
                    || self.proxies[proxy].joined[steward].is_none()
                {
                    return;
                }
                for n in 0..site.slices {
                    if self.slices[n].charge == Some(steward) && slice.is_none_or(|slice| slice == n) {
                        let line = self.slices[n].line.clone();
                        self.proxies[proxy].held[n] = Held { line, levels: [1.0; 2], writes_until: None };
                    }
                }
            }
            Event::Apply { proxy, steward, epoch, changes, sent } => {
                if self.proxies[proxy].epoch[steward] != epoch
                    || self.proxies[proxy].joined[steward].is_none()
                {
                    return;
                }
                for change in changes {
                    match change {
                        Change::Line(slice, line) => {
                            let held = &mut self.proxies[proxy].held[slice];
                            if line.is_none() {
                                held.levels = [1.0; 2];
                            }
                            held.line = line;
                        }
                        Change::Level(slice, classes, level) => {
                            for n in 0..site.slices {
                                let concerned = match slice {
                                    Some(slice) => slice == n,
                                    None => self.slices[n].charge == Some(steward),
                                };
                                if concerned {
                                    let held = &mut self.proxies[proxy].held[n];
                                    classes.iter().for_each(|class| held.levels[*class] = level);
                                }
                            }
                        }
                        Change::Mark(number) => {
                            let ms = now.duration_since(sent).as_secs_f64() * 1e3;
                            self.tell(
                                steward,
                                &format!(
                                    r#"{{"jsonrpc":"2.0","method":"ACK","params":{{"id":{proxy},"seq":{number},"ms":{ms:.1}}}}}"#
                                ),
                            );
                        }
                    }
                }
            }
            Event::Give { slice, steward } => self.give(slice, Some(steward), site),
        }
    }
}

/// Carries out what is due, and sends the signs of life, until the case is over.
pub fn run_events(world: Shared) {
    let mut ping = Instant::now();
    loop {
        std::thread::sleep(Duration::from_millis(2));
        let mut state = world.lock();
        if state.over {
            return;
        }
        while state.due.peek().is_some_and(|due| due.at <= Instant::now()) {
            let Some(due) = state.due.pop() else { break };
            state.happen(due.event, &world.site);
        }
        if ping.elapsed() >= Duration::from_secs(1) {
            ping = Instant::now();
            (0..world.site.stewards)
                .for_each(|steward| state.tell(steward, r#"{"jsonrpc":"2.0","method":"ping"}"#));
        }
    }
}

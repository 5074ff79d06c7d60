//! A fleet in simulated time: the core itself, and a network that loses, delays, cuts and doubles by the pair.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};

use ravenspar_view::{Kind, Settings, Switches, Time, View};

pub const SECOND: Time = 10_000;

pub struct Node {
    pub view: Option<View>,
    /// Until then it does not run; what comes meanwhile waits.
    pub stopped: Time,
    waits: Vec<(SocketAddr, Kind, Vec<u8>)>,
    pub starts: u64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Wake(usize),
    Arrive { to: usize, from: usize, kind: Kind, body: Vec<u8> },
}

pub struct Fleet {
    pub now: Time,
    pub nodes: Vec<Node>,
    pub seeds: Vec<usize>,
    pub switches: Switches,
    pub rng: fastrand::Rng,
    queue: BinaryHeap<Reverse<(Time, u64, Event)>>,
    count: u64,
    /// The part of datagrams lost on every way, and beside that on ways of a member, or from one to another.
    pub loss: f64,
    pub loss_of: BTreeMap<usize, f64>,
    pub cut: std::collections::BTreeSet<(usize, usize)>,
    pub delay: Time,
    /// Until then whatever carries the datagrams stands still: what is sent meanwhile arrives when it goes on.
    pub held: Time,
    /// Of each member.
    pub round: Time,
    pub sent: Vec<u64>,
    pub bytes: Vec<u64>,
}

pub fn address(n: usize) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::from(0x7f00_0000 + n as u32 + 1).into(), 7_000)
}

impl Fleet {
    /// So many members that start together and know the first.
    pub fn new(seed: u64, members: usize) -> Fleet {
        let mut fleet = Fleet {
            now: 1_000 * SECOND,
            nodes: Vec::new(),
            seeds: vec![0],
            switches: Switches::default(),
            rng: fastrand::Rng::with_seed(seed),
            queue: BinaryHeap::new(),
            count: 0,
            loss: 0.0,
            loss_of: BTreeMap::new(),
            cut: Default::default(),
            delay: 10,
            held: 0,
            round: ravenspar_view::ROUND,
            sent: Vec::new(),
            bytes: Vec::new(),
        };
        (0..members).for_each(|_| _ = fleet.add());
        fleet
    }

    pub fn add(&mut self) -> usize {
        let n = self.nodes.len();
        self.nodes.push(Node { view: None, stopped: 0, waits: Vec::new(), starts: 0 });
        self.sent.push(0);
        self.bytes.push(0);
        n
    }

    pub fn start(&mut self, n: usize) {
        let peers: Vec<SocketAddr> = self.seeds.iter().map(|&seed| address(seed)).collect();
        let mut cfg = Settings::new(&format!("steward-{n}"), address(n), &peers);
        (cfg.round, cfg.switches) = (self.round, self.switches);
        self.nodes[n].starts += 1;
        self.nodes[n].waits.clear();
        // The wall clock in milliseconds, as the program has it.
        let life = self.now as u64 / 10;
        self.nodes[n].view = Some(View::new(self.now, life, self.rng.u64(..), cfg));
        self.nodes[n].stopped = 0;
        self.flush(n);
    }

    pub fn start_all(&mut self) {
        (0..self.nodes.len()).for_each(|n| self.start(n));
    }

    pub fn crash(&mut self, n: usize) {
        self.nodes[n].view = None;
    }

    pub fn view(&self, n: usize) -> &View {
        self.nodes[n].view.as_ref().expect("it runs")
    }

    /// Cuts all ways between two sides, in both directions.
    pub fn split(&mut self, side: &[usize]) {
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                if side.contains(&a) != side.contains(&b) {
                    self.cut.insert((a, b));
                }
            }
        }
    }

    pub fn heal(&mut self) {
        self.cut.clear();
    }

    fn put(&mut self, at: Time, event: Event) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count, event)));
    }

    /// Sends what a member has to say, and notes when to wake it.
    pub fn flush(&mut self, n: usize) {
        let Some(mut view) = self.nodes[n].view.take() else { return };
        while let Some(send) = view.poll() {
            assert!(send.body.len() <= ravenspar_view::MAX_BODY_LENGTH);
            self.sent[n] += 1;
            // With the envelope.
            self.bytes[n] += send.body.len() as u64 + 50;
            let to = match send.to {
                SocketAddr::V4(at) => (u32::from(*at.ip()) - 0x7f00_0001) as usize,
                SocketAddr::V6(_) => continue,
            };
            let own = |m: &usize| self.loss_of.get(m).copied().unwrap_or(0.0);
            let passes = (1.0 - self.loss) * (1.0 - own(&n)) * (1.0 - own(&to));
            if to >= self.nodes.len() || self.cut.contains(&(n, to)) || self.rng.f64() >= passes {
                continue;
            }
            let at = self.now.max(self.held) + self.delay + self.rng.i64(0..=self.delay);
            self.put(at, Event::Arrive { to, from: n, kind: send.kind, body: send.body });
        }
        let wake = view.next_timeout();
        self.nodes[n].view = Some(view);
        self.put(wake.max(self.now), Event::Wake(n));
    }

    fn run_node(&mut self, n: usize) {
        let now = self.now;
        let waits = std::mem::take(&mut self.nodes[n].waits);
        if let Some(view) = &mut self.nodes[n].view {
            view.handle_timeout(now);
            waits.into_iter().for_each(|(from, kind, body)| view.handle(now, from, kind, &body));
            self.flush(n);
        }
    }

    pub fn run_until(&mut self, until: Time) {
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= until) {
            let Some(Reverse((at, _, event))) = self.queue.pop() else { break };
            self.now = at;
            match event {
                Event::Wake(n) => {
                    let Some(view) = &self.nodes[n].view else { continue };
                    if self.nodes[n].stopped > at {
                        let again = self.nodes[n].stopped;
                        self.put(again, Event::Wake(n));
                    } else if view.next_timeout() <= at || !self.nodes[n].waits.is_empty() {
                        self.run_node(n);
                    }
                }
                Event::Arrive { to, from, kind, body } => {
                    if self.nodes[to].view.is_none() {
                        continue;
                    }
                    // A socket's buffer holds so many.
                    if self.nodes[to].waits.len() < 800 {
                        self.nodes[to].waits.push((address(from), kind, body));
                    }
                    if self.nodes[to].stopped <= at {
                        self.run_node(to);
                    }
                }
            }
        }
        self.now = until;
    }

    pub fn run(&mut self, span: Time) {
        self.run_until(self.now + span);
    }

    pub fn live(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|&n| self.nodes[n].view.is_some()).collect()
    }

    /// Whether these show one view, with just themselves in it.
    pub fn agree(&self, members: &[usize]) -> bool {
        let truth: BTreeMap<String, u64> =
            members.iter().map(|&n| (format!("steward-{n}"), self.view(n).incarnation())).collect();
        let digest = self.view(members[0]).shown().1;
        members.iter().all(|&n| {
            let shown: BTreeMap<String, u64> =
                self.view(n).names().map(|(name, life)| (name.to_owned(), life)).collect();
            shown == truth && self.view(n).shown().1 == digest
        })
    }

    /// Runs until these agree, and returns how long it took.
    pub fn until_agreed(&mut self, members: &[usize], most: Time) -> Option<Time> {
        let began = self.now;
        while !self.agree(members) {
            if self.now - began >= most {
                return None;
            }
            self.run(SECOND / 20);
        }
        Some(self.now - began)
    }

    /// What each shows, for a message of a test that failed.
    pub fn told(&self) -> String {
        let one = |n: usize| {
            let view = self.view(n);
            let names: Vec<String> = view.names().map(|(name, life)| format!("{name}/{life}")).collect();
            let cut = view.is_cut_off(self.now);
            format!("{n}: life {} cut off {cut} shows {names:?} {:?}\n", view.incarnation(), view.figures())
        };
        self.live().into_iter().map(one).collect()
    }
}

//! A fleet in simulated time: the real protocol core on a simulated network that delays datagrams, loses them, and cuts
//! links between pairs of members.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};

use ravenspar_view::{FeatureToggles, Kind, Settings, Time, View};

/// One second in the units of [`Time`].
pub const SECOND: Time = 10_000;

/// A member's process, running or crashed.
pub struct Node {
    pub view: Option<View>,
    /// It is paused until then; datagrams that arrive meanwhile wait in its inbox.
    pub paused_until: Time,
    inbox: Vec<(SocketAddr, Kind, Vec<u8>)>,
    pub starts: u64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Wake(usize),
    Arrive { to: usize, from: usize, kind: Kind, body: Vec<u8> },
}

/// Members, their network and the queue of simulated events.
pub struct Fleet {
    pub now: Time,
    pub nodes: Vec<Node>,
    /// Members whose addresses all are configured with as peers.
    pub seeds: Vec<usize>,
    pub toggles: FeatureToggles,
    pub rng: fastrand::Rng,
    queue: BinaryHeap<Reverse<(Time, u64, Event)>>,
    event_count: u64,
    /// Loss rate of every link.
    pub loss: f64,
    /// Additional loss rate of all links of a member.
    pub loss_of: BTreeMap<usize, f64>,
    /// Links that lose everything, by sender and receiver.
    pub cut: std::collections::BTreeSet<(usize, usize)>,
    /// Minimal delay; as much again is added at random.
    pub delay: Time,
    /// The network is paused until then; what is sent meanwhile is delivered afterwards.
    pub network_paused_until: Time,
    /// Probe round of the members.
    pub round: Time,
    /// Datagrams and bytes sent by each member.
    pub sent: Vec<u64>,
    pub bytes: Vec<u64>,
}

pub fn address(n: usize) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::from(0x7f00_0000 + n as u32 + 1).into(), 7_000)
}

impl Fleet {
    /// A fleet of `members` not yet started members, which know the address of the first.
    pub fn new(seed: u64, members: usize) -> Fleet {
        let mut fleet = Fleet {
            now: 1_000 * SECOND,
            nodes: Vec::new(),
            seeds: vec![0],
            toggles: FeatureToggles::default(),
            rng: fastrand::Rng::with_seed(seed),
            queue: BinaryHeap::new(),
            event_count: 0,
            loss: 0.0,
            loss_of: BTreeMap::new(),
            cut: Default::default(),
            delay: 10,
            network_paused_until: 0,
            round: ravenspar_view::DEFAULT_ROUND,
            sent: Vec::new(),
            bytes: Vec::new(),
        };
        (0..members).for_each(|_| _ = fleet.add());
        fleet
    }

    /// Adds a member without starting it.
    pub fn add(&mut self) -> usize {
        let n = self.nodes.len();
        self.nodes.push(Node { view: None, paused_until: 0, inbox: Vec::new(), starts: 0 });
        self.sent.push(0);
        self.bytes.push(0);
        n
    }

    /// Starts a member's process, or restarts it.
    pub fn start(&mut self, n: usize) {
        let peers: Vec<SocketAddr> = self.seeds.iter().map(|&seed| address(seed)).collect();
        let mut cfg = Settings::new(&format!("steward-{n}"), address(n), &peers);
        (cfg.round, cfg.toggles) = (self.round, self.toggles);
        self.nodes[n].starts += 1;
        self.nodes[n].inbox.clear();
        // Wall-clock milliseconds, as in the program.
        let incarnation = self.now as u64 / 10;
        self.nodes[n].view = Some(View::new(self.now, incarnation, self.rng.u64(..), cfg));
        self.nodes[n].paused_until = 0;
        self.flush(n);
    }

    pub fn start_all(&mut self) {
        (0..self.nodes.len()).for_each(|n| self.start(n));
    }

    pub fn crash(&mut self, n: usize) {
        self.nodes[n].view = None;
    }

    pub fn view(&self, n: usize) -> &View {
        self.nodes[n].view.as_ref().expect("the member is running")
    }

    /// Cuts all links between these members and the rest, in both directions.
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

    fn schedule(&mut self, at: Time, event: Event) {
        self.event_count += 1;
        self.queue.push(Reverse((at, self.event_count, event)));
    }

    /// Sends a member's pending datagrams, and schedules its next timeout.
    pub fn flush(&mut self, n: usize) {
        let Some(mut view) = self.nodes[n].view.take() else { return };
        while let Some(send) = view.poll() {
            assert!(send.body.len() <= ravenspar_view::MAX_BODY_LENGTH);
            self.sent[n] += 1;
            // The envelope adds 50 bytes.
            self.bytes[n] += send.body.len() as u64 + 50;
            let to = match send.to {
                SocketAddr::V4(at) => (u32::from(*at.ip()) - 0x7f00_0001) as usize,
                SocketAddr::V6(_) => continue,
            };
            let loss_of = |m: &usize| self.loss_of.get(m).copied().unwrap_or(0.0);
            let delivery_rate = (1.0 - self.loss) * (1.0 - loss_of(&n)) * (1.0 - loss_of(&to));
            if to >= self.nodes.len() || self.cut.contains(&(n, to)) || self.rng.f64() >= delivery_rate {
                continue;
            }
            let at = self.now.max(self.network_paused_until) + self.delay + self.rng.i64(0..=self.delay);
            self.schedule(at, Event::Arrive { to, from: n, kind: send.kind, body: send.body });
        }
        let wake = view.next_timeout();
        self.nodes[n].view = Some(view);
        self.schedule(wake.max(self.now), Event::Wake(n));
    }

    fn run_node(&mut self, n: usize) {
        let now = self.now;
        let inbox = std::mem::take(&mut self.nodes[n].inbox);
        if let Some(view) = &mut self.nodes[n].view {
            view.handle_timeout(now);
            inbox.into_iter().for_each(|(from, kind, body)| view.handle(now, from, kind, &body));
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
                    if self.nodes[n].paused_until > at {
                        let resumed_at = self.nodes[n].paused_until;
                        self.schedule(resumed_at, Event::Wake(n));
                    } else if view.next_timeout() <= at || !self.nodes[n].inbox.is_empty() {
                        self.run_node(n);
                    }
                }
                Event::Arrive { to, from, kind, body } => {
                    if self.nodes[to].view.is_none() {
                        continue;
                    }
                    // The socket buffer holds 800 datagrams.
                    if self.nodes[to].inbox.len() < 800 {
                        self.nodes[to].inbox.push((address(from), kind, body));
                    }
                    if self.nodes[to].paused_until <= at {
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

    /// Returns true if these members all show the same view, and it consists of just themselves.
    pub fn agree(&self, members: &[usize]) -> bool {
        let expected: BTreeMap<String, u64> =
            members.iter().map(|&n| (format!("steward-{n}"), self.view(n).incarnation())).collect();
        let digest = self.view(members[0]).current_view().1;
        members.iter().all(|&n| {
            let shown: BTreeMap<String, u64> =
                self.view(n).names().map(|(name, incarnation)| (name.to_owned(), incarnation)).collect();
            shown == expected && self.view(n).current_view().1 == digest
        })
    }

    /// Runs until these members agree. Returns how long that took, or `None` if it exceeds `limit`.
    pub fn until_agreed(&mut self, members: &[usize], limit: Time) -> Option<Time> {
        let began = self.now;
        while !self.agree(members) {
            if self.now - began >= limit {
                return None;
            }
            self.run(SECOND / 20);
        }
        Some(self.now - began)
    }

    /// Each member's state, for the message of a failed assertion.
    pub fn describe(&self) -> String {
        let one = |n: usize| {
            let view = self.view(n);
            let names: Vec<String> =
                view.names().map(|(name, incarnation)| format!("{name}/{incarnation}")).collect();
            let cut = view.is_cut_off(self.now);
            format!(
                "{n}: incarnation {} cut off {cut} shows {names:?} {:?}\n",
                view.incarnation(),
                view.metrics()
            )
        };
        self.live().into_iter().map(one).collect()
    }
}

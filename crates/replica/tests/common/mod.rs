//! A fleet of replicas in simulated time. Messages are delayed, lost and duplicated, links are cut, and processes are killed
//! and lose what was not saved.
#![allow(dead_code)] // each test file uses a part of it

use std::collections::{BTreeMap, BTreeSet};

use ravenspar_replica::state::{Applied, Command, Compare, CompareOp, Executed, Operand, Range, Step};
use ravenspar_replica::{
    Action, Effect, Entry, FeatureToggles, HardState, Hash, Id, Index, Log, Member, Message, Node, Replica,
    Request, Response, Settings, State, Time,
};

const FLEET: u64 = 77;

/// Reads a number from an environment variable.
pub fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// What a replica has on disk.
#[derive(Clone, Default)]
struct Disk {
    hard_state: HardState,
    log: Vec<Entry>,
}

struct Process {
    node: Option<Node>,
    disk: Disk,
    /// The save in progress: when it is done, and the disk after it.
    saving: Option<(Time, Disk)>,
    /// The process is paused until then; messages for it wait.
    paused_until: Time,
}

enum Event {
    MessageArrives { to: usize, from: Id, fleet: u64, message: Message },
}

/// A client's write or read whose response is checked.
#[derive(Clone, Debug)]
struct PendingCall {
    key: String,
    /// The highest version of the key that had been acknowledged when the request was made.
    acked_version: u64,
    is_read: bool,
}

pub struct Fleet {
    pub now: Time,
    seed: u64,
    rng: fastrand::Rng,
    replica_count: usize,
    processes: Vec<Process>,
    in_flight: BTreeMap<(Time, u64), Event>,
    sequence: u64,
    cut_links: BTreeSet<(usize, usize)>,
    loss: f64,
    toggles: FeatureToggles,
    calls: BTreeMap<u64, PendingCall>,
    token: u64,
    /// The highest acknowledged version of each key.
    acked: BTreeMap<String, u64>,
    /// The hash of each committed entry, from the first replica that applied it.
    committed: BTreeMap<Index, Hash>,
    /// The leader of each term.
    leaders: BTreeMap<u64, Id>,
    /// The first violation of an invariant.
    violation: Option<String>,
}

pub fn id(n: usize) -> Id {
    100 + n as Id
}

impl Fleet {
    /// Starts a fleet: the first replica bootstraps it, the others join.
    pub fn new(seed: u64, replica_count: usize, toggles: FeatureToggles) -> Fleet {
        let mut fleet = Fleet {
            now: 10_000,
            seed,
            rng: fastrand::Rng::with_seed(seed),
            replica_count,
            processes: Vec::new(),
            in_flight: BTreeMap::new(),
            sequence: 0,
            cut_links: BTreeSet::new(),
            loss: 0.0,
            toggles,
            calls: BTreeMap::new(),
            token: 0,
            acked: BTreeMap::new(),
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            violation: None,
        };
        for n in 0..replica_count {
            let mut disk = Disk::default();
            if n == 0 {
                let member = Member { name: "replica-0".to_owned(), address: "0".to_owned(), voter: true };
                let (hard_state, log) = Replica::bootstrap(id(0), FLEET, member);
                disk = Disk { hard_state, log: log.iter_from(1).cloned().collect() };
            }
            fleet.processes.push(Process { node: None, disk, saving: None, paused_until: 0 });
            fleet.start(n);
        }
        fleet
    }

    pub fn start(&mut self, n: usize) {
        if self.processes[n].node.is_some() {
            return;
        }
        let cfg = Settings {
            name: format!("replica-{n}"),
            address: n.to_string(),
            heartbeat_interval: 500,
            max_voters: self.replica_count,
            toggles: self.toggles,
        };
        let mut log = Log::default();
        self.processes[n].disk.log.iter().for_each(|entry| log.push(entry.clone()));
        let seed = self.seed ^ self.now as u64 ^ ((n as u64) << 32);
        let replica = Replica::new(self.now, id(n), seed, cfg, self.processes[n].disk.hard_state, log);
        self.processes[n].node = Some(Node::new(replica));
        self.processes[n].paused_until = 0;
    }

    /// Kills a process; what was not saved is lost.
    pub fn kill(&mut self, n: usize) {
        let process = &mut self.processes[n];
        (process.node, process.saving) = (None, None);
    }

    fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.processes.iter().filter_map(|process| process.node.as_ref())
    }

    /// The leader of the highest term.
    pub fn leader(&self) -> Option<usize> {
        let is_leader =
            |n: &usize| self.processes[*n].node.as_ref().is_some_and(|node| node.replica.is_leader());
        let term = |n: &usize| self.processes[*n].node.as_ref().map(|node| node.replica.hard_state().term);
        (0..self.processes.len()).filter(is_leader).max_by_key(term)
    }

    /// The number of voters by the leader's log; 0 while an entry is uncommitted.
    pub fn voters(&self) -> usize {
        self.leader().and_then(|n| self.processes[n].node.as_ref()).map_or(0, |node| {
            let all_committed = node.replica.commit() == node.replica.log().last_index();
            if all_committed {
                node.replica.members().voters().count()
            } else {
                0
            }
        })
    }

    /// Returns true if all replicas run, and have applied the same entries with the same resulting state.
    pub fn has_converged(&self) -> bool {
        let mut nodes = self.nodes();
        let Some(first) = nodes.next() else { return false };
        self.processes.iter().all(|process| process.node.is_some())
            && nodes.all(|other| other.applied() == first.applied() && other.state() == first.state())
    }

    /// The number of keys with an acknowledged write.
    pub fn acknowledged(&self) -> usize {
        self.acked.len()
    }

    /// Writes a key, whether it exists or not, and reads it back in the same transaction.
    pub fn put(&mut self, n: usize, key: &str) {
        let step = Step::Put { key: key.as_bytes().to_vec(), value: Vec::new(), lease: 0 };
        let read_back = Step::Read(Range { key: key.as_bytes().to_vec(), end: Vec::new(), since: 0 });
        let exists =
            Compare { key: key.as_bytes().to_vec(), how: CompareOp::Greater, by: Operand::Version(0) };
        let command = Command::Transaction {
            compare: vec![exists],
            then: vec![step.clone(), read_back.clone()],
            otherwise: vec![step, read_back],
        };
        self.call(n, key, Request::Command(command), false);
    }

    pub fn get(&mut self, n: usize, key: &str) {
        let range = Range { key: key.as_bytes().to_vec(), end: Vec::new(), since: 0 };
        self.call(n, key, Request::Read(vec![range]), true);
    }

    /// Requests a lease; see [`Fleet::has_lease`] for whether it was granted.
    pub fn grant(&mut self, n: usize, lease: u64, seconds: u32) {
        let Some(node) = self.processes[n].node.as_mut() else { return };
        self.token += 1;
        node.request(self.token, Request::Command(Command::GrantLease { lease, seconds }));
        self.poll_all(n);
    }

    /// Returns true if the leader's state has this lease.
    pub fn has_lease(&self, lease: u64) -> bool {
        let leader = self.leader().and_then(|n| self.processes[n].node.as_ref());
        leader.is_some_and(|node| node.state().leases.contains_key(&lease))
    }

    fn call(&mut self, n: usize, key: &str, request: Request, is_read: bool) {
        let acked_version = self.acked.get(key).copied().unwrap_or(0);
        if self.processes[n].paused_until > self.now {
            return;
        }
        let Some(node) = self.processes[n].node.as_mut() else { return };
        self.token += 1;
        self.calls.insert(self.token, PendingCall { key: key.to_owned(), acked_version, is_read });
        node.request(self.token, request);
        self.poll_all(n);
    }

    /// Checks a response against what had been acknowledged before the request.
    fn handle_response(&mut self, token: u64, response: Response) {
        let Some(call) = self.calls.remove(&token) else { return };
        let Response::Applied(outcome) = response else { return };
        let Ok(Applied::Executed { steps, .. }) = outcome.result else {
            self.violation.get_or_insert(format!("{call:?} was rejected"));
            return;
        };
        let rows = steps.iter().find_map(|step| match step {
            Executed::Read(rows) => Some(rows),
            _ => None,
        });
        let version = rows.and_then(|rows| rows.first()).map_or(0, |row| row.version);
        // A version counts writes: a response shows at least the writes acknowledged before the request, and a write one more.
        let expected = call.acked_version + u64::from(!call.is_read);
        if version < expected {
            self.violation.get_or_insert(format!(
                "{} at {}: {call:?} saw version {version}, {expected} were acknowledged before it",
                if call.is_read { "read" } else { "write" },
                self.now
            ));
        }
        if !call.is_read {
            let acked_version = self.acked.entry(call.key).or_insert(0);
            *acked_version = (*acked_version).max(version);
        }
    }

    /// Carries out a replica's effects until there are none, or a save is in progress.
    fn poll_all(&mut self, n: usize) {
        loop {
            let now = self.now;
            if self.processes[n].saving.is_some() {
                return;
            }
            let Some(node) = self.processes[n].node.as_mut() else { return };
            let Some(effect) = node.poll(now) else { break };
            match effect {
                Effect::Action(Action::Send { to, message }) => self.send(n, (to - 100) as usize, message),
                Effect::Action(Action::Discover(message)) => {
                    for to in (0..self.processes.len()).filter(|to| *to != n) {
                        self.send(n, to, message.clone());
                    }
                }
                Effect::Action(Action::Save { hard_state, from, entries }) => {
                    let mut disk = self.processes[n].disk.clone();
                    disk.log.truncate(from as usize - 1);
                    disk.log.extend(entries);
                    disk.hard_state = hard_state;
                    let done = now + self.rng.i64(5..60);
                    self.processes[n].saving = Some((done, disk));
                }
                Effect::Response { token, response } => self.handle_response(token, response),
                Effect::Action(Action::Diverged { index }) => {
                    self.violation.get_or_insert(format!("replica {n} diverged at {index}"));
                }
            }
        }
        self.check_invariants(n);
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.cut_links.contains(&(from, to)) || self.rng.f64() < self.loss {
            return;
        }
        let Some(node) = self.processes[from].node.as_ref() else { return };
        let fleet = node.replica.hard_state().fleet;
        let copies = 1 + usize::from(self.loss > 0.0 && self.rng.f64() < 0.05);
        for _ in 0..copies {
            // Mostly in order, as on a stream; a duplicate comes late.
            let delay = if self.loss > 0.0 { self.rng.i64(5..400) } else { self.rng.i64(5..30) };
            self.sequence += 1;
            let message = message.clone();
            self.in_flight.insert(
                (self.now + delay, self.sequence),
                Event::MessageArrives { to, from: id(from), fleet, message },
            );
        }
    }

    /// Checks that a term has one leader, and that committed entries are the same everywhere.
    fn check_invariants(&mut self, n: usize) {
        let Some(node) = self.processes[n].node.as_ref() else { return };
        if node.replica.is_leader() {
            let term = node.replica.hard_state().term;
            let first = *self.leaders.entry(term).or_insert(id(n));
            if first != id(n) {
                self.violation.get_or_insert(format!("two leaders in term {term}"));
            }
        }
        let known = self.committed.keys().next_back().copied().unwrap_or(0);
        let applied = node.applied();
        for index in [applied.min(known), applied] {
            let Some(hash) = node.replica.log().hash(index).filter(|_| index > 0) else { continue };
            let first = *self.committed.entry(index).or_insert(hash);
            if first != hash {
                self.violation.get_or_insert(format!("replica {n} has a different committed entry {index}"));
            }
        }
    }

    /// Advances the simulation by `duration`.
    pub fn run(&mut self, duration: Time) {
        let until = self.now + duration;
        loop {
            let mut next = until;
            if let Some((&(at, _), _)) = self.in_flight.first_key_value() {
                next = next.min(at);
            }
            for process in &self.processes {
                if let Some((at, _)) = &process.saving {
                    next = next.min((*at).max(process.paused_until));
                }
                if let Some(node) = &process.node {
                    next = next.min(node.next_timeout().max(process.paused_until));
                }
            }
            self.now = self.now.max(next);
            if self.now >= until {
                self.now = until;
                return;
            }
            for n in 0..self.processes.len() {
                let now = self.now;
                let process = &mut self.processes[n];
                if process.paused_until > now {
                    continue;
                }
                if process.saving.as_ref().is_some_and(|(at, _)| *at <= now) {
                    if let Some((_, disk)) = process.saving.take() {
                        process.disk = disk;
                    }
                    process.node.iter_mut().for_each(Node::saved);
                }
                // A process that waits for its disk handles timeouts only.
                if process.saving.is_some() {
                    if let Some(node) = &mut process.node {
                        if node.next_timeout() <= now {
                            node.handle_timeout(now);
                        }
                    }
                    continue;
                }
                if let Some(node) = &mut process.node {
                    if node.next_timeout() <= now {
                        node.handle_timeout(now);
                    }
                }
                self.poll_all(n);
            }
            while let Some((&(at, sequence), _)) = self.in_flight.first_key_value() {
                if at > self.now {
                    break;
                }
                let Some(Event::MessageArrives { to, from, fleet, message }) =
                    self.in_flight.remove(&(at, sequence))
                else {
                    break;
                };
                if self.processes[to].paused_until > self.now {
                    // The message waits in the socket's buffer.
                    let resumed = self.processes[to].paused_until;
                    self.sequence += 1;
                    self.in_flight
                        .insert((resumed, self.sequence), Event::MessageArrives { to, from, fleet, message });
                    continue;
                }
                let now = self.now;
                if let Some(node) = self.processes[to].node.as_mut() {
                    node.handle(now, from, fleet, message);
                    self.poll_all(to);
                }
            }
        }
    }

    /// Advances the simulation until `condition` holds; panics if it doesn't within 40 simulated seconds.
    pub fn run_until(&mut self, what: &str, condition: impl Fn(&Fleet) -> bool) {
        for _ in 0..4_000 {
            if condition(self) {
                return;
            }
            self.run(100);
        }
        panic!("seed {}: did not happen: {what}", self.seed);
    }

    /// Ends all faults and starts all processes.
    fn heal(&mut self) {
        (self.loss, self.cut_links) = (0.0, BTreeSet::new());
        for n in 0..self.processes.len() {
            self.processes[n].paused_until = 0;
            self.start(n);
        }
    }

    /// One line for each replica, for failure messages.
    fn status_report(&self) -> String {
        let line = |(n, process): (usize, &Process)| {
            let node = process.node.as_ref()?;
            let (replica, hard_state) = (&node.replica, node.replica.hard_state());
            let members = replica.members();
            Some(format!(
                "\n{n}: term {} is_leader {} last {} commit {} members {:?} voters {:?} leader {:?} match {:?}",
                hard_state.term,
                replica.is_leader(),
                replica.log().last_index(),
                replica.commit(),
                members.replicas.keys().collect::<Vec<_>>(),
                members.voters().collect::<Vec<_>>(),
                replica.leader(),
                replica.match_indexes(),
            ))
        };
        self.processes.iter().enumerate().filter_map(line).collect()
    }

    pub fn assert_invariants(&self) {
        assert!(self.violation.is_none(), "seed {}: {:?}", self.seed, self.violation);
    }
}

/// Injects random faults while two keys are written and read, then heals the fleet. Checks that the replicas converge, that no
/// acknowledged write is missing and that no read was stale. Fails with the first violation.
pub fn run_random_faults(seed: u64, replica_count: usize, toggles: FeatureToggles) -> Result<(), String> {
    let mut fleet = Fleet::new(seed, replica_count, toggles);
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x5707);
    // Some runs begin while replicas are still joining.
    fleet.run(rng.i64(0..60_000));
    let keys = ["a", "b"];
    for _ in 0..40 {
        let n = rng.usize(..replica_count);
        match rng.u32(..12) {
            0 | 1 => fleet.kill(n),
            2 | 3 => (0..replica_count).filter(|_| rng.bool()).for_each(|n| fleet.start(n)),
            4 => fleet.processes[n].paused_until = fleet.now + rng.i64(0..30_000),
            5 => {
                let side: Vec<bool> = (0..replica_count).map(|_| rng.bool()).collect();
                let pairs = (0..replica_count).flat_map(|a| (0..replica_count).map(move |b| (a, b)));
                fleet.cut_links = pairs.filter(|&(a, b)| side[a] != side[b]).collect();
            }
            6 => _ = fleet.cut_links.insert((n, rng.usize(..replica_count))),
            7 | 8 => fleet.cut_links.clear(),
            9 => fleet.loss = if rng.bool() { 0.0 } else { 0.2 },
            10 => {
                for n in 0..replica_count {
                    fleet.kill(n);
                    fleet.start(n);
                }
            }
            _ => fleet.kill(fleet.leader().unwrap_or(n)),
        }
        for _ in 0..8 {
            let key = keys[rng.usize(..keys.len())];
            // Every replica that believes it is the leader gets a request, also one that was superseded.
            for n in 0..replica_count {
                if fleet.processes[n].node.as_ref().is_some_and(|node| node.replica.is_leader()) {
                    match rng.bool() {
                        true => fleet.put(n, key),
                        false => fleet.get(n, key),
                    }
                }
            }
            fleet.run(rng.i64(1..1_500));
        }
        if let Some(violation) = &fleet.violation {
            return Err(violation.clone());
        }
    }
    fleet.heal();
    for _ in 0..600 {
        fleet.run(1_000);
        if fleet.leader().is_some() && fleet.has_converged() && fleet.voters() == replica_count {
            break;
        }
    }
    if let Some(violation) = &fleet.violation {
        return Err(violation.clone());
    }
    if !fleet.has_converged() || fleet.leader().is_none() {
        return Err(format!("the replicas did not converge within a minute: {}", fleet.status_report()));
    }
    let state: &State = match fleet.nodes().next() {
        Some(node) => node.state(),
        None => return Err("no replica runs".to_owned()),
    };
    for (key, version) in &fleet.acked {
        let range = Range { key: key.as_bytes().to_vec(), end: Vec::new(), since: 0 };
        let found = match state.read(&[range]).result {
            Ok(Applied::Executed { steps, .. }) => match &steps[0] {
                Executed::Read(rows) => rows.first().map_or(0, |row| row.version),
                _ => 0,
            },
            _ => 0,
        };
        if found < *version {
            return Err(format!("{key} has version {found}, {version} was acknowledged"));
        }
    }
    Ok(())
}

//! A simulation of three stewards at one store, with proxies, servers and injected faults.
//!
//! When a slice is handed over the store keeps its line and resets its levels. Simulated time advances from event to
//! event. Random values are derived from the seed and from what they are for.

mod faults;
mod notifications;
mod proxies;
mod stewards;
mod store;
mod tables;

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use ravenspar_platform::{Time, SECOND};
use serde_json::{json, Value};

pub use faults::{Fault, Lifecycle};
use proxies::{Proxy, Stream};
use stewards::Steward;
use tables::{change, Change, ProxySlice, StoredSlice, Table};

pub const STEWARDS: usize = 3;
pub const SLICES: usize = 5;
pub const PROXIES: usize = 3;
pub const SERVERS: usize = 4;

const START: Time = 17_000_000_000 * SECOND / 10;
const MILLISECOND: Time = SECOND / 1_000;
const LEASE: Time = 2 * SECOND;
const SETTLE: Time = 3 * SECOND;
/// A hand-over is reported to the stewards after this time, and read within these times by a proxy that is joined to
/// the new one.
const NOTIFY_DELAY: Time = 150 * MILLISECOND;
const READ_DELAY: [Time; 2] = [88 * MILLISECOND, SECOND];
/// From the store's receipt of a call until a proxy applies its message.
const TRANSIT: [Time; 2] = [100 * MILLISECOND, 500 * MILLISECOND];
/// From writing a call until it is applied, and from then to its answer.
const APPLY_DELAY: [Time; 2] = [MILLISECOND, 30 * MILLISECOND];
const ANSWER_DELAY: [Time; 2] = [MILLISECOND, 20 * MILLISECOND];
/// A call that is not answered within this time is lost.
const CALL_TIMEOUT: Time = 60 * MILLISECOND;
/// From the loss of a subscription until the steward subscribes again, and from the last notification until it
/// detects a silent subscription.
const RESUBSCRIBE_DELAY: Time = 100 * MILLISECOND;
const NOTIFICATION_TIMEOUT: Time = 22 * SECOND / 10;
/// A proxy whose stream can be restored joins within these times.
const JOIN_DELAY: [Time; 2] = [100 * MILLISECOND, 2 * SECOND];
/// A steward receives a list within this time.
const LIST_DELAY: [Time; 2] = [0, SECOND];
const REPORT_INTERVAL: Time = SECOND / 2;
/// The number of events kept in the trace of a violation.
const MAX_TRACE: usize = 120;

#[derive(Clone, Copy, Debug)]
struct Server {
    lifecycle: Lifecycle,
    started: Time,
    fails_until: Time,
    strained_until: Time,
}

/// The changes of one call with the store's version of each slice, and its mark.
struct Message {
    changes: Vec<(usize, Change, u64)>,
    mark: Option<u64>,
}

enum Event {
    Fault(Fault),
    Start { steward: usize },
    Reassign { steward: usize, incarnation: u64 },
    Return { steward: usize },
    Handover { slice: usize, to: usize },
    Join { proxy: usize, steward: usize },
    Read { proxy: usize, slice: usize, pending_read: u64 },
    Deliver { proxy: usize, steward: usize, stream: u64, message: Rc<Message> },
    ApplyCall { steward: usize, call: Rc<Value> },
    Answer { steward: usize, incarnation: u64, call: u64, accepted: usize },
    Unanswered { steward: usize, incarnation: u64, call: u64 },
    Subscribe { steward: usize, incarnation: u64 },
    SubscriptionLost { steward: usize, incarnation: u64, subscription: u64 },
    Notification { steward: usize, incarnation: u64, subscription: u64, line: String },
    List { steward: usize, version: u64 },
    Reports,
    Ping,
}

/// Counts of events.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub handovers: usize,
    /// Hand-overs during which writes at a server other than the line's may be in progress.
    pub handovers_within_settling: usize,
    pub revokes: usize,
    pub grants: usize,
}

pub struct World {
    pub now: Time,
    /// The first violated invariant.
    pub violation: Option<String>,
    pub counts: Counts,
    seed: u64,
    events: BTreeMap<(Time, u64), Event>,
    event_count: u64,
    stewards: Vec<Steward>,
    slices: Vec<StoredSlice>,
    proxies: Vec<Proxy>,
    servers: Vec<Server>,
    /// All versions of the list, in order.
    lists: Vec<Value>,
    reads: u64,
    /// By slice and server: the time before which writes were sent there.
    written: [[Time; SERVERS]; SLICES],
    tracing: bool,
    trace_log: VecDeque<String>,
}

fn name(server: usize) -> String {
    format!("s{server}")
}

impl World {
    /// Creates a world with all slices settled, each at its server, and all proxies joined to all stewards.
    pub fn new(seed: u64, tracing: bool) -> World {
        let server = Server { lifecycle: Lifecycle::Active, started: 0, fails_until: 0, strained_until: 0 };
        let table = |slice: usize| Table { line: Some((slice % SERVERS, 1.0)), closed: false };
        let stored = |slice| StoredSlice { steward: slice % STEWARDS, table: table(slice), version: 0 };
        let cached = |slice| ProxySlice { table: table(slice), until: Time::MAX, ..ProxySlice::default() };
        let stream = Stream { joined: true, ..Stream::default() };
        let proxy = Proxy { slices: (0..SLICES).map(cached).collect(), streams: vec![stream; STEWARDS] };
        let mut world = World {
            now: START,
            violation: None,
            counts: Counts::default(),
            seed,
            events: BTreeMap::new(),
            event_count: 0,
            stewards: (0..STEWARDS).map(|_| Steward::new()).collect(),
            slices: (0..SLICES).map(stored).collect(),
            proxies: vec![proxy; PROXIES],
            servers: vec![server; SERVERS],
            lists: Vec::new(),
            reads: 0,
            written: [[0; SERVERS]; SLICES],
            tracing,
            trace_log: VecDeque::new(),
        };
        world.publish_list();
        (0..STEWARDS).for_each(|steward| world.start(steward));
        world.after(SECOND / 2, Event::Ping);
        world.after(REPORT_INTERVAL, Event::Reports);
        // A slice is granted no sooner than a lease and a settling after its assignment.
        world.run(LEASE + SETTLE + SECOND);
        world.counts = Counts::default();
        world
    }

    /// Schedules faults, each at its number of tenths of a second from now.
    pub fn schedule(&mut self, faults: &[(u16, Fault)]) {
        for (at, fault) in faults {
            self.after(Time::from(*at) * SECOND / 10, Event::Fault(*fault));
        }
    }

    /// Runs for a time span, or until an invariant is violated.
    pub fn run(&mut self, span: Time) {
        let end = self.now + span;
        while self.violation.is_none() {
            let event = self.events.first_key_value().map(|((at, _), _)| *at);
            let polls = (0..STEWARDS).filter_map(|steward| self.next_poll(steward)).min();
            let at = event.into_iter().chain(polls).min().unwrap_or(end);
            if at > end {
                break;
            }
            self.advance_to(at);
            while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= at) {
                let event = entry.remove();
                self.handle_event(event);
            }
            (0..STEWARDS).for_each(|steward| self.poll(steward));
            self.answer_marks();
            self.check_writes();
        }
        if self.violation.is_none() {
            self.advance_to(end);
        }
    }

    /// Returns true if writes of every proxy reach a matching server for every slice.
    pub fn all_written_at(&self, fits: impl Fn(usize) -> bool) -> bool {
        let writes = |slice| (0..PROXIES).all(|proxy| self.writes_to(proxy, slice).is_some_and(&fits));
        (0..SLICES).all(writes)
    }

    /// Returns true if a server is listed as active.
    pub fn is_active(&self, server: usize) -> bool {
        self.servers[server].lifecycle == Lifecycle::Active
    }

    /// Returns true if any server can be granted slices.
    pub fn is_any_active(&self) -> bool {
        (0..SERVERS).any(|server| self.is_active(server))
    }

    /// Returns the trace that led to the violation.
    pub fn trace_text(&self) -> String {
        self.trace_log.iter().map(|line| format!("\n{line}")).collect()
    }

    fn advance_to(&mut self, at: Time) {
        for proxy in 0..PROXIES {
            for slice in 0..SLICES {
                let cached = &self.proxies[proxy].slices[slice];
                let until = cached.until.min(at);
                if let Some(server) = cached.table.writes_to().filter(|_| until > self.now) {
                    let written = &mut self.written[slice][server];
                    *written = until.max(*written);
                }
            }
        }
        self.now = at;
    }

    fn writes_to(&self, proxy: usize, slice: usize) -> Option<usize> {
        let cached = &self.proxies[proxy].slices[slice];
        cached.table.writes_to().filter(|_| self.now < cached.until)
    }

    /// Returns another server at which a write may be in progress, and until when, if there is one.
    fn write_in_progress_elsewhere(&self, slice: usize, server: usize) -> Option<(usize, Time)> {
        let others = (0..SERVERS).filter(|other| *other != server);
        let ends = others.map(|other| (other, self.written[slice][other] + SETTLE));
        ends.filter(|(_, end)| self.now < *end).max_by_key(|(_, end)| *end)
    }

    /// Checks that no proxy sends a write of a slice to a server while a write sent to another may be in progress.
    fn check_writes(&mut self) {
        for slice in 0..SLICES {
            for proxy in 0..PROXIES {
                let Some(server) = self.writes_to(proxy, slice) else { continue };
                let others = (0..PROXIES).filter_map(|other| Some((other, self.writes_to(other, slice)?)));
                let other = others.into_iter().find(|(_, to)| *to != server);
                let in_progress = self.write_in_progress_elsewhere(slice, server);
                if let Some((other, to)) = other {
                    let text = format!("slice {slice}: proxy {proxy} writes to s{server}, {other} to s{to}");
                    self.violation.get_or_insert(text);
                } else if let Some((former, end)) = in_progress {
                    let left = (end - self.now) / MILLISECOND;
                    let text = format!(
                        "slice {slice}: proxy {proxy} writes to s{server}, and writes may be in progress at s{former} for {left} ms"
                    );
                    self.violation.get_or_insert(text);
                }
            }
        }
        if let Some(violation) = self.violation.clone() {
            self.trace(|| violation);
        }
    }

    fn trace(&mut self, text: impl FnOnce() -> String) {
        if self.tracing {
            let at = (self.now - START) / MILLISECOND;
            self.trace_log.push_back(format!("{:>3}.{:03} {}", at / 1_000, at % 1_000, text()));
            let surplus = self.trace_log.len().saturating_sub(MAX_TRACE);
            self.trace_log.drain(..surplus);
        }
    }

    /// Returns a time between these two, derived from the seed, the purpose and the current time, so that it does not
    /// depend on other events.
    fn draw(&self, purpose: &str, of: usize, and: usize, [least, most]: [Time; 2]) -> Time {
        let purpose = purpose.bytes().fold(0, |sum: u64, byte| sum.wrapping_mul(31) + u64::from(byte));
        let words = [self.seed, purpose, of as u64, and as u64, (self.now - START) as u64];
        let mixed = words.into_iter().fold(0, |sum: u64, word| {
            let sum = (sum ^ word).wrapping_add(0x9e37_79b9_7f4a_7c15);
            let sum = (sum ^ (sum >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
            let sum = (sum ^ (sum >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
            sum ^ (sum >> 31)
        });
        least + (mixed % (most - least + 1) as u64) as Time
    }

    fn after(&mut self, span: Time, event: Event) {
        self.event_count += 1;
        self.events.insert((self.now + span, self.event_count), event);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Fault(fault) => self.inject(fault),
            Event::Start { steward } => self.start(steward),
            Event::Reassign { steward, incarnation } => self.reassign_slices(steward, incarnation),
            Event::Return { steward } => self.return_slices(steward),
            Event::Handover { slice, to } => self.hand_over(slice, to),
            Event::Join { proxy, steward } => self.join(proxy, steward),
            Event::Read { proxy, slice, pending_read } => self.read(proxy, slice, pending_read),
            Event::Deliver { proxy, steward, stream, message } => {
                self.deliver_message(proxy, steward, stream, &message);
            }
            Event::ApplyCall { steward, call } => self.apply_call(steward, &call),
            Event::Answer { steward, incarnation, call, accepted } => {
                self.answer(steward, incarnation, call, accepted)
            }
            Event::Unanswered { steward, incarnation, call } => self.unanswered(steward, incarnation, call),
            Event::Subscribe { steward, incarnation } => self.subscribe(steward, incarnation),
            Event::SubscriptionLost { steward, incarnation, subscription } => {
                self.lose_subscription(steward, incarnation, subscription)
            }
            Event::Notification { steward, incarnation, subscription, line } => {
                self.deliver(steward, incarnation, subscription, &line);
            }
            Event::List { steward, version } => self.deliver_list(steward, version),
            Event::Reports => self.report(),
            Event::Ping => {
                (0..STEWARDS).for_each(|steward| self.notify(steward, 0, "ping", json!({})));
                self.after(SECOND, Event::Ping);
            }
        }
    }
}

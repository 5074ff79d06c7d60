//! The relay's store, whose slices are assigned to several stewards, and the proxies with the tables that
//! they hold. Pure: it is told the time, and queues notifications for the sockets.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use fastrand::Rng;
use serde_json::{json, Value};

use crate::judge::{Condition, Elapsed, Judge, Limits};
use crate::lists::Lists;

/// Lines that each message costs besides its own.
pub const MESSAGE_OVERHEAD: usize = 12;
/// From leaving the channel until a message is applied and answered.
const TRANSIT_TIME: Duration = Duration::from_millis(100);
/// Until a proxy that has joined, or whose slice was reassigned, has read the store, in milliseconds.
const READ_DELAY_MS: std::ops::Range<u64> = 88..470;
/// Until stewards are notified of a reassignment, which is later than the first proxies read the store.
pub const NOTIFY_DELAY: Duration = Duration::from_millis(150);
/// Until the slices of a steward that is gone are assigned to others, in milliseconds.
const TAKE_OVER_DELAY_MS: std::ops::Range<u64> = 1_000..2_500;
/// Until a steward that is back is assigned its own slices again.
const GIVE_BACK_DELAY: Duration = Duration::from_millis(500);

/// The lease and the settling time of a site.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// How long a proxy continues to send writes after it has lost the steward of their slice.
    pub lease: Duration,
    /// The longest that a write stays in progress.
    pub settle: Duration,
}

impl Times {
    /// From a break to the end of every write that a proxy had accepted.
    pub fn hand_over(&self) -> Duration {
        self.lease + self.settle
    }
}

/// The size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    pub stewards: usize,
    pub proxies: usize,
    pub slices: usize,
    pub servers: usize,
}

impl Sizes {
    /// Returns the lines that may wait in a steward's channel.
    pub fn max_waiting_lines(&self) -> usize {
        70 * self.proxies
    }

    /// Returns the lines a second that a steward's channel sends.
    pub fn rate(&self) -> usize {
        35 * self.proxies
    }
}

struct Slice {
    /// Server and weight.
    line: Option<(usize, f64)>,
    writes_open: bool,
    steward: usize,
    /// How often it was assigned; orders from before the last time are out of date.
    assignments: u64,
    /// When its steward is notified of the assignment.
    notified_at: Elapsed,
}

/// A slice's table as a proxy holds it.
#[derive(Clone, Copy, Default)]
struct Table {
    server: Option<usize>,
    writes_open: bool,
    /// When its writes end, if the proxy has lost the steward.
    writes_until: Option<Elapsed>,
    /// When it reads the store.
    reads_at: Option<Elapsed>,
}

struct Proxy {
    /// The number of its stream to each steward, if there is one.
    streams: Vec<Option<u64>>,
    tables: Vec<Table>,
    mute: bool,
}

enum Change {
    Line(usize),
    /// No line and no level.
    Cleared,
    Writes(bool),
}

struct Content {
    changes: Vec<(usize, u64, Change)>,
    mark: Option<u64>,
}

struct Message {
    proxy: usize,
    stream: u64,
    lines: usize,
    content: Rc<Content>,
}

/// The store's state of a steward.
#[derive(Default)]
struct Steward {
    /// Since when it is gone, and when its slices are assigned to others.
    gone: Option<(Elapsed, Elapsed)>,
    /// Since when it is back.
    back: Option<Elapsed>,
    /// The number of current faults of the relay or the process that keep it from acting; limits count from
    /// their end.
    hindered: usize,
    /// Its time limits are paused until then.
    limits_paused_until: Elapsed,
    subscribed: bool,
    notifications: VecDeque<String>,
    /// Slices assigned (true) and unassigned, and when that is notified.
    delayed_notifications: VecDeque<(Elapsed, usize, bool)>,
    channel: VecDeque<Message>,
    sent: f64,
    arriving: VecDeque<(Elapsed, Message)>,
}

/// The store with its proxies and channels, and the judge.
pub struct Store {
    pub sizes: Sizes,
    times: Times,
    pub judge: Judge,
    pub lists: Lists,
    slices: Vec<Slice>,
    proxies: Vec<Proxy>,
    stewards: Vec<Steward>,
    streams: u64,
    /// The longest time between two steps of the store, as the machine was busy: nothing is read or sent
    /// meanwhile.
    pub longest_step: Duration,
    /// How often slices were reassigned.
    pub hand_overs: usize,
    /// How often a steward's addresses were changed, and its lists were late.
    pub address_changes: usize,
    pub late_lists: usize,
    /// Orders and events of slices and stewards, a line each.
    pub history: Vec<String>,
    now: Elapsed,
    rng: Rng,
}

fn notification(method: &str, params: Value) -> String {
    json!({"jsonrpc": "2.0", "method": method, "params": params}).to_string()
}

pub fn server_name(server: usize) -> String {
    format!("s{server}")
}

fn server_of(name: &Value) -> Option<usize> {
    name.as_str()?.strip_prefix('s')?.parse().ok()
}

impl Store {
    /// Creates a store where every slice has a server and a steward, and no proxy has a stream.
    pub fn new(sizes: Sizes, times: Times, limits: Limits, rng: Rng) -> Store {
        let slice = |n: usize| Slice {
            line: Some((n % sizes.servers, 1.0)),
            writes_open: true,
            steward: n % sizes.stewards,
            assignments: 0,
            notified_at: Elapsed::ZERO,
        };
        // A proxy that has just started sends no writes until it has read the store.
        let table = |n: usize| Table {
            server: Some(n % sizes.servers),
            writes_open: true,
            writes_until: Some(Elapsed::ZERO),
            reads_at: None,
        };
        let proxy = || Proxy {
            streams: vec![None; sizes.stewards],
            tables: (0..sizes.slices).map(table).collect(),
            mute: false,
        };
        Store {
            sizes,
            times,
            judge: Judge::new(limits),
            lists: Lists::new(sizes.stewards, sizes.servers),
            slices: (0..sizes.slices).map(slice).collect(),
            proxies: (0..sizes.proxies).map(|_| proxy()).collect(),
            stewards: (0..sizes.stewards).map(|_| Steward::default()).collect(),
            streams: 0,
            longest_step: Duration::ZERO,
            hand_overs: 0,
            address_changes: 0,
            late_lists: 0,
            history: Vec::new(),
            now: Elapsed::ZERO,
            rng,
        }
    }

    /// Advances to `now`: channels send, proxies apply, answer and read, slices are reassigned, and
    /// everything is judged.
    pub fn advance(&mut self, now: Elapsed) {
        let span = now.saturating_sub(self.now);
        self.now = now;
        self.longest_step = self.longest_step.max(span);
        for steward in 0..self.sizes.stewards {
            self.send(steward, span);
            self.arrive(steward);
        }
        self.apply_due_reads();
        self.reassign_slices();
        (0..self.sizes.stewards).for_each(|steward| self.send_delayed_notifications(steward));
        self.apply_limit_pauses(span);
        self.check_rules();
    }

    fn send(&mut self, steward: usize, span: Duration) {
        let rate = self.sizes.rate() as f64;
        let steward_state = &mut self.stewards[steward];
        steward_state.sent += rate * span.as_secs_f64();
        while let Some(message) =
            steward_state.channel.pop_front_if(|message| message.lines as f64 <= steward_state.sent)
        {
            steward_state.sent -= message.lines as f64;
            steward_state.arriving.push_back((self.now + TRANSIT_TIME, message));
        }
        if steward_state.channel.is_empty() {
            steward_state.sent = 0.0;
        }
    }

    fn arrive(&mut self, steward: usize) {
        let mut late = VecDeque::new();
        while let Some((at, message)) = self.stewards[steward].arriving.pop_front() {
            if at > self.now || self.proxies[message.proxy].mute {
                late.push_back((at, message));
                continue;
            }
            if self.proxies[message.proxy].streams[steward] != Some(message.stream) {
                continue;
            }
            self.apply(message.proxy, &message.content);
            if let Some(mark) = message.content.mark {
                let answer = json!({"id": message.proxy, "seq": mark, "ms": 1.0});
                self.notify(steward, notification("ACK", answer));
            }
        }
        self.stewards[steward].arriving = late;
    }

    fn apply(&mut self, proxy: usize, content: &Content) {
        for (slice, assignments, change) in &content.changes {
            if *assignments != self.slices[*slice].assignments {
                continue;
            }
            let table = &mut self.proxies[proxy].tables[*slice];
            match change {
                Change::Line(server) => table.server = Some(*server),
                Change::Cleared => (table.server, table.writes_open) = (None, true),
                Change::Writes(open) => table.writes_open = *open,
            }
        }
    }

    fn apply_due_reads(&mut self) {
        for (proxy_number, proxy) in self.proxies.iter_mut().enumerate() {
            for (number, (table, slice)) in proxy.tables.iter_mut().zip(&self.slices).enumerate() {
                let is_due = table.reads_at.is_some_and(|at| at <= self.now);
                if is_due && proxy.streams[slice.steward].is_some() {
                    if slice.writes_open && slice.line.is_some_and(|(_, weight)| weight < 1.0) {
                        self.history.push(format!(
                            "{:.3} s: slice {number} is read by proxy {proxy_number}, open to writes, line {:?}",
                            self.now.as_secs_f64(),
                            slice.line
                        ));
                    }
                    *table = Table {
                        server: slice.line.map(|(server, _)| server),
                        writes_open: slice.writes_open,
                        writes_until: None,
                        reads_at: None,
                    };
                }
            }
        }
    }

    /// Assigns the slices of stewards that are gone to others, and their own to stewards that are back.
    fn reassign_slices(&mut self) {
        for slice in 0..self.sizes.slices {
            let home = slice % self.sizes.stewards;
            let holder = self.slices[slice].steward;
            let is_back = self.stewards[home].back.is_some_and(|since| since + GIVE_BACK_DELAY <= self.now);
            if holder != home && is_back {
                self.assign(slice, home);
            } else if self.stewards[holder].gone.is_some_and(|(_, at)| at <= self.now) {
                let present = |steward: &usize| self.stewards[*steward].gone.is_none();
                let others: Vec<usize> = (0..self.sizes.stewards).filter(present).collect();
                if !others.is_empty() {
                    let to = others[self.rng.usize(..others.len())];
                    self.assign(slice, to);
                }
            }
        }
    }

    fn record_slice_event(&mut self, slice: usize, what: String) {
        self.history.push(format!("{:.3} s: slice {slice} {what}", self.now.as_secs_f64()));
    }

    /// Records an event of a steward.
    pub fn record_steward_event(&mut self, steward: usize, what: &str) {
        self.history.push(format!("{:.3} s: steward {steward}: {what}", self.now.as_secs_f64()));
    }

    /// Assigns a slice to a steward. Its levels are reset, and proxies read it again.
    fn assign(&mut self, slice: usize, to: usize) {
        let before = std::mem::replace(&mut self.slices[slice].steward, to);
        self.slices[slice].assignments += 1;
        self.slices[slice].writes_open = true;
        self.slices[slice].notified_at = self.now + NOTIFY_DELAY;
        self.hand_overs += 1;
        let line = self.slices[slice].line;
        self.record_slice_event(slice, format!("is reassigned from steward {before} to {to}, line {line:?}"));
        for proxy in 0..self.sizes.proxies {
            let until = self.now + self.times.lease;
            self.proxies[proxy].tables[slice].writes_until.get_or_insert(until);
            if self.proxies[proxy].streams[to].is_some() {
                self.schedule_read(proxy, slice);
            }
        }
        for (steward, is_assigned) in [(before, false), (to, true)] {
            let steward_state = &mut self.stewards[steward];
            if steward_state.subscribed {
                steward_state.delayed_notifications.push_back((self.now + NOTIFY_DELAY, slice, is_assigned));
            }
        }
        for condition in [Condition::DrainDue, Condition::Unserved] {
            self.judge.set_condition(self.now, slice, condition, false);
        }
    }

    fn schedule_read(&mut self, proxy: usize, slice: usize) {
        let at = self.now + Duration::from_millis(self.rng.u64(READ_DELAY_MS));
        self.proxies[proxy].tables[slice].reads_at = Some(at);
    }

    /// Applies the pauses set by [`Store::pause_limits`].
    fn apply_limit_pauses(&mut self, span: Duration) {
        for slice in 0..self.sizes.slices {
            if self.now < self.stewards[self.slices[slice].steward].limits_paused_until {
                self.judge.pause_limits(slice, span);
            }
        }
    }

    /// Pauses a steward's time limits for `span`, as the relay has broken a call or its addresses have
    /// changed.
    pub fn pause_limits(&mut self, steward: usize, span: Duration) {
        let until = &mut self.stewards[steward].limits_paused_until;
        *until = (*until).max(self.now + span);
    }

    /// Judges which writes proxies may send, and the conditions of slices.
    fn check_rules(&mut self) {
        for slice in 0..self.sizes.slices {
            let writes = |proxy: &Proxy| {
                let table = proxy.tables[slice];
                let runs = table.writes_until.is_none_or(|until| self.now < until);
                table.server.filter(|_| table.writes_open && runs)
            };
            let mut servers: Vec<usize> = self.proxies.iter().filter_map(writes).collect();
            servers.sort_unstable();
            servers.dedup();
            servers.into_iter().for_each(|server| self.judge.may_write(self.now, slice, server));
            let line = self.slices[slice].line;
            let steward = &self.stewards[self.slices[slice].steward];
            let is_notified = self.slices[slice].notified_at <= self.now;
            let number = self.slices[slice].steward;
            let has_list = self.lists.has_list(number);
            let can_act = is_notified && has_list && steward.gone.is_none() && steward.hindered == 0;
            let drains = line.is_some_and(|(server, _)| self.lists.knows_drain(number, server));
            self.judge.set_condition(self.now, slice, Condition::DrainDue, can_act && drains);
            self.judge.set_condition(self.now, slice, Condition::Unserved, can_act && line.is_none());
        }
    }

    /// A steward subscribes: it receives a snapshot first.
    pub fn subscribe(&mut self, steward: usize, id: &Value) {
        let steward_state = &mut self.stewards[steward];
        steward_state.subscribed = true;
        steward_state.delayed_notifications.clear();
        steward_state.notifications =
            VecDeque::from([json!({"jsonrpc": "2.0", "id": id, "result": true}).to_string()]);
        for proxy in 0..self.sizes.proxies {
            if self.proxies[proxy].streams[steward].is_some() {
                self.notify_joined(steward, proxy);
            }
        }
        for slice in 0..self.sizes.slices {
            if self.slices[slice].steward == steward {
                self.notify_slice(steward, slice);
            }
        }
    }

    pub fn unsubscribe(&mut self, steward: usize) {
        self.stewards[steward].subscribed = false;
        self.stewards[steward].notifications.clear();
        self.stewards[steward].delayed_notifications.clear();
    }

    /// Returns a steward's next notification.
    pub fn next_notification(&mut self, steward: usize) -> Option<String> {
        self.stewards[steward].notifications.pop_front()
    }

    pub fn heartbeat(&mut self, steward: usize) {
        self.notify(steward, notification("ping", json!({})));
    }

    fn notify(&mut self, steward: usize, line: String) {
        let steward_state = &mut self.stewards[steward];
        if steward_state.subscribed {
            steward_state.notifications.push_back(line);
        }
    }

    /// Sends the delayed notifications that are due, with the slices' current lines.
    fn send_delayed_notifications(&mut self, steward: usize) {
        while let Some((_, slice, is_assigned)) =
            self.stewards[steward].delayed_notifications.pop_front_if(|(at, ..)| *at <= self.now)
        {
            self.record_slice_event(slice, format!("steward {steward} is notified, assigned: {is_assigned}"));
            match is_assigned {
                true => self.notify_slice(steward, slice),
                false => self.notify(steward, notification("GRANT", json!({"range": slice, "flag": false}))),
            }
        }
    }

    fn notify_joined(&mut self, steward: usize, proxy: usize) {
        let joined = json!({"id": proxy, "site": "a", "rps": 1.0, "new": false});
        self.notify(steward, notification("SUBSCRIBE", joined));
    }

    fn notify_slice(&mut self, steward: usize, slice: usize) {
        self.notify(steward, notification("GRANT", json!({"range": slice, "flag": true})));
        if let Some((server, weight)) = self.slices[slice].line {
            let line = json!({"range": slice, "target": server_name(server), "rps": weight});
            self.notify(steward, notification("ROW", line));
        }
    }

    /// A proxy's stream to a steward comes up.
    pub fn join(&mut self, steward: usize, proxy: usize) {
        if self.stewards[steward].gone.is_some() || self.proxies[proxy].streams[steward].is_some() {
            return;
        }
        self.streams += 1;
        self.proxies[proxy].streams[steward] = Some(self.streams);
        self.judge.joined(steward, proxy);
        for slice in 0..self.sizes.slices {
            if self.slices[slice].steward == steward {
                self.schedule_read(proxy, slice);
            }
        }
        self.notify_joined(steward, proxy);
    }

    /// A proxy's stream to a steward breaks.
    pub fn leave(&mut self, steward: usize, proxy: usize) {
        if self.proxies[proxy].streams[steward].take().is_none() {
            return;
        }
        for slice in 0..self.sizes.slices {
            if self.slices[slice].steward == steward {
                let until = self.now + self.times.lease;
                let table = &mut self.proxies[proxy].tables[slice];
                table.reads_at = None;
                table.writes_until.get_or_insert(until);
            }
        }
        self.stewards[steward].channel.retain(|message| message.proxy != proxy);
        self.notify(steward, notification("CLOSED", json!({"id": proxy})));
    }

    /// A proxy stops answering, or continues.
    pub fn set_mute(&mut self, proxy: usize, mute: bool) {
        self.proxies[proxy].mute = mute;
    }

    /// A steward's process is gone, or it is cut off: all its streams break.
    pub fn steward_gone(&mut self, steward: usize) {
        (0..self.sizes.proxies).for_each(|proxy| self.leave(steward, proxy));
        let take_over = self.now + Duration::from_millis(self.rng.u64(TAKE_OVER_DELAY_MS));
        let steward_state = &mut self.stewards[steward];
        steward_state.gone.get_or_insert((self.now, take_over));
        steward_state.back = None;
        steward_state.channel.clear();
        steward_state.arriving.clear();
    }

    /// A steward's process is ready, or it is no longer cut off.
    pub fn steward_back(&mut self, steward: usize) {
        self.stewards[steward].gone = None;
        self.stewards[steward].back = Some(self.now);
    }

    /// A fault that keeps a steward from acting begins or ends.
    pub fn set_hindered(&mut self, steward: usize, begins: bool) {
        let hindered = &mut self.stewards[steward].hindered;
        *hindered = if begins { *hindered + 1 } else { hindered.saturating_sub(1) };
    }

    /// Carries out a call. Returns how many orders were accepted.
    pub fn carry_out(&mut self, steward: usize, orders: &[Value]) -> usize {
        let mut content = Content { changes: Vec::new(), mark: None };
        let mut lines = MESSAGE_OVERHEAD;
        for order in orders {
            let cluster = order["cluster"].as_u64().map(|slice| slice as usize);
            if cluster.is_some_and(|slice| self.slices[slice].steward != steward) {
                continue;
            }
            lines += 1;
            if let Some(mark) = order["nonce_out"].as_u64() {
                content.mark = Some(mark);
            }
            let Some(slice) = cluster else { continue };
            self.record_slice_event(slice, format!("steward {steward} orders {order}"));
            if let Some(change) = self.order(slice, order) {
                content.changes.push((slice, self.slices[slice].assignments, change));
            }
        }
        self.queue_messages(steward, lines, Rc::new(content));
        orders.len()
    }

    fn order(&mut self, slice: usize, order: &Value) -> Option<Change> {
        let entry = &mut self.slices[slice];
        match order["verb"].as_str()? {
            "share" => {
                let server = server_of(&order["target"])?;
                let before = entry.line.replace((server, order["rps"].as_f64()?));
                if before.is_some_and(|(before, _)| before != server) {
                    self.judge.moved_directly(self.now, slice);
                }
                Some(Change::Line(server))
            }
            "clear" => {
                (entry.line, entry.writes_open) = (None, true);
                Some(Change::Cleared)
            }
            "admit" => {
                let routes = order["routes"].as_array();
                let of_writes = routes.is_none_or(|routes| routes.iter().any(|route| route == "write"));
                let open = order["admit"].as_f64()? > 0.0;
                of_writes.then(|| {
                    entry.writes_open = open;
                    Change::Writes(open)
                })
            }
            _ => None,
        }
    }

    fn queue_messages(&mut self, steward: usize, lines: usize, content: Rc<Content>) {
        for proxy in 0..self.sizes.proxies {
            let Some(stream) = self.proxies[proxy].streams[steward] else { continue };
            self.stewards[steward].channel.push_back(Message {
                proxy,
                stream,
                lines,
                content: content.clone(),
            });
            self.judge.message(self.now, steward, proxy);
        }
        let lines = self.stewards[steward].channel.iter().map(|message| message.lines).sum();
        self.judge.lines_waiting(self.now, steward, lines);
    }

    /// Returns the number of slices at draining servers, and of slices without a server that takes writes.
    pub fn unrecovered(&self) -> (usize, usize) {
        let drains = |slice: &&Slice| slice.line.is_some_and(|(server, _)| self.lists.drains(server));
        let unserved = |slice: &&Slice| slice.line.is_none_or(|(_, weight)| weight < 1.0);
        (self.slices.iter().filter(drains).count(), self.slices.iter().filter(unserved).count())
    }
}

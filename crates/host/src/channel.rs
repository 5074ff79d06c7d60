//! The channel: a log of updates, each sent to every proxy once it is durable, with rate limiting.
//!
//! An update is encoded once and shared. Each proxy has a position in the log; the updates between its position and the
//! durable end form its next message, so a proxy that was held back gets several updates in one message. An update is
//! discarded once each proxy that it was meant for has been sent it or has left.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use bytes::Bytes;
use ravenspar_protocol::{kind, tag, Frame, MAX_BODY_FROM_STEWARD};
use ravenspar_steward::{Time, SECOND};

use crate::limits::Limits;
use crate::table::Change;

#[derive(Debug)]
struct Update {
    fields: Bytes,
    changes: Vec<Change>,
    /// Lines that the update costs per proxy, message overhead included.
    cost: u64,
    epoch: Option<u64>,
    /// Proxies that have not been sent the update yet.
    pending_proxies: u64,
}

/// A proxy's position in the log.
#[derive(Clone, Debug, Default)]
pub struct Position {
    /// Number of the next update to send.
    next: u64,
    queued: bool,
    /// Send times of the messages within the window.
    sent: VecDeque<Time>,
}

/// A message to one proxy, with the epoch and the end that the proxy must answer.
#[derive(Debug)]
pub struct Message {
    pub body: Bytes,
    pub epoch: Option<u64>,
    pub end: Option<u64>,
}

/// The update log and the schedule by which proxies are sent its updates.
#[derive(Debug, Default)]
pub struct Channel {
    updates: VecDeque<Update>,
    /// Number of the first update in the log.
    first: u64,
    /// Number of the first update that is not durable and may not be sent yet.
    durable: u64,
    /// Lines still to be sent, over all proxies.
    waiting: u64,
    /// When the next message may be sent, in units of 100 ns.
    next_send_at: i64,
    ready: VecDeque<usize>,
    /// Proxies that have used up their window, with the time at which the oldest message leaves it.
    window_limited: BinaryHeap<Reverse<(Time, usize)>>,
    pub most_waiting: u64,
    /// Number of times that a message was delayed by the window's limit.
    pub window_waits: u64,
}

/// Units of 100 ns in one unit of [`Time`].
const TICKS_PER_TIME_UNIT: i64 = 1_000;

/// How far the channel may run ahead of its rate limit. Timers fire a millisecond late, while messages are spaced at a
/// fifth of that: without this each message waited for a timer, and 290 messages took 290 ms instead of 50.
const MAX_AHEAD: Time = 50;

impl Channel {
    /// Returns the number of lines still to be sent, over all proxies.
    pub fn waiting(&self) -> u64 {
        self.waiting
    }

    /// Appends an update and returns its number. `proxies` is the number of proxies that will be sent it.
    pub fn push(
        &mut self,
        update: Bytes,
        changes: Vec<Change>,
        cost: u64,
        epoch: Option<u64>,
        proxies: u64,
    ) -> u64 {
        self.updates.push_back(Update { fields: update, changes, cost, epoch, pending_proxies: proxies });
        self.waiting += cost * proxies;
        self.most_waiting = self.most_waiting.max(self.waiting);
        self.first + self.updates.len() as u64 - 1
    }

    /// Marks an update and all before it as durable, so that they may be sent; calls `apply` with each of their changes.
    pub fn mark_durable(&mut self, update: u64, mut apply: impl FnMut(&Change)) {
        while self.durable <= update {
            let at = (self.durable - self.first) as usize;
            self.updates[at].changes.iter().for_each(&mut apply);
            self.durable += 1;
        }
        self.discard_sent();
    }

    /// Returns the number that the next update will get.
    pub fn end(&self) -> u64 {
        self.first + self.updates.len() as u64
    }

    /// Returns true if a proxy has been sent every update in the log.
    pub fn is_caught_up(&self, position: &Position) -> bool {
        position.next == self.end()
    }

    /// Places a proxy that is sent the whole table behind the last durable update. Returns that position.
    pub fn join(&mut self, position: &mut Position) -> u64 {
        *position = Position { next: self.durable, ..Position::default() };
        for update in self.updates.range_mut((self.durable - self.first) as usize..) {
            update.pending_proxies += 1;
            self.waiting += update.cost;
        }
        self.most_waiting = self.most_waiting.max(self.waiting);
        self.durable
    }

    /// Releases the updates that a leaving proxy has not been sent.
    pub fn leave(&mut self, position: &Position) {
        for update in self.updates.range_mut((position.next - self.first) as usize..) {
            update.pending_proxies -= 1;
            self.waiting -= update.cost;
        }
        self.discard_sent();
    }

    fn discard_sent(&mut self) {
        while self.first < self.durable
            && self.updates.front().is_some_and(|update| update.pending_proxies == 0)
        {
            self.updates.pop_front();
            self.first += 1;
        }
    }

    /// Queues a proxy if it has updates to be sent.
    pub fn enqueue(&mut self, proxy: usize, position: &mut Position) {
        if !position.queued && position.next < self.durable {
            position.queued = true;
            self.ready.push_back(proxy);
        }
    }

    /// Returns the next proxy to send to, if the rate limit allows a message now.
    pub fn next_proxy(&mut self, now: Time) -> Option<usize> {
        while let Some(Reverse((_, proxy))) =
            self.window_limited.peek().copied().filter(|Reverse((at, _))| *at <= now)
        {
            self.window_limited.pop();
            self.ready.push_back(proxy);
        }
        if self.next_send_at > (now + MAX_AHEAD) * TICKS_PER_TIME_UNIT {
            return None;
        }
        self.ready.pop_front()
    }

    /// Returns the earliest time at which [`Channel::next_proxy`] may return a proxy.
    pub fn next_proxy_at(&self, now: Time) -> Option<Time> {
        let paced = (!self.ready.is_empty()).then(|| {
            now.max((self.next_send_at + TICKS_PER_TIME_UNIT - 1) / TICKS_PER_TIME_UNIT - MAX_AHEAD)
        });
        let window_limited = self.window_limited.peek().map(|Reverse((at, _))| *at);
        paced.into_iter().chain(window_limited).min()
    }

    /// Marks a proxy as no longer queued.
    pub fn mark_unqueued(&mut self, position: &mut Position) {
        position.queued = false;
    }

    /// Builds the next message to a proxy: its pending updates, as many as fit in one frame, and the newest epoch in
    /// them. Returns `None` if nothing is pending, or if the proxy's window is used up; it is then queued until the
    /// window allows a message. With `require_answer` the message carries its end, which the proxy must answer.
    pub fn next_message(
        &mut self,
        now: Time,
        proxy: usize,
        position: &mut Position,
        require_answer: bool,
        limits: &Limits,
    ) -> Option<Message> {
        while position.sent.front().is_some_and(|&at| now - at > limits.window) {
            position.sent.pop_front();
        }
        if limits.messages_per_window > 0 && position.sent.len() >= limits.messages_per_window {
            self.window_waits += 1;
            self.window_limited.push(Reverse((position.sent[0] + limits.window + 1, proxy)));
            return None;
        }
        position.queued = false;
        if position.next >= self.durable {
            return None;
        }
        let mut frame = Frame::new(kind::TABLE);
        let (mut cost, mut epoch) = (limits.message_overhead, None);
        while position.next < self.durable {
            let update = &mut self.updates[(position.next - self.first) as usize];
            if frame.len() > 1 && frame.len() + update.fields.len() + 16 > MAX_BODY_FROM_STEWARD {
                break;
            }
            frame.append(&update.fields);
            cost += update.cost - limits.message_overhead;
            epoch = update.epoch.or(epoch);
            self.waiting -= update.cost;
            update.pending_proxies -= 1;
            position.next += 1;
        }
        if let Some(epoch) = epoch {
            frame.numbers(tag::MARK, &[epoch]);
        }
        let end = require_answer.then_some(position.next);
        end.iter().for_each(|&end| _ = frame.numbers(tag::END, &[end]));
        position.sent.push_back(now);
        self.next_send_at = self.next_send_at.max(now * TICKS_PER_TIME_UNIT)
            + (cost as f64 * (TICKS_PER_TIME_UNIT * SECOND) as f64 / limits.lines_per_second) as i64;
        self.discard_sent();
        Some(Message { body: frame.finish(), epoch, end })
    }
}

//! Judges a soak by what crossed the sockets: which writes proxies may send, what waits for them, and what
//! clients were answered. Pure: it is told what happened, and when.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Time since the start of the soak.
pub type Elapsed = Duration;

/// The limits configured for the stewards, and the judge's own.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The longest that a write stays in progress.
    pub settle: Duration,
    /// Lines that may wait for all proxies in a steward's channel.
    pub max_waiting_lines: usize,
    /// Messages to one proxy within the window.
    pub messages: usize,
    pub window: Duration,
    /// The longest that a slice may stay at a draining server, and be without a server while one is ready.
    pub max_drain: Duration,
    pub max_unserved: Duration,
    /// From the start of a process until it answers.
    pub ready: Duration,
}

/// A condition of a slice that the steward it is assigned to has to end in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Condition {
    /// Its server drains.
    DrainDue,
    /// It has no line.
    Unserved,
}

#[derive(Debug)]
pub struct Judge {
    limits: Limits,
    violations: Vec<String>,
    /// When writes for a slice could last be sent to a server.
    written_at: BTreeMap<(usize, usize), Elapsed>,
    /// When a steward wrote messages to a proxy, within the window.
    messages: BTreeMap<(usize, usize), VecDeque<Elapsed>>,
    /// Since when a condition of a slice holds.
    conditions: BTreeMap<(usize, Condition), Elapsed>,
    /// The longest that a drain was due.
    pub longest_drain: Duration,
}

impl Judge {
    pub fn new(limits: Limits) -> Judge {
        Judge {
            limits,
            violations: Vec::new(),
            written_at: BTreeMap::new(),
            messages: BTreeMap::new(),
            conditions: BTreeMap::new(),
            longest_drain: Duration::ZERO,
        }
    }

    /// Returns the violations in their order.
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Records a violation.
    pub fn violation(&mut self, at: Elapsed, what: String) {
        const MAX_KEPT: usize = 20;
        if self.violations.len() < MAX_KEPT {
            self.violations.push(format!("{:.2} s: {what}", at.as_secs_f64()));
        }
    }

    /// Some proxy may send writes of a slice to a server: writes sent to another server must have ended.
    pub fn may_write(&mut self, at: Elapsed, slice: usize, server: usize) {
        let others = self.written_at.range((slice, 0)..=(slice, usize::MAX));
        let conflict = others
            .filter(|((_, other), last)| *other != server && **last + self.limits.settle > at)
            .map(|((_, other), last)| (*other, *last))
            .next();
        if let Some((other, last)) = conflict {
            let ago = (at - last).as_millis();
            self.violation(
                at,
                format!("duplicate: slice {slice} is written at {server}, {ago} ms after {other}"),
            );
        }
        self.written_at.insert((slice, server), at);
    }

    /// An order moves a slice from one server to another without a revoke between.
    pub fn moved_directly(&mut self, at: Elapsed, slice: usize) {
        self.violation(at, format!("duplicate: slice {slice} is moved with no revoke"));
    }

    /// Checks the lines that wait in a steward's channel.
    pub fn lines_waiting(&mut self, at: Elapsed, steward: usize, lines: usize) {
        if lines > self.limits.max_waiting_lines {
            let limit = self.limits.max_waiting_lines;
            self.violation(at, format!("queue: {lines} lines wait for steward {steward}, {limit} may"));
        }
    }

    /// Checks a message that a steward writes to a proxy.
    pub fn message(&mut self, at: Elapsed, steward: usize, proxy: usize) {
        let written_at = self.messages.entry((steward, proxy)).or_default();
        written_at.push_back(at);
        written_at.retain(|before| at - *before < self.limits.window);
        let count = written_at.len();
        if count > self.limits.messages {
            self.violation(
                at,
                format!("messages: {count} of steward {steward} to proxy {proxy} in the window"),
            );
        }
    }

    /// A proxy's stream is new: its messages count from here.
    pub fn joined(&mut self, steward: usize, proxy: usize) {
        self.messages.remove(&(steward, proxy));
    }

    /// Pauses the time limits of a slice's conditions for `span`.
    pub fn pause_limits(&mut self, slice: usize, span: Duration) {
        let conditions =
            self.conditions.range_mut((slice, Condition::DrainDue)..=(slice, Condition::Unserved));
        conditions.for_each(|(_, since)| *since += span);
    }

    /// Notes whether a condition of a slice holds, while the steward that it is assigned to can act.
    pub fn set_condition(&mut self, at: Elapsed, slice: usize, condition: Condition, holds: bool) {
        if !holds {
            self.conditions.remove(&(slice, condition));
            return;
        }
        let since = *self.conditions.entry((slice, condition)).or_insert(at);
        let (limit, what) = match condition {
            Condition::DrainDue => (self.limits.max_drain, "drain: due for slice"),
            Condition::Unserved => (self.limits.max_unserved, "lost: no server for slice"),
        };
        if condition == Condition::DrainDue {
            self.longest_drain = self.longest_drain.max(at - since);
        }
        if at - since > limit {
            self.violation(at, format!("{what} {slice} for {} ms", (at - since).as_millis()));
            self.conditions.remove(&(slice, condition));
        }
    }

    /// A connection ended with this many requests read and not answered.
    pub fn unanswered(&mut self, at: Elapsed, steward: usize, requests: usize) {
        if requests > 0 {
            self.violation(
                at,
                format!("lost: {requests} requests read by steward {steward} and not answered"),
            );
        }
    }

    /// A collector was rejected for reports that can't be used; each of these should only be dropped.
    pub fn rejected(&mut self, at: Elapsed, steward: usize) {
        self.violation(at, format!("rejected: steward {steward} rejected a collector for its reports"));
    }

    /// A process first answered this long after its start.
    pub fn ready(&mut self, at: Elapsed, steward: usize, after: Duration) {
        if after > self.limits.ready {
            self.violation(at, format!("ready: steward {steward} took {} ms", after.as_millis()));
        }
    }

    /// A process that was asked to end has exited with this code.
    pub fn exited(&mut self, at: Elapsed, steward: usize, code: Option<i32>) {
        if code != Some(0) {
            self.violation(at, format!("crash: steward {steward} ended with {code:?}"));
        }
    }

    /// A process exited without being asked to, with this code: a violation also at a SIGHUP, and whatever
    /// the code.
    pub fn exited_unasked(&mut self, at: Elapsed, steward: usize, code: Option<i32>) {
        self.violation(at, format!("crash: steward {steward} ended unasked with {code:?}"));
    }
}

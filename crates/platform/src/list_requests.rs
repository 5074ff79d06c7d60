//! Decides when discovery is queried, and how long each answer is waited for. No I/O, no clock.
//!
//! The complete list and the changes are two queries. While answers come at once they take turns on one connection; neither
//! waits long for the other's answer. An answer may be delivered in pieces and is read for as long as it makes progress. If
//! it stalls, the query is repeated on another connection while the stalled one stays open (a hedged request). The same is
//! done while an answer with changes takes long, as it can't have what has changed since it began. An answer ends the
//! attempts that were sent before it.

use std::collections::VecDeque;

use ravenspar_steward::{Time, SECOND};

/// How long discovery may hold a query for changes. Short, so that a query that will never be answered is soon repeated.
const LONG_POLL: Time = SECOND;

/// The complete list is queried this often. Guards against a watch that is alive and reports no changes any more, or that
/// has left one out.
const COMPLETE_LIST_INTERVAL: Time = 10 * SECOND;

/// A query is repeated if nothing has been received for this long: the longest hold of a query for changes, and a margin, as
/// the agent is on this machine and answers at once.
const STALL_TIMEOUT: Time = LONG_POLL + SECOND / 2;

/// Whatever discovery reports arrives within this time: an attempt that has received nothing for this long is abandoned.
const ANSWER_TIMEOUT: Time = 6 * SECOND;

/// The query for the complete list is repeated after this long even if its answer makes progress.
const COMPLETE_LIST_REPEAT_INTERVAL: Time = ANSWER_TIMEOUT;

/// The query for changes is repeated after this long even if its answer makes progress.
const CHANGES_REPEAT_INTERVAL: Time = STALL_TIMEOUT;

/// Attempts of one query at a time: one whose answer takes longer than [`ANSWER_TIMEOUT`], and beside it as many as are sent
/// within that time, so that each of them gets it.
const MAX_ATTEMPTS: usize = 1 + (ANSWER_TIMEOUT / STALL_TIMEOUT) as usize;

/// Pause before a query is repeated after the second failure in a row, and after each further one. The first is repeated at
/// once: the watch goes on only if the next query comes soon.
const RETRY_PAUSE: Time = SECOND / 10;

/// How long changes are not queried after a query for the complete list, so that its answer can come first: the watch goes
/// on if the next query comes within 200 ms.
const COMPLETE_LIST_HEAD_START: Time = SECOND / 10;

/// Consecutive failures of queries for changes after which the complete list is queried.
const FAILURES_BEFORE_COMPLETE_LIST: u32 = 4;

/// What discovery is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListQuery {
    /// The complete list.
    Complete,
    /// The changes since this version, as soon as there are any.
    ChangesSince(u64),
}

impl ListQuery {
    /// Returns the path and query string of the request.
    pub fn path(self) -> String {
        match self {
            ListQuery::Complete => "/discovery/hosts".to_owned(),
            ListQuery::ChangesSince(version) => {
                format!("/discovery/hosts?since={version}&timeout_ms={}", LONG_POLL / (SECOND / 1_000))
            }
        }
    }
}

/// An action for the caller to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListAction {
    /// Sends a query on a connection that carries no other one.
    Send { id: u64, query: ListQuery },
    /// Closes the connection of an attempt, whose answer is not needed any more.
    Abandon { id: u64 },
}

/// A query that was sent and is not answered yet.
#[derive(Debug)]
struct Attempt {
    id: u64,
    /// Bytes of the answer so far.
    received: u64,
    /// When it was sent, or when it last received bytes.
    progressed_at: Time,
}

/// One of the two queries: its attempts, or when it is sent next.
#[derive(Debug)]
struct Fetch {
    /// In the order in which they were sent.
    attempts: Vec<Attempt>,
    /// It is repeated after this long even if its answer makes progress.
    repeat_interval: Time,
    /// When it is sent next, if no attempt is in progress.
    due_at: Time,
    last_sent_at: Time,
    /// Consecutive failures.
    failures: u32,
}

impl Fetch {
    fn new(due_at: Time, repeat_interval: Time) -> Fetch {
        Fetch { attempts: Vec::new(), repeat_interval, due_at, last_sent_at: due_at, failures: 0 }
    }

    /// Returns when the query is repeated beside the attempts in progress, or `None` if there is none.
    fn repeat_at(&self) -> Option<Time> {
        let progressed_at = self.attempts.iter().map(|attempt| attempt.progressed_at).max()?;
        let stalled_at = progressed_at.max(self.last_sent_at) + STALL_TIMEOUT;
        Some(stalled_at.min(self.last_sent_at + self.repeat_interval))
    }

    /// Returns when the first of its attempts times out.
    fn next_expiry(&self) -> Option<Time> {
        self.attempts.iter().map(|attempt| attempt.progressed_at + ANSWER_TIMEOUT).min()
    }

    /// Removes an attempt that has timed out, if there is one, and returns its id.
    fn take_expired(&mut self, now: Time) -> Option<u64> {
        let expired = |attempt: &Attempt| now >= attempt.progressed_at + ANSWER_TIMEOUT;
        let index = self.attempts.iter().position(expired)?;
        Some(self.attempts.remove(index).id)
    }

    /// Removes an attempt if there are as many as may be, and returns its id. The one that has received most goes on, so that
    /// a slow answer is read to its end; of the others the oldest is removed.
    fn take_surplus(&mut self) -> Option<u64> {
        if self.attempts.len() < MAX_ATTEMPTS {
            return None;
        }
        let received: Vec<u64> = self.attempts.iter().map(|attempt| attempt.received).collect();
        let most = received.iter().max()?;
        let oldest_other = if received.first() == Some(most) { 1 } else { 0 };
        Some(self.attempts.remove(oldest_other).id)
    }

    /// Starts an attempt; returns how to send it, and how to end the one that makes room for it.
    fn send(&mut self, now: Time, id: u64, query: ListQuery) -> impl Iterator<Item = ListAction> {
        let surplus = self.take_surplus().map(|id| ListAction::Abandon { id });
        self.attempts.push(Attempt { id, received: 0, progressed_at: now });
        self.last_sent_at = now;
        surplus.into_iter().chain([ListAction::Send { id, query }])
    }

    /// Returns true if an attempt with this id is in progress.
    fn has(&self, id: u64) -> bool {
        self.attempts.iter().any(|attempt| attempt.id == id)
    }

    /// Removes an attempt. Returns false if it is not one of this query.
    fn remove(&mut self, id: u64) -> bool {
        let index = self.attempts.iter().position(|attempt| attempt.id == id);
        index.map(|index| self.attempts.remove(index)).is_some()
    }

    /// Records that an attempt has failed.
    fn failed(&mut self, now: Time) {
        self.failures += 1;
        self.due_at = if self.failures == 1 { now } else { now + RETRY_PAUSE };
    }

    /// Records that the query needs no further answer and is sent again at `due_at`. Returns how to end its attempts.
    fn finish(&mut self, due_at: Time) -> impl Iterator<Item = ListAction> {
        self.finish_before(u64::MAX, due_at)
    }

    /// The same for the attempts that were sent before the one with this id. Those that were sent after it go on.
    fn finish_before(&mut self, id: u64, due_at: Time) -> impl Iterator<Item = ListAction> {
        (self.due_at, self.failures) = (due_at, 0);
        let later = self.attempts.partition_point(|attempt| attempt.id < id);
        let earlier: Vec<Attempt> = self.attempts.drain(..later).collect();
        earlier.into_iter().map(|attempt| ListAction::Abandon { id: attempt.id })
    }
}

/// The queries to discovery at one address.
#[derive(Debug)]
pub struct ListRequests {
    /// The version of the list that changes are queried since.
    version: Option<u64>,
    /// A complete list was received from this address, so that its versions are numbered as this one is.
    has_complete_list: bool,
    complete: Fetch,
    changes: Fetch,
    next_id: u64,
    actions: VecDeque<ListAction>,
}

impl ListRequests {
    /// Creates the queries of a process that has received no list. The complete list is queried first; if it is not there at
    /// once, so are the changes since the version of the stored list, if there is one.
    pub fn new(now: Time, stored_version: Option<u64>) -> ListRequests {
        ListRequests {
            version: stored_version,
            has_complete_list: false,
            complete: Fetch::new(now, COMPLETE_LIST_REPEAT_INTERVAL),
            changes: Fetch::new(now, CHANGES_REPEAT_INTERVAL),
            next_id: 0,
            actions: VecDeque::new(),
        }
    }

    /// Abandons all attempts and starts over, as discovery is at another address. It may number its versions differently, so
    /// the complete list is queried first; if it is not there at once, so are the changes since the version held.
    pub fn restart(&mut self, now: Time) {
        self.has_complete_list = false;
        self.actions.extend(self.complete.finish(now));
        self.actions.extend(self.changes.finish(now));
    }

    /// Records how many bytes an attempt has received, and when it received the last of them.
    pub fn handle_progress(&mut self, id: u64, received: u64, at: Time) {
        let mut attempts = self.complete.attempts.iter_mut().chain(&mut self.changes.attempts);
        if let Some(attempt) = attempts.find(|attempt| attempt.id == id && received > attempt.received) {
            (attempt.received, attempt.progressed_at) = (received, at.max(attempt.progressed_at));
        }
    }

    /// Handles an answer that was accepted: the list is now of this version.
    pub fn handle_accepted(&mut self, now: Time, id: u64, version: u64) {
        // Discovery has started over: changes since a version of before may never come.
        let is_renumbered = self.version.is_some_and(|known| version < known);
        self.version = Some(version);
        self.has_complete_list |= self.complete.has(id);
        self.handle_answered(now, id);
        if is_renumbered {
            self.actions.extend(self.changes.finish(now));
        }
    }

    /// Handles an answer that is not needed, as a newer list was received while it was on its way. For the first complete
    /// list from this address that counts as a failure: the newer one may be from another.
    pub fn handle_overtaken(&mut self, now: Time, id: u64) {
        if self.complete.has(id) && !self.has_complete_list {
            self.handle_failed(now, id);
        } else {
            self.handle_answered(now, id);
        }
    }

    fn handle_answered(&mut self, now: Time, id: u64) {
        let next_complete = now + COMPLETE_LIST_INTERVAL;
        if self.complete.remove(id) {
            self.actions.extend(self.complete.finish(next_complete));
        }
        if self.changes.remove(id) {
            self.actions.extend(self.changes.finish_before(id, now));
        }
    }

    /// Handles an attempt that failed, or whose answer can't be used. Returns the number of consecutive failures.
    pub fn handle_failed(&mut self, now: Time, id: u64) -> u32 {
        for fetch in [&mut self.complete, &mut self.changes] {
            if fetch.remove(id) {
                fetch.failed(now);
            }
        }
        self.query_complete_list_if_changes_fail(now);
        self.failures()
    }

    /// Returns the number of consecutive failures of the query that failed more often.
    pub fn failures(&self) -> u32 {
        self.complete.failures.max(self.changes.failures)
    }

    fn query_complete_list_if_changes_fail(&mut self, now: Time) {
        if self.changes.failures >= FAILURES_BEFORE_COMPLETE_LIST {
            self.complete.due_at = self.complete.due_at.min(now + RETRY_PAUSE);
        }
    }

    /// Returns the next action, or `None` if there is none for now.
    pub fn poll(&mut self, now: Time) -> Option<ListAction> {
        if self.actions.is_empty() {
            self.abandon_expired(now);
            self.send_due(now);
        }
        self.actions.pop_front()
    }

    fn abandon_expired(&mut self, now: Time) {
        for fetch in [&mut self.complete, &mut self.changes] {
            while let Some(id) = fetch.take_expired(now) {
                fetch.failed(now);
                self.actions.push_back(ListAction::Abandon { id });
            }
        }
        self.query_complete_list_if_changes_fail(now);
    }

    /// Returns when the complete list is queried next: once the query for changes is answered, or soon without that.
    fn complete_at(&self) -> Time {
        let due_at = self.complete.due_at;
        let changes_stall_at = self.changes.repeat_at().unwrap_or(due_at);
        let send_at = due_at.max(changes_stall_at.min(due_at + STALL_TIMEOUT));
        self.complete.repeat_at().unwrap_or(send_at)
    }

    /// Returns when changes are queried next, or `None` if no list is held.
    fn changes_at(&self) -> Option<Time> {
        self.version?;
        let awaits_complete = !self.complete.attempts.is_empty();
        let head_start = if awaits_complete { COMPLETE_LIST_HEAD_START } else { 0 };
        let send_at = self.changes.due_at.max(self.complete.last_sent_at + head_start);
        Some(self.changes.repeat_at().unwrap_or(send_at))
    }

    fn send_due(&mut self, now: Time) {
        if now >= self.complete_at() {
            let id = self.new_id();
            self.actions.extend(self.complete.send(now, id, ListQuery::Complete));
        }
        if let Some(version) = self.version.filter(|_| self.changes_at().is_some_and(|at| now >= at)) {
            let id = self.new_id();
            self.actions.extend(self.changes.send(now, id, ListQuery::ChangesSince(version)));
        }
    }

    fn new_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Returns when [`ListRequests::poll`] has to be called next.
    pub fn next_timeout(&self) -> Time {
        let others = [self.changes_at(), self.complete.next_expiry(), self.changes.next_expiry()];
        others.into_iter().flatten().fold(self.complete_at(), Time::min)
    }
}

#[cfg(test)]
mod tests;

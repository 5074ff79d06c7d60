//! Queue of orders to the store: sends one call at a time, in order, until each is known to be applied.
//!
//! A call whose answer is lost was applied as a whole or not at all. It is sent again before any later one, which is
//! harmless, as orders are idempotent: each states the resulting state, not a change.

mod dispositions;

use std::collections::VecDeque;

use ravenspar_steward::{Order, Time, SECOND};
use serde_json::Value;

use dispositions::{dispositions, Disposition};

/// The platform accepts 60,000 bytes of orders per call; the rest is left for the envelope.
const MAX_CALL_BYTES: usize = 59_000;

/// Delay between attempts of a call that failed twice or more in a row: a store that is down is asked ten times a
/// second.
const RETRY_DELAY: Time = SECOND / 10;

/// An order in the queue, with its encoded text.
#[derive(Clone, Debug)]
struct QueuedOrder {
    order: Order,
    text: String,
    /// Its slice was unassigned or assigned again since, so the order no longer applies.
    dropped: bool,
    /// The next message that carries it is already counted in the decisions' ledger.
    counted: bool,
}

impl QueuedOrder {
    fn is_mark(&self) -> bool {
        matches!(self.order, Order::Mark { .. })
    }

    /// Returns true if no message is counted for it yet. Marks are excluded: each message has its own.
    fn is_repeated(&self) -> bool {
        !self.counted && !self.dropped && !self.is_mark()
    }

    /// Returns true if it only takes permissions away, and so is safe whatever the current state is.
    fn is_restrictive(&self) -> bool {
        match self.order {
            Order::DropLines { .. } | Order::Mark { .. } => true,
            Order::Withdraw { out, .. } => out,
            _ => false,
        }
    }
}

fn encoded_len(call: &[QueuedOrder]) -> usize {
    call.iter().map(|item| item.text.len() + 1).sum()
}

/// Returns true if both are for one slice. Such orders stay in one call: the level that goes with a grant protects a
/// cold server from the writes of proxies that already know the grant.
fn same_slice(first: &QueuedOrder, second: &QueuedOrder) -> bool {
    let slice = slice_of(&first.order);
    slice.is_some() && slice == slice_of(&second.order)
}

/// Splits orders into as many calls as the platform's size limit requires, keeping their order.
fn split_into_calls(items: Vec<QueuedOrder>) -> impl Iterator<Item = Vec<QueuedOrder>> {
    let mut calls: Vec<Vec<QueuedOrder>> = Vec::new();
    for group in items.chunk_by(same_slice) {
        match calls.last_mut() {
            Some(call) if encoded_len(call) + encoded_len(group) <= MAX_CALL_BYTES => {
                call.extend_from_slice(group)
            }
            _ => calls.push(group.to_vec()),
        }
    }
    calls.into_iter()
}

fn revoked<'a>(calls: impl Iterator<Item = &'a Vec<QueuedOrder>> + 'a) -> impl Iterator<Item = usize> + 'a {
    let revokes = calls.flatten().filter(|item| !item.dropped);
    let revokes = revokes.filter(|item| matches!(item.order, Order::DropLines { .. }));
    revokes.filter_map(|item| slice_of(&item.order))
}

/// The state of the first call in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallState {
    /// The queue is empty.
    Idle,
    /// It has not been written.
    Waiting,
    /// It was written, and was neither answered nor lost. Holds the call's id.
    InFlight(u64),
    /// An attempt failed, and it is not known whether the store applied it.
    OutcomeUnknown,
}

/// The outcome of a call according to its answer.
#[derive(Debug, PartialEq)]
pub enum AnswerOutcome {
    /// These orders were applied; the second field is the order that was refused, if any.
    Applied(Vec<Order>, Option<Order>),
    /// The call was rejected as a whole and not applied.
    Rejected,
    /// The answer is unreadable: the call may or may not have been applied.
    Unreadable,
}

/// The outcome of a call that got no answer.
#[derive(Debug, PartialEq)]
pub enum LostCall {
    /// No call was in flight.
    None,
    /// It may or may not have been applied, and will be sent again.
    OutcomeUnknown,
    /// It was applied as a whole, as a proxy has acknowledged its mark.
    Applied(AppliedCall),
}

/// A call that is known to be applied although its own answer never came.
#[derive(Debug, PartialEq)]
pub struct AppliedCall {
    pub orders: Vec<Order>,
    /// The acknowledged mark under which it was applied.
    pub number: u16,
}

/// The queue of calls, of which at most one is in flight.
#[derive(Debug, Default)]
pub struct Calls {
    /// Queued calls; the first may be in flight.
    waiting: VecDeque<Vec<QueuedOrder>>,
    /// The id of the call in flight.
    in_flight: Option<u64>,
    /// The id of the last call written.
    last_id: u64,
    /// Failed attempts of the first call.
    failed_attempts: u32,
    /// The earliest time of the next attempt.
    retry_at: Time,
    /// Marks that attempts of the first call ended with; its other orders were the same each time.
    marks: Vec<u16>,
    /// The one of `marks` that a proxy has acknowledged, which proves that the call was applied under it.
    confirmed_mark: Option<u16>,
    /// The call in flight was written before the subscription began. Guards against a slice that was unassigned and
    /// assigned again in the gap: such a call counted as accepted but changed nothing, so its answer proves nothing,
    /// and it is sent again.
    sent_before_gap: bool,
}

/// Returns the slice that an order is for, if it is for a single one.
pub fn slice_of(order: &Order) -> Option<usize> {
    match order {
        Order::SetLine { slice, .. } | Order::DropLines { slice } => Some(*slice),
        Order::SetLevel { slice, .. } => *slice,
        _ => None,
    }
}

impl Calls {
    /// Adds the orders of one decision, each with its encoded text. If other calls are queued, these orders are sent
    /// and counted together with those.
    pub fn push(&mut self, orders: impl Iterator<Item = (Order, String)>) {
        let counted = self.settled();
        let items = orders.map(|(order, text)| QueuedOrder { order, text, dropped: false, counted });
        let mut calls = split_into_calls(items.collect());
        self.waiting.extend(calls.next());
        // The ledger has counted one message. Each further one is counted, with a mark of its own, when it is
        // written.
        for mut call in calls {
            call.iter_mut().for_each(|item| item.counted = false);
            self.waiting.push_back(call);
        }
    }

    /// Returns true if all orders are known to be applied.
    pub fn settled(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the state of the first call.
    pub fn state(&self) -> CallState {
        match self.in_flight {
            Some(id) => CallState::InFlight(id),
            None if self.waiting.is_empty() => CallState::Idle,
            None if self.failed_attempts > 0 => CallState::OutcomeUnknown,
            None => CallState::Waiting,
        }
    }

    /// Records that a subscription has begun: calls written before it may have been applied while their slices were
    /// assigned to another steward.
    pub fn subscription_began(&mut self) {
        self.sent_before_gap = self.in_flight.is_some();
        self.forget_marks();
    }

    /// Returns the number of orders that are not known to be applied.
    pub fn unsettled(&self) -> usize {
        self.waiting.iter().map(Vec::len).sum()
    }

    /// Prepares the next call if none is in flight. Returns true if there is one to write. While the subscription is
    /// not live, only restrictive orders are written, see [`Calls::restrict`].
    pub fn prepare(&mut self, is_live: bool) -> bool {
        if self.in_flight.is_some() {
            return false;
        }
        self.waiting.iter_mut().for_each(|call| call.retain(|item| !item.dropped));
        self.waiting.retain(|call| !call.is_empty());
        // Restrictive orders also go first if they are queued behind a call that has to be sent again.
        let restrictive_behind = self.state() == CallState::OutcomeUnknown && self.waiting.len() > 1;
        let is_restrictive = (!is_live || restrictive_behind) && self.restrict();
        if is_live && !is_restrictive {
            self.merge();
        }
        is_restrictive || is_live && !self.waiting.is_empty()
    }

    /// Merges the first call with those after it, as far as they fit, so that the orders of later calls don't wait
    /// for it to be settled. The last mark covers all before it.
    fn merge(&mut self) {
        while let Some(mut call) = self.waiting.pop_front() {
            let fits = |next: &Vec<QueuedOrder>| encoded_len(&call) + encoded_len(next) <= MAX_CALL_BYTES;
            let ends_in_mark = |next: &Vec<QueuedOrder>| next.last().is_some_and(QueuedOrder::is_mark);
            let Some(next) = self.waiting.pop_front_if(|next| fits(next) && ends_in_mark(next)) else {
                self.waiting.push_front(call);
                return;
            };
            call.retain(|item| !item.is_mark());
            call.extend(next);
            self.waiting.push_front(call);
            self.forget_marks();
        }
    }

    /// Moves restrictive orders to the front, under the last mark, and removes orders that a later revoke undoes. The
    /// rest, above all grants, is held back until the current state is known: the slice may have been assigned to
    /// another steward. Returns true if there are restrictive orders.
    fn restrict(&mut self) -> bool {
        let orders = self.waiting.iter().flatten();
        if !dispositions(orders.clone())
            .iter()
            .zip(orders)
            .any(|(disposition, item)| *disposition == Disposition::Send && !item.is_mark())
        {
            return false;
        }
        let several = self.waiting.len() > 1;
        let orders: Vec<QueuedOrder> = self.waiting.drain(..).flatten().collect();
        let dispositions = dispositions(orders.iter());
        if several || dispositions.iter().any(|disposition| *disposition != Disposition::Send) {
            self.forget_marks();
        }
        let last_mark = orders.iter().rposition(QueuedOrder::is_mark);
        let (mut written, mut held_back) = (Vec::new(), Vec::new());
        for (n, (mut item, disposition)) in orders.into_iter().zip(dispositions).enumerate() {
            match disposition {
                Disposition::Send if !item.is_mark() || Some(n) == last_mark => written.push(item),
                Disposition::HoldBack => {
                    item.counted = false;
                    held_back.push(item);
                }
                Disposition::Send | Disposition::Superseded => {}
            }
        }
        self.waiting = split_into_calls(written).chain(split_into_calls(held_back)).collect();
        true
    }

    /// Returns the encoded call to write, if there is one and its retry delay is over.
    pub fn next(&mut self, now: Time) -> Option<String> {
        if self.in_flight.is_some() || now < self.retry_at {
            return None;
        }
        self.waiting.iter_mut().for_each(|call| call.retain(|item| !item.dropped));
        self.waiting.retain(|call| !call.is_empty());
        let call = self.waiting.front()?;
        self.last_id += 1;
        self.in_flight = Some(self.last_id);
        if let Some(Order::Mark { number }) = call.last().map(|item| &item.order) {
            self.marks.push(*number);
        }
        let changes: Vec<&str> = call.iter().map(|item| item.text.as_str()).collect();
        let (id, changes) = (self.last_id, changes.join(","));
        Some(format!(r#"{{"jsonrpc":"2.0","id":{id},"method":"commit","params":{{"changes":[{changes}]}}}}"#))
    }

    /// Returns the earliest time at which there may be a call to write.
    pub fn next_timeout(&self, is_live: bool) -> Option<Time> {
        let orders = || self.waiting.iter().flatten();
        let is_restrictive = || {
            dispositions(orders())
                .iter()
                .zip(orders())
                .any(|(disposition, item)| *disposition == Disposition::Send && !item.is_mark())
        };
        let is_pending =
            self.in_flight.is_none() && !self.waiting.is_empty() && (is_live || is_restrictive());
        is_pending.then_some(self.retry_at)
    }

    /// Returns the number of orders in the next call that no message is counted for, plus one for the closing mark; 0
    /// if all are counted.
    pub fn uncounted(&self) -> usize {
        let first = self.waiting.front().into_iter().flatten();
        match first.filter(|item| !item.counted && !item.dropped).count() {
            0 => 0,
            _ => 1 + self.waiting.front().into_iter().flatten().filter(|item| item.is_repeated()).count(),
        }
    }

    /// Records that a message with at most `max_orders` of those orders, closing mark included, is counted. The orders
    /// beyond that move to a call of their own.
    pub fn count(&mut self, max_orders: usize, mark: (Order, String)) {
        let Some(call) = self.waiting.front_mut() else { return };
        let mut remaining = max_orders.saturating_sub(1);
        let mut keep = call.len();
        for (n, item) in call.iter_mut().enumerate().filter(|(_, item)| item.is_repeated()) {
            if remaining == 0 {
                keep = n;
                break;
            }
            (item.counted, remaining) = (true, remaining - 1);
        }
        while keep > 0 && keep < call.len() && same_slice(&call[keep - 1], &call[keep]) {
            keep -= 1;
        }
        let mut rest = call.split_off(keep);
        rest.iter_mut().for_each(|item| item.counted = false);
        call.retain(|item| !item.is_mark());
        call.push(QueuedOrder { order: mark.0, text: mark.1, dropped: false, counted: true });
        if !rest.is_empty() {
            self.waiting.insert(1, rest);
            self.forget_marks();
        }
    }

    /// Forgets the marks of earlier attempts, as the first call now has other orders.
    fn forget_marks(&mut self) {
        self.confirmed_mark = None;
        self.marks.clear();
    }

    /// Returns the slices that the first call revokes.
    pub fn revoked_first(&self) -> impl Iterator<Item = usize> + '_ {
        revoked(self.waiting.iter().take(1))
    }

    /// Returns the slices that later calls revoke.
    pub fn revoked_later(&self) -> impl Iterator<Item = usize> + '_ {
        revoked(self.waiting.iter().skip(1))
    }

    /// Returns the orders of the first call.
    pub fn first(&self) -> impl Iterator<Item = &Order> + '_ {
        self.waiting.front().into_iter().flatten().map(|item| &item.order)
    }

    /// Delays the next call.
    pub fn delay_next(&mut self, now: Time) {
        self.retry_at = now + RETRY_DELAY;
    }

    /// Records that the call in flight got no answer; `written` says whether the store may have received it.
    pub fn lost(&mut self, now: Time, written: bool) -> LostCall {
        if self.in_flight.take().is_none() {
            return LostCall::None;
        }
        self.sent_before_gap = false;
        if let Some(number) = self.confirmed_mark {
            return LostCall::Applied(AppliedCall { orders: self.settle_first(), number });
        }
        self.failed_attempts += 1;
        self.retry_at = if self.failed_attempts > 1 { now + RETRY_DELAY } else { now };
        if written {
            self.mark_uncounted();
        }
        LostCall::OutcomeUnknown
    }

    /// Marks the rest of the first call as uncounted: sending it takes one more message than the ledger knows of.
    fn mark_uncounted(&mut self) {
        self.waiting.front_mut().into_iter().flatten().for_each(|item| item.counted = false);
    }

    /// Records that a proxy has acknowledged a mark, which proves that the call that ended with it was applied as a
    /// whole. Returns the first call if that settles it.
    pub fn mark_acknowledged(&mut self, number: u16) -> Option<AppliedCall> {
        if self.confirmed_mark.is_none() && self.marks.contains(&number) {
            self.confirmed_mark = Some(number);
        }
        let number = self.confirmed_mark.filter(|_| self.in_flight.is_none())?;
        Some(AppliedCall { orders: self.settle_first(), number })
    }

    /// Removes the first call, which was applied, and returns its orders.
    fn settle_first(&mut self) -> Vec<Order> {
        self.failed_attempts = 0;
        self.forget_marks();
        let call = self.waiting.pop_front().unwrap_or_default();
        call.into_iter().filter(|item| !item.dropped).map(|item| item.order).collect()
    }

    /// Handles the answer to the call in flight.
    pub fn answered(&mut self, now: Time, line: &[u8]) -> AnswerOutcome {
        let answer: Value = serde_json::from_slice(line).unwrap_or_default();
        let (Some(id), Some(call)) = (self.in_flight, self.waiting.front_mut()) else {
            return AnswerOutcome::Unreadable;
        };
        if answer["id"].as_u64() != Some(id) || self.sent_before_gap {
            return AnswerOutcome::Unreadable;
        }
        if answer["error"].is_object() && answer["result"].is_null() {
            self.in_flight = None;
            self.failed_attempts = self.failed_attempts.max(1) + 1;
            self.retry_at = now + RETRY_DELAY;
            return AnswerOutcome::Rejected;
        }
        let accepted =
            answer["result"]["ok_count"].as_u64().filter(|&accepted| accepted <= call.len() as u64);
        let Some(accepted) = accepted else { return AnswerOutcome::Unreadable };
        (self.in_flight, self.failed_attempts) = (None, 0);
        self.confirmed_mark = None;
        self.marks.clear();
        let done = call.drain(..accepted as usize).filter(|item| !item.dropped).map(|item| item.order);
        let done = done.collect();
        // The store stopped at the next order: drop that one and send the rest.
        let refused = (!call.is_empty()).then(|| call.remove(0).order);
        if call.is_empty() {
            self.waiting.pop_front();
        } else {
            self.mark_uncounted();
        }
        AnswerOutcome::Applied(done, refused)
    }

    /// Drops all orders for a slice.
    pub fn drop_slice(&mut self, slice: usize) {
        let items = self.waiting.iter_mut().flatten();
        items.filter(|item| slice_of(&item.order) == Some(slice)).for_each(|item| item.dropped = true);
    }

    /// Returns the orders that are still valid and not known to be applied. Dropped orders may be applied as well,
    /// but then the slice differs from its known state and is restarted.
    pub fn pending(&self) -> impl Iterator<Item = &Order> {
        self.waiting.iter().flatten().filter(|item| !item.dropped).map(|item| &item.order)
    }
}

#[cfg(test)]
mod tests;

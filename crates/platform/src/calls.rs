//! Orders on their way to the store: one call at a time, in their order, until each is surely carried out.
//!
//! A call whose answer is lost was carried out as a whole or not at all. It is sent again before anything later; that
//! is harmless, as every order says what is to stand and not what is to change.

use std::collections::VecDeque;

use ravenspar_steward::{Order, Time, SECOND};
use serde_json::Value;

/// The platform's bound is 60,000 bytes of orders; some are left for the brackets.
const MOST_BYTES: usize = 59_000;

/// Between two tries of a call that failed twice or more in a row: a store that is away is asked ten times a second.
const PAUSE: Time = SECOND / 10;

#[derive(Debug)]
struct Item {
    order: Order,
    text: String,
    /// Its slice was taken away or given anew since: what it says no longer holds.
    dropped: bool,
}

/// What an answer said of a call.
#[derive(Debug, PartialEq)]
pub enum Settled {
    /// These orders are carried out, and this one was refused.
    Done(Vec<Order>, Option<Order>),
    /// Turned away: not carried out.
    Refused,
    /// It can't be read: the call may have been carried out or not.
    Unreadable,
}

#[derive(Debug, Default)]
pub struct Calls {
    /// Calls to come, the first of which may be under way.
    waiting: VecDeque<Vec<Item>>,
    sent: Option<u64>,
    next: u64,
    /// Tries of the first call that did not settle it.
    failed: u32,
    again: Time,
}

pub fn slice_of(order: &Order) -> Option<usize> {
    match order {
        Order::SetLine { slice, .. } | Order::DropLines { slice } => Some(*slice),
        Order::Level { slice, .. } => *slice,
        _ => None,
    }
}

impl Calls {
    /// One reply of the decisions; `text` is each order as it is written.
    pub fn push(&mut self, orders: impl Iterator<Item = (Order, String)>) {
        let mut bytes = MOST_BYTES;
        for (order, text) in orders {
            let adds = text.len() + 1;
            if bytes + adds > MOST_BYTES {
                self.waiting.push_back(Vec::new());
                bytes = 0;
            }
            bytes += adds;
            if let Some(call) = self.waiting.back_mut() {
                call.push(Item { order, text, dropped: false });
            }
        }
    }

    /// All is carried out that was ever ordered.
    pub fn settled(&self) -> bool {
        self.waiting.is_empty()
    }

    /// A call was written, and is neither answered nor lost.
    pub fn under_way(&self) -> bool {
        self.sent.is_some()
    }

    /// Orders that are not known to be carried out.
    pub fn unsettled(&self) -> usize {
        self.waiting.iter().map(Vec::len).sum()
    }

    /// The line to write next, if it is time.
    pub fn next(&mut self, now: Time) -> Option<String> {
        if self.sent.is_some() || now < self.again {
            return None;
        }
        while let Some(call) = self.waiting.front_mut() {
            call.retain(|item| !item.dropped);
            if !call.is_empty() {
                break;
            }
            self.waiting.pop_front();
        }
        let call = self.waiting.front()?;
        self.next += 1;
        self.sent = Some(self.next);
        let changes: Vec<&str> = call.iter().map(|item| item.text.as_str()).collect();
        let (id, changes) = (self.next, changes.join(","));
        Some(format!(r#"{{"jsonrpc":"2.0","id":{id},"method":"commit","params":{{"changes":[{changes}]}}}}"#))
    }

    /// When a call that failed may be sent again.
    pub fn next_timeout(&self) -> Option<Time> {
        (self.sent.is_none() && !self.waiting.is_empty()).then_some(self.again)
    }

    /// How many orders the next call has.
    pub fn first(&self) -> usize {
        self.waiting.front().map_or(0, Vec::len)
    }

    /// The slices that the first call names.
    pub fn first_slices(&self) -> impl Iterator<Item = usize> + '_ {
        self.waiting.front().into_iter().flatten().filter_map(|item| slice_of(&item.order))
    }

    /// The next call has to wait.
    pub fn wait(&mut self, now: Time) {
        self.again = now + PAUSE;
    }

    /// Nothing is known of the call under way. Returns whether one was.
    pub fn lost(&mut self, now: Time) -> bool {
        let lost = self.sent.take().is_some();
        if lost {
            self.failed += 1;
            self.again = if self.failed > 1 { now + PAUSE } else { now };
        }
        lost
    }

    pub fn answered(&mut self, now: Time, line: &[u8]) -> Settled {
        let answer: Value = serde_json::from_slice(line).unwrap_or_default();
        let (Some(id), Some(call)) = (self.sent, self.waiting.front_mut()) else {
            return Settled::Unreadable;
        };
        if answer["id"].as_u64() != Some(id) {
            return Settled::Unreadable;
        }
        if answer["error"].is_object() && answer["result"].is_null() {
            self.sent = None;
            self.failed = self.failed.max(1) + 1;
            self.again = now + PAUSE;
            return Settled::Refused;
        }
        let taken = answer["result"]["ok_count"].as_u64().filter(|&taken| taken <= call.len() as u64);
        let Some(taken) = taken else { return Settled::Unreadable };
        (self.sent, self.failed) = (None, 0);
        let done = call.drain(..taken as usize).filter(|item| !item.dropped).map(|item| item.order);
        let done = done.collect();
        // It stopped at the next one: that is left out, and the rest follows.
        let refused = (!call.is_empty()).then(|| call.remove(0).order);
        if call.is_empty() {
            self.waiting.pop_front();
        }
        Settled::Done(done, refused)
    }

    /// What was ordered for a slice no longer holds.
    pub fn drop_slice(&mut self, slice: usize) {
        let items = self.waiting.iter_mut().flatten();
        items.filter(|item| slice_of(&item.order) == Some(slice)).for_each(|item| item.dropped = true);
    }

    /// Orders that still hold and are not known to be carried out. Those of a slice that was taken away may stand as well,
    /// but then the slice is otherwise than the decisions know, and starts over.
    pub fn pending(&self) -> impl Iterator<Item = &Order> {
        self.waiting.iter().flatten().filter(|item| !item.dropped).map(|item| &item.order)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn clear(slice: usize) -> (Order, String) {
        (Order::DropLines { slice }, format!(r#"{{"verb":"clear","cluster":{slice}}}"#))
    }

    fn stamp(number: u16) -> (Order, String) {
        (Order::Stamp { number }, format!(r#"{{"verb":"mark","nonce_out":{number},"flag":1}}"#))
    }

    fn answer(id: u64, taken: u64) -> String {
        format!(r#"{{"jsonrpc":"2.0","id":{id},"result":{{"ok_count":{taken}}}}}"#)
    }

    /// The tables and marks that a call names, in order.
    fn named(line: &str) -> Vec<u64> {
        let call: Value = serde_json::from_str(line).expect("calls are JSON");
        let changes = call["params"]["changes"].as_array().expect("calls have changes").iter();
        changes.map(|c| c["cluster"].as_u64().or(c["nonce_out"].as_u64()).expect("each names one")).collect()
    }

    fn calls(slices: &[usize]) -> Calls {
        let mut calls = Calls::default();
        calls.push(slices.iter().map(|&slice| clear(slice)).chain([stamp(905)]));
        calls
    }

    #[test]
    fn a_call_whose_answer_is_lost_goes_out_again_whole_and_before_anything_later() {
        let mut calls = calls(&[1, 2]);
        calls.push([clear(3)].into_iter());
        assert_eq!(named(&calls.next(0).expect("the first")), [1, 2, 905]);
        assert_eq!(calls.next(0), None, "one at a time");
        assert!(calls.lost(10));
        assert_eq!(named(&calls.next(10).expect("at once")), [1, 2, 905]);
        assert!(calls.lost(20) && calls.next(20).is_none(), "then less often");
        assert_eq!(named(&calls.next(20 + PAUSE).expect("later")), [1, 2, 905]);
        assert!(
            matches!(calls.answered(1200, answer(3, 3).as_bytes()), Settled::Done(done, None) if done.len() == 3)
        );
        assert_eq!(named(&calls.next(1200).expect("the next")), [3]);
    }

    #[test]
    fn a_refused_order_is_left_out_and_the_rest_follows() {
        let mut calls = calls(&[1, 2, 3]);
        calls.next(0);
        let settled = calls.answered(5, answer(1, 1).as_bytes());
        let expected = Settled::Done(vec![clear(1).0], Some(clear(2).0));
        assert_eq!(settled, expected);
        assert_eq!(named(&calls.next(5).expect("the rest")), [3, 905]);
        assert_eq!(
            calls.answered(9, answer(2, 2).as_bytes()),
            Settled::Done(vec![clear(3).0, stamp(905).0], None)
        );
        assert!(calls.settled());
    }

    #[test]
    fn spoilt_answers_settle_nothing() {
        let mut calls = calls(&[1, 2]);
        calls.next(0);
        for line in [
            "",
            "{",
            r#"{"jsonrpc":"2.0","id":1}"#,
            r#"{"id":1,"result":{}}"#,
            r#"{"id":1,"result":{"ok_count":4}}"#,
            r#"{"id":1,"result":{"ok_count":-1}}"#,
            r#"{"id":1,"result":{"ok_count":"3"}}"#,
            r#"{"id":2,"result":{"ok_count":3}}"#,
        ] {
            assert_eq!(calls.answered(1, line.as_bytes()), Settled::Unreadable, "{line}");
        }
        assert_eq!(calls.unsettled(), 3);
    }

    #[test]
    fn a_call_that_is_turned_away_waits_and_keeps_its_place() {
        let mut calls = calls(&[1]);
        calls.next(0);
        let refused = br#"{"jsonrpc":"2.0","id":1,"error":{"code":-32000,"message":"Throttling"}}"#;
        assert_eq!(calls.answered(5, refused), Settled::Refused);
        assert_eq!((calls.next(5), calls.next_timeout()), (None, Some(5 + PAUSE)));
        assert_eq!(named(&calls.next(5 + PAUSE).expect("once more")), [1, 905]);
    }

    #[test]
    fn orders_for_a_slice_that_was_taken_away_go_no_further() {
        let mut calls = calls(&[1, 2]);
        calls.next(0);
        calls.drop_slice(1);
        let pending: Vec<Order> = calls.pending().cloned().collect();
        assert_eq!(
            pending,
            [clear(2).0, stamp(905).0],
            "what it may have done is nothing that the decisions know"
        );
        calls.lost(1);
        assert_eq!(named(&calls.next(1).expect("again")), [2, 905]);
        assert!(
            matches!(calls.answered(2, answer(2, 2).as_bytes()), Settled::Done(done, None) if done.len() == 2)
        );
    }

    #[test]
    fn a_long_reply_is_several_calls_in_order() {
        let mut calls = Calls::default();
        calls.push((0..4_000).map(clear));
        let (mut all, mut id) = (Vec::new(), 0);
        while let Some(line) = calls.next(0) {
            assert!(line.len() < 60_000);
            let slices = named(&line);
            id += 1;
            calls.answered(0, answer(id, slices.len() as u64).as_bytes());
            all.extend(slices);
        }
        assert!(id > 1 && all == (0..4_000).collect::<Vec<u64>>());
    }
}

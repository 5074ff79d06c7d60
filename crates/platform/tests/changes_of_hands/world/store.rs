//! The store: assigns slices to stewards and applies their calls.

use std::rc::Rc;

use serde_json::{json, Value};

use super::*;

impl World {
    /// Assigns a steward's slices to others if it is still away.
    pub(super) fn reassign_slices(&mut self, steward: usize, incarnation: u64) {
        if self.stewards[steward].incarnation != incarnation || self.is_up(steward) {
            return;
        }
        let up: Vec<usize> = (0..STEWARDS).filter(|other| self.is_up(*other)).collect();
        for slice in (0..SLICES).filter(|_| !up.is_empty()) {
            if self.slices[slice].steward == steward {
                self.hand_over(slice, up[slice % up.len()]);
            }
        }
    }

    /// Assigns a steward its own slices again once it is back.
    pub(super) fn return_slices(&mut self, steward: usize) {
        if self.is_up(steward) {
            let own = (0..SLICES).filter(|slice| slice % STEWARDS == steward);
            own.for_each(|slice| self.hand_over(slice, steward));
        }
    }

    /// Assigns a slice to another steward: the store keeps its line, and resets its levels.
    pub(super) fn hand_over(&mut self, slice: usize, to: usize) {
        let from = std::mem::replace(&mut self.slices[slice].steward, to);
        if from == to {
            return;
        }
        let line = self.slices[slice].table.line;
        self.trace(|| {
            format!("slice {slice} is handed over from n{from} to n{to} with {line:?}, its levels reset")
        });
        let in_progress = match line {
            Some((server, _)) => self.write_in_progress_elsewhere(slice, server),
            None => self.write_in_progress_elsewhere(slice, SERVERS),
        };
        self.counts.handovers += 1;
        self.counts.handovers_within_settling += usize::from(in_progress.is_some());
        self.slices[slice].table.closed = false;
        self.slices[slice].version += 1;
        for proxy in 0..PROXIES {
            let cached = &mut self.proxies[proxy].slices[slice];
            (cached.until, cached.pending_read) = (cached.until.min(self.now + LEASE), None);
            self.read_soon(proxy, slice);
        }
        self.notify(from, NOTIFY_DELAY, "GRANT", json!({"range": slice, "flag": false}));
        self.notify_assigned(to, slice, NOTIFY_DELAY);
    }

    pub(super) fn apply_call(&mut self, steward: usize, call: &Value) {
        let orders = call["params"]["changes"].as_array().expect("changes");
        let mut changes = Vec::new();
        for order in orders {
            let named = order["cluster"].as_u64().map(|slice| slice as usize);
            for slice in (0..SLICES).filter(|slice| named.is_none_or(|named| named == *slice)) {
                // Orders for a slice of another steward count as accepted and change nothing.
                let Some(change) = change(order).filter(|_| self.slices[slice].steward == steward) else {
                    continue;
                };
                self.check_transition(slice, change);
                self.slices[slice].table.apply(change);
                self.slices[slice].version += 1;
                changes.push((slice, change, self.slices[slice].version));
            }
        }
        let mark = orders.iter().rev().find_map(|order| order["nonce_out"].as_u64());
        self.trace(|| format!("the store applies n{steward}'s {changes:?}, mark {mark:?}"));
        let message = Rc::new(Message { changes, mark });
        for proxy in 0..PROXIES {
            let transit = self.draw("transit", proxy, steward, TRANSIT);
            let stream = &mut self.proxies[proxy].streams[steward];
            if stream.joined {
                stream.last_arrival = stream.last_arrival.max(self.now + transit);
                let (number, at) = (stream.number, stream.last_arrival - self.now);
                let message = message.clone();
                self.after(at, Event::Deliver { proxy, steward, stream: number, message });
            }
        }
    }

    /// Checks that no order moves a line to another server without a revoke in between.
    pub(super) fn check_transition(&mut self, slice: usize, change: Change) {
        let current = self.slices[slice].table.line.map(|(server, _)| server);
        match change {
            Change::Line(server, _) if current.is_some_and(|current| current != server) => {
                self.violation = Some(format!("slice {slice} goes from {current:?} to {server} directly"));
            }
            Change::Line(..) => self.counts.grants += usize::from(current.is_none()),
            Change::Clear => self.counts.revokes += usize::from(current.is_some()),
            Change::Writes(_) => {}
        }
    }
}

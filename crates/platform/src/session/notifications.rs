//! Handling of the store's notifications: proxies, acknowledged marks, and the slices assigned to this steward.
//!
//! A new subscription begins with a snapshot, which is compared with the state known before. If the line of a slice
//! is unclear, that slice alone is revoked, whichever line it has, and then granted in the usual way.

use ravenspar_steward::{Time, SECOND};

use super::Session;
use crate::fields::{self, DecodeError};
use crate::notification::{Notification, Sizes, HEARTBEAT_TIMEOUT};
use crate::slices::{line_of, Assignment, Comparison, Crossing, Line};
use crate::subscription::{SliceSnapshot, Snapshot, Subscription};

/// The greatest age of a delayed notification: a subscription may be silent for 2.2 s, plus a margin.
const MAX_NOTIFICATION_AGE: Time = 5 * SECOND;

impl Session {
    /// Handles a notification of the store. On an error it has no effect, and the caller must subscribe again.
    pub fn handle_notification(&mut self, now: Time, message: &[u8]) -> Result<(), DecodeError> {
        let sizes = Sizes { proxies: self.proxies.len(), slices: self.slices.len() };
        let notification = Notification::read(message, sizes)?;
        if !matches!(notification, Notification::Heartbeat | Notification::Subscribed)
            && self.heartbeat_overdue(now)
        {
            return fields::invalid("method", "a heartbeat, or more of the snapshot, within 5 s");
        }
        match notification {
            Notification::Subscribed => self.subscribed(now),
            Notification::Heartbeat => self.heartbeat(now),
            Notification::Joined { proxy, usual } => self.proxy_joined(now, proxy, usual),
            Notification::Left { proxy } => self.left(now, proxy),
            Notification::Acknowledged { proxy, number } => self.acknowledged(now, proxy, number),
            Notification::Assigned { slice } => self.assigned(now, slice),
            Notification::Unassigned { slice } => {
                self.subscription.snapshot().map(|snapshot| snapshot.slices.remove(&slice));
                self.unassign(slice);
            }
            Notification::Line { slice, server, weight } => {
                let line = Some((self.servers.index_of_line(&server), weight));
                self.line(now, slice, line);
            }
            Notification::Other => {}
        }
        self.metrics.last_notification = Some(now);
        self.awaiting_notification = false;
        if self.subscription.is_live() {
            self.last_live_notification = Some(now);
            self.steward.notification_received(now);
        }
        Ok(())
    }

    /// Returns true if a heartbeat is overdue that a snapshot or an assignment waits for.
    fn heartbeat_overdue(&self, now: Time) -> bool {
        let since = match &self.subscription {
            Subscription::Snapshot(snapshot) => Some(snapshot.grown_at),
            _ => self.line_pending_since,
        };
        since.is_some_and(|since| now - since >= HEARTBEAT_TIMEOUT)
    }

    /// Handles the loss of the subscription: the last known state is kept until the next snapshot.
    pub fn handle_subscription_lost(&mut self, now: Time) {
        let since = match self.subscription {
            Subscription::Lost { since } => since,
            _ => now,
        };
        self.subscription = Subscription::Lost { since };
        self.steward.notifications_interrupted();
        self.mark_lines_uncertain();
    }

    fn mark_lines_uncertain(&mut self) {
        let mut pending = vec![Vec::new(); self.slices.len()];
        self.calls.pending().filter_map(line_of).for_each(|(slice, line)| pending[slice].push(line));
        self.slices.iter_mut().zip(pending).for_each(|(slice, pending)| slice.mark_uncertain(&pending));
    }

    fn subscribed(&mut self, now: Time) {
        if !matches!(self.subscription, Subscription::Lost { .. }) {
            self.handle_subscription_lost(now);
        }
        let Subscription::Lost { since: earliest } = self.subscription else { return };
        self.subscription = Subscription::Snapshot(Snapshot::new(now, earliest, self.last_live_notification));
        self.steward.notifications_resumed(now);
        self.calls.subscription_began();
        self.mark_lines_uncertain();
    }

    fn proxy_joined(&mut self, now: Time, proxy: usize, usual: f64) {
        self.proxies[proxy] = true;
        self.steward.proxy_joined(proxy, usual);
        if let Some(snapshot) = self.subscription.snapshot() {
            snapshot.add_proxy(now, proxy);
        }
    }

    fn left(&mut self, now: Time, proxy: usize) {
        self.proxies[proxy] = false;
        self.steward.proxy_disconnected(now, proxy);
        if let Some(snapshot) = self.subscription.snapshot() {
            snapshot.proxies.remove(&proxy);
        }
    }

    fn acknowledged(&mut self, now: Time, proxy: usize, number: u16) {
        self.steward.mark_answered(now, proxy, number);
        if let Some(call) = self.calls.mark_acknowledged(number) {
            self.call_confirmed(call);
        }
    }

    fn assigned(&mut self, now: Time, slice: usize) {
        // A slice whose line may not have been received before the gap is treated as newly assigned.
        let known = self.slices[slice].is_known();
        let mut reported = now - MAX_NOTIFICATION_AGE;
        if let Some(snapshot) = self.subscription.snapshot() {
            reported = snapshot.earliest;
            let entry = SliceSnapshot { line: None, after_order: self.slices[slice].is_line_ordered_since() };
            let first = snapshot.add_slice(now, slice, entry);
            // Part of the snapshot: it is compared with the known state once that is complete. The store may have
            // unassigned the slice and assigned it again, in the gap or just now.
            if first && known {
                self.steward.may_be_reassigned(now, slice);
                return;
            }
        }
        self.unassign(slice);
        self.line_pending_since.get_or_insert(now);
        self.assign(now, slice, reported);
    }

    /// Records that the store assigned a slice to this steward, and reported it at time `reported` or later.
    fn assign(&mut self, now: Time, slice: usize, reported: Time) {
        let known = &mut self.slices[slice];
        known.assign();
        self.steward.slice_assigned(now, slice);
        self.steward.set_line_pending(slice, true);
        match known.crossing(reported) {
            Crossing::None => {}
            Crossing::Levels => self.steward.levels_unknown(slice),
            Crossing::Line => self.line_unknown(slice),
        }
    }

    /// Records that the store assigned a slice with an unknown line to this steward.
    fn assign_unclear(&mut self, now: Time, slice: usize) {
        self.assign(now, slice, Time::MAX / 2);
        self.line_unknown(slice);
    }

    fn line_unknown(&mut self, slice: usize) {
        self.slices[slice].assignment = Assignment::LineUnclear;
        self.steward.line_unknown(slice);
    }

    fn unassign(&mut self, slice: usize) {
        let known = &mut self.slices[slice];
        if known.is_assigned() {
            (known.assignment, known.line) = (Assignment::Unassigned, None);
            self.steward.slice_unassigned(slice);
            self.calls.drop_slice(slice);
        }
    }

    fn line(&mut self, now: Time, slice: usize, line: Line) {
        let entry = self.subscription.snapshot().and_then(|snapshot| snapshot.slices.get_mut(&slice));
        if let Some(entry) = entry {
            entry.line = line;
        }
        if self.slices[slice].assignment == Assignment::AwaitingLine {
            self.settle_line(now, slice, line);
        }
    }

    /// Records the line of a newly assigned slice, which was received or is known to be absent.
    fn settle_line(&mut self, now: Time, slice: usize, line: Line) {
        let known = &mut self.slices[slice];
        (known.assignment, known.line) = (Assignment::Assigned, line);
        self.steward.set_line_pending(slice, false);
        if let Some((server, weight)) = line {
            self.steward.line_recorded(now, slice, server, weight);
        }
    }

    /// Restarts a slice from the given line, as its state in the store differs from the known one.
    pub(super) fn restart_slice(&mut self, now: Time, slice: usize, line: Line) {
        let unclear = self.slices[slice].assignment == Assignment::LineUnclear;
        self.unassign(slice);
        if unclear {
            self.assign_unclear(now, slice);
        } else {
            self.assign(now, slice, Time::MAX / 2);
            self.settle_line(now, slice, line);
        }
    }

    /// Restarts a slice without a line, as another steward has revoked it.
    fn restart_revoked_slice(&mut self, now: Time, slice: usize) {
        self.restart_slice(now, slice, None);
        self.steward.line_revoked_unanswered(slice);
    }

    /// A heartbeat normally follows the lines of all slices assigned before it. A later line is still accepted until
    /// an order for the slice is written, in case the heartbeat came between the two.
    fn heartbeat(&mut self, now: Time) {
        self.line_pending_since = None;
        let mut ends_snapshot = false;
        if let Subscription::Snapshot(snapshot) = &mut self.subscription {
            let snapshot = std::mem::take(snapshot);
            self.subscription = Subscription::Live;
            self.reconcile(now, &snapshot);
            ends_snapshot = true;
        }
        for slice in 0..self.slices.len() {
            self.slices[slice].heartbeat(ends_snapshot);
            if self.slices[slice].assignment == Assignment::AwaitingLine {
                self.steward.set_line_pending(slice, false);
            }
        }
    }

    /// Compares the complete snapshot with the state known before.
    fn reconcile(&mut self, now: Time, snapshot: &Snapshot) {
        for proxy in 0..self.proxies.len() {
            if self.proxies[proxy] && !snapshot.proxies.contains(&proxy) {
                self.left(snapshot.began, proxy);
            }
        }
        self.steward.joined_proxies_received(snapshot.began);
        let mut pending = vec![false; self.slices.len()];
        self.calls.pending().filter_map(line_of).for_each(|(slice, _)| pending[slice] = true);
        // Another steward can have granted and revoked a slice meanwhile only if the gap is at least as long as a
        // settling.
        let long = snapshot.last_live.is_some_and(|last| now - last >= self.settle);
        for (slice, pending) in pending.into_iter().enumerate() {
            let known = &self.slices[slice];
            match (known.assignment, snapshot.slices.get(&slice)) {
                (Assignment::Unassigned, _) => {}
                (_, None) => self.unassign(slice),
                // Another steward may have had the slice and left it without a line.
                (Assignment::AwaitingLine, Some(_)) if long && known.is_without_line() => {
                    self.assign(now, slice, snapshot.earliest);
                }
                (Assignment::AwaitingLine | Assignment::LineUnclear, Some(_)) => {}
                (Assignment::Assigned, Some(&entry)) => {
                    let line = entry.line;
                    let comparison = known.compare(entry, snapshot.earliest, pending);
                    let settled = known.line == line && !pending;
                    match (comparison, line) {
                        (Comparison::Matches, None) if !long => {}
                        (Comparison::Matches, Some(_)) => {}
                        (Comparison::ChangedElsewhere, Some(_)) => self.restart_slice(now, slice, line),
                        // Revoked by another steward; which proxies have acknowledged that is unknown.
                        (Comparison::ChangedElsewhere, None) => self.restart_revoked_slice(now, slice),
                        (Comparison::Matches, None) if settled => self.restart_revoked_slice(now, slice),
                        (Comparison::Matches | Comparison::Unclear, _) => {
                            self.unassign(slice);
                            self.assign_unclear(now, slice);
                        }
                    }
                }
            }
            self.slices[slice].mark_certain();
        }
    }
}

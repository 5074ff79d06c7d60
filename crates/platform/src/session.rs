//! The session: receives notifications, lists and reports, and returns the calls that carry the decisions to the
//! store.
//!
//! Decisions are made only while every earlier order is known to be applied, a notification from after that has been
//! received, and the current state is known. So whatever the decisions take as proof (an acknowledgement, a proxy
//! that joins, an expired lease) is evaluated with all their orders in the store, and with everything that the store
//! reported when it applied them.

mod lists;
mod notifications;
mod orders;
mod reports;

use ravenspar_steward::{ListScope, Order, Settings, Steward, Time, WaitingLines, SECOND};
use serde_json::Value;

use crate::calls::{slice_of, AnswerOutcome, AppliedCall, CallState, Calls, LostCall};
use crate::drains::{Drains, PendingRevokes};
use crate::hold::{Held, Hold, HoldClock};
use crate::servers::Servers;
use crate::settings::{flatten, names, Names};
use crate::slices::{line_of, Assignment, Slice};
use crate::subscription::Subscription;

pub use lists::ListError;

/// A subscription without any notification for this long is dropped; heartbeats come once a second.
pub const NOTIFICATION_TIMEOUT: Time = 22 * SECOND / 10;

/// A call to write to the store.
#[derive(Debug, PartialEq)]
pub struct Call {
    /// The id in the encoded call.
    pub id: u64,
    pub line: String,
    /// The previous connection is unusable: open a new one.
    pub reconnect: bool,
}

/// Metrics for operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Metrics {
    pub joined: usize,
    pub slices: usize,
    pub unsettled: usize,
    pub hosts: usize,
    pub hosts_known: usize,
    pub list_version: Option<u64>,
    pub last_list: Option<Time>,
    pub last_notification: Option<Time>,
    /// Totals since the start: invalid messages of collectors, lost calls, refused orders.
    pub invalid_messages: u64,
    pub lost: u64,
    pub refused: u64,
    /// The current hold of decisions, if there is one.
    pub held: Option<Held>,
    /// Lines that the ledger counts as waiting in the channel.
    pub waiting: WaitingLines,
}

/// Translates between the messages of the platform and the decisions of one steward.
pub struct Session {
    steward: Steward,
    servers: Servers,
    names: Names,
    proxies: Vec<bool>,
    slices: Vec<Slice>,
    /// The longest time that a write can be in progress.
    settle: Time,
    calls: Calls,
    /// The connection for calls is unusable.
    reconnect: bool,
    /// When the decisions asked to be reminded.
    wake_at: Option<Time>,
    /// When to retry restrictions that were due and not yet sent.
    retry_at: Option<Time>,
    subscription: Subscription,
    /// No notification has been received since the last call was answered. Guards against a proxy that came back
    /// before the call was applied, while notifications were late: as far as known its lease has expired, yet it has
    /// the former owner.
    awaiting_notification: bool,
    /// When a notification was last received while the subscription was live. Guards against a subscription that
    /// breaks off during its snapshot, which would make the gap around it look short.
    last_live_notification: Option<Time>,
    /// Since when there is a slice whose line may still be on its way: no heartbeat came after its assignment.
    line_pending_since: Option<Time>,
    /// Since when every received list was older than the current one.
    outdated_lists_since: Option<Time>,
    metrics: Metrics,
    holds: HoldClock,
    drains: Drains,
}

impl Session {
    /// Creates a session. The error says what was expected of the settings or of the known list.
    pub fn new(now: Time, seed: u64, settings: &Value, known: &Value) -> Result<Session, String> {
        let names = names(settings)?;
        let flat: Settings = flatten(settings);
        let slices = flat.slices();
        let proxies = flat.number("family_info.proxy_count").filter(|count| (0.0..=65_536.0).contains(count));
        let proxies = proxies.ok_or("settings.family_info.proxy_count: expected a whole number to 65536")?;
        if slices > 65_535 {
            return Err("settings.family_info.ranges: expected a whole number below 65536".to_owned());
        }
        let settle = flat.time("family_info.settle_s").unwrap_or(0);
        let grace = flat.time("safety.drain_grace_s").unwrap_or(0);
        let mut steward = Steward::new(now, seed, flat)
            .map_err(|name| format!("settings.{name}: expected a number, and there is none"))?;
        let mut servers = Servers::default();
        if !known.is_null() {
            servers
                .apply_list(now, known, ListScope::Stored, &mut steward)
                .map_err(|error| format!("known: {error}"))?;
        }
        Ok(Session {
            steward,
            servers,
            names,
            proxies: vec![false; proxies as usize],
            slices: vec![Slice::default(); slices],
            settle,
            calls: Calls::default(),
            reconnect: false,
            wake_at: None,
            retry_at: None,
            subscription: Subscription::Lost { since: now },
            awaiting_notification: false,
            last_live_notification: None,
            line_pending_since: None,
            outdated_lists_since: None,
            metrics: Metrics::default(),
            holds: HoldClock::default(),
            drains: Drains::new(slices, grace),
        })
    }

    /// Returns the zones that have a collector.
    pub fn zones(&self) -> &[String] {
        &self.names.zones
    }

    /// Returns the current metrics.
    pub fn metrics(&self) -> Metrics {
        Metrics {
            joined: self.proxies.iter().filter(|joined| **joined).count(),
            slices: self.slices.iter().filter(|slice| slice.is_assigned()).count(),
            unsettled: self.calls.unsettled(),
            hosts: self.servers.listed_count(),
            hosts_known: self.servers.known_count(),
            held: self.holds.current(),
            waiting: self.steward.waiting(),
            ..self.metrics.clone()
        }
    }

    /// Returns true if there is a subscription and its snapshot is complete.
    pub fn is_live(&self) -> bool {
        self.subscription.is_live()
    }

    /// Returns the pending revokes.
    pub fn pending_revokes(&self, now: Time) -> PendingRevokes {
        self.drains.pending(now)
    }

    /// Returns the pending revokes once the oldest has been pending for half of the drains' grace; then not again
    /// until none is pending.
    pub fn overdue(&mut self, now: Time) -> Option<PendingRevokes> {
        self.drains.overdue(now)
    }

    /// Returns the longest hold of decisions since the last call of this method, and its reason.
    pub fn take_longest_hold(&mut self) -> Option<(Time, Hold)> {
        self.holds.take_longest()
    }

    /// Handles the answer to the call in flight.
    pub fn handle_answer(&mut self, now: Time, line: &[u8]) {
        match self.calls.answered(now, line) {
            AnswerOutcome::Unreadable => self.handle_call_lost(now, true),
            AnswerOutcome::Rejected => self.reconnect = true,
            AnswerOutcome::Applied(done, refused) => {
                self.orders_applied(done);
                let Some(order) = refused else { return };
                self.metrics.refused += 1;
                // A refused grant or revoke must not be taken for an applied one.
                if let Some((slice, _)) =
                    line_of(&order).filter(|(slice, _)| self.slices[*slice].is_assigned())
                {
                    self.restart_slice(now, slice, self.slices[slice].line);
                }
            }
        }
    }

    /// Records that these orders were applied.
    fn orders_applied(&mut self, done: Vec<Order>) {
        self.awaiting_notification = true;
        for (slice, line) in done.iter().filter_map(line_of) {
            let known = &mut self.slices[slice];
            if known.is_assigned() {
                (known.line, known.assignment) = (line, Assignment::Assigned);
            }
        }
    }

    /// Records that a call was applied, as a proxy has acknowledged its mark.
    pub(crate) fn call_confirmed(&mut self, call: AppliedCall) {
        for (slice, _) in call.orders.iter().filter_map(line_of).filter(|(_, line)| line.is_none()) {
            self.steward.revoke_confirmed(slice, call.number);
        }
        self.orders_applied(call.orders);
    }

    /// Handles a call that failed or timed out. `written` says whether the store may have received it.
    pub fn handle_call_lost(&mut self, now: Time, written: bool) {
        match self.calls.lost(now, written) {
            LostCall::None => {}
            LostCall::Applied(call) => {
                self.reconnect = true;
                self.call_confirmed(call);
            }
            LostCall::OutcomeUnknown => {
                self.reconnect = true;
                if written {
                    self.metrics.lost += 1;
                    self.steward.outcome_unknown(now);
                }
            }
        }
    }

    /// Makes decisions if they are not on hold, and returns the next call to write, if there is one and its time has
    /// come.
    pub fn poll(&mut self, now: Time) -> Option<Call> {
        if self.wake_at.is_some_and(|wake_at| now >= wake_at) {
            self.wake_at = None;
            self.steward.reminder();
        }
        let hold = self.hold(now);
        self.holds.observe(now, hold);
        self.retry_at = None;
        match hold {
            None => self.decide(now),
            Some(_) => self.restrict(now),
        }
        self.drains.observe(now, self.steward.slices_to_revoke());
        self.poll_queued(now)
    }

    /// Returns what decisions are waiting for, or `None` if they may be made.
    fn hold(&self, now: Time) -> Option<Hold> {
        match self.subscription {
            Subscription::Lost { .. } => Some(Hold::SubscriptionLost),
            Subscription::Snapshot(_) => Some(Hold::Snapshot),
            Subscription::Live if !self.calls.settled() => Some(Hold::Call),
            Subscription::Live if self.awaiting_notification || self.is_silent(now) => {
                Some(Hold::NoNotification)
            }
            Subscription::Live => None,
        }
    }

    /// Returns true if the subscription has timed out. A process that was suspended may notice that late:
    /// notifications that it missed may be unread.
    fn is_silent(&self, now: Time) -> bool {
        self.last_live_notification.is_some_and(|last| now - last >= NOTIFICATION_TIMEOUT)
    }

    /// Sends restrictive orders while decisions are on hold, unless the hold is very short.
    fn restrict(&mut self, now: Time) {
        // A call is usually answered within 60 ms, with a notification soon after.
        const SHORT_HOLD: Time = SECOND / 10;
        let since = self.holds.current().map_or(now, |held| held.since);
        let in_flight = matches!(self.calls.state(), CallState::InFlight(_));
        if !self.steward.is_restriction_due() || in_flight {
            return;
        }
        if now < since + SHORT_HOLD {
            self.retry_at = Some(since + SHORT_HOLD);
            return;
        }
        let orders = self.orders(now, Steward::next_restriction);
        if !orders.is_empty() && !self.calls.settled() {
            self.steward.uncount_last_update();
            let revoked = orders.iter().filter(|(order, _)| matches!(order, Order::DropLines { .. }));
            revoked
                .filter_map(|(order, _)| slice_of(order))
                .for_each(|slice| self.steward.revoke_deferred(slice));
        }
        // The ledger has no capacity: retry soon.
        self.retry_at = self.steward.is_restriction_due().then_some(now + SHORT_HOLD);
        self.push(orders);
    }

    /// Returns the next call for orders that were already decided, and decides nothing new. Used alone for a steward
    /// that is shutting down.
    pub fn poll_queued(&mut self, now: Time) -> Option<Call> {
        let is_live = self.subscription.is_live();
        if self.calls.next_timeout(is_live).is_none_or(|at| now < at) || !self.calls.prepare(is_live) {
            return None;
        }
        let uncounted = self.calls.uncounted();
        if uncounted > 0 {
            let Some(repeat) = self.steward.resend(now, uncounted) else {
                self.calls.delay_next(now);
                return None;
            };
            let mark = Order::Mark { number: repeat.number };
            let text = self.text(&mark);
            self.calls.count(repeat.orders, (mark, text));
            self.calls.revoked_first().for_each(|slice| self.steward.revoke_written(slice));
            self.calls.revoked_later().for_each(|slice| self.steward.revoke_deferred(slice));
        }
        let line = self.calls.next(now)?;
        let CallState::InFlight(id) = self.calls.state() else { return None };
        for order in self.calls.first() {
            if let Some(slice) = slice_of(order) {
                self.slices[slice].order_written(now, order);
            }
        }
        Some(Call { id, line, reconnect: std::mem::take(&mut self.reconnect) })
    }

    /// Returns true if all orders are known to be applied.
    pub fn settled(&self) -> bool {
        self.calls.settled()
    }

    fn decide(&mut self, now: Time) {
        let orders = self.orders(now, Steward::next_order);
        let slices = &self.slices;
        self.servers.sweep(&mut self.steward, |server| {
            let ordered =
                |order: &Order| matches!(order, Order::SetLine { server: named, .. } if *named == server);
            let has_line_to = |slice: &Slice| slice.line.is_some_and(|(named, _)| named == server);
            slices.iter().any(has_line_to) || orders.iter().any(|(order, _)| ordered(order))
        });
        self.push(orders);
    }

    fn push(&mut self, orders: Vec<(Order, String)>) {
        if !self.subscription.is_live() {
            for (slice, line) in orders.iter().filter_map(|(order, _)| line_of(order)) {
                self.slices[slice].add_possible_line(line);
            }
        }
        self.calls.push(orders.into_iter());
    }

    /// Returns when to poll next if no event comes before.
    pub fn next_timeout(&self) -> Option<Time> {
        [self.wake_at, self.retry_at, self.calls.next_timeout(self.subscription.is_live())]
            .into_iter()
            .flatten()
            .min()
    }
}

#[cfg(test)]
mod tests;

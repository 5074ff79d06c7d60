//! Inputs from the host. They only update state; decisions follow with the next order.

use super::state::{push_bounded, Demand, Server, Slice, State, TryReport, MAX_KINDS, UNKNOWN_LEVEL};
use super::{Steward, BUSY_UTILIZATION, LATE_SHARE};
use crate::{Health, ListScope, Time, FULL_WEIGHT, SECOND};

/// Traffic reports kept per server: a few seconds of them from every zone.
const TRAFFIC_SAMPLES: usize = 32;

/// Demand reports kept per slice: more than `demand_rates` evaluates, even at the shortest report interval.
const DEMAND_SAMPLES: usize = 16;

/// Delay before a failed list request is retried, and the random part added to it, so that stewards which failed
/// together don't retry together.
const LIST_RETRY: Time = SECOND / 4;
const LIST_RETRY_SPREAD: Time = SECOND / 2;

impl Steward {
    /// Starts a server list. Its entries follow with `list_entry`, and `list_end` closes it.
    pub fn list_begin(&mut self, scope: ListScope) {
        self.decision_due = true;
        // A server absent from a complete list is gone; the others are marked as listed again by their entries.
        if matches!(scope, ListScope::Complete | ListScope::Stored) {
            self.servers.iter_mut().for_each(|server| server.listed = false);
        }
    }

    /// Adds an entry to the list that was started last.
    pub fn list_entry(&mut self, server: usize, health: Health, boot: Time) {
        let entry = self.server(server);
        (entry.seen, entry.listed) = (true, health != Health::Gone);
        if !entry.listed {
            return; // `list_end` handles it, like servers absent from a complete list
        }
        self.server_started(server, boot);
        let entry = &mut self.servers[server];
        (entry.presumed_ready, entry.health) = (false, health);
    }

    /// Applies a start of a server, known from a list or a record. A restarted server no longer serves the slices that it
    /// held, even if no list showed it as gone.
    pub fn server_started(&mut self, server: usize, boot: Time) {
        let entry = self.server(server);
        let restarted = boot > entry.boot && entry.health == Health::Ready;
        entry.boot = boot.max(entry.boot);
        if restarted {
            let held = self.slices.iter_mut().filter(|slice| slice.owner() == Some(server));
            held.for_each(|slice| slice.state = State::Owned { server, restarted: true });
        }
    }

    /// Closes a list and handles the servers that are not in it.
    pub fn list_end(&mut self, scope: ListScope) {
        if scope == ListScope::Stored {
            return; // servers may have been added since
        }
        self.list_subscribed = true;
        self.has_complete_list |= scope != ListScope::Partial;
        let (has_complete_list, only_draining_binds) = (self.has_complete_list, self.only_draining_binds());
        // A server that only a record names is absent from the list as well, once there is a complete one.
        let dropped = |server: &&mut Server| !server.listed && (server.seen || has_complete_list);
        for server in self.servers.iter_mut().filter(dropped) {
            server.presumed_ready = only_draining_binds && server.health == Health::Ready;
            server.health = if server.presumed_ready { Health::Ready } else { Health::Gone };
        }
    }

    /// Returns true if a server that the list drops without a drain may stay in use.
    fn only_draining_binds(&self) -> bool {
        self.cfg.flag("safety.only_draining_binds")
    }

    /// Forgets a server so that its index can be reused. Returns false if the server is still present or referred to.
    pub fn forget(&mut self, server: usize) -> bool {
        let gone = |server: &Server| server.health == Health::Gone && !server.listed && !server.withdrawn;
        let named =
            self.slices.iter().any(|slice| slice.owner() == Some(server)) || !self.pending_orders.is_empty();
        let forgotten = !named && self.servers.get(server).is_none_or(gone);
        if forgotten {
            *self.server(server) = Server::new();
        }
        forgotten
    }

    /// The list could not be loaded: schedules a retry.
    pub fn list_failed(&mut self, now: Time) {
        self.decision_due = true;
        self.list_subscribed = self.cfg.text("discovery") != Some("on_request");
        self.next_subscribe_at = now + LIST_RETRY + self.rng.i64(0..LIST_RETRY_SPREAD);
    }

    /// A proxy has joined. `baseline_rate` is the reqs per second that it usually gets, 0 if unknown.
    pub fn proxy_joined(&mut self, proxy: usize, baseline_rate: f64) {
        self.decision_due = true;
        let (mark, cleared_mark) = (self.mark, self.evidence.answered_mark);
        let entry = self.proxy(proxy);
        if !entry.joined {
            entry.cleared_mark = entry.cleared_mark.max(cleared_mark);
        }
        entry.joined = true;
        entry.joined_at_mark = mark;
        entry.asked_mark = 0;
        entry.baseline_rate = baseline_rate;
    }

    /// The stream of a proxy broke at this time.
    pub fn proxy_disconnected(&mut self, now: Time, proxy: usize) {
        self.decision_due = true;
        let entry = self.proxy(proxy);
        (entry.joined, entry.disconnected_at) = (false, now);
    }

    /// A slice was assigned to this steward.
    pub fn slice_assigned(&mut self, now: Time, slice: usize) {
        self.decision_due = true;
        // Without a line it was being moved by a previous steward: wait one lease, then let it settle.
        let until = now + self.time("family_info.write_lease_s") + self.time("family_info.settle_s");
        if let Some(entry) = self.slices.get_mut(slice) {
            let demand = std::mem::take(&mut entry.demand);
            *entry = Slice { state: State::Settling { until }, assigned_at: now, demand, ..Slice::new() };
        }
    }

    /// Sets whether the line of a newly assigned slice may still arrive. The slice is not granted until its line is
    /// received or known not to exist.
    pub fn set_line_pending(&mut self, slice: usize, awaits: bool) {
        self.decision_due = true;
        if let Some(entry) = self.slices.get_mut(slice) {
            entry.line_pending = awaits;
        }
    }

    /// It is unknown whether an order of this steward for a newly assigned slice was carried out before or after the
    /// assignment, and so which line is current: the slice is revoked, as from an owner that is gone.
    pub fn line_unknown(&mut self, slice: usize) {
        self.decision_due = true;
        if let Some(entry) = self.slices.get_mut(slice) {
            (entry.state, entry.line_pending) = (State::LineUnknown, false);
        }
    }

    /// A newly assigned slice has no line because of a revoke whose answers this steward has not received: as after a
    /// revoke of its own, every proxy has to answer the next mark first.
    pub fn line_revoked_unanswered(&mut self, slice: usize) {
        self.decision_due = true;
        let awaited_proxies = (0..self.proxies.len()).collect();
        if let Some(entry) = self.slices.get_mut(slice) {
            entry.state = State::HandingOff { mark: self.mark + 1, awaited_proxies };
        }
    }

    /// The store may have reset the levels of a slice: they are all ordered again.
    pub fn levels_unknown(&mut self, slice: usize) {
        self.decision_due = true;
        if let Some(entry) = self.slices.get_mut(slice) {
            entry.levels = [UNKNOWN_LEVEL; MAX_KINDS];
        }
    }

    /// The store may have unassigned a slice and assigned it again unchanged. Proxies may then use their former tables for
    /// one lease from now, and the levels may be reset: those that keep requests out are ordered again.
    pub fn may_be_reassigned(&mut self, now: Time, slice: usize) {
        self.decision_due = true;
        let Some(entry) = self.slices.get_mut(slice) else { return };
        entry.assigned_at = now;
        let closed = entry.levels.iter_mut().filter(|level| **level < 1.0);
        closed.for_each(|level| *level = UNKNOWN_LEVEL);
    }

    /// The store has this line for a newly assigned slice.
    pub fn line_recorded(&mut self, now: Time, slice: usize, server: usize, weight: f64) {
        self.decision_due = true;
        // A line below full weight was granted for reads only while the slice settled: it gives no ownership.
        let is_whole = weight >= FULL_WEIGHT;
        // A server absent from a complete list is gone, whether its record comes before or after the list.
        let may_be_ready = !self.has_complete_list || self.only_draining_binds();
        let entry = self.server(server);
        (entry.initial_slices, entry.last_recorded_at) = (entry.initial_slices + usize::from(is_whole), now);
        if !entry.seen && may_be_ready {
            (entry.presumed_ready, entry.health) = (true, Health::Ready);
        }
        if let Some(entry) = self.slices.get_mut(slice) {
            entry.state =
                if is_whole { State::Owned { server, restarted: false } } else { State::LineUnknown };
        }
    }

    /// A slice is no longer assigned to this steward.
    pub fn slice_unassigned(&mut self, slice: usize) {
        self.decision_due = true;
        if let Some(entry) = self.slices.get_mut(slice) {
            let owner = entry.owner();
            entry.state = State::NotAssigned;
            if let Some(owner) = owner {
                self.servers[owner].initial_slices = self.servers[owner].initial_slices.saturating_sub(1);
            }
        }
    }

    /// A report of tries at a server: their number, how many failed, the mean response time and the CPU utilization.
    pub fn traffic_reported(
        &mut self,
        now: Time,
        server: usize,
        count: f64,
        failed: f64,
        response_time: Time,
        util: Option<f64>,
    ) {
        (self.decision_due, self.last_report_at) = (true, now);
        let late = response_time as f64 > LATE_SHARE * self.mean_response_target;
        let idle = self.time("limits.idle_close_s").max(1) as f64;
        let entry = self.server(server);
        if late || util.is_some_and(|util| util >= BUSY_UTILIZATION) {
            entry.last_strained_at = now;
        }
        (entry.kept_connections, entry.kept_connections_at) = (
            entry.kept_connections * (-((now - entry.kept_connections_at) as f64) / idle).exp() + count
                - failed,
            now,
        );
        push_bounded(
            &mut entry.try_reports,
            TryReport { at: now, count, failed, response_time, util },
            TRAFFIC_SAMPLES,
        );
    }

    /// A report of the requests of one kind for a slice, counted over `window`.
    pub fn demand_reported(&mut self, now: Time, slice: usize, kind: usize, count: f64, window: Time) {
        (self.decision_due, self.rates_outdated) = (true, true);
        if let Some(entry) = self.slices.get_mut(slice) {
            push_bounded(&mut entry.demand, Demand { at: now, kind, count, window }, DEMAND_SAMPLES);
        }
    }

    /// The time of an [`Order::Remind`](crate::Order::Remind) has come.
    pub fn reminder(&mut self) {
        self.decision_due = true;
    }
}

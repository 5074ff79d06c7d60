//! The decisions of a steward: which server owns each slice, and how a slice moves.
//!
//! The host builds a [`Steward`] with its settings, calls one input method for each event (these only update
//! state), then takes [`Order`]s from [`Steward::next_order`] until there are none. Types, settings and id tables
//! are in `lib.rs`; `docs/design.md` lists when the exceptions apply.

mod admission;
mod channel;
mod demand;
mod handoff;
mod inputs;
mod placement;
mod state;
mod suspicion;

use std::collections::VecDeque;

use crate::{Health, Order, Settings, Time, SECOND};
use channel::{ChannelEvidence, MissedAnswers, Update};
use state::{Proxy, Server, Slice, State, MAX_KINDS};

/// Successful tries count as late beyond this share of the response target, as a server fills up before it misses it.
const LATE_SHARE: f64 = 0.4;

/// CPU utilization from which on a server counts as busy.
const BUSY_UTILIZATION: f64 = 0.85;

/// How long a server counts as strained after it was last busy or late.
const STRAIN_DURATION: Time = 6 * SECOND;

/// Relative cost of reqs whose keys are new to a server; keys it has seen save about a third to a half.
const NEW_KEYS_COST: f64 = 1.5;

/// One steward: its view of servers, proxies and slices, and the orders that follow from it.
#[derive(Default)]
pub struct Steward {
    cfg: Settings,
    rng: fastrand::Rng,
    servers: Vec<Server>,
    proxies: Vec<Proxy>,
    slices: Vec<Slice>,
    /// Updates within the window of the channel budget, oldest first.
    updates: VecDeque<Update>,
    /// The mark of the latest update.
    mark: u64,
    /// Answers that may never be received, e.g. because the store's notifications were interrupted.
    missed_answers: Option<MissedAnswers>,
    /// The store's notifications are interrupted: proxies may join without one.
    notifications_interrupted: bool,
    /// What the store's notifications show of the channel's contents.
    evidence: ChannelEvidence,
    pending_orders: VecDeque<Order>,
    /// An input has arrived since the last decision.
    decision_due: bool,
    /// The request rates of the slices have to be recomputed.
    rates_outdated: bool,
    now: Time,
    /// A cold server gets far too many requests: the next update ignores the minimum interval.
    urgent_update: bool,
    started_at: Time,
    next_wake: Time,
    last_tick_at: Time,
    /// Time of the last change of a level.
    levels_written_at: Time,
    /// Time of the last traffic report.
    last_report_at: Time,
    /// Usual request rate (reqs per second) of all slices of all stewards.
    baseline_rate: f64,
    /// Reqs per second that an average server completes.
    average_server_capacity: f64,
    /// Slices of this steward per ready server, rounded down.
    balanced_slice_count: usize,
    /// The request kinds, highest credit first.
    kinds: Vec<usize>,
    /// The mean response target of the request kinds.
    mean_response_target: f64,
    /// Highest average of completed reqs per second and ready server in any report window so far.
    peak_completed_rate: f64,
    /// Changes of the server list arrive without another request.
    list_subscribed: bool,
    /// A complete list, or the changes since the stored one, came after the start: servers that it lacks are gone.
    has_complete_list: bool,
    /// When the list is requested next if it isn't subscribed.
    next_subscribe_at: Time,
}

impl Server {
    /// Returns true if it was busy or late within [`STRAIN_DURATION`]: failures then mean that it is full.
    fn recently_strained(&self, now: Time) -> bool {
        now - self.last_strained_at < STRAIN_DURATION
    }
}

impl Slice {
    /// Returns true once all writes of the former owner are over and the store's line for it is known.
    fn may_be_granted(&self, now: Time) -> bool {
        !self.line_pending && matches!(self.state, State::Settling { until } if now >= until)
    }
}

impl Steward {
    /// Creates a steward, or returns the name of a required setting that is missing.
    pub fn new(now: Time, seed: u64, cfg: Settings) -> Result<Steward, &'static str> {
        let slices = cfg.number("family_info.ranges").ok_or("family_info.ranges")? as usize;
        let required = ["family_info.write_lease_s", "family_info.settle_s", "family_info.channel_rate"];
        if let Some(name) = required.into_iter().find(|name| slices > 0 && cfg.time(name).is_none()) {
            return Err(name);
        }
        let kinds = cfg.number("classes.count").unwrap_or(0.0).clamp(0.0, MAX_KINDS as f64) as usize;
        let response_target = |k: usize| cfg.time(&format!("classes.{k}.aim_s")).unwrap_or(SECOND);
        let mean_response_target =
            (0..kinds).map(response_target).sum::<Time>().max(1) as f64 / kinds.max(1) as f64;
        let credit = |k: usize| cfg.number(&format!("classes.{k}.worth")).unwrap_or(1.0);
        let mut kinds: Vec<usize> = (0..kinds).collect();
        kinds.sort_by(|&a, &b| credit(b).total_cmp(&credit(a)));
        let mut steward = Steward {
            kinds,
            mean_response_target,
            rng: fastrand::Rng::with_seed(seed),
            slices: vec![Slice::new(); slices.min(65_535)],
            decision_due: true,
            now,
            started_at: now,
            next_wake: now,
            last_tick_at: now,
            levels_written_at: now,
            last_report_at: now,
            list_subscribed: cfg.text("discovery") != Some("on_request"),
            next_subscribe_at: now,
            cfg,
            ..Steward::default()
        };
        let expected = steward.cfg.number("family_info.proxy_count").unwrap_or(0.0) as usize;
        (0..expected.min(65_536)).for_each(|proxy| _ = steward.proxy(proxy));
        Ok(steward)
    }

    /// Returns a setting, 0 if it is missing.
    fn time(&self, name: &str) -> Time {
        self.cfg.time(name).unwrap_or(0)
    }

    /// Returns the entry of a server, which is created if needed.
    fn server(&mut self, server: usize) -> &mut Server {
        if self.servers.len() <= server {
            self.servers.resize(server + 1, Server::new());
        }
        &mut self.servers[server]
    }

    /// Returns the entry of a proxy, which is created if needed.
    fn proxy(&mut self, proxy: usize) -> &mut Proxy {
        if self.proxies.len() <= proxy {
            self.proxies.resize(proxy + 1, Proxy { disconnected_at: self.started_at, ..Proxy::default() });
        }
        &mut self.proxies[proxy]
    }

    /// Returns the next order to carry out, or `None` if there is none for now.
    pub fn next_order(&mut self, now: Time) -> Option<Order> {
        if self.pending_orders.is_empty() && self.decision_due {
            self.decision_due = false;
            self.decide(now);
        }
        self.pending_orders.pop_front()
    }

    /// Like [`Steward::next_order`], for a host that is unsure of the store's current state or of the outcome of its
    /// last orders. Revokes are safe in any state, so slices leave servers that drain or are gone. Nothing else is decided;
    /// hand-overs continue with the next full decision.
    pub fn next_restriction(&mut self, now: Time) -> Option<Order> {
        if self.pending_orders.is_empty() && self.is_restriction_due() {
            self.update_totals(now);
            self.pending_orders = self.build_update(now, true).into();
        }
        self.pending_orders.pop_front()
    }

    /// Adds all orders that are due now to the pending ones.
    fn decide(&mut self, now: Time) {
        // Interval at which deadlines (leases, settling, the window of the channel budget) are checked.
        const DECISION_INTERVAL: Time = SECOND / 10;
        if now >= self.next_wake {
            (self.next_wake, self.rates_outdated) = (now + DECISION_INTERVAL, true);
            self.pending_orders.push_back(Order::Remind { at: self.next_wake });
        }
        if !self.list_subscribed && now >= self.next_subscribe_at {
            self.pending_orders.push_back(Order::SubscribeList);
            // Requested again if there is no answer by then.
            self.next_subscribe_at = now + self.cfg.time("safety.ask_within_s").unwrap_or(10 * SECOND);
        }
        self.update_totals(now);
        self.update_suspicion(now);
        self.settle_handoffs(now);
        let orders = self.build_update(now, false);
        self.pending_orders.extend(orders);
    }

    /// Returns the servers that count as ready.
    fn ready(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.servers.len()).filter(|&server| self.servers[server].health == Health::Ready)
    }

    /// The interval of rebalancing decisions, from the guide.
    const TICK: Time = 2 * SECOND;

    /// Collects all pending changes into one update, a message to each proxy, as far as the channel budget allows.
    /// With `restrict` it contains revokes and withdrawals only, see [`Steward::next_restriction`].
    fn build_update(&mut self, now: Time, restrict: bool) -> Vec<Order> {
        let (leaving, urgent) = if restrict {
            let to_revoke: Vec<usize> = self.slices_to_revoke().collect();
            let urgent = to_revoke.len();
            (to_revoke, urgent)
        } else {
            self.slices_to_move(now)
        };
        let withdrawal_changes = self.withdrawal_changes();
        let overloaded_cold_slices = if restrict { Vec::new() } else { self.overloaded_cold_slices() };
        self.urgent_update |= !overloaded_cold_slices.is_empty();
        let (available, ordinary) =
            self.available_lines(now, urgent + withdrawal_changes.len() + overloaded_cold_slices.len());
        let ordinary = if restrict { 0 } else { ordinary };
        let mut orders = Vec::new();
        if available == 0 {
            return orders;
        }
        let mark = self.mark + 1;
        // Urgent lines may use all available lines, others only what is left of the ordinary share.
        for slice in leaving.into_iter().take(available.min(urgent).max(ordinary / 2)) {
            self.slices[slice].state =
                State::HandingOff { mark, awaited_proxies: (0..self.proxies.len()).collect() };
            orders.push(Order::DropLines { slice });
        }
        for slice in overloaded_cold_slices
            .into_iter()
            .take(available.saturating_sub(orders.len()) / self.kinds.len().max(1))
        {
            self.set_levels(now, slice, &self.wanted_levels(slice), &mut orders);
        }
        if !restrict {
            self.add_grants_and_levels(now, ordinary, &mut orders);
        }
        for server in withdrawal_changes {
            let entry = &mut self.servers[server];
            entry.withdrawn = !entry.withdrawn;
            orders.push(Order::Withdraw { server, out: entry.withdrawn });
        }
        if !orders.is_empty() || !restrict && self.is_mark_due(ordinary) {
            self.mark = mark;
            self.urgent_update = false;
            orders.push(Order::Mark { number: (mark % 65_536) as u16 });
            self.record_update(now, self.message_overhead() + orders.len() as f64);
        }
        orders
    }

    /// Returns the servers to withdraw or to put back, in a deployment without slices. The proxies keep their own tables
    /// there; a steward only ensures that nothing is sent to servers that have left.
    fn withdrawal_changes(&self) -> Vec<usize> {
        if !self.slices.is_empty() || self.ready().next().is_none() {
            return Vec::new();
        }
        let leaves = |server: &Server| server.seen && server.withdrawn == (server.health == Health::Ready);
        (0..self.servers.len()).filter(|&server| leaves(&self.servers[server])).collect()
    }

    /// Grants settled slices first, as a full channel starved them when they came last, and then changes levels.
    fn add_grants_and_levels(&mut self, now: Time, available: usize, orders: &mut Vec<Order>) {
        let (settled, owned): (Vec<usize>, Vec<usize>) = (0..self.slices.len())
            .filter(|&slice| self.slices[slice].owner().is_some() || self.slices[slice].may_be_granted(now))
            .partition(|&slice| self.slices[slice].owner().is_none());
        for slice in settled.into_iter().chain(owned) {
            if orders.len() + 2 + self.kinds.len() > available {
                return;
            }
            if self.slices[slice].owner().is_none() {
                self.grant(now, slice, orders);
                continue;
            }
            let wanted = self.wanted_levels(slice);
            if self.are_levels_due(now, slice, &wanted) || !orders.is_empty() {
                self.set_levels(now, slice, &wanted, orders);
            }
        }
    }

    /// Grants a slice to the most suitable server, if any is ready, with its initial levels.
    fn grant(&mut self, now: Time, slice: usize, orders: &mut Vec<Order>) {
        let Some(server) = self.choose_server(now, slice) else { return };
        let added_rate = self.rate_once_granted(server, slice);
        let entry = &mut self.servers[server];
        (entry.last_grant_at, entry.held_slices, entry.load) =
            (now, entry.held_slices + 1, entry.load + added_rate);
        self.servers[server].level = self.servers[server].level.min(self.budget_level(server));
        self.slices[slice].state = State::Owned { server, restarted: false };
        self.slices[slice].levels = [1.0; MAX_KINDS];
        orders.push(Order::SetLine { slice, server });
        // Protects a cold server from the requests that proxies held back while the slice had no owner: a level
        // of 0 stops them, and the next update opens it.
        let is_cold = self.servers[server].warm_share < 1.0;
        let wanted = if is_cold { [0.0; MAX_KINDS] } else { self.wanted_levels(slice) };
        self.set_levels(now, slice, &wanted, orders);
    }

    /// Returns true if new levels are worth an update of their own, which costs a message header at each proxy. Otherwise
    /// they wait for a tick or for an update that is sent anyway, unless they open a kind or protect a cold server.
    fn are_levels_due(&self, now: Time, slice: usize, wanted: &[f64; MAX_KINDS]) -> bool {
        let entry = &self.slices[slice];
        let opens = (0..MAX_KINDS).any(|kind| wanted[kind] > 0.0 && entry.levels[kind] <= 0.0);
        let is_cold = entry.owner().is_some_and(|server| self.servers[server].warm_share < 1.0);
        now - self.levels_written_at >= Self::TICK || is_cold || opens || self.urgent_update
    }

    /// Orders the wanted levels of a slice as far as they differ enough from its current ones.
    fn set_levels(&mut self, now: Time, slice: usize, wanted: &[f64; MAX_KINDS], orders: &mut Vec<Order>) {
        // Small changes would fill the channel.
        const MIN_LEVEL_CHANGE: f64 = 0.1;
        let first = orders.len();
        for (kind, &share) in wanted.iter().enumerate().take(self.kinds.len()) {
            let change = (share - self.slices[slice].levels[kind]).abs();
            let is_all_or_nothing = change > 0.0 && (share <= 0.0 || share >= 1.0);
            if change < MIN_LEVEL_CHANGE && !is_all_or_nothing {
                continue;
            }
            self.slices[slice].levels[kind] = share;
            self.levels_written_at = now;
            // One line covers all kinds with the same share.
            let same = orders[first..].iter_mut().find_map(|order| match order {
                Order::SetLevel { kinds, share: ordered, .. } if *ordered == share => Some(kinds),
                _ => None,
            });
            match same {
                Some(kinds) => *kinds |= 1 << kind,
                None => orders.push(Order::SetLevel { slice: Some(slice), kinds: 1 << kind, share }),
            }
        }
    }

    /// Returns true if a proxy that still owes an answer has rejoined, or if the channel has to be probed.
    fn is_mark_due(&self, ordinary: usize) -> bool {
        let is_due = |slice: &Slice| {
            let State::HandingOff { mark, awaited_proxies } = &slice.state else { return false };
            awaited_proxies
                .iter()
                .any(|&proxy| self.proxies[proxy].joined && self.proxies[proxy].asked_mark < *mark)
        };
        ordinary == 0 && self.is_probe_due() || self.slices.iter().any(is_due)
    }
}

#[cfg(test)]
mod tests;

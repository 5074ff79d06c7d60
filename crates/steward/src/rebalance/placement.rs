//! Placement: the server that a slice is granted to, and the slices that are moved for balance.

use super::state::Server;
use super::Steward;
use crate::{Time, SECOND};

impl Steward {
    /// Chooses the server to grant a slice to: the one with the fewest slices of this steward among the suitable ones.
    pub(super) fn choose_server(&self, now: Time, slice: usize) -> Option<usize> {
        // A cold server gets slices within its budget, and beyond that one per tick.
        let may_take_more = |server: usize| {
            self.servers[server].warm_share >= 1.0 || now - self.servers[server].last_grant_at >= Self::TICK
        };
        // Exception: a server that the slice would overload is skipped.
        // A cold one holds no more than its warm share of the slices, as idle slices may become active.
        let within_warm_share = |server: &Server| {
            server.warm_share >= 1.0
                || server.held_slices as f64 <= server.warm_share * self.balanced_slice_count as f64
        };
        let has_capacity = |server: usize| {
            self.admissible_share(server, slice) >= 1.0 && within_warm_share(&self.servers[server])
        };
        let pick = |eligible: &dyn Fn(usize) -> bool| {
            self.ready()
                .filter(|&server| eligible(server))
                .min_by_key(|&server| (self.servers[server].held_slices, server))
        };
        // Falls back to less suitable servers: a suspected one is better than none.
        pick(&|server| self.is_trusted(server, now) && !self.servers[server].degraded && has_capacity(server))
            .or_else(|| pick(&|server| may_take_more(server) && self.is_trusted(server, now)))
            .or_else(|| pick(&may_take_more))
            .or_else(|| pick(&|_| true))
    }

    /// Returns the slices to move at a tick, off overloaded servers and from servers above their initial count to others below.
    pub(super) fn slices_to_rebalance(&self, now: Time) -> Vec<usize> {
        // Difference in gained slices from which on one slice is moved.
        const IMBALANCE_THRESHOLD: isize = 3;
        // Usual limit of slices between two servers at a time.
        const MAX_IN_FLIGHT: usize = 3;
        // A slice serves nothing while it settles: within this time a move has to recover the lost requests.
        const MOVE_PAYBACK: Time = 30 * SECOND;
        let min_gain = 1.0 + self.time("family_info.settle_s") as f64 / MOVE_PAYBACK as f64;
        let in_flight =
            self.slices.iter().filter(|slice| slice.is_assigned() && slice.owner().is_none()).count();
        let gained = |server: usize| {
            self.servers[server].held_slices as isize - self.servers[server].initial_slices as isize
        };
        let eligible: Vec<usize> = self.ready().filter(|&server| self.is_trusted(server, now)).collect();
        // Exception: after the fleet has grown, as many moves as empty servers, or as an eighth of a large fleet, may
        // be in flight: three at a time would take minutes, and a quarter is no faster.
        let empty = eligible.iter().filter(|&&server| self.servers[server].held_slices == 0).count();
        let free = MAX_IN_FLIGHT.max(empty).max(eligible.len() / 8).saturating_sub(in_flight);
        let owned_slices = |server: usize| {
            (0..self.slices.len()).filter(move |&slice| self.slices[slice].owner() == Some(server))
        };
        // Exception: an overloaded server loses the hottest of its slices that another server can handle.
        // So does one that fails many reqs without being full, as lower levels would not help it.
        let degraded = |server: usize| if self.servers[server].degraded { 1.5 } else { 0.0 };
        let strain = |server: usize| self.strain(server, now).unwrap_or(0.0).max(degraded(server));
        let mut strained: Vec<usize> =
            eligible.iter().copied().filter(|&server| strain(server) > 1.0).collect();
        strained.sort_by(|&a, &b| strain(b).total_cmp(&strain(a)));
        let mut moves = Vec::new();
        for server in strained.into_iter().take(free) {
            // A server that denies some requests is accepted if it admits enough more to make up for the settling.
            let goes_by_level = self.admits_shares() && !self.servers[server].degraded;
            let min_share = if goes_by_level { min_gain * self.servers[server].level } else { 1.0 };
            let takes = |to: usize, s: usize| {
                !self.servers[to].degraded && self.admissible_share(to, s).min(1.0) >= min_share
            };
            let fits = |&s: &usize| eligible.iter().any(|&to| to != server && takes(to, s));
            moves.extend(
                owned_slices(server)
                    .filter(fits)
                    .max_by(|&a, &b| self.slice_rate(a).total_cmp(&self.slice_rate(b))),
            );
        }
        let below = eligible.iter().copied().min_by_key(|&server| (gained(server), server));
        // Prevents a slice from leaving a server and, as that holds the fewest, returning to it at every tick: a server with
        // a low initial count can have gained slices and still hold the fewest.
        let evens_out = |&server: &usize| {
            eligible.iter().any(|&to| self.servers[to].held_slices + 1 < self.servers[server].held_slices)
        };
        let above = eligible.iter().copied().filter(evens_out).max_by_key(|&server| (gained(server), server));
        if let (Some(below), Some(above)) = (below, above) {
            let uneven = gained(below) < 0
                && gained(above) > 0
                && gained(above) - gained(below) >= IMBALANCE_THRESHOLD;
            if uneven && moves.len() < free {
                moves.extend(owned_slices(above).find(|slice| !moves.contains(slice)));
            }
        }
        moves
    }
}

//! Demand: the request rates of slices, and the load that follows for servers.

use super::state::{Demand, MAX_KINDS};
use super::Steward;
use crate::{Time, SECOND};

impl Steward {
    /// Computes once per update what its decisions use: the rates of the slices, and the slices, load and budget of servers.
    pub(super) fn update_totals(&mut self, now: Time) {
        self.now = now;
        let reporting = self.proxies.iter().filter(|proxy| proxy.baseline_rate > 0.0).count().max(1) as f64;
        let baseline_rate = self.proxies.iter().map(|proxy| proxy.baseline_rate).sum::<f64>();
        self.baseline_rate = baseline_rate / reporting * self.proxies.len() as f64;
        let cold_from = self.cfg.number("safety.cold_from").unwrap_or(1.0);
        let ramp = self.time("safety.cold_s").max(1) as f64;
        let stewards = self.cfg.number("balancers").unwrap_or(1.0).max(1.0);
        let seen = self.servers.iter().filter(|server| server.seen).count().max(1) as f64;
        // A quarter of what would overload a cold server, as its keys are new to it and reports lag. Full
        // capacity: the highest average that servers have completed, or what they usually get.
        self.average_server_capacity = self.peak_completed_rate.max(self.baseline_rate / stewards / seen);
        let max_cold_rate =
            0.25 * self.cfg.number("safety.fall_multiple").unwrap_or(1.0) * self.average_server_capacity;
        for server in &mut self.servers {
            let ramped = cold_from + (1.0 - cold_from) * (now - server.boot) as f64 / ramp;
            server.warm_share = if server.boot == 0 { 1.0 } else { ramped.clamp(cold_from, 1.0) };
            server.budget =
                if server.warm_share < 1.0 { max_cold_rate * server.warm_share } else { f64::INFINITY };
            (server.held_slices, server.load) = (0, 0.0);
        }
        self.balanced_slice_count =
            self.slices.iter().filter(|slice| slice.is_assigned()).count() / self.ready().count().max(1);
        let rates_outdated = std::mem::take(&mut self.rates_outdated);
        for s in 0..self.slices.len() {
            if rates_outdated {
                self.slices[s].rates = self.demand_rates(s);
            }
            if let Some(server) = self.slices[s].owner() {
                self.servers[server].held_slices += 1;
                self.servers[server].load += self.rate_at_server(server, s);
            }
        }
    }

    /// Returns the reqs per second for a slice by request kind; an even share of the baseline until there are reports.
    pub(super) fn demand_rates(&self, slice: usize) -> [f64; MAX_KINDS] {
        let (mut count, mut window) = ([0.0; MAX_KINDS], [0; MAX_KINDS]);
        if self.slices[slice].demand.is_empty() {
            let even = self.baseline_rate / (self.slices.len() * self.kinds.len().max(1)) as f64;
            return std::array::from_fn(|k| if k < self.kinds.len() { even } else { 0.0 });
        }
        let recent =
            |sample: &&Demand| sample.kind < MAX_KINDS && self.now - sample.at < self.report_window();
        for sample in self.slices[slice].demand.iter().filter(recent) {
            count[sample.kind] += sample.count;
            window[sample.kind] += sample.window;
        }
        std::array::from_fn(|k| count[k] * SECOND as f64 / window[k].max(1) as f64)
    }

    /// Returns the reqs per second for a slice, of all kinds.
    pub(super) fn slice_rate(&self, slice: usize) -> f64 {
        self.slices[slice].rates.iter().sum()
    }

    /// Returns the reqs per second that a slice adds to a server. Just after a steward's start, a cold server is protected
    /// from low counts, as only a few proxies have reconnected.
    pub(super) fn rate_at_server(&self, server: usize, slice: usize) -> f64 {
        if self.now - self.started_at < 2 * self.report_window() {
            self.rate_once_granted(server, slice)
        } else {
            self.slice_rate(slice)
        }
    }

    /// Returns the reqs per second that a slice adds to the server that it is being granted to. A cold server is protected
    /// from low counts: requests were refused while the slice had no server, and their clients all come back at once.
    pub(super) fn rate_once_granted(&self, server: usize, slice: usize) -> f64 {
        let is_cold = self.servers[server].warm_share < 1.0;
        let even = self.baseline_rate / self.slices.len() as f64;
        self.slice_rate(slice).max(if is_cold { even } else { 0.0 })
    }

    /// How far back reports are evaluated: one tick of them, whatever their interval.
    pub(super) fn report_window(&self) -> Time {
        self.time("family_info.cycle_s") + Self::TICK
    }
}

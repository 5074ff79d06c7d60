//! Admission: the share of requests that is admitted, by what servers complete.

use super::state::{Server, MAX_KINDS, UNKNOWN_LEVEL};
use super::{Steward, BUSY_UTILIZATION, LATE_SHARE, NEW_KEYS_COST};
use crate::{Time, SECOND};

/// A strained server that completes less than this share of its tries rejects the rest because it is full.
const FULL_COMPLETED_SHARE: f64 = 0.7;

/// Minimum strain of a server whose cores are busy, whatever its response times.
const MIN_BUSY_STRAIN: f64 = 0.8;

/// From this strain on a level is held, and below the second value it rises no faster.
const HOLD_STRAIN: f64 = 0.9;
const MIN_RISING_STRAIN: f64 = 0.5;

/// An overloaded server's level falls at least to the first share of its former value, but not below the second share of
/// what it completes.
const FALLING_LEVEL_FACTOR: f64 = 0.95;
const MIN_COMPLETED_SHARE: f64 = 0.8;

/// A level never falls below this, so that tries are still reported.
const MIN_LEVEL: f64 = 0.1;

/// A cold server's level that falls below this share of its former value is urgent.
const SUDDEN_FALL: f64 = 0.8;

/// Minimum strain used in the estimate of a server's capacity.
const MIN_STRAIN: f64 = 0.2;

/// The usable share of a server's capacity, and the capacity of a server without reports, in average servers.
const USED_CAPACITY: f64 = 0.9;
const UNREPORTED_CAPACITY: f64 = 2.0;

/// Number of steps of a level, so that no lines are written for smaller changes.
const LEVEL_STEPS: f64 = 20.0;

/// Lower bound of rates that are divided by, in requests per second.
const MIN_RATE: f64 = 1e-6;

impl Steward {
    /// Returns the load of a server relative to its limit, or `None` without reports. Above 1 it is overloaded.
    pub(super) fn strain(&self, server: usize, now: Time) -> Option<f64> {
        // A cold server can't wait for reports of a full tick.
        let window = if self.servers[server].warm_share < 1.0 {
            self.report_window() - Self::TICK / 2
        } else {
            self.report_window()
        };
        let recent = || self.servers[server].try_reports.iter().filter(|t| now - t.at < window);
        let (count, successful) = self.servers[server].tries_within(now, window);
        if count <= 0.0 {
            return None;
        }
        // Utilization is a better measure than response times, which vary with the reqs. Once the cores are busy, only
        // response times show the degree of overload; good ones let levels rise, as reported loads may be false.
        let utils: Vec<f64> = recent().filter_map(|t| t.util).collect();
        let util = utils.iter().sum::<f64>() / utils.len() as f64 / BUSY_UTILIZATION;
        if util < 1.0 {
            return Some(util);
        }
        let response_time = recent().map(|t| (t.count - t.failed) * t.response_time as f64).sum::<f64>()
            / successful.max(1.0);
        // A full server rejects reqs at once and answers the rest late.
        let is_full =
            successful < FULL_COMPLETED_SHARE * count && self.servers[server].recently_strained(now);
        let full_strain = if is_full { count / successful.max(1.0) } else { 0.0 };
        let busy_strain = if util.is_nan() { 0.0 } else { MIN_BUSY_STRAIN };
        let late_strain = response_time / (LATE_SHARE * self.mean_response_target);
        Some(late_strain.max(full_strain).max(busy_strain))
    }

    /// Returns true if proxies can admit a share of the requests.
    pub(super) fn admits_shares(&self) -> bool {
        self.cfg.text("family_info.admit") == Some("ratio")
    }

    /// Lowers the levels of overloaded servers and raises those of servers with spare capacity.
    pub(super) fn update_levels(&mut self, now: Time, is_tick: bool) {
        let window = self.report_window();
        let per_second = SECOND as f64 / window as f64;
        let completed: f64 = self.servers.iter().map(|server| server.tries_within(now, window).1).sum();
        self.peak_completed_rate =
            self.peak_completed_rate.max(completed * per_second / self.ready().count().max(1) as f64);
        let shares = self.admits_shares();
        for server in 0..self.servers.len() {
            // Between ticks only cold servers' levels are checked, and only lowered: client retries can overload
            // a cold server within a tick.
            if !is_tick && self.servers[server].warm_share >= 1.0 {
                continue;
            }
            let strain = self.strain(server, now);
            let (tried, successful) = self.servers[server].tries_within(now, window);
            let level = self.servers[server].level;
            // Falls directly to what it completes, less a fifth to empty its queue: small steps would add up while
            // reports lag. A server without tries for a whole window is idle: only its level keeps reqs away.
            let level = match strain.unwrap_or(0.0) {
                strain if strain > 1.0 => {
                    let part = (1.0 / strain).max(MIN_COMPLETED_SHARE);
                    let completed_share =
                        part * successful * per_second / self.servers[server].load.max(MIN_RATE);
                    completed_share.min(FALLING_LEVEL_FACTOR * level)
                }
                strain if strain > HOLD_STRAIN => level,
                strain => level / strain.max(MIN_RISING_STRAIN),
            };
            let level = if is_tick { level } else { level.min(self.servers[server].level) };
            let max_level = self.budget_level(server);
            let server = &mut self.servers[server];
            self.urgent_update |=
                server.warm_share < 1.0 && server.load > 0.0 && level < SUDDEN_FALL * server.level;
            if let Some(strain) = strain {
                server.capacity = tried * per_second / strain.max(MIN_STRAIN);
            }
            if shares {
                server.level = level.clamp(MIN_LEVEL, 1.0).min(max_level);
            }
        }
    }

    /// Returns the share of its reqs that a server could handle with this slice added.
    pub(super) fn admissible_share(&self, server: usize, slice: usize) -> f64 {
        let &Server { budget, capacity, load, .. } = &self.servers[server];
        // A server without reports counts as two average ones, half used; it would otherwise seem unlimited.
        let known = if capacity.is_finite() {
            USED_CAPACITY * capacity
        } else {
            UNREPORTED_CAPACITY * self.average_server_capacity
        };
        budget.min(known) / (load + NEW_KEYS_COST * self.rate_at_server(server, slice)).max(MIN_RATE)
    }

    /// Returns the share of each request kind that a slice should admit: kinds with the highest credit first, and the
    /// lowest gets what is left.
    pub(super) fn wanted_levels(&self, slice: usize) -> [f64; MAX_KINDS] {
        let rates = self.slices[slice].rates;
        let level = self.slices[slice].owner().map_or(1.0, |server| self.servers[server].level);
        let mut remaining = level * rates.iter().sum::<f64>();
        let mut wanted = [1.0; MAX_KINDS];
        for &k in &self.kinds {
            if level < 1.0 && rates[k] > 0.0 {
                let steps = (remaining / rates[k] * LEVEL_STEPS).floor();
                wanted[k] = steps.clamp(0.0, LEVEL_STEPS) / LEVEL_STEPS;
                remaining = (remaining - rates[k]).max(0.0);
            }
        }
        wanted
    }

    /// Returns the slices at cold servers that admit all requests, or may since the store reset their levels, although their
    /// server can handle far fewer.
    pub(super) fn overloaded_cold_slices(&self) -> Vec<usize> {
        let is_overload = |&slice: &usize| {
            let entry = &self.slices[slice];
            let is_cold = entry.owner().is_some_and(|server| self.servers[server].warm_share < 1.0);
            let is_open = entry.levels.iter().all(|&level| level >= 1.0 || level == UNKNOWN_LEVEL);
            let wanted = self.wanted_levels(slice);
            let admitted: f64 = (0..MAX_KINDS).map(|kind| entry.rates[kind] * wanted[kind]).sum();
            is_cold && is_open && admitted < SUDDEN_FALL * self.slice_rate(slice)
        };
        (0..self.slices.len()).filter(is_overload).collect()
    }

    /// Returns the share of its reqs that keeps a cold server within its budget.
    pub(super) fn budget_level(&self, server: usize) -> f64 {
        (self.servers[server].budget / self.servers[server].load.max(MIN_RATE)).min(1.0)
    }
}

//! Totals of the proxies' reports, by zone and server and by slice and request kind, passed on oldest first.

use std::collections::{BTreeMap, VecDeque};

use ravenspar_steward::{Steward, Time, SECOND};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Key {
    Traffic { zone: usize, server: usize },
    Demand { slice: usize, kind: usize },
}

#[derive(Clone, Debug)]
struct Total {
    /// Start of the cycle in which the first report was added.
    since: Time,
    count: f64,
    failed: f64,
    /// Total duration of the successful tries, in units of [`Time`].
    took: f64,
    util: Option<f64>,
}

/// The totals not passed on yet. Their number is bounded by zones x servers + slices x kinds: later reports are added
/// to the waiting totals.
#[derive(Debug, Default)]
pub struct Totals {
    totals: BTreeMap<Key, Total>,
    order: VecDeque<Key>,
    cycle_start: Time,
    /// Fraction of a line that is carried over to the next cycle.
    carried_over: f64,
}

impl Totals {
    fn add(&mut self, key: Key, count: f64, failed: f64, took: f64, util: Option<f64>) {
        let (since, order) = (self.cycle_start, &mut self.order);
        let total = self.totals.entry(key).or_insert_with(|| {
            order.push_back(key);
            Total { since, count: 0.0, failed: 0.0, took: 0.0, util: None }
        });
        (total.count, total.failed, total.took) =
            (total.count + count, total.failed + failed, total.took + took);
        total.util = util.or(total.util);
    }

    /// Adds a report on tries at a server. `took` is the mean duration of the successful ones.
    pub fn add_traffic(
        &mut self,
        zone: usize,
        server: usize,
        count: f64,
        failed: f64,
        took: Time,
        util: Option<f64>,
    ) {
        let succeeded = (count - failed).max(0.0);
        self.add(Key::Traffic { zone, server }, count, failed, succeeded * took as f64, util);
    }

    /// Adds a report on reqs that arrived for a slice.
    pub fn add_demand(&mut self, slice: usize, kind: usize, count: f64) {
        self.add(Key::Demand { slice, kind }, count, 0.0, 0.0, None);
    }

    /// Ends a cycle: passes on the oldest totals, at most `rate` a second. Returns how many.
    pub fn forward(&mut self, now: Time, rate: f64, steward: &mut Steward) -> usize {
        let cycle = (now - self.cycle_start) as f64 / SECOND as f64;
        self.cycle_start = now;
        // Capacity that a cycle did not use is not carried over.
        let allowed = self.carried_over + rate * cycle;
        self.carried_over = allowed.fract();
        let mut forwarded = 0;
        while forwarded < allowed as usize {
            let Some(key) = self.order.pop_front() else { break };
            let Some(total) = self.totals.remove(&key) else { continue };
            forwarded += 1;
            match key {
                Key::Traffic { server, .. } => {
                    let succeeded = total.count - total.failed;
                    let took = if succeeded > 0.0 { (total.took / succeeded) as Time } else { 0 };
                    steward.traffic_reported(now, server, total.count, total.failed, took, total.util);
                }
                Key::Demand { slice, kind } => {
                    steward.demand_reported(now, slice, kind, total.count, (now - total.since).max(1));
                }
            }
        }
        forwarded
    }

    pub fn waiting(&self) -> usize {
        self.order.len()
    }
}

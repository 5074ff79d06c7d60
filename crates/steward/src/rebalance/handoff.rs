//! Hand-overs: which slices have to leave their servers, and when all proxies have answered a revoke.

use super::state::{Slice, State};
use super::Steward;
use crate::{Health, Time};

impl Steward {
    /// Starts settling the hand-overs for which each proxy has answered or its lease has expired.
    pub(super) fn settle_handoffs(&mut self, now: Time) {
        let lease = self.time("family_info.write_lease_s");
        let settle = self.time("family_info.settle_s");
        let answered_mark = self.proxies.iter().map(|proxy| proxy.answered_mark).max().unwrap_or(0);
        for slice in &mut self.slices {
            let State::HandingOff { mark, awaited_proxies } = &mut slice.state else { continue };
            // Checked for all proxies together: a proxy whose lease seems to have expired may be reported as rejoined before
            // the others answer. Until some proxy has answered the mark, nothing shows that a rejoin before the revoke was
            // carried out would have been received by now; proxies that join are sent a new mark.
            let is_over = awaited_proxies.iter().all(|&proxy| {
                let proxy = &self.proxies[proxy];
                let lease_expired =
                    !proxy.joined && now >= proxy.disconnected_at.max(slice.assigned_at) + lease;
                proxy.answered_mark >= *mark || lease_expired
            });
            if is_over && answered_mark >= *mark {
                slice.state = State::Settling { until: now + settle };
            }
        }
    }

    /// Returns the slices that have to be revoked: first those whose server drains, is gone or has restarted, then those
    /// whose line is unknown, which may be at no server.
    pub fn slices_to_revoke(&self) -> impl Iterator<Item = usize> + '_ {
        let without_server =
            (0..self.slices.len()).filter(|&slice| self.has_lost_server(&self.slices[slice]));
        without_server
            .chain((0..self.slices.len()).filter(|&slice| self.slices[slice].state == State::LineUnknown))
    }

    /// Returns true if its server drains, is gone or has restarted.
    fn has_lost_server(&self, slice: &Slice) -> bool {
        match slice.state {
            State::Owned { server, restarted } => restarted || self.servers[server].health != Health::Ready,
            _ => false,
        }
    }

    /// Returns true if any slice has to be revoked.
    pub fn is_restriction_due(&self) -> bool {
        self.slices_to_revoke().next().is_some()
    }

    /// Returns the slices that are to leave their owners, the urgent ones first, and the number of urgent ones.
    pub(super) fn slices_to_move(&mut self, now: Time) -> (Vec<usize>, usize) {
        let mut leaving: Vec<usize> = self.slices_to_revoke().collect();
        let urgent = leaving.len();
        // Many suspects at once point to a faulty view rather than faulty servers: then nothing moves.
        if self.ready().filter(|&server| !self.is_trusted(server, now)).count() * 4 <= self.ready().count() {
            // A slice that is being handed over has no owner and is not moved again.
            let is_doubtful =
                |slice: &Slice| slice.owner().is_some_and(|server| !self.is_trusted(server, now));
            let leaves = |slice: &Slice| is_doubtful(slice) && !self.has_lost_server(slice);
            leaving.extend((0..self.slices.len()).filter(|&slice| leaves(&self.slices[slice])));
        }
        // Follows the reports where they are as rare as ticks.
        let early = if self.last_report_at == now { self.time("family_info.cycle_s") / 2 } else { 0 };
        let tick = now - self.last_tick_at >= Self::TICK - early;
        self.update_levels(now, tick);
        if tick {
            self.last_tick_at = now;
            if leaving.is_empty() {
                leaving.extend(self.slices_to_rebalance(now));
            }
        }
        (leaving, urgent)
    }
}

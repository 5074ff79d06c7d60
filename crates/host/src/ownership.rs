//! Assignment of slices to this steward and their release, where several stewards share the slices.

use ravenspar_protocol::Frame;
use ravenspar_steward::Time;

use crate::proxy::NEVER;
use crate::table::{write_assigned, write_left, Change};
use crate::Host;

/// A slice that has been assigned to this steward, with its recorded state.
#[derive(Clone, Debug, PartialEq)]
pub struct AssignedSlice {
    pub slice: usize,
    /// The term of the assignment, larger than those of all earlier assignments of the slice.
    pub term: u64,
    /// Until when the previous steward (another one, or an earlier incarnation of this one) may have echoed forwarders;
    /// `None` if the slice was assigned to no steward before.
    pub echoed_until: Option<Time>,
    /// The owner's id, weight and last start as known to the steward that granted it; `None` while the slice moves
    /// between servers.
    pub owner: Option<(String, f64, Time)>,
}

impl Host {
    /// Assigns slices, in ascending order, to this steward. Their record must have been read **after** the assignment
    /// took effect. Proxies are notified before any decision on the slices. A slice that was moving between servers waits
    /// for a lease and settles again; one open to reads alone is revoked and then does the same; no slice opens early.
    pub fn assign(&mut self, now: Time, slices: &[AssignedSlice]) {
        let known = |assigned: &&AssignedSlice| assigned.slice < self.limits.slices && assigned.term > 0;
        let slices: Vec<&AssignedSlice> = slices.iter().filter(known).collect();
        if slices.is_empty() {
            return;
        }
        let owners = slices.iter().filter_map(|assigned| assigned.owner.as_ref());
        owners.for_each(|(owner, _, boot)| self.apply_recorded_start(owner, *boot));
        let terms: Vec<(usize, u64)> =
            slices.iter().map(|assigned| (assigned.slice, assigned.term)).collect();
        let mut fields = Frame::fields();
        // Routes are read from the record, as a joining proxy reads them: the channel is charged one line per run.
        let entries = write_assigned(&terms, &mut fields);
        let mut changes = Vec::with_capacity(2 * slices.len());
        for assigned in slices {
            let slice = assigned.slice;
            self.terms[slice] = assigned.term;
            self.taken_over[slice] = assigned.echoed_until.unwrap_or(NEVER);
            self.steward.slice_assigned(assigned.echoed_until.unwrap_or(now).max(now), slice);
            changes.push(Change::Assigned { slice, term: assigned.term });
            if let Some((owner, weight, _)) = &assigned.owner {
                let (server, weight) = (self.servers.index(owner), *weight);
                self.steward.line_recorded(now, slice, server, weight);
                let recorded = Change::Held { slice, server, weight };
                recorded.write(&self.servers, &mut fields);
                changes.push(recorded);
            }
        }
        self.publish(fields, changes, entries);
    }

    /// Releases slices, in ascending order; must be called **before** any other steward can learn of the release.
    /// Decisions already made on them are still published ahead of it. From now on a proxy is echoed only once it has
    /// applied the release, so that one lease later no proxy holds a lease of this steward on any of the slices.
    pub fn release(&mut self, slices: &[usize]) {
        let slices: Vec<usize> = slices.iter().copied().filter(|slice| *slice < self.limits.slices).collect();
        if slices.is_empty() {
            return;
        }
        let mut fields = Frame::fields();
        let entries = write_left(&slices, &mut fields);
        for &slice in &slices {
            self.terms[slice] = 0;
            self.steward.slice_unassigned(slice);
        }
        let changes = slices.iter().map(|&slice| Change::Left { slice }).collect();
        self.release_end = self.publish(fields, changes, entries) + 1;
    }

    /// Returns the term under which a slice is assigned to this steward, or 0 if it is not.
    pub fn term(&self, slice: usize) -> u64 {
        self.terms.get(slice).copied().unwrap_or(0)
    }

    /// Returns true if, by the durable table, a slice has an owner that accepts writes, so that no move is in progress.
    pub fn is_at_rest(&self, slice: usize) -> bool {
        self.table.accepts_writes(slice)
    }

    /// Returns when a server last started, as far as known from the list and the record.
    pub fn boot(&self, server: usize) -> Time {
        self.servers.boot(server)
    }

    /// Returns how many more lines may be queued before decisions are postponed.
    pub fn spare_lines(&self) -> u64 {
        self.limits.max_waiting.saturating_sub(self.channel.waiting())
    }

    /// Applies a server's start that the record has and the list does not have yet. Guards against a list that lags
    /// behind the previous steward's: if the start were learnt from the list later, all slices that the server holds
    /// would seem to have been lost by it.
    fn apply_recorded_start(&mut self, id: &str, boot: Time) {
        let server = self.servers.index(id);
        if self.servers.learn_start(server, boot) {
            self.steward.server_started(server, boot);
        }
    }

    /// Publishes an update that has no routes to record; returns its number.
    fn publish(&mut self, mut fields: Frame, changes: Vec<Change>, entries: u64) -> u64 {
        let cost = self.limits.message_overhead + entries;
        let update = self.channel.push(fields.finish(), changes, cost, None, self.followers);
        self.updates += 1;
        self.decision_due = true;
        self.unrecorded.push_back((update, false));
        self.publish_durable();
        update
    }
}

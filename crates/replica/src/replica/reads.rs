//! Linearizable reads, each confirmed by a round of heartbeats.

use super::{Output, Replica, RequestError, Role};
use crate::Id;

/// How many reads may wait for their round of heartbeats.
const MAX_PENDING_READS: usize = 4_096;

impl Replica {
    /// Requests a read and returns its id. [`Output::Read`] with this id follows once a majority has answered a round of
    /// heartbeats that began after this call.
    pub fn read(&mut self) -> Result<u64, RequestError> {
        let Role::Leader { term_start, .. } = &self.role else {
            return Err(RequestError::NotLeader(self.leader));
        };
        if self.reads.len() >= MAX_PENDING_READS {
            return Err(RequestError::TooManyPending);
        }
        self.last_read_id += 1;
        if self.cfg.toggles.unconfirmed_reads {
            self.outputs.push_back(Output::Read(self.last_read_id));
            return Ok(self.last_read_id);
        }
        // Only with the first entry of its own term does a leader know all that earlier leaders committed.
        self.reads.push_back((self.last_read_id, self.round + 1, self.commit.max(*term_start)));
        self.round_requested = true;
        Ok(self.last_read_id)
    }

    /// Hands out the reads whose round a majority has answered.
    pub(super) fn complete_reads(&mut self) {
        let Role::Leader { progress, .. } = &self.role else { return };
        if self.reads.is_empty() {
            return;
        }
        let members = self.members();
        let (own_id, current_round) = (self.own_id, self.round);
        while let Some(&(read_id, round, index)) = self.reads.front() {
            let answered = |id: Id| match id == own_id {
                true => current_round >= round,
                false => progress.get(&id).is_some_and(|p| p.round >= round),
            };
            if !members.has_majority(answered) || self.delivered < index {
                return;
            }
            self.reads.pop_front();
            self.outputs.push_back(Output::Read(read_id));
        }
    }
}

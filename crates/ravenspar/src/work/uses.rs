//! The use of resources: agents' reports are written to the store, and the leader of the duty of debts folds them
//! into the ranking.

use std::collections::BTreeMap;

use ravenspar_debt::{Fact, Fold, Key};
use ravenspar_steward::{Time, SECOND};

use super::executors::{AgentRequest, DutyCommand, ReportedUse};
use super::poll::PollResult;
use super::{frames, rows, Task};

/// Interval between writes of uses; reports that arrive in between are batched.
const USE_WRITE_INTERVAL: Time = SECOND / 2;

impl Task {
    /// Requests a full read of uses if this steward is the leader of the duty of debts, else none.
    pub(super) fn reread_uses(&mut self) {
        // The poller reads all uses only for a generation that it has not seen.
        self.uses_generation += 1;
        let generation = if self.debts_leadership.is_some() { self.uses_generation } else { 0 };
        self.poll_request.send_modify(|request| request.uses_generation = generation);
    }

    /// Takes in the published ranking and, as the leader of the duty of debts, the uses to be folded.
    pub(super) fn handle_ranking(&mut self, poll: &PollResult) {
        if let Some((row, sums)) = &poll.ranking {
            let before = self.debt_tracker.epoch();
            match serde_json::from_slice(&row.value) {
                Ok(epoch) => _ = self.debt_tracker.apply_published(row.modified, epoch, rows::sums(sums)),
                Err(why) => {
                    tracing::error!(%why, "the ranking in the store can't be decoded and is left out")
                }
            }
            if self.debt_tracker.epoch() != before {
                self.apply_ranking();
            }
        }
        if self.debts_leadership.is_none()
            || poll.request.uses_generation != self.poll_request.borrow().uses_generation
        {
            return;
        }
        if poll.all_uses && self.debt_tracker.needs_reload() {
            self.debt_tracker.reset_uses();
        }
        for (row, (key, use_)) in poll.uses.iter().filter_map(|row| Some((row, rows::use_of(row)?))) {
            self.debt_tracker.used(key, use_, row.modified);
        }
    }

    /// Passes a new ranking on to the scheduler.
    pub(super) fn apply_ranking(&mut self) {
        self.ranking_changed_at = self.context.clock.now();
        let ledger = self.debt_tracker.ledger();
        let digest = format!("{:032x}", u128::from_be_bytes(ledger.digest()));
        tracing::debug!(epoch = ledger.epoch, users = ledger.users(), digest, "a new ranking is in use");
        if let Some((_, scheduler)) = &mut self.jobs_leadership {
            scheduler.rank(ledger.mean_lease_debt());
        }
    }

    /// Handles the end of a fold, which was committed if there is a revision.
    pub(super) fn handle_fold(&mut self, now: Time, fold: Fold, revision: Option<u64>) {
        let epoch = fold.epoch.epoch;
        let before = self.debt_tracker.epoch();
        self.debt_tracker.complete(fold, revision);
        let epoch_length = self.context.debts.as_ref().map_or(Time::MAX, |debts| debts.epoch);
        if let Some((_, epoch_at)) =
            self.debts_leadership.as_mut().filter(|_| revision.is_some() && epoch > before)
        {
            *epoch_at = now + epoch_length;
        }
        if self.debt_tracker.epoch() != before {
            self.apply_ranking();
        }
        if self.debt_tracker.needs_reload() {
            self.reread_uses();
        }
    }

    /// As the leader of the duty of debts, sends the next fold to the store, under a permit of its own.
    pub(super) fn fold(&mut self) {
        let now = self.context.clock.now();
        let until = self.context.membership_status.borrow().until;
        let Some((leadership, epoch_at)) = &self.debts_leadership else { return };
        if self.duty_commands.capacity() == 0 {
            return;
        }
        let Some(permit) = leadership.permit(now, until) else { return };
        if let Some(fold) = self.debt_tracker.next(now >= *epoch_at) {
            let _ = self.duty_commands.try_send(DutyCommand::Fold { permit, fold });
        }
    }

    /// Takes in an agent's report of what it used.
    pub(super) fn handle_uses(&mut self, stream: u64, uses: Vec<frames::Used>) {
        let debts_disabled = self.context.debts.is_none();
        let floor = self.debt_tracker.floor();
        let mut settled = Vec::new();
        for frames::Used { token, used, last, job } in
            uses.into_iter().filter(|use_| rows::is_name(&use_.job))
        {
            // A token below the floor is so old that its use was folded, or arrived too late for that.
            if debts_disabled || token < floor {
                settled.push(((token, job), used));
                continue;
            }
            let fact = Fact { user: String::new(), group: String::new(), used, last };
            if self.pending_uses.take((token, job.clone()), fact).is_some() {
                self.reported_by.insert((token, job), stream);
            }
        }
        if !settled.is_empty() {
            self.write(stream, frames::counted(&settled));
        }
    }

    /// Writes pending uses to the store, one batch at a time.
    pub(super) fn write_uses(&mut self) {
        let now = self.context.clock.now();
        if self.pending_uses.is_empty() || self.use_write_pending || now < self.next_use_write_at {
            return;
        }
        self.next_use_write_at = now + USE_WRITE_INTERVAL;
        let batch = self.pending_uses.iter().take(ravenspar_store::MAX_STEPS).map(|((token, job), fact)| {
            ReportedUse { token: *token, used: fact.used, last: fact.last, job: job.clone() }
        });
        let batch = batch.collect();
        // If the write fails they stay pending, and agents report them again as well.
        self.use_write_pending = self.agent_requests.try_send(AgentRequest::WriteUses(batch)).is_ok();
    }

    /// Acknowledges uses to their agents once they are in the store, where they outlast this steward.
    pub(super) fn handle_counted(&mut self, counted: &[(Key, u64)]) {
        self.use_write_pending = false;
        let mut by_stream: BTreeMap<u64, Vec<(Key, u64)>> = BTreeMap::new();
        for (key, used) in counted {
            if self.pending_uses.get(key).is_some_and(|fact| fact.used <= *used) {
                self.pending_uses.remove(key);
                if let Some(stream) = self.reported_by.remove(key) {
                    by_stream.entry(stream).or_default().push((key.clone(), *used));
                }
            }
        }
        for (stream, counted) in by_stream {
            self.write(stream, frames::counted(&counted));
        }
    }
}

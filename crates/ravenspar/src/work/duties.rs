//! The duties of the fleet: handling of polls, claims and hand-overs of duties, and the assignment of jobs.

use std::collections::BTreeSet;

use ravenspar_duty::{Claim, Leadership, Member, Step};
use ravenspar_jobs::Scheduler;
use ravenspar_steward::Time;
use ravenspar_store::Row;

use crate::shared::Keys;

use super::executors::DutyCommand;
use super::poll::PollResult;
use super::rows::Reachability;
use super::{rows, Task, DEBTS, DUTIES, JOBS};

impl Task {
    /// Updates the state of duties, jobs and rankings by what a poll has read.
    pub(super) fn handle_poll(&mut self, now: Time, poll: PollResult) {
        if std::mem::take(&mut self.store_unavailable) {
            tracing::info!("the store answers polls for fleet work again");
        }
        self.peer_reachability = poll.reaches.iter().filter_map(rows::reachability).collect();
        let members = poll.members.iter().filter_map(|row| {
            let incarnation = Keys::incarnation(&row.key)?;
            let member: crate::shared::Member = serde_json::from_slice(&row.value).ok()?;
            let poor = self.peer_reachability.get(&incarnation).is_some_and(|reachability| reachability.poor);
            Some(Member { incarnation, leaving: member.leaving, poor })
        });
        let members = members.collect();
        let mut claims: Vec<Option<Claim>> = vec![None; DUTIES.len()];
        self.handle_ranking(&poll);
        for (name, claim) in poll.claims.iter().filter_map(rows::claim) {
            if let Some(duty) = DUTIES.iter().position(|duty| *duty == name) {
                claims[duty] = Some(claim);
            }
        }
        self.duties.update_snapshot(members, &claims);
        if let Some(claim) = claims[JOBS] {
            self.agent_sessions.term(claim.term);
        }
        let decode_line = |row: &Row| Some((rows::line(row)?, row.modified));
        for ((job, line), modified) in poll.lines.iter().filter_map(decode_line) {
            self.agent_sessions.line(&job, line, modified);
        }
        self.agent_sessions.set_known_revision(poll.revision);
        let Some((leadership, scheduler)) = &mut self.jobs_leadership else { return };
        // A poll that was requested for an earlier term lacks jobs.
        if poll.request.jobs_term != leadership.term() {
            return;
        }
        scheduler.sites(now, poll.sites.iter().filter_map(rows::site).collect());
        for ((job, line), modified) in poll.lines.iter().filter_map(decode_line) {
            scheduler.line(now, &job, line, modified);
        }
        for row in &poll.jobs {
            let Some((id, job)) = rows::job(row) else { continue };
            if rows::is_name(&id) {
                scheduler.job(now, &id, row.created, job);
            }
        }
        if poll.is_full {
            let ids: BTreeSet<&str> = poll.jobs.iter().filter_map(|row| Keys::last(&row.key)).collect();
            scheduler.all_jobs(now, &ids);
        }
    }

    /// Writes to the store whether this steward is fit to lead duties, if that has changed.
    pub(super) fn report_reachability(&mut self) {
        let now = self.context.clock.now();
        let slow = self.pace.record_wakeup(now);
        let sites = self.agent_sessions.reached(now);
        let others = self
            .peer_reachability
            .iter()
            .filter(|(incarnation, _)| **incarnation != self.context.incarnation);
        let others: Vec<u32> = others.map(|(_, peer)| peer.sites as u32).collect();
        let reaches_few = self.rest_detector.update(now, sites as u32, Some(&others));
        let ranking = (self.debt_tracker.revision() > 0).then(|| {
            let digest =
                self.debt_tracker.ledger().digest().iter().map(|byte| format!("{byte:02x}")).collect();
            (self.debt_tracker.epoch(), self.debt_tracker.revision(), digest)
        });
        let reachability = Reachability { sites, poor: slow || reaches_few, ranking };
        // The ranking in use is reported with each epoch, not with each fold.
        let reported = |report: &Reachability| {
            (report.sites, report.poor, report.ranking.as_ref().map(|(epoch, ..)| *epoch))
        };
        if reported(&reachability) == reported(&self.reachability) || self.reachability_write_pending {
            return;
        }
        if reachability.poor != self.reachability.poor {
            tracing::warn!(
                poor = reachability.poor,
                slow,
                sites,
                ?others,
                "fitness to lead duties has changed"
            );
        }
        if self.duty_commands.try_send(DutyCommand::Reachability(reachability.clone())).is_ok() {
            (self.reachability, self.reachability_write_pending) = (reachability, true);
        }
    }

    /// Takes the next step towards one leader for each duty, and starts or stops acting as the leader of a duty.
    pub(super) fn update_leadership(&mut self) {
        let now = self.context.clock.now();
        let membership_status = *self.context.membership_status.borrow_and_update();
        if now < membership_status.until && self.duty_commands.capacity() > 0 {
            if let Some(step) = self.duties.next(now, membership_status.leaving) {
                let duty = match step {
                    Step::Claim { duty } | Step::HandOver { duty, .. } => duty,
                };
                let _ = self.duty_commands.try_send(DutyCommand::Step { step, name: DUTIES[duty] });
            }
        }
        let term = self.duties.term(JOBS);
        if self.jobs_leadership.as_ref().map(|(leadership, _)| leadership.term()) != term {
            self.jobs_leadership = term.map(|term| {
                tracing::info!(term, "became the leader of the duty of jobs");
                (Leadership::new(JOBS, term), Scheduler::new(term, self.context.settings.limits))
            });
            if term.is_none() {
                tracing::info!("no longer the leader of the duty of jobs");
            }
            self.poll_request.send_modify(|request| request.jobs_term = term.unwrap_or(0));
        }
        let debts_term = self.duties.term(DEBTS);
        if self.debts_leadership.as_ref().map(|(leadership, _)| leadership.term()) != debts_term {
            match debts_term {
                Some(term) => {
                    tracing::info!(term, "became the leader of the duty of debts");
                    self.debt_tracker.start_leading(term);
                }
                None => self.debt_tracker.stop_leading(),
            }
            let epoch_length = self.context.debts.as_ref().map_or(Time::MAX, |debts| debts.epoch);
            self.debts_leadership = debts_term.map(|term| (Leadership::new(DEBTS, term), now + epoch_length));
            self.reread_uses();
        }
        let count = (0..DUTIES.len()).filter(|duty| self.duties.term(*duty).is_some()).count();
        self.duty_count.send_if_modified(|before| std::mem::replace(before, count) != count);
    }

    /// As the leader of the duty of jobs, sends the scheduler's next writes to the store, under a permit of their
    /// own.
    pub(super) fn assign_jobs(&mut self) {
        let now = self.context.clock.now();
        let until = self.context.membership_status.borrow().until;
        let Some((leadership, scheduler)) = &mut self.jobs_leadership else { return };
        if self.duty_commands.capacity() == 0 {
            return;
        }
        let Some(permit) = leadership.permit(now, until) else { return };
        let ledger = self.debt_tracker.ledger();
        let writes = scheduler.next(now, |user| ledger.debt_of(user));
        if !writes.is_empty() {
            tracing::debug!(lines = writes.len(), first = ?writes[0], "writing lines of jobs");
            let _ = self.duty_commands.try_send(DutyCommand::Lines { permit, writes });
        }
    }
}

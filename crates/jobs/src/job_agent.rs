//! The agent's side: which jobs it may work on, by its own clock alone, and which outcomes are not delivered yet.

use std::collections::BTreeMap;

use ravenspar_duty::{EffectOutcome, EffectReceiver, Refused};
use ravenspar_sharing::membership::Membership;

use crate::{Ended, Incarnation, Time, Token};

/// A job that the agent holds a lease of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldJob {
    pub token: Token,
    pub spec: String,
}

/// The result of an order to begin a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// Begin to work on it. With `record`, the order's term must be put on record first.
    Begin { record: bool },
    /// The job is held already under this token or a higher one, or has ended under it.
    Known,
    /// The order is for an incarnation that is over, or can't be carried out now.
    Stale,
    /// Its term is lower than the highest known one, which this is.
    Refused(u64),
}

/// One agent. It has one incarnation after the other: each is a lease at the store, and ends for good if the agent
/// could not renew it in time. The agent counts from when each renewal was *sent*.
#[derive(Clone, Debug)]
pub struct JobAgent {
    incarnation: Incarnation,
    membership: Membership,
    capacity: usize,
    held: BTreeMap<String, HeldJob>,
    /// Outcomes that were not accepted yet, by job and token.
    outcomes: BTreeMap<(String, Token), Ended>,
    /// The highest token begun of each job. Tokens only grow, so that an order with this token or a lower one is old.
    highest_begun: BTreeMap<String, Token>,
    effect_receiver: EffectReceiver<()>,
}

impl JobAgent {
    /// The number of jobs whose highest token is remembered: far more than are held or on their way at a time. The
    /// oldest tokens go first; an order as old as that is for an incarnation that is over.
    const MAX_REMEMBERED_JOBS: usize = 10_000;

    /// `lease` is the lease of its incarnations at the store, `margin` the time that it takes to stop a job.
    pub fn new(incarnation: Incarnation, lease: Time, margin: Time, capacity: usize) -> JobAgent {
        JobAgent {
            incarnation,
            membership: Membership::new(lease, margin),
            capacity,
            held: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            highest_begun: BTreeMap::new(),
            effect_receiver: EffectReceiver::new(1),
        }
    }

    /// The current incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Restores the term from the record after a restart.
    pub fn remember(&mut self, term: u64) {
        self.effect_receiver.remember((), term);
    }

    /// Adds an outcome that is on record and was not accepted yet; the job is not held any more.
    pub fn add_outcome(&mut self, job: &str, token: Token, ended: Ended) {
        self.held.remove(job);
        self.outcomes.insert((job.to_owned(), token), ended);
    }

    /// A renewal is sent.
    pub fn renewing(&mut self, now: Time) {
        self.membership.renewing(now);
    }

    /// A renewal that was sent at `sent` for an incarnation was carried out.
    pub fn renewed(&mut self, incarnation: Incarnation, sent: Time) {
        if incarnation == self.incarnation {
            self.membership.renewed(sent);
        }
    }

    /// When the next renewal is due.
    pub fn renew_at(&self) -> Time {
        self.membership.renew_at()
    }

    /// Returns true if it may work now. Checked again right before each effect.
    pub fn may_work(&self, now: Time) -> bool {
        self.membership.holds(now)
    }

    /// When the incarnation is over by the agent's own clock.
    pub fn until(&self) -> Time {
        self.membership.until()
    }

    /// Ends the incarnation and begins `next`. Returns the jobs that were held, all of which must stop.
    pub fn next_incarnation(
        &mut self,
        next: Incarnation,
        lease: Time,
        margin: Time,
    ) -> Vec<(String, HeldJob)> {
        self.incarnation = next;
        self.membership = Membership::new(lease, margin);
        std::mem::take(&mut self.held).into_iter().collect()
    }

    /// Handles an order to begin a job, sent on behalf of the duty's leader under a term to an incarnation.
    pub fn begin(
        &mut self,
        now: Time,
        term: u64,
        incarnation: Incarnation,
        job: &str,
        token: Token,
        spec: &str,
    ) -> OrderOutcome {
        let record = match self.effect_receiver.take((), term) {
            Err(Refused { highest_term }) => return OrderOutcome::Refused(highest_term),
            Ok(effect_outcome) => effect_outcome == EffectOutcome::Record,
        };
        if incarnation != self.incarnation || !self.may_work(now) {
            return OrderOutcome::Stale;
        }
        if self.highest_begun.get(job).is_some_and(|&highest_begun| token <= highest_begun) {
            return OrderOutcome::Known;
        }
        if self.held.len() >= self.capacity && !self.held.contains_key(job) {
            // The scheduler counted the agent's jobs differently. It sees this one as held, so the order is repeated
            // until there is capacity.
            return OrderOutcome::Stale;
        }
        if self.highest_begun.len() >= Self::MAX_REMEMBERED_JOBS {
            let oldest =
                self.highest_begun.iter().min_by_key(|(_, token)| **token).map(|(job, _)| job.clone());
            oldest.and_then(|job| self.highest_begun.remove(&job));
        }
        self.highest_begun.insert(job.to_owned(), token);
        self.held.insert(job.to_owned(), HeldJob { token, spec: spec.to_owned() });
        OrderOutcome::Begin { record }
    }

    /// Stops a job that is not this site's any more. Returns true if it was held under this token.
    pub fn stop(&mut self, job: &str, token: Token) -> bool {
        if self.held.get(job).is_some_and(|held| held.token == token) {
            self.held.remove(job);
            return true;
        }
        false
    }

    /// The jobs that the agent holds.
    pub fn held(&self) -> impl Iterator<Item = (&str, &HeldJob)> {
        self.held.iter().map(|(job, held)| (job.as_str(), held))
    }

    /// Outcomes that were not accepted yet.
    pub fn outcomes(&self) -> impl Iterator<Item = (&str, Token, &Ended)> {
        self.outcomes.iter().map(|((job, token), ended)| (job.as_str(), *token, ended))
    }

    /// Removes an outcome that was accepted, or refused for good.
    pub fn delivered(&mut self, job: &str, token: Token) {
        self.outcomes.remove(&(job.to_owned(), token));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Time = 10_000;

    fn agent() -> JobAgent {
        let mut agent = JobAgent::new(5, 4 * SECOND, SECOND / 2, 2);
        agent.renewing(0);
        agent.renewed(5, 0);
        agent
    }

    #[test]
    fn an_incarnation_lasts_from_when_its_renewal_was_sent() {
        let mut agent = agent();
        assert!(agent.may_work(3 * SECOND));
        assert!(!agent.may_work(4 * SECOND - SECOND / 2), "it stops before its lease expires at the store");
        agent.renewed(6, 3 * SECOND);
        assert!(!agent.may_work(4 * SECOND), "a renewal of another incarnation doesn't count");
        assert_eq!(agent.begin(4 * SECOND, 1, 5, "a", 7, ""), OrderOutcome::Stale);
    }

    #[test]
    fn a_job_begins_once_per_token_and_never_by_an_older_order() {
        let mut agent = agent();
        assert_eq!(agent.begin(0, 3, 5, "a", 70, "spec"), OrderOutcome::Begin { record: true });
        assert_eq!(agent.begin(0, 3, 5, "a", 70, "spec"), OrderOutcome::Known);
        assert_eq!(agent.begin(0, 2, 5, "b", 71, ""), OrderOutcome::Refused(3));
        assert_eq!(
            agent.begin(0, 3, 4, "b", 71, ""),
            OrderOutcome::Stale,
            "an order for an earlier incarnation"
        );
        assert!(agent.stop("a", 70));
        assert_eq!(
            agent.begin(0, 3, 5, "a", 70, ""),
            OrderOutcome::Known,
            "a stopped job doesn't begin again under its token"
        );
        assert_eq!(agent.begin(0, 4, 5, "a", 80, ""), OrderOutcome::Begin { record: true });
        assert!(!agent.stop("a", 70));
        assert_eq!(agent.held().count(), 1);
    }

    #[test]
    fn outcomes_are_kept_across_incarnations_until_delivered() {
        let mut agent = agent();
        agent.begin(0, 1, 5, "a", 70, "");
        agent.add_outcome("a", 70, Ended::Done);
        assert_eq!(agent.held().count(), 0);
        agent.next_incarnation(6, SECOND, 0);
        assert_eq!(agent.outcomes().collect::<Vec<_>>(), [("a", 70, &Ended::Done)]);
        agent.delivered("a", 70);
        assert_eq!(agent.outcomes().count(), 0);
    }
}

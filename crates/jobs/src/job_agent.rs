//! The agent's side: which jobs it may work on, by its own clock alone, and which outcomes still have to be delivered.

use std::collections::BTreeMap;

use ravenspar_duty::{Refused, Taken, Taker};
use ravenspar_sharing::membership::Membership;

use crate::{Ended, Life, Time, Token};

/// A job in hand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    pub token: Token,
    pub spec: String,
}

/// What an order comes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// Begin to work on it, once the term is on record where that is asked for.
    Begin { record: bool },
    /// It is known already, or was ended before.
    Known,
    /// Its life is over, or an older order.
    Old,
    /// Its term is lower than one seen; this one holds.
    Refused(u64),
}

/// One agent. It has one life after the other: a life is a lease at the store, and ends for good when it could not be
/// renewed in time by the agent's own reckoning, from when each renewal was *sent*.
#[derive(Clone, Debug)]
pub struct Holder {
    life: Life,
    membership: Membership,
    room: usize,
    held: BTreeMap<String, Held>,
    /// The highest token seen of each job that has an outcome waiting, so that no late order begins it again.
    outcomes: BTreeMap<(String, Token), Ended>,
    /// The highest token that was ever begun: tokens only grow, and orders for a lower one of a job no longer held are old.
    begun: BTreeMap<String, Token>,
    taker: Taker<()>,
}

impl Holder {
    /// Jobs whose last token is remembered at most: far more than are in hand or on their way at a time. The oldest by token
    /// go first; should an order as old as that come, its life is over.
    const BEGUN: usize = 10_000;

    /// `lease`: of its lives at the store. `margin`: what it takes a job to stop.
    pub fn new(life: Life, lease: Time, margin: Time, room: usize) -> Holder {
        Holder {
            life,
            membership: Membership::new(lease, margin),
            room,
            held: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            begun: BTreeMap::new(),
            taker: Taker::new(1),
        }
    }

    pub fn life(&self) -> Life {
        self.life
    }

    /// The term that is on record.
    pub fn remember(&mut self, term: u64) {
        self.taker.remember((), term);
    }

    /// An outcome that is on record and was not taken yet.
    pub fn keep(&mut self, job: &str, token: Token, ended: Ended) {
        self.held.remove(job);
        self.outcomes.insert((job.to_owned(), token), ended);
    }

    pub fn renewing(&mut self, now: Time) {
        self.membership.renewing(now);
    }

    pub fn renewed(&mut self, life: Life, sent: Time) {
        if life == self.life {
            self.membership.renewed(sent);
        }
    }

    pub fn renew_at(&self) -> Time {
        self.membership.renew_at()
    }

    /// Whether it may work now. Looked at again right before each effect.
    pub fn may_work(&self, now: Time) -> bool {
        self.membership.holds(now)
    }

    pub fn until(&self) -> Time {
        self.membership.until()
    }

    /// The life is over: everything in hand is stopped and what it was is returned; the next life has another number.
    pub fn over(&mut self, next: Life, lease: Time, margin: Time) -> Vec<(String, Held)> {
        self.life = next;
        self.membership = Membership::new(lease, margin);
        std::mem::take(&mut self.held).into_iter().collect()
    }

    /// An order to begin a job arrives, on behalf of the duty's owner under a term, for a life.
    pub fn begin(&mut self, now: Time, term: u64, life: Life, job: &str, token: Token, spec: &str) -> Told {
        let record = match self.taker.take((), term) {
            Err(Refused { holds }) => return Told::Refused(holds),
            Ok(taken) => taken == Taken::Record,
        };
        if life != self.life || !self.may_work(now) {
            return Told::Old;
        }
        if self.begun.get(job).is_some_and(|&begun| token <= begun) {
            return Told::Known;
        }
        if self.held.len() >= self.room && !self.held.contains_key(job) {
            // The giver counted otherwise; it sees the job as held and this agent as at work, so it is begun when there is
            // room: the order is repeated.
            return Told::Old;
        }
        if self.begun.len() >= Self::BEGUN {
            let oldest = self.begun.iter().min_by_key(|(_, token)| **token).map(|(job, _)| job.clone());
            oldest.and_then(|job| self.begun.remove(&job));
        }
        self.begun.insert(job.to_owned(), token);
        self.held.insert(job.to_owned(), Held { token, spec: spec.to_owned() });
        Told::Begin { record }
    }

    /// The job is not this site's any more. Returns whether it was in hand under this token.
    pub fn stop(&mut self, job: &str, token: Token) -> bool {
        if self.held.get(job).is_some_and(|held| held.token == token) {
            self.held.remove(job);
            return true;
        }
        false
    }

    pub fn held(&self) -> impl Iterator<Item = (&str, &Held)> {
        self.held.iter().map(|(job, held)| (job.as_str(), held))
    }

    /// Outcomes that nobody has taken yet.
    pub fn outcomes(&self) -> impl Iterator<Item = (&str, Token, &Ended)> {
        self.outcomes.iter().map(|((job, token), ended)| (job.as_str(), *token, ended))
    }

    /// An outcome was taken, or refused for good.
    pub fn delivered(&mut self, job: &str, token: Token) {
        self.outcomes.remove(&(job.to_owned(), token));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Time = 10_000;

    fn holder() -> Holder {
        let mut holder = Holder::new(5, 4 * SECOND, SECOND / 2, 2);
        holder.renewing(0);
        holder.renewed(5, 0);
        holder
    }

    #[test]
    fn a_life_is_reckoned_from_when_its_renewal_was_sent() {
        let mut holder = holder();
        assert!(holder.may_work(3 * SECOND));
        assert!(!holder.may_work(4 * SECOND - SECOND / 2), "it stops before the store lets it go");
        holder.renewed(6, 3 * SECOND);
        assert!(!holder.may_work(4 * SECOND), "another life's renewal is none");
        assert_eq!(holder.begin(4 * SECOND, 1, 5, "a", 7, ""), Told::Old);
    }

    #[test]
    fn a_job_is_begun_once_a_token_and_by_no_older_order() {
        let mut holder = holder();
        assert_eq!(holder.begin(0, 3, 5, "a", 70, "spec"), Told::Begin { record: true });
        assert_eq!(holder.begin(0, 3, 5, "a", 70, "spec"), Told::Known);
        assert_eq!(holder.begin(0, 2, 5, "b", 71, ""), Told::Refused(3));
        assert_eq!(holder.begin(0, 3, 4, "b", 71, ""), Told::Old, "of an earlier life");
        assert!(holder.stop("a", 70));
        assert_eq!(holder.begin(0, 3, 5, "a", 70, ""), Told::Known, "stopped for good under this token");
        assert_eq!(holder.begin(0, 4, 5, "a", 80, ""), Told::Begin { record: true });
        assert!(!holder.stop("a", 70));
        assert_eq!(holder.held().count(), 1);
    }

    #[test]
    fn outcomes_wait_until_they_are_delivered_whatever_life_it_is() {
        let mut holder = holder();
        holder.begin(0, 1, 5, "a", 70, "");
        holder.keep("a", 70, Ended::Done);
        assert_eq!(holder.held().count(), 0);
        holder.over(6, SECOND, 0);
        assert_eq!(holder.outcomes().collect::<Vec<_>>(), [("a", 70, &Ended::Done)]);
        holder.delivered("a", 70);
        assert_eq!(holder.outcomes().count(), 0);
    }
}

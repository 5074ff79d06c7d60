//! Which steward claims which duty, and which duties are handed over.

use std::collections::BTreeMap;

use crate::{Duty, Incarnation, Term, Time};

/// A member of the fleet, as the store has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    pub incarnation: Incarnation,
    pub leaving: bool,
    /// The member reports itself unfit for duties: it is slow, or reaches far fewer sites than other members do.
    pub poor: bool,
}

/// The leader of a duty and its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    pub leader: Incarnation,
    pub term: Term,
}

/// A write at the store. The next one is returned only after [`Duties::complete`] for this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Write the claim for this incarnation, bound to its membership, if there is no claim.
    Claim { duty: Duty },
    /// Write the claim for another member, bound to that member's membership, if the claim has this term and the
    /// other is a member. This steward stops acting on the duty as soon as the step is returned.
    HandOver { duty: Duty, term: Term, to: Incarnation },
}

/// One steward's view of the duties: what it leads, and what it should claim or hand over.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Duties {
    me: Incarnation,
    claims: Vec<Option<Claim>>,
    members: Vec<Member>,
    /// The terms of the duties that this steward leads.
    own_terms: Vec<Option<Term>>,
    pending: Option<Duty>,
    /// Nothing is claimed before this time, so that members that start together see each other first.
    claim_at: Time,
    /// Since when each duty has had a leader other than the assigned one.
    misplaced_since: Vec<Option<Time>>,
    /// How often this steward gained or lost a duty.
    pub changes: u64,
}

impl Duties {
    /// How long a duty must be assigned to another member before its leader hands it over, unless the leader is
    /// leaving. Longer than members take to come back one after the other, so that a rolling restart moves each duty
    /// only when its leader restarts.
    pub const HAND_OVER_DELAY: Time = 50_000;

    /// `claim_at`: when claims may begin, a few polls of the store after joining.
    pub fn new(me: Incarnation, duties: usize, claim_at: Time) -> Duties {
        Duties {
            me,
            claims: vec![None; duties],
            members: Vec::new(),
            own_terms: vec![None; duties],
            pending: None,
            claim_at,
            misplaced_since: vec![None; duties],
            changes: 0,
        }
    }

    /// Takes over a snapshot of the store at one revision: all members, and the claim of each duty. A duty of this
    /// incarnation whose claim is gone or names another member is lost at once.
    pub fn update_snapshot(&mut self, members: Vec<Member>, claims: &[Option<Claim>]) {
        self.members = members;
        self.members.sort_by_key(|member| member.incarnation);
        for (duty, claim) in claims.iter().enumerate().take(self.claims.len()) {
            // A snapshot read before the pending step completed may be older than its outcome.
            if self.pending == Some(duty) {
                continue;
            }
            let term = claim.filter(|claim| claim.leader == self.me).map(|claim| claim.term);
            let older = |claim: &Claim| self.own_terms[duty].is_some_and(|own_term| claim.term < own_term);
            if claim.as_ref().is_some_and(older) {
                continue;
            }
            if self.own_terms[duty] != term {
                self.changes += 1;
                self.own_terms[duty] = term;
            }
            if self.claims[duty].map(|claim| claim.leader) != claim.map(|claim| claim.leader) {
                self.misplaced_since[duty] = None;
            }
            self.claims[duty] = *claim;
        }
    }

    /// Returns the term under which this steward leads a duty, or `None` if it doesn't.
    pub fn term(&self, duty: Duty) -> Option<Term> {
        self.own_terms.get(duty).copied().flatten()
    }

    /// Returns true if the incarnation was a member in the last snapshot.
    pub fn is_member(&self, incarnation: Incarnation) -> bool {
        self.members.iter().any(|member| member.incarnation == incarnation)
    }

    /// The members that duties are assigned to: those that stay and are fit, or all that stay if none of them is fit.
    fn candidates(&self) -> Vec<Incarnation> {
        let stay = || self.members.iter().filter(|member| !member.leaving);
        let well: Vec<Incarnation> =
            stay().filter(|member| !member.poor).map(|member| member.incarnation).collect();
        if well.is_empty() {
            stay().map(|member| member.incarnation).collect()
        } else {
            well
        }
    }

    /// Assigns duties evenly. A duty stays with its leader if that one has no more than its share; the others go to
    /// the member with the fewest. The same members and claims give the same assignment at every steward.
    fn assignment(&self) -> Vec<Option<Incarnation>> {
        let candidates = self.candidates();
        if candidates.is_empty() {
            return vec![None; self.claims.len()];
        }
        let max_per_member = self.claims.len().div_ceil(candidates.len());
        let mut counts: BTreeMap<Incarnation, usize> =
            candidates.iter().map(|&incarnation| (incarnation, 0)).collect();
        let mut assignment = vec![None; self.claims.len()];
        for (leader, claim) in assignment.iter_mut().zip(&self.claims) {
            let Some(claim) = claim else { continue };
            if let Some(count) = counts.get_mut(&claim.leader).filter(|count| **count < max_per_member) {
                *count += 1;
                *leader = Some(claim.leader);
            }
        }
        for leader in assignment.iter_mut().filter(|leader| leader.is_none()) {
            // There is at least one candidate; ties go to the lowest incarnation.
            let fewest = counts
                .iter()
                .min_by_key(|(incarnation, count)| (**count, **incarnation))
                .map(|(incarnation, _)| *incarnation);
            if let Some(count) = fewest.and_then(|incarnation| counts.get_mut(&incarnation)) {
                *count += 1;
            }
            *leader = fewest;
        }
        assignment
    }

    /// Returns the next step to take now, if any. `leaving`: this steward is shutting down, whether or not the store
    /// shows it yet.
    pub fn next(&mut self, now: Time, leaving: bool) -> Option<Step> {
        if self.pending.is_some() || !self.is_member(self.me) {
            return None;
        }
        if let Some(me) = self.members.iter_mut().find(|member| member.incarnation == self.me) {
            me.leaving |= leaving;
        }
        let leaving = self.members.iter().any(|member| member.incarnation == self.me && member.leaving);
        let assignment = self.assignment();
        for (duty, to) in assignment.into_iter().enumerate() {
            let Some(to) = to else { continue };
            let step = match (self.claims[duty], self.own_terms[duty]) {
                (None, _) if to == self.me && now >= self.claim_at => Step::Claim { duty },
                (Some(_), Some(term)) if to != self.me => {
                    let since = *self.misplaced_since[duty].get_or_insert(now);
                    if !leaving && now < since + Self::HAND_OVER_DELAY {
                        continue;
                    }
                    Step::HandOver { duty, term, to }
                }
                _ => {
                    self.misplaced_since[duty] = None;
                    continue;
                }
            };
            self.pending = Some(duty);
            if matches!(step, Step::HandOver { .. }) {
                // Given up before the hand-over is written: no effect of this duty is sent from here on.
                self.own_terms[duty] = None;
                self.changes += 1;
            }
            return Some(step);
        }
        None
    }

    /// Completes a step: `term` is the claim's revision if the step was carried out. If it was not, the next snapshot
    /// shows why.
    pub fn complete(&mut self, step: Step, term: Option<Term>) {
        self.pending = None;
        let (duty, leader) = match step {
            Step::Claim { duty } => (duty, self.me),
            Step::HandOver { duty, to, .. } => (duty, to),
        };
        self.misplaced_since[duty] = None;
        if let Some(term) = term {
            self.claims[duty] = Some(Claim { leader, term });
            if leader == self.me {
                self.own_terms[duty] = Some(term);
                self.changes += 1;
            }
        }
    }
}

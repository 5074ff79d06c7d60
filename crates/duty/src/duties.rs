//! Which steward claims which duty, and who gives one to whom.

use std::collections::BTreeMap;

use crate::{Duty, Life, Term, Time};

/// A member as the store has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    pub life: Life,
    pub leaving: bool,
    /// It says of itself that it is of no use for duties: it reaches few of the sites that others reach, or crawls.
    pub poor: bool,
}

/// Who has a duty, and under which term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    pub owner: Life,
    pub term: Term,
}

/// One step at the store. The next comes once its outcome has been told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Write the claim for this life, bound to its membership, on condition that there is none.
    Claim { duty: Duty },
    /// Write the claim for another, bound to that one's membership, on condition that the claim has this term and that
    /// the other is a member. Nothing is done by the duty from when this is said.
    Give { duty: Duty, term: Term, to: Life },
}

/// One steward's part.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Duties {
    me: Life,
    claims: Vec<Option<Claim>>,
    members: Vec<Member>,
    /// Duties that this steward may act by, with their terms.
    mine: Vec<Option<Term>>,
    busy: Option<Duty>,
    /// Nothing is claimed before this: others that start with us are to be seen first.
    claim_at: Time,
    /// Since when each duty has stood with somebody whom it would not be dealt to.
    apart: Vec<Option<Time>>,
    /// How often a duty was given away, or came.
    pub changes: u64,
}

impl Duties {
    /// How long a duty has to be dealt to another before its owner gives it away, unless the owner is leaving: longer
    /// than members take to come back one after the other, so that a rolling restart moves each duty as often as its owner
    /// goes and no more.
    pub const APART: Time = 50_000;

    /// `claim_at`: when claims may begin, some looks at the store after joining.
    pub fn new(me: Life, duties: usize, claim_at: Time) -> Duties {
        Duties {
            me,
            claims: vec![None; duties],
            members: Vec::new(),
            mine: vec![None; duties],
            busy: None,
            claim_at,
            apart: vec![None; duties],
            changes: 0,
        }
    }

    /// What the store shows at one revision: all members, and the claim of each duty. A claim that this life had and that
    /// is another's or nobody's now is lost at once.
    pub fn seen(&mut self, members: Vec<Member>, claims: &[Option<Claim>]) {
        self.members = members;
        self.members.sort_by_key(|member| member.life);
        for (duty, claim) in claims.iter().enumerate().take(self.claims.len()) {
            // What was read before the outcome of a step was known may be older than it.
            if self.busy == Some(duty) {
                continue;
            }
            let term = claim.filter(|claim| claim.owner == self.me).map(|claim| claim.term);
            let older = |claim: &Claim| self.mine[duty].is_some_and(|mine| claim.term < mine);
            if claim.as_ref().is_some_and(older) {
                continue;
            }
            if self.mine[duty] != term {
                self.changes += 1;
                self.mine[duty] = term;
            }
            if self.claims[duty].map(|claim| claim.owner) != claim.map(|claim| claim.owner) {
                self.apart[duty] = None;
            }
            self.claims[duty] = *claim;
        }
    }

    /// The term under which this steward has a duty.
    pub fn term(&self, duty: Duty) -> Option<Term> {
        self.mine.get(duty).copied().flatten()
    }

    pub fn is_member(&self, life: Life) -> bool {
        self.members.iter().any(|member| member.life == life)
    }

    /// Whom duties are dealt to: those who stay and are of use; where all who stay are as badly off, all who stay.
    fn takers(&self) -> Vec<Life> {
        let stay = || self.members.iter().filter(|member| !member.leaving);
        let well: Vec<Life> = stay().filter(|member| !member.poor).map(|member| member.life).collect();
        if well.is_empty() {
            stay().map(|member| member.life).collect()
        } else {
            well
        }
    }

    /// Deals duties evenly, each to whoever has it where that one may keep it; those that are free go to whoever has
    /// fewest. The same members and claims give the same deal at every steward.
    fn dealt(&self) -> Vec<Option<Life>> {
        let takers = self.takers();
        if takers.is_empty() {
            return vec![None; self.claims.len()];
        }
        let most = self.claims.len().div_ceil(takers.len());
        let mut held: BTreeMap<Life, usize> = takers.iter().map(|&life| (life, 0)).collect();
        let mut dealt = vec![None; self.claims.len()];
        for (place, claim) in dealt.iter_mut().zip(&self.claims) {
            let Some(claim) = claim else { continue };
            if let Some(count) = held.get_mut(&claim.owner).filter(|count| **count < most) {
                *count += 1;
                *place = Some(claim.owner);
            }
        }
        for place in dealt.iter_mut().filter(|place| place.is_none()) {
            // There is at least one; among equals the first.
            let fewest = held.iter().min_by_key(|(life, count)| (**count, **life)).map(|(life, _)| *life);
            if let Some(count) = fewest.and_then(|life| held.get_mut(&life)) {
                *count += 1;
            }
            *place = fewest;
        }
        dealt
    }

    /// The next step, if there is one to take now. `leaving`: this steward ends, whether or not the store shows it yet.
    pub fn next(&mut self, now: Time, leaving: bool) -> Option<Step> {
        if self.busy.is_some() || !self.is_member(self.me) {
            return None;
        }
        if let Some(me) = self.members.iter_mut().find(|member| member.life == self.me) {
            me.leaving |= leaving;
        }
        let leaving = self.members.iter().any(|member| member.life == self.me && member.leaving);
        let dealt = self.dealt();
        for (duty, to) in dealt.into_iter().enumerate() {
            let Some(to) = to else { continue };
            let step = match (self.claims[duty], self.mine[duty]) {
                (None, _) if to == self.me && now >= self.claim_at => Step::Claim { duty },
                (Some(_), Some(term)) if to != self.me => {
                    let since = *self.apart[duty].get_or_insert(now);
                    if !leaving && now < since + Self::APART {
                        continue;
                    }
                    Step::Give { duty, term, to }
                }
                _ => {
                    self.apart[duty] = None;
                    continue;
                }
            };
            self.busy = Some(duty);
            if matches!(step, Step::Give { .. }) {
                // Given up before it is given: nothing of it leaves from here on.
                self.mine[duty] = None;
                self.changes += 1;
            }
            return Some(step);
        }
        None
    }

    /// What came of a step: the claim's revision, where it was carried out. Where it was not, the next look says why.
    pub fn done(&mut self, step: Step, term: Option<Term>) {
        self.busy = None;
        let (duty, owner) = match step {
            Step::Claim { duty } => (duty, self.me),
            Step::Give { duty, to, .. } => (duty, to),
        };
        self.apart[duty] = None;
        if let Some(term) = term {
            self.claims[duty] = Some(Claim { owner, term });
            if owner == self.me {
                self.mine[duty] = Some(term);
                self.changes += 1;
            }
        }
    }
}

//! Several stewards' parts at one store that does what it says.

use proptest::prelude::*;
use ravenspar_duty::{Claim, Duties, Life, Member, Step, Time};

/// The store: members, and claims bound to them. A claim's revision grows.
struct Fleet {
    now: Time,
    revision: u64,
    members: Vec<Member>,
    claims: Vec<Option<Claim>>,
    parts: Vec<(Life, Duties, Option<Step>)>,
    changes: usize,
}

impl Fleet {
    fn new(duties: usize) -> Fleet {
        Fleet {
            now: 0,
            revision: 1,
            members: Vec::new(),
            claims: vec![None; duties],
            parts: Vec::new(),
            changes: 0,
        }
    }

    fn join(&mut self, life: Life) {
        self.members.push(Member { life, leaving: false, poor: false });
        self.parts.push((life, Duties::new(life, self.claims.len(), self.now + 5_000), None));
    }

    fn drop_member(&mut self, life: Life) {
        self.members.retain(|member| member.life != life);
        self.claims.iter_mut().for_each(|claim| *claim = claim.filter(|claim| claim.owner != life));
    }

    fn there(&self, life: Life) -> bool {
        self.members.iter().any(|member| member.life == life)
    }

    /// One steward looks.
    fn look(&mut self, at: usize) {
        let (members, claims) = (self.members.clone(), self.claims.clone());
        self.parts[at].1.seen(members, &claims);
    }

    fn begin(&mut self, at: usize) {
        if self.parts[at].2.is_none() {
            self.parts[at].2 = self.parts[at].1.next(self.now, false);
        }
    }

    /// The store carries out what one asked for, if what is compared is so.
    fn carry_out(&mut self, at: usize) {
        let (life, Some(step)) = (self.parts[at].0, self.parts[at].2.take()) else { return };
        let (duty, owner, so) = match step {
            Step::Claim { duty } => (duty, life, self.claims[duty].is_none() && self.there(life)),
            Step::Give { duty, term, to } => {
                let same = self.claims[duty].is_some_and(|claim| claim.term == term);
                (duty, to, same && self.there(to) && self.there(life))
            }
        };
        let term = so.then(|| {
            self.revision += 1;
            self.changes += 1;
            self.claims[duty] = Some(Claim { owner, term: self.revision });
            self.revision
        });
        self.parts[at].1.done(step, term);
    }

    fn rest(&mut self, seconds: usize) {
        for _ in 0..seconds * 4 {
            self.now += 2_500;
            for at in 0..self.parts.len() {
                if self.there(self.parts[at].0) {
                    self.look(at);
                    self.begin(at);
                    self.carry_out(at);
                }
            }
        }
    }

    fn owners(&self) -> Vec<Option<Life>> {
        self.claims.iter().map(|claim| claim.map(|claim| claim.owner)).collect()
    }
}

#[test]
fn duties_are_dealt_evenly_and_stay_with_whoever_has_them() {
    let mut fleet = Fleet::new(3);
    [30, 10, 20].into_iter().for_each(|life| fleet.join(life));
    fleet.rest(2);
    let mut owners = fleet.owners();
    owners.sort();
    assert_eq!(owners, [Some(10), Some(20), Some(30)]);
    let before = fleet.owners();
    fleet.rest(30);
    assert_eq!((fleet.owners(), fleet.changes), (before, 3), "nothing moves without a reason");
    // A fourth that comes finds all dealt evenly.
    fleet.join(5);
    fleet.rest(30);
    assert_eq!(fleet.changes, 3);
}

#[test]
fn the_duties_of_one_that_is_gone_are_claimed_and_a_leaver_gives() {
    let mut fleet = Fleet::new(2);
    [1, 2, 3].into_iter().for_each(|life| fleet.join(life));
    fleet.rest(2);
    assert_eq!(fleet.owners(), [Some(1), Some(2)]);
    fleet.drop_member(1);
    fleet.rest(1);
    assert_eq!(fleet.owners(), [Some(3), Some(2)]);
    fleet.members.iter_mut().filter(|member| member.life == 2).for_each(|member| member.leaving = true);
    fleet.rest(1);
    assert_eq!(fleet.owners(), [Some(3), Some(3)]);
    assert_eq!(fleet.changes, 4);
}

#[test]
fn one_of_no_use_gives_its_duty_away_after_a_while_and_not_when_all_are() {
    let mut fleet = Fleet::new(1);
    [1, 2].into_iter().for_each(|life| fleet.join(life));
    fleet.rest(2);
    fleet.members[0].poor = true;
    fleet.rest(4);
    assert_eq!(fleet.owners(), [Some(1)], "a moment is no reason");
    fleet.rest(3);
    assert_eq!(fleet.owners(), [Some(2)]);
    fleet.members[1].poor = true;
    fleet.rest(60);
    assert_eq!((fleet.owners(), fleet.changes), (vec![Some(2)], 2), "all are as badly off");
}

#[test]
fn one_whose_claim_is_gone_has_no_duty_from_the_next_look_on() {
    let mut fleet = Fleet::new(1);
    fleet.join(1);
    fleet.rest(2);
    let term = fleet.parts[0].1.term(0);
    assert!(term.is_some());
    fleet.claims[0] = Some(Claim { owner: 9, term: 99 });
    fleet.look(0);
    assert_eq!(fleet.parts[0].1.term(0), None);
    // What was read late does not bring it back.
    fleet.claims[0] = None;
    fleet.look(0);
    assert_eq!(fleet.parts[0].1.term(0), None);
}

proptest! {
    /// Whatever order looks, steps and losses come in, at most one steward that is a member holds a duty, and it is the one
    /// that the store names, under the store's term.
    #[test]
    fn there_are_never_two(events in prop::collection::vec((0..5usize, 0..4usize), 1..200)) {
        let mut fleet = Fleet::new(2);
        (1..5).for_each(|life| fleet.join(life));
        let mut next = 10;
        for (what, at) in events {
            fleet.now += 1_500;
            let life = fleet.parts[at].0;
            match what {
                0 => fleet.look(at),
                1 => fleet.begin(at),
                2 => fleet.carry_out(at),
                3 if fleet.there(life) => {
                    // Gone and back as another life.
                    fleet.drop_member(life);
                    fleet.members.push(Member { life: next, leaving: false, poor: false });
                    fleet.parts[at] = (next, Duties::new(next, 2, fleet.now), None);
                    next += 1;
                }
                _ => {
                    let leaving = fleet.members.iter_mut().find(|member| member.life == life);
                    leaving.into_iter().for_each(|member| member.leaving = !member.leaving);
                }
            }
            for duty in 0..2 {
                let holders = fleet.parts.iter().filter(|(life, ..)| fleet.there(*life));
                let holders: Vec<_> = holders.filter_map(|(life, part, _)| Some((*life, part.term(duty)?))).collect();
                // One that has not looked since may think itself owner; only the store's owner has the store's term.
                let named = fleet.claims[duty];
                let right = holders.iter().filter(|(life, term)| named == Some(Claim { owner: *life, term: *term }));
                prop_assert!(right.count() <= 1);
                for (_, term) in &holders {
                    prop_assert!(named.is_none_or(|claim| *term <= claim.term));
                }
            }
        }
    }
}

//! Several stewards claim and hand over duties at a model of the store.

use proptest::prelude::*;
use ravenspar_duty::{Claim, Duties, Incarnation, Member, Step, Time};

/// A model of the store, with members and the claims bound to them. The revision grows with each claim.
struct Fleet {
    now: Time,
    revision: u64,
    members: Vec<Member>,
    claims: Vec<Option<Claim>>,
    stewards: Vec<(Incarnation, Duties, Option<Step>)>,
    changes: usize,
}

impl Fleet {
    fn new(duties: usize) -> Fleet {
        Fleet {
            now: 0,
            revision: 1,
            members: Vec::new(),
            claims: vec![None; duties],
            stewards: Vec::new(),
            changes: 0,
        }
    }

    fn join(&mut self, incarnation: Incarnation) {
        self.members.push(Member { incarnation, leaving: false, poor: false });
        self.stewards.push((
            incarnation,
            Duties::new(incarnation, self.claims.len(), self.now + 5_000),
            None,
        ));
    }

    fn drop_member(&mut self, incarnation: Incarnation) {
        self.members.retain(|member| member.incarnation != incarnation);
        self.claims.iter_mut().for_each(|claim| *claim = claim.filter(|claim| claim.leader != incarnation));
    }

    fn is_member(&self, incarnation: Incarnation) -> bool {
        self.members.iter().any(|member| member.incarnation == incarnation)
    }

    /// One steward reads the store.
    fn read_store(&mut self, index: usize) {
        let (members, claims) = (self.members.clone(), self.claims.clone());
        self.stewards[index].1.update_snapshot(members, &claims);
    }

    fn start_step(&mut self, index: usize) {
        if self.stewards[index].2.is_none() {
            self.stewards[index].2 = self.stewards[index].1.next(self.now, false);
        }
    }

    /// The store carries out a steward's pending step if its comparisons hold.
    fn carry_out(&mut self, index: usize) {
        let (incarnation, Some(step)) = (self.stewards[index].0, self.stewards[index].2.take()) else {
            return;
        };
        let (duty, leader, applies) = match step {
            Step::Claim { duty } => {
                (duty, incarnation, self.claims[duty].is_none() && self.is_member(incarnation))
            }
            Step::HandOver { duty, term, to } => {
                let same = self.claims[duty].is_some_and(|claim| claim.term == term);
                (duty, to, same && self.is_member(to) && self.is_member(incarnation))
            }
        };
        let term = applies.then(|| {
            self.revision += 1;
            self.changes += 1;
            self.claims[duty] = Some(Claim { leader, term: self.revision });
            self.revision
        });
        self.stewards[index].1.complete(step, term);
    }

    fn run_for(&mut self, seconds: usize) {
        for _ in 0..seconds * 4 {
            self.now += 2_500;
            for index in 0..self.stewards.len() {
                if self.is_member(self.stewards[index].0) {
                    self.read_store(index);
                    self.start_step(index);
                    self.carry_out(index);
                }
            }
        }
    }

    fn leaders(&self) -> Vec<Option<Incarnation>> {
        self.claims.iter().map(|claim| claim.map(|claim| claim.leader)).collect()
    }
}

#[test]
fn duties_are_assigned_evenly_and_stay_with_their_leaders() {
    let mut fleet = Fleet::new(3);
    [30, 10, 20].into_iter().for_each(|incarnation| fleet.join(incarnation));
    fleet.run_for(2);
    let mut leaders = fleet.leaders();
    leaders.sort();
    assert_eq!(leaders, [Some(10), Some(20), Some(30)]);
    let before = fleet.leaders();
    fleet.run_for(30);
    assert_eq!((fleet.leaders(), fleet.changes), (before, 3), "nothing moves without a reason");
    // A fourth member joins an even assignment: nothing moves.
    fleet.join(5);
    fleet.run_for(30);
    assert_eq!(fleet.changes, 3);
}

#[test]
fn duties_of_a_lost_member_are_claimed_and_a_leaving_member_hands_over() {
    let mut fleet = Fleet::new(2);
    [1, 2, 3].into_iter().for_each(|incarnation| fleet.join(incarnation));
    fleet.run_for(2);
    assert_eq!(fleet.leaders(), [Some(1), Some(2)]);
    fleet.drop_member(1);
    fleet.run_for(1);
    assert_eq!(fleet.leaders(), [Some(3), Some(2)]);
    fleet
        .members
        .iter_mut()
        .filter(|member| member.incarnation == 2)
        .for_each(|member| member.leaving = true);
    fleet.run_for(1);
    assert_eq!(fleet.leaders(), [Some(3), Some(3)]);
    assert_eq!(fleet.changes, 4);
}

#[test]
fn an_unfit_leader_hands_over_after_a_delay_unless_all_members_are_unfit() {
    let mut fleet = Fleet::new(1);
    [1, 2].into_iter().for_each(|incarnation| fleet.join(incarnation));
    fleet.run_for(2);
    fleet.members[0].poor = true;
    fleet.run_for(4);
    assert_eq!(fleet.leaders(), [Some(1)], "a short spell of unfitness moves nothing");
    fleet.run_for(3);
    assert_eq!(fleet.leaders(), [Some(2)]);
    fleet.members[1].poor = true;
    fleet.run_for(60);
    assert_eq!((fleet.leaders(), fleet.changes), (vec![Some(2)], 2), "all members are unfit");
}

#[test]
fn a_leader_whose_claim_is_gone_loses_the_duty_with_the_next_snapshot() {
    let mut fleet = Fleet::new(1);
    fleet.join(1);
    fleet.run_for(2);
    let term = fleet.stewards[0].1.term(0);
    assert!(term.is_some());
    fleet.claims[0] = Some(Claim { leader: 9, term: 99 });
    fleet.read_store(0);
    assert_eq!(fleet.stewards[0].1.term(0), None);
    // An empty snapshot doesn't bring the term back.
    fleet.claims[0] = None;
    fleet.read_store(0);
    assert_eq!(fleet.stewards[0].1.term(0), None);
}

proptest! {
    /// In any order of reads, steps and losses, at most one member leads a duty: the one that the store names, under
    /// the store's term.
    #[test]
    fn a_duty_never_has_two_leaders(events in prop::collection::vec((0..5usize, 0..4usize), 1..200)) {
        let mut fleet = Fleet::new(2);
        (1..5).for_each(|incarnation| fleet.join(incarnation));
        let mut next = 10;
        for (what, index) in events {
            fleet.now += 1_500;
            let incarnation = fleet.stewards[index].0;
            match what {
                0 => fleet.read_store(index),
                1 => fleet.start_step(index),
                2 => fleet.carry_out(index),
                3 if fleet.is_member(incarnation) => {
                    // Lost, and back as another incarnation.
                    fleet.drop_member(incarnation);
                    fleet.members.push(Member { incarnation: next, leaving: false, poor: false });
                    fleet.stewards[index] = (next, Duties::new(next, 2, fleet.now), None);
                    next += 1;
                }
                _ => {
                    let leaving = fleet.members.iter_mut().find(|member| member.incarnation == incarnation);
                    leaving.into_iter().for_each(|member| member.leaving = !member.leaving);
                }
            }
            for duty in 0..2 {
                let claimants = fleet.stewards.iter().filter(|(incarnation, ..)| fleet.is_member(*incarnation));
                let claimants: Vec<_> =
                    claimants.filter_map(|(incarnation, duties, _)| Some((*incarnation, duties.term(duty)?))).collect();
                // A member that has not read the store since may think that it still leads; only the actual leader
                // has the store's term.
                let store_claim = fleet.claims[duty];
                let confirmed = claimants
                    .iter()
                    .filter(|(incarnation, term)| store_claim == Some(Claim { leader: *incarnation, term: *term }));
                prop_assert!(confirmed.count() <= 1);
                for (_, term) in &claimants {
                    prop_assert!(store_claim.is_none_or(|claim| *term <= claim.term));
                }
            }
        }
    }
}

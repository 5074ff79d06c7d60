//! Shares become even with the fewest moves; a membership expires at the steward before it expires at the store.

use proptest::prelude::*;
use ravenspar_sharing::membership::Membership;
use ravenspar_sharing::shares::{moves, Move};
use ravenspar_sharing::{Fleet, Incarnation, Step};

fn after(assignments: &[Option<Incarnation>], moves: &[Move]) -> Vec<Option<Incarnation>> {
    let mut assignments = assignments.to_vec();
    for step in moves {
        assert_eq!(assignments[step.slice].filter(|_| step.from.is_some()), step.from);
        assignments[step.slice] = Some(step.to);
    }
    assignments
}

fn share_sizes(assignments: &[Option<Incarnation>], members: &[Incarnation]) -> Vec<usize> {
    members
        .iter()
        .map(|member| assignments.iter().filter(|steward| **steward == Some(*member)).count())
        .collect()
}

fn is_even(assignments: &[Option<Incarnation>], members: &[Incarnation]) -> bool {
    let share_sizes = share_sizes(assignments, members);
    share_sizes.iter().sum::<usize>() == assignments.len()
        && share_sizes.iter().max().unwrap_or(&0) - share_sizes.iter().min().unwrap_or(&0) <= 1
}

/// Returns the fewest changes that lead to any even assignment, by trying all of them.
fn fewest_changes(assignments: &[Option<Incarnation>], members: &[Incarnation]) -> usize {
    let mut best = usize::MAX;
    for number in 0..members.len().pow(assignments.len() as u32) {
        let mut left = number;
        let tried: Vec<Option<Incarnation>> = assignments
            .iter()
            .map(|_| {
                let member = members[left % members.len()];
                left /= members.len();
                Some(member)
            })
            .collect();
        if is_even(&tried, members) {
            best = best.min(tried.iter().zip(assignments).filter(|(a, b)| a != b).count());
        }
    }
    best
}

proptest! {
    #[test]
    fn shares_are_even_by_the_fewest_moves(
        assignments in prop::collection::vec(prop::option::of(0u64..4), 0..6),
        members in prop::sample::subsequence(vec![0u64, 1, 2, 3, 9], 1..4),
    ) {
        let moves = moves(&assignments, &members);
        prop_assert!(is_even(&after(&assignments, &moves), &members));
        prop_assert_eq!(moves.len(), fewest_changes(&assignments, &members));
    }

    #[test]
    fn large_shares_become_even_and_stay_so(
        assignments in prop::collection::vec(prop::option::of(0u64..9), 0..2_000),
        members in prop::sample::subsequence((0u64..12).collect::<Vec<_>>(), 1..10),
    ) {
        let assignments = after(&assignments, &moves(&assignments, &members));
        prop_assert!(is_even(&assignments, &members));
        prop_assert!(moves(&assignments, &members).is_empty(), "nothing moves once shares are even");
    }

    /// Whatever the delays and pauses: as long as the steward relies on its lease, the store has it too.
    #[test]
    fn a_membership_expires_at_the_steward_before_the_store(steps in prop::collection::vec((0i64..4_000, 0i64..4_000, any::<bool>()), 1..40)) {
        const LEASE: i64 = 10_000;
        let mut membership = Membership::new(LEASE, 100);
        let (mut now, mut until_at_store) = (0, i64::MIN);
        for (delay_to_store, delay_back, answered) in steps {
            membership.renewing(now);
            let sent = now;
            let received_at = now + delay_to_store;
            if received_at < until_at_store || until_at_store == i64::MIN {
                until_at_store = received_at + LEASE;
            } else {
                membership.lost();
                prop_assert!(!membership.holds(now));
                break;
            }
            now = received_at + delay_back;
            if answered {
                membership.renewed(sent);
            }
            for later in (now..now + 2 * LEASE).step_by(97) {
                prop_assert!(!membership.holds(later) || later < until_at_store, "held at {} by the steward, until {} at the store", later, until_at_store);
            }
        }
    }
}

#[test]
fn only_the_slices_of_a_leaving_steward_move() {
    let assignments: Vec<Option<Incarnation>> = (0..9).map(|slice| Some(slice % 3)).collect();
    let moves = moves(&assignments, &[0, 2]);
    assert!(moves.iter().all(|step| assignments[step.slice] == Some(1)), "{moves:?}");
    assert_eq!(moves.len(), 3);
}

/// A leaving steward waits for slices in the middle of a move, then hands them over as they are, and has left after a
/// timeout even if the outcome of its step never arrives.
#[test]
fn a_leaving_steward_waits_for_moving_slices_for_a_limited_time() {
    let mut fleet = Fleet::new(0, 1, 2, 0, 0);
    (0..2).for_each(|slice| fleet.set_assignment(slice, 1, 5));
    fleet.members(&[(1, false), (2, false)]);
    fleet.served(&[(0, 5), (1, 5)]);
    fleet.leave(0);
    let moving = |slice: usize| slice == 0;
    assert_eq!(fleet.next(0, moving), Some(Step::HandOver { slices: vec![(0, 5)], to: 2 }));
    fleet.handed_over(&[(0, 5)], 2, 6);
    fleet.done();
    assert_eq!(fleet.next(10_000, |_| false), None);
    assert_eq!(fleet.next(20_000, |_| false), Some(Step::HandOver { slices: vec![(1, 5)], to: 2 }));
    // The outcome of the step never arrives.
    assert_eq!(fleet.next(99_999, |_| false), None);
    assert_eq!(fleet.next_at(), 100_000);
    assert_eq!(fleet.next(100_000, |_| false), Some(Step::Left));
}

/// A quarter of the messages is for handing over: with 20 messages in a window of 10 s, a round every 2 s.
#[test]
fn rounds_leave_messages_for_drains() {
    assert_eq!(Fleet::pace(100_000, 20), 20_000);
    assert_eq!(Fleet::pace(100_000, 0), 2_500);
}

/// The member's key was missing in what was read from the store. The take-over is conditional on the key still being
/// missing and on the known terms.
#[test]
fn slices_of_a_gone_steward_are_taken_over_on_condition_that_it_is_gone() {
    let mut fleet = Fleet::new(0, 1, 4, 0, 0);
    [(0, 1), (1, 2), (2, 3), (3, 2)]
        .into_iter()
        .for_each(|(slice, incarnation)| fleet.set_assignment(slice, incarnation, 5));
    fleet.served(&[(0, 5)]);
    fleet.members(&[(1, false), (2, false), (3, false)]);
    assert!(!matches!(fleet.next(0, |_| true), Some(Step::TakeOver { .. })), "all members are present");
    fleet.done();
    fleet.members(&[(1, false), (3, false)]);
    let Some(Step::TakeOver { slices, gone }) = fleet.next(0, |_| true) else {
        panic!("no slice is taken over")
    };
    assert_eq!(gone, [2]);
    assert!(!slices.is_empty() && slices.iter().all(|taken| [(1, 5), (3, 5)].contains(taken)), "{slices:?}");
}

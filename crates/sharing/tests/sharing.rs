//! Shares are even with the fewest moves; a membership is over here before it is over at the store.

use proptest::prelude::*;
use ravenspar_sharing::membership::Membership;
use ravenspar_sharing::shares::{moves, Move};
use ravenspar_sharing::Life;

fn after(charge: &[Option<Life>], moves: &[Move]) -> Vec<Option<Life>> {
    let mut charge = charge.to_vec();
    for step in moves {
        assert_eq!(charge[step.slice].filter(|_| step.from.is_some()), step.from);
        charge[step.slice] = Some(step.to);
    }
    charge
}

fn held(charge: &[Option<Life>], members: &[Life]) -> Vec<usize> {
    members.iter().map(|member| charge.iter().filter(|steward| **steward == Some(*member)).count()).collect()
}

fn even(charge: &[Option<Life>], members: &[Life]) -> bool {
    let held = held(charge, members);
    held.iter().sum::<usize>() == charge.len()
        && held.iter().max().unwrap_or(&0) - held.iter().min().unwrap_or(&0) <= 1
}

/// The fewest changes to any even charge, by trying all of them.
fn fewest(charge: &[Option<Life>], members: &[Life]) -> usize {
    let mut best = usize::MAX;
    for number in 0..members.len().pow(charge.len() as u32) {
        let mut left = number;
        let tried: Vec<Option<Life>> = charge
            .iter()
            .map(|_| {
                let member = members[left % members.len()];
                left /= members.len();
                Some(member)
            })
            .collect();
        if even(&tried, members) {
            best = best.min(tried.iter().zip(charge).filter(|(a, b)| a != b).count());
        }
    }
    best
}

proptest! {
    #[test]
    fn shares_are_even_by_the_fewest_moves(
        charge in prop::collection::vec(prop::option::of(0u64..4), 0..6),
        members in prop::sample::subsequence(vec![0u64, 1, 2, 3, 9], 1..4),
    ) {
        let moves = moves(&charge, &members);
        prop_assert!(even(&after(&charge, &moves), &members));
        prop_assert_eq!(moves.len(), fewest(&charge, &members));
    }

    #[test]
    fn large_shares_are_even_and_stay(
        charge in prop::collection::vec(prop::option::of(0u64..9), 0..2_000),
        members in prop::sample::subsequence((0u64..12).collect::<Vec<_>>(), 1..10),
    ) {
        let charge = after(&charge, &moves(&charge, &members));
        prop_assert!(even(&charge, &members));
        prop_assert!(moves(&charge, &members).is_empty(), "nothing moves once it is even");
    }

    /// Whatever the delays and stops: while the steward goes by its lease, the store has it too.
    #[test]
    fn a_membership_ends_here_first(steps in prop::collection::vec((0i64..4_000, 0i64..4_000, any::<bool>()), 1..40)) {
        const LEASE: i64 = 10_000;
        let mut membership = Membership::new(LEASE, 100);
        let (mut now, mut at_store) = (0, i64::MIN);
        for (there, back, answered) in steps {
            membership.renewing(now);
            let sent = now;
            let took = now + there;
            if took < at_store || at_store == i64::MIN {
                at_store = took + LEASE;
            } else {
                membership.lost();
                prop_assert!(!membership.holds(now));
                break;
            }
            now = took + back;
            if answered {
                membership.renewed(sent);
            }
            for later in (now..now + 2 * LEASE).step_by(97) {
                prop_assert!(!membership.holds(later) || later < at_store, "at {} here, {} there", later, at_store);
            }
        }
    }
}

#[test]
fn a_leaver_s_slices_go_to_the_others_and_no_other_moves() {
    let charge: Vec<Option<Life>> = (0..9).map(|slice| Some(slice % 3)).collect();
    let moves = moves(&charge, &[0, 2]);
    assert!(moves.iter().all(|step| charge[step.slice] == Some(1)), "{moves:?}");
    assert_eq!(moves.len(), 3);
}

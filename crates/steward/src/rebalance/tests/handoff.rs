//! Hand-overs: which proxies are waited for, and for how long.

use super::*;

#[test]
fn a_hand_over_waits_for_every_answer() {
    let mut steward = steward(1, 2, 2);
    hand_off(&mut steward, &[0, 1]);
    steward.mark_answered(SECOND, 0, 1);
    steward.settle_handoffs(SECOND);
    assert!(handing_off(&steward.slices[0]));
    steward.mark_answered(SECOND, 1, 1);
    steward.settle_handoffs(SECOND);
    assert_eq!(steward.slices[0].state, State::Settling { until: SECOND + SETTLE });
}

#[test]
fn a_joined_proxy_that_does_not_answer_delays_a_hand_over_beyond_any_lease() {
    let mut steward = steward(1, 2, 1);
    hand_off(&mut steward, &[0]);
    steward.settle_handoffs(100 * LEASE);
    assert!(handing_off(&steward.slices[0]));
}

#[test]
fn the_lease_of_a_disconnected_proxy_runs_from_the_disconnect() {
    let mut steward = steward(1, 2, 2);
    hand_off(&mut steward, &[0, 1]);
    steward.mark_answered(1, 1, 1);
    steward.proxy_disconnected(SECOND, 0);
    steward.settle_handoffs(SECOND + LEASE - 1);
    assert!(handing_off(&steward.slices[0]));
    steward.settle_handoffs(SECOND + LEASE);
    assert!(settling(&steward.slices[0]));
}

#[test]
fn a_hand_over_without_any_answer_waits_although_no_proxy_is_joined() {
    let mut steward = steward(1, 2, 2);
    hand_off(&mut steward, &[0, 1]);
    (0..2).for_each(|proxy| steward.proxy_disconnected(1, proxy));
    steward.settle_handoffs(100 * LEASE);
    assert!(
        handing_off(&steward.slices[0]),
        "one may have rejoined unnoticed before the revoke was carried out"
    );
    // A proxy that joins gets a new mark, and its answer shows which proxies were there.
    steward.proxy_joined(0, 0.0);
    assert_eq!(orders(&mut steward, 100 * LEASE), [Order::Mark { number: 2 }]);
    steward.settle_handoffs(101 * LEASE);
    assert!(handing_off(&steward.slices[0]));
    steward.mark_answered(102 * LEASE, 0, 2);
    steward.settle_handoffs(102 * LEASE);
    assert!(settling(&steward.slices[0]));
}

#[test]
fn the_lease_of_a_proxy_never_seen_runs_from_the_assignment() {
    let mut steward = steward(1, 2, 1);
    steward.proxy(1);
    hand_off(&mut steward, &[0, 1]);
    steward.mark_answered(1, 0, 1);
    steward.slices[0].assigned_at = SECOND;
    steward.settle_handoffs(SECOND + LEASE - 1);
    assert!(handing_off(&steward.slices[0]));
    steward.settle_handoffs(SECOND + LEASE);
    assert!(!handing_off(&steward.slices[0]));
}

#[test]
fn a_proxy_that_rejoins_gets_a_new_mark() {
    let mut steward = steward(1, 2, 1);
    hand_off(&mut steward, &[0]);
    steward.proxies[0].asked_mark = 1;
    assert_eq!(orders(&mut steward, 1), []);
    steward.proxy_disconnected(2, 0);
    steward.proxy_joined(0, 0.0);
    assert_eq!(orders(&mut steward, 3 * SECOND), [Order::Mark { number: 2 }]);
}

#[test]
fn a_slice_that_is_being_handed_over_is_not_moved_again() {
    let mut steward = steward(1, 3, 1);
    hand_off(&mut steward, &[0]);
    list(&mut steward, 0, Health::Gone, 0);
    assert_eq!(steward.slices_to_move(1), (vec![], 0));
}

/// A host that writes a reply in parts receives answers to the first part while the others wait.
#[test]
fn no_answer_counts_for_a_revoke_that_is_not_written_yet() {
    let mut steward = steward(1, 2, 1);
    list(&mut steward, 0, Health::Draining, 0);
    assert_eq!(orders(&mut steward, SECOND), [Order::DropLines { slice: 0 }, Order::Mark { number: 1 }]);
    steward.revoke_deferred(0);
    steward.mark_answered(2 * SECOND, 0, 1);
    steward.settle_handoffs(2 * SECOND);
    assert!(handing_off(&steward.slices[0]), "the mark of another part was answered");
    steward.revoke_written(0);
    steward.settle_handoffs(2 * SECOND);
    assert!(settling(&steward.slices[0]));
}

#[test]
fn a_slice_unassigned_during_a_hand_over_gets_no_orders() {
    let mut steward = steward(1, 2, 1);
    hand_off(&mut steward, &[0]);
    steward.slice_unassigned(0);
    steward.mark_answered(SECOND, 0, 1);
    assert_eq!(orders(&mut steward, 9 * LEASE), []);
}

//! Grants: when a slice gets a server, and which one.

use super::*;

#[test]
fn a_settling_slice_is_not_granted_while_writes_may_be_in_flight() {
    let mut steward = steward(1, 2, 1);
    settle(&mut steward, 19 * SECOND);
    for now in [15 * SECOND, 18 * SECOND, 19 * SECOND - 1] {
        assert_eq!(orders(&mut steward, now), []);
    }
    let grant = [Order::SetLine { slice: 0, server: 0 }, Order::Mark { number: 1 }];
    assert_eq!(orders(&mut steward, 19 * SECOND), grant);
    assert_eq!(steward.slices[0].state, owned(0));
}

/// A slice that another steward revoked settles within one lease and one settling time of this steward.
#[test]
fn a_slice_just_taken_over_is_not_granted_within_a_lease_and_a_settling_time() {
    let mut steward = steward(1, 2, 1);
    steward.slice_assigned(SECOND, 0);
    assert_eq!(orders(&mut steward, SECOND + LEASE + SETTLE - 1), []);
    let grant = Order::SetLine { slice: 0, server: 0 };
    assert_eq!(orders(&mut steward, SECOND + LEASE + SETTLE)[0], grant);
}

/// Such a line was granted while the slice settled: writes of two servers may be in flight.
#[test]
fn a_line_below_full_weight_is_revoked_and_settles_in_full() {
    let mut steward = steward(1, 3, 1);
    steward.slice_assigned(SECOND, 0);
    steward.line_recorded(SECOND, 0, 1, 0.5);
    steward.updates = (1..=8).map(|mark| Update { at: SECOND, lines: 0.0, mark }).collect();
    steward.mark = 8;
    assert!(steward.is_restriction_due(), "the revoke needs no certainty about the state");
    let revoke = [Order::DropLines { slice: 0 }, Order::Mark { number: 9 }];
    assert_eq!(orders(&mut steward, 2 * SECOND), revoke);
    assert_eq!(orders(&mut steward, 3 * SECOND + LEASE + SETTLE), [], "not before the answer");
    let answered_at = 4 * SECOND + LEASE + SETTLE;
    steward.mark_answered(answered_at, 0, 9);
    assert_eq!(orders(&mut steward, answered_at), []);
    assert_eq!(steward.slices[0].state, State::Settling { until: answered_at + SETTLE });
    assert_eq!(orders(&mut steward, answered_at + SETTLE - 1), []);
    assert_eq!(orders(&mut steward, answered_at + SETTLE)[0], Order::SetLine { slice: 0, server: 0 });
}

#[test]
fn a_slice_whose_line_may_still_arrive_is_not_granted() {
    let mut steward = steward(1, 2, 1);
    steward.slice_assigned(SECOND, 0);
    steward.set_line_pending(0, true);
    assert_eq!(orders(&mut steward, 2 * SECOND + LEASE + SETTLE), []);
    steward.set_line_pending(0, false);
    let grant = Order::SetLine { slice: 0, server: 0 };
    assert_eq!(orders(&mut steward, 2 * SECOND + LEASE + SETTLE)[0], grant);
}

#[test]
fn a_slice_whose_server_is_lost_after_the_grant_settles_in_full_again() {
    let mut steward = steward(1, 3, 1);
    settle(&mut steward, SECOND);
    assert_eq!(orders(&mut steward, SECOND)[0], Order::SetLine { slice: 0, server: 0 });
    list(&mut steward, 0, Health::Draining, 0);
    assert_eq!(orders(&mut steward, 3 * SECOND)[0], Order::DropLines { slice: 0 });
    steward.mark_answered(4 * SECOND, 0, 2);
    steward.settle_handoffs(4 * SECOND);
    assert_eq!(steward.slices[0].state, State::Settling { until: 4 * SECOND + SETTLE });
}

#[test]
fn a_slice_without_a_line_waits_one_lease_and_settles_before_its_grant() {
    let mut steward = steward(1, 2, 1);
    steward.slice_assigned(SECOND, 0);
    for now in [SECOND + LEASE, 2 * SECOND + LEASE, SECOND + LEASE + SETTLE - 1] {
        assert_eq!(orders(&mut steward, now), []);
    }
    let grant = Order::SetLine { slice: 0, server: 0 };
    assert_eq!(orders(&mut steward, SECOND + LEASE + SETTLE)[0], grant);
}

#[test]
fn a_slice_has_no_owner_until_a_server_is_ready() {
    let mut steward = steward(1, 1, 1);
    settle(&mut steward, 0);
    list(&mut steward, 0, Health::Gone, 0);
    assert_eq!(orders(&mut steward, SECOND), []);
    list(&mut steward, 0, Health::Ready, SECOND);
    assert_eq!(orders(&mut steward, SECOND)[0], Order::SetLine { slice: 0, server: 0 });
}

#[test]
fn a_grant_goes_to_the_server_with_the_fewest_slices_that_is_not_suspected() {
    let mut steward = steward(3, 3, 1);
    steward.slices[1].state = owned(1);
    settle(&mut steward, 0);
    assert_eq!(choose_server(&mut steward, SECOND, 0), Some(2));
    steward.servers[2].suspect_until = 2 * SECOND;
    assert_eq!(choose_server(&mut steward, SECOND, 0), Some(0));
    steward.servers.iter_mut().for_each(|server| server.suspect_until = 2 * SECOND);
    assert_eq!(choose_server(&mut steward, SECOND, 0), Some(2), "a suspected server is better than none");
}

#[test]
fn a_server_without_reports_has_limited_capacity() {
    let mut steward = steward(4, 2, 1);
    (0..4).for_each(|s| steward.demand_reported(SECOND, s, 0, 9.0, SECOND));
    (steward.rates_outdated, steward.peak_completed_rate) = (true, 10.0);
    steward.slices[1].state = owned(1);
    steward.update_totals(SECOND);
    assert!(steward.admissible_share(1, 0) < 1.0, "nine and thirteen are more than two average tens");
}

#[test]
fn a_cold_server_gets_one_slice_per_tick_beyond_its_budget() {
    let mut steward = steward(4, 2, 1);
    (steward.servers[0].capacity, steward.servers[1].boot, steward.peak_completed_rate) = (0.0, 1, 10.0);
    steward.servers[1].last_grant_at = SECOND;
    assert_eq!(choose_server(&mut steward, 2 * SECOND, 0), Some(1), "it has capacity");
    steward.demand_reported(SECOND, 0, 0, 10.0, SECOND);
    assert_eq!(choose_server(&mut steward, 2 * SECOND, 0), Some(0));
    assert_eq!(choose_server(&mut steward, 3 * SECOND, 0), Some(1));
}

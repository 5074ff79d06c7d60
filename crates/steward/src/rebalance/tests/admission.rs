//! Admission: levels protect cold and degraded servers from overload.

use super::*;

/// The store resets the levels of a slice when it assigns it: the level that protects a cold server is urgent.
#[test]
fn a_cold_server_of_a_newly_assigned_slice_is_protected_at_once_after_any_number_of_updates() {
    for written in [0, 1, 9] {
        let mut steward = steward(1, 2, 1);
        (steward.servers[0].boot, steward.peak_completed_rate, steward.last_tick_at) =
            (SECOND, 10.0, 2 * SECOND);
        steward.updates = (1..=written).map(|mark| Update { at: 2 * SECOND, lines: 0.0, mark }).collect();
        steward.mark = written;
        steward.slice_assigned(2 * SECOND, 0);
        steward.line_recorded(2 * SECOND, 0, 0, 1.0);
        steward.demand_reported(2 * SECOND, 0, 0, 40.0, SECOND);
        let is_level = |order: &Order| matches!(order, Order::SetLevel { .. });
        let mut times = (0..200).map(|tenth| 2 * SECOND + tenth * SECOND / 10);
        let written_at = times.find(|&at| orders(&mut steward, at).iter().any(is_level));
        let after = written_at.expect("a level while it is cold") - 2 * SECOND;
        assert!(after <= SECOND / 10, "{written} messages: after {} ms", after * 1000 / SECOND);
    }
}

/// During a gap in the notifications the store may have unassigned and reassigned a slice, which resets its levels. Only those
/// that keep requests out are ordered again, as each costs a line at every proxy.
#[test]
fn levels_below_one_are_ordered_again_if_the_store_may_have_reset_them() {
    let mut steward = steward(2, 2, 1);
    (0..2).for_each(|slice| steward.demand_reported(3 * SECOND, slice, 0, 10.0, SECOND));
    (steward.servers[0].level, steward.last_tick_at) = (0.5, 3 * SECOND);
    let level = |slice: usize| Order::SetLevel { slice: Some(slice), kinds: 1, share: 0.5 };
    assert_eq!(orders(&mut steward, 3 * SECOND), [level(0), level(1), Order::Mark { number: 1 }]);
    steward.may_be_reassigned(4 * SECOND, 1);
    assert_eq!(orders(&mut steward, 4 * SECOND), [level(1), Order::Mark { number: 2 }]);
}

#[test]
fn a_cold_server_holds_no_more_idle_slices_than_its_warm_share() {
    let mut steward = steward(20, 2, 1);
    (steward.servers[1].boot, steward.servers[1].last_grant_at, steward.peak_completed_rate) =
        (1, SECOND, 10.0);
    (0..2).for_each(|s| steward.slices[s].state = owned(1));
    // Two of ten, at a fifth of its capacity.
    assert_eq!(choose_server(&mut steward, 1 + SECOND / 10, 9), Some(1));
    steward.slices[2].state = owned(1);
    assert_eq!(choose_server(&mut steward, 1 + SECOND / 10, 9), Some(0));
}

#[test]
fn a_cold_server_gets_requests_within_its_budget() {
    let mut steward = steward(1, 1, 1);
    (steward.servers[0].boot, steward.peak_completed_rate) = (1, 10.0);
    steward.demand_reported(0, 0, 0, 40.0, SECOND);
    // 0.25 x 2.5 x 0.2 x 10 per second of the 40 that arrive.
    assert!((budget_level(&mut steward, 1) - 0.03125).abs() < 1e-6);
    assert_eq!(budget_level(&mut steward, 11 * SECOND), 1.0);
}

#[test]
fn requests_held_by_proxies_are_denied_at_a_grant_to_a_cold_server_over_its_budget() {
    let mut steward = steward(1, 1, 1);
    (steward.servers[0].boot, steward.peak_completed_rate) = (1, 10.0);
    steward.demand_reported(0, 0, 0, 2.0, SECOND);
    settle(&mut steward, 0);
    assert_eq!(orders(&mut steward, 1)[1], Order::SetLevel { slice: Some(0), kinds: 3, share: 0.0 });
    assert_eq!(orders(&mut steward, SECOND)[0], Order::SetLevel { slice: Some(0), kinds: 1, share: 0.6 });
}

#[test]
fn the_level_of_an_overloaded_cold_server_falls_between_ticks() {
    let mut steward = steward(1, 1, 1);
    (steward.servers[0].boot, steward.peak_completed_rate, steward.last_tick_at) = (1, 1000.0, SECOND);
    steward.demand_reported(SECOND, 0, 0, 10.0, SECOND);
    steward.servers[0].try_reports = try_reports(SECOND, 10.0, 9.0, 3 * SECOND, Some(1.0));
    steward.rates_outdated = true;
    steward.update_totals(SECOND);
    steward.update_levels(SECOND, false);
    assert!(steward.servers[0].level < 0.5 && steward.urgent_update);
}

#[test]
fn a_steward_without_reports_uses_the_baseline_rate() {
    let mut steward = steward(4, 2, 2);
    (0..2).for_each(|proxy| steward.proxy_joined(proxy, 20.0));
    steward.rates_outdated = true;
    steward.update_totals(0);
    assert_eq!(steward.slice_rate(0), 10.0);
    steward.servers[0].boot = 1;
    // It holds all four slices: 0.25 x 2.5 x 0.2 of the 20 per second that are usual at each of two servers.
    assert!((budget_level(&mut steward, 1) - 0.0625).abs() < 1e-6);
}

#[test]
fn a_steward_that_has_just_started_ignores_low_rates_for_cold_servers() {
    let mut steward = steward(4, 2, 2);
    steward.proxy_joined(0, 20.0);
    steward.demand_reported(0, 0, 0, 1.0, SECOND);
    steward.servers[0].boot = 1;
    steward.rates_outdated = true;
    steward.update_totals(0);
    assert_eq!((steward.rate_at_server(0, 0), steward.rate_at_server(1, 0)), (10.0, 1.0));
    steward.demand_reported(SECOND * 9, 0, 0, 1.0, SECOND);
    steward.rates_outdated = true;
    steward.update_totals(SECOND * 9);
    assert_eq!(steward.rate_at_server(0, 0), 1.0);
    settle(&mut steward, SECOND);
    assert_eq!(steward.rate_once_granted(0, 0), 10.0, "its requests have been refused so far");
}

/// A level that admits nothing also ends the reports of its server: it must rise again soon after the fault is over.
#[test]
fn a_level_that_admits_nothing_recovers_within_four_ticks() {
    let mut steward = steward(1, 1, 1);
    steward.servers[0].level = 0.1;
    let ticks = (1..=10).find(|tick| {
        steward.update_levels(tick * Steward::TICK, true);
        steward.servers[0].level >= 1.0
    });
    assert_eq!(ticks, Some(4));
    // A server with reports that is half busy only gets what it can handle.
    steward.servers[0].level = 0.1;
    steward.servers[0].try_reports = try_reports(SECOND, 10.0, 0.0, SECOND / 10, Some(0.68));
    steward.update_levels(SECOND, true);
    assert!((steward.servers[0].level - 0.125).abs() < 1e-9, "{}", steward.servers[0].level);
}

#[test]
fn a_level_admits_the_highest_credit_first() {
    let mut steward = steward(1, 1, 1);
    steward.demand_reported(0, 0, 0, 10.0, SECOND);
    steward.demand_reported(0, 0, 1, 10.0, SECOND);
    steward.servers[0].level = 0.75;
    steward.rates_outdated = true;
    steward.update_totals(SECOND);
    assert_eq!(steward.wanted_levels(0)[..2], [0.5, 1.0]);
    steward.servers[0].level = 0.25;
    assert_eq!(steward.wanted_levels(0)[..2], [0.0, 0.5]);
}

#[test]
fn levels_alone_wait_for_a_tick_unless_they_open_a_kind_or_protect_a_cold_server() {
    let level = |levels: f64, boot: Time| {
        let mut steward = steward(1, 1, 1);
        steward.demand_reported(SECOND, 0, 0, 10.0, SECOND);
        (steward.servers[0].level, steward.servers[0].boot) = (0.5, boot);
        steward.slices[0].levels[0] = levels;
        (steward.levels_written_at, steward.last_tick_at) = (SECOND, SECOND);
        orders(&mut steward, 2 * SECOND).len()
    };
    assert_eq!(level(1.0, 0), 0);
    assert_eq!(level(0.0, 0), 2, "a closed kind opens at once");
    assert_eq!(level(1.0, 1), 2, "a cold server is protected at once");
    let mut steward = steward(1, 1, 1);
    steward.demand_reported(2 * SECOND, 0, 0, 10.0, SECOND);
    steward.servers[0].level = 0.25;
    steward.levels_written_at = SECOND;
    assert_eq!(orders(&mut steward, 3 * SECOND).len(), 2, "a tick later");
}

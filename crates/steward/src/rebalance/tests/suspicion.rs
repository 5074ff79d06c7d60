//! Suspicion: which servers count as dead, and which as overloaded.

use super::*;

#[test]
fn a_dead_server_is_suspected_and_an_overloaded_one_is_not() {
    let mut steward = steward(1, 8, 1);
    steward.servers[0].try_reports = try_reports(SECOND, 5.0, 5.0, 0, None);
    steward.update_suspicion(SECOND);
    assert!(!steward.is_trusted(0, SECOND));
    steward.servers[1].try_reports = try_reports(SECOND, 5.0, 5.0, 0, None);
    steward.servers[1].last_strained_at = SECOND;
    steward.update_suspicion(SECOND);
    assert!(steward.is_trusted(1, SECOND));
}

#[test]
fn a_server_at_its_connection_limit_is_neither_suspected_nor_degraded() {
    // 400 reqs succeed in 20 s, each from a proxy that keeps its connection for 15 s; then two of 100 tries do.
    let at = |proxies: usize, stewards: &str, accepted: &str, failed: f64| {
        let mut steward = steward(1, 8, proxies);
        steward.cfg.set("balancers", stewards);
        steward.cfg.set("limits.idle_close_s", "15");
        steward.cfg.set("family_info.conns_least", accepted);
        (1..=20).for_each(|second| {
            steward.traffic_reported(second * SECOND, 0, 20.0, 0.0, SECOND / 10, Some(0.2))
        });
        let now = 24 * SECOND;
        (0..4).for_each(|_| steward.traffic_reported(now, 0, 25.0, failed, SECOND / 10, Some(0.2)));
        steward.update_suspicion(now);
        (!steward.is_trusted(0, now), steward.servers[0].degraded)
    };
    assert_eq!(at(2_400, "1", "150", 24.5), (false, false));
    assert_eq!(
        at(2_400, "1", "300", 24.5),
        (false, true),
        "other stewards' slices may fill it: degraded, but not dead"
    );
    assert_eq!(at(2_400, "1", "2400", 24.5), (true, true), "it accepts a connection from every proxy");
    assert_eq!(at(2_400, "5", "300", 24.5), (false, false), "the other stewards' slices bring more");
    assert_eq!(at(140, "1", "150", 24.5), (true, true), "no more proxies than it accepts");
    assert_eq!(at(2_400, "1", "150", 25.0), (true, true), "nothing at all succeeds");
}

#[test]
fn a_server_that_fails_some_reqs_at_once_keeps_its_level_and_loses_slices() {
    let mut steward = steward(3, 2, 1);
    steward.servers[0].try_reports = try_reports(SECOND, 10.0, 4.0, SECOND / 10, None);
    steward.update_suspicion(SECOND);
    assert!(steward.servers[0].degraded && steward.is_trusted(0, SECOND));
    assert!(steward.strain(0, SECOND).is_some_and(|strain| strain < 1.0));
    (0..3).for_each(|s| steward.demand_reported(SECOND, s, 0, 2.0, SECOND));
    (steward.rates_outdated, steward.servers[1].capacity) = (true, 100.0);
    steward.update_totals(SECOND);
    assert_eq!(steward.slices_to_rebalance(SECOND).len(), 1);
    assert_eq!(choose_server(&mut steward, SECOND, 0), Some(1));
    steward.servers[0].last_strained_at = SECOND;
    steward.update_suspicion(SECOND);
    assert!(!steward.servers[0].degraded, "an overloaded server is not degraded");
    assert!(steward.strain(0, SECOND).is_some_and(|strain| strain > 1.0));
}

#[test]
fn many_suspects_at_once_mean_a_faulty_view() {
    let mut steward = steward(2, 8, 1);
    steward.servers[0].suspect_until = 9 * SECOND;
    assert_eq!(steward.slices_to_move(1).0, [0, 1]);
    steward.servers.iter_mut().for_each(|server| server.suspect_until = 9 * SECOND);
    assert_eq!(steward.slices_to_move(1).0, []);
}

#[test]
fn a_strain_above_one_needs_late_answers_and_busy_cores() {
    let mut steward = steward(1, 2, 1);
    steward.servers[0].try_reports = try_reports(SECOND, 10.0, 0.0, SECOND / 10, Some(1.0));
    assert!(steward.strain(0, SECOND).is_some_and(|strain| strain < 0.9), "its level may rise");
    steward.servers[0].try_reports = try_reports(SECOND, 10.0, 0.0, 3 * SECOND, Some(0.5));
    assert!(steward.strain(0, SECOND).is_some_and(|strain| strain < 1.0));
    steward.servers[0].try_reports = try_reports(SECOND, 10.0, 0.0, 3 * SECOND, Some(1.0));
    assert!(steward.strain(0, SECOND).is_some_and(|strain| strain > 2.0));
}

//! Lists of hosts, and when a host counts as cold.

use super::*;

#[test]
fn a_host_that_started_before_the_steward_is_still_cold_to_it() {
    let hosts = [host("A", "leaving", 0), host("B", "active", START - 3 * SECOND)];
    let mut settings = settings(1, 1);
    settings["safety"]["cold_s"] = json!(20.0);
    let mut harness = Harness::with(&settings, &hosts);
    harness.subscribe(&[0], &[Some("A")]);
    harness.advance(5 * SECOND);
    harness.notify("ping", json!({}));
    let revoke = harness.poll().expect("a revoke for the drain");
    harness.answer(2);
    harness.acknowledge(0, mark(&revoke));
    assert_eq!(harness.poll(), None, "the slice settles");
    harness.advance(SETTLE);
    harness.notify("ping", json!({}));
    let grant = harness.poll().expect("a grant");
    let level = json!({"verb": "admit", "cluster": 0, "routes": ["lookup", "write"], "admit": 0.0,
        "policy": 0});
    assert!(grants(&grant) == ["B"] && grant.contains(&level), "cold at first: {grant:?}");
}

/// Returns the changes of a grant to B, which was listed as just started. `offset` is the offset of the list's clock
/// from ours; `later` is the time from the listing to the grant.
fn grant_to_one_just_started(offset: Time, later: Time) -> Vec<Value> {
    let mut settings = settings(1, 1);
    settings["safety"]["cold_s"] = json!(20.0);
    let mut harness = Harness::with(&settings, &[host("A", "active", 0)]);
    harness.subscribe(&[0], &[Some("A")]);
    harness.run(10 * SECOND);
    harness.change_hosts(2, &[host("B", "active", harness.now - SECOND + offset)]);
    harness.run(later);
    harness.change_hosts(3, &[host("A", "leaving", 0)]);
    let revoke = harness.poll().expect("a revoke for the drain");
    harness.answer(2);
    harness.acknowledge(0, mark(&revoke));
    let grant = harness.run_settled();
    assert_eq!(grants(&grant), ["B"]);
    grant
}

#[test]
fn a_server_that_has_just_started_is_cold_for_its_time_despite_clock_offsets() {
    let level =
        json!({"verb": "admit", "cluster": 0, "routes": ["lookup", "write"], "admit": 0.0, "policy": 0});
    for offset in [0, 3_600 * SECOND, -3_600 * SECOND, -30 * SECOND] {
        let grant = grant_to_one_just_started(offset, 0);
        assert!(grant.contains(&level), "cold at first, {offset}: {grant:?}");
        let grant = grant_to_one_just_started(offset, 25 * SECOND);
        assert!(!grant.contains(&level), "warm after its time, {offset}: {grant:?}");
    }
}

#[test]
fn servers_with_a_start_in_the_future_are_cold_for_their_time_only() {
    let hosts = [host("A", "leaving", 0), host("B", "active", START + 3_600 * SECOND)];
    let mut harness = Harness::started(1, 1, &hosts);
    harness.subscribe(&[0], &[Some("A")]);
    harness.advance(12 * SECOND);
    harness.notify("ping", json!({}));
    let revoke = harness.poll().expect("a revoke for the drain");
    harness.answer(2);
    harness.acknowledge(0, mark(&revoke));
    let grant = harness.run_settled();
    assert_eq!(
        (grants(&grant), verbs(&grant)),
        (vec!["B"], vec!["share", "mark"]),
        "warm by now, so without a level"
    );
}

#[test]
fn an_older_or_invalid_list_changes_nothing() {
    let mut harness = Harness::new(1, 1);
    harness.change_hosts(5, &[host("C", "active", 0)]);
    let late = list(4, true, &[]).to_string();
    for body in
        [late.as_str(), "{}", "[", r#"{"generation":7,"reset":false}"#, r#"{"generation":7,"reset":1.5}"#, ""]
    {
        assert!(
            harness.session.handle_list(harness.now, body.as_bytes(), false, harness.now).is_err(),
            "{body}"
        );
    }
    let metrics = harness.session.metrics();
    assert_eq!((metrics.hosts, metrics.list_version), (3, Some(5)));
}

#[test]
fn an_unreadable_entry_affects_only_its_host_and_the_list_is_requested_again() {
    let mut harness = Harness::new(1, 1);
    harness.change_hosts(5, &[host("C", "active", 0)]);
    let hosts = |harness: &Harness| (harness.session.metrics().hosts, harness.session.metrics().list_version);
    // B is kept as known, A is drained by this list, C is gone from it.
    let invalid = list(6, true, &[host("A", "leaving", 0), json!({"instanceId": "B", "lifecycle": "?"})]);
    assert!(harness
        .session
        .handle_list(harness.now, invalid.to_string().as_bytes(), true, harness.now)
        .is_err());
    assert_eq!(hosts(&harness), (2, Some(5)), "the version is unchanged, so the list is requested again");
    let revoke = harness.poll().expect("a revoke for the drain");
    assert_eq!(verbs(&revoke), ["clear", "mark"]);
    harness.answer(2);
    harness.acknowledge(0, mark(&revoke));
    assert_eq!(grants(&harness.run_settled()), ["B"]);
    // An entry without a name may be any host, so none is gone by its absence.
    let unnamed = list(7, true, &[host("B", "active", 0), json!({"lifecycle": "active"})]);
    assert!(harness
        .session
        .handle_list(harness.now, unnamed.to_string().as_bytes(), true, harness.now)
        .is_err());
    assert_eq!(hosts(&harness), (2, Some(5)));
    let valid = list(7, true, &[host("B", "active", 0)]);
    assert_eq!(
        harness.session.handle_list(harness.now, valid.to_string().as_bytes(), true, harness.now),
        Ok(7)
    );
    assert_eq!(hosts(&harness), (1, Some(7)));
    let error = harness.session.handle_list(
        harness.now,
        list(8, false, &[]).to_string().as_bytes(),
        true,
        harness.now,
    );
    assert!(error.is_err(), "changes instead of the whole list");
}

#[test]
fn an_older_list_is_refused_as_a_late_reply_and_accepted_if_it_persists() {
    let mut harness = Harness::new(1, 1);
    harness.change_hosts(50, &[host("C", "active", 0)]);
    let late = list(4, true, &[host("A", "leaving", 0), host("B", "active", 0)]).to_string();
    let changes = list(4, false, &[host("B", "left", 0)]).to_string();
    let mut apply = |span: Time, body: &str, whole: bool| {
        harness.advance(span);
        harness.session.handle_list(harness.now, body.as_bytes(), whole, harness.now)
    };
    assert!(apply(0, &late, true).is_err());
    assert!(apply(5 * SECOND, &late, true).is_err());
    let newer = list(50, true, &[host("A", "active", 0), host("B", "active", 0)]).to_string();
    assert_eq!(apply(SECOND, &newer, true), Ok(50), "the older list was a late reply");
    assert!(apply(0, &late, true).is_err());
    assert!(apply(6 * SECOND, &changes, false).is_err(), "changes can't replace the whole list");
    assert_eq!(apply(0, &late, true), Ok(4), "discovery has restarted its versions");
    harness.notify("ping", json!({}));
    assert_eq!(verbs(&harness.poll().expect("a revoke for the drain")), ["clear", "mark"]);
}

/// A slow answer that was requested before the current list is no sign that discovery has restarted its versions.
#[test]
fn a_list_that_newer_changes_have_overtaken_is_never_accepted() {
    let mut harness = Harness::new(1, 1);
    let requested_at = harness.now;
    harness.advance(SECOND);
    harness.change_hosts(50, &[host("C", "active", 0)]);
    let late = list(49, true, &[host("A", "leaving", 0), host("B", "active", 0)]).to_string();
    for _ in 0..3 {
        harness.advance(7 * SECOND);
        let result = harness.session.handle_list(harness.now, late.as_bytes(), true, requested_at);
        assert_eq!(result, Err(ListError::Overtaken { version: 49 }));
    }
    let result = harness.session.handle_list(harness.now, late.as_bytes(), true, harness.now);
    assert_eq!(result, Err(ListError::Older { version: 49 }), "the first that counts");
    assert_eq!(harness.session.metrics().hosts, 3);
}

#[test]
fn thousands_of_short_lived_hosts_are_forgotten() {
    let mut harness = Harness::new(1, 1);
    for n in 0..10_000 {
        let (new, old) =
            (host(&format!("h{n}"), "active", harness.now), host(&format!("h{}", n as i64 - 3), "left", 0));
        harness.change_hosts(n + 2, &[new, old]);
        let report = json!({"msg": "LOAD", "site": "a", "target": format!("h{n}"), "count": 9, "fail": 9, "mean": 0,
            "over": 500.0});
        harness.session.handle_report(harness.now, &report).expect("a valid report");
        while let Some(changes) = harness.poll() {
            harness.answer(changes.len());
        }
        harness.advance(SECOND / 10);
        harness.notify("ping", json!({}));
    }
    let metrics = harness.session.metrics();
    assert_eq!(metrics.hosts, 5);
    assert!(metrics.hosts_known < 300, "{} are known", metrics.hosts_known);
    assert!(harness.session.servers.index("another") < 300, "indices are reused");
    assert_eq!(harness.session.servers.find("h100"), None);
}

//! From the revoke of a slice until no write of its former owner can be in progress the store has no line for it,
//! whatever the reason for the revoke: the store resets levels as it moves a slice, so only the line keeps writes
//! away.

use super::*;

const HOSTS: [&str; 6] = ["A", "B", "C", "D", "E", "F"];

/// A settled session: slice 0 at A and the others at B, hosts C to F without slices, and one proxy.
fn six_hosts(slices: usize) -> Harness {
    let hosts = HOSTS.map(|id| host(id, "active", 0));
    let mut harness = Harness::started(slices, 1, &hosts);
    let owners: Vec<Option<&str>> =
        (0..slices).map(|slice| Some(if slice == 0 { "A" } else { "B" })).collect();
    harness.subscribe(&[0], &owners);
    harness.run(10 * SECOND);
    harness
}

fn load(id: &str, count: u32, failed: u32, mean: f64) -> Value {
    json!({"msg": "LOAD", "site": "a", "target": id, "count": count, "fail": failed, "mean": mean, "over": 500.0})
}

/// Runs until a call revokes slice 0, with these reports twice a second, and returns that run's changes. Panics if
/// there is none within `span`.
fn run_until_revoked(harness: &mut Harness, span: Time, reports: &[Value]) -> Vec<Value> {
    let end = harness.now + span;
    while harness.now < end {
        reports
            .iter()
            .for_each(|report| harness.session.handle_report(harness.now, report).expect("a valid report"));
        let changes = harness.run(SECOND / 2);
        if changes.iter().any(|change| change["verb"] == "clear" && change["cluster"] == 0) {
            return changes;
        }
    }
    panic!("slice 0 is not revoked");
}

/// Acknowledges the revoke of slice 0, and asserts that the slice gets no line for a settling, and one soon after
/// that.
#[track_caller]
fn assert_settles_without_a_line(harness: &mut Harness, cause: &str, revoke: &[Value]) {
    assert!(
        !revoke.iter().any(|change| change["verb"] == "share" && change["cluster"] == 0),
        "{cause}: {revoke:?}"
    );
    let answered = harness.now;
    harness.acknowledge(0, harness.last_mark(revoke, &[]));
    let mut granted = None;
    while granted.is_none() && harness.now < answered + SETTLE + 4 * SECOND {
        let at = harness.now;
        let changes = harness.run(0);
        let of_zero = |change: &&Value| change["verb"] == "share" && change["cluster"] == 0;
        granted = changes.iter().find(of_zero).map(|grant| (at, grant.clone()));
    }
    let (at, grant) = granted.unwrap_or_else(|| panic!("{cause}: not granted within 4 s of the settling"));
    assert!(
        at >= answered + SETTLE,
        "{cause}: granted {} s after the acknowledgement",
        (at - answered) / SECOND
    );
    assert_eq!(grant["rps"], json!(1.0), "{cause}: full weight");
}

#[test]
fn a_slice_of_a_leaving_server_has_no_line_until_its_writes_have_ended() {
    let causes = [
        ("drained", host("A", "leaving", 0)),
        ("gone", host("A", "left", 0)),
        ("restarted", host("A", "active", START + 9 * SECOND)),
    ];
    for (cause, change) in causes {
        let mut harness = six_hosts(1);
        harness.change_hosts(2, &[change]);
        let revoke = run_until_revoked(&mut harness, SECOND, &[]);
        assert_settles_without_a_line(&mut harness, cause, &revoke);
    }
}

#[test]
fn a_slice_of_a_suspect_or_strained_server_has_no_line_until_its_writes_have_ended() {
    let demand = json!({"msg": "SHARD", "range": 0, "lane": "lookup", "count": 20, "fail": 0, "over": 500.0});
    for (cause, report_of_a) in [("suspect", load("A", 20, 20, 0.0)), ("strained", load("A", 20, 0, 5_000.0))]
    {
        let mut harness = six_hosts(1);
        let others = HOSTS[1..].iter().map(|id| load(id, 400, 0, 20.0));
        let reports: Vec<Value> = others.chain([report_of_a, demand.clone()]).collect();
        let revoke = run_until_revoked(&mut harness, 10 * SECOND, &reports);
        assert_settles_without_a_line(&mut harness, cause, &revoke);
    }
}

#[test]
fn a_slice_moved_for_balance_has_no_line_until_its_writes_have_ended() {
    let mut harness = Harness::started(3, 1, &[host("A", "active", 0), host("B", "active", 0)]);
    harness.subscribe(&[0], &[Some("A"), Some("A"), Some("B")]);
    harness.run(10 * SECOND);
    harness.change_hosts(2, &[host("A", "leaving", 0)]);
    let revoke = harness.run(SECOND / 2);
    harness.acknowledge(0, mark(&revoke));
    assert_eq!(grants(&harness.run_settled()), ["B", "B"]);
    // A is active again, and gets a slice for balance.
    harness.change_hosts(3, &[host("A", "active", 0)]);
    let revoke = run_until_revoked(&mut harness, 5 * SECOND, &[]);
    assert_settles_without_a_line(&mut harness, "balance", &revoke);
}

/// Slices assigned with an unclear line, or with a line of an earlier version that admits only reads.
#[test]
fn a_slice_assigned_with_an_unclear_line_has_none_until_its_writes_have_ended() {
    for (cause, weight, crosses) in [("below full weight", 0.5, false), ("crossed by an order", 1.0, true)] {
        let mut harness = six_hosts(2);
        if crosses {
            harness.change_hosts(2, &[host("A", "leaving", 0)]);
            harness.run(SECOND / 2);
        }
        harness.notify("GRANT", json!({"range": 0, "flag": false}));
        harness.notify("GRANT", json!({"range": 0, "flag": true}));
        harness.notify("ROW", json!({"range": 0, "target": "C", "rps": weight}));
        let revoke = run_until_revoked(&mut harness, 2 * SECOND, &[]);
        assert_settles_without_a_line(&mut harness, cause, &revoke);
    }
}

#[test]
fn a_slice_assigned_without_a_line_has_none_for_a_lease_and_a_settling() {
    const LEASE: Time = 4 * SECOND;
    let mut harness = six_hosts(1);
    harness.notify("GRANT", json!({"range": 0, "flag": false}));
    harness.run(20 * SECOND);
    harness.assign(0, None);
    let assigned_at = harness.now;
    let before = harness.run(LEASE + SETTLE - SECOND / 10);
    assert!(grants(&before).is_empty(), "{before:?}");
    assert_eq!(
        grants(&harness.run(2 * SECOND)).len(),
        1,
        "granted by {}",
        (harness.now - assigned_at) / SECOND
    );
}

/// In a gap the store may have moved the slice, and another steward may have set a line. This steward grants it only
/// after the settling, and after a gap as long as a settling only once the proxies have acknowledged a new mark.
#[test]
fn a_slice_that_settles_in_a_gap_has_no_line_until_its_writes_have_ended() {
    for gap in [SECOND, 3 * SECOND, 6 * SECOND] {
        let mut harness = six_hosts(1);
        harness.change_hosts(2, &[host("A", "leaving", 0)]);
        let revoke = run_until_revoked(&mut harness, SECOND, &[]);
        harness.acknowledge(0, mark(&revoke));
        let answered = harness.now;
        harness.run(SECOND / 2);
        harness.lose_subscription();
        assert!(grants(&harness.run(gap)).is_empty(), "in the gap");
        harness.subscribe(&[0], &[None]);
        while harness.now < answered + SETTLE {
            assert!(grants(&harness.run(0)).is_empty(), "{gap}: before the writes have ended");
        }
        let is_long = gap >= SETTLE;
        assert_eq!(
            grants(&harness.run(20 * SECOND)).is_empty(),
            is_long,
            "{gap}: no acknowledgement since the gap"
        );
    }
}

/// The same gap with subscriptions in it that broke off during their snapshot, and so don't show what happened
/// meanwhile.
#[test]
fn a_subscription_lost_during_its_snapshot_does_not_shorten_the_gap() {
    let mut harness = six_hosts(1);
    harness.change_hosts(2, &[host("A", "leaving", 0)]);
    let revoke = run_until_revoked(&mut harness, SECOND, &[]);
    harness.acknowledge(0, mark(&revoke));
    harness.run(SECOND / 2);
    harness.lose_subscription();
    for _ in 0..4 {
        assert!(grants(&harness.run(3 * SECOND)).is_empty(), "in the gap");
        harness.begin_subscription();
        harness.join(0);
        harness.lose_subscription();
    }
    // Another steward had it for 12 s: long enough to grant it and to revoke it.
    assert!(grants(&harness.run(SECOND)).is_empty(), "in the gap");
    harness.subscribe(&[0], &[None]);
    let calls = harness.run(20 * SECOND);
    assert!(grants(&calls).is_empty(), "no acknowledgement since the gap: {calls:?}");
}

/// Writes to a line below full weight are limited only by a level, so its revoke can't wait for the end of a
/// snapshot. If the allowed messages are used up, it is sent as soon as the ledger has capacity.
#[test]
fn revokes_of_unclear_lines_are_sent_once_the_ledger_has_capacity() {
    let mut settings = settings(2, 1);
    settings["family_info"]["pushes_allowed"] = json!(1);
    settings["family_info"]["update_window_s"] = json!(1.0);
    let mut harness = Harness::with(&settings, &[host("A", "active", 0), host("B", "active", 0)]);
    let assign_below_full_weight = |harness: &mut Harness, slice: usize| {
        harness.notify("GRANT", json!({"range": slice, "flag": true}));
        harness.notify("ROW", json!({"range": slice, "target": "B", "rps": 0.5}));
    };
    harness.begin_subscription();
    harness.join(0);
    assign_below_full_weight(&mut harness, 0);
    assert_eq!(harness.poll(), None, "the hold has only just begun");
    harness.advance(SECOND / 10);
    assert_eq!(harness.poll().expect("the first revoke")[0], json!({"verb": "clear", "cluster": 0}));
    harness.answer(2);
    assign_below_full_weight(&mut harness, 1);
    harness.advance(SECOND / 2);
    assert_eq!(harness.poll(), None, "one message per second");
    harness.advance(SECOND / 2 + SECOND / 5);
    let second = harness.poll().expect("a revoke before any heartbeat");
    assert!(second.contains(&json!({"verb": "clear", "cluster": 1})), "{second:?}");
}

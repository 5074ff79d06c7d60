//! Hosts that have left the list while the steward could not see it: their slices are revoked, whatever is received first.

use super::*;

/// Returns a session whose configuration names A and B, as it was stored before C came.
fn restarted() -> Harness {
    Harness::before_list(&settings(2, 1), &hosts())
}

fn hosts() -> [Value; 2] {
    [host("A", "active", 0), host("B", "active", 0)]
}

/// Asserts that slice 0, which is at C, is revoked alone.
fn assert_revoked(harness: &mut Harness, case: &str) {
    // While decisions are on hold a restriction waits for a moment.
    let calls = harness.poll().or_else(|| {
        harness.advance(SECOND / 5);
        harness.poll()
    });
    let calls = calls.unwrap_or_default();
    assert_eq!(verbs(&calls), ["clear", "mark"], "{case}: {calls:?}");
    assert_eq!(calls[0]["cluster"], 0, "{case}");
}

#[test]
fn a_host_removed_during_a_restart_is_left_when_its_line_comes_after_the_list() {
    let mut harness = restarted();
    harness.receive_whole_list(5, &hosts());
    harness.subscribe(&[0], &[Some("C"), Some("A")]);
    assert_revoked(&mut harness, "the list, then the lines");
}

#[test]
fn a_host_removed_during_a_restart_is_left_when_its_line_comes_before_the_list() {
    let mut harness = restarted();
    harness.subscribe(&[0], &[Some("C"), Some("A")]);
    assert_eq!(harness.poll(), None, "no list has come");
    harness.receive_whole_list(5, &hosts());
    assert_revoked(&mut harness, "the lines, then the list");
}

#[test]
fn a_host_removed_during_a_restart_is_left_when_the_list_comes_within_the_snapshot() {
    let mut harness = restarted();
    harness.begin_subscription();
    harness.join(0);
    harness.notify("GRANT", json!({"range": 0, "flag": true}));
    harness.receive_whole_list(5, &hosts());
    harness.notify("ROW", json!({"range": 0, "target": "C", "rps": 1.0}));
    harness.assign(1, Some("A"));
    assert_revoked(&mut harness, "before the heartbeat that ends the snapshot");
}

/// The changes since the stored list say it as well, where the complete list is still on its way.
#[test]
fn a_host_removed_during_a_restart_is_left_when_the_changes_since_the_stored_list_say_so() {
    for removed in [vec![host("C", "left", 0)], vec![host("C", "leaving", 0)]] {
        let mut harness = restarted();
        harness.change_hosts(5, &removed);
        harness.subscribe(&[0], &[Some("C"), Some("A")]);
        assert_revoked(&mut harness, "the changes, then the lines");
        let mut harness = restarted();
        harness.subscribe(&[0], &[Some("C"), Some("A")]);
        assert_eq!(harness.poll(), None, "no list has come");
        harness.change_hosts(5, &removed);
        assert_revoked(&mut harness, "the lines, then the changes");
    }
}

/// A restriction needs no live subscription: neither here nor where the store gives the slice back later.
#[test]
fn a_slice_taken_over_in_service_leaves_a_host_that_the_list_lacks() {
    let mut harness = Harness::with(&settings(2, 1), &hosts());
    harness.subscribe(&[0], &[]);
    harness.run(10 * SECOND);
    harness.assign(0, Some("C"));
    harness.assign(1, Some("A"));
    assert_revoked(&mut harness, "a take-over");
}

#[test]
fn a_host_that_was_only_ever_listed_as_left_is_left() {
    let mut harness = Harness::with(&settings(2, 1), &hosts());
    harness.subscribe(&[0], &[]);
    harness.run(10 * SECOND);
    harness.change_hosts(2, &[host("C", "left", 0)]);
    harness.assign(0, Some("C"));
    harness.assign(1, Some("A"));
    assert_revoked(&mut harness, "an entry of its leaving");
}

#[test]
fn a_host_that_was_forgotten_is_left_when_a_line_names_it_again() {
    let mut harness = Harness::with(&settings(2, 1), &hosts());
    harness.subscribe(&[0], &[]);
    harness.change_hosts(2, &[host("C", "active", 0)]);
    harness.change_hosts(3, &[host("C", "left", 0)]);
    for n in 0..600 {
        let (new, old) = (format!("h{n}"), format!("h{}", n - 1));
        harness.change_hosts(n as u64 + 4, &[host(&new, "active", 0), host(&old, "left", 0)]);
        harness.poll();
    }
    assert_eq!(harness.session.servers.find("C"), None, "forgotten");
    harness.run(10 * SECOND);
    harness.assign(0, Some("C"));
    harness.assign(1, Some("A"));
    assert_revoked(&mut harness, "forgotten");
}

#[test]
fn a_host_that_may_be_the_entry_without_a_name_is_kept_until_a_list_tells() {
    let unnamed =
        list(5, true, &[host("A", "active", 0), host("B", "active", 0), json!({"lifecycle": "active"})]);
    for list_first in [true, false] {
        let mut harness = restarted();
        let receive = |harness: &mut Harness| {
            let body = unnamed.to_string();
            assert!(harness.session.handle_list(harness.now, body.as_bytes(), true, harness.now).is_err());
        };
        if list_first {
            receive(&mut harness);
        }
        harness.subscribe(&[0], &[Some("C"), Some("A")]);
        if !list_first {
            receive(&mut harness);
        }
        harness.advance(SECOND / 5);
        assert_eq!(harness.poll(), None, "list first: {list_first}");
        harness.receive_whole_list(6, &hosts());
        assert_revoked(&mut harness, "a readable list");
    }
}

//! Tests that the store reports reassignments as late as the platform does, and later than proxies read them.

use std::time::Duration;

use fastrand::Rng;
use serde_json::{json, Value};

use crate::judge::{Elapsed, Limits};
use crate::store::{Sizes, Store, Times, NOTIFY_DELAY};

const MILLISECOND: Duration = Duration::from_millis(1);
const SETTLE: Duration = Duration::from_secs(5);

/// Creates a store of two stewards with a slice each, and one proxy that has read the store.
pub fn store() -> Store {
    let sizes = Sizes { stewards: 2, proxies: 1, slices: 2, servers: 2 };
    let second = Duration::from_secs(1);
    let limits = Limits {
        settle: SETTLE,
        max_waiting_lines: sizes.max_waiting_lines(),
        messages: 20,
        window: second,
        max_drain: 100 * second,
        max_unserved: 100 * second,
        ready: second,
    };
    let mut store = Store::new(sizes, Times { lease: second, settle: SETTLE }, limits, Rng::with_seed(1));
    for steward in 0..2 {
        store.subscribe(steward, &json!(1));
        store.steward_back(steward);
        store.join(steward, 0);
    }
    pass(&mut store, Duration::ZERO, second);
    for steward in 0..2 {
        notifications(&mut store, steward);
    }
    store
}

fn pass(store: &mut Store, from: Elapsed, to: Elapsed) {
    let mut now = from;
    while now < to {
        now += MILLISECOND;
        store.advance(now);
    }
}

fn notifications(store: &mut Store, steward: usize) -> Vec<Value> {
    std::iter::from_fn(|| store.next_notification(steward))
        .map(|line| serde_json::from_str(&line).expect("JSON"))
        .collect()
}

/// Steward 0 revokes its slice and opens it to reads alone at another server, and then goes away. Returns
/// when the slice is reassigned.
fn reassign_while_settling(store: &mut Store) -> Elapsed {
    let second = Duration::from_secs(1);
    assert_eq!(store.carry_out(0, &[json!({"verb": "clear", "cluster": 0})]), 1);
    pass(store, second, 2 * second);
    let granted = [
        json!({"verb": "share", "cluster": 0, "target": "s1", "rps": 0.5}),
        json!({"verb": "admit", "cluster": 0, "routes": ["write"], "admit": 0.0}),
    ];
    assert_eq!(store.carry_out(0, &granted), 2);
    pass(store, 2 * second, 3 * second);
    store.steward_gone(0);
    let mut now = 3 * second;
    while store.hand_overs == 0 {
        now += MILLISECOND;
        store.advance(now);
    }
    now
}

#[test]
fn a_reassignment_is_notified_late_with_the_current_line() {
    let mut store = store();
    let reassigned_at = reassign_while_settling(&mut store);
    pass(&mut store, reassigned_at, reassigned_at + NOTIFY_DELAY - MILLISECOND);
    assert_eq!(notifications(&mut store, 1), Vec::<Value>::new());
    pass(&mut store, reassigned_at + NOTIFY_DELAY - MILLISECOND, reassigned_at + NOTIFY_DELAY);
    let notified = notifications(&mut store, 1);
    assert_eq!(notified[0]["params"], json!({"range": 0, "flag": true}));
    assert_eq!(notified[1]["params"], json!({"range": 0, "target": "s1", "rps": 0.5}));
}

#[test]
fn a_slice_that_settles_by_a_level_alone_is_written_once_it_is_reassigned() {
    let mut store = store();
    let reassigned_at = reassign_while_settling(&mut store);
    assert!(store.judge.violations().is_empty(), "{:?}", store.judge.violations());
    pass(&mut store, reassigned_at, reassigned_at + Duration::from_millis(500));
    let violations = store.judge.violations();
    assert!(violations[0].contains("duplicate: slice 0 is written at 1"), "{violations:?}");
}

#[test]
fn a_slice_that_settles_without_a_line_is_not_written_when_it_is_reassigned() {
    let mut store = store();
    let second = Duration::from_secs(1);
    store.carry_out(0, &[json!({"verb": "clear", "cluster": 0})]);
    pass(&mut store, second, 2 * second);
    store.steward_gone(0);
    pass(&mut store, 2 * second, 6 * second);
    assert_eq!(store.hand_overs, 1);
    assert!(store.judge.violations().is_empty(), "{:?}", store.judge.violations());
}

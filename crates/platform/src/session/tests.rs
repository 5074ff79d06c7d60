mod calls;
mod gaps;
mod lists;
mod removed;
mod reports;
mod settling;

use std::collections::VecDeque;

use proptest::prelude::*;

use ravenspar_steward::SECOND;
use serde_json::json;

use super::*;

/// The start of each test as Unix time.
const START: Time = 17_000_000_000 * SECOND / 10;

/// The longest time that a write can be in progress, by these settings.
const SETTLE: Time = 5 * SECOND;

fn settings(slices: usize, proxies: usize) -> Value {
    json!({
        "azs": ["a", "b"], "discovery": "pushed",
        "classes": [{"name": "lookup", "worth": 1.0}, {"name": "write", "worth": 2.0}],
        "family_info": {
            "ranges": slices, "proxy_count": proxies, "write_lease_s": 4.0, "settle_s": 5.0, "channel_rate": 3000.0,
            "pending_max": 6000.0, "fixed_cost": 12.0, "pushes_allowed": 20, "update_window_s": 10.0, "cycle_s": 0.5,
            "mutating": [false, true], "admit": "ratio",
        },
        "safety": {"cold_from": 0.2, "cold_s": 10.0, "fall_multiple": 2.5},
    })
}

fn host(id: &str, state: &str, started: Time) -> Value {
    json!({"instanceId": id, "lifecycle": state, "startedAtMs": started / 10})
}

fn list(version: u64, whole: bool, hosts: &[Value]) -> Value {
    json!({"generation": version, "reset": whole, "instances": hosts})
}

/// A session and the state of the store that it talks to.
struct Harness {
    session: Session,
    now: Time,
    /// The call in flight.
    call: Option<Value>,
    /// The subscription is up, and the store sends a heartbeat every second.
    live: bool,
}

impl Harness {
    /// A settled session: hosts A and B, all slices at A, and all proxies joined.
    fn new(slices: usize, proxies: usize) -> Harness {
        let hosts = [host("A", "active", 0), host("B", "active", 0)];
        let mut harness = Harness::started(slices, proxies, &hosts);
        harness.subscribe(&(0..proxies).collect::<Vec<_>>(), &vec![Some("A"); slices]);
        assert_eq!(harness.poll(), None, "no call at first");
        // A slice is granted no sooner than a lease and a settling after its assignment.
        harness.advance(10 * SECOND);
        harness.notify("ping", json!({}));
        harness
    }

    fn started(slices: usize, proxies: usize, hosts: &[Value]) -> Harness {
        Harness::with(&settings(slices, proxies), hosts)
    }

    fn with(settings: &Value, hosts: &[Value]) -> Harness {
        let mut harness = Harness::before_list(settings, hosts);
        harness.receive_whole_list(1, hosts);
        harness
    }

    /// A session that has only the list of its configuration.
    fn before_list(settings: &Value, hosts: &[Value]) -> Harness {
        let known = list(1, true, hosts);
        let session = Session::new(START, 7, settings, &known).expect("valid settings");
        Harness { session, now: START, call: None, live: false }
    }

    fn receive_whole_list(&mut self, version: u64, hosts: &[Value]) {
        let list = list(version, true, hosts).to_string();
        self.session.handle_list(self.now, list.as_bytes(), true, self.now).expect("a valid list");
    }

    fn notify(&mut self, method: &str, params: Value) {
        let line = json!({"jsonrpc": "2.0", "method": method, "params": params});
        self.session
            .handle_notification(self.now, line.to_string().as_bytes())
            .expect("a valid notification");
    }

    fn begin_subscription(&mut self) {
        let result = br#"{"jsonrpc":"2.0","id":1,"result":true}"#;
        self.session.handle_notification(self.now, result).expect("a subscription");
    }

    fn assign(&mut self, slice: usize, owner: Option<&str>) {
        self.notify("GRANT", json!({"range": slice, "flag": true}));
        if let Some(owner) = owner {
            self.notify("ROW", json!({"range": slice, "target": owner, "rps": 1.0}));
        }
    }

    fn join(&mut self, proxy: usize) {
        self.notify("SUBSCRIBE", json!({"id": proxy, "site": "a", "rps": 2.0, "new": false}));
    }

    fn acknowledge(&mut self, proxy: usize, mark: u64) {
        self.notify("ACK", json!({"id": proxy, "seq": mark, "ms": 300.0}));
    }

    /// Starts a subscription with these proxies joined and these owners of the slices from 0 on.
    fn subscribe(&mut self, proxies: &[usize], owners: &[Option<&str>]) {
        self.begin_subscription();
        proxies.iter().for_each(|&proxy| self.join(proxy));
        owners.iter().enumerate().for_each(|(slice, owner)| self.assign(slice, *owner));
        self.notify("ping", json!({}));
        self.live = true;
    }

    fn lose_subscription(&mut self) {
        self.live = false;
        self.session.handle_subscription_lost(self.now);
    }

    fn change_hosts(&mut self, version: u64, hosts: &[Value]) {
        let list = list(version, false, hosts).to_string();
        self.session.handle_list(self.now, list.as_bytes(), false, self.now).expect("a valid list");
    }

    fn advance(&mut self, span: Time) {
        self.now += span;
    }

    /// Polls for the next call and returns its changes.
    fn poll(&mut self) -> Option<Vec<Value>> {
        let call = self.session.poll(self.now)?;
        let call: Value = serde_json::from_str(&call.line).expect("a JSON call");
        let changes = call["params"]["changes"].as_array().cloned();
        self.call = Some(call);
        changes
    }

    fn answer(&mut self, accepted: usize) {
        let id = self.call.take().expect("a call in flight")["id"].clone();
        let line = json!({"jsonrpc": "2.0", "id": id, "result": {"ok_count": accepted}}).to_string();
        self.session.handle_answer(self.now, line.as_bytes());
    }

    /// Returns the last mark in these changes, or else in those before.
    fn last_mark(&self, last: &[Value], before: &[Value]) -> u64 {
        last.iter().rev().find_map(|change| change["nonce_out"].as_u64()).unwrap_or_else(|| mark(before))
    }

    /// Runs for a time span, answers each call at once and returns the changes of all calls.
    fn run(&mut self, span: Time) -> Vec<Value> {
        let end = self.now + span;
        let mut all = Vec::new();
        while self.now <= end {
            while let Some(changes) = self.poll() {
                self.answer(changes.len());
                all.extend(changes);
            }
            self.now += SECOND / 20;
            if self.live && self.now % SECOND < SECOND / 20 {
                self.notify("ping", json!({}));
            }
        }
        all
    }

    /// Runs until slices have settled whose revokes are acknowledged now, and a second more. Asserts that none is
    /// granted before.
    #[track_caller]
    fn run_settled(&mut self) -> Vec<Value> {
        let before = self.run(SETTLE - SECOND / 10);
        assert!(grants(&before).is_empty(), "before its writes have ended: {before:?}");
        [before, self.run(SECOND)].concat()
    }
}

fn verbs(changes: &[Value]) -> Vec<&str> {
    changes.iter().filter_map(|change| change["verb"].as_str()).collect()
}

fn grants(changes: &[Value]) -> Vec<&str> {
    changes.iter().filter(|change| change["verb"] == "share").filter_map(|c| c["target"].as_str()).collect()
}

fn mark(changes: &[Value]) -> u64 {
    changes.last().and_then(|change| change["nonce_out"].as_u64()).expect("a closing mark")
}

/// Asserts that the same orders are sent again under a new mark: an acknowledgement of the first attempt proves
/// nothing of the second.
#[track_caller]
fn assert_resent(retry: Option<Vec<Value>>, before: &[Value]) -> Vec<Value> {
    let retry = retry.expect("the same call again");
    let without_mark = |changes: &[Value]| changes[..changes.len() - 1].to_vec();
    assert_eq!(without_mark(&retry), without_mark(before));
    assert_ne!(mark(&retry), mark(before));
    retry
}

#[test]
fn a_drained_slice_is_revoked_acknowledged_and_granted() {
    let mut harness = Harness::new(1, 1);
    harness.change_hosts(2, &[host("A", "leaving", 0)]);
    let revoke = harness.poll().expect("a revoke for the drain");
    assert_eq!(verbs(&revoke), ["clear", "mark"]);
    harness.answer(2);
    assert_eq!(harness.run(2 * SECOND), [Value::Null; 0], "no call before the proxy has acknowledged");
    harness.acknowledge(0, mark(&revoke));
    let changes = harness.run_settled();
    assert_eq!((verbs(&changes), grants(&changes)), (vec!["share", "mark"], vec!["B"]));
    assert_eq!(changes[0]["rps"], json!(1.0), "open to all");
    assert_eq!(harness.run(6 * SECOND), [Value::Null; 0], "no further call");
}

/// While a slice settles the store moves it to another steward and resets its levels. Proxies read the store as early
/// as 88 ms later; the new steward is notified after 150 ms, and its orders take 100 ms to the proxies. A line at the
/// new owner whose writes are closed only by a level would let writes reach it while writes of the former owner are
/// in progress ("duplicate", split days of the bench).
#[test]
fn writes_stay_closed_if_a_settling_slice_is_handed_over() {
    const MILLISECOND: Time = SECOND / 1_000;
    let (read, notified, transit) = (88 * MILLISECOND, 150 * MILLISECOND, 100 * MILLISECOND);
    let mut former = Harness::new(1, 1);
    let mut next = Harness::new(1, 1);
    next.notify("GRANT", json!({"range": 0, "flag": false}));
    former.change_hosts(2, &[host("A", "leaving", 0)]);
    next.change_hosts(2, &[host("A", "leaving", 0)]);
    let revoke = former.run(SECOND / 2);
    former.acknowledge(0, mark(&revoke));
    let answered = former.now;
    let granted = former.run(SECOND / 2);
    let moved = former.now + 2 * SECOND;
    assert!(moved < answered + 5 * SECOND, "the slice settles until then");
    let Some(owner) = grants(&granted).first().copied() else { return };
    next.advance(moved + notified - next.now);
    next.assign(0, None);
    next.notify("ROW", json!({"range": 0, "target": owner, "rps": 0.5}));
    let closing = next.poll().expect("a level that closes writes");
    assert_eq!(closing[0]["admit"], json!(0.0));
    let (opened, closed) = (moved + read, next.now + transit);
    assert!(closed <= opened, "writes go to {owner} for {} ms", (closed - opened) / MILLISECOND);
}

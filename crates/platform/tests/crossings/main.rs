//! In whichever order messages between store, proxies and session arrive, no slice is granted while a proxy may still
//! write to its former owner, and none goes from one host to another directly.

#[path = "../common/mod.rs"]
mod common;

use std::collections::VecDeque;

use common::Search;
use proptest::prelude::*;
use ravenspar_platform::{Session, Time, SECOND};
use serde_json::{json, Value};

const SLICES: usize = 2;
const PROXIES: usize = 3;
const HOSTS: [&str; 3] = ["A", "B", "C"];
const START: Time = 17_000_000_000 * SECOND / 10;
const LEASE: Time = 2 * SECOND;

/// The longest time that a write can be in progress.
const SETTLE: Time = 15 * SECOND / 10;

/// The longest time that an order takes to a proxy.
const TRANSIT: Time = SECOND / 2;

#[derive(Clone, Copy, Debug)]
enum Op {
    /// Tenths of a second pass.
    Advance(u8),
    /// A host's listed state toggles between active and leaving.
    ToggleDrain(u8),
    Join(u8),
    Leave(u8),
    /// A proxy applies its pending orders, and acknowledges their marks.
    Apply(u8),
    /// This number of notifications arrive.
    Deliver(u8),
    LoseSubscription,
    Subscribe,
    /// The store applies the call in flight.
    ApplyCall,
    Answer,
    /// The call's answer never comes, whether it was applied or not.
    LoseCall,
    /// A slice is unassigned, or assigned again unchanged.
    Handover(u8),
    /// Another steward revokes a slice that is assigned to it.
    RevokeElsewhere(u8),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => (1u8..12).prop_map(Op::Advance),
        2 => (0u8..3).prop_map(Op::ToggleDrain),
        3 => (0u8..3).prop_map(Op::Join),
        2 => (0u8..3).prop_map(Op::Leave),
        6 => (0u8..3).prop_map(Op::Apply),
        6 => (1u8..6).prop_map(Op::Deliver),
        1 => Just(Op::LoseSubscription),
        2 => Just(Op::Subscribe),
        6 => Just(Op::ApplyCall),
        6 => Just(Op::Answer),
        1 => Just(Op::LoseCall),
        1 => (0u8..2).prop_map(Op::Handover),
    ]
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    prop::collection::vec(op(), 20..160)
}

/// Operations that include another steward's revokes.
fn ops_of_two_stewards() -> impl Strategy<Value = Vec<Op>> {
    let op = prop_oneof![30 => op(), 1 => (0u8..2).prop_map(Op::RevokeElsewhere)];
    prop::collection::vec(op, 20..160)
}

#[derive(Default)]
struct Proxy {
    joined: bool,
    left_at: Time,
    /// The owner of each slice as known to the proxy.
    table: Vec<Option<String>>,
    /// Pending orders of its stream, and since when.
    waiting: VecDeque<(Time, Value)>,
}

struct World {
    session: Session,
    now: Time,
    lines: Vec<Option<(String, f64)>>,
    assigned: [bool; SLICES],
    proxies: Vec<Proxy>,
    draining: [bool; 3],
    version: u64,
    /// Notifications in flight, if there is a subscription.
    notifications: Option<VecDeque<String>>,
    /// The call in flight, and whether it was applied.
    call: Option<(Value, bool)>,
    /// When the last call was written.
    called_at: Time,
    moves: usize,
    /// When a proxy may last have sent writes of each slice to each host.
    written: [[Time; HOSTS.len()]; SLICES],
    /// Notifications in flight are delivered before an answer is.
    deliver_first: bool,
}

impl World {
    fn new() -> World {
        let settings = json!({
            "azs": ["a"], "discovery": "pushed", "classes": [{"name": "read"}, {"name": "write"}],
            "family_info": {
                "ranges": SLICES, "proxy_count": PROXIES, "write_lease_s": 2.0, "settle_s": 1.5, "cycle_s": 0.5,
                "channel_rate": 3000.0, "fixed_cost": 1.0, "mutating": [false, true], "admit": "ratio",
            },
        });
        let mut world = World {
            session: Session::new(START, 7, &settings, &Value::Null).expect("good settings"),
            now: START,
            lines: vec![Some(("A".to_owned(), 1.0)); SLICES],
            assigned: [true; SLICES],
            proxies: (0..PROXIES).map(|_| Proxy { left_at: START - LEASE, ..Proxy::default() }).collect(),
            draining: [false; 3],
            version: 0,
            notifications: None,
            call: None,
            called_at: START,
            moves: 0,
            written: [[START - SETTLE; HOSTS.len()]; SLICES],
            deliver_first: false,
        };
        world.list();
        (0..PROXIES as u8).for_each(|proxy| world.apply(Op::Join(proxy)));
        world.apply(Op::Subscribe);
        world.apply(Op::Deliver(20));
        world
    }

    fn list(&mut self) {
        self.version += 1;
        let state = |draining| if draining { "leaving" } else { "active" };
        let hosts = HOSTS.iter().zip(self.draining);
        let hosts =
            hosts.map(|(id, out)| json!({"instanceId": id, "lifecycle": state(out), "startedAtMs": 0}));
        let list = json!({"generation": self.version, "reset": true, "instances": hosts.collect::<Vec<_>>()});
        self.session.handle_list(self.now, list.to_string().as_bytes(), true, self.now).expect("a good list");
    }

    fn notify(&mut self, method: &str, params: Value) {
        let line = json!({"jsonrpc": "2.0", "method": method, "params": params}).to_string();
        self.notifications.iter_mut().for_each(|notifications| notifications.push_back(line.clone()));
    }

    fn notify_assigned(&mut self, slice: usize) {
        self.notify("GRANT", json!({"range": slice, "flag": true}));
        if let Some((target, rps)) = self.lines[slice].clone() {
            self.notify("ROW", json!({"range": slice, "target": target, "rps": rps}));
        }
    }

    fn apply_call(&mut self, call: &Value) {
        for order in call["params"]["changes"].as_array().expect("changes") {
            let slice = order["cluster"].as_u64().map(|slice| slice as usize);
            if slice.is_some_and(|slice| !self.assigned[slice]) {
                continue;
            }
            match (order["verb"].as_str().expect("a verb"), slice) {
                ("share", Some(slice)) => {
                    let host = order["target"].as_str().expect("a host").to_owned();
                    let weight = order["rps"].as_f64().expect("a weight");
                    self.check_grant(slice, &host);
                    self.lines[slice] = Some((host, weight));
                }
                ("clear", Some(slice)) => self.lines[slice] = None,
                _ => {}
            }
            let joined = self.proxies.iter_mut().filter(|proxy| proxy.joined);
            joined.for_each(|proxy| proxy.waiting.push_back((self.now, order.clone())));
        }
    }

    /// Checks the invariants of a grant, whatever the line's weight and levels: levels keep no writes away from a
    /// slice that is handed over.
    fn check_grant(&mut self, slice: usize, host: &str) {
        let before = self.lines[slice].as_ref().map(|(owner, _)| owner.as_str());
        assert!(before.is_none_or(|owner| owner == host), "slice {slice} from {before:?} to {host} directly");
        self.moves += usize::from(before.is_none());
        for (number, proxy) in self.proxies.iter().enumerate() {
            let writes = proxy.joined || self.now < proxy.left_at + LEASE;
            let owner = proxy.table.get(slice).cloned().flatten().filter(|_| writes);
            let clash = owner.is_some_and(|owner| owner != host);
            assert!(!clash, "slice {slice} granted to {host}, proxy {number} has {:?}", proxy.table[slice]);
        }
        for (other, at) in HOSTS.iter().zip(self.written[slice]).filter(|(other, _)| **other != host) {
            let since = self.now - at;
            assert!(since >= SETTLE, "slice {slice} granted to {host}, {since} after a write to {other}");
        }
    }

    /// Proxies write to the owner that they know.
    fn write(&mut self) {
        for proxy in self.proxies.iter().filter(|proxy| proxy.joined || self.now < proxy.left_at + LEASE) {
            for (slice, owner) in proxy.table.iter().enumerate() {
                let owner = owner.as_deref().and_then(|owner| HOSTS.iter().position(|host| *host == owner));
                owner.into_iter().for_each(|owner| self.written[slice][owner] = self.now);
            }
        }
    }

    fn deliver(&mut self, count: usize) {
        for _ in 0..count {
            let Some(line) = self.notifications.as_mut().and_then(VecDeque::pop_front) else { break };
            // After an invalid notification the session subscribes again.
            if self.session.handle_notification(self.now, line.as_bytes()).is_err() {
                self.notifications = None;
                self.session.handle_subscription_lost(self.now);
            }
        }
    }

    fn apply(&mut self, op: Op) {
        self.write();
        match op {
            Op::Advance(tenths) => {
                for _ in 0..tenths {
                    self.write();
                    self.now += SECOND / 10;
                    // A call is answered within 50 ms or never.
                    if self.now >= self.called_at + SECOND / 10 {
                        self.apply(Op::LoseCall);
                    }
                    if self.now % SECOND == 0 {
                        self.notify("ping", json!({}));
                    }
                    for id in 0..PROXIES {
                        let proxy = &self.proxies[id];
                        if proxy.waiting.front().is_some_and(|(since, _)| self.now - since >= TRANSIT) {
                            self.apply(Op::Apply(id as u8));
                        }
                    }
                }
            }
            Op::ToggleDrain(host) => {
                self.draining[host as usize] ^= true;
                self.list();
            }
            Op::Join(id) => {
                let table =
                    self.lines.iter().map(|line| line.as_ref().map(|(owner, _)| owner.clone())).collect();
                let proxy = &mut self.proxies[id as usize];
                if !proxy.joined {
                    *proxy = Proxy { joined: true, table, ..Proxy::default() };
                    self.notify("SUBSCRIBE", json!({"id": id, "site": "a", "rps": 2.0, "new": true}));
                }
            }
            Op::Leave(id) => {
                let now = self.now;
                let proxy = &mut self.proxies[id as usize];
                if std::mem::take(&mut proxy.joined) {
                    proxy.left_at = now;
                    proxy.waiting.clear();
                    self.notify("CLOSED", json!({"id": id}));
                }
            }
            Op::Apply(id) => {
                while let Some((_, order)) = self.proxies[id as usize].waiting.pop_front() {
                    let table = &mut self.proxies[id as usize].table;
                    match (order["verb"].as_str(), order["cluster"].as_u64()) {
                        (Some("share"), Some(slice)) => {
                            table[slice as usize] = order["target"].as_str().map(str::to_owned);
                        }
                        (Some("clear"), Some(slice)) => table[slice as usize] = None,
                        (Some("mark"), _) => {
                            self.notify("ACK", json!({"id": id, "seq": order["nonce_out"], "ms": 1.0}));
                        }
                        _ => {}
                    }
                }
            }
            Op::Deliver(count) => self.deliver(count.into()),
            Op::LoseSubscription => {
                self.notifications = None;
                self.session.handle_subscription_lost(self.now);
            }
            Op::Subscribe => {
                if self.notifications.is_none() {
                    let first = json!({"jsonrpc": "2.0", "id": 1, "result": true}).to_string();
                    self.notifications = Some(VecDeque::from([first]));
                    for id in 0..PROXIES {
                        if self.proxies[id].joined {
                            self.notify(
                                "SUBSCRIBE",
                                json!({"id": id, "site": "a", "rps": 2.0, "new": false}),
                            );
                        }
                    }
                    for slice in 0..SLICES {
                        if self.assigned[slice] {
                            self.notify_assigned(slice);
                        }
                    }
                    self.notify("ping", json!({}));
                }
            }
            Op::ApplyCall => {
                if let Some((call, false)) = self.call.take_if(|(_, done)| !*done) {
                    self.apply_call(&call);
                    self.call = Some((call, true));
                }
            }
            Op::Answer => {
                if self.deliver_first && self.call.as_ref().is_some_and(|(_, done)| *done) {
                    self.deliver(usize::MAX);
                }
                if let Some((call, _)) = self.call.take_if(|(_, done)| *done) {
                    let accepted = call["params"]["changes"].as_array().map_or(0, Vec::len);
                    let line = json!({"jsonrpc": "2.0", "id": call["id"], "result": {"ok_count": accepted}});
                    self.session.handle_answer(self.now, line.to_string().as_bytes());
                }
            }
            Op::LoseCall => {
                if self.call.take().is_some() {
                    self.session.handle_call_lost(self.now, true);
                }
            }
            Op::Handover(slice) => {
                let slice = slice as usize;
                self.assigned[slice] ^= true;
                if self.assigned[slice] {
                    self.notify_assigned(slice);
                } else {
                    self.notify("GRANT", json!({"range": slice, "flag": false}));
                }
            }
            Op::RevokeElsewhere(slice) => {
                if !self.assigned[slice as usize] {
                    self.lines[slice as usize] = None;
                    let order = json!({"verb": "clear", "cluster": slice});
                    let joined = self.proxies.iter_mut().filter(|proxy| proxy.joined);
                    joined.for_each(|proxy| proxy.waiting.push_back((self.now, order.clone())));
                }
            }
        }
        if self.call.is_none() {
            let call = self.session.poll(self.now);
            self.call = call.map(|call| (serde_json::from_str(&call.line).expect("calls are JSON"), false));
            self.called_at = self.now;
        }
    }
}

fn search() -> Search {
    Search {
        cases: 600,
        max_shrinks: 4_000,
        failures: concat!(env!("CARGO_MANIFEST_DIR"), "/tests/crossings/failures.txt"),
    }
}

#[test]
fn no_message_order_grants_a_slice_that_a_proxy_still_has_elsewhere() {
    search().run(&ops(), |ops| {
        let mut world = World::new();
        ops.into_iter().for_each(|op| world.apply(op));
        Ok(())
    });
}

/// Like the program, which handles all pending input before it decides.
#[test]
fn nor_does_another_stewards_revoke_if_pending_notifications_are_handled_first() {
    search().run(&ops_of_two_stewards(), |ops| {
        let mut world = World { deliver_first: true, ..World::new() };
        ops.into_iter().for_each(|op| world.apply(op));
        Ok(())
    });
}

/// Checks that the searches cover real moves: a drain whose calls and notifications all arrive moves both slices.
#[test]
fn a_drain_without_faults_moves_all_slices() {
    let mut world = World::new();
    world.apply(Op::Advance(50));
    world.apply(Op::ToggleDrain(0));
    for _ in 0..100 {
        [Op::Apply(0), Op::Apply(1), Op::Apply(2), Op::Deliver(9), Op::ApplyCall, Op::Answer, Op::Advance(1)]
            .into_iter()
            .for_each(|op| world.apply(op));
    }
    assert_eq!(world.moves, SLICES);
    assert!(world.lines.iter().all(|line| line.as_ref().is_some_and(|(owner, _)| owner != "A")));
}

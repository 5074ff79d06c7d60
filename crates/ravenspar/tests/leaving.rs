//! Tests of stewards that leave the shared store and the view of the fleet, as processes against a stand-in
//! of the store.

mod common;

use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt as _;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use common::*;
use ravenspar_standin::store::{Faults, Store};

const LEASE_S: u64 = 2;

/// Returns a port that was free a moment ago; the steward binds it at once.
fn free_address() -> SocketAddr {
    std::net::UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).expect("a port")
}

/// Writes the settings of one of two stewards that share a store and, with `view`, keep a view of each other.
fn settings(dir: &Dir, name: &str, store: SocketAddr, view: Option<(SocketAddr, SocketAddr)>) -> PathBuf {
    let text = std::fs::read_to_string(dir.settings()).expect("settings");
    let text = text.replace("record: steward.redb", &format!("record: {name}.redb"));
    let share = format!(
        "stewards: 2\nstore: etcd\nshare: {{name: {name}, endpoints: [\"http://{store}\"], member_lease: {LEASE_S}s}}\n"
    );
    let key = dir.dir.path().join("fleet.key");
    std::fs::write(&key, "a key for the fleet of a test, long enough").expect("written");
    std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600)).expect("set");
    let fleet = view.map_or(String::new(), |(own, peer)| {
        format!(
            "fleet: {{name: {name}, listen: \"{own}\", key: fleet.key, round: 100ms, peers: [\"{peer}\"]}}\n"
        )
    });
    let path = dir.dir.path().join(format!("{name}.yaml"));
    std::fs::write(&path, text + &share + &fleet).expect("written");
    path
}

/// Returns the number of members in the store.
fn members(store: &Store) -> usize {
    let mut present = std::collections::BTreeSet::new();
    for change in store.changes().into_iter().filter(|change| change.key.starts_with("/ravenspar/member/")) {
        match change.value {
            Some(_) => present.insert(change.key),
            None => present.remove(&change.key),
        };
    }
    present.len()
}

/// Waits until the store has this number of members.
fn wait_for_members(store: &Store, count: usize) {
    let until = Instant::now() + TEST_TIMEOUT;
    while members(store) != count {
        assert!(Instant::now() < until, "not {count} members within {TEST_TIMEOUT:?}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Returns true if a steward's view shows that name as in the fleet.
fn is_in_view(file: &Path, name: &str) -> bool {
    let output = run(&["members", "--json", path(file)]);
    let view: serde_json::Value = serde_json::from_slice(&output.stdout).expect("a view");
    let members = view["members"].as_array().expect("members");
    members
        .iter()
        .any(|member| member["name"] == name && (member["state"] == "in" || member["state"] == "suspect"))
}

/// Returns the requests that a running steward makes of the store in this time: four polls a second, and a
/// renewal each fifth of its lease.
fn expected_requests(span: Duration) -> u64 {
    (span.as_secs_f64() * (4.0 + 5.0 / LEASE_S as f64)).ceil() as u64
}

/// A steward leaves in order and is stopped before the view knows: the store has nothing of it any more that
/// the other stewards could wait for, so they don't.
#[test]
fn a_steward_that_left_the_store_is_not_waited_for() {
    let dir = Dir::new(6, 2, &["a", "b"]);
    let (store, at) = store(1);
    let ports = [free_address(), free_address(), free_address()];
    let names = ["one", "two", "three"];
    let files: Vec<PathBuf> =
        (0..3).map(|n| settings(&dir, names[n], at, Some((ports[n], ports[(n + 1) % 3])))).collect();
    let stewards: Vec<Serving> = files.iter().map(|file| start(file, &[])).collect();
    wait_for_members(&store, 3);
    let started = Instant::now();
    while !files.iter().all(|file| names.iter().all(|name| is_in_view(file, name))) {
        assert!(started.elapsed() < TEST_TIMEOUT, "the stewards don't find each other");
    }
    stewards[0].signal("TERM");
    wait_for_members(&store, 2);
    stewards[0].signal("STOP");
    let (before, started) = (store.requests(), Instant::now());
    while is_in_view(&files[1], "one") || is_in_view(&files[2], "one") {
        assert!(started.elapsed() < TEST_TIMEOUT, "the view does not drop the member");
    }
    std::thread::sleep(Duration::from_secs(LEASE_S + 1));
    let (requests, took) = (store.requests() - before, started.elapsed());
    stewards[0].signal("CONT");
    println!("{requests} requests in {took:?}");
    let max_requests = 2 * 2 * expected_requests(took);
    assert!(
        requests <= max_requests,
        "{requests} requests of two stewards in {took:?}, {max_requests} are allowed"
    );
}

/// Whatever the store does, and whether or not the steward's successor is stopped, a leaving steward exits in order
/// within the stated time (`docs/design/sharing.md`), and sends no more requests than its pauses allow.
#[test]
fn a_leaving_steward_exits_within_its_bound_whatever_the_store_does() {
    let slow = |millis| Faults { slow: Duration::from_millis(millis), ..Faults::default() };
    let faults = [
        slow(300),
        slow(900),
        Faults { lose_answers: u32::MAX, ..Faults::default() },
        Faults { late: u32::MAX, late_by: Duration::from_millis(1_500), ..Faults::default() },
        Faults { away: true, ..Faults::default() },
    ];
    let cases = faults.into_iter().flat_map(|faults| [(faults.clone(), false), (faults, true)]);
    let cases_running: Vec<_> = cases
        .map(|(faults, successor_stops)| {
            std::thread::spawn(move || leave_under_faults(faults, successor_stops))
        })
        .collect();
    for case in cases_running {
        case.join().expect("the case passes");
    }
}

fn leave_under_faults(faults: Faults, successor_stops: bool) {
    /// The bounds of handing over slices and membership, and of the last call.
    const BOUND: Duration = Duration::from_secs(10 + 1);
    /// Requests for the outcomes of transactions whose answers were lost: of a store message, of lines and of
    /// a hand-over.
    const OUTCOME_REQUESTS: u64 = 3 * 13;
    let dir = Dir::new(6, 2, &["a", "b"]);
    let (store, at) = store(1);
    let (one, two) = (settings(&dir, "one", at, None), settings(&dir, "two", at, None));
    let ((mut first, _proxy), (second, _other)) = start_sharing(&one, &two);
    store.set_faults(faults.clone());
    if successor_stops {
        second.signal("STOP");
    }
    let (before, started) = (store.requests(), Instant::now());
    first.signal("TERM");
    let code = first.wait_exit().code();
    let (requests, took) = (store.requests() - before, started.elapsed());
    if successor_stops {
        second.signal("CONT");
    }
    println!("{faults:?}, successor stops: {successor_stops}: {code:?} after {took:?}, {requests} requests");
    assert_eq!(code, Some(0), "{faults:?}");
    assert!(took < BOUND, "{faults:?}: {took:?}");
    // Two stewards, each call tried twice.
    let max_requests = 2 * 2 * expected_requests(took) + OUTCOME_REQUESTS;
    assert!(
        requests <= max_requests,
        "{faults:?}: {requests} requests in {took:?}, {max_requests} are allowed"
    );
}

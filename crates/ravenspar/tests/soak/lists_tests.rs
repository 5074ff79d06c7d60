//! Tests that a drain is due from when the steward receives it, and that the stand-in delays lists as the
//! judge assumes.

use std::time::Duration;

use fastrand::Rng;
use ravenspar_standin::platform::Discovery;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::harness::TEST_TIMEOUT;
use crate::judge::Limits;
use crate::store::{Sizes, Store, Times};

const SECOND: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(10);

/// Creates a store of one steward with one slice at server 0, whose drain may take a second.
fn store() -> Store {
    let sizes = Sizes { stewards: 1, proxies: 1, slices: 1, servers: 2 };
    let limits = Limits {
        settle: SECOND,
        max_waiting_lines: sizes.max_waiting_lines(),
        messages: 20,
        window: SECOND,
        max_drain: SECOND,
        max_unserved: SECOND,
        ready: SECOND,
    };
    let mut store = Store::new(sizes, Times { lease: SECOND, settle: SECOND }, limits, Rng::with_seed(1));
    store.steward_back(0);
    store.join(0, 0);
    store
}

fn pass(store: &mut Store, from: Duration, to: Duration) {
    let mut now = from;
    while now < to {
        now += STEP;
        store.advance(now);
    }
}

#[track_caller]
fn assert_violations(store: &Store, rules: &[&str]) {
    let violations = store.judge.violations();
    assert_eq!(violations.len(), rules.len(), "{violations:?}");
    assert!(violations.iter().zip(rules).all(|(violation, rule)| violation.contains(rule)), "{violations:?}");
}

#[test]
fn a_drain_is_due_once_it_is_received() {
    let mut store = store();
    store.lists.stop_answering(0);
    store.lists.pin_list(0);
    store.lists.set(0, true);
    pass(&mut store, Duration::ZERO, 3 * SECOND);
    store.lists.resume_answering(0);
    pass(&mut store, 3 * SECOND, 6 * SECOND);
    assert_violations(&store, &[]);
    store.lists.unpin_list(0);
    pass(&mut store, 6 * SECOND, 7 * SECOND);
    assert_violations(&store, &[]);
    pass(&mut store, 7 * SECOND, 7 * SECOND + 2 * STEP);
    assert_violations(&store, &["drain"]);
}

#[test]
fn a_drain_received_before_the_silence_or_in_an_old_list_stays_due() {
    let mut received_before = store();
    received_before.lists.set(0, true);
    received_before.lists.stop_answering(0);
    pass(&mut received_before, Duration::ZERO, SECOND + 2 * STEP);
    assert_violations(&received_before, &["drain"]);
    let mut received_old = store();
    received_old.lists.stop_answering(0);
    received_old.lists.set(0, true);
    received_old.lists.pin_list(0);
    received_old.lists.resume_answering(0);
    pass(&mut received_old, Duration::ZERO, SECOND + 2 * STEP);
    assert_violations(&received_old, &["drain"]);
}

#[test]
fn an_unserved_slice_waits_for_the_first_list_of_a_process_and_no_longer() {
    let mut store = store();
    store.carry_out(0, &[serde_json::json!({"verb": "clear", "cluster": 0})]);
    store.lists.stop_answering(0);
    store.lists.process_starts(0);
    pass(&mut store, Duration::ZERO, 3 * SECOND);
    assert_violations(&store, &[]);
    store.lists.resume_answering(0);
    pass(&mut store, 3 * SECOND, 4 * SECOND + 2 * STEP);
    assert_violations(&store, &["lost"]);
}

async fn request(discovery: &Discovery, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(discovery.address).await.expect("it listens");
    let request = format!("GET {path} HTTP/1.1\r\nhost: discovery\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.expect("the request is sent");
    stream
}

/// Returns the version of the answer, and the hosts that drain by it.
async fn read_list(mut stream: TcpStream) -> (u64, Vec<String>) {
    let mut answer = String::new();
    timeout(TEST_TIMEOUT, stream.read_to_string(&mut answer)).await.expect("in time").expect("an answer");
    let (_, body) = answer.split_once("\r\n\r\n").expect("a body");
    let list: Value = serde_json::from_str(body).expect("JSON");
    let hosts = list["instances"].as_array().expect("hosts").iter();
    let leaving = hosts.filter(|host| host["lifecycle"] == "leaving");
    let leaving = leaving.filter_map(|host| host["instanceId"].as_str().map(str::to_owned)).collect();
    (list["generation"].as_u64().expect("a version"), leaving)
}

#[tokio::test]
async fn discovery_is_silent_then_sends_an_old_list_and_then_the_newest() {
    const FULL_LIST: &str = "/discovery/hosts";
    const WATCH: &str = "/discovery/hosts?since=1&timeout_ms=10";
    let discovery = Discovery::start(&["s0", "s1"]).await.expect("an address");
    discovery.stop_answering();
    let (mut full, mut watch) = (request(&discovery, FULL_LIST).await, request(&discovery, WATCH).await);
    discovery.wait_for_calls(2).await;
    discovery.set("s0", "leaving");
    discovery.pin_list();
    discovery.set("s1", "leaving");
    for stream in [&mut full, &mut watch] {
        assert!(timeout(Duration::from_millis(50), stream.read_u8()).await.is_err(), "no answer arrives");
    }
    discovery.resume_answering();
    let old = (2, vec!["s0".to_owned()]);
    assert_eq!((read_list(full).await, read_list(watch).await), (old.clone(), old));
    let later = request(&discovery, "/discovery/hosts?since=2&timeout_ms=20000").await;
    discovery.wait_for_calls(3).await;
    discovery.unpin_list();
    assert_eq!(read_list(later).await, (3, vec!["s1".to_owned()]));
}

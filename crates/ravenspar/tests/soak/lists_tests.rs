//! Drains are owed from when a steward is told of them, and no sooner; and the stand-in tells lists as late as the judge has it.

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

/// One steward with one slice at server 0, a drain of which may be owed for a second.
fn store() -> Store {
    let sizes = Sizes { stewards: 1, proxies: 1, slices: 1, servers: 2 };
    let limits = Limits {
        settle: SECOND,
        waiting: sizes.waiting(),
        messages: 20,
        window: SECOND,
        owed: SECOND,
        unserved: SECOND,
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
fn assert_broken(store: &Store, rules: &[&str]) {
    let breaks = store.judge.breaks();
    assert_eq!(breaks.len(), rules.len(), "{breaks:?}");
    assert!(breaks.iter().zip(rules).all(|(broken, rule)| broken.contains(rule)), "{breaks:?}");
}

#[test]
fn a_drain_is_owed_from_when_it_is_told() {
    let mut store = store();
    store.lists.fall_silent(0);
    store.lists.hold_back(0);
    store.lists.set(0, true);
    pass(&mut store, Duration::ZERO, 3 * SECOND);
    store.lists.speak(0);
    pass(&mut store, 3 * SECOND, 6 * SECOND);
    assert_broken(&store, &[]);
    store.lists.catch_up(0);
    pass(&mut store, 6 * SECOND, 7 * SECOND);
    assert_broken(&store, &[]);
    pass(&mut store, 7 * SECOND, 7 * SECOND + 2 * STEP);
    assert_broken(&store, &["drain"]);
}

#[test]
fn a_drain_that_was_told_before_stays_owed_in_the_silence_and_so_does_that_of_an_old_list() {
    let mut told_before = store();
    told_before.lists.set(0, true);
    told_before.lists.fall_silent(0);
    pass(&mut told_before, Duration::ZERO, SECOND + 2 * STEP);
    assert_broken(&told_before, &["drain"]);
    let mut told_old = store();
    told_old.lists.fall_silent(0);
    told_old.lists.set(0, true);
    told_old.lists.hold_back(0);
    told_old.lists.speak(0);
    pass(&mut told_old, Duration::ZERO, SECOND + 2 * STEP);
    assert_broken(&told_old, &["drain"]);
}

#[test]
fn a_slice_without_a_server_waits_for_the_first_list_of_a_process_and_no_longer() {
    let mut store = store();
    store.carry_out(0, &[serde_json::json!({"verb": "clear", "cluster": 0})]);
    store.lists.fall_silent(0);
    store.lists.process_starts(0);
    pass(&mut store, Duration::ZERO, 3 * SECOND);
    assert_broken(&store, &[]);
    store.lists.speak(0);
    pass(&mut store, 3 * SECOND, 4 * SECOND + 2 * STEP);
    assert_broken(&store, &["lost"]);
}

async fn ask(discovery: &Discovery, path: &str) -> TcpStream {
    let mut asking = TcpStream::connect(discovery.address).await.expect("it listens");
    let request = format!("GET {path} HTTP/1.1\r\nhost: discovery\r\nconnection: close\r\n\r\n");
    asking.write_all(request.as_bytes()).await.expect("taken in");
    asking
}

/// The version that is answered, and the hosts that drain by it.
async fn answered(mut asking: TcpStream) -> (u64, Vec<String>) {
    let mut answer = String::new();
    timeout(TEST_TIMEOUT, asking.read_to_string(&mut answer)).await.expect("in time").expect("an answer");
    let (_, body) = answer.split_once("\r\n\r\n").expect("a body");
    let list: Value = serde_json::from_str(body).expect("JSON");
    let hosts = list["instances"].as_array().expect("hosts").iter();
    let leaving = hosts.filter(|host| host["lifecycle"] == "leaving");
    let leaving = leaving.filter_map(|host| host["instanceId"].as_str().map(str::to_owned)).collect();
    (list["generation"].as_u64().expect("a version"), leaving)
}

#[tokio::test]
async fn discovery_is_silent_then_tells_an_old_list_and_then_the_newest() {
    const WHOLE: &str = "/discovery/hosts";
    const WATCH: &str = "/discovery/hosts?since=1&timeout_ms=10";
    let discovery = Discovery::start(&["s0", "s1"]).await.expect("an address");
    discovery.fall_silent();
    let (mut whole, mut watch) = (ask(&discovery, WHOLE).await, ask(&discovery, WATCH).await);
    discovery.until_called(2).await;
    discovery.set("s0", "leaving");
    discovery.hold_back();
    discovery.set("s1", "leaving");
    for asking in [&mut whole, &mut watch] {
        assert!(timeout(Duration::from_millis(50), asking.read_u8()).await.is_err(), "it says nothing");
    }
    discovery.speak();
    let old = (2, vec!["s0".to_owned()]);
    assert_eq!((answered(whole).await, answered(watch).await), (old.clone(), old));
    let later = ask(&discovery, "/discovery/hosts?since=2&timeout_ms=20000").await;
    discovery.until_called(3).await;
    discovery.catch_up();
    assert_eq!(answered(later).await, (3, vec!["s1".to_owned()]));
}

//! Tests of work for the whole fleet as the program shows it; the lab's days have its hard cases.

mod common;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Instant;

use common::*;
use ravenspar_standin::store::Store;

fn settings(dir: &Dir, name: &str, store: SocketAddr, more: &str) -> PathBuf {
    let text = std::fs::read_to_string(dir.settings()).expect("settings");
    let text = text.replace("record: steward.redb", &format!("record: {name}.redb"));
    let share = format!(
        "stewards: 2\nstore: etcd\nshare: {{name: {name}, endpoints: [\"http://{store}\"], member_lease: 2s}}\n{more}"
    );
    let path = dir.dir.path().join(format!("{name}.yaml"));
    std::fs::write(&path, text + &share).expect("the settings are written");
    path
}

const JOBS: &str = "jobs: {listen: \"127.0.0.1:0\", lease: 2s}\ndebts: {half_life: 1m, epoch: 200ms}\n";

fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "not within {TEST_TIMEOUT:?}: {what}");
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
}

/// Returns the owners of a duty in their order, `None` for the times without one.
fn owners(store: &Store, duty: &str) -> Vec<Option<String>> {
    let key = format!("/ravenspar/duty/{duty}");
    store.changes().into_iter().filter(|change| change.key == key).map(|change| change.value).collect()
}

#[test]
fn duties_are_shared_shown_and_handed_over_by_a_steward_that_exits() {
    let dir = Dir::new(4, 1, &["a"]);
    let (store, at) = store(1);
    let (one, two) = (settings(&dir, "one", at, JOBS), settings(&dir, "two", at, JOBS));
    let mut first = start(&one, &[]);
    wait_for("one has both duties", || {
        owners(&store, "jobs").len() == 1 && owners(&store, "debts").len() == 1
    });
    let second = start(&two, &[]);
    // Each has one in the end: the first hands one over once it has differed from the assignment for some
    // seconds.
    wait_for("one duty is handed over", || owners(&store, "jobs").len() + owners(&store, "debts").len() == 3);
    let output = run(&["members", "--json", path(&two)]);
    let view: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let shown: Vec<&str> =
        view["duties"].as_array().expect("duties").iter().filter_map(|duty| duty["owner"].as_str()).collect();
    assert!(shown.contains(&"one") && shown.contains(&"two"), "{view}");
    first.signal("TERM");
    assert_eq!(first.wait_exit().code(), Some(0));
    wait_for("the other has both", || {
        let last = |duty| owners(&store, duty).last().cloned().flatten();
        last("jobs").is_some() && last("jobs") == last("debts")
    });
    for duty in ["jobs", "debts"] {
        assert!(
            owners(&store, duty).iter().all(Option::is_some),
            "{duty} was without an owner: {:?}",
            owners(&store, duty)
        );
    }
    drop(second);
}

/// The ranking is published each epoch though nothing is used.
#[test]
fn epochs_go_on_under_the_owners_term() {
    let dir = Dir::new(4, 1, &["a"]);
    let (store, at) = store(1);
    let one = settings(&dir, "one", at, JOBS);
    let _first = start(&one, &[]);
    let epoch = || {
        let (row, _) = store.get(b"/ravenspar/ranking")?;
        let row: serde_json::Value = serde_json::from_slice(&row).expect("JSON");
        Some((row["epoch"].as_u64()?, row["term"].as_u64()?))
    };
    wait_for("the third epoch", || epoch().is_some_and(|(epoch, _)| epoch >= 3));
    let (_, term) = store.get(b"/ravenspar/duty/debts").expect("an owner");
    assert_eq!(epoch().map(|(_, of)| of), Some(term as u64));
}

#[test]
fn invalid_work_settings_are_reported_with_their_place() {
    let dir = Dir::new(4, 1, &["a"]);
    let at: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    for (more, expected) in [
        ("jobs: {lease: 3s}\n", "jobs.listen: : expected an address and a port"),
        ("jobs: {listen: nowhere}\n", "jobs.listen: nowhere: expected an address and a port"),
        ("jobs: {listen: \"127.0.0.1:0\", lease: 1500ms}\n", "jobs.lease: 1.5s: expected whole seconds"),
        ("jobs: {listen: \"127.0.0.1:0\", attempts: 0}\n", "expected a whole number from 1"),
        ("jobs: {listen: \"127.0.0.1:0\", sites: many}\n", "expected a whole number"),
        ("debts: {half_life: 1h}\n", "debts: expected jobs"),
        ("jobs: {listen: \"127.0.0.1:0\"}\ndebts: {half_life: 1s}\n", "a half-life of one epoch or more"),
        (
            "jobs: {listen: \"127.0.0.1:0\"}\ndebts: {half_life: 1h, users: [\"lender\"]}\n",
            "debts.users: lender: expected a name and its weight",
        ),
        ("jobs: {listen: \"127.0.0.1:0\", wings: 2}\n", "jobs.wings"),
    ] {
        let output = run(&["check", path(&settings(&dir, "bad", at, more))]);
        assert_eq!(output.status.code(), Some(2), "{more}");
        let text = stderr(&output);
        assert!(text.contains(expected), "{more}: {text}");
        assert!(text.lines().any(|line| line.contains(".yaml:")), "{text}");
    }
    let alone = dir.dir.path().join("alone.yaml");
    let text = std::fs::read_to_string(dir.settings()).expect("settings");
    std::fs::write(&alone, text + JOBS).expect("the settings are written");
    assert!(stderr(&run(&["check", path(&alone)])).contains("jobs: expected store: etcd"));
}

/// Malformed input on the agents' port ends its own stream and nothing else.
#[test]
fn no_bytes_on_the_agents_port_stop_the_steward() {
    use std::io::{BufRead as _, Read as _, Write as _};
    let dir = Dir::new(4, 1, &["a"]);
    let (store, at) = store(1);
    let one = settings(&dir, "one", at, JOBS);
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_ravenspar"));
    command.args(["--log", "warn", "serve"]).arg(&one).stdout(std::process::Stdio::piped());
    let mut child = command.spawn().expect("the process starts");
    let mut lines =
        std::io::BufReader::new(child.stdout.take().expect("output")).lines().map_while(Result::ok);
    let address =
        lines.next().and_then(|line| line.strip_prefix("listening on ")?.parse().ok()).expect("an address");
    let mut serving = Serving { address, child };
    let agents: SocketAddr =
        lines.next().and_then(|line| line.strip_prefix("agents at ")?.parse().ok()).expect("an address");
    wait_for("an owner", || !owners(&store, "jobs").is_empty());
    let mut rng = fastrand::Rng::with_seed(7);
    for kind in 0..64u8 {
        let mut socket = std::net::TcpStream::connect(agents).expect("the port accepts connections");
        let length = rng.usize(1..200);
        let mut body: Vec<u8> = std::iter::repeat_with(|| rng.u8(..)).take(length).collect();
        body[0] = kind % 24;
        let _ = socket.write_all(&(body.len() as u32).to_be_bytes()).and_then(|()| socket.write_all(&body));
        let _ = socket.write_all(&u32::MAX.to_be_bytes());
        let _ = socket.set_read_timeout(Some(TEST_TIMEOUT));
        // The steward ends the stream, with a reason or without.
        let mut rest = Vec::new();
        let _ = socket.read_to_end(&mut rest);
    }
    let before = store.requests();
    wait_for("the steward goes on", || store.requests() > before + 20);
    assert!(serving.child.try_wait().expect("a status").is_none());
    assert_eq!(owners(&store, "jobs").len(), 1, "the incarnation has not changed");
}

//! Work for the whole fleet as the program shows it; its hard cases are days of the lab.

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
    std::fs::write(&path, text + &share).expect("written");
    path
}

const JOBS: &str = "jobs: {listen: \"127.0.0.1:0\", lease: 2s}\ndebts: {half_life: 1m, epoch: 200ms}\n";

fn wait(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "not within {PATIENCE:?}: {what}");
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
}

/// The owners of a duty, one after the other; none while it has none.
fn owners(store: &Store, duty: &str) -> Vec<Option<String>> {
    let key = format!("/ravenspar/duty/{duty}");
    store.changes().into_iter().filter(|change| change.key == key).map(|change| change.value).collect()
}

#[test]
fn duties_are_shared_shown_and_given_by_one_that_ends() {
    let dir = Dir::new(4, 1, &["a"]);
    let (store, at) = store(1);
    let (one, two) = (settings(&dir, "one", at, JOBS), settings(&dir, "two", at, JOBS));
    let mut first = start(&one, &[]);
    wait("one has both duties", || owners(&store, "jobs").len() == 1 && owners(&store, "debts").len() == 1);
    let second = start(&two, &[]);
    // Each has one in the end: the first gives one away once it has stood apart from the deal for some seconds.
    wait("one duty is given", || owners(&store, "jobs").len() + owners(&store, "debts").len() == 3);
    let output = run(&["members", "--json", path(&two)]);
    let said: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let shown: Vec<&str> =
        said["duties"].as_array().expect("duties").iter().filter_map(|duty| duty["owner"].as_str()).collect();
    assert!(shown.contains(&"one") && shown.contains(&"two"), "{said}");
    first.signal("TERM");
    assert_eq!(first.ended().code(), Some(0));
    wait("the other has both", || {
        let last = |duty| owners(&store, duty).last().cloned().flatten();
        last("jobs").is_some() && last("jobs") == last("debts")
    });
    for duty in ["jobs", "debts"] {
        assert!(
            owners(&store, duty).iter().all(Option::is_some),
            "{duty} was nobody's: {:?}",
            owners(&store, duty)
        );
    }
    drop(second);
}

/// The ranking is published by epochs though nothing is used.
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
    wait("the third epoch", || epoch().is_some_and(|(epoch, _)| epoch >= 3));
    let (_, term) = store.get(b"/ravenspar/duty/debts").expect("an owner");
    assert_eq!(epoch().map(|(_, of)| of), Some(term as u64));
}

#[test]
fn settings_of_work_for_the_fleet_are_refused_with_their_place() {
    let dir = Dir::new(4, 1, &["a"]);
    let at: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    for (more, said) in [
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
        assert!(text.contains(said), "{more}: {text}");
        assert!(text.lines().any(|line| line.contains(".yaml:")), "{text}");
    }
    let alone = dir.dir.path().join("alone.yaml");
    let text = std::fs::read_to_string(dir.settings()).expect("settings");
    std::fs::write(&alone, text + JOBS).expect("written");
    assert!(stderr(&run(&["check", path(&alone)])).contains("jobs: expected store: etcd"));
}

/// Whatever comes to the agents' port ends its own stream and nothing else.
#[test]
fn no_bytes_on_the_agents_port_stop_it() {
    use std::io::{BufRead as _, Read as _, Write as _};
    let dir = Dir::new(4, 1, &["a"]);
    let (store, at) = store(1);
    let one = settings(&dir, "one", at, JOBS);
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_ravenspar"));
    command.args(["--log", "warn", "serve"]).arg(&one).stdout(std::process::Stdio::piped());
    let mut child = command.spawn().expect("it starts");
    let mut lines =
        std::io::BufReader::new(child.stdout.take().expect("output")).lines().map_while(Result::ok);
    let address =
        lines.next().and_then(|line| line.strip_prefix("listening on ")?.parse().ok()).expect("an address");
    let mut serving = Serving { address, child };
    let agents: SocketAddr =
        lines.next().and_then(|line| line.strip_prefix("agents at ")?.parse().ok()).expect("an address");
    wait("an owner", || !owners(&store, "jobs").is_empty());
    let mut chance = fastrand::Rng::with_seed(7);
    for kind in 0..64u8 {
        let mut socket = std::net::TcpStream::connect(agents).expect("it listens");
        let length = chance.usize(1..200);
        let mut body: Vec<u8> = std::iter::repeat_with(|| chance.u8(..)).take(length).collect();
        body[0] = kind % 24;
        let _ = socket.write_all(&(body.len() as u32).to_be_bytes()).and_then(|()| socket.write_all(&body));
        let _ = socket.write_all(&u32::MAX.to_be_bytes());
        let _ = socket.set_read_timeout(Some(PATIENCE));
        // It ends the stream, with a reason or without.
        let mut rest = Vec::new();
        let _ = socket.read_to_end(&mut rest);
    }
    let before = store.requests();
    wait("it goes on", || store.requests() > before + 20);
    assert!(serving.child.try_wait().expect("a status").is_none());
    assert_eq!(owners(&store, "jobs").len(), 1, "the same life goes on");
}

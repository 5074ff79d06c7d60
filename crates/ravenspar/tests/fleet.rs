//! Tests of the view of the fleet as kept by processes of the program, with no store.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt as _;
use std::time::{Duration, Instant};

use common::{run, Dir, Serving, TEST_TIMEOUT};

/// A steward with its settings, and its process while it runs.
struct Steward {
    dir: Dir,
    name: String,
    address: SocketAddr,
    serving: Option<Serving>,
}

/// Returns a port that was free a moment ago; the steward binds it at once.
fn free_address() -> SocketAddr {
    std::net::UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).expect("a port")
}

impl Steward {
    fn new(n: usize, peers: &[SocketAddr]) -> Steward {
        let steward = Steward {
            dir: Dir::new(2, 1, &["A"]),
            name: format!("s{n}"),
            address: free_address(),
            serving: None,
        };
        let key = steward.dir.dir.path().join("fleet.key");
        std::fs::write(&key, "a key for the fleet of a test, long enough").expect("written");
        std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600)).expect("set");
        let base = std::fs::read_to_string(steward.dir.settings()).expect("settings");
        let peers: Vec<String> = peers.iter().map(|at| format!("\"{at}\"")).collect();
        let fleet = format!(
            "fleet: {{name: {}, listen: \"{}\", key: fleet.key, round: 100ms, peers: [{}]}}\n",
            steward.name,
            steward.address,
            peers.join(", ")
        );
        std::fs::write(steward.dir.settings(), base + &fleet).expect("written");
        steward
    }

    fn start(&mut self) {
        self.serving = Some(self.dir.serve(&[]));
    }

    fn kill(&mut self) {
        self.serving = None;
    }

    fn view(&self) -> Option<serde_json::Value> {
        let output = run(&["members", "--json", self.dir.settings().to_str().expect("a path")]);
        serde_json::from_slice(&output.stdout).ok()
    }

    /// Returns the names of the members that its view shows, with their incarnations.
    fn names(&self) -> BTreeMap<String, u64> {
        let view = self.view().unwrap_or_default();
        let members = view["members"].as_array().cloned().unwrap_or_default();
        let shown = members
            .iter()
            .filter(|member| ["in", "suspect"].contains(&member["state"].as_str().unwrap_or("")));
        shown
            .map(|member| {
                (member["name"].as_str().unwrap_or("").to_owned(), member["life"].as_u64().unwrap_or(0))
            })
            .collect()
    }
}

/// Prepares stewards of which the first is the seed of the others.
fn fleet(count: usize) -> Vec<Steward> {
    let mut stewards: Vec<Steward> = Vec::new();
    // Nothing listens at the first address.
    let mut peers = vec![free_address()];
    for n in 0..count {
        stewards.push(Steward::new(n, &peers));
        if n == 0 {
            peers.push(stewards[0].address);
        }
    }
    stewards
}

/// Waits until the views of all running stewards show exactly the running ones, are the same, and are
/// settled.
fn wait_settled(stewards: &[Steward]) {
    let running: Vec<&Steward> = stewards.iter().filter(|steward| steward.serving.is_some()).collect();
    let names: Vec<String> = running.iter().map(|steward| steward.name.clone()).collect();
    let until = Instant::now() + TEST_TIMEOUT;
    loop {
        let views: Vec<_> = running.iter().filter_map(|steward| steward.view()).collect();
        let shown: Vec<_> = running.iter().map(|steward| steward.names()).collect();
        let same = shown.iter().all(|names| *names == shown[0]);
        let wait_settled = views.len() == running.len()
            && views.iter().all(|view| view["settled"] == true && view["digest"] == views[0]["digest"]);
        if same && wait_settled && shown[0].keys().cloned().collect::<Vec<_>>() == names {
            return;
        }
        assert!(Instant::now() < until, "{names:?}: {shown:?}, {views:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn stewards_find_each_other_and_settle_again_after_crashes_leaves_and_stops() {
    let mut stewards = fleet(5);
    stewards.iter_mut().for_each(Steward::start);
    wait_settled(&stewards);
    let before = stewards[0].names();
    // A crash.
    stewards[3].kill();
    wait_settled(&stewards);
    // A restart under the same name and address is a later incarnation.
    stewards[3].start();
    wait_settled(&stewards);
    let after = stewards[0].names();
    assert!(after["s3"] > before["s3"], "{before:?} {after:?}");
    assert_eq!(after["s1"], before["s1"]);
    // A steward that leaves in order is shown as left and never suspected.
    let serving = stewards[4].serving.as_mut().expect("the process is running");
    serving.signal("TERM");
    assert!(serving.wait_exit().success());
    stewards[4].kill();
    wait_settled(&stewards);
    let view = stewards[0].view().expect("a view");
    let left = view["members"].as_array().expect("members").iter().find(|member| member["name"] == "s4");
    assert_eq!(left.expect("the member is remembered")["state"], "left");
    // A stopped steward is dropped, and returns as another incarnation without having dropped any member.
    stewards[1].serving.as_ref().expect("the process is running").signal("STOP");
    let until = Instant::now() + TEST_TIMEOUT;
    while stewards[0].names().contains_key("s1") {
        assert!(Instant::now() < until, "{:?}", stewards[0].view());
    }
    let members_before = stewards[0].names();
    stewards[1].serving.as_ref().expect("the process is running").signal("CONT");
    wait_settled(&stewards);
    let after = stewards[2].names();
    assert!(after["s1"] > before["s1"]);
    assert_eq!(
        (after["s0"], after["s2"], after["s3"]),
        (members_before["s0"], members_before["s2"], members_before["s3"])
    );
    // The seed crashes, and the other stewards with it: all restart at once.
    stewards.iter_mut().for_each(Steward::kill);
    stewards.iter_mut().for_each(Steward::start);
    wait_settled(&stewards);
}

#[test]
fn invalid_fleet_settings_exit_with_code_two_and_name_their_place() {
    let dir = Dir::new(2, 1, &["A"]);
    let base = std::fs::read_to_string(dir.settings()).expect("settings");
    let line = base.lines().count() + 1;
    for (fleet, expected) in [
        ("fleet: {name: a, listen: here, key: k}", format!(":{line}:26: fleet.listen: here: expected an address")),
        ("fleet: {name: a, listen: \"127.0.0.1:7946\"}", format!(":{line}:1: fleet.key: missing")),
        ("fleet: {listen: \"127.0.0.1:7946\", key: k}", format!(":{line}:1: fleet.name: missing")),
        (
            "fleet: {name: a, listen: \"127.0.0.1:7946\", key: k, peers: [\"127.0.0.1:7946\", \"127.0.0.1\"]}",
            format!(":{line}:78: fleet.peers: 127.0.0.1: expected an address"),
        ),
        ("fleet: {name: a, listen: \"127.0.0.1:7946\", key: k, round: 1ms}", "fleet.round: expected".to_owned()),
        (
            "fleet: {name: a, listen: \"0.0.0.0:7946\", key: k}",
            format!(":{line}:1: fleet.address: missing, expected where others reach 0.0.0.0:7946"),
        ),
        ("fleet: {name: a, listen: \"127.0.0.1:7946\", key: k, port: 1}", "fleet.port: unknown setting".to_owned()),
    ] {
        std::fs::write(dir.settings(), format!("{base}{fleet}\n")).expect("written");
        let output = run(&["check", dir.settings().to_str().expect("a path")]);
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{stderr}");
        assert!(stderr.contains(&expected), "{stderr} without {expected}");
    }
    // A missing key file is reported at the start.
    std::fs::write(
        dir.settings(),
        format!("{base}fleet: {{name: a, listen: \"{}\", key: k}}\n", free_address()),
    )
    .expect("written");
    let output = run(&["serve", dir.settings().to_str().expect("a path")]);
    assert_eq!(output.status.code(), Some(2), "{}", String::from_utf8_lossy(&output.stderr));
}

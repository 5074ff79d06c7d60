//! The view of the fleet, kept by processes of the program among themselves, with no store.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt as _;
use std::time::{Duration, Instant};

use common::{run, Dir, Serving, PATIENCE};

struct Steward {
    dir: Dir,
    name: String,
    address: SocketAddr,
    serving: Option<Serving>,
}

/// A port that the system has just found free; the steward binds it at once.
fn free() -> SocketAddr {
    std::net::UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).expect("a port")
}

impl Steward {
    fn new(n: usize, peers: &[SocketAddr]) -> Steward {
        let steward =
            Steward { dir: Dir::new(2, 1, &["A"]), name: format!("s{n}"), address: free(), serving: None };
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

    /// Names that its view shows, with their lives.
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

fn fleet(count: usize) -> Vec<Steward> {
    let mut stewards: Vec<Steward> = Vec::new();
    // The first address is nobody's.
    let mut peers = vec![free()];
    for n in 0..count {
        stewards.push(Steward::new(n, &peers));
        if n == 0 {
            peers.push(stewards[0].address);
        }
    }
    stewards
}

/// Waits until all that run show just each other, in one view, and say that they settled.
fn settled(stewards: &[Steward]) {
    let running: Vec<&Steward> = stewards.iter().filter(|steward| steward.serving.is_some()).collect();
    let names: Vec<String> = running.iter().map(|steward| steward.name.clone()).collect();
    let until = Instant::now() + PATIENCE;
    loop {
        let views: Vec<_> = running.iter().filter_map(|steward| steward.view()).collect();
        let shown: Vec<_> = running.iter().map(|steward| steward.names()).collect();
        let same = shown.iter().all(|names| *names == shown[0]);
        let settled = views.len() == running.len()
            && views.iter().all(|view| view["settled"] == true && view["digest"] == views[0]["digest"]);
        if same && settled && shown[0].keys().cloned().collect::<Vec<_>>() == names {
            return;
        }
        assert!(Instant::now() < until, "{names:?}: {shown:?}, {views:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn stewards_find_each_other_see_crashes_leaving_and_standstills_and_settle_again() {
    let mut stewards = fleet(5);
    stewards.iter_mut().for_each(Steward::start);
    settled(&stewards);
    let life = stewards[0].names();
    // A crash.
    stewards[3].kill();
    settled(&stewards);
    // A restart under the same name and address is a later life.
    stewards[3].start();
    settled(&stewards);
    let after = stewards[0].names();
    assert!(after["s3"] > life["s3"], "{life:?} {after:?}");
    assert_eq!(after["s1"], life["s1"]);
    // One that leaves in order is shown as left, and nobody suspected it.
    let serving = stewards[4].serving.as_mut().expect("it runs");
    serving.signal("TERM");
    assert!(serving.ended().success());
    stewards[4].kill();
    settled(&stewards);
    let view = stewards[0].view().expect("a view");
    let left = view["members"].as_array().expect("members").iter().find(|member| member["name"] == "s4");
    assert_eq!(left.expect("it is remembered")["state"], "left");
    // One that stands still is dropped, and comes back as another life without having dropped anybody.
    stewards[1].serving.as_ref().expect("it runs").signal("STOP");
    let until = Instant::now() + PATIENCE;
    while stewards[0].names().contains_key("s1") {
        assert!(Instant::now() < until, "{:?}", stewards[0].view());
    }
    let others = stewards[0].names();
    stewards[1].serving.as_ref().expect("it runs").signal("CONT");
    settled(&stewards);
    let after = stewards[2].names();
    assert!(after["s1"] > life["s1"]);
    assert_eq!((after["s0"], after["s2"], after["s3"]), (others["s0"], others["s2"], others["s3"]));
    // The seed crashes, and the others with it: all start over at once.
    stewards.iter_mut().for_each(Steward::kill);
    stewards.iter_mut().for_each(Steward::start);
    settled(&stewards);
}

#[test]
fn bad_settings_of_the_fleet_are_an_exit_code_of_two_with_their_place() {
    let dir = Dir::new(2, 1, &["A"]);
    let base = std::fs::read_to_string(dir.settings()).expect("settings");
    let line = base.lines().count() + 1;
    for (fleet, said) in [
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
        let told = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{told}");
        assert!(told.contains(&said), "{told} without {said}");
    }
    // A key that is not there is found at the start.
    std::fs::write(dir.settings(), format!("{base}fleet: {{name: a, listen: \"{}\", key: k}}\n", free()))
        .expect("written");
    let output = run(&["serve", dir.settings().to_str().expect("a path")]);
    assert_eq!(output.status.code(), Some(2), "{}", String::from_utf8_lossy(&output.stderr));
}

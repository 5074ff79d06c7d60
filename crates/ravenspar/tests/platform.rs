//! The platform front as a process, against the stand-ins of relay and discovery.

use std::path::PathBuf;
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use ravenspar_standin::platform::{Discovery, Fault, Relay, Said};
use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, ChildStderr, Command};
use tokio::time::timeout;

/// Long enough for a busy machine; a test that waits this long has failed.
const PATIENCE: Duration = Duration::from_secs(60);

struct Steward {
    child: Child,
    log: tokio::io::Lines<BufReader<ChildStderr>>,
    address: String,
    config: PathBuf,
    _dir: tempfile::TempDir,
}

/// A configuration of two slices and two proxies, quick enough for tests.
fn config(relay: &Relay, discovery: &Discovery) -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.address.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "relay": {"address": relay.address.to_string()},
        "known": {"generation": 0, "reset": true, "instances": []},
        "settings": {
            "azs": ["a", "b"], "discovery": "pushed",
            "classes": [{"name": "lookup", "worth": 1.0}, {"name": "write", "worth": 2.0}],
            "family_info": {
                "ranges": 2, "proxy_count": 2, "write_lease_s": 0.3, "settle_s": 0.2, "channel_rate": 3000.0,
                "pending_max": 6000.0, "fixed_cost": 12.0, "pushes_allowed": 0, "update_window_s": 1.0,
                "cycle_s": 0.5, "mutating": [false, true], "admit": "ratio",
            },
            "safety": {"cold_from": 0.2, "cold_s": 1.0, "fall_multiple": 2.5},
        },
    })
}

/// `run` of the deploy file, with the program that is tested.
fn run_line() -> String {
    let deploy = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/balancer.toml");
    let deploy = std::fs::read_to_string(deploy).expect("a deploy file");
    let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
    let (built, program) = ("target/release/ravenspar", env!("CARGO_BIN_EXE_ravenspar"));
    let run = run.filter(|run| run.contains(built)).expect("a line `run` that names the program");
    run.replace(built, program)
}

impl Steward {
    async fn start(config: &Value) -> Steward {
        let dir = tempfile::tempdir().expect("a folder");
        let path = dir.path().join("config.json");
        std::fs::write(&path, config.to_string()).expect("written");
        // As the deploy file says, and with as many descriptors as the configuration says.
        let limited = format!("ulimit -n {}; {}", config["limits"]["sockets"], run_line());
        let mut child = Command::new("/bin/sh")
            .args(["-c", &limited])
            .env("RELAY_CONFIG", &path)
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .expect("it starts");
        let log = BufReader::new(child.stderr.take().expect("a log")).lines();
        let mut steward = Steward { child, log, address: String::new(), config: path, _dir: dir };
        let line = steward.logged("serving").await;
        let listen = line.split(' ').find_map(|word| word.strip_prefix("listen="));
        steward.address = listen.expect("it says where it listens").to_owned();
        steward
    }

    /// The next line of the log that has these words.
    async fn logged(&mut self, words: &str) -> String {
        loop {
            let line = timeout(PATIENCE, self.log.next_line()).await.expect("in time");
            let line = line.expect("a log that can be read").expect("the line comes before the end");
            if line.contains(words) {
                return line;
            }
        }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(&self.address).await.expect("it listens")
    }

    async fn signal(&self, name: &str) {
        let id = self.child.id().expect("it runs").to_string();
        let sent = Command::new("kill").args([name, &id]).status().await.expect("kill runs");
        assert!(sent.success());
    }

    async fn ended(&mut self) -> ExitStatus {
        timeout(PATIENCE, self.child.wait()).await.expect("in time").expect("it ended")
    }
}

fn frame(body: &str) -> Vec<u8> {
    [&(body.len() as u32).to_le_bytes(), body.as_bytes()].concat()
}

/// The next frame's body; `None` where the connection is at its end.
async fn heard(stream: &mut TcpStream) -> Option<String> {
    let read = async {
        let length = stream.read_u32_le().await.ok()?;
        let mut body = vec![0; length as usize];
        stream.read_exact(&mut body).await.ok()?;
        String::from_utf8(body).ok()
    };
    timeout(PATIENCE, read).await.expect("in time")
}

/// Whether the connection is closed, with whatever was said before.
async fn closed(stream: &mut TcpStream) -> bool {
    let mut rest = Vec::new();
    timeout(PATIENCE, stream.read_to_end(&mut rest)).await.is_ok()
}

async fn alive(stream: &mut TcpStream) -> bool {
    let sent = stream.write_all(&frame(r#"{"msg":"PING"}"#)).await;
    sent.is_ok() && heard(stream).await.as_deref() == Some(r#"{"msg":"PONG"}"#)
}

async fn until(relay: &Relay, so: impl Fn(&Said) -> bool) {
    timeout(PATIENCE, relay.until(so)).await.expect("the store comes to it in time");
}

fn all_at(said: &Said, host: &str) -> bool {
    said.rows.values().all(|row| row.as_ref().is_some_and(|(owner, weight)| owner == host && *weight == 1.0))
}

/// No slice goes to another host but by way of no host at all, and calls come in their order.
fn kept_the_way(said: &Said) {
    let mut rows = std::collections::BTreeMap::new();
    for order in &said.orders {
        let slice = order["cluster"].as_u64();
        match order["verb"].as_str() {
            Some("clear") => drop(rows.insert(slice, None)),
            Some("share") => {
                let owner = order["target"].as_str().map(str::to_owned);
                let before = rows.insert(slice, owner.clone());
                assert!(before == Some(None) || before == Some(owner), "{:?}", said.orders);
            }
            _ => {}
        }
    }
}

#[tokio::test]
async fn a_drain_moves_all_slices_whatever_befalls_the_calls_and_the_news() {
    let relay = Relay::start(2, "A", 2).await.expect("a relay");
    let discovery = Discovery::start(&["A", "B"]).await.expect("discovery");
    let mut steward = Steward::start(&config(&relay, &discovery)).await;
    assert!(alive(&mut steward.connect().await).await);
    until(&relay, |said| said.subscriptions == 1).await;
    use Fault::{Broken, Lost, Spoilt, Throttled, Unanswered};
    relay.befall(&[Throttled, Unanswered, Lost, Broken, Spoilt, Throttled, Lost]);
    discovery.set("A", "leaving");
    until(&relay, |said| said.orders.iter().any(|order| order["verb"] == "clear")).await;
    relay.cut();
    until(&relay, |said| all_at(said, "B")).await;
    relay.with(|said| kept_the_way(said));
    // And back, with the answers to the first mark lost in a gap.
    discovery.set("A", "active");
    relay.with(|said| said.mute = true);
    let calls = relay.with(|said| said.calls);
    discovery.set("B", "leaving");
    until(&relay, |said| said.calls > calls).await;
    relay.with(|said| said.mute = false);
    relay.cut();
    until(&relay, |said| all_at(said, "A")).await;
    relay.with(|said| kept_the_way(said));
    steward.signal("-TERM").await;
    assert_eq!(steward.ended().await.code(), Some(0));
}

#[tokio::test]
async fn strangers_are_turned_away_and_a_collector_is_heard() {
    let relay = Relay::start(2, "A", 2).await.expect("a relay");
    let discovery = Discovery::start(&["A", "B"]).await.expect("discovery");
    let steward = Steward::start(&config(&relay, &discovery)).await;
    for said in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        b"\xff\xff\xff\xff",
        b"\x00\x00\x00\x00",
        b"\x10\x00\x00\x00{\"ms",
        &frame(r#"{"msg":"SOURCE","site":"nowhere"}"#),
        &frame(r#"{"msg":"SUBSCRIBE","id":1,"site":"a","rps":1,"new":true}"#),
        &frame(r#"{"msg":"LOAD","site":"a","target":"A","count":1,"fail":0,"mean":1,"over":500}"#),
        b"",
    ] {
        let mut stranger = steward.connect().await;
        // It may be closed before all is written.
        let _ = stranger.write_all(said).await;
        assert!(closed(&mut stranger).await, "{said:?}");
    }
    let mut endless = steward.connect().await;
    let endlessly = async { while endless.write_all(&[b'x'; 4096]).await.is_ok() {} };
    timeout(PATIENCE, endlessly).await.expect("it is cut off");
    let mut collector = steward.connect().await;
    // One byte at a time, and then several messages at once.
    for byte in frame(r#"{"msg":"SOURCE","site":"b"}"#) {
        collector.write_all(&[byte]).await.expect("taken in");
    }
    let spoilt = [frame(r#"{"msg":"LOAD","site":"a"}"#), frame(r#"{"msg":"SHARD","range":-1}"#), frame("{}")];
    collector.write_all(&spoilt.concat()).await.expect("taken in");
    assert!(alive(&mut collector).await, "each costs itself alone");
    collector.write_all(&frame("no JSON")).await.expect("taken in");
    assert!(closed(&mut collector).await, "of no further use");
}

#[tokio::test]
async fn strangers_by_the_hundred_leave_room_for_collectors_relay_and_discovery() {
    let relay = Relay::start(2, "A", 2).await.expect("a relay");
    let discovery = Discovery::start(&["A", "B"]).await.expect("discovery");
    let steward = Steward::start(&config(&relay, &discovery)).await;
    let mut strangers = Vec::new();
    for n in 0..600 {
        let mut stranger = steward.connect().await;
        if n % 2 == 0 {
            let _ = stranger.write_all(b"\x10\x00\x00\x00{").await;
        }
        strangers.push(stranger);
    }
    let mut collector = steward.connect().await;
    collector.write_all(&frame(r#"{"msg":"SOURCE","site":"a"}"#)).await.expect("taken in");
    assert!(alive(&mut collector).await);
    until(&relay, |said| said.subscriptions == 1).await;
    relay.cut();
    until(&relay, |said| said.subscriptions == 2).await;
    discovery.set("A", "leaving");
    until(&relay, |said| all_at(said, "B")).await;
    for stranger in &mut strangers {
        assert!(closed(stranger).await);
    }
    assert!(alive(&mut collector).await);
}

#[tokio::test]
async fn new_addresses_are_used_at_once_and_a_broken_file_changes_nothing() {
    let relay = Relay::start(2, "A", 2).await.expect("a relay");
    let discovery = Discovery::start(&["A", "B"]).await.expect("discovery");
    let mut config = config(&relay, &discovery);
    let mut steward = Steward::start(&config).await;
    until(&relay, |said| said.subscriptions == 1).await;
    std::fs::write(&steward.config, "{\"discovery\":").expect("written");
    steward.signal("-HUP").await;
    assert!(steward.logged("the one before holds").await.contains("expected"));
    // In the midst of a move whose calls are lost.
    relay.befall(&[Fault::Lost, Fault::Unanswered, Fault::Lost]);
    discovery.set("A", "leaving");
    until(&relay, |said| said.calls > 0).await;
    let (other, elsewhere) = (relay.also().await.expect("a relay"), Discovery::start(&["A", "B"]).await);
    let elsewhere = elsewhere.expect("discovery");
    elsewhere.set("A", "leaving");
    config["relay"]["address"] = json!(other.address.to_string());
    config["discovery"] = json!(elsewhere.address.to_string());
    std::fs::write(&steward.config, config.to_string()).expect("written");
    steward.signal("-HUP").await;
    steward.signal("-HUP").await;
    drop((relay, discovery));
    until(&other, |said| all_at(said, "B")).await;
    other.with(|said| kept_the_way(said));
    elsewhere.set("A", "active");
    elsewhere.set("B", "leaving");
    until(&other, |said| all_at(said, "A")).await;
    steward.signal("-HUP").await;
    steward.signal("-TERM").await;
    assert_eq!(steward.ended().await.code(), Some(0));
}

#[tokio::test]
async fn a_configuration_that_cannot_be_read_is_an_exit_code_of_two_with_what_was_expected() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("config.json");
    let good = r#""name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","relay":{"address":"127.0.0.1:1"}"#;
    for (text, expected) in [
        ("{".to_owned(), "expected a JSON object"),
        (r#"{"name":"n0","settings":{}}"#.to_owned(), "listen: expected an address"),
        (format!("{{{good}}}"), "settings: expected an object"),
        (format!(r#"{{{good},"settings":{{}}}}"#), "settings.family_info.proxy_count: expected"),
        (
            format!(r#"{{{good},"settings":{{"family_info":{{"proxy_count":1}}}}}}"#),
            "settings.family_info.ranges: expected a number",
        ),
    ] {
        std::fs::write(&path, text).expect("written");
        let run =
            Command::new(env!("CARGO_BIN_EXE_ravenspar")).arg("platform").env("RELAY_CONFIG", &path).output();
        let output = timeout(PATIENCE, run).await.expect("in time").expect("it ran");
        let said = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{said}");
        assert!(said.contains(expected) && said.contains("config.json"), "{said}");
    }
    let mut run = Command::new(env!("CARGO_BIN_EXE_ravenspar"));
    run.arg("platform").env("RELAY_CONFIG", dir.path().join("none")).stderr(Stdio::null());
    assert_eq!(run.status().await.expect("it ran").code(), Some(2));
}

/// Inode and socket state (hexadecimal) of each line of a table in `/proc/PID/net`.
fn sockets(id: u32, table: &str, inode: usize, state: usize) -> Vec<(String, String, bool)> {
    let text = std::fs::read_to_string(format!("/proc/{id}/net/{table}")).unwrap_or_default();
    let line = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        // A Unix socket that somebody can come to has a path as its eighth field.
        Some(((*fields.get(inode)?).to_owned(), (*fields.get(state)?).to_owned(), fields.len() > 7))
    };
    text.lines().skip(1).filter_map(line).collect()
}

/// What the fleet test asks of the process, as far as `/proc` shows it.
fn breaches(id: u32) -> Vec<String> {
    let read = |what: &str| std::fs::read_to_string(format!("/proc/{id}/{what}")).expect("it runs");
    let mut found = Vec::new();
    let program = std::fs::canonicalize(env!("CARGO_BIN_EXE_ravenspar")).expect("the program");
    if std::fs::read_link(format!("/proc/{id}/exe")).expect("it runs") != program {
        found.push("`run` does not end in the program by exec".to_owned());
    }
    let maps = read("maps");
    for part in ["/ld-", "/libc.so"] {
        if !maps.contains(part) {
            found.push(format!("not linked dynamically against the C library: no {part} mapped"));
        }
    }
    for entry in std::fs::read_dir("/proc").expect("/proc").flatten() {
        let stat = std::fs::read_to_string(entry.path().join("stat")).unwrap_or_default();
        // After the name, which ends in the last bracket: state, then the parent.
        let parent = stat.rsplit(')').next().and_then(|rest| rest.split_whitespace().nth(1));
        if parent == Some(&id.to_string()) {
            found.push(format!("another program was started: {stat}"));
        }
    }
    let ipv4 = [sockets(id, "tcp", 9, 3), sockets(id, "udp", 9, 3)].concat();
    let unix = sockets(id, "unix", 6, 5);
    let mut pairs = 0;
    for fd in std::fs::read_dir(format!("/proc/{id}/fd")).expect("it runs").flatten() {
        let Ok(link) = std::fs::read_link(fd.path()) else { continue };
        let link = link.to_string_lossy().into_owned();
        if link.contains("io_uring") {
            found.push(link.clone());
        }
        let Some(inode) = link.strip_prefix("socket:[").and_then(|rest| rest.strip_suffix(']')) else {
            continue;
        };
        match unix.iter().find(|(of, ..)| of == inode) {
            // State 03 is connected: the pair by which tokio wakes its own loop at a signal, and nothing else.
            Some((_, state, false)) if state == "03" => pairs += 1,
            Some((_, state, _)) => found.push(format!("a Unix socket, state {state}")),
            // A connection that was closed this moment is in neither table.
            None if ipv4.iter().any(|(of, ..)| of == inode) => {}
            None => {
                let other = [sockets(id, "tcp6", 9, 3), sockets(id, "udp6", 9, 3)].concat();
                if other.iter().any(|(of, ..)| of == inode) {
                    found.push("a socket of IPv6".to_owned());
                }
            }
        }
    }
    // Both ends, and the one that tokio keeps a copy of.
    if pairs > 3 {
        found.push(format!("{pairs} ends of pairs of Unix sockets"));
    }
    found
}

#[tokio::test]
async fn in_service_it_is_one_process_of_the_shape_that_the_fleet_test_asks_for() {
    let relay = Relay::start(2, "A", 2).await.expect("a relay");
    let discovery = Discovery::start(&["A", "B"]).await.expect("discovery");
    let steward = Steward::start(&config(&relay, &discovery)).await;
    let id = steward.child.id().expect("it runs");
    let mut collector = steward.connect().await;
    collector.write_all(&frame(r#"{"msg":"SOURCE","site":"a"}"#)).await.expect("taken in");
    assert!(alive(&mut collector).await);
    until(&relay, |said| said.subscriptions == 1).await;
    assert_eq!(breaches(id), [""; 0], "before a move");
    discovery.set("A", "leaving");
    until(&relay, |said| all_at(said, "B")).await;
    steward.signal("-HUP").await;
    assert!(alive(&mut collector).await);
    assert_eq!(breaches(id), [""; 0], "after a move and a signal");
}

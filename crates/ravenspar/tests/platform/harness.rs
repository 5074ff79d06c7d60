//! Test harness: the program as the deploy file's `run` starts it, and conditions on the relay's store.

use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use ravenspar_standin::platform::{Discovery, Relay, RelayState};
use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, ChildStderr, Command};
use tokio::time::{sleep, timeout};

/// Enough for a busy machine; a wait that takes this long has failed.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// A steward process with its log, its address and its configuration file.
pub struct Steward {
    pub child: Child,
    log: Option<tokio::io::Lines<BufReader<ChildStderr>>>,
    pub address: String,
    pub config: PathBuf,
    _dir: tempfile::TempDir,
}

/// Returns a configuration of two slices and two proxies, with times short enough for tests.
pub fn config(relay: &Relay, discovery: &Discovery) -> Value {
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

/// Returns the `run` command of the deploy file, with the program under test.
pub fn run_command() -> String {
    let deploy = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/balancer.toml");
    let deploy = std::fs::read_to_string(deploy).expect("a deploy file");
    let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
    let (built, program) = ("target/release/ravenspar", env!("CARGO_BIN_EXE_ravenspar"));
    let run = run.filter(|run| run.contains(built)).expect("a line `run` that names the program");
    run.replace(built, program)
}

impl Steward {
    /// Starts the program and waits until it serves.
    pub async fn start(config: &Value) -> Steward {
        Steward::start_with(config, "").await
    }

    /// Starts it with additional arguments.
    pub async fn start_with(config: &Value, args: &str) -> Steward {
        Steward::start_in(config, args, &[]).await
    }

    /// Starts it with additional arguments and environment variables.
    pub async fn start_in(config: &Value, args: &str, environment: &[(&str, &Path)]) -> Steward {
        let mut steward = Steward::spawn(config, args, environment);
        let line = steward.wait_for_log("serving").await;
        let listen = line.split(' ').find_map(|word| word.strip_prefix("listen="));
        steward.address = listen.expect("a `listen` field").to_owned();
        steward
    }

    /// Starts the process without waiting until it serves; the address is that of the configuration.
    pub fn spawn(config: &Value, args: &str, environment: &[(&str, &Path)]) -> Steward {
        let dir = tempfile::tempdir().expect("a temporary folder");
        let path = dir.path().join("config.json");
        std::fs::write(&path, config.to_string()).expect("the configuration is written");
        // As in the deploy file, with the configured limit of descriptors.
        let limited = format!("ulimit -n {}; {} {args}", config["limits"]["sockets"], run_command());
        let mut child = Command::new("/bin/sh")
            .args(["-c", &limited])
            .env("RELAY_CONFIG", &path)
            .envs(environment.iter().copied())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .expect("the process starts");
        let log = Some(BufReader::new(child.stderr.take().expect("a log")).lines());
        let address = config["listen"].as_str().unwrap_or_default().to_owned();
        Steward { child, log, address, config: path, _dir: dir }
    }

    async fn next_line(&mut self) -> Option<String> {
        let log = self.log.as_mut().expect("the log is still held");
        let line = timeout(TEST_TIMEOUT, log.next_line()).await.expect("in time");
        line.expect("the log is readable")
    }

    /// Closes the reading end of the log.
    pub fn close_log(&mut self) {
        drop(self.take_log());
    }

    /// Hands the rest of the log to the caller.
    pub fn take_log(&mut self) -> tokio::io::Lines<BufReader<ChildStderr>> {
        self.log.take().expect("the log is still held")
    }

    /// Reads and drops the log to its end.
    pub async fn drain_log(&mut self) {
        while self.next_line().await.is_some() {}
    }

    /// Returns the next log line that contains `text`.
    pub async fn wait_for_log(&mut self, text: &str) -> String {
        loop {
            let line = self.next_line().await.expect("the line before the end of the log");
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Sends SIGTERM, and counts the log lines up to its effect that contain `text`.
    pub async fn terminate_and_count_log(&mut self, text: &str) -> usize {
        self.signal("-TERM").await;
        let mut count = 0;
        loop {
            let line = self.next_line().await.expect("the line before the end of the log");
            count += usize::from(line.contains(text));
            if line.contains("asked to end") {
                return count;
            }
        }
    }

    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(&self.address).await.expect("the steward accepts connections")
    }

    pub async fn signal(&self, name: &str) {
        let id = self.child.id().expect("the process is running").to_string();
        let sent = Command::new("kill").args([name, &id]).status().await.expect("`kill` runs");
        assert!(sent.success());
    }

    /// Waits until the process has exited.
    pub async fn wait_exit(&mut self) -> ExitStatus {
        timeout(TEST_TIMEOUT, self.child.wait()).await.expect("in time").expect("the process has exited")
    }
}

/// Encodes a frame.
pub fn frame(body: &str) -> Vec<u8> {
    [&(body.len() as u32).to_le_bytes(), body.as_bytes()].concat()
}

/// Returns the next frame's body, or `None` at the end of the connection.
pub async fn read_frame(stream: &mut TcpStream) -> Option<String> {
    let read = async {
        let length = stream.read_u32_le().await.ok()?;
        let mut body = vec![0; length as usize];
        stream.read_exact(&mut body).await.ok()?;
        String::from_utf8(body).ok()
    };
    timeout(TEST_TIMEOUT, read).await.expect("in time")
}

/// Returns true if the connection is closed in time, whatever was sent before.
pub async fn closes(stream: &mut TcpStream) -> bool {
    let mut rest = Vec::new();
    timeout(TEST_TIMEOUT, stream.read_to_end(&mut rest)).await.is_ok()
}

/// Returns true if a ping is answered.
pub async fn answers_ping(stream: &mut TcpStream) -> bool {
    let sent = stream.write_all(&frame(r#"{"msg":"PING"}"#)).await;
    sent.is_ok() && read_frame(stream).await.as_deref() == Some(r#"{"msg":"PONG"}"#)
}

/// Waits until the relay's state fulfils a condition.
pub async fn wait_until(relay: &Relay, condition: impl Fn(&RelayState) -> bool) {
    timeout(TEST_TIMEOUT, relay.until(condition)).await.expect("the state is reached in time");
}

/// Returns true if all slices are at this host with full weight.
pub fn all_slices_at(state: &RelayState, host: &str) -> bool {
    state.rows.values().all(|row| row.as_ref().is_some_and(|(owner, weight)| owner == host && *weight == 1.0))
}

/// Asserts that no slice moves to another host without a revoke between, and that calls arrive in their
/// order.
pub fn assert_moves_revoke_first(state: &RelayState) {
    let mut owners = std::collections::BTreeMap::new();
    for order in &state.orders {
        let slice = order["cluster"].as_u64();
        match order["verb"].as_str() {
            Some("clear") => drop(owners.insert(slice, None)),
            Some("share") => {
                let owner = order["target"].as_str().map(str::to_owned);
                let before = owners.insert(slice, owner.clone());
                assert!(before == Some(None) || before == Some(owner), "{:?}", state.orders);
            }
            _ => {}
        }
    }
}

/// Starts a steward that has subscribed, with two hosts and all slices at the first.
pub async fn start_serving() -> (Relay, Discovery, Value, Steward) {
    let relay = Relay::start(2, "A", 2).await.expect("a relay");
    let discovery = Discovery::start(&["A", "B"]).await.expect("discovery");
    let config = config(&relay, &discovery);
    let steward = Steward::start(&config).await;
    wait_until(&relay, |state| state.subscriptions == 1).await;
    // A second call shows that the answer to the first was accepted.
    timeout(TEST_TIMEOUT, discovery.wait_for_calls(2)).await.expect("a watch in time");
    (relay, discovery, config, steward)
}

/// Moves all slices from one host to the other by a drain, and asserts that each was revoked first.
pub async fn move_all_slices(relay: &Relay, discovery: &Discovery, from: &str, to: &str) {
    discovery.set(to, "active");
    discovery.set(from, "leaving");
    wait_until(relay, |state| all_slices_at(state, to)).await;
    relay.with(|state| assert_moves_revoke_first(state));
}

/// How a connection ended for a peer that still waited for answers.
#[derive(Debug, PartialEq)]
pub enum ConnectionEnd {
    /// Every request was answered, or left unread.
    NothingLost,
    /// This many requests were read and not answered.
    AnswersLost(usize),
}

/// Reads `due` pongs. Fails with how the connection ended if it did: the end of the stream with nothing left
/// unread while answers are due is a loss, also after a NACK; a reset shows that data was left unread.
pub async fn read_pongs(peer: &mut TcpStream, due: usize) -> Result<(), ConnectionEnd> {
    let pongs = |received: &[u8]| received.windows(4).filter(|word| *word == b"PONG").count();
    let mut received = Vec::new();
    while pongs(&received) < due {
        match peer.read_buf(&mut received).await {
            Err(_) => return Err(ConnectionEnd::NothingLost),
            Ok(0) if is_left_unread(peer).await => return Err(ConnectionEnd::NothingLost),
            Ok(0) => return Err(ConnectionEnd::AnswersLost(due - pongs(&received))),
            Ok(_) => {}
        }
    }
    Ok(())
}

/// Returns true if a stream that has ended shows by a reset that data was left unread. What was read is
/// acknowledged by then; what is still in flight is sent again until a reset answers it.
pub async fn is_left_unread(peer: &TcpStream) -> bool {
    let is_reset = || !matches!(peer.take_error(), Ok(None));
    let in_flight = async {
        while !is_acknowledged(peer) {
            sleep(Duration::from_millis(1)).await;
        }
    };
    if timeout(TEST_TIMEOUT, in_flight).await.is_err() {
        return false;
    }
    if is_reset() {
        return true;
    }
    // The close may come shortly after the end of the stream.
    sleep(Duration::from_millis(50)).await;
    is_reset()
}

/// Returns true if the peer has acknowledged everything that this end has sent.
fn is_acknowledged(peer: &TcpStream) -> bool {
    // The addresses of a connection that was reset can't be queried.
    let (Ok(local), Ok(remote)) = (peer.local_addr(), peer.peer_addr()) else { return true };
    let sockets = procfs::net::tcp().expect("the system's socket table");
    let mut ours =
        sockets.iter().filter(|socket| socket.local_address == local && socket.remote_address == remote);
    ours.all(|socket| socket.tx_queue == 0)
}

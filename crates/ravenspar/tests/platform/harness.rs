//! The program as `run` starts it, and what is asked of the store.

use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use ravenspar_standin::platform::{Discovery, Relay, Said};
use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, ChildStderr, Command};
use tokio::time::{sleep, timeout};

/// Long enough for a busy machine; a test that waits this long has failed.
pub const PATIENCE: Duration = Duration::from_secs(60);

pub struct Steward {
    pub child: Child,
    log: Option<tokio::io::Lines<BufReader<ChildStderr>>>,
    pub address: String,
    pub config: PathBuf,
    _dir: tempfile::TempDir,
}

/// A configuration of two slices and two proxies, quick enough for tests.
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

/// `run` of the deploy file, with the program that is tested.
pub fn run_line() -> String {
    let deploy = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/balancer.toml");
    let deploy = std::fs::read_to_string(deploy).expect("a deploy file");
    let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
    let (built, program) = ("target/release/ravenspar", env!("CARGO_BIN_EXE_ravenspar"));
    let run = run.filter(|run| run.contains(built)).expect("a line `run` that names the program");
    run.replace(built, program)
}

impl Steward {
    pub async fn start(config: &Value) -> Steward {
        Steward::start_with(config, "").await
    }

    /// With more words on the line that starts it.
    pub async fn start_with(config: &Value, more: &str) -> Steward {
        Steward::start_in(config, more, &[]).await
    }

    /// With more in its environment.
    pub async fn start_in(config: &Value, more: &str, environment: &[(&str, &Path)]) -> Steward {
        let mut steward = Steward::spawn(config, more, environment);
        let line = steward.logged("serving").await;
        let listen = line.split(' ').find_map(|word| word.strip_prefix("listen="));
        steward.address = listen.expect("it says where it listens").to_owned();
        steward
    }

    /// The same, which may not serve yet, at the address that the configuration says.
    pub fn spawn(config: &Value, more: &str, environment: &[(&str, &Path)]) -> Steward {
        let dir = tempfile::tempdir().expect("a folder");
        let path = dir.path().join("config.json");
        std::fs::write(&path, config.to_string()).expect("written");
        // As the deploy file says, and with as many descriptors as the configuration says.
        let limited = format!("ulimit -n {}; {} {more}", config["limits"]["sockets"], run_line());
        let mut child = Command::new("/bin/sh")
            .args(["-c", &limited])
            .env("RELAY_CONFIG", &path)
            .envs(environment.iter().copied())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .expect("it starts");
        let log = Some(BufReader::new(child.stderr.take().expect("a log")).lines());
        let address = config["listen"].as_str().unwrap_or_default().to_owned();
        Steward { child, log, address, config: path, _dir: dir }
    }

    async fn next_line(&mut self) -> Option<String> {
        let log = self.log.as_mut().expect("a log that was not closed");
        let line = timeout(PATIENCE, log.next_line()).await.expect("in time");
        line.expect("a log that can be read")
    }

    /// Nobody reads the log any more.
    pub fn close_log(&mut self) {
        drop(self.take_log());
    }

    /// The log from now on, for whoever reads it in this one's place.
    pub fn take_log(&mut self) -> tokio::io::Lines<BufReader<ChildStderr>> {
        self.log.take().expect("a log that was not closed")
    }

    /// Reads the log to its end.
    pub async fn read_log(&mut self) {
        while self.next_line().await.is_some() {}
    }

    /// The next line of the log that has these words.
    pub async fn logged(&mut self, words: &str) -> String {
        loop {
            let line = self.next_line().await.expect("the line comes before the end");
            if line.contains(words) {
                return line;
            }
        }
    }

    /// Asks it to end, and counts the lines of its log up to then that have these words.
    pub async fn ended_with(&mut self, words: &str) -> usize {
        self.signal("-TERM").await;
        let mut count = 0;
        loop {
            let line = self.next_line().await.expect("the line comes before the end");
            count += usize::from(line.contains(words));
            if line.contains("asked to end") {
                return count;
            }
        }
    }

    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(&self.address).await.expect("it listens")
    }

    pub async fn signal(&self, name: &str) {
        let id = self.child.id().expect("it runs").to_string();
        let sent = Command::new("kill").args([name, &id]).status().await.expect("kill runs");
        assert!(sent.success());
    }

    pub async fn ended(&mut self) -> ExitStatus {
        timeout(PATIENCE, self.child.wait()).await.expect("in time").expect("it ended")
    }
}

pub fn frame(body: &str) -> Vec<u8> {
    [&(body.len() as u32).to_le_bytes(), body.as_bytes()].concat()
}

/// The next frame's body; `None` where the connection is at its end.
pub async fn heard(stream: &mut TcpStream) -> Option<String> {
    let read = async {
        let length = stream.read_u32_le().await.ok()?;
        let mut body = vec![0; length as usize];
        stream.read_exact(&mut body).await.ok()?;
        String::from_utf8(body).ok()
    };
    timeout(PATIENCE, read).await.expect("in time")
}

/// Whether the connection is closed, with whatever was said before.
pub async fn closed(stream: &mut TcpStream) -> bool {
    let mut rest = Vec::new();
    timeout(PATIENCE, stream.read_to_end(&mut rest)).await.is_ok()
}

pub async fn alive(stream: &mut TcpStream) -> bool {
    let sent = stream.write_all(&frame(r#"{"msg":"PING"}"#)).await;
    sent.is_ok() && heard(stream).await.as_deref() == Some(r#"{"msg":"PONG"}"#)
}

pub async fn until(relay: &Relay, so: impl Fn(&Said) -> bool) {
    timeout(PATIENCE, relay.until(so)).await.expect("the store comes to it in time");
}

pub fn all_at(said: &Said, host: &str) -> bool {
    said.rows.values().all(|row| row.as_ref().is_some_and(|(owner, weight)| owner == host && *weight == 1.0))
}

/// No slice goes to another host but by way of no host at all, and calls come in their order.
pub fn kept_the_way(said: &Said) {
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

/// A steward that has subscribed, with two hosts and all slices at the first.
pub async fn at_work() -> (Relay, Discovery, Value, Steward) {
    let relay = Relay::start(2, "A", 2).await.expect("a relay");
    let discovery = Discovery::start(&["A", "B"]).await.expect("discovery");
    let config = config(&relay, &discovery);
    let steward = Steward::start(&config).await;
    until(&relay, |said| said.subscriptions == 1).await;
    // A second call means that the answer to the first was taken.
    timeout(PATIENCE, discovery.until_called(2)).await.expect("a watch in time");
    (relay, discovery, config, steward)
}

/// All slices go from one host to the other, in the one way.
pub async fn moves(relay: &Relay, discovery: &Discovery, from: &str, to: &str) {
    discovery.set(to, "active");
    discovery.set(from, "leaving");
    until(relay, |said| all_at(said, to)).await;
    relay.with(|said| kept_the_way(said));
}

/// How a connection ended for a peer that was owed answers.
#[derive(Debug, PartialEq)]
pub enum End {
    /// All that it had asked was answered, or was not read.
    Kept,
    /// So many were read and not answered.
    Lost(usize),
}

/// Waits for so many answers. Fails with how the connection ended, where it did: the end of a stream with nothing left unread,
/// and with answers due, is a loss, also behind a NACK; a reset says that something was left unread.
pub async fn answered_or_unread(peer: &mut TcpStream, due: usize) -> Result<(), End> {
    let pongs = |said: &[u8]| said.windows(4).filter(|word| *word == b"PONG").count();
    let mut said = Vec::new();
    while pongs(&said) < due {
        match peer.read_buf(&mut said).await {
            Err(_) => return Err(End::Kept),
            Ok(0) if is_left_unread(peer).await => return Err(End::Kept),
            Ok(0) => return Err(End::Lost(due - pongs(&said))),
            Ok(_) => {}
        }
    }
    Ok(())
}

/// Whether a stream that has ended tells by a reset that something was left unread. What was read is acknowledged by then; what
/// is still in flight is sent again until a reset answers it.
pub async fn is_left_unread(peer: &TcpStream) -> bool {
    let is_reset = || !matches!(peer.take_error(), Ok(None));
    let in_flight = async {
        while !is_acknowledged(peer) {
            sleep(Duration::from_millis(1)).await;
        }
    };
    if timeout(PATIENCE, in_flight).await.is_err() {
        return false;
    }
    if is_reset() {
        return true;
    }
    // A close that comes after the end of the stream.
    sleep(Duration::from_millis(50)).await;
    is_reset()
}

/// Whether the system has nothing in hand that this end has sent and the other has not acknowledged.
fn is_acknowledged(peer: &TcpStream) -> bool {
    // The addresses of one that was reset can't be asked for.
    let (Ok(local), Ok(remote)) = (peer.local_addr(), peer.peer_addr()) else { return true };
    let sockets = procfs::net::tcp().expect("the system's table of sockets");
    let mut ours = sockets.iter().filter(|of| of.local_address == local && of.remote_address == remote);
    ours.all(|of| of.tx_queue == 0)
}

//! Clients of a steward: collectors and peers that use their connections until these end, and a crowd.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use fastrand::Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::harness::{frame, is_left_unread};

/// One process of a steward, as its clients know it.
#[derive(Default)]
pub struct Process {
    /// It was killed without SIGTERM: no answers are owed.
    killed: Cell<bool>,
}

/// A steward's address and its running process, shared by its clients.
#[derive(Clone)]
pub struct Address {
    pub at: String,
    process: Rc<RefCell<Rc<Process>>>,
}

impl Address {
    pub fn new(at: String) -> Address {
        Address { at, process: Rc::default() }
    }

    /// Another process takes the place of the last one.
    pub fn next_process(&self) {
        self.process.replace(Rc::default());
    }

    /// The running process is killed without SIGTERM.
    pub fn set_killed(&self) {
        self.process.borrow().killed.set(true);
    }

    fn process(&self) -> Rc<Process> {
        self.process.borrow().clone()
    }

    /// Connects, and returns the process that accepted, or `None` if that can't be told.
    async fn connect(&self) -> Option<(TcpStream, Rc<Process>)> {
        let process = self.process();
        let peer = TcpStream::connect(&self.at).await.ok()?;
        let _ = peer.set_nodelay(true);
        Rc::ptr_eq(&process, &self.process()).then_some((peer, process))
    }
}

/// The role of a client; each sends pings.
pub enum Role {
    Peer,
    /// Sends reports too; `invalid_reports` draws the invalid ones among them.
    Collector {
        invalid_reports: Option<Rng>,
    },
}

/// How a connection ended for a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// This many requests were read and not answered.
    Unanswered(usize),
    /// A collector that had joined, and had sent only reports and requests, was rejected.
    Rejected,
}

/// Connects again and again, and sends pings on each connection until it ends, a collector with reports in
/// between. `on_end` receives each end.
pub async fn ping_forever(address: Address, mut role: Role, mut rng: Rng, on_end: impl Fn(ConnectionEnd)) {
    loop {
        sleep(Duration::from_millis(rng.u64(5..60))).await;
        let Some((mut peer, process)) = address.connect().await else { continue };
        let collects = matches!(role, Role::Collector { .. });
        if collects && peer.write_all(&frame(r#"{"msg":"SOURCE","site":"a"}"#)).await.is_err() {
            continue;
        }
        let end = ping_until_the_end(&mut peer, &mut role, &mut rng).await;
        // The end belongs to the process that accepted the connection, whichever runs by now.
        if !process.killed.get() {
            on_end(end);
        }
    }
}

async fn ping_until_the_end(peer: &mut TcpStream, role: &mut Role, rng: &mut Rng) -> ConnectionEnd {
    // An answer to a request sent after the greeting shows that it has joined.
    let mut has_joined = false;
    loop {
        let requests = rng.usize(1..40);
        let (bytes, is_unreadable) = burst(requests, role, rng);
        if peer.write_all(&bytes).await.is_err() {
            return ConnectionEnd::Unanswered(0);
        }
        let may_be_rejected = !has_joined || is_unreadable;
        let mut received = Vec::new();
        while count(&received, b"PONG") < requests {
            let read = peer.read_buf(&mut received).await;
            if count(&received, b"NACK") > 0 && !may_be_rejected {
                return ConnectionEnd::Rejected;
            }
            match read {
                Err(_) => return ConnectionEnd::Unanswered(0),
                Ok(0) if is_left_unread(peer).await => return ConnectionEnd::Unanswered(0),
                Ok(0) => return ConnectionEnd::Unanswered(requests - count(&received, b"PONG")),
                Ok(_) => {}
            }
        }
        if count(&received, b"NACK") > 0 || is_unreadable {
            return ConnectionEnd::Unanswered(0);
        }
        has_joined = matches!(role, Role::Collector { .. });
        sleep(Duration::from_millis(rng.u64(0..30))).await;
    }
}

/// Returns a burst of requests, a collector's with reports in between, and true if an unreadable message
/// follows them.
fn burst(requests: usize, role: &mut Role, rng: &mut Rng) -> (Vec<u8>, bool) {
    let mut bytes = Vec::new();
    for _ in 0..requests {
        if let Role::Collector { invalid_reports } = role {
            if rng.u8(0..4) == 0 {
                bytes.extend_from_slice(&frame(REPORT));
            }
            if let Some(invalid) = invalid_reports.as_mut().and_then(invalid_report) {
                bytes.extend_from_slice(&frame(invalid));
            }
        }
        bytes.extend_from_slice(&frame(r#"{"msg":"PING"}"#));
    }
    let is_unreadable = match role {
        Role::Collector { invalid_reports: Some(rng) } => rng.u8(..40) == 0,
        _ => false,
    };
    if is_unreadable {
        bytes.extend_from_slice(UNREADABLE);
    }
    (bytes, is_unreadable)
}

fn invalid_report(rng: &mut Rng) -> Option<&'static str> {
    let is_drawn = rng.u8(..4) == 0;
    is_drawn.then(|| INVALID_REPORTS[rng.usize(..INVALID_REPORTS.len())])
}

const REPORT: &str = r#"{"msg":"LOAD","site":"a","target":"s0","count":4,"fail":0,"mean":4.0,"over":500.0,"util":{"util":0.1}}"#;

/// Reports with a field that is missing, out of range, of another type, or names something unknown.
const INVALID_REPORTS: [&str; 14] = [
    r#"{"msg":"LOAD","site":"a"}"#,
    r#"{"msg":"LOAD","site":"a","target":"s0","count":4,"fail":9,"mean":4.0,"over":500.0}"#,
    r#"{"msg":"LOAD","site":"a","target":"s0","count":-4,"fail":0,"mean":4.0,"over":500.0}"#,
    r#"{"msg":"LOAD","site":"a","target":"s0","count":4,"fail":0,"mean":-1e300,"over":500.0}"#,
    r#"{"msg":"LOAD","site":"a","target":"s0","count":"four","fail":0,"mean":4.0,"over":500.0}"#,
    r#"{"msg":"LOAD","site":"a","target":"s0","count":4,"fail":0,"mean":null,"over":500.0}"#,
    r#"{"msg":"LOAD","site":"a","target":"s0","count":4,"fail":0,"mean":4.0,"over":500.0,"util":[7]}"#,
    r#"{"msg":"LOAD","site":"a","target":"s99","count":4,"fail":0,"mean":4.0,"over":500.0}"#,
    r#"{"msg":"LOAD","site":"nowhere","target":"s0","count":4,"fail":0,"mean":4.0,"over":500.0}"#,
    r#"{"msg":"SHARD","range":60,"lane":"lookup","count":40,"fail":1,"over":1000.0}"#,
    r#"{"msg":"SHARD","range":-1,"lane":"lookup","count":40,"fail":1,"over":1000.0}"#,
    r#"{"msg":"SHARD","range":1,"lane":"none","count":40,"fail":1,"over":1000.0}"#,
    r#"{"msg":["LOAD"],"site":"a"}"#,
    "{}",
];

/// A message that is no JSON object, which ends the connection.
const UNREADABLE: &[u8] = b"\x07\x00\x00\x00no JSON";

fn count(bytes: &[u8], word: &[u8; 4]) -> usize {
    bytes.windows(word.len()).filter(|at| at == word).count()
}

/// Keeps a crowd of useless peers connected: silent ones, some with partial messages, some that send floods
/// and read no answers.
pub async fn crowd(address: Address, size: usize, mut rng: Rng) {
    let mut peers = Vec::new();
    loop {
        peers.retain(|_| rng.u8(0..40) != 0);
        while peers.len() < size {
            let Ok(mut peer) = TcpStream::connect(&address.at).await else { break };
            let bytes = match rng.u8(0..4) {
                0 => Vec::new(),
                1 => frame(r#"{"msg":"PING"}"#)[..9].to_vec(),
                2 => frame(r#"{"msg":"PING"}"#).repeat(200),
                _ => frame(r#"{"msg":"SOURCE","site":"nowhere"}"#),
            };
            let _ = peer.write_all(&bytes).await;
            peers.push(peer);
        }
        sleep(Duration::from_millis(100)).await;
    }
}

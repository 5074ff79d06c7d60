//! Who connects to a steward: collectors and peers that use their connections until these are over, and a crowd.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use fastrand::Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::harness::{frame, is_left_unread};

/// One life of a steward's process, as its clients know it.
#[derive(Default)]
pub struct Process {
    /// It is killed with no word: nothing is owed.
    killed: Cell<bool>,
}

/// What clients know of a steward.
#[derive(Clone)]
pub struct Address {
    pub at: String,
    process: Rc<RefCell<Rc<Process>>>,
}

impl Address {
    pub fn new(at: String) -> Address {
        Address { at, process: Rc::default() }
    }

    /// Another process takes the place of the one before.
    pub fn next_process(&self) {
        self.process.replace(Rc::default());
    }

    /// The present process is killed with no word.
    pub fn killed(&self) {
        self.process.borrow().killed.set(true);
    }

    fn process(&self) -> Rc<Process> {
        self.process.borrow().clone()
    }

    /// Connects, and says to which process; `None` where that can't be told.
    async fn connect(&self) -> Option<(TcpStream, Rc<Process>)> {
        let process = self.process();
        let peer = TcpStream::connect(&self.at).await.ok()?;
        let _ = peer.set_nodelay(true);
        Rc::ptr_eq(&process, &self.process()).then_some((peer, process))
    }
}

/// Connects again and again, and asks for signs of life on each connection until that is over, a collector with reports
/// between. `lost` is told of requests that were read and not answered.
pub async fn ask_on(address: Address, collects: bool, mut chance: Rng, lost: impl Fn(usize)) {
    loop {
        sleep(Duration::from_millis(chance.u64(5..60))).await;
        let Some((mut peer, process)) = address.connect().await else { continue };
        if collects && peer.write_all(&frame(r#"{"msg":"SOURCE","site":"a"}"#)).await.is_err() {
            continue;
        }
        let unanswered = ask_until_the_end(&mut peer, collects, &mut chance).await;
        // It belongs to the process that it was made to, whichever is there by now.
        if !process.killed.get() {
            lost(unanswered);
        }
    }
}

/// Returns how many requests were read and not answered.
async fn ask_until_the_end(peer: &mut TcpStream, collects: bool, chance: &mut Rng) -> usize {
    let ping = frame(r#"{"msg":"PING"}"#);
    let report = frame(
        r#"{"msg":"LOAD","site":"a","target":"s0","count":4,"fail":0,"mean":4.0,"over":500.0,"util":{"util":0.1}}"#,
    );
    loop {
        let asked = chance.usize(1..40);
        let mut bytes = Vec::new();
        for _ in 0..asked {
            if collects && chance.u8(0..4) == 0 {
                bytes.extend_from_slice(&report);
            }
            bytes.extend_from_slice(&ping);
        }
        if peer.write_all(&bytes).await.is_err() {
            return 0;
        }
        let mut heard = Vec::new();
        while count(&heard, b"PONG") < asked {
            match peer.read_buf(&mut heard).await {
                Err(_) => return 0,
                Ok(0) if is_left_unread(peer).await => return 0,
                Ok(0) => return asked - count(&heard, b"PONG"),
                Ok(_) => {}
            }
        }
        if count(&heard, b"NACK") > 0 {
            return 0;
        }
        sleep(Duration::from_millis(chance.u64(0..30))).await;
    }
}

fn count(heard: &[u8], word: &[u8; 4]) -> usize {
    heard.windows(word.len()).filter(|at| at == word).count()
}

/// Parties that are of no use, up to the end: silent, with half a message, with floods that read no answer.
pub async fn crowd(address: Address, size: usize, mut chance: Rng) {
    let mut parties = Vec::new();
    loop {
        parties.retain(|_| chance.u8(0..40) != 0);
        while parties.len() < size {
            let Ok(mut party) = TcpStream::connect(&address.at).await else { break };
            let said = match chance.u8(0..4) {
                0 => Vec::new(),
                1 => frame(r#"{"msg":"PING"}"#)[..9].to_vec(),
                2 => frame(r#"{"msg":"PING"}"#).repeat(200),
                _ => frame(r#"{"msg":"SOURCE","site":"nowhere"}"#),
            };
            let _ = party.write_all(&said).await;
            parties.push(party);
        }
        sleep(Duration::from_millis(100)).await;
    }
}

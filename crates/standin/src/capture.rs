//! A capture of a run: messages that crossed the sockets and faults injected, one JSON event a line, all by one clock.

use std::cell::RefCell;
use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::Path;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::{Clock, Time};

/// An event of a run. Captures are read by other builds too: names in them stay.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum Event {
    /// A frame's body, in hex, crossed a stream between a forwarder and a steward; `down` is towards the forwarder.
    Frame { at: Time, stream: u64, down: bool, body: String },
    /// A stream between a forwarder and a steward was opened.
    Opened { at: Time, stream: u64, steward: usize },
    /// A stream between a forwarder and a steward has ended.
    #[serde(rename = "shut")]
    Closed { at: Time, stream: u64 },
    /// The server list was published: server, state, boot.
    Listed { at: Time, servers: Vec<(String, String, Time)> },
    /// A server has started, for the first time or again.
    Up { at: Time, server: String, cold: bool },
    /// A server has stopped or crashed.
    Down { at: Time, server: String },
    /// A server crashed, overloaded while it was cold.
    #[serde(rename = "fell")]
    Overloaded { at: Time, server: String, boot: Time },
    /// A server accepted a req, which ends at `until` at the latest.
    #[serde(rename = "took")]
    Accepted {
        at: Time,
        server: String,
        req: u64,
        attempt: u64,
        slice: u64,
        writes: bool,
        forwarder: u64,
        until: Time,
    },
    /// An accepted req has ended; `done` if it had its effect.
    Ended { at: Time, server: String, req: u64, attempt: u64, slice: u64, writes: bool, done: bool },
    /// A server rejected a req.
    #[serde(rename = "turned")]
    Rejected { at: Time, server: String, req: u64, slice: u64, writes: bool, forwarder: u64, status: u64 },
    /// A client sends the first try of a req.
    #[serde(rename = "asked")]
    Requested { at: Time, req: u64, kind: usize },
    /// A client has its final response or has given up.
    Answered { at: Time, req: u64, kind: usize, status: u64, took: Time },
    /// A fault was injected into the fleet.
    #[serde(rename = "trouble")]
    FaultInjected { at: Time, text: String },
    /// A forwarder process was started, killed, stopped or continued.
    Forwarder { at: Time, number: u64, state: String },
    /// A steward's process was `started`, `killed`, `stopped` or `continued`, or has `ended`.
    Steward {
        at: Time,
        #[serde(default)]
        number: usize,
        state: String,
    },
    /// Clients begin; service is measured from here.
    Began { at: Time },
}

struct Inner {
    clock: Clock,
    file: BufWriter<File>,
    failed: bool,
}

/// Writes events to a file. Shared by all stand-ins of a process.
#[derive(Clone)]
pub struct Capture(Rc<RefCell<Inner>>);

impl Event {
    /// Returns when the event happened.
    pub fn at(&self) -> Time {
        match *self {
            Event::Frame { at, .. }
            | Event::Opened { at, .. }
            | Event::Closed { at, .. }
            | Event::Listed { at, .. }
            | Event::Up { at, .. }
            | Event::Down { at, .. }
            | Event::Overloaded { at, .. }
            | Event::Accepted { at, .. }
            | Event::Ended { at, .. }
            | Event::Rejected { at, .. }
            | Event::Requested { at, .. }
            | Event::Answered { at, .. }
            | Event::FaultInjected { at, .. }
            | Event::Forwarder { at, .. }
            | Event::Steward { at, .. }
            | Event::Began { at } => at,
        }
    }
}

impl Capture {
    /// Creates the file, or truncates an existing one.
    pub fn create(path: &Path, clock: Clock) -> io::Result<Capture> {
        let file = BufWriter::new(File::create(path)?);
        Ok(Capture(Rc::new(RefCell::new(Inner { clock, file, failed: false }))))
    }

    pub fn now(&self) -> Time {
        self.0.borrow().clock.now()
    }

    /// Records an event with the current time.
    pub fn note(&self, event: impl FnOnce(Time) -> Event) {
        let mut inner = self.0.borrow_mut();
        let event = event(inner.clock.now());
        let written = serde_json::to_writer(&mut inner.file, &event).map_err(io::Error::from);
        let written = written.and_then(|()| inner.file.write_all(b"\n"));
        inner.failed |= written.is_err();
    }

    /// Flushes the capture; returns an error if this or an earlier write failed, as a run can't be judged from it then.
    pub fn finish(&self) -> io::Result<()> {
        let mut inner = self.0.borrow_mut();
        inner.file.flush()?;
        match inner.failed {
            true => Err(io::Error::other("the capture could not be written")),
            false => Ok(()),
        }
    }
}

/// Reads a capture; a malformed line is an error that names its number.
pub fn read(path: &Path) -> io::Result<Vec<Event>> {
    let mut events = Vec::new();
    for (number, line) in BufReader::new(File::open(path)?).lines().enumerate() {
        let event = serde_json::from_str(&line?);
        let bad = |e| io::Error::new(io::ErrorKind::InvalidData, format!("line {}: {e}", number + 1));
        events.push(event.map_err(bad)?);
    }
    Ok(events)
}

/// Encodes bytes as lower-case hex.
pub fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write as _;
    bytes.iter().fold(String::with_capacity(2 * bytes.len()), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Decodes hex; returns `None` if a digit is invalid.
pub fn unhex(text: &str) -> Option<Vec<u8>> {
    let digits = text.as_bytes().chunks(2);
    digits.map(|pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok()).collect()
}

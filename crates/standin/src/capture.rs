//! What crossed the sockets, and what was done to them: one event a line, all by one clock.

use std::cell::RefCell;
use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::Path;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::{Clock, Time};

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum Event {
    /// A body crossed a stream between a forwarder and a steward; `down`: towards the forwarder. In hex.
    Frame {
        at: Time,
        stream: u64,
        down: bool,
        body: String,
    },
    /// A stream between a forwarder and a steward was opened.
    Opened {
        at: Time,
        stream: u64,
        steward: usize,
    },
    /// A stream between a forwarder and a steward has ended.
    Shut {
        at: Time,
        stream: u64,
    },
    /// The list as it was published: server, state, boot.
    Listed {
        at: Time,
        servers: Vec<(String, String, Time)>,
    },
    /// A server is up from now on (again).
    Up {
        at: Time,
        server: String,
        cold: bool,
    },
    Down {
        at: Time,
        server: String,
    },
    /// A server fell over, pushed while it was cold.
    Fell {
        at: Time,
        server: String,
        boot: Time,
    },
    /// A req reached a server and was taken in; `until`: when it has ended at the latest.
    Took {
        at: Time,
        server: String,
        req: u64,
        attempt: u64,
        slice: u64,
        writes: bool,
        forwarder: u64,
        until: Time,
    },
    /// A req taken in has ended; `done`: it had its effect.
    Ended {
        at: Time,
        server: String,
        req: u64,
        attempt: u64,
        slice: u64,
        writes: bool,
        done: bool,
    },
    /// A req reached a server and was not taken in.
    Turned {
        at: Time,
        server: String,
        req: u64,
        slice: u64,
        writes: bool,
        forwarder: u64,
        status: u64,
    },
    /// A client asks for the first time.
    Asked {
        at: Time,
        req: u64,
        kind: usize,
    },
    /// A client has its last answer, or has given up.
    Answered {
        at: Time,
        req: u64,
        kind: usize,
        status: u64,
        took: Time,
    },
    /// What was done to the fleet.
    Trouble {
        at: Time,
        text: String,
    },
    /// A forwarder process was started, killed, stopped or continued.
    Forwarder {
        at: Time,
        number: u64,
        state: String,
    },
    /// A steward's process: `started`, `killed`, `ended`, `stopped`, `continued`.
    Steward {
        at: Time,
        #[serde(default)]
        number: usize,
        state: String,
    },
    /// Clients begin; service counts from here.
    Began {
        at: Time,
    },
}

struct Inner {
    clock: Clock,
    file: BufWriter<File>,
    failed: bool,
}

/// Where events go. Shared by all stand-ins of one process.
#[derive(Clone)]
pub struct Capture(Rc<RefCell<Inner>>);

impl Event {
    pub fn at(&self) -> Time {
        match *self {
            Event::Frame { at, .. }
            | Event::Opened { at, .. }
            | Event::Shut { at, .. }
            | Event::Listed { at, .. }
            | Event::Up { at, .. }
            | Event::Down { at, .. }
            | Event::Fell { at, .. }
            | Event::Took { at, .. }
            | Event::Ended { at, .. }
            | Event::Turned { at, .. }
            | Event::Asked { at, .. }
            | Event::Answered { at, .. }
            | Event::Trouble { at, .. }
            | Event::Forwarder { at, .. }
            | Event::Steward { at, .. }
            | Event::Began { at } => at,
        }
    }
}

impl Capture {
    pub fn create(path: &Path, clock: Clock) -> io::Result<Capture> {
        let file = BufWriter::new(File::create(path)?);
        Ok(Capture(Rc::new(RefCell::new(Inner { clock, file, failed: false }))))
    }

    pub fn now(&self) -> Time {
        self.0.borrow().clock.now()
    }

    /// Takes an event in, with the time of the moment.
    pub fn note(&self, event: impl FnOnce(Time) -> Event) {
        let mut inner = self.0.borrow_mut();
        let event = event(inner.clock.now());
        let written = serde_json::to_writer(&mut inner.file, &event).map_err(io::Error::from);
        let written = written.and_then(|()| inner.file.write_all(b"\n"));
        inner.failed |= written.is_err();
    }

    /// Writes out what is held back; an error now or earlier makes the capture unfit to be judged.
    pub fn finish(&self) -> io::Result<()> {
        let mut inner = self.0.borrow_mut();
        inner.file.flush()?;
        match inner.failed {
            true => Err(io::Error::other("the capture could not be written")),
            false => Ok(()),
        }
    }
}

/// Reads a capture; a line that can't be read is an error with its number.
pub fn read(path: &Path) -> io::Result<Vec<Event>> {
    let mut events = Vec::new();
    for (number, line) in BufReader::new(File::open(path)?).lines().enumerate() {
        let event = serde_json::from_str(&line?);
        let bad = |e| io::Error::new(io::ErrorKind::InvalidData, format!("line {}: {e}", number + 1));
        events.push(event.map_err(bad)?);
    }
    Ok(events)
}

pub fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write as _;
    bytes.iter().fold(String::with_capacity(2 * bytes.len()), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

pub fn unhex(text: &str) -> Option<Vec<u8>> {
    let digits = text.as_bytes().chunks(2);
    digits.map(|pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok()).collect()
}

//! The platform front's sockets, signals and configuration around the session of `ravenspar-platform`.

mod discovery;
mod listener;
mod process;
mod relay;
mod serve;

pub use serve::{serve, Fault};

use bytes::Bytes;
use serde_json::Value;
use tokio::sync::oneshot;

/// What the sockets tell the core, in the order in which each of them says it.
enum Event {
    Report(Value),
    News(String),
    NewsLost(String),
    Answer(String),
    /// The call under way broke; whether the relay may have it.
    CallLost(bool, String),
    /// A list, and whom to tell its version if it can be used.
    List(Bytes, oneshot::Sender<Option<u64>>),
}

/// Events that may wait for the core; sockets are read no further where it is full.
const EVENTS: usize = 256;

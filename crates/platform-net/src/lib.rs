//! The platform front's sockets, signals and configuration around the session of `ravenspar-platform`.

mod discovery;
mod lines;
mod listener;
mod process;
mod relay;
mod retrying;
mod serve;
mod tasks;

pub use serve::{serve, Fault};

use std::net::SocketAddr;

use bytes::Bytes;
use ravenspar_platform::Addresses;
use serde_json::Value;
use tokio::sync::{oneshot, watch};

/// What the sockets tell the core, in the order in which each of them says it.
enum Event {
    Report(Value),
    /// A line of the subscription with this number.
    News(u64, String),
    /// This subscription is over, and why.
    NewsLost(u64, String),
    Answer(String),
    /// The call under way broke; whether the relay may have it.
    CallLost(bool, String),
    /// A list, whether the whole was asked for, and whom to tell its version if it can be used.
    List(Bytes, bool, oneshot::Sender<Option<u64>>),
}

/// Events that may wait for the core; sockets are read no further where it is full.
const EVENTS: usize = 256;

/// Waits until one address is another than `from`, whatever becomes of the others. Fails where the core is gone.
async fn moved(
    addresses: &mut watch::Receiver<Addresses>,
    of: fn(&Addresses) -> SocketAddr,
    from: SocketAddr,
) -> Result<(), watch::error::RecvError> {
    addresses.wait_for(|new| of(new) != from).await.map(drop)
}

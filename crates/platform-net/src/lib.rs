//! The platform front's sockets, signals and configuration around the session of `ravenspar-platform`.

mod discovery;
mod lines;
mod listener;
mod process;
mod relay;
mod retrying;
mod serve;
mod tasks;

pub use serve::{serve, ServeError};

use std::net::SocketAddr;

use bytes::Bytes;
use ravenspar_platform::Addresses;
use serde_json::Value;
use tokio::sync::{oneshot, watch};

/// Input from the socket tasks to the session loop, in the order in which each task sends it.
enum Event {
    /// A collector's report.
    Report(Value),
    /// A line received on the subscription with this number.
    Notification(u64, String),
    /// The subscription with this number has ended, with the reason.
    SubscriptionLost(u64, String),
    /// The relay's answer to the call in progress.
    Answer(String),
    /// The call in progress failed: true if the relay may have received it, and the reason.
    CallLost(bool, String),
    /// A host list, true if it is a full one, and where to send its version (`None` if it can't be used).
    List(Bytes, bool, oneshot::Sender<Option<u64>>),
}

/// Events that may wait for the session loop. Sockets are not read further while the queue is full.
const EVENT_QUEUE_CAPACITY: usize = 256;

/// Waits until the address that `select` returns differs from `from`; changes of other addresses are ignored.
/// Fails if the session loop has ended.
async fn address_changed(
    addresses: &mut watch::Receiver<Addresses>,
    select: fn(&Addresses) -> SocketAddr,
    from: SocketAddr,
) -> Result<(), watch::error::RecvError> {
    addresses.wait_for(|new| select(new) != from).await.map(drop)
}

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
use ravenspar_platform::{Addresses, ListError, Time};
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
    List(ListResponse),
}

/// A host list from discovery.
struct ListResponse {
    body: Bytes,
    /// The complete list was requested, not changes.
    is_complete: bool,
    requested_at: Time,
    /// Where to send the version of the list now held, or why this one was not accepted.
    verdict: oneshot::Sender<Result<u64, ListError>>,
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

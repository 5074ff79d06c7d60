//! The host core: publishes a steward's decisions to proxies and feeds their answers and reports back to it.
//!
//! The core is sans-I/O: it performs no I/O, reads no clock and doesn't depend on tokio. A runtime (the program or an
//! emulator) calls one method of [`Host`] for each input, passing the current time, then pulls [`Output`]s with
//! [`Host::poll`] until it returns `None`, and calls [`Host::timeout`] at [`Host::next_timeout`]. The same calls
//! produce the same outputs byte for byte. The split follows quinn-proto; `docs/design/steward.md` explains the design,
//! leases in particular.

mod channel;
mod host;
mod limits;
mod ownership;
mod proxy;
mod servers;
mod table;
mod totals;

use bytes::Bytes;

pub use host::{Host, Metrics};
pub use ownership::AssignedSlice;
pub use servers::Server;

/// An action for the runtime, to be carried out in the order in which it was pulled.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Make these routes (slice, owner, weight) durable, then call [`Host::recorded`] with the ticket. No frame that
    /// depends on them is sent before that. Owners are indices, see [`Host::server`]; `None` while the slice moves
    /// between servers.
    Record { ticket: u64, epoch: u64, routes: Vec<(usize, Option<usize>, f64)> },
    /// Write this body to a stream, then call [`Host::sent`]. Until then the stream gets no other frame; it may only be
    /// closed, after a refusal.
    Frame { stream: u64, body: Bytes },
    /// Close a stream once its pending frames are written; further input from it is ignored.
    Close { stream: u64, why: CloseReason },
    /// A proxy has joined on this stream: it has applied every update so far.
    Joined { stream: u64, proxy: usize },
    /// Subscribe to changes of the server list.
    Watch,
}

/// The reason for which the host closes a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The proxy speaks another version of the protocol; a refusal was sent.
    Version,
    /// The proxy's number is past `family_info.proxy_count`; a refusal was sent.
    Number,
    /// The same proxy has opened a newer stream.
    Replaced,
    /// Nothing was received for `host.silent_s`.
    Silent,
    /// A frame could not be written for `host.silent_s`.
    Stuck,
    /// An epoch or an end was not answered for `host.silent_s`.
    Unanswered,
    /// A malformed frame, or a frame before the hello.
    Fault,
}

//! The stream protocol between stewards and proxies: frames of bounded size, each with a kind and fields.
//!
//! A frame on the wire is a length (4 bytes, big endian) and a body; a body is a kind (1 byte) and fields; a field
//! is a tag (1 byte), a length (varint) and its content: varints, optionally followed by text. There are no message
//! types: a reader iterates over the fields and handles each. Readers must skip unknown kinds and tags, and numbers
//! past those that they know, so that later versions can add to both. `docs/protocol.md` has the tables.

mod read;
mod write;

pub use read::{Body, DecodeError, Field};
pub use write::{millionths, Frame};

use tokio_util::codec::LengthDelimitedCodec;

/// The protocol version; a peer with another version is sent a refusal and closed.
pub const VERSION: u64 = 2;

/// Maximum size of a body from a proxy, in bytes: enough for a report of some thousand lines.
pub const MAX_BODY_FROM_PROXY: usize = 64 * 1024;

/// Maximum size of a body from a steward, in bytes: enough for an update of 65,535 lines of 30 bytes.
pub const MAX_BODY_FROM_STEWARD: usize = 2 * 1024 * 1024;

/// Fractions are sent as integers, in millionths.
pub const MILLIONTHS_PER_UNIT: f64 = 1_000_000.0;

/// Kinds of frames. "Site" stands for the site's agent as the peer.
pub mod kind {
    /// From a proxy: its first frame, with version, number, boot, usual rate and zone.
    pub const HELLO: u8 = 1;
    /// To a proxy: the answer to its hello, with term, intervals, number of slices and request kinds.
    pub const WELCOME: u8 = 2;
    /// To a proxy or site: the stream is refused, with the supported version and a reason.
    pub const REFUSAL: u8 = 3;
    /// To a proxy: one part of the whole table; the last part carries [`tag::END`](super::tag::END).
    pub const READ: u8 = 4;
    /// To a proxy: changes of the table.
    pub const TABLE: u8 = 5;
    /// From a proxy: everything up to a mark or an end has been applied.
    pub const ANSWER: u8 = 6;
    /// From a proxy or site: asks for an echo.
    pub const PING: u8 = 7;
    /// To a proxy or site: the answer to a ping; renews a proxy's lease.
    pub const ECHO: u8 = 8;
    /// From a proxy: its traffic within a window.
    pub const REPORT: u8 = 9;
    /// From a site's agent: its first frame, with its incarnation and earlier ones that have ended.
    pub const SITE: u8 = 10;
    /// From a site: renews its incarnation and lists the jobs that it holds or has outcomes of.
    pub const KEEP: u8 = 11;
    /// To a site: the answer to a renewal, with the granted lease.
    pub const KEPT: u8 = 12;
    /// An incarnation of a site has ended; sent by either side.
    pub const OVER: u8 = 13;
    /// To a site: start a job under a token.
    pub const GIVE: u8 = 14;
    /// To a site: stop a job.
    pub const STOP: u8 = 15;
    /// From a site: how a job has ended.
    pub const OUTCOME: u8 = 16;
    /// To a site: the answer to an outcome, accepted or refused.
    pub const VERDICT: u8 = 17;
    /// From a site: what has been used under tokens so far.
    pub const USED: u8 = 18;
    /// To a site: uses that have been counted.
    pub const COUNTED: u8 = 19;
    /// From a site: it knows a higher term of the duty than the one that it was sent.
    pub const HOLDS: u8 = 20;
}

/// Tags of fields, with their content. Times and intervals are in units of 0.1 ms; `docs/protocol.md` has the details.
pub mod tag {
    /// Protocol version.
    pub const VERSION: u8 = 1;
    /// Number of the proxy.
    pub const PROXY: u8 = 2;
    /// Identifies the incarnation of the proxy's process.
    pub const BOOT: u8 = 3;
    /// Usual rate of the proxy in reqs per second, in millionths.
    pub const USUAL: u8 = 4;
    /// Zone of the proxy, as text.
    pub const ZONE: u8 = 5;
    /// Term of the steward, or of its duty for sites.
    pub const TERM: u8 = 6;
    /// Length of the lease.
    pub const LEASE: u8 = 7;
    /// How long a proxy may hold reqs back.
    pub const HOLD: u8 = 8;
    /// How long a slice settles after a revoke.
    pub const SETTLE: u8 = 9;
    /// Number of slices.
    pub const SLICES: u8 = 10;
    /// Interval between pings.
    pub const PING_EVERY: u8 = 11;
    /// Request kind: 1 if it writes, else 0; its name as text.
    pub const KIND: u8 = 12;
    /// Reason of a refusal, as text.
    pub const REASON: u8 = 13;
    /// Server: index, and its id as text.
    pub const SERVER: u8 = 14;
    /// Server: index, and its address as text.
    pub const ADDRESS: u8 = 15;
    /// Line of a slice: slice, server, weight in millionths.
    pub const LINE: u8 = 16;
    /// Revoked line: slice.
    pub const DROP: u8 = 17;
    /// Level: slice + 1 or 0 for all slices, kinds as a bit set or 0 for all, share in millionths.
    pub const LEVEL: u8 = 18;
    /// Server that gets no reqs, or does again: index, 1 or 0.
    pub const WITHDRAW: u8 = 19;
    /// Mark of an update, to be answered.
    pub const MARK: u8 = 20;
    /// End of the updates that a proxy has been sent, to be answered.
    pub const END: u8 = 21;
    /// When a ping or renewal was sent, by the sender's clock.
    pub const SENT: u8 = 22;
    /// Length of the window of a report.
    pub const WINDOW: u8 = 23;
    /// Tries at a server: server, tries, failed tries, mean time of the others, and utilisation in millionths if known.
    pub const MET: u8 = 24;
    /// Reqs that arrived: slice, kind, count.
    pub const ARRIVED: u8 = 25;
    /// Interval between reports.
    pub const REPORT_EVERY: u8 = 26;
    /// Slices assigned to the steward: first slice, number of slices, term.
    pub const CHARGE: u8 = 27;
    /// Line as read from the record, with the numbers of [`LINE`].
    pub const HELD: u8 = 28;
    /// Slices that the steward has released: first slice, number of slices.
    pub const LEFT: u8 = 29;
    /// Incarnation of a site; in [`kind::SITE`](super::kind::SITE) also boot, capacity and the site's name as text.
    pub const LIFE: u8 = 30;
    /// Earlier incarnation of a site that has ended.
    pub const BEFORE: u8 = 31;
    /// Job: token, and its id as text.
    pub const JOB: u8 = 32;
    /// Specification of a job, as text.
    pub const SPEC: u8 = 33;
    /// Outcome of a job (0 done, 1 failed, else stopped) or verdict (0 accepted, 1 refused); the reason as text.
    pub const ENDED: u8 = 34;
    /// Use for a job: token, amount used, 1 if that is final, and the job's id as text.
    pub const USE: u8 = 35;
}

/// Returns a codec that splits a byte stream into bodies of at most `max_body` bytes. A longer body is an error before it
/// is read.
pub fn codec(max_body: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().length_field_length(4).max_frame_length(max_body).new_codec()
}

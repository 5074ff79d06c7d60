//! The plain stream between stewards and proxies: frames of bounded size, each a kind and a row of fields.
//!
//! A frame on the wire is a length (4 bytes, big endian) and a body; a body is a kind (1 byte) and fields; a field
//! is a tag (1 byte), a length (varint) and its content: a row of varints, or text. There are no types for messages:
//! a reader goes through the fields and hands each to a call. Unknown kinds and tags are to be skipped, and so are
//! numbers past those a reader knows, so that later versions may add to both. `docs/protocol.md` has the tables.

mod read;
mod write;

pub use read::{Body, Fault, Numbers};
pub use write::{millionths, Frame};

use tokio_util::codec::LengthDelimitedCodec;

/// The version of the stream; a peer that names another one is told so and closed.
pub const VERSION: u64 = 2;

/// The most bytes of a body that a proxy may send: a report of some thousand lines.
pub const MOST_UP: usize = 64 * 1024;

/// The most bytes of a body that a steward may send: a turn of 65,535 lines of 30 bytes.
pub const MOST_DOWN: usize = 2 * 1024 * 1024;

/// Parts of a whole, so that fractions travel as whole numbers.
pub const MILLION: f64 = 1_000_000.0;

/// Kinds of frames.
pub mod kind {
    pub const HELLO: u8 = 1;
    pub const WELCOME: u8 = 2;
    pub const REFUSAL: u8 = 3;
    pub const READ: u8 = 4;
    pub const TABLE: u8 = 5;
    pub const ANSWER: u8 = 6;
    pub const PING: u8 = 7;
    pub const ECHO: u8 = 8;
    pub const REPORT: u8 = 9;
    pub const SITE: u8 = 10;
    pub const KEEP: u8 = 11;
    pub const KEPT: u8 = 12;
    pub const OVER: u8 = 13;
    pub const GIVE: u8 = 14;
    pub const STOP: u8 = 15;
    pub const OUTCOME: u8 = 16;
    pub const VERDICT: u8 = 17;
    pub const USED: u8 = 18;
    pub const COUNTED: u8 = 19;
    pub const HOLDS: u8 = 20;
}

/// Tags of fields. What the numbers of a row are stands in `docs/protocol.md`.
pub mod tag {
    pub const VERSION: u8 = 1;
    pub const PROXY: u8 = 2;
    pub const BOOT: u8 = 3;
    pub const USUAL: u8 = 4;
    pub const ZONE: u8 = 5;
    pub const TERM: u8 = 6;
    pub const LEASE: u8 = 7;
    pub const HOLD: u8 = 8;
    pub const SETTLE: u8 = 9;
    pub const SLICES: u8 = 10;
    pub const PING_EVERY: u8 = 11;
    pub const KIND: u8 = 12;
    pub const REASON: u8 = 13;
    pub const SERVER: u8 = 14;
    pub const ADDRESS: u8 = 15;
    pub const LINE: u8 = 16;
    pub const DROP: u8 = 17;
    pub const LEVEL: u8 = 18;
    pub const WITHDRAW: u8 = 19;
    pub const MARK: u8 = 20;
    pub const END: u8 = 21;
    pub const SENT: u8 = 22;
    pub const WINDOW: u8 = 23;
    pub const MET: u8 = 24;
    pub const ARRIVED: u8 = 25;
    pub const REPORT_EVERY: u8 = 26;
    pub const CHARGE: u8 = 27;
    pub const HELD: u8 = 28;
    pub const LEFT: u8 = 29;
    pub const LIFE: u8 = 30;
    pub const BEFORE: u8 = 31;
    pub const JOB: u8 = 32;
    pub const SPEC: u8 = 33;
    pub const ENDED: u8 = 34;
    pub const USE: u8 = 35;
}

/// Cuts a byte stream into bodies of at most `most` bytes; a longer one is an error before it is read.
pub fn codec(most: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().length_field_length(4).max_frame_length(most).new_codec()
}

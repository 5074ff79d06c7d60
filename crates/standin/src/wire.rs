//! Frames between clients, forwarders and plan servers.

/// Kinds of frames, distinct from those of the plain stream.
pub const REQ: u8 = 64;
pub const RES: u8 = 65;
pub const GREETING: u8 = 66;

/// Maximum size of a frame.
pub const MAX_FRAME_BYTES: usize = 1024;

/// Tags of the fields in a frame.
pub mod tag {
    /// The id of the req and the number of its client's attempt.
    pub const ID: u8 = 1;
    pub const KIND: u8 = 2;
    pub const KEY: u8 = 3;
    /// Work, in microseconds of one core at speed 1.
    pub const WORK: u8 = 4;
    /// How long the client still waits, as a `Time`.
    pub const TIMEOUT: u8 = 5;
    /// The time by the plan server's clock after which it must not accept the req.
    pub const START_BY: u8 = 6;
    /// The time by the plan server's clock at which the req must have ended, done or failed.
    pub const FINISH_BY: u8 = 7;
    pub const FORWARDER: u8 = 8;
    pub const STATUS: u8 = 9;
    /// Share of busy cores, in millionths.
    pub const UTIL: u8 = 10;
    /// The current time by the plan server's clock.
    pub const NOW: u8 = 11;
    pub const SLICE: u8 = 12;
    pub const WRITES: u8 = 13;
    /// The sender's number of the try, echoed in the response.
    pub const TRY: u8 = 14;
}

/// The result of a req.
pub mod status {
    pub const DONE: u64 = 0;
    /// Rejected by a level, or no server could be picked. It never ran.
    pub const DENIED: u64 = 1;
    /// Rejected by a full or draining plan server. It never ran.
    pub const FULL: u64 = 2;
    /// It may have run.
    pub const ERRORED: u64 = 3;
    /// It arrived after its start-by time. It never ran.
    pub const LATE: u64 = 4;
}

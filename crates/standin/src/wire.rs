//! The small frames between clients, forwarders and plan servers.

/// Kinds of frames; apart from those of the plain stream.
pub const REQ: u8 = 64;
pub const RES: u8 = 65;
pub const GREETING: u8 = 66;

/// The most bytes of such a frame.
pub const MOST: usize = 1024;

pub mod tag {
    /// The req, and which try of its client.
    pub const ID: u8 = 1;
    pub const KIND: u8 = 2;
    pub const KEY: u8 = 3;
    /// Microseconds of one core at speed 1.
    pub const WORK: u8 = 4;
    /// Tenths of a millisecond that the client still waits.
    pub const WAITS: u8 = 5;
    /// The plan server's clock after which the req may not be taken in.
    pub const START_BY: u8 = 6;
    /// The plan server's clock at which it has to be finished, for good or ill.
    pub const FINISH_BY: u8 = 7;
    pub const FORWARDER: u8 = 8;
    pub const STATUS: u8 = 9;
    /// Busy cores, in millionths.
    pub const UTIL: u8 = 10;
    /// The plan server's clock.
    pub const NOW: u8 = 11;
    pub const SLICE: u8 = 12;
    pub const WRITES: u8 = 13;
    /// The forwarder's own number of the try, which the answer brings back.
    pub const TRY: u8 = 14;
}

/// How a req ended.
pub mod status {
    pub const DONE: u64 = 0;
    /// By a level, or as no server could be picked: it surely never ran.
    pub const DENIED: u64 = 1;
    /// Turned away by a full or draining plan server: it surely never ran.
    pub const FULL: u64 = 2;
    /// It may have run.
    pub const ERRORED: u64 = 3;
    /// It came after its start-by time: it surely never ran.
    pub const LATE: u64 = 4;
}

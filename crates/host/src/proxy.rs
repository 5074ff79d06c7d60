//! The state of a proxy and of a stream.

use std::collections::VecDeque;

use bytes::Bytes;
use ravenspar_steward::Time;

use crate::channel::Position;

/// A time before any that the clock shows.
pub const NEVER: Time = Time::MIN / 2;

/// A proxy, by its number in the settings.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// The stream on which the proxy is joining or joined.
    pub stream: Option<u64>,
    /// The steward counts the proxy as joined: it had applied every update when it answered.
    pub joined: bool,
    /// The end that the proxy must answer, and since when it is unanswered.
    pub awaited_end: Option<(u64, Time)>,
    /// The last end that the proxy has answered on its stream.
    pub applied_end: u64,
    /// The proxy's usual rate of reqs per second.
    pub baseline: f64,
    /// Identifies the incarnation of the proxy's process.
    pub boot: u64,
    pub zone: usize,
    pub position: Position,
    /// When the last echo was sent: the proxy's lease starts at this time at the latest.
    pub last_echo: Time,
    /// From this time on no earlier incarnation holds a lease; answers before it are deferred.
    pub answers_count_from: Time,
    /// The newest deferred answer.
    pub deferred_answer: Option<u16>,
    /// Epochs sent and not answered, with the times at which they were sent.
    pub unanswered: VecDeque<(u64, Time)>,
}

impl Proxy {
    pub fn new() -> Proxy {
        Proxy {
            stream: None,
            joined: false,
            awaited_end: None,
            applied_end: 0,
            baseline: 0.0,
            boot: 0,
            zone: 0,
            position: Position::default(),
            last_echo: NEVER,
            answers_count_from: NEVER,
            deferred_answer: None,
            unanswered: VecDeque::new(),
        }
    }
}

/// A stream, from its opening on; `proxy` is set once the hello has arrived.
#[derive(Clone, Debug)]
pub struct Stream {
    pub proxy: Option<usize>,
    pub received_at: Time,
    /// Since when a frame is being written, if one is.
    pub writing_since: Option<Time>,
    /// Frames sent before all others: the welcome and the whole table. Bounded by the table's size.
    pub priority_frames: VecDeque<Bytes>,
    /// The newest ping that was not echoed yet; older ones need no echo.
    pub unechoed_ping: Option<u64>,
}

impl Stream {
    pub fn new(now: Time) -> Stream {
        Stream {
            proxy: None,
            received_at: now,
            writing_since: None,
            priority_frames: VecDeque::new(),
            unechoed_ping: None,
        }
    }
}

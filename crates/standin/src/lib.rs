//! Stand-ins for what the service meets: plan servers, forwarders, clients. Real TCP on loopback.
//!
//! A req travels as a small frame, on the codec of the plain stream: client to forwarder to plan server, and the
//! answer back. What the stand-ins meet goes into a [`Capture`], from which the lab judges.

pub mod agent;
pub mod capture;
pub mod clients;
pub mod effects;
pub mod forwarder;
pub mod platform;
pub mod server;
pub mod store;

mod wire;

pub use capture::{Capture, Event};
pub use wire::status;

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Times are tenths of a millisecond.
pub type Time = i64;

pub const SECOND: Time = 10_000;

pub fn duration(time: Time) -> Duration {
    Duration::from_micros(time.max(0) as u64 * 100)
}

/// The wall clock when it was made, monotonic from then on.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    began: Instant,
    wall: Time,
}

impl Default for Clock {
    fn default() -> Clock {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { began: Instant::now(), wall: (wall.as_micros() / 100) as Time }
    }
}

impl Clock {
    pub fn now(&self) -> Time {
        self.wall + (self.began.elapsed().as_micros() / 100) as Time
    }
}

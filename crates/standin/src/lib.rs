//! Stand-ins for the components around the service: plan servers, forwarders, clients, agents, the shared store and the
//! platform. They talk real TCP on loopback.
//!
//! A req travels as a small frame in the encoding of the plain stream: from client to forwarder to plan server, and the
//! response back. The stand-ins record their events in a [`Capture`], from which the lab judges a run.

pub mod agent;
pub mod capture;
pub mod clients;
pub mod effects;
pub mod forwarder;
pub mod pieces;
pub mod platform;
pub mod server;
pub mod store;

mod wire;

pub use capture::{Capture, Event};
pub use wire::status;

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A point in time or a duration, in units of 0.1 ms.
pub type Time = i64;

/// One second as a [`Time`].
pub const SECOND: Time = 10_000;

/// Converts to a [`Duration`]; negative times become zero.
pub fn duration(time: Time) -> Duration {
    Duration::from_micros(time.max(0) as u64 * 100)
}

/// A clock that starts at the wall clock's time of its creation and is monotonic from then on.
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

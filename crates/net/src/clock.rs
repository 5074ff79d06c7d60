//! The process's clock: the wall clock at the start, advanced by the monotonic clock, so that it never goes
//! backward.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ravenspar_steward::Time;

/// One unit of [`Time`] in microseconds.
const UNIT_US: u128 = 100;

/// A clock that reads wall time at creation and never goes backward.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    wall_at_start: Time,
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}

impl Clock {
    pub fn new() -> Clock {
        let wall_at_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), wall_at_start: (wall_at_start.as_micros() / UNIT_US) as Time }
    }

    /// Returns this clock with its wall time shifted by `offset`. Tests use it to show that nothing depends
    /// on wall clocks being in step.
    pub fn with_offset(self, offset: Time) -> Clock {
        Clock { wall_at_start: self.wall_at_start + offset, ..self }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.wall_at_start + (self.started.elapsed().as_micros() / UNIT_US) as Time
    }

    /// Returns the instant of a time; a time before the clock's start is taken as its start.
    pub fn instant(&self, at: Time) -> Instant {
        let since = (at - self.wall_at_start).max(0) as u64;
        // One unit later: a timer that fires just before its time would find nothing due.
        self.started + Duration::from_micros(since * UNIT_US as u64 + UNIT_US as u64)
    }
}

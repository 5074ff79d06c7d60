//! The one clock: the wall clock at the start, and from then on the monotonic one, so that it never goes backward.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ravenspar_steward::Time;

/// A [`Time`] in microseconds.
const UNIT: u128 = 100;

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    began: Instant,
    wall: Time,
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}

impl Clock {
    pub fn new() -> Clock {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { began: Instant::now(), wall: (wall.as_micros() / UNIT) as Time }
    }

    /// The same clock, but that its wall is off by so much: how a test shows that nothing rests on wall clocks.
    pub fn off_by(self, span: Time) -> Clock {
        Clock { wall: self.wall + span, ..self }
    }

    pub fn now(&self) -> Time {
        self.wall + (self.began.elapsed().as_micros() / UNIT) as Time
    }

    /// The instant of a time, never before now's.
    pub fn instant(&self, at: Time) -> Instant {
        let since = (at - self.wall).max(0) as u64;
        // A timer that fires a moment early would only find nothing due.
        self.began + Duration::from_micros(since * UNIT as u64 + UNIT as u64)
    }
}

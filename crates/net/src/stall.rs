//! Notices when a connection that should deliver something does not any more.

use ravenspar_steward::Time;

/// Fewer bytes than this are no progress: protocols send small frames of their own to keep a connection open.
const MIN_PROGRESS_BYTES: u64 = 128;

/// Compares the bytes that a connection has received with the time that they took.
#[derive(Clone, Copy, Debug)]
pub struct StallDetector {
    timeout: Time,
    /// When progress was last made, and the bytes received by then.
    progressed_at: Time,
    received: u64,
}

impl StallDetector {
    /// Creates a detector for a connection that has received this many bytes so far, which is stalled after `timeout` without
    /// progress.
    pub fn new(now: Time, received: u64, timeout: Time) -> StallDetector {
        StallDetector { timeout, progressed_at: now, received }
    }

    /// Records progress that the caller knows of, whatever its size.
    pub fn progressed(&mut self, now: Time) {
        self.progressed_at = now;
    }

    /// Returns true if there was no progress for the timeout. `received` is the number of all bytes so far.
    pub fn is_stalled(&mut self, now: Time, received: u64) -> bool {
        if received >= self.received + MIN_PROGRESS_BYTES {
            (self.progressed_at, self.received) = (now, received);
        }
        now - self.progressed_at >= self.timeout
    }
}

#[cfg(test)]
mod tests;

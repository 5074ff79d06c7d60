//! Slices newly assigned to this steward that wait to be announced to the forwarders in one message.

use ravenspar_host::AssignedSlice;
use ravenspar_steward::{Time, SECOND};

/// Slices assigned within this window are announced in one message: a take-over is a burst of transactions a few
/// milliseconds apart.
const BATCH_WINDOW: Time = SECOND / 10;

/// Collects assigned slices until their batch is due.
#[derive(Default)]
pub struct AssignmentBatch {
    slices: Vec<AssignedSlice>,
    /// When the first slice was added; 0 if the batch is due at once.
    first_added_at: Time,
}

impl AssignmentBatch {
    pub fn add(&mut self, now: Time, slices: impl IntoIterator<Item = AssignedSlice>) {
        if self.slices.is_empty() {
            self.first_added_at = now;
        }
        self.slices.extend(slices);
    }

    /// Makes the batch due at once, as no more slices follow.
    pub fn complete(&mut self) {
        self.first_added_at = 0;
    }

    pub fn is_empty(&self) -> bool {
        self.slices.is_empty()
    }

    /// When [`AssignmentBatch::take_ready`] returns the batch; `Time::MAX` if it is empty or the channel has no capacity.
    /// A line that is sent frees capacity, and wakes the core by itself.
    pub fn ready_at(&self, capacity: u64) -> Time {
        if self.slices.is_empty() || capacity == 0 {
            return Time::MAX;
        }
        self.first_added_at + BATCH_WINDOW
    }

    /// Takes the batch, sorted by slice, if it is due and the channel has capacity for lines.
    pub fn take_ready(&mut self, now: Time, capacity: u64) -> Option<Vec<AssignedSlice>> {
        if now < self.ready_at(capacity) {
            return None;
        }
        let mut slices = std::mem::take(&mut self.slices);
        slices.sort_by_key(|assigned| assigned.slice);
        Some(slices)
    }
}

#[cfg(test)]
mod tests;

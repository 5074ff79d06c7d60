//! Slices that have come into charge and wait to be told to forwarders in one message.

use ravenspar_host::Charged;
use ravenspar_steward::{Time, SECOND};

/// Slices that come into charge within this time are told in one message: a take-over is a row of transactions a few
/// milliseconds apart.
const GATHER: Time = SECOND / 10;

#[derive(Default)]
pub struct Gathering {
    charged: Vec<Charged>,
    /// When the first of them came; 0: they are to be told at once.
    since: Time,
}

impl Gathering {
    pub fn add(&mut self, now: Time, charged: impl IntoIterator<Item = Charged>) {
        if self.charged.is_empty() {
            self.since = now;
        }
        self.charged.extend(charged);
    }

    /// No more are to come.
    pub fn complete(&mut self) {
        self.since = 0;
    }

    pub fn is_empty(&self) -> bool {
        self.charged.is_empty()
    }

    /// When [`Gathering::take`] has something; never while there is no room: a line that leaves makes room, and is an event of
    /// its own.
    pub fn ready_at(&self, room: u64) -> Time {
        if self.charged.is_empty() || room == 0 {
            return Time::MAX;
        }
        self.since + GATHER
    }

    /// What is to be told now, by slice; nothing while there is no room for lines in the channel.
    pub fn take(&mut self, now: Time, room: u64) -> Option<Vec<Charged>> {
        if now < self.ready_at(room) {
            return None;
        }
        let mut charged = std::mem::take(&mut self.charged);
        charged.sort_by_key(|charged| charged.slice);
        Some(charged)
    }
}

#[cfg(test)]
mod tests;

//! Pending revokes of slices whose server is draining, gone or restarted, and how long each has been pending.

use ravenspar_steward::Time;

/// The number of pending revokes, and the age of the oldest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PendingRevokes {
    pub slices: usize,
    pub oldest: Time,
}

/// Tracks since when each slice's revoke has been pending.
#[derive(Debug)]
pub struct Drains {
    since: Vec<Option<Time>>,
    /// Age of a pending revoke at which operators are warned.
    warn_after: Time,
    warned: bool,
}

impl Drains {
    /// `grace` is the time allowed for a drain.
    pub fn new(slices: usize, grace: Time) -> Drains {
        Drains { since: vec![None; slices], warn_after: grace / 2, warned: false }
    }

    /// Records that revokes are pending for exactly these slices.
    pub fn observe(&mut self, now: Time, owed: impl Iterator<Item = usize>) {
        let mut since = vec![None; self.since.len()];
        for slice in owed {
            since[slice] = self.since[slice].or(Some(now));
        }
        self.since = since;
        self.warned &= self.owed(now).slices > 0;
    }

    /// Returns the revokes that are pending now.
    pub fn owed(&self, now: Time) -> PendingRevokes {
        let owed = || self.since.iter().flatten();
        PendingRevokes { slices: owed().count(), oldest: owed().min().map_or(0, |since| now - since) }
    }

    /// Returns the pending revokes once the oldest is older than half of the grace; then not again until none is
    /// pending.
    pub fn overdue(&mut self, now: Time) -> Option<PendingRevokes> {
        let owed = self.owed(now);
        let overdue = self.warn_after > 0 && owed.oldest >= self.warn_after && !self.warned;
        self.warned |= overdue;
        overdue.then_some(owed)
    }
}

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
    pub fn observe(&mut self, now: Time, slices: impl Iterator<Item = usize>) {
        let mut since = vec![None; self.since.len()];
        for slice in slices {
            since[slice] = self.since[slice].or(Some(now));
        }
        self.since = since;
        self.warned &= self.pending(now).slices > 0;
    }

    /// Returns the revokes that are pending now.
    pub fn pending(&self, now: Time) -> PendingRevokes {
        let since = || self.since.iter().flatten();
        PendingRevokes { slices: since().count(), oldest: since().min().map_or(0, |oldest| now - oldest) }
    }

    /// Returns the pending revokes once the oldest is older than half of the grace; then not again until none is
    /// pending.
    pub fn overdue(&mut self, now: Time) -> Option<PendingRevokes> {
        let pending = self.pending(now);
        let overdue = self.warn_after > 0 && pending.oldest >= self.warn_after && !self.warned;
        self.warned |= overdue;
        overdue.then_some(pending)
    }
}

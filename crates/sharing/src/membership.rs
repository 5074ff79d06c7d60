//! How long a steward may act on its own membership, by its own clock alone.

use crate::Time;

/// A steward's lease at the store, as the steward itself may reckon it.
///
/// The store counts a renewal from when it took it, which is after it was sent; so from when it was *sent* the lease is
/// over here before it is over there, whatever the answer's delay and however long this process was stopped. A part is
/// taken off for clocks of other rates, and a margin for what is already on its way to a forwarder.
#[derive(Clone, Debug)]
pub struct Membership {
    lease: Time,
    margin: Time,
    /// From here on nothing may be published.
    until: Time,
    /// When the next renewal is due.
    due: Time,
}

impl Membership {
    /// Clocks may run at rates that differ by one part in so many, as for forwarders' leases.
    const RATES: Time = 64;

    /// Not a member yet.
    pub fn new(lease: Time, margin: Time) -> Membership {
        Membership { lease, margin, until: Time::MIN, due: Time::MIN }
    }

    /// A renewal (or the first grant) is about to be sent; several may be under way, so that a store that is slow to
    /// answer costs no more than its answers are late.
    pub fn renewing(&mut self, now: Time) {
        // A fifth of the lease: three may fail, or answers be late by as much, before it runs out here.
        self.due = now + self.lease / 5;
    }

    /// The store has renewed it, as an answer to the renewal that was sent then.
    pub fn renewed(&mut self, sent: Time) {
        self.until = self.until.max(sent + self.lease - self.lease / Self::RATES - self.margin);
    }

    /// The store says that the lease is gone.
    pub fn lost(&mut self) {
        self.until = Time::MIN;
    }

    /// Whether something may be published now.
    pub fn holds(&self, now: Time) -> bool {
        now < self.until
    }

    /// From when on nothing may be published any more.
    pub fn until(&self) -> Time {
        self.until
    }

    /// When the next renewal is due.
    pub fn renew_at(&self) -> Time {
        self.due
    }
}

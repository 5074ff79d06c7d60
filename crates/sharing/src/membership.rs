//! How long a steward may rely on its own membership, by its own clock alone.

use crate::Time;

/// A steward's lease at the store, as seen by the steward itself.
///
/// The store starts a renewed lease when it receives the renewal, which is after it was sent. Counted from when the
/// renewal was *sent*, the lease therefore expires here before it expires at the store, whatever the delay of the answer
/// and however long this process was paused. It is further shortened to allow for clock drift, and by a margin for
/// messages already in transit to forwarders.
#[derive(Clone, Debug)]
pub struct Membership {
    lease: Time,
    margin: Time,
    /// From this time on nothing may be published.
    until: Time,
    /// When to send the next renewal.
    renew_due: Time,
}

impl Membership {
    /// Clock rates may differ by one part in this many, as for forwarders' leases.
    const CLOCK_DRIFT_DIVISOR: Time = 64;

    /// Creates the state of a steward that is not a member yet.
    pub fn new(lease: Time, margin: Time) -> Membership {
        Membership { lease, margin, until: Time::MIN, renew_due: Time::MIN }
    }

    /// Notes that a renewal (or the request of the first lease) is about to be sent. Several may be in progress, so that
    /// a slow store delays the renewals by no more than its own latency.
    pub fn renewing(&mut self, now: Time) {
        // A fifth of the lease: three renewals may fail, or be as late, before the lease expires here.
        self.renew_due = now + self.lease / 5;
    }

    /// Handles the store's confirmation of the renewal that was sent at `sent`.
    pub fn renewed(&mut self, sent: Time) {
        self.until = self.until.max(sent + self.lease - self.lease / Self::CLOCK_DRIFT_DIVISOR - self.margin);
    }

    /// Handles the store's answer that the lease no longer exists.
    pub fn lost(&mut self) {
        self.until = Time::MIN;
    }

    /// Returns true if the steward may publish now.
    pub fn holds(&self, now: Time) -> bool {
        now < self.until
    }

    /// Returns the time from which nothing may be published.
    pub fn until(&self) -> Time {
        self.until
    }

    /// Returns when to send the next renewal.
    pub fn renew_at(&self) -> Time {
        self.renew_due
    }
}

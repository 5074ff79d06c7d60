//! How long a steward may act on its own membership, by its own clock alone.

/// In whole tenths of a millisecond.
pub type Time = i64;

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
    /// When the renewal that is under way was sent.
    sent: Option<Time>,
}

impl Membership {
    /// Clocks may run at rates that differ by one part in so many, as for forwarders' leases.
    const RATES: Time = 64;

    /// Not a member yet.
    pub fn new(lease: Time, margin: Time) -> Membership {
        Membership { lease, margin, until: Time::MIN, sent: None }
    }

    /// A renewal (or the first grant) is about to be sent. One that has no answer yet is given up: only the last counts.
    pub fn renewing(&mut self, now: Time) {
        self.sent = Some(now);
    }

    /// The store has renewed it, as an answer to the last one sent.
    pub fn renewed(&mut self) {
        if let Some(sent) = self.sent.take() {
            self.until = self.until.max(sent + self.lease - self.lease / Self::RATES - self.margin);
        }
    }

    /// The store says that the lease is gone.
    pub fn lost(&mut self) {
        self.sent = None;
        self.until = Time::MIN;
    }

    /// Whether something may be published now.
    pub fn holds(&self, now: Time) -> bool {
        now < self.until
    }

    /// When the next renewal is due: after a third of the lease, so that two may fail.
    pub fn renew_at(&self) -> Time {
        self.until.saturating_sub((self.lease / 3) * 2)
    }
}

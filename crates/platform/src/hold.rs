//! Tracks why and for how long decisions are on hold, for the log.

use ravenspar_steward::Time;

/// What decisions are waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hold {
    /// The subscription to the store's notifications is lost and not yet replaced.
    SubscriptionLost,
    /// The snapshot of a new subscription is being received.
    Snapshot,
    /// A call is not settled.
    Call,
    /// No notification has been received since the last call was answered, or for
    /// [`crate::NOTIFICATION_TIMEOUT`].
    NoNotification,
}

impl Hold {
    /// The reason as it appears in the log.
    pub fn name(self) -> &'static str {
        match self {
            Hold::SubscriptionLost => "subscription lost",
            Hold::Snapshot => "snapshot",
            Hold::Call => "call",
            Hold::NoNotification => "nothing heard",
        }
    }
}

/// A period without full decisions, and what they are waiting for now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    pub since: Time,
    pub why: Hold,
}

/// Measures the periods in which decisions are on hold.
#[derive(Debug, Default)]
pub struct HoldClock {
    current: Option<Held>,
    longest: Option<(Time, Hold)>,
}

impl HoldClock {
    /// Records whether decisions are on hold at this time, and why.
    pub fn observe(&mut self, now: Time, why: Option<Hold>) {
        if let Some(held) = self.current {
            let span = now - held.since;
            if self.longest.is_none_or(|(longest, _)| span > longest) {
                self.longest = Some((span, held.why));
            }
        }
        self.current = why.map(|why| Held { since: self.current.map_or(now, |held| held.since), why });
    }

    /// Returns the current hold, if there is one.
    pub fn current(&self) -> Option<Held> {
        self.current
    }

    /// Returns the longest hold since the last call of this method.
    pub fn take_longest(&mut self) -> Option<(Time, Hold)> {
        self.longest.take()
    }
}

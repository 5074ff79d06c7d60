//! Leadership of a duty, and the permits under which its effects are sent.

use crate::{Duty, Term, Time};

/// A duty that this incarnation of the steward claimed, and its term. It doesn't say that the steward may still act:
/// see [`Leadership::permit`].
#[derive(Debug, PartialEq, Eq)]
pub struct Leadership {
    duty: Duty,
    term: Term,
}

impl Leadership {
    /// `term` is the revision at which the claim was written, as returned by the transaction or shown by the store.
    pub fn new(duty: Duty, term: Term) -> Leadership {
        Leadership { duty, term }
    }

    /// The duty that was claimed.
    pub fn duty(&self) -> Duty {
        self.duty
    }

    /// The term of the claim.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns a permit for one effect if the membership holds. `until` is the end of the membership by the steward's
    /// own clock, see [`ravenspar_sharing::membership::Membership::until`]. A later renewal doesn't extend a permit,
    /// see [`Permit::spend`].
    pub fn permit(&self, now: Time, until: Time) -> Option<Permit> {
        (now < until).then_some(Permit { duty: self.duty, term: self.term, until })
    }
}

/// Permission to send one effect. It can't be copied, it expires, and it is checked again right before sending.
///
/// Work starts with a permit and ends by spending it. A process that was paused in between finds it expired, even if
/// the membership was renewed since: what was computed before a pause is not sent after it.
#[derive(Debug, PartialEq, Eq)]
pub struct Permit {
    duty: Duty,
    term: Term,
    until: Time,
}

impl Permit {
    /// Spends the permit: returns the duty and term that the effect bears, or `None` if it has expired.
    pub fn spend(self, now: Time) -> Option<(Duty, Term)> {
        (now < self.until).then_some((self.duty, self.term))
    }

    /// Returns the time until the permit expires, at least 0.
    pub fn remaining(&self, now: Time) -> Time {
        (self.until - now).max(0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_permit_expires_with_the_membership_it_was_made_under() {
        let leadership = Leadership::new(3, 77);
        assert_eq!(leadership.permit(100, 100), None);
        let permit = leadership.permit(99, 100).expect("the membership holds");
        assert_eq!(permit.remaining(99), 1);
        assert_eq!(permit.spend(99), Some((3, 77)));
        // Paused in between: a renewal of the membership doesn't extend the old permit.
        let old = leadership.permit(99, 100).expect("the membership holds");
        assert!(leadership.permit(150, 200).is_some());
        assert_eq!(old.spend(150), None);
    }
}

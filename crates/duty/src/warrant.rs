//! What an owner must show to do something.

use crate::{Duty, Term, Time};

/// A duty that this steward's life claimed, under a term. It says nothing of whether it still may act by it.
#[derive(Debug, PartialEq, Eq)]
pub struct Tenure {
    duty: Duty,
    term: Term,
}

impl Tenure {
    /// The claim's transaction was carried out at this revision, or the store shows the claim as given to this life.
    pub fn new(duty: Duty, term: Term) -> Tenure {
        Tenure { duty, term }
    }

    pub fn duty(&self) -> Duty {
        self.duty
    }

    pub fn term(&self) -> Term {
        self.term
    }

    /// What lets one effect leave, if the membership holds. `until`: when the membership is over as the steward itself
    /// reckons it, [`ravenspar_sharing::membership::Membership::until`]. A renewal that comes later
    /// prolongs no warrant that was made before it, see [`Warrant::leaves`].
    pub fn warrant(&self, now: Time, until: Time) -> Option<Warrant> {
        (now < until).then_some(Warrant { duty: self.duty, term: self.term, until })
    }
}

/// Leave to send one effect: it can't be copied, it is made for a time, and it is looked at again right before sending.
///
/// Work is begun with one and ends by spending it. A process that was stopped in between finds it over: a renewal that came
/// after it was made doesn't prolong it, so that what was computed before a pause is not sent after it.
#[derive(Debug, PartialEq, Eq)]
pub struct Warrant {
    duty: Duty,
    term: Term,
    until: Time,
}

impl Warrant {
    /// Spends the warrant: duty and term that the effect bears, if it may leave now.
    pub fn leaves(self, now: Time) -> Option<(Duty, Term)> {
        (now < self.until).then_some((self.duty, self.term))
    }

    /// What is left of it.
    pub fn left(&self, now: Time) -> Time {
        (self.until - now).max(0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_warrant_ends_with_the_membership_that_it_was_made_under() {
        let tenure = Tenure::new(3, 77);
        assert_eq!(tenure.warrant(100, 100), None);
        let warrant = tenure.warrant(99, 100).expect("the membership holds");
        assert_eq!(warrant.left(99), 1);
        assert_eq!(warrant.leaves(99), Some((3, 77)));
        // Stopped in between; that the membership was renewed meanwhile is nothing to it.
        let old = tenure.warrant(99, 100).expect("the membership holds");
        assert!(tenure.warrant(150, 200).is_some());
        assert_eq!(old.leaves(150), None);
    }
}

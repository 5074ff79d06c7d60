//! Detection of stewards that reach too few forwarders; such a steward *rests*: it is assigned no slices.
//!
//! A steward that is a member at the store but reaches few of the forwarders would keep slices that it can't serve. It
//! therefore marks itself as resting in the store, where all stewards see the same, and is assigned no slices until it
//! reaches the forwarders again. How many forwarders the other stewards reach is known from hints alone; the worst effect
//! of false hints is that slices are moved.

use crate::{Incarnation, Time};

/// Decides from reachability whether this steward rests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RestDetector {
    resting: bool,
    /// Since when the opposite state has been observed.
    since: Option<Time>,
}

impl RestDetector {
    /// How long reachability must be poor before the steward rests: forwarders that lost their streams reconnect within a
    /// second or two.
    const POOR_DURATION: Time = 30_000;

    /// How long reachability must be good before the steward stops resting: longer, so that a flapping link moves slices
    /// only once.
    const GOOD_DURATION: Time = 100_000;

    /// Takes the numbers of forwarders that this steward and each of the other stewards reach; `others` is `None` while
    /// the other stewards are unknown, as the view is changing or no steward answers. Returns true if the steward rests.
    pub fn update(&mut self, now: Time, own: u32, others: Option<&[u32]>) -> bool {
        let Some(others) = others else {
            // Earlier observations may have been caused by the same fault.
            self.since = None;
            return self.resting;
        };
        let mut others = others.to_vec();
        others.sort_unstable();
        // The median, so that a single steward with too high a number makes no other rest.
        let Some(&median) = others.get(others.len() / 2) else {
            *self = RestDetector::default();
            return false;
        };
        let (own, median) = (u64::from(own), u64::from(median));
        // Poor below a half of the median, good from three quarters on; in between the state is kept.
        let should_change = if self.resting { 4 * own >= 3 * median } else { 2 * own < median };
        if !should_change {
            self.since = None;
            return self.resting;
        }
        let since = *self.since.get_or_insert(now);
        if now - since >= if self.resting { Self::GOOD_DURATION } else { Self::POOR_DURATION } {
            *self = RestDetector { resting: !self.resting, since: None };
        }
        self.resting
    }
}

/// A member's state in the store: incarnation, leaving, resting.
pub type MemberState = (Incarnation, bool, bool);

/// Returns each member and whether it is excluded from the shares, as [`crate::Fleet::members`] takes it: members that
/// are leaving or resting. If more than half of the members that stay rest, the fault lies in the forwarders' network and
/// not in the stewards, and resting members are not excluded.
pub fn excluded_members(members: &[MemberState]) -> Vec<(Incarnation, bool)> {
    let stay = members.iter().filter(|(_, leaving, _)| !leaving);
    let (stay, rest) =
        stay.fold((0, 0), |(all, rest), (_, _, resting)| (all + 1, rest + usize::from(*resting)));
    let resting_counts = 2 * rest <= stay;
    members
        .iter()
        .map(|&(incarnation, leaving, resting)| (incarnation, leaving || resting_counts && resting))
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const SECOND: Time = 10_000;

    #[test]
    fn a_steward_that_reaches_less_than_half_rests_and_returns_after_a_longer_time() {
        let mut detector = RestDetector::default();
        assert!(!detector.update(0, 4, Some(&[10, 10, 9])));
        assert!(!detector.update(2 * SECOND, 4, Some(&[10, 10, 9])));
        assert!(detector.update(3 * SECOND, 4, Some(&[10, 10, 9])));
        assert!(
            detector.update(20 * SECOND, 6, Some(&[10, 10, 9])),
            "the state is kept between half and three quarters"
        );
        assert!(detector.update(21 * SECOND, 8, Some(&[10, 10, 9])));
        assert!(
            detector.update(25 * SECOND, 6, Some(&[10, 10, 9])),
            "reachability was good only for a moment"
        );
        assert!(detector.update(26 * SECOND, 8, Some(&[10, 10, 9])));
        assert!(!detector.update(36 * SECOND, 8, Some(&[10, 10, 9])));
    }

    #[test]
    fn a_fault_of_all_stewards_or_a_single_outlier_report_makes_no_steward_rest() {
        let mut detector = RestDetector::default();
        for second in 0..60 {
            assert!(!detector.update(second * SECOND, 0, Some(&[0, 0, 0, 0])));
            assert!(!detector.update(second * SECOND, 10, Some(&[10, 10, 4_000_000_000])));
            assert!(!detector.update(second * SECOND, 0, Some(&[])));
        }
    }

    #[test]
    fn time_in_which_the_fleet_is_unknown_does_not_count() {
        let mut detector = RestDetector::default();
        assert!(!detector.update(0, 0, Some(&[10, 10])));
        assert!(!detector.update(2 * SECOND, 0, None));
        assert!(!detector.update(4 * SECOND, 0, Some(&[10, 10])));
        assert!(detector.update(7 * SECOND, 0, Some(&[10, 10])));
        assert!(
            detector.update(60 * SECOND, 10, None),
            "it rests until its reachability is known to be good"
        );
    }

    #[test]
    fn short_losses_of_reachability_are_ignored() {
        let mut detector = RestDetector::default();
        for second in 0..60 {
            // Forwarders are unreachable every other second.
            assert!(!detector.update(second * SECOND, if second % 2 == 0 { 0 } else { 10 }, Some(&[10, 10])));
        }
    }

    proptest! {
        #[test]
        fn at_least_half_of_the_staying_members_get_shares(members in prop::collection::vec((any::<u64>(), any::<bool>(), any::<bool>()), 0..30)) {
            let excluded = excluded_members(&members);
            let stay = members.iter().filter(|(_, leaving, _)| !leaving).count();
            let left = excluded.iter().filter(|(_, none)| !none).count();
            prop_assert!(2 * left >= stay);
            for ((_, leaving, _), (_, none)) in members.iter().zip(&excluded) {
                prop_assert!(*none || !*leaving);
            }
        }
    }
}

//! Whether a steward is of use, and whom shares are dealt to.
//!
//! A steward that is a member of the store and reaches few of the forwarders would stay in charge of slices that it can't
//! serve. It says so in the store, where all see the same, and is dealt no slices until it reaches them again. What the
//! others reach it knows by hints alone; the worst that false ones bring about is that slices change hands.

use crate::{Life, Time};

/// One steward's look at itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Useful {
    resting: bool,
    /// Since when it has looked otherwise.
    since: Option<Time>,
}

impl Useful {
    /// It rests after this long: forwarders that lost their streams have come back by then, within a second or two.
    const POOR: Time = 30_000;

    /// It is back after this long: some times longer, so that a link that comes and goes moves slices once.
    const WELL: Time = 100_000;

    /// How many forwarders this steward reaches, and each of the others: none where it is not known who they are, as the
    /// view is changing or nobody answers. Returns whether it rests.
    pub fn look(&mut self, now: Time, own: u32, others: Option<&[u32]>) -> bool {
        let Some(others) = others else {
            // What was seen before it may have had its reason in the same fault.
            self.since = None;
            return self.resting;
        };
        let mut others = others.to_vec();
        others.sort_unstable();
        // What half of the others or more reach: a single one that says more than is true moves nobody.
        let Some(&usual) = others.get(others.len() / 2) else {
            *self = Useful::default();
            return false;
        };
        let (own, usual) = (u64::from(own), u64::from(usual));
        // Poor under a half, well from three quarters: between the two it stays as it is.
        let otherwise = if self.resting { 4 * own >= 3 * usual } else { 2 * own < usual };
        if !otherwise {
            self.since = None;
            return self.resting;
        }
        let since = *self.since.get_or_insert(now);
        if now - since >= if self.resting { Self::WELL } else { Self::POOR } {
            *self = Useful { resting: !self.resting, since: None };
        }
        self.resting
    }
}

/// A member as the store has it: whether it is leaving, and whether it rests.
pub type Standing = (Life, bool, bool);

/// Whom shares are not dealt to, as [`crate::Fleet::members`] takes it. Where more than half of those who stay rest, it is
/// the forwarders' network that is at fault and not the stewards: then nobody counts as resting.
pub fn dealt_nothing(members: &[Standing]) -> Vec<(Life, bool)> {
    let stay = members.iter().filter(|(_, leaving, _)| !leaving);
    let (stay, rest) =
        stay.fold((0, 0), |(all, rest), (_, _, resting)| (all + 1, rest + usize::from(*resting)));
    let floor = 2 * rest <= stay;
    members.iter().map(|&(life, leaving, resting)| (life, leaving || floor && resting)).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const SECOND: Time = 10_000;

    #[test]
    fn one_that_reaches_less_than_half_rests_after_a_while_and_is_back_after_a_longer_one() {
        let mut useful = Useful::default();
        assert!(!useful.look(0, 4, Some(&[10, 10, 9])));
        assert!(!useful.look(2 * SECOND, 4, Some(&[10, 10, 9])));
        assert!(useful.look(3 * SECOND, 4, Some(&[10, 10, 9])));
        assert!(
            useful.look(20 * SECOND, 6, Some(&[10, 10, 9])),
            "between half and three quarters it stays as it is"
        );
        assert!(useful.look(21 * SECOND, 8, Some(&[10, 10, 9])));
        assert!(useful.look(25 * SECOND, 6, Some(&[10, 10, 9])), "it was well for a moment only");
        assert!(useful.look(26 * SECOND, 8, Some(&[10, 10, 9])));
        assert!(!useful.look(36 * SECOND, 8, Some(&[10, 10, 9])));
    }

    #[test]
    fn a_fault_that_befalls_all_and_a_single_boast_rest_nobody() {
        let mut useful = Useful::default();
        for second in 0..60 {
            assert!(!useful.look(second * SECOND, 0, Some(&[0, 0, 0, 0])));
            assert!(!useful.look(second * SECOND, 10, Some(&[10, 10, 4_000_000_000])));
            assert!(!useful.look(second * SECOND, 0, Some(&[])));
        }
    }

    #[test]
    fn time_in_which_the_fleet_is_not_known_does_not_count() {
        let mut useful = Useful::default();
        assert!(!useful.look(0, 0, Some(&[10, 10])));
        assert!(!useful.look(2 * SECOND, 0, None));
        assert!(!useful.look(4 * SECOND, 0, Some(&[10, 10])));
        assert!(useful.look(7 * SECOND, 0, Some(&[10, 10])));
        assert!(useful.look(60 * SECOND, 10, None), "it rests until it is known to be well");
    }

    #[test]
    fn a_moment_is_no_reason() {
        let mut useful = Useful::default();
        for second in 0..60 {
            // Every other second its forwarders are gone.
            assert!(!useful.look(second * SECOND, if second % 2 == 0 { 0 } else { 10 }, Some(&[10, 10])));
        }
    }

    proptest! {
        #[test]
        fn the_fleet_is_never_emptied(members in prop::collection::vec((any::<u64>(), any::<bool>(), any::<bool>()), 0..30)) {
            let dealt = dealt_nothing(&members);
            let stay = members.iter().filter(|(_, leaving, _)| !leaving).count();
            let left = dealt.iter().filter(|(_, none)| !none).count();
            prop_assert!(2 * left >= stay);
            for ((_, leaving, _), (_, none)) in members.iter().zip(&dealt) {
                prop_assert!(*none || !*leaving);
            }
        }
    }
}

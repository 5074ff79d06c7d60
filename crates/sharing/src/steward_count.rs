//! The number of stewards that decisions divide fleet-wide budgets by.

use crate::Time;

/// Tracks the number of stewards that the view of the fleet and the store agree on. While a fleet is split, the view of
/// each part shows fewer members than the store has; while the store is unavailable, its members are unknown.
#[derive(Clone, Copy, Debug)]
pub struct StewardCount {
    planned: usize,
    count: usize,
    /// A different number that is being observed, and since when.
    candidate: Option<(usize, Time)>,
}

impl StewardCount {
    /// How long a different number must be observed: longer than a steward's restart plus the expiry of its membership
    /// and the settling of the view, so that a rolling release of stewards changes nothing.
    pub const MIN_OBSERVED: Time = 150_000;

    /// Starts from `planned`, the number of stewards in the settings.
    pub fn new(planned: usize) -> StewardCount {
        let planned = planned.max(1);
        StewardCount { planned, count: planned, candidate: None }
    }

    /// Returns the lowest and the highest number to follow: half and twice the planned one. Beyond these the settings are
    /// wrong, which an operator has to correct, or the view is; and with fewer stewards the decisions' budgets for cold
    /// servers grow.
    pub fn bounds(&self) -> (usize, usize) {
        (self.planned.div_ceil(2), 2 * self.planned)
    }

    /// Takes the number of stewards in the view (`None` while it is not settled) and the number of members in the store
    /// (`None` while it does not answer). Returns the number to use.
    pub fn update(&mut self, now: Time, view: Option<usize>, store: Option<usize>) -> usize {
        let (least, most) = self.bounds();
        let agreed = view.filter(|_| view == store).map(|count| count.clamp(least, most));
        let Some(count) = agreed.filter(|count| *count != self.count) else {
            self.candidate = None;
            return self.count;
        };
        match self.candidate {
            Some((candidate, since)) if candidate == count => {
                if now - since >= Self::MIN_OBSERVED {
                    (self.count, self.candidate) = (count, None);
                }
            }
            _ => self.candidate = Some((count, now)),
        }
        self.count
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const SECOND: Time = 10_000;

    #[test]
    fn the_count_follows_view_and_store_once_they_agree_for_long_enough() {
        let mut stewards = StewardCount::new(3);
        assert_eq!(stewards.update(0, Some(5), Some(5)), 3);
        assert_eq!(stewards.update(14 * SECOND, Some(5), Some(5)), 3);
        assert_eq!(stewards.update(15 * SECOND, Some(5), Some(5)), 5);
        assert_eq!(stewards.update(16 * SECOND, Some(1), Some(1)), 5);
        assert_eq!(stewards.update(31 * SECOND, Some(1), Some(1)), 2, "not below half of the planned number");
        assert_eq!(stewards.update(32 * SECOND, Some(9), Some(9)), 2);
        assert_eq!(stewards.update(47 * SECOND, Some(9), Some(9)), 6, "not above twice the planned number");
    }

    #[test]
    fn a_split_an_unsettled_view_or_an_unavailable_store_does_not_change_the_count() {
        let mut stewards = StewardCount::new(5);
        for second in 0..100 {
            let now = second * SECOND;
            // The store still has the members of the other side.
            assert_eq!(stewards.update(now, Some(2), Some(5)), 5);
        }
        for second in 100..200 {
            let now = second * SECOND;
            let settled = (second % 10 != 0).then_some(4);
            assert_eq!(
                stewards.update(now, settled, Some(4)),
                5,
                "the view was never settled for long enough"
            );
        }
        for second in 200..300 {
            assert_eq!(stewards.update(second * SECOND, Some(4), None), 5);
        }
    }

    proptest! {
        #[test]
        fn the_count_stays_within_its_bounds(
            planned in 0..70usize,
            updates in prop::collection::vec((0..200 * SECOND, prop::option::of(0..99usize), prop::option::of(0..99usize)), 0..50),
        ) {
            let mut stewards = StewardCount::new(planned);
            let (least, most) = stewards.bounds();
            let mut now = 0;
            for (span, view, store) in updates {
                now += span;
                let count = stewards.update(now, view, store);
                prop_assert!(count >= 1 && (least..=most).contains(&count));
            }
        }
    }
}

//! How many stewards there are, for what the decisions divide by it.

use crate::Time;

/// Follows what the view of the fleet shows, where the store says the same: while a fleet is split, the view of each part
/// shows fewer than the store has as members, and while the store is away nobody says who shares.
#[derive(Clone, Copy, Debug)]
pub struct Counted {
    planned: usize,
    count: usize,
    /// Another number, and since when it is seen.
    other: Option<(usize, Time)>,
}

impl Counted {
    /// How long another number has to hold: longer than a steward's restart, with its membership's end and the view's
    /// settling after it, so that a rolling release of stewards changes nothing.
    pub const HELD: Time = 150_000;

    /// `planned`: the settings' number.
    pub fn new(planned: usize) -> Counted {
        let planned = planned.max(1);
        Counted { planned, count: planned, other: None }
    }

    /// From half to twice what is planned: past that it is the plan that is wrong, which a person has to see to, or the
    /// view; and the decisions' budgets for cold servers grow with fewer stewards.
    pub fn bounds(&self) -> (usize, usize) {
        (self.planned.div_ceil(2), 2 * self.planned)
    }

    /// Told how many the view shows, while it is settled, and how many are members by the store, while it answers. Returns
    /// the number to go by.
    pub fn look(&mut self, now: Time, view: Option<usize>, store: Option<usize>) -> usize {
        let (least, most) = self.bounds();
        let agreed = view.filter(|_| view == store).map(|count| count.clamp(least, most));
        let Some(count) = agreed.filter(|count| *count != self.count) else {
            self.other = None;
            return self.count;
        };
        match self.other {
            Some((other, since)) if other == count => {
                if now - since >= Self::HELD {
                    (self.count, self.other) = (count, None);
                }
            }
            _ => self.other = Some((count, now)),
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
    fn it_follows_what_view_and_store_show_for_long_enough() {
        let mut counted = Counted::new(3);
        assert_eq!(counted.look(0, Some(5), Some(5)), 3);
        assert_eq!(counted.look(14 * SECOND, Some(5), Some(5)), 3);
        assert_eq!(counted.look(15 * SECOND, Some(5), Some(5)), 5);
        assert_eq!(counted.look(16 * SECOND, Some(1), Some(1)), 5);
        assert_eq!(counted.look(31 * SECOND, Some(1), Some(1)), 2, "no less than half of what is planned");
        assert_eq!(counted.look(32 * SECOND, Some(9), Some(9)), 2);
        assert_eq!(counted.look(47 * SECOND, Some(9), Some(9)), 6, "no more than twice");
    }

    #[test]
    fn neither_a_split_nor_an_unsettled_view_nor_a_store_that_is_away_changes_it() {
        let mut counted = Counted::new(5);
        for second in 0..100 {
            let now = second * SECOND;
            // The store has the other side's members still.
            assert_eq!(counted.look(now, Some(2), Some(5)), 5);
        }
        for second in 100..200 {
            let now = second * SECOND;
            let settled = (second % 10 != 0).then_some(4);
            assert_eq!(counted.look(now, settled, Some(4)), 5, "it never held for long enough");
        }
        for second in 200..300 {
            assert_eq!(counted.look(second * SECOND, Some(4), None), 5);
        }
    }

    proptest! {
        #[test]
        fn it_stays_in_its_bounds(
            planned in 0..70usize,
            looks in prop::collection::vec((0..200 * SECOND, prop::option::of(0..99usize), prop::option::of(0..99usize)), 0..50),
        ) {
            let mut counted = Counted::new(planned);
            let (least, most) = counted.bounds();
            let mut now = 0;
            for (span, view, store) in looks {
                now += span;
                let count = counted.look(now, view, store);
                prop_assert!(count >= 1 && (least..=most).contains(&count));
            }
        }
    }
}

//! What becomes of orders that wait while only what takes away is written: each slice by itself, each request kind by itself.

use std::collections::BTreeMap;

use ravenspar_steward::Order;

use super::{slice_of, Item};

/// What becomes of an order while only what takes away is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fate {
    Written,
    HeldBack,
    /// A later revoke of its slice, or a later closing, leaves nothing of it.
    Undone,
}

/// The request kinds, a bit each, and the place among all orders of one that lets some in, or closes some, at a slice.
struct LevelAt {
    place: usize,
    kinds: u32,
}

/// The levels ordered for one slice.
#[derive(Default)]
struct Levels {
    openings: Vec<LevelAt>,
    closings: Vec<LevelAt>,
}

impl Levels {
    fn add(&mut self, place: usize, kinds: u32, share: f64) {
        let levels = if share > 0.0 { &mut self.openings } else { &mut self.closings };
        levels.push(LevelAt { place, kinds });
    }

    /// A later closing leaves nothing of this opening.
    fn is_undone(&self, opening: &LevelAt) -> bool {
        let covers = |closing: &LevelAt| closing.place > opening.place && opening.kinds & !closing.kinds == 0;
        self.closings.iter().any(covers)
    }

    /// An earlier opening, held back, would let in again what this closing closes.
    fn is_reopened(&self, closing: &LevelAt) -> bool {
        let reopens = |opening: &&LevelAt| {
            opening.place < closing.place && opening.kinds & closing.kinds != 0 && !self.is_undone(opening)
        };
        self.openings.iter().find(reopens).is_some()
    }

    fn fate(&self, place: usize, kinds: u32, share: f64) -> Fate {
        let level = LevelAt { place, kinds };
        match share > 0.0 {
            true if self.is_undone(&level) => Fate::Undone,
            false if !self.is_reopened(&level) => Fate::Written,
            _ => Fate::HeldBack,
        }
    }
}

/// What is ordered for one slice since it was last revoked.
#[derive(Default)]
struct SliceOrders {
    revoked: Option<usize>,
    is_granted: bool,
    levels: Levels,
}

/// What becomes of each of these orders, in their order.
pub(super) fn fates<'a>(items: impl Iterator<Item = &'a Item> + Clone) -> Vec<Fate> {
    let mut slices: BTreeMap<usize, SliceOrders> = BTreeMap::new();
    for (place, item) in items.clone().enumerate().filter(|(_, item)| !item.dropped) {
        let Some(slice) = slice_of(&item.order) else { continue };
        let of = slices.entry(slice).or_default();
        match item.order {
            Order::DropLines { .. } => {
                *of = SliceOrders { revoked: Some(place), ..SliceOrders::default() };
            }
            Order::SetLine { .. } => of.is_granted = true,
            Order::Level { kinds, share, .. } => of.levels.add(place, kinds, share),
            _ => {}
        }
    }
    let fate = |(place, item): (usize, &Item)| {
        let of = slice_of(&item.order).and_then(|slice| slices.get(&slice));
        match (of, &item.order) {
            _ if item.dropped => Fate::Undone,
            (Some(of), _) if of.revoked.is_some_and(|revoke| place < revoke) => Fate::Undone,
            (Some(of), _) if of.is_granted => Fate::HeldBack,
            (Some(of), &Order::Level { kinds, share, .. }) => of.levels.fate(place, kinds, share),
            _ if item.takes_away() => Fate::Written,
            _ => Fate::HeldBack,
        }
    };
    items.enumerate().map(fate).collect()
}

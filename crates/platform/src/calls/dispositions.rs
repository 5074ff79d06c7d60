//! Decides which queued orders are sent while only restrictive ones may be, separately for each slice.

use std::collections::BTreeMap;

use ravenspar_steward::Order;

use super::{slice_of, QueuedOrder};

/// How a queued order is treated while only restrictive orders are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Disposition {
    Send,
    HoldBack,
    /// A later revoke of its slice supersedes it.
    Superseded,
}

/// The queued orders of one slice.
#[derive(Default)]
struct SliceOrders {
    /// The position of its last revoke among all orders.
    last_revoke: Option<usize>,
    /// It is granted after its last revoke.
    is_granted: bool,
}

/// Returns the treatment of each of these orders, in their order.
pub(super) fn dispositions<'a>(items: impl Iterator<Item = &'a QueuedOrder> + Clone) -> Vec<Disposition> {
    let mut slices: BTreeMap<usize, SliceOrders> = BTreeMap::new();
    for (position, item) in items.clone().enumerate().filter(|(_, item)| !item.dropped) {
        let Some(slice) = slice_of(&item.order) else { continue };
        let orders = slices.entry(slice).or_default();
        match item.order {
            Order::DropLines { .. } => {
                *orders = SliceOrders { last_revoke: Some(position), is_granted: false }
            }
            Order::SetLine { .. } => orders.is_granted = true,
            _ => {}
        }
    }
    let disposition = |(position, item): (usize, &QueuedOrder)| {
        let orders = slice_of(&item.order).and_then(|slice| slices.get(&slice));
        match orders {
            _ if item.dropped => Disposition::Superseded,
            Some(orders) if orders.last_revoke.is_some_and(|last_revoke| position < last_revoke) => {
                Disposition::Superseded
            }
            Some(orders) if orders.is_granted => Disposition::HoldBack,
            _ if item.is_restrictive() => Disposition::Send,
            _ => Disposition::HoldBack,
        }
    };
    items.enumerate().map(disposition).collect()
}

//! State of the subscription to the store's notifications.

use std::collections::{BTreeMap, BTreeSet};

use ravenspar_steward::Time;

use crate::slices::Line;

/// State of the subscription. `docs/design/platform.md` has the state diagram.
#[derive(Debug)]
pub enum Subscription {
    /// Not subscribed since this time. The last known state is kept and may be out of date.
    Lost { since: Time },
    /// Subscribed; the snapshot of the current state is being received.
    Snapshot(Snapshot),
    /// The snapshot is complete; further notifications are changes.
    Live,
}

/// The state received since the subscription began. The first heartbeat ends it: the store sends its whole current
/// state before that.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// When the last notification of an earlier live subscription was received, if there was one.
    pub last_live: Option<Time>,
    /// The earliest time that its contents can date from: when the previous subscription was lost.
    pub earliest: Time,
    /// When its first notification was received; its contents date from this time at the latest.
    pub began: Time,
    /// When it last grew, and how large it was. A snapshot in slow delivery goes on as long as it grows, which the numbers
    /// of proxies and slices bound.
    pub grown_at: Time,
    largest_size: usize,
    pub proxies: BTreeSet<usize>,
    pub slices: BTreeMap<usize, SliceSnapshot>,
}

/// The state of one slice in a snapshot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SliceSnapshot {
    pub line: Line,
    /// A call that names its line was written during this subscription, before the snapshot listed the slice. The
    /// slice may have been assigned after that call was applied, and so without its effect.
    pub after_order: bool,
}

impl Snapshot {
    /// Creates an empty snapshot whose first notification was received now.
    pub fn new(now: Time, earliest: Time, last_live: Option<Time>) -> Snapshot {
        Snapshot { last_live, earliest, began: now, grown_at: now, ..Snapshot::default() }
    }

    pub fn add_proxy(&mut self, now: Time, proxy: usize) {
        self.proxies.insert(proxy);
        self.update_size(now);
    }

    /// Adds a slice. Returns false if it was reported before.
    pub fn add_slice(&mut self, now: Time, slice: usize, entry: SliceSnapshot) -> bool {
        let is_first = self.slices.insert(slice, entry).is_none();
        self.update_size(now);
        is_first
    }

    fn update_size(&mut self, now: Time) {
        let size = self.proxies.len() + self.slices.len();
        if size > self.largest_size {
            (self.largest_size, self.grown_at) = (size, now);
        }
    }
}

impl Subscription {
    /// Returns the snapshot while it is being received.
    pub fn snapshot(&mut self) -> Option<&mut Snapshot> {
        match self {
            Subscription::Snapshot(snapshot) => Some(snapshot),
            _ => None,
        }
    }

    /// Returns true if the snapshot is complete and the subscription is not lost.
    pub fn is_live(&self) -> bool {
        matches!(self, Subscription::Live)
    }
}

//! The interface between a steward and its host (a program, or the drill): inputs, orders and settings.
//!
//! All decisions are in [`rebalance`]. A host maps external ids to small indices with [`IdTable`], calls one
//! input method of [`Steward`] for each event, then takes [`Order`]s until there are none.

mod rebalance;

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

pub use rebalance::Steward;

/// A point in time or a duration, in units of 0.1 ms.
pub type Time = i64;

/// One second as a [`Time`].
pub const SECOND: Time = 10_000;

/// The weight of every line that a grant sets. Proxies treat a line with a lower weight as read-only.
pub const FULL_WEIGHT: f64 = 1.0;

/// Converts seconds, the unit of settings and messages, to a [`Time`].
pub fn from_seconds(seconds: f64) -> Time {
    (seconds * SECOND as f64).round() as Time
}

/// The state of a server in the list from discovery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    Ready,
    Draining,
    #[default]
    Gone,
}

/// The extent of a server list that is handed in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Only the changed entries.
    Changes,
    /// The complete list.
    Complete,
    /// The complete list without entries whose server can't be told: nothing follows from a server's absence.
    Partial,
    /// The complete list as it was stored before a restart; newer servers may be missing.
    Stored,
}

/// An action for the host to carry out. Servers and slices are indices.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Grants a slice to a server.
    SetLine { slice: usize, server: usize },
    /// Revokes a slice from its server.
    DropLines { slice: usize },
    /// Sets the admitted share of the request kinds in the `kinds` bit mask, for all slices if `slice` is `None`.
    SetLevel { slice: Option<usize>, kinds: u32, share: f64 },
    /// Takes a server out of the proxies' tables (`out`) or puts it back.
    Withdraw { server: usize, out: bool },
    /// Asks every joined proxy to answer with this number: the mark at the end of an update.
    Mark { number: u16 },
    /// Subscribes to changes of the server list.
    SubscribeList,
    /// Requests a call of [`Steward::reminder`] at this time.
    Remind { at: Time },
}

/// Estimate of the lines that wait in the channel to the proxies.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WaitingLines {
    /// Number of lines, summed over all proxies.
    pub lines: f64,
    /// Time at which the oldest of them was written.
    pub since: Option<Time>,
}

/// Permission to send orders again whose outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resend {
    /// Number of orders that may be sent, including the mark.
    pub orders: usize,
    /// The mark to end them with; answers to earlier messages carry a different one.
    pub number: u16,
}

/// The settings of a deployment: values by name, and the numbers that may change while a steward runs.
#[derive(Clone, Debug, Default)]
pub struct Settings(HashMap<String, String>, Vec<(String, LiveNumber)>);

/// A number shared by all clones, so that a setting can change between two updates.
#[derive(Clone, Debug, Default)]
pub struct LiveNumber(Arc<AtomicU64>);

impl LiveNumber {
    pub fn new(number: f64) -> LiveNumber {
        LiveNumber(Arc::new(AtomicU64::new(number.to_bits())))
    }

    pub fn set(&self, number: f64) {
        self.0.store(number.to_bits(), Ordering::Relaxed);
    }

    pub fn get(&self) -> f64 {
        f64::from_bits(self.0.load(Ordering::Relaxed))
    }
}

impl Settings {
    pub fn set(&mut self, name: &str, value: &str) {
        self.0.insert(name.to_owned(), value.to_owned());
    }

    /// Makes a setting a number that may change at run time. It takes precedence over a fixed value.
    pub fn set_live(&mut self, name: &str, live: LiveNumber) {
        self.1.retain(|(known, _)| known != name);
        self.1.push((name.to_owned(), live));
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }

    pub fn number(&self, name: &str) -> Option<f64> {
        if let Some((_, live)) = self.1.iter().find(|(known, _)| known == name) {
            return Some(live.get());
        }
        self.text(name)?.parse().ok().filter(|n: &f64| n.is_finite())
    }

    pub fn time(&self, name: &str) -> Option<Time> {
        self.number(name).map(from_seconds)
    }

    pub fn flag(&self, name: &str) -> bool {
        matches!(self.text(name), Some("true" | "1"))
    }

    /// Returns the names of the request kinds, in their configured order.
    pub fn kinds(&self) -> IdTable<String> {
        let mut kinds = IdTable::default();
        for k in 0..self.number("classes.count").unwrap_or(0.0).clamp(0.0, 31.0) as usize {
            kinds.index(&self.text(&format!("classes.{k}.name")).unwrap_or("").to_owned());
        }
        kinds
    }

    /// Returns the number of slices of all stewards together.
    pub fn slices(&self) -> usize {
        self.number("family_info.ranges").unwrap_or(0.0) as usize
    }
}

/// Maps external ids to small indices, assigned in order of first use.
#[derive(Clone, Debug)]
pub struct IdTable<K> {
    index: HashMap<K, usize>,
    ids: Vec<Option<K>>,
    /// Released indices, which the next new ids reuse.
    free: Vec<usize>,
}

impl<K> Default for IdTable<K> {
    fn default() -> Self {
        IdTable { index: HashMap::new(), ids: Vec::new(), free: Vec::new() }
    }
}

impl<K: Clone + Eq + std::hash::Hash> IdTable<K> {
    /// Returns the index of an id and assigns one if it has none.
    pub fn index(&mut self, id: &K) -> usize {
        if let Some(&known) = self.index.get(id) {
            return known;
        }
        let index = self.free.pop().unwrap_or(self.ids.len());
        self.ids.resize(self.ids.len().max(index + 1), None);
        self.ids[index] = Some(id.clone());
        self.index.insert(id.clone(), index);
        index
    }

    pub fn find(&self, id: &K) -> Option<usize> {
        self.index.get(id).copied()
    }

    pub fn id(&self, index: usize) -> Option<&K> {
        self.ids.get(index)?.as_ref()
    }

    /// Releases an index for reuse. Nothing may refer to it any more.
    pub fn release(&mut self, index: usize) {
        if let Some(id) = self.ids.get_mut(index).and_then(Option::take) {
            self.index.remove(&id);
            self.free.push(index);
        }
    }
}

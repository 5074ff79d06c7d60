//! The state of slices at the store and at proxies, and how orders change it.

use ravenspar_platform::Time;
use serde_json::Value;

/// A line, if there is one: its server, and its weight.
pub(super) type Line = Option<(usize, f64)>;

/// The change of one order to a slice's table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Change {
    Line(usize, f64),
    Clear,
    /// Whether writes are admitted.
    Writes(bool),
}

/// A slice's table, at the store or at a proxy.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Table {
    pub(super) line: Line,
    pub(super) closed: bool,
}

impl Table {
    pub(super) fn apply(&mut self, change: Change) {
        match change {
            Change::Line(server, weight) => self.line = Some((server, weight)),
            Change::Clear => *self = Table::default(),
            Change::Writes(open) => self.closed = !open,
        }
    }

    /// Returns the server that writes go to.
    pub(super) fn writes_to(&self) -> Option<usize> {
        self.line.filter(|_| !self.closed).map(|(server, _)| server)
    }
}

/// A slice at the store.
#[derive(Clone, Default)]
pub(super) struct StoredSlice {
    pub(super) steward: usize,
    pub(super) table: Table,
    /// The number of changes to it.
    pub(super) version: u64,
}

/// A slice at a proxy.
#[derive(Clone, Default)]
pub(super) struct ProxySlice {
    pub(super) table: Table,
    /// The version of the store up to which changes are known.
    pub(super) version: u64,
    /// Writes are sent until this time.
    pub(super) until: Time,
    /// The scheduled read of the store.
    pub(super) pending_read: Option<u64>,
}

/// Returns the change of an order to a slice's table, as far as it affects writes.
pub(super) fn change(order: &Value) -> Option<Change> {
    match order["verb"].as_str() {
        Some("share") => {
            let server = order["target"].as_str().and_then(|name| name[1..].parse().ok());
            Some(Change::Line(server.expect("a server"), order["rps"].as_f64().expect("a weight")))
        }
        Some("clear") => Some(Change::Clear),
        Some("admit") => {
            let routes = order["routes"].as_array().map_or(&[][..], Vec::as_slice);
            let affects_writes = routes.is_empty() || routes.iter().any(|route| route == "write");
            affects_writes.then(|| Change::Writes(order["admit"].as_f64() != Some(0.0)))
        }
        _ => None,
    }
}

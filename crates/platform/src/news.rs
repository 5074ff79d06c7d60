//! What stands, gathered at a new subscription to the store's news and held against what was known.

use std::collections::{BTreeMap, BTreeSet};

use ravenspar_steward::Time;

/// The call that asks for news.
pub const SUBSCRIBE: &[u8] = br#"{"jsonrpc":"2.0","id":1,"method":"subscribe"}"#;

/// The line of a slice's table: host and weight.
pub type Row = Option<(usize, f64)>;

/// What the store has told since the subscription, up to its first sign of life: all that stands comes before that.
#[derive(Debug, Default)]
pub struct Standing {
    /// When the news before it were last heard, if there were any.
    pub since: Option<Time>,
    /// When the subscription was answered.
    pub began: Time,
    pub proxies: BTreeSet<usize>,
    pub slices: BTreeMap<usize, Row>,
}

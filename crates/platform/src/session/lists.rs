//! Host lists from discovery: which are accepted, and when a lower version means that discovery has restarted.

use std::fmt;

use ravenspar_steward::{ListScope, Time, SECOND};
use serde_json::Value;

use super::Session;
use crate::fields;

/// Discovery reports a change within this time, so an older list that comes after that is no late reply. Guards against a
/// discovery service that restarted its versions, at its address or another, and would be refused for good.
const DISCOVERY_DELAY: Time = 6 * SECOND;

/// Why a list was not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListError {
    /// It can't be read. If that is so of single entries, the others are applied.
    Unreadable(String),
    /// It is older than the current one. Nothing is applied.
    Older { version: u64 },
    /// The same, and it was requested before the current one was received.
    Overtaken { version: u64 },
}

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ListError::Unreadable(why) => write!(f, "{why}"),
            ListError::Older { version } => write!(f, "version {version} is older than the one held"),
            ListError::Overtaken { version } => write!(f, "version {version} was overtaken by a newer one"),
        }
    }
}

impl Session {
    /// Applies a list in discovery's format, requested at `requested_at` as changes or as a `whole`, and returns its
    /// version. Fails without any effect if it isn't a list, is older than the current one, or has changes where the whole
    /// list was requested. Fails with the readable entries applied if an entry is unreadable.
    pub fn handle_list(
        &mut self,
        now: Time,
        body: &[u8],
        whole: bool,
        requested_at: Time,
    ) -> Result<u64, ListError> {
        let (list, version, complete) = parse_list(body, whole).map_err(ListError::Unreadable)?;
        if self.metrics.list_version.is_some_and(|held| version < held) {
            self.check_renumbered(now, version, complete, requested_at)?;
        }
        let has_entries = complete || list["instances"].as_array().is_none_or(|entries| !entries.is_empty());
        if has_entries {
            let scope = if complete { ListScope::Complete } else { ListScope::Changes };
            self.servers
                .apply_list(now, &list, scope, &mut self.steward)
                .map_err(|error| ListError::Unreadable(error.to_string()))?;
        }
        self.outdated_lists_since = None;
        (self.metrics.list_version, self.metrics.last_list) = (Some(version), Some(now));
        Ok(version)
    }

    /// Accepts a complete list of a version below the current one if discovery has started over; fails otherwise.
    fn check_renumbered(
        &mut self,
        now: Time,
        version: u64,
        complete: bool,
        requested_at: Time,
    ) -> Result<(), ListError> {
        if self.metrics.last_list.is_some_and(|last| requested_at < last) {
            return Err(ListError::Overtaken { version });
        }
        let since = *self.outdated_lists_since.get_or_insert(now);
        if !complete || now - since < DISCOVERY_DELAY {
            return Err(ListError::Older { version });
        }
        Ok(())
    }
}

/// Parses a list in discovery's format: its fields, its version, and whether it is complete. Fails with what was expected.
fn parse_list(body: &[u8], whole: bool) -> Result<(Value, u64, bool), String> {
    let list: Value = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let version = list["generation"].as_u64().ok_or("field generation: expected a whole number")?;
    let complete = fields::flag(&list, "reset").map_err(|error| error.to_string())?;
    if whole && !complete {
        return Err("field reset: expected true, as the whole list was asked for".to_owned());
    }
    Ok((list, version, complete))
}

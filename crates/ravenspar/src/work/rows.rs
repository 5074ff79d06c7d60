//! What work for the fleet reads at the store, and how it is written there.

use ravenspar_duty::{Claim, Life};
use ravenspar_jobs::{Job, Line, Site};
use ravenspar_store::Row;
use serde::{Deserialize, Serialize};

use crate::shared::Keys;

/// A site's key, bound to its life's lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteRow {
    pub name: String,
    pub room: usize,
    pub boot: u64,
}

/// What a steward says of itself to those who share its duties, bound to its membership.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reach {
    /// Sites whose agents are connected to it.
    pub sites: usize,
    /// It is of no use for duties.
    pub poor: bool,
}

/// How a job ended, for whoever handed it in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeRow {
    /// `done`, `parked` or `cancelled`.
    pub ended: String,
    pub token: u64,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub why: String,
}

pub fn write<T: Serialize>(row: &T) -> Vec<u8> {
    // Of plain fields, none of which can fail to be written.
    serde_json::to_vec(row).unwrap_or_default()
}

pub fn site(row: &Row) -> Option<Site> {
    let life = Keys::life(&row.key)?;
    let SiteRow { name, room, .. } = serde_json::from_slice(&row.value).ok()?;
    Some(Site { life, name, room })
}

pub fn reach(row: &Row) -> Option<(Life, Reach)> {
    Some((Keys::life(&row.key)?, serde_json::from_slice(&row.value).ok()?))
}

/// The claim of a duty, by its name.
pub fn claim(row: &Row) -> Option<(&str, Claim)> {
    let owner = crate::shared::read_life(&row.value)?;
    Some((Keys::last(&row.key)?, Claim { owner, term: row.modified }))
}

/// A line, or what is wrong with it.
pub fn line(row: &Row) -> Option<(String, Line)> {
    let id = Keys::last(&row.key)?.to_owned();
    Some((id, serde_json::from_slice(&row.value).ok()?))
}

/// A job as it was handed in; one that can't be read is told with what is wrong.
pub fn job(row: &Row) -> Option<(String, Result<Job, String>)> {
    let id = Keys::last(&row.key)?.to_owned();
    let job = serde_json::from_slice(&row.value).map_err(|why| why.to_string());
    Some((id, job))
}

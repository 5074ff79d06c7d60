//! What work for the fleet reads at the store, and how it is written there.

use ravenspar_debt::{Key, Sums, UseRow};
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
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reach {
    /// Sites whose agents are connected to it.
    pub sites: usize,
    /// It is of no use for duties.
    pub poor: bool,
    /// The ranking that it goes by: epoch, revision and digest.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ranking: Option<(u64, u64, String)>,
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
    let job =
        job.and_then(|job: Job| match is_name(&job.user) && (job.group.is_empty() || is_name(&job.group)) {
            true => Ok(job),
            false => Err("user, group: expected letters, digits, - _ . and 128 of them at most".to_owned()),
        });
    Some((id, job))
}

/// Ids that jobs may have, and names of users and groups: they are parts of keys.
pub fn is_name(name: &str) -> bool {
    (1..=128).contains(&name.len())
        && name.bytes().all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.'))
}

/// Sums by whose they are.
pub fn sums(rows: &[Row]) -> Sums {
    let mut sums = Sums::default();
    for row in rows {
        let (Some(name), Ok(sum)) = (Keys::last(&row.key), serde_json::from_slice(&row.value)) else {
            continue;
        };
        let of_group = row.key.ends_with(format!("/g/{name}").as_bytes());
        if of_group { &mut sums.groups } else { &mut sums.users }.push((name.to_owned(), sum));
    }
    sums
}

pub fn use_of(row: &Row) -> Option<(Key, UseRow)> {
    let key = std::str::from_utf8(&row.key).ok()?;
    let (rest, job) = key.rsplit_once('/')?;
    let token = u64::from_str_radix(rest.rsplit('/').next()?, 16).ok()?;
    Some(((token, job.to_owned()), serde_json::from_slice(&row.value).ok()?))
}

//! Encoding and decoding of the store's entries that fleet work uses.

use ravenspar_debt::{Key, Totals, UseRow};
use ravenspar_duty::{Claim, Incarnation};
use ravenspar_jobs::{Job, JobLine, Site};
use ravenspar_store::Row;
use serde::{Deserialize, Serialize};

use crate::shared::Keys;

/// The value of a site's key, which is bound to the lease of the site's incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteRecord {
    pub name: String,
    pub room: usize,
    pub boot: u64,
}

/// What a steward reports of itself to the other stewards of the fleet; its key is bound to its membership.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reachability {
    /// Number of sites whose agents are connected to it.
    pub sites: usize,
    /// True if it is unfit to lead duties: too slow, or reaching too few sites.
    pub poor: bool,
    /// The ranking that it uses: epoch, revision and digest.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ranking: Option<(u64, u64, String)>,
}

/// How a job ended, for the client that submitted it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeRecord {
    /// `done`, `parked` or `cancelled`.
    pub ended: String,
    pub token: u64,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub why: String,
}

/// Encodes a value as JSON.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Types of plain fields, whose serialization can't fail.
    serde_json::to_vec(value).unwrap_or_default()
}

/// Decodes a site's entry.
pub fn site(row: &Row) -> Option<Site> {
    let incarnation = Keys::incarnation(&row.key)?;
    let SiteRecord { name, room, .. } = serde_json::from_slice(&row.value).ok()?;
    Some(Site { incarnation, name, room })
}

/// Decodes a steward's report of itself.
pub fn reachability(row: &Row) -> Option<(Incarnation, Reachability)> {
    Some((Keys::incarnation(&row.key)?, serde_json::from_slice(&row.value).ok()?))
}

/// Decodes the claim of a duty, with the duty's name.
pub fn claim(row: &Row) -> Option<(&str, Claim)> {
    let leader = crate::shared::decode_incarnation(&row.value)?;
    Some((Keys::last(&row.key)?, Claim { leader, term: row.modified }))
}

/// Decodes a job's line, with the job's id.
pub fn line(row: &Row) -> Option<(String, JobLine)> {
    let id = Keys::last(&row.key)?.to_owned();
    Some((id, serde_json::from_slice(&row.value).ok()?))
}

/// Decodes a job as submitted, with its id; the inner error says what is invalid about it.
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

/// Returns true if this may be a job's id or the name of a user or group, which become parts of keys.
pub fn is_name(name: &str) -> bool {
    (1..=128).contains(&name.len())
        && name.bytes().all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.'))
}

/// Decodes the sums of users and groups; entries that can't be read are skipped.
pub fn sums(rows: &[Row]) -> Totals {
    let mut sums = Totals::default();
    for row in rows {
        let (Some(name), Ok(sum)) = (Keys::last(&row.key), serde_json::from_slice(&row.value)) else {
            continue;
        };
        let is_group = row.key.ends_with(format!("/g/{name}").as_bytes());
        if is_group { &mut sums.groups } else { &mut sums.users }.push((name.to_owned(), sum));
    }
    sums
}

/// Decodes a use, with its token and job.
pub fn use_of(row: &Row) -> Option<(Key, UseRow)> {
    let key = std::str::from_utf8(&row.key).ok()?;
    let (rest, job) = key.rsplit_once('/')?;
    let token = u64::from_str_radix(rest.rsplit('/').next()?, 16).ok()?;
    Some(((token, job.to_owned()), serde_json::from_slice(&row.value).ok()?))
}

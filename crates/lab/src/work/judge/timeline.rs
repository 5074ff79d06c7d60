//! The changes at the store during a day, decoded and grouped by kind of key.

use std::collections::BTreeMap;

use ravenspar_jobs::JobLine;
use ravenspar_standin::agent::Spec;
use ravenspar_standin::store::Change;
use ravenspar_standin::Time;

use crate::work::play::PREFIX;

/// A change of a job's line.
pub(super) struct LineChange<'a> {
    pub(super) at: Time,
    pub(super) revision: i64,
    pub(super) job: &'a str,
    pub(super) line: Option<JobLine>,
    /// The incarnation and the executor that wrote it, by the witness key of the same transaction.
    pub(super) writer: Option<(&'a str, &'a str)>,
}

/// All that the store recorded, decoded.
pub(super) struct Timeline<'a> {
    pub(super) lines: Vec<LineChange<'a>>,
    /// Changes of the jobs duty's key: time, revision and the new leader's incarnation, or `None` where it was released.
    pub(super) claims: Vec<(Time, i64, Option<&'a str>)>,
    /// Names of members by their incarnations in hex.
    pub(super) members: BTreeMap<&'a str, String>,
    /// Sites by their incarnations.
    pub(super) sites: BTreeMap<u64, Site>,
    pub(super) jobs: BTreeMap<&'a str, Spec>,
    pub(super) outcomes: BTreeMap<&'a str, String>,
}

/// A site's incarnation.
pub(super) struct Site {
    pub(super) name: String,
    pub(super) capacity: usize,
    /// Periods in which its key existed: the first revision, then the time and the revision of its deletion. A faulty agent
    /// may register the same incarnation again.
    pub(super) present: Vec<(i64, Option<(Time, i64)>)>,
}

impl Site {
    pub(super) fn is_present(&self, revision: i64) -> bool {
        self.present.iter().any(|(from, gone)| *from <= revision && gone.is_none_or(|gone| gone.1 > revision))
    }
}

/// Decodes the changes; values that can't be decoded are left out.
pub(super) fn timeline(changes: &[Change]) -> Timeline<'_> {
    let mut witness: BTreeMap<i64, (&str, &str)> = BTreeMap::new();
    for change in changes {
        let executor = change.key.strip_prefix(PREFIX).and_then(|key| key.strip_prefix("witness/"));
        if let Some(executor) = executor.and_then(|executor| executor.split_once('/')) {
            witness.insert(change.revision, executor);
        }
    }
    let mut timeline = Timeline {
        lines: Vec::new(),
        claims: Vec::new(),
        members: BTreeMap::new(),
        sites: BTreeMap::new(),
        jobs: BTreeMap::new(),
        outcomes: BTreeMap::new(),
    };
    for change in changes {
        let Some((kind, id)) = change.key.strip_prefix(PREFIX).and_then(|key| key.split_once('/')) else {
            continue;
        };
        let value = change.value.as_deref();
        match kind {
            "line" => timeline.lines.push(LineChange {
                at: change.at,
                revision: change.revision,
                job: id,
                line: value.and_then(|text| serde_json::from_str(text).ok()),
                writer: witness.get(&change.revision).copied(),
            }),
            "duty" if id == "jobs" => timeline.claims.push((change.at, change.revision, value)),
            "member" => {
                let name = value.and_then(|text| serde_json::from_str::<serde_json::Value>(text).ok());
                if let Some(name) = name.and_then(|value| Some(value["name"].as_str()?.to_owned())) {
                    timeline.members.insert(id, name);
                }
            }
            "site" => {
                let Ok(incarnation) = u64::from_str_radix(id, 16) else { continue };
                let row = value.and_then(|text| serde_json::from_str::<serde_json::Value>(text).ok());
                match row {
                    Some(row) => {
                        let name = row["name"].as_str().unwrap_or_default().to_owned();
                        let capacity = row["room"].as_u64().unwrap_or(0) as usize;
                        let site = timeline.sites.entry(incarnation).or_insert(Site {
                            name,
                            capacity,
                            present: Vec::new(),
                        });
                        site.present.push((change.revision, None));
                    }
                    None => {
                        let site = timeline.sites.get_mut(&incarnation);
                        if let Some((_, gone)) = site.and_then(|site| site.present.last_mut()) {
                            *gone = Some((change.at, change.revision));
                        }
                    }
                }
            }
            "job" => {
                if let Some(spec) = value.and_then(|text| serde_json::from_str(text).ok()) {
                    timeline.jobs.insert(id, spec);
                }
            }
            "outcome" => {
                let row = value.and_then(|text| serde_json::from_str::<serde_json::Value>(text).ok());
                if let Some(ended) = row.and_then(|row| Some(row["ended"].as_str()?.to_owned())) {
                    timeline.outcomes.insert(id, ended);
                }
            }
            _ => {}
        }
    }
    timeline
}

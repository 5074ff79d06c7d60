//! The history of a day as the store has seen it, by what it is about.

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
    /// Whose hand wrote it: the life and the hand's name.
    pub(super) by: Option<(&'a str, &'a str)>,
}

pub(super) struct Story<'a> {
    pub(super) lines: Vec<LineChange<'a>>,
    /// The owner's life, or nobody's, from each revision on.
    pub(super) claims: Vec<(Time, i64, Option<&'a str>)>,
    /// Names of members by their lives in hex.
    pub(super) members: BTreeMap<&'a str, String>,
    /// Sites by their lives.
    pub(super) sites: BTreeMap<u64, Site>,
    pub(super) jobs: BTreeMap<&'a str, Spec>,
    pub(super) outcomes: BTreeMap<&'a str, String>,
}

pub(super) struct Site {
    pub(super) name: String,
    pub(super) room: usize,
    /// From which revision on it was there, and when and at which revision it went; lives of ill agents come again.
    pub(super) there: Vec<(i64, Option<(Time, i64)>)>,
}

impl Site {
    pub(super) fn is_there(&self, revision: i64) -> bool {
        self.there.iter().any(|(from, gone)| *from <= revision && gone.is_none_or(|gone| gone.1 > revision))
    }
}

pub(super) fn story(changes: &[Change]) -> Story<'_> {
    let mut witness: BTreeMap<i64, (&str, &str)> = BTreeMap::new();
    for change in changes {
        let hand = change.key.strip_prefix(PREFIX).and_then(|key| key.strip_prefix("witness/"));
        if let Some(hand) = hand.and_then(|hand| hand.split_once('/')) {
            witness.insert(change.revision, hand);
        }
    }
    let mut story = Story {
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
            "line" => story.lines.push(LineChange {
                at: change.at,
                revision: change.revision,
                job: id,
                line: value.and_then(|text| serde_json::from_str(text).ok()),
                by: witness.get(&change.revision).copied(),
            }),
            "duty" if id == "jobs" => story.claims.push((change.at, change.revision, value)),
            "member" => {
                let name = value.and_then(|text| serde_json::from_str::<serde_json::Value>(text).ok());
                if let Some(name) = name.and_then(|value| Some(value["name"].as_str()?.to_owned())) {
                    story.members.insert(id, name);
                }
            }
            "site" => {
                let Ok(life) = u64::from_str_radix(id, 16) else { continue };
                let row = value.and_then(|text| serde_json::from_str::<serde_json::Value>(text).ok());
                match row {
                    Some(row) => {
                        let name = row["name"].as_str().unwrap_or_default().to_owned();
                        let room = row["room"].as_u64().unwrap_or(0) as usize;
                        let site = story.sites.entry(life).or_insert(Site { name, room, there: Vec::new() });
                        site.there.push((change.revision, None));
                    }
                    None => {
                        let site = story.sites.get_mut(&life);
                        if let Some((_, gone)) = site.and_then(|site| site.there.last_mut()) {
                            *gone = Some((change.at, change.revision));
                        }
                    }
                }
            }
            "job" => {
                if let Some(spec) = value.and_then(|text| serde_json::from_str(text).ok()) {
                    story.jobs.insert(id, spec);
                }
            }
            "outcome" => {
                let row = value.and_then(|text| serde_json::from_str::<serde_json::Value>(text).ok());
                if let Some(ended) = row.and_then(|row| Some(row["ended"].as_str()?.to_owned())) {
                    story.outcomes.insert(id, ended);
                }
            }
            _ => {}
        }
    }
    story
}

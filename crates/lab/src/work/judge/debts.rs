//! Rules S1 to S3: compares the stewards' debts with a simple computation from what the store recorded and the sites used.

use std::collections::BTreeMap;

use ravenspar_debt::{EpochRow, Ledger, Shares, UseRow};
use ravenspar_standin::Time;

use super::{seconds, Finding, Observations};
use crate::work::day::{self, WorkDay};
use crate::work::play::PREFIX;

/// The users' shares by the day's settings.
pub(super) fn shares(debts: &day::Debts) -> Shares {
    let weight = |entry: &String| {
        let (user, weight) = entry.split_once('=')?;
        Some((user.to_owned(), weight.parse().ok()?))
    };
    Shares {
        groups: BTreeMap::new(),
        users: debts.users.iter().filter_map(weight).collect(),
        other: 1,
        half_life: (debts.half_life.0 / debts.epoch.0.max(1)) as u32,
    }
}

/// S1 to S3: each use is folded once, all members use the same ranking, and its digest is the one computed here.
pub(super) fn debts_rules(day: &WorkDay, observed: &Observations, shares: &Shares) -> Vec<Finding> {
    let mut rules = Vec::new();
    // S1: each use is folded exactly once, with the amount that was used.
    let (mut folded, mut violations) = (BTreeMap::<(u64, String), UseRow>::new(), Vec::new());
    // S3: the totals computed here, compared at each published version.
    let (mut ledger, mut wrong, mut versions) = (Ledger::new(shares.clone()), Vec::new(), 0);
    let mut epochs: Vec<(Time, u64)> = Vec::new();
    let mut at = 0;
    while at < observed.changes.len() {
        let revision = observed.changes[at].revision;
        let end = observed.changes[at..].iter().position(|change| change.revision != revision);
        let end = end.map_or(observed.changes.len(), |n| at + n);
        let mut published: Option<EpochRow> = None;
        for change in &observed.changes[at..end] {
            let Some(key) = change.key.strip_prefix(PREFIX) else { continue };
            let Some(value) = change.value.as_deref() else { continue };
            let lease = key.strip_prefix("use/").and_then(|key| key.split_once('/'));
            let lease =
                lease.and_then(|(token, job)| Some((u64::from_str_radix(token, 16).ok()?, job.to_owned())));
            if let Some(lease) = lease {
                let Ok(row) = serde_json::from_str::<UseRow>(value) else { continue };
                if row.folded {
                    ledger.add(&row.fact.user, &row.fact.group, row.fact.used);
                    if folded.insert(lease.clone(), row).is_some() {
                        violations.push(format!("{lease:?} was folded twice"));
                    }
                } else if folded.contains_key(&lease) {
                    violations.push(format!("{lease:?} was written after it was folded"));
                }
            }
            if key == "ranking" {
                published = serde_json::from_str(value).ok();
            }
        }
        if let Some(row) = published {
            versions += 1;
            if row.epoch != ledger.epoch && row.epoch != ledger.epoch + 1 {
                wrong.push(format!("epoch {} follows {}", row.epoch, ledger.epoch));
            }
            if row.epoch > ledger.epoch {
                epochs.push((observed.changes[at].at, row.epoch));
            }
            ledger.epoch = row.epoch;
            let digest: String = ledger.digest().iter().map(|byte| format!("{byte:02x}")).collect();
            if digest != row.digest {
                wrong
                    .push(format!("revision {revision}: published digest {}, computed {digest}", row.digest));
            }
        }
        at = end;
    }
    let used: BTreeMap<(u64, String), Time> = observed.used.iter().cloned().collect();
    let mut missing = 0;
    for (token, amount) in &used {
        match folded.get(token) {
            None => missing += 1,
            Some(row) if row.fact.used != *amount as u64 => {
                violations.push(format!("{token:?}: {} folded, {amount} used", row.fact.used));
            }
            Some(_) => {}
        }
    }
    if missing > day.judge.max_uses_lost {
        violations.push(format!("{missing} uses not folded, {} allowed", day.judge.max_uses_lost));
    }
    let mut by_user: BTreeMap<&str, u64> = BTreeMap::new();
    folded.values().for_each(|row| *by_user.entry(&row.fact.user).or_default() += row.fact.used);
    let summary: Vec<String> =
        by_user.iter().map(|(user, used)| format!("{user} {:.1} s", seconds(*used as Time))).collect();
    rules.push((
        "S1 use",
        format!("{} leases, {missing} not folded; {}", used.len(), summary.join(", ")),
        violations,
    ));

    // S2: at the end all members use the same ranking, and none ever went back to an older one.
    let mut current_rankings: BTreeMap<&str, (u64, u64, String)> = BTreeMap::new();
    let mut inconsistent = Vec::new();
    for change in &observed.changes {
        let Some(incarnation) = change.key.strip_prefix(PREFIX).and_then(|key| key.strip_prefix("reach/"))
        else {
            continue;
        };
        let row =
            change.value.as_deref().and_then(|text| serde_json::from_str::<serde_json::Value>(text).ok());
        let Some(row) = row else {
            current_rankings.remove(incarnation);
            continue;
        };
        let Ok(ranking) = serde_json::from_value::<(u64, u64, String)>(row["ranking"].clone()) else {
            continue;
        };
        if let Some(before) = current_rankings.insert(incarnation, ranking.clone()) {
            if before.0 > ranking.0 || before.1 > ranking.1 {
                inconsistent.push(format!("{incarnation} went back from {before:?} to {ranking:?}"));
            }
        }
    }
    let newest = epochs.last().map_or(0, |(_, epoch)| *epoch);
    // The newest versions may not have reached all members yet.
    let behind = current_rankings.values().filter(|(epoch, ..)| epoch + 2 < newest).count();
    if behind > 0 {
        inconsistent.push(format!(
            "{behind} members use an old ranking, the newest is {newest}: {current_rankings:?}"
        ));
    }
    for (a, b) in current_rankings.values().zip(current_rankings.values().skip(1)) {
        if a.1 == b.1 && a.2 != b.2 {
            inconsistent.push(format!("two digests at revision {}", a.1));
        }
    }
    rules.push((
        "S2 one digest",
        format!("{newest} epochs, {} members", current_rankings.len()),
        inconsistent,
    ));
    rules.push(("S3 as reckoned", format!("{versions} versions"), wrong));

    rules
}

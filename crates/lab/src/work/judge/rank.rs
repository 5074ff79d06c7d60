//! Rule J6: how site time is shared among users, and how long jobs wait.

use std::collections::BTreeMap;

use ravenspar_debt::Shares;
use ravenspar_jobs::State;
use ravenspar_standin::Time;

use super::timeline::Timeline;
use super::{seconds, Finding, Observations};
use crate::work::day::WorkDay;
use crate::work::play::PREFIX;

/// J6: no job waits too long, and users who compete get site time in proportion to their weights.
pub(super) fn by_rank(
    day: &WorkDay,
    observed: &Observations,
    timeline: &Timeline<'_>,
    shares: &Shares,
) -> Finding {
    let mut violations = Vec::new();
    let submitted: BTreeMap<&str, Time> = observed
        .changes
        .iter()
        .filter_map(|change| Some((change.key.strip_prefix(PREFIX)?.strip_prefix("job/")?, change.at)))
        .collect();
    let mut first: BTreeMap<&str, Time> = BTreeMap::new();
    for change in &timeline.lines {
        if matches!(&change.line, Some(line) if matches!(line.state, State::Leased(_))) {
            first.entry(change.job).or_insert(change.at);
        }
    }
    let mut waits: BTreeMap<&str, Time> = BTreeMap::new();
    for (job, at) in &submitted {
        let wait = first.get(job).copied().unwrap_or(observed.ended) - at;
        let user = timeline.jobs.get(job).map_or("", |spec| spec.user.as_str());
        let longest = waits.entry(user).or_default();
        *longest = wait.max(*longest);
    }
    if day.judge.max_wait.0 > 0 {
        for (user, wait) in waits.iter().filter(|(_, wait)| **wait > day.judge.max_wait.0) {
            violations.push(format!("{user} waited {:.2} s", seconds(*wait)));
        }
    }
    // Shares are compared up to the time at which the first of these users had no waiting jobs left.
    let ends = day.judge.equal_users.iter().filter_map(|user| {
        let last =
            first.iter().filter(|(job, _)| timeline.jobs.get(*job).is_some_and(|spec| spec.user == *user));
        last.map(|(_, at)| *at).max()
    });
    if let Some(until) = ends.min() {
        let count = |user: &String| {
            let assigned = first.iter().filter(|(job, at)| {
                **at <= until && timeline.jobs.get(*job).is_some_and(|spec| spec.user == *user)
            });
            let assigned =
                assigned.map(|(job, _)| timeline.jobs.get(job).map_or(0, |spec| spec.steps * spec.step_ms));
            assigned.sum::<u64>() / shares.users.get(user).copied().unwrap_or(shares.other).max(1)
        };
        let counts: Vec<u64> = day.judge.equal_users.iter().map(count).collect();
        let mean = counts.iter().sum::<u64>() as f64 / counts.len().max(1) as f64;
        for (user, count) in day.judge.equal_users.iter().zip(&counts) {
            if (*count as f64 / mean - 1.0).abs() > day.judge.share_tolerance {
                violations
                    .push(format!("{user} got {count} ms per unit of weight, the mean is {mean:.0} ms"));
            }
        }
    }
    let longest: Vec<String> =
        waits.iter().map(|(user, wait)| format!("{user} {:.1} s", seconds(*wait))).collect();
    ("J6 by rank", format!("waited {}", longest.join(", ")), violations)
}

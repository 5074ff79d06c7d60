//! Rules J1 to J5: each job is done exactly once and none is lost, no job is assigned again too early or too late, and no site
//! exceeds its capacity.

use std::collections::{BTreeMap, BTreeSet};

use ravenspar_jobs::{JobLine, State};
use ravenspar_standin::effects::{Answer, Call};
use ravenspar_standin::store::Change;
use ravenspar_standin::Time;

use super::timeline::{LineChange, Site, Timeline};
use super::{seconds, Finding, Observations};
use crate::work::day::WorkDay;

/// J1, J2: no step of a job took effect twice; every job has an outcome, and one that is done has all its steps.
pub(super) fn exactly_once(
    day: &WorkDay,
    observed: &Observations,
    timeline: &Timeline<'_>,
    rules: &mut Vec<Finding>,
) {
    let mut landed: BTreeMap<(&str, u64), usize> = BTreeMap::new();
    let mut refused = 0;
    for landing in &observed.landings {
        refused += usize::from(matches!(landing.answer, Answer::Refused(_)));
        if let (Call::Step { job, step, .. }, true) = (&landing.call, landing.effect) {
            *landed.entry((job, *step)).or_default() += 1;
        }
    }
    let twice: Vec<String> = landed
        .iter()
        .filter(|(_, count)| **count > 1)
        .map(|((job, step), count)| format!("step {step} of {job}: {count} times"))
        .collect();
    rules.push((
        "J1 once",
        format!("{} steps, {refused} calls refused by the effects service", landed.len()),
        twice,
    ));
    let too_few =
        (refused < day.judge.min_refused).then(|| "the day did not bring about what it is for".to_owned());
    if day.judge.min_refused > 0 {
        rules.push(("its trouble", format!("{refused} calls refused"), too_few.into_iter().collect()));
    }

    let mut lost = Vec::new();
    let mut ends: BTreeMap<&str, usize> = BTreeMap::new();
    for (job, spec) in &timeline.jobs {
        match timeline.outcomes.get(job).map(String::as_str) {
            None => lost.push(format!("{job} has no outcome")),
            Some(ended) => {
                *ends.entry(ended).or_default() += 1;
                let steps = (0..spec.steps).filter(|step| landed.contains_key(&(*job, *step))).count();
                if ended == "done" && steps as u64 != spec.steps {
                    lost.push(format!("{job} is reported done with {steps} of {} steps", spec.steps));
                }
            }
        }
    }
    let parked = ends.get("parked").copied().unwrap_or(0);
    if parked != day.judge.parked {
        lost.push(format!("{parked} jobs parked, expected {}", day.judge.parked));
    }
    if timeline.jobs.len() != observed.submitted {
        lost.push(format!(
            "{} of {} submitted jobs reached the store",
            timeline.jobs.len(),
            observed.submitted
        ));
    }
    let took = seconds(observed.ended - observed.last_input);
    rules.push(("J2 none lost", format!("{ends:?}, {took:.1} s after the last fault"), lost));
}

/// J3: a job is assigned again only after its holder's incarnation has ended, and the old holder makes no calls for it from
/// then on.
pub(super) fn not_while_held(
    day: &WorkDay,
    observed: &Observations,
    timeline: &Timeline<'_>,
    rules: &mut Vec<Finding>,
) {
    let since = |at: Time| seconds(at - observed.began);
    let mut violations = Vec::new();
    let mut reassigned = 0;
    let mut held: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    // Calls of each job, by time.
    let mut calls: BTreeMap<&str, Vec<(Time, u64, &str)>> = BTreeMap::new();
    for landing in &observed.landings {
        let (Call::Open { job, token, site } | Call::Step { job, token, site, .. }) = &landing.call;
        calls.entry(job).or_default().push((landing.at, *token, site));
    }
    for change in &timeline.lines {
        let Some(line) = &change.line else { continue };
        let before = held.get(change.job).copied();
        if let Some((site, _)) =
            before.filter(|_| change.writer.is_some_and(|(_, executor)| executor == "own"))
        {
            let present = timeline.sites.get(&site).is_some_and(|site| site.is_present(change.revision));
            if present && !matches!(line.state, State::Ending(_) | State::Leased(_)) {
                violations.push(format!(
                    "{:.2} s: the lease of {} was ended while its site was registered",
                    since(change.at),
                    change.job
                ));
            }
        }
        match line.state {
            State::Leased(site) => {
                reassigned += usize::from(line.last > 0);
                let token = change.revision as u64;
                let late = calls.get(change.job).into_iter().flatten().find(|(at, other, site)| {
                    let number = site.strip_prefix("site-").and_then(|n| n.parse().ok());
                    *other < token
                        && *at > change.at
                        && !number.is_some_and(|n: usize| day.judge.late_sites.contains(&n))
                });
                if let Some((at, _, site)) = late {
                    violations.push(format!(
                        "{:.2} s: {} works on {}, which was assigned again at {:.2} s",
                        since(*at),
                        site,
                        change.job,
                        since(change.at)
                    ));
                }
                held.insert(change.job, (site, token));
            }
            State::Ending(_) => {}
            _ => _ = held.remove(change.job),
        }
    }
    rules.push(("J3 not while held", format!("{reassigned} jobs assigned again"), violations));
}

/// J4: the time from the loss of a site until each of its jobs is assigned again or has ended.
pub(super) fn reassigned_soon(
    day: &WorkDay,
    observed: &Observations,
    timeline: &Timeline<'_>,
    rules: &mut Vec<Finding>,
) {
    let since = |at: Time| seconds(at - observed.began);
    let within = day.judge.reassigned_within.0;
    let (mut slow, mut slowest) = (Vec::new(), 0);
    let deletions = |(incarnation, site): (&u64, &Site)| {
        let gone = site.present.iter().filter_map(|(_, gone)| *gone);
        gone.map(|gone| (*incarnation, site.name.clone(), gone)).collect::<Vec<_>>()
    };
    for (incarnation, name, (at, revision)) in timeline.sites.iter().flat_map(deletions) {
        let mut last: BTreeMap<&str, &LineChange> = BTreeMap::new();
        timeline.lines.iter().filter(|change| change.revision < revision).for_each(|change| {
            last.insert(change.job, change);
        });
        let held_by_site = |change: &&&LineChange| matches!(&change.line, Some(line) if line.state == State::Leased(incarnation));
        let jobs: BTreeSet<&str> = last.values().filter(held_by_site).map(|change| change.job).collect();
        for job in jobs {
            let next = timeline.lines.iter().filter(|change| change.job == job && change.revision > revision);
            let next = next
                .filter(|change| change.line.as_ref().is_none_or(|line| line.state != State::Waiting))
                .map(|change| change.at)
                .next()
                .unwrap_or(observed.ended);
            let took = next - at;
            slowest = slowest.max(took);
            if within > 0 && took > within {
                slow.push(format!(
                    "{job} of {name}, lost at {:.2} s: {:.2} s, all sites full for {:.2} s of that",
                    since(at),
                    seconds(took),
                    seconds(time_at_capacity(timeline, &observed.changes, at, next))
                ));
            }
        }
    }
    rules.push(("J4 again soon", format!("{:.2} s at most", seconds(slowest)), slow));
}

/// J5: no site holds more jobs than its capacity.
pub(super) fn capacity(observed: &Observations, timeline: &Timeline<'_>, rules: &mut Vec<Finding>) {
    let since = |at: Time| seconds(at - observed.began);
    let mut holds: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
    let mut holder: BTreeMap<&str, u64> = BTreeMap::new();
    let (mut over, mut fullest) = (BTreeSet::new(), 0);
    for change in &timeline.lines {
        if let Some(site) = holder.remove(change.job) {
            if let Some(jobs) = holds.get_mut(&site) {
                jobs.remove(change.job);
            }
        }
        if let Some(site) = change.line.as_ref().and_then(JobLine::site) {
            holder.insert(change.job, site);
            let jobs = holds.entry(site).or_default();
            jobs.insert(change.job);
            fullest = fullest.max(jobs.len());
            let capacity = timeline.sites.get(&site).map_or(0, |site| site.capacity);
            if jobs.len() > capacity {
                over.insert(format!(
                    "{:.2} s: {} jobs at {site:016x}, capacity {capacity}",
                    since(change.at),
                    jobs.len()
                ));
            }
        }
    }
    rules.push(("J5 room", format!("{fullest} jobs at a site at most"), over.into_iter().collect()));
}

/// How long within this period all registered sites were full, by the lines. It helps to explain a late assignment and is
/// not deducted from its time.
fn time_at_capacity(timeline: &Timeline<'_>, changes: &[Change], from: Time, to: Time) -> Time {
    let mut moments: Vec<(i64, Time)> = changes.iter().map(|change| (change.revision, change.at)).collect();
    moments.dedup();
    let mut holder: BTreeMap<&str, Option<u64>> = BTreeMap::new();
    let mut lines = timeline.lines.iter().peekable();
    let (mut full, mut since, mut total) = (false, from, 0);
    for (revision, at) in moments {
        let at = at.clamp(from, to);
        total += if full { at - since } else { 0 };
        since = at;
        while let Some(change) = lines.next_if(|change| change.revision <= revision) {
            holder.insert(change.job, change.line.as_ref().and_then(JobLine::site));
        }
        let held = |incarnation: u64| holder.values().filter(|site| **site == Some(incarnation)).count();
        let mut present = timeline.sites.iter().filter(|(_, site)| site.is_present(revision));
        full = present.all(|(incarnation, site)| held(*incarnation) >= site.capacity);
    }
    total + if full { to - since } else { 0 }
}

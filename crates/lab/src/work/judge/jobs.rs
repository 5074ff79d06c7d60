//! J1 to J5: each job is done once and none is lost, no lease is given out too early or too late, and no site is overfull.

use std::collections::{BTreeMap, BTreeSet};

use ravenspar_jobs::{JobLine, State};
use ravenspar_standin::effects::{Answer, Call};
use ravenspar_standin::store::Change;
use ravenspar_standin::Time;

use super::story::{LineChange, Site, Story};
use super::{seconds, Finding, Seen};
use crate::work::day::WorkDay;

/// J1, J2: no step of a job took effect twice; every job is over, and one that is done has all its steps.
pub(super) fn once_and_none_lost(day: &WorkDay, seen: &Seen, story: &Story<'_>, rules: &mut Vec<Finding>) {
    let mut landed: BTreeMap<(&str, u64), usize> = BTreeMap::new();
    let mut refused = 0;
    for landing in &seen.landings {
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
        format!("{} steps, {refused} calls refused where they land", landed.len()),
        twice,
    ));
    let few =
        (refused < day.judge.refused_least).then(|| "the day did not bring about what it is for".to_owned());
    if day.judge.refused_least > 0 {
        rules.push(("its trouble", format!("{refused} calls refused"), few.into_iter().collect()));
    }

    let mut lost = Vec::new();
    let mut ends: BTreeMap<&str, usize> = BTreeMap::new();
    for (job, spec) in &story.jobs {
        match story.outcomes.get(job).map(String::as_str) {
            None => lost.push(format!("{job} is not over")),
            Some(ended) => {
                *ends.entry(ended).or_default() += 1;
                let steps = (0..spec.steps).filter(|step| landed.contains_key(&(*job, *step))).count();
                if ended == "done" && steps as u64 != spec.steps {
                    lost.push(format!("{job} is said to be done with {steps} of {} steps", spec.steps));
                }
            }
        }
    }
    let parked = ends.get("parked").copied().unwrap_or(0);
    if parked != day.judge.parked {
        lost.push(format!("{parked} parked, where {} are to be", day.judge.parked));
    }
    if story.jobs.len() != seen.handed_in {
        lost.push(format!("{} of {} were seen", story.jobs.len(), seen.handed_in));
    }
    let took = seconds(seen.ended - seen.last);
    rules.push(("J2 none lost", format!("{ends:?}, {took:.1} s after the last trouble"), lost));
}

/// J3: a job is given out again only where its holder's life is over, and it sends nothing for it from then on.
pub(super) fn not_while_held(day: &WorkDay, seen: &Seen, story: &Story<'_>, rules: &mut Vec<Finding>) {
    let since = |at: Time| seconds(at - seen.began);
    let mut early = Vec::new();
    let mut again = 0;
    let mut held: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    // Calls of each job, in order of time.
    let mut calls: BTreeMap<&str, Vec<(Time, u64, &str)>> = BTreeMap::new();
    for landing in &seen.landings {
        let (Call::Open { job, token, site } | Call::Step { job, token, site, .. }) = &landing.call;
        calls.entry(job).or_default().push((landing.at, *token, site));
    }
    for change in &story.lines {
        let Some(line) = &change.line else { continue };
        let before = held.get(change.job).copied();
        if let Some((site, _)) = before.filter(|_| change.by.is_some_and(|(_, hand)| hand == "own")) {
            let there = story.sites.get(&site).is_some_and(|site| site.is_there(change.revision));
            if there && !matches!(line.state, State::Ending(_) | State::Leased(_)) {
                early.push(format!(
                    "{:.2} s: {} was ended while its site was there",
                    since(change.at),
                    change.job
                ));
            }
        }
        match line.state {
            State::Leased(site) => {
                again += usize::from(line.last > 0);
                let token = change.revision as u64;
                let late = calls.get(change.job).into_iter().flatten().find(|(at, other, site)| {
                    let loose = site.strip_prefix("site-").and_then(|n| n.parse().ok());
                    *other < token
                        && *at > change.at
                        && !loose.is_some_and(|n: usize| day.judge.late.contains(&n))
                });
                if let Some((at, _, site)) = late {
                    early.push(format!(
                        "{:.2} s: {} works on {} that was given out again at {:.2} s",
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
    rules.push(("J3 not while held", format!("{again} jobs given out again"), early));
}

/// J4: from a site's loss until each of its jobs is given out again, or over.
pub(super) fn again_soon(day: &WorkDay, seen: &Seen, story: &Story<'_>, rules: &mut Vec<Finding>) {
    let since = |at: Time| seconds(at - seen.began);
    let within = day.judge.again_within.0;
    let (mut slow, mut slowest) = (Vec::new(), 0);
    let went = |(life, site): (&u64, &Site)| {
        let gone = site.there.iter().filter_map(|(_, gone)| *gone);
        gone.map(|gone| (*life, site.name.clone(), gone)).collect::<Vec<_>>()
    };
    for (life, name, (at, revision)) in story.sites.iter().flat_map(went) {
        let mut last: BTreeMap<&str, &LineChange> = BTreeMap::new();
        story.lines.iter().filter(|change| change.revision < revision).for_each(|change| {
            last.insert(change.job, change);
        });
        let of =
            |change: &&&LineChange| matches!(&change.line, Some(line) if line.state == State::Leased(life));
        let jobs: BTreeSet<&str> = last.values().filter(of).map(|change| change.job).collect();
        for job in jobs {
            let next = story.lines.iter().filter(|change| change.job == job && change.revision > revision);
            let next = next
                .filter(|change| change.line.as_ref().is_none_or(|line| line.state != State::Waiting))
                .map(|change| change.at)
                .next()
                .unwrap_or(seen.ended);
            let took = next - at;
            slowest = slowest.max(took);
            if within > 0 && took > within {
                slow.push(format!(
                    "{job} of {name}, lost at {:.2} s: {:.2} s, {:.2} s of them no site had room",
                    since(at),
                    seconds(took),
                    seconds(without_room(story, &seen.changes, at, next))
                ));
            }
        }
    }
    rules.push(("J4 again soon", format!("{:.2} s at most", seconds(slowest)), slow));
}

/// J5: no site holds more than its room.
pub(super) fn room(seen: &Seen, story: &Story<'_>, rules: &mut Vec<Finding>) {
    let since = |at: Time| seconds(at - seen.began);
    let mut holds: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
    let mut holder: BTreeMap<&str, u64> = BTreeMap::new();
    let (mut over, mut fullest) = (BTreeSet::new(), 0);
    for change in &story.lines {
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
            let room = story.sites.get(&site).map_or(0, |site| site.room);
            if jobs.len() > room {
                over.insert(format!(
                    "{:.2} s: {} jobs at {site:016x} with room for {room}",
                    since(change.at),
                    jobs.len()
                ));
            }
        }
    }
    rules.push(("J5 room", format!("{fullest} jobs at a site at most"), over.into_iter().collect()));
}

/// For how long of this span no site that was there had room for a job, by the lines. It says why a job came late and takes
/// nothing off its time.
fn without_room(story: &Story<'_>, changes: &[Change], from: Time, to: Time) -> Time {
    let mut moments: Vec<(i64, Time)> = changes.iter().map(|change| (change.revision, change.at)).collect();
    moments.dedup();
    let mut holder: BTreeMap<&str, Option<u64>> = BTreeMap::new();
    let mut lines = story.lines.iter().peekable();
    let (mut full, mut since, mut sum) = (false, from, 0);
    for (revision, at) in moments {
        let at = at.clamp(from, to);
        sum += if full { at - since } else { 0 };
        since = at;
        while let Some(change) = lines.next_if(|change| change.revision <= revision) {
            holder.insert(change.job, change.line.as_ref().and_then(JobLine::site));
        }
        let held = |life: u64| holder.values().filter(|site| **site == Some(life)).count();
        let mut there = story.sites.iter().filter(|(_, site)| site.is_there(revision));
        full = there.all(|(life, site)| held(*life) >= site.room);
    }
    sum + if full { to - since } else { 0 }
}

//! Rules D1 to D4: the jobs duty has one leader at a time, which acts under its term.

use ravenspar_standin::Time;

use super::timeline::Timeline;
use super::{seconds, Finding, Observations};
use crate::work::day::WorkDay;
use crate::work::play::InjectedFault;

/// D1, D2: every line of the duty was written by its leader and carries the leader's term.
pub(super) fn terms_and_leaders(observed: &Observations, timeline: &Timeline<'_>, rules: &mut Vec<Finding>) {
    let since = |at: Time| seconds(at - observed.began);
    let claim_at = |revision: i64| {
        let before = timeline.claims.iter().take_while(|(_, at, _)| *at <= revision).last();
        before.and_then(|(_, at, leader)| leader.map(|leader| (*at, leader)))
    };
    let (mut wrong_term, mut wrong_writer, mut effects, mut highest) = (Vec::new(), Vec::new(), 0, 0);
    for change in &timeline.lines {
        let Some((incarnation, "own")) = change.writer else { continue };
        let Some(line) = &change.line else { continue };
        effects += 1;
        let claim = claim_at(change.revision);
        if claim.is_none_or(|(_, leader)| leader != incarnation) {
            wrong_writer.push(format!(
                "{:.2} s: {} by {incarnation}, but {claim:?} leads the duty",
                since(change.at),
                change.job
            ));
        }
        if claim.is_none_or(|(term, _)| term as u64 != line.term) || line.term < highest {
            wrong_term.push(format!(
                "{:.2} s: {} under term {}, but {claim:?} leads the duty and the highest term so far is {highest}",
                since(change.at),
                change.job,
                line.term
            ));
        }
        highest = highest.max(line.term);
    }
    rules.push(("D1 terms", format!("{effects} lines by leaders"), wrong_term));
    rules.push(("D2 one owner", format!("{} claims", timeline.claims.len()), wrong_writer));
}

/// D3: the longest time without a leader that could act, less the time for which the store was unavailable.
pub(super) fn time_without_leader(
    day: &WorkDay,
    observed: &Observations,
    timeline: &Timeline<'_>,
    rules: &mut Vec<Finding>,
) {
    let since = |at: Time| seconds(at - observed.began);
    let outages: Vec<(Time, Time)> = observed
        .injected
        .iter()
        .filter(|fault| fault.what == "store away")
        .map(|fault| (fault.at, fault.until))
        .collect();
    let excluding_outages = |from: Time, to: Time| {
        let out: Time = outages.iter().map(|&(a, b)| (to.min(b) - from.max(a)).max(0)).sum();
        (to - from - out).max(0)
    };
    let mut gaps: Vec<(Time, Time)> = Vec::new();
    for (k, &(at, _, leader)) in timeline.claims.iter().enumerate() {
        let until = timeline.claims.get(k + 1).map_or(observed.ended, |next| next.0);
        if leader.is_none() {
            gaps.push((at, until));
        }
        let Some(name) = leader.and_then(|leader| timeline.members.get(leader)) else { continue };
        // A leader with a fault can't act until the fault ends or another steward claims the duty.
        let stops_leader = |fault: &&InjectedFault| {
            fault.who.contains(name)
                && (fault.what == "killed" || fault.what == "stopped" || fault.what.contains("store"))
                && fault.what != "store away"
        };
        for fault in observed.injected.iter().filter(stops_leader) {
            let from = fault.at.max(at);
            let to = fault.until.min(until);
            if from < to {
                gaps.push((from, to));
            }
        }
    }
    gaps.sort_unstable();
    // Merges overlapping and adjacent gaps.
    let mut merged: Vec<(Time, Time)> = Vec::new();
    for (from, to) in gaps {
        match merged.last_mut() {
            Some(last) if from <= last.1 => last.1 = last.1.max(to),
            _ => merged.push((from, to)),
        }
    }
    let longest = merged
        .iter()
        .map(|&(from, to)| (excluding_outages(from, to), from))
        .max()
        .unwrap_or((0, observed.began));
    let most = day.judge.max_time_without_leader.0;
    let late = (longest.0 > most).then(|| {
        format!(
            "{:.2} s from {:.2} s on, {:.2} s allowed",
            seconds(longest.0),
            since(longest.1),
            seconds(most)
        )
    });
    rules.push((
        "D3 an owner",
        format!("at most {:.2} s without a leader", seconds(longest.0)),
        late.into_iter().collect(),
    ));
}

/// D4: changes of the leader after the first claim.
pub(super) fn leader_changes(day: &WorkDay, timeline: &Timeline<'_>, rules: &mut Vec<Finding>) {
    let leaders: Vec<&str> = timeline.claims.iter().filter_map(|(_, _, leader)| *leader).collect();
    let changes = leaders.windows(2).filter(|two| two[0] != two[1]).count();
    let many = (changes > day.judge.max_leader_changes)
        .then(|| format!("{changes} changes, {} allowed", day.judge.max_leader_changes));
    rules.push(("D4 few changes", format!("{changes} leader changes"), many.into_iter().collect()));
}

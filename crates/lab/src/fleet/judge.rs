//! Rules V1 to V5: judge the view by the datagrams between the stewards and the view that each showed.

use std::collections::BTreeMap;

use super::day::FleetDay;
use crate::links::SentDatagram;

/// The view that a steward showed at one time.
#[derive(Clone, Debug)]
pub struct ViewSample {
    /// Milliseconds since the start of the day.
    pub at: u64,
    /// The steward's number.
    pub steward: usize,
    /// How often the steward had been started.
    pub start: u64,
    pub digest: u64,
    pub settled: bool,
    pub cut_off: bool,
    /// Names of the members in its view, with their incarnations.
    pub shown: BTreeMap<String, u64>,
    /// Names of the members that it considers gone, with their incarnations.
    pub gone: BTreeMap<String, u64>,
}

/// A time at which the fleet has to have settled.
#[derive(Clone, Debug)]
pub struct Checkpoint {
    pub at: u64,
    /// When the last fault before it began or ended.
    pub since: u64,
    /// The running stewards, grouped by which reach each other.
    pub reachable_groups: Vec<Vec<usize>>,
}

/// The judge's result for each rule.
#[derive(Debug, Default)]
pub struct Verdict {
    /// For each rule its name, a summary of what was measured, and its violations.
    rules: Vec<(&'static str, String, Vec<String>)>,
    /// The longest wait of each process for a CPU core, reported if a rule is broken. It doesn't change the verdict.
    waits: Vec<String>,
}

impl Verdict {
    /// Takes for each rule its name, a summary of what was measured, and its violations.
    pub fn of(rules: Vec<(&'static str, String, Vec<String>)>) -> Verdict {
        Verdict { rules, waits: Vec::new() }
    }

    /// The verdict on a fleet that didn't converge at the start.
    pub fn never_converged(samples: &[ViewSample]) -> Verdict {
        let last: BTreeMap<usize, &ViewSample> =
            samples.iter().map(|sample| (sample.steward, sample)).collect();
        let shows = |sample: &&ViewSample| {
            format!("steward-{} shows {:?}", sample.steward, sample.shown.keys().collect::<Vec<_>>())
        };
        let violations = last.values().map(shows).chain(["no faults were injected".to_owned()]).collect();
        Verdict::of(vec![("V1 settles", "at the start".to_owned(), violations)])
    }

    /// Adds the longest waits for a CPU core.
    pub fn with_waits(self, waits: Vec<String>) -> Verdict {
        Verdict { waits, ..self }
    }

    /// Returns the names of the broken rules.
    #[cfg(test)]
    pub fn broken(&self) -> Vec<&'static str> {
        self.rules
            .iter()
            .filter(|(_, _, violations)| !violations.is_empty())
            .map(|(rule, ..)| *rule)
            .collect()
    }

    /// Returns true if no rule is broken.
    pub fn kept(&self) -> bool {
        self.rules.iter().all(|(_, _, violations)| violations.is_empty())
    }

    /// The verdict as text, with the first violations of each rule.
    pub fn report(&self) -> String {
        let mut text = String::new();
        for (rule, summary, violations) in &self.rules {
            let result = if violations.is_empty() { "kept" } else { "BROKEN" };
            text.push_str(&format!("{rule}: {result}, {summary}\n"));
            violations.iter().take(5).for_each(|what| text.push_str(&format!("    {what}\n")));
        }
        if !self.kept() {
            self.waits.iter().for_each(|what| text.push_str(&format!("    {what}\n")));
        }
        text + if self.kept() { "all rules kept" } else { "a rule is BROKEN" }
    }
}

fn steward_name(n: usize) -> String {
    format!("steward-{n}")
}

/// Checks all rules. `settled` and `ended` are in milliseconds since the start of the day.
pub fn judge(
    day: &FleetDay,
    samples: &[ViewSample],
    datagrams_sent: &[SentDatagram],
    checkpoints: &[Checkpoint],
    settled: u64,
    ended: u64,
) -> Verdict {
    let mut verdict = Verdict::default();
    let unaffected = day.unaffected();
    let seconds = |ms: u64| ms as f64 / 1_000.0;

    // V1: all stewards that reach each other show the same view, and it is right.
    let mut violations = Vec::new();
    let mut groups = 0;
    let mut settling_times: Vec<f64> = Vec::new();
    for check in checkpoints {
        for group in &check.reachable_groups {
            let expected: Vec<usize> =
                group.iter().copied().filter(|n| !day.judge.unreliable_members.contains(n)).collect();
            // The sample nearest to the checkpoint.
            let nearest_sample = |n: usize| {
                let near = samples.iter().filter(|sample| sample.steward == n);
                near.min_by_key(|sample| (sample.at.abs_diff(check.at), sample.at))
            };
            let nearest: Vec<(usize, Option<&ViewSample>)> =
                expected.iter().map(|&n| (n, nearest_sample(n))).collect();
            groups += 1;
            let is_unreliable =
                |shown: &str| day.judge.unreliable_members.iter().any(|&n| steward_name(n) == shown);
            let truth: Vec<String> = {
                let mut truth: Vec<String> = expected.iter().map(|&n| steward_name(n)).collect();
                truth.sort();
                truth
            };
            let names = |sample: &ViewSample| -> Vec<String> {
                sample.shown.keys().filter(|shown| !is_unreliable(shown)).cloned().collect()
            };
            // Settling took until the last sample of any of them that showed something else.
            let within = |sample: &&ViewSample| {
                sample.at >= check.since && sample.at <= check.at && expected.contains(&sample.steward)
            };
            let late = samples
                .iter()
                .filter(within)
                .filter(|sample| names(sample) != truth)
                .map(|sample| sample.at)
                .max();
            if let Some(late) = late.filter(|_| expected.len() > 1) {
                settling_times.push(seconds(late - check.since));
            }
            for (n, sample) in &nearest {
                let Some(sample) = sample.filter(|sample| sample.at.abs_diff(check.at) < 5_000) else {
                    violations.push(format!("{:.1} s: steward-{n} has no sample", seconds(check.at)));
                    continue;
                };
                let shown = names(sample);
                let alone = expected.len() == 1 && sample.cut_off;
                if shown != truth && !alone {
                    violations.push(format!(
                        "{:.1} s: steward-{n} shows {shown:?}, not {truth:?}",
                        seconds(check.at)
                    ));
                }
            }
            let views: Vec<&ViewSample> = nearest.iter().filter_map(|(_, sample)| *sample).collect();
            if day.judge.unreliable_members.is_empty()
                && views.iter().any(|sample| sample.digest != views[0].digest)
            {
                violations.push(format!("{:.1} s: {group:?} show different views", seconds(check.at)));
            }
        }
    }
    let within = seconds(day.judge.settles_within.0 as u64 / 10);
    let worst = settling_times.iter().copied().fold(0.0, f64::max);
    let summary = format!(
        "{} checkpoints, {groups} groups, {within} s after the last fault; the slowest took {worst:.1} s",
        checkpoints.len()
    );
    verdict.rules.push(("V1 settles", summary, violations));

    // V2: stewards without a fault keep each other in their views, with the same incarnation.
    let mut violations = Vec::new();
    let mut first: BTreeMap<(usize, String), u64> = BTreeMap::new();
    for sample in samples.iter().filter(|sample| sample.at >= settled && unaffected.contains(&sample.steward))
    {
        for &other in &unaffected {
            let Some(incarnation) = sample.shown.get(&steward_name(other)) else {
                violations.push(format!(
                    "{:.1} s: steward-{} dropped steward-{other}",
                    seconds(sample.at),
                    sample.steward
                ));
                continue;
            };
            let known = *first.entry((sample.steward, steward_name(other))).or_insert(*incarnation);
            if known != *incarnation {
                violations.push(format!(
                    "{:.1} s: steward-{other} had to take another incarnation",
                    seconds(sample.at)
                ));
            }
        }
    }
    verdict.rules.push((
        "V2 no false drop",
        format!("{} stewards without a fault", unaffected.len()),
        violations,
    ));

    // V3: views change no more often than the faults require.
    let mut violations = Vec::new();
    let mut most = 0;
    // If faults affected all stewards, those that were never restarted are judged.
    let never_restarted = |n: &usize| {
        let unreliable = day.judge.unreliable_members.contains(n) || day.fleet.started_later.contains(n);
        !unreliable && samples.iter().filter(|sample| sample.steward == *n).all(|sample| sample.start == 1)
    };
    let judged: Vec<usize> = match unaffected.is_empty() {
        true => (0..day.fleet.stewards).filter(never_restarted).collect(),
        false => unaffected.clone(),
    };
    for &n in &judged {
        let mut digests: Vec<u64> = samples
            .iter()
            .filter(|sample| sample.steward == n && sample.at >= settled)
            .map(|sample| sample.digest)
            .collect();
        digests.dedup();
        let changes = digests.len().saturating_sub(1) as u64;
        most = most.max(changes);
        if changes > day.judge.max_changes {
            violations.push(format!("steward-{n} showed {changes} changes"));
        }
    }
    verdict.rules.push((
        "V3 calm",
        format!("{} stewards, {most} changes at most, {} allowed", judged.len(), day.judge.max_changes),
        violations,
    ));

    // V4: an incarnation once considered gone is not shown again, and members that are gone get no datagrams but probes.
    let mut violations = Vec::new();
    let mut gone: BTreeMap<(usize, u64, String), u64> = BTreeMap::new();
    for sample in samples {
        for (name, incarnation) in &sample.shown {
            let key = (sample.steward, sample.start, name.clone());
            if gone.get(&key).is_some_and(|gone| incarnation <= gone) {
                violations.push(format!(
                    "{:.1} s: steward-{} shows {name} again",
                    seconds(sample.at),
                    sample.steward
                ));
            }
        }
        // The view is updated only once the membership is stable: until then it still shows a member that is gone, which is
        // not a reappearance.
        for (name, incarnation) in
            sample.gone.iter().filter(|(name, incarnation)| sample.shown.get(*name) != Some(*incarnation))
        {
            let known = gone.entry((sample.steward, sample.start, name.clone())).or_insert(0);
            *known = (*known).max(*incarnation);
        }
    }
    // Datagrams in the last two seconds to stewards that don't run: each steward sends a probe every fifth round, and two more
    // are allowed for.
    let running: Vec<usize> =
        checkpoints.last().map(|check| check.reachable_groups.concat()).unwrap_or_default();
    let round = (day.fleet.round.0 as u64 / 10).max(1);
    let max_probes = running.len() as u64 * (2_000 / (5 * round) + 2);
    for n in (0..day.fleet.stewards).filter(|n| !running.contains(n)) {
        let late =
            datagrams_sent.iter().filter(|sent| sent.to == n && sent.at + 2_000 >= ended).count() as u64;
        if late > max_probes {
            violations.push(format!("{late} datagrams to steward-{n} in the last 2 s, {max_probes} allowed"));
        }
    }
    verdict.rules.push(("V4 no ghost", format!("{} samples", samples.len()), violations));

    // V5: bytes and datagrams per second.
    let mut violations = Vec::new();
    let mut load: BTreeMap<(usize, u64), (u64, u64)> = BTreeMap::new();
    for sent in datagrams_sent {
        let one = load.entry((sent.from, sent.at / 1_000)).or_default();
        *one = (one.0 + 1, one.1 + sent.bytes as u64);
    }
    let datagrams = load.values().map(|load| load.0).max().unwrap_or(0);
    let bytes = load.values().map(|load| load.1).max().unwrap_or(0);
    if datagrams > day.judge.max_datagrams_per_s || bytes > day.judge.max_bytes_per_s {
        violations.push(format!(
            "allowed {} datagrams, {} bytes",
            day.judge.max_datagrams_per_s, day.judge.max_bytes_per_s
        ));
    }
    verdict.rules.push((
        "V5 cheap",
        format!("{datagrams} datagrams, {bytes} bytes in the busiest second"),
        violations,
    ));
    verdict
}

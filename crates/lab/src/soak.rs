//! Plays one day repeatedly, each time with the next seed, for a given time.

use std::collections::VecDeque;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::{Duration, Instant};

use ravenspar::print_line;
use ravenspar_standin::Event;
use tokio::process::{Child, Command};

use crate::fleet::FleetDay;
use crate::judge;
use crate::stage::{self, LabError};
use crate::work::WorkDay;

/// Results of all days so far.
#[derive(Default)]
struct Totals {
    days: usize,
    seconds: f64,
    faults: usize,
    writes: usize,
    hand_overs: usize,
    refused: usize,
    /// Seeds of the days that broke a rule or could not be played.
    failed_seeds: Vec<u64>,
}

/// Plays `at_once` days concurrently, each in its own process. Returns true if all of them kept the rules; the captures of
/// the others are left in `keep`.
pub async fn soak(
    file: &Path,
    minutes: f64,
    seed: u64,
    at_once: usize,
    keep: &Path,
) -> Result<bool, LabError> {
    let end = Instant::now() + Duration::from_secs_f64(minutes * 60.0);
    std::fs::create_dir_all(keep)?;
    let mut playing: VecDeque<(u64, PathBuf, Instant, Child)> = VecDeque::new();
    let (mut next_seed, mut totals) = (seed, Totals::default());
    let has_verdict = FleetDay::recognizes(file) || WorkDay::recognizes(file);
    print_line(if has_verdict {
        "| seed | s | verdict |"
    } else {
        "| seed | s | faults | writes | moves | verdict |"
    });
    print_line(if has_verdict {
        "| ---: | ---: | --- |"
    } else {
        "| ---: | ---: | ---: | ---: | ---: | --- |"
    });
    loop {
        while playing.len() < at_once.max(1) && Instant::now() < end {
            let dir = keep.join(format!("seed-{next_seed}"));
            let mut command = Command::new(std::env::current_exe()?);
            command.arg("day").arg(file).arg("--keep").arg(&dir).arg("--seed").arg(next_seed.to_string());
            command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null()).kill_on_drop(true);
            playing.push_back((next_seed, dir, Instant::now(), command.spawn()?));
            next_seed += 1;
        }
        let Some((seed, dir, began, mut child)) = playing.pop_front() else { break };
        let status = child.wait().await?;
        let seconds = began.elapsed().as_secs_f64();
        let kept = match has_verdict {
            true => totals.add_judged_day(&dir, seed, seconds, status.success()),
            false => totals.add_day(&dir, seed, seconds, status.success()),
        };
        if kept {
            std::fs::remove_dir_all(&dir)?;
        }
    }
    let Totals { days, seconds, faults, writes, hand_overs, refused, failed_seeds } = totals;
    if has_verdict {
        print_line(format_args!(
            "\n{days} days from seed {seed}, {:.1} min played; seeds that broke a rule: {failed_seeds:?}",
            seconds / 60.0
        ));
        return Ok(failed_seeds.is_empty());
    }
    print_line(format_args!(
        "\n{days} days from seed {seed}, {:.1} min played: {faults} faults, {writes} writes, {hand_overs} hand-overs, {refused} \
         fields of lower terms at forwarders; {} days broke a rule or could not be played{}",
        seconds / 60.0,
        failed_seeds.len(),
        if failed_seeds.is_empty() { String::new() } else { format!(": seeds {failed_seeds:?} in {}", keep.display()) }
    ));
    Ok(failed_seeds.is_empty())
}

impl Totals {
    /// Adds a day of the view or of work, whose verdict is in its folder. Returns true if it kept all rules.
    fn add_judged_day(&mut self, dir: &Path, seed: u64, seconds: f64, kept: bool) -> bool {
        self.days += 1;
        self.seconds += seconds;
        let report = std::fs::read_to_string(dir.join("verdict.txt"));
        let verdict_text = match (&report, kept) {
            (Ok(_), true) => "kept",
            (Ok(report), false) => report.lines().find(|line| line.contains("BROKEN")).unwrap_or("BROKEN"),
            (Err(_), _) => "could not be played",
        };
        print_line(format_args!("| {seed} | {seconds:.0} | {verdict_text} |"));
        if !kept {
            self.failed_seeds.push(seed);
        }
        kept
    }

    /// Judges a day from its capture and adds it. Returns true if it kept all rules.
    fn add_day(&mut self, dir: &Path, seed: u64, seconds: f64, played: bool) -> bool {
        self.days += 1;
        self.seconds += seconds;
        let path = dir.join("capture.jsonl");
        let rules = stage::load_rules(dir);
        let events = ravenspar_standin::capture::read(&path);
        let (Ok((_, rules)), Ok(events)) = (rules, events) else {
            print_line(format_args!("| {seed} | {seconds:.0} | | | | could not be played |"));
            self.failed_seeds.push(seed);
            return false;
        };
        let verdict = judge::judge(&events, &rules);
        let faults = events.iter().filter(|event| matches!(event, Event::FaultInjected { .. })).count();
        let first = verdict.violations.first();
        let verdict_text = match (first, played) {
            (Some(first), _) => format!("{}: {}", judge::RULES[first.rule], first.what),
            (None, true) => "kept".to_owned(),
            (None, false) => "kept, but the day ended badly".to_owned(),
        };
        let (writes, hand_overs) = (verdict.writes, verdict.gaps.count());
        print_line(format_args!(
            "| {seed} | {seconds:.0} | {faults} | {writes} | {hand_overs} | {verdict_text} |"
        ));
        self.faults += faults;
        self.writes += writes;
        self.hand_overs += hand_overs;
        self.refused += verdict.refused;
        let kept = verdict.kept() && played;
        if !kept {
            self.failed_seeds.push(seed);
        }
        kept
    }
}

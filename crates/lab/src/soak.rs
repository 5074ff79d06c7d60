//! One day again and again, each time with the next seed, until the time is over.

use std::collections::VecDeque;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::{Duration, Instant};

use ravenspar::print_line;
use ravenspar_standin::Event;
use tokio::process::{Child, Command};

use crate::fleet::FleetDay;
use crate::judge;
use crate::stage::{self, Fault};
use crate::work::WorkDay;

#[derive(Default)]
struct Sums {
    days: usize,
    seconds: f64,
    faults: usize,
    writes: usize,
    moves: usize,
    refused: usize,
    broken: Vec<u64>,
}

/// Plays `at_once` days beside each other, each in a process of its own. Captures of days that broke a rule or could not
/// be played are left in `keep`.
pub async fn soak(file: &Path, minutes: f64, seed: u64, at_once: usize, keep: &Path) -> Result<bool, Fault> {
    let end = Instant::now() + Duration::from_secs_f64(minutes * 60.0);
    std::fs::create_dir_all(keep)?;
    let mut playing: VecDeque<(u64, PathBuf, Instant, Child)> = VecDeque::new();
    let (mut next, mut sums) = (seed, Sums::default());
    let view = FleetDay::is_one(file) || WorkDay::is_one(file);
    print_line(if view {
        "| seed | s | verdict |"
    } else {
        "| seed | s | faults | writes | moves | verdict |"
    });
    print_line(if view { "| ---: | ---: | --- |" } else { "| ---: | ---: | ---: | ---: | ---: | --- |" });
    loop {
        while playing.len() < at_once.max(1) && Instant::now() < end {
            let dir = keep.join(format!("seed-{next}"));
            let mut command = Command::new(std::env::current_exe()?);
            command.arg("day").arg(file).arg("--keep").arg(&dir).arg("--seed").arg(next.to_string());
            command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null()).kill_on_drop(true);
            playing.push_back((next, dir, Instant::now(), command.spawn()?));
            next += 1;
        }
        let Some((seed, dir, began, mut child)) = playing.pop_front() else { break };
        let status = child.wait().await?;
        let seconds = began.elapsed().as_secs_f64();
        let kept = match view {
            true => sums.take_view(&dir, seed, seconds, status.success()),
            false => sums.take(&dir, seed, seconds, status.success()),
        };
        if kept {
            std::fs::remove_dir_all(&dir)?;
        }
    }
    let Sums { days, seconds, faults, writes, moves, refused, broken } = sums;
    if view {
        print_line(format_args!(
            "\n{days} days from seed {seed}, {:.1} min played; seeds that broke a rule: {broken:?}",
            seconds / 60.0
        ));
        return Ok(broken.is_empty());
    }
    print_line(format_args!(
        "\n{days} days from seed {seed}, {:.1} min played: {faults} faults, {writes} writes, {moves} hand-overs, {refused} \
         fields of lower terms at forwarders; {} days broke a rule or could not be played{}",
        seconds / 60.0,
        broken.len(),
        if broken.is_empty() { String::new() } else { format!(": seeds {broken:?} in {}", keep.display()) }
    ));
    Ok(broken.is_empty())
}

impl Sums {
    /// A day of the view, whose verdict lies beside its logs; whether it kept all rules.
    fn take_view(&mut self, dir: &Path, seed: u64, seconds: f64, kept: bool) -> bool {
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
            self.broken.push(seed);
        }
        kept
    }

    /// Judges a day that has been played; whether it kept all rules.
    fn take(&mut self, dir: &Path, seed: u64, seconds: f64, played: bool) -> bool {
        self.days += 1;
        self.seconds += seconds;
        let path = dir.join("capture.jsonl");
        let rules = stage::rules(dir);
        let events = ravenspar_standin::capture::read(&path);
        let (Ok((_, rules)), Ok(events)) = (rules, events) else {
            print_line(format_args!("| {seed} | {seconds:.0} | | | | could not be played |"));
            self.broken.push(seed);
            return false;
        };
        let verdict = judge::judge(&events, &rules);
        let faults = events.iter().filter(|event| matches!(event, Event::Trouble { .. })).count();
        let first = verdict.violations.first();
        let verdict_text = match (first, played) {
            (Some(first), _) => format!("{}: {}", judge::RULES[first.rule], first.what),
            (None, true) => "kept".to_owned(),
            (None, false) => "kept, but the day ended badly".to_owned(),
        };
        let (writes, moves) = (verdict.writes, verdict.gaps.count());
        print_line(format_args!(
            "| {seed} | {seconds:.0} | {faults} | {writes} | {moves} | {verdict_text} |"
        ));
        self.faults += faults;
        self.writes += writes;
        self.moves += moves;
        self.refused += verdict.refused;
        let kept = verdict.kept() && played;
        if !kept {
            self.broken.push(seed);
        }
        kept
    }
}

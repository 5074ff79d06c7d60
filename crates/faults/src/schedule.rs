//! The schedule of faults: a text file with one rule per line.
//!
//! `CALL FAULT FROM_MS TO_MS EVERY`: between these times since the process started, every EVERYth such call has the fault:
//! an errno, `short` (one byte is read or written) or `stall` (the call is delayed until the rule's time is over).
//! `torn:N:PERCENT` as FAULT: the Nth such call writes this part of its bytes, and the process is killed.
//! `realtime STEP_S FROM_MS` steps the wall clock.

use std::sync::atomic::{AtomicU64, Ordering};

/// A fault injected into a call. Its `Debug` form is written to the file of delivered faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call fails with this errno.
    Error(i32),
    /// One byte is read or written.
    Short,
    /// The call is delayed until this time, in milliseconds since the process started.
    Stall(u64),
    /// This percentage of the bytes is written, and the process is killed.
    Torn(u64),
}

#[derive(Debug)]
struct Rule {
    call: String,
    fault: Fault,
    from_ms: u64,
    to_ms: u64,
    every: u64,
    /// If set, only this call has the fault, counted from 1; `every` is ignored.
    nth: Option<u64>,
    matching_calls: AtomicU64,
}

/// A parsed schedule, with the count of calls that each rule has matched.
#[derive(Debug, Default)]
pub struct Schedule {
    rules: Vec<Rule>,
    /// Steps of the wall clock: seconds, and the time from which on, in milliseconds since the process started.
    steps: Vec<(i64, u64)>,
}

impl Schedule {
    /// Parses a schedule; invalid lines are ignored.
    pub fn parse(text: &str) -> Schedule {
        let mut schedule = Schedule::default();
        for line in text.lines() {
            let fields: Vec<&str> = line.split_whitespace().collect();
            if let ["realtime", step, from] = fields[..] {
                schedule.steps.extend(step.parse().ok().zip(from.parse().ok()));
            }
            schedule.rules.extend(parse_rule(&fields));
        }
        schedule
    }

    /// Returns the fault, if any, of a call made now, in milliseconds since the process started, and counts the call.
    pub fn fault(&self, call: &str, now_ms: u64) -> Option<Fault> {
        let applies = |rule: &&Rule| rule.call == call && (rule.from_ms..rule.to_ms).contains(&now_ms);
        self.rules.iter().filter(applies).find_map(|rule| {
            let matching_calls = rule.matching_calls.fetch_add(1, Ordering::Relaxed);
            let applies = rule.nth.map_or(matching_calls % rule.every == 0, |nth| matching_calls + 1 == nth);
            applies.then_some(rule.fault)
        })
    }

    /// The offset of the wall clock in seconds.
    pub fn clock_offset_s(&self, now_ms: u64) -> i64 {
        self.steps.iter().filter(|(_, from)| now_ms >= *from).map(|(step, _)| step).sum()
    }
}

fn parse_rule(fields: &[&str]) -> Option<Rule> {
    let [call, fault, from, to, every] = fields else { return None };
    let (from_ms, to_ms, every) = (from.parse().ok()?, to.parse().ok()?, every.parse::<u64>().ok()?.max(1));
    let mut nth = None;
    let fault = match fault.split(':').collect::<Vec<_>>()[..] {
        ["short"] => Fault::Short,
        ["stall"] => Fault::Stall(to_ms),
        ["torn", number, percent] => {
            nth = Some(number.parse().ok()?);
            Fault::Torn(percent.parse().ok()?)
        }
        [number] => Fault::Error(number.parse().ok()?),
        _ => return None,
    };
    Some(Rule {
        call: (*call).to_owned(),
        fault,
        from_ms,
        to_ms,
        every,
        nth,
        matching_calls: AtomicU64::new(0),
    })
}

#[cfg(test)]
mod tests;

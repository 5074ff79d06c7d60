//! Judges a day from its capture alone: what crossed the sockets, not what the service reports about itself. Pure.

mod cold;
mod drain;
mod limits;
mod service;
mod tables;
mod unserved;
mod writers;

use ravenspar_standin::{Event, Time, SECOND};
use ravenspar_steward::Settings;

pub use service::Service;
pub use tables::Gaps;

/// The limits that the rules check and the request kinds that service is computed from, taken from the steward's settings.
#[derive(Clone, Debug)]
pub struct Rules {
    pub max_unserved: Time,
    pub drain_grace: Time,
    pub only_draining_binds: bool,
    pub cold_for: Time,
    /// Lines that may wait in the steward's channel.
    pub max_waiting_lines: f64,
    /// Cost of a message, in lines.
    pub message_cost: u64,
    /// Messages that may be sent to one forwarder within `message_window`; 0 is no limit.
    pub max_messages: usize,
    pub message_window: Time,
    pub slices: usize,
    pub kinds: Vec<Kind>,
}

/// A request kind.
#[derive(Clone, Debug)]
pub struct Kind {
    pub name: String,
    pub credit: f64,
    pub response_target: Time,
}

impl Rules {
    /// Returns `None` if a setting is missing.
    pub fn new(cfg: &Settings) -> Option<Rules> {
        let count = cfg.number("classes.count")? as usize;
        let kind = |k: usize| {
            Some(Kind {
                name: cfg.text(&format!("classes.{k}.name"))?.to_owned(),
                credit: cfg.number(&format!("classes.{k}.worth"))?,
                response_target: cfg.time(&format!("classes.{k}.aim_s"))?,
            })
        };
        Some(Rules {
            max_unserved: cfg.time("family_info.unserved_max_s")?,
            drain_grace: cfg.time("safety.drain_grace_s")?,
            only_draining_binds: cfg.flag("safety.only_draining_binds"),
            cold_for: cfg.time("safety.cold_s")?,
            max_waiting_lines: cfg.number("family_info.pending_max")?,
            message_cost: cfg.number("family_info.fixed_cost")? as u64,
            max_messages: cfg.number("family_info.pushes_allowed")? as usize,
            message_window: cfg.time("family_info.update_window_s")?,
            slices: cfg.number("family_info.ranges")? as usize,
            kinds: (0..count).map(kind).collect::<Option<_>>()?,
        })
    }
}

/// The names of the five rules.
pub const RULES: [&str; 5] = [
    "nobody left without a server",
    "no effect twice",
    "drains kept",
    "no cold server pushed over",
    "a short queue",
];

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Index into [`RULES`].
    pub rule: usize,
    pub at: Time,
    /// Describes the violation, for the report.
    pub what: String,
}

/// The result of judging one capture.
#[derive(Clone, Debug)]
pub struct Verdict {
    pub violations: Vec<Violation>,
    pub service: Service,
    pub gaps: Gaps,
    pub writes: usize,
    /// The most messages that one forwarder was sent within a window.
    pub most_messages: usize,
    /// The most lines that were seen waiting in the channel.
    pub most_waiting: u64,
    /// Stale fields that reached forwarders: from a lower term, or from a steward that the slice isn't assigned to.
    pub refused: usize,
    /// When clients began to send; the report counts times from here.
    pub began: Time,
}

/// Checks all rules and computes service. `events` must be in order of time, as in a capture.
pub fn judge(events: &[Event], rules: &Rules) -> Verdict {
    let tables = tables::ForwarderTables::new(events, rules.slices);
    let began = events.iter().find_map(|event| match event {
        Event::Began { at } => Some(*at),
        _ => None,
    });
    let began = began.or(events.first().map(Event::at)).unwrap_or(0);
    let mut violations = Vec::new();
    unserved::judge(events, rules, &tables, &mut violations);
    let writes = writers::judge(events, &tables, &mut violations);
    drain::judge(events, rules, &tables, &mut violations);
    cold::judge(events, &mut violations);
    let (most_messages, most_waiting) = limits::judge(rules, &tables, &mut violations);
    violations.sort_by_key(|b| (b.rule, b.at));
    let service = service::count(events, rules, began);
    Verdict {
        violations,
        service,
        gaps: tables.gaps(events),
        writes,
        most_messages,
        most_waiting,
        refused: tables.refused,
        began,
    }
}

impl Verdict {
    /// Returns true if no rule was broken.
    pub fn kept(&self) -> bool {
        self.violations.is_empty()
    }

    /// A readable report with one line for each rule and metric.
    pub fn report(&self) -> String {
        use std::fmt::Write as _;
        let mut text = String::new();
        let seconds = |time: Time| time as f64 / SECOND as f64;
        for (rule, name) in RULES.iter().enumerate() {
            let broken: Vec<&Violation> = self.violations.iter().filter(|b| b.rule == rule).collect();
            // Writing to a string can't fail.
            let _ = match broken.first() {
                None => writeln!(text, "rule {}  {name}: kept", rule + 1),
                Some(first) => {
                    let at = seconds(first.at - self.began);
                    writeln!(
                        text,
                        "rule {}  {name}: BROKEN {} times, first at {at:.4} s: {}",
                        rule + 1,
                        broken.len(),
                        first.what
                    )
                }
            };
        }
        let service = &self.service;
        let _ = writeln!(
            text,
            "service      {:.4} of the credit asked for ({} reqs)",
            service.total_share, service.reqs
        );
        let _ = writeln!(text, "worst 10 s   {:.4}", service.worst_window_share);
        for (name, share) in &service.kinds {
            let _ = writeln!(text, "  {name:<10} {share:.4}");
        }
        let gaps = &self.gaps;
        let _ = writeln!(
            text,
            "hand-overs   {}, revoke to next line: median {:.3} s, worst {:.3} s; to next write: median {:.3} s, worst {:.3} s",
            gaps.count(), seconds(gaps.median_route()), seconds(gaps.worst_route()), seconds(gaps.median_write()), seconds(gaps.worst_write()),
        );
        let _ = writeln!(
            text,
            "channel      at most {} lines seen waiting, {} messages to one forwarder in a window; {} writes",
            self.most_waiting, self.most_messages, self.writes
        );
        if self.refused > 0 {
            let _ = writeln!(text, "terms        {} fields of lower terms reached forwarders", self.refused);
        }
        let _ = write!(text, "verdict      {}", if self.kept() { "all rules kept" } else { "RULES BROKEN" });
        text
    }
}

#[cfg(test)]
mod tests;

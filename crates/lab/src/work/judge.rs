//! Judges a day with work by what the store and the effects service recorded, and by nothing that a process reports about
//! itself.

mod debts;
mod duties;
mod jobs;
mod rank;
mod timeline;

use ravenspar_standin::effects::CallRecord;
use ravenspar_standin::store::Change;
use ravenspar_standin::{Time, SECOND};
use serde::Serialize;

use super::day::WorkDay;
use super::play::InjectedFault;
use crate::fleet::Verdict;

#[cfg(test)]
mod tests;

/// Everything that the verdict is based on; written to `seen.json`.
#[derive(Serialize)]
pub struct Observations {
    pub began: Time,
    pub ended: Time,
    /// When the last fault had ended and the last job was submitted.
    #[serde(rename = "last")]
    pub last_input: Time,
    pub changes: Vec<Change>,
    /// Uses by token and job id, as the agents recorded them.
    pub used: Vec<((u64, String), Time)>,
    pub landings: Vec<CallRecord>,
    #[serde(rename = "befell")]
    pub injected: Vec<InjectedFault>,
    #[serde(rename = "handed_in")]
    pub submitted: usize,
}

fn seconds(span: Time) -> f64 {
    span as f64 / SECOND as f64
}

/// The result for a rule: its name, a summary of what was measured, and its violations.
type Finding = (&'static str, String, Vec<String>);

/// Checks all rules that apply to the day.
pub fn judge(day: &WorkDay, observed: &Observations) -> Verdict {
    let timeline = timeline::timeline(&observed.changes);
    let mut rules: Vec<Finding> = Vec::new();
    duties::terms_and_leaders(observed, &timeline, &mut rules);
    duties::time_without_leader(day, observed, &timeline, &mut rules);
    duties::leader_changes(day, &timeline, &mut rules);
    jobs::exactly_once(day, observed, &timeline, &mut rules);
    jobs::not_while_held(day, observed, &timeline, &mut rules);
    jobs::reassigned_soon(day, observed, &timeline, &mut rules);
    jobs::capacity(observed, &timeline, &mut rules);
    let shares = day.work.debts.as_ref().map(debts::shares).unwrap_or_default();
    if day.work.debts.is_some() {
        rules.extend(debts::debts_rules(day, observed, &shares));
    }
    rules.push(rank::by_rank(day, observed, &timeline, &shares));
    Verdict::of(rules)
}

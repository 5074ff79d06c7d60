//! Checks the judge with hand-written histories that break each rule.

use ravenspar_debt::{EpochRow, Fact, Ledger, UseRow};
use ravenspar_jobs::{JobLine, State};
use ravenspar_standin::effects::{Answer, Call};

use super::debts::shares;
use super::*;
use crate::day::Span;
use crate::work::day::{Bounds, Debts, Work};
use crate::work::play::PREFIX;

/// A hand-written history; each entry gets a revision of its own.
struct History {
    at: Time,
    revision: i64,
    observed: Observations,
}

fn day() -> WorkDay {
    let debts = Debts { half_life: Span(SECOND), epoch: Span(SECOND), users: Vec::new() };
    WorkDay {
        about: String::new(),
        seed: 1,
        work: Work { debts: Some(debts), ..Work::default() },
        faults: Vec::new(),
        judge: Bounds {
            finished_within: Span(10 * SECOND),
            max_time_without_leader: Span(SECOND),
            reassigned_within: Span(2 * SECOND),
            max_wait: Span(5 * SECOND),
            ..Bounds::default()
        },
    }
}

impl History {
    /// Two members, the first of which leads the jobs duty, two sites with capacity for one job, and a job of two steps.
    fn new() -> History {
        let mut history = History {
            at: 0,
            revision: 10,
            observed: Observations {
                began: 0,
                ended: 100 * SECOND,
                last_input: 0,
                changes: Vec::new(),
                used: Vec::new(),
                landings: Vec::new(),
                injected: Vec::new(),
                submitted: 1,
            },
        };
        history.put("member/1", r#"{"name":"steward-0"}"#);
        history.put("member/2", r#"{"name":"steward-1"}"#);
        history.put("site/a", r#"{"name":"site-0","room":1}"#);
        history.put("site/b", r#"{"name":"site-1","room":1}"#);
        history.put("duty/jobs", "1");
        history.put("job/j", r#"{"user":"u","steps":2,"step_ms":100}"#);
        history
    }

    fn next_revision(&mut self) -> i64 {
        self.at += SECOND / 10;
        self.revision += 1;
        self.revision
    }

    fn change(&mut self, key: &str, value: Option<&str>) {
        let change = Change {
            at: self.at,
            revision: self.revision,
            key: format!("{PREFIX}{key}"),
            value: value.map(str::to_owned),
        };
        self.observed.changes.push(change);
    }

    fn put(&mut self, key: &str, value: &str) -> i64 {
        let revision = self.next_revision();
        self.change(key, Some(value));
        revision
    }

    fn deletes(&mut self, key: &str) {
        self.next_revision();
        self.change(key, None);
    }

    fn term(&self) -> u64 {
        let claim = self.observed.changes.iter().rev().find(|change| change.key.ends_with("duty/jobs"));
        claim.map_or(0, |claim| claim.revision as u64)
    }

    /// A line written by an executor of an incarnation.
    fn line(&mut self, incarnation: &str, executor: &str, job: &str, line: &JobLine) -> u64 {
        let text = serde_json::to_string(line).expect("serializable");
        let revision = self.put(&format!("line/{job}"), &text);
        self.change(&format!("witness/{incarnation}/{executor}"), Some("1"));
        revision as u64
    }

    fn assigns(&mut self, incarnation: &str, job: &str, site: u64) -> u64 {
        let line = JobLine { term: self.term(), ..JobLine::new(State::Leased(site)) };
        self.line(incarnation, "own", job, &line)
    }

    fn requeues(&mut self, incarnation: &str, job: &str, last: u64) {
        let line = JobLine { term: self.term(), last, ..JobLine::new(State::Waiting) };
        self.line(incarnation, "own", job, &line);
    }

    fn applies_step(&mut self, site: &str, job: &str, token: u64, step: u64) {
        self.at += SECOND / 10;
        let call = Call::Step { site: site.to_owned(), job: job.to_owned(), token, step };
        self.observed.landings.push(CallRecord {
            at: self.at,
            call,
            answer: Answer::Applied(step + 1),
            effect: true,
        });
    }

    fn completes(&mut self, job: &str, last: u64) {
        self.line("1", "agents", job, &JobLine { last, ..JobLine::new(State::Done) });
        self.put(&format!("outcome/{job}"), r#"{"ended":"done"}"#);
    }

    fn folds(&mut self, ledger: &mut Ledger, token: u64, used: u64, epoch: u64) {
        let fact = Fact { user: "u".to_owned(), group: String::new(), used, last: true };
        let row = UseRow { fact, folded: true };
        let key = format!("use/{token:016x}/j");
        self.put(&key, &serde_json::to_string(&row).expect("serializable"));
        ledger.add("u", "", used);
        ledger.epoch = epoch;
        let row = EpochRow {
            epoch,
            digest: ledger.digest().iter().map(|byte| format!("{byte:02x}")).collect(),
            ..EpochRow::default()
        };
        self.change("ranking", Some(&serde_json::to_string(&row).expect("serializable")));
    }

    /// Judges the history and returns the names of the broken rules.
    fn broken_rules(mut self) -> Vec<&'static str> {
        self.observed.ended = self.at;
        judge(&day(), &self.observed).broken()
    }
}

fn ledger() -> Ledger {
    Ledger::new(shares(&day().work.debts.expect("the day has debts settings")))
}

/// The job is done at its first site, and its use is folded.
fn correct_history() -> History {
    let mut history = History::new();
    let token = history.assigns("1", "j", 0xa);
    history.applies_step("site-0", "j", token, 0);
    history.applies_step("site-0", "j", token, 1);
    history.completes("j", token);
    history.observed.used.push(((token, "j".to_owned()), 500));
    history.folds(&mut ledger(), token, 500, 1);
    history
}

#[test]
fn correct_history_breaks_no_rule() {
    assert_eq!(correct_history().broken_rules(), Vec::<&str>::new());
}

#[test]
fn lower_terms_and_writers_other_than_the_leader_are_reported() {
    let mut history = correct_history();
    let line = JobLine { term: 3, ..JobLine::new(State::Leased(0xb)) };
    history.line("1", "own", "j", &line);
    assert!(history.broken_rules().contains(&"D1 terms"));
    let mut history = correct_history();
    history.assigns("2", "j", 0xb);
    assert!(history.broken_rules().contains(&"D2 one owner"));
}

#[test]
fn missing_leader_and_too_many_leader_changes_are_reported() {
    let mut history = correct_history();
    history.deletes("duty/jobs");
    history.at += 2 * SECOND;
    history.put("duty/jobs", "1");
    assert_eq!(history.broken_rules(), ["D3 an owner"]);
    // A killed steward that still holds the claim doesn't count as a leader either.
    let mut history = correct_history();
    let who = vec!["steward-0".to_owned()];
    let fault =
        InjectedFault { at: history.at, until: history.at + 9 * SECOND, what: "killed".to_owned(), who };
    history.observed.injected.push(fault);
    history.at += 3 * SECOND;
    history.put("duty/jobs", "2");
    assert_eq!(history.broken_rules(), ["D3 an owner", "D4 few changes"]);
}

#[test]
fn repeated_step_and_lost_job_are_reported() {
    let mut history = correct_history();
    let token = history.revision as u64;
    history.applies_step("site-0", "j", token, 1);
    assert_eq!(history.broken_rules(), ["J1 once"]);
    let mut history = correct_history();
    history.put("job/k", r#"{"user":"u","steps":1,"step_ms":1}"#);
    history.observed.submitted = 2;
    assert_eq!(history.broken_rules(), ["J2 none lost"]);
    // Reported done with a step missing.
    let mut history = correct_history();
    history.observed.landings.pop();
    assert_eq!(history.broken_rules(), ["J2 none lost"]);
}

#[test]
fn job_reassigned_while_it_is_held_is_reported() {
    let mut history = History::new();
    let token = history.assigns("1", "j", 0xa);
    history.requeues("1", "j", token);
    assert!(history.broken_rules().contains(&"J3 not while held"), "the site was still registered");
    let mut history = History::new();
    let old = history.assigns("1", "j", 0xa);
    history.deletes("site/a");
    history.requeues("1", "j", old);
    let new = history.assigns("1", "j", 0xb);
    history.applies_step("site-0", "j", old, 0);
    history.applies_step("site-1", "j", new, 1);
    history.completes("j", new);
    assert_eq!(
        history.broken_rules(),
        ["J3 not while held"],
        "the old site works on the job after its reassignment"
    );
}

#[test]
fn late_reassignment_and_overfull_site_are_reported() {
    let mut history = History::new();
    let old = history.assigns("1", "j", 0xa);
    history.deletes("site/a");
    history.requeues("1", "j", old);
    history.at += 3 * SECOND;
    let new = history.assigns("1", "j", 0xb);
    history.applies_step("site-1", "j", new, 0);
    history.applies_step("site-1", "j", new, 1);
    history.completes("j", new);
    assert_eq!(history.broken_rules(), ["J4 again soon"]);
    let mut history = correct_history();
    history.assigns("1", "k", 0xb);
    history.assigns("1", "l", 0xb);
    assert_eq!(history.broken_rules(), ["J5 room"]);
}

/// J4 includes the time for which all sites were full, as a day that checks J4 has to leave spare capacity; the verdict says
/// how much of the delay that was.
#[test]
fn late_reassignment_is_reported_with_the_time_all_sites_were_full() {
    let mut history = History::new();
    let old = history.assigns("1", "j", 0xa);
    let other = history.assigns("1", "k", 0xb);
    history.deletes("site/a");
    history.requeues("1", "j", old);
    history.at += 2 * SECOND;
    // From the loss until here, 2.2 s, the only remaining site was full.
    history.completes("k", other);
    history.at += SECOND;
    history.assigns("1", "j", 0xb);
    let verdict = judge(&day(), &history.observed);
    let report = verdict.report();
    assert!(
        report.contains("j of site-0, lost at 0.90 s: 3.40 s, all sites full for 2.20 s of that"),
        "{report}"
    );
    assert!(verdict.broken().contains(&"J4 again soon"), "{report}");
}

#[test]
fn missing_wrong_and_doubly_folded_uses_are_reported() {
    let mut history = correct_history();
    history.observed.used.push(((99, "k".to_owned()), 7));
    assert_eq!(history.broken_rules(), ["S1 use"]);
    let mut history = correct_history();
    history.observed.used[0].1 = 400;
    assert_eq!(history.broken_rules(), ["S1 use"]);
    let mut history = correct_history();
    let (token, mut known) = (history.observed.used[0].0 .0, ledger());
    known.add("u", "", 500);
    known.epoch = 1;
    history.folds(&mut known, token, 500, 1);
    assert_eq!(history.broken_rules(), ["S1 use"]);
}

#[test]
fn rankings_that_differ_go_back_or_are_wrong_are_reported() {
    let mut history = correct_history();
    history.put("reach/1", r#"{"ranking":[1,20,"aa"]}"#);
    history.put("reach/2", r#"{"ranking":[1,20,"bb"]}"#);
    assert_eq!(history.broken_rules(), ["S2 one digest"]);
    let mut history = correct_history();
    history.put("reach/1", r#"{"ranking":[1,20,"aa"]}"#);
    history.put("reach/1", r#"{"ranking":[1,19,"ab"]}"#);
    assert_eq!(history.broken_rules(), ["S2 one digest"]);
    let mut history = correct_history();
    history.put(
        "ranking",
        &serde_json::to_string(&EpochRow { epoch: 1, ..EpochRow::default() }).expect("serializable"),
    );
    assert_eq!(history.broken_rules(), ["S3 as reckoned"]);
}

#[test]
fn job_that_waits_too_long_is_reported() {
    let mut history = History::new();
    history.at += 6 * SECOND;
    let token = history.assigns("1", "j", 0xa);
    history.applies_step("site-0", "j", token, 0);
    history.applies_step("site-0", "j", token, 1);
    history.completes("j", token);
    assert_eq!(history.broken_rules(), ["J6 by rank"]);
}

//! The judge is proven by histories that break each rule.

use ravenspar_debt::{EpochRow, Fact, Ledger, UseRow};
use ravenspar_jobs::{JobLine, State};
use ravenspar_standin::effects::{Answer, Call};

use super::debts::shares;
use super::*;
use crate::day::Span;
use crate::work::day::{Bounds, Debts, Work};
use crate::work::play::PREFIX;

/// A history written by hand: each step is a revision of its own.
struct Tale {
    at: Time,
    revision: i64,
    seen: Seen,
}

fn day() -> WorkDay {
    let debts = Debts { half_life: Span(SECOND), epoch: Span(SECOND), users: Vec::new() };
    WorkDay {
        about: String::new(),
        seed: 1,
        work: Work { debts: Some(debts), ..Work::default() },
        troubles: Vec::new(),
        judge: Bounds {
            over_within: Span(10 * SECOND),
            without_owner_most: Span(SECOND),
            again_within: Span(2 * SECOND),
            wait_most: Span(5 * SECOND),
            ..Bounds::default()
        },
    }
}

impl Tale {
    /// Two members, the first with the duty, two sites with room for one, a job of two steps.
    fn new() -> Tale {
        let mut tale = Tale {
            at: 0,
            revision: 10,
            seen: Seen {
                began: 0,
                ended: 100 * SECOND,
                last: 0,
                changes: Vec::new(),
                used: Vec::new(),
                landings: Vec::new(),
                befell: Vec::new(),
                handed_in: 1,
            },
        };
        tale.put("member/1", r#"{"name":"steward-0"}"#);
        tale.put("member/2", r#"{"name":"steward-1"}"#);
        tale.put("site/a", r#"{"name":"site-0","room":1}"#);
        tale.put("site/b", r#"{"name":"site-1","room":1}"#);
        tale.put("duty/jobs", "1");
        tale.put("job/j", r#"{"user":"u","steps":2,"step_ms":100}"#);
        tale
    }

    fn step(&mut self) -> i64 {
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
        self.seen.changes.push(change);
    }

    fn put(&mut self, key: &str, value: &str) -> i64 {
        let revision = self.step();
        self.change(key, Some(value));
        revision
    }

    fn gone(&mut self, key: &str) {
        self.step();
        self.change(key, None);
    }

    fn term(&self) -> u64 {
        let claim = self.seen.changes.iter().rev().find(|change| change.key.ends_with("duty/jobs"));
        claim.map_or(0, |claim| claim.revision as u64)
    }

    /// A line written by a life's hand.
    fn line(&mut self, life: &str, hand: &str, job: &str, line: &JobLine) -> u64 {
        let text = serde_json::to_string(line).expect("written");
        let revision = self.put(&format!("line/{job}"), &text);
        self.change(&format!("witness/{life}/{hand}"), Some("1"));
        revision as u64
    }

    fn gives(&mut self, life: &str, job: &str, site: u64) -> u64 {
        let line = JobLine { term: self.term(), ..JobLine::new(State::Leased(site)) };
        self.line(life, "own", job, &line)
    }

    fn ends(&mut self, life: &str, job: &str, last: u64) {
        let line = JobLine { term: self.term(), last, ..JobLine::new(State::Waiting) };
        self.line(life, "own", job, &line);
    }

    fn lands(&mut self, site: &str, job: &str, token: u64, step: u64) {
        self.at += SECOND / 10;
        let call = Call::Step { site: site.to_owned(), job: job.to_owned(), token, step };
        self.seen.landings.push(Landing {
            at: self.at,
            call,
            answer: Answer::Landed(step + 1),
            effect: true,
        });
    }

    fn done(&mut self, job: &str, last: u64) {
        self.line("1", "agents", job, &JobLine { last, ..JobLine::new(State::Done) });
        self.put(&format!("outcome/{job}"), r#"{"ended":"done"}"#);
    }

    fn folds(&mut self, ledger: &mut Ledger, token: u64, used: u64, epoch: u64) {
        let fact = Fact { user: "u".to_owned(), group: String::new(), used, last: true };
        let row = UseRow { fact, folded: true };
        let key = format!("use/{token:016x}/j");
        self.put(&key, &serde_json::to_string(&row).expect("written"));
        ledger.add("u", "", used);
        ledger.epoch = epoch;
        let row = EpochRow {
            epoch,
            digest: ledger.digest().iter().map(|byte| format!("{byte:02x}")).collect(),
            ..EpochRow::default()
        };
        self.change("ranking", Some(&serde_json::to_string(&row).expect("written")));
    }

    /// The rules that it breaks.
    fn breaks(mut self) -> Vec<&'static str> {
        self.seen.ended = self.at;
        judge(&day(), &self.seen).broken()
    }
}

fn ledger() -> Ledger {
    Ledger::new(shares(&day().work.debts.expect("debts")))
}

/// The job is done at its first site, and its use is counted.
fn good() -> Tale {
    let mut tale = Tale::new();
    let token = tale.gives("1", "j", 0xa);
    tale.lands("site-0", "j", token, 0);
    tale.lands("site-0", "j", token, 1);
    tale.done("j", token);
    tale.seen.used.push(((token, "j".to_owned()), 500));
    tale.folds(&mut ledger(), token, 500, 1);
    tale
}

#[test]
fn a_good_history_breaks_nothing() {
    assert_eq!(good().breaks(), Vec::<&str>::new());
}

#[test]
fn lower_terms_and_others_than_the_owner() {
    let mut tale = good();
    let line = JobLine { term: 3, ..JobLine::new(State::Leased(0xb)) };
    tale.line("1", "own", "j", &line);
    assert!(tale.breaks().contains(&"D1 terms"));
    let mut tale = good();
    tale.gives("2", "j", 0xb);
    assert!(tale.breaks().contains(&"D2 one owner"));
}

#[test]
fn no_owner_and_too_many() {
    let mut tale = good();
    tale.gone("duty/jobs");
    tale.at += 2 * SECOND;
    tale.put("duty/jobs", "1");
    assert_eq!(tale.breaks(), ["D3 an owner"]);
    // One that is killed and still has the claim is none either.
    let mut tale = good();
    let who = vec!["steward-0".to_owned()];
    let befell = Befell { at: tale.at, until: tale.at + 9 * SECOND, what: "killed".to_owned(), who };
    tale.seen.befell.push(befell);
    tale.at += 3 * SECOND;
    tale.put("duty/jobs", "2");
    assert_eq!(tale.breaks(), ["D3 an owner", "D4 few changes"]);
}

#[test]
fn a_step_that_lands_twice_and_a_job_that_is_lost() {
    let mut tale = good();
    let token = tale.revision as u64;
    tale.lands("site-0", "j", token, 1);
    assert_eq!(tale.breaks(), ["J1 once"]);
    let mut tale = good();
    tale.put("job/k", r#"{"user":"u","steps":1,"step_ms":1}"#);
    tale.seen.handed_in = 2;
    assert_eq!(tale.breaks(), ["J2 none lost"]);
    // Said to be done with a step missing.
    let mut tale = good();
    tale.seen.landings.pop();
    assert_eq!(tale.breaks(), ["J2 none lost"]);
}

#[test]
fn a_job_given_out_while_it_is_held() {
    let mut tale = Tale::new();
    let token = tale.gives("1", "j", 0xa);
    tale.ends("1", "j", token);
    assert!(tale.breaks().contains(&"J3 not while held"), "its site was there");
    let mut tale = Tale::new();
    let old = tale.gives("1", "j", 0xa);
    tale.gone("site/a");
    tale.ends("1", "j", old);
    let new = tale.gives("1", "j", 0xb);
    tale.lands("site-0", "j", old, 0);
    tale.lands("site-1", "j", new, 1);
    tale.done("j", new);
    assert_eq!(tale.breaks(), ["J3 not while held"], "it works on after it was given out again");
}

#[test]
fn a_job_given_out_again_too_late_and_a_site_that_is_too_full() {
    let mut tale = Tale::new();
    let old = tale.gives("1", "j", 0xa);
    tale.gone("site/a");
    tale.ends("1", "j", old);
    tale.at += 3 * SECOND;
    let new = tale.gives("1", "j", 0xb);
    tale.lands("site-1", "j", new, 0);
    tale.lands("site-1", "j", new, 1);
    tale.done("j", new);
    assert_eq!(tale.breaks(), ["J4 again soon"]);
    let mut tale = good();
    tale.gives("1", "k", 0xb);
    tale.gives("1", "l", 0xb);
    assert_eq!(tale.breaks(), ["J5 room"]);
}

/// J4 counts the wait for room as well, as a day that looks at it is to leave room; the verdict says how much of it that was.
#[test]
fn a_job_that_comes_late_is_told_with_how_long_no_site_had_room() {
    let mut tale = Tale::new();
    let old = tale.gives("1", "j", 0xa);
    let other = tale.gives("1", "k", 0xb);
    tale.gone("site/a");
    tale.ends("1", "j", old);
    tale.at += 2 * SECOND;
    // From the loss to here the only site that is left was full: 2.2 s.
    tale.done("k", other);
    tale.at += SECOND;
    tale.gives("1", "j", 0xb);
    let verdict = judge(&day(), &tale.seen);
    let told = verdict.report();
    assert!(told.contains("j of site-0, lost at 0.90 s: 3.40 s, 2.20 s of them no site had room"), "{told}");
    assert!(verdict.broken().contains(&"J4 again soon"), "{told}");
}

#[test]
fn uses_that_are_missing_wrong_or_counted_twice() {
    let mut tale = good();
    tale.seen.used.push(((99, "k".to_owned()), 7));
    assert_eq!(tale.breaks(), ["S1 use"]);
    let mut tale = good();
    tale.seen.used[0].1 = 400;
    assert_eq!(tale.breaks(), ["S1 use"]);
    let mut tale = good();
    let (token, mut known) = (tale.seen.used[0].0 .0, ledger());
    known.add("u", "", 500);
    known.epoch = 1;
    tale.folds(&mut known, token, 500, 1);
    assert_eq!(tale.breaks(), ["S1 use"]);
}

#[test]
fn rankings_that_differ_go_back_or_are_wrong() {
    let mut tale = good();
    tale.put("reach/1", r#"{"ranking":[1,20,"aa"]}"#);
    tale.put("reach/2", r#"{"ranking":[1,20,"bb"]}"#);
    assert_eq!(tale.breaks(), ["S2 one digest"]);
    let mut tale = good();
    tale.put("reach/1", r#"{"ranking":[1,20,"aa"]}"#);
    tale.put("reach/1", r#"{"ranking":[1,19,"ab"]}"#);
    assert_eq!(tale.breaks(), ["S2 one digest"]);
    let mut tale = good();
    tale.put(
        "ranking",
        &serde_json::to_string(&EpochRow { epoch: 1, ..EpochRow::default() }).expect("written"),
    );
    assert_eq!(tale.breaks(), ["S3 as reckoned"]);
}

#[test]
fn a_job_that_waits_too_long() {
    let mut tale = Tale::new();
    tale.at += 6 * SECOND;
    let token = tale.gives("1", "j", 0xa);
    tale.lands("site-0", "j", token, 0);
    tale.lands("site-0", "j", token, 1);
    tale.done("j", token);
    assert_eq!(tale.breaks(), ["J6 by rank"]);
}

//! The decisions of the duty's leader, with each test in the part of the store.

use ravenspar_jobs::{Job, JobLine, Limits, Scheduler, Site, State, Time, Write};

const SECOND: Time = 10_000;

fn limits() -> Limits {
    Limits {
        jobs: 1_000,
        attempts: 3,
        retry_delay: SECOND,
        cold_period: 2 * SECOND,
        mass_loss_delay: 5 * SECOND,
        max_wait: 60 * SECOND,
        writes: 40,
    }
}

fn job(user: &str) -> Result<Job, String> {
    Ok(Job { user: user.to_owned(), group: String::new(), cancel: false })
}

fn site(incarnation: u64, room: usize) -> Site {
    Site { incarnation, name: format!("site-{incarnation}"), room }
}

/// Carries out all writes until there are none left; returns them as job and state.
fn run_until_idle(scheduler: &mut Scheduler, now: Time, revision: &mut u64) -> Vec<(String, State)> {
    run_until_idle_by(scheduler, now, revision, no_debt)
}

fn no_debt(_: &str) -> u64 {
    0
}

fn run_until_idle_by(
    scheduler: &mut Scheduler,
    now: Time,
    revision: &mut u64,
    owes: fn(&str) -> u64,
) -> Vec<(String, State)> {
    let mut written = Vec::new();
    loop {
        let writes = scheduler.next(now, owes);
        if writes.is_empty() {
            return written;
        }
        assert!(scheduler.next(now, owes).is_empty(), "one transaction at a time");
        *revision += 1;
        scheduler.complete(now, &writes, Some(*revision));
        written.extend(writes.into_iter().map(|write| (write.job, write.line.state)));
    }
}

fn states(written: &[(String, State)]) -> Vec<(&str, State)> {
    written.iter().map(|(job, state)| (job.as_str(), *state)).collect()
}

#[test]
fn a_job_moves_to_another_site_once_its_site_is_gone() {
    let (mut scheduler, mut revision) = (Scheduler::new(7, limits()), 100);
    scheduler.sites(0, vec![site(1, 4), site(2, 2), site(3, 1)]);
    scheduler.job(0, "a", 10, job("u"));
    assert_eq!(states(&run_until_idle(&mut scheduler, 0, &mut revision)), [("a", State::Leased(1))]);
    assert!(run_until_idle(&mut scheduler, SECOND, &mut revision).is_empty());
    scheduler.sites(5 * SECOND, vec![site(2, 2), site(3, 1)]);
    let writes = scheduler.next(5 * SECOND, no_debt);
    assert_eq!(writes.len(), 1);
    assert_eq!((writes[0].gone, writes[0].seen, writes[0].line.last), (Some(1), 101, 101));
    assert_eq!((writes[0].line.term, writes[0].line.attempts), (7, 1));
    revision += 1;
    scheduler.complete(5 * SECOND, &writes, Some(revision));
    assert!(
        run_until_idle(&mut scheduler, 5 * SECOND + 1, &mut revision).is_empty(),
        "the second attempt waits"
    );
    let written = run_until_idle(&mut scheduler, 6 * SECOND, &mut revision);
    assert_eq!(states(&written), [("a", State::Leased(2))]);
}

#[test]
fn after_a_failed_write_decisions_follow_the_lines_at_the_store() {
    let mut scheduler = Scheduler::new(7, limits());
    scheduler.sites(0, vec![site(1, 4)]);
    scheduler.job(0, "a", 10, job("u"));
    let writes: Vec<Write> = scheduler.next(0, no_debt);
    scheduler.complete(0, &writes, None);
    // An outcome was written first.
    scheduler.line(0, "a", JobLine { last: 9, ..JobLine::new(State::Done) }, 50);
    assert!(scheduler.next(0, no_debt).is_empty());
    // A line older than the known one changes nothing.
    scheduler.line(0, "a", JobLine::new(State::Waiting), 40);
    assert!(scheduler.next(0, no_debt).is_empty());
}

#[test]
fn a_cold_site_gets_a_quarter_of_its_capacity_and_no_site_more_than_all() {
    let (mut scheduler, mut revision) = (Scheduler::new(7, limits()), 100);
    scheduler.sites(0, vec![site(1, 8)]);
    (0..20).for_each(|n| scheduler.job(0, &format!("j{n:02}"), 10 + n, job("u")));
    assert_eq!(run_until_idle(&mut scheduler, 0, &mut revision).len(), 2);
    assert_eq!(run_until_idle(&mut scheduler, SECOND, &mut revision).len(), 0);
    assert_eq!(run_until_idle(&mut scheduler, 2 * SECOND, &mut revision).len(), 6);
    assert_eq!(run_until_idle(&mut scheduler, 9 * SECOND, &mut revision).len(), 0);
    assert_eq!((scheduler.metrics().held, scheduler.metrics().waiting), (8, 12));
}

#[test]
fn attempts_are_bounded_with_growing_delays() {
    let (mut scheduler, mut revision) = (Scheduler::new(7, limits()), 100);
    scheduler.sites(0, vec![site(1, 8)]);
    scheduler.job(0, "a", 10, job("u"));
    let mut now = 0;
    let mut leased_at = Vec::new();
    for _ in 0..400 {
        for (_, state) in run_until_idle(&mut scheduler, now, &mut revision) {
            match state {
                State::Leased(_) => {
                    leased_at.push(now);
                    revision += 1;
                    let last = revision - 1;
                    let attempts = leased_at.len() as u32;
                    let failed = JobLine { last, attempts, why: "x".into(), ..JobLine::new(State::Waiting) };
                    scheduler.line(now, "a", failed, revision);
                }
                state => assert_eq!((state, leased_at.len()), (State::Parked, 3)),
            }
        }
        now += SECOND / 10;
    }
    assert_eq!(leased_at, [0, SECOND, 3 * SECOND]);
    assert_eq!(scheduler.metrics().parked, 1);
}

#[test]
fn jobs_wait_when_most_sites_are_lost_at_once() {
    let (mut scheduler, mut revision) = (Scheduler::new(7, limits()), 100);
    scheduler.sites(0, (1..=4).map(|incarnation| site(incarnation, 8)).collect());
    (0..8).for_each(|n| scheduler.job(0, &format!("j{n}"), 10 + n, job("u")));
    run_until_idle(&mut scheduler, 0, &mut revision);
    scheduler.sites(10 * SECOND, vec![site(4, 8)]);
    assert!(run_until_idle(&mut scheduler, 14 * SECOND, &mut revision).is_empty());
    assert!(scheduler.metrics().held_back);
    let written = run_until_idle(&mut scheduler, 15 * SECOND, &mut revision);
    assert!(written.iter().any(|(_, state)| *state == State::Waiting), "the jobs don't wait forever");
    // One site of four is lost like any other.
    let (mut scheduler, mut revision) = (Scheduler::new(7, limits()), 100);
    scheduler.sites(0, (1..=4).map(|incarnation| site(incarnation, 8)).collect());
    (0..8).for_each(|n| scheduler.job(0, &format!("j{n}"), 10 + n, job("u")));
    run_until_idle(&mut scheduler, 0, &mut revision);
    scheduler.sites(10 * SECOND, (2..=4).map(|incarnation| site(incarnation, 8)).collect());
    assert!(!run_until_idle(&mut scheduler, 10 * SECOND, &mut revision).is_empty());
}

/// A site that can't receive goes through one incarnation after the other. It counts as one lost site, and its jobs
/// are not held back.
#[test]
fn a_site_lost_twice_counts_as_one_lost_site() {
    let (mut scheduler, mut revision) = (Scheduler::new(7, limits()), 100);
    let named = |incarnation: u64, name: &str| Site { incarnation, name: name.to_owned(), room: 8 };
    let remaining_sites = || [named(3, "c"), named(4, "d")];
    let remaining_and =
        |more: &[Site]| remaining_sites().into_iter().chain(more.iter().cloned()).collect::<Vec<_>>();
    scheduler.sites(0, remaining_and(&[named(1, "a"), named(2, "b")]));
    (0..8).for_each(|n| scheduler.job(0, &format!("j{n}"), 10 + n, job("u")));
    run_until_idle(&mut scheduler, 0, &mut revision);
    // Its first incarnation ends before the next one is registered.
    scheduler.sites(10 * SECOND, remaining_and(&[named(2, "b")]));
    scheduler.sites(10 * SECOND + 100, remaining_and(&[named(2, "b"), named(11, "a")]));
    scheduler.sites(10 * SECOND + 4_000, remaining_and(&[named(11, "a")]));
    run_until_idle(&mut scheduler, 10 * SECOND + 4_000, &mut revision);
    let written = run_until_idle(&mut scheduler, 13 * SECOND, &mut revision);
    assert!(states(&written).iter().any(|(_, state)| *state == State::Leased(11)), "{written:?}");
    // Two of four sites have gone by now, one of them twice: no more than half.
    scheduler.sites(14 * SECOND + 6_000, remaining_and(&[]));
    let written = run_until_idle(&mut scheduler, 14 * SECOND + 6_000, &mut revision);
    assert!(
        !scheduler.metrics().held_back && written.iter().any(|(_, state)| *state == State::Waiting),
        "{written:?}"
    );
    // A third site is lost in the meantime: more than half.
    scheduler.sites(14 * SECOND + 7_000, vec![named(4, "d")]);
    assert!(run_until_idle(&mut scheduler, 14 * SECOND + 7_000, &mut revision).is_empty());
    assert!(scheduler.metrics().held_back);
}

#[test]
fn users_who_owe_less_go_first_and_no_job_waits_past_the_limit() {
    let (mut scheduler, mut revision) = (Scheduler::new(7, limits()), 100);
    (0..50).for_each(|n| scheduler.job(0, &format!("flood-{n:02}"), 10 + n, job("flood")));
    scheduler.job(0, "small-1", 90, job("small"));
    scheduler.job(0, "small-2", 91, job("small"));
    scheduler.rank(100);
    scheduler.sites(0, vec![site(1, 2)]);
    let owes = |user: &str| if user == "flood" { 1_000 } else { 0 };
    let written = run_until_idle_by(&mut scheduler, 2 * SECOND, &mut revision, owes);
    assert_eq!(written.iter().map(|(job, _)| job.as_str()).collect::<Vec<_>>(), ["small-1", "small-2"]);
    // The other way round, until the wait limit is reached.
    let (mut scheduler, mut revision) = (Scheduler::new(7, limits()), 100);
    scheduler.job(0, "small-1", 5, job("small"));
    let owes = |user: &str| if user == "flood" { 0 } else { u64::MAX };
    (0..50).for_each(|n| scheduler.job(SECOND, &format!("flood-{n:02}"), 10 + n, job("flood")));
    scheduler.sites(SECOND, vec![site(1, 2)]);
    let written = run_until_idle_by(&mut scheduler, 3 * SECOND, &mut revision, owes);
    assert!(written.iter().all(|(job, _)| job.starts_with("flood")));
    scheduler.sites(60 * SECOND, vec![site(1, 2), site(2, 4)]);
    let written = run_until_idle_by(&mut scheduler, 60 * SECOND, &mut revision, owes);
    assert_eq!(written[0].0, "small-1");
}

#[test]
fn cancelling_ends_waiting_jobs_and_stops_held_ones() {
    let (mut scheduler, mut revision) = (Scheduler::new(7, limits()), 100);
    scheduler.sites(0, vec![site(1, 1)]);
    scheduler.job(0, "a", 10, job("u"));
    scheduler.job(0, "b", 11, job("u"));
    run_until_idle(&mut scheduler, 0, &mut revision);
    let cancelled = job("u").map(|job| Job { cancel: true, ..job });
    scheduler.job(0, "a", 10, cancelled.clone());
    scheduler.job(0, "b", 11, cancelled);
    let written = run_until_idle(&mut scheduler, 0, &mut revision);
    assert_eq!(states(&written), [("a", State::Ending(1)), ("b", State::Cancelled)]);
    scheduler.sites(SECOND, Vec::new());
    let written = run_until_idle(&mut scheduler, SECOND, &mut revision);
    assert_eq!(states(&written), [("a", State::Cancelled)]);
}

#[test]
fn jobs_past_the_limit_are_ignored_and_counted() {
    let mut scheduler = Scheduler::new(7, Limits { jobs: 2, ..limits() });
    (0..3).for_each(|n| scheduler.job(0, &format!("j{n}"), 10 + n, job("u")));
    assert_eq!((scheduler.metrics().jobs, scheduler.metrics().left_out), (2, 1));
    scheduler.forget(0, "j0");
    scheduler.job(0, "j2", 12, job("u"));
    assert_eq!((scheduler.metrics().jobs, scheduler.metrics().waiting), (2, 2));
}

#[test]
fn an_unreadable_job_is_parked_and_a_deleted_one_is_ended_and_forgotten() {
    let (mut scheduler, mut revision) = (Scheduler::new(7, limits()), 100);
    scheduler.sites(0, vec![site(1, 9)]);
    scheduler.job(0, "a", 10, Err("expected a user".to_owned()));
    scheduler.job(0, "b", 11, job("u"));
    let writes = scheduler.next(0, no_debt);
    assert_eq!((writes[0].line.state, writes[0].line.why.as_str()), (State::Parked, "expected a user"));
    scheduler.complete(0, &writes, Some(101));
    revision += 1;
    assert_eq!(states(&run_until_idle(&mut scheduler, 0, &mut revision)), [("b", State::Leased(1))]);
    scheduler.all_jobs(0, &["a", "b"].into());
    assert!(scheduler.next(0, no_debt).is_empty());
    scheduler.all_jobs(0, &[].into());
    let writes = scheduler.next(0, no_debt);
    let written: Vec<_> =
        writes.iter().map(|write| (write.job.as_str(), write.line.state, write.delete)).collect();
    assert_eq!(written, [("a", State::Cancelled, true), ("b", State::Ending(1), false)]);
    revision += 1;
    scheduler.complete(0, &writes, Some(revision));
    assert_eq!(scheduler.metrics().jobs, 1);
    revision += 1;
    let stopped = JobLine { last: 102, ..JobLine::new(State::Cancelled) };
    scheduler.line(0, "b", stopped, revision);
    let writes = scheduler.next(0, no_debt);
    assert!(writes[0].delete);
    scheduler.complete(0, &writes, Some(revision + 1));
    assert_eq!((scheduler.metrics().jobs, scheduler.next(0, no_debt).len()), (0, 0));
}

/// Users with equal debts alternate, in whatever order their jobs were submitted.
#[test]
fn users_with_equal_debts_alternate() {
    let (mut scheduler, mut revision) = (Scheduler::new(7, limits()), 100);
    (0..6).for_each(|n| scheduler.job(0, &format!("a{n}"), 10 + n, job("a")));
    (0..6).for_each(|n| scheduler.job(0, &format!("b{n}"), 20 + n, job("b")));
    scheduler.sites(0, vec![site(1, 24)]);
    let written = run_until_idle(&mut scheduler, 0, &mut revision);
    assert_eq!(
        written.iter().map(|(job, _)| job.as_str()).collect::<Vec<_>>(),
        ["a0", "b0", "a1", "b1", "a2", "b2"]
    );
}

#[test]
fn a_hundred_thousand_jobs_of_a_hundred_thousand_users_are_scheduled_at_the_cost_of_changes() {
    let mut scheduler = Scheduler::new(7, Limits { jobs: 100_000, ..limits() });
    scheduler.sites(0, (1..=200).map(|incarnation| site(incarnation, 400)).collect());
    (0..100_000).for_each(|n| scheduler.job(0, &format!("j{n:06}"), n, job(&format!("u{n:06}"))));
    let mut revision = 200_000;
    let mut rounds = 0;
    while rounds < 500 {
        let writes = scheduler.next(3 * SECOND, no_debt);
        assert_eq!(writes.len(), 40);
        revision += 1;
        scheduler.complete(3 * SECOND, &writes, Some(revision));
        rounds += 1;
    }
    assert_eq!((scheduler.metrics().held, scheduler.metrics().waiting), (20_000, 80_000));
}

/// A line without a job proves no deletion: the job may not have been read yet, or may have been submitted since.
/// Only a full list of jobs shows that it is gone.
#[test]
fn an_unseen_job_counts_as_deleted_only_after_a_full_list() {
    let mut scheduler = Scheduler::new(7, limits());
    scheduler.sites(0, vec![site(1, 4)]);
    scheduler.line(0, "held", JobLine::new(State::Leased(1)), 50);
    scheduler.line(0, "waiting", JobLine::new(State::Waiting), 51);
    assert!(scheduler.next(0, no_debt).is_empty(), "no full list of jobs was read");
    scheduler.all_jobs(0, &["held"].into());
    scheduler.job(0, "held", 10, job("u"));
    let writes = scheduler.next(0, no_debt);
    let written: Vec<(&str, State)> =
        writes.iter().map(|write| (write.job.as_str(), write.line.state)).collect();
    assert_eq!(written, [("waiting", State::Cancelled)]);
}

//! Tests that the judge finds a violation of each rule, and none at its limits.

use std::time::Duration;

use crate::judge::{Condition, Judge, Limits};

const SECOND: Duration = Duration::from_secs(1);

fn judge() -> Judge {
    Judge::new(Limits {
        settle: SECOND,
        max_waiting_lines: 100,
        messages: 2,
        window: 10 * SECOND,
        max_drain: 3 * SECOND,
        max_unserved: 5 * SECOND,
        ready: 10 * SECOND,
    })
}

#[track_caller]
fn assert_violation(judge: &Judge, rule: &str) {
    assert_eq!(judge.violations().len(), 1, "{:?}", judge.violations());
    assert!(judge.violations()[0].contains(rule), "{:?}", judge.violations());
}

#[test]
fn a_write_at_a_second_server_before_the_first_has_ended() {
    let mut judge = judge();
    judge.may_write(SECOND, 3, 0);
    judge.may_write(2 * SECOND, 3, 1);
    judge.may_write(2 * SECOND, 4, 0);
    assert!(judge.violations().is_empty(), "a full settling time later");
    judge.may_write(3 * SECOND - Duration::from_millis(1), 3, 2);
    assert_violation(&judge, "duplicate");
}

#[test]
fn a_move_without_a_revoke() {
    let mut judge = judge();
    judge.moved_directly(SECOND, 1);
    assert_violation(&judge, "duplicate");
}

#[test]
fn one_waiting_line_too_many() {
    let mut judge = judge();
    judge.lines_waiting(SECOND, 0, 100);
    assert!(judge.violations().is_empty());
    judge.lines_waiting(SECOND, 0, 101);
    assert_violation(&judge, "queue");
}

#[test]
fn one_message_too_many_within_the_window() {
    let mut judge = judge();
    for at in [0, 1, 10] {
        judge.message(at * SECOND, 0, 7);
        judge.message(at * SECOND, 0, at as usize);
    }
    assert!(judge.violations().is_empty(), "the first has left the window");
    judge.joined(0, 7);
    judge.message(11 * SECOND, 0, 7);
    judge.message(11 * SECOND, 0, 7);
    assert!(judge.violations().is_empty(), "messages of a new stream count from its start");
    judge.message(12 * SECOND, 0, 7);
    assert_violation(&judge, "messages");
}

#[test]
fn drains_and_unserved_slices_past_their_limits() {
    for (condition, limit, rule) in [(Condition::DrainDue, 3, "drain"), (Condition::Unserved, 5, "lost")] {
        let mut judge = judge();
        judge.set_condition(SECOND, 0, condition, true);
        judge.set_condition((1 + limit) * SECOND, 0, condition, true);
        judge.set_condition((1 + limit) * SECOND, 0, condition, false);
        judge.set_condition((2 + limit) * SECOND, 0, condition, true);
        assert!(judge.violations().is_empty(), "{:?}", judge.violations());
        judge.set_condition((3 + 2 * limit) * SECOND, 0, condition, true);
        assert_violation(&judge, rule);
    }
}

#[test]
fn paused_limits_resume_after_the_pause() {
    for (condition, limit, rule) in [(Condition::DrainDue, 3, "drain"), (Condition::Unserved, 5, "lost")] {
        let mut judge = judge();
        judge.set_condition(SECOND, 0, condition, true);
        judge.set_condition(SECOND, 1, condition, true);
        judge.pause_limits(0, 2 * SECOND);
        judge.set_condition((3 + limit) * SECOND, 0, condition, true);
        assert!(judge.violations().is_empty(), "{:?}", judge.violations());
        judge.set_condition((3 + limit) * SECOND + Duration::from_millis(1), 0, condition, true);
        assert_violation(&judge, rule);
        judge.set_condition((3 + limit) * SECOND, 1, condition, true);
        assert_eq!(judge.violations().len(), 2, "the limits of other slices are not paused");
    }
}

#[test]
fn requests_read_and_not_answered() {
    let mut judge = judge();
    judge.unanswered(SECOND, 0, 0);
    assert!(judge.violations().is_empty());
    judge.unanswered(SECOND, 0, 1);
    assert_violation(&judge, "lost");
}

#[test]
fn a_late_start_and_a_nonzero_exit_code() {
    let mut late = judge();
    late.ready(SECOND, 0, 10 * SECOND);
    late.exited(SECOND, 0, Some(0));
    assert!(late.violations().is_empty());
    late.ready(SECOND, 0, 11 * SECOND);
    assert_violation(&late, "ready");
    for code in [Some(1), Some(101), None] {
        let mut crashed = judge();
        crashed.exited(SECOND, 0, code);
        assert_violation(&crashed, "crash");
    }
}

#[test]
fn an_unasked_exit_with_any_code() {
    for code in [Some(0), Some(1), None] {
        let mut judge = judge();
        judge.exited_unasked(SECOND, 0, code);
        assert_violation(&judge, "crash");
    }
}

#[test]
fn a_collector_rejected_for_its_reports() {
    let mut judge = judge();
    judge.rejected(SECOND, 0);
    assert_violation(&judge, "rejected");
}

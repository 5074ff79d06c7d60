//! When a connection counts as stalled.

use ravenspar_steward::SECOND;

use super::*;

#[test]
fn a_connection_without_bytes_is_stalled_after_its_timeout() {
    let mut stall = StallDetector::new(0, 1_000, 6 * SECOND);
    assert!(!stall.is_stalled(6 * SECOND - 1, 1_000));
    assert!(stall.is_stalled(6 * SECOND, 1_000));
}

#[test]
fn a_slow_response_is_no_stall_however_long_it_takes() {
    let mut stall = StallDetector::new(0, 0, 6 * SECOND);
    assert!((1..600).all(|second| !stall.is_stalled(second * SECOND, second as u64 * 40)));
    assert!(stall.is_stalled(606 * SECOND, 599 * 40));
}

#[test]
fn frames_that_only_keep_the_connection_open_are_no_progress() {
    let mut stall = StallDetector::new(0, 0, 6 * SECOND);
    assert!((1..=6).any(|second| stall.is_stalled(second * SECOND, second as u64 * 17)));
}

#[test]
fn progress_that_the_caller_knows_of_counts() {
    let mut stall = StallDetector::new(0, 0, 6 * SECOND);
    stall.progressed(5 * SECOND);
    assert!(!stall.is_stalled(10 * SECOND, 1));
    assert!(stall.is_stalled(11 * SECOND, 1));
}

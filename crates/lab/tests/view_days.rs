//! Days of the view of the fleet: real processes with faults on the links between them, judged. They mostly wait, so they run
//! concurrently.

mod common;

use common::{breaks, keeps_the_rules};

#[test]
fn crash() {
    keeps_the_rules("view-crash");
}

#[test]
fn join() {
    keeps_the_rules("view-join");
}

#[test]
fn roll() {
    keeps_the_rules("view-roll");
}

#[test]
fn split() {
    keeps_the_rules("view-split");
}

#[test]
fn bridge() {
    keeps_the_rules("view-bridge");
}

#[test]
fn one_way() {
    keeps_the_rules("view-one-way");
}

#[test]
fn lossy() {
    keeps_the_rules("view-lossy");
}

#[test]
fn crawl() {
    keeps_the_rules("view-crawl");
}

#[test]
fn stop() {
    keeps_the_rules("view-stop");
}

#[test]
fn storm() {
    keeps_the_rules("view-storm");
}

#[test]
fn restart_all() {
    keeps_the_rules("view-restart-all");
}

#[test]
fn short_stops() {
    keeps_the_rules("view-short-stops");
}

#[test]
fn bad_links() {
    keeps_the_rules("view-bad-links");
}

#[test]
fn without_comparison_views_do_not_converge_after_a_split() {
    breaks("view-without-comparison", "V1 settles");
}

#[test]
fn without_suspicion_short_pauses_drop_members() {
    breaks("view-without-suspicion", "V2 no false drop");
}

//! Days of the view of the fleet: processes of the program, faults between any two of them, and a judge. They wait far
//! more than they work, so they are played beside each other.

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
fn without_comparison_a_fleet_is_not_one_again() {
    breaks("view-without-comparison", "V1 settles");
}

#[test]
fn without_suspicion_short_stops_cost_members_their_places() {
    breaks("view-without-suspicion", "V2 no false drop");
}

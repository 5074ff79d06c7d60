//! Days of the view of the fleet: processes of the program, faults between any two of them, and a judge. They wait far
//! more than they work, so they are played beside each other.

use std::path::Path;
use std::process::Command;

/// Plays a day and returns its exit code and what it said.
fn day(name: &str) -> (Option<i32>, String) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let file = format!("examples/days/view-{name}.yaml");
    let output =
        Command::new(env!("CARGO_BIN_EXE_ravenspar-lab")).args(["day", &file]).current_dir(root).output();
    let output = output.expect("the lab starts");
    let said =
        String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr);
    println!("{said}");
    (output.status.code(), said)
}

fn keeps_the_rules(name: &str) {
    let (code, said) = day(name);
    assert!(said.contains("all rules kept"), "{said}");
    assert_eq!(code, Some(0));
}

fn breaks(name: &str, rule: &str) {
    let (code, said) = day(name);
    assert!(said.contains(&format!("{rule}: BROKEN")), "{said}");
    assert_eq!(code, Some(1));
}

#[test]
fn crash() {
    keeps_the_rules("crash");
}

#[test]
fn join() {
    keeps_the_rules("join");
}

#[test]
fn roll() {
    keeps_the_rules("roll");
}

#[test]
fn split() {
    keeps_the_rules("split");
}

#[test]
fn bridge() {
    keeps_the_rules("bridge");
}

#[test]
fn one_way() {
    keeps_the_rules("one-way");
}

#[test]
fn lossy() {
    keeps_the_rules("lossy");
}

#[test]
fn crawl() {
    keeps_the_rules("crawl");
}

#[test]
fn stop() {
    keeps_the_rules("stop");
}

#[test]
fn storm() {
    keeps_the_rules("storm");
}

#[test]
fn restart_all() {
    keeps_the_rules("restart-all");
}

#[test]
fn short_stops() {
    keeps_the_rules("short-stops");
}

#[test]
fn bad_links() {
    keeps_the_rules("bad-links");
}

#[test]
fn without_comparison_a_fleet_is_not_one_again() {
    breaks("without-comparison", "V1 settles");
}

#[test]
fn without_suspicion_short_stops_cost_members_their_places() {
    breaks("without-suspicion", "V2 no false drop");
}

//! The views of a fleet after joins, crashes, restarts and splits, in simulated time.

use crate::common::{Fleet, SECOND};

fn settled(seed: u64, members: usize) -> Fleet {
    let mut fleet = Fleet::new(seed, members);
    fleet.start_all();
    let all = fleet.live();
    let took = fleet.until_agreed(&all, 30 * SECOND);
    assert!(took.is_some(), "seed {seed}:\n{}", fleet.describe());
    fleet
}

#[test]
fn members_that_start_together_agree_and_report_that_they_are_settled() {
    for (seed, members) in [(1, 1), (2, 2), (3, 3), (4, 5), (5, 9), (6, 25)] {
        let mut fleet = settled(seed, members);
        fleet.run(20 * SECOND);
        for n in fleet.live() {
            assert!(fleet.view(n).is_settled(fleet.now), "{n} of {members}\n{}", fleet.describe());
        }
    }
}

#[test]
fn crashes_and_restarts_are_detected_by_all_others() {
    for seed in 1..=10 {
        for (members, crashed) in [(3, 1), (5, 2), (9, 1), (9, 3), (25, 6)] {
            let mut fleet = settled(seed, members);
            fleet.run(10 * SECOND);
            (0..crashed).for_each(|n| fleet.crash(n + 1));
            let left = fleet.live();
            let took = fleet.until_agreed(&left, 10 * SECOND);
            assert!(took.is_some(), "seed {seed}, {crashed} of {members}:\n{}", fleet.describe());
            (0..crashed).for_each(|n| fleet.start(n + 1));
            let all = fleet.live();
            let took = fleet.until_agreed(&all, 10 * SECOND);
            assert!(took.is_some(), "seed {seed}, {crashed} back of {members}:\n{}", fleet.describe());
        }
    }
}

#[test]
fn the_parts_of_a_split_fleet_agree_each_and_merge_once_it_heals() {
    for seed in 1..=10 {
        for (members, side) in [(3, 1), (4, 2), (9, 4), (9, 5), (25, 4), (25, 12)] {
            let mut fleet = settled(seed, members);
            fleet.run(5 * SECOND);
            // The seed member stays on one side.
            let part: Vec<usize> = (members - side..members).collect();
            let rest: Vec<usize> = (0..members - side).collect();
            fleet.split(&part);
            for side in [&part, &rest] {
                if side.len() > 1 {
                    let took = fleet.until_agreed(side, 30 * SECOND);
                    assert!(took.is_some(), "seed {seed}, {side:?} of {members}:\n{}", fleet.describe());
                }
            }
            fleet.run(20 * SECOND);
            fleet.heal();
            let all = fleet.live();
            let took = fleet.until_agreed(&all, 60 * SECOND);
            assert!(took.is_some(), "seed {seed}, healed {members}, {side}:\n{}", fleet.describe());
            fleet.run(20 * SECOND);
            assert!(fleet.agree(&all), "seed {seed}, healed {members}, {side}:\n{}", fleet.describe());
        }
    }
}

//! Turning off a part of the protocol breaks a property that the other tests check.

use crate::common::{Fleet, SECOND};
use ravenspar_view::FeatureToggles;

fn settled(seed: u64, members: usize, toggles: FeatureToggles) -> Fleet {
    let mut fleet = Fleet::new(seed, members);
    fleet.toggles = toggles;
    fleet.start_all();
    let all = fleet.live();
    fleet.until_agreed(&all, 30 * SECOND);
    fleet.run(10 * SECOND);
    fleet
}

/// Plays minutes in which only the first member has a bad link. Returns after how many runs another one was dropped.
fn false_drops(toggles: FeatureToggles, seeds: std::ops::Range<u64>) -> Option<u64> {
    let mut runs = 0;
    for seed in seeds {
        let mut fleet = settled(seed, 9, toggles);
        (fleet.loss, fleet.loss_of) = (0.05, [(0, 0.8)].into());
        fleet.run(60 * SECOND);
        runs += 1;
        if (1..9).any(|n| fleet.view(n).metrics().incarnations > 1) {
            return Some(runs);
        }
    }
    None
}

#[test]
fn with_a_single_observer_a_healthy_member_is_dropped_for_another_ones_bad_link() {
    let single = FeatureToggles { single_observer: true, ..FeatureToggles::default() };
    let found = false_drops(single, 1..40);
    assert!(found.is_some());
    println!("found after {found:?} runs");
    assert_eq!(false_drops(FeatureToggles::default(), 1..11), None);
}

#[test]
fn with_no_suspicion_a_healthy_member_is_dropped_on_a_lossy_network() {
    let drops = |toggles: FeatureToggles, seeds: std::ops::Range<u64>| {
        seeds.into_iter().position(|seed| {
            let mut fleet = settled(seed, 9, toggles);
            fleet.loss = 0.3;
            fleet.run(60 * SECOND);
            (0..9).any(|n| fleet.view(n).metrics().incarnations > 1)
        })
    };
    let found = drops(FeatureToggles { no_suspicion: true, ..FeatureToggles::default() }, 1..40);
    assert!(found.is_some());
    println!("found after {found:?} runs");
    assert_eq!(drops(FeatureToggles::default(), 1..11), None);
}

#[test]
fn with_no_comparison_a_late_member_does_not_learn_of_all_others() {
    let joined = |toggles: FeatureToggles, seed: u64| {
        let mut fleet = settled(seed, 9, toggles);
        let late = fleet.add();
        fleet.start(late);
        let all = fleet.live();
        fleet.until_agreed(&all, 60 * SECOND).is_some()
    };
    let without = FeatureToggles { no_comparison: true, ..FeatureToggles::default() };
    let found = (1..40).position(|seed| !joined(without, seed));
    assert!(found.is_some());
    println!("found after {found:?} runs");
    assert!((1..11).all(|seed| joined(FeatureToggles::default(), seed)));
}

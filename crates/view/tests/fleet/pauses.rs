//! Pauses of members and of the network at all phases of a fault, in simulated time. The scenarios are the lab's days
//! `examples/days/view-one-way.yaml` and `view-split.yaml`.

use crate::common::{Fleet, SECOND};

/// What is paused.
#[derive(Clone, Copy, Debug)]
enum Target {
    Member(usize),
    AllMembers,
    /// Datagrams sent meanwhile arrive once it resumes.
    Network,
}

/// Start after the beginning of the scenario, duration, and target.
type Pause = (i64, i64, Target);

/// The fault that nine members are exposed to.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Scenario {
    Healthy,
    /// Member 8 receives nothing for 12 s.
    CannotReceive,
    /// Nothing that member 7 sends arrives for 12 s.
    CannotSend,
    /// Four members are cut off from the other five for 20 s.
    Split,
}

impl Scenario {
    /// Start and end of the fault.
    fn fault(self) -> (i64, i64) {
        (SECOND, if self == Scenario::Split { 21 * SECOND } else { 13 * SECOND })
    }

    /// Members that the fault does not affect; a split affects all.
    fn unaffected(self) -> Vec<usize> {
        (0..9)
            .filter(|n| {
                !matches!(
                    (self, n),
                    (Scenario::Split, _) | (Scenario::CannotReceive, 8) | (Scenario::CannotSend, 7)
                )
            })
            .collect()
    }
}

/// Returns the view changes and new incarnations of each of nine members, and whether all agree 10 s after the fault.
fn run_scenario(seed: u64, scenario: Scenario, pauses: &[Pause]) -> (Vec<(u64, u64)>, bool) {
    let mut fleet = Fleet::new(seed, 9);
    // The round of the lab's days.
    fleet.round = SECOND / 5;
    fleet.start_all();
    let all = fleet.live();
    assert!(fleet.until_agreed(&all, 30 * SECOND).is_some(), "{}", fleet.describe());
    fleet.run(5 * SECOND);
    let metrics = |fleet: &Fleet, n: usize| fleet.view(n).metrics();
    let before: Vec<(u64, u64)> =
        all.iter().map(|&n| (metrics(&fleet, n).changes, metrics(&fleet, n).incarnations)).collect();
    let from = fleet.now;
    let (begin, end) = scenario.fault();
    let mut steps: Vec<(i64, Option<Pause>)> = pauses.iter().map(|pause| (pause.0, Some(*pause))).collect();
    steps.extend([(begin, None), (end, None)]);
    steps.sort_by_key(|step| step.0);
    for (at, pause) in steps {
        fleet.run_until(from + at);
        match pause {
            None if at == end => fleet.heal(),
            None => match scenario {
                Scenario::Healthy => {}
                Scenario::CannotReceive => fleet.cut.extend((0..8).map(|n| (n, 8))),
                Scenario::CannotSend => fleet.cut.extend((0..9).filter(|n| *n != 7).map(|n| (7, n))),
                Scenario::Split => fleet.split(&[0, 1, 2, 3]),
            },
            Some((_, span, Target::Member(n))) => fleet.nodes[n].paused_until = fleet.now + span,
            Some((_, span, Target::Network)) => fleet.network_paused_until = fleet.now + span,
            Some((_, span, Target::AllMembers)) => {
                let until = fleet.now + span;
                fleet.nodes.iter_mut().for_each(|node| node.paused_until = until);
            }
        }
    }
    fleet.run_until(from + end + 10 * SECOND);
    let after = all.iter().map(|&n| (metrics(&fleet, n).changes, metrics(&fleet, n).incarnations));
    let counts = after.zip(&before).map(|(after, before)| (after.0 - before.0, after.1 - before.1)).collect();
    (counts, fleet.agree(&all))
}

/// Pauses as on a busy machine: each member, and the network if `network` is set, repeatedly runs for about `gap` and is
/// paused for up to `longest`.
fn random_pauses(seed: u64, gap: i64, longest: i64, network: bool) -> Vec<Pause> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut all = Vec::new();
    let members = (0..9).map(Target::Member);
    for target in members.chain(network.then_some(Target::Network)) {
        let mut at = rng.i64(gap / 2..gap * 3 / 2);
        while at <= 25 * SECOND {
            let span = rng.i64(SECOND / 20..=longest);
            all.push((at, span, target));
            at += span + rng.i64(gap / 2..gap * 3 / 2);
        }
    }
    all
}

#[test]
fn a_split_with_short_or_rare_pauses_causes_few_view_changes() {
    // Pauses of up to 0.3 s every 0.3 s, and of up to 1 s every 3 s: less than the six rounds that get a member dropped.
    for (gap, longest) in [(3, 3), (30, 6), (30, 10)] {
        for seed in 1..=10 {
            let pauses = random_pauses(seed, gap * SECOND / 10, longest * SECOND / 10, false);
            let (counts, agree) = run_scenario(seed, Scenario::Split, &pauses);
            let what = format!("every {gap}, up to {longest} tenths of a second, seed {seed}: {counts:?}");
            assert!(agree, "{what}");
            // The bound of the lab's day.
            assert!(counts.iter().all(|(changes, _)| *changes <= 4), "{what}");
        }
    }
}

#[test]
fn a_pause_of_five_rounds_drops_no_unaffected_member() {
    for scenario in [Scenario::Healthy, Scenario::CannotReceive] {
        for target in [Target::Member(3), Target::AllMembers, Target::Network] {
            for at in [SECOND / 2, 18 * SECOND / 10, 7 * SECOND, 125 * SECOND / 10, 15 * SECOND] {
                for seed in 1..=3 {
                    let (counts, agree) = run_scenario(seed, scenario, &[(at, SECOND, target)]);
                    let what = format!("{scenario:?} {target:?} at {at}, seed {seed}: {counts:?}");
                    assert!(agree, "{what}");
                    let receiving =
                        counts.iter().take(if scenario == Scenario::CannotReceive { 8 } else { 9 });
                    assert!(receiving.clone().all(|(_, incarnations)| *incarnations == 0), "{what}");
                }
            }
        }
    }
}

#[test]
fn a_split_with_frequent_pauses_of_up_to_two_rounds_causes_few_view_changes() {
    for seed in 1..=20 {
        let (counts, agree) = run_scenario(
            seed,
            Scenario::Split,
            &random_pauses(seed, 3 * SECOND / 10, 4 * SECOND / 10, false),
        );
        assert!(agree && counts.iter().all(|(changes, _)| *changes <= 4), "seed {seed}: {counts:?}");
    }
}

#[test]
fn repeated_pauses_of_up_to_five_rounds_drop_no_unaffected_member() {
    for scenario in [Scenario::Healthy, Scenario::CannotReceive, Scenario::CannotSend] {
        for gap in [3, 10] {
            for seed in 1..=20 {
                let (counts, agree) =
                    run_scenario(seed, scenario, &random_pauses(seed, gap * SECOND / 10, SECOND, false));
                let kept = scenario.unaffected().iter().all(|&n| counts[n].1 == 0);
                assert!(agree && kept, "{scenario:?} every {gap} tenths, seed {seed}: {counts:?}");
            }
        }
    }
}

#[test]
fn a_member_that_cannot_receive_refutations_drops_no_other() {
    for seed in 1..=8 {
        // Member 3 resumes shortly before or after member 8 stops receiving: member 8 has the suspicion of member 3, but
        // not its refutation.
        let (counts, agree) =
            run_scenario(seed, Scenario::CannotReceive, &[(seed as i64 * 317, SECOND, Target::Member(3))]);
        assert!(
            agree && Scenario::CannotReceive.unaffected().iter().all(|&n| counts[n].1 == 0),
            "seed {seed}: {counts:?}"
        );
    }
}

#[test]
fn a_pause_of_five_and_a_half_rounds_drops_no_unaffected_member() {
    for scenario in [Scenario::Healthy, Scenario::CannotReceive, Scenario::CannotSend] {
        for step in 0..36 {
            for seed in 1..=8 {
                let at = step * SECOND / 2 + seed as i64 * 317 % (SECOND / 2);
                let (counts, agree) =
                    run_scenario(seed, scenario, &[(at, 11 * SECOND / 10, Target::Member(3))]);
                let kept = scenario.unaffected().iter().all(|&n| counts[n].1 == 0);
                assert!(agree && kept, "{scenario:?} at {at}, seed {seed}: {counts:?}");
            }
        }
    }
}

/// `RUNS=60 cargo test --release -p ravenspar-view --test fleet search_single_pauses -- --ignored --nocapture`
#[test]
#[ignore = "a long search that prints results"]
fn search_single_pauses() {
    for scenario in [Scenario::Healthy, Scenario::CannotReceive, Scenario::Split] {
        let (begin, end) = scenario.fault();
        for target in [Target::Member(3), Target::AllMembers, Target::Network] {
            for span in [8, 10, 11, 12, 13, 15, 20, 30] {
                for at in [begin, begin + SECOND, 7 * SECOND, end, end + 2 * SECOND] {
                    let one = |seed: u64| vec![(at + (seed as i64 * 97) % 2_000, span * SECOND / 10, target)];
                    search(format!("{target:?} for {span} tenths of a second from {at}"), scenario, &one);
                }
            }
        }
    }
}

/// `RUNS=60 cargo test --release -p ravenspar-view --test fleet search_random_pauses -- --ignored --nocapture`
#[test]
#[ignore = "a long search that prints results"]
fn search_random_pauses() {
    for scenario in [Scenario::Healthy, Scenario::CannotReceive, Scenario::CannotSend, Scenario::Split] {
        for (network, gap) in [(false, 3), (false, 10), (false, 30), (true, 3), (true, 10), (true, 30)] {
            for longest in [2, 3, 4, 6, 8, 10] {
                let all = |seed: u64| random_pauses(seed, gap * SECOND / 10, longest * SECOND / 10, network);
                search(
                    format!("network {network}, every {gap} tenths of a second up to {longest}"),
                    scenario,
                    &all,
                );
            }
        }
    }
}

/// Number of runs of a search: the environment variable `RUNS`, or the default.
fn runs(default: u64) -> u64 {
    std::env::var("RUNS").ok().and_then(|n| n.parse().ok()).unwrap_or(default)
}

/// Plays a scenario with pauses drawn from each seed, and prints how often members are dropped or views change too often.
fn search(what: String, scenario: Scenario, pauses: &dyn Fn(u64) -> Vec<Pause>) {
    let (runs, unaffected) = (runs(10), scenario.unaffected());
    let (mut with_drops, mut with_many_changes, mut without_agreement) = (0, 0, 0);
    let mut worst = std::collections::BTreeMap::<u64, u64>::new();
    for seed in 1..=runs {
        let (counts, agree) = run_scenario(seed, scenario, &pauses(seed));
        // A split drops the members of one side in any case.
        with_drops += u64::from(unaffected.iter().any(|&n| counts[n].1 > 0));
        let healthy = (0..9).filter(|n| unaffected.is_empty() || unaffected.contains(n));
        let most = healthy.map(|n| counts[n].0).max().unwrap_or(0);
        with_many_changes += u64::from(most > 4);
        *worst.entry(most).or_default() += 1;
        without_agreement += u64::from(!agree);
    }
    println!(
        "{scenario:?}, {what}: of {runs} runs {with_drops} with drops, {with_many_changes} with over 4 changes, \
         {without_agreement} without agreement; changes {worst:?}"
    );
}

/// `RUNS=20 cargo test --release -p ravenspar-view --test fleet search_phases -- --ignored --nocapture`
#[test]
#[ignore = "a long search that prints results"]
fn search_phases() {
    let runs = runs(3);
    for scenario in [Scenario::CannotReceive, Scenario::CannotSend, Scenario::Split] {
        for members in [vec![3], vec![3, 6]] {
            for span in [2, 5, 10, 12, 20, 30] {
                search_pause_length(scenario, &members, span * SECOND / 10, runs);
            }
        }
    }
}

/// Pauses these members together at each half second of a scenario, and prints how many members are dropped and how often
/// views change.
fn search_pause_length(scenario: Scenario, members: &[usize], span: i64, runs: u64) {
    let unaffected = scenario.unaffected();
    let (mut played, mut paused_drops, mut other_drops, mut without_agreement) = (0, 0, 0, 0);
    let mut changes = std::collections::BTreeMap::<u64, u64>::new();
    let mut phases = std::collections::BTreeSet::new();
    for step in 0..2 * (scenario.fault().1 / SECOND + 5) {
        for seed in 1..=runs {
            let at = step * SECOND / 2 + seed as i64 * 317 % (SECOND / 2);
            let pauses: Vec<Pause> = members.iter().map(|&n| (at, span, Target::Member(n))).collect();
            let (counts, agree) = run_scenario(seed, scenario, &pauses);
            let dropped = |n: &&usize| counts[**n].1 > 0;
            let was_paused = |n: &&usize| members.contains(n);
            paused_drops += unaffected.iter().filter(was_paused).filter(dropped).count();
            other_drops += unaffected.iter().filter(|n| !was_paused(n)).filter(dropped).count();
            played += 1;
            without_agreement += u64::from(!agree);
            let most = counts.iter().map(|(changes, _)| *changes).max().unwrap_or(0);
            *changes.entry(most).or_default() += 1;
            if most > 4 {
                phases.insert(step * 5);
            }
        }
    }
    println!(
        "{scenario:?}, {members:?} for {} ms: of {played} runs {paused_drops} drops of these members, {other_drops} of \
         others, {without_agreement} without agreement, most changes {changes:?}, over 4 at tenths {phases:?}",
        span / 10
    );
}

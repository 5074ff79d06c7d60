//! Members, and whatever carries their datagrams, that stand still for a moment at each phase of a day, in simulated time.
//! The days are those of the lab, `examples/days/view-one-way.yaml` and `view-split.yaml`.

use crate::common::{Fleet, SECOND};

/// What stands still.
#[derive(Clone, Copy, Debug)]
enum What {
    One(usize),
    All,
    /// Datagrams arrive when it goes on.
    Ways,
}

/// From when, how long and what.
type Stand = (i64, i64, What);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Day {
    Rest,
    /// The last of nine hears nobody for 12 s.
    Deaf,
    /// The last but one is heard by nobody for 12 s.
    Mute,
    /// Four and five apart for 20 s.
    Split,
}

impl Day {
    /// When the fault begins and ends.
    fn fault(self) -> (i64, i64) {
        (SECOND, if self == Day::Split { 21 * SECOND } else { 13 * SECOND })
    }

    /// Members that no fault of the day befalls; a split befalls all.
    fn untouched(self) -> Vec<usize> {
        (0..9).filter(|n| !matches!((self, n), (Day::Split, _) | (Day::Deaf, 8) | (Day::Mute, 7))).collect()
    }
}

/// Changes of view and further lives of each of nine, and whether they are one 10 s after the fault.
fn play(seed: u64, day: Day, stands: &[Stand]) -> (Vec<(u64, u64)>, bool) {
    let mut fleet = Fleet::new(seed, 9);
    // As in the lab's days.
    fleet.round = SECOND / 5;
    fleet.start_all();
    let all = fleet.live();
    assert!(fleet.until_agreed(&all, 30 * SECOND).is_some(), "{}", fleet.told());
    fleet.run(5 * SECOND);
    let figures = |fleet: &Fleet, n: usize| fleet.view(n).figures();
    let before: Vec<(u64, u64)> =
        all.iter().map(|&n| (figures(&fleet, n).changes, figures(&fleet, n).lives)).collect();
    let from = fleet.now;
    let (begin, end) = day.fault();
    let mut steps: Vec<(i64, Option<Stand>)> = stands.iter().map(|stand| (stand.0, Some(*stand))).collect();
    steps.extend([(begin, None), (end, None)]);
    steps.sort_by_key(|step| step.0);
    for (at, stand) in steps {
        fleet.run_until(from + at);
        match stand {
            None if at == end => fleet.heal(),
            None => match day {
                Day::Rest => {}
                Day::Deaf => fleet.cut.extend((0..8).map(|n| (n, 8))),
                Day::Mute => fleet.cut.extend((0..9).filter(|n| *n != 7).map(|n| (7, n))),
                Day::Split => fleet.split(&[0, 1, 2, 3]),
            },
            Some((_, span, What::One(n))) => fleet.nodes[n].stopped = fleet.now + span,
            Some((_, span, What::Ways)) => fleet.held = fleet.now + span,
            Some((_, span, What::All)) => {
                let until = fleet.now + span;
                fleet.nodes.iter_mut().for_each(|node| node.stopped = until);
            }
        }
    }
    fleet.run_until(from + end + 10 * SECOND);
    let now = all.iter().map(|&n| (figures(&fleet, n).changes, figures(&fleet, n).lives));
    let counts = now.zip(&before).map(|(now, then)| (now.0 - then.0, now.1 - then.1)).collect();
    (counts, fleet.agree(&all))
}

/// A busy machine: each member, and the ways where `ways` says so, runs for about `gap` and stands still for up to
/// `longest`, again and again.
fn hiccups(seed: u64, gap: i64, longest: i64, ways: bool) -> Vec<Stand> {
    let mut chance = fastrand::Rng::with_seed(seed);
    let mut all = Vec::new();
    let members = (0..9).map(What::One);
    for what in members.chain(ways.then_some(What::Ways)) {
        let mut at = chance.i64(gap / 2..gap * 3 / 2);
        while at <= 25 * SECOND {
            let span = chance.i64(SECOND / 20..=longest);
            all.push((at, span, what));
            at += span + chance.i64(gap / 2..gap * 3 / 2);
        }
    }
    all
}

#[test]
fn a_split_is_few_changes_where_members_stand_still_now_and_then() {
    // Each third of a second up to 0.3 s; each 3 s up to a second: less than the six rounds that cost a place.
    for (gap, longest) in [(3, 3), (30, 6), (30, 10)] {
        for seed in 1..=10 {
            let stands = hiccups(seed, gap * SECOND / 10, longest * SECOND / 10, false);
            let (counts, agree) = play(seed, Day::Split, &stands);
            let what = format!("every {gap}, up to {longest} tenths of a second, seed {seed}: {counts:?}");
            assert!(agree, "{what}");
            // What the lab's day allows.
            assert!(counts.iter().all(|(changes, _)| *changes <= 4), "{what}");
        }
    }
}

#[test]
fn one_that_stands_still_for_five_rounds_keeps_its_place_and_nobody_loses_one_by_it() {
    for day in [Day::Rest, Day::Deaf] {
        for what in [What::One(3), What::All, What::Ways] {
            for at in [SECOND / 2, 18 * SECOND / 10, 7 * SECOND, 125 * SECOND / 10, 15 * SECOND] {
                for seed in 1..=3 {
                    let (counts, agree) = play(seed, day, &[(at, SECOND, what)]);
                    let what = format!("{day:?} {what:?} at {at}, seed {seed}: {counts:?}");
                    assert!(agree, "{what}");
                    let others = counts.iter().take(if day == Day::Deaf { 8 } else { 9 });
                    assert!(others.clone().all(|(_, lives)| *lives == 0), "{what}");
                }
            }
        }
    }
}

#[test]
fn a_split_is_few_changes_where_members_stand_still_for_up_to_two_rounds_each_third_of_a_second() {
    for seed in 1..=20 {
        let (counts, agree) = play(seed, Day::Split, &hiccups(seed, 3 * SECOND / 10, 4 * SECOND / 10, false));
        assert!(agree && counts.iter().all(|(changes, _)| *changes <= 4), "seed {seed}: {counts:?}");
    }
}

#[test]
fn members_that_stand_still_for_up_to_five_rounds_again_and_again_keep_their_places() {
    for day in [Day::Rest, Day::Deaf, Day::Mute] {
        for gap in [3, 10] {
            for seed in 1..=20 {
                let (counts, agree) = play(seed, day, &hiccups(seed, gap * SECOND / 10, SECOND, false));
                let kept = day.untouched().iter().all(|&n| counts[n].1 == 0);
                assert!(agree && kept, "{day:?} every {gap} tenths, seed {seed}: {counts:?}");
            }
        }
    }
}

#[test]
fn one_that_hears_nobody_any_more_does_not_drop_whom_it_cannot_hear_answer() {
    for seed in 1..=8 {
        // Member 3 goes on before the last one hears nobody, or just after: the accusation is older, the answer is not heard.
        let (counts, agree) = play(seed, Day::Deaf, &[(seed as i64 * 317, SECOND, What::One(3))]);
        assert!(agree && Day::Deaf.untouched().iter().all(|&n| counts[n].1 == 0), "seed {seed}: {counts:?}");
    }
}

#[test]
fn one_that_stands_still_for_five_and_a_half_rounds_keeps_its_place() {
    for day in [Day::Rest, Day::Deaf, Day::Mute] {
        for step in 0..36 {
            for seed in 1..=8 {
                let at = step * SECOND / 2 + seed as i64 * 317 % (SECOND / 2);
                let (counts, agree) = play(seed, day, &[(at, 11 * SECOND / 10, What::One(3))]);
                let kept = day.untouched().iter().all(|&n| counts[n].1 == 0);
                assert!(agree && kept, "{day:?} at {at}, seed {seed}: {counts:?}");
            }
        }
    }
}

/// `RUNS=60 cargo test --release -p ravenspar-view --test fleet search_stands -- --ignored --nocapture`
#[test]
#[ignore = "a search"]
fn search_stands() {
    for day in [Day::Rest, Day::Deaf, Day::Split] {
        let (begin, end) = day.fault();
        for what in [What::One(3), What::All, What::Ways] {
            for span in [8, 10, 11, 12, 13, 15, 20, 30] {
                for at in [begin, begin + SECOND, 7 * SECOND, end, end + 2 * SECOND] {
                    let one = |seed: u64| vec![(at + (seed as i64 * 97) % 2_000, span * SECOND / 10, what)];
                    search(format!("{what:?} for {span} tenths from {at}"), day, &one);
                }
            }
        }
    }
}

/// `RUNS=60 cargo test --release -p ravenspar-view --test fleet search_hiccups -- --ignored --nocapture`
#[test]
#[ignore = "a search"]
fn search_hiccups() {
    for day in [Day::Rest, Day::Deaf, Day::Mute, Day::Split] {
        for (ways, gap) in [(false, 3), (false, 10), (false, 30), (true, 3), (true, 10), (true, 30)] {
            for longest in [2, 3, 4, 6, 8, 10] {
                let all = |seed: u64| hiccups(seed, gap * SECOND / 10, longest * SECOND / 10, ways);
                search(format!("ways {ways}, every {gap} tenths up to {longest}"), day, &all);
            }
        }
    }
}

/// How many of a search's plays; `RUNS` in the environment.
fn runs(or: u64) -> u64 {
    std::env::var("RUNS").ok().and_then(|n| n.parse().ok()).unwrap_or(or)
}

/// Plays a day with stands by the seed, and prints what it costs.
fn search(what: String, day: Day, stands: &dyn Fn(u64) -> Vec<Stand>) {
    let (runs, untouched) = (runs(10), day.untouched());
    let (mut lives, mut calm, mut one) = (0, 0, 0);
    let mut worst = std::collections::BTreeMap::<u64, u64>::new();
    for seed in 1..=runs {
        let (counts, agree) = play(seed, day, &stands(seed));
        // A split costs one side its lives.
        lives += u64::from(untouched.iter().any(|&n| counts[n].1 > 0));
        let well = (0..9).filter(|n| untouched.is_empty() || untouched.contains(n));
        let most = well.map(|n| counts[n].0).max().unwrap_or(0);
        calm += u64::from(most > 4);
        *worst.entry(most).or_default() += 1;
        one += u64::from(!agree);
    }
    println!(
        "{day:?}, {what}: of {runs} a place lost {lives}, over 4 changes {calm}, not one {one}; changes {worst:?}"
    );
}

/// `RUNS=20 cargo test --release -p ravenspar-view --test fleet search_phases -- --ignored --nocapture`
#[test]
#[ignore = "a search"]
fn search_phases() {
    let runs = runs(3);
    for day in [Day::Deaf, Day::Mute, Day::Split] {
        for members in [vec![3], vec![3, 6]] {
            for span in [2, 5, 10, 12, 20, 30] {
                search_of_a_length(day, &members, span * SECOND / 10, runs);
            }
        }
    }
}

/// Stops these members together for so long at each half second of a day, and prints what it costs.
fn search_of_a_length(day: Day, members: &[usize], span: i64, runs: u64) {
    let untouched = day.untouched();
    let (mut played, mut own, mut others, mut not_one) = (0, 0, 0, 0);
    let mut changes = std::collections::BTreeMap::<u64, u64>::new();
    let mut phases = std::collections::BTreeSet::new();
    for step in 0..2 * (day.fault().1 / SECOND + 5) {
        for seed in 1..=runs {
            let at = step * SECOND / 2 + seed as i64 * 317 % (SECOND / 2);
            let stands: Vec<Stand> = members.iter().map(|&n| (at, span, What::One(n))).collect();
            let (counts, agree) = play(seed, day, &stands);
            let dropped = |n: &&usize| counts[**n].1 > 0;
            let stood = |n: &&usize| members.contains(n);
            own += untouched.iter().filter(stood).filter(dropped).count();
            others += untouched.iter().filter(|n| !stood(n)).filter(dropped).count();
            played += 1;
            not_one += u64::from(!agree);
            let most = counts.iter().map(|(changes, _)| *changes).max().unwrap_or(0);
            *changes.entry(most).or_default() += 1;
            if most > 4 {
                phases.insert(step * 5);
            }
        }
    }
    println!(
        "{day:?}, {members:?} for {} ms: of {played} plays places lost by them {own}, by others {others}, \
         not one {not_one}, most changes {changes:?}, over 4 at tenths {phases:?}",
        span / 10
    );
}

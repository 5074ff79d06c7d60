//! Measures the protocol's traffic and convergence times in simulated time, for `docs/measurements.md`.
//!
//! `cargo test --release -p ravenspar-view --test fleet measure -- --ignored --nocapture`

use crate::common::{Fleet, SECOND};

fn settled(seed: u64, members: usize) -> Option<(Fleet, i64)> {
    let mut fleet = Fleet::new(seed, members);
    fleet.start_all();
    let all = fleet.live();
    let took = fleet.until_agreed(&all, 120 * SECOND)?;
    fleet.run(10 * SECOND);
    Some((fleet, took))
}

/// Prints a table row with percentiles.
fn print_row(what: &str, members: usize, mut times: Vec<i64>) {
    times.sort_unstable();
    let percentile = |percent: usize| times[(times.len() - 1) * percent / 100] as f64 / SECOND as f64;
    println!(
        "| {what} | {members} | {} | {:.2} | {:.2} | {:.2} |",
        times.len(),
        percentile(50),
        percentile(99),
        percentile(100)
    );
}

#[test]
#[ignore = "prints measurements"]
fn measure_times() {
    println!("| what | members | runs | median, s | 99th | worst |");
    for (members, runs) in [(3, 200), (5, 200), (9, 200), (25, 100), (100, 20), (1_000, 1)] {
        let (mut starts, mut joins, mut crashes, mut heals) = (vec![], vec![], vec![], vec![]);
        for seed in 0..runs {
            let (mut fleet, took) = settled(seed, members).expect("the fleet settles");
            starts.push(took);
            let late = fleet.add();
            fleet.start(late);
            let all = fleet.live();
            joins.push(fleet.until_agreed(&all, 60 * SECOND).expect("the fleet agrees after a join"));
            fleet.run(5 * SECOND);
            fleet.crash(late);
            let left = fleet.live();
            crashes.push(fleet.until_agreed(&left, 60 * SECOND).expect("the fleet agrees after a crash"));
            if members > 100 {
                continue;
            }
            let side: Vec<usize> = (0..members / 2).collect();
            fleet.split(&side);
            fleet.run(20 * SECOND);
            fleet.heal();
            heals.push(fleet.until_agreed(&left, 120 * SECOND).expect("the fleet agrees after a split"));
        }
        print_row("start to one view", members, starts);
        print_row("join to one view", members, joins);
        print_row("crash to one view without it", members, crashes);
        if !heals.is_empty() {
            print_row("heal to one view", members, heals);
        }
    }
}

#[test]
#[ignore = "prints measurements"]
fn measure_wrong_drops_and_cost() {
    println!("| loss | member-hours | healthy members dropped | datagrams, bytes a second and member |");
    for loss in [0.0, 0.05, 0.2, 0.4] {
        let (mut drops, mut hours, mut sent, mut bytes, mut seconds) = (0, 0.0, 0, 0, 0);
        for seed in 0..100 {
            let (mut fleet, _) = settled(seed, 9).expect("the fleet settles");
            fleet.loss = loss;
            let incarnations = |fleet: &Fleet| {
                fleet.live().iter().map(|&n| fleet.view(n).metrics().incarnations).sum::<u64>()
            };
            let before =
                (incarnations(&fleet), fleet.sent.iter().sum::<u64>(), fleet.bytes.iter().sum::<u64>());
            fleet.run(4_000 * SECOND);
            drops += incarnations(&fleet) - before.0;
            sent += fleet.sent.iter().sum::<u64>() - before.1;
            bytes += fleet.bytes.iter().sum::<u64>() - before.2;
            seconds += 9 * 4_000;
            hours += 9.0 * 4_000.0 / 3_600.0;
        }
        println!(
            "| {loss} | {hours} | {drops} | {:.1}, {:.0} |",
            sent as f64 / seconds as f64,
            bytes as f64 / seconds as f64
        );
    }
}

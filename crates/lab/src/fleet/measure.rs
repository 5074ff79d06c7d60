//! Measures the view on real processes of the program and prints Markdown tables.

use std::rc::Rc;
use std::time::Duration;

use ravenspar::print_line;
use tokio::time::sleep;

use super::day::{Bounds, FleetDay, FleetSettings};
use super::play::Fleet;
use crate::day::Span;
use crate::links::Endpoint;
use crate::measure::format_quantiles;
use crate::processes::Process;
use crate::stage::LabError;

/// Seconds without changes over which the idle load is measured.
const IDLE_S: u64 = 20;

/// Measures, for each number of stewards: the time from a crash until all others have dropped the member, from a join and from
/// the end of a split until the view has settled, and the idle load.
pub async fn measure(counts: &[usize], rounds: usize) -> Result<(), LabError> {
    print_line(format_args!(
        "Rounds of 300 ms, {rounds} times each; s as median / 99th / worst. Crash: for each of the others. Join: of a process that \
         is restarted, including its start. Heal: after a split into halves for 12 s.\n"
    ));
    print_line("| stewards | poll interval, ms | crash noticed | join settled | heal settled | idle datagrams/s per steward | bytes/s | CPU |");
    print_line("| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for &count in counts {
        let dir = tempfile::tempdir()?;
        let day = FleetDay {
            about: String::new(),
            seed: 1,
            fleet: FleetSettings {
                stewards: count,
                round: Span(3_000),
                seeds: vec![0],
                dead_seeds: 0,
                started_later: Vec::new(),
                loss: 0.0,
                disabled: Vec::new(),
            },
            faults: Vec::new(),
            judge: Bounds::default(),
        };
        let fleet = Fleet::open(day, dir.path()).await?;
        // A query of the view costs a datagram for each member in both directions.
        let poll_interval = Duration::from_millis(if count > 9 { 250 } else { 50 });
        fleet.poll_interval.set(Some(poll_interval));
        let all: Vec<usize> = (0..count).collect();
        for &n in &all {
            fleet.start(n).await?;
        }
        converged(&fleet, &all).await?;
        fleet.poll_interval.set(None);
        sleep(Duration::from_secs(2)).await;
        let before = (sent(&fleet), cpu_seconds(&fleet));
        sleep(Duration::from_secs(IDLE_S)).await;
        let after = (sent(&fleet), cpu_seconds(&fleet));
        fleet.poll_interval.set(Some(poll_interval));
        let each = (IDLE_S as usize * count) as f64;
        let load = (
            (after.0 .0 - before.0 .0) as f64 / each,
            (after.0 .1 - before.0 .1) as f64 / each,
            (after.1 - before.1) / each,
        );
        let (mut crashes, mut joins, mut heals) = (Vec::new(), Vec::new(), Vec::new());
        for round in 0..rounds {
            let gone = round % count;
            let others: Vec<usize> = all.iter().copied().filter(|n| *n != gone).collect();
            let from = fleet.datagrams.now();
            fleet.crash(gone).await;
            converged(&fleet, &others).await?;
            crashes.extend(others.iter().map(|&n| seconds_until_dropped(&fleet, n, gone, from)));
            let from = fleet.datagrams.now();
            fleet.start(gone).await?;
            converged(&fleet, &all).await?;
            joins.push(seconds(fleet.datagrams.now() - from));
            let (side, rest) = all.split_at(count / 2);
            let apart = || {
                let pair = |a: usize| rest.iter().map(move |&b| (Endpoint::Steward(a), Endpoint::Steward(b)));
                side.iter().flat_map(move |&a| pair(a))
            };
            fleet.links.change_both_directions(apart(), |link| link.cut += 1);
            sleep(Duration::from_secs(12)).await;
            let from = fleet.datagrams.now();
            fleet.links.change_both_directions(apart(), |link| link.cut -= 1);
            converged(&fleet, &all).await?;
            heals.push(seconds(fleet.datagrams.now() - from));
        }
        print_line(format_args!(
            "| {count} | {} | {} | {} | {} | {:.1} | {:.0} | {:.2}% |",
            poll_interval.as_millis(),
            format_quantiles(crashes, 1),
            format_quantiles(joins, 1),
            format_quantiles(heals, 1),
            load.0,
            load.1,
            load.2 * 100.0
        ));
    }
    Ok(())
}

/// Waits until these members have converged, by samples taken from now on.
async fn converged(fleet: &Rc<Fleet>, members: &[usize]) -> Result<(), LabError> {
    // Earlier samples don't count.
    sleep(fleet.poll_interval.get().unwrap_or_default() * 2).await;
    match fleet.wait_until_converged(members).await {
        true => Ok(()),
        false => Err(LabError::Failed(format!("{members:?} did not converge"))),
    }
}

fn seconds(ms: u64) -> f64 {
    ms as f64 / 1e3
}

/// Seconds from a time until steward `by` no longer showed `gone` in its view.
fn seconds_until_dropped(fleet: &Fleet, by: usize, gone: usize, from: u64) -> f64 {
    let name = format!("steward-{gone}");
    let samples = fleet.samples.borrow();
    let mut seen = samples.iter().filter(|sample| sample.steward == by && sample.at >= from);
    seconds(seen.find(|sample| !sample.shown.contains_key(&name)).map_or(u64::MAX, |sample| sample.at) - from)
}

/// Datagrams and bytes sent so far.
fn sent(fleet: &Fleet) -> (usize, usize) {
    let Some(log) = &fleet.datagrams.log else { return (0, 0) };
    let log = log.borrow();
    (log.len(), log.iter().map(|datagram| datagram.bytes).sum())
}

/// CPU seconds that all processes have used so far.
fn cpu_seconds(fleet: &Fleet) -> f64 {
    fleet.processes.borrow().iter().flatten().map(Process::cpu_seconds).sum()
}

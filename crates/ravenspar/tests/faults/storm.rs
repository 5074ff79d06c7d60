//! Storms: random faults of all kinds from a seed, several at a time, while servers drain two to five at a
//! time. After a storm every drain that was notified is ordered, every slice has a server, and the process
//! exits in order.
//!
//! CI plays a few seeds. `RAVENSPAR_STORMS=100..300 cargo test -p ravenspar --test faults storm` plays
//! others, a line each, and leaves each steward's log in `target/tmp`; `RAVENSPAR_STORM_LOG=trace` logs every
//! message.

use std::io::Write;
use std::ops::Range;
use std::path::PathBuf;
use std::time::Duration;

use fastrand::Rng;
use ravenspar_standin::platform::{Discovery, Fault, Relay};
use serde_json::{json, Value};
use tokio::time::{sleep, timeout, Instant};

use crate::harness::*;
use crate::schedule::schedule;
use crate::Faulty;

const SLICES: u64 = 60;
const PROXIES: u64 = 40;
const SERVERS: [&str; 8] = ["A", "B", "C", "D", "E", "F", "G", "H"];

/// How long faults are injected, and how long one lasts, in milliseconds.
const STORM_LENGTH: Duration = Duration::from_secs(10);
const FAULT_MS: Range<u64> = 50..1_500;

/// The longest that a slice may stay at a draining server, during the storm too: the longest fault, two
/// silent subscriptions to notice, and the time that the channel needs.
const MAX_DRAIN: Duration = Duration::from_secs(7);

/// Time from the end of a storm until all is ordered: 2.35 s to notice a silent subscription, two heartbeats,
/// a second of calls and of messages that keep apart; doubled, for a busy machine.
const ORDER_TIMEOUT: Duration = Duration::from_secs(10);

fn settings(config: &mut Value) {
    let family = &mut config["settings"]["family_info"];
    for (name, value) in [
        ("ranges", json!(SLICES)),
        ("proxy_count", json!(PROXIES)),
        ("write_lease_s", json!(1.0)),
        ("pending_max", json!(70 * PROXIES)),
        ("channel_rate", json!(35 * PROXIES)),
        ("transit_max_s", json!(0.5)),
        ("pushes_allowed", json!(20)),
        ("update_window_s", json!(10.0)),
    ] {
        family[name] = value;
    }
}

/// Injects one random fault, for its time.
async fn inject_fault(relay: &Relay, discovery: &Discovery, steward: &Steward, rng: &mut Rng) {
    let span = Duration::from_millis(rng.u64(FAULT_MS));
    let calls = [
        Fault::Lost,
        Fault::Unanswered,
        Fault::Broken,
        Fault::Torn,
        Fault::Reset,
        Fault::ByteByByte,
        Fault::Malformed,
        Fault::Throttled,
        Fault::Duplicated,
    ];
    match rng.u8(0..16) {
        0 => relay.cut(),
        1 => {
            relay.with(|state| state.silent_subscriptions = true);
            relay.cut();
            sleep(span).await;
            relay.with(|state| state.silent_subscriptions = false);
            // A subscription that fell silent never receives the missed notifications.
            relay.cut();
        }
        2 => {
            let faults: Vec<Fault> =
                (0..rng.usize(1..12)).map(|_| calls[rng.usize(0..calls.len())]).collect();
            relay.inject(&faults);
        }
        3 => {
            // Answers given while the subscription is broken.
            relay.with(|state| state.ignores_marks = true);
            sleep(span).await;
            relay.with(|state| state.ignores_marks = false);
            relay.cut();
        }
        4 => {
            let first = rng.u64(0..PROXIES);
            let proxies = first..(first + rng.u64(1..20)).min(PROXIES);
            proxies.clone().for_each(|proxy| relay.with(|state| state.leave(proxy)));
            sleep(span).await;
            proxies.for_each(|proxy| relay.with(|state| state.join(proxy)));
        }
        5 => {
            for _ in 0..rng.u64(1..20) {
                let slice = rng.u64(0..SLICES);
                let row = relay.with(|state| state.unassign_slice(slice));
                sleep(Duration::from_millis(rng.u64(0..30))).await;
                relay.with(|state| state.assign_slice(slice, row));
            }
        }
        6 => {
            steward.signal("-STOP").await;
            sleep(span).await;
            steward.signal("-CONT").await;
        }
        7 => steward.signal("-HUP").await,
        _ => {
            for _ in 0..rng.usize(2..6) {
                let lifecycle = if rng.u8(0..3) == 0 { "active" } else { "leaving" };
                // The last two never drain, so that slices have somewhere to go.
                discovery.set(SERVERS[rng.usize(0..SERVERS.len() - 2)], lifecycle);
            }
        }
    }
}

/// Writes the steward's log to a file.
fn keep_log(steward: &mut Steward, seed: u64) {
    let mut log = steward.take_log();
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("storm-{seed}.log"));
    tokio::spawn(async move {
        let mut file = std::fs::File::create(path).expect("the log file is created");
        while let Ok(Some(line)) = log.next_line().await {
            writeln!(file, "{line}").expect("the line is written");
        }
    });
}

/// Tracks how long each slice stays at a draining server until `over` is set, and returns the longest time.
async fn longest_drain(relay: &Relay, discovery: &Discovery, over: &std::cell::Cell<bool>) -> Duration {
    let mut since = std::collections::BTreeMap::new();
    let mut longest = Duration::ZERO;
    while !over.get() {
        let leaving = discovery.leaving();
        let drain_due: Vec<(u64, String)> = relay.with(|state| {
            let owner =
                |(slice, row): (&u64, &Option<(String, f64)>)| Some((*slice, row.as_ref()?.0.clone()));
            // Before the first subscription no drain is due.
            let has_subscribed = state.subscriptions > 0;
            state
                .rows
                .iter()
                .filter_map(owner)
                .filter(|(_, owner)| has_subscribed && leaving.contains(owner))
                .collect()
        });
        let now = Instant::now();
        since.retain(|known, _| drain_due.contains(known));
        for slice in drain_due {
            let started = *since.entry(slice).or_insert(now);
            longest = longest.max(now - started);
        }
        sleep(Duration::from_millis(20)).await;
    }
    longest
}

/// Plays a storm. Returns the longest that a slice stayed at a draining server, or which condition was not
/// met.
async fn play(seed: u64) -> Result<Duration, String> {
    let mut rng = Rng::with_seed(seed);
    let relay = Relay::start(SLICES, "A", PROXIES).await.map_err(|e| e.to_string())?;
    let discovery = Discovery::start(&SERVERS).await.map_err(|e| e.to_string())?;
    relay.with(|state| {
        for (slice, row) in state.rows.iter_mut() {
            *row = Some((SERVERS[*slice as usize % SERVERS.len()].to_owned(), 1.0));
        }
    });
    let mut faulty =
        Faulty::start_with(relay, discovery, &schedule(&mut rng, STORM_LENGTH, FAULT_MS), settings).await;
    keep_log(&mut faulty.steward, seed);
    let over = std::cell::Cell::new(false);
    let storm = async {
        let end = Instant::now() + STORM_LENGTH;
        while Instant::now() < end {
            inject_fault(&faulty.relay, &faulty.discovery, &faulty.steward, &mut rng).await;
            sleep(Duration::from_millis(rng.u64(0..300))).await;
        }
        over.set(true);
    };
    let ((), drain_due) = tokio::join!(storm, longest_drain(&faulty.relay, &faulty.discovery, &over));
    if drain_due > MAX_DRAIN {
        return Err(format!("a drain was due for {drain_due:?}"));
    }
    let draining: Vec<String> = faulty.discovery.leaving();
    let none_at_draining = |state: &ravenspar_standin::platform::RelayState| {
        let fits =
            |row: &Option<(String, f64)>| row.as_ref().is_none_or(|(owner, _)| !draining.contains(owner));
        state.rows.values().all(fits)
    };
    if timeout(ORDER_TIMEOUT, faulty.relay.until(none_at_draining)).await.is_err() {
        return Err(format!("drains of {draining:?} are not done"));
    }
    let served = |state: &ravenspar_standin::platform::RelayState| {
        let serves = |row: &Option<(String, f64)>| row.as_ref().is_some_and(|(_, weight)| *weight >= 1.0);
        state.rows.values().all(serves) && none_at_draining(state)
    };
    if timeout(TEST_TIMEOUT, faulty.relay.until(served)).await.is_err() {
        return Err("slices are without a server".to_owned());
    }
    let (moved, late) = faulty.relay.with(|state| (state.moved_directly.clone(), state.late_calls));
    if !moved.is_empty() {
        return Err(format!("slices moved with no revoke between, {late} calls too late: {moved:?}"));
    }
    faulty.steward.signal("-TERM").await;
    match faulty.steward.wait_exit().await.code() {
        Some(0) => Ok(drain_due),
        code => Err(format!("the process exited with {code:?}")),
    }
}

fn seeds() -> Range<u64> {
    let given = std::env::var("RAVENSPAR_STORMS").ok();
    let given = given.as_deref().and_then(|given| given.split_once(".."));
    let given = given.and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    given.unwrap_or(12..18)
}

#[tokio::test]
async fn after_a_storm_of_faults_every_drain_is_ordered_and_every_slice_served() {
    tokio::task::LocalSet::new().run_until(storms()).await;
}

async fn storms() {
    /// Storms played in parallel.
    const PARALLEL: usize = 6;
    let mut failed = Vec::new();
    let all: Vec<u64> = seeds().collect();
    for group in all.chunks(PARALLEL) {
        let mut storms = tokio::task::JoinSet::new();
        group.iter().for_each(|&seed| _ = storms.spawn_local(async move { (seed, play(seed).await) }));
        while let Some(ended) = storms.join_next().await {
            let (seed, ended) = ended.expect("a storm is played");
            match &ended {
                Ok(drain_due) => {
                    println!("storm {seed}: passed, drains due for {} ms at most", drain_due.as_millis())
                }
                Err(why) => println!("storm {seed}: {why}"),
            }
            failed.extend(ended.err().map(|why| (seed, why)));
        }
    }
    assert!(failed.is_empty(), "{failed:?}");
}

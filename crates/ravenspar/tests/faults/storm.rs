//! Storms: faults of all kinds at random from a seed, several at a time, while servers drain two to five at a time. Once a
//! storm is over every drain that was told is ordered, every slice finds a server, and the process ends as it should.
//!
//! CI plays a few seeds. `RAVENSPAR_STORMS=100..300 cargo test -p ravenspar --test faults storm` plays others, a line each, and
//! leaves each steward's log in `target/tmp`; `RAVENSPAR_STORM_LOG=trace` has every message in it.

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

/// How long faults go on, and how long they last at most.
const LENGTH: Duration = Duration::from_secs(10);
const FAULT: Range<u64> = 50..1_500;

/// The longest that a slice may stand at a server that drains, in the storm too: the longest fault, two silent subscriptions
/// to notice, and what the channel asks for.
const OWED: Duration = Duration::from_secs(7);

/// From the end of a storm until all is ordered: 2.35 s to notice a silent subscription, two signs of life, a second of calls
/// and of messages that keep apart; and as long again, for a machine that is busy.
const ORDERED: Duration = Duration::from_secs(10);

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

/// One fault, for its time.
async fn befall(relay: &Relay, discovery: &Discovery, steward: &Steward, chance: &mut Rng) {
    let span = Duration::from_millis(chance.u64(FAULT));
    let calls = [
        Fault::Lost,
        Fault::Unanswered,
        Fault::Broken,
        Fault::Torn,
        Fault::Reset,
        Fault::Dripped,
        Fault::Spoilt,
        Fault::Throttled,
        Fault::Twice,
    ];
    match chance.u8(0..16) {
        0 => relay.cut(),
        1 => {
            relay.with(|said| said.silent_news = true);
            relay.cut();
            sleep(span).await;
            relay.with(|said| said.silent_news = false);
            // What was silent is never told anything again.
            relay.cut();
        }
        2 => {
            let some: Vec<Fault> =
                (0..chance.usize(1..12)).map(|_| calls[chance.usize(0..calls.len())]).collect();
            relay.befall(&some);
        }
        3 => {
            // Answers given in a gap.
            relay.with(|said| said.mute = true);
            sleep(span).await;
            relay.with(|said| said.mute = false);
            relay.cut();
        }
        4 => {
            let first = chance.u64(0..PROXIES);
            let some = first..(first + chance.u64(1..20)).min(PROXIES);
            some.clone().for_each(|proxy| relay.with(|said| said.leave(proxy)));
            sleep(span).await;
            some.for_each(|proxy| relay.with(|said| said.join(proxy)));
        }
        5 => {
            for _ in 0..chance.u64(1..20) {
                let slice = chance.u64(0..SLICES);
                let row = relay.with(|said| said.take_slice(slice));
                sleep(Duration::from_millis(chance.u64(0..30))).await;
                relay.with(|said| said.give_slice(slice, row));
            }
        }
        6 => {
            steward.signal("-STOP").await;
            sleep(span).await;
            steward.signal("-CONT").await;
        }
        7 => steward.signal("-HUP").await,
        _ => {
            for _ in 0..chance.usize(2..6) {
                let state = if chance.u8(0..3) == 0 { "active" } else { "leaving" };
                // The last two stay, so that there is always somewhere to go.
                discovery.set(SERVERS[chance.usize(0..SERVERS.len() - 2)], state);
            }
        }
    }
}

/// Writes the steward's log to a file.
fn keep_log(steward: &mut Steward, seed: u64) {
    let mut log = steward.take_log();
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("storm-{seed}.log"));
    tokio::spawn(async move {
        let mut file = std::fs::File::create(path).expect("a file");
        while let Ok(Some(line)) = log.next_line().await {
            writeln!(file, "{line}").expect("written");
        }
    });
}

/// Follows how long each slice stands at a server that drains, and returns the longest time so far once it is asked to end.
async fn longest_owed(relay: &Relay, discovery: &Discovery, over: &std::cell::Cell<bool>) -> Duration {
    let mut since = std::collections::BTreeMap::new();
    let mut longest = Duration::ZERO;
    while !over.get() {
        let leaving = discovery.leaving();
        let owed: Vec<(u64, String)> = relay.with(|said| {
            let owner =
                |(slice, row): (&u64, &Option<(String, f64)>)| Some((*slice, row.as_ref()?.0.clone()));
            // Before it was told of any slice it owes nothing.
            let told = said.subscriptions > 0;
            said.rows.iter().filter_map(owner).filter(|(_, owner)| told && leaving.contains(owner)).collect()
        });
        let now = Instant::now();
        since.retain(|owed_before, _| owed.contains(owed_before));
        for slice in owed {
            let began = *since.entry(slice).or_insert(now);
            longest = longest.max(now - began);
        }
        sleep(Duration::from_millis(20)).await;
    }
    longest
}

/// Plays a storm; returns the longest that a slice stood at a server that drains, or what it did not come to.
async fn play(seed: u64) -> Result<Duration, String> {
    let mut chance = Rng::with_seed(seed);
    let relay = Relay::start(SLICES, "A", PROXIES).await.map_err(|e| e.to_string())?;
    let discovery = Discovery::start(&SERVERS).await.map_err(|e| e.to_string())?;
    relay.with(|said| {
        for (slice, row) in said.rows.iter_mut() {
            *row = Some((SERVERS[*slice as usize % SERVERS.len()].to_owned(), 1.0));
        }
    });
    let mut faulty =
        Faulty::start_with(relay, discovery, &schedule(&mut chance, LENGTH, FAULT), settings).await;
    keep_log(&mut faulty.steward, seed);
    let over = std::cell::Cell::new(false);
    let storm = async {
        let end = Instant::now() + LENGTH;
        while Instant::now() < end {
            befall(&faulty.relay, &faulty.discovery, &faulty.steward, &mut chance).await;
            sleep(Duration::from_millis(chance.u64(0..300))).await;
        }
        over.set(true);
    };
    let ((), owed) = tokio::join!(storm, longest_owed(&faulty.relay, &faulty.discovery, &over));
    if owed > OWED {
        return Err(format!("a drain was owed for {owed:?}"));
    }
    let draining: Vec<String> = faulty.discovery.leaving();
    let stands_well = |said: &ravenspar_standin::platform::Said| {
        let fits =
            |row: &Option<(String, f64)>| row.as_ref().is_none_or(|(owner, _)| !draining.contains(owner));
        said.rows.values().all(fits)
    };
    if timeout(ORDERED, faulty.relay.until(stands_well)).await.is_err() {
        return Err(format!("drains of {draining:?} are owed"));
    }
    let served = |said: &ravenspar_standin::platform::Said| {
        let serves = |row: &Option<(String, f64)>| row.as_ref().is_some_and(|(_, weight)| *weight >= 1.0);
        said.rows.values().all(serves) && stands_well(said)
    };
    if timeout(PATIENCE, faulty.relay.until(served)).await.is_err() {
        return Err("slices are without a server".to_owned());
    }
    let (moved, late) = faulty.relay.with(|said| (said.moved_directly.clone(), said.calls_too_late));
    if !moved.is_empty() {
        return Err(format!("slices moved with no revoke between, {late} calls too late: {moved:?}"));
    }
    faulty.steward.signal("-TERM").await;
    match faulty.steward.ended().await.code() {
        Some(0) => Ok(owed),
        code => Err(format!("it ended with {code:?}")),
    }
}

fn seeds() -> Range<u64> {
    let asked = std::env::var("RAVENSPAR_STORMS").ok();
    let asked = asked.as_deref().and_then(|asked| asked.split_once(".."));
    let asked = asked.and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    asked.unwrap_or(12..18)
}

#[tokio::test]
async fn a_storm_of_faults_ends_with_every_drain_ordered_and_every_slice_served() {
    tokio::task::LocalSet::new().run_until(storms()).await;
}

async fn storms() {
    /// Storms beside each other.
    const AT_ONCE: usize = 6;
    let mut failed = Vec::new();
    let all: Vec<u64> = seeds().collect();
    for some in all.chunks(AT_ONCE) {
        let mut storms = tokio::task::JoinSet::new();
        some.iter().for_each(|&seed| _ = storms.spawn_local(async move { (seed, play(seed).await) }));
        while let Some(ended) = storms.join_next().await {
            let (seed, ended) = ended.expect("a storm is played");
            match &ended {
                Ok(owed) => {
                    println!("storm {seed}: all kept, drains owed for {} ms at most", owed.as_millis())
                }
                Err(why) => println!("storm {seed}: {why}"),
            }
            failed.extend(ended.err().map(|why| (seed, why)));
        }
    }
    assert!(failed.is_empty(), "{failed:?}");
}

//! Cases about leases: how long a forwarder may write that no steward can reach.

use std::collections::BTreeMap;

use ravenspar_standin::clients::{Kind, Load};
use ravenspar_standin::{Event, SECOND};

use crate::gate::Gate;
use crate::stage::{Settings, Stage, FORWARDERS};
use crate::{Place, Unplayed, Verdict};

const SLICES: u64 = 20;

/// Settings of fortaleza-plans but for the lease.
fn settings(lease: &'static str) -> Settings {
    Settings {
        list: "{path: servers.yaml}".to_owned(),
        slices: SLICES,
        lease,
        settle: "1300ms",
        grace: "3s",
        quote: "response_target: 1s, client_timeout: 3s",
        commit: "response_target: 800ms, client_timeout: 1200ms",
    }
}

fn load() -> Load {
    let kind = |share, client_timeout, replayable| Kind { share, work: 0.15, client_timeout, replayable };
    Load {
        rate: 80.0,
        kinds: vec![kind(0.53, 3 * SECOND, true), kind(0.47, 12 * SECOND / 10, false)],
        keys: SLICES,
        skew: 0.0,
        retries: 1,
        retry_after: SECOND / 4,
        seed: 5,
    }
}

/// Returns what breaks the rule of the single owner, by what the servers have read.
fn two_owners(events: &[Event]) -> Vec<String> {
    let mut found = Vec::new();
    // By slice: the servers that took writes, in the order of their first ones, and the writes in hand.
    let mut owners: BTreeMap<u64, Vec<String>> = BTreeMap::new();
    let mut in_hand: BTreeMap<u64, BTreeMap<(u64, u64), String>> = BTreeMap::new();
    for event in events {
        match event {
            Event::Accepted { server, req, attempt, slice, writes: true, forwarder, .. } => {
                let (owners, in_hand) =
                    (owners.entry(*slice).or_default(), in_hand.entry(*slice).or_default());
                if let Some(other) = in_hand.values().find(|other| *other != server) {
                    found.push(format!(
                        "slice {slice}: {server} takes write {req} of forwarder {forwarder} while {other} has one in hand"
                    ));
                }
                if owners.last() != Some(server) {
                    if owners.contains(server) {
                        let last = owners.last().cloned().unwrap_or_default();
                        found.push(format!(
                            "slice {slice}: {server}, a former owner, takes write {req} of forwarder {forwarder} after {last} took one"
                        ));
                    } else {
                        owners.push(server.clone());
                    }
                }
                in_hand.insert((*req, *attempt), server.clone());
            }
            Event::Ended { req, attempt, slice, writes: true, .. } => {
                in_hand.entry(*slice).or_default().remove(&(*req, *attempt));
            }
            _ => {}
        }
    }
    found
}

/// A planned restart with a shorter lease, while one forwarder reaches no steward and goes on by the longer one.
pub async fn change(place: &Place) -> Result<Verdict, Unplayed> {
    let mut stage = Stage::new(place, 4, load()).await?;
    stage.write_list(&["ready"; 4])?;
    stage.write_settings(&settings("6s"))?;
    stage.start_steward().await?;
    let mut gate = Gate::start(stage.address).await?;
    let mut stewards = [stage.address; FORWARDERS];
    stewards[FORWARDERS - 1] = gate.address;
    stage.start_forwarders(&stewards).await?;
    stage.warm_up(SLICES).await?;
    stage.send_load(25);
    stage.wait(30).await;
    stage.note("forwarder 3 reaches no steward from here on");
    gate.down();
    stage.wait(2).await;
    if place.trouble {
        stage.write_settings(&settings("1500ms"))?;
        stage.note("the settings have a lease of 1500ms instead of 6s");
    }
    stage.end_steward().await?;
    stage.write_list(&["draining", "ready", "ready", "ready"])?;
    stage.note("plan-0 drains, as in any deploy");
    stage.wait(3).await;
    stage.start_steward().await?;
    stage.wait(75).await;
    gate.up().await?;
    stage.note("forwarder 3 reaches the steward again");
    stage.wait(100).await;
    let found = two_owners(&stage.events()?);
    found.iter().for_each(|what| stage.note(what.clone()));
    stage.write_record()?;
    Ok(match found.first() {
        None => Verdict::Held,
        Some(first) => Verdict::Broken(format!("{} writes at two servers, the first: {first}", found.len())),
    })
}

//! Drains that are owed while news or calls are in trouble: each is ordered as soon as the store can be reached.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use ravenspar_standin::platform::{Discovery, Fault, Relay, Said};
use serde_json::json;

use crate::harness::*;

fn revoked(said: &Said, slice: u64) -> bool {
    said.orders.iter().any(|order| order["verb"] == "clear" && order["cluster"] == slice)
}

#[tokio::test]
async fn answers_that_a_gap_swallowed_do_not_fill_the_channel_for_good() {
    let relay = Relay::start(20, "A", 2).await.expect("a relay");
    let discovery = Discovery::start(&["A", "B"]).await.expect("discovery");
    let mut config = config(&relay, &discovery);
    config["settings"]["family_info"]["ranges"] = json!(20);
    // A revoke of all slices, 12 lines of head and the mark nearly fill it at both proxies.
    config["settings"]["family_info"]["pending_max"] = json!(80.0);
    // Nothing is forgotten for being old.
    config["settings"]["family_info"]["update_window_s"] = json!(3_600.0);
    let mut steward = Steward::start(&config).await;
    // A list that is heard in the middle of what stands has one revoke for some slices and another for the rest, which finds no
    // room while nobody answers.
    steward.logged("all that stands is told").await;
    // The proxies answer, and the news break off before anything of that is told.
    relay.with(|said| said.mute = true);
    discovery.set("A", "leaving");
    until(&relay, |said| (0..20).all(|slice| revoked(said, slice))).await;
    relay.cut();
    relay.with(|said| said.mute = false);
    until(&relay, |said| all_at(said, "B")).await;
    relay.with(|said| kept_the_way(said));
}

#[tokio::test]
async fn a_slice_that_is_taken_and_given_back_again_and_again_stops_no_other() {
    let (relay, discovery, _, mut steward) = at_work().await;
    let (relay, over) = (Arc::new(relay), Arc::new(AtomicBool::new(false)));
    let flapping = tokio::spawn({
        let (relay, over) = (relay.clone(), over.clone());
        async move {
            while !over.load(Ordering::Relaxed) {
                let row = relay.with(|said| said.take_slice(0));
                relay.with(|said| said.give_slice(0, row));
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    });
    for (from, to) in [("A", "B"), ("B", "A"), ("A", "B")] {
        discovery.set(to, "active");
        discovery.set(from, "leaving");
        until(&relay, |said| {
            said.rows.get(&1).is_some_and(|row| row.as_ref().is_some_and(|row| row.0 == to))
        })
        .await;
    }
    over.store(true, Ordering::Relaxed);
    flapping.await.expect("it ends");
    until(&relay, |said| all_at(said, "B")).await;
    assert_eq!(
        relay.with(|said| said.subscriptions),
        1,
        "what is unclear of one slice costs no subscription"
    );
    assert_eq!(steward.ended_with("news have broken off").await, 0);
}

#[tokio::test]
async fn a_revoke_that_was_lost_is_written_again_while_there_are_no_news() {
    let (relay, discovery, _, _steward) = at_work().await;
    relay.with(|said| said.silent_news = true);
    relay.befall(&[Fault::Lost, Fault::Lost]);
    discovery.set("A", "leaving");
    until(&relay, |said| said.calls == 1).await;
    relay.cut();
    until(&relay, |said| (0..2).all(|slice| revoked(said, slice))).await;
    assert_eq!(relay.with(|said| said.subscriptions), 1, "nobody has heard anything since");
    relay.with(|said| said.silent_news = false);
    until(&relay, |said| all_at(said, "B")).await;
    relay.with(|said| kept_the_way(said));
}

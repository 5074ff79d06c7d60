//! Drains that are due while notifications or calls fail: each is ordered as soon as the store can be
//! reached.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use ravenspar_standin::platform::{Discovery, Fault, Relay, RelayState};
use serde_json::json;

use crate::harness::*;

fn is_revoked(state: &RelayState, slice: u64) -> bool {
    state.orders.iter().any(|order| order["verb"] == "clear" && order["cluster"] == slice)
}

#[tokio::test]
async fn answers_lost_between_subscriptions_do_not_fill_the_channel_for_good() {
    let relay = Relay::start(20, "A", 2).await.expect("a relay");
    let discovery = Discovery::start(&["A", "B"]).await.expect("discovery");
    let mut config = config(&relay, &discovery);
    config["settings"]["family_info"]["ranges"] = json!(20);
    // A revoke of all slices, 12 lines of overhead and the mark nearly fill the channel of both proxies.
    config["settings"]["family_info"]["pending_max"] = json!(80.0);
    // Nothing expires by its age.
    config["settings"]["family_info"]["update_window_s"] = json!(3_600.0);
    let mut steward = Steward::start(&config).await;
    // A list received during the snapshot would split the revoke in two, and the second part would find no
    // capacity while no proxy answers.
    steward.wait_for_log("all that stands is told").await;
    // The proxies answer, and the subscription breaks off before any answer is reported.
    relay.with(|state| state.ignores_marks = true);
    discovery.set("A", "leaving");
    wait_until(&relay, |state| (0..20).all(|slice| is_revoked(state, slice))).await;
    relay.cut();
    relay.with(|state| state.ignores_marks = false);
    wait_until(&relay, |state| all_slices_at(state, "B")).await;
    relay.with(|state| assert_moves_revoke_first(state));
}

#[tokio::test]
async fn a_slice_handed_over_again_and_again_blocks_no_other() {
    let (relay, discovery, _, mut steward) = start_serving().await;
    let (relay, over) = (Arc::new(relay), Arc::new(AtomicBool::new(false)));
    let flapping = tokio::spawn({
        let (relay, over) = (relay.clone(), over.clone());
        async move {
            while !over.load(Ordering::Relaxed) {
                let row = relay.with(|state| state.unassign_slice(0));
                relay.with(|state| state.assign_slice(0, row));
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    });
    for (from, to) in [("A", "B"), ("B", "A"), ("A", "B")] {
        discovery.set(to, "active");
        discovery.set(from, "leaving");
        wait_until(&relay, |state| {
            state.rows.get(&1).is_some_and(|row| row.as_ref().is_some_and(|row| row.0 == to))
        })
        .await;
    }
    over.store(true, Ordering::Relaxed);
    flapping.await.expect("the task ends");
    wait_until(&relay, |state| all_slices_at(state, "B")).await;
    assert_eq!(relay.with(|state| state.subscriptions), 1, "one unclear slice ends no subscription");
    assert_eq!(steward.terminate_and_count_log("news have broken off").await, 0);
}

#[tokio::test]
async fn a_lost_revoke_is_sent_again_while_no_notifications_arrive() {
    let (relay, discovery, _, _steward) = start_serving().await;
    relay.with(|state| state.silent_subscriptions = true);
    relay.inject(&[Fault::Lost, Fault::Lost]);
    discovery.set("A", "leaving");
    wait_until(&relay, |state| state.calls == 1).await;
    relay.cut();
    wait_until(&relay, |state| (0..2).all(|slice| is_revoked(state, slice))).await;
    assert_eq!(relay.with(|state| state.subscriptions), 1, "no notification arrived meanwhile");
    relay.with(|state| state.silent_subscriptions = false);
    wait_until(&relay, |state| all_slices_at(state, "B")).await;
    relay.with(|state| assert_moves_revoke_first(state));
}

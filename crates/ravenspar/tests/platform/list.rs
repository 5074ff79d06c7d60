//! Host lists that are cut off, stop changing, or restart their version numbers.

use std::time::Duration;

use ravenspar_standin::pieces::PieceRelay;
use ravenspar_standin::platform::{Discovery, ListFault, Relay};
use serde_json::json;

use crate::harness::*;

#[tokio::test]
async fn a_watch_that_reports_no_changes_does_not_block_a_drain_for_good() {
    let (relay, discovery, _, _steward) = start_serving().await;
    let calls = discovery.calls();
    discovery.freeze();
    discovery.set("A", "leaving");
    wait_until(&relay, |state| all_slices_at(state, "B")).await;
    assert!(discovery.calls() > calls + 5, "the watch continued");
}

/// Guards against answers that are cut off in the middle: from the first list on each one takes longer than discovery may
/// hold a query, and makes progress.
#[tokio::test]
async fn a_drain_is_followed_though_all_answers_come_in_pieces() {
    let relay = Relay::start(2, "A", 2).await.expect("a relay");
    let discovery = Discovery::start(&["A", "B"]).await.expect("discovery");
    let pieces = PieceRelay::start(discovery.address).expect("a relay of bytes");
    pieces.deliver_in_pieces(40, Duration::from_millis(300));
    let mut config = config(&relay, &discovery);
    config["discovery"] = json!(pieces.address.to_string());
    let _steward = Steward::start(&config).await;
    wait_until(&relay, |state| state.subscriptions == 1).await;
    move_all_slices(&relay, &discovery, "A", "B").await;
    move_all_slices(&relay, &discovery, "B", "A").await;
}

#[tokio::test]
async fn lists_that_are_cut_off_are_requested_again() {
    let (relay, discovery, _, _steward) = start_serving().await;
    use ListFault::{Broken, Malformed, Short, Silent};
    discovery.inject(&[Broken, Short, Malformed, Silent, Broken, Broken, Broken, Broken, Short]);
    move_all_slices(&relay, &discovery, "A", "B").await;
    move_all_slices(&relay, &discovery, "B", "A").await;
}

#[tokio::test]
async fn an_unreadable_entry_affects_only_its_own_host() {
    let (relay, discovery, _, mut steward) = start_serving().await;
    discovery.set("C", "of another version");
    assert!(steward.wait_for_log("a list that can't be used").await.contains("lifecycle"));
    move_all_slices(&relay, &discovery, "A", "B").await;
}

#[tokio::test]
async fn a_discovery_that_renumbers_its_versions_is_followed() {
    let (relay, discovery, mut config, mut steward) = start_serving().await;
    discovery.reset_version(40);
    move_all_slices(&relay, &discovery, "A", "B").await;
    let new_discovery = Discovery::start(&["A", "B"]).await.expect("discovery");
    config["discovery"] = json!(new_discovery.address.to_string());
    std::fs::write(&steward.config, config.to_string()).expect("written");
    steward.signal("-HUP").await;
    assert!(steward.wait_for_log("older than the one held").await.contains("version 1 "));
    move_all_slices(&relay, &new_discovery, "B", "A").await;
}

//! Hosts that left the list while the steward was away.

use std::time::Duration;

use ravenspar_standin::pieces::PieceRelay;
use ravenspar_standin::platform::{host, Discovery, Relay, RelayState};
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::time::{sleep, timeout};

use crate::harness::*;

/// Returns true if every slice has an owner other than the removed host.
fn is_served_elsewhere(state: &RelayState) -> bool {
    state.rows.values().all(|row| row.as_ref().is_some_and(|(owner, _)| owner != "removed"))
}

/// Guards against requests to a removed host: the store names it after the whole list without it has come, the host still
/// works, and no other list follows.
#[tokio::test]
async fn a_host_removed_during_a_restart_is_left_though_its_line_comes_after_the_list() {
    const WORKS: &str =
        r#"{"msg":"LOAD","site":"a","target":"removed","count":100,"fail":0,"mean":5.0,"over":500.0}"#;
    let relay = Relay::start(2, "removed", 2).await.expect("a relay");
    relay.with(|state| state.silent_subscriptions = true);
    let discovery = Discovery::start(&["A", "B"]).await.expect("discovery");
    let steward = Steward::start(&config(&relay, &discovery)).await;
    // A second call shows that the answer to the first was accepted.
    timeout(TEST_TIMEOUT, discovery.wait_for_calls(2)).await.expect("a watch in time");
    discovery.stop_answering();
    relay.with(|state| state.silent_subscriptions = false);
    let mut collector = steward.connect().await;
    collector.write_all(&frame(r#"{"msg":"SOURCE","site":"a"}"#)).await.expect("the collector joins");
    let reports = async {
        loop {
            collector.write_all(&frame(WORKS)).await.expect("the reports are sent");
            sleep(Duration::from_millis(100)).await;
        }
    };
    tokio::select! {
        () = wait_until(&relay, |state| state.rows.values().flatten().all(|(owner, _)| owner != "removed")) => {}
        () = reports => {}
    }
    wait_until(&relay, is_served_elsewhere).await;
    relay.with(|state| assert_moves_revoke_first(state));
}

/// Guards against a removal that waits for the whole list at a start: this list takes longer than the test may, the changes
/// since the stored list do not.
#[tokio::test]
async fn a_host_removed_during_a_restart_is_left_though_the_whole_list_comes_slowly() {
    let relay = Relay::start(2, "removed", 2).await.expect("a relay");
    let names: Vec<String> = (0..1_000).map(|number| format!("host-{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let discovery = Discovery::start(&names).await.expect("discovery");
    discovery.set("removed", "active");
    let stored = [host("removed", "active"), host("host-0", "active"), host("host-1", "active")];
    discovery.set("removed", "left");
    let pieces = PieceRelay::start(discovery.address).expect("a relay of bytes");
    pieces.deliver_in_pieces(100, Duration::from_millis(50));
    let mut config = config(&relay, &discovery);
    config["discovery"] = json!(pieces.address.to_string());
    config["known"] = json!({"generation": 2, "reset": true, "instances": stored});
    let _steward = Steward::start(&config).await;
    wait_until(&relay, is_served_elsewhere).await;
    relay.with(|state| assert_moves_revoke_first(state));
}

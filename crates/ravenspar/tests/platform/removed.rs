//! Hosts that left the list while the steward was away.

use std::time::Duration;

use ravenspar_standin::platform::{Discovery, Relay};
use tokio::io::AsyncWriteExt;
use tokio::time::{sleep, timeout};

use crate::harness::*;

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
    let is_served = |state: &ravenspar_standin::platform::RelayState| {
        state.rows.values().all(|row| row.as_ref().is_some_and(|(owner, _)| owner != "removed"))
    };
    wait_until(&relay, is_served).await;
    relay.with(|state| assert_moves_revoke_first(state));
}

//! Moves complete despite faults of calls and notifications.

use ravenspar_standin::platform::{Discovery, Fault, Relay};

use crate::harness::*;

#[tokio::test]
async fn a_drain_moves_all_slices_despite_faults_of_calls_and_notifications() {
    let relay = Relay::start(2, "A", 2).await.expect("a relay");
    let discovery = Discovery::start(&["A", "B"]).await.expect("discovery");
    let mut steward = Steward::start(&config(&relay, &discovery)).await;
    assert!(answers_ping(&mut steward.connect().await).await);
    wait_until(&relay, |state| state.subscriptions == 1).await;
    use Fault::{Broken, Lost, Malformed, Throttled, Unanswered};
    relay.inject(&[Throttled, Unanswered, Lost, Broken, Malformed, Throttled, Lost]);
    discovery.set("A", "leaving");
    wait_until(&relay, |state| state.orders.iter().any(|order| order["verb"] == "clear")).await;
    relay.cut();
    wait_until(&relay, |state| all_slices_at(state, "B")).await;
    relay.with(|state| assert_moves_revoke_first(state));
    // And back, with the answers to the first mark lost while the subscription is broken.
    discovery.set("A", "active");
    relay.with(|state| state.ignores_marks = true);
    let calls = relay.with(|state| state.calls);
    discovery.set("B", "leaving");
    wait_until(&relay, |state| state.calls > calls).await;
    relay.with(|state| state.ignores_marks = false);
    relay.cut();
    wait_until(&relay, |state| all_slices_at(state, "A")).await;
    relay.with(|state| assert_moves_revoke_first(state));
    steward.signal("-TERM").await;
    assert_eq!(steward.wait_exit().await.code(), Some(0));
}

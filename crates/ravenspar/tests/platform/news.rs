//! Subscriptions that break off at different points of the initial snapshot.

use crate::harness::*;

#[tokio::test]
async fn a_line_cut_off_by_the_close_does_not_end_the_next_subscription() {
    let (relay, discovery, _, mut steward) = start_serving().await;
    relay.cut();
    wait_until(&relay, |state| state.subscriptions == 2).await;
    move_all_slices(&relay, &discovery, "A", "B").await;
    assert_eq!(relay.with(|state| state.subscriptions), 2);
    assert_eq!(steward.terminate_and_count_log("news have broken off").await, 1, "once");
}

#[tokio::test]
async fn an_unusable_notification_does_not_end_the_next_subscription() {
    let (relay, discovery, _, mut steward) = start_serving().await;
    relay.with(|state| (0..3).for_each(|_| state.notify_subscribers("{}".to_owned())));
    wait_until(&relay, |state| state.subscriptions == 2).await;
    move_all_slices(&relay, &discovery, "A", "B").await;
    assert_eq!(relay.with(|state| state.subscriptions), 2);
    assert_eq!(steward.terminate_and_count_log("news have broken off").await, 1, "once");
}

#[tokio::test]
async fn a_slice_whose_line_was_cut_off_is_not_granted_as_if_it_had_none() {
    let relay = ravenspar_standin::platform::Relay::start(2, "B", 2).await.expect("a relay");
    let discovery = ravenspar_standin::platform::Discovery::start(&["A", "B"]).await.expect("discovery");
    // The answer, two proxies and the first slice are sent; the slice's line never is, for several leases.
    relay.with(|state| state.cut_after = Some(4));
    let _steward = Steward::start(&config(&relay, &discovery)).await;
    wait_until(&relay, |state| state.subscriptions > 20).await;
    let shares = relay.with(|state| state.orders.iter().filter(|order| order["verb"] == "share").count());
    assert_eq!(shares, 0, "slices that may be at B were granted");
    relay.with(|state| state.cut_after = None);
    move_all_slices(&relay, &discovery, "B", "A").await;
}

//! News that break off, at each place where something is still to be told.

use crate::harness::*;

#[tokio::test]
async fn a_line_cut_off_by_the_close_does_not_end_the_next_subscription() {
    let (relay, discovery, _, mut steward) = at_work().await;
    relay.cut();
    until(&relay, |said| said.subscriptions == 2).await;
    moves(&relay, &discovery, "A", "B").await;
    assert_eq!(relay.with(|said| said.subscriptions), 2);
    assert_eq!(steward.ended_with("news have broken off").await, 1, "once");
}

#[tokio::test]
async fn what_is_said_of_one_subscription_does_not_end_the_next() {
    let (relay, discovery, _, mut steward) = at_work().await;
    relay.with(|said| (0..3).for_each(|_| said.tell("{}".to_owned())));
    until(&relay, |said| said.subscriptions == 2).await;
    moves(&relay, &discovery, "A", "B").await;
    assert_eq!(relay.with(|said| said.subscriptions), 2);
    assert_eq!(steward.ended_with("news have broken off").await, 1, "once");
}

#[tokio::test]
async fn a_slice_whose_line_was_cut_off_is_not_granted_as_an_empty_one() {
    let relay = ravenspar_standin::platform::Relay::start(2, "B", 2).await.expect("a relay");
    let discovery = ravenspar_standin::platform::Discovery::start(&["A", "B"]).await.expect("discovery");
    // The answer, two proxies, the first slice; its line never comes, for several leases.
    relay.with(|said| said.cut_after = Some(4));
    let _steward = Steward::start(&config(&relay, &discovery)).await;
    until(&relay, |said| said.subscriptions > 20).await;
    let shares = relay.with(|said| said.orders.iter().filter(|order| order["verb"] == "share").count());
    assert_eq!(shares, 0, "it is B's, for all that is known");
    relay.with(|said| said.cut_after = None);
    moves(&relay, &discovery, "B", "A").await;
}

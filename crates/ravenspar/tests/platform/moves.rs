//! Moves, whatever befalls calls and news.

use ravenspar_standin::platform::{Discovery, Fault, Relay};

use crate::harness::*;

#[tokio::test]
async fn a_drain_moves_all_slices_whatever_befalls_the_calls_and_the_news() {
    let relay = Relay::start(2, "A", 2).await.expect("a relay");
    let discovery = Discovery::start(&["A", "B"]).await.expect("discovery");
    let mut steward = Steward::start(&config(&relay, &discovery)).await;
    assert!(alive(&mut steward.connect().await).await);
    until(&relay, |said| said.subscriptions == 1).await;
    use Fault::{Broken, Lost, Spoilt, Throttled, Unanswered};
    relay.befall(&[Throttled, Unanswered, Lost, Broken, Spoilt, Throttled, Lost]);
    discovery.set("A", "leaving");
    until(&relay, |said| said.orders.iter().any(|order| order["verb"] == "clear")).await;
    relay.cut();
    until(&relay, |said| all_at(said, "B")).await;
    relay.with(|said| kept_the_way(said));
    // And back, with the answers to the first mark lost in a gap.
    discovery.set("A", "active");
    relay.with(|said| said.mute = true);
    let calls = relay.with(|said| said.calls);
    discovery.set("B", "leaving");
    until(&relay, |said| said.calls > calls).await;
    relay.with(|said| said.mute = false);
    relay.cut();
    until(&relay, |said| all_at(said, "A")).await;
    relay.with(|said| kept_the_way(said));
    steward.signal("-TERM").await;
    assert_eq!(steward.ended().await.code(), Some(0));
}

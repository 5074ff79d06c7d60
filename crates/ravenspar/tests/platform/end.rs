//! What is owed at the end of the process.

use ravenspar_standin::platform::Fault;

use tokio::io::AsyncWriteExt;

use crate::harness::*;

#[tokio::test]
async fn what_was_decided_is_carried_out_before_the_end() {
    let (relay, discovery, _, mut steward) = at_work().await;
    // The revoke is not carried out, and no answer comes.
    relay.befall(&[Fault::Lost]);
    discovery.set("A", "leaving");
    until(&relay, |said| said.calls == 1).await;
    steward.signal("-TERM").await;
    assert_eq!(steward.ended().await.code(), Some(0));
    let revoked = relay.with(|said| said.rows.values().all(Option::is_none));
    assert!(revoked, "{:?}", relay.with(|said| said.orders.clone()));
}

#[tokio::test]
async fn a_relay_that_never_answers_holds_no_end_up_and_nor_does_a_second_signal() {
    for signals in [1, 2] {
        let (relay, discovery, _, mut steward) = at_work().await;
        relay.befall(&[Fault::Lost; 100]);
        discovery.set("A", "leaving");
        until(&relay, |said| said.calls == 1).await;
        let asked = std::time::Instant::now();
        for _ in 0..signals {
            steward.signal("-TERM").await;
        }
        assert_eq!(steward.ended().await.code(), Some(0));
        let left = relay.with(|said| said.calls);
        assert!(left < 50, "{left} calls in {:?}", asked.elapsed());
    }
}

#[tokio::test]
async fn a_steward_that_starts_again_in_the_middle_of_a_move_ends_it_by_the_store_alone() {
    let (relay, discovery, config, mut steward) = at_work().await;
    relay.with(|said| said.mute = true);
    discovery.set("A", "leaving");
    until(&relay, |said| said.rows.values().all(Option::is_none)).await;
    steward.signal("-TERM").await;
    assert_eq!(steward.ended().await.code(), Some(0));
    relay.with(|said| said.mute = false);
    let mut again = Steward::start(&config).await;
    assert!(alive(&mut again.connect().await).await);
    until(&relay, |said| all_at(said, "B")).await;
    relay.with(|said| kept_the_way(said));
    again.signal("-KILL").await;
    assert_eq!(again.ended().await.code(), None);
}

#[tokio::test]
async fn it_is_ready_without_relay_and_discovery_and_ends_as_readily() {
    let (relay, discovery, config, first) = at_work().await;
    // Both are gone: their addresses take nothing.
    drop((relay, discovery, first));
    let mut steward = Steward::start(&config).await;
    assert!(alive(&mut steward.connect().await).await);
    steward.signal("-TERM").await;
    assert_eq!(steward.ended().await.code(), Some(0));
}

#[tokio::test]
async fn parties_in_the_middle_of_a_frame_hold_no_end_up_and_are_closed() {
    let (_relay, _discovery, _, mut steward) = at_work().await;
    let source = frame(r#"{"msg":"SOURCE","site":"a"}"#);
    let (mut collector, mut stranger) = (steward.connect().await, steward.connect().await);
    collector.write_all(&source).await.expect("taken in");
    assert!(alive(&mut collector).await);
    // Answered in order, so that the half behind it is read by then.
    let half = [&frame(r#"{"msg":"PING"}"#)[..], &frame(r#"{"msg":"LOAD","site":"a"}"#)[..9]].concat();
    collector.write_all(&half).await.expect("taken in");
    assert_eq!(heard(&mut collector).await.as_deref(), Some(r#"{"msg":"PONG"}"#));
    stranger.write_all(&source[..5]).await.expect("taken in");
    steward.signal("-TERM").await;
    assert_eq!(steward.ended().await.code(), Some(0));
    assert!(closed(&mut collector).await && closed(&mut stranger).await);
}

//! Shutdown: what is decided or read before SIGTERM is still carried out and answered.

use ravenspar_standin::platform::{Discovery, Fault, Relay};

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::harness::*;

#[tokio::test]
async fn decided_calls_are_carried_out_before_exit() {
    let (relay, discovery, _, mut steward) = start_serving().await;
    // The revoke is lost: not carried out and not answered.
    relay.inject(&[Fault::Lost]);
    discovery.set("A", "leaving");
    wait_until(&relay, |state| state.calls == 1).await;
    steward.signal("-TERM").await;
    assert_eq!(steward.wait_exit().await.code(), Some(0));
    let revoked = relay.with(|state| state.rows.values().all(Option::is_none));
    assert!(revoked, "{:?}", relay.with(|state| state.orders.clone()));
}

#[tokio::test]
async fn a_relay_that_never_answers_and_a_second_signal_do_not_delay_exit() {
    for signals in [1, 2] {
        let (relay, discovery, _, mut steward) = start_serving().await;
        relay.inject(&[Fault::Lost; 100]);
        discovery.set("A", "leaving");
        wait_until(&relay, |state| state.calls == 1).await;
        let signalled_at = std::time::Instant::now();
        for _ in 0..signals {
            steward.signal("-TERM").await;
        }
        assert_eq!(steward.wait_exit().await.code(), Some(0));
        let calls = relay.with(|state| state.calls);
        assert!(calls < 50, "{calls} calls in {:?}", signalled_at.elapsed());
    }
}

#[tokio::test]
async fn a_steward_restarted_during_a_move_completes_it_from_the_store() {
    let (relay, discovery, config, mut steward) = start_serving().await;
    relay.with(|state| state.ignores_marks = true);
    discovery.set("A", "leaving");
    wait_until(&relay, |state| state.rows.values().all(Option::is_none)).await;
    steward.signal("-TERM").await;
    assert_eq!(steward.wait_exit().await.code(), Some(0));
    relay.with(|state| state.ignores_marks = false);
    let mut restarted = Steward::start(&config).await;
    assert!(answers_ping(&mut restarted.connect().await).await);
    wait_until(&relay, |state| all_slices_at(state, "B")).await;
    relay.with(|state| assert_moves_revoke_first(state));
    restarted.signal("-KILL").await;
    assert_eq!(restarted.wait_exit().await.code(), None);
}

#[tokio::test]
async fn it_starts_and_exits_without_relay_and_discovery() {
    let (relay, discovery, config, first) = start_serving().await;
    // Both are gone: nothing listens at their addresses.
    drop((relay, discovery, first));
    let mut steward = Steward::start(&config).await;
    assert!(answers_ping(&mut steward.connect().await).await);
    steward.signal("-TERM").await;
    assert_eq!(steward.wait_exit().await.code(), Some(0));
}

/// Its address is in use at first, as by a process that was just killed.
#[tokio::test]
async fn a_signal_while_the_start_is_retried_is_not_lost() {
    let relay = Relay::start(2, "A", 2).await.expect("a relay");
    let discovery = Discovery::start(&["A", "B"]).await.expect("discovery");
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("an address");
    let mut config = config(&relay, &discovery);
    config["listen"] = taken.local_addr().expect("an address").to_string().into();
    discovery.set("A", "leaving");
    let mut steward = Steward::spawn(&config, "", &[]);
    steward.wait_for_log("the start is tried again").await;
    steward.signal("-TERM").await;
    drop(taken);
    assert_eq!(steward.wait_exit().await.code(), Some(0));
    assert_eq!(relay.with(|state| state.calls), 0, "no call was due");
}

#[tokio::test]
async fn peers_in_the_middle_of_a_frame_do_not_delay_exit_and_are_closed() {
    let (_relay, _discovery, _, mut steward) = start_serving().await;
    let source = frame(r#"{"msg":"SOURCE","site":"a"}"#);
    let (mut collector, mut unidentified) = (steward.connect().await, steward.connect().await);
    collector.write_all(&source).await.expect("the message is sent");
    assert!(answers_ping(&mut collector).await);
    // Answers come in order: after the pong the partial frame behind the ping has been read.
    let ping_and_partial_frame =
        [&frame(r#"{"msg":"PING"}"#)[..], &frame(r#"{"msg":"LOAD","site":"a"}"#)[..9]].concat();
    collector.write_all(&ping_and_partial_frame).await.expect("the message is sent");
    assert_eq!(read_frame(&mut collector).await.as_deref(), Some(r#"{"msg":"PONG"}"#));
    unidentified.write_all(&source[..5]).await.expect("the message is sent");
    steward.signal("-TERM").await;
    assert_eq!(steward.wait_exit().await.code(), Some(0));
    assert!(closes(&mut collector).await && closes(&mut unidentified).await);
}

/// Sends bursts of pings until the connection ends.
async fn ping_until_the_end(mut peer: TcpStream, burst: usize) -> ConnectionEnd {
    let pings = frame(r#"{"msg":"PING"}"#).repeat(burst);
    loop {
        if peer.write_all(&pings).await.is_err() {
            return ConnectionEnd::NothingLost;
        }
        if let Err(end) = read_pongs(&mut peer, burst).await {
            return end;
        }
    }
}

/// Guards against lost pings of a collector that joins as the process ends: they were read with its greeting,
/// and lost on the way from one task to another (soak 5040).
#[tokio::test]
async fn pings_sent_with_a_greeting_during_shutdown_are_answered() {
    for round in 0..10 {
        let (_relay, _discovery, _, mut steward) = start_serving().await;
        let address = steward.address.clone();
        let mut peers = tokio::task::JoinSet::new();
        for _ in 0..120 {
            let address = address.clone();
            peers.spawn(async move {
                let source = frame(r#"{"msg":"SOURCE","site":"a"}"#);
                loop {
                    let Ok(mut peer) = TcpStream::connect(&address).await else {
                        return ConnectionEnd::NothingLost;
                    };
                    if peer.write_all(&[&source[..], &frame(r#"{"msg":"PING"}"#)].concat()).await.is_err() {
                        return ConnectionEnd::NothingLost;
                    }
                    let ended = read_pongs(&mut peer, 1).await;
                    if ended != Ok(()) {
                        return ended.err().unwrap_or(ConnectionEnd::NothingLost);
                    }
                }
            });
        }
        tokio::time::sleep(std::time::Duration::from_millis(20 + 3 * round)).await;
        steward.signal("-TERM").await;
        assert_eq!(steward.wait_exit().await.code(), Some(0));
        let ends = peers.join_all().await;
        assert!(ends.iter().all(|end| *end == ConnectionEnd::NothingLost), "round {round}: {ends:?}");
    }
}

/// Guards against lost pings on connections that stay open: the process ended while its tasks had requests
/// that were read and not answered.
#[tokio::test]
async fn pings_read_before_shutdown_are_answered() {
    for round in 0..6 {
        let (_relay, _discovery, _, mut steward) = start_serving().await;
        let mut peers = tokio::task::JoinSet::new();
        for n in 0..24 {
            let mut peer = steward.connect().await;
            if n % 2 == 0 {
                peer.write_all(&frame(r#"{"msg":"SOURCE","site":"a"}"#)).await.expect("the message is sent");
            }
            assert!(answers_ping(&mut peer).await);
            peers.spawn(ping_until_the_end(peer, 1 + n * 20));
        }
        tokio::time::sleep(std::time::Duration::from_millis(20 + 7 * round)).await;
        steward.signal("-TERM").await;
        assert_eq!(steward.wait_exit().await.code(), Some(0));
        let ends = peers.join_all().await;
        assert!(ends.iter().all(|end| *end == ConnectionEnd::NothingLost), "round {round}: {ends:?}");
    }
}

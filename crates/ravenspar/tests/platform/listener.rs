//! Unidentified peers and collectors at the steward's own address.

use std::time::Duration;

use ravenspar_standin::platform::{Discovery, Relay};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

use crate::harness::*;

#[tokio::test]
async fn unidentified_peers_are_rejected_and_a_collector_is_accepted() {
    let relay = Relay::start(2, "A", 2).await.expect("a relay");
    let discovery = Discovery::start(&["A", "B"]).await.expect("discovery");
    let steward = Steward::start(&config(&relay, &discovery)).await;
    for bytes in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        b"\xff\xff\xff\xff",
        b"\x00\x00\x00\x00",
        b"\x10\x00\x00\x00{\"ms",
        &frame(r#"{"msg":"SOURCE","site":"nowhere"}"#),
        &frame(r#"{"msg":"SUBSCRIBE","id":1,"site":"a","rps":1,"new":true}"#),
        &frame(r#"{"msg":"LOAD","site":"a","target":"A","count":1,"fail":0,"mean":1,"over":500}"#),
        b"",
    ] {
        let mut peer = steward.connect().await;
        // The connection may be closed before everything is written.
        let _ = peer.write_all(bytes).await;
        assert!(closes(&mut peer).await, "{bytes:?}");
    }
    let mut endless = steward.connect().await;
    let endless_writes = async { while endless.write_all(&[b'x'; 4096]).await.is_ok() {} };
    timeout(TEST_TIMEOUT, endless_writes).await.expect("the connection is closed");
    let mut collector = steward.connect().await;
    // One byte at a time, then several messages at once.
    for byte in frame(r#"{"msg":"SOURCE","site":"b"}"#) {
        collector.write_all(&[byte]).await.expect("the message is sent");
    }
    let bad_reports =
        [frame(r#"{"msg":"LOAD","site":"a"}"#), frame(r#"{"msg":"SHARD","range":-1}"#), frame("{}")];
    collector.write_all(&bad_reports.concat()).await.expect("the message is sent");
    assert!(answers_ping(&mut collector).await, "a bad report doesn't end the connection");
    collector.write_all(&frame("no JSON")).await.expect("the message is sent");
    assert!(closes(&mut collector).await, "an unreadable message ends the connection");
}

#[tokio::test]
async fn hundreds_of_unidentified_peers_leave_descriptors_for_collectors_relay_and_discovery() {
    let relay = Relay::start(2, "A", 2).await.expect("a relay");
    let discovery = Discovery::start(&["A", "B"]).await.expect("discovery");
    let steward = Steward::start(&config(&relay, &discovery)).await;
    let mut unidentified = Vec::new();
    for n in 0..600 {
        let mut peer = steward.connect().await;
        if n % 2 == 0 {
            let _ = peer.write_all(b"\x10\x00\x00\x00{").await;
        }
        unidentified.push(peer);
    }
    let mut collector = steward.connect().await;
    collector.write_all(&frame(r#"{"msg":"SOURCE","site":"a"}"#)).await.expect("the message is sent");
    assert!(answers_ping(&mut collector).await);
    wait_until(&relay, |state| state.subscriptions == 1).await;
    relay.cut();
    wait_until(&relay, |state| state.subscriptions == 2).await;
    discovery.set("A", "leaving");
    wait_until(&relay, |state| all_slices_at(state, "B")).await;
    for peer in &mut unidentified {
        assert!(closes(peer).await);
    }
    assert!(answers_ping(&mut collector).await);
}

#[tokio::test]
async fn peers_that_only_claim_a_zone_do_not_push_out_its_collector() {
    let (_relay, _discovery, _, steward) = start_serving().await;
    let source = frame(r#"{"msg":"SOURCE","site":"a"}"#);
    let mut collector = steward.connect().await;
    collector.write_all(&source).await.expect("the message is sent");
    let mut claims = Vec::new();
    for n in 0..12 {
        // The collector has reported since the last claim, and the claim is known to be accepted before the
        // next.
        let load = r#"{"msg":"LOAD","site":"a","target":"A","count":1,"fail":0,"mean":1,"over":500}"#;
        collector.write_all(&frame(load)).await.expect("the message is sent");
        assert!(answers_ping(&mut collector).await, "after {n} claims");
        let mut claim = steward.connect().await;
        claim.write_all(&source).await.expect("the message is sent");
        assert!(answers_ping(&mut claim).await);
        claims.push(claim);
    }
    assert!(closes(&mut claims[0]).await, "the oldest idle claim is closed");
}

#[tokio::test]
async fn the_nack_reaches_a_peer_that_sent_more_than_was_read() {
    let (_relay, _discovery, _, steward) = start_serving().await;
    for _ in 0..20 {
        let mut peer = steward.connect().await;
        let bytes = [frame("nonsense"), vec![b'x'; 200_000]].concat();
        let _ = peer.write_all(&bytes).await;
        assert_eq!(read_frame(&mut peer).await.as_deref(), Some(r#"{"msg":"NACK"}"#));
        assert_eq!(peer.read(&mut [0; 16]).await.expect("an end and no reset"), 0);
    }
}

#[tokio::test]
async fn requests_sent_with_the_greeting_and_the_end_are_answered() {
    let (_relay, _discovery, _, steward) = start_serving().await;
    let ping = frame(r#"{"msg":"PING"}"#);
    let source = frame(r#"{"msg":"SOURCE","site":"b"}"#);
    let pong = Some(r#"{"msg":"PONG"}"#);
    // A greeting, a ping and the end of the stream in one write: the ping is answered all the same.
    for bytes in [[ping.clone(), ping.clone()].concat(), [source, ping.clone()].concat()] {
        let mut peer = steward.connect().await;
        peer.write_all(&bytes).await.expect("the message is sent");
        peer.shutdown().await.expect("the stream is closed");
        assert_eq!(read_frame(&mut peer).await.as_deref(), pong);
        assert!(closes(&mut peer).await);
    }
}

/// Guards against a NACK in place of answers or before them: a peer's last requests within its first second
/// were read together with its timeout.
#[tokio::test]
async fn requests_around_the_end_of_the_first_second_are_answered_or_left_unread() {
    let (_relay, _discovery, _, steward) = start_serving().await;
    let mut ends = tokio::task::JoinSet::new();
    for n in 0..60 {
        let mut peer = steward.connect().await;
        let asked_at = tokio::time::Instant::now() + Duration::from_micros(980_000 + n * 500);
        ends.spawn(async move {
            tokio::time::sleep_until(asked_at).await;
            let pings = frame(r#"{"msg":"PING"}"#).repeat(400);
            peer.write_all(&pings).await.map_err(|_| ConnectionEnd::NothingLost)?;
            read_pongs(&mut peer, 400).await
        });
    }
    let ends = ends.join_all().await;
    assert!(ends.iter().all(|end| !matches!(end, Err(ConnectionEnd::AnswersLost(_)))), "{ends:?}");
}

/// A message that ends the connection must not discard requests read after it, or those that arrive before
/// the close.
#[tokio::test]
async fn requests_after_a_message_that_ends_the_connection_are_answered_or_left_unread() {
    let (_relay, _discovery, _, steward) = start_serving().await;
    let pings = frame(r#"{"msg":"PING"}"#).repeat(3);
    let source = frame(r#"{"msg":"SOURCE","site":"a"}"#);
    let unknown = frame(r#"{"msg":"SOURCE","site":"nowhere"}"#);
    let nack = Some(r#"{"msg":"NACK"}"#);
    for before in [unknown.clone(), [source, frame("no JSON")].concat()] {
        let mut peer = steward.connect().await;
        peer.write_all(&[before, pings.clone()].concat()).await.expect("the message is sent");
        assert_eq!(read_frame(&mut peer).await.as_deref(), nack);
        assert_eq!(read_pongs(&mut peer, 3).await, Ok(()));
    }
    for _ in 0..20 {
        let mut peer = steward.connect().await;
        peer.write_all(&unknown).await.expect("the message is sent");
        assert_eq!(read_frame(&mut peer).await.as_deref(), nack);
        let ended = match peer.write_all(&pings).await {
            Ok(()) => read_pongs(&mut peer, 3).await,
            Err(_) => Err(ConnectionEnd::NothingLost),
        };
        assert!(!matches!(ended, Err(ConnectionEnd::AnswersLost(_))), "{ended:?}");
    }
}

/// Guards against a NACK sent to a collector that closes by itself, as though it were rejected; a peer that
/// had not joined got none.
#[tokio::test]
async fn a_peer_that_closes_by_itself_gets_no_nack_whether_or_not_it_has_joined() {
    let (_relay, _discovery, _, steward) = start_serving().await;
    for greeting in [Vec::new(), frame(r#"{"msg":"SOURCE","site":"b"}"#)] {
        let mut peer = steward.connect().await;
        peer.write_all(&greeting).await.expect("the message is sent");
        assert!(answers_ping(&mut peer).await);
        peer.shutdown().await.expect("the stream is closed");
        let mut rest = Vec::new();
        timeout(TEST_TIMEOUT, peer.read_to_end(&mut rest))
            .await
            .expect("in time")
            .expect("an end and no reset");
        assert_eq!(String::from_utf8_lossy(&rest), "");
    }
}

/// Guards against a peer that reads slowly and keeps its connection: each answer, the NACK and what was read
/// after it had a timeout of its own, and a peer that read 20 kB of answers a second kept its connection for
/// 3.5 s.
#[tokio::test]
async fn unidentified_peers_that_read_slowly_are_closed_within_three_seconds() {
    const MAX_OPEN: Duration = Duration::from_secs(3);
    /// What a peer reads at a time, in bytes.
    const READS: [usize; 6] = [100, 150, 200, 250, 300, 400];
    const BETWEEN_READS: Duration = Duration::from_millis(10);
    let (_relay, _discovery, _, steward) = start_serving().await;
    let mut unidentified = tokio::task::JoinSet::new();
    for size in READS {
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(4_096).expect("set");
        let peer = socket.connect(steward.address.parse().expect("an address")).await.expect("it listens");
        let connected = tokio::time::Instant::now();
        let (mut read, mut write) = peer.into_split();
        let reading = tokio::spawn(async move {
            let mut buffer = vec![0; size];
            while read.read_exact(&mut buffer).await.is_ok() {
                tokio::time::sleep(BETWEEN_READS).await;
            }
        });
        unidentified.spawn(async move {
            // As many as are accepted: the answers fill the socket buffers.
            let pings = frame(r#"{"msg":"PING"}"#).repeat(1_000);
            while write.write_all(&pings).await.is_ok() {}
            reading.abort();
            (size, connected.elapsed())
        });
    }
    let closed_after = timeout(TEST_TIMEOUT, unidentified.join_all()).await.expect("all are closed in time");
    assert!(closed_after.iter().all(|(_, after)| *after < MAX_OPEN), "{closed_after:?}");
}

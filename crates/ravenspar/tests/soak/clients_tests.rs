//! Tests that clients tell lost requests from those that a killed process may leave unanswered.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use fastrand::Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::timeout;

use crate::clients::{ping_forever, Address, ConnectionEnd, Role};
use crate::harness::{frame, TEST_TIMEOUT};

/// How a process of the stand-in ends.
#[derive(Clone, Copy)]
enum ProcessEnd {
    Killed,
    /// It closes without answering what it has read.
    Negligent,
}

/// Plays processes that each read one request and end, with the next one there within 10 ms. Returns how many
/// requests the client counted as lost by the time it has reached the last one.
async fn count_lost(end: ProcessEnd) -> usize {
    const PROCESSES: usize = 10;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let address = Address::new(listener.local_addr().expect("an address").to_string());
    let lost = Rc::new(Cell::new(0));
    let counted = lost.clone();
    let client = spawn_local(ping_forever(address.clone(), Role::Peer, Rng::with_seed(1), move |end| {
        let ConnectionEnd::Unanswered(requests) = end else { panic!("a peer is no collector") };
        counted.set(counted.get() + requests);
    }));
    let processes = async {
        for _ in 0..PROCESSES {
            let (mut peer, _) = listener.accept().await.expect("a client");
            let read = peer.read(&mut [0; 8192]).await.expect("requests");
            assert!(read > 0);
            if matches!(end, ProcessEnd::Killed) {
                address.set_killed();
            }
            drop(peer);
            tokio::time::sleep(Duration::from_millis(10)).await;
            address.next_process();
        }
        // By then the client has recorded how the last connection ended.
        listener.accept().await.expect("a client");
    };
    timeout(TEST_TIMEOUT, processes).await.expect("clients that reconnect");
    client.abort();
    lost.get()
}

#[tokio::test]
async fn a_process_killed_and_replaced_within_ten_milliseconds_has_lost_nothing() {
    assert_eq!(LocalSet::new().run_until(count_lost(ProcessEnd::Killed)).await, 0);
}

#[tokio::test]
async fn requests_read_and_not_answered_are_lost_even_if_another_process_is_back() {
    assert!(LocalSet::new().run_until(count_lost(ProcessEnd::Negligent)).await >= 10);
}

/// Returns how a connection ends for a collector with invalid reports, if the process answers this many
/// requests and then rejects it.
async fn end_after_answers(answers: usize) -> ConnectionEnd {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let address = Address::new(listener.local_addr().expect("an address").to_string());
    let (end_tx, mut ends) = tokio::sync::mpsc::unbounded_channel();
    let role = Role::Collector { invalid_reports: Some(Rng::with_seed(1)) };
    let collector = spawn_local(ping_forever(address, role, Rng::with_seed(1), move |end| {
        let _ = end_tx.send(end);
    }));
    let (mut peer, _) = listener.accept().await.expect("a client");
    let mut answered = 0;
    while answered < answers {
        let mut read = vec![0; 8192];
        let length = peer.read(&mut read).await.expect("requests");
        let pings = read[..length].windows(4).filter(|word| *word == b"PING").count();
        peer.write_all(&frame(r#"{"msg":"PONG"}"#).repeat(pings)).await.expect("the answer is sent");
        answered += pings;
    }
    let _ = peer.read(&mut [0; 8192]).await.expect("requests");
    peer.write_all(&frame(r#"{"msg":"NACK"}"#)).await.expect("the answer is sent");
    drop(peer);
    let end = timeout(TEST_TIMEOUT, ends.recv()).await.expect("in time").expect("an end");
    collector.abort();
    end
}

#[tokio::test]
async fn rejecting_a_joined_collector_is_reported() {
    let end = LocalSet::new().run_until(end_after_answers(1)).await;
    assert_eq!(end, ConnectionEnd::Rejected);
}

#[tokio::test]
async fn a_collector_not_known_to_have_joined_may_be_rejected() {
    let end = LocalSet::new().run_until(end_after_answers(0)).await;
    assert!(matches!(end, ConnectionEnd::Unanswered(_)), "{end:?}");
}

//! Clients tell a loss from what a process that was killed with no word may leave unanswered.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use fastrand::Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::timeout;

use crate::clients::{ask_on, Address, End, Role};
use crate::harness::{frame, TEST_TIMEOUT};

/// How a process of the stand-in ends.
#[derive(Clone, Copy)]
enum ProcessEnd {
    Killed,
    /// It closes, with what it has read not answered.
    Negligent,
}

/// Processes that each read one request and end; the next one is there within 10 ms. Returns how many requests clients took
/// for lost by the time they have come to the last one.
async fn lost_at(end: ProcessEnd) -> usize {
    const PROCESSES: usize = 10;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let address = Address::new(listener.local_addr().expect("an address").to_string());
    let lost = Rc::new(Cell::new(0));
    let counted = lost.clone();
    let client = spawn_local(ask_on(address.clone(), Role::Peer, Rng::with_seed(1), move |end| {
        let End::Unanswered(requests) = end else { panic!("a peer is no collector") };
        counted.set(counted.get() + requests);
    }));
    let processes = async {
        for _ in 0..PROCESSES {
            let (mut peer, _) = listener.accept().await.expect("a client");
            let read = peer.read(&mut [0; 8192]).await.expect("requests");
            assert!(read > 0);
            if matches!(end, ProcessEnd::Killed) {
                address.killed();
            }
            drop(peer);
            tokio::time::sleep(Duration::from_millis(10)).await;
            address.next_process();
        }
        // The client has looked at how the connection before ended.
        listener.accept().await.expect("a client");
    };
    timeout(TEST_TIMEOUT, processes).await.expect("clients that go on");
    client.abort();
    lost.get()
}

#[tokio::test]
async fn a_process_that_is_killed_and_back_within_ten_milliseconds_has_lost_nothing() {
    assert_eq!(LocalSet::new().run_until(lost_at(ProcessEnd::Killed)).await, 0);
}

#[tokio::test]
async fn requests_that_a_process_read_and_did_not_answer_are_lost_though_another_is_back() {
    assert!(LocalSet::new().run_until(lost_at(ProcessEnd::Negligent)).await >= 10);
}

/// How a connection is over for a collector with spoilt reports, at a process that answers so many requests and then turns it away.
async fn turned_away_behind(answers: usize) -> End {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let address = Address::new(listener.local_addr().expect("an address").to_string());
    let (over, mut ends) = tokio::sync::mpsc::unbounded_channel();
    let role = Role::Collector { spoils: Some(Rng::with_seed(1)) };
    let collector = spawn_local(ask_on(address, role, Rng::with_seed(1), move |end| {
        let _ = over.send(end);
    }));
    let (mut peer, _) = listener.accept().await.expect("a client");
    let mut answered = 0;
    while answered < answers {
        let mut read = vec![0; 8192];
        let length = peer.read(&mut read).await.expect("requests");
        let asked = read[..length].windows(4).filter(|word| *word == b"PING").count();
        peer.write_all(&frame(r#"{"msg":"PONG"}"#).repeat(asked)).await.expect("taken in");
        answered += asked;
    }
    let _ = peer.read(&mut [0; 8192]).await.expect("requests");
    peer.write_all(&frame(r#"{"msg":"NACK"}"#)).await.expect("taken in");
    drop(peer);
    let end = timeout(TEST_TIMEOUT, ends.recv()).await.expect("in time").expect("an end");
    collector.abort();
    end
}

#[tokio::test]
async fn a_collector_that_has_joined_is_turned_away_for_its_reports() {
    let end = LocalSet::new().run_until(turned_away_behind(1)).await;
    assert_eq!(end, End::TurnedAway);
}

#[tokio::test]
async fn a_collector_that_is_not_known_to_have_joined_may_be_turned_away() {
    let end = LocalSet::new().run_until(turned_away_behind(0)).await;
    assert!(matches!(end, End::Unanswered(_)), "{end:?}");
}

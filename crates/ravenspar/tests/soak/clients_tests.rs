//! Clients tell a loss from what a process that was killed with no word may leave unanswered.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use fastrand::Rng;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::timeout;

use crate::clients::{ask_on, Address};
use crate::harness::PATIENCE;

/// How a process of the stand-in ends.
#[derive(Clone, Copy)]
enum End {
    Killed,
    /// It closes, with what it has read not answered.
    Negligent,
}

/// Processes that each read one request and end; the next one is there within 10 ms. Returns how many requests clients took
/// for lost by the time they have come to the last one.
async fn lost_at(end: End) -> usize {
    const PROCESSES: usize = 10;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let address = Address::new(listener.local_addr().expect("an address").to_string());
    let lost = Rc::new(Cell::new(0));
    let counted = lost.clone();
    let client = spawn_local(ask_on(address.clone(), false, Rng::with_seed(1), move |requests| {
        counted.set(counted.get() + requests);
    }));
    let processes = async {
        for _ in 0..PROCESSES {
            let (mut peer, _) = listener.accept().await.expect("a client");
            let read = peer.read(&mut [0; 8192]).await.expect("requests");
            assert!(read > 0);
            if matches!(end, End::Killed) {
                address.killed();
            }
            drop(peer);
            tokio::time::sleep(Duration::from_millis(10)).await;
            address.next_process();
        }
        // The client has looked at how the connection before ended.
        listener.accept().await.expect("a client");
    };
    timeout(PATIENCE, processes).await.expect("clients that go on");
    client.abort();
    lost.get()
}

#[tokio::test]
async fn a_process_that_is_killed_and_back_within_ten_milliseconds_has_lost_nothing() {
    assert_eq!(LocalSet::new().run_until(lost_at(End::Killed)).await, 0);
}

#[tokio::test]
async fn requests_that_a_process_read_and_did_not_answer_are_lost_though_another_is_back() {
    assert!(LocalSet::new().run_until(lost_at(End::Negligent)).await >= 10);
}

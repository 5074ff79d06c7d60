//! The relay carries no call out that its steward has given up, and leaves an address as the platform does.

use std::cell::RefCell;
use std::rc::Rc;

use futures_util::{SinkExt, StreamExt};
use serde_json::{json, Value};
use tokio::net::TcpStream;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{timeout, Instant};
use tokio_util::codec::{Framed, LinesCodec};

use crate::harness::TEST_TIMEOUT;
use crate::relay::{Relay, CLOSED_AFTER};
use crate::store::Store;
use crate::store_tests;

type Lines = Framed<TcpStream, LinesCodec>;

async fn relay() -> (Relay, Rc<RefCell<Store>>) {
    let store = Rc::new(RefCell::new(store_tests::store()));
    (Relay::start(0, store.clone()).await.expect("an address"), store)
}

async fn connect(relay: &Relay) -> Lines {
    Framed::new(TcpStream::connect(relay.address()).await.expect("it listens"), LinesCodec::new())
}

/// A call that gives slice 0 this weight.
fn call(id: u64, weight: f64) -> String {
    let order = json!({"verb": "share", "cluster": 0, "target": "s0", "rps": weight});
    json!({"jsonrpc": "2.0", "id": id, "method": "commit", "params": {"changes": [order]}}).to_string()
}

/// The number of the next call that is answered.
async fn answered(lines: &mut Lines) -> Value {
    let line =
        timeout(TEST_TIMEOUT, lines.next()).await.expect("in time").expect("an answer").expect("a line");
    serde_json::from_str::<Value>(&line).expect("JSON")["id"].clone()
}

/// How often slice 0 was ordered this weight.
fn ordered(store: &RefCell<Store>, weight: f64) -> usize {
    let words = format!("\"rps\":{weight:?}");
    store.borrow().history.iter().filter(|line| line.contains(&words)).count()
}

#[tokio::test]
async fn a_call_that_lies_beside_its_successor_is_given_up() {
    LocalSet::new()
        .run_until(async {
            let (relay, store) = relay().await;
            let (mut before, mut after) = (connect(&relay).await, connect(&relay).await);
            // Both have come by the time that the relay reads the first.
            before.send(call(1, 0.25)).await.expect("taken in");
            after.send(call(2, 0.75)).await.expect("taken in");
            assert_eq!(answered(&mut after).await, 2);
            // The connection goes on, with no answer to the call that was given up.
            before.send(call(3, 0.5)).await.expect("taken in");
            assert_eq!(answered(&mut before).await, 3);
            assert_eq!((ordered(&store, 0.25), ordered(&store, 0.75), ordered(&store, 0.5)), (0, 1, 1));
            // The next process's calls count anew.
            relay.forget_calls();
            before.send(call(1, 0.125)).await.expect("taken in");
            assert_eq!((answered(&mut before).await, ordered(&store, 0.125)), (json!(1), 1));
        })
        .await;
}

#[tokio::test]
async fn an_address_that_is_left_takes_no_connection_and_closes_the_open_ones_later() {
    LocalSet::new()
        .run_until(async {
            let (relay, _store) = relay().await;
            let (left, mut open) = (relay.address(), connect(&relay).await);
            open.send(call(1, 1.0)).await.expect("taken in");
            assert_eq!(answered(&mut open).await, 1);
            let before = relay.move_to(relay.open().await.expect("an address"));
            let began = Instant::now();
            let closing = spawn_local(before.close());
            let refused = async { while TcpStream::connect(left).await.is_ok() {} };
            timeout(CLOSED_AFTER / 2, refused).await.expect("no new connection");
            open.send(call(2, 1.0)).await.expect("taken in");
            assert_eq!(answered(&mut open).await, 2);
            assert!(timeout(TEST_TIMEOUT, open.next())
                .await
                .expect("in time")
                .is_none_or(|line| line.is_err()));
            assert!(began.elapsed() >= CLOSED_AFTER, "{:?}", began.elapsed());
            closing.await.expect("closed");
            let mut elsewhere = connect(&relay).await;
            elsewhere.send(call(3, 1.0)).await.expect("taken in");
            assert_eq!(answered(&mut elsewhere).await, 3);
        })
        .await;
}

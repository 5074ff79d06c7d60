//! Tests that the relay carries out no call that its steward has given up, and leaves an address as the
//! platform does.

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
    Framed::new(TcpStream::connect(relay.address()).await.expect("the relay listens"), LinesCodec::new())
}

/// Returns a call that gives slice 0 this weight.
fn call(id: u64, weight: f64) -> String {
    let order = json!({"verb": "share", "cluster": 0, "target": "s0", "rps": weight});
    json!({"jsonrpc": "2.0", "id": id, "method": "commit", "params": {"changes": [order]}}).to_string()
}

/// Returns the id of the next call that is answered.
async fn read_answer_id(lines: &mut Lines) -> Value {
    let line =
        timeout(TEST_TIMEOUT, lines.next()).await.expect("in time").expect("an answer").expect("a line");
    serde_json::from_str::<Value>(&line).expect("JSON")["id"].clone()
}

/// Returns how often slice 0 was ordered this weight.
fn count_orders(store: &RefCell<Store>, weight: f64) -> usize {
    let text = format!("\"rps\":{weight:?}");
    store.borrow().history.iter().filter(|line| line.contains(&text)).count()
}

#[tokio::test]
async fn a_call_queued_beside_its_successor_is_given_up() {
    LocalSet::new()
        .run_until(async {
            let (relay, store) = relay().await;
            let (mut before, mut after) = (connect(&relay).await, connect(&relay).await);
            // Both have arrived when the relay reads the first.
            before.send(call(1, 0.25)).await.expect("the call is sent");
            after.send(call(2, 0.75)).await.expect("the call is sent");
            assert_eq!(read_answer_id(&mut after).await, 2);
            // The connection stays open, without an answer to the call that was given up.
            before.send(call(3, 0.5)).await.expect("the call is sent");
            assert_eq!(read_answer_id(&mut before).await, 3);
            assert_eq!(
                (count_orders(&store, 0.25), count_orders(&store, 0.75), count_orders(&store, 0.5)),
                (0, 1, 1)
            );
            // The calls of the next process count from 1 again.
            relay.reset_calls();
            before.send(call(1, 0.125)).await.expect("the call is sent");
            assert_eq!((read_answer_id(&mut before).await, count_orders(&store, 0.125)), (json!(1), 1));
        })
        .await;
}

#[tokio::test]
async fn an_address_that_was_left_accepts_no_connection_and_closes_open_ones_later() {
    LocalSet::new()
        .run_until(async {
            let (relay, _store) = relay().await;
            let (old_address, mut open) = (relay.address(), connect(&relay).await);
            open.send(call(1, 1.0)).await.expect("the call is sent");
            assert_eq!(read_answer_id(&mut open).await, 1);
            let before = relay.move_to(relay.open().await.expect("an address"));
            let started = Instant::now();
            let closing = spawn_local(before.close());
            let refused = async { while TcpStream::connect(old_address).await.is_ok() {} };
            timeout(CLOSED_AFTER / 2, refused).await.expect("no new connection");
            open.send(call(2, 1.0)).await.expect("the call is sent");
            assert_eq!(read_answer_id(&mut open).await, 2);
            assert!(timeout(TEST_TIMEOUT, open.next())
                .await
                .expect("in time")
                .is_none_or(|line| line.is_err()));
            assert!(started.elapsed() >= CLOSED_AFTER, "{:?}", started.elapsed());
            closing.await.expect("closed");
            let mut new_connection = connect(&relay).await;
            new_connection.send(call(3, 1.0)).await.expect("the call is sent");
            assert_eq!(read_answer_id(&mut new_connection).await, 3);
        })
        .await;
}

//! Watches and reads of earlier revisions, by the client at the store's stand-in.

use std::time::Duration;

use ravenspar_etcd::api::event::EventType;
use ravenspar_etcd::api::*;
use ravenspar_etcd::{prefix_end, Client, Watch};
use ravenspar_standin::store::Store;

fn put(key: &str, value: &str) -> RequestOp {
    let put = PutRequest { key: key.into(), value: value.into(), lease: 0, prev_kv: false };
    RequestOp { request: Some(request_op::Request::RequestPut(put)) }
}

fn delete(key: &str) -> RequestOp {
    let delete = DeleteRangeRequest { key: key.into(), ..DeleteRangeRequest::default() };
    RequestOp { request: Some(request_op::Request::RequestDeleteRange(delete)) }
}

fn all(revision: i64, limit: i64) -> RangeRequest {
    RangeRequest {
        key: b"s/".into(),
        range_end: prefix_end(b"s/"),
        revision,
        limit,
        ..RangeRequest::default()
    }
}

fn from(start_revision: i64) -> WatchCreateRequest {
    let (key, range_end) = (b"s/".into(), prefix_end(b"s/"));
    WatchCreateRequest { key, range_end, start_revision, fragment: true, ..WatchCreateRequest::default() }
}

async fn start_store() -> (Store, Client) {
    let store = Store::new(3);
    let address = store.listen().await.expect("the store listens");
    let client = Client::new(&[format!("http://{address}")], Duration::from_secs(5), 1)
        .expect("the endpoint is valid");
    (store, client)
}

async fn write(client: &Client, operations: Vec<RequestOp>) -> i64 {
    let txn = TxnRequest { success: operations, ..TxnRequest::default() };
    client
        .txn(txn)
        .await
        .expect("the transaction is executed")
        .header
        .expect("the response has a header")
        .revision
}

async fn next(watch: &mut Watch) -> WatchResponse {
    let next =
        tokio::time::timeout(Duration::from_secs(20), watch.next()).await.expect("a response within 20 s");
    next.expect("the watch works").expect("the watch goes on")
}

/// Returns the revision, true for a put, and the key of each event.
fn events(response: &WatchResponse) -> Vec<(i64, bool, String)> {
    let events = response.events.iter().map(|event| {
        let kv = event.kv.as_ref().expect("the event has a key");
        let key = String::from_utf8_lossy(&kv.key).into_owned();
        (kv.mod_revision, event.r#type() == EventType::Put, key)
    });
    events.collect()
}

#[tokio::test]
async fn a_watch_sends_all_events_from_its_revision_on_in_order() {
    let (_store, client) = start_store().await;
    let first = write(&client, vec![put("s/a", "1"), put("t/x", "1")]).await;
    write(&client, vec![put("s/a", "2")]).await;
    write(&client, vec![delete("s/a")]).await;
    let mut watch = client.watch(from(first)).await.expect("the watch is created");
    assert!(next(&mut watch).await.created);
    let history = next(&mut watch).await;
    let a = || "s/a".to_owned();
    assert_eq!(events(&history), [(first, true, a()), (first + 1, true, a()), (first + 2, false, a())]);
    let last = write(&client, vec![put("s/b", "1")]).await;
    assert_eq!(events(&next(&mut watch).await), [(last, true, "s/b".to_owned())]);
    watch.ask_progress();
    let progress = next(&mut watch).await;
    assert!(progress.events.is_empty());
    assert_eq!(progress.header.expect("the response has a header").revision, last);
}

#[tokio::test]
async fn fragments_are_reassembled() {
    let (_store, client) = start_store().await;
    for part in 0..3 {
        write(&client, (0..120).map(|key| put(&format!("s/{part}-{key}"), "")).collect()).await;
    }
    let mut watch = client.watch(from(2)).await.expect("the watch is created");
    next(&mut watch).await;
    let response = next(&mut watch).await;
    assert_eq!((response.events.len(), response.fragment), (360, false));
}

#[tokio::test]
async fn a_compacted_revision_cancels_the_watch_and_returns_the_compact_revision() {
    let (store, client) = start_store().await;
    for value in ["1", "2", "3"] {
        write(&client, vec![put("s/a", value)]).await;
    }
    assert!(store.compact(3));
    let mut watch = client.watch(from(2)).await.expect("the watch is created");
    assert!(next(&mut watch).await.created);
    let canceled = next(&mut watch).await;
    assert!(canceled.canceled && canceled.cancel_reason.contains("compacted"), "{canceled:?}");
    assert_eq!(canceled.compact_revision, 3);
    assert_eq!(watch.next().await.expect("the watch works"), None);
    // Reads before the compacted revision are refused as well; those from it on are not.
    assert!(client.range(all(2, 0)).await.is_err());
    assert_eq!(client.range(all(3, 0)).await.expect("the range is read").kvs[0].value, b"2");
}

/// Pages read at one revision show one state, whatever is written between them.
#[tokio::test]
async fn pages_at_one_revision_show_one_state() {
    let (_store, client) = start_store().await;
    let revision = write(&client, vec![put("s/a", "1"), put("s/b", "1"), put("s/c", "1")]).await;
    let page = client.range(all(0, 2)).await.expect("the range is read");
    assert_eq!((page.kvs.len(), page.more), (2, true));
    write(&client, vec![delete("s/c"), put("s/d", "2"), put("s/a", "2")]).await;
    let mut rest = all(revision, 0);
    rest.key = b"s/b\0".into();
    let rest = client.range(rest).await.expect("the range is read");
    let keys: Vec<_> = rest.kvs.iter().map(|kv| kv.key.clone()).collect();
    assert_eq!(keys, [b"s/c".to_vec()]);
    assert_eq!(client.range(all(revision, 0)).await.expect("the range is read").kvs[0].value, b"1");
}

//! Tests the stand-in against etcd's API, and the client against its contract, over sockets and with injected faults.

use std::time::{Duration, Instant};

use ravenspar_etcd::api::*;
use ravenspar_etcd::{prefix_end, Client, CommitOutcome, FencedTransaction, StoreError};
use ravenspar_standin::pieces::PieceRelay;
use ravenspar_standin::store::{Faults, Mvcc, Store};
use ravenspar_standin::SECOND;

fn put(key: &str, value: &str, lease: i64) -> RequestOp {
    let put = PutRequest { key: key.into(), value: value.into(), lease, prev_kv: false };
    RequestOp { request: Some(request_op::Request::RequestPut(put)) }
}

fn puts(success: Vec<RequestOp>) -> TxnRequest {
    TxnRequest { success, ..TxnRequest::default() }
}

fn all(prefix: &str) -> RangeRequest {
    RangeRequest { key: prefix.into(), range_end: prefix_end(prefix.as_bytes()), ..RangeRequest::default() }
}

#[test]
fn revisions_versions_and_transactions_follow_the_api() {
    let mut store = Mvcc::new(7);
    assert_eq!(store.header().revision, 1);
    // A transaction takes one revision, however much it writes.
    let answer =
        store.txn(&puts(vec![put("a/1", "x", 0), put("a/2", "y", 0)])).expect("the transaction is executed");
    assert_eq!(answer.header.expect("the response has a header").revision, 2);
    store.txn(&puts(vec![put("a/1", "z", 0)])).expect("the transaction is executed");
    let found = store.range(&all("a/")).expect("the range is read");
    let rows: Vec<_> = found.kvs.iter().map(|kv| (kv.create_revision, kv.mod_revision, kv.version)).collect();
    assert_eq!(rows, [(2, 3, 2), (2, 2, 1)]);
    // A refused operation rolls back those before it, and a read-only transaction takes no revision.
    assert!(store.txn(&puts(vec![put("a/1", "w", 0), put("a/3", "w", 99)])).is_err());
    let read = RequestOp { request: Some(request_op::Request::RequestRange(all("a/"))) };
    store.txn(&puts(vec![read])).expect("the transaction is executed");
    let found = store.range(&all("a/")).expect("the range is read");
    assert_eq!((found.header.expect("the response has a header").revision, found.count), (3, 2));
    assert_eq!(found.kvs[0].value, b"z");
    let page = RangeRequest { limit: 1, ..all("a/") };
    let page = store.range(&page).expect("the range is read");
    assert_eq!((page.kvs.len(), page.more, page.count), (1, true, 2));
    assert!(store.range(&RangeRequest { revision: 9, ..all("a/") }).is_err(), "a future revision was read");
}

#[test]
fn an_expired_lease_deletes_its_keys_at_one_revision() {
    let mut store = Mvcc::new(7);
    store.grant(0, 5, 2).expect("the lease is granted");
    assert!(store.grant(0, 5, 2).is_err(), "a lease was granted twice");
    store
        .txn(&puts(vec![put("m/1", "", 5), put("m/2", "", 5), put("m/3", "", 0)]))
        .expect("the transaction is executed");
    assert_eq!(store.renew(SECOND, 5), 2);
    store.expire(3 * SECOND - 1);
    assert_eq!(store.range(&all("m/")).expect("the range is read").count, 3);
    store.expire(3 * SECOND);
    let found = store.range(&all("m/")).expect("the range is read");
    assert_eq!((found.count, found.header.expect("the response has a header").revision), (1, 3));
    assert_eq!(store.renew(3 * SECOND, 5), 0);
}

fn guarded(revision: u64, value: &str, key: &str) -> FencedTransaction {
    let then = vec![ravenspar_store::put(key.into(), value.into(), 0)];
    FencedTransaction {
        witness: b"w".to_vec(),
        revision,
        value: value.into(),
        compare: Vec::new(),
        then,
        lease: 0,
    }
}

async fn client(store: &Store) -> Client {
    let address = store.listen().await.expect("the store listens");
    // Nothing listens on the first endpoint: calls go to the next.
    let endpoints = ["http://127.0.0.1:1".to_owned(), format!("http://{address}")];
    Client::new(&endpoints, Duration::from_millis(300), 1).expect("the endpoints are valid")
}

fn run(test: impl std::future::Future<Output = ()>) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime is built");
    runtime.block_on(test);
}

#[test]
fn a_read_fails_over_to_the_next_endpoint() {
    run(async {
        let store = Store::new(1);
        let client = client(&store).await;
        assert_eq!(client.range(all("x")).await.expect("the range is read").count, 0);
    });
}

#[test]
fn a_transaction_with_a_lost_response_is_found_committed() {
    run(async {
        let store = Store::new(1);
        let client = client(&store).await;
        client.range(all("x")).await.expect("the range is read");
        let Ok(CommitOutcome::Committed { witness }) = client.commit(&guarded(0, "one", "k"), 4).await else {
            panic!("the first transaction was not committed")
        };
        store.set_faults(Faults { lose_answers: 1, ..Faults::default() });
        let committed = client.commit(&guarded(witness, "two", "k"), 4).await;
        assert_eq!(committed, Ok(CommitOutcome::Committed { witness: witness + 1 }));
        assert_eq!(store.get(b"k"), Some((b"two".to_vec(), witness as i64 + 1)));
        // The witness has changed: the transaction is not executed, and the witness's revision is returned.
        let committed = client.commit(&guarded(witness, "three", "k"), 4).await;
        assert_eq!(committed, Ok(CommitOutcome::Aborted { witness: witness + 1 }));
    });
}

/// Guards against a transaction that is executed after its writer was informed that it was not.
#[test]
fn a_late_transaction_has_no_effect_after_it_was_given_up() {
    run(async {
        let store = Store::new(1);
        let client = client(&store).await;
        client.range(all("x")).await.expect("the range is read");
        let late_by = Duration::from_millis(400);
        store.set_faults(Faults { late: 1, late_by, ..Faults::default() });
        let committed = client.commit(&guarded(0, "one", "k"), 4).await;
        assert!(matches!(committed, Ok(CommitOutcome::Aborted { .. })), "{committed:?}");
        assert_eq!(store.get(b"k"), None);
        tokio::time::sleep(2 * late_by).await;
        assert_eq!(store.get(b"k"), None, "the late transaction was executed");
    });
}

#[test]
fn a_slow_and_an_unavailable_store_fail_calls_until_they_recover() {
    run(async {
        let store = Store::new(1);
        let client = client(&store).await;
        client.range(all("x")).await.expect("the range is read");
        // Slower than the deadline: the outcome of the transaction and of its fences is unknown.
        store.set_faults(Faults { slow: Duration::from_millis(700), ..Faults::default() });
        assert!(matches!(client.commit(&guarded(0, "one", "k"), 1).await, Err(StoreError::Unknown(_))));
        store.set_faults(Faults { away: true, ..Faults::default() });
        let began = Instant::now();
        assert!(client.range(all("x")).await.is_err());
        assert!(began.elapsed() < Duration::from_secs(20), "retries took longer than 20 s");
        store.set_faults(Faults::default());
        assert!(client.range(all("x")).await.is_ok());
    });
}

#[test]
fn leases_are_granted_once_renewed_and_revoked() {
    run(async {
        let store = Store::new(1);
        let client = client(&store).await;
        store.set_faults(Faults { lose_answers: 1, ..Faults::default() });
        assert_eq!(client.lease_grant(77, 5).await, Ok(5), "the retry didn't find its own lease");
        assert!(
            matches!(client.lease_grant(77, 5).await, Err(StoreError::Refused(_))),
            "another client's lease was granted again"
        );
        assert_eq!(client.keep_alive(77).await, Ok(Some(5)));
        store.lose_lease(77);
        assert_eq!(client.keep_alive(77).await, Ok(None));
        assert_eq!(client.lease_revoke(77).await, Ok(()));
    });
}

/// A client that reads a large value in pieces, whose connection goes silent in the middle of the response.
struct SilentResponse {
    relay: PieceRelay,
    client: Client,
}

impl SilentResponse {
    async fn start() -> SilentResponse {
        let store = Store::new(7);
        let address = store.listen().await.expect("the store listens");
        let relay = PieceRelay::start(address).expect("a relay of bytes");
        let client =
            Client::new(&[format!("http://{}", relay.address)], Duration::from_secs(1), 7).expect("a client");
        let large = "x".repeat(20_000);
        client.txn(puts(vec![put("a/1", &large, 0)])).await.expect("the transaction is executed");
        relay.deliver_in_pieces(1_000, Duration::from_millis(50));
        SilentResponse { relay, client }
    }

    /// Waits until a part of a response has been delivered, and silences the connection. Others deliver at once.
    async fn silence(&self) {
        let before = self.relay.delivered();
        while self.relay.delivered() < before + 2_000 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        self.relay.silence_open_connections();
        self.relay.deliver_in_pieces(1 << 20, Duration::ZERO);
    }

    /// Executes a transaction whose response goes silent, beside other calls.
    async fn call(&self, others: impl std::future::Future<Output = ()>) -> Result<(), StoreError> {
        let read = RequestOp { request: Some(request_op::Request::RequestRange(all("a/"))) };
        let limit = tokio::time::timeout(Duration::from_secs(30), self.client.txn(puts(vec![read])));
        let silence = async {
            self.silence().await;
            others.await;
            std::future::pending::<()>().await;
        };
        tokio::select! {
            result = limit => result.expect("the call ends").map(drop),
            () = silence => unreachable!(),
        }
    }
}

/// A call whose response has begun and then goes silent ends, and the next one finds another connection.
#[tokio::test]
async fn a_transaction_whose_response_goes_silent_has_an_unknown_outcome() {
    let world = SilentResponse::start().await;
    let result = world.call(std::future::ready(())).await;
    assert!(matches!(result, Err(StoreError::Unknown(_))), "{result:?}");
    let found = world.client.range(all("a/")).await.expect("another connection is opened");
    assert_eq!(found.kvs.len(), 1);
}

/// Guards against a call that waits without end on a silent connection because others make progress on another one.
#[tokio::test]
async fn a_transaction_whose_response_goes_silent_ends_while_other_connections_make_progress() {
    let world = SilentResponse::start().await;
    let reads = async {
        // The first of them fails on the silent connection, and has another one opened.
        while world.client.range(all("a/")).await.is_err() {}
        loop {
            world.client.range(all("a/")).await.expect("the range is read");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let result = world.call(reads).await;
    assert!(matches!(result, Err(StoreError::Unknown(_))), "{result:?}");
}

/// A call that failed on all its attempts leaves no silent connection to the next one.
#[tokio::test]
async fn a_transaction_after_a_failed_read_uses_another_connection() {
    let store = Store::new(7);
    let relay = PieceRelay::start(store.listen().await.expect("the store listens")).expect("a relay");
    let client =
        Client::new(&[format!("http://{}", relay.address)], Duration::from_secs(1), 7).expect("a client");
    client.range(all("a/")).await.expect("the range is read");
    relay.silence_all_connections();
    assert!(client.range(all("a/")).await.is_err(), "no attempt is answered");
    relay.silence_open_connections();
    client.txn(puts(vec![put("a/1", "x", 0)])).await.expect("a new connection");
}

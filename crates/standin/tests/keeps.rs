//! The contract of a store, tested on each implementation: etcd's API over sockets, and the state machine of the
//! replicated log.

use std::sync::Arc;
use std::time::Duration;

use ravenspar_standin::store::{Memory, Store};
use ravenspar_store::{
    at, delete, exists, prefix_range, put, CommitOutcome, FencedTransaction, FencedWriter, SharedStore,
    StoreError, WriteError,
};

/// Runs a test case on each implementation.
fn on_each(case: impl AsyncFn(SharedStore)) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime is built");
    runtime.block_on(async {
        case(Arc::new(Memory::default())).await;
        let address = Store::new(1).listen().await.expect("the store listens");
        let client = ravenspar_etcd::Client::new(&[format!("http://{address}")], Duration::from_secs(5), 1);
        case(Arc::new(client.expect("the endpoint is valid"))).await;
    });
}

fn keys(rows: &[ravenspar_store::Row]) -> Vec<&str> {
    rows.iter().map(|row| std::str::from_utf8(&row.key).expect("the key is UTF-8")).collect()
}

#[test]
fn ranges_are_read_at_one_revision_and_filtered_by_the_revision_of_change() {
    on_each(async |store| {
        store.grant(9, 30).await.expect("the lease is granted");
        let mut writer = FencedWriter::new(store.clone(), 9, b"w".to_vec());
        let puts = |names: &[&str]| names.iter().map(|n| put((*n).into(), b"v".to_vec(), 0)).collect();
        let first =
            writer.commit(Vec::new(), puts(&["a/1", "a/2", "b/1"])).await.expect("the commit succeeds");
        let second = writer.commit(Vec::new(), puts(&["a/2"])).await.expect("the commit succeeds");
        assert!(second > first);
        let read =
            store.read(vec![prefix_range(b"a/".to_vec(), 0), prefix_range(b"a/".to_vec(), second)]).await;
        let read = read.expect("the range is read");
        assert_eq!(read.revision, second);
        assert_eq!(keys(&read.ranges[0]), ["a/1", "a/2"]);
        assert_eq!(keys(&read.ranges[1]), ["a/2"]);
        assert_eq!(read.ranges[0].iter().map(|row| row.modified).collect::<Vec<_>>(), [first, second]);
        let (_, all) = ravenspar_store::read_all(&*store, prefix_range(b"a/".to_vec(), 0))
            .await
            .expect("the range is read");
        assert_eq!(all, read.ranges[0]);
        let page = store.page(prefix_range(b"a/".to_vec(), 0), 1, 0).await.expect("the range is read");
        assert_eq!((keys(&page.rows), page.more), (vec!["a/1"], true));
        writer.commit(Vec::new(), vec![delete(b"a/1".to_vec())]).await.expect("the commit succeeds");
        let read = store.read(vec![prefix_range(b"a/".to_vec(), 0)]).await.expect("the range is read");
        assert_eq!(keys(&read.ranges[0]), ["a/2"]);
    });
}

#[test]
fn a_transaction_is_committed_only_if_all_its_comparisons_hold() {
    on_each(async |store| {
        store.grant(9, 30).await.expect("the lease is granted");
        let mut writer = FencedWriter::new(store.clone(), 9, b"w".to_vec());
        let put_k = |value: &str| vec![put(b"k".to_vec(), value.into(), 0)];
        // A failed comparison, also in the first commit, is reported and the writer can go on.
        assert_eq!(
            writer.commit(vec![exists(b"k".to_vec())], put_k("no")).await,
            Err(WriteError::ConditionFailed)
        );
        let first =
            writer.commit(vec![at(b"k".to_vec(), 0)], put_k("one")).await.expect("the commit succeeds");
        assert_eq!(
            writer.commit(vec![at(b"k".to_vec(), 0)], put_k("no")).await,
            Err(WriteError::ConditionFailed)
        );
        writer
            .commit(vec![at(b"k".to_vec(), first), exists(b"k".to_vec())], put_k("two"))
            .await
            .expect("the commit succeeds");
        let read = store.read(vec![prefix_range(b"k".to_vec(), 0)]).await.expect("the range is read");
        assert_eq!(read.ranges[0][0].value, b"two");
    });
}

#[test]
fn a_commit_with_an_outdated_witness_has_no_effect() {
    on_each(async |store| {
        let guarded = |revision: u64, value: &str| FencedTransaction {
            witness: b"w".to_vec(),
            revision,
            value: value.into(),
            compare: Vec::new(),
            then: vec![put(b"k".to_vec(), value.into(), 0)],
            lease: 0,
        };
        let Ok(CommitOutcome::Committed { witness }) = store.commit(guarded(0, "one"), 2).await else {
            panic!("the commit was refused")
        };
        let Ok(CommitOutcome::Committed { witness: newer }) = store.commit(guarded(witness, "two"), 2).await
        else {
            panic!("the commit was refused")
        };
        assert_eq!(
            store.commit(guarded(witness, "late"), 2).await,
            Ok(CommitOutcome::Aborted { witness: newer })
        );
        let read = store.read(vec![prefix_range(b"k".to_vec(), 0)]).await.expect("the range is read");
        assert_eq!(read.ranges[0][0].value, b"two");
    });
}

#[test]
fn keys_expire_with_their_lease_and_a_writer_with_an_expired_lease_writes_nothing() {
    on_each(async |store| {
        assert_eq!(store.grant(9, 1).await, Ok(1));
        assert!(matches!(store.grant(9, 1).await, Err(StoreError::Refused(_))));
        let mut writer = FencedWriter::new(store.clone(), 9, b"w".to_vec());
        writer
            .commit(Vec::new(), vec![put(b"m".to_vec(), Vec::new(), 9)])
            .await
            .expect("the commit succeeds");
        assert_eq!(store.renew(9).await, Ok(Some(1)));
        // Wait until the lease expires by the store's clock.
        while !store.read(vec![prefix_range(b"m".to_vec(), 0)]).await.expect("the range is read").ranges[0]
            .is_empty()
        {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(store.renew(9).await, Ok(None));
        let late = writer.commit(Vec::new(), vec![put(b"k".to_vec(), Vec::new(), 0)]).await;
        assert!(matches!(late, Err(WriteError::Fatal(_))), "{late:?}");
        assert!(store.read(vec![prefix_range(b"k".to_vec(), 0)]).await.expect("the range is read").ranges[0]
            .is_empty());
        assert_eq!(store.revoke(9).await, Ok(()));
    });
}

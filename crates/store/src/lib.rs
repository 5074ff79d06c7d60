//! The interface of the store that stewards share, independent of its implementation: conditional transactions, keys bound
//! to leases, reads of several ranges at one revision, and reads of what changed since a revision.
//!
//! Keys, comparisons and steps are those of the replicated state machine; a store on etcd's API translates them. [`FencedWriter`]
//! writes for one incarnation of a steward: each of its transactions is conditional on its witness key, so that none takes
//! effect once the incarnation's lease has ended in the store. `docs/design/sharing.md` has the reasoning.

mod writer;

use std::fmt;
use std::sync::Arc;

use futures_util::future::BoxFuture;

pub use ravenspar_replica::state::{Compare, CompareOp, Operand, Range, Row, Step};
pub use writer::{FencedWriter, WriteError};

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The call had no effect: no server was reached, or it was rejected.
    Refused(String),
    /// The call may have taken effect, or may still do so.
    Unknown(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StoreError::Refused(why) => write!(f, "refused: {why}"),
            StoreError::Unknown(why) => write!(f, "the outcome is unknown: {why}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// Ranges read at one revision, in the order requested; the rows of each are sorted by key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Read {
    /// Identifies the store: a different store has a different number.
    pub cluster: u64,
    pub revision: u64,
    pub ranges: Vec<Vec<Row>>,
}

/// One page of a range.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    pub revision: u64,
    pub rows: Vec<Row>,
    /// The range has more rows after the last one.
    pub more: bool,
}

/// The outcome of a guarded transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It took effect; the witness now has this revision.
    Committed { witness: u64 },
    /// It did not take effect and never will; the witness now has this revision (0: it is gone).
    Aborted { witness: u64 },
}

/// A transaction fenced by a witness: a key that only its writer writes, in each of its transactions.
///
/// The transaction compares the witness's revision and writes the witness again. So once the witness has been written by
/// anything else, a copy of the transaction that is still in flight can't succeed: its outcome is final.
#[derive(Clone, Debug)]
pub struct FencedTransaction {
    pub witness: Vec<u8>,
    /// The revision at which the witness was last modified; 0: it doesn't exist yet.
    pub revision: u64,
    /// The witness's new value, which no other write of it has had.
    pub value: Vec<u8>,
    /// The other conditions.
    pub compare: Vec<Compare>,
    /// The steps to carry out if all conditions hold.
    pub then: Vec<Step>,
    /// The lease that the witness is bound to; 0: none.
    pub lease: u64,
}

/// A store. Each call has a timeout of its own.
pub trait Store: Send + Sync {
    /// Reads ranges at the latest revision; linearizable.
    fn read(&self, ranges: Vec<Range>) -> BoxFuture<'_, Result<Read, StoreError>>;

    /// Reads at most `limit` rows of a range at a revision; 0: the latest.
    fn page(&self, range: Range, limit: usize, revision: u64) -> BoxFuture<'_, Result<Page, StoreError>>;

    /// Commits a transaction. If its outcome is unknown, makes at most `fences` attempts to find it out by writing the
    /// witness. Fails only if nothing is known; the writer must then read the witness before it uses it again.
    fn commit(
        &self,
        transaction: FencedTransaction,
        fences: u32,
    ) -> BoxFuture<'_, Result<CommitOutcome, StoreError>>;

    /// Creates a lease with an id that the caller drew at random, and returns its time to live in seconds. May be retried.
    fn grant(&self, lease: u64, seconds: u32) -> BoxFuture<'_, Result<u32, StoreError>>;

    /// Renews a lease and returns its time to live in seconds from when the store handled the call, or `None` if the lease
    /// is gone. The caller should count from when it made the call, which is earlier.
    fn renew(&self, lease: u64) -> BoxFuture<'_, Result<Option<u32>, StoreError>>;

    /// Ends a lease and deletes its keys. Succeeds if the lease is gone already.
    fn revoke(&self, lease: u64) -> BoxFuture<'_, Result<(), StoreError>>;
}

/// A store shared between tasks.
pub type SharedStore = Arc<dyn Store>;

/// How many steps a caller may put into one transaction: etcd accepts 128 operations by default, and some are needed for
/// other keys.
pub const MAX_STEPS: usize = 100;

/// The condition that a key was last modified at this revision; 0: that it doesn't exist.
pub fn at(key: Vec<u8>, revision: u64) -> Compare {
    Compare { key, how: CompareOp::Equal, by: Operand::Modified(revision) }
}

/// The condition that a key exists.
pub fn exists(key: Vec<u8>) -> Compare {
    Compare { key, how: CompareOp::Greater, by: Operand::Modified(0) }
}

/// The step that writes a key and binds it to a lease; 0: to none.
pub fn put(key: Vec<u8>, value: Vec<u8>, lease: u64) -> Step {
    Step::Put { key, value, lease }
}

/// The step that deletes a key.
pub fn delete(key: Vec<u8>) -> Step {
    Step::Delete(Range { key, end: Vec::new(), since: 0 })
}

/// All keys with a prefix that were modified at the revision `since` or later; 0: all.
pub fn prefix_range(prefix: Vec<u8>, since: u64) -> Range {
    Range { end: prefix_end(&prefix), key: prefix, since }
}

/// The end of the range of all keys with a prefix: the prefix with its last byte below 0xff incremented, cut after it.
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < 0xff {
            end.push(last + 1);
            return end;
        }
    }
    vec![0] // in etcd's API: all keys from the start of the range on
}

/// Reads all rows of a range, page by page at one revision, which is returned with them.
pub async fn read_all(store: &dyn Store, range: Range) -> Result<(u64, Vec<Row>), StoreError> {
    read_all_at(store, range, 0).await
}

/// Reads all rows of a range as they were at a revision; 0: the latest.
pub async fn read_all_at(
    store: &dyn Store,
    range: Range,
    revision: u64,
) -> Result<(u64, Vec<Row>), StoreError> {
    /// One or two megabytes, a twentieth of the largest response accepted; 100,000 rows take ten calls.
    const PAGE_ROWS: usize = 10_000;
    let (mut next, mut revision, mut rows) = (range.clone(), revision, Vec::new());
    loop {
        let page = store.page(next.clone(), PAGE_ROWS, revision).await?;
        revision = page.revision;
        rows.extend(page.rows);
        match rows.last().filter(|_| page.more) {
            Some(last) => next.key = [&last.key[..], &[0]].concat(),
            None => return Ok((revision, rows)),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::prefix_end;

    #[test]
    fn prefix_end_is_the_first_key_after_the_prefix() {
        assert_eq!(prefix_end(b"ab"), b"ac");
        assert_eq!(prefix_end(b"a\xff"), b"b");
        assert_eq!(prefix_end(b"\xff"), b"\0");
    }
}

//! What stewards ask of the store that they share, whatever is behind it: compared transactions, keys bound to leases,
//! reads of several ranges at one revision, and what changed since one.
//!
//! Keys, comparisons and steps are those of the replicated log's state; a store on etcd's API says the same in its own
//! words. [`Hand`] is how one life writes: all that it asks for is compared with its witness, so that nothing of it takes
//! effect once the store has let the life go. `docs/design/sharing.md` has the reasoning.

mod hand;

use std::fmt;
use std::sync::Arc;

use futures_util::future::BoxFuture;

pub use hand::{Hand, Stop};
pub use ravenspar_replica::state::{By, Compare, How, Range, Row, Step};

/// Why a call has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It surely had no effect: nobody was reached, or it was refused.
    Refused(String),
    /// It may have had its effect, or may have it yet.
    Unknown(String),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Fault::Refused(why) => write!(f, "refused: {why}"),
            Fault::Unknown(why) => write!(f, "the outcome is unknown: {why}"),
        }
    }
}

impl std::error::Error for Fault {}

/// Ranges as they were at one revision, in the order in which they were asked for, the rows of each in order of keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Read {
    /// Which store it is: another one has another number.
    pub cluster: u64,
    pub revision: u64,
    pub ranges: Vec<Vec<Row>>,
}

/// A part of a range.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    pub revision: u64,
    pub rows: Vec<Row>,
    /// There are more behind the last row.
    pub more: bool,
}

/// What became of a guarded transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Committed {
    /// It was carried out; the witness now has this revision.
    Yes { witness: u64 },
    /// It was not, and never will be; the witness now has this revision.
    No { witness: u64 },
}

/// A transaction with a witness: a key that its writer alone writes, with each of its transactions.
///
/// It compares the witness's revision and writes the witness anew. So once anything else has written the witness, a
/// transaction that is still under way somewhere can't succeed any more: that is what makes its outcome final.
#[derive(Clone, Debug)]
pub struct Guarded {
    pub witness: Vec<u8>,
    /// The witness's revision of modification; 0: it is not there yet.
    pub revision: u64,
    /// No other write of the witness has had this value.
    pub value: Vec<u8>,
    /// What else has to hold, and what is to be done then.
    pub compare: Vec<Compare>,
    pub then: Vec<Step>,
    /// The lease that the witness is bound to; 0: none.
    pub lease: u64,
}

/// A store. Each call bounds its own time.
pub trait Store: Send + Sync {
    /// Reads ranges at one revision, the latest; linearizable.
    fn read(&self, ranges: Vec<Range>) -> BoxFuture<'_, Result<Read, Fault>>;

    /// At most `limit` rows of a range as it was at a revision; 0: the latest.
    fn page(&self, range: Range, limit: usize, revision: u64) -> BoxFuture<'_, Result<Page, Fault>>;

    /// Carries a transaction out, or makes sure that it never is, by fences, so many at most. Fails only where nothing is
    /// known; then the writer may not write by this witness any more before it has read it.
    fn commit(&self, guarded: Guarded, fences: u32) -> BoxFuture<'_, Result<Committed, Fault>>;

    /// Makes a lease of a number that the caller drew at random, and returns its seconds. May be repeated.
    fn grant(&self, lease: u64, seconds: u32) -> BoxFuture<'_, Result<u32, Fault>>;

    /// Renews a lease and returns the seconds that it has from when the store took the call; none where it is gone.
    /// Reckon from when this was called: that lies before.
    fn renew(&self, lease: u64) -> BoxFuture<'_, Result<Option<u32>, Fault>>;

    /// Ends a lease; its keys go with it. One that is gone already is as good.
    fn revoke(&self, lease: u64) -> BoxFuture<'_, Result<(), Fault>>;
}

pub type Shared = Arc<dyn Store>;

/// Steps in one transaction: etcd takes 128 operations unless told otherwise, and some are for other keys.
pub const MOST: usize = 100;

/// The key's last write has this revision; 0: it is not there.
pub fn at(key: Vec<u8>, revision: u64) -> Compare {
    Compare { key, how: How::Equal, by: By::Modified(revision) }
}

pub fn there(key: Vec<u8>) -> Compare {
    Compare { key, how: How::Greater, by: By::Modified(0) }
}

/// `lease`: what the key is bound to; 0: nothing.
pub fn put(key: Vec<u8>, value: Vec<u8>, lease: u64) -> Step {
    Step::Put { key, value, lease }
}

pub fn delete(key: Vec<u8>) -> Step {
    Step::Delete(Range { key, end: Vec::new(), since: 0 })
}

/// All keys with a prefix that were written at a revision or later; 0: all.
pub fn under(prefix: Vec<u8>, since: u64) -> Range {
    Range { end: prefix_end(&prefix), key: prefix, since }
}

/// The end of the range of all keys with a prefix: the prefix with its last byte that can grow grown by one.
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < 0xff {
            end.push(last + 1);
            return end;
        }
    }
    vec![0] // the API's word for all keys from there on
}

/// All rows of a range, read by pages at one revision, which is returned.
pub async fn all(store: &dyn Store, range: Range) -> Result<(u64, Vec<Row>), Fault> {
    all_at(store, range, 0).await
}

/// Likewise, as they were at a revision; 0: the latest.
pub async fn all_at(store: &dyn Store, range: Range, revision: u64) -> Result<(u64, Vec<Row>), Fault> {
    /// Rows a page: a megabyte or two, a twentieth of the largest answer that is taken; a hundred thousand rows are ten calls.
    const PAGE: usize = 10_000;
    let (mut next, mut revision, mut rows) = (range.clone(), revision, Vec::new());
    loop {
        let page = store.page(next.clone(), PAGE, revision).await?;
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
    fn a_prefix_ends_before_the_next() {
        assert_eq!(prefix_end(b"ab"), b"ac");
        assert_eq!(prefix_end(b"a\xff"), b"b");
        assert_eq!(prefix_end(b"\xff"), b"\0");
    }
}

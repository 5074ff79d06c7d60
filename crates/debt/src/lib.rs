//! Fair-share debt: what each user has used lately, against what is due to it. Pure: no I/O, no clock; whole numbers only,
//! so that the same facts give the same ranking, byte for byte, in every process and in any order of arrival.
//!
//! [`Facts`] merges what sites say they used: named by its source and growing, so that a fact that comes twice, late or out
//! of order changes nothing. [`Ledger`] folds what has ended into sums that decay by epochs, and [`Ledger::rank`] says what
//! each user owes. An epoch is counted by the owner's published folds, never by a wall clock. `docs/design/debt.md` has the
//! reasoning.

mod books;
mod facts;
mod ledger;

pub use books::{Books, EpochRow, Fold, Sums, UseRow};
pub use facts::{Fact, Facts, Key};
pub use ledger::{Ledger, Owed, Shares, Sum};

/// Server time, in whole tenths of a millisecond.
pub type Use = u64;

/// The digest of a set of facts, or of a ranking: the same facts have the same one, whatever order they came in.
pub type Digest = [u8; 16];

/// First half of a SHA-256 over parts, each with its length before it.
fn digest<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Digest {
    use sha2::Digest as _;
    let mut hash = sha2::Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    let whole = hash.finalize();
    let mut half = [0; 16];
    half.copy_from_slice(&whole[..16]);
    half
}

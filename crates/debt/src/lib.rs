//! Fair-share debt: what each user used lately, relative to its share. Pure: no I/O and no clock; integers only, so
//! that the same facts give the same ranking, byte for byte, in every process and in any order of arrival.
//!
//! [`Facts`] merges what sites report as used. Facts are keyed by their source and only grow, so that one that
//! arrives twice, late or out of order changes nothing. [`Ledger`] folds ended leases into totals that decay by
//! epochs, and [`Ledger::rank`] orders users by what they owe. An epoch is counted by the leader's published folds,
//! never by a wall clock. `docs/design/debt.md` has the reasoning.

mod facts;
mod ledger;
mod tracker;

pub use facts::{Fact, Facts, Key};
pub use ledger::{Ledger, Shares, Total, UserDebt};
pub use tracker::{DebtTracker, EpochRow, Fold, Totals, UseRow};

/// Server time used, in units of 0.1 ms.
pub type ServerTime = u64;

/// The digest of a set of facts or of a ranking. It depends on the content alone, not on the order of arrival.
pub type Digest = [u8; 16];

/// Returns the first half of a SHA-256 over the parts, each prefixed with its length.
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

//! Fenced writes of one incarnation of a steward.

use crate::{CommitOutcome, Compare, FencedTransaction, SharedStore, Step, StoreError};

/// How many fences are tried before an outcome counts as unknown: with their waits and timeouts, far longer than a
/// membership's lease.
const FENCES: u32 = 12;

/// Why a write was not carried out.
#[derive(Debug, PartialEq, Eq)]
pub enum WriteError {
    /// A condition does not hold; further writes are possible.
    ConditionFailed,
    /// The lease is gone, or a transaction's outcome is unknown: no further writes are possible.
    Fatal(String),
}

impl From<StoreError> for WriteError {
    fn from(fault: StoreError) -> WriteError {
        WriteError::Fatal(fault.to_string())
    }
}

/// Writes to the store for one incarnation, in order. Each write is conditional on the witness as the previous one left it,
/// and the witness is bound to the incarnation's lease, so no write takes effect once the lease has ended in the store.
pub struct FencedWriter {
    pub store: SharedStore,
    lease: u64,
    key: Vec<u8>,
    /// The witness's revision; 0 before the first commit.
    witness: u64,
    /// How many commits were attempted; the witness's value.
    count: u64,
}

impl FencedWriter {
    /// `key` is the witness's key, which no other writer may use. It exists from the first commit on.
    pub fn new(store: SharedStore, lease: u64, key: Vec<u8>) -> FencedWriter {
        FencedWriter { store, lease, key, witness: 0, count: 0 }
    }

    /// Commits a transaction if the conditions hold and the lease has not ended; returns its revision.
    pub async fn commit(&mut self, compare: Vec<Compare>, then: Vec<Step>) -> Result<u64, WriteError> {
        self.count += 1;
        let transaction = FencedTransaction {
            witness: self.key.clone(),
            revision: self.witness,
            value: self.count.to_string().into_bytes(),
            compare,
            then,
            lease: self.lease,
        };
        let first = self.witness == 0;
        match self.store.commit(transaction, FENCES).await? {
            CommitOutcome::Committed { witness } => {
                self.witness = witness;
                Ok(witness)
            }
            // Before the first write the witness doesn't exist in any case.
            CommitOutcome::Aborted { witness: 0 } if !first => {
                Err(WriteError::Fatal("the store has let the membership go".to_owned()))
            }
            CommitOutcome::Aborted { witness } => {
                self.witness = witness;
                Err(WriteError::ConditionFailed)
            }
        }
    }
}

//! How one life writes at the store.

use crate::{Committed, Compare, Fault, Guarded, Shared, Step};

/// Fences before an outcome is given up: with their waits and deadlines far longer than a membership lasts.
const FENCES: u32 = 12;

/// Why a life can't go on, or a step was not carried out.
#[derive(Debug, PartialEq, Eq)]
pub enum Stop {
    /// What was compared is not so.
    Not,
    /// The membership is gone, or it is not known what became of a transaction.
    Over(String),
}

impl From<Fault> for Stop {
    fn from(fault: Fault) -> Stop {
        Stop::Over(fault.to_string())
    }
}

/// A life's hand at the store: what it writes goes in order, each write compared with the witness that the one before
/// wrote, which is bound to the life's lease. So nothing of it takes effect once its lease is over there.
pub struct Hand {
    pub store: Shared,
    lease: u64,
    key: Vec<u8>,
    /// The witness's revision, and how often it was written.
    witness: u64,
    count: u64,
}

impl Hand {
    /// `key`: of its witness, as no other hand's. It is there from the first commit on.
    pub fn new(store: Shared, lease: u64, key: Vec<u8>) -> Hand {
        Hand { store, lease, key, witness: 0, count: 0 }
    }

    /// Carries a transaction out on condition that the lease is not over; returns its revision.
    pub async fn commit(&mut self, compare: Vec<Compare>, then: Vec<Step>) -> Result<u64, Stop> {
        self.count += 1;
        let guarded = Guarded {
            witness: self.key.clone(),
            revision: self.witness,
            value: self.count.to_string().into_bytes(),
            compare,
            then,
            lease: self.lease,
        };
        let first = self.witness == 0;
        match self.store.commit(guarded, FENCES).await? {
            Committed::Yes { witness } => {
                self.witness = witness;
                Ok(witness)
            }
            // Before the first write it is not there either way.
            Committed::No { witness: 0 } if !first => {
                Err(Stop::Over("the store has let the membership go".to_owned()))
            }
            Committed::No { witness } => {
                self.witness = witness;
                Err(Stop::Not)
            }
        }
    }
}

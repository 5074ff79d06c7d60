//! Transactions whose outcome is resolved when the response is lost.

use ravenspar_store::{at, put, CommitOutcome, FencedTransaction, Range, Step, StoreError};

use crate::api::response_op::Response;
use crate::api::TxnRequest;
use crate::client::Client;
use crate::convert;

fn read(key: &[u8]) -> Step {
    Step::Read(Range { key: key.to_vec(), end: Vec::new(), since: 0 })
}

impl Client {
    /// Commits a guarded transaction or makes sure that it never takes effect. Fails if it is rejected, or if its outcome is
    /// still unknown after `fences` attempts to find it out; the writer must then read the witness before it uses it again.
    pub async fn commit(
        &self,
        transaction: &FencedTransaction,
        fences: u32,
    ) -> Result<CommitOutcome, StoreError> {
        let witness_unchanged = at(transaction.witness.clone(), transaction.revision);
        let compare = std::iter::once(&witness_unchanged).chain(&transaction.compare);
        let write_witness = put(transaction.witness.clone(), transaction.value.clone(), transaction.lease);
        let request = TxnRequest {
            compare: compare.map(convert::compare).collect(),
            success: transaction.then.iter().chain([&write_witness]).map(convert::step).collect(),
            failure: vec![convert::step(&read(&transaction.witness))],
        };
        let mut last_error = match self.txn(request).await {
            Ok(response) => {
                let revision = response.header.as_ref().map_or(0, |header| header.revision as u64);
                if response.succeeded {
                    return Ok(CommitOutcome::Committed { witness: revision });
                }
                return Ok(CommitOutcome::Aborted {
                    witness: witness(&response.responses).map_or(0, |(revision, _)| revision),
                });
            }
            // A rejected transaction had no effect, and no copy of it is in flight.
            Err(StoreError::Refused(why)) => return Err(StoreError::Refused(why)),
            Err(unknown) => unknown,
        };
        for fence in 0..fences {
            self.back_off(fence).await;
            match self.fence(transaction, fence).await {
                Ok(committed) => return Ok(committed),
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    /// Writes the witness unless the transaction has: whichever of the two comes first, the other can't succeed. A fence may
    /// be repeated, as its value tells it from the transaction's.
    async fn fence(&self, transaction: &FencedTransaction, number: u32) -> Result<CommitOutcome, StoreError> {
        let value = [&transaction.value[..], format!(" fenced {number}").as_bytes()].concat();
        let request = TxnRequest {
            compare: vec![convert::compare(&at(transaction.witness.clone(), transaction.revision))],
            success: vec![convert::step(&put(transaction.witness.clone(), value, transaction.lease))],
            failure: vec![convert::step(&read(&transaction.witness))],
        };
        let response = self.txn(request).await?;
        if response.succeeded {
            let witness = response.header.map_or(0, |header| header.revision as u64);
            return Ok(CommitOutcome::Aborted { witness });
        }
        // The transaction or an earlier fence has written the witness. If it is gone, it had been written before.
        Ok(match witness(&response.responses) {
            Some((witness, found)) if found == transaction.value => CommitOutcome::Committed { witness },
            Some((witness, _)) => CommitOutcome::Aborted { witness },
            None => return Err(StoreError::Unknown("the witness is gone, its lease with it".to_owned())),
        })
    }
}

/// The witness's revision and value in the responses of a transaction that read it.
fn witness(responses: &[crate::api::ResponseOp]) -> Option<(u64, Vec<u8>)> {
    let range = responses.iter().find_map(|response| match &response.response {
        Some(Response::ResponseRange(range)) => Some(range),
        _ => None,
    })?;
    range.kvs.first().map(|kv| (kv.mod_revision as u64, kv.value.clone()))
}

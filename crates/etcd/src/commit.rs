//! Transactions whose outcome is always known in the end.

use ravenspar_store::{at, put, Committed, Fault, Guarded, Range, Step};

use crate::api::response_op::Response;
use crate::api::TxnRequest;
use crate::client::Client;
use crate::words;

fn read(key: &[u8]) -> Step {
    Step::Read(Range { key: key.to_vec(), end: Vec::new(), since: 0 })
}

impl Client {
    /// Carries a guarded transaction out, or makes sure that it never is. Fails only when no endpoint could be asked what
    /// became of it, `fences` times; then nothing is known, and the writer may not write by this witness any more before
    /// it has read it.
    pub async fn commit(&self, guarded: &Guarded, fences: u32) -> Result<Committed, Fault> {
        let unmoved = at(guarded.witness.clone(), guarded.revision);
        let compare = std::iter::once(&unmoved).chain(&guarded.compare);
        let witness_step = put(guarded.witness.clone(), guarded.value.clone(), guarded.lease);
        let request = TxnRequest {
            compare: compare.map(words::compare).collect(),
            success: guarded.then.iter().chain([&witness_step]).map(words::step).collect(),
            failure: vec![words::step(&read(&guarded.witness))],
        };
        let mut last = match self.txn(request).await {
            Ok(answer) => {
                let revision = answer.header.as_ref().map_or(0, |header| header.revision as u64);
                if answer.succeeded {
                    return Ok(Committed::Yes { witness: revision });
                }
                return Ok(Committed::No {
                    witness: witness(&answer.responses).map_or(0, |(revision, _)| revision),
                });
            }
            // What was refused was not carried out, and nothing of it is under way.
            Err(Fault::Refused(why)) => return Err(Fault::Refused(why)),
            Err(unknown) => unknown,
        };
        for fence in 0..fences {
            self.rest(fence).await;
            match self.fence(guarded, fence).await {
                Ok(committed) => return Ok(committed),
                Err(fault) => last = fault,
            }
        }
        Err(last)
    }

    /// Writes the witness unless the transaction has: whichever of the two came first, the other can't succeed. A fence
    /// may itself be repeated: its value says that it is one.
    async fn fence(&self, guarded: &Guarded, number: u32) -> Result<Committed, Fault> {
        let value = [&guarded.value[..], format!(" fenced {number}").as_bytes()].concat();
        let request = TxnRequest {
            compare: vec![words::compare(&at(guarded.witness.clone(), guarded.revision))],
            success: vec![words::step(&put(guarded.witness.clone(), value, guarded.lease))],
            failure: vec![words::step(&read(&guarded.witness))],
        };
        let answer = self.txn(request).await?;
        if answer.succeeded {
            let witness = answer.header.map_or(0, |header| header.revision as u64);
            return Ok(Committed::No { witness });
        }
        // Somebody has written it: the transaction, or an earlier fence. A witness that is gone was written first.
        Ok(match witness(&answer.responses) {
            Some((witness, found)) if found == guarded.value => Committed::Yes { witness },
            Some((witness, _)) => Committed::No { witness },
            None => return Err(Fault::Unknown("the witness is gone, its lease with it".to_owned())),
        })
    }
}

/// The witness's revision and value in an answer that read it.
fn witness(responses: &[crate::api::ResponseOp]) -> Option<(u64, Vec<u8>)> {
    let range = responses.iter().find_map(|response| match &response.response {
        Some(Response::ResponseRange(range)) => Some(range),
        _ => None,
    })?;
    range.kvs.first().map(|kv| (kv.mod_revision as u64, kv.value.clone()))
}

//! Transactions whose outcome is always known in the end.

use crate::api::compare::{CompareResult, CompareTarget, TargetUnion};
use crate::api::request_op::Request;
use crate::api::response_op::Response;
use crate::api::{Compare, PutRequest, RangeRequest, RequestOp, TxnRequest};
use crate::client::{Client, Fault};

/// What became of a guarded transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Committed {
    /// It was carried out; the witness now has this revision.
    Yes { witness: i64 },
    /// It was not, and never will be; the witness now has this revision.
    No { witness: i64 },
}

/// A transaction with a witness: a key that its writer alone writes, with each of its transactions.
///
/// It compares the witness's revision and writes the witness anew. So once anything else has written the witness, a
/// transaction that is still under way somewhere can't succeed any more: that is what makes its outcome final.
#[derive(Clone, Debug)]
pub struct Guarded {
    pub witness: Vec<u8>,
    /// The witness's revision of modification; 0: it is not there yet.
    pub revision: i64,
    /// No other write of the witness has had this value.
    pub value: Vec<u8>,
    /// What else has to hold, and what is to be done then.
    pub compare: Vec<Compare>,
    pub then: Vec<RequestOp>,
    /// The lease that the witness is bound to; 0: none.
    pub lease: i64,
}

fn unmoved(key: &[u8], revision: i64) -> Compare {
    Compare {
        result: CompareResult::Equal as i32,
        target: CompareTarget::Mod as i32,
        key: key.to_vec(),
        target_union: Some(TargetUnion::ModRevision(revision)),
    }
}

fn put(key: &[u8], value: &[u8], lease: i64) -> RequestOp {
    let put = PutRequest { key: key.to_vec(), value: value.to_vec(), lease, prev_kv: false };
    RequestOp { request: Some(Request::RequestPut(put)) }
}

fn read(key: &[u8]) -> RequestOp {
    let range = RangeRequest { key: key.to_vec(), ..RangeRequest::default() };
    RequestOp { request: Some(Request::RequestRange(range)) }
}

impl Client {
    /// Carries a guarded transaction out, or makes sure that it never is. Fails only when no endpoint could be asked what
    /// became of it, `fences` times; then nothing is known, and the writer may not write by this witness any more before
    /// it has read it.
    pub async fn commit(&self, guarded: &Guarded, fences: u32) -> Result<Committed, Fault> {
        let mut compare = vec![unmoved(&guarded.witness, guarded.revision)];
        compare.extend(guarded.compare.iter().cloned());
        let mut success = guarded.then.clone();
        success.push(put(&guarded.witness, &guarded.value, guarded.lease));
        let request = TxnRequest { compare, success, failure: vec![read(&guarded.witness)] };
        let mut last = match self.txn(request).await {
            Ok(answer) => {
                let revision = answer.header.as_ref().map_or(0, |header| header.revision);
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
            compare: vec![unmoved(&guarded.witness, guarded.revision)],
            success: vec![put(&guarded.witness, &value, guarded.lease)],
            failure: vec![read(&guarded.witness)],
        };
        let answer = self.txn(request).await?;
        if answer.succeeded {
            return Ok(Committed::No { witness: answer.header.map_or(0, |header| header.revision) });
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
fn witness(responses: &[crate::api::ResponseOp]) -> Option<(i64, Vec<u8>)> {
    let range = responses.iter().find_map(|response| match &response.response {
        Some(Response::ResponseRange(range)) => Some(range),
        _ => None,
    })?;
    range.kvs.first().map(|kv| (kv.mod_revision, kv.value.clone()))
}

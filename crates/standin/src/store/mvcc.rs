//! Keys, revisions, leases and transactions. Free of I/O: the caller passes the time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use ravenspar_etcd::api::compare::{CompareResult, CompareTarget, TargetUnion};
use ravenspar_etcd::api::event::EventType;
use ravenspar_etcd::api::request_op::Request;
use ravenspar_etcd::api::response_op::Response;
use ravenspar_etcd::api::{
    Compare, DeleteRangeRequest, DeleteRangeResponse, Event, KeyValue, PutRequest, PutResponse, RangeRequest,
    RangeResponse, RequestOp, ResponseHeader, ResponseOp, TxnRequest, TxnResponse,
};

use crate::{Time, SECOND};

#[derive(Clone, Debug)]
struct Lease {
    seconds: i64,
    until: Time,
}

/// The store's state. A new one has revision 1, as etcd has.
#[derive(Clone, Debug)]
pub struct Mvcc {
    cluster: u64,
    revision: i64,
    keys: BTreeMap<Vec<u8>, KeyValue>,
    leases: BTreeMap<i64, Lease>,
    /// The time of the last call.
    now: Time,
    /// Changes of keys since the compaction, in order.
    log: VecDeque<KeyChange>,
    /// The revision up to which the log has been compacted.
    compacted: i64,
}

/// A key before and after a revision.
#[derive(Clone, Debug)]
struct KeyChange {
    at: Time,
    revision: i64,
    key: Vec<u8>,
    before: Option<KeyValue>,
    after: Option<KeyValue>,
}

/// A change of a key as the lab's judges read it. `value` is `None` if the key was deleted.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Change {
    pub at: Time,
    pub revision: i64,
    pub key: String,
    pub value: Option<String>,
}

/// Maximum number of changes kept; older ones are compacted.
const MAX_CHANGES: usize = 200_000;

/// Why a call is refused, after the API's errors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    LeaseNotFound,
    LeaseExists,
    FutureRevision,
    Compacted,
    TooManyOps,
    DuplicateKey,
}

/// Maximum number of operations in a transaction: etcd's default (`--max-txn-ops`).
const MAX_TXN_OPS: usize = 128;

/// Returns true if a key is in a range as the API defines it.
fn in_range(found: &[u8], key: &[u8], end: &[u8]) -> bool {
    match end {
        [] => found == key,
        [0] => found >= key,
        end => found >= key && found < end,
    }
}

impl Mvcc {
    pub fn new(cluster: u64) -> Mvcc {
        Mvcc {
            cluster,
            revision: 1,
            now: 0,
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            log: VecDeque::new(),
            compacted: 0,
        }
    }

    /// Returns the header of a response at the current revision.
    pub fn header(&self) -> ResponseHeader {
        ResponseHeader { cluster_id: self.cluster, member_id: 1, revision: self.revision, raft_term: 1 }
    }

    /// Revokes expired leases. The keys of each are deleted at one revision.
    pub fn expire(&mut self, now: Time) {
        self.now = now;
        let expired: Vec<i64> =
            self.leases.iter().filter(|(_, lease)| now >= lease.until).map(|(&id, _)| id).collect();
        expired.into_iter().for_each(|id| _ = self.revoke(id));
    }

    /// Grants a lease and returns its id; id 0 lets the store choose one.
    pub fn grant(&mut self, now: Time, id: i64, seconds: i64) -> Result<i64, Refusal> {
        let id = if id == 0 { self.leases.keys().last().map_or(1, |last| last + 1) } else { id };
        if self.leases.contains_key(&id) {
            return Err(Refusal::LeaseExists);
        }
        let seconds = seconds.max(1);
        self.leases.insert(id, Lease { seconds, until: now + seconds * SECOND });
        Ok(id)
    }

    /// Ends a lease and deletes its keys at one revision.
    pub fn revoke(&mut self, id: i64) -> Result<(), Refusal> {
        self.leases.remove(&id).ok_or(Refusal::LeaseNotFound)?;
        let bound = self.keys.values().filter(|kv| kv.lease == id);
        let bound: Vec<Vec<u8>> = bound.map(|kv| kv.key.clone()).collect();
        self.revision += i64::from(!bound.is_empty());
        let revision = self.revision;
        bound.iter().for_each(|key| self.remove(revision, key));
        Ok(())
    }

    /// Returns the ids of all leases.
    pub fn leases(&self) -> Vec<i64> {
        self.leases.keys().copied().collect()
    }

    /// Renews a lease; returns its seconds, or 0 if it doesn't exist.
    pub fn renew(&mut self, now: Time, id: i64) -> i64 {
        let Some(lease) = self.leases.get_mut(&id) else { return 0 };
        lease.until = now + lease.seconds * SECOND;
        lease.seconds
    }

    fn note(&mut self, revision: i64, key: &[u8], before: Option<KeyValue>, after: Option<KeyValue>) {
        self.log.push_back(KeyChange { at: self.now, revision, key: key.to_vec(), before, after });
        if self.log.len() > MAX_CHANGES {
            self.compacted = self.log.pop_front().map_or(0, |change| change.revision);
        }
    }

    fn remove(&mut self, revision: i64, key: &[u8]) {
        if let Some(before) = self.keys.remove(key) {
            self.note(revision, key, Some(before), None);
        }
    }

    /// Discards the history before a revision.
    pub fn compact(&mut self, revision: i64) -> Result<(), Refusal> {
        if revision <= self.compacted {
            return Err(Refusal::Compacted);
        }
        if revision > self.revision {
            return Err(Refusal::FutureRevision);
        }
        self.compacted = revision;
        self.log.retain(|change| change.revision >= revision);
        Ok(())
    }

    /// Returns the revision up to which the history has been compacted.
    pub fn compacted(&self) -> i64 {
        self.compacted
    }

    /// Returns all changes that are kept, in order.
    pub fn changes(&self) -> Vec<Change> {
        self.changes_after(0)
    }

    /// Returns the changes after a revision, in order.
    pub fn changes_after(&self, revision: i64) -> Vec<Change> {
        let to_change = |change: &KeyChange| Change {
            at: change.at,
            revision: change.revision,
            key: String::from_utf8_lossy(&change.key).into_owned(),
            value: change.after.as_ref().map(|kv| String::from_utf8_lossy(&kv.value).into_owned()),
        };
        let from = self.log.partition_point(|change| change.revision <= revision);
        self.log.range(from..).map(to_change).collect()
    }

    /// Returns the events of a range from a revision on, in order; `None` if that revision has been compacted.
    pub fn events(&self, key: &[u8], end: &[u8], from: i64) -> Option<Vec<(i64, Event)>> {
        if from <= self.compacted {
            return None;
        }
        let since = self.log.iter().skip_while(|change| change.revision < from);
        let found = since.filter(|change| in_range(&change.key, key, end));
        let to_event = |change: &KeyChange| {
            let gone =
                KeyValue { key: change.key.clone(), mod_revision: change.revision, ..KeyValue::default() };
            let kind = if change.after.is_some() { EventType::Put } else { EventType::Delete };
            let kv = Some(change.after.clone().unwrap_or(gone));
            (change.revision, Event { r#type: kind as i32, kv, prev_kv: change.before.clone() })
        };
        Some(found.map(to_event).collect())
    }

    /// Returns the keys of a range as they were at an earlier revision.
    fn past(&self, key: &[u8], end: &[u8], revision: i64) -> Vec<KeyValue> {
        let mut then: BTreeMap<&[u8], Option<&KeyValue>> =
            self.within(key, end).map(|kv| (kv.key.as_slice(), Some(kv))).collect();
        // The first change after the revision holds the key's state at it.
        let later =
            self.log.iter().filter(|change| change.revision > revision && in_range(&change.key, key, end));
        for change in later.rev() {
            then.insert(&change.key, change.before.as_ref());
        }
        then.into_values().flatten().cloned().collect()
    }

    fn within<'a>(&'a self, key: &[u8], end: &[u8]) -> impl Iterator<Item = &'a KeyValue> {
        let (key, end) = (key.to_vec(), end.to_vec());
        let from = self.keys.range(key.clone()..);
        from.take_while(move |(found, _)| in_range(found, &key, &end)).map(|(_, kv)| kv)
    }

    /// Reads a range, at an earlier revision if one is requested.
    pub fn range(&self, request: &RangeRequest) -> Result<RangeResponse, Refusal> {
        if request.revision > self.revision {
            return Err(Refusal::FutureRevision);
        }
        if request.revision > 0 && request.revision < self.compacted {
            return Err(Refusal::Compacted);
        }
        let newer = |kv: &&KeyValue| kv.mod_revision >= request.min_mod_revision;
        let past;
        let all: Vec<&KeyValue> = if request.revision > 0 && request.revision < self.revision {
            past = self.past(&request.key, &request.range_end, request.revision);
            past.iter().filter(newer).collect()
        } else {
            self.within(&request.key, &request.range_end).filter(newer).collect()
        };
        let limit = if request.limit > 0 { request.limit as usize } else { usize::MAX };
        let value = |kv: &KeyValue| if request.keys_only { Vec::new() } else { kv.value.clone() };
        let shown = all.iter().take(if request.count_only { 0 } else { limit });
        Ok(RangeResponse {
            header: Some(self.header()),
            kvs: shown.map(|kv| KeyValue { value: value(kv), ..(*kv).clone() }).collect(),
            more: all.len() > limit,
            count: all.len() as i64,
        })
    }

    fn put(&mut self, revision: i64, request: &PutRequest) -> Result<PutResponse, Refusal> {
        if request.lease != 0 && !self.leases.contains_key(&request.lease) {
            return Err(Refusal::LeaseNotFound);
        }
        let before = self.keys.get(&request.key).cloned();
        let kv = KeyValue {
            key: request.key.clone(),
            create_revision: before.as_ref().map_or(revision, |kv| kv.create_revision),
            mod_revision: revision,
            version: before.as_ref().map_or(0, |kv| kv.version) + 1,
            value: request.value.clone(),
            lease: request.lease,
        };
        self.keys.insert(request.key.clone(), kv.clone());
        self.note(revision, &request.key, before.clone(), Some(kv));
        Ok(PutResponse { header: None, prev_kv: before.filter(|_| request.prev_kv) })
    }

    fn delete(&mut self, revision: i64, request: &DeleteRangeRequest) -> DeleteRangeResponse {
        let gone: Vec<KeyValue> = self.within(&request.key, &request.range_end).cloned().collect();
        gone.iter().for_each(|kv| self.remove(revision, &kv.key));
        let deleted = gone.len() as i64;
        DeleteRangeResponse {
            header: None,
            deleted,
            prev_kvs: if request.prev_kv { gone } else { Vec::new() },
        }
    }

    fn compare_holds(&self, compare: &Compare) -> bool {
        let missing = KeyValue::default();
        let kv = self.keys.get(&compare.key);
        // A missing key has no value to compare, and 0 for everything else.
        let found = kv.unwrap_or(&missing);
        let order = match (compare.target(), &compare.target_union) {
            (CompareTarget::Version, Some(TargetUnion::Version(n))) => found.version.cmp(n),
            (CompareTarget::Create, Some(TargetUnion::CreateRevision(n))) => found.create_revision.cmp(n),
            (CompareTarget::Mod, Some(TargetUnion::ModRevision(n))) => found.mod_revision.cmp(n),
            (CompareTarget::Lease, Some(TargetUnion::Lease(n))) => found.lease.cmp(n),
            (CompareTarget::Value, Some(TargetUnion::Value(value))) => match kv {
                Some(kv) => kv.value.cmp(value),
                None => return false,
            },
            _ => return false,
        };
        match compare.result() {
            CompareResult::Equal => order.is_eq(),
            CompareResult::Greater => order.is_gt(),
            CompareResult::Less => order.is_lt(),
            CompareResult::NotEqual => order.is_ne(),
        }
    }

    /// Returns an error if any of the operations would be refused, in which case none of them is executed.
    fn check(&self, operations: &[RequestOp]) -> Result<(), Refusal> {
        let mut keys = BTreeSet::new();
        for operation in operations {
            match &operation.request {
                Some(Request::RequestPut(put)) => {
                    if put.lease != 0 && !self.leases.contains_key(&put.lease) {
                        return Err(Refusal::LeaseNotFound);
                    }
                    if !keys.insert(&put.key) {
                        return Err(Refusal::DuplicateKey);
                    }
                }
                Some(Request::RequestRange(range)) if range.revision > self.revision => {
                    return Err(Refusal::FutureRevision);
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Executes a transaction in full or, if it is refused, not at all. Its writes share one revision.
    pub fn txn(&mut self, request: &TxnRequest) -> Result<TxnResponse, Refusal> {
        let sizes = [request.compare.len(), request.success.len(), request.failure.len()];
        if sizes.into_iter().any(|size| size > MAX_TXN_OPS) {
            return Err(Refusal::TooManyOps);
        }
        let (mut response, wrote) = self.execute(request, self.revision + 1)?;
        self.revision += i64::from(wrote);
        response.header = Some(self.header());
        Ok(response)
    }

    fn execute(&mut self, request: &TxnRequest, revision: i64) -> Result<(TxnResponse, bool), Refusal> {
        let succeeded = request.compare.iter().all(|compare| self.compare_holds(compare));
        let operations = if succeeded { &request.success } else { &request.failure };
        self.check(operations)?;
        let (mut responses, mut wrote) = (Vec::new(), false);
        for RequestOp { request } in operations {
            let response = match request {
                Some(Request::RequestRange(range)) => Response::ResponseRange(self.range(range)?),
                Some(Request::RequestPut(put)) => {
                    wrote = true;
                    Response::ResponsePut(self.put(revision, put)?)
                }
                Some(Request::RequestDeleteRange(delete)) => {
                    let deleted = self.delete(revision, delete);
                    wrote |= deleted.deleted > 0;
                    Response::ResponseDeleteRange(deleted)
                }
                Some(Request::RequestTxn(inner)) => {
                    let (response, inner) = self.execute(inner, revision)?;
                    wrote |= inner;
                    Response::ResponseTxn(response)
                }
                None => continue,
            };
            responses.push(ResponseOp { response: Some(response) });
        }
        Ok((TxnResponse { header: None, succeeded, responses }, wrote))
    }
}

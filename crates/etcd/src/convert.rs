//! Converts between the store's interface and etcd's messages.

use futures_util::future::BoxFuture;
use ravenspar_store::{
    CommitOutcome, Compare, CompareOp, FencedTransaction, Operand, Page, Range, Read, Row, Step, Store,
    StoreError,
};

use crate::api;
use crate::api::compare::{CompareResult, CompareTarget, TargetUnion};
use crate::api::request_op::Request;
use crate::api::response_op::Response;
use crate::api::{DeleteRangeRequest, KeyValue, PutRequest, RangeRequest, RequestOp, TxnRequest};
use crate::client::Client;

pub(crate) fn compare(compare: &Compare) -> api::Compare {
    let result = match compare.how {
        CompareOp::Equal => CompareResult::Equal,
        CompareOp::Greater => CompareResult::Greater,
        CompareOp::Less => CompareResult::Less,
        CompareOp::NotEqual => CompareResult::NotEqual,
    };
    let (target, union) = match &compare.by {
        Operand::Version(version) => (CompareTarget::Version, TargetUnion::Version(*version as i64)),
        Operand::Created(revision) => (CompareTarget::Create, TargetUnion::CreateRevision(*revision as i64)),
        Operand::Modified(revision) => (CompareTarget::Mod, TargetUnion::ModRevision(*revision as i64)),
        Operand::Lease(lease) => (CompareTarget::Lease, TargetUnion::Lease(*lease as i64)),
        Operand::Value(value) => (CompareTarget::Value, TargetUnion::Value(value.clone())),
    };
    api::Compare {
        result: result as i32,
        target: target as i32,
        key: compare.key.clone(),
        target_union: Some(union),
    }
}

fn range(range: &Range) -> RangeRequest {
    RangeRequest {
        key: range.key.clone(),
        range_end: range.end.clone(),
        min_mod_revision: range.since as i64,
        ..RangeRequest::default()
    }
}

pub(crate) fn step(step: &Step) -> RequestOp {
    let request = match step {
        Step::Read(read) => Request::RequestRange(range(read)),
        Step::Put { key, value, lease } => Request::RequestPut(PutRequest {
            key: key.clone(),
            value: value.clone(),
            lease: *lease as i64,
            prev_kv: false,
        }),
        Step::Delete(range) => Request::RequestDeleteRange(DeleteRangeRequest {
            key: range.key.clone(),
            range_end: range.end.clone(),
            ..DeleteRangeRequest::default()
        }),
    };
    RequestOp { request: Some(request) }
}

fn row(kv: KeyValue) -> Row {
    Row {
        key: kv.key,
        value: kv.value,
        created: kv.create_revision as u64,
        modified: kv.mod_revision as u64,
        version: kv.version as u64,
        lease: kv.lease as u64,
    }
}

impl Store for Client {
    fn read(&self, ranges: Vec<Range>) -> BoxFuture<'_, Result<Read, StoreError>> {
        Box::pin(async move {
            let success = ranges.into_iter().map(|range| step(&Step::Read(range))).collect();
            let response = Client::read(self, TxnRequest { success, ..TxnRequest::default() }).await?;
            let header = response.header.unwrap_or_default();
            let rows = response.responses.into_iter().map(|op| match op.response {
                Some(Response::ResponseRange(range)) => range.kvs.into_iter().map(row).collect(),
                _ => Vec::new(),
            });
            let ranges = rows.collect();
            Ok(Read { cluster: header.cluster_id, revision: header.revision as u64, ranges })
        })
    }

    fn page(
        &self,
        page_range: Range,
        limit: usize,
        revision: u64,
    ) -> BoxFuture<'_, Result<Page, StoreError>> {
        Box::pin(async move {
            let request =
                RangeRequest { limit: limit as i64, revision: revision as i64, ..range(&page_range) };
            let response = self.range(request).await?;
            // The header has the store's current revision, whichever one was requested.
            let current = response.header.as_ref().map_or(0, |header| header.revision as u64);
            let rows = response.kvs.into_iter().map(row).collect();
            Ok(Page { revision: if revision > 0 { revision } else { current }, rows, more: response.more })
        })
    }

    fn commit(
        &self,
        transaction: FencedTransaction,
        fences: u32,
    ) -> BoxFuture<'_, Result<CommitOutcome, StoreError>> {
        Box::pin(async move { Client::commit(self, &transaction, fences).await })
    }

    fn grant(&self, lease: u64, seconds: u32) -> BoxFuture<'_, Result<u32, StoreError>> {
        Box::pin(async move {
            let seconds = self.lease_grant(lease as i64, i64::from(seconds)).await?;
            Ok(u32::try_from(seconds).unwrap_or(u32::MAX))
        })
    }

    fn renew(&self, lease: u64) -> BoxFuture<'_, Result<Option<u32>, StoreError>> {
        Box::pin(async move {
            let seconds = self.keep_alive(lease as i64).await?;
            Ok(seconds.map(|seconds| u32::try_from(seconds).unwrap_or(u32::MAX)))
        })
    }

    fn revoke(&self, lease: u64) -> BoxFuture<'_, Result<(), StoreError>> {
        Box::pin(async move { self.lease_revoke(lease as i64).await })
    }
}

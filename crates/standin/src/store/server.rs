//! The stand-in's gRPC server.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ravenspar_etcd::api::kv_server::{Kv, KvServer};
use ravenspar_etcd::api::lease_server::{Lease, LeaseServer};
use ravenspar_etcd::api::request_op::Request as Op;
use ravenspar_etcd::api::response_op::Response as OpResponse;
use ravenspar_etcd::api::watch_server::WatchServer;
use ravenspar_etcd::api::*;
use tokio::sync::mpsc;
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream};
use tokio_stream::{Stream, StreamExt};
use tonic::{Request, Response, Status, Streaming};

use super::mvcc::{Mvcc, Refusal};
use crate::Clock;

/// Faults injected into the store.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Nothing is executed; calls fail as unavailable.
    pub away: bool,
    /// Delay before each call is executed.
    pub slow: Duration,
    /// Number of transactions and lease grants that are executed but whose responses are lost.
    pub lose_answers: u32,
    /// Number of transactions that are executed only after this delay, while their callers get an error at once.
    pub late: u32,
    pub late_by: Duration,
}

pub(super) struct Inner {
    pub(super) mvcc: Mvcc,
    pub(super) faults: Faults,
    requests: u64,
}

impl Inner {
    /// Returns the response, or an error if it is to be lost.
    fn answer<T>(&mut self, answer: T) -> Result<Response<T>, Status> {
        if self.faults.lose_answers == 0 {
            return Ok(Response::new(answer));
        }
        self.faults.lose_answers -= 1;
        Err(Status::unavailable("etcdserver: request timed out"))
    }
}

/// The store; clones share its state.
#[derive(Clone)]
pub struct Store {
    inner: Arc<Mutex<Inner>>,
    clock: Clock,
}

fn refusal_status(refusal: Refusal) -> Status {
    match refusal {
        Refusal::LeaseNotFound => Status::not_found("etcdserver: requested lease not found"),
        Refusal::LeaseExists => Status::failed_precondition("etcdserver: lease already exists"),
        Refusal::FutureRevision => {
            Status::out_of_range("etcdserver: mvcc: required revision is a future revision")
        }
        Refusal::Compacted => Status::out_of_range("etcdserver: mvcc: required revision has been compacted"),
        Refusal::TooManyOps => Status::invalid_argument("etcdserver: too many operations in txn request"),
        Refusal::DuplicateKey => Status::invalid_argument("etcdserver: duplicate key given in txn request"),
    }
}

impl Store {
    pub fn new(cluster: u64) -> Store {
        let inner = Inner { mvcc: Mvcc::new(cluster), faults: Faults::default(), requests: 0 };
        Store { inner: Arc::new(Mutex::new(inner)), clock: Clock::default() }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.clock.now();
        inner.mvcc.expire(now);
        inner
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Returns the number of calls received.
    pub fn requests(&self) -> u64 {
        self.lock().requests
    }

    /// Returns the value of a key and its revision.
    pub fn get(&self, key: &[u8]) -> Option<(Vec<u8>, i64)> {
        let range = RangeRequest { key: key.to_vec(), ..RangeRequest::default() };
        let found = self.lock().mvcc.range(&range).ok()?;
        found.kvs.into_iter().next().map(|kv| (kv.value, kv.mod_revision))
    }

    /// Returns all changes of keys that are kept.
    pub fn changes(&self) -> Vec<super::Change> {
        self.lock().mvcc.changes()
    }

    /// Returns the changes of keys after a revision.
    pub fn changes_after(&self, revision: i64) -> Vec<super::Change> {
        self.lock().mvcc.changes_after(revision)
    }

    /// Returns the current revision.
    pub fn revision(&self) -> i64 {
        self.lock().mvcc.header().revision
    }

    pub fn now(&self) -> crate::Time {
        self.clock.now()
    }

    /// Returns the ids of all leases.
    pub fn leases(&self) -> Vec<i64> {
        self.lock().mvcc.leases()
    }

    /// Revokes a lease before it expires.
    pub fn lose_lease(&self, id: i64) {
        let _ = self.lock().mvcc.revoke(id);
    }

    /// Writes a key, without a lease.
    pub fn put_key(&self, key: &str, value: &str) {
        let put = PutRequest { key: key.into(), value: value.into(), lease: 0, prev_kv: false };
        self.write_key(Op::RequestPut(put));
    }

    /// Deletes a key.
    pub fn delete_key(&self, key: &str) {
        self.write_key(Op::RequestDeleteRange(DeleteRangeRequest { key: key.into(), ..Default::default() }));
    }

    fn write_key(&self, op: Op) {
        let success = vec![RequestOp { request: Some(op) }];
        let _ = self.lock().mvcc.txn(&TxnRequest { success, ..TxnRequest::default() });
    }

    /// Discards the history before the current revision.
    pub fn compact_all(&self) {
        let mut inner = self.lock();
        let revision = inner.mvcc.header().revision;
        let _ = inner.mvcc.compact(revision);
    }

    /// Discards the history before a revision; returns false if that is refused.
    pub fn compact(&self, revision: i64) -> bool {
        self.lock().mvcc.compact(revision).is_ok()
    }

    /// Listens on loopback until the runtime ends.
    pub async fn listen(&self) -> std::io::Result<SocketAddr> {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let server = tonic::transport::Server::builder()
            .add_service(KvServer::new(self.clone()))
            .add_service(LeaseServer::new(self.clone()))
            .add_service(WatchServer::new(self.clone()));
        // Without this, Nagle's algorithm and delayed acknowledgements would make each call take 40 ms.
        let incoming = TcpListenerStream::new(listener).map(|socket| {
            let socket = socket?;
            socket.set_nodelay(true)?;
            Ok::<_, std::io::Error>(socket)
        });
        tokio::spawn(server.serve_with_incoming(incoming));
        Ok(address)
    }

    /// Counts a call and applies the faults that concern every call.
    pub(super) async fn begin_call(&self) -> Result<(), Status> {
        let (away, slow) = {
            let mut inner = self.lock();
            inner.requests += 1;
            (inner.faults.away, inner.faults.slow)
        };
        tokio::time::sleep(slow).await;
        match away {
            true => Err(Status::unavailable("etcdserver: no leader")),
            false => Ok(()),
        }
    }

    /// Executes one operation as a transaction of its own.
    async fn execute_one(&self, op: Op) -> Result<(Option<OpResponse>, ResponseHeader), Status> {
        self.begin_call().await?;
        let request = TxnRequest { success: vec![RequestOp { request: Some(op) }], ..TxnRequest::default() };
        let mut inner = self.lock();
        let answer = inner.mvcc.txn(&request).map_err(refusal_status)?;
        let header = inner.mvcc.header();
        Ok((answer.responses.into_iter().next().and_then(|op| op.response), header))
    }
}

#[tonic::async_trait]
impl Kv for Store {
    async fn range(&self, request: Request<RangeRequest>) -> Result<Response<RangeResponse>, Status> {
        self.begin_call().await?;
        Ok(Response::new(self.lock().mvcc.range(request.get_ref()).map_err(refusal_status)?))
    }

    async fn put(&self, request: Request<PutRequest>) -> Result<Response<PutResponse>, Status> {
        match self.execute_one(Op::RequestPut(request.into_inner())).await? {
            (Some(OpResponse::ResponsePut(put)), header) => {
                Ok(Response::new(PutResponse { header: Some(header), ..put }))
            }
            _ => Err(Status::internal("unexpected response type")),
        }
    }

    async fn delete_range(
        &self,
        request: Request<DeleteRangeRequest>,
    ) -> Result<Response<DeleteRangeResponse>, Status> {
        match self.execute_one(Op::RequestDeleteRange(request.into_inner())).await? {
            (Some(OpResponse::ResponseDeleteRange(gone)), header) => {
                Ok(Response::new(DeleteRangeResponse { header: Some(header), ..gone }))
            }
            _ => Err(Status::internal("unexpected response type")),
        }
    }

    async fn compact(
        &self,
        request: Request<CompactionRequest>,
    ) -> Result<Response<CompactionResponse>, Status> {
        self.begin_call().await?;
        let mut inner = self.lock();
        inner.mvcc.compact(request.get_ref().revision).map_err(refusal_status)?;
        Ok(Response::new(CompactionResponse { header: Some(inner.mvcc.header()) }))
    }

    async fn txn(&self, request: Request<TxnRequest>) -> Result<Response<TxnResponse>, Status> {
        self.begin_call().await?;
        let request = request.into_inner();
        let late = {
            let mut inner = self.lock();
            let late = inner.faults.late > 0;
            inner.faults.late -= u32::from(late);
            late.then_some(inner.faults.late_by)
        };
        if let Some(wait) = late {
            let store = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(wait).await;
                let _ = store.lock().mvcc.txn(&request);
            });
            return Err(Status::unavailable("etcdserver: request timed out"));
        }
        let mut inner = self.lock();
        let answer = inner.mvcc.txn(&request).map_err(refusal_status)?;
        inner.answer(answer)
    }
}

#[tonic::async_trait]
impl Lease for Store {
    async fn lease_grant(
        &self,
        request: Request<LeaseGrantRequest>,
    ) -> Result<Response<LeaseGrantResponse>, Status> {
        self.begin_call().await?;
        let LeaseGrantRequest { ttl, id } = request.into_inner();
        let now = self.clock.now();
        let mut inner = self.lock();
        let id = inner.mvcc.grant(now, id, ttl).map_err(refusal_status)?;
        let header = Some(inner.mvcc.header());
        inner.answer(LeaseGrantResponse { header, id, ttl: ttl.max(1), error: String::new() })
    }

    async fn lease_revoke(
        &self,
        request: Request<LeaseRevokeRequest>,
    ) -> Result<Response<LeaseRevokeResponse>, Status> {
        self.begin_call().await?;
        let mut inner = self.lock();
        inner.mvcc.revoke(request.get_ref().id).map_err(refusal_status)?;
        Ok(Response::new(LeaseRevokeResponse { header: Some(inner.mvcc.header()) }))
    }

    type LeaseKeepAliveStream = Pin<Box<dyn Stream<Item = Result<LeaseKeepAliveResponse, Status>> + Send>>;

    async fn lease_keep_alive(
        &self,
        request: Request<Streaming<LeaseKeepAliveRequest>>,
    ) -> Result<Response<Self::LeaseKeepAliveStream>, Status> {
        let (answers, queue) = mpsc::channel(4);
        let (store, mut requests) = (self.clone(), request.into_inner());
        tokio::spawn(async move {
            while let Ok(Some(LeaseKeepAliveRequest { id })) = requests.message().await {
                let answer = store.begin_call().await.map(|()| {
                    let now = store.clock.now();
                    let mut inner = store.lock();
                    let ttl = inner.mvcc.renew(now, id);
                    LeaseKeepAliveResponse { header: Some(inner.mvcc.header()), id, ttl }
                });
                if answers.send(answer).await.is_err() {
                    return;
                }
            }
        });
        Ok(Response::new(Box::pin(ReceiverStream::new(queue))))
    }
}

//! A store with etcd's public API, on the project's stand-in, whose watch can deliver two events in the wrong order after a
//! reconnect.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ravenspar_etcd::api::event::EventType;
use ravenspar_etcd::api::kv_server::KvServer;
use ravenspar_etcd::api::lease_server::LeaseServer;
use ravenspar_etcd::api::watch_request::RequestUnion;
use ravenspar_etcd::api::watch_server::{Watch, WatchServer};
use ravenspar_etcd::api::{Event, KeyValue, ResponseHeader, WatchCreateRequest, WatchRequest, WatchResponse};
use ravenspar_standin::store::{Change, Store};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream};
use tokio_stream::Stream;
use tonic::{Request, Response, Status, Streaming};

pub const PREFIX: &str = "/ravenspar/servers/";
pub const CLUSTER: u64 = 0x1f2e;

/// The watch service of a store whose streams can be broken off once. On the streams after that, the first two events are
/// delivered in the wrong order if that is asked for, each in a response of its own.
#[derive(Clone)]
pub struct ReorderingWatch {
    store: Store,
    state: Arc<Mutex<WatchState>>,
}

#[derive(Default)]
struct WatchState {
    /// Streams of an earlier generation end, and no stream opens while `closed`.
    generation: u64,
    closed: bool,
    swap: bool,
    /// What was delivered: server, revision.
    delivered: Vec<(String, i64)>,
}

impl ReorderingWatch {
    pub fn new(store: Store) -> ReorderingWatch {
        ReorderingWatch { store, state: Arc::default() }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, WatchState> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Ends all streams; none opens until [`ReorderingWatch::open`].
    pub fn break_off(&self) {
        let mut state = self.lock();
        (state.generation, state.closed) = (state.generation + 1, true);
    }

    /// Lets streams open again. `swap`: the first two events of the next one come in the wrong order.
    pub fn open(&self, swap: bool) {
        let mut state = self.lock();
        (state.closed, state.swap) = (false, swap);
        state.delivered.clear();
    }

    /// What was delivered since the last [`ReorderingWatch::open`], in order.
    pub fn delivered(&self) -> Vec<(String, i64)> {
        self.lock().delivered.clone()
    }

    /// Serves keys, leases and this watch on loopback until the case ends.
    pub async fn listen(&self) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let server = tonic::transport::Server::builder()
            .add_service(KvServer::new(self.store.clone()))
            .add_service(LeaseServer::new(self.store.clone()))
            .add_service(WatchServer::new(self.clone()));
        tokio::spawn(server.serve_with_incoming(TcpListenerStream::new(listener)));
        Ok(address)
    }
}

#[tonic::async_trait]
impl Watch for ReorderingWatch {
    type WatchStream = Pin<Box<dyn Stream<Item = Result<WatchResponse, Status>> + Send>>;

    async fn watch(
        &self,
        request: Request<Streaming<WatchRequest>>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        let generation = {
            let state = self.lock();
            if state.closed {
                return Err(Status::unavailable("etcdserver: no leader"));
            }
            state.generation
        };
        let (answers, queue) = mpsc::channel(64);
        tokio::spawn(serve(self.clone(), generation, request.into_inner(), answers));
        Ok(Response::new(Box::pin(ReceiverStream::new(queue))))
    }
}

fn event(change: &Change) -> Event {
    let value = change.value.clone().unwrap_or_default().into_bytes();
    let kind = if change.value.is_some() { EventType::Put } else { EventType::Delete };
    let kv = KeyValue {
        key: change.key.clone().into_bytes(),
        value,
        mod_revision: change.revision,
        version: i64::from(change.value.is_some()),
        ..KeyValue::default()
    };
    Event { r#type: kind as i32, kv: Some(kv), ..Event::default() }
}

async fn serve(
    watch: ReorderingWatch,
    generation: u64,
    mut requests: Streaming<WatchRequest>,
    answers: mpsc::Sender<Result<WatchResponse, Status>>,
) {
    let Ok(Some(first)) = requests.message().await else { return };
    let Some(RequestUnion::CreateRequest(WatchCreateRequest { start_revision, .. })) = first.request_union
    else {
        return;
    };
    let header =
        |revision| Some(ResponseHeader { cluster_id: CLUSTER, revision, ..ResponseHeader::default() });
    let created =
        WatchResponse { header: header(watch.store.revision()), created: true, ..WatchResponse::default() };
    if answers.send(Ok(created)).await.is_err() {
        return;
    }
    let mut next = start_revision.max(1);
    let mut poll = tokio::time::interval(Duration::from_millis(5));
    loop {
        let mut progress = false;
        tokio::select! {
            request = requests.message() => match request {
                Ok(Some(request)) => progress = matches!(request.request_union, Some(RequestUnion::ProgressRequest(_))),
                _ => return,
            },
            _ = poll.tick() => {}
        }
        if watch.lock().generation != generation {
            let _ = answers.send(Err(Status::unavailable("etcdserver: server stopped"))).await;
            return;
        }
        let mut changes: Vec<Change> = watch.store.changes_after(next - 1);
        changes.retain(|change| change.key.starts_with(PREFIX));
        next = watch.store.revision() + 1;
        if changes.len() >= 2 && std::mem::take(&mut watch.lock().swap) {
            changes.swap(0, 1);
        }
        for change in &changes {
            watch.lock().delivered.push((change.key[PREFIX.len()..].to_owned(), change.revision));
            let events = vec![event(change)];
            let response =
                WatchResponse { header: header(watch.store.revision()), events, ..WatchResponse::default() };
            if answers.send(Ok(response)).await.is_err() {
                return;
            }
        }
        if progress {
            let response =
                WatchResponse { header: header(next - 1), watch_id: -1, ..WatchResponse::default() };
            if answers.send(Ok(response)).await.is_err() {
                return;
            }
        }
    }
}

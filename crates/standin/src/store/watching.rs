//! The stand-in's watch service.

use std::pin::Pin;
use std::time::Duration;

use ravenspar_etcd::api::watch_request::RequestUnion;
use ravenspar_etcd::api::watch_server::Watch;
use ravenspar_etcd::api::{WatchCreateRequest, WatchRequest, WatchResponse};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tokio_stream::Stream;
use tonic::{Request, Response, Status, Streaming};

use super::server::Store;

/// Maximum number of events in a fragment, if fragments are requested.
const FRAGMENT_EVENTS: usize = 100;

/// Interval at which watches poll for events.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

#[tonic::async_trait]
impl Watch for Store {
    type WatchStream = Pin<Box<dyn Stream<Item = Result<WatchResponse, Status>> + Send>>;

    async fn watch(
        &self,
        request: Request<Streaming<WatchRequest>>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        self.begin_call().await?;
        let (answers, queue) = mpsc::channel(16);
        tokio::spawn(watch(self.clone(), request.into_inner(), answers));
        Ok(Response::new(Box::pin(ReceiverStream::new(queue))))
    }
}

type Answers = mpsc::Sender<Result<WatchResponse, Status>>;

/// Serves a stream; supports one watch per stream, as clients here need no more.
async fn watch(store: Store, mut requests: Streaming<WatchRequest>, answers: Answers) {
    let Ok(Some(first)) = requests.message().await else { return };
    let Some(RequestUnion::CreateRequest(create)) = first.request_union else { return };
    let (mut next, compacted, header) = {
        let inner = store.lock();
        let header = inner.mvcc.header();
        let from = if create.start_revision > 0 { create.start_revision } else { header.revision + 1 };
        (from, inner.mvcc.compacted(), header)
    };
    let watch_id = create.watch_id;
    let response =
        WatchResponse { header: Some(header), watch_id, created: true, ..WatchResponse::default() };
    if answers.send(Ok(response.clone())).await.is_err() {
        return;
    }
    if next <= compacted {
        let why = "etcdserver: mvcc: required revision has been compacted".to_owned();
        let canceled = WatchResponse {
            created: false,
            canceled: true,
            compact_revision: compacted,
            cancel_reason: why,
            ..response
        };
        let _ = answers.send(Ok(canceled)).await;
        return;
    }
    let mut poll = tokio::time::interval(POLL_INTERVAL);
    loop {
        tokio::select! {
            request = requests.message() => match request {
                Ok(Some(WatchRequest { request_union: Some(RequestUnion::ProgressRequest(_)) })) => {
                    if !send_events(&store, &create, &mut next, &answers).await || !send_progress(&store, next, &answers).await {
                        return;
                    }
                }
                Ok(Some(WatchRequest { request_union: Some(RequestUnion::CancelRequest(_)) })) => {
                    let canceled = WatchResponse { watch_id, canceled: true, ..WatchResponse::default() };
                    let _ = answers.send(Ok(canceled)).await;
                    return;
                }
                Ok(Some(_)) => {}
                _ => return,
            },
            _ = poll.tick() => {
                if !send_events(&store, &create, &mut next, &answers).await {
                    return;
                }
            }
        }
    }
}

/// Sends a progress notification: the revision up to which all events have been sent.
async fn send_progress(store: &Store, next: i64, answers: &Answers) -> bool {
    let mut header = store.lock().mvcc.header();
    header.revision = header.revision.min(next.max(1) - 1).max(0);
    // The API's id for all watches of a stream.
    let response = WatchResponse { header: Some(header), watch_id: -1, ..WatchResponse::default() };
    answers.send(Ok(response)).await.is_ok()
}

/// Sends the events since the last call; returns false if the watch has ended.
async fn send_events(store: &Store, create: &WatchCreateRequest, next: &mut i64, answers: &Answers) -> bool {
    let (events, header, compacted) = {
        let inner = store.lock();
        if inner.faults.away {
            return true;
        }
        let events = inner.mvcc.events(&create.key, &create.range_end, *next);
        (events, inner.mvcc.header(), inner.mvcc.compacted())
    };
    let response =
        WatchResponse { header: Some(header), watch_id: create.watch_id, ..WatchResponse::default() };
    let Some(events) = events else {
        let why = "etcdserver: mvcc: required revision has been compacted".to_owned();
        let canceled =
            WatchResponse { canceled: true, compact_revision: compacted, cancel_reason: why, ..response };
        let _ = answers.send(Ok(canceled)).await;
        return false;
    };
    *next = (*next).max(header.revision + 1);
    let size = if create.fragment { FRAGMENT_EVENTS } else { usize::MAX };
    let count = events.len().div_ceil(size);
    for (at, part) in events.chunks(size.min(events.len().max(1))).enumerate() {
        let mut part: Vec<_> = part.iter().map(|(_, event)| event.clone()).collect();
        if !create.prev_kv {
            part.iter_mut().for_each(|event| event.prev_kv = None);
        }
        let fragment = WatchResponse { events: part, fragment: at + 1 < count, ..response.clone() };
        if answers.send(Ok(fragment)).await.is_err() {
            return false;
        }
    }
    true
}

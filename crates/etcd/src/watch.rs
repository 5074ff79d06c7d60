//! Watches: the ordered changes of keys since a revision, with fragmented responses reassembled.

use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;

use crate::api::watch_client::WatchClient;
use crate::api::watch_request::RequestUnion;
use crate::api::{WatchCreateRequest, WatchProgressRequest, WatchRequest, WatchResponse};
use ravenspar_store::StoreError;

use crate::client::{store_error, Client, STALL_TIMEOUT};
use crate::connector::{Connection, ConnectionMonitor};

/// How many events a reassembled response may have; more is an error, to bound memory.
const MAX_EVENTS: usize = 100_000;

/// An open watch stream.
pub struct Watch {
    requests: mpsc::Sender<WatchRequest>,
    responses: Streaming<WatchResponse>,
    /// The fragments of the next response received so far, merged.
    partial: Option<WatchResponse>,
    connection: Connection,
    monitor: ConnectionMonitor,
}

impl Client {
    /// Opens a watch at the current endpoint. If that fails, the next call uses the next endpoint; the caller says from which
    /// revision to continue.
    pub async fn watch(&self, create: WatchCreateRequest) -> Result<Watch, StoreError> {
        let (requests, queue) = mpsc::channel(4);
        let create = WatchRequest { request_union: Some(RequestUnion::CreateRequest(create)) };
        // Can't fail: the queue is new.
        let _ = requests.try_send(create);
        let connection = self.connection();
        let mut client = WatchClient::new(connection.channel());
        // A stream may stay open, so the deadline of a single call bounds only its opening.
        let opening = tokio::time::timeout(self.deadline(), client.watch(ReceiverStream::new(queue)));
        match opening.await {
            Ok(Ok(response)) => {
                let monitor = connection.monitor(STALL_TIMEOUT);
                Ok(Watch { requests, responses: response.into_inner(), partial: None, connection, monitor })
            }
            Ok(Err(status)) => {
                self.give_up_connection(&connection);
                Err(store_error(&status))
            }
            Err(_) => {
                self.give_up_connection(&connection);
                Err(StoreError::Unknown("the watch was not opened in time".to_owned()))
            }
        }
    }

    /// Ends a watch that is stalled. Its connection is not used any more.
    pub fn give_up_watch(&self, watch: Watch) {
        self.give_up_connection(&watch.connection);
    }
}

impl Watch {
    /// Returns the next complete response, or `None` if the server closed the stream without an error. Cancellations, with
    /// their reason, and progress notifications (a header without events) are returned like any other.
    pub async fn next(&mut self) -> Result<Option<WatchResponse>, StoreError> {
        loop {
            let Some(response) = self.responses.message().await.map_err(|status| store_error(&status))?
            else {
                return Ok(None);
            };
            self.monitor.record_response();
            let more = response.fragment;
            let whole = match self.partial.take() {
                Some(mut partial) => {
                    partial.events.extend(response.events);
                    partial.header = response.header;
                    partial
                }
                None => response,
            };
            if whole.events.len() > MAX_EVENTS {
                return Err(StoreError::Refused(format!("a response of more than {MAX_EVENTS} events")));
            }
            if more {
                self.partial = Some(whole);
                continue;
            }
            return Ok(Some(WatchResponse { fragment: false, ..whole }));
        }
    }

    /// Returns true if nothing has been received for 6 s. The caller requests progress more often than that.
    pub fn is_stalled(&mut self) -> bool {
        self.monitor.is_stalled()
    }

    /// Requests a progress notification: the revision up to which all events have been sent. Skipped if earlier requests are
    /// still queued.
    pub fn ask_progress(&self) {
        let progress = RequestUnion::ProgressRequest(WatchProgressRequest {});
        let _ = self.requests.try_send(WatchRequest { request_union: Some(progress) });
    }
}

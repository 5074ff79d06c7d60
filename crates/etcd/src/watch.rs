//! A watch: what happened to keys since a revision, in order, its fragments put together.

use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;

use crate::api::watch_client::WatchClient;
use crate::api::watch_request::RequestUnion;
use crate::api::{WatchCreateRequest, WatchProgressRequest, WatchRequest, WatchResponse};
use ravenspar_store::Fault;

use crate::client::{fault, Client};

/// Events that a response put together of fragments may have; more is a fault, so that memory stays bounded.
const MOST: usize = 100_000;

pub struct Watch {
    requests: mpsc::Sender<WatchRequest>,
    responses: Streaming<WatchResponse>,
    /// Fragments so far.
    parts: Option<WatchResponse>,
}

impl Client {
    /// Opens a watch at the endpoint in turn. A failed one turns to the next; whoever asks again says from which revision.
    pub async fn watch(&self, create: WatchCreateRequest) -> Result<Watch, Fault> {
        let (requests, queue) = mpsc::channel(4);
        let create = WatchRequest { request_union: Some(RequestUnion::CreateRequest(create)) };
        // Room is there: the queue is new.
        let _ = requests.try_send(create);
        let mut client = WatchClient::new(self.channel());
        // The channel's deadline is for single calls; a stream may last, so it bounds the opening alone.
        let opening = tokio::time::timeout(self.deadline(), client.watch(ReceiverStream::new(queue)));
        match opening.await {
            Ok(Ok(answer)) => Ok(Watch { requests, responses: answer.into_inner(), parts: None }),
            Ok(Err(status)) => {
                self.turn();
                Err(fault(&status))
            }
            Err(_) => {
                self.turn();
                Err(Fault::Unknown("the watch was not opened in time".to_owned()))
            }
        }
    }
}

impl Watch {
    /// The next response, whole; none once the server has closed the stream with no word. Canceled responses, with their
    /// reason, and progress, which is a header without events, are handed on as they are.
    pub async fn next(&mut self) -> Result<Option<WatchResponse>, Fault> {
        loop {
            let Some(part) = self.responses.message().await.map_err(|status| fault(&status))? else {
                return Ok(None);
            };
            let more = part.fragment;
            let whole = match self.parts.take() {
                Some(mut parts) => {
                    parts.events.extend(part.events);
                    parts.header = part.header;
                    parts
                }
                None => part,
            };
            if whole.events.len() > MOST {
                return Err(Fault::Refused(format!("a response of more than {MOST} events")));
            }
            if more {
                self.parts = Some(whole);
                continue;
            }
            return Ok(Some(WatchResponse { fragment: false, ..whole }));
        }
    }

    /// Asks up to which revision all has been said. Left out where earlier requests still wait.
    pub fn ask_progress(&self) {
        let progress = RequestUnion::ProgressRequest(WatchProgressRequest {});
        let _ = self.requests.try_send(WatchRequest { request_union: Some(progress) });
    }
}

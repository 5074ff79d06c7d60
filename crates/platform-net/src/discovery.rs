//! Follows discovery by long polls on a kept connection, each from the last version that was accepted.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::Request;
use hyper_util::rt::TokioIo;
use ravenspar_platform::Addresses;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{timeout, Instant};
use tokio_util::task::AbortOnDropHandle;

use crate::{address_changed, Event};

/// How long discovery may hold a long poll. Short, so that a call that will never be answered is soon
/// repeated.
const LONG_POLL: Duration = Duration::from_millis(1_000);

/// How long an answer may take beyond that: the agent is on this machine and answers at once.
const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// Pause before the next call after a failed one.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The full list is requested this often beside the long polls, at no cost. Guards against a watch that is
/// alive and reports no changes any more, or that has left one out.
const FULL_LIST_INTERVAL: Duration = Duration::from_secs(10);

/// The longest answer accepted, in bytes: tens of thousands of hosts.
const MAX_BODY: usize = 4 << 20;

/// A connection to the discovery agent.
struct Agent {
    at: SocketAddr,
    sender: SendRequest<Empty<Bytes>>,
    _driver_task: AbortOnDropHandle<()>,
}

impl Agent {
    async fn connect(at: SocketAddr) -> Result<Agent, String> {
        let socket =
            timeout(ANSWER_GRACE, TcpStream::connect(at)).await.map_err(|_| "no connection in time")?;
        let socket = socket.map_err(|e| e.to_string())?;
        let _ = socket.set_nodelay(true);
        let (sender, driver) = handshake(TokioIo::new(socket)).await.map_err(|e| e.to_string())?;
        // An error of the connection shows in its calls.
        let driver_task = tokio::spawn(async move { drop(driver.await) });
        Ok(Agent { at, sender, _driver_task: AbortOnDropHandle::new(driver_task) })
    }

    async fn get(&mut self, path: String) -> Result<Bytes, String> {
        let request = Request::get(path).header("host", self.at.to_string()).body(Empty::new());
        let request = request.map_err(|e| e.to_string())?;
        let call = async {
            self.sender.ready().await.map_err(|e| e.to_string())?;
            let answer = self.sender.send_request(request).await.map_err(|e| e.to_string())?;
            if !answer.status().is_success() {
                return Err(format!("status {}", answer.status()));
            }
            let body = Limited::new(answer.into_body(), MAX_BODY).collect().await;
            body.map(|body| body.to_bytes()).map_err(|e| e.to_string())
        };
        timeout(LONG_POLL + ANSWER_GRACE, call).await.map_err(|_| "no answer in time")?
    }
}

/// Requests host lists and passes them to the session loop. Returns only when the session loop has ended.
pub async fn watch_hosts(mut addresses: watch::Receiver<Addresses>, events: mpsc::Sender<Event>) {
    let mut agent: Option<Agent> = None;
    let mut version: Option<u64> = None;
    let mut last_full_list = Instant::now();
    let mut failures = 0u64;
    loop {
        let at = addresses.borrow_and_update().discovery;
        let since = version.filter(|_| last_full_list.elapsed() < FULL_LIST_INTERVAL);
        let poll_list = async {
            if agent.as_ref().is_none_or(|agent| agent.at != at) {
                agent = Some(Agent::connect(at).await?);
            }
            let path = match since {
                None => "/discovery/hosts".to_owned(),
                Some(version) => {
                    format!("/discovery/hosts?since={version}&timeout_ms={}", LONG_POLL.as_millis())
                }
            };
            let Some(agent) = &mut agent else { return Err("no connection".to_owned()) };
            let body = agent.get(path).await?;
            let (version_tx, accepted) = oneshot::channel();
            events
                .send(Event::List(body, since.is_none(), version_tx))
                .await
                .map_err(|_| "the session loop has ended")?;
            accepted.await.ok().flatten().ok_or_else(|| "a list that can't be used".to_owned())
        };
        let result = tokio::select! {
            result = poll_list => result,
            // The address has changed: the call in progress is dropped, and the new agent may number its
            // versions differently.
            changed = address_changed(&mut addresses, |new| new.discovery, at) => match changed {
                Ok(()) => { (agent, version) = (None, None); continue }
                Err(_) => return,
            },
        };
        match result {
            Ok(accepted) => {
                (version, failures) = (Some(accepted), 0);
                if since.is_none() {
                    last_full_list = Instant::now();
                }
            }
            Err(why) => {
                (agent, failures) = (None, failures + 1);
                // Single failures aren't logged. Lasting ones are, once in 50.
                if failures % 50 == 5 {
                    tracing::warn!(%at, %why, failures, "discovery can't be reached");
                }
                if events.is_closed() {
                    return;
                }
                // The first retry is immediate: the watch goes on only if the next call comes soon.
                if failures > 1 {
                    // After repeated failures the full list is requested.
                    version = if failures > 3 { None } else { version };
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }
}

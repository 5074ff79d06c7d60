//! Watching discovery: one call after the other on a kept connection, each from the version last taken in.

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

use crate::{moved, Event};

/// How long discovery may hold a call back. Short, so that one which never will be answered is soon made anew.
const HOLD: Duration = Duration::from_millis(1_000);

/// How long past that an answer may take: the agent is on this machine and answers at once.
const GRACE: Duration = Duration::from_millis(500);

/// Between two calls where the last one failed.
const PAUSE: Duration = Duration::from_millis(100);

/// The whole list is asked for this often, though the watch goes on: it costs nothing. Guards against a watch that is
/// alive and tells nothing new any more, or that has left something out.
const WHOLE: Duration = Duration::from_secs(10);

/// The longest answer taken in: tens of thousands of hosts.
const MOST_BODY: usize = 4 << 20;

struct Agent {
    at: SocketAddr,
    sender: SendRequest<Empty<Bytes>>,
    _driven: AbortOnDropHandle<()>,
}

impl Agent {
    async fn connect(at: SocketAddr) -> Result<Agent, String> {
        let socket = timeout(GRACE, TcpStream::connect(at)).await.map_err(|_| "no connection in time")?;
        let socket = socket.map_err(|e| e.to_string())?;
        let _ = socket.set_nodelay(true);
        let (sender, driver) = handshake(TokioIo::new(socket)).await.map_err(|e| e.to_string())?;
        // What ends the connection shows in its calls.
        let driven = tokio::spawn(async move { drop(driver.await) });
        Ok(Agent { at, sender, _driven: AbortOnDropHandle::new(driven) })
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
            let body = Limited::new(answer.into_body(), MOST_BODY).collect().await;
            body.map(|body| body.to_bytes()).map_err(|e| e.to_string())
        };
        timeout(HOLD + GRACE, call).await.map_err(|_| "no answer in time")?
    }
}

/// Never returns while the core lives.
pub async fn follow(mut addresses: watch::Receiver<Addresses>, events: mpsc::Sender<Event>) {
    let mut agent: Option<Agent> = None;
    let mut version: Option<u64> = None;
    let mut whole_at = Instant::now();
    let mut failures = 0u64;
    loop {
        let at = addresses.borrow_and_update().discovery;
        let since = version.filter(|_| whole_at.elapsed() < WHOLE);
        let round = async {
            if agent.as_ref().is_none_or(|agent| agent.at != at) {
                agent = Some(Agent::connect(at).await?);
            }
            let path = match since {
                None => "/discovery/hosts".to_owned(),
                Some(version) => format!("/discovery/hosts?since={version}&timeout_ms={}", HOLD.as_millis()),
            };
            let Some(agent) = &mut agent else { return Err("no connection".to_owned()) };
            let body = agent.get(path).await?;
            let (told, taken) = oneshot::channel();
            events.send(Event::List(body, since.is_none(), told)).await.map_err(|_| "over")?;
            taken.await.ok().flatten().ok_or_else(|| "a list that can't be used".to_owned())
        };
        let done = tokio::select! {
            done = round => done,
            // Another address: a call that waits is left where it is, and its versions may be others.
            changed = moved(&mut addresses, |new| new.discovery, at) => match changed {
                Ok(()) => { (agent, version) = (None, None); continue }
                Err(_) => return,
            },
        };
        match done {
            Ok(taken) => {
                (version, failures) = (Some(taken), 0);
                if since.is_none() {
                    whole_at = Instant::now();
                }
            }
            Err(why) => {
                (agent, failures) = (None, failures + 1);
                // A break now and then is nothing to report; one that lasts is, now and then.
                if failures % 50 == 5 {
                    tracing::warn!(%at, %why, failures, "discovery can't be reached");
                }
                if events.is_closed() {
                    return;
                }
                // The first time at once: the watch goes on only where the next call comes soon.
                if failures > 1 {
                    // All of it is asked for once changes were of no use.
                    version = if failures > 3 { None } else { version };
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }
}

//! Follows discovery: sends the queries of [`ListRequests`], each on a connection that carries no other, and passes the
//! answers on.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::Request;
use hyper_util::rt::TokioIo;
use ravenspar_net::{Clock, Observed, Progress};
use ravenspar_platform::{Addresses, ListAction, ListError, ListQuery, ListRequests, Time};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{AbortHandle, JoinError, JoinSet};
use tokio::time::{sleep_until, timeout, Instant};
use tokio_util::task::AbortOnDropHandle;

use crate::{address_changed, Event, ListResponse};

/// The agent is on this machine, and accepts a connection at once.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The longest answer accepted, in bytes: tens of thousands of hosts.
const MAX_BODY: usize = 4 << 20;

/// Open connections kept for the next queries: one for the complete list and one for the changes.
const MAX_IDLE_CONNECTIONS: usize = 2;

/// Consecutive failures at which the first warning is logged, and how many follow until the next one.
const FIRST_WARNING_AT: u32 = 5;
const WARNING_INTERVAL: u32 = 50;

/// Why an attempt brought no new list.
#[derive(Debug)]
enum AttemptError {
    /// The connection failed, or the answer can't be read.
    Request(String),
    /// Nothing has been received for too long.
    TimedOut,
    /// The session did not accept the list.
    Refused(ListError),
    /// The session loop has ended.
    SessionEnded,
}

impl fmt::Display for AttemptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AttemptError::Request(why) => write!(f, "{why}"),
            AttemptError::TimedOut => write!(f, "no answer in time"),
            AttemptError::Refused(error) => write!(f, "{error}"),
            AttemptError::SessionEnded => write!(f, "the session loop has ended"),
        }
    }
}

/// A connection to the discovery agent.
struct Agent {
    at: SocketAddr,
    sender: SendRequest<Empty<Bytes>>,
    progress: Arc<Progress>,
    _driver_task: AbortOnDropHandle<()>,
}

impl Agent {
    async fn connect(at: SocketAddr, clock: Clock, progress: Arc<Progress>) -> Result<Agent, String> {
        let socket =
            timeout(CONNECT_TIMEOUT, TcpStream::connect(at)).await.map_err(|_| "no connection in time")?;
        let socket = socket.map_err(|e| e.to_string())?;
        let _ = socket.set_nodelay(true);
        let socket = Observed::new(socket, clock, progress.clone());
        let (sender, driver) = handshake(TokioIo::new(socket)).await.map_err(|e| e.to_string())?;
        // An error of the connection shows in its calls.
        let driver_task = tokio::spawn(async move { drop(driver.await) });
        Ok(Agent { at, sender, progress, _driver_task: AbortOnDropHandle::new(driver_task) })
    }

    /// Returns true if it can carry another query to this address.
    fn is_usable(&self, at: SocketAddr) -> bool {
        self.at == at && !self.sender.is_closed()
    }

    /// Sends a query and reads its answer for as long as it takes; the caller drops it when it takes too long.
    async fn get(&mut self, query: ListQuery) -> Result<Bytes, String> {
        let request = Request::get(query.path()).header("host", self.at.to_string()).body(Empty::new());
        let request = request.map_err(|e| e.to_string())?;
        self.sender.ready().await.map_err(|e| e.to_string())?;
        let answer = self.sender.send_request(request).await.map_err(|e| e.to_string())?;
        if !answer.status().is_success() {
            return Err(format!("status {}", answer.status()));
        }
        let body = Limited::new(answer.into_body(), MAX_BODY).collect().await;
        body.map(|body| body.to_bytes()).map_err(|e| e.to_string())
    }
}

/// The result of an attempt: the version of the list now held, and its connection if that can be used again.
struct Finished {
    id: u64,
    result: Result<u64, AttemptError>,
    agent: Option<Agent>,
}

/// What an attempt needs of its surroundings.
#[derive(Clone)]
struct Context {
    at: SocketAddr,
    clock: Clock,
    events: mpsc::Sender<Event>,
}

impl Context {
    /// Sends a query, passes its answer to the session and waits for the verdict.
    async fn attempt(
        self,
        id: u64,
        query: ListQuery,
        idle: Option<Agent>,
        progress: Arc<Progress>,
    ) -> Finished {
        let requested_at = self.clock.now();
        let mut agent = match idle {
            Some(agent) => agent,
            None => match Agent::connect(self.at, self.clock, progress).await {
                Ok(agent) => agent,
                Err(why) => return Finished { id, result: Err(AttemptError::Request(why)), agent: None },
            },
        };
        match agent.get(query).await {
            Ok(body) => {
                Finished { id, result: self.deliver(body, query, requested_at).await, agent: Some(agent) }
            }
            Err(why) => Finished { id, result: Err(AttemptError::Request(why)), agent: None },
        }
    }

    async fn deliver(&self, body: Bytes, query: ListQuery, requested_at: Time) -> Result<u64, AttemptError> {
        let (verdict, received) = oneshot::channel();
        let is_complete = query == ListQuery::Complete;
        let response = ListResponse { body, is_complete, requested_at, verdict };
        self.events.send(Event::List(response)).await.map_err(|_| AttemptError::SessionEnded)?;
        received.await.map_err(|_| AttemptError::SessionEnded)?.map_err(AttemptError::Refused)
    }
}

/// An attempt in progress.
struct Running {
    task: AbortHandle,
    progress: Arc<Progress>,
}

/// The attempts in progress, and the connections that are idle.
#[derive(Default)]
struct Attempts {
    tasks: JoinSet<Finished>,
    running: HashMap<u64, Running>,
    idle: Vec<Agent>,
}

impl Attempts {
    fn start(&mut self, id: u64, query: ListQuery, context: Context) {
        self.idle.retain(|agent| agent.is_usable(context.at));
        let idle = self.idle.pop();
        let progress = idle.as_ref().map(|agent| agent.progress.clone()).unwrap_or_default();
        progress.reset();
        let task = self.tasks.spawn(context.attempt(id, query, idle, progress.clone()));
        self.running.insert(id, Running { task, progress });
    }

    fn abandon(&mut self, id: u64) {
        if let Some(running) = self.running.remove(&id) {
            running.task.abort();
        }
    }

    /// Reports what the attempts have received so far.
    fn report_progress(&self, requests: &mut ListRequests) {
        for (id, running) in &self.running {
            let (received, at) = running.progress.get();
            requests.handle_progress(*id, received, at);
        }
    }

    /// Takes in an attempt that has ended. Returns `None` if it was abandoned.
    fn finished(&mut self, ended: Result<Finished, JoinError>) -> Option<(u64, Result<u64, AttemptError>)> {
        let Finished { id, result, agent } = match ended {
            Ok(finished) => finished,
            Err(error) if error.is_panic() => std::panic::resume_unwind(error.into_panic()),
            Err(_) => return None,
        };
        self.idle.extend(agent);
        self.idle.truncate(MAX_IDLE_CONNECTIONS);
        self.running.remove(&id).map(|_| (id, result))
    }
}

/// Queries discovery and passes the host lists to the session loop, which has a stored list of `stored_version` at first.
/// Returns only when the session loop has ended.
pub async fn watch_hosts(
    mut addresses: watch::Receiver<Addresses>,
    stored_version: Option<u64>,
    clock: Clock,
    events: mpsc::Sender<Event>,
) {
    let mut requests = ListRequests::new(clock.now(), stored_version);
    let mut attempts = Attempts::default();
    loop {
        let context = Context { at: addresses.borrow_and_update().discovery, clock, events: events.clone() };
        let at = context.at;
        attempts.report_progress(&mut requests);
        let failures = requests.failures();
        while let Some(action) = requests.poll(clock.now()) {
            match action {
                ListAction::Send { id, query } => attempts.start(id, query, context.clone()),
                ListAction::Abandon { id } => attempts.abandon(id),
            }
        }
        (failures + 1..=requests.failures())
            .for_each(|failures| log_failure(at, &AttemptError::TimedOut, failures));
        let wake = Instant::from_std(clock.instant(requests.next_timeout()));
        tokio::select! {
            Some(ended) = attempts.tasks.join_next() => {
                let Some((id, result)) = attempts.finished(ended) else { continue };
                match result {
                    Ok(version) => requests.handle_accepted(clock.now(), id, version),
                    Err(AttemptError::Refused(ListError::Overtaken { .. })) => requests.handle_overtaken(clock.now(), id),
                    Err(AttemptError::SessionEnded) => return,
                    Err(why) => log_failure(at, &why, requests.handle_failed(clock.now(), id)),
                }
            }
            () = sleep_until(wake) => {}
            // The queries in progress are dropped, and the new agent may number its versions differently.
            changed = address_changed(&mut addresses, |new| new.discovery, at) => match changed {
                Ok(()) => requests.restart(clock.now()),
                Err(_) => return,
            },
        }
        if events.is_closed() {
            return;
        }
    }
}

/// Logs lasting failures. Single ones aren't logged.
fn log_failure(at: SocketAddr, why: &AttemptError, failures: u32) {
    if failures % WARNING_INTERVAL == FIRST_WARNING_AT {
        tracing::warn!(%at, %why, failures, "discovery can't be reached");
    }
}

//! Discovery: the full list of hosts, and watches that wait for changes.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinSet;

#[derive(Default)]
struct State {
    /// The generation of the list.
    version: u64,
    /// The full list.
    hosts: Vec<Value>,
    /// The changed entries of each version after the first.
    changes: Vec<(u64, Vec<Value>)>,
    /// Calls received, and connections accepted.
    calls: usize,
    connections: usize,
    faults: VecDeque<ListFault>,
    /// Watches return no changes.
    frozen: bool,
    /// No call is answered.
    silent: bool,
    /// The version and hosts that are published in place of the current ones.
    pinned: Option<(u64, Vec<Value>)>,
}

impl State {
    /// Returns the version and hosts that are published.
    fn published(&self) -> (u64, &[Value]) {
        match &self.pinned {
            Some((version, hosts)) => (*version, hosts),
            None => (self.version, &self.hosts),
        }
    }
}

/// A fault of one response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListFault {
    /// Half of the body is sent, then the connection breaks.
    Broken,
    /// Half of the body is sent, with a Content-Length that matches the half.
    Short,
    /// It is never sent.
    Silent,
    /// One entry is malformed.
    Malformed,
}

/// A discovery service at one address.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    /// Notified when watches and waiting calls must check the state again.
    changed: Arc<Notify>,
    /// Notified at each call.
    called: Arc<Notify>,
    /// Notified to stop accepting connections at this address.
    closing: Arc<Notify>,
    _accept_task: JoinSet<()>,
}

fn locked(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Returns a host's entry in discovery's format.
pub fn host(id: &str, lifecycle: &str) -> Value {
    json!({"instanceId": id, "hostPort": "127.0.0.1:9", "zone": "a", "machineType": "m", "cell": 0,
        "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0})
}

impl Discovery {
    /// Starts a service that lists these hosts, all active.
    pub async fn start(hosts: &[&str]) -> std::io::Result<Discovery> {
        let hosts = hosts.iter().map(|id| host(id, "active")).collect();
        let state = Arc::new(Mutex::new(State { version: 1, hosts, ..State::default() }));
        Discovery::listen(state, Arc::new(Notify::new()), Arc::new(Notify::new())).await
    }

    /// Serves the same list at one more address.
    pub async fn at_new_address(&self) -> std::io::Result<Discovery> {
        Discovery::listen(self.state.clone(), self.changed.clone(), self.called.clone()).await
    }

    async fn listen(
        state: Arc<Mutex<State>>,
        changed: Arc<Notify>,
        called: Arc<Notify>,
    ) -> std::io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let closing = Arc::new(Notify::new());
        let mut accept_task = JoinSet::new();
        accept_task.spawn(accept(listener, closing.clone(), state.clone(), changed.clone(), called.clone()));
        Ok(Discovery { address, state, changed, called, closing, _accept_task: accept_task })
    }

    /// Stops accepting connections at this address; open ones continue until this is dropped.
    pub fn stop_accepting(&self) {
        self.closing.notify_one();
    }

    /// Sets the lifecycle of a host, adding or removing it as needed.
    pub fn set(&self, id: &str, lifecycle: &str) {
        let mut state = locked(&self.state);
        state.version += 1;
        let entry = host(id, lifecycle);
        state.hosts.retain(|host| host["instanceId"] != id);
        if lifecycle != "left" {
            state.hosts.push(entry.clone());
        }
        let version = state.version;
        state.changes.push((version, vec![entry]));
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns the hosts that are listed as leaving.
    pub fn leaving(&self) -> Vec<String> {
        let state = locked(&self.state);
        let leaving = state.hosts.iter().filter(|host| host["lifecycle"] == "leaving");
        leaving.filter_map(|host| host["instanceId"].as_str().map(str::to_owned)).collect()
    }

    /// Injects a fault into each of the next responses.
    pub fn inject(&self, faults: &[ListFault]) {
        locked(&self.state).faults.extend(faults);
    }

    /// Returns the number of faults that are still to occur.
    pub fn faults(&self) -> usize {
        locked(&self.state).faults.len()
    }

    /// From here on watches return at their timeout, without changes.
    pub fn freeze(&self) {
        locked(&self.state).frozen = true;
    }

    /// Stops answering calls; they wait.
    pub fn stop_answering(&self) {
        locked(&self.state).silent = true;
    }

    /// Publishes the list as it is now from here on, however it changes.
    pub fn pin_list(&self) {
        let mut state = locked(&self.state);
        state.pinned = Some((state.version, state.hosts.clone()));
    }

    /// Answers calls again, including those that wait.
    pub fn resume_answering(&self) {
        locked(&self.state).silent = false;
        self.changed.notify_waiters();
    }

    /// Publishes the current list again.
    pub fn unpin_list(&self) {
        locked(&self.state).pinned = None;
        self.changed.notify_waiters();
    }

    /// Sets the version and drops the history, as when discovery has restarted.
    pub fn reset_version(&self, version: u64) {
        let mut state = locked(&self.state);
        state.changes.clear();
        state.version = version;
    }

    /// Returns the number of calls received.
    pub fn calls(&self) -> usize {
        locked(&self.state).calls
    }

    /// Waits until this number of calls has been received.
    pub async fn wait_for_calls(&self, calls: usize) {
        loop {
            let called = self.called.notified();
            if self.calls() >= calls {
                return;
            }
            called.await;
        }
    }

    /// Returns the number of connections accepted.
    pub fn connections(&self) -> usize {
        locked(&self.state).connections
    }
}

async fn accept(
    listener: TcpListener,
    closing: Arc<Notify>,
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    called: Arc<Notify>,
) {
    let mut connections = JoinSet::new();
    loop {
        let socket = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) => socket,
                Err(_) => return,
            },
            () = closing.notified() => break,
        };
        let (state, changed, called) = (state.clone(), changed.clone(), called.clone());
        locked(&state).connections += 1;
        connections.spawn(async move {
            let service = service_fn(move |request| {
                locked(&state).calls += 1;
                called.notify_waiters();
                answer(request, state.clone(), changed.clone())
            });
            let http = hyper::server::conn::http1::Builder::new();
            drop(http.serve_connection(TokioIo::new(socket), service).await);
        });
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

type Answer = Response<BoxBody<Bytes, std::io::Error>>;

/// Answers a call, applying the next injected fault.
async fn answer(
    request: Request<hyper::body::Incoming>,
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
) -> Result<Answer, Infallible> {
    let mut list = list_response(request, &state, &changed).await;
    let fault = locked(&state).faults.pop_front();
    if fault == Some(ListFault::Malformed) {
        let entries = list["instances"].as_array_mut();
        entries.into_iter().flatten().take(1).for_each(|entry| entry["lifecycle"] = json!("?"));
    }
    let text = list.to_string();
    let half = Bytes::from(text[..text.len() / 2].to_owned());
    let body = match fault {
        Some(ListFault::Silent) => std::future::pending().await,
        Some(ListFault::Broken) => {
            let frames = [Ok(Frame::data(half)), Err(std::io::Error::other("injected disconnect"))];
            StreamBody::new(futures_util::stream::iter(frames)).boxed()
        }
        Some(ListFault::Short) => Full::new(half).map_err(|never| match never {}).boxed(),
        _ => Full::new(text.into()).map_err(|never| match never {}).boxed(),
    };
    Ok(Response::new(body))
}

/// Returns the full list or, with `since`, the changes after that version, waiting for some.
async fn list_response(
    request: Request<hyper::body::Incoming>,
    state: &Mutex<State>,
    changed: &Notify,
) -> Value {
    let query = request.uri().query().unwrap_or("");
    let field = |name: &str| -> Option<u64> {
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
    };
    // No version is as old as 0: since then everything has changed.
    let Some(since) = field("since").filter(|since| *since > 0) else {
        wait_while_silent(state, changed).await;
        let state = locked(state);
        let (version, hosts) = state.published();
        return json!({"generation": version, "reset": true, "instances": hosts});
    };
    let wait = Duration::from_millis(field("timeout_ms").unwrap_or(0));
    let newer = async {
        loop {
            let notified = changed.notified();
            let version = {
                let state = locked(state);
                if state.frozen || state.silent {
                    0
                } else {
                    state.published().0
                }
            };
            if version > since {
                return;
            }
            notified.await;
        }
    };
    let _ = tokio::time::timeout(wait, newer).await;
    wait_while_silent(state, changed).await;
    let state = locked(state);
    if state.frozen {
        return json!({"generation": since, "reset": false, "instances": []});
    }
    let (published, _) = state.published();
    let changes = state.changes.iter().filter(|(version, _)| (since + 1..=published).contains(version));
    let changes: Vec<&Value> = changes.flat_map(|(_, entries)| entries).collect();
    json!({"generation": published, "reset": false, "instances": changes})
}

/// Waits while the service is silent.
async fn wait_while_silent(state: &Mutex<State>, changed: &Notify) {
    loop {
        let notified = changed.notified();
        if !locked(state).silent {
            return;
        }
        notified.await;
    }
}

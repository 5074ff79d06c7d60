//! Discovery: the whole list, and watches that wait for something newer.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinSet;

#[derive(Default)]
struct State {
    version: u64,
    whole: Vec<Value>,
    /// The changes of each version after the first.
    changes: Vec<(u64, Vec<Value>)>,
    calls: usize,
}

pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    news: Arc<Notify>,
    _serving: JoinSet<()>,
}

fn locked(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// A host in discovery's form.
pub fn host(id: &str, lifecycle: &str) -> Value {
    json!({"instanceId": id, "hostPort": "127.0.0.1:9", "zone": "a", "machineType": "m", "cell": 0,
        "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0})
}

impl Discovery {
    /// Serves a list of these hosts, all active.
    pub async fn start(hosts: &[&str]) -> std::io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let whole = hosts.iter().map(|id| host(id, "active")).collect();
        let state = Arc::new(Mutex::new(State { version: 1, whole, ..State::default() }));
        let news = Arc::new(Notify::new());
        let mut serving = JoinSet::new();
        serving.spawn(accept(listener, state.clone(), news.clone()));
        Ok(Discovery { address, state, news, _serving: serving })
    }

    /// One host is now listed so.
    pub fn set(&self, id: &str, lifecycle: &str) {
        let mut state = locked(&self.state);
        state.version += 1;
        let entry = host(id, lifecycle);
        state.whole.retain(|host| host["instanceId"] != id);
        if lifecycle != "left" {
            state.whole.push(entry.clone());
        }
        let version = state.version;
        state.changes.push((version, vec![entry]));
        drop(state);
        self.news.notify_waiters();
    }

    /// Calls answered or waiting so far.
    pub fn calls(&self) -> usize {
        locked(&self.state).calls
    }
}

async fn accept(listener: TcpListener, state: Arc<Mutex<State>>, news: Arc<Notify>) {
    let mut streams = JoinSet::new();
    while let Ok((socket, _)) = listener.accept().await {
        let (state, news) = (state.clone(), news.clone());
        streams.spawn(async move {
            let service = service_fn(move |request| answer(request, state.clone(), news.clone()));
            let serving = hyper::server::conn::http1::Builder::new();
            drop(serving.serve_connection(TokioIo::new(socket), service).await);
        });
    }
}

async fn answer(
    request: Request<hyper::body::Incoming>,
    state: Arc<Mutex<State>>,
    news: Arc<Notify>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let query = request.uri().query().unwrap_or("");
    let field = |name: &str| -> Option<u64> {
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
    };
    locked(&state).calls += 1;
    let Some(since) = field("since") else {
        let state = locked(&state);
        let list = json!({"generation": state.version, "reset": true, "instances": state.whole});
        return Ok(Response::new(list.to_string().into()));
    };
    let wait = Duration::from_millis(field("timeout_ms").unwrap_or(0));
    let newer = async {
        loop {
            let notified = news.notified();
            if locked(&state).version > since {
                return;
            }
            notified.await;
        }
    };
    let _ = tokio::time::timeout(wait, newer).await;
    let state = locked(&state);
    let changes = state.changes.iter().filter(|(version, _)| *version > since);
    let changes: Vec<&Value> = changes.flat_map(|(_, entries)| entries).collect();
    let list = json!({"generation": state.version, "reset": false, "instances": changes});
    Ok(Response::new(list.to_string().into()))
}

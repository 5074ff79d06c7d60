//! The relay: it holds the slices' lines, carries calls out, and tells its news to whoever asked for them.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use serde_json::{json, Value};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::task::JoinSet;
use tokio_util::codec::{Framed, LinesCodec};

/// What goes wrong with one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Carried out, and the answer never comes.
    Unanswered,
    /// Not carried out, and no answer comes.
    Lost,
    /// Carried out, and the connection breaks before the answer.
    Broken,
    /// Carried out, and the answer can't be read.
    Spoilt,
    /// Turned away.
    Throttled,
}

/// News that a subscriber may lag behind; past that it is cut off.
const NEWS: usize = 4_096;

/// What the relay holds and has met.
#[derive(Default)]
pub struct Said {
    /// The owner and weight of each slice in the steward's charge.
    pub rows: BTreeMap<u64, Option<(String, f64)>>,
    pub proxies: Vec<u64>,
    /// Orders carried out, in their order.
    pub orders: Vec<Value>,
    pub calls: usize,
    pub subscriptions: usize,
    /// Proxies answer no marks for now.
    pub mute: bool,
    faults: VecDeque<Fault>,
    readers: Vec<mpsc::Sender<String>>,
}

pub struct Relay {
    pub address: SocketAddr,
    said: Arc<Mutex<Said>>,
    changed: Arc<Notify>,
    _serving: JoinSet<()>,
}

fn locked(said: &Mutex<Said>) -> MutexGuard<'_, Said> {
    said.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn news(method: &str, params: Value) -> String {
    json!({"jsonrpc": "2.0", "method": method, "params": params}).to_string()
}

impl Said {
    fn tell(&mut self, line: String) {
        self.readers.retain(|reader| reader.try_send(line.clone()).is_ok());
    }

    fn stands(&self) -> Vec<String> {
        let join = |id: &u64| news("SUBSCRIBE", json!({"id": id, "site": "a", "rps": 1.0, "new": false}));
        let mut all: Vec<String> = self.proxies.iter().map(join).collect();
        for (range, row) in &self.rows {
            all.push(news("GRANT", json!({"range": range, "flag": true})));
            if let Some((target, rps)) = row {
                all.push(news("ROW", json!({"range": range, "target": target, "rps": rps})));
            }
        }
        all
    }

    fn carry_out(&mut self, changes: &[Value]) {
        for order in changes {
            let slice = order["cluster"].as_u64();
            match (order["verb"].as_str(), slice.and_then(|slice| self.rows.get_mut(&slice))) {
                (Some("share"), Some(row)) => {
                    let target = order["target"].as_str().unwrap_or("").to_owned();
                    *row = Some((target, order["rps"].as_f64().unwrap_or(0.0)));
                }
                (Some("clear"), Some(row)) => *row = None,
                (Some("mark"), _) if !self.mute => {
                    for proxy in self.proxies.clone() {
                        let ack = json!({"id": proxy, "seq": order["nonce_out"], "ms": 1.0});
                        self.tell(news("ACK", ack));
                    }
                }
                _ => {}
            }
            self.orders.push(order.clone());
        }
    }
}

impl Relay {
    /// Slices from 0 on are all in the steward's charge, with this owner.
    pub async fn start(slices: u64, owner: &str, proxies: u64) -> std::io::Result<Relay> {
        let rows = (0..slices).map(|slice| (slice, Some((owner.to_owned(), 1.0)))).collect();
        let said = Said { rows, proxies: (0..proxies).collect(), ..Said::default() };
        Relay::serving(Arc::new(Mutex::new(said)), Arc::new(Notify::new())).await
    }

    async fn serving(said: Arc<Mutex<Said>>, changed: Arc<Notify>) -> std::io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let mut serving = JoinSet::new();
        serving.spawn(accept(listener, said.clone(), changed.clone()));
        Ok(Relay { address, said, changed, _serving: serving })
    }

    /// The same store at another address.
    pub async fn also(&self) -> std::io::Result<Relay> {
        Relay::serving(self.said.clone(), self.changed.clone()).await
    }

    /// These befall the next calls.
    pub fn befall(&self, faults: &[Fault]) {
        locked(&self.said).faults.extend(faults);
    }

    pub fn with<T>(&self, look: impl FnOnce(&mut Said) -> T) -> T {
        look(&mut locked(&self.said))
    }

    /// Cuts off all who read the news, in the middle of a line.
    pub fn cut(&self) {
        self.with(|said| {
            said.tell(r#"{"jsonrpc":"2.0","method":"AC"#.to_owned());
            said.readers.clear();
        });
    }

    /// Waits until it is so.
    pub async fn until(&self, so: impl Fn(&Said) -> bool) {
        loop {
            let changed = self.changed.notified();
            if self.with(|said| so(said)) {
                return;
            }
            changed.await;
        }
    }
}

async fn accept(listener: TcpListener, said: Arc<Mutex<Said>>, changed: Arc<Notify>) {
    let mut streams = JoinSet::new();
    while let Ok((socket, _)) = listener.accept().await {
        streams.spawn(serve(socket, said.clone(), changed.clone()));
    }
}

async fn serve(socket: TcpStream, said: Arc<Mutex<Said>>, changed: Arc<Notify>) {
    let mut lines = Framed::new(socket, LinesCodec::new());
    while let Some(Ok(line)) = lines.next().await {
        let call: Value = serde_json::from_str(&line).unwrap_or_default();
        if call["method"] == "subscribe" {
            return tell_news(lines, &call, said, changed).await;
        }
        let changes = call["params"]["changes"].as_array().cloned().unwrap_or_default();
        let fault = {
            let mut said = locked(&said);
            said.calls += 1;
            let fault = said.faults.pop_front();
            if !matches!(fault, Some(Fault::Lost | Fault::Throttled)) {
                said.carry_out(&changes);
            }
            fault
        };
        changed.notify_waiters();
        let id = &call["id"];
        let answer = match fault {
            Some(Fault::Unanswered | Fault::Lost) => continue,
            Some(Fault::Broken) => return,
            Some(Fault::Spoilt) => json!({"jsonrpc": "2.0", "id": id, "result": {"ok_count": "all"}}),
            Some(Fault::Throttled) => {
                json!({"jsonrpc": "2.0", "id": id, "error": {"code": -32000, "message": "Throttling"}})
            }
            None => json!({"jsonrpc": "2.0", "id": id, "result": {"ok_count": changes.len()}}),
        };
        if lines.send(answer.to_string()).await.is_err() {
            return;
        }
    }
}

async fn tell_news(
    mut lines: Framed<TcpStream, LinesCodec>,
    call: &Value,
    said: Arc<Mutex<Said>>,
    changed: Arc<Notify>,
) {
    let (reader, mut queue) = mpsc::channel(NEWS);
    let first = json!({"jsonrpc": "2.0", "id": call["id"], "result": true}).to_string();
    let stands = {
        let mut said = locked(&said);
        said.readers.push(reader);
        said.subscriptions += 1;
        said.stands()
    };
    changed.notify_waiters();
    for line in [first].into_iter().chain(stands) {
        if lines.send(line).await.is_err() {
            return;
        }
    }
    let mut beat = tokio::time::interval(Duration::from_millis(200));
    loop {
        let line = tokio::select! {
            line = queue.recv() => line,
            _ = beat.tick() => Some(news("ping", json!({}))),
        };
        let Some(line) = line else { return };
        if lines.send(line).await.is_err() {
            return;
        }
    }
}

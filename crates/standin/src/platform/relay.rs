//! The relay: it stores the slices' lines, executes calls and sends notifications to subscribers.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use serde_json::{json, Value};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify, Semaphore};
use tokio::task::JoinSet;
use tokio_util::codec::{Framed, LinesCodec};

/// A fault of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Executed, but never answered.
    Unanswered,
    /// Neither executed nor answered.
    Lost,
    /// Executed; the connection closes before the answer.
    Broken,
    /// Executed; the connection closes in the middle of the answer.
    Torn,
    /// Executed; the connection is reset in the middle of the answer.
    Reset,
    /// Executed; the answer is written byte by byte.
    ByteByByte,
    /// Executed and answered; then the connection closes at once.
    AnswerThenClose,
    /// Executed; the answer is sent twice.
    Duplicated,
    /// Executed; the answer waits for [`Relay::release`].
    Held,
    /// Executed; the answer is malformed.
    Malformed,
    /// Refused with a throttling error.
    Throttled,
}

/// Maximum number of notifications queued for a subscriber; one that lags further is disconnected.
const SUBSCRIBER_QUEUE: usize = 4_096;

/// The notification that a proxy's stream is up.
fn proxy_notification(id: u64) -> String {
    notification("SUBSCRIBE", json!({"id": id, "site": "a", "rps": 1.0, "new": false}))
}

/// The notifications for a slice that is assigned to the steward: the assignment and the line, if there is one.
fn slice_notifications(range: u64, row: &Option<(String, f64)>) -> Vec<String> {
    let grant = notification("GRANT", json!({"range": range, "flag": true}));
    let row = row
        .as_ref()
        .map(|(target, rps)| notification("ROW", json!({"range": range, "target": target, "rps": rps})));
    [grant].into_iter().chain(row).collect()
}

/// A message to a subscriber.
#[derive(Debug)]
enum Notification {
    Line(String),
    /// The first part of a line, after which the connection closes.
    Half(&'static str),
}

/// State of the relay, and counts of what it has received.
#[derive(Default)]
pub struct RelayState {
    /// The slices assigned to the steward, with the owner and weight of each that has a line.
    pub rows: BTreeMap<u64, Option<(String, f64)>>,
    /// Proxies whose streams are up.
    pub proxies: Vec<u64>,
    /// Orders executed, in order.
    pub orders: Vec<Value>,
    /// Calls received, and subscriptions started.
    pub calls: usize,
    pub subscriptions: usize,
    /// Fault: proxies acknowledge no marks.
    pub ignores_marks: bool,
    /// Fault: this proxy acknowledges no marks.
    pub unresponsive_proxy: Option<u64>,
    /// Classes that an order may name; empty if any may be named.
    pub classes: Vec<String>,
    /// Number of orders that were refused, each ending its call.
    pub refused_orders: usize,
    /// The highest id of a call so far, and how many calls were read after a later one. The platform executes a call
    /// within 50 ms or never. If this stand-in had to wait for its core for longer, such a call is never executed.
    latest_call: u64,
    pub late_calls: usize,
    /// Slices that an order moved from one owner to another without a revoke in between: slice, old and new owner.
    pub moved_directly: Vec<(u64, String, String)>,
    /// Fault: a subscription's connection closes after this number of lines.
    pub cut_after: Option<usize>,
    /// Fault: subscriptions receive nothing, and their connections stay open.
    pub silent_subscriptions: bool,
    faults: VecDeque<Fault>,
    subscribers: Vec<mpsc::Sender<Notification>>,
}

/// A relay at one address.
pub struct Relay {
    pub address: SocketAddr,
    state: Arc<Mutex<RelayState>>,
    changed: Arc<Notify>,
    /// Each permit releases one held answer.
    releases: Arc<Semaphore>,
    _accept_task: JoinSet<()>,
}

fn locked(state: &Mutex<RelayState>) -> MutexGuard<'_, RelayState> {
    state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn notification(method: &str, params: Value) -> String {
    json!({"jsonrpc": "2.0", "method": method, "params": params}).to_string()
}

impl RelayState {
    /// Sends a line to all subscribers.
    pub fn notify_subscribers(&mut self, line: String) {
        self.subscribers.retain(|subscriber| subscriber.try_send(Notification::Line(line.clone())).is_ok());
    }

    /// Brings up a proxy's stream and notifies the subscribers.
    pub fn join(&mut self, id: u64) {
        self.proxies.push(id);
        self.notify_subscribers(proxy_notification(id));
    }

    /// Breaks a proxy's stream and notifies the subscribers.
    pub fn leave(&mut self, id: u64) {
        self.proxies.retain(|proxy| *proxy != id);
        self.notify_subscribers(notification("CLOSED", json!({"id": id})));
    }

    /// Withdraws a slice from the steward; returns its line.
    pub fn unassign_slice(&mut self, range: u64) -> Option<(String, f64)> {
        let row = self.rows.remove(&range).flatten();
        self.notify_subscribers(notification("GRANT", json!({"range": range, "flag": false})));
        row
    }

    /// Assigns a slice with this line to the steward.
    pub fn assign_slice(&mut self, range: u64, row: Option<(String, f64)>) {
        slice_notifications(range, &row).into_iter().for_each(|line| self.notify_subscribers(line));
        self.rows.insert(range, row);
    }

    /// Returns the notifications that describe the current state.
    fn snapshot(&self) -> Vec<String> {
        let proxies = self.proxies.iter().map(|id| proxy_notification(*id));
        let slices = self.rows.iter().flat_map(|(range, row)| slice_notifications(*range, row));
        proxies.chain(slices).collect()
    }

    /// Executes orders up to the first that is refused; returns how many were executed.
    fn execute(&mut self, changes: &[Value]) -> usize {
        for (executed, order) in changes.iter().enumerate() {
            let known = |route: &Value| self.classes.iter().any(|class| route == class);
            let mut routes = order["routes"].as_array().into_iter().flatten();
            if !self.classes.is_empty() && !routes.all(known) {
                self.refused_orders += 1;
                return executed;
            }
            let slice = order["cluster"].as_u64();
            match (order["verb"].as_str(), slice.and_then(|slice| self.rows.get_mut(&slice))) {
                (Some("share"), Some(row)) => {
                    let target = order["target"].as_str().unwrap_or("").to_owned();
                    if let (Some((owner, _)), Some(slice)) = (&row, slice) {
                        if *owner != target {
                            self.moved_directly.push((slice, owner.clone(), target.clone()));
                        }
                    }
                    *row = Some((target, order["rps"].as_f64().unwrap_or(0.0)));
                }
                (Some("clear"), Some(row)) => *row = None,
                (Some("mark"), _) if !self.ignores_marks => {
                    let unresponsive_proxy = self.unresponsive_proxy;
                    for proxy in
                        self.proxies.clone().into_iter().filter(|proxy| Some(*proxy) != unresponsive_proxy)
                    {
                        let ack = json!({"id": proxy, "seq": order["nonce_out"], "ms": 1.0});
                        self.notify_subscribers(notification("ACK", ack));
                    }
                }
                _ => {}
            }
            self.orders.push(order.clone());
        }
        changes.len()
    }
}

impl Relay {
    /// Starts a relay whose slices, from 0 on, are all assigned to the steward and have this owner.
    pub async fn start(slices: u64, owner: &str, proxies: u64) -> std::io::Result<Relay> {
        let rows = (0..slices).map(|slice| (slice, Some((owner.to_owned(), 1.0)))).collect();
        let state = RelayState { rows, proxies: (0..proxies).collect(), ..RelayState::default() };
        Relay::listen(Arc::new(Mutex::new(state)), Arc::new(Notify::new()), Arc::new(Semaphore::new(0))).await
    }

    async fn listen(
        state: Arc<Mutex<RelayState>>,
        changed: Arc<Notify>,
        releases: Arc<Semaphore>,
    ) -> std::io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let mut accept_task = JoinSet::new();
        accept_task.spawn(accept(listener, state.clone(), changed.clone(), releases.clone()));
        Ok(Relay { address, state, changed, releases, _accept_task: accept_task })
    }

    /// Serves the same state at one more address.
    pub async fn at_new_address(&self) -> std::io::Result<Relay> {
        Relay::listen(self.state.clone(), self.changed.clone(), self.releases.clone()).await
    }

    /// Injects a fault into each of the next calls.
    pub fn inject(&self, faults: &[Fault]) {
        locked(&self.state).faults.extend(faults);
    }

    /// Releases one held answer.
    pub fn release(&self) {
        self.releases.add_permits(1);
    }

    /// Accesses the relay's state.
    pub fn with<T>(&self, look: impl FnOnce(&mut RelayState) -> T) -> T {
        look(&mut locked(&self.state))
    }

    /// Disconnects all subscribers in the middle of a line.
    pub fn cut(&self) {
        self.with(|state| {
            let half = || Notification::Half(r#"{"jsonrpc":"2.0","method":"AC"#);
            state.subscribers.drain(..).for_each(|subscriber| _ = subscriber.try_send(half()));
        });
    }

    /// Waits until the condition holds.
    pub async fn until(&self, condition: impl Fn(&RelayState) -> bool) {
        loop {
            let changed = self.changed.notified();
            if self.with(|state| condition(state)) {
                return;
            }
            changed.await;
        }
    }
}

async fn accept(
    listener: TcpListener,
    state: Arc<Mutex<RelayState>>,
    changed: Arc<Notify>,
    releases: Arc<Semaphore>,
) {
    let mut connections = JoinSet::new();
    while let Ok((socket, _)) = listener.accept().await {
        connections.spawn(serve(socket, state.clone(), changed.clone(), releases.clone()));
    }
}

/// Writes an answer with the fault applied; returns false if the connection must close.
async fn write_answer(
    fault: Option<Fault>,
    lines: &mut Framed<TcpStream, LinesCodec>,
    answer: &str,
    releases: &Semaphore,
) -> std::io::Result<bool> {
    let line = format!("{answer}\n");
    let socket = lines.get_mut();
    match fault {
        Some(Fault::Torn) => socket.write_all(&line.as_bytes()[..line.len() / 2]).await.map(|()| false),
        Some(Fault::Reset) => {
            socket.write_all(&line.as_bytes()[..line.len() / 2]).await?;
            socket.set_zero_linger().map(|()| false)
        }
        Some(Fault::AnswerThenClose) => socket.write_all(line.as_bytes()).await.map(|()| false),
        Some(Fault::ByteByByte) => {
            for byte in line.as_bytes().chunks(1) {
                socket.write_all(byte).await?;
            }
            Ok(true)
        }
        Some(Fault::Duplicated) => socket.write_all(line.repeat(2).as_bytes()).await.map(|()| true),
        Some(Fault::Held) => {
            let Ok(permit) = releases.acquire().await else { return Ok(false) };
            permit.forget();
            socket.write_all(line.as_bytes()).await.map(|()| true)
        }
        _ => socket.write_all(line.as_bytes()).await.map(|()| true),
    }
}

async fn serve(
    socket: TcpStream,
    state: Arc<Mutex<RelayState>>,
    changed: Arc<Notify>,
    releases: Arc<Semaphore>,
) {
    let _ = socket.set_nodelay(true);
    let mut lines = Framed::new(socket, LinesCodec::new());
    while let Some(Ok(line)) = lines.next().await {
        let call: Value = serde_json::from_str(&line).unwrap_or_default();
        if call["method"] == "subscribe" {
            return serve_subscription(lines, &call, state, changed).await;
        }
        let changes = call["params"]["changes"].as_array().cloned().unwrap_or_default();
        let (fault, executed) = {
            let mut state = locked(&state);
            state.calls += 1;
            let id = call["id"].as_u64().unwrap_or(0);
            // A restarted process counts its calls from 1.
            if id > 1 && id < state.latest_call {
                state.late_calls += 1;
                continue;
            }
            state.latest_call = id;
            let fault = state.faults.pop_front();
            let executed = match fault {
                Some(Fault::Lost | Fault::Throttled) => 0,
                _ => state.execute(&changes),
            };
            (fault, executed)
        };
        changed.notify_waiters();
        let id = &call["id"];
        let answer = match fault {
            Some(Fault::Unanswered | Fault::Lost) => continue,
            Some(Fault::Broken) => return,
            Some(Fault::Malformed) => json!({"jsonrpc": "2.0", "id": id, "result": {"ok_count": "all"}}),
            Some(Fault::Throttled) => {
                json!({"jsonrpc": "2.0", "id": id, "error": {"code": -32000, "message": "Throttling"}})
            }
            _ => json!({"jsonrpc": "2.0", "id": id, "result": {"ok_count": executed}}),
        };
        if !write_answer(fault, &mut lines, &answer.to_string(), &releases).await.unwrap_or(false) {
            return;
        }
    }
}

/// Serves a subscription: the current state, then notifications and pings.
async fn serve_subscription(
    mut lines: Framed<TcpStream, LinesCodec>,
    call: &Value,
    state: Arc<Mutex<RelayState>>,
    changed: Arc<Notify>,
) {
    let (subscriber, mut queue) = mpsc::channel(SUBSCRIBER_QUEUE);
    let first = json!({"jsonrpc": "2.0", "id": call["id"], "result": true}).to_string();
    let silent = locked(&state).silent_subscriptions;
    if silent {
        return std::future::pending().await;
    }
    let (snapshot, cut_after) = {
        let mut state = locked(&state);
        state.subscribers.push(subscriber);
        state.subscriptions += 1;
        (state.snapshot(), state.cut_after)
    };
    changed.notify_waiters();
    for line in [first].into_iter().chain(snapshot).take(cut_after.unwrap_or(usize::MAX)) {
        if lines.send(line).await.is_err() {
            return;
        }
    }
    if cut_after.is_some() {
        return;
    }
    let mut ping_interval = tokio::time::interval(Duration::from_millis(200));
    loop {
        let line = tokio::select! {
            line = queue.recv() => match line {
                Some(Notification::Line(line)) => line,
                Some(Notification::Half(half)) => {
                    let _ = lines.get_mut().write_all(half.as_bytes()).await;
                    return;
                }
                None => return,
            },
            _ = ping_interval.tick() => notification("ping", json!({})),
        };
        if lines.send(line).await.is_err() {
            return;
        }
    }
}

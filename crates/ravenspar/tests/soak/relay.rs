//! The relay as one steward reaches it: carries out calls at the store, sends notifications, and has faults
//! of its own.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use serde_json::{json, Value};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{interval, sleep, Instant};
use tokio_util::codec::{Framed, LinesCodec};

use crate::store::Store;

/// A fault of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFault {
    /// Not carried out, and not answered.
    Lost,
    /// Carried out, and not answered.
    Unanswered,
    /// Carried out, and the connection breaks.
    Broken,
    /// Carried out, and the answer can't be read.
    Corrupt,
    /// Refused with a throttling error.
    Throttled,
}

impl CallFault {
    /// Returns how long time limits are paused after it, by the platform's page: 0.5 s when the relay breaks
    /// a call, 1.5 s when it is silent or its answer can't be read.
    fn limits_pause(self) -> Duration {
        match self {
            CallFault::Broken => Duration::from_millis(500),
            CallFault::Lost | CallFault::Unanswered | CallFault::Corrupt => Duration::from_millis(1_500),
            CallFault::Throttled => Duration::ZERO,
        }
    }
}

pub const CALL_FAULTS: [CallFault; 5] =
    [CallFault::Lost, CallFault::Unanswered, CallFault::Broken, CallFault::Corrupt, CallFault::Throttled];

/// The state of the link between a steward and the relay.
#[derive(Default)]
pub struct Link {
    /// Nothing passes, and no connection shows it.
    pub cut: bool,
    /// Subscriptions, open and new ones, send nothing.
    pub silent: bool,
    /// Subscriptions up to this number have ended.
    pub ended_up_to: u64,
    subscriptions: u64,
    pub faults: VecDeque<CallFault>,
    /// The highest id of a call that was read: the steward has given up all calls before it.
    latest_call: u64,
}

/// How long open connections stay usable at an address that the relay has left.
pub const CLOSED_AFTER: Duration = Duration::from_millis(1_500);

/// One address of the relay, with the connections accepted there.
pub struct Endpoint {
    pub address: SocketAddr,
    accepting: AbortHandle,
    connections: Rc<RefCell<Vec<AbortHandle>>>,
}

impl Endpoint {
    /// Accepts no new connection, and closes the open ones after [`CLOSED_AFTER`].
    pub async fn close(self) {
        self.accepting.abort();
        sleep(CLOSED_AFTER).await;
        self.connections.borrow().iter().for_each(AbortHandle::abort);
    }
}

/// The relay of one steward.
pub struct Relay {
    steward: usize,
    store: Rc<RefCell<Store>>,
    pub link: Rc<RefCell<Link>>,
    endpoint: RefCell<Endpoint>,
}

impl Relay {
    pub async fn start(steward: usize, store: Rc<RefCell<Store>>) -> std::io::Result<Relay> {
        let link = Rc::default();
        let endpoint = open(steward, &store, &link).await?;
        Ok(Relay { steward, store, link, endpoint: RefCell::new(endpoint) })
    }

    pub fn address(&self) -> SocketAddr {
        self.endpoint.borrow().address
    }

    /// Serves at an additional address.
    pub async fn open(&self) -> std::io::Result<Endpoint> {
        open(self.steward, &self.store, &self.link).await
    }

    /// Makes this the relay's address, and returns the last one.
    pub fn move_to(&self, endpoint: Endpoint) -> Endpoint {
        self.endpoint.replace(endpoint)
    }

    /// Ends all open subscriptions.
    pub fn end_subscriptions(&self) {
        let mut link = self.link.borrow_mut();
        link.ended_up_to = link.subscriptions;
    }

    /// A new process of the steward counts its calls from 1.
    pub fn reset_calls(&self) {
        self.link.borrow_mut().latest_call = 0;
    }
}

async fn open(
    steward: usize,
    store: &Rc<RefCell<Store>>,
    link: &Rc<RefCell<Link>>,
) -> std::io::Result<Endpoint> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let connections = Rc::<RefCell<Vec<AbortHandle>>>::default();
    let (store, link, accepted) = (store.clone(), link.clone(), connections.clone());
    let accepting = spawn_local(async move {
        while let Ok((socket, _)) = listener.accept().await {
            let serving = spawn_local(serve(socket, steward, store.clone(), link.clone()));
            let mut accepted = accepted.borrow_mut();
            accepted.retain(|connection| !connection.is_finished());
            accepted.push(serving.abort_handle());
        }
    });
    Ok(Endpoint { address, accepting: accepting.abort_handle(), connections })
}

/// Time for all calls that have arrived to be read before the first is carried out.
const READ_TIME: Duration = Duration::from_millis(10);

type Lines = Framed<TcpStream, LinesCodec>;

/// Serves one connection: calls, or a subscription.
async fn serve(socket: TcpStream, steward: usize, store: Rc<RefCell<Store>>, link: Rc<RefCell<Link>>) {
    let _ = socket.set_nodelay(true);
    let mut lines = Framed::new(socket, LinesCodec::new());
    while let Some(Ok(line)) = lines.next().await {
        if link.borrow().cut {
            continue;
        }
        let call: Value = serde_json::from_str(&line).unwrap_or_default();
        if call["method"] == "subscribe" {
            return send_notifications(lines, &call["id"], steward, store, link).await;
        }
        // If this thread was delayed, calls that the steward has given up may be queued beside the current
        // one: the platform carries a call out within 50 ms or never.
        let id = call["id"].as_u64().unwrap_or(0);
        let latest = link.borrow().latest_call.max(id);
        link.borrow_mut().latest_call = latest;
        sleep(READ_TIME).await;
        let Some(answer) = carry_out(&call, steward, &store, &link) else { return };
        if let Some(answer) = answer {
            if lines.send(answer.to_string()).await.is_err() {
                return;
            }
        }
    }
}

/// Returns the answer, if there is one, or `None` if the connection breaks.
fn carry_out(
    call: &Value,
    steward: usize,
    store: &RefCell<Store>,
    link: &RefCell<Link>,
) -> Option<Option<Value>> {
    let id = call["id"].as_u64().unwrap_or(0);
    let mut link = link.borrow_mut();
    if id < link.latest_call {
        return Some(None);
    }
    let fault = link.faults.pop_front();
    if let Some(fault) = fault {
        store.borrow_mut().pause_limits(steward, fault.limits_pause());
    }
    let carry_out_orders = || {
        let orders = call["params"]["changes"].as_array().cloned().unwrap_or_default();
        store.borrow_mut().carry_out(steward, &orders)
    };
    match fault {
        None => Some(Some(json!({"jsonrpc": "2.0", "id": id, "result": {"ok_count": carry_out_orders()}}))),
        Some(CallFault::Lost) => Some(None),
        Some(CallFault::Throttled) => Some(Some(
            json!({"jsonrpc": "2.0", "id": id, "error": {"code": -32000, "message": "Throttling"}}),
        )),
        Some(CallFault::Unanswered) => {
            carry_out_orders();
            Some(None)
        }
        Some(CallFault::Broken) => {
            carry_out_orders();
            None
        }
        Some(CallFault::Corrupt) => {
            carry_out_orders();
            Some(Some(json!({"jsonrpc": "2.0", "id": id, "result": {"ok_count": "all"}})))
        }
    }
}

/// Sends notifications until the subscription ends.
async fn send_notifications(
    mut lines: Lines,
    id: &Value,
    steward: usize,
    store: Rc<RefCell<Store>>,
    link: Rc<RefCell<Link>>,
) {
    const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
    let number = {
        let mut link = link.borrow_mut();
        link.subscriptions += 1;
        link.subscriptions
    };
    // A subscription that fell silent never sends what it missed.
    let mut is_dead = false;
    store.borrow_mut().subscribe(steward, id);
    let mut tick = interval(Duration::from_millis(5));
    let mut next_heartbeat = Instant::now() + Duration::from_millis(fastrand::u64(100..1_000));
    loop {
        tick.tick().await;
        let (is_over, is_last) = {
            let link = link.borrow();
            is_dead |= link.silent || link.cut;
            (link.ended_up_to >= number, link.subscriptions == number)
        };
        if is_over || !is_last {
            break;
        }
        if is_dead {
            continue;
        }
        if Instant::now() >= next_heartbeat {
            next_heartbeat += HEARTBEAT_INTERVAL;
            store.borrow_mut().heartbeat(steward);
        }
        loop {
            let line = store.borrow_mut().next_notification(steward);
            let Some(line) = line else { break };
            if lines.send(line).await.is_err() {
                return;
            }
        }
    }
    if link.borrow().subscriptions == number {
        store.borrow_mut().unsubscribe(steward);
    }
    // A connection that is no longer read ends a moment later.
    sleep(Duration::from_millis(5)).await;
}

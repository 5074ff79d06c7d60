//! Clients with an open-loop load: seeded random arrivals that don't wait for responses, and retries.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use ravenspar_protocol::{codec, Body, Frame};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio_util::codec::{FramedRead, FramedWrite};

use crate::wire::{status, tag, MAX_FRAME_BYTES, REQ, RES};
use crate::{duration, Capture, Event, Time, SECOND};

/// The load of one request kind.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Weight of the kind among all arrivals.
    pub share: f64,
    /// Mean work in seconds of one core at speed 1: half is fixed, half exponentially distributed.
    pub work: f64,
    pub client_timeout: Time,
    /// True if it may be retried after any failure; otherwise only after a denial.
    pub replayable: bool,
}

/// The load that clients offer.
#[derive(Clone, Debug)]
pub struct Load {
    /// First tries per second, over all clients.
    pub rate: f64,
    pub kinds: Vec<Kind>,
    pub keys: u64,
    /// Exponent of the keys' Zipf distribution: the nth key has a weight of n to the power of minus `skew`.
    pub skew: f64,
    pub retries: u64,
    pub retry_after: Time,
    pub seed: u64,
}

/// All clients of a run.
pub struct Clients {
    load: Load,
    capture: Capture,
    /// Multiplier of the rate, for an overload.
    pub rate_multiplier: Cell<f64>,
    connections: Vec<Rc<Connection>>,
    rng: RefCell<fastrand::Rng>,
    /// Cumulative weights of the keys.
    keys: Vec<f64>,
    next: Cell<u64>,
    probes: Cell<u64>,
    open: Cell<u64>,
}

/// A connection to one forwarder, reopened after it breaks.
struct Connection {
    /// The forwarder's address, which changes when it restarts.
    address: Cell<Option<SocketAddr>>,
    frames: RefCell<Option<mpsc::Sender<Bytes>>>,
    pending: RefCell<BTreeMap<u64, oneshot::Sender<u64>>>,
    connecting: Cell<bool>,
    tries: Cell<u64>,
}

impl Clients {
    pub fn new(load: Load, forwarders: usize, capture: Capture) -> Rc<Clients> {
        let mut sum = 0.0;
        let weights = (1..=load.keys).map(|n| (n as f64).powf(-load.skew));
        let keys = weights.map(|weight| (sum += weight, sum).1).collect();
        let connection = || Connection {
            address: Cell::new(None),
            frames: RefCell::new(None),
            pending: RefCell::default(),
            connecting: Cell::new(false),
            tries: Cell::new(0),
        };
        Rc::new(Clients {
            rng: RefCell::new(fastrand::Rng::with_seed(load.seed)),
            load,
            capture,
            rate_multiplier: Cell::new(1.0),
            connections: (0..forwarders).map(|_| Rc::new(connection())).collect(),
            keys,
            next: Cell::new(0),
            probes: Cell::new(0),
            open: Cell::new(0),
        })
    }

    /// Sets the address of a forwarder and drops the connection to its old one.
    pub fn set_forwarder_address(&self, number: usize, address: SocketAddr) {
        let connection = &self.connections[number];
        connection.address.set(Some(address));
        connection.frames.borrow_mut().take();
    }

    /// Returns the number of reqs without a final response.
    pub fn open(&self) -> u64 {
        self.open.get()
    }

    /// Returns true if a forwarder gets a req of this slice done. Probes aren't counted as load and take no work.
    pub async fn probe(&self, forwarder: usize, slice: u64, kind: usize) -> bool {
        let connection = &self.connections[forwarder];
        let number = connection.tries.get() + 1;
        connection.tries.set(number);
        // Ids of reqs count up from 0, those of probes down from the maximum.
        self.probes.set(self.probes.get() + 1);
        let body = Frame::new(REQ)
            .numbers(tag::ID, &[u64::MAX - self.probes.get(), 0])
            .numbers(tag::TRY, &[number])
            .numbers(tag::KIND, &[kind as u64])
            .numbers(tag::KEY, &[slice])
            .numbers(tag::WORK, &[0])
            .numbers(tag::TIMEOUT, &[SECOND as u64])
            .finish();
        let Some(answer) = connection.send(number, body).await else { return false };
        let answer = tokio::time::timeout(duration(SECOND), answer).await;
        matches!(answer, Ok(Ok(status::DONE)))
    }

    /// Sends reqs until a point in time, without waiting for responses.
    pub async fn send_until(self: &Rc<Clients>, until: Time) {
        let mut at = self.capture.now();
        loop {
            let gap = {
                let sample = self.rng.borrow_mut().f64();
                -(1.0 - sample).ln() / (self.load.rate * self.rate_multiplier.get())
            };
            at += (gap * SECOND as f64) as Time;
            if at >= until {
                return;
            }
            tokio::time::sleep(duration(at - self.capture.now())).await;
            self.start_req();
        }
    }

    fn start_req(self: &Rc<Clients>) {
        let (kind, key, work, forwarder) = {
            let mut rng = self.rng.borrow_mut();
            let mut sample = rng.f64() * self.load.kinds.iter().map(|kind| kind.share).sum::<f64>();
            let kind = self.load.kinds.iter().position(|kind| {
                sample -= kind.share;
                sample < 0.0
            });
            let kind = kind.unwrap_or(0);
            let key = rng.f64() * self.keys.last().copied().unwrap_or(0.0);
            let key = self.keys.partition_point(|&sum| sum < key) as u64;
            let work = self.load.kinds[kind].work * (0.5 - 0.5 * (1.0 - rng.f64()).ln());
            (kind, key, work, rng.usize(0..self.connections.len()))
        };
        let req = self.next.get();
        self.next.set(req + 1);
        self.open.set(self.open.get() + 1);
        self.capture.note(|at| Event::Requested { at, req, kind });
        let clients = self.clone();
        spawn_local(async move {
            let began = clients.capture.now();
            let status = clients.run_tries(req, kind, key, work, forwarder, began).await;
            clients.capture.note(|at| Event::Answered { at, req, kind, status, took: at - began });
            clients.open.set(clients.open.get() - 1);
        });
    }

    /// Sends the first try and the retries, all within the client timeout; returns the final status.
    async fn run_tries(
        &self,
        req: u64,
        kind: usize,
        key: u64,
        work: f64,
        forwarder: usize,
        began: Time,
    ) -> u64 {
        let own = &self.load.kinds[kind];
        let mut last = status::ERRORED;
        for attempt in 0..=self.load.retries {
            let left = began + own.client_timeout - self.capture.now();
            if left <= 0 {
                break;
            }
            // Each retry goes to the next forwarder.
            let connection = &self.connections[(forwarder + attempt as usize) % self.connections.len()];
            let number = connection.tries.get() + 1;
            connection.tries.set(number);
            let body = Frame::new(REQ)
                .numbers(tag::ID, &[req, attempt])
                .numbers(tag::TRY, &[number])
                .numbers(tag::KIND, &[kind as u64])
                .numbers(tag::KEY, &[key])
                .numbers(tag::WORK, &[ravenspar_protocol::millionths(work)])
                .numbers(tag::TIMEOUT, &[left as u64])
                .finish();
            let sent = tokio::time::timeout(duration(left), connection.send(number, body)).await;
            last = match sent {
                Ok(Some(answer)) => {
                    let left = began + own.client_timeout - self.capture.now();
                    match tokio::time::timeout(duration(left), answer).await {
                        Ok(answer) => answer.unwrap_or(status::ERRORED),
                        Err(_) => return status::ERRORED,
                    }
                }
                // It was never sent.
                _ => status::DENIED,
            };
            let never_ran = matches!(last, status::DENIED | status::FULL | status::LATE);
            if last == status::DONE || !(own.replayable || never_ran) {
                break;
            }
            tokio::time::sleep(duration(self.load.retry_after)).await;
        }
        last
    }
}

impl Connection {
    /// Sends a try to the forwarder; returns `None` if it can't be connected to.
    async fn send(self: &Rc<Connection>, number: u64, body: Bytes) -> Option<oneshot::Receiver<u64>> {
        if self.frames.borrow().is_none() {
            self.connect().await?;
        }
        let (answer, answered) = oneshot::channel();
        self.pending.borrow_mut().insert(number, answer);
        let sent = self.frames.borrow().as_ref().is_some_and(|frames| frames.try_send(body).is_ok());
        if !sent {
            self.pending.borrow_mut().remove(&number);
            return None;
        }
        Some(answered)
    }

    async fn connect(self: &Rc<Connection>) -> Option<()> {
        while self.connecting.get() {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
        if self.frames.borrow().is_some() {
            return Some(());
        }
        let address = self.address.get()?;
        self.connecting.set(true);
        let socket = TcpStream::connect(address).await;
        self.connecting.set(false);
        let socket = socket.ok()?;
        let _ = socket.set_nodelay(true);
        let (read, write) = socket.into_split();
        let (frames, mut queue) = mpsc::channel::<Bytes>(4096);
        *self.frames.borrow_mut() = Some(frames);
        spawn_local(async move {
            let mut frames = FramedWrite::new(write, codec(MAX_FRAME_BYTES));
            while let Some(body) = queue.recv().await {
                if frames.send(body).await.is_err() {
                    return;
                }
            }
        });
        let connection = self.clone();
        spawn_local(async move {
            let mut frames = FramedRead::new(read, codec(MAX_FRAME_BYTES));
            while let Some(Ok(body)) = frames.next().await {
                if let Some((number, status)) = read_answer(&body) {
                    if let Some(waiter) = connection.pending.borrow_mut().remove(&number) {
                        let _ = waiter.send(status);
                    }
                }
            }
            // Dropping the senders fails the pending tries.
            connection.frames.borrow_mut().take();
            connection.pending.borrow_mut().clear();
        });
        Some(())
    }
}

fn read_answer(body: &[u8]) -> Option<(u64, u64)> {
    let mut body = Body::new(body).ok().filter(|body| body.kind() == RES)?;
    let (mut number, mut status) = (0, status::ERRORED);
    while let Some((tag, mut field)) = body.field().ok()? {
        match tag {
            tag::TRY => number = field.number().ok()?,
            tag::STATUS => status = field.number().ok()?,
            _ => {}
        }
    }
    Some((number, status))
}

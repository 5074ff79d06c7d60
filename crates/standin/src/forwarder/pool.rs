//! One connection to each plan server, opened on first use and shared by many tries.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use ravenspar_protocol::{codec, Body, Frame};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::spawn_local;
use tokio_util::codec::{FramedRead, FramedWrite};

use super::{Core, Forwarder, Req};
use crate::wire::{status, tag, GREETING, MAX_FRAME_BYTES, REQ, RES};
use crate::{duration, Clock, Time};

/// Timeout for a connection to open and deliver the server's greeting.
const CONNECT_TIMEOUT: Time = 4_000;

/// Status of a try and the server's utilisation.
type Answer = (u64, f64);

/// A connection to a plan server, open or not.
pub struct Connection {
    pub address: SocketAddr,
    open: RefCell<Option<Open>>,
    connecting: Cell<bool>,
    connect_done: Notify,
    tries: Cell<u64>,
}

struct Open {
    /// Number of a try, its frame, and the time after which it must not be sent.
    frames: mpsc::Sender<(u64, Bytes, Time)>,
    pending: BTreeMap<u64, oneshot::Sender<Answer>>,
    /// The server's clock as last received, and the local clock at that moment.
    clock_sample: (Time, Time),
}

impl Connection {
    pub fn new(address: SocketAddr) -> Connection {
        Connection {
            address,
            open: RefCell::new(None),
            connecting: Cell::new(false),
            connect_done: Notify::new(),
            tries: Cell::new(0),
        }
    }

    /// Queues a try; returns `None` if the connection has closed or its queue is full. Times are by the forwarder's clock.
    pub fn send(
        self: &Rc<Connection>,
        core: &Core,
        req: &Req,
        slice: u64,
        writes: bool,
        start_by: Time,
        finish_by: Time,
    ) -> Option<oneshot::Receiver<Answer>> {
        let mut open = self.open.borrow_mut();
        let open = open.as_mut()?;
        let try_number = self.tries.get() + 1;
        self.tries.set(try_number);
        // The server read its clock before the local clock was read, so a converted time is never later than intended.
        let (server_time, local_time) = open.clock_sample;
        let at_server = |time: Time| (server_time + (time - local_time)).max(0) as u64;
        let body = Frame::new(REQ)
            .numbers(tag::ID, &[req.id, req.attempt])
            .numbers(tag::TRY, &[try_number])
            .numbers(tag::KIND, &[req.kind])
            .numbers(tag::WORK, &[req.work])
            .numbers(tag::SLICE, &[slice])
            .numbers(tag::WRITES, &[u64::from(writes)])
            .numbers(tag::FORWARDER, &[core.options.number])
            .numbers(tag::START_BY, &[at_server(start_by)])
            .numbers(tag::FINISH_BY, &[at_server(finish_by)])
            .finish();
        let (answer, answered) = oneshot::channel();
        open.frames.try_send((try_number, body, start_by)).ok()?;
        open.pending.insert(try_number, answer);
        Some(answered)
    }

    fn answered(&self, try_number: u64, answer: Answer) {
        if let Some(open) = self.open.borrow_mut().as_mut() {
            if let Some(waiter) = open.pending.remove(&try_number) {
                let _ = waiter.send(answer);
            }
        }
    }
}

/// Waits until there is a connection; fails if it couldn't be opened.
pub async fn ready(forwarder: &Forwarder, connection: &Rc<Connection>) -> Result<(), ()> {
    if connection.open.borrow().is_some() {
        return Ok(());
    }
    if !connection.connecting.replace(true) {
        let clock = forwarder.core.borrow().clock;
        spawn_local(connect(clock, connection.clone()));
    }
    loop {
        let connect_done = connection.connect_done.notified();
        if !connection.connecting.get() {
            return if connection.open.borrow().is_some() { Ok(()) } else { Err(()) };
        }
        connect_done.await;
    }
}

async fn connect(clock: Clock, connection: Rc<Connection>) {
    let opening = async {
        let socket = TcpStream::connect(connection.address).await.ok()?;
        let _ = socket.set_nodelay(true);
        let (read, write) = socket.into_split();
        let mut read = FramedRead::new(read, codec(MAX_FRAME_BYTES));
        let greeting = read.next().await?.ok()?;
        let mut body = Body::new(&greeting).ok().filter(|body| body.kind() == GREETING)?;
        let mut server_time = 0;
        while let Some((tag, mut field)) = body.field().ok()? {
            if tag == tag::NOW {
                server_time = field.time().ok()?;
            }
        }
        Some((read, write, server_time))
    };
    let opened = tokio::time::timeout(duration(CONNECT_TIMEOUT), opening).await.ok().flatten();
    connection.connecting.set(false);
    let Some((mut read, write, server_time)) = opened else {
        return connection.connect_done.notify_waiters();
    };
    let (frames, mut queue) = mpsc::channel::<(u64, Bytes, Time)>(1024);
    *connection.open.borrow_mut() =
        Some(Open { frames, pending: BTreeMap::new(), clock_sample: (server_time, clock.now()) });
    connection.connect_done.notify_waiters();
    let writer = async {
        let mut frames = FramedWrite::new(write, codec(MAX_FRAME_BYTES));
        while let Some((try_number, body, start_by)) = queue.recv().await {
            // Checked again right before it is sent.
            if clock.now() >= start_by {
                connection.answered(try_number, (status::LATE, 0.0));
            } else if frames.send(body).await.is_err() {
                return;
            }
        }
    };
    let reader = async {
        while let Some(Ok(body)) = read.next().await {
            let Some((try_number, answer, server_time)) = read_answer(&body) else { continue };
            if let Some(open) = connection.open.borrow_mut().as_mut() {
                open.clock_sample = (server_time, clock.now());
            }
            connection.answered(try_number, answer);
        }
    };
    tokio::select! {
        () = writer => {}
        () = reader => {}
    }
    // Dropping the senders fails the pending tries.
    connection.open.borrow_mut().take();
}

fn read_answer(body: &[u8]) -> Option<(u64, Answer, Time)> {
    let mut body = Body::new(body).ok().filter(|body| body.kind() == RES)?;
    let (mut try_number, mut status, mut util, mut now) = (0, status::ERRORED, 0.0, 0);
    while let Some((tag, mut field)) = body.field().ok()? {
        match tag {
            tag::TRY => try_number = field.number().ok()?,
            tag::STATUS => status = field.number().ok()?,
            tag::UTIL => util = field.fraction().ok()?,
            tag::NOW => now = field.time().ok()?,
            _ => {}
        }
    }
    Some((try_number, (status, util), now))
}

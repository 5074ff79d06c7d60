//! A plan server: cores with a speed, a queue, a cold start, and injected faults.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use ravenspar_protocol::{codec, Body, DecodeError, Frame};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::task::{spawn_local, AbortHandle};
use tokio_util::codec::{FramedRead, FramedWrite};

use crate::wire::{status, tag, GREETING, MAX_FRAME_BYTES, REQ, RES};
use crate::{duration, Capture, Event, Time, SECOND};

/// The capacity of a plan server.
#[derive(Clone, Debug)]
pub struct Model {
    pub cores: usize,
    /// Work in seconds of one core at speed 1 that a core does per second.
    pub speed: f64,
    /// Maximum number of waiting reqs; more are rejected.
    pub queue: usize,
    /// Maximum number of connections; more are closed.
    pub connections: usize,
    /// The share of its capacity at start, and how long until it has full capacity.
    pub cold_from: f64,
    pub cold_for: Time,
    /// While cold it crashes if it receives this multiple of the work that it can do in this time.
    pub fall_multiple: f64,
    pub fall_for: Time,
}

/// Faults injected into a plan server.
#[derive(Clone, Debug, Default)]
pub struct InjectedFaults {
    /// It neither reads nor answers.
    pub hung: bool,
    /// The share of reqs that fail, of one kind if that is set.
    pub failing: f64,
    pub failing_kind: Option<u64>,
    /// Failing reqs are never answered, instead of answered at once.
    pub silent: bool,
    /// The utilisation that it reports, whatever the true one.
    pub reported_util: Option<f64>,
    /// Delay before a new connection is usable.
    pub slow_connects: Time,
}

/// An accepted req.
struct Job {
    req: u64,
    attempt: u64,
    slice: u64,
    writes: bool,
    /// Seconds of one core at speed 1.
    work: f64,
    finish_by: Time,
    answer: mpsc::Sender<Bytes>,
    try_number: u64,
}

/// A plan server. It keeps its address over restarts.
pub struct Server {
    pub id: String,
    pub zone: String,
    pub address: SocketAddr,
    pub model: Model,
    capture: Capture,
    /// When it last started; 0 if it was warm from the beginning.
    boot: Cell<Time>,
    up: Cell<bool>,
    /// Crashed by overload; it isn't restarted.
    crashed: Cell<bool>,
    draining: Cell<bool>,
    injected: RefCell<InjectedFaults>,
    faults_changed: Notify,
    /// Incremented when the server stops, so that jobs of an earlier incarnation are dropped.
    incarnation: Cell<u64>,
    busy: Cell<usize>,
    connections: Cell<usize>,
    waiting: RefCell<VecDeque<Job>>,
    /// Work received within `fall_for`: when, and seconds of it.
    received_work: RefCell<VecDeque<(Time, f64)>>,
    /// Busy core seconds up to a time.
    busy_time: Cell<(f64, Time)>,
    /// Busy core seconds and time at the last utilisation sample, and that sample.
    last_sample: Cell<(f64, Time, f64)>,
    tasks: RefCell<Vec<AbortHandle>>,
    rng: RefCell<fastrand::Rng>,
}

impl Server {
    /// Starts a server that is warm.
    pub async fn start(
        id: &str,
        zone: &str,
        model: Model,
        seed: u64,
        capture: Capture,
    ) -> io::Result<Rc<Server>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let server = Rc::new(Server {
            id: id.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr()?,
            model,
            capture,
            boot: Cell::new(0),
            up: Cell::new(true),
            crashed: Cell::new(false),
            draining: Cell::new(false),
            injected: RefCell::default(),
            faults_changed: Notify::new(),
            incarnation: Cell::new(0),
            busy: Cell::new(0),
            connections: Cell::new(0),
            waiting: RefCell::default(),
            received_work: RefCell::default(),
            busy_time: Cell::new((0.0, 0)),
            last_sample: Cell::new((0.0, 0, 0.0)),
            tasks: RefCell::default(),
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
        });
        server.capture.note(|at| Event::Up { at, server: server.id.clone(), cold: false });
        server.listen(listener);
        Ok(server)
    }

    /// Returns when it last started; 0 if it was warm from the beginning.
    pub fn boot(&self) -> Time {
        self.boot.get()
    }

    /// Returns false between a stop or crash and the next start.
    pub fn is_up(&self) -> bool {
        self.up.get()
    }

    /// Finishes accepted reqs and rejects new ones.
    pub fn drain(&self) {
        self.draining.set(true);
    }

    /// Replaces the injected faults.
    pub fn inject_faults(&self, injected: InjectedFaults) {
        *self.injected.borrow_mut() = injected;
        self.faults_changed.notify_waiters();
    }

    /// Stops at once, dropping all reqs and connections.
    pub fn crash(&self) {
        if !self.up.replace(false) {
            return;
        }
        self.incarnation.set(self.incarnation.get() + 1);
        self.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
        self.waiting.borrow_mut().clear();
        self.busy.set(0);
        self.connections.set(0);
        self.capture.note(|at| Event::Down { at, server: self.id.clone() });
    }

    /// Starts again, cold; does nothing if it is up or has crashed by overload.
    pub fn restart(self: &Rc<Server>) -> io::Result<()> {
        if self.up.get() || self.crashed.get() {
            return Ok(());
        }
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.address)?;
        let listener = socket.listen(1024)?;
        self.start_cold();
        self.listen(listener);
        Ok(())
    }

    /// Becomes cold, without faults, as if it had just started.
    pub fn start_cold(&self) {
        self.up.set(true);
        self.draining.set(false);
        *self.injected.borrow_mut() = InjectedFaults::default();
        self.received_work.borrow_mut().clear();
        self.boot.set(self.capture.now());
        self.capture.note(|at| Event::Up { at, server: self.id.clone(), cold: true });
    }

    /// Returns the share of its capacity that it has now.
    fn capacity_share(&self, now: Time) -> f64 {
        let model = &self.model;
        if self.boot.get() == 0 {
            return 1.0;
        }
        let ramp = (now - self.boot.get()) as f64 / model.cold_for.max(1) as f64;
        (model.cold_from + (1.0 - model.cold_from) * ramp).clamp(model.cold_from, 1.0)
    }

    fn listen(self: &Rc<Server>, listener: TcpListener) {
        let server = self.clone();
        let task = spawn_local(async move {
            while let Ok((socket, _)) = listener.accept().await {
                // Connections above the host's limit are closed.
                if server.connections.get() < server.model.connections {
                    server.connections.set(server.connections.get() + 1);
                    let task = spawn_local(server.clone().connection(socket)).abort_handle();
                    let mut tasks = server.tasks.borrow_mut();
                    tasks.retain(|task| !task.is_finished());
                    tasks.push(task);
                }
            }
        });
        self.tasks.borrow_mut().push(task.abort_handle());
    }

    async fn wait_while_hung(&self) {
        loop {
            let faults_changed = self.faults_changed.notified();
            if !self.injected.borrow().hung {
                return;
            }
            faults_changed.await;
        }
    }

    async fn connection(self: Rc<Server>, socket: TcpStream) {
        let incarnation = self.incarnation.get();
        let _ = socket.set_nodelay(true);
        let (read, write) = socket.into_split();
        let (answers, mut queue) = mpsc::channel::<Bytes>(1024);
        let slow = self.injected.borrow().slow_connects;
        tokio::time::sleep(duration(slow)).await;
        self.wait_while_hung().await;
        let writer = async {
            let mut frames = FramedWrite::new(write, codec(MAX_FRAME_BYTES));
            while let Some(body) = queue.recv().await {
                self.wait_while_hung().await;
                if frames.send(body).await.is_err() {
                    return;
                }
            }
        };
        let now = self.capture.now() as u64;
        let _ = answers.send(Frame::new(GREETING).numbers(tag::NOW, &[now]).finish()).await;
        let reader = async {
            let mut frames = FramedRead::new(read, codec(MAX_FRAME_BYTES));
            while let Some(Ok(body)) = frames.next().await {
                self.wait_while_hung().await;
                if self.take(&body, &answers).is_err() {
                    return;
                }
            }
        };
        tokio::select! {
            () = writer => {}
            () = reader => {}
        }
        if incarnation == self.incarnation.get() {
            self.connections.set(self.connections.get() - 1);
        }
    }

    fn take(self: &Rc<Server>, body: &BytesMut, answers: &mpsc::Sender<Bytes>) -> Result<(), DecodeError> {
        let mut body = Body::new(body)?;
        if body.kind() != REQ {
            return Ok(());
        }
        let (mut kind, mut start_by, mut forwarder) = (0, Time::MAX, 0);
        let answer = answers.clone();
        let (req, attempt, try_number, slice, writes, work) = (0, 0, 0, 0, false, 0.0);
        let mut job = Job { req, attempt, slice, writes, work, finish_by: Time::MAX, answer, try_number };
        while let Some((tag, mut field)) = body.field()? {
            match tag {
                tag::ID => (job.req, job.attempt) = (field.number()?, field.number()?),
                tag::KIND => kind = field.number()?,
                tag::WORK => job.work = field.fraction()?,
                tag::START_BY => start_by = field.time()?,
                tag::FINISH_BY => job.finish_by = field.time()?,
                tag::FORWARDER => forwarder = field.number()?,
                tag::SLICE => job.slice = field.number()?,
                tag::WRITES => job.writes = field.number()? != 0,
                tag::TRY => job.try_number = field.number()?,
                _ => {}
            }
        }
        let now = self.capture.now();
        let injected = self.injected.borrow().clone();
        let fails = injected.failing > 0.0
            && injected.failing_kind.is_none_or(|failing| failing == kind)
            && self.rng.borrow_mut().f64() < injected.failing;
        let rejection = if now > start_by {
            Some(status::LATE)
        } else if self.draining.get() || self.waiting.borrow().len() >= self.model.queue {
            Some(status::FULL)
        } else if fails {
            Some(status::ERRORED)
        } else {
            None
        };
        if let Some(status) = rejection {
            let (server, req, slice, writes) = (self.id.clone(), job.req, job.slice, job.writes);
            self.capture.note(|at| Event::Rejected { at, server, req, slice, writes, forwarder, status });
            if !(fails && injected.silent && status == status::ERRORED) {
                self.answer(&job, status);
            }
            return Ok(());
        }
        let (server, req, attempt, slice, writes) =
            (self.id.clone(), job.req, job.attempt, job.slice, job.writes);
        let until = job.finish_by;
        self.capture.note(|at| Event::Accepted { at, server, req, attempt, slice, writes, forwarder, until });
        if self.exceeds_cold_capacity(now, job.work) {
            self.capture.note(|at| Event::Overloaded { at, server: self.id.clone(), boot: self.boot.get() });
            self.crashed.set(true);
            // Stopping aborts this task, so it is left to another.
            let server = self.clone();
            spawn_local(async move { server.crash() });
            return Ok(());
        }
        self.waiting.borrow_mut().push_back(job);
        self.start_jobs();
        Ok(())
    }

    /// Counts received work; returns true if it is more than a cold server can take.
    fn exceeds_cold_capacity(&self, now: Time, work: f64) -> bool {
        let (model, capacity_share) = (&self.model, self.capacity_share(now));
        let mut received_work = self.received_work.borrow_mut();
        received_work.push_back((now, work));
        while received_work.front().is_some_and(|&(at, _)| now - at > model.fall_for) {
            received_work.pop_front();
        }
        let window = model.fall_for as f64 / SECOND as f64;
        let capacity = model.fall_multiple * capacity_share * model.cores as f64 * model.speed * window;
        capacity_share < 1.0 && received_work.iter().map(|(_, work)| work).sum::<f64>() > capacity
    }

    fn start_jobs(self: &Rc<Server>) {
        while self.busy.get() < self.model.cores {
            let Some(job) = self.waiting.borrow_mut().pop_front() else { return };
            let now = self.capture.now();
            if now >= job.finish_by {
                self.end(&job, false);
                continue;
            }
            self.add_busy_time(now);
            self.busy.set(self.busy.get() + 1);
            let seconds = job.work / (self.model.speed * self.capacity_share(now));
            let needs = (seconds * SECOND as f64) as Time;
            let (server, incarnation) = (self.clone(), self.incarnation.get());
            // Work that can't finish in time is cut off.
            let runs = needs.min(job.finish_by - now);
            spawn_local(async move {
                tokio::time::sleep(duration(runs)).await;
                server.wait_while_hung().await;
                if incarnation != server.incarnation.get() {
                    return;
                }
                let now = server.capture.now();
                server.add_busy_time(now);
                server.busy.set(server.busy.get() - 1);
                // The time is checked again, as the server may have hung meanwhile.
                server.end(&job, runs == needs && now <= job.finish_by);
                server.start_jobs();
            });
        }
    }

    fn end(&self, job: &Job, done: bool) {
        let (server, req, attempt, slice, writes) =
            (self.id.clone(), job.req, job.attempt, job.slice, job.writes);
        self.capture.note(|at| Event::Ended { at, server, req, attempt, slice, writes, done });
        self.answer(job, if done { status::DONE } else { status::ERRORED });
    }

    /// Adds the busy core seconds since the last call.
    fn add_busy_time(&self, now: Time) {
        let (busy_time, since) = self.busy_time.get();
        let span = (now - since) as f64 / SECOND as f64;
        self.busy_time.set((busy_time + span * self.busy.get() as f64, now));
    }

    /// Returns the utilisation of its cores, sampled every half second.
    fn util(&self, now: Time) -> f64 {
        self.add_busy_time(now);
        let (busy_time, at, sample) = self.last_sample.get();
        if now - at < SECOND / 2 {
            return sample;
        }
        let span = (now - at) as f64 / SECOND as f64;
        let sample = ((self.busy_time.get().0 - busy_time) / span / self.model.cores as f64).clamp(0.0, 1.0);
        self.last_sample.set((self.busy_time.get().0, now, sample));
        sample
    }

    fn answer(&self, job: &Job, status: u64) {
        let now = self.capture.now();
        let util = self.injected.borrow().reported_util.unwrap_or_else(|| self.util(now));
        let body = Frame::new(RES)
            .numbers(tag::TRY, &[job.try_number])
            .numbers(tag::STATUS, &[status])
            .numbers(tag::UTIL, &[ravenspar_protocol::millionths(util)])
            .numbers(tag::NOW, &[now as u64])
            .finish();
        // The response is dropped if the connection has closed or its queue is full.
        let _ = job.answer.try_send(body);
    }
}

//! A forwarder: accepts clients' reqs, picks plan servers by the tables that stewards publish, and forwards the reqs.
//!
//! It runs single-threaded in a process of its own, so that it can be killed, stopped and continued for real.

mod pool;
mod stream;
mod table;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use ravenspar_protocol::{codec, Body, Frame};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::task::spawn_local;
use tokio_util::codec::{FramedRead, FramedWrite};

use crate::wire::{status, tag, MAX_FRAME_BYTES, REQ, RES};
use crate::{duration, Clock, Time};

pub use table::Table;

/// How a forwarder runs, and the faults it has.
#[derive(Clone, Debug)]
pub struct Options {
    pub number: u64,
    pub zone: String,
    pub stewards: Vec<SocketAddr>,
    pub seed: u64,
    /// Its usual rate of reqs per second.
    pub usual: f64,
    /// Microseconds that it stalls for each line applied.
    pub stall_us: u64,
    /// Number of consecutive failures after which it avoids a server (0: never), and for how long.
    pub away_after: u32,
    pub away_for: Time,
    /// Fault: it acknowledges marks without releasing any slice that it has an owner for.
    pub lies: bool,
    /// Fault: it ignores terms. The latest change applies and any lease counts for any slice, from however old a stream.
    pub ignores_terms: bool,
    /// Fault: it stops its process between the pick and the send of the write of this number.
    pub stop_at: Option<u64>,
}

/// Observations of one server since the last report.
#[derive(Clone, Debug, Default)]
struct ServerStats {
    tries: u64,
    failed: u64,
    took: Time,
    util: Option<f64>,
}

struct Core {
    options: Options,
    clock: Clock,
    rng: fastrand::Rng,
    table: Table,
    pool: BTreeMap<SocketAddr, Rc<pool::Connection>>,
    away: BTreeMap<SocketAddr, (u32, Time)>,
    /// Observations by steward and that steward's number for the server.
    server_stats: BTreeMap<(usize, u64), ServerStats>,
    /// Number of arrivals by slice and request kind.
    arrived: BTreeMap<(u64, u64), u64>,
    writes: u64,
}

/// Shared by the tasks of a forwarder.
pub struct Forwarder {
    core: RefCell<Core>,
    /// Notified when the table has changed.
    changed: Notify,
}

/// Runs a forwarder until the process ends. Calls `listening` with the address to which clients connect.
pub async fn run(options: Options, listening: impl FnOnce(SocketAddr)) -> std::io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    listening(listener.local_addr()?);
    let forwarder = Rc::new(Forwarder {
        core: RefCell::new(Core {
            rng: fastrand::Rng::with_seed(options.seed),
            table: Table::new(options.stewards.len(), options.ignores_terms),
            options,
            clock: Clock::default(),
            pool: BTreeMap::new(),
            away: BTreeMap::new(),
            server_stats: BTreeMap::new(),
            arrived: BTreeMap::new(),
            writes: 0,
        }),
        changed: Notify::new(),
    });
    stream::follow(&forwarder);
    loop {
        let (socket, _) = listener.accept().await?;
        spawn_local(client(forwarder.clone(), socket));
    }
}

/// Serves a client's connection; responses are sent in the order in which reqs end.
async fn client(forwarder: Rc<Forwarder>, socket: TcpStream) {
    let _ = socket.set_nodelay(true);
    let (read, write) = socket.into_split();
    let (answers, mut queue) = mpsc::channel::<Bytes>(1024);
    spawn_local(async move {
        let mut frames = FramedWrite::new(write, codec(MAX_FRAME_BYTES));
        while let Some(body) = queue.recv().await {
            if frames.send(body).await.is_err() {
                return;
            }
        }
    });
    let mut frames = FramedRead::new(read, codec(MAX_FRAME_BYTES));
    while let Some(Ok(body)) = frames.next().await {
        if let Some(req) = Req::read(&body) {
            let (forwarder, answers) = (forwarder.clone(), answers.clone());
            spawn_local(async move {
                let status = forwarder.serve(&req).await;
                let body = Frame::new(RES)
                    .numbers(tag::TRY, &[req.try_number])
                    .numbers(tag::STATUS, &[status])
                    .finish();
                let _ = answers.send(body).await;
            });
        }
    }
}

/// A client's req.
struct Req {
    id: u64,
    attempt: u64,
    try_number: u64,
    kind: u64,
    key: u64,
    work: u64,
    timeout: Time,
}

impl Req {
    fn read(body: &[u8]) -> Option<Req> {
        let mut body = Body::new(body).ok().filter(|body| body.kind() == REQ)?;
        let mut req = Req { id: 0, attempt: 0, try_number: 0, kind: 0, key: 0, work: 0, timeout: 0 };
        while let Some((tag, mut field)) = body.field().ok()? {
            match tag {
                tag::ID => (req.id, req.attempt) = (field.number().ok()?, field.number().ok()?),
                tag::TRY => req.try_number = field.number().ok()?,
                tag::KIND => req.kind = field.number().ok()?,
                tag::KEY => req.key = field.number().ok()?,
                tag::WORK => req.work = field.number().ok()?,
                tag::TIMEOUT => req.timeout = field.time().ok()?,
                _ => {}
            }
        }
        Some(req)
    }
}

impl Forwarder {
    async fn serve(&self, req: &Req) -> u64 {
        let accepted_at = self.core.borrow().clock.now();
        let slice = {
            let mut core = self.core.borrow_mut();
            let slice = core.table.slice(req.key);
            if let Some(slice) = slice {
                *core.arrived.entry((slice, req.kind)).or_default() += 1;
            }
            slice
        };
        loop {
            let changed = self.changed.notified();
            let (picked, hold) = {
                let mut core = self.core.borrow_mut();
                (core.pick(slice, req), core.table.hold)
            };
            match picked {
                Pick::Denied => return status::DENIED,
                Pick::Wait => {
                    // The req is held while the slice has no server, for at most `hold`.
                    let now = self.core.borrow().clock.now();
                    if tokio::time::timeout(duration(accepted_at + hold - now), changed).await.is_err() {
                        return status::DENIED;
                    }
                }
                Pick::Server(connection) => {
                    drop(changed);
                    let Some(slice) = slice else { return status::DENIED };
                    if let Some(status) = self.send(req, slice, &connection, accepted_at).await {
                        return status;
                    }
                }
            }
        }
    }

    /// Sends a try and returns its status; `None` if the pick is no longer valid once connected.
    async fn send(
        &self,
        req: &Req,
        slice: u64,
        connection: &Rc<pool::Connection>,
        accepted_at: Time,
    ) -> Option<u64> {
        let left = duration(accepted_at + req.timeout - self.core.borrow().clock.now());
        let ready = tokio::time::timeout(left, pool::ready(self, connection)).await;
        let began = self.core.borrow().clock.now();
        let Ok(Ok(())) = ready else {
            self.record_result(slice, connection.address, began, false, None);
            return Some(status::ERRORED).filter(|_| ready.is_err()).or(Some(status::FULL));
        };
        let writes = {
            let mut core = self.core.borrow_mut();
            if !matches!(core.pick(Some(slice), req), Pick::Server(now) if now.address == connection.address)
            {
                return None;
            }
            core.table.writes(req.kind)
        };
        let left = {
            let core = self.core.borrow();
            duration(accepted_at + req.timeout - core.clock.now())
        };
        if writes {
            self.stop_at_write();
        }
        let answer = {
            let core = self.core.borrow();
            // The lease's end goes along as the latest start: the plan server refuses a write that is delayed past it.
            let start_by = if writes { core.table.lease_until(slice) } else { accepted_at + req.timeout };
            let finish_by = if writes { accepted_at + core.table.settle } else { accepted_at + req.timeout };
            connection.send(&core, req, slice, writes, start_by, finish_by)
        };
        let Some(answer) = answer else {
            self.record_result(slice, connection.address, began, false, None);
            return Some(status::FULL);
        };
        let answer = tokio::time::timeout(left, answer).await;
        let (status, util) = match answer {
            Ok(Ok((status, util))) => (status, Some(util)),
            _ => (status::ERRORED, None),
        };
        self.record_result(slice, connection.address, began, status == status::DONE, util);
        Some(status)
    }

    /// Records the result of a try. It is reported to the steward that the slice is assigned to if that still has the slice
    /// at this server.
    fn record_result(&self, slice: u64, address: SocketAddr, began: Time, good: bool, util: Option<f64>) {
        let mut core = self.core.borrow_mut();
        let core = &mut *core;
        let now = core.clock.now();
        let owner = core.table.owner(slice).filter(|(_, now)| *now == address);
        if let Some(server) = owner.and_then(|(server, _)| server) {
            let server_stats = core.server_stats.entry((core.table.steward(slice), server)).or_default();
            server_stats.tries += 1;
            server_stats.util = util.or(server_stats.util);
            server_stats.took += if good { now - began } else { 0 };
            server_stats.failed += u64::from(!good);
        }
        let (failures, until) = core.away.entry(address).or_insert((0, Time::MIN));
        if good {
            *failures = 0;
        } else {
            *failures += 1;
            if core.options.away_after > 0 && *failures >= core.options.away_after {
                (*failures, *until) = (0, now + core.options.away_for);
            }
        }
    }

    /// Stops the process if this is the write at which it is to stop, between the pick and the send.
    fn stop_at_write(&self) {
        let stop = {
            let mut core = self.core.borrow_mut();
            core.writes += 1;
            core.options.stop_at == Some(core.writes)
        };
        if stop {
            let own = std::process::id().to_string();
            let _ = std::process::Command::new("kill").args(["-STOP", &own]).status();
        }
    }
}

enum Pick {
    Server(Rc<pool::Connection>),
    /// The slice has no server yet.
    Wait,
    Denied,
}

impl Core {
    fn pick(&mut self, slice: Option<u64>, req: &Req) -> Pick {
        let now = self.clock.now();
        let Some(slice) = slice else { return Pick::Wait };
        let level = self.table.level(slice, req.kind);
        if level < 1.0 && (level <= 0.0 || self.hash_fraction(req) >= level) {
            return Pick::Denied;
        }
        let Some((server, address)) = self.table.owner(slice) else { return Pick::Wait };
        let away = self.away.get(&address).is_some_and(|&(_, until)| now < until);
        if away || self.table.withdrawn(slice, server) {
            return Pick::Denied;
        }
        let unleased = now >= self.table.lease_until(slice);
        if self.table.writes(req.kind) && (unleased || self.table.reads_only(slice)) {
            return Pick::Denied;
        }
        let connection = self.pool.entry(address).or_insert_with(|| Rc::new(pool::Connection::new(address)));
        Pick::Server(connection.clone())
    }

    /// Maps a req to a number between 0 and 1 by a hash of its id, so that its retries are denied as well.
    fn hash_fraction(&self, req: &Req) -> f64 {
        let hash = (req.id ^ self.options.seed).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (hash >> 11) as f64 / (1u64 << 53) as f64
    }
}

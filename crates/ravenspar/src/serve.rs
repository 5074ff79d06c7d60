//! The running steward: one loop that hands the host what sockets, record and list bring, and carries out what it says.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use ravenspar_host::{Charged, Host, Output, Server};
use ravenspar_notes::kind;
use ravenspar_record::{Record, ServerRow, SliceRow};
use ravenspar_sharing::Step;
use ravenspar_steward::{Health, Scope, Time, SECOND};
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc;

use crate::clock::Clock;
use crate::list::{self, File, News, Source};
use crate::recorder::{Batch, Recorder};
use crate::settings::Checked;
use crate::shared::{Event, Joining, Keys, Life, Office, Snapshot};
use crate::streams::{self, Input, Stream};

/// Where to stop dead, as a kill would, so that tests can meet a steward at its worst moments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Halt {
    /// When this many batches of lines are durable, before a byte of the last has left.
    Recorded(u64),
    /// Before the message of this number to any proxy is handed to its socket.
    Message(u64),
}

impl std::str::FromStr for Halt {
    type Err = String;

    fn from_str(text: &str) -> Result<Halt, String> {
        let expected = || format!("{text}: expected recorded:N or message:N");
        let (point, number) = text.split_once(':').ok_or_else(expected)?;
        let number = number.parse().map_err(|_| expected())?;
        match point {
            "recorded" => Ok(Halt::Recorded(number)),
            "message" => Ok(Halt::Message(number)),
            _ => Err(expected()),
        }
    }
}

/// Why the steward could not start or go on, and whether that is bad input.
#[derive(Debug)]
pub enum Fault {
    Input(String),
    Failed(String),
}

fn failed(what: &str) -> impl Fn(std::io::Error) -> Fault + '_ {
    move |error| Fault::Failed(format!("{what}: {error}"))
}

/// What lasts for as long as the process does.
struct Door {
    clock: Clock,
    listener: TcpListener,
    list: mpsc::Receiver<News>,
    /// Has the list read before its time.
    look: std::sync::Arc<tokio::sync::Notify>,
    /// Where the list last seen is kept, and without a shared store the slices too.
    kept: Rc<Recorder>,
    terminate: Signal,
    interrupt: Signal,
    /// Streams open at a time: each proxy's with one that replaces it, and some that have not said hello.
    most: usize,
    halt: Option<Halt>,
    /// The list last seen.
    rows: Vec<ServerRow>,
}

/// Returns when the process is asked to end.
async fn stopped(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// How a life as a core came to its end, where nothing failed.
enum End {
    Stopped,
    /// It may not go on as a member, and nothing of it may go out any more.
    Over(String),
}

/// Serves until SIGTERM or SIGINT. `listening` is told the address.
pub async fn serve(
    cfg: Checked,
    halt: Option<Halt>,
    listening: impl FnOnce(SocketAddr),
) -> Result<(), Fault> {
    let record = Record::open(&cfg.record).map_err(|fault| Fault::Input(fault.to_string()))?;
    let kept = record.contents().map_err(|fault| Fault::Failed(fault.to_string()))?;
    let seen = record.seen().map_err(|fault| Fault::Failed(fault.to_string()))?;
    let term = match cfg.share {
        None => record.next_term().map_err(|fault| Fault::Failed(fault.to_string()))?,
        Some(_) => 0,
    };
    let at: SocketAddr = cfg.listen.parse().map_err(|_| Fault::Input(format!("listen: {}", cfg.listen)))?;
    let listener = streams::listen(at).map_err(failed(&cfg.listen))?;
    let address = listener.local_addr().map_err(failed("listen"))?;
    let (news, list) = mpsc::channel(4);
    let look = std::sync::Arc::new(tokio::sync::Notify::new());
    File { path: cfg.list.clone(), look: look.clone() }.follow(news);
    let mut door = Door {
        clock: Clock::new(),
        listener,
        list,
        look,
        kept: Rc::new(Recorder::in_thread(record).map_err(failed("the record's thread"))?),
        terminate: signal(SignalKind::terminate()).map_err(failed("signals"))?,
        interrupt: signal(SignalKind::interrupt()).map_err(failed("signals"))?,
        most: cfg.map.number("family_info.proxy_count").unwrap_or(0.0) as usize * 2 + 16,
        halt,
        rows: kept.servers,
    };
    let served = match &cfg.share {
        None => {
            let owned =
                |row: &SliceRow| Some((row.slice as usize, row.owner.clone()?, row.weight as f64 / 1e6));
            let lines: Vec<_> = kept.slices.iter().filter_map(owned).collect();
            let last = last_seen(&door.rows);
            let host = Host::new(door.clock.now(), cfg.seed, cfg.map.clone(), term, &last, &lines)
                .map_err(unusable)?;
            tracing::info!(%address, term, slices = lines.len(), servers = last.len(), "serving");
            listening(address);
            Core::new(&mut door, host, term, None).run().await.map(|_| ())
        }
        Some(_) => {
            listening(address);
            share(&cfg, &mut door, address, seen).await
        }
    };
    if let Some(kept) = Rc::into_inner(door.kept) {
        kept.end().await;
    }
    served
}

fn unusable(name: &str) -> Fault {
    Fault::Input(format!("the setting {name} is missing or unusable"))
}

fn last_seen(rows: &[ServerRow]) -> Vec<(Server, Health, Time)> {
    let server =
        |row: &ServerRow| Server { id: row.id.clone(), zone: row.zone.clone(), address: row.address.clone() };
    rows.iter().map(|row| (server(row), list::health(row.health), row.boot)).collect()
}

/// Serves as one of several, in one life after the other: each joins anew, in charge of nothing at first.
async fn share(
    cfg: &Checked,
    door: &mut Door,
    address: SocketAddr,
    mut seen: Option<(u64, u64)>,
) -> Result<(), Fault> {
    let Some(share) = cfg.share.clone() else { return Ok(()) };
    // No two processes, and no two lives, draw the same numbers, whatever their settings say.
    let mut chance =
        fastrand::Rng::with_seed(cfg.seed ^ door.clock.now() as u64 ^ (u64::from(std::process::id()) << 40));
    let client = ravenspar_etcd::Client::new(&share.endpoints, share.call_within, chance.u64(..));
    let client = std::sync::Arc::new(client.map_err(Fault::Input)?);
    let keys = Keys::new(&share.prefix);
    let office = match &share.notes {
        Some(notes) => Some(Office::open(notes).await.map_err(Fault::Input)?),
        None => None,
    };
    let joining = Joining {
        office,
        client: client.clone(),
        keys: keys.clone(),
        clock: door.clock,
        slices: cfg.map.number("family_info.ranges").unwrap_or(0.0) as usize,
        pace: pace(cfg),
        share,
    };
    // The record speaks of starts of servers that the list has shown to others: it is read before any slice is.
    let first = tokio::select! {
        () = stopped(&mut door.terminate, &mut door.interrupt) => return Ok(()),
        list = list(&mut door.list) => list,
    };
    if let Some(rows) = first {
        door.kept.write(Batch::List(rows.clone())).await;
        door.rows = rows;
    }
    let mut failures = 0;
    loop {
        let number = chance.u64(1..i64::MAX as u64);
        let address = address.to_string();
        let joined = tokio::select! {
            () = stopped(&mut door.terminate, &mut door.interrupt) => return Ok(()),
            joined = join(&joining, number, &address, seen) => joined,
        };
        let why = match joined {
            Ok((life, snapshot)) => {
                seen = Some((snapshot.cluster, snapshot.revision as u64));
                failures = 0;
                let term = life.term;
                let last = last_seen(&door.rows);
                let host = Host::sharing(door.clock.now(), cfg.seed, cfg.map.clone(), term, &last);
                let host = host.map_err(unusable)?;
                tracing::info!(%address, life = %format_args!("{number:016x}"), term, servers = last.len(), "a member");
                let mut core = Core::new(door, host, term, Some(Shared::new(life, seen)));
                let end = core.run().await?;
                seen = core.shared.as_ref().map_or(seen, |shared| shared.seen);
                let shared = core.shared.take();
                drop(core);
                if let Some((cluster, revision)) = seen {
                    door.kept.write(Batch::Seen(cluster, revision)).await;
                }
                if let Some(shared) = shared {
                    // Nothing goes out any more: others need not wait for the lease. A store that is away is not waited for.
                    let _ = tokio::time::timeout(joining.share.call_within, shared.life.end()).await;
                }
                match end {
                    End::Stopped => return Ok(()),
                    End::Over(why) => why,
                }
            }
            Err(Refused::Backward(why)) => return Err(Fault::Failed(why)),
            Err(Refused::Not(why)) => why,
        };
        failures += 1;
        tracing::warn!(%why, failures, "not a member");
        // Spread, so that stewards which were cut off together don't come back together; 4 s at most.
        let most = (250u64 << failures.min(4)).min(4_000);
        let wait = std::time::Duration::from_millis(chance.u64(most / 4..=most));
        tokio::select! {
            () = stopped(&mut door.terminate, &mut door.interrupt) => return Ok(()),
            () = tokio::time::sleep(wait) => {}
        }
    }
}

/// The shortest time between two rounds of giving slices: each is a message to every forwarder, of which there may be
/// so many in a window. A quarter is for that, so that drains find the rest.
fn pace(cfg: &Checked) -> Time {
    let window = cfg.map.time("family_info.update_window_s").unwrap_or(0);
    let messages = cfg.map.number("family_info.pushes_allowed").unwrap_or(0.0) as Time;
    (4 * window).checked_div(messages).unwrap_or(0).max(SECOND / 4)
}

/// The first list that can be read.
async fn list(news: &mut mpsc::Receiver<News>) -> Option<Vec<ServerRow>> {
    loop {
        match news.recv().await? {
            News::Whole(rows) => return Some(rows),
            News::Failed(why) => tracing::error!(%why, "no slice is taken before the list can be read"),
        }
    }
}

enum Refused {
    Not(String),
    /// The store is another, or older than what was seen of it.
    Backward(String),
}

/// Joins if the store is the one that was last seen, and no older.
async fn join(
    joining: &Joining,
    number: u64,
    address: &str,
    seen: Option<(u64, u64)>,
) -> Result<(Life, Snapshot), Refused> {
    let said = crate::shared::snapshot(&joining.client, &joining.keys, 0).await;
    let said = said.map_err(|fault| Refused::Not(fault.to_string()))?;
    backward(&said, seen).map_or(Ok(()), |why| Err(Refused::Backward(why)))?;
    let life = Life::join(joining, number, address).await.map_err(Refused::Not)?;
    Ok((life, said))
}

/// Why what a store says can't follow on what was seen.
fn backward(said: &Snapshot, seen: Option<(u64, u64)>) -> Option<String> {
    let (cluster, revision) = seen?;
    let found = (said.cluster, said.revision as u64);
    let other = found.0 != cluster;
    (other || found.1 < revision).then(|| {
        let what = if other { "another store" } else { "an older store" };
        format!(
            "{what}: cluster {:x} revision {} where cluster {cluster:x} revision {revision} was seen; \
             slices could get a second writer by it. Once every other steward is stopped and every forwarder's \
             lease is over, `ravenspar accept` takes it",
            found.0, found.1
        )
    })
}

#[derive(Default)]
struct Ran {
    messages: u64,
    batches: u64,
    /// Lines handed to the record.
    lines: u64,
    refused: u64,
    list_failed: bool,
    /// The last ticket that was handed to the record.
    ticket: Option<u64>,
    /// The last ticket that was said to be durable.
    durable: Option<u64>,
}

/// What a steward among others has beside its host.
struct Shared {
    life: Life,
    /// Cluster and revision of the store.
    seen: Option<(u64, u64)>,
    noted: Time,
    /// A step that waits until lines up to a ticket are durable.
    waits: Option<(Option<u64>, Step)>,
    /// Slices that have come into charge and are to be told with others, and since when the first waits.
    arrived: Vec<Charged>,
    since: Time,
    stepping: bool,
    away: bool,
    /// When leaving is given up.
    give_up: Time,
}

impl Shared {
    fn new(life: Life, seen: Option<(u64, u64)>) -> Shared {
        Shared {
            life,
            seen,
            noted: 0,
            waits: None,
            arrived: Vec::new(),
            since: 0,
            stepping: false,
            away: false,
            give_up: Time::MAX,
        }
    }
}

struct Core<'a> {
    door: &'a mut Door,
    clock: Clock,
    host: Host,
    term: u64,
    /// Where lines of slices are made durable.
    recorder: Rc<Recorder>,
    shared: Option<Shared>,
    streams: BTreeMap<u64, Stream>,
    inputs: mpsc::Sender<Input>,
    queue: mpsc::Receiver<Input>,
    /// The number of the next stream.
    next: u64,
    ran: Ran,
}

/// Slices that come into charge within this time are told to forwarders in one message: a take-over is a row of
/// transactions a few milliseconds apart.
const GATHER: Time = SECOND / 10;

/// The next event of a life; none ever without one.
async fn next(shared: &mut Option<Shared>) -> Event {
    match shared {
        Some(shared) => shared.life.next().await,
        None => std::future::pending().await,
    }
}

impl<'a> Core<'a> {
    fn new(door: &'a mut Door, host: Host, term: u64, shared: Option<Shared>) -> Core<'a> {
        let (inputs, queue) = mpsc::channel(streams::INPUTS);
        let clock = door.clock;
        let recorder = shared.as_ref().map_or(&door.kept, |shared| &shared.life.recorder).clone();
        Core {
            door,
            clock,
            host,
            term,
            recorder,
            shared,
            streams: BTreeMap::new(),
            inputs,
            queue,
            next: 0,
            ran: Ran::default(),
        }
    }

    async fn run(&mut self) -> Result<End, Fault> {
        let end = self.steps().await;
        let figures = self.host.figures();
        tracing::info!(
            joined = figures.joined,
            turns = figures.turns,
            messages = figures.messages,
            most_waiting = figures.most_waiting,
            holds = figures.holds,
            broken = figures.broken,
            stray_answers = figures.stray_answers,
            lines = self.ran.lines,
            batches = self.ran.batches,
            commits = self.recorder.commits(),
            refused = self.ran.refused,
            "ending"
        );
        if let Some(post) = self.shared.as_ref().and_then(|shared| shared.life.post.as_ref()) {
            tracing::info!(refused = post.inbox.refused, "notes");
        }
        let streams = std::mem::take(&mut self.streams);
        if matches!(end, Ok(End::Over(_))) {
            // Not a line that was decided in this life may arrive any more.
            streams.into_values().for_each(Stream::reset);
        }
        end
    }

    async fn steps(&mut self) -> Result<End, Fault> {
        loop {
            let wake = tokio::time::Instant::from_std(self.clock.instant(self.wake(self.clock.now())));
            let mut event = None;
            tokio::select! {
                _ = self.door.terminate.recv() => if self.stop() { return Ok(End::Stopped) },
                _ = self.door.interrupt.recv() => if self.stop() { return Ok(End::Stopped) },
                Ok((socket, _)) = self.door.listener.accept() => self.accept(socket),
                Some(input) = self.queue.recv() => {
                    self.input(input);
                    // What has come in meanwhile is learnt before anything is decided.
                    for _ in 0..streams::INPUTS {
                        let Ok(input) = self.queue.try_recv() else { break };
                        self.input(input);
                    }
                }
                Some(news) = self.door.list.recv() => self.news(news).await,
                said = next(&mut self.shared) => event = Some(said),
                () = self.recorder.changed() => {}
                () = tokio::time::sleep_until(wake) => {}
            }
            if let Some(why) = event.and_then(|event| self.event(event)) {
                return Ok(End::Over(why));
            }
            if let Some(fault) = self.door.kept.fault() {
                return Err(Fault::Failed(format!(
                    "the record failed, and nothing may go out without it: {fault}"
                )));
            }
            if let Some(fault) = self.recorder.fault() {
                return Ok(End::Over(fault));
            }
            if let Some(ticket) = self.recorder.durable() {
                if self
                    .door
                    .halt
                    .is_some_and(|halt| matches!(halt, Halt::Recorded(n) if self.ran.batches >= n))
                {
                    std::process::abort();
                }
                if self.ran.durable.replace(ticket) != Some(ticket) {
                    tracing::debug!(ticket, "lines are durable");
                }
                self.host.recorded(ticket);
            }
            self.host.timeout(self.clock.now());
            if let Some(end) = self.share() {
                return Ok(end);
            }
            if let Some(why) = self.carry_out().await {
                return Ok(End::Over(why));
            }
        }
    }

    /// When to look again.
    fn wake(&self, now: Time) -> Time {
        let host = self.host.next_timeout(now);
        let Some(shared) = &self.shared else { return host };
        let fleet = if shared.stepping { Time::MAX } else { shared.life.fleet.next_at() };
        let membership = shared.life.membership.renew_at().min(shared.life.membership.until());
        let arrived = if shared.arrived.is_empty() { Time::MAX } else { shared.since + GATHER };
        host.min(fleet).min(membership).min(arrived).min(shared.give_up)
    }

    /// Whether the process is to end at once: one that shares gives its slices away first.
    fn stop(&mut self) -> bool {
        /// How long leaving may take. Then the others take over as from one that died, once its lease is over.
        const MOST: Time = 10 * SECOND;
        /// How long slices in the middle of something are waited for.
        const REST: Time = 2 * SECOND;
        let now = self.clock.now();
        let Some(shared) = self.shared.as_mut().filter(|shared| !shared.life.fleet.is_leaving()) else {
            return true;
        };
        tracing::info!(slices = shared.life.fleet.count(), "leaving");
        shared.life.fleet.leave(now + REST);
        shared.life.say_leaving();
        shared.life.tell(kind::LOOK, u64::MAX);
        shared.give_up = now + MOST;
        false
    }

    /// What the store or a step says. Returns why this life is over, if it is.
    fn event(&mut self, event: Event) -> Option<String> {
        let now = self.clock.now();
        let shared = self.shared.as_mut()?;
        let fleet = &mut shared.life.fleet;
        match event {
            Event::Snapshot(said) => {
                if let Some(why) = backward(&said, shared.seen) {
                    return Some(why);
                }
                for key in &said.unread {
                    tracing::error!(%key, "a key of the shared store can't be read and is left alone");
                }
                if std::mem::take(&mut shared.away) {
                    tracing::info!("the store answers again");
                }
                shared.seen = Some((said.cluster, said.revision as u64));
                said.charges.iter().for_each(|&(slice, life, term)| fleet.charge(slice, life, term));
                let members: Vec<_> = said.members.iter().map(|(life, m)| (*life, m.leaving)).collect();
                fleet.members(&members);
                let me = shared.life.number;
                shared.life.post.iter_mut().for_each(|post| post.members(me, &said.members));
            }
            Event::Away(why) => {
                if !std::mem::replace(&mut shared.away, true) {
                    tracing::warn!(%why, "the store does not answer");
                }
            }
            Event::Renewed(sent) => shared.life.membership.renewed(sent),
            Event::Serves { slices, mut rows, taken_over } => {
                fleet.served(&slices);
                if shared.arrived.is_empty() {
                    shared.since = now;
                }
                rows.sort_by_key(|row| row.slice);
                shared.arrived.extend(slices.into_iter().map(|(slice, term)| {
                    let row =
                        rows.binary_search_by_key(&(slice as u32), |row| row.slice).ok().map(|at| &rows[at]);
                    let owner =
                        row.and_then(|row| Some((row.owner.clone()?, row.weight as f64 / 1e6, row.boot)));
                    Charged { slice, term, taken_over, owner }
                }));
            }
            Event::Gave { slices, to, term } => {
                tracing::info!(slices = slices.len(), to = %format_args!("{to:016x}"), term, "gave slices");
                fleet.gave(&slices, to, term);
                shared.life.tell(kind::LOOK, term);
            }
            Event::Note(bytes) => match shared.life.post.as_mut().map(|post| post.inbox.open(&bytes)) {
                // Only what was not seen yet is worth a look.
                Some(Ok((_, kind::LOOK, revision)))
                    if shared.seen.is_none_or(|(_, seen)| seen < revision) =>
                {
                    shared.life.look();
                }
                Some(Ok((_, kind::LIST, _))) => self.door.look.notify_one(),
                Some(Err(why)) => tracing::debug!(?why, "a note is not taken in"),
                _ => {}
            },
            Event::Done => {
                shared.stepping = false;
                shared.since = 0; // what has arrived is told at once
                fleet.done();
            }
            Event::Over(why) => return Some(why),
        }
        None
    }

    /// Renews the membership, and takes the next step towards even shares. Returns how this life ends, if it does.
    fn share(&mut self) -> Option<End> {
        let now = self.clock.now();
        let shared = self.shared.as_mut()?;
        if !shared.life.membership.holds(now) {
            return Some(End::Over("the membership could not be renewed in time".to_owned()));
        }
        if now >= shared.life.membership.renew_at() {
            shared.life.renew(now);
        }
        if now >= shared.noted + 10 * SECOND {
            shared.noted = now;
            if let Some((cluster, revision)) = shared.seen {
                // Left out where the disk is behind: the next one says more anyway.
                self.door.kept.try_write(Batch::Seen(cluster, revision));
            }
        }
        if !shared.arrived.is_empty() && now >= shared.since + GATHER && self.host.room() > 0 {
            let mut arrived = std::mem::take(&mut shared.arrived);
            arrived.sort_by_key(|charged| charged.slice);
            tracing::info!(slices = arrived.len(), taken_over = arrived[0].taken_over, "in charge of slices");
            self.host.charged(now, &arrived);
        }
        if now >= shared.give_up {
            tracing::warn!(slices = shared.life.fleet.count(), "left before all slices were given away");
            return Some(End::Stopped);
        }
        if let Some((ticket, step)) = shared.waits.take() {
            if ticket > shared.life.recorder.durable() {
                shared.waits = Some((ticket, step));
            } else {
                shared.life.carry_out(step);
            }
        }
        if shared.stepping || !shared.arrived.is_empty() {
            return None;
        }
        let host = &self.host;
        match shared.life.fleet.next(now, |slice| host.is_at_rest(slice))? {
            Step::Left => Some(End::Stopped),
            Step::Lost => Some(End::Over("another steward is in charge of what this one was".to_owned())),
            Step::Give { slices, to } => {
                shared.stepping = true;
                let left: Vec<usize> = slices.iter().map(|&(slice, _)| slice).collect();
                self.host.left(&left);
                // What was decided on them goes on record first.
                shared.waits = Some((self.ran.ticket, Step::Give { slices, to }));
                self.share()
            }
            step => {
                shared.stepping = true;
                shared.life.carry_out(step);
                None
            }
        }
    }

    fn accept(&mut self, socket: tokio::net::TcpStream) {
        if self.streams.len() >= self.door.most {
            self.ran.refused += 1;
            tracing::warn!(open = self.streams.len(), "a stream is refused: as many are open as may be");
            return;
        }
        let number = self.next;
        self.next += 1;
        self.streams.insert(number, Stream::start(number, socket, &self.inputs));
        self.host.opened(self.clock.now(), number);
    }

    fn input(&mut self, input: Input) {
        let now = self.clock.now();
        match input {
            Input::Frame(stream, body) => self.host.frame(now, stream, &body),
            Input::Sent(stream) => self.host.sent(now, stream),
            Input::Closed(stream) => {
                if self.streams.remove(&stream).is_some() {
                    tracing::info!(stream, "a stream ended");
                }
                self.host.closed(now, stream);
            }
        }
    }

    async fn news(&mut self, news: News) {
        let now = self.clock.now();
        match news {
            News::Whole(rows) => {
                tracing::info!(servers = rows.len(), "the list has changed");
                self.ran.list_failed = false;
                // On record before any slice goes to a server that only this list names.
                self.door.kept.write(Batch::List(rows.clone())).await;
                self.host.list_begin(Scope::Whole);
                for row in &rows {
                    self.host.list_entry(
                        &row.id,
                        &row.zone,
                        &row.address,
                        list::health(row.health),
                        row.boot,
                    );
                }
                self.host.list_end(Scope::Whole);
                self.door.rows = rows;
                if let Some(shared) = &mut self.shared {
                    shared.life.tell(kind::LIST, 0);
                }
            }
            News::Failed(why) => {
                if !std::mem::replace(&mut self.ran.list_failed, true) {
                    tracing::error!(%why, "the list can't be read, the last good one holds");
                }
                self.host.list_failed(now);
            }
        }
    }

    /// Returns why this life is over, if it is.
    async fn carry_out(&mut self) -> Option<String> {
        loop {
            let now = self.clock.now();
            // Looked at before each thing that goes out: a pause may fall between any two.
            if self.shared.as_ref().is_some_and(|shared| !shared.life.membership.holds(now)) {
                return Some("the membership could not be renewed in time".to_owned());
            }
            let output = self.host.poll(now)?;
            match output {
                Output::Record { ticket, mark, lines } => {
                    self.ran.batches += 1;
                    self.ran.lines += lines.len() as u64;
                    let row = |&(slice, owner, weight): &(usize, Option<usize>, f64)| SliceRow {
                        slice: slice as u32,
                        owner: owner.map(|be| self.host.server(be).id.clone()),
                        weight: (weight * 1e6).round() as u64,
                        mark,
                        term: if self.shared.is_some() { self.host.term(slice) } else { self.term },
                        boot: owner.map_or(0, |be| self.host.boot(be)),
                    };
                    let rows: Vec<SliceRow> = lines.iter().map(row).collect();
                    tracing::debug!(mark, lines = rows.len(), "lines to record");
                    self.ran.ticket = Some(ticket);
                    self.recorder.write(Batch::Slices { ticket, rows }).await;
                }
                Output::Frame { stream, body } => {
                    self.ran.messages += u64::from(body.first() == Some(&ravenspar_protocol::kind::TABLE));
                    if self
                        .door
                        .halt
                        .is_some_and(|halt| matches!(halt, Halt::Message(n) if self.ran.messages >= n))
                    {
                        std::process::abort();
                    }
                    if body.first() == Some(&ravenspar_protocol::kind::TABLE) {
                        tracing::debug!(stream, bytes = body.len(), "a message leaves");
                    }
                    if let Some(stream) = self.streams.get(&stream) {
                        stream.write(body);
                    }
                }
                Output::Close { stream, why } => {
                    tracing::warn!(stream, ?why, "a stream is broken off");
                    self.streams.remove(&stream);
                }
                Output::Joined { stream, proxy } => tracing::info!(stream, proxy, "a proxy has joined"),
                // The file source tells of every change unasked.
                Output::Watch => {}
            }
        }
    }
}

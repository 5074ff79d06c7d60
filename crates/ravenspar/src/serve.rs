//! The running steward: one loop that hands the host what sockets, record and list bring, and carries out what it says.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ravenspar_host::{Host, Output, Server};
use ravenspar_record::{Record, ServerRow, SliceRow};
use ravenspar_steward::Scope;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;

use crate::clock::Clock;
use crate::list::{self, File, News, Source};
use crate::recorder::{Batch, Recorder};
use crate::settings::Checked;
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

/// Serves until SIGTERM or SIGINT. `listening` is told the address.
pub async fn serve(
    cfg: Checked,
    halt: Option<Halt>,
    listening: impl FnOnce(SocketAddr),
) -> Result<(), Fault> {
    let record = Record::open(&cfg.record).map_err(|fault| Fault::Input(fault.to_string()))?;
    let kept = record.contents().map_err(|fault| Fault::Failed(fault.to_string()))?;
    let term = record.next_term().map_err(|fault| Fault::Failed(fault.to_string()))?;
    let clock = Clock::new();
    let server =
        |row: &ServerRow| Server { id: row.id.clone(), zone: row.zone.clone(), address: row.address.clone() };
    let last: Vec<_> =
        kept.servers.iter().map(|row| (server(row), list::health(row.health), row.boot)).collect();
    let owned = |row: &SliceRow| Some((row.slice as usize, row.owner.clone()?, row.weight as f64 / 1e6));
    let lines: Vec<_> = kept.slices.iter().filter_map(owned).collect();
    let host = Host::new(clock.now(), cfg.seed, cfg.map.clone(), term, &last, &lines)
        .map_err(|name| Fault::Input(format!("the setting {name} is missing or unusable")))?;
    let at: SocketAddr = cfg.listen.parse().map_err(|_| Fault::Input(format!("listen: {}", cfg.listen)))?;
    let listener = streams::listen(at).map_err(failed(&cfg.listen))?;
    let address = listener.local_addr().map_err(failed("listen"))?;
    let (news, list) = mpsc::channel(4);
    File { path: cfg.list.clone() }.follow(news);
    let recorder = Recorder::start(record).map_err(failed("the record's thread"))?;
    tracing::info!(%address, term, slices = lines.len(), servers = last.len(), "serving");
    listening(address);
    let (inputs, queue) = mpsc::channel(streams::INPUTS);
    let most = cfg.map.number("family_info.proxy_count").unwrap_or(0.0) as usize * 2 + 16;
    let core = Core {
        clock,
        host,
        term,
        recorder,
        streams: BTreeMap::new(),
        inputs,
        next: 0,
        most,
        halt,
        ran: Ran::default(),
    };
    core.run(listener, queue, list).await
}

#[derive(Default)]
struct Ran {
    messages: u64,
    batches: u64,
    /// Lines handed to the record.
    lines: u64,
    refused: u64,
    list_failed: bool,
    /// The last ticket that was said to be durable.
    durable: Option<u64>,
}

struct Core {
    clock: Clock,
    host: Host,
    term: u64,
    recorder: Recorder,
    streams: BTreeMap<u64, Stream>,
    inputs: mpsc::Sender<Input>,
    /// The number of the next stream.
    next: u64,
    /// Streams open at a time: each proxy's with one that replaces it, and some that have not said hello.
    most: usize,
    halt: Option<Halt>,
    ran: Ran,
}

impl Core {
    async fn run(
        mut self,
        listener: TcpListener,
        mut queue: mpsc::Receiver<Input>,
        mut list: mpsc::Receiver<News>,
    ) -> Result<(), Fault> {
        let mut terminate = signal(SignalKind::terminate()).map_err(failed("signals"))?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(failed("signals"))?;
        loop {
            let wake =
                tokio::time::Instant::from_std(self.clock.instant(self.host.next_timeout(self.clock.now())));
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                Ok((socket, _)) = listener.accept() => self.accept(socket),
                Some(input) = queue.recv() => {
                    self.input(input);
                    // What has come in meanwhile is learnt before anything is decided.
                    for _ in 0..streams::INPUTS {
                        let Ok(input) = queue.try_recv() else { break };
                        self.input(input);
                    }
                }
                Some(news) = list.recv() => self.news(news).await,
                () = self.recorder.changed() => {}
                () = tokio::time::sleep_until(wake) => {}
            }
            if let Some(fault) = self.recorder.fault() {
                return Err(Fault::Failed(format!(
                    "the record failed, and nothing may go out without it: {fault}"
                )));
            }
            if let Some(ticket) = self.recorder.durable() {
                if self.halt.is_some_and(|halt| matches!(halt, Halt::Recorded(n) if self.ran.batches >= n)) {
                    std::process::abort();
                }
                if self.ran.durable.replace(ticket) != Some(ticket) {
                    tracing::debug!(ticket, "lines are durable");
                }
                self.host.recorded(ticket);
            }
            self.host.timeout(self.clock.now());
            self.carry_out().await;
        }
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
        self.streams.clear();
        self.recorder.end();
        Ok(())
    }

    fn accept(&mut self, socket: tokio::net::TcpStream) {
        if self.streams.len() >= self.most {
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
                self.recorder.write(Batch::List(rows.clone())).await;
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
            }
            News::Failed(why) => {
                if !std::mem::replace(&mut self.ran.list_failed, true) {
                    tracing::error!(%why, "the list can't be read, the last good one holds");
                }
                self.host.list_failed(now);
            }
        }
    }

    async fn carry_out(&mut self) {
        while let Some(output) = self.host.poll(self.clock.now()) {
            match output {
                Output::Record { ticket, mark, lines } => {
                    self.ran.batches += 1;
                    self.ran.lines += lines.len() as u64;
                    let row = |&(slice, owner, weight): &(usize, Option<usize>, f64)| SliceRow {
                        slice: slice as u32,
                        owner: owner.map(|be| self.host.server(be).id.clone()),
                        weight: (weight * 1e6).round() as u64,
                        mark,
                        term: self.term,
                    };
                    let rows: Vec<SliceRow> = lines.iter().map(row).collect();
                    tracing::debug!(mark, lines = rows.len(), "lines to record");
                    self.recorder.write(Batch::Slices { ticket, rows }).await;
                }
                Output::Frame { stream, body } => {
                    self.ran.messages += u64::from(body.first() == Some(&ravenspar_protocol::kind::TABLE));
                    if self
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

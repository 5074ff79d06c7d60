//! What a case needs around a steward: plan servers, forwarders and clients, which are the project's stand-ins, the
//! steward's process, and the record of what happened.

use std::cell::RefCell;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ravenspar_standin::clients::{Clients, Kind, Load};
use ravenspar_standin::forwarder;
use ravenspar_standin::server::{Model, Server};
use ravenspar_standin::{capture, Capture, Clock, Event, Time, SECOND};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::{Place, Unplayed};

/// Settings as of a small deployment of recife-main.
pub const FORWARDERS: usize = 4;
pub const SLICES: u64 = 24;
pub const LEASE: Time = 4 * SECOND;
pub const SETTLE: Time = 5 * SECOND;
pub const GRACE: Time = 35 * SECOND / 10;
/// What the platform's page adds to the rules' times on sockets.
pub const SLACK: Time = 3 * SECOND / 10;
const RATE: f64 = 40.0;

pub struct Stage {
    pub place: Place,
    pub capture: Capture,
    capture_file: PathBuf,
    notes: Rc<RefCell<Vec<(Time, String)>>>,
    began: Time,
    pub servers: Vec<Rc<Server>>,
    pub clients: Rc<Clients>,
    pub steward: Option<Child>,
    pub address: SocketAddr,
}

/// Returns an address on loopback that nothing listens on, below the ports that systems give to outgoing connections:
/// one of these could take it while a process restarts.
pub fn free_address() -> std::io::Result<SocketAddr> {
    static DRAWN: AtomicU32 = AtomicU32::new(0);
    loop {
        let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().subsec_micros();
        let draw = time.wrapping_mul(31)
            ^ std::process::id().wrapping_mul(7_919)
            ^ DRAWN.fetch_add(1, Ordering::Relaxed) * 613;
        let at = SocketAddr::from(([127, 0, 0, 1], 12_000 + (draw % 18_000) as u16));
        if std::net::TcpListener::bind(at).is_ok() {
            return Ok(at);
        }
    }
}

/// What differs between the settings of the cases, as text of the file.
pub struct Settings {
    pub list: String,
    pub slices: u64,
    pub lease: &'static str,
    pub settle: &'static str,
    pub grace: &'static str,
    pub quote: &'static str,
    pub commit: &'static str,
}

impl Settings {
    /// Those of recife-main, with the list in a store at these endpoints.
    pub fn of_list(endpoints: &[SocketAddr]) -> Settings {
        let endpoints: Vec<String> = endpoints.iter().map(|at| format!("\"http://{at}\"")).collect();
        Settings {
            list: format!("{{source: etcd, endpoints: [{}]}}", endpoints.join(", ")),
            slices: SLICES,
            lease: "4s",
            settle: "5s",
            grace: "3.5s",
            quote: "response_target: 1500ms, client_timeout: 5s",
            commit: "response_target: 3s, client_timeout: 5s",
        }
    }
}

/// The load of recife-main.
pub fn load() -> Load {
    let kind = |share, work, replayable| Kind { share, work, client_timeout: 5 * SECOND, replayable };
    Load {
        rate: RATE,
        kinds: vec![kind(0.73, 0.3, true), kind(0.27, 0.5, false)],
        keys: SLICES,
        skew: 0.0,
        retries: 1,
        retry_after: SECOND / 4,
        seed: 5,
    }
}

impl Stage {
    pub async fn new(place: &Place, servers: usize, load: Load) -> Result<Stage, Unplayed> {
        let clock = Clock::default();
        let capture_file = place.dir.join("capture.jsonl");
        let capture = Capture::create(&capture_file, clock)?;
        let model = Model {
            cores: 6,
            speed: 1.0,
            queue: 60,
            connections: 200,
            cold_from: 0.15,
            cold_for: 16 * SECOND,
            fall_multiple: 2.5,
            fall_for: 15 * SECOND / 10,
        };
        let mut all = Vec::new();
        for n in 0..servers {
            all.push(
                Server::start(&format!("plan-{n}"), "recife-1", model.clone(), n as u64, capture.clone())
                    .await?,
            );
        }
        Ok(Stage {
            place: place.clone(),
            clients: Clients::new(load, FORWARDERS, capture.clone()),
            capture_file,
            notes: Rc::default(),
            began: capture.now(),
            capture,
            servers: all,
            steward: None,
            address: free_address()?,
        })
    }

    pub fn now(&self) -> Time {
        self.capture.now()
    }

    pub fn seconds(&self, at: Time) -> f64 {
        (at - self.began) as f64 / SECOND as f64
    }

    /// Adds a line to the record.
    pub fn note(&self, text: impl Into<String>) {
        self.notes.borrow_mut().push((self.now(), text.into()));
    }

    pub fn notes(&self) -> Rc<RefCell<Vec<(Time, String)>>> {
        self.notes.clone()
    }

    /// The value of a server's key.
    pub fn value(&self, server: usize, state: &str) -> String {
        let address = self.servers[server].address;
        format!(r#"{{"zone": "recife-1", "address": "{address}", "state": "{state}", "boot": 1796126400}}"#)
    }

    /// Writes the steward's settings.
    pub fn write_settings(&self, settings: &Settings) -> std::io::Result<()> {
        let Settings { list, slices, lease, settle, grace, quote, commit } = settings;
        let text = format!(
            "listen: {}\nrecord: steward.redb\nlist: {list}\nforwarders: {}\nslices: {slices}\n\
             lease: {lease}\nsettle: {settle}\nhold: 500ms\nunserved_most: 20s\nsilent_after: 3s\n\
             channel: {{lines_per_s: 3300, waiting_lines: 6600, message_cost: 12, messages: 20, messages_within: 10s}}\n\
             reports: {{every: 500ms, lines_per_s: 250}}\n\
             cold: {{from: 0.15, for: 16s, fall_multiple: 2.5, fall_for: 1500ms}}\ndrain: {{grace: {grace}}}\nkinds:\n  \
             - {{name: quote, {quote}, credit: 1, repeats: replayable, writes: false}}\n  \
             - {{name: commit, {commit}, credit: 2, repeats: non-replayable, writes: true}}\n",
            self.address,
            FORWARDERS + 1,
        );
        std::fs::write(self.place.dir.join("steward.yaml"), text)
    }

    /// Replaces the list of a steward that reads it from a file; each server with its state.
    pub fn write_list(&self, states: &[&str]) -> std::io::Result<()> {
        let line = |(server, state): (&Rc<Server>, &&str)| {
            let (id, at) = (&server.id, server.address);
            format!("  - {{id: {id}, zone: aldeota, address: \"{at}\", state: {state}}}\n")
        };
        let lines: String = self.servers.iter().zip(states).map(line).collect();
        let draft = self.place.dir.join("draft");
        std::fs::write(&draft, format!("servers:\n{lines}"))?;
        std::fs::rename(draft, self.place.dir.join("servers.yaml"))
    }

    /// Starts the steward and waits until it listens.
    pub async fn start_steward(&mut self) -> Result<(), Unplayed> {
        let log =
            std::fs::OpenOptions::new().create(true).append(true).open(self.place.dir.join("steward.log"))?;
        let mut child = Command::new(&self.place.program)
            .arg("serve")
            .arg(self.place.dir.join("steward.yaml"))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        if let Some(id) = child.id() {
            let mut pids =
                std::fs::OpenOptions::new().create(true).append(true).open(self.place.dir.join("pids"))?;
            writeln!(pids, "{id}")?;
        }
        let mut lines = BufReader::new(child.stdout.take().ok_or("no output")?).lines();
        let line = timeout(Duration::from_secs(10), lines.next_line()).await??;
        if !line.as_deref().unwrap_or("").starts_with("listening on") {
            return Err("the steward does not listen".into());
        }
        self.note("the steward listens");
        self.steward = Some(child);
        Ok(())
    }

    /// Ends the steward by SIGTERM, as at a planned restart.
    pub async fn end_steward(&mut self) -> Result<(), Unplayed> {
        let Some(mut child) = self.steward.take() else { return Ok(()) };
        let id = child.id().ok_or("the steward has ended")?.to_string();
        Command::new("kill").args(["-TERM", &id]).status().await?;
        let status = timeout(Duration::from_secs(5), child.wait()).await??;
        self.note(format!("the steward got SIGTERM and ended: {status}"));
        Ok(())
    }

    /// Starts the forwarders, each with a stream to the steward.
    /// `stewards`: the address at which each of them reaches it.
    pub async fn start_forwarders(&self, stewards: &[SocketAddr]) -> Result<(), Unplayed> {
        for (number, steward) in stewards.iter().enumerate() {
            let options = forwarder::Options {
                number: number as u64,
                zone: "recife-1".to_owned(),
                stewards: vec![*steward],
                seed: number as u64,
                usual: RATE / FORWARDERS as f64,
                stall_us: 30,
                away_after: 5,
                away_for: 5 * SECOND,
                lies: false,
                ignores_terms: false,
                stop_at: None,
            };
            let (sender, receiver) = tokio::sync::oneshot::channel();
            spawn_local(async move { forwarder::run(options, |at| _ = sender.send(at)).await });
            self.clients.set_forwarder_address(number, receiver.await?);
        }
        Ok(())
    }

    /// Waits until every forwarder serves a write of every slice.
    pub async fn warm_up(&self, slices: u64) -> Result<(), Unplayed> {
        let until = self.now() + 2 * (LEASE + SETTLE) + 10 * SECOND;
        for slice in 0..slices {
            for number in 0..FORWARDERS {
                while !self.clients.probe(number, slice, 1).await {
                    if self.now() > until {
                        return Err(format!("slice {slice} is not served").into());
                    }
                    sleep(Duration::from_millis(50)).await;
                }
            }
        }
        self.note("all slices are served");
        Ok(())
    }

    /// Lets clients send for so many seconds from now on, in the background.
    pub fn send_load(&self, seconds: i64) {
        let (clients, until) = (self.clients.clone(), self.now() + seconds * SECOND);
        spawn_local(async move { clients.send_until(until).await });
    }

    /// Returns how many tries reached a server within these times, by what the server has read.
    pub fn tries_at(&self, server: usize, from: Time, to: Time) -> Result<usize, Unplayed> {
        self.capture.finish()?;
        let id = &self.servers[server].id;
        let tries = capture::read(&self.capture_file)?.into_iter().filter(|event| match event {
            Event::Accepted { at, server, .. } | Event::Rejected { at, server, .. } => {
                server == id && (from..to).contains(at)
            }
            _ => false,
        });
        Ok(tries.count())
    }

    /// Returns what the servers have read and ended, and all else that the stand-ins have noted.
    pub fn events(&self) -> Result<Vec<Event>, Unplayed> {
        self.capture.finish()?;
        Ok(capture::read(&self.capture_file)?)
    }

    /// Writes the record: what was sent, answered and run, and the case's notes, by time.
    pub fn write_record(&self) -> Result<(), Unplayed> {
        self.capture.finish()?;
        let mut lines: Vec<(Time, String)> = self.notes.borrow().clone();
        for event in capture::read(&self.capture_file)? {
            lines.push((event.at(), serde_json::to_string(&event)?));
        }
        lines.sort_by_key(|(at, _)| *at);
        let text: String =
            lines.iter().map(|(at, line)| format!("{:9.3} {line}\n", self.seconds(*at))).collect();
        std::fs::write(&self.place.record, text)?;
        Ok(())
    }

    /// Sleeps for so many tenths of a second.
    pub async fn wait(&self, tenths: u64) {
        sleep(Duration::from_millis(100 * tenths)).await;
    }
}

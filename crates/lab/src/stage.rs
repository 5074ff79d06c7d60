//! The environment of a day: all processes, servers and clients, and the links between them.

use std::cell::{Cell, RefCell};
use std::ffi::OsString;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use ravenspar::settings;
use ravenspar_protocol::{codec, MAX_BODY_FROM_STEWARD};
use ravenspar_standin::capture::hex;
use ravenspar_standin::clients::{Clients, Kind, Load};
use ravenspar_standin::server::{Model, Server};
use ravenspar_standin::store::Store;
use ravenspar_standin::{duration, Capture, Clock, Event, SECOND};
use tokio_util::codec::BytesCodec;

use crate::day::Day;
use crate::judge::Rules;
use crate::links::{make_key, DatagramProxy, Endpoint, Link, Links, StreamEvent, StreamProxy};
use crate::listing::Listing;
use crate::processes::Process;

/// Why a command failed.
pub enum LabError {
    /// The input is invalid; exit code 2.
    Input(String),
    /// The day could not be played or measured.
    Failed(String),
}

impl From<io::Error> for LabError {
    fn from(error: io::Error) -> LabError {
        LabError::Failed(error.to_string())
    }
}

/// All that takes part in a day.
pub struct Fleet {
    pub day: Day,
    pub dir: PathBuf,
    pub capture: Capture,
    pub servers: RefCell<Vec<Rc<Server>>>,
    pub listing: Listing,
    pub links: Rc<Links>,
    /// Streams of forwarders to stewards, by forwarder and steward.
    pub relays: Vec<Vec<Rc<StreamProxy>>>,
    pub forwarders: Vec<tokio::sync::Mutex<Option<Process>>>,
    pub stewards: Vec<tokio::sync::Mutex<Option<Process>>>,
    pub store: Option<Store>,
    /// `None` unless the stewards keep a view of the fleet.
    datagrams: Option<Rc<DatagramProxy>>,
    /// Streams of each steward to the store.
    store_links: Vec<Rc<StreamProxy>>,
    pub clients: Rc<Clients>,
    pub rng: RefCell<fastrand::Rng>,
    /// Where each steward listens now.
    steward_addresses: Vec<Rc<Cell<Option<std::net::SocketAddr>>>>,
}

/// Writes the steward's settings into `dir`, then loads them as the steward will.
pub fn write_settings(
    day: &Day,
    file: &Path,
    dir: &Path,
) -> Result<(settings::ValidatedSettings, Rules), LabError> {
    let mut cfg = day.steward.clone();
    let Some(map) = cfg.as_object_mut() else {
        return Err(LabError::Input(format!("{}:1:1: steward: expected a map of settings", file.display())));
    };
    map.insert("listen".to_owned(), "127.0.0.1:0".into());
    map.insert("record".to_owned(), "steward.redb".into());
    map.insert("list".to_owned(), serde_json::json!({ "path": "servers.yaml" }));
    map.insert("forwarders".to_owned(), day.forwarders.count.into());
    map.insert("seed".to_owned(), day.seed.into());
    if map.get("store").is_some_and(|store| store == "etcd") {
        let share = map.entry("share").or_insert_with(|| serde_json::json!({}));
        // A placeholder: each steward gets the address of its own link to the store when it is started.
        share["endpoints"] = serde_json::json!(["http://127.0.0.1:1"]);
    }
    let path = dir.join("steward.yaml");
    // JSON is YAML.
    std::fs::write(&path, serde_json::to_string_pretty(&cfg).map_err(|e| LabError::Failed(e.to_string()))?)?;
    load_rules(dir).map_err(|what| LabError::Input(format!("{}: steward: {what}", file.display())))
}

/// Loads the settings of a day from its folder, and the judge's rules from them.
pub fn load_rules(dir: &Path) -> Result<(settings::ValidatedSettings, Rules), String> {
    let cfg = settings::load(&dir.join("steward.yaml")).map_err(|errors| errors.to_string())?;
    let rules = Rules::new(&cfg.map).ok_or("the settings lack a value that the rules need")?;
    Ok((cfg, rules))
}

impl Fleet {
    /// Starts all processes of a day; the servers are listed as ready.
    pub async fn start(day: Day, dir: &Path, rules: &Rules) -> Result<Rc<Fleet>, LabError> {
        let clock = Clock::default();
        let capture = Capture::create(&dir.join("capture.jsonl"), clock)?;
        let steward_addresses: Vec<_> = (0..day.stewards()).map(|_| Rc::new(Cell::new(None))).collect();
        let baseline = Link {
            loss: day.datagrams.lost,
            doubled: day.datagrams.doubled,
            late: duration(day.datagrams.late.0),
            ..Link::default()
        };
        let links = Links::new(day.seed, baseline);
        let mut relays = Vec::new();
        for forwarder in 0..day.forwarders.count {
            let mut own = Vec::new();
            for (steward, target) in steward_addresses.iter().enumerate() {
                let ends = (Endpoint::Forwarder(forwarder), Endpoint::Steward(steward));
                let watch = frame_recorder(&capture, steward);
                own.push(
                    StreamProxy::listen(&links, ends, target.clone(), || codec(MAX_BODY_FROM_STEWARD), watch)
                        .await?,
                );
            }
            relays.push(own);
        }
        let shared = day.steward.get("store").is_some_and(|store| store == "etcd");
        let store = shared.then(|| Store::new(day.seed | 1));
        let mut store_links = Vec::new();
        if let Some(store) = &store {
            let address = Rc::new(Cell::new(Some(store.listen().await?)));
            for steward in 0..steward_addresses.len() {
                let ends = (Endpoint::Steward(steward), Endpoint::Store);
                store_links.push(
                    StreamProxy::listen(&links, ends, address.clone(), BytesCodec::new, Rc::new(|_, _| ()))
                        .await?,
                );
            }
        }
        let mut datagrams = None;
        if day.view && store.is_some() {
            make_key(dir)?;
            datagrams = Some(DatagramProxy::open(&links, steward_addresses.len(), false).await?);
        }
        let timeout = |k: usize| {
            let kinds = day.steward.get("kinds").and_then(|kinds| kinds.get(k));
            let text = kinds.and_then(|kind| kind.get("client_timeout")).and_then(|t| t.as_str());
            text.and_then(ravenspar::yaml::parse_seconds).map_or(SECOND, |s| (s * SECOND as f64) as i64)
        };
        let replayable = |k: usize| {
            let kinds = day.steward.get("kinds").and_then(|kinds| kinds.get(k));
            kinds.and_then(|kind| kind.get("repeats")).is_some_and(|repeats| repeats == "replayable")
        };
        let kind = |(k, kind): (usize, &crate::judge::Kind)| Kind {
            share: day.clients.shares.get(&kind.name).copied().unwrap_or(0.0),
            work: day.clients.work.get(&kind.name).map_or(0.0, |work| work.0 as f64 / SECOND as f64),
            client_timeout: timeout(k),
            replayable: replayable(k),
        };
        let load = Load {
            rate: day.clients.rate,
            kinds: rules.kinds.iter().enumerate().map(kind).collect(),
            keys: day.clients.keys.max(1),
            skew: day.clients.skew,
            retries: day.clients.retries,
            retry_after: day.clients.retry_after.0,
            seed: day.seed ^ 0x5eed,
        };
        let clients = Clients::new(load, day.forwarders.count, capture.clone());
        let listing = Listing::new(dir.join("servers.yaml"), capture.clone());
        let fleet = Rc::new(Fleet {
            forwarders: (0..day.forwarders.count).map(|_| tokio::sync::Mutex::new(None)).collect(),
            rng: RefCell::new(fastrand::Rng::with_seed(day.seed)),
            day,
            dir: dir.to_owned(),
            capture,
            servers: RefCell::default(),
            listing,
            relays,
            stewards: steward_addresses.iter().map(|_| tokio::sync::Mutex::new(None)).collect(),
            store,
            links,
            datagrams,
            store_links,
            clients,
            steward_addresses,
        });
        for _ in 0..fleet.day.servers.count {
            let server = fleet.new_server().await?;
            fleet.listing.show(&server, "ready");
        }
        for number in 0..fleet.stewards.len() {
            fleet.start_steward(number).await?;
        }
        for number in 0..fleet.day.forwarders.count {
            fleet.start_forwarder(number).await?;
        }
        Ok(fleet)
    }

    /// Starts another server, warm and not listed yet.
    pub async fn new_server(&self) -> io::Result<Rc<Server>> {
        let index = self.servers.borrow().len();
        let (servers, zones) = (&self.day.servers, &self.day.servers.zones);
        let model = Model {
            cores: servers.cores,
            speed: servers.speeds[index % servers.speeds.len()],
            queue: servers.queue,
            connections: servers.connections,
            cold_from: servers.cold_from,
            cold_for: servers.cold_for.0,
            fall_multiple: servers.fall_multiple,
            fall_for: servers.fall_for.0,
        };
        let zone = &zones[index % zones.len()];
        let seed = self.day.seed.wrapping_mul(31).wrapping_add(index as u64);
        let server = Server::start(&format!("plan-{index}"), zone, model, seed, self.capture.clone()).await?;
        self.servers.borrow_mut().push(server.clone());
        Ok(server)
    }

    /// Starts a steward and routes its forwarders to it.
    pub async fn start_steward(&self, number: usize) -> io::Result<()> {
        let mut slot = self.stewards[number].lock().await;
        let name = if self.stewards.len() > 1 { format!("steward-{number}") } else { "steward".to_owned() };
        // A pause applies to the first start only.
        let first = !self.dir.join(format!("{name}.log")).exists();
        let process = match &self.datagrams {
            Some(datagrams) => {
                datagrams
                    .start_with_free_port(number, async || self.spawn_steward(number, &name, first).await)
                    .await?
            }
            None => self.spawn_steward(number, &name, first).await?,
        };
        self.steward_addresses[number].set(Some(process.address));
        *slot = Some(process);
        self.record_steward_state(number, "started");
        Ok(())
    }

    /// Writes the steward's own settings, if it has a link to the store, and starts its process.
    async fn spawn_steward(&self, number: usize, name: &str, first: bool) -> io::Result<Process> {
        if let Some(link) = self.store_links.get(number) {
            let text = std::fs::read_to_string(self.dir.join("steward.yaml"))?;
            let mut cfg: serde_json::Value = serde_json::from_str(&text)?;
            cfg["record"] = format!("{name}.redb").into();
            cfg["share"]["name"] = name.into();
            cfg["share"]["endpoints"] = serde_json::json!([format!("http://{}", link.address)]);
            if let Some(datagrams) = &self.datagrams {
                cfg["fleet"] = datagrams.settings(number);
            }
            std::fs::write(self.dir.join(format!("{name}.yaml")), serde_json::to_string_pretty(&cfg)?)?;
        }
        let args = ["steward", "--log-format", "json", "serve"].map(OsString::from);
        let path = self.dir.join(format!("{name}.yaml"));
        let mut args: Vec<OsString> = args.into_iter().chain([path.into_os_string()]).collect();
        let pause = self.day.pauses.iter().find(|pause| pause.steward == number);
        if let Some(pause) = pause.filter(|_| first) {
            args.extend(["--pause".into(), OsString::from(&pause.at)]);
        }
        Process::start(args, &self.dir.join(format!("{name}.log"))).await
    }

    /// Notes a change of a steward's state in the capture.
    pub fn record_steward_state(&self, number: usize, state: &str) {
        self.capture.note(|at| Event::Steward { at, number, state: state.to_owned() });
    }

    /// Kills a steward; forwarders can't reach it until it is started again.
    pub async fn kill_steward(&self, number: usize) {
        self.steward_addresses[number].set(None);
        if let Some(mut process) = self.stewards[number].lock().await.take() {
            process.kill().await;
        }
        self.record_steward_state(number, "killed");
    }

    /// Shuts a steward down in order and returns its exit code, as [`Process::end`] does.
    pub async fn end_steward(&self, number: usize) -> Option<i32> {
        let process = self.stewards[number].lock().await.take();
        let code = match process {
            Some(mut process) => process.end().await,
            None => Some(0),
        };
        self.steward_addresses[number].set(None);
        self.record_steward_state(number, "ended");
        code
    }

    /// Starts a forwarder, with the faults that the day gives it.
    pub async fn start_forwarder(&self, number: usize) -> io::Result<()> {
        let mut slot = self.forwarders[number].lock().await;
        let day = &self.day;
        let zones = &day.servers.zones;
        let baseline = day.clients.rate / day.forwarders.count as f64;
        let mut args = vec![
            "forwarder".to_owned(),
            format!("--number={number}"),
            format!("--zone={}", zones[number % zones.len()]),
            format!("--seed={}", day.seed.wrapping_add(number as u64)),
            format!("--usual={baseline}"),
            format!("--stall-us={}", day.forwarders.stall_us),
            format!("--away-after={}", day.forwarders.away_after),
            format!("--away-for-ms={}", day.forwarders.away_for.0 / 10),
        ];
        args.extend(self.relays[number].iter().map(|relay| format!("--steward={}", relay.address)));
        if day.forwarders.ignore_terms.contains(&number) {
            args.push("--ignores-terms".to_owned());
        }
        if day.forwarders.liars.contains(&number) {
            args.push("--lies".to_owned());
        }
        if let Some(pause) = day.forwarders.pause.as_ref().filter(|pause| pause.forwarder == number) {
            args.push(format!("--stop-at={}", pause.write));
        }
        let args = args.into_iter().map(OsString::from).collect();
        let process = Process::start(args, &self.dir.join(format!("forwarder-{number}.log"))).await?;
        self.clients.set_forwarder_address(number, process.address);
        *slot = Some(process);
        self.capture.note(|at| Event::Forwarder { at, number: number as u64, state: "started".to_owned() });
        Ok(())
    }

    /// Kills a forwarder.
    pub async fn kill_forwarder(&self, number: usize) {
        if let Some(mut process) = self.forwarders[number].lock().await.take() {
            process.kill().await;
        }
        self.capture.note(|at| Event::Forwarder { at, number: number as u64, state: "killed".to_owned() });
    }

    /// Sends a signal to a forwarder and notes its new state in the capture.
    pub async fn signal_forwarder(&self, number: usize, signal: &str, state: &str) {
        if let Some(process) = self.forwarders[number].lock().await.as_ref() {
            process.signal(signal).await;
        }
        self.capture.note(|at| Event::Forwarder { at, number: number as u64, state: state.to_owned() });
    }

    /// Sends a signal to a steward and notes its new state in the capture.
    pub async fn signal_steward(&self, number: usize, signal: &str, state: &str) {
        if let Some(process) = self.stewards[number].lock().await.as_ref() {
            process.signal(signal).await;
        }
        self.record_steward_state(number, state);
    }

    /// Waits until every forwarder serves a req for every slice. Fails after a time that allows for lease and settling, or if a
    /// steward ends.
    pub async fn warm_up(&self, checked: &settings::ValidatedSettings) -> Result<(), LabError> {
        let slices = checked.map.number("family_info.ranges").unwrap_or(0.0) as u64;
        let lease = checked.map.time("family_info.write_lease_s").unwrap_or(SECOND);
        let settle = checked.map.time("family_info.settle_s").unwrap_or(SECOND);
        let deadline = self.capture.now() + 4 * (lease + settle) + 20 * SECOND;
        let writing =
            checked.map.text("family_info.mutating").unwrap_or("").split(',').position(|flag| flag == "true");
        for slice in 0..slices {
            for forwarder in 0..self.day.forwarders.count {
                while !self.clients.probe(forwarder, slice, writing.unwrap_or(0)).await {
                    if self.capture.now() > deadline {
                        return Err(LabError::Failed(format!(
                            "slice {slice} was never served by forwarder {forwarder}"
                        )));
                    }
                    for steward in &self.stewards {
                        if steward.lock().await.as_mut().is_none_or(Process::has_ended) {
                            return Err(LabError::Failed("a steward ended, see its log".to_owned()));
                        }
                    }
                    tokio::time::sleep(std::time::Duration::from_millis(20)).await;
                }
            }
        }
        Ok(())
    }
}

/// Returns an observer that notes in the capture what crosses between a forwarder and a steward.
fn frame_recorder(capture: &Capture, steward: usize) -> Rc<dyn Fn(u64, StreamEvent)> {
    let capture = capture.clone();
    Rc::new(move |stream, seen| match seen {
        StreamEvent::Opened => capture.note(|at| Event::Opened { at, stream, steward }),
        StreamEvent::Piece { up, bytes } => {
            let body = hex(bytes);
            capture.note(|at| Event::Frame { at, stream, down: !up, body });
        }
        StreamEvent::Closed => capture.note(|at| Event::Closed { at, stream }),
    })
}

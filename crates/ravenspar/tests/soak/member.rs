//! One steward of the fleet: its processes, started one after another at the same address, and the signals
//! sent to them.

use std::cell::{Cell, RefCell};
use std::io::Write;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use fastrand::Rng;
use ravenspar_standin::platform::Discovery;
use serde_json::{json, Value};
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

use crate::clients::Address;
use crate::harness::{self, answers_ping, Steward};
use crate::judge::Elapsed;
use crate::relay::Relay;
use crate::schedule::{library, schedule};
use crate::store::{Sizes, Store, Times, MESSAGE_OVERHEAD};

/// Time from SIGTERM to SIGKILL, the shortest that the platform allows.
const KILL_AFTER: Duration = Duration::from_millis(700);

/// No SIGHUP is sent earlier than this in a process's life.
const MIN_HANGUP_AGE: Duration = Duration::from_secs(1);

/// How long time limits are paused after a SIGHUP with new addresses.
const ADDRESS_CHANGE_PAUSE: Duration = Duration::from_secs(4);

/// Proxies reconnect to a started steward within this time.
const REJOIN_MS: u64 = 800;

/// State shared by all parts of one play.
#[derive(Clone)]
pub struct Soak {
    pub seed: u64,
    pub started: Instant,
    pub store: Rc<RefCell<Store>>,
    pub sizes: Sizes,
    pub times: Times,
    /// How long system calls fail now and then, from the start of the play.
    pub faults: Duration,
    /// The folder of this play's logs and schedules.
    pub folder: PathBuf,
}

impl Soak {
    pub fn now(&self) -> Elapsed {
        self.started.elapsed()
    }
}

pub struct Member {
    pub number: usize,
    pub soak: Soak,
    pub relay: Relay,
    discovery: RefCell<Rc<Discovery>>,
    pub address: Address,
    config: RefCell<Value>,
    process: RefCell<Option<Steward>>,
    running: RefCell<Option<RunningProcess>>,
    /// Held while the process is ended, cut off, stopped or signalled more than once.
    lifecycle: Mutex<()>,
    starts: Cell<usize>,
}

/// The running process, up to its exit.
struct RunningProcess {
    id: Option<u32>,
    config: PathBuf,
    started: Instant,
    is_ready: bool,
}

/// The parts of a late list.
#[derive(Clone, Copy, Debug)]
pub struct LateList {
    /// From the last answer of discovery until the list is fixed that it sends next.
    pub until_held: Duration,
    /// From then until that list is sent.
    pub held: Duration,
    /// For how long it is sent in place of the newest.
    pub old: Duration,
}

impl LateList {
    pub fn span(&self) -> Duration {
        self.until_held + self.held + self.old
    }
}

/// The signals of a release.
#[derive(Clone, Copy, Debug)]
pub enum ReleaseKind {
    Plain,
    Twice,
    /// SIGHUP at the same time.
    WithHangup,
    /// SIGSTOP before it, and SIGCONT after.
    Stopped,
    /// The next process is asked to end while it starts.
    AtStart,
}

pub const RELEASE_KINDS: [ReleaseKind; 5] = [
    ReleaseKind::Plain,
    ReleaseKind::Twice,
    ReleaseKind::WithHangup,
    ReleaseKind::Stopped,
    ReleaseKind::AtStart,
];

impl Member {
    pub async fn start(number: usize, soak: Soak, discovery: Discovery) -> std::io::Result<Rc<Member>> {
        let relay = Relay::start(number, soak.store.clone()).await?;
        // An IP address of its own, so that no outgoing connection takes the port between two processes.
        let ip = format!("127.{}.{}.{}", 10 + soak.seed / 250 % 200, 1 + soak.seed % 250, 1 + number);
        let free = std::net::TcpListener::bind((ip.as_str(), 0))?;
        let at = free.local_addr()?.to_string();
        drop(free);
        let config = config(&at, &relay, &discovery, &soak, number);
        let member = Rc::new(Member {
            number,
            soak,
            relay,
            discovery: RefCell::new(Rc::new(discovery)),
            address: Address::new(at),
            config: RefCell::new(config),
            process: RefCell::new(None),
            running: RefCell::new(None),
            lifecycle: Mutex::new(()),
            starts: Cell::new(0),
        });
        member.start_and_wait().await;
        Ok(member)
    }

    fn store(&self) -> std::cell::RefMut<'_, Store> {
        self.soak.store.borrow_mut()
    }

    /// Sets a server's lifecycle in discovery's list.
    pub fn set_lifecycle(&self, server: &str, lifecycle: &str) {
        self.discovery.borrow().set(server, lifecycle);
    }

    /// Discovery is silent for a while, sends a list that is out of date by then, and then the newest.
    pub async fn delay_list(&self, late: LateList) {
        let discovery = || self.discovery.borrow().clone();
        let number = self.number;
        discovery().stop_answering();
        self.store().lists.stop_answering(number);
        sleep(late.until_held).await;
        discovery().pin_list();
        self.store().lists.pin_list(number);
        sleep(late.held).await;
        discovery().resume_answering();
        self.store().lists.resume_answering(number);
        sleep(late.old).await;
        discovery().unpin_list();
        self.store().lists.unpin_list(number);
        self.store().late_lists += 1;
    }

    /// Starts a process without waiting until it serves.
    fn spawn(&self) -> Steward {
        self.store().lists.process_starts(self.number);
        self.relay.reset_calls();
        self.address.next_process();
        let start = self.starts.replace(self.starts.get() + 1);
        let name = format!("steward-{}-{start}", self.number);
        let folder = self.soak.folder.clone();
        let rules = folder.join(format!("{name}.schedule"));
        let mut rng = Rng::with_seed(self.soak.seed * 1_000 + (self.number * 100 + start) as u64);
        let remaining =
            self.soak.faults.saturating_sub(self.soak.started.elapsed()).max(Duration::from_millis(300));
        // A send that fails with a reset means that the peer has reset the connection and is owed nothing;
        // these peers have not.
        let faults = schedule(&mut rng, remaining, 50..1_500);
        let faults: String = faults
            .lines()
            .filter(|rule| !rule.starts_with("send 104 "))
            .map(|rule| format!("{rule}\n"))
            .collect();
        std::fs::write(&rules, faults).expect("the file is written");
        let library = library();
        let environment = [("LD_PRELOAD", library.as_path()), (ravenspar_faults::SCHEDULE, rules.as_path())];
        let level = std::env::var("RAVENSPAR_SOAK_LOG").unwrap_or("info".to_owned());
        let mut steward = Steward::spawn(&self.config.borrow(), &format!("--log {level}"), &environment);
        let (id, config) = (steward.child.id(), steward.config.clone());
        self.running.replace(Some(RunningProcess { id, config, started: Instant::now(), is_ready: false }));
        let mut log = steward.take_log();
        spawn_local(async move {
            let mut file =
                std::fs::File::create(folder.join(format!("{name}.log"))).expect("the log file is created");
            while let Ok(Some(line)) = log.next_line().await {
                writeln!(file, "{line}").expect("the file is written");
            }
        });
        steward
    }

    /// Starts a process and waits until it is ready; then proxies reconnect.
    async fn start_and_wait(&self) {
        let started = Instant::now();
        *self.process.borrow_mut() = Some(self.spawn());
        let ready = async {
            loop {
                if let Ok(mut peer) = TcpStream::connect(&self.address.at).await {
                    if answers_ping(&mut peer).await {
                        return;
                    }
                }
                sleep(Duration::from_millis(10)).await;
            }
        };
        let is_ready = timeout(harness::TEST_TIMEOUT, ready).await.is_ok();
        if let Some(running) = self.running.borrow_mut().as_mut() {
            running.is_ready = is_ready;
        }
        let now = self.soak.now();
        self.store().judge.ready(now, self.number, started.elapsed());
        self.store().steward_back(self.number);
        self.reconnect_proxies();
    }

    /// Lets proxies reconnect at random times.
    fn reconnect_proxies(&self) {
        for proxy in 0..self.soak.sizes.proxies {
            let (store, number) = (self.soak.store.clone(), self.number);
            spawn_local(async move {
                sleep(Duration::from_millis(fastrand::u64(0..REJOIN_MS))).await;
                store.borrow_mut().join(number, proxy);
            });
        }
    }

    /// Sends a signal to the running process.
    pub async fn signal(&self, name: &str) {
        let running = self.running.borrow().as_ref().map(|running| (running.id, running.started.elapsed()));
        let Some((Some(id), age)) = running else { return };
        let process = self.starts.get() - 1;
        let signalled = format!("{name} to process {process}, {} ms old", age.as_millis());
        self.store().record_steward_event(self.number, &signalled);
        let sent = tokio::process::Command::new("kill").args([name, &id.to_string()]).status().await;
        assert!(sent.is_ok());
    }

    /// Releases the process: SIGTERM, SIGKILL at the earliest that the platform allows if it still runs, and
    /// a start at once.
    pub async fn release(&self, kind: ReleaseKind) {
        let _lifecycle = self.lifecycle.lock().await;
        self.check_unasked_exit();
        match kind {
            ReleaseKind::Plain => self.signal("-TERM").await,
            ReleaseKind::Twice => {
                self.signal("-TERM").await;
                self.signal("-TERM").await;
            }
            ReleaseKind::WithHangup => {
                tokio::join!(self.signal("-HUP"), self.signal("-TERM"));
            }
            ReleaseKind::Stopped => {
                self.signal("-STOP").await;
                self.signal("-TERM").await;
                self.signal("-CONT").await;
            }
            ReleaseKind::AtStart => {
                self.signal("-TERM").await;
                self.wait_or_kill().await;
                *self.process.borrow_mut() = Some(self.spawn());
                sleep(Duration::from_millis(fastrand::u64(0..40))).await;
                // No client is connected yet, and a signal before the process handles signals ends it.
                self.address.set_killed();
                self.signal("-TERM").await;
                let process = self.process.borrow_mut().take();
                if let Some(mut process) = process {
                    let _ = timeout(KILL_AFTER, process.child.wait()).await;
                    let _ = process.child.kill().await;
                }
                self.running.replace(None);
                return self.start_and_wait().await;
            }
        }
        self.wait_or_kill().await;
        self.start_and_wait().await;
    }

    /// Waits until a process that was asked to end has exited, and kills it when that is due.
    async fn wait_or_kill(&self) {
        let process = self.process.borrow_mut().take();
        let Some(mut process) = process else { return };
        let exited = timeout(KILL_AFTER, process.child.wait()).await;
        let now = self.soak.now();
        match exited {
            Ok(status) => {
                let code = status.ok().and_then(|status| status.code());
                self.store().judge.exited(now, self.number, code);
            }
            Err(_) => {
                let _ = process.child.kill().await;
            }
        }
        self.running.replace(None);
        self.store().steward_gone(self.number);
    }

    /// Kills the process without SIGTERM, and starts it again after a while.
    pub async fn kill(&self, downtime: Duration) {
        let _lifecycle = self.lifecycle.lock().await;
        self.check_unasked_exit();
        self.address.set_killed();
        let process = self.process.borrow_mut().take();
        if let Some(mut process) = process {
            let _ = process.child.kill().await;
        }
        self.running.replace(None);
        self.store().steward_gone(self.number);
        sleep(downtime).await;
        self.start_and_wait().await;
    }

    /// Cuts the steward off from relay and proxies for a while.
    pub async fn cut_off(&self, span: Duration) {
        let _lifecycle = self.lifecycle.lock().await;
        self.relay.link.borrow_mut().cut = true;
        self.store().steward_gone(self.number);
        sleep(span).await;
        self.relay.link.borrow_mut().cut = false;
        self.relay.end_subscriptions();
        self.store().steward_back(self.number);
        self.reconnect_proxies();
    }

    /// Stops the process for a while.
    pub async fn pause(&self, span: Duration) {
        let _lifecycle = self.lifecycle.lock().await;
        self.store().set_hindered(self.number, true);
        self.signal("-STOP").await;
        sleep(span).await;
        self.signal("-CONT").await;
        self.store().set_hindered(self.number, false);
    }

    /// Replaces the configuration in two parts, with a SIGHUP at each and one more.
    pub async fn replace_config_in_parts(&self) {
        // The lock keeps signals from a process that is not ready.
        let _lifecycle = self.lifecycle.lock().await;
        let path = self.process.borrow().as_ref().map(|process| process.config.clone());
        let Some(path) = path else { return };
        let text = || self.config.borrow().to_string();
        let write = |text: &str| drop(std::fs::write(&path, text));
        write(&text()[..text().len() / 2]);
        self.signal("-HUP").await;
        self.signal("-HUP").await;
        sleep(Duration::from_millis(fastrand::u64(0..150))).await;
        write(&text());
        self.signal("-HUP").await;
    }

    /// Returns true if a SIGHUP with new addresses may be sent.
    fn accepts_hangup(&self) -> bool {
        let running = self.running.borrow();
        running
            .as_ref()
            .is_some_and(|running| running.is_ready && running.started.elapsed() >= MIN_HANGUP_AGE)
    }

    /// Moves discovery and relay to other addresses, writes these to the configuration and sends a SIGHUP.
    /// Returns true if the process was ready for that.
    pub async fn change_addresses(&self) -> std::io::Result<bool> {
        let relay = self.relay.open().await?;
        let discovery = self.discovery.borrow().clone();
        let discovery = Rc::new(discovery.at_new_address().await?);
        if !self.accepts_hangup() {
            return Ok(false);
        }
        self.config.borrow_mut()["relay"]["address"] = json!(relay.address.to_string());
        self.config.borrow_mut()["discovery"] = json!(discovery.address.to_string());
        let (relay, discovery) = (self.relay.move_to(relay), self.discovery.replace(discovery));
        self.replace_config();
        self.store().pause_limits(self.number, ADDRESS_CHANGE_PAUSE);
        self.signal("-HUP").await;
        discovery.stop_accepting();
        spawn_local(async move {
            relay.close().await;
            drop(discovery);
        });
        Ok(true)
    }

    /// Replaces the configuration file in one step.
    fn replace_config(&self) {
        let running = self.running.borrow();
        let Some(running) = running.as_ref() else { return };
        let new = running.config.with_extension("new");
        std::fs::write(&new, self.config.borrow().to_string()).expect("the file is written");
        std::fs::rename(&new, &running.config).expect("the configuration is replaced");
    }

    /// Reports a process that has exited before it was asked to.
    fn check_unasked_exit(&self) {
        let mut process = self.process.borrow_mut();
        let exited = process.as_mut().and_then(|process| process.child.try_wait().ok()?);
        if let Some(status) = exited {
            self.store().judge.exited_unasked(self.soak.now(), self.number, status.code());
        }
    }

    /// Ends the last process.
    pub async fn shut_down(&self) {
        self.check_unasked_exit();
        self.signal("-TERM").await;
        self.wait_or_kill().await;
    }
}

fn config(at: &str, relay: &Relay, discovery: &Discovery, soak: &Soak, number: usize) -> Value {
    let (sizes, times) = (&soak.sizes, &soak.times);
    json!({
        "name": format!("n{number}"), "listen": at, "discovery": discovery.address.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "relay": {"address": relay.address().to_string()},
        "known": {"generation": 0, "reset": true, "instances": []},
        "settings": {
            "azs": ["a"], "discovery": "pushed",
            "classes": [{"name": "lookup", "worth": 1.0}, {"name": "write", "worth": 2.0}],
            "family_info": {
                "ranges": sizes.slices, "proxy_count": sizes.proxies, "write_lease_s": times.lease.as_secs_f64(),
                "settle_s": times.settle.as_secs_f64(), "channel_rate": sizes.rate(), "pending_max": sizes.max_waiting_lines(),
                "fixed_cost": MESSAGE_OVERHEAD, "pushes_allowed": crate::MAX_MESSAGES, "update_window_s": crate::WINDOW.as_secs_f64(),
                "transit_max_s": 0.5, "cycle_s": 0.5, "mutating": [false, true], "admit": "ratio",
            },
            "safety": {"cold_from": 0.2, "cold_s": 1.0, "fall_multiple": 2.5},
        },
    })
}

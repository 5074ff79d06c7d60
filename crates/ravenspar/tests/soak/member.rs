//! One steward of the fleet: its process, started again and again at the same address, and the signals that it gets.

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
use crate::judge::At;
use crate::relay::Relay;
use crate::schedule::{library, schedule};
use crate::store::{Sizes, Store, Times, HEAD};

/// From SIGTERM to SIGKILL, the platform's earliest.
const KILL: Duration = Duration::from_millis(700);

/// A SIGHUP never comes earlier than this in a process's life.
const FIRST_SECOND: Duration = Duration::from_secs(1);

/// How long time limits wait after a SIGHUP that brings new addresses.
const LIMITS_WAIT: Duration = Duration::from_secs(4);

/// Proxies come back to a steward that has started within this time.
const REJOIN_MS: u64 = 800;

/// What all of one soak have in common.
#[derive(Clone)]
pub struct Soak {
    pub seed: u64,
    pub began: Instant,
    pub store: Rc<RefCell<Store>>,
    pub sizes: Sizes,
    pub times: Times,
    /// How long system calls fail now and then, from a process's start.
    pub faults: Duration,
    /// For this play's logs and schedules.
    pub folder: PathBuf,
}

impl Soak {
    pub fn now(&self) -> At {
        self.began.elapsed()
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
    present: RefCell<Option<Present>>,
    /// Held by whoever ends the process, cuts it off, stops it or signals it more than once.
    lifecycle: Mutex<()>,
    starts: Cell<usize>,
}

/// The process that there is, up to its very end.
struct Present {
    id: Option<u32>,
    config: PathBuf,
    began: Instant,
    is_ready: bool,
}

/// How late a list comes.
#[derive(Clone, Copy, Debug)]
pub struct LateList {
    /// From the last word of discovery until the list stands that it tells next.
    pub until_held: Duration,
    /// From then until it is told.
    pub held: Duration,
    /// For how long it is told in place of the newest.
    pub old: Duration,
}

impl LateList {
    pub fn span(&self) -> Duration {
        self.until_held + self.held + self.old
    }
}

/// What a release does to the process besides SIGTERM.
#[derive(Clone, Copy, Debug)]
pub enum Series {
    Plain,
    Twice,
    /// SIGHUP in the same instant.
    WithHangup,
    /// SIGSTOP before it, and SIGCONT after.
    Stopped,
    /// The process that follows is asked to end while it starts.
    AtStart,
}

pub const SERIES: [Series; 5] =
    [Series::Plain, Series::Twice, Series::WithHangup, Series::Stopped, Series::AtStart];

impl Member {
    pub async fn start(number: usize, soak: Soak, discovery: Discovery) -> std::io::Result<Rc<Member>> {
        let relay = Relay::start(number, soak.store.clone()).await?;
        // An address of its own, so that no outgoing connection takes its port between two processes.
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
            present: RefCell::new(None),
            lifecycle: Mutex::new(()),
            starts: Cell::new(0),
        });
        member.run().await;
        Ok(member)
    }

    fn store(&self) -> std::cell::RefMut<'_, Store> {
        self.soak.store.borrow_mut()
    }

    /// Discovery lists a server so.
    pub fn list(&self, server: &str, lifecycle: &str) {
        self.discovery.borrow().set(server, lifecycle);
    }

    /// Discovery is silent for a while, tells a list that is old by then, and then the newest.
    pub async fn late_list(&self, late: LateList) {
        let discovery = || self.discovery.borrow().clone();
        let number = self.number;
        discovery().fall_silent();
        self.store().lists.fall_silent(number);
        sleep(late.until_held).await;
        discovery().hold_back();
        self.store().lists.hold_back(number);
        sleep(late.held).await;
        discovery().speak();
        self.store().lists.speak(number);
        sleep(late.old).await;
        discovery().catch_up();
        self.store().lists.catch_up(number);
        self.store().late_lists += 1;
    }

    /// Starts a process, which may not serve yet.
    fn spawn(&self) -> Steward {
        self.store().lists.process_starts(self.number);
        self.relay.forget_calls();
        self.address.next_process();
        let start = self.starts.replace(self.starts.get() + 1);
        let name = format!("steward-{}-{start}", self.number);
        let folder = self.soak.folder.clone();
        let rules = folder.join(format!("{name}.schedule"));
        let mut chance = Rng::with_seed(self.soak.seed * 1_000 + (self.number * 100 + start) as u64);
        let left = self.soak.faults.saturating_sub(self.soak.began.elapsed()).max(Duration::from_millis(300));
        // A send that fails by a reset says that the peer has reset the connection, and is owed nothing; these peers have not.
        let faults = schedule(&mut chance, left, 50..1_500);
        let faults: String = faults
            .lines()
            .filter(|rule| !rule.starts_with("send 104 "))
            .map(|rule| format!("{rule}\n"))
            .collect();
        std::fs::write(&rules, faults).expect("written");
        let library = library();
        let environment = [("LD_PRELOAD", library.as_path()), (ravenspar_faults::SCHEDULE, rules.as_path())];
        let level = std::env::var("RAVENSPAR_SOAK_LOG").unwrap_or("info".to_owned());
        let mut steward = Steward::spawn(&self.config.borrow(), &format!("--log {level}"), &environment);
        let (id, config) = (steward.child.id(), steward.config.clone());
        self.present.replace(Some(Present { id, config, began: Instant::now(), is_ready: false }));
        let mut log = steward.take_log();
        spawn_local(async move {
            let mut file = std::fs::File::create(folder.join(format!("{name}.log"))).expect("a file");
            while let Ok(Some(line)) = log.next_line().await {
                writeln!(file, "{line}").expect("written");
            }
        });
        steward
    }

    /// Starts a process and waits until it is ready; proxies come back to it.
    async fn run(&self) {
        let began = Instant::now();
        *self.process.borrow_mut() = Some(self.spawn());
        let ready = async {
            loop {
                if let Ok(mut party) = TcpStream::connect(&self.address.at).await {
                    if answers_ping(&mut party).await {
                        return;
                    }
                }
                sleep(Duration::from_millis(10)).await;
            }
        };
        let is_ready = timeout(harness::TEST_TIMEOUT, ready).await.is_ok();
        if let Some(present) = self.present.borrow_mut().as_mut() {
            present.is_ready = is_ready;
        }
        let now = self.soak.now();
        self.store().judge.ready(now, self.number, began.elapsed());
        self.store().steward_back(self.number);
        self.proxies_come();
    }

    fn proxies_come(&self) {
        for proxy in 0..self.soak.sizes.proxies {
            let (store, number) = (self.soak.store.clone(), self.number);
            spawn_local(async move {
                sleep(Duration::from_millis(fastrand::u64(0..REJOIN_MS))).await;
                store.borrow_mut().join(number, proxy);
            });
        }
    }

    pub async fn signal(&self, name: &str) {
        let present = self.present.borrow().as_ref().map(|present| (present.id, present.began.elapsed()));
        let Some((Some(id), age)) = present else { return };
        let process = self.starts.get() - 1;
        let signalled = format!("{name} to process {process}, {} ms old", age.as_millis());
        self.store().note_steward(self.number, &signalled);
        let sent = tokio::process::Command::new("kill").args([name, &id.to_string()]).status().await;
        assert!(sent.is_ok());
    }

    /// A release: SIGTERM, SIGKILL where it still runs at the earliest that the platform says, and a start at once.
    pub async fn release(&self, series: Series) {
        let _lifecycle = self.lifecycle.lock().await;
        self.judge_unasked_end();
        match series {
            Series::Plain => self.signal("-TERM").await,
            Series::Twice => {
                self.signal("-TERM").await;
                self.signal("-TERM").await;
            }
            Series::WithHangup => {
                tokio::join!(self.signal("-HUP"), self.signal("-TERM"));
            }
            Series::Stopped => {
                self.signal("-STOP").await;
                self.signal("-TERM").await;
                self.signal("-CONT").await;
            }
            Series::AtStart => {
                self.signal("-TERM").await;
                self.end().await;
                *self.process.borrow_mut() = Some(self.spawn());
                sleep(Duration::from_millis(fastrand::u64(0..40))).await;
                // Nobody asks anything yet, and a signal before it listens to any ends it by itself.
                self.address.killed();
                self.signal("-TERM").await;
                let process = self.process.borrow_mut().take();
                if let Some(mut process) = process {
                    let _ = timeout(KILL, process.child.wait()).await;
                    let _ = process.child.kill().await;
                }
                self.present.replace(None);
                return self.run().await;
            }
        }
        self.end().await;
        self.run().await;
    }

    /// Waits for the end of a process that was asked to, and kills it where that is due.
    async fn end(&self) {
        let process = self.process.borrow_mut().take();
        let Some(mut process) = process else { return };
        let ended = timeout(KILL, process.child.wait()).await;
        let now = self.soak.now();
        match ended {
            Ok(status) => {
                let code = status.ok().and_then(|status| status.code());
                self.store().judge.ended(now, self.number, code);
            }
            Err(_) => {
                let _ = process.child.kill().await;
            }
        }
        self.present.replace(None);
        self.store().steward_gone(self.number);
    }

    /// The process dies with no word, and starts again after a while.
    pub async fn kill(&self, away: Duration) {
        let _lifecycle = self.lifecycle.lock().await;
        self.judge_unasked_end();
        self.address.killed();
        let process = self.process.borrow_mut().take();
        if let Some(mut process) = process {
            let _ = process.child.kill().await;
        }
        self.present.replace(None);
        self.store().steward_gone(self.number);
        sleep(away).await;
        self.run().await;
    }

    /// Nothing passes between steward, relay and proxies for a while.
    pub async fn cut(&self, span: Duration) {
        let _lifecycle = self.lifecycle.lock().await;
        self.relay.way.borrow_mut().cut = true;
        self.store().steward_gone(self.number);
        sleep(span).await;
        self.relay.way.borrow_mut().cut = false;
        self.relay.end_news();
        self.store().steward_back(self.number);
        self.proxies_come();
    }

    /// It stands still for a while.
    pub async fn stop(&self, span: Duration) {
        let _lifecycle = self.lifecycle.lock().await;
        self.store().hinder(self.number, true);
        self.signal("-STOP").await;
        sleep(span).await;
        self.signal("-CONT").await;
        self.store().hinder(self.number, false);
    }

    /// Its configuration is replaced in two parts, with a SIGHUP at each and one more.
    pub async fn hangups(&self) {
        // No process is signalled that is not ready.
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

    /// Whether a SIGHUP with new addresses may come.
    fn may_hang_up(&self) -> bool {
        let present = self.present.borrow();
        present.as_ref().is_some_and(|present| present.is_ready && present.began.elapsed() >= FIRST_SECOND)
    }

    /// Discovery and relay are at other addresses, which the configuration names and a SIGHUP tells. Returns whether that may be by
    /// now.
    pub async fn change_addresses(&self) -> std::io::Result<bool> {
        let relay = self.relay.open().await?;
        let discovery = self.discovery.borrow().clone();
        let discovery = Rc::new(discovery.also().await?);
        if !self.may_hang_up() {
            return Ok(false);
        }
        self.config.borrow_mut()["relay"]["address"] = json!(relay.address.to_string());
        self.config.borrow_mut()["discovery"] = json!(discovery.address.to_string());
        let (relay, discovery) = (self.relay.move_to(relay), self.discovery.replace(discovery));
        self.replace_config();
        self.store().limits_wait(self.number, LIMITS_WAIT);
        self.signal("-HUP").await;
        discovery.stop_accepting();
        spawn_local(async move {
            relay.close().await;
            drop(discovery);
        });
        Ok(true)
    }

    fn replace_config(&self) {
        let present = self.present.borrow();
        let Some(present) = present.as_ref() else { return };
        let new = present.config.with_extension("new");
        std::fs::write(&new, self.config.borrow().to_string()).expect("written");
        std::fs::rename(&new, &present.config).expect("replaced");
    }

    /// A process that has ended before anybody asked it to.
    fn judge_unasked_end(&self) {
        let mut process = self.process.borrow_mut();
        let ended = process.as_mut().and_then(|process| process.child.try_wait().ok()?);
        if let Some(status) = ended {
            self.store().judge.ended_unasked(self.soak.now(), self.number, status.code());
        }
    }

    /// The last end, after all.
    pub async fn finish(&self) {
        self.judge_unasked_end();
        self.signal("-TERM").await;
        self.end().await;
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
                "settle_s": times.settle.as_secs_f64(), "channel_rate": sizes.rate(), "pending_max": sizes.waiting(),
                "fixed_cost": HEAD, "pushes_allowed": crate::MESSAGES, "update_window_s": crate::WINDOW.as_secs_f64(),
                "transit_max_s": 0.5, "cycle_s": 0.5, "mutating": [false, true], "admit": "ratio",
            },
            "safety": {"cold_from": 0.2, "cold_s": 1.0, "fall_multiple": 2.5},
        },
    })
}

//! Plays a day of work on real processes.

use std::cell::{Cell, RefCell};
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use ravenspar_protocol::{codec, MAX_BODY_FROM_STEWARD};
use ravenspar_standin::agent::Spec;
use ravenspar_standin::effects::{self, Effects};
use ravenspar_standin::store::Store;
use ravenspar_standin::{duration, Time, SECOND};
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio_util::codec::BytesCodec;

use super::day::WorkDay;
use super::judge::{judge, Seen};
use crate::fleet::Verdict;
use crate::processes::Process;
use crate::stage::Fault;
use crate::ways::{End, Streams, Way, Ways};

/// How long the fleet may take to be there at the start: processes start beside whatever else the machine does.
const PATIENCE: Duration = Duration::from_secs(60);

pub const PREFIX: &str = "/ravenspar/";

/// What befell somebody, for the judge.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Befell {
    pub at: Time,
    pub until: Time,
    pub what: String,
    pub who: Vec<String>,
}

pub struct Fleet {
    pub day: WorkDay,
    pub dir: PathBuf,
    pub ways: Rc<Ways>,
    pub store: Store,
    pub effects: Effects,
    pub stewards: RefCell<Vec<Option<Process>>>,
    pub sites: RefCell<Vec<Option<Process>>>,
    pub befell: RefCell<Vec<Befell>>,
    pub chance: RefCell<fastrand::Rng>,
    /// Where each steward takes agents; none while it is none.
    targets: Vec<Rc<Cell<Option<SocketAddr>>>>,
    /// Each steward's way to the store, each site's to each steward, each site's to where effects land.
    pipes: Vec<Rc<Streams>>,
    relays: Vec<Vec<Rc<Streams>>>,
    landing: Vec<Rc<Streams>>,
    starts: RefCell<Vec<usize>>,
    /// Bytes that crossed between stewards and the store, and between agents and stewards.
    pub crossed: [Rc<Cell<u64>>; 2],
    /// Processes that stand still by a trouble and are to be continued at the end of it.
    pub handed_in: Cell<usize>,
}

/// Plays the day and judges it. `dir` takes settings, logs and what was seen.
pub async fn play(day: WorkDay, dir: &Path) -> Result<Verdict, Fault> {
    ravenspar::print_line(&day.about);
    let fleet = Fleet::open(day, dir).await?;
    for n in 0..fleet.day.work.stewards {
        fleet.start_steward(n).await?;
    }
    for n in 0..fleet.day.work.sites {
        fleet.start_site(n).await?;
    }
    let tending = spawn_local(fleet.clone().tend());
    fleet.gets_there().await?;
    let began = fleet.store.now();
    let handing = spawn_local(fleet.clone().hand_in());
    let last = fleet.clone().troubles(began).await?;
    handing.await.map_err(|e| Fault::Failed(e.to_string()))?;
    let last = last.max(fleet.store.now());
    let until = last + fleet.day.judge.over_within.0;
    while !(fleet.all_over() && fleet.all_counted()) && fleet.store.now() < until {
        sleep(Duration::from_millis(20)).await;
    }
    tending.abort();
    let ended = fleet.store.now();
    // What comes late is seen too.
    sleep(duration(SECOND)).await;
    let seen = Seen {
        began,
        ended,
        last,
        changes: fleet.store.changes(),
        used: fleet.used(),
        landings: fleet.effects.landings(),
        befell: fleet.befell.borrow().clone(),
        handed_in: fleet.handed_in.get(),
    };
    std::fs::write(dir.join("seen.json"), serde_json::to_vec(&seen).map_err(std::io::Error::from)?)?;
    Ok(judge(&fleet.day, &seen))
}

impl Fleet {
    pub async fn open(day: WorkDay, dir: &Path) -> Result<Rc<Fleet>, Fault> {
        std::fs::write(
            dir.join("servers.yaml"),
            "servers:\n  - {id: a, zone: z, address: \"127.0.0.1:9\"}\n",
        )?;
        let ways = Ways::new(day.seed, Way::default());
        let store = Store::new(day.seed | 1);
        let clock = store.clone();
        let effects = Effects::new(100_000, day.work.effects_forget, move || clock.now());
        let store_at = Rc::new(Cell::new(Some(store.listen().await?)));
        let effects_at = Rc::new(Cell::new(Some(effects.listen().await?)));
        let targets: Vec<_> = (0..day.work.stewards).map(|_| Rc::new(Cell::new(None))).collect();
        let crossed: [Rc<Cell<u64>>; 2] = Default::default();
        let counts = |of: usize| {
            let count = crossed[of].clone();
            Rc::new(move |_, seen: crate::ways::Seen| {
                if let crate::ways::Seen::Piece { bytes, .. } = seen {
                    count.set(count.get() + bytes.len() as u64);
                }
            })
        };
        let (mut pipes, mut relays, mut landing) = (Vec::new(), Vec::new(), Vec::new());
        for n in 0..day.work.stewards {
            let ends = (End::Steward(n), End::Store);
            let watch = counts(0);
            pipes.push(Streams::listen(&ways, ends, store_at.clone(), BytesCodec::new, watch).await?);
        }
        for m in 0..day.work.sites {
            let mut own = Vec::new();
            for (n, target) in targets.iter().enumerate() {
                let ends = (End::Agent(m), End::Steward(n));
                let watch = counts(1);
                own.push(
                    Streams::listen(&ways, ends, target.clone(), || codec(MAX_BODY_FROM_STEWARD), watch)
                        .await?,
                );
            }
            relays.push(own);
            let ends = (End::Agent(m), End::Effects);
            let watch = Rc::new(|_, _: crate::ways::Seen| ());
            landing.push(
                Streams::listen(&ways, ends, effects_at.clone(), || codec(effects::MOST), watch).await?,
            );
        }
        Ok(Rc::new(Fleet {
            stewards: RefCell::new((0..day.work.stewards).map(|_| None).collect()),
            sites: RefCell::new((0..day.work.sites).map(|_| None).collect()),
            crossed,
            starts: RefCell::new(vec![0; day.work.stewards]),
            befell: RefCell::default(),
            chance: RefCell::new(fastrand::Rng::with_seed(day.seed)),
            handed_in: Cell::new(0),
            day,
            dir: dir.to_owned(),
            ways,
            store,
            effects,
            targets,
            pipes,
            relays,
            landing,
        }))
    }

    pub async fn start_steward(&self, n: usize) -> Result<(), Fault> {
        let work = &self.day.work;
        let seconds = |span: crate::day::Span| format!("{}ms", span.0 / 10);
        let settings = format!(
            "listen: 127.0.0.1:0\nrecord: steward-{n}.redb\nlist: {{path: servers.yaml}}\nforwarders: 1\nslices: 4\n\
             lease: 1s\nsettle: 1s\nhold: 500ms\nunserved_most: 10s\nsilent_after: 1s\n\
             channel: {{lines_per_s: 3300, waiting_lines: 2000, message_cost: 12, messages: 20, messages_within: 10s}}\n\
             reports: {{every: 500ms, lines_per_s: 250}}\n\
             cold: {{from: 0.2, for: 4s, fall_multiple: 2.5, fall_for: 1500ms}}\ndrain: {{grace: 2s}}\nkinds:\n  \
             - {{name: q, response_target: 1s, client_timeout: 1s, credit: 1, repeats: replayable, writes: false}}\n\
             stewards: {}\nstore: etcd\n\
             share: {{name: steward-{n}, endpoints: [\"http://{}\"], member_lease: {}s, call_within: 500ms}}\n\
             jobs: {{listen: 127.0.0.1:0, lease: {}s, cold: {}, again: {}, most_gone: {}, attempts: {}}}\n",
            work.stewards,
            self.pipes[n].address,
            work.member_lease.0 / SECOND,
            work.site_lease.0 / SECOND,
            seconds(work.cold),
            seconds(work.again),
            seconds(work.most_gone),
            work.attempts,
        );
        let debts = work.debts.as_ref().map_or(String::new(), |debts| {
            let users: Vec<String> = debts.users.iter().map(|user| format!("\"{user}\"")).collect();
            let users =
                if users.is_empty() { String::new() } else { format!(", users: [{}]", users.join(", ")) };
            let (half_life, epoch) = (seconds(debts.half_life), seconds(debts.epoch));
            format!("debts: {{half_life: {half_life}, epoch: {epoch}{users}}}\n")
        });
        let path = self.dir.join(format!("steward-{n}.yaml"));
        std::fs::write(&path, settings + &debts)?;
        let mut args: Vec<OsString> =
            ["steward", "--log", "info", "serve"].into_iter().map(OsString::from).collect();
        args.push(path.into_os_string());
        let first = self.starts.borrow()[n] == 0;
        for (flag, point) in [("--halt", &work.halt), ("--pause", &work.pause)] {
            if let Some(at) = point.as_ref().filter(|_| first) {
                args.extend([flag.into(), at.into()]);
            }
        }
        let start = self.starts.borrow()[n] as i64 + 1;
        if let Some(off) = work.clocks.get(n) {
            args.extend(["--clock-off".into(), (off * start).to_string().into()]);
        }
        self.starts.borrow_mut()[n] += 1;
        let mut process = Process::start(args, &self.dir.join(format!("steward-{n}.log"))).await?;
        self.targets[n].set(Some(process.agents().await?));
        self.stewards.borrow_mut()[n] = Some(process);
        Ok(())
    }

    pub async fn start_site(&self, m: usize) -> Result<(), Fault> {
        let work = &self.day.work;
        let mut args: Vec<OsString> = vec!["agent".into()];
        let dir = self.dir.join(format!("site-{m}"));
        let mut add = |flag: &str, value: OsString| args.extend([flag.into(), value]);
        add("--name", format!("site-{m}").into());
        add("--dir", dir.into_os_string());
        add("--effects", self.landing[m].address.to_string().into());
        add("--room", work.room.to_string().into());
        add("--lease-ms", (work.site_lease.0 / 10).to_string().into());
        add("--seed", (self.day.seed.wrapping_mul(131) + m as u64).to_string().into());
        for relay in &self.relays[m] {
            add("--steward", relay.address.to_string().into());
        }
        if let Some((_, call)) = work.pause_site.filter(|(site, _)| *site == m) {
            args.extend(["--pause-at".into(), call.to_string().into()]);
        }
        let ill = [
            ("--ignores-lease", &work.ignores_lease),
            ("--forgets", &work.forgets),
            ("--doubles", &work.doubles),
        ];
        ill.iter().filter(|(_, who)| who.contains(&m)).for_each(|(flag, _)| args.push((*flag).into()));
        let process = Process::start(args, &self.dir.join(format!("site-{m}.log"))).await?;
        self.sites.borrow_mut()[m] = Some(process);
        Ok(())
    }

    /// Starts stewards again that died at the day's point, and continues those that stopped themselves there.
    async fn tend(self: Rc<Fleet>) {
        /// Between death and start.
        const BACK: Time = SECOND;
        let halted = self.day.work.halt.is_some() || self.day.work.pause.is_some();
        if let Some((m, _)) = self.day.work.pause_site {
            spawn_local(self.clone().tend_site(m));
        }
        let mut met = vec![false; self.day.work.stewards];
        while halted && met.iter().any(|met| !met) {
            sleep(Duration::from_millis(5)).await;
            for (n, met) in met.iter_mut().enumerate().filter(|(_, met)| !**met) {
                let (ended, stopped) = {
                    let mut stewards = self.stewards.borrow_mut();
                    let Some(process) = &mut stewards[n] else { continue };
                    (process.ended(), process.is_stopped())
                };
                let (what, lasts) = match (ended, stopped) {
                    (true, _) => ("killed", BACK),
                    (_, true) => ("stopped", self.day.work.pause_for.0),
                    _ => continue,
                };
                *met = true;
                let at = self.store.now();
                let who = vec![format!("steward-{n}")];
                self.befell.borrow_mut().push(Befell { at, until: at + lasts, what: what.to_owned(), who });
                let fleet = self.clone();
                spawn_local(async move {
                    sleep(duration(lasts)).await;
                    if ended {
                        let _ = fleet.start_steward(n).await;
                    } else {
                        let id = fleet.stewards.borrow()[n].as_ref().and_then(Process::id);
                        if let Some(id) = id {
                            crate::processes::send(id, "CONT").await;
                        }
                    }
                });
            }
        }
    }

    /// Continues a site's agent that has stopped itself.
    async fn tend_site(self: Rc<Fleet>, m: usize) {
        let stopped =
            || self.sites.borrow()[m].as_ref().filter(|site| site.is_stopped()).and_then(Process::id);
        let id = loop {
            sleep(Duration::from_millis(5)).await;
            if let Some(id) = stopped() {
                break id;
            }
        };
        let (at, lasts) = (self.store.now(), self.day.work.pause_for.0);
        let who = vec![format!("site-{m}")];
        self.befell.borrow_mut().push(Befell { at, until: at + lasts, what: "stopped".to_owned(), who });
        sleep(duration(lasts)).await;
        crate::processes::send(id, "CONT").await;
    }

    /// Waits until all are members, there is an owner, and all sites are at the store.
    pub async fn gets_there(&self) -> Result<(), Fault> {
        let began = std::time::Instant::now();
        while !self.is_there() {
            if began.elapsed() > PATIENCE {
                return Err(Fault::Failed("the fleet did not get there, see its logs".to_owned()));
            }
            sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    /// All are members, there is an owner, and all sites are at the store.
    pub fn is_there(&self) -> bool {
        let changes = self.store.changes();
        let count = |kind: &str| {
            let mut there = std::collections::BTreeSet::new();
            let prefix = format!("{PREFIX}{kind}/");
            for change in changes.iter().filter(|change| change.key.starts_with(&prefix)) {
                match change.value {
                    Some(_) => there.insert(&change.key),
                    None => there.remove(&change.key),
                };
            }
            there.len()
        };
        count("member") == self.day.work.stewards
            && count("site") == self.day.work.sites
            && count("duty") >= 1
    }

    /// Hands all jobs in, each in its time.
    pub async fn hand_in(self: Rc<Fleet>) {
        let began = self.store.now();
        let mut all: Vec<(Time, String, String)> = Vec::new();
        for (k, jobs) in self.day.work.jobs.iter().enumerate() {
            let spec = Spec {
                user: jobs.user.clone(),
                group: jobs.group.clone(),
                steps: jobs.steps,
                step_ms: jobs.step.0 as u64 / 10,
                fails: jobs.fails,
                poison: jobs.poison,
            };
            let text = serde_json::to_string(&spec).unwrap_or_default();
            for n in 0..jobs.count {
                let at = jobs.from.0 + jobs.every.0 * n as Time;
                all.push((at, format!("{}-{k}-{n:05}", jobs.user), text.clone()));
            }
        }
        all.sort();
        for (at, id, text) in all {
            sleep(duration((began + at - self.store.now()).max(0))).await;
            self.store.put_key(&format!("{PREFIX}job/{id}"), &text);
            self.handed_in.set(self.handed_in.get() + 1);
        }
    }

    /// What sites have used under each token, by what they keep: they are where it was used.
    fn used(&self) -> Vec<((u64, String), Time)> {
        let mut used = Vec::new();
        for m in 0..self.day.work.sites {
            let text =
                std::fs::read_to_string(self.dir.join(format!("site-{m}/agent.jsonl"))).unwrap_or_default();
            let lines = text.lines().filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
            used.extend(lines.filter_map(|line| {
                let used = &line["used"];
                Some(((used[0].as_u64()?, used[2].as_str()?.to_owned()), used[1].as_i64()?))
            }));
        }
        used.sort_unstable();
        used
    }

    pub fn all_over(&self) -> bool {
        let prefix = format!("{PREFIX}outcome/");
        let changes = self.store.changes();
        let over: std::collections::BTreeSet<&str> = changes
            .iter()
            .filter(|change| change.value.is_some())
            .filter_map(|change| change.key.strip_prefix(&prefix))
            .collect();
        over.len() >= self.handed_in.get()
    }

    /// All that sites keep of what they used is folded, where there is the duty of debts.
    fn all_counted(&self) -> bool {
        if self.day.work.debts.is_none() {
            return true;
        }
        self.used().iter().all(|((token, job), _)| {
            let row = self.store.get(format!("{PREFIX}use/{token:016x}/{job}").as_bytes());
            row.is_some_and(|(row, _)| String::from_utf8_lossy(&row).contains("\"folded\":true"))
        })
    }

    /// The steward that the store says is owner.
    pub fn owner(&self) -> Option<usize> {
        let (life, _) = self.store.get(format!("{PREFIX}duty/jobs").as_bytes())?;
        let life = String::from_utf8(life).ok()?;
        let (member, _) = self.store.get(format!("{PREFIX}member/{life}").as_bytes())?;
        let member: serde_json::Value = serde_json::from_slice(&member).ok()?;
        member["name"].as_str()?.strip_prefix("steward-")?.parse().ok()
    }

    /// The site that holds the first job that anybody holds.
    pub fn holder(&self) -> Option<usize> {
        let prefix = format!("{PREFIX}line/");
        let mut lines = std::collections::BTreeMap::new();
        for change in self.store.changes() {
            if let Some(job) = change.key.strip_prefix(&prefix) {
                lines.insert(job.to_owned(), change.value);
            }
        }
        lines.into_values().flatten().find_map(|line| {
            let line: ravenspar_jobs::JobLine = serde_json::from_str(&line).ok()?;
            let life = line.site()?;
            let (site, _) = self.store.get(format!("{PREFIX}site/{life:016x}").as_bytes())?;
            let site: serde_json::Value = serde_json::from_slice(&site).ok()?;
            site["name"].as_str()?.strip_prefix("site-")?.parse().ok()
        })
    }
}

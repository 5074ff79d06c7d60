//! Runs a day with work on real processes: stewards and site agents, with a stand-in store and effects service, all
//! connected through the lab's proxies.

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
use super::judge::{judge, Observations};
use crate::fleet::Verdict;
use crate::links::{Endpoint, Link, Links, StreamProxy};
use crate::processes::Process;
use crate::stage::LabError;

/// How long the fleet may take to start; generous because the machine may be busy with other work.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(60);

/// Prefix of all keys at the store.
pub const PREFIX: &str = "/ravenspar/";

/// A fault that was injected, for the judge.
#[derive(Clone, Debug, serde::Serialize)]
pub struct InjectedFault {
    pub at: Time,
    pub until: Time,
    pub what: String,
    /// Names of the processes that it affects, as `steward-0` or `site-0`.
    pub who: Vec<String>,
}

/// The processes of a running day, the services they use and the proxies between them.
pub struct Fleet {
    pub day: WorkDay,
    pub dir: PathBuf,
    pub links: Rc<Links>,
    pub store: Store,
    pub effects: Effects,
    pub stewards: RefCell<Vec<Option<Process>>>,
    pub sites: RefCell<Vec<Option<Process>>>,
    pub injected: RefCell<Vec<InjectedFault>>,
    pub rng: RefCell<fastrand::Rng>,
    /// Address at which each steward accepts agents; `None` before its first start.
    agent_listeners: Vec<Rc<Cell<Option<SocketAddr>>>>,
    /// Between each steward and the store.
    store_proxies: Vec<Rc<StreamProxy>>,
    /// Between each site's agent and each steward, by site and steward.
    agent_proxies: Vec<Vec<Rc<StreamProxy>>>,
    /// Between each site's agent and the effects service.
    effects_proxies: Vec<Rc<StreamProxy>>,
    /// How often each steward was started.
    starts: RefCell<Vec<usize>>,
    /// Bytes relayed between stewards and the store, and between agents and stewards.
    pub bytes_relayed: [Rc<Cell<u64>>; 2],
    /// Number of jobs submitted so far.
    pub submitted: Cell<usize>,
}

/// Runs the day and judges it. Settings, logs and observations are written to `dir`.
pub async fn play(day: WorkDay, dir: &Path) -> Result<Verdict, LabError> {
    ravenspar::print_line(&day.about);
    let fleet = Fleet::open(day, dir).await?;
    for n in 0..fleet.day.work.stewards {
        fleet.start_steward(n).await?;
    }
    for n in 0..fleet.day.work.sites {
        fleet.start_site(n).await?;
    }
    let supervising = spawn_local(fleet.clone().restart_halted());
    fleet.wait_until_ready().await?;
    let began = fleet.store.now();
    let submitting = spawn_local(fleet.clone().submit_jobs());
    let last = fleet.clone().inject_scheduled(began).await?;
    submitting.await.map_err(|e| LabError::Failed(e.to_string()))?;
    let last = last.max(fleet.store.now());
    let until = last + fleet.day.judge.finished_within.0;
    while !(fleet.all_finished() && fleet.all_uses_folded()) && fleet.store.now() < until {
        sleep(Duration::from_millis(20)).await;
    }
    supervising.abort();
    let ended = fleet.store.now();
    // Leaves time to observe late calls.
    sleep(duration(SECOND)).await;
    let observed = Observations {
        began,
        ended,
        last_input: last,
        changes: fleet.store.changes(),
        used: fleet.used(),
        landings: fleet.effects.landings(),
        injected: fleet.injected.borrow().clone(),
        submitted: fleet.submitted.get(),
    };
    std::fs::write(dir.join("seen.json"), serde_json::to_vec(&observed).map_err(std::io::Error::from)?)?;
    Ok(judge(&fleet.day, &observed))
}

impl Fleet {
    /// Starts the store, the effects service and the proxies, but no process yet.
    pub async fn open(day: WorkDay, dir: &Path) -> Result<Rc<Fleet>, LabError> {
        std::fs::write(
            dir.join("servers.yaml"),
            "servers:\n  - {id: a, zone: z, address: \"127.0.0.1:9\"}\n",
        )?;
        let links = Links::new(day.seed, Link::default());
        let store = Store::new(day.seed | 1);
        let clock = store.clone();
        let effects = Effects::new(100_000, day.work.effects_without_memory, move || clock.now());
        let store_at = Rc::new(Cell::new(Some(store.listen().await?)));
        let effects_at = Rc::new(Cell::new(Some(effects.listen().await?)));
        let agent_listeners: Vec<_> = (0..day.work.stewards).map(|_| Rc::new(Cell::new(None))).collect();
        let bytes_relayed: [Rc<Cell<u64>>; 2] = Default::default();
        let byte_counter = |kind: usize| {
            let count = bytes_relayed[kind].clone();
            Rc::new(move |_, event: crate::links::StreamEvent| {
                if let crate::links::StreamEvent::Piece { bytes, .. } = event {
                    count.set(count.get() + bytes.len() as u64);
                }
            })
        };
        let (mut store_proxies, mut agent_proxies, mut effects_proxies) =
            (Vec::new(), Vec::new(), Vec::new());
        for n in 0..day.work.stewards {
            let ends = (Endpoint::Steward(n), Endpoint::Store);
            let watch = byte_counter(0);
            store_proxies
                .push(StreamProxy::listen(&links, ends, store_at.clone(), BytesCodec::new, watch).await?);
        }
        for m in 0..day.work.sites {
            let mut own = Vec::new();
            for (n, target) in agent_listeners.iter().enumerate() {
                let ends = (Endpoint::Agent(m), Endpoint::Steward(n));
                let watch = byte_counter(1);
                own.push(
                    StreamProxy::listen(&links, ends, target.clone(), || codec(MAX_BODY_FROM_STEWARD), watch)
                        .await?,
                );
            }
            agent_proxies.push(own);
            let ends = (Endpoint::Agent(m), Endpoint::Effects);
            let watch = Rc::new(|_, _: crate::links::StreamEvent| ());
            effects_proxies.push(
                StreamProxy::listen(
                    &links,
                    ends,
                    effects_at.clone(),
                    || codec(effects::MAX_MESSAGE_BYTES),
                    watch,
                )
                .await?,
            );
        }
        Ok(Rc::new(Fleet {
            stewards: RefCell::new((0..day.work.stewards).map(|_| None).collect()),
            sites: RefCell::new((0..day.work.sites).map(|_| None).collect()),
            bytes_relayed,
            starts: RefCell::new(vec![0; day.work.stewards]),
            injected: RefCell::default(),
            rng: RefCell::new(fastrand::Rng::with_seed(day.seed)),
            submitted: Cell::new(0),
            day,
            dir: dir.to_owned(),
            links,
            store,
            effects,
            agent_listeners,
            store_proxies,
            agent_proxies,
            effects_proxies,
        }))
    }

    /// Writes the steward's settings and starts its process.
    pub async fn start_steward(&self, n: usize) -> Result<(), LabError> {
        let work = &self.day.work;
        let millis = |span: crate::day::Span| format!("{}ms", span.0 / 10);
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
            self.store_proxies[n].address,
            work.member_lease.0 / SECOND,
            work.site_lease.0 / SECOND,
            millis(work.cold_period),
            millis(work.retry_delay),
            millis(work.mass_loss_delay),
            work.max_attempts,
        );
        let debts = work.debts.as_ref().map_or(String::new(), |debts| {
            let users: Vec<String> = debts.users.iter().map(|user| format!("\"{user}\"")).collect();
            let users =
                if users.is_empty() { String::new() } else { format!(", users: [{}]", users.join(", ")) };
            let (half_life, epoch) = (millis(debts.half_life), millis(debts.epoch));
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
        if let Some(off) = work.clock_offsets_s.get(n) {
            args.extend(["--clock-off".into(), (off * start).to_string().into()]);
        }
        self.starts.borrow_mut()[n] += 1;
        let mut process = Process::start(args, &self.dir.join(format!("steward-{n}.log"))).await?;
        self.agent_listeners[n].set(Some(process.read_agent_address().await?));
        self.stewards.borrow_mut()[n] = Some(process);
        Ok(())
    }

    /// Starts the process of a site's agent.
    pub async fn start_site(&self, m: usize) -> Result<(), LabError> {
        let work = &self.day.work;
        let mut args: Vec<OsString> = vec!["agent".into()];
        let dir = self.dir.join(format!("site-{m}"));
        let mut option = |flag: &str, value: OsString| args.extend([flag.into(), value]);
        option("--name", format!("site-{m}").into());
        option("--dir", dir.into_os_string());
        option("--effects", self.effects_proxies[m].address.to_string().into());
        option("--room", work.capacity.to_string().into());
        option("--lease-ms", (work.site_lease.0 / 10).to_string().into());
        option("--seed", (self.day.seed.wrapping_mul(131) + m as u64).to_string().into());
        for proxy in &self.agent_proxies[m] {
            option("--steward", proxy.address.to_string().into());
        }
        if let Some((_, call)) = work.pause_site.filter(|(site, _)| *site == m) {
            args.extend(["--pause-at".into(), call.to_string().into()]);
        }
        let flags = [
            ("--ignores-lease", &work.ignores_lease),
            ("--forgets", &work.forgets_outcomes),
            ("--doubles", &work.repeats_uses),
        ];
        flags.iter().filter(|(_, sites)| sites.contains(&m)).for_each(|(flag, _)| args.push((*flag).into()));
        let process = Process::start(args, &self.dir.join(format!("site-{m}.log"))).await?;
        self.sites.borrow_mut()[m] = Some(process);
        Ok(())
    }

    /// Restarts stewards that died at the day's halt point and continues those that stopped themselves at its pause point.
    async fn restart_halted(self: Rc<Fleet>) {
        /// Time between a steward's death and its restart.
        const RESTART_DELAY: Time = SECOND;
        let halted = self.day.work.halt.is_some() || self.day.work.pause.is_some();
        if let Some((m, _)) = self.day.work.pause_site {
            spawn_local(self.clone().resume_paused_site(m));
        }
        let mut handled = vec![false; self.day.work.stewards];
        while halted && handled.iter().any(|handled| !handled) {
            sleep(Duration::from_millis(5)).await;
            for (n, handled) in handled.iter_mut().enumerate().filter(|(_, handled)| !**handled) {
                let (ended, stopped) = {
                    let mut stewards = self.stewards.borrow_mut();
                    let Some(process) = &mut stewards[n] else { continue };
                    (process.has_ended(), process.is_stopped())
                };
                let (what, lasts) = match (ended, stopped) {
                    (true, _) => ("killed", RESTART_DELAY),
                    (_, true) => ("stopped", self.day.work.pause_for.0),
                    _ => continue,
                };
                *handled = true;
                let at = self.store.now();
                let who = vec![format!("steward-{n}")];
                self.injected.borrow_mut().push(InjectedFault {
                    at,
                    until: at + lasts,
                    what: what.to_owned(),
                    who,
                });
                let fleet = self.clone();
                spawn_local(async move {
                    sleep(duration(lasts)).await;
                    if ended {
                        let _ = fleet.start_steward(n).await;
                    } else {
                        let id = fleet.stewards.borrow()[n].as_ref().and_then(Process::id);
                        if let Some(id) = id {
                            crate::processes::send_signal(id, "CONT").await;
                        }
                    }
                });
            }
        }
    }

    /// Continues the agent of `pause_site` some time after it has stopped itself.
    async fn resume_paused_site(self: Rc<Fleet>, m: usize) {
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
        self.injected.borrow_mut().push(InjectedFault {
            at,
            until: at + lasts,
            what: "stopped".to_owned(),
            who,
        });
        sleep(duration(lasts)).await;
        crate::processes::send_signal(id, "CONT").await;
    }

    /// Waits until the fleet is ready, up to [`STARTUP_TIMEOUT`].
    pub async fn wait_until_ready(&self) -> Result<(), LabError> {
        let began = std::time::Instant::now();
        while !self.is_ready() {
            if began.elapsed() > STARTUP_TIMEOUT {
                return Err(LabError::Failed(
                    "the fleet did not become ready in time, see the logs of its processes".to_owned(),
                ));
            }
            sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    /// Returns true if all stewards are members, the jobs duty has a leader and all sites are registered at the store.
    pub fn is_ready(&self) -> bool {
        let changes = self.store.changes();
        let count = |kind: &str| {
            let mut present = std::collections::BTreeSet::new();
            let prefix = format!("{PREFIX}{kind}/");
            for change in changes.iter().filter(|change| change.key.starts_with(&prefix)) {
                match change.value {
                    Some(_) => present.insert(&change.key),
                    None => present.remove(&change.key),
                };
            }
            present.len()
        };
        count("member") == self.day.work.stewards
            && count("site") == self.day.work.sites
            && count("duty") >= 1
    }

    /// Submits all jobs, each when it is due.
    pub async fn submit_jobs(self: Rc<Fleet>) {
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
            self.submitted.set(self.submitted.get() + 1);
        }
    }

    /// The uses of each token, read from the files of the agents: they are the source of this data.
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

    /// Returns true if every job submitted so far has an outcome.
    pub fn all_finished(&self) -> bool {
        let prefix = format!("{PREFIX}outcome/");
        let changes = self.store.changes();
        let finished: std::collections::BTreeSet<&str> = changes
            .iter()
            .filter(|change| change.value.is_some())
            .filter_map(|change| change.key.strip_prefix(&prefix))
            .collect();
        finished.len() >= self.submitted.get()
    }

    /// Returns true if every use that the agents recorded is folded into the debts, or if there is no debts duty.
    fn all_uses_folded(&self) -> bool {
        if self.day.work.debts.is_none() {
            return true;
        }
        self.used().iter().all(|((token, job), _)| {
            let row = self.store.get(format!("{PREFIX}use/{token:016x}/{job}").as_bytes());
            row.is_some_and(|(row, _)| String::from_utf8_lossy(&row).contains("\"folded\":true"))
        })
    }

    /// The leader of the jobs duty according to the store.
    pub fn leader(&self) -> Option<usize> {
        let (incarnation, _) = self.store.get(format!("{PREFIX}duty/jobs").as_bytes())?;
        let incarnation = String::from_utf8(incarnation).ok()?;
        let (member, _) = self.store.get(format!("{PREFIX}member/{incarnation}").as_bytes())?;
        let member: serde_json::Value = serde_json::from_slice(&member).ok()?;
        member["name"].as_str()?.strip_prefix("steward-")?.parse().ok()
    }

    /// The site that holds the first leased job, by job id.
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
            let incarnation = line.site()?;
            let (site, _) = self.store.get(format!("{PREFIX}site/{incarnation:016x}").as_bytes())?;
            let site: serde_json::Value = serde_json::from_slice(&site).ok()?;
            site["name"].as_str()?.strip_prefix("site-")?.parse().ok()
        })
    }
}

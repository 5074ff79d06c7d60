//! Runs a day for the view on real processes whose datagrams all pass through the lab.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use ravenspar_view::State;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::day::{FaultKind, FleetDay, ScheduledFault};
use super::judge::{judge, Checkpoint, Verdict, ViewSample};
use super::waits::CpuWaits;
use crate::links::{make_key, DatagramProxy, Endpoint, Link, Links};
use crate::processes::{send_signal, Process};
use crate::stage::LabError;

/// Interval between two queries of a steward's view.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How long the fleet may take to converge at the start; generous because the machine may be busy with other work.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(60);

/// The processes of a running day, the datagram proxy between them and what was observed.
pub struct Fleet {
    day: FleetDay,
    dir: PathBuf,
    pub links: Rc<Links>,
    pub datagrams: Rc<DatagramProxy>,
    pub processes: RefCell<Vec<Option<Process>>>,
    /// How often each steward was started.
    starts: RefCell<Vec<u64>>,
    /// Stewards that are paused at the moment.
    paused: RefCell<Vec<usize>>,
    pub samples: RefCell<Vec<ViewSample>>,
    /// Interval between two queries of a steward's view; `None` suspends them.
    pub poll_interval: Cell<Option<Duration>>,
    checkpoints: RefCell<Vec<Checkpoint>>,
    waits: RefCell<CpuWaits>,
    dead_seeds: Vec<std::net::SocketAddr>,
}

/// Runs the day and judges it. Settings, logs and samples are written to `dir`.
pub async fn play(day: FleetDay, dir: &Path) -> Result<Verdict, LabError> {
    ravenspar::print_line(&day.about);
    let fleet = Fleet::open(day, dir).await?;
    let first: Vec<usize> =
        (0..fleet.day.fleet.stewards).filter(|n| !fleet.day.fleet.started_later.contains(n)).collect();
    for &n in &first {
        fleet.start(n).await?;
    }
    let converged = fleet.wait_until_converged(&first).await;
    let settled = fleet.datagrams.now();
    let ended = if converged { fleet.inject_faults(settled).await? } else { settled };
    std::fs::write(dir.join("looks.jsonl"), to_json_lines(&fleet.samples.borrow()))?;
    std::fs::write(dir.join("waits.jsonl"), fleet.waits.borrow().to_json_lines())?;
    let worst = fleet.waits.borrow().worst();
    if !converged {
        return Ok(Verdict::never_converged(&fleet.samples.borrow()).with_waits(worst));
    }
    let verdict = judge(
        &fleet.day,
        &fleet.samples.borrow(),
        &fleet.datagrams.log.as_ref().map(|log| log.borrow().clone()).unwrap_or_default(),
        &fleet.checkpoints.borrow(),
        settled,
        ended,
    );
    Ok(verdict.with_waits(worst))
}

/// The samples as JSON lines, for `looks.jsonl`.
fn to_json_lines(samples: &[ViewSample]) -> String {
    let line = |sample: &ViewSample| {
        serde_json::json!({
            "at_ms": sample.at, "of": sample.steward, "start": sample.start, "digest": format!("{:016x}", sample.digest),
            "settled": sample.settled, "cut_off": sample.cut_off, "shown": sample.shown, "lost": sample.gone,
        })
        .to_string()
    };
    samples.iter().map(line).collect::<Vec<_>>().join("\n")
}

impl Fleet {
    /// Opens the datagram proxy and starts to observe the stewards, none of which is started yet.
    pub async fn open(day: FleetDay, dir: &Path) -> Result<Rc<Fleet>, LabError> {
        let count = day.fleet.stewards;
        make_key(dir)?;
        std::fs::write(
            dir.join("servers.yaml"),
            "servers:\n  - {id: a, zone: z, address: \"127.0.0.1:9\"}\n",
        )?;
        let links = Links::new(day.seed, Link { loss: day.fleet.loss, ..Link::default() });
        let datagrams = DatagramProxy::open(&links, count, true).await?;
        // Bound until all are chosen, so that no port is chosen twice; nothing answers there.
        let dead_seeds = (0..day.fleet.dead_seeds).map(|_| std::net::UdpSocket::bind("127.0.0.1:0"));
        let dead_seeds: Vec<std::net::UdpSocket> = dead_seeds.collect::<Result<_, _>>()?;
        let fleet = Rc::new(Fleet {
            dead_seeds: dead_seeds.iter().map(std::net::UdpSocket::local_addr).collect::<Result<_, _>>()?,
            dir: dir.to_owned(),
            links,
            datagrams,
            processes: RefCell::new((0..count).map(|_| None).collect()),
            starts: RefCell::new(vec![0; count]),
            paused: RefCell::default(),
            samples: RefCell::default(),
            poll_interval: Cell::new(Some(POLL_INTERVAL)),
            checkpoints: RefCell::default(),
            waits: RefCell::default(),
            day,
        });
        for n in 0..count {
            spawn_local(fleet.clone().poll_view(n));
        }
        spawn_local(fleet.clone().sample_cpu_waits());
        Ok(fleet)
    }

    /// Waits until these members have converged. Returns false if that takes longer than [`CONVERGENCE_TIMEOUT`].
    pub async fn wait_until_converged(&self, members: &[usize]) -> bool {
        let until = std::time::Instant::now() + CONVERGENCE_TIMEOUT;
        while !self.has_converged(members) {
            if std::time::Instant::now() >= until {
                return false;
            }
            sleep(Duration::from_millis(20)).await;
        }
        true
    }

    /// Starts a steward.
    pub async fn start(&self, n: usize) -> Result<(), LabError> {
        self.datagrams.start_with_free_port(n, async || self.try_start(n).await).await
    }

    async fn try_start(&self, n: usize) -> Result<(), LabError> {
        let (shown, own) = self.datagrams.addresses(n);
        let seeds = self.day.fleet.seeds.iter().map(|&seed| self.datagrams.addresses(seed).0);
        let peers: Vec<String> =
            self.dead_seeds.iter().copied().chain(seeds).map(|at| format!("\"{at}\"")).collect();
        let settings = format!(
            "listen: 127.0.0.1:0\nrecord: steward-{n}.redb\nlist: {{path: servers.yaml}}\nforwarders: 1\nslices: 1\n\
             lease: 1s\nsettle: 1s\nhold: 500ms\nunserved_most: 10s\nsilent_after: 1s\n\
             channel: {{lines_per_s: 3300, waiting_lines: 2000, message_cost: 12, messages: 20, messages_within: 10s}}\n\
             reports: {{every: 500ms, lines_per_s: 250}}\n\
             cold: {{from: 0.2, for: 4s, fall_multiple: 2.5, fall_for: 1500ms}}\ndrain: {{grace: 2s}}\nkinds:\n  \
             - {{name: q, response_target: 1s, client_timeout: 1s, credit: 1, repeats: replayable, writes: false}}\n\
             fleet: {{name: steward-{n}, listen: \"{own}\", address: \"{shown}\", key: fleet.key, round: {}ms, \
             peers: [{}]}}\n",
            self.day.fleet.round.0 / 10,
            peers.join(", ")
        );
        let path = self.dir.join(format!("steward-{n}.yaml"));
        std::fs::write(&path, settings)?;
        let args = ["steward", "--log", "info", "serve"].into_iter().map(OsString::from);
        let without =
            self.day.fleet.disabled.iter().flat_map(|group| ["--without".into(), OsString::from(group)]);
        let args = args.chain([path.into_os_string()]).chain(without).collect();
        let process = Process::start(args, &self.dir.join(format!("steward-{n}.log"))).await?;
        self.starts.borrow_mut()[n] += 1;
        self.processes.borrow_mut()[n] = Some(process);
        Ok(())
    }

    /// Kills a steward.
    pub async fn crash(&self, n: usize) {
        let process = self.processes.borrow_mut()[n].take();
        if let Some(mut process) = process {
            process.kill().await;
        }
        self.paused.borrow_mut().retain(|&other| other != n);
    }

    fn is_running(&self, n: usize) -> bool {
        self.processes.borrow()[n].is_some() && !self.paused.borrow().contains(&n)
    }

    /// Samples periodically how long each process waited for a CPU core. The lab is included, as it relays all datagrams.
    async fn sample_cpu_waits(self: Rc<Fleet>) {
        loop {
            let due = self.waits.borrow().due();
            tokio::time::sleep_until(due.into()).await;
            let mut processes = vec![("lab".to_owned(), std::process::id())];
            let named = |(n, process): (usize, &Option<Process>)| {
                process.as_ref().and_then(Process::id).map(|id| (format!("steward-{n}"), id))
            };
            processes.extend(self.processes.borrow().iter().enumerate().filter_map(named));
            self.waits.borrow_mut().sample(self.datagrams.now(), &processes);
        }
    }

    /// Queries a steward's view periodically, at the socket that it listens on.
    async fn poll_view(self: Rc<Fleet>, n: usize) {
        let key = self.dir.join("fleet.key");
        loop {
            sleep(self.poll_interval.get().unwrap_or(POLL_INTERVAL)).await;
            if !self.is_running(n) || self.poll_interval.get().is_none() {
                continue;
            }
            let start = self.starts.borrow()[n];
            let (_, own) = self.datagrams.addresses(n);
            let Ok(answer) = ravenspar::query_fleet(own, &key).await else { continue };
            if self.starts.borrow()[n] != start {
                continue;
            }
            let (mut shown, mut gone) = (BTreeMap::new(), BTreeMap::new());
            for member in &answer.members {
                if member.shown {
                    shown.insert(member.name.clone(), member.incarnation);
                }
                if member.state == State::Gone {
                    gone.insert(member.name.clone(), member.incarnation);
                }
            }
            let sample = ViewSample {
                at: self.datagrams.now(),
                steward: n,
                start,
                digest: answer.view.digest,
                settled: answer.view.settled,
                cut_off: answer.view.cut_off,
                shown,
                gone,
            };
            self.samples.borrow_mut().push(sample);
        }
    }

    /// Returns true if each of these members, by its last sample, has settled and shows exactly these members.
    fn has_converged(&self, members: &[usize]) -> bool {
        let samples = self.samples.borrow();
        let last: Vec<&ViewSample> =
            members.iter().filter_map(|&n| samples.iter().rev().find(|sample| sample.steward == n)).collect();
        let names: Vec<String> = {
            let mut names: Vec<String> = members.iter().map(|n| format!("steward-{n}")).collect();
            names.sort();
            names
        };
        last.len() == members.len()
            && last.iter().all(|sample| sample.settled && sample.digest == last[0].digest)
            && last.iter().all(|sample| sample.shown.keys().eq(names.iter()))
    }

    /// Groups of stewards that reach each other, directly or through others. Stewards that don't run are in none.
    fn reachable_groups(&self) -> Vec<Vec<usize>> {
        let mut remaining: Vec<usize> =
            (0..self.day.fleet.stewards).filter(|&n| self.is_running(n)).collect();
        let mut reachable_groups = Vec::new();
        while let Some(first) = remaining.pop() {
            let mut group = vec![first];
            let mut at = 0;
            while at < group.len() {
                let from = group[at];
                let (found, rest): (Vec<usize>, Vec<usize>) = remaining.iter().partition(|&&n| {
                    self.links.is_open_between(Endpoint::Steward(from), Endpoint::Steward(n))
                });
                group.extend(found);
                remaining = rest;
                at += 1;
            }
            group.sort_unstable();
            reachable_groups.push(group);
        }
        reachable_groups
    }

    /// Injects the faults in order. Wherever nothing changes for as long as the view may take to settle, a checkpoint is added at
    /// which the views have to be right. Returns the time at which the day ended.
    async fn inject_faults(self: &Rc<Fleet>, settled: u64) -> Result<u64, LabError> {
        // The beginning and the end of each fault.
        let mut steps: Vec<(u64, Step)> = Vec::new();
        let mut add = |fault: &ScheduledFault| {
            let at = settled + fault.at.0 as u64 / 10;
            steps.push((at, Step::Begin(fault.what.clone())));
            let lasts = fault.what.lasts().0 as u64 / 10;
            if lasts > 0 {
                steps.push((at + lasts, Step::Finish(fault.what.clone())));
            }
        };
        for fault in &self.day.faults {
            match &fault.what {
                FaultKind::Storm { count, lasts } => {
                    self.storm(fault.at.0, *count, lasts.0).iter().for_each(&mut add)
                }
                _ => add(fault),
            }
        }
        steps.sort_by_key(|(at, _)| *at);
        let within = self.day.judge.settles_within.0 as u64 / 10;
        let mut last = settled;
        for (at, step) in steps {
            if at > last + within {
                self.wait_until(last + within).await;
                self.add_checkpoint(last);
            }
            self.wait_until(at).await;
            self.apply_step(step).await?;
            last = self.datagrams.now();
        }
        self.wait_until(last + within).await;
        self.add_checkpoint(last);
        // A settled view has to stay settled.
        sleep(POLL_INTERVAL * 20).await;
        self.add_checkpoint(last);
        Ok(self.datagrams.now())
    }

    async fn wait_until(&self, at: u64) {
        sleep(Duration::from_millis(at.saturating_sub(self.datagrams.now()))).await;
    }

    fn add_checkpoint(&self, since: u64) {
        let reachable_groups = self.reachable_groups();
        self.checkpoints.borrow_mut().push(Checkpoint { at: self.datagrams.now(), since, reachable_groups });
    }

    async fn apply_step(self: &Rc<Fleet>, step: Step) -> Result<(), LabError> {
        match step {
            Step::Begin(FaultKind::Crash { stewards }) => {
                for n in stewards {
                    self.crash(n).await;
                }
            }
            Step::Begin(FaultKind::Start { stewards }) => {
                for n in stewards {
                    if self.processes.borrow()[n].is_none() {
                        self.start(n).await?;
                    }
                }
            }
            Step::Begin(FaultKind::Leave { stewards }) => {
                for n in stewards {
                    let process = self.processes.borrow_mut()[n].take();
                    if let Some(mut process) = process {
                        process.end().await;
                    }
                }
            }
            Step::Begin(FaultKind::Restart { stewards, moved }) => {
                for &n in &stewards {
                    self.crash(n).await;
                }
                for n in stewards {
                    if moved {
                        self.datagrams.move_to_new_address(n).await?;
                    }
                    self.start(n).await?;
                }
            }
            Step::Begin(FaultKind::Split { side, .. }) => {
                let apart = self.pairs(|a, b| side.contains(&a) != side.contains(&b));
                self.links.change(apart, |link| link.cut += 1);
            }
            Step::Finish(FaultKind::Split { side, .. }) => {
                let apart = self.pairs(|a, b| side.contains(&a) != side.contains(&b));
                self.links.change(apart, |link| link.cut -= 1);
            }
            Step::Begin(FaultKind::Cut { from, to, .. }) => {
                self.links
                    .change(self.pairs(|a, b| from.contains(&a) && to.contains(&b)), |link| link.cut += 1);
            }
            Step::Finish(FaultKind::Cut { from, to, .. }) => {
                self.links
                    .change(self.pairs(|a, b| from.contains(&a) && to.contains(&b)), |link| link.cut -= 1);
            }
            Step::Begin(FaultKind::Lose { stewards, share, late, .. }) => {
                let late = Duration::from_micros(late.0 as u64 * 100);
                let pairs = self.pairs(|a, b| stewards.contains(&a) || stewards.contains(&b));
                self.links.change(pairs, |link| (link.loss, link.late) = (share, late));
            }
            Step::Finish(FaultKind::Lose { stewards, .. }) => {
                let loss = self.day.fleet.loss;
                let pairs = self.pairs(|a, b| stewards.contains(&a) || stewards.contains(&b));
                self.links.change(pairs, |link| (link.loss, link.late) = (loss, Duration::ZERO));
            }
            Step::Begin(FaultKind::Stop { stewards, .. }) => self.signal(&stewards, true).await,
            Step::Finish(FaultKind::Stop { stewards, .. }) => self.signal(&stewards, false).await,
            Step::Begin(FaultKind::Crawl { stewards, on, off, lasts }) => {
                let fleet = self.clone();
                let until = self.datagrams.now() + lasts.0 as u64 / 10;
                let span = |span: crate::day::Span| Duration::from_micros(span.0 as u64 * 100);
                spawn_local(async move {
                    while fleet.datagrams.now() < until {
                        for (stop, span) in [(true, span(off)), (false, span(on))] {
                            fleet.send_signal(&stewards, stop).await;
                            sleep(span).await;
                        }
                    }
                });
            }
            Step::Finish(FaultKind::Crawl { stewards, .. }) => self.send_signal(&stewards, false).await,
            Step::Begin(FaultKind::Storm { .. }) | Step::Finish(_) => {}
        }
        Ok(())
    }

    /// Pauses or continues stewards. Paused ones don't count as running.
    async fn signal(&self, stewards: &[usize], stop: bool) {
        if stop {
            self.paused.borrow_mut().extend(stewards);
        }
        self.send_signal(stewards, stop).await;
        if !stop {
            self.paused.borrow_mut().retain(|n| !stewards.contains(n));
        }
    }

    async fn send_signal(&self, stewards: &[usize], stop: bool) {
        for &n in stewards {
            let id = self.processes.borrow()[n].as_ref().and_then(Process::id);
            if let Some(id) = id {
                send_signal(id, if stop { "STOP" } else { "CONT" }).await;
            }
        }
    }

    /// Ordered pairs of stewards that satisfy the predicate.
    fn pairs(&self, predicate: impl Fn(usize, usize) -> bool) -> Vec<(Endpoint, Endpoint)> {
        let all = 0..self.day.fleet.stewards;
        let pairs = all.clone().flat_map(|a| all.clone().map(move |b| (a, b)));
        pairs
            .filter(|&(a, b)| a != b && predicate(a, b))
            .map(|(a, b)| (Endpoint::Steward(a), Endpoint::Steward(b)))
            .collect()
    }

    /// Draws overlapping faults of all kinds, which end with the storm at the latest. All stewards run at its end.
    fn storm(&self, at: i64, faults: usize, lasts: i64) -> Vec<ScheduledFault> {
        use crate::day::Span;
        let mut rng = fastrand::Rng::with_seed(self.day.seed);
        let count = self.day.fleet.stewards;
        let mut all = Vec::new();
        for _ in 0..faults {
            let begin = rng.i64(0..lasts * 3 / 4);
            let span = Span(rng.i64(1..=lasts - begin));
            let one = rng.usize(..count);
            let other = (one + rng.usize(1..count)) % count;
            let (what, back) = match rng.u32(..7) {
                0 | 1 => {
                    (FaultKind::Crash { stewards: vec![one] }, Some(FaultKind::Start { stewards: vec![one] }))
                }
                2 => (FaultKind::Restart { stewards: vec![one], moved: rng.bool() }, None),
                3 => {
                    let side = (0..count).filter(|_| rng.bool()).collect();
                    (FaultKind::Split { side, lasts: span }, None)
                }
                4 => (FaultKind::Cut { from: vec![one], to: vec![other], lasts: span }, None),
                5 => (FaultKind::Lose { stewards: vec![one], share: 0.8, late: Span(0), lasts: span }, None),
                _ => (FaultKind::Stop { stewards: vec![one], lasts: span }, None),
            };
            all.push(ScheduledFault { at: Span(at + begin), what });
            all.extend(back.map(|what| ScheduledFault { at: Span(at + begin + span.0), what }));
        }
        // For stewards that were killed twice and started once.
        all.push(ScheduledFault {
            at: Span(at + lasts),
            what: FaultKind::Start { stewards: (0..count).collect() },
        });
        all
    }
}

/// The beginning or the end of a fault.
enum Step {
    Begin(FaultKind),
    Finish(FaultKind),
}

//! Plays a day of the view on real processes.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use ravenspar_view::State;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::day::{Fault as Trouble, FleetDay, What};
use super::judge::{judge, Checkpoint, Look, Verdict};
use super::waits::Waits;
use crate::processes::{send, Process};
use crate::stage::Fault;
use crate::ways::{make_key, Datagrams, End, Way, Ways};

/// Between two looks at what a steward shows.
const LOOK: Duration = Duration::from_millis(100);

/// How long the fleet may take to find together at the start: processes start beside whatever else the machine does.
const PATIENCE: Duration = Duration::from_secs(60);

pub struct Fleet {
    day: FleetDay,
    dir: PathBuf,
    pub ways: Rc<Ways>,
    pub datagrams: Rc<Datagrams>,
    pub processes: RefCell<Vec<Option<Process>>>,
    /// How often each was started.
    starts: RefCell<Vec<u64>>,
    /// Those that stand still at the moment.
    stopped: RefCell<Vec<usize>>,
    pub looks: RefCell<Vec<Look>>,
    /// Between two looks at what a steward shows; none are made while it is none.
    pub every: Cell<Option<Duration>>,
    checkpoints: RefCell<Vec<Checkpoint>>,
    waits: RefCell<Waits>,
    dead: Vec<std::net::SocketAddr>,
}

/// Plays the day and judges it. `dir` takes settings and logs.
pub async fn play(day: FleetDay, dir: &Path) -> Result<Verdict, Fault> {
    ravenspar::print_line(&day.about);
    let fleet = Fleet::open(day, dir).await?;
    let first: Vec<usize> =
        (0..fleet.day.fleet.stewards).filter(|n| !fleet.day.fleet.later.contains(n)).collect();
    for &n in &first {
        fleet.start(n).await?;
    }
    let one = fleet.becomes_one(&first).await;
    let settled = fleet.datagrams.now();
    let ended = if one { fleet.troubles(settled).await? } else { settled };
    std::fs::write(dir.join("looks.jsonl"), lines(&fleet.looks.borrow()))?;
    std::fs::write(dir.join("waits.jsonl"), fleet.waits.borrow().lines())?;
    let worst = fleet.waits.borrow().worst();
    if !one {
        return Ok(Verdict::never_one(&fleet.looks.borrow()).with_waits(worst));
    }
    let verdict = judge(
        &fleet.day,
        &fleet.looks.borrow(),
        &fleet.datagrams.crossed.as_ref().map(|crossed| crossed.borrow().clone()).unwrap_or_default(),
        &fleet.checkpoints.borrow(),
        settled,
        ended,
    );
    Ok(verdict.with_waits(worst))
}

fn lines(looks: &[Look]) -> String {
    let line = |look: &Look| {
        serde_json::json!({
            "at_ms": look.at, "of": look.of, "start": look.start, "digest": format!("{:016x}", look.digest),
            "settled": look.settled, "cut_off": look.cut_off, "shown": look.shown, "lost": look.lost,
        })
        .to_string()
    };
    looks.iter().map(line).collect::<Vec<_>>().join("\n")
}

impl Fleet {
    /// With nobody started yet; whoever runs is looked at.
    pub async fn open(day: FleetDay, dir: &Path) -> Result<Rc<Fleet>, Fault> {
        let count = day.fleet.stewards;
        make_key(dir)?;
        std::fs::write(
            dir.join("servers.yaml"),
            "servers:\n  - {id: a, zone: z, address: \"127.0.0.1:9\"}\n",
        )?;
        let ways = Ways::new(day.seed, Way { loss: day.fleet.loss, ..Way::default() });
        let datagrams = Datagrams::open(&ways, count, true).await?;
        // Held open so that nobody else gets them; nothing answers there.
        let dead = (0..day.fleet.dead_seeds).map(|_| std::net::UdpSocket::bind("127.0.0.1:0"));
        let dead: Vec<std::net::UdpSocket> = dead.collect::<Result<_, _>>()?;
        let fleet = Rc::new(Fleet {
            dead: dead.iter().map(std::net::UdpSocket::local_addr).collect::<Result<_, _>>()?,
            dir: dir.to_owned(),
            ways,
            datagrams,
            processes: RefCell::new((0..count).map(|_| None).collect()),
            starts: RefCell::new(vec![0; count]),
            stopped: RefCell::default(),
            looks: RefCell::default(),
            every: Cell::new(Some(LOOK)),
            checkpoints: RefCell::default(),
            waits: RefCell::default(),
            day,
        });
        for n in 0..count {
            spawn_local(fleet.clone().look(n));
        }
        spawn_local(fleet.clone().sample());
        Ok(fleet)
    }

    /// Waits until these are one, and says whether they were in time.
    pub async fn becomes_one(&self, members: &[usize]) -> bool {
        let until = std::time::Instant::now() + PATIENCE;
        while !self.is_one(members) {
            if std::time::Instant::now() >= until {
                return false;
            }
            sleep(Duration::from_millis(20)).await;
        }
        true
    }

    pub async fn start(&self, n: usize) -> Result<(), Fault> {
        self.datagrams.started(n, async || self.try_start(n).await).await
    }

    async fn try_start(&self, n: usize) -> Result<(), Fault> {
        let (shown, own) = self.datagrams.of(n);
        let seeds = self.day.fleet.seeds.iter().map(|&seed| self.datagrams.of(seed).0);
        let peers: Vec<String> =
            self.dead.iter().copied().chain(seeds).map(|at| format!("\"{at}\"")).collect();
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
            self.day.fleet.without.iter().flat_map(|part| ["--without".into(), OsString::from(part)]);
        let args = args.chain([path.into_os_string()]).chain(without).collect();
        let process = Process::start(args, &self.dir.join(format!("steward-{n}.log"))).await?;
        self.starts.borrow_mut()[n] += 1;
        self.processes.borrow_mut()[n] = Some(process);
        Ok(())
    }

    pub async fn crash(&self, n: usize) {
        let process = self.processes.borrow_mut()[n].take();
        if let Some(mut process) = process {
            process.kill().await;
        }
        self.stopped.borrow_mut().retain(|&other| other != n);
    }

    fn runs(&self, n: usize) -> bool {
        self.processes.borrow()[n].is_some() && !self.stopped.borrow().contains(&n)
    }

    /// Samples again and again how long each process waited for a core, the lab included: all datagrams go through it.
    async fn sample(self: Rc<Fleet>) {
        loop {
            let due = self.waits.borrow().due();
            tokio::time::sleep_until(due.into()).await;
            let mut processes = vec![("lab".to_owned(), std::process::id())];
            let of = |(n, process): (usize, &Option<Process>)| {
                process.as_ref().and_then(Process::id).map(|id| (format!("steward-{n}"), id))
            };
            processes.extend(self.processes.borrow().iter().enumerate().filter_map(of));
            self.waits.borrow_mut().sample(self.datagrams.now(), &processes);
        }
    }

    /// Looks again and again at what a steward shows, by its own socket.
    async fn look(self: Rc<Fleet>, n: usize) {
        let key = self.dir.join("fleet.key");
        loop {
            sleep(self.every.get().unwrap_or(LOOK)).await;
            if !self.runs(n) || self.every.get().is_none() {
                continue;
            }
            let start = self.starts.borrow()[n];
            let (_, own) = self.datagrams.of(n);
            let Ok(answer) = ravenspar::query_fleet(own, &key).await else { continue };
            if self.starts.borrow()[n] != start {
                continue;
            }
            let (mut shown, mut lost) = (BTreeMap::new(), BTreeMap::new());
            for member in &answer.members {
                if member.shown {
                    shown.insert(member.name.clone(), member.incarnation);
                }
                if member.state == State::Gone {
                    lost.insert(member.name.clone(), member.incarnation);
                }
            }
            let look = Look {
                at: self.datagrams.now(),
                of: n,
                start,
                digest: answer.view.digest,
                settled: answer.view.settled,
                cut_off: answer.view.cut_off,
                shown,
                lost,
            };
            self.looks.borrow_mut().push(look);
        }
    }

    /// Whether these, at their last look, show each other and say that they settled.
    fn is_one(&self, members: &[usize]) -> bool {
        let looks = self.looks.borrow();
        let last: Vec<&Look> =
            members.iter().filter_map(|&n| looks.iter().rev().find(|look| look.of == n)).collect();
        let names: Vec<String> = {
            let mut names: Vec<String> = members.iter().map(|n| format!("steward-{n}")).collect();
            names.sort();
            names
        };
        last.len() == members.len()
            && last.iter().all(|look| look.settled && look.digest == last[0].digest)
            && last.iter().all(|look| look.shown.keys().eq(names.iter()))
    }

    /// Parts of the fleet that reach each other, by whatever way around; those that do not run are in none.
    fn parts(&self) -> Vec<Vec<usize>> {
        let mut left: Vec<usize> = (0..self.day.fleet.stewards).filter(|&n| self.runs(n)).collect();
        let mut parts = Vec::new();
        while let Some(first) = left.pop() {
            let mut part = vec![first];
            let mut at = 0;
            while at < part.len() {
                let from = part[at];
                let (found, rest): (Vec<usize>, Vec<usize>) =
                    left.iter().partition(|&&n| self.ways.open_between(End::Steward(from), End::Steward(n)));
                part.extend(found);
                left = rest;
                at += 1;
            }
            part.sort_unstable();
            parts.push(part);
        }
        parts
    }

    /// The faults in order. Where nothing changes for as long as settling may take, what is shown is held against the
    /// truth. Returns when the day ended.
    async fn troubles(self: &Rc<Fleet>, settled: u64) -> Result<u64, Fault> {
        // Each fault as its beginning and its end.
        let mut steps: Vec<(u64, Step)> = Vec::new();
        let mut add = |trouble: &Trouble| {
            let at = settled + trouble.at.0 as u64 / 10;
            steps.push((at, Step::Begin(trouble.what.clone())));
            let lasts = trouble.what.lasts().0 as u64 / 10;
            if lasts > 0 {
                steps.push((at + lasts, Step::End(trouble.what.clone())));
            }
        };
        for trouble in &self.day.faults {
            match &trouble.what {
                What::Storm { faults, lasts } => {
                    self.storm(trouble.at.0, *faults, lasts.0).iter().for_each(&mut add)
                }
                _ => add(trouble),
            }
        }
        steps.sort_by_key(|(at, _)| *at);
        let within = self.day.judge.settles_within.0 as u64 / 10;
        let mut last = settled;
        for (at, step) in steps {
            if at > last + within {
                self.wait_until(last + within).await;
                self.check(last);
            }
            self.wait_until(at).await;
            self.step(step).await?;
            last = self.datagrams.now();
        }
        self.wait_until(last + within).await;
        self.check(last);
        // What was settled stays so.
        sleep(LOOK * 20).await;
        self.check(last);
        Ok(self.datagrams.now())
    }

    async fn wait_until(&self, at: u64) {
        sleep(Duration::from_millis(at.saturating_sub(self.datagrams.now()))).await;
    }

    fn check(&self, since: u64) {
        let parts = self.parts();
        self.checkpoints.borrow_mut().push(Checkpoint { at: self.datagrams.now(), since, parts });
    }

    async fn step(self: &Rc<Fleet>, step: Step) -> Result<(), Fault> {
        match step {
            Step::Begin(What::Crash { stewards }) => {
                for n in stewards {
                    self.crash(n).await;
                }
            }
            Step::Begin(What::Start { stewards }) => {
                for n in stewards {
                    if self.processes.borrow()[n].is_none() {
                        self.start(n).await?;
                    }
                }
            }
            Step::Begin(What::Leave { stewards }) => {
                for n in stewards {
                    let process = self.processes.borrow_mut()[n].take();
                    if let Some(mut process) = process {
                        process.end().await;
                    }
                }
            }
            Step::Begin(What::Restart { stewards, moved }) => {
                for &n in &stewards {
                    self.crash(n).await;
                }
                for n in stewards {
                    if moved {
                        self.datagrams.move_on(n).await?;
                    }
                    self.start(n).await?;
                }
            }
            Step::Begin(What::Split { side, .. }) => {
                let apart = self.pairs(|a, b| side.contains(&a) != side.contains(&b));
                self.ways.change(apart, |way| way.cut += 1);
            }
            Step::End(What::Split { side, .. }) => {
                let apart = self.pairs(|a, b| side.contains(&a) != side.contains(&b));
                self.ways.change(apart, |way| way.cut -= 1);
            }
            Step::Begin(What::Cut { from, to, .. }) => {
                self.ways.change(self.pairs(|a, b| from.contains(&a) && to.contains(&b)), |way| way.cut += 1);
            }
            Step::End(What::Cut { from, to, .. }) => {
                self.ways.change(self.pairs(|a, b| from.contains(&a) && to.contains(&b)), |way| way.cut -= 1);
            }
            Step::Begin(What::Lose { stewards, share, late, .. }) => {
                let late = Duration::from_micros(late.0 as u64 * 100);
                let of = self.pairs(|a, b| stewards.contains(&a) || stewards.contains(&b));
                self.ways.change(of, |way| (way.loss, way.late) = (share, late));
            }
            Step::End(What::Lose { stewards, .. }) => {
                let loss = self.day.fleet.loss;
                let of = self.pairs(|a, b| stewards.contains(&a) || stewards.contains(&b));
                self.ways.change(of, |way| (way.loss, way.late) = (loss, Duration::ZERO));
            }
            Step::Begin(What::Stop { stewards, .. }) => self.signal(&stewards, true).await,
            Step::End(What::Stop { stewards, .. }) => self.signal(&stewards, false).await,
            Step::Begin(What::Crawl { stewards, on, off, lasts }) => {
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
            Step::End(What::Crawl { stewards, .. }) => self.send_signal(&stewards, false).await,
            Step::Begin(What::Storm { .. }) | Step::End(_) => {}
        }
        Ok(())
    }

    async fn signal(&self, stewards: &[usize], stop: bool) {
        if stop {
            self.stopped.borrow_mut().extend(stewards);
        }
        self.send_signal(stewards, stop).await;
        if !stop {
            self.stopped.borrow_mut().retain(|n| !stewards.contains(n));
        }
    }

    async fn send_signal(&self, stewards: &[usize], stop: bool) {
        for &n in stewards {
            let id = self.processes.borrow()[n].as_ref().and_then(Process::id);
            if let Some(id) = id {
                send(id, if stop { "STOP" } else { "CONT" }).await;
            }
        }
    }

    /// Pairs of stewards, each direction by itself.
    fn pairs(&self, of: impl Fn(usize, usize) -> bool) -> Vec<(End, End)> {
        let all = 0..self.day.fleet.stewards;
        let pairs = all.clone().flat_map(|a| all.clone().map(move |b| (a, b)));
        pairs.filter(|&(a, b)| a != b && of(a, b)).map(|(a, b)| (End::Steward(a), End::Steward(b))).collect()
    }

    /// Faults of all kinds, one over the other, that are over when the storm is; all run again at its end.
    fn storm(&self, at: i64, faults: usize, lasts: i64) -> Vec<Trouble> {
        use crate::day::Span;
        let mut chance = fastrand::Rng::with_seed(self.day.seed);
        let count = self.day.fleet.stewards;
        let mut all = Vec::new();
        for _ in 0..faults {
            let begin = chance.i64(0..lasts * 3 / 4);
            let span = Span(chance.i64(1..=lasts - begin));
            let one = chance.usize(..count);
            let other = (one + chance.usize(1..count)) % count;
            let (what, back) = match chance.u32(..7) {
                0 | 1 => (What::Crash { stewards: vec![one] }, Some(What::Start { stewards: vec![one] })),
                2 => (What::Restart { stewards: vec![one], moved: chance.bool() }, None),
                3 => {
                    let side = (0..count).filter(|_| chance.bool()).collect();
                    (What::Split { side, lasts: span }, None)
                }
                4 => (What::Cut { from: vec![one], to: vec![other], lasts: span }, None),
                5 => (What::Lose { stewards: vec![one], share: 0.8, late: Span(0), lasts: span }, None),
                _ => (What::Stop { stewards: vec![one], lasts: span }, None),
            };
            all.push(Trouble { at: Span(at + begin), what });
            all.extend(back.map(|what| Trouble { at: Span(at + begin + span.0), what }));
        }
        // Whoever was killed twice and started once.
        all.push(Trouble { at: Span(at + lasts), what: What::Start { stewards: (0..count).collect() } });
        all
    }
}

enum Step {
    Begin(What),
    End(What),
}

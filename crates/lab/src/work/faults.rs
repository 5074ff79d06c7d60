//! Injects the scheduled faults of a day with work.

use std::rc::Rc;

use ravenspar_standin::store::Faults;
use ravenspar_standin::{duration, Time, SECOND};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::day::{FaultKind, ScheduledFault};
use super::play::{Fleet, InjectedFault, PREFIX};
use crate::day::Span;
use crate::links::Endpoint;
use crate::processes::send_signal;
use crate::stage::LabError;

/// A process that a fault is injected into.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Target {
    Steward(usize),
    Site(usize),
}

impl Target {
    fn name(self) -> String {
        match self {
            Target::Steward(n) => format!("steward-{n}"),
            Target::Site(n) => format!("site-{n}"),
        }
    }
}

impl Fleet {
    /// Injects the day's faults, each when it is due. Returns the time at which the last has ended.
    pub async fn inject_scheduled(self: Rc<Fleet>, began: Time) -> Result<Time, LabError> {
        let faults = self.day.faults.clone();
        self.inject_all(began, &faults).await
    }

    /// Injects these faults, with their times counted from now.
    pub async fn inject_now(self: Rc<Fleet>, faults: Vec<ScheduledFault>) -> Result<Time, LabError> {
        let now = self.store.now();
        self.inject_all(now, &faults).await
    }

    async fn inject_all(self: Rc<Fleet>, began: Time, faults: &[ScheduledFault]) -> Result<Time, LabError> {
        let mut all: Vec<ScheduledFault> = Vec::new();
        for fault in faults {
            match &fault.what {
                FaultKind::Storm { count, lasts } => all.extend(self.storm(fault.at.0, *count, lasts.0)),
                _ => all.push(fault.clone()),
            }
        }
        all.sort_by_key(|fault| fault.at.0);
        let mut running = Vec::new();
        for fault in all {
            sleep(duration((began + fault.at.0 - self.store.now()).max(0))).await;
            running.push(spawn_local(self.clone().inject(fault.what)));
        }
        for task in running {
            task.await.map_err(|e| LabError::Failed(e.to_string()))??;
        }
        Ok(self.store.now())
    }

    /// Resolves names and roles to processes; roles may resolve differently later.
    fn resolve(&self, names: &[String]) -> Vec<Target> {
        let (stewards, sites) = (self.day.work.stewards, self.day.work.sites);
        let mut found = Vec::new();
        for name in names {
            match name.as_str() {
                "stewards" => found.extend((0..stewards).map(Target::Steward)),
                "sites" => found.extend((0..sites).map(Target::Site)),
                "owner" => found.extend(self.leader().map(Target::Steward)),
                "others" => {
                    let leader = self.leader();
                    found.extend((0..stewards).filter(|n| Some(*n) != leader).map(Target::Steward));
                }
                "holder" => found.extend(self.holder().map(Target::Site)),
                name => {
                    let number = |kind: &str| name.strip_prefix(kind).and_then(|n| n.parse().ok());
                    found.extend(number("steward-").map(Target::Steward));
                    found.extend(number("site-").map(Target::Site));
                }
            }
        }
        found
    }

    /// Resolves names and roles to endpoints of links.
    fn endpoints(&self, names: &[String]) -> Vec<Endpoint> {
        let mut endpoints: Vec<Endpoint> = self
            .resolve(names)
            .into_iter()
            .map(|target| match target {
                Target::Steward(n) => Endpoint::Steward(n),
                Target::Site(n) => Endpoint::Agent(n),
            })
            .collect();
        endpoints.extend(names.iter().filter(|name| *name == "store").map(|_| Endpoint::Store));
        endpoints.extend(names.iter().filter(|name| *name == "effects").map(|_| Endpoint::Effects));
        endpoints
    }

    /// Records a fault for the judge.
    fn record_fault(&self, what: &str, targets: &[Target], lasts: Time) {
        let at = self.store.now();
        let who = targets.iter().map(|target| target.name()).collect();
        self.injected.borrow_mut().push(InjectedFault { at, until: at + lasts, what: what.to_owned(), who });
    }

    fn process_id(&self, target: Target) -> Option<u32> {
        let (all, n) = match target {
            Target::Steward(n) => (self.stewards.borrow(), n),
            Target::Site(n) => (self.sites.borrow(), n),
        };
        all[n].as_ref().and_then(|process| process.id())
    }

    async fn signal(&self, targets: &[Target], name: &str) {
        for target in targets {
            if let Some(id) = self.process_id(*target) {
                send_signal(id, name).await;
            }
        }
    }

    async fn start(&self, target: Target) -> Result<(), LabError> {
        match target {
            Target::Steward(n) => self.start_steward(n).await,
            Target::Site(n) => self.start_site(n).await,
        }
    }

    /// Takes the process out of the fleet, so that it no longer counts as running.
    fn take_process(&self, target: Target) -> Option<crate::processes::Process> {
        match target {
            Target::Steward(n) => self.stewards.borrow_mut()[n].take(),
            Target::Site(n) => self.sites.borrow_mut()[n].take(),
        }
    }

    /// Injects one fault and returns once it has ended.
    async fn inject(self: Rc<Fleet>, what: FaultKind) -> Result<(), LabError> {
        match what {
            FaultKind::Kill { who, back } => {
                let targets = self.resolve(&who);
                self.record_fault("killed", &targets, back.map_or(Time::MAX / 4, |back| back.0));
                let taken: Vec<_> = targets
                    .into_iter()
                    .filter_map(|target| Some((target, self.take_process(target)?)))
                    .collect();
                let mut gone = Vec::new();
                for (target, mut process) in taken {
                    process.kill().await;
                    gone.push(target);
                }
                if let Some(back) = back {
                    sleep(duration(back.0)).await;
                    for target in gone {
                        self.start(target).await?;
                    }
                }
            }
            FaultKind::Leave { who, back } => {
                let targets = self.resolve(&who);
                self.record_fault("ended in order", &targets, back.map_or(Time::MAX / 4, |back| back.0));
                let taken: Vec<_> = targets
                    .into_iter()
                    .filter_map(|target| Some((target, self.take_process(target)?)))
                    .collect();
                let mut gone = Vec::new();
                for (target, mut process) in taken {
                    process.end_within(std::time::Duration::from_secs(20)).await;
                    gone.push(target);
                }
                if let Some(back) = back {
                    sleep(duration(back.0)).await;
                    for target in gone {
                        self.start(target).await?;
                    }
                }
            }
            FaultKind::Stop { who, lasts } => {
                let targets = self.resolve(&who);
                self.record_fault("stopped", &targets, lasts.0);
                self.signal(&targets, "STOP").await;
                sleep(duration(lasts.0)).await;
                self.signal(&targets, "CONT").await;
            }
            FaultKind::Crawl { who, on, off, lasts } => {
                let targets = self.resolve(&who);
                self.record_fault("crawls", &targets, lasts.0);
                let until = self.store.now() + lasts.0;
                while self.store.now() < until {
                    self.signal(&targets, "STOP").await;
                    sleep(duration(off.0)).await;
                    self.signal(&targets, "CONT").await;
                    sleep(duration(on.0)).await;
                }
            }
            FaultKind::Cut { from, to, one_way, lasts } => {
                let (a, b) = (self.endpoints(&from), self.endpoints(&to));
                let mut pairs = Vec::new();
                for from in &a {
                    for to in &b {
                        pairs.push((*from, *to));
                        if !one_way {
                            pairs.push((*to, *from));
                        }
                    }
                }
                self.record_fault(&format!("cut from {to:?}"), &self.resolve(&from), lasts.0);
                self.record_fault(&format!("cut from {from:?}"), &self.resolve(&to), lasts.0);
                self.links.change(pairs.iter().copied(), |link| link.cut += 1);
                sleep(duration(lasts.0)).await;
                self.links.change(pairs.iter().copied(), |link| link.cut -= 1);
            }
            FaultKind::Slow { from, to, late, lasts } => {
                let (a, b) = (self.endpoints(&from), self.endpoints(&to));
                let pairs: Vec<_> = a.iter().flat_map(|a| b.iter().map(|b| (*a, *b))).collect();
                self.links.change_both_directions(pairs.iter().copied(), |link| link.late = duration(late.0));
                sleep(duration(lasts.0)).await;
                self.links
                    .change_both_directions(pairs.iter().copied(), |link| link.late = Default::default());
            }
            FaultKind::Away { lasts } => {
                self.record_fault(
                    "store away",
                    &self.resolve(&["stewards".to_owned(), "sites".to_owned()]),
                    lasts.0,
                );
                self.store.set_faults(Faults { away: true, ..Faults::default() });
                sleep(duration(lasts.0)).await;
                self.store.set_faults(Faults::default());
            }
            FaultKind::Late { count, by } => {
                self.record_fault("transactions late", &[], by.0);
                self.store.set_faults(Faults { late: count, late_by: duration(by.0), ..Faults::default() });
                sleep(duration(by.0)).await;
            }
            FaultKind::LoseAnswers { count } => {
                self.record_fault("answers lost", &[], SECOND);
                self.store.set_faults(Faults { lose_answers: count, ..Faults::default() });
                sleep(duration(SECOND)).await;
            }
            FaultKind::Roll { every } => {
                for n in 0..self.day.work.stewards {
                    let leave = FaultKind::Leave { who: vec![format!("steward-{n}")], back: Some(Span(0)) };
                    Box::pin(self.clone().inject(leave)).await?;
                    sleep(duration(every.0)).await;
                }
            }
            FaultKind::Cancel { user } => {
                let prefix = format!("{PREFIX}job/{user}-");
                let mut jobs = std::collections::BTreeMap::new();
                for change in self.store.changes() {
                    if change.key.starts_with(&prefix) {
                        jobs.insert(change.key, change.value);
                    }
                }
                for (key, text) in jobs {
                    let Some(mut job) =
                        text.and_then(|text| serde_json::from_str::<serde_json::Value>(&text).ok())
                    else {
                        continue;
                    };
                    job["cancel"] = true.into();
                    self.store.put_key(&key, &job.to_string());
                }
            }
            FaultKind::Storm { .. } => {}
        }
        Ok(())
    }

    /// Draws faults of all kinds. As each is short, at most a minority of the stewards is killed or paused at a time.
    fn storm(&self, from: Time, count: usize, lasts: Time) -> Vec<ScheduledFault> {
        let mut rng = self.rng.borrow_mut();
        let (stewards, sites) = (self.day.work.stewards, self.day.work.sites);
        let mut faults = Vec::new();
        for _ in 0..count {
            let at = Span(from + rng.i64(0..lasts.max(1)));
            let span = Span(rng.i64(SECOND / 2..6 * SECOND));
            let steward = format!("steward-{}", rng.usize(0..stewards));
            let site = format!("site-{}", rng.usize(0..sites));
            let other = format!("site-{}", rng.usize(0..sites));
            let what = match rng.usize(0..14) {
                0 => FaultKind::Kill { who: vec!["owner".to_owned()], back: Some(span) },
                1 => FaultKind::Kill { who: vec![steward], back: Some(span) },
                2 => FaultKind::Leave { who: vec![steward], back: Some(span) },
                3 => FaultKind::Stop { who: vec!["owner".to_owned()], lasts: span },
                4 => FaultKind::Crawl {
                    who: vec![steward],
                    on: Span(SECOND / 20),
                    off: Span(SECOND / 4),
                    lasts: span,
                },
                5 => FaultKind::Kill { who: vec!["holder".to_owned()], back: Some(span) },
                6 => FaultKind::Kill { who: vec![site, other], back: Some(span) },
                7 => FaultKind::Stop { who: vec!["holder".to_owned()], lasts: span },
                8 => FaultKind::Cut {
                    from: vec![steward],
                    to: vec!["store".to_owned()],
                    one_way: rng.bool(),
                    lasts: span,
                },
                9 => FaultKind::Cut {
                    from: vec![site],
                    to: vec!["stewards".to_owned()],
                    one_way: rng.bool(),
                    lasts: span,
                },
                10 => FaultKind::Cut {
                    from: vec![site, other],
                    to: vec!["effects".to_owned()],
                    one_way: false,
                    lasts: span,
                },
                11 => FaultKind::Cut {
                    from: vec![steward],
                    to: vec!["sites".to_owned()],
                    one_way: false,
                    lasts: span,
                },
                12 => FaultKind::Late { count: 1, by: Span(SECOND) },
                _ => FaultKind::LoseAnswers { count: 2 },
            };
            faults.push(ScheduledFault { at, what });
        }
        faults
    }
}

//! What befalls a fleet at work.

use std::rc::Rc;

use ravenspar_standin::store::Faults;
use ravenspar_standin::{duration, Time, SECOND};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::day::{Trouble, What};
use super::play::{Befell, Fleet, PREFIX};
use crate::day::Span;
use crate::processes::send;
use crate::stage::Fault;
use crate::ways::End;

/// Somebody whom something may befall.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Who {
    Steward(usize),
    Site(usize),
}

impl Who {
    fn name(self) -> String {
        match self {
            Who::Steward(n) => format!("steward-{n}"),
            Who::Site(n) => format!("site-{n}"),
        }
    }
}

impl Fleet {
    /// Plays all troubles, each in its time; returns when the last is over.
    pub async fn troubles(self: Rc<Fleet>, began: Time) -> Result<Time, Fault> {
        let troubles = self.day.troubles.clone();
        self.play_all(began, &troubles).await
    }

    /// Plays these from now on.
    pub async fn troubles_of(self: Rc<Fleet>, troubles: Vec<Trouble>) -> Result<Time, Fault> {
        let now = self.store.now();
        self.play_all(now, &troubles).await
    }

    async fn play_all(self: Rc<Fleet>, began: Time, troubles: &[Trouble]) -> Result<Time, Fault> {
        let mut all: Vec<Trouble> = Vec::new();
        for trouble in troubles {
            match &trouble.what {
                What::Storm { faults, lasts } => all.extend(self.storm(trouble.at.0, *faults, lasts.0)),
                _ => all.push(trouble.clone()),
            }
        }
        all.sort_by_key(|trouble| trouble.at.0);
        let mut playing = Vec::new();
        for trouble in all {
            sleep(duration((began + trouble.at.0 - self.store.now()).max(0))).await;
            playing.push(spawn_local(self.clone().play(trouble.what)));
        }
        for played in playing {
            played.await.map_err(|e| Fault::Failed(e.to_string()))??;
        }
        Ok(self.store.now())
    }

    /// Who is meant at this moment.
    fn who(&self, names: &[String]) -> Vec<Who> {
        let (stewards, sites) = (self.day.work.stewards, self.day.work.sites);
        let mut found = Vec::new();
        for name in names {
            match name.as_str() {
                "stewards" => found.extend((0..stewards).map(Who::Steward)),
                "sites" => found.extend((0..sites).map(Who::Site)),
                "owner" => found.extend(self.owner().map(Who::Steward)),
                "others" => {
                    let owner = self.owner();
                    found.extend((0..stewards).filter(|n| Some(*n) != owner).map(Who::Steward));
                }
                "holder" => found.extend(self.holder().map(Who::Site)),
                name => {
                    let number = |kind: &str| name.strip_prefix(kind).and_then(|n| n.parse().ok());
                    found.extend(number("steward-").map(Who::Steward));
                    found.extend(number("site-").map(Who::Site));
                }
            }
        }
        found
    }

    fn ends(&self, names: &[String]) -> Vec<End> {
        let mut ends: Vec<End> = self
            .who(names)
            .into_iter()
            .map(|who| match who {
                Who::Steward(n) => End::Steward(n),
                Who::Site(n) => End::Agent(n),
            })
            .collect();
        ends.extend(names.iter().filter(|name| *name == "store").map(|_| End::Store));
        ends.extend(names.iter().filter(|name| *name == "effects").map(|_| End::Effects));
        ends
    }

    fn note(&self, what: &str, who: &[Who], lasts: Time) {
        let at = self.store.now();
        let who = who.iter().map(|who| who.name()).collect();
        self.befell.borrow_mut().push(Befell { at, until: at + lasts, what: what.to_owned(), who });
    }

    fn id(&self, who: Who) -> Option<u32> {
        let (all, n) = match who {
            Who::Steward(n) => (self.stewards.borrow(), n),
            Who::Site(n) => (self.sites.borrow(), n),
        };
        all[n].as_ref().and_then(|process| process.id())
    }

    async fn signal(&self, who: &[Who], name: &str) {
        for who in who {
            if let Some(id) = self.id(*who) {
                send(id, name).await;
            }
        }
    }

    async fn start(&self, who: Who) -> Result<(), Fault> {
        match who {
            Who::Steward(n) => self.start_steward(n).await,
            Who::Site(n) => self.start_site(n).await,
        }
    }

    fn taken(&self, who: Who) -> Option<crate::processes::Process> {
        match who {
            Who::Steward(n) => self.stewards.borrow_mut()[n].take(),
            Who::Site(n) => self.sites.borrow_mut()[n].take(),
        }
    }

    async fn play(self: Rc<Fleet>, what: What) -> Result<(), Fault> {
        match what {
            What::Kill { who, back } => {
                let who = self.who(&who);
                self.note("killed", &who, back.map_or(Time::MAX / 4, |back| back.0));
                let who: Vec<_> = who.into_iter().filter_map(|who| Some((who, self.taken(who)?))).collect();
                let mut gone = Vec::new();
                for (who, mut process) in who {
                    process.kill().await;
                    gone.push(who);
                }
                if let Some(back) = back {
                    sleep(duration(back.0)).await;
                    for who in gone {
                        self.start(who).await?;
                    }
                }
            }
            What::Leave { who, back } => {
                let who = self.who(&who);
                self.note("ended in order", &who, back.map_or(Time::MAX / 4, |back| back.0));
                let who: Vec<_> = who.into_iter().filter_map(|who| Some((who, self.taken(who)?))).collect();
                let mut gone = Vec::new();
                for (who, mut process) in who {
                    process.end_within(std::time::Duration::from_secs(20)).await;
                    gone.push(who);
                }
                if let Some(back) = back {
                    sleep(duration(back.0)).await;
                    for who in gone {
                        self.start(who).await?;
                    }
                }
            }
            What::Stop { who, lasts } => {
                let who = self.who(&who);
                self.note("stopped", &who, lasts.0);
                self.signal(&who, "STOP").await;
                sleep(duration(lasts.0)).await;
                self.signal(&who, "CONT").await;
            }
            What::Crawl { who, on, off, lasts } => {
                let who = self.who(&who);
                self.note("crawls", &who, lasts.0);
                let until = self.store.now() + lasts.0;
                while self.store.now() < until {
                    self.signal(&who, "STOP").await;
                    sleep(duration(off.0)).await;
                    self.signal(&who, "CONT").await;
                    sleep(duration(on.0)).await;
                }
            }
            What::Cut { from, to, one_way, lasts } => {
                let (a, b) = (self.ends(&from), self.ends(&to));
                let mut pairs = Vec::new();
                for from in &a {
                    for to in &b {
                        pairs.push((*from, *to));
                        if !one_way {
                            pairs.push((*to, *from));
                        }
                    }
                }
                self.note(&format!("cut from {to:?}"), &self.who(&from), lasts.0);
                self.note(&format!("cut from {from:?}"), &self.who(&to), lasts.0);
                self.ways.change(pairs.iter().copied(), |way| way.cut += 1);
                sleep(duration(lasts.0)).await;
                self.ways.change(pairs.iter().copied(), |way| way.cut -= 1);
            }
            What::Slow { from, to, late, lasts } => {
                let (a, b) = (self.ends(&from), self.ends(&to));
                let pairs: Vec<_> = a.iter().flat_map(|a| b.iter().map(|b| (*a, *b))).collect();
                self.ways.change_between(pairs.iter().copied(), |way| way.late = duration(late.0));
                sleep(duration(lasts.0)).await;
                self.ways.change_between(pairs.iter().copied(), |way| way.late = Default::default());
            }
            What::Away { lasts } => {
                self.note("store away", &self.who(&["stewards".to_owned(), "sites".to_owned()]), lasts.0);
                self.store.set_faults(Faults { away: true, ..Faults::default() });
                sleep(duration(lasts.0)).await;
                self.store.set_faults(Faults::default());
            }
            What::Late { count, by } => {
                self.note("transactions late", &[], by.0);
                self.store.set_faults(Faults { late: count, late_by: duration(by.0), ..Faults::default() });
                sleep(duration(by.0)).await;
            }
            What::LoseAnswers { count } => {
                self.note("answers lost", &[], SECOND);
                self.store.set_faults(Faults { lose_answers: count, ..Faults::default() });
                sleep(duration(SECOND)).await;
            }
            What::Roll { every } => {
                for n in 0..self.day.work.stewards {
                    let leave = What::Leave { who: vec![format!("steward-{n}")], back: Some(Span(0)) };
                    Box::pin(self.clone().play(leave)).await?;
                    sleep(duration(every.0)).await;
                }
            }
            What::Cancel { user } => {
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
            What::Storm { .. } => {}
        }
        Ok(())
    }

    /// Troubles of all kinds, drawn: at most a minority of stewards is killed or stopped at a time, by their being short.
    fn storm(&self, from: Time, faults: usize, lasts: Time) -> Vec<Trouble> {
        let mut chance = self.chance.borrow_mut();
        let (stewards, sites) = (self.day.work.stewards, self.day.work.sites);
        let mut troubles = Vec::new();
        for _ in 0..faults {
            let at = Span(from + chance.i64(0..lasts.max(1)));
            let span = Span(chance.i64(SECOND / 2..6 * SECOND));
            let steward = format!("steward-{}", chance.usize(0..stewards));
            let site = format!("site-{}", chance.usize(0..sites));
            let other = format!("site-{}", chance.usize(0..sites));
            let what = match chance.usize(0..14) {
                0 => What::Kill { who: vec!["owner".to_owned()], back: Some(span) },
                1 => What::Kill { who: vec![steward], back: Some(span) },
                2 => What::Leave { who: vec![steward], back: Some(span) },
                3 => What::Stop { who: vec!["owner".to_owned()], lasts: span },
                4 => What::Crawl {
                    who: vec![steward],
                    on: Span(SECOND / 20),
                    off: Span(SECOND / 4),
                    lasts: span,
                },
                5 => What::Kill { who: vec!["holder".to_owned()], back: Some(span) },
                6 => What::Kill { who: vec![site, other], back: Some(span) },
                7 => What::Stop { who: vec!["holder".to_owned()], lasts: span },
                8 => What::Cut {
                    from: vec![steward],
                    to: vec!["store".to_owned()],
                    one_way: chance.bool(),
                    lasts: span,
                },
                9 => What::Cut {
                    from: vec![site],
                    to: vec!["stewards".to_owned()],
                    one_way: chance.bool(),
                    lasts: span,
                },
                10 => What::Cut {
                    from: vec![site, other],
                    to: vec!["effects".to_owned()],
                    one_way: false,
                    lasts: span,
                },
                11 => What::Cut {
                    from: vec![steward],
                    to: vec!["sites".to_owned()],
                    one_way: false,
                    lasts: span,
                },
                12 => What::Late { count: 1, by: Span(SECOND) },
                _ => What::LoseAnswers { count: 2 },
            };
            troubles.push(Trouble { at, what });
        }
        troubles
    }
}

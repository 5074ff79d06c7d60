//! Work on behalf of the whole fleet: the task of one life that owns its part in duties and its agents' streams.
//!
//! It owns all its state and talks by bounded messages: to its hands at the store, to the task that looks there, to the
//! streams of agents, and to the core that it tells of its end. Should it or one of those end by a fault, the life is over:
//! the steward joins anew and goes on from what the store says.

mod frames;
mod hands;
mod look;
mod rows;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use ravenspar_debt::{Books, Fact, Facts, Fold, Key};
use ravenspar_duty::{Claim, Duties, Duty, Member, Pace, Step, Tenure, Term};
use ravenspar_jobs::{Act, Desk, Giver, Hello, Line, Token, Write};
use ravenspar_net::Clock;
use ravenspar_protocol::VERSION;
use ravenspar_sharing::useful::Useful;
use ravenspar_sharing::Life;
use ravenspar_steward::{Time, SECOND};
use ravenspar_store::{Hand, Row, Shared};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::halt::Halt;
use crate::settings;
use crate::shared::Keys;
use crate::streams::{self, Input, Stream};

use frames::Said;
use hands::{Ask, ForAgents, Heard, Order, Own};
use look::{Look, Looker, Wanted};
use rows::Reach;

/// The duties that there are, by their names in the store.
pub const DUTIES: &[&str] = &["jobs", "debts"];
const JOBS: Duty = 0;
const DEBTS: Duty = 1;

/// What comes of what was asked for outside, and what is seen there.
enum Told {
    Looked(Box<Look>),
    Away(String),
    Stepped {
        step: Step,
        term: Option<Term>,
    },
    Wrote {
        writes: Vec<Write>,
        revision: Option<u64>,
    },
    Folded {
        fold: Fold,
        revision: Option<u64>,
    },
    /// Uses that are counted, by their tokens.
    Counted(Vec<(Key, u64)>),
    Reached,
    Registered {
        stream: u64,
        life: Life,
    },
    Renewed {
        stream: u64,
        life: Life,
        sent: u64,
        held: Option<bool>,
    },
    Line {
        job: String,
        line: Option<(Line, u64)>,
    },
    Settled {
        job: String,
        done: bool,
    },
    Spec {
        stream: u64,
        term: u64,
        life: Life,
        job: String,
        token: Token,
        spec: String,
    },
    Over(String),
}

/// Answers that wait for the task; whoever has one waits where it is full.
const TOLD: usize = 256;

/// Calls for agents under way at a time: registrations, renewals, ends. Agents ask again.
const CALLS: usize = 256;

/// Frames that wait for an agent's stream: as many orders as a look at the store may bring for a large site.
const FRAMES: usize = 256;

/// Uses heard of that wait for the store at most; agents say again what is left out.
const HEARD: usize = 4_096;

/// Between two writes of uses: what comes meanwhile is written together.
const USES: Time = SECOND / 2;

/// Between two lines of the log on what work for the fleet does.
const STATUS: Time = 10 * SECOND;

/// What the core tells the task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// When the membership is over, as this steward reckons it.
    pub until: Time,
    pub leaving: bool,
}

/// What it takes to begin.
pub struct With {
    pub store: Shared,
    pub keys: Keys,
    pub clock: Clock,
    pub life: Life,
    pub listener: Arc<TcpListener>,
    pub settings: settings::Jobs,
    pub debts: Option<settings::Debts>,
    pub standing: watch::Receiver<Standing>,
    /// Where tests meet it.
    pub halt: Option<Halt>,
}

/// The core's end of the task: dropping it ends the task and all that it began.
pub struct Work {
    task: AbortHandle,
    ended: mpsc::Receiver<String>,
    /// Duties that this life has.
    has: watch::Receiver<usize>,
}

impl Drop for Work {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Work {
    pub fn start(with: With) -> Work {
        let (say, ended) = mpsc::channel(1);
        let (has, seen) = watch::channel(0);
        let task = tokio::spawn(async move {
            let why = Task::new(with, has).run().await;
            let _ = say.send(why).await;
        });
        Work { task: task.abort_handle(), ended, has: seen }
    }

    /// Why it has ended; never, as long as it goes on.
    pub async fn ended(&mut self) -> String {
        self.ended.recv().await.unwrap_or_else(|| "the task of work for the fleet has ended".to_owned())
    }

    /// Whether this life has no duty.
    pub fn is_free(&self) -> bool {
        *self.has.borrow() == 0
    }
}

struct Tasks(Vec<AbortHandle>);

impl Drop for Tasks {
    fn drop(&mut self) {
        self.0.iter().for_each(AbortHandle::abort);
    }
}

struct Task {
    with: With,
    duties: Duties,
    pace: Pace,
    useful: Useful,
    reach: Reach,
    /// What is being written of it, and since when another waits.
    reach_busy: bool,
    /// What others of this fleet say of themselves.
    reaches: BTreeMap<Life, Reach>,
    desk: Desk,
    /// This steward's term as owner of the duty of jobs.
    owner: Option<(Tenure, Giver)>,
    books: Books,
    /// When the ranking that is gone by was first seen.
    ranked_at: Time,
    /// Its term as owner of the duty of debts, and when the next epoch begins.
    folder: Option<(Tenure, Time)>,
    /// What agents have said that was used and is not at the store yet, with who said so last.
    heard: Facts,
    said_by: BTreeMap<Key, u64>,
    uses_at: Time,
    /// Some are on their way to the store.
    uses_busy: bool,
    /// How often all uses were asked for.
    uses_asked: u64,
    streams: BTreeMap<u64, Stream>,
    next_stream: u64,
    inputs: mpsc::Sender<Input>,
    queue: mpsc::Receiver<Input>,
    tell: mpsc::Sender<Told>,
    told: mpsc::Receiver<Told>,
    own: mpsc::Sender<Order>,
    agents: mpsc::Sender<Ask>,
    wanted: watch::Sender<Wanted>,
    sooner: Arc<Notify>,
    calls: Arc<tokio::sync::Semaphore>,
    has: watch::Sender<usize>,
    status_at: Time,
    away: bool,
    turned_away: u64,
    _tasks: Tasks,
}

impl Task {
    fn new(with: With, has: watch::Sender<usize>) -> Task {
        let (inputs, queue) = mpsc::channel(streams::INPUTS);
        let (tell, told) = mpsc::channel(TOLD);
        let (store, keys, life, clock) = (with.store.clone(), with.keys.clone(), with.life, with.clock);
        let hand = |name: &str| Hand::new(store.clone(), life, keys.work_witness(life, name));
        let halt = with.halt;
        let own = Own {
            hand: hand("own"),
            keys: keys.clone(),
            life,
            clock,
            halt,
            names: DUTIES,
            told: tell.clone(),
        };
        let (own, first) = own.start();
        let agents =
            ForAgents { hand: hand("agents"), store: store.clone(), keys: keys.clone(), told: tell.clone() };
        let (agents, second) = agents.start();
        let (wanted, seen) = watch::channel(Wanted::default());
        let sooner: Arc<Notify> = Arc::default();
        let looker = Looker {
            store,
            keys,
            wanted: seen,
            debts: with.debts.is_some(),
            sooner: sooner.clone(),
            told: tell.clone(),
        };
        let now = clock.now();
        Task {
            // The duty of debts is there where it is asked for.
            duties: Duties::new(life, if with.debts.is_some() { 2 } else { 1 }, now + CLAIM),
            pace: Pace::default(),
            useful: Useful::default(),
            reach: Reach::default(),
            reach_busy: false,
            reaches: BTreeMap::new(),
            desk: Desk::default(),
            owner: None,
            books: Books::new(with.debts.as_ref().map(|debts| debts.shares.clone()).unwrap_or_default()),
            ranked_at: now,
            folder: None,
            heard: Facts::new(HEARD),
            said_by: BTreeMap::new(),
            uses_at: now,
            uses_busy: false,
            uses_asked: 0,
            streams: BTreeMap::new(),
            next_stream: 0,
            inputs,
            queue,
            tell,
            told,
            own,
            agents,
            wanted,
            sooner,
            calls: Arc::new(tokio::sync::Semaphore::new(CALLS)),
            has,
            status_at: now + STATUS,
            away: false,
            turned_away: 0,
            _tasks: Tasks(vec![first, second, looker.start()]),
            with,
        }
    }

    /// Returns why this life's work is over.
    async fn run(mut self) -> String {
        loop {
            let now = self.with.clock.now();
            if !self.pace.is_asked() {
                self.pace.asks(now);
            }
            let next = self.owner.as_ref().map_or(Time::MAX, |(_, giver)| giver.next_at(now));
            let wake = next.min(now + Pace::TICK).min(self.status_at);
            let wake = Instant::from_std(self.with.clock.instant(wake));
            let listener = self.with.listener.clone();
            tokio::select! {
                Ok((socket, _)) = listener.accept() => self.accept(socket),
                Some(input) = self.queue.recv() => self.input(input),
                Some(told) = self.told.recv() => if let Some(why) = self.take(told) { return why },
                changed = self.with.standing.changed() => if changed.is_err() { return "the core has ended".to_owned() },
                () = tokio::time::sleep_until(wake) => {}
            }
            // What has come in meanwhile is learnt before anything is decided.
            for _ in 0..TOLD {
                let Ok(told) = self.told.try_recv() else { break };
                if let Some(why) = self.take(told) {
                    return why;
                }
            }
            for _ in 0..streams::INPUTS {
                let Ok(input) = self.queue.try_recv() else { break };
                self.input(input);
            }
            self.be_of_use();
            self.own();
            self.give();
            self.fold();
            self.write_uses();
            self.act();
            self.status();
        }
    }

    fn accept(&mut self, socket: tokio::net::TcpStream) {
        // Each site's agent has one, and one that replaces it.
        if self.streams.len() >= 2 * self.with.settings.sites {
            self.turned_away += 1;
            return;
        }
        let number = self.next_stream;
        self.next_stream += 1;
        self.streams.insert(number, Stream::start(number, socket, &self.inputs, FRAMES));
    }

    fn input(&mut self, input: Input) {
        match input {
            Input::Frame(stream, body) => match frames::read(&body) {
                Ok(said) => self.said(stream, said),
                Err(why) => self.close(stream, &why.to_string()),
            },
            Input::Sent(_) => {}
            Input::Closed(stream) => {
                self.streams.remove(&stream);
                self.desk.closed(stream);
            }
        }
    }

    fn close(&mut self, stream: u64, why: &str) {
        if let Some(stream) = self.streams.remove(&stream) {
            tracing::warn!(why, "an agent's stream is broken off");
            stream.write(frames::refusal(why));
        }
        self.desk.closed(stream);
    }

    fn said(&mut self, stream: u64, said: Said) {
        self.desk.heard(self.with.clock.now(), stream);
        match said {
            Said::Ping(sent) => self.write(stream, frames::echo(sent)),
            Said::Site { version, .. } if version != VERSION => self.close(stream, "another version"),
            Said::Site { hello, before, .. } if hello.life > 0 && hello.life <= i64::MAX as u64 => {
                self.desk.hello(self.with.clock.now(), stream, hello, before);
            }
            Said::Site { .. } => self.close(stream, "a life from 1 to 2^63 - 1 is expected"),
            Said::Keep { sent, hands } => {
                self.desk.keep(stream, sent, &hands);
            }
            Said::Outcome { job, .. } if !rows::is_name(&job) => self.close(stream, "no job has such an id"),
            Said::Outcome { job, token, ended } => {
                if self.desk.outcome(stream, &job, token, ended)
                    && self.agents.try_send(Ask::Line(job.clone())).is_err()
                {
                    self.desk.settled(&job, false);
                }
            }
            Said::Used(uses) => self.hear(stream, uses),
            Said::Holds(term) => {
                tracing::warn!(term, "an agent has heard of a higher term");
                self.desk.outdated();
                self.sooner.notify_one();
            }
            Said::Over(life) => self.call(move |store, keys| end(store, keys, vec![life])),
            Said::Other => self.close(stream, "a kind of frame that no agent sends"),
        }
    }

    /// Returns why this life is over, if it is.
    fn take(&mut self, told: Told) -> Option<String> {
        let now = self.with.clock.now();
        match told {
            Told::Looked(look) => self.looked(now, *look),
            Told::Away(why) => {
                if !std::mem::replace(&mut self.away, true) {
                    tracing::warn!(%why, "the store does not answer to work for the fleet");
                }
            }
            Told::Stepped { step, term } => {
                tracing::info!(?step, ?term, "a claim");
                self.duties.done(step, term);
                self.sooner.notify_one();
            }
            Told::Wrote { writes, revision } => {
                if let Some((_, giver)) = &mut self.owner {
                    giver.done(now, &writes, revision);
                }
                if revision.is_some() {
                    for write in writes.iter().filter(|write| !write.delete) {
                        self.desk.line(&write.job, write.line.clone(), revision.unwrap_or(0));
                    }
                } else {
                    self.sooner.notify_one();
                }
            }
            Told::Folded { fold, revision } => self.folded(now, fold, revision),
            Told::Counted(counted) => self.counted(&counted),
            Told::Reached => self.reach_busy = false,
            Told::Registered { stream, life } => self.desk.registered(stream, life),
            Told::Renewed { stream, life, sent, held } => self.desk.renewed(stream, life, sent, held),
            Told::Line { job, line } => self.desk.read(&job, line),
            Told::Settled { job, done } => {
                self.desk.settled(&job, done);
                if done {
                    self.sooner.notify_one();
                }
            }
            Told::Spec { stream, term, life, job, token, spec } => {
                self.write(stream, frames::give(term, life, &job, token, &spec));
            }
            Told::Over(why) => return Some(why),
        }
        None
    }

    fn looked(&mut self, now: Time, look: Look) {
        if std::mem::take(&mut self.away) {
            tracing::info!("the store answers to work for the fleet again");
        }
        self.reaches = look.reaches.iter().filter_map(rows::reach).collect();
        let members = look.members.iter().filter_map(|row| {
            let life = Keys::life(&row.key)?;
            let member: crate::shared::Member = serde_json::from_slice(&row.value).ok()?;
            let poor = self.reaches.get(&life).is_some_and(|reach| reach.poor);
            Some(Member { life, leaving: member.leaving, poor })
        });
        let members = members.collect();
        let mut claims: Vec<Option<Claim>> = vec![None; DUTIES.len()];
        self.ranked(&look);
        for (name, claim) in look.claims.iter().filter_map(rows::claim) {
            if let Some(duty) = DUTIES.iter().position(|duty| *duty == name) {
                claims[duty] = Some(claim);
            }
        }
        self.duties.seen(members, &claims);
        if let Some(claim) = claims[JOBS] {
            self.desk.term(claim.term);
        }
        let lines = |row: &Row| Some((rows::line(row)?, row.modified));
        for ((job, line), modified) in look.lines.iter().filter_map(lines) {
            self.desk.line(&job, line, modified);
        }
        self.desk.known(look.revision);
        let Some((tenure, giver)) = &mut self.owner else { return };
        // What was read for an earlier term lacks jobs.
        if look.wanted.jobs != tenure.term() {
            return;
        }
        giver.sites(now, look.sites.iter().filter_map(rows::site).collect());
        for ((job, line), modified) in look.lines.iter().filter_map(lines) {
            giver.line(now, &job, line, modified);
        }
        for row in &look.jobs {
            let Some((id, job)) = rows::job(row) else { continue };
            if rows::is_name(&id) {
                giver.job(now, &id, row.created, job);
            }
        }
        if look.whole {
            let all: BTreeSet<&str> = look.jobs.iter().filter_map(|row| Keys::last(&row.key)).collect();
            giver.all_jobs(now, &all);
        }
    }

    /// Says in the store whether this steward is of use for duties.
    fn be_of_use(&mut self) {
        let now = self.with.clock.now();
        let slow = self.pace.runs(now);
        let sites = self.desk.reached(now);
        let others = self.reaches.iter().filter(|(life, _)| **life != self.with.life);
        let others: Vec<u32> = others.map(|(_, reach)| reach.sites as u32).collect();
        let few = self.useful.look(now, sites as u32, Some(&others));
        let ranking = (self.books.revision() > 0).then(|| {
            let digest = self.books.ledger().digest().iter().map(|byte| format!("{byte:02x}")).collect();
            (self.books.epoch(), self.books.revision(), digest)
        });
        let reach = Reach { sites, poor: slow || few, ranking };
        // What it ranks by is said with an epoch, not with each fold.
        let epoch =
            |reach: &Reach| (reach.sites, reach.poor, reach.ranking.as_ref().map(|(epoch, ..)| *epoch));
        if epoch(&reach) == epoch(&self.reach) || self.reach_busy {
            return;
        }
        if reach.poor != self.reach.poor {
            tracing::warn!(poor = reach.poor, slow, sites, ?others, "of use for duties");
        }
        if self.own.try_send(Order::Reach(reach.clone())).is_ok() {
            (self.reach, self.reach_busy) = (reach, true);
        }
    }

    /// Takes the next step towards each duty having one owner, and begins or ends to act by a duty.
    fn own(&mut self) {
        let now = self.with.clock.now();
        let standing = *self.with.standing.borrow_and_update();
        if now < standing.until && self.own.capacity() > 0 {
            if let Some(step) = self.duties.next(now, standing.leaving) {
                let duty = match step {
                    Step::Claim { duty } | Step::Give { duty, .. } => duty,
                };
                let _ = self.own.try_send(Order::Step { step, name: DUTIES[duty] });
            }
        }
        let term = self.duties.term(JOBS);
        if self.owner.as_ref().map(|(tenure, _)| tenure.term()) != term {
            self.owner = term.map(|term| {
                tracing::info!(term, "owner of the duty of jobs");
                (Tenure::new(JOBS, term), Giver::new(term, self.with.settings.limits))
            });
            if term.is_none() {
                tracing::info!("no more owner of the duty of jobs");
            }
            self.wanted.send_modify(|wanted| wanted.jobs = term.unwrap_or(0));
        }
        let debts = self.duties.term(DEBTS);
        if self.folder.as_ref().map(|(tenure, _)| tenure.term()) != debts {
            match debts {
                Some(term) => {
                    tracing::info!(term, "owner of the duty of debts");
                    self.books.begin(term);
                }
                None => self.books.end(),
            }
            let epoch = self.with.debts.as_ref().map_or(Time::MAX, |debts| debts.epoch);
            self.folder = debts.map(|term| (Tenure::new(DEBTS, term), now + epoch));
            self.uses_anew();
        }
        let has = (0..DUTIES.len()).filter(|duty| self.duties.term(*duty).is_some()).count();
        self.has.send_if_modified(|had| std::mem::replace(had, has) != has);
    }

    /// What the owner of the duty of jobs decides, each under a warrant of its own.
    fn give(&mut self) {
        let now = self.with.clock.now();
        let until = self.with.standing.borrow().until;
        let Some((tenure, giver)) = &mut self.owner else { return };
        if self.own.capacity() == 0 {
            return;
        }
        let Some(warrant) = tenure.warrant(now, until) else { return };
        let ledger = self.books.ledger();
        let writes = giver.next(now, |user| ledger.owes(user));
        if !writes.is_empty() {
            tracing::debug!(lines = writes.len(), first = ?writes[0], "lines of jobs");
            let _ = self.own.try_send(Order::Lines { warrant, writes });
        }
    }

    /// All uses are to be read anew, if they are wanted.
    fn uses_anew(&mut self) {
        // A number that was asked for before would be no news to whoever looks there.
        self.uses_asked += 1;
        let asked = if self.folder.is_some() { self.uses_asked } else { 0 };
        self.wanted.send_modify(|wanted| wanted.uses = asked);
    }

    /// What the duty of debts has published, and what its owner folds.
    fn ranked(&mut self, look: &Look) {
        if let Some((row, sums)) = &look.ranking {
            let before = self.books.epoch();
            match serde_json::from_slice(&row.value) {
                Ok(epoch) => _ = self.books.published(row.modified, epoch, rows::sums(sums)),
                Err(why) => tracing::error!(%why, "the ranking can't be read"),
            }
            if self.books.epoch() != before {
                self.rank();
            }
        }
        if self.folder.is_none() || look.wanted.uses != self.wanted.borrow().uses {
            return;
        }
        if look.all_uses && self.books.is_stale() {
            self.books.all_uses();
        }
        for (row, (key, use_)) in look.uses.iter().filter_map(|row| Some((row, rows::use_of(row)?))) {
            self.books.used(key, use_, row.modified);
        }
    }

    /// Another ranking is in use.
    fn rank(&mut self) {
        self.ranked_at = self.with.clock.now();
        let ledger = self.books.ledger();
        let digest = format!("{:032x}", u128::from_be_bytes(ledger.digest()));
        tracing::debug!(epoch = ledger.epoch, users = ledger.users(), digest, "ranked");
        if let Some((_, giver)) = &mut self.owner {
            giver.rank(ledger.step());
        }
    }

    fn folded(&mut self, now: Time, fold: Fold, revision: Option<u64>) {
        let epoch = fold.epoch.epoch;
        let before = self.books.epoch();
        self.books.done(fold, revision);
        let every = self.with.debts.as_ref().map_or(Time::MAX, |debts| debts.epoch);
        if let Some((_, at)) = self.folder.as_mut().filter(|_| revision.is_some() && epoch > before) {
            *at = now + every;
        }
        if self.books.epoch() != before {
            self.rank();
        }
        if self.books.is_stale() {
            self.uses_anew();
        }
    }

    /// What the owner of the duty of debts does, each under a warrant of its own.
    fn fold(&mut self) {
        let now = self.with.clock.now();
        let until = self.with.standing.borrow().until;
        let Some((tenure, epoch_at)) = &self.folder else { return };
        if self.own.capacity() == 0 {
            return;
        }
        let Some(warrant) = tenure.warrant(now, until) else { return };
        if let Some(fold) = self.books.next(now >= *epoch_at) {
            let _ = self.own.try_send(Order::Fold { warrant, fold });
        }
    }

    /// An agent says what it used.
    fn hear(&mut self, stream: u64, uses: Vec<frames::Used>) {
        let nobody_counts = self.with.debts.is_none();
        let floor = self.books.floor();
        let mut past = Vec::new();
        for frames::Used { token, used, last, job } in
            uses.into_iter().filter(|use_| rows::is_name(&use_.job))
        {
            // Below the floor it is so old that it was folded, or came too late to be.
            if nobody_counts || token < floor {
                past.push(((token, job), used));
                continue;
            }
            let fact = Fact { user: String::new(), group: String::new(), used, last };
            if self.heard.take((token, job.clone()), fact).is_some() {
                self.said_by.insert((token, job), stream);
            }
        }
        if !past.is_empty() {
            self.write(stream, frames::counted(&past));
        }
    }

    /// Hands what was heard to the store, some at a time.
    fn write_uses(&mut self) {
        let now = self.with.clock.now();
        if self.heard.is_empty() || self.uses_busy || now < self.uses_at {
            return;
        }
        self.uses_at = now + USES;
        let heard = self.heard.iter().take(ravenspar_store::MOST).map(|((token, job), fact)| Heard {
            token: *token,
            used: fact.used,
            last: fact.last,
            job: job.clone(),
        });
        let heard = heard.collect();
        // Where the store does not take them, they stay here, and agents say them again as well.
        self.uses_busy = self.agents.try_send(Ask::Uses(heard)).is_ok();
    }

    /// These are at the store: they are not lost with this steward any more.
    fn counted(&mut self, counted: &[(Key, u64)]) {
        self.uses_busy = false;
        let mut by: BTreeMap<u64, Vec<(Key, u64)>> = BTreeMap::new();
        for (key, used) in counted {
            if self.heard.get(key).is_some_and(|fact| fact.used <= *used) {
                self.heard.remove(key);
                if let Some(stream) = self.said_by.remove(key) {
                    by.entry(stream).or_default().push((key.clone(), *used));
                }
            }
        }
        for (stream, counted) in by {
            self.write(stream, frames::counted(&counted));
        }
    }

    fn write(&mut self, stream: u64, body: bytes::Bytes) {
        let Some(to) = self.streams.get(&stream) else { return };
        // An agent that takes nothing in is broken off; what its lines say is told on its next stream.
        if !to.write(body) {
            self.close(stream, "it takes nothing in");
        }
    }

    /// Begins a call at the store on behalf of an agent; left out where too many are under way, as agents ask again.
    fn call<F>(&mut self, call: impl FnOnce(Shared, Keys) -> F)
    where
        F: std::future::Future<Output = Option<Told>> + Send + 'static,
    {
        let Ok(permit) = self.calls.clone().try_acquire_owned() else { return };
        let call = call(self.with.store.clone(), self.with.keys.clone());
        let tell = self.tell.clone();
        tokio::spawn(async move {
            let told = call.await;
            drop(permit);
            if let Some(told) = told {
                let _ = tell.send(told).await;
            }
        });
    }

    fn act(&mut self) {
        let seconds = self.with.settings.lease;
        while let Some(act) = self.desk.poll() {
            match act {
                Act::Register { stream, site } => {
                    let witness = self.with.life;
                    self.call(move |store, keys| register(store, keys, stream, site, seconds, witness));
                }
                Act::End { lives } => self.call(move |store, keys| end(store, keys, lives)),
                Act::Renew { stream, life, sent } => self.call(move |store, _| async move {
                    let held = store.renew(life).await.ok().map(|seconds| seconds.is_some());
                    Some(Told::Renewed { stream, life, sent, held })
                }),
                Act::Kept { stream, life, sent } => {
                    let lease = u64::from(seconds) * SECOND as u64;
                    self.write(stream, frames::kept(life, sent, lease));
                }
                Act::Over { stream, life } => self.write(stream, frames::over(life)),
                Act::Give { stream, term, life, job, token } => {
                    // One that finds no room is given again with the agent's next renewal.
                    let _ = self.agents.try_send(Ask::Spec { stream, term, life, job, token });
                }
                Act::Stop { stream, term, job, token } => {
                    self.write(stream, frames::stop(term, &job, token));
                }
                Act::Settle { job, seen, line, token, ended } => {
                    if self
                        .agents
                        .try_send(Ask::Settle { job: job.clone(), seen, line, token, ended })
                        .is_err()
                    {
                        self.desk.settled(&job, false);
                    }
                }
                Act::Verdict { stream, job, token, refused } => {
                    self.write(stream, frames::verdict(&job, token, refused.as_deref()));
                }
                Act::Close { stream, why } => self.close(stream, why),
            }
        }
    }

    fn status(&mut self) {
        let now = self.with.clock.now();
        if now < self.status_at {
            return;
        }
        self.status_at = now + STATUS;
        let figures = self.desk.figures();
        let (term, giver) = match &self.owner {
            Some((tenure, giver)) => (tenure.term(), Some(giver.figures())),
            None => (0, None),
        };
        tracing::info!(
            term,
            jobs = ?giver,
            agents = ?figures,
            streams = self.streams.len(),
            turned_away = self.turned_away,
            calls = CALLS - self.calls.available_permits(),
            changes = self.duties.changes,
            poor = self.reach.poor,
            epoch = self.books.epoch(),
            ranking_age_s = (now - self.ranked_at) / SECOND,
            users = self.books.ledger().users(),
            uses = ?self.books.open(),
            heard = self.heard.len(),
            heard_left_out = self.heard.left_out,
            differs = self.books.differs,
            "work for the fleet"
        );
    }
}

/// Claims begin so long after joining: some looks at the store, so that those that start together share from the first.
const CLAIM: Time = SECOND / 2;

/// Makes a site's lease and key. Another steward may have been quicker: then both are there.
async fn register(
    store: Shared,
    keys: Keys,
    stream: u64,
    site: Hello,
    seconds: u32,
    steward: Life,
) -> Option<Told> {
    let Hello { life, boot, room, name } = site;
    // Refused where it is there already.
    let _ = store.grant(life, seconds).await;
    // Its own witness, bound to the site's life: nothing of a site is written by a steward's membership.
    let witness = keys.work_witness(life, &format!("{steward:016x}"));
    let row = rows::write(&rows::SiteRow { name, room, boot });
    let mut hand = Hand::new(store, life, witness);
    let key = keys.site(life);
    let put = vec![ravenspar_store::put(key.clone(), row, life)];
    let _ = hand.commit(vec![ravenspar_store::at(key, 0)], put).await;
    Some(Told::Registered { stream, life })
}

/// Ends lives of sites that are over by their own word.
async fn end(store: Shared, _keys: Keys, lives: Vec<Life>) -> Option<Told> {
    for life in lives {
        // It runs out by itself otherwise.
        let _ = store.revoke(life).await;
    }
    None
}

#[cfg(test)]
mod tests;

//! Duties and jobs together, with small models of the store, of the sites and of the place where effects land. In no
//! order of events do two leaders act, is a job leased again while its holder may still work, or does a step land
//! twice.
//!
//! The decisions are the program's own ([`Duties`], [`Scheduler`], [`decide_outcome`], [`EffectReceiver`]); all else
//! is a model. Any event that can happen may come next. Time is left out, except for what leases
//! promise (`docs/design/duties.md`): a membership is over at its steward before it is over at the
//! store, and a site's incarnation at its agent before it is over at the store.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::hash::{Hash, Hasher};
use std::time::Instant;

use ravenspar_duty::{Claim, Duties, EffectReceiver, Member, Step};
use ravenspar_jobs::{
    decide_outcome, Ended, Incarnation, Job, JobLine, Limits, Scheduler, Site, State, Token, Verdict, Write,
};

const STEWARDS: usize = 2;
const SITES: usize = 2;
const JOBS: [&str; 2] = ["a", "b"];
/// The number of steps of each job.
const STEPS: u64 = 2;

const LIMITS: Limits = Limits {
    jobs: 10,
    attempts: 100,
    retry_delay: 0,
    cold_period: 0,
    mass_loss_delay: 0,
    max_wait: 1 << 40,
    writes: 4,
};

/// A safeguard to leave out, to show that it is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Without {
    Nothing,
    /// A leader acts though its membership is over by its own clock; the store still compares.
    Permit,
    /// The store compares neither the claim nor the writer's membership.
    Claim,
    /// Both are left out.
    PermitAndClaim,
    /// The place where effects land keeps no tokens.
    Memory,
    /// A leader ends the leases of a site that it doesn't see, and the store doesn't compare the site's key.
    SiteGone,
    /// A site counts its incarnation from when its renewal was answered: the store may drop it while it works.
    Sent,
    /// An outcome is accepted whatever token it bears.
    Token,
    /// An outcome is written without comparing the line with the one that was read.
    JobLine,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Request {
    Step(Step),
    /// With the term under which it was decided.
    Lines(u64, Vec<Write>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Steward {
    incarnation: Incarnation,
    /// Its membership is over by its own clock.
    expired: bool,
    duties: Duties,
    scheduler: Option<(u64, Scheduler)>,
    request: Option<(Request, Option<Option<u64>>)>,
    /// The lines as it last read them.
    lines: BTreeMap<&'static str, (JobLine, u64)>,
    /// An outcome for which it has read the line.
    settling: Option<(usize, &'static str, Token, u64, JobLine)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Agent {
    incarnation: Incarnation,
    expired: bool,
    /// The jobs held: the token, and how many steps are known to have landed. With `None` the agent has to ask.
    held: BTreeMap<&'static str, (Token, Option<u64>)>,
    /// A call on its way to the place where effects land: job, token and step. Without a step it asks how many have
    /// landed.
    call: Option<(&'static str, Token, Option<u64>)>,
    outcomes: BTreeSet<(&'static str, Token)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    without: Without,
    revision: u64,
    next_life: Incarnation,
    members: BTreeSet<Incarnation>,
    claim: Option<Claim>,
    sites: BTreeSet<Incarnation>,
    lines: BTreeMap<&'static str, (JobLine, u64)>,
    stewards: Vec<Steward>,
    agents: Vec<Agent>,
    receiver: EffectReceiver<&'static str>,
    steps_done: BTreeMap<&'static str, u64>,
    /// How often each step took effect.
    effects: BTreeMap<(&'static str, u64), u32>,
    highest_term: u64,
    /// Requests of incarnations that are over, still on their way to the store.
    late_requests: Vec<(Incarnation, Request)>,
    violation: Option<&'static str>,
}

#[derive(Clone, Debug)]
enum Event {
    ReadStore(usize),
    Decide(usize),
    Commit(usize),
    ReceiveAnswer(usize),
    /// A request of an incarnation that is over reaches the store.
    CommitLate(usize),
    ExpireOwn(usize),
    ExpireAtStore(usize),
    /// A steward sends a site the orders that follow from its lines.
    SendOrders(usize, usize),
    StartCall(usize, &'static str),
    DeliverCall(usize),
    /// A call on its way is lost.
    LoseCall(usize),
    /// A site reports an outcome to a steward, which reads the line.
    ReportOutcome(usize, usize),
    Settle(usize),
    SiteExpireOwn(usize),
    SiteExpireAtStore(usize),
}

impl World {
    fn new(without: Without) -> World {
        let steward = |n: usize| Steward {
            incarnation: n as Incarnation + 1,
            expired: false,
            duties: Duties::new(n as Incarnation + 1, 1, 0),
            scheduler: None,
            request: None,
            lines: BTreeMap::new(),
            settling: None,
        };
        let agent = |n: usize| Agent {
            incarnation: n as Incarnation + 11,
            expired: false,
            held: BTreeMap::new(),
            call: None,
            outcomes: BTreeSet::new(),
        };
        let mut world = World {
            without,
            revision: 100,
            next_life: 21,
            members: (1..=STEWARDS as Incarnation).collect(),
            claim: None,
            sites: (11..11 + SITES as Incarnation).collect(),
            lines: BTreeMap::new(),
            stewards: (0..STEWARDS).map(steward).collect(),
            agents: (0..SITES).map(agent).collect(),
            receiver: EffectReceiver::new(10),
            steps_done: BTreeMap::new(),
            effects: BTreeMap::new(),
            highest_term: 0,
            late_requests: Vec::new(),
            violation: None,
        };
        // The first steward leads the duty and both jobs are at the first site. Exploration starts here.
        for event in [
            Event::ReadStore(0),
            Event::Decide(0),
            Event::Commit(0),
            Event::ReceiveAnswer(0),
            Event::ReadStore(0),
        ] {
            world.apply(&event);
        }
        for event in [
            Event::Decide(0),
            Event::Commit(0),
            Event::ReceiveAnswer(0),
            Event::ReadStore(0),
            Event::ReadStore(1),
        ] {
            world.apply(&event);
        }
        world
    }

    fn events(&self) -> Vec<Event> {
        let mut events: Vec<Event> = (0..self.late_requests.len()).map(Event::CommitLate).collect();
        for (n, steward) in self.stewards.iter().enumerate() {
            let may_act =
                !steward.expired || matches!(self.without, Without::Permit | Without::PermitAndClaim);
            let is_member = self.members.contains(&steward.incarnation);
            match &steward.request {
                None if may_act => events.push(Event::Decide(n)),
                None => {}
                Some((_, None)) => events.push(Event::Commit(n)),
                Some((_, Some(_))) => events.push(Event::ReceiveAnswer(n)),
            }
            if !steward.expired {
                events.extend([Event::ReadStore(n), Event::ExpireOwn(n)]);
                events.extend((0..SITES).map(|site| Event::SendOrders(n, site)));
                if steward.settling.is_none() {
                    let has_outcome = |site: &usize| !self.agents[*site].outcomes.is_empty();
                    events.extend((0..SITES).filter(has_outcome).map(|site| Event::ReportOutcome(site, n)));
                }
            }
            if steward.settling.is_some() {
                events.push(Event::Settle(n));
            }
            if steward.expired && is_member {
                events.push(Event::ExpireAtStore(n));
            }
        }
        for (n, agent) in self.agents.iter().enumerate() {
            if agent.call.is_some() {
                events.extend([Event::DeliverCall(n), Event::LoseCall(n)]);
            } else if !agent.expired {
                let open = |(_, (_, steps)): &(&&str, &(Token, Option<u64>))| *steps != Some(STEPS);
                events.extend(agent.held.iter().filter(open).map(|(job, _)| Event::StartCall(n, job)));
            }
            if !agent.expired {
                events.push(Event::SiteExpireOwn(n));
            }
            if self.sites.contains(&agent.incarnation) && (agent.expired || self.without == Without::Sent) {
                events.push(Event::SiteExpireAtStore(n));
            }
        }
        events
    }

    fn apply(&mut self, event: &Event) {
        match *event {
            Event::ReadStore(n) => self.read_store(n),
            Event::Decide(n) => self.decide(n),
            Event::Commit(n) => self.store(n),
            Event::ReceiveAnswer(n) => self.receive_answer(n),
            Event::CommitLate(n) => {
                let (incarnation, request) = self.late_requests.remove(n);
                self.carry_out(incarnation, &request);
            }
            Event::ExpireOwn(n) => self.stewards[n].expired = true,
            Event::ExpireAtStore(n) => {
                let incarnation = self.stewards[n].incarnation;
                self.members.remove(&incarnation);
                self.revision += 1;
                self.claim = self.claim.filter(|claim| claim.leader != incarnation);
                if matches!(self.without, Without::Permit | Without::PermitAndClaim) {
                    return;
                }
                self.rejoin(n);
            }
            Event::SendOrders(n, site) => self.send_orders(n, site),
            Event::StartCall(n, job) => {
                let agent = &mut self.agents[n];
                if let Some((token, steps)) = agent.held.get(job) {
                    agent.call = Some((job, *token, *steps));
                }
            }
            Event::DeliverCall(n) => self.deliver_call(n),
            Event::LoseCall(n) => self.agents[n].call = None,
            Event::ReportOutcome(site, n) => {
                let Some((job, token)) = self.agents[site].outcomes.first().copied() else { return };
                let Some((line, seen)) = self.lines.get(job).cloned() else { return };
                self.stewards[n].settling = Some((site, job, token, seen, line));
            }
            Event::Settle(n) => self.settle(n),
            Event::SiteExpireOwn(n) => {
                // A call on its way stays on its way.
                let agent = &mut self.agents[n];
                agent.expired = true;
                agent.held.clear();
            }
            Event::SiteExpireAtStore(n) => {
                self.sites.remove(&self.agents[n].incarnation);
                self.revision += 1;
                if self.agents[n].expired {
                    self.next_life += 1;
                    self.agents[n].incarnation = self.next_life;
                    self.agents[n].expired = false;
                    self.sites.insert(self.next_life);
                }
            }
        }
    }

    /// Rejoins as another incarnation.
    fn rejoin(&mut self, n: usize) {
        if let Some((request, None)) = self.stewards[n].request.take() {
            self.late_requests.push((self.stewards[n].incarnation, request));
        }
        self.next_life += 1;
        let incarnation = self.next_life;
        self.members.insert(incarnation);
        self.stewards[n] = Steward {
            incarnation,
            expired: false,
            duties: Duties::new(incarnation, 1, 0),
            scheduler: None,
            request: None,
            lines: BTreeMap::new(),
            settling: None,
        };
    }

    fn read_store(&mut self, n: usize) {
        let members = self
            .members
            .iter()
            .map(|&incarnation| Member { incarnation, leaving: false, poor: false })
            .collect();
        let hides_site = self.without == Without::SiteGone && n == 1;
        // A steward that doesn't see a site and relies on that.
        let sites = self
            .sites
            .iter()
            .filter(|incarnation| !hides_site || **incarnation != self.agents[0].incarnation);
        let sites: Vec<Site> = sites
            .map(|&incarnation| Site { incarnation, name: format!("s{incarnation}"), room: 2 })
            .collect();
        let steward = &mut self.stewards[n];
        steward.duties.update_snapshot(members, &[self.claim]);
        steward.lines = self.lines.clone();
        let term = steward.duties.term(0);
        if steward.scheduler.as_ref().map(|(term, _)| *term) != term {
            steward.scheduler = term.map(|term| (term, Scheduler::new(term, LIMITS)));
        }
        if let Some((_, scheduler)) = &mut steward.scheduler {
            scheduler.sites(0, sites);
            for (job, (line, modified)) in &self.lines {
                scheduler.line(0, job, line.clone(), *modified);
            }
            for (at, job) in JOBS.iter().enumerate() {
                scheduler.job(
                    0,
                    job,
                    at as u64,
                    Ok(Job { user: (*job).into(), group: String::new(), cancel: false }),
                );
            }
        }
    }

    fn decide(&mut self, n: usize) {
        let steward = &mut self.stewards[n];
        if let Some(step) = steward.duties.next(1 << 40, false) {
            if steward.duties.term(0).is_none() {
                steward.scheduler = None;
            }
            steward.request = Some((Request::Step(step), None));
            return;
        }
        let Some((term, scheduler)) = &mut steward.scheduler else { return };
        let writes = scheduler.next(0, |_| 0);
        if !writes.is_empty() {
            steward.request = Some((Request::Lines(*term, writes), None));
        }
    }

    fn store(&mut self, n: usize) {
        let incarnation = self.stewards[n].incarnation;
        let Some((request, None)) = self.stewards[n].request.clone() else { return };
        let done = self.carry_out(incarnation, &request);
        self.stewards[n].request = Some((request, Some(done)));
    }

    fn carry_out(&mut self, incarnation: Incarnation, request: &Request) -> Option<u64> {
        let compares = !matches!(self.without, Without::Claim | Without::PermitAndClaim);
        let witness = self.members.contains(&incarnation) || !compares;
        match request {
            Request::Step(Step::Claim { .. }) => {
                let applies = self.claim.is_none() && self.members.contains(&incarnation);
                applies.then(|| self.write_claim(incarnation))
            }
            Request::Step(Step::HandOver { term, to, .. }) => {
                let applies = witness
                    && self.claim.is_some_and(|claim| claim.term == *term)
                    && self.members.contains(to);
                applies.then(|| self.write_claim(*to))
            }
            Request::Lines(term, writes) => {
                let claimed = self.claim.is_some_and(|claim| claim.term == *term) || !compares;
                let applies = |write: &Write| {
                    let seen = self.lines.get(write.job.as_str()).map_or(0, |(_, at)| *at) == write.seen;
                    let gone = write.gone.is_none_or(|site| !self.sites.contains(&site));
                    let gone = gone || self.without == Without::SiteGone;
                    seen && gone && write.there.is_none_or(|site| self.sites.contains(&site))
                };
                (witness && claimed && writes.iter().all(applies))
                    .then(|| self.write(incarnation, *term, writes))
            }
        }
    }

    fn write_claim(&mut self, leader: Incarnation) -> u64 {
        self.revision += 1;
        self.claim = Some(Claim { leader, term: self.revision });
        self.revision
    }

    fn write(&mut self, incarnation: Incarnation, term: u64, writes: &[Write]) -> u64 {
        self.revision += 1;
        if self.claim != Some(Claim { leader: incarnation, term }) {
            self.violation = Some("a steward writes without leading the duty");
        }
        if term < self.highest_term {
            self.violation = Some("an effect under a lower term after a higher one");
        }
        self.highest_term = self.highest_term.max(term);
        for write in writes {
            let Some(job) = JOBS.iter().find(|job| **job == write.job) else { continue };
            // J3: the former holder may not work on it any more.
            let holder = self.lines.get(job).and_then(|(line, _)| line.site());
            let works = |agent: &Agent| {
                Some(agent.incarnation) == holder && !agent.expired && agent.held.contains_key(job)
            };
            if matches!(write.line.state, State::Waiting | State::Leased(_)) && self.agents.iter().any(works)
            {
                self.violation = Some("a job is taken from a site that may still work on it");
            }
            self.lines.insert(job, (write.line.clone(), self.revision));
        }
        self.revision
    }

    fn receive_answer(&mut self, n: usize) {
        let steward = &mut self.stewards[n];
        let Some((request, Some(done))) = steward.request.take() else { return };
        match request {
            Request::Step(step) => {
                steward.duties.complete(step, done);
                let term = steward.duties.term(0);
                if steward.scheduler.as_ref().map(|(term, _)| *term) != term {
                    steward.scheduler = term.map(|term| (term, Scheduler::new(term, LIMITS)));
                }
            }
            Request::Lines(term, writes) => {
                if let Some((_, scheduler)) = steward.scheduler.as_mut().filter(|(own, _)| *own == term) {
                    scheduler.complete(0, &writes, done);
                }
            }
        }
    }

    fn send_orders(&mut self, n: usize, site: usize) {
        let agent = &mut self.agents[site];
        if agent.expired {
            return;
        }
        for (job, (line, modified)) in &self.stewards[n].lines {
            let known = agent.held.get(job).map_or(0, |(token, _)| *token);
            let reported = agent.outcomes.iter().filter(|(of, _)| of == job).map(|(_, token)| *token).max();
            match line.state {
                State::Leased(incarnation)
                    if incarnation == agent.incarnation && *modified > known.max(reported.unwrap_or(0)) =>
                {
                    agent.held.insert(job, (*modified, None));
                }
                _ if known > 0
                    && line.token(*modified) >= known
                    && line.site() != Some(agent.incarnation) =>
                {
                    agent.held.remove(job);
                }
                _ => {}
            }
        }
    }

    fn deliver_call(&mut self, n: usize) {
        let Some((job, token, step)) = self.agents[n].call.take() else { return };
        let refused = self.without != Without::Memory && self.receiver.take(job, token).is_err();
        let steps_done = self.steps_done.entry(job).or_default();
        if refused {
            self.agents[n].held.remove(job);
            return;
        }
        if let Some(step) = step {
            if step == *steps_done || self.without == Without::Memory {
                let times = self.effects.entry((job, step)).or_default();
                *times += 1;
                if *times > 1 {
                    self.violation = Some("a step has landed twice");
                }
            }
            *steps_done = (*steps_done).max(step + 1);
        }
        let known =
            if self.without == Without::Memory { step.map_or(0, |step| step + 1) } else { *steps_done };
        let agent = &mut self.agents[n];
        if let Some((held, steps)) = agent.held.get_mut(job).filter(|(held, _)| *held == token) {
            *steps = Some(known);
            if known == STEPS {
                let token = *held;
                agent.held.remove(job);
                agent.outcomes.insert((job, token));
            }
        }
    }

    fn settle(&mut self, n: usize) {
        let Some((site, job, token, seen, line)) = self.stewards[n].settling.take() else { return };
        let checked_token = if self.without == Without::Token { line.token(seen) } else { token };
        match decide_outcome(&line, seen, checked_token, &Ended::Done) {
            Verdict::Accept(to) => {
                let found = self.lines.get(job).map_or(0, |(_, at)| *at);
                if found != seen && self.without != Without::JobLine
                    || !self.members.contains(&self.stewards[n].incarnation)
                {
                    return;
                }
                let last = self.lines.get(job).map_or(0, |(line, at)| line.token(*at));
                if token != last {
                    self.violation = Some("an outcome is accepted for a job that was leased again");
                }
                self.revision += 1;
                self.lines.insert(job, (to, self.revision));
            }
            Verdict::AlreadyAccepted | Verdict::Refused(_) => {}
        }
        self.agents[site].outcomes.remove(&(job, token));
    }

    fn state_hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}

/// Explores all orders of events to a depth. Returns the first violation and the number of states.
fn explore_all_orders(without: Without, depth: usize) -> (Option<&'static str>, usize) {
    let mut seen = HashSet::new();
    let mut states = vec![World::new(without)];
    for _ in 0..depth {
        let mut next_states = Vec::new();
        for world in &states {
            for event in world.events() {
                let mut successor = world.clone();
                successor.apply(&event);
                if successor.violation.is_some() {
                    return (successor.violation, seen.len());
                }
                if seen.insert(successor.state_hash()) {
                    next_states.push(successor);
                }
            }
        }
        states = next_states;
    }
    (None, seen.len())
}

/// Explores random orders of events. Returns the seed of the first violation.
fn explore_random_orders(
    without: Without,
    seeds: std::ops::Range<u64>,
    length: usize,
) -> Option<(u64, &'static str)> {
    for seed in seeds {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut world = World::new(without);
        for _ in 0..length {
            let events = world.events();
            if events.is_empty() {
                break;
            }
            // Ends of leases are rare, so that something happens between two of them.
            let event = &events[rng.usize(0..events.len())];
            let rare = matches!(event, Event::ExpireOwn(_) | Event::SiteExpireOwn(_) | Event::LoseCall(_));
            if rare && rng.u8(0..4) > 0 {
                continue;
            }
            world.apply(event);
            if let Some(why) = world.violation {
                return Some((seed, why));
            }
        }
    }
    None
}

#[test]
fn no_order_of_events_to_a_depth_violates_a_rule() {
    let began = Instant::now();
    let (violation, states) = explore_all_orders(Without::Nothing, 10);
    println!("{states} states to depth 10 in {:.1} s", began.elapsed().as_secs_f64());
    assert_eq!(violation, None);
}

#[test]
fn no_random_order_violates_a_rule() {
    assert_eq!(explore_random_orders(Without::Nothing, 0..3_000, 120), None);
}

/// Each safeguard but one is needed. Leaving out only the check of the membership is not found: the store compares
/// what the leader can't see. The check spares the store void requests, and protects receivers that compare nothing.
#[test]
fn each_missing_safeguard_is_found_except_the_one_that_the_store_duplicates() {
    let found = |without| explore_random_orders(without, 0..300_000, 200);
    for without in [
        Without::Claim,
        Without::PermitAndClaim,
        Without::Memory,
        Without::SiteGone,
        Without::Sent,
        Without::Token,
        Without::JobLine,
    ] {
        let found = found(without);
        println!("{without:?}: {found:?}");
        assert!(found.is_some(), "{without:?} is not found");
    }
    assert_eq!(explore_random_orders(Without::Permit, 0..3_000, 120), None);
}

/// `cargo test --release -p ravenspar-jobs --test explore -- --ignored --nocapture`
#[test]
#[ignore = "minutes"]
fn long() {
    let began = Instant::now();
    let (violation, states) = explore_all_orders(Without::Nothing, 14);
    println!("{states} states to depth 14 in {:.1} s: {violation:?}", began.elapsed().as_secs_f64());
    assert_eq!(violation, None);
    let began = Instant::now();
    assert_eq!(explore_random_orders(Without::Nothing, 1_000_000..2_000_000, 120), None);
    println!("1,000,000 random orders of 120 events in {:.1} s", began.elapsed().as_secs_f64());
}

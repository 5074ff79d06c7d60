//! Duties and jobs together, with a store, sites and a place where effects land as small models: no order of events lets
//! two owners act, gives a job out while its holder may still work, or lets a step land twice.
//!
//! The decisions are the program's own ([`Duties`], [`Giver`], [`judge`], [`Taker`]); all else is a model. Any event that can
//! happen may come next. Times are left out but for what leases promise (`docs/design/duties.md`): a membership is over at
//! its steward before it is over at the store, a site's life at its agent before it is over there.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::hash::{Hash, Hasher};
use std::time::Instant;

use ravenspar_duty::{Claim, Duties, Member, Step, Taker};
use ravenspar_jobs::{judge, Ended, Giver, Job, Life, Limits, Line, Site, State, Token, Verdict, Write};

const STEWARDS: usize = 2;
const SITES: usize = 2;
const JOBS: [&str; 2] = ["a", "b"];
/// Of each job.
const STEPS: u64 = 2;

const LIMITS: Limits =
    Limits { jobs: 10, attempts: 100, again: 0, cold: 0, most_gone: 0, wait: 1 << 40, writes: 4 };

/// What is left out, to see that it is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Without {
    Nothing,
    /// An owner acts though its membership is over by its own clock; the store compares as ever.
    Warrant,
    /// The store compares neither the claim nor the writer's membership.
    Claim,
    /// Neither of the two.
    WarrantAndClaim,
    /// Where effects land keeps no tokens.
    Memory,
    /// An owner ends the leases of a site that it does not see, whatever the store says of it.
    SiteGone,
    /// A site counts its life from when it was answered: the store may let it go while it works.
    Sent,
    /// An outcome is taken whatever token it bears.
    Token,
    /// An outcome is written without comparing the line with what was read.
    Line,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Asked {
    Step(Step),
    /// With the term under which it was decided.
    Lines(u64, Vec<Write>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Steward {
    life: Life,
    /// By its own clock its membership is over.
    over: bool,
    duties: Duties,
    giver: Option<(u64, Giver)>,
    asked: Option<(Asked, Option<Option<u64>>)>,
    /// Lines as it last saw them.
    lines: BTreeMap<&'static str, (Line, u64)>,
    /// An outcome that it has read the line for.
    settling: Option<(usize, &'static str, Token, u64, Line)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Agent {
    life: Life,
    over: bool,
    /// In hand: token, and how many steps it knows to have landed; none: it has to ask.
    held: BTreeMap<&'static str, (Token, Option<u64>)>,
    /// On its way to where effects land: job, token, step; none: it asks.
    call: Option<(&'static str, Token, Option<u64>)>,
    outcomes: BTreeSet<(&'static str, Token)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    without: Without,
    revision: u64,
    next_life: Life,
    members: BTreeSet<Life>,
    claim: Option<Claim>,
    sites: BTreeSet<Life>,
    lines: BTreeMap<&'static str, (Line, u64)>,
    stewards: Vec<Steward>,
    agents: Vec<Agent>,
    taker: Taker<&'static str>,
    landed: BTreeMap<&'static str, u64>,
    /// Steps that took effect, each time.
    effects: BTreeMap<(&'static str, u64), u32>,
    highest_term: u64,
    /// Asked for by lives that are over, and on its way to the store yet.
    late: Vec<(Life, Asked)>,
    bad: Option<&'static str>,
}

#[derive(Clone, Debug)]
enum Event {
    Look(usize),
    Act(usize),
    Store(usize),
    Hear(usize),
    /// What a life that is over asked for reaches the store.
    Late(usize),
    Over(usize),
    Expire(usize),
    /// A steward tells a site what its lines say.
    Tell(usize, usize),
    Call(usize, &'static str),
    Land(usize),
    /// A call that was on its way is lost.
    Lose(usize),
    /// A site says an outcome to a steward, which reads the line.
    Say(usize, usize),
    Settle(usize),
    SiteOver(usize),
    SiteExpire(usize),
}

impl World {
    fn new(without: Without) -> World {
        let steward = |n: usize| Steward {
            life: n as Life + 1,
            over: false,
            duties: Duties::new(n as Life + 1, 1, 0),
            giver: None,
            asked: None,
            lines: BTreeMap::new(),
            settling: None,
        };
        let agent = |n: usize| Agent {
            life: n as Life + 11,
            over: false,
            held: BTreeMap::new(),
            call: None,
            outcomes: BTreeSet::new(),
        };
        let mut world = World {
            without,
            revision: 100,
            next_life: 21,
            members: (1..=STEWARDS as Life).collect(),
            claim: None,
            sites: (11..11 + SITES as Life).collect(),
            lines: BTreeMap::new(),
            stewards: (0..STEWARDS).map(steward).collect(),
            agents: (0..SITES).map(agent).collect(),
            taker: Taker::new(10),
            landed: BTreeMap::new(),
            effects: BTreeMap::new(),
            highest_term: 0,
            late: Vec::new(),
            bad: None,
        };
        // The first is owner, and both jobs are with the first site: what follows is what is looked into.
        for event in [Event::Look(0), Event::Act(0), Event::Store(0), Event::Hear(0), Event::Look(0)] {
            world.happens(&event);
        }
        for event in [Event::Act(0), Event::Store(0), Event::Hear(0), Event::Look(0), Event::Look(1)] {
            world.happens(&event);
        }
        world
    }

    fn events(&self) -> Vec<Event> {
        let mut events: Vec<Event> = (0..self.late.len()).map(Event::Late).collect();
        for (n, steward) in self.stewards.iter().enumerate() {
            let acts = !steward.over || matches!(self.without, Without::Warrant | Without::WarrantAndClaim);
            let there = self.members.contains(&steward.life);
            match &steward.asked {
                None if acts => events.push(Event::Act(n)),
                None => {}
                Some((_, None)) => events.push(Event::Store(n)),
                Some((_, Some(_))) => events.push(Event::Hear(n)),
            }
            if !steward.over {
                events.extend([Event::Look(n), Event::Over(n)]);
                events.extend((0..SITES).map(|site| Event::Tell(n, site)));
                if steward.settling.is_none() {
                    let says = |site: &usize| !self.agents[*site].outcomes.is_empty();
                    events.extend((0..SITES).filter(says).map(|site| Event::Say(site, n)));
                }
            }
            if steward.settling.is_some() {
                events.push(Event::Settle(n));
            }
            if steward.over && there {
                events.push(Event::Expire(n));
            }
        }
        for (n, agent) in self.agents.iter().enumerate() {
            if agent.call.is_some() {
                events.extend([Event::Land(n), Event::Lose(n)]);
            } else if !agent.over {
                let open = |(_, (_, steps)): &(&&str, &(Token, Option<u64>))| *steps != Some(STEPS);
                events.extend(agent.held.iter().filter(open).map(|(job, _)| Event::Call(n, job)));
            }
            if !agent.over {
                events.push(Event::SiteOver(n));
            }
            if self.sites.contains(&agent.life) && (agent.over || self.without == Without::Sent) {
                events.push(Event::SiteExpire(n));
            }
        }
        events
    }

    fn happens(&mut self, event: &Event) {
        match *event {
            Event::Look(n) => self.look(n),
            Event::Act(n) => self.act(n),
            Event::Store(n) => self.store(n),
            Event::Hear(n) => self.hear(n),
            Event::Late(n) => {
                let (life, asked) = self.late.remove(n);
                self.carry_out(life, &asked);
            }
            Event::Over(n) => self.stewards[n].over = true,
            Event::Expire(n) => {
                let life = self.stewards[n].life;
                self.members.remove(&life);
                self.revision += 1;
                self.claim = self.claim.filter(|claim| claim.owner != life);
                if matches!(self.without, Without::Warrant | Without::WarrantAndClaim) {
                    return;
                }
                self.join(n);
            }
            Event::Tell(n, site) => self.tell(n, site),
            Event::Call(n, job) => {
                let agent = &mut self.agents[n];
                if let Some((token, steps)) = agent.held.get(job) {
                    agent.call = Some((job, *token, *steps));
                }
            }
            Event::Land(n) => self.land(n),
            Event::Lose(n) => self.agents[n].call = None,
            Event::Say(site, n) => {
                let Some((job, token)) = self.agents[site].outcomes.first().copied() else { return };
                let Some((line, seen)) = self.lines.get(job).cloned() else { return };
                self.stewards[n].settling = Some((site, job, token, seen, line));
            }
            Event::Settle(n) => self.settle(n),
            Event::SiteOver(n) => {
                // What is on its way stays on its way.
                let agent = &mut self.agents[n];
                agent.over = true;
                agent.held.clear();
            }
            Event::SiteExpire(n) => {
                self.sites.remove(&self.agents[n].life);
                self.revision += 1;
                if self.agents[n].over {
                    self.next_life += 1;
                    self.agents[n].life = self.next_life;
                    self.agents[n].over = false;
                    self.sites.insert(self.next_life);
                }
            }
        }
    }

    /// Anew, as another life.
    fn join(&mut self, n: usize) {
        if let Some((asked, None)) = self.stewards[n].asked.take() {
            self.late.push((self.stewards[n].life, asked));
        }
        self.next_life += 1;
        let life = self.next_life;
        self.members.insert(life);
        self.stewards[n] = Steward {
            life,
            over: false,
            duties: Duties::new(life, 1, 0),
            giver: None,
            asked: None,
            lines: BTreeMap::new(),
            settling: None,
        };
    }

    fn look(&mut self, n: usize) {
        let members = self.members.iter().map(|&life| Member { life, leaving: false, poor: false }).collect();
        let blind = self.without == Without::SiteGone && n == 1;
        // A steward that does not see a site, and takes its own word for it.
        let sites = self.sites.iter().filter(|life| !blind || **life != self.agents[0].life);
        let sites: Vec<Site> = sites.map(|&life| Site { life, name: format!("s{life}"), room: 2 }).collect();
        let steward = &mut self.stewards[n];
        steward.duties.seen(members, &[self.claim]);
        steward.lines = self.lines.clone();
        let term = steward.duties.term(0);
        if steward.giver.as_ref().map(|(term, _)| *term) != term {
            steward.giver = term.map(|term| (term, Giver::new(term, LIMITS)));
        }
        if let Some((_, giver)) = &mut steward.giver {
            giver.sites(0, sites);
            for (job, (line, modified)) in &self.lines {
                giver.line(0, job, line.clone(), *modified);
            }
            for (at, job) in JOBS.iter().enumerate() {
                giver.job(
                    0,
                    job,
                    at as u64,
                    Ok(Job { user: (*job).into(), group: String::new(), cancel: false }),
                );
            }
        }
    }

    fn act(&mut self, n: usize) {
        let steward = &mut self.stewards[n];
        if let Some(step) = steward.duties.next(1 << 40, false) {
            if steward.duties.term(0).is_none() {
                steward.giver = None;
            }
            steward.asked = Some((Asked::Step(step), None));
            return;
        }
        let Some((term, giver)) = &mut steward.giver else { return };
        let writes = giver.next(0, |_| 0);
        if !writes.is_empty() {
            steward.asked = Some((Asked::Lines(*term, writes), None));
        }
    }

    fn store(&mut self, n: usize) {
        let life = self.stewards[n].life;
        let Some((asked, None)) = self.stewards[n].asked.clone() else { return };
        let done = self.carry_out(life, &asked);
        self.stewards[n].asked = Some((asked, Some(done)));
    }

    fn carry_out(&mut self, life: Life, asked: &Asked) -> Option<u64> {
        let compares = !matches!(self.without, Without::Claim | Without::WarrantAndClaim);
        let witness = self.members.contains(&life) || !compares;
        match asked {
            Asked::Step(Step::Claim { .. }) => {
                let so = self.claim.is_none() && self.members.contains(&life);
                so.then(|| self.claims(life))
            }
            Asked::Step(Step::Give { term, to, .. }) => {
                let so = witness
                    && self.claim.is_some_and(|claim| claim.term == *term)
                    && self.members.contains(to);
                so.then(|| self.claims(*to))
            }
            Asked::Lines(term, writes) => {
                let claimed = self.claim.is_some_and(|claim| claim.term == *term) || !compares;
                let so = |write: &Write| {
                    let seen = self.lines.get(write.job.as_str()).map_or(0, |(_, at)| *at) == write.seen;
                    let gone = write.gone.is_none_or(|site| !self.sites.contains(&site));
                    let gone = gone || self.without == Without::SiteGone;
                    seen && gone && write.there.is_none_or(|site| self.sites.contains(&site))
                };
                (witness && claimed && writes.iter().all(so)).then(|| self.write(life, *term, writes))
            }
        }
    }

    fn claims(&mut self, owner: Life) -> u64 {
        self.revision += 1;
        self.claim = Some(Claim { owner, term: self.revision });
        self.revision
    }

    fn write(&mut self, life: Life, term: u64, writes: &[Write]) -> u64 {
        self.revision += 1;
        if self.claim != Some(Claim { owner: life, term }) {
            self.bad = Some("somebody acts who is not the owner");
        }
        if term < self.highest_term {
            self.bad = Some("an effect under a lower term after a higher one");
        }
        self.highest_term = self.highest_term.max(term);
        for write in writes {
            let Some(job) = JOBS.iter().find(|job| **job == write.job) else { continue };
            // J3: whoever held it may not work on it any more.
            let holder = self.lines.get(job).and_then(|(line, _)| line.site());
            let works =
                |agent: &Agent| Some(agent.life) == holder && !agent.over && agent.held.contains_key(job);
            if matches!(write.line.state, State::Waiting | State::Leased(_)) && self.agents.iter().any(works)
            {
                self.bad = Some("a job is taken from a site that may still work on it");
            }
            self.lines.insert(job, (write.line.clone(), self.revision));
        }
        self.revision
    }

    fn hear(&mut self, n: usize) {
        let steward = &mut self.stewards[n];
        let Some((asked, Some(done))) = steward.asked.take() else { return };
        match asked {
            Asked::Step(step) => {
                steward.duties.done(step, done);
                let term = steward.duties.term(0);
                if steward.giver.as_ref().map(|(term, _)| *term) != term {
                    steward.giver = term.map(|term| (term, Giver::new(term, LIMITS)));
                }
            }
            Asked::Lines(term, writes) => {
                if let Some((_, giver)) = steward.giver.as_mut().filter(|(own, _)| *own == term) {
                    giver.done(0, &writes, done);
                }
            }
        }
    }

    fn tell(&mut self, n: usize, site: usize) {
        let agent = &mut self.agents[site];
        if agent.over {
            return;
        }
        for (job, (line, modified)) in &self.stewards[n].lines {
            let known = agent.held.get(job).map_or(0, |(token, _)| *token);
            let said = agent.outcomes.iter().filter(|(of, _)| of == job).map(|(_, token)| *token).max();
            match line.state {
                State::Leased(life) if life == agent.life && *modified > known.max(said.unwrap_or(0)) => {
                    agent.held.insert(job, (*modified, None));
                }
                _ if known > 0 && line.token(*modified) >= known && line.site() != Some(agent.life) => {
                    agent.held.remove(job);
                }
                _ => {}
            }
        }
    }

    fn land(&mut self, n: usize) {
        let Some((job, token, step)) = self.agents[n].call.take() else { return };
        let refused = self.without != Without::Memory && self.taker.take(job, token).is_err();
        let landed = self.landed.entry(job).or_default();
        if refused {
            self.agents[n].held.remove(job);
            return;
        }
        if let Some(step) = step {
            if step == *landed || self.without == Without::Memory {
                let times = self.effects.entry((job, step)).or_default();
                *times += 1;
                if *times > 1 {
                    self.bad = Some("a step has landed twice");
                }
            }
            *landed = (*landed).max(step + 1);
        }
        let known = if self.without == Without::Memory { step.map_or(0, |step| step + 1) } else { *landed };
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
        let bears = if self.without == Without::Token { line.token(seen) } else { token };
        match judge(&line, seen, bears, &Ended::Done) {
            Verdict::Take(to) => {
                let found = self.lines.get(job).map_or(0, |(_, at)| *at);
                if found != seen && self.without != Without::Line
                    || !self.members.contains(&self.stewards[n].life)
                {
                    return;
                }
                let last = self.lines.get(job).map_or(0, |(line, at)| line.token(*at));
                if token != last {
                    self.bad = Some("an outcome is taken of a job that was given out again");
                }
                self.revision += 1;
                self.lines.insert(job, (to, self.revision));
            }
            Verdict::Taken | Verdict::Refused(_) => {}
        }
        self.agents[site].outcomes.remove(&(job, token));
    }

    fn hash_of(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}

/// All orders to a depth; the first bad one, and how many states there are.
fn all_orders(without: Without, depth: usize) -> (Option<&'static str>, usize) {
    let mut seen = HashSet::new();
    let mut now = vec![World::new(without)];
    for _ in 0..depth {
        let mut next = Vec::new();
        for world in &now {
            for event in world.events() {
                let mut then = world.clone();
                then.happens(&event);
                if then.bad.is_some() {
                    return (then.bad, seen.len());
                }
                if seen.insert(then.hash_of()) {
                    next.push(then);
                }
            }
        }
        now = next;
    }
    (None, seen.len())
}

/// Random ways; the seed of the first bad one.
fn random_ways(without: Without, seeds: std::ops::Range<u64>, length: usize) -> Option<(u64, &'static str)> {
    for seed in seeds {
        let mut chance = fastrand::Rng::with_seed(seed);
        let mut world = World::new(without);
        for _ in 0..length {
            let events = world.events();
            if events.is_empty() {
                break;
            }
            // Ends of leases are rare, so that something happens between two.
            let event = &events[chance.usize(0..events.len())];
            let rare = matches!(event, Event::Over(_) | Event::SiteOver(_) | Event::Lose(_));
            if rare && chance.u8(0..4) > 0 {
                continue;
            }
            world.happens(event);
            if let Some(why) = world.bad {
                return Some((seed, why));
            }
        }
    }
    None
}

#[test]
fn no_order_of_events_to_a_depth_is_bad() {
    let began = Instant::now();
    let (bad, states) = all_orders(Without::Nothing, 10);
    println!("{states} states to depth 10 in {:.1} s", began.elapsed().as_secs_f64());
    assert_eq!(bad, None);
}

#[test]
fn no_random_way_is_bad() {
    assert_eq!(random_ways(Without::Nothing, 0..3_000, 120), None);
}

/// What each safeguard is for. The look at the membership alone is found by nothing: the store compares what the owner
/// can't see; it spares the store what is void, and guards takers that compare nothing.
#[test]
fn each_safeguard_that_is_left_out_is_found_but_for_the_one_that_the_store_doubles() {
    let found = |without| random_ways(without, 0..300_000, 200);
    for without in [
        Without::Claim,
        Without::WarrantAndClaim,
        Without::Memory,
        Without::SiteGone,
        Without::Sent,
        Without::Token,
        Without::Line,
    ] {
        let found = found(without);
        println!("{without:?}: {found:?}");
        assert!(found.is_some(), "{without:?} is not found");
    }
    assert_eq!(random_ways(Without::Warrant, 0..3_000, 120), None);
}

/// `cargo test --release -p ravenspar-jobs --test explore -- --ignored --nocapture`
#[test]
#[ignore = "minutes"]
fn long() {
    let began = Instant::now();
    let (bad, states) = all_orders(Without::Nothing, 14);
    println!("{states} states to depth 14 in {:.1} s: {bad:?}", began.elapsed().as_secs_f64());
    assert_eq!(bad, None);
    let began = Instant::now();
    assert_eq!(random_ways(Without::Nothing, 1_000_000..2_000_000, 120), None);
    println!("1,000,000 random ways of 120 events in {:.1} s", began.elapsed().as_secs_f64());
}

//! The decisions of a steward: which server owns each slice, and how a slice moves.
//!
//! The host builds a [`Steward`] with its settings, calls one input method for each thing it learns (these
//! only update what is known), then pulls [`Order`]s with [`Steward::next_order`] until there is none. Types,
//! settings and id tables are in `lib.rs`; `docs/design.md` tells when exceptions act.

use std::collections::VecDeque;

use crate::{Health, Order, Scope, Settings, Time, SECOND};

#[derive(Clone, Debug)]
struct Be {
    seen: bool,
    listed: bool,
    withdrawn: bool,
    health: Health,
    /// The list dropped it without a drain, or only a record names it: it counts as ready while it works.
    missing: bool,
    boot: Time,
    /// When a record last named it as an owner.
    named: Time,
    /// Slices of this steward that it held at the first map or take-over; moves compare with that.
    start: usize,
    /// When it was last granted a slice.
    granted: Time,
    tries: VecDeque<Tries>,
    suspect_until: Time,
    /// The share of the reqs for its slices that is let in.
    level: f64,
    /// Reqs a second that it can well take, as worked out at the last tick.
    capacity: f64,
    /// When a good answer last came late or its cores were busy.
    strained: Time,
}

/// One report of what proxies met at a server.
#[derive(Clone, Debug)]
struct Tries {
    at: Time,
    count: f64,
    failed: f64,
    took: Time,
    util: Option<f64>,
}

/// One report of what came for a slice.
#[derive(Clone, Debug)]
struct Heat {
    at: Time,
    kind: usize,
    count: f64,
    window: Time,
}

#[derive(Clone, Debug)]
struct Proxy {
    joined: bool,
    /// When its stream broke, or, unseen so far, when this steward started.
    down: Time,
    /// The last mark written to it on this stream.
    marked: u64,
    answered: u64,
    /// Reqs a second that it usually gets.
    usual: f64,
}

#[derive(Clone, Debug, PartialEq)]
enum State {
    Owned,
    HandingOff { mark: u64, waiting: Vec<usize> },
    Settling,
}

#[derive(Clone, Debug)]
struct Slice {
    mine: bool,
    given: Time,
    owner: Option<usize>,
    state: State,
    /// No write of an earlier owner is in hand from here on; `None` until every proxy has answered.
    quiet: Option<Time>,
    /// Its owner restarted: whatever it held has stopped.
    stopped: bool,
    heat: VecDeque<Heat>,
    /// The share let in of each request kind, as last ordered; those not named are open.
    levels: [f64; KINDS],
}

impl Slice {
    fn new() -> Slice {
        Slice {
            mine: false,
            given: 0,
            owner: None,
            state: State::Settling,
            quiet: None,
            stopped: false,
            heat: VecDeque::new(),
            levels: [1.0; KINDS],
        }
    }

    fn handing_off(&self) -> bool {
        matches!(self.state, State::HandingOff { .. })
    }
}

/// What reqs with keys that are new to a server cost it; the gain from met keys is about a third to a half.
const NEW_KEYS: f64 = 1.5;

/// Request kinds told apart, as many as the wire's masks hold.
const KINDS: usize = 32;

/// One turn in the ledger: when, the lines it wrote to each proxy, and its mark.
#[derive(Clone, Debug)]
struct Turn {
    at: Time,
    lines: f64,
    mark: u64,
}

pub struct Steward {
    cfg: Settings,
    rng: fastrand::Rng,
    bes: Vec<Be>,
    proxies: Vec<Proxy>,
    slices: Vec<Slice>,
    turns: VecDeque<Turn>,
    mark: u64,
    out: VecDeque<Order>,
    news: bool,
    now: Time,
    /// A cold server has much too much: the next turn can't wait.
    hurry: bool,
    started: Time,
    wake: Time,
    tick: Time,
    /// When servers were last reported on.
    heard: Time,
    /// The most reqs a second that a server got done on average, over any tick so far.
    done: f64,
    /// The list has been heard of since the start, beyond what was kept from before.
    fresh_list: bool,
    watching: bool,
    ask_at: Time,
}

impl Steward {
    /// Fails with the name of a setting that it can't do without.
    pub fn new(now: Time, seed: u64, cfg: Settings) -> Result<Steward, &'static str> {
        let slices = cfg.number("family_info.ranges").ok_or("family_info.ranges")? as usize;
        let needed = ["family_info.write_lease_s", "family_info.settle_s", "family_info.channel_rate"];
        if let Some(name) = needed.into_iter().find(|name| slices > 0 && cfg.time(name).is_none()) {
            return Err(name);
        }
        let mut steward = Steward {
            rng: fastrand::Rng::with_seed(seed),
            bes: Vec::new(),
            proxies: Vec::new(),
            slices: vec![Slice::new(); slices.min(65_535)],
            turns: VecDeque::new(),
            mark: 0,
            out: VecDeque::new(),
            news: true,
            now,
            hurry: false,
            started: now,
            wake: now,
            tick: now,
            heard: now,
            done: 0.0,
            fresh_list: false,
            watching: cfg.text("discovery") != Some("on_request"),
            ask_at: now,
            cfg,
        };
        let expected = steward.cfg.number("family_info.proxy_count").unwrap_or(0.0) as usize;
        (0..expected.min(65_536)).for_each(|proxy| _ = steward.proxy(proxy));
        Ok(steward)
    }

    fn time(&self, name: &str) -> Time {
        self.cfg.time(name).unwrap_or(0)
    }

    fn be(&mut self, be: usize) -> &mut Be {
        while self.bes.len() <= be {
            self.bes.push(Be {
                seen: false,
                listed: false,
                withdrawn: false,
                health: Health::Gone,
                missing: false,
                boot: 0,
                named: Time::MIN / 2,
                start: 0,
                granted: Time::MIN / 2,
                tries: VecDeque::new(),
                suspect_until: Time::MIN,
                level: 1.0,
                capacity: f64::INFINITY,
                strained: Time::MIN / 2,
            });
        }
        &mut self.bes[be]
    }

    fn proxy(&mut self, proxy: usize) -> &mut Proxy {
        while self.proxies.len() <= proxy {
            self.proxies.push(Proxy {
                joined: false,
                down: self.started,
                marked: 0,
                answered: 0,
                usual: 0.0,
            });
        }
        &mut self.proxies[proxy]
    }

    /// The list follows, entry by entry; `list_end` closes it.
    pub fn list_begin(&mut self, scope: Scope) {
        self.news = true;
        if scope == Scope::Changes {
            return;
        }
        // A server absent from a complete list is gone; those still there follow at once.
        self.bes.iter_mut().for_each(|be| be.listed = false);
    }

    pub fn list_entry(&mut self, be: usize, health: Health, boot: Time) {
        let entry = self.be(be);
        entry.seen = true;
        if health == Health::Gone {
            // Closed by `list_end`, as are those that a whole list lacks.
            entry.listed = false;
            return;
        }
        // A restart stops what the server held, whether or not the list ever showed it gone.
        let restarted = boot > entry.boot && entry.health == Health::Ready;
        (entry.listed, entry.missing, entry.health, entry.boot) = (true, false, health, boot.max(entry.boot));
        if restarted {
            let held = self.slices.iter_mut().filter(|slice| slice.owner == Some(be));
            held.for_each(|slice| slice.stopped = true);
        }
    }

    pub fn list_end(&mut self, scope: Scope) {
        let lax = self.cfg.flag("safety.only_draining_binds");
        for be in self.bes.iter_mut().filter(|be| !be.listed && !be.missing) {
            be.missing = lax && be.health == Health::Ready;
            be.health = if be.missing { Health::Ready } else { Health::Gone };
        }
        if scope != Scope::Kept {
            (self.fresh_list, self.watching) = (true, true);
        }
    }

    pub fn list_failed(&mut self, now: Time) {
        self.news = true;
        // Soon, and spread so that stewards that failed together don't come back at once.
        self.watching = self.cfg.text("discovery") != Some("on_request");
        self.ask_at = now + SECOND / 4 + self.rng.i64(0..SECOND / 2);
    }

    pub fn joined(&mut self, proxy: usize, usual: f64) {
        self.news = true;
        let entry = self.proxy(proxy);
        (entry.joined, entry.marked, entry.usual) = (true, 0, usual);
    }

    pub fn stream_down(&mut self, now: Time, proxy: usize) {
        self.news = true;
        let entry = self.proxy(proxy);
        entry.joined = false;
        entry.down = now;
    }

    pub fn installed(&mut self, proxy: usize, number: u16) {
        self.news = true;
        // Marks travel modulo 65536: the answer is to the latest mark with this number.
        let back = self.mark.wrapping_sub(u64::from(number)) % 65_536;
        let mark = self.mark.saturating_sub(back);
        let entry = self.proxy(proxy);
        entry.answered = entry.answered.max(mark);
    }

    pub fn given(&mut self, now: Time, slice: usize) {
        self.news = true;
        // An empty record was mid-move under a steward before us: wait one lease, then let it settle.
        let quiet = Some(now + self.time("family_info.write_lease_s") + self.time("family_info.settle_s"));
        if let Some(entry) = self.slices.get_mut(slice) {
            let heat = std::mem::take(&mut entry.heat);
            *entry = Slice { mine: true, given: now, quiet, heat, ..Slice::new() };
        }
    }

    pub fn on_record(&mut self, now: Time, slice: usize, be: usize, weight: f64) {
        let settled = now + self.time("family_info.settle_s");
        let lax = self.cfg.flag("safety.only_draining_binds");
        let entry = self.be(be);
        (entry.start, entry.named) = (entry.start + 1, now);
        if lax && !entry.seen {
            (entry.missing, entry.health) = (true, Health::Ready);
        }
        if let Some(entry) = self.slices.get_mut(slice) {
            entry.owner = Some(be);
            // Guards against a steward that starts over while a slice settles: the store resets the levels
            // that kept writes from the new owner, but the line's weight still tells.
            (entry.state, entry.quiet) =
                if weight < 1.0 { (State::Settling, Some(settled)) } else { (State::Owned, None) };
        }
    }

    pub fn taken(&mut self, slice: usize) {
        self.news = true;
        if let Some(entry) = self.slices.get_mut(slice) {
            entry.mine = false;
            if let Some(owner) = entry.owner.take() {
                self.bes[owner].start = self.bes[owner].start.saturating_sub(1);
            }
        }
    }

    pub fn traffic(&mut self, now: Time, be: usize, count: f64, failed: f64, took: Time, util: Option<f64>) {
        self.news = true;
        self.heard = now;
        let late = took as f64 > 0.4 * self.target();
        let entry = self.be(be);
        if late || util.is_some_and(|util| util >= 0.85) {
            entry.strained = now;
        }
        let tries = &mut entry.tries;
        tries.push_back(Tries { at: now, count, failed, took, util });
        // Some seconds of reports from every zone.
        if tries.len() > 32 {
            tries.pop_front();
        }
    }

    pub fn heat(&mut self, now: Time, slice: usize, kind: usize, count: f64, window: Time) {
        self.news = true;
        if let Some(entry) = self.slices.get_mut(slice) {
            entry.heat.push_back(Heat { at: now, kind, count, window });
            // More than `rates` looks back on, at the shortest time between reports.
            if entry.heat.len() > 16 {
                entry.heat.pop_front();
            }
        }
    }

    pub fn reminder(&mut self) {
        self.news = true;
    }

    /// The next thing to carry out, or none for now.
    pub fn next_order(&mut self, now: Time) -> Option<Order> {
        if self.out.is_empty() && self.news {
            self.now = now;
            self.news = false;
            self.decide(now);
        }
        self.out.pop_front()
    }

    fn decide(&mut self, now: Time) {
        // Deadlines (leases, settling, the ledger's window) are looked at this often.
        const BEAT: Time = SECOND / 10;
        if now >= self.wake {
            self.wake = now + BEAT;
            self.out.push_back(Order::Remind { at: self.wake });
        }
        if !self.watching && now >= self.ask_at {
            self.out.push_back(Order::Watch);
            // Unless answered by then it asks once more.
            self.ask_at = now + self.cfg.time("safety.ask_within_s").unwrap_or(10 * SECOND);
        }
        self.suspect(now);
        self.settle(now);
        let orders = self.turn(now);
        self.out.extend(orders);
    }

    /// Hand-overs that every proxy has answered, or whose lease has run out, begin to settle.
    fn settle(&mut self, now: Time) {
        let lease = self.time("family_info.write_lease_s");
        let settle = self.time("family_info.settle_s");
        for slice in self.slices.iter_mut().filter(|slice| slice.mine) {
            let State::HandingOff { mark, waiting } = &mut slice.state else { continue };
            waiting.retain(|&proxy| {
                let proxy = &self.proxies[proxy];
                let broke = !proxy.joined && now >= proxy.down.max(slice.given) + lease;
                proxy.answered < *mark && !broke
            });
            if waiting.is_empty() {
                slice.state = State::Settling;
                // A slice that was open to reads alone has had no write since the earlier hand-over.
                slice.quiet = Some(slice.quiet.unwrap_or(now + settle));
            }
        }
    }

    /// A server at which nothing succeeds any more, though the list still shows it.
    fn suspect(&mut self, now: Time) {
        let span = self.span();
        for be in &mut self.bes {
            if be.missing {
                // Guards against a list that drops live servers, or none but a kept one: what reports show to
                // work stays. Harm: a real death is believed only once reports agree, a second or two later.
                let recent = || be.tries.iter().filter(|t| now - t.at < span);
                let count: f64 = recent().map(|t| t.count).sum();
                let newest = || recent().rev().take(3);
                // Mostly failing in the newest reports, or silent for long, and the list says so too.
                let lost =
                    newest().map(|t| t.failed).sum::<f64>() >= 0.8 * newest().map(|t| t.count).sum::<f64>();
                if if count > 0.0 { lost } else { now - be.named >= 2 * span } {
                    be.health = Health::Gone;
                }
            }
            // Three seconds hold several reports; eight tries make chance failures unlikely.
            let recent: Vec<&Tries> = be.tries.iter().filter(|t| now - t.at < 3 * SECOND).collect();
            let count: f64 = recent.iter().map(|t| t.count).sum();
            let failed: f64 = recent.iter().map(|t| t.failed).sum();
            // Guards against taking a jam for a death: a full server fails everything too, but was busy or
            // late just before. Its level falls first; moving its slices would only jam the next one.
            let jammed = now - be.strained < 6 * SECOND;
            if recent.len() >= 2 && count >= 8.0 && failed >= 0.9 * count && !jammed {
                // As long as the list usually needs to notice a silent machine.
                be.suspect_until = now + 15 * SECOND;
            }
        }
    }

    /// Servers listed as ready.
    fn ready(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.bes.len()).filter(|&be| self.bes[be].health == Health::Ready)
    }

    fn trusted(&self, be: usize, now: Time) -> bool {
        now >= self.bes[be].suspect_until
    }

    fn held(&self, be: usize) -> usize {
        self.slices.iter().filter(|slice| slice.mine && slice.owner == Some(be)).count()
    }

    /// Reqs a second that usually come, to all slices of all stewards.
    fn usual(&self) -> f64 {
        let heard = self.proxies.iter().filter(|proxy| proxy.usual > 0.0).count().max(1) as f64;
        self.proxies.iter().map(|proxy| proxy.usual).sum::<f64>() / heard * self.proxies.len() as f64
    }

    /// Reqs a second that come for a slice, by request kind; an even part of the usual ones until heard of.
    fn rates(&self, slice: usize) -> [f64; KINDS] {
        let (mut count, mut window) = ([0.0; KINDS], [0; KINDS]);
        if self.slices[slice].heat.is_empty() {
            let even = self.usual() / (self.slices.len() * self.kinds().max(1)) as f64;
            return std::array::from_fn(|k| if k < self.kinds() { even } else { 0.0 });
        }
        let recent = |sample: &&Heat| sample.kind < KINDS && self.now - sample.at < self.span();
        for sample in self.slices[slice].heat.iter().filter(recent) {
            count[sample.kind] += sample.count;
            window[sample.kind] += sample.window;
        }
        std::array::from_fn(|k| count[k] * SECOND as f64 / window[k].max(1) as f64)
    }

    fn rate(&self, slice: usize) -> f64 {
        self.rates(slice).iter().sum()
    }

    fn kinds(&self) -> usize {
        self.cfg.number("classes.count").unwrap_or(0.0).clamp(0.0, KINDS as f64) as usize
    }

    /// The mean response target.
    fn target(&self) -> f64 {
        let target = |k: usize| self.cfg.time(&format!("classes.{k}.aim_s")).unwrap_or(SECOND);
        (0..self.kinds()).map(target).sum::<Time>().max(1) as f64 / self.kinds().max(1) as f64
    }

    /// How hard a server works: above 1 it has too much.
    fn strain(&self, be: usize, now: Time) -> Option<f64> {
        let target = self.target();
        // A cold server can't wait for a tick's worth of reports.
        let span = if self.present(be, now) < 1.0 { self.span() - Self::TICK / 2 } else { self.span() };
        let recent = || self.bes[be].tries.iter().filter(|t| now - t.at < span);
        let count: f64 = recent().map(|t| t.count).sum();
        let good: f64 = recent().map(|t| t.count - t.failed).sum();
        if count <= 0.0 {
            return None;
        }
        // Busy cores say more than times, which vary with the reqs; near the top only times tell how far.
        // 0.85 and 0.4 leave room for chance and for a queue that is still short.
        let utils: Vec<f64> = recent().filter_map(|t| t.util).collect();
        let util = utils.iter().sum::<f64>() / utils.len() as f64 / 0.85;
        if util < 1.0 {
            return Some(util);
        }
        let took = recent().map(|t| (t.count - t.failed) * t.took as f64).sum::<f64>() / good.max(1.0);
        // A full server turns reqs away at once and answers the rest late.
        let full = if good < 0.7 * count { count / good.max(1.0) } else { 0.0 };
        Some((took / (0.4 * target)).max(full).max(if util.is_nan() { 0.0 } else { 0.95 }))
    }

    /// Each tick: a server that has too much is sent less, one that has room more.
    fn levels(&mut self, now: Time, tick: bool) {
        let span = self.span();
        let recent = self.bes.iter().flat_map(|be| &be.tries).filter(|t| now - t.at < span);
        let done: f64 = recent.map(|t| t.count - t.failed).sum();
        self.done = self.done.max(done * SECOND as f64 / span as f64 / self.ready().count().max(1) as f64);
        for be in 0..self.bes.len() {
            // Between ticks only a cold server's level is looked at, and only lowered: clients' repeats can
            // push it over within a tick.
            if !tick && self.present(be, now) >= 1.0 {
                continue;
            }
            let strain = self.strain(be, now);
            let recent = || self.bes[be].tries.iter().filter(|t| now - t.at < span);
            let a_second = |count: f64| count * SECOND as f64 / span as f64;
            let tried = a_second(recent().map(|t| t.count).sum());
            let good = a_second(recent().map(|t| t.count - t.failed).sum());
            let level = self.bes[be].level;
            // Straight to what it gets done, less a fifth to empty its queue: steps add up while reports lag.
            let level = match strain.unwrap_or(0.8) {
                strain if strain > 1.0 => {
                    ((1.0 / strain).max(0.8) * good / self.load(be).max(1e-6)).min(0.95 * level)
                }
                strain if strain > 0.9 => level,
                strain => level / strain.max(0.5),
            };
            let level = if tick { level } else { level.min(self.bes[be].level) };
            self.hurry |=
                self.present(be, now) < 1.0 && self.load(be) > 0.0 && level < 0.8 * self.bes[be].level;
            if let Some(strain) = strain {
                self.bes[be].capacity = tried / strain.max(0.2);
            }
            if self.cfg.text("family_info.admit") == Some("ratio") {
                self.bes[be].level = level.clamp(0.1, 1.0).min(self.cap(be, now));
            }
        }
    }

    /// The share of its reqs that a server could well take with one slice more.
    fn share_with(&self, be: usize, slice: usize, now: Time) -> f64 {
        let capacity = self.budget(be, now).min(0.9 * self.bes[be].capacity);
        capacity / (self.load(be) + NEW_KEYS * self.rate_at(be, slice)).max(1e-6)
    }

    /// The share of each request kind that a slice should let in: the dearest credit first, the cheapest gets
    /// what is left. Kinds that write are closed until the slice is quiet.
    fn wanted(&self, slice: usize, quiet: bool) -> [f64; KINDS] {
        let credit = |k: usize| self.cfg.number(&format!("classes.{k}.worth")).unwrap_or(1.0);
        let mut kinds: Vec<usize> = (0..self.kinds()).collect();
        kinds.sort_by(|&a, &b| credit(b).total_cmp(&credit(a)));
        let rates = self.rates(slice);
        let level = self.slices[slice].owner.map_or(1.0, |be| self.bes[be].level);
        let mut left = level * rates.iter().sum::<f64>();
        let mut wanted = [1.0; KINDS];
        for k in kinds {
            if !quiet && self.writing() & (1 << k) != 0 {
                wanted[k] = 0.0;
            } else if level < 1.0 && rates[k] > 0.0 {
                // In twentieths, so that no lines are written for less.
                wanted[k] = (left / rates[k] * 20.0).floor().clamp(0.0, 20.0) / 20.0;
                left = (left - rates[k]).max(0.0);
            }
        }
        wanted
    }

    /// The share of its capacity that a server has at least, from when it started.
    fn present(&self, be: usize, now: Time) -> f64 {
        let from = self.cfg.number("safety.cold_from").unwrap_or(1.0);
        let ramp = self.time("safety.cold_s").max(1);
        match self.bes[be].boot {
            0 => 1.0,
            boot => (from + (1.0 - from) * (now - boot) as f64 / ramp as f64).clamp(from, 1.0),
        }
    }

    /// Request kinds that write, a bit each.
    fn writing(&self) -> u32 {
        let flags = self.cfg.text("family_info.mutating").unwrap_or("");
        flags.split(',').enumerate().filter(|(k, flag)| *k < 32 && *flag == "true").map(|(k, _)| 1 << k).sum()
    }

    /// The server to grant a slice to: the one with the fewest slices of this steward among those fit for it.
    fn fewest(&self, now: Time, slice: usize) -> Option<usize> {
        // A started server gets what its budget holds, and past that one slice a tick.
        let warm = |be: usize| self.present(be, now) >= 1.0 || now - self.bes[be].granted >= Self::TICK;
        // Exception: a server that would have too much with it is passed over.
        // A cold one holds no more than its present part of the slices, as slices that look idle may wake up.
        let mine = self.slices.iter().filter(|slice| slice.mine).count() / self.ready().count().max(1);
        let part = |be: usize| {
            self.present(be, now) >= 1.0 || self.held(be) as f64 <= self.present(be, now) * mine as f64
        };
        let able = |be: usize| self.share_with(be, slice, now) >= 1.0 && part(be);
        let pick = |fit: &dyn Fn(usize) -> bool| {
            self.ready().filter(|&be| fit(be)).min_by_key(|&be| (self.held(be), be))
        };
        // Never empties the fleet: a doubtful server is better than none.
        pick(&|be| self.trusted(be, now) && able(be))
            .or_else(|| pick(&|be| warm(be) && self.trusted(be, now)))
            .or_else(|| pick(&warm))
            .or_else(|| pick(&|_| true))
    }

    /// Reqs a second that come for the slices of this steward at a server.
    fn load(&self, be: usize) -> f64 {
        let held = |&s: &usize| self.slices[s].mine && self.slices[s].owner == Some(be);
        (0..self.slices.len()).filter(held).map(|s| self.rate_at(be, s)).sum()
    }

    /// What a slice brings a server. Guards a cold one against low counts: from the few proxies back when a
    /// steward has just started, or of writes denied while a slice settles, whose clients all come at once.
    fn rate_at(&self, be: usize, slice: usize) -> f64 {
        let young = self.now - self.started < 2 * self.span();
        let closed = self.slices[slice].owner == Some(be) && self.slices[slice].state != State::Owned;
        let blind = (young || closed) && self.present(be, self.now) < 1.0;
        let even = self.usual() / self.slices.len() as f64;
        self.rate(slice).max(if blind { even } else { 0.0 })
    }

    /// Reqs a second that a cold server may be brought: a quarter of what would push it over, as its keys
    /// are new to it and reports lag. Full capacity: the most servers got done on average, or usually get.
    fn budget(&self, be: usize, now: Time) -> f64 {
        let present = self.present(be, now);
        if present >= 1.0 {
            return f64::INFINITY;
        }
        let stewards = self.cfg.number("balancers").unwrap_or(1.0).max(1.0);
        let seen = self.bes.iter().filter(|be| be.seen).count().max(1) as f64;
        let full = self.done.max(self.usual() / stewards / seen);
        0.25 * self.cfg.number("safety.fall_multiple").unwrap_or(1.0) * present * full
    }

    /// How far back reports are looked at: a tick of them, whatever the time between two.
    fn span(&self) -> Time {
        self.time("family_info.cycle_s") + Self::TICK
    }

    /// The share of its reqs that keeps a cold server within its budget.
    fn cap(&self, be: usize, now: Time) -> f64 {
        (self.budget(be, now) / self.load(be).max(1e-6)).min(1.0)
    }

    /// The guide's strategy tick.
    const TICK: Time = 2 * SECOND;

    /// Slices that are to leave their owners, the ones that can't wait first, and how many those are.
    fn leaving(&mut self, now: Time) -> (Vec<usize>, usize) {
        let holding = |fit: &dyn Fn(&Slice, usize) -> bool| {
            let leaves = |slice: &Slice| slice.owner.is_some_and(|be| fit(slice, be));
            let held =
                |&s: &usize| self.slices[s].mine && !self.slices[s].handing_off() && leaves(&self.slices[s]);
            (0..self.slices.len()).filter(held).collect::<Vec<usize>>()
        };
        // A list kept from before a restart may lack servers that have come since.
        let known = |be: usize| self.bes[be].seen || self.fresh_list;
        let ready = |be: usize| self.bes[be].health == Health::Ready;
        let mut leaving = holding(&|slice, be| slice.stopped || !ready(be) && known(be));
        let urgent = leaving.len();
        // Many suspects at once point to a bad view rather than bad servers: then nothing moves.
        if self.ready().filter(|&be| !self.trusted(be, now)).count() * 4 <= self.ready().count() {
            leaving.extend(holding(&|slice, be| !slice.stopped && ready(be) && !self.trusted(be, now)));
        }
        // In step with the reports where they come as seldom as ticks.
        let early = if self.heard == now { self.time("family_info.cycle_s") / 2 } else { 0 };
        let tick = now - self.tick >= Self::TICK - early;
        self.levels(now, tick);
        if tick {
            self.tick = now;
            if leaving.is_empty() {
                leaving.extend(self.imbalance(now));
            }
        }
        (leaving, urgent)
    }

    /// Each tick moves slices off servers that gained some, toward those below their start.
    fn imbalance(&self, now: Time) -> Vec<usize> {
        // The design's starting values: threshold 2 slices, 3 moves in flight.
        const THRESHOLD: isize = 2;
        const IN_FLIGHT: usize = 3;
        let moving = self.slices.iter().filter(|slice| slice.mine && slice.state != State::Owned).count();
        let gain = |be: usize| self.held(be) as isize - self.bes[be].start as isize;
        let fit: Vec<usize> = self.ready().filter(|&be| self.trusted(be, now)).collect();
        // Exception: after an enlargement each server that holds nothing may be getting a slice.
        let empty = fit.iter().filter(|&&be| self.held(be) == 0).count();
        let free = IN_FLIGHT.max(empty).saturating_sub(moving);
        let owned = |be: usize| {
            (0..self.slices.len()).filter(move |&s| {
                let slice = &self.slices[s];
                slice.mine && slice.owner == Some(be) && slice.state == State::Owned
            })
        };
        // Exception: a server that has too much gives its hottest slice that another can well take.
        let strain = |be: usize| self.strain(be, now).unwrap_or(0.0);
        let mut strained: Vec<usize> = fit.iter().copied().filter(|&be| strain(be) > 1.0).collect();
        strained.sort_by(|&a, &b| strain(b).total_cmp(&strain(a)));
        let mut moves = Vec::new();
        for be in strained.into_iter().take(free) {
            // Where it already denies much, another that would deny much less will do.
            let least = (1.5 * self.bes[be].level).min(1.0);
            let fits = |&s: &usize| fit.iter().any(|&to| to != be && self.share_with(to, s, now) >= least);
            moves.extend(owned(be).filter(fits).max_by(|&a, &b| self.rate(a).total_cmp(&self.rate(b))));
        }
        let below = fit.iter().copied().min_by_key(|&be| (gain(be), be));
        let above = fit.iter().copied().max_by_key(|&be| (gain(be), be));
        if let (Some(below), Some(above)) = (below, above) {
            let uneven = gain(below) < 0 && gain(above) > 0 && gain(above) - gain(below) >= THRESHOLD;
            if uneven && moves.len() < free {
                moves.extend(owned(above).find(|slice| !moves.contains(slice)));
            }
        }
        moves
    }

    /// All changes of one moment, gathered into one message a proxy; the ledger decides whether and how much.
    fn turn(&mut self, now: Time) -> Vec<Order> {
        let joined = self.proxies.iter().filter(|proxy| proxy.joined).count();
        let (leaving, urgent) = self.leaving(now);
        let writing = self.writing();
        let open = |slice: &Slice| {
            let writes = (0..KINDS).any(|k| writing & (1 << k) != 0 && slice.levels[k] > 0.0);
            slice.mine && slice.state == State::Settling && slice.owner.is_some() && writes
        };
        let leavers = self.slices.is_empty()
            && self.bes.iter().any(|be| be.seen && be.withdrawn == (be.health == Health::Ready));
        let urgent = urgent > 0 || leavers || self.slices.iter().any(open);
        let room = self.room(now, joined, urgent);
        let mut orders = Vec::new();
        if room == 0 {
            return orders;
        }
        // The weight of a line that is open to reads alone; any below 1 serves, as a table has one line.
        const READS_ONLY: f64 = 0.5;
        let mark = self.mark + 1;
        for s in leaving.into_iter().take(room / 2) {
            let slice = &mut self.slices[s];
            // What was open to reads alone keeps the end of its earlier settling.
            if slice.state == State::Owned {
                slice.quiet = None;
            }
            slice.owner = None;
            slice.stopped = false;
            slice.state = State::HandingOff { mark, waiting: (0..self.proxies.len()).collect() };
            orders.push(Order::DropLines { slice: s });
        }
        // Those without an owner first, then those whose writes may open: a full channel starved late slices.
        let mut by_need: Vec<usize> = (0..self.slices.len()).collect();
        by_need.sort_by_key(|&s| (self.slices[s].owner.is_some(), self.slices[s].state == State::Owned));
        for s in by_need {
            if orders.len() + 2 + self.kinds() > room {
                break;
            }
            let slice = &self.slices[s];
            if !slice.mine || slice.handing_off() {
                continue;
            }
            let quiet = slice.state == State::Owned || slice.quiet.is_some_and(|at| now >= at);
            let mut flood = false;
            if slice.owner.is_none() {
                // Exception: the settling pause binds writes alone, so reads go to the new owner at once.
                let reads = writing != 0 && self.cfg.text("family_info.admit") != Some("none");
                if !quiet && (!reads || now < slice.given + self.time("family_info.write_lease_s")) {
                    continue;
                }
                let Some(be) = self.fewest(now, s) else { continue };
                self.bes[be].granted = now;
                self.slices[s].owner = Some(be);
                self.bes[be].level = self.bes[be].level.min(self.cap(be, now));
                self.slices[s].levels = [1.0; KINDS];
                // Guards a cold server against what proxies held while the slice had no owner: a level of 0
                // stops that, and the next turn opens.
                flood = self.present(be, now) < 1.0;
                orders.push(Order::SetLine { slice: s, be, weight: if quiet { 1.0 } else { READS_ONLY } });
            } else if quiet && slice.state == State::Settling {
                orders.extend(slice.owner.map(|be| Order::SetLine { slice: s, be, weight: 1.0 }));
            }
            let mut wanted = self.wanted(s, quiet);
            if flood {
                wanted = [0.0; KINDS];
            }
            for (k, &share) in wanted.iter().enumerate().take(self.kinds()) {
                // Small changes would fill the channel: a tenth, or all or nothing.
                let change = (share - self.slices[s].levels[k]).abs();
                if change >= 0.1 || change > 0.0 && (share <= 0.0 || share >= 1.0) {
                    orders.push(Order::Level { slice: Some(s), kinds: 1 << k, share });
                    self.slices[s].levels[k] = share;
                }
            }
            if quiet {
                self.slices[s].state = State::Owned;
                self.slices[s].quiet = None;
            }
        }
        if self.slices.is_empty() && self.ready().next().is_some() {
            // Standing tables are the proxies' own: a steward only sees to it that nothing goes to what left.
            for (be, entry) in self.bes.iter_mut().enumerate().filter(|(_, entry)| entry.seen) {
                let out = entry.health != Health::Ready;
                if out != std::mem::replace(&mut entry.withdrawn, out) {
                    orders.push(Order::Withdraw { be, out });
                }
            }
        }
        // A proxy that rejoined with an answer still due gets a fresh mark.
        let due = |slice: &Slice| match &slice.state {
            State::HandingOff { mark, waiting } => waiting.iter().any(|&p| {
                let proxy = &self.proxies[p];
                proxy.joined && proxy.marked < *mark
            }),
            _ => false,
        };
        if !orders.is_empty() || self.slices.iter().any(|slice| slice.mine && due(slice)) {
            self.mark = mark;
            self.hurry = false;
            orders.push(Order::Stamp { number: (mark % 65_536) as u16 });
            let head = self.cfg.number("family_info.fixed_cost").unwrap_or(0.0);
            self.turns.push_back(Turn { at: now, lines: head + orders.len() as f64, mark });
            self.proxies.iter_mut().filter(|proxy| proxy.joined).for_each(|proxy| proxy.marked = mark);
        }
        orders
    }

    /// The one ledger: lines a proxy that a turn may write now.
    fn room(&mut self, now: Time, joined: usize, urgent: bool) -> usize {
        let window = self.cfg.time("family_info.update_window_s").unwrap_or(10 * SECOND) + SECOND / 10;
        while self.turns.front().is_some_and(|turn| now - turn.at >= window) {
            self.turns.pop_front();
        }
        let allowed = self.cfg.number("family_info.pushes_allowed").unwrap_or(0.0) as usize;
        if allowed > 0 {
            // A third is kept for drains; the rest is spread so that a burst doesn't use it up.
            let most = if urgent { allowed } else { allowed - allowed / 3 };
            let gap = window * self.turns.len() as Time / (most * most) as Time;
            let spaced = self.hurry || self.turns.back().is_none_or(|turn| now - turn.at >= gap);
            if self.turns.len() >= most || !(urgent || spaced) {
                return 0;
            }
        }
        // What a proxy answered has left the channel; what others of the same turn were written may not have.
        let due = |p: &Proxy, mark: u64| p.joined && p.marked >= mark && p.answered < mark;
        let due = |mark: u64| self.proxies.iter().filter(|proxy| due(proxy, mark)).count() as f64;
        let waiting: f64 = self.turns.iter().map(|turn| turn.lines * due(turn.mark)).sum();
        let most = self.cfg.number("family_info.pending_max").unwrap_or(f64::INFINITY);
        let share = if urgent { 0.9 } else { 0.5 };
        let head = self.cfg.number("family_info.fixed_cost").unwrap_or(0.0);
        let room = (share * most - waiting) / joined.max(1) as f64 - head - 1.0;
        room.clamp(0.0, 65_535.0) as usize
    }
}

#[cfg(test)]
mod tests;

//! The decisions of a steward: which server owns each slice, and how a slice moves.
//!
//! The host builds a [`Steward`] with its settings, calls one input method for each thing it learns (these
//! only update what is known), then pulls [`Order`]s with [`Steward::next_order`] until there is none. Types,
//! settings and id tables are in `lib.rs`; `docs/design.md` tells when exceptions act.

mod admission;
mod channel;
mod demand;
mod handoff;
mod inputs;
mod placement;
mod suspicion;

use std::collections::VecDeque;

use crate::{Health, Order, Settings, Time, SECOND};
use channel::{ChannelEvidence, Missed, Turn};

/// Long before any time on the clock.
const NEVER: Time = Time::MIN / 2;

#[derive(Clone, Debug, Default)]
struct Server {
    seen: bool,
    listed: bool,
    withdrawn: bool,
    health: Health,
    /// The list dropped it without a drain, or only a record names it: it counts as ready while it works.
    missing: bool,
    boot: Time,
    named: Time,
    /// Slices of this steward that it held at the first map or take-over; moves compare with that.
    start: usize,
    granted: Time,
    tries: VecDeque<Tries>,
    suspect_until: Time,
    /// Good tries that proxies may still keep a connection for, as of the last report.
    kept: f64,
    met_at: Time,
    /// It fails many reqs though it is neither late nor busy.
    ill: bool,
    /// The share of the reqs for its slices that is let in.
    level: f64,
    /// Reqs a second that it can well take, as worked out at the last tick.
    capacity: f64,
    /// When a good answer last came late or its cores were busy.
    strained: Time,
    /// The turn's tallies: slices of this steward held, reqs a second that come for them, and the share of
    /// its capacity that it has at least, from when it started.
    held: usize,
    load: f64,
    present: f64,
    budget: f64, // reqs a second that a cold server may be brought
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

#[derive(Clone, Debug)]
struct Heat {
    at: Time,
    kind: usize,
    count: f64,
    window: Time,
}

#[derive(Clone, Debug, Default)]
struct Proxy {
    joined: bool,
    /// When its stream broke, or, unseen so far, when this steward started.
    down: Time,
    marked: u64,
    answered: u64,
    /// The last mark whose answer can't have been missed.
    asked: u64,
    /// The last mark when its joining was told: messages up to that one may have been written before it joined, or after.
    maybe_before: u64,
    /// Nothing waits for it of messages up to this mark, whether or not it has answered them.
    empty: u64,
    /// Reqs a second that it usually gets.
    usual: f64,
}

#[derive(Clone, Debug, Default, PartialEq)]
enum State {
    Owned,
    HandingOff {
        mark: u64,
        waiting: Vec<usize>,
    },
    #[default]
    Settling,
}

#[derive(Clone, Debug, Default)]
struct Slice {
    mine: bool,
    given: Time,
    owner: Option<usize>,
    state: State,
    /// No write of an earlier owner is in hand from here on; `None` until every proxy has answered.
    quiet: Option<Time>,
    /// It settles at its owner, and the store may have opened its writes for a while: some may be in hand there.
    reopened: bool,
    /// Its owner restarted: whatever it held has stopped.
    stopped: bool,
    /// Its line may still be on its way to this steward: it is not granted.
    awaits_line: bool,
    /// Nobody can say which line the store has of it: it is revoked before all else.
    unclear: bool,
    heat: VecDeque<Heat>,
    rates: [f64; KINDS],
    /// The share let in of each request kind, as last ordered; those not named are open.
    levels: [f64; KINDS],
}

/// Good tries that took more than this part of the response target came late: a server is filling up before it misses it.
const LATE: f64 = 0.4;

/// The share of its cores at which a server counts as busy.
const BUSY: f64 = 0.85;

/// How long a server counts as full after it was last busy or late.
const STRAIN_LASTS: Time = 6 * SECOND;

impl Server {
    fn new() -> Server {
        let (granted, suspect_until, strained, named) = (NEVER, NEVER, NEVER, NEVER);
        let new =
            Server { granted, suspect_until, strained, named, level: 1.0, present: 1.0, ..Server::default() };
        Server { capacity: f64::INFINITY, budget: f64::INFINITY, ..new }
    }

    /// Tries since `span` ago, and how many of them were good.
    fn met(&self, now: Time, span: Time) -> (f64, f64) {
        let recent = self.tries.iter().filter(|t| now - t.at < span);
        recent.fold((0.0, 0.0), |(count, good), t| (count + t.count, good + t.count - t.failed))
    }

    /// It was busy or late just before: failures say that it is full.
    fn jammed(&self, now: Time) -> bool {
        now - self.strained < STRAIN_LASTS
    }
}

impl Slice {
    fn new() -> Slice {
        Slice { levels: [1.0; KINDS], ..Slice::default() }
    }
}

fn keep<T>(samples: &mut VecDeque<T>, sample: T, most: usize) {
    samples.push_back(sample);
    samples.drain(..samples.len().saturating_sub(most));
}

/// What reqs with keys that are new to a server cost it; the gain from met keys is about a third to a half.
const NEW_KEYS: f64 = 1.5;

/// Request kinds told apart, as many as the wire's masks hold.
const KINDS: usize = 32;

/// The level of a request kind that may stand otherwise than was ordered: it is ordered anew.
const UNKNOWN_LEVEL: f64 = -1.0;

#[derive(Default)]
pub struct Steward {
    cfg: Settings,
    rng: fastrand::Rng,
    servers: Vec<Server>,
    proxies: Vec<Proxy>,
    slices: Vec<Slice>,
    turns: VecDeque<Turn>,
    mark: u64,
    /// Answers that may never be heard, since the store's news were interrupted.
    missed: Option<Missed>,
    /// The store's news are interrupted: proxies may have joined unheard.
    interrupted: bool,
    /// The store's news as far as they show what the channel holds.
    evidence: ChannelEvidence,
    out: VecDeque<Order>,
    news: bool,
    /// What comes for the slices is to be worked out anew.
    reported: bool,
    now: Time,
    /// A cold server has much too much or writes have to be closed: the next turn can't wait.
    hurry: bool,
    started: Time,
    wake: Time,
    tick: Time,
    /// When levels were last written.
    leveled: Time,
    heard: Time,
    /// Reqs a second that usually come, to all slices of all stewards.
    usual: f64,
    /// Reqs a second that an average server gets done, and slices of this steward for each ready server.
    full: f64,
    even: usize,
    /// From the settings: the request kinds, dearest credit first, those that write, a bit each, and the
    /// mean response target.
    kinds: Vec<usize>,
    writing: u32,
    target: f64,
    /// The most reqs a second that a server got done on average, over any tick so far.
    done: f64,
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
        let kinds = cfg.number("classes.count").unwrap_or(0.0).clamp(0.0, KINDS as f64) as usize;
        let aim = |k: usize| cfg.time(&format!("classes.{k}.aim_s")).unwrap_or(SECOND);
        let target = (0..kinds).map(aim).sum::<Time>().max(1) as f64 / kinds.max(1) as f64;
        let credit = |k: usize| cfg.number(&format!("classes.{k}.worth")).unwrap_or(1.0);
        let mut kinds: Vec<usize> = (0..kinds).collect();
        kinds.sort_by(|&a, &b| credit(b).total_cmp(&credit(a)));
        let flags = cfg.text("family_info.mutating").unwrap_or("").split(',');
        let mut steward = Steward {
            writing: flags.take(KINDS).enumerate().map(|(k, flag)| u32::from(flag == "true") << k).sum(),
            kinds,
            target,
            rng: fastrand::Rng::with_seed(seed),
            slices: vec![Slice::new(); slices.min(65_535)],
            news: true,
            now,
            started: now,
            wake: now,
            tick: now,
            leveled: now,
            heard: now,
            watching: cfg.text("discovery") != Some("on_request"),
            ask_at: now,
            cfg,
            ..Steward::default()
        };
        let expected = steward.cfg.number("family_info.proxy_count").unwrap_or(0.0) as usize;
        (0..expected.min(65_536)).for_each(|proxy| _ = steward.proxy(proxy));
        Ok(steward)
    }

    fn time(&self, name: &str) -> Time {
        self.cfg.time(name).unwrap_or(0)
    }

    fn server(&mut self, server: usize) -> &mut Server {
        if self.servers.len() <= server {
            self.servers.resize(server + 1, Server::new());
        }
        &mut self.servers[server]
    }

    fn proxy(&mut self, proxy: usize) -> &mut Proxy {
        if self.proxies.len() <= proxy {
            self.proxies.resize(proxy + 1, Proxy { down: self.started, ..Proxy::default() });
        }
        &mut self.proxies[proxy]
    }

    /// The next thing to carry out, or none for now.
    pub fn next_order(&mut self, now: Time) -> Option<Order> {
        if self.out.is_empty() && self.news {
            self.news = false;
            self.decide(now);
        }
        self.out.pop_front()
    }

    /// As [`Steward::next_order`], for a host that is not sure of all that stands, or of its last orders. What only
    /// takes away is safe whatever turns out to stand: slices leave servers that drain or are gone, and writes of
    /// slices that settle are closed. Nothing else is decided; a hand-over goes on with the next full decision.
    pub fn next_restriction(&mut self, now: Time) -> Option<Order> {
        if self.out.is_empty() && self.is_restriction_due(now) {
            self.tally(now);
            let orders = self.turn(now, true);
            self.out.extend(orders);
        }
        self.out.pop_front()
    }

    fn decide(&mut self, now: Time) {
        // Deadlines (leases, settling, the ledger's window) are looked at this often.
        const BEAT: Time = SECOND / 10;
        if now >= self.wake {
            (self.wake, self.reported) = (now + BEAT, true);
            self.out.push_back(Order::Remind { at: self.wake });
        }
        if !self.watching && now >= self.ask_at {
            self.out.push_back(Order::Watch);
            // Unless answered by then it asks once more.
            self.ask_at = now + self.cfg.time("safety.ask_within_s").unwrap_or(10 * SECOND);
        }
        self.tally(now);
        self.suspect(now);
        self.settle(now);
        let orders = self.turn(now, false);
        self.out.extend(orders);
    }

    fn ready(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.servers.len()).filter(|&server| self.servers[server].health == Health::Ready)
    }

    /// The guide's strategy tick.
    const TICK: Time = 2 * SECOND;

    /// All changes of one moment, gathered into one message a proxy; the ledger decides whether and how much.
    /// `restrict`: only what takes away, see [`Steward::next_restriction`].
    fn turn(&mut self, now: Time, restrict: bool) -> Vec<Order> {
        let (leaving, lost) = if restrict {
            let owed: Vec<usize> = self.owed().collect();
            let lost = owed.len();
            (owed, lost)
        } else {
            self.leaving(now)
        };
        // Standing tables are the proxies' own: a steward only sees to it that nothing goes to what left.
        let bare = self.slices.is_empty() && self.ready().next().is_some();
        let turned = |server: &Server| server.seen && server.withdrawn == (server.health == Health::Ready);
        let leavers =
            |server: &Server| bare && turned(server) && (!restrict || server.health != Health::Ready);
        let closing = self.slices.iter().filter(|slice| self.is_open(slice, now)).count();
        let urgent = lost + closing + self.servers.iter().filter(|server| leavers(server)).count();
        self.hurry |= closing > 0;
        let (room, rest) = self.room(now, urgent);
        let rest = if restrict { 0 } else { rest };
        let mut orders = Vec::new();
        if room == 0 {
            return orders;
        }
        // The weight of a line that is open to reads alone; any below 1 serves, as a table has one line.
        const READS_ONLY: f64 = 0.5;
        let mark = self.mark + 1;
        // What can't wait may use the whole room, all else only what is left of the ordinary one.
        for s in leaving.into_iter().take(room.min(lost).max(rest / 2)) {
            let slice = &mut self.slices[s];
            // What was open to reads alone keeps the end of its earlier settling in `quiet`.
            (slice.owner, slice.stopped, slice.unclear) = (None, false, false);
            if std::mem::take(&mut slice.reopened) {
                slice.quiet = None;
            }
            slice.state = State::HandingOff { mark, waiting: (0..self.proxies.len()).collect() };
            orders.push(Order::DropLines { slice: s });
        }
        // Writes to close go first, then slices without an owner, then writes that may open: a full channel
        // starved late slices.
        let mut by_need: Vec<usize> = (0..self.slices.len()).collect();
        let need =
            |slice: &Slice| (!self.is_open(slice, now), slice.owner.is_some(), slice.state == State::Owned);
        by_need.sort_by_cached_key(|&s| need(&self.slices[s]));
        for (i, s) in by_need.into_iter().enumerate() {
            if orders.len() + 2 + self.kinds.len() > if i < closing { room } else { rest } {
                break;
            }
            let slice = &self.slices[s];
            let held = slice.awaits_line || slice.unclear;
            if !slice.mine || held || matches!(slice.state, State::HandingOff { .. }) {
                continue;
            }
            let quiet = slice.state == State::Owned || slice.quiet.is_some_and(|at| now >= at);
            if restrict && quiet {
                continue;
            }
            let mut wanted = None;
            if slice.owner.is_none() {
                // Exception: the settling pause binds writes alone, so reads go to the new owner at once.
                // Not where writes may open within a second: what two grants take of the channel is the others'.
                let soon = slice.quiet.is_some_and(|at| at - now < SECOND);
                let reads = self.writing != 0 && self.cfg.text("family_info.admit") != Some("none") && !soon;
                // Nor soon after the slice came from another steward: that one may be back and get it again, at which the
                // store opens the writes, and until somebody is told of it nobody can close them.
                let lease = self.time("family_info.write_lease_s");
                let taken_over = now < slice.given + lease + self.time("family_info.settle_s");
                if !quiet && (!reads || taken_over) {
                    continue;
                }
                let Some(server) = self.fewest(now, s) else { continue };
                self.slices[s].owner = Some(server);
                let brings = self.rate_at(server, s);
                let entry = &mut self.servers[server];
                (entry.granted, entry.held, entry.load) = (now, entry.held + 1, entry.load + brings);
                self.servers[server].level = self.servers[server].level.min(self.cap(server));
                self.slices[s].levels = [1.0; KINDS];
                // Guards a cold server against what proxies held while the slice had no owner: a level of 0
                // stops that, and the next turn opens.
                wanted = Some([0.0; KINDS]).filter(|_| self.servers[server].present < 1.0);
                orders.push(Order::SetLine {
                    slice: s,
                    server,
                    weight: if quiet { 1.0 } else { READS_ONLY },
                });
            } else if quiet && slice.state == State::Settling {
                orders.extend(slice.owner.map(|server| Order::SetLine { slice: s, server, weight: 1.0 }));
            }
            let wanted = wanted.unwrap_or_else(|| self.wanted(s, quiet));
            // Guards the channel: levels alone cost a head at each proxy, so they wait for a tick or a turn that
            // goes anyway, unless they open a kind or keep a cold server from too much.
            let opens = (0..KINDS).any(|k| wanted[k] > 0.0 && self.slices[s].levels[k] <= 0.0);
            let warm = self.slices[s].owner.is_none_or(|server| self.servers[server].present >= 1.0);
            let early = self.slices[s].state == State::Owned && now - self.leveled < Self::TICK;
            if early && warm && !opens && !self.hurry && orders.is_empty() {
                continue;
            }
            let first = orders.len();
            for (k, &share) in wanted.iter().enumerate().take(self.kinds.len()) {
                // Small changes would fill the channel: a tenth, or all or nothing.
                let change = (share - self.slices[s].levels[k]).abs();
                if change >= 0.1 || change > 0.0 && (share <= 0.0 || share >= 1.0) {
                    self.slices[s].levels[k] = share;
                    self.leveled = now;
                    // One line serves all kinds that get the same share.
                    let same = orders[first..].iter_mut().find_map(|order| match order {
                        Order::Level { kinds, share: told, .. } if *told == share => Some(kinds),
                        _ => None,
                    });
                    match same {
                        Some(kinds) => *kinds |= 1 << k,
                        None => orders.push(Order::Level { slice: Some(s), kinds: 1 << k, share }),
                    }
                }
            }
            if quiet {
                self.slices[s].state = State::Owned;
                self.slices[s].quiet = None;
                self.slices[s].reopened = false;
            }
        }
        for (server, entry) in self.servers.iter_mut().enumerate().filter(|(_, entry)| leavers(entry)) {
            entry.withdrawn = !entry.withdrawn;
            orders.push(Order::Withdraw { server, out: entry.withdrawn });
        }
        // A proxy that rejoined with an answer still due gets a fresh mark.
        let due = |slice: &Slice| {
            let State::HandingOff { mark, waiting } = &slice.state else { return false };
            waiting.iter().any(|&p| self.proxies[p].joined && self.proxies[p].asked < *mark)
        };
        let probes = rest == 0 && self.is_probe_due();
        let asks = probes || self.slices.iter().any(|slice| slice.mine && due(slice));
        if !orders.is_empty() || !restrict && asks {
            self.mark = mark;
            self.hurry = false;
            orders.push(Order::Stamp { number: (mark % 65_536) as u16 });
            let head = self.cfg.number("family_info.fixed_cost").unwrap_or(0.0);
            self.write_turn(now, head + orders.len() as f64);
        }
        orders
    }
}

#[cfg(test)]
mod tests;

//! One steward's view of the fleet.

mod compare;
mod rounds;
mod stability;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use bytes::BufMut;

use crate::gossip::{About, Spread};
use crate::probe::{Helped, Probes, HELPED, PATIENCE};
use crate::show::{Ask, Page, Shown};
use crate::table::{Merged, Record, State, Table, Word};
use crate::wire::{Item, Kind, Range, Said, BODY, SAID};
use crate::{id, Id, Life, Reach, Send, Settings, Time};

/// What on-call staff want to know, and what is bounded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    pub sent: u64,
    pub sent_bytes: u64,
    pub unreadable: u64,
    /// Datagrams that were left out and probes for others that were not made, at their bounds.
    pub left_out: u64,
    pub unhelped: u64,
    /// News that wait, and those that gave way at the bound.
    pub news: usize,
    pub news_dropped: u64,
    pub names: usize,
    /// Views shown so far.
    pub changes: u64,
    /// Lives that this steward had.
    pub lives: u64,
    /// Comparisons begun.
    pub comparisons: u64,
    /// Times that this process was found not to have run for a round or more.
    pub stalls: u64,
}

/// Datagrams that wait to be sent at most: past it those that come later are left out, as if the network had lost them.
const OUT: usize = 512;

/// Others that are asked to probe in one's place.
const HELPERS: usize = 3;

/// Rounds without an answer by anybody after which a member takes itself for cut off.
const CUT_OFF: Time = 8;

/// Rounds between two knocks at an address where the fleet may be.
const KNOCK: u64 = 5;

pub struct View {
    cfg: Settings,
    rng: fastrand::Rng,
    me: Id,
    table: Table,
    /// Whom this member watches, and for which version of the table.
    watches: (u64, Vec<Id>),
    probes: Probes,
    spread: Spread,
    out: VecDeque<Send>,
    seq: u32,
    round: u64,
    /// When the next round begins, when those silent in this one are asked for by others, when news go out by themselves.
    round_at: Time,
    ask_at: Time,
    news_at: Time,
    /// This member was late for the end of its round, which waits for what came meanwhile.
    overdue: bool,
    /// When somebody last answered a probe of this member.
    answered: Time,
    /// A comparison is not begun before this.
    compare_at: Time,
    /// The members shown, their number and digest, and since when the table is another.
    shown: BTreeMap<Id, Life>,
    number: u32,
    digest: u64,
    changed: Option<(Time, Time)>,
    /// A new life is taken up then; rounds that it waits, doubled each time.
    again_at: Option<Time>,
    again: u32,
    last_life: Time,
    leaving: bool,
    figures: Figures,
}

impl View {
    /// A member from now on. `life`: higher than that of any start before; the wall clock will do.
    pub fn new(now: Time, life: Life, seed: u64, cfg: Settings) -> View {
        let mut rng = fastrand::Rng::with_seed(seed);
        let me = id(&cfg.name);
        let mut table = Table::default();
        let name = cfg.name.clone();
        table.merge(now, &Record { id: me, name, address: cfg.address, life, count: 0, state: State::In });
        // Spread over the round, so that stewards that start together don't probe together.
        let round_at = now + rng.i64(0..=cfg.round / 2);
        let (seq, round) = (rng.u32(..), rng.u64(..KNOCK));
        let mut view = View {
            me,
            rng,
            table,
            watches: (0, Vec::new()),
            probes: Probes::default(),
            spread: Spread::default(),
            out: VecDeque::new(),
            seq,
            round,
            round_at,
            ask_at: Time::MAX,
            news_at: Time::MAX,
            overdue: false,
            answered: now,
            compare_at: now,
            shown: BTreeMap::new(),
            number: 0,
            digest: 0,
            changed: None,
            again_at: None,
            again: 0,
            last_life: now,
            leaving: false,
            figures: Figures { lives: 1, ..Figures::default() },
            cfg,
        };
        view.spread.add(About::Record(me));
        view.show();
        view
    }

    pub fn life(&self) -> Life {
        self.table.get(self.me).map_or(0, |entry| entry.record.life)
    }

    /// What this steward reaches, to be told to the others.
    pub fn set_reach(&mut self, reach: Reach) {
        if let Some(own) = self.table.entries.get_mut(&self.me) {
            own.reach = reach;
        }
    }

    /// Number and digest of the view that is shown.
    pub fn shown(&self) -> (u32, u64) {
        (self.number, self.digest)
    }

    /// Names that the view shows, with their lives.
    pub fn names(&self) -> impl Iterator<Item = (&str, Life)> {
        let name = |of: &Id| self.table.get(*of).map_or("", |entry| entry.record.name.as_str());
        self.shown.iter().map(move |(of, life)| (name(of), *life))
    }

    /// Where the others in the view are reached.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let others = self.shown.keys().filter(|of| **of != self.me);
        others.filter_map(|of| self.table.get(*of)).map(|entry| entry.record.address)
    }

    /// What the others in the view said last that they reach.
    pub fn reaches(&self) -> impl Iterator<Item = Reach> + '_ {
        let others = self.shown.keys().filter(|of| **of != self.me);
        others
            .filter_map(|of| self.table.get(*of))
            .filter(|entry| entry.view.is_some())
            .map(|entry| entry.reach)
    }

    /// The whole view and the member at a place among all that are known, the lost ones as well.
    pub fn page(&self, now: Time, ask: &Ask) -> Page {
        let member = self.table.entries.iter().nth(usize::from(ask.index)).map(|(of, entry)| Shown {
            name: entry.record.name.clone(),
            life: entry.record.life,
            address: entry.record.address,
            state: entry.record.state,
            shown: self.shown.get(of) == Some(&entry.record.life),
            since_ms: ((now - entry.since) / 10).clamp(0, i64::from(u32::MAX)) as u32,
            accusers: entry.words.iter().filter(|word| word.accuses).map(|word| word.by).collect(),
            reach: entry.reach,
            view: match *of == self.me {
                true => Some((self.number, self.digest)),
                false => entry.view,
            },
        });
        Page {
            token: ask.token,
            index: ask.index,
            number: self.number,
            digest: self.digest,
            settled: self.is_settled(now),
            cut_off: self.is_cut_off(now),
            member,
        }
    }

    pub fn figures(&self) -> Figures {
        Figures {
            news: self.spread.len(),
            news_dropped: self.spread.dropped,
            names: self.table.entries.len(),
            ..self.figures
        }
    }

    /// Nobody answers: what is shown is this steward alone.
    pub fn is_cut_off(&self, now: Time) -> bool {
        self.table.members > 1 && now - self.answered > CUT_OFF * self.cfg.round
    }

    /// Whether everybody who is in the view and was heard of lately shows the same one, nobody is accused, and nothing is
    /// about to change. In a large fleet it is those heard of lately that say so.
    pub fn is_settled(&self, now: Time) -> bool {
        // Each member greets all others in turn.
        let lately = (self.table.members as Time + 10).min(64) * self.cfg.round;
        let same = |entry: &crate::Entry| {
            let heard = entry.view.filter(|_| now - entry.heard <= lately);
            match heard {
                Some((_, digest)) => digest == self.digest,
                None => self.table.members > 32,
            }
        };
        let mut others = self.table.members().filter(|(of, _)| *of != self.me);
        !self.is_cut_off(now)
            && self.changed.is_none()
            && others.all(|(_, entry)| same(entry) && entry.accused.is_none())
    }

    /// Says to the others that it leaves; the process may end after what [`View::poll`] hands out now.
    pub fn leave(&mut self, now: Time) {
        let Some(own) = self.table.get(self.me).map(|entry| entry.record.clone()) else { return };
        self.leaving = true;
        self.table.merge(now, &Record { state: State::Left, ..own });
        self.spread.add(About::Record(self.me));
        for to in self.some(2 * HELPERS) {
            self.send_news(to);
        }
    }

    pub fn next_timeout(&self) -> Time {
        let changed = self.changed.map_or(Time::MAX, |(last, first)| self.show_at(last, first));
        let again = self.again_at.unwrap_or(Time::MAX);
        self.round_at.min(self.ask_at).min(self.news_at).min(changed).min(again)
    }

    pub fn poll(&mut self) -> Option<Send> {
        let send = self.out.pop_front()?;
        self.figures.sent += 1;
        self.figures.sent_bytes += send.body.len() as u64;
        Some(send)
    }

    pub fn handle_timeout(&mut self, now: Time) {
        if now < self.next_timeout() || self.leaving {
            return;
        }
        // Guards against taking one's own standstill for the others' silence: nothing of it counts.
        if now - self.round_at > self.cfg.round {
            self.figures.stalls += 1;
            let gap = now - self.round_at;
            self.probes.forgive();
            self.answered += gap;
            for entry in self.table.entries.values_mut() {
                entry.accused = entry.accused.map(|at| at + gap);
                entry.outvoted = entry.outvoted.map(|at| at + gap);
            }
        }
        if self.again_at.is_some_and(|at| now >= at) {
            self.new_life(now);
        }
        if now >= self.ask_at {
            self.ask_at = Time::MAX;
            self.ask();
        }
        let late = now - self.round_at;
        if late > self.cfg.round / 10 && late <= self.cfg.round && !self.overdue {
            // Answers may have come meanwhile and wait to be taken in: they count.
            self.overdue = true;
            self.round_at = now + self.cfg.round / 20;
        } else if now >= self.round_at {
            self.overdue = false;
            self.end_round(now);
            self.judge(now);
            self.begin_round(now);
        }
        if now >= self.news_at {
            self.news_at = Time::MAX;
            for to in self.some(2) {
                self.send_news(to);
            }
            self.wake_for_news(now);
        }
        self.show_when_still(now);
    }

    /// A datagram whose envelope was found good: where it came from, what it is, and what it says.
    pub fn handle(&mut self, now: Time, from: SocketAddr, kind: Kind, body: &[u8]) {
        if self.leaving || body.len() > BODY || !self.read(now, from, kind, body) {
            self.figures.unreadable += u64::from(!self.leaving);
        }
        self.wake_for_news(now);
    }

    fn read(&mut self, now: Time, from: SocketAddr, kind: Kind, mut body: &[u8]) -> bool {
        match kind {
            Kind::Ping | Kind::Ack => {
                let Some(said) = Said::read(&mut body) else { return false };
                let Some(items) = Item::read_all(body) else { return false };
                items.into_iter().for_each(|item| self.learn(now, item));
                self.said(now, &said);
                if kind == Kind::Ping {
                    self.answer(now, from, &said);
                } else {
                    self.answered_by(now, &said);
                }
                self.compare(now, from, &said);
                true
            }
            Kind::Ask => {
                let (Some(seq), Some(of)) = (number::<4>(&mut body), number::<8>(&mut body)) else {
                    return false;
                };
                self.help(now, from, seq as u32, of);
                true
            }
            Kind::Heard => {
                let Some(seq) = number::<4>(&mut body) else { return false };
                if self.probes.answered(seq as u32).is_some() {
                    self.answered = now;
                }
                true
            }
            Kind::Gossip => {
                let items = Item::read_all(body);
                let readable = items.is_some();
                items.into_iter().flatten().for_each(|item| self.learn(now, item));
                readable
            }
            Kind::Sum => {
                let Some(range) = Range::read(&mut body) else { return false };
                let mut digests = [0; Range::PARTS as usize];
                for digest in &mut digests {
                    let Some(told) = number::<8>(&mut body) else { return false };
                    *digest = told;
                }
                self.summed(from, range, &digests);
                true
            }
            Kind::Push => {
                let Some(range) = Range::read(&mut body) else { return false };
                let Some(items) = Item::read_all(body) else { return false };
                self.pushed(now, from, range, items);
                true
            }
            Kind::Show => {
                let Some(ask) = Ask::read(body) else { return false };
                let page = self.page(now, &ask);
                self.send(from, Kind::Shown, page.write());
                true
            }
            // Whoever asked reads it elsewhere.
            Kind::Shown => true,
        }
    }

    // What is learnt.

    fn learn(&mut self, now: Time, item: Item) {
        match item {
            Item::Record(record) => self.learn_record(now, &record),
            Item::Word(word) if word.of == self.me => self.accused(now, &word),
            Item::Word(word) => {
                // One's own word comes back by others.
                if word.by != self.me && self.table.word(now, word) {
                    self.spread.add(About::Word(word.of, word.by));
                } else if self
                    .table
                    .get(word.of)
                    .is_some_and(|entry| (entry.record.life, entry.record.count) > (word.life, word.count))
                {
                    // It was answered, and whoever says so has not heard of it: on a bad link once is not enough.
                    self.spread.add(About::Record(word.of));
                }
            }
        }
    }

    fn learn_record(&mut self, now: Time, record: &Record) {
        let of = record.id;
        if of == self.me {
            return self.told_of_itself(now, record);
        }
        match self.table.merge(now, record) {
            Merged::News => {
                self.spread.add(About::Record(of));
                let watched = self.probes.watched.get_mut(&of);
                if let Some(watched) = watched.filter(|_| record.count > 0 && record.state == State::In) {
                    // It answered: the word on it was wrong, or the link to it alone is bad.
                    if watched.accuses {
                        watched.patience = (2 * watched.patience + 1).min(PATIENCE);
                    }
                    (watched.strikes, watched.accuses) = (0, false);
                }
                self.touched(now);
            }
            // Whoever says so lags behind: it hears of it again.
            Merged::Older if record.state == State::In => self.spread.add(About::Record(of)),
            _ => {}
        }
    }

    /// Others have a record of this steward.
    fn told_of_itself(&mut self, now: Time, record: &Record) {
        let Some(own) = self.table.get(self.me).map(|entry| entry.record.clone()) else { return };
        if record.life > own.life || record.life == own.life && record.state != State::In {
            // That life is over, or an earlier process had a clock that ran ahead: another one is taken up, later each
            // time, so that a steward on a bad link does not come and go without end.
            if self.again_at.is_none() {
                let known = Record { life: record.life, ..own };
                self.table.merge(now, &Record { state: record.state.max(State::Left), ..known });
                if now - self.last_life > 200 * self.cfg.round {
                    self.again = 0;
                }
                let wait = (1 << self.again.min(6)) * self.cfg.round / 2;
                self.again += 1;
                self.again_at = Some(now + wait + self.rng.i64(0..=self.cfg.round / 2));
                self.touched(now);
            }
        } else if (record.life, record.count) < (own.life, own.count) || record.address != own.address {
            self.spread.add(About::Record(self.me));
        }
    }

    fn new_life(&mut self, now: Time) {
        self.again_at = None;
        self.last_life = now;
        self.figures.lives += 1;
        let name = self.cfg.name.clone();
        let life = self.life().saturating_add(1);
        self.table.merge(
            now,
            &Record { id: self.me, name, address: self.cfg.address, life, count: 0, state: State::In },
        );
        self.spread.add(About::Record(self.me));
        self.touched(now);
        self.wake_for_news(now);
    }

    /// A word against this steward itself.
    fn accused(&mut self, now: Time, word: &Word) {
        let Some(own) = self.table.get(self.me).map(|entry| entry.record.clone()) else { return };
        if word.accuses && own.state == State::In && (word.life, word.count) == (own.life, own.count) {
            self.table.merge(now, &Record { count: own.count.saturating_add(1), ..own });
            self.spread.add(About::Record(self.me));
        }
    }

    /// What a member says of itself.
    fn said(&mut self, now: Time, said: &Said) {
        if let Some(entry) =
            self.table.entries.get_mut(&said.from).filter(|entry| entry.record.life == said.life)
        {
            (entry.view, entry.reach, entry.heard) = (Some((said.number, said.view)), said.reach, now);
        }
    }

    fn answer(&mut self, now: Time, to: SocketAddr, said: &Said) {
        let known = self.table.get(said.from).map(|entry| &entry.record);
        let mut body = self.saying(said.seq);
        if let Some(known) = known.filter(|known| known.life > said.life || known.state != State::In) {
            // It is told at once that its life is over.
            Item::Record(known.clone()).write(&mut body);
        }
        self.spread.fill(&self.table, Some(said.from), &mut body, BODY);
        self.send(to, Kind::Ack, body);
        self.wake_for_news(now);
    }

    fn answered_by(&mut self, now: Time, said: &Said) {
        if self.probes.answered(said.seq).is_some() {
            self.answered = now;
        } else if let Some(helped) = self.probes.helped.remove(&said.seq) {
            let mut body = Vec::new();
            body.put_u32(helped.seq);
            self.send(helped.to, Kind::Heard, body);
        }
    }

    fn help(&mut self, now: Time, to: SocketAddr, seq: u32, of: Id) {
        self.probes.helped.retain(|_, helped| helped.until > now);
        let Some(address) = self.table.get(of).map(|entry| entry.record.address) else { return };
        if self.probes.helped.len() >= HELPED {
            self.figures.unhelped += 1;
            return;
        }
        let own = self.next_seq();
        self.probes.helped.insert(own, Helped { to, seq, until: now + self.cfg.round });
        self.send_probe(own, Some(of), address);
    }

    // What is sent.

    /// Some others, by chance, each once.
    fn some(&mut self, count: usize) -> Vec<Id> {
        let mut others: Vec<Id> =
            self.table.members().map(|(of, _)| of).filter(|of| *of != self.me).collect();
        self.rng.shuffle(&mut others);
        others.truncate(count);
        others
    }

    fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    fn saying(&self, seq: u32) -> Vec<u8> {
        let own = self.table.get(self.me);
        let said = Said {
            seq,
            from: self.me,
            life: self.life(),
            number: self.number,
            view: self.digest,
            table: self.table.digest,
            reach: own.map_or(Reach::default(), |own| own.reach),
        };
        let mut body = Vec::with_capacity(BODY);
        said.write(&mut body);
        debug_assert_eq!(body.len(), SAID);
        body
    }

    fn send_probe(&mut self, seq: u32, of: Option<Id>, to: SocketAddr) {
        let mut body = self.saying(seq);
        self.spread.fill(&self.table, of, &mut body, BODY);
        self.send(to, Kind::Ping, body);
    }

    fn send_news(&mut self, to: Id) {
        let Some(address) = self.table.get(to).map(|entry| entry.record.address) else { return };
        let mut body = Vec::with_capacity(BODY);
        self.spread.fill(&self.table, Some(to), &mut body, BODY);
        if !body.is_empty() {
            self.send(address, Kind::Gossip, body);
        }
    }

    /// News don't wait for the next round.
    fn wake_for_news(&mut self, now: Time) {
        if self.spread.len() > 0 && self.table.members > 1 {
            self.news_at = self.news_at.min(now + self.cfg.round / 4);
        }
    }

    fn send(&mut self, to: SocketAddr, kind: Kind, body: Vec<u8>) {
        if self.out.len() < OUT {
            self.out.push_back(Send { to, kind, body });
        } else {
            self.figures.left_out += 1;
        }
    }
}

fn number<const BYTES: usize>(body: &mut &[u8]) -> Option<u64> {
    let (bytes, rest) = body.split_first_chunk::<BYTES>()?;
    *body = rest;
    Some(bytes.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte)))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::probe::Watched;

    #[test]
    fn whoever_is_watched_no_more_says_nothing_of_ones_own_link() {
        let at: SocketAddr = ([127, 0, 0, 1], 9).into();
        let mut view = View::new(0, 1, 1, Settings::new("a", at, &[]));
        // It answered once of sixteen rounds, and has been gone since.
        let past = Watched { history: 1, rounds: 16, patience: 3, ..Watched::default() };
        view.probes.watched.insert(id("b"), past);
        assert!(view.probes.is_bad_link());
        view.handle_timeout(view.round_at);
        assert!(!view.probes.is_bad_link());
    }
}

//! What a member does each round: it probes those that it watches, says whether they answer, and drops those that enough
//! accuse.

use std::net::SocketAddr;

use bytes::BufMut;

use super::{View, HELPERS, KNOCK};
use crate::gossip::About;
use crate::probe::{Probe, STRIKES};
use crate::table::{Record, State, Word};
use crate::wire::{Item, Kind, BODY};
use crate::{Id, Time};

/// Rounds in which a word may be answered, before the one that it speaks of is dropped.
const ANSWER: Time = 3;

impl View {
    pub(super) fn end_round(&mut self, now: Time) {
        self.probes.end_round();
        let subjects = self.subjects();
        let helped: Vec<Id> = self.helping();
        // Whoever is not looked at any more has a history that stands still, which says nothing of one's own link.
        self.probes.watched.retain(|of, _| subjects.contains(of) || helped.contains(of));
        let watched: Vec<(Id, bool)> = self
            .probes
            .watched
            .iter()
            .map(|(of, watched)| (*of, watched.strikes >= STRIKES * (1 + watched.patience)))
            .collect();
        let doubtful = self.probes.is_bad_link() && !self.cfg.switches.single_observer;
        for (of, silent) in watched.into_iter().filter(|(_, silent)| !(*silent && doubtful)) {
            self.have_a_word(now, of, silent);
        }
    }

    /// Whom this member watches, worked out anew when somebody came or went.
    fn subjects(&mut self) -> Vec<Id> {
        if self.watches.0 != self.table.version {
            self.watches = (self.table.version, self.table.subjects(self.me));
        }
        self.watches.1.clone()
    }

    /// Members whose case nobody else's word decides: each member looks at some of them itself, chosen by chance.
    fn helping(&self) -> Vec<Id> {
        let undecided = |entry: &crate::Entry| {
            entry.accusers() > 0 && entry.accusers() <= 1 + entry.vouchers() && entry.words.len() < 6
        };
        let all = self.table.members().filter(|(of, entry)| *of != self.me && undecided(entry));
        all.map(|(of, _)| of).take(8).collect()
    }

    /// Tells the others whether one that is watched answers, where that is of use to them.
    fn have_a_word(&mut self, now: Time, of: Id, silent: bool) {
        let Some(entry) = self.table.get(of).filter(|entry| entry.record.state == State::In) else { return };
        let (life, count) = (entry.record.life, entry.record.count);
        let known = entry.words.iter().find(|word| word.by == self.me).map(|word| word.accuses);
        // Without an accusation there is nothing to vouch for. What one has strikes against is not vouched for.
        let strikes = self.probes.watched.get(&of).map_or(0, |watched| watched.strikes);
        let says = silent || entry.accusers() > 0 && strikes == 0;
        if !says || known == Some(silent) || self.again_at.is_some() {
            return;
        }
        let watched = self.probes.watched.entry(of).or_default();
        watched.seq = watched.seq.wrapping_add(1);
        watched.accuses = silent;
        let word = Word { of, life, count, by: self.me, seq: watched.seq, accuses: silent };
        if self.table.word(now, word) {
            self.spread.add(About::Word(of, self.me));
        }
    }

    /// Drops those that several say do not answer, more than say they do, and that had the time to say otherwise.
    pub(super) fn judge(&mut self, now: Time) {
        // Whoever hears from nobody can't tell whether it is the others that are lost, nor would it hear them say otherwise.
        // Nor can one on a bad link: what it holds for silence others hear answered.
        let switches = self.cfg.switches;
        if !self.probes.heard || self.probes.is_bad_link() && !switches.single_observer {
            return;
        }
        let time = if switches.no_suspicion { 0 } else { ANSWER * self.cfg.round };
        let lost = |entry: &crate::Entry| {
            let since = if switches.single_observer { entry.accused } else { entry.outvoted };
            since.is_some_and(|at| now - at >= time)
        };
        let lost: Vec<Record> = self
            .table
            .members()
            .filter(|(of, entry)| *of != self.me && lost(entry))
            .map(|(_, entry)| entry.record.clone())
            .collect();
        for record in lost {
            self.learn_record(now, &Record { state: State::Gone, ..record });
        }
    }

    pub(super) fn begin_round(&mut self, now: Time) {
        let round = self.cfg.round;
        self.round += 1;
        // A little chance, so that rounds of different members don't stay in step.
        self.round_at = now + round - self.rng.i64(0..=round / 10);
        self.ask_at = now + round / 3;
        if self.again_at.is_none() {
            let mut targets = self.subjects();
            let helping = self.helping();
            // By chance some two or three members in the whole fleet.
            let part = 3.0 / self.table.members.max(1) as f64;
            for of in helping {
                // Whoever began to look and saw no answer goes on until it can say so.
                let begun = self.probes.watched.get(&of).is_some_and(|watched| watched.strikes > 0);
                if !targets.contains(&of) && (begun || self.rng.f64() < part) {
                    targets.push(of);
                }
            }
            for of in targets {
                self.probe(of);
            }
            // And everybody in turn, to hear which view it has.
            let others: Vec<Id> =
                self.table.members().map(|(of, _)| of).filter(|of| *of != self.me).collect();
            if !others.is_empty() {
                let greeted = others[(self.round % others.len() as u64) as usize];
                let seq = self.next_seq();
                let address = self.table.get(greeted).map(|entry| entry.record.address);
                address.into_iter().for_each(|to| self.send_probe(seq, Some(greeted), to));
            }
        }
        self.knock(now);
        self.wake_for_news(now);
    }

    fn probe(&mut self, of: Id) {
        let Some(address) = self.table.get(of).map(|entry| entry.record.address) else { return };
        let seq = self.next_seq();
        self.probes.under_way.insert(seq, Probe { of, answered: false });
        self.send_probe(seq, Some(of), address);
    }

    /// Has others probe those that were silent so far.
    pub(super) fn ask(&mut self) {
        let silent = self.probes.under_way.iter().filter(|(_, probe)| !probe.answered);
        let silent: Vec<(u32, Id)> = silent.map(|(seq, probe)| (*seq, probe.of)).collect();
        for (seq, of) in silent {
            for helper in self.some(HELPERS + 1).into_iter().filter(|helper| *helper != of).take(HELPERS) {
                let Some(to) = self.table.get(helper).map(|entry| entry.record.address) else { continue };
                let mut body = Vec::new();
                body.put_u32(seq);
                body.put_u64(of);
                self.send(to, Kind::Ask, body);
            }
        }
    }

    /// Tries an address where the fleet may be: while alone each round, else now and then, so that parts that lost
    /// each other find together again.
    fn knock(&mut self, now: Time) {
        let alone = self.table.members <= 1;
        if !alone && !self.round.is_multiple_of(KNOCK) {
            return;
        }
        let known =
            |address: &SocketAddr| self.table.members().any(|(_, entry)| entry.record.address == *address);
        let forget = self.cfg.forget;
        let lost = self.table.entries.values().filter(|entry| {
            entry.record.state == State::Gone
                && now - entry.since < forget
                && entry.record.name != self.cfg.name
        });
        let lost: Vec<SocketAddr> = lost.map(|entry| entry.record.address).collect();
        let peers: Vec<SocketAddr> =
            self.cfg.peers.iter().copied().filter(|at| !known(at) && *at != self.cfg.address).collect();
        // One of either kind, so that many lost ones don't hide the peers.
        for from in [lost, peers] {
            if !from.is_empty() {
                let to = from[self.rng.usize(..from.len())];
                let seq = self.next_seq();
                self.knock_at(seq, to);
            }
        }
    }

    fn knock_at(&mut self, seq: u32, to: SocketAddr) {
        let mut body = self.saying(seq);
        if let Some(own) = self.table.get(self.me) {
            Item::Record(own.record.clone()).write(&mut body);
        }
        self.spread.fill(&self.table, None, &mut body, BODY);
        self.send(to, Kind::Ping, body);
    }
}

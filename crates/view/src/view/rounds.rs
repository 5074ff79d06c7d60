//! A probe round: probes this member's subjects, votes on whether they answer, and drops members that enough observers
//! suspect.

use std::net::SocketAddr;

use bytes::BufMut;

use super::{View, PROBE_HELPERS, REJOIN_PROBE_ROUNDS};
use crate::gossip::GossipKey;
use crate::probe::{Probe, SUSPECT_AFTER_ROUNDS};
use crate::table::{Record, State, Vote};
use crate::wire::{Item, Kind, MAX_BODY_LENGTH};
use crate::{Id, Time};

/// Rounds that a suspected member has to refute before it is dropped.
const REFUTATION_ROUNDS: Time = 3;

impl View {
    /// Evaluates the probes of the round that ends, and votes on the subjects.
    pub(super) fn end_round(&mut self, now: Time) {
        self.probes.end_round();
        let subjects = self.subjects();
        let undecided: Vec<Id> = self.undecided_members();
        // The history of a member that is no longer probed is out of date and must not count for the state of the own link.
        self.probes.subjects.retain(|id, _| subjects.contains(id) || undecided.contains(id));
        let results: Vec<(Id, bool)> = self
            .probes
            .subjects
            .iter()
            .map(|(id, subject)| (*id, subject.missed_rounds >= SUSPECT_AFTER_ROUNDS * (1 + subject.backoff)))
            .collect();
        let own_link_bad = self.probes.is_own_link_bad() && !self.cfg.toggles.single_observer;
        for (id, silent) in results.into_iter().filter(|(_, silent)| !(*silent && own_link_bad)) {
            self.cast_vote(now, id, silent);
        }
    }

    /// The members that this one observes, recomputed when the membership has changed.
    fn subjects(&mut self) -> Vec<Id> {
        if self.subjects_cache.0 != self.table.version {
            self.subjects_cache = (self.table.version, self.table.subjects(self.me));
        }
        self.subjects_cache.1.clone()
    }

    /// Suspected members whose votes are too few or too balanced to decide. Besides their observers, a few members chosen
    /// at random probe them.
    fn undecided_members(&self) -> Vec<Id> {
        let undecided = |entry: &crate::Entry| {
            entry.suspect_votes() > 0
                && entry.suspect_votes() <= 1 + entry.alive_votes()
                && entry.votes.len() < 6
        };
        let all = self.table.members().filter(|(id, entry)| *id != self.me && undecided(entry));
        all.map(|(id, _)| id).take(8).collect()
    }

    /// Votes on whether a probed member answers, unless this member has voted so already or the vote would not matter.
    fn cast_vote(&mut self, now: Time, id: Id, silent: bool) {
        let Some(entry) = self.table.get(id).filter(|entry| entry.record.state == State::Alive) else {
            return;
        };
        let (incarnation, refutations) = (entry.record.incarnation, entry.record.refutations);
        let previous = entry.votes.iter().find(|vote| vote.observer == self.me).map(|vote| vote.suspects);
        // A vote that it is alive only matters against a suspicion, and is not cast after missed rounds.
        let missed_rounds = self.probes.subjects.get(&id).map_or(0, |subject| subject.missed_rounds);
        let has_vote = silent || entry.suspect_votes() > 0 && missed_rounds == 0;
        if !has_vote || previous == Some(silent) || self.rejoin_at.is_some() {
            return;
        }
        let subject = self.probes.subjects.entry(id).or_default();
        subject.seq = subject.seq.wrapping_add(1);
        subject.suspected = silent;
        let vote = Vote {
            subject: id,
            incarnation,
            refutations,
            observer: self.me,
            seq: subject.seq,
            suspects: silent,
        };
        if self.table.record_vote(now, vote) {
            self.gossip.add(GossipKey::Vote(id, self.me));
        }
    }

    /// Drops members that have had a majority of suspicions for longer than the time to refute.
    pub(super) fn drop_failed(&mut self, now: Time) {
        // A member that receives no answers can't tell whether the others have failed, and would not receive their
        // refutations. Nor can one on a bad link, which misses answers that others receive.
        let toggles = self.cfg.toggles;
        if !self.probes.any_answered || self.probes.is_own_link_bad() && !toggles.single_observer {
            return;
        }
        let refutation_time = if toggles.no_suspicion { 0 } else { REFUTATION_ROUNDS * self.cfg.round };
        let lost = |entry: &crate::Entry| {
            let since =
                if toggles.single_observer { entry.suspected_since } else { entry.suspect_majority_since };
            since.is_some_and(|at| now - at >= refutation_time)
        };
        let lost: Vec<Record> = self
            .table
            .members()
            .filter(|(id, entry)| *id != self.me && lost(entry))
            .map(|(_, entry)| entry.record.clone())
            .collect();
        for record in lost {
            self.learn_record(now, &Record { state: State::Gone, ..record });
        }
    }

    /// Sends the probes of the next round.
    pub(super) fn begin_round(&mut self, now: Time) {
        let round = self.cfg.round;
        self.round += 1;
        // Jitter, so that the rounds of different members don't stay in step.
        self.round_at = now + round - self.rng.i64(0..=round / 10);
        self.indirect_at = now + round / 3;
        if self.rejoin_at.is_none() {
            let mut targets = self.subjects();
            let undecided = self.undecided_members();
            // Some two or three members of the whole fleet probe an undecided one.
            let probability = 3.0 / self.table.member_count.max(1) as f64;
            for id in undecided {
                // Once a probe was missed, this member goes on until it can vote.
                let started = self.probes.subjects.get(&id).is_some_and(|subject| subject.missed_rounds > 0);
                if !targets.contains(&id) && (started || self.rng.f64() < probability) {
                    targets.push(id);
                }
            }
            for id in targets {
                self.probe(id);
            }
            // All members in turn are probed as well, to exchange the view and table digests.
            let others: Vec<Id> =
                self.table.members().map(|(id, _)| id).filter(|id| *id != self.me).collect();
            if !others.is_empty() {
                let next = others[(self.round % others.len() as u64) as usize];
                let seq = self.next_seq();
                let address = self.table.get(next).map(|entry| entry.record.address);
                address.into_iter().for_each(|to| self.send_probe(seq, Some(next), to));
            }
        }
        self.probe_lost_and_peers(now);
        self.schedule_gossip(now);
    }

    fn probe(&mut self, id: Id) {
        let Some(address) = self.table.get(id).map(|entry| entry.record.address) else { return };
        let seq = self.next_seq();
        self.probes.pending.insert(seq, Probe { target: id, answered: false });
        self.send_probe(seq, Some(id), address);
    }

    /// Asks other members to probe the targets that have not answered yet.
    pub(super) fn request_indirect_probes(&mut self) {
        let silent = self.probes.pending.iter().filter(|(_, probe)| !probe.answered);
        let silent: Vec<(u32, Id)> = silent.map(|(seq, probe)| (*seq, probe.target)).collect();
        for (seq, id) in silent {
            for helper in self
                .random_members(PROBE_HELPERS + 1)
                .into_iter()
                .filter(|helper| *helper != id)
                .take(PROBE_HELPERS)
            {
                let Some(to) = self.table.get(helper).map(|entry| entry.record.address) else { continue };
                let mut body = Vec::new();
                body.put_u32(seq);
                body.put_u64(id);
                self.send(to, Kind::ProbeRequest, body);
            }
        }
    }

    /// Probes the address of a lost member and of a configured peer, each round while alone, else every
    /// [`REJOIN_PROBE_ROUNDS`] rounds, so that the parts of a split fleet merge again.
    fn probe_lost_and_peers(&mut self, now: Time) {
        let alone = self.table.member_count <= 1;
        if !alone && !self.round.is_multiple_of(REJOIN_PROBE_ROUNDS) {
            return;
        }
        let known =
            |address: &SocketAddr| self.table.members().any(|(_, entry)| entry.record.address == *address);
        let forget = self.cfg.forget;
        let lost = self.table.entries.values().filter(|entry| {
            entry.record.state == State::Gone
                && now - entry.state_since < forget
                && entry.record.name != self.cfg.name
        });
        let lost: Vec<SocketAddr> = lost.map(|entry| entry.record.address).collect();
        let peers: Vec<SocketAddr> =
            self.cfg.peers.iter().copied().filter(|at| !known(at) && *at != self.cfg.address).collect();
        // One address of each list, so that many lost members don't keep the peers from being tried.
        for addresses in [lost, peers] {
            if !addresses.is_empty() {
                let to = addresses[self.rng.usize(..addresses.len())];
                let seq = self.next_seq();
                self.send_join_probe(seq, to);
            }
        }
    }

    /// Sends a probe with this member's own record, for a receiver that may not know it.
    fn send_join_probe(&mut self, seq: u32, to: SocketAddr) {
        let mut body = self.status_body(seq);
        if let Some(own) = self.table.get(self.me) {
            Item::Record(own.record.clone()).write(&mut body);
        }
        self.gossip.fill(&self.table, None, &mut body, MAX_BODY_LENGTH);
        self.send(to, Kind::Ping, body);
    }
}

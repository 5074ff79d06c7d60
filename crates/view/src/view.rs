//! One steward's view of the fleet.

mod compare;
mod rounds;
mod stability;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use bytes::BufMut;

use crate::gossip::{GossipKey, GossipQueue};
use crate::probe::{IndirectProbe, Probes, MAX_BACKOFF, MAX_INDIRECT_PROBES};
use crate::show::{MemberInfo, Page, PageRequest};
use crate::table::{Merged, Record, State, Table, Vote};
use crate::wire::{Item, Kind, Range, SenderStatus, MAX_BODY_LENGTH, STATUS_LENGTH};
use crate::{id, Datagram, ForwarderSummary, Id, Incarnation, Settings, Time};

/// Counters and queue lengths for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Datagrams sent, and the bytes of their bodies.
    pub sent: u64,
    pub sent_bytes: u64,
    /// Malformed bodies received.
    pub unreadable: u64,
    /// Datagrams dropped because too many waited to be sent.
    pub dropped_sends: u64,
    /// Requests for indirect probes refused because too many were in flight.
    pub refused_indirect_probes: u64,
    /// Updates queued, and updates dropped because the queue was full.
    pub queued_updates: usize,
    pub dropped_updates: u64,
    /// Names in the membership table, the lost ones included.
    pub names: usize,
    /// Views shown so far.
    pub changes: u64,
    /// Incarnations of this steward since its process started.
    pub incarnations: u64,
    /// Table comparisons started.
    pub comparisons: u64,
    /// Times that this process was found to have been paused for a round or more.
    pub stalls: u64,
}

/// Datagrams that may wait to be sent; further ones are dropped, as if the network had lost them.
const MAX_QUEUED_SENDS: usize = 512;

/// Members asked for an indirect probe of a target that has not answered.
const PROBE_HELPERS: usize = 3;

/// Rounds without any answer after which a member considers itself cut off.
const CUT_OFF_ROUNDS: Time = 8;

/// Rounds between two probes of lost members and configured peers.
const REJOIN_PROBE_ROUNDS: u64 = 5;

/// The membership protocol of one steward: probes, votes, gossip, anti-entropy, and the view that comes of them.
pub struct View {
    cfg: Settings,
    rng: fastrand::Rng,
    me: Id,
    table: Table,
    /// The members that this one observes, with the table version that they were computed for.
    subjects_cache: (u64, Vec<Id>),
    probes: Probes,
    gossip: GossipQueue,
    outgoing: VecDeque<Datagram>,
    seq: u32,
    round: u64,
    /// When the next round begins.
    round_at: Time,
    /// When indirect probes of the targets that have not answered are requested.
    indirect_at: Time,
    /// When updates are sent in datagrams of their own.
    gossip_at: Time,
    /// The end of the round came late and was put off once, to take in the datagrams that arrived meanwhile.
    round_end_deferred: bool,
    /// When a probe of this member was last answered.
    last_answer_at: Time,
    /// The earliest time of the next comparison.
    next_compare_at: Time,
    /// Members of the current view.
    shown: BTreeMap<Id, Incarnation>,
    view_number: u32,
    view_digest: u64,
    /// When the table last and first changed since the current view.
    changed: Option<(Time, Time)>,
    /// When this member starts a new incarnation after it was dropped.
    rejoin_at: Option<Time>,
    /// Recent rejoins; the wait doubles with each.
    rejoin_attempts: u32,
    last_incarnation_at: Time,
    leaving: bool,
    metrics: Metrics,
}

impl View {
    /// Joins as a member. The incarnation must be higher than at any earlier start, such as wall-clock milliseconds.
    pub fn new(now: Time, incarnation: Incarnation, seed: u64, cfg: Settings) -> View {
        let mut rng = fastrand::Rng::with_seed(seed);
        let me = id(&cfg.name);
        let mut table = Table::default();
        let name = cfg.name.clone();
        table.merge(
            now,
            &Record { id: me, name, address: cfg.address, incarnation, refutations: 0, state: State::Alive },
        );
        // A random phase, so that stewards that start together don't probe together.
        let round_at = now + rng.i64(0..=cfg.round / 2);
        let (seq, round) = (rng.u32(..), rng.u64(..REJOIN_PROBE_ROUNDS));
        let mut view = View {
            me,
            rng,
            table,
            subjects_cache: (0, Vec::new()),
            probes: Probes::default(),
            gossip: GossipQueue::default(),
            outgoing: VecDeque::new(),
            seq,
            round,
            round_at,
            indirect_at: Time::MAX,
            gossip_at: Time::MAX,
            round_end_deferred: false,
            last_answer_at: now,
            next_compare_at: now,
            shown: BTreeMap::new(),
            view_number: 0,
            view_digest: 0,
            changed: None,
            rejoin_at: None,
            rejoin_attempts: 0,
            last_incarnation_at: now,
            leaving: false,
            metrics: Metrics { incarnations: 1, ..Metrics::default() },
            cfg,
        };
        view.gossip.add(GossipKey::Record(me));
        view.show();
        view
    }

    /// This member's current incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.table.get(self.me).map_or(0, |entry| entry.record.incarnation)
    }

    /// Sets the forwarders joined to this steward, which it reports to the others.
    pub fn set_forwarders(&mut self, forwarders: ForwarderSummary) {
        if let Some(own) = self.table.entries.get_mut(&self.me) {
            own.forwarders = forwarders;
        }
    }

    /// Number and digest of the current view.
    pub fn current_view(&self) -> (u32, u64) {
        (self.view_number, self.view_digest)
    }

    /// Names in the view, with their incarnations.
    pub fn names(&self) -> impl Iterator<Item = (&str, Incarnation)> {
        let name = |id: &Id| self.table.get(*id).map_or("", |entry| entry.record.name.as_str());
        self.shown.iter().map(move |(id, incarnation)| (name(id), *incarnation))
    }

    /// Addresses of the other members in the view.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let others = self.shown.keys().filter(|id| **id != self.me);
        others.filter_map(|id| self.table.get(*id)).map(|entry| entry.record.address)
    }

    /// The forwarders that the other members in the view last reported as joined to them.
    pub fn forwarder_summaries(&self) -> impl Iterator<Item = ForwarderSummary> + '_ {
        let others = self.shown.keys().filter(|id| **id != self.me);
        others
            .filter_map(|id| self.table.get(*id))
            .filter(|entry| entry.reported_view.is_some())
            .map(|entry| entry.forwarders)
    }

    /// Summary of the view and the entry at an index of all known names, the lost ones included.
    pub fn page(&self, now: Time, request: &PageRequest) -> Page {
        let member =
            self.table.entries.iter().nth(usize::from(request.index)).map(|(id, entry)| MemberInfo {
                name: entry.record.name.clone(),
                incarnation: entry.record.incarnation,
                address: entry.record.address,
                state: entry.record.state,
                shown: self.shown.get(id) == Some(&entry.record.incarnation),
                since_ms: ((now - entry.state_since) / 10).clamp(0, i64::from(u32::MAX)) as u32,
                suspected_by: entry
                    .votes
                    .iter()
                    .filter(|vote| vote.suspects)
                    .map(|vote| vote.observer)
                    .collect(),
                forwarders: entry.forwarders,
                view: match *id == self.me {
                    true => Some((self.view_number, self.view_digest)),
                    false => entry.reported_view,
                },
            });
        Page {
            token: request.token,
            index: request.index,
            number: self.view_number,
            digest: self.view_digest,
            settled: self.is_settled(now),
            cut_off: self.is_cut_off(now),
            member,
        }
    }

    pub fn metrics(&self) -> Metrics {
        Metrics {
            queued_updates: self.gossip.len(),
            dropped_updates: self.gossip.dropped,
            names: self.table.entries.len(),
            ..self.metrics
        }
    }

    /// Returns true if no member has answered for `CUT_OFF_ROUNDS` rounds, so that the view is out of date.
    pub fn is_cut_off(&self, now: Time) -> bool {
        self.table.member_count > 1 && now - self.last_answer_at > CUT_OFF_ROUNDS * self.cfg.round
    }

    /// Returns true if all members with a recent status report this same view, none is suspected, and no change is
    /// pending. In a fleet of more than 32, members without a recent status are passed over.
    pub fn is_settled(&self, now: Time) -> bool {
        // Each member probes all others in turn.
        let recent = (self.table.member_count as Time + 10).min(64) * self.cfg.round;
        let same = |entry: &crate::Entry| {
            let reported = entry.reported_view.filter(|_| now - entry.reported_at <= recent);
            match reported {
                Some((_, digest)) => digest == self.view_digest,
                None => self.table.member_count > 32,
            }
        };
        let mut others = self.table.members().filter(|(id, _)| *id != self.me);
        !self.is_cut_off(now)
            && self.changed.is_none()
            && others.all(|(_, entry)| same(entry) && entry.suspected_since.is_none())
    }

    /// Leaves the fleet. The process may end once the datagrams that [`View::poll`] now returns are sent.
    pub fn leave(&mut self, now: Time) {
        let Some(own) = self.table.get(self.me).map(|entry| entry.record.clone()) else { return };
        self.leaving = true;
        self.table.merge(now, &Record { state: State::Left, ..own });
        self.gossip.add(GossipKey::Record(self.me));
        for to in self.random_members(2 * PROBE_HELPERS) {
            self.send_gossip(to);
        }
    }

    /// When [`View::handle_timeout`] is due next.
    pub fn next_timeout(&self) -> Time {
        let changed = self.changed.map_or(Time::MAX, |(last, first)| self.show_at(last, first));
        let rejoin = self.rejoin_at.unwrap_or(Time::MAX);
        self.round_at.min(self.indirect_at).min(self.gossip_at).min(changed).min(rejoin)
    }

    /// The next datagram to send.
    pub fn poll(&mut self) -> Option<Datagram> {
        let datagram = self.outgoing.pop_front()?;
        self.metrics.sent += 1;
        self.metrics.sent_bytes += datagram.body.len() as u64;
        Some(datagram)
    }

    /// Carries out what is due.
    pub fn handle_timeout(&mut self, now: Time) {
        if now < self.next_timeout() || self.leaving {
            return;
        }
        // This process was paused: missed answers of that time must not count against the other members.
        if now - self.round_at > self.cfg.round {
            self.metrics.stalls += 1;
            let gap = now - self.round_at;
            self.probes.discard_pending();
            self.last_answer_at += gap;
            for entry in self.table.entries.values_mut() {
                entry.suspected_since = entry.suspected_since.map(|at| at + gap);
                entry.suspect_majority_since = entry.suspect_majority_since.map(|at| at + gap);
            }
        }
        if self.rejoin_at.is_some_and(|at| now >= at) {
            self.start_incarnation(now);
        }
        if now >= self.indirect_at {
            self.indirect_at = Time::MAX;
            self.request_indirect_probes();
        }
        let late = now - self.round_at;
        if late > self.cfg.round / 10 && late <= self.cfg.round && !self.round_end_deferred {
            // Answers may already wait in the socket, and count for this round.
            self.round_end_deferred = true;
            self.round_at = now + self.cfg.round / 20;
        } else if now >= self.round_at {
            self.round_end_deferred = false;
            self.end_round(now);
            self.drop_failed(now);
            self.begin_round(now);
        }
        if now >= self.gossip_at {
            self.gossip_at = Time::MAX;
            for to in self.random_members(2) {
                self.send_gossip(to);
            }
            self.schedule_gossip(now);
        }
        self.show_when_stable(now);
    }

    /// Handles the body of a datagram whose envelope was verified.
    pub fn handle(&mut self, now: Time, from: SocketAddr, kind: Kind, body: &[u8]) {
        if self.leaving || body.len() > MAX_BODY_LENGTH || !self.read(now, from, kind, body) {
            self.metrics.unreadable += u64::from(!self.leaving);
        }
        self.schedule_gossip(now);
    }

    /// Returns false if the body is malformed.
    fn read(&mut self, now: Time, from: SocketAddr, kind: Kind, mut body: &[u8]) -> bool {
        match kind {
            Kind::Ping | Kind::Ack => {
                let Some(status) = SenderStatus::read(&mut body) else { return false };
                let Some(items) = Item::read_all(body) else { return false };
                items.into_iter().for_each(|item| self.learn(now, item));
                self.handle_status(now, &status);
                if kind == Kind::Ping {
                    self.send_ack(now, from, &status);
                } else {
                    self.handle_ack(now, &status);
                }
                self.compare(now, from, &status);
                true
            }
            Kind::ProbeRequest => {
                let (Some(seq), Some(id)) = (read_number::<4>(&mut body), read_number::<8>(&mut body)) else {
                    return false;
                };
                self.relay_probe(now, from, seq as u32, id);
                true
            }
            Kind::IndirectAck => {
                let Some(seq) = read_number::<4>(&mut body) else { return false };
                if self.probes.record_answer(seq as u32).is_some() {
                    self.last_answer_at = now;
                }
                true
            }
            Kind::Gossip => {
                let items = Item::read_all(body);
                let readable = items.is_some();
                items.into_iter().flatten().for_each(|item| self.learn(now, item));
                readable
            }
            Kind::Digests => {
                let Some(range) = Range::read(&mut body) else { return false };
                let mut digests = [0; Range::PARTS as usize];
                for digest in &mut digests {
                    let Some(value) = read_number::<8>(&mut body) else { return false };
                    *digest = value;
                }
                self.handle_digests(from, range, &digests);
                true
            }
            Kind::Push => {
                let Some(range) = Range::read(&mut body) else { return false };
                let Some(items) = Item::read_all(body) else { return false };
                self.handle_push(now, from, range, items);
                true
            }
            Kind::PageRequest => {
                let Some(request) = PageRequest::read(body) else { return false };
                let page = self.page(now, &request);
                self.send(from, Kind::Page, page.write());
                true
            }
            // Read by the clients that ask for pages, not by members.
            Kind::Page => true,
        }
    }

    // Updates received.

    fn learn(&mut self, now: Time, item: Item) {
        match item {
            Item::Record(record) => self.learn_record(now, &record),
            Item::Vote(vote) if vote.subject == self.me => self.refute(now, &vote),
            Item::Vote(vote) => {
                // This member's own votes come back from others.
                if vote.observer != self.me && self.table.record_vote(now, vote) {
                    self.gossip.add(GossipKey::Vote(vote.subject, vote.observer));
                } else if self.table.get(vote.subject).is_some_and(|entry| {
                    (entry.record.incarnation, entry.record.refutations)
                        > (vote.incarnation, vote.refutations)
                }) {
                    // The vote was refuted, but its sender does not know yet: on a bad link sending it once is not enough.
                    self.gossip.add(GossipKey::Record(vote.subject));
                }
            }
        }
    }

    fn learn_record(&mut self, now: Time, record: &Record) {
        let id = record.id;
        if id == self.me {
            return self.handle_own_record(now, record);
        }
        match self.table.merge(now, record) {
            Merged::Changed => {
                self.gossip.add(GossipKey::Record(id));
                let subject = self.probes.subjects.get_mut(&id);
                if let Some(subject) =
                    subject.filter(|_| record.refutations > 0 && record.state == State::Alive)
                {
                    // It refuted: the suspicion was wrong, or only the link to it is bad.
                    if subject.suspected {
                        subject.backoff = (2 * subject.backoff + 1).min(MAX_BACKOFF);
                    }
                    (subject.missed_rounds, subject.suspected) = (0, false);
                }
                self.mark_changed(now);
            }
            // The sender's table is out of date: the newer record is sent again.
            Merged::Stale if record.state == State::Alive => self.gossip.add(GossipKey::Record(id)),
            _ => {}
        }
    }

    /// Handles a record of this member itself, as others have it.
    fn handle_own_record(&mut self, now: Time, record: &Record) {
        let Some(own) = self.table.get(self.me).map(|entry| entry.record.clone()) else { return };
        if record.incarnation > own.incarnation
            || record.incarnation == own.incarnation && record.state != State::Alive
        {
            // This incarnation was dropped, or the clock of an earlier process ran ahead: start a new one, with an
            // exponential backoff, so that a steward on a bad link does not come and go without end.
            if self.rejoin_at.is_none() {
                let known = Record { incarnation: record.incarnation, ..own };
                self.table.merge(now, &Record { state: record.state.max(State::Left), ..known });
                if now - self.last_incarnation_at > 200 * self.cfg.round {
                    self.rejoin_attempts = 0;
                }
                let wait = (1 << self.rejoin_attempts.min(6)) * self.cfg.round / 2;
                self.rejoin_attempts += 1;
                self.rejoin_at = Some(now + wait + self.rng.i64(0..=self.cfg.round / 2));
                self.mark_changed(now);
            }
        } else if (record.incarnation, record.refutations) < (own.incarnation, own.refutations)
            || record.address != own.address
        {
            self.gossip.add(GossipKey::Record(self.me));
        }
    }

    /// Rejoins with the next incarnation.
    fn start_incarnation(&mut self, now: Time) {
        self.rejoin_at = None;
        self.last_incarnation_at = now;
        self.metrics.incarnations += 1;
        let name = self.cfg.name.clone();
        let incarnation = self.incarnation().saturating_add(1);
        self.table.merge(
            now,
            &Record {
                id: self.me,
                name,
                address: self.cfg.address,
                incarnation,
                refutations: 0,
                state: State::Alive,
            },
        );
        self.gossip.add(GossipKey::Record(self.me));
        self.mark_changed(now);
        self.schedule_gossip(now);
    }

    /// Answers a suspicion of this member's current record.
    fn refute(&mut self, now: Time, vote: &Vote) {
        let Some(own) = self.table.get(self.me).map(|entry| entry.record.clone()) else { return };
        if vote.suspects
            && own.state == State::Alive
            && (vote.incarnation, vote.refutations) == (own.incarnation, own.refutations)
        {
            self.table.merge(now, &Record { refutations: own.refutations.saturating_add(1), ..own });
            self.gossip.add(GossipKey::Record(self.me));
        }
    }

    /// Stores the view and forwarders that a member reports.
    fn handle_status(&mut self, now: Time, status: &SenderStatus) {
        if let Some(entry) = self
            .table
            .entries
            .get_mut(&status.from)
            .filter(|entry| entry.record.incarnation == status.incarnation)
        {
            (entry.reported_view, entry.forwarders, entry.reported_at) =
                (Some((status.view_number, status.view_digest)), status.forwarders, now);
        }
    }

    fn send_ack(&mut self, now: Time, to: SocketAddr, status: &SenderStatus) {
        let known = self.table.get(status.from).map(|entry| &entry.record);
        let mut body = self.status_body(status.seq);
        if let Some(known) =
            known.filter(|known| known.incarnation > status.incarnation || known.state != State::Alive)
        {
            // The sender's incarnation is over: it learns of that at once.
            Item::Record(known.clone()).write(&mut body);
        }
        self.gossip.fill(&self.table, Some(status.from), &mut body, MAX_BODY_LENGTH);
        self.send(to, Kind::Ack, body);
        self.schedule_gossip(now);
    }

    fn handle_ack(&mut self, now: Time, status: &SenderStatus) {
        if self.probes.record_answer(status.seq).is_some() {
            self.last_answer_at = now;
        } else if let Some(indirect) = self.probes.indirect.remove(&status.seq) {
            let mut body = Vec::new();
            body.put_u32(indirect.seq);
            self.send(indirect.requester, Kind::IndirectAck, body);
        }
    }

    /// Probes a member at another's request.
    fn relay_probe(&mut self, now: Time, requester: SocketAddr, seq: u32, id: Id) {
        self.probes.indirect.retain(|_, indirect| indirect.expires_at > now);
        let Some(address) = self.table.get(id).map(|entry| entry.record.address) else { return };
        if self.probes.indirect.len() >= MAX_INDIRECT_PROBES {
            self.metrics.refused_indirect_probes += 1;
            return;
        }
        let own_seq = self.next_seq();
        self.probes
            .indirect
            .insert(own_seq, IndirectProbe { requester, seq, expires_at: now + self.cfg.round });
        self.send_probe(own_seq, Some(id), address);
    }

    // Sending.

    /// Up to `count` other members at random, each once.
    fn random_members(&mut self, count: usize) -> Vec<Id> {
        let mut others: Vec<Id> =
            self.table.members().map(|(id, _)| id).filter(|id| *id != self.me).collect();
        self.rng.shuffle(&mut others);
        others.truncate(count);
        others
    }

    fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    /// A body that starts with this member's status.
    fn status_body(&self, seq: u32) -> Vec<u8> {
        let own = self.table.get(self.me);
        let status = SenderStatus {
            seq,
            from: self.me,
            incarnation: self.incarnation(),
            view_number: self.view_number,
            view_digest: self.view_digest,
            table_digest: self.table.digest,
            forwarders: own.map_or(ForwarderSummary::default(), |own| own.forwarders),
        };
        let mut body = Vec::with_capacity(MAX_BODY_LENGTH);
        status.write(&mut body);
        debug_assert_eq!(body.len(), STATUS_LENGTH);
        body
    }

    fn send_probe(&mut self, seq: u32, id: Option<Id>, to: SocketAddr) {
        let mut body = self.status_body(seq);
        self.gossip.fill(&self.table, id, &mut body, MAX_BODY_LENGTH);
        self.send(to, Kind::Ping, body);
    }

    fn send_gossip(&mut self, to: Id) {
        let Some(address) = self.table.get(to).map(|entry| entry.record.address) else { return };
        let mut body = Vec::with_capacity(MAX_BODY_LENGTH);
        self.gossip.fill(&self.table, Some(to), &mut body, MAX_BODY_LENGTH);
        if !body.is_empty() {
            self.send(address, Kind::Gossip, body);
        }
    }

    /// Sends queued updates within a quarter of a round rather than with the next round's probes.
    fn schedule_gossip(&mut self, now: Time) {
        if self.gossip.len() > 0 && self.table.member_count > 1 {
            self.gossip_at = self.gossip_at.min(now + self.cfg.round / 4);
        }
    }

    fn send(&mut self, to: SocketAddr, kind: Kind, body: Vec<u8>) {
        if self.outgoing.len() < MAX_QUEUED_SENDS {
            self.outgoing.push_back(Datagram { to, kind, body });
        } else {
            self.metrics.dropped_sends += 1;
        }
    }
}

fn read_number<const BYTES: usize>(body: &mut &[u8]) -> Option<u64> {
    let (bytes, rest) = body.split_first_chunk::<BYTES>()?;
    *body = rest;
    Some(bytes.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte)))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::probe::Subject;

    #[test]
    fn members_no_longer_observed_do_not_count_for_the_state_of_the_own_link() {
        let at: SocketAddr = ([127, 0, 0, 1], 9).into();
        let mut view = View::new(0, 1, 1, Settings::new("a", at, &[]));
        // It answered once in sixteen rounds, and has left the fleet since.
        let former = Subject { history: 1, rounds: 16, backoff: 3, ..Subject::default() };
        view.probes.subjects.insert(id("b"), former);
        assert!(view.probes.is_own_link_bad());
        view.handle_timeout(view.round_at);
        assert!(!view.probes.is_own_link_bad());
    }
}

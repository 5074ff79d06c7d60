//! One copy's part in the replicated log: Raft (Ongaro and Ousterhout 2014) with a vote before the vote and leaders that
//! step down when a majority is silent (Ongaro's thesis, 2014, 9.6 and 6.2), votes changed one at a time by the log (4.1),
//! reads by a round (6.4).
//!
//! Order of outputs: what is promised to others stands behind the [`Act::Save`] of what it promises, and is handed out
//! once [`Copy::saved`] has been called.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::log::{Body, Entry, Hash, Log};
use crate::members::{Member, Members};
use crate::{Id, Index, Term, Time};

/// Of one copy.
#[derive(Clone, Debug)]
pub struct Settings {
    pub name: String,
    /// Where others reach it.
    pub address: String,
    /// Between two signs of life of a leader.
    pub beat: Time,
    /// How many copies get a vote.
    pub votes: usize,
    pub switches: Switches,
}

/// What a test leaves out, to show that its judge sees it. Never set by the product.
#[derive(Clone, Copy, Debug, Default)]
pub struct Switches {
    /// A copy that starts again has forgotten whom it voted for.
    pub votes_not_kept: bool,
    /// A leader answers reads by itself.
    pub reads_unchecked: bool,
    /// A majority that has an entry of an earlier term commits it.
    pub older_terms_count: bool,
    /// Votes change though the change before is not committed.
    pub changes_at_once: bool,
}

/// What has to outlive the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Hard {
    /// The number of the fleet; 0: of none yet.
    pub fleet: u64,
    pub term: Term,
    pub vote: Option<Id>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Vote for me, whose log ends so. `before`: would you, if I asked?
    Ask {
        term: Term,
        last: (Term, Index),
        before: bool,
    },
    Vote {
        term: Term,
        granted: bool,
        before: bool,
    },
    /// What stands behind an entry.
    Append {
        term: Term,
        after: Index,
        after_term: Term,
        after_hash: Hash,
        entries: Vec<Entry>,
        commit: Index,
        round: u64,
    },
    /// `matched`: the log is the leader's up to there. Else `hint`: send from behind there.
    Appended {
        term: Term,
        matched: Option<Index>,
        hint: Index,
        round: u64,
    },
    /// From one that is in no fleet, or not in this one: take me in.
    Join {
        member: Member,
    },
}

/// What is to be done outside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Act {
    Send {
        to: Id,
        message: Message,
    },
    /// To wherever the settings say that others may be.
    Seek(Message),
    /// Drop what is saved from this index on, save these, and say once that is done.
    Save {
        hard: Hard,
        from: Index,
        entries: Vec<Entry>,
    },
    /// This copy differs from the leader in what both hold for committed: it has to stop.
    Differs {
        index: Index,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// A [`Act::Save`] is answered by [`Copy::saved`].
    Act(Act),
    /// An entry is committed, each in order.
    Committed { index: Index, entry: Entry },
    /// A read may be answered from what is committed so far.
    Read(u64),
    /// This copy leads no more: what became of orders that wait is not known here, and reads are to be asked elsewhere.
    Lost,
}

/// Why an order or a read is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// Another leads, if it is known who.
    Follows(Option<Id>),
    /// As much is under way as may be.
    Full,
}

/// Entries that are not committed yet, at a leader.
const UNDER_WAY: Index = 4_096;
/// Entries and bytes in one message.
const BATCH: usize = 256;
const BATCH_BYTES: usize = 256 * 1024;
/// Entries sent to one copy and not answered.
const WINDOW: Index = 2_048;
/// Reads that wait for their round.
const READS: usize = 4_096;
/// A copy with no more entries to go than these has caught up.
const NEAR: Index = 64;
/// Beats without a leader before a copy asks for votes: so many, and up to as many again by chance.
const PATIENCE: Time = 8;

#[derive(Clone, Debug)]
struct Progress {
    /// The log is the same up to there.
    matched: Index,
    /// What is sent next.
    next: Index,
    /// The last round it answered, and when.
    round: u64,
    heard: Time,
    /// What `matched` was at the last beat: where it stands still with something under way, that is sent again.
    at_beat: Index,
}

#[derive(Clone, Debug)]
enum Role {
    Follower,
    /// Asks for votes; `before`: whether it would get them.
    Candidate {
        before: bool,
        votes: BTreeMap<Id, bool>,
    },
    Leader {
        progress: BTreeMap<Id, Progress>,
        since: Index,
    },
}

pub struct Copy {
    me: Id,
    cfg: Settings,
    chance: fastrand::Rng,
    hard: Hard,
    log: Log,
    /// Saved up to there.
    saved: Index,
    commit: Index,
    /// Committed entries handed out.
    handed: Index,
    /// Who is in, by the log: each with its index, the last is in force.
    members: Vec<(Index, Members)>,
    role: Role,
    leader: Option<Id>,
    heard: Time,
    next_at: Time,
    /// The round under way; reads and beats ask for the next.
    round: u64,
    reads: VecDeque<(u64, u64, Index)>,
    wants_round: bool,
    ticket: u64,
    out: VecDeque<Output>,
    /// Promises that wait for a save.
    held: VecDeque<Output>,
    hard_changed: bool,
    /// The first index that is not as saved.
    unsaved: Option<Index>,
    /// A save is under way: how many promises it covers, and up to which entry.
    saving: Option<(usize, Index)>,
    differs: bool,
}

impl Copy {
    /// With what was saved; nothing: a new copy, in no fleet.
    pub fn new(now: Time, me: Id, seed: u64, cfg: Settings, hard: Hard, log: Log) -> Copy {
        let mut members = Vec::new();
        for (at, entry) in log.from(1).enumerate() {
            if let Body::Members(of) = &entry.body {
                members.push((at as Index + 1, of.clone()));
            }
        }
        let hard = if cfg.switches.votes_not_kept { Hard { vote: None, ..hard } } else { hard };
        let saved = log.last();
        let mut copy = Copy {
            me,
            chance: fastrand::Rng::with_seed(seed),
            cfg,
            hard,
            log,
            saved,
            commit: 0,
            handed: 0,
            members,
            role: Role::Follower,
            leader: None,
            heard: Time::MIN / 2,
            next_at: now,
            round: 0,
            reads: VecDeque::new(),
            wants_round: false,
            ticket: 0,
            out: VecDeque::new(),
            held: VecDeque::new(),
            hard_changed: false,
            unsaved: None,
            saving: None,
            differs: false,
        };
        copy.wait(now);
        copy
    }

    /// What is to be saved for the first copy of a new fleet, before it is started.
    pub fn form(me: Id, fleet: u64, member: Member) -> (Hard, Log) {
        let mut log = Log::default();
        let first = Members::first(me, member);
        log.push(Entry::behind(&Hash::default(), 1, Body::Members(first)));
        (Hard { fleet, term: 1, vote: Some(me) }, log)
    }

    pub fn id(&self) -> Id {
        self.me
    }

    pub fn hard(&self) -> Hard {
        self.hard
    }

    pub fn log(&self) -> &Log {
        &self.log
    }

    pub fn commit(&self) -> Index {
        self.commit
    }

    pub fn leader(&self) -> Option<Id> {
        self.leader
    }

    pub fn leads(&self) -> bool {
        matches!(self.role, Role::Leader { .. })
    }

    /// Who is in, by this copy's log.
    pub fn members(&self) -> Members {
        self.members.last().map(|(_, members)| members.clone()).unwrap_or_default()
    }

    /// Of the other copies, at a leader: up to where each is the same.
    pub fn matched(&self) -> Vec<(Id, Index)> {
        match &self.role {
            Role::Leader { progress, .. } => progress.iter().map(|(id, p)| (*id, p.matched)).collect(),
            _ => Vec::new(),
        }
    }

    pub fn next_timeout(&self) -> Time {
        if self.differs {
            return Time::MAX;
        }
        self.next_at
    }

    /// Adds an order to the log, at a leader. Returns its index; what becomes of it shows when that is committed.
    pub fn order(&mut self, order: Vec<u8>) -> Result<Index, Refused> {
        if !self.leads() {
            return Err(Refused::Follows(self.leader));
        }
        if self.log.last() - self.commit >= UNDER_WAY {
            return Err(Refused::Full);
        }
        self.append(Body::Order(order));
        Ok(self.log.last())
    }

    /// Asks to read; [`Output::Read`] says when, after a round in which a majority still followed.
    pub fn read(&mut self) -> Result<u64, Refused> {
        let Role::Leader { since, .. } = &self.role else { return Err(Refused::Follows(self.leader)) };
        if self.reads.len() >= READS {
            return Err(Refused::Full);
        }
        self.ticket += 1;
        if self.cfg.switches.reads_unchecked {
            self.out.push_back(Output::Read(self.ticket));
            return Ok(self.ticket);
        }
        // What leaders before this one committed is known to be so with this one's first entry.
        self.reads.push_back((self.ticket, self.round + 1, self.commit.max(*since)));
        self.wants_round = true;
        Ok(self.ticket)
    }

    pub fn handle_timeout(&mut self, now: Time) {
        if now < self.next_at || self.differs {
            return;
        }
        if self.leads() {
            self.beat(now);
            return;
        }
        self.leader = None;
        self.wait(now);
        // Also one that is in by its own log: what took it in may have been dropped by the others.
        let member = Member { name: self.cfg.name.clone(), address: self.cfg.address.clone(), vote: false };
        self.out.push_back(Output::Act(Act::Seek(Message::Join { member })));
        if self.members().votes(self.me) {
            self.campaign(now, true);
        }
    }

    /// What another copy says.
    pub fn handle(&mut self, now: Time, from: Id, fleet: u64, message: Message) {
        if self.differs {
            return;
        }
        if let Message::Join { member } = &message {
            self.join(from, member);
            return;
        }
        // Whoever is in no fleet yet becomes part of the one that has taken it in.
        if self.hard.fleet == 0 && matches!(message, Message::Append { .. }) {
            self.hard.fleet = fleet;
            self.hard_changed = true;
        }
        if self.hard.fleet != fleet {
            return;
        }
        let term = match &message {
            Message::Ask { term, .. } | Message::Vote { term, .. } => *term,
            Message::Append { term, .. } | Message::Appended { term, .. } => *term,
            Message::Join { .. } => 0,
        };
        match message {
            Message::Ask { last, before, .. } => self.asked(now, from, term, last, before),
            Message::Vote { granted, before, .. } => {
                // One that would have voted says so for the term that is asked for, which is not its own yet.
                if term > self.hard.term && !before {
                    self.follow(now, term);
                }
                self.voted(now, from, term, granted, before);
            }
            Message::Append { after, after_term, after_hash, entries, commit, round, .. } => {
                if term < self.hard.term {
                    // It answers no round: the same copy may lead again in this term, and count rounds from the start.
                    let (term, hint) = (self.hard.term, self.log.last());
                    let answer = Message::Appended { term, matched: None, hint, round: 0 };
                    self.out.push_back(Output::Act(Act::Send { to: from, message: answer }));
                    return;
                }
                if term > self.hard.term || !matches!(self.role, Role::Follower) {
                    self.follow(now, term);
                }
                (self.leader, self.heard) = (Some(from), now);
                self.wait(now);
                self.take(from, (after, after_term, after_hash), entries, commit, round);
            }
            Message::Appended { matched, hint, round, .. } => {
                if term > self.hard.term {
                    self.follow(now, term);
                } else if term == self.hard.term {
                    self.appended(now, from, matched, hint, round);
                }
            }
            Message::Join { .. } => {}
        }
    }

    /// The save that was handed out last is done.
    pub fn saved(&mut self) {
        let Some((held, last)) = self.saving.take() else { return };
        self.saved = self.saved.max(last.min(self.log.last()));
        let done: Vec<Output> = self.held.drain(..held.min(self.held.len())).collect();
        self.out.extend(done);
        self.advance();
    }

    pub fn poll(&mut self) -> Option<Output> {
        if std::mem::take(&mut self.wants_round) {
            self.tell_all(true);
        }
        if let Some(output) = self.out.pop_front() {
            return Some(output);
        }
        while self.handed < self.commit {
            self.handed += 1;
            let index = self.handed;
            if let Some(entry) = self.log.get(index).cloned() {
                return Some(Output::Committed { index, entry });
            }
        }
        self.ready_reads();
        if let Some(output) = self.out.pop_front() {
            return Some(output);
        }
        if self.saving.is_some() {
            return None;
        }
        if !self.hard_changed && self.unsaved.is_none() {
            return self.held.pop_front();
        }
        let from = self.unsaved.take().unwrap_or(self.log.last() + 1);
        self.hard_changed = false;
        self.saving = Some((self.held.len(), self.log.last()));
        let entries = self.log.from(from).cloned().collect();
        Some(Output::Act(Act::Save { hard: self.hard, from, entries }))
    }

    fn last(&self) -> (Term, Index) {
        let last = self.log.last();
        (self.log.term(last).unwrap_or(0), last)
    }

    /// Waits for a leader from now on.
    fn wait(&mut self, now: Time) {
        let most = PATIENCE * self.cfg.beat;
        self.next_at = now + most + self.chance.i64(0..=most);
    }

    /// Follows whoever leads in a term.
    fn follow(&mut self, now: Time, term: Term) {
        if term > self.hard.term {
            self.hard = Hard { term, vote: None, ..self.hard };
            self.hard_changed = true;
            self.leader = None;
        }
        if self.leads() {
            self.reads.clear();
            self.out.push_back(Output::Lost);
            self.leader = None;
        }
        self.role = Role::Follower;
        self.wait(now);
    }

    fn campaign(&mut self, now: Time, before: bool) {
        if !before {
            self.hard = Hard { term: self.hard.term + 1, vote: Some(self.me), ..self.hard };
            self.hard_changed = true;
        }
        self.role = Role::Candidate { before, votes: [(self.me, true)].into() };
        let term = self.hard.term + Term::from(before);
        let message = Message::Ask { term, last: self.last(), before };
        let members = self.members();
        for to in members.voters().filter(|to| *to != self.me) {
            // Its own vote is saved before others hear of it.
            let asked = Output::Act(Act::Send { to, message: message.clone() });
            if before {
                self.out.push_back(asked);
            } else {
                self.held.push_back(asked);
            }
        }
        self.count(now);
    }

    fn asked(&mut self, now: Time, from: Id, term: Term, last: (Term, Index), before: bool) {
        // Whoever hears from a leader, or leads, knows of no need for another: one that was cut off disturbs nobody.
        let led = self.leads() || self.leader.is_some() && now - self.heard < PATIENCE * self.cfg.beat;
        if before {
            let granted = !led && term > self.hard.term && last >= self.last();
            let term = if granted { term } else { self.hard.term };
            let message = Message::Vote { term, granted, before };
            self.out.push_back(Output::Act(Act::Send { to: from, message }));
            return;
        }
        if led && term > self.hard.term {
            return;
        }
        if term > self.hard.term {
            self.follow(now, term);
        }
        let free = self.hard.vote.is_none_or(|vote| vote == from);
        let granted = term == self.hard.term && free && last >= self.last();
        if granted {
            self.hard_changed |= self.hard.vote.is_none();
            self.hard.vote = Some(from);
            self.wait(now);
        }
        let message = Message::Vote { term: self.hard.term, granted, before };
        self.held.push_back(Output::Act(Act::Send { to: from, message }));
    }

    fn voted(&mut self, now: Time, from: Id, term: Term, granted: bool, of_before: bool) {
        let Role::Candidate { before, votes } = &mut self.role else { return };
        if of_before != *before || term != self.hard.term + Term::from(*before) {
            // One that would not has a term that is higher: it is followed, without a vote.
            if of_before && !granted && term > self.hard.term {
                self.follow(now, term);
            }
            return;
        }
        votes.insert(from, granted);
        self.count(now);
    }

    fn count(&mut self, now: Time) {
        let Role::Candidate { before, votes } = &self.role else { return };
        let before = *before;
        if !self.members().agree(|id| votes.get(&id).copied().unwrap_or(false)) {
            return;
        }
        match before {
            true => self.campaign(now, false),
            false => self.lead(now),
        }
    }

    fn lead(&mut self, now: Time) {
        let next = self.log.last() + 1;
        let others = self.members().copies.into_keys().filter(|id| *id != self.me);
        let fresh = Progress { matched: 0, next, round: 0, heard: now, at_beat: 0 };
        let progress = others.map(|id| (id, fresh.clone())).collect();
        self.role = Role::Leader { progress, since: next };
        (self.leader, self.heard) = (Some(self.me), now);
        self.next_at = now + self.cfg.beat;
        self.append(Body::Nothing);
        self.wants_round = true;
    }

    /// Adds to one's own log, and has the others told.
    fn append(&mut self, body: Body) {
        let index = self.log.last() + 1;
        let before = self.log.hash(index - 1).unwrap_or_default();
        let now = self.heard;
        if let Body::Members(members) = &body {
            self.members.push((index, members.clone()));
            if let Role::Leader { progress, .. } = &mut self.role {
                progress.retain(|id, _| members.copies.contains_key(id));
                for id in members.copies.keys().filter(|id| **id != self.me) {
                    let fresh = Progress { matched: 0, next: index, round: 0, heard: now, at_beat: 0 };
                    progress.entry(*id).or_insert(fresh);
                }
            }
        }
        self.log.push(Entry::behind(&before, self.hard.term, body));
        self.unsaved = Some(self.unsaved.map_or(index, |from| from.min(index)));
        self.tell_all(false);
    }

    /// Sends each copy what it lacks; in a new round also to those that lack nothing.
    fn tell_all(&mut self, round: bool) {
        self.round += u64::from(round);
        let Role::Leader { progress, .. } = &self.role else { return };
        let all: Vec<Id> = progress.keys().copied().collect();
        all.into_iter().for_each(|to| self.tell(to, round));
    }

    fn tell(&mut self, to: Id, in_any_case: bool) {
        let (round, commit, term, last) = (self.round, self.commit, self.hard.term, self.log.last());
        let Role::Leader { progress, .. } = &mut self.role else { return };
        let Some(progress) = progress.get_mut(&to) else { return };
        let mut asked = in_any_case;
        while asked || progress.next <= last && progress.next - progress.matched <= WINDOW {
            asked = false;
            let after = progress.next - 1;
            let mut bytes = 0;
            let size = |entry: &Entry| match &entry.body {
                Body::Order(order) => order.len(),
                _ => 0,
            };
            let room = WINDOW.saturating_sub(progress.next - 1 - progress.matched) as usize;
            let entries: Vec<Entry> = self
                .log
                .from(progress.next)
                .take(BATCH.min(room))
                .take_while(|entry| {
                    let fits = bytes < BATCH_BYTES;
                    bytes += size(entry);
                    fits
                })
                .cloned()
                .collect();
            progress.next += entries.len() as Index;
            let sent = !entries.is_empty();
            let message = Message::Append {
                term,
                after,
                after_term: self.log.term(after).unwrap_or(0),
                after_hash: self.log.hash(after).unwrap_or_default(),
                entries,
                commit,
                round,
            };
            self.out.push_back(Output::Act(Act::Send { to, message }));
            if !sent {
                break;
            }
        }
    }

    /// A leader's beat: steps down where a majority is silent, sends again what was lost.
    fn beat(&mut self, now: Time) {
        let members = self.members();
        let (me, patience) = (self.me, PATIENCE * self.cfg.beat);
        let Role::Leader { progress, .. } = &mut self.role else { return };
        let lately = |id: Id| id == me || progress.get(&id).is_some_and(|p| now - p.heard < 2 * patience);
        if !members.agree(lately) {
            self.follow(now, self.hard.term);
            return;
        }
        for progress in progress.values_mut() {
            if progress.next > progress.matched + 1 && progress.matched == progress.at_beat {
                progress.next = progress.matched + 1;
            }
            progress.at_beat = progress.matched;
        }
        // When it was last known what time it is, for copies that come in.
        self.heard = now;
        self.next_at = now + self.cfg.beat;
        self.wants_round = true;
    }

    /// Takes in what a leader says stands behind an entry.
    fn take(
        &mut self,
        from: Id,
        (after, after_term, after_hash): (Index, Term, Hash),
        entries: Vec<Entry>,
        commit: Index,
        round: u64,
    ) {
        let term = self.hard.term;
        let refuse = |hint| Message::Appended { term, matched: None, hint, round };
        let last = self.log.last();
        if self.log.term(after) != Some(after_term) || self.log.hash(after) != Some(after_hash) {
            if after <= self.commit {
                self.differ(after);
                return;
            }
            // From where this log may still be the same: its end, or before the whole term that differs.
            let hint = match self.log.term(after) {
                None => last,
                Some(other) => {
                    let first = (1..=after).rev().take_while(|at| self.log.term(*at) == Some(other)).last();
                    first.unwrap_or(after).saturating_sub(1).max(self.commit)
                }
            };
            self.out.push_back(Output::Act(Act::Send { to: from, message: refuse(hint) }));
            return;
        }
        let mut before = after_hash;
        let mut index = after;
        for entry in entries {
            // What was damaged on its way is as if it had not come.
            if !entry.follows(&before) {
                break;
            }
            index += 1;
            before = entry.hash;
            if self.log.hash(index) == Some(entry.hash) {
                continue;
            }
            if index <= self.log.last() {
                if index <= self.commit {
                    self.differ(index);
                    return;
                }
                self.cut(index);
            }
            if let Body::Members(members) = &entry.body {
                self.members.push((index, members.clone()));
            }
            self.log.push(entry);
            self.unsaved = Some(self.unsaved.map_or(index, |from| from.min(index)));
        }
        // No further than what this message showed to be the same.
        self.commit = self.commit.max(commit.min(index));
        let message = Message::Appended { term, matched: Some(index), hint: index, round };
        self.held.push_back(Output::Act(Act::Send { to: from, message }));
    }

    fn differ(&mut self, index: Index) {
        self.differs = true;
        self.out.push_back(Output::Act(Act::Differs { index }));
    }

    /// Drops what was never committed.
    fn cut(&mut self, from: Index) {
        self.log.cut(from);
        self.members.retain(|(index, _)| *index < from);
        self.saved = self.saved.min(from - 1);
        self.unsaved = Some(self.unsaved.map_or(from, |first| first.min(from)));
        if let Some((_, last)) = &mut self.saving {
            *last = (*last).min(from - 1);
        }
    }

    fn appended(&mut self, now: Time, from: Id, matched: Option<Index>, hint: Index, round: u64) {
        let Role::Leader { progress, .. } = &mut self.role else { return };
        let Some(progress) = progress.get_mut(&from) else { return };
        progress.heard = now;
        progress.round = progress.round.max(round);
        match matched {
            Some(matched) => {
                progress.matched = progress.matched.max(matched);
                progress.next = progress.next.max(progress.matched + 1);
            }
            // An answer that comes late says nothing new.
            None => progress.next = progress.next.min(hint + 1).max(progress.matched + 1),
        }
        self.advance();
        self.promote();
        self.tell(from, matched.is_none());
    }

    /// A leader holds for committed what a majority has saved, once that is of its own term.
    fn advance(&mut self) {
        let members = self.members();
        let Role::Leader { progress, .. } = &self.role else { return };
        let has =
            |id: Id| if id == self.me { self.saved } else { progress.get(&id).map_or(0, |p| p.matched) };
        let mut all: Vec<Index> = members.voters().map(has).collect();
        all.sort_unstable();
        // The highest that more than half have.
        let Some(&index) = all.get((all.len().max(1) - 1) / 2) else { return };
        let own = self.log.term(index) == Some(self.hard.term);
        if index > self.commit && (own || self.cfg.switches.older_terms_count) {
            self.commit = index;
            self.step_out();
            // Followers hear of it with what comes next, a beat later at most: reads and grants wait for it sooner.
            self.wants_round = true;
        }
    }

    /// A leader that was taken out leads until that is committed, and no longer.
    fn step_out(&mut self) {
        let known = self
            .members
            .last()
            .is_some_and(|(index, members)| *index <= self.commit && !members.copies.contains_key(&self.me));
        if known {
            self.follow(self.heard, self.hard.term);
        }
    }

    /// Whether the last change of members is committed, and something of this term is.
    fn may_change(&self) -> bool {
        let Role::Leader { since, .. } = &self.role else { return false };
        let settled = self.members.last().is_none_or(|(index, _)| *index <= self.commit);
        self.cfg.switches.changes_at_once || settled && self.commit >= *since
    }

    fn join(&mut self, from: Id, member: &Member) {
        if !self.may_change() {
            return;
        }
        let members = self.members();
        // Whoever comes under the leader's own name is a second process of it.
        if members.copies.get(&self.me).is_some_and(|own| own.name == member.name) {
            return;
        }
        if let Some(members) = members.with(from, member) {
            self.append(Body::Members(members));
        }
    }

    /// Gives a copy that has caught up its vote.
    fn promote(&mut self) {
        let members = self.members();
        if !self.may_change() || members.voters().count() >= self.cfg.votes {
            return;
        }
        let Role::Leader { progress, .. } = &self.role else { return };
        let (last, commit) = (self.log.last(), self.commit);
        let near = |id: &Id| {
            progress.get(id).is_some_and(|p| p.matched + NEAR >= last && p.matched >= commit.min(last))
        };
        let waits = members.copies.iter().find(|(id, member)| !member.vote && near(id));
        if let Some((id, _)) = waits {
            let with = members.with_vote(*id);
            self.append(Body::Members(with));
        }
    }

    /// Reads whose round a majority has answered.
    fn ready_reads(&mut self) {
        let Role::Leader { progress, .. } = &self.role else { return };
        if self.reads.is_empty() {
            return;
        }
        let members = self.members();
        let (me, now_round) = (self.me, self.round);
        while let Some(&(ticket, round, index)) = self.reads.front() {
            let answered = |id: Id| match id == me {
                true => now_round >= round,
                false => progress.get(&id).is_some_and(|p| p.round >= round),
            };
            if !members.agree(answered) || self.handed < index {
                return;
            }
            self.reads.pop_front();
            self.out.push_back(Output::Read(ticket));
        }
    }
}

//! One replica of the log: Raft (Ongaro and Ousterhout 2014) with pre-vote, leaders that step down when they lose contact
//! with a majority (Ongaro's thesis, 2014, 9.6 and 6.2), single-server membership changes (4.1) and linearizable reads
//! confirmed by a round of heartbeats (6.4).
//!
//! Order of outputs: a message that promises something to another replica (a vote, an acknowledgement) is handed out only
//! after the [`Action::Save`] that makes it durable has been confirmed by [`Replica::saved`].

mod election;
mod membership;
mod message;
mod reads;
mod replication;

use std::collections::{BTreeMap, VecDeque};

use crate::log::{Body, Entry, Hash, Log};
use crate::members::{Member, Members};
use crate::{Id, Index, Term, Time};

pub use message::{Action, HardState, Message, Output, RequestError};

/// The settings of one replica.
#[derive(Clone, Debug)]
pub struct Settings {
    pub name: String,
    /// The address at which the other replicas reach it.
    pub address: String,
    /// The time between two heartbeats of a leader.
    pub heartbeat_interval: Time,
    /// The leader promotes replicas until there are this many voters.
    pub max_voters: usize,
    pub toggles: FeatureToggles,
}

/// Safety rules that a test switches off, to show that its checks detect the violation. Never set in production.
#[derive(Clone, Copy, Debug, Default)]
pub struct FeatureToggles {
    /// A replica forgets its vote when it restarts.
    pub forget_votes_on_restart: bool,
    /// A leader answers reads without a round of heartbeats.
    pub unconfirmed_reads: bool,
    /// A leader commits entries of earlier terms once a majority has them.
    pub commit_older_terms: bool,
    /// The membership may change before the previous change is committed.
    pub overlapping_member_changes: bool,
}

/// How many uncommitted entries a leader accepts.
const MAX_UNCOMMITTED: Index = 4_096;
/// The shortest election timeout, in heartbeat intervals; a random part of up to the same length is added.
const ELECTION_TIMEOUT_HEARTBEATS: Time = 8;

/// What a leader knows of another replica.
#[derive(Clone, Debug)]
struct Progress {
    /// Its log is known to match the leader's up to this index.
    match_index: Index,
    /// The next entry to send.
    next_index: Index,
    /// The last round of heartbeats that it answered.
    round: u64,
    /// When it last answered.
    last_contact: Time,
    /// `match_index` at the last heartbeat. If it hasn't advanced by the next one, the entries in flight are sent again.
    match_at_heartbeat: Index,
}

#[derive(Clone, Debug)]
enum Role {
    Follower,
    /// Asks for votes or, if `pre_vote`, whether it would get them.
    Candidate {
        pre_vote: bool,
        votes: BTreeMap<Id, bool>,
    },
    Leader {
        progress: BTreeMap<Id, Progress>,
        /// The index of the first entry of its term.
        term_start: Index,
    },
}

/// One replica: its log, its role and its membership. See the module for the order of its outputs.
pub struct Replica {
    own_id: Id,
    cfg: Settings,
    rng: fastrand::Rng,
    hard_state: HardState,
    log: Log,
    /// The last index that is durable here.
    saved: Index,
    commit: Index,
    /// The last committed index that was handed out.
    delivered: Index,
    /// The memberships in the log with their indexes; the last one is in force, committed or not.
    members: Vec<(Index, Members)>,
    role: Role,
    leader: Option<Id>,
    /// When the leader was last heard from; on a leader, its last heartbeat.
    last_contact: Time,
    next_timeout_at: Time,
    /// The latest round of heartbeats; reads and heartbeats request the next.
    round: u64,
    /// Pending reads: id, the round that confirms it, and the index that must be committed first.
    reads: VecDeque<(u64, u64, Index)>,
    round_requested: bool,
    last_read_id: u64,
    outputs: VecDeque<Output>,
    /// Messages that may be sent only once what they promise is durable.
    awaiting_save: VecDeque<Output>,
    hard_state_changed: bool,
    /// The first index at which the log differs from what was handed out to be saved.
    unsaved: Option<Index>,
    /// The save in progress: how many messages in `awaiting_save` it covers, and up to which index.
    saving: Option<(usize, Index)>,
    /// The log contradicts the leader's committed entries: this replica has stopped.
    diverged: bool,
}

impl Replica {
    /// Starts from what was saved. With defaults it is a new replica that belongs to no fleet.
    pub fn new(now: Time, own_id: Id, seed: u64, cfg: Settings, hard_state: HardState, log: Log) -> Replica {
        let mut members = Vec::new();
        for (at, entry) in log.iter_from(1).enumerate() {
            if let Body::Members(membership) = &entry.body {
                members.push((at as Index + 1, membership.clone()));
            }
        }
        let hard_state = if cfg.toggles.forget_votes_on_restart {
            HardState { vote: None, ..hard_state }
        } else {
            hard_state
        };
        let saved = log.last_index();
        let mut replica = Replica {
            own_id,
            rng: fastrand::Rng::with_seed(seed),
            cfg,
            hard_state,
            log,
            saved,
            commit: 0,
            delivered: 0,
            members,
            role: Role::Follower,
            leader: None,
            last_contact: Time::MIN / 2,
            next_timeout_at: now,
            round: 0,
            reads: VecDeque::new(),
            round_requested: false,
            last_read_id: 0,
            outputs: VecDeque::new(),
            awaiting_save: VecDeque::new(),
            hard_state_changed: false,
            unsaved: None,
            saving: None,
            diverged: false,
        };
        replica.reset_election_timeout(now);
        replica
    }

    /// What has to be saved for the first replica of a new fleet before it starts.
    pub fn bootstrap(own_id: Id, fleet: u64, member: Member) -> (HardState, Log) {
        let mut log = Log::default();
        let first = Members::first(own_id, member);
        log.push(Entry::after(&Hash::default(), 1, Body::Members(first)));
        (HardState { fleet, term: 1, vote: Some(own_id) }, log)
    }

    pub fn id(&self) -> Id {
        self.own_id
    }

    /// The current hard state, not necessarily durable yet.
    pub fn hard_state(&self) -> HardState {
        self.hard_state
    }

    pub fn log(&self) -> &Log {
        &self.log
    }

    /// The index of the last entry known to be committed.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// The leader of the current term, if known.
    pub fn leader(&self) -> Option<Id> {
        self.leader
    }

    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader { .. })
    }

    /// The latest membership in this replica's log.
    pub fn members(&self) -> Members {
        self.members.last().map(|(_, members)| members.clone()).unwrap_or_default()
    }

    /// On a leader, the match index of each other replica; else empty.
    pub fn match_indexes(&self) -> Vec<(Id, Index)> {
        match &self.role {
            Role::Leader { progress, .. } => progress.iter().map(|(id, p)| (*id, p.match_index)).collect(),
            _ => Vec::new(),
        }
    }

    /// When to call [`Replica::handle_timeout`] next.
    pub fn next_timeout(&self) -> Time {
        if self.diverged {
            return Time::MAX;
        }
        self.next_timeout_at
    }

    /// Appends a command to the leader's log and returns its index. The outcome is known once that index is committed.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<Index, RequestError> {
        if !self.is_leader() {
            return Err(RequestError::NotLeader(self.leader));
        }
        if self.log.last_index() - self.commit >= MAX_UNCOMMITTED {
            return Err(RequestError::TooManyPending);
        }
        self.append(Body::Command(command));
        Ok(self.log.last_index())
    }

    /// Sends heartbeats on a leader; else looks for a fleet or starts an election.
    pub fn handle_timeout(&mut self, now: Time) {
        if now < self.next_timeout_at || self.diverged {
            return;
        }
        if self.is_leader() {
            self.send_heartbeats(now);
            return;
        }
        self.leader = None;
        self.reset_election_timeout(now);
        // Sent even if this replica's own log has it as a member: the entry that added it may have been truncated elsewhere.
        let member = Member { name: self.cfg.name.clone(), address: self.cfg.address.clone(), voter: false };
        self.outputs.push_back(Output::Action(Action::Discover(Message::Join { member })));
        if self.members().is_voter(self.own_id) {
            self.start_election(now, true);
        }
    }

    /// Handles a message from another replica of `fleet`.
    pub fn handle(&mut self, now: Time, from: Id, fleet: u64, message: Message) {
        if self.diverged {
            return;
        }
        if let Message::Join { member } = &message {
            self.join(from, member);
            return;
        }
        // A new replica joins the fleet whose leader sends it entries.
        if self.hard_state.fleet == 0 && matches!(message, Message::AppendEntries { .. }) {
            self.hard_state.fleet = fleet;
            self.hard_state_changed = true;
        }
        if self.hard_state.fleet != fleet {
            return;
        }
        let term = match &message {
            Message::VoteRequest { term, .. } | Message::VoteResponse { term, .. } => *term,
            Message::AppendEntries { term, .. } | Message::AppendResponse { term, .. } => *term,
            Message::Join { .. } => 0,
        };
        match message {
            Message::VoteRequest { last, pre_vote, .. } => {
                self.handle_vote_request(now, from, term, last, pre_vote)
            }
            Message::VoteResponse { granted, pre_vote, .. } => {
                // A granted pre-vote carries the term asked about, which the responder has not entered.
                if term > self.hard_state.term && !pre_vote {
                    self.become_follower(now, term);
                }
                self.handle_vote_response(now, from, term, granted, pre_vote);
            }
            Message::AppendEntries { prev_index, prev_term, prev_hash, entries, commit, round, .. } => {
                if term < self.hard_state.term {
                    // Round 0, as this must not confirm one: the same replica may lead again in this newer term, and its
                    // rounds are counted from the start again.
                    let (term, hint) = (self.hard_state.term, self.log.last_index());
                    let response = Message::AppendResponse { term, match_index: None, hint, round: 0 };
                    self.outputs.push_back(Output::Action(Action::Send { to: from, message: response }));
                    return;
                }
                if term > self.hard_state.term || !matches!(self.role, Role::Follower) {
                    self.become_follower(now, term);
                }
                (self.leader, self.last_contact) = (Some(from), now);
                self.reset_election_timeout(now);
                self.handle_append(from, (prev_index, prev_term, prev_hash), entries, commit, round);
            }
            Message::AppendResponse { match_index, hint, round, .. } => {
                if term > self.hard_state.term {
                    self.become_follower(now, term);
                } else if term == self.hard_state.term {
                    self.handle_append_response(now, from, match_index, hint, round);
                }
            }
            Message::Join { .. } => {}
        }
    }

    /// Reports that the last [`Action::Save`] is durable.
    pub fn saved(&mut self) {
        let Some((covered, last)) = self.saving.take() else { return };
        self.saved = self.saved.max(last.min(self.log.last_index()));
        let released: Vec<Output> =
            self.awaiting_save.drain(..covered.min(self.awaiting_save.len())).collect();
        self.outputs.extend(released);
        self.advance_commit();
    }

    /// Returns the next output, or `None` if there is none.
    pub fn poll(&mut self) -> Option<Output> {
        if std::mem::take(&mut self.round_requested) {
            self.replicate_to_all(true);
        }
        if let Some(output) = self.outputs.pop_front() {
            return Some(output);
        }
        while self.delivered < self.commit {
            self.delivered += 1;
            let index = self.delivered;
            if let Some(entry) = self.log.get(index).cloned() {
                return Some(Output::Committed { index, entry });
            }
        }
        self.complete_reads();
        if let Some(output) = self.outputs.pop_front() {
            return Some(output);
        }
        if self.saving.is_some() {
            return None;
        }
        if !self.hard_state_changed && self.unsaved.is_none() {
            return self.awaiting_save.pop_front();
        }
        let from = self.unsaved.take().unwrap_or(self.log.last_index() + 1);
        self.hard_state_changed = false;
        self.saving = Some((self.awaiting_save.len(), self.log.last_index()));
        let entries = self.log.iter_from(from).cloned().collect();
        Some(Output::Action(Action::Save { hard_state: self.hard_state, from, entries }))
    }

    /// Term and index of the last entry.
    fn last_entry(&self) -> (Term, Index) {
        let last = self.log.last_index();
        (self.log.term(last).unwrap_or(0), last)
    }
}

//! The messages between replicas, and the outputs of a replica to its runtime.

use serde::{Deserialize, Serialize};

use crate::log::{Entry, Hash};
use crate::members::Member;
use crate::{Id, Index, Term};

/// The state that must survive a restart, besides the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// The fleet's id; 0: the replica belongs to none yet.
    pub fleet: u64,
    pub term: Term,
    /// The candidate voted for in this term.
    pub vote: Option<Id>,
}

/// A message between replicas. Serialized by position: the order of variants and fields is part of the format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a vote or, if `pre_vote`, whether it would be granted.
    VoteRequest {
        term: Term,
        /// Term and index of the candidate's last entry.
        last: (Term, Index),
        pre_vote: bool,
    },
    VoteResponse {
        term: Term,
        granted: bool,
        pre_vote: bool,
    },
    /// The entries that follow the one at `prev_index`, and the leader's commit index; without entries, a heartbeat.
    AppendEntries {
        term: Term,
        prev_index: Index,
        prev_term: Term,
        prev_hash: Hash,
        entries: Vec<Entry>,
        commit: Index,
        round: u64,
    },
    AppendResponse {
        term: Term,
        /// The log matches the leader's up to this index; `None`: the entries were rejected.
        match_index: Option<Index>,
        /// After a rejection: the leader should continue after this index.
        hint: Index,
        round: u64,
    },
    /// A replica that may not be a member asks to be added.
    Join {
        member: Member,
    },
}

/// I/O that the runtime has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    Send {
        to: Id,
        message: Message,
    },
    /// Send this to all addresses at which the settings say that other replicas may be.
    Discover(Message),
    /// Replace the saved entries from this index on, save the hard state, and call [`Replica::saved`] once that is durable.
    Save {
        hard_state: HardState,
        from: Index,
        entries: Vec<Entry>,
    },
    /// This replica's committed entries differ from the leader's at this index: it has to stop.
    Diverged {
        index: Index,
    },
}

/// What [`Replica::poll`] returns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// After an [`Action::Save`] is durable, call [`Replica::saved`].
    Action(Action),
    /// An entry is committed; handed out in log order.
    Committed { index: Index, entry: Entry },
    /// The read with this id may be answered from the entries handed out so far.
    Read(u64),
    /// This replica is no longer the leader: the outcome of pending commands is unknown here, and reads have to be sent to
    /// the new leader.
    LeadershipLost,
}

/// Why a command or a read is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// This replica is not the leader; the leader, if known.
    NotLeader(Option<Id>),
    /// As many commands or reads are pending as are allowed.
    TooManyPending,
}

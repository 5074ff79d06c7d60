//! A replica with its state machine, and the requests that wait for a response.

use std::collections::{BTreeMap, VecDeque};

use crate::log::{Body, Entry};
use crate::replica::{Action, Output, Replica, RequestError};
use crate::state::{Command, Outcome, Range, State};
use crate::{Id, Index, Message, Term, Time};

/// Identifies a request; chosen by the caller.
pub type Token = u64;

/// A client's request to a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    Command(Command),
    /// A linearizable read: it sees the committed state at some moment between the request and its response.
    Read(Vec<Range>),
}

/// The response to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    Applied(Outcome),
    /// The request had no effect and never will.
    Rejected(RequestError),
    /// The request may have taken effect, or may still do so.
    Unknown,
}

/// What the runtime has to carry out, returned by [`Node::poll`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// After an [`Action::Save`] is durable, call [`Node::saved`].
    Action(Action),
    Response {
        token: Token,
        response: Response,
    },
}

const SECOND: Time = 10_000;

/// How long a leader waits before it proposes a lease's expiry again, if the first proposal has not been committed.
const EXPIRY_RETRY: Time = SECOND;

/// A replica, its state machine and the requests that are pending there.
pub struct Node {
    pub replica: Replica,
    state: State,
    /// The index of the last entry applied to `state`.
    applied: Index,
    pending_commands: BTreeMap<Index, (Term, Token)>,
    pending_reads: BTreeMap<u64, (Token, Vec<Range>)>,
    /// On a leader: when each lease expires, counted on its own clock from when the renewal was committed here, which is
    /// later than when the holder sent it.
    lease_deadlines: BTreeMap<u64, Time>,
    was_leader: bool,
    /// Responses to hand out, in order; bounded by the number of pending requests.
    responses: VecDeque<Effect>,
}

impl Node {
    pub fn new(replica: Replica) -> Node {
        Node {
            replica,
            state: State::default(),
            applied: 0,
            pending_commands: BTreeMap::new(),
            pending_reads: BTreeMap::new(),
            lease_deadlines: BTreeMap::new(),
            was_leader: false,
            responses: VecDeque::new(),
        }
    }

    pub fn state(&self) -> &State {
        &self.state
    }

    /// The index of the last entry applied to the state.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// Submits a request; its [`Effect::Response`] carries `token`.
    pub fn request(&mut self, token: Token, request: Request) {
        let term = self.replica.hard_state().term;
        let accepted = match request {
            Request::Command(command) => self.replica.propose(command.encode()).map(|index| {
                // A request still pending at this index lost its entry when the log was truncated.
                if let Some((_, dropped)) = self.pending_commands.insert(index, (term, token)) {
                    self.responses
                        .push_back(Effect::Response { token: dropped, response: Response::Unknown });
                }
            }),
            Request::Read(ranges) => {
                self.replica.read().map(|read_id| _ = self.pending_reads.insert(read_id, (token, ranges)))
            }
        };
        if let Err(error) = accepted {
            self.responses.push_back(Effect::Response { token, response: Response::Rejected(error) });
        }
    }

    /// Handles a message from another replica.
    pub fn handle(&mut self, now: Time, from: Id, fleet: u64, message: Message) {
        self.replica.handle(now, from, fleet, message);
    }

    /// Reports that the last [`Action::Save`] is durable.
    pub fn saved(&mut self) {
        self.replica.saved();
    }

    /// When to call [`Node::handle_timeout`] next.
    pub fn next_timeout(&self) -> Time {
        let next_expiry = self.lease_deadlines.values().copied().min().filter(|_| self.was_leader);
        self.replica.next_timeout().min(next_expiry.unwrap_or(Time::MAX))
    }

    pub fn handle_timeout(&mut self, now: Time) {
        self.replica.handle_timeout(now);
        self.reset_lease_deadlines(now);
        if !self.was_leader || !self.replica.is_leader() {
            return;
        }
        let expired: Vec<u64> =
            self.lease_deadlines.iter().filter(|(_, at)| **at <= now).map(|(id, _)| *id).collect();
        for lease in expired {
            self.lease_deadlines.insert(lease, now + EXPIRY_RETRY);
            if let Some(renewals) = self.state.leases.get(&lease).map(|known| known.renewals) {
                // If too much is pending, the next timeout proposes it again.
                let _ = self.replica.propose(Command::ExpireLease { lease, renewals }.encode());
            }
        }
    }

    /// Returns the next effect to carry out, or `None` if there is none.
    pub fn poll(&mut self, now: Time) -> Option<Effect> {
        loop {
            if let Some(response) = self.responses.pop_front() {
                return Some(response);
            }
            let output = self.replica.poll();
            self.reset_lease_deadlines(now);
            match output? {
                Output::Action(action) => return Some(Effect::Action(action)),
                Output::Committed { index, entry } => self.apply(now, index, &entry),
                Output::Read(read_id) => {
                    if let Some((token, ranges)) = self.pending_reads.remove(&read_id) {
                        let response = Response::Applied(self.state.read(&ranges));
                        self.responses.push_back(Effect::Response { token, response });
                    }
                }
                Output::LeadershipLost => {
                    let commands = std::mem::take(&mut self.pending_commands).into_values();
                    let unknown =
                        commands.map(|(_, token)| Effect::Response { token, response: Response::Unknown });
                    self.responses.extend(unknown);
                    let not_leader = Response::Rejected(RequestError::NotLeader(None));
                    let reads = std::mem::take(&mut self.pending_reads).into_values();
                    let rejected =
                        reads.map(|(token, _)| Effect::Response { token, response: not_leader.clone() });
                    self.responses.extend(rejected);
                }
            }
        }
    }

    /// On becoming leader, gives every lease its full time, as the last renewals by the previous leader are not known here.
    /// On losing leadership, drops all deadlines.
    fn reset_lease_deadlines(&mut self, now: Time) {
        let is_leader = self.replica.is_leader();
        if is_leader != std::mem::replace(&mut self.was_leader, is_leader) {
            let all = self.state.leases.iter().filter(|_| is_leader);
            self.lease_deadlines =
                all.map(|(id, lease)| (*id, now + Time::from(lease.seconds) * SECOND)).collect();
        }
    }

    /// Applies a committed entry to the state and answers the request that proposed it.
    fn apply(&mut self, now: Time, index: Index, entry: &Entry) {
        self.applied = index;
        let Body::Command(command) = &entry.body else { return };
        let outcome = self.state.apply(command);
        let lease = match Command::decode(command) {
            Some(Command::GrantLease { lease, .. } | Command::RenewLease { lease }) => Some(lease),
            Some(Command::RevokeLease { lease } | Command::ExpireLease { lease, .. }) => Some(lease),
            _ => None,
        };
        if let Some(lease) = lease {
            match self.state.leases.get(&lease) {
                Some(known) => {
                    _ = self.lease_deadlines.insert(lease, now + Time::from(known.seconds) * SECOND)
                }
                None => _ = self.lease_deadlines.remove(&lease),
            }
        }
        if let Some((term, token)) = self.pending_commands.remove(&index) {
            // An entry of another term took its place: this one was dropped before it was committed.
            let response = if term == entry.term { Response::Applied(outcome) } else { Response::Unknown };
            self.responses.push_back(Effect::Response { token, response });
        }
    }
}

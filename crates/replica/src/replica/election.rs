//! Leader election: timeouts, pre-vote, votes and the change of roles.

use super::{Action, HardState, Message, Output, Progress, Replica, Role, ELECTION_TIMEOUT_HEARTBEATS};
use crate::log::Body;
use crate::{Id, Index, Term, Time};

impl Replica {
    /// Restarts the election timeout, with a new random part.
    pub(super) fn reset_election_timeout(&mut self, now: Time) {
        let shortest = ELECTION_TIMEOUT_HEARTBEATS * self.cfg.heartbeat_interval;
        self.next_timeout_at = now + shortest + self.rng.i64(0..=shortest);
    }

    /// Becomes a follower, entering `term` if it is newer.
    pub(super) fn become_follower(&mut self, now: Time, term: Term) {
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: None, ..self.hard_state };
            self.hard_state_changed = true;
            self.leader = None;
        }
        if self.is_leader() {
            self.reads.clear();
            self.outputs.push_back(Output::LeadershipLost);
            self.leader = None;
        }
        self.role = Role::Follower;
        self.reset_election_timeout(now);
    }

    /// Starts a pre-vote or, in a new term, an election.
    pub(super) fn start_election(&mut self, now: Time, pre_vote: bool) {
        if !pre_vote {
            self.hard_state =
                HardState { term: self.hard_state.term + 1, vote: Some(self.own_id), ..self.hard_state };
            self.hard_state_changed = true;
        }
        self.role = Role::Candidate { pre_vote, votes: [(self.own_id, true)].into() };
        let term = self.hard_state.term + Term::from(pre_vote);
        let message = Message::VoteRequest { term, last: self.last_entry(), pre_vote };
        let members = self.members();
        for to in members.voters().filter(|to| *to != self.own_id) {
            // The vote for itself must be durable before the request goes out.
            let request = Output::Action(Action::Send { to, message: message.clone() });
            if pre_vote {
                self.outputs.push_back(request);
            } else {
                self.awaiting_save.push_back(request);
            }
        }
        self.count_votes(now);
    }

    pub(super) fn handle_vote_request(
        &mut self,
        now: Time,
        from: Id,
        term: Term,
        last: (Term, Index),
        pre_vote: bool,
    ) {
        // Ignored while there is a live leader, so that a replica that was partitioned off doesn't disrupt it.
        let has_leader = self.is_leader()
            || self.leader.is_some()
                && now - self.last_contact < ELECTION_TIMEOUT_HEARTBEATS * self.cfg.heartbeat_interval;
        if pre_vote {
            let granted = !has_leader && term > self.hard_state.term && last >= self.last_entry();
            let term = if granted { term } else { self.hard_state.term };
            let message = Message::VoteResponse { term, granted, pre_vote };
            self.outputs.push_back(Output::Action(Action::Send { to: from, message }));
            return;
        }
        if has_leader && term > self.hard_state.term {
            return;
        }
        if term > self.hard_state.term {
            self.become_follower(now, term);
        }
        let may_vote = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted = term == self.hard_state.term && may_vote && last >= self.last_entry();
        if granted {
            self.hard_state_changed |= self.hard_state.vote.is_none();
            self.hard_state.vote = Some(from);
            self.reset_election_timeout(now);
        }
        let message = Message::VoteResponse { term: self.hard_state.term, granted, pre_vote };
        self.awaiting_save.push_back(Output::Action(Action::Send { to: from, message }));
    }

    /// Counts a vote; if the response shows a newer term, follows it.
    pub(super) fn handle_vote_response(
        &mut self,
        now: Time,
        from: Id,
        term: Term,
        granted: bool,
        is_pre_vote: bool,
    ) {
        let Role::Candidate { pre_vote, votes } = &mut self.role else { return };
        if is_pre_vote != *pre_vote || term != self.hard_state.term + Term::from(*pre_vote) {
            // A refused pre-vote carries the responder's own term: it is entered without voting.
            if is_pre_vote && !granted && term > self.hard_state.term {
                self.become_follower(now, term);
            }
            return;
        }
        votes.insert(from, granted);
        self.count_votes(now);
    }

    /// Moves on once a majority has granted its vote: from pre-vote to election, from election to leadership.
    pub(super) fn count_votes(&mut self, now: Time) {
        let Role::Candidate { pre_vote, votes } = &self.role else { return };
        let pre_vote = *pre_vote;
        if !self.members().has_majority(|id| votes.get(&id).copied().unwrap_or(false)) {
            return;
        }
        match pre_vote {
            true => self.start_election(now, false),
            false => self.become_leader(now),
        }
    }

    pub(super) fn become_leader(&mut self, now: Time) {
        let next_index = self.log.last_index() + 1;
        let others = self.members().replicas.into_keys().filter(|id| *id != self.own_id);
        let initial =
            Progress { match_index: 0, next_index, round: 0, last_contact: now, match_at_heartbeat: 0 };
        let progress = others.map(|id| (id, initial.clone())).collect();
        self.role = Role::Leader { progress, term_start: next_index };
        (self.leader, self.last_contact) = (Some(self.own_id), now);
        self.next_timeout_at = now + self.cfg.heartbeat_interval;
        self.append(Body::Noop);
        self.round_requested = true;
    }
}

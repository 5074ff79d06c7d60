//! Log replication: a leader sends entries and commits them, a follower appends them.

use super::{Action, Message, Output, Progress, Replica, Role, ELECTION_TIMEOUT_HEARTBEATS};
use crate::log::{Body, Entry, Hash};
use crate::{Id, Index, Term, Time};

/// How many entries one message carries.
const MAX_BATCH_ENTRIES: usize = 256;
/// Once a message carries this many bytes, no further entry is added.
const MAX_BATCH_BYTES: usize = 256 * 1024;

/// How many entries may be sent to a replica and not acknowledged.
const MAX_IN_FLIGHT: Index = 2_048;

impl Replica {
    /// Appends an entry to the leader's log and replicates it.
    pub(super) fn append(&mut self, body: Body) {
        let index = self.log.last_index() + 1;
        let before = self.log.hash(index - 1).unwrap_or_default();
        let now = self.last_contact;
        if let Body::Members(members) = &body {
            self.members.push((index, members.clone()));
            if let Role::Leader { progress, .. } = &mut self.role {
                progress.retain(|id, _| members.replicas.contains_key(id));
                for id in members.replicas.keys().filter(|id| **id != self.own_id) {
                    let initial = Progress {
                        match_index: 0,
                        next_index: index,
                        round: 0,
                        last_contact: now,
                        match_at_heartbeat: 0,
                    };
                    progress.entry(*id).or_insert(initial);
                }
            }
        }
        self.log.push(Entry::after(&before, self.hard_state.term, body));
        self.unsaved = Some(self.unsaved.map_or(index, |from| from.min(index)));
        self.replicate_to_all(false);
    }

    /// Sends each replica the entries that it lacks. With `new_round`, starts a round of heartbeats, which go to all.
    pub(super) fn replicate_to_all(&mut self, new_round: bool) {
        self.round += u64::from(new_round);
        let Role::Leader { progress, .. } = &self.role else { return };
        let all: Vec<Id> = progress.keys().copied().collect();
        all.into_iter().for_each(|to| self.replicate(to, new_round));
    }

    /// Sends a replica the entries that it lacks, as far as the window allows. With `send_heartbeat`, sends a message even if
    /// there are none.
    pub(super) fn replicate(&mut self, to: Id, send_heartbeat: bool) {
        let (round, commit, term, last) =
            (self.round, self.commit, self.hard_state.term, self.log.last_index());
        let Role::Leader { progress, .. } = &mut self.role else { return };
        let Some(progress) = progress.get_mut(&to) else { return };
        let mut send_empty = send_heartbeat;
        while send_empty
            || progress.next_index <= last && progress.next_index - progress.match_index <= MAX_IN_FLIGHT
        {
            send_empty = false;
            let prev_index = progress.next_index - 1;
            let mut bytes = 0;
            let size = |entry: &Entry| match &entry.body {
                Body::Command(command) => command.len(),
                _ => 0,
            };
            let window_left =
                MAX_IN_FLIGHT.saturating_sub(progress.next_index - 1 - progress.match_index) as usize;
            let entries: Vec<Entry> = self
                .log
                .iter_from(progress.next_index)
                .take(MAX_BATCH_ENTRIES.min(window_left))
                .take_while(|entry| {
                    let fits = bytes < MAX_BATCH_BYTES;
                    bytes += size(entry);
                    fits
                })
                .cloned()
                .collect();
            progress.next_index += entries.len() as Index;
            let sent = !entries.is_empty();
            let message = Message::AppendEntries {
                term,
                prev_index,
                prev_term: self.log.term(prev_index).unwrap_or(0),
                prev_hash: self.log.hash(prev_index).unwrap_or_default(),
                entries,
                commit,
                round,
            };
            self.outputs.push_back(Output::Action(Action::Send { to, message }));
            if !sent {
                break;
            }
        }
    }

    /// Starts a round of heartbeats, and sends again what was lost. Steps down if a majority hasn't answered lately.
    pub(super) fn send_heartbeats(&mut self, now: Time) {
        let members = self.members();
        let (own_id, election_timeout) =
            (self.own_id, ELECTION_TIMEOUT_HEARTBEATS * self.cfg.heartbeat_interval);
        let Role::Leader { progress, .. } = &mut self.role else { return };
        let recently_heard_from = |id: Id| {
            id == own_id || progress.get(&id).is_some_and(|p| now - p.last_contact < 2 * election_timeout)
        };
        if !members.has_majority(recently_heard_from) {
            self.become_follower(now, self.hard_state.term);
            return;
        }
        for progress in progress.values_mut() {
            if progress.next_index > progress.match_index + 1
                && progress.match_index == progress.match_at_heartbeat
            {
                progress.next_index = progress.match_index + 1;
            }
            progress.match_at_heartbeat = progress.match_index;
        }
        // Also the last contact of replicas that join until the next heartbeat.
        self.last_contact = now;
        self.next_timeout_at = now + self.cfg.heartbeat_interval;
        self.round_requested = true;
    }

    /// Appends the leader's entries after `prev_index`, or rejects them if the log doesn't match there.
    pub(super) fn handle_append(
        &mut self,
        from: Id,
        (prev_index, prev_term, prev_hash): (Index, Term, Hash),
        entries: Vec<Entry>,
        commit: Index,
        round: u64,
    ) {
        let term = self.hard_state.term;
        let reject = |hint| Message::AppendResponse { term, match_index: None, hint, round };
        let last = self.log.last_index();
        if self.log.term(prev_index) != Some(prev_term) || self.log.hash(prev_index) != Some(prev_hash) {
            if prev_index <= self.commit {
                self.stop_diverged(prev_index);
                return;
            }
            // Where the logs may still match: the end of this log, or before all entries of the conflicting term.
            let hint = match self.log.term(prev_index) {
                None => last,
                Some(conflicting) => {
                    let first = (1..=prev_index)
                        .rev()
                        .take_while(|at| self.log.term(*at) == Some(conflicting))
                        .last();
                    first.unwrap_or(prev_index).saturating_sub(1).max(self.commit)
                }
            };
            self.outputs.push_back(Output::Action(Action::Send { to: from, message: reject(hint) }));
            return;
        }
        let mut before = prev_hash;
        let mut index = prev_index;
        for entry in entries {
            // An entry damaged in transit is dropped, with those after it; the leader sends them again.
            if !entry.follows(&before) {
                break;
            }
            index += 1;
            before = entry.hash;
            if self.log.hash(index) == Some(entry.hash) {
                continue;
            }
            if index <= self.log.last_index() {
                if index <= self.commit {
                    self.stop_diverged(index);
                    return;
                }
                self.truncate(index);
            }
            if let Body::Members(members) = &entry.body {
                self.members.push((index, members.clone()));
            }
            self.log.push(entry);
            self.unsaved = Some(self.unsaved.map_or(index, |from| from.min(index)));
        }
        // Only what this message showed to match is known to be committed.
        self.commit = self.commit.max(commit.min(index));
        let message = Message::AppendResponse { term, match_index: Some(index), hint: index, round };
        self.awaiting_save.push_back(Output::Action(Action::Send { to: from, message }));
    }

    /// Stops this replica, whose committed entries contradict the leader's.
    pub(super) fn stop_diverged(&mut self, index: Index) {
        self.diverged = true;
        self.outputs.push_back(Output::Action(Action::Diverged { index }));
    }

    /// Removes the entries from `from` on, which were never committed.
    pub(super) fn truncate(&mut self, from: Index) {
        self.log.truncate(from);
        self.members.retain(|(index, _)| *index < from);
        self.saved = self.saved.min(from - 1);
        self.unsaved = Some(self.unsaved.map_or(from, |first| first.min(from)));
        if let Some((_, last)) = &mut self.saving {
            *last = (*last).min(from - 1);
        }
    }

    /// Updates a replica's progress from its response to entries or a heartbeat.
    pub(super) fn handle_append_response(
        &mut self,
        now: Time,
        from: Id,
        match_index: Option<Index>,
        hint: Index,
        round: u64,
    ) {
        let Role::Leader { progress, .. } = &mut self.role else { return };
        let Some(progress) = progress.get_mut(&from) else { return };
        progress.last_contact = now;
        progress.round = progress.round.max(round);
        match match_index {
            Some(match_index) => {
                progress.match_index = progress.match_index.max(match_index);
                progress.next_index = progress.next_index.max(progress.match_index + 1);
            }
            // A late response may hint at less than is known to match.
            None => progress.next_index = progress.next_index.min(hint + 1).max(progress.match_index + 1),
        }
        self.advance_commit();
        self.promote();
        self.replicate(from, match_index.is_none());
    }

    /// Commits the entries that a majority has saved, once one of them is of the leader's own term.
    pub(super) fn advance_commit(&mut self) {
        let members = self.members();
        let Role::Leader { progress, .. } = &self.role else { return };
        let saved_index = |id: Id| {
            if id == self.own_id {
                self.saved
            } else {
                progress.get(&id).map_or(0, |p| p.match_index)
            }
        };
        let mut all: Vec<Index> = members.voters().map(saved_index).collect();
        all.sort_unstable();
        // The highest index that more than half of the voters have.
        let Some(&index) = all.get((all.len().max(1) - 1) / 2) else { return };
        let in_current_term = self.log.term(index) == Some(self.hard_state.term);
        if index > self.commit && (in_current_term || self.cfg.toggles.commit_older_terms) {
            self.commit = index;
            self.step_down_if_removed();
            // Followers learn of it with the next message. A round is sent now, as reads and lease grants wait for it.
            self.round_requested = true;
        }
    }
}

//! Membership changes, one at a time, as log entries.

use super::{Replica, Role};
use crate::log::Body;
use crate::members::Member;
use crate::{Id, Index};

/// A replica that lacks at most this many entries has caught up.
const CAUGHT_UP_LAG: Index = 64;

impl Replica {
    /// A leader that has been removed leads until its removal is committed.
    pub(super) fn step_down_if_removed(&mut self) {
        let removed = self.members.last().is_some_and(|(index, members)| {
            *index <= self.commit && !members.replicas.contains_key(&self.own_id)
        });
        if removed {
            self.become_follower(self.last_contact, self.hard_state.term);
        }
    }

    /// Returns true if the last membership change and an entry of this term are committed.
    pub(super) fn can_change_members(&self) -> bool {
        let Role::Leader { term_start, .. } = &self.role else { return false };
        let last_committed = self.members.last().is_none_or(|(index, _)| *index <= self.commit);
        self.cfg.toggles.overlapping_member_changes || last_committed && self.commit >= *term_start
    }

    /// Adds a replica that asks to join, if this is the leader and may change the membership.
    pub(super) fn join(&mut self, from: Id, member: &Member) {
        if !self.can_change_members() {
            return;
        }
        let members = self.members();
        // A second process under the leader's own name is not admitted.
        if members.replicas.get(&self.own_id).is_some_and(|own| own.name == member.name) {
            return;
        }
        if let Some(members) = members.with_replica(from, member) {
            self.append(Body::Members(members));
        }
    }

    /// Makes one replica that has caught up a voter, while there are too few.
    pub(super) fn promote(&mut self) {
        let members = self.members();
        if !self.can_change_members() || members.voters().count() >= self.cfg.max_voters {
            return;
        }
        let Role::Leader { progress, .. } = &self.role else { return };
        let (last, commit) = (self.log.last_index(), self.commit);
        let caught_up = |id: &Id| {
            progress
                .get(id)
                .is_some_and(|p| p.match_index + CAUGHT_UP_LAG >= last && p.match_index >= commit.min(last))
        };
        let candidate = members.replicas.iter().find(|(id, member)| !member.voter && caught_up(id));
        if let Some((id, _)) = candidate {
            let changed = members.with_vote(*id);
            self.append(Body::Members(changed));
        }
    }
}

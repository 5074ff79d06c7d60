//! The membership: the replicas and which of them are voters.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::Id;

/// One replica of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The steward's name.
    pub name: String,
    /// The address at which the other replicas reach it.
    pub address: String,
    pub voter: bool,
}

/// The replicas of a fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Members {
    pub replicas: BTreeMap<Id, Member>,
    /// Removed replicas. They may never rejoin, since what they promised (votes, acknowledgements) is lost.
    pub removed: BTreeSet<Id>,
}

impl Members {
    /// The membership of a new fleet with a single voter.
    pub fn first(id: Id, member: Member) -> Members {
        Members { replicas: [(id, Member { voter: true, ..member })].into(), removed: BTreeSet::new() }
    }

    /// The ids of the replicas with a vote.
    pub fn voters(&self) -> impl Iterator<Item = Id> + '_ {
        self.replicas.iter().filter(|(_, member)| member.voter).map(|(id, _)| *id)
    }

    pub fn is_voter(&self, id: Id) -> bool {
        self.replicas.get(&id).is_some_and(|member| member.voter)
    }

    /// Returns true if `predicate` holds for more than half of the voters.
    pub fn has_majority(&self, predicate: impl Fn(Id) -> bool) -> bool {
        let all = self.voters().count();
        2 * self.voters().filter(|id| predicate(*id)).count() > all
    }

    /// Adds a replica as a non-voter that has to catch up, or updates its name and address. Removes any other replica of the
    /// same name: either that one's files are gone, or two processes run under one name, and one of them has to go. Returns
    /// `None` if nothing changes.
    pub fn with_replica(&self, id: Id, member: &Member) -> Option<Members> {
        let known = self.replicas.get(&id);
        let is_unchanged = |known: &Member| {
            (known.name.as_str(), known.address.as_str()) == (&*member.name, &*member.address)
        };
        if self.removed.contains(&id) || known.is_some_and(is_unchanged) {
            return None;
        }
        let voter = known.is_some_and(|known| known.voter);
        let mut changed = self.clone();
        let namesakes: Vec<Id> = self
            .replicas
            .iter()
            .filter(|(other, m)| **other != id && m.name == member.name)
            .map(|(other, _)| *other)
            .collect();
        // A name has one replica at most, so this removes at most one voter, and the majorities before and after overlap.
        for other in namesakes {
            changed.replicas.remove(&other);
            changed.removed.insert(other);
        }
        changed.replicas.insert(id, Member { voter, ..member.clone() });
        Some(changed)
    }

    /// Makes a replica that has caught up a voter.
    pub fn with_vote(&self, id: Id) -> Members {
        let mut changed = self.clone();
        changed.replicas.get_mut(&id).into_iter().for_each(|member| member.voter = true);
        changed
    }
}

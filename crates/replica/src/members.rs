//! Who has a copy, and whose copy has a vote.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::Id;

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The steward's.
    pub name: String,
    /// Where other copies reach it.
    pub address: String,
    pub vote: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Members {
    pub copies: BTreeMap<Id, Member>,
    /// Those that were taken out: they never come back, as what they promised is forgotten.
    pub gone: BTreeSet<Id>,
}

impl Members {
    /// Of a fleet that is formed by one.
    pub fn first(id: Id, member: Member) -> Members {
        Members { copies: [(id, Member { vote: true, ..member })].into(), gone: BTreeSet::new() }
    }

    pub fn voters(&self) -> impl Iterator<Item = Id> + '_ {
        self.copies.iter().filter(|(_, member)| member.vote).map(|(id, _)| *id)
    }

    pub fn votes(&self, id: Id) -> bool {
        self.copies.get(&id).is_some_and(|member| member.vote)
    }

    /// Whether those of whom this holds are more than half of the votes.
    pub fn agree(&self, of: impl Fn(Id) -> bool) -> bool {
        let all = self.voters().count();
        2 * self.voters().filter(|id| of(*id)).count() > all
    }

    /// With a copy that comes to catch up, without a vote. Another copy under its name is taken out: its files are gone, or
    /// it is a second process under one name, and either way one of the two has to go. None if nothing is to be changed.
    pub fn with(&self, id: Id, member: &Member) -> Option<Members> {
        let known = self.copies.get(&id);
        let same = |known: &Member| {
            (known.name.as_str(), known.address.as_str()) == (&*member.name, &*member.address)
        };
        if self.gone.contains(&id) || known.is_some_and(same) {
            return None;
        }
        let vote = known.is_some_and(|known| known.vote);
        let mut with = self.clone();
        let namesakes: Vec<Id> = self
            .copies
            .iter()
            .filter(|(of, m)| **of != id && m.name == member.name)
            .map(|(of, _)| *of)
            .collect();
        // One vote at a time, so that the majorities before and after have a copy in common; a name has one copy at most.
        for of in namesakes {
            with.copies.remove(&of);
            with.gone.insert(of);
        }
        with.copies.insert(id, Member { vote, ..member.clone() });
        Some(with)
    }

    /// With a vote for one that has caught up.
    pub fn with_vote(&self, id: Id) -> Members {
        let mut with = self.clone();
        with.copies.get_mut(&id).into_iter().for_each(|member| member.vote = true);
        with
    }
}

//! Facts of use and their merging.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{digest, Digest, ServerTime};

/// The key of a fact: a job's lease, by its token and the job. Jobs that were given out together share a token.
pub type Key = (u64, String);

/// What was used under a lease so far, and on whose behalf.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    pub user: String,
    #[serde(default)]
    pub group: String,
    /// Only grows.
    pub used: ServerTime,
    /// The lease has ended: its use doesn't grow any more.
    pub last: bool,
}

/// The facts of all leases that are not folded yet. Merging is commutative, associative and idempotent: of two facts
/// of a lease the larger use holds, and `last` holds once it was reported.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Facts {
    facts: BTreeMap<Key, Fact>,
    /// Folded leases: later facts about them are ignored.
    folded: std::collections::BTreeSet<Key>,
    max_leases: usize,
    /// Facts dropped at the bound; their source reports them again.
    pub dropped: u64,
}

impl Facts {
    /// `max_leases` bounds the leases that are known at a time, and as many folded ones.
    pub fn new(max_leases: usize) -> Facts {
        Facts { max_leases, ..Facts::default() }
    }

    /// Merges a fact. Returns whether anything changed by it, or `None` if it was dropped at the bound.
    pub fn take(&mut self, key: Key, fact: Fact) -> Option<bool> {
        if self.folded.contains(&key) {
            return Some(false);
        }
        if let Some(known) = self.facts.get_mut(&key) {
            // Facts that name different users can't both be true: the first user by name holds, in any order of
            // arrival.
            let (used, last) = (known.used.max(fact.used), known.last || fact.last);
            let replaces_user = (&fact.user, &fact.group) < (&known.user, &known.group);
            let changed = used != known.used || last != known.last || replaces_user;
            if replaces_user {
                (known.user, known.group) = (fact.user, fact.group);
            }
            (known.used, known.last) = (used, last);
            return Some(changed);
        }
        if self.facts.len() >= self.max_leases {
            self.dropped += 1;
            return None;
        }
        self.facts.insert(key, fact);
        Some(true)
    }

    /// Merges all facts and folded leases of another set.
    pub fn merge(&mut self, other: &Facts) {
        for key in &other.folded {
            self.mark_folded(key);
        }
        for (key, fact) in &other.facts {
            self.take(key.clone(), fact.clone());
        }
    }

    /// Removes a lease that was folded into the totals; later facts about it are ignored.
    pub fn mark_folded(&mut self, key: &Key) -> Option<Fact> {
        self.folded.insert(key.clone());
        if self.folded.len() > self.max_leases {
            // The oldest tokens go: their sources stopped reporting them when they were told that all was counted.
            self.folded.pop_first();
        }
        self.facts.remove(key)
    }

    /// Removes a lease that another component handles from here on.
    pub fn remove(&mut self, key: &Key) -> Option<Fact> {
        self.facts.remove(key)
    }

    /// Returns the fact of a lease that is not folded.
    pub fn get(&self, key: &Key) -> Option<&Fact> {
        self.facts.get(key)
    }

    /// Returns true if the lease is known to be folded.
    pub fn is_folded(&self, key: &Key) -> bool {
        self.folded.contains(key)
    }

    /// All facts, ordered by lease.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Fact)> {
        self.facts.iter()
    }

    /// Leases whose total use is known, the oldest first.
    pub fn ended(&self) -> impl Iterator<Item = (&Key, &Fact)> {
        self.iter().filter(|(_, fact)| fact.last)
    }

    pub fn len(&self) -> usize {
        self.facts.len()
    }

    pub fn is_empty(&self) -> bool {
        self.facts.is_empty()
    }

    /// The digest of all facts that are not folded.
    pub fn digest(&self) -> Digest {
        let entries = self.facts.iter().map(|(key, fact)| {
            let mut entry = key.0.to_be_bytes().to_vec();
            entry.extend(fact.used.to_be_bytes());
            entry.push(u8::from(fact.last));
            entry.extend(fact.user.as_bytes());
            entry.push(0);
            entry.extend(fact.group.as_bytes());
            entry.push(0);
            entry.extend(key.1.as_bytes());
            entry
        });
        let entries: Vec<Vec<u8>> = entries.collect();
        digest(entries.iter().map(Vec::as_slice))
    }
}

//! Facts of use, merged.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{digest, Digest, Use};

/// What a fact is about: a job's lease, by its token and the job. Jobs that were given out together have one token.
pub type Key = (u64, String);

/// What was used under a lease so far, on whose behalf.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    pub user: String,
    #[serde(default)]
    pub group: String,
    /// It only grows.
    pub used: Use,
    /// Nothing more is used under this lease.
    pub last: bool,
}

/// All that is known of leases that were not folded yet. Merging commutes, associates and is idempotent: of two facts of a
/// lease the larger use holds, and that it is the last holds once it was said.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Facts {
    facts: BTreeMap<Key, Fact>,
    /// Leases before this one that are not here were folded or never used anything: nothing of them is taken in.
    folded: std::collections::BTreeSet<Key>,
    most: usize,
    /// Facts left out at the bound; their source says them again.
    pub left_out: u64,
}

impl Facts {
    /// `most`: leases that are known at a time, and as many that were folded.
    pub fn new(most: usize) -> Facts {
        Facts { most, ..Facts::default() }
    }

    /// Takes a fact in. Returns whether anything changed by it; none: it was left out.
    pub fn take(&mut self, key: Key, fact: Fact) -> Option<bool> {
        if self.folded.contains(&key) {
            return Some(false);
        }
        if let Some(known) = self.facts.get_mut(&key) {
            // Two that name different users can't both be true; the first by name holds, whichever came first.
            let (used, last) = (known.used.max(fact.used), known.last || fact.last);
            let whose = (&fact.user, &fact.group) < (&known.user, &known.group);
            let changed = used != known.used || last != known.last || whose;
            if whose {
                (known.user, known.group) = (fact.user, fact.group);
            }
            (known.used, known.last) = (used, last);
            return Some(changed);
        }
        if self.facts.len() >= self.most {
            self.left_out += 1;
            return None;
        }
        self.facts.insert(key, fact);
        Some(true)
    }

    /// Takes in all that another knows.
    pub fn merge(&mut self, other: &Facts) {
        for key in &other.folded {
            self.fold(key);
        }
        for (key, fact) in &other.facts {
            self.take(key.clone(), fact.clone());
        }
    }

    /// The lease has been folded into the sums: what is said of it from here on is not news.
    pub fn fold(&mut self, key: &Key) -> Option<Fact> {
        self.folded.insert(key.clone());
        if self.folded.len() > self.most {
            // The oldest tokens go: their sources stopped saying them when they were told that all was counted.
            self.folded.pop_first();
        }
        self.facts.remove(key)
    }

    /// Somebody else sees to it from here on.
    pub fn remove(&mut self, key: &Key) -> Option<Fact> {
        self.facts.remove(key)
    }

    pub fn get(&self, key: &Key) -> Option<&Fact> {
        self.facts.get(key)
    }

    pub fn is_folded(&self, key: &Key) -> bool {
        self.folded.contains(key)
    }

    /// Facts from a lease on, in order.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Fact)> {
        self.facts.iter()
    }

    /// Leases whose whole use is known, the oldest first.
    pub fn ended(&self) -> impl Iterator<Item = (&Key, &Fact)> {
        self.iter().filter(|(_, fact)| fact.last)
    }

    pub fn len(&self) -> usize {
        self.facts.len()
    }

    pub fn is_empty(&self) -> bool {
        self.facts.is_empty()
    }

    pub fn digest(&self) -> Digest {
        let rows = self.facts.iter().map(|(key, fact)| {
            let mut row = key.0.to_be_bytes().to_vec();
            row.extend(fact.used.to_be_bytes());
            row.push(u8::from(fact.last));
            row.extend(fact.user.as_bytes());
            row.push(0);
            row.extend(fact.group.as_bytes());
            row.push(0);
            row.extend(key.1.as_bytes());
            row
        });
        let rows: Vec<Vec<u8>> = rows.collect();
        digest(rows.iter().map(Vec::as_slice))
    }
}

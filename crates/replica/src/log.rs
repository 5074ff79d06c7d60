//! The log of one replica: a hash chain of entries.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::{Index, Members, Term};

/// A hash over an entry and all before it: two logs with the same hash at an index are identical up to it.
pub type Hash = [u8; 16];

/// The content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    /// A new leader's first entry; committing it commits the entries of earlier terms before it.
    Noop,
    /// An encoded command for the state machine.
    Command(Vec<u8>),
    /// The membership from this entry on.
    Members(Members),
}

/// A log entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    pub term: Term,
    pub body: Body,
    pub hash: Hash,
}

impl Entry {
    /// Builds the entry that follows the entry with the hash `before`.
    pub fn after(before: &Hash, term: Term, body: Body) -> Entry {
        let hash = Entry::hash(before, term, &body);
        Entry { term, body, hash }
    }

    /// Returns true if this entry is intact and directly follows the entry with the hash `before`.
    pub fn follows(&self, before: &Hash) -> bool {
        self.hash == Entry::hash(before, self.term, &self.body)
    }

    fn hash(before: &Hash, term: Term, body: &Body) -> Hash {
        let mut hasher = Sha256::new();
        hasher.update(before);
        hasher.update(term.to_be_bytes());
        // A body of plain data always serializes.
        hasher.update(postcard::to_allocvec(body).unwrap_or_default());
        let mut hash = Hash::default();
        hash.copy_from_slice(&hasher.finalize()[..16]);
        hash
    }
}

/// The entries of a log, from index 1 on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Log {
    entries: VecDeque<Entry>,
}

impl Log {
    /// The index of the last entry; 0 if the log is empty.
    pub fn last_index(&self) -> Index {
        self.entries.len() as Index
    }

    pub fn get(&self, index: Index) -> Option<&Entry> {
        self.entries.get(usize::try_from(index.checked_sub(1)?).ok()?)
    }

    /// The term of the entry at `index`; 0 for index 0, before the first.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == 0 {
            return Some(0);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// The hash of the entry at `index`; all zeros for index 0, before the first.
    pub fn hash(&self, index: Index) -> Option<Hash> {
        if index == 0 {
            return Some(Hash::default());
        }
        self.get(index).map(|entry| entry.hash)
    }

    /// Appends an entry, which must follow the last one.
    pub fn push(&mut self, entry: Entry) {
        debug_assert!(self.hash(self.last_index()).is_some_and(|before| entry.follows(&before)));
        self.entries.push_back(entry);
    }

    /// Removes the entries from `from` on.
    pub fn truncate(&mut self, from: Index) {
        self.entries.truncate(from.saturating_sub(1) as usize);
    }

    /// Iterates over the entries from `index` on.
    pub fn iter_from(&self, index: Index) -> impl Iterator<Item = &Entry> {
        self.entries.iter().skip(index.saturating_sub(1) as usize)
    }
}

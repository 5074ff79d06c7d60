//! The log of one copy: entries, each with a hash over the one before.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::{Index, Members, Term};

/// What an entry and all before it come to; two logs with the same at an index are the same up to there.
pub type Hash = [u8; 16];

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    /// A leader's first, by which what was left by those before it is committed.
    Nothing,
    /// An order to the state.
    Order(Vec<u8>),
    /// Who is in from here on.
    Members(Members),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    pub term: Term,
    pub body: Body,
    pub hash: Hash,
}

impl Entry {
    /// The one behind an entry with this hash.
    pub fn behind(before: &Hash, term: Term, body: Body) -> Entry {
        let hash = Entry::hash(before, term, &body);
        Entry { term, body, hash }
    }

    /// Whether it is the one behind an entry with this hash, whole.
    pub fn follows(&self, before: &Hash) -> bool {
        self.hash == Entry::hash(before, self.term, &self.body)
    }

    fn hash(before: &Hash, term: Term, body: &Body) -> Hash {
        let mut sum = Sha256::new();
        sum.update(before);
        sum.update(term.to_be_bytes());
        // Of fields alone, none of which can fail to be written.
        sum.update(postcard::to_allocvec(body).unwrap_or_default());
        let mut hash = Hash::default();
        hash.copy_from_slice(&sum.finalize()[..16]);
        hash
    }
}

/// The entries from 1 on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Log {
    entries: VecDeque<Entry>,
}

impl Log {
    pub fn last(&self) -> Index {
        self.entries.len() as Index
    }

    pub fn get(&self, index: Index) -> Option<&Entry> {
        self.entries.get(usize::try_from(index.checked_sub(1)?).ok()?)
    }

    /// The term of an entry; 0 before the first.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == 0 {
            return Some(0);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub fn hash(&self, index: Index) -> Option<Hash> {
        if index == 0 {
            return Some(Hash::default());
        }
        self.get(index).map(|entry| entry.hash)
    }

    /// Adds one behind the last; it has to follow it.
    pub fn push(&mut self, entry: Entry) {
        debug_assert!(self.hash(self.last()).is_some_and(|before| entry.follows(&before)));
        self.entries.push_back(entry);
    }

    /// Drops all from an index on.
    pub fn cut(&mut self, from: Index) {
        self.entries.truncate(from.saturating_sub(1) as usize);
    }

    pub fn from(&self, index: Index) -> impl Iterator<Item = &Entry> {
        self.entries.iter().skip(index.saturating_sub(1) as usize)
    }
}

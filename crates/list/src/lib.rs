//! Follows a server list in a store with revisions, and never moves backward. Pure: no I/O, no clock.
//!
//! The rules:
//! 1. The revision followed never falls. What is of a lower one is not taken in, and counted; a store that is at a lower
//!    one, or another store, is not followed at all ([`Stop`]).
//! 2. No entry is replaced by one of a lower revision.
//! 3. A start of a server that said it was leaving, and whose key then went, never comes back; nor does one that was
//!    followed by a later start. A key that went while its server was ready, by its lease running out for one, is a
//!    server merely dropped: it may come back.
//! 4. An entry that can't be read changes nothing but its revision: what was known of the server stands.

use std::collections::BTreeMap;

/// What an entry says, as far as the rules look at it.
pub trait Says: Clone + PartialEq {
    /// When the server last started; larger is later.
    fn boot(&self) -> i64;
    /// It said that it is leaving, or is gone.
    fn leaves(&self) -> bool;
}

/// Why the store is followed no more until a person says so.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stop {
    /// It is another store.
    Cluster { known: u64, found: u64 },
    /// It is at an older revision than has been seen of it.
    Backward { known: i64, found: i64 },
}

/// Whether what a store says, at this revision, can follow on what was seen of one: cluster and revision.
pub fn follows(known: (u64, i64), found: (u64, i64)) -> Result<(), Stop> {
    if known.0 != found.0 {
        return Err(Stop::Cluster { known: known.0, found: found.0 });
    }
    if found.1 < known.1 {
        return Err(Stop::Backward { known: known.1, found: found.1 });
    }
    Ok(())
}

/// What has to outlive the process, so that the next one can't go back either.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Kept {
    pub cluster: u64,
    pub revision: i64,
    /// The latest start of each server that may not come back.
    pub retired: BTreeMap<String, i64>,
}

#[derive(Clone, Debug)]
struct Entry<V> {
    revision: i64,
    /// None: its key is gone.
    said: Option<V>,
}

#[derive(Clone, Debug)]
pub struct Follower<V> {
    kept: Kept,
    entries: BTreeMap<String, Entry<V>>,
    /// A complete read under way, at this revision, and what it has found so far.
    reading: Option<(i64, BTreeMap<String, Entry<V>>)>,
    changed: bool,
    /// Entries and events that were of lower revisions, or of starts that may not come back.
    pub refused: u64,
}

impl<V: Says> Follower<V> {
    pub fn new(kept: Kept) -> Follower<V> {
        Follower { kept, entries: BTreeMap::new(), reading: None, changed: false, refused: 0 }
    }

    pub fn kept(&self) -> &Kept {
        &self.kept
    }

    /// The revision that a watch goes on from.
    pub fn next(&self) -> i64 {
        self.kept.revision + 1
    }

    /// A member of a store has answered, at this revision. One that is older than what was taken in is to be left for
    /// another; where all are, that store has gone backward.
    pub fn meets(&mut self, cluster: u64, revision: i64) -> Result<(), Stop> {
        let known = &mut self.kept;
        if known.cluster == 0 {
            known.cluster = cluster;
        }
        follows((known.cluster, known.revision), (cluster, revision))
    }

    /// A complete read at one revision follows, entry by entry; [`Follower::read_end`] takes it in. One that was under
    /// way is dropped.
    pub fn read_begin(&mut self, revision: i64) {
        self.reading = Some((revision, BTreeMap::new()));
    }

    /// `said`: none where the value can't be read.
    pub fn read_entry(&mut self, id: &str, revision: i64, said: Option<V>) {
        let known = || self.entries.get(id).and_then(|entry| entry.said.clone());
        let said = said.or_else(known);
        if let Some((_, found)) = &mut self.reading {
            found.insert(id.to_owned(), Entry { revision, said });
        }
    }

    /// All entries have been read: what is not among them has been deleted meanwhile.
    pub fn read_end(&mut self) {
        let Some((revision, found)) = self.reading.take() else { return };
        if revision < self.kept.revision {
            self.refused += 1;
            return;
        }
        let gone: Vec<String> = self.entries.keys().filter(|id| !found.contains_key(*id)).cloned().collect();
        gone.iter().for_each(|id| self.take(id, revision, None));
        for (id, entry) in found {
            // An entry that can't be read and was not known is none.
            if entry.said.is_some() {
                self.take(&id, entry.revision, entry.said);
            }
        }
        self.kept.revision = revision;
    }

    /// A key was written or, where `said` is none, deleted, at a revision. Those of one revision come one after the other.
    pub fn event(&mut self, id: &str, revision: i64, said: Option<V>) {
        if revision < self.kept.revision {
            self.refused += 1;
            return;
        }
        self.take(id, revision, said);
        self.kept.revision = revision;
    }

    /// A key was written with a value that can't be read.
    pub fn unread(&mut self, id: &str, revision: i64) {
        if revision < self.kept.revision {
            self.refused += 1;
            return;
        }
        if let Some(entry) = self.entries.get_mut(id) {
            entry.revision = entry.revision.max(revision);
        }
        self.kept.revision = revision;
    }

    /// All up to this revision has been told.
    pub fn progress(&mut self, revision: i64) {
        self.kept.revision = self.kept.revision.max(revision);
    }

    /// Whether the list has changed since this was last asked: however much came in, it is one change.
    pub fn take_change(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// The list as it is now, by id.
    pub fn list(&self) -> impl Iterator<Item = (&str, &V)> {
        self.entries.iter().filter_map(|(id, entry)| Some((id.as_str(), entry.said.as_ref()?)))
    }

    fn take(&mut self, id: &str, revision: i64, said: Option<V>) {
        let known = self.entries.get(id);
        if known.is_some_and(|known| revision < known.revision) {
            self.refused += 1;
            return;
        }
        let before = known.and_then(|known| known.said.clone());
        let retired = self.kept.retired.get(id).copied();
        let comes_back = |said: &V| retired.is_some_and(|retired| said.boot() <= retired);
        if said.as_ref().is_some_and(comes_back) {
            self.refused += 1;
            // The key's revision counts all the same; nobody is there under it.
            self.changed |= before.is_some();
            self.entries.insert(id.to_owned(), Entry { revision, said: None });
            return;
        }
        let retires = match (&before, &said) {
            (Some(before), None) => before.leaves().then(|| before.boot()),
            (Some(before), Some(said)) => (said.boot() > before.boot()).then(|| before.boot()),
            (None, _) => None,
        };
        if let Some(boot) = retires {
            let retired = self.kept.retired.entry(id.to_owned()).or_insert(boot);
            *retired = boot.max(*retired);
        }
        self.changed |= before != said;
        self.entries.insert(id.to_owned(), Entry { revision, said });
    }
}

//! Follows a server list in a store with revisions, and never moves backward. No I/O, no clock.
//!
//! The rules:
//! 1. The revision never decreases. Updates of a lower revision are ignored and counted; a store at a lower revision, or a
//!    different store, is not followed at all ([`FollowError`]).
//! 2. No entry is replaced by one of a lower revision.
//! 3. A start of a server is retired, and never comes back, once the server was leaving and its key was deleted, or once a
//!    later start was seen. A server whose key was deleted while it was ready, for example because its lease expired, is
//!    merely dropped and may come back.
//! 4. An entry that can't be decoded changes nothing but its revision: the server's last known value stays.

use std::collections::BTreeMap;

/// What the rules need to know of a server's value.
pub trait ListedServer: Clone + PartialEq {
    /// When the server last started; larger is later.
    fn boot(&self) -> i64;
    /// Returns true if the server is leaving or gone.
    fn is_leaving(&self) -> bool;
}

/// Why the store can't be followed any more until an operator intervenes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowError {
    /// It is a different store.
    Cluster { known: u64, found: u64 },
    /// It is at an older revision than was seen before.
    Backward { known: i64, found: i64 },
}

/// Checks that a store, given by cluster and revision, is the one known and not at an older revision.
pub fn check_continuity(known: (u64, i64), found: (u64, i64)) -> Result<(), FollowError> {
    if known.0 != found.0 {
        return Err(FollowError::Cluster { known: known.0, found: found.0 });
    }
    if found.1 < known.1 {
        return Err(FollowError::Backward { known: known.1, found: found.1 });
    }
    Ok(())
}

/// The state that must survive a restart, so that the next process can't move backward either.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FollowState {
    pub cluster: u64,
    pub revision: i64,
    /// The latest retired start of each server.
    pub retired: BTreeMap<String, i64>,
}

#[derive(Clone, Debug)]
struct Entry<V> {
    revision: i64,
    /// `None` if the key was deleted, or the start is retired.
    value: Option<V>,
}

/// A server list, kept up to date by reads and watch events under the rules above.
#[derive(Clone, Debug)]
pub struct Follower<V> {
    state: FollowState,
    entries: BTreeMap<String, Entry<V>>,
    /// The complete read in progress: its revision, and the entries found so far.
    pending_read: Option<(i64, BTreeMap<String, Entry<V>>)>,
    changed: bool,
    /// How many entries and events were ignored: of lower revisions, or of retired starts.
    pub ignored: u64,
}

impl<V: ListedServer> Follower<V> {
    pub fn new(state: FollowState) -> Follower<V> {
        Follower { state, entries: BTreeMap::new(), pending_read: None, changed: false, ignored: 0 }
    }

    /// The state to save.
    pub fn state(&self) -> &FollowState {
        &self.state
    }

    /// The revision from which to continue watching.
    pub fn next(&self) -> i64 {
        self.state.revision + 1
    }

    /// Checks the cluster and revision of a store's member that has answered. If the member is behind, another one should
    /// be tried; if all are behind, the store has moved backward.
    pub fn check_store(&mut self, cluster: u64, revision: i64) -> Result<(), FollowError> {
        let known = &mut self.state;
        if known.cluster == 0 {
            known.cluster = cluster;
        }
        check_continuity((known.cluster, known.revision), (cluster, revision))
    }

    /// Starts a complete read at one revision, which [`Follower::read_end`] applies. Discards a read in progress.
    pub fn read_begin(&mut self, revision: i64) {
        self.pending_read = Some((revision, BTreeMap::new()));
    }

    /// Adds an entry to the complete read; `value` is `None` if it can't be decoded.
    pub fn read_entry(&mut self, id: &str, revision: i64, value: Option<V>) {
        let known = || self.entries.get(id).and_then(|entry| entry.value.clone());
        let value = value.or_else(known);
        if let Some((_, found)) = &mut self.pending_read {
            found.insert(id.to_owned(), Entry { revision, value });
        }
    }

    /// Applies the complete read: entries that are not part of it have been deleted.
    pub fn read_end(&mut self) {
        let Some((revision, found)) = self.pending_read.take() else { return };
        if revision < self.state.revision {
            self.ignored += 1;
            return;
        }
        let gone: Vec<String> = self.entries.keys().filter(|id| !found.contains_key(*id)).cloned().collect();
        gone.iter().for_each(|id| self.update(id, revision, None));
        for (id, entry) in found {
            // An entry that can't be decoded and was not known is ignored.
            if entry.value.is_some() {
                self.update(&id, entry.revision, entry.value);
            }
        }
        self.state.revision = revision;
    }

    /// A key was written or, if `value` is `None`, deleted. Several events may have the same revision.
    pub fn event(&mut self, id: &str, revision: i64, value: Option<V>) {
        if revision < self.state.revision {
            self.ignored += 1;
            return;
        }
        self.update(id, revision, value);
        self.state.revision = revision;
    }

    /// A key was written with a value that can't be decoded.
    pub fn undecodable(&mut self, id: &str, revision: i64) {
        if revision < self.state.revision {
            self.ignored += 1;
            return;
        }
        if let Some(entry) = self.entries.get_mut(id) {
            entry.revision = entry.revision.max(revision);
        }
        self.state.revision = revision;
    }

    /// All events up to this revision have been received.
    pub fn progress(&mut self, revision: i64) {
        self.state.revision = self.state.revision.max(revision);
    }

    /// Returns true if the list has changed since the last call, however many updates came in.
    pub fn take_change(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// The current list, by id.
    pub fn list(&self) -> impl Iterator<Item = (&str, &V)> {
        self.entries.iter().filter_map(|(id, entry)| Some((id.as_str(), entry.value.as_ref()?)))
    }

    /// Applies a new value of an entry, or its deletion, under the rules.
    fn update(&mut self, id: &str, revision: i64, value: Option<V>) {
        let known = self.entries.get(id);
        if known.is_some_and(|known| revision < known.revision) {
            self.ignored += 1;
            return;
        }
        let old = known.and_then(|known| known.value.clone());
        let retired = self.state.retired.get(id).copied();
        let is_retired = |value: &V| retired.is_some_and(|retired| value.boot() <= retired);
        if value.as_ref().is_some_and(is_retired) {
            self.ignored += 1;
            // The key's revision is kept, but without a value.
            self.changed |= old.is_some();
            self.entries.insert(id.to_owned(), Entry { revision, value: None });
            return;
        }
        let newly_retired = match (&old, &value) {
            (Some(old), None) => old.is_leaving().then(|| old.boot()),
            (Some(old), Some(value)) => (value.boot() > old.boot()).then(|| old.boot()),
            (None, _) => None,
        };
        if let Some(boot) = newly_retired {
            let retired = self.state.retired.entry(id.to_owned()).or_insert(boot);
            *retired = boot.max(*retired);
        }
        self.changed |= old != value;
        self.entries.insert(id.to_owned(), Entry { revision, value });
    }
}

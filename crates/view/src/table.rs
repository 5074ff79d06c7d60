//! The membership table: for each name the record of its newest incarnation, and the votes on it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::wire::Range;
use crate::{mix, ForwarderSummary, Id, Incarnation, Time};

/// State of a member's incarnation; the higher one wins when records of an incarnation are merged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// A current member.
    Alive,
    /// It left by its own request.
    Left,
    /// It was dropped by the others; final for this incarnation.
    Gone,
}

/// The replicated state of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Hash of the name.
    pub id: Id,
    pub name: String,
    pub address: SocketAddr,
    pub incarnation: Incarnation,
    /// Raised only by the member itself, to refute suspicions of it (the incarnation number of SWIM).
    pub refutations: u32,
    pub state: State,
}

impl Record {
    /// Merge order: the newer incarnation wins; within one its end does, else the higher refutation count.
    fn rank(&self) -> (Incarnation, State, u32) {
        (self.incarnation, self.state, self.refutations)
    }

    fn hash(&self) -> u64 {
        let state = self.state as u64 + 1;
        mix(self.id ^ mix(self.incarnation ^ mix(u64::from(self.refutations) << 2 | state)))
    }
}

/// An observer's vote on whether another member answers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Vote {
    pub subject: Id,
    pub incarnation: Incarnation,
    pub refutations: u32,
    pub observer: Id,
    /// A later vote replaces an earlier one of the same observer.
    pub seq: u16,
    /// True for a suspicion, false if the subject answers.
    pub suspects: bool,
}

/// What the table holds of one name.
#[derive(Clone, Debug)]
pub struct Entry {
    pub record: Record,
    /// When the incarnation entered its state.
    pub state_since: Time,
    /// Votes on this incarnation at this refutation count.
    pub votes: Vec<Vote>,
    /// Since when at least one vote has been a suspicion.
    pub suspected_since: Option<Time>,
    /// Since when enough observers have suspected it to drop it: at least two, and more than vote it alive.
    pub suspect_majority_since: Option<Time>,
    /// Number and digest of its view as last reported by it.
    pub reported_view: Option<(u32, u64)>,
    /// Forwarders joined to it as last reported by it.
    pub forwarders: ForwarderSummary,
    /// When its last status was received.
    pub reported_at: Time,
    /// Since when its table has differed from this member's.
    pub differs_since: Option<Time>,
}

impl Entry {
    pub fn suspect_votes(&self) -> usize {
        self.votes.iter().filter(|vote| vote.suspects).count()
    }

    pub fn alive_votes(&self) -> usize {
        self.votes.len() - self.suspect_votes()
    }

    /// Returns true if at least two observers suspect it, and more than vote it alive.
    pub fn has_suspect_majority(&self) -> bool {
        self.suspect_votes() >= MIN_SUSPECT_VOTES && self.suspect_votes() > self.alive_votes()
    }
}

/// Result of merging a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merged {
    Changed,
    /// The same record is in the table.
    Unchanged,
    /// The table has a newer record.
    Stale,
    /// The table holds [`MAX_NAMES`] live members, so that none may be evicted.
    TableFull,
}

/// Records of all known names, the lost ones included.
#[derive(Debug, Default)]
pub struct Table {
    pub entries: BTreeMap<Id, Entry>,
    /// Digest of all records, independent of their order.
    pub digest: u64,
    /// Digest of the names and incarnations of current members.
    pub members_digest: u64,
    pub member_count: usize,
    /// Raised with each change of the current members.
    pub version: u64,
}

/// Names in the table, the lost ones included. Beyond it the name lost for the longest is evicted.
pub const MAX_NAMES: usize = 4_096;

/// Votes kept per member, of both outcomes together: more than it has observers.
const MAX_VOTES_PER_MEMBER: usize = 16;

/// Suspecting observers that it takes to drop a member.
const MIN_SUSPECT_VOTES: usize = 2;

/// Observers per member, one on each ring.
pub const OBSERVERS: u64 = 5;

impl Table {
    /// Adds a record to the digests and counts, or takes it out.
    fn update_totals(&mut self, record: &Record, added: bool) {
        self.digest ^= record.hash();
        if record.state == State::Alive {
            self.members_digest ^= mix(record.id ^ mix(record.incarnation));
            self.member_count = if added { self.member_count + 1 } else { self.member_count - 1 };
            self.version += 1;
        }
    }

    pub fn get(&self, id: Id) -> Option<&Entry> {
        self.entries.get(&id)
    }

    /// Returns true if the name is a current member.
    pub fn is_member(&self, id: Id) -> bool {
        self.get(id).is_some_and(|entry| entry.record.state == State::Alive)
    }

    /// Takes a record in unless the table has the same or a newer one.
    pub fn merge(&mut self, now: Time, record: &Record) -> Merged {
        let id = record.id;
        let known = self.entries.get(&id).map(|entry| (entry.record.rank(), entry.record.clone()));
        match &known {
            Some((rank, _)) if *rank == record.rank() => return Merged::Unchanged,
            Some((rank, _)) if *rank > record.rank() => return Merged::Stale,
            None if self.entries.len() >= MAX_NAMES && !self.evict() => return Merged::TableFull,
            _ => {}
        }
        if let Some((_, old)) = &known {
            self.update_totals(old, false);
        }
        self.update_totals(record, true);
        let same_life = known.as_ref().is_some_and(|(_, old)| old.incarnation == record.incarnation);
        let still = same_life && known.is_some_and(|(_, old)| old.state == record.state);
        let entry = self.entries.entry(id).or_insert_with(|| Entry {
            record: record.clone(),
            state_since: now,
            votes: Vec::new(),
            suspected_since: None,
            suspect_majority_since: None,
            reported_view: None,
            forwarders: ForwarderSummary::default(),
            reported_at: Time::MIN / 2,
            differs_since: None,
        });
        entry.record = record.clone();
        // Any newer record makes the votes on the former one void.
        entry.votes.clear();
        (entry.suspected_since, entry.suspect_majority_since) = (None, None);
        if !still {
            entry.state_since = now;
        }
        if !same_life {
            (entry.reported_view, entry.forwarders, entry.reported_at) =
                (None, ForwarderSummary::default(), Time::MIN / 2);
        }
        Merged::Changed
    }

    /// Removes the name lost for the longest. Returns false if all are current members.
    fn evict(&mut self) -> bool {
        let lost = self.entries.iter().filter(|(_, entry)| entry.record.state != State::Alive);
        let Some(oldest) = lost.min_by_key(|(id, entry)| (entry.state_since, **id)).map(|(id, _)| *id) else {
            return false;
        };
        if let Some(entry) = self.entries.remove(&oldest) {
            self.update_totals(&entry.record, false);
        }
        true
    }

    /// Records a vote. Returns true if it is newer than the observer's former one and refers to the current record.
    pub fn record_vote(&mut self, now: Time, vote: Vote) -> bool {
        let Some(entry) = self.entries.get_mut(&vote.subject) else { return false };
        let record = &entry.record;
        if record.state != State::Alive
            || (record.incarnation, record.refutations) != (vote.incarnation, vote.refutations)
        {
            return false;
        }
        match entry.votes.iter().position(|known| known.observer == vote.observer) {
            // Sequence numbers wrap around at 65536.
            Some(at) if vote.seq.wrapping_sub(entry.votes[at].seq) as i16 <= 0 => return false,
            Some(at) => entry.votes[at] = vote,
            None if entry.votes.len() >= MAX_VOTES_PER_MEMBER => return false,
            None => entry.votes.push(vote),
        }
        if entry.suspect_votes() == 0 {
            entry.suspected_since = None;
        } else {
            entry.suspected_since.get_or_insert(now);
        }
        entry.suspect_majority_since =
            entry.has_suspect_majority().then(|| entry.suspect_majority_since.unwrap_or(now));
        true
    }

    /// Current members, this one included.
    pub fn members(&self) -> impl Iterator<Item = (Id, &Entry)> {
        let all = self.entries.iter().map(|(id, entry)| (*id, entry));
        all.filter(|(_, entry)| entry.record.state == State::Alive)
    }

    /// The members that `observer` probes: its successor on each of [`OBSERVERS`] rings, each in its own pseudo-random order.
    pub fn subjects(&self, observer: Id) -> Vec<Id> {
        let mut subjects: Vec<Id> = (0..OBSERVERS)
            .filter_map(|ring| {
                let place = |id: Id| mix(id ^ mix(ring));
                let own = place(observer);
                let others = self.members().map(|(id, _)| id).filter(|&id| id != observer);
                others.min_by_key(|&id| (place(id).wrapping_sub(own), id))
            })
            .collect();
        subjects.sort_unstable();
        subjects.dedup();
        subjects
    }

    /// Entries of a range, the lost ones included.
    pub fn in_range(&self, range: Range) -> impl Iterator<Item = &Entry> {
        self.entries.range(range.first()..=range.last()).map(|(_, entry)| entry)
    }

    /// Digest of the records of a range.
    pub fn range_digest(&self, range: Range) -> u64 {
        self.in_range(range).fold(0, |sum, entry| sum ^ entry.record.hash())
    }
}

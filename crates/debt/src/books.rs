//! The owner's part: folding what has ended into sums at the store, and publishing each epoch; and everybody's: going by
//! the newest epoch, and never by an older one.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{Digest, Fact, Key, Ledger, Shares, Sum, Use};

/// A lease's use at the store. It stays when it is folded, so that nothing said of it late counts again, until its token is
/// below the floor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UseRow {
    #[serde(flatten)]
    pub fact: Fact,
    #[serde(default)]
    pub folded: bool,
}

impl UseRow {
    /// What the row becomes by a fact that is heard; none: it says no more.
    pub fn heard(row: Option<&UseRow>, fact: &Fact) -> Option<UseRow> {
        match row {
            None => Some(UseRow { fact: fact.clone(), folded: false }),
            Some(row) if row.folded => None,
            Some(row) => {
                let (used, last) = (row.fact.used.max(fact.used), row.fact.last || fact.last);
                let changed = (used, last) != (row.fact.used, row.fact.last);
                changed.then(|| UseRow { fact: Fact { used, last, ..row.fact.clone() }, folded: false })
            }
        }
    }
}

/// What is published with each fold: the ranking's version. The ranking follows from the sums as they are at this row's
/// revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochRow {
    pub epoch: u64,
    /// Of the duty under which it was published.
    pub term: u64,
    pub leases: u64,
    pub used: Use,
    /// What all used.
    pub all: Sum,
    /// Of the sums, in hex.
    pub digest: String,
    /// Uses under lower tokens are not taken any more: what was said of them is folded, or too old.
    pub floor: u64,
}

/// Sums of users and of groups, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sums {
    pub users: Vec<(String, Sum)>,
    pub groups: Vec<(String, Sum)>,
}

/// A transaction of the owner's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fold {
    /// Uses that are folded by it, each compared with its row's revision.
    pub uses: Vec<(Key, u64, UseRow)>,
    /// Folded uses that go, as they are below the floor.
    pub gone: Vec<Key>,
    pub sums: Sums,
    /// The epoch's row, compared with its revision; by that the sums are as the owner knows them.
    pub seen: u64,
    pub epoch: EpochRow,
}

/// What one steward knows of debts.
#[derive(Clone, Debug)]
pub struct Books {
    /// By the newest row that was published: what everybody ranks by.
    published: Ledger,
    row: Option<(u64, EpochRow)>,
    owner: Option<Owner>,
    /// Rows that were older than one known already.
    pub backward: u64,
    /// Times at which the sums did not have the digest that was published with them.
    pub differs: u64,
}

/// The owner's: uses that are not folded and those that are, and the sums with what it folds.
#[derive(Clone, Debug)]
struct Owner {
    term: u64,
    ledger: Ledger,
    open: BTreeMap<Key, (u64, UseRow)>,
    folded: BTreeMap<Key, u64>,
    ready: BTreeSet<Key>,
    busy: bool,
    /// Something was not as it was known: all is to be told anew.
    stale: bool,
}

impl Books {
    /// Uses folded in a transaction: each is written, and so are its user's sum and its group's.
    const FOLDS: usize = 30;

    /// Folded uses kept, so that late words of them are known for what they are: far more than agents have on their disks
    /// after days of not being heard.
    const KEPT: usize = 20_000;

    pub fn new(shares: Shares) -> Books {
        Books { published: Ledger::new(shares), row: None, owner: None, backward: 0, differs: 0 }
    }

    /// The epoch that is gone by; 0: none yet.
    pub fn epoch(&self) -> u64 {
        self.row.as_ref().map_or(0, |(_, row)| row.epoch)
    }

    pub fn floor(&self) -> u64 {
        self.row.as_ref().map_or(0, |(_, row)| row.floor)
    }

    /// The revision of the newest row; 0: none yet.
    pub fn revision(&self) -> u64 {
        self.row.as_ref().map_or(0, |(revision, _)| *revision)
    }

    /// What everybody ranks by.
    pub fn ledger(&self) -> &Ledger {
        &self.published
    }

    /// A published row, with the sums that changed since the one known before, as they are at its revision. Returns whether
    /// it is newer than what was known; an older one is never gone back to.
    pub fn published(&mut self, revision: u64, row: EpochRow, sums: Sums) -> bool {
        if let Some((known, old)) = &self.row {
            if *known >= revision || old.epoch > row.epoch {
                self.backward += u64::from(*known > revision || old.epoch > row.epoch);
                return false;
            }
        }
        take(&mut self.published, &row, &sums);
        if hex(&self.published.digest()) != row.digest {
            self.differs += 1;
        }
        self.row = Some((revision, row));
        true
    }

    /// This steward becomes the owner of the duty, and knows nothing as an owner yet: [`Books::uses`] tells.
    pub fn begin(&mut self, term: u64) {
        self.owner = Some(Owner {
            term,
            ledger: self.published.clone(),
            open: BTreeMap::new(),
            folded: BTreeMap::new(),
            ready: BTreeSet::new(),
            busy: false,
            stale: true,
        });
    }

    pub fn end(&mut self) {
        self.owner = None;
    }

    /// Whether all uses are to be told anew.
    pub fn is_stale(&self) -> bool {
        self.owner.as_ref().is_some_and(|owner| owner.stale)
    }

    /// All uses there are, read at one revision together with the newest published row, which is known.
    pub fn all_uses(&mut self) {
        let ledger = self.published.clone();
        if let Some(owner) = &mut self.owner {
            (owner.stale, owner.ledger) = (false, ledger);
            (owner.open, owner.folded, owner.ready) = Default::default();
        }
    }

    /// A use as the store has it.
    pub fn used(&mut self, key: Key, row: UseRow, revision: u64) {
        let Some(owner) = &mut self.owner else { return };
        if owner.open.get(&key).is_some_and(|(known, _)| *known >= revision)
            || owner.folded.get(&key).is_some_and(|known| *known >= revision)
        {
            return;
        }
        owner.open.remove(&key);
        owner.ready.remove(&key);
        if row.folded {
            owner.folded.insert(key, revision);
            return;
        }
        if row.fact.last {
            owner.ready.insert(key.clone());
        }
        owner.open.insert(key, (revision, row));
    }

    /// The next transaction: what has ended, some at a time; with `epoch`, the next one, where nothing is left behind.
    pub fn next(&mut self, epoch: bool) -> Option<Fold> {
        let (seen, row) = self.row.clone().unwrap_or_default();
        let owner = self.owner.as_mut().filter(|owner| !owner.busy && !owner.stale)?;
        if owner.ready.is_empty() && !epoch {
            return None;
        }
        let (mut uses, mut users, mut groups) = (Vec::new(), BTreeSet::new(), BTreeSet::new());
        for key in owner.ready.iter().take(Self::FOLDS) {
            let Some((revision, UseRow { fact, .. })) = owner.open.get(key) else { continue };
            owner.ledger.add(&fact.user, &fact.group, fact.used);
            users.insert(fact.user.clone());
            groups.insert(fact.group.clone());
            uses.push((key.clone(), *revision, UseRow { fact: fact.clone(), folded: true }));
        }
        let past = (owner.folded.len() + uses.len()).saturating_sub(Self::KEPT).min(Self::FOLDS);
        // Whole tokens go, so that the floor says of each whether it is kept; a few more than a bound of that size.
        let floor = owner
            .folded
            .keys()
            .take(past)
            .next_back()
            .map_or(row.floor, |(token, _)| row.floor.max(token + 1));
        let gone: Vec<Key> = owner
            .folded
            .keys()
            .take(2 * Self::FOLDS)
            .take_while(|(token, _)| *token < floor)
            .cloned()
            .collect();
        // A token with more leases than that waits for the next fold.
        let all = owner.folded.keys().nth(gone.len()).is_none_or(|(token, _)| *token >= floor);
        let floor = if all { floor } else { row.floor };
        owner.ledger.epoch += u64::from(epoch && owner.ready.len() <= uses.len());
        let ledger = &owner.ledger;
        let sums = Sums {
            users: users
                .into_iter()
                .filter_map(|user| Some((ledger.user(&user)?.clone(), user)))
                .map(swap)
                .collect(),
            groups: groups
                .into_iter()
                .filter_map(|group| Some((ledger.group(&group)?.clone(), group)))
                .map(swap)
                .collect(),
        };
        let epoch = EpochRow {
            epoch: ledger.epoch,
            term: owner.term,
            leases: ledger.leases,
            used: ledger.used,
            all: ledger.all().clone(),
            digest: hex(&ledger.digest()),
            floor,
        };
        owner.busy = true;
        Some(Fold { uses, gone, sums, seen, epoch })
    }

    /// What came of it: the revision, where it was carried out. Where it was not, somebody else has folded, or a use has
    /// grown: all is to be told anew.
    pub fn done(&mut self, fold: Fold, revision: Option<u64>) {
        let Some(owner) = &mut self.owner else { return };
        owner.busy = false;
        let Some(revision) = revision else {
            owner.stale = true;
            return;
        };
        for (key, ..) in &fold.uses {
            owner.open.remove(key);
            owner.ready.remove(key);
            owner.folded.insert(key.clone(), revision);
        }
        fold.gone.iter().for_each(|key| _ = owner.folded.remove(key));
        self.published(revision, fold.epoch, fold.sums);
    }

    /// Uses that wait to be folded, and those that are kept though they are.
    pub fn open(&self) -> (usize, usize) {
        self.owner.as_ref().map_or((0, 0), |owner| (owner.open.len(), owner.folded.len()))
    }
}

fn swap((sum, name): (Sum, String)) -> (String, Sum) {
    (name, sum)
}

fn take(ledger: &mut Ledger, row: &EpochRow, sums: &Sums) {
    sums.users.iter().for_each(|(user, sum)| ledger.set_user(user, sum.clone()));
    sums.groups.iter().for_each(|(group, sum)| ledger.set_group(group, sum.clone()));
    ledger.set_all(row.all.clone());
    (ledger.epoch, ledger.leases, ledger.used) = (row.epoch, row.leases, row.used);
}

pub(crate) fn hex(digest: &Digest) -> String {
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn books() -> Books {
        Books::new(Shares { groups: BTreeMap::new(), users: BTreeMap::new(), other: 1, half_life: 4 })
    }

    fn ended(user: &str, used: Use) -> UseRow {
        let fact = Fact { user: user.to_owned(), group: "g".to_owned(), used, last: true };
        UseRow { fact, folded: false }
    }

    /// A store of rows by key, as the owner writes them.
    #[derive(Clone, Default)]
    struct Rows {
        revision: u64,
        uses: BTreeMap<Key, (u64, UseRow)>,
        users: BTreeMap<String, Sum>,
        groups: BTreeMap<String, Sum>,
        epoch: (u64, EpochRow),
    }

    impl Rows {
        /// Carries a fold out where all that it compares is so.
        fn fold(&mut self, fold: &Fold) -> Option<u64> {
            let uses =
                fold.uses.iter().all(|(key, seen, _)| self.uses.get(key).map_or(0, |row| row.0) == *seen);
            if !uses || self.epoch.0 != fold.seen {
                return None;
            }
            self.revision += 1;
            for (key, _, row) in &fold.uses {
                self.uses.insert(key.clone(), (self.revision, row.clone()));
            }
            self.users.extend(fold.sums.users.iter().cloned());
            self.groups.extend(fold.sums.groups.iter().cloned());
            self.epoch = (self.revision, fold.epoch.clone());
            Some(self.revision)
        }

        fn sums(&self) -> Sums {
            let all = |of: &BTreeMap<String, Sum>| {
                of.iter().map(|(name, sum)| (name.clone(), sum.clone())).collect()
            };
            Sums { users: all(&self.users), groups: all(&self.groups) }
        }

        fn tell(&self, books: &mut Books) {
            if self.epoch.0 > 0 {
                books.published(self.epoch.0, self.epoch.1.clone(), self.sums());
            }
            if books.is_stale() {
                books.all_uses();
            }
            self.uses.iter().for_each(|(key, (at, row))| books.used(key.clone(), row.clone(), *at));
        }
    }

    #[test]
    fn a_lease_is_folded_once_whichever_owner_does_it() {
        let mut rows = Rows { revision: 10, ..Rows::default() };
        rows.uses.insert((7, "x".to_owned()), (5, ended("a", 640)));
        rows.uses.insert((7, "y".to_owned()), (6, ended("b", 100)));
        let (mut one, mut two) = (books(), books());
        one.begin(3);
        rows.tell(&mut one);
        two.begin(4);
        rows.tell(&mut two);
        // Both fold the same; the second's comparisons fail, and it goes on by what is so.
        let (a, b) = (one.next(false).expect("a fold"), two.next(false).expect("a fold"));
        let done = rows.fold(&b);
        assert!(done.is_some());
        two.done(b, done);
        let late = rows.fold(&a);
        assert_eq!(late, None);
        one.done(a, late);
        assert!(one.is_stale() && one.next(false).is_none());
        rows.tell(&mut one);
        assert_eq!(one.next(false), None);
        assert_eq!((rows.epoch.1.leases, rows.epoch.1.used), (2, 740));
        assert_eq!((one.ledger().digest(), one.differs), (two.ledger().digest(), 0));
    }

    #[test]
    fn all_have_one_digest_at_a_version_and_none_goes_back() {
        let mut rows = Rows { revision: 10, ..Rows::default() };
        let (mut owner, mut other) = (books(), books());
        owner.begin(3);
        let mut before = None;
        for round in 0..20u64 {
            for n in 0..40 {
                rows.revision += 1;
                let row = ended(&format!("u{}", n % 7), 1_000 + n * round);
                rows.uses.insert((round * 100 + n / 3, format!("j{n}")), (rows.revision, row));
            }
            rows.tell(&mut owner);
            while owner.epoch() <= round {
                let fold = owner.next(true).expect("a fold");
                let done = rows.fold(&fold);
                assert!(done.is_some());
                owner.done(fold, done);
            }
            let (at, row) = rows.epoch.clone();
            assert!(other.published(at, row, rows.sums()));
            if let Some((at, row)) = before.replace(rows.epoch.clone()) {
                assert!(!other.published(at, row, Sums::default()), "older");
            }
            assert_eq!((other.epoch(), other.differs), (round + 1, 0));
            assert_eq!(other.ledger().digest(), owner.ledger().digest());
            assert_eq!(other.ledger().rank(), owner.ledger().rank());
        }
        assert_eq!((rows.epoch.1.leases, other.backward), (800, 19));
    }

    #[test]
    fn what_is_heard_of_a_folded_lease_is_no_news() {
        let row = UseRow::heard(None, &ended("a", 5).fact).expect("news");
        assert_eq!(UseRow::heard(Some(&row), &ended("a", 5).fact), None);
        assert_eq!(UseRow::heard(Some(&row), &ended("a", 6).fact).map(|row| row.fact.used), Some(6));
        let folded = UseRow { folded: true, ..row };
        assert_eq!(UseRow::heard(Some(&folded), &ended("a", 9).fact), None);
    }
}

//! The leader folds ended leases into totals at the store and publishes each epoch; every steward follows the newest
//! published epoch and never returns to an older one.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{Digest, Fact, Key, Ledger, ServerTime, Shares, Total};

/// A lease's use at the store. The entry stays when it is folded, so that late reports are not counted again, until
/// its token falls below the floor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UseRow {
    #[serde(flatten)]
    pub fact: Fact,
    #[serde(default)]
    pub folded: bool,
}

impl UseRow {
    /// Returns the entry merged with a reported fact, or `None` if the fact changes nothing.
    pub fn merge(row: Option<&UseRow>, fact: &Fact) -> Option<UseRow> {
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

/// Published with each fold; its epoch is the ranking's version. The ranking follows from the totals as they are at
/// this entry's revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochRow {
    pub epoch: u64,
    /// The term of the duty under which it was published.
    pub term: u64,
    pub leases: u64,
    pub used: ServerTime,
    /// The total of all users.
    pub all: Total,
    /// The digest of the totals, in hex.
    pub digest: String,
    /// Uses under lower tokens are not accepted any more: they are folded already, or too old.
    pub floor: u64,
}

/// Totals of users and of groups, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    pub users: Vec<(String, Total)>,
    pub groups: Vec<(String, Total)>,
}

/// A transaction of the duty's leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fold {
    /// The uses to fold, each with the revision that its entry must have.
    pub uses: Vec<(Key, u64, UseRow)>,
    /// Folded uses to delete, as they are below the floor.
    pub gone: Vec<Key>,
    pub totals: Totals,
    /// The revision that the epoch's entry must have. If it has, the totals are as the leader knows them.
    pub seen: u64,
    pub epoch: EpochRow,
}

/// One steward's view of debts, and the leader's state while it leads the duty.
#[derive(Clone, Debug)]
pub struct DebtTracker {
    /// The totals of the newest published epoch, which all stewards rank by.
    published: Ledger,
    row: Option<(u64, EpochRow)>,
    leader: Option<LeaderState>,
    /// Published entries that were older than the one known already.
    pub stale_epochs: u64,
    /// How often the totals did not match the digest published with them.
    pub digest_mismatches: u64,
}

/// The leader's state: uses that are folded and uses that are not, and the totals including the folds under way.
#[derive(Clone, Debug)]
struct LeaderState {
    term: u64,
    ledger: Ledger,
    open_uses: BTreeMap<Key, (u64, UseRow)>,
    folded: BTreeMap<Key, u64>,
    ended_uses: BTreeSet<Key>,
    fold_pending: bool,
    /// An entry was not as expected: all uses must be read again.
    stale: bool,
}

impl DebtTracker {
    /// Uses folded in one transaction. Each is written, and so are its user's total and its group's.
    const USES_PER_FOLD: usize = 30;

    /// Folded uses kept at the store, so that late reports of them are recognised: far more than agents have on their
    /// disks after days without contact.
    const MAX_FOLDED_USES: usize = 20_000;

    pub fn new(shares: Shares) -> DebtTracker {
        DebtTracker {
            published: Ledger::new(shares),
            row: None,
            leader: None,
            stale_epochs: 0,
            digest_mismatches: 0,
        }
    }

    /// The epoch of the ranking in use; 0 if there is none yet.
    pub fn epoch(&self) -> u64 {
        self.row.as_ref().map_or(0, |(_, row)| row.epoch)
    }

    /// The token below which uses are not accepted any more.
    pub fn floor(&self) -> u64 {
        self.row.as_ref().map_or(0, |(_, row)| row.floor)
    }

    /// The revision of the newest published entry; 0 if there is none yet.
    pub fn revision(&self) -> u64 {
        self.row.as_ref().map_or(0, |(revision, _)| *revision)
    }

    /// The ledger that all stewards rank by.
    pub fn ledger(&self) -> &Ledger {
        &self.published
    }

    /// Applies a published entry with the totals that changed since the last known one, as they are at its revision.
    /// Returns true if it is newer than the last known one; an older one is ignored.
    pub fn apply_published(&mut self, revision: u64, row: EpochRow, totals: Totals) -> bool {
        if let Some((known, old)) = &self.row {
            if *known >= revision || old.epoch > row.epoch {
                self.stale_epochs += u64::from(*known > revision || old.epoch > row.epoch);
                return false;
            }
        }
        apply_epoch(&mut self.published, &row, &totals);
        if hex(&self.published.digest()) != row.digest {
            self.digest_mismatches += 1;
        }
        self.row = Some((revision, row));
        true
    }

    /// This steward becomes the leader of the duty. It knows no uses as a leader yet: [`DebtTracker::used`] takes them.
    pub fn start_leading(&mut self, term: u64) {
        self.leader = Some(LeaderState {
            term,
            ledger: self.published.clone(),
            open_uses: BTreeMap::new(),
            folded: BTreeMap::new(),
            ended_uses: BTreeSet::new(),
            fold_pending: false,
            stale: true,
        });
    }

    /// This steward doesn't lead the duty any more.
    pub fn stop_leading(&mut self) {
        self.leader = None;
    }

    /// Returns true if all uses must be read again.
    pub fn needs_reload(&self) -> bool {
        self.leader.as_ref().is_some_and(|leader| leader.stale)
    }

    /// Forgets the leader's uses before all of them are passed to [`DebtTracker::used`] again, as read at one revision
    /// together with the newest published entry. That entry is applied already.
    pub fn reset_uses(&mut self) {
        let ledger = self.published.clone();
        if let Some(leader) = &mut self.leader {
            (leader.stale, leader.ledger) = (false, ledger);
            (leader.open_uses, leader.folded, leader.ended_uses) = Default::default();
        }
    }

    /// Takes a use as the store has it at a revision.
    pub fn used(&mut self, key: Key, row: UseRow, revision: u64) {
        let Some(leader) = &mut self.leader else { return };
        if leader.open_uses.get(&key).is_some_and(|(known, _)| *known >= revision)
            || leader.folded.get(&key).is_some_and(|known| *known >= revision)
        {
            return;
        }
        leader.open_uses.remove(&key);
        leader.ended_uses.remove(&key);
        if row.folded {
            leader.folded.insert(key, revision);
            return;
        }
        if row.fact.last {
            leader.ended_uses.insert(key.clone());
        }
        leader.open_uses.insert(key, (revision, row));
    }

    /// Returns the next transaction, which folds a bounded number of ended leases. With `epoch`, it also advances the
    /// epoch if no ended lease is left over.
    pub fn next(&mut self, epoch: bool) -> Option<Fold> {
        let (seen, row) = self.row.clone().unwrap_or_default();
        let leader = self.leader.as_mut().filter(|leader| !leader.fold_pending && !leader.stale)?;
        if leader.ended_uses.is_empty() && !epoch {
            return None;
        }
        let (mut uses, mut users, mut groups) = (Vec::new(), BTreeSet::new(), BTreeSet::new());
        for key in leader.ended_uses.iter().take(Self::USES_PER_FOLD) {
            let Some((revision, UseRow { fact, .. })) = leader.open_uses.get(key) else { continue };
            leader.ledger.add(&fact.user, &fact.group, fact.used);
            users.insert(fact.user.clone());
            groups.insert(fact.group.clone());
            uses.push((key.clone(), *revision, UseRow { fact: fact.clone(), folded: true }));
        }
        let excess =
            (leader.folded.len() + uses.len()).saturating_sub(Self::MAX_FOLDED_USES).min(Self::USES_PER_FOLD);
        // Only whole tokens are deleted, so that the floor alone tells whether a token is kept; that may exceed the
        // bound by a few.
        let floor = leader
            .folded
            .keys()
            .take(excess)
            .next_back()
            .map_or(row.floor, |(token, _)| row.floor.max(token + 1));
        let gone: Vec<Key> = leader
            .folded
            .keys()
            .take(2 * Self::USES_PER_FOLD)
            .take_while(|(token, _)| *token < floor)
            .cloned()
            .collect();
        // A token with more leases than that waits for the next fold.
        let all = leader.folded.keys().nth(gone.len()).is_none_or(|(token, _)| *token >= floor);
        let floor = if all { floor } else { row.floor };
        leader.ledger.epoch += u64::from(epoch && leader.ended_uses.len() <= uses.len());
        let ledger = &leader.ledger;
        let totals = Totals {
            users: users
                .into_iter()
                .filter_map(|user| Some((ledger.user(&user)?.clone(), user)))
                .map(name_first)
                .collect(),
            groups: groups
                .into_iter()
                .filter_map(|group| Some((ledger.group(&group)?.clone(), group)))
                .map(name_first)
                .collect(),
        };
        let epoch = EpochRow {
            epoch: ledger.epoch,
            term: leader.term,
            leases: ledger.leases,
            used: ledger.used,
            all: ledger.all().clone(),
            digest: hex(&ledger.digest()),
            floor,
        };
        leader.fold_pending = true;
        Some(Fold { uses, gone, totals, seen, epoch })
    }

    /// Completes a fold: `revision` is set if it was carried out. If not, another leader has folded or a use has
    /// grown, and all uses must be read again.
    pub fn complete(&mut self, fold: Fold, revision: Option<u64>) {
        let Some(leader) = &mut self.leader else { return };
        leader.fold_pending = false;
        let Some(revision) = revision else {
            leader.stale = true;
            return;
        };
        for (key, ..) in &fold.uses {
            leader.open_uses.remove(key);
            leader.ended_uses.remove(key);
            leader.folded.insert(key.clone(), revision);
        }
        fold.gone.iter().for_each(|key| _ = leader.folded.remove(key));
        self.apply_published(revision, fold.epoch, fold.totals);
    }

    /// The number of uses that wait to be folded, and of folded ones that are kept.
    pub fn use_counts(&self) -> (usize, usize) {
        self.leader.as_ref().map_or((0, 0), |leader| (leader.open_uses.len(), leader.folded.len()))
    }
}

fn name_first((sum, name): (Total, String)) -> (String, Total) {
    (name, sum)
}

fn apply_epoch(ledger: &mut Ledger, row: &EpochRow, totals: &Totals) {
    totals.users.iter().for_each(|(user, sum)| ledger.set_user(user, sum.clone()));
    totals.groups.iter().for_each(|(group, sum)| ledger.set_group(group, sum.clone()));
    ledger.set_all(row.all.clone());
    (ledger.epoch, ledger.leases, ledger.used) = (row.epoch, row.leases, row.used);
}

pub(crate) fn hex(digest: &Digest) -> String {
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn tracker() -> DebtTracker {
        DebtTracker::new(Shares { groups: BTreeMap::new(), users: BTreeMap::new(), other: 1, half_life: 4 })
    }

    fn ended(user: &str, used: ServerTime) -> UseRow {
        let fact = Fact { user: user.to_owned(), group: "g".to_owned(), used, last: true };
        UseRow { fact, folded: false }
    }

    /// A store of entries by key, as the leader writes them.
    #[derive(Clone, Default)]
    struct StoreModel {
        revision: u64,
        uses: BTreeMap<Key, (u64, UseRow)>,
        users: BTreeMap<String, Total>,
        groups: BTreeMap<String, Total>,
        epoch: (u64, EpochRow),
    }

    impl StoreModel {
        /// Carries a fold out if all its comparisons hold.
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
            self.users.extend(fold.totals.users.iter().cloned());
            self.groups.extend(fold.totals.groups.iter().cloned());
            self.epoch = (self.revision, fold.epoch.clone());
            Some(self.revision)
        }

        fn totals(&self) -> Totals {
            let all = |of: &BTreeMap<String, Total>| {
                of.iter().map(|(name, sum)| (name.clone(), sum.clone())).collect()
            };
            Totals { users: all(&self.users), groups: all(&self.groups) }
        }

        fn read_into(&self, tracker: &mut DebtTracker) {
            if self.epoch.0 > 0 {
                tracker.apply_published(self.epoch.0, self.epoch.1.clone(), self.totals());
            }
            if tracker.needs_reload() {
                tracker.reset_uses();
            }
            self.uses.iter().for_each(|(key, (at, row))| tracker.used(key.clone(), row.clone(), *at));
        }
    }

    #[test]
    fn a_lease_is_folded_once_when_two_leaders_try() {
        let mut store = StoreModel { revision: 10, ..StoreModel::default() };
        store.uses.insert((7, "x".to_owned()), (5, ended("a", 640)));
        store.uses.insert((7, "y".to_owned()), (6, ended("b", 100)));
        let (mut one, mut two) = (tracker(), tracker());
        one.start_leading(3);
        store.read_into(&mut one);
        two.start_leading(4);
        store.read_into(&mut two);
        // Both fold the same uses: the comparisons of the second transaction fail, and its steward reads the store
        // again.
        let (a, b) = (one.next(false).expect("a fold"), two.next(false).expect("a fold"));
        let done = store.fold(&b);
        assert!(done.is_some());
        two.complete(b, done);
        let late = store.fold(&a);
        assert_eq!(late, None);
        one.complete(a, late);
        assert!(one.needs_reload() && one.next(false).is_none());
        store.read_into(&mut one);
        assert_eq!(one.next(false), None);
        assert_eq!((store.epoch.1.leases, store.epoch.1.used), (2, 740));
        assert_eq!((one.ledger().digest(), one.digest_mismatches), (two.ledger().digest(), 0));
    }

    #[test]
    fn stewards_agree_on_a_digest_and_never_return_to_an_older_epoch() {
        let mut store = StoreModel { revision: 10, ..StoreModel::default() };
        let (mut leader, mut other) = (tracker(), tracker());
        leader.start_leading(3);
        let mut before = None;
        for round in 0..20u64 {
            for n in 0..40 {
                store.revision += 1;
                let row = ended(&format!("u{}", n % 7), 1_000 + n * round);
                store.uses.insert((round * 100 + n / 3, format!("j{n}")), (store.revision, row));
            }
            store.read_into(&mut leader);
            while leader.epoch() <= round {
                let fold = leader.next(true).expect("a fold");
                let done = store.fold(&fold);
                assert!(done.is_some());
                leader.complete(fold, done);
            }
            let (at, row) = store.epoch.clone();
            assert!(other.apply_published(at, row, store.totals()));
            if let Some((at, row)) = before.replace(store.epoch.clone()) {
                assert!(!other.apply_published(at, row, Totals::default()), "an older epoch is ignored");
            }
            assert_eq!((other.epoch(), other.digest_mismatches), (round + 1, 0));
            assert_eq!(other.ledger().digest(), leader.ledger().digest());
            assert_eq!(other.ledger().rank(), leader.ledger().rank());
        }
        assert_eq!((store.epoch.1.leases, other.stale_epochs), (800, 19));
    }

    #[test]
    fn reports_of_a_folded_lease_are_ignored() {
        let row = UseRow::merge(None, &ended("a", 5).fact).expect("a new use");
        assert_eq!(UseRow::merge(Some(&row), &ended("a", 5).fact), None);
        assert_eq!(UseRow::merge(Some(&row), &ended("a", 6).fact).map(|row| row.fact.used), Some(6));
        let folded = UseRow { folded: true, ..row };
        assert_eq!(UseRow::merge(Some(&folded), &ended("a", 9).fact), None);
    }
}

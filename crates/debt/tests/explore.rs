//! Random interleavings of use reports, folds and changes of the leader, with a small model of the store. In any
//! order each use counts once, with its final value, and all stewards compute the same ranking.

use std::collections::BTreeMap;

use ravenspar_debt::{DebtTracker, EpochRow, Fact, Fold, Key, Ledger, Shares, Total, Totals, UseRow};

const STEWARDS: usize = 3;
const LEASES: u64 = 6;

/// A safeguard to leave out, to show that the test needs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    Nothing,
    /// A fold is written without comparing the entries that it is based on.
    Compare,
    /// A reported use is added to the known one instead of merged with it.
    Merge,
    /// A use is deleted once it is folded.
    Mark,
}

/// A use with its entry's revision.
type Row = (u64, UseRow);

fn shares() -> Shares {
    Shares { other: 1, half_life: 8, ..Shares::default() }
}

#[derive(Clone, Default)]
struct StoreModel {
    revision: u64,
    uses: BTreeMap<Key, Row>,
    users: BTreeMap<String, Total>,
    groups: BTreeMap<String, Total>,
    epoch: (u64, EpochRow),
}

struct World {
    without: Without,
    store: StoreModel,
    trackers: Vec<DebtTracker>,
    leader: Option<usize>,
    term: u64,
    /// Folds on their way to the store, possibly of former leaders.
    pending_folds: Vec<(usize, Fold, u64)>,
    /// Reported uses on their way, each with the entry that was read for it.
    pending_reports: Vec<(Key, Fact, Option<Row>)>,
    /// What each lease has actually used by now, and whether it has ended.
    actual_uses: BTreeMap<Key, Fact>,
}

impl World {
    fn new(without: Without) -> World {
        World {
            without,
            store: StoreModel { revision: 10, ..StoreModel::default() },
            trackers: (0..STEWARDS).map(|_| DebtTracker::new(shares())).collect(),
            leader: None,
            term: 0,
            pending_folds: Vec::new(),
            pending_reports: Vec::new(),
            actual_uses: BTreeMap::new(),
        }
    }

    fn read_store(&mut self, n: usize) {
        let all =
            |of: &BTreeMap<String, Total>| of.iter().map(|(name, sum)| (name.clone(), sum.clone())).collect();
        let totals = Totals { users: all(&self.store.users), groups: all(&self.store.groups) };
        let tracker = &mut self.trackers[n];
        if self.store.epoch.0 > 0 {
            tracker.apply_published(self.store.epoch.0, self.store.epoch.1.clone(), totals);
        }
        if tracker.needs_reload() {
            tracker.reset_uses();
        }
        self.store.uses.iter().for_each(|(key, (at, row))| tracker.used(key.clone(), row.clone(), *at));
    }

    /// The store carries a fold out if all its comparisons hold, the claim's term among them.
    fn fold(&mut self, n: usize, fold: Fold, term: u64) {
        let uses =
            fold.uses.iter().all(|(key, seen, _)| self.store.uses.get(key).map_or(0, |row| row.0) == *seen);
        let applies = uses && self.store.epoch.0 == fold.seen && term == self.term && self.leader == Some(n);
        let done = (applies || self.without == Without::Compare).then(|| {
            self.store.revision += 1;
            for (key, _, row) in &fold.uses {
                self.store.uses.insert(key.clone(), (self.store.revision, row.clone()));
                if self.without == Without::Mark {
                    self.store.uses.remove(key);
                }
            }
            fold.gone.iter().for_each(|key| _ = self.store.uses.remove(key));
            self.store.users.extend(fold.totals.users.iter().cloned());
            self.store.groups.extend(fold.totals.groups.iter().cloned());
            self.store.epoch = (self.store.revision, fold.epoch.clone());
            self.store.revision
        });
        self.trackers[n].complete(fold, done);
    }

    fn apply_report(&mut self, key: Key, fact: Fact, read: Option<Row>) {
        let now = self.store.uses.get(&key);
        let read_entry = read.as_ref().map(|(_, row)| row);
        let row = match read_entry {
            Some(row) if self.without == Without::Merge && !row.folded => {
                let used = row.fact.used + fact.used;
                Some(UseRow { fact: Fact { used, ..fact }, folded: false })
            }
            read_entry => UseRow::merge(read_entry, &fact),
        };
        // The entry must be as it was read.
        if now.map_or(0, |row| row.0) != read.as_ref().map_or(0, |row| row.0) {
            return;
        }
        if let Some(row) = row {
            self.store.revision += 1;
            self.store.uses.insert(key, (self.store.revision, row));
        }
    }

    fn step(&mut self, rng: &mut fastrand::Rng) {
        match rng.u8(0..9) {
            0 => {
                let number = rng.u64(0..LEASES);
                let key = (number / 2, format!("job-{number}"));
                let fact = Fact { user: format!("u{}", number % 3), group: "g".into(), used: 0, last: false };
                let fact = self.actual_uses.entry(key).or_insert(fact);
                if !fact.last {
                    fact.used += rng.u64(1..100);
                    fact.last = rng.u8(0..3) == 0;
                }
            }
            1 | 2 => {
                // Reported to a steward, which reads the entry; earlier reports may be on their way as well.
                let Some((key, fact)) =
                    self.actual_uses.iter().nth(rng.usize(0..self.actual_uses.len().max(1)))
                else {
                    return;
                };
                let read = self.store.uses.get(key).cloned();
                self.pending_reports.push((key.clone(), fact.clone(), read));
            }
            3 if !self.pending_reports.is_empty() => {
                let (key, fact, read) =
                    self.pending_reports.swap_remove(rng.usize(0..self.pending_reports.len()));
                self.apply_report(key, fact, read);
            }
            4 => self.read_store(rng.usize(0..STEWARDS)),
            5 => {
                let Some(n) = self.leader else { return };
                if let Some(fold) = self.trackers[n].next(rng.bool()) {
                    self.pending_folds.push((n, fold, self.term));
                }
            }
            6 | 7 if !self.pending_folds.is_empty() => {
                let (n, fold, term) = self.pending_folds.swap_remove(rng.usize(0..self.pending_folds.len()));
                self.fold(n, fold, term);
            }
            8 if rng.u8(0..4) == 0 => {
                // Another leader; folds of the one before may still arrive.
                let n = rng.usize(0..STEWARDS);
                self.term += 1;
                self.leader = Some(n);
                self.trackers[n].stop_leading();
                self.trackers[n].start_leading(self.term);
            }
            _ => {}
        }
    }

    /// Everything is reported again until it is counted, by an undisturbed leader.
    fn settle(&mut self) {
        self.pending_folds.clear();
        self.pending_reports.clear();
        (self.term, self.leader) = (self.term + 1, Some(0));
        self.trackers[0].stop_leading();
        self.trackers[0].start_leading(self.term);
        self.actual_uses.values_mut().for_each(|fact| fact.last = true);
        for (key, fact) in self.actual_uses.clone() {
            let read = self.store.uses.get(&key).cloned();
            self.apply_report(key, fact, read);
        }
        for _ in 0..4 {
            (0..STEWARDS).for_each(|n| self.read_store(n));
            while let Some(fold) = self.trackers[0].next(false) {
                self.fold(0, fold, self.term);
            }
        }
    }

    /// Returns the first violated property.
    fn violation(&self) -> Option<String> {
        let used: u64 = self.actual_uses.values().map(|fact| fact.used).sum();
        if (self.store.epoch.1.used, self.store.epoch.1.leases) != (used, self.actual_uses.len() as u64) {
            return Some(format!(
                "{} of {} leases counted where {used} of {} were used",
                self.store.epoch.1.used,
                self.store.epoch.1.leases,
                self.actual_uses.len()
            ));
        }
        let first = self.trackers[0].ledger();
        for tracker in &self.trackers {
            if tracker.digest_mismatches > 0
                || tracker.ledger().digest() != first.digest()
                || tracker.ledger().rank() != first.rank()
            {
                return Some("two stewards rank differently".to_owned());
            }
        }
        None
    }
}

fn first_violation(without: Without, seeds: std::ops::Range<u64>) -> Option<(u64, String)> {
    seeds.into_iter().find_map(|seed| {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut world = World::new(without);
        (0..150).for_each(|_| world.step(&mut rng));
        world.settle();
        world.violation().map(|why| (seed, why))
    })
}

#[test]
fn each_use_counts_once_in_any_order() {
    assert_eq!(first_violation(Without::Nothing, 0..3_000), None);
}

#[test]
fn each_safeguard_that_is_left_out_is_found() {
    for without in [Without::Compare, Without::Merge, Without::Mark] {
        let found = first_violation(without, 0..3_000);
        println!("{without:?}: {found:?}");
        assert!(found.is_some(), "{without:?} is not found");
    }
}

/// Measures a ledger, whose queries cost by what changes, with up to a hundred thousand users and a million leases.
/// `cargo test --release -p ravenspar-debt --test explore -- --ignored --nocapture`
#[test]
#[ignore = "a measurement"]
fn scale() {
    for users in [1_000usize, 10_000, 100_000] {
        let mut rng = fastrand::Rng::with_seed(1);
        let mut ledger = Ledger::new(Shares { half_life: 360, ..shares() });
        let began = std::time::Instant::now();
        (0..1_000_000u64).for_each(|_| {
            let user = rng.usize(0..users);
            ledger.add(&format!("user-{user:06}"), &format!("group-{:03}", user % 500), rng.u64(1..100_000));
        });
        let folded = began.elapsed();
        ledger.epoch += 1;
        let began = std::time::Instant::now();
        let digest = ledger.digest();
        let digested = began.elapsed();
        let began = std::time::Instant::now();
        let owes: u128 = (0..1_000).map(|user| u128::from(ledger.debt_of(&format!("user-{user:06}")))).sum();
        let asked = began.elapsed();
        let began = std::time::Instant::now();
        let rank = ledger.rank();
        println!(
            "{users} users: a million leases folded in {:.2} s; digest {:.1} us; a thousand users asked {:.2} ms; all {} ranked {:.1} ms ({digest:02x?}, {owes})",
            folded.as_secs_f64(),
            digested.as_secs_f64() * 1e6,
            asked.as_secs_f64() * 1e3,
            rank.len(),
            began.elapsed().as_secs_f64() * 1e3,
        );
    }
}

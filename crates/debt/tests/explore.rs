//! Uses said to several stewards and folded by owners that may be late, with a store as a small model: whatever order things
//! come in, each use counts once, as it was, and all reckon alike.

use std::collections::BTreeMap;

use ravenspar_debt::{Books, EpochRow, Fact, Fold, Key, Ledger, Shares, Sum, Sums, UseRow};

const STEWARDS: usize = 3;
const LEASES: u64 = 6;

/// What is left out, to see that it is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    Nothing,
    /// A fold is written whatever the rows that it goes by are by now.
    Compare,
    /// A use that is heard of is added to what is known, not merged with it.
    Merge,
    /// A use is forgotten once it is folded.
    Mark,
}

/// A use with its row's revision.
type Row = (u64, UseRow);

fn shares() -> Shares {
    Shares { other: 1, half_life: 8, ..Shares::default() }
}

#[derive(Clone, Default)]
struct Rows {
    revision: u64,
    uses: BTreeMap<Key, Row>,
    users: BTreeMap<String, Sum>,
    groups: BTreeMap<String, Sum>,
    epoch: (u64, EpochRow),
}

struct World {
    without: Without,
    rows: Rows,
    books: Vec<Books>,
    owner: Option<usize>,
    term: u64,
    /// Folds on their way to the store, of owners that may be none any more.
    folds: Vec<(usize, Fold, u64)>,
    /// Uses on their way, with the row that was read for each.
    heard: Vec<(Key, Fact, Option<Row>)>,
    /// What each lease has used by now, and whether it has ended.
    truth: BTreeMap<Key, Fact>,
}

impl World {
    fn new(without: Without) -> World {
        World {
            without,
            rows: Rows { revision: 10, ..Rows::default() },
            books: (0..STEWARDS).map(|_| Books::new(shares())).collect(),
            owner: None,
            term: 0,
            folds: Vec::new(),
            heard: Vec::new(),
            truth: BTreeMap::new(),
        }
    }

    fn look(&mut self, n: usize) {
        let all =
            |of: &BTreeMap<String, Sum>| of.iter().map(|(name, sum)| (name.clone(), sum.clone())).collect();
        let sums = Sums { users: all(&self.rows.users), groups: all(&self.rows.groups) };
        let books = &mut self.books[n];
        if self.rows.epoch.0 > 0 {
            books.published(self.rows.epoch.0, self.rows.epoch.1.clone(), sums);
        }
        if books.is_stale() {
            books.all_uses();
        }
        self.rows.uses.iter().for_each(|(key, (at, row))| books.used(key.clone(), row.clone(), *at));
    }

    /// The store carries a fold out where all that it compares is so; the claim is compared too, by its term.
    fn fold(&mut self, n: usize, fold: Fold, term: u64) {
        let uses =
            fold.uses.iter().all(|(key, seen, _)| self.rows.uses.get(key).map_or(0, |row| row.0) == *seen);
        let so = uses && self.rows.epoch.0 == fold.seen && term == self.term && self.owner == Some(n);
        let done = (so || self.without == Without::Compare).then(|| {
            self.rows.revision += 1;
            for (key, _, row) in &fold.uses {
                self.rows.uses.insert(key.clone(), (self.rows.revision, row.clone()));
                if self.without == Without::Mark {
                    self.rows.uses.remove(key);
                }
            }
            fold.gone.iter().for_each(|key| _ = self.rows.uses.remove(key));
            self.rows.users.extend(fold.sums.users.iter().cloned());
            self.rows.groups.extend(fold.sums.groups.iter().cloned());
            self.rows.epoch = (self.rows.revision, fold.epoch.clone());
            self.rows.revision
        });
        self.books[n].done(fold, done);
    }

    fn hear(&mut self, key: Key, fact: Fact, read: Option<Row>) {
        let now = self.rows.uses.get(&key);
        let known = read.as_ref().map(|(_, row)| row);
        let row = match known {
            Some(row) if self.without == Without::Merge && !row.folded => {
                let used = row.fact.used + fact.used;
                Some(UseRow { fact: Fact { used, ..fact }, folded: false })
            }
            known => UseRow::heard(known, &fact),
        };
        // Compared with what was read.
        if now.map_or(0, |row| row.0) != read.as_ref().map_or(0, |row| row.0) {
            return;
        }
        if let Some(row) = row {
            self.rows.revision += 1;
            self.rows.uses.insert(key, (self.rows.revision, row));
        }
    }

    fn step(&mut self, chance: &mut fastrand::Rng) {
        match chance.u8(0..9) {
            0 => {
                let number = chance.u64(0..LEASES);
                let key = (number / 2, format!("job-{number}"));
                let fact = Fact { user: format!("u{}", number % 3), group: "g".into(), used: 0, last: false };
                let fact = self.truth.entry(key).or_insert(fact);
                if !fact.last {
                    fact.used += chance.u64(1..100);
                    fact.last = chance.u8(0..3) == 0;
                }
            }
            1 | 2 => {
                // Said to a steward, which reads the row; earlier words are on their way as well.
                let Some((key, fact)) = self.truth.iter().nth(chance.usize(0..self.truth.len().max(1)))
                else {
                    return;
                };
                let read = self.rows.uses.get(key).cloned();
                self.heard.push((key.clone(), fact.clone(), read));
            }
            3 if !self.heard.is_empty() => {
                let (key, fact, read) = self.heard.swap_remove(chance.usize(0..self.heard.len()));
                self.hear(key, fact, read);
            }
            4 => self.look(chance.usize(0..STEWARDS)),
            5 => {
                let Some(n) = self.owner else { return };
                if let Some(fold) = self.books[n].next(chance.bool()) {
                    self.folds.push((n, fold, self.term));
                }
            }
            6 | 7 if !self.folds.is_empty() => {
                let (n, fold, term) = self.folds.swap_remove(chance.usize(0..self.folds.len()));
                self.fold(n, fold, term);
            }
            8 if chance.u8(0..4) == 0 => {
                // Another owner; what the one before asked for may still come.
                let n = chance.usize(0..STEWARDS);
                self.term += 1;
                self.owner = Some(n);
                self.books[n].end();
                self.books[n].begin(self.term);
            }
            _ => {}
        }
    }

    /// Everything is said again until it is counted, by an owner that nobody disturbs.
    fn rest(&mut self) {
        self.folds.clear();
        self.heard.clear();
        (self.term, self.owner) = (self.term + 1, Some(0));
        self.books[0].end();
        self.books[0].begin(self.term);
        self.truth.values_mut().for_each(|fact| fact.last = true);
        for (key, fact) in self.truth.clone() {
            let read = self.rows.uses.get(&key).cloned();
            self.hear(key, fact, read);
        }
        for _ in 0..4 {
            (0..STEWARDS).for_each(|n| self.look(n));
            while let Some(fold) = self.books[0].next(false) {
                self.fold(0, fold, self.term);
            }
        }
    }

    /// What is wrong, if anything.
    fn wrong(&self) -> Option<String> {
        let used: u64 = self.truth.values().map(|fact| fact.used).sum();
        if (self.rows.epoch.1.used, self.rows.epoch.1.leases) != (used, self.truth.len() as u64) {
            return Some(format!(
                "{} of {} leases counted where {used} of {} were used",
                self.rows.epoch.1.used,
                self.rows.epoch.1.leases,
                self.truth.len()
            ));
        }
        let first = self.books[0].ledger();
        for books in &self.books {
            if books.differs > 0
                || books.ledger().digest() != first.digest()
                || books.ledger().rank() != first.rank()
            {
                return Some("two reckon otherwise".to_owned());
            }
        }
        None
    }
}

fn first_wrong(without: Without, seeds: std::ops::Range<u64>) -> Option<(u64, String)> {
    seeds.into_iter().find_map(|seed| {
        let mut chance = fastrand::Rng::with_seed(seed);
        let mut world = World::new(without);
        (0..150).for_each(|_| world.step(&mut chance));
        world.rest();
        world.wrong().map(|why| (seed, why))
    })
}

#[test]
fn each_use_counts_once_in_any_order() {
    assert_eq!(first_wrong(Without::Nothing, 0..3_000), None);
}

#[test]
fn each_safeguard_that_is_left_out_is_found() {
    for without in [Without::Compare, Without::Merge, Without::Mark] {
        let found = first_wrong(without, 0..3_000);
        println!("{without:?}: {found:?}");
        assert!(found.is_some(), "{without:?} is not found");
    }
}

/// What is asked of a ledger costs by what changes: with a hundred thousand users and a million leases.
/// `cargo test --release -p ravenspar-debt --test explore -- --ignored --nocapture`
#[test]
#[ignore = "a measurement"]
fn scale() {
    for users in [1_000usize, 10_000, 100_000] {
        let mut chance = fastrand::Rng::with_seed(1);
        let mut ledger = Ledger::new(Shares { half_life: 360, ..shares() });
        let began = std::time::Instant::now();
        (0..1_000_000u64).for_each(|_| {
            let user = chance.usize(0..users);
            ledger.add(
                &format!("user-{user:06}"),
                &format!("group-{:03}", user % 500),
                chance.u64(1..100_000),
            );
        });
        let folded = began.elapsed();
        ledger.epoch += 1;
        let began = std::time::Instant::now();
        let digest = ledger.digest();
        let digested = began.elapsed();
        let began = std::time::Instant::now();
        let owes: u128 = (0..1_000).map(|user| u128::from(ledger.owes(&format!("user-{user:06}")))).sum();
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

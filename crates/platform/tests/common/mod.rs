//! Searches by chance over histories: the same cases on each run, others where the environment asks for them.

use std::fmt::Debug;

use proptest::prelude::*;
use proptest::test_runner::{FileFailurePersistence, RngSeed, TestRunner};

/// The seed unless `RAVENSPAR_SEED` names another.
const SEED: u64 = 40;

/// How a search goes.
pub struct Search {
    /// Cases, unless `RAVENSPAR_CASES` names another number.
    pub cases: u32,
    /// Tries to make a failure smaller.
    pub shrinks: u32,
    /// The file that keeps seeds of cases that failed, which are played first.
    pub failures: &'static str,
}

impl Search {
    /// Plays histories until one fails; prints what was searched, by which the same search can be played again.
    pub fn run<S: Strategy>(self, histories: &S, test: impl Fn(S::Value) -> Result<(), TestCaseError>)
    where
        S::Value: Debug,
    {
        let asked = |name: &str| std::env::var(name).ok();
        let number = |name: &str| asked(name).map(|text| text.parse().expect("a whole number"));
        let cases = number("RAVENSPAR_CASES").map_or(self.cases, |cases: u64| cases as u32);
        let seed = number("RAVENSPAR_SEED").unwrap_or(SEED);
        let config = ProptestConfig {
            cases,
            max_shrink_iters: self.shrinks,
            rng_seed: RngSeed::Fixed(seed),
            failure_persistence: Some(Box::new(FileFailurePersistence::Direct(self.failures))),
            source_file: Some(file!()),
            ..ProptestConfig::default()
        };
        let result = TestRunner::new(config).run(histories, test);
        println!("searched {cases} cases, RAVENSPAR_SEED={seed}");
        if let Err(failure) = result {
            panic!("{failure}");
        }
    }
}

//! Randomized searches over histories: the same cases on each run, unless the environment asks for others.

use std::fmt::Debug;

use proptest::prelude::*;
use proptest::test_runner::{FileFailurePersistence, RngSeed, TestRunner};

/// The seed, unless `RAVENSPAR_SEED` sets another.
const SEED: u64 = 40;

/// Parameters of a search.
pub struct Search {
    /// The number of cases, unless `RAVENSPAR_CASES` sets another.
    pub cases: u32,
    /// The number of attempts to shrink a failing case.
    pub max_shrinks: u32,
    /// The file that keeps the seeds of failed cases, which are run first.
    pub failures: &'static str,
}

impl Search {
    /// Tests histories until one fails. Prints the number of cases and the seed, with which the search can be
    /// repeated.
    pub fn run<S: Strategy>(self, histories: &S, test: impl Fn(S::Value) -> Result<(), TestCaseError>)
    where
        S::Value: Debug,
    {
        let env_text = |name: &str| std::env::var(name).ok();
        let env_number = |name: &str| env_text(name).map(|text| text.parse().expect("an integer"));
        let cases = env_number("RAVENSPAR_CASES").map_or(self.cases, |cases: u64| cases as u32);
        let seed = env_number("RAVENSPAR_SEED").unwrap_or(SEED);
        let config = ProptestConfig {
            cases,
            max_shrink_iters: self.max_shrinks,
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

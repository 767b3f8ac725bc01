//! A property test runner whose cases are the same in every run.

use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestCaseError, TestRunner};

const SEED: u64 = 11;
const CASES: u32 = 2_000;

/// Runs `test` on [`CASES`] values of `strategy`.
pub fn check<S: Strategy>(strategy: S, test: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    };
    TestRunner::new(config).run(&strategy, test).expect("holds for every value");
}

//! Runner for property tests with a fixed seed.

use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Returns a runner that generates the same `cases` cases in each run.
pub fn runner(cases: u32) -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config {
        failure_persistence: None,
        ..Config::with_cases(cases)
    };
    TestRunner::new_with_rng(config, rng)
}

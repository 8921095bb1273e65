//! Tests of the estimates of output length and batch capacity.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tanagerford_core::capacity::{Capacity, CapacitySettings};
use tanagerford_core::estimate::{EstimateKey, OutputEstimator};

fn key<'a>(tier: u8, class: &'a str, workspace: &'a str) -> EstimateKey<'a> {
    EstimateKey {
        tier,
        class,
        model: "small",
        workspace,
    }
}

/// Guards against an estimate that ignores a workspace's own lengths or has no fallback for a new workspace.
#[test]
fn estimates_fall_back_from_workspace_to_class_to_prior() {
    let mut estimator = OutputEstimator::new(200, 64);
    for _ in 0..40 {
        estimator.record(key(0, "chat", "terse"), 10);
        estimator.record(key(0, "chat", "verbose"), 30);
    }
    assert_eq!(estimator.expected(key(0, "chat", "terse"), 1_000), 10);
    assert_eq!(estimator.expected(key(0, "chat", "fresh"), 1_000), 20);
    assert_eq!(estimator.expected(key(0, "quote", "fresh"), 1_000), 200);
    assert_eq!(estimator.expected(key(0, "quote", "fresh"), 50), 50);
}

/// Guards against lengths of one tier that change or evict the estimates of another.
#[test]
fn tiers_do_not_share_samples_or_memory() {
    let mut estimator = OutputEstimator::new(200, 8);
    for _ in 0..40 {
        estimator.record(key(0, "chat", "acme"), 10);
    }
    for workspace in 0..1_000 {
        estimator.record(key(1, "chat", &format!("w{workspace}")), 900);
    }
    assert_eq!(estimator.expected(key(0, "chat", "acme"), 1_000), 10);
    assert!(estimator.len() <= 2 + 9, "{} keys", estimator.len());
}

/// Guards against estimates that keep old samples forever: lengths change when a customer changes its prompts.
#[test]
fn old_lengths_expire() {
    let mut estimator = OutputEstimator::new(200, 8);
    for tokens in [10, 500] {
        for _ in 0..600 {
            estimator.record(key(0, "chat", "acme"), tokens);
        }
    }
    assert_eq!(estimator.expected(key(0, "chat", "acme"), 1_000), 500);
}

/// Guards against a long-running request that is expected to end at once because it exceeded the mean.
#[test]
fn remaining_tokens_depend_on_those_generated() {
    let mut estimator = OutputEstimator::new(200, 8);
    (1..=100).for_each(|tokens| estimator.record(key(0, "chat", "acme"), tokens * 10));
    let remaining = |generated| estimator.remaining(key(0, "chat", "acme"), generated, 4_000);
    assert!((480..=540).contains(&remaining(0)), "{}", remaining(0));
    assert!((80..=140).contains(&remaining(800)), "{}", remaining(800));
    assert_eq!(remaining(2_000), 1_000);
}

fn capacity() -> Capacity {
    Capacity::new(CapacitySettings {
        token_gap: Duration::from_millis(40),
        prior_batch: 16,
        min_batch: 4,
        max_batch: 64,
    })
}

/// Guards against a fit that noise or the prior keeps away from the engine's real capacity.
#[test]
fn fit_finds_the_largest_batch_despite_noise() {
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let mut capacity = capacity();
    for _ in 0..5_000 {
        let batch = rng.random_range(capacity.limit() / 2..=capacity.limit());
        let gap_us = (10_000 + 1_000 * batch) * rng.random_range(85..=115) / 100;
        capacity.observe(batch, Duration::from_micros(u64::from(gap_us)));
    }
    // 10 ms and 1 ms per request: 24 requests take 34 ms and 30 requests take 40 ms.
    assert!(
        (22..=26).contains(&capacity.limit()),
        "{}",
        capacity.limit()
    );
    assert!(
        (27..=33).contains(&capacity.hard_limit()),
        "{}",
        capacity.hard_limit()
    );
}

/// Guards against limits outside the engine's bounds after implausible samples.
#[test]
fn limits_stay_within_bounds() {
    for gap in [Duration::ZERO, Duration::from_hours(1)] {
        let mut capacity = capacity();
        for batch in (0..64).cycle().take(3_000) {
            capacity.observe(batch, gap);
        }
        assert!((4..=64).contains(&capacity.limit()));
        assert!(capacity.hard_limit() >= capacity.limit());
    }
}

/// Guards against a lagging report that outweighs the sidecar's own observations.
#[test]
fn reports_have_a_small_weight() {
    let mut capacity = capacity();
    for batch in (8..=16).cycle().take(2_000) {
        capacity.observe(batch, Duration::from_millis(10 + u64::from(batch)));
    }
    let before = capacity.limit();
    for _ in 0..20 {
        capacity.observe_report(16, Duration::from_millis(400));
    }
    assert!(
        before - capacity.limit() <= 2,
        "{before} to {}",
        capacity.limit()
    );
}

//! Tests of the retry budget.

use std::time::Duration;

use tanagerford_core::dispatch::{BudgetLimits, RetryBudget};

const LIMITS: BudgetLimits = BudgetLimits {
    ratio: 0.2,
    extra: 108.0,
    window: Duration::from_secs(10),
};

/// Guards against entries that together exceed the retry limits of the pool in any window while every request keeps
/// asking for retries.
#[test]
fn all_entries_together_stay_within_the_pool_limits() {
    let entries = 8;
    let mut budgets: Vec<RetryBudget> = (0..entries).map(|_| RetryBudget::default()).collect();
    let mut requests = Vec::new();
    let mut retries = Vec::new();
    for tick in 0..3_000_u64 {
        let now = Duration::from_millis(tick * 10);
        let budget = &mut budgets[usize::try_from(tick).unwrap() % entries];
        // For half of the time there is hardly any traffic, so that windows with few requests follow windows with many.
        if (tick / 700) % 2 == 0 || tick % 50 == 0 {
            budget.on_request(now, &LIMITS);
            requests.push(now);
        }
        for _ in 0..3 {
            if budget.try_retry(now, &LIMITS, entries) {
                retries.push(now);
            }
        }
    }
    for end in 0..30 {
        let end = Duration::from_secs(end);
        let start = end.saturating_sub(LIMITS.window);
        let within = |times: &[Duration]| {
            let inside = times.iter().filter(|at| **at > start && **at <= end);
            f64::from(u32::try_from(inside.count()).unwrap())
        };
        let allowed = LIMITS.ratio * within(&requests) + LIMITS.extra;
        assert!(within(&retries) <= allowed, "{end:?}");
    }
    assert!(retries.len() > 100);
}

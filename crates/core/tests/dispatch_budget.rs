//! Tests of the budget of repeated calls.

use std::time::Duration;

use tanagerford_core::dispatch::{BudgetLimits, RetryBudget};

const LIMITS: BudgetLimits = BudgetLimits {
    ratio: 0.2,
    extra: 108.0,
    window: Duration::from_secs(10),
};

/// Guards against entries that together repeat more calls than the pool allows, in any window, when every request asks for
/// repeats all the time.
#[test]
fn all_entries_together_stay_within_the_limits_of_the_pool() {
    let entries = 8;
    let mut budgets: Vec<RetryBudget> = (0..entries).map(|_| RetryBudget::default()).collect();
    let mut requests = Vec::new();
    let mut repeats = Vec::new();
    for tick in 0..3_000_u64 {
        let now = Duration::from_millis(tick * 10);
        let budget = &mut budgets[usize::try_from(tick).unwrap() % entries];
        // Half of the time there is hardly any traffic, so that windows with few requests follow those with many.
        if (tick / 700) % 2 == 0 || tick % 50 == 0 {
            budget.on_request(now, &LIMITS);
            requests.push(now);
        }
        for _ in 0..3 {
            if budget.try_repeat(now, &LIMITS, entries) {
                repeats.push(now);
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
        assert!(within(&repeats) <= allowed, "{end:?}");
    }
    assert!(repeats.len() > 100);
}

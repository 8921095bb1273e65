//! Budget of repeated calls, one for each pool.
//!
//! All entries together may send a pool only so many calls beyond the first of each request. An entry cannot see what
//! the others spend, so it keeps to its own share: the ratio of its own requests, and its part of the constant.

use std::collections::VecDeque;
use std::time::Duration;

/// Servers that one call is sent to at most, refusals included.
pub const MAX_SENDS: usize = 4;

/// Limits of the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetLimits {
    /// Repeated calls for each request.
    pub ratio: f64,
    /// Repeated calls beside the ratio, for all entries together.
    pub extra: f64,
    /// Window in which both are counted.
    pub window: Duration,
}

/// Share of the limits that is used. The rest covers entries that are not known yet and windows that this entry sees
/// shifted against those of the fleet.
const USED_SHARE: f64 = 0.7;

/// Calls of one pool within the window.
#[derive(Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Duration>,
    repeats: VecDeque<Duration>,
}

impl RetryBudget {
    /// Records a request's first call.
    pub fn on_request(&mut self, now: Duration, limits: &BudgetLimits) {
        self.forget(now, limits);
        self.requests.push_back(now);
    }

    /// Takes one repeated call from the budget; returns whether it may be sent. `entries` is the count of entries that
    /// share the budget.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::dispatch::{BudgetLimits, RetryBudget};
    ///
    /// let limits = BudgetLimits { ratio: 0.2, extra: 10.0, window: Duration::from_secs(10) };
    /// let mut budget = RetryBudget::default();
    /// let granted = (0..20).filter(|_| budget.try_repeat(Duration::ZERO, &limits, 2)).count();
    /// assert_eq!(granted, 3);
    /// ```
    pub fn try_repeat(&mut self, now: Duration, limits: &BudgetLimits, entries: usize) -> bool {
        self.forget(now, limits);
        let count =
            |queue: &VecDeque<Duration>| f64::from(u32::try_from(queue.len()).unwrap_or(u32::MAX));
        let entries = f64::from(u32::try_from(entries.max(1)).unwrap_or(u32::MAX));
        let allowed = limits.ratio * count(&self.requests) + limits.extra / entries;
        if count(&self.repeats) + 1.0 > allowed * USED_SHARE {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn forget(&mut self, now: Duration, limits: &BudgetLimits) {
        for queue in [&mut self.requests, &mut self.repeats] {
            while queue
                .front()
                .is_some_and(|at| now.saturating_sub(*at) > limits.window)
            {
                queue.pop_front();
            }
        }
    }
}

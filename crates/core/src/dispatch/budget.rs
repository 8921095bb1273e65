//! Retry budget of a pool.
//!
//! The limits apply to all entries together. An entry cannot observe the retries of the others, so it uses only its own
//! share: the ratio of its own requests and its part of the constant.

use std::collections::VecDeque;
use std::time::Duration;

/// Largest number of servers that one call is sent to, including those that refuse it.
pub const MAX_ATTEMPTS_PER_CALL: usize = 4;

/// Limits on the retries of the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetLimits {
    /// Retries per request.
    pub ratio: f64,
    /// Retries in addition to the ratio, shared by all entries.
    pub extra: f64,
    /// Length of the sliding window in which requests and retries are counted.
    pub window: Duration,
}

/// Share of the limits that is used. The rest covers entries that are not known yet and the offset between the windows
/// of this entry and those of the fleet.
const USABLE_SHARE: f64 = 0.7;

/// Requests and retries of one pool within the window.
#[derive(Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

impl RetryBudget {
    /// Records the first attempt of a request.
    pub fn on_request(&mut self, now: Duration, limits: &BudgetLimits) {
        self.evict_expired(now, limits);
        self.requests.push_back(now);
    }

    /// Takes one retry from the budget and returns whether it may be sent. `entries` is the number of entries that
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
    /// let granted = (0..20).filter(|_| budget.try_retry(Duration::ZERO, &limits, 2)).count();
    /// assert_eq!(granted, 3);
    /// ```
    pub fn try_retry(&mut self, now: Duration, limits: &BudgetLimits, entries: usize) -> bool {
        self.evict_expired(now, limits);
        let count =
            |queue: &VecDeque<Duration>| f64::from(u32::try_from(queue.len()).unwrap_or(u32::MAX));
        let entries = f64::from(u32::try_from(entries.max(1)).unwrap_or(u32::MAX));
        let allowed = limits.ratio * count(&self.requests) + limits.extra / entries;
        if count(&self.retries) + 1.0 > allowed * USABLE_SHARE {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Returns the retry that was taken last, since it was not sent.
    pub fn return_retry(&mut self) {
        self.retries.pop_back();
    }

    fn evict_expired(&mut self, now: Duration, limits: &BudgetLimits) {
        for queue in [&mut self.requests, &mut self.retries] {
            while queue
                .front()
                .is_some_and(|at| now.saturating_sub(*at) > limits.window)
            {
                queue.pop_front();
            }
        }
    }
}

//! What a server said about its limit, and which of two statements holds.

use std::time::Duration;

/// Requests per second that a server takes from all entries together.
pub type RequestRate = f64;

/// Limit that an answer of a server names, or the absence of a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitStatement {
    /// Limit; `None` if the answer names none, which ends an earlier limit.
    pub limit: Option<RequestRate>,
    /// Time at which the request of the answer was sent.
    pub requested_at: Duration,
    /// Time at which the head of the answer arrived.
    pub answered_at: Duration,
}

impl LimitStatement {
    /// Returns whether `other` replaces this statement.
    ///
    /// The server made a statement at some time between the request and the arrival of the answer. If the intervals of two
    /// statements are disjoint, the later one holds. Otherwise their order is unknown and the lower limit holds.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::server_limit::LimitStatement;
    ///
    /// let statement = |limit, requested_ms, answered_ms| LimitStatement {
    ///     limit,
    ///     requested_at: Duration::from_millis(requested_ms),
    ///     answered_at: Duration::from_millis(answered_ms),
    /// };
    /// let limited = statement(Some(2.0), 10, 20);
    /// assert!(limited.is_replaced_by(&statement(None, 20, 30)));
    /// assert!(!limited.is_replaced_by(&statement(None, 15, 9_000)));
    /// assert!(limited.is_replaced_by(&statement(Some(1.0), 15, 30)));
    /// ```
    #[must_use]
    pub fn is_replaced_by(&self, other: &Self) -> bool {
        if other.requested_at >= self.answered_at {
            return true;
        }
        if self.requested_at >= other.answered_at {
            return false;
        }
        let (old, new) = (rate(self.limit), rate(other.limit));
        new < old || (new <= old && other.answered_at > self.answered_at)
    }
}

fn rate(limit: Option<RequestRate>) -> RequestRate {
    limit.unwrap_or(f64::INFINITY)
}

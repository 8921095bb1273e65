//! Rate limiting, batching and backoff of the claim writer.

use std::time::Duration;

/// Rate and delay limits of a claim writer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PacerLimits {
    /// Mean time between the starts of two writes under load.
    pub write_interval: Duration,
    /// Number of writes that an idle writer may start immediately, so that a claim that follows a completion is written
    /// without delay.
    pub burst: u32,
    /// Longest time for which completions are held back to be written together with a claim.
    pub completion_delay: Duration,
    /// Delay after the first failed call. It doubles with each consecutive failure up to `max_backoff`.
    pub initial_backoff: Duration,
    /// Upper limit of the delay after a failed call.
    pub max_backoff: Duration,
}

impl PacerLimits {
    /// Returns the limits of one of `writers` writers that share a budget of `writes_per_s`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::order::PacerLimits;
    ///
    /// assert_eq!(PacerLimits::shared(80, 4).write_interval, Duration::from_millis(50));
    /// ```
    #[must_use]
    pub fn shared(writes_per_s: u32, writers: u32) -> Self {
        let write_interval = Duration::from_secs(1) * writers.max(1) / writes_per_s.max(1);
        Self {
            write_interval,
            ..Self::default()
        }
    }
}

impl Default for PacerLimits {
    /// 25 writes per second. A pool with 1,000 orders/s stays below 0.1 calls per order with 80 writes per second, which
    /// 3 writers share. Completions are held back for up to 500 ms; a crash in that time leaves a finished order
    /// `unknown`.
    fn default() -> Self {
        Self {
            write_interval: Duration::from_millis(40),
            burst: 4,
            completion_delay: Duration::from_millis(500),
            initial_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(1),
        }
    }
}

/// Schedule of the claim writer.
///
/// An idle writer writes a claim immediately. Under load the claims of one interval are written together.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Pacer {
    earliest_start: Duration,
    /// Time until which the started writes exhaust the rate budget.
    budget_used_until: Duration,
    claims_due_at: Option<Duration>,
    completions_due_at: Option<Duration>,
    failures: u32,
}

impl Pacer {
    /// Records that a claim is queued.
    pub fn on_claim_queued(&mut self, now: Duration) {
        self.claims_due_at.get_or_insert(now);
    }

    /// Records that a completion is queued.
    pub fn on_completion_queued(&mut self, limits: &PacerLimits, now: Duration) {
        self.completions_due_at
            .get_or_insert(now + limits.completion_delay);
    }

    /// Returns when the next write is due, or `None` if nothing is queued.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::order::{Pacer, PacerLimits};
    ///
    /// let limits = PacerLimits { burst: 1, ..PacerLimits::default() };
    /// let now = Duration::from_secs(9);
    /// let mut pacer = Pacer::default();
    /// assert_eq!(pacer.due_at(), None);
    /// pacer.on_claim_queued(now);
    /// assert_eq!(pacer.due_at(), Some(now));
    /// pacer.start(&limits, now);
    /// pacer.on_claim_queued(now);
    /// assert_eq!(pacer.due_at(), Some(now + limits.write_interval));
    /// ```
    #[must_use]
    pub fn due_at(&self) -> Option<Duration> {
        let due_at = match (self.claims_due_at, self.completions_due_at) {
            (Some(claims), Some(completions)) => claims.min(completions),
            (claims, completions) => claims.or(completions)?,
        };
        Some(due_at.max(self.earliest_start))
    }

    /// Records the start of a write that includes all queued changes.
    pub fn start(&mut self, limits: &PacerLimits, now: Duration) {
        self.budget_used_until = self.budget_used_until.max(now) + limits.write_interval;
        let burst_allowance = limits.write_interval * limits.burst.saturating_sub(1);
        self.earliest_start = self.budget_used_until.saturating_sub(burst_allowance);
        self.claims_due_at = None;
        self.completions_due_at = None;
    }

    /// Records that the queue became empty without a write, for example after a read.
    pub fn clear(&mut self) {
        self.claims_due_at = None;
        self.completions_due_at = None;
    }

    /// Resets the backoff.
    pub fn on_call_success(&mut self) {
        self.failures = 0;
    }

    /// Starts or extends the backoff after a failed call. The changes stay queued.
    pub fn on_call_failure(&mut self, limits: &PacerLimits, now: Duration) {
        let backoff = limits.initial_backoff * (1 << self.failures.min(8));
        self.failures = self.failures.saturating_add(1);
        self.earliest_start = self
            .earliest_start
            .max(now + backoff.min(limits.max_backoff));
        self.on_claim_queued(now);
    }
}

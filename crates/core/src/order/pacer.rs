//! Timing of the claim writer.

use std::time::Duration;

/// Limits of a claim writer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PacerLimits {
    /// Mean time between the starts of two writes under load.
    pub write_interval: Duration,
    /// Writes that an idle writer may start at once. The claim of an order that follows a completion is then written
    /// without delay.
    pub burst: u32,
    /// Longest time that completions wait for a claim with which they can be written.
    pub completion_delay: Duration,
    /// Delay after the first failed call; doubles with each further failure up to `longest_backoff`.
    pub first_backoff: Duration,
    /// Longest delay after a failed call.
    pub longest_backoff: Duration,
}

impl PacerLimits {
    /// Returns the limits of one writer when `writers` writers share a budget of `writes_per_s`.
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
    /// 25 writes per second. 80 writes per second and pool keep 1,000 orders/s below 0.1 calls per order, divided by
    /// 3 writers. Completions wait up to 500 ms: a crash in that time leaves a finished order `unknown`.
    fn default() -> Self {
        Self {
            write_interval: Duration::from_millis(40),
            burst: 4,
            completion_delay: Duration::from_millis(500),
            first_backoff: Duration::from_millis(50),
            longest_backoff: Duration::from_secs(1),
        }
    }
}

/// Decides when the next group of changes is written.
///
/// A claim is written at once when the writer is idle. Under load the claims of one interval are written together.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Pacer {
    earliest_start: Duration,
    /// Time until which the writes so far use up the rate.
    paid_until: Duration,
    claims_due_at: Option<Duration>,
    completions_due_at: Option<Duration>,
    failures: u32,
}

impl Pacer {
    /// Notes that a claim waits.
    pub fn note_claim(&mut self, now: Duration) {
        self.claims_due_at.get_or_insert(now);
    }

    /// Notes that a completion waits.
    pub fn note_completion(&mut self, limits: &PacerLimits, now: Duration) {
        self.completions_due_at
            .get_or_insert(now + limits.completion_delay);
    }

    /// Returns when the next write is due, or `None` if nothing waits.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::order::{Pacer, PacerLimits};
    ///
    /// let limits = PacerLimits { burst: 1, ..PacerLimits::default() };
    /// let now = Duration::from_secs(9);
    /// let mut pacer = Pacer::default();
    /// assert_eq!(pacer.due_at(), None);
    /// pacer.note_claim(now);
    /// assert_eq!(pacer.due_at(), Some(now));
    /// pacer.start(&limits, now);
    /// pacer.note_claim(now);
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

    /// Notes that everything that waits is written now.
    pub fn start(&mut self, limits: &PacerLimits, now: Duration) {
        self.paid_until = self.paid_until.max(now) + limits.write_interval;
        let credit = limits.write_interval * limits.burst.saturating_sub(1);
        self.earliest_start = self.paid_until.saturating_sub(credit);
        self.claims_due_at = None;
        self.completions_due_at = None;
    }

    /// Notes that nothing waits any more although nothing was written, for example after a read.
    pub fn clear(&mut self) {
        self.claims_due_at = None;
        self.completions_due_at = None;
    }

    /// Notes that a call succeeded.
    pub fn succeed(&mut self) {
        self.failures = 0;
    }

    /// Notes that a call failed; the changes still wait.
    pub fn fail(&mut self, limits: &PacerLimits, now: Duration) {
        let backoff = limits.first_backoff * (1 << self.failures.min(8));
        self.failures = self.failures.saturating_add(1);
        self.earliest_start = self
            .earliest_start
            .max(now + backoff.min(limits.longest_backoff));
        self.note_claim(now);
    }
}

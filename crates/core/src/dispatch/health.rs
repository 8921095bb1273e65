//! Failures and slowness of one server as observed by one entry.

use std::time::Duration;

use super::decay;

/// Half-life of the recorded outcomes.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Successful calls assumed in addition to the recorded ones, so that one failure among few calls has little weight.
const PRIOR_CALLS: f64 = 4.0;
/// Ejection time after a failed connection; doubles with each further failure.
const INITIAL_EJECTION: Duration = Duration::from_millis(500);
/// Upper bound of the ejection time.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Number of consecutive broken or timed-out calls after which a server is ejected.
const EJECTION_THRESHOLD: u32 = 3;
/// Largest factor by which slowness increases the estimated cost.
const MAX_SLOWNESS: f64 = 8.0;
/// Weight of a new observation in the moving average of the slowness.
const SLOWNESS_WEIGHT: f64 = 0.3;

/// Outcome of a call as evidence of the server's health.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CallOutcome {
    /// Complete response.
    Answered {
        /// Measured time to the first part of the response, divided by the expected time. Values are clamped to the
        /// range from 1 to 8.
        slowness: f64,
    },
    /// Another server answered a hedge of the call first, so the call was cancelled. It shows that the server was slow, not
    /// that it would have answered.
    Overtaken {
        /// Time until the call was cancelled, divided by the expected time to the first part of the response.
        slowness: f64,
    },
    /// The server refused the request without running it.
    Refused,
    /// The response reports a failure of the server.
    Failed,
    /// The connection broke or the response was malformed.
    Broken,
    /// The connection could not be established.
    Unreachable,
    /// Nothing arrived within the expected time.
    TimedOut,
    /// Another server has taken over the address, or the server has a new incarnation.
    Restarted,
}

/// Failure rate, slowness and ejection state of a server.
#[derive(Debug, Default)]
pub struct Health {
    calls: f64,
    failures: f64,
    updated_at: Duration,
    slowness: Option<f64>,
    consecutive_failures: u32,
    ejected_until: Duration,
}

impl Health {
    /// Records the outcome of a call and, if it is evidence of an outage, ejects the server.
    pub fn record(&mut self, now: Duration, outcome: CallOutcome) {
        self.decay(now);
        self.calls += 1.0;
        match outcome {
            CallOutcome::Answered { slowness } => {
                self.record_slowness(slowness);
                self.consecutive_failures = 0;
                self.ejected_until = Duration::ZERO;
            }
            CallOutcome::Overtaken { slowness } => self.record_slowness(slowness),
            CallOutcome::Refused => self.failures += 0.5,
            CallOutcome::Failed => self.failures += 1.0,
            CallOutcome::Broken | CallOutcome::TimedOut => {
                self.failures += 1.0;
                self.consecutive_failures += 1;
                if self.consecutive_failures >= EJECTION_THRESHOLD {
                    self.eject(now, self.consecutive_failures - EJECTION_THRESHOLD);
                }
            }
            CallOutcome::Unreachable | CallOutcome::Restarted => {
                self.failures += 1.0;
                self.consecutive_failures += 1;
                self.eject(now, self.consecutive_failures - 1);
            }
        }
    }

    fn record_slowness(&mut self, slowness: f64) {
        let slowness = slowness.clamp(1.0, MAX_SLOWNESS);
        let old = self.slowness.unwrap_or(1.0);
        self.slowness = Some(old + (slowness - old) * SLOWNESS_WEIGHT);
    }

    fn eject(&mut self, now: Duration, doublings: u32) {
        let factor = 1_u32.checked_shl(doublings).unwrap_or(u32::MAX);
        let ejection = INITIAL_EJECTION.saturating_mul(factor).min(MAX_EJECTION);
        self.ejected_until = now + ejection;
    }

    fn decay(&mut self, now: Duration) {
        let factor = self.remaining_weight(now);
        self.calls *= factor;
        self.failures *= factor;
        self.updated_at = now;
    }

    fn remaining_weight(&self, now: Duration) -> f64 {
        decay::remaining_weight(now, self.updated_at, HALF_LIFE)
    }

    /// Returns whether the server is ejected and receives no calls.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::dispatch::{CallOutcome, Health};
    ///
    /// let mut health = Health::default();
    /// health.record(Duration::from_secs(9), CallOutcome::Unreachable);
    /// assert!(health.is_ejected(Duration::from_secs(9)));
    /// assert!(!health.is_ejected(Duration::from_secs(10)));
    /// ```
    #[must_use]
    pub fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }

    /// Returns the failure rate of recent calls, from 0 to 1.
    #[must_use]
    pub(crate) fn failure_rate(&self, now: Duration) -> f64 {
        let factor = self.remaining_weight(now);
        self.failures * factor / (self.calls * factor + PRIOR_CALLS)
    }

    /// Returns the factor by which the server is slower than expected. It decays to 1 without new observations.
    #[must_use]
    pub(crate) fn slowness(&self, now: Duration) -> f64 {
        let slowness = self.slowness.unwrap_or(1.0);
        1.0 + (slowness - 1.0) * self.remaining_weight(now)
    }
}

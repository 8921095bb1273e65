//! Failures and slowness of one server, as one entry sees them.

use std::time::Duration;

use super::decay;

/// Time in which half of the recorded outcomes is forgotten.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Outcomes that are assumed beside the recorded ones, so that one failure of few calls weighs little.
const PRIOR_CALLS: f64 = 4.0;
/// Ejection after a failed connection; doubles with each further one.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// Longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Consecutive broken calls that eject a server.
const BROKEN_LIMIT: u32 = 3;
/// Largest factor by which slowness raises the estimated cost.
const MAX_SLOWNESS: f64 = 8.0;
/// Weight of a new observation of slowness.
const SLOWNESS_WEIGHT: f64 = 0.3;

/// How a call went, as far as it tells about the server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CallEnd {
    /// A complete answer; `slowness` is the measured time to its first part over the expected time.
    Answered {
        /// 1 for as expected, 4 for four times as long.
        slowness: f64,
    },
    /// The server refused without running the request.
    Refused,
    /// An answer that reports a failure of the server.
    Failed,
    /// The connection broke or the bytes were no answer.
    Broken,
    /// No connection could be established.
    Unreachable,
    /// Nothing came in the expected time.
    Silent,
    /// Another server has the address, or the server began a new incarnation.
    Restarted,
}

/// Health of a server.
#[derive(Debug, Default)]
pub struct Health {
    calls: f64,
    failures: f64,
    updated: Duration,
    slowness: Option<f64>,
    consecutive: u32,
    ejected_until: Duration,
}

impl Health {
    /// Records the end of a call.
    pub fn record(&mut self, now: Duration, end: CallEnd) {
        self.decay(now);
        self.calls += 1.0;
        match end {
            CallEnd::Answered { slowness } => {
                let slowness = slowness.clamp(1.0, MAX_SLOWNESS);
                let old = self.slowness.unwrap_or(1.0);
                self.slowness = Some(old + (slowness - old) * SLOWNESS_WEIGHT);
                self.consecutive = 0;
                self.ejected_until = Duration::ZERO;
            }
            CallEnd::Refused => self.failures += 0.5,
            CallEnd::Failed => self.failures += 1.0,
            CallEnd::Broken | CallEnd::Silent => {
                self.failures += 1.0;
                self.consecutive += 1;
                if self.consecutive >= BROKEN_LIMIT {
                    self.eject(now, self.consecutive - BROKEN_LIMIT);
                }
            }
            CallEnd::Unreachable | CallEnd::Restarted => {
                self.failures += 1.0;
                self.consecutive += 1;
                self.eject(now, self.consecutive - 1);
            }
        }
    }

    fn eject(&mut self, now: Duration, doublings: u32) {
        let factor = 1_u32.checked_shl(doublings).unwrap_or(u32::MAX);
        let ejection = FIRST_EJECTION.saturating_mul(factor).min(MAX_EJECTION);
        self.ejected_until = now + ejection;
    }

    fn decay(&mut self, now: Duration) {
        let factor = self.remaining(now);
        self.calls *= factor;
        self.failures *= factor;
        self.updated = now;
    }

    fn remaining(&self, now: Duration) -> f64 {
        decay::remaining(now, self.updated, HALF_LIFE)
    }

    /// Returns whether the server receives no calls at present.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::dispatch::{CallEnd, Health};
    ///
    /// let mut health = Health::default();
    /// health.record(Duration::from_secs(9), CallEnd::Unreachable);
    /// assert!(health.is_ejected(Duration::from_secs(9)));
    /// assert!(!health.is_ejected(Duration::from_secs(10)));
    /// ```
    #[must_use]
    pub fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }

    /// Returns the share of recent calls that failed, from 0 to 1.
    #[must_use]
    pub fn failure_share(&self, now: Duration) -> f64 {
        let factor = self.remaining(now);
        self.failures * factor / (self.calls * factor + PRIOR_CALLS)
    }

    /// Returns the factor by which the server is slower than expected; it falls back to 1 without new observations.
    #[must_use]
    pub fn slowness(&self, now: Duration) -> f64 {
        let slowness = self.slowness.unwrap_or(1.0);
        1.0 + (slowness - 1.0) * self.remaining(now)
    }
}

//! Suspicion timeouts, as in Lifeguard.

use std::time::Duration;

/// Number of independent confirmations at which the timeout is shortest.
const MAX_CONFIRMATIONS: usize = 3;

/// Position of the timeout between the shortest (0) and the longest (1000) after 0 to 3 confirmations:
/// `1 - log(c + 1) / log(MAX_CONFIRMATIONS + 1)`.
const REMAINING_PERMILLE: [u32; MAX_CONFIRMATIONS + 1] = [1_000, 500, 208, 0];

/// Suspicion of one member.
#[derive(Debug)]
pub(super) struct Suspicion {
    started_at: Duration,
    /// Short keys of the members that suspect the member; the first one raised the suspicion.
    reporters: Vec<u32>,
}

impl Suspicion {
    pub fn new(now: Duration, reporter: u32) -> Self {
        Self {
            started_at: now,
            reporters: vec![reporter],
        }
    }

    /// Adds a reporter; returns whether this is a new confirmation, which shrinks the timeout.
    pub fn confirm(&mut self, reporter: u32) -> bool {
        let is_new =
            self.reporters.len() <= MAX_CONFIRMATIONS && !self.reporters.contains(&reporter);
        if is_new {
            self.reporters.push(reporter);
        }
        is_new
    }

    /// Returns the time at which the suspected member is declared dead. The shortest timeout is `min`, the longest
    /// `min * ratio`.
    pub fn deadline(&self, min: Duration, ratio: u32) -> Duration {
        let confirmations = (self.reporters.len() - 1).min(MAX_CONFIRMATIONS);
        let extra = min * ratio.saturating_sub(1);
        self.started_at + min + extra * REMAINING_PERMILLE[confirmations] / 1_000
    }
}

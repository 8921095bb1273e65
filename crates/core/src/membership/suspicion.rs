//! Suspicion timers of Lifeguard.

use std::time::Duration;

/// Count of independent confirmations after which the timeout is the shortest.
const MAX_CONFIRMATIONS: usize = 3;

/// Share of the way from the shortest to the longest timeout after 0 to 3 confirmations, in thousandths:
/// `1 - log(c + 1) / log(MAX_CONFIRMATIONS + 1)`.
const REMAINING_PERMILLE: [u32; MAX_CONFIRMATIONS + 1] = [1_000, 500, 208, 0];

/// Suspicion of one member.
#[derive(Debug)]
pub(super) struct Suspicion {
    started_at: Duration,
    /// Short keys of the members that suspect; the first began the suspicion.
    reporters: Vec<u32>,
}

impl Suspicion {
    pub fn new(now: Duration, reporter: u32) -> Self {
        Self {
            started_at: now,
            reporters: vec![reporter],
        }
    }

    /// Adds a reporter; returns whether it is a new confirmation that shrinks the timeout.
    pub fn confirm(&mut self, reporter: u32) -> bool {
        let is_new =
            self.reporters.len() <= MAX_CONFIRMATIONS && !self.reporters.contains(&reporter);
        if is_new {
            self.reporters.push(reporter);
        }
        is_new
    }

    /// Returns when the suspected member is declared dead, for the shortest timeout `min` and the longest one
    /// `min * ratio`.
    pub fn deadline(&self, min: Duration, ratio: u32) -> Duration {
        let confirmations = (self.reporters.len() - 1).min(MAX_CONFIRMATIONS);
        let extra = min * ratio.saturating_sub(1);
        self.started_at + min + extra * REMAINING_PERMILLE[confirmations] / 1_000
    }
}

//! Load hints that age.

use std::time::Duration;

/// Time after which a hint has lost two thirds of its weight. Model answers take seconds, so an older load says little.
const HINT_LIFETIME: Duration = Duration::from_secs(2);

/// Load at a server that does not come from this entry, as last reported.
#[derive(Debug, Clone, Copy)]
pub(super) struct Hint {
    pub(super) others: f64,
    pub(super) at: Duration,
}

impl Hint {
    /// Returns the value at `now`, faded towards `mean`.
    pub(super) fn faded(&self, now: Duration, mean: f64) -> f64 {
        mean + (self.others - mean) * remaining(self.at, now)
    }
}

/// Mean of recent hints, weighted by their age.
///
/// Both sums fade at the same rate, so they need no scan over the servers.
#[derive(Debug, Default)]
pub(super) struct FadingMean {
    sum: f64,
    weight: f64,
    at: Duration,
}

impl FadingMean {
    pub(super) fn add(&mut self, now: Duration, value: f64) {
        let remaining = remaining(self.at, now);
        self.sum = self.sum * remaining + value;
        self.weight = self.weight * remaining + 1.0;
        self.at = now;
    }

    /// Returns the mean, 0 before the first value.
    pub(super) fn value(&self) -> f64 {
        // Below this weight the quotient of two nearly vanished sums is noise.
        if self.weight < 1e-9 {
            0.0
        } else {
            self.sum / self.weight
        }
    }
}

fn remaining(at: Duration, now: Duration) -> f64 {
    let age = now.saturating_sub(at);
    (-age.as_secs_f64() / HINT_LIFETIME.as_secs_f64()).exp()
}

//! Load hints that age.

use std::time::Duration;

/// Time after which a hint has lost two thirds of its weight. An entry of a large fleet hears of a busy server only every
/// few seconds, so with 2 s it sends requests there again long before the queue is gone; in small pools, 15 s is too
/// long to follow bursts.
const HINT_LIFETIME: Duration = Duration::from_secs(5);

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

/// Mean of the servers' last hints, weighted by their age.
///
/// Each server counts once, however often it is heard of. Both sums fade at the same rate, so they need no scan over
/// the servers.
#[derive(Debug, Default)]
pub(super) struct FadingMean {
    sum: f64,
    weight: f64,
    at: Duration,
}

impl FadingMean {
    pub(super) fn add(&mut self, hint: &Hint) {
        let remaining = remaining(self.at, hint.at);
        self.sum = self.sum * remaining + hint.others;
        self.weight = self.weight * remaining + 1.0;
        self.at = hint.at;
    }

    /// Takes out an earlier hint.
    pub(super) fn remove(&mut self, hint: &Hint) {
        let weight = remaining(hint.at, self.at);
        self.sum -= hint.others * weight;
        self.weight -= weight;
    }

    /// Returns the mean, 0 before the first hint.
    pub(super) fn value(&self) -> f64 {
        // Below this weight the quotient of two nearly vanished sums is noise.
        if self.weight < 1e-6 {
            0.0
        } else {
            (self.sum / self.weight).max(0.0)
        }
    }
}

fn remaining(at: Duration, now: Duration) -> f64 {
    let age = now.saturating_sub(at);
    (-age.as_secs_f64() / HINT_LIFETIME.as_secs_f64()).exp()
}

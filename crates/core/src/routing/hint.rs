//! Load hints, which decay with their age.

use std::time::Duration;

/// Time constant of the exponential decay: a hint of this age has lost about two thirds of its weight. An entry of a
/// large fleet receives hints from a busy server only every few seconds, so with 2 s it sends requests there again long
/// before the queue has drained; in small pools, 15 s is too slow to follow bursts.
const HINT_DECAY_TIME: Duration = Duration::from_secs(5);

/// Last reported load of a server, without the requests of this entry.
#[derive(Debug, Clone, Copy)]
pub(super) struct Hint {
    pub(super) other_load: f64,
    pub(super) received_at: Duration,
}

impl Hint {
    /// Returns the load at `now`, decayed towards `mean`.
    pub(super) fn decayed(&self, now: Duration, mean: f64) -> f64 {
        mean + (self.other_load - mean) * decay_factor(self.received_at, now)
    }
}

/// Mean of the servers' last hints, weighted by their age.
///
/// Each server counts once, however often it sends hints. Both sums decay at the same rate, so an update does not have
/// to scan the servers.
#[derive(Debug, Default)]
pub(super) struct DecayingMean {
    sum: f64,
    weight: f64,
    updated_at: Duration,
}

impl DecayingMean {
    pub(super) fn add(&mut self, hint: &Hint) {
        let decay = decay_factor(self.updated_at, hint.received_at);
        self.sum = self.sum * decay + hint.other_load;
        self.weight = self.weight * decay + 1.0;
        self.updated_at = hint.received_at;
    }

    pub(super) fn remove(&mut self, hint: &Hint) {
        let weight = decay_factor(hint.received_at, self.updated_at);
        self.sum -= hint.other_load * weight;
        self.weight -= weight;
    }

    /// Returns the mean, 0 before the first hint.
    pub(super) fn value(&self) -> f64 {
        // Below this weight, rounding errors dominate the quotient.
        if self.weight < 1e-6 {
            0.0
        } else {
            (self.sum / self.weight).max(0.0)
        }
    }
}

fn decay_factor(since: Duration, now: Duration) -> f64 {
    let age = now.saturating_sub(since);
    (-age.as_secs_f64() / HINT_DECAY_TIME.as_secs_f64()).exp()
}

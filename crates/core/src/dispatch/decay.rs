//! Exponential decay.

use std::time::Duration;

/// Returns the weight at `now` of an observation made at `recorded`, from 1 down to 0.
pub(super) fn remaining_weight(now: Duration, recorded: Duration, half_life: Duration) -> f64 {
    let age = now.saturating_sub(recorded);
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

/// Number of recent events, in which each event loses weight with its age.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DecayedCount {
    count: f64,
    counted_at: Duration,
}

impl DecayedCount {
    /// Half-life of an event's weight.
    const HALF_LIFE: Duration = Duration::from_secs(2);

    pub(super) fn add(&mut self, now: Duration) {
        self.count = self.get(now) + 1.0;
        self.counted_at = now;
    }

    pub(super) fn get(&self, now: Duration) -> f64 {
        self.count * remaining_weight(now, self.counted_at, Self::HALF_LIFE)
    }

    /// Returns the rate of the events, which is exact if it is constant.
    pub(super) fn per_second(&self, now: Duration) -> f64 {
        self.get(now) * std::f64::consts::LN_2 / Self::HALF_LIFE.as_secs_f64()
    }
}

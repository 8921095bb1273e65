//! Exponential decay.

use std::time::Duration;

/// Returns the weight at `now` of an observation made at `recorded`, from 1 down to 0.
pub(super) fn remaining_weight(now: Duration, recorded: Duration, half_life: Duration) -> f64 {
    let age = now.saturating_sub(recorded);
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

//! Exponential forgetting.

use std::time::Duration;

/// Returns the share that is left at `now` of what was recorded at `recorded`.
pub(super) fn remaining(now: Duration, recorded: Duration, half_life: Duration) -> f64 {
    let age = now.saturating_sub(recorded);
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

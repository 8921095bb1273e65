//! Speed of a server that shares its machine with others, from the figures that it reports.

use std::time::Duration;

use super::decay;

/// How long work takes on a server now, in percent of the usual time.
pub type PacePercent = u32;

/// Range of the figures that count. A server that takes a hundredth or a hundred times of its usual time is faulty or lies.
const VALID_PERCENT: std::ops::RangeInclusive<PacePercent> = 10..=1_000;
/// Range of the estimate. Learned speeds are limited to a quarter and four times of their initial values.
const FACTOR_RANGE: (f64, f64) = (0.25, 4.0);
/// Half-life of the estimate's distance from the usual speed without new figures, equal to the time for which a reported load
/// counts.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// Weight of a new error in the averages that the response rate follows.
const ERROR_WEIGHT: f64 = 0.2;
/// Range of the weight of a new figure. The lower bound averages about twenty figures of a server whose pace flickers.
const RESPONSE_RANGE: (f64, f64) = (0.05, 0.8);

/// Returns whether a figure can be the pace of a server that works.
///
/// # Examples
///
/// ```
/// use tanagerford_core::dispatch::is_valid_pace;
///
/// assert!(is_valid_pace(100));
/// assert!(!is_valid_pace(0));
/// ```
#[must_use]
pub fn is_valid_pace(percent: PacePercent) -> bool {
    VALID_PERCENT.contains(&percent)
}

/// Estimate of the factor by which work on a server takes longer than usual.
///
/// The weight of a new figure follows the ratio of the mean error to the mean absolute error (Trigg and Leach: Exponential
/// smoothing with an adaptive response rate, 1967). It is large while the figures move in one direction and small while
/// they flicker around a mean.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tanagerford_core::dispatch::ServerPace;
///
/// let mut pace = ServerPace::default();
/// assert_eq!(pace.factor(Duration::ZERO), 1.0);
/// let at = |number: u32| Duration::from_millis(20) * number;
/// for number in 0..20 {
///     pace.observe(at(number), 200);
/// }
/// assert!((pace.factor(at(19)) - 2.0).abs() < 0.1);
/// // Without new figures the server counts as usual again.
/// assert!(pace.factor(at(19) + Duration::from_secs(10)) < 1.01);
/// ```
#[derive(Debug, Clone, Default)]
pub struct ServerPace {
    observed: Option<Observed>,
}

#[derive(Debug, Clone, Copy)]
struct Observed {
    factor: f64,
    mean_error: f64,
    mean_absolute_error: f64,
    updated_at: Duration,
}

impl ServerPace {
    /// Returns the factor at `now`, from 0.25 to 4; exactly 1 if the server has never reported its pace.
    #[must_use]
    pub fn factor(&self, now: Duration) -> f64 {
        self.observed.map_or(1.0, |observed| {
            let weight = decay::remaining_weight(now, observed.updated_at, HALF_LIFE);
            1.0 + (observed.factor - 1.0) * weight
        })
    }

    /// Records a reported figure. Figures that no working server can have are ignored.
    pub fn observe(&mut self, now: Duration, percent: PacePercent) {
        if !is_valid_pace(percent) {
            return;
        }
        let (min, max) = FACTOR_RANGE;
        let reported = (f64::from(percent) / 100.0).clamp(min, max);
        let before = self.factor(now);
        let error = reported - before;
        // Without earlier figures the first error is the best estimate of both means, and the response is the fastest.
        let (mean_error, mean_absolute_error) =
            self.observed.map_or((error, error.abs()), |observed| {
                (
                    observed.mean_error + (error - observed.mean_error) * ERROR_WEIGHT,
                    observed.mean_absolute_error
                        + (error.abs() - observed.mean_absolute_error) * ERROR_WEIGHT,
                )
            });
        let response = if mean_absolute_error > 0.0 {
            mean_error.abs() / mean_absolute_error
        } else {
            0.0
        };
        let response = response.clamp(RESPONSE_RANGE.0, RESPONSE_RANGE.1);
        self.observed = Some(Observed {
            factor: (before + error * response).clamp(min, max),
            mean_error,
            mean_absolute_error,
            updated_at: now.max(self.observed.map_or(now, |observed| observed.updated_at)),
        });
    }
}

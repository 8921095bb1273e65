//! Batch capacity of an engine, estimated from the observations of the sidecar.
//!
//! The inter-token latency is fitted as a linear function of the batch size by least squares with exponential
//! forgetting. The line gives the largest batch that meets the inter-token latency target. The engine's own reports
//! lag, so they correct the fit with a small weight only.

use std::time::Duration;

/// Factor on the weight of earlier samples when a sample is added.
const SAMPLE_DECAY: f64 = 0.9995;

/// Weight of each of the two points of the prior.
const PRIOR_WEIGHT: f64 = 50.0;

/// Weight of a load report relative to an observed sample.
const REPORT_WEIGHT: f64 = 0.05;

/// Share of the inter-token latency target that the prior assigns to an empty batch.
const PRIOR_EMPTY_BATCH_SHARE: f64 = 0.4;

/// Share of the inter-token latency target that may be used when requests are started. The rest absorbs the variation
/// between requests and short excesses, so that not every start in a higher tier causes a preemption.
const START_SHARE: f64 = 0.85;

/// Share of the inter-token latency target that running requests may use before the lowest tier is preempted.
const PREEMPTION_SHARE: f64 = 0.92;

/// Multiple of the largest observed batch up to which the fitted line is used.
const MAX_EXTRAPOLATION: f64 = 1.25;

/// Largest ratio of the hard limit to the limit; bounds the hard limit when the fitted line is flat.
const MAX_HARD_RATIO: f64 = 1.3;

/// Target, prior and bounds of a capacity estimate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CapacitySettings {
    /// Target for the inter-token latency.
    pub token_gap: Duration,
    /// Batch size that is assumed to meet the target until there are observations.
    pub prior_batch: u32,
    /// Lower bound of the limits; 0 counts as 1.
    pub min_batch: u32,
    /// Upper bound of the limits, a constant of the engine.
    pub max_batch: u32,
}

/// Estimate of the largest batch that meets the inter-token latency target.
///
/// ```
/// use std::time::Duration;
/// use tanagerford_core::capacity::{Capacity, CapacitySettings};
///
/// let mut capacity = Capacity::new(CapacitySettings {
///     token_gap: Duration::from_millis(40),
///     prior_batch: 16,
///     min_batch: 1,
///     max_batch: 64,
/// });
/// assert_eq!(capacity.limit(), 16);
/// // The engine is slower than the prior: 10 ms plus 3 ms per request of the batch.
/// for batch in (4..=16).cycle().take(2_000) {
///     capacity.observe(batch, Duration::from_millis(10 + 3 * u64::from(batch)));
/// }
/// assert!((7..=9).contains(&capacity.limit()));
/// assert!((9..=11).contains(&capacity.hard_limit()));
/// ```
#[derive(Debug, Clone)]
pub struct Capacity {
    settings: CapacitySettings,
    weight: f64,
    sum_batch: f64,
    sum_gap: f64,
    sum_batch_batch: f64,
    sum_batch_gap: f64,
    largest_observed_batch: u32,
    limit: u32,
    hard_limit: u32,
}

impl Capacity {
    /// Creates an estimate that starts from the prior.
    ///
    /// See [`Capacity`] for an example.
    #[must_use]
    pub fn new(settings: CapacitySettings) -> Self {
        let mut capacity = Self {
            settings,
            weight: 0.0,
            sum_batch: 0.0,
            sum_gap: 0.0,
            sum_batch_batch: 0.0,
            sum_batch_gap: 0.0,
            largest_observed_batch: 0,
            limit: 0,
            hard_limit: 0,
        };
        capacity.refit();
        capacity
    }

    /// Replaces the settings and keeps the observations.
    pub(crate) fn set_settings(&mut self, settings: CapacitySettings) {
        self.settings = settings;
        self.refit();
    }

    /// Records an observed inter-token latency at a batch size.
    ///
    /// See [`Capacity`] for an example.
    pub fn observe(&mut self, batch: u32, token_gap: Duration) {
        self.add(batch, token_gap, 1.0);
    }

    /// Records the engine's own report, which lags, with a small weight.
    pub fn observe_report(&mut self, batch: u32, token_gap: Duration) {
        self.add(batch, token_gap, REPORT_WEIGHT);
    }

    /// Returns the largest batch up to which requests are started. It meets the inter-token latency target with a
    /// margin.
    ///
    /// See [`Capacity`] for an example.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns the largest batch that meets the inter-token latency target with a smaller margin than
    /// [`limit`](Self::limit); a larger batch causes a preemption.
    ///
    /// See [`Capacity`] for an example.
    #[must_use]
    pub fn hard_limit(&self) -> u32 {
        self.hard_limit
    }

    /// Returns the predicted inter-token latency at a batch size.
    #[must_use]
    pub fn token_gap(&self, batch: u32) -> Duration {
        let (base, slope) = self.line();
        Duration::from_secs_f64((base + slope * f64::from(batch)).max(1e-6))
    }

    fn add(&mut self, batch: u32, token_gap: Duration, weight: f64) {
        self.largest_observed_batch = self.largest_observed_batch.max(batch);
        let target = self.settings.token_gap.as_secs_f64();
        // A stall, such as a crash or a paused VM, is unrelated to the batch size, so its influence is bounded.
        let gap = token_gap.as_secs_f64().min(8.0 * target);
        let batch = f64::from(batch);
        let decay_factor = 1.0 - (1.0 - SAMPLE_DECAY) * weight;
        self.weight = self.weight * decay_factor + weight;
        self.sum_batch = self.sum_batch * decay_factor + weight * batch;
        self.sum_gap = self.sum_gap * decay_factor + weight * gap;
        self.sum_batch_batch = self.sum_batch_batch * decay_factor + weight * batch * batch;
        self.sum_batch_gap = self.sum_batch_gap * decay_factor + weight * batch * gap;
        self.refit();
    }

    /// Returns the intercept and the slope of the fitted line, in seconds.
    fn line(&self) -> (f64, f64) {
        let target = self.settings.token_gap.as_secs_f64();
        let prior_batch = f64::from(self.settings.prior_batch.max(1));
        let base_gap = target * PRIOR_EMPTY_BATCH_SHARE;
        // The prior consists of one point at an empty batch and one at the assumed limit.
        let limit_gap = target * START_SHARE;
        let weight = self.weight + 2.0 * PRIOR_WEIGHT;
        let sum_batch = self.sum_batch + PRIOR_WEIGHT * prior_batch;
        let sum_gap = self.sum_gap + PRIOR_WEIGHT * (base_gap + limit_gap);
        let sum_batch_batch = self.sum_batch_batch + PRIOR_WEIGHT * prior_batch * prior_batch;
        let sum_batch_gap = self.sum_batch_gap + PRIOR_WEIGHT * prior_batch * limit_gap;
        let spread = weight * sum_batch_batch - sum_batch * sum_batch;
        let slope = (weight * sum_batch_gap - sum_batch * sum_gap) / spread.max(1e-9);
        // Larger batches are never faster; the lower bound keeps the limit finite.
        let slope = slope.max(target * 1e-4);
        let base = (sum_gap - slope * sum_batch) / weight;
        (base, slope)
    }

    fn refit(&mut self) {
        let (base, slope) = self.line();
        let target = self.settings.token_gap.as_secs_f64();
        let max_extrapolated =
            f64::from(self.largest_observed_batch.max(self.settings.prior_batch))
                * MAX_EXTRAPOLATION;
        self.limit =
            self.clamp_batch(((target * START_SHARE - base) / slope).min(max_extrapolated));
        let max_hard_limit = f64::from(self.limit) * MAX_HARD_RATIO;
        self.hard_limit =
            self.clamp_batch(((target * PREEMPTION_SHARE - base) / slope).min(max_hard_limit));
    }

    fn clamp_batch(&self, batch: f64) -> u32 {
        let lowest = self.settings.min_batch.max(1);
        let highest = self.settings.max_batch.max(lowest);
        // The addend prevents a rounding error from reducing the limit by one when the target is met exactly.
        floor_to_u32((batch + 1e-6).clamp(f64::from(lowest), f64::from(highest)))
    }
}

/// Rounds down a value that is known to be in the range of `u32`.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the caller clamps the value"
)]
fn floor_to_u32(value: f64) -> u32 {
    value as u32
}

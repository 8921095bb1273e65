//! Capacity of an engine, estimated from what the sidecar observes.
//!
//! The time between tokens is fitted as a line over the batch size by least squares with exponential forgetting. The
//! largest batch that meets the between-token target follows from the line. The engine's own report lags, so it
//! corrects the fit with a small weight only.

use std::time::Duration;

/// Weight that one sample leaves to the samples before it.
const FORGETTING: f64 = 0.9995;

/// Weight of each of the two points that stand for the prior.
const PRIOR_WEIGHT: f64 = 50.0;

/// Weight of one load report, relative to one observed sample.
const REPORT_WEIGHT: f64 = 0.05;

/// Part of the between-token target that the prior assigns to an empty batch.
const PRIOR_BASE: f64 = 0.4;

/// Part of the between-token target that new starts may use. The rest absorbs the spread between requests and short
/// excesses, so that not every start in a higher tier preempts something.
const START_PART: f64 = 0.85;

/// Part of the between-token target that running requests may use before the lowest tier is preempted.
const KEEP_PART: f64 = 0.92;

/// Factor on the largest batch seen up to which the fitted line is trusted.
const EXTRAPOLATION: f64 = 1.25;

/// Largest ratio of the limit without margin to the one with margin, so that a flat line cannot inflate it.
const MAX_HARD_RATIO: f64 = 1.3;

/// What a capacity estimate starts from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CapacitySettings {
    /// Between-token target.
    pub token_gap: Duration,
    /// Batch size that is assumed to meet the target until there are observations.
    pub prior_batch: u32,
    /// Smallest limit.
    pub min_batch: u32,
    /// Largest limit, a constant of the engine.
    pub max_batch: u32,
}

/// Estimate of the largest batch that meets the between-token target.
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
/// // The engine turns out to be slower: 10 ms and 3 ms per request of the batch.
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
    largest_seen: u32,
    limit: u32,
    hard_limit: u32,
}

impl Capacity {
    /// Returns an estimate that starts from the prior.
    #[must_use]
    pub fn new(settings: CapacitySettings) -> Self {
        let mut capacity = Self {
            settings,
            weight: 0.0,
            sum_batch: 0.0,
            sum_gap: 0.0,
            sum_batch_batch: 0.0,
            sum_batch_gap: 0.0,
            largest_seen: 0,
            limit: 0,
            hard_limit: 0,
        };
        capacity.refit();
        capacity
    }

    /// Replaces the settings and keeps the observations.
    pub fn set_settings(&mut self, settings: CapacitySettings) {
        self.settings = settings;
        self.refit();
    }

    /// Adds an observed time between tokens at a batch size.
    pub fn observe(&mut self, batch: u32, token_gap: Duration) {
        self.add(batch, token_gap, 1.0);
    }

    /// Adds the engine's own report, which lags, with a small weight.
    pub fn correct(&mut self, batch: u32, token_gap: Duration) {
        self.add(batch, token_gap, REPORT_WEIGHT);
    }

    /// Returns the largest batch up to which requests are started: the largest that meets the between-token target with
    /// a margin.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns the largest batch that meets the between-token target without a margin.
    #[must_use]
    pub fn hard_limit(&self) -> u32 {
        self.hard_limit
    }

    /// Returns the predicted time between tokens at a batch size.
    #[must_use]
    pub fn token_gap(&self, batch: u32) -> Duration {
        let (base, slope) = self.line();
        Duration::from_secs_f64((base + slope * f64::from(batch)).max(1e-6))
    }

    fn add(&mut self, batch: u32, token_gap: Duration, weight: f64) {
        self.largest_seen = self.largest_seen.max(batch);
        let target = self.settings.token_gap.as_secs_f64();
        // A stall (a crash, a paused VM) says nothing about the batch size; its influence is bounded.
        let gap = token_gap.as_secs_f64().min(8.0 * target);
        let batch = f64::from(batch);
        let keep = 1.0 - (1.0 - FORGETTING) * weight;
        self.weight = self.weight * keep + weight;
        self.sum_batch = self.sum_batch * keep + weight * batch;
        self.sum_gap = self.sum_gap * keep + weight * gap;
        self.sum_batch_batch = self.sum_batch_batch * keep + weight * batch * batch;
        self.sum_batch_gap = self.sum_batch_gap * keep + weight * batch * gap;
        self.refit();
    }

    /// Returns base and slope of the fitted line, in seconds.
    fn line(&self) -> (f64, f64) {
        let target = self.settings.token_gap.as_secs_f64();
        let prior_batch = f64::from(self.settings.prior_batch.max(1));
        let base_gap = target * PRIOR_BASE;
        // The prior counts as one point at an empty batch and one at the assumed limit.
        let limit_gap = target * START_PART;
        let weight = self.weight + 2.0 * PRIOR_WEIGHT;
        let sum_batch = self.sum_batch + PRIOR_WEIGHT * prior_batch;
        let sum_gap = self.sum_gap + PRIOR_WEIGHT * (base_gap + limit_gap);
        let sum_batch_batch = self.sum_batch_batch + PRIOR_WEIGHT * prior_batch * prior_batch;
        let sum_batch_gap = self.sum_batch_gap + PRIOR_WEIGHT * prior_batch * limit_gap;
        let spread = weight * sum_batch_batch - sum_batch * sum_batch;
        let slope = (weight * sum_batch_gap - sum_batch * sum_gap) / spread.max(1e-9);
        // A batch never gets faster by growing; the floor keeps the limit finite.
        let slope = slope.max(target * 1e-4);
        let base = (sum_gap - slope * sum_batch) / weight;
        (base, slope)
    }

    fn refit(&mut self) {
        let (base, slope) = self.line();
        let target = self.settings.token_gap.as_secs_f64();
        let trusted = f64::from(self.largest_seen.max(self.settings.prior_batch)) * EXTRAPOLATION;
        self.limit = self.largest(((target * START_PART - base) / slope).min(trusted));
        let most = f64::from(self.limit) * MAX_HARD_RATIO;
        self.hard_limit = self.largest(((target * KEEP_PART - base) / slope).min(most));
    }

    fn largest(&self, room: f64) -> u32 {
        let lowest = self.settings.min_batch.max(1);
        let highest = self.settings.max_batch.max(lowest);
        // The small addend keeps rounding from costing a place when the target is met exactly.
        whole((room + 1e-6).clamp(f64::from(lowest), f64::from(highest)))
    }
}

/// Rounds a value that is known to lie in the range of `u32` down.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the caller clamps the value"
)]
fn whole(value: f64) -> u32 {
    value as u32
}

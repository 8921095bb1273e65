//! Model of the time to the first token, learned from the calls of an entry.
//!
//! The time grows with the prompt tokens that are processed before the first token. The constant part and the time per
//! token are fitted by least squares with exponential forgetting (Haykin, Adaptive Filter Theory, chapter on recursive
//! least squares). The model adapts to engines of any speed after some calls and follows changes of their load or
//! speed.

use std::time::Duration;

use super::decay;

/// Half-life of the weight of an observation.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Weight of the assumed times, as a number of observations.
const PRIOR_WEIGHT: f64 = 4.0;
/// Prompt length of the second point of the prior, in thousands of tokens; the first point is an empty prompt.
const PRIOR_KILOTOKENS: f64 = 10.0;
/// Largest ratio between the learned and the assumed times, in both directions.
const MAX_FACTOR: f64 = 10.0;
/// Largest multiple of the estimate that an observation counts as. A longer time is caused by a single server or call.
const OUTLIER_FACTOR: f64 = 3.0;

/// Estimate of the time to the first token as a function of the prompt tokens processed before it.
#[derive(Debug, Clone)]
pub struct PrefillModel {
    base_ms: f64,
    tokens_per_ms: f64,
    /// Decayed sums over the observations, with `x` in thousands of tokens and `y` in milliseconds.
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
    updated_at: Duration,
}

impl PrefillModel {
    /// Creates a model from the assumed time without any prompt tokens and the assumed prefill rate.
    #[must_use]
    pub fn new(base_ms: f64, tokens_per_ms: f64) -> Self {
        Self {
            base_ms,
            tokens_per_ms,
            weight: 0.0,
            x: 0.0,
            y: 0.0,
            xx: 0.0,
            xy: 0.0,
            updated_at: Duration::ZERO,
        }
    }

    /// Records the time to the first token of a call. `tokens` are the prompt tokens processed before it, including its
    /// own.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::dispatch::PrefillModel;
    ///
    /// let mut model = PrefillModel::new(70.0, 55.0);
    /// for call in 0..200_u32 {
    ///     let tokens = 500 + call % 10 * 2_000;
    ///     let now = Duration::from_millis(u64::from(call) * 20);
    ///     model.observe(now, tokens, 100.0 + f64::from(tokens) / 20.0);
    /// }
    /// let ms = model.first_token_ms(10_000);
    /// assert!((ms - 600.0).abs() < 30.0, "{ms}");
    /// ```
    pub fn observe(&mut self, now: Duration, tokens: u32, first_token_ms: f64) {
        let decay_factor = decay::remaining_weight(now, self.updated_at, HALF_LIFE);
        let x = f64::from(tokens) / 1_000.0;
        let y = first_token_ms.min(self.first_token_ms(tokens) * OUTLIER_FACTOR);
        self.weight = self.weight * decay_factor + 1.0;
        self.x = self.x * decay_factor + x;
        self.y = self.y * decay_factor + y;
        self.xx = self.xx * decay_factor + x * x;
        self.xy = self.xy * decay_factor + x * y;
        self.updated_at = now;
    }

    /// Returns the estimated time to the first token behind `tokens` prompt tokens, in milliseconds.
    #[must_use]
    pub fn first_token_ms(&self, tokens: u32) -> f64 {
        let (base_ms, token_ms) = self.fit();
        base_ms + f64::from(tokens) * token_ms
    }

    /// Returns the estimated prefill rate.
    #[must_use]
    pub(crate) fn tokens_per_ms(&self) -> f64 {
        1.0 / self.fit().1
    }

    /// Returns the time without prompt tokens and the time per token, in milliseconds.
    fn fit(&self) -> (f64, f64) {
        let prior_slope = 1_000.0 / self.tokens_per_ms;
        let prior_y = self.base_ms + PRIOR_KILOTOKENS * prior_slope;
        let half = PRIOR_WEIGHT / 2.0;
        let weight = self.weight + PRIOR_WEIGHT;
        let x = self.x + half * PRIOR_KILOTOKENS;
        let y = self.y + half * (self.base_ms + prior_y);
        let xx = self.xx + half * PRIOR_KILOTOKENS * PRIOR_KILOTOKENS;
        let xy = self.xy + half * PRIOR_KILOTOKENS * prior_y;
        // The two points of the prior differ in `x`, so the denominator is positive.
        let slope = (weight * xy - x * y) / (weight * xx - x * x);
        let slope = slope.clamp(prior_slope / MAX_FACTOR, prior_slope * MAX_FACTOR);
        let base = (y - slope * x) / weight;
        let base = base.clamp(self.base_ms / MAX_FACTOR, self.base_ms * MAX_FACTOR);
        (base, slope / 1_000.0)
    }
}

//! Time to the first token, learned from the calls that an entry sees.
//!
//! The time grows with the prompt tokens that are read before it. Both the constant part and the time of a token are
//! fitted by least squares with exponential forgetting (Haykin, Adaptive Filter Theory, chapter on recursive least
//! squares), so engines of any speed are known after some calls, and a change of their load or speed is followed.

use std::time::Duration;

use super::decay;

/// Time in which half of the weight of an observation is forgotten.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Weight of the assumed times, in observations.
const PRIOR_WEIGHT: f64 = 4.0;
/// Prompt size at which the assumed times are placed beside an empty prompt, in thousands of tokens.
const PRIOR_KILOTOKENS: f64 = 10.0;
/// Largest factor between the learned and the assumed times.
const MAX_FACTOR: f64 = 10.0;
/// Observation beyond this multiple of the estimate counts as this multiple: it tells about one server or call.
const OUTLIER_FACTOR: f64 = 3.0;

/// Estimate of the time to the first token by the prompt tokens that are read before it.
#[derive(Debug, Clone)]
pub struct PrefillModel {
    base_ms: f64,
    tokens_per_ms: f64,
    /// Sums over the observations, with `x` in thousands of tokens and `y` in milliseconds.
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
    updated: Duration,
}

impl PrefillModel {
    /// Creates a model that assumes a time without any tokens and a rate of reading.
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
            updated: Duration::ZERO,
        }
    }

    /// Takes the time to the first token of a call after `tokens` prompt tokens, its own included.
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
        let kept = decay::remaining(now, self.updated, HALF_LIFE);
        let x = f64::from(tokens) / 1_000.0;
        let y = first_token_ms.min(self.first_token_ms(tokens) * OUTLIER_FACTOR);
        self.weight = self.weight * kept + 1.0;
        self.x = self.x * kept + x;
        self.y = self.y * kept + y;
        self.xx = self.xx * kept + x * x;
        self.xy = self.xy * kept + x * y;
        self.updated = now;
    }

    /// Returns the estimated time to the first token after `tokens` prompt tokens, in milliseconds.
    #[must_use]
    pub fn first_token_ms(&self, tokens: u32) -> f64 {
        let (base_ms, token_ms) = self.fit();
        base_ms + f64::from(tokens) * token_ms
    }

    /// Returns the prompt tokens that are read in a millisecond.
    #[must_use]
    pub fn tokens_per_ms(&self) -> f64 {
        1.0 / self.fit().1
    }

    /// Returns the time without any tokens and that of one token, in milliseconds.
    fn fit(&self) -> (f64, f64) {
        let prior_slope = 1_000.0 / self.tokens_per_ms;
        let far_y = self.base_ms + PRIOR_KILOTOKENS * prior_slope;
        let half = PRIOR_WEIGHT / 2.0;
        let weight = self.weight + PRIOR_WEIGHT;
        let x = self.x + half * PRIOR_KILOTOKENS;
        let y = self.y + half * (self.base_ms + far_y);
        let xx = self.xx + half * PRIOR_KILOTOKENS * PRIOR_KILOTOKENS;
        let xy = self.xy + half * PRIOR_KILOTOKENS * far_y;
        // The two assumed points differ in `x`, so the denominator is positive.
        let slope = (weight * xy - x * y) / (weight * xx - x * x);
        let slope = slope.clamp(prior_slope / MAX_FACTOR, prior_slope * MAX_FACTOR);
        let base = (y - slope * x) / weight;
        let base = base.clamp(self.base_ms / MAX_FACTOR, self.base_ms * MAX_FACTOR);
        (base, slope / 1_000.0)
    }
}

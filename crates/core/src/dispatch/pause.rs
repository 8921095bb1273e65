//! Model of the pauses between the events of a stream, learned from the streams that an entry forwards.
//!
//! A pause consists of the steps that generate an event and of the prompt chunks that are processed between them. Both
//! durations start from assumed values, and a factor for each is fitted by least squares with exponential forgetting.
//! Every server has its own factor, so that slow servers do not make the others look slow. A stream is as late as its
//! longest pause, so the estimate is a high expectile (Newey and Powell, Asymmetric least squares, 1987).

use std::time::Duration;

use super::decay;

/// Half-life of the weight of an observation.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Weight of the assumed factors, as a number of pauses of [`PRIOR_MS`] that match the assumption.
const PRIOR_WEIGHT: f64 = 20.0;
/// Length of both components of such a pause, in milliseconds.
const PRIOR_MS: f64 = 50.0;
/// Range of all learned factors.
const FACTOR_RANGE: (f64, f64) = (0.1, 10.0);
/// Largest multiple of the estimate that an observation counts as. A longer pause is caused by a single stream or
/// connection.
const OUTLIER_FACTOR: f64 = 3.0;
/// Weight of one pause in the moving average of its server's factor; a few streams of 30 events determine the factor.
const SERVER_WEIGHT: f64 = 0.03;
/// Level of the expectile. A stream of about 30 to 50 events should have no pause beyond the estimate, so one pause in
/// 250 has the same weight as all the others.
const EXPECTILE_LEVEL: f64 = 0.996;
/// Weight of one pause in the update of the expectile.
const SPREAD_WEIGHT: f64 = 0.2;
/// Weight of the observations, as a multiple of the prior's, from which the mean is accurate enough to measure the
/// spread around it.
const WARM_UP_WEIGHT: f64 = 5.0;
/// Largest ratio of the expectile to the mean.
const MAX_SPREAD: f64 = 4.0;

/// Assumed components of a pause, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PauseComponents {
    /// Steps that generate the tokens of an event.
    pub steps_ms: f64,
    /// Prompt chunks that are processed between these steps.
    pub chunks_ms: f64,
}

/// Factor by which the pauses of one server are longer than those of its pool.
#[derive(Debug, Clone)]
pub struct ServerPause {
    factor: f64,
    updated_at: Duration,
}

impl Default for ServerPause {
    fn default() -> Self {
        Self {
            factor: 1.0,
            updated_at: Duration::ZERO,
        }
    }
}

impl ServerPause {
    /// Returns the factor at `now`. It decays to 1 without new observations.
    #[must_use]
    pub fn factor(&self, now: Duration) -> f64 {
        1.0 + (self.factor - 1.0) * decay::remaining_weight(now, self.updated_at, HALF_LIFE)
    }

    fn observe(&mut self, now: Duration, ratio: f64) {
        let before = self.factor(now);
        let factor = before + (ratio - before) * SERVER_WEIGHT;
        self.factor = factor.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1);
        self.updated_at = now;
    }
}

/// Estimate of the long pauses between events.
#[derive(Debug, Clone)]
pub struct PauseModel {
    /// Decayed sums over the observations, where `s` and `c` are the assumed components and `y` is the observed pause.
    ss: f64,
    sc: f64,
    cc: f64,
    sy: f64,
    cy: f64,
    updated_at: Duration,
    /// Ratio of the expectile to the mean.
    spread: f64,
}

impl Default for PauseModel {
    fn default() -> Self {
        Self {
            ss: 0.0,
            sc: 0.0,
            cc: 0.0,
            sy: 0.0,
            cy: 0.0,
            updated_at: Duration::ZERO,
            spread: 1.0,
        }
    }
}

impl PauseModel {
    /// Records a pause of a stream on a server.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::dispatch::{PauseModel, PauseComponents, ServerPause};
    ///
    /// let mut model = PauseModel::default();
    /// let mut server = ServerPause::default();
    /// for event in 0..2_000_u32 {
    ///     let chunks_ms = f64::from(event % 4) * 30.0;
    ///     let components = PauseComponents { steps_ms: 40.0, chunks_ms };
    ///     let now = Duration::from_millis(u64::from(event) * 3);
    ///     model.observe(now, components, &mut server, 80.0 + chunks_ms / 3.0);
    /// }
    /// let now = Duration::from_secs(6);
    /// let components = PauseComponents { steps_ms: 40.0, chunks_ms: 150.0 };
    /// let ms = model.pause_ms(components, server.factor(now));
    /// assert!((ms - 130.0).abs() < 15.0, "{ms}");
    /// ```
    pub fn observe(
        &mut self,
        now: Duration,
        components: PauseComponents,
        server: &mut ServerPause,
        pause_ms: f64,
    ) {
        let mean_ms = self.mean_ms(components);
        let pause_ms = pause_ms.min(mean_ms * server.factor(now) * OUTLIER_FACTOR);
        server.observe(now, pause_ms / mean_ms);
        let normalized_ms = pause_ms / server.factor(now);
        self.observe_spread(normalized_ms / mean_ms);
        let decay_factor = decay::remaining_weight(now, self.updated_at, HALF_LIFE);
        let PauseComponents {
            steps_ms,
            chunks_ms,
        } = components;
        self.ss = self.ss * decay_factor + steps_ms * steps_ms;
        self.sc = self.sc * decay_factor + steps_ms * chunks_ms;
        self.cc = self.cc * decay_factor + chunks_ms * chunks_ms;
        self.sy = self.sy * decay_factor + steps_ms * normalized_ms;
        self.cy = self.cy * decay_factor + chunks_ms * normalized_ms;
        self.updated_at = now;
    }

    /// Updates the spread with the ratio of a pause to the estimated mean, once the mean is accurate enough.
    fn observe_spread(&mut self, ratio: f64) {
        if self.ss < WARM_UP_WEIGHT * PRIOR_WEIGHT * PRIOR_MS * PRIOR_MS {
            return;
        }
        let weight = if ratio > self.spread {
            EXPECTILE_LEVEL
        } else {
            1.0 - EXPECTILE_LEVEL
        };
        self.spread += (ratio - self.spread) * weight * SPREAD_WEIGHT;
        self.spread = self.spread.clamp(1.0, MAX_SPREAD);
    }

    /// Returns the estimate of a long pause on a server with the given factor, in milliseconds.
    #[must_use]
    pub fn pause_ms(&self, components: PauseComponents, server_factor: f64) -> f64 {
        self.mean_ms(components) * self.spread * server_factor
    }

    fn mean_ms(&self, components: PauseComponents) -> f64 {
        let (steps, chunks) = self.factors();
        components.steps_ms * steps + components.chunks_ms * chunks
    }

    /// Returns the factors by which steps and chunks take longer than assumed.
    fn factors(&self) -> (f64, f64) {
        let prior = PRIOR_WEIGHT * PRIOR_MS * PRIOR_MS;
        let (ss, cc) = (self.ss + prior, self.cc + prior);
        let (sy, cy) = (self.sy + prior, self.cy + prior);
        // By the Cauchy-Schwarz inequality the determinant of the sums is at least 0; the prior makes it positive.
        let determinant = ss * cc - self.sc * self.sc;
        let steps = (sy * cc - cy * self.sc) / determinant;
        let chunks = (cy * ss - sy * self.sc) / determinant;
        (
            steps.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1),
            chunks.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1),
        )
    }
}

//! Pause between the events of a stream, learned from the streams that an entry passes on.
//!
//! A pause consists of the steps that generate an event and of the chunks of prompts that are read between them. How long
//! either takes is assumed at first; a factor for each is fitted by least squares with exponential forgetting. A server
//! has a factor of its own, so that slow ones do not make the others look slow. A stream is late by its longest pause, so
//! the estimate is an expectile near the long ones (Newey and Powell, Asymmetric least squares, 1987).

use std::time::Duration;

use super::decay;

/// Time in which half of the weight of an observation is forgotten.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Weight of the assumed factors, in pauses of [`PRIOR_MS`] that are observed as assumed.
const PRIOR_WEIGHT: f64 = 20.0;
/// Length of both parts of a pause that the prior is expressed in, in milliseconds.
const PRIOR_MS: f64 = 50.0;
/// Bounds of all learned factors.
const FACTORS: (f64, f64) = (0.1, 10.0);
/// Observation beyond this multiple of the estimate counts as this multiple: it tells about one stream or connection.
const OUTLIER_FACTOR: f64 = 3.0;
/// Weight of one pause in the factor of its server: some streams of 30 events tell it.
const SERVER_WEIGHT: f64 = 0.03;
/// Level of the expectile. A stream of some 30 to 50 events should have no pause beyond the estimate, so one pause in
/// 250 weighs as much as the rest.
const EXPECTILE: f64 = 0.996;
/// Weight of one pause in the expectile.
const SPREAD_WEIGHT: f64 = 0.2;
/// Weight of the observations, as a multiple of the prior's, from which the mean is known well enough to tell the spread
/// around it from its own error.
const WARM_UP: f64 = 5.0;
/// Largest ratio of the expectile to the mean.
const MAX_SPREAD: f64 = 4.0;

/// Parts of a pause as they are assumed, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PauseParts {
    /// Steps that generate the tokens of an event.
    pub steps_ms: f64,
    /// Chunks of prompts that are read between these steps.
    pub chunks_ms: f64,
}

/// Factor by which the pauses of one server are longer than those of its pool.
#[derive(Debug, Clone)]
pub struct ServerPause {
    factor: f64,
    updated: Duration,
}

impl Default for ServerPause {
    fn default() -> Self {
        Self {
            factor: 1.0,
            updated: Duration::ZERO,
        }
    }
}

impl ServerPause {
    /// Returns the factor; it falls back to 1 without new observations.
    #[must_use]
    pub fn factor(&self, now: Duration) -> f64 {
        1.0 + (self.factor - 1.0) * decay::remaining(now, self.updated, HALF_LIFE)
    }

    fn observe(&mut self, now: Duration, ratio: f64) {
        let before = self.factor(now);
        let factor = before + (ratio - before) * SERVER_WEIGHT;
        self.factor = factor.clamp(FACTORS.0, FACTORS.1);
        self.updated = now;
    }
}

/// Estimate of the long pauses between events.
#[derive(Debug, Clone)]
pub struct PauseModel {
    /// Sums over the observations; `s` and `c` are the assumed parts, `y` is the pause.
    ss: f64,
    sc: f64,
    cc: f64,
    sy: f64,
    cy: f64,
    updated: Duration,
    /// Ratio of the long pauses to the mean.
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
            updated: Duration::ZERO,
            spread: 1.0,
        }
    }
}

impl PauseModel {
    /// Takes an observed pause of a stream at a server.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::dispatch::{PauseModel, PauseParts, ServerPause};
    ///
    /// let mut model = PauseModel::default();
    /// let mut server = ServerPause::default();
    /// for event in 0..2_000_u32 {
    ///     let chunks_ms = f64::from(event % 4) * 30.0;
    ///     let parts = PauseParts { steps_ms: 40.0, chunks_ms };
    ///     let now = Duration::from_millis(u64::from(event) * 3);
    ///     model.observe(now, parts, &mut server, 80.0 + chunks_ms / 3.0);
    /// }
    /// let now = Duration::from_secs(6);
    /// let parts = PauseParts { steps_ms: 40.0, chunks_ms: 150.0 };
    /// let ms = model.pause_ms(parts, server.factor(now));
    /// assert!((ms - 130.0).abs() < 15.0, "{ms}");
    /// ```
    pub fn observe(
        &mut self,
        now: Duration,
        parts: PauseParts,
        server: &mut ServerPause,
        pause_ms: f64,
    ) {
        let mean_ms = self.mean_ms(parts);
        let pause_ms = pause_ms.min(mean_ms * server.factor(now) * OUTLIER_FACTOR);
        server.observe(now, pause_ms / mean_ms);
        let usual_ms = pause_ms / server.factor(now);
        self.observe_spread(usual_ms / mean_ms);
        let kept = decay::remaining(now, self.updated, HALF_LIFE);
        let PauseParts {
            steps_ms,
            chunks_ms,
        } = parts;
        self.ss = self.ss * kept + steps_ms * steps_ms;
        self.sc = self.sc * kept + steps_ms * chunks_ms;
        self.cc = self.cc * kept + chunks_ms * chunks_ms;
        self.sy = self.sy * kept + steps_ms * usual_ms;
        self.cy = self.cy * kept + chunks_ms * usual_ms;
        self.updated = now;
    }

    /// Takes the ratio of a pause to the estimated mean, once the mean is learned.
    fn observe_spread(&mut self, ratio: f64) {
        if self.ss < WARM_UP * PRIOR_WEIGHT * PRIOR_MS * PRIOR_MS {
            return;
        }
        let weight = if ratio > self.spread {
            EXPECTILE
        } else {
            1.0 - EXPECTILE
        };
        self.spread += (ratio - self.spread) * weight * SPREAD_WEIGHT;
        self.spread = self.spread.clamp(1.0, MAX_SPREAD);
    }

    /// Returns the estimate of a long pause at a server with the given factor, in milliseconds.
    #[must_use]
    pub fn pause_ms(&self, parts: PauseParts, server_factor: f64) -> f64 {
        self.mean_ms(parts) * self.spread * server_factor
    }

    fn mean_ms(&self, parts: PauseParts) -> f64 {
        let (steps, chunks) = self.factors();
        parts.steps_ms * steps + parts.chunks_ms * chunks
    }

    /// Returns the factors by which steps and chunks take longer than assumed.
    fn factors(&self) -> (f64, f64) {
        let prior = PRIOR_WEIGHT * PRIOR_MS * PRIOR_MS;
        let (ss, cc) = (self.ss + prior, self.cc + prior);
        let (sy, cy) = (self.sy + prior, self.cy + prior);
        // By the inequality of Cauchy and Schwarz the sums alone give at least 0, and the prior more.
        let determinant = ss * cc - self.sc * self.sc;
        let steps = (sy * cc - cy * self.sc) / determinant;
        let chunks = (cy * ss - sy * self.sc) / determinant;
        (
            steps.clamp(FACTORS.0, FACTORS.1),
            chunks.clamp(FACTORS.0, FACTORS.1),
        )
    }
}

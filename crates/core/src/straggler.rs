//! Outlier detection for slow or failing backend servers: weight reduction, ejection and trial requests.
//!
//! The pace of a server, which is its time per token or per call, is compared with the median of the pool. The time per
//! token grows with the batch size of the engine, but at most in proportion to it. A sample is therefore compared with
//! the median of a similar batch size, or with an upper bound derived from the medians of other batch sizes, so that a
//! large batch alone never makes a server look slow. The request size has no influence: the time to the first token is
//! excluded, and very short streams are ignored.
//!
//! A slow server first gets a reduced weight and is then ejected, provided that the ejected share of the pool stays
//! below a cap. After the ejection it receives single trial requests and is restored after several successful ones. A
//! server with several consecutive failures is ejected as well, because a server that fails fast appears idle and would
//! attract requests.

mod pace;

use std::time::Duration;

use pace::{Comparison, PaceTable};

/// Slowness, as a multiple of the pool's median, from which the weight is reduced. Healthy servers differ by less.
const WEIGHT_REDUCTION_THRESHOLD: f64 = 1.25;
/// Slowness from which a server is ejected.
const EJECTION_THRESHOLD: f64 = 2.0;
/// Slowness above which a trial fails. It is below the ejection threshold to prevent flapping.
const TRIAL_FAILURE_THRESHOLD: f64 = 1.5;
/// Samples required before the weight is reduced or the server is ejected.
const MIN_SAMPLES: u32 = 5;
/// Weight of a new sample in the moving average of the slowness.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Upper limit of a single sample. Because 0.2 * 5 + 0.8 * 1 is below the ejection threshold, one stall alone does not
/// eject a server.
const MAX_SAMPLE_RATIO: f64 = 5.0;
/// Consecutive failures after which a server is ejected.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Largest ejected share of the pool. One server may be ejected in any pool of at least `MIN_POOL_SERVERS` servers.
const MAX_EJECTED_PERCENT: usize = 20;
/// Smallest pool whose median is not shifted by one slow server.
const MIN_POOL_SERVERS: usize = 3;
/// Duration of the first ejection. Each further ejection lasts twice as long, up to `MAX_EJECTION`.
const INITIAL_EJECTION: Duration = Duration::from_secs(10);
const MAX_EJECTION: Duration = Duration::from_mins(5);
/// Successful trials after which a server is restored.
const TRIALS_TO_RESTORE: u32 = 3;

/// Measured duration of one response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PaceSample {
    /// Token stream.
    Tokens {
        /// Number of tokens after the first one.
        tokens: u32,
        /// Time from the first to the last token.
        elapsed: Duration,
        /// Number of requests in the engine's batch, including this one.
        batch: u32,
    },
    /// Complete call to a plain service.
    Call {
        /// Class of the call, below 8. Only calls of the same kind are compared with each other.
        kind: u8,
        /// Time from sending the call to its complete response.
        elapsed: Duration,
    },
}

/// Ejection state of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SpeedState {
    /// Receives requests in proportion to its weight.
    #[default]
    Active,
    /// Receives no requests.
    Ejected {
        /// Time at which trials start.
        until: Duration,
    },
    /// Receives one request at a time as a trial.
    Trial {
        /// Number of successful trials so far.
        passed: u32,
    },
}

#[derive(Debug, Clone, Default)]
struct ServerSpeed {
    state: SpeedState,
    slowness: Option<f64>,
    samples: u32,
    failures: u32,
    ejections: u32,
    restored_at: Option<Duration>,
    /// Whether the last ejection was caused by slowness rather than by failures.
    is_slow: bool,
}

impl ServerSpeed {
    fn add_sample(&mut self, ratio: f64) {
        let slowness = self.slowness.get_or_insert(1.0);
        *slowness += (ratio.min(MAX_SAMPLE_RATIO) - *slowness) * SAMPLE_WEIGHT;
        self.samples += 1;
    }

    fn record_passed_trial(&mut self, now: Duration) {
        let passed = match self.state {
            SpeedState::Trial { passed } => passed + 1,
            SpeedState::Active | SpeedState::Ejected { .. } => return,
        };
        self.state = SpeedState::Trial { passed };
        if passed < TRIALS_TO_RESTORE {
            return;
        }
        *self = Self {
            ejections: self.ejections,
            restored_at: Some(now),
            ..Self::default()
        };
    }
}

/// Speed statistics and ejection states of the servers of a pool, identified by small indices.
///
/// ```
/// use std::time::Duration;
/// use tanagerford_core::straggler::{PaceSample, SpeedState, SpeedTable};
///
/// let mut table = SpeedTable::default();
/// table.set_pool(vec![0, 1, 2, 3]);
/// for second in 0..10 {
///     let now = Duration::from_secs(second);
///     table.on_tick(now);
///     for server in 0..4 {
///         let gap_ms = if server == 3 { 90 } else { 30 };
///         let elapsed = Duration::from_millis(gap_ms * 100);
///         table.on_sample(now, server, &PaceSample::Tokens { tokens: 100, elapsed, batch: 8 });
///     }
/// }
/// table.on_tick(Duration::from_secs(10));
/// assert!(matches!(table.state(3), SpeedState::Ejected { .. }));
/// assert_eq!(table.weight(0), 1.0);
/// ```
#[derive(Debug, Default)]
pub struct SpeedTable {
    servers: Vec<ServerSpeed>,
    paces: PaceTable,
    pool: Vec<usize>,
    due_trials: Vec<usize>,
}

impl SpeedTable {
    /// Discards the state of an index that is reassigned to another server or another incarnation.
    ///
    /// ```
    /// use tanagerford_core::straggler::{SpeedState, SpeedTable};
    ///
    /// let mut table = SpeedTable::default();
    /// table.reset(3);
    /// assert_eq!(table.state(3), SpeedState::Active);
    /// ```
    pub fn reset(&mut self, server: usize) {
        if self.servers.len() <= server {
            self.servers.resize(server + 1, ServerSpeed::default());
        }
        self.servers[server] = ServerSpeed::default();
        self.paces.reset(server);
        self.due_trials.retain(|&due| due != server);
    }

    /// Records the pace of a response and ends or restarts the ejection of a server on trial. See [`SpeedTable`] for an
    /// example.
    pub fn on_sample(&mut self, now: Duration, server: usize, sample: &PaceSample) {
        self.ensure_index(server);
        let comparison = self.paces.add_sample(now, server, sample);
        let speed = &mut self.servers[server];
        speed.failures = 0;
        match (speed.state, comparison) {
            (SpeedState::Active, Comparison::Ratio(ratio)) => speed.add_sample(ratio),
            (SpeedState::Trial { .. }, Comparison::Ratio(ratio))
                if ratio > TRIAL_FAILURE_THRESHOLD =>
            {
                self.eject(now, server);
            }
            // Without a median there is no evidence that the server is still slow.
            (SpeedState::Trial { .. }, Comparison::Ratio(_) | Comparison::NoMedian)
                if speed.is_slow =>
            {
                speed.record_passed_trial(now);
            }
            _ => {}
        }
    }

    /// Records an attempt that ended without a usable response, because of a lost link, an error or a crash.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::straggler::{SpeedState, SpeedTable};
    ///
    /// let mut table = SpeedTable::default();
    /// table.set_pool(vec![0, 1, 2]);
    /// for _ in 0..3 {
    ///     table.on_failure(Duration::ZERO, 1);
    /// }
    /// assert!(matches!(table.state(1), SpeedState::Ejected { .. }));
    /// ```
    pub fn on_failure(&mut self, now: Duration, server: usize) {
        self.ensure_index(server);
        let speed = &mut self.servers[server];
        speed.failures += 1;
        let is_trial = matches!(speed.state, SpeedState::Trial { .. });
        let has_failed_repeatedly =
            speed.state == SpeedState::Active && speed.failures >= MAX_CONSECUTIVE_FAILURES;
        if is_trial || (has_failed_repeatedly && self.can_eject()) {
            self.eject(now, server);
        }
    }

    /// Records a successful attempt. It counts as a trial for a server that was ejected for failures; for a slow server
    /// only samples count.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use tanagerford_core::straggler::{SpeedState, SpeedTable};
    /// let mut table = SpeedTable::default();
    /// table.set_pool(vec![0, 1, 2]);
    /// for _ in 0..9 {
    ///     table.on_failure(Duration::ZERO, 1);
    ///     table.on_success(Duration::ZERO, 1);
    /// }
    /// assert_eq!(table.state(1), SpeedState::Active);
    /// ```
    pub fn on_success(&mut self, now: Duration, server: usize) {
        self.ensure_index(server);
        let speed = &mut self.servers[server];
        speed.failures = 0;
        if matches!(speed.state, SpeedState::Trial { .. }) && !speed.is_slow {
            speed.record_passed_trial(now);
        }
    }

    /// Sets the servers that accept work. Only they contribute to the medians and to the ejection cap.
    ///
    /// See [`SpeedTable`] for an example.
    pub fn set_pool(&mut self, pool: Vec<usize>) {
        if let Some(&last) = pool.iter().max() {
            self.ensure_index(last);
        }
        self.pool = pool;
    }

    /// Recomputes the medians, ejects slow servers and schedules trials. Must be called about once per second.
    ///
    /// See [`SpeedTable`] for an example.
    pub fn on_tick(&mut self, now: Duration) {
        self.paces.update_medians(now, &self.pool);
        self.eject_slow(now);
        self.schedule_trials(now);
    }

    /// Removes and returns the next server that is due for a trial request. Each server in [`SpeedState::Trial`] is due
    /// once per tick.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use tanagerford_core::straggler::SpeedTable;
    /// let mut table = SpeedTable::default();
    /// table.set_pool(vec![0, 1, 2]);
    /// for _ in 0..3 {
    ///     table.on_failure(Duration::ZERO, 1);
    /// }
    /// assert_eq!(table.take_trial(), None);
    /// table.on_tick(Duration::from_secs(10));
    /// assert_eq!(table.take_trial(), Some(1));
    /// ```
    pub fn take_trial(&mut self) -> Option<usize> {
        self.due_trials.pop()
    }

    /// Returns the state of a server; an unknown server is active. See [`SpeedTable`] for an example.
    #[must_use]
    pub fn state(&self, server: usize) -> SpeedState {
        self.servers
            .get(server)
            .map_or(SpeedState::Active, |speed| speed.state)
    }

    /// Returns the weight of a server, from 0 exclusive to 1. See [`SpeedTable`] for an example.
    #[must_use]
    pub fn weight(&self, server: usize) -> f64 {
        let speed = self
            .servers
            .get(server)
            .filter(|speed| speed.samples >= MIN_SAMPLES);
        let slowness = speed.and_then(|speed| speed.slowness).unwrap_or(1.0);
        if slowness < WEIGHT_REDUCTION_THRESHOLD {
            1.0
        } else {
            1.0 / slowness
        }
    }

    /// Returns the time at which the server was last restored, which restarts its slow start.
    ///
    /// ```
    /// # use tanagerford_core::straggler::SpeedTable;
    /// assert_eq!(SpeedTable::default().restored_at(0), None);
    /// ```
    #[must_use]
    pub fn restored_at(&self, server: usize) -> Option<Duration> {
        self.servers.get(server)?.restored_at
    }

    fn ensure_index(&mut self, server: usize) {
        if self.servers.len() <= server {
            self.servers.resize(server + 1, ServerSpeed::default());
        }
    }

    fn can_eject(&self) -> bool {
        let ejected = self
            .pool
            .iter()
            .filter(|&&server| self.state(server) != SpeedState::Active);
        let min_cap = usize::from(self.pool.len() >= MIN_POOL_SERVERS);
        let cap = min_cap.max(self.pool.len() * MAX_EJECTED_PERCENT / 100);
        ejected.count() < cap
    }

    fn eject(&mut self, now: Duration, server: usize) {
        let speed = &mut self.servers[server];
        let duration = INITIAL_EJECTION * 2_u32.pow(speed.ejections.min(8));
        speed.ejections += 1;
        speed.is_slow = speed.failures == 0;
        speed.state = SpeedState::Ejected {
            until: now + duration.min(MAX_EJECTION),
        };
    }

    /// Ejects slow servers, the slowest first, until the cap is reached.
    fn eject_slow(&mut self, now: Duration) {
        let mut slow: Vec<(f64, usize)> = Vec::new();
        for &server in &self.pool {
            let speed = &mut self.servers[server];
            // The backoff restarts for a server that was active for longer than the longest ejection.
            if speed
                .restored_at
                .is_some_and(|at| now.saturating_sub(at) > MAX_EJECTION)
            {
                speed.ejections = 0;
            }
            let is_eligible = speed.state == SpeedState::Active && speed.samples >= MIN_SAMPLES;
            let slowness = speed
                .slowness
                .filter(|&slowness| is_eligible && slowness >= EJECTION_THRESHOLD);
            slow.extend(slowness.map(|slowness| (slowness, server)));
        }
        slow.sort_by(|left, right| right.0.total_cmp(&left.0));
        for (_, server) in slow {
            if !self.can_eject() {
                break;
            }
            self.eject(now, server);
        }
    }

    fn schedule_trials(&mut self, now: Duration) {
        self.due_trials.clear();
        for &server in &self.pool {
            let speed = &mut self.servers[server];
            if matches!(speed.state, SpeedState::Ejected { until } if until <= now) {
                speed.state = SpeedState::Trial { passed: 0 };
            }
            if matches!(speed.state, SpeedState::Trial { .. }) {
                self.due_trials.push(server);
            }
        }
    }
}

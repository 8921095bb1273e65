//! Detection, ejection and trial of slow backend servers.
//!
//! The pace of a server is compared with the pool's median. A token's pace grows with the batch that the engine runs,
//! but at most in proportion to it, so a sample is compared with the median of about the same batch size, or with an
//! upper bound that the medians of other batch sizes give. A server is therefore never called slow for its batch. The
//! size of the request does not count: the time to the first token is left out, and very short answers are ignored.
//!
//! A slow server gets a reduced weight, then it is ejected, as long as the ejected share of the pool stays under a cap.
//! Later it gets single trial requests and returns after several good ones. A server that fails several attempts in a
//! row is ejected as well, because a server that fails fast looks idle and would attract requests.

mod pace;

use std::time::Duration;

use pace::{Comparison, PaceTable};

/// Slowness from which the weight is reduced. Healthy servers differ by less.
const REDUCE_AT: f64 = 1.25;
/// Slowness from which a server is ejected.
const EJECT_AT: f64 = 2.0;
/// Slowness above which a trial has failed; below `EJECT_AT`, so that a server does not come and go.
const TRIAL_LIMIT: f64 = 1.5;
/// Samples before a server is judged.
const MIN_SAMPLES: u32 = 5;
/// Weight of a new sample in a server's slowness.
const SAMPLE_WEIGHT: f64 = 0.2;
/// A single sample counts as at most this slow: 0.2 * 5 + 0.8 * 1 is below `EJECT_AT`, so one stall ejects nobody.
const MAX_RATIO: f64 = 5.0;
/// Failed attempts in a row after which a server is ejected.
const MAX_FAILURES: u32 = 3;
/// Largest ejected share of the pool, in percent. One server may be ejected in any pool of at least `MIN_POOL`.
const MAX_EJECTED_PERCENT: usize = 20;
/// Smallest pool with a median that one slow server does not move.
const MIN_POOL: usize = 3;
/// Length of the first ejection; each further one doubles.
const FIRST_EJECTION: Duration = Duration::from_secs(10);
/// Longest ejection.
const LONGEST_EJECTION: Duration = Duration::from_mins(5);
/// Good trials before a server returns.
const TRIALS: u32 = 3;

/// Speed of one answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PaceSample {
    /// A stream of tokens.
    Tokens {
        /// Count of tokens after the first one.
        tokens: u32,
        /// Time from the first to the last token.
        elapsed: Duration,
        /// Requests that the engine ran together, this one included.
        batch: u32,
    },
    /// A whole call of a plain service.
    Call {
        /// Number of the call's class, below 8; only calls of one kind are compared.
        kind: u8,
        /// Time until the answer.
        elapsed: Duration,
    },
}

/// What the pool thinks of a server's speed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SpeedState {
    /// Receives requests in proportion to its weight.
    #[default]
    Active,
    /// Receives nothing.
    Ejected {
        /// End of the ejection.
        until: Duration,
    },
    /// Receives one request at a time as a trial.
    Trial {
        /// Good trials so far.
        passed: u32,
    },
}

#[derive(Debug, Clone, Default)]
struct Speed {
    state: SpeedState,
    slowness: Option<f64>,
    samples: u32,
    failures: u32,
    ejections: u32,
    restored_at: Option<Duration>,
    /// Whether the last ejection was for slowness rather than for failures.
    is_slow: bool,
}

impl Speed {
    fn add(&mut self, ratio: f64) {
        let slowness = self.slowness.get_or_insert(1.0);
        *slowness += (ratio.min(MAX_RATIO) - *slowness) * SAMPLE_WEIGHT;
        self.samples += 1;
    }

    fn pass_trial(&mut self, now: Duration) {
        let passed = match self.state {
            SpeedState::Trial { passed } => passed + 1,
            SpeedState::Active | SpeedState::Ejected { .. } => return,
        };
        self.state = SpeedState::Trial { passed };
        if passed < TRIALS {
            return;
        }
        *self = Self {
            ejections: self.ejections,
            restored_at: Some(now),
            ..Self::default()
        };
    }
}

/// Speed of all servers of a pool. Servers are known by a small index.
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
    servers: Vec<Speed>,
    paces: PaceTable,
    pool: Vec<usize>,
    due_trials: Vec<usize>,
}

impl SpeedTable {
    /// Forgets a server, because its index gets another one or another incarnation.
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
            self.servers.resize(server + 1, Speed::default());
        }
        self.servers[server] = Speed::default();
        self.paces.reset(server);
        self.due_trials.retain(|&due| due != server);
    }

    /// Records the pace of an answer. See [`SpeedTable`] for an example.
    pub fn on_sample(&mut self, now: Duration, server: usize, sample: &PaceSample) {
        self.grow(server);
        let comparison = self.paces.add(now, server, sample);
        let speed = &mut self.servers[server];
        speed.failures = 0;
        match (speed.state, comparison) {
            (SpeedState::Active, Comparison::Ratio(ratio)) => speed.add(ratio),
            (SpeedState::Trial { .. }, Comparison::Ratio(ratio)) if ratio > TRIAL_LIMIT => {
                self.eject(now, server);
            }
            // Without a median there is no sign that the server is still slow.
            (SpeedState::Trial { .. }, Comparison::Ratio(_) | Comparison::NoMedian)
                if speed.is_slow =>
            {
                speed.pass_trial(now);
            }
            _ => {}
        }
    }

    /// Records an attempt that failed without a usable answer: a lost link, a failure or a crash.
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
        self.grow(server);
        let speed = &mut self.servers[server];
        speed.failures += 1;
        let is_trial = matches!(speed.state, SpeedState::Trial { .. });
        let is_suspect = speed.state == SpeedState::Active && speed.failures >= MAX_FAILURES;
        if is_trial || (is_suspect && self.may_eject()) {
            self.eject(now, server);
        }
    }

    /// Records an attempt that succeeded. A server that was ejected for failures returns by this, a slow one by samples.
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
        self.grow(server);
        let speed = &mut self.servers[server];
        speed.failures = 0;
        if matches!(speed.state, SpeedState::Trial { .. }) && !speed.is_slow {
            speed.pass_trial(now);
        }
    }

    /// Sets the servers of the pool that take work; only they enter the medians and the cap on ejections.
    ///
    /// See [`SpeedTable`] for an example.
    pub fn set_pool(&mut self, pool: Vec<usize>) {
        if let Some(&last) = pool.iter().max() {
            self.grow(last);
        }
        self.pool = pool;
    }

    /// Recomputes the medians, ejects slow servers and makes trials due. To be called about once a second.
    ///
    /// See [`SpeedTable`] for an example.
    pub fn on_tick(&mut self, now: Duration) {
        self.paces.update_medians(now, &self.pool);
        self.eject_slow(now);
        self.make_trials_due(now);
    }

    /// Takes the next server that is due for a trial request. See [`SpeedState::Trial`].
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

    /// Returns the state of a server. See [`SpeedTable`] for an example.
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
        if slowness < REDUCE_AT {
            1.0
        } else {
            1.0 / slowness
        }
    }

    /// Returns when a server returned from its last ejection; it starts slowly again.
    ///
    /// ```
    /// # use tanagerford_core::straggler::SpeedTable;
    /// assert_eq!(SpeedTable::default().restored_at(0), None);
    /// ```
    #[must_use]
    pub fn restored_at(&self, server: usize) -> Option<Duration> {
        self.servers.get(server)?.restored_at
    }

    fn grow(&mut self, server: usize) {
        if self.servers.len() <= server {
            self.servers.resize(server + 1, Speed::default());
        }
    }

    fn may_eject(&self) -> bool {
        let ejected = self
            .pool
            .iter()
            .filter(|&&server| self.state(server) != SpeedState::Active);
        let least = usize::from(self.pool.len() >= MIN_POOL);
        let cap = least.max(self.pool.len() * MAX_EJECTED_PERCENT / 100);
        ejected.count() < cap
    }

    fn eject(&mut self, now: Duration, server: usize) {
        let speed = &mut self.servers[server];
        let length = FIRST_EJECTION * 2_u32.pow(speed.ejections.min(8));
        speed.ejections += 1;
        speed.is_slow = speed.failures == 0;
        speed.state = SpeedState::Ejected {
            until: now + length.min(LONGEST_EJECTION),
        };
    }

    /// Ejects slow servers, the slowest first, until the cap is reached.
    fn eject_slow(&mut self, now: Duration) {
        let mut slow: Vec<(f64, usize)> = Vec::new();
        for &server in &self.pool {
            let speed = &mut self.servers[server];
            // A server that stayed in the pool for long is a new case when it gets slow again.
            if speed
                .restored_at
                .is_some_and(|at| now.saturating_sub(at) > LONGEST_EJECTION)
            {
                speed.ejections = 0;
            }
            let is_judged = speed.state == SpeedState::Active && speed.samples >= MIN_SAMPLES;
            let slowness = speed
                .slowness
                .filter(|&slowness| is_judged && slowness >= EJECT_AT);
            slow.extend(slowness.map(|slowness| (slowness, server)));
        }
        slow.sort_by(|left, right| right.0.total_cmp(&left.0));
        for (_, server) in slow {
            if !self.may_eject() {
                break;
            }
            self.eject(now, server);
        }
    }

    fn make_trials_due(&mut self, now: Duration) {
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

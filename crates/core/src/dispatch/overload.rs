//! Whether an entry that is short of processor time takes a call.
//!
//! Work that waits for the processor of an entry has no queue of its own that could be measured, so a probe that is due
//! at known times tells how late the entry runs. As in `CoDel` (RFC 8289), a delay that goes away at once is a short burst,
//! and one that stays is a backlog.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;

use super::Rank;
use super::cost::milliseconds;

/// Interval of the probes. Each costs a wake-up, so that a shorter one takes time from the calls of a small VM.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// Delay up to which only a second late probe tells of a backlog: a quota of processor time is refilled after it, and work
/// that waits for the quota is no backlog.
const QUOTA_PERIOD: Duration = Duration::from_millis(100);

/// Smallest limit of calls in flight.
const MIN_FLIGHTS: f64 = 2.0;
/// Smallest growth of the limit after a probe, so that a small limit does not stay.
const MIN_GROWTH: f64 = 0.2;

/// Time after which a caller that met a busy entry should come back. It reaches another entry, and most of its latency
/// objective is left.
pub const BUSY_RETRY_AFTER: Duration = Duration::from_millis(50);

/// How late an entry runs what is due.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tanagerford_core::dispatch::{PROBE_INTERVAL, ProcessorDelay};
///
/// let ms = Duration::from_millis;
/// let mut delay = ProcessorDelay::default();
/// delay.on_probe(ms(1_000));
/// delay.on_probe(ms(1_000) + PROBE_INTERVAL + ms(30));
/// assert_eq!(delay.latest(ms(1_090)), ms(30));
/// // A probe that is overdue tells of a delay before it runs.
/// assert_eq!(delay.latest(ms(1_630)), ms(500));
/// ```
#[derive(Debug, Default)]
pub struct ProcessorDelay {
    due: Option<Duration>,
    /// Delay of the last probe.
    last: Duration,
    /// Delay of the one before.
    previous: Duration,
}

impl ProcessorDelay {
    /// Records that the probe runs; the next one is due an interval later. Returns the delay of this one.
    pub fn on_probe(&mut self, now: Duration) -> Duration {
        self.previous = self.last;
        self.last = self.overdue(now);
        self.due = Some(now + PROBE_INTERVAL);
        self.last
    }

    fn overdue(&self, now: Duration) -> Duration {
        self.due
            .map_or(Duration::ZERO, |due| now.saturating_sub(due))
    }

    /// Returns how long what runs now may have waited.
    #[must_use]
    pub fn latest(&self, now: Duration) -> Duration {
        self.last.max(self.overdue(now))
    }

    /// Returns the delay without short bursts: the latest if no quota explains it, otherwise what two probes have found.
    #[must_use]
    pub fn standing(&self, now: Duration) -> Duration {
        let latest = self.latest(now);
        if latest > QUOTA_PERIOD {
            latest
        } else {
            self.sustained()
        }
    }

    /// Returns the delay that two probes in a row have found.
    fn sustained(&self) -> Duration {
        self.last.min(self.previous)
    }
}

/// Limits of the work that an entry takes while it is short of processor time.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OverloadSettings {
    /// Standing delay up to which a call of the highest rank enters, as a share of the latency objective. A call waits
    /// for the processor several times before its first event, so the share is small.
    pub objective_share: f64,
    /// Factor of that limit for each lower rank.
    pub rank_factor: f64,
    /// Smallest value of that limit, in milliseconds: timers are a few milliseconds late on a free processor, too.
    pub min_delay_ms: f64,
    /// Delay of two probes in a row from which fewer calls are in flight, in milliseconds.
    pub target_delay_ms: f64,
    /// Factor of the limit of calls in flight for each lower rank: what is left belongs to higher ranks.
    pub flights_rank_factor: f64,
    /// Factor of the calls in flight that gives the limit while that delay is exceeded.
    pub flights_factor: f64,
    /// Growth of the limit of calls in flight with each probe that finds no such delay, as a share of it.
    pub flights_growth: f64,
    /// Time after which a call of a rank of which none has entered does in any case, in milliseconds, so that no rank is
    /// starved.
    pub exception_interval_ms: f64,
}

impl Default for OverloadSettings {
    fn default() -> Self {
        Self {
            objective_share: 0.125,
            rank_factor: 0.85,
            min_delay_ms: 40.0,
            target_delay_ms: 40.0,
            flights_rank_factor: 0.6,
            flights_factor: 0.7,
            flights_growth: 0.05,
            exception_interval_ms: 2_000.0,
        }
    }
}

/// Bounds the work that an entry has taken and not yet begun: calls are refused while there is a standing delay, and while
/// more are in flight than the processor kept up with; those of lower ranks first.
///
/// The limit of calls in flight falls by a factor and grows in steps (additive increase, multiplicative decrease), since a
/// call brings most of its work after it has entered, where the delay does not show it yet.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tanagerford_core::dispatch::OverloadGate;
///
/// let ms = Duration::from_millis;
/// let mut gate = OverloadGate::default();
/// gate.on_probe(ms(1_000), 0);
/// assert!(gate.admits(ms(1_000), 0, ms(500), 0));
/// // Due at 1,050 ms.
/// gate.on_probe(ms(1_250), 1);
/// assert!(!gate.admits(ms(1_250), 0, ms(500), 1));
/// ```
#[derive(Debug, Default)]
pub struct OverloadGate {
    settings: OverloadSettings,
    delay: ProcessorDelay,
    /// Calls in flight with which the processor keeps up; `None` while it was not short of time.
    max_flights: Option<f64>,
    /// Time at which a call of each rank last entered.
    last_entered: BTreeMap<Rank, Duration>,
}

impl OverloadGate {
    /// Creates a gate with the given limits.
    #[must_use]
    pub fn new(settings: OverloadSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns how late the entry runs.
    #[must_use]
    pub fn delay(&self) -> &ProcessorDelay {
        &self.delay
    }

    /// Records that the probe runs; returns its delay. `flights` are the calls that have entered and not ended.
    pub fn on_probe(&mut self, now: Duration, flights: usize) -> Duration {
        let delay = self.delay.on_probe(now);
        let settings = &self.settings;
        let flights = number(flights);
        let sustained_ms = milliseconds(self.delay.sustained());
        if sustained_ms > settings.target_delay_ms {
            let fewer = (flights * settings.flights_factor).max(MIN_FLIGHTS);
            self.max_flights = Some(self.max_flights.map_or(fewer, |limit| limit.min(fewer)));
        } else if let Some(limit) = self.max_flights {
            let grown = limit + (limit * settings.flights_growth).max(MIN_GROWTH);
            // Far more than are in flight is no limit.
            self.max_flights =
                Some(grown).filter(|limit| *limit < flights * 4.0 + 4.0 * MIN_FLIGHTS);
        }
        delay
    }

    /// Decides whether a call enters. `objective` is the longest latency objective of its own and lower ranks, so that no
    /// rank is refused for a delay with which a lower one enters.
    pub fn admits(
        &mut self,
        now: Duration,
        rank: Rank,
        objective: Duration,
        flights: usize,
    ) -> bool {
        let interval = Duration::from_secs_f64(self.settings.exception_interval_ms / 1_000.0);
        let last_entered = *self.last_entered.entry(rank).or_insert(now);
        let is_starving = now.saturating_sub(last_entered) >= interval;
        let has_time = self.delay.standing(now) <= self.limit(rank, objective);
        let does_enter = is_starving || (has_time && self.has_flight(rank, flights));
        if does_enter {
            self.last_entered.insert(rank, now);
        }
        does_enter
    }

    /// Returns whether one more call of a rank may be in flight.
    fn has_flight(&self, rank: Rank, flights: usize) -> bool {
        let flights = number(flights);
        let share = self.settings.flights_rank_factor.powi(i32::from(rank));
        self.max_flights
            .is_none_or(|limit| flights < (limit * share).max(1.0))
    }

    /// Returns the standing delay up to which calls of a rank enter.
    fn limit(&self, rank: Rank, objective: Duration) -> Duration {
        let settings = &self.settings;
        let share = settings.objective_share * settings.rank_factor.powi(i32::from(rank));
        let limit_ms = (milliseconds(objective) * share).max(settings.min_delay_ms);
        Duration::from_secs_f64(limit_ms / 1_000.0)
    }
}

/// Returns a count as a number to calculate with.
fn number(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

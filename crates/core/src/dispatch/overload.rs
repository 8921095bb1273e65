//! Load shedding of an entry that is short of processor time.
//!
//! Work that waits for the processor of an entry has no queue that could be measured directly. A periodic probe
//! measures instead how late the entry runs. As in `CoDel` (RFC 8289), a delay that disappears at once is a short
//! burst, and a delay that persists is a backlog.

use std::collections::BTreeMap;
use std::ops::{Bound, RangeBounds};
use std::time::Duration;

use serde::Deserialize;

use super::Rank;
use super::cost::milliseconds;
use super::decay::remaining_weight;

/// Interval of the probes. Each probe is a wake-up, so a shorter interval takes processor time from calls on a small
/// VM.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// Delay up to which two late probes are required to detect a backlog. A processor quota is refilled after this period,
/// and work that waits for the refill is not a backlog.
const QUOTA_PERIOD: Duration = Duration::from_millis(100);

/// Lower bound of the limit of calls in flight.
const MIN_IN_FLIGHT: f64 = 2.0;
/// Smallest growth of the limit per probe, so that a small limit can recover.
const MIN_GROWTH: f64 = 0.2;

/// Time after the last shortage of processor time for which the entry counts as busy. Messages to other entries cause a
/// part of the shortage, so it would soon return if the entry no longer counted as busy between two bursts.
const BUSY_MEMORY: Duration = Duration::from_secs(10);

/// Half-life of the counts from which the share of each rank is estimated.
const OFFERED_HALF_LIFE: Duration = Duration::from_secs(2);

/// Retry delay for callers that are refused by an overloaded entry. The retry reaches another entry while most of the
/// latency objective is left.
pub const BUSY_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Delay with which an entry runs work that is due.
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
/// // An overdue probe shows a delay before it runs.
/// assert_eq!(delay.latest(ms(1_630)), ms(500));
/// ```
#[derive(Debug, Default)]
pub struct ProcessorDelay {
    probe_due: Option<Duration>,
    /// Delay of the last probe.
    last: Duration,
    /// Delay of the probe before the last.
    previous: Duration,
}

impl ProcessorDelay {
    /// Records that the probe runs and schedules the next one. Returns the delay of this probe.
    pub fn on_probe(&mut self, now: Duration) -> Duration {
        self.previous = self.last;
        self.last = self.overdue(now);
        self.probe_due = Some(now + PROBE_INTERVAL);
        self.last
    }

    fn overdue(&self, now: Duration) -> Duration {
        self.probe_due
            .map_or(Duration::ZERO, |due| now.saturating_sub(due))
    }

    /// Returns the delay of the last probe, or that of the next probe if it is already later.
    #[must_use]
    pub fn latest(&self, now: Duration) -> Duration {
        self.last.max(self.overdue(now))
    }

    /// Returns the delay without short bursts: the latest delay if it exceeds the quota period, otherwise the delay
    /// that two consecutive probes have found.
    #[must_use]
    pub fn persistent(&self, now: Duration) -> Duration {
        let latest = self.latest(now);
        if latest > QUOTA_PERIOD {
            latest
        } else {
            self.sustained()
        }
    }

    /// Returns the delay that two consecutive probes have found.
    fn sustained(&self) -> Duration {
        self.last.min(self.previous)
    }
}

/// Limits on the calls that an entry accepts while it is short of processor time.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OverloadSettings {
    /// Persistent delay up to which a call of the highest rank is admitted, as a share of its latency objective. The
    /// share is small because a call waits for the processor several times before its first event.
    pub objective_share: f64,
    /// Persistent delay up to which calls are admitted at least, in milliseconds. Timers are a few milliseconds late
    /// even on an idle processor.
    pub min_delay_ms: f64,
    /// Delay of two consecutive probes above which the limit of calls in flight is reduced, in milliseconds.
    pub target_delay_ms: f64,
    /// Share of the limits on delay and calls in flight that a rank loses if all other calls have higher ranks. It loses
    /// less if fewer calls have higher ranks.
    pub higher_ranks_reserve: f64,
    /// Time for which a refusal for lack of capacity closes the entry to lower ranks, in milliseconds.
    pub closed_ms: f64,
    /// Time after that until all calls of the lower ranks are admitted again, in milliseconds. The admitted share of these
    /// calls grows linearly, higher ranks first.
    pub reopening_ms: f64,
    /// Factor on the current calls in flight that gives the new limit when the target delay is exceeded.
    pub flights_factor: f64,
    /// Growth of the limit of calls in flight per probe that does not exceed the target delay, as a share of the limit.
    pub flights_growth: f64,
    /// Time after which a call is admitted in any case if no other call of its rank was, in milliseconds. It prevents
    /// the starvation of low ranks.
    pub exception_interval_ms: f64,
}

impl Default for OverloadSettings {
    fn default() -> Self {
        Self {
            objective_share: 0.125,
            min_delay_ms: 40.0,
            target_delay_ms: 40.0,
            higher_ranks_reserve: 0.5,
            closed_ms: 1_000.0,
            reopening_ms: 8_000.0,
            flights_factor: 0.85,
            flights_growth: 0.05,
            exception_interval_ms: 2_000.0,
        }
    }
}

/// Reason why a call is refused by an [`OverloadGate`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShedReason {
    /// The processor runs late.
    Delay,
    /// More calls are in flight than the processor can handle.
    InFlight,
    /// Calls of a higher rank were refused recently.
    HigherRank,
}

impl ShedReason {
    /// Returns the name of the reason in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Delay => "delay",
            Self::InFlight => "in_flight",
            Self::HigherRank => "higher_rank",
        }
    }
}

/// Recent calls of one rank.
#[derive(Debug)]
struct RankState {
    /// Decayed number of offered calls at `offered_at`.
    offered: f64,
    offered_at: Duration,
    last_admitted: Duration,
    /// Time of the last refusal for lack of capacity.
    last_refused: Option<Duration>,
    /// Sum of the admitted shares of the calls offered since the last admitted one, at most 1. The next call is admitted at
    /// 1, so a share of one half admits every second call.
    credit: f64,
}

impl RankState {
    fn new(now: Duration) -> Self {
        Self {
            offered: 0.0,
            offered_at: now,
            last_admitted: now,
            last_refused: None,
            credit: 0.0,
        }
    }

    /// Returns the decayed number of offered calls.
    fn offered(&self, now: Duration) -> f64 {
        self.offered * remaining_weight(now, self.offered_at, OFFERED_HALF_LIFE)
    }
}

/// Admission control for an entry. Refuses calls while there is a persistent delay, and while more calls are in flight
/// than the processor can handle.
///
/// The limit of calls in flight follows additive increase and multiplicative decrease. The limit is needed because a
/// call causes most of its work after admission, when the delay does not show it yet.
///
/// The delay rises and falls so fast that limits per rank cannot tell the ranks apart. A refusal of one rank for lack of
/// capacity therefore closes the entry to all lower ranks for a while. Their calls are then admitted again gradually, higher
/// ranks first.
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
/// assert!(gate.admit(ms(1_000), 0, ms(500), 0).is_ok());
/// // This probe was due at 1,050 ms.
/// gate.on_probe(ms(1_250), 1);
/// assert!(gate.admit(ms(1_250), 0, ms(500), 1).is_err());
/// // The delay is over, but the refusal of rank 0 still closes the entry to rank 1.
/// gate.on_probe(ms(1_300), 1);
/// assert!(gate.admit(ms(1_300), 0, ms(500), 0).is_ok());
/// assert!(gate.admit(ms(1_300), 1, ms(500), 0).is_err());
/// ```
#[derive(Debug, Default)]
pub struct OverloadGate {
    settings: OverloadSettings,
    delay: ProcessorDelay,
    /// Limit of calls in flight; `None` while the processor is not overloaded.
    max_in_flight: Option<f64>,
    /// Time of the last probe that found the target delay exceeded.
    last_shortage: Option<Duration>,
    ranks: BTreeMap<Rank, RankState>,
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

    /// Returns the measured delay of the processor.
    #[must_use]
    pub fn delay(&self) -> &ProcessorDelay {
        &self.delay
    }

    /// Records that the probe runs and returns its delay. `in_flight` is the number of admitted calls that have not
    /// ended.
    pub fn on_probe(&mut self, now: Duration, in_flight: usize) -> Duration {
        let delay = self.delay.on_probe(now);
        let settings = &self.settings;
        let in_flight = count_as_f64(in_flight);
        let sustained_ms = milliseconds(self.delay.sustained());
        if sustained_ms > settings.target_delay_ms {
            self.last_shortage = Some(now);
            let decreased = (in_flight * settings.flights_factor).max(MIN_IN_FLIGHT);
            self.max_in_flight = Some(
                self.max_in_flight
                    .map_or(decreased, |limit| limit.min(decreased)),
            );
        } else if let Some(limit) = self.max_in_flight {
            let increased = limit + (limit * settings.flights_growth).max(MIN_GROWTH);
            // A limit far above the calls in flight has no effect.
            self.max_in_flight =
                Some(increased).filter(|limit| *limit < in_flight * 4.0 + 4.0 * MIN_IN_FLIGHT);
        }
        delay
    }

    /// Returns whether a probe found the target delay exceeded within the last 10 s.
    #[must_use]
    pub fn is_busy(&self, now: Duration) -> bool {
        let last = self.last_shortage;
        last.is_some_and(|at| now.saturating_sub(at) < BUSY_MEMORY)
    }

    /// Decides whether to admit a call. `objective` is the longest latency objective of its own and lower ranks, so
    /// that no rank is refused for a delay with which a lower rank is admitted.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the call must be refused.
    pub fn admit(
        &mut self,
        now: Duration,
        rank: Rank,
        objective: Duration,
        in_flight: usize,
    ) -> Result<(), ShedReason> {
        let scale = 1.0 - self.settings.higher_ranks_reserve * self.higher_ranks_share(now, rank);
        let shortage = if self.delay.persistent(now) > self.delay_limit(objective, scale) {
            Some(ShedReason::Delay)
        } else if self.has_room(in_flight, scale) {
            None
        } else {
            Some(ShedReason::InFlight)
        };
        let open_share = self.open_share(now, rank);
        let interval = Duration::from_secs_f64(self.settings.exception_interval_ms / 1_000.0);
        let state = self
            .ranks
            .entry(rank)
            .or_insert_with(|| RankState::new(now));
        state.offered = state.offered(now) + 1.0;
        state.offered_at = now;
        state.credit = (state.credit + open_share).min(1.0);
        let is_open = state.credit >= 1.0;
        let is_starving = now.saturating_sub(state.last_admitted) >= interval;
        let refusal = shortage.or((!is_open).then_some(ShedReason::HigherRank));
        match refusal.filter(|_| !is_starving) {
            None => {
                state.last_admitted = now;
                state.credit = 0.0;
                Ok(())
            }
            Some(reason) => {
                if shortage.is_some() {
                    state.last_refused = Some(now);
                }
                Err(reason)
            }
        }
    }

    /// Returns the decayed number of offered calls of some ranks.
    fn offered(&self, now: Duration, ranks: impl RangeBounds<Rank>) -> f64 {
        let states = self.ranks.range(ranks);
        states.map(|(_, state)| state.offered(now)).sum()
    }

    /// Returns the share of the recent calls that had a higher rank.
    fn higher_ranks_share(&self, now: Duration, rank: Rank) -> f64 {
        let all = self.offered(now, ..);
        if all > 0.0 {
            self.offered(now, ..rank) / all
        } else {
            0.0
        }
    }

    /// Returns the share of the calls of a rank that may be admitted after the refusals of higher ranks.
    fn open_share(&self, now: Duration, rank: Rank) -> f64 {
        let shares = self.ranks.range(..rank).filter_map(|(refused, state)| {
            let since_ms = milliseconds(now.saturating_sub(state.last_refused?));
            let progress = (since_ms - self.settings.closed_ms) / self.settings.reopening_ms;
            (progress < 1.0).then(|| self.reopened_share(now, *refused, rank, progress))
        });
        shares.fold(1.0, f64::min)
    }

    /// Returns the admitted share of a rank when the share `progress` of all calls below the rank `refused` is admitted,
    /// higher ranks first.
    fn reopened_share(&self, now: Duration, refused: Rank, rank: Rank, progress: f64) -> f64 {
        let below = self.offered(now, (Bound::Excluded(refused), Bound::Unbounded));
        let before = self.offered(now, (Bound::Excluded(refused), Bound::Excluded(rank)));
        let own = self.offered(now, rank..=rank);
        if own > 0.0 {
            ((progress * below - before) / own).clamp(0.0, 1.0)
        } else {
            progress.max(0.0)
        }
    }

    /// Returns whether one more call may be in flight, with the limit scaled by `scale`.
    fn has_room(&self, in_flight: usize, scale: f64) -> bool {
        let in_flight = count_as_f64(in_flight);
        self.max_in_flight
            .is_none_or(|limit| in_flight < (limit * scale).max(1.0))
    }

    /// Returns the persistent delay up to which calls are admitted, with the limit scaled by `scale` as far as it exceeds
    /// the smallest limit.
    fn delay_limit(&self, objective: Duration, scale: f64) -> Duration {
        let settings = &self.settings;
        let limit_ms = milliseconds(objective) * settings.objective_share;
        let above_min_ms = (limit_ms - settings.min_delay_ms).max(0.0);
        Duration::from_secs_f64((settings.min_delay_ms + above_min_ms * scale) / 1_000.0)
    }
}

fn count_as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

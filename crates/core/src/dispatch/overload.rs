//! Admission control of an entry that is short of processor time.

use std::collections::BTreeMap;
use std::ops::RangeBounds;
use std::time::Duration;

use serde::Deserialize;

use super::Rank;
use super::admission_queue::{AdmissionQueue, Waiter, WaiterNumber};
use super::cost::milliseconds;
use super::decay::DecayedCount;
use super::processor_delay::ProcessorDelay;

/// Lower bound of the limit of calls in flight.
const MIN_IN_FLIGHT: f64 = 2.0;
/// Smallest growth of the limit per probe, so that a small limit can recover.
const MIN_GROWTH: f64 = 0.2;
/// Smallest number of calls that may wait while the queue is expected to drain.
const MIN_WAITING: f64 = 4.0;
/// Smallest number of calls that may wait while the queue does not drain.
const MIN_STANDING: f64 = 1.0;

/// Time after the last shortage of processor time for which the entry counts as busy. Messages to other entries cause a
/// part of the shortage, so it would soon return if the entry no longer counted as busy between two bursts.
const BUSY_MEMORY: Duration = Duration::from_secs(10);

/// Retry delay for callers that are refused by an overloaded entry. The retry reaches another entry while most of the
/// latency objective is left.
pub const BUSY_RETRY_AFTER: Duration = Duration::from_millis(50);

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
    /// Longest time for which a call waits for admission, in milliseconds.
    pub max_wait_ms: f64,
    /// Longest time for which a call waits for admission, as a share of the time until its deadline. The rest is for the
    /// call itself or for a retry at another entry.
    pub wait_share: f64,
    /// Time after which a queue that was never empty counts as standing, in milliseconds.
    pub standing_after_ms: f64,
    /// Expected wait in a standing queue, in milliseconds. A longer one would only make the admitted calls late.
    pub standing_wait_ms: f64,
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
            higher_ranks_reserve: 0.8,
            max_wait_ms: 1_000.0,
            wait_share: 0.25,
            standing_after_ms: 200.0,
            standing_wait_ms: 100.0,
            flights_factor: 0.95,
            flights_growth: 0.05,
            exception_interval_ms: 2_000.0,
        }
    }
}

/// What an entry lacks for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShedReason {
    /// The processor runs late.
    Delay,
    /// More calls are in flight than the processor can handle.
    InFlight,
    /// Calls of a higher rank are waiting.
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

/// Call that arrives at an [`OverloadGate`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ArrivingCall {
    /// Rank of the call; 0 is the highest.
    pub rank: Rank,
    /// Longest latency objective of its own and lower ranks, so that no rank is refused for a delay with which a lower
    /// rank is admitted.
    pub objective: Duration,
    /// Time until the deadline of the call.
    pub remaining: Duration,
}

/// Decision about an arriving call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// The call is admitted.
    Admitted,
    /// The call waits until [`OverloadGate::settle`] decides about it.
    Waits(WaiterNumber),
}

/// Decision about a waiting call.
pub type Settlement = (WaiterNumber, Result<(), ShedReason>);

/// Recent calls of one rank.
#[derive(Debug)]
struct RankState {
    offered: DecayedCount,
    last_admitted: Duration,
}

/// Admission control for an entry. Calls wait while there is a persistent delay, and while more calls are in flight than
/// the processor can handle.
///
/// The limit of calls in flight follows additive increase and multiplicative decrease. The limit is needed because a
/// call causes most of its work after admission, when the delay does not show it yet.
///
/// Apart from the exceptions that prevent starvation, no call is admitted while a call of a higher rank waits, so the order
/// of ranks does not depend on the moment at which a call arrives. The entry is open again as soon as no call waits.
///
/// The queue absorbs short shortages. As in `CoDel` (RFC 8289), a queue that does not drain for a while is a standing one,
/// which only adds delay; it is cut to the calls that are expected to be admitted soon. The oldest call of the lowest rank
/// is refused first.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tanagerford_core::dispatch::{Arrival, ArrivingCall, OverloadGate};
///
/// let ms = Duration::from_millis;
/// let call = |rank| ArrivingCall { rank, objective: ms(500), remaining: ms(8_000) };
/// let mut gate = OverloadGate::default();
/// gate.on_probe(ms(1_000), 0);
/// assert_eq!(gate.arrive(ms(1_000), call(0), 0), Arrival::Admitted);
/// // This probe was due at 1,050 ms.
/// gate.on_probe(ms(1_250), 1);
/// let Arrival::Waits(low) = gate.arrive(ms(1_250), call(1), 1) else { panic!() };
/// let Arrival::Waits(high) = gate.arrive(ms(1_250), call(0), 1) else { panic!() };
/// // The delay is over.
/// gate.on_probe(ms(1_300), 1);
/// assert_eq!(gate.settle(ms(1_300), 1), [(high, Ok(())), (low, Ok(()))]);
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
    queue: AdmissionQueue,
    /// Time since which calls have been waiting; `None` while the queue is empty.
    waiting_since: Option<Duration>,
    admitted: DecayedCount,
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

    /// Returns whether calls are waiting.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        self.queue.len() > 0
    }

    /// Decides about an arriving call.
    pub fn arrive(&mut self, now: Duration, call: ArrivingCall, in_flight: usize) -> Arrival {
        let interval = Duration::from_secs_f64(self.settings.exception_interval_ms / 1_000.0);
        let state = self.ranks.entry(call.rank).or_insert(RankState {
            offered: DecayedCount::default(),
            last_admitted: now,
        });
        state.offered.add(now);
        let is_starving = now.saturating_sub(state.last_admitted) >= interval;
        let higher_waits = self
            .queue
            .first()
            .is_some_and(|first| first.rank < call.rank);
        let reason = if higher_waits {
            Some(ShedReason::HigherRank)
        } else {
            self.shortage(now, call.rank, call.objective, in_flight)
        };
        let Some(reason) = reason.filter(|_| !is_starving) else {
            self.record_admission(now, call.rank);
            return Arrival::Admitted;
        };
        let number = self.queue.next_number();
        self.queue.push(Waiter {
            number,
            rank: call.rank,
            objective: call.objective,
            until: now + self.longest_wait(call.remaining),
            reason,
        });
        self.waiting_since.get_or_insert(now);
        Arrival::Waits(number)
    }

    /// Removes a waiting call, for example because its caller has disconnected. A settled call is not affected.
    pub fn leave(&mut self, number: WaiterNumber) {
        self.queue.remove(number);
        if self.queue.len() == 0 {
            self.waiting_since = None;
        }
    }

    /// Admits waiting calls as far as there is capacity, and refuses those that may not wait any longer. Must be called after
    /// a probe, after the end of a call, and after a call has begun to wait.
    pub fn settle(&mut self, now: Duration, in_flight: usize) -> Vec<Settlement> {
        let mut settled = Vec::new();
        let mut in_flight = in_flight;
        while let Some(first) = self.queue.first() {
            if self
                .shortage(now, first.rank, first.objective, in_flight)
                .is_some()
            {
                break;
            }
            self.queue.remove(first.number);
            self.record_admission(now, first.rank);
            settled.push((first.number, Ok(())));
            in_flight += 1;
        }
        let mut refused = self.queue.take_expired(now);
        while count_as_f64(self.queue.len()) > self.max_waiting(now) {
            refused.extend(self.queue.pop_last());
        }
        settled.extend(
            refused
                .iter()
                .map(|waiter| (waiter.number, Err(waiter.reason))),
        );
        if self.queue.len() == 0 {
            self.waiting_since = None;
        }
        settled
    }

    fn record_admission(&mut self, now: Duration, rank: Rank) {
        self.admitted.add(now);
        if let Some(state) = self.ranks.get_mut(&rank) {
            state.last_admitted = now;
        }
    }

    /// Returns what the entry lacks for a call, apart from waiting calls.
    fn shortage(
        &self,
        now: Duration,
        rank: Rank,
        objective: Duration,
        in_flight: usize,
    ) -> Option<ShedReason> {
        let scale = 1.0 - self.settings.higher_ranks_reserve * self.higher_ranks_share(now, rank);
        if self.delay.persistent(now) > self.delay_limit(objective, scale) {
            Some(ShedReason::Delay)
        } else if self.has_room(in_flight, scale) {
            None
        } else {
            Some(ShedReason::InFlight)
        }
    }

    /// Returns the longest time for which a call with this time until its deadline may wait.
    fn longest_wait(&self, remaining: Duration) -> Duration {
        let max = Duration::from_secs_f64(self.settings.max_wait_ms / 1_000.0);
        remaining.mul_f64(self.settings.wait_share).min(max)
    }

    /// Returns how many calls may wait: as many as are expected to be admitted within the wait that is acceptable.
    fn max_waiting(&self, now: Duration) -> f64 {
        let settings = &self.settings;
        let standing_after = Duration::from_secs_f64(settings.standing_after_ms / 1_000.0);
        let is_standing = self
            .waiting_since
            .is_some_and(|since| now.saturating_sub(since) >= standing_after);
        let (wait_ms, min) = if is_standing {
            (settings.standing_wait_ms, MIN_STANDING)
        } else {
            (settings.max_wait_ms, MIN_WAITING)
        };
        (self.admitted.per_second(now) * wait_ms / 1_000.0).max(min)
    }

    /// Returns the decayed number of offered calls of some ranks.
    fn offered(&self, now: Duration, ranks: impl RangeBounds<Rank>) -> f64 {
        let states = self.ranks.range(ranks);
        states.map(|(_, state)| state.offered.get(now)).sum()
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

//! Admission of long prompts: start now, wait, or refuse.

use std::time::Duration;

use serde::Deserialize;

use super::{Choice, Rank};

/// Fraction of the latency objective that a long prompt may spend waiting for admission.
const MAX_WAIT_SHARE: (u32, u32) = (2, 5);
/// Interval at which a waiting call asks for admission again.
pub const GATE_POLL_INTERVAL: Duration = Duration::from_millis(15);

/// Retry delay for callers that are refused under load. It is long enough to outlast a short burst, since a caller that
/// is refused twice is worse off than one that waits once.
pub const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(1_200);

/// Returns the longest latency objective among a call and the streams of its pool that have the same or a lower rank.
/// `streams` holds the ranks and objectives of the streams.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tanagerford_core::dispatch::lower_ranks_latency;
///
/// let ms = Duration::from_millis;
/// let streams = [(0, ms(300)), (1, ms(600)), (2, ms(1_500))];
/// assert_eq!(lower_ranks_latency((1, ms(600)), streams), ms(1_500));
/// assert_eq!(lower_ranks_latency((3, ms(100)), streams), ms(100));
/// ```
#[must_use]
pub fn lower_ranks_latency(
    (rank, objective): (Rank, Duration),
    streams: impl IntoIterator<Item = (Rank, Duration)>,
) -> Duration {
    let lower = streams.into_iter().filter(|(other, _)| *other >= rank);
    lower.fold(objective, |longest, (_, other)| longest.max(other))
}

/// Limits on the admission of long prompts.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LongPromptGateSettings {
    /// Estimated number of late streams up to which a long prompt of the highest rank is admitted. The default is above
    /// 0 on the assumption that the estimate is too high.
    #[serde(rename = "max_harmed_streams")]
    pub max_late_streams: f64,
    /// Share of that number that each rank loses against the next higher one, so that higher ranks are admitted first.
    #[serde(rename = "harmed_per_rank")]
    pub late_streams_per_rank: f64,
    /// Largest estimated time to the first token with which a call is admitted, as a multiple of its remaining time. A
    /// call that would be late would delay calls that can still be on time.
    pub late_factor: f64,
    /// Share of that multiple that each rank loses against the next higher one.
    pub late_per_rank: f64,
    /// Interval at which one call is admitted even though it makes streams late, in milliseconds. On servers full of
    /// streams, long prompts are slowed down but never starved.
    pub exception_interval_ms: f64,
}

impl Default for LongPromptGateSettings {
    fn default() -> Self {
        Self {
            max_late_streams: 1.0,
            late_streams_per_rank: 0.1,
            late_factor: 1.0,
            late_per_rank: 0.03,
            exception_interval_ms: 2_000.0,
        }
    }
}

/// Time that a call has left.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RemainingTime {
    /// Time until its first token is late, in milliseconds.
    pub until_late_ms: f64,
    /// Time until the first token would be late under the longest objective of its own and lower ranks, in
    /// milliseconds. A call is not refused for a delay with which lower ranks are still admitted.
    pub until_lower_ranks_late_ms: f64,
    /// Whether the call may still wait for admission.
    pub can_wait: bool,
}

impl RemainingTime {
    /// Returns the time left after `waited`. `lower_ranks` is the longest objective of the same and lower ranks, see
    /// [`lower_ranks_latency`].
    #[must_use]
    pub fn after(waited: Duration, objective: Duration, lower_ranks: Duration) -> Self {
        let left_ms = |latency: Duration| latency.saturating_sub(waited).as_secs_f64() * 1_000.0;
        Self {
            until_late_ms: left_ms(objective),
            until_lower_ranks_late_ms: left_ms(lower_ranks),
            can_wait: waited < objective * MAX_WAIT_SHARE.0 / MAX_WAIT_SHARE.1,
        }
    }
}

/// Decision about a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateDecision {
    /// Send the call to the chosen server.
    Admit,
    /// Ask again after [`GATE_POLL_INTERVAL`].
    Wait,
    /// Refuse the call; its caller may retry after [`OVERLOAD_RETRY_AFTER`].
    Refuse,
}

/// Admits long prompts as far as the running streams allow.
#[derive(Debug, Default)]
pub struct LongPromptGate {
    settings: LongPromptGateSettings,
    last_exception: Option<Duration>,
}

impl LongPromptGate {
    /// Creates a gate with the given limits.
    #[must_use]
    pub fn new(settings: LongPromptGateSettings) -> Self {
        Self {
            settings,
            last_exception: None,
        }
    }

    /// Decides about a call of the given rank, where 0 is the highest.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::dispatch::{Choice, GateDecision, LongPromptGate, RemainingTime};
    ///
    /// let choice = Choice { is_long: true, late_streams: 8.0, ..Choice::default() };
    /// let mut gate = LongPromptGate::default();
    /// let now = Duration::from_secs(9);
    /// let early = RemainingTime { until_late_ms: 500.0, until_lower_ranks_late_ms: 500.0, can_wait: true };
    /// let late = RemainingTime { can_wait: false, ..early };
    /// assert_eq!(gate.decide(now, &choice, 0, early), GateDecision::Wait);
    /// assert_eq!(gate.decide(now, &choice, 0, late), GateDecision::Admit);
    /// assert_eq!(gate.decide(now, &choice, 0, late), GateDecision::Refuse);
    /// ```
    pub fn decide(
        &mut self,
        now: Duration,
        choice: &Choice,
        rank: Rank,
        remaining: RemainingTime,
    ) -> GateDecision {
        let rank = i32::from(rank);
        let settings = &self.settings;
        // Products, unlike differences, stay above 0 and differ for all ranks.
        let max_late_streams =
            settings.max_late_streams * (1.0 - settings.late_streams_per_rank).powi(rank);
        let late_factor = settings.late_factor * (1.0 - settings.late_per_rank).powi(rank);
        // Prompts of lower ranks may make a call late, but never prevent its admission.
        let meets_limits = |left_ms: f64| {
            let is_in_time = choice.ranked_first_token_ms <= left_ms * late_factor;
            choice.late_streams <= max_late_streams && is_in_time
        };
        if !choice.is_long || meets_limits(remaining.until_late_ms) {
            return GateDecision::Admit;
        }
        if remaining.can_wait {
            return GateDecision::Wait;
        }
        if meets_limits(remaining.until_lower_ranks_late_ms) {
            return GateDecision::Admit;
        }
        let since_exception = self.last_exception.map(|at| now.saturating_sub(at));
        let interval = Duration::from_secs_f64(settings.exception_interval_ms / 1_000.0);
        if since_exception.is_some_and(|since| since < interval) {
            return GateDecision::Refuse;
        }
        self.last_exception = Some(now);
        GateDecision::Admit
    }
}

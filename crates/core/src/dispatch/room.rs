//! Whether a long prompt may start, waits, or is refused.

use std::time::Duration;

use serde::Deserialize;

use super::{Choice, Rank};

/// Share of the latency objective for which a long prompt waits for room, as a fraction.
const ROOM_SHARE: (u32, u32) = (2, 5);
/// Interval at which a waiting call looks for room.
pub const ROOM_INTERVAL: Duration = Duration::from_millis(15);

/// Time after which a caller that was refused under load should come back: a burst outlasts a short wait, and a caller
/// that is refused twice is worse off than one that waits once.
pub const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(1_200);

/// Returns the longest latency objective of a call and the streams that have its rank or a lower one. `streams` are the
/// ranks and objectives of the streams on its pool.
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

/// Limits of the room for long prompts.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GateSettings {
    /// Streams that a long prompt of the highest rank may make late; a bet that the estimate is too careful.
    pub max_harmed_streams: f64,
    /// Streams that a call of the next lower rank may make late less, so that higher ranks enter first.
    pub harmed_per_rank: f64,
    /// Estimated time to the first token with which a call still enters, as a multiple of the time that it has left. A
    /// call that would be late takes the server from those that would not.
    pub late_factor: f64,
    /// What a call of the next lower rank gets less of that multiple.
    pub late_per_rank: f64,
    /// Interval at which one call enters although it makes streams late, in milliseconds. Where every server is full of
    /// streams, long prompts are slowed by it but never starved.
    pub exception_interval_ms: f64,
}

impl Default for GateSettings {
    fn default() -> Self {
        Self {
            max_harmed_streams: 1.0,
            harmed_per_rank: 0.1,
            late_factor: 1.0,
            late_per_rank: 0.03,
            exception_interval_ms: 2_000.0,
        }
    }
}

/// Time that a call has left.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TimeLeft {
    /// Time until its first token is late, in milliseconds.
    pub in_time_ms: f64,
    /// Time until the first token of a call of its own or a lower rank would be late, if that had arrived with it. A call
    /// is not refused for a delay with which lower ranks still enter.
    pub lower_ranks_ms: f64,
    /// Whether it may wait for room.
    pub may_wait: bool,
}

impl TimeLeft {
    /// Returns the time that is left after a wait. `lower_ranks` is the longest objective of the same and lower ranks, see
    /// [`lower_ranks_latency`].
    #[must_use]
    pub fn after(waited: Duration, objective: Duration, lower_ranks: Duration) -> Self {
        let left_ms = |latency: Duration| latency.saturating_sub(waited).as_secs_f64() * 1_000.0;
        Self {
            in_time_ms: left_ms(objective),
            lower_ranks_ms: left_ms(lower_ranks),
            may_wait: waited < objective * ROOM_SHARE.0 / ROOM_SHARE.1,
        }
    }
}

/// What a call that was given a choice may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Room {
    /// It may be sent to the server.
    Enter,
    /// It should ask again soon.
    Wait,
    /// It should be refused; its caller may come back.
    Refuse,
}

/// Lets long prompts in as far as running streams allow it.
#[derive(Debug, Default)]
pub struct RoomGate {
    settings: GateSettings,
    last_exception: Option<Duration>,
}

impl RoomGate {
    /// Creates a gate with the given limits.
    #[must_use]
    pub fn new(settings: GateSettings) -> Self {
        Self {
            settings,
            last_exception: None,
        }
    }

    /// Decides about a call of the given rank; 0 is the highest.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::dispatch::{Choice, Room, RoomGate, TimeLeft};
    ///
    /// let choice = Choice { is_long: true, harmed_streams: 8.0, ..Choice::default() };
    /// let mut gate = RoomGate::default();
    /// let now = Duration::from_secs(9);
    /// let early = TimeLeft { in_time_ms: 500.0, lower_ranks_ms: 500.0, may_wait: true };
    /// let late = TimeLeft { may_wait: false, ..early };
    /// assert_eq!(gate.decide(now, &choice, 0, early), Room::Wait);
    /// assert_eq!(gate.decide(now, &choice, 0, late), Room::Enter);
    /// assert_eq!(gate.decide(now, &choice, 0, late), Room::Refuse);
    /// ```
    pub fn decide(&mut self, now: Duration, choice: &Choice, rank: Rank, left: TimeLeft) -> Room {
        let rank = f64::from(rank);
        let settings = &self.settings;
        let allowed = (settings.max_harmed_streams - settings.harmed_per_rank * rank).max(0.0);
        let late_factor = settings.late_factor - settings.late_per_rank * rank;
        // Prompts of lower ranks make a call late at most, they do not keep it out.
        let has_room = |left_ms: f64| {
            let is_soon = choice.ranked_first_token_ms <= left_ms * late_factor;
            choice.harmed_streams <= allowed && is_soon
        };
        if !choice.is_long || has_room(left.in_time_ms) {
            return Room::Enter;
        }
        if left.may_wait {
            return Room::Wait;
        }
        if has_room(left.lower_ranks_ms) {
            return Room::Enter;
        }
        let since_exception = self.last_exception.map(|at| now.saturating_sub(at));
        let interval = Duration::from_secs_f64(settings.exception_interval_ms / 1_000.0);
        if since_exception.is_some_and(|since| since < interval) {
            return Room::Refuse;
        }
        self.last_exception = Some(now);
        Room::Enter
    }
}

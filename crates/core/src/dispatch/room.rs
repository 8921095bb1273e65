//! Whether a long prompt may start, waits, or is refused.

use std::time::Duration;

use super::Choice;

/// Streams that a long prompt of the highest rank may make late; a bet that the estimate is too careful.
const MAX_HARMED_STREAMS: f64 = 1.0;
/// Streams that a call of the next lower rank may make late less, so that higher ranks enter first.
const HARMED_PER_RANK: f64 = 0.1;
/// Estimated time to the first token with which a call still enters, as a multiple of the time that it has left. A call
/// that would be late takes the server from those that would not.
const LATE_FACTOR: f64 = 1.2;
/// What a call of the next lower rank gets less of that multiple.
const LATE_PER_RANK: f64 = 0.05;
/// Interval at which one call enters although it makes streams late. Where every server is full of streams, long
/// prompts are slowed by it but never starved.
const EXCEPTION_INTERVAL: Duration = Duration::from_secs(2);

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
    last_exception: Option<Duration>,
}

impl RoomGate {
    /// Decides about a call of the given rank; 0 is the highest. `first_token_left_ms` is the time until its first token
    /// would be late, and `may_wait` tells whether the call has time left to wait for room.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::dispatch::{Choice, Room, RoomGate};
    ///
    /// let choice = Choice { is_long: true, harmed_streams: 8.0, ..Choice::default() };
    /// let mut gate = RoomGate::default();
    /// let now = Duration::from_secs(9);
    /// assert_eq!(gate.decide(now, &choice, 0, 500.0, true), Room::Wait);
    /// assert_eq!(gate.decide(now, &choice, 0, 500.0, false), Room::Enter);
    /// assert_eq!(gate.decide(now, &choice, 0, 500.0, false), Room::Refuse);
    /// ```
    pub fn decide(
        &mut self,
        now: Duration,
        choice: &Choice,
        rank: u8,
        first_token_left_ms: f64,
        may_wait: bool,
    ) -> Room {
        let rank = f64::from(rank);
        let allowed = (MAX_HARMED_STREAMS - HARMED_PER_RANK * rank).max(0.0);
        let in_time_ms = first_token_left_ms * (LATE_FACTOR - LATE_PER_RANK * rank);
        let has_room = choice.harmed_streams <= allowed && choice.first_token_ms <= in_time_ms;
        if !choice.is_long || has_room {
            return Room::Enter;
        }
        if may_wait {
            return Room::Wait;
        }
        let since_exception = self.last_exception.map(|at| now.saturating_sub(at));
        if since_exception.is_some_and(|since| since < EXCEPTION_INTERVAL) {
            return Room::Refuse;
        }
        self.last_exception = Some(now);
        Room::Enter
    }
}

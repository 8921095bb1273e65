//! Whether a long prompt may start, waits, or is refused.

use std::time::Duration;

use super::Choice;

/// Streams that a long prompt of the highest rank may make late; a bet that the estimate is too careful.
const MAX_HARMED_STREAMS: f64 = 1.0;
/// Streams that a call of the next lower rank may make late less, so that higher ranks enter first.
const HARMED_PER_RANK: f64 = 0.1;
/// Interval at which one call enters although it makes streams late. Where every server is full of streams, long
/// prompts are slowed by it but never starved.
const EXCEPTION_INTERVAL: Duration = Duration::from_secs(1);

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
    /// Decides about a call of the given rank; 0 is the highest. `may_wait` tells whether the call has time left to wait
    /// for room.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::dispatch::{Choice, Room, RoomGate};
    ///
    /// let choice = Choice { harmed_streams: 8.0, ..Choice::default() };
    /// let mut gate = RoomGate::default();
    /// let now = Duration::from_secs(9);
    /// assert_eq!(gate.decide(now, &choice, 0, true), Room::Wait);
    /// assert_eq!(gate.decide(now, &choice, 0, false), Room::Enter);
    /// assert_eq!(gate.decide(now, &choice, 0, false), Room::Refuse);
    /// ```
    pub fn decide(&mut self, now: Duration, choice: &Choice, rank: u8, may_wait: bool) -> Room {
        let allowed = MAX_HARMED_STREAMS - HARMED_PER_RANK * f64::from(rank);
        if choice.harmed_streams <= allowed.max(0.0) {
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

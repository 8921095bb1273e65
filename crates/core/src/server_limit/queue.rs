//! Calls of one entry that wait for a permit of any server of a pool.

use std::collections::BTreeSet;
use std::time::Duration;

use super::RequestRate;
use crate::dispatch::Rank;

/// A call may wait for this part of its remaining time. The rest leaves its caller time for a retry.
const MAX_WAIT_DIVISOR: u32 = 3;
/// Of this many calls, one is of the lowest rank that waits, so that no rank is starved.
const CALLS_PER_EXCEPTION: u64 = 30;
/// Limits of the advised delay before a retry.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(10));

/// Place of a waiting call: its rank and the order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    rank: Rank,
    number: u64,
}

/// Waiting calls by rank, and by arrival within a rank.
///
/// # Examples
///
/// ```
/// use tanagerford_core::server_limit::PermitQueue;
///
/// let mut queue = PermitQueue::default();
/// let place = queue.join(2);
/// assert!(queue.may_try(2, Some(place)));
/// // Of the calls that arrive now, only those of a higher rank may pass.
/// assert!(queue.may_try(1, None));
/// assert!(!queue.may_try(2, None));
/// ```
#[derive(Debug, Default)]
pub struct PermitQueue {
    places: BTreeSet<Place>,
    next_number: u64,
    /// Calls that left the queue with a permit.
    served: u64,
}

impl PermitQueue {
    /// Adds a call.
    pub fn join(&mut self, rank: Rank) -> Place {
        let number = self.next_number;
        self.next_number += 1;
        let place = Place { rank, number };
        self.places.insert(place);
        place
    }

    /// Removes a call; `is_served` tells whether it got a permit.
    pub fn leave(&mut self, place: Place, is_served: bool) {
        self.places.remove(&place);
        self.served += u64::from(is_served);
    }

    /// Returns the number of waiting calls.
    #[must_use]
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether no call waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns whether a call is the next one to use a permit. `place` is `None` if the call does not wait yet.
    #[must_use]
    pub fn may_try(&self, rank: Rank, place: Option<Place>) -> bool {
        let Some(first) = self.first() else {
            return true;
        };
        place.map_or(rank < first.rank, |place| place == first)
    }

    /// Returns the number of calls before a place.
    #[must_use]
    pub fn ahead(&self, place: Place) -> usize {
        self.places.range(..place).count()
    }

    /// Returns the rank with which a call uses permits: the highest one if it is the exception that serves the lowest rank.
    #[must_use]
    pub fn permit_rank(&self, rank: Rank) -> Rank {
        if self.is_exception() { 0 } else { rank }
    }

    fn first(&self) -> Option<Place> {
        if !self.is_exception() {
            return self.places.first().copied();
        }
        let lowest = self.places.last()?.rank;
        let from = Place {
            rank: lowest,
            number: 0,
        };
        self.places.range(from..).next().copied()
    }

    fn is_exception(&self) -> bool {
        self.served % CALLS_PER_EXCEPTION == CALLS_PER_EXCEPTION - 1 && !self.places.is_empty()
    }
}

/// Returns how long a call may wait for a permit.
#[must_use]
pub fn max_wait(remaining: Duration) -> Duration {
    remaining / MAX_WAIT_DIVISOR
}

/// Returns the time after which the limits of a pool have room for one more call, if `entries` entries have as many waiting
/// calls as this one. `rate` is the sum of the limits, infinite if a server has none.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tanagerford_core::server_limit::room_after;
///
/// assert_eq!(room_after(3, 4, 8.0), Duration::from_secs(2));
/// assert_eq!(room_after(3, 4, f64::INFINITY), Duration::ZERO);
/// ```
#[must_use]
pub fn room_after(waiting_calls: usize, entries: usize, rate: RequestRate) -> Duration {
    let count = |number: usize| f64::from(u32::try_from(number).unwrap_or(u32::MAX));
    let wait_s = count(waiting_calls + 1) * count(entries.max(1)) / rate;
    Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX)
}

/// Returns the delay to advise for a retry when the limits have room after `room_after`.
#[must_use]
pub fn retry_after(room_after: Duration) -> Duration {
    let (shortest, longest) = RETRY_AFTER_RANGE;
    room_after.clamp(shortest, longest)
}

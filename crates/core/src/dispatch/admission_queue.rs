//! Calls that wait at an entry until its processor has time for them.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::{Rank, ShedReason};

/// Number of a waiting call, unique within its queue.
pub type WaiterNumber = u64;

/// Call that waits for admission.
#[derive(Debug, Clone, Copy)]
pub(super) struct Waiter {
    pub(super) number: WaiterNumber,
    pub(super) rank: Rank,
    pub(super) objective: Duration,
    /// Time until which the call may wait.
    pub(super) until: Duration,
    /// What the entry lacked when the call began to wait.
    pub(super) reason: ShedReason,
}

/// Waiting calls by rank. Within a rank the newest call is first: under a lasting shortage it can still meet its latency
/// objective, whereas in order of arrival all calls would be late. See Maurer: Fail at Scale (ACM Queue, 2015), on adaptive
/// LIFO.
#[derive(Debug, Default)]
pub(super) struct AdmissionQueue {
    /// Oldest call of each rank first; no rank is empty.
    ranks: BTreeMap<Rank, VecDeque<Waiter>>,
    length: usize,
    next_number: WaiterNumber,
}

impl AdmissionQueue {
    pub(super) fn len(&self) -> usize {
        self.length
    }

    /// Returns the number of the next waiting call.
    pub(super) fn next_number(&mut self) -> WaiterNumber {
        self.next_number += 1;
        self.next_number
    }

    pub(super) fn push(&mut self, waiter: Waiter) {
        self.ranks.entry(waiter.rank).or_default().push_back(waiter);
        self.length += 1;
    }

    /// Returns the call to admit first: the newest of the highest rank.
    pub(super) fn first(&self) -> Option<Waiter> {
        let (_, waiters) = self.ranks.first_key_value()?;
        waiters.back().copied()
    }

    /// Removes the call to refuse first: the oldest of the lowest rank.
    pub(super) fn pop_last(&mut self) -> Option<Waiter> {
        let (_, waiters) = self.ranks.last_key_value()?;
        let number = waiters.front()?.number;
        self.remove(number)
    }

    /// Removes the calls that may not wait any longer.
    pub(super) fn take_expired(&mut self, now: Duration) -> Vec<Waiter> {
        let waiters = self.ranks.values().flatten();
        let expired: Vec<Waiter> = waiters
            .filter(|waiter| waiter.until <= now)
            .copied()
            .collect();
        for waiter in &expired {
            self.remove(waiter.number);
        }
        expired
    }

    pub(super) fn remove(&mut self, number: WaiterNumber) -> Option<Waiter> {
        let (rank, waiters) = self
            .ranks
            .iter_mut()
            .find(|(_, waiters)| waiters.iter().any(|waiter| waiter.number == number))?;
        let rank = *rank;
        let position = waiters.iter().position(|waiter| waiter.number == number)?;
        let removed = waiters.remove(position);
        if waiters.is_empty() {
            self.ranks.remove(&rank);
        }
        self.length -= usize::from(removed.is_some());
        removed
    }
}

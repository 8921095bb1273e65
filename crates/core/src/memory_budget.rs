//! Budget for the bytes that a process holds for others.
//!
//! Bytes are taken before they are read and given back when nothing refers to them. Who finds no room waits in order of rank
//! and arrival. Small amounts do not wait behind large ones, and an eighth of the budget is theirs alone.

use std::collections::BTreeSet;

use crate::dispatch::Rank;

/// Largest amount that counts as small, in bytes. Most requests and single events are below it.
pub const SMALL_BYTES: usize = 64 * 1024;
/// Share of the capacity that only small amounts may use, as a divisor.
const SMALL_SHARE_DIVISOR: usize = 8;
/// Most waiters, which bounds the time that a release takes.
const MAX_WAITING: usize = 512;
/// Bytes of a waiter that the kernel holds for a connection which is not read; they count as memory of the process.
const UNREAD_BYTES: usize = 128 * 1024;
/// Memory that a process needs for itself: code, configuration and the kernel's view of its threads.
const OWN_BYTES: usize = 24 * 1024 * 1024;
/// Share of the memory that is left to connections, their buffers and the allocator's losses, as a divisor.
const OVERHEAD_DIVISOR: usize = 4;

/// Place in the order of those that wait: rank, then arrival.
pub type Place = (Rank, u64);

/// Budget of one process.
///
/// # Examples
///
/// ```
/// use tanagerford_core::memory_budget::MemoryBudget;
///
/// let mut budget = MemoryBudget::new(1_000_000);
/// assert!(budget.try_take(800_000, None));
/// assert!(!budget.try_take(200_000, None));
/// assert!(budget.try_take(60_000, None));
/// budget.give_back(800_000);
/// assert_eq!(budget.used_bytes(), 60_000);
/// ```
#[derive(Debug)]
pub struct MemoryBudget {
    capacity_bytes: usize,
    used_bytes: usize,
    /// Those that wait for a large amount.
    waiting: BTreeSet<Place>,
    max_waiting: usize,
    next_arrival: u64,
}

impl MemoryBudget {
    /// Creates a budget of which nothing is taken.
    #[must_use]
    pub fn new(capacity_bytes: usize) -> Self {
        Self {
            capacity_bytes,
            used_bytes: 0,
            waiting: BTreeSet::new(),
            max_waiting: MAX_WAITING,
            next_arrival: 0,
        }
    }

    /// Creates the budget of a process that may use `memory_bytes` in all.
    ///
    /// # Examples
    ///
    /// ```
    /// use tanagerford_core::memory_budget::MemoryBudget;
    ///
    /// let budget = MemoryBudget::of_process(112 * 1024 * 1024);
    /// assert_eq!(budget.capacity_bytes(), 60 * 1024 * 1024);
    /// ```
    #[must_use]
    pub fn of_process(memory_bytes: usize) -> Self {
        let connections = memory_bytes / OVERHEAD_DIVISOR;
        let capacity_bytes = memory_bytes.saturating_sub(connections + OWN_BYTES);
        // Half of the memory of connections is left to those that are read.
        let max_waiting = connections / 2 / UNREAD_BYTES;
        Self {
            max_waiting: max_waiting.clamp(1, MAX_WAITING),
            ..Self::new(capacity_bytes)
        }
    }

    /// Returns the size of the budget in bytes.
    #[must_use]
    pub fn capacity_bytes(&self) -> usize {
        self.capacity_bytes
    }

    /// Returns the bytes that are taken.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Returns the number of those that wait.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether an amount can ever be taken.
    #[must_use]
    pub fn can_hold(&self, bytes: usize) -> bool {
        bytes <= self.limit(bytes)
    }

    fn limit(&self, bytes: usize) -> usize {
        if bytes <= SMALL_BYTES {
            self.capacity_bytes
        } else {
            self.capacity_bytes - self.capacity_bytes / SMALL_SHARE_DIVISOR
        }
    }

    /// Takes an amount if there is room and nobody with a better place waits; `place` is that of the taker, if it waits.
    #[must_use]
    pub fn try_take(&mut self, bytes: usize, place: Option<Place>) -> bool {
        if bytes > SMALL_BYTES {
            let first = self.waiting.first().copied();
            if first.is_some() && first != place {
                return false;
            }
        }
        let used = self.used_bytes.saturating_add(bytes);
        if used > self.limit(bytes) {
            return false;
        }
        self.used_bytes = used;
        true
    }

    /// Gives back an amount that was taken.
    pub fn give_back(&mut self, bytes: usize) {
        self.used_bytes = self.used_bytes.saturating_sub(bytes);
    }

    /// Returns a place in the order of those that wait. If too many wait, the last one in that order loses its place, which
    /// may be the new one.
    pub fn join(&mut self, rank: Rank) -> Place {
        let place = (rank, self.next_arrival);
        self.next_arrival += 1;
        self.waiting.insert(place);
        if self.waiting.len() > self.max_waiting {
            self.waiting.pop_last();
        }
        place
    }

    /// Returns whether a place is still held.
    #[must_use]
    pub fn is_waiting(&self, place: Place) -> bool {
        self.waiting.contains(&place)
    }

    /// Gives up a place.
    pub fn leave(&mut self, place: Place) {
        self.waiting.remove(&place);
    }
}

//! Retry budget of a pool.
//!
//! The limit applies to the repeats of all entries together, in every window. An entry does not observe the repeats of the
//! others, and a process does not know what its predecessor sent. Therefore each process keeps a limit of its own, and these
//! limits add up to the limit of the fleet over any set of processes, whenever they start or end. See [`RetryBudget`].

use std::collections::VecDeque;
use std::time::Duration;

/// Largest number of servers that one call is sent to, including those that refuse it.
pub const MAX_ATTEMPTS_PER_CALL: usize = 4;

/// Limits on the repeats of the whole fleet: in every window, `ratio` times the requests plus `extra`. The requests are those
/// of the window, of the window before or of the one half a window before, whichever has most.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetLimits {
    /// Repeats per request.
    pub ratio: f64,
    /// Repeats in addition to the ratio, for all entries together.
    pub extra: f64,
    /// Length of the sliding window in which requests and repeats are counted.
    pub window: Duration,
}

/// Number of time slots of half a window. Requests and repeats are counted by slot.
const SLOTS_PER_HALF_WINDOW: u64 = 50;
const SLOTS_PER_WINDOW: u64 = 2 * SLOTS_PER_HALF_WINDOW;
/// Slots that are kept: those of all windows that end now, and of the windows before them.
const KEPT_SLOTS: u64 = 2 * SLOTS_PER_WINDOW + 1;

/// Share of `extra` that is divided among the registered entries. The rest covers entries that others do not know yet, and
/// the time between the moments at which an entry and the fleet's observers count the same request or repeat.
const DIVIDED_SHARE: f64 = 0.5;

impl BudgetLimits {
    /// Returns the part of the constant that each of `registered` entries may use in a window; none if the number is not
    /// known (0).
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::dispatch::BudgetLimits;
    ///
    /// let limits = BudgetLimits { ratio: 0.2, extra: 108.0, window: Duration::from_secs(10) };
    /// assert_eq!(limits.extra_per_entry(9), 6.0);
    /// assert_eq!(limits.extra_per_entry(0), 0.0);
    /// ```
    #[must_use]
    pub fn extra_per_entry(&self, registered: usize) -> f64 {
        if registered == 0 {
            return 0.0;
        }
        let registered = u32::try_from(registered).unwrap_or(u32::MAX);
        self.extra * DIVIDED_SHARE / f64::from(registered)
    }
}

/// What an entry knows of the entries that share the constant.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EntryShare {
    /// Number of registered entries, including this one; 0 before this one is registered.
    pub registered: usize,
    /// Whether no process ran on this VM before, so that nothing of its part is used.
    pub is_first_process: bool,
}

/// What a repeat was taken from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TakenRetry {
    /// The share of the requests, at this time.
    Earned(Duration),
    /// The part of the constant.
    Extra,
}

/// Part of the constant that a process may use, as a bucket that fills with time.
///
/// A full bucket and what flows in during a window are together the part of one entry. The bucket of the first process of
/// a VM is full at the start, that of a later one empty. Processes of one VM do not overlap, so they use no more than one
/// part together, however often they start.
#[derive(Debug, Default)]
struct ExtraBucket {
    tokens: f64,
    filled_at: Option<Duration>,
    /// Whether the part of this process was known before.
    is_open: bool,
}

impl ExtraBucket {
    /// Adds what has flowed in up to `now`.
    fn fill(&mut self, now: Duration, share: EntryShare, limits: &BudgetLimits) {
        let part = limits.extra_per_entry(share.registered);
        let window = limits.window;
        // A bucket below one repeat would never allow any.
        let capacity = (part / 2.0).max(part.min(1.0));
        let rate_per_s = (part - capacity) / window.as_secs_f64();
        if share.registered > 0 && !self.is_open {
            self.is_open = true;
            self.tokens = if share.is_first_process {
                capacity
            } else {
                0.0
            };
        }
        let since = *self.filled_at.get_or_insert(now);
        let elapsed_s = now.saturating_sub(since).as_secs_f64();
        self.filled_at = Some(now.max(since));
        self.tokens = (self.tokens + rate_per_s * elapsed_s).min(capacity);
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Slot {
    requests: u32,
    repeats: u32,
}

/// Requests and repeats of one pool that a process has sent.
///
/// A repeat is allowed if afterwards, in every window that contains it, the repeats of this process are at most `ratio` times
/// the mean of its requests in three windows: the same one, the one half a window before and the one before. Means add
/// up: over all processes, whenever they start or end, the repeats in a window are at most `ratio` times the mean of the
/// fleet's requests in these windows, which is not above the largest of the three. A process that has just started may
/// repeat a third of the ratio at once, since its requests are in one of the windows.
///
/// Beyond that, each process has a part of the constant, which matters where requests are few.
#[derive(Debug, Default)]
pub struct RetryBudget {
    extra: ExtraBucket,
    /// Counts of consecutive slots, of which the last one is `newest`.
    slots: VecDeque<Slot>,
    newest: u64,
}

impl RetryBudget {
    /// Records the first attempt of a request.
    pub fn on_request(&mut self, now: Duration, limits: &BudgetLimits) {
        self.advance(now, limits);
        self.extra.filled_at.get_or_insert(now);
        if let Some(slot) = self.slots.back_mut() {
            slot.requests += 1;
        }
    }

    /// Returns whether a repeat may be sent now.
    pub fn may_retry(&mut self, now: Duration, limits: &BudgetLimits, share: EntryShare) -> bool {
        self.extra.fill(now, share, limits);
        self.has_earned(now, limits) || self.extra.tokens >= 1.0
    }

    /// Returns whether one more repeat keeps to the share of this process's requests in all windows that contain it.
    fn has_earned(&mut self, now: Duration, limits: &BudgetLimits) -> bool {
        self.advance(now, limits);
        // Sums of the slots before each one; slots before the first one are empty.
        let mut requests_before = vec![0];
        let mut repeats_before = vec![0];
        for slot in &self.slots {
            requests_before.push(requests_before.last().unwrap_or(&0) + slot.requests);
            repeats_before.push(repeats_before.last().unwrap_or(&0) + slot.repeats);
        }
        let len = u64::try_from(self.slots.len()).unwrap_or(u64::MAX);
        // Slots are numbered so that the newest one is `KEPT_SLOTS`, the end of all windows that contain now.
        let first = KEPT_SLOTS - len;
        let index = |slot: u64| usize::try_from(slot.clamp(first, KEPT_SLOTS) - first).unwrap_or(0);
        // Sums of the slots from `start` to before `end`.
        let sum = |before: &[u32], start: u64, end: u64| {
            before[index(end)].saturating_sub(before[index(start)])
        };
        let windows_with_now = KEPT_SLOTS - SLOTS_PER_WINDOW - 1..KEPT_SLOTS;
        windows_with_now.into_iter().all(|start| {
            let repeats = sum(&repeats_before, start, KEPT_SLOTS) + 1;
            // Slots that are in these windows for any time in the slot `start`. All windows end after now.
            let same = sum(&requests_before, start + 1, KEPT_SLOTS);
            let earlier = [SLOTS_PER_HALF_WINDOW, SLOTS_PER_WINDOW].map(|earlier| {
                let begin = (start + 1).saturating_sub(earlier);
                let end = start + SLOTS_PER_WINDOW - earlier;
                sum(&requests_before, begin, end)
            });
            let requests = same + earlier.iter().sum::<u32>();
            f64::from(repeats) <= limits.ratio * f64::from(requests) / 3.0
        })
    }

    /// Takes one repeat from the budget; returns `None` if it must not be sent. Call this when the repeat is sent, not when it
    /// is considered: the limit counts the repeats that arrive in a window.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::dispatch::{BudgetLimits, EntryShare, RetryBudget};
    ///
    /// let limits = BudgetLimits { ratio: 0.2, extra: 10.0, window: Duration::from_secs(10) };
    /// let mut budget = RetryBudget::default();
    /// let request_at = |number: u64| Duration::from_millis(10 * number);
    /// (0..3_000).for_each(|number| budget.on_request(request_at(number), &limits));
    /// let now = Duration::from_secs(30);
    /// let granted = (0..300).filter_map(|_| budget.try_retry(now, &limits, EntryShare::default())).count();
    /// // Half of the limit of 200 at once, the rest as the window moves on.
    /// assert!((95..=100).contains(&granted), "{granted}");
    /// ```
    pub fn try_retry(
        &mut self,
        now: Duration,
        limits: &BudgetLimits,
        share: EntryShare,
    ) -> Option<TakenRetry> {
        if !self.may_retry(now, limits, share) {
            return None;
        }
        if !self.has_earned(now, limits) {
            self.extra.tokens -= 1.0;
            return Some(TakenRetry::Extra);
        }
        if let Some(slot) = self.slots.back_mut() {
            slot.repeats += 1;
        }
        Some(TakenRetry::Earned(now))
    }

    /// Returns a repeat to the budget, since it did not reach a server.
    pub fn return_retry(&mut self, taken: TakenRetry, limits: &BudgetLimits) {
        let taken_at = match taken {
            TakenRetry::Earned(taken_at) => taken_at,
            TakenRetry::Extra => {
                // The next fill limits the bucket to its capacity.
                self.extra.tokens += 1.0;
                return;
            }
        };
        let age = self.newest.saturating_sub(slot_number(taken_at, limits));
        let from_end = usize::try_from(age).unwrap_or(usize::MAX);
        let index = self.slots.len().checked_sub(from_end.saturating_add(1));
        if let Some(slot) = index.and_then(|index| self.slots.get_mut(index)) {
            slot.repeats = slot.repeats.saturating_sub(1);
        }
    }

    /// Appends the slots up to the one of `now` and removes those that are in no window any more. A time before the newest
    /// slot counts as that slot.
    fn advance(&mut self, now: Duration, limits: &BudgetLimits) {
        let number = slot_number(now, limits).max(self.newest);
        if self.slots.is_empty() {
            self.newest = number;
        }
        let new_slots = if self.slots.is_empty() {
            1
        } else {
            (number - self.newest).min(KEPT_SLOTS)
        };
        self.newest = number;
        for _ in 0..new_slots {
            self.slots.push_back(Slot::default());
        }
        while u64::try_from(self.slots.len()).is_ok_and(|len| len > KEPT_SLOTS) {
            self.slots.pop_front();
        }
    }
}

fn slot_number(at: Duration, limits: &BudgetLimits) -> u64 {
    let slot_nanos = (limits.window.as_nanos() / u128::from(SLOTS_PER_WINDOW)).max(1);
    u64::try_from(at.as_nanos() / slot_nanos).unwrap_or(u64::MAX)
}

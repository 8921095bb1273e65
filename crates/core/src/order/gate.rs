//! Order gate: the in-memory state of the orders that one incarnation of a sidecar handles.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{OrderKey, Settlement};

/// Limits of a [`Gate`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct GateLimits {
    /// Largest number of keys. At the limit new keys are refused instead of evicting old ones, because an evicted key
    /// could be reported as not run although it ran. Default: 500,000.
    pub max_keys: usize,
    /// Time for which a finished key is retained, equal to the retention of the claim pages. Default: 24 h.
    pub retention: Duration,
    /// Time for which a key stays refused after a query reported it as not run. Must exceed the longest delay of a
    /// submitted order on a lost link. Default: 15 min.
    pub refusal_retention: Duration,
}

impl Default for GateLimits {
    fn default() -> Self {
        Self {
            max_keys: 500_000,
            retention: Duration::from_hours(24),
            refusal_retention: Duration::from_mins(15),
        }
    }
}

/// State of a key in this incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    /// The claim is not yet written.
    Claiming,
    /// The request was cancelled while its claim was being written, so the order must not start.
    Withdrawn,
    /// The order may have been sent to the backend server.
    Running,
    /// The backend server responded to the order.
    Done,
    /// The order was sent but its response was lost. Only an operator can determine whether it ran.
    Lost,
    /// The order was definitely not sent and may be claimed again.
    Abandoned,
    /// A query reported the order as not run, so the order must not run here.
    Refused,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Entry {
    phase: Phase,
    /// Highest attempt that this gate started or refused to start.
    attempt: u32,
    changed_at: Duration,
}

/// Result of [`Gate::begin`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum BeginOutcome {
    /// The order may be claimed.
    Claim,
    /// The order is being claimed or is running.
    Busy,
    /// The backend server responded to the order.
    Done,
    /// The order was sent but its response was lost.
    Lost,
    /// A query reported the order as not run less than [`GateLimits::refusal_retention`] ago.
    Refused,
    /// The gate holds [`GateLimits::max_keys`] keys.
    Full,
}

/// Result of [`Gate::query`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum GateAnswer {
    /// The order is being claimed or is running.
    InProgress,
    /// The backend server responded to the order.
    Done,
    /// The order was sent but its response was lost.
    Lost,
    /// This incarnation has not run the order and will not run it under any existing claim.
    NotRun,
}

/// State machine that starts each claim at most once, and blocks an order before it is reported as not run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Gate {
    entries: BTreeMap<OrderKey, Entry>,
}

impl Gate {
    /// Registers `key` for a claim, unless it is in progress, finished or refused.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::order::{BeginOutcome, Gate, GateAnswer, GateLimits, OrderKey};
    ///
    /// let (limits, now) = (GateLimits::default(), Duration::ZERO);
    /// let key = OrderKey::new("north", "burn-17");
    /// let mut gate = Gate::default();
    /// assert_eq!(gate.begin(&limits, now, &key), BeginOutcome::Claim);
    /// assert_eq!(gate.begin(&limits, now, &key), BeginOutcome::Busy);
    /// assert!(gate.start(now, &key, 1));
    /// gate.finish(now, &key);
    /// assert_eq!(gate.query(now, &key), GateAnswer::Done);
    /// ```
    pub fn begin(&mut self, limits: &GateLimits, now: Duration, key: &OrderKey) -> BeginOutcome {
        if let Some(entry) = self.entries.get_mut(key) {
            return match entry.phase {
                Phase::Claiming | Phase::Withdrawn | Phase::Running => BeginOutcome::Busy,
                Phase::Done => BeginOutcome::Done,
                Phase::Lost => BeginOutcome::Lost,
                Phase::Refused if now < entry.changed_at + limits.refusal_retention => {
                    BeginOutcome::Refused
                }
                Phase::Refused | Phase::Abandoned => {
                    entry.phase = Phase::Claiming;
                    entry.changed_at = now;
                    BeginOutcome::Claim
                }
            };
        }
        if self.entries.len() >= limits.max_keys {
            return BeginOutcome::Full;
        }
        let entry = Entry {
            phase: Phase::Claiming,
            attempt: 0,
            changed_at: now,
        };
        self.entries.insert(*key, entry);
        BeginOutcome::Claim
    }

    /// Starts `key` under the claim `attempt`, which must have been written. Returns true at most once for each attempt;
    /// if it returns false, the caller must release the claim.
    #[must_use]
    pub fn start(&mut self, now: Duration, key: &OrderKey, attempt: u32) -> bool {
        let Some(entry) = self.entries.get_mut(key) else {
            return false;
        };
        if attempt <= entry.attempt {
            return false;
        }
        entry.attempt = attempt;
        entry.changed_at = entry.changed_at.max(now);
        let can_start = entry.phase == Phase::Claiming;
        if can_start {
            entry.phase = Phase::Running;
        } else if entry.phase == Phase::Withdrawn {
            entry.phase = Phase::Abandoned;
        }
        can_start
    }

    /// Cancels a claim that is being written, so that it will not start.
    pub fn withdraw(&mut self, key: &OrderKey) {
        self.transition(key, Phase::Claiming, Phase::Withdrawn);
    }

    /// Records that the claim was not written. The key may be claimed again.
    pub fn claim_failed(&mut self, key: &OrderKey) {
        self.transition(key, Phase::Claiming, Phase::Abandoned);
        self.transition(key, Phase::Withdrawn, Phase::Abandoned);
    }

    /// Records that a started order was definitely not sent. Returns whether it was running.
    pub fn abandon(&mut self, key: &OrderKey) -> bool {
        self.transition(key, Phase::Running, Phase::Abandoned)
    }

    /// Records that the backend server responded to the order. Returns whether it was running.
    pub fn finish(&mut self, now: Duration, key: &OrderKey) -> bool {
        let was_running = self.transition(key, Phase::Running, Phase::Done);
        if let Some(entry) = self.entries.get_mut(key).filter(|_| was_running) {
            entry.changed_at = now;
        }
        was_running
    }

    /// Records that the order was sent but its response was lost. Returns whether it was running.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::order::{BeginOutcome, Gate, GateLimits, OrderKey};
    ///
    /// let (limits, now) = (GateLimits::default(), Duration::ZERO);
    /// let key = OrderKey::new("north", "burn-17");
    /// let mut gate = Gate::default();
    /// gate.begin(&limits, now, &key);
    /// assert!(gate.start(now, &key, 1) && gate.mark_answer_lost(&key));
    /// assert_eq!(gate.begin(&limits, now, &key), BeginOutcome::Lost);
    /// ```
    pub fn mark_answer_lost(&mut self, key: &OrderKey) -> bool {
        self.transition(key, Phase::Running, Phase::Lost)
    }

    /// Records the decision of an operator about an order whose response was lost.
    pub fn settle(&mut self, key: &OrderKey, settlement: Settlement) {
        let settled = match settlement {
            // Later queries must not report the order as not run.
            Settlement::Ran => Phase::Done,
            Settlement::NotRun => Phase::Abandoned,
        };
        self.transition(key, Phase::Lost, settled);
    }

    /// Returns whether the order was sent but its response was lost.
    #[must_use]
    pub fn is_lost(&self, key: &OrderKey) -> bool {
        self.entries
            .get(key)
            .is_some_and(|entry| entry.phase == Phase::Lost)
    }

    /// Returns the state of `key` for a query. If the order has not run, the key is refused from then on, so that a
    /// submitted order that arrives at this sidecar after the query cannot run.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::order::{BeginOutcome, Gate, GateAnswer, GateLimits, OrderKey};
    ///
    /// let (limits, now) = (GateLimits::default(), Duration::ZERO);
    /// let key = OrderKey::new("north", "burn-17");
    /// let mut gate = Gate::default();
    /// assert_eq!(gate.query(now, &key), GateAnswer::NotRun);
    /// assert_eq!(gate.begin(&limits, now, &key), BeginOutcome::Refused);
    /// ```
    pub fn query(&mut self, now: Duration, key: &OrderKey) -> GateAnswer {
        let refused = Entry {
            phase: Phase::Refused,
            attempt: 0,
            changed_at: now,
        };
        let entry = self.entries.entry(*key).or_insert(refused);
        match entry.phase {
            Phase::Claiming | Phase::Running => GateAnswer::InProgress,
            Phase::Done => GateAnswer::Done,
            Phase::Lost => GateAnswer::Lost,
            Phase::Withdrawn | Phase::Abandoned | Phase::Refused => {
                entry.phase = Phase::Refused;
                entry.changed_at = now;
                GateAnswer::NotRun
            }
        }
    }

    /// Returns the highest attempt of `key` that this gate started or refused to start, 0 if there was none, or `None`
    /// if the key is unknown.
    #[must_use]
    pub fn attempt(&self, key: &OrderKey) -> Option<u32> {
        self.entries.get(key).map(|entry| entry.attempt)
    }

    /// Returns whether the backend server responded to the order.
    #[must_use]
    pub fn is_done(&self, key: &OrderKey) -> bool {
        self.entries
            .get(key)
            .is_some_and(|entry| entry.phase == Phase::Done)
    }

    /// Returns whether the claim is not yet written and was not cancelled.
    #[must_use]
    pub fn is_claiming(&self, key: &OrderKey) -> bool {
        self.entries
            .get(key)
            .is_some_and(|entry| entry.phase == Phase::Claiming)
    }

    /// Returns whether the request was cancelled while its claim was being written.
    #[must_use]
    pub fn is_withdrawn(&self, key: &OrderKey) -> bool {
        self.entries
            .get(key)
            .is_some_and(|entry| entry.phase == Phase::Withdrawn)
    }

    /// Returns whether the order is being claimed or is running.
    #[must_use]
    pub fn is_busy(&self, key: &OrderKey) -> bool {
        let busy = [Phase::Claiming, Phase::Withdrawn, Phase::Running];
        self.entries
            .get(key)
            .is_some_and(|entry| busy.contains(&entry.phase))
    }

    /// Returns the number of orders that were started and are not yet finished.
    #[must_use]
    pub fn running(&self) -> usize {
        self.entries
            .values()
            .filter(|entry| entry.phase == Phase::Running)
            .count()
    }

    /// Removes keys past their retention. Keys in progress and keys with lost responses are retained.
    pub fn prune(&mut self, limits: &GateLimits, now: Duration) {
        self.entries.retain(|_, entry| {
            let retention = match entry.phase {
                Phase::Claiming | Phase::Withdrawn | Phase::Running | Phase::Lost => return true,
                Phase::Done | Phase::Abandoned => limits.retention,
                Phase::Refused => limits.refusal_retention,
            };
            now < entry.changed_at + retention
        });
    }

    fn transition(&mut self, key: &OrderKey, from: Phase, to: Phase) -> bool {
        match self.entries.get_mut(key) {
            Some(entry) if entry.phase == from => {
                entry.phase = to;
                true
            }
            _ => false,
        }
    }
}

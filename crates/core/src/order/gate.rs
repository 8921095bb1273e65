//! Order gate of a sidecar.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{OrderKey, Settlement};

/// Limits of a gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct GateLimits {
    /// Largest count of keys. At the limit new keys are refused, because a key that is forgotten early could be
    /// reported as not run although it ran.
    pub max_keys: usize,
    /// Time for which a finished key is remembered; the retention of the claim pages.
    pub retention: Duration,
    /// Time for which a refusal given to a query stands. Must exceed the longest time for which a submitted order can
    /// be delayed on a link that was lost.
    pub refusal_hold: Duration,
}

impl Default for GateLimits {
    fn default() -> Self {
        Self {
            max_keys: 500_000,
            retention: Duration::from_hours(24),
            refusal_hold: Duration::from_mins(15),
        }
    }
}

/// What happened to a key in this incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    /// The claim waits for its write.
    Claiming,
    /// The request was given up while its claim was being written; the claim must not start.
    Withdrawn,
    /// The order may have been sent to the backend server.
    Running,
    /// The order was answered.
    Done,
    /// The order was sent and its answer was lost; only an operator can tell whether it was run.
    Lost,
    /// The order was certainly not sent; it may be claimed again.
    Abandoned,
    /// Another process was told that the order was not run; it must not run here.
    Refused,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Entry {
    phase: Phase,
    /// Highest attempt that this gate started or refused to start.
    attempt: u32,
    changed_at: Duration,
}

/// Answer of [`Gate::begin`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Begin {
    /// The order may be claimed.
    Claim,
    /// The order is being claimed or runs.
    Busy,
    /// The order was answered.
    Done,
    /// The order was sent and its answer was lost.
    Lost,
    /// The order was reported as not run to a query and stays so here.
    Refused,
    /// The gate holds as many keys as it may.
    Full,
}

/// Answer to a query about a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum GateAnswer {
    /// The order is being claimed or runs.
    InProgress,
    /// The order was answered.
    Done,
    /// The order was sent and its answer was lost.
    Lost,
    /// This incarnation did not run the order and will not run it under any claim made so far.
    NotRun,
}

/// Runs each claim at most once and makes not-run true before it is said.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Gate {
    entries: BTreeMap<OrderKey, Entry>,
}

impl Gate {
    /// Asks to claim `key`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::order::{Begin, Gate, GateAnswer, GateLimits, OrderKey};
    ///
    /// let (limits, now) = (GateLimits::default(), Duration::ZERO);
    /// let key = OrderKey::new("north", "burn-17");
    /// let mut gate = Gate::default();
    /// assert_eq!(gate.begin(&limits, now, &key), Begin::Claim);
    /// assert_eq!(gate.begin(&limits, now, &key), Begin::Busy);
    /// assert!(gate.start(now, &key, 1));
    /// gate.finish(now, &key);
    /// assert_eq!(gate.query(now, &key), GateAnswer::Done);
    /// ```
    pub fn begin(&mut self, limits: &GateLimits, now: Duration, key: &OrderKey) -> Begin {
        if let Some(entry) = self.entries.get_mut(key) {
            return match entry.phase {
                Phase::Claiming | Phase::Withdrawn | Phase::Running => Begin::Busy,
                Phase::Done => Begin::Done,
                Phase::Lost => Begin::Lost,
                Phase::Refused if now < entry.changed_at + limits.refusal_hold => Begin::Refused,
                Phase::Refused | Phase::Abandoned => {
                    entry.phase = Phase::Claiming;
                    entry.changed_at = now;
                    Begin::Claim
                }
            };
        }
        if self.entries.len() >= limits.max_keys {
            return Begin::Full;
        }
        let entry = Entry {
            phase: Phase::Claiming,
            attempt: 0,
            changed_at: now,
        };
        self.entries.insert(*key, entry);
        Begin::Claim
    }

    /// Asks to run `key` under the claim `attempt`, which is known to be written. Returns true at most once for each
    /// attempt; after false the claim is to be released.
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
        let started = entry.phase == Phase::Claiming;
        if started {
            entry.phase = Phase::Running;
        } else if entry.phase == Phase::Withdrawn {
            entry.phase = Phase::Abandoned;
        }
        started
    }

    /// Gives up a claim whose write is under way. The claim will not start.
    pub fn withdraw(&mut self, key: &OrderKey) {
        self.change(key, Phase::Claiming, Phase::Withdrawn);
    }

    /// Notes that the claim was not written.
    pub fn claim_failed(&mut self, key: &OrderKey) {
        self.change(key, Phase::Claiming, Phase::Abandoned);
        self.change(key, Phase::Withdrawn, Phase::Abandoned);
    }

    /// Notes that the order, which was started, was certainly not sent. Returns whether it was running.
    pub fn abandon(&mut self, key: &OrderKey) -> bool {
        self.change(key, Phase::Running, Phase::Abandoned)
    }

    /// Notes that the order was answered. Returns whether it was running.
    pub fn finish(&mut self, now: Duration, key: &OrderKey) -> bool {
        let running = self.change(key, Phase::Running, Phase::Done);
        if let Some(entry) = self.entries.get_mut(key).filter(|_| running) {
            entry.changed_at = now;
        }
        running
    }

    /// Notes that the order was sent and that its answer was lost. Returns whether it was running.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::order::{Begin, Gate, GateLimits, OrderKey};
    ///
    /// let (limits, now) = (GateLimits::default(), Duration::ZERO);
    /// let key = OrderKey::new("north", "burn-17");
    /// let mut gate = Gate::default();
    /// gate.begin(&limits, now, &key);
    /// assert!(gate.start(now, &key, 1) && gate.lose(&key));
    /// assert_eq!(gate.begin(&limits, now, &key), Begin::Lost);
    /// ```
    pub fn lose(&mut self, key: &OrderKey) -> bool {
        self.change(key, Phase::Running, Phase::Lost)
    }

    /// Notes that an operator has settled an order whose answer was lost.
    pub fn settle(&mut self, key: &OrderKey, how: Settlement) {
        let settled = match how {
            // A query must not be answered with not-run any more.
            Settlement::Ran => Phase::Done,
            Settlement::NotRun => Phase::Abandoned,
        };
        self.change(key, Phase::Lost, settled);
    }

    /// Returns whether the order was sent and its answer was lost.
    #[must_use]
    pub fn is_lost(&self, key: &OrderKey) -> bool {
        self.entries
            .get(key)
            .is_some_and(|entry| entry.phase == Phase::Lost)
    }

    /// Answers a query about `key`. A key that did not run is refused before the answer is given, so that an order
    /// that is still on its way to this sidecar cannot run after the answer.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::order::{Begin, Gate, GateAnswer, GateLimits, OrderKey};
    ///
    /// let (limits, now) = (GateLimits::default(), Duration::ZERO);
    /// let key = OrderKey::new("north", "burn-17");
    /// let mut gate = Gate::default();
    /// assert_eq!(gate.query(now, &key), GateAnswer::NotRun);
    /// assert_eq!(gate.begin(&limits, now, &key), Begin::Refused);
    /// ```
    pub fn query(&mut self, now: Duration, key: &OrderKey) -> GateAnswer {
        let unseen = Entry {
            phase: Phase::Refused,
            attempt: 0,
            changed_at: now,
        };
        let entry = self.entries.entry(*key).or_insert(unseen);
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

    /// Returns the highest attempt of `key` that this gate started or refused to start.
    #[must_use]
    pub fn attempt(&self, key: &OrderKey) -> Option<u32> {
        self.entries.get(key).map(|entry| entry.attempt)
    }

    /// Returns whether the order was answered.
    #[must_use]
    pub fn is_done(&self, key: &OrderKey) -> bool {
        self.entries
            .get(key)
            .is_some_and(|entry| entry.phase == Phase::Done)
    }

    /// Returns whether the claim waits for its write and was not given up.
    #[must_use]
    pub fn is_claiming(&self, key: &OrderKey) -> bool {
        self.entries
            .get(key)
            .is_some_and(|entry| entry.phase == Phase::Claiming)
    }

    /// Returns whether the request was given up while its claim was being written.
    #[must_use]
    pub fn is_withdrawn(&self, key: &OrderKey) -> bool {
        self.entries
            .get(key)
            .is_some_and(|entry| entry.phase == Phase::Withdrawn)
    }

    /// Returns whether the order is being claimed or runs.
    #[must_use]
    pub fn is_busy(&self, key: &OrderKey) -> bool {
        let busy = [Phase::Claiming, Phase::Withdrawn, Phase::Running];
        self.entries
            .get(key)
            .is_some_and(|entry| busy.contains(&entry.phase))
    }

    /// Returns the count of orders that were started and not yet answered.
    #[must_use]
    pub fn running(&self) -> usize {
        self.entries
            .values()
            .filter(|entry| entry.phase == Phase::Running)
            .count()
    }

    /// Forgets keys whose time has passed. Keys in progress are kept.
    pub fn prune(&mut self, limits: &GateLimits, now: Duration) {
        self.entries.retain(|_, entry| {
            let kept_for = match entry.phase {
                Phase::Claiming | Phase::Withdrawn | Phase::Running | Phase::Lost => return true,
                Phase::Done | Phase::Abandoned => limits.retention,
                Phase::Refused => limits.refusal_hold,
            };
            now < entry.changed_at + kept_for
        });
    }

    fn change(&mut self, key: &OrderKey, from: Phase, to: Phase) -> bool {
        match self.entries.get_mut(key) {
            Some(entry) if entry.phase == from => {
                entry.phase = to;
                true
            }
            _ => false,
        }
    }
}

//! Queue of the waiting requests of one tier.
//!
//! Requests start earliest deadline first, where the deadline is the time by which a request has to start to meet its
//! first-token target. Deficit round robin over tokens keeps workspaces fair: only requests of workspaces with a
//! positive deficit are eligible. Requests that have missed their target start after all others. Whenever a request of
//! another class starts, a class with demand gains credit; once the credit covers the expected tokens of its first
//! request, that request starts out of order.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{AttemptId, ClassId, WorkspaceId};

/// Divisor of the credit of a class with demand: when a request of another class starts, the class gains that request's
/// expected tokens divided by this number.
const CLASS_CREDIT_DIVISOR: i64 = 20;

/// Upper bound of a class's credit, which exceeds the expected tokens of almost any request.
const MAX_CLASS_CREDIT_TOKENS: i64 = 16_384;

/// Upper bound of the utilisation used to predict start times, so that predictions stay finite.
const MAX_UTILISATION: f64 = 0.98;

/// Upper bound of a predicted wait, so that durations cannot overflow.
const MAX_PREDICTED_SECS: f64 = 86_400.0;

#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Waiting {
    pub id: AttemptId,
    pub workspace: WorkspaceId,
    pub class: ClassId,
    pub priority: u8,
    /// Latest start time that still meets the first-token target.
    pub on_time_until: Duration,
    /// Time at which the request is refused if it has not started.
    pub start_by: Duration,
    /// Expected number of tokens still to be generated; for an application call, its expected duration in milliseconds.
    pub tokens: u32,
    pub is_preempted: bool,
}

/// Rate at which a tier's queue is served.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ServiceRate {
    /// Batch slots that the tier can use.
    pub slots: u32,
    /// Seconds per generated token of one running request; 0.001 for application calls, whose tokens are milliseconds.
    pub secs_per_token: f64,
    /// Expected tokens until one of the running requests ends; 0 while a slot is free.
    pub residual_tokens: f64,
    /// Offered tokens per second divided by the tokens per second that the tier can serve.
    pub utilisation: f64,
}

impl ServiceRate {
    /// Returns the wait, in seconds, of a request with `tokens` queued ahead of it.
    fn wait_secs(&self, tokens: f64) -> f64 {
        let slots = f64::from(self.slots.max(1));
        ((self.residual_tokens + tokens) * self.secs_per_token / slots).min(MAX_PREDICTED_SECS)
    }

    /// Returns the wait, in seconds, of a request with `tokens` queued ahead of it when later arrivals overtake it.
    fn late_wait_secs(&self, tokens: f64) -> f64 {
        let idle_share = 1.0 - self.utilisation.clamp(0.0, MAX_UTILISATION);
        (self.wait_secs(tokens) / idle_share).min(MAX_PREDICTED_SECS)
    }
}

/// A waiting request whose predicted start is too late.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LateStart {
    pub id: AttemptId,
    pub priority: u8,
    /// Time by which the predicted start exceeds the request's limit.
    pub excess: Duration,
}

/// Position in the queue: deadline, then order of arrival.
type Position = (Duration, u64);

/// Deficit round robin state of a workspace.
#[derive(Debug)]
struct WorkspaceAccount {
    waiting: u32,
    deficit: i64,
}

#[derive(Debug, Default)]
struct ClassAccount {
    waiting: u32,
    /// Whether a request was enqueued since the class was last served. A request that was refused in the meantime
    /// counts.
    has_demand: bool,
    credit: i64,
}

#[derive(Debug, Default)]
pub(crate) struct TierQueue {
    positions: BTreeMap<AttemptId, Position>,
    waiting: BTreeMap<Position, Waiting>,
    workspaces: BTreeMap<WorkspaceId, WorkspaceAccount>,
    classes: BTreeMap<ClassId, ClassAccount>,
    next_sequence: u64,
}

impl TierQueue {
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn insert(&mut self, waiting: Waiting, quantum: u32) {
        // The engine caches state of a preempted request; resuming it first uses that state before eviction.
        let deadline = if waiting.is_preempted {
            Duration::ZERO
        } else {
            waiting.on_time_until
        };
        let position = (deadline, self.next_sequence);
        self.next_sequence += 1;
        self.positions.insert(waiting.id, position);
        let new_account = WorkspaceAccount {
            waiting: 0,
            deficit: i64::from(quantum),
        };
        let workspace = self
            .workspaces
            .entry(waiting.workspace.clone())
            .or_insert(new_account);
        workspace.waiting += 1;
        let class = self.classes.entry(waiting.class.clone()).or_default();
        class.waiting += 1;
        class.has_demand = true;
        self.waiting.insert(position, waiting);
    }

    pub fn remove(&mut self, id: AttemptId) -> Option<Waiting> {
        let position = self.positions.remove(&id)?;
        let waiting = self.waiting.remove(&position)?;
        if let Some(account) = self.workspaces.get_mut(&waiting.workspace) {
            account.waiting -= 1;
        }
        if let Some(account) = self.classes.get_mut(&waiting.class) {
            account.waiting -= 1;
        }
        Some(waiting)
    }

    pub fn ids(&self) -> Vec<AttemptId> {
        self.positions.keys().copied().collect()
    }

    pub fn newest(&self) -> Option<AttemptId> {
        let never_started = self
            .waiting
            .iter()
            .filter(|(_, waiting)| !waiting.is_preempted);
        never_started
            .max_by_key(|(position, _)| position.1)
            .map(|(_, waiting)| waiting.id)
    }

    pub fn into_waiting(self) -> impl Iterator<Item = Waiting> {
        self.waiting.into_values()
    }

    /// Returns the time in which the whole queue is started.
    pub fn drain_time(&self, rate: ServiceRate) -> Duration {
        let tokens: f64 = self
            .waiting
            .values()
            .map(|waiting| f64::from(waiting.tokens))
            .sum();
        Duration::from_secs_f64(rate.wait_secs(tokens))
    }

    /// Returns the earliest time at which a waiting request has to be refused.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.waiting.values().map(|waiting| waiting.start_by).min()
    }

    /// Removes and returns the requests whose `start_by` has passed.
    pub fn expire(&mut self, now: Duration) -> Vec<Waiting> {
        let expired: Vec<AttemptId> = self
            .waiting
            .values()
            .filter(|waiting| waiting.start_by <= now)
            .map(|waiting| waiting.id)
            .collect();
        expired
            .into_iter()
            .filter_map(|id| self.remove(id))
            .collect()
    }

    /// Removes and returns the request that starts next.
    pub fn pop(&mut self, now: Duration, quantum: u32) -> Option<Waiting> {
        let id = self
            .first_of_credited_class()
            .or_else(|| self.first_preempted())
            .or_else(|| self.earliest(quantum, |waiting| waiting.on_time_until >= now))
            .or_else(|| self.earliest(quantum, |_| true))?;
        let waiting = self.remove(id)?;
        self.charge(&waiting);
        if self.waiting.is_empty() {
            self.workspaces.clear();
        }
        Some(waiting)
    }

    /// Corrects a workspace's deficit by the difference between expected and actual tokens of an ended request.
    pub fn reconcile_tokens(&mut self, workspace: &str, expected: u32, actual: u32) {
        if let Some(account) = self.workspaces.get_mut(workspace) {
            account.deficit += i64::from(expected) - i64::from(actual);
        }
    }

    /// Returns the waiting requests, in service order, that are predicted to start too late.
    pub fn late_starts(&self, now: Duration, rate: ServiceRate, quantum: u32) -> Vec<LateStart> {
        let preempted = self.waiting.values().filter(|waiting| waiting.is_preempted);
        let on_time = self
            .never_started()
            .filter(|waiting| waiting.on_time_until >= now);
        let late = self
            .never_started()
            .filter(|waiting| waiting.on_time_until < now);
        let active = u32::try_from(self.workspaces.len()).unwrap_or(u32::MAX);
        let mut prediction = StartPrediction::new(now, rate, quantum, active);
        for waiting in preempted.chain(on_time).chain(late) {
            let has_credit = self
                .classes
                .get(&waiting.class)
                .is_some_and(|account| account.credit > 0);
            prediction.visit(waiting, has_credit);
        }
        prediction.late_starts
    }

    /// Returns the waiting request to refuse first in favour of a class with the given priority.
    pub fn least_important(&self, priority: u8) -> Option<AttemptId> {
        let (_, waiting) = self
            .waiting
            .iter()
            .filter(|(_, waiting)| !waiting.is_preempted && waiting.priority > priority)
            .max_by_key(|(position, waiting)| (waiting.priority, **position))?;
        Some(waiting.id)
    }

    fn never_started(&self) -> impl Iterator<Item = &Waiting> {
        self.waiting
            .values()
            .filter(|waiting| !waiting.is_preempted)
    }

    /// Returns the first request of the class with the largest credit, among classes whose credit covers that request's
    /// expected tokens.
    fn first_of_credited_class(&self) -> Option<AttemptId> {
        let credited = self
            .classes
            .iter()
            .filter(|(_, account)| account.waiting > 0 && account.credit > 0);
        credited
            .filter_map(|(class, account)| {
                let first = self
                    .waiting
                    .values()
                    .find(|waiting| waiting.class == *class)?;
                (account.credit >= i64::from(first.tokens)).then_some((account.credit, first.id))
            })
            .max()
            .map(|(_, id)| id)
    }

    fn first_preempted(&self) -> Option<AttemptId> {
        let (_, first) = self.waiting.first_key_value()?;
        first.is_preempted.then_some(first.id)
    }

    /// Returns the earliest request that passes `filter` among workspaces with a positive deficit. If no candidate has
    /// one, all deficits are replenished first.
    fn earliest(&mut self, quantum: u32, filter: impl Fn(&Waiting) -> bool) -> Option<AttemptId> {
        let quantum = i64::from(quantum.max(1));
        let mut best_deficit = None;
        for waiting in self.waiting.values().filter(|waiting| filter(waiting)) {
            let deficit = self
                .workspaces
                .get(&waiting.workspace)
                .map_or(0, |account| account.deficit);
            if deficit > 0 {
                return Some(waiting.id);
            }
            best_deficit = best_deficit.max(Some(deficit));
        }
        let rounds = (-best_deficit?).div_euclid(quantum) + 1;
        for account in self.workspaces.values_mut() {
            account.deficit = (account.deficit + rounds * quantum).min(quantum);
        }
        // A workspace without waiting requests is dropped once its deficit is back at the quantum, so the map stays
        // bounded.
        self.workspaces
            .retain(|_, account| account.waiting > 0 || account.deficit < quantum);
        let candidates = self.waiting.values().filter(|waiting| filter(waiting));
        candidates
            .filter(|waiting| {
                self.workspaces
                    .get(&waiting.workspace)
                    .is_some_and(|account| account.deficit > 0)
            })
            .map(|waiting| waiting.id)
            .next()
    }

    fn charge(&mut self, started: &Waiting) {
        let tokens = i64::from(started.tokens);
        if !started.is_preempted
            && let Some(account) = self.workspaces.get_mut(&started.workspace)
        {
            account.deficit -= tokens;
        }
        for (class, account) in &mut self.classes {
            if *class == started.class {
                account.credit = (account.credit - tokens).max(0);
                account.has_demand = account.waiting > 0;
            } else if account.has_demand {
                account.credit =
                    (account.credit + tokens / CLASS_CREDIT_DIVISOR).min(MAX_CLASS_CREDIT_TOKENS);
            }
        }
    }
}

/// Predicts start times in one pass over the queue in service order.
struct StartPrediction<'a> {
    now: Duration,
    rate: ServiceRate,
    quantum_tokens: f64,
    active_workspaces: f64,
    tokens_ahead: f64,
    workspace_tokens_ahead: BTreeMap<&'a str, f64>,
    late_starts: Vec<LateStart>,
}

impl<'a> StartPrediction<'a> {
    fn new(now: Duration, rate: ServiceRate, quantum_tokens: u32, active_workspaces: u32) -> Self {
        Self {
            now,
            rate,
            quantum_tokens: f64::from(quantum_tokens),
            active_workspaces: f64::from(active_workspaces),
            tokens_ahead: 0.0,
            workspace_tokens_ahead: BTreeMap::new(),
            late_starts: Vec::new(),
        }
    }

    fn visit(&mut self, waiting: &'a Waiting, has_credit: bool) {
        let own = self
            .workspace_tokens_ahead
            .entry(&waiting.workspace)
            .or_default();
        // Round robin serves each other workspace at most one quantum more than this one.
        let fair_bound = (*own + self.quantum_tokens) * self.active_workspaces;
        let predicted = self.predict(waiting, self.tokens_ahead.min(fair_bound));
        if predicted > waiting.start_by && !waiting.is_preempted && !has_credit {
            self.late_starts.push(LateStart {
                id: waiting.id,
                priority: waiting.priority,
                excess: predicted.saturating_sub(waiting.start_by),
            });
            return;
        }
        let own = self
            .workspace_tokens_ahead
            .entry(&waiting.workspace)
            .or_default();
        *own += f64::from(waiting.tokens);
        self.tokens_ahead += f64::from(waiting.tokens);
    }

    fn predict(&self, waiting: &Waiting, tokens_ahead: f64) -> Duration {
        let on_time = self.now + Duration::from_secs_f64(self.rate.wait_secs(tokens_ahead));
        if on_time <= waiting.on_time_until {
            return on_time;
        }
        self.now + Duration::from_secs_f64(self.rate.late_wait_secs(tokens_ahead))
    }
}

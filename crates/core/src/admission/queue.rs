//! Waiting requests of one tier.
//!
//! Requests start earliest deadline first, where the deadline is the time by which a request has to start to meet its
//! first-token target. Workspaces are kept fair by deficit round robin over tokens: only requests of workspaces with a
//! positive deficit take part in the choice. Requests that have missed their target start after all others. A class
//! that is passed over gains credit and is served out of order when the credit pays for its first request.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{AttemptId, ClassId, WorkspaceId};

/// Part of a tier's tokens, as a divisor, that a class which is passed over gains as credit.
const CLASS_CREDIT_DIVISOR: i64 = 20;

/// Largest credit of a class, in tokens; above the expected tokens of almost any request.
const MAX_CLASS_CREDIT: i64 = 16_384;

/// Largest utilisation that is assumed for the prediction of late starts, so that predictions stay finite.
const MAX_UTILISATION: f64 = 0.98;

/// Factor by which the longest predictable wait is bounded, so that durations cannot overflow.
const MAX_PREDICTED_SECS: f64 = 86_400.0;

/// A request that waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Waiting {
    pub id: AttemptId,
    pub workspace: WorkspaceId,
    pub class: ClassId,
    pub priority: u8,
    /// Time until which the start leaves enough time to meet the first-token target.
    pub on_time_until: Duration,
    /// Time after which the request is refused.
    pub start_by: Duration,
    /// Expected tokens of the answer that are still to be generated.
    pub tokens: u32,
    /// Whether the request ran before and was preempted.
    pub preempted: bool,
}

/// Speed at which a tier's waiting work is served.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ServiceRate {
    /// Places of the batch that the tier can use.
    pub places: u32,
    /// Seconds that one request takes per token of its answer.
    pub secs_per_token: f64,
    /// Mean expected tokens until one of the running requests ends.
    pub residual_tokens: f64,
    /// Offered tokens relative to the tokens that the tier can serve.
    pub utilisation: f64,
}

impl ServiceRate {
    /// Returns the time until `tokens` ahead have been started.
    fn wait(&self, tokens: f64) -> f64 {
        let places = f64::from(self.places.max(1));
        ((self.residual_tokens + tokens) * self.secs_per_token / places).min(MAX_PREDICTED_SECS)
    }

    /// Returns the time until `tokens` ahead have been started when later arrivals go first.
    fn late_wait(&self, tokens: f64) -> f64 {
        let left = 1.0 - self.utilisation.clamp(0.0, MAX_UTILISATION);
        (self.wait(tokens) / left).min(MAX_PREDICTED_SECS)
    }
}

/// A waiting request whose predicted start is too late.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LateStart {
    pub id: AttemptId,
    pub priority: u8,
    /// How much earlier than predicted the request would have to start.
    pub excess: Duration,
}

/// Position in the queue: deadline, then order of arrival.
type Position = (Duration, u64);

/// Deficit of a workspace.
#[derive(Debug)]
struct Account {
    waiting: u32,
    deficit: i64,
}

/// Credit of a class.
#[derive(Debug, Default)]
struct ClassAccount {
    waiting: u32,
    /// Whether a request was offered since the class was last served; a refused request counts, too.
    wanting: bool,
    credit: i64,
}

#[derive(Debug, Default)]
pub(crate) struct TierQueue {
    positions: BTreeMap<AttemptId, Position>,
    waiting: BTreeMap<Position, Waiting>,
    workspaces: BTreeMap<WorkspaceId, Account>,
    classes: BTreeMap<ClassId, ClassAccount>,
    next_sequence: u64,
}

impl TierQueue {
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn insert(&mut self, waiting: Waiting, quantum: u32) {
        // A preempted request holds cached state in the engine; resuming it first keeps that state useful.
        let deadline = if waiting.preempted {
            Duration::ZERO
        } else {
            waiting.on_time_until
        };
        let position = (deadline, self.next_sequence);
        self.next_sequence += 1;
        self.positions.insert(waiting.id, position);
        let fresh = Account {
            waiting: 0,
            deficit: i64::from(quantum),
        };
        let workspace = self
            .workspaces
            .entry(waiting.workspace.clone())
            .or_insert(fresh);
        workspace.waiting += 1;
        let class = self.classes.entry(waiting.class.clone()).or_default();
        class.waiting += 1;
        class.wanting = true;
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
        let fresh = self
            .waiting
            .iter()
            .filter(|(_, waiting)| !waiting.preempted);
        fresh
            .max_by_key(|(position, _)| position.1)
            .map(|(_, waiting)| waiting.id)
    }

    pub fn into_waiting(self) -> impl Iterator<Item = Waiting> {
        self.waiting.into_values()
    }

    /// Returns the time in which all waiting work is started.
    pub fn drain_time(&self, rate: ServiceRate) -> Duration {
        let tokens: f64 = self
            .waiting
            .values()
            .map(|waiting| f64::from(waiting.tokens))
            .sum();
        Duration::from_secs_f64(rate.wait(tokens))
    }

    /// Returns the earliest time at which a waiting request has to be refused.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.waiting.values().map(|waiting| waiting.start_by).min()
    }

    /// Removes the requests whose longest wait has passed.
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
            .owed_class()
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

    /// Corrects a workspace's deficit by the difference between expected and real tokens.
    pub fn settle_tokens(&mut self, workspace: &str, expected: u32, real: u32) {
        if let Some(account) = self.workspaces.get_mut(workspace) {
            account.deficit += i64::from(expected) - i64::from(real);
        }
    }

    /// Returns the waiting requests, in service order, that are predicted to start too late.
    pub fn late_starts(&self, now: Duration, rate: ServiceRate, quantum: u32) -> Vec<LateStart> {
        let preempted = self.waiting.values().filter(|waiting| waiting.preempted);
        let on_time = self.fresh().filter(|waiting| waiting.on_time_until >= now);
        let late = self.fresh().filter(|waiting| waiting.on_time_until < now);
        let active = u32::try_from(self.workspaces.len()).unwrap_or(u32::MAX);
        let mut review = Review::new(now, rate, quantum, active);
        for waiting in preempted.chain(on_time).chain(late) {
            let owed = self
                .classes
                .get(&waiting.class)
                .is_some_and(|account| account.credit > 0);
            review.visit(waiting, owed);
        }
        review.late_starts
    }

    /// Returns the waiting request that is given up first in favour of a class with the given priority.
    pub fn least_important(&self, priority: u8) -> Option<AttemptId> {
        let (_, waiting) = self
            .waiting
            .iter()
            .filter(|(_, waiting)| !waiting.preempted && waiting.priority > priority)
            .max_by_key(|(position, waiting)| (waiting.priority, **position))?;
        Some(waiting.id)
    }

    fn fresh(&self) -> impl Iterator<Item = &Waiting> {
        self.waiting.values().filter(|waiting| !waiting.preempted)
    }

    /// Returns the first request of a class whose credit pays for it.
    fn owed_class(&self) -> Option<AttemptId> {
        let creditors = self
            .classes
            .iter()
            .filter(|(_, account)| account.waiting > 0 && account.credit > 0);
        creditors
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
        first.preempted.then_some(first.id)
    }

    /// Returns the earliest request that passes `filter` among workspaces with a positive deficit. Deficits are
    /// replenished when all candidates are exhausted.
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
        // A workspace without waiting work keeps its debt but no deficit, so the map stays bounded.
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
        if !started.preempted
            && let Some(account) = self.workspaces.get_mut(&started.workspace)
        {
            account.deficit -= tokens;
        }
        for (class, account) in &mut self.classes {
            if *class == started.class {
                account.credit = (account.credit - tokens).max(0);
                account.wanting = account.waiting > 0;
            } else if account.wanting {
                account.credit =
                    (account.credit + tokens / CLASS_CREDIT_DIVISOR).min(MAX_CLASS_CREDIT);
            }
        }
    }
}

/// One pass over the queue in service order.
struct Review<'a> {
    now: Duration,
    rate: ServiceRate,
    quantum: f64,
    active: f64,
    ahead: f64,
    own_ahead: BTreeMap<&'a str, f64>,
    late_starts: Vec<LateStart>,
}

impl<'a> Review<'a> {
    fn new(now: Duration, rate: ServiceRate, quantum: u32, active: u32) -> Self {
        Self {
            now,
            rate,
            quantum: f64::from(quantum),
            active: f64::from(active),
            ahead: 0.0,
            own_ahead: BTreeMap::new(),
            late_starts: Vec::new(),
        }
    }

    fn visit(&mut self, waiting: &'a Waiting, owed: bool) {
        let own = self.own_ahead.entry(&waiting.workspace).or_default();
        // Round robin serves the others at most one quantum more than the own workspace.
        let fair = (*own + self.quantum) * self.active;
        let predicted = self.predict(waiting, self.ahead.min(fair));
        if predicted > waiting.start_by && !waiting.preempted && !owed {
            self.late_starts.push(LateStart {
                id: waiting.id,
                priority: waiting.priority,
                excess: predicted.saturating_sub(waiting.start_by),
            });
            return;
        }
        let own = self.own_ahead.entry(&waiting.workspace).or_default();
        *own += f64::from(waiting.tokens);
        self.ahead += f64::from(waiting.tokens);
    }

    fn predict(&self, waiting: &Waiting, ahead: f64) -> Duration {
        let prompt = self.now + Duration::from_secs_f64(self.rate.wait(ahead));
        if prompt <= waiting.on_time_until {
            return prompt;
        }
        self.now + Duration::from_secs_f64(self.rate.late_wait(ahead))
    }
}

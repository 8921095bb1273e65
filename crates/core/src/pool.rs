//! Admission of application calls, which cannot be preempted.
//!
//! The backend server of an application service runs a bounded number of concurrent calls. A running call is never
//! interrupted, so headroom protects higher tiers instead of preemption: the tiers below a tier together never occupy
//! the slots that are headroom of that tier and of higher ones. Other free slots go to the highest tier with waiting
//! calls. As in deficit round robin, a waiting tier gains credit when calls of other tiers start: its reserved share of
//! their expected time. Once the credit covers the tier's mean call, the tier is served first. Inside a tier, calls
//! start earliest deadline first, and deficit round robin over expected call time keeps workspaces fair.
//!
//! A call is refused when it is offered if it is predicted to start too late; the prediction for a tier uses only that
//! tier and higher ones.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::admission::queue::{ServiceRate, TierQueue, Waiting};
use crate::admission::{
    Action, AdmissionSettings, ClassSettings, Load, RefuseReason, refusal, to_u32,
};
use crate::config::Configuration;
use crate::ids::{AttemptId, ClassId, TierId, WorkspaceId};

/// Weight of one sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Duration of a call assumed until its class has been observed.
const PRIOR_CALL_MS: f64 = 200.0;

/// Time constant of the exponential average of offered call time per second.
const OFFER_WINDOW_SECS: f64 = 5.0;

/// Quantum of the deficit round robin: call time by which one workspace may get ahead of another in the same tier.
const QUANTUM_MS: u32 = 500;

/// Divisor of the slots that gives the number divided among the tiers as headroom. The remaining slots are shared.
const HEADROOM_DIVISOR: u32 = 4;

/// Minimum reserved share of a tier below the highest, so that none starves.
const MIN_RESERVED_PERMILLE: u32 = 10;

/// Upper bound of a tier's credit, in call time, so that a tier is not preferred for long after a long wait.
const MAX_CREDIT_MS: i64 = 10_000;

/// An application call that is offered to a sidecar.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Identifier of the attempt, unique among the calls that wait or run here.
    pub id: AttemptId,
    /// Tier of the workspace; a tier below the lowest configured one counts as the lowest.
    pub tier: TierId,
    /// Class that sets the latency target and the priority.
    pub class: ClassId,
    /// Workspace of the caller, for fairness inside the tier.
    pub workspace: WorkspaceId,
    /// Maximum time from the offer to the start. The class's longest wait applies if it is shorter.
    pub wait_limit: Duration,
    /// Time, on the clock of `now`, at which the caller's timeout expires.
    pub deadline: Duration,
}

/// Settings of [`Pool`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolSettings {
    /// Maximum number of concurrent calls at the backend server.
    pub concurrency: u32,
    /// Weight of each tier in the division of the headroom, highest tier first.
    pub weights: Vec<u32>,
    /// Share of the call time that is reserved for each tier, in thousandths, highest tier first.
    pub reserved_permille: Vec<u32>,
    /// Classes by name; a class that is missing here has the default settings.
    pub classes: BTreeMap<ClassId, ClassSettings>,
    /// Maximum queue length of each tier.
    pub max_waiting: usize,
}

impl PoolSettings {
    /// Derives the settings from a configuration and the concurrency of a service.
    #[must_use]
    pub fn from_configuration(configuration: &Configuration, concurrency: u32) -> Self {
        let admission = AdmissionSettings::from_configuration(configuration);
        Self {
            concurrency,
            weights: configuration.tiers.iter().map(|tier| tier.weight).collect(),
            reserved_permille: admission.reserved_permille,
            classes: admission.classes,
            max_waiting: admission.max_waiting,
        }
    }

    fn tiers(&self) -> usize {
        self.reserved_permille.len().max(1)
    }

    /// Returns the slots that the tiers below `tier` never occupy.
    ///
    /// ```
    /// use tanagerford_core::pool::PoolSettings;
    ///
    /// let settings = PoolSettings {
    ///     concurrency: 8,
    ///     weights: vec![8, 4, 2, 1],
    ///     reserved_permille: vec![0, 50, 50, 50],
    ///     classes: [].into(),
    ///     max_waiting: 100,
    /// };
    /// assert_eq!((0..4).map(|tier| settings.headroom(tier)).collect::<Vec<_>>(), [2, 2, 2, 2]);
    /// ```
    #[must_use]
    pub fn headroom(&self, tier: usize) -> u32 {
        let tiers = to_u32(self.tiers());
        // With fewer slots than tiers, headroom would leave lower tiers without any slot.
        if self.concurrency < tiers {
            return 0;
        }
        let total: u32 = self.weights.iter().sum();
        let headroom_slots = self.concurrency.div_ceil(HEADROOM_DIVISOR);
        let weight: u32 = self.weights.iter().take(tier + 1).sum();
        let slots = (headroom_slots * weight).div_ceil(total.max(1));
        let below = tiers.saturating_sub(to_u32(tier) + 1);
        slots.min(self.concurrency - below)
    }

    /// Returns the reserved share of call time of a tier, in thousandths.
    fn reserved_share_permille(&self, tier: usize) -> u32 {
        let permille = self.reserved_permille.get(tier).copied().unwrap_or(0);
        if tier == 0 {
            permille
        } else {
            permille.max(MIN_RESERVED_PERMILLE)
        }
    }

    fn class(&self, name: &str) -> ClassSettings {
        self.classes.get(name).copied().unwrap_or_default()
    }
}

#[derive(Debug, Clone, Copy)]
struct RunningCall {
    started_at: Duration,
    expected_ms: u32,
}

#[derive(Debug)]
struct Entry {
    call: Call,
    tier: usize,
    running: Option<RunningCall>,
}

#[derive(Debug, Default)]
struct Tier {
    queue: TierQueue,
    running: u32,
    call_ms: BTreeMap<ClassId, f64>,
    offered_at: Duration,
    offered_ms_per_sec: f64,
    /// Reserved share of the expected time of calls that other tiers started while this one had waiting calls, minus
    /// the time of calls that were charged to it, in microseconds.
    credit_us: i64,
}

impl Tier {
    fn expected_ms(&self, class: &str) -> u32 {
        floor_ms(self.call_ms.get(class).copied().unwrap_or(PRIOR_CALL_MS))
    }

    fn mean_ms(&self) -> f64 {
        let total = self.call_ms.values().fold(0.0, |sum, mean| sum + mean);
        let count = f64::from(to_u32(self.call_ms.len()));
        if count > 0.0 {
            total / count
        } else {
            PRIOR_CALL_MS
        }
    }

    /// Returns whether the credit covers the tier's mean call.
    fn has_call_credit(&self) -> bool {
        self.credit_us >= 1_000 * i64::from(floor_ms(self.mean_ms()))
    }

    /// Subtracts a started call from the credit. A call that starts because of the credit may take longer than the mean
    /// call, so it may make the credit negative; any other call does not.
    fn charge(&mut self, expected_ms: u32) {
        let min_credit_us = if self.has_call_credit() {
            i64::MIN
        } else {
            self.credit_us.min(0)
        };
        self.credit_us = (self.credit_us - 1_000 * i64::from(expected_ms)).max(min_credit_us);
    }

    fn record_offer(&mut self, now: Duration, expected_ms: u32) {
        let elapsed = now.saturating_sub(self.offered_at).as_secs_f64();
        self.offered_at = now;
        let decayed = self.offered_ms_per_sec * (-elapsed / OFFER_WINDOW_SECS).exp();
        self.offered_ms_per_sec = decayed + f64::from(expected_ms) / OFFER_WINDOW_SECS;
    }
}

/// Admission controller of one backend server of an application service.
///
/// ```
/// use std::time::Duration;
/// use tanagerford_core::admission::Action;
/// use tanagerford_core::pool::{Call, Pool, PoolSettings};
///
/// let settings = PoolSettings {
///     concurrency: 1,
///     weights: vec![1],
///     reserved_permille: vec![0],
///     classes: [].into(),
///     max_waiting: 100,
/// };
/// let call = |id| Call {
///     id,
///     tier: 0,
///     class: "lookup".to_owned(),
///     workspace: "acme".to_owned(),
///     wait_limit: Duration::from_secs(2),
///     deadline: Duration::from_secs(60),
/// };
/// let mut pool = Pool::new(settings);
/// assert_eq!(pool.offer(Duration::ZERO, call(1)), [Action::Start { id: 1 }]);
/// assert_eq!(pool.offer(Duration::ZERO, call(2)), []);
/// assert_eq!(pool.on_finish(Duration::from_millis(90), 1), [Action::Start { id: 2 }]);
///
/// // A running call continues after its caller has cancelled it; a waiting one ends.
/// let now = Duration::from_millis(90);
/// assert_eq!(pool.on_cancel(now, 2), []);
/// pool.offer(now, call(3));
/// assert_eq!(pool.next_wakeup(), Some(now + Duration::from_secs(2)));
/// assert_eq!(pool.on_tick(now), []);
/// assert_eq!((pool.load().running, pool.load().waiting), (1, 1));
/// assert_eq!(pool.on_server_down().len(), 1);
/// pool.on_server_up();
/// assert!(pool.is_idle());
/// assert!(pool.leave().is_empty());
/// ```
#[derive(Debug)]
pub struct Pool {
    settings: PoolSettings,
    tiers: Vec<Tier>,
    entries: BTreeMap<AttemptId, Entry>,
    is_leaving: bool,
    is_server_down: bool,
}

impl Pool {
    /// Creates a pool with no waiting or running calls.
    #[must_use]
    pub fn new(settings: PoolSettings) -> Self {
        let tiers = (0..settings.tiers()).map(|_| Tier::default()).collect();
        Self {
            settings,
            tiers,
            entries: BTreeMap::new(),
            is_leaving: false,
            is_server_down: false,
        }
    }

    /// Applies new settings. Calls of removed tiers move to the lowest remaining tier.
    ///
    /// See [`Pool`] for an example.
    pub fn set_configuration(&mut self, now: Duration, settings: PoolSettings) -> Vec<Action> {
        let tiers = settings.tiers();
        self.tiers
            .resize_with(self.tiers.len().max(tiers), Tier::default);
        self.settings = settings;
        for removed in self.tiers.split_off(tiers) {
            let lowest = &mut self.tiers[tiers - 1];
            lowest.running += removed.running;
            for waiting in removed.queue.into_waiting() {
                lowest.queue.insert(waiting, QUANTUM_MS);
            }
        }
        for entry in self.entries.values_mut() {
            entry.tier = entry.tier.min(tiers - 1);
        }
        self.on_tick(now)
    }

    /// Enqueues a call. The returned actions may start or refuse it, and refuse others.
    ///
    /// See [`Pool`] for an example.
    pub fn offer(&mut self, now: Duration, call: Call) -> Vec<Action> {
        let id = call.id;
        if self.is_leaving || self.is_server_down {
            let reason = if self.is_leaving {
                RefuseReason::Leaving
            } else {
                RefuseReason::ServerDown
            };
            return vec![refusal(id, reason, Duration::ZERO)];
        }
        let tier = usize::from(call.tier).min(self.tiers.len() - 1);
        let waiting = self.new_waiting(now, tier, &call);
        let priority = waiting.priority;
        self.tiers[tier].record_offer(now, waiting.tokens);
        self.tiers[tier].queue.insert(waiting, QUANTUM_MS);
        let entry = Entry {
            call,
            tier,
            running: None,
        };
        self.entries.insert(id, entry);
        let mut actions = self.on_tick(now);
        if self.tiers[tier].queue.len() > self.settings.max_waiting {
            let queue = &self.tiers[tier].queue;
            let victim = queue.least_important(priority).unwrap_or(id);
            let retry_after = queue.drain_time(self.rate(tier));
            self.refuse(victim, RefuseReason::QueueFull, retry_after, &mut actions);
        }
        self.shed_for_offer(now, id, &mut actions);
        actions
    }

    /// Records the end of a call.
    ///
    /// See [`Pool`] for an example.
    pub fn on_finish(&mut self, now: Duration, id: AttemptId) -> Vec<Action> {
        if let Some(entry) = self.entries.remove(&id) {
            self.tiers[entry.tier].queue.remove(id);
            if let Some(running) = entry.running {
                self.record_finish(now, &entry, running);
            }
        }
        self.on_tick(now)
    }

    /// Records that the caller cancelled a call. A call that was started continues, because its effect cannot be
    /// undone.
    ///
    /// See [`Pool`] for an example.
    pub fn on_cancel(&mut self, now: Duration, id: AttemptId) -> Vec<Action> {
        let is_waiting = self
            .entries
            .get(&id)
            .is_some_and(|entry| entry.running.is_none());
        if is_waiting {
            self.on_finish(now, id)
        } else {
            Vec::new()
        }
    }

    /// Refuses calls whose wait limit has passed and starts those for which a slot has become free.
    ///
    /// See [`Pool`] for an example.
    pub fn on_tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        for tier in 0..self.tiers.len() {
            self.expire(now, tier, &mut actions);
        }
        while let Some(tier) = self.next_tier() {
            if !self.start_one(now, tier, &mut actions) {
                break;
            }
        }
        actions
    }

    /// Stops accepting calls and refuses the waiting ones.
    ///
    /// See [`Pool`] for an example.
    pub fn leave(&mut self) -> Vec<Action> {
        self.is_leaving = true;
        self.refuse_waiting(RefuseReason::Leaving)
    }

    /// Records that the backend server is down. Running calls count as ended, waiting calls are refused at once, and
    /// new calls are refused until [`Pool::on_server_up`].
    ///
    /// See [`Pool`] for an example.
    pub fn on_server_down(&mut self) -> Vec<Action> {
        self.is_server_down = true;
        for tier in &mut self.tiers {
            tier.running = 0;
        }
        self.entries.retain(|_, entry| entry.running.is_none());
        self.refuse_waiting(RefuseReason::ServerDown)
    }

    /// Records that the backend server accepts calls again.
    ///
    /// See [`Pool`] for an example.
    pub fn on_server_up(&mut self) {
        self.is_server_down = false;
    }

    /// Returns the load that the sidecar reports to entries.
    ///
    /// See [`Pool`] for an example.
    #[must_use]
    pub fn load(&self) -> Load {
        let waiting: usize = self.tiers.iter().map(|tier| tier.queue.len()).sum();
        let busy = self
            .tiers
            .iter()
            .map(|tier| tier.running + to_u32(tier.queue.len()));
        Load {
            running: self.running_from(0),
            waiting: to_u32(waiting),
            batch_limit: self.settings.concurrency,
            token_gap: Duration::ZERO,
            busy_by_tier: busy.collect(),
            leaving: self.is_leaving,
        }
    }

    /// Returns the time by which [`Pool::on_tick`] has to be called next; `None` while no call waits.
    ///
    /// See [`Pool`] for an example.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Duration> {
        self.tiers
            .iter()
            .filter_map(|tier| tier.queue.next_expiry())
            .min()
    }

    /// Returns whether no call runs or waits.
    ///
    /// See [`Pool`] for an example.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the tier that starts a call next, or `None` if no tier may start one.
    fn next_tier(&self) -> Option<usize> {
        let waiting = (0..self.tiers.len()).filter(|tier| self.tiers[*tier].queue.len() > 0);
        let mut ready = waiting.filter(|tier| self.can_start(*tier));
        let first = ready.next()?;
        let credited = ready.find(|tier| self.tiers[*tier].has_call_credit());
        // The highest tier with waiting calls is served first unless the credit of a lower one covers a call.
        Some(credited.unwrap_or(first))
    }

    fn can_start(&self, tier: usize) -> bool {
        let leaves_headroom = |higher: usize| {
            let slots = self.settings.concurrency - self.settings.headroom(higher);
            self.running_from(higher + 1) < slots
        };
        self.running_from(0) < self.settings.concurrency && (0..tier).all(leaves_headroom)
    }

    fn running_from(&self, first: usize) -> u32 {
        self.tiers[first..].iter().map(|tier| tier.running).sum()
    }

    fn start_one(&mut self, now: Duration, tier: usize, actions: &mut Vec<Action>) -> bool {
        let Some(waiting) = self.tiers[tier].queue.pop(now, QUANTUM_MS) else {
            return false;
        };
        if let Some(entry) = self.entries.get_mut(&waiting.id) {
            entry.running = Some(RunningCall {
                started_at: now,
                expected_ms: waiting.tokens,
            });
        }
        for (index, other) in self.tiers.iter_mut().enumerate() {
            if index == tier {
                other.charge(waiting.tokens);
            } else if other.queue.len() > 0 {
                let earned_us = i64::from(waiting.tokens)
                    * i64::from(self.settings.reserved_share_permille(index));
                other.credit_us = (other.credit_us + earned_us).min(MAX_CREDIT_MS * 1_000);
            }
        }
        self.tiers[tier].running += 1;
        actions.push(Action::Start { id: waiting.id });
        true
    }

    fn record_finish(&mut self, now: Duration, entry: &Entry, running: RunningCall) {
        let elapsed = now.saturating_sub(running.started_at);
        let is_configured = self.settings.classes.contains_key(&entry.call.class);
        let tier = &mut self.tiers[entry.tier];
        tier.running -= 1;
        let elapsed_ms = to_u32(usize::try_from(elapsed.as_millis()).unwrap_or(usize::MAX));
        tier.queue
            .reconcile_tokens(&entry.call.workspace, running.expected_ms, elapsed_ms);
        // Only configured classes have an average, so the map is bounded.
        if is_configured {
            let mean = tier
                .call_ms
                .entry(entry.call.class.clone())
                .or_insert(PRIOR_CALL_MS);
            *mean += (f64::from(elapsed_ms) - *mean) * SAMPLE_WEIGHT;
        }
    }

    fn expire(&mut self, now: Duration, tier: usize, actions: &mut Vec<Action>) {
        let retry_after = self.tiers[tier].queue.drain_time(self.rate(tier));
        for waiting in self.tiers[tier].queue.expire(now) {
            self.entries.remove(&waiting.id);
            actions.push(refusal(waiting.id, RefuseReason::WaitPassed, retry_after));
        }
    }

    /// Refuses a newly offered call if it is predicted to start too late. Waiting calls of less important classes are
    /// refused first.
    fn shed_for_offer(&mut self, now: Duration, id: AttemptId, actions: &mut Vec<Action>) {
        while let Some(entry) = self
            .entries
            .get(&id)
            .filter(|entry| entry.running.is_none())
        {
            let tier = entry.tier;
            let late_starts = self.tiers[tier]
                .queue
                .late_starts(now, self.rate(tier), QUANTUM_MS);
            let Some(late) = late_starts.into_iter().find(|late| late.id == id) else {
                return;
            };
            let victim = self.tiers[tier]
                .queue
                .least_important(late.priority)
                .unwrap_or(id);
            self.refuse(victim, RefuseReason::WaitTooLong, late.excess, actions);
        }
    }

    fn refuse_waiting(&mut self, reason: RefuseReason) -> Vec<Action> {
        let mut actions = Vec::new();
        for id in self
            .tiers
            .iter()
            .flat_map(|tier| tier.queue.ids())
            .collect::<Vec<_>>()
        {
            self.refuse(id, reason, Duration::ZERO, &mut actions);
        }
        actions
    }

    fn refuse(
        &mut self,
        id: AttemptId,
        reason: RefuseReason,
        retry_after: Duration,
        actions: &mut Vec<Action>,
    ) {
        if let Some(entry) = self.entries.remove(&id) {
            self.tiers[entry.tier].queue.remove(id);
            actions.push(refusal(id, reason, retry_after));
        }
    }

    /// Returns the rate at which a tier's queue is served when lower tiers use only their reserved share.
    fn rate(&self, tier: usize) -> ServiceRate {
        let reserved: u32 = (tier + 1..self.tiers.len())
            .map(|lower| self.settings.reserved_share_permille(lower))
            .sum();
        let reserved_slots = (self.settings.concurrency * reserved).div_ceil(1_000);
        let above: u32 = self.tiers[..tier].iter().map(|tier| tier.running).sum();
        let slots = self
            .settings
            .concurrency
            .saturating_sub(reserved_slots + above)
            .max(1);
        let state = &self.tiers[tier];
        ServiceRate {
            slots,
            secs_per_token: 0.001,
            residual_tokens: if slots > state.running {
                0.0
            } else {
                state.mean_ms()
            },
            utilisation: state.offered_ms_per_sec / (1_000.0 * f64::from(slots)),
        }
    }

    fn new_waiting(&self, now: Duration, tier: usize, call: &Call) -> Waiting {
        let class = self.settings.class(&call.class);
        let expected_ms = self.tiers[tier].expected_ms(&call.class);
        let start_by = now + call.wait_limit.min(class.longest_wait);
        let call_time = Duration::from_millis(u64::from(expected_ms));
        Waiting {
            id: call.id,
            workspace: call.workspace.clone(),
            class: call.class.clone(),
            priority: class.priority,
            on_time_until: now + class.first_token.saturating_sub(call_time),
            start_by: start_by.min(call.deadline),
            tokens: expected_ms,
            is_preempted: false,
        }
    }
}

/// Rounds a positive count of milliseconds down, to at least 1.
fn floor_ms(millis: f64) -> u32 {
    let whole = Duration::from_secs_f64(millis / 1_000.0).as_millis();
    to_u32(usize::try_from(whole).unwrap_or(usize::MAX)).max(1)
}

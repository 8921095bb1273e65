//! Admission of model requests at the sidecar: queueing, start, preemption and load shedding by tier.
//!
//! Tiers are scheduled from the highest to the lowest. A tier may use the batch slots that higher tiers leave free,
//! minus the slots reserved for lower tiers, and at least the slots reserved for itself. Neither number depends on the
//! work of lower tiers, and every estimate is per tier, so the starts, preemptions and refusals of a tier are a
//! function of the events of that tier and of higher ones.
//!
//! In a batch every running request gets one token per step, so a slot is a fixed share of the engine's tokens, and
//! the slots reserved for a tier are its reserved share of tokens. Inside a tier, deficit round robin over tokens
//! divides the slots (M. Shreedhar, G. Varghese: Efficient Fair Queuing Using Deficit Round Robin, 1996).

mod isolation;
pub(crate) mod queue;
mod settings;
mod tier;
mod types;

use std::collections::BTreeMap;
use std::time::Duration;

pub use settings::{AdmissionSettings, ClassSettings};
pub use types::{Action, FinishKind, Load, LoadReport, RefuseReason, Request};

use crate::estimate::{EstimateKey, OutputEstimator};
use crate::ids::{AttemptId, TierId};
use queue::{LateStart, ServiceRate, Waiting};
use tier::{Running, Tier};

/// Interval at which the runtime calls [`Admission::on_tick`] while requests wait or run.
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Lower bound of the `retry_after` of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Upper bound of the `retry_after` of a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Minimum time between two predictions of the start times of all waiting requests of a tier.
const LATE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A request that waits or runs.
#[derive(Debug)]
struct Entry {
    request: Request,
    tier: usize,
    generated: u32,
    is_running: bool,
}

impl Entry {
    fn key(&self) -> EstimateKey<'_> {
        EstimateKey {
            tier: TierId::try_from(self.tier).unwrap_or(TierId::MAX),
            class: &self.request.class,
            model: &self.request.model,
            workspace: &self.request.workspace,
        }
    }
}

/// Admission controller of one model engine.
///
/// The runtime passes in every event and executes the returned actions in order.
///
/// ```
/// use std::time::Duration;
/// use tanagerford_core::admission::{Action, Admission, AdmissionSettings, FinishKind, Request};
///
/// let mut admission = Admission::new(AdmissionSettings::default());
/// let request = Request {
///     id: 7,
///     tier: 0,
///     class: "chat".to_owned(),
///     workspace: "acme".to_owned(),
///     model: "small".to_owned(),
///     prompt_tokens: 100,
///     max_tokens: 500,
///     wait_limit: Duration::from_secs(2),
///     deadline: Duration::from_secs(60),
///     resumable: true,
///     max_other_requests: None,
/// };
/// assert_eq!(admission.offer(Duration::ZERO, request), [Action::Start { id: 7 }]);
/// assert!(admission.on_token(Duration::from_millis(80), 7, 1).is_empty());
/// assert!(admission.on_finish(Duration::from_millis(90), 7, FinishKind::Complete).is_empty());
/// assert_eq!(admission.load().running, 0);
/// ```
///
/// The runtime also reports engine load, configuration changes, and the state of the engine and of the sidecar:
///
/// ```
/// # use std::time::Duration;
/// # use tanagerford_core::admission::{Action, Admission, AdmissionSettings, LoadReport, RefuseReason, Request};
/// # let request = |id| Request {
/// #     id,
/// #     tier: 0,
/// #     class: "chat".to_owned(),
/// #     workspace: "acme".to_owned(),
/// #     model: "small".to_owned(),
/// #     prompt_tokens: 100,
/// #     max_tokens: 500,
/// #     wait_limit: Duration::from_secs(2),
/// #     deadline: Duration::from_secs(60),
/// #     resumable: true,
/// #     max_other_requests: None,
/// # };
/// let now = Duration::from_secs(1);
/// let defaults = || AdmissionSettings { prior_tokens: 20, ..AdmissionSettings::default() };
/// let settings = AdmissionSettings { reserved_permille: vec![0, 50], max_batch: 2, ..defaults() };
/// let mut admission = Admission::new(defaults());
/// admission.set_configuration(now, settings);
/// admission.on_load_report(now, LoadReport { running: 4, token_gap: Duration::from_millis(30) });
/// // One of the two slots is reserved for the lower tier, so the second request waits.
/// assert_eq!(admission.offer(now, request(1)), [Action::Start { id: 1 }]);
/// assert_eq!(admission.offer(now, request(2)), []);
/// assert_eq!(admission.next_wakeup(), Some(Duration::from_secs(3)));
/// assert_eq!(admission.on_tick(now), []);
/// assert_eq!(admission.on_cancel(now, 1), [Action::Start { id: 2 }]);
///
/// assert!(admission.on_engine_down().is_empty());
/// assert!(admission.is_idle());
/// admission.on_engine_up();
/// admission.leave(now);
/// let refused = admission.offer(now, request(3));
/// assert!(matches!(refused[..], [Action::Refuse { reason: RefuseReason::Leaving, .. }]));
/// ```
#[derive(Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    tiers: Vec<Tier>,
    entries: BTreeMap<AttemptId, Entry>,
    estimator: OutputEstimator,
    is_leaving: bool,
    is_engine_down: bool,
}

impl Admission {
    /// Creates a controller with no waiting or running requests.
    #[must_use]
    pub fn new(settings: AdmissionSettings) -> Self {
        let estimator = OutputEstimator::new(settings.prior_tokens, settings.estimate_keys);
        let tiers = (0..settings.tiers())
            .map(|_| Tier::new(&settings))
            .collect();
        Self {
            settings,
            tiers,
            entries: BTreeMap::new(),
            estimator,
            is_leaving: false,
            is_engine_down: false,
        }
    }

    /// Applies new settings. Requests keep the tier that they were offered with; requests of removed tiers move to the
    /// lowest remaining tier.
    ///
    /// See [`Admission`] for an example.
    pub fn set_configuration(&mut self, now: Duration, settings: AdmissionSettings) -> Vec<Action> {
        let tiers = settings.tiers();
        while self.tiers.len() < tiers {
            self.tiers.push(Tier::new(&settings));
        }
        self.settings = settings;
        for removed in self.tiers.split_off(tiers) {
            self.merge_into_lowest(removed);
        }
        for tier in &mut self.tiers {
            tier.set_settings(&self.settings);
        }
        self.on_tick(now)
    }

    /// Enqueues a request. The returned actions may start or refuse it, and preempt or refuse others.
    ///
    /// See [`Admission`] for an example.
    pub fn offer(&mut self, now: Duration, request: Request) -> Vec<Action> {
        let id = request.id;
        if let Some(reason) = self.closed_reason() {
            return vec![refusal(id, reason, MIN_RETRY_AFTER)];
        }
        let tier = usize::from(request.tier).min(self.tiers.len() - 1);
        let entry = Entry {
            request,
            tier,
            generated: 0,
            is_running: false,
        };
        let waiting = self.new_waiting(now, &entry);
        self.tiers[tier].record_offer(now, waiting.tokens);
        let mut actions = Vec::new();
        let priority = waiting.priority;
        self.entries.insert(id, entry);
        self.enqueue(tier, waiting);
        self.schedule(now, tier, &mut actions);
        self.shed_overflow(tier, priority, &mut actions);
        self.shed_for_offer(now, id, &mut actions);
        self.shed_late(now, tier, &mut actions);
        actions
    }

    /// Records tokens that the engine generated for a request.
    ///
    /// See [`Admission`] for an example.
    pub fn on_token(&mut self, now: Duration, id: AttemptId, tokens: u32) -> Vec<Action> {
        let Some(entry) = self.entries.get_mut(&id).filter(|entry| entry.is_running) else {
            return Vec::new();
        };
        entry.generated = entry.generated.saturating_add(tokens);
        let tier = entry.tier;
        let class = entry.request.class.clone();
        let Some(gap) = self.tiers[tier].record_tokens(now, id, &class, tokens) else {
            return Vec::new();
        };
        self.observe_gap(now, tier, gap);
        Vec::new()
    }

    /// Records the end of a request.
    ///
    /// See [`Admission`] for an example.
    pub fn on_finish(&mut self, now: Duration, id: AttemptId, kind: FinishKind) -> Vec<Action> {
        let Some(entry) = self.entries.remove(&id) else {
            return Vec::new();
        };
        let tier = entry.tier;
        self.tiers[tier].remove_waiting(id);
        if let Some(running) = self.tiers[tier].running.remove(&id) {
            let queue = &mut self.tiers[tier].queue;
            queue.reconcile_tokens(
                &entry.request.workspace,
                running.expected_tokens,
                entry.generated,
            );
            if kind == FinishKind::Complete {
                self.estimator.record(entry.key(), entry.generated);
                self.tiers[tier].record_finish(now, &running, entry.generated);
            }
        }
        let mut actions = Vec::new();
        self.schedule(now, tier, &mut actions);
        self.shed_late(now, tier, &mut actions);
        actions
    }

    /// Records that the caller cancelled a request. The runtime stops the request at the engine if it was started.
    ///
    /// See [`Admission`] for an example.
    pub fn on_cancel(&mut self, now: Duration, id: AttemptId) -> Vec<Action> {
        self.on_finish(now, id, FinishKind::Failed)
    }

    /// Records a load report of the engine, which arrives with a delay. It includes the work of all tiers, so it
    /// corrects only the capacity estimate of the lowest tier.
    ///
    /// See [`Admission`] for an example.
    pub fn on_load_report(&mut self, now: Duration, report: LoadReport) -> Vec<Action> {
        let lowest = self.tiers.len() - 1;
        if report.running > 0 {
            self.tiers[lowest]
                .capacity
                .observe_report(report.running, report.token_gap);
        }
        let mut actions = Vec::new();
        self.schedule(now, lowest, &mut actions);
        actions
    }

    /// Refuses requests whose wait limit has passed and starts those for which a slot has become free.
    ///
    /// See [`Admission`] for an example.
    pub fn on_tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        self.schedule(now, 0, &mut actions);
        actions
    }

    /// Stops accepting requests and refuses waiting requests that have no generated tokens.
    ///
    /// See [`Admission`] for an example.
    pub fn leave(&mut self, now: Duration) -> Vec<Action> {
        self.is_leaving = true;
        let mut actions = Vec::new();
        self.refuse_waiting(
            RefuseReason::Leaving,
            |entry| entry.generated == 0,
            &mut actions,
        );
        self.schedule(now, 0, &mut actions);
        actions
    }

    /// Records that the engine is down. Running requests count as ended, waiting requests are refused at once, and new
    /// requests are refused until [`Admission::on_engine_up`].
    ///
    /// See [`Admission`] for an example.
    pub fn on_engine_down(&mut self) -> Vec<Action> {
        self.is_engine_down = true;
        for tier in &mut self.tiers {
            tier.running.clear();
        }
        self.entries.retain(|_, entry| !entry.is_running);
        let mut actions = Vec::new();
        self.refuse_waiting(RefuseReason::ServerDown, |_| true, &mut actions);
        actions
    }

    /// Records that the engine accepts requests again.
    ///
    /// See [`Admission`] for an example.
    pub fn on_engine_up(&mut self) {
        self.is_engine_down = false;
    }

    /// Returns the load that the sidecar reports to entries.
    ///
    /// See [`Admission`] for an example.
    #[must_use]
    pub fn load(&self) -> Load {
        let running: usize = self.tiers.iter().map(|tier| tier.running.len()).sum();
        let waiting: usize = self.tiers.iter().map(Tier::waiting_count).sum();
        let lowest = &self.tiers[self.tiers.len() - 1];
        let busy = self
            .tiers
            .iter()
            .map(|tier| tier.running.len() + tier.waiting_count());
        Load {
            running: to_u32(running),
            waiting: to_u32(waiting),
            batch_limit: lowest.capacity.limit(),
            token_gap: lowest.capacity.token_gap(to_u32(running)),
            busy_by_tier: busy.map(to_u32).collect(),
            leaving: self.is_leaving,
        }
    }

    /// Returns the time by which [`Admission::on_tick`] has to be called next; `None` while no request waits.
    ///
    /// See [`Admission`] for an example.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Duration> {
        self.tiers.iter().filter_map(Tier::next_expiry).min()
    }

    /// Returns whether no request runs or waits.
    ///
    /// See [`Admission`] for an example.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.entries.is_empty()
    }

    /// Expires, preempts and starts requests of tier `first` and all lower tiers to match the available slots. An event
    /// of tier `first` does not affect higher tiers.
    fn schedule(&mut self, now: Duration, first: usize, actions: &mut Vec<Action>) {
        let mut above: u32 = self.tiers[..first].iter().map(Tier::running_count).sum();
        for tier in first..self.tiers.len() {
            self.expire(now, tier, actions);
            let slots = self.start_limit(tier, above);
            let retained = self.retain_limit(tier, above);
            let retained = self.retain_limit_with_suspects(tier, above, retained);
            self.preempt_suspect(now, tier, above, actions);
            while self.tiers[tier].running_count() > retained {
                self.preempt_one(now, tier, actions);
            }
            self.start_suspect(now, tier, above, slots, actions);
            let limit = self.start_limit_with_suspects(tier, above, slots);
            while self.tiers[tier].running_count() < limit && self.start_one(now, tier, actions) {}
            above += self.tiers[tier].running_count();
        }
    }

    /// Returns the number of slots that a tier may fill by starting requests when higher tiers use `above` slots.
    fn start_limit(&self, tier: usize, above: u32) -> u32 {
        let own = self.tiers[tier].capacity.limit();
        let saturated = (0..tier).filter(|higher| self.is_saturated(*higher));
        let tightest = saturated
            .map(|higher| self.tiers[higher].capacity.limit())
            .min();
        self.slots_within(tier, above, own.min(tightest.unwrap_or(own)))
    }

    /// Returns the number of slots that a tier may keep occupied before its running requests are preempted. It is at
    /// least [`Self::start_limit`].
    fn retain_limit(&self, tier: usize, above: u32) -> u32 {
        let slots = self.slots_within(tier, above, self.tiers[tier].capacity.hard_limit());
        slots.max(self.start_limit(tier, above))
    }

    /// Returns the rate at which the tier's queue is served.
    fn rate(&self, tier: usize, above: u32) -> ServiceRate {
        let slots = self.start_limit(tier, above);
        self.tiers[tier].rate(self.start_limit_with_suspects(tier, above, slots))
    }

    /// Returns the slots of a batch of `limit` that a tier may use when higher tiers use `above` slots.
    fn slots_within(&self, tier: usize, above: u32, limit: u32) -> u32 {
        let reserved_below = self.settings.reserved_below(tier, limit);
        let left = limit.saturating_sub(reserved_below).saturating_sub(above);
        left.max(self.settings.reserved_slots(tier, limit)).max(1)
    }

    /// Returns whether the occupied slots reach 90% of the tier's limit. Only then does the limit reflect the engine,
    /// because lower tiers have no more than the slots reserved for them.
    fn is_saturated(&self, tier: usize) -> bool {
        let limit = self.tiers[tier].capacity.limit();
        self.occupied_slots(tier, limit) * 10 >= limit * 9
    }

    /// Returns the slots that a tier and higher ones use, plus the slots reserved for lower tiers.
    fn occupied_slots(&self, tier: usize, limit: u32) -> u32 {
        let running: u32 = self.tiers[..=tier].iter().map(Tier::running_count).sum();
        running + self.settings.reserved_below(tier, limit)
    }

    fn start_one(&mut self, now: Duration, tier: usize, actions: &mut Vec<Action>) -> bool {
        let quantum = self.settings.quantum_tokens;
        let Some(waiting) = self.tiers[tier].queue.pop(now, quantum) else {
            return false;
        };
        self.start(now, tier, &waiting, actions);
        true
    }

    fn start(&mut self, now: Duration, tier: usize, waiting: &Waiting, actions: &mut Vec<Action>) {
        let mut is_suspect = false;
        if let Some(entry) = self.entries.get_mut(&waiting.id) {
            entry.is_running = true;
            is_suspect = entry.request.max_other_requests.is_some();
        }
        let running = Running::new(now, waiting, is_suspect);
        self.tiers[tier].running.insert(waiting.id, running);
        actions.push(Action::Start { id: waiting.id });
    }

    /// Preempts the running request of a tier that wastes the least work: requests that can be requeued come first,
    /// then those with the fewest generated tokens.
    fn preempt_one(&mut self, now: Duration, tier: usize, actions: &mut Vec<Action>) {
        let cost = |id: &AttemptId| {
            let entry = &self.entries[id];
            let is_wasted = !entry.request.resumable && entry.generated > 0;
            (is_wasted, entry.generated, std::cmp::Reverse(*id))
        };
        if let Some(id) = self.tiers[tier].running.keys().copied().min_by_key(cost) {
            self.preempt(now, tier, id, actions);
        }
    }

    fn preempt(&mut self, now: Duration, tier: usize, id: AttemptId, actions: &mut Vec<Action>) {
        self.tiers[tier].running.remove(&id);
        let entry = &self.entries[&id];
        let requeued = entry.request.resumable || entry.generated == 0;
        actions.push(Action::Preempt { id, requeued });
        if !requeued {
            self.entries.remove(&id);
            return;
        }
        let mut waiting = self.new_waiting(now, entry);
        waiting.is_preempted = true;
        waiting.start_by = entry.request.deadline;
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.is_running = false;
        }
        self.enqueue(tier, waiting);
    }

    fn enqueue(&mut self, tier: usize, waiting: Waiting) {
        let is_suspect = self
            .entries
            .get(&waiting.id)
            .is_some_and(|entry| entry.request.max_other_requests.is_some());
        if is_suspect {
            self.tiers[tier].suspects.push(waiting);
        } else {
            self.tiers[tier]
                .queue
                .insert(waiting, self.settings.quantum_tokens);
        }
    }

    fn expire(&mut self, now: Duration, tier: usize, actions: &mut Vec<Action>) {
        let retry_after = self.backlog_time(tier);
        for waiting in self.tiers[tier].expire(now) {
            let generated = self
                .entries
                .remove(&waiting.id)
                .map_or(0, |entry| entry.generated);
            let reason = if generated > 0 {
                RefuseReason::PreemptedTooLong
            } else {
                RefuseReason::WaitPassed
            };
            actions.push(refusal(waiting.id, reason, retry_after));
        }
    }

    /// Refuses the least important requests of a tier while its queue exceeds the configured length.
    fn shed_overflow(&mut self, tier: usize, priority: u8, actions: &mut Vec<Action>) {
        while self.tiers[tier].queue.len() > self.settings.max_waiting {
            let queue = &self.tiers[tier].queue;
            let Some(id) = queue.least_important(priority).or_else(|| queue.newest()) else {
                return;
            };
            let retry_after = self.backlog_time(tier);
            self.refuse(id, RefuseReason::QueueFull, retry_after, actions);
        }
    }

    /// Refuses a newly offered request if it is predicted to start too late. Waiting requests of less important classes
    /// are refused first.
    fn shed_for_offer(&mut self, now: Duration, id: AttemptId, actions: &mut Vec<Action>) {
        while let Some(entry) = self.entries.get(&id).filter(|entry| !entry.is_running) {
            let tier = entry.tier;
            let late_starts = self.late_starts(now, tier);
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

    /// Refuses waiting requests that are predicted to start too late, in tier `first` and all lower tiers.
    fn shed_late(&mut self, now: Duration, first: usize, actions: &mut Vec<Action>) {
        for tier in first..self.tiers.len() {
            let state = &mut self.tiers[tier];
            if now.saturating_sub(state.late_checked_at) < LATE_CHECK_INTERVAL {
                continue;
            }
            state.late_checked_at = now;
            for late in self.late_starts(now, tier) {
                self.refuse(late.id, RefuseReason::WaitTooLong, late.excess, actions);
            }
        }
    }

    fn late_starts(&self, now: Duration, tier: usize) -> Vec<LateStart> {
        let above = self.tiers[..tier].iter().map(Tier::running_count).sum();
        let rate = self.rate(tier, above);
        self.tiers[tier]
            .queue
            .late_starts(now, rate, self.settings.quantum_tokens)
    }

    /// Returns the reason for which all new requests are refused, or `None` while requests are accepted.
    fn closed_reason(&self) -> Option<RefuseReason> {
        let down = self.is_engine_down.then_some(RefuseReason::ServerDown);
        self.is_leaving.then_some(RefuseReason::Leaving).or(down)
    }

    fn refuse_waiting(
        &mut self,
        reason: RefuseReason,
        filter: impl Fn(&Entry) -> bool,
        actions: &mut Vec<Action>,
    ) {
        for id in self
            .tiers
            .iter()
            .flat_map(Tier::waiting_ids)
            .collect::<Vec<_>>()
        {
            if self.entries.get(&id).is_some_and(&filter) {
                self.refuse(id, reason, MIN_RETRY_AFTER, actions);
            }
        }
    }

    fn refuse(
        &mut self,
        id: AttemptId,
        reason: RefuseReason,
        retry_after: Duration,
        actions: &mut Vec<Action>,
    ) {
        if let Some(entry) = self.entries.remove(&id) {
            self.tiers[entry.tier].remove_waiting(id);
            actions.push(refusal(id, reason, retry_after));
        }
    }

    /// Returns the time in which the tier's backlog is started; refusals carry it as `retry_after`.
    fn backlog_time(&self, tier: usize) -> Duration {
        let above = self.tiers[..tier].iter().map(Tier::running_count).sum();
        let rate = self.rate(tier, above);
        self.tiers[tier].queue.drain_time(rate)
    }

    fn observe_gap(&mut self, now: Duration, tier: usize, gap: Duration) {
        let lowest = self.tiers.len() - 1;
        for lower in tier..=lowest {
            let limit = self.tiers[lower].capacity.limit();
            let occupied = self.occupied_slots(lower, limit);
            let is_saturated = self.is_saturated(lower);
            // The lowest tier accounts for all running requests, so every sample is valid for it.
            if self.tiers[lower].is_settled(now, is_saturated) || lower == lowest {
                self.tiers[lower].capacity.observe(occupied, gap);
            }
        }
    }

    fn new_waiting(&self, now: Duration, entry: &Entry) -> Waiting {
        let request = &entry.request;
        let class = self.settings.class(&request.class);
        let tokens = self
            .estimator
            .remaining(entry.key(), entry.generated, request.max_tokens);
        let start_by = now + request.wait_limit.min(class.longest_wait);
        let estimate = self.tiers[entry.tier].first_token_estimate(&request.class);
        Waiting {
            id: request.id,
            workspace: request.workspace.clone(),
            class: request.class.clone(),
            priority: class.priority,
            on_time_until: now + class.first_token.saturating_sub(estimate),
            start_by: start_by.min(request.deadline),
            tokens,
            is_preempted: false,
        }
    }

    /// Moves the requests of a removed tier to the lowest remaining tier.
    fn merge_into_lowest(&mut self, removed: Tier) {
        let lowest = self.tiers.len() - 1;
        let target = &mut self.tiers[lowest];
        target.running.extend(removed.running);
        target.suspects.extend(removed.suspects);
        for waiting in removed.queue.into_waiting() {
            target.queue.insert(waiting, self.settings.quantum_tokens);
        }
        for entry in self.entries.values_mut() {
            entry.tier = entry.tier.min(lowest);
        }
    }
}

pub(crate) fn refusal(id: AttemptId, reason: RefuseReason, retry_after: Duration) -> Action {
    Action::Refuse {
        id,
        reason,
        retry_after: retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
    }
}

pub(crate) fn to_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

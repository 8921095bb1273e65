//! Admission of model requests at the sidecar: queueing, start, preemption and load shedding by tier.
//!
//! Tiers are settled from the highest to the lowest. A tier may use the places of the batch that higher tiers leave,
//! less the places that are kept for lower tiers, and at least the places that are kept for itself. Neither number
//! depends on the work of lower tiers, and every estimate is kept per tier, so the starts, preemptions and refusals of
//! a tier are a function of the events of that tier and of higher ones.
//!
//! In a batch every running request gets one token per step, so a place is a fixed share of the engine's tokens, and
//! the places kept for a tier are its reserved share of tokens. Inside a tier, deficit round robin over tokens divides
//! the places (M. Shreedhar, G. Varghese: Efficient Fair Queuing Using Deficit Round Robin, 1996).

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

/// Interval at which the runtime calls [`Admission::on_tick`] while there is work.
pub const TICK: Duration = Duration::from_millis(20);

/// Shortest retry advice.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Longest retry advice.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Shortest time between two predictions for all waiting requests of a tier.
const REVIEW_INTERVAL: Duration = Duration::from_millis(20);

/// A request between offer and end.
#[derive(Debug)]
struct Entry {
    request: Request,
    tier: usize,
    generated: u32,
    running: bool,
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

/// Admission of one model engine.
///
/// The runtime passes every event in and carries out the returned actions in their order.
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
///     max_company: None,
/// };
/// assert_eq!(admission.offer(Duration::ZERO, request), [Action::Start { id: 7 }]);
/// assert!(admission.on_token(Duration::from_millis(80), 7, 1).is_empty());
/// assert!(admission.on_finish(Duration::from_millis(90), 7, FinishKind::Complete).is_empty());
/// assert_eq!(admission.load().running, 0);
/// ```
///
/// The runtime also passes on load reports, configurations, and the state of the engine and of the sidecar:
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
/// #     max_company: None,
/// # };
/// let now = Duration::from_secs(1);
/// let defaults = || AdmissionSettings { prior_tokens: 20, ..AdmissionSettings::default() };
/// let settings = AdmissionSettings { reserved_permille: vec![0, 50], max_batch: 2, ..defaults() };
/// let mut admission = Admission::new(defaults());
/// admission.set_configuration(now, settings);
/// admission.on_load_report(now, LoadReport { running: 4, token_gap: Duration::from_millis(30) });
/// // One of the two places is kept for the lower tier, so the second request waits.
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
    leaving: bool,
    down: bool,
}

impl Admission {
    /// Returns an admission without work.
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
            leaving: false,
            down: false,
        }
    }

    /// Takes over new settings. Requests keep the tier that they were offered with; requests of removed tiers move to
    /// the lowest tier that is left.
    ///
    /// See [`Admission`] for an example.
    pub fn set_configuration(&mut self, now: Duration, settings: AdmissionSettings) -> Vec<Action> {
        let tiers = settings.tiers();
        while self.tiers.len() < tiers {
            self.tiers.push(Tier::new(&settings));
        }
        self.settings = settings;
        for removed in self.tiers.split_off(tiers) {
            self.adopt(removed);
        }
        for tier in &mut self.tiers {
            tier.set_settings(&self.settings);
        }
        self.on_tick(now)
    }

    /// Offers a request. The same call may start it, refuse it, or preempt and refuse others.
    ///
    /// See [`Admission`] for an example.
    pub fn offer(&mut self, now: Duration, request: Request) -> Vec<Action> {
        let id = request.id;
        if let Some(reason) = self.closed() {
            return vec![refusal(id, reason, MIN_RETRY_AFTER)];
        }
        let tier = usize::from(request.tier).min(self.tiers.len() - 1);
        let entry = Entry {
            request,
            tier,
            generated: 0,
            running: false,
        };
        let waiting = self.waiting(now, &entry);
        self.tiers[tier].count_offer(now, waiting.tokens);
        let mut actions = Vec::new();
        let priority = waiting.priority;
        self.entries.insert(id, entry);
        self.enqueue(tier, waiting);
        self.settle(now, tier, &mut actions);
        self.shed_overflow(tier, priority, &mut actions);
        self.shed_for(now, id, &mut actions);
        self.review(now, tier, &mut actions);
        actions
    }

    /// Reports tokens that the engine generated for a request.
    ///
    /// See [`Admission`] for an example.
    pub fn on_token(&mut self, now: Duration, id: AttemptId, tokens: u32) -> Vec<Action> {
        let Some(entry) = self.entries.get_mut(&id).filter(|entry| entry.running) else {
            return Vec::new();
        };
        entry.generated = entry.generated.saturating_add(tokens);
        let tier = entry.tier;
        let class = entry.request.class.clone();
        let Some(gap) = self.tiers[tier].token_gap(now, id, &class, tokens) else {
            return Vec::new();
        };
        self.observe_gap(now, tier, gap);
        Vec::new()
    }

    /// Reports that a started request has ended.
    ///
    /// See [`Admission`] for an example.
    pub fn on_finish(&mut self, now: Duration, id: AttemptId, how: FinishKind) -> Vec<Action> {
        let Some(entry) = self.entries.remove(&id) else {
            return Vec::new();
        };
        let tier = entry.tier;
        self.tiers[tier].remove_waiting(id);
        if let Some(running) = self.tiers[tier].running.remove(&id) {
            let queue = &mut self.tiers[tier].queue;
            queue.settle_tokens(&entry.request.workspace, running.expected, entry.generated);
            if how == FinishKind::Complete {
                self.estimator.record(entry.key(), entry.generated);
                self.tiers[tier].count_finish(now, &running, entry.generated);
            }
        }
        let mut actions = Vec::new();
        self.settle(now, tier, &mut actions);
        self.review(now, tier, &mut actions);
        actions
    }

    /// Reports that the caller has gone. The runtime stops the request at the engine if it was started.
    ///
    /// See [`Admission`] for an example.
    pub fn on_cancel(&mut self, now: Duration, id: AttemptId) -> Vec<Action> {
        self.on_finish(now, id, FinishKind::Failed)
    }

    /// Takes in the engine's own report, which lags. It includes the work of all tiers, so it corrects only the lowest
    /// tier's estimate.
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
        self.settle(now, lowest, &mut actions);
        actions
    }

    /// Refuses what waited too long and starts what has become possible.
    ///
    /// See [`Admission`] for an example.
    pub fn on_tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        self.settle(now, 0, &mut actions);
        actions
    }

    /// Takes no new work from now on and refuses what waits and never ran.
    ///
    /// See [`Admission`] for an example.
    pub fn leave(&mut self, now: Duration) -> Vec<Action> {
        self.leaving = true;
        let mut actions = Vec::new();
        self.refuse_waiting(
            RefuseReason::Leaving,
            |entry| entry.generated == 0,
            &mut actions,
        );
        self.settle(now, 0, &mut actions);
        actions
    }

    /// Reports that the engine is down. All started requests count as ended, what waits is refused at once, and offers
    /// are refused until [`Admission::on_engine_up`].
    ///
    /// See [`Admission`] for an example.
    pub fn on_engine_down(&mut self) -> Vec<Action> {
        self.down = true;
        for tier in &mut self.tiers {
            tier.running.clear();
        }
        self.entries.retain(|_, entry| !entry.running);
        let mut actions = Vec::new();
        self.refuse_waiting(RefuseReason::ServerDown, |_| true, &mut actions);
        actions
    }

    /// Reports that the engine takes requests again.
    ///
    /// See [`Admission`] for an example.
    pub fn on_engine_up(&mut self) {
        self.down = false;
    }

    /// Returns the load for hints to entries.
    ///
    /// See [`Admission`] for an example.
    #[must_use]
    pub fn load(&self) -> Load {
        let running: usize = self.tiers.iter().map(|tier| tier.running.len()).sum();
        let waiting: usize = self.tiers.iter().map(Tier::waiting).sum();
        let lowest = &self.tiers[self.tiers.len() - 1];
        let busy = self
            .tiers
            .iter()
            .map(|tier| tier.running.len() + tier.waiting());
        Load {
            running: to_u32(running),
            waiting: to_u32(waiting),
            batch_limit: lowest.capacity.limit(),
            token_gap: lowest.capacity.token_gap(to_u32(running)),
            busy_by_tier: busy.map(to_u32).collect(),
            leaving: self.leaving,
        }
    }

    /// Returns the time at which [`Admission::on_tick`] has to be called next; `None` while nothing waits.
    ///
    /// See [`Admission`] for an example.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Duration> {
        self.tiers.iter().filter_map(Tier::next_expiry).min()
    }

    /// Returns whether nothing runs or waits.
    ///
    /// See [`Admission`] for an example.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.entries.is_empty()
    }

    /// Brings all tiers from `first` downward into the state that the places allow. Higher tiers are not affected by
    /// what happened, so they are left alone.
    fn settle(&mut self, now: Duration, first: usize, actions: &mut Vec<Action>) {
        let mut above: u32 = self.tiers[..first].iter().map(Tier::running).sum();
        for tier in first..self.tiers.len() {
            self.expire(now, tier, actions);
            let places = self.places(tier, above);
            let kept = self.places_kept(tier, above);
            let kept = self.places_kept_beside_suspects(tier, above, kept);
            self.preempt_suspect(now, tier, above, actions);
            while self.tiers[tier].running() > kept {
                self.preempt_one(now, tier, actions);
            }
            self.start_suspect(now, tier, above, places, actions);
            let open = self.places_beside_suspects(tier, above, places);
            while self.tiers[tier].running() < open && self.start_one(now, tier, actions) {}
            above += self.tiers[tier].running();
        }
    }

    /// Returns the places that a tier may fill by starting requests when higher tiers use `above` places.
    fn places(&self, tier: usize, above: u32) -> u32 {
        let own = self.tiers[tier].capacity.limit();
        let binding = (0..tier).filter(|higher| self.is_filled(*higher));
        let tightest = binding
            .map(|higher| self.tiers[higher].capacity.limit())
            .min();
        self.places_within(tier, above, own.min(tightest.unwrap_or(own)))
    }

    /// Returns the places that a tier may keep filled. Up to these, a start in a higher tier causes no preemption.
    fn places_kept(&self, tier: usize, above: u32) -> u32 {
        let places = self.places_within(tier, above, self.tiers[tier].capacity.hard_limit());
        places.max(self.places(tier, above))
    }

    /// Returns the speed at which the tier's waiting work is served.
    fn rate(&self, tier: usize, above: u32) -> ServiceRate {
        let places = self.places(tier, above);
        self.tiers[tier].rate(self.places_beside_suspects(tier, above, places))
    }

    fn places_within(&self, tier: usize, above: u32, limit: u32) -> u32 {
        let kept_below = self.settings.reserved_below(tier, limit);
        let left = limit.saturating_sub(kept_below).saturating_sub(above);
        left.max(self.settings.reserved_places(tier, limit)).max(1)
    }

    /// Returns whether a tier and higher ones use nearly all places that they may use. Only then the tier's limit says
    /// something about the engine: lower tiers have no more than the places kept for them.
    fn is_filled(&self, tier: usize) -> bool {
        let limit = self.tiers[tier].capacity.limit();
        self.filled(tier, limit) * 10 >= limit * 9
    }

    /// Returns the places that a tier and higher ones use, with the places kept for lower tiers counted as used.
    fn filled(&self, tier: usize, limit: u32) -> u32 {
        let running: u32 = self.tiers[..=tier].iter().map(Tier::running).sum();
        running + self.settings.reserved_below(tier, limit)
    }

    fn start_one(&mut self, now: Duration, tier: usize, actions: &mut Vec<Action>) -> bool {
        let quantum = self.settings.quantum_tokens;
        let Some(waiting) = self.tiers[tier].queue.pop(now, quantum) else {
            return false;
        };
        self.begin(now, tier, &waiting, actions);
        true
    }

    fn begin(&mut self, now: Duration, tier: usize, waiting: &Waiting, actions: &mut Vec<Action>) {
        let mut suspected = false;
        if let Some(entry) = self.entries.get_mut(&waiting.id) {
            entry.running = true;
            suspected = entry.request.max_company.is_some();
        }
        let running = Running::new(now, waiting, suspected);
        self.tiers[tier].running.insert(waiting.id, running);
        actions.push(Action::Start { id: waiting.id });
    }

    /// Preempts the running request of a tier that wastes least.
    fn preempt_one(&mut self, now: Duration, tier: usize, actions: &mut Vec<Action>) {
        let cost = |id: &AttemptId| {
            let entry = &self.entries[id];
            let lost = !entry.request.resumable && entry.generated > 0;
            (lost, entry.generated, std::cmp::Reverse(*id))
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
        let mut waiting = self.waiting(now, entry);
        waiting.preempted = true;
        waiting.start_by = entry.request.deadline;
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.running = false;
        }
        self.enqueue(tier, waiting);
    }

    fn enqueue(&mut self, tier: usize, waiting: Waiting) {
        let suspected = self
            .entries
            .get(&waiting.id)
            .is_some_and(|entry| entry.request.max_company.is_some());
        if suspected {
            self.tiers[tier].suspects.push(waiting);
        } else {
            self.tiers[tier]
                .queue
                .insert(waiting, self.settings.quantum_tokens);
        }
    }

    fn expire(&mut self, now: Duration, tier: usize, actions: &mut Vec<Action>) {
        let advice = self.backlog_time(tier);
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
            actions.push(refusal(waiting.id, reason, advice));
        }
    }

    /// Refuses the least important request of a tier when its waiting places are exceeded.
    fn shed_overflow(&mut self, tier: usize, priority: u8, actions: &mut Vec<Action>) {
        while self.tiers[tier].queue.len() > self.settings.max_waiting {
            let queue = &self.tiers[tier].queue;
            let Some(id) = queue.least_important(priority).or_else(|| queue.newest()) else {
                return;
            };
            let advice = self.backlog_time(tier);
            self.refuse(id, RefuseReason::QueueFull, advice, actions);
        }
    }

    /// Refuses a request that was just offered if it cannot start in time. Waiting requests of less important classes
    /// make room first.
    fn shed_for(&mut self, now: Duration, id: AttemptId, actions: &mut Vec<Action>) {
        while let Some(entry) = self.entries.get(&id).filter(|entry| !entry.running) {
            let tier = entry.tier;
            let late_starts = self.late_starts(now, tier);
            let Some(found) = late_starts.into_iter().find(|late| late.id == id) else {
                return;
            };
            let victim = self.tiers[tier]
                .queue
                .least_important(found.priority)
                .unwrap_or(id);
            self.refuse(victim, RefuseReason::WaitTooLong, found.excess, actions);
        }
    }

    /// Refuses what can no longer start in time in a tier and the tiers below it.
    fn review(&mut self, now: Duration, first: usize, actions: &mut Vec<Action>) {
        for tier in first..self.tiers.len() {
            let state = &mut self.tiers[tier];
            if now.saturating_sub(state.reviewed_at) < REVIEW_INTERVAL {
                continue;
            }
            state.reviewed_at = now;
            for found in self.late_starts(now, tier) {
                self.refuse(found.id, RefuseReason::WaitTooLong, found.excess, actions);
            }
        }
    }

    fn late_starts(&self, now: Duration, tier: usize) -> Vec<LateStart> {
        let above = self.tiers[..tier].iter().map(Tier::running).sum();
        let rate = self.rate(tier, above);
        self.tiers[tier]
            .queue
            .late_starts(now, rate, self.settings.quantum_tokens)
    }

    /// Returns why offers are refused, if they are.
    fn closed(&self) -> Option<RefuseReason> {
        let down = self.down.then_some(RefuseReason::ServerDown);
        self.leaving.then_some(RefuseReason::Leaving).or(down)
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
        advice: Duration,
        actions: &mut Vec<Action>,
    ) {
        if let Some(entry) = self.entries.remove(&id) {
            self.tiers[entry.tier].remove_waiting(id);
            actions.push(refusal(id, reason, advice));
        }
    }

    /// Returns the time that the tier needs for its waiting work, as retry advice.
    fn backlog_time(&self, tier: usize) -> Duration {
        let above = self.tiers[..tier].iter().map(Tier::running).sum();
        let rate = self.rate(tier, above);
        self.tiers[tier].queue.drain_time(rate)
    }

    fn observe_gap(&mut self, now: Duration, tier: usize, gap: Duration) {
        let lowest = self.tiers.len() - 1;
        for lower in tier..=lowest {
            let limit = self.tiers[lower].capacity.limit();
            let filled = self.filled(lower, limit);
            let is_filled = self.is_filled(lower);
            // The lowest tier sees all work, so each sample fits.
            if self.tiers[lower].is_settled(now, is_filled) || lower == lowest {
                self.tiers[lower].capacity.observe(filled, gap);
            }
        }
    }

    fn waiting(&self, now: Duration, entry: &Entry) -> Waiting {
        let request = &entry.request;
        let class = self.settings.class(&request.class);
        let tokens = self
            .estimator
            .remaining(entry.key(), entry.generated, request.max_tokens);
        let start_by = now + request.wait_limit.min(class.longest_wait);
        let first_token = self.tiers[entry.tier].first_token(&request.class);
        Waiting {
            id: request.id,
            workspace: request.workspace.clone(),
            class: request.class.clone(),
            priority: class.priority,
            on_time_until: now + class.first_token.saturating_sub(first_token),
            start_by: start_by.min(request.deadline),
            tokens,
            preempted: false,
        }
    }

    fn adopt(&mut self, removed: Tier) {
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

pub(crate) fn refusal(id: AttemptId, reason: RefuseReason, advice: Duration) -> Action {
    Action::Refuse {
        id,
        reason,
        retry_after: advice.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
    }
}

pub(crate) fn to_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

//! Decisions and key-value calls of the order log, without waiting for time to pass.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tanagerford_core::ids::{Incarnation, ServerId};
use tanagerford_core::order::{
    BeginOutcome, Change, ChangeOutcome, ClaimId, GateAnswer, LatestClaim, LookupOutcome, OrderKey,
    OrderStep, Owner, Pacer, Page, PageNumber, RecordState, Settlement, Shard, StoredPage,
    WriteOutcome, lookup, resolve_write,
};
use tanagerford_kv::kv::{Call, Commit, KeyValue, Kv};
use tanagerford_sync::lock;

use super::batch::{Batch, BatchPart, BatchPhase};
use super::locked_shard::{LockedShard, QueuedChange, ShardState, ShardView, TicketOutcome};
use super::response_cache::ResponseCache;
use super::{
    ClaimDecision, OrderClock, OrderCounts, OrderRequest, OrderSettings, OrderStatus, RefusalCode,
    SettleOutcome, StoredResponse, Ticket, UnknownCode, UnsettledOrder,
};

/// Maximum sum of the encoded pages in one transaction, in bytes. The key-value service accepts requests of about 1 MB.
const MAX_WRITE_BYTES: usize = 900 << 10;

/// Interval at which keys are removed whose retention has passed.
const PRUNE_INTERVAL: Duration = Duration::from_mins(1);

/// State of the writer; the lock around it admits one writer at a time.
#[derive(Debug, Default)]
struct Writer {
    batch: Option<Batch>,
    /// Number of the last batch, part of the write ids of its pages.
    sequence: u64,
    /// Shard from which the next batch is gathered.
    next_shard: u32,
    prune_at: Duration,
}

/// Result of looking up an order.
enum LookupResult {
    Decided(ClaimDecision),
    /// A claim was queued under this number.
    Enqueued(u64),
    Wait,
}

/// Order log without threads. [`OrderLogCore::step`] makes the calls to the key-value service; the other methods do not
/// block.
pub struct OrderLogCore {
    kv: Arc<dyn Kv>,
    settings: OrderSettings,
    clock: OrderClock,
    shards: Vec<LockedShard>,
    responses: Mutex<ResponseCache>,
    pacer: Mutex<Pacer>,
    writer: Mutex<Writer>,
    /// Lowest incarnation of each server that may still be running. Lower ones are gone.
    min_live_incarnations: Mutex<BTreeMap<ServerId, Incarnation>>,
    is_stopping: AtomicBool,
    calls: AtomicU64,
    writes: AtomicU64,
    conflicts: AtomicU64,
    lost_answers: AtomicU64,
}

impl OrderLogCore {
    /// Creates an order log that has read no shard.
    #[must_use]
    pub fn new(kv: Arc<dyn Kv>, settings: OrderSettings, clock: OrderClock) -> Self {
        let shards = (0..settings.shards.max(1))
            .map(|_| LockedShard::default())
            .collect();
        let own = (settings.owner.server.clone(), settings.owner.incarnation);
        Self {
            kv,
            clock,
            shards,
            responses: Mutex::default(),
            pacer: Mutex::default(),
            writer: Mutex::default(),
            min_live_incarnations: Mutex::new(BTreeMap::from([own])),
            is_stopping: AtomicBool::new(false),
            calls: AtomicU64::new(0),
            writes: AtomicU64::new(0),
            conflicts: AtomicU64::new(0),
            lost_answers: AtomicU64::new(0),
            settings,
        }
    }

    pub(super) fn shard_of(&self, key: &OrderKey) -> u32 {
        key.shard(self.settings.shards)
    }

    pub(super) fn clock(&self) -> &OrderClock {
        &self.clock
    }

    /// Sets the shards that this sidecar owns. Their pages are read at the next step. The local pages of other shards
    /// are dropped unless they have queued changes or running orders.
    pub fn set_owned_shards(&self, shards: &[u32]) {
        for (number, locked) in (0_u32..).zip(&self.shards) {
            let mut state = locked.lock();
            if !shards.contains(&number) {
                if state.queue.is_empty() && state.gate.running() == 0 {
                    state.view = ShardView::Absent;
                }
            } else if matches!(state.view, ShardView::Absent) {
                state.needs_read = true;
                self.on_claim_queued();
            }
        }
    }

    /// Records that `server` runs with `incarnation`, so that its earlier incarnations are gone.
    pub fn observe_alive(&self, server: &str, incarnation: Incarnation) {
        let mut incarnations = lock(&self.min_live_incarnations);
        let lowest = incarnations.entry(server.to_owned()).or_default();
        *lowest = (*lowest).max(incarnation);
        drop(incarnations);
        self.notify_all();
    }

    /// Records that `owner` is gone and will never run an order again.
    pub(super) fn observe_gone(&self, owner: &Owner) {
        self.observe_alive(&owner.server, owner.incarnation.saturating_add(1));
    }

    /// Tries to claim an order. Returns `None` while the order must wait; the next call must pass the same `ticket`.
    pub fn try_claim(&self, order: &OrderRequest, ticket: &mut Ticket) -> Option<ClaimDecision> {
        self.report_step(OrderStep::Lookup);
        let locked = self.locked_shard(&order.key);
        let mut state = locked.lock();
        ticket.seen_version = state.version;
        if let Some(number) = ticket.number {
            let outcome = state.outcomes.remove(&number)?;
            ticket.number = None;
            if let Some(decision) = self.decision_from(outcome) {
                return Some(decision);
            }
        }
        if self.is_stopping.load(Ordering::SeqCst) {
            return Some(self.not_run(RefusalCode::Stopping));
        }
        match self.lookup_order(&mut state, order, !ticket.has_given_up) {
            LookupResult::Decided(decision) => return Some(decision),
            LookupResult::Wait => {}
            LookupResult::Enqueued(number) => ticket.number = Some(number),
        }
        drop(state);
        if ticket.number.is_some() {
            self.report_step(OrderStep::QueueClaim);
            self.on_claim_queued();
        }
        None
    }

    /// Gives up waiting for a claim and returns the decision on the current state.
    pub fn give_up(&self, order: &OrderRequest, ticket: &mut Ticket) -> ClaimDecision {
        ticket.has_given_up = true;
        let locked = self.locked_shard(&order.key);
        let mut state = locked.lock();
        let Some(number) = ticket.number.take() else {
            return self.give_up_waiting(&mut state, order);
        };
        if let Some(outcome) = state.outcomes.remove(&number) {
            let decision = self.decision_from(outcome);
            return decision.unwrap_or_else(|| self.give_up_waiting(&mut state, order));
        }
        if state.take_queued(number).is_some() || !state.gate.is_busy(&order.key) {
            state.gate.claim_failed(&order.key);
            locked.notify(&mut state);
            return self.not_run(RefusalCode::StoreUnavailable);
        }
        state.gate.withdraw(&order.key);
        ClaimDecision::Unknown {
            code: UnknownCode::ClaimUnresolved,
        }
    }

    /// Records that an order has run, and stores its response unless it is `None`. Returns false if the order was not
    /// running.
    pub fn finish(&self, key: &OrderKey, response: impl Into<Option<StoredResponse>>) -> bool {
        self.report_step(OrderStep::KeepAnswer);
        let locked = self.locked_shard(key);
        let mut state = locked.lock();
        let Some(attempt) = state.gate.attempt(key) else {
            return false;
        };
        if !state.gate.finish(self.clock.now(), key) {
            return false;
        }
        if let Some(response) = response.into() {
            lock(&self.responses).insert(
                *key,
                Arc::new(response),
                self.settings.max_response_bytes,
            );
        }
        state.enqueue_untracked(Change::Finish { key: *key, attempt });
        locked.notify(&mut state);
        drop(state);
        self.on_completion_queued();
        true
    }

    /// Records that an order was certainly not sent. Returns false if the order was not running.
    pub fn abandon(&self, key: &OrderKey) -> bool {
        self.report_step(OrderStep::AbandonOrder);
        let locked = self.locked_shard(key);
        let mut state = locked.lock();
        let Some(attempt) = state.gate.attempt(key) else {
            return false;
        };
        if !state.gate.abandon(key) {
            return false;
        }
        state.enqueue_untracked(Change::Release { key: *key, attempt });
        locked.notify(&mut state);
        drop(state);
        self.on_completion_queued();
        true
    }

    /// Records that an order was sent but its response was lost. Returns false if the order was not running.
    pub fn mark_response_lost(&self, key: &OrderKey) -> bool {
        let locked = self.locked_shard(key);
        let mut state = locked.lock();
        let was_running = state.gate.mark_answer_lost(key);
        locked.notify(&mut state);
        was_running
    }

    /// Returns the state of an order for another process. After [`OrderStatus::NotRun`], this sidecar refuses the
    /// order.
    pub fn query(&self, key: &OrderKey) -> OrderStatus {
        self.report_step(OrderStep::AnswerQuery);
        let locked = self.locked_shard(key);
        let mut state = locked.lock();
        match state.gate.query(self.clock.now(), key) {
            GateAnswer::InProgress => OrderStatus::Running,
            GateAnswer::Done => OrderStatus::Done(self.stored_response(key)),
            GateAnswer::Lost => OrderStatus::Unknown,
            GateAnswer::NotRun => self.remote_status(&state, key),
        }
    }

    /// Returns the unfinished orders that other processes claimed, and own orders whose response was lost, in the
    /// shards that were read.
    #[must_use]
    pub fn unsettled(&self) -> Vec<UnsettledOrder> {
        let mut unsettled = Vec::new();
        for locked in &self.shards {
            let state = locked.lock();
            let claimed = state.shard().into_iter().flat_map(Shard::claimed);
            let listed = claimed.filter(|found| {
                *found.owner != self.settings.owner || state.gate.is_lost(&found.record.key)
            });
            unsettled.extend(listed.map(|found| self.unsettled_order(&state, &found)));
        }
        unsettled
    }

    /// Queues an operator's settlement of an order.
    ///
    /// # Errors
    ///
    /// Returns the outcome if the order cannot be settled.
    pub fn begin_settle(
        &self,
        key: &OrderKey,
        settlement: Settlement,
    ) -> Result<Ticket, SettleOutcome> {
        let mut state = self.locked_shard(key).lock();
        let found = state.shard().and_then(|shard| shard.find(key));
        let found = found.filter(|found| found.record.state == RecordState::Claimed);
        let claim = found.ok_or(SettleOutcome::NotUnsettled)?.claim();
        if !self.is_unknown(&state, &claim.owner, key) {
            return Err(SettleOutcome::OwnerAlive);
        }
        let number = state.enqueue(Change::Settle {
            key: *key,
            claim,
            settlement,
        });
        drop(state);
        self.on_claim_queued();
        Ok(Ticket {
            number: Some(number),
            ..Ticket::default()
        })
    }

    /// Returns the outcome of an operator's settlement, or `None` until it is written.
    pub fn try_settle(&self, key: &OrderKey, ticket: &mut Ticket) -> Option<SettleOutcome> {
        let mut state = self.locked_shard(key).lock();
        ticket.seen_version = state.version;
        match state.outcomes.remove(&ticket.number?)? {
            TicketOutcome::Settled => Some(SettleOutcome::Settled),
            _ => Some(SettleOutcome::NotUnsettled),
        }
    }

    /// Gives up waiting for an operator's settlement. A settlement that was not sent yet is withdrawn.
    pub(super) fn give_up_settle(&self, key: &OrderKey, ticket: &mut Ticket) -> SettleOutcome {
        if let Some(outcome) = self.try_settle(key, ticket) {
            return outcome;
        }
        let queued = ticket
            .number
            .and_then(|number| self.locked_shard(key).lock().take_queued(number));
        if queued.is_some() {
            SettleOutcome::NotWritten
        } else {
            SettleOutcome::Unresolved
        }
    }

    /// Refuses new claims from now on and schedules the queued changes for immediate writing.
    pub(super) fn stop_claims(&self) {
        self.is_stopping.store(true, Ordering::SeqCst);
        self.notify_all();
        self.flush_completions();
    }

    /// Returns whether all queued changes are written.
    #[must_use]
    pub fn is_flushed(&self) -> bool {
        let has_no_batch = lock(&self.writer).batch.is_none();
        has_no_batch
            && self
                .shards
                .iter()
                .all(|locked| locked.lock().queue.is_empty())
    }

    /// Returns the counts since the start, and the current sizes.
    #[must_use]
    pub fn counts(&self) -> OrderCounts {
        let mut counts = OrderCounts {
            calls: self.calls.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            conflicts: self.conflicts.load(Ordering::Relaxed),
            lost_answers: self.lost_answers.load(Ordering::Relaxed),
            answer_bytes: lock(&self.responses).bytes() as u64,
            ..OrderCounts::default()
        };
        for locked in &self.shards {
            let state = locked.lock();
            let Some(shard) = state.shard() else { continue };
            counts.keys += shard.key_count() as u64;
            counts.pages += shard.page_count() as u64;
            counts.unknown_orders += shard
                .claimed()
                .filter(|found| self.is_unknown(&state, found.owner, &found.record.key))
                .count() as u64;
        }
        counts
    }

    /// Blocks until the shard of `key` has changed since the last attempt with `ticket`, at most for `wait`.
    pub(super) fn wait(&self, key: &OrderKey, ticket: &Ticket, wait: Duration) {
        self.locked_shard(key).wait(ticket.seen_version, wait);
    }

    /// Returns the time at which [`OrderLogCore::step`] has calls to make, or `None` if nothing is queued.
    #[must_use]
    pub fn due_at(&self) -> Option<Duration> {
        lock(&self.pacer).due_at()
    }

    /// Makes the calls to the key-value service that are due and returns the time of the next ones. Blocks while the
    /// calls are in flight and is meant for one thread.
    pub fn step(&self) -> Option<Duration> {
        let mut writer = lock(&self.writer);
        let now = self.clock.now();
        self.prune(&mut writer, now);
        if self.due_at()? > now {
            return self.due_at();
        }
        lock(&self.pacer).clear();
        if writer.batch.is_none() {
            self.read_requested_shards();
            self.report_step(OrderStep::Gather);
            writer.batch = self.gather(&mut writer);
        }
        if let Some(batch) = writer.batch.take() {
            lock(&self.pacer).start(&self.settings.pacer, now);
            writer.batch = self.advance(batch);
        }
        self.reschedule_waiting();
        self.due_at()
    }

    fn report_step(&self, step: OrderStep) {
        if let Some(step_hook) = &self.settings.step_hook {
            step_hook(step);
        }
    }

    fn locked_shard(&self, key: &OrderKey) -> &LockedShard {
        &self.shards[self.shard_of(key) as usize]
    }

    fn on_claim_queued(&self) {
        lock(&self.pacer).on_claim_queued(self.clock.now());
    }

    fn on_completion_queued(&self) {
        if self.is_stopping.load(Ordering::SeqCst) {
            self.on_claim_queued();
        } else {
            lock(&self.pacer).on_completion_queued(&self.settings.pacer, self.clock.now());
        }
    }

    fn flush_completions(&self) {
        if self
            .shards
            .iter()
            .any(|locked| !locked.lock().queue.is_empty())
        {
            self.on_claim_queued();
        }
    }

    /// Schedules the changes that are still queued after a step, such as those queued while a batch was unresolved.
    fn reschedule_waiting(&self) {
        for locked in &self.shards {
            let state = locked.lock();
            if state.needs_read || state.queue.iter().any(QueuedChange::is_claim) {
                self.on_claim_queued();
            } else if !state.queue.is_empty() {
                self.on_completion_queued();
            }
        }
    }

    fn on_call_failure(&self) {
        lock(&self.pacer).on_call_failure(&self.settings.pacer, self.clock.now());
    }

    fn notify_all(&self) {
        for locked in &self.shards {
            locked.notify(&mut locked.lock());
        }
    }

    fn is_gone(&self, owner: &Owner) -> bool {
        let incarnations = lock(&self.min_live_incarnations);
        incarnations
            .get(&owner.server)
            .is_some_and(|lowest| owner.incarnation < *lowest)
    }

    /// Returns whether only an operator can determine whether a claimed order ran.
    fn is_unknown(&self, state: &ShardState, owner: &Owner, key: &OrderKey) -> bool {
        self.is_gone(owner) || (*owner == self.settings.owner && state.gate.is_lost(key))
    }

    fn not_run(&self, code: RefusalCode) -> ClaimDecision {
        ClaimDecision::NotRun {
            code,
            retry_after: self.settings.retry_after,
        }
    }

    fn stored_response(&self, key: &OrderKey) -> Option<Arc<StoredResponse>> {
        lock(&self.responses).get(key)
    }

    fn response_decision(&self, key: &OrderKey) -> ClaimDecision {
        let lost = ClaimDecision::Unknown {
            code: UnknownCode::ResponseLost,
        };
        self.stored_response(key)
            .map_or(lost, ClaimDecision::Answered)
    }

    fn decision_from(&self, outcome: TicketOutcome) -> Option<ClaimDecision> {
        match outcome {
            TicketOutcome::Started(claim) => Some(ClaimDecision::Run(claim)),
            TicketOutcome::Full => Some(self.not_run(RefusalCode::LogFull)),
            TicketOutcome::LookupAgain | TicketOutcome::Settled | TicketOutcome::NotUnsettled => {
                None
            }
        }
    }

    fn lookup_order(
        &self,
        state: &mut ShardState,
        order: &OrderRequest,
        can_refresh: bool,
    ) -> LookupResult {
        let (shard, read_at) = match &state.view {
            ShardView::Unreadable { read_at } if can_refresh && self.is_stale(*read_at) => {
                return self.request_read(state);
            }
            ShardView::Unreadable { .. } => {
                return LookupResult::Decided(self.not_run(RefusalCode::LogUnreadable));
            }
            ShardView::Absent => return self.request_read(state),
            ShardView::Loaded { shard, read_at } => (shard, *read_at),
        };
        let (key, own, gate) = (&order.key, &self.settings.owner, &state.gate);
        let is_gone = |owner: &Owner| self.is_gone(owner);
        let found = lookup(
            own,
            shard,
            gate,
            key,
            order.body,
            order.released.as_ref(),
            is_gone,
        );
        let is_claimed_elsewhere = matches!(
            found,
            LookupOutcome::ClaimedElsewhere(_)
                | LookupOutcome::OwnerGone
                | LookupOutcome::AnswerLost
        );
        if is_claimed_elsewhere && can_refresh && self.is_stale(read_at) {
            return self.request_read(state);
        }
        let unknown = |code| LookupResult::Decided(ClaimDecision::Unknown { code });
        match found {
            LookupOutcome::Claim(released) => self.begin_claim(state, order, released),
            LookupOutcome::Wait => LookupResult::Wait,
            LookupOutcome::Answered => LookupResult::Decided(self.response_decision(key)),
            LookupOutcome::BodyMismatch => LookupResult::Decided(ClaimDecision::BodyMismatch),
            LookupOutcome::ClaimedElsewhere(claim) => {
                LookupResult::Decided(ClaimDecision::ClaimedElsewhere(claim))
            }
            LookupOutcome::AnswerLost => unknown(UnknownCode::ResponseLost),
            LookupOutcome::CallLost => unknown(UnknownCode::CallLost),
            LookupOutcome::OwnerGone => unknown(UnknownCode::OwnerGone),
            LookupOutcome::SettledRan => unknown(UnknownCode::SettledRan),
        }
    }

    fn is_stale(&self, read_at: Duration) -> bool {
        self.clock.now() > read_at + self.settings.max_view_age
    }

    fn request_read(&self, state: &mut ShardState) -> LookupResult {
        state.needs_read = true;
        self.on_claim_queued();
        LookupResult::Wait
    }

    fn begin_claim(
        &self,
        state: &mut ShardState,
        order: &OrderRequest,
        released: Option<ClaimId>,
    ) -> LookupResult {
        match state
            .gate
            .begin(&self.settings.gate, self.clock.now(), &order.key)
        {
            BeginOutcome::Busy => LookupResult::Wait,
            BeginOutcome::Done => LookupResult::Decided(self.response_decision(&order.key)),
            BeginOutcome::Lost => LookupResult::Decided(ClaimDecision::Unknown {
                code: UnknownCode::CallLost,
            }),
            BeginOutcome::Refused => LookupResult::Decided(self.not_run(RefusalCode::Refused)),
            BeginOutcome::Full => LookupResult::Decided(self.not_run(RefusalCode::LogFull)),
            BeginOutcome::Claim => {
                let (key, body) = (order.key, order.body);
                LookupResult::Enqueued(state.enqueue(Change::Claim {
                    key,
                    body,
                    released,
                }))
            }
        }
    }

    fn give_up_waiting(&self, state: &mut ShardState, order: &OrderRequest) -> ClaimDecision {
        if state.gate.is_withdrawn(&order.key) {
            return ClaimDecision::Unknown {
                code: UnknownCode::ClaimUnresolved,
            };
        }
        if state.gate.is_busy(&order.key) {
            return ClaimDecision::InProgress;
        }
        match self.lookup_order(state, order, false) {
            LookupResult::Decided(decision) => decision,
            LookupResult::Wait => self.not_run(RefusalCode::StoreUnavailable),
            LookupResult::Enqueued(number) => {
                state.take_queued(number);
                state.gate.claim_failed(&order.key);
                self.not_run(RefusalCode::StoreUnavailable)
            }
        }
    }

    fn remote_status(&self, state: &ShardState, key: &OrderKey) -> OrderStatus {
        let found = state.shard().and_then(|shard| shard.find(key));
        let Some(found) = found.filter(|found| *found.owner != self.settings.owner) else {
            return OrderStatus::NotRun;
        };
        match found.record.state {
            RecordState::Done | RecordState::SettledRan => OrderStatus::Done(None),
            RecordState::Claimed if self.is_gone(found.owner) => OrderStatus::Unknown,
            _ => OrderStatus::NotRun,
        }
    }

    fn unsettled_order(&self, state: &ShardState, found: &LatestClaim<'_>) -> UnsettledOrder {
        UnsettledOrder {
            key: found.record.key,
            claim: found.claim(),
            claimed_at: found.record.changed_at,
            is_unknown: self.is_unknown(state, found.owner, &found.record.key),
        }
    }

    fn prune(&self, writer: &mut Writer, now: Duration) {
        if now < writer.prune_at {
            return;
        }
        writer.prune_at = now + PRUNE_INTERVAL;
        for locked in &self.shards {
            locked.lock().gate.prune(&self.settings.gate, now);
        }
    }

    fn read_requested_shards(&self) {
        for (number, locked) in (0_u32..).zip(&self.shards) {
            if !locked.lock().needs_read {
                continue;
            }
            if !self.read_shard(number) {
                return self.on_call_failure();
            }
        }
    }

    /// Reads the pages of a shard. Returns false if the call failed.
    fn read_shard(&self, number: u32) -> bool {
        self.report_step(OrderStep::LoadShard);
        self.calls.fetch_add(1, Ordering::Relaxed);
        let Call::Done(entries) = self
            .kv
            .list(&self.shard_prefix(number), self.settings.call_timeout)
        else {
            return false;
        };
        let pages: Option<Vec<(PageNumber, StoredPage)>> =
            entries.iter().map(decode_page).collect();
        let locked = &self.shards[number as usize];
        let mut state = locked.lock();
        state.needs_read = false;
        state.view = match pages {
            Some(pages) => ShardView::Loaded {
                shard: Shard::load(pages),
                read_at: self.clock.now(),
            },
            None => ShardView::Unreadable {
                read_at: self.clock.now(),
            },
        };
        locked.notify(&mut state);
        true
    }

    /// Collects the queued changes of all shards into one batch, up to the size of one transaction.
    fn gather(&self, writer: &mut Writer) -> Option<Batch> {
        writer.sequence += 1;
        let mut parts = Vec::new();
        let mut bytes = 0;
        let shards = self.settings.shards.max(1);
        for offset in 0..shards {
            let shard = (writer.next_shard + offset) % shards;
            if bytes >= MAX_WRITE_BYTES / 2 {
                writer.next_shard = shard;
                self.on_claim_queued();
                break;
            }
            if let Some(part) = self.gather_shard(shard, writer.sequence) {
                bytes += part
                    .staged
                    .puts
                    .iter()
                    .map(|put| put.page.encoded_bytes())
                    .sum::<usize>();
                parts.push(part);
            }
        }
        let batch = Batch {
            parts,
            phase: BatchPhase::Send,
            has_lost_response: false,
        };
        (!batch.parts.is_empty()).then_some(batch)
    }

    fn gather_shard(&self, number: u32, sequence: u64) -> Option<BatchPart> {
        let locked = &self.shards[number as usize];
        let mut state = locked.lock();
        if state.queue.is_empty() {
            return None;
        }
        if state.shard().is_none() {
            state.needs_read = true;
            if matches!(state.view, ShardView::Unreadable { .. }) {
                self.on_call_failure();
            }
            return None;
        }
        let queued = std::mem::take(&mut state.queue);
        let changes: Vec<Change> = queued.iter().map(|queued| queued.change.clone()).collect();
        let (settings, unix_now) = (&self.settings, self.clock.unix_now());
        let staged = state.shard()?.stage(
            &settings.owner,
            sequence,
            unix_now,
            &settings.pages,
            &changes,
        );
        Some(BatchPart {
            shard: number,
            queued,
            staged,
        })
    }

    /// Makes the calls of a batch. Returns the batch if its result is still unknown.
    fn advance(&self, mut batch: Batch) -> Option<Batch> {
        loop {
            let next = match batch.phase {
                BatchPhase::Send => self.send(&batch),
                BatchPhase::ReadBack => self.read_back(&batch),
                BatchPhase::Reconcile => {
                    self.reconcile(&mut batch);
                    BatchStep::Retry
                }
            };
            match next {
                BatchStep::Applied(revision) => {
                    lock(&self.pacer).on_call_success();
                    self.apply(batch.parts, revision);
                    return None;
                }
                BatchStep::NoEffect => {
                    self.requeue_batch(batch.parts);
                    self.on_call_failure();
                    return None;
                }
                BatchStep::Continue(phase) => batch.phase = phase,
                BatchStep::ResponseLost => {
                    self.lost_answers.fetch_add(1, Ordering::Relaxed);
                    batch.has_lost_response = true;
                    batch.phase = BatchPhase::ReadBack;
                    self.on_call_failure();
                    return Some(batch);
                }
                BatchStep::Retry if batch.parts.is_empty() => return None,
                BatchStep::Retry => {
                    self.on_call_failure();
                    return Some(batch);
                }
            }
        }
    }

    fn send(&self, batch: &Batch) -> BatchStep {
        if batch.first_put().is_none() {
            return BatchStep::Applied(0);
        }
        let transaction = batch.transaction(|shard, page| self.page_key(shard, page));
        self.report_step(OrderStep::SendWrite);
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.writes.fetch_add(1, Ordering::Relaxed);
        let response = self.kv.commit(&transaction, self.settings.call_timeout);
        self.report_step(OrderStep::WriteAnswered);
        match response {
            Call::Done(Commit::Applied(revision)) => BatchStep::Applied(revision),
            Call::Done(Commit::Conflict) => {
                self.conflicts.fetch_add(1, Ordering::Relaxed);
                BatchStep::Continue(BatchPhase::Reconcile)
            }
            Call::Refused(_) if batch.has_lost_response => BatchStep::ResponseLost,
            Call::Refused(_) => BatchStep::NoEffect,
            Call::Unknown => BatchStep::ResponseLost,
        }
    }

    fn read_back(&self, batch: &Batch) -> BatchStep {
        let Some((shard, put)) = batch.first_put() else {
            return BatchStep::Applied(0);
        };
        self.report_step(OrderStep::ReadBack);
        self.calls.fetch_add(1, Ordering::Relaxed);
        let key = self.page_key(shard, put.number);
        let Call::Done(found) = self.kv.get(&key, self.settings.call_timeout) else {
            return BatchStep::Retry;
        };
        let found = found.as_ref().map(decode_page);
        let found = match &found {
            None => None,
            Some(Some((_, stored))) => Some(stored),
            Some(None) => return BatchStep::Continue(BatchPhase::Reconcile),
        };
        match resolve_write(put, found) {
            WriteOutcome::Applied(revision) => BatchStep::Applied(revision),
            WriteOutcome::Pending => BatchStep::Continue(BatchPhase::Send),
            WriteOutcome::Superseded => BatchStep::Continue(BatchPhase::Reconcile),
        }
    }

    /// Reads the shards of a batch again after a page had changed, and searches them for the claims of the batch. Found
    /// claims are started; the other changes are queued again.
    fn reconcile(&self, batch: &mut Batch) {
        while let Some(part) = batch.parts.last() {
            if !self.read_shard(part.shard) {
                return;
            }
            if let Some(part) = batch.parts.pop() {
                self.reconcile_part(part);
            }
        }
        lock(&self.pacer).on_call_success();
    }

    fn reconcile_part(&self, mut part: BatchPart) {
        let locked = &self.shards[part.shard as usize];
        let mut unwritten = Vec::new();
        let mut started = Vec::new();
        let mut state = locked.lock();
        for (queued, outcome) in part.queued.drain(..).zip(part.staged.outcomes.drain(..)) {
            let is_written = match outcome {
                ChangeOutcome::Claimed(attempt) => {
                    let claim = ClaimId {
                        owner: self.settings.owner.clone(),
                        attempt,
                    };
                    state
                        .shard()
                        .is_some_and(|shard| shard.is_latest_claim(queued.key(), &claim))
                }
                _ => false,
            };
            if is_written {
                started.push((queued, outcome));
            } else {
                unwritten.push(queued);
            }
        }
        self.requeue_changes(&mut state, unwritten);
        locked.notify(&mut state);
        drop(state);
        self.apply_outcomes(locked, started);
    }

    fn apply(&self, parts: Vec<BatchPart>, revision: u64) {
        self.report_step(OrderStep::ApplyWrite);
        for part in parts {
            let locked = &self.shards[part.shard as usize];
            if let ShardView::Loaded { shard, .. } = &mut locked.lock().view {
                shard.commit(&part.staged, revision);
            }
            let changes = part
                .changes()
                .map(|(queued, outcome)| (queued.clone(), outcome))
                .collect();
            self.apply_outcomes(locked, changes);
        }
    }

    /// Applies the outcomes of changes that were written.
    fn apply_outcomes(&self, locked: &LockedShard, changes: Vec<(QueuedChange, ChangeOutcome)>) {
        if changes
            .iter()
            .any(|(_, outcome)| matches!(outcome, ChangeOutcome::Claimed(_)))
        {
            self.report_step(OrderStep::StartOrder);
        }
        let mut state = locked.lock();
        let mut deferred = Vec::new();
        for (queued, outcome) in changes {
            match outcome {
                ChangeOutcome::Claimed(attempt) => self.start(&mut state, &queued, attempt),
                ChangeOutcome::Deferred => deferred.push(queued),
                ChangeOutcome::Exists => {
                    fail_claim(&mut state, &queued, TicketOutcome::LookupAgain);
                }
                ChangeOutcome::Full => fail_claim(&mut state, &queued, TicketOutcome::Full),
                ChangeOutcome::Changed => {
                    if let Change::Settle {
                        key, settlement, ..
                    } = &queued.change
                    {
                        state.gate.settle(key, *settlement);
                    }
                    set_outcome(&mut state, &queued, TicketOutcome::Settled);
                }
                ChangeOutcome::NoEffect => {
                    set_outcome(&mut state, &queued, TicketOutcome::NotUnsettled);
                }
            }
        }
        self.requeue_changes(&mut state, deferred);
        locked.notify(&mut state);
    }

    fn start(&self, state: &mut ShardState, queued: &QueuedChange, attempt: u32) {
        let key = *queued.key();
        if state.gate.start(self.clock.now(), &key, attempt) {
            let claim = ClaimId {
                owner: self.settings.owner.clone(),
                attempt,
            };
            return set_outcome(state, queued, TicketOutcome::Started(claim));
        }
        state.enqueue_untracked(Change::Release { key, attempt });
        self.on_completion_queued();
    }

    fn requeue_batch(&self, parts: Vec<BatchPart>) {
        for part in parts {
            let locked = &self.shards[part.shard as usize];
            let mut state = locked.lock();
            self.requeue_changes(&mut state, part.queued);
            locked.notify(&mut state);
        }
    }

    /// Puts unwritten changes back at the front of the queue, except claims that were given up.
    fn requeue_changes(&self, state: &mut ShardState, changes: Vec<QueuedChange>) {
        let mut queue = Vec::new();
        for queued in changes {
            if queued.is_claim() && !state.gate.is_claiming(queued.key()) {
                state.gate.claim_failed(queued.key());
            } else {
                queue.push(queued);
            }
        }
        if !queue.is_empty() {
            self.on_claim_queued();
        }
        queue.append(&mut state.queue);
        state.queue = queue;
    }

    fn shard_prefix(&self, shard: u32) -> String {
        format!("orders/{}/{shard:04}/", self.settings.pool)
    }

    fn page_key(&self, shard: u32, page: PageNumber) -> String {
        format!("{}{page:010}", self.shard_prefix(shard))
    }
}

/// Result of a call of a batch.
enum BatchStep {
    /// The transaction was applied at this revision.
    Applied(u64),
    /// The transaction certainly had no effect.
    NoEffect,
    /// The batch continues with this phase at once.
    Continue(BatchPhase),
    ResponseLost,
    /// The same phase must be tried again after a delay.
    Retry,
}

fn set_outcome(state: &mut ShardState, queued: &QueuedChange, outcome: TicketOutcome) {
    if let Some(ticket) = queued.ticket {
        state.outcomes.insert(ticket, outcome);
    }
}

fn fail_claim(state: &mut ShardState, queued: &QueuedChange, outcome: TicketOutcome) {
    let is_waiting = state.gate.is_claiming(queued.key());
    state.gate.claim_failed(queued.key());
    if is_waiting {
        set_outcome(state, queued, outcome);
    }
}

fn decode_page(entry: &KeyValue) -> Option<(PageNumber, StoredPage)> {
    let (_, number) = entry.key.rsplit_once('/')?;
    let page = Page::decode(&entry.value).ok()?;
    Some((
        number.parse().ok()?,
        StoredPage {
            page,
            revision: entry.mod_revision,
        },
    ))
}

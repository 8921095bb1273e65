//! Decisions and key-value calls of the order log, without waiting.

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

use super::answers::Answers;
use super::batch::{Batch, Part, Phase};
use super::cell::{Cell, Outcome, Queued, State, View};
use super::{
    ClaimDecision, KeptAnswer, OrderClock, OrderCounts, OrderRequest, OrderSettings, OrderStatus,
    RefusalCode, SettleOutcome, Ticket, UnknownCode, UnsettledOrder,
};

/// Largest sum of encoded pages in one transaction, which the key-value service takes as one request of about 1 MB.
const MAX_WRITE_BYTES: usize = 900 << 10;

/// Time between two searches for keys whose retention has passed.
const PRUNE_INTERVAL: Duration = Duration::from_mins(1);

/// State of the one writer.
#[derive(Debug, Default)]
struct Writer {
    batch: Option<Batch>,
    sequence: u64,
    next_shard: u32,
    prune_at: Duration,
}

/// Result of looking an order up.
enum Looked {
    Decided(ClaimDecision),
    Enqueued(u64),
    Wait,
}

/// Order log without threads: [`OrderBook::step`] makes the calls to the key-value service, and the other methods
/// return at once.
pub struct OrderBook {
    kv: Arc<dyn Kv>,
    settings: OrderSettings,
    clock: OrderClock,
    cells: Vec<Cell>,
    answers: Mutex<Answers>,
    pacer: Mutex<Pacer>,
    writer: Mutex<Writer>,
    /// Lowest incarnation of each server that is not known to be gone.
    lowest_alive: Mutex<BTreeMap<ServerId, Incarnation>>,
    stopping: AtomicBool,
    calls: AtomicU64,
    writes: AtomicU64,
    conflicts: AtomicU64,
    lost_answers: AtomicU64,
}

impl OrderBook {
    /// Returns an order log that has read nothing yet.
    #[must_use]
    pub fn new(kv: Arc<dyn Kv>, settings: OrderSettings, clock: OrderClock) -> Self {
        let cells = (0..settings.shards.max(1))
            .map(|_| Cell::default())
            .collect();
        let own = (settings.owner.server.clone(), settings.owner.incarnation);
        Self {
            kv,
            clock,
            cells,
            answers: Mutex::default(),
            pacer: Mutex::default(),
            writer: Mutex::default(),
            lowest_alive: Mutex::new(BTreeMap::from([own])),
            stopping: AtomicBool::new(false),
            calls: AtomicU64::new(0),
            writes: AtomicU64::new(0),
            conflicts: AtomicU64::new(0),
            lost_answers: AtomicU64::new(0),
            settings,
        }
    }

    /// Returns the shard of `key`.
    #[must_use]
    pub fn shard_of(&self, key: &OrderKey) -> u32 {
        key.shard(self.settings.shards)
    }

    /// Returns the clock.
    #[must_use]
    pub fn clock(&self) -> &OrderClock {
        &self.clock
    }

    /// Takes over these shards: their pages are read at the next step, and other shards without work are forgotten.
    pub fn own_shards(&self, shards: &[u32]) {
        for (number, cell) in (0_u32..).zip(&self.cells) {
            let mut state = cell.lock();
            if !shards.contains(&number) {
                if state.queue.is_empty() && state.gate.running() == 0 {
                    state.view = View::Absent;
                }
            } else if matches!(state.view, View::Absent) {
                state.wants_read = true;
                self.note_claim();
            }
        }
    }

    /// Notes that `server` runs with `incarnation`; its earlier incarnations are gone.
    pub fn observe_alive(&self, server: &str, incarnation: Incarnation) {
        let mut lowest = lock(&self.lowest_alive);
        let entry = lowest.entry(server.to_owned()).or_default();
        *entry = (*entry).max(incarnation);
        drop(lowest);
        self.notify_all();
    }

    /// Notes that this process is gone and will never run an order again.
    pub fn observe_gone(&self, owner: &Owner) {
        self.observe_alive(&owner.server, owner.incarnation.saturating_add(1));
    }

    /// Tries to claim an order. Returns `None` while the order has to wait; the same `ticket` is to be passed again.
    pub fn try_claim(&self, order: &OrderRequest, ticket: &mut Ticket) -> Option<ClaimDecision> {
        self.pass(OrderStep::Lookup);
        let cell = self.cell(&order.key);
        let mut state = cell.lock();
        ticket.seen_version = state.version;
        if let Some(number) = ticket.number {
            let outcome = state.outcomes.remove(&number)?;
            ticket.number = None;
            if let Some(decision) = self.decide(outcome) {
                return Some(decision);
            }
        }
        if self.stopping.load(Ordering::SeqCst) {
            return Some(self.not_run(RefusalCode::Stopping));
        }
        match self.look(&mut state, order, !ticket.waited) {
            Looked::Decided(decision) => return Some(decision),
            Looked::Wait => {}
            Looked::Enqueued(number) => ticket.number = Some(number),
        }
        drop(state);
        if ticket.number.is_some() {
            self.pass(OrderStep::QueueClaim);
            self.note_claim();
        }
        None
    }

    /// Gives up waiting for a claim at its deadline and returns what is known then.
    pub fn give_up(&self, order: &OrderRequest, ticket: &mut Ticket) -> ClaimDecision {
        ticket.waited = true;
        let cell = self.cell(&order.key);
        let mut state = cell.lock();
        let Some(number) = ticket.number.take() else {
            return self.give_up_waiting(&mut state, order);
        };
        if let Some(outcome) = state.outcomes.remove(&number) {
            let decision = self.decide(outcome);
            return decision.unwrap_or_else(|| self.give_up_waiting(&mut state, order));
        }
        if state.take_queued(number).is_some() || !state.gate.is_busy(&order.key) {
            state.gate.claim_failed(&order.key);
            cell.notify(&mut state);
            return self.not_run(RefusalCode::StoreUnavailable);
        }
        state.gate.withdraw(&order.key);
        ClaimDecision::Unknown {
            code: UnknownCode::ClaimUnresolved,
        }
    }

    /// Keeps the answer of an order that was run. Returns false if the order was not running.
    pub fn finish(&self, key: &OrderKey, answer: impl Into<Option<KeptAnswer>>) -> bool {
        self.pass(OrderStep::KeepAnswer);
        let cell = self.cell(key);
        let mut state = cell.lock();
        let Some(attempt) = state.gate.attempt(key) else {
            return false;
        };
        if !state.gate.finish(self.clock.now(), key) {
            return false;
        }
        if let Some(answer) = answer.into() {
            lock(&self.answers).keep(*key, Arc::new(answer), self.settings.answer_bytes);
        }
        state.enqueue_untracked(Change::Finish { key: *key, attempt });
        cell.notify(&mut state);
        drop(state);
        self.note_completion();
        true
    }

    /// Notes that an order that was to be run was certainly not sent. Returns false if the order was not running.
    pub fn abandon(&self, key: &OrderKey) -> bool {
        self.pass(OrderStep::AbandonOrder);
        let cell = self.cell(key);
        let mut state = cell.lock();
        let Some(attempt) = state.gate.attempt(key) else {
            return false;
        };
        if !state.gate.abandon(key) {
            return false;
        }
        state.enqueue_untracked(Change::Release { key: *key, attempt });
        cell.notify(&mut state);
        drop(state);
        self.note_completion();
        true
    }

    /// Notes that an order was sent and that its answer was lost. Returns false if the order was not running.
    pub fn lose(&self, key: &OrderKey) -> bool {
        let cell = self.cell(key);
        let mut state = cell.lock();
        let lost = state.gate.mark_answer_lost(key);
        cell.notify(&mut state);
        lost
    }

    /// Answers another process that asks about an order. Not-run is made true before it is said.
    pub fn query(&self, key: &OrderKey) -> OrderStatus {
        self.pass(OrderStep::AnswerQuery);
        let cell = self.cell(key);
        let mut state = cell.lock();
        match state.gate.query(self.clock.now(), key) {
            GateAnswer::InProgress => OrderStatus::Running,
            GateAnswer::Done => OrderStatus::Done(self.kept(key)),
            GateAnswer::Lost => OrderStatus::Unknown,
            GateAnswer::NotRun => self.status_elsewhere(&state, key),
        }
    }

    /// Lists orders that other processes claimed and that are not known to be finished, in the shards that were read.
    #[must_use]
    pub fn unsettled(&self) -> Vec<UnsettledOrder> {
        let mut unsettled = Vec::new();
        for cell in &self.cells {
            let state = cell.lock();
            let claimed = state.shard().into_iter().flat_map(Shard::claimed);
            let shown = claimed.filter(|found| {
                *found.owner != self.settings.owner || state.gate.is_lost(&found.record.key)
            });
            unsettled.extend(shown.map(|found| self.unsettled_order(&state, &found)));
        }
        unsettled
    }

    /// Begins to write an operator's statement about an unsettled order.
    ///
    /// # Errors
    ///
    /// Returns the outcome if nothing is to be written.
    pub fn begin_settle(&self, key: &OrderKey, how: Settlement) -> Result<Ticket, SettleOutcome> {
        let mut state = self.cell(key).lock();
        let found = state.shard().and_then(|shard| shard.find(key));
        let found = found.filter(|found| found.record.state == RecordState::Claimed);
        let claim = found.ok_or(SettleOutcome::NotUnsettled)?.claim();
        if !self.is_unknown(&state, &claim.owner, key) {
            return Err(SettleOutcome::OwnerAlive);
        }
        let number = state.enqueue(Change::Settle {
            key: *key,
            claim,
            settlement: how,
        });
        drop(state);
        self.note_claim();
        Ok(Ticket {
            number: Some(number),
            ..Ticket::default()
        })
    }

    /// Returns the outcome of an operator's statement, or `None` while it waits.
    pub fn try_settle(&self, key: &OrderKey, ticket: &mut Ticket) -> Option<SettleOutcome> {
        let mut state = self.cell(key).lock();
        ticket.seen_version = state.version;
        match state.outcomes.remove(&ticket.number?)? {
            Outcome::Settled => Some(SettleOutcome::Settled),
            _ => Some(SettleOutcome::NotUnsettled),
        }
    }

    /// Gives up waiting for an operator's statement.
    pub fn give_up_settle(&self, key: &OrderKey, ticket: &mut Ticket) -> SettleOutcome {
        if let Some(outcome) = self.try_settle(key, ticket) {
            return outcome;
        }
        let queued = ticket
            .number
            .and_then(|number| self.cell(key).lock().take_queued(number));
        if queued.is_some() {
            SettleOutcome::NotWritten
        } else {
            SettleOutcome::Unresolved
        }
    }

    /// Refuses new claims from now on.
    pub fn stop_claims(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        self.notify_all();
        self.flush_completions();
    }

    /// Returns whether all changes are written.
    #[must_use]
    pub fn is_flushed(&self) -> bool {
        let written = lock(&self.writer).batch.is_none();
        written && self.cells.iter().all(|cell| cell.lock().queue.is_empty())
    }

    /// Returns the counts.
    #[must_use]
    pub fn counts(&self) -> OrderCounts {
        let mut counts = OrderCounts {
            calls: self.calls.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            conflicts: self.conflicts.load(Ordering::Relaxed),
            lost_answers: self.lost_answers.load(Ordering::Relaxed),
            answer_bytes: lock(&self.answers).bytes() as u64,
            ..OrderCounts::default()
        };
        for cell in &self.cells {
            let state = cell.lock();
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

    /// Waits until something changed for the holder of `ticket`, at most `wait`.
    pub(super) fn wait(&self, key: &OrderKey, ticket: &Ticket, wait: Duration) {
        self.cell(key).wait(ticket.seen_version, wait);
    }

    /// Returns when [`OrderBook::step`] has work, or `None` if nothing waits.
    #[must_use]
    pub fn due_at(&self) -> Option<Duration> {
        lock(&self.pacer).due_at()
    }

    /// Makes the calls to the key-value service that are due and returns when the next ones will be. Blocks for the
    /// time of the calls; one thread calls it.
    pub fn step(&self) -> Option<Duration> {
        let mut writer = lock(&self.writer);
        let now = self.clock.now();
        self.prune(&mut writer, now);
        if self.due_at()? > now {
            return self.due_at();
        }
        lock(&self.pacer).clear();
        if writer.batch.is_none() {
            self.read_wanted();
            self.pass(OrderStep::Gather);
            writer.batch = self.gather(&mut writer);
        }
        if let Some(batch) = writer.batch.take() {
            lock(&self.pacer).start(&self.settings.pacer, now);
            writer.batch = self.advance(batch);
        }
        self.note_waiting();
        self.due_at()
    }

    fn pass(&self, step: OrderStep) {
        if let Some(hook) = &self.settings.hook {
            hook(step);
        }
    }

    fn cell(&self, key: &OrderKey) -> &Cell {
        &self.cells[self.shard_of(key) as usize]
    }

    fn note_claim(&self) {
        lock(&self.pacer).on_claim_queued(self.clock.now());
    }

    fn note_completion(&self) {
        if self.stopping.load(Ordering::SeqCst) {
            self.note_claim();
        } else {
            lock(&self.pacer).on_completion_queued(&self.settings.pacer, self.clock.now());
        }
    }

    fn flush_completions(&self) {
        if self.cells.iter().any(|cell| !cell.lock().queue.is_empty()) {
            self.note_claim();
        }
    }

    /// Notes what still waits after a step, for example changes that were queued while a batch was unresolved.
    fn note_waiting(&self) {
        for cell in &self.cells {
            let state = cell.lock();
            if state.wants_read || state.queue.iter().any(Queued::is_claim) {
                self.note_claim();
            } else if !state.queue.is_empty() {
                self.note_completion();
            }
        }
    }

    fn note_failure(&self) {
        lock(&self.pacer).on_call_failure(&self.settings.pacer, self.clock.now());
    }

    fn notify_all(&self) {
        for cell in &self.cells {
            cell.notify(&mut cell.lock());
        }
    }

    fn is_gone(&self, owner: &Owner) -> bool {
        let lowest = lock(&self.lowest_alive);
        lowest
            .get(&owner.server)
            .is_some_and(|lowest| owner.incarnation < *lowest)
    }

    /// Returns whether only an operator can tell what became of a claimed order.
    fn is_unknown(&self, state: &State, owner: &Owner, key: &OrderKey) -> bool {
        self.is_gone(owner) || (*owner == self.settings.owner && state.gate.is_lost(key))
    }

    fn not_run(&self, code: RefusalCode) -> ClaimDecision {
        ClaimDecision::NotRun {
            code,
            retry_after: self.settings.retry_after,
        }
    }

    fn kept(&self, key: &OrderKey) -> Option<Arc<KeptAnswer>> {
        lock(&self.answers).get(key)
    }

    fn answered(&self, key: &OrderKey) -> ClaimDecision {
        let lost = ClaimDecision::Unknown {
            code: UnknownCode::AnswerLost,
        };
        self.kept(key).map_or(lost, ClaimDecision::Answered)
    }

    fn decide(&self, outcome: Outcome) -> Option<ClaimDecision> {
        match outcome {
            Outcome::Started(claim) => Some(ClaimDecision::Run(claim)),
            Outcome::Full => Some(self.not_run(RefusalCode::LogFull)),
            Outcome::LookAgain | Outcome::Settled | Outcome::NotUnsettled => None,
        }
    }

    fn look(&self, state: &mut State, order: &OrderRequest, fresh: bool) -> Looked {
        let (shard, read_at) = match &state.view {
            View::Unreadable { read_at } if fresh && self.is_old(*read_at) => {
                return self.want_read(state);
            }
            View::Unreadable { .. } => {
                return Looked::Decided(self.not_run(RefusalCode::LogUnreadable));
            }
            View::Absent => return self.want_read(state),
            View::Loaded { shard, read_at } => (shard, *read_at),
        };
        let (key, me, gate) = (&order.key, &self.settings.owner, &state.gate);
        let is_gone = |owner: &Owner| self.is_gone(owner);
        let found = lookup(
            me,
            shard,
            gate,
            key,
            order.body,
            order.released.as_ref(),
            is_gone,
        );
        let of_others = matches!(
            found,
            LookupOutcome::ClaimedElsewhere(_)
                | LookupOutcome::OwnerGone
                | LookupOutcome::AnswerLost
        );
        if of_others && fresh && self.is_old(read_at) {
            return self.want_read(state);
        }
        let unknown = |code| Looked::Decided(ClaimDecision::Unknown { code });
        match found {
            LookupOutcome::Claim(released) => self.begin(state, order, released),
            LookupOutcome::Wait => Looked::Wait,
            LookupOutcome::Answered => Looked::Decided(self.answered(key)),
            LookupOutcome::BodyMismatch => Looked::Decided(ClaimDecision::RefusedOtherBody),
            LookupOutcome::ClaimedElsewhere(claim) => {
                Looked::Decided(ClaimDecision::OwnedElsewhere(claim))
            }
            LookupOutcome::AnswerLost => unknown(UnknownCode::AnswerLost),
            LookupOutcome::CallLost => unknown(UnknownCode::CallLost),
            LookupOutcome::OwnerGone => unknown(UnknownCode::OwnerGone),
            LookupOutcome::SettledRan => unknown(UnknownCode::SettledRan),
        }
    }

    fn is_old(&self, read_at: Duration) -> bool {
        self.clock.now() > read_at + self.settings.view_age
    }

    fn want_read(&self, state: &mut State) -> Looked {
        state.wants_read = true;
        self.note_claim();
        Looked::Wait
    }

    fn begin(&self, state: &mut State, order: &OrderRequest, released: Option<ClaimId>) -> Looked {
        match state
            .gate
            .begin(&self.settings.gate, self.clock.now(), &order.key)
        {
            BeginOutcome::Busy => Looked::Wait,
            BeginOutcome::Done => Looked::Decided(self.answered(&order.key)),
            BeginOutcome::Lost => Looked::Decided(ClaimDecision::Unknown {
                code: UnknownCode::CallLost,
            }),
            BeginOutcome::Refused => Looked::Decided(self.not_run(RefusalCode::Refused)),
            BeginOutcome::Full => Looked::Decided(self.not_run(RefusalCode::LogFull)),
            BeginOutcome::Claim => {
                let (key, body) = (order.key, order.body);
                Looked::Enqueued(state.enqueue(Change::Claim {
                    key,
                    body,
                    released,
                }))
            }
        }
    }

    fn give_up_waiting(&self, state: &mut State, order: &OrderRequest) -> ClaimDecision {
        if state.gate.is_withdrawn(&order.key) {
            return ClaimDecision::Unknown {
                code: UnknownCode::ClaimUnresolved,
            };
        }
        if state.gate.is_busy(&order.key) {
            return ClaimDecision::InProgress;
        }
        match self.look(state, order, false) {
            Looked::Decided(decision) => decision,
            Looked::Wait => self.not_run(RefusalCode::StoreUnavailable),
            Looked::Enqueued(number) => {
                state.take_queued(number);
                state.gate.claim_failed(&order.key);
                self.not_run(RefusalCode::StoreUnavailable)
            }
        }
    }

    fn status_elsewhere(&self, state: &State, key: &OrderKey) -> OrderStatus {
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

    fn unsettled_order(&self, state: &State, found: &LatestClaim<'_>) -> UnsettledOrder {
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
        for cell in &self.cells {
            cell.lock().gate.prune(&self.settings.gate, now);
        }
    }

    fn read_wanted(&self) {
        for (number, cell) in (0_u32..).zip(&self.cells) {
            if !cell.lock().wants_read {
                continue;
            }
            if !self.read_shard(number) {
                return self.note_failure();
            }
        }
    }

    /// Reads the pages of a shard; returns false if the key-value service did not answer.
    fn read_shard(&self, number: u32) -> bool {
        self.pass(OrderStep::LoadShard);
        self.calls.fetch_add(1, Ordering::Relaxed);
        let Call::Done(found) = self
            .kv
            .list(&self.shard_prefix(number), self.settings.call_timeout)
        else {
            return false;
        };
        let pages: Option<Vec<(PageNumber, StoredPage)>> = found.iter().map(decode_page).collect();
        let cell = &self.cells[number as usize];
        let mut state = cell.lock();
        state.wants_read = false;
        state.view = match pages {
            Some(pages) => View::Loaded {
                shard: Shard::load(pages),
                read_at: self.clock.now(),
            },
            None => View::Unreadable {
                read_at: self.clock.now(),
            },
        };
        cell.notify(&mut state);
        true
    }

    /// Takes the waiting changes of all shards into one batch, as far as one transaction holds them.
    fn gather(&self, writer: &mut Writer) -> Option<Batch> {
        writer.sequence += 1;
        let mut parts = Vec::new();
        let mut bytes = 0;
        let shards = self.settings.shards.max(1);
        for offset in 0..shards {
            let shard = (writer.next_shard + offset) % shards;
            if bytes >= MAX_WRITE_BYTES / 2 {
                writer.next_shard = shard;
                self.note_claim();
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
            phase: Phase::Send,
            doubtful: false,
        };
        (!batch.parts.is_empty()).then_some(batch)
    }

    fn gather_shard(&self, number: u32, sequence: u64) -> Option<Part> {
        let cell = &self.cells[number as usize];
        let mut state = cell.lock();
        if state.queue.is_empty() {
            return None;
        }
        if state.shard().is_none() {
            state.wants_read = true;
            if matches!(state.view, View::Unreadable { .. }) {
                self.note_failure();
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
        Some(Part {
            shard: number,
            queued,
            staged,
        })
    }

    /// Makes the calls of a batch; returns the batch while its result is not known.
    fn advance(&self, mut batch: Batch) -> Option<Batch> {
        loop {
            let next = match batch.phase {
                Phase::Send => self.send(&batch),
                Phase::ReadBack => self.read_back(&batch),
                Phase::Reconcile => {
                    self.reconcile(&mut batch);
                    Advance::Stay
                }
            };
            match next {
                Advance::Applied(revision) => {
                    lock(&self.pacer).on_call_success();
                    self.apply(batch.parts, revision);
                    return None;
                }
                Advance::NoEffect => {
                    self.requeue(batch.parts);
                    self.note_failure();
                    return None;
                }
                Advance::To(phase) => batch.phase = phase,
                Advance::Lost => {
                    self.lost_answers.fetch_add(1, Ordering::Relaxed);
                    batch.doubtful = true;
                    batch.phase = Phase::ReadBack;
                    self.note_failure();
                    return Some(batch);
                }
                Advance::Stay if batch.parts.is_empty() => return None,
                Advance::Stay => {
                    self.note_failure();
                    return Some(batch);
                }
            }
        }
    }

    fn send(&self, batch: &Batch) -> Advance {
        if batch.first_put().is_none() {
            return Advance::Applied(0);
        }
        let transaction = batch.transaction(|shard, page| self.page_key(shard, page));
        self.pass(OrderStep::SendWrite);
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.writes.fetch_add(1, Ordering::Relaxed);
        let answer = self.kv.commit(&transaction, self.settings.call_timeout);
        self.pass(OrderStep::WriteAnswered);
        match answer {
            Call::Done(Commit::Applied(revision)) => Advance::Applied(revision),
            Call::Done(Commit::Conflict) => {
                self.conflicts.fetch_add(1, Ordering::Relaxed);
                Advance::To(Phase::Reconcile)
            }
            Call::Refused(_) if batch.doubtful => Advance::Lost,
            Call::Refused(_) => Advance::NoEffect,
            Call::Unknown => Advance::Lost,
        }
    }

    fn read_back(&self, batch: &Batch) -> Advance {
        let Some((shard, put)) = batch.first_put() else {
            return Advance::Applied(0);
        };
        self.pass(OrderStep::ReadBack);
        self.calls.fetch_add(1, Ordering::Relaxed);
        let key = self.page_key(shard, put.number);
        let Call::Done(found) = self.kv.get(&key, self.settings.call_timeout) else {
            return Advance::Stay;
        };
        let found = found.as_ref().map(decode_page);
        let found = match &found {
            None => None,
            Some(Some((_, stored))) => Some(stored),
            Some(None) => return Advance::To(Phase::Reconcile),
        };
        match resolve_write(put, found) {
            WriteOutcome::Applied(revision) => Advance::Applied(revision),
            WriteOutcome::Pending => Advance::To(Phase::Send),
            WriteOutcome::Superseded => Advance::To(Phase::Reconcile),
        }
    }

    /// Reads the shards of a batch of which a page had changed, and finds the claims that were written.
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

    fn reconcile_part(&self, mut part: Part) {
        let cell = &self.cells[part.shard as usize];
        let mut kept = Vec::new();
        let mut started = Vec::new();
        let mut state = cell.lock();
        for (queued, verdict) in part.queued.drain(..).zip(part.staged.outcomes.drain(..)) {
            let written = match verdict {
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
            if written {
                started.push((queued, verdict));
            } else {
                kept.push(queued);
            }
        }
        self.put_back(&mut state, kept);
        cell.notify(&mut state);
        drop(state);
        self.take_over(cell, started);
    }

    fn apply(&self, parts: Vec<Part>, revision: u64) {
        self.pass(OrderStep::ApplyWrite);
        for part in parts {
            let cell = &self.cells[part.shard as usize];
            if let View::Loaded { shard, .. } = &mut cell.lock().view {
                shard.commit(&part.staged, revision);
            }
            let changes = part
                .changes()
                .map(|(queued, verdict)| (queued.clone(), verdict))
                .collect();
            self.take_over(cell, changes);
        }
    }

    /// Carries out the outcomes of changes whose write was applied.
    fn take_over(&self, cell: &Cell, changes: Vec<(Queued, ChangeOutcome)>) {
        if changes
            .iter()
            .any(|(_, verdict)| matches!(verdict, ChangeOutcome::Claimed(_)))
        {
            self.pass(OrderStep::StartOrder);
        }
        let mut state = cell.lock();
        let mut later = Vec::new();
        for (queued, verdict) in changes {
            match verdict {
                ChangeOutcome::Claimed(attempt) => self.start(&mut state, &queued, attempt),
                ChangeOutcome::Deferred => later.push(queued),
                ChangeOutcome::Exists => fail_claim(&mut state, &queued, Outcome::LookAgain),
                ChangeOutcome::Full => fail_claim(&mut state, &queued, Outcome::Full),
                ChangeOutcome::Changed => {
                    if let Change::Settle {
                        key, settlement, ..
                    } = &queued.change
                    {
                        state.gate.settle(key, *settlement);
                    }
                    report(&mut state, &queued, Outcome::Settled);
                }
                ChangeOutcome::NoEffect => report(&mut state, &queued, Outcome::NotUnsettled),
            }
        }
        self.put_back(&mut state, later);
        cell.notify(&mut state);
    }

    fn start(&self, state: &mut State, queued: &Queued, attempt: u32) {
        let key = *queued.key();
        if state.gate.start(self.clock.now(), &key, attempt) {
            let claim = ClaimId {
                owner: self.settings.owner.clone(),
                attempt,
            };
            return report(state, queued, Outcome::Started(claim));
        }
        state.enqueue_untracked(Change::Release { key, attempt });
        self.note_completion();
    }

    fn requeue(&self, parts: Vec<Part>) {
        for part in parts {
            let cell = &self.cells[part.shard as usize];
            let mut state = cell.lock();
            self.put_back(&mut state, part.queued);
            cell.notify(&mut state);
        }
    }

    /// Puts changes that were not written before the waiting ones; claims that were given up are dropped.
    fn put_back(&self, state: &mut State, changes: Vec<Queued>) {
        let mut queue = Vec::new();
        for queued in changes {
            if queued.is_claim() && !state.gate.is_claiming(queued.key()) {
                state.gate.claim_failed(queued.key());
            } else {
                queue.push(queued);
            }
        }
        if !queue.is_empty() {
            self.note_claim();
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

/// Next state of a batch after a call.
enum Advance {
    Applied(u64),
    NoEffect,
    To(Phase),
    Lost,
    Stay,
}

fn report(state: &mut State, queued: &Queued, outcome: Outcome) {
    if let Some(ticket) = queued.ticket {
        state.outcomes.insert(ticket, outcome);
    }
}

fn fail_claim(state: &mut State, queued: &Queued, outcome: Outcome) {
    let waiting = state.gate.is_claiming(queued.key());
    state.gate.claim_failed(queued.key());
    if waiting {
        report(state, queued, outcome);
    }
}

fn decode_page(found: &KeyValue) -> Option<(PageNumber, StoredPage)> {
    let (_, number) = found.key.rsplit_once('/')?;
    let page = Page::decode(&found.value).ok()?;
    Some((
        number.parse().ok()?,
        StoredPage {
            page,
            revision: found.mod_revision,
        },
    ))
}

//! State of one shard of the order log, under its own lock.

use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tanagerford_core::order::{Change, ClaimId, Gate, OrderKey, Shard};
use tanagerford_sync::lock;

/// Local copy of a shard's pages.
#[derive(Debug, Default)]
pub(super) enum ShardView {
    /// The pages were not read or are no longer needed.
    #[default]
    Absent,
    /// The pages were read at `read_at`, and one of them could not be decoded.
    Unreadable { read_at: Duration },
    /// The pages as of `read_at`, including this sidecar's own writes since then.
    Loaded { shard: Shard, read_at: Duration },
}

/// Change that waits for a write.
#[derive(Debug, Clone)]
pub(super) struct QueuedChange {
    /// Number under which the outcome is reported; `None` if no request waits for it.
    pub(super) ticket: Option<u64>,
    pub(super) change: Change,
}

impl QueuedChange {
    pub(super) fn key(&self) -> &OrderKey {
        match &self.change {
            Change::Claim { key, .. }
            | Change::Finish { key, .. }
            | Change::Release { key, .. }
            | Change::Settle { key, .. } => key,
        }
    }

    pub(super) fn is_claim(&self) -> bool {
        matches!(self.change, Change::Claim { .. })
    }
}

/// Outcome of a queued change, reported to the request that waits for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum TicketOutcome {
    /// The claim is written and the order must be run.
    Started(ClaimId),
    /// Another claim of the key was found; the order must be looked up again.
    LookupAgain,
    /// The shard is full.
    Full,
    /// The settlement is written.
    Settled,
    /// The settlement had no effect, because the order was finished, released or settled in the meantime.
    NotUnsettled,
}

#[derive(Debug, Default)]
pub(super) struct ShardState {
    pub(super) view: ShardView,
    pub(super) needs_read: bool,
    pub(super) gate: Gate,
    pub(super) queue: Vec<QueuedChange>,
    pub(super) outcomes: BTreeMap<u64, TicketOutcome>,
    pub(super) next_ticket: u64,
    /// Increases whenever a waiting request may be able to make progress.
    pub(super) version: u64,
}

impl ShardState {
    /// Queues a change and returns the number under which its outcome is reported.
    pub(super) fn enqueue(&mut self, change: Change) -> u64 {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.queue.push(QueuedChange {
            ticket: Some(ticket),
            change,
        });
        ticket
    }

    /// Queues a change whose outcome no request waits for.
    pub(super) fn enqueue_untracked(&mut self, change: Change) {
        self.queue.push(QueuedChange {
            ticket: None,
            change,
        });
    }

    /// Removes a change from the queue; returns `None` if it is part of a write already.
    pub(super) fn take_queued(&mut self, ticket: u64) -> Option<QueuedChange> {
        let position = self
            .queue
            .iter()
            .position(|queued| queued.ticket == Some(ticket))?;
        Some(self.queue.remove(position))
    }

    pub(super) fn shard(&self) -> Option<&Shard> {
        match &self.view {
            ShardView::Loaded { shard, .. } => Some(shard),
            ShardView::Absent | ShardView::Unreadable { .. } => None,
        }
    }
}

#[derive(Debug, Default)]
pub(super) struct LockedShard {
    state: Mutex<ShardState>,
    changed: Condvar,
}

impl LockedShard {
    pub(super) fn lock(&self) -> MutexGuard<'_, ShardState> {
        lock(&self.state)
    }

    /// Wakes all requests that wait for a change of this shard.
    pub(super) fn notify(&self, state: &mut ShardState) {
        state.version += 1;
        self.changed.notify_all();
    }

    /// Waits until the version differs from `seen_version`, at most `wait`.
    pub(super) fn wait(&self, seen_version: u64, wait: Duration) {
        let state = self.lock();
        let is_unchanged = |state: &mut ShardState| state.version == seen_version;
        let waited = self.changed.wait_timeout_while(state, wait, is_unchanged);
        drop(waited.unwrap_or_else(PoisonError::into_inner));
    }
}

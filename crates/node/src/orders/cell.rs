//! One shard of the order log under its own lock.

use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tanagerford_core::order::{Change, ClaimId, Gate, OrderKey, Shard};
use tanagerford_sync::lock;

/// What the sidecar knows of a shard's pages.
#[derive(Debug, Default)]
pub(super) enum View {
    /// Nothing was read yet.
    #[default]
    Absent,
    /// A page could not be decoded at `read_at`.
    Unreadable { read_at: Duration },
    /// The pages as of `read_at`, with own writes since.
    Loaded { shard: Shard, read_at: Duration },
}

/// A change that waits for a write.
#[derive(Debug, Clone)]
pub(super) struct Queued {
    pub(super) ticket: Option<u64>,
    pub(super) change: Change,
}

impl Queued {
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

/// Outcome of a waiting change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The order is to be run.
    Started(ClaimId),
    /// The order is to be looked up again.
    LookAgain,
    /// The shard is full.
    Full,
    /// The statement is written.
    Settled,
    /// The statement had no effect.
    NotUnsettled,
}

#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) view: View,
    pub(super) wants_read: bool,
    pub(super) gate: Gate,
    pub(super) queue: Vec<Queued>,
    pub(super) outcomes: BTreeMap<u64, Outcome>,
    pub(super) next_ticket: u64,
    /// Changes whenever a waiting request may find something new.
    pub(super) version: u64,
}

impl State {
    pub(super) fn enqueue(&mut self, change: Change) -> u64 {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.queue.push(Queued {
            ticket: Some(ticket),
            change,
        });
        ticket
    }

    pub(super) fn enqueue_untracked(&mut self, change: Change) {
        self.queue.push(Queued {
            ticket: None,
            change,
        });
    }

    /// Takes a change that is not part of a write out of the queue.
    pub(super) fn take_queued(&mut self, ticket: u64) -> Option<Queued> {
        let position = self
            .queue
            .iter()
            .position(|queued| queued.ticket == Some(ticket))?;
        Some(self.queue.remove(position))
    }

    pub(super) fn shard(&self) -> Option<&Shard> {
        match &self.view {
            View::Loaded { shard, .. } => Some(shard),
            View::Absent | View::Unreadable { .. } => None,
        }
    }
}

#[derive(Debug, Default)]
pub(super) struct Cell {
    state: Mutex<State>,
    changed: Condvar,
}

impl Cell {
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Wakes all requests that wait for this shard.
    pub(super) fn notify(&self, state: &mut State) {
        state.version += 1;
        self.changed.notify_all();
    }

    /// Waits until the version differs from `seen_version`, at most `wait`.
    pub(super) fn wait(&self, seen_version: u64, wait: Duration) {
        let state = self.lock();
        let unchanged = |state: &mut State| state.version == seen_version;
        let waited = self.changed.wait_timeout_while(state, wait, unchanged);
        drop(waited.unwrap_or_else(PoisonError::into_inner));
    }
}

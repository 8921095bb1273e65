//! Bytes that the entry holds for others: bodies of callers, and answers until they are written.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use tanagerford_core::dispatch::Rank;
use tanagerford_core::memory_budget::{MemoryBudget, Place};
use tanagerford_sync::lock;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use crate::refusal::Refusal;

/// Longest time for which a caller's body waits for room before it is read on. Callers of plain services allow about a second for
/// the whole call, and give up a request that is not read for a third of their time.
const MAX_WAIT: Duration = Duration::from_millis(250);
/// Room that a body without a length takes first.
const FIRST_PIECE_BYTES: usize = 4 * 1024;
/// Longest time between looks at the budget, since a place can be lost without a notification.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Memory budget of an entry; without one nothing is bounded or counted.
#[derive(Debug, Default)]
pub(crate) struct Memory {
    budget: Option<Mutex<MemoryBudget>>,
    changed: Notify,
}

/// Part of the budget, which is given back on drop.
#[derive(Debug)]
pub(crate) struct Held {
    memory: Arc<Memory>,
    bytes: usize,
}

impl Drop for Held {
    fn drop(&mut self) {
        if let Some(budget) = &self.memory.budget
            && self.bytes > 0
        {
            lock(budget).give_back(self.bytes);
            self.memory.changed.notify_waiters();
        }
    }
}

/// Bytes with their part of the budget.
struct HeldBytes {
    bytes: BytesMut,
    _held: Held,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Place of a waiting body, which it leaves on drop.
struct HeldPlace<'a> {
    memory: &'a Memory,
    budget: &'a Mutex<MemoryBudget>,
    place: Place,
}

impl Drop for HeldPlace<'_> {
    fn drop(&mut self) {
        lock(self.budget).leave(self.place);
        self.memory.changed.notify_waiters();
    }
}

impl Held {
    /// Joins the bytes with their part of the budget, which is given back when the last reference to the bytes is dropped.
    pub(crate) fn attach(self, bytes: BytesMut) -> Bytes {
        if bytes.is_empty() || self.memory.budget.is_none() {
            return bytes.freeze();
        }
        Bytes::from_owner(HeldBytes { bytes, _held: self })
    }

    /// Takes more if there is room now; returns whether there was.
    pub(crate) fn try_grow(&mut self, bytes: usize) -> bool {
        let Some(budget) = &self.memory.budget else {
            return true;
        };
        let is_taken = lock(budget).try_take(bytes, None);
        self.bytes += if is_taken { bytes } else { 0 };
        is_taken
    }

    /// Gives back all but this amount.
    fn shrink(&mut self, bytes: usize) {
        let surplus = self.bytes.saturating_sub(bytes);
        if let Some(budget) = &self.memory.budget
            && surplus > 0
        {
            lock(budget).give_back(surplus);
            self.bytes -= surplus;
            self.memory.changed.notify_waiters();
        }
    }

    /// Takes more; waits for room.
    async fn grow(&mut self, rank: Rank, bytes: usize) -> Result<(), Refusal> {
        let memory = Arc::clone(&self.memory);
        let Some(budget) = &memory.budget else {
            return Ok(());
        };
        if self.try_grow(bytes) {
            return Ok(());
        }
        if !lock(budget).can_hold(bytes) {
            return Err(Refusal::OutOfMemory);
        }
        let held = HeldPlace {
            memory: &memory,
            budget,
            place: lock(budget).join(rank),
        };
        let end = Instant::now() + MAX_WAIT;
        loop {
            // Created before the attempt, so that a release in between is not missed.
            let changed = memory.changed.notified();
            if lock(budget).try_take(bytes, Some(held.place)) {
                self.bytes += bytes;
                return Ok(());
            }
            if !lock(budget).is_waiting(held.place) || Instant::now() >= end {
                return Err(Refusal::OutOfMemory);
            }
            let _ = timeout_at(end.min(Instant::now() + POLL_INTERVAL), changed).await;
        }
    }
}

impl Memory {
    /// Creates the budget of a process that may use `memory_bytes` in all; `None` sets no bound.
    pub(crate) fn new(memory_bytes: Option<usize>) -> Arc<Self> {
        let budget = memory_bytes.map(|bytes| Mutex::new(MemoryBudget::of_process(bytes)));
        Arc::new(Self {
            budget,
            changed: Notify::new(),
        })
    }

    /// Returns whether the settings bound the memory.
    pub(crate) fn is_bounded(&self) -> bool {
        self.budget.is_some()
    }

    /// Returns a part of the budget that is empty yet.
    pub(crate) fn hold(self: &Arc<Self>) -> Held {
        Held {
            memory: Arc::clone(self),
            bytes: 0,
        }
    }

    /// Returns the capacity, the bytes in use and the number of bodies that wait; `None` if there is no bound.
    pub(crate) fn usage(&self) -> Option<(usize, usize, usize)> {
        let budget = lock(self.budget.as_ref()?);
        Some((
            budget.capacity_bytes(),
            budget.used_bytes(),
            budget.waiting_count(),
        ))
    }

    /// Reads a body of at most `max_bytes` completely. Room for it is taken before it is read.
    pub(crate) async fn read_body(
        self: &Arc<Self>,
        mut body: Incoming,
        max_bytes: usize,
        rank: Rank,
    ) -> Result<Bytes, Refusal> {
        let mut held = self.hold();
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let length = body.size_hint().exact();
        let length = length.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
        if self.is_bounded() && length.is_some_and(|length| length > max_bytes) {
            return Err(Refusal::TooLarge);
        }
        // The room of a body without a length doubles, since what was read is copied into the larger buffer.
        let first = length.unwrap_or(FIRST_PIECE_BYTES).min(max_bytes);
        held.grow(rank, first).await?;
        let mut read = BytesMut::with_capacity(first);
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_| Refusal::Malformed)?.into_data() else {
                continue;
            };
            let needed = read.len() + data.len();
            if needed > max_bytes {
                return Err(Refusal::TooLarge);
            }
            if needed > read.capacity() {
                let larger = (read.capacity() * 2).max(needed).min(max_bytes);
                let mut next = self.hold();
                next.grow(rank, larger).await?;
                let mut buffer = BytesMut::with_capacity(larger);
                buffer.extend_from_slice(&read);
                (read, held) = (buffer, next);
            }
            read.extend_from_slice(&data);
        }
        if read.len() < read.capacity() {
            read = BytesMut::from(&read[..]);
            held.shrink(read.len());
        }
        Ok(held.attach(read))
    }
}

//! Table of the attempts in flight at an entry, which delivers the frames of links to their attempts.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use tanagerford_core::ids::AttemptId;
use tanagerford_link::message::{self, frame};
use tanagerford_link::{Link, LinkError, window_bytes};
use tanagerford_sync::lock;

/// Number of shards of the table, each with its own lock, to keep contention between the attempts low.
const SHARD_COUNT: usize = 64;

/// Limit of the events that are queued for a slow caller. Beyond it, the attempt fails and the transfer is aborted.
const MAX_QUEUED_EVENTS: usize = 8 * 1024;

/// Bytes of a body that a sidecar sends before they are consumed. A stream of some thousand tokens does not wait for a slow
/// caller.
const WINDOW_BYTES: u64 = 1024 * 1024;

/// Event of an attempt or of a query about an order.
#[derive(Debug)]
pub enum Event {
    /// The sidecar has sent the attempt to its backend server.
    Accepted,
    /// Status and headers of the answer.
    Head(message::Head),
    /// Chunk of the answer's body.
    Chunk {
        /// Raw bytes of the body.
        data: Bytes,
        /// Number of tokens in this chunk; 0 for plain services.
        tokens: u32,
    },
    /// The attempt ended; the message has the outcome.
    Finish(message::Finish),
    /// The sidecar refused the attempt; the message has the code and says whether it may have run.
    Refused(message::Refused),
    /// Response to a query about an order.
    OrderAnswer(message::OrderAnswer),
    /// The time limit of the call has passed. [`Attempts`] does not generate this event; the owner of the attempt does.
    Expired,
    /// The link was lost, frames are missing, or the caller reads too slowly.
    Lost,
}

/// Table of the attempts in flight.
#[derive(Debug)]
pub struct Attempts {
    shards: Vec<Mutex<HashMap<AttemptId, Slot>>>,
    next_id: AtomicU64,
    late_frames: AtomicU64,
}

#[derive(Debug)]
struct Slot {
    events: async_channel::Sender<Event>,
    link: Link,
    next_sequence: u64,
}

/// Handle of an attempt. Dropping it cancels the attempt unless it has ended or was submitted without `cancel_on_drop`.
#[derive(Debug)]
pub struct Attempt {
    id: AttemptId,
    link: Link,
    events: async_channel::Receiver<Event>,
    table: Arc<Attempts>,
    has_ended: bool,
    cancel_on_drop: bool,
    /// Bytes of the body that were consumed and not yet reported to the sidecar.
    unreported_bytes: u64,
}

impl Default for Attempts {
    fn default() -> Self {
        Self {
            shards: (0..SHARD_COUNT).map(|_| Mutex::default()).collect(),
            next_id: AtomicU64::new(1),
            late_frames: AtomicU64::new(0),
        }
    }
}

impl Attempts {
    /// Submits an attempt on a link. `cancel_on_drop` is false for orders, which continue when their caller
    /// disconnects.
    ///
    /// # Errors
    ///
    /// Fails if the link is lost. The attempt was not sent in that case.
    pub fn submit(
        self: &Arc<Self>,
        link: &Link,
        submit: message::Submit,
        cancel_on_drop: bool,
    ) -> Result<Attempt, LinkError> {
        let body = |attempt_id| {
            frame::Body::Submit(message::Submit {
                attempt_id,
                window_bytes: WINDOW_BYTES,
                ..submit
            })
        };
        self.send(link, body, cancel_on_drop)
    }

    /// Queries a sidecar for the outcome of an order. The response is the only event of the returned handle, except for
    /// [`Event::Lost`].
    ///
    /// # Errors
    ///
    /// Fails if the link is lost.
    pub(crate) fn query_order(
        self: &Arc<Self>,
        link: &Link,
        order_key: Vec<u8>,
    ) -> Result<Attempt, LinkError> {
        let body = |query_id| {
            frame::Body::OrderQuery(message::OrderQuery {
                query_id,
                order_key,
            })
        };
        self.send(link, body, false)
    }

    fn send(
        self: &Arc<Self>,
        link: &Link,
        body: impl FnOnce(AttemptId) -> frame::Body,
        cancel_on_drop: bool,
    ) -> Result<Attempt, LinkError> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        // A bounded channel would allocate and initialise all of its slots at once, more than 1 MB per attempt. The
        // unbounded one grows as needed, and `Slot::queue` enforces the limit.
        let (sender, events) = async_channel::unbounded();
        let slot = Slot {
            events: sender,
            link: link.clone(),
            next_sequence: 0,
        };
        lock(self.shard(id)).insert(id, slot);
        if let Err(error) = link.send(body(id)) {
            lock(self.shard(id)).remove(&id);
            return Err(error);
        }
        let attempt = Attempt {
            id,
            link: link.clone(),
            events,
            table: Arc::clone(self),
            has_ended: false,
            cancel_on_drop,
            unreported_bytes: 0,
        };
        if link.is_lost() {
            // If the link was lost before the slot was inserted, `on_link_lost` did not see the slot.
            self.fail(id);
        }
        Ok(attempt)
    }

    /// Delivers a frame to its attempt. Frames of unknown attempts and frames that arrive on another link than the
    /// attempt's are dropped and counted as late.
    pub fn deliver(&self, link: &Link, body: frame::Body) {
        match body {
            frame::Body::Accepted(accepted) => {
                self.push(link, accepted.attempt_id, Event::Accepted);
            }
            frame::Body::Head(head) => self.push(link, head.attempt_id, Event::Head(head)),
            frame::Body::Chunk(chunk) => self.push_chunk(link, chunk),
            frame::Body::Finish(finish) => self.push_finish(link, finish),
            frame::Body::Refused(refused) => {
                self.push(link, refused.attempt_id, Event::Refused(refused));
            }
            frame::Body::OrderAnswer(answer) => {
                self.push(link, answer.query_id, Event::OrderAnswer(answer));
            }
            _ => {}
        }
    }

    /// Fails all attempts on a lost link with [`Event::Lost`].
    pub(crate) fn on_link_lost(&self, link: &Link) {
        for shard in &self.shards {
            lock(shard).retain(|_, slot| {
                let keep = !slot.link.is_same_link(link);
                if !keep {
                    slot.queue(Event::Lost);
                }
                keep
            });
        }
    }

    /// Returns whether no attempt is in flight on `link`.
    #[must_use]
    pub(crate) fn is_idle(&self, link: &Link) -> bool {
        let uses = |slot: &Slot| slot.link.is_same_link(link);
        !self
            .shards
            .iter()
            .any(|shard| lock(shard).values().any(uses))
    }

    /// Returns the number of attempts in flight, including queries about orders.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.shards.iter().map(|shard| lock(shard).len()).sum()
    }

    /// Returns the number of frames that were dropped because their attempt had ended or uses another link.
    #[must_use]
    pub(crate) fn late_frames(&self) -> u64 {
        self.late_frames.load(Ordering::Relaxed)
    }

    fn shard(&self, id: AttemptId) -> &Mutex<HashMap<AttemptId, Slot>> {
        let index = usize::try_from(id).unwrap_or(0) % SHARD_COUNT;
        &self.shards[index]
    }

    fn push(&self, link: &Link, id: AttemptId, event: Event) {
        let mut shard = lock(self.shard(id));
        match shard.get_mut(&id) {
            Some(slot) if slot.link.is_same_link(link) => {
                if !slot.queue(event) {
                    shard.remove(&id);
                }
            }
            _ => self.count_late_frame(id),
        }
    }

    fn push_chunk(&self, link: &Link, chunk: message::Chunk) {
        let id = chunk.attempt_id;
        let event = {
            let mut shard = lock(self.shard(id));
            match shard.get_mut(&id) {
                Some(slot)
                    if slot.link.is_same_link(link) && slot.next_sequence == chunk.sequence =>
                {
                    slot.next_sequence += 1;
                    Event::Chunk {
                        data: Bytes::from(chunk.data),
                        tokens: chunk.tokens,
                    }
                }
                Some(slot) if slot.link.is_same_link(link) => Event::Lost,
                _ => return self.count_late_frame(id),
            }
        };
        self.push(link, id, event);
    }

    fn push_finish(&self, link: &Link, finish: message::Finish) {
        let id = finish.attempt_id;
        let received = {
            let shard = lock(self.shard(id));
            shard
                .get(&id)
                .filter(|slot| slot.link.is_same_link(link))
                .map(|slot| slot.next_sequence)
        };
        match received {
            Some(chunks) if chunks == finish.chunks => self.push(link, id, Event::Finish(finish)),
            Some(_) => self.push(link, id, Event::Lost),
            None => self.count_late_frame(id),
        }
    }

    fn count_late_frame(&self, id: AttemptId) {
        self.late_frames.fetch_add(1, Ordering::Relaxed);
        tracing::debug!(
            attempt_id = id,
            "dropped a frame of an attempt that is not in flight on this link"
        );
    }

    fn fail(&self, id: AttemptId) {
        if let Some(slot) = lock(self.shard(id)).remove(&id) {
            slot.queue(Event::Lost);
        }
    }

    fn remove(&self, id: AttemptId) {
        lock(self.shard(id)).remove(&id);
    }
}

impl Slot {
    /// Queues an event. Returns false if the queue is full or the attempt was dropped.
    fn queue(&self, event: Event) -> bool {
        self.events.len() < MAX_QUEUED_EVENTS && self.events.try_send(event).is_ok()
    }
}

impl Attempt {
    /// Returns the id of the attempt, unique in this process.
    #[must_use]
    pub fn id(&self) -> AttemptId {
        self.id
    }

    /// Waits for the next event. The attempt has ended after `Finish`, `Refused`, `OrderAnswer` or `Lost`.
    pub async fn next(&mut self) -> Event {
        if self.has_ended {
            return Event::Lost;
        }
        // The channel is closed when the queue has overflowed because the caller reads too slowly.
        let event = self.events.recv().await.unwrap_or(Event::Lost);
        if matches!(
            event,
            Event::Finish(_) | Event::Refused(_) | Event::OrderAnswer(_)
        ) {
            self.has_ended = true;
            self.table.remove(self.id);
        }
        if let Event::Chunk { data, .. } = &event {
            self.unreported_bytes += window_bytes(data);
            if self.unreported_bytes >= WINDOW_BYTES / 2 {
                let bytes = std::mem::take(&mut self.unreported_bytes);
                self.report_consumed(bytes);
            }
        }
        event
    }

    fn report_consumed(&self, bytes: u64) {
        let consumed = message::Consumed {
            attempt_id: self.id,
            bytes,
        };
        // The reader of the link handles its loss.
        let _ = self.link.send(frame::Body::Consumed(consumed));
    }

    /// Cancels the attempt unless it has ended. Frames that arrive later are dropped.
    fn cancel(&mut self) {
        if self.has_ended {
            return;
        }
        self.has_ended = true;
        self.table.remove(self.id);
        let cancel = message::Cancel {
            attempt_id: self.id,
        };
        let _ = self.link.send(frame::Body::Cancel(cancel));
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if self.cancel_on_drop {
            self.cancel();
        } else if !self.has_ended {
            self.table.remove(self.id);
            // The sidecar reads the rest of an order's answer, whose chunks are dropped here.
            self.report_consumed(u64::MAX);
        }
    }
}

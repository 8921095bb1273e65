//! Attempts in flight at an entry, and the delivery of their frames.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use tanagerford_core::ids::AttemptId;
use tanagerford_link::message::{self, frame};
use tanagerford_link::{Link, LinkError};
use tanagerford_sync::lock;

/// Shards of the table; frames of different attempts rarely contend for one lock.
const SHARDS: usize = 64;

/// Events that wait for a slow caller; a caller that is further behind loses its transfer.
const QUEUED_EVENTS: usize = 8 * 1024;

/// What happened to an attempt.
#[derive(Debug)]
pub enum Event {
    /// The attempt was handed to the backend server.
    Accepted,
    /// Status and headers of the answer.
    Head(message::Head),
    /// Part of the answer's body.
    Chunk {
        /// Raw bytes.
        data: Bytes,
        /// Tokens in this part.
        tokens: u32,
    },
    /// End of the attempt.
    Finish(message::Finish),
    /// The sidecar refused the attempt.
    Refused(message::Refused),
    /// Answer to a question about an order.
    OrderAnswer(message::OrderAnswer),
    /// The time limit of the call has passed; reported by the owner of the attempt.
    Expired,
    /// The link was lost, frames are missing, or the caller is too slow.
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

/// One attempt, as its owner sees it. Dropping it cancels the attempt unless it has ended or must run on.
#[derive(Debug)]
pub struct Attempt {
    id: AttemptId,
    link: Link,
    events: async_channel::Receiver<Event>,
    table: Arc<Attempts>,
    ended: bool,
    cancel_on_drop: bool,
}

impl Default for Attempts {
    fn default() -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
            next_id: AtomicU64::new(1),
            late_frames: AtomicU64::new(0),
        }
    }
}

impl Attempts {
    /// Submits an attempt on a link. `cancel_on_drop` is false for orders, which run on without their caller.
    ///
    /// # Errors
    ///
    /// Fails when the link is lost; the attempt was not sent then.
    pub fn submit(
        self: &Arc<Self>,
        link: &Link,
        submit: message::Submit,
        cancel_on_drop: bool,
    ) -> Result<Attempt, LinkError> {
        let body = |attempt_id| {
            frame::Body::Submit(message::Submit {
                attempt_id,
                ..submit
            })
        };
        self.send(link, body, cancel_on_drop)
    }

    /// Asks a sidecar what became of an order; the answer is the only event of the returned attempt.
    ///
    /// # Errors
    ///
    /// Fails when the link is lost.
    pub fn query(self: &Arc<Self>, link: &Link, order_key: Vec<u8>) -> Result<Attempt, LinkError> {
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
        // A bounded channel allocates and initialises all of its places at once, more than 1 MB for each attempt; this
        // one grows as needed, and `Slot::queue` keeps its bound.
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
            ended: false,
            cancel_on_drop,
        };
        if link.is_lost() {
            // The link may have been lost before the slot was inserted, and nobody would report it then.
            self.fail(id);
        }
        Ok(attempt)
    }

    /// Delivers a frame to its attempt. Frames of unknown attempts and frames that arrive on a link other than the
    /// attempt's are dropped and counted.
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

    /// Fails all attempts of a lost link.
    pub fn on_link_lost(&self, link: &Link) {
        for shard in &self.shards {
            lock(shard).retain(|_, slot| {
                let keep = !slot.link.same(link);
                if !keep {
                    slot.queue(Event::Lost);
                }
                keep
            });
        }
    }

    /// Returns whether no attempt is in flight on `link`.
    #[must_use]
    pub fn is_idle(&self, link: &Link) -> bool {
        let uses = |slot: &Slot| slot.link.same(link);
        !self
            .shards
            .iter()
            .any(|shard| lock(shard).values().any(uses))
    }

    /// Returns the count of attempts in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.shards.iter().map(|shard| lock(shard).len()).sum()
    }

    /// Returns the count of frames that were dropped because their attempt had ended or was another link's.
    #[must_use]
    pub fn late_frames(&self) -> u64 {
        self.late_frames.load(Ordering::Relaxed)
    }

    fn shard(&self, id: AttemptId) -> &Mutex<HashMap<AttemptId, Slot>> {
        let index = usize::try_from(id).unwrap_or(0) % SHARDS;
        &self.shards[index]
    }

    fn push(&self, link: &Link, id: AttemptId, event: Event) {
        let mut shard = lock(self.shard(id));
        match shard.get_mut(&id) {
            Some(slot) if slot.link.same(link) => {
                if !slot.queue(event) {
                    shard.remove(&id);
                }
            }
            _ => self.count_late(id),
        }
    }

    fn push_chunk(&self, link: &Link, chunk: message::Chunk) {
        let id = chunk.attempt_id;
        let event = {
            let mut shard = lock(self.shard(id));
            match shard.get_mut(&id) {
                Some(slot) if slot.link.same(link) && slot.next_sequence == chunk.sequence => {
                    slot.next_sequence += 1;
                    Event::Chunk {
                        data: Bytes::from(chunk.data),
                        tokens: chunk.tokens,
                    }
                }
                Some(slot) if slot.link.same(link) => Event::Lost,
                _ => return self.count_late(id),
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
                .filter(|slot| slot.link.same(link))
                .map(|slot| slot.next_sequence)
        };
        match received {
            Some(chunks) if chunks == finish.chunks => self.push(link, id, Event::Finish(finish)),
            Some(_) => self.push(link, id, Event::Lost),
            None => self.count_late(id),
        }
    }

    fn count_late(&self, id: AttemptId) {
        self.late_frames.fetch_add(1, Ordering::Relaxed);
        tracing::debug!(
            attempt_id = id,
            "dropped a frame of an attempt that is not in flight"
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
    /// Queues an event; returns false when the caller is too slow or gone.
    fn queue(&self, event: Event) -> bool {
        self.events.len() < QUEUED_EVENTS && self.events.try_send(event).is_ok()
    }
}

impl Attempt {
    /// Returns the attempt's id.
    #[must_use]
    pub fn id(&self) -> AttemptId {
        self.id
    }

    /// Waits for the next event. After `Finish`, `Refused` or `Lost` the attempt has ended.
    pub async fn next(&mut self) -> Event {
        if self.ended {
            return Event::Lost;
        }
        // A closed channel means that the queue overflowed: the caller reads too slowly.
        let event = self.events.recv().await.unwrap_or(Event::Lost);
        if matches!(
            event,
            Event::Finish(_) | Event::Refused(_) | Event::OrderAnswer(_)
        ) {
            self.ended = true;
            self.table.remove(self.id);
        }
        event
    }

    /// Cancels the attempt; its late frames are dropped.
    pub fn cancel(&mut self) {
        if self.ended {
            return;
        }
        self.ended = true;
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
        } else {
            self.table.remove(self.id);
        }
    }
}

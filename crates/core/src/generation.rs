//! State machines for the configuration's generation number, without I/O.
//!
//! - [`Publisher`] advances the generation by compare-and-swap under a unique write id. After an unknown result it
//!   either repeats the same write, which can succeed only once, or finds its write id in the head's history.
//! - [`Replica`] tracks the generation that one process uses, which never decreases, and whether the process may become
//!   ready.
//! - [`WatchMonitor`] decides when a process that watches the key-value service (the store) must read the head again.
//!
//! The runtime drives these state machines with responses of the key-value service and of peers; the model checker
//! drives them with simulated ones.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::Generation;

/// Identifies one write; drawn at random by the writer.
pub type WriteId = u64;

/// Modification revision of the head in the key-value service; 0 if the head does not exist.
pub type HeadRevision = u64;

/// Number of writes that the head's history holds. If more writes than this follow an unresolved one, the outcome of
/// the unresolved write can no longer be determined.
pub(crate) const HISTORY_LENGTH: usize = 32;

/// Calls that a publisher makes before it gives up on an unreachable store.
pub(crate) const MAX_PUBLISH_CALLS: u32 = 12;

/// Peers that must report their generation before a process that cannot reach the store becomes ready. A single peer
/// may itself use an outdated configuration.
pub(crate) const STARTUP_PEERS: usize = 3;

/// Head of the configuration: the value that a publisher replaces by compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Generation that is currently in effect.
    pub generation: Generation,
    /// Most recent writes, oldest first, at most 32.
    pub history: VecDeque<HeadWrite>,
}

/// One successful write of the head.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeadWrite {
    /// Generation that the write created.
    pub generation: Generation,
    /// Generation that was in effect before the write.
    pub replaced: Generation,
    /// Id drawn by the publisher, by which it recognizes its own write.
    pub write_id: WriteId,
}

impl Head {
    /// Returns the successor of this head.
    ///
    /// The new generation is higher than this head's and than `floor`, the highest generation that any process is known
    /// to have used. `floor` exceeds this head's generation after the key-value service was restored from an old
    /// backup.
    ///
    /// ```
    /// use tanagerford_core::generation::Head;
    ///
    /// let head = Head::default().next(7, 0);
    /// assert_eq!((head.generation, head.next(8, 40).generation), (1, 41));
    /// ```
    #[must_use]
    pub fn next(&self, write_id: WriteId, floor: Generation) -> Self {
        let generation = self.generation.max(floor).saturating_add(1);
        let mut history = self.history.clone();
        history.push_back(HeadWrite {
            generation,
            replaced: self.generation,
            write_id,
        });
        while history.len() > HISTORY_LENGTH {
            history.pop_front();
        }
        Self {
            generation,
            history,
        }
    }

    fn generation_of(&self, write_id: WriteId) -> Option<Generation> {
        let write = self.history.iter().find(|write| write.write_id == write_id);
        write.map(|write| write.generation)
    }

    /// Returns the write that replaced `generation`, or `None` if it is not in the history.
    #[must_use]
    pub fn successor(&self, generation: Generation) -> Option<&HeadWrite> {
        self.history
            .iter()
            .find(|write| write.replaced == generation)
    }

    /// Returns the generation that the latest write replaced, or `None` before the first write.
    #[must_use]
    pub fn replaced(&self) -> Option<Generation> {
        self.history.back().map(|write| write.replaced)
    }
}

/// Result of a call to the key-value service as seen by a publisher.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum CallResult<T> {
    /// The store responded.
    Done(T),
    /// The call had no effect and never will.
    Refused,
    /// The call may have taken effect or may still do so.
    Unknown,
}

/// Response to a compare-and-swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SwapResult {
    /// The head was replaced.
    Applied,
    /// The head was not at the expected revision and was left unchanged.
    Conflict,
}

/// Head as read from the store, with the revision of its last write.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct HeadRead {
    /// Default value if the store holds no head.
    pub head: Head,
    /// Revision of the last write to the head; 0 if the store holds no head.
    pub revision: HeadRevision,
}

/// Next step of a publisher.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum PublishStep {
    /// Read the head and pass it to [`Publisher::on_read`].
    ReadHead,
    /// Replace the head and the changed sections in one transaction if the head is at revision `expected`, and pass the
    /// result to [`Publisher::on_swap`].
    Swap {
        /// Revision that the head must have for the swap to succeed.
        expected: HeadRevision,
        /// Head to write.
        head: Head,
    },
    /// Stop with this outcome.
    End(PublishOutcome),
}

/// Outcome of a publication.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PublishOutcome {
    /// The configuration took effect as this generation.
    Applied(Generation),
    /// The configuration did not and will not take effect, because another write replaced the base head first.
    Lost {
        /// Generation created by the other write.
        winner: Generation,
    },
    /// The configuration did not and will not take effect, because the store could not be reached.
    NotRun,
    /// The configuration may have taken effect or may still do so.
    Unknown,
}

/// Attempt by an operator to replace the configuration of one head.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Publisher {
    base: HeadRead,
    next: Head,
    write_id: WriteId,
    phase: Phase,
    /// Whether a swap with an unknown result was sent.
    is_ambiguous: bool,
    calls_left: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    Swapping,
    ReadingBack,
    Ended(PublishOutcome),
}

impl Publisher {
    /// Creates a publisher that replaces `base`, the head on which the new configuration is based. `floor` is described
    /// at [`Head::next`].
    ///
    /// ```
    /// use tanagerford_core::generation::{
    ///     CallResult, HeadRead, PublishOutcome, PublishStep, Publisher, SwapResult,
    /// };
    ///
    /// let mut publisher = Publisher::new(HeadRead::default(), 7, 0);
    /// assert!(matches!(publisher.step(), PublishStep::Swap { expected: 0, .. }));
    /// publisher.on_swap(&CallResult::Done(SwapResult::Applied));
    /// assert_eq!(publisher.step(), PublishStep::End(PublishOutcome::Applied(1)));
    /// ```
    #[must_use]
    pub fn new(base: HeadRead, write_id: WriteId, floor: Generation) -> Self {
        let next = base.head.next(write_id, floor);
        Self {
            base,
            next,
            write_id,
            phase: Phase::Swapping,
            is_ambiguous: false,
            calls_left: MAX_PUBLISH_CALLS,
        }
    }

    /// Returns the generation that the configuration has if the write succeeds.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.next.generation
    }

    /// Returns the next step; the same one until a result is passed in.
    #[must_use]
    pub fn step(&self) -> PublishStep {
        match self.phase {
            Phase::Swapping => PublishStep::Swap {
                expected: self.base.revision,
                head: self.next.clone(),
            },
            Phase::ReadingBack => PublishStep::ReadHead,
            Phase::Ended(outcome) => PublishStep::End(outcome),
        }
    }

    /// Processes the result of a swap.
    pub fn on_swap(&mut self, result: &CallResult<SwapResult>) {
        self.phase = match result {
            CallResult::Done(SwapResult::Applied) => {
                Phase::Ended(PublishOutcome::Applied(self.next.generation))
            }
            // The conflict may be with an earlier swap of this publisher whose response was lost.
            CallResult::Done(SwapResult::Conflict) => Phase::ReadingBack,
            CallResult::Refused if self.is_ambiguous => Phase::ReadingBack,
            CallResult::Refused => Phase::Ended(PublishOutcome::NotRun),
            CallResult::Unknown => {
                self.is_ambiguous = true;
                Phase::ReadingBack
            }
        };
        self.count_call();
    }

    /// Processes the result of reading the head back.
    pub fn on_read(&mut self, result: &CallResult<HeadRead>) {
        if let CallResult::Done(read) = result {
            self.phase = self.resolve(read);
        }
        self.count_call();
    }

    fn resolve(&self, read: &HeadRead) -> Phase {
        if let Some(generation) = read.head.generation_of(self.write_id) {
            return Phase::Ended(PublishOutcome::Applied(generation));
        }
        // An unchanged head does not prove that the swap failed: the call may still be in flight. Sending the same swap
        // again is safe, since at most one of the two can find the expected revision.
        if read.revision == self.base.revision {
            return Phase::Swapping;
        }
        // The expected revision has been replaced for good, so no swap of this publisher can succeed any more. The
        // history shows whether an earlier one did.
        match read.head.successor(self.base.head.generation) {
            Some(write) => Phase::Ended(PublishOutcome::Lost {
                winner: write.generation,
            }),
            None if self.is_ambiguous => Phase::Ended(PublishOutcome::Unknown),
            None => Phase::Ended(PublishOutcome::Lost {
                winner: read.head.generation,
            }),
        }
    }

    fn count_call(&mut self) {
        self.calls_left = self.calls_left.saturating_sub(1);
        let is_ended = matches!(self.phase, Phase::Ended(_));
        if self.calls_left == 0 && !is_ended {
            let outcome = if self.is_ambiguous {
                PublishOutcome::Unknown
            } else {
                PublishOutcome::NotRun
            };
            self.phase = Phase::Ended(outcome);
        }
    }
}

/// Result of comparing the generation in a message with the one in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Comparison {
    /// Both sides use the same generation.
    Same,
    /// The sender is newer: the receiver fetches the sections that changed since its own generation.
    SenderIsNewer,
    /// The sender is older: it fetches from the receiver.
    SenderIsOlder,
}

/// Decision about a received configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Decision {
    /// Replace the configuration in use.
    Use,
    /// Ignore the configuration, because it is not newer than the one in use.
    Drop,
}

/// Process id of a peer.
type PeerId = String;

/// Configuration generation of one process, and whether the process may become ready.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct Replica {
    generation_in_use: Generation,
    newest_seen: Generation,
    startup: Startup,
}

/// State of the start-up check that the generation in use is recent enough to become ready.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Startup {
    Pending {
        /// Generations reported by live peers.
        peer_generations: BTreeMap<PeerId, Generation>,
        /// Number of peers that must have reported.
        needed_peers: usize,
    },
    Confirmed,
}

impl Default for Startup {
    fn default() -> Self {
        Self::Pending {
            peer_generations: BTreeMap::new(),
            needed_peers: STARTUP_PEERS,
        }
    }
}

impl Replica {
    /// Returns the generation in use; 0 before the first configuration.
    #[must_use]
    pub fn generation_in_use(&self) -> Generation {
        self.generation_in_use
    }

    /// Returns the highest generation seen in a message, a configuration or the store, which may not be in use yet.
    #[must_use]
    pub fn newest_seen(&self) -> Generation {
        self.newest_seen
    }

    /// Returns whether the process may serve requests: it uses a configuration, and at start-up either the key-value
    /// store or several peers had no newer one.
    ///
    /// ```
    /// use tanagerford_core::generation::Replica;
    ///
    /// let mut replica = Replica::default();
    /// replica.on_offer(3);
    /// for peer in ["a", "b"] {
    ///     replica.on_peer_generation(peer, 3, 5);
    /// }
    /// assert!(!replica.is_ready());
    /// replica.on_peer_generation("c", 3, 5);
    /// assert!(replica.is_ready());
    /// ```
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.generation_in_use > 0 && self.startup == Startup::Confirmed
    }

    /// Compares the generation of a message's sender with the one in use.
    pub fn on_message(&mut self, sender: Generation) -> Comparison {
        self.newest_seen = self.newest_seen.max(sender);
        match sender.cmp(&self.generation_in_use) {
            std::cmp::Ordering::Equal => Comparison::Same,
            std::cmp::Ordering::Greater => Comparison::SenderIsNewer,
            std::cmp::Ordering::Less => Comparison::SenderIsOlder,
        }
    }

    /// Decides whether to use a complete configuration of generation `offered`, and records it as in use if so.
    pub fn on_offer(&mut self, offered: Generation) -> Decision {
        self.newest_seen = self.newest_seen.max(offered);
        if offered <= self.generation_in_use {
            return Decision::Drop;
        }
        self.generation_in_use = offered;
        self.confirm_startup();
        Decision::Use
    }

    /// Records the generation that the key-value service holds, after its configuration was passed to
    /// [`on_offer`](Self::on_offer).
    ///
    /// A store restored from an old backup may hold a lower generation than a peer uses, so the reports of peers count
    /// here too.
    pub fn on_store_generation(&mut self, generation: Generation) {
        self.newest_seen = self.newest_seen.max(generation);
        if let Startup::Pending {
            peer_generations, ..
        } = &self.startup
            && self.generation_in_use > 0
            && self.generation_in_use >= generation
            && peer_generations
                .values()
                .all(|peer| self.generation_in_use >= *peer)
        {
            self.startup = Startup::Confirmed;
        }
    }

    /// Records the generation that a peer reported during start-up; `known_peers` is the number of live peers.
    ///
    /// A peer that reports generation 0 is starting itself and is not counted.
    pub fn on_peer_generation(&mut self, peer: &str, generation: Generation, known_peers: usize) {
        self.newest_seen = self.newest_seen.max(generation);
        if let Startup::Pending {
            peer_generations,
            needed_peers,
        } = &mut self.startup
        {
            *needed_peers = known_peers.clamp(1, STARTUP_PEERS);
            if generation > 0 {
                peer_generations.insert(peer.to_owned(), generation);
            }
        }
        self.confirm_startup();
    }

    /// Discards the report of a peer that left or failed, because that generation may have been lost with it.
    pub fn on_peer_gone(&mut self, peer: &str) {
        if let Startup::Pending {
            peer_generations, ..
        } = &mut self.startup
        {
            peer_generations.remove(peer);
        }
        self.confirm_startup();
    }

    fn confirm_startup(&mut self) {
        if let Startup::Pending {
            peer_generations,
            needed_peers,
        } = &self.startup
            && peer_generations.len() >= *needed_peers
            && peer_generations
                .values()
                .all(|peer| self.generation_in_use >= *peer)
        {
            self.startup = Startup::Confirmed;
        }
    }
}

/// Next step of a process that watches the head.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WatchAction {
    /// Wait for events for at most this long.
    Wait(Duration),
    /// Read the head again.
    ReadHead,
}

/// Detects a watch that stopped delivering events without an error, by reading the head after each `interval` without
/// an event.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct WatchMonitor {
    interval: Duration,
    confirmed_at: Duration,
    missed_changes: u64,
}

impl WatchMonitor {
    /// Creates a monitor for a head that was read at `now`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::generation::{WatchAction, WatchMonitor};
    ///
    /// let second = Duration::from_secs(1);
    /// let mut monitor = WatchMonitor::new(5 * second, 0 * second);
    /// assert_eq!(monitor.next(2 * second), WatchAction::Wait(3 * second));
    /// assert_eq!(monitor.next(5 * second), WatchAction::ReadHead);
    /// assert!(monitor.on_head(5 * second, 8, 7));
    /// ```
    #[must_use]
    pub fn new(interval: Duration, now: Duration) -> Self {
        Self {
            interval,
            confirmed_at: now,
            missed_changes: 0,
        }
    }

    /// Returns the step to take at `now`.
    #[must_use]
    pub fn next(&self, now: Duration) -> WatchAction {
        let due_at = self.confirmed_at + self.interval;
        let left = due_at.saturating_sub(now);
        if left.is_zero() {
            return WatchAction::ReadHead;
        }
        WatchAction::Wait(left)
    }

    /// Records an event, which shows that the watch works.
    pub fn on_event(&mut self, now: Duration) {
        self.confirmed_at = now;
    }

    /// Records the generation of the head read at `now`. Returns whether the watch missed a change and must be
    /// reopened.
    pub fn on_head(&mut self, now: Duration, head: Generation, used: Generation) -> bool {
        self.confirmed_at = now;
        let is_missed = head > used;
        self.missed_changes += u64::from(is_missed);
        is_missed
    }

    /// Records a failed read. The next one is due after another interval, so that a slow store is not overloaded.
    pub fn on_failure(&mut self, now: Duration) {
        self.confirmed_at = now;
    }

    /// Returns the number of changes found by reading the head instead of by an event.
    #[must_use]
    pub fn missed_changes(&self) -> u64 {
        self.missed_changes
    }
}

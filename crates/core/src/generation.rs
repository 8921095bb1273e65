//! Rules of the configuration's generation, as transition functions without I/O.
//!
//! - [`Publisher`] moves the generation by compare-and-swap under a unique write id. After an unknown result it repeats
//!   the same write, which can succeed only once, or finds its write id in the head's history.
//! - [`Replica`] is what one process knows: the generation it uses, which never falls, and whether it may become ready.
//! - [`WatchMonitor`] decides when a process that watches the key-value service must read the head again.
//!
//! The runtime feeds these functions with the answers of the key-value service and of peers, and so does the model
//! checker.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::Generation;

/// Unique number of one write, drawn at random by the writer.
pub type WriteId = u64;

/// Number of a write to the head, as the key-value service counts them; 0 if the head does not exist.
pub type HeadRevision = u64;

/// Generations whose write ids the head keeps. A publisher whose result stays unknown while more generations than this
/// pass cannot be told which one was its own.
pub const HISTORY_LENGTH: usize = 32;

/// Calls that a publisher makes before it gives up on an unreachable service.
pub const MAX_PUBLISH_CALLS: u32 = 12;

/// Peers that must answer before a process that cannot reach the service becomes ready. One peer may itself be behind.
pub const STARTUP_PEERS: usize = 3;

/// Head of the configuration, the one value that the compare-and-swap of a publisher is about.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Generation in force.
    pub generation: Generation,
    /// Latest writes, the newest last.
    pub history: VecDeque<HeadWrite>,
}

/// One accepted write of the head.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeadWrite {
    /// Generation that the write began.
    pub generation: Generation,
    /// Generation that it replaced.
    pub replaced: Generation,
    /// Unique number of the write.
    pub write_id: WriteId,
}

impl Head {
    /// Returns the head that follows this one.
    ///
    /// The new generation is above this head's and above `floor`, the highest generation that any process is known to
    /// have used; the two differ after the key-value service was restored from an old backup.
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

    /// Returns the write that replaced `generation`.
    #[must_use]
    pub fn successor(&self, generation: Generation) -> Option<&HeadWrite> {
        self.history
            .iter()
            .find(|write| write.replaced == generation)
    }

    /// Returns the generation that the head replaced.
    #[must_use]
    pub fn replaced(&self) -> Option<Generation> {
        self.history.back().map(|write| write.replaced)
    }
}

/// Answer of the key-value service as a publisher sees it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Answer<T> {
    /// The service answered.
    Done(T),
    /// The call certainly had no effect.
    Refused,
    /// The call may have had its effect, or may have it later.
    Unknown,
}

/// Answer to the compare-and-swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Swap {
    /// The head was replaced.
    Applied,
    /// The head was not at the expected revision.
    Conflict,
}

/// Head as read, with the revision of its last write.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct HeadRead {
    /// Head; the default if there is none.
    pub head: Head,
    /// Revision of its last write.
    pub revision: HeadRevision,
}

/// What a publisher does next.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum PublishStep {
    /// Read the head.
    ReadHead,
    /// Replace the head if it is at `expected`, together with the changed sections.
    Swap {
        /// Expected revision of the head.
        expected: HeadRevision,
        /// New head.
        head: Head,
    },
    /// Nothing; this is the outcome.
    End(PublishOutcome),
}

/// Outcome of publishing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PublishOutcome {
    /// The configuration took effect as this generation.
    Applied(Generation),
    /// It did not take effect and never will; another write won as `winner`.
    Lost {
        /// Generation of the write that won.
        winner: Generation,
    },
    /// It did not take effect and never will; the service could not be asked.
    NotRun,
    /// It may have taken effect or may do so later.
    Unknown,
}

/// An operator's attempt to replace the configuration of one head.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Publisher {
    base: HeadRead,
    next: Head,
    write_id: WriteId,
    phase: Phase,
    /// Whether a swap was sent whose result is not known.
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
    /// Starts from the head that the new configuration was made from.
    ///
    /// ```
    /// use tanagerford_core::generation::{
    ///     Answer, HeadRead, PublishOutcome, PublishStep, Publisher, Swap,
    /// };
    ///
    /// let mut publisher = Publisher::new(HeadRead::default(), 7, 0);
    /// assert!(matches!(publisher.step(), PublishStep::Swap { expected: 0, .. }));
    /// publisher.on_swap(&Answer::Done(Swap::Applied));
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

    /// Returns the generation that the write would begin.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.next.generation
    }

    /// Returns what to do next.
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

    /// Takes the answer to the swap.
    pub fn on_swap(&mut self, answer: &Answer<Swap>) {
        self.phase = match answer {
            Answer::Done(Swap::Applied) => {
                Phase::Ended(PublishOutcome::Applied(self.next.generation))
            }
            // A conflict may come from an earlier swap of this publisher whose answer was lost.
            Answer::Done(Swap::Conflict) => Phase::ReadingBack,
            Answer::Refused if self.is_ambiguous => Phase::ReadingBack,
            Answer::Refused => Phase::Ended(PublishOutcome::NotRun),
            Answer::Unknown => {
                self.is_ambiguous = true;
                Phase::ReadingBack
            }
        };
        self.count_call();
    }

    /// Takes the head that was read back.
    pub fn on_read(&mut self, answer: &Answer<HeadRead>) {
        if let Answer::Done(read) = answer {
            self.phase = self.judge(read);
        }
        self.count_call();
    }

    fn judge(&self, read: &HeadRead) -> Phase {
        if let Some(generation) = read.head.generation_of(self.write_id) {
            return Phase::Ended(PublishOutcome::Applied(generation));
        }
        // An unchanged head does not prove that the swap had no effect: it may still be on its way. The same swap is
        // sent again, since at most one of the two can find the expected revision.
        if read.revision == self.base.revision {
            return Phase::Swapping;
        }
        // The expected revision is gone for good, so no swap of this publisher can succeed any more. The history tells
        // whether an earlier one did.
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

/// What a process does about the generation in a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Comparison {
    /// Both sides use the same generation.
    Same,
    /// The sender is newer: fetch the sections after the own generation.
    SenderIsNewer,
    /// The sender is older: it will fetch.
    SenderIsOlder,
}

/// What a process does with a configuration it was given.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Decision {
    /// Use it.
    Use,
    /// Drop it, because it is not newer than the one in use.
    Drop,
}

/// Name of a peer, unique among the peers of one process.
pub type PeerId = String;

/// What one process knows of the configuration's generation.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct Replica {
    used: Generation,
    newest_heard: Generation,
    startup: Startup,
}

/// Evidence that a process's generation is recent enough to become ready.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Startup {
    /// Generations that live peers answered, and how many answers are needed.
    Waiting {
        heard: BTreeMap<PeerId, Generation>,
        needed: usize,
    },
    Settled,
}

impl Default for Startup {
    fn default() -> Self {
        Self::Waiting {
            heard: BTreeMap::new(),
            needed: STARTUP_PEERS,
        }
    }
}

impl Replica {
    /// Returns the generation in use; 0 before the first.
    #[must_use]
    pub fn used(&self) -> Generation {
        self.used
    }

    /// Returns the newest generation heard of.
    #[must_use]
    pub fn newest_heard(&self) -> Generation {
        self.newest_heard
    }

    /// Tells whether the process may serve: it holds a configuration, and either the key-value service or several
    /// peers had nothing newer when it started.
    ///
    /// ```
    /// use tanagerford_core::generation::Replica;
    ///
    /// let mut replica = Replica::default();
    /// replica.on_offer(3);
    /// for peer in ["a", "b"] {
    ///     replica.on_peer(peer, 3, 5);
    /// }
    /// assert!(!replica.is_ready());
    /// replica.on_peer("c", 3, 5);
    /// assert!(replica.is_ready());
    /// ```
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.used > 0 && self.startup == Startup::Settled
    }

    /// Compares the own generation with that of a message's sender.
    pub fn on_message(&mut self, sender: Generation) -> Comparison {
        self.newest_heard = self.newest_heard.max(sender);
        match sender.cmp(&self.used) {
            std::cmp::Ordering::Equal => Comparison::Same,
            std::cmp::Ordering::Greater => Comparison::SenderIsNewer,
            std::cmp::Ordering::Less => Comparison::SenderIsOlder,
        }
    }

    /// Decides about a complete configuration of generation `offered`, and counts it as used if it is.
    pub fn on_offer(&mut self, offered: Generation) -> Decision {
        self.newest_heard = self.newest_heard.max(offered);
        if offered <= self.used {
            return Decision::Drop;
        }
        self.used = offered;
        self.settle();
        Decision::Use
    }

    /// Takes the generation that the key-value service holds, after its configuration was offered.
    ///
    /// A service that was restored from an old backup may hold less than a peer that answered has in use.
    pub fn on_service(&mut self, generation: Generation) {
        self.newest_heard = self.newest_heard.max(generation);
        if let Startup::Waiting { heard, .. } = &self.startup
            && self.used > 0
            && self.used >= generation
            && heard.values().all(|peer| self.used >= *peer)
        {
            self.startup = Startup::Settled;
        }
    }

    /// Takes the generation that a peer answered during startup; `known_peers` is the count of live peers.
    ///
    /// A peer without a configuration is itself starting and proves nothing.
    pub fn on_peer(&mut self, peer: &str, generation: Generation, known_peers: usize) {
        self.newest_heard = self.newest_heard.max(generation);
        if let Startup::Waiting { heard, needed } = &mut self.startup {
            *needed = known_peers.clamp(1, STARTUP_PEERS);
            if generation > 0 {
                heard.insert(peer.to_owned(), generation);
            }
        }
        self.settle();
    }

    /// Forgets the answer of a peer that left or failed, because its generation may be lost with it.
    pub fn on_peer_gone(&mut self, peer: &str) {
        if let Startup::Waiting { heard, .. } = &mut self.startup {
            heard.remove(peer);
        }
        self.settle();
    }

    fn settle(&mut self) {
        if let Startup::Waiting { heard, needed } = &self.startup
            && heard.len() >= *needed
            && heard.values().all(|peer| self.used >= *peer)
        {
            self.startup = Startup::Settled;
        }
    }
}

/// What a watching process does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WatchAction {
    /// Keep waiting for events, at most this long.
    Wait(Duration),
    /// Read the head again.
    ReadHead,
}

/// Detects a watch that went dead without an error, by reading the head after each `interval` without an event.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct WatchMonitor {
    interval: Duration,
    confirmed_at: Duration,
    missed: u64,
}

impl WatchMonitor {
    /// Starts with a head that was read at `now`.
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
            missed: 0,
        }
    }

    /// Returns what to do at `now`.
    #[must_use]
    pub fn next(&self, now: Duration) -> WatchAction {
        let due_at = self.confirmed_at + self.interval;
        let left = due_at.saturating_sub(now);
        if left.is_zero() {
            return WatchAction::ReadHead;
        }
        WatchAction::Wait(left)
    }

    /// Takes an event, which proves that the watch is alive.
    pub fn on_event(&mut self, now: Duration) {
        self.confirmed_at = now;
    }

    /// Takes the head's generation read at `now` and tells whether the watch missed it and must be opened anew.
    pub fn on_head(&mut self, now: Duration, head: Generation, used: Generation) -> bool {
        self.confirmed_at = now;
        let is_missed = head > used;
        self.missed += u64::from(is_missed);
        is_missed
    }

    /// Takes a read that failed; the next one is due after another interval, so that a slow service is not flooded.
    pub fn on_failure(&mut self, now: Duration) {
        self.confirmed_at = now;
    }

    /// Returns how often the watch missed a change.
    #[must_use]
    pub fn missed(&self) -> u64 {
        self.missed
    }
}

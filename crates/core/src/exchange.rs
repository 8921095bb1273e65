//! Exchange of load summaries between entries, as a state machine without I/O.
//!
//! Every entry observes only its own calls. It reports to the others its load on every server and which shared prompt
//! parts it sent to which server. A summary replaces the previous one of its sender, so lost, repeated and reordered
//! datagrams are harmless.
//!
//! If every entry sent its summaries to all others, the number of messages would grow with the square of the number of
//! entries. Instead an entry sends each summary to one relay entry per availability zone. The relay bundles the
//! summaries that arrive at about the same time and forwards them to the other entries of its zone. Two relays per zone
//! alternate, so the loss of one halves the update rate until the relay times out. Entries of the same zone exchange
//! summaries directly while they are few. See [`Exchange`].

pub mod wire;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use crate::dispatch::{EntryLoad, Pool, PromptPart, ServerNumber};
use crate::ids::ZoneId;
use crate::store_position::StorePosition;

/// Shortest interval of summaries within the availability zone.
const SAME_ZONE_INTERVAL: Duration = Duration::from_millis(2);
/// Shortest interval of summaries to other availability zones, where traffic is charged.
const CROSS_ZONE_INTERVAL: Duration = Duration::from_millis(15);
/// Shortest interval of the bundles that a relay forwards.
const RELAY_INTERVAL: Duration = Duration::from_millis(5);
/// Shortest interval of messages from and to an entry that is short of processor time. Its choices are then based on
/// older loads, which costs less than the processor time of a message for each change.
const BUSY_INTERVAL: Duration = Duration::from_millis(60);
/// Interval of summaries while nothing changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of full summaries; those in between hold only changes. A receiver that missed a change has a wrong load for
/// at most this time. At 44 entries, sending only full summaries took most of the processor time in a burst.
const FULL_INTERVAL: Duration = Duration::from_millis(300);
/// Time without summaries after which an entry no longer counts as live and is not used as a relay.
const PEER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Largest number of other entries in the same availability zone that receive summaries directly; with more, relays are
/// cheaper.
const MAX_DIRECT_RECEIVERS: usize = 2;
/// Number of entries in an availability zone that read the key-value service for the others.
const READERS_PER_ZONE: usize = 2;
/// Largest number of entries in an availability zone that all read the key-value service themselves.
const MAX_ZONE_WITHOUT_READERS: usize = 4;
/// Number of entries in an availability zone that alternate as relays.
const RELAYS_PER_ZONE: usize = 2;
/// Time after which the relays of a zone alternate.
const RELAY_ROTATION_INTERVAL: Duration = Duration::from_millis(100);
/// Smallest prompt part that is reported, in tokens.
const MIN_PART_TOKENS: u32 = 512;
/// Largest number of parts that wait for the next summary; the oldest are dropped first.
const MAX_PENDING_PARTS: usize = 64;

/// Number of an entry, which is stable across its incarnations and the same at all entries.
pub type EntryNumber = u64;

/// Unique number of an incarnation of an entry.
pub type BootId = u64;

/// Intervals of summaries and bundles.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SummaryIntervals {
    /// Shortest interval of summaries within the availability zone; 2 ms by default.
    pub same_zone: Duration,
    /// Shortest interval of summaries to other availability zones; 15 ms by default.
    pub cross_zone: Duration,
    /// Shortest interval of the bundles that a relay forwards; 5 ms by default.
    pub relay: Duration,
}

impl Default for SummaryIntervals {
    fn default() -> Self {
        Self {
            same_zone: SAME_ZONE_INTERVAL,
            cross_zone: CROSS_ZONE_INTERVAL,
            relay: RELAY_INTERVAL,
        }
    }
}

/// Another entry as recorded in the registry of entries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Availability zone that the entry runs in.
    pub zone: ZoneId,
    /// Processor share of its VM in thousandths of a core. The entries with the largest share become relays.
    pub capacity: u32,
}

/// Report of one entry to the others.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Summary {
    /// Entry that sent the summary.
    pub entry: EntryNumber,
    /// Incarnation of the sender.
    pub boot: BootId,
    /// Sequence number within the incarnation; summaries that are not above the last received number are outdated.
    pub sequence: u64,
    /// Version of the configuration in use at the sender; 0 for none.
    pub version: u64,
    /// Position up to which the sender has received all changes of the key-value service.
    pub store: StorePosition,
    /// Time since the service last confirmed to the sender itself that `store` was the newest position; `None` if it never did.
    pub store_age: Option<Duration>,
    /// Time of sending by the clock of the incarnation; `None` if an older version sent the summary.
    pub sent_at: Option<Duration>,
    /// Whether `loads` is complete. If so, servers that are not in `loads` have no load, otherwise their load is
    /// unchanged.
    pub is_full: bool,
    /// Load of the sender by server.
    pub loads: Vec<(ServerNumber, EntryLoad)>,
    /// Shared prompt parts that the sender sent to servers since its previous summary.
    pub parts: Vec<(ServerNumber, PromptPart)>,
    /// Requests suspected of crashing servers, as encoded by [`suspect::wire`](crate::suspect::wire); may be empty.
    pub suspects: Vec<u8>,
    /// Prompt parts suspected of crashing servers, in the same encoding; empty unless the summary is full.
    pub suspect_parts: Vec<u8>,
    /// Limits of servers, as encoded by [`server_limit::wire`](crate::server_limit::wire); empty unless the summary is full.
    pub limits: Vec<u8>,
    /// Whether the sender is short of processor time, so that relays send it fewer bundles.
    pub is_busy: bool,
}

impl Summary {
    /// Updates a pool with the loads and prompt parts of the summary.
    pub fn apply_to(&self, now: Duration, pool: &mut Pool) {
        let loads = self.loads.iter().copied();
        if self.is_full {
            pool.set_peer_loads(now, self.boot, loads);
        } else {
            pool.update_peer_loads(now, self.boot, loads);
        }
        for (server, part) in &self.parts {
            pool.on_peer_part(now, *server, *part);
        }
    }
}

/// State of this entry that goes into its summaries.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SummaryContent {
    /// Version of the configuration in use; 0 for none.
    pub version: u64,
    /// Position up to which this entry has received all changes of the key-value service.
    pub store: StorePosition,
    /// Time since the service last confirmed to this entry itself that `store` was the newest position; `None` if it never
    /// did.
    pub store_age: Option<Duration>,
    /// Load of this entry by server.
    pub loads: Vec<(ServerNumber, EntryLoad)>,
    /// Requests suspected of crashing servers, as encoded by [`suspect::wire`](crate::suspect::wire); may be empty.
    pub suspects: Vec<u8>,
    /// Prompt parts suspected of crashing servers, in the same encoding; may be empty.
    pub suspect_parts: Vec<u8>,
    /// Limits of servers, as encoded by [`server_limit::wire`](crate::server_limit::wire); may be empty.
    pub limits: Vec<u8>,
}

/// Message between entries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Whether the receiver forwards the summaries to the other entries of its availability zone.
    pub to_relay: bool,
    /// Summaries of one entry, or of several entries if a relay bundles them.
    pub summaries: Vec<Summary>,
}

/// Message to send to one or several entries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// Entries to send the message to; never empty.
    pub receivers: Vec<EntryNumber>,
    /// Message to send to each receiver.
    pub message: Message,
}

/// State of the summaries to the own availability zone or to the others.
#[derive(Debug)]
struct SummaryChannel {
    /// Shortest time between two summaries.
    interval: Duration,
    due: Duration,
    last_sent_at: Duration,
    /// Shared prompt parts that were sent to servers since the previous summary.
    parts: Vec<(ServerNumber, PromptPart)>,
    /// Loads that the receivers know from the previous summaries.
    last_sent_loads: BTreeMap<ServerNumber, EntryLoad>,
    last_full_at: Option<Duration>,
}

impl SummaryChannel {
    fn new(interval: Duration) -> Self {
        Self {
            interval,
            due: Duration::ZERO,
            last_sent_at: Duration::ZERO,
            parts: Vec::new(),
            last_sent_loads: BTreeMap::new(),
            last_full_at: None,
        }
    }

    fn on_change(&mut self, now: Duration, is_busy: bool) {
        let interval = if is_busy {
            self.interval.max(BUSY_INTERVAL)
        } else {
            self.interval
        };
        self.due = self.due.min(now.max(self.last_sent_at + interval));
    }

    fn push_part(&mut self, server: ServerNumber, part: PromptPart) {
        if self.parts.len() >= MAX_PENDING_PARTS {
            self.parts.remove(0);
        }
        self.parts.push((server, part));
    }

    /// Returns the parts and loads of the next summary and marks them as sent.
    fn take(&mut self, now: Duration, loads: &[(ServerNumber, EntryLoad)]) -> PendingUpdate {
        self.due = now + HEARTBEAT_INTERVAL;
        self.last_sent_at = now;
        let before = std::mem::replace(&mut self.last_sent_loads, loads.iter().copied().collect());
        let is_full = self
            .last_full_at
            .is_none_or(|at| now.saturating_sub(at) >= FULL_INTERVAL);
        let loads = if is_full {
            self.last_full_at = Some(now);
            loads.to_vec()
        } else {
            let changed = loads
                .iter()
                .filter(|(server, load)| before.get(server) != Some(load));
            let ended = before
                .keys()
                .filter(|server| !self.last_sent_loads.contains_key(server));
            let ended = ended.map(|server| (*server, EntryLoad::default()));
            changed.copied().chain(ended).collect()
        };
        PendingUpdate {
            is_full,
            loads,
            parts: std::mem::take(&mut self.parts),
        }
    }
}

/// Parts and loads of the next summary.
#[derive(Debug)]
struct PendingUpdate {
    is_full: bool,
    loads: Vec<(ServerNumber, EntryLoad)>,
    parts: Vec<(ServerNumber, PromptPart)>,
}

/// Way in which an entry learns of changes of the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreRole {
    /// It watches the service and hands changes on to the other entries of its zone.
    Reader,
    /// It asks one of these entries for the changes.
    Follower(Vec<EntryNumber>),
}

/// Summaries that a relay forwards to the entries of its availability zone, or to some of them.
#[derive(Debug)]
struct RelayChannel {
    /// Shortest time between two bundles.
    interval: Duration,
    /// Summaries to forward, by incarnation of the sender.
    pending: BTreeMap<BootId, Summary>,
    due: Option<Duration>,
    last_sent_at: Duration,
}

impl RelayChannel {
    fn new(interval: Duration) -> Self {
        Self {
            interval,
            pending: BTreeMap::new(),
            due: None,
            last_sent_at: Duration::ZERO,
        }
    }

    /// Queues a summary. It replaces an older queued summary of the same sender; loads, parts, suspect parts and limits that
    /// only the older one holds are merged into it.
    fn push(&mut self, now: Duration, summary: &Summary) {
        let mut newer = summary.clone();
        if let Some(older) = self.pending.remove(&summary.boot) {
            newer.parts.splice(0..0, older.parts);
            if newer.suspect_parts.is_empty() {
                newer.suspect_parts = older.suspect_parts;
            }
            if newer.limits.is_empty() {
                newer.limits = older.limits;
            }
            if !newer.is_full {
                let is_updated = |server| newer.loads.iter().any(|(other, _)| *other == server);
                let mut loads = older.loads;
                loads.retain(|(server, _)| !is_updated(*server));
                loads.append(&mut newer.loads);
                newer.loads = loads;
                newer.is_full = older.is_full;
            }
        }
        self.pending.insert(summary.boot, newer);
        let due = now.max(self.last_sent_at + self.interval);
        self.due.get_or_insert(due);
    }

    /// Returns the bundle if it is due.
    fn take_due(&mut self, now: Duration) -> Option<Message> {
        self.due.take_if(|due| now >= *due)?;
        self.last_sent_at = now;
        Some(Message {
            to_relay: false,
            summaries: std::mem::take(&mut self.pending).into_values().collect(),
        })
    }
}

/// Last summary received from another entry.
#[derive(Debug)]
struct PeerState {
    received_at: Duration,
    is_busy: bool,
}

/// Last summary received from an incarnation.
#[derive(Debug)]
struct LastSummary {
    sequence: u64,
    at: Duration,
}

/// Exchange of summaries by one entry. It decides which summaries are due, who receives them, and which received
/// summaries are new.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tanagerford_core::exchange::{SummaryIntervals, SummaryContent, Exchange, Peer};
///
/// let peer = |zone: &str| Peer { zone: zone.into(), capacity: 130 };
/// let mut exchange = Exchange::new(1, 77, "zone-a", SummaryIntervals::default());
/// exchange.set_peer(1, Some(peer("zone-a")));
/// exchange.set_peer(2, Some(peer("zone-a")));
/// exchange.set_peer(3, Some(peer("zone-b")));
/// let now = Duration::from_secs(1);
/// exchange.on_change(now);
/// let sent = exchange.take_due(now, SummaryContent::default);
/// assert_eq!(sent[0].receivers, [2]);
/// ```
#[derive(Debug)]
pub struct Exchange {
    entry: EntryNumber,
    boot: BootId,
    zone: ZoneId,
    /// Other entries by availability zone, largest processor share first.
    zones: BTreeMap<ZoneId, BTreeSet<(Reverse<u32>, EntryNumber)>>,
    last_summaries: HashMap<BootId, LastSummary>,
    peer_states: HashMap<EntryNumber, PeerState>,
    sequence: u64,
    /// Whether this entry is short of processor time.
    is_busy: bool,
    same_zone: SummaryChannel,
    cross_zone: SummaryChannel,
    relay: RelayChannel,
    /// Bundles for the entries of the zone that are short of processor time; `relay` holds those for the others.
    busy_relay: RelayChannel,
}

impl Exchange {
    /// Creates the exchange of an entry that knows no other entries yet.
    #[must_use]
    pub fn new(
        entry: EntryNumber,
        boot: BootId,
        zone: impl Into<ZoneId>,
        intervals: SummaryIntervals,
    ) -> Self {
        Self {
            entry,
            boot,
            zone: zone.into(),
            zones: BTreeMap::new(),
            last_summaries: HashMap::new(),
            peer_states: HashMap::new(),
            sequence: 0,
            is_busy: false,
            same_zone: SummaryChannel::new(intervals.same_zone),
            cross_zone: SummaryChannel::new(intervals.cross_zone),
            relay: RelayChannel::new(intervals.relay),
            busy_relay: RelayChannel::new(intervals.relay.max(BUSY_INTERVAL)),
        }
    }

    /// Sets the registry record of an entry; `None` if the record was removed. The record of this entry itself is
    /// ignored.
    pub fn set_peer(&mut self, entry: EntryNumber, peer: Option<Peer>) {
        for entries in self.zones.values_mut() {
            entries.retain(|(_, known)| *known != entry);
        }
        if let Some(peer) = peer.filter(|_| entry != self.entry) {
            let entries = self.zones.entry(peer.zone).or_default();
            entries.insert((Reverse(peer.capacity), entry));
        }
    }

    /// Records a change of this entry's load. The next summary is due at once, or when the shortest interval has
    /// passed.
    pub fn on_change(&mut self, now: Duration) {
        self.same_zone.on_change(now, self.is_busy);
        self.cross_zone.on_change(now, self.is_busy);
    }

    /// Sets whether this entry is short of processor time. If so, it sends and receives fewer messages.
    pub fn set_busy(&mut self, is_busy: bool) {
        self.is_busy = is_busy;
    }

    /// Records that a prompt was sent to a server.
    pub fn on_sent(&mut self, now: Duration, server: ServerNumber, parts: &[PromptPart]) {
        // The last part is specific to the request, so no other entry sends it.
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        for part in shared.iter().filter(|part| part.tokens >= MIN_PART_TOKENS) {
            self.same_zone.push_part(server, *part);
            self.cross_zone.push_part(server, *part);
        }
        self.on_change(now);
    }

    /// Returns the time at which the next message is due.
    #[must_use]
    pub fn next_due(&self) -> Duration {
        let own = self.same_zone.due.min(self.cross_zone.due);
        let relays = [self.relay.due, self.busy_relay.due];
        relays.into_iter().flatten().fold(own, Duration::min)
    }

    /// Returns the messages that are due. `content` is called only if a summary of this entry is due.
    pub fn take_due(
        &mut self,
        now: Duration,
        content: impl FnOnce() -> SummaryContent,
    ) -> Vec<OutgoingMessage> {
        let mut outgoing = Vec::new();
        let (is_same_zone_due, is_cross_zone_due) =
            (now >= self.same_zone.due, now >= self.cross_zone.due);
        if is_same_zone_due || is_cross_zone_due {
            let content = content();
            if is_same_zone_due {
                let (receivers, to_relay) = self.same_zone_receivers(now);
                let update = self.same_zone.take(now, &content.loads);
                outgoing.push(self.own_message(now, receivers, to_relay, update, &content));
            }
            if is_cross_zone_due {
                let receivers = self.cross_zone_receivers(now);
                let update = self.cross_zone.take(now, &content.loads);
                outgoing.push(self.own_message(now, receivers, true, update, &content));
            }
        }
        let bundles = (self.relay.take_due(now), self.busy_relay.take_due(now));
        if bundles != (None, None) {
            let (busy, others) = self.other_entries_in_zone_by_load();
            for (message, receivers) in [(bundles.0, others), (bundles.1, busy)] {
                outgoing.extend(message.map(|message| OutgoingMessage { receivers, message }));
            }
        }
        outgoing.retain(|message| !message.receivers.is_empty());
        outgoing
    }

    fn own_message(
        &mut self,
        now: Duration,
        receivers: Vec<EntryNumber>,
        to_relay: bool,
        update: PendingUpdate,
        content: &SummaryContent,
    ) -> OutgoingMessage {
        self.sequence += 1;
        let only_if_full = |encoded: &Vec<u8>| {
            if update.is_full {
                encoded.clone()
            } else {
                Vec::new()
            }
        };
        let suspect_parts = only_if_full(&content.suspect_parts);
        let limits = only_if_full(&content.limits);
        let summary = Summary {
            entry: self.entry,
            boot: self.boot,
            sequence: self.sequence,
            version: content.version,
            store: content.store,
            store_age: content.store_age,
            sent_at: Some(now),
            is_full: update.is_full,
            loads: update.loads,
            parts: update.parts,
            suspects: content.suspects.clone(),
            suspect_parts,
            limits,
            is_busy: self.is_busy,
        };
        OutgoingMessage {
            receivers,
            message: Message {
                to_relay,
                summaries: vec![summary],
            },
        }
    }

    /// Processes a message and returns the summaries that are newer than those received before.
    pub fn receive(&mut self, now: Duration, message: Message) -> Vec<Summary> {
        let (busy, others) = if message.to_relay {
            self.other_entries_in_zone_by_load()
        } else {
            (Vec::new(), Vec::new())
        };
        let mut new_summaries = Vec::new();
        for summary in message.summaries {
            if summary.boot == self.boot {
                continue;
            }
            let last = self
                .last_summaries
                .entry(summary.boot)
                .or_insert(LastSummary {
                    sequence: 0,
                    at: now,
                });
            if summary.sequence <= last.sequence {
                continue;
            }
            last.sequence = summary.sequence;
            last.at = now;
            let state = PeerState {
                received_at: now,
                is_busy: summary.is_busy,
            };
            self.peer_states.insert(summary.entry, state);
            if !others.is_empty() {
                self.relay.push(now, &summary);
            }
            if !busy.is_empty() {
                self.busy_relay.push(now, &summary);
            }
            new_summaries.push(summary);
        }
        new_summaries
    }

    /// Returns the other entries from which a summary was received within [`PEER_TIMEOUT`].
    pub fn live_entries(&mut self, now: Duration) -> Vec<EntryNumber> {
        let is_recent = |at: Duration| now.saturating_sub(at) < PEER_TIMEOUT;
        self.last_summaries.retain(|_, last| is_recent(last.at));
        self.peer_states
            .retain(|_, state| is_recent(state.received_at));
        let mut live: Vec<_> = self.peer_states.keys().copied().collect();
        live.sort_unstable();
        live
    }

    /// Returns how this entry learns of changes of the key-value service. In a small zone all entries read it themselves; in a
    /// larger one, those that were heard of a short time ago with the largest processor shares do.
    #[must_use]
    pub fn store_role(&self, now: Duration, own_capacity: u32) -> StoreRole {
        let mut candidates = self.candidate_readers(now, &self.zone);
        let own = (Reverse(own_capacity), self.entry);
        candidates.insert(own);
        let readers: Vec<_> = candidates.iter().take(READERS_PER_ZONE).collect();
        if candidates.len() <= MAX_ZONE_WITHOUT_READERS || readers.contains(&&own) {
            return StoreRole::Reader;
        }
        StoreRole::Follower(readers.into_iter().map(|(_, entry)| *entry).collect())
    }

    /// Returns the number of entries that read the key-value service, including this one if it does.
    #[must_use]
    pub fn store_readers(&self, now: Duration) -> usize {
        let readers = self.zones.keys().map(|zone| {
            let own = usize::from(*zone == self.zone);
            let candidates = self.candidate_readers(now, zone).len() + own;
            if candidates <= MAX_ZONE_WITHOUT_READERS {
                candidates
            } else {
                READERS_PER_ZONE
            }
        });
        readers.sum::<usize>().max(1)
    }

    /// Returns the other entries of a zone that were heard of a short time ago, or all of them if none was.
    fn candidate_readers(
        &self,
        now: Duration,
        zone: &str,
    ) -> BTreeSet<(Reverse<u32>, EntryNumber)> {
        let registered = || self.zones.get(zone).into_iter().flatten().copied();
        let live: BTreeSet<_> = registered()
            .filter(|(_, entry)| self.is_live(now, *entry))
            .collect();
        if live.is_empty() {
            registered().collect()
        } else {
            live
        }
    }

    fn is_live(&self, now: Duration, entry: EntryNumber) -> bool {
        let state = self.peer_states.get(&entry);
        state.is_some_and(|state| now.saturating_sub(state.received_at) < PEER_TIMEOUT)
    }

    /// Returns this entry and the others that were heard of a short time ago, those with the largest processor shares first.
    #[must_use]
    pub fn entries_by_capacity(&self, now: Duration, own_capacity: u32) -> Vec<EntryNumber> {
        let others = self.zones.values().flatten().copied();
        let mut entries: Vec<_> = others
            .filter(|(_, entry)| self.is_live(now, *entry))
            .collect();
        entries.push((Reverse(own_capacity), self.entry));
        entries.sort_unstable();
        entries.into_iter().map(|(_, entry)| entry).collect()
    }

    /// Returns the other registered entries.
    #[must_use]
    pub fn registered_entries(&self) -> BTreeSet<EntryNumber> {
        let entries = self.zones.values().flatten();
        entries.map(|(_, entry)| *entry).collect()
    }

    fn other_entries_in_zone(&self) -> Vec<EntryNumber> {
        let others = self.zones.get(&self.zone).into_iter().flatten();
        others.map(|(_, entry)| *entry).collect()
    }

    /// Returns the other entries of the availability zone: those that are short of processor time, and the rest. If this
    /// entry is short of it itself, all count as such.
    fn other_entries_in_zone_by_load(&self) -> (Vec<EntryNumber>, Vec<EntryNumber>) {
        let others = self.other_entries_in_zone().into_iter();
        others.partition(|entry| self.is_busy || self.is_peer_busy(*entry))
    }

    fn is_peer_busy(&self, entry: EntryNumber) -> bool {
        let state = self.peer_states.get(&entry);
        state.is_some_and(|state| state.is_busy)
    }

    /// Returns the receivers in the own availability zone, and whether they have to forward the summary.
    fn same_zone_receivers(&self, now: Duration) -> (Vec<EntryNumber>, bool) {
        let others = self.other_entries_in_zone();
        if others.len() <= MAX_DIRECT_RECEIVERS {
            return (others, false);
        }
        (self.relay(now, &self.zone).into_iter().collect(), true)
    }

    fn cross_zone_receivers(&self, now: Duration) -> Vec<EntryNumber> {
        let other_zones = self.zones.keys().filter(|zone| **zone != self.zone);
        other_zones
            .filter_map(|zone| self.relay(now, zone))
            .collect()
    }

    /// Returns the current relay of an availability zone. Entries that have timed out are skipped, unless no entry of
    /// the zone is live. Of the two relays, one that is short of processor time is skipped.
    fn relay(&self, now: Duration, zone: &str) -> Option<EntryNumber> {
        let candidates = || {
            self.zones
                .get(zone)
                .into_iter()
                .flatten()
                .map(|(_, entry)| *entry)
        };
        let live = candidates().filter(|entry| self.is_live(now, *entry));
        let mut relays: Vec<_> = live.take(RELAYS_PER_ZONE).collect();
        if relays.is_empty() {
            relays.extend(candidates().take(RELAYS_PER_ZONE));
        }
        if !relays.iter().all(|relay| self.is_peer_busy(*relay)) {
            relays.retain(|relay| !self.is_peer_busy(*relay));
        }
        let is_second = now.as_nanos() / RELAY_ROTATION_INTERVAL.as_nanos() % 2 == 1;
        relays
            .get(usize::from(is_second))
            .or(relays.first())
            .copied()
    }
}

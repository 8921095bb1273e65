//! Load summaries that entries send each other, as a state machine without I/O.
//!
//! Every entry sees only its own part of the calls. Each tells the others what it puts on every server and which shared
//! prompt parts it sent where. A summary replaces the previous one of its sender, so lost, repeated and reordered
//! datagrams do no harm.
//!
//! Messages would grow with the square of the entries if each told all others. So an entry sends each summary to one
//! entry of every availability zone, its relay, which passes it on to the others there together with all that came in
//! the same moment. Two relays of a zone take turns: a lost one halves the freshness until it is left out. The entries of
//! the same zone are told directly as long as they are few. See [`Exchange`].

pub mod wire;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use crate::dispatch::{EntryLoad, Pool, PromptPart, ServerNumber};
use crate::ids::ZoneId;
use crate::store_position::StorePosition;

/// Shortest interval of summaries to the same availability zone.
const NEAR_INTERVAL: Duration = Duration::from_millis(2);
/// Shortest interval of summaries to other availability zones, whose bytes cost money.
const FAR_INTERVAL: Duration = Duration::from_millis(15);
/// Shortest interval of the bundles of a relay.
const RELAY_INTERVAL: Duration = Duration::from_millis(5);
/// Interval of summaries while nothing changes.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// Interval at which a summary holds all loads; those in between hold what has changed. A receiver that missed one is
/// wrong for so long. At 44 entries, summaries with all loads took most of the processor time in a burst.
const FULL_INTERVAL: Duration = Duration::from_millis(300);
/// Silence after which an entry is not counted any more and relays nothing.
const PEER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Entries of the same availability zone that are told directly; with more, relays are cheaper.
const MAX_DIRECT: usize = 2;
/// Relays of an availability zone.
const RELAYS: usize = 2;
/// Time for which one of the relays is used before the next one has its turn.
const RELAY_TURN: Duration = Duration::from_millis(100);
/// Smallest part of a prompt that is worth telling, in tokens.
const MIN_PART_TOKENS: u32 = 512;
/// Parts that wait for a summary; the oldest are dropped beyond it.
const MAX_WAITING_PARTS: usize = 64;

/// Number of an entry, the same in all its incarnations and at all entries.
pub type EntryNumber = u64;

/// Number of an incarnation of an entry.
pub type Boot = u64;

/// Intervals of the summaries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cadence {
    /// Shortest interval of summaries to the same availability zone.
    pub near: Duration,
    /// Shortest interval of summaries to other availability zones.
    pub far: Duration,
    /// Shortest interval of the bundles of a relay.
    pub relay: Duration,
}

impl Default for Cadence {
    fn default() -> Self {
        Self {
            near: NEAR_INTERVAL,
            far: FAR_INTERVAL,
            relay: RELAY_INTERVAL,
        }
    }
}

/// Another entry as the registry of entries describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Availability zone.
    pub zone: ZoneId,
    /// Processor share of its VM in thousandths of a core; relays are taken from the largest.
    pub capacity: u32,
}

/// What an entry tells the others.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Summary {
    /// Entry that tells it.
    pub entry: EntryNumber,
    /// Incarnation of the entry.
    pub boot: Boot,
    /// Number of the summary; a smaller one than the last is out of date.
    pub sequence: u64,
    /// Version of the configuration in force at the entry; 0 for none.
    pub version: u64,
    /// Moment up to which the entry knows all changes of the store.
    pub store: StorePosition,
    /// Whether servers that `loads` does not name have no load; otherwise their load is what it was.
    pub is_full: bool,
    /// Loads by server.
    pub loads: Vec<(ServerNumber, EntryLoad)>,
    /// Shared prompt parts that were sent since the previous summary.
    pub parts: Vec<(ServerNumber, PromptPart)>,
    /// Requests that are suspected of crashing servers, in their own encoding.
    pub suspects: Vec<u8>,
}

impl Summary {
    /// Takes what the summary tells over into the beliefs about a pool.
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

/// Content of a summary, which the exchange asks for when one is due.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Content {
    /// Version of the configuration in force; 0 for none.
    pub version: u64,
    /// Moment up to which all changes of the store are known.
    pub store: StorePosition,
    /// Loads by server.
    pub loads: Vec<(ServerNumber, EntryLoad)>,
    /// Requests that are suspected of crashing servers.
    pub suspects: Vec<u8>,
}

/// Message between entries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Whether the receiver passes the summaries on to its availability zone.
    pub to_relay: bool,
    /// Summaries of one or several entries.
    pub summaries: Vec<Summary>,
}

/// Message with the entries that it goes to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// Receivers.
    pub receivers: Vec<EntryNumber>,
    /// Message.
    pub message: Message,
}

/// What is told to the own availability zone, or to the others, and when.
#[derive(Debug)]
struct Lane {
    /// Shortest time between two summaries.
    interval: Duration,
    due: Duration,
    last: Duration,
    /// Parts that were sent since the previous summary.
    parts: Vec<(ServerNumber, PromptPart)>,
    /// Loads that the previous summaries add up to.
    told: BTreeMap<ServerNumber, EntryLoad>,
    full_at: Option<Duration>,
}

impl Lane {
    fn new(interval: Duration) -> Self {
        Self {
            interval,
            due: Duration::ZERO,
            last: Duration::ZERO,
            parts: Vec::new(),
            told: BTreeMap::new(),
            full_at: None,
        }
    }

    fn on_change(&mut self, now: Duration) {
        self.due = self.due.min(now.max(self.last + self.interval));
    }

    fn push_part(&mut self, server: ServerNumber, part: PromptPart) {
        if self.parts.len() >= MAX_WAITING_PARTS {
            self.parts.remove(0);
        }
        self.parts.push((server, part));
    }

    /// Takes the parts and loads to tell, and whether the loads are all.
    fn take(&mut self, now: Duration, loads: &[(ServerNumber, EntryLoad)]) -> Untold {
        self.due = now + HEARTBEAT;
        self.last = now;
        let before = std::mem::replace(&mut self.told, loads.iter().copied().collect());
        let is_full = self
            .full_at
            .is_none_or(|at| now.saturating_sub(at) >= FULL_INTERVAL);
        let loads = if is_full {
            self.full_at = Some(now);
            loads.to_vec()
        } else {
            let changed = loads
                .iter()
                .filter(|(server, load)| before.get(server) != Some(load));
            let ended = before
                .keys()
                .filter(|server| !self.told.contains_key(server));
            let ended = ended.map(|server| (*server, EntryLoad::default()));
            changed.copied().chain(ended).collect()
        };
        Untold {
            is_full,
            loads,
            parts: std::mem::take(&mut self.parts),
        }
    }
}

/// What a lane has to tell.
#[derive(Debug)]
struct Untold {
    is_full: bool,
    loads: Vec<(ServerNumber, EntryLoad)>,
    parts: Vec<(ServerNumber, PromptPart)>,
}

/// What is remembered of an incarnation.
#[derive(Debug)]
struct Heard {
    sequence: u64,
    at: Duration,
}

/// Summaries of one entry: which are due, to whom they go, and which of those that arrive are new.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tanagerford_core::exchange::{Cadence, Content, Exchange, Peer};
///
/// let peer = |zone: &str| Peer { zone: zone.into(), capacity: 130 };
/// let mut exchange = Exchange::new(1, 77, "zone-a", Cadence::default());
/// exchange.set_peer(1, Some(peer("zone-a")));
/// exchange.set_peer(2, Some(peer("zone-a")));
/// exchange.set_peer(3, Some(peer("zone-b")));
/// let now = Duration::from_secs(1);
/// exchange.on_change(now);
/// let sent = exchange.due(now, Content::default);
/// assert_eq!(sent[0].receivers, [2]);
/// ```
#[derive(Debug)]
pub struct Exchange {
    entry: EntryNumber,
    boot: Boot,
    zone: ZoneId,
    /// Other entries by availability zone, the largest VMs first.
    zones: BTreeMap<ZoneId, BTreeSet<(Reverse<u32>, EntryNumber)>>,
    heard: HashMap<Boot, Heard>,
    last_heard: HashMap<EntryNumber, Duration>,
    sequence: u64,
    near: Lane,
    far: Lane,
    relay_interval: Duration,
    /// Summaries to pass on to the own availability zone, by incarnation, and when.
    pending: BTreeMap<Boot, Summary>,
    relay_due: Option<Duration>,
    last_relay: Duration,
}

impl Exchange {
    /// Creates the exchange of an entry that knows no others yet.
    #[must_use]
    pub fn new(entry: EntryNumber, boot: Boot, zone: impl Into<ZoneId>, cadence: Cadence) -> Self {
        Self {
            entry,
            boot,
            zone: zone.into(),
            zones: BTreeMap::new(),
            heard: HashMap::new(),
            last_heard: HashMap::new(),
            sequence: 0,
            near: Lane::new(cadence.near),
            far: Lane::new(cadence.far),
            relay_interval: cadence.relay,
            pending: BTreeMap::new(),
            relay_due: None,
            last_relay: Duration::ZERO,
        }
    }

    /// Sets what is known of an entry; `None` when its record is gone. The own record tells nothing new.
    pub fn set_peer(&mut self, entry: EntryNumber, peer: Option<Peer>) {
        for entries in self.zones.values_mut() {
            entries.retain(|(_, known)| *known != entry);
        }
        if let Some(peer) = peer.filter(|_| entry != self.entry) {
            let entries = self.zones.entry(peer.zone).or_default();
            entries.insert((Reverse(peer.capacity), entry));
        }
    }

    /// Records that the load of this entry has changed. It is due at once unless the last summary was a moment ago.
    pub fn on_change(&mut self, now: Duration) {
        self.near.on_change(now);
        self.far.on_change(now);
    }

    /// Records that a prompt was sent to a server.
    pub fn on_sent(&mut self, now: Duration, server: ServerNumber, parts: &[PromptPart]) {
        // The last part belongs to the request itself; nobody else sends it.
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        for part in shared.iter().filter(|part| part.tokens >= MIN_PART_TOKENS) {
            self.near.push_part(server, *part);
            self.far.push_part(server, *part);
        }
        self.on_change(now);
    }

    /// Returns when the next message is due.
    #[must_use]
    pub fn next_due(&self) -> Duration {
        let own = self.near.due.min(self.far.due);
        self.relay_due.map_or(own, |relay| own.min(relay))
    }

    /// Returns the messages that are due. `content` is asked for the state of this entry when a summary is due.
    pub fn due(&mut self, now: Duration, content: impl FnOnce() -> Content) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        let (is_near_due, is_far_due) = (now >= self.near.due, now >= self.far.due);
        if is_near_due || is_far_due {
            let content = content();
            if is_near_due {
                let (receivers, to_relay) = self.near_receivers(now);
                let untold = self.near.take(now, &content.loads);
                outgoing.push(self.own_message(receivers, to_relay, untold, &content));
            }
            if is_far_due {
                let receivers = self.far_receivers(now);
                let untold = self.far.take(now, &content.loads);
                outgoing.push(self.own_message(receivers, true, untold, &content));
            }
        }
        if self.relay_due.is_some_and(|due| now >= due) {
            self.relay_due = None;
            self.last_relay = now;
            let message = Message {
                to_relay: false,
                summaries: std::mem::take(&mut self.pending).into_values().collect(),
            };
            outgoing.push(Outgoing {
                receivers: self.others_of_zone(),
                message,
            });
        }
        outgoing.retain(|one| !one.receivers.is_empty());
        outgoing
    }

    fn own_message(
        &mut self,
        receivers: Vec<EntryNumber>,
        to_relay: bool,
        untold: Untold,
        content: &Content,
    ) -> Outgoing {
        self.sequence += 1;
        let summary = Summary {
            entry: self.entry,
            boot: self.boot,
            sequence: self.sequence,
            version: content.version,
            store: content.store,
            is_full: untold.is_full,
            loads: untold.loads,
            parts: untold.parts,
            suspects: content.suspects.clone(),
        };
        Outgoing {
            receivers,
            message: Message {
                to_relay,
                summaries: vec![summary],
            },
        }
    }

    /// Takes a message; returns the summaries that are newer than what was known.
    pub fn receive(&mut self, now: Duration, message: Message) -> Vec<Summary> {
        let to_relay = message.to_relay;
        let mut fresh = Vec::new();
        for summary in message.summaries {
            if summary.boot == self.boot {
                continue;
            }
            let heard = self.heard.entry(summary.boot).or_insert(Heard {
                sequence: 0,
                at: now,
            });
            if summary.sequence <= heard.sequence {
                continue;
            }
            heard.sequence = summary.sequence;
            heard.at = now;
            self.last_heard.insert(summary.entry, now);
            if to_relay {
                self.pass_on(now, &summary);
            }
            fresh.push(summary);
        }
        fresh
    }

    /// Keeps a summary for the other entries of the availability zone. A newer one takes the place of an older one of the
    /// same sender; what only the older one tells is passed on with it.
    fn pass_on(&mut self, now: Duration, summary: &Summary) {
        let mut newer = summary.clone();
        if let Some(older) = self.pending.remove(&summary.boot) {
            newer.parts.splice(0..0, older.parts);
            if !newer.is_full {
                let is_retold = |server| newer.loads.iter().any(|(other, _)| *other == server);
                let mut loads = older.loads;
                loads.retain(|(server, _)| !is_retold(*server));
                loads.append(&mut newer.loads);
                newer.loads = loads;
                newer.is_full = older.is_full;
            }
        }
        self.pending.insert(summary.boot, newer);
        let due = now.max(self.last_relay + self.relay_interval);
        self.relay_due.get_or_insert(due);
    }

    /// Returns the other entries that were heard of lately.
    pub fn live_entries(&mut self, now: Duration) -> Vec<EntryNumber> {
        let is_recent = |at: Duration| now.saturating_sub(at) < PEER_TIMEOUT;
        self.heard.retain(|_, heard| is_recent(heard.at));
        self.last_heard.retain(|_, at| is_recent(*at));
        let mut live: Vec<_> = self.last_heard.keys().copied().collect();
        live.sort_unstable();
        live
    }

    fn others_of_zone(&self) -> Vec<EntryNumber> {
        let others = self.zones.get(&self.zone).into_iter().flatten();
        others.map(|(_, entry)| *entry).collect()
    }

    /// Returns the receivers in the own availability zone, and whether they have to pass the summary on.
    fn near_receivers(&self, now: Duration) -> (Vec<EntryNumber>, bool) {
        let others = self.others_of_zone();
        if others.len() <= MAX_DIRECT {
            return (others, false);
        }
        (self.relay(now, &self.zone).into_iter().collect(), true)
    }

    fn far_receivers(&self, now: Duration) -> Vec<EntryNumber> {
        let far = self.zones.keys().filter(|zone| **zone != self.zone);
        far.filter_map(|zone| self.relay(now, zone)).collect()
    }

    /// Returns the relay of an availability zone whose turn it is. Entries that fell silent are left out, unless nobody
    /// of the zone was heard of yet.
    fn relay(&self, now: Duration, zone: &str) -> Option<EntryNumber> {
        let candidates = || {
            self.zones
                .get(zone)
                .into_iter()
                .flatten()
                .map(|(_, entry)| *entry)
        };
        let live = candidates().filter(|entry| {
            let at = self.last_heard.get(entry);
            at.is_some_and(|at| now.saturating_sub(*at) < PEER_TIMEOUT)
        });
        let mut relays: Vec<_> = live.take(RELAYS).collect();
        if relays.is_empty() {
            relays.extend(candidates().take(RELAYS));
        }
        let is_second = now.as_nanos() / RELAY_TURN.as_nanos() % 2 == 1;
        relays
            .get(usize::from(is_second))
            .or(relays.first())
            .copied()
    }
}

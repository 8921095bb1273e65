//! Choice of a backend server by an entry that calls the servers itself.
//!
//! A [`Pool`] keeps what one entry believes about the servers of a pool: calls in flight and prompts that wait for their
//! first token (its own and those in the summaries of other entries), prompt parts in the servers' caches, and recent
//! failures. [`Pool::choose`] estimates what each server would cost the call, in milliseconds, and takes the cheapest.
//!
//! Long prefills delay the tokens of every stream on the same server, so long prompts and streams are drawn to opposite
//! ends of one order of the servers that all entries compute alike.

mod cache;
mod cost;
mod health;
mod room;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{ServerId, ZoneId};

pub use cache::PartCache;
pub use cost::CostSettings;
pub use health::{CallEnd, Health};
pub use room::{Room, RoomGate};

/// Number of one prompt part; equal parts have equal numbers.
pub type PartId = u64;

/// Part of a prompt that several requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Number of the part.
    pub id: PartId,
    /// Size in tokens.
    pub tokens: u32,
}

/// What a call asks of a server.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    /// Parts of the prompt in order; empty for calls of plain services.
    pub parts: Vec<PromptPart>,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Expected count of generated tokens.
    pub output_tokens: u32,
    /// Size of the request's body, in bytes.
    pub body_bytes: usize,
}

/// What the registry says of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerSpec {
    /// Name of the server.
    pub id: ServerId,
    /// Availability zone of the server.
    pub zone: ZoneId,
    /// Requests that the server runs at the same time.
    pub slots: u32,
    /// Tokens that the server's cache and running requests share; 0 for plain services.
    pub memory_tokens: u64,
}

/// Load that a server told in one of its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
}

/// Chosen server with what decided it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Choice {
    /// Name of the server.
    pub server: ServerId,
    /// Estimated cost, in milliseconds.
    pub cost_ms: f64,
    /// Prompt tokens that the server has to read.
    pub uncached_tokens: u32,
    /// Requests believed to be in flight at the server.
    pub in_flight: u32,
    /// Prompt tokens that wait before this call's.
    pub waiting_tokens: u32,
    /// Estimated time to the first token, in milliseconds; 0 for plain services.
    pub first_token_ms: f64,
    /// Whether the prompt delays the streams of its server noticeably.
    pub is_long: bool,
    /// Streams of the server that would probably be late because of this call.
    pub harmed_streams: f64,
    /// Servers that could have been chosen.
    pub candidates: usize,
}

/// Number of a call of this entry.
pub type CallNumber = u64;

/// Number that tells other entries apart.
pub type PeerNumber = u64;

/// Load that one entry puts on a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EntryLoad {
    /// Calls in flight.
    pub flights: u32,
    /// Calls in flight whose tokens are being generated and whose caller is hurt by pauses.
    pub streams: u32,
    /// Prompt tokens of calls that have no first token yet.
    pub waiting_tokens: u32,
}

impl EntryLoad {
    fn add(self, other: Self) -> Self {
        Self {
            flights: self.flights + other.flights,
            streams: self.streams + other.streams,
            waiting_tokens: self.waiting_tokens.saturating_add(other.waiting_tokens),
        }
    }
}

/// Load that another entry told, and when.
#[derive(Debug, Clone, Copy)]
struct PeerLoad {
    load: EntryLoad,
    told: Duration,
}

/// Age after which the load that another entry told is ignored: it may have stopped.
const PEER_LIFETIME: Duration = Duration::from_secs(4);

#[derive(Debug)]
struct ServerState {
    spec: ServerSpec,
    /// Position in the common order of the servers, from 0 to 1.
    rank: f64,
    flights: BTreeMap<CallNumber, EntryLoad>,
    peers: BTreeMap<PeerNumber, PeerLoad>,
    /// Prefill time that was queued recently; halves each [`cost::RECENT_HALF_LIFE`].
    recent_prefill_ms: f64,
    recent_at: Duration,
    cache: PartCache,
    reported: Option<(Duration, ReportedLoad)>,
    health: Health,
}

/// Beliefs about the servers of one pool.
#[derive(Debug)]
pub struct Pool {
    zone: ZoneId,
    settings: CostSettings,
    servers: BTreeMap<ServerId, ServerState>,
}

impl Pool {
    /// Creates a pool without servers, as seen from an availability zone.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::dispatch::{CostSettings, Demand, Pool, ServerSpec};
    ///
    /// let mut pool = Pool::new("zone-a", CostSettings::default());
    /// let server = |id: &str, zone: &str| ServerSpec {
    ///     id: id.into(), zone: zone.into(), slots: 4, memory_tokens: 0,
    /// };
    /// pool.set_servers(&[server("near", "zone-a"), server("far", "zone-b")]);
    /// let choice = pool.choose(Duration::ZERO, &Demand::default(), &[]).unwrap();
    /// assert_eq!(choice.server, "near");
    /// ```
    #[must_use]
    pub fn new(zone: impl Into<ZoneId>, settings: CostSettings) -> Self {
        Self {
            zone: zone.into(),
            settings,
            servers: BTreeMap::new(),
        }
    }

    /// Replaces the set of servers; what is believed of those that stay is kept.
    pub fn set_servers(&mut self, specs: &[ServerSpec]) {
        let mut old = std::mem::take(&mut self.servers);
        for spec in specs {
            let state = match old.remove(&spec.id) {
                Some(mut state) => {
                    state.spec = spec.clone();
                    state
                }
                None => ServerState::new(spec.clone()),
            };
            self.servers.insert(spec.id.clone(), state);
        }
        self.rank();
    }

    /// Orders the servers of each availability zone by a hash, the same at every entry.
    fn rank(&mut self) {
        let mut by_zone: BTreeMap<ZoneId, Vec<(u64, ServerId)>> = BTreeMap::new();
        for (id, state) in &self.servers {
            let hash = xxhash_rust::xxh3::xxh3_64(id.as_bytes());
            let zone = by_zone.entry(state.spec.zone.clone()).or_default();
            zone.push((hash, id.clone()));
        }
        for mut order in by_zone.into_values() {
            order.sort();
            let last = order.len().saturating_sub(1).max(1);
            for (position, (_, id)) in order.into_iter().enumerate() {
                if let Some(state) = self.servers.get_mut(&id) {
                    state.rank = cost::ratio(position, last);
                }
            }
        }
    }

    /// Sets what the configuration says of the pool's engines: tokens of an event of a stream, and the longest pause
    /// between events with which a stream counts as on time.
    pub fn set_streams(&mut self, event_tokens: u32, pause_limit: Duration) {
        self.settings.event_tokens = event_tokens.max(1);
        self.settings.pause_limit_ms = pause_limit.as_secs_f64() * 1_000.0;
    }

    /// Chooses a server for a call, except those in `exclude`.
    #[must_use]
    pub fn choose(&self, now: Duration, demand: &Demand, exclude: &[ServerId]) -> Option<Choice> {
        let usable = || {
            let servers = self.servers.iter();
            servers.filter(|(id, _)| !exclude.contains(id))
        };
        let healthy = usable().filter(|(_, state)| !state.health.is_ejected(now));
        let mut candidates: Vec<_> = healthy.collect();
        // With most servers ejected, the ejections say more about this entry or the network than about the servers.
        if candidates.len() * 2 < usable().count() {
            candidates = usable().collect();
        }
        let priced = candidates.iter().map(|(id, state)| {
            let cost_ms = state.cost_ms(&self.settings, &self.zone, now, demand);
            (cost_ms, *id, *state)
        });
        let (cost_ms, id, state) = priced.min_by(|a, b| a.0.total_cmp(&b.0))?;
        let situation = state.situation(now, demand);
        Some(Choice {
            server: id.clone(),
            cost_ms,
            uncached_tokens: situation.missing_tokens,
            in_flight: situation.running,
            waiting_tokens: situation.load.waiting_tokens,
            first_token_ms: situation.first_token_ms(&self.settings, demand),
            is_long: self.settings.is_long(demand),
            harmed_streams: situation.harmed_streams(&self.settings, demand),
            candidates: candidates.len(),
        })
    }

    /// Records that a call was sent to a server.
    pub fn on_start(&mut self, now: Duration, server: &str, call: CallNumber, demand: &Demand) {
        if let Some(state) = self.servers.get_mut(server) {
            state.start(&self.settings, now, call, demand);
        }
    }

    /// Records that the first part of a call's answer has arrived.
    pub fn on_first_part(&mut self, server: &str, call: CallNumber) {
        let state = self.servers.get_mut(server);
        if let Some(flight) = state.and_then(|state| state.flights.get_mut(&call)) {
            flight.waiting_tokens = 0;
        }
    }

    /// Records that a call has ended.
    pub fn on_end(&mut self, server: &str, call: CallNumber) {
        if let Some(state) = self.servers.get_mut(server) {
            state.flights.remove(&call);
        }
    }

    /// Takes the load that another entry puts on a server.
    pub fn on_peer_load(&mut self, now: Duration, peer: PeerNumber, server: &str, load: EntryLoad) {
        let Some(state) = self.servers.get_mut(server) else {
            return;
        };
        if load == EntryLoad::default() {
            state.peers.remove(&peer);
        } else {
            state.peers.insert(peer, PeerLoad { load, told: now });
        }
    }

    /// Records that another entry sent a server a prompt with a part that may be shared.
    pub fn on_peer_part(&mut self, now: Duration, server: &str, part: PromptPart) {
        if let Some(state) = self.servers.get_mut(server) {
            state.cache.insert(now, &[part]);
        }
    }

    /// Returns the load that this entry puts on each server.
    pub fn own_loads(&self) -> impl Iterator<Item = (&ServerId, EntryLoad)> {
        let servers = self.servers.iter();
        servers.map(|(id, state)| (id, state.own_load()))
    }

    /// Records how an own call went, for the health of the server.
    pub fn on_outcome(&mut self, now: Duration, server: &str, end: CallEnd) {
        if let Some(state) = self.servers.get_mut(server) {
            state.health.record(now, end);
            if end == CallEnd::Restarted {
                state.cache.clear();
            }
        }
    }

    /// Records the load that a server told.
    pub fn on_load(&mut self, now: Duration, server: &str, load: ReportedLoad) {
        if let Some(state) = self.servers.get_mut(server) {
            state.reported = Some((now, load));
        }
    }
}

impl ServerState {
    fn new(spec: ServerSpec) -> Self {
        Self {
            cache: PartCache::new(spec.memory_tokens),
            spec,
            rank: 0.0,
            flights: BTreeMap::new(),
            peers: BTreeMap::new(),
            recent_prefill_ms: 0.0,
            recent_at: Duration::ZERO,
            reported: None,
            health: Health::default(),
        }
    }

    fn own_load(&self) -> EntryLoad {
        let flights = self.flights.values().copied();
        flights.fold(EntryLoad::default(), EntryLoad::add)
    }

    /// Load of all entries.
    fn load(&self, now: Duration) -> EntryLoad {
        let recent = self
            .peers
            .values()
            .filter(|peer| now.saturating_sub(peer.told) < PEER_LIFETIME);
        recent.fold(self.own_load(), |sum, peer| sum.add(peer.load))
    }
}

//! Choice of a backend server by an entry that calls the servers itself.
//!
//! A [`Pool`] keeps what one entry believes about the servers of a pool: calls in flight and prompts that wait for their
//! first token (its own and those in the summaries of other entries), prompt parts in the servers' caches, and recent
//! failures. [`Pool::choose`] estimates what each server would cost the call, in milliseconds, and takes the cheapest.
//!
//! Long prefills delay the tokens of every stream on the same server, so long prompts and streams are drawn to opposite
//! ends of one order of the servers that all entries compute alike.

mod budget;
mod cache;
mod cost;
mod decay;
mod health;
mod overload;
mod pause;
mod prefill;
mod room;
mod waiting;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::ids::{ServerId, ZoneId};

use cost::EngineModel;

pub use budget::{BudgetLimits, MAX_SENDS, RetryBudget};
pub use cache::PartCache;
pub use cost::CostSettings;
pub use health::{CallEnd, Health};
pub use overload::{
    BUSY_RETRY_AFTER, OverloadGate, OverloadSettings, PROBE_INTERVAL, ProcessorDelay,
};
pub use pause::{PauseModel, PauseParts, ServerPause};
pub use prefill::PrefillModel;
pub use room::{
    GateSettings, OVERLOAD_RETRY_AFTER, ROOM_INTERVAL, Room, RoomGate, TimeLeft,
    lower_ranks_latency,
};
pub use waiting::{RANKS, WaitingTokens};

/// Rank of a call; 0 is served first.
pub type Rank = u8;

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
    /// Rank of the call.
    pub rank: Rank,
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
    /// Prompt tokens that are read before this call's.
    pub waiting_tokens: u32,
    /// Estimated time to the first token, in milliseconds; 0 for plain services.
    pub first_token_ms: f64,
    /// The same if no prompts of lower ranks were waiting.
    pub ranked_first_token_ms: f64,
    /// Factor by which the server is slower than its pool, which the estimates include.
    pub slowness: f64,
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
    pub waiting: WaitingTokens,
}

impl EntryLoad {
    fn add(self, other: Self) -> Self {
        Self {
            flights: self.flights.saturating_add(other.flights),
            streams: self.streams.saturating_add(other.streams),
            waiting: self.waiting.saturating_add(other.waiting),
        }
    }

    fn subtract(self, other: Self) -> Self {
        Self {
            flights: self.flights.saturating_sub(other.flights),
            streams: self.streams.saturating_sub(other.streams),
            waiting: self.waiting.saturating_sub(other.waiting),
        }
    }
}

/// Short number of a server in the messages between entries.
pub type ServerNumber = u32;

/// Returns the short number of a server, the same at every entry.
#[must_use]
pub fn server_number(server: &str) -> ServerNumber {
    let hash = xxhash_rust::xxh3::xxh3_64(server.as_bytes());
    u32::try_from(hash >> 32).unwrap_or(u32::MAX)
}

/// Position of a server in its pool.
type ServerIndex = usize;

/// Loads that another entry told, and when.
#[derive(Debug)]
struct Peer {
    told: Duration,
    /// Loads in the order of the servers.
    loads: Vec<(ServerIndex, EntryLoad)>,
}

/// Age after which the load that another entry told is ignored: it may have stopped.
const PEER_LIFETIME: Duration = Duration::from_secs(4);

/// Own call in flight.
#[derive(Debug)]
struct Flight {
    load: EntryLoad,
    sent: Duration,
    /// Prompt tokens that are read before the first token, the call's own included.
    tokens_before: u32,
}

#[derive(Debug)]
struct ServerState {
    spec: ServerSpec,
    number: ServerNumber,
    /// Position in the common order of the servers, from 0 to 1.
    rank: f64,
    flights: BTreeMap<CallNumber, Flight>,
    /// Sum of `flights`.
    own: EntryLoad,
    /// Sum of what other entries told.
    others: EntryLoad,
    /// Prefill time that was queued recently; halves each [`cost::RECENT_HALF_LIFE`].
    recent_prefill_ms: f64,
    recent_at: Duration,
    cache: PartCache,
    reported: Option<(Duration, ReportedLoad)>,
    health: Health,
    pause: ServerPause,
}

/// Beliefs about the servers of one pool.
#[derive(Debug)]
pub struct Pool {
    zone: ZoneId,
    model: EngineModel,
    /// Servers in the order of their names.
    servers: Vec<ServerState>,
    by_id: HashMap<ServerId, ServerIndex>,
    by_number: HashMap<ServerNumber, ServerIndex>,
    peers: BTreeMap<PeerNumber, Peer>,
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
            model: EngineModel::new(settings),
            servers: Vec::new(),
            by_id: HashMap::new(),
            by_number: HashMap::new(),
            peers: BTreeMap::new(),
        }
    }

    /// Replaces the set of servers; what is believed of those that stay is kept.
    pub fn set_servers(&mut self, specs: &[ServerSpec]) {
        let old: Vec<ServerId> = self
            .servers
            .iter()
            .map(|state| state.spec.id.clone())
            .collect();
        let states = std::mem::take(&mut self.servers);
        let mut states: HashMap<ServerId, ServerState> = states
            .into_iter()
            .map(|state| (state.spec.id.clone(), state))
            .collect();
        let servers = specs.iter().map(|spec| match states.remove(&spec.id) {
            Some(mut state) => {
                state.spec = spec.clone();
                state
            }
            None => ServerState::new(spec.clone()),
        });
        self.servers = servers.collect();
        self.servers.sort_by(|a, b| a.spec.id.cmp(&b.spec.id));
        let indexed = || self.servers.iter().enumerate();
        self.by_id = indexed()
            .map(|(index, state)| (state.spec.id.clone(), index))
            .collect();
        self.by_number = indexed()
            .map(|(index, state)| (state.number, index))
            .collect();
        self.move_peers(&old);
        self.rank();
    }

    /// Moves the loads of other entries to the new positions of the servers.
    fn move_peers(&mut self, old: &[ServerId]) {
        for peer in self.peers.values_mut() {
            let loads = peer.loads.iter().filter_map(|(index, load)| {
                let index = self.by_id.get(old.get(*index)?)?;
                Some((*index, *load))
            });
            peer.loads = loads.collect();
            peer.loads.sort_by_key(|(index, _)| *index);
        }
        for state in &mut self.servers {
            state.others = EntryLoad::default();
        }
        for (index, load) in self.peers.values().flat_map(|peer| &peer.loads) {
            let state = &mut self.servers[*index];
            state.others = state.others.add(*load);
        }
    }

    fn state(&mut self, server: &str) -> Option<&mut ServerState> {
        let index = self.by_id.get(server)?;
        self.servers.get_mut(*index)
    }

    /// Orders the servers of each availability zone by a hash, the same at every entry.
    fn rank(&mut self) {
        let mut by_zone: BTreeMap<ZoneId, Vec<(u64, ServerIndex)>> = BTreeMap::new();
        for (index, state) in self.servers.iter().enumerate() {
            let hash = xxhash_rust::xxh3::xxh3_64(state.spec.id.as_bytes());
            let zone = by_zone.entry(state.spec.zone.clone()).or_default();
            zone.push((hash, index));
        }
        for mut order in by_zone.into_values() {
            order.sort_unstable();
            let last = order.len().saturating_sub(1).max(1);
            for (position, (_, index)) in order.into_iter().enumerate() {
                self.servers[index].rank = cost::ratio(position, last);
            }
        }
    }

    /// Sets what the configuration says of the pool's engines: tokens of an event of a stream, and the longest pause
    /// between events with which a stream counts as on time.
    pub fn set_streams(&mut self, event_tokens: u32, pause_limit: Duration) {
        self.model.settings.event_tokens = event_tokens.max(1);
        self.model.settings.pause_limit_ms = pause_limit.as_secs_f64() * 1_000.0;
    }

    /// Returns whether a prompt delays the streams of its server noticeably.
    #[must_use]
    pub fn is_long(&self, demand: &Demand) -> bool {
        self.model.settings.is_long(demand)
    }

    /// Chooses a server for a call, except those in `exclude`.
    #[must_use]
    pub fn choose(
        &mut self,
        now: Duration,
        demand: &Demand,
        exclude: &[ServerId],
    ) -> Option<Choice> {
        self.forget_peers(now);
        let usable = || {
            let servers = self.servers.iter();
            servers.filter(|state| !exclude.contains(&state.spec.id))
        };
        let healthy = usable().filter(|state| !state.health.is_ejected(now));
        let mut candidates: Vec<_> = healthy.collect();
        // With most servers ejected, the ejections say more about this entry or the network than about the servers.
        if candidates.len() * 2 < usable().count() {
            candidates = usable().collect();
        }
        let priced = candidates.iter().map(|state| {
            let situation = state.situation(now, demand);
            let cost_ms = state.cost_ms(&self.model, &self.zone, now, demand, situation);
            (cost_ms, *state, situation)
        });
        let (cost_ms, state, situation) = priced.min_by(|a, b| a.0.total_cmp(&b.0))?;
        let slowness = state.health.slowness(now);
        Some(Choice {
            server: state.spec.id.clone(),
            cost_ms,
            uncached_tokens: situation.missing_tokens,
            in_flight: situation.running,
            waiting_tokens: situation.tokens_ahead,
            first_token_ms: situation.first_token_ms(&self.model, demand) * slowness,
            ranked_first_token_ms: situation.ranked_first_token_ms(&self.model, demand) * slowness,
            slowness,
            is_long: self.model.settings.is_long(demand),
            harmed_streams: situation.harmed_streams(&self.model, demand),
            candidates: candidates.len(),
        })
    }

    /// Records that a call was sent to a server.
    pub fn on_start(&mut self, now: Duration, server: &str, call: CallNumber, demand: &Demand) {
        if let Some(index) = self.by_id.get(server) {
            self.servers[*index].start(&self.model, now, call, demand);
        }
    }

    /// Records that the first part of a call's answer has arrived.
    pub fn on_first_part(&mut self, now: Duration, server: &str, call: CallNumber) {
        if let Some(state) = self.state(server)
            && let Some(flight) = state.flights.get_mut(&call)
        {
            let waited = EntryLoad {
                waiting: std::mem::take(&mut flight.load.waiting),
                ..EntryLoad::default()
            };
            state.own = state.own.subtract(waited);
            let tokens = flight.tokens_before;
            if tokens > 0 {
                let waited_ms = now.saturating_sub(flight.sent).as_secs_f64() * 1_000.0;
                // What makes one server slow says nothing about the others.
                let usual_ms = waited_ms / state.health.slowness(now);
                self.model.on_first_token(now, tokens, usual_ms);
            }
        }
    }

    /// Records the pause between two events of a stream.
    pub fn on_pause(&mut self, now: Duration, server: &str, pause: Duration) {
        let index = self.by_id.get(server).copied();
        let Some(state) = index.and_then(|index| self.servers.get_mut(index)) else {
            return;
        };
        let situation = state.situation(now, &Demand::default());
        let pause_ms = pause.as_secs_f64() * 1_000.0;
        self.model
            .on_pause(now, situation, &mut state.pause, pause_ms);
    }

    /// Records that a call has ended.
    pub fn on_end(&mut self, server: &str, call: CallNumber) {
        if let Some(state) = self.state(server)
            && let Some(flight) = state.flights.remove(&call)
        {
            state.own = state.own.subtract(flight.load);
        }
    }

    /// Replaces the loads that another entry puts on servers; those that `loads` does not name have none.
    pub fn set_peer_loads(
        &mut self,
        now: Duration,
        peer: PeerNumber,
        loads: impl IntoIterator<Item = (ServerNumber, EntryLoad)>,
    ) {
        let known = loads.into_iter().filter_map(|(number, load)| {
            let index = self.by_number.get(&number)?;
            Some((*index, load))
        });
        let mut loads: Vec<_> = known.collect();
        loads.sort_unstable_by_key(|(index, _)| *index);
        for (index, load) in &loads {
            let state = &mut self.servers[*index];
            state.others = state.others.add(*load);
        }
        let told = Peer { told: now, loads };
        let old = self.peers.insert(peer, told);
        self.subtract(old);
    }

    /// Takes the loads that another entry puts on servers; its load on others stays what it was.
    pub fn update_peer_loads(
        &mut self,
        now: Duration,
        peer: PeerNumber,
        loads: impl IntoIterator<Item = (ServerNumber, EntryLoad)>,
    ) {
        let known = self.peers.entry(peer).or_insert(Peer {
            told: now,
            loads: Vec::new(),
        });
        known.told = now;
        for (number, load) in loads {
            let Some(index) = self.by_number.get(&number).copied() else {
                continue;
            };
            let position = known
                .loads
                .binary_search_by_key(&index, |(index, _)| *index);
            let before = match position {
                Ok(at) if load == EntryLoad::default() => known.loads.remove(at).1,
                Ok(at) => std::mem::replace(&mut known.loads[at].1, load),
                Err(_) if load == EntryLoad::default() => continue,
                Err(at) => {
                    known.loads.insert(at, (index, load));
                    EntryLoad::default()
                }
            };
            let state = &mut self.servers[index];
            state.others = state.others.subtract(before).add(load);
        }
    }

    /// Ignores other entries that were silent for too long.
    fn forget_peers(&mut self, now: Duration) {
        let silent = |peer: &Peer| now.saturating_sub(peer.told) >= PEER_LIFETIME;
        while let Some(number) = self
            .peers
            .iter()
            .find_map(|(number, peer)| silent(peer).then_some(*number))
        {
            let old = self.peers.remove(&number);
            self.subtract(old);
        }
    }

    fn subtract(&mut self, peer: Option<Peer>) {
        for (index, load) in peer.into_iter().flat_map(|peer| peer.loads) {
            let state = &mut self.servers[index];
            state.others = state.others.subtract(load);
        }
    }

    /// Records that another entry sent a server a prompt with a part that may be shared.
    pub fn on_peer_part(&mut self, now: Duration, server: ServerNumber, part: PromptPart) {
        let index = self.by_number.get(&server).copied();
        if let Some(state) = index.and_then(|index| self.servers.get_mut(index)) {
            state.cache.insert(now, &[part]);
        }
    }

    /// Returns the load that this entry puts on each server.
    pub fn own_loads(&self) -> impl Iterator<Item = (&ServerId, EntryLoad)> {
        let servers = self.servers.iter();
        servers.map(|state| (&state.spec.id, state.own))
    }

    /// Returns the servers with calls of this entry, as summaries name them, and the load that it puts on each.
    pub fn busy_loads(&self) -> impl Iterator<Item = (ServerNumber, EntryLoad)> {
        let busy = self.servers.iter().filter(|state| state.own.flights > 0);
        busy.map(|state| (state.number, state.own))
    }

    /// Records how an own call went, for the health of the server.
    pub fn on_outcome(&mut self, now: Duration, server: &str, end: CallEnd) {
        if let Some(state) = self.state(server) {
            state.health.record(now, end);
            if end == CallEnd::Restarted {
                state.cache.clear();
            }
        }
    }

    /// Records the load that a server told.
    pub fn on_load(&mut self, now: Duration, server: &str, load: ReportedLoad) {
        if let Some(state) = self.state(server) {
            state.reported = Some((now, load));
        }
    }
}

impl ServerState {
    fn new(spec: ServerSpec) -> Self {
        Self {
            cache: PartCache::new(spec.memory_tokens),
            number: server_number(&spec.id),
            spec,
            rank: 0.0,
            flights: BTreeMap::new(),
            own: EntryLoad::default(),
            others: EntryLoad::default(),
            recent_prefill_ms: 0.0,
            recent_at: Duration::ZERO,
            reported: None,
            health: Health::default(),
            pause: ServerPause::default(),
        }
    }

    /// Load of all entries.
    fn load(&self) -> EntryLoad {
        self.own.add(self.others)
    }
}

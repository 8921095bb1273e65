//! Selection of a backend server by an entry that calls the servers directly.
//!
//! A [`Pool`] tracks the state of a pool's servers as one entry knows it: calls in flight and prompts that wait for
//! their first token (its own and those in the summaries of other entries), prompt parts in the servers' caches, and
//! recent failures. [`Pool::choose`] estimates the cost of the call on each server, in milliseconds, and returns the
//! cheapest server.
//!
//! A long prefill delays the tokens of every stream on the same server. Long prompts and streams therefore prefer
//! opposite ends of an order of the servers that every entry computes identically.

mod admission_queue;
mod budget;
mod cache;
mod candidates;
mod cost;
mod decay;
mod fetch;
mod health;
mod hedge;
mod link_delay;
mod long_prompt_gate;
mod overload;
mod pause;
mod prefill;
mod processor_delay;
mod silence;
mod waiting;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::ids::{ServerId, ZoneId};

use cost::EngineModel;
use fetch::{ServerTransfers, Sources};
use silence::{FirstSign, Silence};

pub use admission_queue::WaiterNumber;
pub use budget::{BudgetLimits, EntryShare, MAX_ATTEMPTS_PER_CALL, RetryBudget, TakenRetry};
pub use cache::PartCache;
pub use candidates::{Candidate, CostParts};
pub use cost::CostSettings;
pub use fetch::TransferLink;
pub use health::{CallOutcome, Health};
pub use hedge::{
    CallKind, HedgeConditions, HedgeDenial, HedgeShare, InvalidHedgeShare, MAX_SAVED_HEDGES,
    PoolHedging,
};
pub use link_delay::LinkDelay;
pub use long_prompt_gate::{
    GATE_POLL_INTERVAL, GateDecision, LongPromptGate, LongPromptGateSettings, OVERLOAD_RETRY_AFTER,
    RemainingTime, lower_ranks_latency,
};
pub use overload::{
    Arrival, ArrivingCall, BUSY_RETRY_AFTER, OverloadGate, OverloadSettings, Settlement, ShedReason,
};
pub use pause::{PauseComponents, PauseModel, ServerPause};
pub use prefill::PrefillModel;
pub use processor_delay::{PROBE_INTERVAL, ProcessorDelay};
pub use waiting::WaitingTokens;

/// Priority of a call; 0 is the highest.
pub type Rank = u8;

/// Hash of a prompt part; parts with equal content have equal ids.
pub type PartId = u64;

/// Part of a prompt that several requests may share, such as a system prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the content.
    pub id: PartId,
    /// Length in tokens.
    pub tokens: u32,
}

/// Resources that a call needs on a server.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    /// Prompt parts in order; empty for calls of plain services.
    pub parts: Vec<PromptPart>,
    /// Tokens of the whole prompt; 0 for calls of plain services.
    pub prompt_tokens: u32,
    /// Expected number of generated tokens.
    pub output_tokens: u32,
    /// Size of the request body in bytes.
    pub body_bytes: usize,
    /// Priority of the call; 0 is the highest.
    pub rank: Rank,
}

/// Registry data of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerSpec {
    /// Identifier that is unique in the fleet.
    pub id: ServerId,
    /// Availability zone that the server runs in.
    pub zone: ZoneId,
    /// Requests that the server runs concurrently.
    pub slots: u32,
    /// Tokens of memory shared by the prefix cache and the running requests; 0 for plain services.
    pub memory_tokens: u64,
}

/// Load that a server reported in a response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that the server is running.
    pub running: u32,
    /// Requests in the server's queue.
    pub waiting: u32,
    /// Requests that the server runs concurrently now, if it reports them.
    pub slots: Option<u32>,
    /// How long work takes on the server now in percent of the usual time, if it reports that.
    pub pace_percent: Option<u32>,
}

/// Range of the pace that a server can report. One that takes a tenth or ten times of its usual time is at its bounds.
const VALID_PACE_PERCENT: std::ops::RangeInclusive<u32> = 10..=1_000;
/// Largest number of requests or slots that a server can report.
const MAX_REPORTED_REQUESTS: u32 = 1_000_000;

impl ReportedLoad {
    /// Returns whether a server that works can have this load.
    ///
    /// # Examples
    ///
    /// ```
    /// use tanagerford_core::dispatch::ReportedLoad;
    ///
    /// let load = ReportedLoad { running: 3, waiting: 0, slots: Some(8), pace_percent: Some(130) };
    /// assert!(load.is_plausible());
    /// assert!(!ReportedLoad { slots: Some(0), ..load }.is_plausible());
    /// ```
    #[must_use]
    pub fn is_plausible(&self) -> bool {
        let counts = [self.running, self.waiting, self.slots.unwrap_or(1)];
        counts.iter().all(|count| *count <= MAX_REPORTED_REQUESTS)
            && self.slots != Some(0)
            && self
                .pace_percent
                .is_none_or(|pace| VALID_PACE_PERCENT.contains(&pace))
    }
}

/// Selected server and the estimates behind the selection.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Choice {
    /// Server to send the call to.
    pub server: ServerId,
    /// Estimated cost in milliseconds.
    pub cost_ms: f64,
    /// Prompt tokens that the server processes: those that are neither in its cache nor fetched.
    pub uncached_tokens: u32,
    /// Copy of prompt parts from another server; `None` if the server fetches nothing.
    pub fetch: Option<PlannedFetch>,
    /// Requests in flight at the server, including those that other entries or the server itself reported.
    pub in_flight: u32,
    /// Prompt tokens that the server processes before those of this call.
    pub waiting_tokens: u32,
    /// Estimated time to the first token in milliseconds; 0 for plain services.
    pub first_token_ms: f64,
    /// Like `first_token_ms`, without the waiting prompts of lower ranks.
    pub ranked_first_token_ms: f64,
    /// Factor by which the server is slower than its pool; the estimates include it.
    pub slowness: f64,
    /// Whether the prompt is long enough to delay the streams of its server noticeably.
    pub is_long: bool,
    /// Expected number of streams on the server whose events this call would delay beyond the pause limit.
    pub late_streams: f64,
    /// Number of servers that were considered.
    pub candidates: usize,
}

/// Copy of prompt parts from the cache of another server before a call is processed.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedFetch {
    /// Server that holds the parts.
    pub source: ServerId,
    /// Tokens that are copied.
    pub tokens: u32,
    /// Estimated time until the copy is complete, including earlier transfers, in milliseconds.
    pub transfer_ms: f64,
}

/// Number of a call, unique within this entry.
pub type CallNumber = u64;

/// Identifies an incarnation of another entry; equal to the [`BootId`](crate::exchange::BootId) in its summaries.
pub type PeerNumber = u64;

/// Load that one entry puts on one server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EntryLoad {
    /// Calls in flight.
    pub in_flight: u32,
    /// Token streams in flight whose callers are affected by pauses between events. Calls with long prompts are not
    /// counted.
    pub streams: u32,
    /// Prompt tokens of calls that have not returned their first token yet.
    pub waiting: WaitingTokens,
}

impl EntryLoad {
    fn add(self, other: Self) -> Self {
        Self {
            in_flight: self.in_flight.saturating_add(other.in_flight),
            streams: self.streams.saturating_add(other.streams),
            waiting: self.waiting.saturating_add(other.waiting),
        }
    }

    fn subtract(self, other: Self) -> Self {
        Self {
            in_flight: self.in_flight.saturating_sub(other.in_flight),
            streams: self.streams.saturating_sub(other.streams),
            waiting: self.waiting.saturating_sub(other.waiting),
        }
    }
}

/// Hash of a server id that identifies the server in messages between entries.
pub type ServerNumber = u32;

/// Returns the number of a server, which is the same at every entry.
#[must_use]
pub fn server_number(server: &str) -> ServerNumber {
    let hash = xxhash_rust::xxh3::xxh3_64(server.as_bytes());
    u32::try_from(hash >> 32).unwrap_or(u32::MAX)
}

/// Index of a server in the pool's list of servers.
type ServerIndex = usize;

/// Loads that another entry reported.
#[derive(Debug)]
struct Peer {
    received_at: Duration,
    /// Sorted by server index.
    loads: Vec<(ServerIndex, EntryLoad)>,
}

/// Time after an answer for which its connection is likely to be open. Idle connections are reused for half of the time that
/// the server names.
const CONNECTION_REUSE_TIME: Duration = Duration::from_secs(3);
/// Age after which the load reported by another entry is ignored, since that entry may have stopped.
const PEER_LOAD_TTL: Duration = Duration::from_secs(4);

/// Call of this entry that is in flight.
#[derive(Debug)]
struct InFlightCall {
    load: EntryLoad,
    sent_at: Duration,
    /// Prompt tokens to process before the first token, including those of the call itself.
    tokens_before: u32,
    fetch: Option<PendingFetch>,
}

/// Fetch of a call that waits for its first token.
#[derive(Debug, Clone, Copy)]
struct PendingFetch {
    source: ServerNumber,
    tokens: u32,
    transfer_ms: f64,
}

#[derive(Debug)]
struct ServerState {
    spec: ServerSpec,
    number: ServerNumber,
    /// Position in the order of the servers of its availability zone, from 0 to 1.
    order_position: f64,
    calls: BTreeMap<CallNumber, InFlightCall>,
    /// Sum of the loads of `calls`.
    own_load: EntryLoad,
    /// Sum of the loads that other entries reported.
    peer_load: EntryLoad,
    /// Recently queued prefill work; decays with a half-life of [`cost::RECENT_HALF_LIFE`].
    recent_prefill_ms: f64,
    recent_prefill_at: Duration,
    cache: PartCache,
    reported: Option<(Duration, ReportedLoad)>,
    health: Health,
    silence: Silence,
    pause: ServerPause,
    transfers: ServerTransfers,
    /// Time until which a connection to the server is likely to be open.
    connected_until: Duration,
}

/// State of the servers of one pool as known to one entry.
#[derive(Debug)]
pub struct Pool {
    zone: ZoneId,
    model: EngineModel,
    /// Sorted by server id.
    servers: Vec<ServerState>,
    by_id: HashMap<ServerId, ServerIndex>,
    by_number: HashMap<ServerNumber, ServerIndex>,
    peers: BTreeMap<PeerNumber, Peer>,
    first_sign: FirstSign,
}

impl Pool {
    /// Creates a pool without servers for an entry in the given availability zone.
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
            first_sign: FirstSign::default(),
        }
    }

    /// Replaces the set of servers. Servers that remain keep their state.
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
        self.reindex_peer_loads(&old);
        self.order_servers();
    }

    /// Moves the loads of other entries to the new server indexes.
    fn reindex_peer_loads(&mut self, old: &[ServerId]) {
        for peer in self.peers.values_mut() {
            let loads = peer.loads.iter().filter_map(|(index, load)| {
                let index = self.by_id.get(old.get(*index)?)?;
                Some((*index, *load))
            });
            peer.loads = loads.collect();
            peer.loads.sort_by_key(|(index, _)| *index);
        }
        for state in &mut self.servers {
            state.peer_load = EntryLoad::default();
        }
        for (index, load) in self.peers.values().flat_map(|peer| &peer.loads) {
            let state = &mut self.servers[*index];
            state.peer_load = state.peer_load.add(*load);
        }
    }

    fn state(&mut self, server: &str) -> Option<&mut ServerState> {
        let index = self.by_id.get(server)?;
        self.servers.get_mut(*index)
    }

    /// Orders the servers of each availability zone by a hash of their ids, so that every entry has the same order.
    fn order_servers(&mut self) {
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
                self.servers[index].order_position = cost::ratio(position, last);
            }
        }
    }

    /// Sets the configured stream limits of the pool's engines: the tokens in an event of a stream, and the longest
    /// pause between events of a stream that counts as on time.
    pub fn set_stream_limits(&mut self, event_tokens: u32, pause_limit: Duration) {
        self.model.settings.event_tokens = event_tokens.max(1);
        self.model.settings.pause_limit_ms = pause_limit.as_secs_f64() * 1_000.0;
    }

    /// Sets the means by which the pool's engines copy cached parts from each other; `None` if they do not.
    pub fn set_transfer_link(&mut self, link: Option<TransferLink>) {
        self.model.transfer_tokens_per_ms = link.and_then(TransferLink::tokens_per_ms);
    }

    /// Returns whether a prompt is long enough to delay the streams of its server noticeably.
    #[must_use]
    pub fn is_long(&self, demand: &Demand) -> bool {
        self.model.settings.is_long(demand)
    }

    /// Selects a server for a call. Returns `None` if the pool has no servers outside `exclude`.
    #[must_use]
    pub fn choose(
        &mut self,
        now: Duration,
        demand: &Demand,
        exclude: &[ServerId],
    ) -> Option<Choice> {
        self.choose_permitted(now, demand, exclude, |_| true).0
    }

    /// Selects a server for a call like [`Pool::choose`]. The second server is the best one among those that
    /// `is_permitted` accepts.
    #[must_use]
    pub fn choose_permitted(
        &mut self,
        now: Duration,
        demand: &Demand,
        exclude: &[ServerId],
        is_permitted: impl Fn(&str) -> bool,
    ) -> (Option<Choice>, Option<Choice>) {
        self.expire_peers(now);
        let usable = || {
            let servers = self.servers.iter().enumerate();
            servers.filter(|(_, state)| !exclude.contains(&state.spec.id))
        };
        let healthy = usable().filter(|(_, state)| !state.health.is_ejected(now));
        let mut candidates: Vec<_> = healthy.collect();
        // If most servers are ejected, the cause is more likely this entry or the network than the servers.
        if candidates.len() * 2 < usable().count() {
            candidates = usable().collect();
        }
        let candidates = self.without_silent(now, candidates);
        let sources = self.model.transfer_tokens_per_ms.map(|tokens_per_ms| {
            let servers = candidates.iter().copied();
            Sources::find(tokens_per_ms, now, demand, servers)
        });
        let prefill_tokens_per_ms = self.model.prefill_tokens_per_ms();
        let estimates = candidates.iter().map(|(index, state)| {
            let mut snapshot = state.snapshot(now, demand);
            let uncached_tokens = snapshot.uncached_tokens;
            let fetch = sources.as_ref().and_then(|sources| {
                let destination = (*index, *state);
                sources.best_fetch(
                    now,
                    destination,
                    demand,
                    uncached_tokens,
                    prefill_tokens_per_ms,
                )
            });
            snapshot.set_fetch(fetch);
            let cost_ms = state.cost_ms(&self.model, &self.zone, now, demand, snapshot);
            (cost_ms, *state, snapshot)
        });
        let estimates: Vec<_> = estimates.collect();
        let cheapest = |is_allowed: &dyn Fn(&str) -> bool| {
            let allowed = estimates.iter();
            let allowed = allowed.filter(|(_, state, _)| is_allowed(&state.spec.id));
            let (cost_ms, state, snapshot) = allowed.min_by(|a, b| a.0.total_cmp(&b.0))?;
            let slowness = state.health.slowness(now);
            Some(Choice {
                server: state.spec.id.clone(),
                cost_ms: *cost_ms,
                uncached_tokens: snapshot.uncached_tokens,
                fetch: snapshot.fetch.map(|fetch| PlannedFetch {
                    source: self.servers[fetch.source].spec.id.clone(),
                    tokens: fetch.tokens,
                    transfer_ms: fetch.transfer_ms,
                }),
                in_flight: snapshot.running,
                waiting_tokens: snapshot.tokens_ahead,
                first_token_ms: snapshot.first_token_ms(&self.model, demand) * slowness,
                ranked_first_token_ms: snapshot.ranked_first_token_ms(&self.model, demand)
                    * slowness,
                slowness,
                is_long: self.model.settings.is_long(demand),
                late_streams: snapshot.late_streams(&self.model, demand),
                candidates: candidates.len(),
            })
        };
        let best = cheapest(&|_| true);
        let permitted = match &best {
            Some(choice) if is_permitted(&choice.server) => best.clone(),
            _ => cheapest(&is_permitted),
        };
        (best, permitted)
    }

    /// Returns whether the pool has free slots that no call waits for: its servers that are not ejected run and queue fewer
    /// calls than they have slots.
    #[must_use]
    pub fn has_room(&mut self, now: Duration) -> bool {
        self.expire_peers(now);
        let healthy = self.servers.iter();
        let healthy = healthy.filter(|state| !state.health.is_ejected(now));
        let any_call = Demand::default();
        let (calls, slots) = healthy.fold((0_u64, 0_u64), |(calls, slots), state| {
            let running = state.snapshot(now, &any_call).running;
            (
                calls + u64::from(running),
                slots + u64::from(state.spec.slots),
            )
        });
        calls < slots
    }

    /// Records that a call was sent to a server.
    pub fn on_start(&mut self, now: Duration, server: &str, call: CallNumber, demand: &Demand) {
        self.start(now, server, call, demand, None);
    }

    /// Records that a call was sent to the chosen server, which fetches parts of the prompt if the choice says so.
    pub fn on_start_choice(
        &mut self,
        now: Duration,
        choice: &Choice,
        call: CallNumber,
        demand: &Demand,
    ) {
        let fetch = choice.fetch.as_ref().and_then(|fetch| {
            let source = self.state(&fetch.source)?;
            source.transfers.begin(now, fetch.transfer_ms);
            Some(PendingFetch {
                source: source.number,
                tokens: fetch.tokens,
                transfer_ms: fetch.transfer_ms,
            })
        });
        self.start(now, &choice.server, call, demand, fetch);
    }

    fn start(
        &mut self,
        now: Duration,
        server: &str,
        call: CallNumber,
        demand: &Demand,
        fetch: Option<PendingFetch>,
    ) {
        if let Some(index) = self.by_id.get(server) {
            self.servers[*index].start(&self.model, now, call, demand, fetch);
            self.record_sent(now, server, call);
        }
    }

    /// Records that the response to a call has begun. Its prompt no longer counts as waiting, and the measured time
    /// updates the prefill model.
    pub fn on_first_part(&mut self, now: Duration, server: &str, call: CallNumber) {
        if let Some(state) = self.state(server)
            && let Some(in_flight_call) = state.calls.get_mut(&call)
        {
            let waited = EntryLoad {
                waiting: std::mem::take(&mut in_flight_call.load.waiting),
                ..EntryLoad::default()
            };
            state.own_load = state.own_load.subtract(waited);
            let tokens = in_flight_call.tokens_before;
            let fetch = in_flight_call.fetch.take();
            if tokens > 0 {
                let first_token_ms =
                    now.saturating_sub(in_flight_call.sent_at).as_secs_f64() * 1_000.0;
                let transfer_ms = fetch.map_or(0.0, |fetch| fetch.transfer_ms);
                // The shared model must not learn the slowness of a single server.
                let normalized_ms = first_token_ms / state.health.slowness(now);
                let processing_ms = (normalized_ms - transfer_ms).max(0.0);
                if let Some(fetch) = fetch {
                    self.on_fetched(now, fetch, tokens, processing_ms);
                }
                self.model.on_first_token(now, tokens, processing_ms);
            }
        }
    }

    /// Judges by the time to the first token whether the source of a fetch had the parts.
    fn on_fetched(&mut self, now: Duration, fetch: PendingFetch, tokens: u32, processing_ms: f64) {
        let had_effect = self.model.had_effect(fetch.tokens, tokens, processing_ms);
        if let Some(index) = self.by_number.get(&fetch.source) {
            let transfers = &mut self.servers[*index].transfers;
            transfers.record_effect(now, had_effect);
        }
    }

    /// Records the pause between two events of a stream.
    pub fn on_pause(&mut self, now: Duration, server: &str, pause: Duration) {
        let index = self.by_id.get(server).copied();
        let Some(state) = index.and_then(|index| self.servers.get_mut(index)) else {
            return;
        };
        state.on_event(now);
        let snapshot = state.snapshot(now, &Demand::default());
        let pause_ms = pause.as_secs_f64() * 1_000.0;
        self.model
            .on_pause(now, snapshot, &mut state.pause, pause_ms);
    }

    /// Records the end of a call, successful or not. Unknown servers and calls are ignored.
    pub fn on_end(&mut self, server: &str, call: CallNumber) {
        if let Some(state) = self.state(server)
            && let Some(in_flight_call) = state.calls.remove(&call)
        {
            state.own_load = state.own_load.subtract(in_flight_call.load);
        }
    }

    /// Replaces all loads reported by another entry. Servers that are not in `loads` have no load.
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
            state.peer_load = state.peer_load.add(*load);
        }
        let current = Peer {
            received_at: now,
            loads,
        };
        let old = self.peers.insert(peer, current);
        self.subtract_peer_loads(old);
    }

    /// Updates the loads reported by another entry. Servers that are not in `loads` keep their load.
    pub fn update_peer_loads(
        &mut self,
        now: Duration,
        peer: PeerNumber,
        loads: impl IntoIterator<Item = (ServerNumber, EntryLoad)>,
    ) {
        let known = self.peers.entry(peer).or_insert(Peer {
            received_at: now,
            loads: Vec::new(),
        });
        known.received_at = now;
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
            state.peer_load = state.peer_load.subtract(before).add(load);
        }
    }

    /// Drops the loads of entries that have not sent a summary within [`PEER_LOAD_TTL`].
    fn expire_peers(&mut self, now: Duration) {
        let is_expired = |peer: &Peer| now.saturating_sub(peer.received_at) >= PEER_LOAD_TTL;
        while let Some(number) = self
            .peers
            .iter()
            .find_map(|(number, peer)| is_expired(peer).then_some(*number))
        {
            let old = self.peers.remove(&number);
            self.subtract_peer_loads(old);
        }
    }

    fn subtract_peer_loads(&mut self, peer: Option<Peer>) {
        for (index, load) in peer.into_iter().flat_map(|peer| peer.loads) {
            let state = &mut self.servers[index];
            state.peer_load = state.peer_load.subtract(load);
        }
    }

    /// Records that another entry sent a server a prompt with a part that may be shared.
    pub(crate) fn on_peer_part(&mut self, now: Duration, server: ServerNumber, part: PromptPart) {
        let index = self.by_number.get(&server).copied();
        if let Some(state) = index.and_then(|index| self.servers.get_mut(index)) {
            let waiting = state.load().waiting.total();
            let held_at = self.model.held_at(now, waiting.saturating_add(part.tokens));
            state.cache.insert_processed(now, held_at, &[part]);
        }
    }

    /// Returns the load of this entry on each server.
    pub fn own_loads(&self) -> impl Iterator<Item = (&ServerId, EntryLoad)> {
        let servers = self.servers.iter();
        servers.map(|state| (&state.spec.id, state.own_load))
    }

    /// Returns the load of this entry on each server that has calls in flight, by server number.
    pub fn busy_loads(&self) -> impl Iterator<Item = (ServerNumber, EntryLoad)> {
        let busy = self
            .servers
            .iter()
            .filter(|state| state.own_load.in_flight > 0);
        busy.map(|state| (state.number, state.own_load))
    }

    /// Records the outcome of a call of this entry in the health of the server.
    pub fn on_outcome(&mut self, now: Duration, server: &str, outcome: CallOutcome) {
        if let Some(state) = self.state(server) {
            if matches!(outcome, CallOutcome::Answered { .. }) {
                state.connected_until = now + CONNECTION_REUSE_TIME;
            }
            state.health.record(now, outcome);
            if outcome == CallOutcome::Restarted {
                state.cache.clear();
            }
        }
    }

    /// Records the load that a server reported in a response. It is used for 1 s, and only where it exceeds the known
    /// load. Slots and pace have no effect.
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
            order_position: 0.0,
            calls: BTreeMap::new(),
            own_load: EntryLoad::default(),
            peer_load: EntryLoad::default(),
            recent_prefill_ms: 0.0,
            recent_prefill_at: Duration::ZERO,
            reported: None,
            health: Health::default(),
            silence: Silence::default(),
            pause: ServerPause::default(),
            transfers: ServerTransfers::default(),
            connected_until: Duration::ZERO,
        }
    }

    /// Returns the load of all entries.
    fn load(&self) -> EntryLoad {
        self.own_load.add(self.peer_load)
    }
}

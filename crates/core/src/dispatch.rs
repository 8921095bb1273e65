//! Choice of a backend server by an entry that calls the servers itself.
//!
//! A [`Pool`] keeps what one entry believes about the servers of a pool: calls in flight (its own and those that other
//! entries of its availability zone announce), prefill work that is still queued, prompt parts in the servers' caches,
//! and recent failures. [`Pool::choose`] estimates what each server would cost the call, in milliseconds, and takes the
//! cheapest.
//!
//! Long prefills delay the tokens of every stream on the same server, so long prompts and streams are drawn to opposite
//! ends of one order of the servers that all entries compute alike.

mod cache;
mod cost;
mod health;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{ServerId, ZoneId};

pub use cache::PartCache;
pub use cost::CostSettings;
pub use health::{CallEnd, Health};

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
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// Name of the server.
    pub server: ServerId,
    /// Estimated cost, in milliseconds.
    pub cost_ms: f64,
    /// Prompt tokens that the server has to read.
    pub uncached_tokens: u32,
    /// Requests believed to be in flight at the server.
    pub in_flight: u32,
    /// Servers that could have been chosen.
    pub candidates: usize,
}

/// Where a call came from, for the estimate of what is in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Origin {
    /// A call of this entry.
    Own(u64),
    /// A call that another entry announced; the first number tells the entries apart.
    Peer(u64, u64),
}

/// Call that is believed to be in flight.
#[derive(Debug)]
struct Flight {
    is_stream: bool,
    /// Time after which the call is taken as ended, in case its end is never told.
    expires: Duration,
}

#[derive(Debug)]
struct ServerState {
    spec: ServerSpec,
    /// Position in the common order of the servers, from 0 to 1.
    rank: f64,
    flights: BTreeMap<Origin, Flight>,
    streams: u32,
    /// Time at which the prefill work queued so far is done.
    prefill_done: Duration,
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
        Some(Choice {
            server: id.clone(),
            cost_ms,
            uncached_tokens: state.cache.missing_tokens(&demand.parts, demand.prompt_tokens),
            in_flight: state.in_flight(),
            candidates: candidates.len(),
        })
    }

    /// Records that a call was sent to a server; `longest` bounds how long it can be in flight.
    pub fn on_start(
        &mut self,
        now: Duration,
        server: &str,
        origin: Origin,
        demand: &Demand,
        longest: Duration,
    ) {
        let Some(state) = self.servers.get_mut(server) else {
            return;
        };
        state.start(&self.settings, now, origin, demand, longest);
    }

    /// Records that a call has ended.
    pub fn on_end(&mut self, server: &str, origin: Origin) {
        if let Some(state) = self.servers.get_mut(server)
            && let Some(flight) = state.flights.remove(&origin)
        {
            state.streams -= u32::from(flight.is_stream);
        }
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

    /// Removes calls whose end was never told.
    pub fn expire(&mut self, now: Duration) {
        for state in self.servers.values_mut() {
            state.flights.retain(|_, flight| flight.expires > now);
            let streams = state.flights.values().filter(|flight| flight.is_stream);
            state.streams = u32::try_from(streams.count()).unwrap_or(u32::MAX);
        }
    }

    /// Returns the names of the servers with their believed count of calls in flight.
    pub fn in_flight(&self) -> impl Iterator<Item = (&ServerId, u32)> {
        let servers = self.servers.iter();
        servers.map(|(id, state)| (id, state.in_flight()))
    }

    /// Returns the slots of all servers together.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.servers.values().map(|state| state.spec.slots).sum()
    }
}

impl ServerState {
    fn new(spec: ServerSpec) -> Self {
        Self {
            cache: PartCache::new(spec.memory_tokens),
            spec,
            rank: 0.0,
            flights: BTreeMap::new(),
            streams: 0,
            prefill_done: Duration::ZERO,
            recent_prefill_ms: 0.0,
            recent_at: Duration::ZERO,
            reported: None,
            health: Health::default(),
        }
    }

    fn in_flight(&self) -> u32 {
        u32::try_from(self.flights.len()).unwrap_or(u32::MAX)
    }
}

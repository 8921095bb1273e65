//! Selection of a backend server by the entry.
//!
//! A [`Router`] holds the entry's soft state for the servers of its pools. A request with a prefix hash goes to the
//! server that rendezvous hashing selects for the prefix, as long as the load of that server stays within a bound
//! (Mirrokni, Thorup, Zadimoghaddam: Consistent Hashing with Bounded Loads, 2016); every other request goes to the
//! better of two random servers (Mitzenmacher: The Power of Two Choices in Randomized Load Balancing, 2001). Servers of
//! the entry's own availability zone are preferred, new servers go through a slow start, and leaving servers receive no
//! requests.
//!
//! Each tier has a separate view of the pool, which is updated only by events of this tier and higher ones and has its
//! own random number generator. The choices for a tier are therefore the same with and without lower tiers. The cost is
//! that a view does not use load hints from the responses of lower tiers.
//!
//! Load hints arrive with responses and refusals; servers are not polled. A hint decays towards the mean of the pool,
//! so a server without a recent hint counts as average, neither idle nor busy.

mod choose;
mod hint;
mod pool;
mod rendezvous;
mod view;

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::{Fingerprint, Incarnation, PoolId, ServerId, TierId, ZoneId};
use crate::straggler::PaceSample;
use pool::Pool;

/// Settings of a [`Router`].
#[derive(Debug, Clone)]
pub struct RouterSettings {
    /// Number of service tiers.
    pub tiers: u8,
    /// Availability zone of the entry.
    pub zone: ZoneId,
    /// Availability zones in the entry's region. Servers outside are used only when no server inside is usable. Empty
    /// when all zones are in one region.
    pub region_zones: Vec<ZoneId>,
    /// Seed of the random number generators. It has to differ between entries, so that they do not pick the same
    /// servers.
    pub seed: u64,
}

/// A backend server, as listed by the membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Identifier of the server, unique in its pool.
    pub id: ServerId,
    /// Availability zone, compared with the zone and region of the entry.
    pub zone: ZoneId,
    /// Incarnation of the server's sidecar. A higher one resets the server's state, because its cache is empty, and
    /// goes through a slow start.
    pub incarnation: Incarnation,
    /// Whether the server is draining and accepts no new requests.
    pub leaving: bool,
}

/// Properties of a request that determine its server.
#[derive(Debug, Clone)]
pub struct RouteRequest<'a> {
    /// Pool of servers to choose from.
    pub pool: &'a str,
    /// Tier of the request; a tier below the lowest one counts as the lowest.
    pub tier: TierId,
    /// Hash of the part of the prompt that engines may have cached; `None` disables affinity.
    pub prefix_hash: Option<u64>,
}

/// Reason for the choice of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ChoiceReason {
    /// The server last reported that it has cached the prefix.
    CacheHint,
    /// Rendezvous hashing of the prefix selected the server.
    Affinity,
    /// Trial request to a server that was ejected as slow or failing.
    Trial,
    /// All entries choose this server for a request that is suspected of crashing servers.
    Suspect,
    /// Better of two random servers of the entry's availability zone.
    LeastLoaded,
    /// Better of two random servers of the other availability zones.
    OtherZone,
    /// All usable servers were ejected as slow or failing.
    LastResort,
}

/// A chosen server and the attempt that is counted as in flight there.
#[derive(Debug, PartialEq, Eq)]
pub struct Choice {
    /// Identifier of the server.
    pub server: ServerId,
    /// Reason for the choice.
    pub reason: ChoiceReason,
    /// Handle that has to be passed back to the router when the attempt has ended.
    pub attempt: Attempt,
}

/// An attempt that counts as in flight until it is passed to one of the `on_` functions of the router.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "an attempt that is not returned to the router counts as in flight forever"]
pub struct Attempt {
    pool: usize,
    slot: usize,
    epoch: u64,
    tier: TierId,
}

/// Load of a backend server, which its sidecar piggybacks on responses and refusals.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LoadHint {
    /// Number of running requests, of all tiers.
    pub running: u32,
    /// Largest batch that meets the inter-token latency target; 0 when unknown.
    pub batch_limit: u32,
    /// Number of running and queued requests by tier, highest tier first.
    pub busy_by_tier: Vec<u32>,
    /// Whether the server is draining and accepts no new requests.
    pub leaving: bool,
}

/// Measurements from a response that update the state of its server.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseMeasurements {
    /// Load hint of the response; `None` leaves the last hint unchanged.
    pub load: Option<LoadHint>,
    /// Time until the first token, or until the complete response of a call without tokens. A value counts as a success
    /// of the server; `None` does not count as a failure.
    pub first_token: Option<Duration>,
    /// Generation speed of the response, for straggler detection; `None` if it was not measured.
    pub pace: Option<PaceSample>,
    /// Prompt length in tokens. Latencies are compared only among requests of similar length.
    pub prompt_tokens: u32,
}

/// Change of an engine's prefix cache. Engines report changes late and may omit some.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheEvent {
    /// The prefix was added to the cache.
    Stored,
    /// The prefix was evicted from the cache.
    Removed,
}

/// The entry's soft state for the servers of its pools.
#[derive(Debug)]
pub struct Router {
    settings: RouterSettings,
    pools: Vec<Pool>,
    index: HashMap<PoolId, usize>,
}

impl Router {
    /// Creates a router without servers.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::routing::{ResponseMeasurements, RouteRequest, Router, RouterSettings, Server};
    ///
    /// let mut router = Router::new(RouterSettings {
    ///     tiers: 4,
    ///     zone: "a".into(),
    ///     region_zones: Vec::new(),
    ///     seed: 1,
    /// });
    /// let server = Server { id: "m1".into(), zone: "a".into(), incarnation: 1, leaving: false };
    /// router.set_servers(Duration::ZERO, "chat", vec![server]);
    /// let request = RouteRequest { pool: "chat", tier: 0, prefix_hash: Some(7) };
    /// let choice = router.choose(Duration::ZERO, &request, &[]).unwrap();
    /// assert_eq!(choice.server, "m1");
    /// assert_eq!(router.in_flight("chat", "m1", 0), 1);
    /// router.on_response(Duration::from_millis(200), choice.attempt, &ResponseMeasurements::default());
    /// assert_eq!(router.in_flight("chat", "m1", 0), 0);
    /// ```
    #[must_use]
    pub fn new(settings: RouterSettings) -> Self {
        Self {
            settings,
            pools: Vec::new(),
            index: HashMap::new(),
        }
    }

    /// Replaces the servers of a pool and keeps the soft state of those that remain.
    ///
    /// A server that is known to be leaving stays leaving until its next incarnation, because the list may be older
    /// than the server's own notice.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use tanagerford_core::routing::{RouteRequest, Router, RouterSettings, Server};
    /// # let settings = RouterSettings { tiers: 1, zone: "a".into(), region_zones: Vec::new(), seed: 1 };
    /// let mut router = Router::new(settings);
    /// router.set_servers(Duration::ZERO, "chat", Vec::new());
    /// let request = RouteRequest { pool: "chat", tier: 0, prefix_hash: None };
    /// assert!(router.choose(Duration::ZERO, &request, &[]).is_none());
    /// ```
    pub fn set_servers(
        &mut self,
        now: Duration,
        pool: &str,
        servers: impl IntoIterator<Item = Server>,
    ) {
        let index = self.pool_index_or_insert(pool);
        self.pools[index].set_servers(now, &self.settings, servers);
    }

    /// Records that a server is draining and accepts no new requests.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use tanagerford_core::routing::{RouteRequest, Router, RouterSettings, Server};
    /// # let settings = RouterSettings { tiers: 1, zone: "a".into(), region_zones: Vec::new(), seed: 1 };
    /// # let mut router = Router::new(settings);
    /// let server = Server { id: "m1".into(), zone: "a".into(), incarnation: 1, leaving: false };
    /// router.set_servers(Duration::ZERO, "chat", vec![server]);
    /// router.set_leaving("chat", "m1");
    /// let request = RouteRequest { pool: "chat", tier: 0, prefix_hash: None };
    /// assert!(router.choose(Duration::ZERO, &request, &[]).is_none());
    /// ```
    pub fn set_leaving(&mut self, pool: &str, server: &str) {
        if let Some(pool) = self.index.get(pool).map(|&index| &mut self.pools[index]) {
            pool.set_leaving(server);
        }
    }

    /// Chooses a server for a request, except those in `exclude`, which have already been tried.
    ///
    /// Returns `None` if the pool is unknown or has no usable server. See [`Router::new`] for an example.
    pub fn choose(
        &mut self,
        now: Duration,
        request: &RouteRequest,
        exclude: &[ServerId],
    ) -> Option<Choice> {
        let index = *self.index.get(request.pool)?;
        let tier = request.tier.min(self.settings.tiers - 1);
        let chosen = self.pools[index].choose(now, tier, request.prefix_hash, exclude);
        chosen.map(|(slot, reason)| self.choice(index, slot, tier, reason))
    }

    /// Chooses the server for a request that is suspected of crashing servers and has to run isolated.
    ///
    /// All entries with the same list of servers choose the same one regardless of load, so that copies of a request
    /// that crashes servers run one after another instead of crashing several servers at the same time.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use tanagerford_core::routing::{ChoiceReason, RouteRequest, Router, RouterSettings, Server};
    /// # let settings = RouterSettings { tiers: 1, zone: "a".into(), region_zones: Vec::new(), seed: 1 };
    /// # let mut router = Router::new(settings);
    /// # let servers = ["m1", "m2"].map(|id| Server { id: id.into(), zone: "a".into(), incarnation: 1, leaving: false });
    /// # router.set_servers(Duration::ZERO, "chat", servers);
    /// let request = RouteRequest { pool: "chat", tier: 0, prefix_hash: None };
    /// let first = router.choose_for_suspect(&request, 77, &[]).unwrap();
    /// let second = router.choose_for_suspect(&request, 77, &[]).unwrap();
    /// assert_eq!(first.server, second.server);
    /// assert_eq!(first.reason, ChoiceReason::Suspect);
    /// ```
    pub fn choose_for_suspect(
        &mut self,
        request: &RouteRequest,
        fingerprint: Fingerprint,
        exclude: &[ServerId],
    ) -> Option<Choice> {
        let index = *self.index.get(request.pool)?;
        let tier = request.tier.min(self.settings.tiers - 1);
        let slot = self.pools[index].choose_for_suspect(tier, fingerprint, exclude)?;
        Some(self.choice(index, slot, tier, ChoiceReason::Suspect))
    }

    fn choice(&self, index: usize, slot: usize, tier: TierId, reason: ChoiceReason) -> Choice {
        let pool = &self.pools[index];
        Choice {
            server: pool.server_id(slot).clone(),
            reason,
            attempt: Attempt {
                pool: index,
                slot,
                epoch: pool.epoch(slot),
                tier,
            },
        }
    }

    /// Records the end of an attempt that received a response. See [`Router::new`] for an example.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "an attempt ends once, so it is consumed"
    )]
    pub fn on_response(
        &mut self,
        now: Duration,
        attempt: Attempt,
        response: &ResponseMeasurements,
    ) {
        let pool = &mut self.pools[attempt.pool];
        pool.on_response(now, &attempt, response);
    }

    /// Records the end of an attempt that the sidecar refused, with the load hint of the refusal.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use tanagerford_core::routing::{LoadHint, RouteRequest, Router, RouterSettings, Server};
    /// # let settings = RouterSettings { tiers: 1, zone: "a".into(), region_zones: Vec::new(), seed: 1 };
    /// # let mut router = Router::new(settings);
    /// # let server = Server { id: "m1".into(), zone: "a".into(), incarnation: 1, leaving: false };
    /// # router.set_servers(Duration::ZERO, "chat", vec![server]);
    /// # let request = RouteRequest { pool: "chat", tier: 0, prefix_hash: None };
    /// let choice = router.choose(Duration::ZERO, &request, &[]).unwrap();
    /// let load = LoadHint { leaving: true, ..LoadHint::default() };
    /// router.on_refusal(Duration::ZERO, choice.attempt, Some(&load));
    /// assert!(router.choose(Duration::ZERO, &request, &[]).is_none());
    /// ```
    pub fn on_refusal(&mut self, now: Duration, attempt: Attempt, load: Option<&LoadHint>) {
        let response = ResponseMeasurements {
            load: load.cloned(),
            ..ResponseMeasurements::default()
        };
        self.on_response(now, attempt, &response);
    }

    /// Records the end of an attempt that failed at its server: the link was lost, or the server failed or crashed.
    /// A server with several consecutive failures is ejected for a while.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use tanagerford_core::routing::{ChoiceReason, RouteRequest, Router, RouterSettings, Server};
    /// # let settings = RouterSettings { tiers: 1, zone: "a".into(), region_zones: Vec::new(), seed: 1 };
    /// # let mut router = Router::new(settings);
    /// # let servers = ["m1", "m2", "m3"].map(|id| {
    /// #     Server { id: id.into(), zone: "a".into(), incarnation: 1, leaving: false }
    /// # });
    /// # router.set_servers(Duration::ZERO, "chat", servers);
    /// let request = RouteRequest { pool: "chat", tier: 0, prefix_hash: None };
    /// let others = ["m2".to_owned(), "m3".to_owned()];
    /// for _ in 0..3 {
    ///     let choice = router.choose(Duration::ZERO, &request, &others).unwrap();
    ///     router.on_failure(Duration::ZERO, choice.attempt);
    /// }
    /// let choice = router.choose(Duration::ZERO, &request, &others).unwrap();
    /// assert_eq!(choice.reason, ChoiceReason::LastResort);
    /// ```
    pub fn on_failure(&mut self, now: Duration, attempt: Attempt) {
        self.pools[attempt.pool].on_failure(now, &attempt);
        self.on_ended(now, attempt);
    }

    /// Ejects slow servers and schedules trial requests.
    ///
    /// The runtime calls it about once a second. Unlike that of the functions for each request, its cost grows with the
    /// number of servers.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use tanagerford_core::routing::{Router, RouterSettings};
    /// # let settings = RouterSettings { tiers: 1, zone: "a".into(), region_zones: Vec::new(), seed: 1 };
    /// # let mut router = Router::new(settings);
    /// router.on_tick(Duration::from_secs(1));
    /// ```
    pub fn on_tick(&mut self, now: Duration) {
        for pool in &mut self.pools {
            pool.on_tick(now);
        }
    }

    /// Records the end of an attempt without information about its server, because the request was cancelled or never
    /// sent.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use tanagerford_core::routing::{RouteRequest, Router, RouterSettings, Server};
    /// # let settings = RouterSettings { tiers: 1, zone: "a".into(), region_zones: Vec::new(), seed: 1 };
    /// # let mut router = Router::new(settings);
    /// # let server = Server { id: "m1".into(), zone: "a".into(), incarnation: 1, leaving: false };
    /// # router.set_servers(Duration::ZERO, "chat", vec![server]);
    /// # let request = RouteRequest { pool: "chat", tier: 0, prefix_hash: None };
    /// let choice = router.choose(Duration::ZERO, &request, &[]).unwrap();
    /// router.on_ended(Duration::ZERO, choice.attempt);
    /// assert_eq!(router.in_flight("chat", "m1", 0), 0);
    /// ```
    pub fn on_ended(&mut self, now: Duration, attempt: Attempt) {
        self.on_response(now, attempt, &ResponseMeasurements::default());
    }

    /// Records a cache event, with the tier of the request that the prefix belongs to.
    ///
    /// The event only affects the preference among servers within the load bound.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use tanagerford_core::routing::{CacheEvent, RouteRequest, Router, RouterSettings, Server};
    /// # let settings = RouterSettings { tiers: 1, zone: "a".into(), region_zones: Vec::new(), seed: 1 };
    /// # let mut router = Router::new(settings);
    /// # let servers = ["m1", "m2"].map(|id| Server { id: id.into(), zone: "a".into(), incarnation: 1, leaving: false });
    /// # router.set_servers(Duration::ZERO, "chat", servers);
    /// router.on_cache_event(Duration::ZERO, "chat", "m2", 0, 7, CacheEvent::Stored);
    /// let request = RouteRequest { pool: "chat", tier: 0, prefix_hash: Some(7) };
    /// assert_eq!(router.choose(Duration::ZERO, &request, &[]).unwrap().server, "m2");
    /// ```
    pub fn on_cache_event(
        &mut self,
        now: Duration,
        pool: &str,
        server: &str,
        tier: TierId,
        prefix_hash: u64,
        event: CacheEvent,
    ) {
        if let Some(pool) = self.index.get(pool).map(|&index| &mut self.pools[index]) {
            pool.on_cache_event(now, server, tier, prefix_hash, event);
        }
    }

    /// Returns the number of requests of `tier` and higher tiers that this entry has in flight at a server; 0 for an
    /// unknown server. See [`Router::new`] for an example.
    #[must_use]
    pub fn in_flight(&self, pool: &str, server: &str, tier: TierId) -> u32 {
        let pool = self.index.get(pool).map(|&index| &self.pools[index]);
        pool.map_or(0, |pool| pool.in_flight(server, tier))
    }

    fn pool_index_or_insert(&mut self, pool: &str) -> usize {
        if let Some(&index) = self.index.get(pool) {
            return index;
        }
        let index = self.pools.len();
        let seed = self.settings.seed ^ xxhash_rust::xxh3::xxh3_64(pool.as_bytes());
        self.pools.push(Pool::new(self.settings.tiers, seed));
        self.index.insert(pool.to_owned(), index);
        index
    }
}

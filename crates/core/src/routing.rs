//! Choice of a backend server at the entry.
//!
//! A [`Router`] holds the entry's soft state for the servers of its pools. A request with a prefix hash goes to the
//! server that rendezvous hashing names for the prefix, as long as the load of that server stays within a bound
//! (Mirrokni, Thorup, Zadimoghaddam: Consistent Hashing with Bounded Loads, 2016); every other request goes to the
//! better of two random servers (Mitzenmacher: The Power of Two Choices in Randomized Load Balancing, 2001). The own
//! availability zone comes first, fresh servers start slowly, and leaving servers receive nothing.
//!
//! Each tier has a view of its own, which is fed only by events of this tier and higher ones and draws from its own
//! random numbers. The choices made for a tier are therefore the same with and without lower tiers. The price is that a
//! view does not profit from load hints on the answers of lower tiers.
//!
//! Load hints arrive with answers and refusals. Nothing polls; a hint fades towards the mean of the pool, so a server
//! that was not heard of for a while counts as an average one, neither idle nor busy.

mod choose;
mod hint;
mod pool;
mod ring;
mod view;

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::{Fingerprint, Incarnation, PoolId, ServerId, TierId, ZoneId};
use crate::straggler::PaceSample;
use pool::Pool;

/// Settings of a [`Router`].
#[derive(Debug, Clone)]
pub struct RouterSettings {
    /// Count of service tiers.
    pub tiers: u8,
    /// Availability zone of the entry.
    pub zone: ZoneId,
    /// Availability zones in the entry's own region. Servers outside are used only when no server inside is usable.
    /// Empty when all zones are in one region.
    pub region_zones: Vec<ZoneId>,
    /// Seed of the random numbers; it differs between entries, so that they do not pick the same servers.
    pub seed: u64,
}

/// A backend server as the membership lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Name of the server.
    pub id: ServerId,
    /// Availability zone of the server.
    pub zone: ZoneId,
    /// Incarnation of the server's sidecar; a higher one has an empty cache and starts slowly.
    pub incarnation: Incarnation,
    /// Whether the server takes no new work.
    pub leaving: bool,
}

/// What the router needs to know about a request.
#[derive(Debug, Clone)]
pub struct RouteRequest<'a> {
    /// Pool that serves the request.
    pub pool: &'a str,
    /// Tier of the request.
    pub tier: TierId,
    /// Hash of the part of the prompt that engines may have cached, if any.
    pub prefix_hash: Option<u64>,
}

/// Why a server was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ChoiceReason {
    /// A cache event named the server as holding the prefix.
    CacheHint,
    /// Rendezvous hashing of the prefix named the server.
    Affinity,
    /// Trial request for a server that was ejected as slow or failing.
    Trial,
    /// All copies of a suspect request run on this server.
    Suspect,
    /// Better of two random servers of the own availability zone.
    LeastLoaded,
    /// Better of two random servers of the other availability zones.
    OtherZone,
    /// Only servers that were ejected as slow or failing remain.
    LastResort,
}

/// A chosen server.
#[derive(Debug, PartialEq, Eq)]
pub struct Choice {
    /// Name of the server.
    pub server: ServerId,
    /// Why it was chosen.
    pub reason: ChoiceReason,
    /// Handle that must be returned to the router when the attempt has ended.
    pub attempt: Attempt,
}

/// An attempt that counts as in flight until it is given to one of the `on_` functions of the router.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "an attempt that is not returned to the router counts as in flight for ever"]
pub struct Attempt {
    pool: usize,
    slot: usize,
    epoch: u64,
    tier: TierId,
}

/// Load of a backend server, piggybacked on answers and refusals of its sidecar.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LoadHint {
    /// Requests that run, of all tiers.
    pub running: u32,
    /// Largest batch that meets the target, 0 when unknown.
    pub batch_limit: u32,
    /// Running and waiting requests by tier, the highest tier first.
    pub busy_by_tier: Vec<u32>,
    /// Whether the server takes no new work.
    pub leaving: bool,
}

/// What an answer tells about the server that gave it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Answer {
    /// Load that came with the answer.
    pub load: Option<LoadHint>,
    /// Time until the first token, or until the whole answer of a call without tokens.
    pub first_token: Option<Duration>,
    /// Speed of the answer.
    pub pace: Option<PaceSample>,
    /// Size of the prompt in tokens. Latencies are compared only among requests of about the same size.
    pub prompt_tokens: u32,
}

/// Change of a prefix cache, as the engine reported it late and perhaps with gaps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheEvent {
    /// The prefix was stored.
    Stored,
    /// The prefix was evicted.
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
    /// use tanagerford_core::routing::{Answer, RouteRequest, Router, RouterSettings, Server};
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
    /// router.on_answer(Duration::from_millis(200), choice.attempt, &Answer::default());
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

    /// Replaces the servers of a pool and keeps the soft state of the servers that stay.
    ///
    /// A server that was seen leaving stays so for its incarnation, because the list may be older than the server's
    /// own announcement.
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

    /// Records that a server takes no new work.
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

    /// Chooses a server for a request, never one of `exclude`, the servers that were already tried.
    ///
    /// Returns `None` when the pool has no usable server. See [`Router::new`] for an example.
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

    /// Chooses the server for a request that must run isolated.
    ///
    /// All entries with the same list of servers choose the same one, whatever the load, so that copies of a request
    /// that crashes servers run one after the other instead of crashing several servers at the same time.
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

    /// Records the end of an attempt that was answered. See [`Router::new`] for an example.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "an attempt ends once, so it is consumed"
    )]
    pub fn on_answer(&mut self, now: Duration, attempt: Attempt, answer: &Answer) {
        let pool = &mut self.pools[attempt.pool];
        pool.on_answer(now, &attempt, answer);
    }

    /// Records the end of an attempt that the sidecar refused, with the load that came with the refusal.
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
        let answer = Answer {
            load: load.cloned(),
            ..Answer::default()
        };
        self.on_answer(now, attempt, &answer);
    }

    /// Records the end of an attempt that failed at its server: the link was lost, or the server failed or crashed.
    /// A server that fails several attempts in a row receives no requests for a while.
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

    /// Ejects slow servers and makes trial requests due. To be called about once a second; its cost grows with the
    /// servers, unlike that of the other functions.
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

    /// Records the end of an attempt that tells nothing about its server: the request was cancelled or never sent.
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
        self.on_answer(now, attempt, &Answer::default());
    }

    /// Records a cache event, with the tier of the request that the prefix belongs to.
    ///
    /// The event only moves a preference among servers within the load bound.
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

    /// Returns the requests of `tier` and higher tiers that this entry has in flight at a server, 0 for an unknown
    /// server. See [`Router::new`] for an example.
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

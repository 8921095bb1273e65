//! Choice of backend servers by one router per pool, each with its own lock.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

use tanagerford_core::ids::{Fingerprint, PoolId, ServerId, TierId, ZoneId};
use tanagerford_core::order::{OrderKey, shard_owner};
use tanagerford_core::routing::{
    Attempt, Choice, LoadHint, ResponseMeasurements, RouteRequest, Router, RouterSettings, Server,
};
use tanagerford_link::message;
use tanagerford_sync::{lock, read_lock, write_lock};

use crate::links::Target;
use crate::orders::ORDER_SHARDS;

/// Number of tiers that the routers distinguish; the maximum in a configuration.
pub(crate) const MAX_TIERS: u8 = 16;

/// Routers of all pools, created when a pool first has servers.
pub(crate) struct Servers {
    settings: RouterSettings,
    started_at: Instant,
    routers: RwLock<HashMap<PoolId, Arc<Mutex<Router>>>>,
}

/// Server of an attempt. It is passed back to [`Servers`] when the attempt has ended.
#[derive(Debug)]
pub(crate) struct ChosenServer {
    pub(crate) server: ServerId,
    pool: PoolId,
    /// `None` for an order, whose key determines the server.
    attempt: Option<Attempt>,
}

impl Servers {
    pub(crate) fn new(zone: ZoneId) -> Self {
        Self {
            settings: RouterSettings {
                tiers: MAX_TIERS,
                zone,
                region_zones: Vec::new(),
                seed: rand::random(),
            },
            started_at: Instant::now(),
            routers: RwLock::default(),
        }
    }

    /// Returns the time since the start of the entry, which is the clock of the routers and the retry budget.
    pub(crate) fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Replaces the servers of all pools. Servers that remain keep their load and speed estimates unless they have
    /// restarted.
    pub(crate) fn set_targets(&self, targets: &[Target]) {
        let mut by_pool: HashMap<&str, Vec<Server>> = HashMap::new();
        for target in targets {
            by_pool.entry(&target.pool).or_default().push(Server {
                id: target.server.clone(),
                zone: target.zone.clone(),
                incarnation: target.incarnation,
                leaving: target.leaving,
            });
        }
        let now = self.now();
        let known_pools: Vec<_> = self.read_routers().keys().cloned().collect();
        for pool in known_pools {
            if !by_pool.contains_key(pool.as_str())
                && let Some(router) = self.router(&pool)
            {
                lock(&router).set_servers(now, &pool, Vec::new());
            }
        }
        for (pool, servers) in by_pool {
            let router = self.router_or_insert(pool);
            lock(&router).set_servers(now, pool, servers);
        }
    }

    /// Chooses a server for a request; `None` if the pool has no usable server.
    pub(crate) fn choose(
        &self,
        pool: &str,
        tier: TierId,
        prefix_hash: Option<u64>,
        exclude: &[ServerId],
    ) -> Option<ChosenServer> {
        let router = self.router(pool)?;
        let request = RouteRequest {
            pool,
            tier,
            prefix_hash,
        };
        let choice = lock(&router).choose(self.now(), &request, exclude)?;
        Some(ChosenServer::new(pool, choice))
    }

    /// Chooses a server for a request that is suspected of crashing servers. All entries choose the same one for the
    /// same request.
    pub(crate) fn choose_for_suspect(
        &self,
        pool: &str,
        tier: TierId,
        fingerprint: Fingerprint,
        exclude: &[ServerId],
    ) -> Option<ChosenServer> {
        let router = self.router(pool)?;
        let request = RouteRequest {
            pool,
            tier,
            prefix_hash: None,
        };
        let choice = lock(&router).choose_for_suspect(&request, fingerprint, exclude)?;
        Some(ChosenServer::new(pool, choice))
    }

    /// Records a complete response and its measurements.
    pub(crate) fn on_response(&self, chosen: ChosenServer, response: &ResponseMeasurements) {
        self.record_end(chosen, |router, now, attempt| {
            router.on_response(now, attempt, response);
        });
    }

    /// Records a refusal, with the load that the sidecar reported.
    pub(crate) fn on_refusal(&self, chosen: ChosenServer, load: Option<&LoadHint>) {
        self.record_end(chosen, |router, now, attempt| {
            router.on_refusal(now, attempt, load);
        });
    }

    /// Records a failure of the server or of the link to it.
    pub(crate) fn on_failure(&self, chosen: ChosenServer) {
        self.record_end(chosen, Router::on_failure);
    }

    /// Records the end of an attempt that is no evidence of the server's speed or health.
    pub(crate) fn on_ended(&self, chosen: ChosenServer) {
        self.record_end(chosen, Router::on_ended);
    }

    /// Excludes a server that has announced that it is leaving from new requests.
    pub(crate) fn set_leaving(&self, server: &str) {
        for (pool, router) in &*self.read_routers() {
            lock(router).set_leaving(pool, server);
        }
    }

    /// Updates the speed estimates of the servers. It has to be called about once a second.
    pub(crate) fn on_tick(&self) {
        let now = self.now();
        for router in self.read_routers().values() {
            lock(router).on_tick(now);
        }
    }

    fn record_end(
        &self,
        chosen: ChosenServer,
        record: impl FnOnce(&mut Router, Duration, Attempt),
    ) {
        if let (Some(router), Some(attempt)) = (self.router(&chosen.pool), chosen.attempt) {
            record(&mut lock(&router), self.now(), attempt);
        }
    }

    fn read_routers(&self) -> std::sync::RwLockReadGuard<'_, HashMap<PoolId, Arc<Mutex<Router>>>> {
        read_lock(&self.routers)
    }

    fn router(&self, pool: &str) -> Option<Arc<Mutex<Router>>> {
        self.read_routers().get(pool).cloned()
    }

    fn router_or_insert(&self, pool: &str) -> Arc<Mutex<Router>> {
        let mut routers = write_lock(&self.routers);
        let router = routers
            .entry(pool.to_owned())
            .or_insert_with(|| Arc::new(Mutex::new(Router::new(self.settings.clone()))));
        Arc::clone(router)
    }
}

impl ChosenServer {
    fn new(pool: &str, choice: Choice) -> Self {
        Self {
            server: choice.server,
            pool: pool.to_owned(),
            attempt: Some(choice.attempt),
        }
    }

    /// Returns the server among `candidates` whose sidecar owns the shard of an order; `None` if `candidates` is empty.
    pub(crate) fn shard_owner_of(
        key: &OrderKey,
        pool: &str,
        candidates: &[ServerId],
    ) -> Option<Self> {
        let names = candidates.iter().map(String::as_str);
        let owner = shard_owner(pool, key.shard(ORDER_SHARDS), names)?;
        Some(Self {
            server: owner.to_owned(),
            pool: pool.to_owned(),
            attempt: None,
        })
    }
}

/// Converts the load in a message of a sidecar.
pub(crate) fn load_hint(load: &message::Load) -> LoadHint {
    LoadHint {
        running: load.running,
        batch_limit: load.batch_limit,
        busy_by_tier: load.busy_by_tier.clone(),
        leaving: load.leaving,
    }
}

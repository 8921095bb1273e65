//! Choice of a backend server: one router for each pool, each under its own lock.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

use tanagerford_core::ids::{Fingerprint, PoolId, ServerId, TierId, ZoneId};
use tanagerford_core::order::{OrderKey, shard_owner};
use tanagerford_core::routing::{
    Answer, Attempt, Choice, LoadHint, RouteRequest, Router, RouterSettings, Server,
};
use tanagerford_link::message;
use tanagerford_sync::{lock, read_lock, write_lock};

use crate::links::Target;
use crate::orders::ORDER_SHARDS;

/// Tiers that a router tells apart; the configuration has at most as many.
pub(crate) const MAX_TIERS: u8 = 16;

/// Routers of all pools.
pub(crate) struct Servers {
    settings: RouterSettings,
    started_at: Instant,
    routers: RwLock<HashMap<PoolId, Arc<Mutex<Router>>>>,
}

/// Chosen server, until the attempt has ended.
#[derive(Debug)]
pub(crate) struct Chosen {
    pub(crate) server: ServerId,
    pool: PoolId,
    /// `None` for an order, whose server is fixed by its key.
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

    /// Returns the time on the clock of the decisions.
    pub(crate) fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Replaces the servers of all pools; soft state of the servers that stay is kept.
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
        let known: Vec<_> = self.read().keys().cloned().collect();
        for pool in known {
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

    /// Chooses a server for a request.
    pub(crate) fn choose(
        &self,
        pool: &str,
        tier: TierId,
        prefix_hash: Option<u64>,
        exclude: &[ServerId],
    ) -> Option<Chosen> {
        let router = self.router(pool)?;
        let request = RouteRequest {
            pool,
            tier,
            prefix_hash,
        };
        let choice = lock(&router).choose(self.now(), &request, exclude)?;
        Some(Chosen::new(pool, choice))
    }

    /// Chooses the server for a request that is suspected of crashing servers: the same one for all its copies.
    pub(crate) fn choose_for_suspect(
        &self,
        pool: &str,
        tier: TierId,
        fingerprint: Fingerprint,
        exclude: &[ServerId],
    ) -> Option<Chosen> {
        let router = self.router(pool)?;
        let request = RouteRequest {
            pool,
            tier,
            prefix_hash: None,
        };
        let choice = lock(&router).choose_for_suspect(&request, fingerprint, exclude)?;
        Some(Chosen::new(pool, choice))
    }

    /// Records an answer, with what it tells about its server.
    pub(crate) fn on_answer(&self, chosen: Chosen, answer: &Answer) {
        self.end(chosen, |router, now, attempt| {
            router.on_answer(now, attempt, answer);
        });
    }

    /// Records a refusal.
    pub(crate) fn on_refusal(&self, chosen: Chosen, load: Option<&LoadHint>) {
        self.end(chosen, |router, now, attempt| {
            router.on_refusal(now, attempt, load);
        });
    }

    /// Records a failure of the server or its link.
    pub(crate) fn on_failure(&self, chosen: Chosen) {
        self.end(chosen, Router::on_failure);
    }

    /// Records the end of an attempt that tells nothing about its server.
    pub(crate) fn on_ended(&self, chosen: Chosen) {
        self.end(chosen, Router::on_ended);
    }

    /// Sends no new work to a server that announced that it leaves.
    pub(crate) fn set_leaving(&self, server: &str) {
        for (pool, router) in &*self.read() {
            lock(router).set_leaving(pool, server);
        }
    }

    /// Updates the speed estimates; to be called about once a second.
    pub(crate) fn on_tick(&self) {
        let now = self.now();
        for router in self.read().values() {
            lock(router).on_tick(now);
        }
    }

    fn end(&self, chosen: Chosen, record: impl FnOnce(&mut Router, Duration, Attempt)) {
        if let (Some(router), Some(attempt)) = (self.router(&chosen.pool), chosen.attempt) {
            record(&mut lock(&router), self.now(), attempt);
        }
    }

    fn read(&self) -> std::sync::RwLockReadGuard<'_, HashMap<PoolId, Arc<Mutex<Router>>>> {
        read_lock(&self.routers)
    }

    fn router(&self, pool: &str) -> Option<Arc<Mutex<Router>>> {
        self.read().get(pool).cloned()
    }

    fn router_or_insert(&self, pool: &str) -> Arc<Mutex<Router>> {
        let mut routers = write_lock(&self.routers);
        let router = routers
            .entry(pool.to_owned())
            .or_insert_with(|| Arc::new(Mutex::new(Router::new(self.settings.clone()))));
        Arc::clone(router)
    }
}

impl Chosen {
    fn new(pool: &str, choice: Choice) -> Self {
        Self {
            server: choice.server,
            pool: pool.to_owned(),
            attempt: Some(choice.attempt),
        }
    }

    /// Returns the sidecar that owns the shard of an order, among the `listed` ones.
    pub(crate) fn owner_of(key: &OrderKey, pool: &str, listed: &[ServerId]) -> Option<Self> {
        let names = listed.iter().map(String::as_str);
        let owner = shard_owner(pool, key.shard(ORDER_SHARDS), names)?;
        Some(Self {
            server: owner.to_owned(),
            pool: pool.to_owned(),
            attempt: None,
        })
    }
}

/// Returns the load hint of a message.
pub(crate) fn load_hint(load: &message::Load) -> LoadHint {
    LoadHint {
        running: load.running,
        batch_limit: load.batch_limit,
        busy_by_tier: load.busy_by_tier.clone(),
        leaving: load.leaving,
    }
}

//! Backend servers that the registry names, and what this entry believes of them.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, RwLock};
use std::time::{Duration, Instant};

use tanagerford_core::dispatch::{CostSettings, Pool, ServerSpec};
use tanagerford_core::ids::{PoolId, ServerId, ZoneId};
use tanagerford_sync::{lock, read_lock, write_lock};

use crate::table::RoutingTable;

/// Backend server as the registry describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendServer {
    /// Name of the server.
    pub id: ServerId,
    /// Pool that the server belongs to.
    pub pool: PoolId,
    /// Address for calls.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it takes new work.
    pub is_ready: bool,
    /// Start of the process behind the name, in Unix milliseconds.
    pub born_unix_ms: Option<u64>,
}

/// Servers of one pool, with the beliefs about them under their own lock.
#[derive(Debug)]
pub struct PoolState {
    /// Servers that may receive new calls, by name.
    pub servers: BTreeMap<ServerId, Arc<BackendServer>>,
    beliefs: Arc<Mutex<Pool>>,
}

/// All pools.
#[derive(Debug)]
pub struct Fleet {
    zone: ZoneId,
    costs: CostSettings,
    started: Instant,
    pools: RwLock<HashMap<PoolId, Arc<PoolState>>>,
}

impl Fleet {
    /// Creates a fleet without servers, as seen from an availability zone.
    #[must_use]
    pub fn new(zone: impl Into<ZoneId>, costs: CostSettings) -> Self {
        Self {
            zone: zone.into(),
            costs,
            started: Instant::now(),
            pools: RwLock::default(),
        }
    }

    /// Returns the time since the start, the clock of all beliefs.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns the availability zone from which the servers are seen.
    #[must_use]
    pub fn zone(&self) -> ZoneId {
        self.zone.clone()
    }

    /// Returns the servers of a pool.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<Arc<PoolState>> {
        let pools = read_lock(&self.pools);
        pools.get(name).cloned()
    }

    /// Replaces the servers. Those that take no new work are left out; calls in flight at them go on.
    pub fn set_servers(&self, servers: impl Iterator<Item = BackendServer>, table: &RoutingTable) {
        let specs: HashMap<_, _> = table.pools().map(|pool| (&pool.name, pool)).collect();
        let mut by_pool: HashMap<PoolId, BTreeMap<ServerId, Arc<BackendServer>>> = HashMap::new();
        for server in servers.filter(|server| server.is_ready) {
            let pool = by_pool.entry(server.pool.clone()).or_default();
            pool.insert(server.id.clone(), Arc::new(server));
        }
        let mut pools = write_lock(&self.pools);
        let mut updated = HashMap::new();
        for name in pools.keys().chain(by_pool.keys()) {
            let servers = by_pool.get(name).cloned().unwrap_or_default();
            let beliefs = pools.get(name).map_or_else(
                || Arc::new(Mutex::new(Pool::new(self.zone.clone(), self.costs.clone()))),
                |pool| Arc::clone(&pool.beliefs),
            );
            let state = PoolState { servers, beliefs };
            let spec = specs.get(name);
            let memory_tokens = spec.and_then(|spec| spec.memory_tokens).unwrap_or(0);
            let mut pool_beliefs = state.beliefs();
            pool_beliefs.set_servers(&state.specs(memory_tokens));
            let event_tokens = spec.and_then(|spec| spec.event_tokens);
            if let Some((event_tokens, limit)) = event_tokens.zip(table.pause_limit(name)) {
                pool_beliefs.set_stream_limits(event_tokens, limit);
            }
            drop(pool_beliefs);
            updated.insert(name.clone(), Arc::new(state));
        }
        *pools = updated;
    }

    /// Returns all pools by name.
    #[must_use]
    pub fn pools(&self) -> Vec<(PoolId, Arc<PoolState>)> {
        let pools = read_lock(&self.pools);
        let pairs = pools.iter();
        pairs
            .map(|(name, pool)| (name.clone(), Arc::clone(pool)))
            .collect()
    }
}

impl PoolState {
    /// Locks the beliefs about the servers.
    pub fn beliefs(&self) -> MutexGuard<'_, Pool> {
        lock(&self.beliefs)
    }

    fn specs(&self, memory_tokens: u64) -> Vec<ServerSpec> {
        let servers = self.servers.values();
        let specs = servers.map(|server| ServerSpec {
            id: server.id.clone(),
            zone: server.zone.clone(),
            slots: server.slots,
            memory_tokens,
        });
        specs.collect()
    }
}

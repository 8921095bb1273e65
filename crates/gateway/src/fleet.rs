//! Backend servers of the registry, and this entry's view of their load.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, RwLock};
use std::time::{Duration, Instant};

use tanagerford_core::dispatch::{CostSettings, Pool, ServerSpec};
use tanagerford_core::ids::{PoolId, ServerId, ZoneId};
use tanagerford_core::server_limit::PermitQueue;
use tanagerford_core::stream_version::{self, VersionId};
use tanagerford_core::version_history::{RegisteredVersion, VersionHistory};
use tanagerford_sync::{lock, read_lock, write_lock};

use crate::table::RoutingTable;

/// Backend server as the registry describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendServer {
    /// Name of the server, unique over all pools; a restarted server may keep it.
    pub id: ServerId,
    /// Pool whose calls the server runs.
    pub pool: PoolId,
    /// Address at which the server accepts calls.
    pub address: SocketAddr,
    /// Availability zone in which the server runs.
    pub zone: ZoneId,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server accepts new calls; `false` while it drains.
    pub is_ready: bool,
    /// Start of the server's process in Unix milliseconds, which distinguishes incarnations with the same name. `None`
    /// if the registry does not state it.
    pub started_unix_ms: Option<u64>,
    /// Version of the server's software; empty if the registry does not state it. A stream may go on only at the version
    /// that began it.
    pub version: String,
    /// Whether the registry names the server. One that it lacks after an outage is used for a grace period.
    pub is_registered: bool,
}

impl BackendServer {
    /// Returns the identifier of the version at which streams of the server begin.
    pub(crate) fn version_id(&self) -> VersionId {
        stream_version::version_id(&self.pool, &self.version)
    }
}

/// Servers that accept new calls, by name.
pub type ServersById = BTreeMap<ServerId, Arc<BackendServer>>;

/// One pool with this entry's view of the load of its servers. It lives as long as the fleet, so that calls in flight see
/// the servers that join and leave meanwhile.
#[derive(Debug)]
pub struct PoolState {
    registered: RwLock<RegisteredServers>,
    /// View of the load and health of the registered servers.
    load_view: Mutex<Pool>,
    /// Calls that wait because all servers limit their requests or are at rest.
    permit_queue: Mutex<PermitQueue>,
}

#[derive(Debug, Default)]
struct RegisteredServers {
    servers: Arc<ServersById>,
    /// Software versions at which streams may have begun that can still be resumed.
    recent_versions: Arc<BTreeSet<String>>,
    /// Time by which the pool has servers that accept calls, if all of them are withheld.
    withheld_until: Option<Duration>,
}

/// All pools of backend servers, as seen from one entry.
#[derive(Debug)]
pub struct Fleet {
    zone: ZoneId,
    costs: CostSettings,
    started: Instant,
    pools: RwLock<HashMap<PoolId, Arc<PoolState>>>,
    versions: Mutex<VersionHistory>,
}

impl Fleet {
    /// Creates a fleet without servers. `zone` is the entry's availability zone.
    #[must_use]
    pub fn new(zone: impl Into<ZoneId>, costs: CostSettings) -> Self {
        Self {
            zone: zone.into(),
            costs,
            started: Instant::now(),
            pools: RwLock::default(),
            versions: Mutex::default(),
        }
    }

    /// Returns the time since the creation of the fleet, the clock of all load views.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub(crate) fn zone(&self) -> ZoneId {
        self.zone.clone()
    }

    /// Returns a pool, or `None` if no ready server of it was ever registered.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<Arc<PoolState>> {
        let pools = read_lock(&self.pools);
        pools.get(name).cloned()
    }

    /// Locks the versions of the servers' software that matter for streams that are resumed.
    pub fn version_history(&self) -> MutexGuard<'_, VersionHistory> {
        lock(&self.versions)
    }

    /// Replaces the servers. Servers that accept no new calls are left out; calls in flight at them continue. Servers of a
    /// version that other entries may not know of are left out, too (see [`VersionHistory::is_withheld`]).
    pub(crate) fn set_servers(
        &self,
        servers: impl Iterator<Item = BackendServer>,
        table: &RoutingTable,
    ) {
        let specs: HashMap<_, _> = table.pools().map(|pool| (&pool.name, pool)).collect();
        let servers: Vec<_> = servers.collect();
        let registered = servers.iter().map(|server| RegisteredVersion {
            pool: server.pool.clone(),
            version: server.version.clone(),
            // Servers of the next version do not wait for one that may have left.
            is_ready: server.is_ready && server.is_registered,
        });
        let registered: Vec<_> = registered.collect();
        let mut versions = self.version_history();
        let now = self.now();
        versions.observe(now, &table.version_retentions(), &registered);
        let mut by_pool: HashMap<PoolId, BTreeMap<ServerId, Arc<BackendServer>>> = HashMap::new();
        for server in servers.into_iter().filter(|server| server.is_ready) {
            // A pool whose servers are all withheld exists as well, so that its callers learn when to return.
            let pool = by_pool.entry(server.pool.clone()).or_default();
            if !versions.is_withheld(now, &server.pool, &server.version) {
                pool.insert(server.id.clone(), Arc::new(server));
            }
        }
        let mut pools = write_lock(&self.pools);
        for name in by_pool.keys() {
            pools
                .entry(name.clone())
                .or_insert_with(|| Arc::new(PoolState::new(&self.zone, &self.costs)));
        }
        for (name, pool) in &*pools {
            let registered = RegisteredServers {
                servers: Arc::new(by_pool.remove(name).unwrap_or_default()),
                recent_versions: Arc::new(versions.recent(name)),
                withheld_until: versions.withheld_until(now, name),
            };
            let spec = specs.get(name);
            let memory_tokens = spec.and_then(|spec| spec.memory_tokens).unwrap_or(0);
            let mut load_view = pool.load_view();
            load_view.set_servers(&server_specs(&registered.servers, memory_tokens));
            load_view.set_transfer_link(spec.and_then(|spec| spec.transfer_link));
            let event_tokens = spec.and_then(|spec| spec.event_tokens);
            if let Some((event_tokens, limit)) = event_tokens.zip(table.pause_limit(name)) {
                load_view.set_stream_limits(event_tokens, limit);
            }
            // Replaced under the lock of the load view, so that a server which is chosen there is found here.
            *write_lock(&pool.registered) = registered;
        }
    }

    /// Returns the servers of all pools that accept new calls, by pool.
    pub(crate) fn servers(&self) -> Vec<Arc<ServersById>> {
        let pools = read_lock(&self.pools);
        pools.values().map(|pool| pool.servers()).collect()
    }

    /// Returns all pools with their names, in no particular order.
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
    fn new(zone: &ZoneId, costs: &CostSettings) -> Self {
        Self {
            registered: RwLock::default(),
            load_view: Mutex::new(Pool::new(zone.clone(), costs.clone())),
            permit_queue: Mutex::default(),
        }
    }

    /// Returns the servers that accept new calls now.
    #[must_use]
    pub fn servers(&self) -> Arc<ServersById> {
        Arc::clone(&read_lock(&self.registered).servers)
    }

    /// Returns the software versions at which streams may have begun that can still be resumed.
    pub(crate) fn recent_versions(&self) -> Arc<BTreeSet<String>> {
        Arc::clone(&read_lock(&self.registered).recent_versions)
    }

    /// Returns the time by which the pool has servers that accept calls, if all of them wait until the other entries know of
    /// their version.
    pub(crate) fn withheld_until(&self) -> Option<Duration> {
        read_lock(&self.registered).withheld_until
    }

    /// Locks this entry's view of the load and health of the pool's servers.
    pub fn load_view(&self) -> MutexGuard<'_, Pool> {
        lock(&self.load_view)
    }

    /// Returns whether a server of a version accepts new calls and does not leave.
    pub(crate) fn has_version(
        &self,
        version: VersionId,
        is_leaving: impl Fn(&BackendServer) -> bool,
    ) -> bool {
        let servers = self.servers();
        let mut servers = servers.values();
        servers.any(|server| server.version_id() == version && !is_leaving(server))
    }

    /// Returns the number of calls that wait because all servers limit their requests or are at rest.
    #[must_use]
    pub fn waiting_calls(&self) -> usize {
        self.permit_queue().len()
    }

    /// Locks the queue of the calls that wait for a permit or the end of a rest.
    pub(crate) fn permit_queue(&self) -> MutexGuard<'_, PermitQueue> {
        lock(&self.permit_queue)
    }
}

fn server_specs(servers: &ServersById, memory_tokens: u64) -> Vec<ServerSpec> {
    let specs = servers.values().map(|server| ServerSpec {
        id: server.id.clone(),
        zone: server.zone.clone(),
        slots: server.slots,
        memory_tokens,
    });
    specs.collect()
}

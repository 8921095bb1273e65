//! The configuration as an entry uses it: routes by host and path, services, workspaces by key, and limits.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use tanagerford_core::dispatch::lower_ranks_latency;
use tanagerford_core::ids::{PoolId, WorkspaceId};

use crate::call::Repeat;

/// Version of a configuration; later ones are larger.
pub type Version = u64;

/// Way by which a configuration came to an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigurationSource {
    /// Read of the whole store.
    Snapshot,
    /// Watch of the store.
    Watch,
    /// Read of what other entries knew while the watch was silent.
    CatchUp,
    /// Copy from another entry.
    Peer,
}

impl ConfigurationSource {
    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Snapshot => "snapshot",
            Self::Watch => "watch",
            Self::CatchUp => "catch_up",
            Self::Peer => "peer",
        }
    }
}

/// Route of requests to pools of backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host that the route belongs to, in lower case.
    pub host: String,
    /// Beginning of the paths; starts and ends with a slash.
    pub path_prefix: String,
    /// Pools that serve the route, with their shares.
    pub pools: Vec<WeightedPool>,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Whether answers are streams of events.
    pub is_stream: bool,
    /// Longest time until the final answer.
    pub timeout: Duration,
    /// Latency objective; for streams, of the first event.
    pub target_latency: Duration,
    /// Longest latency objective of the streams of the same pools that have the same or a lower rank. The table sets it.
    pub lower_ranks_latency: Duration,
    /// Rank of the route; 0 is served first.
    pub priority: u8,
    /// Count of the ranks that the routes of the configuration use.
    pub ranks: u8,
    /// Longest pause between events of a stream that is on time.
    pub pause_limit: Option<Duration>,
    /// Largest count of servers that one call may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
}

/// Pool of a route with its share of the route's calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedPool {
    /// Name of the pool.
    pub pool: PoolId,
    /// Share relative to the other pools of the route.
    pub weight: u32,
}

/// Pool of interchangeable backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolSpec {
    /// Name of the pool.
    pub name: PoolId,
    /// Largest count of connections that one server accepts from all callers.
    pub max_connections: u32,
    /// Memory of each model engine in tokens; `None` for plain services.
    pub memory_tokens: Option<u64>,
    /// Tokens that an event of an engine's stream holds.
    pub event_tokens: Option<u32>,
}

/// Customer with its rank.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceId,
    /// Rank that replaces the route's, if any; 0 is served first.
    pub priority: Option<u8>,
}

/// What callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest size of a request's head, in bytes.
    pub max_header_bytes: usize,
    /// Largest size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time to send a request's head.
    pub header_timeout: Duration,
    /// Longest time between requests on a connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 8 * 1024 * 1024,
            header_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_mins(1),
        }
    }
}

/// Configuration in force.
#[derive(Debug, Default)]
pub struct RoutingTable {
    /// Version of the configuration.
    pub version: Version,
    /// Limits for callers.
    pub limits: CallerLimits,
    routes: HashMap<String, Vec<Arc<Route>>>,
    pools: HashMap<PoolId, PoolSpec>,
    workspaces: Option<HashMap<String, Arc<Workspace>>>,
}

impl RoutingTable {
    /// Creates a table. `workspaces` maps keys to workspaces; without it, requests need no key.
    #[must_use]
    pub fn new(
        version: Version,
        routes: impl IntoIterator<Item = Route>,
        pools: impl IntoIterator<Item = PoolSpec>,
        workspaces: Option<HashMap<String, Arc<Workspace>>>,
        limits: CallerLimits,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        let routes: Vec<Route> = routes.into_iter().collect();
        let highest = routes.iter().map(|route| route.priority).max();
        let ranks = highest.map_or(1, |rank| rank.saturating_add(1));
        let lower_ranks: Vec<_> = routes
            .iter()
            .map(|route| longest_latency(route, &routes))
            .collect();
        for (mut route, latency) in routes.into_iter().zip(lower_ranks) {
            route.ranks = ranks;
            route.lower_ranks_latency = latency;
            let host = by_host.entry(route.host.clone()).or_default();
            host.push(Arc::new(route));
        }
        for host in by_host.values_mut() {
            host.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self {
            version,
            limits,
            routes: by_host,
            pools: pools
                .into_iter()
                .map(|pool| (pool.name.clone(), pool))
                .collect(),
            workspaces,
        }
    }

    /// Returns the route with the longest matching prefix. A port in `host` is ignored.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split_once(':').map_or(host, |(name, _)| name);
        let routes = self.routes.get(&name.to_ascii_lowercase())?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns whether requests need a key unless their route is public.
    #[must_use]
    pub fn needs_key(&self) -> bool {
        self.workspaces.is_some()
    }

    /// Returns the workspace that holds a key.
    #[must_use]
    pub fn workspace(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.workspaces.as_ref()?.get(key)
    }

    /// Returns the count of routes.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Returns the ranks of the workspaces that have one and of the routes.
    #[must_use]
    pub fn ranks(&self) -> (BTreeSet<u8>, BTreeSet<u8>) {
        let workspaces = self.workspaces.iter().flat_map(HashMap::values);
        let routes = self.routes.values().flatten();
        (
            workspaces
                .filter_map(|workspace| workspace.priority)
                .collect(),
            routes.map(|route| route.priority).collect(),
        )
    }

    /// Returns the shortest pause limit of the routes that lead to a pool.
    #[must_use]
    pub fn pause_limit(&self, pool: &str) -> Option<Duration> {
        let routes = self.routes.values().flatten();
        let leading =
            routes.filter(|route| route.pools.iter().any(|weighted| weighted.pool == pool));
        leading.filter_map(|route| route.pause_limit).min()
    }

    /// Returns the pools.
    pub fn pools(&self) -> impl Iterator<Item = &PoolSpec> {
        self.pools.values()
    }
}

/// Returns the longest latency objective of the streams that share a pool with `route` and have no higher rank.
fn longest_latency(route: &Route, routes: &[Route]) -> Duration {
    let shares_pool = |other: &&Route| {
        let mut pools = other.pools.iter();
        pools.any(|pool| route.pools.iter().any(|own| own.pool == pool.pool))
    };
    let rank = |route: &Route| (route.priority, route.target_latency);
    let streams = routes.iter().filter(|other| other.is_stream);
    lower_ranks_latency(rank(route), streams.filter(shares_pool).map(rank))
}

impl Route {
    /// Picks one of the route's pools by its share, the same one for the same `hash`.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_gateway::call::Repeat;
    /// use tanagerford_gateway::table::{Route, WeightedPool};
    ///
    /// let pool = |name: &str, weight| WeightedPool { pool: name.into(), weight };
    /// let route = Route {
    ///     name: "r".into(), host: "a.example".into(), path_prefix: "/".into(),
    ///     pools: vec![pool("old", 0), pool("new", 10)],
    ///     repeat: Repeat::Idempotent, is_stream: false,
    ///     timeout: Duration::from_secs(1), target_latency: Duration::from_millis(100),
    ///     lower_ranks_latency: Duration::ZERO, priority: 0, ranks: 1, pause_limit: None, max_attempts: 1, is_public: false,
    /// };
    /// assert_eq!(route.pick_pool(7).unwrap(), "new");
    /// ```
    #[must_use]
    pub fn pick_pool(&self, hash: u64) -> Option<&PoolId> {
        let total: u64 = self.pools.iter().map(|pool| u64::from(pool.weight)).sum();
        let mut rest = hash.checked_rem(total)?;
        self.pools.iter().find_map(|pool| {
            let weight = u64::from(pool.weight);
            if rest < weight {
                return Some(&pool.pool);
            }
            rest -= weight;
            None
        })
    }
}

//! Decoded configuration: routes by host and path, pools, workspaces by API key, and limits for callers.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use tanagerford_core::dispatch::{Rank, TransferLink, lower_ranks_latency};
use tanagerford_core::ids::{PoolId, WorkspaceId};
use tanagerford_core::version_history::MIN_RETENTION;

use crate::call::RetryPolicy;
use crate::refusal::Refusal;

/// Version of a configuration; a newer configuration has a larger one.
pub type Version = u64;

/// Way by which an entry received a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigurationSource {
    /// Read of all keys of the store.
    Snapshot,
    /// Watch of the store's changes.
    Watch,
    /// Read of changes that other entries reported while this entry's watch delivered none.
    CatchUp,
    /// Copy from another entry.
    Peer,
}

impl ConfigurationSource {
    /// Returns the name of the source in logs and metrics.
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

/// Rule that maps requests of a host and path prefix to pools of backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name in logs.
    pub name: String,
    /// Host that the route matches, in lower case and without a port.
    pub host: String,
    /// Prefix of the paths that the route matches; starts and ends with a slash.
    pub path_prefix: String,
    /// Pools among which the calls are split by weight.
    pub pools: Vec<WeightedPool>,
    /// Which retries are allowed after an attempt that a server may have run.
    pub retry_policy: RetryPolicy,
    /// Whether successful responses are event streams.
    pub is_stream: bool,
    /// Time limit from the arrival of the request's head to the final response.
    pub timeout: Duration,
    /// Latency objective: time to the complete response, or to the first event of a stream.
    pub target_latency: Duration,
    /// Longest latency objective among this route and the streams that share a pool with it and have the same or a
    /// lower rank. Set by [`RoutingTable::new`].
    pub lower_ranks_latency: Duration,
    /// Rank of the route; 0 is served first.
    pub priority: u8,
    /// Number of ranks of the routes of the configuration. Set by [`RoutingTable::new`].
    pub rank_count: u8,
    /// Limit of the pause between events of a stream; `None` for no limit.
    pub pause_limit: Option<Duration>,
    /// Maximum number of attempts of one call that may have run.
    pub max_attempts: u32,
    /// Whether requests are accepted without an API key.
    pub is_public: bool,
}

/// Share of a pool in the calls of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedPool {
    /// Pool that receives the share, by the name that its servers register with.
    pub pool: PoolId,
    /// Share relative to the weights of the route's other pools; 0 for no calls.
    pub weight: u32,
}

/// Pool of interchangeable backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolSpec {
    /// Name that routes and the registrations of servers refer to.
    pub name: PoolId,
    /// Maximum number of connections that one server accepts from all callers together.
    pub max_connections: u32,
    /// Memory of each model engine in tokens; `None` for plain services.
    pub memory_tokens: Option<u64>,
    /// Tokens per event of an engine's stream. With `None`, the cost estimate uses its default.
    pub event_tokens: Option<u32>,
    /// Means by which the engines copy cached prompt parts from each other; `None` if they do not.
    pub transfer_link: Option<TransferLink>,
}

/// Customer of the platform, identified by its API keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Name in logs and in requests to servers.
    pub name: WorkspaceId,
    /// Rank of the workspace, if any; 0 is served first. Calls are ordered by it before the rank of the route.
    pub priority: Option<u8>,
}

/// Limits for requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Size limit of a request's head in bytes; 16 KiB by default.
    pub max_header_bytes: usize,
    /// Size limit of a request's body in bytes; 8 MiB by default.
    pub max_body_bytes: usize,
    /// Time limit for sending a request's head; 10 s by default.
    pub header_timeout: Duration,
    /// Longest time between requests on a connection; 1 min by default.
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

/// Decoded configuration.
#[derive(Debug, Default)]
pub struct RoutingTable {
    /// Version of the configuration that the table was decoded from.
    pub version: Version,
    /// Limits for all callers, independent of route and workspace.
    pub limits: CallerLimits,
    routes: HashMap<String, HostRoutes>,
    pools: HashMap<PoolId, PoolSpec>,
    workspaces: Option<HashMap<String, Arc<Workspace>>>,
    summary: RouteSummary,
    /// Routes by the hash of the text that they were decoded from.
    sources: HashMap<SourceHash, Arc<Route>>,
}

/// Hash of the text of a route in a document.
pub type SourceHash = u128;

/// Routes of one host by path prefix.
#[derive(Debug, Default)]
struct HostRoutes {
    by_prefix: HashMap<String, Arc<Route>>,
    /// Lengths of the prefixes in bytes.
    prefix_lengths: BTreeSet<usize>,
}

impl HostRoutes {
    /// Adds a route. Of several routes with the same prefix, the first one counts.
    fn add(&mut self, route: Arc<Route>) {
        self.prefix_lengths.insert(route.path_prefix.len());
        self.by_prefix
            .entry(route.path_prefix.clone())
            .or_insert(route);
    }

    /// Returns the route with the longest prefix of the path. The cost depends on the number of different lengths only.
    fn find(&self, path: &str) -> Option<&Arc<Route>> {
        let lengths = self.prefix_lengths.range(..=path.len()).rev();
        let mut prefixes = lengths.filter_map(|length| path.get(..*length));
        prefixes.find_map(|prefix| self.by_prefix.get(prefix))
    }
}

/// Values that depend on all routes. They are collected once for each table, since reading all routes again takes milliseconds
/// at thousands of routes.
#[derive(Debug, Default)]
struct RouteSummary {
    count: usize,
    ranks: BTreeSet<Rank>,
    /// Longest latency objective of the streams of a pool, by rank.
    stream_latencies: HashMap<PoolId, BTreeMap<Rank, Duration>>,
    /// Shortest pause limit of the routes that use a pool.
    pause_limits: HashMap<PoolId, Option<Duration>>,
    /// Longest timeout of the routes that may resume streams of a pool.
    resumable_timeouts: HashMap<PoolId, Duration>,
}

impl RouteSummary {
    fn add(&mut self, route: &Route) {
        self.count += 1;
        self.ranks.insert(route.priority);
        for WeightedPool { pool, .. } in &route.pools {
            if route.is_stream {
                let by_rank = entry_of(&mut self.stream_latencies, pool);
                let longest = by_rank.entry(route.priority).or_default();
                *longest = route.target_latency.max(*longest);
            }
            if let Some(limit) = route.pause_limit {
                let shortest = entry_of(&mut self.pause_limits, pool);
                *shortest = shortest.map_or(Some(limit), |shortest| Some(limit.min(shortest)));
            }
            if route.retry_policy == RetryPolicy::Resumable {
                let longest = entry_of(&mut self.resumable_timeouts, pool);
                *longest = route.timeout.max(*longest);
            }
        }
    }

    /// Returns the longest latency objective of `route` and of the streams that share a pool with it and have the same or a
    /// lower rank.
    fn lower_ranks_latency(&self, route: &Route) -> Duration {
        let pools = route.pools.iter();
        let by_rank = pools.filter_map(|weighted| self.stream_latencies.get(&weighted.pool));
        let streams = by_rank.flatten().map(|(rank, latency)| (*rank, *latency));
        lower_ranks_latency((route.priority, route.target_latency), streams)
    }
}

/// Returns the value of a name, a new one if it has none. Clones the name only for a new one.
fn entry_of<'a, T: Default>(values: &'a mut HashMap<String, T>, name: &str) -> &'a mut T {
    if !values.contains_key(name) {
        values.insert(name.to_owned(), T::default());
    }
    values.get_mut(name).expect("a value")
}

impl RoutingTable {
    /// Creates a table. `workspaces` maps API keys to workspaces; with `None`, requests need no key.
    #[must_use]
    pub fn new(
        version: Version,
        routes: impl IntoIterator<Item = Route>,
        pools: impl IntoIterator<Item = PoolSpec>,
        workspaces: Option<HashMap<String, Arc<Workspace>>>,
        limits: CallerLimits,
    ) -> Self {
        let routes = routes.into_iter().map(|route| (None, Arc::new(route)));
        Self::with_sources(version, routes, pools, workspaces, limits)
    }

    /// Creates a table of routes that may belong to an earlier table as well, each with the hash of its text. The next table can
    /// take over those whose text has not changed, see [`RoutingTable::decoded_route`].
    #[must_use]
    pub fn with_sources(
        version: Version,
        routes: impl IntoIterator<Item = (Option<SourceHash>, Arc<Route>)>,
        pools: impl IntoIterator<Item = PoolSpec>,
        workspaces: Option<HashMap<String, Arc<Workspace>>>,
        limits: CallerLimits,
    ) -> Self {
        let routes: Vec<_> = routes.into_iter().collect();
        let mut summary = RouteSummary::default();
        for (_, route) in &routes {
            summary.add(route);
        }
        let largest_rank = summary.ranks.last();
        let rank_count = largest_rank.map_or(1, |rank| rank.saturating_add(1));
        let mut by_host: HashMap<String, HostRoutes> = HashMap::new();
        let mut sources = HashMap::with_capacity(routes.len());
        for (source, mut route) in routes {
            let latency = summary.lower_ranks_latency(&route);
            if (route.rank_count, route.lower_ranks_latency) != (rank_count, latency) {
                let route = Arc::make_mut(&mut route);
                route.rank_count = rank_count;
                route.lower_ranks_latency = latency;
            }
            if let Some(source) = source {
                sources.insert(source, Arc::clone(&route));
            }
            entry_of(&mut by_host, &route.host).add(Arc::clone(&route));
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
            summary,
            sources,
        }
    }

    /// Returns the route that was decoded from a text with this hash.
    #[must_use]
    pub fn decoded_route(&self, source: SourceHash) -> Option<&Arc<Route>> {
        self.sources.get(&source)
    }

    /// Returns the route of the host with the longest prefix that matches the path. A port in `host` is ignored, and
    /// the comparison of hosts ignores case.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split_once(':').map_or(host, |(name, _)| name);
        self.routes.get(&name.to_ascii_lowercase())?.find(path)
    }

    /// Returns whether requests to routes that are not public need an API key.
    fn needs_key(&self) -> bool {
        self.workspaces.is_some()
    }

    /// Returns the workspace that owns an API key.
    #[must_use]
    pub fn workspace(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.workspaces.as_ref()?.get(key)
    }

    /// Returns the workspaces, once for each of their keys.
    pub(crate) fn workspaces(&self) -> impl Iterator<Item = &Arc<Workspace>> {
        self.workspaces.iter().flat_map(HashMap::values)
    }

    /// Returns the workspace of a caller on a route; `None` if the route needs no key.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::UnknownKey`] if the route needs a key and no workspace owns this one.
    pub(crate) fn caller_workspace(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<&Arc<Workspace>>, Refusal> {
        if !self.needs_key() || route.is_public {
            return Ok(None);
        }
        let workspace = key.and_then(|key| self.workspace(key));
        workspace.map(Some).ok_or(Refusal::UnknownKey)
    }

    pub(crate) fn route_count(&self) -> usize {
        self.summary.count
    }

    /// Returns the ranks of the workspaces that have one, and the ranks of the routes.
    pub(crate) fn used_ranks(&self) -> (BTreeSet<u8>, BTreeSet<u8>) {
        let workspaces = self.workspaces.iter().flat_map(HashMap::values);
        let workspace_ranks = workspaces.filter_map(|workspace| workspace.priority);
        (workspace_ranks.collect(), self.summary.ranks.clone())
    }

    /// Returns the shortest pause limit of the routes that use a pool.
    pub(crate) fn pause_limit(&self, pool: &str) -> Option<Duration> {
        self.summary.pause_limits.get(pool).copied().flatten()
    }

    /// Returns the pools whose streams can be resumed, each with the time after which no caller resumes a stream any more:
    /// one timeout for the stream and one for the tries of its caller.
    pub(crate) fn version_retentions(&self) -> BTreeMap<PoolId, Duration> {
        let timeouts = self.summary.resumable_timeouts.iter();
        let retention = |timeout: &Duration| timeout.saturating_mul(2).max(MIN_RETENTION);
        timeouts
            .map(|(pool, timeout)| (pool.clone(), retention(timeout)))
            .collect()
    }

    pub(crate) fn pools(&self) -> impl Iterator<Item = &PoolSpec> {
        self.pools.values()
    }
}

impl Route {
    /// Returns the rank of calls of a workspace; 0 is served first. Calls are ordered by the rank of the workspace, then by
    /// the rank of the route.
    #[must_use]
    pub fn rank(&self, workspace: Option<&Workspace>) -> Rank {
        self.workspace_rank(workspace).saturating_add(self.priority)
    }

    /// Returns the rank of the workspace, scaled so that the ranks of all routes fit below the next workspace rank.
    pub(crate) fn workspace_rank(&self, workspace: Option<&Workspace>) -> Rank {
        let rank = workspace.and_then(|workspace| workspace.priority);
        rank.unwrap_or(0).saturating_mul(self.rank_count.max(1))
    }

    /// Returns one of the route's pools, chosen by weight; the same one for the same `hash`. Returns `None` if all
    /// weights are 0.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_gateway::call::RetryPolicy;
    /// use tanagerford_gateway::table::{Route, WeightedPool};
    ///
    /// let pool = |name: &str, weight| WeightedPool { pool: name.into(), weight };
    /// let route = Route {
    ///     name: "r".into(), host: "a.example".into(), path_prefix: "/".into(),
    ///     pools: vec![pool("old", 0), pool("new", 10)],
    ///     retry_policy: RetryPolicy::Idempotent, is_stream: false,
    ///     timeout: Duration::from_secs(1), target_latency: Duration::from_millis(100),
    ///     lower_ranks_latency: Duration::ZERO, priority: 0, rank_count: 1,
    ///     pause_limit: None, max_attempts: 1, is_public: false,
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

//! Tells operators where a request would go now, and why, without sending it.
//!
//! A preview reads the configuration, the load view and the limits of the entry. It takes no permit, starts no call and
//! records nothing, so it does not change where the next request goes.

use serde::{Deserialize, Serialize};
use tanagerford_core::dispatch::{Candidate, Demand, PartId, PromptPart, Rank};
use tanagerford_core::ids::{PoolId, ServerId, WorkspaceId, ZoneId};

use crate::codec::Codec;
use crate::fleet::PoolState;
use crate::gateway::Gateway;
use crate::refusal::Refusal;
use crate::table::{Route, Version};

/// Largest number of prompt parts of a previewed request. The work of a preview grows with the parts times the servers, and it
/// holds locks that calls need.
const MAX_PARTS: usize = 64;

/// Request to preview.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RouteQuery {
    /// Host that selects the route; may include a port.
    pub host: String,
    /// Path that selects the route.
    pub path: String,
    /// API key of the caller, if there is one.
    pub key: Option<String>,
    /// Tokens of the whole prompt; 0 for calls of plain services.
    pub prompt_tokens: u32,
    /// Expected number of generated tokens.
    pub output_tokens: u32,
    /// Size of the body in bytes.
    pub body_bytes: usize,
    /// Parts of the prompt in order, each with its length in tokens.
    pub parts: Vec<(PartId, u32)>,
}

/// What an entry would do with a request now.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, Serialize)]
pub struct RoutePreview {
    /// Version of the configuration in force; `None` without one.
    pub version: Option<Version>,
    /// Name of the refusal that the request would get before a server is chosen; `None` if it would be sent or wait.
    pub refusal: Option<String>,
    /// Name of the route.
    pub route: Option<String>,
    /// Name of the workspace that owns the key.
    pub workspace: Option<WorkspaceId>,
    /// Rank of the request; 0 is served first.
    pub rank: Rank,
    /// Whether this entry is short of processor time, so that requests wait by rank before they are sent.
    pub is_entry_busy: bool,
    /// Pools of the route among which its requests are split.
    pub pools: Vec<PoolPreview>,
}

/// Choice among the servers of one pool.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct PoolPreview {
    /// Name of the pool.
    pub pool: PoolId,
    /// Share of the route's requests that go to the pool, relative to the weights of its other pools.
    pub weight: u32,
    /// Server that the request would be sent to, if need be after it has waited for a permit or the end of a rest; `None` if
    /// the pool has no server.
    pub server: Option<ServerId>,
    /// Calls of this entry that wait for a permit of a server or for the end of a rest.
    pub waiting_calls: usize,
    /// Whether the prompt is so long that it may wait for room beside the running streams.
    pub is_long_prompt: bool,
    /// Estimates for all servers of the pool, the cheapest first.
    pub candidates: Vec<CandidatePreview>,
}

/// Estimate for one server.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct CandidatePreview {
    /// Name of the server.
    pub server: ServerId,
    /// Availability zone of the server.
    pub zone: ZoneId,
    /// Whole cost in milliseconds.
    pub cost_ms: f64,
    /// Work of the request and the delay of others, before the factor by slowness, in milliseconds.
    pub work_ms: f64,
    /// Factor by which the server is slower than its pool.
    pub slowness: f64,
    /// Cost of recent failures in milliseconds.
    pub failing_ms: f64,
    /// Cost of a server in another availability zone in milliseconds.
    pub other_zone_ms: f64,
    /// Cost of a new connection in milliseconds.
    pub connecting_ms: f64,
    /// Requests that the server runs concurrently.
    pub slots: u32,
    /// Requests in flight at the server.
    pub in_flight: u32,
    /// Prompt tokens that the server processes before those of the request.
    pub waiting_tokens: u32,
    /// Prompt tokens of the request that are not in the server's cache.
    pub uncached_tokens: u32,
    /// Estimated time to the first token in milliseconds; 0 for plain services.
    pub first_token_ms: f64,
    /// Expected number of streams that the request would make late.
    pub late_streams: f64,
    /// Whether recent failures exclude the server, unless they exclude most servers of the pool.
    pub is_ejected: bool,
    /// Whether the server is at rest or leaves, so that it gets no calls.
    pub is_unavailable: bool,
}

impl From<Candidate> for CandidatePreview {
    fn from(candidate: Candidate) -> Self {
        let cost = candidate.cost;
        Self {
            server: candidate.server,
            zone: candidate.zone,
            cost_ms: cost.total_ms(),
            work_ms: cost.work_ms,
            slowness: cost.slowness,
            failing_ms: cost.failing_ms,
            other_zone_ms: cost.other_zone_ms,
            connecting_ms: cost.connecting_ms,
            slots: candidate.slots,
            in_flight: candidate.in_flight,
            waiting_tokens: candidate.waiting_tokens,
            uncached_tokens: candidate.uncached_tokens,
            first_token_ms: candidate.first_token_ms,
            late_streams: candidate.late_streams,
            is_ejected: candidate.is_ejected,
            is_unavailable: false,
        }
    }
}

impl RouteQuery {
    /// Returns whether the parts are few and no longer than the prompt.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let tokens = self.parts.iter().map(|(_, tokens)| u64::from(*tokens));
        self.parts.len() <= MAX_PARTS && tokens.sum::<u64>() <= u64::from(self.prompt_tokens)
    }

    fn demand(&self, rank: Rank) -> Demand {
        let parts = self.parts.iter();
        Demand {
            parts: parts
                .map(|(id, tokens)| PromptPart {
                    id: *id,
                    tokens: *tokens,
                })
                .collect(),
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.output_tokens,
            body_bytes: self.body_bytes,
            rank,
        }
    }
}

impl<C: Codec> Gateway<C> {
    /// Returns what this entry would do with a request now. Changes nothing.
    #[must_use]
    pub fn preview_route(&self, query: &RouteQuery) -> RoutePreview {
        let refused = |refusal: Refusal, preview: RoutePreview| RoutePreview {
            refusal: Some(refusal.name().to_owned()),
            ..preview
        };
        let mut preview = RoutePreview {
            version: self.version(),
            is_entry_busy: self.processor.is_busy(),
            ..RoutePreview::default()
        };
        let Some(table) = self.table() else {
            return refused(Refusal::NoConfiguration, preview);
        };
        let Some(route) = table.route(&query.host, &query.path) else {
            return refused(Refusal::NoRoute, preview);
        };
        preview.route = Some(route.name.clone());
        let workspace = match table.caller_workspace(route, query.key.as_deref()) {
            Ok(workspace) => workspace,
            Err(refusal) => return refused(refusal, preview),
        };
        preview.workspace = workspace.map(|workspace| workspace.name.clone());
        preview.rank = route.rank(workspace.map(|workspace| &**workspace));
        preview.pools = self.preview_pools(route, &query.demand(preview.rank));
        if preview.pools.iter().all(|pool| pool.server.is_none()) {
            return refused(Refusal::NoServer, preview);
        }
        preview
    }

    fn preview_pools(&self, route: &Route, demand: &Demand) -> Vec<PoolPreview> {
        let pools = route.pools.iter().filter(|pool| pool.weight > 0);
        let previews = pools.filter_map(|weighted| {
            let pool = self.fleet.pool(&weighted.pool)?;
            Some(PoolPreview {
                pool: weighted.pool.clone(),
                weight: weighted.weight,
                ..self.preview_pool(&pool, demand)
            })
        });
        previews.collect()
    }

    fn preview_pool(&self, pool: &PoolState, demand: &Demand) -> PoolPreview {
        let now = self.fleet.now();
        let limits = self.summaries.limits();
        let choice = limits.preview(now, pool, demand);
        let unavailable = limits.unavailable_servers(now, pool);
        let load_view = pool.load_view();
        let candidates = load_view.candidates(now, demand).into_iter();
        let candidates = candidates.map(|candidate| CandidatePreview {
            is_unavailable: unavailable.contains(&candidate.server),
            ..candidate.into()
        });
        PoolPreview {
            pool: PoolId::default(),
            weight: 0,
            server: choice.map(|choice| choice.server),
            waiting_calls: pool.waiting_calls(),
            is_long_prompt: load_view.is_long(demand),
            candidates: candidates.collect(),
        }
    }
}

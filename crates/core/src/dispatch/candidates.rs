//! Estimates of the cost of a call on every server of a pool, for operators who ask where it would go.

use std::time::Duration;

use crate::ids::{ServerId, ZoneId};

use super::{Demand, Pool};

/// Cost of a call on one server in milliseconds, by cause.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct CostParts {
    /// Estimated time of the call's own work and of the delay that it causes for others, before the factor by slowness.
    pub work_ms: f64,
    /// Factor by which the server is slower than its pool; applies to `work_ms`.
    pub slowness: f64,
    /// Cost of recent failures.
    pub failing_ms: f64,
    /// Cost of a server in another availability zone.
    pub other_zone_ms: f64,
    /// Cost of a new connection.
    pub connecting_ms: f64,
}

impl CostParts {
    /// Returns the whole cost in milliseconds.
    ///
    /// # Examples
    ///
    /// ```
    /// use tanagerford_core::dispatch::CostParts;
    ///
    /// let parts = CostParts { work_ms: 10.0, slowness: 1.5, failing_ms: 4.0, ..CostParts::default() };
    /// assert_eq!(parts.total_ms(), 19.0);
    /// ```
    #[must_use]
    pub fn total_ms(&self) -> f64 {
        self.work_ms * self.slowness + self.failing_ms + self.other_zone_ms + self.connecting_ms
    }
}

/// Estimate for a call on one server.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Server that the estimate is for.
    pub server: ServerId,
    /// Availability zone of the server.
    pub zone: ZoneId,
    /// Cost of the call on the server, by cause.
    pub cost: CostParts,
    /// Requests that the server runs concurrently.
    pub slots: u32,
    /// Requests in flight at the server, as far as this entry knows.
    pub in_flight: u32,
    /// Prompt tokens that the server processes before those of the call.
    pub waiting_tokens: u32,
    /// Prompt tokens of the call that are not in the server's cache.
    pub uncached_tokens: u32,
    /// Estimated time to the first token in milliseconds; 0 for plain services.
    pub first_token_ms: f64,
    /// Expected number of streams on the server that the call would make late.
    pub late_streams: f64,
    /// Whether recent failures exclude the server.
    pub is_ejected: bool,
}

impl Pool {
    /// Returns the estimates for a call on all servers, the cheapest first. Unlike [`Pool::choose`] it changes nothing.
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
    /// pool.set_servers(&[server("far", "zone-b"), server("near", "zone-a")]);
    /// let candidates = pool.candidates(Duration::ZERO, &Demand::default());
    /// assert_eq!(candidates[0].server, "near");
    /// assert_eq!(candidates[1].cost.other_zone_ms, 5.0);
    /// ```
    #[must_use]
    pub fn candidates(&self, now: Duration, demand: &Demand) -> Vec<Candidate> {
        let candidates = self.servers.iter().map(|state| {
            let snapshot = state.snapshot(now, demand);
            Candidate {
                server: state.spec.id.clone(),
                zone: state.spec.zone.clone(),
                cost: state.cost_parts(&self.model, &self.zone, now, demand, snapshot),
                slots: state.spec.slots,
                in_flight: snapshot.running,
                waiting_tokens: snapshot.tokens_ahead,
                uncached_tokens: snapshot.uncached_tokens,
                first_token_ms: snapshot.first_token_ms(&self.model, demand)
                    * state.health.slowness(now),
                late_streams: snapshot.late_streams(&self.model, demand),
                is_ejected: state.health.is_ejected(now),
            }
        });
        let mut candidates: Vec<_> = candidates.collect();
        candidates.sort_by(|a, b| a.cost.total_ms().total_cmp(&b.cost.total_ms()));
        candidates
    }
}

//! Serves a call: asks servers until one answers or no retry is allowed, and returns the response.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use futures_lite::future;
use http::{Method, Response, StatusCode};
use tanagerford_core::availability::retry_after;
use tanagerford_core::dispatch::{
    Choice, GATE_POLL_INTERVAL, GateDecision, MAX_ATTEMPTS_PER_CALL, RemainingTime,
};
use tanagerford_core::ids::{PoolId, ServerId};
use tanagerford_core::stream_version::{VersionId, version_id};
use tanagerford_http::{Body, Reply};
use tanagerford_sync::lock;
use tokio::time::{sleep, timeout};

use crate::attempt::{AttemptError, MIN_REMAINING, SentCall, StartedResponse};
use crate::buffered::BufferedResponse;
use crate::call::{Call, RetryPolicy};
use crate::codec::Codec;
use crate::fleet::PoolState;
use crate::gateway::Gateway;
use crate::handover::Handover;
use crate::in_flight::{ExchangeResult, InFlight};
use crate::log;
use crate::refusal::Refusal;
use crate::relay::Relay;
use crate::table::Route;

/// Target of this module's log lines. Operators' filters match it, so it is independent of the module's name.
const LOG_TARGET: &str = "tanagerford_gateway::attempt";
/// Largest response that is buffered until it is complete; longer ones are forwarded as they arrive.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Attempts of one call so far.
#[derive(Default)]
pub(crate) struct Attempts {
    /// Servers that the call is not sent to again.
    pub(crate) tried_servers: Vec<ServerId>,
    /// Number of times that the call was sent to a server.
    pub(crate) sends: usize,
    /// Attempts that a server may have run.
    pub(crate) possible_runs: u32,
    /// Whether the call may have arrived at a server, so that a further send is a repeat.
    pub(crate) may_have_arrived: bool,
    /// Version of the servers that the call may be sent to; `None` if any may run it.
    pub(crate) version: Option<VersionId>,
    /// Time after which the servers' limits have room, if they are the reason why the call was not sent.
    pub(crate) limited: Option<Duration>,
    /// Time after which the first server is back from its rest, if rests are the reason why the call was not sent.
    pub(crate) at_rest: Option<Duration>,
    /// Exchanges with servers that have not begun to answer.
    pub(crate) in_flight: InFlight,
    /// Marks the time from which other servers work on a stream whose own server is silent.
    pub(crate) handover: Arc<Handover>,
    /// First failure that a server reported. The caller receives it if no other server succeeds.
    reported_failure: Option<Box<StartedResponse>>,
}

/// Pool and version at which a stream began.
struct StreamOrigin {
    pool: (PoolId, Arc<PoolState>),
    version: VersionId,
}

impl Attempts {
    /// Allows only servers of this version from now on.
    pub(crate) fn keep_version(&mut self, version: VersionId) {
        self.version = Some(version);
    }

    /// Records the failure of an attempt whose response had started.
    pub(crate) fn record_possible_run(&mut self) {
        self.possible_runs += 1;
    }

    /// Keeps the failure that a server reported, if it is the first one.
    pub(crate) fn keep_failure(&mut self, started: StartedResponse) {
        if !started.is_run_counted {
            self.record_possible_run();
        }
        self.reported_failure
            .get_or_insert_with(|| Box::new(started));
    }

    /// Waits for the first result of any exchange, and ends one of two exchanges that may not go on side by side. Never returns
    /// if there is no exchange.
    pub(crate) async fn first_result<C: Codec>(
        &mut self,
        gateway: &Gateway<C>,
    ) -> (SentCall, ExchangeResult) {
        loop {
            let overlap = self.in_flight.overlap();
            let result = async { Ok(self.in_flight.first_result().await) };
            let overlap = async {
                match &overlap {
                    Some(overlap) => Err(gateway.overlap_end(overlap).await),
                    None => future::pending().await,
                }
            };
            match future::or(result, overlap).await {
                Ok(result) => return result,
                Err(given_up) => {
                    let sent_call = self.in_flight.give_up(given_up);
                    self.possible_runs += u32::from(!sent_call.is_end_logged);
                }
            }
        }
    }

    /// Ends the exchanges with all other servers, since one answers. They may have run the call.
    pub(crate) fn abandon_in_flight(&mut self) {
        let unrecorded = self.in_flight.abandon();
        self.possible_runs += u32::try_from(unrecorded).unwrap_or(u32::MAX);
    }
}

impl<C: Codec> Gateway<C> {
    /// Sends a call to servers of its pool until one responds or no retry is allowed.
    pub(crate) async fn dispatch(self: &Arc<Self>, call: Arc<Call>) -> Reply {
        let hash = xxhash_rust::xxh3::xxh3_64(call.id.as_bytes());
        let pool = call
            .route
            .pick_pool(hash)
            .and_then(|name| self.fleet.pool(name).map(|pool| (name.clone(), pool)));
        let Some((mut pool_name, mut pool)) = pool else {
            return self.refuse_call(&call, Refusal::NoServer);
        };
        let now = self.fleet.now();
        self.with_budget(&pool_name, |budget| {
            budget.on_request(now, &self.settings.budget);
        });
        self.count_call_for_hedges(&pool_name);
        if self.quarantine.refuses(now, &call) {
            return self.refuse_call(&call, Refusal::Quarantined);
        }
        let mut attempts = Attempts::default();
        if call.retry_policy() == RetryPolicy::Resumable {
            attempts.in_flight.set_exclusive();
        }
        if call.resume_after.is_some() {
            match self.stream_origin(&call).await {
                Ok(origin) => {
                    attempts.keep_version(origin.version);
                    (pool_name, pool) = origin.pool;
                }
                Err(refusal) => return self.refuse_call(&call, refusal),
            }
        }
        if !self.wait_for_long_prompt_gate(&call, &pool).await {
            return self.refuse_call(&call, Refusal::Overloaded);
        }
        let resume_after = call.resume_after;
        let answer = self.try_servers(&call, &pool, &pool_name, &mut attempts, resume_after, None);
        match answer.await {
            Ok(started) => self.deliver(call, pool, attempts, started).await,
            Err(refusal) => self.refuse_call(&call, refusal),
        }
    }

    /// Sends a call to servers of its pool until one begins to answer. `failure` is the failure of an earlier attempt, if
    /// there was one. When no other server may take the call, a silent one has until the deadline.
    pub(crate) async fn try_servers(
        self: &Arc<Self>,
        call: &Arc<Call>,
        pool: &Arc<PoolState>,
        pool_name: &PoolId,
        attempts: &mut Attempts,
        resume_after: Option<u64>,
        failure: Option<AttemptError>,
    ) -> Result<StartedResponse, Refusal> {
        let mut last_error = failure;
        loop {
            if let Some(part) = self.quarantine.quarantined_part(self.fleet.now(), call) {
                if attempts.possible_runs > 0 {
                    break;
                }
                return Err(Refusal::QuarantinedPart(part));
            }
            if last_error.is_some_and(|error| !self.allow_retry(call, pool_name, attempts, error)) {
                break;
            }
            match self.attempt(call, pool, attempts, resume_after).await {
                Ok(started) if started.is_server_failure() => {
                    attempts.keep_failure(started);
                    last_error = Some(AttemptError::Failed);
                }
                Ok(started) => {
                    attempts.reported_failure = None;
                    attempts.abandon_in_flight();
                    return Ok(started);
                }
                Err(Some(error)) => last_error = Some(error),
                Err(None) => break,
            }
            if attempts.in_flight.is_empty() {
                attempts.handover.clear();
            }
        }
        // A failure that a server reported is not held back, since its caller can retry at once.
        if attempts.reported_failure.is_none()
            && let Some(started) = self.await_silent_servers(call, attempts).await
        {
            attempts.abandon_in_flight();
            return Ok(started);
        }
        attempts.abandon_in_flight();
        let failure = attempts.reported_failure.take();
        failure.map_or_else(
            || Err(self.final_refusal(call, pool, attempts, last_error)),
            |started| Ok(*started),
        )
    }

    /// Waits until the deadline for the answer of a server that was silent, which may go on.
    async fn await_silent_servers(
        self: &Arc<Self>,
        call: &Arc<Call>,
        attempts: &mut Attempts,
    ) -> Option<StartedResponse> {
        while !attempts.in_flight.is_empty() {
            let remaining = call.deadline().saturating_duration_since(Instant::now());
            let result = timeout(remaining, attempts.first_result(self)).await;
            let (sent_call, result) = result.ok()?;
            match self.on_late_result(attempts, sent_call, result) {
                Some(started) if started.is_server_failure() => attempts.keep_failure(started),
                Some(started) => return Some(started),
                None => {}
            }
        }
        None
    }

    /// Returns the refusal of a call for which no attempt succeeded.
    fn final_refusal(
        &self,
        call: &Call,
        pool: &PoolState,
        attempts: &Attempts,
        last_error: Option<AttemptError>,
    ) -> Refusal {
        let is_expired = call.deadline() <= Instant::now() + MIN_REMAINING;
        // Spreads the callers that return after the same event.
        let retry_after = |back_in| {
            let hash = xxhash_rust::xxh3::xxh3_64(call.id.as_bytes());
            retry_after(back_in, hash)
        };
        match last_error {
            _ if attempts.possible_runs > 0 && is_expired => Refusal::TimedOut,
            _ if attempts.possible_runs > 0 => Refusal::ServerFailed,
            _ if is_expired => Refusal::Expired,
            _ if let Some(back_in) = attempts.at_rest => {
                Refusal::ServersAtRest(retry_after(back_in))
            }
            _ if let Some(wait) = attempts.limited => Refusal::ServerLimit(wait),
            // A silent server has refused the call in the meantime, or it would count as a possible run.
            Some(AttemptError::NotRun | AttemptError::TimedOut) => Refusal::Overloaded,
            _ => match pool.withheld_until() {
                Some(until) => {
                    let back_in = until.saturating_sub(self.fleet.now());
                    Refusal::ServersWithheld(retry_after(back_in))
                }
                None => Refusal::NoServer,
            },
        }
    }

    /// Returns where the stream began that the call resumes. If only one version of one pool comes into question, the keepers
    /// need not be asked.
    async fn stream_origin(&self, call: &Call) -> Result<StreamOrigin, Refusal> {
        let known = match (self.only_origin(&call.route), &call.resumed_attempt) {
            (Some(version), _) => Some(version),
            (None, Some(first)) => {
                let lookup = self.summaries.lookup_version(call.workspace_name(), first);
                lookup.await
            }
            (None, None) => None,
        };
        let pools = call.route.pools.iter().filter_map(|weighted| {
            let pool = self.fleet.pool(&weighted.pool)?;
            Some((weighted.pool.clone(), pool))
        });
        let mut pools: Vec<_> = pools.collect();
        let versions: Vec<_> = pools
            .iter()
            .map(|(name, pool)| (name.clone(), pool.recent_versions()))
            .collect();
        let limits = self.summaries.limits();
        let result = match known {
            None => Err(Refusal::StreamVersionUnknown),
            Some(version) => {
                let mut serving = pools.extract_if(.., |(_, pool)| {
                    pool.has_version(version, |server| limits.is_leaving(server))
                });
                let origin = serving.next().map(|pool| StreamOrigin { pool, version });
                origin.ok_or(Refusal::StreamVersionGone)
            }
        };
        let version = result.as_ref().ok().map(|origin| origin.version);
        log::stream_taken_up(call, &versions, version);
        result
    }

    /// Returns the version at which all streams of a route began that can still be resumed; `None` if several come into
    /// question. Which of a route's pools began a stream cannot be told from the registry, whatever the weights are now.
    fn only_origin(&self, route: &Route) -> Option<VersionId> {
        let (first, others) = route.pools.split_first()?;
        let is_split = others.iter().any(|other| other.pool != first.pool);
        if is_split {
            return None;
        }
        self.only_version(&first.pool)
    }

    /// Returns the version at which all streams of a pool began that can still be resumed; `None` if there are several, or
    /// if this entry may not know the newest changes of the registry.
    fn only_version(&self, pool: &PoolId) -> Option<VersionId> {
        if !self.summaries.is_in_step() {
            return None;
        }
        let history = self.fleet.version_history();
        // Without the key-value service there is one fixed set of servers.
        let view_age = self.summaries.store_age().unwrap_or_default();
        let version = history.only_version(self.fleet.now(), pool, view_age)?;
        Some(version_id(pool, version))
    }

    /// Waits until a server can take the call without making other streams late; returns whether one can.
    ///
    /// Only long prompts wait. A call that waits longer than a fraction of its latency objective is refused, so that
    /// its caller can retry when the burst is over.
    async fn wait_for_long_prompt_gate(&self, call: &Call, pool: &PoolState) -> bool {
        // Calls without a long prompt are admitted, whichever server is chosen later.
        if !pool.load_view().is_long(&call.demand) {
            return true;
        }
        loop {
            let now = self.fleet.now();
            let choice = self.summaries.limits().preview(now, pool, &call.demand);
            let Some(choice) = choice else {
                return true;
            };
            match self.decide_long_prompt(call, &choice) {
                GateDecision::Admit => return true,
                GateDecision::Wait => {}
                GateDecision::Refuse => {
                    tracing::info!(
                        target: LOG_TARGET,
                        request = call.id,
                        route = call.route.name,
                        workspace = call.workspace_name(),
                        server = choice.server,
                        rank = call.priority(),
                        harmed_streams = choice.late_streams,
                        first_token_ms = choice.first_token_ms,
                        ranked_first_token_ms = choice.ranked_first_token_ms,
                        waiting_tokens = choice.waiting_tokens,
                        in_flight = choice.in_flight,
                        "no room for a long prompt"
                    );
                    return false;
                }
            }
            sleep(GATE_POLL_INTERVAL).await;
        }
    }

    fn decide_long_prompt(&self, call: &Call, choice: &Choice) -> GateDecision {
        let route = &call.route;
        let waited = call.arrived.elapsed();
        let remaining =
            RemainingTime::after(waited, route.target_latency, route.lower_ranks_latency);
        let mut gate = lock(&self.long_prompt_gate);
        gate.decide(self.fleet.now(), choice, call.priority(), remaining)
    }

    /// Returns whether the call may be sent to another server after `error`. A call that has reached no server yet needs no
    /// budget.
    fn allow_retry(
        &self,
        call: &Call,
        pool: &PoolId,
        attempts: &Attempts,
        error: AttemptError,
    ) -> bool {
        if attempts.sends >= MAX_ATTEMPTS_PER_CALL {
            return false;
        }
        let is_repeatable = match error {
            AttemptError::Unreachable | AttemptError::Withheld | AttemptError::NotRun => true,
            AttemptError::Broken | AttemptError::TimedOut | AttemptError::Failed => {
                call.retry_policy() != RetryPolicy::AtMostOnce
                    && attempts.possible_runs < call.route.max_attempts
            }
        };
        is_repeatable && (!attempts.may_have_arrived || self.may_retry(pool))
    }

    /// Returns the response to the caller: a successful stream event by event, any other response buffered.
    async fn deliver(
        self: &Arc<Self>,
        call: Arc<Call>,
        pool: Arc<PoolState>,
        mut attempts: Attempts,
        started: StartedResponse,
    ) -> Reply {
        self.metrics.observe_first_chunk(call.arrived.elapsed());
        let status = started.response.head.status();
        // The HTTP library drops the body of a response that has none by definition, which looks like a caller that left.
        let has_body = call.method != Method::HEAD && status != StatusCode::NO_CONTENT;
        if call.route.is_stream && status.is_success() && has_body {
            let mut head = clone_head(&started.response.head);
            self.codec.strip_connection_headers(&mut head);
            head.headers_mut().remove(http::header::CONTENT_LENGTH);
            let version = started.sent_call.server.version_id();
            attempts.keep_version(version);
            if call.resume_after.is_none() && call.retry_policy() == RetryPolicy::Resumable {
                self.summaries.record_version(&call, version);
            }
            let relay = Relay::new(Arc::clone(self), call, pool, attempts, started);
            return self.close_if_stopping(head.map(|()| relay.into_body()));
        }
        self.deliver_buffered(call, started).await
    }

    /// Buffers the response until it is complete, so that the caller never receives a truncated response as a complete
    /// one. A response beyond [`MAX_BUFFERED_BYTES`] is forwarded as it arrives.
    async fn deliver_buffered(
        self: &Arc<Self>,
        call: Arc<Call>,
        started: StartedResponse,
    ) -> Reply {
        let mut head = clone_head(&started.response.head);
        let mut response = BufferedResponse::new(Arc::clone(self), Arc::clone(&call), started);
        self.codec.strip_connection_headers(&mut head);
        let mut body = BytesMut::new();
        let mut memory = self.memory.hold();
        loop {
            let has_room = match response.next_chunk().await {
                Ok(Some(chunk)) => {
                    body.extend_from_slice(&chunk);
                    memory.try_grow(chunk.len())
                }
                Ok(None) => break,
                Err(refusal) => {
                    return self.refuse_call(&call, refusal);
                }
            };
            // Without room an answer is forwarded as it arrives, so that its server waits for the caller.
            if body.len() > MAX_BUFFERED_BYTES || !has_room {
                let buffered = memory.attach(body);
                return self.close_if_stopping(head.map(|()| response.into_body(buffered)));
            }
        }
        head.headers_mut().remove(http::header::CONTENT_LENGTH);
        self.close_if_stopping(head.map(|()| Body::full(memory.attach(body))))
    }
}

fn clone_head(head: &Response<()>) -> Response<()> {
    let mut copy = Response::new(());
    *copy.status_mut() = head.status();
    *copy.headers_mut() = head.headers().clone();
    copy
}

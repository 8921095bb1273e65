//! Dispatches a call: chooses a server, sends the call, and decides whether a failed attempt is retried.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures_lite::future;
use http::{Method, Response, StatusCode};
use tanagerford_core::availability::retry_after;
use tanagerford_core::dispatch::{
    CallNumber, CallOutcome, Choice, GATE_POLL_INTERVAL, GateDecision, MAX_ATTEMPTS_PER_CALL,
    RemainingTime,
};
use tanagerford_core::ids::{PoolId, ServerId};
use tanagerford_core::stream_version::{VersionId, version_id};
use tanagerford_http::connection_pool::{ExchangeError, PooledResponse};
use tanagerford_http::{Body, Reply};
use tanagerford_sync::lock;
use tokio::time::{sleep, timeout, timeout_at};

use crate::buffered::BufferedResponse;
use crate::call::{Call, RetryPolicy};
use crate::codec::{AttemptContext, Codec, ResponseHead};
use crate::fleet::{BackendServer, PoolState};
use crate::gateway::Gateway;
use crate::in_flight::{Exchange, ExchangeResult, InFlight};
use crate::limits::{LimitHeader, SelectError, SelectedServer, ServerRequest};
use crate::log;
use crate::peers::Summaries;
use crate::quarantine::ConnectionEnd;
use crate::refusal::Refusal;
use crate::relay::Relay;

/// Timeout for connecting to a server, after which another server is tried.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Minimum remaining time until the deadline with which a call is still sent to a server.
const MIN_REMAINING: Duration = Duration::from_millis(5);
/// Largest response that is buffered until it is complete; longer ones are forwarded as they arrive.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;
/// Response timeout of a call that can be retried at another server, as a multiple of its latency objective.
const RESPONSE_TIMEOUT_FACTOR: u32 = 3;
/// Expected time to the first chunk of a response of a plain service, without queueing.
const PLAIN_SERVICE_EXPECTED_LATENCY: Duration = Duration::from_millis(40);
/// Time by which the first token of a model engine may exceed the estimate before the engine counts as slow.
const ENGINE_FIRST_TOKEN_MARGIN: Duration = Duration::from_millis(80);

/// Call in flight at a server. Dropping it removes the call from the entry's view of the server's load.
pub(crate) struct SentCall {
    pub(crate) server: Arc<BackendServer>,
    pub(crate) pool: Arc<PoolState>,
    pub(crate) sent_at: Instant,
    summaries: Arc<Summaries>,
    /// Expected time from sending the call to the first chunk of the response.
    expected_latency: Duration,
    number: CallNumber,
    call: Arc<Call>,
    /// Whether the outcome of the attempt was recorded and logged.
    pub(crate) is_end_logged: bool,
}

impl Drop for SentCall {
    fn drop(&mut self) {
        if !self.is_end_logged {
            // The caller disconnected before the response started, or another server answered first.
            tracing::info!(
                request = self.call.id,
                route = self.call.route.name,
                workspace = self.call.workspace_name(),
                server = self.server.id,
                outcome = "abandoned",
                after_ms = self.sent_at.elapsed().as_millis(),
                "attempt"
            );
        }
        self.pool.load_view().on_end(&self.server.id, self.number);
        self.summaries.on_load_change();
    }
}

impl SentCall {
    /// Returns the ratio of the actual to the expected time to the first chunk; ratios below 1.5 count as 1. The delay
    /// of this entry's own processor is subtracted from the actual time, since the server is not responsible for it.
    fn slowness(&self, processor_delay: Duration) -> f64 {
        let latency = self.sent_at.elapsed().saturating_sub(processor_delay);
        let ratio = latency.as_secs_f64() / self.expected_latency.as_secs_f64();
        if ratio < 1.5 { 1.0 } else { ratio }
    }
}

/// Response of a server to one attempt, with its head checked and its first chunk read.
pub(crate) struct StartedResponse {
    pub(crate) sent_call: SentCall,
    pub(crate) response: PooledResponse,
    pub(crate) first_chunk: Option<Bytes>,
    /// Whether the attempt was silent before and counts among the possible runs.
    pub(crate) is_run_counted: bool,
}

impl StartedResponse {
    fn is_server_failure(&self) -> bool {
        self.response.head.status().is_server_error()
    }
}

/// Failure of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptError {
    /// The connection could not be established; nothing was sent.
    Unreachable,
    /// The server asked for a rest or said that it leaves before the call was written; nothing was sent.
    Withheld,
    /// The server states that it did not run the call.
    NotRun,
    /// The connection broke or the response was invalid; the server may have run the call.
    Broken,
    /// The first chunk of the response did not arrive in time; the server may still be running the call.
    TimedOut,
    /// The server ran the call and reported a failure.
    Failed,
}

impl AttemptError {
    fn name(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Withheld => "withheld",
            Self::NotRun => "not_run",
            Self::Broken => "broken",
            Self::TimedOut => "silent",
            Self::Failed => "failed",
        }
    }

    /// Returns whether a retry after this failure is deducted from the budget.
    fn uses_retry_budget(self) -> bool {
        !matches!(self, Self::Unreachable | Self::Withheld)
    }

    /// Returns what the attempt shows about its server; `None` if the server was not involved.
    fn outcome(self) -> Option<CallOutcome> {
        match self {
            Self::Unreachable => Some(CallOutcome::Unreachable),
            Self::Withheld => None,
            Self::NotRun => Some(CallOutcome::Refused),
            Self::Broken => Some(CallOutcome::Broken),
            Self::TimedOut => Some(CallOutcome::TimedOut),
            Self::Failed => Some(CallOutcome::Failed),
        }
    }
}

/// Server for the next attempt, or the answer that makes the attempt needless.
enum NextServer {
    Selected(SentCall, SelectedServer),
    Answered(StartedResponse),
}

/// What ends the wait for a server.
enum Wait {
    Selected(Result<(SentCall, SelectedServer), SelectError>),
    /// A server that was silent before answers.
    Answered((SentCall, ExchangeResult)),
}

/// Server and time of an attempt.
struct Target {
    server: Arc<BackendServer>,
    pool: Arc<PoolState>,
    sent_at: Instant,
}

/// Attempts of one call so far.
#[derive(Default)]
pub(crate) struct Attempts {
    /// Servers that the call is not sent to again.
    tried_servers: Vec<ServerId>,
    /// Number of times that the call was sent to a server.
    pub(crate) sends: usize,
    /// Attempts that a server may have run.
    possible_runs: u32,
    /// Version of the servers that the call may be sent to; `None` if any may run it.
    version: Option<VersionId>,
    /// Time after which the servers' limits have room, if they are the reason why the call was not sent.
    limited: Option<Duration>,
    /// Time after which the first server is back from its rest, if rests are the reason why the call was not sent.
    at_rest: Option<Duration>,
    /// Exchanges with servers that have not begun to answer.
    in_flight: InFlight,
    /// First failure that a server reported. The caller receives it if no other server succeeds.
    reported_failure: Option<Box<StartedResponse>>,
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
    fn keep_failure(&mut self, started: StartedResponse) {
        if !started.is_run_counted {
            self.record_possible_run();
        }
        self.reported_failure
            .get_or_insert_with(|| Box::new(started));
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
        let Some((pool_name, pool)) = pool else {
            return self.refuse_call(&call, Refusal::NoServer);
        };
        let now = self.fleet.now();
        self.with_budget(&pool_name, |budget| {
            budget.on_request(now, &self.settings.budget);
        });
        if self.quarantine.refuses(now, &call) {
            return self.refuse_call(&call, Refusal::Quarantined);
        }
        if !self.wait_for_long_prompt_gate(&call, &pool).await {
            return self.refuse_call(&call, Refusal::Overloaded);
        }
        let mut attempts = Attempts::default();
        if call.resume_after.is_some() {
            match self.resumed_version(&call, &pool).await {
                Ok(version) => attempts.version = version,
                Err(refusal) => return self.refuse_call(&call, refusal),
            }
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
                Err(None) => {
                    if last_error.is_some_and(AttemptError::uses_retry_budget) {
                        self.return_retry(pool_name);
                    }
                    break;
                }
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
            || Err(final_refusal(call, attempts, last_error)),
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
            let result = timeout(remaining, attempts.in_flight.first_result()).await;
            let (sent_call, result) = result.ok()?;
            match self.on_late_result(attempts, sent_call, result) {
                Some(started) if started.is_server_failure() => attempts.keep_failure(started),
                Some(started) => return Some(started),
                None => {}
            }
        }
        None
    }

    /// Records the late result of an attempt that was recorded as silent; returns the response if there is one.
    fn on_late_result(
        self: &Arc<Self>,
        attempts: &mut Attempts,
        sent_call: SentCall,
        result: ExchangeResult,
    ) -> Option<StartedResponse> {
        let outcome = self.record_outcome(&sent_call, &result);
        tracing::info!(
            request = sent_call.call.id,
            route = sent_call.call.route.name,
            workspace = sent_call.call.workspace_name(),
            server = sent_call.server.id,
            outcome,
            after_ms = sent_call.sent_at.elapsed().as_millis(),
            "late answer"
        );
        let is_run_counted = sent_call.is_end_logged;
        match result {
            Ok((response, first_chunk)) => {
                let started = self.start_response(sent_call, response, first_chunk);
                Some(StartedResponse {
                    is_run_counted,
                    ..started
                })
            }
            Err(error) => {
                let has_not_run = matches!(
                    error,
                    AttemptError::NotRun | AttemptError::Unreachable | AttemptError::Withheld
                );
                if has_not_run && is_run_counted {
                    attempts.possible_runs = attempts.possible_runs.saturating_sub(1);
                }
                None
            }
        }
    }

    /// Returns the version at which the stream began that the call resumes; `None` if servers of only one version run.
    async fn resumed_version(
        &self,
        call: &Call,
        pool: &PoolState,
    ) -> Result<Option<VersionId>, Refusal> {
        let versions = pool.recent_versions();
        let limits = self.summaries.limits();
        let is_served = |version| pool.has_version(version, |server| limits.is_leaving(server));
        let known = match &call.resumed_attempt {
            Some(first) => {
                let lookup = self.summaries.lookup_version(call.workspace_name(), first);
                Some(lookup.await)
            }
            // Callers that do not name the first attempt can be served while there is no other version.
            None => (versions.len() > 1).then_some(None),
        };
        let result = match known {
            None => Ok(None),
            Some(None) => Err(Refusal::StreamVersionUnknown),
            Some(Some(version)) if is_served(version) => Ok(Some(version)),
            Some(Some(_)) => Err(Refusal::StreamVersionGone),
        };
        log::stream_taken_up(call, &versions, result.ok().flatten());
        result
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

    /// Returns whether the call may be sent to another server after `error`, and deducts the retry from the pool's
    /// budget. A call that could not connect or was withheld is retried without a deduction.
    pub(crate) fn allow_retry(
        &self,
        call: &Call,
        pool: &PoolId,
        attempts: &Attempts,
        error: AttemptError,
    ) -> bool {
        if attempts.sends >= MAX_ATTEMPTS_PER_CALL {
            return false;
        }
        match error {
            AttemptError::Unreachable | AttemptError::Withheld => true,
            AttemptError::NotRun => self.try_take_retry(pool),
            AttemptError::Broken | AttemptError::TimedOut | AttemptError::Failed => {
                call.retry_policy() != RetryPolicy::AtMostOnce
                    && attempts.possible_runs < call.route.max_attempts
                    && self.try_take_retry(pool)
            }
        }
    }

    /// Sends the call to one server and waits for the first chunk of its response. `Err(None)` means that no server is
    /// left or that the deadline is too close.
    pub(crate) async fn attempt(
        self: &Arc<Self>,
        call: &Arc<Call>,
        pool: &Arc<PoolState>,
        attempts: &mut Attempts,
        resume_after: Option<u64>,
    ) -> Result<StartedResponse, Option<AttemptError>> {
        let deadline = call.deadline();
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining < MIN_REMAINING {
            return Err(None);
        }
        let (sent_call, selected) = match self.next_server(call, pool, attempts).await? {
            NextServer::Selected(sent_call, selected) => (sent_call, selected),
            NextServer::Answered(started) => return Ok(started),
        };
        let choice = selected.choice;
        // The call may have waited for a permit.
        let remaining = deadline.saturating_duration_since(Instant::now());
        let server = Arc::clone(&sent_call.server);
        attempts.tried_servers.push(server.id.clone());
        attempts.sends += 1;
        self.summaries.on_call_sent(&sent_call.server, &call.demand);
        let time_limit = response_timeout(call, remaining, attempts, self.processor.delay());
        let number = sent_call.number;
        let target = Target {
            server: Arc::clone(&sent_call.server),
            pool: Arc::clone(pool),
            sent_at: sent_call.sent_at,
        };
        let exchange =
            Arc::clone(self).send_to_server(Arc::clone(call), target, remaining, resume_after);
        attempts.in_flight.push(Exchange::new(sent_call, exchange));
        let expiry = Instant::now() + time_limit;
        let newest = loop {
            let result = timeout_at(expiry.into(), attempts.in_flight.first_result()).await;
            match result {
                Ok((sent_call, result)) if sent_call.number == number => {
                    break Some((sent_call, result));
                }
                Ok((sent_call, result)) => match self.on_late_result(attempts, sent_call, result) {
                    Some(started) if started.is_server_failure() => {
                        attempts.keep_failure(started);
                    }
                    Some(started) => return Ok(started),
                    None => {}
                },
                Err(_) => break None,
            }
        };
        let log_end = |sent_call: &mut SentCall, outcome: &'static str| {
            self.metrics.on_attempt(outcome);
            tracing::info!(
                request = call.id,
                route = call.route.name,
                workspace = call.workspace_name(),
                rank = call.shedding_rank(),
                server = sent_call.server.id,
                version = sent_call.server.version,
                outcome,
                sends = attempts.sends,
                cost_ms = choice.cost_ms,
                uncached_tokens = choice.uncached_tokens,
                in_flight = choice.in_flight,
                waiting_tokens = choice.waiting_tokens,
                first_token_ms = choice.first_token_ms,
                candidates = choice.candidates,
                avoided = selected.avoided,
                held_ms = selected.held.as_millis(),
                remaining_ms = remaining.as_millis(),
                processor_delay_ms = self.processor.delay().as_millis(),
                after_ms = sent_call.sent_at.elapsed().as_millis(),
                "attempt"
            );
            sent_call.is_end_logged = true;
        };
        let Some((mut sent_call, result)) = newest else {
            // The exchange stays in flight, since the server may go on.
            if let Some(sent_call) = attempts.in_flight.newest() {
                let result = Err(AttemptError::TimedOut);
                let outcome = self.record_outcome(sent_call, &result);
                log_end(sent_call, outcome);
            }
            attempts.possible_runs += 1;
            return Err(Some(AttemptError::TimedOut));
        };
        let outcome = self.record_outcome(&sent_call, &result);
        log_end(&mut sent_call, outcome);
        match result {
            Ok((response, first_chunk)) => {
                Ok(self.start_response(sent_call, response, first_chunk))
            }
            Err(error) => {
                attempts.sends -= usize::from(error == AttemptError::Withheld);
                let has_not_run = matches!(error, AttemptError::Withheld | AttemptError::NotRun);
                let limits = self.summaries.limits();
                if has_not_run && !limits.may_send(self.fleet.now(), &server) {
                    // The server may take the call when its rest has ended.
                    attempts.tried_servers.pop();
                }
                attempts.possible_runs += u32::from(error == AttemptError::Broken);
                Err(Some(error))
            }
        }
    }

    /// Records the result of an exchange in the health of its server; returns the name of the outcome.
    fn record_outcome(
        self: &Arc<Self>,
        sent_call: &SentCall,
        result: &ExchangeResult,
    ) -> &'static str {
        let outcome = match result {
            Ok((response, _)) if response.head.status().is_server_error() => {
                Some(CallOutcome::Failed)
            }
            Ok(_) => Some(CallOutcome::Answered {
                slowness: sent_call.slowness(self.processor.delay()),
            }),
            Err(error) => error.outcome(),
        };
        if let Some(outcome) = outcome {
            let mut load_view = sent_call.pool.load_view();
            load_view.on_outcome(self.fleet.now(), &sent_call.server.id, outcome);
        }
        match result {
            Ok(_) if outcome == Some(CallOutcome::Failed) => AttemptError::Failed.name(),
            Ok(_) => "answered",
            Err(error) => {
                if *error == AttemptError::Broken {
                    self.check_for_crash(sent_call, ConnectionEnd::Broken);
                }
                error.name()
            }
        }
    }

    /// Records that the response of a server has begun.
    fn start_response(
        &self,
        sent_call: SentCall,
        response: PooledResponse,
        first_chunk: Option<Bytes>,
    ) -> StartedResponse {
        if response.head.status().is_success() {
            let mut load_view = sent_call.pool.load_view();
            load_view.on_first_part(self.fleet.now(), &sent_call.server.id, sent_call.number);
            drop(load_view);
            self.summaries.on_load_change();
        }
        StartedResponse {
            sent_call,
            response,
            first_chunk,
            is_run_counted: false,
        }
    }

    /// Spawns a task that checks whether the server has crashed after the connection of a call has ended.
    pub(crate) fn check_for_crash(self: &Arc<Self>, sent_call: &SentCall, end: ConnectionEnd) {
        let quarantine = Arc::clone(&self.quarantine);
        let fleet = Arc::clone(&self.fleet);
        let (call, server) = (Arc::clone(&sent_call.call), Arc::clone(&sent_call.server));
        let task = quarantine.on_connection_end(call, server, end, move || fleet.now());
        self.runtime.spawn(task);
    }

    /// Clears the suspicion of a call that got its answer. An answer that ends with its connection may have been interrupted
    /// by a crash, so it counts only if the server still listens.
    pub(crate) fn on_complete_answer(self: &Arc<Self>, started: &StartedResponse) {
        let sent_call = &started.sent_call;
        let now = self.fleet.now();
        if !started.response.ends_with_connection() {
            self.quarantine.on_success(now, &sent_call.call);
        } else if self.quarantine.is_suspect(now, &sent_call.call) {
            self.check_for_crash(sent_call, ConnectionEnd::Ambiguous);
        }
    }

    /// Selects a server for the next attempt, unless a silent one answers meanwhile. `Err(None)` means that no server can
    /// take the call in time.
    async fn next_server(
        self: &Arc<Self>,
        call: &Arc<Call>,
        pool: &Arc<PoolState>,
        attempts: &mut Attempts,
    ) -> Result<NextServer, Option<AttemptError>> {
        loop {
            let (tried_servers, version) = (&attempts.tried_servers, attempts.version);
            let selecting = self.select_server(call, pool, tried_servers, version);
            let selecting = async { Wait::Selected(selecting.await) };
            let answering = async { Wait::Answered(attempts.in_flight.first_result().await) };
            match future::or(selecting, answering).await {
                Wait::Selected(Ok((sent_call, selected))) => {
                    return Ok(NextServer::Selected(sent_call, selected));
                }
                Wait::Selected(Err(SelectError::NoServer)) => return Err(None),
                Wait::Selected(Err(SelectError::Limited(wait))) => {
                    attempts.limited = Some(wait);
                    return Err(None);
                }
                Wait::Selected(Err(SelectError::AtRest(back_in))) => {
                    attempts.at_rest = Some(back_in);
                    return Err(None);
                }
                Wait::Answered((sent_call, result)) => {
                    if let Some(started) = self.on_late_result(attempts, sent_call, result) {
                        return Ok(NextServer::Answered(started));
                    }
                }
            }
        }
    }

    /// Selects a server and adds the call to its load.
    async fn select_server(
        &self,
        call: &Arc<Call>,
        pool: &Arc<PoolState>,
        tried_servers: &[ServerId],
        version: Option<VersionId>,
    ) -> Result<(SentCall, SelectedServer), SelectError> {
        let number = self.next_call_number.fetch_add(1, Ordering::Relaxed);
        let request = ServerRequest {
            pool,
            number,
            demand: &call.demand,
            tried_servers,
            version,
            deadline: call.deadline(),
        };
        let selected = self.summaries.limits().select(&self.fleet, request).await?;
        let choice = &selected.choice;
        let expected_latency = if call.demand.prompt_tokens > 0 {
            let normal_ms = choice.first_token_ms / choice.slowness;
            ENGINE_FIRST_TOKEN_MARGIN + Duration::from_secs_f64(normal_ms / 1_000.0)
        } else {
            PLAIN_SERVICE_EXPECTED_LATENCY
        };
        let sent_call = SentCall {
            server: Arc::clone(&selected.server),
            pool: Arc::clone(pool),
            sent_at: Instant::now(),
            summaries: Arc::clone(&self.summaries),
            expected_latency,
            number,
            call: Arc::clone(call),
            is_end_logged: false,
        };
        Ok((sent_call, selected))
    }

    /// Sends one attempt to its server and returns the checked head and the first chunk of the response.
    async fn send_to_server(
        self: Arc<Self>,
        call: Arc<Call>,
        target: Target,
        remaining: Duration,
        resume_after: Option<u64>,
    ) -> ExchangeResult {
        let context = AttemptContext {
            server: &target.server,
            remaining,
            resume_after,
        };
        let request = self.codec.request(&call, context);
        let connect_timeout = CONNECT_TIMEOUT.min(remaining);
        let server = &target.server;
        let may_send = || self.summaries.limits().may_send(self.fleet.now(), server);
        let sending =
            self.connection_pool
                .send(server.address, request, connect_timeout, true, may_send);
        let mut response = sending
            .await
            .map_err(|error| attempt_error(&call, &error))?;
        let head = self.codec.response_head(&response.head);
        self.check_head(&call, &target, &head, response.head.status())?;
        let first_chunk = response
            .next_chunk()
            .await
            .map_err(|_| AttemptError::Broken)?;
        Ok((response, first_chunk))
    }

    /// Updates the load view from a response's head and returns an error if the response cannot be used.
    fn check_head(
        &self,
        call: &Call,
        target: &Target,
        head: &ResponseHead,
        status: StatusCode,
    ) -> Result<(), AttemptError> {
        if head.id.as_ref().is_some_and(|id| *id != call.id) {
            tracing::warn!(
                request = call.id,
                server = target.server.id,
                other = head.id,
                "response belongs to another call"
            );
            return Err(AttemptError::Broken);
        }
        if let Some(load) = head.load {
            target
                .pool
                .load_view()
                .on_load(self.fleet.now(), &target.server.id, load);
        }
        if !head.is_wrong_server && (head.is_authentic || head.limit != LimitHeader::Absent) {
            let now = self.fleet.now();
            let requested_at = now.saturating_sub(target.sent_at.elapsed());
            let limits = self.summaries.limits();
            limits.on_answer(&target.server, head.limit, requested_at, now);
        }
        if !head.is_wrong_server && head.id.is_some() {
            let now = self.fleet.now();
            let requested_at = now.saturating_sub(target.sent_at.elapsed());
            let limits = self.summaries.limits();
            limits.on_server_state(&target.server, head.availability, requested_at, now);
        }
        if head.is_wrong_server {
            target.pool.load_view().on_outcome(
                self.fleet.now(),
                &target.server.id,
                CallOutcome::Restarted,
            );
            return Err(AttemptError::NotRun);
        }
        if head.is_not_run {
            return Err(AttemptError::NotRun);
        }
        if status.is_success() && (!head.is_authentic || head.id.is_none()) {
            return Err(AttemptError::Broken);
        }
        Ok(())
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
            let version = version_id(&started.sent_call.server.version);
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
        loop {
            match response.next_chunk().await {
                Ok(Some(chunk)) => body.extend_from_slice(&chunk),
                Ok(None) => break,
                Err(refusal) => {
                    return self.refuse_call(&call, refusal);
                }
            }
            if body.len() > MAX_BUFFERED_BYTES {
                return self.close_if_stopping(head.map(|()| response.into_body(body.freeze())));
            }
        }
        head.headers_mut().remove(http::header::CONTENT_LENGTH);
        self.close_if_stopping(head.map(|()| Body::full(body.freeze())))
    }
}

/// Returns the refusal of a call for which no attempt succeeded.
fn final_refusal(call: &Call, attempts: &Attempts, last_error: Option<AttemptError>) -> Refusal {
    let is_expired = call.deadline() <= Instant::now() + MIN_REMAINING;
    match last_error {
        _ if attempts.possible_runs > 0 && is_expired => Refusal::TimedOut,
        _ if attempts.possible_runs > 0 => Refusal::ServerFailed,
        _ if is_expired => Refusal::Expired,
        _ if let Some(back_in) = attempts.at_rest => {
            let hash = xxhash_rust::xxh3::xxh3_64(call.id.as_bytes());
            Refusal::ServersAtRest(retry_after(back_in, hash))
        }
        _ if let Some(wait) = attempts.limited => Refusal::ServerLimit(wait),
        // A silent server has refused the call in the meantime, or it would count as a possible run.
        Some(AttemptError::NotRun | AttemptError::TimedOut) => Refusal::Overloaded,
        _ => Refusal::NoServer,
    }
}

/// Returns how long to wait for the first chunk of a response. Only a call that can still be retried times out before
/// its deadline. The delay of this entry's own processor is added, since the server is not responsible for it.
fn response_timeout(
    call: &Call,
    remaining: Duration,
    attempts: &Attempts,
    processor_delay: Duration,
) -> Duration {
    let can_retry = call.retry_policy() != RetryPolicy::AtMostOnce
        && attempts.possible_runs + 1 < call.route.max_attempts;
    if can_retry {
        remaining.min(call.route.target_latency * RESPONSE_TIMEOUT_FACTOR + processor_delay)
    } else {
        remaining
    }
}

fn attempt_error(call: &Call, error: &ExchangeError) -> AttemptError {
    match error {
        ExchangeError::Connect(_) | ExchangeError::NotSent => AttemptError::Unreachable,
        ExchangeError::Withheld => AttemptError::Withheld,
        ExchangeError::Broken(error) => {
            tracing::debug!(request = call.id, %error, "connection to the server broke");
            AttemptError::Broken
        }
    }
}

fn clone_head(head: &Response<()>) -> Response<()> {
    let mut copy = Response::new(());
    *copy.status_mut() = head.status();
    *copy.headers_mut() = head.headers().clone();
    copy
}

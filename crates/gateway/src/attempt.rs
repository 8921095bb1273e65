//! Attempts of a call: chooses a server, sends the call, and waits for the answer to begin.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_lite::future;
use http::StatusCode;
use tanagerford_core::dispatch::{CallKind, CallNumber, CallOutcome};
use tanagerford_core::ids::ServerId;
use tanagerford_core::stream_version::VersionId;
use tanagerford_http::connection_pool::{ExchangeError, PooledResponse};
use tokio::time::timeout_at;

use crate::call::{Call, RetryPolicy};
use crate::codec::{AttemptContext, Codec, ResponseHead};
use crate::dispatch::Attempts;
use crate::fleet::{BackendServer, PoolState};
use crate::gateway::Gateway;
use crate::handover::Handover;
use crate::in_flight::{Exchange, ExchangeResult};
use crate::limits::{LimitHeader, SelectError, SelectedServer, ServerRequest};
use crate::peers::Summaries;
use crate::quarantine::ConnectionEnd;

/// Timeout for connecting to a server, after which another server is tried.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Minimum remaining time until the deadline with which a call is still sent to a server.
pub(crate) const MIN_REMAINING: Duration = Duration::from_millis(5);
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
    pub(crate) number: CallNumber,
    pub(crate) kind: CallKind,
    pub(crate) call: Arc<Call>,
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
        let mut load_view = self.pool.load_view();
        load_view.on_given_up(&self.server.id, self.number, self.sent_at.elapsed());
        load_view.on_end(&self.server.id, self.number);
        drop(load_view);
        self.summaries.on_load_change();
    }
}

impl SentCall {
    /// Returns the ratio of the actual to the expected time to the first chunk; ratios below 1.5 count as 1. The delay
    /// of this entry's own processor and link is subtracted from the actual time, since the server is not responsible for it.
    pub(crate) fn slowness(&self, own_delay: Duration) -> f64 {
        let latency = self.sent_at.elapsed().saturating_sub(own_delay);
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
    pub(crate) fn is_server_failure(&self) -> bool {
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
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Withheld => "withheld",
            Self::NotRun => "not_run",
            Self::Broken => "broken",
            Self::TimedOut => "silent",
            Self::Failed => "failed",
        }
    }

    /// Returns whether anything of the attempt may have arrived at the server.
    pub(crate) fn may_have_arrived(self) -> bool {
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

/// What ends the wait for an attempt.
pub(crate) enum Awaited {
    /// The result of the attempt; `None` if there is none in time.
    Own(Option<(SentCall, ExchangeResult)>),
    /// A server that was silent before answers.
    Other(StartedResponse),
}

/// Server and time of an attempt.
pub(crate) struct Target {
    server: Arc<BackendServer>,
    pool: Arc<PoolState>,
    sent_at: Instant,
    /// Server from which parts of the prompt are fetched.
    fetch_from: Option<SocketAddr>,
    number: CallNumber,
    /// Marks that are set when the call is written.
    pub(crate) handovers: [Arc<Handover>; 2],
}

impl Target {
    pub(crate) fn new(
        sent_call: &SentCall,
        attempts: &Attempts,
        fetch_from: Option<SocketAddr>,
    ) -> Self {
        Self {
            server: Arc::clone(&sent_call.server),
            pool: Arc::clone(&sent_call.pool),
            sent_at: sent_call.sent_at,
            fetch_from,
            number: sent_call.number,
            handovers: [Arc::default(), Arc::clone(&attempts.handover)],
        }
    }
}

impl<C: Codec> Gateway<C> {
    /// Records the late result of an attempt that was recorded as silent; returns the response if there is one.
    pub(crate) fn on_late_result(
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
        let (mut sent_call, selected) = match self.next_server(call, pool, attempts).await? {
            NextServer::Selected(sent_call, selected) => (sent_call, selected),
            NextServer::Answered(started) => return Ok(started),
        };
        let choice = selected.choice;
        let pool_name = &selected.server.pool;
        let mut repeat = None;
        if attempts.may_have_arrived {
            repeat = self.take_retry(pool_name);
            if repeat.is_none() {
                // Nothing was sent, so there is no end to log.
                sent_call.is_end_logged = true;
                return Err(None);
            }
        }
        // The call may have waited for a permit.
        let remaining = deadline.saturating_duration_since(Instant::now());
        let server = Arc::clone(&sent_call.server);
        attempts.tried_servers.push(server.id.clone());
        attempts.sends += 1;
        self.summaries.on_call_sent(&sent_call.server, &call.demand);
        let time_limit = response_timeout(call, remaining, attempts, self.own_delay());
        let number = sent_call.number;
        let target = Target::new(&sent_call, attempts, selected.fetch_from);
        let exchange = self.exchange(call, sent_call, target, remaining, resume_after);
        attempts.in_flight.push(exchange);
        let expiry = Instant::now() + time_limit;
        let result = self.await_hedged_result(call, pool, attempts, number, expiry);
        let newest = match result.await {
            Awaited::Own(result) => result,
            Awaited::Other(started) => return Ok(started),
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
                is_repeat = repeat.is_some(),
                cost_ms = choice.cost_ms,
                uncached_tokens = choice.uncached_tokens,
                fetched_tokens = choice.fetch.as_ref().map(|fetch| fetch.tokens),
                fetch_from = choice.fetch.as_ref().map(|fetch| &*fetch.source),
                in_flight = choice.in_flight,
                waiting_tokens = choice.waiting_tokens,
                first_token_ms = choice.first_token_ms,
                candidates = choice.candidates,
                avoided = selected.avoided,
                held_ms = selected.held.as_millis(),
                remaining_ms = remaining.as_millis(),
                processor_delay_ms = self.processor.delay().as_millis(),
                link_delay_ms = self.link_delay().as_millis(),
                after_ms = sent_call.sent_at.elapsed().as_millis(),
                "attempt"
            );
            sent_call.is_end_logged = true;
        };
        let is_unsent = matches!(&newest, Some((_, Err(error))) if !error.may_have_arrived());
        match repeat {
            Some(taken) if is_unsent => self.return_retry(pool_name, taken),
            _ => attempts.may_have_arrived |= !is_unsent,
        }
        let Some((mut sent_call, result)) = newest else {
            // The exchange stays in flight, since the server may go on.
            if let Some(sent_call) = attempts.in_flight.call(number) {
                let result = Err(AttemptError::TimedOut);
                let outcome = self.record_outcome(sent_call, &result);
                log_end(sent_call, outcome);
                attempts.possible_runs += 1;
            }
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
                    attempts.tried_servers.retain(|tried| *tried != server.id);
                }
                attempts.possible_runs += u32::from(error == AttemptError::Broken);
                Err(Some(error))
            }
        }
    }

    fn exchange(
        self: &Arc<Self>,
        call: &Arc<Call>,
        sent_call: SentCall,
        target: Target,
        remaining: Duration,
        resume_after: Option<u64>,
    ) -> Exchange {
        let handover = Arc::clone(&target.handovers[0]);
        let result =
            Arc::clone(self).send_to_server(Arc::clone(call), target, remaining, resume_after);
        Exchange::new(sent_call, handover, result)
    }

    /// Waits until `expiry` for the result of the attempt `number`, or for the answer of a server that was silent before.
    pub(crate) async fn await_result(
        self: &Arc<Self>,
        attempts: &mut Attempts,
        number: CallNumber,
        expiry: Instant,
    ) -> Awaited {
        loop {
            let result = timeout_at(expiry.into(), attempts.first_result(self)).await;
            match result {
                Ok((sent_call, result)) if sent_call.number == number => {
                    return Awaited::Own(Some((sent_call, result)));
                }
                Ok((sent_call, result)) => match self.on_late_result(attempts, sent_call, result) {
                    Some(started) if started.is_server_failure() => {
                        attempts.keep_failure(started);
                    }
                    Some(started) => return Awaited::Other(started),
                    None => {}
                },
                Err(_) => return Awaited::Own(None),
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
            Ok(_) => {
                self.learn_first_byte_time(sent_call);
                Some(CallOutcome::Answered {
                    slowness: sent_call.slowness(self.own_delay()),
                })
            }
            Err(error) => error.outcome(),
        };
        self.on_attempt_result(&sent_call.call, result);
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
            let (tried_servers, version) = (attempts.tried_servers.clone(), attempts.version);
            let selecting = self.select_server(call, pool, &tried_servers, version);
            let selecting = async { Wait::Selected(selecting.await) };
            let answering = async { Wait::Answered(attempts.first_result(self).await) };
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
    pub(crate) async fn select_server(
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
            kind: CallKind::new(call.demand.prompt_tokens, choice.uncached_tokens),
            call: Arc::clone(call),
            is_end_logged: false,
        };
        Ok((sent_call, selected))
    }

    /// Sends one attempt to its server and returns the checked head and the first chunk of the response.
    pub(crate) async fn send_to_server(
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
            fetch_from: target.fetch_from,
        };
        let request = self.codec.request(&call, context);
        // The server is not responsible for the delay of this entry's own processor and link.
        let connect_timeout = (CONNECT_TIMEOUT + self.own_delay()).min(remaining);
        let server = &target.server;
        let may_send = |connect_time| {
            if let Some(took) = connect_time {
                self.on_connected(&server.id, took);
            }
            let may_send = self.summaries.limits().may_send(self.fleet.now(), server);
            if may_send {
                target.handovers.iter().for_each(|mark| mark.on_written());
            }
            may_send
        };
        let sending =
            self.connection_pool
                .send(server.address, request, connect_timeout, true, may_send);
        let mut response = sending
            .await
            .map_err(|error| attempt_error(&call, &error))?;
        let (now, took) = (self.fleet.now(), target.sent_at.elapsed());
        target
            .pool
            .load_view()
            .on_sign(now, &target.server.id, target.number, took);
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
        // Bytes that a server adds after an answer bear no ID, or that of an earlier call. What they say counts for no call.
        if head.id.as_ref() != Some(&call.id) {
            tracing::warn!(
                request = call.id,
                server = target.server.id,
                other = head.id,
                status = status.as_u16(),
                "response does not belong to the call"
            );
            return Err(AttemptError::Broken);
        }
        match head.load {
            Some(Ok(load)) => {
                let mut load_view = target.pool.load_view();
                load_view.on_load(self.fleet.now(), &target.server.id, load);
            }
            Some(Err(_)) => self.metrics.on_invalid_load(),
            None => {}
        }
        if !head.is_wrong_server && (head.is_authentic || head.limit != LimitHeader::Absent) {
            let now = self.fleet.now();
            let requested_at = now.saturating_sub(target.sent_at.elapsed());
            let limits = self.summaries.limits();
            limits.on_answer(&target.server, head.limit, requested_at, now);
        }
        if !head.is_wrong_server {
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
        if status.is_success() && !head.is_authentic {
            return Err(AttemptError::Broken);
        }
        Ok(())
    }
}

/// Returns how long to wait for the first chunk of a response. Only a call that can still be retried times out before
/// its deadline. The delay of this entry's own processor and link is added, since the server is not responsible for it.
fn response_timeout(
    call: &Call,
    remaining: Duration,
    attempts: &Attempts,
    own_delay: Duration,
) -> Duration {
    let can_retry = call.retry_policy() != RetryPolicy::AtMostOnce
        && attempts.possible_runs + 1 < call.route.max_attempts;
    if can_retry {
        remaining.min(call.route.target_latency * RESPONSE_TIMEOUT_FACTOR + own_delay)
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

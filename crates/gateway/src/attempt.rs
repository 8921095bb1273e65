//! Serves a call: chooses servers, sends the call, and decides what a failed attempt allows.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::{Response, StatusCode};
use tanagerford_core::dispatch::{
    CallNumber, CallOutcome, Choice, GATE_POLL_INTERVAL, GateDecision, MAX_ATTEMPTS_PER_CALL,
    RemainingTime,
};
use tanagerford_core::ids::{PoolId, ServerId};
use tanagerford_http::connection_pool::{ExchangeError, PooledResponse};
use tanagerford_http::{Body, Reply};
use tanagerford_sync::lock;
use tokio::time::{sleep, timeout};

use crate::call::{Call, Repeat};
use crate::codec::{AnswerHead, Codec, Sending};
use crate::fleet::{BackendServer, PoolState};
use crate::gateway::Gateway;
use crate::held::HeldAnswer;
use crate::peers::Summaries;
use crate::refusal::Refusal;
use crate::relay::Relay;

/// Longest time to establish a connection to a server; another server is asked after it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Least remaining time with which a call is sent to a server.
const MIN_REMAINING: Duration = Duration::from_millis(5);
/// Largest answer that is held until it is whole; longer ones are passed on as they arrive.
const MAX_HELD_BYTES: usize = 256 * 1024;
/// Silence, as a multiple of the latency objective, after which a call that may be repeated goes to another server.
const SILENCE_FACTOR: u32 = 3;
/// Time to the first part of an answer that a plain service is expected to need beside its queue.
const PLAIN_EXPECTED: Duration = Duration::from_millis(40);
/// Time that the first token of a model engine may take beyond the estimate before the engine counts as slow.
const ENGINE_MARGIN: Duration = Duration::from_millis(80);

/// Call in flight at a server; its drop tells the beliefs that it has ended.
pub(crate) struct Flight {
    pub(crate) server: Arc<BackendServer>,
    pub(crate) pool: Arc<PoolState>,
    pub(crate) sent: Instant,
    summaries: Arc<Summaries>,
    expected: Duration,
    number: CallNumber,
    call: Arc<Call>,
    /// Whether the attempt's end was logged.
    is_logged: bool,
}

impl Drop for Flight {
    fn drop(&mut self) {
        if !self.is_logged {
            // The caller left before the server had begun to answer.
            tracing::info!(
                request = self.call.id,
                route = self.call.route.name,
                workspace = self.call.workspace_name(),
                server = self.server.id,
                outcome = "abandoned",
                after_ms = self.sent.elapsed().as_millis(),
                "attempt"
            );
        }
        self.pool.beliefs().on_end(&self.server.id, self.number);
        self.summaries.changed();
    }
}

impl Flight {
    /// Returns how much slower than expected the first part of the answer came. `own_delay` is the part of it for which
    /// the entry is to blame.
    fn slowness(&self, own_delay: Duration) -> f64 {
        let taken = self.sent.elapsed().saturating_sub(own_delay);
        let ratio = taken.as_secs_f64() / self.expected.as_secs_f64();
        if ratio < 1.5 { 1.0 } else { ratio }
    }
}

/// Answer of a server to one attempt, checked as far as its head and first part.
pub(crate) struct Begun {
    pub(crate) flight: Flight,
    pub(crate) answer: PooledResponse,
    pub(crate) first: Option<Bytes>,
}

impl Begun {
    fn is_server_failure(&self) -> bool {
        self.answer.head.status().is_server_error()
    }
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptError {
    /// No connection; nothing was sent.
    Unreachable,
    /// The server did not run the call.
    NotRun,
    /// The server may have run the call.
    Broken,
    /// No part of the answer came in time; the server may be running the call.
    Silent,
    /// The server ran the call and reports a failure.
    Failed,
}

impl AttemptError {
    fn name(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::NotRun => "not_run",
            Self::Broken => "broken",
            Self::Silent => "silent",
            Self::Failed => "failed",
        }
    }

    fn call_end(self) -> CallOutcome {
        match self {
            Self::Unreachable => CallOutcome::Unreachable,
            Self::NotRun => CallOutcome::Refused,
            Self::Broken => CallOutcome::Broken,
            Self::Silent => CallOutcome::TimedOut,
            Self::Failed => CallOutcome::Failed,
        }
    }
}

/// Attempts of one call so far.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    pub(crate) tried: Vec<ServerId>,
    /// Calls that may have run.
    runs: u32,
}

impl Attempts {
    /// Records that an attempt that had begun to answer has failed.
    pub(crate) fn add_run(&mut self) {
        self.runs += 1;
    }
}

impl<C: Codec> Gateway<C> {
    pub(crate) async fn run(self: &Arc<Self>, call: Arc<Call>) -> Reply {
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
        if !self.wait_for_room(&call, &pool).await {
            return self.refuse_call(&call, Refusal::Overloaded);
        }
        let mut attempts = Attempts::default();
        let mut last = None;
        // Failure that a server reported; its caller gets it when no other server does better.
        let mut reported = None;
        loop {
            if last.is_some_and(|error| !self.may_repeat(&call, &pool_name, &attempts, error)) {
                break;
            }
            let resume = call.resume_after;
            match self.attempt(&call, &pool, &mut attempts, resume).await {
                Ok(begun) if begun.is_server_failure() && reported.is_none() => {
                    attempts.add_run();
                    last = Some(AttemptError::Failed);
                    reported = Some(begun);
                }
                Ok(begun) => return self.deliver(call, pool, attempts, begun).await,
                Err(Some(error)) => last = Some(error),
                Err(None) => break,
            }
        }
        if let Some(begun) = reported {
            return self.deliver(call, pool, attempts, begun).await;
        }
        let refusal = refusal(&call, &attempts, last);
        self.refuse_call(&call, refusal)
    }

    /// Waits until some server can take the call without making streams late; returns whether there is one.
    ///
    /// Only long prompts wait. A call that waits longer than a part of its latency objective is refused, so that its
    /// caller can come back when the burst is over.
    async fn wait_for_room(&self, call: &Call, pool: &PoolState) -> bool {
        // Everything else enters whatever the choice would be.
        if !pool.beliefs().is_long(&call.demand) {
            return true;
        }
        loop {
            let now = self.fleet.now();
            let choice = pool.beliefs().choose(now, &call.demand, &[]);
            let Some(choice) = choice else {
                return true;
            };
            match self.decide_room(call, &choice) {
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

    fn decide_room(&self, call: &Call, choice: &Choice) -> GateDecision {
        let route = &call.route;
        let waited = call.arrived.elapsed();
        let left = RemainingTime::after(waited, route.target_latency, route.lower_ranks_latency);
        let mut gate = lock(&self.room);
        gate.decide(self.fleet.now(), choice, call.priority(), left)
    }

    /// Returns whether the call may be sent to another server after `error`, and takes it from the budget.
    pub(crate) fn may_repeat(
        &self,
        call: &Call,
        pool: &PoolId,
        attempts: &Attempts,
        error: AttemptError,
    ) -> bool {
        if attempts.tried.len() >= MAX_ATTEMPTS_PER_CALL {
            return false;
        }
        match error {
            AttemptError::Unreachable => true,
            AttemptError::NotRun => self.try_repeat(pool),
            AttemptError::Broken | AttemptError::Silent | AttemptError::Failed => {
                call.repeat() != Repeat::AtMostOnce
                    && attempts.runs < call.route.max_attempts
                    && self.try_repeat(pool)
            }
        }
    }

    /// Sends the call to one server and waits for the first part of its answer. `Err(None)` means that no server is
    /// left or the time is up.
    pub(crate) async fn attempt(
        self: &Arc<Self>,
        call: &Arc<Call>,
        pool: &Arc<PoolState>,
        attempts: &mut Attempts,
        resume_after: Option<u64>,
    ) -> Result<Begun, Option<AttemptError>> {
        let deadline = call.deadline();
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining < MIN_REMAINING {
            return Err(None);
        }
        let (mut flight, choice) = self.start(call, pool, attempts).ok_or(None)?;
        attempts.tried.push(flight.server.id.clone());
        self.summaries.sent(&flight.server, &call.demand);
        let result = self
            .exchange(call, &flight, remaining, resume_after, attempts)
            .await;
        let server = &flight.server.id;
        let end = match &result {
            Ok((answer, _)) if answer.head.status().is_server_error() => CallOutcome::Failed,
            Ok(_) => CallOutcome::Answered {
                slowness: flight.slowness(self.processor.delay()),
            },
            Err(error) => error.call_end(),
        };
        pool.beliefs().on_outcome(self.fleet.now(), server, end);
        let name = match &result {
            Ok(_) if end == CallOutcome::Failed => AttemptError::Failed.name(),
            Ok(_) => "answered",
            Err(error) => error.name(),
        };
        self.metrics.attempt(name);
        tracing::info!(
            request = call.id,
            route = call.route.name,
            workspace = call.workspace_name(),
            server,
            outcome = name,
            sends = attempts.tried.len(),
            cost_ms = choice.cost_ms,
            uncached_tokens = choice.uncached_tokens,
            in_flight = choice.in_flight,
            waiting_tokens = choice.waiting_tokens,
            first_token_ms = choice.first_token_ms,
            candidates = choice.candidates,
            remaining_ms = remaining.as_millis(),
            processor_delay_ms = self.processor.delay().as_millis(),
            after_ms = flight.sent.elapsed().as_millis(),
            "attempt"
        );
        flight.is_logged = true;
        match result {
            Ok((answer, first)) => {
                if answer.head.status().is_success() {
                    let now = self.fleet.now();
                    let mut beliefs = pool.beliefs();
                    beliefs.on_first_part(now, &flight.server.id, flight.number);
                    drop(beliefs);
                    self.summaries.changed();
                }
                Ok(Begun {
                    flight,
                    answer,
                    first,
                })
            }
            Err(error) => {
                if error == AttemptError::Broken {
                    self.look_for_crash(call, &flight.server);
                }
                attempts.runs +=
                    u32::from(matches!(error, AttemptError::Broken | AttemptError::Silent));
                Err(Some(error))
            }
        }
    }

    /// Finds out in a task of its own whether the server of a lost call has crashed.
    pub(crate) fn look_for_crash(self: &Arc<Self>, call: &Arc<Call>, server: &Arc<BackendServer>) {
        let quarantine = Arc::clone(&self.quarantine);
        let fleet = Arc::clone(&self.fleet);
        let task = quarantine.on_lost(Arc::clone(call), Arc::clone(server), move || fleet.now());
        self.runtime.spawn(task);
    }

    fn start(
        &self,
        call: &Arc<Call>,
        pool: &Arc<PoolState>,
        attempts: &Attempts,
    ) -> Option<(Flight, Choice)> {
        let now = self.fleet.now();
        let number = self.next_call.fetch_add(1, Ordering::Relaxed);
        let mut beliefs = pool.beliefs();
        let choice = beliefs.choose(now, &call.demand, &attempts.tried)?;
        let server = Arc::clone(pool.servers.get(&choice.server)?);
        beliefs.on_start(now, &choice.server, number, &call.demand);
        drop(beliefs);
        let expected = if call.demand.prompt_tokens > 0 {
            let usual_ms = choice.first_token_ms / choice.slowness;
            ENGINE_MARGIN + Duration::from_secs_f64(usual_ms / 1_000.0)
        } else {
            PLAIN_EXPECTED
        };
        let flight = Flight {
            server,
            pool: Arc::clone(pool),
            sent: Instant::now(),
            summaries: Arc::clone(&self.summaries),
            expected,
            number,
            call: Arc::clone(call),
            is_logged: false,
        };
        Some((flight, choice))
    }

    async fn exchange(
        &self,
        call: &Call,
        flight: &Flight,
        remaining: Duration,
        resume_after: Option<u64>,
        attempts: &Attempts,
    ) -> Result<(PooledResponse, Option<Bytes>), AttemptError> {
        let sending = Sending {
            server: &flight.server,
            remaining,
            resume_after,
        };
        let request = self.codec.request(call, sending);
        let own_delay = self.processor.delay();
        let silence = silence_limit(call, remaining, attempts, own_delay);
        let exchange = async {
            let connect = CONNECT_TIMEOUT.min(remaining);
            let sent = self
                .outbound
                .send(flight.server.address, request, connect, true);
            let mut answer = sent.await.map_err(|error| attempt_error(call, &error))?;
            let head = self.codec.answer_head(&answer.head);
            self.check_head(call, flight, &head, answer.head.status())?;
            let first = answer
                .next_chunk()
                .await
                .map_err(|_| AttemptError::Broken)?;
            Ok((answer, first))
        };
        let ended = timeout(silence, exchange).await;
        ended.unwrap_or(Err(AttemptError::Silent))
    }

    fn check_head(
        &self,
        call: &Call,
        flight: &Flight,
        head: &AnswerHead,
        status: StatusCode,
    ) -> Result<(), AttemptError> {
        if head.id.as_ref().is_some_and(|id| *id != call.id) {
            tracing::warn!(
                request = call.id,
                server = flight.server.id,
                other = head.id,
                "answer belongs to another call"
            );
            return Err(AttemptError::Broken);
        }
        if let Some(load) = head.load {
            flight
                .pool
                .beliefs()
                .on_load(self.fleet.now(), &flight.server.id, load);
        }
        if head.is_other_server {
            flight.pool.beliefs().on_outcome(
                self.fleet.now(),
                &flight.server.id,
                CallOutcome::Restarted,
            );
            return Err(AttemptError::NotRun);
        }
        if head.is_not_run {
            return Err(AttemptError::NotRun);
        }
        if status.is_success() && (!head.is_sealed || head.id.is_none()) {
            return Err(AttemptError::Broken);
        }
        Ok(())
    }

    async fn deliver(
        self: &Arc<Self>,
        call: Arc<Call>,
        pool: Arc<PoolState>,
        attempts: Attempts,
        begun: Begun,
    ) -> Reply {
        self.metrics.first_part(call.arrived.elapsed());
        let status = begun.answer.head.status();
        if call.route.is_stream && status.is_success() {
            let mut head = clone_head(&begun.answer.head);
            self.codec.strip_answer(&mut head);
            head.headers_mut().remove(http::header::CONTENT_LENGTH);
            let relay = Relay::new(Arc::clone(self), call, pool, attempts, begun);
            return self.finish(head.map(|()| relay.into_body()));
        }
        self.deliver_whole(call, begun).await
    }

    /// Holds the answer until it is whole, so that a cut one can be told from a whole one. A long one is passed on as it
    /// arrives.
    async fn deliver_whole(self: &Arc<Self>, call: Arc<Call>, begun: Begun) -> Reply {
        let mut head = clone_head(&begun.answer.head);
        let mut whole = HeldAnswer::new(Arc::clone(self), Arc::clone(&call), begun);
        self.codec.strip_answer(&mut head);
        let mut body = BytesMut::new();
        loop {
            match whole.next().await {
                Ok(Some(part)) => body.extend_from_slice(&part),
                Ok(None) => break,
                Err(refusal) => {
                    return self.refuse_call(&call, refusal);
                }
            }
            if body.len() > MAX_HELD_BYTES {
                return self.finish(head.map(|()| whole.into_body(body.freeze())));
            }
        }
        head.headers_mut().remove(http::header::CONTENT_LENGTH);
        self.finish(head.map(|()| Body::full(body.freeze())))
    }
}

/// Returns what a call that no server answered is told.
fn refusal(call: &Call, attempts: &Attempts, last: Option<AttemptError>) -> Refusal {
    let is_expired = call.deadline() <= Instant::now() + MIN_REMAINING;
    match last {
        _ if attempts.runs > 0 && is_expired => Refusal::TimedOut,
        _ if attempts.runs > 0 => Refusal::ServerFailed,
        _ if is_expired => Refusal::Expired,
        Some(AttemptError::NotRun) => Refusal::Overloaded,
        _ => Refusal::NoServer,
    }
}

/// Returns how long an attempt may be silent. Only a call that may still go to another server is cut before its
/// deadline. The time for which the entry itself is late is no silence of the server.
fn silence_limit(
    call: &Call,
    remaining: Duration,
    attempts: &Attempts,
    own_delay: Duration,
) -> Duration {
    let can_repeat =
        call.repeat() != Repeat::AtMostOnce && attempts.runs + 1 < call.route.max_attempts;
    if can_repeat {
        remaining.min(call.route.target_latency * SILENCE_FACTOR + own_delay)
    } else {
        remaining
    }
}

fn attempt_error(call: &Call, error: &ExchangeError) -> AttemptError {
    match error {
        ExchangeError::Connect(_) | ExchangeError::NotSent => AttemptError::Unreachable,
        ExchangeError::Broken(error) => {
            tracing::debug!(request = call.id, %error, "exchange broke");
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

//! Relay of one call: chooses servers, retries attempts that may be repeated, and resumes truncated streams.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::{future, stream};
use tanagerford_caller::class_gate::ClassPermit;
use tanagerford_caller::refusal::{Code, Outcome as CallerOutcome, Refusal};
use tanagerford_core::ids::ServerId;
use tanagerford_core::retry::{
    AttemptOutcome, FinalOutcome, LinkPhase, Progress, RetryDecision, RetryState,
};
use tanagerford_core::routing::ResponseMeasurements;
use tanagerford_link::message::{self, Outcome};
use tanagerford_sync::lock;

use crate::attempts::Event;
use crate::links::LinkPool;

use super::call::{Call, CallKind};
use super::failure::Failure;
use super::running::RunningAttempt;
use super::servers::{ChosenServer, load_hint};
use super::state::{EntryState, FrameHandler};

/// Value of `Retry-After` when no server of a pool can be reached. Links that were just lost are redialled within this
/// time.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Minimum time of an attempt: a round trip between availability zones and the sidecar's decision.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(10);

/// Number of attempts of a model request, counted from the first, that get a short wait limit while other servers
/// remain. `examples/policy` uses the same number.
const MAX_SHORT_WAIT_ATTEMPTS: usize = 2;

/// Head and first chunk of a response.
#[derive(Debug)]
pub(crate) struct ResponseStart {
    pub(crate) head: message::Head,
    /// First chunk of the body; empty for an empty body.
    pub(crate) first_chunk: Bytes,
}

/// Next event of a response that has started.
#[derive(Debug)]
pub(crate) enum ResponseStep {
    /// Chunk of the body.
    Data(Bytes),
    /// The response is complete.
    Complete,
    /// The response is truncated and cannot be resumed.
    Failed(Refusal),
}

/// A call in progress. Dropping it cancels the running attempt unless the call is an order.
pub(crate) struct Relay {
    pub(super) state: Arc<EntryState>,
    pub(super) links: Arc<LinkPool<FrameHandler>>,
    pub(super) call: Call,
    /// Current attempt; `None` before the first one and between attempts.
    pub(super) running: Option<RunningAttempt>,
    /// Servers of earlier attempts, which are not chosen again.
    pub(super) tried_servers: Vec<ServerId>,
    retry: RetryState,
    /// Refusal of the last attempt, which the caller receives if no further server can be tried.
    last_refusal: Option<Refusal>,
    /// Claim of the order that its owner has released, so that the order may be claimed again.
    pub(super) released_claim: Option<message::Claim>,
    delivered_tokens: u32,
    /// Whether the response has started, so that it can only be resumed and not retried.
    has_delivered: bool,
    is_complete: bool,
    /// Held until the call ends.
    _permit: ClassPermit,
}

impl Relay {
    pub(crate) fn new(
        state: Arc<EntryState>,
        links: Arc<LinkPool<FrameHandler>>,
        call: Call,
        permit: ClassPermit,
    ) -> Self {
        let retry = RetryState::new(call.tier);
        Self {
            state,
            links,
            call,
            running: None,
            tried_servers: Vec::new(),
            retry,
            last_refusal: None,
            released_claim: None,
            delivered_tokens: 0,
            has_delivered: false,
            is_complete: false,
            _permit: permit,
        }
    }

    pub(crate) fn call(&self) -> &Call {
        &self.call
    }

    /// Runs attempts until a response starts.
    pub(crate) async fn start(&mut self) -> Result<ResponseStart, Refusal> {
        loop {
            self.begin_attempt()?;
            match self.await_start().await {
                Ok(start) => {
                    self.has_delivered = true;
                    if matches!(self.call.kind, CallKind::Model { .. }) {
                        self.observe_latency();
                    }
                    return Ok(start);
                }
                Err(Failure::ClaimedElsewhere(claim)) => {
                    if let Some(start) = self.query_owner(claim).await? {
                        self.is_complete = true;
                        return Ok(start);
                    }
                }
                Err(Failure::Ended { outcome, refusal }) => {
                    self.on_attempt_ended(outcome, refusal)?;
                }
            }
        }
    }

    /// Waits for the next event of the response, resuming a truncated stream on another server if possible.
    pub(crate) async fn next_step(&mut self) -> ResponseStep {
        loop {
            if self.is_complete {
                return ResponseStep::Complete;
            }
            let failure = match self.next_event().await {
                Event::Chunk { data, tokens } => {
                    self.count_tokens(tokens);
                    return ResponseStep::Data(data);
                }
                Event::Finish(finish) if finish.outcome() == Outcome::Complete => {
                    self.on_complete(&finish);
                    continue;
                }
                Event::Finish(finish) => self.failure_of_finish(&finish),
                Event::Refused(refused) => self.failure_of_refused(refused),
                Event::Lost => self.failure_of_lost_link(),
                Event::Expired => self.failure_of_deadline(),
                Event::Accepted | Event::Head(_) | Event::OrderAnswer(_) => continue,
            };
            if let Err(refusal) = self.resume(failure) {
                return ResponseStep::Failed(refusal);
            }
        }
    }

    /// Converts the relay into the chunks of a response body, starting with `first`. A truncated response ends with an
    /// error, which aborts the transfer.
    pub(crate) fn into_body_stream(
        self,
        first: Bytes,
    ) -> impl stream::Stream<Item = io::Result<Bytes>> + Send + 'static {
        stream::unfold((Some(self), Some(first)), |(relay, first)| async move {
            if let Some(first) = first.filter(|first| !first.is_empty()) {
                return Some((Ok(first), (relay, None)));
            }
            let mut relay = relay?;
            match relay.next_step().await {
                ResponseStep::Data(data) => Some((Ok(data), (Some(relay), None))),
                ResponseStep::Complete => None,
                ResponseStep::Failed(refusal) => {
                    tracing::warn!(
                        request_id = relay.call.request_id,
                        code = refusal.code.as_str(),
                        "response was truncated; aborting the transfer"
                    );
                    Some((
                        Err(io::Error::other("response was truncated")),
                        (None, None),
                    ))
                }
            }
        })
    }

    /// Submits an attempt to the next server that can be reached, or returns the refusal if there is none.
    fn begin_attempt(&mut self) -> Result<(), Refusal> {
        while let Some(chosen) = self.choose_server() {
            let server = chosen.server.clone();
            let wait_limit = self.wait_limit(&server);
            let mut submit = self.call.to_submit(self.delivered_tokens, wait_limit);
            submit.released.clone_from(&self.released_claim);
            submit.suspicion = self.state.suspects.summary_of(submit.fingerprint);
            let cancel_on_drop = self.call.is_repeatable();
            let link = if self.call.is_repeatable() {
                self.links.get(&server)
            } else {
                // The owner of an order's shard may be outside the subset of servers that the entry links to.
                self.links.get_or_open(&server)
            };
            let attempts = &self.state.attempts;
            let submitted =
                link.and_then(|link| attempts.submit(&link, submit, cancel_on_drop).ok());
            self.tried_servers.push(server.clone());
            let Some(attempt) = submitted else {
                self.state.servers.on_failure(chosen);
                continue;
            };
            tracing::info!(
                request_id = self.call.request_id,
                attempt_id = attempt.id(),
                server,
                "submitted an attempt"
            );
            self.running = Some(RunningAttempt::new(attempt, chosen));
            return Ok(());
        }
        Err(self.no_server_refusal())
    }

    /// Returns the wait limit of an attempt at `server`. The first attempts of a model request get a short one, so that
    /// a busy server refuses at once and the next one is tried; the last attempt gets the whole remaining wait.
    fn wait_limit(&self, server: &ServerId) -> Duration {
        let is_model = matches!(self.call.kind, CallKind::Model { .. });
        let mut tried = self.tried_servers.clone();
        tried.push(server.clone());
        let others_remain = self.links.has_open_link(&self.call.pool, &tried);
        if is_model && others_remain && self.tried_servers.len() < MAX_SHORT_WAIT_ATTEMPTS {
            self.call.short_wait()
        } else {
            self.call.remaining_wait()
        }
    }

    /// Chooses the server of the next attempt: for an order the owner of its shard, for other calls by the router.
    fn choose_server(&self) -> Option<ChosenServer> {
        if let Some(key) = self.call.order_key {
            let candidates = self
                .links
                .accepting_servers(&self.call.pool, &self.tried_servers);
            return ChosenServer::shard_owner_of(&key, &self.call.pool, &candidates);
        }
        let mut exclude = self.links.closed_servers();
        exclude.extend_from_slice(&self.tried_servers);
        let prefix_hash = match self.call.kind {
            CallKind::Model { .. } => Some(self.call.submit.prefix_hash),
            CallKind::Service => None,
        };
        let servers = &self.state.servers;
        let fingerprint = self.call.submit.fingerprint;
        if self
            .state
            .suspects
            .max_other_requests(fingerprint)
            .is_some()
        {
            return servers.choose_for_suspect(
                &self.call.pool,
                self.call.tier,
                fingerprint,
                &exclude,
            );
        }
        servers.choose(&self.call.pool, self.call.tier, prefix_hash, &exclude)
    }

    fn no_server_refusal(&mut self) -> Refusal {
        if let Some(refusal) = self.last_refusal.take() {
            return refusal;
        }
        let message = format!(
            "no further backend server of pool {} can be reached",
            self.call.pool
        );
        let refusal = Refusal::new(Code::NoServer, message).retry_after(NO_SERVER_RETRY_AFTER);
        self.with_outcome(refusal)
    }

    /// Waits until the response of the current attempt starts or the attempt fails.
    async fn await_start(&mut self) -> Result<ResponseStart, Failure> {
        let mut head = None;
        loop {
            match self.next_event().await {
                Event::Accepted => {
                    if let Some(running) = &mut self.running {
                        running.phase = LinkPhase::Accepted;
                    }
                }
                Event::Head(received) => head = Some(received),
                Event::Chunk { data, tokens } => {
                    self.count_tokens(tokens);
                    let head = head.ok_or_else(|| self.failure_of_lost_link())?;
                    return Ok(ResponseStart {
                        head,
                        first_chunk: data,
                    });
                }
                Event::Finish(finish) if finish.outcome() == Outcome::Complete => {
                    let head = head.ok_or_else(|| self.failure_of_lost_link())?;
                    self.on_complete(&finish);
                    let first_chunk = Bytes::new();
                    return Ok(ResponseStart { head, first_chunk });
                }
                Event::Finish(finish) => return Err(self.failure_of_finish(&finish)),
                Event::Refused(refused) => return Err(self.failure_of_refused(refused)),
                Event::Lost => return Err(self.failure_of_lost_link()),
                Event::Expired => return Err(self.failure_of_deadline()),
                Event::OrderAnswer(_) => {}
            }
        }
    }

    /// Waits for the next event of the current attempt or for the time limit of the call.
    async fn next_event(&mut self) -> Event {
        let remaining_time = self.call.remaining_time();
        let Some(running) = &mut self.running else {
            return Event::Lost;
        };
        let expired = async {
            Timer::after(remaining_time).await;
            Event::Expired
        };
        future::or(running.attempt.next(), expired).await
    }

    fn count_tokens(&mut self, tokens: u32) {
        self.delivered_tokens += tokens;
        if let Some(running) = &mut self.running {
            running.count_tokens(tokens);
        }
    }

    /// Records that an attempt failed. Returns the refusal if the call must not be retried or resumed.
    fn on_attempt_ended(
        &mut self,
        outcome: AttemptOutcome,
        refusal: Refusal,
    ) -> Result<(), Refusal> {
        if refusal.code.is_final() && outcome == AttemptOutcome::RefusedNotRun {
            return Err(self.with_outcome(refusal));
        }
        let progress = Progress {
            repeatable: self.call.is_repeatable(),
            resumable: self.call.is_resumable(),
            delivered: self.has_delivered,
            time_left: if self.has_delivered {
                self.call.remaining_time()
            } else {
                self.call.remaining_wait()
            },
            time_needed: MIN_ATTEMPT_TIME,
        };
        let now = self.state.servers.now();
        let decision = {
            let mut budget = lock(&self.state.retry_budget);
            self.retry.on_outcome(now, outcome, &progress, &mut budget)
        };
        match decision {
            RetryDecision::RetryElsewhere => {
                self.state.metrics.retries.inc();
                self.last_refusal = Some(self.with_outcome(refusal));
                Ok(())
            }
            RetryDecision::Resume => {
                self.state.metrics.resumes.inc();
                Ok(())
            }
            RetryDecision::GiveUp { outcome, reason } => {
                tracing::debug!(
                    request_id = self.call.request_id,
                    ?reason,
                    "request is not retried"
                );
                let outcome = match outcome {
                    FinalOutcome::NotRun => CallerOutcome::NotRun,
                    FinalOutcome::Unknown => CallerOutcome::Unknown,
                };
                Err(Refusal { outcome, ..refusal })
            }
        }
    }

    /// Returns the refusal, with an unknown outcome if any attempt of the call may have run.
    fn with_outcome(&self, refusal: Refusal) -> Refusal {
        if self.retry.may_have_run() {
            refusal.with_unknown_outcome()
        } else {
            refusal
        }
    }

    /// Resumes a truncated stream on another server, or returns the refusal if that is not possible.
    fn resume(&mut self, failure: Failure) -> Result<(), Refusal> {
        match failure {
            Failure::Ended { outcome, refusal } => {
                self.on_attempt_ended(outcome, refusal.clone())?;
                self.begin_attempt()
                    .map_err(|_| refusal.with_unknown_outcome())
            }
            Failure::ClaimedElsewhere(_) => Err(Refusal::new(
                Code::ServerFailed,
                "sidecar refused an order that it had begun to answer",
            )
            .with_unknown_outcome()),
        }
    }

    /// Records the complete response of the current attempt.
    fn on_complete(&mut self, finish: &message::Finish) {
        self.is_complete = true;
        let prompt_tokens = self.call.submit.prompt_tokens;
        let Some(running) = self.running.take() else {
            return;
        };
        let response = ResponseMeasurements {
            load: finish.load.as_ref().map(load_hint),
            first_token: running
                .first_token_at
                .map(|at| at.duration_since(running.submitted_at)),
            pace: running.pace(&self.call, finish.load.as_ref()),
            prompt_tokens,
        };
        self.state.servers.on_response(running.chosen, &response);
        lock(&self.state.retry_budget).on_success(self.call.tier);
    }

    /// Drops the current attempt and returns its server. An attempt that has not ended is cancelled unless the call is
    /// an order.
    pub(super) fn end_attempt(&mut self) -> Option<ChosenServer> {
        self.running.take().map(|running| running.chosen)
    }

    /// Records the time to the first token, or to the complete response of a service call.
    fn observe_latency(&self) {
        let latency = self.call.received_at.elapsed();
        self.state.metrics.observe_first_answer(
            &self.call.class.name,
            self.call.tier,
            latency,
            self.call.latency_target(),
        );
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if self.is_complete || self.has_delivered {
            let result = if self.is_complete { "complete" } else { "cut" };
            let (class, tier) = (&self.call.class.name, self.call.tier);
            self.state.metrics.count_request(class, tier, result);
            if self.is_complete && matches!(self.call.kind, CallKind::Service) {
                self.observe_latency();
            }
            tracing::info!(
                request_id = self.call.request_id,
                class,
                tier,
                result,
                tokens = self.delivered_tokens,
                elapsed_ms =
                    u64::try_from(self.call.received_at.elapsed().as_millis()).unwrap_or(u64::MAX),
                "request ended"
            );
        }
        if let Some(chosen) = self.end_attempt() {
            self.state.servers.on_ended(chosen);
        }
    }
}

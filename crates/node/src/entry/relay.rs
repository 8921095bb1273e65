//! Relays one call: chooses servers, retries where the outcome allows it, and resumes cut streams.

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
use tanagerford_core::routing::Answer;
use tanagerford_link::message::{self, Outcome};
use tanagerford_sync::lock;

use crate::attempts::Event;
use crate::links::LinkPool;

use super::call::{Call, Kind};
use super::failure::Failure;
use super::running::Running;
use super::servers::{Chosen, load_hint};
use super::state::{EntryState, FrameHandler};

/// Advice when no server of a pool can be reached; links are redialled within this time.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time that another attempt needs at least: a round trip between availability zones and the sidecar's decision.
const ATTEMPT_TIME: Duration = Duration::from_millis(10);

/// Attempts that get a short wait. The policy measurement uses the same number.
const SHORT_WAIT_ATTEMPTS: usize = 2;

/// Start of an answer.
#[derive(Debug)]
pub(crate) struct Start {
    pub(crate) head: message::Head,
    /// First part of the body; empty for an empty body.
    pub(crate) first: Bytes,
}

/// Next step of an answer.
#[derive(Debug)]
pub(crate) enum Step {
    Data(Bytes),
    Complete,
    Failed(Refusal),
}

/// Call in progress.
pub(crate) struct Relay {
    pub(super) state: Arc<EntryState>,
    pub(super) links: Arc<LinkPool<FrameHandler>>,
    pub(super) call: Call,
    pub(super) running: Option<Running>,
    pub(super) tried: Vec<ServerId>,
    retry: RetryState,
    /// Refusal of the last attempt, reported when no further server can be tried.
    last_refusal: Option<Refusal>,
    /// Claim of an order that its owner has released.
    pub(super) released: Option<message::Claim>,
    delivered_tokens: u32,
    delivered: bool,
    complete: bool,
    _place: ClassPermit,
}

impl Relay {
    pub(crate) fn new(
        state: Arc<EntryState>,
        links: Arc<LinkPool<FrameHandler>>,
        call: Call,
        place: ClassPermit,
    ) -> Self {
        let retry = RetryState::new(call.tier);
        Self {
            state,
            links,
            call,
            running: None,
            tried: Vec::new(),
            retry,
            last_refusal: None,
            released: None,
            delivered_tokens: 0,
            delivered: false,
            complete: false,
            _place: place,
        }
    }

    pub(crate) fn call(&self) -> &Call {
        &self.call
    }

    /// Runs attempts until an answer begins.
    pub(crate) async fn start(&mut self) -> Result<Start, Refusal> {
        loop {
            self.begin_attempt()?;
            match self.await_start().await {
                Ok(start) => {
                    self.delivered = true;
                    if matches!(self.call.kind, Kind::Model { .. }) {
                        self.observe_latency();
                    }
                    return Ok(start);
                }
                Err(Failure::OwnedElsewhere(claim)) => {
                    if let Some(start) = self.ask_owner(claim).await? {
                        self.complete = true;
                        return Ok(start);
                    }
                }
                Err(Failure::Ended { outcome, refusal }) => self.after(outcome, refusal)?,
            }
        }
    }

    /// Returns the next part of the answer.
    pub(crate) async fn next_step(&mut self) -> Step {
        loop {
            if self.complete {
                return Step::Complete;
            }
            let failure = match self.next_event().await {
                Event::Chunk { data, tokens } => {
                    self.count_tokens(tokens);
                    return Step::Data(data);
                }
                Event::Finish(finish) if finish.outcome() == Outcome::Complete => {
                    self.finish(&finish);
                    continue;
                }
                Event::Finish(finish) => self.failure_of_finish(&finish),
                Event::Refused(refused) => self.failure_of_refused(refused),
                Event::Lost => self.failure_of_loss(),
                Event::Expired => self.failure_of_deadline(),
                Event::Accepted | Event::Head(_) | Event::OrderAnswer(_) => continue,
            };
            if let Err(refusal) = self.resume(failure) {
                return Step::Failed(refusal);
            }
        }
    }

    /// Turns the relay into the parts of a body, of which `first` is the first.
    pub(crate) fn into_parts(
        self,
        first: Bytes,
    ) -> impl stream::Stream<Item = io::Result<Bytes>> + Send + 'static {
        stream::unfold((Some(self), Some(first)), |(relay, first)| async move {
            if let Some(first) = first.filter(|first| !first.is_empty()) {
                return Some((Ok(first), (relay, None)));
            }
            let mut relay = relay?;
            match relay.next_step().await {
                Step::Data(data) => Some((Ok(data), (Some(relay), None))),
                Step::Complete => None,
                Step::Failed(refusal) => {
                    tracing::warn!(
                        request_id = relay.call.request_id,
                        code = refusal.code.as_str(),
                        "answer was cut off; aborting the transfer"
                    );
                    Some((Err(io::Error::other("answer was cut off")), (None, None)))
                }
            }
        })
    }

    fn begin_attempt(&mut self) -> Result<(), Refusal> {
        while let Some(chosen) = self.choose() {
            let server = chosen.server.clone();
            let wait_limit = self.wait_limit(&server);
            let mut submit = self.call.to_submit(self.delivered_tokens, wait_limit);
            submit.released.clone_from(&self.released);
            submit.suspicion = self.state.suspects.summary_of(submit.fingerprint);
            let cancel_on_drop = self.call.is_repeatable();
            let link = if self.call.is_repeatable() {
                self.links.get(&server)
            } else {
                // The owner of an order's shard may be outside of the entry's subset.
                self.links.get_or_open(&server)
            };
            let attempts = &self.state.attempts;
            let submitted =
                link.and_then(|link| attempts.submit(&link, submit, cancel_on_drop).ok());
            self.tried.push(server.clone());
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
            self.running = Some(Running::new(attempt, chosen));
            return Ok(());
        }
        Err(self.no_server())
    }

    /// Returns how long the request may wait at `server`. The first servers of a model request get little time, so that a
    /// busy one refuses it at once and the next is tried; the last one may take the whole wait.
    fn wait_limit(&self, server: &ServerId) -> Duration {
        let is_model = matches!(self.call.kind, Kind::Model { .. });
        let mut tried = self.tried.clone();
        tried.push(server.clone());
        let others_remain = self.links.has_open(&self.call.pool, &tried);
        if is_model && others_remain && self.tried.len() < SHORT_WAIT_ATTEMPTS {
            self.call.short_wait()
        } else {
            self.call.wait_left()
        }
    }

    fn choose(&self) -> Option<Chosen> {
        if let Some(key) = self.call.order_key {
            let listed = self.links.listed_servers(&self.call.pool, &self.tried);
            return Chosen::owner_of(&key, &self.call.pool, &listed);
        }
        let mut exclude = self.links.closed_servers();
        exclude.extend_from_slice(&self.tried);
        let prefix_hash = match self.call.kind {
            Kind::Model { .. } => Some(self.call.submit.prefix_hash),
            Kind::Service => None,
        };
        let servers = &self.state.servers;
        let fingerprint = self.call.submit.fingerprint;
        if self.state.suspects.max_company(fingerprint).is_some() {
            return servers.choose_for_suspect(
                &self.call.pool,
                self.call.tier,
                fingerprint,
                &exclude,
            );
        }
        servers.choose(&self.call.pool, self.call.tier, prefix_hash, &exclude)
    }

    fn no_server(&mut self) -> Refusal {
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

    async fn await_start(&mut self) -> Result<Start, Failure> {
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
                    let head = head.ok_or_else(|| self.failure_of_loss())?;
                    return Ok(Start { head, first: data });
                }
                Event::Finish(finish) if finish.outcome() == Outcome::Complete => {
                    let head = head.ok_or_else(|| self.failure_of_loss())?;
                    self.finish(&finish);
                    let first = Bytes::new();
                    return Ok(Start { head, first });
                }
                Event::Finish(finish) => return Err(self.failure_of_finish(&finish)),
                Event::Refused(refused) => return Err(self.failure_of_refused(refused)),
                Event::Lost => return Err(self.failure_of_loss()),
                Event::Expired => return Err(self.failure_of_deadline()),
                Event::OrderAnswer(_) => {}
            }
        }
    }

    async fn next_event(&mut self) -> Event {
        let time_left = self.call.time_left();
        let Some(running) = &mut self.running else {
            return Event::Lost;
        };
        let expired = async {
            Timer::after(time_left).await;
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

    /// Lets the next attempt begin, or returns the refusal that ends the call.
    fn after(&mut self, outcome: AttemptOutcome, refusal: Refusal) -> Result<(), Refusal> {
        if refusal.code.is_final() && outcome == AttemptOutcome::RefusedNotRun {
            return Err(self.with_outcome(refusal));
        }
        let progress = Progress {
            repeatable: self.call.is_repeatable(),
            resumable: self.call.is_resumable(),
            delivered: self.delivered,
            time_left: if self.delivered {
                self.call.time_left()
            } else {
                self.call.wait_left()
            },
            time_needed: ATTEMPT_TIME,
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
                    "gave up a request"
                );
                let outcome = match outcome {
                    FinalOutcome::NotRun => CallerOutcome::NotRun,
                    FinalOutcome::Unknown => CallerOutcome::Unknown,
                };
                Err(Refusal { outcome, ..refusal })
            }
        }
    }

    /// Returns the refusal with the outcome that all attempts so far allow.
    fn with_outcome(&self, refusal: Refusal) -> Refusal {
        if self.retry.may_have_run() {
            refusal.with_unknown_outcome()
        } else {
            refusal
        }
    }

    /// Resumes a stream that has begun on another server, or returns the refusal that ends it.
    fn resume(&mut self, failure: Failure) -> Result<(), Refusal> {
        match failure {
            Failure::Ended { outcome, refusal } => {
                self.after(outcome, refusal.clone())?;
                self.begin_attempt()
                    .map_err(|_| refusal.with_unknown_outcome())
            }
            Failure::OwnedElsewhere(_) => Err(Refusal::new(
                Code::ServerFailed,
                "sidecar refused an order that it had begun to answer",
            )
            .with_unknown_outcome()),
        }
    }

    fn finish(&mut self, finish: &message::Finish) {
        self.complete = true;
        let prompt_tokens = self.call.submit.prompt_tokens;
        let Some(running) = self.running.take() else {
            return;
        };
        let answer = Answer {
            load: finish.load.as_ref().map(load_hint),
            first_token: running
                .first_token_at
                .map(|at| at.duration_since(running.submitted_at)),
            pace: running.pace(&self.call, finish.load.as_ref()),
            prompt_tokens,
        };
        self.state.servers.on_answer(running.chosen, &answer);
        lock(&self.state.retry_budget).on_success(self.call.tier);
    }

    /// Drops the running attempt, which cancels it if it has not ended, and returns its server.
    pub(super) fn end_attempt(&mut self) -> Option<Chosen> {
        self.running.take().map(|running| running.chosen)
    }

    /// Records the time to the first token, or to the whole answer of a service call.
    fn observe_latency(&self) {
        let latency = self.call.received_at.elapsed();
        self.state.metrics.observe_first_answer(
            &self.call.class.name,
            self.call.tier,
            latency,
            self.call.target(),
        );
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if self.complete || self.delivered {
            let result = if self.complete { "complete" } else { "cut" };
            let (class, tier) = (&self.call.class.name, self.call.tier);
            self.state.metrics.count_request(class, tier, result);
            if self.complete && matches!(self.call.kind, Kind::Service) {
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

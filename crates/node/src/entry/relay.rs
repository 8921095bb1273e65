//! Relays one call: chooses servers, retries where the outcome allows it, and resumes cut streams.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::{future, stream};
use tanagerford_caller::class_gate::Place;
use tanagerford_caller::refusal::{Code, Refusal};
use tanagerford_core::ids::ServerId;
use tanagerford_link::message::{self, Outcome};

use crate::attempts::{Attempt, Event};
use crate::links::LinkPool;

use super::call::{Call, Kind};
use super::state::{EntryState, FrameHandler};

/// Largest count of servers that one request tries.
const MAX_ATTEMPTS: usize = 3;

/// Advice when no server of a pool can be reached; links are redialled within this time.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_secs(1);

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
    state: Arc<EntryState>,
    links: Arc<LinkPool<FrameHandler>>,
    call: Call,
    attempt: Option<Attempt>,
    server: Option<ServerId>,
    tried: Vec<ServerId>,
    delivered_tokens: u32,
    complete: bool,
    _place: Place,
}

impl Relay {
    pub(crate) fn new(
        state: Arc<EntryState>,
        links: Arc<LinkPool<FrameHandler>>,
        call: Call,
        place: Place,
    ) -> Self {
        Self {
            state,
            links,
            call,
            attempt: None,
            server: None,
            tried: Vec::new(),
            delivered_tokens: 0,
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
                    self.observe_start();
                    return Ok(start);
                }
                Err(failure) => self.after_failure(failure)?,
            }
        }
    }

    /// Returns the next part of the answer.
    pub(crate) async fn next_step(&mut self) -> Step {
        loop {
            if self.complete {
                return Step::Complete;
            }
            match self.next_event().await {
                Event::Chunk { data, tokens } => {
                    self.delivered_tokens += tokens;
                    return Step::Data(data);
                }
                Event::Finish(finish) if finish.outcome() == Outcome::Complete => self.finish(),
                Event::Accepted | Event::Head(_) => {}
                Event::Finish(finish) => {
                    let failure = self.failure_of_finish(&finish);
                    if let Err(refusal) = self.resume(failure) {
                        return Step::Failed(refusal);
                    }
                }
                Event::Refused(refused) => {
                    let failure = failure_of_refused(&refused);
                    if let Err(refusal) = self.resume(failure) {
                        return Step::Failed(refusal);
                    }
                }
                Event::Lost => {
                    if let Err(refusal) = self.resume(Failure::lost(&self.call)) {
                        return Step::Failed(refusal);
                    }
                }
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
        while self.tried.len() < MAX_ATTEMPTS {
            let targets = self.links.targets();
            let Some(server) = self
                .state
                .servers
                .choose(&targets, &self.call.pool, &self.tried)
            else {
                break;
            };
            self.tried.push(server.clone());
            let submit = self.call.to_submit(self.delivered_tokens);
            let submitted = self.links.get(&server).and_then(|link| {
                let cancel_on_drop = self.call.is_repeatable();
                self.state
                    .attempts
                    .submit(&link, submit, cancel_on_drop)
                    .ok()
            });
            if let Some(attempt) = submitted {
                tracing::debug!(
                    request_id = self.call.request_id,
                    attempt_id = attempt.id(),
                    server,
                    "submitted an attempt"
                );
                self.attempt = Some(attempt);
                self.server = Some(server);
                return Ok(());
            }
            self.state.servers.release(&server);
        }
        let message = format!(
            "no backend server of pool {} can be reached",
            self.call.pool
        );
        Err(Refusal::new(Code::NoServer, message).retry_after(NO_SERVER_RETRY_AFTER))
    }

    async fn await_start(&mut self) -> Result<Start, Failure> {
        let mut head = None;
        loop {
            match self.next_event().await {
                Event::Accepted => {}
                Event::Head(received) => head = Some(received),
                Event::Chunk { data, tokens } => {
                    self.delivered_tokens += tokens;
                    let head = head.ok_or_else(|| Failure::lost(&self.call))?;
                    return Ok(Start { head, first: data });
                }
                Event::Finish(finish) if finish.outcome() == Outcome::Complete => {
                    let head = head.ok_or_else(|| Failure::lost(&self.call))?;
                    self.finish();
                    let first = Bytes::new();
                    return Ok(Start { head, first });
                }
                Event::Finish(finish) => return Err(self.failure_of_finish(&finish)),
                Event::Refused(refused) => return Err(failure_of_refused(&refused)),
                Event::Lost => return Err(Failure::lost(&self.call)),
            }
        }
    }

    async fn next_event(&mut self) -> Event {
        let time_left = self.call.time_left();
        let Some(attempt) = &mut self.attempt else {
            return Event::Lost;
        };
        let expired = async {
            Timer::after(time_left).await;
            Event::Lost
        };
        future::or(attempt.next(), expired).await
    }

    fn failure_of_finish(&self, finish: &message::Finish) -> Failure {
        let message = format!("backend server failed: {}", finish.detail);
        let refusal = Refusal::new(Code::ServerFailed, message).unknown();
        Failure {
            refusal,
            may_retry: self.call.is_repeatable(),
        }
    }

    /// Lets the next attempt begin, or returns the refusal that ends the call.
    fn after_failure(&mut self, failure: Failure) -> Result<(), Refusal> {
        self.end_attempt();
        let may_retry = failure.may_retry && self.tried.len() < MAX_ATTEMPTS;
        if !may_retry || self.call.wait_left().is_zero() {
            return Err(failure.refusal);
        }
        self.state.metrics.retries.inc();
        Ok(())
    }

    /// Resumes a stream that has begun on another server, or returns the refusal that ends it.
    fn resume(&mut self, failure: Failure) -> Result<(), Refusal> {
        self.end_attempt();
        let resumable = matches!(
            self.call.kind,
            Kind::Model {
                resumable: true,
                ..
            }
        );
        if !resumable || self.tried.len() >= MAX_ATTEMPTS {
            return Err(failure.refusal);
        }
        self.state.metrics.resumes.inc();
        self.begin_attempt().map_err(|_| failure.refusal)
    }

    fn finish(&mut self) {
        self.complete = true;
        self.end_attempt();
    }

    fn end_attempt(&mut self) {
        self.attempt = None;
        if let Some(server) = self.server.take() {
            self.state.servers.release(&server);
        }
    }

    fn observe_start(&self) {
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
        let result = if self.complete { "complete" } else { "cut" };
        if self.complete || self.delivered_tokens > 0 {
            let (class, tier) = (&self.call.class.name, self.call.tier);
            self.state.metrics.count_request(class, tier, result);
        }
        self.end_attempt();
    }
}

/// Failure of an attempt.
#[derive(Debug)]
struct Failure {
    refusal: Refusal,
    may_retry: bool,
}

impl Failure {
    /// The link was lost. Whether the attempt ran is unknown, so only a repeatable call may be tried again.
    fn lost(call: &Call) -> Self {
        let refusal = Refusal::new(Code::ServerFailed, "link to the sidecar was lost").unknown();
        Self {
            refusal,
            may_retry: call.is_repeatable(),
        }
    }
}

fn failure_of_refused(refused: &message::Refused) -> Failure {
    let mut refusal = Refusal::new(Code::from_wire(&refused.code), refused.detail.clone());
    if refused.retry_after_ms > 0 {
        refusal = refusal.retry_after(Duration::from_millis(u64::from(refused.retry_after_ms)));
    }
    if refused.unknown {
        refusal = refusal.unknown();
    }
    Failure {
        refusal,
        may_retry: !refused.unknown,
    }
}

//! Passes a stream of events on to its caller, and goes on at another server where the route allows it.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_lite::stream;
use tanagerford_core::dispatch::CallOutcome;
use tanagerford_http::Body;
use tokio::time::timeout;

use crate::attempt::{AttemptError, Attempts, Begun};
use crate::call::{Call, Repeat};
use crate::codec::Codec;
use crate::events::EventSplitter;
use crate::fleet::PoolState;
use crate::gateway::Gateway;

/// Pause between events after which a stream that may be resumed goes on at another server.
const RESUME_AFTER: Duration = Duration::from_millis(800);

pub(crate) struct Relay<C> {
    gateway: Arc<Gateway<C>>,
    call: Arc<Call>,
    pool: Arc<PoolState>,
    attempts: Attempts,
    begun: Begun,
    events: EventSplitter,
    events_sent_bytes: usize,
    /// Time from the request's head to the first event.
    first_event: Option<Duration>,
    /// Time at which the last events were passed on.
    last_sent: Instant,
    longest_pause: Duration,
}

/// Why a stream does not go on at its server.
#[derive(Debug, Clone, Copy)]
enum RelayError {
    Broken,
    Silent,
    Expired,
}

impl RelayError {
    /// Returns the outcome in logs.
    fn name(self) -> &'static str {
        match self {
            Self::Broken => "cut_broken",
            Self::Silent => "cut_silent",
            Self::Expired => "cut_expired",
        }
    }
}

impl<C: Codec> Relay<C> {
    pub(crate) fn new(
        gateway: Arc<Gateway<C>>,
        call: Arc<Call>,
        pool: Arc<PoolState>,
        attempts: Attempts,
        begun: Begun,
    ) -> Self {
        Self {
            events: EventSplitter::after(call.resume_after),
            gateway,
            call,
            pool,
            attempts,
            begun,
            events_sent_bytes: 0,
            first_event: None,
            last_sent: Instant::now(),
            longest_pause: Duration::ZERO,
        }
    }

    pub(crate) fn into_body(self) -> Body {
        Body::streamed(stream::unfold(Some(self), |relay| async {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(data)) => {
                    relay.on_sent(&data);
                    Some((Ok(data), Some(relay)))
                }
                Ok(None) => {
                    let gateway = &relay.gateway;
                    gateway
                        .quarantine
                        .on_success(gateway.fleet.now(), &relay.call);
                    relay.log("answered");
                    None
                }
                Err(error) => {
                    relay.log(error.name());
                    Some((Err(io::Error::from(io::ErrorKind::ConnectionAborted)), None))
                }
            }
        }))
    }

    fn on_sent(&mut self, data: &Bytes) {
        let now = Instant::now();
        self.events_sent_bytes += data.len();
        if self.first_event.is_none() {
            self.first_event = Some(now - self.call.arrived);
        } else {
            let pause = now - self.last_sent;
            self.longest_pause = self.longest_pause.max(pause);
            let server = &self.begun.flight.server.id;
            let at = self.gateway.fleet.now();
            self.pool.beliefs().on_pause(at, server, pause);
        }
        self.last_sent = now;
    }

    fn log(&self, outcome: &str) {
        self.gateway.end(&self.call);
        tracing::info!(
            request = self.call.id,
            route = self.call.route.name,
            workspace = self.call.workspace_name(),
            server = self.begun.flight.server.id,
            outcome,
            sends = self.attempts.tried.len(),
            first_event_ms = self.first_event.map(|time| time.as_millis()),
            longest_pause_ms = self.longest_pause.as_millis(),
            last_event = self.events.last_id(),
            bytes = self.events_sent_bytes,
            total_ms = self.call.arrived.elapsed().as_millis(),
            objective_ms = self.call.route.target_latency.as_millis(),
            pause_limit_ms = self.call.route.pause_limit.map(|limit| limit.as_millis()),
            "stream ended"
        );
    }

    /// Returns the next complete events, or `None` at the end of the stream.
    async fn next(&mut self) -> Result<Option<Bytes>, RelayError> {
        loop {
            match self.next_from_server().await {
                Ok(Some(data)) if data.is_empty() => {}
                Ok(next) => return Ok(next),
                Err(error) => self.resume(error).await?,
            }
        }
    }

    async fn next_from_server(&mut self) -> Result<Option<Bytes>, RelayError> {
        let part = match self.begun.first.take() {
            Some(first) => Some(first),
            None => self.read().await?,
        };
        match part {
            Some(data) => self.events.push(&data).map(Some).map_err(|error| {
                tracing::warn!(
                    request = self.call.id,
                    ?error,
                    "events of a server cannot be used"
                );
                RelayError::Broken
            }),
            None if self.events.has_partial() => Err(RelayError::Broken),
            None => Ok(None),
        }
    }

    async fn read(&mut self) -> Result<Option<Bytes>, RelayError> {
        let remaining = self
            .call
            .deadline()
            .saturating_duration_since(Instant::now());
        let can_resume = self.call.repeat() == Repeat::Resumable;
        // What waits for the own processor is no silence of the server.
        let resume_after = RESUME_AFTER + self.gateway.processor.delay();
        let (wait, error) = if can_resume && resume_after < remaining {
            (resume_after, RelayError::Silent)
        } else {
            (remaining, RelayError::Expired)
        };
        let answer = &mut self.begun.answer;
        match timeout(wait, answer.next_chunk()).await {
            Ok(part) => part.map_err(|_| RelayError::Broken),
            Err(_) => Err(error),
        }
    }

    /// Goes on at another server after the last event that was passed on.
    async fn resume(&mut self, error: RelayError) -> Result<(), RelayError> {
        let server = &self.begun.flight.server.id;
        let (end, attempt_error) = match error {
            RelayError::Expired => return Err(error),
            RelayError::Silent => (CallOutcome::TimedOut, AttemptError::Silent),
            RelayError::Broken => (CallOutcome::Broken, AttemptError::Broken),
        };
        self.pool
            .beliefs()
            .on_outcome(self.gateway.fleet.now(), server, end);
        if matches!(error, RelayError::Broken) {
            let server = &self.begun.flight.server;
            self.gateway.look_for_crash(&self.call, server);
        }
        if self.call.repeat() != Repeat::Resumable {
            return Err(error);
        }
        self.attempts.add_run();
        let pool_name = self.begun.flight.server.pool.clone();
        let mut last = attempt_error;
        self.events.drop_partial();
        loop {
            if !self
                .gateway
                .may_repeat(&self.call, &pool_name, &self.attempts, last)
            {
                return Err(error);
            }
            let after = self.events.last_id();
            let attempt = self
                .gateway
                .attempt(&self.call, &self.pool, &mut self.attempts, after);
            match attempt.await {
                Ok(begun) if begun.answer.head.status().is_success() => {
                    self.begun = begun;
                    return Ok(());
                }
                Err(Some(next)) => last = next,
                Ok(_) | Err(None) => return Err(error),
            }
        }
    }
}

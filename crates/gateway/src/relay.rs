//! Forwards an event stream to the caller, and resumes it at another server if the route allows it.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_lite::stream;
use tanagerford_core::dispatch::CallOutcome;
use tanagerford_http::Body;
use tokio::time::timeout;

use crate::attempt::{AttemptError, Attempts, StartedResponse};
use crate::call::{Call, RetryPolicy};
use crate::codec::Codec;
use crate::events::EventSplitter;
use crate::fleet::PoolState;
use crate::gateway::Gateway;
use crate::metrics::StreamGuard;
use crate::quarantine::ConnectionEnd;
use crate::request_end::RequestEnd;

/// Time without data from the server after which a resumable stream is resumed at another server.
const RESUME_IDLE_TIMEOUT: Duration = Duration::from_millis(800);

/// Event stream from a server to a caller.
pub(crate) struct Relay<C> {
    gateway: Arc<Gateway<C>>,
    call: Arc<Call>,
    pool: Arc<PoolState>,
    attempts: Attempts,
    started: StartedResponse,
    /// Counts the stream among those of its version.
    _guard: StreamGuard,
    events: EventSplitter,
    sent_bytes: usize,
    /// Time from the request's head to the first event.
    first_event_after: Option<Duration>,
    /// Time at which the last events were forwarded.
    last_sent_at: Instant,
    longest_pause: Duration,
}

/// Reason for which a stream cannot continue at its server.
#[derive(Debug, Clone, Copy)]
enum RelayError {
    Broken,
    IdleTimeout,
    Expired,
}

impl RelayError {
    /// Returns the name of the outcome in logs.
    fn name(self) -> &'static str {
        match self {
            Self::Broken => "cut_broken",
            Self::IdleTimeout => "cut_silent",
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
        started: StartedResponse,
    ) -> Self {
        Self {
            events: EventSplitter::after(call.resume_after),
            _guard: gateway
                .metrics
                .count_stream(&started.sent_call.server.version),
            gateway,
            call,
            pool,
            attempts,
            started,
            sent_bytes: 0,
            first_event_after: None,
            last_sent_at: Instant::now(),
            longest_pause: Duration::ZERO,
        }
    }

    pub(crate) fn into_body(self) -> Body {
        Body::streamed(stream::unfold(Some(self), |relay| async {
            let mut relay = relay?;
            match relay.next_events().await {
                Ok(Some(data)) => {
                    relay.on_sent(&data);
                    Some((Ok(data), Some(relay)))
                }
                Ok(None) => {
                    relay.gateway.on_complete_answer(&relay.started);
                    relay.log_end("answered", RequestEnd::StreamComplete);
                    None
                }
                Err(error) => {
                    relay.log_end(error.name(), RequestEnd::Cut(error.name()));
                    Some((Err(io::Error::from(io::ErrorKind::ConnectionAborted)), None))
                }
            }
        }))
    }

    /// Records the time of events that are forwarded to the caller, and the pause before them.
    fn on_sent(&mut self, data: &Bytes) {
        let now = Instant::now();
        self.sent_bytes += data.len();
        if self.first_event_after.is_none() {
            self.first_event_after = Some(now - self.call.arrived);
        } else {
            let pause = now - self.last_sent_at;
            self.longest_pause = self.longest_pause.max(pause);
            let server = &self.started.sent_call.server.id;
            let at = self.gateway.fleet.now();
            self.pool.load_view().on_pause(at, server, pause);
        }
        self.last_sent_at = now;
    }

    fn log_end(&self, outcome: &str, end: RequestEnd) {
        self.gateway.record_end(&self.call, end);
        tracing::info!(
            request = self.call.id,
            route = self.call.route.name,
            workspace = self.call.workspace_name(),
            server = self.started.sent_call.server.id,
            outcome,
            sends = self.attempts.tried_servers.len(),
            first_event_ms = self.first_event_after.map(|time| time.as_millis()),
            longest_pause_ms = self.longest_pause.as_millis(),
            last_event = self.events.last_id(),
            bytes = self.sent_bytes,
            total_ms = self.call.arrived.elapsed().as_millis(),
            objective_ms = self.call.route.target_latency.as_millis(),
            pause_limit_ms = self.call.route.pause_limit.map(|limit| limit.as_millis()),
            "stream ended"
        );
    }

    /// Returns the next complete events, or `None` at the end of the stream. Resumes the stream if its server fails.
    async fn next_events(&mut self) -> Result<Option<Bytes>, RelayError> {
        loop {
            match self.next_from_server().await {
                Ok(Some(data)) if data.is_empty() => {}
                Ok(next) => return Ok(next),
                Err(error) => self.resume(error).await?,
            }
        }
    }

    /// Returns the events that are complete with the server's next chunk, which may be none.
    async fn next_from_server(&mut self) -> Result<Option<Bytes>, RelayError> {
        let chunk = match self.started.first_chunk.take() {
            Some(chunk) => Some(chunk),
            None => self.read_chunk().await?,
        };
        match chunk {
            Some(chunk) => self.events.push(&chunk).map(Some).map_err(|error| {
                tracing::warn!(
                    request = self.call.id,
                    ?error,
                    "invalid event stream from a server"
                );
                RelayError::Broken
            }),
            None if self.events.has_partial() => Err(RelayError::Broken),
            None => Ok(None),
        }
    }

    async fn read_chunk(&mut self) -> Result<Option<Bytes>, RelayError> {
        let remaining = self
            .call
            .deadline()
            .saturating_duration_since(Instant::now());
        let can_resume = self.call.retry_policy() == RetryPolicy::Resumable;
        // The delay of this entry's own processor is added, since the server is not responsible for it.
        let idle_timeout = RESUME_IDLE_TIMEOUT + self.gateway.processor.delay();
        let (wait, error) = if can_resume && idle_timeout < remaining {
            (idle_timeout, RelayError::IdleTimeout)
        } else {
            (remaining, RelayError::Expired)
        };
        let response = &mut self.started.response;
        match timeout(wait, response.next_chunk()).await {
            Ok(Ok(Some(_))) if self.call.is_overdue() => Err(RelayError::Expired),
            Ok(chunk) => chunk.map_err(|_| RelayError::Broken),
            Err(_) => Err(error),
        }
    }

    /// Resumes the stream at another server after the last complete event. Returns `error` if that is not possible.
    async fn resume(&mut self, error: RelayError) -> Result<(), RelayError> {
        let server = &self.started.sent_call.server.id;
        let (outcome, attempt_error) = match error {
            RelayError::Expired => return Err(error),
            RelayError::IdleTimeout => (CallOutcome::TimedOut, AttemptError::TimedOut),
            RelayError::Broken => (CallOutcome::Broken, AttemptError::Broken),
        };
        self.pool
            .load_view()
            .on_outcome(self.gateway.fleet.now(), server, outcome);
        if matches!(error, RelayError::Broken) {
            let sent_call = &self.started.sent_call;
            self.gateway
                .check_for_crash(sent_call, ConnectionEnd::Broken);
        }
        if self.call.retry_policy() != RetryPolicy::Resumable {
            return Err(error);
        }
        self.attempts.record_possible_run();
        let pool_name = self.started.sent_call.server.pool.clone();
        let mut last_error = attempt_error;
        self.events.drop_partial();
        loop {
            if !self
                .gateway
                .allow_retry(&self.call, &pool_name, &self.attempts, last_error)
            {
                return Err(error);
            }
            let now = self.gateway.fleet.now();
            let quarantine = &self.gateway.quarantine;
            if quarantine.quarantined_part(now, &self.call).is_some() {
                return Err(error);
            }
            let after = self.events.last_id();
            let attempt = self
                .gateway
                .attempt(&self.call, &self.pool, &mut self.attempts, after);
            match attempt.await {
                Ok(started) if started.response.head.status().is_success() => {
                    self.started = started;
                    return Ok(());
                }
                Err(Some(error)) => last_error = error,
                Ok(_) | Err(None) => return Err(error),
            }
        }
    }
}

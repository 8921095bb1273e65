//! Forwards an event stream to the caller, and resumes it at another server if the route allows it.

use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_lite::{future, stream};
use http::{StatusCode, header};
use tanagerford_core::dispatch::CallOutcome;
use tanagerford_http::Body;
use tokio::time::{sleep, timeout, timeout_at};

use crate::attempt::{AttemptError, SentCall, StartedResponse};
use crate::call::{Call, RetryPolicy};
use crate::codec::Codec;
use crate::dispatch::Attempts;
use crate::events::EventSplitter;
use crate::fleet::PoolState;
use crate::gateway::Gateway;
use crate::handover::{GivenUp, Overlap};
use crate::metrics::StreamGuard;
use crate::quarantine::ConnectionEnd;
use crate::request_end::RequestEnd;

/// Time without data from the server after which another server is asked to go on with a resumable stream.
const RESUME_IDLE_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval at which other servers are asked again while none may go on with the stream of a silent server.
const TAKE_OVER_INTERVAL: Duration = Duration::from_millis(200);

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
    /// Media type of the stream's first server.
    media_type: String,
    /// Whether the stream was taken over by a server that has sent no event yet.
    awaits_first_event: bool,
    sent_bytes: usize,
    /// Time from the request's head to the first event.
    first_event_after: Option<Duration>,
    /// Time at which the last events were forwarded.
    last_sent_at: Instant,
    longest_pause: Duration,
}

/// First event after a stream's server fell silent.
enum SilenceEnd {
    /// The server goes on, or its connection has ended.
    Own(Result<Option<Bytes>, hyper::Error>),
    /// Another server has worked on the stream for so long that one of the two must end.
    Overlap(GivenUp),
    /// Another server goes on with the stream; `None` if the own one has failed and no other takes over.
    Other(Option<Box<StartedResponse>>),
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
            media_type: media_type(&started),
            awaits_first_event: false,
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
            sends = self.attempts.sends,
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
                Err(RelayError::IdleTimeout) => self.outlast_silence().await?,
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
            Some(chunk) => {
                let events = self.events.push(&chunk).map_err(|error| {
                    tracing::warn!(
                        request = self.call.id,
                        server = self.started.sent_call.server.id,
                        ?error,
                        "invalid event stream from a server"
                    );
                    RelayError::Broken
                })?;
                self.awaits_first_event &= events.is_empty();
                Ok(Some(events))
            }
            None if self.events.has_partial() => Err(RelayError::Broken),
            // The server that took over may know nothing of the stream. The caller can resume it and see for itself.
            None if self.awaits_first_event => Err(RelayError::Broken),
            None => Ok(None),
        }
    }

    async fn read_chunk(&mut self) -> Result<Option<Bytes>, RelayError> {
        let remaining = self
            .call
            .deadline()
            .saturating_duration_since(Instant::now());
        let can_resume = self.call.retry_policy() == RetryPolicy::Resumable;
        // The delay of this entry's own processor and link is added, since the server is not responsible for it.
        let idle_timeout = RESUME_IDLE_TIMEOUT + self.gateway.own_delay();
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

    /// Waits until the silent server goes on or another one goes on in its place, whichever is first. The server is sound
    /// until its connection ends, so it is not given up before.
    async fn outlast_silence(&mut self) -> Result<(), RelayError> {
        self.record_failure(CallOutcome::TimedOut);
        match self.silence_end().await {
            Some(SilenceEnd::Own(Ok(chunk))) => {
                self.on_silence_end(chunk);
                Ok(())
            }
            Some(SilenceEnd::Other(Some(started))) => {
                self.switch_to(*started);
                Ok(())
            }
            Some(SilenceEnd::Own(Err(_)) | SilenceEnd::Overlap(_) | SilenceEnd::Other(None)) => {
                Err(RelayError::Broken)
            }
            None => Err(RelayError::IdleTimeout),
        }
    }

    /// Returns what ends the silence of the stream's server; `None` at the deadline.
    async fn silence_end(&mut self) -> Option<SilenceEnd> {
        let mut pause = Duration::ZERO;
        loop {
            let end = self.silence_or_overlap_end(pause).await?;
            if !matches!(end, SilenceEnd::Overlap(GivenUp::Later)) {
                return Some(end);
            }
            self.attempts.abandon_in_flight();
            pause = TAKE_OVER_INTERVAL;
        }
    }

    /// Returns what ends the silence of the stream's server, or that the one which was asked after it must end; `None` at the
    /// deadline. Others are asked after `pause`.
    async fn silence_or_overlap_end(&mut self, pause: Duration) -> Option<SilenceEnd> {
        let after = self.events.last_id();
        let deadline = self.call.deadline().into();
        let (gateway, call, pool) = (&self.gateway, &self.call, &self.pool);
        let (sent_call, response) = (&self.started.sent_call, &mut self.started.response);
        let (pool_name, attempts) = (&sent_call.server.pool, &mut self.attempts);
        let media_type = &self.media_type;
        let handover = Arc::clone(&attempts.handover);
        handover.clear();
        let own_has_failed = AtomicBool::new(false);
        let mut taking_over = pin!(async {
            sleep(pause).await;
            loop {
                let failure = Some(AttemptError::TimedOut);
                let answer = gateway.try_servers(call, pool, pool_name, attempts, after, failure);
                match answer.await {
                    Ok(started) if can_go_on_with(&started, media_type) => {
                        return Some(Box::new(started));
                    }
                    _ if own_has_failed.load(Ordering::Relaxed) => return None,
                    answer => {
                        // A failure that a server reported was counted before.
                        let has_run = answer.is_ok_and(|unusable| {
                            !unusable.is_server_failure() && !unusable.is_run_counted
                        });
                        attempts.possible_runs += u32::from(has_run);
                        handover.clear();
                        sleep(TAKE_OVER_INTERVAL).await;
                    }
                }
            }
        });
        let own = async { SilenceEnd::Own(response.next_chunk().await) };
        let other = async { SilenceEnd::Other(taking_over.as_mut().await) };
        let overlap = Overlap {
            call: Arc::clone(call),
            earlier: Arc::clone(&sent_call.server),
            handover: Arc::clone(&handover),
        };
        let overlap = async { SilenceEnd::Overlap(gateway.overlap_end(&overlap).await) };
        let first = future::or(own, future::or(other, overlap));
        let mut end = timeout_at(deadline, first).await;
        if let Ok(SilenceEnd::Overlap(GivenUp::Earlier)) = end {
            own_has_failed.store(true, Ordering::Relaxed);
            response.abort();
            end = timeout_at(deadline, taking_over.as_mut())
                .await
                .map(SilenceEnd::Other);
        }
        if let Ok(SilenceEnd::Own(Err(_))) = end {
            own_has_failed.store(true, Ordering::Relaxed);
            record_failure(gateway, sent_call, CallOutcome::Broken);
            end = timeout_at(deadline, taking_over.as_mut())
                .await
                .map(SilenceEnd::Other);
        }
        end.ok()
    }

    /// Goes on with the stream's own server after a silence.
    fn on_silence_end(&mut self, chunk: Option<Bytes>) {
        self.attempts.abandon_in_flight();
        self.started.first_chunk = chunk;
        let now = self.gateway.fleet.now();
        let server = &self.started.sent_call.server.id;
        let outcome = CallOutcome::Answered { slowness: 1.0 };
        self.pool.load_view().on_outcome(now, server, outcome);
    }

    /// Resumes the stream at another server after its server has failed. Returns `error` if that is not possible.
    async fn resume(&mut self, error: RelayError) -> Result<(), RelayError> {
        if matches!(error, RelayError::Expired) {
            return Err(error);
        }
        self.record_failure(CallOutcome::Broken);
        if self.call.retry_policy() != RetryPolicy::Resumable {
            return Err(error);
        }
        // The connection of a server that sent no valid event is still open. It ends before the next server gets the request,
        // so that not both work on the stream.
        self.started.response.abort();
        let after = self.events.last_id();
        let pool_name = &self.started.sent_call.server.pool;
        let answer = self.gateway.try_servers(
            &self.call,
            &self.pool,
            pool_name,
            &mut self.attempts,
            after,
            Some(AttemptError::Broken),
        );
        match answer.await {
            Ok(started) if can_go_on_with(&started, &self.media_type) => {
                self.switch_to(started);
                Ok(())
            }
            _ => Err(error),
        }
    }

    /// Records that the server of the stream failed or fell silent.
    fn record_failure(&mut self, outcome: CallOutcome) {
        record_failure(&self.gateway, &self.started.sent_call, outcome);
        if !self.started.is_run_counted {
            self.started.is_run_counted = true;
            self.attempts.record_possible_run();
        }
    }

    /// Goes on with the stream at another server after the last complete event.
    fn switch_to(&mut self, started: StartedResponse) {
        self.events.drop_partial();
        self.awaits_first_event = true;
        self.started = started;
    }
}

/// Returns the media type of a response without parameters, in lower case; empty if it names none.
fn media_type(started: &StartedResponse) -> String {
    let value = started.response.head.headers().get(header::CONTENT_TYPE);
    let text = value.and_then(|value| value.to_str().ok()).unwrap_or("");
    let (essence, _) = text.split_once(';').unwrap_or((text, ""));
    essence.trim().to_ascii_lowercase()
}

/// Returns whether a response can go on with a stream of this media type. One without an event cannot: its server may know
/// nothing of the stream.
fn can_go_on_with(started: &StartedResponse, stream_type: &str) -> bool {
    started.response.head.status() == StatusCode::OK
        && media_type(started) == stream_type
        && started.first_chunk.is_some()
}

/// Records the failure or silence of a stream's server in its health, and checks whether a failed server has crashed.
fn record_failure<C: Codec>(gateway: &Arc<Gateway<C>>, sent_call: &SentCall, outcome: CallOutcome) {
    let mut load_view = sent_call.pool.load_view();
    load_view.on_outcome(gateway.fleet.now(), &sent_call.server.id, outcome);
    drop(load_view);
    if outcome == CallOutcome::Broken {
        gateway.check_for_crash(sent_call, ConnectionEnd::Broken);
    }
}

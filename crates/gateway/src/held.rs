//! Answers that are no streams of events: held until they are whole, or passed on when they are long.

use std::io;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use futures_lite::{StreamExt, stream};
use tanagerford_core::dispatch::CallOutcome;
use tanagerford_http::Body;
use tokio::time::timeout;

use crate::attempt::Begun;
use crate::call::Call;
use crate::codec::Codec;
use crate::gateway::Gateway;
use crate::refusal::Refusal;

/// Answer that is no stream of events.
pub(crate) struct HeldAnswer<C> {
    gateway: Arc<Gateway<C>>,
    call: Arc<Call>,
    begun: Begun,
    /// Size of the body so far.
    bytes: usize,
}

impl<C: Codec> HeldAnswer<C> {
    pub(crate) fn new(gateway: Arc<Gateway<C>>, call: Arc<Call>, begun: Begun) -> Self {
        Self {
            gateway,
            call,
            begun,
            bytes: 0,
        }
    }

    /// Returns the next part of the body.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, Refusal> {
        if let Some(first) = self.begun.first.take() {
            self.bytes += first.len();
            return Ok(Some(first));
        }
        let deadline = self.call.deadline();
        let remaining = deadline.saturating_duration_since(Instant::now());
        let answer = &mut self.begun.answer;
        let part = match timeout(remaining, answer.next_chunk()).await {
            Ok(part) => part.map_err(|_| Refusal::ServerFailed),
            Err(_) => Err(Refusal::TimedOut),
        };
        match &part {
            Ok(Some(data)) => self.bytes += data.len(),
            Ok(None) => self.on_whole(),
            Err(_) => self.record(CallOutcome::Broken),
        }
        part
    }

    fn on_whole(&self) {
        self.gateway.end(&self.call);
        let status = self.begun.answer.head.status();
        self.gateway
            .quarantine
            .on_success(self.gateway.fleet.now(), &self.call);
        tracing::info!(
            request = self.call.id,
            route = self.call.route.name,
            workspace = self.call.workspace_name(),
            server = self.begun.flight.server.id,
            status = status.as_u16(),
            bytes = self.bytes,
            total_ms = self.call.arrived.elapsed().as_millis(),
            objective_ms = self.call.route.target_latency.as_millis(),
            "answered"
        );
    }

    fn record(&self, end: CallOutcome) {
        let flight = &self.begun.flight;
        let now = self.gateway.fleet.now();
        flight
            .pool
            .beliefs()
            .on_outcome(now, &flight.server.id, end);
    }

    /// Passes on what was held and then each part as it arrives.
    pub(crate) fn into_body(self, held: Bytes) -> Body {
        let rest = stream::unfold(Some(self), |answer| async {
            let mut answer = answer?;
            match answer.next().await {
                Ok(Some(part)) => Some((Ok(part), Some(answer))),
                Ok(None) => None,
                Err(refusal) => {
                    tracing::warn!(
                        request = answer.call.id,
                        server = answer.begun.flight.server.id,
                        reason = refusal.name(),
                        "answer is cut"
                    );
                    answer.gateway.end(&answer.call);
                    Some((Err(io::ErrorKind::ConnectionAborted.into()), None))
                }
            }
        });
        Body::streamed(stream::once(Ok(held)).chain(rest))
    }
}

//! Responses that are not event streams: buffered until they are complete, or forwarded when they are long.

use std::io;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use futures_lite::{StreamExt, stream};
use tanagerford_core::dispatch::CallOutcome;
use tanagerford_http::Body;
use tokio::time::timeout;

use crate::attempt::StartedResponse;
use crate::call::Call;
use crate::codec::Codec;
use crate::gateway::Gateway;
use crate::refusal::Refusal;
use crate::request_end::RequestEnd;

/// Target of this module's log lines. Operators' filters match it, so it is independent of the module's name.
const LOG_TARGET: &str = "tanagerford_gateway::held";

/// Response that is not an event stream.
pub(crate) struct BufferedResponse<C> {
    gateway: Arc<Gateway<C>>,
    call: Arc<Call>,
    started: StartedResponse,
    received_bytes: usize,
}

impl<C: Codec> BufferedResponse<C> {
    pub(crate) fn new(gateway: Arc<Gateway<C>>, call: Arc<Call>, started: StartedResponse) -> Self {
        Self {
            gateway,
            call,
            started,
            received_bytes: 0,
        }
    }

    /// Returns the next chunk of the body, or `None` at its end.
    pub(crate) async fn next_chunk(&mut self) -> Result<Option<Bytes>, Refusal> {
        if let Some(chunk) = self.started.first_chunk.take() {
            self.received_bytes += chunk.len();
            return Ok(Some(chunk));
        }
        let deadline = self.call.deadline();
        let remaining = deadline.saturating_duration_since(Instant::now());
        let response = &mut self.started.response;
        let result = match timeout(remaining, response.next_chunk()).await {
            Ok(Ok(Some(_))) if self.call.is_overdue() => Err(Refusal::TimedOut),
            Ok(chunk) => chunk.map_err(|_| Refusal::ServerFailed),
            Err(_) => Err(Refusal::TimedOut),
        };
        match &result {
            Ok(Some(chunk)) => self.received_bytes += chunk.len(),
            Ok(None) => self.on_complete(),
            Err(_) => self.record_outcome(CallOutcome::Broken),
        }
        result
    }

    fn on_complete(&self) {
        self.gateway.record_end(&self.call, RequestEnd::Answered);
        let status = self.started.response.head.status();
        self.gateway.on_complete_answer(&self.started);
        tracing::info!(
            target: LOG_TARGET,
            request = self.call.id,
            route = self.call.route.name,
            workspace = self.call.workspace_name(),
            server = self.started.sent_call.server.id,
            status = status.as_u16(),
            bytes = self.received_bytes,
            total_ms = self.call.arrived.elapsed().as_millis(),
            objective_ms = self.call.route.target_latency.as_millis(),
            "answered"
        );
    }

    fn record_outcome(&self, outcome: CallOutcome) {
        let sent_call = &self.started.sent_call;
        let now = self.gateway.fleet.now();
        sent_call
            .pool
            .load_view()
            .on_outcome(now, &sent_call.server.id, outcome);
    }

    /// Converts into a body of the buffered bytes and each further chunk as it arrives.
    pub(crate) fn into_body(self, buffered: Bytes) -> Body {
        let rest = stream::unfold(Some(self), |response| async {
            let mut response = response?;
            match response.next_chunk().await {
                Ok(Some(chunk)) => Some((Ok(chunk), Some(response))),
                Ok(None) => None,
                Err(refusal) => {
                    tracing::warn!(
                        target: LOG_TARGET,
                        request = response.call.id,
                        server = response.started.sent_call.server.id,
                        reason = refusal.name(),
                        "answer is cut"
                    );
                    let end = RequestEnd::Cut(refusal.name());
                    response.gateway.record_end(&response.call, end);
                    Some((Err(io::ErrorKind::ConnectionAborted.into()), None))
                }
            }
        });
        Body::streamed(stream::once(Ok(buffered)).chain(rest))
    }
}

//! Runs model requests on the engine.

use std::sync::Arc;

use tanagerford_engine::{EngineClient, EngineError, EngineStream, Event, Generate};
use tanagerford_link::message::{self, Outcome, frame};

use super::state::{SidecarState, Work};

/// Status of a full engine.
const TOO_MANY_REQUESTS: u16 = 429;

/// Advice to come back when the engine is full or cannot be reached.
const RETRY_AFTER_MS: u32 = 250;

/// Runs one request and sends its answer to the entry.
pub(crate) fn run(state: &SidecarState, engine: &Arc<EngineClient>, work: &Arc<Work>) {
    let (agent, cancel) = engine.reserve();
    if !state.set_cancel(work.id, cancel) {
        return;
    }
    work.send(frame::Body::Accepted(message::Accepted {
        attempt_id: work.submit.attempt_id,
    }));
    tracing::info!(
        request_id = work.submit.request_id,
        "handed a request to the engine"
    );
    match engine.generate(agent, &generate_request(work)) {
        Ok(stream) => relay(state, engine, work, stream),
        Err(EngineError::Unreachable) => {
            work.refuse(
                "server_failed",
                "cannot connect to the engine",
                RETRY_AFTER_MS,
            );
        }
        Err(EngineError::Refused { status, body }) => refused(work, status, &body),
        Err(error) => fail(state, engine, work, 0, &error),
    }
}

fn generate_request(work: &Work) -> Generate {
    Generate {
        path: work.submit.path.clone(),
        request_id: work.submit.request_id.clone(),
        body: work.submit.body.clone(),
        priority: u8::try_from(work.submit.tier).unwrap_or(u8::MAX),
        resume_from_tokens: work.submit.resume_tokens,
        timeout: work.time_left(),
    }
}

fn relay(state: &SidecarState, engine: &Arc<EngineClient>, work: &Work, mut stream: EngineStream) {
    send_head(work, 200, "text/event-stream");
    let mut chunks = 0;
    let mut tokens = 0;
    loop {
        match stream.next_event() {
            Ok(Some(event)) => {
                let in_event = u32::from(!event.is_done());
                tokens += u64::from(in_event);
                send_chunk(work, chunks, event, in_event);
                chunks += 1;
            }
            Ok(None) => {
                stream.finish();
                state.metrics.tokens.inc_by(tokens);
                work.finish(chunks, Outcome::Complete, "");
                tracing::info!(
                    request_id = work.submit.request_id,
                    tokens,
                    "request is complete"
                );
                return;
            }
            Err(_) if work.cancelled.is_raised() => {
                state.metrics.count_waste("cancelled", tokens);
                work.finish(chunks, Outcome::Cancelled, "caller disconnected");
                return;
            }
            Err(error) => {
                state.metrics.count_waste("failed", tokens);
                return fail(state, engine, work, chunks, &error);
            }
        }
    }
}

fn refused(work: &Work, status: u16, body: &str) {
    if status == TOO_MANY_REQUESTS || status >= 500 {
        let detail = format!("engine refused the request with status {status}");
        work.refuse("overloaded", &detail, RETRY_AFTER_MS);
        return;
    }
    send_head(work, status, "application/json");
    let event = Event {
        raw: body.as_bytes().to_vec(),
        data: Vec::new(),
    };
    send_chunk(work, 0, event, 0);
    work.finish(1, Outcome::Complete, "");
}

fn fail(
    state: &SidecarState,
    engine: &EngineClient,
    work: &Work,
    chunks: u64,
    error: &EngineError,
) {
    let outcome = if engine.is_healthy() {
        Outcome::Failed
    } else {
        state.metrics.crashes.inc();
        Outcome::Crashed
    };
    tracing::warn!(
        request_id = work.submit.request_id,
        %error,
        outcome = outcome.as_str_name(),
        "engine did not finish a request"
    );
    work.finish(chunks, outcome, &error.to_string());
}

fn send_head(work: &Work, status: u16, content_type: &str) {
    work.send(frame::Body::Head(message::Head {
        attempt_id: work.submit.attempt_id,
        status: u32::from(status),
        headers: vec![message::Header {
            name: "content-type".to_owned(),
            value: content_type.as_bytes().to_vec(),
        }],
    }));
}

fn send_chunk(work: &Work, sequence: u64, event: Event, tokens: u32) {
    work.send(frame::Body::Chunk(message::Chunk {
        attempt_id: work.submit.attempt_id,
        sequence,
        data: event.raw,
        tokens,
    }));
}

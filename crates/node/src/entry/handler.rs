//! HTTP handler of the callers' listener.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderName, HeaderValue, Method, StatusCode, header};
use tanagerford_caller::class_gate::ClassPermit;
use tanagerford_caller::headers;
use tanagerford_caller::openai::{self, Assembler, Interface};
use tanagerford_caller::refusal::{Code, Refusal};
use tanagerford_core::suspect::Verdict;
use tanagerford_http::{Body, Handler, Reply, Request};
use tanagerford_link::message;

use crate::links::LinkPool;

use super::call::{self, Call, CallKind};
use super::relay::{Relay, ResponseStart, ResponseStep};
use super::state::{EntryState, FrameHandler};

/// Value of `Retry-After` while the entry has no configuration. It requests one from the key-value service and its
/// peers twice a second.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Value of `Retry-After` when the concurrency limit of a class is reached.
const CLASS_FULL_RETRY_AFTER: Duration = Duration::from_millis(250);

pub(crate) struct CallerHandler {
    state: Arc<EntryState>,
    links: Arc<LinkPool<FrameHandler>>,
}

impl CallerHandler {
    pub(crate) fn new(state: Arc<EntryState>, links: Arc<LinkPool<FrameHandler>>) -> Self {
        Self { state, links }
    }

    async fn respond(&self, request: Request, request_id: &str) -> Result<Reply, Refusal> {
        let configuration = self.state.configuration();
        if configuration.generation() == 0 {
            let text = "the entry has no configuration yet";
            return Err(Refusal::new(Code::NotReady, text).retry_after(NOT_READY_RETRY_AFTER));
        }
        let path = request.uri.path();
        if request.method == Method::GET && path == "/v1/models" {
            call::authenticate(&configuration, &request.headers)?;
            let models = &configuration.configuration().models;
            let names = models.iter().map(|model| model.name.clone());
            return Ok(json_reply(openai::model_list(names)));
        }
        let call = match Interface::of_path(path) {
            Some(interface) if request.method == Method::POST => {
                call::prepare_model(&configuration, &request, interface, request_id.to_owned())?
            }
            Some(_) => return Err(Refusal::new(Code::NotFound, "this path takes POST only")),
            None => call::prepare_service(&configuration, &request, request_id.to_owned())?,
        };
        self.run_call(call).await
    }

    async fn run_call(&self, call: Call) -> Result<Reply, Refusal> {
        let (class, tier) = (call.class.name.clone(), call.tier);
        let result = match self.admit(&call) {
            Ok(permit) => {
                let (state, links) = (Arc::clone(&self.state), Arc::clone(&self.links));
                relay_response(Relay::new(state, links, call, permit)).await
            }
            Err(refusal) => Err(refusal),
        };
        if let Err(refusal) = &result {
            let code = refusal.code.as_str();
            self.state.metrics.count_request(&class, tier, code);
        }
        result
    }

    /// Admits a call unless it is quarantined or the concurrency limit of its class is reached.
    fn admit(&self, call: &Call) -> Result<ClassPermit, Refusal> {
        if self.state.suspects.verdict(call.submit.fingerprint) == Verdict::Refuse {
            let text = "the request crashed backend servers";
            return Err(Refusal::new(Code::Quarantined, text));
        }
        let class = &call.class;
        let gate = &self.state.class_gate;
        let permit = gate.try_acquire(&class.name, call.tier, class.max_in_flight);
        permit.ok_or_else(|| {
            let text = format!("class {} has no place left at this entry", class.name);
            Refusal::new(Code::ClassFull, text).retry_after(CLASS_FULL_RETRY_AFTER)
        })
    }
}

impl Handler for CallerHandler {
    async fn handle(&self, request: Request) -> Reply {
        let request_id = headers::text(&request.headers, headers::REQUEST_ID)
            .map_or_else(|| self.state.new_request_id(), str::to_owned);
        let mut reply = match self.respond(request, &request_id).await {
            Ok(reply) => reply,
            Err(refusal) => {
                tracing::info!(
                    request_id,
                    code = refusal.code.as_str(),
                    "refused a request"
                );
                refusal.to_reply(&request_id)
            }
        };
        if let Ok(value) = HeaderValue::from_str(&request_id) {
            reply.headers_mut().insert(headers::REQUEST_ID, value);
        }
        if self.state.draining.is_raised() {
            let close = HeaderValue::from_static("close");
            reply.headers_mut().insert(header::CONNECTION, close);
        }
        reply
    }

    fn rejected(&self, status: StatusCode) -> Reply {
        let code = match status {
            StatusCode::PAYLOAD_TOO_LARGE => Code::BodyTooLarge,
            StatusCode::REQUEST_TIMEOUT => Code::RequestTimeout,
            _ => Code::InvalidRequest,
        };
        let request_id = self.state.new_request_id();
        Refusal::new(code, "the body could not be read").to_reply(&request_id)
    }
}

async fn relay_response(mut relay: Relay) -> Result<Reply, Refusal> {
    let start = relay.start().await?;
    match &relay.call().kind {
        CallKind::Model { request, .. } if request.stream => Ok(stream_reply(relay, start)),
        CallKind::Model { request, .. } => {
            let (interface, model) = (request.interface, request.model.clone());
            let prompt_tokens = request.prompt_tokens;
            assemble_reply(relay, start, interface, &model, prompt_tokens).await
        }
        CallKind::Service => Ok(stream_reply(relay, start)),
    }
}

/// Returns a reply that streams the response. A failure aborts the transfer, so that the caller does not mistake a
/// truncated response for a complete one.
fn stream_reply(relay: Relay, start: ResponseStart) -> Reply {
    let mut reply = Reply::new(Body::full(""));
    copy_head(&start.head, &mut reply);
    *reply.body_mut() = Body::streamed(relay.into_body_stream(start.first_chunk));
    reply
}

/// Returns the reply to a model request without streaming, assembled from the events of the whole response.
async fn assemble_reply(
    mut relay: Relay,
    start: ResponseStart,
    interface: Interface,
    model: &str,
    prompt_tokens: u32,
) -> Result<Reply, Refusal> {
    if start.head.status != u32::from(StatusCode::OK.as_u16()) {
        return Ok(stream_reply(relay, start));
    }
    let mut assembler = Assembler::default();
    add_events(&mut assembler, &start.first_chunk);
    loop {
        match relay.next_step().await {
            ResponseStep::Data(data) => add_events(&mut assembler, &data),
            ResponseStep::Complete => break,
            ResponseStep::Failed(refusal) => return Err(refusal),
        }
    }
    Ok(json_reply(assembler.finish(
        interface,
        model,
        prompt_tokens,
    )))
}

fn add_events(assembler: &mut Assembler, raw: &[u8]) {
    for line in raw.split(|byte| *byte == b'\n') {
        if let Some(data) = line.strip_prefix(b"data:") {
            assembler.add(data);
        }
    }
}

fn copy_head(head: &message::Head, reply: &mut Reply) {
    let status = u16::try_from(head.status).unwrap_or(502);
    *reply.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    for message::Header { name, value } in &head.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            reply.headers_mut().append(name, value);
        }
    }
}

fn json_reply(json: String) -> Reply {
    let mut reply = Reply::new(Body::full(json));
    let json_type = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(header::CONTENT_TYPE, json_type);
    reply
}

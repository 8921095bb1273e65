//! Validation of a caller's request and its conversion to a [`Call`], from which attempts are built.

use std::time::{Duration, Instant};

use http::{HeaderMap, Method};
use sha2::{Digest, Sha256};
use tanagerford_caller::headers;
use tanagerford_caller::openai::{self, Interface, ModelRequest};
use tanagerford_caller::refusal::{Code, Refusal};
use tanagerford_core::config::active::{ActiveConfiguration, Customer};
use tanagerford_core::config::{Class, LatencyTarget};
use tanagerford_core::ids::{PoolId, TierId};
use tanagerford_core::order::{OrderKey, body_digest};
use tanagerford_http::Request;
use tanagerford_link::message::{self, Submit};
use xxhash_rust::xxh3::xxh3_64;

use crate::wire::milliseconds;

/// Limit of generated tokens for a request that does not set one.
const DEFAULT_MAX_TOKENS: u32 = 1_024;

/// Time limit of a call from its receipt to the end of its response.
const CALL_TIMEOUT: Duration = Duration::from_mins(10);

/// Number of kinds of service calls that the straggler detection distinguishes; see [`Call::class_kind`].
const CLASS_KIND_COUNT: usize = 8;

/// Kind of a call.
#[derive(Debug)]
pub(crate) enum CallKind {
    /// Request to a model.
    Model {
        request: ModelRequest,
        /// Whether another engine can continue the response after a part of it was delivered.
        resumable: bool,
    },
    /// Call to a plain service.
    Service,
}

/// A validated call of a caller.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) request_id: String,
    pub(crate) class: Class,
    pub(crate) tier: TierId,
    /// Key of an order, which must not be repeated; `None` for repeatable calls.
    pub(crate) order_key: Option<OrderKey>,
    /// Number below 8 that identifies the class in the straggler detection. Classes may share a number.
    pub(crate) class_kind: u8,
    pub(crate) pool: PoolId,
    pub(crate) kind: CallKind,
    pub(crate) received_at: Instant,
    /// Template of the message that submits an attempt; fields that differ between attempts are unset.
    pub(crate) submit: Submit,
}

impl Call {
    /// Returns the latency target of the first token, or of the complete response for a service call.
    pub(crate) fn latency_target(&self) -> Duration {
        match self.class.target {
            LatencyTarget::Tokens { first_token_ms, .. } => Duration::from_millis(first_token_ms),
            LatencyTarget::Call { total_ms } => Duration::from_millis(total_ms),
        }
    }

    /// Returns the remaining time in which the call may wait to start.
    pub(crate) fn remaining_wait(&self) -> Duration {
        Duration::from_millis(self.class.longest_wait_ms).saturating_sub(self.received_at.elapsed())
    }

    /// Returns the wait limit at a server while others remain to be tried. It is a quarter of the latency target, so
    /// that another server can still meet the target.
    pub(crate) fn short_wait(&self) -> Duration {
        (self.latency_target() / 4).min(self.remaining_wait())
    }

    /// Returns the remaining time until the time limit of the call.
    pub(crate) fn remaining_time(&self) -> Duration {
        CALL_TIMEOUT.saturating_sub(self.received_at.elapsed())
    }

    /// Returns whether the call may be executed more than once.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.order_key.is_none()
    }

    /// Returns whether another engine can continue the response after a part of it was delivered.
    pub(crate) fn is_resumable(&self) -> bool {
        matches!(
            self.kind,
            CallKind::Model {
                resumable: true,
                ..
            }
        )
    }

    /// Returns the message that submits an attempt. The sidecar refuses it if it cannot start within `wait_limit`. The
    /// response continues after the first `resume_tokens` tokens, which were already delivered.
    pub(crate) fn to_submit(&self, resume_tokens: u32, wait_limit: Duration) -> Submit {
        Submit {
            wait_limit_ms: milliseconds(wait_limit),
            deadline_ms: milliseconds(self.remaining_time()),
            resume_tokens,
            ..self.submit.clone()
        }
    }
}

/// Returns the customer whose API key the headers contain.
pub(crate) fn authenticate<'config>(
    configuration: &'config ActiveConfiguration,
    headers: &HeaderMap,
) -> Result<Customer<'config>, Refusal> {
    let key = headers::api_key(headers);
    let customer = key.and_then(|key| configuration.customer_by_key(&Sha256::digest(key).into()));
    customer.ok_or_else(|| Refusal::new(Code::Unauthorized, "API key is missing or unknown"))
}

/// Validates a model request.
pub(crate) fn prepare_model(
    configuration: &ActiveConfiguration,
    request: &Request,
    interface: Interface,
    request_id: String,
) -> Result<Call, Refusal> {
    let customer = authenticate(configuration, &request.headers)?;
    let parsed = openai::parse(interface, &request.body)?;
    let model = configuration.model(&parsed.model).ok_or_else(|| {
        Refusal::new(
            Code::UnknownModel,
            format!("model {} is not configured", parsed.model),
        )
    })?;
    let class = requested_class(configuration, &request.headers, &model.class)?;
    let submit = Submit {
        request_id: request_id.clone(),
        workspace: customer.workspace.to_owned(),
        tier: u32::from(customer.tier),
        class: class.name.clone(),
        prefix_hash: xxh3_64(&parsed.prefix),
        fingerprint: fingerprint(customer.workspace, &request.body),
        method: Method::POST.to_string(),
        path: interface.path().to_owned(),
        body: parsed.engine_body.clone(),
        model: parsed.model.clone(),
        prompt_tokens: parsed.prompt_tokens,
        max_tokens: parsed.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        resumable: model.resumable,
        stream: parsed.stream,
        ..Submit::default()
    };
    Ok(Call {
        request_id,
        class: class.clone(),
        tier: customer.tier,
        order_key: None,
        class_kind: class_kind(configuration, &class.name),
        pool: model.pool.clone(),
        kind: CallKind::Model {
            request: parsed,
            resumable: model.resumable,
        },
        received_at: Instant::now(),
        submit,
    })
}

/// Validates a call to a plain service.
pub(crate) fn prepare_service(
    configuration: &ActiveConfiguration,
    request: &Request,
    request_id: String,
) -> Result<Call, Refusal> {
    let customer = authenticate(configuration, &request.headers)?;
    let (name, path) = split_path(request);
    let method = request.method.as_str();
    let service_call = configuration
        .service_call(name, method, &path)
        .ok_or_else(|| Refusal::new(Code::NotFound, format!("no service is called {name:?}")))?;
    let class = requested_class(configuration, &request.headers, &service_call.class.name)?;
    let order_key = if service_call.repeatable {
        None
    } else {
        Some(order_key(customer.workspace, &request.headers)?)
    };
    let key_bytes = order_key.map_or_else(Vec::new, |key| key.as_bytes().to_vec());
    let submit = Submit {
        request_id: request_id.clone(),
        workspace: customer.workspace.to_owned(),
        tier: u32::from(customer.tier),
        class: class.name.clone(),
        fingerprint: fingerprint(customer.workspace, &request.body),
        order_key: key_bytes,
        method: method.to_owned(),
        body_digest: body_digest(method, &path, &request.body),
        path,
        headers: forwarded_headers(&request.headers),
        body: request.body.to_vec(),
        ..Submit::default()
    };
    Ok(Call {
        request_id,
        class: class.clone(),
        tier: customer.tier,
        order_key,
        class_kind: class_kind(configuration, &class.name),
        pool: service_call.service.pool.clone(),
        kind: CallKind::Service,
        received_at: Instant::now(),
        submit,
    })
}

/// Splits a request target into the name of the service and the path and query to forward to it.
fn split_path(request: &Request) -> (&str, String) {
    let target = request.uri.path_and_query();
    let target = target.map_or("/", |target| target.as_str());
    let rest = target.trim_start_matches('/');
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, path) = rest.split_at(end);
    if path.starts_with('/') {
        (name, path.to_owned())
    } else {
        (name, format!("/{path}"))
    }
}

/// Returns the class that the headers name, or the class named `default`.
fn requested_class<'config>(
    configuration: &'config ActiveConfiguration,
    headers: &HeaderMap,
    default: &str,
) -> Result<&'config Class, Refusal> {
    let name = headers::text(headers, headers::CLASS).unwrap_or(default);
    configuration.class(name).ok_or_else(|| {
        Refusal::new(
            Code::UnknownClass,
            format!("class {name:?} is not configured"),
        )
    })
}

fn order_key(workspace: &str, headers: &HeaderMap) -> Result<OrderKey, Refusal> {
    let key = headers::text(headers, headers::IDEMPOTENCY_KEY).ok_or_else(|| {
        Refusal::new(
            Code::IdempotencyKeyRequired,
            "this call must not be repeated and needs an Idempotency-Key of at most 255 bytes",
        )
    })?;
    Ok(OrderKey::new(workspace, key))
}

/// Returns the position of a class, modulo [`CLASS_KIND_COUNT`].
fn class_kind(configuration: &ActiveConfiguration, class: &str) -> u8 {
    let classes = &configuration.configuration().classes;
    let position = classes.iter().position(|known| known.name == class);
    u8::try_from(position.unwrap_or(0) % CLASS_KIND_COUNT).unwrap_or(0)
}

/// Returns the hash that identifies repetitions of a request within its workspace.
fn fingerprint(workspace: &str, body: &[u8]) -> u64 {
    xxh3_64(body) ^ xxh3_64(workspace.as_bytes()).rotate_left(1)
}

/// Headers that address the router and are not forwarded to a service.
const UNFORWARDED_HEADERS: [&str; 2] = ["authorization", headers::CLASS];

fn forwarded_headers(headers: &HeaderMap) -> Vec<message::Header> {
    headers
        .iter()
        .filter(|(name, _)| !UNFORWARDED_HEADERS.contains(&name.as_str()))
        .map(|(name, value)| message::Header {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

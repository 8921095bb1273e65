//! Call of a caller, prepared for its attempts.

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

/// Tokens of an answer whose request names no limit.
const DEFAULT_MAX_TOKENS: u32 = 1_024;

/// Longest time of a whole call, after which the entry gives up.
const CALL_TIMEOUT: Duration = Duration::from_mins(10);

/// Kinds of calls whose speeds are kept apart.
const CLASS_KINDS: usize = 8;

/// What kind of answer a call gets.
#[derive(Debug)]
pub(crate) enum Kind {
    /// Answer of a model.
    Model {
        request: ModelRequest,
        resumable: bool,
    },
    /// Answer of a plain service.
    Service,
}

/// Prepared call.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) request_id: String,
    pub(crate) class: Class,
    pub(crate) tier: TierId,
    /// Key of an order; `None` for calls that may be repeated.
    pub(crate) order_key: Option<OrderKey>,
    /// Number of the class among the calls whose speeds are compared.
    pub(crate) class_kind: u8,
    pub(crate) pool: PoolId,
    pub(crate) kind: Kind,
    pub(crate) received_at: Instant,
    pub(crate) submit: Submit,
}

impl Call {
    /// Returns the latency target of the first token, or of the whole answer of a service call.
    pub(crate) fn target(&self) -> Duration {
        match self.class.target {
            LatencyTarget::Tokens { first_token_ms, .. } => Duration::from_millis(first_token_ms),
            LatencyTarget::Call { total_ms } => Duration::from_millis(total_ms),
        }
    }

    /// Returns the time left until the call must have started.
    pub(crate) fn wait_left(&self) -> Duration {
        Duration::from_millis(self.class.longest_wait_ms).saturating_sub(self.received_at.elapsed())
    }

    /// Returns the longest wait at a server while others remain to be tried: a quarter of the first-token target, so that
    /// the target can still be met elsewhere.
    pub(crate) fn short_wait(&self) -> Duration {
        (self.target() / 4).min(self.wait_left())
    }

    /// Returns the time left until the entry gives up on the whole call.
    pub(crate) fn time_left(&self) -> Duration {
        CALL_TIMEOUT.saturating_sub(self.received_at.elapsed())
    }

    /// Returns whether the call may run more than once.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.order_key.is_none()
    }

    /// Returns whether another engine can resume the answer.
    pub(crate) fn is_resumable(&self) -> bool {
        matches!(
            self.kind,
            Kind::Model {
                resumable: true,
                ..
            }
        )
    }

    /// Returns the message that asks a sidecar to run the call and to refuse it if it cannot start within `wait_limit`.
    pub(crate) fn to_submit(&self, resume_tokens: u32, wait_limit: Duration) -> Submit {
        Submit {
            wait_limit_ms: milliseconds(wait_limit),
            deadline_ms: milliseconds(self.time_left()),
            resume_tokens,
            ..self.submit.clone()
        }
    }
}

/// Finds the customer of an API key.
pub(crate) fn authenticate<'config>(
    configuration: &'config ActiveConfiguration,
    headers: &HeaderMap,
) -> Result<Customer<'config>, Refusal> {
    let key = headers::api_key(headers);
    let customer = key.and_then(|key| configuration.customer_by_key(&Sha256::digest(key).into()));
    customer.ok_or_else(|| Refusal::new(Code::Unauthorized, "API key is missing or unknown"))
}

/// Prepares a model request.
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
    let class = class_of(configuration, &request.headers, &model.class)?;
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
        kind: Kind::Model {
            request: parsed,
            resumable: model.resumable,
        },
        received_at: Instant::now(),
        submit,
    })
}

/// Prepares a call of a plain service.
pub(crate) fn prepare_service(
    configuration: &ActiveConfiguration,
    request: &Request,
    request_id: String,
) -> Result<Call, Refusal> {
    let customer = authenticate(configuration, &request.headers)?;
    let (name, path) = split_path(request);
    let method = request.method.as_str();
    let found = configuration
        .service_call(name, method, &path)
        .ok_or_else(|| Refusal::new(Code::NotFound, format!("no service is called {name:?}")))?;
    let class = class_of(configuration, &request.headers, &found.class.name)?;
    let order_key = if found.repeatable {
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
        headers: forwarded(&request.headers),
        body: request.body.to_vec(),
        ..Submit::default()
    };
    Ok(Call {
        request_id,
        class: class.clone(),
        tier: customer.tier,
        order_key,
        class_kind: class_kind(configuration, &class.name),
        pool: found.service.pool.clone(),
        kind: Kind::Service,
        received_at: Instant::now(),
        submit,
    })
}

/// Splits a target into the service's name and the path and query that the service sees.
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

fn class_of<'config>(
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

/// Returns a small number that tells the classes of calls apart when their speeds are compared.
fn class_kind(configuration: &ActiveConfiguration, class: &str) -> u8 {
    let classes = &configuration.configuration().classes;
    let position = classes.iter().position(|known| known.name == class);
    u8::try_from(position.unwrap_or(0) % CLASS_KINDS).unwrap_or(0)
}

fn fingerprint(workspace: &str, body: &[u8]) -> u64 {
    xxh3_64(body) ^ xxh3_64(workspace.as_bytes()).rotate_left(1)
}

/// Headers that are the router's own and are not forwarded to a service.
const OWN_HEADERS: [&str; 2] = ["authorization", headers::CLASS];

fn forwarded(headers: &HeaderMap) -> Vec<message::Header> {
    headers
        .iter()
        .filter(|(name, _)| !OWN_HEADERS.contains(&name.as_str()))
        .map(|(name, value)| message::Header {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

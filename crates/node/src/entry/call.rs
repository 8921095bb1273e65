//! Call of a caller, prepared for its attempts.

use std::time::{Duration, Instant};

use http::{HeaderMap, Method};
use sha2::{Digest, Sha256};
use tanagerford_caller::headers;
use tanagerford_caller::openai::{self, Interface, ModelRequest};
use tanagerford_caller::refusal::{Code, Refusal};
use tanagerford_core::config::{Class, Configuration, LatencyTarget, Service, Workspace};
use tanagerford_core::ids::{PoolId, TierId};
use tanagerford_http::Request;
use tanagerford_link::message::{self, Submit};
use xxhash_rust::xxh3::xxh3_64;

/// Tokens of an answer whose request names no limit.
const DEFAULT_MAX_TOKENS: u32 = 1_024;

/// Longest time of a whole call, after which the entry gives up.
const CALL_TIMEOUT: Duration = Duration::from_mins(10);

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

    /// Returns the time left until the entry gives up on the whole call.
    pub(crate) fn time_left(&self) -> Duration {
        CALL_TIMEOUT.saturating_sub(self.received_at.elapsed())
    }

    /// Returns whether the call may run more than once.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.submit.order_key.is_empty()
    }

    /// Returns the message that asks a sidecar to run the call.
    pub(crate) fn to_submit(&self, resume_tokens: u32) -> Submit {
        Submit {
            wait_limit_ms: milliseconds(self.wait_left()),
            deadline_ms: milliseconds(self.time_left()),
            resume_tokens,
            ..self.submit.clone()
        }
    }
}

fn milliseconds(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// Finds the workspace of an API key.
pub(crate) fn authenticate<'config>(
    configuration: &'config Configuration,
    headers: &HeaderMap,
) -> Result<(&'config Workspace, TierId), Refusal> {
    let unauthorized = || Refusal::new(Code::Unauthorized, "API key is missing or unknown");
    let key = headers::api_key(headers).ok_or_else(unauthorized)?;
    let digest = hex(&Sha256::digest(key));
    let workspace = configuration
        .workspaces
        .iter()
        .find(|workspace| workspace.key_sha256.contains(&digest))
        .ok_or_else(unauthorized)?;
    let tier = configuration
        .tier_id(&workspace.tier)
        .ok_or_else(unauthorized)?;
    Ok((workspace, tier))
}

fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    bytes
        .iter()
        .fold(String::with_capacity(bytes.len() * 2), |mut text, byte| {
            let _ = write!(text, "{byte:02x}");
            text
        })
}

/// Prepares a model request.
pub(crate) fn prepare_model(
    configuration: &Configuration,
    request: &Request,
    interface: Interface,
    request_id: String,
) -> Result<Call, Refusal> {
    let (workspace, tier) = authenticate(configuration, &request.headers)?;
    let parsed = openai::parse(interface, &request.body)?;
    let model = configuration
        .models
        .iter()
        .find(|model| model.name == parsed.model)
        .ok_or_else(|| {
            Refusal::new(
                Code::UnknownModel,
                format!("model {} is not configured", parsed.model),
            )
        })?;
    let class = class_of(configuration, &request.headers, &model.class)?;
    let submit = Submit {
        request_id: request_id.clone(),
        workspace: workspace.name.clone(),
        tier: u32::from(tier),
        class: class.name.clone(),
        prefix_hash: xxh3_64(&parsed.prefix),
        fingerprint: fingerprint(&workspace.name, &request.body),
        method: Method::POST.to_string(),
        path: interface.path().to_owned(),
        body: parsed.engine_body.clone(),
        model: parsed.model.clone(),
        prompt_tokens: parsed.prompt_tokens,
        max_tokens: parsed.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        stream: parsed.stream,
        ..Submit::default()
    };
    Ok(Call {
        request_id,
        class: class.clone(),
        tier,
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
    configuration: &Configuration,
    request: &Request,
    request_id: String,
) -> Result<Call, Refusal> {
    let (workspace, tier) = authenticate(configuration, &request.headers)?;
    let (service, path) = service_of(configuration, request)?;
    let route = service.routes.iter().find(|route| {
        (route.method == "*" || route.method == request.method.as_str())
            && path.starts_with(&route.path_prefix)
    });
    let class_name = route.map_or(&service.class, |route| &route.class);
    let class = class_of(configuration, &request.headers, class_name)?;
    let repeatable = route.map_or_else(|| request.method.is_idempotent(), |route| route.repeatable);
    let order_key = if repeatable {
        Vec::new()
    } else {
        order_key(&workspace.name, &request.headers)?
    };
    let submit = Submit {
        request_id: request_id.clone(),
        workspace: workspace.name.clone(),
        tier: u32::from(tier),
        class: class.name.clone(),
        fingerprint: fingerprint(&workspace.name, &request.body),
        order_key,
        method: request.method.to_string(),
        path,
        headers: forwarded(&request.headers),
        body_digest: Sha256::digest(&request.body).to_vec(),
        body: request.body.to_vec(),
        ..Submit::default()
    };
    Ok(Call {
        request_id,
        class: class.clone(),
        tier,
        pool: service.pool.clone(),
        kind: Kind::Service,
        received_at: Instant::now(),
        submit,
    })
}

fn service_of<'config>(
    configuration: &'config Configuration,
    request: &Request,
) -> Result<(&'config Service, String), Refusal> {
    let target = request
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let rest = target.trim_start_matches('/');
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, path) = rest.split_at(end);
    let service = configuration
        .services
        .iter()
        .find(|service| service.name == name)
        .ok_or_else(|| Refusal::new(Code::NotFound, format!("no service is called {name:?}")))?;
    let path = if path.starts_with('/') {
        path.to_owned()
    } else {
        format!("/{path}")
    };
    Ok((service, path))
}

fn class_of<'config>(
    configuration: &'config Configuration,
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

/// Returns the key of an order: a hash over the workspace and its idempotency key, so that workspaces never share keys.
fn order_key(workspace: &str, headers: &HeaderMap) -> Result<Vec<u8>, Refusal> {
    let key = headers::text(headers, headers::IDEMPOTENCY_KEY).ok_or_else(|| {
        Refusal::new(
            Code::IdempotencyKeyRequired,
            "this call must not be repeated and needs an Idempotency-Key of at most 255 bytes",
        )
    })?;
    let mut hash = Sha256::new();
    hash.update((workspace.len() as u64).to_be_bytes());
    hash.update(workspace);
    hash.update(key);
    Ok(hash.finalize().to_vec())
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

//! Blocking HTTP client for one engine.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::Deserialize;
use tanagerford_http::client::FixedAddress;
use tanagerford_sync::lock;
use ureq::http::Response;
use ureq::unversioned::transport::DefaultConnector;
use ureq::{Agent, Body};

use crate::error::EngineError;
use crate::orders::{Models, OrderRequest};
use crate::sse::{Event, EventReader};

/// Timeout for connecting to the engine, which runs on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a health check, a load report, a list of models or an order.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of idle agents; further ones are dropped.
const MAX_IDLE_AGENTS: usize = 64;

/// Maximum size of the body of a response that is not a stream.
const MAX_BODY_BYTES: u64 = 1024 * 1024;

/// Request to generate tokens.
#[derive(Debug, Clone)]
pub struct GenerateRequest {
    /// Path, for example `/v1/chat/completions`.
    pub path: String,
    /// Identifier for log lines, sent as `X-Request-Id`.
    pub request_id: String,
    /// JSON body.
    pub body: Vec<u8>,
    /// Priority in the engine's queue, sent as `X-Priority`; 0 is the highest.
    pub priority: u8,
    /// Number of tokens that another engine already generated, sent as `X-Resume-From-Tokens`; 0 for a new request.
    pub resume_from_tokens: u32,
    /// Timeout of the complete stream, connecting included.
    pub timeout: Duration,
}

/// Load as reported by the engine, which may be out of date by `age_ms`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct LoadReport {
    /// Number of requests in the batch.
    pub running: u32,
    /// Number of requests in the engine's own queue.
    pub waiting: u32,
    /// Maximum number of requests in the batch.
    pub max_batch: u32,
    /// Time between two tokens of a request, in microseconds.
    pub token_gap_us: u64,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
}

/// Client for one engine.
///
/// `ureq` can interrupt a blocked call only by shutting down its agent, so each stream has its own agent, taken from a
/// list of idle ones.
#[derive(Debug)]
pub struct EngineClient {
    base_url: String,
    address: SocketAddr,
    idle_agents: Mutex<Vec<Agent>>,
    control_agent: Agent,
}

/// Stream of events from an engine.
pub struct EngineStream {
    client: Arc<EngineClient>,
    agent: Agent,
    events: EventReader<Box<dyn Read + Send>>,
    has_ended: bool,
}

/// Cancels a stream from another thread.
#[derive(Debug, Clone)]
pub struct CancelHandle(Agent);

impl CancelHandle {
    /// Closes the connection of the stream, which makes the engine stop generating.
    pub fn cancel(&self) {
        self.0.clone().shutdown();
    }
}

impl EngineClient {
    /// Creates a client for the engine at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Arc<Self> {
        Arc::new(Self {
            base_url: format!("http://{address}"),
            address,
            idle_agents: Mutex::default(),
            control_agent: agent(address, Some(CONTROL_TIMEOUT)),
        })
    }

    /// Takes an idle agent, or creates one, for a single call of [`EngineClient::generate`]. The handle can cancel that
    /// call from another thread.
    #[must_use]
    pub fn take_agent(&self) -> (Agent, CancelHandle) {
        let idle = lock(&self.idle_agents).pop();
        let agent = idle.unwrap_or_else(|| agent(self.address, None));
        let handle = CancelHandle(agent.clone());
        (agent, handle)
    }

    /// Sends a request with an agent from [`EngineClient::take_agent`] and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// See [`EngineError`]; only [`EngineError::Unreachable`] means that the engine never received the request.
    pub fn generate(
        self: &Arc<Self>,
        agent: Agent,
        request: &GenerateRequest,
    ) -> Result<EngineStream, EngineError> {
        let response = agent
            .post(format!("{}{}", self.base_url, request.path))
            .header("Content-Type", "application/json")
            .header("Accept", "text/event-stream")
            .header("X-Request-Id", &request.request_id)
            .header("X-Priority", request.priority.to_string())
            .header(
                "X-Resume-From-Tokens",
                request.resume_from_tokens.to_string(),
            )
            .config()
            .timeout_global(Some(request.timeout))
            .build()
            .send(&request.body[..])?;
        let status = response.status().as_u16();
        let mut body = response.into_body();
        if status != 200 {
            let mut text = String::new();
            let _ = body
                .as_reader()
                .take(MAX_BODY_BYTES)
                .read_to_string(&mut text);
            return Err(EngineError::Refused { status, body: text });
        }
        let source: Box<dyn Read + Send> = Box::new(body.into_reader());
        Ok(EngineStream {
            client: Arc::clone(self),
            agent,
            events: EventReader::new(source),
            has_ended: false,
        })
    }

    /// Fetches the engine's load report.
    ///
    /// # Errors
    ///
    /// See [`EngineError`].
    pub fn load(&self) -> Result<LoadReport, EngineError> {
        let mut response = self
            .control_agent
            .get(format!("{}/load", self.base_url))
            .call()?;
        let text = response
            .body_mut()
            .with_config()
            .limit(MAX_BODY_BYTES)
            .read_to_string()?;
        serde_json::from_str(&text).map_err(|_| EngineError::Malformed)
    }

    /// Sends an order to the engine; returns when the engine has acknowledged it, before it is carried out.
    ///
    /// # Errors
    ///
    /// See [`EngineError`]; [`EngineError::Refused`] with status 409 means that the fencing token is outdated.
    pub fn order(&self, order: &OrderRequest) -> Result<(), EngineError> {
        let body = serde_json::to_vec(order).map_err(|_| EngineError::Malformed)?;
        let response = self
            .control_agent
            .post(format!("{}/admin/orders", self.base_url))
            .header("Content-Type", "application/json")
            .send(&body[..])?;
        read_success(response).map(drop)
    }

    /// Fetches the list of the engine's models.
    ///
    /// # Errors
    ///
    /// See [`EngineError`].
    pub fn models(&self) -> Result<Models, EngineError> {
        let url = format!("{}/admin/models", self.base_url);
        let text = read_success(self.control_agent.get(url).call()?)?;
        serde_json::from_str(&text).map_err(|_| EngineError::Malformed)
    }

    /// Performs a health check; returns whether the engine answered it with a successful status.
    #[must_use]
    pub fn is_healthy(&self) -> bool {
        let result = self
            .control_agent
            .get(format!("{}/health", self.base_url))
            .call();
        result.is_ok_and(|response| response.status().is_success())
    }

    fn return_agent(&self, agent: Agent) {
        let mut idle = lock(&self.idle_agents);
        if idle.len() < MAX_IDLE_AGENTS {
            idle.push(agent);
        }
    }
}

impl EngineStream {
    /// Reads the next event; `None` after the event that ends the stream.
    ///
    /// # Errors
    ///
    /// [`EngineError::Lost`] when the connection was lost, timed out or was cancelled before the end of the stream,
    /// [`EngineError::Malformed`] when an event is too large.
    pub fn next_event(&mut self) -> Result<Option<Event>, EngineError> {
        if self.has_ended {
            return Ok(None);
        }
        let event = self.events.read()?.ok_or(EngineError::Lost)?;
        self.has_ended = event.is_done();
        Ok(Some(event))
    }

    /// Returns the agent to the client for reuse if the stream was read to its end; otherwise closes the connection.
    pub fn finish(mut self) {
        // The connection is reusable only after the terminating chunk of the body has been read, too.
        let at_end = matches!(self.events.read(), Ok(None));
        if self.has_ended && at_end {
            drop(self.events);
            self.client.return_agent(self.agent);
        }
    }
}

/// Reads the body of a successful response. Any other status becomes [`EngineError::Refused`].
fn read_success(mut response: Response<Body>) -> Result<String, EngineError> {
    let status = response.status();
    let body = response
        .body_mut()
        .with_config()
        .limit(MAX_BODY_BYTES)
        .read_to_string()?;
    if status.is_success() {
        return Ok(body);
    }
    Err(EngineError::Refused {
        status: status.as_u16(),
        body,
    })
}

fn agent(address: SocketAddr, timeout: Option<Duration>) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        // Calls to a server on the same VM must not go through a proxy that environment variables configure.
        .proxy(None)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_global(timeout)
        .max_idle_connections(1)
        .max_idle_connections_per_host(1)
        .build();
    Agent::with_parts(config, DefaultConnector::default(), FixedAddress(address))
}

//! HTTP client for one engine.

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

/// Longest time to connect to the engine, which runs on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time for a load report or an engine order.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Idle agents that are kept for reuse.
const MAX_IDLE_AGENTS: usize = 64;

/// Largest body of an answer that is not a stream.
const MAX_ANSWER_BYTES: u64 = 1024 * 1024;

/// Request to generate tokens.
#[derive(Debug, Clone)]
pub struct Generate {
    /// Path, for example `/v1/chat/completions`.
    pub path: String,
    /// Id of the request, sent as `X-Request-Id`.
    pub request_id: String,
    /// JSON body.
    pub body: Vec<u8>,
    /// Priority for the engine's queue; 0 is the highest.
    pub priority: u8,
    /// Tokens that an earlier engine already generated.
    pub resume_from_tokens: u32,
    /// Longest time of the whole stream.
    pub timeout: Duration,
}

/// Load as the engine reports it, with a lag.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct LoadReport {
    /// Requests that generate tokens.
    pub running: u32,
    /// Requests that wait inside the engine.
    pub waiting: u32,
    /// Largest count of requests that the engine runs together.
    pub max_batch: u32,
    /// Time between tokens, in microseconds.
    pub token_gap_us: u64,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
}

/// Client for one engine.
///
/// `ureq` can interrupt a blocked call only by shutting down its whole agent, so each stream takes an agent of its own
/// from a list of idle ones.
#[derive(Debug)]
pub struct EngineClient {
    base_url: String,
    address: SocketAddr,
    idle: Mutex<Vec<Agent>>,
    control: Agent,
}

/// Stream of events from an engine.
pub struct EngineStream {
    client: Arc<EngineClient>,
    agent: Agent,
    events: EventReader<Box<dyn Read + Send>>,
    ended: bool,
}

/// Cancels a stream from another thread.
#[derive(Debug, Clone)]
pub struct CancelHandle(Agent);

impl CancelHandle {
    /// Closes the stream's connection; the engine then stops generating.
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
            idle: Mutex::default(),
            control: agent(address, Some(CONTROL_TIMEOUT)),
        })
    }

    /// Returns an agent for one call, to be cancelled through its handle.
    #[must_use]
    pub fn reserve(&self) -> (Agent, CancelHandle) {
        let idle = lock(&self.idle).pop();
        let agent = idle.unwrap_or_else(|| agent(self.address, None));
        let handle = CancelHandle(agent.clone());
        (agent, handle)
    }

    /// Starts to generate with an agent from [`EngineClient::reserve`]; returns when the engine has answered with its
    /// status line.
    ///
    /// # Errors
    ///
    /// See [`EngineError`]; only [`EngineError::Unreachable`] means that the engine never saw the request.
    pub fn generate(
        self: &Arc<Self>,
        agent: Agent,
        request: &Generate,
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
                .take(MAX_ANSWER_BYTES)
                .read_to_string(&mut text);
            return Err(EngineError::Refused { status, body: text });
        }
        let source: Box<dyn Read + Send> = Box::new(body.into_reader());
        Ok(EngineStream {
            client: Arc::clone(self),
            agent,
            events: EventReader::new(source),
            ended: false,
        })
    }

    /// Reads the engine's load report.
    ///
    /// # Errors
    ///
    /// See [`EngineError`].
    pub fn load(&self) -> Result<LoadReport, EngineError> {
        let mut response = self.control.get(format!("{}/load", self.base_url)).call()?;
        let text = response
            .body_mut()
            .with_config()
            .limit(MAX_ANSWER_BYTES)
            .read_to_string()?;
        serde_json::from_str(&text).map_err(|_| EngineError::Malformed)
    }

    /// Gives an order to the engine.
    ///
    /// # Errors
    ///
    /// See [`EngineError`]; [`EngineError::Refused`] with status 409 means that the fencing number is outdated.
    pub fn order(&self, order: &OrderRequest) -> Result<(), EngineError> {
        let body = serde_json::to_vec(order).map_err(|_| EngineError::Malformed)?;
        let response = self
            .control
            .post(format!("{}/admin/orders", self.base_url))
            .header("Content-Type", "application/json")
            .send(&body[..])?;
        read_success(response).map(drop)
    }

    /// Reads the engine's models.
    ///
    /// # Errors
    ///
    /// See [`EngineError`].
    pub fn models(&self) -> Result<Models, EngineError> {
        let url = format!("{}/admin/models", self.base_url);
        let text = read_success(self.control.get(url).call()?)?;
        serde_json::from_str(&text).map_err(|_| EngineError::Malformed)
    }

    /// Returns whether the engine answers its health check.
    #[must_use]
    pub fn is_healthy(&self) -> bool {
        let answer = self.control.get(format!("{}/health", self.base_url)).call();
        answer.is_ok_and(|response| response.status().is_success())
    }

    fn give_back(&self, agent: Agent) {
        let mut idle = lock(&self.idle);
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
    /// [`EngineError::Lost`] when the stream was cut or cancelled before its end.
    pub fn next_event(&mut self) -> Result<Option<Event>, EngineError> {
        if self.ended {
            return Ok(None);
        }
        let event = self.events.read()?.ok_or(EngineError::Lost)?;
        self.ended = event.is_done();
        Ok(Some(event))
    }

    /// Gives the connection back for reuse after the whole stream was read.
    pub fn finish(mut self) {
        // The connection can be reused only when the chunk that ends the body was read, too.
        let at_end = matches!(self.events.read(), Ok(None));
        if self.ended && at_end {
            drop(self.events);
            self.client.give_back(self.agent);
        }
    }
}

fn read_success(mut response: Response<Body>) -> Result<String, EngineError> {
    let status = response.status();
    let body = response
        .body_mut()
        .with_config()
        .limit(MAX_ANSWER_BYTES)
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
        // A proxy named by the environment must not see calls to a backend server on the same VM.
        .proxy(None)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_global(timeout)
        .max_idle_connections(1)
        .max_idle_connections_per_host(1)
        .build();
    Agent::with_parts(config, DefaultConnector::default(), FixedAddress(address))
}

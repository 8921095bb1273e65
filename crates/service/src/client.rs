//! HTTP client for one backend server of a plain service.

use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderName, HeaderValue, Method, Uri};
use tanagerford_http::client::FixedAddress;
use ureq::Agent;
use ureq::unversioned::transport::DefaultConnector;

use crate::error::ServiceError;

/// Longest time to connect to the service, which runs on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Headers that describe one connection and are not forwarded (RFC 9110, section 7.6.1).
const CONNECTION_HEADERS: [&str; 9] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Header of a call or an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Name in lower case.
    pub name: String,
    /// Value.
    pub value: Vec<u8>,
}

/// Call of a plain service.
#[derive(Debug, Clone)]
pub struct Call {
    /// HTTP method.
    pub method: String,
    /// Path and query after the service's name.
    pub path: String,
    /// Headers; those of the connection are left out.
    pub headers: Vec<Header>,
    /// Whole body.
    pub body: Vec<u8>,
    /// Longest time of the whole call.
    pub timeout: Duration,
    /// Whether the call may be repeated without a second effect.
    pub repeatable: bool,
}

/// Answer of a plain service.
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers, without those of the connection.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Box<dyn Read + Send>,
}

/// Client for one backend server of a plain service.
#[derive(Debug)]
pub struct ServiceClient {
    base_url: String,
    repeatable: Agent,
    /// Opens a connection for each call: a reused one may turn out closed after the call was sent on it, and the outcome
    /// of a call that must not be repeated would then be unknown.
    once: Agent,
}

impl ServiceClient {
    /// Creates a client for the backend server at `address`, for at most `concurrency` calls at the same time.
    #[must_use]
    pub fn new(address: SocketAddr, concurrency: usize) -> Self {
        Self {
            base_url: format!("http://{address}"),
            repeatable: agent(address, concurrency),
            once: agent(address, 0),
        }
    }

    /// Runs a call; returns when the status line has arrived.
    ///
    /// # Errors
    ///
    /// [`ServiceError::Unreachable`] and [`ServiceError::Invalid`] mean that the service never saw the call.
    pub fn call(&self, call: &Call) -> Result<Answer, ServiceError> {
        let request = request(&self.base_url, call)?;
        let agent = if call.repeatable {
            &self.repeatable
        } else {
            &self.once
        };
        let configured = agent
            .configure_request(request)
            .timeout_global(Some(call.timeout))
            .build();
        let response = agent.run(configured)?;
        let status = response.status().as_u16();
        let headers = forwarded(response.headers());
        let body: Box<dyn Read + Send> = Box::new(response.into_body().into_reader());
        Ok(Answer {
            status,
            headers,
            body,
        })
    }
}

fn request(base_url: &str, call: &Call) -> Result<http::Request<Vec<u8>>, ServiceError> {
    let uri: Uri = format!("{base_url}{}", call.path)
        .parse()
        .map_err(|_| ServiceError::Invalid)?;
    let method = Method::from_bytes(call.method.as_bytes()).map_err(|_| ServiceError::Invalid)?;
    let mut request = http::Request::new(call.body.clone());
    *request.method_mut() = method;
    *request.uri_mut() = uri;
    for header in &call.headers {
        if is_of_connection(&header.name) {
            continue;
        }
        let name =
            HeaderName::from_bytes(header.name.as_bytes()).map_err(|_| ServiceError::Invalid)?;
        let value = HeaderValue::from_bytes(&header.value).map_err(|_| ServiceError::Invalid)?;
        request.headers_mut().append(name, value);
    }
    Ok(request)
}

fn forwarded(headers: &http::HeaderMap) -> Vec<Header> {
    headers
        .iter()
        .filter(|(name, _)| !is_of_connection(name.as_str()))
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

fn is_of_connection(name: &str) -> bool {
    CONNECTION_HEADERS
        .iter()
        .any(|header| header.eq_ignore_ascii_case(name))
}

fn agent(address: SocketAddr, max_idle: usize) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        // A proxy named by the environment must not see calls to a backend server on the same VM.
        .proxy(None)
        .allow_non_standard_methods(true)
        .max_redirects(0)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .max_idle_connections(max_idle)
        .max_idle_connections_per_host(max_idle)
        .build();
    Agent::with_parts(config, DefaultConnector::default(), FixedAddress(address))
}

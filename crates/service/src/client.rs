//! Blocking HTTP client for one backend server of a plain service.

use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderName, HeaderValue, Method, Uri};
use tanagerford_http::client::FixedAddress;
use ureq::Agent;
use ureq::unversioned::transport::DefaultConnector;

use crate::error::ServiceError;

/// Timeout for connecting to the service, which runs on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Headers that are not forwarded because they apply to a single connection (RFC 9110, section 7.6.1). The client
/// sets `Host` and `Content-Length` itself.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
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

/// Header of a call or a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Name; lower case in responses.
    pub name: String,
    /// Value as raw bytes, which need not be UTF-8.
    pub value: Vec<u8>,
}

/// Call to a plain service.
#[derive(Debug, Clone)]
pub struct Call {
    /// HTTP method, which may be a non-standard one.
    pub method: String,
    /// Path and query, without the service's name.
    pub path: String,
    /// Headers to forward; hop-by-hop headers among them are dropped.
    pub headers: Vec<Header>,
    /// Complete body.
    pub body: Vec<u8>,
    /// Timeout of the complete call, including reading the body of the response.
    pub timeout: Duration,
    /// Whether the call can run twice without harm. Such a call may use an idle connection.
    pub is_repeatable: bool,
}

/// Response of a plain service.
pub struct Response {
    /// HTTP status; any status counts as a response, not as an error.
    pub status: u16,
    /// Headers without the hop-by-hop ones.
    pub headers: Vec<Header>,
    /// Body, read from the connection while it arrives.
    pub body: Box<dyn Read + Send>,
}

/// Client for one backend server of a plain service.
#[derive(Debug)]
pub struct ServiceClient {
    base_url: String,
    repeatable_agent: Agent,
    /// Opens a new connection for each call. A reused connection may turn out to be closed after the call was sent, and
    /// whether a call that must not be repeated ran would then be unknown.
    unrepeatable_agent: Agent,
}

impl ServiceClient {
    /// Creates a client for the backend server at `address`. `concurrency` is the expected maximum of concurrent calls;
    /// up to so many idle connections are kept for repeatable calls.
    #[must_use]
    pub fn new(address: SocketAddr, concurrency: usize) -> Self {
        Self {
            base_url: format!("http://{address}"),
            repeatable_agent: agent(address, concurrency),
            unrepeatable_agent: agent(address, 0),
        }
    }

    /// Sends a call and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// [`ServiceError::Unreachable`] and [`ServiceError::Invalid`] mean that the service never received the call.
    pub fn call(&self, call: &Call) -> Result<Response, ServiceError> {
        let request = request(&self.base_url, call)?;
        let agent = if call.is_repeatable {
            &self.repeatable_agent
        } else {
            &self.unrepeatable_agent
        };
        let configured = agent
            .configure_request(request)
            .timeout_global(Some(call.timeout))
            .build();
        let response = agent.run(configured)?;
        let status = response.status().as_u16();
        let headers = forwarded_headers(response.headers());
        let body: Box<dyn Read + Send> = Box::new(response.into_body().into_reader());
        Ok(Response {
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
        if is_hop_by_hop(&header.name) {
            continue;
        }
        let name =
            HeaderName::from_bytes(header.name.as_bytes()).map_err(|_| ServiceError::Invalid)?;
        let value = HeaderValue::from_bytes(&header.value).map_err(|_| ServiceError::Invalid)?;
        request.headers_mut().append(name, value);
    }
    Ok(request)
}

fn forwarded_headers(headers: &http::HeaderMap) -> Vec<Header> {
    headers
        .iter()
        .filter(|(name, _)| !is_hop_by_hop(name.as_str()))
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP_HEADERS
        .iter()
        .any(|header| header.eq_ignore_ascii_case(name))
}

fn agent(address: SocketAddr, max_idle: usize) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        // Calls to a server on the same VM must not go through a proxy that environment variables configure.
        .proxy(None)
        .allow_non_standard_methods(true)
        .max_redirects(0)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .max_idle_connections(max_idle)
        .max_idle_connections_per_host(max_idle)
        .build();
    Agent::with_parts(config, DefaultConnector::default(), FixedAddress(address))
}

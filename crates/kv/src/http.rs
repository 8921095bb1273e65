//! HTTP client for the platform's services, and the classification of its errors by whether anything was sent.

use std::io::Read;
use std::time::{Duration, Instant};

use ureq::http::Response;
use ureq::{Agent, Body, Error, Timeout};

/// Maximum size of a response body. The largest expected response lists all claim pages of a shard.
pub(crate) const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// Idle connections are closed before the usual idle timeout of servers: a request on a connection that the server
/// closes at the same time has an unknown outcome.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);

/// Reason why a request got no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// Nothing was sent.
    NotSent,
    /// The request may have been sent.
    Lost,
}

#[derive(Debug)]
pub(crate) struct HttpResponse {
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
}

/// Creates a client that returns every status as a response, follows no redirects and uses no proxy.
pub(crate) fn agent() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_idle_age(MAX_IDLE_TIME)
        .proxy(None)
        .build();
    config.new_agent()
}

pub(crate) fn get(agent: &Agent, url: &str, timeout: Duration) -> Result<HttpResponse, Failure> {
    if timeout.is_zero() {
        return Err(Failure::NotSent);
    }
    let request = agent.get(url).config();
    let request = request.timeout_global(Some(timeout)).build();
    read_body(request.call().map_err(|error| classify(&error))?)
}

/// Posts a JSON document and returns the response with its whole body.
pub(crate) fn post(
    agent: &Agent,
    url: &str,
    body: &[u8],
    timeout: Duration,
) -> Result<HttpResponse, Failure> {
    read_body(post_streaming(agent, url, body, timeout)?)
}

/// Posts a JSON document and returns the response with its body unread.
pub(crate) fn post_streaming(
    agent: &Agent,
    url: &str,
    body: &[u8],
    timeout: Duration,
) -> Result<Response<Body>, Failure> {
    if timeout.is_zero() {
        return Err(Failure::NotSent);
    }
    let request = agent.post(url).config();
    // Connecting may take half of the timeout; the other half remains for a second endpoint.
    let request = request.timeout_connect(Some(timeout / 2));
    let request = request.timeout_global(Some(timeout)).build();
    let request = request.content_type("application/json");
    request.send(body).map_err(|error| classify(&error))
}

pub(crate) fn read_body(response: Response<Body>) -> Result<HttpResponse, Failure> {
    let status = response.status().as_u16();
    let mut body = Vec::new();
    let mut reader = response
        .into_body()
        .into_with_config()
        .limit(MAX_RESPONSE_BYTES)
        .reader();
    reader.read_to_end(&mut body).map_err(|_| Failure::Lost)?;
    Ok(HttpResponse { status, body })
}

/// Returns whether reading a stream failed because the request's timeout passed.
pub(crate) fn is_timeout(error: std::io::Error) -> bool {
    matches!(Error::from(error), Error::Timeout(_))
}

/// Returns the part of `timeout` that remains after the time since `started_at`.
pub(crate) fn remaining(started_at: Instant, timeout: Duration) -> Duration {
    timeout.saturating_sub(started_at.elapsed())
}

/// Classifies an error by whether anything may have been sent. Only errors that cannot occur on an established
/// connection prove that nothing was sent. "Host unreachable" does not, because the network can report it on an
/// established connection too.
fn classify(error: &Error) -> Failure {
    match error {
        Error::HostNotFound
        | Error::ConnectionFailed
        | Error::BadUri(_)
        | Error::Http(_)
        | Error::Timeout(Timeout::Connect | Timeout::Resolve) => Failure::NotSent,
        Error::Io(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            Failure::NotSent
        }
        _ => Failure::Lost,
    }
}

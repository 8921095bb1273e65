//! HTTP exchanges with the platform, and what their errors prove.

use std::io::Read;
use std::time::{Duration, Instant};

use ureq::http::Response;
use ureq::{Agent, Body, Error, Timeout};

/// Longest answer that is read, in bytes. The largest expected one lists all claim pages of a shard.
pub(crate) const MAX_ANSWER_BYTES: u64 = 64 << 20;

/// Idle connections are closed before the usual idle timeout of servers, because a request on a connection that the
/// server closes at the same moment has an unknown outcome.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// Why an exchange gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// Nothing was sent.
    NotSent,
    /// The request may have been sent.
    Lost,
}

/// Answer of an exchange.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
}

/// Creates a client that reports each status as an answer and uses no proxy.
pub(crate) fn agent() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_idle_age(MAX_IDLE)
        .proxy(None)
        .build();
    config.new_agent()
}

/// Gets a document.
pub(crate) fn get(agent: &Agent, url: &str, timeout: Duration) -> Result<Answer, Failure> {
    if timeout.is_zero() {
        return Err(Failure::NotSent);
    }
    let request = agent.get(url).config();
    let request = request.timeout_global(Some(timeout)).build();
    read(request.call().map_err(|error| classify(&error))?)
}

/// Posts a JSON document and returns the whole answer.
pub(crate) fn post(
    agent: &Agent,
    url: &str,
    body: &[u8],
    timeout: Duration,
) -> Result<Answer, Failure> {
    read(open(agent, url, body, timeout)?)
}

/// Posts a JSON document and returns the answer with its body unread.
pub(crate) fn open(
    agent: &Agent,
    url: &str,
    body: &[u8],
    timeout: Duration,
) -> Result<Response<Body>, Failure> {
    if timeout.is_zero() {
        return Err(Failure::NotSent);
    }
    let request = agent.post(url).config();
    // Half of the time for the connection leaves the other half for a second endpoint.
    let request = request.timeout_connect(Some(timeout / 2));
    let request = request.timeout_global(Some(timeout)).build();
    let request = request.content_type("application/json");
    request.send(body).map_err(|error| classify(&error))
}

/// Reads the body of an answer.
pub(crate) fn read(response: Response<Body>) -> Result<Answer, Failure> {
    let status = response.status().as_u16();
    let mut body = Vec::new();
    let mut reader = response
        .into_body()
        .into_with_config()
        .limit(MAX_ANSWER_BYTES)
        .reader();
    reader.read_to_end(&mut body).map_err(|_| Failure::Lost)?;
    Ok(Answer { status, body })
}

/// Tells whether reading a stream ended because of the call's timeout.
pub(crate) fn is_timeout(error: std::io::Error) -> bool {
    matches!(Error::from(error), Error::Timeout(_))
}

/// Returns the time left until `timeout` after `started_at`.
pub(crate) fn left(started_at: Instant, timeout: Duration) -> Duration {
    timeout.saturating_sub(started_at.elapsed())
}

/// Only errors that cannot occur after the connection was made prove that nothing was sent. An unreachable host is not
/// among them, since the network may report it on an established connection too.
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

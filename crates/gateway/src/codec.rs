//! Interface of a protocol adapter, which translates callers' requests and the requests and responses of backend
//! servers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{Request, Response};
use http_body_util::Full;
use tanagerford_core::dispatch::{Demand, ReportedLoad};
use tanagerford_http::Reply;

use crate::call::{Call, CallId};
use crate::fleet::BackendServer;
use crate::limits::{AvailabilityHeader, LimitHeader};
use crate::refusal::Refusal;

/// Content of a request's head except its method and target.
#[derive(Debug)]
pub struct CallHead {
    /// Identifier that the caller assigned to this attempt.
    pub id: CallId,
    /// Host that selects the route; may include a port.
    pub host: String,
    /// API key of the caller, if one was sent.
    pub key: Option<String>,
    /// Time for which the caller waits, if the request states it.
    pub caller_timeout: Option<Duration>,
    /// Estimated work for a model engine; the gateway sets the body size and the rank.
    pub demand: Demand,
    /// Number of the last event that the caller has received, if it resumes a stream.
    pub resume_after: Option<u64>,
    /// Attempt that brought the first event of the stream that the caller resumes.
    pub resumed_attempt: Option<CallId>,
    /// Headers that are forwarded to the server.
    pub headers: http::HeaderMap,
}

/// Parameters of one attempt that are not part of the call.
#[derive(Debug, Clone, Copy)]
pub struct AttemptContext<'a> {
    /// Chosen server; the request names it, so that a restarted or different server can refuse.
    pub server: &'a BackendServer,
    /// Time until the call's deadline.
    pub remaining: Duration,
    /// Number of the last event that the caller has received; `None` starts from the beginning.
    pub resume_after: Option<u64>,
    /// Address of a server from whose cache the chosen server copies parts of the prompt that it lacks.
    pub fetch_from: Option<SocketAddr>,
}

/// Report of a load that is unreadable or that no server can have. It is ignored as a whole and counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidLoad;

/// Content of the head of a server's response.
#[derive(Debug, Clone, PartialEq)]
pub struct ResponseHead {
    /// Identifier of the attempt that the response belongs to; `None` when the response carries none.
    pub id: Option<CallId>,
    /// Whether the server states that it did not run the call.
    pub is_not_run: bool,
    /// Whether the server states that it is not the server that the request names.
    pub is_wrong_server: bool,
    /// Whether the response proves that a server of the platform sent it.
    pub is_authentic: bool,
    /// Load that the server reports, if it does.
    pub load: Option<Result<ReportedLoad, InvalidLoad>>,
    /// Limit that the server names for its requests.
    pub limit: LimitHeader,
    /// What the server says about further calls of this entry.
    pub availability: AvailabilityHeader,
}

/// Translates between a wire protocol and the neutral types of this crate.
pub trait Codec: Send + Sync + 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::Malformed`] when the request is ambiguous or lacks a mandatory header.
    fn call_head(&self, parts: &Parts) -> Result<CallHead, Refusal>;

    /// Creates the request for one attempt of a call.
    fn request(&self, call: &Call, context: AttemptContext<'_>) -> Request<Full<Bytes>>;

    /// Creates the request for a server's report of itself, which waits for no free slot.
    fn report_request(&self, server: &BackendServer) -> Request<Full<Bytes>>;

    /// Reads the head of a server's response.
    fn response_head(&self, response: &Response<()>) -> ResponseHead;

    /// Removes the headers that apply only to the connection between the entry and the server.
    fn strip_connection_headers(&self, response: &mut Response<()>);

    /// Creates the response for a refusal. `id` is the identifier of the caller's attempt, if it was read.
    fn refuse(&self, id: Option<&str>, refusal: Refusal) -> Reply;
}

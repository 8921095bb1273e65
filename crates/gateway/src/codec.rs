//! What an adapter translates: callers' requests and the exchange with backend servers.

use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{Request, Response};
use http_body_util::Full;
use tanagerford_core::dispatch::{Demand, ReportedLoad};
use tanagerford_http::Reply;

use crate::call::{Call, CallId};
use crate::fleet::BackendServer;
use crate::refusal::Refusal;

/// What the head of a caller's request says beside method, target and headers.
#[derive(Debug)]
pub struct CallHead {
    /// Name of this attempt.
    pub id: CallId,
    /// Host that selects the route.
    pub host: String,
    /// Key of the caller, if one was sent.
    pub key: Option<String>,
    /// Time for which the caller will wait.
    pub patience: Option<Duration>,
    /// What the request asks of a model engine.
    pub demand: Demand,
    /// Number of the last event that the caller has already got.
    pub resume_after: Option<u64>,
    /// Headers that are passed on to the server.
    pub headers: http::HeaderMap,
}

/// What a call is sent to a server with.
#[derive(Debug, Clone, Copy)]
pub struct Sending<'a> {
    /// Server that has to run the call.
    pub server: &'a BackendServer,
    /// Time that the caller still waits.
    pub remaining: Duration,
    /// Number of the last event that the caller has got.
    pub resume_after: Option<u64>,
}

/// What the head of a server's answer says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// Call that the answer belongs to.
    pub id: Option<CallId>,
    /// Whether the server states that it did not run the call.
    pub is_not_run: bool,
    /// Whether the server has another name than the call expects.
    pub is_other_server: bool,
    /// Whether the answer proves that a server of the platform gave it.
    pub is_sealed: bool,
    /// Load that the server tells.
    pub load: Option<ReportedLoad>,
}

/// Translates between the wire and the neutral types.
pub trait Codec: Send + Sync + 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// [`Refusal::Malformed`] when the request is ambiguous or lacks what every request has.
    fn call_head(&self, parts: &Parts) -> Result<CallHead, Refusal>;

    /// Creates the request to a server.
    fn request(&self, call: &Call, sending: Sending<'_>) -> Request<Full<Bytes>>;

    /// Reads the head of a server's answer.
    fn answer_head(&self, response: &Response<()>) -> AnswerHead;

    /// Removes the headers of a server's answer that concern only its connection.
    fn strip_answer(&self, response: &mut Response<()>);

    /// Creates an answer of the entry itself.
    fn refuse(&self, id: Option<&str>, refusal: Refusal) -> Reply;
}

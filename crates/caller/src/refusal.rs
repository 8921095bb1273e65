//! Refusals: JSON errors with a stable code, a retry delay and the outcome of the request.

use std::time::Duration;

use http::{HeaderValue, StatusCode, header};
use serde_json::json;
use tanagerford_http::{Body, Reply};

use crate::headers;

/// Whether a refused request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request did not run, so resending it cannot run it twice.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Returns the value of the [`headers::OUTCOME`] header.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Defines [`Code`] with the text and the HTTP status of each code.
macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $text:literal, $status:ident;)*) => {
        /// Stable code of a refusal.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Code {
            $($(#[$doc])* $name,)*
        }

        impl Code {
            /// All codes, in the order of their declaration.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the code as it is written in the JSON error and in link messages.
            #[must_use]
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }

            fn status(self) -> StatusCode {
                match self {
                    $(Self::$name => StatusCode::$status,)*
                }
            }
        }
    };
}

codes! {
    /// The API key is missing or unknown.
    Unauthorized = "unauthorized", UNAUTHORIZED;
    /// The request is malformed.
    InvalidRequest = "invalid_request", BAD_REQUEST;
    /// The path belongs to neither a model interface nor a configured service.
    NotFound = "not_found", NOT_FOUND;
    /// The model is not configured.
    UnknownModel = "unknown_model", NOT_FOUND;
    /// The class is not configured.
    UnknownClass = "unknown_class", BAD_REQUEST;
    /// The body is too large.
    BodyTooLarge = "body_too_large", PAYLOAD_TOO_LARGE;
    /// The request was not received in time.
    RequestTimeout = "request_timeout", REQUEST_TIMEOUT;
    /// The concurrency limit of the class at this entry is reached.
    ClassFull = "class_full", TOO_MANY_REQUESTS;
    /// The sidecar's queue is full for this tier.
    QueueFull = "queue_full", TOO_MANY_REQUESTS;
    /// The estimated wait in the queue exceeds the limit of the request's class.
    WaitTooLong = "wait_too_long", TOO_MANY_REQUESTS;
    /// The request waited in the queue longer than its class allows.
    WaitPassed = "wait_passed", TOO_MANY_REQUESTS;
    /// The deadline passed after a preemption.
    PreemptedTooLong = "preempted_too_long", SERVICE_UNAVAILABLE;
    /// The sidecar is draining and accepts no new work.
    Leaving = "leaving", SERVICE_UNAVAILABLE;
    /// The backend server refused the request because it is at its capacity.
    Overloaded = "overloaded", TOO_MANY_REQUESTS;
    /// The backend server is down.
    ServerDown = "server_down", SERVICE_UNAVAILABLE;
    /// No backend server of the pool can be reached.
    NoServer = "no_server", SERVICE_UNAVAILABLE;
    /// The configuration is not loaded yet.
    NotReady = "not_ready", SERVICE_UNAVAILABLE;
    /// The request is quarantined because it crashed backend servers.
    Quarantined = "quarantined", UNPROCESSABLE_ENTITY;
    /// The backend server failed or its link was lost.
    ServerFailed = "server_failed", BAD_GATEWAY;
    /// The deadline of the request passed.
    DeadlineExceeded = "deadline_exceeded", GATEWAY_TIMEOUT;
    /// A call that must not be repeated lacks an `Idempotency-Key`.
    IdempotencyKeyRequired = "idempotency_key_required", BAD_REQUEST;
    /// The same `Idempotency-Key` was used with a different body.
    IdempotencyKeyReused = "idempotency_key_reused", UNPROCESSABLE_ENTITY;
    /// The order is still running.
    OrderInProgress = "order_in_progress", CONFLICT;
    /// The claim of the order could not be written to the key-value service.
    OrderStoreUnavailable = "order_store_unavailable", SERVICE_UNAVAILABLE;
    /// The order log is full.
    OrderLogFull = "order_log_full", SERVICE_UNAVAILABLE;
    /// A page of the order log cannot be decoded.
    OrderLogUnreadable = "order_log_unreadable", SERVICE_UNAVAILABLE;
    /// The order log of the sidecar is shutting down.
    OrderLogStopping = "order_log_stopping", SERVICE_UNAVAILABLE;
    /// The sidecar has already reported the order as not run and therefore must not run it now.
    OrderRefusedHere = "order_refused_here", SERVICE_UNAVAILABLE;
    /// It is not known whether the claim of the order was written.
    OrderClaimUnresolved = "order_claim_unresolved", CONFLICT;
    /// The connection to the backend server was lost after the order was sent.
    OrderCallLost = "order_call_lost", CONFLICT;
    /// The sidecar that claimed the order no longer exists.
    OrderOwnerGone = "order_owner_gone", CONFLICT;
    /// The sidecar that claimed the order cannot be reached.
    OrderOwnerUnreachable = "order_owner_unreachable", CONFLICT;
    /// The order ran, but its response is no longer stored.
    OrderAnswerLost = "order_answer_lost", CONFLICT;
    /// An operator settled the order as run.
    OrderSettledAsRun = "order_settled_as_run", CONFLICT;
}

impl Code {
    /// Parses the code of a refusal that a sidecar sent over a link. An unknown code, for example from a newer sidecar,
    /// becomes [`Code::ServerFailed`].
    ///
    /// # Examples
    ///
    /// ```
    /// use tanagerford_caller::refusal::Code;
    ///
    /// assert_eq!(Code::from_wire("queue_full"), Code::QueueFull);
    /// assert_eq!(Code::from_wire("of a later version"), Code::ServerFailed);
    /// ```
    #[must_use]
    pub fn from_wire(code: &str) -> Self {
        let known = Self::ALL.iter().find(|known| known.as_str() == code);
        known.copied().unwrap_or(Self::ServerFailed)
    }

    /// Returns whether every backend server would refuse the request in the same way, so that no other one is tried.
    ///
    /// # Examples
    ///
    /// ```
    /// use tanagerford_caller::refusal::Code;
    ///
    /// assert!(Code::Quarantined.is_final());
    /// assert!(!Code::QueueFull.is_final());
    /// ```
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Quarantined | Self::IdempotencyKeyReused)
    }
}

/// Refusal of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Code that callers can rely on; it also determines the HTTP status.
    pub code: Code,
    /// Human-readable explanation; its wording may change.
    pub message: String,
    /// Delay after which the caller may retry; `None` when the same request would be refused again.
    pub retry_after: Option<Duration>,
    /// Whether the request may have run.
    pub outcome: Outcome,
}

impl Refusal {
    /// Creates a refusal of a request that did not run, without a retry delay.
    #[must_use]
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            retry_after: None,
            outcome: Outcome::NotRun,
        }
    }

    /// Sets the delay after which the caller may retry.
    #[must_use]
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Sets the outcome to [`Outcome::Unknown`].
    #[must_use]
    pub fn with_unknown_outcome(mut self) -> Self {
        self.outcome = Outcome::Unknown;
        self
    }

    /// Returns the body of the HTTP reply, a JSON error.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_caller::refusal::{Code, Refusal};
    ///
    /// let refusal = Refusal::new(Code::Overloaded, "queue is full").retry_after(Duration::from_millis(250));
    /// assert!(refusal.to_json("r1").contains("\"code\":\"overloaded\""));
    /// ```
    #[must_use]
    pub fn to_json(&self, request_id: &str) -> String {
        let error = json!({
            "code": self.code.as_str(),
            "message": self.message,
            "outcome": self.outcome.as_str(),
            "retry_after_ms": self.retry_after.map(milliseconds),
            "request_id": request_id,
        });
        json!({ "error": error }).to_string()
    }

    /// Returns the HTTP reply with the status of the code and the headers `Tanagerford-Outcome`, `X-Request-Id` and, with
    /// a retry delay, `Retry-After`.
    #[must_use]
    pub fn to_reply(&self, request_id: &str) -> Reply {
        let mut reply = Reply::new(Body::full(self.to_json(request_id)));
        *reply.status_mut() = self.code.status();
        let headers = reply.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        headers.insert(
            headers::OUTCOME,
            HeaderValue::from_static(self.outcome.as_str()),
        );
        if let Ok(value) = HeaderValue::from_str(request_id) {
            headers.insert(headers::REQUEST_ID, value);
        }
        if let Some(delay) = self.retry_after {
            // Retry-After is in whole seconds, rounded up; the JSON error carries the delay in milliseconds.
            let seconds = delay.as_millis().div_ceil(1_000).max(1);
            headers.insert(
                header::RETRY_AFTER,
                HeaderValue::from(u64::try_from(seconds).unwrap_or(u64::MAX)),
            );
        }
        reply
    }
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

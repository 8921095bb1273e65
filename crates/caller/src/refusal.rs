//! Refusals: JSON errors with a stable code, retry advice and a truthful outcome.

use std::time::Duration;

use http::{HeaderValue, StatusCode, header};
use serde_json::json;
use tanagerford_http::{Body, Reply};

use crate::headers;

/// Whether a refused request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request certainly did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Returns the value of the outcome header.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Stable code of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Code {
    /// The API key is missing or unknown.
    Unauthorized,
    /// The request is malformed.
    InvalidRequest,
    /// The path names no interface and no service.
    NotFound,
    /// The model is not configured.
    UnknownModel,
    /// The class is not configured.
    UnknownClass,
    /// The body is too large.
    BodyTooLarge,
    /// The request was not received in time.
    RequestTimeout,
    /// The entry has no place left for this class.
    ClassFull,
    /// Load shedding: the request cannot start within its class's longest wait.
    Overloaded,
    /// No backend server of the pool can be reached.
    NoServer,
    /// The process stops.
    Stopping,
    /// The configuration is not loaded yet.
    NotReady,
    /// The request crashed backend servers and is quarantined.
    Quarantined,
    /// The backend server failed.
    ServerFailed,
    /// The time limit passed.
    DeadlineExceeded,
    /// A call that must not be repeated lacks an `Idempotency-Key`.
    IdempotencyKeyRequired,
    /// The same `Idempotency-Key` was used with another body.
    IdempotencyKeyReused,
    /// The order log has no room.
    OrderLogFull,
    /// The order log cannot be written.
    OrderLogUnavailable,
    /// The outcome of the order is not known.
    OrderUnknown,
    /// The order ran, but its answer is not kept any more.
    OrderAnswerLost,
}

impl Code {
    /// Returns the code as it stands in the JSON error.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unauthorized => "unauthorized",
            Self::InvalidRequest => "invalid_request",
            Self::NotFound => "not_found",
            Self::UnknownModel => "unknown_model",
            Self::UnknownClass => "unknown_class",
            Self::BodyTooLarge => "body_too_large",
            Self::RequestTimeout => "request_timeout",
            Self::ClassFull => "class_full",
            Self::Overloaded => "overloaded",
            Self::NoServer => "no_server",
            Self::Stopping => "stopping",
            Self::NotReady => "not_ready",
            Self::Quarantined => "quarantined",
            Self::ServerFailed => "server_failed",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::IdempotencyKeyRequired => "idempotency_key_required",
            Self::IdempotencyKeyReused => "idempotency_key_reused",
            Self::OrderLogFull => "order_log_full",
            Self::OrderLogUnavailable => "order_log_unavailable",
            Self::OrderUnknown => "order_unknown",
            Self::OrderAnswerLost => "order_answer_lost",
        }
    }

    /// Returns the code that a sidecar names on a link.
    #[must_use]
    pub fn from_wire(code: &str) -> Self {
        const FROM_SIDECAR: [Code; 10] = [
            Code::Overloaded,
            Code::Stopping,
            Code::Quarantined,
            Code::ServerFailed,
            Code::DeadlineExceeded,
            Code::IdempotencyKeyReused,
            Code::OrderLogFull,
            Code::OrderLogUnavailable,
            Code::OrderUnknown,
            Code::OrderAnswerLost,
        ];
        let known = FROM_SIDECAR
            .into_iter()
            .find(|known| known.as_str() == code);
        known.unwrap_or(Self::ServerFailed)
    }

    fn status(self) -> StatusCode {
        match self {
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::InvalidRequest | Self::UnknownClass | Self::IdempotencyKeyRequired => {
                StatusCode::BAD_REQUEST
            }
            Self::NotFound | Self::UnknownModel => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::RequestTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::ClassFull | Self::Overloaded => StatusCode::TOO_MANY_REQUESTS,
            Self::Quarantined | Self::IdempotencyKeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::ServerFailed => StatusCode::BAD_GATEWAY,
            Self::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
            Self::OrderUnknown | Self::OrderAnswerLost => StatusCode::CONFLICT,
            Self::NoServer
            | Self::Stopping
            | Self::NotReady
            | Self::OrderLogFull
            | Self::OrderLogUnavailable => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Refusal of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Stable code.
    pub code: Code,
    /// Explanation for a person.
    pub message: String,
    /// When to send the request again; `None` when the same request would be refused again.
    pub retry_after: Option<Duration>,
    /// Whether the request ran.
    pub outcome: Outcome,
}

impl Refusal {
    /// Creates a refusal of a request that did not run and that should not be sent again unchanged.
    #[must_use]
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            retry_after: None,
            outcome: Outcome::NotRun,
        }
    }

    /// Adds the advice to send the request again after `delay`.
    #[must_use]
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Marks the outcome as unknown.
    #[must_use]
    pub fn unknown(mut self) -> Self {
        self.outcome = Outcome::Unknown;
        self
    }

    /// Returns the JSON error.
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

    /// Returns the HTTP reply.
    #[must_use]
    pub fn to_reply(&self, request_id: &str) -> Reply {
        let mut reply = Reply::new(Body::whole(self.to_json(request_id)));
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
            // Retry-After has whole seconds; the JSON error carries the exact advice.
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

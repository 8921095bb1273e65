//! Errors of calls to an engine.

use std::fmt;

use tanagerford_http::client::is_unsent;

/// Reason why a call to an engine failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineError {
    /// No connection was established, so the engine never received the request.
    Unreachable,
    /// The engine refused the request.
    Refused {
        /// HTTP status, such as 429 from a full batch or 409 for an outdated fencing token.
        status: u16,
        /// Body of the response, at most 1 MiB.
        body: String,
    },
    /// The connection was lost or timed out after the request may have been sent.
    Lost,
    /// The response is malformed or too large.
    Malformed,
}

impl fmt::Display for EngineError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable => formatter.write_str("cannot connect to the engine"),
            Self::Refused { status, .. } => {
                write!(formatter, "engine refused the request with status {status}")
            }
            Self::Lost => formatter.write_str("connection to the engine was lost"),
            Self::Malformed => formatter.write_str("engine sent a malformed answer"),
        }
    }
}

impl std::error::Error for EngineError {}

impl From<ureq::Error> for EngineError {
    fn from(error: ureq::Error) -> Self {
        if is_unsent(&error) {
            Self::Unreachable
        } else {
            Self::Lost
        }
    }
}

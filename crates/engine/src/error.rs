//! Errors of calls to an engine.

use std::fmt;

use tanagerford_http::client::is_unsent;

/// Why a call to an engine failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineError {
    /// No connection could be made, so the engine never saw the request.
    Unreachable,
    /// The engine refused the request with this HTTP status and body.
    Refused {
        /// HTTP status.
        status: u16,
        /// Body of the answer.
        body: String,
    },
    /// The connection was lost after the request was sent.
    Lost,
    /// The engine's answer is malformed.
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

//! Errors of calls to a plain service.

use std::fmt;

use tanagerford_http::client::is_unsent;

/// Reason why a call to a plain service failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceError {
    /// No connection was established, so the service never received the call.
    Unreachable,
    /// The method, path or a header of the call is invalid; nothing was sent.
    Invalid,
    /// The connection was lost or timed out after the call may have been sent; whether it ran is unknown.
    Lost,
}

impl fmt::Display for ServiceError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Unreachable => "cannot connect to the service",
            Self::Invalid => "call is malformed and was not sent",
            Self::Lost => "connection to the service was lost",
        })
    }
}

impl std::error::Error for ServiceError {}

impl From<ureq::Error> for ServiceError {
    fn from(error: ureq::Error) -> Self {
        match error {
            ureq::Error::BadUri(_) => Self::Invalid,
            error if is_unsent(&error) => Self::Unreachable,
            _ => Self::Lost,
        }
    }
}

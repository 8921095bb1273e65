//! Errors of links.

use std::fmt;

/// Why a link failed or could not be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkError {
    /// The peer could not be reached.
    Connect,
    /// The connection was lost.
    Lost,
    /// The peer speaks another version of the protocol.
    Version,
    /// The peer did not prove that it holds the fleet key.
    Authentication,
    /// The peer sent a malformed or an oversized frame.
    Malformed,
    /// The queue of outgoing frames is full.
    Congested,
}

impl fmt::Display for LinkError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Connect => "cannot connect to the peer",
            Self::Lost => "connection to the peer was lost",
            Self::Version => "peer speaks another version of the link protocol",
            Self::Authentication => "peer did not prove that it holds the fleet key",
            Self::Malformed => "peer sent a malformed frame",
            Self::Congested => "queue of outgoing frames is full",
        })
    }
}

impl std::error::Error for LinkError {}

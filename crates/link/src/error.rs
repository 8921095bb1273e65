use std::fmt;

/// Reason why a link failed or could not be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkError {
    /// The peer could not be reached.
    Connect,
    /// The connection was lost.
    Lost,
    /// The peer uses another version of the link protocol.
    Version,
    /// The peer's proof does not match the fleet key.
    Authentication,
    /// A frame is malformed, oversized or not expected at this point of the handshake.
    Malformed,
    /// The queue of outgoing frames is full; the link is closed.
    Congested,
}

impl fmt::Display for LinkError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Connect => "cannot connect to the peer",
            Self::Lost => "connection to the peer was lost",
            Self::Version => "peer uses another version of the link protocol",
            Self::Authentication => "peer failed to authenticate with the fleet key",
            Self::Malformed => "frame is malformed, too large or unexpected",
            Self::Congested => "queue of outgoing frames is full",
        })
    }
}

impl std::error::Error for LinkError {}

//! Refusals: responses that the entry creates itself.

use std::time::Duration;

use tanagerford_core::dispatch::{BUSY_RETRY_AFTER, OVERLOAD_RETRY_AFTER, PartId};

use crate::quarantine::part_name;

/// Reason why the entry creates the response itself instead of forwarding a server's.
///
/// For reasons with [`Refusal::is_not_run`], the response guarantees that the request has not run and never will.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The entry has not received a configuration yet.
    NoConfiguration,
    /// No route matches the host and path.
    NoRoute,
    /// The API key is missing or unknown.
    UnknownKey,
    /// The request is ambiguous or incomplete, or its body ended early.
    Malformed,
    /// The body exceeds the configured limit.
    TooLarge,
    /// The body did not arrive in time.
    SlowBody,
    /// The entry has no memory for the request's body.
    OutOfMemory,
    /// No server of the pool is known, or none could be connected to.
    NoServer,
    /// The servers that were tried refused the call, or no server has room for its long prompt.
    Overloaded,
    /// All servers of the pool limit their requests. The limits have room again after this time.
    ServerLimit(Duration),
    /// The servers of the pool asked for a rest. The caller should retry after this time, when the first one is back.
    ServersAtRest(Duration),
    /// Other entries may not know of the version of the pool's servers yet. They receive calls after this time at the latest.
    ServersWithheld(Duration),
    /// The caller resumes a stream, and no entry that answers knows the version at which it began.
    StreamVersionUnknown,
    /// The caller resumes a stream, and no server of the version that began it accepts calls.
    StreamVersionGone,
    /// The entry sheds the call because it is short of processor time.
    Busy,
    /// The request crashed the servers that ran it.
    Quarantined,
    /// Servers crashed that answered requests with this part of the prompt.
    QuarantinedPart(PartId),
    /// The deadline passed before the request was sent to a server.
    Expired,
    /// A server may have run the request and returned no usable response.
    ServerFailed,
    /// The deadline passed while a server may have been running the request.
    TimedOut,
    /// The entry panicked while it handled the request, which a server may have run.
    InternalError,
    /// The entry stops before a server has answered; a server may have run the request.
    Stopping,
    /// The entry stops before the time limit of the request, which came too late to end before.
    TooLateInStop,
}

impl Refusal {
    /// Returns the name of the reason in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::Malformed => "malformed",
            Self::TooLarge => "too_large",
            Self::SlowBody => "slow_body",
            Self::OutOfMemory => "out_of_memory",
            Self::NoServer => "no_server",
            Self::Overloaded => "overloaded",
            Self::ServerLimit(_) => "server_limit",
            Self::ServersAtRest(_) => "servers_at_rest",
            Self::ServersWithheld(_) => "servers_withheld",
            Self::StreamVersionUnknown => "stream_version_unknown",
            Self::StreamVersionGone => "stream_version_gone",
            Self::Busy => "entry_busy",
            Self::Quarantined => "quarantined",
            Self::QuarantinedPart(_) => "quarantined_part",
            Self::Expired => "expired",
            Self::ServerFailed => "server_failed",
            Self::TimedOut => "timed_out",
            Self::InternalError => "internal_error",
            Self::Stopping => "stopping",
            Self::TooLateInStop => "too_late_in_stop",
        }
    }

    /// Returns the name of the prompt part that causes the refusal: its identifier in hexadecimal.
    #[must_use]
    pub fn part(self) -> Option<String> {
        match self {
            Self::QuarantinedPart(part) => Some(part_name(part)),
            _ => None,
        }
    }

    /// Returns whether the request is certain not to have run.
    ///
    /// # Examples
    ///
    /// ```
    /// use tanagerford_gateway::refusal::Refusal;
    ///
    /// assert!(Refusal::Overloaded.is_not_run());
    /// assert!(!Refusal::TimedOut.is_not_run());
    /// ```
    #[must_use]
    pub fn is_not_run(self) -> bool {
        !matches!(
            self,
            Self::ServerFailed | Self::TimedOut | Self::InternalError | Self::Stopping
        )
    }

    /// Returns the delay after which the caller should retry, or `None` if a retry is not expected to help.
    #[must_use]
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            // After an outage of the store, reading the configuration takes up to a second.
            // The largest bodies are read in about a second, too.
            Self::NoConfiguration | Self::OutOfMemory => Some(Duration::from_secs(1)),
            Self::NoServer => Some(Duration::from_millis(150)),
            Self::Overloaded => Some(OVERLOAD_RETRY_AFTER),
            Self::ServerLimit(wait) | Self::ServersAtRest(wait) | Self::ServersWithheld(wait) => {
                Some(wait)
            }
            Self::Busy => Some(BUSY_RETRY_AFTER),
            Self::Quarantined | Self::QuarantinedPart(_) => Some(Duration::from_secs(30)),
            _ => None,
        }
    }
}

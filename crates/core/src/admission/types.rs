//! Requests, actions and load reports of admission.

use std::time::Duration;

use crate::ids::{AttemptId, ClassId, TierId, WorkspaceId};

/// A model request that is offered to a sidecar.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Identifier of the attempt, unique among the requests that wait or run here.
    pub id: AttemptId,
    /// Tier of the workspace; a tier below the lowest configured one counts as the lowest.
    pub tier: TierId,
    /// Class that sets the latency targets and the priority.
    pub class: ClassId,
    /// Workspace of the caller, for fairness inside the tier.
    pub workspace: WorkspaceId,
    /// Requested model, a key of the output-length estimate.
    pub model: String,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Maximum response length in tokens.
    pub max_tokens: u32,
    /// Maximum time from the offer to the start. The class's longest wait applies if it is shorter.
    pub wait_limit: Duration,
    /// Time, on the clock of `now`, at which the caller's timeout expires.
    pub deadline: Duration,
    /// Whether the engine can resume the stream after a preemption.
    pub resumable: bool,
    /// Number of other requests that may run at the engine beside this one, if it is suspected of crashing engines;
    /// `None` for a request that is not suspected.
    pub max_other_requests: Option<u32>,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefuseReason {
    /// The tier's queue is full.
    QueueFull,
    /// The request is predicted to start after its wait limit.
    WaitTooLong,
    /// The wait limit has passed.
    WaitPassed,
    /// The caller's deadline passed after a preemption; part of the response was generated.
    PreemptedTooLong,
    /// The sidecar is draining.
    Leaving,
    /// The backend server was reported down and has not been reported up since.
    ServerDown,
}

impl RefuseReason {
    /// Returns the stable code that is sent to callers.
    ///
    /// ```
    /// use tanagerford_core::admission::RefuseReason;
    ///
    /// assert_eq!(RefuseReason::QueueFull.code(), "queue_full");
    /// ```
    #[must_use]
    pub fn code(self) -> &'static str {
        match self {
            Self::QueueFull => "queue_full",
            Self::WaitTooLong => "wait_too_long",
            Self::WaitPassed => "wait_passed",
            Self::PreemptedTooLong => "preempted_too_long",
            Self::Leaving => "leaving",
            Self::ServerDown => "server_down",
        }
    }

    /// Returns whether the refused request was certainly never sent to the engine.
    #[must_use]
    pub fn is_not_run(self) -> bool {
        self != Self::PreemptedTooLong
    }
}

/// An instruction to the runtime.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the engine, or resume it if it was preempted with `requeued`.
    Start {
        /// Identifier of the attempt.
        id: AttemptId,
    },
    /// Stop the request at the engine.
    Preempt {
        /// Identifier of the attempt.
        id: AttemptId,
        /// Whether the request is queued for another `Start`. Otherwise the attempt has ended.
        requeued: bool,
    },
    /// Refuse the request; the attempt has ended.
    Refuse {
        /// Identifier of the attempt.
        id: AttemptId,
        /// Reason that is reported to the caller.
        reason: RefuseReason,
        /// Delay after which the caller may retry, from 100 ms to 30 s.
        retry_after: Duration,
    },
}

/// Result of a request that was started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinishKind {
    /// The response is complete.
    Complete,
    /// The engine reported a failure, or the caller cancelled the request.
    Failed,
    /// The engine crashed while the request ran.
    Crashed,
}

/// Load report of an engine, which arrives with a delay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of requests in the engine's batch, of all tiers.
    pub running: u32,
    /// Current inter-token latency.
    pub token_gap: Duration,
}

/// Load of a sidecar, which it sends to entries with responses and refusals.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Load {
    /// Number of requests at the engine.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Largest batch that meets the inter-token latency target.
    pub batch_limit: u32,
    /// Expected inter-token latency; zero for a service without tokens.
    pub token_gap: Duration,
    /// Number of running and queued requests by tier, highest tier first.
    pub busy_by_tier: Vec<u32>,
    /// Whether the sidecar is draining and refuses new requests.
    pub leaving: bool,
}

//! Requests, actions and load of admission.

use std::time::Duration;

use crate::ids::{AttemptId, ClassId, TierId, WorkspaceId};

/// A model request that is offered to a sidecar.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Number of the attempt.
    pub id: AttemptId,
    /// Tier of the workspace.
    pub tier: TierId,
    /// Class of the request.
    pub class: ClassId,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Model that is to answer.
    pub model: String,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Largest length of the answer in tokens.
    pub max_tokens: u32,
    /// Time from the offer within which the request has to start; at most the class's longest wait.
    pub wait_limit: Duration,
    /// Time, on the clock of `now`, at which the caller gives up.
    pub deadline: Duration,
    /// Whether the engine can resume the stream after a preemption.
    pub resumable: bool,
    /// Other requests that may run at the engine beside this one because it is suspected of crashing engines; `None`
    /// for all others.
    pub max_company: Option<u32>,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefuseReason {
    /// The tier's waiting places are taken.
    QueueFull,
    /// The request is not expected to start within its longest wait.
    WaitTooLong,
    /// The longest wait has passed.
    WaitPassed,
    /// The caller's deadline passed after a preemption; part of the answer was generated.
    PreemptedTooLong,
    /// The sidecar takes no new work.
    Leaving,
    /// The backend server is down.
    ServerDown,
}

impl RefuseReason {
    /// Returns the stable code that callers see.
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

    /// Returns whether nothing was handed to the engine.
    #[must_use]
    pub fn is_not_run(self) -> bool {
        self != Self::PreemptedTooLong
    }
}

/// What the runtime has to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Hand the request to the engine, or resume it if it was preempted with `requeued`.
    Start {
        /// Number of the attempt.
        id: AttemptId,
    },
    /// Stop the request at the engine.
    Preempt {
        /// Number of the attempt.
        id: AttemptId,
        /// Whether the request waits here for another `Start`. Otherwise the attempt is over.
        requeued: bool,
    },
    /// Answer the request with a refusal; the attempt is over.
    Refuse {
        /// Number of the attempt.
        id: AttemptId,
        /// Why it was refused.
        reason: RefuseReason,
        /// After which time another attempt makes sense.
        retry_after: Duration,
    },
}

/// How a request that was started has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinishKind {
    /// The answer is complete.
    Complete,
    /// The engine failed.
    Failed,
    /// The engine crashed.
    Crashed,
}

/// Load report of an engine, which lags behind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests in the engine's batch.
    pub running: u32,
    /// Time between tokens.
    pub token_gap: Duration,
}

/// Load of a sidecar, sent to entries with answers and refusals.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Load {
    /// Requests at the engine.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Largest batch that meets the between-token target.
    pub batch_limit: u32,
    /// Expected time between tokens.
    pub token_gap: Duration,
    /// Running and waiting requests by tier, highest tier first.
    pub busy_by_tier: Vec<u32>,
    /// Whether the sidecar takes no new work.
    pub leaving: bool,
}

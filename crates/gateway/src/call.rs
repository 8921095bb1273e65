//! A caller's request, independent of the protocol that carried it.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use tanagerford_core::dispatch::Demand;

use crate::processor::AdmissionGuard;
use crate::request_end::RequestRecord;
use crate::table::{Route, Workspace};

/// Time after the deadline during which an answer that is ready is still forwarded.
const LATE_ANSWER_TIME: Duration = Duration::from_millis(250);

/// Identifier that a caller assigns to one attempt of a request.
pub type CallId = String;

/// Which retries are allowed after an attempt that a server may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The request may run again from the start.
    Idempotent,
    /// The stream may continue at another server after the last complete event.
    Resumable,
    /// No retry: the request must run at most once.
    AtMostOnce,
}

/// A caller's request with all that determines how it is served.
#[derive(Debug)]
pub struct Call {
    /// Identifier of the caller's attempt. A response that carries another one is rejected.
    pub(crate) id: CallId,
    /// Method, forwarded unchanged.
    pub method: Method,
    /// Request target, forwarded unchanged.
    pub target: Uri,
    /// Headers that are forwarded to the server.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    pub(crate) route: Arc<Route>,
    /// Workspace that owns the caller's key; `None` on public routes and when no keys are configured.
    pub workspace: Option<Arc<Workspace>>,
    /// Estimated work for a model engine; all token counts are 0 for plain services.
    pub demand: Demand,
    /// Number of the last event that the caller has received, if it resumes a stream.
    pub(crate) resume_after: Option<u64>,
    /// Attempt that brought the first event of the resumed stream; `None` if the caller did not name it.
    pub(crate) resumed_attempt: Option<CallId>,
    /// Time at which the request's head arrived; the route's timeout and the caller's deadline count from it.
    pub(crate) arrived: Instant,
    /// Time at which the caller stops waiting, if the request states it.
    pub(crate) caller_deadline: Option<Instant>,
    /// Record of the request, which stores its end.
    pub(crate) record: Arc<RequestRecord>,
    /// Counts the call among the entry's admitted calls until it is dropped.
    pub(crate) admission: Option<AdmissionGuard>,
    /// Whether a server is known to have begun to work on the call, so that it is counted once.
    pub(crate) is_begun: AtomicBool,
}

impl Call {
    /// Returns the name of the workspace, or an empty string for a call without one.
    pub(crate) fn workspace_name(&self) -> &str {
        let workspace = self.workspace.as_ref();
        workspace.map_or("", |workspace| &workspace.name)
    }

    pub(crate) fn retry_policy(&self) -> RetryPolicy {
        self.route.retry_policy
    }

    /// Returns the time by which the final response is due: the end of the route's timeout or the caller's deadline,
    /// whichever is earlier.
    pub(crate) fn deadline(&self) -> Instant {
        let timeout = self.arrived + self.route.timeout;
        self.caller_deadline.map_or(timeout, |end| end.min(timeout))
    }

    /// Returns whether the deadline passed so long ago that bytes which are ready are no longer forwarded. Just after the
    /// deadline they may complete an answer; without a limit, a body without end would go on for ever, since a read that is
    /// ready never times out.
    pub(crate) fn is_overdue(&self) -> bool {
        Instant::now() > self.deadline() + LATE_ANSWER_TIME
    }

    /// Returns the rank of the call; 0 is served first. Calls are ordered by the rank of the workspace, then by the
    /// rank of the route.
    #[must_use]
    pub fn priority(&self) -> u8 {
        self.route.rank(self.workspace.as_deref())
    }

    /// Returns the rank for load shedding by an entry that is short of processor time. A call of a plain service costs
    /// a small fraction of the processor time of a stream, so it is shed last among the calls of its workspace's rank.
    pub(crate) fn shedding_rank(&self) -> u8 {
        if self.route.is_stream {
            self.priority()
        } else {
            self.workspace_rank()
        }
    }

    fn workspace_rank(&self) -> u8 {
        self.route.workspace_rank(self.workspace.as_deref())
    }
}

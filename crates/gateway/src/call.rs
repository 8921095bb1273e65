//! A caller's request, independent of the protocol that carried it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use tanagerford_core::dispatch::Demand;

use crate::log;
use crate::processor::Entered;
use crate::table::{Route, Workspace};

/// Name that a caller gives one attempt of a request.
pub type CallId = String;

/// What may be done with a request that may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// It may run again from the start.
    Idempotent,
    /// A stream that may go on at another server after the last event that arrived.
    Resumable,
    /// It must run at most once.
    AtMostOnce,
}

/// A caller's request with everything that decides how it is served.
#[derive(Debug)]
pub struct Call {
    /// Name that the caller gave this attempt; answers of servers are checked against it.
    pub id: CallId,
    /// Method.
    pub method: Method,
    /// Target as it was sent.
    pub target: Uri,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Route of the request.
    pub route: Arc<Route>,
    /// Workspace of the key; `None` on public routes.
    pub workspace: Option<Arc<Workspace>>,
    /// What the request asks of a model engine; empty for plain services.
    pub demand: Demand,
    /// Number of the last event that the caller has already got, if it resumes a stream.
    pub resume_after: Option<u64>,
    /// Time at which the request's head arrived.
    pub arrived: Instant,
    /// Time at which the caller stops waiting, if it said so.
    pub caller_deadline: Option<Instant>,
    /// Whether the end of the call was logged.
    pub(crate) is_ended: AtomicBool,
    /// Counts the call among those that the entry has taken.
    pub(crate) entered: Option<Entered>,
}

impl Drop for Call {
    fn drop(&mut self) {
        // Nothing else drops a call that has no end yet: its future ends with the caller's connection.
        if !self.is_ended.load(Ordering::Acquire) {
            log::caller_left(self);
        }
    }
}

impl Call {
    /// Returns the name of the workspace; empty on public routes.
    #[must_use]
    pub fn workspace_name(&self) -> &str {
        let workspace = self.workspace.as_ref();
        workspace.map_or("", |workspace| &workspace.name)
    }

    /// Records that the end of the call was logged.
    pub(crate) fn end(&self) {
        self.is_ended.store(true, Ordering::Release);
    }

    /// Returns what may be repeated of this call.
    #[must_use]
    pub fn repeat(&self) -> Repeat {
        self.route.repeat
    }

    /// Returns the time at which the call must have its final answer: the route's timeout or the end of the caller's
    /// patience, whichever is first.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        let timeout = self.arrived + self.route.timeout;
        self.caller_deadline.map_or(timeout, |end| end.min(timeout))
    }

    /// Returns the rank of the call; 0 is served first. The workspace's rank decides before the route's: among calls of
    /// equal workspaces the route's rank still counts.
    #[must_use]
    pub fn priority(&self) -> u8 {
        self.workspace_rank().saturating_add(self.route.priority)
    }

    /// Returns the rank by which an entry that is short of processor time chooses what it refuses. A call of a plain
    /// service takes a small part of the time of a stream, so it goes last among those of its workspace's rank.
    #[must_use]
    pub fn shedding_rank(&self) -> u8 {
        if self.route.is_stream {
            self.priority()
        } else {
            self.workspace_rank()
        }
    }

    /// Returns the rank of the workspace, in which those of its routes fit.
    fn workspace_rank(&self) -> u8 {
        let workspace = self.workspace.as_ref().and_then(|w| w.priority);
        workspace
            .unwrap_or(0)
            .saturating_mul(self.route.ranks.max(1))
    }
}

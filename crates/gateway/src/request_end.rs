//! Accounts for every request that was read whole: each one ends exactly once, in a known way.
//!
//! The paths that answer, refuse or cut a request record its end. [`RequestGuard`] belongs to the outermost future that
//! handles the request and then to the body of its streamed answer, and records the end of a request for which no path
//! did.

use std::any::Any;
use std::io;
use std::panic::AssertUnwindSafe;
use std::sync::{Arc, OnceLock};
use std::time::Instant;

use bytes::Bytes;
use futures_lite::{FutureExt, Stream, StreamExt, stream};
use http_body_util::BodyDataStream;
use hyper::body::Body as _;
use tanagerford_http::{Body, Reply};

use crate::call::CallId;
use crate::codec::CallHead;
use crate::log::{self, RequestInfo};
use crate::metrics::Metrics;
use crate::refusal::Refusal;
use crate::table::{Route, Workspace};

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestEnd {
    /// A response that is not an event stream was received completely.
    Answered,
    /// An event stream was forwarded to its end.
    StreamComplete,
    /// The entry created the response itself.
    Refused(Refusal),
    /// The response had begun and was aborted. The reason is the one in the log line.
    Cut(&'static str),
    /// The caller closed its connection before its response was complete.
    CallerLeft,
    /// The handling ended without an answer, a refusal or a cut, although the caller was still there.
    Dropped,
    /// The handling panicked.
    Panicked,
}

impl RequestEnd {
    /// Returns the name of the end in metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::StreamComplete => "stream_complete",
            Self::Refused(_) => "refused",
            Self::Cut(_) => "cut",
            Self::CallerLeft => "caller_left",
            Self::Dropped => "dropped",
            Self::Panicked => "panicked",
        }
    }

    /// Returns the reason of a refusal or a cut; an empty string for other ends.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::Refused(refusal) => refusal.name(),
            Self::Cut(reason) => reason,
            _ => "",
        }
    }
}

/// Request that was read whole, with its end.
#[derive(Debug)]
pub(crate) struct RequestRecord {
    metrics: Arc<Metrics>,
    pub(crate) id: CallId,
    pub(crate) arrived: Instant,
    pub(crate) caller_deadline: Option<Instant>,
    /// Route and workspace of the caller's key, once they are known.
    pub(crate) route: OnceLock<(Arc<Route>, Option<Arc<Workspace>>)>,
    end: OnceLock<RequestEnd>,
}

impl RequestRecord {
    fn new(metrics: &Arc<Metrics>, head: &CallHead, arrived: Instant) -> Self {
        metrics.on_request_read();
        Self {
            metrics: Arc::clone(metrics),
            id: head.id.clone(),
            arrived,
            caller_deadline: head.caller_timeout.map(|timeout| arrived + timeout),
            route: OnceLock::new(),
            end: OnceLock::new(),
        }
    }

    /// Records and counts the end of the request; returns whether it had none. Only the first end counts.
    pub(crate) fn end(&self, end: RequestEnd) -> bool {
        let is_first = self.end.set(end).is_ok();
        if is_first {
            self.metrics.on_request_end(end);
        } else {
            tracing::debug!(request = self.id, first = ?self.end.get(), second = ?end, "request ended twice");
        }
        is_first
    }

    fn has_ended(&self) -> bool {
        self.end.get().is_some()
    }
}

/// Guard of a request from the moment it was read whole until its end.
///
/// A guard that is dropped before the request has an end records one. These places can drop it:
///
/// - A panic while the response to an earlier panic is created unwinds through the guard. The guard's owner catches all other
///   panics.
/// - The HTTP library drops the future of [`Service::handle`](tanagerford_http::server::Service::handle), or the body
///   of the response, when it closes the connection: because the caller has closed or reset it, has closed its sending
///   side, or because a write to the caller failed. It does not do so at a timeout or at the begin of a shutdown, which
///   waits for both. All of this counts as the caller's leaving.
///
/// The end of the process drops no guard; `requests_in_flight` of its last log line counts these requests.
///
/// A future *inside* of the handling that is dropped, by a timeout or a `select`, does not drop the guard, since the guard
/// belongs to the outermost future. If the handling then returns a response or a body ends without a recorded end,
/// the request counts as dropped.
#[derive(Debug)]
pub(crate) struct RequestGuard(Arc<RequestRecord>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if self.0.has_ended() {
            return;
        }
        if std::thread::panicking() {
            self.0.end(RequestEnd::Panicked);
            log::panicked(RequestInfo::from_record(&self.0), None);
        } else {
            self.0.end(RequestEnd::CallerLeft);
            log::caller_left(&self.0);
        }
    }
}

impl RequestGuard {
    /// Counts a request that was read whole.
    pub(crate) fn new(metrics: &Arc<Metrics>, head: &CallHead, arrived: Instant) -> Self {
        Self(Arc::new(RequestRecord::new(metrics, head, arrived)))
    }

    /// Returns the record in which the paths that answer, refuse or cut the request store its end.
    pub(crate) fn record(&self) -> &Arc<RequestRecord> {
        &self.0
    }

    /// Keeps the guard until the response is complete. The body of a response whose request has not ended yet is a stream.
    pub(crate) fn watch(self, reply: Reply) -> Reply {
        if self.0.has_ended() {
            return reply;
        }
        if reply.body().size_hint().exact().is_some() {
            self.end_as_dropped();
            return reply;
        }
        reply.map(|body| Body::streamed(self.watch_body(body)))
    }

    fn watch_body(self, body: Body) -> impl Stream<Item = io::Result<Bytes>> {
        let chunks = BodyDataStream::new(body);
        stream::unfold(Some((self, chunks)), |state| async {
            let (guard, mut chunks) = state?;
            // The stream is not polled again after a panic.
            match AssertUnwindSafe(chunks.next()).catch_unwind().await {
                Ok(Some(Ok(chunk))) => Some((Ok(chunk), Some((guard, chunks)))),
                Ok(end) => {
                    guard.end_as_dropped();
                    end.map(|chunk| (chunk, None))
                }
                Err(panic) => {
                    guard.end_as_panicked(&*panic);
                    Some((Err(io::ErrorKind::ConnectionAborted.into()), None))
                }
            }
        })
    }

    /// Records that the handling is over, if no path has recorded an end.
    fn end_as_dropped(&self) {
        if !self.0.has_ended() {
            self.0.end(RequestEnd::Dropped);
            log::dropped(&self.0);
        }
    }

    /// Records that the handling panicked.
    pub(crate) fn end_as_panicked(&self, panic: &(dyn Any + Send)) {
        self.0.end(RequestEnd::Panicked);
        log::panicked(RequestInfo::from_record(&self.0), panic_message(panic));
    }
}

/// Returns the message of a panic; `None` if its payload is not a text.
pub(crate) fn panic_message(panic: &(dyn Any + Send)) -> Option<&str> {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| panic.downcast_ref::<&str>().copied())
}

//! Activity of one connection of a [`Server`](crate::server::Server), which decides when the connection may be closed.

use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Frame;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tanagerford_sync::lock;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep};

use crate::body::Body;

/// Longest time for which the rest of a request is discarded after the reply.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of the rest of a request that is discarded, twice the default limit of a body.
const MAX_DISCARDED_BYTES: usize = 16 * 1024 * 1024;
const DISCARD_BUFFER_BYTES: usize = 8 * 1024;

/// Phase of a connection that has one request at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Nothing was received since the last response, whose last bytes were sent at this time.
    Idle(Instant),
    /// The first bytes of a request's head were received at this time.
    Head(Instant),
    /// A request is handled or its response is sent.
    Request,
}

/// Activity of one connection. Its transport, its requests and its watchdog run in the same task.
#[derive(Debug)]
pub(crate) struct Activity {
    phase: Mutex<Phase>,
    /// Whether the next read that finds nothing asks the kernel for bytes that the runtime does not know of yet.
    must_check_unread: AtomicBool,
    has_unread: AtomicBool,
    /// Whether a reply was made before the request's body had been read to its end.
    is_body_unread: AtomicBool,
}

impl Activity {
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self {
            phase: Mutex::new(Phase::Idle(Instant::now())),
            must_check_unread: AtomicBool::new(false),
            has_unread: AtomicBool::new(false),
            is_body_unread: AtomicBool::new(false),
        })
    }

    pub(crate) fn phase(&self) -> Phase {
        *lock(&self.phase)
    }

    /// Enters [`Phase::Request`] until the guard is dropped.
    pub(crate) fn begin_request(self: &Arc<Self>) -> RequestGuard {
        *lock(&self.phase) = Phase::Request;
        RequestGuard(Arc::clone(self))
    }

    /// Makes the next read that finds nothing look for unread bytes; see [`Activity::has_unread`].
    pub(crate) fn check_unread(&self) {
        self.has_unread.store(false, Ordering::Relaxed);
        self.must_check_unread.store(true, Ordering::Relaxed);
    }

    /// Returns whether the kernel held unread bytes at the last check.
    pub(crate) fn has_unread(&self) -> bool {
        self.has_unread.load(Ordering::Relaxed)
    }

    /// Records that the connection ends with a reply to a request whose body was not read to its end.
    pub(crate) fn set_body_unread(&self) {
        self.is_body_unread.store(true, Ordering::Relaxed);
    }

    /// Returns whether the caller may still be sending a request that the connection has begun to read and will not
    /// read to its end.
    fn has_unread_request(&self) -> bool {
        self.is_body_unread.load(Ordering::Relaxed) || matches!(self.phase(), Phase::Head(_))
    }

    fn on_read(&self) {
        let mut phase = lock(&self.phase);
        if matches!(*phase, Phase::Idle(_)) {
            *phase = Phase::Head(Instant::now());
        }
    }

    fn on_write(&self) {
        let mut phase = lock(&self.phase);
        if matches!(*phase, Phase::Idle(_)) {
            *phase = Phase::Idle(Instant::now());
        }
    }
}

/// Ends [`Phase::Request`] on drop.
#[derive(Debug)]
pub(crate) struct RequestGuard(Arc<Activity>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        *lock(&self.0.phase) = Phase::Idle(Instant::now());
    }
}

/// Response body that holds the guard of its request.
pub(crate) struct TrackedBody {
    body: Body,
    _guard: RequestGuard,
}

impl TrackedBody {
    pub(crate) fn new(body: Body, guard: RequestGuard) -> Self {
        Self {
            body,
            _guard: guard,
        }
    }
}

impl hyper::body::Body for TrackedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        self.body.size_hint()
    }
}

/// Transport of a connection that records its activity.
#[derive(Debug)]
pub(crate) struct TrackedStream {
    stream: TokioIo<TcpStream>,
    activity: Arc<Activity>,
    /// Set when the write side is shut down and the rest of a request is discarded.
    discard: Option<Discard>,
}

/// Progress of discarding the rest of a request.
#[derive(Debug)]
struct Discard {
    timer: Pin<Box<Sleep>>,
    remaining_bytes: usize,
}

impl TrackedStream {
    pub(crate) fn new(stream: TcpStream, activity: Arc<Activity>) -> Self {
        Self {
            stream: TokioIo::new(stream),
            activity,
            discard: None,
        }
    }

    /// Discards the rest of a request until the caller closes the connection. Closing a socket with unread bytes resets
    /// the connection, which can destroy the reply on its way to the caller.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let discard = self.discard.get_or_insert_with(|| Discard {
            timer: Box::pin(sleep(DISCARD_TIMEOUT)),
            remaining_bytes: MAX_DISCARDED_BYTES,
        });
        let mut bytes = [0; DISCARD_BUFFER_BYTES];
        while discard.remaining_bytes > 0 && discard.timer.as_mut().poll(context).is_pending() {
            let mut buffer = ReadBuf::new(&mut bytes);
            let stream = Pin::new(self.stream.inner_mut());
            match ready!(stream.poll_read(context, &mut buffer)) {
                Ok(()) if !buffer.filled().is_empty() => {
                    let length = buffer.filled().len();
                    discard.remaining_bytes = discard.remaining_bytes.saturating_sub(length);
                }
                // The caller has closed the connection.
                Ok(()) | Err(_) => break,
            }
        }
        Poll::Ready(())
    }
}

impl Read for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let activity = &self.activity;
        if polled.is_ready() {
            activity.on_read();
        } else if activity.must_check_unread.swap(false, Ordering::Relaxed) {
            let has_unread = has_unread(self.stream.inner());
            activity.has_unread.store(has_unread, Ordering::Relaxed);
        }
        polled
    }
}

impl Write for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, data);
        if polled.is_ready() {
            self.activity.on_write();
        }
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, data);
        if polled.is_ready() {
            self.activity.on_write();
        }
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.discard.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
        }
        if self.activity.has_unread_request() {
            ready!(self.poll_discard(context));
        }
        Poll::Ready(Ok(()))
    }
}

/// Returns whether the kernel holds unread bytes. The runtime learns of them only when it waits for events again.
fn has_unread(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    matches!(SockRef::from(stream).peek(&mut byte), Ok(length) if length > 0)
}

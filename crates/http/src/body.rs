//! Response bodies: a single buffer or a stream of chunks.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_lite::stream::{self, Stream};
use hyper::body::Frame;

type ChunkStream = Pin<Box<dyn Stream<Item = io::Result<Bytes>> + Send>>;

#[derive(Debug)]
enum QueueItem {
    Data(Bytes),
    /// The body is complete. A queue that closes without it was abandoned by its sender.
    End,
}

/// Response body, either a single buffer or a stream of chunks.
pub struct Body(Kind);

enum Kind {
    /// `None` once the buffer has been sent.
    Full(Option<Bytes>),
    Streamed(ChunkStream),
}

/// Sending side of a body that [`streamed_body`] creates.
#[derive(Debug, Clone)]
pub struct StreamSender(async_channel::Sender<QueueItem>);

/// Reason why a chunk of a streamed body was not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendError {
    /// The connection is closed.
    Disconnected,
    /// The queue is full because the receiver reads too slowly.
    Full,
}

/// Creates a body whose chunks are sent by another thread through a queue of at most `capacity` chunks, at least one.
///
/// Dropping the sender without a call of [`StreamSender::end`] aborts the transfer, so the receiver can tell a
/// truncated body from a complete one.
///
/// # Examples
///
/// ```
/// let (sender, _body) = tanagerford_http::streamed_body(4);
/// assert!(sender.send("data: 1\n\n").is_ok());
/// ```
#[must_use]
pub fn streamed_body(capacity: usize) -> (StreamSender, Body) {
    let (sender, receiver) = async_channel::bounded(capacity.max(1));
    let chunks = stream::unfold(Some(receiver), |receiver| async {
        let receiver = receiver?;
        match receiver.recv().await {
            Ok(QueueItem::Data(data)) => Some((Ok(data), Some(receiver))),
            Ok(QueueItem::End) => None,
            Err(_) => Some((Err(truncated_body()), None)),
        }
    });
    (StreamSender(sender), Body::streamed(chunks))
}

fn truncated_body() -> io::Error {
    io::Error::new(
        io::ErrorKind::ConnectionAborted,
        "sender dropped before the end of the body",
    )
}

impl StreamSender {
    /// Queues a chunk without blocking.
    ///
    /// # Errors
    ///
    /// [`SendError::Disconnected`] when the connection is closed, [`SendError::Full`] when the queue is full.
    pub fn send(&self, data: impl Into<Bytes>) -> Result<(), SendError> {
        self.0
            .try_send(QueueItem::Data(data.into()))
            .map_err(|error| {
                if error.is_full() {
                    SendError::Full
                } else {
                    SendError::Disconnected
                }
            })
    }

    /// Queues a chunk; blocks while the queue is full.
    ///
    /// # Errors
    ///
    /// [`SendError::Disconnected`] when the connection is closed.
    pub fn send_blocking(&self, data: impl Into<Bytes>) -> Result<(), SendError> {
        let sent = self.0.send_blocking(QueueItem::Data(data.into()));
        sent.map_err(|_| SendError::Disconnected)
    }

    /// Marks the body as complete; blocks while the queue is full.
    ///
    /// # Errors
    ///
    /// [`SendError::Disconnected`] when the connection is closed.
    pub fn end(self) -> Result<(), SendError> {
        let sent = self.0.send_blocking(QueueItem::End);
        sent.map_err(|_| SendError::Disconnected)
    }

    /// Returns whether the receiving side was dropped, which happens when the connection closes.
    #[must_use]
    pub fn is_disconnected(&self) -> bool {
        self.0.is_closed()
    }
}

impl Body {
    /// Creates a body from a single buffer; its length is sent as `Content-Length`.
    #[must_use]
    pub fn full(data: impl Into<Bytes>) -> Self {
        Self(Kind::Full(Some(data.into())))
    }

    /// Creates a body from a stream of chunks. An error aborts the transfer. The stream is dropped when the connection
    /// closes.
    #[must_use]
    pub fn streamed(chunks: impl Stream<Item = io::Result<Bytes>> + Send + 'static) -> Self {
        Self(Kind::Streamed(Box::pin(chunks)))
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut self.0 {
            Kind::Full(data) => Poll::Ready(data.take().map(|data| Ok(Frame::data(data)))),
            Kind::Streamed(chunks) => {
                let next = chunks.as_mut().poll_next(context);
                next.map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.0, Kind::Full(None))
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match &self.0 {
            Kind::Full(data) => {
                let length = data.as_ref().map_or(0, |data| data.len() as u64);
                hyper::body::SizeHint::with_exact(length)
            }
            Kind::Streamed(_) => hyper::body::SizeHint::default(),
        }
    }
}

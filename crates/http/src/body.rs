//! Response bodies: whole, or a stream of parts.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_lite::stream::{self, Stream};
use hyper::body::Frame;

type Parts = Pin<Box<dyn Stream<Item = io::Result<Bytes>> + Send>>;

/// Part of a body that another thread sends.
#[derive(Debug)]
enum Item {
    Data(Bytes),
    End,
}

/// Body of a response.
pub struct Body(Kind);

enum Kind {
    Whole(Option<Bytes>),
    Parts(Parts),
}

/// Sending side of a streamed body.
#[derive(Debug, Clone)]
pub struct StreamSender(async_channel::Sender<Item>);

/// Why a part of a streamed body was not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendError {
    /// The connection is gone.
    Disconnected,
    /// The receiver is too slow: its queue is full.
    Full,
}

/// Creates a body whose parts come from another thread; its queue holds at most `capacity` parts.
///
/// A sender that is dropped without [`StreamSender::end`] aborts the transfer, so the receiver never takes a cut body
/// for a whole one.
///
/// # Examples
///
/// ```
/// let (sender, _body) = tanagerford_http::stream(4);
/// assert!(sender.send("data: 1\n\n").is_ok());
/// ```
#[must_use]
pub fn stream(capacity: usize) -> (StreamSender, Body) {
    let (sender, receiver) = async_channel::bounded(capacity.max(1));
    let parts = stream::unfold(Some(receiver), |receiver| async {
        let receiver = receiver?;
        match receiver.recv().await {
            Ok(Item::Data(data)) => Some((Ok(data), Some(receiver))),
            Ok(Item::End) => None,
            Err(_) => Some((Err(ended_early()), None)),
        }
    });
    (StreamSender(sender), Body::streamed(parts))
}

fn ended_early() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, "body ended early")
}

impl StreamSender {
    /// Queues a part of the body without blocking.
    ///
    /// # Errors
    ///
    /// [`SendError::Disconnected`] when the connection is gone, [`SendError::Full`] when the receiver is too slow.
    pub fn send(&self, data: impl Into<Bytes>) -> Result<(), SendError> {
        self.0.try_send(Item::Data(data.into())).map_err(|error| {
            if error.is_full() {
                SendError::Full
            } else {
                SendError::Disconnected
            }
        })
    }

    /// Queues a part of the body and waits for room in the queue.
    ///
    /// # Errors
    ///
    /// [`SendError::Disconnected`] when the connection is gone.
    pub fn send_blocking(&self, data: impl Into<Bytes>) -> Result<(), SendError> {
        let sent = self.0.send_blocking(Item::Data(data.into()));
        sent.map_err(|_| SendError::Disconnected)
    }

    /// Marks the body as whole and waits for room in the queue.
    ///
    /// # Errors
    ///
    /// [`SendError::Disconnected`] when the connection is gone.
    pub fn end(self) -> Result<(), SendError> {
        let sent = self.0.send_blocking(Item::End);
        sent.map_err(|_| SendError::Disconnected)
    }

    /// Returns whether the connection is gone.
    #[must_use]
    pub fn is_disconnected(&self) -> bool {
        self.0.is_closed()
    }
}

impl Body {
    /// Creates a body that is known as a whole.
    #[must_use]
    pub fn whole(data: impl Into<Bytes>) -> Self {
        Self(Kind::Whole(Some(data.into())))
    }

    /// Creates a body from a stream of parts. An error aborts the transfer. The stream is dropped when the connection
    /// is gone.
    #[must_use]
    pub fn streamed(parts: impl Stream<Item = io::Result<Bytes>> + Send + 'static) -> Self {
        Self(Kind::Parts(Box::pin(parts)))
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
            Kind::Whole(data) => Poll::Ready(data.take().map(|data| Ok(Frame::data(data)))),
            Kind::Parts(parts) => {
                let next = parts.as_mut().poll_next(context);
                next.map(|part| part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.0, Kind::Whole(None))
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match &self.0 {
            Kind::Whole(data) => {
                let length = data.as_ref().map_or(0, |data| data.len() as u64);
                hyper::body::SizeHint::with_exact(length)
            }
            Kind::Parts(_) => hyper::body::SizeHint::default(),
        }
    }
}

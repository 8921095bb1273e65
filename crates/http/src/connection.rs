//! Serves one connection of a [`Listener`](crate::Listener).

use std::convert::Infallible;
use std::future::Future;
use std::net::{SocketAddr, TcpStream};
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use async_io::{Async, Timer};
use bytes::Bytes;
use futures_lite::future;
use http::{HeaderMap, Method, StatusCode, Uri};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::body::Body;
use crate::listener::{Handler, Limits};

/// Response to a request.
pub type Reply = http::Response<Body>;

/// Request whose body has been read completely.
#[derive(Debug)]
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Request target as sent, usually only a path with an optional query.
    pub uri: Uri,
    /// Headers as sent by the caller, unchecked.
    pub headers: HeaderMap,
    /// Body of at most [`Limits::max_body_bytes`] bytes.
    pub body: Bytes,
    /// Remote address of the connection.
    pub peer: SocketAddr,
}

/// State shared by all connections of a listener.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) limits: Limits,
    /// Closed when the listener stops. Idle connections then close at once, busy ones after their reply.
    pub(crate) stopped: async_channel::Receiver<()>,
    pub(crate) open_connections: AtomicUsize,
}

/// Decrements the number of open connections on drop.
pub(crate) struct ConnectionGuard(pub(crate) Arc<Shared>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Serves one connection until it closes or the listener stops.
pub(crate) fn serve(
    stream: TcpStream,
    peer: SocketAddr,
    guard: &ConnectionGuard,
    handler: &impl Handler,
) {
    let shared = &guard.0;
    let result = async_io::block_on(serve_requests(stream, peer, shared, handler));
    if let Err(error) = result {
        tracing::debug!(%peer, %error, "connection ended with an error");
    }
}

async fn serve_requests(
    stream: TcpStream,
    peer: SocketAddr,
    shared: &Shared,
    handler: &impl Handler,
) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    stream.set_nodelay(true)?;
    let io = FuturesIo::new(Async::new(stream)?);
    let service = service_fn(|request| async move {
        Ok::<_, Infallible>(handle_request(request, peer, &shared.limits, handler).await)
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(shared.limits.idle_timeout)
        .max_buf_size(shared.limits.max_header_bytes)
        .serve_connection(io, service);
    let mut connection = pin!(connection);
    let stopped = async {
        let _ = shared.stopped.recv().await;
        None
    };
    let finished = async { Some(connection.as_mut().await) };
    if let Some(result) = future::or(finished, stopped).await {
        result?;
    } else {
        connection.as_mut().graceful_shutdown();
        connection.await?;
    }
    Ok(())
}

async fn handle_request(
    request: http::Request<Incoming>,
    peer: SocketAddr,
    limits: &Limits,
    handler: &impl Handler,
) -> Reply {
    let (parts, body) = request.into_parts();
    let read = read_body(body, limits.max_body_bytes);
    let body = match with_timeout(limits.body_timeout, read).await {
        Some(Ok(body)) => body,
        Some(Err(status)) => return handler.rejected(status),
        None => return handler.rejected(StatusCode::REQUEST_TIMEOUT),
    };
    let request = Request {
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        peer,
    };
    handler.handle(request).await
}

/// Reads a body of at most `max_bytes` completely.
///
/// # Errors
///
/// Returns the status for the caller: 413 when the body is too large, 400 when it could not be read.
pub async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, StatusCode> {
    match Limited::new(body, max_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Err(_) => Err(StatusCode::BAD_REQUEST),
    }
}

/// Waits for a future for at most `timeout`. Returns `None` on timeout; the future is then dropped.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tanagerford_http::with_timeout;
///
/// let done = async_io::block_on(with_timeout(Duration::from_secs(9), async { 4 }));
/// assert_eq!(done, Some(4));
/// ```
pub async fn with_timeout<T>(
    timeout: std::time::Duration,
    future: impl Future<Output = T>,
) -> Option<T> {
    let expired = async {
        Timer::after(timeout).await;
        None
    };
    future::or(async { Some(future.await) }, expired).await
}

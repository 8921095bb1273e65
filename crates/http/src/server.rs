//! HTTP/1.1 server whose connections run as tasks of a `tokio` runtime.
//!
//! Unlike [`Listener`](crate::Listener), it passes each request to the service before the body is read. Its timeouts may
//! change with the configuration, so a watchdog of each connection applies those in force.

use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::io;
use std::net::{self, SocketAddr};
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::Poll;
use std::time::Duration;

use futures_lite::future;
use http::{HeaderValue, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use socket2::{Domain, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::time::{Instant, sleep_until};

use crate::activity::{Activity, Phase, TrackedBody, TrackedStream};
use crate::connection::Reply;

/// Minimum size of the read buffer that `hyper` accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;
/// Maximum length of the kernel's queue of connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 1_024;
/// Delay after a failed accept. The process may be out of file descriptors until connections close.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Idle time before keep-alive probes, which detect a caller that disappeared without closing its connection.
const KEEPALIVE_TIME: Duration = Duration::from_secs(5);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Time after which a connection whose timeout is too long for the clock is checked again.
const LONGEST_CHECK_INTERVAL: Duration = Duration::from_hours(1);
/// Time in which the runtime should read the bytes that the kernel held when a timeout passed.
const UNREAD_CHECK_DELAY: Duration = Duration::from_millis(100);

/// Handles the requests of a [`Server`].
pub trait Service: Send + Sync + 'static {
    /// Handles a request. The future is dropped when the caller disconnects before the reply has begun.
    fn handle(
        &self,
        request: http::Request<Incoming>,
        peer: SocketAddr,
    ) -> impl Future<Output = Reply> + Send;

    /// Returns the limits in force; called when a connection opens and when a timeout of a connection may have passed.
    fn limits(&self) -> ServerLimits;
}

/// Extension of a reply to a request whose body was not read to its end.
///
/// The reply then announces the end of the connection, and the server discards what the caller still sends, within
/// limits, so that the reply reaches the caller.
#[derive(Debug, Clone, Copy)]
pub struct UnreadBody;

/// Limits of connections. A connection keeps the size limit that was in force when it opened. Its timeouts are those in
/// force at each moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLimits {
    /// Maximum size of a request's head, in bytes; values below 8,192 count as 8,192.
    pub max_header_bytes: usize,
    /// Timeout for reading a request's head, from its first byte. The connection then ends without a response.
    pub header_timeout: Duration,
    /// Timeout from the last byte of a response, or from the opening of a connection, to the next request.
    pub idle_timeout: Duration,
    /// Time that is added to both timeouts, and that a connection stays open at least after a timeout was lowered: the
    /// callers and this process may learn of changed limits at different times.
    pub propagation_time: Duration,
}

/// Server that is bound but does not accept connections yet.
#[derive(Debug)]
pub struct Server {
    socket: TcpListener,
    runtime: Handle,
    open_connections: Arc<AtomicUsize>,
    stopped: async_channel::Receiver<()>,
    stop: async_channel::Sender<()>,
}

/// Handle that shuts down a [`Server`].
#[derive(Debug, Clone)]
pub struct ServerStopHandle {
    open_connections: Arc<AtomicUsize>,
    stop: async_channel::Sender<()>,
}

/// Decrements the number of open connections on drop.
struct ConnectionGuard(Arc<AtomicUsize>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Server {
    /// Binds a server; with port 0 the operating system picks the port.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn bind(address: SocketAddr, runtime: Handle) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        socket.listen(LISTEN_BACKLOG)?;
        socket.set_nonblocking(true)?;
        let runtime_guard = runtime.enter();
        let socket = TcpListener::from_std(net::TcpListener::from(socket))?;
        drop(runtime_guard);
        let (stop, stopped) = async_channel::bounded(1);
        Ok(Self {
            socket,
            runtime,
            open_connections: Arc::default(),
            stopped,
            stop,
        })
    }

    /// Returns the bound address, with the port that the operating system picked.
    ///
    /// # Errors
    ///
    /// Fails when the operating system cannot report the address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Returns a handle that shuts down the server after [`Server::start`] has consumed it.
    #[must_use]
    pub fn stop_handle(&self) -> ServerStopHandle {
        ServerStopHandle {
            open_connections: Arc::clone(&self.open_connections),
            stop: self.stop.clone(),
        }
    }

    /// Starts a task of the runtime that accepts connections.
    pub fn start(self, service: Arc<impl Service>) {
        let runtime = self.runtime.clone();
        runtime.spawn(self.accept(service));
    }

    async fn accept(self, service: Arc<impl Service>) {
        loop {
            let stopped = async {
                let _ = self.stopped.recv().await;
                None
            };
            let accepted = async { Some(self.socket.accept().await) };
            match future::or(stopped, accepted).await {
                Some(Ok((stream, peer))) => self.spawn_connection(stream, peer, &service),
                Some(Err(error)) => {
                    tracing::warn!(%error, "cannot accept a connection");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
                // Returning closes the socket, so the kernel refuses later connections before a request is sent.
                None => return,
            }
        }
    }

    fn spawn_connection(&self, stream: TcpStream, peer: SocketAddr, service: &Arc<impl Service>) {
        self.open_connections.fetch_add(1, Ordering::AcqRel);
        let guard = ConnectionGuard(Arc::clone(&self.open_connections));
        let service = Arc::clone(service);
        let stopped = self.stopped.clone();
        self.runtime.spawn(async move {
            let result = serve_connection(stream, peer, &*service, &stopped).await;
            if let Err(error) = result {
                tracing::debug!(%peer, %error, "connection ended with an error");
            }
            drop(guard);
        });
    }
}

impl ServerStopHandle {
    /// Stops accepting, closes idle connections at once and busy ones after their reply. A connection is busy from the
    /// moment at which the kernel holds a byte of a request. Does not wait.
    pub fn begin_shutdown(&self) {
        self.stop.close();
    }

    /// Returns the number of open connections, idle ones included; zero when a shutdown is complete.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::Acquire)
    }
}

async fn serve_connection(
    stream: TcpStream,
    peer: SocketAddr,
    service: &impl Service,
    stopped: &async_channel::Receiver<()>,
) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL);
    SockRef::from(&stream).set_tcp_keepalive(&keepalive)?;
    let limits = service.limits();
    let activity = Activity::new();
    let handler = service_fn(|request| {
        let guard = activity.begin_request();
        let activity = &activity;
        async move {
            let mut reply = service.handle(request, peer).await;
            let is_body_unread = reply.extensions().get::<UnreadBody>().is_some();
            if is_body_unread {
                activity.set_body_unread();
            }
            if is_body_unread || stopped.is_closed() {
                close_connection(&mut reply);
            }
            Ok::<_, Infallible>(reply.map(|body| TrackedBody::new(body, guard)))
        }
    });
    // The watchdog replaces the library's timeout for heads, which includes the idle time and cannot be changed later.
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TrackedStream::new(stream, Arc::clone(&activity)), handler);
    let mut connection = pin!(connection);
    let mut watchdog = Watchdog { limits };
    let now = Instant::now();
    let check_time = watchdog.next_check(activity.phase(), now).unwrap_or(now);
    let mut timer = pin!(sleep_until(check_time));
    let mut stop = pin!(stopped.recv());
    let (mut is_stopping, mut is_closing) = (false, false);
    poll_fn(|context| {
        loop {
            // The connection reads first, so a request that has arrived is handled before the connection is closed.
            if let Poll::Ready(result) = connection.as_mut().poll(context) {
                return Poll::Ready(result.map_err(Into::into));
            }
            if is_closing {
                return Poll::Pending;
            }
            is_stopping = is_stopping || stop.as_mut().poll(context).is_ready();
            let phase = activity.phase();
            // A request whose head has begun to arrive is still answered.
            let is_stopped = is_stopping && !matches!(phase, Phase::Head(_));
            if !is_stopped {
                if timer.as_mut().poll(context).is_pending() {
                    return Poll::Pending;
                }
                if let Some(time) = watchdog.check(phase, service.limits(), Instant::now()) {
                    timer.as_mut().reset(time);
                    continue;
                }
            }
            if phase != Phase::Request {
                activity.check_unread();
                if let Poll::Ready(result) = connection.as_mut().poll(context) {
                    return Poll::Ready(result.map_err(Into::into));
                }
                let is_unread = activity.has_unread();
                if is_unread || activity.phase() != phase {
                    timer.as_mut().reset(Instant::now() + UNREAD_CHECK_DELAY);
                    if is_unread && timer.as_mut().poll(context).is_pending() {
                        return Poll::Pending;
                    }
                    continue;
                }
            }
            if let Phase::Head(_) = phase {
                return Poll::Ready(Err("timeout for the head of a request".into()));
            }
            is_closing = true;
            connection.as_mut().graceful_shutdown();
        }
    })
    .await
}

/// Sets the header that announces the end of the connection after this reply.
fn close_connection(reply: &mut Reply) {
    let close = HeaderValue::from_static("close");
    reply.headers_mut().insert(header::CONNECTION, close);
}

/// Decides when a connection has exceeded a timeout. It is checked at the earliest time at which that is possible, so a
/// request resets no timer.
struct Watchdog {
    /// Limits at the last check.
    limits: ServerLimits,
}

impl Watchdog {
    /// Returns the time of the next check, or `None` if a timeout has passed. `limits` are those in force.
    fn check(&mut self, phase: Phase, limits: ServerLimits, now: Instant) -> Option<Instant> {
        let previous = std::mem::replace(&mut self.limits, limits);
        let is_lowered = limits.idle_timeout < previous.idle_timeout
            || limits.header_timeout < previous.header_timeout;
        if is_lowered {
            // Callers may not know the lowered limits yet.
            return Some(now + limits.propagation_time);
        }
        self.next_check(phase, now)
    }

    /// Returns the earliest time at which a timeout can have passed, or `None` if one has passed.
    fn next_check(&self, phase: Phase, now: Instant) -> Option<Instant> {
        let limits = &self.limits;
        let expiry = |since: Instant, timeout: Duration| {
            let end = since.checked_add(timeout.saturating_add(limits.propagation_time));
            end.unwrap_or(now + LONGEST_CHECK_INTERVAL)
        };
        let idle_expiry = match phase {
            Phase::Head(since) => {
                return Some(expiry(since, limits.header_timeout)).filter(|end| *end > now);
            }
            Phase::Idle(since) => expiry(since, limits.idle_timeout),
            Phase::Request => expiry(now, limits.idle_timeout),
        };
        // A head that begins at once can exceed its timeout first.
        let next = idle_expiry.min(expiry(now, limits.header_timeout));
        (idle_expiry > now).then_some(next)
    }
}

//! Pool of client connections to backend servers, which are kept open between requests.
//!
//! A connection carries one request at a time. It returns to the pool only after its response has been read completely,
//! so bytes that follow a response are never silently taken for the response to another call.
//!
//! A connection that is dropped during an exchange is reset rather than closed in order, so that the kernel discards a
//! request that has not reached the server yet. After an outage of the server or of the network it would otherwise arrive
//! and run seconds after its caller has left.

use std::collections::HashMap;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tanagerford_sync::lock;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::time::timeout;

/// Target of this module's log lines. Operators' filters match it, so it is independent of the module's name.
const LOG_TARGET: &str = "tanagerford_http::outbound";
/// TCP user timeout, after which a connection with unacknowledged bytes fails, and idle time before keep-alive probes.
/// Both are needed because a peer behind a network partition sends no reset.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Assumed idle timeout of a server that does not send one in `Keep-Alive`.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Longest idle timeout of a server that is believed. Times beyond the range of the clock must not be added to it.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_hours(1);
/// Fraction (numerator, denominator) of the server's idle timeout during which a connection is reused. The margin
/// keeps a request from being sent while the server closes the connection.
const REUSE_FRACTION: (u32, u32) = (1, 2);
/// Size limit of the head of a response, and of the bytes that a connection reads ahead. Without it, the HTTP library
/// buffers about 400 KiB, so 100 connections with a head without end would take 40 MB of a small VM's memory.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum number of idle connections per address; the oldest one is closed first.
const MAX_IDLE_PER_ADDRESS: usize = 32;

/// Reason why a request got no response.
#[derive(Debug)]
pub enum ExchangeError {
    /// No connection was established; nothing was sent.
    Connect(io::Error),
    /// The connection was closed before the request was written.
    NotSent,
    /// The caller of [`ConnectionPool::send`] withdrew the request before it was written.
    Withheld,
    /// The connection broke or the response was malformed; the request may have run.
    Broken(hyper::Error),
}

/// Pool of idle client connections, by address.
#[derive(Debug)]
pub struct ConnectionPool {
    runtime: Handle,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    reusable_until: Instant,
}

/// Open connection. It ends when it is dropped.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Whether a request was written whose response has not been read completely.
    is_in_exchange: Arc<AtomicBool>,
}

impl Connection {
    async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.is_in_exchange.store(true, Ordering::Release);
        self.sender.try_send_request(request).await
    }

    fn end_exchange(&self) {
        self.is_in_exchange.store(false, Ordering::Release);
    }
}

/// Response whose body has not been read yet.
///
/// The connection returns to the pool when the body has been read completely. Dropping the response earlier resets the
/// connection.
#[derive(Debug)]
pub struct PooledResponse {
    /// Status and headers of the response.
    pub head: Response<()>,
    /// `None` after [`PooledResponse::abort`].
    body: Option<Incoming>,
    ends_with_connection: bool,
    connection: Option<Connection>,
    address: SocketAddr,
    pool: Arc<ConnectionPool>,
}

impl ConnectionPool {
    /// Creates an empty pool whose connections run on `runtime`.
    #[must_use]
    pub fn new(runtime: Handle) -> Arc<Self> {
        let idle = Mutex::default();
        Arc::new(Self { runtime, idle })
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// With `can_reuse` an idle connection may be used. This is safe even for a request that must not be repeated,
    /// because connections are reused only well within the server's idle timeout. `may_send` is asked immediately before the
    /// request is written, since establishing a connection takes time; it gets that time, or `None` for an idle connection.
    ///
    /// # Errors
    ///
    /// The variant of [`ExchangeError`] shows whether the request may have reached the server.
    pub async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        connect_timeout: Duration,
        can_reuse: bool,
        may_send: impl Fn(Option<Duration>) -> bool,
    ) -> Result<PooledResponse, ExchangeError> {
        let mut request = request;
        while can_reuse && let Some(mut connection) = self.take_idle(address) {
            if !may_send(None) {
                return Err(ExchangeError::Withheld);
            }
            match connection.send(request).await {
                Ok(response) => return Ok(self.pooled_response(address, connection, response)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(ExchangeError::Broken(error.into_error())),
                },
            }
        }
        let began = Instant::now();
        let mut connection = self.connect(address, connect_timeout).await?;
        if !may_send(Some(began.elapsed())) {
            return Err(ExchangeError::Withheld);
        }
        match connection.send(request).await {
            Ok(response) => Ok(self.pooled_response(address, connection, response)),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(ExchangeError::NotSent),
                None => Err(ExchangeError::Broken(error.into_error())),
            },
        }
    }

    fn pooled_response(
        self: &Arc<Self>,
        address: SocketAddr,
        connection: Connection,
        response: Response<Incoming>,
    ) -> PooledResponse {
        let (parts, body) = response.into_parts();
        let has_length = body.is_end_stream() || body.size_hint().exact().is_some();
        let is_chunked = parts.headers.contains_key(header::TRANSFER_ENCODING);
        PooledResponse {
            head: Response::from_parts(parts, ()),
            body: Some(body),
            ends_with_connection: !has_length && !is_chunked,
            connection: Some(connection),
            address,
            pool: Arc::clone(self),
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some(idle) = connections.pop() {
            if idle.reusable_until > now && idle.connection.sender.is_ready() {
                return Some(idle.connection);
            }
        }
        None
    }

    fn put_idle(&self, address: SocketAddr, connection: Connection, headers: &HeaderMap) {
        let timeout = idle_timeout(headers).unwrap_or(DEFAULT_IDLE_TIMEOUT);
        let reusable_until = Instant::now() + timeout * REUSE_FRACTION.0 / REUSE_FRACTION.1;
        let mut idle = self.lock();
        let connections = idle.entry(address).or_default();
        if connections.len() >= MAX_IDLE_PER_ADDRESS {
            connections.remove(0);
        }
        connections.push(IdleConnection {
            connection,
            reusable_until,
        });
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        lock(&self.idle)
    }

    async fn connect(
        &self,
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> Result<Connection, ExchangeError> {
        let connected = timeout(connect_timeout, TcpStream::connect(address)).await;
        let connected = connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        let stream = connected.map_err(ExchangeError::Connect)?;
        configure(&stream).map_err(ExchangeError::Connect)?;
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, mut protocol) = handshake.map_err(|_| ExchangeError::NotSent)?;
        let is_in_exchange = Arc::new(AtomicBool::new(false));
        let connection = Connection {
            sender,
            is_in_exchange: Arc::clone(&is_in_exchange),
        };
        self.runtime.spawn(async move {
            if let Err(error) = poll_fn(|context| protocol.poll_without_shutdown(context)).await {
                tracing::debug!(target: LOG_TARGET, %address, %error, "connection to a backend server ended");
            }
            if is_in_exchange.load(Ordering::Acquire) {
                reset_when_dropped(protocol.into_parts().io.inner());
            }
        });
        Ok(connection)
    }
}

/// Lets the kernel reset the connection and discard what the server has not received, instead of closing it in order.
fn reset_when_dropped(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        tracing::debug!(target: LOG_TARGET, %error, "cannot reset a connection");
    }
}

fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(UNACKNOWLEDGED_TIMEOUT)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

/// Parses the server's idle timeout from the `timeout` parameter (in seconds) of the `Keep-Alive` header.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value.split(',').find_map(|parameter| {
        let (name, seconds) = parameter.split_once('=')?;
        (name.trim() == "timeout").then(|| seconds.trim().parse().ok())?
    })?;
    Some(Duration::from_secs(timeout).min(MAX_IDLE_TIMEOUT))
}

impl PooledResponse {
    /// Returns whether the body has neither a length nor chunks and ends with the connection, so that its end does not show
    /// whether it is complete.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        self.ends_with_connection
    }

    /// Reads the next chunk of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks before the end of the body.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, hyper::Error> {
        loop {
            let Some(body) = &mut self.body else {
                return std::future::pending().await;
            };
            let Some(frame) = body.frame().await else {
                self.release_connection();
                return Ok(None);
            };
            if let Ok(data) = frame?.into_data() {
                return Ok(Some(data));
            }
        }
    }

    /// Resets the connection. [`PooledResponse::next_chunk`] never returns afterwards.
    pub fn abort(&mut self) {
        self.body = None;
        self.connection = None;
    }

    fn release_connection(&mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        connection.end_exchange();
        if !self.ends_with_connection && !connection.sender.is_closed() {
            self.pool
                .put_idle(self.address, connection, self.head.headers());
        }
    }
}

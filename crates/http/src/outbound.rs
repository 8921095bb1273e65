//! Client connections to backend servers, kept open between requests.
//!
//! A connection carries one request at a time. It returns to the pool only after its answer was read to the end, so
//! bytes that follow an answer can never be taken for the answer of another call without its caller noticing.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tanagerford_sync::lock;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::time::timeout;

/// Time that unacknowledged bytes may wait before the connection counts as broken, and the idle time before keep-alive
/// probes. A peer behind a partition sends no reset.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval of keep-alive probes on a silent connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Idle time after which a connection is not reused when the server does not tell its timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Share of the server's idle timeout within which a connection is reused, as a fraction: a request must not cross the
/// server's close.
const IDLE_SHARE: (u32, u32) = (1, 2);
/// Idle connections kept for each address.
const MAX_IDLE_PER_ADDRESS: usize = 32;

/// Why an exchange has no answer.
#[derive(Debug)]
pub enum ExchangeError {
    /// No connection was established; nothing was sent.
    Connect(io::Error),
    /// The connection was closed before the request was written.
    NotSent,
    /// The connection broke or the bytes were no answer; the request may have run.
    Broken(hyper::Error),
}

/// Pool of client connections.
#[derive(Debug)]
pub struct Outbound {
    runtime: Handle,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    reusable_until: Instant,
}

/// Answer whose body is still to be read; dropping it early closes the connection.
#[derive(Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: Response<()>,
    body: Incoming,
    connection: Option<SendRequest<Full<Bytes>>>,
    address: SocketAddr,
    pool: Arc<Outbound>,
}

impl Outbound {
    /// Creates an empty pool whose connections run on `runtime`.
    #[must_use]
    pub fn new(runtime: Handle) -> Arc<Self> {
        let idle = Mutex::default();
        Arc::new(Self { runtime, idle })
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// `reuse` allows a kept connection. A request that must not be repeated may use one as well: it is reused only
    /// well within the server's idle timeout.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`] tells whether anything may have reached the server.
    pub async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        connect_timeout: Duration,
        reuse: bool,
    ) -> Result<Answer, ExchangeError> {
        let mut request = request;
        while reuse && let Some(mut sender) = self.take_idle(address) {
            match sender.try_send_request(request).await {
                Ok(response) => return Ok(self.answer(address, sender, response)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(ExchangeError::Broken(error.into_error())),
                },
            }
        }
        let mut sender = self.connect(address, connect_timeout).await?;
        match sender.try_send_request(request).await {
            Ok(response) => Ok(self.answer(address, sender, response)),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(ExchangeError::NotSent),
                None => Err(ExchangeError::Broken(error.into_error())),
            },
        }
    }

    fn answer(
        self: &Arc<Self>,
        address: SocketAddr,
        sender: SendRequest<Full<Bytes>>,
        response: Response<Incoming>,
    ) -> Answer {
        let (parts, body) = response.into_parts();
        Answer {
            head: Response::from_parts(parts, ()),
            body,
            connection: Some(sender),
            address,
            pool: Arc::clone(self),
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some(connection) = connections.pop() {
            if connection.reusable_until > now && connection.sender.is_ready() {
                return Some(connection.sender);
            }
        }
        None
    }

    fn keep(&self, address: SocketAddr, sender: SendRequest<Full<Bytes>>, headers: &HeaderMap) {
        let timeout = idle_timeout(headers).unwrap_or(DEFAULT_IDLE_TIMEOUT);
        let reusable_until = Instant::now() + timeout * IDLE_SHARE.0 / IDLE_SHARE.1;
        let mut idle = self.lock();
        let connections = idle.entry(address).or_default();
        if connections.len() >= MAX_IDLE_PER_ADDRESS {
            connections.remove(0);
        }
        connections.push(IdleConnection {
            sender,
            reusable_until,
        });
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        lock(&self.idle)
    }

    async fn connect(
        &self,
        address: SocketAddr,
        longest: Duration,
    ) -> Result<SendRequest<Full<Bytes>>, ExchangeError> {
        let connected = timeout(longest, TcpStream::connect(address)).await;
        let connected = connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        let stream = connected.map_err(ExchangeError::Connect)?;
        configure(&stream).map_err(ExchangeError::Connect)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| ExchangeError::NotSent)?;
        self.runtime.spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%address, %error, "connection to a backend server ended");
            }
        });
        Ok(sender)
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

/// Reads the idle timeout, which `Keep-Alive` gives in seconds.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value.split(',').find_map(|parameter| {
        let (name, seconds) = parameter.split_once('=')?;
        (name.trim() == "timeout").then(|| seconds.trim().parse().ok())?
    })?;
    Some(Duration::from_secs(timeout))
}

impl Answer {
    /// Reads the next part of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks before the body is whole.
    pub async fn next(&mut self) -> Result<Option<Bytes>, hyper::Error> {
        loop {
            let Some(frame) = self.body.frame().await else {
                self.release();
                return Ok(None);
            };
            if let Ok(data) = frame?.into_data() {
                return Ok(Some(data));
            }
        }
    }

    fn release(&mut self) {
        let Some(sender) = self.connection.take() else {
            return;
        };
        if !sender.is_closed() {
            self.pool.keep(self.address, sender, self.head.headers());
        }
    }
}

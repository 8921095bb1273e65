//! HTTP/1.1 server whose connections run as tasks of a `tokio` runtime.
//!
//! Unlike [`Listener`](crate::Listener), it passes each request to the service before the body is read. It reads its
//! limits for each connection because they may change with the configuration.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::{self, SocketAddr};
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures_lite::future;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{Domain, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;

use crate::connection::Reply;

/// Minimum size of the read buffer that `hyper` accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;
/// Maximum length of the kernel's queue of connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 1_024;
/// Delay after a failed accept. The process may be out of file descriptors until connections close.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Idle time before keep-alive probes, which detect a caller that disappeared without closing its connection.
const KEEPALIVE_TIME: Duration = Duration::from_secs(5);
/// Interval of keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Handles the requests of a [`Server`].
pub trait Service: Send + Sync + 'static {
    /// Handles a request. The future is dropped when the caller disconnects before the reply has begun.
    fn handle(
        &self,
        request: http::Request<Incoming>,
        peer: SocketAddr,
    ) -> impl Future<Output = Reply> + Send;

    /// Returns the limits for a new connection; called once per connection.
    fn limits(&self) -> ServerLimits;
}

/// Limits of one connection.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Maximum size of a request's head, in bytes; values below 8,192 count as 8,192.
    pub max_header_bytes: usize,
    /// Timeout for reading a request's head; an idle connection is closed after it.
    pub idle_timeout: Duration,
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
    /// Stops accepting, closes idle connections at once and busy ones after their reply. Does not wait.
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
    let handler =
        service_fn(
            |request| async move { Ok::<_, Infallible>(service.handle(request, peer).await) },
        );
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), handler);
    let mut connection = pin!(connection);
    let stop = async {
        let _ = stopped.recv().await;
        None
    };
    let finished = async { Some(connection.as_mut().await) };
    if let Some(result) = future::or(finished, stop).await {
        result?;
    } else {
        connection.as_mut().graceful_shutdown();
        connection.await?;
    }
    Ok(())
}

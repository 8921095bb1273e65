//! Listener whose connections run as tasks of an asynchronous runtime.
//!
//! Unlike [`Listener`](crate::Listener), it hands over each request before its body is read and takes its limits anew
//! for each connection, as they may change with the configuration.

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

/// Smallest read buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;
/// Queue of connections that are not accepted yet.
const BACKLOG: i32 = 1_024;
/// Pause after a failed accept; running out of file descriptors ends when connections close.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Idle time before keep-alive probes, which notice a caller that vanished without closing.
const KEEPALIVE_TIME: Duration = Duration::from_secs(5);
/// Interval of keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Answers requests of a [`Server`].
pub trait Service: Send + Sync + 'static {
    /// Answers a request. The future is dropped when the caller disconnects before the answer has begun.
    fn answer(
        &self,
        request: http::Request<Incoming>,
        peer: SocketAddr,
    ) -> impl Future<Output = Reply> + Send;

    /// Returns the limits of a connection that is being accepted.
    fn limits(&self) -> ServerLimits;
}

/// Limits of one connection.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Largest size of a request's head, in bytes.
    pub max_header_bytes: usize,
    /// Longest time to wait for a request's head, also on an idle connection.
    pub idle_timeout: Duration,
}

/// Bound listener.
#[derive(Debug)]
pub struct Server {
    socket: TcpListener,
    runtime: Handle,
    open: Arc<AtomicUsize>,
    stopped: async_channel::Receiver<()>,
    stop: async_channel::Sender<()>,
}

/// Ends the connections of a [`Server`].
#[derive(Debug, Clone)]
pub struct ServerStop {
    open: Arc<AtomicUsize>,
    stop: async_channel::Sender<()>,
}

struct OpenGuard(Arc<AtomicUsize>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Server {
    /// Binds a listener; port 0 lets the system pick the port.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn bind(address: SocketAddr, runtime: Handle) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        let in_runtime = runtime.enter();
        let socket = TcpListener::from_std(net::TcpListener::from(socket))?;
        drop(in_runtime);
        let (stop, stopped) = async_channel::bounded(1);
        Ok(Self {
            socket,
            runtime,
            open: Arc::default(),
            stopped,
            stop,
        })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Fails when the system does not tell the address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Returns the handle that ends the connections.
    #[must_use]
    pub fn stopper(&self) -> ServerStop {
        ServerStop {
            open: Arc::clone(&self.open),
            stop: self.stop.clone(),
        }
    }

    /// Accepts connections in a task of the runtime.
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
                Some(Ok((stream, peer))) => self.open(stream, peer, &service),
                Some(Err(error)) => {
                    tracing::warn!(%error, "cannot accept a connection");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
                // The socket is closed here: a caller that comes later is refused before it sends anything.
                None => return,
            }
        }
    }

    fn open(&self, stream: TcpStream, peer: SocketAddr, service: &Arc<impl Service>) {
        self.open.fetch_add(1, Ordering::AcqRel);
        let guard = OpenGuard(Arc::clone(&self.open));
        let service = Arc::clone(service);
        let stopped = self.stopped.clone();
        self.runtime.spawn(async move {
            let result = drive(stream, peer, &*service, &stopped).await;
            if let Err(error) = result {
                tracing::debug!(%peer, %error, "connection ended with an error");
            }
            drop(guard);
        });
    }
}

impl ServerStop {
    /// Closes the listener and idle connections now, and busy connections after their answer.
    pub fn end_connections(&self) {
        self.stop.close();
    }

    /// Returns the count of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }
}

async fn drive(
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
            |request| async move { Ok::<_, Infallible>(service.answer(request, peer).await) },
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

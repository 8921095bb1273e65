//! Listener that serves each connection in its own thread and shuts down gracefully.

use std::future::Future;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use http::StatusCode;

use crate::connection::{self, ConnectionGuard, Reply, Request, Shared};

/// Interval at which [`ListenerHandle::stop`] polls the number of open connections, and delay after a failed accept.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Reply to connections above [`Limits::max_connections`].
const TOO_MANY_CONNECTIONS: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n\
    Tanagerford-Outcome: not-run\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/// Handles the requests of a [`Listener`].
pub trait Handler: Send + Sync + 'static {
    /// Handles a request. The future is dropped when the caller disconnects before the reply has begun.
    fn handle(&self, request: Request) -> impl Future<Output = Reply>;

    /// Returns the reply to a request whose body could not be read: too large (status 413), too slow (408) or
    /// malformed (400).
    fn rejected(&self, status: StatusCode) -> Reply;
}

/// Limits of a listener.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Maximum number of open connections, each of which has a thread; further ones are refused with status 503.
    pub max_connections: usize,
    /// Maximum size of a request's head, in bytes; at least 8,192, the minimum of `hyper`.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for reading a request's head; an idle connection is closed after it.
    pub idle_timeout: Duration,
    /// Timeout for reading a request's body.
    pub body_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_connections: 2_048,
            max_header_bytes: 16 * 1024,
            max_body_bytes: 8 * 1024 * 1024,
            idle_timeout: Duration::from_mins(1),
            body_timeout: Duration::from_secs(30),
        }
    }
}

/// Listener that is bound but does not accept connections yet.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    limits: Limits,
}

/// Handle of a running listener.
#[derive(Debug)]
pub struct ListenerHandle {
    address: SocketAddr,
    shared: Arc<Shared>,
    stop: async_channel::Sender<()>,
    is_stopping: Arc<AtomicBool>,
    accept_thread: Option<thread::JoinHandle<()>>,
}

impl Listener {
    /// Binds a listener; with port 0 the operating system picks the port.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    ///
    /// # Examples
    ///
    /// ```
    /// use tanagerford_http::{Limits, Listener};
    ///
    /// let listener = Listener::bind("127.0.0.1:0".parse().unwrap(), Limits::default())?;
    /// assert_ne!(listener.address()?.port(), 0);
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn bind(address: SocketAddr, limits: Limits) -> io::Result<Self> {
        let socket = TcpListener::bind(address)?;
        Ok(Self { socket, limits })
    }

    /// Returns the bound address, with the port that the operating system picked.
    ///
    /// # Errors
    ///
    /// Fails when the operating system cannot report the address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Starts a thread that accepts connections.
    ///
    /// # Errors
    ///
    /// Fails when the operating system cannot report the bound address.
    pub fn start(self, handler: impl Handler) -> io::Result<ListenerHandle> {
        let address = self.address()?;
        let (stop, stopped) = async_channel::bounded(1);
        let shared = Arc::new(Shared {
            limits: self.limits,
            stopped,
            open_connections: AtomicUsize::new(0),
        });
        let is_stopping = Arc::new(AtomicBool::new(false));
        let accept_thread = thread::spawn({
            let shared = Arc::clone(&shared);
            let is_stopping = Arc::clone(&is_stopping);
            let handler = Arc::new(handler);
            move || accept(&self.socket, &shared, &is_stopping, &handler)
        });
        Ok(ListenerHandle {
            address,
            shared,
            stop,
            is_stopping,
            accept_thread: Some(accept_thread),
        })
    }
}

impl ListenerHandle {
    /// Returns the bound address, with the port that the operating system picked.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn open_connections(&self) -> usize {
        self.shared.open_connections.load(Ordering::Acquire)
    }

    /// Stops accepting, closes idle connections and waits for replies in progress. Returns `true` when all connections
    /// have closed, or `false` when some are still open after `timeout`.
    pub fn stop(&mut self, timeout: Duration) -> bool {
        self.is_stopping.store(true, Ordering::Release);
        self.stop.close();
        // The thread blocks in accept(); a connection to its own address wakes it.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_secs(1));
        if let Some(thread) = self.accept_thread.take() {
            let _ = thread.join();
        }
        let deadline = Instant::now() + timeout;
        while self.open_connections() > 0 {
            if Instant::now() >= deadline {
                return false;
            }
            thread::sleep(STOP_POLL_INTERVAL);
        }
        true
    }
}

fn accept(
    socket: &TcpListener,
    shared: &Arc<Shared>,
    is_stopping: &AtomicBool,
    handler: &Arc<impl Handler>,
) {
    loop {
        let accepted = socket.accept();
        if is_stopping.load(Ordering::Acquire) {
            return;
        }
        match accepted {
            Ok((stream, peer)) => spawn_connection(stream, peer, shared, handler),
            Err(error) => {
                // The process may be out of file descriptors until connections close. The delay avoids a busy loop,
                // which would slow those connections down.
                tracing::warn!(%error, "cannot accept a connection");
                thread::sleep(STOP_POLL_INTERVAL);
            }
        }
    }
}

fn spawn_connection(
    mut stream: TcpStream,
    peer: SocketAddr,
    shared: &Arc<Shared>,
    handler: &Arc<impl Handler>,
) {
    if shared.open_connections.fetch_add(1, Ordering::AcqRel) >= shared.limits.max_connections {
        shared.open_connections.fetch_sub(1, Ordering::AcqRel);
        let _ = stream.write_all(TOO_MANY_CONNECTIONS);
        return;
    }
    let guard = ConnectionGuard(Arc::clone(shared));
    let handler = Arc::clone(handler);
    let spawned = thread::Builder::new()
        .name("http-connection".to_owned())
        .stack_size(CONNECTION_STACK_BYTES)
        .spawn(move || connection::serve(stream, peer, &guard, &*handler));
    if let Err(error) = spawned {
        tracing::warn!(%peer, %error, "cannot start a connection thread");
    }
}

/// Stack size of a connection thread. Handlers keep large values on the heap, and 2,048 connections with the default
/// stack of 2 MiB would reserve 4 GiB of address space.
const CONNECTION_STACK_BYTES: usize = 512 * 1024;

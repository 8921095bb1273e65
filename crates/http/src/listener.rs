//! Accepts connections and stops gracefully.

use std::future::Future;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use http::StatusCode;

use crate::connection::{self, OpenGuard, Reply, Request, Shared};

/// Interval at which [`ListenerHandle::stop`] looks whether connections are still open.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Reply to connections above the limit.
const TOO_MANY_CONNECTIONS: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n\
    Tanagerford-Outcome: not-run\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers a request. The future is dropped when the caller disconnects before the reply has begun.
    fn handle(&self, request: Request) -> impl Future<Output = Reply>;

    /// Answers a request whose body could not be read: too large, too slow or malformed.
    fn rejected(&self, status: StatusCode) -> Reply;
}

/// Limits of a listener.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Largest count of open connections; each takes one thread.
    pub max_connections: usize,
    /// Largest size of a request's head, in bytes; at least 8,192.
    pub max_header_bytes: usize,
    /// Largest size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time to read a request's head, also on an idle connection.
    pub idle_timeout: Duration,
    /// Longest time to read a request's body.
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

/// Bound listener that does not accept connections yet.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    limits: Limits,
}

/// Running listener.
#[derive(Debug)]
pub struct ListenerHandle {
    address: SocketAddr,
    shared: Arc<Shared>,
    stop: async_channel::Sender<()>,
    stopping: Arc<AtomicBool>,
    accept_thread: Option<thread::JoinHandle<()>>,
}

impl Listener {
    /// Binds a listener; port 0 lets the system pick the port.
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

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Fails when the system does not tell the address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Accepts connections in a thread of its own.
    ///
    /// # Errors
    ///
    /// Fails when the system does not tell the bound address.
    pub fn start(self, handler: impl Handler) -> io::Result<ListenerHandle> {
        let address = self.address()?;
        let (stop, stopped) = async_channel::bounded(1);
        let shared = Arc::new(Shared {
            limits: self.limits,
            stopped,
            open: AtomicUsize::new(0),
        });
        let stopping = Arc::new(AtomicBool::new(false));
        let accept_thread = thread::spawn({
            let shared = Arc::clone(&shared);
            let stopping = Arc::clone(&stopping);
            let handler = Arc::new(handler);
            move || accept(&self.socket, &shared, &stopping, &handler)
        });
        Ok(ListenerHandle {
            address,
            shared,
            stop,
            stopping,
            accept_thread: Some(accept_thread),
        })
    }
}

impl ListenerHandle {
    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the count of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.shared.open.load(Ordering::Acquire)
    }

    /// Stops accepting, lets every reply in progress finish, and closes idle connections. Returns whether all
    /// connections had ended when `timeout` passed.
    pub fn stop(&mut self, timeout: Duration) -> bool {
        self.stopping.store(true, Ordering::Release);
        self.stop.close();
        // The accept thread blocks in accept(); a connection to the own address wakes it.
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
    stopping: &AtomicBool,
    handler: &Arc<impl Handler>,
) {
    loop {
        let accepted = socket.accept();
        if stopping.load(Ordering::Acquire) {
            return;
        }
        match accepted {
            Ok((stream, peer)) => open(stream, peer, shared, handler),
            Err(error) => {
                // Running out of file descriptors ends when connections close; a busy loop would delay that.
                tracing::warn!(%error, "cannot accept a connection");
                thread::sleep(STOP_POLL_INTERVAL);
            }
        }
    }
}

fn open(
    mut stream: TcpStream,
    peer: SocketAddr,
    shared: &Arc<Shared>,
    handler: &Arc<impl Handler>,
) {
    if shared.open.fetch_add(1, Ordering::AcqRel) >= shared.limits.max_connections {
        shared.open.fetch_sub(1, Ordering::AcqRel);
        let _ = stream.write_all(TOO_MANY_CONNECTIONS);
        return;
    }
    let guard = OpenGuard(Arc::clone(shared));
    let handler = Arc::clone(handler);
    let spawned = thread::Builder::new()
        .name("http-connection".to_owned())
        .stack_size(CONNECTION_STACK_BYTES)
        .spawn(move || connection::serve(stream, peer, &guard, &*handler));
    if let Err(error) = spawned {
        tracing::warn!(%peer, %error, "cannot start a connection thread");
    }
}

/// Stack of a connection thread. A handler keeps its large values on the heap, and 2,048 connections with the default
/// of 2 MiB each would reserve 4 GiB of address space.
const CONNECTION_STACK_BYTES: usize = 512 * 1024;

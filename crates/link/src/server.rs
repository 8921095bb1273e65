//! Server that accepts links.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::connection::{LinkHandler, LinkOptions, open};
use crate::handshake::Role;

/// Delay after a failed accept, for example when the process has no file descriptors left.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Server that is bound to an address but does not accept links yet.
#[derive(Debug)]
pub struct LinkServer {
    socket: TcpListener,
}

/// Running server. Dropping the handle does not stop it; call [`stop`](Self::stop).
#[derive(Debug)]
pub struct LinkServerHandle {
    address: SocketAddr,
    is_stopping: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl LinkServer {
    /// Binds the server to `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = TcpListener::bind(address)?;
        Ok(Self { socket })
    }

    /// Returns the bound address with the selected port.
    ///
    /// # Errors
    ///
    /// Fails if the system call for the local address fails.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Starts a thread that accepts links.
    ///
    /// # Errors
    ///
    /// Fails if the bound address cannot be read or the thread cannot be started.
    pub fn start(
        self,
        options: LinkOptions,
        handler: Arc<impl LinkHandler>,
    ) -> io::Result<LinkServerHandle> {
        let address = self.address()?;
        let is_stopping = Arc::new(AtomicBool::new(false));
        let accept_thread = {
            let is_stopping = Arc::clone(&is_stopping);
            move || accept_loop(&self.socket, &options, &handler, &is_stopping)
        };
        let thread = thread::Builder::new()
            .name("link-accept".to_owned())
            .spawn(accept_thread)?;
        Ok(LinkServerHandle {
            address,
            is_stopping,
            thread: Some(thread),
        })
    }
}

impl LinkServerHandle {
    /// Returns the bound address with the selected port.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting links and waits for the accept thread. Open links stay open.
    pub fn stop(&mut self) {
        self.is_stopping.store(true, Ordering::Release);
        // The accept thread blocks in `accept()`; a connection to the server's own address wakes it.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_secs(1));
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn accept_loop(
    socket: &TcpListener,
    options: &LinkOptions,
    handler: &Arc<impl LinkHandler>,
    is_stopping: &AtomicBool,
) {
    loop {
        let accepted = socket.accept();
        if is_stopping.load(Ordering::Acquire) {
            return;
        }
        match accepted {
            Ok((stream, address)) => {
                spawn_handshake(stream, address, options.clone(), Arc::clone(handler));
            }
            Err(error) => {
                tracing::warn!(%error, "cannot accept a link connection");
                thread::sleep(ACCEPT_RETRY_INTERVAL);
            }
        }
    }
}

/// Runs the handshake in a separate thread, so that a peer that sends nothing does not delay other peers.
fn spawn_handshake(
    stream: TcpStream,
    address: SocketAddr,
    options: LinkOptions,
    handler: Arc<impl LinkHandler>,
) {
    let handshake = move || {
        if let Err(error) = open(stream, &options, handler, Role::Server) {
            tracing::warn!(%address, %error, "link handshake failed");
        }
    };
    if let Err(error) = thread::Builder::new().spawn(handshake) {
        tracing::warn!(%address, %error, "cannot start a thread for a link handshake");
    }
}

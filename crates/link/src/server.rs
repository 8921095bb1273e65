//! Accepts links.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::connection::{LinkHandler, LinkOptions, open};
use crate::handshake::Role;

/// Pause after a failed accept, for example when file descriptors ran out.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Bound server that does not accept links yet.
#[derive(Debug)]
pub struct LinkServer {
    socket: TcpListener,
}

/// Running server.
#[derive(Debug)]
pub struct LinkServerHandle {
    address: SocketAddr,
    stopping: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl LinkServer {
    /// Binds a server; port 0 lets the system pick the port.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = TcpListener::bind(address)?;
        Ok(Self { socket })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Fails when the system does not tell the address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Accepts links in a thread of its own.
    ///
    /// # Errors
    ///
    /// Fails when the system does not tell the bound address.
    pub fn start(
        self,
        options: LinkOptions,
        handler: Arc<impl LinkHandler>,
    ) -> io::Result<LinkServerHandle> {
        let address = self.address()?;
        let stopping = Arc::new(AtomicBool::new(false));
        let accept = {
            let stopping = Arc::clone(&stopping);
            move || accept(&self.socket, &options, &handler, &stopping)
        };
        let thread = thread::Builder::new()
            .name("link-accept".to_owned())
            .spawn(accept)?;
        Ok(LinkServerHandle {
            address,
            stopping,
            thread: Some(thread),
        })
    }
}

impl LinkServerHandle {
    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting links; open links stay open.
    pub fn stop(&mut self) {
        self.stopping.store(true, Ordering::Release);
        // The accept thread blocks in accept(); a connection to the own address wakes it.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_secs(1));
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn accept(
    socket: &TcpListener,
    options: &LinkOptions,
    handler: &Arc<impl LinkHandler>,
    stopping: &AtomicBool,
) {
    loop {
        let accepted = socket.accept();
        if stopping.load(Ordering::Acquire) {
            return;
        }
        match accepted {
            Ok((stream, address)) => shake(stream, address, options.clone(), Arc::clone(handler)),
            Err(error) => {
                tracing::warn!(%error, "cannot accept a link");
                thread::sleep(ACCEPT_RETRY_INTERVAL);
            }
        }
    }
}

/// Runs the handshake in a thread of its own, so that a silent peer does not hold up others.
fn shake(
    stream: TcpStream,
    address: SocketAddr,
    options: LinkOptions,
    handler: Arc<impl LinkHandler>,
) {
    let shake = move || {
        if let Err(error) = open(stream, &options, handler, Role::Server) {
            tracing::warn!(%address, %error, "refused a link");
        }
    };
    if let Err(error) = thread::Builder::new().spawn(shake) {
        tracing::warn!(%address, %error, "cannot start a thread for a link");
    }
}

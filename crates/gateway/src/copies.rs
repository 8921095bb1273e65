//! Copies of the configuration between entries, and the listener for the requests of other entries.
//!
//! The store may reject individual entries while it serves the others and the operators. An entry whose configuration
//! is older than the one that a peer announces, and that does not receive the newer one from the store in time, reads
//! it from that peer.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use tanagerford_http::server::{Server, ServerLimits, Service};
use tanagerford_http::{Body, Reply};
use tokio::runtime::Handle;
use tokio::time::{sleep, timeout};

use crate::changes;
use crate::codec::Codec;
use crate::gateway::Gateway;
use crate::table::{ConfigurationSource, RoutingTable, Version};

/// Time for which an entry waits for the store before it reads a newer configuration from a peer.
const STORE_WAIT: Duration = Duration::from_millis(300);
/// Timeout of a copy, and idle timeout of the connections on which peers read copies.
const COPY_TIMEOUT: Duration = Duration::from_secs(2);
/// Size limit of the head of a peer's request, in bytes.
const MAX_HEADER_BYTES: usize = 8 * 1024;
const CONFIGURATION_PATH: &str = "/configuration";

/// Decodes a configuration document; returns `None` when it is invalid.
pub type DecodeConfiguration = fn(&[u8]) -> Option<RoutingTable>;

/// Serves the configuration to peers and reads newer configurations from them.
pub struct ConfigurationCopies<C> {
    gateway: Arc<Gateway<C>>,
    address: SocketAddr,
    decode: DecodeConfiguration,
    /// Whether a task is reading a copy; at most one does at a time.
    is_copying: AtomicBool,
    runtime: Handle,
}

struct CopyService<C>(Arc<Gateway<C>>);

impl<C: Codec> Service for CopyService<C> {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Reply {
        if request.uri().path() == changes::PATH {
            return self.0.changes().answer(request.uri()).await;
        }
        let document = self.0.document();
        let (status, body) = match document {
            Some(document) if request.uri().path() == CONFIGURATION_PATH => {
                (StatusCode::OK, document)
            }
            _ => (StatusCode::NOT_FOUND, Bytes::new()),
        };
        let mut reply = Reply::new(Body::full(body));
        *reply.status_mut() = status;
        reply
    }

    fn limits(&self) -> ServerLimits {
        ServerLimits {
            max_header_bytes: MAX_HEADER_BYTES,
            header_timeout: COPY_TIMEOUT,
            idle_timeout: COPY_TIMEOUT,
            propagation_time: Duration::ZERO,
        }
    }
}

impl<C: Codec> ConfigurationCopies<C> {
    /// Starts to serve the configuration to peers at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub fn start(
        gateway: Arc<Gateway<C>>,
        address: SocketAddr,
        decode: DecodeConfiguration,
        runtime: Handle,
    ) -> io::Result<Arc<Self>> {
        let server = Server::bind(address, runtime.clone())?;
        let address = server.address()?;
        server.start(Arc::new(CopyService(Arc::clone(&gateway))));
        Ok(Arc::new(Self {
            gateway,
            address,
            decode,
            is_copying: AtomicBool::new(false),
            runtime,
        }))
    }

    /// Returns the bound address, with the port that the system chose if port 0 was requested.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Spawns a task that reads the configuration from a peer, unless the store delivers `version` first.
    pub(crate) fn copy_unless_stored(self: &Arc<Self>, peer: SocketAddr, version: Version) {
        if !self.is_copying.swap(true, Ordering::AcqRel) {
            let copy = Arc::clone(self).copy_newer(peer, version);
            self.runtime.spawn(copy);
        }
    }

    async fn copy_newer(self: Arc<Self>, peer: SocketAddr, version: Version) {
        sleep(STORE_WAIT).await;
        if self.gateway.version().unwrap_or(0) < version {
            let result = timeout(COPY_TIMEOUT, self.fetch(peer)).await;
            match result
                .unwrap_or_else(|_| Err(format!("timeout after {} ms", COPY_TIMEOUT.as_millis())))
            {
                Ok(()) => tracing::info!(%peer, version, "configuration copied from a peer"),
                Err(error) => {
                    tracing::warn!(%peer, version, error, "cannot copy the configuration from a peer");
                }
            }
        }
        self.is_copying.store(false, Ordering::Release);
    }

    async fn fetch(&self, peer: SocketAddr) -> Result<(), String> {
        let fetched = self
            .gateway
            .fetch_from_peer(peer, CONFIGURATION_PATH, COPY_TIMEOUT);
        let document = fetched.await.map_err(|status| format!("status {status}"))?;
        let table = (self.decode)(&document).ok_or("invalid configuration document")?;
        let source = ConfigurationSource::Peer;
        self.gateway.set_configuration(table, document, source);
        Ok(())
    }
}

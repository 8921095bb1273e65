//! Copies of the configuration between entries, and the listener for the requests of other entries.
//!
//! The store may reject individual entries while it serves the others and the operators. An entry whose configuration
//! is older than the one that a peer announces, and that does not receive the newer one from the store in time, reads
//! it from that peer.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use tanagerford_core::document::wire;
use tanagerford_http::Reply;
use tanagerford_http::server::{Server, ServerLimits, Service};
use tokio::runtime::Handle;
use tokio::task::spawn_blocking;
use tokio::time::{sleep, timeout};

use crate::changes::{self, pack_for};
use crate::codec::Codec;
use crate::gateway::Gateway;
use crate::log;
use crate::table::{ConfigurationSource, RoutingTable, Version};

/// Time for which an entry waits for the store before it reads a newer configuration from a peer.
const STORE_WAIT: Duration = Duration::from_millis(300);
/// Timeout of a copy, and idle timeout of the connections on which peers read copies.
const COPY_TIMEOUT: Duration = Duration::from_secs(2);
/// Size limit of the head of a peer's request, in bytes.
const MAX_HEADER_BYTES: usize = 8 * 1024;
const CONFIGURATION_PATH: &str = "/configuration";
/// Path of the packed configuration, which entries of an earlier release do not serve.
const PACKED_PATH: &str = "/configuration/packed";

/// Decodes a configuration document that may share parts with the table in force; returns `None` when it is invalid.
pub type DecodeConfiguration = fn(&[u8], Option<&RoutingTable>) -> Option<RoutingTable>;

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
        let uri = request.uri();
        if uri.path() == changes::PATH {
            let gateway = Arc::clone(&self.0);
            let stored = move || gateway.stored_document();
            return self.0.changes().answer(uri, stored).await;
        }
        let base = changes::parse_base(uri.query().unwrap_or_default());
        let result = match (self.0.stored_document(), uri.path(), base) {
            (Some(stored), CONFIGURATION_PATH, _) => Ok(stored.document().clone()),
            (Some(stored), PACKED_PATH, Some(base)) => {
                // Compressing takes time in proportion to the document, so it runs beside the calls.
                let packing = spawn_blocking(move || wire::encode(pack_for(&stored, base)));
                let packed = packing.await;
                packed
                    .map(Bytes::from)
                    .map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
            }
            _ => Err(StatusCode::NOT_FOUND),
        };
        changes::reply(result)
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

    async fn fetch(self: &Arc<Self>, peer: SocketAddr) -> Result<(), String> {
        let known = self.gateway.stored_document();
        let base = known.as_ref().map_or(0, |known| known.hash());
        let path = format!("{PACKED_PATH}?base={base:x}");
        let fetched = self.gateway.fetch_from_peer(peer, &path, COPY_TIMEOUT);
        let packed = match fetched.await {
            Ok(message) => {
                let packed = wire::decode(&message).ok_or("malformed document")?;
                self.gateway.metrics.on_document(&packed);
                Some(packed)
            }
            Err(StatusCode::NOT_FOUND) => None,
            Err(status) => return Err(format!("status {status}")),
        };
        let copies = Arc::clone(self);
        let unpack = move || {
            let base = known.as_ref().map(|known| &known.document()[..]);
            packed.map(|packed| packed.unpack(base))
        };
        let unpacked = spawn_blocking(unpack).await;
        let document = match unpacked.map_err(|error| error.to_string())? {
            Some(Ok(document)) => document.into(),
            failed => {
                if let Some(Err(error)) = failed {
                    log::unpack_failed(peer, error);
                }
                let fetched = self
                    .gateway
                    .fetch_from_peer(peer, CONFIGURATION_PATH, COPY_TIMEOUT);
                fetched.await.map_err(|status| format!("status {status}"))?
            }
        };
        let taking_up = spawn_blocking(move || copies.take_up(document));
        taking_up.await.map_err(|error| error.to_string())?
    }

    /// Puts a document in force. Blocks for a time in proportion to its length.
    fn take_up(&self, document: Bytes) -> Result<(), String> {
        let began = Instant::now();
        let known = self.gateway.table();
        let decoded = (self.decode)(&document, known.as_deref());
        let table = decoded.ok_or("invalid configuration document")?;
        let gateway = &self.gateway;
        gateway.on_decoded(table.version, document.len(), began.elapsed());
        let source = ConfigurationSource::Peer;
        self.gateway.set_configuration(table, document, source);
        Ok(())
    }
}

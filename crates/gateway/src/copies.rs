//! Copies of the configuration between entries.
//!
//! The store may turn single entries away while it serves the others and the operators. An entry that hears of a newer
//! configuration than its own and does not get it from the store in time reads it from the peer that told of it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderValue, Request, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use tanagerford_http::server::{Server, ServerLimits, Service};
use tanagerford_http::{Body, Reply};
use tokio::runtime::Handle;
use tokio::time::{sleep, timeout};

use crate::codec::Codec;
use crate::gateway::Gateway;
use crate::table::{ConfigurationSource, RoutingTable, Version};

/// Time for which an entry waits for the store before it asks a peer for a newer configuration.
const STORE_HEAD_START: Duration = Duration::from_millis(300);
/// Longest time of a peer's answer with a configuration.
const COPY_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest head of a request for a copy, in bytes.
const MAX_HEADER_BYTES: usize = 8 * 1024;
/// Path of the copy of the configuration.
const PATH: &str = "/configuration";

/// Reads a configuration document; `None` when it cannot be read.
pub type DecodeConfiguration = fn(&[u8]) -> Option<RoutingTable>;

/// Gives and takes copies of the configuration.
pub struct Copies<C> {
    gateway: Arc<Gateway<C>>,
    address: SocketAddr,
    decode: DecodeConfiguration,
    /// Whether a copy of a newer configuration is being read.
    is_copying: AtomicBool,
    runtime: Handle,
}

struct CopyService<C>(Arc<Gateway<C>>);

impl<C: Codec> Service for CopyService<C> {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Reply {
        let document = self.0.document();
        let (status, body) = match document {
            Some(document) if request.uri().path() == PATH => (StatusCode::OK, document),
            _ => (StatusCode::NOT_FOUND, Bytes::new()),
        };
        let mut reply = Reply::new(Body::full(body));
        *reply.status_mut() = status;
        reply
    }

    fn limits(&self) -> ServerLimits {
        ServerLimits {
            max_header_bytes: MAX_HEADER_BYTES,
            idle_timeout: COPY_TIMEOUT,
        }
    }
}

impl<C: Codec> Copies<C> {
    /// Starts to give copies at `address`.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
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

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Reads the configuration from a peer in a task of its own, unless the store delivers it first.
    pub fn offer(self: &Arc<Self>, peer: SocketAddr, version: Version) {
        if !self.is_copying.swap(true, Ordering::AcqRel) {
            let copy = Arc::clone(self).copy_newer(peer, version);
            self.runtime.spawn(copy);
        }
    }

    async fn copy_newer(self: Arc<Self>, peer: SocketAddr, version: Version) {
        sleep(STORE_HEAD_START).await;
        if self.gateway.version().unwrap_or(0) < version {
            let copied = timeout(COPY_TIMEOUT, self.copy(peer)).await;
            match copied.unwrap_or_else(|_| Err("timeout".to_owned())) {
                Ok(()) => tracing::info!(%peer, version, "configuration copied from a peer"),
                Err(error) => tracing::warn!(%peer, version, error, "configuration was not copied"),
            }
        }
        self.is_copying.store(false, Ordering::Release);
    }

    async fn copy(&self, peer: SocketAddr) -> Result<(), String> {
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = http::Uri::from_static(PATH);
        let host = HeaderValue::from_str(&peer.to_string()).map_err(|error| error.to_string())?;
        request.headers_mut().insert(http::header::HOST, host);
        let outbound = &self.gateway.outbound;
        let sent = outbound.send(peer, request, COPY_TIMEOUT, false).await;
        let mut answer = sent.map_err(|error| format!("{error:?}"))?;
        let mut document = BytesMut::new();
        while let Some(part) = answer
            .next_chunk()
            .await
            .map_err(|error| error.to_string())?
        {
            document.extend_from_slice(&part);
        }
        let table = (self.decode)(&document).ok_or("the document cannot be read")?;
        let source = ConfigurationSource::Peer;
        self.gateway
            .set_configuration(table, document.freeze(), source);
        Ok(())
    }
}

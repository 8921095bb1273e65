//! Runtime of the sidecar.

mod model;
mod service;
mod state;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::{Duration, Instant};

use tanagerford_link::{FleetKey, Identity, LinkOptions, LinkServer, LinkServerHandle};

use crate::metrics::Metrics;

use state::{SidecarState, SubmitHandler};

/// Kind of the backend server beside a sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Backend {
    /// Model engine.
    Engine,
    /// Plain service that runs at most this many calls at the same time.
    Service {
        /// Largest count of calls at the same time.
        concurrency: usize,
    },
}

/// Settings of a sidecar.
#[derive(Debug, Clone)]
pub struct SidecarSettings {
    /// Identity on links; the process id is the server's name.
    pub identity: Identity,
    /// Shared secret of the fleet.
    pub fleet_key: FleetKey,
    /// Address of the link listener.
    pub listen: SocketAddr,
    /// Address of the backend server.
    pub backend_address: SocketAddr,
    /// Kind of the backend server.
    pub backend: Backend,
}

/// Running sidecar.
pub struct Sidecar {
    state: Arc<SidecarState>,
    server: LinkServerHandle,
}

/// Interval at which a stopping sidecar looks whether work is still in flight.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time that last frames get to reach the entries.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

impl Sidecar {
    /// Starts a sidecar.
    ///
    /// # Errors
    ///
    /// Fails when the listener cannot be bound or a thread cannot be started.
    pub fn start(settings: &SidecarSettings) -> std::io::Result<Self> {
        let generation = Arc::new(AtomicU64::new(0));
        let options = LinkOptions::new(
            settings.identity.clone(),
            settings.fleet_key.clone(),
            generation,
        );
        let state = Arc::new(SidecarState::new(settings));
        let handler = Arc::new(SubmitHandler(Arc::clone(&state)));
        let server = LinkServer::bind(settings.listen)?.start(options, handler)?;
        Ok(Self { state, server })
    }

    /// Returns the address of the link listener.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the sidecar's metrics.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.state.metrics
    }

    /// Stops gracefully: refuses new work, tells the entries, and finishes what runs. Returns whether all had ended when
    /// `timeout` passed.
    #[must_use]
    pub fn stop(mut self, timeout: Duration) -> bool {
        self.state.leave();
        let deadline = Instant::now() + timeout;
        let mut finished = true;
        while self.state.in_flight() > 0 {
            if Instant::now() >= deadline {
                finished = false;
                break;
            }
            std::thread::sleep(STOP_POLL_INTERVAL);
        }
        self.server.stop();
        self.state.close_links(FLUSH_TIMEOUT);
        finished
    }
}

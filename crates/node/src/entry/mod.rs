//! Runtime of the entry.

mod call;
mod handler;
mod relay;
mod servers;
mod state;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use tanagerford_core::config::Configuration;
use tanagerford_core::ids::ZoneId;
use tanagerford_http::{Limits, Listener, ListenerHandle};
use tanagerford_link::{FleetKey, Identity, LinkOptions};

use crate::links::{LinkPool, Target};
use crate::metrics::Metrics;

use handler::CallerHandler;
use state::{EntryState, FrameHandler};

/// Settings of an entry.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Identity on links.
    pub identity: Identity,
    /// Shared secret of the fleet.
    pub fleet_key: FleetKey,
    /// Address of the callers' listener.
    pub listen: SocketAddr,
    /// Limits of the callers' listener.
    pub limits: Limits,
    /// Availability zone.
    pub zone: ZoneId,
    /// Time that the balancer takes to notice that the entry is not ready.
    pub balancer_notice: Duration,
}

/// Running entry that accepts callers.
pub struct Entry {
    state: Arc<EntryState>,
    links: Arc<LinkPool<FrameHandler>>,
    listener: ListenerHandle,
    balancer_notice: Duration,
}

impl Entry {
    /// Starts an entry.
    ///
    /// # Errors
    ///
    /// Fails when the listener cannot be bound or a thread cannot be started.
    pub fn start(settings: EntrySettings, configuration: Configuration) -> std::io::Result<Self> {
        let generation = Arc::new(AtomicU64::new(configuration.generation));
        let options = LinkOptions::new(settings.identity, settings.fleet_key, generation);
        let state = Arc::new(EntryState::new(configuration));
        let frames = Arc::new(FrameHandler(Arc::clone(&state)));
        let links = LinkPool::start(options, frames)?;
        let handler = CallerHandler::new(Arc::clone(&state), Arc::clone(&links));
        let listener = Listener::bind(settings.listen, settings.limits)?.start(handler)?;
        Ok(Self {
            state,
            links,
            listener,
            balancer_notice: settings.balancer_notice,
        })
    }

    /// Returns the address of the callers' listener.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Replaces the sidecars that the entry uses.
    pub fn set_targets(&self, targets: impl IntoIterator<Item = Target>) {
        self.links.set_targets(targets);
    }

    /// Returns the entry's metrics.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.state.metrics
    }

    /// Returns the count of servers with an open link.
    #[must_use]
    pub fn open_links(&self) -> usize {
        self.links
            .targets()
            .iter()
            .filter(|(_, open)| *open)
            .count()
    }

    /// Stops gracefully: turns readiness off, goes on accepting until the balancer has noticed, finishes every request
    /// in flight. Returns whether all had ended when `timeout` passed.
    #[must_use]
    pub fn stop(mut self, timeout: Duration) -> bool {
        self.state.stopping.raise();
        std::thread::sleep(self.balancer_notice);
        let finished = self.listener.stop(timeout);
        self.links.stop();
        finished
    }
}

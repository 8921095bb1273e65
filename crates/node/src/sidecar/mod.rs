//! Runtime of the sidecar.

mod membership;
mod model;
mod operations;
mod order;
mod refusal;
mod service;
mod state;
mod work;

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use tanagerford_core::ids::PoolId;
use tanagerford_gossip::Gossip;
use tanagerford_link::{FleetKey, Identity, LinkOptions, LinkServer, LinkServerHandle};
use tanagerford_operator::listener::OperatorApi;

use crate::exchange::ConfigExchange;
use crate::fleet::FleetObserver;
use crate::orders::OrderLog;
use crate::stop::StopSignal;

use membership::SidecarMember;
use operations::SidecarOperations;
use state::{SidecarState, SubmitHandler};

/// Kind of the backend server beside a sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Backend {
    /// Model engine.
    Engine,
    /// Plain service.
    Service,
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
    /// Pool of the backend server.
    pub pool: PoolId,
}

/// Phase in which a sidecar takes new work.
#[derive(Debug)]
pub struct Serving;

/// Phase in which a sidecar refuses new work and finishes what runs.
#[derive(Debug)]
pub struct Draining;

/// Running sidecar. Its life cycle is [`Serving`], then [`Draining`], then gone.
pub struct Sidecar<Phase = Serving> {
    state: Arc<SidecarState>,
    server: LinkServerHandle,
    phase: PhantomData<Phase>,
}

/// Interval at which a stopping sidecar looks whether work is still in flight.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time that last frames get to reach the entries.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

impl Sidecar<Serving> {
    /// Starts a sidecar. A plain service that takes orders needs an order log.
    ///
    /// # Errors
    ///
    /// Fails when the listener cannot be bound or a thread cannot be started.
    pub fn start(
        settings: &SidecarSettings,
        exchange: Arc<ConfigExchange>,
        orders: Option<Arc<OrderLog>>,
    ) -> std::io::Result<Self> {
        let generation = exchange.generation();
        let options = LinkOptions::new(
            settings.identity.clone(),
            settings.fleet_key.clone(),
            generation,
        );
        let state = Arc::new(SidecarState::new(settings, exchange, orders));
        let ticker = Arc::clone(&state);
        thread::Builder::new()
            .name("sidecar-tick".to_owned())
            .spawn(move || ticker.tick_until_stopped())?;
        state.set_configuration(state.exchange.feed().current().configuration());
        let handler = Arc::new(SubmitHandler(Arc::clone(&state)));
        let server = LinkServer::bind(settings.listen)?.start(options, handler)?;
        Ok(Self {
            state,
            server,
            phase: PhantomData,
        })
    }

    /// Returns what the sidecar offers to its operators; a drain raises `stop`.
    #[must_use]
    pub fn operations(&self, gossip: Arc<Gossip>, stop: StopSignal) -> Arc<dyn OperatorApi> {
        let state = Arc::clone(&self.state);
        Arc::new(SidecarOperations {
            state,
            gossip,
            stop,
        })
    }

    /// Returns the sidecar as a user of the membership; it raises `stop` when a newer process has its id.
    #[must_use]
    pub fn member(&self, stop: StopSignal) -> Arc<dyn FleetObserver> {
        let state = Arc::clone(&self.state);
        Arc::new(SidecarMember { state, stop })
    }

    /// Spreads what this sidecar learns about requests that crash its engine.
    pub fn publish_crashes_to(&self, gossip: Arc<Gossip>) {
        self.state.suspects.publish_to(gossip);
    }

    /// Refuses new work from now on and tells the entries.
    #[must_use]
    pub fn drain(self) -> Sidecar<Draining> {
        self.state.leave();
        tracing::info!("sidecar is draining");
        Sidecar {
            state: self.state,
            server: self.server,
            phase: PhantomData,
        }
    }
}

impl Sidecar<Draining> {
    /// Finishes what runs. Returns whether all had ended when `timeout` passed.
    #[must_use]
    pub fn finish(mut self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let mut finished = true;
        while self.state.in_flight() > 0 {
            if Instant::now() >= deadline {
                finished = false;
                break;
            }
            thread::sleep(STOP_POLL_INTERVAL);
        }
        self.state.stopped.raise();
        if let Some(orders) = self.state.orders() {
            // An unwritten completion would leave its order unknown, so the stop waits for the key-value service.
            let left = deadline.saturating_duration_since(Instant::now());
            finished &= orders.stop(left.max(FLUSH_TIMEOUT));
        }
        self.server.stop();
        self.state.close_links(FLUSH_TIMEOUT);
        tracing::info!(finished, "sidecar has stopped");
        finished
    }
}

impl<Phase> Sidecar<Phase> {
    /// Returns the address of the link listener.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

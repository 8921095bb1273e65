//! Sidecar: admits the work that entries submit, runs it at the backend server and sends back the responses.

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

use membership::SidecarFleetObserver;
use operations::SidecarOperations;
use state::{FrameHandler, SidecarState};

/// Kind of the backend server beside a sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Backend {
    /// Model engine that generates token streams; its calls can be preempted and resumed.
    Engine,
    /// Service with plain HTTP calls, some of which are orders.
    Service,
}

/// Settings of a sidecar.
#[derive(Debug, Clone)]
pub struct SidecarSettings {
    /// Identity on links; its process id also names the backend server.
    pub identity: Identity,
    /// Shared secret that authenticates links.
    pub fleet_key: FleetKey,
    /// Address of the link listener; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Address of the backend server's HTTP interface.
    pub backend_address: SocketAddr,
    /// Kind of the backend server; selects the admission rules.
    pub backend: Backend,
    /// Pool of the backend server. A plain service takes its concurrency from the configured service of this pool.
    pub pool: PoolId,
}

/// Phase in which a sidecar accepts new work.
#[derive(Debug)]
pub struct Serving;

/// Phase in which a sidecar refuses new work and finishes the work in flight.
#[derive(Debug)]
pub struct Draining;

/// Running sidecar. It starts in the phase [`Serving`]; [`drain`](Sidecar::drain) moves it to [`Draining`], and
/// [`finish`](Sidecar::finish) ends it.
pub struct Sidecar<Phase = Serving> {
    state: Arc<SidecarState>,
    server: LinkServerHandle,
    phase: PhantomData<Phase>,
}

/// Interval at which a stopping sidecar checks for work in flight.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time limit for sending the last queued frames to the entries.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

impl Sidecar<Serving> {
    /// Starts a sidecar. Without `orders`, a sidecar of a plain service refuses all orders.
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
        let handler = Arc::new(FrameHandler(Arc::clone(&state)));
        let server = LinkServer::bind(settings.listen)?.start(options, handler)?;
        Ok(Self {
            state,
            server,
            phase: PhantomData,
        })
    }

    /// Returns the operators' interface of the sidecar; its drain command raises `stop`.
    #[must_use]
    pub fn operations(&self, gossip: Arc<Gossip>, stop: StopSignal) -> Arc<dyn OperatorApi> {
        let state = Arc::clone(&self.state);
        Arc::new(SidecarOperations {
            state,
            gossip,
            stop,
        })
    }

    /// Returns the handler of fleet events. It raises `stop` when the process's VM is about to be removed or a newer
    /// process has the same id.
    #[must_use]
    pub fn fleet_observer(&self, stop: StopSignal) -> Arc<dyn FleetObserver> {
        let state = Arc::clone(&self.state);
        Arc::new(SidecarFleetObserver { state, stop })
    }

    /// Publishes the requests that are suspected of crashing this sidecar's engine over `gossip`.
    pub fn publish_crashes_to(&self, gossip: Arc<Gossip>) {
        self.state.suspects.publish_to(gossip);
    }

    /// Refuses new work from now on and notifies the entries.
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
    /// Waits at most `timeout` for the work in flight, then stops. Returns whether all work had ended and all
    /// changes of the order log were written.
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
            let remaining = deadline.saturating_duration_since(Instant::now());
            finished &= orders.stop(remaining.max(FLUSH_TIMEOUT));
        }
        self.server.stop();
        self.state.close_links(FLUSH_TIMEOUT);
        tracing::info!(finished, "sidecar has stopped");
        finished
    }
}

impl<Phase> Sidecar<Phase> {
    /// Returns the address of the link listener, with the port that was bound.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

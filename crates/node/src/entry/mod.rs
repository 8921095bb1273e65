//! The entry: accepts requests from callers and relays them to backend servers over links to their sidecars.

mod call;
mod failure;
mod handler;
mod membership;
mod operations;
mod order;
mod relay;
mod running;
mod servers;
mod state;

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tanagerford_core::ids::ZoneId;
use tanagerford_gossip::Gossip;
use tanagerford_http::{Limits, Listener, ListenerHandle};
use tanagerford_link::{FleetKey, Identity, LinkOptions, LinkServer, LinkServerHandle};
use tanagerford_operator::listener::OperatorApi;

use crate::exchange::ConfigExchange;
use crate::fleet::FleetObserver;
use crate::links::LinkPool;
use crate::stop::StopSignal;

use handler::CallerHandler;
use membership::EntryFleetObserver;
use operations::EntryOperations;
use state::{EntryState, FrameHandler};

/// Settings of an entry.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Identity that the entry presents on its links.
    pub identity: Identity,
    /// Shared secret that authenticates the processes of the fleet to each other.
    pub fleet_key: FleetKey,
    /// Address of the callers' listener.
    pub listen: SocketAddr,
    /// Address of the listener for links from other processes, which request the configuration.
    pub link_listen: SocketAddr,
    /// Limits of the callers' listener.
    pub limits: Limits,
    pub zone: ZoneId,
    /// Time that the load balancer needs to detect that the entry is not ready. The entry continues to accept requests
    /// during that time.
    pub balancer_notice: Duration,
}

/// Phase in which an entry accepts requests and reports itself ready.
#[derive(Debug)]
pub struct Serving;

/// Phase in which an entry reports itself not ready and completes the requests in flight.
#[derive(Debug)]
pub struct Draining;

/// A running entry. [`drain`](Self::drain) moves it from [`Serving`] to [`Draining`], and
/// [`finish`](Entry::finish) stops it.
pub struct Entry<Phase = Serving> {
    state: Arc<EntryState>,
    links: Arc<LinkPool<FrameHandler>>,
    listener: ListenerHandle,
    server: LinkServerHandle,
    balancer_notice: Duration,
    phase: PhantomData<Phase>,
}

impl Entry<Serving> {
    /// Starts an entry.
    ///
    /// # Errors
    ///
    /// Fails if a listener cannot be bound or a thread cannot be started.
    pub fn start(settings: EntrySettings, exchange: Arc<ConfigExchange>) -> std::io::Result<Self> {
        let identity = settings.identity.clone();
        let generation = exchange.generation();
        let options = LinkOptions::new(settings.identity, settings.fleet_key, generation);
        let state = Arc::new(EntryState::new(identity, settings.zone, exchange));
        let frames = Arc::new(FrameHandler(Arc::clone(&state)));
        let server = LinkServer::bind(settings.link_listen)?;
        let server = server.start(options.clone(), Arc::clone(&frames))?;
        let links = LinkPool::start(options, frames)?;
        start_tick(Arc::clone(&state))?;
        let handler = CallerHandler::new(Arc::clone(&state), Arc::clone(&links));
        let listener = Listener::bind(settings.listen, settings.limits)?.start(handler)?;
        Ok(Self {
            state,
            links,
            listener,
            server,
            balancer_notice: settings.balancer_notice,
            phase: PhantomData,
        })
    }

    /// Returns the observer of membership and configuration changes. It raises `stop` if a newer process with the same
    /// id exists or if the VM of this process is about to be removed.
    #[must_use]
    pub fn fleet_observer(&self, stop: StopSignal) -> Arc<dyn FleetObserver> {
        Arc::new(EntryFleetObserver {
            state: Arc::clone(&self.state),
            links: Arc::clone(&self.links),
            stop,
        })
    }

    /// Returns the operations for the operators' listener. A drain raises `stop`.
    #[must_use]
    pub fn operations(&self, gossip: Arc<Gossip>, stop: StopSignal) -> Arc<dyn OperatorApi> {
        Arc::new(EntryOperations {
            state: Arc::clone(&self.state),
            links: Arc::clone(&self.links),
            gossip,
            stop,
        })
    }

    /// Reports the entry as not ready. It continues to accept requests, because the load balancer still sends some.
    #[must_use]
    pub fn drain(self) -> Entry<Draining> {
        self.state.draining.raise();
        tracing::info!("entry is draining");
        Entry {
            state: self.state,
            links: self.links,
            listener: self.listener,
            server: self.server,
            balancer_notice: self.balancer_notice,
            phase: PhantomData,
        }
    }
}

impl Entry<Draining> {
    /// Accepts requests for another `balancer_notice`, then closes the listener and waits up to `timeout` for the
    /// requests in flight. Returns whether all of them ended.
    #[must_use]
    pub fn finish(mut self, timeout: Duration) -> bool {
        std::thread::sleep(self.balancer_notice);
        let finished = self.listener.stop(timeout);
        self.state.stopped.raise();
        self.server.stop();
        self.links.stop();
        tracing::info!(finished, "entry has stopped");
        finished
    }
}

impl<Phase> Entry<Phase> {
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    #[must_use]
    pub fn link_address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the number of servers with an open link.
    #[must_use]
    pub fn open_links(&self) -> usize {
        let targets = self.links.targets();
        targets.iter().filter(|(_, open)| *open).count()
    }
}

/// Interval at which the router updates the speed estimates of the servers.
const TICK_INTERVAL: Duration = Duration::from_secs(1);

fn start_tick(state: Arc<EntryState>) -> std::io::Result<()> {
    let tick = move || {
        while !state.stopped.is_raised() {
            state.servers.on_tick();
            std::thread::sleep(TICK_INTERVAL);
        }
    };
    std::thread::Builder::new()
        .name("entry-tick".to_owned())
        .spawn(tick)
        .map(drop)
}

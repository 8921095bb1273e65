//! Runtime of the entry.

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
use crate::fleet::FleetUser;
use crate::links::LinkPool;
use crate::stop::StopSignal;

use handler::CallerHandler;
use membership::EntryMember;
use operations::EntryOperations;
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
    /// Address of the listener for links of other processes, which ask for the configuration.
    pub link_listen: SocketAddr,
    /// Limits of the callers' listener.
    pub limits: Limits,
    /// Availability zone.
    pub zone: ZoneId,
    /// Time that the balancer takes to notice that the entry is not ready.
    pub balancer_notice: Duration,
}

/// Phase in which an entry accepts callers.
#[derive(Debug)]
pub struct Serving;

/// Phase in which an entry is not ready any more and finishes what is in flight.
#[derive(Debug)]
pub struct Draining;

/// Running entry. Its life cycle is [`Serving`], then [`Draining`], then gone.
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
    /// Fails when the listener cannot be bound or a thread cannot be started.
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

    /// Returns the entry as a user of the membership; it raises `stop` when a newer process has its id.
    #[must_use]
    pub fn member(&self, stop: StopSignal) -> Arc<dyn FleetUser> {
        Arc::new(EntryMember {
            state: Arc::clone(&self.state),
            links: Arc::clone(&self.links),
            stop,
        })
    }

    /// Returns what the entry offers to its operators; a drain raises `stop`.
    #[must_use]
    pub fn operations(&self, gossip: Arc<Gossip>, stop: StopSignal) -> Arc<dyn OperatorApi> {
        Arc::new(EntryOperations {
            state: Arc::clone(&self.state),
            links: Arc::clone(&self.links),
            gossip,
            stop,
        })
    }

    /// Turns readiness off. The entry goes on accepting, since the balancer still sends callers.
    #[must_use]
    pub fn drain(self) -> Entry<Draining> {
        self.state.stopping.raise();
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
    /// Goes on accepting until the balancer has noticed, then finishes every request in flight. Returns whether all had
    /// ended when `timeout` passed.
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
    /// Returns the address of the callers' listener.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the address of the listener for links.
    #[must_use]
    pub fn link_address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the count of servers with an open link.
    #[must_use]
    pub fn open_links(&self) -> usize {
        let targets = self.links.targets();
        targets.iter().filter(|(_, open)| *open).count()
    }
}

/// Interval at which the speed estimates of the servers are updated.
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

//! Sends and receives the load summaries of the entries over UDP.
//!
//! What is told to whom and when is decided by [`Exchange`]; this module moves the messages. A summary also tells the
//! version of its sender's configuration: an entry that hears of a newer one than its own reads it from that peer (see
//! [`copies`](crate::copies)).

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use tanagerford_core::dispatch::{Demand, server_number};
use tanagerford_core::exchange::{
    self, Cadence, Content, EntryNumber, Exchange, Outgoing, Summary, wire,
};
use tanagerford_core::ids::ZoneId;
use tanagerford_http::outbound::SharedExecutor;
use tanagerford_http::within;
use xxhash_rust::xxh3::xxh3_64;

use crate::codec::Codec;
use crate::copies::Copies;
use crate::fleet::BackendServer;
use crate::gateway::Gateway;
use crate::sync::lock;

/// Interval at which the live entries are counted.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a failed read of the socket.
const SOCKET_PAUSE: Duration = Duration::from_millis(20);

/// Another entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Address of its summaries.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Processor share of its VM in thousandths of a core.
    pub capacity: u32,
}

/// What this entry has to tell, and to whom.
#[derive(Debug)]
pub struct Summaries {
    started: Instant,
    exchange: Mutex<Exchange>,
    addresses: Mutex<BTreeMap<EntryNumber, SocketAddr>>,
    /// Holds one message while something is due earlier than the sending task knows.
    wake: (async_channel::Sender<()>, async_channel::Receiver<()>),
}

impl Summaries {
    /// Creates the summaries of the entry on the VM `name` in an availability zone.
    #[must_use]
    pub fn new(name: &str, zone: impl Into<ZoneId>) -> Self {
        let number = xxh3_64(name.as_bytes());
        Self {
            started: Instant::now(),
            exchange: Mutex::new(Exchange::new(
                number,
                rand::random(),
                zone,
                Cadence::default(),
            )),
            addresses: Mutex::default(),
            wake: async_channel::bounded(1),
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Records that the load of this entry has changed.
    pub fn changed(&self) {
        self.update(|exchange, now| exchange.on_change(now));
    }

    /// Records that a call was sent to a server.
    pub fn sent(&self, server: &BackendServer, demand: &Demand) {
        let number = server_number(&server.id);
        self.update(|exchange, now| exchange.on_sent(now, number, &demand.parts));
    }

    /// Changes the exchange and wakes the sending task if something is due earlier than before.
    fn update(&self, act: impl FnOnce(&mut Exchange, Duration)) {
        let mut exchange = lock(&self.exchange);
        let before = exchange.next_due();
        act(&mut exchange, self.now());
        if exchange.next_due() < before {
            // A full channel already holds a wake-up that was not taken yet.
            let _ = self.wake.0.try_send(());
        }
    }

    /// Sets where another entry is reached; `None` when it has left.
    pub fn set_peer(&self, name: &str, peer: Option<Peer>) {
        let number = xxh3_64(name.as_bytes());
        let mut addresses = lock(&self.addresses);
        match &peer {
            Some(peer) => drop(addresses.insert(number, peer.address)),
            None => drop(addresses.remove(&number)),
        }
        let peer = peer.map(|peer| exchange::Peer {
            zone: peer.zone,
            capacity: peer.capacity,
        });
        lock(&self.exchange).set_peer(number, peer);
    }

    fn address(&self, entry: EntryNumber) -> Option<SocketAddr> {
        lock(&self.addresses).get(&entry).copied()
    }
}

/// Moves summaries between the entries.
pub struct PeerExchange<C> {
    gateway: Arc<Gateway<C>>,
    socket: Async<UdpSocket>,
    address: SocketAddr,
    copies: Arc<Copies<C>>,
    executor: SharedExecutor,
}

impl<C: Codec> PeerExchange<C> {
    /// Binds the socket for summaries to the address at which copies of the configuration are given.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn bind(
        gateway: Arc<Gateway<C>>,
        copies: Arc<Copies<C>>,
        executor: SharedExecutor,
    ) -> io::Result<Arc<Self>> {
        let address = copies.address();
        Ok(Arc::new(Self {
            gateway,
            socket: Async::<UdpSocket>::bind(address)?,
            address,
            copies,
            executor,
        }))
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts sending and receiving in tasks of the executor.
    pub fn start(self: &Arc<Self>) {
        self.executor.spawn(Arc::clone(self).send_all()).detach();
        self.executor.spawn(Arc::clone(self).receive_all()).detach();
        self.executor.spawn(Arc::clone(self).count_all()).detach();
    }

    async fn send_all(self: Arc<Self>) {
        let summaries = Arc::clone(self.gateway.summaries());
        loop {
            let due = lock(&summaries.exchange).next_due();
            let left = due.saturating_sub(summaries.now());
            if !left.is_zero() && within(left, summaries.wake.1.recv()).await.is_some() {
                continue;
            }
            let outgoing = lock(&summaries.exchange).due(summaries.now(), &mut || self.content());
            for message in outgoing {
                self.send(&summaries, message).await;
            }
        }
    }

    async fn send(&self, summaries: &Summaries, outgoing: Outgoing) {
        let datagrams = wire::encode(&outgoing.message);
        for receiver in outgoing.receivers {
            let Some(address) = summaries.address(receiver) else {
                continue;
            };
            for datagram in &datagrams {
                if let Err(error) = self.socket.send_to(datagram, address).await {
                    tracing::debug!(%address, %error, "summary was not sent");
                }
            }
        }
    }

    fn content(&self) -> Content {
        let mut loads = Vec::new();
        for (_, pool) in self.gateway.fleet().pools() {
            let beliefs = pool.beliefs();
            let busy = beliefs.own_loads().filter(|(_, load)| load.flights > 0);
            loads.extend(busy.map(|(id, load)| (server_number(id), load)));
        }
        let now = self.gateway.fleet().now();
        Content {
            version: self.gateway.version().unwrap_or(0),
            revision: self.gateway.revision(),
            loads,
            suspects: self.gateway.quarantine.summary(now),
        }
    }

    async fn receive_all(self: Arc<Self>) {
        let mut buffer = vec![0; wire::MAX_DATAGRAM_BYTES * 2];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, sender)) => match wire::decode(&buffer[..length]) {
                    Ok(message) => self.take(message),
                    Err(error) => tracing::debug!(%sender, %error, "datagram is no message"),
                },
                Err(error) => {
                    tracing::debug!(%error, "cannot receive a message");
                    Timer::after(SOCKET_PAUSE).await;
                }
            }
        }
    }

    fn take(&self, message: exchange::Message) {
        let summaries = self.gateway.summaries();
        let mut fresh = Vec::new();
        summaries.update(|exchange, now| fresh = exchange.receive(now, message));
        for summary in fresh {
            if summary.version > self.gateway.version().unwrap_or(0)
                && let Some(address) = summaries.address(summary.entry)
            {
                self.copies.offer(address, summary.version);
            }
            self.gateway.on_peer_revision(summary.revision);
            self.apply(&summary);
        }
    }

    fn apply(&self, summary: &Summary) {
        let now = self.gateway.fleet().now();
        self.gateway.quarantine.merge(now, &summary.suspects);
        for (_, pool) in self.gateway.fleet().pools() {
            let mut beliefs = pool.beliefs();
            beliefs.set_peer_loads(now, summary.boot, summary.loads.iter().copied());
            for (server, part) in &summary.parts {
                beliefs.on_peer_part(now, *server, *part);
            }
        }
    }

    /// Keeps the count of the live entries up to date and logs those that appear and fall silent.
    async fn count_all(self: Arc<Self>) {
        let summaries = Arc::clone(self.gateway.summaries());
        let mut known: HashMap<EntryNumber, ()> = HashMap::new();
        loop {
            Timer::after(COUNT_INTERVAL).await;
            let live = lock(&summaries.exchange).live_entries(summaries.now());
            for entry in &live {
                if known.insert(*entry, ()).is_none() {
                    tracing::info!(peer = entry, "heard of another entry");
                }
            }
            known.retain(|entry, ()| {
                let is_live = live.contains(entry);
                if !is_live {
                    tracing::info!(peer = entry, "another entry fell silent");
                }
                is_live
            });
            self.gateway.set_entries(live.len() + 1);
        }
    }
}

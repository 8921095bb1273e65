//! Sends and receives the load summaries of the entries over UDP.
//!
//! What is told to whom and when is decided by [`Exchange`]; this module moves the messages. A summary also tells the
//! version of its sender's configuration: an entry that hears of a newer one than its own reads it from that peer (see
//! [`copies`](crate::copies)).

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use socket2::Socket;
use tanagerford_core::dispatch::{Demand, server_number};
use tanagerford_core::exchange::{
    self, EntryNumber, Exchange, OutgoingMessage, Summary, SummaryContent, SummaryIntervals, wire,
};
use tanagerford_core::ids::ZoneId;
use tanagerford_core::store_position::StorePosition;
use tanagerford_sync::lock;
use tokio::runtime::Handle;
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

use crate::codec::Codec;
use crate::copies::Copies;
use crate::fleet::{BackendServer, Fleet};
use crate::gateway::Gateway;
use crate::quarantine::Quarantine;
use crate::table::Version;

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

/// What this entry tells the others, and to whom.
pub struct Summaries {
    started: Instant,
    exchange: Mutex<Exchange>,
    addresses: Mutex<BTreeMap<EntryNumber, SocketAddr>>,
    /// Socket of the messages, once it is bound.
    socket: OnceLock<Socket>,
    fleet: Arc<Fleet>,
    quarantine: Arc<Quarantine>,
    /// Version of the configuration in force; 0 for none.
    version: AtomicU64,
    /// Moment up to which this entry knows all changes of the store.
    store: Mutex<StorePosition>,
    /// Newest such moment that another entry told.
    peer_store: Mutex<StorePosition>,
    /// Holds one message while something is due earlier than the sending task knows.
    wake: (async_channel::Sender<()>, async_channel::Receiver<()>),
}

impl Summaries {
    /// Creates the summaries of the entry on the VM `name`.
    #[must_use]
    pub(crate) fn new(name: &str, fleet: Arc<Fleet>, quarantine: Arc<Quarantine>) -> Self {
        let number = xxh3_64(name.as_bytes());
        let cadence = SummaryIntervals::default();
        let exchange = Exchange::new(number, rand::random(), fleet.zone(), cadence);
        Self {
            started: Instant::now(),
            exchange: Mutex::new(exchange),
            addresses: Mutex::default(),
            socket: OnceLock::new(),
            fleet,
            quarantine,
            version: AtomicU64::new(0),
            store: Mutex::default(),
            peer_store: Mutex::default(),
            wake: async_channel::bounded(1),
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Tells that the load of this entry has changed.
    pub(crate) fn changed(&self) {
        self.update(Exchange::on_change);
    }

    /// Tells that a call was sent to a server.
    pub(crate) fn sent(&self, server: &BackendServer, demand: &Demand) {
        let number = server_number(&server.id);
        self.update(|exchange, now| exchange.on_sent(now, number, &demand.parts));
    }

    /// Sets the version of the configuration in force.
    pub(crate) fn set_version(&self, version: Version) {
        self.version.store(version, Ordering::Release);
        self.changed();
    }

    /// Sets the moment up to which this entry knows all changes of the store.
    pub fn set_store_position(&self, position: StorePosition) {
        let before = std::mem::replace(&mut *lock(&self.store), position);
        if before != position {
            self.changed();
        }
    }

    /// Returns the moment up to which this entry knows all changes of the store.
    #[must_use]
    pub fn store_position(&self) -> StorePosition {
        *lock(&self.store)
    }

    /// Returns the newest moment of the store that another entry told.
    #[must_use]
    pub fn peer_store_position(&self) -> StorePosition {
        *lock(&self.peer_store)
    }

    /// Changes the exchange and sends what is due. What is due a little later is left to the sending task.
    fn update(&self, act: impl FnOnce(&mut Exchange, Duration)) {
        let now = self.now();
        let mut exchange = lock(&self.exchange);
        let before = exchange.next_due();
        act(&mut exchange, now);
        let due = exchange.next_due();
        drop(exchange);
        if due <= now {
            self.send_due();
        } else if due < before {
            // A full channel already holds a wake-up that was not taken yet.
            let _ = self.wake.0.try_send(());
        }
    }

    /// Sends what is due.
    fn send_due(&self) {
        let now = self.now();
        let outgoing = lock(&self.exchange).take_due(now, || self.content());
        let Some(socket) = self.socket.get() else {
            return;
        };
        for OutgoingMessage { receivers, message } in outgoing {
            let datagrams = wire::encode(&message);
            for address in receivers.iter().filter_map(|entry| self.address(*entry)) {
                for datagram in &datagrams {
                    // A full buffer costs a summary, never a request's time.
                    let sent =
                        socket.send_to_with_flags(datagram, &address.into(), libc::MSG_DONTWAIT);
                    if let Err(error) = sent {
                        tracing::debug!(%address, %error, "summary was not sent");
                    }
                }
            }
        }
    }

    fn content(&self) -> SummaryContent {
        let mut loads = Vec::new();
        for (_, pool) in self.fleet.pools() {
            loads.extend(pool.beliefs().busy_loads());
        }
        SummaryContent {
            version: self.version.load(Ordering::Acquire),
            store: *lock(&self.store),
            loads,
            suspects: self.quarantine.summary(self.fleet.now()),
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
    copies: Arc<Copies<C>>,
}

impl<C: Codec> PeerExchange<C> {
    /// Binds the socket for summaries to the address at which copies of the configuration are given, and starts to send
    /// and receive.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound or the receiving thread cannot be started.
    pub fn start(
        gateway: Arc<Gateway<C>>,
        copies: Arc<Copies<C>>,
        runtime: &Handle,
    ) -> io::Result<()> {
        let socket = Socket::from(UdpSocket::bind(copies.address())?);
        let receiving = UdpSocket::from(socket.try_clone()?);
        if gateway.summaries().socket.set(socket).is_err() {
            let reason = "summaries are already sent from another socket";
            return Err(io::Error::new(io::ErrorKind::AlreadyExists, reason));
        }
        let exchange = Arc::new(Self { gateway, copies });
        runtime.spawn(Arc::clone(&exchange).send_all());
        runtime.spawn(Arc::clone(&exchange).count_all());
        // A blocking thread needs one system call for each message, where a task needs four.
        let thread = thread::Builder::new().name("summaries".to_owned());
        thread.spawn(move || exchange.receive_all(&receiving))?;
        Ok(())
    }

    /// Sends what was not due when it changed.
    async fn send_all(self: Arc<Self>) {
        let summaries = Arc::clone(self.gateway.summaries());
        loop {
            let due = lock(&summaries.exchange).next_due();
            let left = due.saturating_sub(summaries.now());
            if left.is_zero() {
                summaries.send_due();
            } else {
                // Woken or not, what is due is looked at again.
                let _ = timeout(left, summaries.wake.1.recv()).await;
            }
        }
    }

    fn receive_all(&self, socket: &UdpSocket) {
        let mut buffer = vec![0; wire::MAX_DATAGRAM_BYTES * 2];
        loop {
            match socket.recv_from(&mut buffer) {
                Ok((length, sender)) => match wire::decode(&buffer[..length]) {
                    Ok(message) => self.take(message),
                    Err(error) => tracing::debug!(%sender, %error, "datagram is no message"),
                },
                Err(error) => {
                    tracing::debug!(%error, "cannot receive a message");
                    thread::sleep(SOCKET_PAUSE);
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
            let mut peer_store = lock(&summaries.peer_store);
            *peer_store = summary.store.max(*peer_store);
            drop(peer_store);
            self.apply(&summary);
        }
    }

    fn apply(&self, summary: &Summary) {
        let now = self.gateway.fleet().now();
        self.gateway.quarantine.merge(now, &summary.suspects);
        for (_, pool) in self.gateway.fleet().pools() {
            summary.apply_to(now, &mut pool.beliefs());
        }
    }

    /// Keeps the count of the live entries up to date and logs those that appear and fall silent.
    async fn count_all(self: Arc<Self>) {
        let summaries = Arc::clone(self.gateway.summaries());
        let mut known = BTreeSet::new();
        loop {
            sleep(COUNT_INTERVAL).await;
            let live: BTreeSet<_> = lock(&summaries.exchange)
                .live_entries(summaries.now())
                .into_iter()
                .collect();
            for peer in live.difference(&known) {
                tracing::info!(peer, "heard of another entry");
            }
            for peer in known.difference(&live) {
                tracing::info!(peer, "another entry fell silent");
            }
            self.gateway.set_entries(live.len() + 1);
            known = live;
        }
    }
}

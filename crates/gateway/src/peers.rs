//! Sends and receives the load summaries of the entries over UDP.
//!
//! [`Exchange`] decides which summaries are sent to which entries at what time; this module sends and receives the
//! messages. A summary also contains the version of its sender's configuration. An entry that receives a newer version
//! than its own reads the configuration from that peer (see [`copies`](crate::copies)).

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use socket2::Socket;
use tanagerford_core::dispatch::{Demand, EntryShare, server_number};
use tanagerford_core::duty;
use tanagerford_core::exchange::{
    self, EntryNumber, Exchange, OutgoingMessage, StoreRole, Summary, SummaryContent,
    SummaryIntervals, wire,
};
use tanagerford_core::ids::ZoneId;
use tanagerford_core::server_limit;
use tanagerford_core::store_position::StorePosition;
use tanagerford_core::store_view::{PeerReport, StoreView};
use tanagerford_core::stream_version::{self, VersionId};
use tanagerford_sync::{lock, spawn_restarting};
use tokio::runtime::Handle;
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

use crate::call::Call;
use crate::codec::Codec;
use crate::copies::ConfigurationCopies;
use crate::fleet::{BackendServer, Fleet};
use crate::gateway::Gateway;
use crate::limits::RequestLimits;
use crate::processor::ProcessorMonitor;
use crate::quarantine::Quarantine;
use crate::table::Version;
use crate::versions::{KeeperMessage, StreamVersions};

/// Interval at which the live entries are counted.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which an entry may know fewer changes of the store than another one before it counts as behind. It allows for
/// the delay between two watches and for the check that replaces a silent watch.
const MAX_LAG: Duration = Duration::from_millis(1_500);
/// Delay before the next read of the socket after a failed one.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Another entry, as it is registered in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Address for load summaries (UDP) and for copies of the configuration (TCP).
    pub address: SocketAddr,
    /// Availability zone of the entry; it determines the interval of summaries.
    pub zone: ZoneId,
    /// Processor share of the entry's VM in thousandths of a core.
    pub cpu_millicores: u32,
}

/// Load summaries that this entry exchanges with the others.
pub struct Summaries {
    started: Instant,
    exchange: Mutex<Exchange>,
    addresses: Mutex<BTreeMap<EntryNumber, SocketAddr>>,
    /// Set once the socket is bound; nothing is sent before.
    socket: OnceLock<Socket>,
    fleet: Arc<Fleet>,
    processor: Arc<ProcessorMonitor>,
    quarantine: Arc<Quarantine>,
    limits: Arc<RequestLimits>,
    stream_versions: StreamVersions,
    /// Version of the configuration in force; 0 for none.
    version: AtomicU64,
    /// How far this entry's copy of the store is known to be complete.
    store_view: Mutex<StoreView>,
    /// Processor share of this entry's VM in thousandths of a core.
    own_millicores: u32,
    /// Largest number of entries, including this one, that the key-value service has named as registered.
    registered_count: AtomicUsize,
    /// Whether this process is the first one of its VM; unset before it is registered.
    is_first_process: OnceLock<bool>,
    /// Wakes the sending task; holds a message while a summary is due earlier than the task expects.
    wake_up: (async_channel::Sender<()>, async_channel::Receiver<()>),
}

impl Summaries {
    /// Creates the summaries of the entry on the VM `name`, from which the entry's number is derived. `own_millicores` is the
    /// VM's processor share in thousandths of a core.
    pub(crate) fn new(
        name: &str,
        own_millicores: u32,
        fleet: Arc<Fleet>,
        processor: Arc<ProcessorMonitor>,
        quarantine: Arc<Quarantine>,
    ) -> Self {
        let number = xxh3_64(name.as_bytes());
        let intervals = SummaryIntervals::default();
        let exchange = Exchange::new(number, rand::random(), fleet.zone(), intervals);
        let wake_up = async_channel::bounded(1);
        let limits = Arc::new(RequestLimits::new(number, wake_up.0.clone()));
        Self {
            started: Instant::now(),
            exchange: Mutex::new(exchange),
            addresses: Mutex::default(),
            socket: OnceLock::new(),
            fleet,
            processor,
            quarantine,
            limits,
            stream_versions: StreamVersions::new(number),
            version: AtomicU64::new(0),
            store_view: Mutex::default(),
            own_millicores,
            registered_count: AtomicUsize::new(1),
            is_first_process: OnceLock::new(),
            wake_up,
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns the limits of servers that this entry knows and exchanges with the others.
    pub(crate) fn limits(&self) -> &Arc<RequestLimits> {
        &self.limits
    }

    /// Schedules a summary because the load of this entry has changed.
    pub(crate) fn on_load_change(&self) {
        self.update(Exchange::on_change);
    }

    /// Schedules a summary because a call was sent to a server.
    pub(crate) fn on_call_sent(&self, server: &BackendServer, demand: &Demand) {
        let number = server_number(&server.id);
        self.update(|exchange, now| exchange.on_sent(now, number, &demand.parts));
    }

    /// Sets the version of the configuration in force and schedules a summary with it.
    pub(crate) fn set_version(&self, version: Version) {
        self.version.store(version, Ordering::Release);
        self.on_load_change();
    }

    /// Sets the position up to which this entry has read the changes of the store.
    pub fn set_store_position(&self, position: StorePosition) {
        if lock(&self.store_view).set_position(position) {
            self.on_load_change();
        }
    }

    /// Returns the number of this entry.
    #[must_use]
    pub fn entry(&self) -> EntryNumber {
        self.stream_versions.entry()
    }

    /// Returns the other entries that were heard of a short time ago.
    #[must_use]
    pub fn live_entries(&self) -> BTreeSet<EntryNumber> {
        let live = lock(&self.exchange).live_entries(self.now());
        live.into_iter().collect()
    }

    /// Returns how this entry learns of changes of the key-value service.
    pub(crate) fn store_role(&self) -> StoreRole {
        lock(&self.exchange).store_role(self.now(), self.own_millicores)
    }

    /// Returns the number of entries that read the key-value service themselves.
    #[must_use]
    pub fn store_readers(&self) -> usize {
        lock(&self.exchange).store_readers(self.now())
    }

    /// Returns the address at which another entry serves its peers.
    pub(crate) fn peer_address(&self, entry: EntryNumber) -> Option<SocketAddr> {
        self.address(entry)
    }

    /// Returns the position up to which this entry has read the changes of the store.
    pub(crate) fn store_position(&self) -> StorePosition {
        lock(&self.store_view).position()
    }

    /// Records that all changes of the store up to `age` ago are known here, and tells the other entries.
    pub fn confirm_store_position(&self, age: Duration) {
        let until = self.now().checked_sub(age);
        if until.is_some_and(|until| lock(&self.store_view).confirm(until)) {
            self.on_load_change();
        }
    }

    /// Returns the time for which changes of the store can be unknown here; `None` before the first read.
    #[must_use]
    pub fn store_age(&self) -> Option<Duration> {
        lock(&self.store_view).age(self.now())
    }

    /// Returns the newest position of the store that another entry reported, if it is not known here yet.
    #[must_use]
    pub fn newest_store_position_ahead(&self) -> Option<StorePosition> {
        lock(&self.store_view).newest_ahead()
    }

    /// Changes the exchange and sends the messages that are due. The sending task sends those that become due later.
    fn update(&self, apply: impl FnOnce(&mut Exchange, Duration)) {
        let now = self.now();
        let mut exchange = lock(&self.exchange);
        let before = exchange.next_due();
        exchange.set_busy(self.processor.is_busy());
        apply(&mut exchange, now);
        let due = exchange.next_due();
        drop(exchange);
        if due <= now {
            self.send_due();
        } else if due < before {
            // If the channel is full, a wake-up is already pending.
            let _ = self.wake_up.0.try_send(());
        }
    }

    fn send_due(&self) {
        let now = self.now();
        let outgoing = lock(&self.exchange).take_due(now, || self.summary_content());
        for OutgoingMessage { receivers, message } in outgoing {
            let datagrams = wire::encode(&message);
            for receiver in receivers {
                for datagram in &datagrams {
                    self.send(receiver, datagram);
                }
            }
        }
    }

    /// Sends the messages about permits that are due.
    fn send_permits(&self) {
        for (receiver, datagram) in self.limits.take_outgoing(self.fleet.now()) {
            self.send(receiver, &datagram);
        }
    }

    /// Returns this entry and the other live ones, those with the largest processor shares first.
    pub(crate) fn entries_by_capacity(&self) -> Vec<EntryNumber> {
        lock(&self.exchange).entries_by_capacity(self.now(), self.own_millicores)
    }

    /// Returns whether this entry is registered, so that others can reach it.
    pub(crate) fn is_registered(&self) -> bool {
        self.is_first_process.get().is_some()
    }

    pub(crate) fn send(&self, receiver: EntryNumber, datagram: &[u8]) {
        let (Some(socket), Some(address)) = (self.socket.get(), self.address(receiver)) else {
            return;
        };
        // With a full socket buffer the datagram is dropped, so that no request waits for it.
        let result = socket.send_to_with_flags(datagram, &address.into(), libc::MSG_DONTWAIT);
        if let Err(error) = result {
            tracing::debug!(%address, %error, "cannot send a datagram");
        }
    }

    /// Tells the keepers of a stream the version at which it begins.
    pub(crate) fn record_version(&self, call: &Call, version: VersionId) {
        let now = self.fleet.now();
        self.send_to_keepers(&self.stream_versions.record(now, call, version));
    }

    /// Returns the encoded versions of the streams that this entry began, if others began since the last call.
    #[must_use]
    pub fn take_begun_streams(&self) -> Option<Vec<u8>> {
        let changed = self.stream_versions.begun().take_changed(self.fleet.now());
        changed.map(stream_version::wire::encode_streams)
    }

    /// Has the streams that this entry began returned again, since they were not stored.
    pub fn keep_begun_streams(&self) {
        self.stream_versions.begun().set_changed();
    }

    /// Takes over the encoded versions of the streams that an entry began before this process started. `is_own` tells
    /// whether it ran on this VM. Returns whether they could be decoded.
    pub fn load_streams(&self, encoded: &[u8], is_own: bool) -> bool {
        let streams = stream_version::wire::decode_streams(encoded);
        let is_valid = streams.is_some();
        let now = self.fleet.now();
        self.stream_versions
            .load(now, streams.unwrap_or_default(), is_own);
        is_valid
    }

    /// Returns the version at which the stream of `first_attempt` began, or `None` if no keeper knows it.
    pub(crate) async fn lookup_version(
        &self,
        workspace: &str,
        first_attempt: &str,
    ) -> Option<VersionId> {
        let send = |message| self.send_to_keepers(&message);
        let versions = &self.stream_versions;
        versions.lookup(workspace, first_attempt, send).await
    }

    fn send_to_keepers(&self, message: &KeeperMessage) {
        let datagram = stream_version::wire::encode(message.message);
        for receiver in &message.receivers {
            self.send(*receiver, &datagram);
        }
    }

    /// Updates the entries that can be responsible for the permits of a server.
    fn update_limit_entries(&self) {
        let mut exchange = lock(&self.exchange);
        let live = exchange.live_entries(self.now()).into_iter().collect();
        let registered = exchange.registered_entries();
        drop(exchange);
        self.limits.set_entries(&registered, &live);
        lock(&self.store_view).retain(self.now(), &registered);
        self.stream_versions.set_entries(registered);
    }

    fn summary_content(&self) -> SummaryContent {
        let mut loads = Vec::new();
        for (_, pool) in self.fleet.pools() {
            loads.extend(pool.load_view().busy_loads());
        }
        // Read together: a position that another thread replaces in between would be confirmed by a later read.
        let (store, store_age) = {
            let view = lock(&self.store_view);
            (view.position(), view.confirmed_age(self.now()))
        };
        SummaryContent {
            version: self.version.load(Ordering::Acquire),
            store,
            store_age,
            loads,
            suspects: self.quarantine.summary(self.fleet.now()),
            suspect_parts: self.quarantine.part_summary(self.fleet.now()),
            limits: self.limits.summary(self.fleet.now()),
        }
    }

    /// Sets the address and properties of the entries on the named VMs, and removes those with `None`.
    pub fn set_peers(&self, peers: impl IntoIterator<Item = (String, Option<Peer>)>) {
        let mut has_changed = false;
        for (name, peer) in peers {
            self.set_peer(&name, peer);
            has_changed = true;
        }
        // The sets of entries are built once for all records, since each costs time in proportion to the entries.
        if has_changed {
            self.update_limit_entries();
        }
        if has_changed {
            let registered = lock(&self.exchange).registered_entries().len() + 1;
            self.registered_count
                .fetch_max(registered, Ordering::Relaxed);
        }
    }

    /// Returns the position of the store that all other registered entries are known to have reached.
    #[must_use]
    pub fn known_by_others(&self) -> StorePosition {
        let registered = lock(&self.exchange).registered_entries();
        lock(&self.store_view).known_by(&registered)
    }

    /// Records the position of the store as of which this entry is registered.
    pub fn set_registered_at(&self, position: StorePosition) {
        lock(&self.store_view).set_registered(position);
    }

    /// Returns whether this entry may judge from the registry alone at which version streams began: it learns of a version
    /// before streams begin there, or its view is outdated.
    pub(crate) fn is_in_step(&self) -> bool {
        let view = lock(&self.store_view);
        let now = self.now();
        // Without the key-value service there is one fixed set of servers.
        let is_without_store = view.age(now).is_none();
        is_without_store || (view.has_read_own_registration() && view.lag(now) <= MAX_LAG)
    }

    /// Records that this entry is registered, and whether no process of its VM was registered before.
    pub fn set_registered(&self, is_first_process: bool) {
        self.is_first_process.get_or_init(|| is_first_process);
    }

    /// Returns what this entry knows of the entries that share the retry budget: the largest number that were registered since
    /// the start, whether they are heard or not.
    pub(crate) fn entry_share(&self) -> EntryShare {
        let Some(is_first_process) = self.is_first_process.get() else {
            return EntryShare::default();
        };
        EntryShare {
            registered: self.registered_count.load(Ordering::Relaxed),
            is_first_process: *is_first_process,
        }
    }

    fn set_peer(&self, name: &str, peer: Option<Peer>) {
        let number = xxh3_64(name.as_bytes());
        let mut addresses = lock(&self.addresses);
        match &peer {
            Some(peer) => drop(addresses.insert(number, peer.address)),
            None => drop(addresses.remove(&number)),
        }
        drop(addresses);
        let peer = peer.map(|peer| exchange::Peer {
            zone: peer.zone,
            capacity: peer.cpu_millicores,
        });
        lock(&self.exchange).set_peer(number, peer);
    }

    fn address(&self, entry: EntryNumber) -> Option<SocketAddr> {
        lock(&self.addresses).get(&entry).copied()
    }
}

/// Tasks that send and receive the summaries.
pub struct PeerExchange<C> {
    gateway: Arc<Gateway<C>>,
    copies: Arc<ConfigurationCopies<C>>,
}

impl<C: Codec> PeerExchange<C> {
    /// Binds the socket for summaries to the address at which copies of the configuration are served, and starts to
    /// send and receive.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound, when an exchange was already started for this gateway, or
    /// when the receiving thread cannot be started.
    pub fn start(
        gateway: Arc<Gateway<C>>,
        copies: Arc<ConfigurationCopies<C>>,
        runtime: &Handle,
    ) -> io::Result<()> {
        let socket = Socket::from(UdpSocket::bind(copies.address())?);
        let receiving_socket = UdpSocket::from(socket.try_clone()?);
        if gateway.summaries().socket.set(socket).is_err() {
            let reason = "the exchange of summaries was already started";
            return Err(io::Error::new(io::ErrorKind::AlreadyExists, reason));
        }
        let exchange = Arc::new(Self { gateway, copies });
        runtime.spawn(Arc::clone(&exchange).send_loop());
        runtime.spawn(Arc::clone(&exchange).count_live_entries());
        // A blocking thread needs one system call per message; an asynchronous task needs four.
        spawn_restarting("summaries", move || {
            exchange.receive_loop(&receiving_socket);
        })
    }

    /// Sends the messages that were not due yet when the exchange was updated.
    async fn send_loop(self: Arc<Self>) {
        let summaries = Arc::clone(self.gateway.summaries());
        loop {
            let due = lock(&summaries.exchange).next_due();
            let delay = due.saturating_sub(summaries.now());
            let permits = summaries.limits.time_to_due(summaries.fleet.now());
            let delay = permits.map_or(delay, |permits| permits.min(delay));
            if delay.is_zero() {
                summaries.send_due();
                summaries.send_permits();
            } else {
                // After a wake-up and after a timeout alike, the loop reads the due time again.
                let _ = timeout(delay, summaries.wake_up.1.recv()).await;
                summaries.send_permits();
            }
        }
    }

    fn receive_loop(&self, socket: &UdpSocket) {
        let mut buffer = vec![0; wire::MAX_DATAGRAM_BYTES * 2];
        loop {
            match socket.recv_from(&mut buffer) {
                Ok((length, sender)) => self.on_datagram(&buffer[..length], sender),
                Err(error) => {
                    tracing::debug!(%error, "cannot receive a message");
                    thread::sleep(RECEIVE_RETRY_DELAY);
                }
            }
        }
    }

    fn on_datagram(&self, datagram: &[u8], sender: SocketAddr) {
        if duty::wire::is_duty_message(datagram) {
            return self.gateway.on_duty_datagram(datagram);
        }
        if stream_version::wire::is_version_message(datagram) {
            return self.on_version_message(datagram, sender);
        }
        if !server_limit::wire::is_permit_message(datagram) {
            match wire::decode(datagram) {
                Ok(message) => self.on_message(message),
                Err(error) => tracing::debug!(%sender, %error, "cannot decode a datagram"),
            }
            return;
        }
        let fleet = self.gateway.fleet();
        let summaries = self.gateway.summaries();
        let Some(message) = server_limit::wire::decode(fleet.now(), datagram) else {
            tracing::debug!(%sender, "cannot decode a message about permits");
            return;
        };
        summaries.limits.receive(fleet.now(), &message, fleet);
        summaries.send_permits();
        // The next grant may be due earlier than the sending task expects.
        let _ = summaries.wake_up.0.try_send(());
    }

    fn on_version_message(&self, datagram: &[u8], sender: SocketAddr) {
        let Some(message) = stream_version::wire::decode(datagram) else {
            tracing::debug!(%sender, "cannot decode a message about the version of a stream");
            return;
        };
        let summaries = self.gateway.summaries();
        let now = self.gateway.fleet().now();
        if let Some(answer) = summaries.stream_versions.receive(now, message) {
            summaries.send(message.sender, &stream_version::wire::encode(answer));
        }
    }

    fn on_message(&self, message: exchange::Message) {
        let summaries = self.gateway.summaries();
        let mut new_summaries = Vec::new();
        summaries.update(|exchange, now| new_summaries = exchange.receive(now, message));
        for summary in new_summaries {
            if summary.version > self.gateway.version().unwrap_or(0)
                && let Some(address) = summaries.address(summary.entry)
            {
                self.copies.copy_unless_stored(address, summary.version);
            }
            let report = PeerReport {
                entry: summary.entry,
                boot: summary.boot,
                sent_at: summary.sent_at,
                position: summary.store,
                confirmed_age: summary.store_age,
            };
            lock(&summaries.store_view).on_report(summaries.now(), &report);
            self.apply_summary(&summary);
        }
    }

    fn apply_summary(&self, summary: &Summary) {
        let now = self.gateway.fleet().now();
        self.gateway.quarantine.merge(now, &summary.suspects);
        self.gateway
            .quarantine
            .merge_parts(now, &summary.suspect_parts);
        let limits = &self.gateway.summaries().limits;
        limits.merge(now, &summary.limits, self.gateway.fleet());
        for (_, pool) in self.gateway.fleet().pools() {
            summary.apply_to(now, &mut pool.load_view());
        }
    }

    /// Updates the number of live entries and logs entries that appear or time out.
    async fn count_live_entries(self: Arc<Self>) {
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
            self.gateway.set_entry_count(live.len() + 1);
            summaries.update_limit_entries();
            known = live;
        }
    }
}

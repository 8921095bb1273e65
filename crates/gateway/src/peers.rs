//! Load summaries that the entries send each other.
//!
//! Every entry sees only its own part of the calls. Each tells the others what it puts on every server and which shared
//! prompt parts it sent where. A summary replaces the previous one of its sender, so lost, repeated and reordered
//! datagrams do no harm. Entries of the same availability zone are told almost at once, others in larger intervals:
//! bytes between zones cost money, and most calls stay in their zone.
//!
//! A summary also tells the version of the sender's configuration. An entry that hears of a newer one than its own and
//! does not get it from the store in time reads it from that peer: the store may turn single entries away.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use bytes::{Bytes, BytesMut};
use http::{HeaderValue, Request, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use prost::Message;
use tanagerford_core::dispatch::{Demand, EntryLoad, PromptPart};
use tanagerford_core::ids::ZoneId;
use tanagerford_http::outbound::SharedExecutor;
use tanagerford_http::server::{Server, ServerLimits, Service};
use tanagerford_http::{Body, Reply, within};

use crate::codec::Codec;
use crate::fleet::{BackendServer, ServerNumber, server_number};
use crate::gateway::Gateway;
use crate::sync::lock;
use crate::table::{RoutingTable, Version};

/// Interval of summaries to entries of the same availability zone while the load changes.
const NEAR_INTERVAL: Duration = Duration::from_millis(15);
/// Shortest interval of summaries to entries of other availability zones.
const FAR_INTERVAL: Duration = Duration::from_millis(90);
/// Interval of summaries while nothing changes.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// Silence after which an entry is not counted any more.
const PEER_TIMEOUT: Duration = Duration::from_secs(5);
/// Smallest part of a prompt that is worth telling, in tokens.
const MIN_PART_TOKENS: u32 = 512;
/// Parts that wait for a summary; the oldest are dropped beyond it.
const MAX_WAITING_PARTS: usize = 64;
/// Largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// Time for which an entry waits for the store before it asks a peer for a newer configuration.
const STORE_HEAD_START: Duration = Duration::from_millis(300);
/// Longest time of a peer's answer with a configuration.
const COPY_TIMEOUT: Duration = Duration::from_secs(2);
/// Path of the copy of the configuration.
const CONFIGURATION_PATH: &str = "/configuration";

/// Reads a configuration document; `None` when it cannot be read.
pub type DecodeConfiguration = fn(&[u8]) -> Option<RoutingTable>;

/// What an entry tells the others.
#[derive(Clone, PartialEq, Message)]
struct Summary {
    /// Number of the entry's process.
    #[prost(fixed64, tag = "1")]
    boot: u64,
    /// Number of the summary; a smaller one than the last is out of date.
    #[prost(uint64, tag = "2")]
    sequence: u64,
    /// Version of the configuration in force at the entry; 0 for none.
    #[prost(uint64, tag = "3")]
    version: Version,
    #[prost(message, repeated, tag = "4")]
    loads: Vec<ServerLoad>,
    #[prost(message, repeated, tag = "5")]
    parts: Vec<SentPart>,
    /// Requests that are suspected of crashing servers.
    #[prost(bytes = "vec", tag = "6")]
    suspects: Vec<u8>,
}

#[derive(Clone, Copy, PartialEq, Eq, Message)]
struct ServerLoad {
    #[prost(fixed32, tag = "1")]
    server: ServerNumber,
    #[prost(uint32, tag = "2")]
    flights: u32,
    #[prost(uint32, tag = "3")]
    streams: u32,
    #[prost(uint32, tag = "4")]
    waiting_tokens: u32,
}

#[derive(Clone, Copy, PartialEq, Eq, Message)]
struct SentPart {
    #[prost(fixed32, tag = "1")]
    server: ServerNumber,
    #[prost(fixed64, tag = "2")]
    part: u64,
    #[prost(uint32, tag = "3")]
    tokens: u32,
}

/// Another entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Address of its summaries.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
}

/// What this entry has to tell, and to whom.
#[derive(Debug)]
pub struct Summaries {
    /// Holds one message while the load of this entry has changed since the last summary.
    change: (async_channel::Sender<()>, async_channel::Receiver<()>),
    near_parts: Mutex<Vec<SentPart>>,
    far_parts: Mutex<Vec<SentPart>>,
    peers: Mutex<BTreeMap<String, Peer>>,
}

/// What is remembered of another entry's summaries.
#[derive(Debug)]
struct Heard {
    sequence: u64,
    at: Duration,
    servers: Vec<ServerNumber>,
}

impl Default for Summaries {
    fn default() -> Self {
        Self {
            change: async_channel::bounded(1),
            near_parts: Mutex::default(),
            far_parts: Mutex::default(),
            peers: Mutex::default(),
        }
    }
}

impl Summaries {
    /// Records that the load of this entry has changed.
    pub fn changed(&self) {
        // A full channel already holds a change that was not told yet.
        let _ = self.change.0.try_send(());
    }

    /// Waits for a change; returns false when there was none for `longest`.
    async fn wait_changed(&self, longest: Duration) -> bool {
        within(longest, self.change.1.recv()).await.is_some()
    }

    fn take_change(&self) {
        let _ = self.change.1.try_recv();
    }

    /// Records that a call was sent to a server.
    pub fn sent(&self, server: &BackendServer, demand: &Demand) {
        self.changed();
        // The last part belongs to the request itself; nobody else sends it.
        let shared = demand
            .parts
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        let parts = shared.iter().filter(|part| part.tokens >= MIN_PART_TOKENS);
        for part in parts {
            let sent = SentPart {
                server: server_number(&server.id),
                part: part.id,
                tokens: part.tokens,
            };
            for queue in [&self.near_parts, &self.far_parts] {
                let mut queue = lock(queue);
                if queue.len() >= MAX_WAITING_PARTS {
                    queue.remove(0);
                }
                queue.push(sent);
            }
        }
    }

    /// Sets where another entry is reached; `None` when it has left.
    pub fn set_peer(&self, name: &str, peer: Option<Peer>) {
        let mut peers = lock(&self.peers);
        match peer {
            Some(peer) => drop(peers.insert(name.to_owned(), peer)),
            None => drop(peers.remove(name)),
        }
    }
}

/// Sends and receives summaries.
pub struct PeerExchange<C> {
    gateway: Arc<Gateway<C>>,
    socket: Async<UdpSocket>,
    zone: ZoneId,
    own_address: SocketAddr,
    boot: u64,
    heard: Mutex<HashMap<u64, Heard>>,
    decode: DecodeConfiguration,
    /// Whether a copy of a newer configuration is being read.
    is_copying: AtomicBool,
    executor: SharedExecutor,
}

/// Gives peers the copy of the configuration.
struct CopyService<C>(Arc<Gateway<C>>);

impl<C: Codec> Service for CopyService<C> {
    async fn answer(&self, request: Request<Incoming>, _peer: SocketAddr) -> Reply {
        let document = self.0.document();
        let (status, body) = match document {
            Some(document) if request.uri().path() == CONFIGURATION_PATH => {
                (StatusCode::OK, document)
            }
            _ => (StatusCode::NOT_FOUND, Bytes::new()),
        };
        let mut reply = Reply::new(Body::whole(body));
        *reply.status_mut() = status;
        reply
    }

    fn limits(&self) -> ServerLimits {
        ServerLimits {
            max_header_bytes: 8 * 1024,
            idle_timeout: COPY_TIMEOUT,
        }
    }
}

impl<C: Codec> PeerExchange<C> {
    /// Binds the sockets for summaries (UDP) and copies of the configuration (TCP) to the same port.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn bind(
        gateway: Arc<Gateway<C>>,
        address: SocketAddr,
        zone: impl Into<ZoneId>,
        decode: DecodeConfiguration,
        executor: SharedExecutor,
    ) -> io::Result<Arc<Self>> {
        let copies = Server::bind(address, Arc::clone(&executor))?;
        let address = copies.address()?;
        copies.start(Arc::new(CopyService(Arc::clone(&gateway))));
        Ok(Arc::new(Self {
            gateway,
            socket: Async::<UdpSocket>::bind(address)?,
            zone: zone.into(),
            own_address: address,
            boot: rand::random(),
            heard: Mutex::default(),
            decode,
            is_copying: AtomicBool::new(false),
            executor,
        }))
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.own_address
    }

    /// Starts sending and receiving in tasks of the executor.
    pub fn start(self: &Arc<Self>) {
        self.executor.spawn(Arc::clone(self).send_all()).detach();
        self.executor.spawn(Arc::clone(self).receive_all()).detach();
    }

    /// Reads the configuration from a peer unless the store delivers it first.
    async fn copy_newer(self: Arc<Self>, peer: SocketAddr, version: Version) {
        Timer::after(STORE_HEAD_START).await;
        if self.gateway.version().unwrap_or(0) < version {
            let copied = within(COPY_TIMEOUT, self.copy(peer)).await;
            match copied.unwrap_or_else(|| Err("timeout".to_owned())) {
                Ok(()) => tracing::info!(%peer, version, "configuration copied from a peer"),
                Err(error) => tracing::warn!(%peer, version, error, "configuration was not copied"),
            }
        }
        self.is_copying.store(false, Ordering::Release);
    }

    async fn copy(&self, peer: SocketAddr) -> Result<(), String> {
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = http::Uri::from_static(CONFIGURATION_PATH);
        let host = HeaderValue::from_str(&peer.to_string()).map_err(|error| error.to_string())?;
        request.headers_mut().insert(http::header::HOST, host);
        let outbound = &self.gateway.outbound;
        let sent = outbound.send(peer, request, COPY_TIMEOUT, false).await;
        let mut answer = sent.map_err(|error| format!("{error:?}"))?;
        let mut document = BytesMut::new();
        while let Some(part) = answer.next().await.map_err(|error| error.to_string())? {
            document.extend_from_slice(&part);
        }
        let table = (self.decode)(&document).ok_or("the document cannot be read")?;
        self.gateway.set_configuration(table, document.freeze());
        Ok(())
    }

    /// Sends a summary after each change, and at least once in each heartbeat interval.
    async fn send_all(self: Arc<Self>) {
        let mut sequence = 0;
        let mut last_far = Instant::now();
        let mut last_count = Instant::now();
        loop {
            let is_heartbeat = !self.gateway.summaries().wait_changed(HEARTBEAT).await;
            // Changes of the next moments go into the same summary.
            Timer::after(NEAR_INTERVAL).await;
            self.gateway.summaries().take_change();
            sequence += 1;
            let parts = std::mem::take(&mut *lock(&self.gateway.summaries().near_parts));
            self.send(sequence, parts, true).await;
            if is_heartbeat || last_far.elapsed() >= FAR_INTERVAL {
                last_far = Instant::now();
                sequence += 1;
                let parts = std::mem::take(&mut *lock(&self.gateway.summaries().far_parts));
                self.send(sequence, parts, false).await;
            }
            if last_count.elapsed() >= HEARTBEAT {
                last_count = Instant::now();
                self.count_entries();
            }
        }
    }

    async fn send(&self, sequence: u64, parts: Vec<SentPart>, is_near: bool) {
        let peers: Vec<SocketAddr> = {
            let peers = lock(&self.gateway.summaries().peers);
            let others = peers
                .values()
                .filter(|peer| peer.address != self.own_address);
            let chosen = others.filter(|peer| (peer.zone == self.zone) == is_near);
            chosen.map(|peer| peer.address).collect()
        };
        if peers.is_empty() {
            return;
        }
        let datagram = self.summary(sequence, parts).encode_to_vec();
        for peer in peers {
            if let Err(error) = self.socket.send_to(&datagram, peer).await {
                tracing::debug!(%peer, %error, "summary was not sent");
            }
        }
    }

    fn summary(&self, sequence: u64, parts: Vec<SentPart>) -> Summary {
        let mut loads = Vec::new();
        for (_, pool) in self.gateway.fleet().pools() {
            let beliefs = pool.beliefs();
            let own = beliefs.own_loads().filter(|(_, load)| load.flights > 0);
            loads.extend(own.map(|(id, load)| ServerLoad {
                server: server_number(id),
                flights: load.flights,
                streams: load.streams,
                waiting_tokens: load.waiting_tokens,
            }));
        }
        Summary {
            boot: self.boot,
            sequence,
            version: self.gateway.version().unwrap_or(0),
            loads,
            parts,
            suspects: self.gateway.quarantine.summary(self.gateway.fleet().now()),
        }
    }

    async fn receive_all(self: Arc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, sender)) => match Summary::decode(&buffer[..length]) {
                    Ok(summary) => self.take(&summary, sender),
                    Err(error) => tracing::debug!(%sender, %error, "datagram is no summary"),
                },
                Err(error) => {
                    tracing::debug!(%error, "cannot receive a summary");
                    Timer::after(NEAR_INTERVAL).await;
                }
            }
        }
    }

    fn take(self: &Arc<Self>, summary: &Summary, sender: SocketAddr) {
        let now = self.gateway.fleet().now();
        let mut heard = lock(&self.heard);
        let known = heard.entry(summary.boot).or_insert_with(|| {
            tracing::info!(peer = summary.boot, "heard of another entry");
            Heard {
                sequence: 0,
                at: now,
                servers: Vec::new(),
            }
        });
        if summary.sequence <= known.sequence {
            return;
        }
        known.sequence = summary.sequence;
        known.at = now;
        let present: Vec<_> = summary.loads.iter().map(|load| load.server).collect();
        let ended = std::mem::replace(&mut known.servers, present);
        drop(heard);
        if summary.version > self.gateway.version().unwrap_or(0)
            && !self.is_copying.swap(true, Ordering::AcqRel)
        {
            let copy = Arc::clone(self).copy_newer(sender, summary.version);
            self.executor.spawn(copy).detach();
        }
        let mut loads: HashMap<ServerNumber, EntryLoad> = ended
            .into_iter()
            .map(|server| (server, EntryLoad::default()))
            .collect();
        loads.extend(summary.loads.iter().map(|load| {
            let told = EntryLoad {
                flights: load.flights,
                streams: load.streams,
                waiting_tokens: load.waiting_tokens,
            };
            (load.server, told)
        }));
        self.gateway.quarantine.merge(now, &summary.suspects);
        self.apply(now, summary, &loads);
    }

    fn apply(&self, now: Duration, summary: &Summary, loads: &HashMap<ServerNumber, EntryLoad>) {
        for (_, pool) in self.gateway.fleet().pools() {
            let mut beliefs = pool.beliefs();
            for (server, load) in loads {
                if let Some(id) = pool.name(*server) {
                    beliefs.on_peer_load(now, summary.boot, id, *load);
                }
            }
            for sent in &summary.parts {
                if let Some(id) = pool.name(sent.server) {
                    let part = PromptPart {
                        id: sent.part,
                        tokens: sent.tokens,
                    };
                    beliefs.on_peer_part(now, id, part);
                }
            }
        }
    }

    fn count_entries(&self) {
        let now = self.gateway.fleet().now();
        let mut heard = lock(&self.heard);
        heard.retain(|_, peer| now.saturating_sub(peer.at) < PEER_TIMEOUT);
        self.gateway.set_entries(heard.len() + 1);
    }
}

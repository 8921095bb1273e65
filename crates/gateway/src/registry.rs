//! Backend servers as the registry in the key-value service names them, across outages and restorations of it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use tanagerford_core::ids::ServerId;

use crate::fleet::BackendServer;

/// Time after the return of the store within which the entries of servers that live are back.
const RETURN_TIME: Duration = Duration::from_secs(2);
/// Heartbeats that a server may miss before the store removes its entry.
const MISSED_HEARTBEATS: u32 = 3;
/// Time beside the missed heartbeats until the removal of an entry is known.
const REMOVAL_SLACK: Duration = Duration::from_millis(800);
/// Time for which a departure is remembered. It covers the age of a backup that the store is restored from.
const DEPARTURE_LIFETIME: Duration = Duration::from_mins(10);

/// Why and when a server stopped taking new calls.
#[derive(Debug)]
struct Departure {
    born_unix_ms: Option<u64>,
    /// Whether it said that it drains; otherwise its entry was removed.
    is_draining: bool,
    at: Instant,
}

/// How the store came to the entries that are read anew.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reread {
    /// Entries may have lapsed while the store was away.
    Returned,
    /// The store was restored from a backup, which may hold entries of servers that have left since.
    Restored,
}

/// Entries of the registry, with what an outage or a restoration of the store hides.
#[derive(Debug)]
pub struct RegistryView {
    heartbeat: Duration,
    servers: BTreeMap<ServerId, BackendServer>,
    /// Servers whose entries are missing since an outage, until when they are kept.
    lapsed: BTreeMap<ServerId, (BackendServer, Instant)>,
    /// Servers that had left before the store was restored, until when the entry in the backup may outlive them.
    withheld: BTreeMap<ServerId, (BackendServer, Instant)>,
    departed: BTreeMap<ServerId, Departure>,
}

impl RegistryView {
    /// Creates a view without servers. `heartbeat` is the interval at which servers renew their entries.
    #[must_use]
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            heartbeat,
            servers: BTreeMap::new(),
            lapsed: BTreeMap::new(),
            withheld: BTreeMap::new(),
            departed: BTreeMap::new(),
        }
    }

    /// Takes all present entries. Servers that are missing are kept until they had time to return.
    pub fn replace(
        &mut self,
        now: Instant,
        servers: impl Iterator<Item = BackendServer>,
        reread: Reread,
    ) {
        let mut present = BTreeMap::new();
        for server in servers {
            let id = server.id.clone();
            if reread == Reread::Restored && self.has_left(&server) {
                tracing::info!(server = id, "entry of a server that left is in the backup");
                let until = now + self.heartbeat * MISSED_HEARTBEATS + REMOVAL_SLACK;
                self.withheld.insert(id, (server, until));
            } else {
                present.insert(id, self.checked(now, server));
            }
        }
        let old = std::mem::replace(&mut self.servers, present);
        for (id, server) in old {
            let until = now + RETURN_TIME;
            self.lapsed.entry(id).or_insert((server, until));
        }
        self.lapsed.retain(|id, _| !self.servers.contains_key(id));
        self.withheld.retain(|id, _| !self.servers.contains_key(id));
    }

    /// Takes one changed entry.
    pub fn set(&mut self, now: Instant, server: BackendServer) {
        self.lapsed.remove(&server.id);
        self.withheld.remove(&server.id);
        let server = self.checked(now, server);
        self.servers.insert(server.id.clone(), server);
    }

    /// Takes a removed or unreadable entry.
    pub fn remove(&mut self, now: Instant, id: &str) {
        let lapsed = self.lapsed.remove(id).map(|(server, _)| server);
        self.withheld.remove(id);
        if let Some(server) = self.servers.remove(id).or(lapsed) {
            self.depart(now, &server, !server.is_ready);
        }
    }

    /// Ends the waits that are over; returns whether the servers changed by it.
    pub fn expire(&mut self, now: Instant) -> bool {
        let is_over = |until: &Instant| *until <= now;
        let gone = self.lapsed.extract_if(.., |_, (_, until)| is_over(until));
        let gone: Vec<_> = gone.map(|(_, (server, _))| server).collect();
        for server in &gone {
            self.depart(now, server, !server.is_ready);
        }
        let alive = self.withheld.extract_if(.., |_, (_, until)| is_over(until));
        let alive: Vec<_> = alive.map(|(_, (server, _))| server).collect();
        let is_changed = !gone.is_empty() || !alive.is_empty();
        // The entry outlived the heartbeats that it would have missed, so the server renews it.
        for server in alive {
            self.servers.insert(server.id.clone(), server);
        }
        is_changed
    }

    /// Returns when the next wait ends.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Instant> {
        let waits = self.lapsed.values().chain(self.withheld.values());
        waits.map(|(_, until)| *until).min()
    }

    /// Returns the servers that may be used.
    pub fn servers(&self) -> impl Iterator<Item = BackendServer> {
        let lapsed = self.lapsed.values().map(|(server, _)| server);
        self.servers.values().chain(lapsed).cloned()
    }

    fn depart(&mut self, now: Instant, server: &BackendServer, is_draining: bool) {
        let departed = &mut self.departed;
        departed.retain(|_, departure| now.duration_since(departure.at) < DEPARTURE_LIFETIME);
        let departure = Departure {
            born_unix_ms: server.born_unix_ms,
            is_draining,
            at: now,
        };
        departed.insert(server.id.clone(), departure);
    }

    /// Returns whether this incarnation of the server is known to have left.
    fn has_left(&self, server: &BackendServer) -> bool {
        let departure = self.departed.get(&server.id);
        departure.is_some_and(|departure| {
            departure.born_unix_ms == server.born_unix_ms
                && !self.servers.contains_key(&server.id)
                && !self.lapsed.contains_key(&server.id)
        })
    }

    /// Records a server that drains, and corrects an entry that says less than is known: a process that drains never
    /// becomes ready again, so a late or restored entry says `ready`.
    fn checked(&mut self, now: Instant, mut server: BackendServer) -> BackendServer {
        if !server.is_ready {
            self.depart(now, &server, true);
        } else if let Some(departure) = self.departed.get(&server.id)
            && departure.is_draining
            && departure.born_unix_ms.is_some()
            && departure.born_unix_ms == server.born_unix_ms
        {
            tracing::warn!(server = server.id, "entry of a draining server says ready");
            server.is_ready = false;
        }
        server
    }
}

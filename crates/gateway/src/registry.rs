//! View of the registry of backend servers in the key-value service, across outages and restorations of the service.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use tanagerford_core::ids::ServerId;

use crate::fleet::BackendServer;

/// Time after an outage of the store within which live servers have registered again.
const RETURN_GRACE_PERIOD: Duration = Duration::from_secs(2);
/// Missed heartbeats after which the store removes the record of a server.
const MISSED_HEARTBEATS: u32 = 3;
/// Share of the heartbeat interval by which a heartbeat may be late.
const HEARTBEAT_JITTER: f64 = 0.25;
/// Additional time until this process has received the removal.
const REMOVAL_SLACK: Duration = Duration::from_millis(800);
/// Time for which a departure is remembered. It must exceed the age of a backup that the store is restored from.
const DEPARTURE_RETENTION: Duration = Duration::from_mins(10);

/// Reason and time at which a server stopped accepting new calls.
#[derive(Debug)]
struct Departure {
    started_unix_ms: Option<u64>,
    /// Whether the server announced that it drains; otherwise its record was removed.
    is_draining: bool,
    departed_at: Instant,
}

/// Reason why all records of the store are read again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReloadReason {
    /// Changes were missed, in too short a time for the record of a live server to expire.
    ChangesMissed,
    /// The store was unavailable; records of live servers may have expired meanwhile.
    StoreReturned,
    /// The store was restored from a backup, which may contain records of servers that have left since.
    StoreRestored,
}

/// Records of the registry, corrected for the effects of an outage or a restoration of the store.
#[derive(Debug)]
pub struct RegistryView {
    heartbeat_interval: Duration,
    servers: BTreeMap<ServerId, BackendServer>,
    /// Servers whose records are missing since an outage, with the end of their grace period.
    missing: BTreeMap<ServerId, (BackendServer, Instant)>,
    /// Servers that had left before the store was restored from a backup that contains their record, with the time at
    /// which the record expires unless the server is alive and renews it.
    unconfirmed: BTreeMap<ServerId, (BackendServer, Instant)>,
    departed: BTreeMap<ServerId, Departure>,
    /// Servers whose records another program has overwritten, with the time at which the last valid record expires unless
    /// the server renews it.
    overwritten: BTreeMap<ServerId, Instant>,
}

impl RegistryView {
    /// Creates a view without servers. `heartbeat_interval` is the interval at which servers renew their records.
    #[must_use]
    pub fn new(heartbeat_interval: Duration) -> Self {
        Self {
            heartbeat_interval,
            servers: BTreeMap::new(),
            missing: BTreeMap::new(),
            unconfirmed: BTreeMap::new(),
            departed: BTreeMap::new(),
            overwritten: BTreeMap::new(),
        }
    }

    /// Returns why all records are read again when the store was not restored. `unconfirmed_time` is the time since all changes
    /// were known; `None` before the first read.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_gateway::registry::{RegistryView, ReloadReason};
    ///
    /// let view = RegistryView::new(Duration::from_millis(1_200));
    /// let reason = |ms| view.reload_reason(Some(Duration::from_millis(ms)));
    /// assert_eq!(reason(500), ReloadReason::ChangesMissed);
    /// assert_eq!(reason(4_000), ReloadReason::StoreReturned);
    /// ```
    #[must_use]
    pub fn reload_reason(&self, unconfirmed_time: Option<Duration>) -> ReloadReason {
        // The last heartbeat before an outage is at most one interval and the jitter old when the outage begins.
        let intervals = f64::from(MISSED_HEARTBEATS - 1) - HEARTBEAT_JITTER;
        let min_expiry = self.heartbeat_interval.mul_f64(intervals);
        if unconfirmed_time.is_some_and(|time| time < min_expiry) {
            ReloadReason::ChangesMissed
        } else {
            ReloadReason::StoreReturned
        }
    }

    /// Replaces all records. Servers that are missing are kept for a grace period, in which they can register again, unless
    /// only changes were missed.
    pub fn replace(
        &mut self,
        now: Instant,
        servers: impl Iterator<Item = BackendServer>,
        reason: ReloadReason,
    ) {
        let mut present = BTreeMap::new();
        let mut unconfirmed = std::mem::take(&mut self.unconfirmed);
        for server in servers {
            let id = server.id.clone();
            if reason == ReloadReason::StoreRestored && self.has_left(&server) {
                tracing::info!(
                    server = id,
                    "restored backup contains the record of a server that has left"
                );
                let until = now + self.record_lifetime();
                self.unconfirmed.insert(id, (server, until));
            } else if let Some((_, until)) = unconfirmed
                .remove(&id)
                .filter(|(known, _)| known.started_unix_ms == server.started_unix_ms)
            {
                self.unconfirmed.insert(id, (server, until));
            } else {
                present.insert(id, self.with_departure(now, server));
            }
        }
        let old = std::mem::replace(&mut self.servers, present);
        for (id, server) in old {
            if self.servers.contains_key(&id) {
                continue;
            }
            if reason == ReloadReason::ChangesMissed {
                tracing::info!(
                    server = id,
                    "read of the store lacks the server; it has left"
                );
                self.record_departure(now, &server, !server.is_ready);
                continue;
            }
            tracing::info!(
                server = id,
                ?reason,
                grace_ms = RETURN_GRACE_PERIOD.as_millis(),
                "read of the store lacks the server; kept for a grace period"
            );
            let until = now + RETURN_GRACE_PERIOD;
            self.missing.entry(id).or_insert((server, until));
        }
        self.missing.retain(|id, _| !self.servers.contains_key(id));
    }

    /// Returns whether a record can be that of the server which it names. A server states its start always or never, so one
    /// without it is another program's, and one of an earlier start is a late write.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use tanagerford_gateway::fleet::BackendServer;
    /// use tanagerford_gateway::registry::RegistryView;
    ///
    /// let server = |started_unix_ms| BackendServer {
    ///     id: "s-1".to_owned(),
    ///     pool: "engines".to_owned(),
    ///     address: "127.0.0.1:9".parse().unwrap(),
    ///     zone: "zone-a".to_owned(),
    ///     slots: 4,
    ///     is_ready: true,
    ///     started_unix_ms,
    ///     version: "v1".to_owned(),
    ///     is_registered: true,
    /// };
    /// let mut view = RegistryView::new(Duration::from_millis(1_200));
    /// view.set(Instant::now(), server(Some(1_790_000_000_000)));
    /// assert!(!view.accepts(&server(None)));
    /// assert!(view.accepts(&server(Some(1_790_000_000_001))));
    /// ```
    #[must_use]
    pub fn accepts(&self, server: &BackendServer) -> bool {
        let present = self.servers.get(&server.id);
        let missing = self.missing.get(&server.id).map(|(server, _)| server);
        let known = present.into_iter().chain(missing);
        let known = known.filter_map(|known| known.started_unix_ms);
        let departed = self.departed.get(&server.id);
        let departed = departed.and_then(|departure| departure.started_unix_ms);
        let newest = known.chain(departed).max();
        newest.is_none_or(|newest| {
            server
                .started_unix_ms
                .is_some_and(|started| started >= newest)
        })
    }

    /// Adds or updates one record.
    pub fn set(&mut self, now: Instant, server: BackendServer) {
        self.missing.remove(&server.id);
        self.unconfirmed.remove(&server.id);
        self.overwritten.remove(&server.id);
        let server = self.with_departure(now, server);
        self.servers.insert(server.id.clone(), server);
    }

    /// Records that the value under a server's key is not a valid record, so another program wrote it. Returns the last
    /// valid record of the server, which holds until it expires. Further invalid records do not prolong that time.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use tanagerford_gateway::registry::RegistryView;
    ///
    /// let mut view = RegistryView::new(Duration::from_millis(1_200));
    /// assert!(view.keep_sound(Instant::now(), "s-1").is_none());
    /// assert!(view.next_expiry().is_none());
    /// ```
    pub fn keep_sound(&mut self, now: Instant, id: &str) -> Option<BackendServer> {
        let until = now + self.record_lifetime();
        let server = self.servers.get(id)?.clone();
        self.overwritten.entry(id.to_owned()).or_insert(until);
        Some(server)
    }

    /// Records that the value under a server's key is valid.
    pub fn confirm(&mut self, id: &str) {
        self.overwritten.remove(id);
    }

    /// Returns the time after which the store has removed a record that is not renewed.
    fn record_lifetime(&self) -> Duration {
        self.heartbeat_interval * MISSED_HEARTBEATS + REMOVAL_SLACK
    }

    /// Removes one record, which was deleted.
    pub fn remove(&mut self, now: Instant, id: &str) {
        self.overwritten.remove(id);
        let missing = self.missing.remove(id).map(|(server, _)| server);
        self.unconfirmed.remove(id);
        if let Some(server) = self.servers.remove(id).or(missing) {
            self.record_departure(now, &server, !server.is_ready);
        }
    }

    /// Ends the grace periods and confirmation periods that are over; returns whether the servers changed.
    pub fn expire(&mut self, now: Instant) -> bool {
        let is_over = |until: &Instant| *until <= now;
        let expired = self.overwritten.extract_if(.., |_, until| is_over(until));
        let expired: Vec<_> = expired.map(|(id, _)| id).collect();
        for id in &expired {
            tracing::info!(
                server = id,
                "server did not renew its record, which another program overwrote"
            );
            self.remove(now, id);
        }
        let gone = self.missing.extract_if(.., |_, (_, until)| is_over(until));
        let gone: Vec<_> = gone.map(|(_, (server, _))| server).collect();
        for server in &gone {
            tracing::info!(
                server = server.id,
                "server did not register again within its grace period"
            );
            self.record_departure(now, server, !server.is_ready);
        }
        let alive = self
            .unconfirmed
            .extract_if(.., |_, (_, until)| is_over(until));
        let alive: Vec<_> = alive.map(|(_, (server, _))| server).collect();
        let is_changed = !expired.is_empty() || !gone.is_empty() || !alive.is_empty();
        // The record outlived the heartbeats that a dead server would have missed, so the server is alive and renews
        // it.
        for server in alive {
            self.servers.insert(server.id.clone(), server);
        }
        is_changed
    }

    /// Returns the time at which [`RegistryView::expire`] has to be called next; `None` when nothing is pending.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Instant> {
        let pending = self.missing.values().chain(self.unconfirmed.values());
        let pending = pending.map(|(_, until)| *until);
        pending.chain(self.overwritten.values().copied()).min()
    }

    /// Returns the servers of the corrected view, including those that drain and those in their grace period.
    pub fn servers(&self) -> impl Iterator<Item = BackendServer> {
        let missing = self.missing.values().map(|(server, _)| BackendServer {
            is_registered: false,
            ..server.clone()
        });
        self.servers.values().cloned().chain(missing)
    }

    fn record_departure(&mut self, now: Instant, server: &BackendServer, is_draining: bool) {
        let departed = &mut self.departed;
        departed
            .retain(|_, departure| now.duration_since(departure.departed_at) < DEPARTURE_RETENTION);
        let departure = Departure {
            started_unix_ms: server.started_unix_ms,
            is_draining,
            departed_at: now,
        };
        departed.insert(server.id.clone(), departure);
    }

    /// Returns whether this incarnation of the server is known to have left.
    fn has_left(&self, server: &BackendServer) -> bool {
        let departure = self.departed.get(&server.id);
        departure.is_some_and(|departure| {
            departure.started_unix_ms == server.started_unix_ms
                && !self.servers.contains_key(&server.id)
                && !self.missing.contains_key(&server.id)
        })
    }

    /// Remembers the departure of a server that drains, and corrects a record that contradicts a remembered departure.
    /// A process that drains never becomes ready again, so a later record with `ready` is a late write or comes from a
    /// backup.
    fn with_departure(&mut self, now: Instant, mut server: BackendServer) -> BackendServer {
        if !server.is_ready {
            self.record_departure(now, &server, true);
        } else if let Some(departure) = self.departed.get(&server.id)
            && departure.is_draining
            && departure.started_unix_ms.is_some()
            && departure.started_unix_ms == server.started_unix_ms
        {
            tracing::warn!(
                server = server.id,
                "record of a draining server has the state ready; treated as draining"
            );
            server.is_ready = false;
        }
        server
    }
}

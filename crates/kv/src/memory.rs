//! In-memory key-value service with leases, watches, injected faults and call counters.
//!
//! Tests and the `standalone` command use it in place of the platform's service. [`Memory::client`] creates another
//! client of the same store with separate faults and counters, so that one process can lose its connection while
//! another keeps it.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::kv::{
    Call, Commit, Compare, KeyValue, Kv, LeaseId, Refusal, Revision, Transaction, WatchEvent, Write,
};
use tanagerford_sync::lock;

/// Number of events retained for watches that start at an earlier revision. A watch that starts before the oldest
/// retained event is refused as compacted.
const MAX_RETAINED_EVENTS: usize = 10_000;

/// Limit of the platform's service.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// Default limit of etcd.
const MAX_TRANSACTION_WRITES: usize = 128;

/// Faults injected into the calls of one client; there are none by default.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Faults {
    /// Calls fail as if no connection could be established.
    pub is_down: bool,
    /// Latency of each call. A call with a shorter timeout takes effect, but its response is lost.
    pub delay: Duration,
    /// Number of calls that get a response before `responses_to_lose` applies, so that a test can choose the call whose
    /// response is lost.
    pub responses_before_loss: u32,
    /// Number of calls that take effect but whose response is lost.
    pub responses_to_lose: u32,
    /// Number of calls that the service accepts before its rate limit refuses all further calls; `None` for no limit.
    pub calls_until_rate_limit: Option<u32>,
    /// Watches stay open but report no events, as on a dead connection.
    pub has_silent_watches: bool,
}

/// Number of calls by kind. Calls that were refused or whose response was lost count too, because the platform bills
/// them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Calls {
    /// Number of reads of one key.
    pub get: u64,
    /// Number of reads of a prefix.
    pub list: u64,
    /// Number of transactions, including those that conflicted.
    pub commit: u64,
    /// Number of lease grants, renewals and revocations.
    pub lease: u64,
    /// Number of watches, regardless of the events they returned.
    pub watch: u64,
}

impl Calls {
    /// Returns the number of calls of all kinds.
    ///
    /// ```
    /// use tanagerford_kv::memory::Calls;
    ///
    /// let calls = Calls { get: 2, watch: 1, ..Calls::default() };
    /// assert_eq!(calls.total(), 3);
    /// ```
    #[must_use]
    pub fn total(&self) -> u64 {
        self.get + self.list + self.commit + self.lease + self.watch
    }
}

/// Client of an in-memory store. Clones share the store, the faults and the counters.
#[derive(Debug, Clone)]
pub struct Memory {
    shared: Arc<Shared>,
    connection: Arc<Mutex<Connection>>,
}

#[derive(Debug)]
struct Shared {
    store: Mutex<Store>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct Connection {
    faults: Faults,
    calls: Calls,
}

#[derive(Debug)]
struct Store {
    clock: Clock,
    revision: Revision,
    entries: BTreeMap<String, Entry>,
    leases: HashMap<LeaseId, Lease>,
    last_lease: LeaseId,
    events: VecDeque<WatchEvent>,
    compacted: Revision,
}

#[derive(Debug)]
enum Clock {
    System { started_at: Instant },
    Virtual { now: Duration },
}

#[derive(Debug)]
struct Entry {
    value: Vec<u8>,
    mod_revision: Revision,
    lease: Option<LeaseId>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Duration,
}

/// Whether the response to a call that reached the service is delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Delivery {
    Delivered,
    Lost,
}

#[derive(Debug, Clone, Copy)]
enum Kind {
    Get,
    List,
    Commit,
    Lease,
    Watch,
}

impl Default for Memory {
    fn default() -> Self {
        Self::new()
    }
}

impl Memory {
    /// Creates an empty store whose leases expire by the system clock.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_kv::kv::{Call, Commit, Kv, Transaction, Write};
    /// use tanagerford_kv::memory::Memory;
    ///
    /// let memory = Memory::new();
    /// let write = Write::Put { key: "a".into(), value: b"1".to_vec(), lease: None };
    /// let transaction = Transaction { compares: vec![], writes: vec![write] };
    /// let timeout = Duration::from_secs(1);
    /// assert_eq!(memory.commit(&transaction, timeout), Call::Done(Commit::Applied(1)));
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::with_clock(Clock::System {
            started_at: Instant::now(),
        })
    }

    /// Creates an empty store whose leases expire only when [`advance`](Self::advance) moves its virtual clock.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_kv::kv::{Call, Kv, Refusal};
    /// use tanagerford_kv::memory::Memory;
    ///
    /// let memory = Memory::with_virtual_clock();
    /// let timeout = Duration::from_secs(1);
    /// let Call::Done(lease) = memory.grant_lease(Duration::from_secs(5), timeout) else { panic!() };
    /// memory.advance(Duration::from_secs(6));
    /// assert_eq!(memory.renew_lease(lease, timeout), Call::Refused(Refusal::LeaseExpired));
    /// ```
    #[must_use]
    pub fn with_virtual_clock() -> Self {
        Self::with_clock(Clock::Virtual {
            now: Duration::ZERO,
        })
    }

    fn with_clock(clock: Clock) -> Self {
        let store = Store {
            clock,
            revision: 0,
            entries: BTreeMap::new(),
            leases: HashMap::new(),
            last_lease: 0,
            events: VecDeque::new(),
            compacted: 0,
        };
        let shared = Shared {
            store: Mutex::new(store),
            changed: Condvar::new(),
        };
        Self {
            shared: Arc::new(shared),
            connection: Arc::default(),
        }
    }

    /// Returns another client of the same store, without faults and with its own counters.
    ///
    /// ```
    /// use tanagerford_kv::memory::{Faults, Memory};
    ///
    /// let memory = Memory::new();
    /// let other = memory.client();
    /// memory.set_faults(Faults { is_down: true, ..Faults::default() });
    /// assert!(!other.faults().is_down);
    /// ```
    #[must_use]
    pub fn client(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
            connection: Arc::default(),
        }
    }

    /// Replaces the faults of this client. They also apply to pending watches, which wake up.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.connection).faults = faults;
        self.shared.changed.notify_all();
    }

    /// Returns the current faults of this client. Calls decrease the counts in them.
    #[must_use]
    pub fn faults(&self) -> Faults {
        lock(&self.connection).faults.clone()
    }

    /// Returns the number of calls that this client has made since it was created.
    #[must_use]
    pub fn calls(&self) -> Calls {
        lock(&self.connection).calls
    }

    /// Returns the revision of the last write; 0 before the first one.
    #[must_use]
    pub fn revision(&self) -> Revision {
        lock(&self.shared.store).revision
    }

    /// Advances the virtual clock by `step` and expires the leases that end by then. The system clock is not changed.
    pub fn advance(&self, step: Duration) {
        let mut store = lock(&self.shared.store);
        if let Clock::Virtual { now } = &mut store.clock {
            *now += step;
        }
        store.expire_leases();
        self.shared.changed.notify_all();
    }

    /// Discards all events so far, as a compaction does. Watches from an earlier revision are then refused.
    pub fn compact(&self) {
        let mut store = lock(&self.shared.store);
        store.events.clear();
        store.compacted = store.revision;
    }

    /// Counts a call, applies the faults and waits for the injected latency. Returns whether the response is delivered,
    /// or an error if the call does not reach the service.
    fn begin(&self, kind: Kind, timeout: Duration) -> Result<Delivery, Refusal> {
        let (delivery, wait) = {
            let mut connection = lock(&self.connection);
            connection.count(kind);
            connection.apply_faults(timeout)?
        };
        if !wait.is_zero() {
            std::thread::sleep(wait);
        }
        Ok(delivery)
    }

    fn run<T>(
        &self,
        kind: Kind,
        timeout: Duration,
        operation: impl FnOnce(&mut Store) -> Call<T>,
    ) -> Call<T> {
        let delivery = match self.begin(kind, timeout) {
            Ok(delivery) => delivery,
            Err(refusal) => return Call::Refused(refusal),
        };
        let result = {
            let mut store = lock(&self.shared.store);
            store.expire_leases();
            operation(&mut store)
        };
        self.shared.changed.notify_all();
        match delivery {
            Delivery::Delivered => result,
            Delivery::Lost => Call::Unknown,
        }
    }
}

impl Connection {
    fn count(&mut self, kind: Kind) {
        let counter = match kind {
            Kind::Get => &mut self.calls.get,
            Kind::List => &mut self.calls.list,
            Kind::Commit => &mut self.calls.commit,
            Kind::Lease => &mut self.calls.lease,
            Kind::Watch => &mut self.calls.watch,
        };
        *counter += 1;
    }

    /// Returns how the next call ends and how long it takes, and decreases the counts of the faults.
    fn apply_faults(&mut self, timeout: Duration) -> Result<(Delivery, Duration), Refusal> {
        let faults = &mut self.faults;
        if faults.is_down {
            return Err(Refusal::Unreachable);
        }
        if let Some(remaining) = &mut faults.calls_until_rate_limit {
            if *remaining == 0 {
                return Err(Refusal::Rejected("rate limit".into()));
            }
            *remaining -= 1;
        }
        if faults.responses_before_loss > 0 {
            faults.responses_before_loss -= 1;
        } else if faults.responses_to_lose > 0 {
            faults.responses_to_lose -= 1;
            return Ok((Delivery::Lost, faults.delay.min(timeout)));
        }
        if faults.delay > timeout {
            return Ok((Delivery::Lost, timeout));
        }
        Ok((Delivery::Delivered, faults.delay))
    }
}

impl Store {
    fn now(&self) -> Duration {
        match self.clock {
            Clock::System { started_at } => started_at.elapsed(),
            Clock::Virtual { now } => now,
        }
    }

    fn expire_leases(&mut self) {
        let now = self.now();
        let expired = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now);
        let mut expired: Vec<LeaseId> = expired.map(|(id, _)| *id).collect();
        expired.sort_unstable();
        for id in expired {
            self.end_lease(id);
        }
    }

    /// Deletes a lease and the keys attached to it at one revision.
    fn end_lease(&mut self, id: LeaseId) {
        self.leases.remove(&id);
        let attached = self.entries.iter().filter(|(_, e)| e.lease == Some(id));
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        if keys.is_empty() {
            return;
        }
        self.revision += 1;
        for key in keys {
            self.delete(key);
        }
    }

    /// Returns the time until the next lease expires by the system clock; `None` without leases or on a virtual clock.
    fn next_expiry(&self) -> Option<Duration> {
        match self.clock {
            Clock::Virtual { .. } => None,
            Clock::System { .. } => {
                let first = self.leases.values().map(|lease| lease.expires_at).min()?;
                Some(first.saturating_sub(self.now()))
            }
        }
    }

    fn is_met(&self, compare: &Compare) -> bool {
        let entry = self.entries.get(&compare.key);
        entry.map_or(0, |entry| entry.mod_revision) == compare.mod_revision
    }

    fn validate(&self, transaction: &Transaction) -> Result<(), Refusal> {
        if transaction.writes.len() > MAX_TRANSACTION_WRITES {
            return Err(Refusal::Rejected("too many writes".into()));
        }
        for write in &transaction.writes {
            let Write::Put { value, lease, .. } = write else {
                continue;
            };
            if value.len() > MAX_VALUE_BYTES {
                return Err(Refusal::Rejected("value too large".into()));
            }
            if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
                return Err(Refusal::LeaseExpired);
            }
        }
        Ok(())
    }

    fn commit(&mut self, transaction: &Transaction) -> Call<Commit> {
        // Conditions are checked before the writes are validated: if one fails, an invalid write is not reported.
        if !transaction
            .compares
            .iter()
            .all(|compare| self.is_met(compare))
        {
            return Call::Done(Commit::Conflict);
        }
        if let Err(refusal) = self.validate(transaction) {
            return Call::Refused(refusal);
        }
        if !transaction.writes.is_empty() {
            self.revision += 1;
        }
        for write in &transaction.writes {
            self.write(write);
        }
        Call::Done(Commit::Applied(self.revision))
    }

    fn write(&mut self, write: &Write) {
        match write {
            Write::Delete { key } => self.delete(key.clone()),
            Write::Put { key, value, lease } => {
                let entry = Entry {
                    value: value.clone(),
                    mod_revision: self.revision,
                    lease: *lease,
                };
                self.entries.insert(key.clone(), entry);
                self.record_event(key.clone(), Some(value.clone()));
            }
        }
    }

    fn delete(&mut self, key: String) {
        if self.entries.remove(&key).is_some() {
            self.record_event(key, None);
        }
    }

    fn record_event(&mut self, key: String, value: Option<Vec<u8>>) {
        if self.events.len() == MAX_RETAINED_EVENTS
            && let Some(oldest) = self.events.pop_front()
        {
            self.compacted = oldest.mod_revision;
        }
        self.events.push_back(WatchEvent {
            key,
            value,
            mod_revision: self.revision,
        });
    }

    fn events_since(&self, prefix: &str, from: Revision) -> Vec<WatchEvent> {
        let is_match =
            |event: &&WatchEvent| event.mod_revision >= from && event.key.starts_with(prefix);
        self.events.iter().filter(is_match).cloned().collect()
    }

    fn list(&self, prefix: &str) -> Vec<KeyValue> {
        let range = self.entries.range(prefix.to_owned()..);
        let matching = range.take_while(|(key, _)| key.starts_with(prefix));
        matching
            .map(|(key, entry)| entry.to_key_value(key))
            .collect()
    }
}

impl Entry {
    fn to_key_value(&self, key: &str) -> KeyValue {
        KeyValue {
            key: key.to_owned(),
            value: self.value.clone(),
            mod_revision: self.mod_revision,
        }
    }
}

impl Kv for Memory {
    fn get(&self, key: &str, timeout: Duration) -> Call<Option<KeyValue>> {
        self.run(Kind::Get, timeout, |store| {
            let entry = store.entries.get(key);
            Call::Done(entry.map(|entry| entry.to_key_value(key)))
        })
    }

    fn list(&self, prefix: &str, timeout: Duration) -> Call<Vec<KeyValue>> {
        self.run(Kind::List, timeout, |store| Call::Done(store.list(prefix)))
    }

    fn commit(&self, transaction: &Transaction, timeout: Duration) -> Call<Commit> {
        self.run(Kind::Commit, timeout, |store| store.commit(transaction))
    }

    fn grant_lease(&self, ttl: Duration, timeout: Duration) -> Call<LeaseId> {
        self.run(Kind::Lease, timeout, |store| {
            store.last_lease += 1;
            let expires_at = store.now().saturating_add(ttl);
            store
                .leases
                .insert(store.last_lease, Lease { ttl, expires_at });
            Call::Done(store.last_lease)
        })
    }

    fn renew_lease(&self, lease: LeaseId, timeout: Duration) -> Call<Duration> {
        self.run(Kind::Lease, timeout, |store| {
            let now = store.now();
            let Some(lease) = store.leases.get_mut(&lease) else {
                return Call::Refused(Refusal::LeaseExpired);
            };
            lease.expires_at = now.saturating_add(lease.ttl);
            Call::Done(lease.ttl)
        })
    }

    fn revoke_lease(&self, lease: LeaseId, timeout: Duration) -> Call<()> {
        self.run(Kind::Lease, timeout, |store| {
            if !store.leases.contains_key(&lease) {
                return Call::Refused(Refusal::LeaseExpired);
            }
            store.end_lease(lease);
            Call::Done(())
        })
    }

    /// Starts at the next write if `from` is 0, as the etcd gateway does.
    fn watch(&self, prefix: &str, from: Revision, timeout: Duration) -> Call<Vec<WatchEvent>> {
        let started_at = Instant::now();
        let delivery = match self.begin(Kind::Watch, timeout) {
            Ok(delivery) => delivery,
            Err(refusal) => return Call::Refused(refusal),
        };
        if delivery == Delivery::Lost {
            return Call::Unknown;
        }
        let mut store = lock(&self.shared.store);
        let from = if from == 0 { store.revision + 1 } else { from };
        loop {
            store.expire_leases();
            if from <= store.compacted {
                return Call::Refused(Refusal::Rejected("compacted".into()));
            }
            let faults = self.faults();
            if faults.is_down {
                return Call::Unknown;
            }
            let events = store.events_since(prefix, from);
            if !events.is_empty() && !faults.has_silent_watches {
                return Call::Done(events);
            }
            let remaining = timeout.saturating_sub(started_at.elapsed());
            if remaining.is_zero() {
                return Call::Done(Vec::new());
            }
            // The minimum of 1 ms avoids a busy loop on a lease that expires at this instant.
            let sleep = store.next_expiry().map_or(remaining, |expiry| {
                remaining.min(expiry.max(Duration::from_millis(1)))
            });
            let woken = self.shared.changed.wait_timeout(store, sleep);
            store = woken.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

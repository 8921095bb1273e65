//! In-memory key-value service with leases, watches, faults on demand and a call counter.
//!
//! Tests and the `standalone` command use it in place of the platform's service. [`Memory::client`] gives a second
//! client of the same store with faults and counters of its own, so that one process can lose the service while
//! another keeps it.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::kv::{
    Call, Commit, Compare, KeyValue, Kv, LeaseId, Refusal, Revision, Transaction, WatchEvent, Write,
};
use tanagerford_sync::lock;

/// Events kept for watches that start at an earlier revision; an older start is refused as compacted.
const MAX_KEPT_EVENTS: usize = 10_000;

/// Longest value that the service accepts, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Most writes of one transaction, as in etcd's default settings.
pub const MAX_TRANSACTION_WRITES: usize = 128;

/// Faults of one client's connection to the service; the default is none.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Faults {
    /// The service cannot be reached.
    pub down: bool,
    /// Time that each call takes. A call whose timeout is shorter takes effect and its answer is lost.
    pub delay: Duration,
    /// Calls that are still answered before `lose_answers` applies, so that a test can lose the answer of one step.
    pub answered_first: u32,
    /// Calls that take effect and then lose their answer.
    pub lose_answers: u32,
    /// Calls that the service still accepts before its rate limit refuses all others.
    pub calls_left: Option<u32>,
    /// Watches stay open but report no event, as a dead connection does.
    pub silent_watch: bool,
}

/// Count of calls by kind. Refused and lost calls count as well, because the platform bills them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Calls {
    /// Reads of one key.
    pub get: u64,
    /// Reads of a prefix.
    pub list: u64,
    /// Transactions.
    pub commit: u64,
    /// Grants, renewals and revocations of leases.
    pub lease: u64,
    /// Watches.
    pub watch: u64,
}

impl Calls {
    /// Returns the count of all calls.
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
    ends_at: Duration,
}

/// What becomes of the answer to a call that reached the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Delivery {
    Answered,
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
    /// Creates an empty store whose leases end by the system's clock.
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

    /// Creates an empty store whose leases end only by [`advance`](Self::advance).
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

    /// Returns a client of the same store with faults and counters of its own.
    ///
    /// ```
    /// use tanagerford_kv::memory::{Faults, Memory};
    ///
    /// let memory = Memory::new();
    /// let other = memory.client();
    /// memory.set_faults(Faults { down: true, ..Faults::default() });
    /// assert!(!other.faults().down);
    /// ```
    #[must_use]
    pub fn client(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
            connection: Arc::default(),
        }
    }

    /// Replaces the faults of this client. A pending watch meets them when it wakes.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.connection).faults = faults;
        self.shared.changed.notify_all();
    }

    /// Returns the faults of this client; the counts in them go down with each call.
    #[must_use]
    pub fn faults(&self) -> Faults {
        lock(&self.connection).faults.clone()
    }

    /// Returns the calls that this client has made.
    #[must_use]
    pub fn calls(&self) -> Calls {
        lock(&self.connection).calls
    }

    /// Returns the revision of the last write.
    #[must_use]
    pub fn revision(&self) -> Revision {
        lock(&self.shared.store).revision
    }

    /// Moves a virtual clock on and ends the leases that it passes; does nothing to a store on the system's clock.
    pub fn advance(&self, step: Duration) {
        let mut store = lock(&self.shared.store);
        if let Clock::Virtual { now } = &mut store.clock {
            *now += step;
        }
        store.expire_leases();
        self.shared.changed.notify_all();
    }

    /// Forgets the events before the next write, as a compaction does; a watch from an earlier revision is refused.
    pub fn compact(&self) {
        let mut store = lock(&self.shared.store);
        store.events.clear();
        store.compacted = store.revision;
    }

    /// Counts a call, and decides by the faults whether it reaches the service and whether its answer returns.
    fn begin(&self, kind: Kind, timeout: Duration) -> Result<Delivery, Refusal> {
        let (delivery, wait) = {
            let mut connection = lock(&self.connection);
            connection.count(kind);
            connection.meet(timeout)?
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
        let answer = {
            let mut store = lock(&self.shared.store);
            store.expire_leases();
            operation(&mut store)
        };
        self.shared.changed.notify_all();
        match delivery {
            Delivery::Answered => answer,
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

    fn meet(&mut self, timeout: Duration) -> Result<(Delivery, Duration), Refusal> {
        let faults = &mut self.faults;
        if faults.down {
            return Err(Refusal::Unreachable);
        }
        if let Some(left) = &mut faults.calls_left {
            if *left == 0 {
                return Err(Refusal::Rejected("rate limit".into()));
            }
            *left -= 1;
        }
        if faults.answered_first > 0 {
            faults.answered_first -= 1;
        } else if faults.lose_answers > 0 {
            faults.lose_answers -= 1;
            return Ok((Delivery::Lost, faults.delay.min(timeout)));
        }
        if faults.delay > timeout {
            return Ok((Delivery::Lost, timeout));
        }
        Ok((Delivery::Answered, faults.delay))
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
        let ended = self.leases.iter().filter(|(_, lease)| lease.ends_at <= now);
        let mut ended: Vec<LeaseId> = ended.map(|(id, _)| *id).collect();
        ended.sort_unstable();
        for id in ended {
            self.end_lease(id);
        }
    }

    /// Deletes a lease with its keys in one revision.
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

    /// Returns how long a waiting watch may sleep before a lease on the system's clock ends.
    fn next_expiry(&self) -> Option<Duration> {
        match self.clock {
            Clock::Virtual { .. } => None,
            Clock::System { .. } => {
                let first = self.leases.values().map(|lease| lease.ends_at).min()?;
                Some(first.saturating_sub(self.now()))
            }
        }
    }

    fn holds(&self, compare: &Compare) -> bool {
        let entry = self.entries.get(&compare.key);
        entry.map_or(0, |entry| entry.mod_revision) == compare.mod_revision
    }

    fn check(&self, transaction: &Transaction) -> Result<(), Refusal> {
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
        // The conditions come first: with a failed condition nothing is written, so a write's fault is not reported.
        if !transaction.compares.iter().all(|c| self.holds(c)) {
            return Call::Done(Commit::Conflict);
        }
        if let Err(refusal) = self.check(transaction) {
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
                self.record(key.clone(), Some(value.clone()));
            }
        }
    }

    fn delete(&mut self, key: String) {
        if self.entries.remove(&key).is_some() {
            self.record(key, None);
        }
    }

    fn record(&mut self, key: String, value: Option<Vec<u8>>) {
        if self.events.len() == MAX_KEPT_EVENTS
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
        let wanted =
            |event: &&WatchEvent| event.mod_revision >= from && event.key.starts_with(prefix);
        self.events.iter().filter(wanted).cloned().collect()
    }

    fn list(&self, prefix: &str) -> Vec<KeyValue> {
        let range = self.entries.range(prefix.to_owned()..);
        let matching = range.take_while(|(key, _)| key.starts_with(prefix));
        matching.map(|(key, entry)| entry.with_key(key)).collect()
    }
}

impl Entry {
    fn with_key(&self, key: &str) -> KeyValue {
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
            Call::Done(entry.map(|entry| entry.with_key(key)))
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
            let ends_at = store.now().saturating_add(ttl);
            store
                .leases
                .insert(store.last_lease, Lease { ttl, ends_at });
            Call::Done(store.last_lease)
        })
    }

    fn renew_lease(&self, lease: LeaseId, timeout: Duration) -> Call<Duration> {
        self.run(Kind::Lease, timeout, |store| {
            let now = store.now();
            let Some(lease) = store.leases.get_mut(&lease) else {
                return Call::Refused(Refusal::LeaseExpired);
            };
            lease.ends_at = now.saturating_add(lease.ttl);
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

    /// Starts at the next write if `from` is 0, as the gateway does.
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
            if faults.down {
                return Call::Unknown;
            }
            let events = store.events_since(prefix, from);
            if !events.is_empty() && !faults.silent_watch {
                return Call::Done(events);
            }
            let left = timeout.saturating_sub(started_at.elapsed());
            if left.is_zero() {
                return Call::Done(Vec::new());
            }
            // A lease that ends at this instant is found expired in the next turn at the latest after 1 ms.
            let sleep = store.next_expiry().map_or(left, |expiry| {
                left.min(expiry.max(Duration::from_millis(1)))
            });
            let waited = self.shared.changed.wait_timeout(store, sleep);
            store = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

//! Fake key-value service with injected faults, and a virtual clock.

#![allow(dead_code, reason = "each test binary uses a part of the fakes")]

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tanagerford_core::order::{OrderKey, Owner};
use tanagerford_kv::kv::{
    Call, Commit, KeyValue, Kv, LeaseId, Refusal, Revision, Transaction, WatchEvent, Write,
};
use tanagerford_node::orders::{
    OrderClock, OrderLogCore, OrderRequest, OrderSettings, StepHook, StoredResponse,
};

/// Fault of one call to the fake key-value service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KvFault {
    /// The call takes effect, but its response is lost.
    LoseAnswer,
    /// The call is lost and has no effect.
    LoseCall,
    /// The call has no response and takes effect after the next call. Only transactions can be delayed; other calls are
    /// lost.
    Delay,
    /// The service refuses the call.
    Refuse,
}

#[derive(Debug, Default)]
struct Store {
    values: BTreeMap<String, (Vec<u8>, Revision)>,
    revision: Revision,
    next_fault: Option<KvFault>,
    /// Number of calls that succeed before `next_fault` is injected.
    calls_before_fault: u32,
    delayed: Option<Transaction>,
    is_down: bool,
    calls: u64,
}

/// Fake key-value service.
#[derive(Debug, Default)]
pub struct FakeKv {
    store: Mutex<Store>,
}

impl FakeKv {
    pub fn fail_next(&self, fault: KvFault) {
        self.fail_after(0, fault);
    }

    /// Injects the fault after `calls` successful calls.
    pub fn fail_after(&self, calls: u32, fault: KvFault) {
        let mut store = self.store.lock().unwrap();
        store.next_fault = Some(fault);
        store.calls_before_fault = calls;
    }

    pub fn set_down(&self, is_down: bool) {
        self.store.lock().unwrap().is_down = is_down;
    }

    pub fn calls(&self) -> u64 {
        self.store.lock().unwrap().calls
    }

    pub fn put(&self, key: &str, value: Vec<u8>) {
        let mut store = self.store.lock().unwrap();
        store.revision += 1;
        let revision = store.revision;
        store.values.insert(key.to_owned(), (value, revision));
    }

    /// Makes a call that `run` executes, with the fault that is due. `transaction` is what a delayed call executes
    /// later.
    fn call<T>(&self, run: impl Fn(&mut Store) -> T, transaction: Option<&Transaction>) -> Call<T> {
        let mut store = self.store.lock().unwrap();
        store.calls += 1;
        if store.is_down {
            return Call::Refused(Refusal::Unreachable);
        }
        let earlier = store.delayed.take();
        let must_succeed = store.calls_before_fault > 0;
        store.calls_before_fault = store.calls_before_fault.saturating_sub(1);
        let fault = if must_succeed {
            None
        } else {
            store.next_fault.take()
        };
        let call = match fault {
            None => Call::Done(run(&mut store)),
            Some(KvFault::Refuse) => Call::Refused(Refusal::Rejected("rate limit".to_owned())),
            Some(KvFault::LoseCall) => Call::Unknown,
            Some(KvFault::LoseAnswer) => {
                run(&mut store);
                Call::Unknown
            }
            Some(KvFault::Delay) => {
                store.delayed = transaction.cloned();
                Call::Unknown
            }
        };
        if let Some(earlier) = earlier {
            store.commit(&earlier);
        }
        call
    }
}

impl Store {
    fn commit(&mut self, transaction: &Transaction) -> Commit {
        let revision_of = |key: &String| self.values.get(key).map_or(0, |(_, revision)| *revision);
        if transaction
            .compares
            .iter()
            .any(|compare| revision_of(&compare.key) != compare.mod_revision)
        {
            return Commit::Conflict;
        }
        self.revision += 1;
        for write in &transaction.writes {
            match write {
                Write::Put { key, value, .. } => {
                    self.values
                        .insert(key.clone(), (value.clone(), self.revision));
                }
                Write::Delete { key } => {
                    self.values.remove(key);
                }
            }
        }
        Commit::Applied(self.revision)
    }

    fn read(&self, key: &str) -> Option<KeyValue> {
        let (value, mod_revision) = self.values.get(key)?;
        Some(KeyValue {
            key: key.to_owned(),
            value: value.clone(),
            mod_revision: *mod_revision,
        })
    }
}

impl Kv for FakeKv {
    fn get(&self, key: &str, _timeout: Duration) -> Call<Option<KeyValue>> {
        self.call(|store| store.read(key), None)
    }

    fn list(&self, prefix: &str, _timeout: Duration) -> Call<Vec<KeyValue>> {
        let list = |store: &mut Store| {
            let keys = store.values.keys().filter(|key| key.starts_with(prefix));
            keys.filter_map(|key| store.read(key)).collect()
        };
        self.call(list, None)
    }

    fn commit(&self, transaction: &Transaction, _timeout: Duration) -> Call<Commit> {
        self.call(|store| store.commit(transaction), Some(transaction))
    }

    fn grant_lease(&self, _ttl: Duration, _timeout: Duration) -> Call<LeaseId> {
        Call::Refused(Refusal::Unreachable)
    }

    fn renew_lease(&self, _lease: LeaseId, _timeout: Duration) -> Call<Duration> {
        Call::Refused(Refusal::Unreachable)
    }

    fn revoke_lease(&self, _lease: LeaseId, _timeout: Duration) -> Call<()> {
        Call::Refused(Refusal::Unreachable)
    }

    fn watch(&self, _prefix: &str, _from: Revision, _timeout: Duration) -> Call<Vec<WatchEvent>> {
        Call::Refused(Refusal::Unreachable)
    }
}

/// Clock that advances only when a test calls [`VirtualClock::advance`]; clones share their time.
#[derive(Debug, Clone, Default)]
pub struct VirtualClock {
    now_ms: Arc<AtomicU64>,
}

impl VirtualClock {
    pub fn advance(&self, time: Duration) {
        self.now_ms
            .fetch_add(u64::try_from(time.as_millis()).unwrap(), Ordering::SeqCst);
    }

    pub fn now(&self) -> Duration {
        Duration::from_millis(self.now_ms.load(Ordering::SeqCst))
    }

    pub fn order_clock(&self) -> OrderClock {
        let clock = self.clone();
        OrderClock::from_fn(move || clock.now(), Duration::from_secs(1_700_000_000))
    }
}

pub fn owner(server: &str, incarnation: u64) -> Owner {
    Owner {
        server: server.to_owned(),
        incarnation,
    }
}

pub fn core(
    kv: &Arc<FakeKv>,
    clock: &VirtualClock,
    owner: Owner,
    step_hook: Option<StepHook>,
) -> OrderLogCore {
    let settings = OrderSettings {
        step_hook,
        shards: 1,
        ..OrderSettings::new("plates", owner)
    };
    OrderLogCore::new(kv.clone(), settings, clock.order_clock())
}

pub fn order(name: &str) -> OrderRequest {
    OrderRequest {
        key: OrderKey::new("north", name),
        body: 1,
        released: None,
    }
}

pub fn answer(text: &'static str) -> StoredResponse {
    StoredResponse {
        status: 200,
        headers: Vec::new(),
        body: text.into(),
    }
}

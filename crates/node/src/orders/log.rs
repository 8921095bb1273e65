//! Blocking interface of the order log.

use std::fmt;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use tanagerford_core::ids::Incarnation;
use tanagerford_core::order::{OrderKey, Owner, Settlement};
use tanagerford_kv::kv::Kv;
use tanagerford_sync::lock;

use super::{
    ClaimDecision, OrderClock, OrderCounts, OrderLogCore, OrderRequest, OrderSettings, OrderStatus,
    SettleOutcome, StoredResponse, Ticket, UnsettledOrder,
};

/// Signal that wakes or stops the writer thread.
#[derive(Debug, Default)]
struct WriterWake {
    state: Mutex<WakeState>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct WakeState {
    is_pending: bool,
    is_stopping: bool,
}

impl WriterWake {
    fn signal(&self, stop: bool) {
        let mut state = lock(&self.state);
        state.is_pending = true;
        state.is_stopping |= stop;
        self.changed.notify_all();
    }

    /// Waits for a signal, at most `wait`. Returns whether the thread must stop.
    fn wait(&self, wait: Option<Duration>) -> bool {
        let idle = |state: &mut WakeState| !state.is_pending;
        let state = lock(&self.state);
        let mut state = match wait {
            Some(wait) => {
                let waited = self.changed.wait_timeout_while(state, wait, idle);
                waited.unwrap_or_else(PoisonError::into_inner).0
            }
            None => self
                .changed
                .wait_while(state, idle)
                .unwrap_or_else(PoisonError::into_inner),
        };
        state.is_pending = false;
        state.is_stopping
    }
}

/// Order log of a sidecar. Any number of threads can call it.
///
/// A sidecar sends an order to its backend server only after [`OrderLog::claim`] has returned [`ClaimDecision::Run`].
/// It then calls [`OrderLog::finish`] with the response, or [`OrderLog::abandon`] if the call was certainly not sent.
/// If neither is certain, it calls [`OrderLog::mark_response_lost`], and the order stays unknown until an operator
/// settles it.
///
/// ```
/// use std::sync::Arc;
/// use std::time::Duration;
/// use tanagerford_core::order::{OrderKey, Owner, body_digest};
/// use tanagerford_node::orders::{
///     ClaimDecision, OrderLog, OrderRequest, OrderSettings, OrderStatus, StoredResponse,
/// };
/// use tanagerford_kv::memory::Memory;
///
/// let owner = Owner { server: "w1".into(), incarnation: 1 };
/// let log = OrderLog::start(Arc::new(Memory::new()), OrderSettings::new("plates", owner));
/// let order = OrderRequest {
///     key: OrderKey::new("north", "burn-17"),
///     body: body_digest("POST", "/burn", b"plate 17"),
///     released: None,
/// };
/// let wait = Duration::from_secs(5);
/// assert!(matches!(log.claim(&order, wait), ClaimDecision::Run(_)));
/// let response = StoredResponse { status: 201, headers: Vec::new(), body: "burnt".into() };
/// assert!(log.finish(&order.key, response));
/// assert!(matches!(log.claim(&order, wait), ClaimDecision::Answered(_)));
/// assert!(matches!(log.query(&order.key), OrderStatus::Done(Some(_))));
/// assert_eq!(log.query(&OrderKey::new("north", "burn-18")), OrderStatus::NotRun);
/// assert!(log.stop(wait));
/// ```
pub struct OrderLog {
    core: Arc<OrderLogCore>,
    wake: Arc<WriterWake>,
    writer: Mutex<Option<JoinHandle<()>>>,
}

impl fmt::Debug for OrderLog {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("OrderLog")
            .field("counts", &self.counts())
            .finish_non_exhaustive()
    }
}

impl OrderLog {
    /// Starts an order log and its writer thread on the system clock.
    #[must_use]
    pub fn start(kv: Arc<dyn Kv>, settings: OrderSettings) -> Self {
        Self::start_with(OrderLogCore::new(kv, settings, OrderClock::system()))
    }

    fn start_with(core: OrderLogCore) -> Self {
        let core = Arc::new(core);
        let wake = Arc::new(WriterWake::default());
        let (thread_core, thread_wake) = (Arc::clone(&core), Arc::clone(&wake));
        let writer = thread::spawn(move || write_until_stopped(&thread_core, &thread_wake));
        Self {
            core,
            wake,
            writer: Mutex::new(Some(writer)),
        }
    }

    /// Claims an order. Blocks at most for `wait`, until the claim is written or refused or the state of an earlier
    /// claim decides.
    pub fn claim(&self, order: &OrderRequest, wait: Duration) -> ClaimDecision {
        let deadline = self.core.clock().now() + wait;
        let mut ticket = Ticket::default();
        loop {
            if let Some(decision) = self.core.try_claim(order, &mut ticket) {
                return decision;
            }
            self.wake.signal(false);
            let now = self.core.clock().now();
            if now >= deadline {
                return self.core.give_up(order, &mut ticket);
            }
            self.core
                .wait(&order.key, &ticket, deadline.saturating_sub(now));
        }
    }

    /// Records that an order has run, and stores its response. `None` means that the response is too long or
    /// incomplete. Returns false if the order was not running.
    pub fn finish(&self, key: &OrderKey, response: impl Into<Option<StoredResponse>>) -> bool {
        let was_running = self.core.finish(key, response);
        self.wake.signal(false);
        was_running
    }

    /// Records that an order was sent but its response was lost. The order stays unknown until an operator settles it.
    /// Returns false if the order was not running.
    pub fn mark_response_lost(&self, key: &OrderKey) -> bool {
        self.core.mark_response_lost(key)
    }

    /// Records that an order was certainly not sent. Returns false if the order was not running.
    pub fn abandon(&self, key: &OrderKey) -> bool {
        let was_running = self.core.abandon(key);
        self.wake.signal(false);
        was_running
    }

    /// Returns the state of an order for another process. After [`OrderStatus::NotRun`], this sidecar refuses the
    /// order.
    pub fn query(&self, key: &OrderKey) -> OrderStatus {
        self.core.query(key)
    }

    /// Sets the shards that this sidecar owns. Their pages are read before the first order arrives.
    pub fn set_owned_shards(&self, shards: &[u32]) {
        self.core.set_owned_shards(shards);
        self.wake.signal(false);
    }

    /// Records that `server` runs with `incarnation`, so that its earlier incarnations are gone.
    pub fn observe_alive(&self, server: &str, incarnation: Incarnation) {
        self.core.observe_alive(server, incarnation);
    }

    /// Records that `owner` is gone and will never run an order again.
    pub(crate) fn observe_gone(&self, owner: &Owner) {
        self.core.observe_gone(owner);
    }

    /// Returns the unfinished orders that other processes claimed, and own orders whose response was lost, in the
    /// shards that were read.
    #[must_use]
    pub fn unsettled(&self) -> Vec<UnsettledOrder> {
        self.core.unsettled()
    }

    /// Writes an operator's settlement of an order whose result is unknown. Blocks at most for `wait`.
    pub fn settle(&self, key: &OrderKey, settlement: Settlement, wait: Duration) -> SettleOutcome {
        let deadline = self.core.clock().now() + wait;
        let mut ticket = match self.core.begin_settle(key, settlement) {
            Ok(ticket) => ticket,
            Err(outcome) => return outcome,
        };
        loop {
            if let Some(outcome) = self.core.try_settle(key, &mut ticket) {
                return outcome;
            }
            self.wake.signal(false);
            let now = self.core.clock().now();
            if now >= deadline {
                return self.core.give_up_settle(key, &mut ticket);
            }
            self.core.wait(key, &ticket, deadline.saturating_sub(now));
        }
    }

    /// Returns the counts since the start, and the current sizes.
    #[must_use]
    pub fn counts(&self) -> OrderCounts {
        self.core.counts()
    }

    /// Refuses new claims, waits at most `wait` until the queued changes are written, and stops the writer. Returns
    /// whether all changes were written. Orders in flight must be finished first.
    pub fn stop(&self, wait: Duration) -> bool {
        self.core.stop_claims();
        self.wake.signal(false);
        let deadline = self.core.clock().now() + wait;
        while !self.core.is_flushed() && self.core.clock().now() < deadline {
            thread::sleep(Duration::from_millis(5));
        }
        let is_flushed = self.core.is_flushed();
        self.wake.signal(true);
        if let Some(writer) = lock(&self.writer).take() {
            let _ = writer.join();
        }
        is_flushed
    }
}

impl Drop for OrderLog {
    fn drop(&mut self) {
        self.wake.signal(true);
        if let Some(writer) = lock(&self.writer).take() {
            let _ = writer.join();
        }
    }
}

fn write_until_stopped(core: &OrderLogCore, wake: &WriterWake) {
    loop {
        let due_at = core.step();
        let wait = due_at.map(|due_at| due_at.saturating_sub(core.clock().now()));
        if wake.wait(wait) {
            return;
        }
    }
}

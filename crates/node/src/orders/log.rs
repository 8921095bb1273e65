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
    ClaimDecision, KeptAnswer, OrderBook, OrderClock, OrderCounts, OrderRequest, OrderSettings,
    OrderStatus, SettleOutcome, Ticket, UnsettledOrder,
};

/// Wakes the writer thread.
#[derive(Debug, Default)]
struct Wake {
    state: Mutex<WakeState>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct WakeState {
    pending: bool,
    stop: bool,
}

impl Wake {
    fn signal(&self, stop: bool) {
        let mut state = lock(&self.state);
        state.pending = true;
        state.stop |= stop;
        self.changed.notify_all();
    }

    /// Waits for a signal, at most `wait`; returns whether the thread is to stop.
    fn wait(&self, wait: Option<Duration>) -> bool {
        let idle = |state: &mut WakeState| !state.pending;
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
        state.pending = false;
        state.stop
    }
}

/// Order log of a sidecar. All methods may be called by any thread.
///
/// A sidecar calls [`OrderLog::claim`] before it sends an order to its backend server, and sends it only after
/// [`ClaimDecision::Run`]. It then calls [`OrderLog::finish`] with the answer, or [`OrderLog::abandon`] if the call was
/// certainly not sent. If neither is certain it calls [`OrderLog::lose`]: the order then stays unknown.
///
/// ```
/// use std::sync::Arc;
/// use std::time::Duration;
/// use tanagerford_core::order::{OrderKey, Owner, body_digest};
/// use tanagerford_node::orders::{
///     ClaimDecision, KeptAnswer, OrderLog, OrderRequest, OrderSettings, OrderStatus,
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
/// let answer = KeptAnswer { status: 201, headers: Vec::new(), body: "burnt".into() };
/// assert!(log.finish(&order.key, answer));
/// assert!(matches!(log.claim(&order, wait), ClaimDecision::Answered(_)));
/// assert!(matches!(log.query(&order.key), OrderStatus::Done(Some(_))));
/// assert_eq!(log.query(&OrderKey::new("north", "burn-18")), OrderStatus::NotRun);
/// assert!(log.stop(wait));
/// ```
pub struct OrderLog {
    book: Arc<OrderBook>,
    wake: Arc<Wake>,
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
    /// Starts an order log on the clock of the machine.
    #[must_use]
    pub fn start(kv: Arc<dyn Kv>, settings: OrderSettings) -> Self {
        Self::start_with(OrderBook::new(kv, settings, OrderClock::system()))
    }

    fn start_with(book: OrderBook) -> Self {
        let book = Arc::new(book);
        let wake = Arc::new(Wake::default());
        let (thread_book, thread_wake) = (Arc::clone(&book), Arc::clone(&wake));
        let writer = thread::spawn(move || write_until_stopped(&thread_book, &thread_wake));
        Self {
            book,
            wake,
            writer: Mutex::new(Some(writer)),
        }
    }

    /// Claims an order, waiting at most `wait` for its claim or for the answer of its earlier run.
    pub fn claim(&self, order: &OrderRequest, wait: Duration) -> ClaimDecision {
        let give_up_at = self.book.clock().now() + wait;
        let mut ticket = Ticket::default();
        loop {
            if let Some(decision) = self.book.try_claim(order, &mut ticket) {
                return decision;
            }
            self.wake.signal(false);
            let now = self.book.clock().now();
            if now >= give_up_at {
                return self.book.give_up(order, &mut ticket);
            }
            self.book
                .wait(&order.key, &ticket, give_up_at.saturating_sub(now));
        }
    }

    /// Notes that an order was run, and keeps its answer unless it is `None`, too large to be kept. Returns false if the
    /// order was not running.
    pub fn finish(&self, key: &OrderKey, answer: impl Into<Option<KeptAnswer>>) -> bool {
        let finished = self.book.finish(key, answer);
        self.wake.signal(false);
        finished
    }

    /// Notes that an order was sent and that its answer was lost: it stays unknown until an operator settles it. Returns
    /// false if the order was not running.
    pub fn lose(&self, key: &OrderKey) -> bool {
        self.book.lose(key)
    }

    /// Notes that an order was certainly not sent. Returns false if the order was not running.
    pub fn abandon(&self, key: &OrderKey) -> bool {
        let abandoned = self.book.abandon(key);
        self.wake.signal(false);
        abandoned
    }

    /// Answers another process that asks about an order. Not-run is made true before it is said.
    pub fn query(&self, key: &OrderKey) -> OrderStatus {
        self.book.query(key)
    }

    /// Takes over these shards: their pages are read ahead of the first order.
    pub fn own_shards(&self, shards: &[u32]) {
        self.book.own_shards(shards);
        self.wake.signal(false);
    }

    /// Notes that `server` runs with `incarnation`; its earlier incarnations are gone.
    pub fn observe_alive(&self, server: &str, incarnation: Incarnation) {
        self.book.observe_alive(server, incarnation);
    }

    /// Notes that this process is gone and will never run an order again.
    pub fn observe_gone(&self, owner: &Owner) {
        self.book.observe_gone(owner);
    }

    /// Lists orders that other processes claimed and that are not known to be finished.
    #[must_use]
    pub fn unsettled(&self) -> Vec<UnsettledOrder> {
        self.book.unsettled()
    }

    /// Writes an operator's statement about an order whose sidecar is gone, waiting at most `wait`.
    pub fn settle(&self, key: &OrderKey, how: Settlement, wait: Duration) -> SettleOutcome {
        let give_up_at = self.book.clock().now() + wait;
        let mut ticket = match self.book.begin_settle(key, how) {
            Ok(ticket) => ticket,
            Err(outcome) => return outcome,
        };
        loop {
            if let Some(outcome) = self.book.try_settle(key, &mut ticket) {
                return outcome;
            }
            self.wake.signal(false);
            let now = self.book.clock().now();
            if now >= give_up_at {
                return self.book.give_up_settle(key, &mut ticket);
            }
            self.book.wait(key, &ticket, give_up_at.saturating_sub(now));
        }
    }

    /// Returns the counts.
    #[must_use]
    pub fn counts(&self) -> OrderCounts {
        self.book.counts()
    }

    /// Refuses new claims, writes what waits for at most `wait`, and stops the writer. Returns whether everything was
    /// written. Orders in flight are to be finished before.
    pub fn stop(&self, wait: Duration) -> bool {
        self.book.stop_claims();
        self.wake.signal(false);
        let give_up_at = self.book.clock().now() + wait;
        while !self.book.is_flushed() && self.book.clock().now() < give_up_at {
            thread::sleep(Duration::from_millis(5));
        }
        let flushed = self.book.is_flushed();
        self.wake.signal(true);
        if let Some(writer) = lock(&self.writer).take() {
            let _ = writer.join();
        }
        flushed
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

fn write_until_stopped(book: &OrderBook, wake: &Wake) {
    loop {
        let due_at = book.step();
        let wait = due_at.map(|due_at| due_at.saturating_sub(book.clock().now()));
        if wake.wait(wait) {
            return;
        }
    }
}

//! Measures the scheduling delay of this entry's processor, and limits the admitted calls while it is short of
//! processor time.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

use tanagerford_core::dispatch::{
    Arrival, ArrivingCall, OverloadGate, PROBE_INTERVAL, ShedReason, WaiterNumber,
};
use tanagerford_sync::lock;
use tokio::runtime::Handle;
use tokio::time::sleep;

use crate::call::Call;
use crate::metrics::Metrics;

/// Minimum persistent delay that is logged as a shortage of processor time. A call that ends late by twice this time
/// violates the platform's rules.
const SHORTAGE_START_DELAY: Duration = Duration::from_millis(250);
/// Persistent delay below which the shortage is over. The distance from [`SHORTAGE_START_DELAY`] avoids a log line for
/// every small change.
const SHORTAGE_END_DELAY: Duration = Duration::from_millis(50);

/// Delay of the entry's processor, with the admission of calls that depends on it.
#[derive(Debug)]
pub(crate) struct ProcessorMonitor {
    started: Instant,
    admission: Mutex<Admission>,
    /// Admitted calls that have not ended.
    in_flight: AtomicUsize,
    refused: AtomicU64,
    is_busy: AtomicBool,
}

/// Admission control with the calls that wait for its decisions.
#[derive(Debug, Default)]
struct Admission {
    gate: OverloadGate,
    waiting: HashMap<WaiterNumber, async_channel::Sender<Decision>>,
}

/// Guard of an admitted call, or reason of a refusal.
type Decision = Result<AdmissionGuard, ShedReason>;

/// Place of a call in the queue.
struct Waiter {
    number: WaiterNumber,
    decision: async_channel::Receiver<Decision>,
}

/// Counts an admitted call as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct AdmissionGuard(Arc<ProcessorMonitor>);

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.0.settle();
    }
}

/// Removes a waiting call from the queue on drop, for example because its caller has disconnected.
struct WaiterGuard<'a> {
    processor: &'a ProcessorMonitor,
    number: WaiterNumber,
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        let mut admission = lock(&self.processor.admission);
        admission.waiting.remove(&self.number);
        admission.gate.leave(self.number);
    }
}

/// Period in which the entry is short of processor time.
#[derive(Debug, Clone, Copy)]
struct Shortage {
    since: Instant,
    longest_delay: Duration,
    /// Value of [`ProcessorMonitor::refused`] at the start of the shortage.
    refused_before: u64,
}

impl ProcessorMonitor {
    /// Starts to measure in a task, which ends after the last reference to the monitor is dropped.
    pub(crate) fn start(runtime: &Handle, metrics: Arc<Metrics>) -> Arc<Self> {
        let processor = Arc::new(Self {
            started: Instant::now(),
            admission: Mutex::default(),
            in_flight: AtomicUsize::new(0),
            refused: AtomicU64::new(0),
            is_busy: AtomicBool::new(false),
        });
        runtime.spawn(probe(Arc::downgrade(&processor), metrics));
        processor
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns how long the work that runs now may have waited for the processor.
    pub(crate) fn delay(&self) -> Duration {
        lock(&self.admission).gate.delay().latest(self.now())
    }

    /// Returns whether the processor was overloaded recently.
    pub(crate) fn is_busy(&self) -> bool {
        self.is_busy.load(Ordering::Relaxed)
    }

    /// Waits until a call is admitted; returns a guard that must be kept until the call ends, or the reason of the refusal.
    pub(crate) async fn admit(self: &Arc<Self>, call: &Call) -> Decision {
        let arriving = ArrivingCall {
            rank: call.shedding_rank(),
            // This objective is never shorter than the route's own.
            objective: call.route.lower_ranks_latency,
            remaining: call.deadline().saturating_duration_since(Instant::now()),
        };
        let decision = match self.arrive(arriving) {
            Ok(guard) => Ok(guard),
            Err(waiter) => self.wait_for_decision(waiter).await,
        };
        if decision.is_err() {
            self.refused.fetch_add(1, Ordering::Relaxed);
        }
        decision
    }

    /// Admits an arriving call, or returns its place in the queue.
    fn arrive(self: &Arc<Self>, call: ArrivingCall) -> Result<AdmissionGuard, Waiter> {
        let mut admission = lock(&self.admission);
        let in_flight = self.in_flight.load(Ordering::Relaxed);
        match admission.gate.arrive(self.now(), call, in_flight) {
            Arrival::Admitted => Ok(self.guard()),
            Arrival::Waits(number) => {
                let (sender, decision) = async_channel::bounded(1);
                admission.waiting.insert(number, sender);
                Err(Waiter { number, decision })
            }
        }
    }

    async fn wait_for_decision(self: &Arc<Self>, waiter: Waiter) -> Decision {
        let _guard = WaiterGuard {
            processor: self,
            number: waiter.number,
        };
        // The queue may be full.
        self.settle();
        // The sender is dropped only after a decision.
        let decision = waiter.decision.recv().await;
        decision.unwrap_or(Err(ShedReason::Delay))
    }

    fn guard(self: &Arc<Self>) -> AdmissionGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        AdmissionGuard(Arc::clone(self))
    }

    /// Passes the decisions about waiting calls to them.
    fn settle(self: &Arc<Self>) {
        let mut admission = lock(&self.admission);
        if !admission.gate.has_waiting() {
            return;
        }
        let in_flight = self.in_flight.load(Ordering::Relaxed);
        let settled = admission.gate.settle(self.now(), in_flight).into_iter();
        let decisions: Vec<_> = settled
            .filter_map(|(number, decision)| {
                let sender = admission.waiting.remove(&number)?;
                Some((sender, decision.map(|()| self.guard())))
            })
            .collect();
        // A guard that is not received is dropped, which takes the lock again.
        drop(admission);
        for (sender, decision) in decisions {
            // The receiver is gone if the caller has just disconnected.
            let _ = sender.try_send(decision);
        }
    }

    fn on_probe(&self) -> ProbeResult {
        let now = self.now();
        let gate = &mut lock(&self.admission).gate;
        let delay = gate.on_probe(now, self.in_flight.load(Ordering::Relaxed));
        self.is_busy.store(gate.is_busy(now), Ordering::Relaxed);
        ProbeResult {
            delay,
            persistent_delay: gate.delay().persistent(now),
            refused: self.refused.load(Ordering::Relaxed),
        }
    }
}

/// Result of one probe.
#[derive(Debug, Clone, Copy)]
struct ProbeResult {
    delay: Duration,
    persistent_delay: Duration,
    /// Number of calls refused since the start.
    refused: u64,
}

async fn probe(processor: Weak<ProcessorMonitor>, metrics: Arc<Metrics>) {
    let mut shortage: Option<Shortage> = None;
    while let Some(processor) = processor.upgrade() {
        let result = processor.on_probe();
        processor.settle();
        drop(processor);
        metrics.observe_processor_delay(result.delay);
        shortage = update_shortage(shortage, result);
        sleep(PROBE_INTERVAL).await;
    }
}

/// Logs the beginning and the end of a shortage; returns the shortage that lasts.
fn update_shortage(shortage: Option<Shortage>, result: ProbeResult) -> Option<Shortage> {
    match shortage {
        None if result.persistent_delay >= SHORTAGE_START_DELAY => {
            tracing::warn!(
                delay_ms = result.persistent_delay.as_millis(),
                "short of processor time"
            );
            Some(Shortage {
                since: Instant::now(),
                longest_delay: result.persistent_delay,
                refused_before: result.refused,
            })
        }
        Some(shortage) if result.persistent_delay < SHORTAGE_END_DELAY => {
            tracing::info!(
                lasted_ms = shortage.since.elapsed().as_millis(),
                longest_delay_ms = shortage.longest_delay.as_millis(),
                refused = result.refused - shortage.refused_before,
                "enough processor time again"
            );
            None
        }
        shortage => shortage.map(|shortage| Shortage {
            longest_delay: shortage.longest_delay.max(result.persistent_delay),
            ..shortage
        }),
    }
}

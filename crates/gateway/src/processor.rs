//! Measures the scheduling delay of this entry's processor, and limits the admitted calls while it is short of
//! processor time.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

use tanagerford_core::dispatch::{OverloadGate, PROBE_INTERVAL, ShedReason};
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
    gate: Mutex<OverloadGate>,
    /// Admitted calls that have not ended.
    in_flight: AtomicUsize,
    refused: AtomicU64,
    is_busy: AtomicBool,
}

/// Counts an admitted call as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct AdmissionGuard(Arc<ProcessorMonitor>);

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
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
            gate: Mutex::default(),
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
        lock(&self.gate).delay().latest(self.now())
    }

    /// Returns whether the processor was overloaded recently.
    pub(crate) fn is_busy(&self) -> bool {
        self.is_busy.load(Ordering::Relaxed)
    }

    /// Decides whether a call is admitted; returns a guard that must be kept until the call ends, or the reason of the
    /// refusal.
    pub(crate) fn admit(self: &Arc<Self>, call: &Call) -> Result<AdmissionGuard, ShedReason> {
        // This objective is never shorter than the route's own.
        let objective = call.route.lower_ranks_latency;
        let in_flight = self.in_flight.load(Ordering::Relaxed);
        let rank = call.shedding_rank();
        match lock(&self.gate).admit(self.now(), rank, objective, in_flight) {
            Ok(()) => {
                self.in_flight.fetch_add(1, Ordering::Relaxed);
                Ok(AdmissionGuard(Arc::clone(self)))
            }
            Err(reason) => {
                self.refused.fetch_add(1, Ordering::Relaxed);
                Err(reason)
            }
        }
    }

    fn on_probe(&self) -> ProbeResult {
        let now = self.now();
        let mut gate = lock(&self.gate);
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

//! Measures how late this entry runs, and bounds the work that it takes meanwhile.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

use tanagerford_core::dispatch::{OverloadGate, PROBE_INTERVAL};
use tanagerford_sync::lock;
use tokio::runtime::Handle;
use tokio::time::sleep;

use crate::call::Call;
use crate::metrics::Metrics;

/// Standing delay from which the log says that the entry is short of processor time. A call that is late by twice as much
/// counts as held past its limit.
const SHORT_FROM: Duration = Duration::from_millis(250);
/// Standing delay below which it has enough again. The distance keeps the log from a line on every small change.
const SHORT_UNTIL: Duration = Duration::from_millis(50);

/// Processor of an entry.
#[derive(Debug)]
pub(crate) struct Processor {
    started: Instant,
    gate: Mutex<OverloadGate>,
    /// Calls that have entered and not ended.
    flights: AtomicUsize,
    /// Calls that were refused.
    refused: AtomicU64,
}

/// Call that has entered; its drop tells that it has ended.
#[derive(Debug)]
pub(crate) struct Entered(Arc<Processor>);

impl Drop for Entered {
    fn drop(&mut self) {
        self.0.flights.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Time in which the entry is short of processor time.
#[derive(Debug, Clone, Copy)]
struct Shortage {
    since: Instant,
    longest_delay: Duration,
    /// Count of refused calls when it began.
    refused_before: u64,
}

impl Processor {
    /// Starts to measure in a task of the runtime, which ends with the processor's last owner.
    pub(crate) fn start(runtime: &Handle, metrics: Arc<Metrics>) -> Arc<Self> {
        let processor = Arc::new(Self {
            started: Instant::now(),
            gate: Mutex::default(),
            flights: AtomicUsize::new(0),
            refused: AtomicU64::new(0),
        });
        runtime.spawn(probe(Arc::downgrade(&processor), metrics));
        processor
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns how long what runs now may have waited for the processor.
    pub(crate) fn delay(&self) -> Duration {
        lock(&self.gate).delay().latest(self.now())
    }

    /// Decides whether a call enters; returns what has to be kept until it ends.
    pub(crate) fn enter(self: &Arc<Self>, call: &Call) -> Option<Entered> {
        // The table takes the route's own objective into account.
        let objective = call.route.lower_ranks_latency;
        let flights = self.flights.load(Ordering::Relaxed);
        let rank = call.shedding_rank();
        if lock(&self.gate).admits(self.now(), rank, objective, flights) {
            self.flights.fetch_add(1, Ordering::Relaxed);
            Some(Entered(Arc::clone(self)))
        } else {
            self.refused.fetch_add(1, Ordering::Relaxed);
            None
        }
    }

    fn on_probe(&self) -> Probed {
        let now = self.now();
        let mut gate = lock(&self.gate);
        let delay = gate.on_probe(now, self.flights.load(Ordering::Relaxed));
        Probed {
            delay,
            standing: gate.delay().persistent(now),
            refused: self.refused.load(Ordering::Relaxed),
        }
    }
}

/// What a probe finds.
#[derive(Debug, Clone, Copy)]
struct Probed {
    delay: Duration,
    standing: Duration,
    /// Calls that were refused since the start.
    refused: u64,
}

async fn probe(processor: Weak<Processor>, metrics: Arc<Metrics>) {
    let mut shortage: Option<Shortage> = None;
    while let Some(processor) = processor.upgrade() {
        let probed = processor.on_probe();
        drop(processor);
        metrics.processor_delay(probed.delay);
        shortage = follow(shortage, probed);
        sleep(PROBE_INTERVAL).await;
    }
}

/// Logs the begin and the end of a shortage.
fn follow(shortage: Option<Shortage>, probed: Probed) -> Option<Shortage> {
    match shortage {
        None if probed.standing >= SHORT_FROM => {
            tracing::warn!(
                delay_ms = probed.standing.as_millis(),
                "short of processor time"
            );
            Some(Shortage {
                since: Instant::now(),
                longest_delay: probed.standing,
                refused_before: probed.refused,
            })
        }
        Some(shortage) if probed.standing < SHORT_UNTIL => {
            tracing::info!(
                lasted_ms = shortage.since.elapsed().as_millis(),
                longest_delay_ms = shortage.longest_delay.as_millis(),
                refused = probed.refused - shortage.refused_before,
                "enough processor time again"
            );
            None
        }
        shortage => shortage.map(|shortage| Shortage {
            longest_delay: shortage.longest_delay.max(probed.standing),
            ..shortage
        }),
    }
}

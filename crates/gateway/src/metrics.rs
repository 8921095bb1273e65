//! Counters and latency histograms of an entry.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Metric, Registry};
use tanagerford_core::dispatch::Rank;
use tanagerford_core::document::PackedDocument;
use tanagerford_core::ids::ServerId;
use tanagerford_core::server_limit::RequestRate;

use crate::refusal::Refusal;
use crate::request_end::RequestEnd;
use crate::table::Version;

/// Upper bounds of the buckets of the processor delay, in seconds.
const DELAY_BUCKETS_S: [f64; 8] = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0];
/// Upper bounds of the buckets of the time to the first chunk, in seconds.
const LATENCY_BUCKETS_S: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0];

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ReasonLabels {
    reason: &'static str,
}

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct EndLabels {
    how: &'static str,
    reason: &'static str,
}

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct SourceLabels {
    source: &'static str,
}

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct PackingLabels {
    packing: &'static str,
}

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct AdmissionLabels {
    rank: u32,
    outcome: &'static str,
}

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ServerLabels {
    server: ServerId,
}

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct VersionLabels {
    version: String,
}

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct EventLabels {
    event: &'static str,
}

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct DecisionLabels {
    decision: &'static str,
}

/// Decision about sending a call once more that may have arrived at a server.
#[derive(Debug, Clone, Copy)]
pub(crate) enum RepeatDecision {
    /// The repeat was deducted from the budget.
    Sent,
    /// The budget is exhausted.
    Denied,
    /// The repeat did not reach a server and was returned to the budget.
    Returned,
}

impl RepeatDecision {
    /// Returns the name of the decision in metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Denied => "denied",
            Self::Returned => "returned",
        }
    }
}

/// What became of a hedge, the second send of a call whose first server was silent.
#[derive(Debug, Clone, Copy)]
pub(crate) enum HedgeEvent {
    /// The hedge was handed to a connection.
    Sent,
    /// Its answer was the first usable one.
    Won,
    /// It was cancelled, since another server answered first or the caller left.
    Cancelled,
    /// The server refused it or failed, or its connection could not be made or broke.
    Failed,
}

impl HedgeEvent {
    /// Returns the name of the event in metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Won => "won",
            Self::Cancelled => "cancelled",
            Self::Failed => "failed",
        }
    }
}

/// Counts a stream among those of its version until it is dropped.
#[derive(Debug)]
pub(crate) struct StreamGuard(Gauge);

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.0.dec();
    }
}

/// What backend servers have asked for.
#[derive(Debug)]
struct ServerMetrics {
    limits: Family<ServerLabels, Gauge<f64, AtomicU64>>,
    at_rest: Gauge<u64, AtomicU64>,
    leaving: Gauge<u64, AtomicU64>,
    invalid_loads: Counter,
    odd_records: Counter,
}

impl ServerMetrics {
    fn register(registry: &mut Registry) -> Self {
        Self {
            limits: register(
                registry,
                "server_limit",
                "requests per second that a backend server takes from all entries together",
            ),
            at_rest: register(
                registry,
                "servers_at_rest",
                "backend servers that asked this entry for a rest which has not ended",
            ),
            leaving: register(
                registry,
                "servers_leaving",
                "backend servers that told this entry that they leave",
            ),
            invalid_loads: register(
                registry,
                "invalid_load_reports",
                "answers of backend servers whose report of their load was ignored, since it was unreadable or absurd",
            ),
            odd_records: register(
                registry,
                "odd_server_records",
                "records of backend servers that lack a field or have one of another type, and are not used",
            ),
        }
    }
}

/// Delays of what the entry learns.
#[derive(Debug)]
struct DelayMetrics {
    link_delay: Gauge<f64, AtomicU64>,
    store_age: Gauge<f64, AtomicU64>,
}

impl DelayMetrics {
    fn register(registry: &mut Registry) -> Self {
        Self {
            link_delay: register(
                registry,
                "link_delay_seconds",
                "time for which what arrives may have waited in front of the link",
            ),
            store_age: register(
                registry,
                "store_age_seconds",
                "time since the entry last knew that no change of the key-value service is missing; -1 if it never knew",
            ),
        }
    }
}

/// Duties that one entry performs for all.
#[derive(Debug)]
struct DutyMetrics {
    events: Family<ReasonLabels, Counter>,
    number: Gauge<u64, AtomicU64>,
}

impl DutyMetrics {
    fn register(registry: &mut Registry) -> Self {
        Self {
            events: register(
                registry,
                "duty_events",
                "steps of the usage report that one entry makes for all, by kind",
            ),
            number: register(
                registry,
                "duty_fencing_number",
                "fencing number under which this entry reports usage; 0 if another one does",
            ),
        }
    }
}

/// Documents that other entries handed on.
#[derive(Debug)]
struct DocumentMetrics {
    received: Family<PackingLabels, Counter>,
    received_bytes: Family<PackingLabels, Counter>,
    decode_seconds: Counter<f64, AtomicU64>,
}

impl DocumentMetrics {
    fn register(registry: &mut Registry) -> Self {
        Self {
            received: register(
                registry,
                "documents_received",
                "documents that other entries handed on, by their packing",
            ),
            received_bytes: register(
                registry,
                "documents_received_bytes",
                "bytes of the documents that other entries handed on, by their packing",
            ),
            decode_seconds: register(
                registry,
                "configuration_decode_seconds",
                "time in which configurations were decoded",
            ),
        }
    }
}

/// Hedges of calls.
#[derive(Debug)]
struct HedgeMetrics {
    events: Family<EventLabels, Counter>,
    denied: Family<ReasonLabels, Counter>,
}

impl HedgeMetrics {
    fn register(registry: &mut Registry) -> Self {
        Self {
            events: register(
                registry,
                "hedges",
                "hedges that were sent, and how they ended",
            ),
            denied: register(
                registry,
                "hedges_denied",
                "hedges that were due and not sent, by reason",
            ),
        }
    }
}

/// Bytes that the entry holds for others.
#[derive(Debug)]
struct MemoryMetrics {
    capacity: Gauge<u64, AtomicU64>,
    used: Gauge<u64, AtomicU64>,
    waiting: Gauge<u64, AtomicU64>,
}

impl MemoryMetrics {
    fn register(registry: &mut Registry) -> Self {
        Self {
            capacity: register(
                registry,
                "memory_budget_bytes",
                "bytes that the entry may hold for others; 0 if the settings state no memory",
            ),
            used: register(
                registry,
                "memory_used_bytes",
                "bytes of bodies and answers that the entry holds for others",
            ),
            waiting: register(
                registry,
                "memory_waiting",
                "bodies that wait for room before they are read",
            ),
        }
    }
}

#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    requests_read: Counter,
    requests_in_flight: AtomicU64,
    requests_ended: Family<EndLabels, Counter>,
    refusals: Family<ReasonLabels, Counter>,
    attempts: Family<ReasonLabels, Counter>,
    repeats: Family<DecisionLabels, Counter>,
    hedges: HedgeMetrics,
    admissions: Family<AdmissionLabels, Counter>,
    first_chunk: Arc<Histogram>,
    processor_delay: Arc<Histogram>,
    deadline_overruns: Counter,
    configurations: Family<SourceLabels, Counter>,
    version: Gauge<u64, AtomicU64>,
    quarantined_parts: Gauge<u64, AtomicU64>,
    servers: ServerMetrics,
    delays: DelayMetrics,
    memory: MemoryMetrics,
    documents: DocumentMetrics,
    duty: DutyMetrics,
    streams: Family<VersionLabels, Gauge>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("tanagerford_gateway");
        let refusals = register(
            &mut registry,
            "refusals",
            "answers of the entry itself, by reason",
        );
        let attempts = register(
            &mut registry,
            "attempts",
            "calls to backend servers, by their end",
        );
        let repeats = register(
            &mut registry,
            "repeats",
            "decisions of the retry budget about calls that may have arrived at a server before",
        );
        let first_chunk = register_histogram(
            &mut registry,
            "first_part_seconds",
            "time from a request's head to the first part of its answer",
            &LATENCY_BUCKETS_S,
        );
        let processor_delay = register_histogram(
            &mut registry,
            "processor_delay_seconds",
            "time for which what was due waited for the processor",
            &DELAY_BUCKETS_S,
        );
        let admissions = register(
            &mut registry,
            "admissions",
            "calls that the entry admitted, or refused for lack of processor time, by rank",
        );
        let deadline_overruns = register(
            &mut registry,
            "past_limit",
            "calls that ended noticeably after their time limit",
        );
        let configurations = register(
            &mut registry,
            "configurations",
            "configurations that came into force, by the way they came",
        );
        let version = register(
            &mut registry,
            "configuration_version",
            "version of the configuration in force",
        );
        let quarantined_parts = register(
            &mut registry,
            "quarantined_parts",
            "prompt parts whose requests are refused because they crash backend servers",
        );
        let servers = ServerMetrics::register(&mut registry);
        let delays = DelayMetrics::register(&mut registry);
        let memory = MemoryMetrics::register(&mut registry);
        let documents = DocumentMetrics::register(&mut registry);
        let duty = DutyMetrics::register(&mut registry);
        let hedges = HedgeMetrics::register(&mut registry);
        let requests_read = register(
            &mut registry,
            "requests_read",
            "requests that were read whole",
        );
        let requests_ended = register(
            &mut registry,
            "requests_ended",
            "requests that were read whole and have ended, by how",
        );
        let streams = register(
            &mut registry,
            "streams",
            "streams in flight, by the software version of their servers",
        );
        Self {
            streams,
            servers,
            delays,
            memory,
            documents,
            duty,
            quarantined_parts,
            deadline_overruns,
            configurations,
            version,
            registry,
            requests_read,
            requests_in_flight: AtomicU64::new(0),
            requests_ended,
            refusals,
            attempts,
            repeats,
            hedges,
            admissions,
            first_chunk,
            processor_delay,
        }
    }
}

/// Registers a histogram with these upper bounds of its buckets.
fn register_histogram(
    registry: &mut Registry,
    name: &str,
    help: &str,
    buckets: &[f64],
) -> Arc<Histogram> {
    let histogram = Histogram::new(buckets.iter().copied());
    registry.register(name, help, histogram.clone());
    Arc::new(histogram)
}

/// Registers a metric that begins at zero.
fn register<M: Metric + Clone + Default>(registry: &mut Registry, name: &str, help: &str) -> M {
    let metric = M::default();
    registry.register(name, help, metric.clone());
    metric
}

impl Metrics {
    pub(crate) fn on_request_read(&self) {
        self.requests_read.inc();
        self.requests_in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of requests that were read whole and have not ended.
    pub(crate) fn requests_in_flight(&self) -> u64 {
        self.requests_in_flight.load(Ordering::Relaxed)
    }

    pub(crate) fn on_request_end(&self, end: RequestEnd) {
        let labels = EndLabels {
            how: end.name(),
            reason: end.reason(),
        };
        self.requests_ended.get_or_create(&labels).inc();
        self.requests_in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    pub(crate) fn on_refusal(&self, refusal: Refusal) {
        let reason = refusal.name();
        self.refusals.get_or_create(&ReasonLabels { reason }).inc();
    }

    pub(crate) fn on_invalid_load(&self) {
        self.servers.invalid_loads.inc();
    }

    pub(crate) fn set_delays(&self, link_delay: Duration, store_age: Option<Duration>) {
        self.delays.link_delay.set(link_delay.as_secs_f64());
        let store_age_s = store_age.map_or(-1.0, |age| age.as_secs_f64());
        self.delays.store_age.set(store_age_s);
    }

    pub(crate) fn on_repeat(&self, decision: RepeatDecision) {
        let decision = decision.name();
        self.repeats
            .get_or_create(&DecisionLabels { decision })
            .inc();
    }

    pub(crate) fn on_hedge(&self, event: HedgeEvent) {
        let event = event.name();
        let events = &self.hedges.events;
        events.get_or_create(&EventLabels { event }).inc();
    }

    pub(crate) fn on_hedge_denied(&self, reason: &'static str) {
        let denied = &self.hedges.denied;
        denied.get_or_create(&ReasonLabels { reason }).inc();
    }

    pub(crate) fn on_attempt(&self, reason: &'static str) {
        self.attempts.get_or_create(&ReasonLabels { reason }).inc();
    }

    pub(crate) fn on_admission(&self, rank: Rank, is_admitted: bool) {
        let labels = AdmissionLabels {
            rank: rank.into(),
            outcome: if is_admitted { "admitted" } else { "refused" },
        };
        self.admissions.get_or_create(&labels).inc();
    }

    pub(crate) fn observe_first_chunk(&self, elapsed: Duration) {
        self.first_chunk.observe(elapsed.as_secs_f64());
    }

    pub(crate) fn on_deadline_overrun(&self) {
        self.deadline_overruns.inc();
    }

    pub(crate) fn on_configuration(&self, source: &'static str, version: Version) {
        self.configurations
            .get_or_create(&SourceLabels { source })
            .inc();
        self.version.set(version);
    }

    pub(crate) fn on_document(&self, document: &PackedDocument) {
        let labels = PackingLabels {
            packing: document.kind(),
        };
        let size = u64::try_from(document.size()).unwrap_or(u64::MAX);
        self.documents.received.get_or_create(&labels).inc();
        self.documents
            .received_bytes
            .get_or_create(&labels)
            .inc_by(size);
    }

    pub(crate) fn on_decoded(&self, took: Duration) {
        self.documents.decode_seconds.inc_by(took.as_secs_f64());
    }

    pub(crate) fn set_quarantined_parts(&self, count: usize) {
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        self.quarantined_parts.set(count);
    }

    /// Counts a stream at a server of a version.
    pub(crate) fn count_stream(&self, version: &str) -> StreamGuard {
        let version = version.to_owned();
        let gauge = self.streams.get_or_create_owned(&VersionLabels { version });
        gauge.inc();
        StreamGuard(gauge)
    }

    /// Replaces the limits of the servers that have one.
    pub(crate) fn set_server_limits(&self, limits: Vec<(ServerId, RequestRate)>) {
        self.servers.limits.clear();
        for (server, rate) in limits {
            let labels = ServerLabels { server };
            self.servers.limits.get_or_create(&labels).set(rate);
        }
    }

    /// Sets the capacity, the bytes in use and the number of bodies that wait.
    pub(crate) fn set_memory(&self, usage: Option<(usize, usize, usize)>) {
        let (capacity, used, waiting) = usage.unwrap_or_default();
        let count = |number| u64::try_from(number).unwrap_or(u64::MAX);
        self.memory.capacity.set(count(capacity));
        self.memory.used.set(count(used));
        self.memory.waiting.set(count(waiting));
    }

    pub(crate) fn on_odd_server_record(&self) {
        self.servers.odd_records.inc();
    }

    /// Sets the numbers of servers at rest and of those that leave.
    pub(crate) fn set_unavailable_servers(&self, (at_rest, leaving): (usize, usize)) {
        let count = |number| u64::try_from(number).unwrap_or(u64::MAX);
        self.servers.at_rest.set(count(at_rest));
        self.servers.leaving.set(count(leaving));
    }

    pub(crate) fn on_duty_event(&self, reason: &'static str) {
        let labels = ReasonLabels { reason };
        self.duty.events.get_or_create(&labels).inc();
    }

    /// Sets the fencing number under which this entry holds a duty; 0 if it does not.
    pub(crate) fn set_duty_number(&self, number: u64) {
        self.duty.number.set(number);
    }

    pub(crate) fn observe_processor_delay(&self, delay: Duration) {
        self.processor_delay.observe(delay.as_secs_f64());
    }

    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            tracing::warn!(%error, "cannot encode the metrics");
        }
        text
    }
}

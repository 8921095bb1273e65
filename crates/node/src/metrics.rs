//! Metrics of entries and sidecars in the `OpenMetrics` text format.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::{Family, MetricConstructor};
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the latency buckets, in seconds. They include the latency targets of a full-size deployment, 0.5 s
/// and 0.038 s.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.038, 0.1, 0.25, 0.5, 1.0, 5.0, 30.0,
];

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    pub class: String,
    pub tier: u32,
    /// `complete`, `cut`, or the code of the refusal.
    pub result: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ClassLabels {
    pub class: String,
    pub tier: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct WasteLabels {
    /// `cancelled`, `preempted` or `failed`.
    pub reason: String,
}

/// Constructor of histograms with [`LATENCY_BUCKETS_S`].
#[derive(Debug, Clone)]
pub struct LatencyHistogram;

impl MetricConstructor<Histogram> for LatencyHistogram {
    fn new_metric(&self) -> Histogram {
        Histogram::new(LATENCY_BUCKETS_S)
    }
}

type LatencyFamily = Family<ClassLabels, Histogram, LatencyHistogram>;

#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Ended requests, by result.
    pub requests: Family<RequestLabels, Counter>,
    /// Requests that met the latency target of their class. Divided by all ended requests, they give the attainment.
    pub on_target: Family<ClassLabels, Counter>,
    /// Time to the first token, or to the complete answer of a service call.
    pub first_answer: LatencyFamily,
    /// Attempts of a request after its first one, without those that resume a stream.
    pub retries: Counter,
    /// Attempts that resume a stream on another backend server.
    pub resumes: Counter,
    pub tokens: Counter,
    /// Tokens that were generated and not delivered.
    pub wasted_tokens: Family<WasteLabels, Counter>,
    pub crashes: Counter,
    pub generation: Gauge<u64, AtomicU64>,
    /// Number of orders whose outcome is not known.
    pub unknown_orders: Gauge<u64, AtomicU64>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("tanagerford"),
            requests: Family::default(),
            on_target: Family::default(),
            first_answer: Family::new_with_constructor(LatencyHistogram),
            retries: Counter::default(),
            resumes: Counter::default(),
            tokens: Counter::default(),
            wasted_tokens: Family::default(),
            crashes: Counter::default(),
            generation: Gauge::default(),
            unknown_orders: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    /// Returns all metrics as `OpenMetrics` text.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut output = String::new();
        if text::encode(&mut output, &self.registry).is_err() {
            tracing::error!("cannot encode the metrics");
        }
        output
    }

    /// Counts a request that ended.
    pub fn count_request(&self, class: &str, tier: u8, result: &str) {
        let labels = RequestLabels {
            class: class.to_owned(),
            tier: u32::from(tier),
            result: result.to_owned(),
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Records the time to the first token, or to the complete answer of a service call, and whether it met the target.
    pub fn observe_first_answer(&self, class: &str, tier: u8, latency: Duration, target: Duration) {
        let labels = ClassLabels {
            class: class.to_owned(),
            tier: u32::from(tier),
        };
        self.first_answer
            .get_or_create(&labels)
            .observe(latency.as_secs_f64());
        if latency <= target {
            self.on_target.get_or_create(&labels).inc();
        }
    }

    /// Counts tokens that were generated and not delivered.
    pub fn count_wasted_tokens(&self, reason: &str, tokens: u64) {
        let labels = WasteLabels {
            reason: reason.to_owned(),
        };
        self.wasted_tokens.get_or_create(&labels).inc_by(tokens);
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests by result", self.requests.clone());
        registry.register(
            "on_target",
            "Requests that met their latency target",
            self.on_target.clone(),
        );
        registry.register(
            "first_answer_seconds",
            "Time to the first token or the whole answer",
            self.first_answer.clone(),
        );
        registry.register(
            "retries",
            "Attempts beyond the first of a request",
            self.retries.clone(),
        );
        registry.register(
            "resumes",
            "Streams resumed on another backend server",
            self.resumes.clone(),
        );
        registry.register("tokens", "Tokens generated", self.tokens.clone());
        registry.register(
            "wasted_tokens",
            "Tokens generated and not delivered",
            self.wasted_tokens.clone(),
        );
        registry.register(
            "crashes",
            "Crashes of the backend server",
            self.crashes.clone(),
        );
        registry.register(
            "config_generation",
            "Configuration generation in use",
            self.generation.clone(),
        );
        registry.register(
            "unknown_orders",
            "Orders whose outcome is not known",
            self.unknown_orders.clone(),
        );
    }
}

//! Counters and latency histograms of an entry.

use std::sync::Arc;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::refusal::Refusal;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0];

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct Reason {
    reason: &'static str,
}

#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    refusals: Family<Reason, Counter>,
    attempts: Family<Reason, Counter>,
    first_part: Arc<Histogram>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("tanagerford_gateway");
        let refusals = Family::<Reason, Counter>::default();
        let attempts = Family::<Reason, Counter>::default();
        let first_part = Histogram::new(LATENCY_BUCKETS);
        registry.register(
            "refusals",
            "answers of the entry itself, by reason",
            refusals.clone(),
        );
        registry.register(
            "attempts",
            "calls to backend servers, by their end",
            attempts.clone(),
        );
        registry.register(
            "first_part_seconds",
            "time from a request's head to the first part of its answer",
            first_part.clone(),
        );
        Self {
            registry,
            refusals,
            attempts,
            first_part: Arc::new(first_part),
        }
    }
}

impl Metrics {
    pub(crate) fn refused(&self, refusal: Refusal) {
        let reason = refusal.name();
        self.refusals.get_or_create(&Reason { reason }).inc();
    }

    pub(crate) fn attempt(&self, reason: &'static str) {
        self.attempts.get_or_create(&Reason { reason }).inc();
    }

    pub(crate) fn first_part(&self, elapsed: Duration) {
        self.first_part.observe(elapsed.as_secs_f64());
    }

    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            tracing::warn!(%error, "cannot encode the metrics");
        }
        text
    }
}

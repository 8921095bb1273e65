//! Samples of a measurement.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Shortest time that is told apart, in nanoseconds.
const LOWEST_NS: u64 = 1;

/// Longest time that is recorded as such, in nanoseconds; longer ones count as this. A histogram without bounds cuts
/// times at 2 us when it saturates.
const HIGHEST_NS: u64 = 60_000_000_000;

/// What the callers saw.
#[derive(Debug)]
pub struct Samples {
    /// Times in nanoseconds.
    pub latency: Histogram<u64>,
    /// Times from the request to the first token, in nanoseconds.
    pub first_token: Histogram<u64>,
    /// Times between tokens, in nanoseconds.
    pub gap: Histogram<u64>,
    /// Time that the measurement took.
    pub elapsed: Duration,
    /// Processor time that the whole process took meanwhile.
    pub cpu: Duration,
}

impl Default for Samples {
    fn default() -> Self {
        let histogram =
            || Histogram::new_with_bounds(LOWEST_NS, HIGHEST_NS, 3).expect("valid bounds");
        Self {
            latency: histogram(),
            first_token: histogram(),
            gap: histogram(),
            elapsed: Duration::ZERO,
            cpu: Duration::ZERO,
        }
    }
}

impl Samples {
    pub fn record_latency(&mut self, time: Duration) {
        record(&mut self.latency, time);
    }

    pub fn record_first_token(&mut self, time: Duration) {
        record(&mut self.first_token, time);
    }

    pub fn record_gap(&mut self, time: Duration) {
        record(&mut self.gap, time);
    }

    pub fn add(&mut self, other: &Self) {
        for (mine, theirs) in [
            (&mut self.latency, &other.latency),
            (&mut self.first_token, &other.first_token),
            (&mut self.gap, &other.gap),
        ] {
            mine.add(theirs).expect("bounds are the same");
        }
        self.elapsed += other.elapsed;
        self.cpu += other.cpu;
    }

    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
    pub fn per_second(&self) -> f64 {
        self.latency.len() as f64 / self.elapsed.as_secs_f64()
    }

    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
    pub fn cpu_us_per_request(&self) -> f64 {
        self.cpu.as_secs_f64() * 1e6 / self.latency.len() as f64
    }
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    let nanoseconds = u64::try_from(time.as_nanos()).unwrap_or(u64::MAX);
    histogram.saturating_record(nanoseconds);
}

/// Returns a quantile in milliseconds.
#[expect(
    clippy::cast_precision_loss,
    reason = "latencies are far below 2^52 ns"
)]
pub fn milliseconds(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1e6
}

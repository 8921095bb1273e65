//! Latency histograms and processor time of a measurement.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Lower bound of the histograms.
const MIN_RECORDED_NS: u64 = 1;

/// Upper bound of the histograms; longer times are recorded as this value. A histogram that is created without bounds
/// would clamp all times to about 2 us, because `saturating_record` clamps instead of resizing.
const MAX_RECORDED_NS: u64 = 60_000_000_000;

/// Results of one or several runs of a job.
#[derive(Debug)]
pub struct Samples {
    /// Times from sending a request to the end of its response, in nanoseconds. For paced requests they start at the
    /// scheduled time.
    pub latency: Histogram<u64>,
    /// Times from sending a request to the first token, in nanoseconds.
    pub first_token: Histogram<u64>,
    /// Times between consecutive tokens, in nanoseconds.
    pub token_gap: Histogram<u64>,
    /// Duration of the runs.
    pub elapsed: Duration,
    /// Processor time of the whole process during the runs.
    pub cpu: Duration,
}

impl Default for Samples {
    fn default() -> Self {
        let histogram = || {
            Histogram::new_with_bounds(MIN_RECORDED_NS, MAX_RECORDED_NS, 3)
                .expect("the bounds are valid")
        };
        Self {
            latency: histogram(),
            first_token: histogram(),
            token_gap: histogram(),
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

    pub fn record_token_gap(&mut self, time: Duration) {
        record(&mut self.token_gap, time);
    }

    /// Adds the samples, the duration and the processor time of another run.
    pub fn add(&mut self, other: &Self) {
        for (own, added) in [
            (&mut self.latency, &other.latency),
            (&mut self.first_token, &other.first_token),
            (&mut self.token_gap, &other.token_gap),
        ] {
            own.add(added)
                .expect("both histograms have the same bounds");
        }
        self.elapsed += other.elapsed;
        self.cpu += other.cpu;
    }

    /// Returns the number of completed requests per second.
    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
    pub fn requests_per_second(&self) -> f64 {
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

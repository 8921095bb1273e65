//! Tests of the latency samples of the benchmark `path`.

#[allow(dead_code, reason = "the tests use a part of the samples")]
#[path = "../examples/path/samples.rs"]
mod samples;

use std::time::Duration;

use samples::{Samples, milliseconds};

/// Guards against a histogram that clamps all times to its initial upper bound, which reported every latency as 0.002
/// ms.
#[test]
fn times_up_to_a_minute_are_recorded_as_they_are() {
    for time in [
        Duration::from_micros(50),
        Duration::from_millis(7),
        Duration::from_secs(59),
    ] {
        let mut slice = Samples::default();
        slice.record_latency(time);
        let mut all = Samples::default();
        all.add(&slice);
        let expected = time.as_secs_f64() * 1e3;
        let recorded = milliseconds(&all.latency, 0.5);
        assert!((recorded / expected - 1.0).abs() < 0.002, "{recorded}");
    }
}

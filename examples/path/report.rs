//! Printed tables of the results, as Markdown.

use std::time::Duration;

use hdrhistogram::Histogram;

use crate::fleet::{ENGINES, Fleet, SERVICES};
use crate::samples::{Samples, milliseconds};

/// Quantiles that the tables show.
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

pub fn print_setup(fleet: &Fleet) {
    println!(
        "One process, one machine, loopback: callers, 1 entry ({}), {} sidecars, {ENGINES} stand-in engines and \
         {SERVICES} stand-in services, all without delays unless told.",
        fleet.entry_address(),
        ENGINES + SERVICES
    );
    println!(
        "Each caller is a thread with a kept connection. \"direct\" goes to the stand-ins, \"routed\" through entry and \
         sidecar."
    );
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    println!(
        "Load average at the start: {} on {} cores.",
        load.trim(),
        std::thread::available_parallelism().map_or(0, usize::from)
    );
}

pub fn print_request_header(title: &str) {
    println!("\n{title}\n");
    println!("| callers | ms | direct | routed | added | ratio |");
    println!("| --- | --- | --- | --- | --- | --- |");
}

pub fn print_requests(callers: u32, direct: &Samples, routed: &Samples) {
    print_times(
        &callers.to_string(),
        "latency",
        &direct.latency,
        &routed.latency,
    );
    let (direct_us, routed_us) = (direct.cpu_us_per_request(), routed.cpu_us_per_request());
    println!(
        "| {callers} | CPU us/request | {direct_us:.0} | {routed_us:.0} | {:+.0} | {:.2} |",
        routed_us - direct_us,
        routed_us / direct_us
    );
    let (direct, routed) = (direct.requests_per_second(), routed.requests_per_second());
    println!(
        "| {callers} | requests/s | {direct:.0} | {routed:.0} | | {:.2} |",
        routed / direct
    );
}

pub fn print_stream_header(tokens: u32, gap: Duration) {
    println!("\nstreams of {tokens} tokens, {gap:?} from the engine for each\n");
    println!("| callers | ms | direct | routed | added | ratio |");
    println!("| --- | --- | --- | --- | --- | --- |");
}

pub fn print_streams(callers: u32, direct: &Samples, routed: &Samples) {
    let label = callers.to_string();
    print_times(
        &label,
        "first token",
        &direct.first_token,
        &routed.first_token,
    );
    print_times(
        &label,
        "between tokens",
        &direct.token_gap,
        &routed.token_gap,
    );
}

fn print_times(label: &str, metric: &str, direct: &Histogram<u64>, routed: &Histogram<u64>) {
    for quantile in QUANTILES {
        let (direct, routed) = (
            milliseconds(direct, quantile),
            milliseconds(routed, quantile),
        );
        println!(
            "| {label} | {metric} {} | {direct:.3} | {routed:.3} | {:+.3} | {:.2} |",
            percentile(quantile),
            routed - direct,
            routed / direct
        );
    }
}

fn percentile(quantile: f64) -> String {
    if quantile > 0.5 {
        format!("p{:.0}", quantile * 100.0)
    } else {
        "median".to_owned()
    }
}

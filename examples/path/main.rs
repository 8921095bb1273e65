//! Benchmarks the request path over loopback: compares requests that go directly to the stand-ins with requests that
//! are routed through entry and sidecar.
//!
//! Usage: `cargo run --release --example path [-- --seconds N] [--only short|paced|call|stream]`. Callers, entry,
//! sidecars and stand-ins are threads of a single process. Direct and routed time slices alternate, so that other load
//! on the machine affects both equally.

mod fleet;
mod load;
mod report;
mod samples;

use std::time::Duration;

use getopts::Options;

use fleet::Fleet;
use load::{Job, Kind, Target};
use samples::Samples;

/// Number of rounds per measurement. Each consists of one direct and one routed time slice.
const ROUNDS: u32 = 4;

/// Total request rate of the paced measurement, which is the throughput target.
const PACED_REQUESTS_PER_SECOND: u32 = 5_000;

/// Number of tokens of a streamed response.
const STREAM_TOKENS: u32 = 32;

/// Time between the tokens of a streamed response.
const STREAM_GAP: Duration = Duration::from_millis(2);

/// Numbers of concurrent callers of the closed-loop measurements.
const CALLER_COUNTS: [u32; 3] = [1, 16, 64];

fn main() -> std::process::ExitCode {
    let mut options = Options::new();
    options.optopt("", "seconds", "time per row and way (default 2)", "N");
    options.optopt("", "only", "run only short, paced, call or stream", "PART");
    match run(&options) {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}\n{}", options.usage("Usage: path [options]"));
            std::process::ExitCode::from(2)
        }
    }
}

fn run(options: &Options) -> Result<(), String> {
    let matches = options
        .parse(std::env::args().skip(1))
        .map_err(|error| error.to_string())?;
    let seconds = matches
        .opt_get_default("seconds", 2.0_f64)
        .map_err(|error| format!("--seconds: {error}"))?;
    let slice = Duration::try_from_secs_f64(seconds).map_err(|error| error.to_string())? / ROUNDS;
    let only = matches.opt_str("only");
    let is_selected = |part: &str| only.as_deref().is_none_or(|only| only == part);
    // Production logs at this level, so the cost of formatting log lines is part of the path. The output is discarded.
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_max_level(tracing::Level::INFO)
        .with_writer(std::io::sink)
        .init();
    let fleet = Fleet::start()?;
    report::print_setup(&fleet);
    if is_selected("short") {
        report::print_request_header("short requests (1 token, not streamed), closed loop");
        for callers in CALLER_COUNTS {
            print_requests(&fleet, &Job::closed_loop(Kind::Short, callers), slice)?;
        }
    }
    if is_selected("paced") {
        report::print_request_header("short requests, 64 callers, 5,000 requests/s in total");
        let interval = Duration::from_secs(64) / PACED_REQUESTS_PER_SECOND;
        print_requests(&fleet, &Job::paced(Kind::Short, 64, interval), slice)?;
    }
    if is_selected("call") {
        report::print_request_header("plain service calls, closed loop");
        for callers in CALLER_COUNTS {
            print_requests(&fleet, &Job::closed_loop(Kind::Call, callers), slice)?;
        }
    }
    if is_selected("stream") {
        fleet.set_token_gap(STREAM_GAP);
        report::print_stream_header(STREAM_TOKENS, STREAM_GAP);
        for callers in CALLER_COUNTS {
            let job = Job::closed_loop(
                Kind::Stream {
                    tokens: STREAM_TOKENS,
                },
                callers,
            );
            let (direct, routed) = measure(&fleet, &job, slice)?;
            report::print_streams(callers, &direct, &routed);
        }
    }
    Ok(())
}

fn print_requests(fleet: &Fleet, job: &Job, slice: Duration) -> Result<(), String> {
    let (direct, routed) = measure(fleet, job, slice)?;
    report::print_requests(job.callers, &direct, &routed);
    Ok(())
}

/// Runs a job in alternating direct and routed time slices after a warm-up of both, and returns the direct and the
/// routed samples.
fn measure(fleet: &Fleet, job: &Job, slice: Duration) -> Result<(Samples, Samples), String> {
    let mut callers = [
        load::callers(fleet, job, Target::Direct),
        load::callers(fleet, job, Target::Routed),
    ];
    for callers in &mut callers {
        load::run(callers, job, slice / 4)?;
    }
    let mut samples = [Samples::default(), Samples::default()];
    for _ in 0..ROUNDS {
        for (callers, samples) in callers.iter_mut().zip(&mut samples) {
            samples.add(&load::run(callers, job, slice)?);
        }
    }
    let [direct, routed] = samples;
    Ok((direct, routed))
}

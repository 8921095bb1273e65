//! Compares three scheduling policies on a virtual clock: FIFO, strict priority, and the router's own.
//!
//! Usage: `cargo run --release --example policy -- --seed N [--scenario NAME] [--format json|table]`. With `--check` and
//! `--seeds COUNT` it prints the smallest margin to each target instead.

mod check;
mod driver;
mod engine;
mod gate;
mod report;
mod request;
mod scenario;

use getopts::Options;

use driver::Driver;
use gate::Policy;
use report::Report;
use scenario::Scenario;

/// Runs one scenario under one policy. Requests of tiers below `lowest_tier` (larger numbers) are left out.
fn measure(scenario: &Scenario, policy: Policy, seed: u64, lowest_tier: u8) -> Report {
    let mut jobs = scenario::jobs(scenario, seed);
    jobs.retain(|job| job.tier <= lowest_tier);
    let mut driver = Driver::new(scenario, policy, jobs);
    driver.run();
    Report::new(scenario, policy, &driver)
}

fn main() -> std::process::ExitCode {
    let mut options = Options::new();
    options.reqopt("", "seed", "seed of the arrivals", "N");
    options.optopt("", "scenario", "run only this scenario", "NAME");
    options.optopt("", "format", "json or table (default)", "FORMAT");
    options.optflag("", "top-tier-only", "leave out the requests of lower tiers");
    options.optflag("", "check", "print the worst figures against the targets");
    options.optopt(
        "",
        "seeds",
        "count of seeds for --check, from --seed on",
        "COUNT",
    );
    match run(&options) {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!(
                "{error}\n{}",
                options.usage("Usage: policy --seed N [options]")
            );
            std::process::ExitCode::from(2)
        }
    }
}

fn run(options: &Options) -> Result<(), String> {
    let matches = options
        .parse(std::env::args().skip(1))
        .map_err(|error| error.to_string())?;
    let number = |name: &str| {
        matches
            .opt_get::<u64>(name)
            .map_err(|error| format!("--{name}: {error}"))
    };
    let seed = number("seed")?.unwrap_or(1);
    let format = matches
        .opt_str("format")
        .unwrap_or_else(|| "table".to_owned());
    if format != "json" && format != "table" {
        return Err(format!("--format: expected json or table, found {format}"));
    }
    let name = matches.opt_str("scenario");
    let mut scenarios = scenario::all();
    scenarios.retain(|scenario| name.as_ref().is_none_or(|name| *name == scenario.name));
    if scenarios.is_empty() {
        let names: Vec<String> = scenario::all()
            .into_iter()
            .map(|scenario| scenario.name)
            .collect();
        return Err(format!("--scenario: expected one of {}", names.join(", ")));
    }
    if matches.opt_present("check") {
        check::check(&scenarios, seed, number("seeds")?.unwrap_or(1));
        return Ok(());
    }
    let lowest_tier = if matches.opt_present("top-tier-only") {
        0
    } else {
        u8::MAX
    };
    if format == "table" {
        println!("{}", report::TABLE_HEAD);
    }
    for scenario in &scenarios {
        for policy in [Policy::Fifo, Policy::Strict, Policy::Tanagerford] {
            let report = measure(scenario, policy, seed, lowest_tier);
            let text = if format == "json" {
                report.json()
            } else {
                report.table()
            };
            print!("{text}");
        }
    }
    Ok(())
}

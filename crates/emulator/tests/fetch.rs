//! Regression tests of fetches of prompt parts between engines.

use serde_json::{Value, json};
use tanagerford_emulator::load;
use tanagerford_emulator::report::{self, RunResult};

/// Runs a load with one seed, with and without fetches. Returns the results of both.
fn run_with_and_without_fetches(content: &str) -> [Vec<RunResult>; 2] {
    let mut load: Value = serde_json::from_str(content).unwrap();
    load["seeds"] = json!([1]);
    load["policies"] = json!([{"name": "fetches"}, {"name": "none", "fetches": false}]);
    let load = load::decode(load.to_string().as_bytes()).unwrap();
    let policies = report::experiment(&load).policies.into_iter();
    let runs: Vec<_> = policies.map(|policy| policy.runs).collect();
    runs.try_into().unwrap()
}

fn earned(runs: &[RunResult]) -> f64 {
    runs.iter().map(|run| run.value().earned).sum()
}

fn fetched(runs: &[RunResult]) -> u64 {
    runs.iter().map(|run| run.fetched_tokens).sum()
}

/// Bursts of long prompts that share parts, beside chats, on a full fleet. Guards against prompts that wait for the engine
/// with their parts, or process them again, while a copy takes a tenth of the time.
#[test]
fn fetches_earn_more_value_in_bursts_of_long_prompts() {
    for content in [
        include_str!("../loads/quotes-and-chats.json"),
        include_str!("../loads/digests-and-translations.json"),
    ] {
        let [with, without] = run_with_and_without_fetches(content);
        assert!(earned(&with) > earned(&without));
        assert!(fetched(&with) > 0 && fetched(&without) == 0);
    }
}

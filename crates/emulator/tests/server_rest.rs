//! Engines that ask entries for rests.

mod streams;

use std::time::Duration;

use serde_json::{Value, json};
use streams::{CHAT, DRAFT, stream_load};
use tanagerford_emulator::load;
use tanagerford_emulator::report::{RunResult, experiment};

/// Time after a refusal from which the rule counts requests, and their largest number.
const GRACE: Duration = Duration::from_millis(500);
const MAX_REQUESTS: usize = 2;

fn resting(share: f64, rest_s: f64, at_s: f64, for_s: f64) -> Value {
    json!({
        "at_s": at_s, "for_s": for_s,
        "kind": { "resting_engines": { "share": share, "rest_s": rest_s } }
    })
}

fn run(disturbance: &Value) -> RunResult {
    play(&stream_load(&json!([disturbance])))
}

/// Plays a load and checks that at most two requests of an entry reach an engine at rest.
fn play(load: &Value) -> RunResult {
    let load = load::decode(load.to_string().as_bytes()).unwrap();
    let result = experiment(&load).policies.remove(0).runs.remove(0);
    assert!(!result.resting_engines.is_empty());
    let engines = result.resting_engines.iter();
    let most = engines
        .clone()
        .map(|engine| engine.most_arrivals_at_rest(GRACE));
    let most = most.max().unwrap_or_default();
    let refusals: usize = engines.map(|engine| engine.refusals.len()).sum();
    println!(
        "{refusals} refusals, at most {most} requests at rest, unserved chats {:.2}, drafts {:.2}",
        result.largest_unserved_share(CHAT, 0),
        result.largest_unserved_share(DRAFT, 0)
    );
    assert!(refusals > 0);
    assert!(most <= MAX_REQUESTS, "{most} requests at rest");
    result
}

/// Guards against requests to a rack of servers that asks for rest within one second, and against callers that pay for it
/// although other servers have room.
#[test]
fn a_rack_that_asks_for_rest_costs_no_call() {
    let result = run(&resting(0.34, 3.0, 6.0, 1.0));
    for class in [DRAFT, CHAT] {
        let unserved = result.largest_unserved_share(class, 0);
        assert!(unserved < 0.05, "{unserved} of class {class}");
    }
}

/// Guards against servers that all waiting calls meet as soon as a rest ends: each server asks for a rest again each time. The
/// network is slow, so that several calls would be on their way before the first one is turned away.
#[test]
fn a_server_that_asks_again_gets_one_call_of_each_entry() {
    let rest = Duration::from_millis(500);
    let mut load = stream_load(&json!([resting(1.0, rest.as_secs_f64(), 4.0, 8.0)]));
    load["entries_per_zone"] = json!(1);
    load["network"]["in_zone_ms"] = json!(20);
    load["network"]["cross_zone_ms"] = json!(20);
    let result = play(&load);
    let mut repeated = 0;
    for engine in &result.resting_engines {
        for entry in 0..3 {
            let refusals = engine.refusals.iter();
            let refusals = refusals.filter(|(_, from)| *from == entry);
            let times: Vec<_> = refusals.map(|(at, _)| *at).collect();
            let Some(first) = times.first() else {
                continue;
            };
            // Calls that are under way at the first refusal are turned away too.
            let known_at = *first + Duration::from_millis(100);
            for pair in times.windows(2).filter(|pair| pair[1] >= known_at) {
                repeated += 1;
                let gap = pair[1].saturating_sub(pair[0]);
                assert!(gap >= rest, "{gap:?} between two refusals");
            }
        }
    }
    assert!(repeated > 0);
}

/// Guards against lower ranks that are served before higher ones when all servers of a pool rest and come back.
#[test]
fn higher_ranks_are_served_first_when_all_servers_rest() {
    for rest_s in [1.0, 3.0] {
        let result = run(&resting(1.0, rest_s, 6.0, 1.0));
        let (chats, drafts) = (
            result.largest_unserved_share(CHAT, 0),
            result.largest_unserved_share(DRAFT, 0),
        );
        assert!(
            chats <= drafts,
            "{chats} of the chats, {drafts} of the drafts"
        );
    }
}

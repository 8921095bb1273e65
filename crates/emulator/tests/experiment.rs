//! Replays of the loads that the decisions of an entry answer, and tests of load files and reports.
//!
//! Every replay compares the decisions in force with what was there before, on the load that showed the difference.

use serde_json::{Value, json};
use tanagerford_emulator::load::{self, Load};
use tanagerford_emulator::report::{ClassCounts, Played};
use tanagerford_emulator::{plot, report};

/// Weights and limits before they were chosen with the emulator.
fn earlier_costs() -> Value {
    json!({
        "disturbed_stream_ms": 8, "read_again_factor": 3, "busy_prefill_ms": 200, "prefill_tokens_per_ms": 65
    })
}

/// Plays a load file with the given policies.
fn play(content: &str, policies: &Value) -> Vec<Played> {
    let mut load: Value = serde_json::from_str(content).unwrap();
    load["policies"] = policies.clone();
    let load = load::decode(load.to_string().as_bytes()).unwrap();
    let report = report::experiment(&load);
    let policies = report.policies.into_iter();
    policies.map(|mut policy| policy.played.remove(0)).collect()
}

/// Plays a load file with the decisions in force, then with times of engines that stay as assumed.
fn play_with_assumed_times(content: &str) -> Vec<Played> {
    let policies = json!([
        {"name": "in force"},
        {"name": "assumed times", "costs": {"learns": false}}
    ]);
    play(content, &policies)
}

fn rush() -> Load {
    load::decode(include_bytes!("../loads/rush.json")).unwrap()
}

/// Replays bursts of long prompts and of streams that fill every engine (scale-1 of dalisay-advent-grown). Guards against
/// entries that do not know what the others send, or know it too late, and against placement in turn.
#[test]
fn fresh_summaries_serve_more_of_a_rush() {
    let policies = json!([
        {"name": "in force"},
        {"name": "late", "summaries": {"near_ms": 15, "far_ms": 90, "relay_ms": 30}},
        {"name": "none", "summaries": {"enabled": false}},
        {"name": "in turn", "placement": "round_robin"}
    ]);
    let played = play(include_str!("../loads/rush.json"), &policies);
    let shares: Vec<f64> = played.iter().map(|one| one.value().share()).collect();
    assert!(shares[0] > shares[1] && shares[1] > shares[2], "{shares:?}");
    assert!(shares[0] > 1.5 * shares[3], "{shares:?}");
}

/// Replays the same rush. Guards against streams that are late because long prompts run beside them, and against parts
/// that are read again although an engine holds them.
#[test]
fn the_weights_keep_streams_and_long_prompts_apart_in_a_rush() {
    let policies = json!([
        {"name": "in force"},
        {"name": "earlier", "costs": earlier_costs()}
    ]);
    let played = play(include_str!("../loads/rush.json"), &policies);
    let paused = |played: &Played| played.classes[1].paused;
    let read = |played: &Played| played.prefilled_tokens;
    assert!(paused(&played[0]) < paused(&played[1]));
    assert!(read(&played[0]) < read(&played[1]));
    assert!(played[0].value().share() > played[1].value().share());
}

/// Replays the same rush. Guards against long prompts that enter although they will be late, and so make the next ones
/// late as well.
#[test]
fn long_prompts_that_would_be_late_are_refused_in_a_rush() {
    let policies = json!([
        {"name": "in force"},
        {"name": "earlier", "gate": {"late_factor": 1.6, "late_per_rank": 0}}
    ]);
    let played = play(include_str!("../loads/rush.json"), &policies);
    let late = |played: &Played| played.classes[0].late_start + played.classes[0].failed;
    assert!(late(&played[0]) < late(&played[1]));
    assert!(played[0].value().share() > played[1].value().share());
}

/// Replays a burst of very long prompts with few output tokens and the crash of a quarter of the engines in it (scale-1 of
/// zep-etykiety). Guards against prompts that are kept out because the pauses of engines with small chunks are
/// overestimated, and that are late because their time to the first token is underestimated.
#[test]
fn learned_times_serve_more_of_a_burst_of_long_prompts() {
    let played = play_with_assumed_times(include_str!("../loads/long-prompts.json"));
    let in_time = |played: &Played| played.classes[0].on_time;
    assert!(in_time(&played[0]) > in_time(&played[1]));
    assert!(played[0].value().share() > played[1].value().share());
}

/// Replays engines that are twice as slow as assumed, with bursts of two kinds of long prompts. Guards against long prompts
/// that fill slow engines until those of higher ranks are late.
#[test]
fn learned_times_serve_more_on_slow_engines() {
    let played = play_with_assumed_times(include_str!("../loads/slow-engines.json"));
    assert!(played[0].value().share() > played[1].value().share());
    let wasted = |played: &Played| played.classes[0].failed;
    assert!(wasted(&played[0]) < wasted(&played[1]));
}

/// Replays bursts, a hot prompt, crashing and slow engines, callers that give up and callers that come back at once.
/// Guards against repeated calls beyond the shared budget and against classes that starve.
#[test]
fn disturbances_together_starve_no_class_and_keep_the_budget() {
    let mut load: Value = serde_json::from_str(include_str!("../loads/rush.json")).unwrap();
    load["disturbances"] = json!([
        {"at_s": 0.5, "for_s": 4, "kind": {"burst": {"class": "draft", "x": 2}}},
        {"at_s": 1, "for_s": 4, "kind": {"hot_part": {"class": "draft", "share": 0.4}}},
        {"at_s": 2, "for_s": 1, "kind": {"crashed_engines": {"share": 0.25}}},
        {"at_s": 3, "for_s": 3, "kind": {"slow_engines": {"share": 0.25, "x": 3}}},
        {"at_s": 4, "for_s": 3, "kind": {"give_up": {"share": 0.2, "after_ms": 300}}},
        {"at_s": 4, "for_s": 3, "kind": {"retry_abuse": {"share": 0.3, "x": 3}}}
    ]);
    load["policies"] = json!([{"name": "in force"}]);
    let load = load::decode(load.to_string().as_bytes()).unwrap();
    let report = report::experiment(&load);
    let played = &report.policies[0].played[0];
    let answered = |class: &ClassCounts| {
        f64::from(class.on_time + class.late_start + class.paused) / f64::from(class.offered)
    };
    let all: Vec<f64> = played.classes.iter().map(answered).collect();
    // A class starves when it is answered less than a quarter as often as all requests.
    assert!(all.iter().all(|share| *share > 0.25), "{all:?}");
    let requests: u32 = played.classes.iter().map(|class| class.offered).sum();
    let allowed = load.budget.ratio * f64::from(requests) + load.budget.extra;
    let repeats = f64::from(u32::try_from(played.repeats).unwrap());
    assert!(repeats <= allowed, "{repeats} repeats, {allowed} allowed");
}

/// Replays a burst of chats on entries three quarters of which have a small share of a core. Guards against a backlog of
/// the processor: calls sent to servers after their callers had left, and callers whose leaving goes unnoticed.
#[test]
fn a_busy_entry_sends_no_call_whose_caller_has_left() {
    let policies = json!([{"name": "in force"}, {"name": "unbounded", "overload": null}]);
    let played = play(include_str!("../loads/slow-entries.json"), &policies);
    let (bounded, unbounded) = (&played[0], &played[1]);
    assert_eq!(bounded.sent_after_leaving, 0);
    assert!(
        unbounded.sent_after_leaving > 100,
        "{}",
        unbounded.sent_after_leaving
    );
    assert!(bounded.noticed_late * 10 < unbounded.noticed_late);
    assert!(bounded.value().share() > 1.1 * unbounded.value().share());
}

/// Guards against runs that cannot be repeated, and against callers that are counted twice or never.
#[test]
fn equal_seeds_give_equal_runs() {
    let load = rush();
    let policy = &load.policies[0];
    let play = |seed| tanagerford_emulator::simulation::play(&load, policy, seed);
    let (one, again, other) = (play(3), play(3), play(4));
    assert_eq!(one, again);
    assert_ne!(one, other);
    for class in &one.classes {
        let ends = class.on_time + class.late_start + class.paused + class.refused + class.failed;
        assert_eq!(class.offered, ends);
    }
}

/// Guards against load files whose mistakes are found one at a time or without their place.
#[test]
fn findings_of_a_load_file_have_places() {
    let mut wrong: Value = serde_json::from_str(include_str!("../loads/rush.json")).unwrap();
    wrong["length_s"] = json!(0);
    wrong["seeds"] = json!([]);
    wrong["engines"] = Value::Null;
    wrong["disturbances"] =
        json!([{"at_s": 0, "for_s": 1, "kind": {"burst": {"class": "chta", "x": 2}}}]);
    let findings = load::decode(wrong.to_string().as_bytes()).unwrap_err();
    let lines: Vec<String> = findings.list().iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"));
    let unknown = load::decode(br#"{"name": "x", "lenght_s": 3}"#).unwrap_err();
    insta::assert_snapshot!(unknown.list()[0].to_string());
}

/// Guards against a table or drawing that leaves out a policy or a class.
#[test]
fn reports_name_every_policy_and_class() {
    let mut load: Value = serde_json::from_str(include_str!("../loads/small.json")).unwrap();
    load["policies"] = json!([{"name": "one"}, {"name": "two", "placement": "round_robin"}]);
    let load = load::decode(load.to_string().as_bytes()).unwrap();
    let report = report::experiment(&load);
    insta::assert_snapshot!(report.table());
    let svg = plot::draw(&report).unwrap();
    for name in ["one", "two", "small"] {
        assert!(svg.contains(name), "{name} is missing");
    }
}

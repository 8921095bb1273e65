//! Tests of the server selection by an entry.

use std::time::Duration;

use proptest::prelude::*;
use tanagerford_core::dispatch::{
    CallOutcome, Choice, CostSettings, Demand, EntryLoad, GateDecision, LongPromptGate, Pool,
    PromptPart, RemainingTime, ReportedLoad, ServerSpec, WaitingTokens, server_number,
};

const NOW: Duration = Duration::from_secs(100);

fn spec(id: impl Into<String>, zone: &str) -> ServerSpec {
    ServerSpec {
        id: id.into(),
        zone: zone.to_owned(),
        slots: 64,
        memory_tokens: 300_000,
    }
}

/// Returns the remaining time of a call whose own objective and that of lower ranks expire in `until_late_ms`.
fn remaining_time(until_late_ms: f64, can_wait: bool) -> RemainingTime {
    RemainingTime {
        until_late_ms,
        until_lower_ranks_late_ms: until_late_ms,
        can_wait,
    }
}

/// Creates a pool of `count` servers in the availability zone of the entry.
fn pool(count: usize) -> Pool {
    let mut pool = Pool::new("zone-a", CostSettings::default());
    let specs: Vec<_> = (0..count)
        .map(|index| spec(format!("s-{index}"), "zone-a"))
        .collect();
    pool.set_servers(&specs);
    pool
}

fn long_prompt(shared: u64, own: u64) -> Demand {
    let part = |id, tokens| PromptPart { id, tokens };
    Demand {
        parts: vec![part(1, 2_520), part(shared, 3_780), part(own, 2_890)],
        prompt_tokens: 9_190,
        output_tokens: 54,
        body_bytes: 18_000,
        rank: 1,
    }
}

fn short_prompt(own: u64) -> Demand {
    Demand {
        parts: vec![PromptPart {
            id: 1_000_000 + own,
            tokens: 700,
        }],
        prompt_tokens: 700,
        output_tokens: 290,
        body_bytes: 1_700,
        rank: 0,
    }
}

/// Guards against prompts that are sent to another server although the one that has them cached is idle.
#[test]
fn prompt_is_sent_to_server_with_cached_parts() {
    let mut pool = pool(9);
    let first = pool.choose(NOW, &long_prompt(7, 100), &[]).unwrap();
    assert_eq!(first.uncached_tokens, 9_190);
    pool.on_start(NOW, &first.server, 0, &long_prompt(7, 100));
    pool.on_end(&first.server, 0);
    let again = pool.choose(NOW, &long_prompt(7, 101), &[]).unwrap();
    assert_eq!((again.server, again.uncached_tokens), (first.server, 2_890));
}

/// Guards against a hot prompt that overloads the only server that has it cached: with two fixed servers per prefix,
/// the busiest server had 2.2 times the mean load.
#[test]
fn hot_prompt_is_spread_when_its_server_is_busy() {
    let mut pool = pool(9);
    let mut used = std::collections::BTreeSet::new();
    for call in 0..40 {
        let demand = long_prompt(7, 1_000 + call);
        let choice = pool.choose(NOW, &demand, &[]).unwrap();
        pool.on_start(NOW, &choice.server, call, &demand);
        used.insert(choice.server);
    }
    assert!(used.len() > 3, "{used:?}");
    let loads = pool.own_loads().map(|(_, load)| load.waiting.total());
    let most = loads.max().unwrap();
    assert!(most < 40 * 9_190 / 4, "{most}");
}

/// Guards against streams and long prompts that share a server while there is capacity to separate them: each chunk of
/// a long prompt delays the tokens of all streams on its server.
#[test]
fn long_prompts_and_streams_use_different_servers() {
    let mut pool = pool(9);
    let mut stream_servers = std::collections::BTreeSet::new();
    let mut prompt_servers = std::collections::BTreeSet::new();
    for call in 0..60 {
        let at = NOW + Duration::from_millis(20 * call);
        let is_stream = call % 2 == 0;
        let demand = if is_stream {
            short_prompt(call)
        } else {
            long_prompt(call % 14, 1_000 + call)
        };
        let choice = pool.choose(at, &demand, &[]).unwrap();
        pool.on_start(at, &choice.server, call, &demand);
        pool.on_first_part(at, &choice.server, call);
        if is_stream {
            stream_servers.insert(choice.server);
        } else {
            pool.on_end(&choice.server, call);
            prompt_servers.insert(choice.server);
        }
    }
    let shared: Vec<_> = stream_servers.intersection(&prompt_servers).collect();
    assert!(shared.is_empty(), "{shared:?}");
}

/// Replays the double burst of streams that fills every server (scale-2 of zpw-tanager, seconds 14 to 18). Guards
/// against long prompts that make running streams late, and against long prompts that are never admitted.
#[test]
fn many_streams_are_counted_as_late_for_a_long_prompt() {
    let mut pool = pool(2);
    let mut call = 0;
    let mut add_streams = |pool: &mut Pool, count: u64| {
        for server in ["s-0", "s-1"] {
            for _ in 0..count {
                call += 1;
                pool.on_start(NOW, server, call, &short_prompt(call));
                pool.on_first_part(NOW, server, call);
            }
        }
        call
    };
    pool.on_start(NOW, "s-0", 9_000, &long_prompt(7, 100));
    pool.on_end("s-0", 9_000);
    add_streams(&mut pool, 10);
    let lightly_loaded = pool.choose(NOW, &long_prompt(7, 101), &[]).unwrap();
    assert!(lightly_loaded.late_streams <= 1.0, "{lightly_loaded:?}");
    let last = add_streams(&mut pool, 45);
    pool.on_start(NOW, "s-0", 9_000, &long_prompt(7, 100));
    pool.on_start(NOW, "s-1", 9_001, &long_prompt(8, 101));
    let burst = pool.choose(NOW, &long_prompt(9, 102), &[]).unwrap();
    assert!(burst.late_streams > 5.0, "{burst:?}");
    for ended in 21..=last {
        pool.on_end("s-0", ended);
        pool.on_end("s-1", ended);
    }
    pool.on_first_part(NOW, "s-0", 9_000);
    let after = pool.choose(NOW, &long_prompt(7, 102), &[]).unwrap();
    assert!(after.late_streams <= 1.0, "{after:?}");
}

/// Guards against long prompts that starve while every server is permanently full of streams, and against a lower rank
/// that is admitted while a higher one waits.
#[test]
fn long_prompts_are_slowed_but_never_starved() {
    let mut gate = LongPromptGate::default();
    let full = Choice {
        is_long: true,
        late_streams: 30.0,
        ..Choice::default()
    };
    let decisions = (0..100_u64).map(|tick| {
        gate.decide(
            NOW + Duration::from_millis(100 * tick),
            &full,
            0,
            remaining_time(500.0, false),
        )
    });
    assert_eq!(
        decisions
            .filter(|decision| *decision == GateDecision::Admit)
            .count(),
        5
    );
    let nearly_full = Choice {
        is_long: true,
        late_streams: 0.85,
        ..Choice::default()
    };
    assert_eq!(
        gate.decide(NOW, &nearly_full, 1, remaining_time(500.0, true)),
        GateDecision::Admit
    );
    assert_eq!(
        gate.decide(NOW, &nearly_full, 2, remaining_time(500.0, true)),
        GateDecision::Wait
    );
}

/// Guards against limits that are equal for all ranks from the eleventh on, and against limits that refuse a low rank
/// on idle servers.
#[test]
fn limits_of_long_prompts_differ_for_all_ranks() {
    let mut gate = LongPromptGate::default();
    let mut is_admitted = |rank, late_streams, ranked_first_token_ms| {
        let choice = Choice {
            is_long: true,
            late_streams,
            ranked_first_token_ms,
            ..Choice::default()
        };
        gate.decide(NOW, &choice, rank, remaining_time(500.0, true)) == GateDecision::Admit
    };
    let largest_admitted = |admits: &mut dyn FnMut(f64) -> bool| {
        let steps = (0..2_000).map(|step| f64::from(step) / 1_000.0);
        steps.take_while(|value| admits(*value)).last()
    };
    for rank in 0..30 {
        let mut late_streams = |rank| largest_admitted(&mut |value| is_admitted(rank, value, 0.0));
        assert!(late_streams(rank) > late_streams(rank + 1), "rank {rank}");
        let mut first_token =
            |rank| largest_admitted(&mut |value| is_admitted(rank, 0.0, value * 500.0));
        assert!(first_token(rank) > first_token(rank + 1), "rank {rank}");
    }
}

/// Guards against long prompts that are admitted too late and so delay the next ones as well (scale-1 of the grown
/// deployments: half of the prompts were late, and engines out of memory preempted 410 and 636 requests).
#[test]
fn long_prompt_that_would_be_late_is_not_admitted() {
    let mut gate = LongPromptGate::default();
    let queued = Choice {
        is_long: true,
        first_token_ms: 700.0,
        ranked_first_token_ms: 700.0,
        ..Choice::default()
    };
    assert_eq!(
        gate.decide(NOW, &queued, 0, remaining_time(700.0, true)),
        GateDecision::Admit
    );
    assert_eq!(
        gate.decide(NOW, &queued, 0, remaining_time(690.0, true)),
        GateDecision::Wait
    );
    let short = Choice {
        is_long: false,
        ..queued
    };
    assert_eq!(
        gate.decide(NOW, &short, 0, remaining_time(100.0, true)),
        GateDecision::Admit
    );
}

/// Guards against servers that look idle because their load comes from other entries.
#[test]
fn load_of_other_entries_counts_until_they_time_out() {
    let mut pool = pool(2);
    let busy = EntryLoad {
        in_flight: 30,
        streams: 0,
        waiting: WaitingTokens::of(0, 60_000),
    };
    let idle = pool.choose(NOW, &short_prompt(1), &[]).unwrap().server;
    pool.set_peer_loads(NOW, 5, [(server_number(&idle), busy)]);
    let other = pool.choose(NOW, &short_prompt(1), &[]).unwrap().server;
    assert_ne!(other, idle);
    let later = NOW + Duration::from_secs(10);
    assert_eq!(
        pool.choose(later, &short_prompt(1), &[]).unwrap().server,
        idle
    );
    pool.set_peer_loads(NOW, 5, []);
    assert_eq!(
        pool.choose(NOW, &short_prompt(1), &[]).unwrap().server,
        idle
    );
}

/// Guards against incremental load updates of another entry that do not add up to its full load.
#[test]
fn incremental_and_full_loads_agree() {
    let load = |in_flight, waiting_tokens| EntryLoad {
        in_flight,
        streams: in_flight,
        waiting: WaitingTokens::of(0, waiting_tokens),
    };
    let numbers = ["s-0", "s-1"].map(server_number);
    let (mut whole, mut changes) = (pool(2), pool(2));
    for pool in [&mut whole, &mut changes] {
        pool.set_peer_loads(NOW, 5, [(numbers[0], load(3, 9_000))]);
        pool.set_peer_loads(
            NOW,
            6,
            [(numbers[0], load(1, 50)), (numbers[1], load(7, 0))],
        );
    }
    whole.set_peer_loads(NOW, 5, [(numbers[1], load(2, 400))]);
    let ended = EntryLoad::default();
    changes.update_peer_loads(NOW, 5, [(numbers[0], ended), (numbers[1], load(2, 400))]);
    changes.update_peer_loads(NOW, 7, [(numbers[0], ended)]);
    for excluded in ["s-0", "s-1"] {
        let choose = |pool: &mut Pool| pool.choose(NOW, &short_prompt(1), &[excluded.to_owned()]);
        assert_eq!(choose(&mut whole), choose(&mut changes));
    }
}

/// Guards against calls to an unreachable server, and against an empty candidate set when all servers are unreachable.
#[test]
fn unreachable_server_is_ejected_for_a_while() {
    let mut pool = pool(3);
    let demand = Demand::default();
    let down = pool.choose(NOW, &demand, &[]).unwrap().server;
    pool.on_outcome(NOW, &down, CallOutcome::Unreachable);
    let choice = pool.choose(NOW, &demand, &[]).unwrap();
    assert_ne!(choice.server, down);
    assert_eq!(choice.candidates, 2);
    let later = NOW + Duration::from_secs(1);
    assert_eq!(pool.choose(later, &demand, &[]).unwrap().candidates, 3);
    for server in ["s-0", "s-1", "s-2"] {
        pool.on_outcome(NOW, server, CallOutcome::Unreachable);
    }
    assert_eq!(pool.choose(NOW, &demand, &[]).unwrap().candidates, 3);
}

/// Guards against a server that fails part of its calls but still receives as many calls as the others.
#[test]
fn failing_or_slow_server_receives_fewer_calls() {
    for end in [
        CallOutcome::Failed,
        CallOutcome::Broken,
        CallOutcome::Answered { slowness: 8.0 },
    ] {
        let mut pool = pool(2);
        let demand = short_prompt(1);
        let first = pool.choose(NOW, &demand, &[]).unwrap().server;
        for _ in 0..4 {
            pool.on_outcome(NOW, &first, end);
        }
        assert_ne!(
            pool.choose(NOW, &demand, &[]).unwrap().server,
            first,
            "{end:?}"
        );
    }
}

/// Guards against a cache model that survives the restart of its server.
#[test]
fn restarted_server_has_an_empty_cache() {
    let mut pool = pool(1);
    pool.on_start(NOW, "s-0", 0, &long_prompt(7, 100));
    pool.on_outcome(NOW, "s-0", CallOutcome::Restarted);
    assert_eq!(
        pool.choose(NOW, &long_prompt(7, 101), &[])
            .unwrap()
            .uncached_tokens,
        9_190
    );
}

/// Guards against large bodies that cross availability zones although a server in the own zone is as good.
#[test]
fn server_in_the_own_zone_is_preferred() {
    let mut pool = Pool::new("zone-a", CostSettings::default());
    pool.set_servers(&[spec("far", "zone-b"), spec("near", "zone-a")]);
    assert_eq!(
        pool.choose(NOW, &long_prompt(7, 100), &[]).unwrap().server,
        "near"
    );
    let report = ReportedLoad {
        running: 90,
        waiting: 20,
        ..ReportedLoad::default()
    };
    pool.on_load(NOW, "near", report);
    assert_eq!(
        pool.choose(NOW, &long_prompt(7, 100), &[]).unwrap().server,
        "far"
    );
}

#[derive(Debug, Clone)]
enum Step {
    Start(u8),
    FirstPart(usize),
    End(usize),
    Outcome(u8, u8),
    Servers(u8),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        any::<u8>().prop_map(Step::Start),
        any::<usize>().prop_map(Step::FirstPart),
        any::<usize>().prop_map(Step::End),
        (any::<u8>(), any::<u8>()).prop_map(|(server, end)| Step::Outcome(server, end)),
        (1..6_u8).prop_map(Step::Servers),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(9), ..ProptestConfig::default() })]

    /// Guards against the choice of an excluded server, and against load that remains after every call has ended.
    #[test]
    fn no_load_remains_after_all_calls_ended(steps in proptest::collection::vec(step(), 1..80)) {
        let mut pool = pool(4);
        let mut running: Vec<(u64, String)> = Vec::new();
        for (number, step) in (0_u64..).zip(&steps) {
            let now = NOW + Duration::from_millis(7 * number);
            match step {
                Step::Start(kind) => {
                    let demand = if kind % 2 == 0 { short_prompt(number) } else { long_prompt(u64::from(*kind), number) };
                    let excluded = [format!("s-{}", kind % 4)];
                    if let Some(choice) = pool.choose(now, &demand, &excluded) {
                        prop_assert_ne!(&choice.server, &excluded[0]);
                        prop_assert!(choice.cost_ms.is_finite() && choice.cost_ms >= 0.0);
                        pool.on_start(now, &choice.server, number, &demand);
                        running.push((number, choice.server));
                    }
                }
                Step::FirstPart(index) if !running.is_empty() => {
                    let (call, server) = &running[index % running.len()];
                    pool.on_first_part(NOW, server, *call);
                }
                Step::End(index) if !running.is_empty() => {
                    let (call, server) = running.swap_remove(index % running.len());
                    pool.on_end(&server, call);
                }
                Step::Outcome(server, end) => {
                    let ends = [CallOutcome::Failed, CallOutcome::Broken, CallOutcome::Unreachable, CallOutcome::TimedOut, CallOutcome::Refused];
                    pool.on_outcome(now, &format!("s-{}", server % 4), ends[usize::from(*end) % ends.len()]);
                }
                Step::Servers(count) => {
                    let specs: Vec<_> = (0..*count).map(|index| spec(format!("s-{index}"), "zone-a")).collect();
                    pool.set_servers(&specs);
                }
                Step::FirstPart(_) | Step::End(_) => {}
            }
        }
        for (call, server) in running {
            pool.on_end(&server, call);
        }
        for (_, load) in pool.own_loads() {
            prop_assert_eq!(load, EntryLoad::default());
        }
    }
}

/// Guards against a connection for every call in a fleet with more servers than an entry has calls in a few seconds: an entry
/// stays with servers that answered it a moment ago, but not when they are busier.
#[test]
fn servers_with_open_connections_are_preferred_until_they_are_busier() {
    let answered = CallOutcome::Answered { slowness: 1.0 };
    let mut pool = pool(180);
    let demand = short_prompt(1);
    let first = pool.choose(NOW, &demand, &[]).unwrap().server;
    // The server that would be next in the common order has answered, the first one has not.
    let connected = pool.choose(NOW, &demand, std::slice::from_ref(&first));
    let connected = connected.unwrap().server;
    pool.on_outcome(NOW, &connected, answered);
    assert_eq!(pool.choose(NOW, &demand, &[]).unwrap().server, connected);
    let later = NOW + Duration::from_secs(4);
    assert_eq!(pool.choose(later, &demand, &[]).unwrap().server, first);
    for call in 0..40 {
        pool.on_start(NOW, &connected, call, &short_prompt(2));
    }
    assert_ne!(pool.choose(NOW, &demand, &[]).unwrap().server, connected);
}

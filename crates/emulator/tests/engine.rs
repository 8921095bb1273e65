//! Tests of the emulated engine and plain server.

use std::time::Duration;

use tanagerford_core::dispatch::PromptPart;
use tanagerford_emulator::load::{EnginePool, ServicePool};
use tanagerford_emulator::{Engine, EngineRequest, PlainServer, StepOutput};

fn pool() -> EnginePool {
    EnginePool {
        per_zone: 1,
        slots: 4,
        queue: 2,
        memory_tokens: 20_000,
        step_ms: 3.0,
        step_request_ms: 0.5,
        context_ms_per_k: 0.0,
        prefill_tokens_per_ms: 100.0,
        pairs_ms_per_m: 0.0,
        chunk_tokens: 2_000,
        first_token_ms: 0.0,
        event_tokens: 2,
        time_factors: vec![1.0],
    }
}

fn request(number: u64, prompt_tokens: u32, output_tokens: u32) -> EngineRequest {
    EngineRequest {
        number,
        urgency: 0,
        parts: Vec::new(),
        prompt_tokens,
        output_tokens,
        resumed_tokens: 0,
    }
}

/// Runs steps until the engine has no work. Returns the outputs with their times in milliseconds.
fn run_until_idle(engine: &mut Engine) -> Vec<(f64, StepOutput)> {
    let mut now = Duration::ZERO;
    let mut outputs = Vec::new();
    while let Some(length) = engine.begin_step() {
        now += length;
        let ended = engine.end_step();
        outputs.extend(
            ended
                .into_iter()
                .map(|one| (now.as_secs_f64() * 1_000.0, one)),
        );
    }
    outputs
}

/// Guards against an engine that prefills a long prompt in one step, or generates tokens before prefill is complete.
#[test]
fn prompt_is_prefilled_in_chunks_and_events_group_tokens() {
    let mut engine = Engine::new(&pool(), 2.0);
    assert!(engine.submit(request(1, 5_000, 5)));
    let outputs = run_until_idle(&mut engine);
    let event = |is_first, is_last| StepOutput::Event {
        number: 1,
        is_first,
        is_last,
    };
    // Three prefill steps take 2 x (3.5 + 20), 2 x (3.5 + 20) and 2 x (3.5 + 10) ms; the last one generates the first
    // token. Each further token takes 2 x 3.5 ms.
    let expected = [
        (128.0, event(true, false)),
        (142.0, event(false, false)),
        (149.0, event(false, true)),
    ];
    assert_eq!(outputs.len(), expected.len());
    for ((at_ms, output), (expected_ms, expected)) in outputs.iter().zip(expected) {
        assert_eq!(*output, expected);
        assert!(
            (at_ms - expected_ms).abs() < 0.01,
            "event at {at_ms} ms, expected at {expected_ms} ms"
        );
    }
    assert_eq!(engine.prefilled_tokens, 5_000);
}

/// A cached part can be reused only if all parts before it are cached too. Guards against an engine that skips the
/// prefill of a cached part behind a missing one.
#[test]
fn only_a_cached_prefix_of_parts_skips_prefill() {
    let part = |id, tokens| PromptPart { id, tokens };
    let mut engine = Engine::new(&pool(), 1.0);
    let mut prefilled = |number, parts: Vec<PromptPart>| {
        let tokens = parts.iter().map(|part| part.tokens).sum();
        let before = engine.prefilled_tokens;
        assert!(engine.submit(EngineRequest {
            parts,
            ..request(number, tokens, 1)
        }));
        run_until_idle(&mut engine);
        engine.prefilled_tokens - before
    };
    assert_eq!(prefilled(1, vec![part(1, 1_000), part(2, 2_000)]), 3_000);
    assert_eq!(
        prefilled(2, vec![part(1, 1_000), part(2, 2_000), part(3, 50)]),
        50
    );
    assert_eq!(prefilled(3, vec![part(4, 500), part(2, 2_000)]), 2_500);
    // The memory of 20,000 tokens has no space for the oldest parts beside 18,000 new ones.
    assert_eq!(prefilled(4, vec![part(5, 18_000)]), 18_000);
    assert_eq!(prefilled(5, vec![part(1, 1_000)]), 1_000);
}

/// Guards against the preemption of an urgent request, and against preempted requests that never complete.
#[test]
fn newest_of_the_least_urgent_requests_is_preempted_and_completes_later() {
    let pool = EnginePool { queue: 3, ..pool() };
    let mut engine = Engine::new(&pool, 1.0);
    for (number, urgency) in [(1, 5), (2, 0), (3, 5)] {
        assert!(engine.submit(EngineRequest {
            urgency,
            ..request(number, 6_000, 2_500)
        }));
    }
    let outputs = run_until_idle(&mut engine);
    let preempted: Vec<u64> = outputs
        .iter()
        .filter_map(|(_, output)| match output {
            StepOutput::Preempted { number } => Some(*number),
            StepOutput::Event { .. } => None,
        })
        .collect();
    assert_eq!(preempted[0], 3);
    assert!(!preempted.contains(&2), "preempted: {preempted:?}");
    let ended = outputs
        .iter()
        .filter(|(_, output)| matches!(output, StepOutput::Event { is_last: true, .. }));
    assert_eq!(ended.count(), 3);
}

/// Guards against engines that accept more requests than their queue holds, or a request larger than their memory.
#[test]
fn engine_refuses_requests_beyond_queue_or_memory() {
    let mut engine = Engine::new(&pool(), 1.0);
    assert!(!engine.submit(request(1, 30_000, 1)));
    assert!(engine.submit(request(2, 100, 100)));
    assert!(engine.submit(request(3, 100, 100)));
    assert!(!engine.submit(request(4, 100, 100)));
    assert_eq!(engine.load().waiting, 2);
    assert_eq!(engine.crash(), [2, 3]);
    assert!(run_until_idle(&mut engine).is_empty());
}

/// Guards against slots that are not freed, and against refused requests that run.
#[test]
fn plain_server_runs_queues_and_refuses() {
    let mut server = PlainServer::new(&ServicePool {
        per_zone: 1,
        slots: 1,
        queue: 1,
    });
    assert_eq!(server.submit(1), Some(true));
    assert_eq!(server.submit(2), Some(false));
    assert_eq!(server.submit(3), None);
    assert_eq!(server.end(1), Some(2));
    assert_eq!(server.end(2), None);
    assert_eq!(server.load().running, 0);
}

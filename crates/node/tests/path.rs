//! Tests of the complete path from the caller through entry and sidecar to the backend server.

mod common;

use std::time::Duration;

use common::{Fleet, KEY, agent, chat_body, configuration, expected_text, read_line, wait_until};
use tanagerford_standin::engine::Behaviour;

/// Wait limit that no call of these tests reaches.
const LONGEST_WAIT_MS: u64 = 3_600_000;

/// Returns an engine behaviour without delays, for tests that do not depend on the time of single tokens.
fn without_delays() -> Behaviour {
    Behaviour {
        first_token: Duration::ZERO,
        cached_first_token: Duration::ZERO,
        token_gap: Duration::ZERO,
        token_gap_per_request: Duration::ZERO,
        ..Behaviour::default()
    }
}

/// Guards against text that is lost, added or reordered between the engine and the caller.
#[test]
fn a_complete_answer_contains_exactly_the_text_of_the_engine() {
    let fleet = Fleet::start(2, &without_delays(), &configuration());
    let answer = fleet
        .post(
            "/v1/chat/completions",
            &[],
            &chat_body("ticket 1", 12, false),
        )
        .expect("answer arrives");
    assert_eq!(answer.status, 200, "{}", answer.text);
    let json = answer.json();
    assert_eq!(
        json["choices"][0]["message"]["content"],
        expected_text("ticket 1", 12)
    );
    assert_eq!(json["usage"]["completion_tokens"], 12);
}

/// Guards against answers that reach the wrong caller when many calls share the links.
#[test]
fn concurrent_callers_each_get_their_own_answer() {
    // On a busy machine the predicted wait of the last callers exceeds the usual limit.
    let mut configuration = configuration();
    for class in &mut configuration.classes {
        class.longest_wait_ms = LONGEST_WAIT_MS;
    }
    let fleet = Fleet::start(2, &without_delays(), &configuration);
    std::thread::scope(|scope| {
        for caller in 0..64 {
            let fleet = &fleet;
            scope.spawn(move || {
                let content = format!("ticket of caller {caller}");
                let body = chat_body(&content, 20 + caller, false);
                let answer = fleet
                    .post("/v1/chat/completions", &[], &body)
                    .expect("answer arrives");
                assert_eq!(answer.status, 200, "{}", answer.text);
                let text = &answer.json()["choices"][0]["message"]["content"];
                assert_eq!(*text, expected_text(&content, 20 + caller));
            });
        }
    });
}

/// Guards against buffering of streams. The engine never generates its last token here, so a path that buffers the
/// stream would not deliver the first one.
#[test]
fn the_first_token_arrives_before_the_last_is_generated() {
    let behaviour = Behaviour {
        token_gap: Duration::from_hours(1),
        ..without_delays()
    };
    let fleet = Fleet::start(1, &behaviour, &configuration());
    let mut reader = fleet.stream("ticket", 2);
    let line = read_line(&mut reader);
    assert!(line.starts_with("data: "), "{line}");
    assert_eq!(fleet.engines[0].generated_tokens(), 1);
}

/// Guards against a truncated stream that looks complete after a crash of the engine.
#[test]
fn an_engine_crash_aborts_the_stream() {
    let behaviour = Behaviour {
        token_gap: Duration::from_millis(20),
        ..without_delays()
    };
    let fleet = Fleet::start(1, &behaviour, &configuration());
    let mut reader = fleet.stream("ticket", 10_000);
    read_line(&mut reader);
    fleet.engines[0].crash();
    let mut rest = String::new();
    let result = std::io::Read::read_to_string(&mut reader, &mut rest);
    assert!(result.is_err(), "the transfer must fail, got {rest:?}");
    assert!(!rest.contains("[DONE]"));
}

/// Guards against engines that continue to generate after the caller has disconnected.
#[test]
fn a_caller_that_disconnects_cancels_its_stream() {
    let behaviour = Behaviour {
        token_gap: Duration::from_millis(20),
        ..without_delays()
    };
    let fleet = Fleet::start(1, &behaviour, &configuration());
    let mut reader = fleet.stream("ticket", 100_000);
    read_line(&mut reader);
    assert_eq!(fleet.engines[0].running(), 1);
    drop(reader);
    wait_until(|| fleet.engines[0].running() == 0);
}

/// Guards against a plain call whose path, status or body is lost or changed.
#[test]
fn a_plain_call_reaches_its_service() {
    let fleet = Fleet::start(1, &without_delays(), &configuration());
    let mut response = agent()
        .get(fleet.url("/plates/ink/cyan?paper=news"))
        .header("Authorization", format!("Bearer {KEY}"))
        .call()
        .expect("answer arrives");
    assert_eq!(response.status().as_u16(), 200);
    let text = response.body_mut().read_to_string().expect("body arrives");
    assert_eq!(text, r#"{"path":"/ink/cyan"}"#);
}

/// Guards against refusals without their code or outcome.
#[test]
fn refusals_contain_code_and_outcome() {
    let fleet = Fleet::start(1, &without_delays(), &configuration());
    let unknown_model = r#"{"model": "none", "messages": [{"role": "user", "content": "x"}]}"#;
    let cases = [
        ("/v1/chat/completions", "{}", 400, "invalid_request"),
        ("/v1/chat/completions", unknown_model, 404, "unknown_model"),
        ("/nowhere/x", "", 404, "not_found"),
        ("/plates/orders", "order", 400, "idempotency_key_required"),
    ];
    for (path, body, status, code) in cases {
        let answer = fleet.post(path, &[], body).expect("refusal arrives");
        assert_eq!(answer.status, status, "{}", answer.text);
        assert_eq!(answer.json()["error"]["code"], code);
        assert_eq!(answer.headers["tanagerford-outcome"], "not-run");
    }
}

/// Guards against an order that takes effect twice when its caller repeats it.
#[test]
fn a_repeated_order_runs_once_and_gets_the_same_answer() {
    let fleet = Fleet::start(1, &without_delays(), &configuration());
    let key = [("Idempotency-Key", "burn-17")];
    let first = fleet
        .post("/plates/orders", &key, "plate 7")
        .expect("answer arrives");
    let second = fleet
        .post("/plates/orders", &key, "plate 7")
        .expect("answer arrives");
    assert_eq!(first.status, 201, "{}", first.text);
    assert_eq!((second.status, &second.text), (first.status, &first.text));
    assert_eq!(fleet.service.effects_of("plate 7"), 1);
    let other = fleet
        .post("/plates/orders", &key, "plate 8")
        .expect("refusal arrives");
    assert_eq!(other.json()["error"]["code"], "idempotency_key_reused");
    assert_eq!(other.headers["tanagerford-outcome"], "not-run");
    assert_eq!(fleet.service.effects(), 1);
}

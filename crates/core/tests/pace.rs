//! Tests of the choice among servers that share their machines with others.

use std::time::Duration;

use proptest::prelude::*;
use tanagerford_core::dispatch::{
    CallOutcome, CostSettings, Demand, Pool, ReportedLoad, ServerPace, ServerSpec,
};

const NOW: Duration = Duration::from_secs(100);

fn pool(memory_tokens: u64) -> Pool {
    let mut pool = Pool::new("zone-a", CostSettings::default());
    let spec = |id: &str| ServerSpec {
        id: id.into(),
        zone: "zone-a".into(),
        slots: 4,
        memory_tokens,
    };
    pool.set_servers(&[spec("a"), spec("b")]);
    for server in ["a", "b"] {
        pool.on_outcome(NOW, server, CallOutcome::Answered { slowness: 1.0 });
    }
    pool
}

fn load(slots: u32, pace_percent: u32) -> ReportedLoad {
    ReportedLoad {
        slots: Some(slots),
        pace_percent: Some(pace_percent),
        ..ReportedLoad::default()
    }
}

fn prompt() -> Demand {
    Demand {
        prompt_tokens: 700,
        output_tokens: 100,
        ..Demand::default()
    }
}

/// Guards against plain calls and streams that go to a server which reports that it is slow at the moment.
#[test]
fn calls_avoid_a_server_that_is_slow_now() {
    for (demand, memory_tokens) in [(Demand::default(), 0), (prompt(), 300_000)] {
        let mut pool = pool(memory_tokens);
        let first = pool.choose(NOW, &demand, &[]).unwrap();
        pool.on_load(NOW, &first.server, load(4, 400));
        let slow = pool.choose(NOW, &demand, &[]).unwrap();
        assert_ne!(slow.server, first.server);
        // The figure says nothing about a later moment.
        let later = pool.choose(NOW + Duration::from_mins(1), &demand, &[]);
        assert_eq!(later.unwrap().server, first.server);
    }
}

/// Guards against an estimated time to the first token that ignores the pace, with which a long prompt would be admitted
/// although it will be late.
#[test]
fn estimated_times_follow_the_pace() {
    let mut pool = pool(300_000);
    let usual = pool.choose(NOW, &prompt(), &["b".into()]).unwrap();
    pool.on_load(NOW, "a", load(4, 300));
    let slow = pool.choose(NOW, &prompt(), &["b".into()]).unwrap();
    assert!((slow.first_token_ms / usual.first_token_ms - slow.slowness).abs() < 1e-9);
    assert!(slow.slowness > 2.0, "{}", slow.slowness);
}

/// Guards against a server with fewer places than registered that is filled beyond them, and against a report that counts for
/// ever.
#[test]
fn reported_slots_correct_the_registered_number() {
    let mut pool = pool(0);
    let first = pool.choose(NOW, &Demand::default(), &[]).unwrap().server;
    let other = if first == "a" { "b" } else { "a" };
    pool.on_start(NOW, &first, 1, &Demand::default());
    pool.on_start(NOW, other, 2, &Demand::default());
    pool.on_start(NOW, other, 3, &Demand::default());
    assert_eq!(
        pool.choose(NOW, &Demand::default(), &[]).unwrap().server,
        first
    );
    pool.on_load(NOW, &first, load(1, 100));
    assert_eq!(
        pool.choose(NOW, &Demand::default(), &[]).unwrap().server,
        other
    );
    let later = NOW + Duration::from_mins(1);
    assert_eq!(
        pool.choose(later, &Demand::default(), &[]).unwrap().server,
        first
    );
}

/// Guards against an estimate that follows every flicker of the figure, which is outdated when the call runs.
#[test]
fn flickering_pace_is_averaged() {
    let mut pace = ServerPace::default();
    let mut largest = 0.0_f64;
    for number in 0..200_u32 {
        let now = NOW + Duration::from_millis(20) * number;
        pace.observe(now, if number % 2 == 0 { 50 } else { 150 });
        if number >= 50 {
            largest = largest.max((pace.factor(now) - 1.0).abs());
        }
    }
    assert!(largest < 0.2, "{largest}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(57), ..ProptestConfig::default() })]

    /// Guards against estimates that any sequence of odd figures, also out of order, drives out of their bounds.
    #[test]
    fn any_figures_leave_the_estimate_within_bounds(
        figures in proptest::collection::vec((any::<u32>(), 0..3_000_u64, any::<u32>(), any::<u32>()), 1..100)
    ) {
        let mut pool = pool(0);
        let mut pace = ServerPace::default();
        for (figure, at_ms, running, slots) in figures {
            let now = NOW + Duration::from_millis(at_ms);
            for percent in [figure, figure % 1_200] {
                pace.observe(now, percent);
                let load = ReportedLoad {
                    running,
                    waiting: running,
                    slots: Some(slots),
                    pace_percent: Some(percent),
                };
                pool.on_load(now, "a", load);
                prop_assert!((0.25..=4.0).contains(&pace.factor(now)));
                let choice = pool.choose(now, &Demand::default(), &["b".into()]).unwrap();
                prop_assert!(choice.cost_ms.is_finite());
            }
        }
    }
}

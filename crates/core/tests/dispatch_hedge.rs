//! Tests of the decisions about hedged calls.

use std::time::Duration;

use proptest::prelude::*;
use tanagerford_core::dispatch::{
    CallKind, CallOutcome, CostSettings, Demand, Health, HedgeConditions, HedgeDenial, HedgeShare,
    MAX_SAVED_HEDGES, Pool, PoolHedging, ServerSpec,
};

const IDLE: HedgeConditions = HedgeConditions {
    is_processor_busy: false,
    has_room: true,
};

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn share(text: &str) -> HedgeShare {
    text.parse().unwrap()
}

/// Returns an account with observations from 1 to 100 ms, all at 1 s.
fn hedging(share_text: &str) -> PoolHedging {
    let mut hedging = PoolHedging::new(share(share_text));
    for took in 1..=100 {
        hedging.on_first_byte(ms(1_000), CallKind::Plain, ms(took));
    }
    hedging
}

/// Guards against hedges that begin before the share of the slowest calls, or long after it.
#[test]
fn hedges_begin_at_the_quantile_of_the_share() {
    for (share_text, quantile_ms) in [("0.01", 99), ("0.02", 98), ("0.05", 95)] {
        let after = hedging(share_text).hedge_after(ms(1_000), CallKind::Plain);
        let after = after.unwrap();
        let within = ms(quantile_ms)..=ms(quantile_ms).mul_f64(1.15);
        assert!(within.contains(&after), "{share_text}: {after:?}");
    }
}

/// Guards against hedges that are switched on by default, that begin before times are known, or that use the times of
/// another kind of call or of long ago.
#[test]
fn no_call_is_hedged_without_a_share_or_recent_times() {
    let plain = |hedging: &PoolHedging, at| hedging.hedge_after(at, CallKind::Plain);
    assert_eq!(plain(&hedging("0"), ms(1_000)), None);
    assert_eq!(plain(&PoolHedging::new(share("0.05")), ms(1_000)), None);
    let known = hedging("0.05");
    assert_eq!(known.hedge_after(ms(1_000), CallKind::new(100, 50)), None);
    assert_eq!(plain(&known, ms(300_000)), None);
}

/// Guards against a quantile that stays at the times of a slow phase which is over.
#[test]
fn times_of_a_slow_phase_are_forgotten() {
    let mut hedging = hedging("0.05");
    for second in 60..180 {
        hedging.on_first_byte(ms(second * 1_000), CallKind::Plain, ms(15));
    }
    let after = hedging.hedge_after(ms(180_000), CallKind::Plain).unwrap();
    assert!(after < ms(20), "{after:?}");
}

/// Guards against hedges of a busy entry or in a full pool, and against a denial that uses up the account.
#[test]
fn hedges_are_denied_in_a_shortage() {
    let mut hedging = hedging("0.05");
    (0..20).for_each(|_| hedging.on_call());
    let busy = HedgeConditions {
        is_processor_busy: true,
        ..IDLE
    };
    let full = HedgeConditions {
        has_room: false,
        ..IDLE
    };
    assert_eq!(hedging.try_hedge(busy), Err(HedgeDenial::ProcessorBusy));
    assert_eq!(hedging.try_hedge(full), Err(HedgeDenial::NoRoom));
    assert_eq!(hedging.try_hedge(IDLE), Ok(()));
    assert_eq!(hedging.try_hedge(IDLE), Err(HedgeDenial::ShareUsed));
    hedging.return_hedge();
    assert_eq!(hedging.try_hedge(IDLE), Ok(()));
}

/// Guards against a pool that counts as having room although the calls in flight take all of its slots.
#[test]
fn a_pool_has_room_until_its_slots_are_taken() {
    let mut pool = Pool::new("zone-a", CostSettings::default());
    let now = ms(1_000);
    assert!(!pool.has_room(now));
    let server = |id: &str| ServerSpec {
        id: id.into(),
        zone: "zone-a".into(),
        slots: 2,
        memory_tokens: 0,
    };
    pool.set_servers(&[server("a"), server("b")]);
    for (call, server) in [(1, "a"), (2, "a"), (3, "b"), (4, "b")] {
        assert!(pool.has_room(now));
        pool.on_start(now, server, call, &Demand::default());
    }
    assert!(!pool.has_room(now));
    pool.on_end("b", 4);
    assert!(pool.has_room(now));
}

/// Guards against a hanging server that counts as answering because hedges answer in its place, and against one that is
/// ejected for being overtaken.
#[test]
fn an_overtaken_server_counts_as_slow_only() {
    let now = ms(1_000);
    let overtaken = CallOutcome::Overtaken { slowness: 4.0 };
    let outcomes = [CallOutcome::TimedOut, CallOutcome::TimedOut, overtaken];
    let mut health = Health::default();
    for outcome in outcomes {
        health.record(now, outcome);
        assert!(!health.is_ejected(now));
    }
    health.record(now, CallOutcome::TimedOut);
    assert!(health.is_ejected(now));
}

/// Returns numbers from 0 to below 1, the same ones in every run (a linear congruential generator).
fn draws() -> impl FnMut() -> f64 {
    let mut state = 57_u64;
    move || {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        f64::from(u32::try_from(state >> 32).unwrap()) / 4_294_967_296.0
    }
}

/// Times to the first byte in milliseconds (p50, p99, p99.9) and hedges per 1,000 calls.
type Outcome = (u128, u128, u128, usize);

/// Plays 40,000 calls of one entry, 20 a second, and hedges those that the account allows. `first_byte_ms` returns the time of a
/// server, by two draws.
fn play(share_text: &str, first_byte_ms: impl Fn(f64, f64) -> f64) -> Outcome {
    let mut draw = draws();
    let mut hedging = PoolHedging::new(share(share_text));
    let (mut times, mut hedges) = (Vec::new(), 0);
    for number in 0..40_000 {
        let now = ms(number * 50);
        let mut time = || Duration::from_secs_f64(first_byte_ms(draw(), draw()) / 1_000.0);
        let (first, second) = (time(), time());
        hedging.on_call();
        let due = hedging.hedge_after(now, CallKind::Plain);
        let due = due.filter(|after| *after < first && hedging.try_hedge(IDLE).is_ok());
        hedges += usize::from(due.is_some());
        let took = due.map_or(first, |after| first.min(after + second));
        if due.is_some_and(|after| after + second <= first) {
            hedging.on_first_byte(now, CallKind::Plain, second);
        }
        hedging.on_first_byte(now, CallKind::Plain, took);
        times.push(took.as_millis());
    }
    times.sort_unstable();
    let at = |per_1_000: usize| times[times.len() * per_1_000 / 1_000];
    (at(500), at(990), at(999), hedges / 40)
}

/// Returns the outcomes with 0, 1, 2 and 5 hedges in 100 calls.
fn outcomes(first_byte_ms: impl Fn(f64, f64) -> f64 + Copy) -> [Outcome; 4] {
    ["0", "0.01", "0.02", "0.05"].map(|share| play(share, first_byte_ms))
}

/// Guards against hedges that leave the slowest answers as slow as without them, or exceed the share, where 15 in 1,000 answers
/// stall for 300 to 500 ms.
#[test]
fn hedges_cut_answers_that_stall() {
    let stalling = |draw: f64, size: f64| {
        if draw < 0.015 {
            300.0 + 200.0 * size
        } else {
            10.0 + 15.0 * size
        }
    };
    let [off, one, two, five] = outcomes(stalling);
    assert_eq!(off.3, 0);
    assert!(one.3 <= 10 && two.3 <= 20 && five.3 <= 50);
    // The share covers the calls that stall.
    assert!(two.1 < off.1 / 2 && two.2 < off.2 / 2);
    assert!(five.1 < off.1 / 2 && five.2 < off.2 / 2);
}

/// Guards against hedges that exceed the share where one of four servers is ten times slower than the others, so that more
/// calls are slow than the share covers.
#[test]
fn hedges_keep_to_the_share_beside_a_slow_server() {
    let one_slow = |draw: f64, size: f64| {
        let usual_ms = 10.0 + 15.0 * size;
        if draw < 0.25 {
            10.0 * usual_ms
        } else {
            usual_ms
        }
    };
    let [off, one, two, five] = outcomes(one_slow);
    assert_eq!(off.3, 0);
    assert!(one.3 <= 10 && two.3 <= 20 && five.3 <= 50);
}

/// Step of one VM: a number of calls, after which it asks for a number of hedges, and whether its process starts anew before.
type Step = (u8, u64, u64, bool);

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a fleet that exceeds the operator's share: entries of any number take turns in any order, start anew at
    /// any time and ask for as many hedges as they may. Since the start, the hedges never exceed the share of the calls; in
    /// any later span they exceed it by what the VMs can have saved, which does not grow with restarts.
    #[test]
    fn no_fleet_exceeds_the_share(
        millionths in 0..=50_000_u64,
        steps in prop::collection::vec((0..24_u8, 0..400_u64, 0..6_u64, any::<bool>()), 1..200),
        span_start in 0..200_usize,
    ) {
        let steps: Vec<Step> = steps;
        let share = share(&format!("0.{millionths:06}"));
        let mut entries: Vec<_> = (0..24).map(|_| PoolHedging::new(share)).collect();
        let (mut calls, mut hedges, mut at_span_start) = (0, 0, None);
        for (number, (vm, new_calls, asks, restarts)) in steps.into_iter().enumerate() {
            if number == span_start {
                at_span_start = Some((calls, hedges));
            }
            let entry = &mut entries[usize::from(vm)];
            if restarts {
                *entry = PoolHedging::new(share);
            }
            for _ in 0..new_calls {
                entry.on_call();
                calls += 1;
            }
            hedges += (0..asks).filter(|_| entry.try_hedge(IDLE).is_ok()).map(|_| 1_u64).sum::<u64>();
            prop_assert!(hedges * 1_000_000 <= calls * millionths, "{hedges} hedges of {calls} calls");
            if let Some((calls_before, hedges_before)) = at_span_start {
                let saved = 24 * u64::from(MAX_SAVED_HEDGES);
                let allowed = (calls - calls_before) * millionths + saved * 1_000_000;
                prop_assert!((hedges - hedges_before) * 1_000_000 <= allowed);
            }
        }
    }
}

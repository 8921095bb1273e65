//! Tests of the bound on the work that an entry takes while it is short of processor time.

use std::time::Duration;

use tanagerford_core::dispatch::{OverloadGate, OverloadSettings, PROBE_INTERVAL};

/// Calls in flight at the entry.
const FLIGHTS: usize = 20;

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Runs probes with the given delays, each due an interval after the one before; returns the time of the last one.
fn probe(
    gate: &mut OverloadGate,
    mut now: Duration,
    delays: impl IntoIterator<Item = u64>,
) -> Duration {
    for delay in delays {
        now += PROBE_INTERVAL + ms(delay);
        gate.on_probe(now, FLIGHTS);
    }
    now
}

/// Offers ten calls of a rank; returns how many enter.
fn offer(gate: &mut OverloadGate, now: Duration, rank: u8) -> usize {
    (0..10)
        .filter(|_| gate.admits(now, rank, ms(500), FLIGHTS))
        .count()
}

/// Gate without exceptions, which would blur the counts.
fn gate() -> OverloadGate {
    let mut gate = OverloadGate::new(OverloadSettings {
        exception_interval_ms: 1e9,
        ..OverloadSettings::default()
    });
    gate.on_probe(ms(1_000), FLIGHTS);
    gate
}

/// Guards against calls that are refused for a moment's delay: decoding a large configuration, or waiting for the next
/// share of a quota of processor time.
#[test]
fn a_moment_of_delay_refuses_nothing() {
    let mut gate = gate();
    let now = probe(&mut gate, ms(1_000), [0, 90, 0, 90, 0, 0, 45, 0]);
    assert_eq!(
        (offer(&mut gate, now, 0), offer(&mut gate, now, 5)),
        (10, 10)
    );
}

/// Guards against an entry that takes calls while it is short of processor time, and against high ranks that are refused
/// while lower ones enter.
#[test]
fn a_standing_delay_refuses_the_lowest_ranks_first() {
    for delay in [45, 55, 75] {
        let mut gate = gate();
        // Without a limit of calls in flight, the delay alone decides.
        let now = probe(&mut gate, ms(1_000), [delay]);
        gate.on_probe(now + PROBE_INTERVAL + ms(delay), 1_000);
        let now = now + PROBE_INTERVAL + ms(delay);
        let entered = [0, 1, 4].map(|rank| offer(&mut gate, now, rank));
        let expected = match delay {
            45 => [10, 10, 0],
            55 => [10, 0, 0],
            _ => [0, 0, 0],
        };
        assert_eq!(entered, expected, "{delay} ms");
    }
}

/// Guards against calls that enter one after the other between two probes, each with work that comes later: the delay that
/// they cause was seen only when it was many times the limit.
#[test]
fn no_more_calls_are_in_flight_than_the_entry_kept_up_with() {
    let mut gate = gate();
    let now = probe(&mut gate, ms(1_000), [60, 60, 0]);
    let mut enters = |rank, flights| gate.admits(now, rank, ms(500), flights);
    assert!(enters(0, FLIGHTS / 2));
    assert!(!enters(0, FLIGHTS));
    assert!(!enters(1, FLIGHTS / 2), "a lower rank leaves room");
    assert!(enters(1, FLIGHTS / 4));
    let now = probe(&mut gate, now, [0; 30]);
    assert!(gate.admits(now, 0, ms(500), FLIGHTS));
}

/// Guards against an entry that goes on to refuse calls when it has time again.
#[test]
fn calls_enter_again_when_the_delay_has_gone() {
    let mut gate = gate();
    let now = probe(&mut gate, ms(1_000), [400, 400, 400, 400]);
    assert!(offer(&mut gate, now, 1) < 10);
    let now = probe(&mut gate, now, [0; 40]);
    assert_eq!(offer(&mut gate, now, 1), 10);
}

/// Guards against ranks that never enter while higher ones fill the entry.
#[test]
fn the_lowest_rank_is_slowed_but_never_starved() {
    let mut gate = OverloadGate::default();
    gate.on_probe(ms(1_000), FLIGHTS);
    let mut now = ms(1_000);
    let mut entered = 0;
    for _ in 0..40 {
        now = probe(&mut gate, now, [450]);
        offer(&mut gate, now, 0);
        entered += offer(&mut gate, now, 9);
    }
    assert!((2..=20).contains(&entered), "{entered} calls in {now:?}");
}

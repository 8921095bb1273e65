//! Tests of the admission control of an entry that is short of processor time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use proptest::prelude::*;
use tanagerford_core::dispatch::{
    Arrival, ArrivingCall, OverloadGate, OverloadSettings, PROBE_INTERVAL, Rank, Settlement,
    WaiterNumber,
};

/// Calls in flight at the entry.
const IN_FLIGHT: usize = 20;

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn call(rank: Rank) -> ArrivingCall {
    ArrivingCall {
        rank,
        objective: ms(500),
        remaining: ms(12_000),
    }
}

/// Runs probes with the given delays, each due an interval after the previous one, and returns the time of the last
/// one.
fn run_probes(
    gate: &mut OverloadGate,
    mut now: Duration,
    delays: impl IntoIterator<Item = u64>,
) -> Duration {
    for delay in delays {
        now += PROBE_INTERVAL + ms(delay);
        gate.on_probe(now, IN_FLIGHT);
    }
    now
}

/// Offers ten calls of a rank and returns how many are admitted at once.
fn admitted_of_ten(gate: &mut OverloadGate, now: Duration, rank: Rank) -> usize {
    (0..10)
        .filter(|_| gate.arrive(now, call(rank), IN_FLIGHT) == Arrival::Admitted)
        .count()
}

/// Offers a call that has to wait.
fn wait(gate: &mut OverloadGate, now: Duration, rank: Rank) -> WaiterNumber {
    match gate.arrive(now, call(rank), IN_FLIGHT) {
        Arrival::Waits(number) => number,
        Arrival::Admitted => panic!("a call of rank {rank} is admitted at {now:?}"),
    }
}

fn admitted(settled: &[Settlement]) -> Vec<WaiterNumber> {
    let admitted = settled.iter().filter(|(_, decision)| decision.is_ok());
    admitted.map(|(number, _)| *number).collect()
}

/// Creates a gate without exceptions, which would change the counts.
fn gate() -> OverloadGate {
    let mut gate = OverloadGate::new(OverloadSettings {
        exception_interval_ms: 1e9,
        ..OverloadSettings::default()
    });
    gate.on_probe(ms(1_000), IN_FLIGHT);
    gate
}

/// Guards against calls that are refused for a short delay, such as decoding a large configuration or waiting for the
/// refill of a processor quota.
#[test]
fn short_delay_refuses_no_calls() {
    let mut gate = gate();
    let now = run_probes(&mut gate, ms(1_000), [0, 90, 0, 90, 0, 0, 45, 0]);
    assert_eq!(
        (
            admitted_of_ten(&mut gate, now, 0),
            admitted_of_ten(&mut gate, now, 5)
        ),
        (10, 10)
    );
}

/// Guards against calls that are refused because they arrive during a single stall of the process, and against an entry
/// that stays closed after it although its processor is idle.
#[test]
fn one_stall_refuses_no_call_and_leaves_the_entry_open() {
    let mut gate = gate();
    let now = run_probes(&mut gate, ms(1_000), [400]);
    let waiting = [4, 0, 3, 0].map(|rank| wait(&mut gate, now, rank));
    assert_eq!(gate.settle(now, IN_FLIGHT), []);
    let now = run_probes(&mut gate, now, [0]);
    let settled = gate.settle(now, IN_FLIGHT);
    assert_eq!(
        admitted(&settled),
        [waiting[3], waiting[1], waiting[2], waiting[0]]
    );
    assert_eq!(settled.len(), waiting.len());
    for rank in [5, 4, 3, 0] {
        assert_eq!(admitted_of_ten(&mut gate, now, rank), 10, "rank {rank}");
    }
}

/// Guards against an entry that admits calls while it is short of processor time, and against high ranks that wait while
/// lower ones are admitted.
#[test]
fn persistent_delay_holds_back_the_lowest_ranks_first() {
    for delay in [45, 54, 60, 75] {
        let mut gate = gate();
        // Each rank has a third of the calls.
        for rank in [0, 1, 4] {
            assert_eq!(admitted_of_ten(&mut gate, ms(1_000), rank), 10);
        }
        // With this many calls in flight at the probe there is no effective limit on them, so the delay alone decides.
        let now = run_probes(&mut gate, ms(1_000), [delay]);
        gate.on_probe(now + PROBE_INTERVAL + ms(delay), 1_000);
        let now = now + PROBE_INTERVAL + ms(delay);
        // The lowest rank is first, so that no waiting call of a higher rank decides.
        let admitted =
            [4, 1, 0].map(|rank| gate.arrive(now, call(rank), IN_FLIGHT) == Arrival::Admitted);
        let expected = match delay {
            45 => [true, true, true],
            54 => [false, true, true],
            60 => [false, false, true],
            _ => [false, false, false],
        };
        assert_eq!(admitted, expected, "{delay} ms");
    }
}

/// Guards against low ranks that are admitted between two peaks of the delay, while higher ranks are refused in each
/// peak.
#[test]
fn calls_that_arrive_in_a_peak_are_admitted_before_lower_ranks() {
    let mut gate = gate();
    let mut now = ms(1_000);
    let mut waiting_high = BTreeSet::new();
    let mut high_refused = 0;
    for _ in 0..20 {
        for delay in [400, 0, 0] {
            now = run_probes(&mut gate, now, [delay]);
            for (number, decision) in gate.settle(now, IN_FLIGHT) {
                let is_high = waiting_high.remove(&number);
                high_refused += u32::from(is_high && decision.is_err());
                assert!(
                    is_high || decision.is_err() || waiting_high.is_empty(),
                    "a lower rank is admitted before {waiting_high:?} at {now:?}"
                );
            }
            for rank in [4, 3, 4, 3] {
                let arrival = gate.arrive(now, call(rank), IN_FLIGHT);
                match arrival {
                    Arrival::Waits(number) if rank == 3 => drop(waiting_high.insert(number)),
                    Arrival::Admitted if rank == 4 => assert!(waiting_high.is_empty()),
                    _ => {}
                }
            }
        }
    }
    assert_eq!(high_refused, 0);
}

/// Guards against a burst of a lower rank that causes the next shortage as soon as the delay is over.
#[test]
fn lower_ranks_return_as_the_limit_of_calls_in_flight_grows() {
    let mut gate = gate();
    // Half of the calls have the higher rank.
    assert_eq!(admitted_of_ten(&mut gate, ms(1_000), 3), 10);
    assert_eq!(admitted_of_ten(&mut gate, ms(1_000), 4), 10);
    let now = run_probes(&mut gate, ms(1_000), [60, 60, 0, 0]);
    // With 20 calls in flight, the processor ran late, so the lower rank has to leave room for the higher one.
    let mut admits = |rank, in_flight| {
        let arrival = gate.arrive(now, call(rank), in_flight);
        if let Arrival::Waits(number) = arrival {
            gate.leave(number);
        }
        arrival == Arrival::Admitted
    };
    assert!(admits(3, 15));
    assert!(!admits(4, 15));
    assert!(admits(4, 8));
    // One and a half seconds on time.
    let now = run_probes(&mut gate, now, [0; 30]);
    assert_eq!(admitted_of_ten(&mut gate, now, 4), 10);
}

/// Guards against low ranks that return later than higher ones although the processor has time for all, and against calls
/// that return in the order of their arrival.
#[test]
fn waiting_calls_return_by_rank_and_newest_first() {
    let mut gate = gate();
    let before: usize = (0..8)
        .map(|rank| admitted_of_ten(&mut gate, ms(1_000), rank))
        .sum();
    assert_eq!(before, 80);
    let now = run_probes(&mut gate, ms(1_000), [400]);
    let arrivals: Vec<_> = (0..2)
        .flat_map(|_| (0..8).rev())
        .map(|rank| (rank, wait(&mut gate, now, rank)))
        .collect();
    let now = run_probes(&mut gate, now, [0]);
    let mut expected = arrivals.clone();
    expected.sort_by_key(|(rank, number)| (*rank, std::cmp::Reverse(*number)));
    let expected: Vec<_> = expected.into_iter().map(|(_, number)| number).collect();
    assert_eq!(admitted(&gate.settle(now, IN_FLIGHT)), expected);
}

/// Guards against callers that wait in a queue which only grows, so that each admitted call is late: the queue of a lasting
/// shortage is short, and the oldest call of the lowest rank is refused at once.
#[test]
fn a_queue_that_does_not_drain_is_cut() {
    let mut gate = gate();
    let mut now = run_probes(&mut gate, ms(1_000), [150, 150]);
    let low = [4, 4].map(|rank| wait(&mut gate, now, rank));
    let high = [0, 0].map(|rank| wait(&mut gate, now, rank));
    assert_eq!(gate.settle(now, IN_FLIGHT), []);
    now = run_probes(&mut gate, now, [150]);
    let settled = gate.settle(now, IN_FLIGHT);
    let refused: Vec<_> = settled.iter().map(|(number, _)| *number).collect();
    assert_eq!(refused, [low[0], low[1], high[0]]);
    assert!(admitted(&settled).is_empty());
}

/// Guards against a call that waits past the time in which it could still be served here or at another entry.
#[test]
fn a_call_waits_for_a_share_of_its_time() {
    let mut gate = gate();
    let now = run_probes(&mut gate, ms(1_000), [400]);
    let short = ArrivingCall {
        remaining: ms(400),
        ..call(0)
    };
    let Arrival::Waits(number) = gate.arrive(now, short, IN_FLIGHT) else {
        panic!("the call is admitted during a stall");
    };
    assert_eq!(gate.settle(now + ms(99), IN_FLIGHT), []);
    let settled = gate.settle(now + ms(100), IN_FLIGHT);
    assert_eq!(settled.len(), 1);
    assert!(settled[0].0 == number && settled[0].1.is_err());
}

/// Guards against calls that are admitted one after the other between two probes and cause their work later: the delay
/// was detected only when it was many times the limit.
#[test]
fn calls_in_flight_are_limited_to_what_the_processor_handles() {
    let mut gate = gate();
    assert_eq!(admitted_of_ten(&mut gate, ms(1_000), 0), 10);
    let now = run_probes(&mut gate, ms(1_000), [60, 60, 0]);
    let mut admits = |rank, in_flight| gate.arrive(now, call(rank), in_flight) == Arrival::Admitted;
    assert!(admits(0, IN_FLIGHT / 2));
    assert!(
        !admits(1, IN_FLIGHT / 2),
        "a lower rank has a smaller limit"
    );
    assert!(admits(1, IN_FLIGHT / 4));
    assert!(!admits(0, IN_FLIGHT));
    let now = run_probes(&mut gate, now, [0; 30]);
    assert_eq!(admitted(&gate.settle(now, IN_FLIGHT)).len(), 2);
    assert_eq!(gate.arrive(now, call(0), IN_FLIGHT), Arrival::Admitted);
}

/// Guards against an entry that keeps calls waiting after its processor has recovered.
#[test]
fn calls_are_admitted_again_after_the_delay_ends() {
    let mut gate = gate();
    let now = run_probes(&mut gate, ms(1_000), [400, 400, 400, 400]);
    assert!(admitted_of_ten(&mut gate, now, 1) < 10);
    let now = run_probes(&mut gate, now, [0; 40]);
    gate.settle(now, IN_FLIGHT);
    assert!(!gate.has_waiting());
    assert_eq!(admitted_of_ten(&mut gate, now, 1), 10);
}

/// Guards against ranks that are never admitted while higher ones use up the entry's capacity.
#[test]
fn the_lowest_rank_is_slowed_but_never_starved() {
    let mut gate = OverloadGate::default();
    gate.on_probe(ms(1_000), IN_FLIGHT);
    let mut now = ms(1_000);
    let mut admitted_low = 0;
    for _ in 0..40 {
        now = run_probes(&mut gate, now, [450]);
        gate.settle(now, IN_FLIGHT);
        admitted_of_ten(&mut gate, now, 0);
        admitted_low += admitted_of_ten(&mut gate, now, 9);
    }
    assert!(
        (2..=20).contains(&admitted_low),
        "{admitted_low} calls in {now:?}"
    );
}

proptest! {
    /// Guards against a call that is admitted while a call of a higher rank waits, and against calls that are settled
    /// twice or never.
    #[test]
    fn ranks_keep_their_order_and_each_call_is_settled_once(
        steps in prop::collection::vec((0_u64..120, 0_usize..40, prop::collection::vec(0_u8..5, 0..6)), 1..60)
    ) {
        let mut gate = gate();
        let mut now = ms(1_000);
        let mut waiting: BTreeMap<WaiterNumber, Rank> = BTreeMap::new();
        for (delay, in_flight, ranks) in steps {
            now += PROBE_INTERVAL + ms(delay);
            gate.on_probe(now, in_flight);
            for (number, decision) in gate.settle(now, in_flight) {
                let rank = waiting.remove(&number);
                prop_assert!(rank.is_some(), "call {} is settled without waiting", number);
                prop_assert!(
                    decision.is_err() || waiting.values().all(|other| Some(*other) >= rank)
                );
            }
            for rank in ranks {
                match gate.arrive(now, call(rank), in_flight) {
                    Arrival::Admitted => prop_assert!(waiting.values().all(|other| *other >= rank)),
                    Arrival::Waits(number) => prop_assert!(waiting.insert(number, rank).is_none()),
                }
            }
        }
        gate.on_probe(now + PROBE_INTERVAL, 0);
        gate.on_probe(now + PROBE_INTERVAL * 2, 0);
        let settled = gate.settle(now + PROBE_INTERVAL * 2 + ms(2_000), 0);
        prop_assert_eq!(settled.len(), waiting.len());
        prop_assert!(!gate.has_waiting());
    }
}

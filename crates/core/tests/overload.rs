//! Tests of the load shedding of an entry that is short of processor time.

use std::time::Duration;

use tanagerford_core::dispatch::{OverloadGate, OverloadSettings, PROBE_INTERVAL};

/// Calls in flight at the entry.
const IN_FLIGHT: usize = 20;

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
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

/// Offers ten calls of a rank and returns how many are admitted.
fn admitted_of_ten(gate: &mut OverloadGate, now: Duration, rank: u8) -> usize {
    (0..10)
        .filter(|_| gate.admit(now, rank, ms(500), IN_FLIGHT).is_ok())
        .count()
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

/// Guards against an entry that admits calls while it is short of processor time, and against high ranks that are
/// refused while lower ones are admitted.
#[test]
fn persistent_delay_refuses_the_lowest_ranks_first() {
    for delay in [45, 57, 60, 75] {
        let mut gate = gate();
        // Each rank has a third of the calls.
        for rank in [0, 1, 4] {
            assert_eq!(admitted_of_ten(&mut gate, ms(1_000), rank), 10);
        }
        // With this many calls in flight at the probe there is no effective limit on them, so the delay alone decides.
        let now = run_probes(&mut gate, ms(1_000), [delay]);
        gate.on_probe(now + PROBE_INTERVAL + ms(delay), 1_000);
        let now = now + PROBE_INTERVAL + ms(delay);
        // The lowest rank is first, so that no earlier refusal of a higher rank decides.
        let admitted = [4, 1, 0].map(|rank| gate.admit(now, rank, ms(500), IN_FLIGHT).is_ok());
        let expected = match delay {
            45 => [true, true, true],
            57 => [false, true, true],
            60 => [false, false, true],
            _ => [false, false, false],
        };
        assert_eq!(admitted, expected, "{delay} ms");
    }
}

/// Guards against low ranks that are admitted between two peaks of the delay, while higher ranks are refused in each
/// peak.
#[test]
fn a_refusal_closes_the_entry_to_lower_ranks() {
    let mut gate = gate();
    let mut admitted = [0, 0];
    let mut now = ms(1_000);
    for _ in 0..20 {
        for delays in [[400], [0], [0]] {
            now = run_probes(&mut gate, now, delays);
            for (count, rank) in admitted.iter_mut().zip([3, 4]) {
                *count += admitted_of_ten(&mut gate, now, rank);
            }
        }
    }
    assert!(admitted[0] >= 200, "{admitted:?}");
    assert_eq!(admitted[1], 0, "{admitted:?}");
}

/// Guards against a burst of a lower rank that causes the next shortage as soon as the entry is open to it again.
#[test]
fn lower_ranks_are_admitted_again_gradually() {
    let mut gate = gate();
    let now = run_probes(&mut gate, ms(1_000), [400]);
    assert_eq!(admitted_of_ten(&mut gate, now, 3), 0);
    let mut admitted_after = |after| {
        let end = now + ms(after);
        // Probes on time until then.
        let probes = (1..).map(|probe| now + PROBE_INTERVAL * probe);
        for probe in probes.take_while(|probe| *probe <= end) {
            gate.on_probe(probe, IN_FLIGHT);
        }
        admitted_of_ten(&mut gate, end, 4)
    };
    assert_eq!(
        [900, 3_000, 5_000, 9_000].map(&mut admitted_after),
        [0, 2, 5, 10]
    );
}

/// Guards against low ranks that wait until each higher rank has been admitted fully for a while: with many ranks that
/// took the longer, the lower the rank.
#[test]
fn ranks_are_admitted_again_in_order_and_at_the_same_time_in_all() {
    let mut gate = gate();
    let now = run_probes(&mut gate, ms(1_000), [400]);
    for rank in 0..8 {
        assert_eq!(admitted_of_ten(&mut gate, now, rank), 0);
    }
    gate.on_probe(now + PROBE_INTERVAL, IN_FLIGHT);
    gate.on_probe(now + PROBE_INTERVAL * 2, IN_FLIGHT);
    let mut admitted_after = |after: u64| {
        let end = now + ms(after);
        let probes = (3..).map(|probe| now + PROBE_INTERVAL * probe);
        for probe in probes.take_while(|probe| *probe <= end) {
            gate.on_probe(probe, IN_FLIGHT);
        }
        let mut admitted = [0; 8];
        for _ in 0..40 {
            for (count, rank) in admitted.iter_mut().zip(0..) {
                *count += u32::from(gate.admit(end, rank, ms(500), IN_FLIGHT).is_ok());
            }
        }
        admitted
    };
    let half = admitted_after(5_000);
    assert!(
        half.is_sorted_by(|higher, lower| higher >= lower),
        "{half:?}"
    );
    assert_eq!((&half[..3], &half[5..]), (&[40; 3][..], &[0; 3][..]));
    assert_eq!(admitted_after(9_100), [40; 8]);
}

/// Guards against calls that are admitted one after the other between two probes and cause their work later: the delay
/// was detected only when it was many times the limit.
#[test]
fn calls_in_flight_are_limited_to_what_the_processor_handles() {
    let mut gate = gate();
    assert_eq!(admitted_of_ten(&mut gate, ms(1_000), 0), 10);
    let now = run_probes(&mut gate, ms(1_000), [60, 60, 0]);
    let mut admits = |rank, in_flight| gate.admit(now, rank, ms(500), in_flight).is_ok();
    assert!(admits(0, IN_FLIGHT / 2));
    assert!(
        !admits(1, IN_FLIGHT / 2),
        "a lower rank has a smaller limit"
    );
    assert!(admits(1, IN_FLIGHT / 4));
    assert!(!admits(0, IN_FLIGHT));
    let now = run_probes(&mut gate, now, [0; 30]);
    assert!(gate.admit(now, 0, ms(500), IN_FLIGHT).is_ok());
}

/// Guards against an entry that keeps refusing calls after its processor has recovered.
#[test]
fn calls_are_admitted_again_after_the_delay_ends() {
    let mut gate = gate();
    let now = run_probes(&mut gate, ms(1_000), [400, 400, 400, 400]);
    assert!(admitted_of_ten(&mut gate, now, 1) < 10);
    let now = run_probes(&mut gate, now, [0; 40]);
    assert_eq!(admitted_of_ten(&mut gate, now, 1), 10);
}

/// Guards against ranks that are never admitted while higher ones use up the entry's capacity.
#[test]
fn the_lowest_rank_is_slowed_but_never_starved() {
    let mut gate = OverloadGate::default();
    gate.on_probe(ms(1_000), IN_FLIGHT);
    let mut now = ms(1_000);
    let mut admitted = 0;
    for _ in 0..40 {
        now = run_probes(&mut gate, now, [450]);
        admitted_of_ten(&mut gate, now, 0);
        admitted += admitted_of_ten(&mut gate, now, 9);
    }
    assert!((2..=20).contains(&admitted), "{admitted} calls in {now:?}");
}

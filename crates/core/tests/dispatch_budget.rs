//! Tests of the retry budget.

use std::time::Duration;

use proptest::prelude::*;
use tanagerford_core::dispatch::{BudgetLimits, EntryShare, RetryBudget, TakenRetry};

const LIMITS: BudgetLimits = BudgetLimits {
    ratio: 0.2,
    extra: 108.0,
    window: Duration::from_secs(10),
};

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Requests and repeats of all processes of a fleet.
#[derive(Debug, Default)]
struct Record {
    requests: Vec<Duration>,
    repeats: Vec<Duration>,
}

impl Record {
    fn sort(&mut self) {
        self.requests.sort_unstable();
        self.repeats.sort_unstable();
    }

    /// Counts the times from `start` to `end`, both included; times before 0 have none.
    fn count(times: &[Duration], start: Duration, end: Duration) -> f64 {
        let count =
            times.partition_point(|at| *at <= end) - times.partition_point(|at| *at < start);
        f64::from(u32::try_from(count).unwrap())
    }

    /// Returns the largest number of repeats in a window beyond the share of the requests that the fleet allows: those of
    /// that window, of the one before or of the one half a window before, whichever has most.
    fn excess(&self) -> f64 {
        let window = LIMITS.window;
        let excess_from = |start: Duration| {
            let requests = [Duration::ZERO, window / 2, window].map(|earlier| {
                let end = (start + window).saturating_sub(earlier);
                Self::count(&self.requests, start.saturating_sub(earlier), end)
            });
            let most = requests.into_iter().fold(0.0, f64::max);
            Self::count(&self.repeats, start, start + window) - LIMITS.ratio * most
        };
        self.repeats
            .iter()
            .copied()
            .map(excess_from)
            .fold(0.0, f64::max)
    }
}

/// Share of a process that is not registered yet.
const NO_SHARE: EntryShare = EntryShare {
    registered: 0,
    is_first_process: true,
};

/// Runs a process that asks for four repeats after each of its requests from `failing_from` on.
fn run_process(
    requests: impl IntoIterator<Item = Duration>,
    failing_from: Duration,
    share: EntryShare,
    record: &mut Record,
) {
    let mut budget = RetryBudget::default();
    for at in requests {
        budget.on_request(at, &LIMITS);
        record.requests.push(at);
        let asks = if at < failing_from { 0 } else { 4 };
        for _ in 0..asks {
            if budget.try_retry(at, &LIMITS, share).is_some() {
                record.repeats.push(at);
            }
        }
    }
}

/// Guards against entries that together exceed the retry limits of the pool in any window while every request keeps
/// asking for retries.
#[test]
fn all_entries_together_stay_within_the_pool_limits() {
    let entries = 8;
    let mut record = Record::default();
    for entry in 0..entries {
        // For half of the time there is hardly any traffic, so that windows with few requests follow windows with many.
        let ticks = (0..3_000_u64).filter(|tick| tick % entries == entry);
        let ticks = ticks.filter(|tick| (tick / 700) % 2 == 0 || tick % 50 == 0);
        run_process(
            ticks.map(|tick| ms(tick * 10)),
            Duration::ZERO,
            NO_SHARE,
            &mut record,
        );
    }
    record.sort();
    assert!(record.excess() <= 0.0, "{}", record.excess());
    assert!(record.repeats.len() > 100);
}

/// Guards against a budget that begins anew with each process: entries that are killed twice in a window sent 527 repeats
/// where 510 were allowed.
#[test]
fn entries_that_restart_have_no_budget_of_their_own() {
    let mut record = Record::default();
    for entry in 0..8_u64 {
        for (start, end) in [(0, 70), (72, 100), (102, 200)] {
            let share = EntryShare {
                registered: 8,
                is_first_process: start == 0,
            };
            let requests = (start * 100 + entry..end * 100).step_by(40).map(ms);
            run_process(requests, ms(4_000), share, &mut record);
        }
    }
    record.sort();
    let excess = record.excess();
    assert!(excess <= LIMITS.extra, "{excess} repeats beyond the limit");
    assert!(record.repeats.len() > 100);
}

/// Guards against a budget that leaves the fleet's limit unused while the load is even.
#[test]
fn steady_failures_may_use_the_limit() {
    let mut record = Record::default();
    run_process(
        (0..6_000).map(|tick| ms(tick * 10)),
        Duration::ZERO,
        NO_SHARE,
        &mut record,
    );
    let sent = Record::count(&record.repeats, ms(40_000), ms(50_000));
    assert!(sent >= 0.9 * 0.2 * 1_000.0, "{sent} of 200 repeats");
}

/// Guards against a repeat that is returned twice or to another time, which would allow more than the limit later.
#[test]
fn a_returned_retry_can_be_taken_again_once() {
    let mut budget = RetryBudget::default();
    for at in 0..1_000 {
        budget.on_request(ms(at * 10), &LIMITS);
    }
    let now = ms(10_000);
    let taken: Vec<_> = (0..1_000)
        .map_while(|_| budget.try_retry(now, &LIMITS, NO_SHARE))
        .collect();
    assert!(taken.len() > 90, "{}", taken.len());
    budget.return_retry(taken[0], &LIMITS);
    budget.return_retry(TakenRetry::Earned(ms(20)), &LIMITS);
    assert!(budget.may_retry(now, &LIMITS, NO_SHARE));
    assert!(budget.try_retry(now, &LIMITS, NO_SHARE).is_some());
    assert_eq!(budget.try_retry(now, &LIMITS, NO_SHARE), None);
}

/// Guards against a clock value that is older than the last one: the entry's threads read it before they take the lock.
#[test]
fn times_out_of_order_are_counted() {
    let mut budget = RetryBudget::default();
    budget.on_request(ms(30_000), &LIMITS);
    budget.on_request(ms(29_000), &LIMITS);
    assert_eq!(budget.try_retry(ms(3), &LIMITS, NO_SHARE), None);
}

/// Guards against entries with few requests that never repeat one, and against those that repeat before they know how many
/// entries there are.
#[test]
fn an_entry_with_few_requests_uses_its_part_of_the_constant() {
    let repeats = |registered| {
        let share = EntryShare {
            registered,
            is_first_process: false,
        };
        let mut budget = RetryBudget::default();
        let ask = |second: u64| {
            budget.on_request(ms(second * 1_000), &LIMITS);
            budget.try_retry(ms(second * 1_000), &LIMITS, share)
        };
        (0..600).step_by(6).filter_map(ask).count()
    };
    assert_eq!(repeats(0), 0);
    let used = repeats(9);
    assert!(used > 80, "{used} of 100 repeats");
}

/// Guards against first requests that are refused although the fleet has used nothing of its limit, and against an entry that
/// restarts and has that part again.
#[test]
fn only_the_first_process_of_a_vm_may_repeat_its_first_requests() {
    for (is_first_process, expected) in [(true, 3), (false, 0)] {
        let share = EntryShare {
            registered: 9,
            is_first_process,
        };
        let mut budget = RetryBudget::default();
        let repeats = (0..20).filter_map(|at| budget.try_retry(ms(at), &LIMITS, share));
        assert_eq!(repeats.count(), expected);
    }
}

/// Life of one process: the pause before it, its length, and the bursts of its requests, each with its offset, size and
/// interval.
type Life = (u64, u64, Vec<(u64, u64, u64)>);

/// Lives of the processes of one VM, and how many of a hundred registered entries it knows.
fn vm() -> impl Strategy<Value = (Vec<Life>, usize)> {
    let burst = (0..20_000_u64, 1..200_u64, 0..200_u64);
    let life = (
        0..9_000_u64,
        100..25_000_u64,
        prop::collection::vec(burst, 1..4),
    );
    (prop::collection::vec(life, 1..8), 50..200_usize)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a fleet that exceeds its limit: entries that start, die and join at any time, know more entries than there
    /// are or half of them, and have uneven traffic, while each of them sends as many repeats as it may.
    #[test]
    fn no_fleet_exceeds_its_limit(vms in prop::collection::vec(vm(), 1..24)) {
        let mut record = Record::default();
        let count = vms.len();
        for (lives, known_percent) in vms {
            let registered = (count * known_percent).div_ceil(100);
            let mut end = 0;
            for (life, (pause, length, bursts)) in lives.into_iter().enumerate() {
                let share = EntryShare {
                    registered,
                    is_first_process: life == 0,
                };
                let start = end + pause;
                end = start + length;
                let requests = bursts.iter().flat_map(|(offset, size, interval)| {
                    (0..*size).map(move |number| start + offset + number * interval)
                });
                let mut requests: Vec<_> = requests.filter(|at| *at < end).map(ms).collect();
                requests.sort_unstable();
                run_process(requests, Duration::ZERO, share, &mut record);
            }
        }
        record.sort();
        let excess = record.excess();
        prop_assert!(excess <= LIMITS.extra, "{} repeats beyond the share of the requests", excess);
    }
}

//! Rests that servers ask for, in virtual time.

use std::time::Duration;

use proptest::prelude::*;
use tanagerford_core::availability::{Availability, AvailabilityTable, MAX_REST, TrialCall};
use tanagerford_core::server_limit::{ServerKey, server_key};

const SERVER: ServerKey = 77;
/// Time after a refusal from which the rule counts requests, and their largest number.
const GRACE: Duration = Duration::from_millis(500);
const MAX_REQUESTS: usize = 2;
/// Time after a rest at which the slow start is over in any case.
const SLOW_START_TIME: Duration = Duration::from_secs(10);

/// Time for which a server that leaves may be used if no other one is available.
const LEAVING_GRACE: Duration = Duration::from_secs(1);

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Guards against a rest that a shorter or later statement or a success ends early.
#[test]
fn the_latest_end_holds() {
    for orders in [[3_000, 200, 1_000], [200, 3_000, 1], [1_000, 200, 3_000]] {
        let mut table = AvailabilityTable::default();
        for (index, rest_ms) in (0_u64..).zip(orders) {
            table.on_rest(ms(index), SERVER, ms(rest_ms));
            table.on_accepted(ms(index), SERVER);
        }
        let end = (0_u64..)
            .zip(orders)
            .map(|(index, rest_ms)| ms(index + rest_ms));
        let end = end.max().unwrap();
        assert_eq!(table.availability(ms(3), SERVER), Availability::At(end));
        assert!(!table.may_send(end.saturating_sub(ms(1)), SERVER));
        assert!(table.may_send(end, SERVER));
        assert_eq!(table.availability(end, SERVER), Availability::Now);
    }
}

/// Guards against a faulty server that stays unused for ever, and against arithmetic that overflows.
#[test]
fn a_rest_ends_after_a_day() {
    let mut table = AvailabilityTable::default();
    table.on_rest(ms(0), SERVER, Duration::MAX);
    assert!(!table.may_send(MAX_REST.saturating_sub(ms(1)), SERVER));
    assert!(table.may_send(MAX_REST, SERVER));
}

/// Guards against a rest that is taken for one of the next start of the server or of another server.
#[test]
fn a_rest_belongs_to_one_start() {
    let (first, second) = (server_key("a", Some(1)), server_key("a", Some(2)));
    let mut table = AvailabilityTable::default();
    table.on_rest(ms(0), first, ms(3_600_000));
    // The registry's record goes and comes back.
    table.settle(ms(10), |_| false);
    table.settle(ms(20), |_| true);
    assert!(!table.may_send(ms(30), first));
    assert!(table.may_send(ms(30), second));
    assert!(table.may_send(ms(30), server_key("b", Some(1))));
}

/// Guards against a server that all waiting calls meet when its rest ends.
#[test]
fn calls_after_a_rest_increase_with_its_answers() {
    let mut table = AvailabilityTable::default();
    table.on_rest(ms(0), SERVER, ms(3_000));
    let mut now = ms(3_000);
    // An answer to a call that was sent before the end does not count.
    table.on_accepted(ms(2_999), SERVER);
    for round in 0..6 {
        let mut calls = Vec::new();
        while table.availability(now, SERVER) == Availability::Now {
            calls.push(table.on_send(now, SERVER).expect("a trial call"));
        }
        assert_eq!(calls.len(), 1 << round);
        for call in calls {
            table.on_end(call);
        }
        table.on_accepted(now, SERVER);
        now += ms(10);
    }
    assert_eq!(table.on_send(now, SERVER), None);
    assert!(table.is_empty());
}

/// Guards against a server that gets no call any more because its first call after a rest failed or has no answer, and
/// against calls of an earlier slow start that are counted in a later one.
#[test]
fn a_first_call_without_an_answer_does_not_end_the_slow_start_for_ever() {
    let mut table = AvailabilityTable::default();
    table.on_rest(ms(0), SERVER, ms(100));
    let first = table.on_send(ms(100), SERVER).unwrap();
    table.on_end(first);
    assert_eq!(table.availability(ms(110), SERVER), Availability::Now);
    let silent = table.on_send(ms(110), SERVER).unwrap();
    assert_eq!(
        table.availability(ms(120), SERVER),
        Availability::At(ms(120))
    );
    // The server asks again; the silent call belongs to the earlier rest.
    table.on_rest(ms(130), SERVER, ms(100));
    let next = table.on_send(ms(230), SERVER).unwrap();
    table.on_end(silent);
    assert_eq!(
        table.availability(ms(240), SERVER),
        Availability::At(ms(240))
    );
    let later = ms(230) + SLOW_START_TIME;
    assert_eq!(table.availability(later, SERVER), Availability::Now);
    assert_eq!(table.on_send(later, SERVER), None);
    table.on_end(next);
}

/// Guards against memory that grows with the servers that ever asked for a rest.
#[test]
fn ended_rests_are_forgotten() {
    let mut table = AvailabilityTable::default();
    for server in 0..1_000 {
        table.on_rest(ms(server), server, ms(200));
    }
    table.settle(ms(1_200) + SLOW_START_TIME, |_| true);
    assert!(table.is_empty());
}

/// Guards against a pool that counts as at rest while one of its servers is available, and against a time that belongs to a
/// server which the call cannot use.
#[test]
fn the_first_server_that_is_back_is_found() {
    let mut table = AvailabilityTable::default();
    table.on_rest(ms(0), 1, ms(3_000));
    table.on_rest(ms(0), 2, ms(2_000));
    let both = [("a", 1), ("b", 2)];
    let pool = table.of_pool(ms(10), both, |_| false);
    assert_eq!(
        (pool.back_at, pool.pool_back_at),
        (Some(ms(2_000)), Some(ms(2_000)))
    );
    assert_eq!(pool.unavailable, ["a", "b"]);
    let pool = table.of_pool(ms(10), both, |id| id == "b");
    assert_eq!(
        (pool.back_at, pool.pool_back_at),
        (Some(ms(3_000)), Some(ms(2_000)))
    );
    let pool = table.of_pool(ms(10), [("a", 1), ("c", 3)], |id| id == "c");
    assert_eq!((pool.back_at, pool.pool_back_at), (Some(ms(3_000)), None));
    assert_eq!(pool.unavailable, ["a"]);
}

/// Guards against a server that leaves and gets calls while another one is available, or for longer than a short time, and
/// against a rest of such a server that calls wait for.
#[test]
fn a_server_that_leaves_is_the_last_resort_for_a_second() {
    let mut table = AvailabilityTable::default();
    assert!(table.on_leaving(ms(1_000), 1));
    // Later answers say so again and do not prolong the time.
    assert!(!table.on_leaving(ms(1_900), 1));
    let both = [("a", 1), ("b", 2)];
    let unavailable = |table: &AvailabilityTable, now, excluded: &str| {
        let pool = table.of_pool(now, both, |id| id == excluded);
        assert_eq!((pool.back_at, pool.pool_back_at), (None, None));
        pool.unavailable
    };
    assert_eq!(unavailable(&table, ms(1_000), ""), ["a"]);
    assert_eq!(unavailable(&table, ms(1_999), "b"), [""; 0]);
    assert!(table.may_send(ms(1_999), 1));
    assert_eq!(unavailable(&table, ms(2_000), "b"), ["a"]);
    assert!(!table.may_send(ms(2_000), 1));
    let alone = table.of_pool(ms(2_000), [("a", 1)], |_| false);
    assert_eq!((alone.back_at, alone.pool_back_at), (None, None));
    assert_eq!(alone.unavailable, ["a"]);
    let mut table = AvailabilityTable::default();
    table.on_leaving(ms(0), 1);
    table.on_rest(ms(0), 1, ms(100));
    assert_eq!(table.availability(ms(10), 1), Availability::Never);
}

/// Guards against leaving that ends because the registry's record goes, comes back or is old, and against memory that grows
/// with the servers that ever left.
#[test]
fn leaving_is_kept_for_ten_minutes_after_the_server_was_registered() {
    let mut table = AvailabilityTable::default();
    table.on_leaving(ms(0), SERVER);
    let registered = ms(5_000);
    table.settle(ms(1_000), |_| false);
    table.settle(registered, |_| true);
    let retention = Duration::from_mins(10);
    table.settle(registered + retention.saturating_sub(ms(1)), |_| false);
    assert!(table.is_leaving(SERVER));
    table.settle(registered + retention, |_| false);
    assert!(table.is_empty());
}

/// Step of a random history of one server under one id.
#[derive(Debug, Clone)]
enum Step {
    Wait(u64),
    /// Calls that are sent if they may be.
    Send(usize),
    /// Answer that was written some time ago and asks for a rest, both in milliseconds.
    TurnAway(u64, u64),
    /// Answer to a request of some milliseconds ago.
    Accept(u64),
    /// End of the oldest call.
    End,
    /// Answer that says that the server leaves.
    Leave,
    /// New start of the server.
    Restart,
    /// Change of the registry; tells whether the server is registered.
    Registry(bool),
}

fn step() -> impl Strategy<Value = Step> {
    let rest_ms = prop_oneof![
        Just(0),
        Just(200),
        Just(3_000),
        Just(3_600_000),
        0_u64..8_000
    ];
    prop_oneof![
        (0_u64..2_000).prop_map(Step::Wait),
        (1_usize..8).prop_map(Step::Send),
        (0_u64..400, rest_ms).prop_map(|(ago, rest)| Step::TurnAway(ago, rest)),
        (0_u64..6_000).prop_map(Step::Accept),
        Just(Step::End),
        Just(Step::Leave),
        Just(Step::Restart),
        any::<bool>().prop_map(Step::Registry),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(36), ..ProptestConfig::default() })]

    /// Guards against any order of answers, restarts and changes of the registry in which more than two requests reach a
    /// server at rest, or one reaches a server that leaves, and against servers that are never called again.
    #[test]
    fn at_most_two_requests_reach_a_server_at_rest(steps in prop::collection::vec(step(), 1..120)) {
        let mut table = AvailabilityTable::default();
        let mut now = Duration::from_secs(10);
        let mut start = 0;
        let mut sends: Vec<(u64, Duration)> = Vec::new();
        let mut rests: Vec<(u64, Duration, Duration)> = Vec::new();
        let mut calls: Vec<TrialCall> = Vec::new();
        let mut left: Vec<(u64, Duration)> = Vec::new();
        for step in steps {
            let server = server_key("server", Some(start));
            match step {
                Step::Wait(time) => now += ms(time),
                Step::Send(count) => {
                    for _ in 0..count {
                        if table.availability(now, server) == Availability::Now && table.may_send(now, server) {
                            calls.extend(table.on_send(now, server));
                            sends.push((start, now));
                        }
                    }
                }
                Step::TurnAway(ago, rest) => {
                    table.on_rest(now, server, ms(rest));
                    rests.push((start, now.saturating_sub(ms(ago)), ms(rest)));
                }
                Step::Accept(ago) => table.on_accepted(now.saturating_sub(ms(ago)), server),
                Step::End => {
                    if !calls.is_empty() {
                        table.on_end(calls.remove(0));
                    }
                }
                Step::Leave => {
                    if table.on_leaving(now, server) {
                        left.push((start, now));
                    }
                }
                Step::Restart => start += 1,
                Step::Registry(is_registered) => table.settle(now, |_| is_registered),
            }
        }
        for (start, answered, rest) in rests {
            let counted = (answered + GRACE)..(answered + rest);
            let count = sends.iter().filter(|(of, at)| *of == start && counted.contains(at)).count();
            prop_assert!(count <= MAX_REQUESTS, "{count} requests in {counted:?}");
        }
        for (start, at) in &left {
            let is_late = |(of, sent): &(u64, Duration)| of == start && sent > at;
            prop_assert!(!sends.iter().any(is_late), "a call to a server that leaves while others are available");
            prop_assert!(!table.may_send(now.max(*at + LEAVING_GRACE), server_key("server", Some(*start))));
        }
        start += u64::from(left.iter().any(|(of, _)| *of == start));
        let later = now + MAX_REST + SLOW_START_TIME;
        prop_assert_eq!(table.availability(later, server_key("server", Some(start))), Availability::Now);
        table.settle(later, |_| false);
        prop_assert!(table.is_empty());
    }
}

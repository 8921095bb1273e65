//! Servers that stop answering without a sign.

use std::time::Duration;

use tanagerford_core::dispatch::{CostSettings, Demand, Pool, ServerSpec};

const ANSWER_TIME: Duration = Duration::from_millis(500);
/// Time after which callers leave that got no event.
const CALLER_PATIENCE: Duration = Duration::from_secs(2);
/// Time between calls: 30 a second, as in review case 5.
const CALL_INTERVAL: Duration = Duration::from_millis(33);

fn pool(servers: usize) -> Pool {
    let mut pool = Pool::new("zone-a", CostSettings::default());
    let specs = (0..servers).map(|index| ServerSpec {
        id: format!("s-{index}"),
        zone: "zone-a".into(),
        slots: 8,
        memory_tokens: 0,
    });
    pool.set_servers(&specs.collect::<Vec<_>>());
    pool
}

/// Sends calls until `end` and returns those that each dark server got. The servers before `dark` are silent from `from`
/// to `until`; the others answer in time. Calls of silent servers are given up when their callers leave.
fn play(
    pool: &mut Pool,
    dark: usize,
    from: Duration,
    until: Duration,
    end: Duration,
) -> Vec<usize> {
    let mut open: Vec<(Duration, String, u64)> = Vec::new();
    let mut reached = vec![0; dark];
    let (mut now, mut number) = (Duration::ZERO, 0);
    let index = |server: &str| -> usize { server.strip_prefix("s-").unwrap().parse().unwrap() };
    let is_dark = |server: &str, now| index(server) < dark && (from..until).contains(&now);
    while now < end || !open.is_empty() {
        open.retain(|(sent_at, server, call)| {
            let waited = now.saturating_sub(*sent_at);
            let is_answered = waited >= ANSWER_TIME && !is_dark(server, now);
            if is_answered {
                pool.on_sign(now, server, *call, waited);
            }
            let has_ended = is_answered || waited >= CALLER_PATIENCE;
            if has_ended {
                pool.on_given_up(server, *call, waited);
                pool.on_end(server, *call);
            }
            !has_ended
        });
        if now < end {
            let server = pool.choose(now, &Demand::default(), &[]).unwrap().server;
            pool.on_start(now, &server, number, &Demand::default());
            if is_dark(&server, now) {
                reached[index(&server)] += 1;
            }
            open.push((now, server, number));
        }
        number += 1;
        now += CALL_INTERVAL;
    }
    reached
}

/// Guards against calls that go on to a server which has stopped: it runs them when it is back, after their callers left.
#[test]
fn a_server_that_stops_gets_only_a_few_calls() {
    let (from, until) = (Duration::from_secs(5), Duration::from_millis(9_500));
    let reached = play(&mut pool(7), 1, from, until, until);
    assert!(reached[0] > 0 && reached[0] <= 5, "{reached:?}");
}

/// Guards against a server that is left out for ever after it was silent.
#[test]
fn a_server_that_is_back_gets_calls_again() {
    let (from, until) = (Duration::from_secs(5), Duration::from_secs(8));
    let mut pool = pool(7);
    play(&mut pool, 1, from, until, Duration::from_secs(25));
    assert_eq!(pool.silent_servers(Duration::from_secs(25)), 0);
}

/// Guards against a pool that gets no calls because this entry, or its link, was late itself.
#[test]
fn a_pool_that_is_silent_as_a_whole_gets_calls() {
    let (from, end) = (Duration::from_secs(5), Duration::from_secs(15));
    let mut pool = pool(3);
    let reached = play(&mut pool, 3, from, Duration::MAX, end);
    assert!(pool.silent_servers(end) > 0);
    assert!(reached.iter().all(|calls| *calls > 5), "{reached:?}");
}

/// Guards against a server that is left out because the callers of three calls left at once.
#[test]
fn calls_that_end_early_do_not_count() {
    let mut pool = pool(2);
    play(
        &mut pool,
        0,
        Duration::ZERO,
        Duration::ZERO,
        Duration::from_secs(5),
    );
    let now = Duration::from_secs(10);
    for number in 1_000..1_010 {
        pool.on_start(now, "s-0", number, &Demand::default());
        pool.on_given_up("s-0", number, Duration::from_millis(10));
        pool.on_end("s-0", number);
    }
    assert_eq!(pool.silent_servers(now + ANSWER_TIME * 3), 0);
}

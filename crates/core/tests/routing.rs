//! Tests of the selection of a backend server.

mod seeded;

use std::collections::HashMap;
use std::time::Duration;

use proptest::prelude::*;
use seeded::runner;
use tanagerford_core::routing::{
    CacheEvent, Choice, ChoiceReason, LoadHint, ResponseMeasurements, RouteRequest, Router,
    RouterSettings, Server,
};
use tanagerford_core::straggler::PaceSample;

const POOL: &str = "chat";
const TIERS: u8 = 4;

fn server(number: usize, zones: usize) -> Server {
    Server {
        id: format!("m{number}"),
        zone: format!("z{}", number % zones),
        incarnation: 1,
        leaving: false,
    }
}

fn router(count: usize, zones: usize, seed: u64) -> Router {
    router_in(0, count, zones, seed)
}

fn router_in(zone: u64, count: usize, zones: usize, seed: u64) -> Router {
    let zone = format!("z{zone}");
    let mut router = Router::new(RouterSettings {
        tiers: TIERS,
        zone,
        region_zones: Vec::new(),
        seed,
    });
    router.set_servers(
        Duration::ZERO,
        POOL,
        (0..count).map(|number| server(number, zones)),
    );
    router
}

fn request(tier: u8, prefix_hash: Option<u64>) -> RouteRequest<'static> {
    RouteRequest {
        pool: POOL,
        tier,
        prefix_hash,
    }
}

fn choose(
    router: &mut Router,
    now: Duration,
    tier: u8,
    prefix_hash: Option<u64>,
) -> Option<Choice> {
    router.choose(now, &request(tier, prefix_hash), &[])
}

fn load(busy_by_tier: &[u32]) -> LoadHint {
    LoadHint {
        running: busy_by_tier.iter().sum(),
        batch_limit: 16,
        busy_by_tier: busy_by_tier.to_vec(),
        leaving: false,
    }
}

fn pace(seconds: u32) -> PaceSample {
    PaceSample::Tokens {
        tokens: 100,
        elapsed: Duration::from_secs(u64::from(seconds)),
        batch: 4,
    }
}

/// One event of a trace; a failed test prints it.
#[derive(Debug, Clone)]
struct Step {
    gap_ms: u64,
    tier: u8,
    prefix_hash: Option<u64>,
    /// If set, the tier's oldest attempt ends first: whether it is refused, and the load that its server reports.
    end: Option<(bool, [u32; 4])>,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let end = proptest::option::of((any::<bool>(), prop::array::uniform4(0..30_u32)));
    let step = (0..500_u64, 0..TIERS, proptest::option::of(0..6_u64), end);
    let step = step.prop_map(|(gap_ms, tier, prefix_hash, end)| Step {
        gap_ms,
        tier,
        prefix_hash,
        end,
    });
    prop::collection::vec(step, 1..120)
}

/// Runs the steps of tiers down to `lowest` and returns the servers chosen for tiers down to `observed`.
fn run_steps(steps: &[Step], lowest: u8, observed: u8) -> Vec<String> {
    let mut router = router(9, 3, 5);
    let mut now = Duration::ZERO;
    let mut open: HashMap<u8, Vec<Choice>> = HashMap::new();
    let mut chosen = Vec::new();
    for step in steps {
        now += Duration::from_millis(step.gap_ms);
        router.on_tick(now);
        if step.tier > lowest {
            continue;
        }
        let attempts = open.entry(step.tier).or_default();
        if let (Some((refused, mut busy)), false) = (step.end, attempts.is_empty()) {
            busy[usize::from(lowest) + 1..].fill(0);
            let attempt = attempts.remove(0).attempt;
            let answer = ResponseMeasurements {
                load: Some(load(&busy)),
                first_token: (!refused).then(|| Duration::from_millis(100 + u64::from(busy[0]))),
                prompt_tokens: 100,
                pace: (!refused).then(|| pace(busy[0])),
            };
            router.on_response(now, attempt, &answer);
        }
        let choice =
            choose(&mut router, now, step.tier, step.prefix_hash).expect("a server is usable");
        if step.tier <= observed {
            chosen.push(choice.server.clone());
        }
        attempts.push(choice);
    }
    chosen
}

/// Guards against state of lower tiers (in-flight counts, hints, latencies, random draws) that affects the choices of a
/// tier.
#[test]
fn lower_tiers_change_no_choice_of_a_tier() {
    runner(128)
        .run(&(steps(), 0..TIERS - 1), |(steps, tier)| {
            prop_assert_eq!(
                run_steps(&steps, TIERS - 1, tier),
                run_steps(&steps, tier, tier)
            );
            Ok(())
        })
        .unwrap();
}

/// Guards against an entry without load hints that sends a burst to one server, whether the requests share a prefix,
/// have several or none.
#[test]
fn entry_without_hints_spreads_a_burst() {
    let prefixes = prop_oneof![Just(0_u64), Just(1), Just(20)];
    runner(64)
        .run(
            &(any::<u64>(), 3..40_usize, 1..4_usize, prefixes),
            |(seed, servers, zones, prefixes)| {
                let mut router = router(servers, zones, seed);
                let burst = servers * 8;
                for number in 0..burst as u64 {
                    let prefix_hash = (prefixes > 0).then(|| seed ^ (number % prefixes.max(1)));
                    std::mem::forget(choose(&mut router, Duration::ZERO, 0, prefix_hash));
                }
                let largest = (0..servers)
                    .map(|number| router.in_flight(POOL, &format!("m{number}"), 0))
                    .max();
                // 8 per server on average; the affinity bound is 1.25 * 8 + 1, and one zone may have more load than
                // others.
                prop_assert!(
                    largest.unwrap() <= 20,
                    "{:?} of {} requests at one server",
                    largest,
                    burst
                );
                Ok(())
            },
        )
        .unwrap();
}

/// Guards against a thundering herd to the only server with a load hint, idle or busy, while the others are unknown.
#[test]
fn single_hint_causes_no_thundering_herd() {
    for (seed, busy) in [(1, 0), (2, 0), (3, 5)] {
        let mut router = router(20, 1, seed);
        let first = choose(&mut router, Duration::ZERO, 0, None).unwrap();
        let hinted = first.server.clone();
        let answer = ResponseMeasurements {
            load: Some(load(&[busy, 0, 0, 0])),
            ..ResponseMeasurements::default()
        };
        router.on_response(Duration::ZERO, first.attempt, &answer);
        for _ in 0..100 {
            std::mem::forget(choose(&mut router, Duration::ZERO, 0, None));
        }
        assert!(router.in_flight(POOL, &hinted, 0) <= 10);
    }
}

/// Guards against entries of all availability zones that choose the same server outside of their zones after the
/// servers of their own zones refused.
#[test]
fn entries_with_a_busy_zone_spread_a_common_prefix() {
    let mut counts: HashMap<String, usize> = HashMap::new();
    for entry in 0..64 {
        let mut router = router_in(entry % 8, 32, 8, entry);
        let request = request(0, Some(3));
        let own = (0..4).map(|row| format!("m{}", entry % 8 + 8 * row));
        let tried: Vec<String> = own.collect();
        let choice = router.choose(Duration::ZERO, &request, &tried).unwrap();
        *counts.entry(choice.server).or_default() += 1;
    }
    assert!(counts.values().all(|&count| count <= 10), "{counts:?}");
}

/// Guards against a busy server that counts as average because most hints come from it.
#[test]
fn frequent_hints_of_a_busy_server_do_not_raise_the_mean() {
    let mut router = router(10, 1, 1);
    let request = request(0, Some(3));
    let busy = router.choose(Duration::ZERO, &request, &[]).unwrap();
    let mut tried = vec![busy.server.clone()];
    router.on_ended(Duration::ZERO, busy.attempt);
    while let Some(choice) = router.choose(Duration::ZERO, &request, &tried) {
        router.on_refusal(Duration::ZERO, choice.attempt, Some(&load(&[5, 0, 0, 0])));
        tried.push(choice.server);
    }
    let others = tried.split_off(1);
    for _ in 0..50 {
        let choice = router.choose(Duration::ZERO, &request, &others).unwrap();
        assert_eq!(choice.server, busy.server);
        router.on_refusal(Duration::ZERO, choice.attempt, Some(&load(&[50, 0, 0, 0])));
    }
    assert_ne!(
        router.choose(Duration::ZERO, &request, &[]).unwrap().server,
        busy.server
    );
}

/// Guards against a server without recent hints that counts as idle, or as busy as in its last hint.
#[test]
fn old_hints_count_as_the_average() {
    for old_load in [0, 100] {
        let mut router = router(20, 1, 1);
        let request = request(0, None);
        let all: Vec<String> = (0..20).map(|number| format!("m{number}")).collect();
        let hint = |router: &mut Router, now: Duration, number: usize, busy: u32| {
            let mut others = all.clone();
            others.remove(number);
            let choice = router.choose(now, &request, &others).unwrap();
            router.on_refusal(now, choice.attempt, Some(&load(&[busy, 0, 0, 0])));
        };
        hint(&mut router, Duration::ZERO, 0, old_load);
        let now = Duration::from_mins(5);
        for number in 1..20 {
            hint(&mut router, now, number, 30);
        }
        let mut chosen = 0;
        for _ in 0..1000 {
            let choice = choose(&mut router, now, 0, None).unwrap();
            chosen += usize::from(choice.server == "m0");
            router.on_ended(now, choice.attempt);
        }
        assert!(
            (25..=75).contains(&chosen),
            "{chosen} of 1000 after a load of {old_load}"
        );
    }
}

/// Guards against requests to a leaving server while an outdated VM list still contains it as live.
#[test]
fn leaving_server_stays_leaving_until_its_next_incarnation() {
    let mut router = router(2, 1, 1);
    router.set_leaving(POOL, "m0");
    router.set_servers(
        Duration::from_secs(1),
        POOL,
        (0..2).map(|number| server(number, 1)),
    );
    for prefix_hash in 0..50 {
        let choice = choose(&mut router, Duration::from_secs(1), 0, Some(prefix_hash)).unwrap();
        assert_eq!(choice.server, "m1");
        router.on_ended(Duration::from_secs(1), choice.attempt);
    }
    let restarted = Server {
        incarnation: 2,
        ..server(0, 1)
    };
    router.set_servers(Duration::from_secs(2), POOL, [restarted, server(1, 1)]);
    let request = request(0, None);
    assert!(
        router
            .choose(Duration::from_mins(2), &request, &["m1".into()])
            .is_some()
    );
}

/// Guards against losing soft state on a membership change, and against counting late answers of an old incarnation for
/// the new one.
#[test]
fn membership_change_keeps_state_of_remaining_servers() {
    let mut router = router(1, 1, 1);
    let old = choose(&mut router, Duration::ZERO, 0, None).unwrap();
    let servers = [server(0, 1), server(1, 1)];
    router.set_servers(Duration::ZERO, POOL, servers.clone());
    assert_eq!(router.in_flight(POOL, "m0", 0), 1);
    let restarted = Server {
        incarnation: 2,
        ..server(0, 1)
    };
    router.set_servers(Duration::ZERO, POOL, [restarted]);
    let new = choose(&mut router, Duration::ZERO, 0, None).unwrap();
    router.on_ended(Duration::ZERO, old.attempt);
    assert_eq!(router.in_flight(POOL, "m0", 0), 1);
    router.on_ended(Duration::ZERO, new.attempt);
    assert_eq!(router.in_flight(POOL, "m0", 0), 0);
}

/// Guards against prefixes that move although their server remains, which makes caches useless after each membership
/// change.
#[test]
fn few_prefixes_move_when_a_server_leaves() {
    let mut before = router(50, 1, 1);
    let mut after = router(50, 1, 2);
    after.set_leaving(POOL, "m7");
    let mut moved = 0;
    for prefix_hash in 0..2_000 {
        let first = choose(&mut before, Duration::ZERO, 0, Some(prefix_hash)).unwrap();
        let second = choose(&mut after, Duration::ZERO, 0, Some(prefix_hash)).unwrap();
        moved += usize::from(first.server != second.server);
        before.on_ended(Duration::ZERO, first.attempt);
        after.on_ended(Duration::ZERO, second.attempt);
    }
    // 1 in 50 prefixes was at the server; the changed shares along its trie path move a few more.
    assert!((20..=200).contains(&moved), "{moved} of 2000 moved");
}

/// Guards against requests that cross availability zones while the entry's zone has capacity, and against overloading
/// that zone while others are idle.
#[test]
fn own_zone_is_preferred_until_it_is_busier() {
    let mut router = router(12, 3, 1);
    let mut outside = 0;
    for number in 0..400 {
        let choice = choose(&mut router, Duration::ZERO, 0, None).unwrap();
        let server: usize = choice.server[1..].parse().unwrap();
        outside += usize::from(!server.is_multiple_of(3));
        if number < 100 {
            assert_eq!(
                outside, 0,
                "request {number} was sent to another zone while its own was idle"
            );
            router.on_ended(Duration::ZERO, choice.attempt);
        }
    }
    assert!(
        outside > 100,
        "only {outside} of 300 requests were sent to other zones"
    );
}

/// Guards against a new server that receives its full share at once, with an empty cache and cold kernels.
#[test]
fn new_server_goes_through_a_slow_start() {
    let mut router = router(9, 1, 1);
    router.set_servers(
        Duration::from_secs(9),
        POOL,
        (0..10).map(|number| server(number, 1)),
    );
    let mut share = |now: Duration| {
        let choices: Vec<Choice> = (0..200)
            .filter_map(|_| choose(&mut router, now, 0, None))
            .collect();
        let new_server_count = choices
            .iter()
            .filter(|choice| choice.server == "m9")
            .count();
        for choice in choices {
            router.on_ended(now, choice.attempt);
        }
        new_server_count
    };
    assert!(share(Duration::from_secs(9)) < 6);
    assert!(share(Duration::from_mins(2)) > 14);
}

/// Guards against choosing a server again that was already tried, and against a panic when none is left.
#[test]
fn tried_servers_are_excluded() {
    let mut router = router(3, 2, 1);
    let request = request(1, Some(3));
    let mut tried: Vec<String> = Vec::new();
    while let Some(choice) = router.choose(Duration::ZERO, &request, &tried) {
        assert!(!tried.contains(&choice.server));
        tried.push(choice.server);
    }
    assert_eq!(tried.len(), 3);
}

/// Guards against a cache event that routes requests to a leaving server, to another availability zone, or to a server
/// beyond the load bound.
#[test]
fn cache_events_are_only_hints() {
    let mut router = router(8, 2, 1);
    let now = Duration::ZERO;
    let choose_by_hint = |router: &mut Router, server: &str| {
        router.on_cache_event(now, POOL, server, 0, 3, CacheEvent::Stored);
        let choice = choose(router, now, 0, Some(3)).unwrap();
        (choice.reason == ChoiceReason::CacheHint).then_some(choice.server)
    };
    assert_eq!(choose_by_hint(&mut router, "m2"), Some("m2".into()));
    assert_eq!(choose_by_hint(&mut router, "m1"), None);
    assert_eq!(choose_by_hint(&mut router, "m9"), None);
    let hits = (0..50)
        .filter_map(|_| choose_by_hint(&mut router, "m4"))
        .count();
    assert!((1..30).contains(&hits), "{hits} of 50 followed the hint");
    router.set_leaving(POOL, "m6");
    assert_eq!(choose_by_hint(&mut router, "m6"), None);
}

/// Guards against a slow server that keeps its share of requests, against one that is never tried again, and against
/// several concurrent trial requests.
#[test]
fn straggler_is_ejected_and_restored_after_trials() {
    let mut router = router(9, 1, 1);
    let mut reasons = Vec::new();
    for second in 0..60 {
        let now = Duration::from_secs(second);
        router.on_tick(now);
        let choices: Vec<Choice> = (0..36)
            .filter_map(|_| choose(&mut router, now, 1, None))
            .collect();
        for choice in choices {
            let is_slow = choice.server == "m4" && second < 15;
            if choice.server == "m4" {
                reasons.push((second, choice.reason));
            }
            let pace = Some(pace(if is_slow { 20 } else { 4 }));
            router.on_response(
                now,
                choice.attempt,
                &ResponseMeasurements {
                    pace,
                    ..ResponseMeasurements::default()
                },
            );
        }
    }
    let during = |from, to| {
        reasons
            .iter()
            .filter(move |(second, _)| (from..to).contains(second))
    };
    assert_eq!(during(4, 10).count(), 0, "{reasons:?}");
    let trials: Vec<u64> = reasons
        .iter()
        .filter(|(_, reason)| *reason == ChoiceReason::Trial)
        .map(|(at, _)| *at)
        .collect();
    assert!(
        trials.windows(2).all(|pair| pair[0] < pair[1]),
        "{trials:?}"
    );
    assert!((3..=6).contains(&trials.len()), "{trials:?}");
    assert!(during(50, 60).count() > 10, "{reasons:?}");
}

/// Guards against entries of different zones and loads that send copies of a suspect request to different servers, and
/// against a suspect at a leaving or excluded server.
#[test]
fn all_entries_send_a_suspect_to_the_same_server() {
    let request = request(2, Some(3));
    let mut first = router(12, 3, 1);
    let mut second = Router::new(RouterSettings {
        tiers: TIERS,
        zone: "z2".into(),
        region_zones: vec!["z2".into()],
        seed: 9,
    });
    second.set_servers(
        Duration::ZERO,
        POOL,
        (0..12).rev().map(|number| server(number, 3)),
    );
    for fingerprint in 0..50 {
        let chosen = first
            .choose_for_suspect(&request, fingerprint, &[])
            .unwrap()
            .server;
        let repeated = std::iter::repeat_with(|| {
            second
                .choose_for_suspect(&request, fingerprint, &[])
                .unwrap()
                .server
        });
        assert!(repeated.take(5).all(|server| server == chosen));
        let other = second
            .choose_for_suspect(&request, fingerprint, std::slice::from_ref(&chosen))
            .unwrap();
        assert_ne!(other.server, chosen);
        let mut leaving = router(12, 3, 1);
        leaving.set_leaving(POOL, &chosen);
        assert_ne!(
            leaving
                .choose_for_suspect(&request, fingerprint, &[])
                .unwrap()
                .server,
            chosen
        );
    }
}

//! Tests of the admission of application calls, which cannot be preempted.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tanagerford_core::admission::{Action, ClassSettings, RefuseReason};
use tanagerford_core::pool::{Call, Pool, PoolSettings};

fn settings(concurrency: u32) -> PoolSettings {
    PoolSettings {
        concurrency,
        weights: vec![8, 4, 2, 1],
        reserved_permille: vec![0, 50, 50, 50],
        classes: [].into(),
        max_waiting: 100,
    }
}

fn call(id: u64, tier: u8) -> Call {
    Call {
        id,
        tier,
        class: "lookup".to_owned(),
        workspace: "acme".to_owned(),
        wait_limit: Duration::from_secs(5),
        deadline: Duration::from_mins(10),
    }
}

fn starts(actions: &[Action]) -> usize {
    let is_start = |action: &&Action| matches!(action, Action::Start { .. });
    actions.iter().filter(is_start).count()
}

/// Guards against calls of lower tiers in the slots that are headroom of higher tiers.
#[test]
fn lower_tiers_leave_headroom() {
    for concurrency in [4, 8, 16, 50] {
        let settings = settings(concurrency);
        for lowest in 1..4_u8 {
            let mut pool = Pool::new(settings.clone());
            for id in 0..60 {
                pool.offer(Duration::ZERO, call(id, lowest));
            }
            let higher = usize::from(lowest) - 1;
            let running = pool.load().running;
            assert!(running <= concurrency - settings.headroom(higher));
            // The headroom of the highest tier is free whatever the load of lower tiers.
            let actions: Vec<Action> = (100..150)
                .flat_map(|id| pool.offer(Duration::ZERO, call(id, 0)))
                .collect();
            assert!(
                starts(&actions) >= settings.headroom(0) as usize,
                "concurrency {concurrency}"
            );
        }
    }
}

/// Guards against starvation of a tier while higher tiers always have waiting calls.
#[test]
fn every_tier_runs_while_the_highest_is_saturated() {
    for concurrency in [1, 2, 4, 8] {
        let mut pool = Pool::new(settings(concurrency));
        let mut running: Vec<u64> = Vec::new();
        let mut first_starts = [None; 4];
        for step in 0..600_u64 {
            let now = Duration::from_millis(step * 50);
            let mut actions = Vec::new();
            for id in std::mem::take(&mut running) {
                actions.extend(pool.on_finish(now, id));
            }
            for flood in 0..10 {
                actions.extend(pool.offer(now, call(step * 100 + flood * 4, 0)));
            }
            for tier in 1..4_u8 {
                actions.extend(pool.offer(now, call(step * 100 + 40 + u64::from(tier), tier)));
            }
            for action in actions {
                if let Action::Start { id } = action {
                    let tier = (id % 100).saturating_sub(40) as usize;
                    first_starts[tier].get_or_insert(step);
                    running.push(id);
                }
            }
        }
        assert!(
            first_starts.iter().all(Option::is_some),
            "concurrency {concurrency}: {first_starts:?}"
        );
    }
}

/// Guards against more concurrent calls than the backend server allows, lost calls and calls that end twice.
#[test]
fn every_call_has_exactly_one_end_and_slots_are_bounded() {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    for concurrency in [1, 3, 8] {
        let mut pool = Pool::new(settings(concurrency));
        let mut running: Vec<u64> = Vec::new();
        let mut ended = 0;
        for id in 0..3_000_u64 {
            let now = Duration::from_millis(id * 20);
            let mut actions = pool.offer(now, call(id, rng.random_range(0..4)));
            if !running.is_empty() && rng.random_bool(0.6) {
                let done = running.swap_remove(rng.random_range(0..running.len()));
                ended += 1;
                actions.extend(pool.on_finish(now, done));
            }
            for action in actions {
                match action {
                    Action::Start { id } => running.push(id),
                    Action::Refuse { .. } => ended += 1,
                    Action::Preempt { .. } => panic!("application calls are never preempted"),
                }
            }
            assert!(running.len() <= concurrency as usize);
            assert_eq!(pool.load().running as usize, running.len());
        }
        let left = pool.load();
        assert_eq!(ended + left.running + left.waiting, 3_000);
    }
}

/// Guards against a cancellation that frees the slot of a call that still runs.
#[test]
fn a_cancelled_call_keeps_its_slot_until_it_ends() {
    let mut pool = Pool::new(settings(1));
    pool.offer(Duration::ZERO, call(1, 0));
    pool.offer(Duration::ZERO, call(2, 0));
    assert_eq!(pool.on_cancel(Duration::ZERO, 1), []);
    assert_eq!(pool.load().running, 1);
    pool.on_cancel(Duration::ZERO, 2);
    assert_eq!(pool.on_finish(Duration::ZERO, 1), []);
    assert!(pool.is_idle());
}

/// Guards against accepting calls while the sidecar is draining.
#[test]
fn leaving_refuses_waiting_and_new_calls() {
    let mut pool = Pool::new(settings(1));
    pool.offer(Duration::ZERO, call(1, 0));
    pool.offer(Duration::ZERO, call(2, 0));
    let refused = pool.leave();
    assert!(matches!(
        refused[..],
        [Action::Refuse {
            id: 2,
            reason: RefuseReason::Leaving,
            ..
        }]
    ));
    let refused = pool.offer(Duration::ZERO, call(3, 0));
    assert!(matches!(
        refused[..],
        [Action::Refuse {
            id: 3,
            reason: RefuseReason::Leaving,
            ..
        }]
    ));
    assert_eq!(pool.load().running, 1);
}

/// Guards against a lower tier that takes more than its reserved share from a saturated higher tier, here because most
/// of its calls take longer than the mean of its classes.
#[test]
fn a_lower_tier_takes_only_its_share_of_a_saturated_pool() {
    let classes = ["long", "short"].map(|class| (class.to_owned(), ClassSettings::default()));
    let mut pool = Pool::new(PoolSettings {
        classes: classes.into(),
        ..settings(8)
    });
    let mut ends: Vec<(u64, u64)> = Vec::new();
    let mut busy_ms = [0; 2];
    for step in 0..6_000_u64 {
        let now = Duration::from_millis(step * 10);
        let mut actions = Vec::new();
        for (_, id) in ends.extract_if(.., |(at, _)| *at <= step) {
            actions.extend(pool.on_finish(now, id));
        }
        // Odd ids are calls of the lowest tier, and one in 64 of them is short.
        for id in [step * 2, step * 2 + 1] {
            let class = if id % 128 == 1 { "short" } else { "long" };
            let call = Call {
                class: class.to_owned(),
                ..call(id, if id % 2 == 0 { 0 } else { 3 })
            };
            actions.extend(pool.offer(now, call));
        }
        for action in actions {
            if let Action::Start { id } = action {
                let call_ms = if id % 128 == 1 { 100 } else { 400 };
                busy_ms[usize::from(id % 2 == 1)] += call_ms;
                ends.push((step + call_ms / 10, id));
            }
        }
    }
    let permille = busy_ms[1] * 1_000 / (busy_ms[0] + busy_ms[1]);
    assert!(
        (30..=60).contains(&permille),
        "{permille} thousandths, {busy_ms:?}"
    );
}

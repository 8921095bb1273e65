//! Admission tests with a simulated engine on a virtual clock.

mod admission_engine;

use std::time::Duration;

use admission_engine::{Job, jobs, run};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use tanagerford_core::admission::{
    Action, Admission, AdmissionSettings, ClassSettings, FinishKind, RefuseReason, Request,
};

const TIERS: u8 = 4;

fn settings() -> AdmissionSettings {
    AdmissionSettings {
        reserved_permille: vec![0, 100, 50, 50],
        prior_batch: 8,
        max_batch: 8,
        // The simulated engine takes 10 ms per token, which meets the target with the margin for starts.
        token_gap: Duration::from_millis(12),
        ..AdmissionSettings::default()
    }
}

fn request(id: u64, tier: u8) -> Request {
    Request {
        id,
        tier,
        class: "chat".to_owned(),
        workspace: "acme".to_owned(),
        model: "small".to_owned(),
        prompt_tokens: 10,
        max_tokens: 1_000,
        wait_limit: Duration::from_secs(5),
        deadline: Duration::from_mins(10),
        resumable: true,
        max_other_requests: None,
    }
}

fn started(actions: &[Action]) -> Vec<u64> {
    let ids = actions.iter().filter_map(|action| match action {
        Action::Start { id } => Some(*id),
        _ => None,
    });
    ids.collect()
}

/// Guards against preempting a request of a higher tier, or one that loses more generated tokens than another.
#[test]
fn preempts_the_request_with_the_least_work_of_the_lowest_tier() {
    let now = Duration::from_millis(1);
    let mut admission = Admission::new(settings());
    for id in 0..8 {
        assert_eq!(
            started(&admission.offer(Duration::ZERO, request(id, 3))),
            [id]
        );
        admission.on_token(now, id, 20 - u32::try_from(id).unwrap_or(0));
    }
    let actions = admission.offer(now, request(100, 0));
    assert_eq!(
        actions,
        [
            Action::Start { id: 100 },
            Action::Preempt {
                id: 7,
                requeued: true
            }
        ]
    );
}

/// Guards against requeueing a preempted request that cannot be resumed: its attempt has to end.
#[test]
fn preemption_ends_a_stream_that_cannot_be_resumed() {
    let now = Duration::from_millis(1);
    let mut admission = Admission::new(settings());
    for id in 0..8 {
        let request = Request {
            resumable: false,
            ..request(id, 3)
        };
        admission.offer(Duration::ZERO, request);
        admission.on_token(now, id, 5);
    }
    let actions = admission.offer(now, request(100, 0));
    assert!(actions.contains(&Action::Preempt {
        id: 7,
        requeued: false
    }));
    assert_eq!(admission.load().waiting, 0);
}

/// Guards against refusals that are delayed until the wait limit has passed.
#[test]
fn refuses_at_once_requests_that_cannot_start_in_time() {
    let mut admission = Admission::new(settings());
    let mut refused = Vec::new();
    for id in 0..400 {
        for action in admission.offer(Duration::ZERO, request(id, 0)) {
            if let Action::Refuse {
                reason,
                retry_after,
                ..
            } = action
            {
                assert_eq!(reason, RefuseReason::WaitTooLong);
                assert!(retry_after >= Duration::from_millis(100));
                refused.push(id);
            }
        }
    }
    // 5 slots, 200 tokens of 10 ms each: about 2.5 requests start per second, so about 12 fit into 5 s.
    assert!(
        (370..395).contains(&refused.len()),
        "{} refused",
        refused.len()
    );
}

/// Guards against a request that neither starts nor is refused when its wait limit passes.
#[test]
fn refuses_waiting_requests_when_the_wait_limit_has_passed() {
    let mut admission = Admission::new(settings());
    let ids: Vec<u64> = (0..7).collect();
    let waiting = ids
        .into_iter()
        .filter(|id| started(&admission.offer(Duration::ZERO, request(*id, 0))).is_empty());
    let waiting: Vec<u64> = waiting.collect();
    let wakeup = admission.next_wakeup().expect("requests wait");
    let refused: Vec<u64> = admission
        .on_tick(wakeup)
        .into_iter()
        .filter_map(|action| match action {
            Action::Refuse { id, reason, .. } => (reason == RefuseReason::WaitPassed).then_some(id),
            _ => None,
        })
        .collect();
    assert_eq!(refused, waiting);
    assert_eq!(admission.next_wakeup(), None);
}

/// Guards against accepting requests while the sidecar is draining, and against interrupting running ones.
#[test]
fn leaving_refuses_only_new_and_waiting_requests() {
    let mut admission = Admission::new(settings());
    for id in 0..8 {
        admission.offer(Duration::ZERO, request(id, 0));
    }
    let running = admission.load().running;
    let refused = admission.leave(Duration::ZERO);
    assert_eq!(refused.len(), 8 - running as usize);
    assert_eq!(admission.load().running, running);
    let actions = admission.offer(Duration::ZERO, request(50, 0));
    assert!(matches!(
        actions[..],
        [Action::Refuse {
            reason: RefuseReason::Leaving,
            ..
        }]
    ));
}

/// Guards against a configuration change that drops the requests of a removed tier.
#[test]
fn requests_of_a_removed_tier_move_to_the_lowest_tier() {
    let mut admission = Admission::new(settings());
    for id in 0..12 {
        admission.offer(Duration::ZERO, request(id, 3));
    }
    let before = admission.load();
    let smaller = AdmissionSettings {
        reserved_permille: vec![0, 100],
        ..settings()
    };
    admission.set_configuration(Duration::ZERO, smaller);
    let after = admission.load();
    assert_eq!(
        after.running + after.waiting,
        before.running + before.waiting
    );
    for id in 0..12 {
        admission.on_finish(Duration::ZERO, id, FinishKind::Complete);
    }
    assert!(admission.is_idle());
}

/// Guards against a suspect that runs in a full batch, which a crash would end, and against one that never starts under
/// load.
#[test]
fn suspect_runs_beside_a_bounded_number_of_requests() {
    let mut admission = Admission::new(settings());
    for id in 0..5 {
        admission.offer(Duration::ZERO, request(id, 0));
    }
    let suspect = Request {
        max_other_requests: Some(2),
        ..request(10, 0)
    };
    assert_eq!(
        started(&admission.offer(Duration::ZERO, suspect)),
        [0_u64; 0]
    );
    // No other request starts before the suspect, which starts as soon as only two others run.
    assert_eq!(
        started(&admission.offer(Duration::ZERO, request(11, 0))),
        [0_u64; 0]
    );
    let finish = |admission: &mut Admission, id| {
        started(&admission.on_finish(Duration::ZERO, id, FinishKind::Complete))
    };
    assert_eq!(finish(&mut admission, 0), [0_u64; 0]);
    assert_eq!(finish(&mut admission, 1), [0_u64; 0]);
    assert_eq!(finish(&mut admission, 2), [10]);
    assert_eq!(finish(&mut admission, 3), [11]);
    assert_eq!(admission.load().running, 3);
    assert_eq!(
        started(&admission.offer(Duration::ZERO, request(12, 0))),
        [0_u64; 0]
    );
    assert_eq!(finish(&mut admission, 10), [12]);
}

/// Guards against requests of lower tiers that run beside a suspect beyond its limit, and against a suspect that delays
/// a higher tier.
#[test]
fn suspect_preempts_lower_tiers_and_is_preempted_by_higher_ones() {
    let mut admission = Admission::new(settings());
    for id in 0..4 {
        admission.offer(Duration::ZERO, request(id, 3));
    }
    let suspect = Request {
        max_other_requests: Some(1),
        ..request(10, 1)
    };
    let actions = admission.offer(Duration::ZERO, suspect);
    let preempted = actions
        .iter()
        .filter(|action| matches!(action, Action::Preempt { .. }))
        .count();
    assert_eq!((started(&actions), preempted), (vec![10], 3));
    assert_eq!(
        started(&admission.offer(Duration::ZERO, request(20, 0))),
        [20]
    );
    let actions = admission.offer(Duration::ZERO, request(21, 0));
    assert!(actions.contains(&Action::Preempt {
        id: 10,
        requeued: true
    }));
}

/// Guards against requests that stay queued, start or are accepted while the engine is down.
#[test]
fn engine_that_is_down_receives_no_requests() {
    let mut admission = Admission::new(settings());
    for id in 0..8 {
        admission.offer(Duration::ZERO, request(id, 0));
    }
    let waiting = admission.load().waiting;
    let refused = admission.on_engine_down();
    assert_eq!(refused.len(), waiting as usize);
    assert!(admission.is_idle());
    let actions = admission.offer(Duration::ZERO, request(20, 0));
    assert!(matches!(
        actions[..],
        [Action::Refuse {
            reason: RefuseReason::ServerDown,
            ..
        }]
    ));
    admission.on_engine_up();
    assert_eq!(
        started(&admission.offer(Duration::ZERO, request(21, 0))),
        [21]
    );
}

/// Guards against starvation: with reserved share `s` of `R` tokens/s and `B` tokens queued ahead in the tier, the wait
/// is at most `B / (s * R)` plus the longest running request, whatever the load of higher tiers.
#[test]
fn lowest_tier_waits_at_most_its_bound() {
    let tokens = 50;
    let flood = (0..4_000).map(|n| Job::new(n, 0, n * 5, tokens));
    let late = (0..20).map(|n| Job::new(10_000 + n, 3, 1_000, tokens));
    let mut trace: Vec<Job> = flood.chain(late).collect();
    trace.sort_by_key(|job| (job.at_ms, job.id));
    let without_limit = ClassSettings {
        first_token: Duration::from_mins(10),
        longest_wait: Duration::from_mins(10),
        priority: 0,
    };
    let settings = AdmissionSettings {
        classes: [("chat".to_owned(), without_limit)].into(),
        ..settings()
    };
    let outcome = run(&settings, &trace, |request| {
        request.wait_limit = Duration::from_mins(10);
    });
    let starts = outcome.starts(3);
    assert_eq!(starts.len(), 20);
    let share = 0.05;
    let tokens_per_ms = 8.0 / 10.0;
    for (ahead, (_, at_ms)) in (0_u32..).zip(&starts) {
        let bound_ms = f64::from(ahead) * 50.0 / (share * tokens_per_ms) + 50.0 * 10.0;
        let waited_ms = f64::from(u32::try_from(at_ms - 1_000).expect("short test"));
        assert!(
            waited_ms <= bound_ms,
            "waited {waited_ms} ms, bound {bound_ms} ms"
        );
    }
}

/// Guards against starvation of a class by other classes of its tier whose deadlines are always earlier.
#[test]
fn every_class_of_a_tier_is_served() {
    let chat = (0..4_000).map(|n| Job::new(n, 0, n * 5, 50));
    let batch = (0..20).map(|n| Job::new(10_000 + n, 0, n * 900, 50).class("batch"));
    let mut trace: Vec<Job> = chat.chain(batch).collect();
    trace.sort_by_key(|job| (job.at_ms, job.id));
    let outcome = run(&settings(), &trace, |_| {});
    let batch_starts = outcome
        .starts(0)
        .iter()
        .filter(|(id, _)| *id >= 10_000)
        .count();
    assert!(batch_starts >= 3, "{batch_starts} of 20 started");
}

/// Guards against a workspace that starves another one of the same tier.
#[test]
fn workspaces_of_a_tier_share_fairly() {
    let flood = (0..4_000).map(|n| Job::new(n, 0, n * 5, 50));
    let small = (0..40).map(|n| Job::new(10_000 + n, 0, 500 + n * 450, 50).workspace("small"));
    let mut trace: Vec<Job> = flood.chain(small).collect();
    trace.sort_by_key(|job| (job.at_ms, job.id));
    let outcome = run(&settings(), &trace, |_| {});
    let started = outcome
        .starts(0)
        .iter()
        .filter(|(id, _)| *id >= 10_000)
        .count();
    assert!(started >= 38, "{started} of 40 started");
}

/// Guards against requests of lower tiers that affect a start, a preemption or a refusal of a higher tier.
#[test]
fn lower_tiers_change_no_decision_of_higher_tiers() {
    let config = ProptestConfig {
        cases: 96,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let strategy = (jobs(TIERS, 250), 1..TIERS);
    let result = runner.run(&strategy, |(trace, cut)| {
        let higher: Vec<Job> = trace.iter().filter(|job| job.tier < cut).cloned().collect();
        let with = run(&settings(), &trace, |_| {});
        let without = run(&settings(), &higher, |_| {});
        prop_assert_eq!(with.decisions_above(cut), without.decisions_above(cut));
        Ok(())
    });
    assert!(result.is_ok(), "{result:?}");
}

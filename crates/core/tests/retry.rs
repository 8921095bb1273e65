//! Retry decisions and budgets.

mod seeded;

use std::time::Duration;

use proptest::prelude::*;
use seeded::runner;
use tanagerford_core::retry::{
    AttemptOutcome, FinalOutcome, GiveUpReason, LinkPhase, Progress, RetryBudget, RetryDecision,
    RetryState,
};

const OUTCOMES: [AttemptOutcome; 11] = [
    AttemptOutcome::RefusedNotRun,
    AttemptOutcome::RefusedUnknown,
    AttemptOutcome::NoServer,
    AttemptOutcome::LinkLost {
        phase: LinkPhase::NotSent,
    },
    AttemptOutcome::LinkLost {
        phase: LinkPhase::Sent,
    },
    AttemptOutcome::LinkLost {
        phase: LinkPhase::Accepted,
    },
    AttemptOutcome::Failed,
    AttemptOutcome::Crashed,
    AttemptOutcome::Preempted,
    AttemptOutcome::Cut,
    AttemptOutcome::Cancelled,
];

const PROGRESS: Progress = Progress {
    repeatable: true,
    resumable: false,
    delivered: false,
    time_left: Duration::from_secs(5),
    time_needed: Duration::from_millis(100),
};

fn first(outcome: AttemptOutcome, progress: &Progress) -> RetryDecision {
    RetryState::new(0).on_outcome(Duration::ZERO, outcome, progress, &mut RetryBudget::new(1))
}

/// Guards against a wrong decision for any combination of outcome and request state.
#[test]
fn decisions_after_the_first_attempt() {
    let cases = [
        ("fresh", PROGRESS),
        (
            "not repeatable",
            Progress {
                repeatable: false,
                ..PROGRESS
            },
        ),
        (
            "delivered",
            Progress {
                delivered: true,
                ..PROGRESS
            },
        ),
        (
            "resumable",
            Progress {
                delivered: true,
                resumable: true,
                ..PROGRESS
            },
        ),
        (
            "late",
            Progress {
                time_left: PROGRESS.time_needed,
                ..PROGRESS
            },
        ),
    ];
    let rows = OUTCOMES.iter().flat_map(|&outcome| {
        let row =
            move |(name, progress)| format!("{outcome:?}, {name}: {:?}", first(outcome, &progress));
        cases.into_iter().map(row)
    });
    let table: Vec<String> = rows.collect();
    insta::assert_snapshot!(table.join("\n"));
}

/// Guards against reporting `not-run` for a request that may have run in any of its attempts, for example when a
/// refusal follows a partly delivered answer, and against running a request twice that must not be repeated.
#[test]
fn not_run_is_certain_and_no_unrepeatable_request_runs_twice() {
    let outcomes = prop::collection::vec(prop::sample::select(OUTCOMES.to_vec()), 1..8);
    runner(512)
        .run(
            &(outcomes, any::<(bool, bool)>()),
            |(outcomes, (repeatable, delivered))| {
                let progress = Progress {
                    repeatable,
                    delivered,
                    resumable: true,
                    ..PROGRESS
                };
                let mut budget = RetryBudget::new(1);
                let mut state = RetryState::new(0);
                let mut may_have_run = delivered;
                for outcome in outcomes {
                    may_have_run |= !outcome.is_not_run();
                    match state.on_outcome(Duration::ZERO, outcome, &progress, &mut budget) {
                        RetryDecision::GiveUp { outcome, .. } => {
                            prop_assert_eq!(outcome == FinalOutcome::NotRun, !may_have_run);
                            return Ok(());
                        }
                        _ => prop_assert!(repeatable || !may_have_run),
                    }
                }
                Ok(())
            },
        )
        .unwrap();
}

/// Guards against retries that amplify the load of an overloaded pool, and against a lower tier that uses up the budget
/// of a higher one.
#[test]
fn retries_are_a_share_of_the_tiers_own_successes() {
    let now = Duration::ZERO;
    let mut budget = RetryBudget::new(2);
    let retries = |budget: &mut RetryBudget, tier: u8, requests: usize| {
        let attempts = (0..requests).map(|_| {
            RetryState::new(tier).on_outcome(now, AttemptOutcome::Failed, &PROGRESS, budget)
        });
        attempts
            .filter(|decision| *decision == RetryDecision::RetryElsewhere)
            .count()
    };
    assert_eq!(retries(&mut budget, 1, 1000), 5);
    (0..100).for_each(|_| budget.on_success(1));
    assert_eq!(retries(&mut budget, 1, 1000), 10);
    assert_eq!(retries(&mut budget, 0, 4), 4);
    (0..100_000).for_each(|_| budget.on_success(1));
    assert_eq!(retries(&mut budget, 1, 1000), 50);
}

/// Guards against a tier that cannot retry any more after an outage has used up its budget, and against a refill that
/// is lost to rounding when retries are frequent.
#[test]
fn an_empty_budget_refills_slowly() {
    let mut budget = RetryBudget::new(1);
    let mut retried = 0;
    for millisecond in 0..60_000 {
        let now = Duration::from_millis(millisecond);
        let decision =
            RetryState::new(0).on_outcome(now, AttemptOutcome::Failed, &PROGRESS, &mut budget);
        retried += usize::from(decision == RetryDecision::RetryElsewhere);
    }
    assert!(
        (10..=11).contains(&retried),
        "{retried} retries in a minute"
    );
}

/// Guards against a request that crashes a third server, and against an unbounded number of attempts.
#[test]
fn crashes_and_attempts_are_limited() {
    for (outcome, allowed) in [
        (AttemptOutcome::Crashed, 1),
        (AttemptOutcome::RefusedNotRun, 3),
    ] {
        let mut budget = RetryBudget::new(1);
        let mut state = RetryState::new(0);
        for _ in 0..allowed {
            let decision = state.on_outcome(Duration::ZERO, outcome, &PROGRESS, &mut budget);
            assert_eq!(decision, RetryDecision::RetryElsewhere);
        }
        let decision = state.on_outcome(Duration::ZERO, outcome, &PROGRESS, &mut budget);
        let reason = GiveUpReason::TooManyAttempts;
        assert!(matches!(decision, RetryDecision::GiveUp { reason: given, .. } if given == reason));
    }
}

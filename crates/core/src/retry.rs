//! Retry decisions and the retry budget of each tier.
//!
//! A [`RetryState`] tracks the attempts of one request and records whether any of them may have run, so that a later
//! refusal is not reported as `not-run`. A [`RetryBudget`] limits the retries of each tier to a share of its successes.
//! Tiers have separate token buckets, so lower tiers cannot use up a higher tier's budget.
//!
//! Requests are not hedged. A second copy of a model call costs a whole prefill and generation, which would count as
//! wasted work, and adds load exactly when servers are slow; straggler detection and bounded load already keep requests
//! away from slow servers. Calls that must not be repeated cannot be hedged at all.

use std::time::Duration;

use crate::ids::TierId;

/// Budget added by one success, in thousandths of a retry.
const REFILL_PER_SUCCESS_PERMILLE: u64 = 100;
/// Cost of a retry after an attempt that may have run, in thousandths of a retry.
const COST_AFTER_RUN_PERMILLE: u64 = 1000;
/// Cost of a retry after an attempt that has not run. Such a retry repeats a message and no work.
const COST_AFTER_REFUSAL_PERMILLE: u64 = 100;
/// Upper bound of a tier's budget. It limits the burst of retries when a zone fails after a period without retries.
const MAX_BUDGET_PERMILLE: u64 = 50_000;
/// Initial budget of a tier, so that the first requests of an entry can be retried.
const INITIAL_BUDGET_PERMILLE: u64 = 5_000;
/// Budget added per second regardless of successes, so that a tier with little traffic, or after an outage, can retry
/// again.
const REFILL_PER_SECOND_PERMILLE: u64 = 100;
const MAX_ATTEMPTS: u32 = 4;
/// Number of crashes after which a request is not retried. Most requests that crash two servers would crash a third.
const MAX_CRASHES: u32 = 2;

/// Progress of an attempt when its link was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkPhase {
    /// No part of the attempt was written to the link.
    NotSent,
    /// The attempt was written, but the sidecar has not confirmed it. It may have run.
    Sent,
    /// The sidecar has sent the attempt to its backend server.
    Accepted,
}

/// Result of an attempt that ended without a complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The sidecar refused the attempt and guarantees that it did not reach the backend server.
    RefusedNotRun,
    /// The sidecar refused the attempt but cannot guarantee that it did not run.
    RefusedUnknown,
    /// The router found no usable server.
    NoServer,
    /// The link to the sidecar was lost.
    LinkLost {
        /// Progress of the attempt at that time.
        phase: LinkPhase,
    },
    /// The backend server failed without a response; the attempt may have had an effect.
    Failed,
    /// The backend server crashed while the attempt ran.
    Crashed,
    /// The sidecar preempted the attempt for a request of a higher tier.
    Preempted,
    /// The response was truncated.
    Cut,
    /// The caller disconnected or cancelled the request.
    Cancelled,
}

impl AttemptOutcome {
    /// Returns whether the attempt certainly did not run.
    ///
    /// ```
    /// use tanagerford_core::retry::{AttemptOutcome, LinkPhase};
    ///
    /// assert!(AttemptOutcome::LinkLost { phase: LinkPhase::NotSent }.is_not_run());
    /// assert!(!AttemptOutcome::LinkLost { phase: LinkPhase::Sent }.is_not_run());
    /// ```
    #[must_use]
    pub fn is_not_run(self) -> bool {
        let unsent = Self::LinkLost {
            phase: LinkPhase::NotSent,
        };
        self == Self::RefusedNotRun || self == Self::NoServer || self == unsent
    }
}

/// Outcome of a failed request that is reported to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FinalOutcome {
    /// The request was certainly not executed.
    NotRun,
    /// The request may have been executed, in whole or in part.
    Unknown,
}

/// Reason for not retrying a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum GiveUpReason {
    /// The request must not be repeated and may have run.
    NotRepeatable,
    /// The caller has received a part of the response, and the stream cannot be resumed.
    NotResumable,
    /// The time left until the deadline does not exceed the time that another attempt needs.
    NoTime,
    /// The tier's retry budget does not cover the retry.
    NoBudget,
    /// The limit of attempts (4) or of crashes (2) is reached.
    TooManyAttempts,
    /// The router found no usable server.
    NoServer,
    /// The caller disconnected or cancelled the request.
    Cancelled,
}

/// What to do after an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Run the request again on a server that has not been tried.
    RetryElsewhere,
    /// Continue the stream on another server after the tokens that the caller has received.
    Resume,
    /// Report the failure to the caller without another attempt.
    GiveUp {
        /// Whether the request may have been executed.
        outcome: FinalOutcome,
        /// Reason for not retrying.
        reason: GiveUpReason,
    },
}

/// State of a request at the end of one of its attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Whether the request may be executed twice.
    pub repeatable: bool,
    /// Whether another engine can continue the stream.
    pub resumable: bool,
    /// Whether the caller has received any part of the response.
    pub delivered: bool,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// Minimum time that another attempt is expected to need.
    pub time_needed: Duration,
}

/// Summary of the attempts of one request so far.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RetryState {
    tier: TierId,
    attempts: u32,
    crashes: u32,
    may_have_run: bool,
}

impl RetryState {
    /// Creates the state of a request before its first attempt.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::retry::{AttemptOutcome, Progress, RetryBudget, RetryDecision, RetryState};
    ///
    /// let mut budget = RetryBudget::new(4);
    /// let mut state = RetryState::new(1);
    /// let progress = Progress {
    ///     repeatable: false,
    ///     resumable: false,
    ///     delivered: false,
    ///     time_left: Duration::from_secs(2),
    ///     time_needed: Duration::from_millis(100),
    /// };
    /// let decision = state.on_outcome(Duration::ZERO, AttemptOutcome::RefusedNotRun, &progress, &mut budget);
    /// assert_eq!(decision, RetryDecision::RetryElsewhere);
    /// let decision = state.on_outcome(Duration::ZERO, AttemptOutcome::Crashed, &progress, &mut budget);
    /// assert!(matches!(decision, RetryDecision::GiveUp { .. }));
    /// ```
    #[must_use]
    pub fn new(tier: TierId) -> Self {
        Self {
            tier,
            ..Self::default()
        }
    }

    /// Decides how to proceed after an attempt that ended without a complete response.
    ///
    /// For a request that must not be repeated, the caller of this function first queries the state of the order and
    /// passes the outcome that the query established. See [`RetryState::new`] for an example.
    pub fn on_outcome(
        &mut self,
        now: Duration,
        outcome: AttemptOutcome,
        progress: &Progress,
        budget: &mut RetryBudget,
    ) -> RetryDecision {
        self.attempts += 1;
        self.crashes += u32::from(outcome == AttemptOutcome::Crashed);
        self.may_have_run |= progress.delivered || !outcome.is_not_run();
        if let Some(reason) = self.give_up_reason(outcome, progress) {
            return self.give_up(reason);
        }
        let cost = if outcome.is_not_run() {
            COST_AFTER_REFUSAL_PERMILLE
        } else {
            COST_AFTER_RUN_PERMILLE
        };
        if !budget.take(now, self.tier, cost) {
            return self.give_up(GiveUpReason::NoBudget);
        }
        if progress.delivered {
            RetryDecision::Resume
        } else {
            RetryDecision::RetryElsewhere
        }
    }

    /// Returns whether any attempt so far may have run.
    ///
    /// ```
    /// use tanagerford_core::retry::RetryState;
    ///
    /// assert!(!RetryState::new(0).may_have_run());
    /// ```
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    fn give_up_reason(&self, outcome: AttemptOutcome, progress: &Progress) -> Option<GiveUpReason> {
        let conditions = [
            (
                outcome == AttemptOutcome::Cancelled,
                GiveUpReason::Cancelled,
            ),
            (outcome == AttemptOutcome::NoServer, GiveUpReason::NoServer),
            (
                self.may_have_run && !progress.repeatable,
                GiveUpReason::NotRepeatable,
            ),
            (
                progress.delivered && !progress.resumable,
                GiveUpReason::NotResumable,
            ),
            (self.attempts >= MAX_ATTEMPTS, GiveUpReason::TooManyAttempts),
            (self.crashes >= MAX_CRASHES, GiveUpReason::TooManyAttempts),
            (
                progress.time_left <= progress.time_needed,
                GiveUpReason::NoTime,
            ),
        ];
        let first_met = conditions.into_iter().find(|(is_met, _)| *is_met);
        first_met.map(|(_, reason)| reason)
    }

    fn give_up(&self, reason: GiveUpReason) -> RetryDecision {
        let outcome = if self.may_have_run {
            FinalOutcome::Unknown
        } else {
            FinalOutcome::NotRun
        };
        RetryDecision::GiveUp { outcome, reason }
    }
}

#[derive(Debug, Clone)]
struct Bucket {
    budget_permille: u64,
    /// Time up to which the periodic refill has been added; `None` before the first retry.
    refilled_ms: Option<u64>,
}

/// Retry budget: one token bucket per tier.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    buckets: Vec<Bucket>,
}

impl RetryBudget {
    /// Creates the budgets of `tiers` tiers, each with 5 retries.
    ///
    /// ```
    /// use tanagerford_core::retry::RetryBudget;
    ///
    /// assert_eq!(RetryBudget::new(4).retries_left(3), 5);
    /// ```
    #[must_use]
    pub fn new(tiers: u8) -> Self {
        let bucket = Bucket {
            budget_permille: INITIAL_BUDGET_PERMILLE,
            refilled_ms: None,
        };
        Self {
            buckets: vec![bucket; usize::from(tiers)],
        }
    }

    /// Records a success of a tier. Ten successes allow one retry, up to a budget of 50 retries.
    ///
    /// ```
    /// use tanagerford_core::retry::RetryBudget;
    ///
    /// let mut budget = RetryBudget::new(2);
    /// (0..10).for_each(|_| budget.on_success(1));
    /// assert_eq!((budget.retries_left(0), budget.retries_left(1)), (5, 6));
    /// ```
    pub fn on_success(&mut self, tier: TierId) {
        if let Some(bucket) = self.buckets.get_mut(usize::from(tier)) {
            bucket.budget_permille =
                (bucket.budget_permille + REFILL_PER_SUCCESS_PERMILLE).min(MAX_BUDGET_PERMILLE);
        }
    }

    /// Returns the number of retries after attempts that may have run that the tier's budget covers, without the refill
    /// since its last retry.
    ///
    /// See [`RetryBudget::new`] for an example.
    #[must_use]
    pub fn retries_left(&self, tier: TierId) -> u64 {
        let bucket = self.buckets.get(usize::from(tier));
        bucket.map_or(0, |bucket| bucket.budget_permille / COST_AFTER_RUN_PERMILLE)
    }

    fn take(&mut self, now: Duration, tier: TierId, cost: u64) -> bool {
        let Some(bucket) = self.buckets.get_mut(usize::from(tier)) else {
            return false;
        };
        bucket.refill(now);
        let Some(remaining) = bucket.budget_permille.checked_sub(cost) else {
            return false;
        };
        bucket.budget_permille = remaining;
        true
    }
}

impl Bucket {
    fn refill(&mut self, now: Duration) {
        let now_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        let refilled_ms = *self.refilled_ms.get_or_insert(now_ms);
        let refill_permille =
            now_ms.saturating_sub(refilled_ms) * REFILL_PER_SECOND_PERMILLE / 1000;
        // The remainder below a thousandth is added by the next refill.
        self.refilled_ms = Some(refilled_ms + refill_permille * 1000 / REFILL_PER_SECOND_PERMILLE);
        self.budget_permille = (self.budget_permille + refill_permille).min(MAX_BUDGET_PERMILLE);
    }
}

//! Retry decisions and the retry budget of each tier.
//!
//! A [`RetryState`] follows one request through its attempts and remembers whether any of them may have run, so a later
//! refusal is not reported as `not-run`. A [`RetryBudget`] limits the retries of each tier to a share of its
//! successes; tiers have separate buckets, so lower tiers cannot use up a higher tier's budget.
//!
//! Requests are not hedged. A second copy of a model call costs a whole prefill and generation, which would count as
//! wasted work, and adds load exactly when servers are slow; the straggler detection and the bounded load already
//! keep requests away from slow servers. Calls that must not be repeated could not be hedged at all.

use std::time::Duration;

use crate::ids::TierId;

/// Retries earned by one success, in thousandths.
const EARNED_PER_SUCCESS: u64 = 100;
/// Cost of a retry after an attempt that may have run, in thousandths.
const COST_AFTER_RUN: u64 = 1000;
/// Cost of a retry after a refusal, in thousandths: it repeats a message, not work.
const COST_AFTER_REFUSAL: u64 = 100;
/// Largest budget of a tier, in thousandths. It limits the burst of retries when a zone is lost after a calm time.
const LARGEST_BUDGET: u64 = 50_000;
/// Budget of a tier at the start, in thousandths, so that the first requests of an entry may be retried.
const FIRST_BUDGET: u64 = 5_000;
/// Budget that a tier gains per second without any success, in thousandths, so that a tier with little traffic or
/// after an outage is not without retries for ever.
const EARNED_PER_SECOND: u64 = 100;
/// Attempts after which a request is given up.
const MAX_ATTEMPTS: u32 = 4;
/// Crashes after which a request is given up. Most requests that crash two servers would crash the third.
const MAX_CRASHES: u32 = 2;

/// How far an attempt had come when its link was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkPhase {
    /// Nothing of the attempt was written to the link.
    NotSent,
    /// The attempt was written, but the sidecar did not accept it. It may have run all the same.
    Sent,
    /// The sidecar handed the attempt to its backend server.
    Accepted,
}

/// How an attempt ended without a complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The sidecar proves that the attempt did not reach its backend server.
    RefusedNotRun,
    /// The sidecar refused but cannot prove that nothing ran.
    RefusedUnknown,
    /// No server could be chosen.
    NoServer,
    /// The link was lost.
    LinkLost {
        /// How far the attempt had come.
        phase: LinkPhase,
    },
    /// The backend server failed without an answer; the effect is unknown.
    Failed,
    /// The backend server crashed while the attempt ran.
    Crashed,
    /// The sidecar stopped the attempt for work of a higher tier.
    Preempted,
    /// The transfer broke off or arrived incomplete.
    Cut,
    /// The caller left.
    Cancelled,
}

impl AttemptOutcome {
    /// Whether the outcome proves that nothing ran.
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

/// Outcome that is reported to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FinalOutcome {
    /// The request was definitely not executed.
    NotRun,
    /// The request may have been executed, in whole or in part.
    Unknown,
}

/// Why a request is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum GiveUpReason {
    /// The request must not be repeated and may have run.
    NotRepeatable,
    /// The caller has received a part of the answer that cannot be continued.
    NotResumable,
    /// Too little time is left for another attempt.
    NoTime,
    /// The tier's retry budget is used up.
    NoBudget,
    /// The request had as many attempts, or crashes, as are allowed.
    TooManyAttempts,
    /// No server is left.
    NoServer,
    /// The caller left.
    Cancelled,
}

/// What to do after an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Run the request again on a server that was not tried.
    RetryElsewhere,
    /// Continue the stream on another server after the tokens that the caller has.
    Resume,
    /// Report the failure at once.
    GiveUp {
        /// Outcome to report.
        outcome: FinalOutcome,
        /// Why.
        reason: GiveUpReason,
    },
}

/// What matters about a request when one of its attempts has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Whether the request may be executed twice.
    pub repeatable: bool,
    /// Whether the engine can continue a stream that another engine began.
    pub resumable: bool,
    /// Whether the caller has received any part of the answer.
    pub delivered: bool,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
    /// Time that another attempt is expected to need at least.
    pub time_needed: Duration,
}

/// Attempts of one request so far.
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

    /// Decides what to do after an attempt ended without a complete answer.
    ///
    /// For a request that must not be repeated, the outcome of the order is asked for first; this function then gets
    /// what that query proved. See [`RetryState::new`] for an example.
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
        if let Some(reason) = self.obstacle(outcome, progress) {
            return self.give_up(reason);
        }
        let cost = if outcome.is_not_run() {
            COST_AFTER_REFUSAL
        } else {
            COST_AFTER_RUN
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

    /// Whether any attempt so far may have run.
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

    fn obstacle(&self, outcome: AttemptOutcome, progress: &Progress) -> Option<GiveUpReason> {
        let obstacles = [
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
        let met = obstacles.into_iter().find(|(is_met, _)| *is_met);
        met.map(|(_, reason)| reason)
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
    thousandths: u64,
    /// Time up to which the slow refill is accounted; `None` before the first retry.
    refilled_ms: Option<u64>,
}

/// Retry budget: one token bucket per tier.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    buckets: Vec<Bucket>,
}

impl RetryBudget {
    /// Creates the budgets of `tiers` tiers.
    ///
    /// ```
    /// use tanagerford_core::retry::RetryBudget;
    ///
    /// assert_eq!(RetryBudget::new(4).retries_left(3), 5);
    /// ```
    #[must_use]
    pub fn new(tiers: u8) -> Self {
        let bucket = Bucket {
            thousandths: FIRST_BUDGET,
            refilled_ms: None,
        };
        Self {
            buckets: vec![bucket; usize::from(tiers)],
        }
    }

    /// Records a success of a tier: ten of them allow one retry.
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
            bucket.thousandths = (bucket.thousandths + EARNED_PER_SUCCESS).min(LARGEST_BUDGET);
        }
    }

    /// Returns the whole retries of work that a tier has left, without the refill since its last retry.
    /// See [`RetryBudget::new`] for an example.
    #[must_use]
    pub fn retries_left(&self, tier: TierId) -> u64 {
        let bucket = self.buckets.get(usize::from(tier));
        bucket.map_or(0, |bucket| bucket.thousandths / COST_AFTER_RUN)
    }

    fn take(&mut self, now: Duration, tier: TierId, cost: u64) -> bool {
        let Some(bucket) = self.buckets.get_mut(usize::from(tier)) else {
            return false;
        };
        bucket.refill(now);
        let Some(rest) = bucket.thousandths.checked_sub(cost) else {
            return false;
        };
        bucket.thousandths = rest;
        true
    }
}

impl Bucket {
    fn refill(&mut self, now: Duration) {
        let now_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        let refilled_ms = *self.refilled_ms.get_or_insert(now_ms);
        let earned = now_ms.saturating_sub(refilled_ms) * EARNED_PER_SECOND / 1000;
        // The rest below a thousandth stays for the next refill.
        self.refilled_ms = Some(refilled_ms + earned * 1000 / EARNED_PER_SECOND);
        self.thousandths = (self.thousandths + earned).min(LARGEST_BUDGET);
    }
}

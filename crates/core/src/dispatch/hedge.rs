//! Decisions about hedged calls: when a second server is asked, and how often.
//!
//! A call that may be repeated is sent to a second server when the first one has been silent for longer than a learned
//! quantile of the pool's times to the first byte. [`PoolHedging`] learns these times by kind of call, and keeps the account
//! that limits the hedges of one entry to a share of its calls.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use super::decay::remaining_weight;

/// Largest share of the calls that an operator may allow as hedges, in millionths. Beyond it, hedges would begin before the
/// slowest twentieth of the calls.
const MAX_SHARE_MILLIONTHS: u32 = 50_000;
/// Millionths of one hedge.
const MILLIONTHS: u64 = 1_000_000;
/// Hedges that an entry can save up. In any window, the hedges of an entry exceed the share of its calls by this number at
/// most, however often the process restarts, since an account is empty at the start. Slow answers come in groups: with two,
/// a share of 0.02 left p99.9 at 435 ms where 15 in 1,000 answers stall, with ten at 58 ms.
pub const MAX_SAVED_HEDGES: u32 = 10;
/// Weight of the observations from which a quantile is used.
const MIN_OBSERVATIONS: f64 = 20.0;
/// Half-life of an observation's weight.
const HALF_LIFE: Duration = Duration::from_secs(30);
/// Interval at which the weights are reduced.
const DECAY_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time after which a call is hedged. A hedge that is sent earlier saves less than it costs the entry.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(10);
/// Buckets of a histogram. The last one begins at 54 s.
const BUCKETS: usize = 80;
/// Ratio of the upper bounds of two consecutive buckets; the largest relative error of a quantile.
const BUCKET_RATIO: f64 = 1.15;
/// Uncached prompt tokens from which a call belongs to the next class.
const PROMPT_CLASS_TOKENS: [u32; 3] = [512, 2_048, 8_192];
/// Kinds of calls: plain ones and the classes of prompts.
const KINDS: usize = PROMPT_CLASS_TOKENS.len() + 2;

/// Share of an entry's calls that may be hedged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HedgeShare {
    millionths: u32,
}

/// Share that is no number from 0 to 0.05.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidHedgeShare;

impl fmt::Display for InvalidHedgeShare {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("must be a number from 0 to 0.05")
    }
}

impl std::error::Error for InvalidHedgeShare {}

impl HedgeShare {
    /// Returns whether no call may be hedged.
    #[must_use]
    pub fn is_zero(self) -> bool {
        self.millionths == 0
    }

    /// Returns the quantile of the times to the first byte after which a call is hedged. The share of the calls that reach
    /// it is the share that may be hedged.
    fn quantile(self) -> f64 {
        1.0 - f64::from(self.millionths) / 1e6
    }
}

impl FromStr for HedgeShare {
    type Err = InvalidHedgeShare;

    /// Parses a share of calls.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidHedgeShare`] unless the text is a decimal number from 0 to 0.05.
    ///
    /// # Examples
    ///
    /// ```
    /// use tanagerford_core::dispatch::HedgeShare;
    ///
    /// assert!(!"0.02".parse::<HedgeShare>()?.is_zero());
    /// assert!("0".parse::<HedgeShare>()?.is_zero());
    /// assert!("2%".parse::<HedgeShare>().is_err());
    /// assert!("0.051".parse::<HedgeShare>().is_err());
    /// # Ok::<(), tanagerford_core::dispatch::InvalidHedgeShare>(())
    /// ```
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let share: f64 = text.parse().map_err(|_| InvalidHedgeShare)?;
        let max_share = f64::from(MAX_SHARE_MILLIONTHS) / 1e6;
        if !(0.0..=max_share).contains(&share) {
            return Err(InvalidHedgeShare);
        }
        // Rounded down to millionths, so that the share is never exceeded.
        let millionths = Duration::from_secs_f64(share).subsec_micros();
        Ok(Self { millionths })
    }
}

/// Kind of a call. Times to the first byte are learned for each kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Call of a plain service.
    Plain,
    /// Call of a model engine, by the size class of the prompt tokens that are not in the server's cache.
    Prompt {
        /// Number of the size class, from 0 for the shortest prompts to 3.
        class: usize,
    },
}

impl CallKind {
    /// Returns the kind of a call with a prompt of `prompt_tokens`, of which `uncached_tokens` are not in the server's cache.
    /// A call without a prompt is plain.
    #[must_use]
    pub fn new(prompt_tokens: u32, uncached_tokens: u32) -> Self {
        if prompt_tokens == 0 {
            return Self::Plain;
        }
        let reached = PROMPT_CLASS_TOKENS
            .iter()
            .filter(|from| uncached_tokens >= **from);
        Self::Prompt {
            class: reached.count(),
        }
    }

    fn index(self) -> usize {
        match self {
            Self::Plain => 0,
            Self::Prompt { class } => (1 + class).min(KINDS - 1),
        }
    }
}

/// Reason why a call is not hedged although its server has been silent for long enough.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeDenial {
    /// The entry has used up its share.
    ShareUsed,
    /// The entry's processor was overloaded recently.
    ProcessorBusy,
    /// The pool, or the server that would be asked, has no free slot.
    NoRoom,
    /// No other server can take the call now.
    NoServer,
    /// The retry budget of the fleet allows no repeat.
    RetryBudget,
    /// The call may have crashed a server.
    Suspect,
}

impl HedgeDenial {
    /// Returns the name of the reason in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::ShareUsed => "share_used",
            Self::ProcessorBusy => "processor_busy",
            Self::NoRoom => "no_room",
            Self::NoServer => "no_server",
            Self::RetryBudget => "retry_budget",
            Self::Suspect => "suspect",
        }
    }
}

/// What an entry knows of its own load and of the pool's when a hedge is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HedgeConditions {
    /// Whether the entry's processor was overloaded recently.
    pub is_processor_busy: bool,
    /// Whether the pool has free slots that no call waits for.
    pub has_room: bool,
}

/// Times to the first byte of one kind of call, as a histogram whose observations lose weight with their age.
#[derive(Debug, Clone)]
struct FirstByteTimes {
    weights: [f64; BUCKETS],
    total: f64,
    decayed_at: Duration,
}

impl Default for FirstByteTimes {
    fn default() -> Self {
        Self {
            weights: [0.0; BUCKETS],
            total: 0.0,
            decayed_at: Duration::ZERO,
        }
    }
}

impl FirstByteTimes {
    fn record(&mut self, now: Duration, took: Duration) {
        if now.saturating_sub(self.decayed_at) >= DECAY_INTERVAL {
            let factor = remaining_weight(now, self.decayed_at, HALF_LIFE);
            self.decayed_at = now;
            self.total = 0.0;
            for weight in &mut self.weights {
                *weight *= factor;
                self.total += *weight;
            }
        }
        let took_ms = took.as_secs_f64() * 1_000.0;
        let bucket = bucket_bounds_ms().position(|bound_ms| took_ms < bound_ms);
        self.weights[bucket.unwrap_or(BUCKETS - 1)] += 1.0;
        self.total += 1.0;
    }

    /// Returns the upper bound of the bucket in which the quantile lies; `None` after too few observations.
    fn quantile(&self, now: Duration, quantile: f64) -> Option<Duration> {
        let remaining = remaining_weight(now, self.decayed_at, HALF_LIFE);
        if self.total * remaining < MIN_OBSERVATIONS {
            return None;
        }
        let mut above = self.total * quantile;
        let reached = self.weights.iter().zip(bucket_bounds_ms());
        for (weight, bound_ms) in reached {
            above -= weight;
            if above <= 0.0 {
                return Some(Duration::from_secs_f64(bound_ms / 1_000.0));
            }
        }
        None
    }
}

/// Returns the upper bounds of the buckets in milliseconds, of which the last one is the longest time that is told apart.
fn bucket_bounds_ms() -> impl Iterator<Item = f64> {
    std::iter::successors(Some(BUCKET_RATIO), |bound_ms| Some(bound_ms * BUCKET_RATIO))
        .take(BUCKETS)
}

/// Learned times and account of one pool at one entry. Its size does not depend on the traffic.
///
/// Each call adds the share to the account, and a hedge takes one. The account is empty at the start and holds
/// [`MAX_SAVED_HEDGES`] at most. So at any moment a process has sent at most the share of the calls that it received, and the
/// same holds for the sum over any set of processes, whenever they start or end.
#[derive(Debug)]
pub struct PoolHedging {
    share: HedgeShare,
    balance_millionths: u64,
    times: [FirstByteTimes; KINDS],
}

impl PoolHedging {
    /// Creates an empty account for a share of the calls.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::dispatch::{CallKind, HedgeConditions, HedgeDenial, PoolHedging};
    ///
    /// let mut hedging = PoolHedging::new("0.05".parse()?);
    /// let now = Duration::from_secs(1);
    /// for number in 0..20 {
    ///     hedging.on_call();
    ///     hedging.on_first_byte(now, CallKind::Plain, Duration::from_millis(20));
    /// }
    /// let after = hedging.hedge_after(now, CallKind::Plain).unwrap();
    /// assert!(after >= Duration::from_millis(20) && after < Duration::from_millis(24));
    /// let conditions = HedgeConditions { is_processor_busy: false, has_room: true };
    /// assert_eq!(hedging.try_hedge(conditions), Ok(()));
    /// assert_eq!(hedging.try_hedge(conditions), Err(HedgeDenial::ShareUsed));
    /// # Ok::<(), tanagerford_core::dispatch::InvalidHedgeShare>(())
    /// ```
    #[must_use]
    pub fn new(share: HedgeShare) -> Self {
        Self {
            share,
            balance_millionths: 0,
            times: Default::default(),
        }
    }

    /// Records a call of the pool. Call this once for a call, not for its repeats.
    pub fn on_call(&mut self) {
        let limit = u64::from(MAX_SAVED_HEDGES) * MILLIONTHS;
        let balance = self.balance_millionths + u64::from(self.share.millionths);
        self.balance_millionths = balance.min(limit);
    }

    /// Records the time from sending a call to a server until the first byte of its answer. For a call that was cancelled
    /// since another server answered, `took` is the time until then, a lower bound: without it, the times of slow servers
    /// would be missing and the quantile would fall.
    pub fn on_first_byte(&mut self, now: Duration, kind: CallKind, took: Duration) {
        self.times[kind.index()].record(now, took);
    }

    /// Returns the silence of a server after which a call is hedged; `None` if hedges are off or the times are not known yet.
    #[must_use]
    pub fn hedge_after(&self, now: Duration, kind: CallKind) -> Option<Duration> {
        if self.share.is_zero() {
            return None;
        }
        let after = self.times[kind.index()].quantile(now, self.share.quantile())?;
        Some(after.max(MIN_HEDGE_DELAY))
    }

    /// Takes a hedge from the account.
    ///
    /// # Errors
    ///
    /// Returns the reason if no hedge may be sent now.
    pub fn try_hedge(&mut self, conditions: HedgeConditions) -> Result<(), HedgeDenial> {
        if conditions.is_processor_busy {
            return Err(HedgeDenial::ProcessorBusy);
        }
        if !conditions.has_room {
            return Err(HedgeDenial::NoRoom);
        }
        let balance = self.balance_millionths.checked_sub(MILLIONTHS);
        self.balance_millionths = balance.ok_or(HedgeDenial::ShareUsed)?;
        Ok(())
    }

    /// Returns a hedge that reached no server to the account. Call this once for a hedge that was taken.
    pub fn return_hedge(&mut self) {
        let limit = u64::from(MAX_SAVED_HEDGES) * MILLIONTHS;
        self.balance_millionths = (self.balance_millionths + MILLIONTHS).min(limit);
    }
}

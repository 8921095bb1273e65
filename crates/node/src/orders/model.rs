//! Types of the order log's interface.

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use tanagerford_core::ids::PoolId;
use tanagerford_core::order::{
    BodyDigest, ClaimId, GateLimits, OrderKey, OrderStep, Owner, PacerLimits, PageLimits,
};

/// Called with each step that the order log passes. The fault matrix injects faults here.
pub type StepHook = Arc<dyn Fn(OrderStep) + Send + Sync>;

/// Source of time: `now` counts from an arbitrary start that `unix_start` places on the calendar.
#[derive(Clone)]
pub struct OrderClock {
    now: Arc<dyn Fn() -> Duration + Send + Sync>,
    unix_start: Duration,
}

impl OrderClock {
    /// Returns the clock of the machine.
    ///
    /// ```
    /// use tanagerford_node::orders::OrderClock;
    ///
    /// let clock = OrderClock::system();
    /// assert!(clock.unix_now() >= clock.now());
    /// ```
    #[must_use]
    pub fn system() -> Self {
        let start = Instant::now();
        let unix_start = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            now: Arc::new(move || start.elapsed()),
            unix_start,
        }
    }

    /// Returns a clock that reads `now`.
    #[must_use]
    pub fn from_fn(
        now: impl Fn() -> Duration + Send + Sync + 'static,
        unix_start: Duration,
    ) -> Self {
        Self {
            now: Arc::new(now),
            unix_start,
        }
    }

    /// Returns the time since an arbitrary start.
    #[must_use]
    pub fn now(&self) -> Duration {
        (self.now)()
    }

    /// Returns the time since the Unix epoch.
    #[must_use]
    pub fn unix_now(&self) -> Duration {
        self.unix_start + self.now()
    }
}

impl fmt::Debug for OrderClock {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("OrderClock")
            .field("now", &self.now())
            .finish_non_exhaustive()
    }
}

/// Shards of the orders of a pool; the same number in all processes, because entries send an order to the owner of its
/// shard.
pub const ORDER_SHARDS: u32 = 16;

/// Settings of an order log.
#[derive(Clone)]
pub struct OrderSettings {
    /// Pool of the plain service whose orders are claimed.
    pub pool: PoolId,
    /// This sidecar and its incarnation.
    pub owner: Owner,
    /// Count of shards; the same in all sidecars of the pool. Also bounds the count of concurrent writers.
    pub shards: u32,
    /// Limits of the pages.
    pub pages: PageLimits,
    /// Limits of the gate of one shard.
    pub gate: GateLimits,
    /// Limits of the writer.
    pub pacer: PacerLimits,
    /// Largest sum of the lengths of kept answers in bytes.
    pub answer_bytes: usize,
    /// Longest time of one call to the key-value service.
    pub call_timeout: Duration,
    /// Age at which a view of a shard is read again before an order is reported as claimed by another sidecar.
    pub view_age: Duration,
    /// Retry advice of refusals.
    pub retry_after: Duration,
    /// Called with each step; absent in production.
    pub hook: Option<StepHook>,
}

impl OrderSettings {
    /// Returns the default settings for `owner` in `pool`.
    ///
    /// 16 shards bound the writers of a pool to 16. The default rate of a writer divides 80 writes/s among three sidecars;
    /// a larger pool needs [`PacerLimits::shared`] with its own count.
    #[must_use]
    pub fn new(pool: impl Into<PoolId>, owner: Owner) -> Self {
        Self {
            pool: pool.into(),
            owner,
            shards: ORDER_SHARDS,
            pages: PageLimits::default(),
            gate: GateLimits::default(),
            pacer: PacerLimits::default(),
            answer_bytes: 64 << 20,
            call_timeout: Duration::from_secs(1),
            view_age: Duration::from_secs(5),
            retry_after: Duration::from_secs(1),
            hook: None,
        }
    }
}

impl fmt::Debug for OrderSettings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = formatter.debug_struct("OrderSettings");
        debug
            .field("pool", &self.pool)
            .field("owner", &self.owner)
            .field("shards", &self.shards);
        debug.finish_non_exhaustive()
    }
}

/// A call that must not be repeated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderRequest {
    /// Key of the order.
    pub key: OrderKey,
    /// Digest of the call.
    pub body: BodyDigest,
    /// Claim reported by [`ClaimDecision::OwnedElsewhere`] of which its owner has since answered
    /// [`OrderStatus::NotRun`]. The claim is moved to this sidecar.
    pub released: Option<ClaimId>,
}

/// Answer of a backend server to an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}

impl KeptAnswer {
    /// Returns the memory that the answer needs, in bytes.
    #[must_use]
    pub fn kept_bytes(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|(name, value)| name.len() + value.len() + 48)
            .sum();
        self.body.len() + headers + 128
    }
}

/// Why an order was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RefusalCode {
    /// The claim could not be written within the deadline; nothing was sent to the key-value service or it had no
    /// effect.
    StoreUnavailable,
    /// The shard's pages or the gate are full.
    LogFull,
    /// A page of the shard cannot be decoded.
    LogUnreadable,
    /// The order was reported as not run to a query and stays so at this sidecar.
    Refused,
    /// The sidecar stops.
    Stopping,
}

impl RefusalCode {
    /// Returns the stable code of the refusal.
    #[must_use]
    pub fn code(self) -> &'static str {
        match self {
            Self::StoreUnavailable => "order_store_unavailable",
            Self::LogFull => "order_log_full",
            Self::LogUnreadable => "order_log_unreadable",
            Self::Refused => "order_refused_here",
            Self::Stopping => "order_log_stopping",
        }
    }
}

/// Why it is unknown whether an order was run, or what it answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum UnknownCode {
    /// The deadline passed while the result of the claim's write was not known.
    ClaimUnresolved,
    /// The sidecar that claimed the order is gone; an operator settles it.
    OwnerGone,
    /// The order was sent, and the connection to the backend server was lost before the answer; an operator settles it.
    CallLost,
    /// The order was run, but its answer is not kept any more.
    AnswerLost,
    /// An operator stated that the order was run.
    SettledRan,
}

impl UnknownCode {
    /// Returns the stable code.
    #[must_use]
    pub fn code(self) -> &'static str {
        match self {
            Self::ClaimUnresolved => "order_claim_unresolved",
            Self::OwnerGone => "order_owner_gone",
            Self::CallLost => "order_call_lost",
            Self::AnswerLost => "order_answer_lost",
            Self::SettledRan => "order_settled_as_run",
        }
    }
}

/// What to do with an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimDecision {
    /// Send the order to the backend server now, then call `finish` or `abandon`. Said once for each claim.
    Run(ClaimId),
    /// The order was run before; this is its answer.
    Answered(Arc<KeptAnswer>),
    /// The order still runs here.
    InProgress,
    /// The key was used with another body.
    RefusedOtherBody,
    /// The order was certainly not run.
    NotRun {
        /// Why.
        code: RefusalCode,
        /// Retry advice.
        retry_after: Duration,
    },
    /// Another sidecar claimed the order. Query it; if it answers not-run, claim again with
    /// [`OrderRequest::released`].
    OwnedElsewhere(ClaimId),
    /// It is unknown whether the order was run, or its answer is lost.
    Unknown {
        /// Why.
        code: UnknownCode,
    },
}

/// Answer to a query about an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderStatus {
    /// The order is being claimed or runs here.
    Running,
    /// The order was run; the answer is there if it is still kept.
    Done(Option<Arc<KeptAnswer>>),
    /// This incarnation has not run the order and will not run it under any claim made so far. Another sidecar may
    /// have run it: before a caller is told not-run, the shard's owner has to be asked to claim the order.
    NotRun,
    /// The sidecar that claimed the order is gone, or the answer of the backend server was lost.
    Unknown,
}

/// An order that another process claimed and that is not known to be finished, or whose answer was lost here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnsettledOrder {
    /// Key of the order.
    pub key: OrderKey,
    /// Claim.
    pub claim: ClaimId,
    /// Time of the claim since the Unix epoch.
    pub claimed_at: Duration,
    /// Whether the order is `unknown` until an operator settles it: the claiming process is gone, or its call was lost.
    pub is_unknown: bool,
}

/// Outcome of an operator's statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SettleOutcome {
    /// The statement is written.
    Settled,
    /// The order is not known here, or is finished, released or settled.
    NotUnsettled,
    /// The process that claimed the order is not known to be gone and its call was not lost; a statement that the order was not run could
    /// cause a second run.
    OwnerAlive,
    /// The statement was not written.
    NotWritten,
    /// The result of the write is not known yet; ask again.
    Unresolved,
}

/// Counts of an order log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct OrderCounts {
    /// Calls to the key-value service.
    pub calls: u64,
    /// Of these, transactions.
    pub writes: u64,
    /// Transactions that failed because a page had changed.
    pub conflicts: u64,
    /// Transactions whose answer was lost.
    pub lost_answers: u64,
    /// Keys held in loaded shards.
    pub keys: u64,
    /// Pages held in loaded shards.
    pub pages: u64,
    /// Orders that stay unknown until an operator settles them.
    pub unknown_orders: u64,
    /// Bytes of kept answers.
    pub answer_bytes: u64,
}

/// State of one request that waits for its claim.
#[derive(Debug, Default)]
pub struct Ticket {
    pub(super) number: Option<u64>,
    pub(super) seen_version: u64,
    pub(super) waited: bool,
}

//! Types of the interface of the order log.

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use tanagerford_core::ids::PoolId;
use tanagerford_core::order::{
    BodyDigest, ClaimId, GateLimits, OrderKey, OrderStep, Owner, PacerLimits, PageLimits,
};

/// Called with each step before the order log executes it. The fault matrix injects faults here.
pub type StepHook = Arc<dyn Fn(OrderStep) + Send + Sync>;

/// Source of time. `now` returns the time since an arbitrary start, which is at `unix_start` since the Unix epoch.
#[derive(Clone)]
pub struct OrderClock {
    now: Arc<dyn Fn() -> Duration + Send + Sync>,
    unix_start: Duration,
}

impl OrderClock {
    /// Returns the monotonic system clock. The calendar time is read only once, so later adjustments of it have no
    /// effect.
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

    /// Returns a clock that calls `now` for the time since its start, which is at `unix_start` since the Unix epoch.
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

    /// Returns the time since an arbitrary start; it never decreases.
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

/// Number of shards of a pool's orders. All processes must use the same number, because entries send an order to the
/// owner of its shard.
pub const ORDER_SHARDS: u32 = 16;

/// Settings of an order log.
#[derive(Clone)]
pub struct OrderSettings {
    /// Pool of the plain service; part of the keys of the claim pages.
    pub pool: PoolId,
    /// Identity and incarnation under which this sidecar claims orders.
    pub owner: Owner,
    /// Number of shards, equal in all sidecars of the pool. It also limits the number of concurrent writers.
    pub shards: u32,
    /// Limits of the claim pages of each shard.
    pub pages: PageLimits,
    /// Limits of the in-memory state of each shard's orders.
    pub gate: GateLimits,
    /// Rate, batching and backoff of the writer.
    pub pacer: PacerLimits,
    /// Maximum memory for stored responses, in bytes; the oldest responses are evicted first.
    pub max_response_bytes: usize,
    /// Timeout of each call to the key-value service.
    pub call_timeout: Duration,
    /// Maximum age of a shard's pages when an order is reported as claimed by another sidecar. Older pages are first
    /// read again.
    pub max_view_age: Duration,
    /// Retry advice in refusals.
    pub retry_after: Duration,
    /// Called with each step; `None` in production.
    pub step_hook: Option<StepHook>,
}

impl OrderSettings {
    /// Returns the default settings for `owner` in `pool`.
    ///
    /// 16 shards limit a pool to 16 writers. The default rate of a writer is its share of 80 writes per second for
    /// three sidecars; a larger pool needs [`PacerLimits::shared`] with its own number of sidecars.
    #[must_use]
    pub fn new(pool: impl Into<PoolId>, owner: Owner) -> Self {
        Self {
            pool: pool.into(),
            owner,
            shards: ORDER_SHARDS,
            pages: PageLimits::default(),
            gate: GateLimits::default(),
            pacer: PacerLimits::default(),
            max_response_bytes: 64 << 20,
            call_timeout: Duration::from_secs(1),
            max_view_age: Duration::from_secs(5),
            retry_after: Duration::from_secs(1),
            step_hook: None,
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

/// Call that must not run twice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderRequest {
    /// Key that the caller chose; a repetition of the order has the same key.
    pub key: OrderKey,
    /// Digest of the call. A repetition with another digest is refused.
    pub body: BodyDigest,
    /// Claim that an earlier [`ClaimDecision::ClaimedElsewhere`] reported and whose owner has since
    /// responded with [`OrderStatus::NotRun`]. The order is then claimed by this sidecar instead.
    pub released: Option<ClaimId>,
}

/// Response of a backend server to an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Names and values of the headers. Values that are not UTF-8 are converted with replacement characters.
    pub headers: Vec<(String, String)>,
    /// Complete body.
    pub body: Bytes,
}

impl StoredResponse {
    /// Returns an estimate of the memory for the response in bytes, with 128 bytes of overhead and 48 for each header.
    #[must_use]
    pub(crate) fn memory_bytes(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|(name, value)| name.len() + value.len() + 48)
            .sum();
        self.body.len() + headers + 128
    }
}

/// Reason why an order was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RefusalCode {
    /// The claim was not written before the deadline. No write was sent, or it had no effect.
    StoreUnavailable,
    /// The pages or the gate of the shard are full.
    LogFull,
    /// A page of the shard cannot be decoded.
    LogUnreadable,
    /// This sidecar responded to a query with [`OrderStatus::NotRun`], so it must not run the order any more.
    Refused,
    /// The sidecar is stopping.
    Stopping,
}

impl RefusalCode {
    /// Returns the code that callers see, which is part of the interface.
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

/// Reason why it is unknown whether an order has run, or what its response was.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum UnknownCode {
    /// The deadline passed while the result of writing the claim was unknown.
    ClaimUnresolved,
    /// The sidecar that claimed the order is gone. An operator must settle the order.
    OwnerGone,
    /// The order was sent, but the connection to the backend server broke before the response. An operator must settle
    /// the order.
    CallLost,
    /// The order has run, but its response was not stored or was evicted.
    ResponseLost,
    /// An operator settled the order as run.
    SettledRan,
}

impl UnknownCode {
    /// Returns the code that callers see, which is part of the interface.
    #[must_use]
    pub fn code(self) -> &'static str {
        match self {
            Self::ClaimUnresolved => "order_claim_unresolved",
            Self::OwnerGone => "order_owner_gone",
            Self::CallLost => "order_call_lost",
            Self::ResponseLost => "order_answer_lost",
            Self::SettledRan => "order_settled_as_run",
        }
    }
}

/// Result of claiming an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The order must be sent to the backend server now, followed by `finish`, `abandon` or `mark_response_lost`.
    /// Returned once for each claim.
    Run(ClaimId),
    /// The order ran earlier and had this response.
    Answered(Arc<StoredResponse>),
    /// The order is being claimed or is running at this sidecar.
    InProgress,
    /// The key was used earlier for a call with another digest.
    BodyMismatch,
    /// The order has certainly not run.
    NotRun {
        /// Reason of the refusal.
        code: RefusalCode,
        /// Time after which the caller may repeat the order.
        retry_after: Duration,
    },
    /// Another sidecar has claimed the order. If a query to it returns [`OrderStatus::NotRun`], the order can be
    /// claimed with [`OrderRequest::released`].
    ClaimedElsewhere(ClaimId),
    /// It is unknown whether the order has run, or its response is lost.
    Unknown {
        /// Reason.
        code: UnknownCode,
    },
}

/// State of an order, as reported to another process that queries it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderStatus {
    /// The order is being claimed or is running at this sidecar.
    Running,
    /// The order has run. The response is `None` if it was not stored or was evicted.
    Done(Option<Arc<StoredResponse>>),
    /// This incarnation has not run the order and will not run it under any claim made so far. Another sidecar may have
    /// run it, so a caller may get not-run only after the owner of the shard was asked to claim the order.
    NotRun,
    /// The sidecar that claimed the order is gone, or the response of the backend server was lost. Only an operator can
    /// determine whether the order ran.
    Unknown,
}

/// Unfinished order that another process claimed, or own order whose response was lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnsettledOrder {
    /// Key that the caller chose.
    pub key: OrderKey,
    /// Latest claim of the key.
    pub claim: ClaimId,
    /// Time of the claim since the Unix epoch.
    pub claimed_at: Duration,
    /// Whether only an operator can settle the order, because the claiming process is gone or the response was lost.
    pub is_unknown: bool,
}

/// Result of an operator's settlement of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SettleOutcome {
    /// The settlement is written.
    Settled,
    /// The order is not in the shards that were read, or is finished, released or settled.
    NotUnsettled,
    /// The process that claimed the order is not known to be gone and its call was not lost. Settling the order as not
    /// run could cause a second run.
    OwnerAlive,
    /// The settlement was not written and has no effect.
    NotWritten,
    /// The result of the write is not known yet; the settlement can be repeated.
    Unresolved,
}

/// Counts and sizes of an order log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct OrderCounts {
    /// Calls to the key-value service, including transactions.
    pub calls: u64,
    /// Transactions sent to the key-value service.
    pub writes: u64,
    /// Transactions that failed because a page had changed.
    pub conflicts: u64,
    /// Transactions whose response was lost.
    pub lost_answers: u64,
    /// Keys in the shards that were read.
    pub keys: u64,
    /// Pages of the shards that were read.
    pub pages: u64,
    /// Orders that stay unknown until an operator settles them, in the shards that were read.
    pub unknown_orders: u64,
    /// Memory for stored responses, in bytes.
    pub answer_bytes: u64,
}

/// State of a request that waits for its claim or settlement. A new request starts with the default.
#[derive(Debug, Default)]
pub struct Ticket {
    /// Number of the queued change.
    pub(super) number: Option<u64>,
    /// Version of the shard at the last attempt.
    pub(super) seen_version: u64,
    pub(super) has_given_up: bool,
}

//! Accepts requests, checks their route and key, and dispatches them.

use std::any::Any;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock, RwLock};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_lite::{FutureExt, future};
use http::{HeaderValue, Request, header};
use hyper::body::{Body as _, Incoming};
use tanagerford_core::dispatch::{
    BudgetLimits, HedgeShare, LinkDelay, LongPromptGate, Rank, RetryBudget, TakenRetry,
    server_number,
};
use tanagerford_core::document::StoredDocument;
use tanagerford_core::ids::{PoolId, ServerId};
use tanagerford_core::memory_budget::SMALL_BYTES;
use tanagerford_http::Reply;
use tanagerford_http::connection_pool::ConnectionPool;
use tanagerford_http::server::{ServerLimits, Service, UnreadBody};
use tanagerford_sync::{lock, read_lock, write_lock};
use tokio::runtime::Handle;
use tokio::time::timeout;

use crate::call::Call;
use crate::changes::ChangeFeed;
use crate::codec::{CallHead, Codec};
use crate::duty::{DutySettings, UsageDuty};
use crate::fleet::{BackendServer, Fleet};
use crate::hedge::Hedging;
use crate::log::{self, RequestInfo};
use crate::memory::Memory;
use crate::metrics::{Metrics, RepeatDecision};
use crate::peers::Summaries;
use crate::processor::ProcessorMonitor;
use crate::quarantine::Quarantine;
use crate::refusal::Refusal;
use crate::request_end::{RequestEnd, RequestGuard, RequestRecord, panic_message};
use crate::table::{ConfigurationSource, RoutingTable, Version};

/// Timeout for reading a body. The caller's own deadline is usually shorter.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time between the moments at which a caller and this entry learn of changed limits: the time within which a
/// configuration has to be in force everywhere. Until then connections are kept that a caller may still use.
const LIMITS_PROPAGATION_TIME: Duration = Duration::from_secs(13);

/// Minimum overrun of a call's deadline that is counted and logged. The platform's rules allow twice as much.
const DEADLINE_OVERRUN_THRESHOLD: Duration = Duration::from_millis(250);

/// Settings of an entry.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// Limits of retries, shared by all entries.
    pub budget: BudgetLimits,
    /// Assumed number of entries, until the live entries are counted.
    pub initial_entry_count: usize,
    /// Name of the VM, which identifies this entry to the others.
    pub vm: String,
    /// Processor share of the VM in thousandths of a core.
    pub cpu_millicores: u32,
    /// Report of usage that one entry makes for all; `None` if there is none.
    pub duty: Option<DutySettings>,
    /// Share of the calls of each pool that may be hedged; `None` if no call is hedged.
    pub hedge_share: Option<HedgeShare>,
    /// Memory that the process may use, in bytes. `None` leaves unbounded what the entry holds for others.
    pub memory_bytes: Option<usize>,
}

/// Entry that calls backend servers directly.
pub struct Gateway<C> {
    pub(crate) codec: C,
    pub(crate) connection_pool: Arc<ConnectionPool>,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) settings: GatewaySettings,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) memory: Arc<Memory>,
    pub(crate) processor: Arc<ProcessorMonitor>,
    pub(crate) summaries: Arc<Summaries>,
    pub(crate) quarantine: Arc<Quarantine>,
    pub(crate) runtime: Handle,
    pub(crate) next_call_number: AtomicU64,
    pub(crate) long_prompt_gate: Mutex<LongPromptGate>,
    pub(crate) duty: Option<UsageDuty>,
    link_delay: Mutex<LinkDelay>,
    /// Configuration in force and the document that it was decoded from.
    configuration: RwLock<Option<(Arc<RoutingTable>, Arc<StoredDocument>)>>,
    budgets: Mutex<HashMap<PoolId, RetryBudget>>,
    pub(crate) hedging: Option<Hedging>,
    changes: ChangeFeed,
    /// Number of live entries, including this one.
    entry_count: AtomicUsize,
    is_stopping: AtomicBool,
    /// Time by which calls must end that are read from now on; unset before a stop.
    last_call_end: OnceLock<Instant>,
    /// Closed when the calls that no server has answered must end, since the process is about to.
    stop: (async_channel::Sender<()>, async_channel::Receiver<()>),
}

impl<C: Codec> Gateway<C> {
    /// Creates an entry without a configuration, which refuses all requests.
    #[must_use]
    pub fn new(
        codec: C,
        fleet: Arc<Fleet>,
        settings: GatewaySettings,
        runtime: Handle,
    ) -> Arc<Self> {
        let metrics: Arc<Metrics> = Arc::default();
        let quarantine: Arc<Quarantine> = Arc::default();
        let processor = ProcessorMonitor::start(&runtime, Arc::clone(&metrics));
        let summaries = Summaries::new(
            &settings.vm,
            settings.cpu_millicores,
            Arc::clone(&fleet),
            Arc::clone(&processor),
            Arc::clone(&quarantine),
        );
        let duty = settings.duty.map(|duty| UsageDuty::new(&settings.vm, duty));
        Arc::new(Self {
            duty,
            codec,
            connection_pool: ConnectionPool::new(runtime.clone()),
            fleet,
            entry_count: AtomicUsize::new(settings.initial_entry_count),
            hedging: settings.hedge_share.and_then(Hedging::new),
            memory: Memory::new(settings.memory_bytes),
            settings,
            metrics,
            processor,
            summaries: Arc::new(summaries),
            quarantine,
            runtime,
            next_call_number: AtomicU64::new(0),
            long_prompt_gate: Mutex::default(),
            link_delay: Mutex::default(),
            configuration: RwLock::default(),
            budgets: Mutex::default(),
            changes: ChangeFeed::default(),
            is_stopping: AtomicBool::new(false),
            last_call_end: OnceLock::new(),
            stop: async_channel::bounded(1),
        })
    }

    /// Returns the configuration in force, or `None` before the first one.
    #[must_use]
    pub fn table(&self) -> Option<Arc<RoutingTable>> {
        let configuration = read_lock(&self.configuration);
        configuration.as_ref().map(|(table, _)| Arc::clone(table))
    }

    /// Returns the document that the configuration in force was decoded from.
    pub(crate) fn stored_document(&self) -> Option<Arc<StoredDocument>> {
        let configuration = read_lock(&self.configuration);
        configuration
            .as_ref()
            .map(|(_, document)| Arc::clone(document))
    }

    /// Puts a configuration in force unless its version is the same as or older than the current one; returns whether
    /// it did. `document` is the document that the table was decoded from.
    pub fn set_configuration(
        &self,
        table: RoutingTable,
        document: Bytes,
        source: ConfigurationSource,
    ) -> bool {
        let position = self.summaries.store_position();
        let known = read_lock(&self.configuration).clone();
        let document = match known {
            // Other entries ask those that read the key-value service for what changed.
            Some((known, previous))
                if source != ConfigurationSource::Peer && known.version < table.version =>
            {
                previous.next(document)
            }
            _ => StoredDocument::new(document),
        };
        let mut current = write_lock(&self.configuration);
        let old = current.as_ref().map(|(table, _)| table.version);
        if let Some(version) = old.filter(|version| *version >= table.version) {
            if version > table.version {
                tracing::info!(
                    version,
                    older = table.version,
                    source = source.name(),
                    era = position.era,
                    revision = position.revision,
                    "older configuration ignored"
                );
            }
            return false;
        }
        let (workspace_ranks, route_ranks) = table.used_ranks();
        tracing::info!(
            version = table.version,
            old,
            source = source.name(),
            era = position.era,
            revision = position.revision,
            routes = table.route_count(),
            bytes = document.document().len(),
            ?workspace_ranks,
            ?route_ranks,
            "configuration in force"
        );
        let version = table.version;
        let replaced = current.replace((Arc::new(table), Arc::new(document)));
        drop(current);
        // Calls need the lock; freeing thousands of routes takes milliseconds.
        drop(replaced);
        self.metrics.on_configuration(source.name(), version);
        self.summaries.set_version(version);
        true
    }

    /// Counts and logs the time in which a configuration was decoded.
    pub fn on_decoded(&self, version: Version, bytes: usize, took: Duration) {
        self.metrics.on_decoded(took);
        let decode_us = took.as_micros();
        tracing::info!(version, bytes, decode_us, "configuration decoded");
    }

    /// Counts a record of a backend server that another program wrote.
    pub fn on_odd_server_record(&self) {
        self.metrics.on_odd_server_record();
    }

    /// Returns the version of the configuration in force, or `None` before the first one.
    #[must_use]
    pub fn version(&self) -> Option<Version> {
        self.table().map(|table| table.version)
    }

    /// Replaces the backend servers. `table` supplies the settings of their pools.
    pub fn set_servers(&self, servers: impl Iterator<Item = BackendServer>, table: &RoutingTable) {
        let known_by_others = self.summaries.known_by_others();
        self.fleet
            .version_history()
            .set_known_by_others(known_by_others);
        self.fleet.set_servers(servers, table);
        self.summaries.limits().retain_registered(&self.fleet);
    }

    /// Sets the number of live entries, including this one; 0 counts as 1.
    pub fn set_entry_count(&self, entries: usize) {
        self.entry_count.store(entries.max(1), Ordering::Relaxed);
    }

    /// Returns the number of live entries, including this one.
    #[must_use]
    pub fn entry_count(&self) -> usize {
        self.entry_count.load(Ordering::Relaxed)
    }

    /// Returns whether this entry should receive new callers: it has a configuration and a server, and is not shutting
    /// down.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_stopping.load(Ordering::Acquire)
            && self.table().is_some()
            && self
                .fleet
                .pools()
                .iter()
                .any(|(_, pool)| !pool.servers().is_empty())
    }

    /// Begins the shutdown: the entry is no longer ready, and every response closes its connection.
    pub fn begin_shutdown(&self) {
        self.is_stopping.store(true, Ordering::Release);
    }

    /// Refuses calls from now on whose time limit is after `end`, since a server might run them without an answer to the caller.
    pub fn refuse_calls_beyond(&self, end: Instant) {
        self.last_call_end.get_or_init(|| end);
    }

    /// Refuses the calls that no server has answered yet, and those that arrive later.
    pub fn end_calls(&self) {
        self.stop.0.close();
    }

    /// Returns the number of requests that were read whole and have not ended.
    #[must_use]
    pub fn requests_in_flight(&self) -> u64 {
        self.metrics.requests_in_flight()
    }

    /// Returns the backend servers with this entry's view of their load.
    #[must_use]
    pub fn fleet(&self) -> &Arc<Fleet> {
        &self.fleet
    }

    /// Returns the load summaries that this entry exchanges with the others.
    #[must_use]
    pub fn summaries(&self) -> &Arc<Summaries> {
        &self.summaries
    }

    /// Returns the changes of the key-value service that this entry hands on to others.
    #[must_use]
    pub fn changes(&self) -> &ChangeFeed {
        &self.changes
    }

    /// Returns the requests that are suspected of crashing servers.
    #[must_use]
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Returns the metrics in the `OpenMetrics` text format.
    #[must_use]
    pub fn metrics_text(&self) -> String {
        // The quarantine of a part can end by time alone.
        let parts = self.quarantine.quarantined_parts(self.fleet.now());
        self.metrics.set_quarantined_parts(parts.len());
        let limits = self.summaries.limits().limits(&self.fleet);
        self.metrics.set_server_limits(limits);
        let unavailable = self.summaries.limits().unavailable_counts(self.fleet.now());
        self.metrics.set_unavailable_servers(unavailable);
        let store_age = self.summaries.store_age();
        self.metrics.set_delays(self.link_delay(), store_age);
        self.metrics.set_memory(self.memory.usage());
        self.metrics.text()
    }

    /// Applies a function to the retry budget of a pool.
    pub(crate) fn with_budget<T>(
        &self,
        pool: &PoolId,
        apply: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = lock(&self.budgets);
        apply(budgets.entry(pool.clone()).or_default())
    }

    /// Returns whether the budget of a pool allows a repeat now.
    pub(crate) fn may_retry(&self, pool: &PoolId) -> bool {
        let now = self.fleet.now();
        let (limits, share) = (&self.settings.budget, self.summaries.entry_share());
        let is_allowed = self.with_budget(pool, |budget| budget.may_retry(now, limits, share));
        if !is_allowed {
            self.metrics.on_repeat(RepeatDecision::Denied);
        }
        is_allowed
    }

    /// Deducts a repeat that is about to be sent from the budget of a pool; returns `None` if the budget is exhausted.
    pub(crate) fn take_retry(&self, pool: &PoolId) -> Option<TakenRetry> {
        let now = self.fleet.now();
        let (limits, share) = (&self.settings.budget, self.summaries.entry_share());
        let taken = self.with_budget(pool, |budget| budget.try_retry(now, limits, share));
        self.metrics.on_repeat(if taken.is_some() {
            RepeatDecision::Sent
        } else {
            RepeatDecision::Denied
        });
        taken
    }

    /// Returns a repeat that did not reach a server to the budget of a pool.
    pub(crate) fn return_retry(&self, pool: &PoolId, taken: TakenRetry) {
        self.with_budget(pool, |budget| {
            budget.return_retry(taken, &self.settings.budget);
        });
        self.metrics.on_repeat(RepeatDecision::Returned);
    }

    /// Records that establishing a connection to a server took so long.
    pub fn on_connected(&self, server: &ServerId, took: Duration) {
        // The time in which this entry did not run is not the link's.
        let took = took.saturating_sub(self.processor.delay());
        lock(&self.link_delay).on_connected(self.fleet.now(), server_number(server), took);
    }

    /// Returns how long what arrives now may have waited in front of this entry's link.
    pub(crate) fn link_delay(&self) -> Duration {
        lock(&self.link_delay).get(self.fleet.now())
    }

    /// Returns how long what is read now may have waited for this entry: in front of its link and for its processor.
    pub(crate) fn own_delay(&self) -> Duration {
        self.processor.delay() + self.link_delay()
    }

    /// Returns the estimated time at which the caller sent a request that is read now. The caller's timeout and that of the
    /// route include the time for which the request waited for this entry.
    fn estimated_arrival(&self) -> Instant {
        let now = Instant::now();
        now.checked_sub(self.own_delay()).unwrap_or(now)
    }

    /// Reads a request completely and handles it. A panic meanwhile ends with a refusal.
    async fn receive(self: &Arc<Self>, request: Request<Incoming>) -> Reply {
        let arrived = self.estimated_arrival();
        let mut guard = None;
        let handling = self.read_and_admit(request, arrived, &mut guard);
        // What a call shares with others is behind locks, which stay usable after a panic (see `tanagerford_sync`).
        let result = AssertUnwindSafe(handling).catch_unwind().await;
        match (result, guard) {
            (Ok(reply), Some(guard)) => guard.watch(reply),
            (Ok(reply), None) => reply,
            (Err(panic), guard) => self.refuse_panicked(guard.as_ref(), arrived, &*panic),
        }
    }

    /// Refuses a request whose handling panicked; `guard` is `None` if it was not read whole.
    fn refuse_panicked(
        &self,
        guard: Option<&RequestGuard>,
        arrived: Instant,
        panic: &(dyn Any + Send),
    ) -> Reply {
        let refusal = Refusal::InternalError;
        self.metrics.on_refusal(refusal);
        if let Some(guard) = guard {
            guard.end_as_panicked(panic);
            return self.close_if_stopping(self.codec.refuse(Some(&guard.record().id), refusal));
        }
        log::panicked(RequestInfo::without_head(arrived), panic_message(panic));
        // The rest of the request may be unread.
        with_unread_body(self.codec.refuse(None, refusal))
    }

    /// Reads a request completely and handles it; sets the guard when the request was read.
    async fn read_and_admit(
        self: &Arc<Self>,
        request: Request<Incoming>,
        arrived: Instant,
        guard: &mut Option<RequestGuard>,
    ) -> Reply {
        let (parts, body) = request.into_parts();
        let head = match self.codec.call_head(&parts) {
            Ok(head) => head,
            Err(refusal) => {
                let reply = self.refuse(RequestInfo::without_head(arrived), refusal);
                return if body.is_end_stream() {
                    reply
                } else {
                    with_unread_body(reply)
                };
            }
        };
        let table = self.table();
        let limits = table.as_ref().map(|table| table.limits).unwrap_or_default();
        let mut rank = Rank::MAX;
        if self.memory.is_bounded() && is_large(&body) {
            match early_decision(table.as_deref(), &head, parts.uri.path()) {
                Ok(known) => rank = known,
                Err(refusal) => {
                    let info = RequestInfo::from_head(&head, arrived);
                    return with_unread_body(self.refuse(info, refusal));
                }
            }
        }
        let body_timeout = head
            .caller_timeout
            .unwrap_or(BODY_TIMEOUT)
            .min(BODY_TIMEOUT);
        let reading = self.memory.read_body(body, limits.max_body_bytes, rank);
        let refusal = match timeout(body_timeout, reading).await {
            Ok(Ok(body)) => {
                let new_guard = RequestGuard::new(&self.metrics, &head, arrived);
                let record = Arc::clone(new_guard.record());
                *guard = Some(new_guard);
                let answer = self.admit(&parts, head, body, Arc::clone(&record));
                let stopped = async {
                    // The channel carries no messages; it closes.
                    let _ = self.stop.1.recv().await;
                    let info = RequestInfo::from_record(&record);
                    self.refuse_read(&record, info, Refusal::Stopping)
                };
                return future::or(answer, stopped).await;
            }
            Ok(Err(refusal)) => refusal,
            Err(_) => Refusal::SlowBody,
        };
        with_unread_body(self.refuse(RequestInfo::from_head(&head, arrived), refusal))
    }

    /// Checks the route, the key and the load of the entry, and dispatches the request if it is admitted.
    async fn admit(
        self: &Arc<Self>,
        parts: &http::request::Parts,
        head: CallHead,
        body: Bytes,
        record: Arc<RequestRecord>,
    ) -> Reply {
        let arrived = record.arrived;
        let Some(table) = self.table() else {
            let info = RequestInfo::from_head(&head, arrived);
            return self.refuse_read(&record, info, Refusal::NoConfiguration);
        };
        let route = table.route(&head.host, parts.uri.path());
        let info = RequestInfo::from_head(&head, arrived).with_route(route.map(|route| &**route));
        let Some(route) = route else {
            return self.refuse_read(&record, info, Refusal::NoRoute);
        };
        let workspace = match table.caller_workspace(route, head.key.as_deref()) {
            Ok(workspace) => workspace.cloned(),
            Err(refusal) => return self.refuse_read(&record, info, refusal),
        };
        // The lines of a request that ends in no regular way name both, too.
        let _ = record.route.set((Arc::clone(route), workspace.clone()));
        let mut demand = head.demand;
        demand.body_bytes = body.len();
        let mut call = Call {
            id: head.id,
            method: parts.method.clone(),
            target: parts.uri.clone(),
            headers: head.headers,
            body,
            route: Arc::clone(route),
            workspace,
            demand,
            resume_after: head.resume_after,
            resumed_attempt: head.resumed_attempt,
            arrived,
            caller_deadline: record.caller_deadline,
            record,
            admission: None,
            is_begun: AtomicBool::new(false),
        };
        call.demand.rank = call.priority();
        let last_end = self.last_call_end.get();
        if last_end.is_some_and(|end| call.deadline() > *end) {
            return self.refuse_call(&call, Refusal::TooLateInStop);
        }
        let admission = self.processor.admit(&call).await;
        self.metrics
            .on_admission(call.shedding_rank(), admission.is_ok());
        match admission {
            Ok(guard) => call.admission = Some(guard),
            Err(reason) => {
                self.record_end(&call, RequestEnd::Refused(Refusal::Busy));
                let info = RequestInfo::from_call(&call).with_shed_reason(reason);
                return self.refuse(info, Refusal::Busy);
            }
        }
        self.dispatch(Arc::new(call)).await
    }

    /// Records the end of a call and refuses it.
    pub(crate) fn refuse_call(&self, call: &Call, refusal: Refusal) -> Reply {
        self.record_end(call, RequestEnd::Refused(refusal));
        self.refuse(RequestInfo::from_call(call), refusal)
    }

    /// Records how a call ended, and counts and logs a response long after the deadline.
    pub(crate) fn record_end(&self, call: &Call, end: RequestEnd) {
        call.record.end(end);
        let overrun = Instant::now().saturating_duration_since(call.deadline());
        if overrun >= DEADLINE_OVERRUN_THRESHOLD {
            self.metrics.on_deadline_overrun();
            log::deadline_overrun(call, overrun, self.processor.delay(), self.link_delay());
        }
    }

    /// Records the end of a request for which there is no call yet, and refuses it.
    fn refuse_read(
        &self,
        record: &RequestRecord,
        info: RequestInfo<'_>,
        refusal: Refusal,
    ) -> Reply {
        record.end(RequestEnd::Refused(refusal));
        self.refuse(info, refusal)
    }

    fn refuse(&self, info: RequestInfo<'_>, refusal: Refusal) -> Reply {
        self.metrics.on_refusal(refusal);
        log::refused(
            info,
            refusal,
            self.version(),
            self.processor.delay(),
            self.link_delay(),
        );
        let id = Some(info.request).filter(|id| !id.is_empty());
        self.close_if_stopping(self.codec.refuse(id, refusal))
    }

    /// Marks the response as the last one of its connection if the process is shutting down.
    pub(crate) fn close_if_stopping(&self, mut reply: Reply) -> Reply {
        if self.is_stopping.load(Ordering::Acquire) {
            close_connection(&mut reply);
        }
        reply
    }
}

/// HTTP service of an entry for callers.
pub struct CallerService<C>(pub Arc<Gateway<C>>);

impl<C: Codec> Service for CallerService<C> {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Reply {
        let has_transfer_coding = request.headers().contains_key(header::TRANSFER_ENCODING);
        let mut reply = self.0.receive(request).await;
        // A request with both a content length and a transfer coding can smuggle a second request behind its end. The
        // HTTP library drops the length, so such a request cannot be recognized here. Therefore, every request with a
        // transfer coding ends its connection.
        if has_transfer_coding {
            close_connection(&mut reply);
        }
        reply
    }

    fn limits(&self) -> ServerLimits {
        let limits = self.0.table().map(|table| table.limits).unwrap_or_default();
        ServerLimits {
            max_header_bytes: limits.max_header_bytes,
            header_timeout: limits.header_timeout,
            idle_timeout: limits.idle_timeout,
            propagation_time: LIMITS_PROPAGATION_TIME,
        }
    }
}

/// Returns whether a body is long, or of unknown length.
fn is_large(body: &Incoming) -> bool {
    let small = u64::try_from(SMALL_BYTES).unwrap_or(u64::MAX);
    !body.is_end_stream() && body.size_hint().upper().is_none_or(|bytes| bytes > small)
}

/// Decides by the head alone whether a large body is read; returns the rank of the call.
fn early_decision(
    table: Option<&RoutingTable>,
    head: &CallHead,
    path: &str,
) -> Result<Rank, Refusal> {
    let table = table.ok_or(Refusal::NoConfiguration)?;
    let route = table.route(&head.host, path).ok_or(Refusal::NoRoute)?;
    let workspace = table.caller_workspace(route, head.key.as_deref())?;
    Ok(route.rank(workspace.map(|workspace| &**workspace)))
}

/// Marks the response to a request whose body was not read to its end.
fn with_unread_body(mut reply: Reply) -> Reply {
    reply.extensions_mut().insert(UnreadBody);
    reply
}

/// Sets the header that announces the end of the connection after this response.
fn close_connection(reply: &mut Reply) {
    let close = HeaderValue::from_static("close");
    reply.headers_mut().insert(header::CONNECTION, close);
}

//! The entry: accepts calls, checks route and key, and has them served.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode, header};
use hyper::body::Incoming;
use tanagerford_core::dispatch::{BudgetLimits, LongPromptGate, RetryBudget};
use tanagerford_core::ids::PoolId;
use tanagerford_http::connection_pool::ConnectionPool;
use tanagerford_http::server::{ServerLimits, Service};
use tanagerford_http::{Reply, read_body};
use tanagerford_sync::{lock, read_lock, write_lock};
use tokio::runtime::Handle;
use tokio::time::timeout;

use crate::call::Call;
use crate::codec::{CallHead, Codec};
use crate::fleet::{BackendServer, Fleet};
use crate::log::{self, Subject};
use crate::metrics::Metrics;
use crate::peers::Summaries;
use crate::processor::Processor;
use crate::quarantine::Quarantine;
use crate::refusal::Refusal;
use crate::table::{ConfigurationSource, RoutingTable, Version};

/// Longest time to read a body; the caller's own deadline usually ends the request before.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Factor by which connections are kept open beyond the idle limit of the configuration, so that a close does not cross
/// the request of a caller that keeps the limit, also after the limit was raised.
const IDLE_FACTOR: u32 = 3;

/// Time past a call's limit from which its end is counted and logged; the platform's rules allow twice as much.
const NOTICEABLY_LATE: Duration = Duration::from_millis(250);

/// Settings of an entry.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// Limits of repeated calls.
    pub budget: BudgetLimits,
    /// Count of entries that share the budget as long as it is not known.
    pub assumed_entries: usize,
    /// Name of the VM, by which other entries know this one.
    pub vm: String,
}

/// Entry without sidecars.
pub struct Gateway<C> {
    pub(crate) codec: C,
    pub(crate) outbound: Arc<ConnectionPool>,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) settings: GatewaySettings,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) processor: Arc<Processor>,
    pub(crate) summaries: Arc<Summaries>,
    pub(crate) quarantine: Arc<Quarantine>,
    pub(crate) runtime: Handle,
    pub(crate) next_call: AtomicU64,
    pub(crate) room: Mutex<LongPromptGate>,
    /// Configuration in force with the document that it was read from.
    configuration: RwLock<Option<(Arc<RoutingTable>, Bytes)>>,
    budgets: Mutex<HashMap<PoolId, RetryBudget>>,
    entries: AtomicUsize,
    is_stopping: AtomicBool,
}

impl<C: Codec> Gateway<C> {
    /// Creates an entry that knows no configuration yet.
    #[must_use]
    pub fn new(
        codec: C,
        fleet: Arc<Fleet>,
        settings: GatewaySettings,
        runtime: Handle,
    ) -> Arc<Self> {
        let quarantine: Arc<Quarantine> = Arc::default();
        let metrics: Arc<Metrics> = Arc::default();
        let processor = Processor::start(&runtime, Arc::clone(&metrics));
        let summaries = Summaries::new(&settings.vm, Arc::clone(&fleet), Arc::clone(&quarantine));
        Arc::new(Self {
            codec,
            outbound: ConnectionPool::new(runtime.clone()),
            fleet,
            entries: AtomicUsize::new(settings.assumed_entries),
            settings,
            metrics,
            processor,
            summaries: Arc::new(summaries),
            quarantine,
            runtime,
            next_call: AtomicU64::new(0),
            room: Mutex::default(),
            configuration: RwLock::default(),
            budgets: Mutex::default(),
            is_stopping: AtomicBool::new(false),
        })
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn table(&self) -> Option<Arc<RoutingTable>> {
        let configuration = read_lock(&self.configuration);
        configuration.as_ref().map(|(table, _)| Arc::clone(table))
    }

    /// Returns the document of the configuration in force.
    #[must_use]
    pub fn document(&self) -> Option<Bytes> {
        let configuration = read_lock(&self.configuration);
        configuration.as_ref().map(|(_, document)| document.clone())
    }

    /// Puts a configuration in force unless it is older than the present one; returns whether it did. `document` is
    /// what the table was read from.
    pub fn set_configuration(
        &self,
        table: RoutingTable,
        document: Bytes,
        source: ConfigurationSource,
    ) -> bool {
        let position = self.summaries.store_position();
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
        let (workspace_ranks, route_ranks) = table.ranks();
        tracing::info!(
            version = table.version,
            old,
            source = source.name(),
            era = position.era,
            revision = position.revision,
            routes = table.route_count(),
            ?workspace_ranks,
            ?route_ranks,
            "configuration in force"
        );
        let version = table.version;
        *current = Some((Arc::new(table), document));
        drop(current);
        self.metrics.configuration(source.name(), version);
        self.summaries.set_version(version);
        true
    }

    /// Returns the version of the configuration in force.
    #[must_use]
    pub fn version(&self) -> Option<Version> {
        self.table().map(|table| table.version)
    }

    /// Replaces the backend servers.
    pub fn set_servers(&self, servers: impl Iterator<Item = BackendServer>, table: &RoutingTable) {
        self.fleet.set_servers(servers, table);
    }

    /// Sets the count of entries that share the budget.
    pub fn set_entries(&self, entries: usize) {
        self.entries.store(entries.max(1), Ordering::Relaxed);
    }

    /// Returns the count of entries that share the budget.
    #[must_use]
    pub fn entries(&self) -> usize {
        self.entries.load(Ordering::Relaxed)
    }

    /// Returns whether new callers should be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_stopping.load(Ordering::Acquire)
            && self.table().is_some()
            && self
                .fleet
                .pools()
                .iter()
                .any(|(_, pool)| !pool.servers.is_empty())
    }

    /// Begins the stop: not ready, and every answer closes its connection.
    pub fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::Release);
    }

    /// Returns the servers that the entries tell each other of.
    #[must_use]
    pub fn fleet(&self) -> &Arc<Fleet> {
        &self.fleet
    }

    /// Returns what this entry has to tell the others.
    #[must_use]
    pub fn summaries(&self) -> &Arc<Summaries> {
        &self.summaries
    }

    /// Returns the suspected requests.
    #[must_use]
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Returns the metrics in the text format of Prometheus.
    #[must_use]
    pub fn metrics_text(&self) -> String {
        self.metrics.text()
    }

    pub(crate) fn with_budget<T>(
        &self,
        pool: &PoolId,
        act: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = lock(&self.budgets);
        act(budgets.entry(pool.clone()).or_default())
    }

    pub(crate) fn try_repeat(&self, pool: &PoolId) -> bool {
        let now = self.fleet.now();
        let entries = self.entries.load(Ordering::Relaxed);
        self.with_budget(pool, |budget| {
            budget.try_retry(now, &self.settings.budget, entries)
        })
    }

    /// Returns when a request that is read now may have arrived: it waited for the processor like everything else, and
    /// its caller's patience ran meanwhile.
    fn arrival(&self) -> Instant {
        let now = Instant::now();
        now.checked_sub(self.processor.delay()).unwrap_or(now)
    }

    async fn serve(self: &Arc<Self>, request: Request<Incoming>) -> Reply {
        let arrived = self.arrival();
        let (parts, body) = request.into_parts();
        let head = match self.codec.call_head(&parts) {
            Ok(head) => head,
            Err(refusal) => return self.refuse(Subject::unread(arrived), refusal),
        };
        let limits = self.table().map(|table| table.limits).unwrap_or_default();
        let patience = head.patience.unwrap_or(BODY_TIMEOUT).min(BODY_TIMEOUT);
        let refusal = match timeout(patience, read_body(body, limits.max_body_bytes)).await {
            Ok(Ok(body)) => return self.serve_whole(&parts, head, body, arrived).await,
            Ok(Err(StatusCode::PAYLOAD_TOO_LARGE)) => Refusal::TooLarge,
            Ok(Err(_)) => Refusal::Malformed,
            Err(_) => Refusal::SlowBody,
        };
        self.refuse(Subject::of_head(&head, arrived), refusal)
    }

    async fn serve_whole(
        self: &Arc<Self>,
        parts: &http::request::Parts,
        head: CallHead,
        body: Bytes,
        arrived: Instant,
    ) -> Reply {
        let Some(table) = self.table() else {
            let subject = Subject::of_head(&head, arrived);
            return self.refuse(subject, Refusal::NoConfiguration);
        };
        let route = table.route(&head.host, parts.uri.path());
        let subject = Subject::of_head(&head, arrived).on(route.map(|route| &**route));
        let Some(route) = route else {
            return self.refuse(subject, Refusal::NoRoute);
        };
        let mut workspace = None;
        if table.needs_key() && !route.is_public {
            workspace = head.key.as_deref().and_then(|key| table.workspace(key));
            if workspace.is_none() {
                return self.refuse(subject, Refusal::UnknownKey);
            }
        }
        let mut demand = head.demand;
        demand.body_bytes = body.len();
        let mut call = Call {
            id: head.id,
            method: parts.method.clone(),
            target: parts.uri.clone(),
            headers: head.headers,
            body,
            route: Arc::clone(route),
            workspace: workspace.cloned(),
            demand,
            resume_after: head.resume_after,
            arrived,
            caller_deadline: head.patience.map(|patience| arrived + patience),
            is_ended: AtomicBool::new(false),
            entered: None,
        };
        call.demand.rank = call.priority();
        call.entered = self.processor.enter(&call);
        if call.entered.is_none() {
            return self.refuse_call(&call, Refusal::Busy);
        }
        self.run(Arc::new(call)).await
    }

    /// Answers a call that was admitted, but not served.
    pub(crate) fn refuse_call(&self, call: &Call, refusal: Refusal) -> Reply {
        self.end(call);
        self.refuse(Subject::of_call(call), refusal)
    }

    /// Records that a call has its final answer, and whether that came after the call's time limit.
    pub(crate) fn end(&self, call: &Call) {
        call.end();
        let past_limit = Instant::now().saturating_duration_since(call.deadline());
        if past_limit >= NOTICEABLY_LATE {
            self.metrics.past_limit();
            log::past_limit(call, past_limit, self.processor.delay());
        }
    }

    fn refuse(&self, subject: Subject<'_>, refusal: Refusal) -> Reply {
        self.metrics.refused(refusal);
        log::refused(subject, refusal, self.version(), self.processor.delay());
        let id = Some(subject.request).filter(|id| !id.is_empty());
        self.finish(self.codec.refuse(id, refusal))
    }

    /// Closes the connection after the answer while the process stops.
    pub(crate) fn finish(&self, mut reply: Reply) -> Reply {
        if self.is_stopping.load(Ordering::Acquire) {
            close_connection(&mut reply);
        }
        reply
    }
}

/// Callers' side of an entry, for a listener.
pub struct CallerService<C>(pub Arc<Gateway<C>>);

impl<C: Codec> Service for CallerService<C> {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Reply {
        let has_coding = request.headers().contains_key(header::TRANSFER_ENCODING);
        let mut reply = self.0.serve(request).await;
        // A request with both a length and a coding hides a second request behind its end; the HTTP library drops the
        // length, so every coded request ends its connection.
        if has_coding {
            close_connection(&mut reply);
        }
        reply
    }

    fn limits(&self) -> ServerLimits {
        let limits = self.0.table().map(|table| table.limits).unwrap_or_default();
        ServerLimits {
            max_header_bytes: limits.max_header_bytes,
            idle_timeout: limits.idle_timeout * IDLE_FACTOR,
        }
    }
}

/// Tells the caller that the connection ends with this answer.
fn close_connection(reply: &mut Reply) {
    let close = HeaderValue::from_static("close");
    reply.headers_mut().insert(header::CONNECTION, close);
}

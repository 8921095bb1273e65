//! State shared by the threads of a sidecar, and the handler of frames that changes it.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tanagerford_core::config::Configuration;
use tanagerford_core::ids::AttemptId;
use tanagerford_core::suspect::Verdict;
use tanagerford_engine::EngineClient;
use tanagerford_link::message::{self, Frame, Submit, frame};
use tanagerford_link::{Identity, Link, LinkHandler};
use tanagerford_sync::lock;

use crate::exchange::ConfigExchange;
use crate::metrics::Metrics;
use crate::orders::OrderLog;
use crate::suspects::Suspects;
use crate::sync::Flag;
use crate::workers::Workers;

use super::model::ModelBackend;
use super::refusal::{SERVER_RETRY_AFTER, not_run};
use super::service::ServiceBackend;
use super::work::Work;
use super::{Backend, SidecarSettings};

/// Shards of the table of work in flight, each under its own lock.
const SHARDS: usize = 16;

pub(crate) struct SidecarState {
    pub(crate) identity: Identity,
    pub(crate) exchange: Arc<ConfigExchange>,
    pub(crate) metrics: Metrics,
    pub(crate) suspects: Suspects,
    pub(super) workers: Workers,
    /// Raised to end the sidecar's threads, once no work is in flight or the time for draining has passed.
    pub(super) stopped: Flag,
    backend: BackendState,
    leaving: Flag,
    next_id: AtomicU64,
    work_by_id: Vec<Mutex<HashMap<AttemptId, Arc<Work>>>>,
    links: Mutex<Vec<Link>>,
}

/// Backend server with its admission.
enum BackendState {
    Model(ModelBackend),
    Service(ServiceBackend),
}

impl SidecarState {
    pub(crate) fn new(
        settings: &SidecarSettings,
        exchange: Arc<ConfigExchange>,
        orders: Option<Arc<OrderLog>>,
    ) -> Self {
        let address = settings.backend_address;
        let backend = match settings.backend {
            Backend::Engine => BackendState::Model(ModelBackend::new(EngineClient::new(address))),
            Backend::Service => {
                let pool = settings.pool.clone();
                BackendState::Service(ServiceBackend::new(address, pool, orders))
            }
        };
        Self {
            identity: settings.identity.clone(),
            exchange,
            metrics: Metrics::default(),
            suspects: Suspects::new(&settings.identity),
            workers: Workers::default(),
            stopped: Flag::default(),
            backend,
            leaving: Flag::default(),
            next_id: AtomicU64::new(1),
            work_by_id: (0..SHARDS).map(|_| Mutex::default()).collect(),
            links: Mutex::default(),
        }
    }

    pub(crate) fn set_configuration(self: &Arc<Self>, configuration: &Configuration) {
        match &self.backend {
            BackendState::Model(backend) => backend.set_configuration(self, configuration),
            BackendState::Service(backend) => backend.set_configuration(self, configuration),
        }
    }

    /// Runs the periodic decisions of the backend until the sidecar stops.
    pub(crate) fn tick_until_stopped(self: &Arc<Self>) {
        match &self.backend {
            BackendState::Model(backend) => backend.tick_until_stopped(self),
            BackendState::Service(backend) => backend.tick_until_stopped(self),
        }
    }

    pub(super) fn model_backend(&self) -> Option<&ModelBackend> {
        match &self.backend {
            BackendState::Model(backend) => Some(backend),
            BackendState::Service(_) => None,
        }
    }

    pub(super) fn service_backend(&self) -> Option<&ServiceBackend> {
        match &self.backend {
            BackendState::Model(_) => None,
            BackendState::Service(backend) => Some(backend),
        }
    }

    /// Returns the order log; `None` if the backend server accepts no orders.
    pub(crate) fn orders(&self) -> Option<&Arc<OrderLog>> {
        self.service_backend()?.orders()
    }

    /// Returns the work in flight with the number `id`.
    pub(super) fn work(&self, id: AttemptId) -> Option<Arc<Work>> {
        lock(self.shard(id)).get(&id).cloned()
    }

    /// Returns the work of an attempt that was submitted on a link.
    fn find(&self, link: &Link, attempt_id: AttemptId) -> Option<Arc<Work>> {
        let is_attempt =
            |work: &Arc<Work>| work.submit.attempt_id == attempt_id && work.link.is_same_link(link);
        let mut shards = self.work_by_id.iter();
        shards.find_map(|shard| lock(shard).values().find(|work| is_attempt(work)).cloned())
    }

    pub(super) fn remove(&self, id: AttemptId) -> Option<Arc<Work>> {
        lock(self.shard(id)).remove(&id)
    }

    /// Returns the work that the backend server is processing.
    pub(super) fn running(&self) -> Vec<Arc<Work>> {
        let mut running = Vec::new();
        for shard in &self.work_by_id {
            let works = lock(shard);
            running.extend(works.values().filter(|work| work.is_running()).cloned());
        }
        running
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.work_by_id.iter().map(|shard| lock(shard).len()).sum()
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.is_raised()
    }

    pub(crate) fn open_links(&self) -> usize {
        lock(&self.links).len()
    }

    /// Refuses new and waiting work from now on and notifies all entries.
    pub(crate) fn leave(self: &Arc<Self>) {
        self.leaving.raise();
        for link in lock(&self.links).iter() {
            let _ = link.send(frame::Body::Leaving(message::Leaving {}));
        }
        match &self.backend {
            BackendState::Model(backend) => backend.leave(self),
            BackendState::Service(backend) => backend.leave(self),
        }
    }

    /// Sends the queued frames and closes all links. Each link gets at most `timeout`.
    pub(crate) fn close_links(&self, timeout: Duration) {
        let links = std::mem::take(&mut *lock(&self.links));
        for link in links {
            let _ = link.flush(timeout);
            link.close();
        }
    }

    fn submit(self: &Arc<Self>, link: &Link, submit: Submit) {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let work = Arc::new(Work::new(id, link.clone(), submit));
        // The work is registered before the check: if a stopping sidecar found no work in flight before this point, the
        // check refuses the work.
        lock(self.shard(id)).insert(id, Arc::clone(&work));
        if self.is_leaving() {
            let detail = "sidecar takes no new work";
            work.refuse(not_run("leaving", detail, Some(SERVER_RETRY_AFTER), None));
            self.remove(id);
            return;
        }
        self.suspects.merge(&work.submit.suspicion);
        if self.suspects.verdict(work.submit.fingerprint) == Verdict::Refuse {
            let detail =
                "the request crashed backend servers and is not run again for some minutes";
            work.refuse(not_run("quarantined", detail, None, None));
            self.remove(id);
            return;
        }
        match &self.backend {
            BackendState::Model(backend) => backend.submit(self, &work),
            BackendState::Service(backend) => backend.submit(self, &work),
        }
    }

    /// Cancels the work for which `is_selected` returns true. Orders are never cancelled: they continue without their
    /// caller.
    fn cancel(self: &Arc<Self>, is_selected: impl Fn(&Work) -> bool) {
        for shard in &self.work_by_id {
            let cancelled: Vec<_> = lock(shard)
                .extract_if(|_, work| work.is_repeatable() && is_selected(work))
                .collect();
            for (id, work) in cancelled {
                let tokens = work.cancel();
                self.metrics.count_wasted_tokens("cancelled", tokens.into());
                tracing::info!(
                    request_id = work.submit.request_id,
                    tokens,
                    "cancelled a request"
                );
                match &self.backend {
                    BackendState::Model(backend) => backend.cancel(self, id),
                    BackendState::Service(backend) => backend.cancel(self, id),
                }
            }
        }
    }

    fn shard(&self, id: AttemptId) -> &Mutex<HashMap<AttemptId, Arc<Work>>> {
        let index = usize::try_from(id).unwrap_or(0) % SHARDS;
        &self.work_by_id[index]
    }
}

/// Handles the frames that entries send, on all links.
pub(crate) struct FrameHandler(pub(crate) Arc<SidecarState>);

impl LinkHandler for FrameHandler {
    fn on_frame(&self, link: &Link, frame: Frame) {
        self.register(link);
        match self.0.exchange.on_frame(link, frame) {
            Some(frame::Body::Submit(submit)) => self.0.submit(link, submit),
            Some(frame::Body::Cancel(cancel)) => self.0.cancel(|work| {
                work.submit.attempt_id == cancel.attempt_id && work.link.is_same_link(link)
            }),
            Some(frame::Body::Consumed(consumed)) => {
                if let Some(work) = self.0.find(link, consumed.attempt_id) {
                    work.on_consumed(consumed.bytes);
                }
            }
            Some(frame::Body::OrderQuery(query)) => self.respond_to_query(link, &query),
            _ => {}
        }
    }

    fn on_lost(&self, link: &Link) {
        lock(&self.0.links).retain(|known| !known.is_same_link(link));
        self.0.cancel(|work| work.link.is_same_link(link));
    }
}

impl FrameHandler {
    fn register(&self, link: &Link) {
        let mut links = lock(&self.0.links);
        if !links.iter().any(|known| known.is_same_link(link)) {
            links.push(link.clone());
        }
    }

    fn respond_to_query(&self, link: &Link, query: &message::OrderQuery) {
        let response = super::order::respond_to_query(self.0.orders().map(Arc::as_ref), query);
        let _ = link.send(frame::Body::OrderAnswer(response));
    }
}

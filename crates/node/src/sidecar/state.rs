//! State of a sidecar, shared by its threads.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tanagerford_engine::{CancelHandle, EngineClient};
use tanagerford_link::message::{self, Frame, Outcome, Submit, frame};
use tanagerford_link::{Identity, Link, LinkHandler};
use tanagerford_service::ServiceClient;

use crate::metrics::Metrics;
use crate::sync::{Flag, lock};
use crate::workers::Workers;

use super::{Backend, SidecarSettings, model, service};

/// Work that runs at the same time before further work is refused.
const MAX_RUNNING: usize = 64;

/// Advice to come back when the backend server is full.
const FULL_RETRY_AFTER_MS: u32 = 250;

/// Number of one piece of work in this sidecar.
pub(crate) type WorkId = u64;

/// State of a sidecar.
pub(crate) struct SidecarState {
    pub(crate) identity: Identity,
    pub(crate) backend: BackendClient,
    pub(crate) metrics: Metrics,
    leaving: Flag,
    workers: Workers,
    table: Mutex<Table>,
    links: Mutex<Vec<Link>>,
}

/// Client of the backend server.
pub(crate) enum BackendClient {
    Engine(Arc<EngineClient>),
    Service(ServiceClient),
}

#[derive(Default)]
struct Table {
    next_id: WorkId,
    running: HashMap<WorkId, Running>,
}

struct Running {
    work: Arc<Work>,
    cancel: Option<CancelHandle>,
}

/// One attempt at this sidecar.
pub(crate) struct Work {
    pub(crate) id: WorkId,
    pub(crate) link: Link,
    pub(crate) submit: Submit,
    pub(crate) received_at: Instant,
    pub(crate) cancelled: Flag,
}

impl Work {
    /// Sends a message about this work to its entry. A lost link is noticed elsewhere.
    pub(crate) fn send(&self, body: frame::Body) {
        let _ = self.link.send(body);
    }

    /// Refuses the work: it never reached the backend server.
    pub(crate) fn refuse(&self, code: &str, detail: &str, retry_after_ms: u32) {
        self.send(frame::Body::Refused(message::Refused {
            attempt_id: self.submit.attempt_id,
            code: code.to_owned(),
            detail: detail.to_owned(),
            retry_after_ms,
            load: None,
            unknown: false,
        }));
    }

    /// Ends work that reached the backend server.
    pub(crate) fn finish(&self, chunks: u64, outcome: Outcome, detail: &str) {
        self.send(frame::Body::Finish(message::Finish {
            attempt_id: self.submit.attempt_id,
            chunks,
            outcome: outcome.into(),
            detail: detail.to_owned(),
            load: None,
            resumable: false,
        }));
    }

    /// Returns the time left until the caller's deadline.
    pub(crate) fn time_left(&self) -> Duration {
        let limit = Duration::from_millis(u64::from(self.submit.deadline_ms));
        limit.saturating_sub(self.received_at.elapsed())
    }
}

impl SidecarState {
    pub(crate) fn new(settings: &SidecarSettings) -> Self {
        let address = settings.backend_address;
        let backend = match settings.backend {
            Backend::Engine => BackendClient::Engine(EngineClient::new(address)),
            Backend::Service { concurrency } => {
                BackendClient::Service(ServiceClient::new(address, concurrency))
            }
        };
        Self {
            identity: settings.identity.clone(),
            backend,
            metrics: Metrics::default(),
            leaving: Flag::default(),
            workers: Workers::default(),
            table: Mutex::default(),
            links: Mutex::default(),
        }
    }

    /// Returns the count of work in flight.
    pub(crate) fn in_flight(&self) -> usize {
        lock(&self.table).running.len()
    }

    /// Returns whether new work is refused.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.is_raised()
    }

    /// Returns the count of open links.
    pub(crate) fn open_links(&self) -> usize {
        lock(&self.links).len()
    }

    /// Refuses new work from now on and tells all entries.
    pub(crate) fn leave(&self) {
        self.leaving.raise();
        for link in lock(&self.links).iter() {
            let _ = link.send(frame::Body::Leaving(message::Leaving {}));
        }
    }

    /// Writes all queued frames and closes the links.
    pub(crate) fn close_links(&self, timeout: Duration) {
        let links = std::mem::take(&mut *lock(&self.links));
        for link in links {
            let _ = link.flush(timeout);
            link.close();
        }
    }

    /// Registers how to cancel running work; returns false when it is cancelled already.
    pub(crate) fn set_cancel(&self, id: WorkId, cancel: CancelHandle) -> bool {
        let mut table = lock(&self.table);
        match table.running.get_mut(&id) {
            Some(running) if !running.work.cancelled.is_raised() => {
                running.cancel = Some(cancel);
                true
            }
            _ => false,
        }
    }

    fn submit(self: &Arc<Self>, link: &Link, submit: Submit) {
        let work = self.register(link, submit);
        if self.leaving.is_raised() {
            work.refuse("stopping", "sidecar takes no new work", FULL_RETRY_AFTER_MS);
            self.remove(work.id);
            return;
        }
        if self.in_flight() > MAX_RUNNING {
            work.refuse("overloaded", "backend server is full", FULL_RETRY_AFTER_MS);
            self.remove(work.id);
            return;
        }
        let state = Arc::clone(self);
        self.workers.run(move || {
            match &state.backend {
                BackendClient::Engine(engine) => model::run(&state, engine, &work),
                BackendClient::Service(client) => service::run(client, &work),
            }
            state.remove(work.id);
        });
    }

    fn register(&self, link: &Link, submit: Submit) -> Arc<Work> {
        let mut table = lock(&self.table);
        table.next_id += 1;
        let work = Arc::new(Work {
            id: table.next_id,
            link: link.clone(),
            submit,
            received_at: Instant::now(),
            cancelled: Flag::default(),
        });
        let running = Running {
            work: Arc::clone(&work),
            cancel: None,
        };
        table.running.insert(work.id, running);
        work
    }

    fn remove(&self, id: WorkId) {
        lock(&self.table).running.remove(&id);
    }

    /// Cancels the work that `selected` picks, except orders, which run on without their caller.
    fn cancel(&self, selected: impl Fn(&Work) -> bool) {
        let table = lock(&self.table);
        for running in table.running.values() {
            let repeatable = running.work.submit.order_key.is_empty();
            if repeatable && selected(&running.work) {
                running.work.cancelled.raise();
                if let Some(cancel) = &running.cancel {
                    cancel.cancel();
                }
            }
        }
    }
}

/// Handles the frames of all links.
pub(crate) struct SubmitHandler(pub(crate) Arc<SidecarState>);

impl LinkHandler for SubmitHandler {
    fn on_frame(&self, link: &Link, frame: Frame) {
        self.remember(link);
        match frame.body {
            Some(frame::Body::Submit(submit)) => self.0.submit(link, submit),
            Some(frame::Body::Cancel(cancel)) => self
                .0
                .cancel(|work| work.submit.attempt_id == cancel.attempt_id && work.link.same(link)),
            _ => {}
        }
    }

    fn on_lost(&self, link: &Link) {
        lock(&self.0.links).retain(|known| !known.same(link));
        self.0.cancel(|work| work.link.same(link));
    }
}

impl SubmitHandler {
    fn remember(&self, link: &Link) {
        let mut links = lock(&self.0.links);
        if !links.iter().any(|known| known.same(link)) {
            links.push(link.clone());
        }
    }
}

//! Calls of plain services: orders are claimed first, the pool decides, worker threads run the calls.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use tanagerford_core::admission::{Action, TICK_INTERVAL};
use tanagerford_core::config::Configuration;
use tanagerford_core::ids::{AttemptId, PoolId, TierId};
use tanagerford_core::pool::{Call as PoolCall, Pool, PoolSettings};
use tanagerford_link::message::{self, Outcome};
use tanagerford_service::{Answer, Call, Header, ServiceClient, ServiceError};
use tanagerford_sync::lock;

use crate::orders::{KeptAnswer, OrderLog};

use super::model::wire_load;
use super::order::{self, Claimed};
use super::refusal::{SERVER_RETRY_AFTER, not_run};
use super::state::SidecarState;
use super::work::{Run, Work};

/// Bytes of the answer's body in one frame.
const CHUNK_BYTES: usize = 16 * 1024;

/// Largest answer of an order that is kept; a larger one is relayed and its key then answers that the order ran.
const MAX_KEPT_BYTES: usize = 1024 * 1024;

/// Connections to the backend server that are kept for reuse.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Orders that wait for their claim at the same time; each takes one thread.
const MAX_CLAIMING: usize = 256;

/// Plain service and its admission.
pub(crate) struct ServiceBackend {
    client: ServiceClient,
    pool_id: PoolId,
    pool: Mutex<Pool>,
    orders: Option<Arc<OrderLog>>,
    claiming: Mutex<usize>,
    started_at: Instant,
}

impl ServiceBackend {
    pub(super) fn new(address: SocketAddr, pool_id: PoolId, orders: Option<Arc<OrderLog>>) -> Self {
        let settings = PoolSettings {
            concurrency: 1,
            weights: vec![1],
            reserved_permille: vec![0],
            classes: [].into(),
            max_waiting: 256,
        };
        Self {
            client: ServiceClient::new(address, MAX_IDLE_CONNECTIONS),
            pool_id,
            pool: Mutex::new(Pool::new(settings)),
            orders,
            claiming: Mutex::default(),
            started_at: Instant::now(),
        }
    }

    /// Returns the order log.
    pub(super) fn orders(&self) -> Option<&Arc<OrderLog>> {
        self.orders.as_ref()
    }

    /// Takes over a configuration.
    pub(super) fn set_configuration(
        &self,
        state: &Arc<SidecarState>,
        configuration: &Configuration,
    ) {
        let mut services = configuration.services.iter();
        let Some(service) = services.find(|service| service.pool == self.pool_id) else {
            return;
        };
        let settings = PoolSettings::from_configuration(configuration, service.concurrency);
        self.decide(state, |pool, now| pool.set_configuration(now, settings));
    }

    /// Offers a call to the pool; an order is claimed before.
    pub(super) fn submit(&self, state: &Arc<SidecarState>, work: &Arc<Work>) {
        if work.is_repeatable() {
            self.offer(state, work);
            return;
        }
        let (Some(orders), Some(key)) = (&self.orders, work.order_key()) else {
            let detail = "this backend server takes no orders";
            state.remove(work.id);
            work.refuse(not_run("server_failed", detail, None, None));
            return;
        };
        if !self.begin_claim() {
            state.remove(work.id);
            let load = Some(self.load());
            let detail = "too many orders wait for their claim";
            work.refuse(not_run(
                "queue_full",
                detail,
                Some(SERVER_RETRY_AFTER),
                load,
            ));
            return;
        }
        let (state, work, orders) = (Arc::clone(state), Arc::clone(work), Arc::clone(orders));
        let workers = state.workers.clone();
        workers.run(move || claim(&state, &orders, key, &work));
    }

    /// Withdraws a call whose caller is gone.
    pub(super) fn cancel(&self, state: &Arc<SidecarState>, id: AttemptId) {
        self.decide(state, |pool, now| pool.on_cancel(now, id));
    }

    /// Refuses what waits; what runs goes on.
    pub(super) fn leave(&self, state: &Arc<SidecarState>) {
        self.decide(state, |pool, _| pool.leave());
    }

    /// Calls the periodic decisions until the sidecar stops.
    pub(super) fn tick_until_stopped(&self, state: &Arc<SidecarState>) {
        while !state.stopped.is_raised() {
            std::thread::sleep(TICK_INTERVAL);
            self.decide(state, Pool::on_tick);
        }
    }

    fn offer(&self, state: &Arc<SidecarState>, work: &Work) {
        let submit = &work.submit;
        self.decide(state, |pool, now| {
            let call = PoolCall {
                id: work.id,
                tier: TierId::try_from(submit.tier).unwrap_or(TierId::MAX),
                class: submit.class.clone(),
                workspace: submit.workspace.clone(),
                wait_limit: work.wait_left(),
                deadline: now + work.time_left(),
            };
            pool.offer(now, call)
        });
    }

    fn begin_claim(&self) -> bool {
        let mut claiming = lock(&self.claiming);
        let free = *claiming < MAX_CLAIMING;
        *claiming += usize::from(free);
        free
    }

    fn end_claim(&self) {
        *lock(&self.claiming) -= 1;
    }

    fn load(&self) -> message::Load {
        wire_load(lock(&self.pool).load())
    }

    /// Takes a decision and carries out its actions under the same lock, so that the actions of two decisions keep their
    /// order. No action blocks.
    fn decide(
        &self,
        state: &Arc<SidecarState>,
        decision: impl FnOnce(&mut Pool, Duration) -> Vec<Action>,
    ) {
        let mut pool = lock(&self.pool);
        let actions = decision(&mut pool, self.started_at.elapsed());
        if actions.is_empty() {
            return;
        }
        let load = wire_load(pool.load());
        for action in actions {
            self.perform(state, action, &load);
        }
    }

    fn perform(&self, state: &Arc<SidecarState>, action: Action, load: &message::Load) {
        match action {
            Action::Start { id } => {
                if let Some(work) = state.work(id) {
                    let state = Arc::clone(state);
                    let workers = state.workers.clone();
                    workers.run(move || run(&state, &work));
                }
            }
            Action::Refuse {
                id,
                reason,
                retry_after,
            } => {
                if let Some(work) = state.remove(id) {
                    let code = reason.code();
                    if let (Some(orders), Some(key)) = (&self.orders, work.order_key()) {
                        orders.abandon(&key);
                    }
                    tracing::info!(request_id = work.submit.request_id, code, "refused a call");
                    let detail = "load shedding at the backend server";
                    work.refuse(not_run(code, detail, Some(retry_after), Some(load.clone())));
                }
            }
            // Calls of plain services are never preempted.
            Action::Preempt { .. } => {}
        }
    }
}

/// Claims an order and offers it to the pool. The claim is written before a place in the pool is taken, so orders that
/// wait for the key-value service hold no places that other calls need.
fn claim(
    state: &Arc<SidecarState>,
    orders: &OrderLog,
    key: tanagerford_core::order::OrderKey,
    work: &Work,
) {
    let claimed = order::claim(orders, key, work);
    let Some(backend) = state.service_backend() else {
        return;
    };
    backend.end_claim();
    match claimed {
        Claimed::Run => backend.offer(state, work),
        Claimed::Answered(kept) => {
            state.remove(work.id);
            if let Some(run) = work.begin_run(None) {
                let sent = run
                    .send_head(kept.status, order::wire_headers(&kept))
                    .and_then(|()| run.send_chunk(kept.body.to_vec(), 0))
                    .and_then(|()| run.finish(Outcome::Complete, "", Some(backend.load())));
                debug_assert!(sent.is_ok(), "an order has one run");
            }
        }
        Claimed::Refused(refusal) => {
            state.remove(work.id);
            tracing::info!(
                request_id = work.submit.request_id,
                code = refusal.code,
                "refused an order"
            );
            work.refuse(refusal);
        }
    }
}

/// Runs one call and sends its answer to the entry.
fn run(state: &Arc<SidecarState>, work: &Arc<Work>) {
    let Some(backend) = state.service_backend() else {
        return;
    };
    if let Some(run) = work.begin_run(None) {
        // The entry may have gone; an order runs on, and its answer is kept for the next request with its key.
        let _ = run.accept();
        tracing::info!(
            request_id = work.submit.request_id,
            "handed a call to the service"
        );
        call(backend, work, &run);
        let elapsed = work.received_at.elapsed();
        tracing::info!(
            request_id = work.submit.request_id,
            elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
            "call has ended"
        );
    }
    state.remove(work.id);
    backend.decide(state, |pool, now| pool.on_finish(now, work.id));
}

fn call(backend: &ServiceBackend, work: &Work, run: &Run<'_>) {
    let order = work.order_key().zip(backend.orders.as_deref());
    match backend.client.call(&call_of(work)) {
        Ok(answer) => {
            let whole = relay(backend, run, answer);
            if let Some((key, orders)) = order {
                match whole {
                    Ok(kept) => orders.finish(&key, kept),
                    // The answer had begun, so the order has run; only its answer is lost.
                    Err(CutAnswer) => orders.finish(&key, None),
                };
            }
        }
        Err(error @ (ServiceError::Unreachable | ServiceError::Invalid)) => {
            if let Some((key, orders)) = order {
                orders.abandon(&key);
            }
            let load = Some(backend.load());
            let retry_after = Some(SERVER_RETRY_AFTER);
            let _ = run.refuse(not_run(
                "server_failed",
                &error.to_string(),
                retry_after,
                load,
            ));
        }
        Err(error @ ServiceError::Lost) => {
            if let Some((key, orders)) = order {
                orders.lose(&key);
            }
            let _ = run.finish(Outcome::Failed, &error.to_string(), Some(backend.load()));
        }
    }
}

fn call_of(work: &Work) -> Call {
    let submit = &work.submit;
    let headers = submit.headers.iter().map(|header| Header {
        name: header.name.clone(),
        value: header.value.clone(),
    });
    Call {
        method: submit.method.clone(),
        path: submit.path.clone(),
        headers: headers.collect(),
        body: submit.body.clone(),
        timeout: work.time_left(),
        repeatable: work.is_repeatable(),
    }
}

/// The answer did not arrive whole.
struct CutAnswer;

/// Sends an answer to the entry. Returns the answer unless it is too large to be kept.
fn relay(
    backend: &ServiceBackend,
    run: &Run<'_>,
    answer: Answer,
) -> Result<Option<KeptAnswer>, CutAnswer> {
    let headers: Vec<_> = answer.headers.into_iter().map(wire_header).collect();
    let kept_headers = headers.iter().map(kept_header).collect();
    let _ = run.send_head(answer.status, headers);
    let mut body = Some(Vec::new());
    let mut source = answer.body;
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        match source.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => {
                let data = &buffer[..count];
                body = body.filter(|body| body.len() + count <= MAX_KEPT_BYTES);
                if let Some(body) = &mut body {
                    body.extend_from_slice(data);
                }
                let _ = run.send_chunk(data.to_vec(), 0);
            }
            Err(error) => {
                let _ = run.finish(Outcome::Failed, &error.to_string(), Some(backend.load()));
                return Err(CutAnswer);
            }
        }
    }
    let _ = run.finish(Outcome::Complete, "", Some(backend.load()));
    Ok(body.map(|body| KeptAnswer {
        status: answer.status,
        headers: kept_headers,
        body: Bytes::from(body),
    }))
}

fn wire_header(header: Header) -> message::Header {
    message::Header {
        name: header.name,
        value: header.value,
    }
}

fn kept_header(header: &message::Header) -> (String, String) {
    let value = String::from_utf8_lossy(&header.value).into_owned();
    (header.name.clone(), value)
}

//! Calls of plain services: orders are claimed first, the pool schedules all calls, and worker threads run them.

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
use tanagerford_service::{Call, Header, Response, ServiceClient, ServiceError};
use tanagerford_sync::lock;

use crate::orders::{OrderLog, StoredResponse};

use super::model::wire_load;
use super::order::{self, ClaimOutcome};
use super::refusal::{SERVER_RETRY_AFTER, not_run};
use super::state::SidecarState;
use super::work::{Run, Work};

/// Maximum length of the response's body in one frame.
const CHUNK_BYTES: usize = 16 * 1024;

/// Maximum length of a stored response of an order, in bytes. A longer response is only relayed; a repetition of the
/// order then gets the code `order_answer_lost`.
const MAX_STORED_RESPONSE_BYTES: usize = 1024 * 1024;

/// Maximum number of idle connections to the backend server.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Maximum number of orders that wait for their claim; each of them occupies a thread.
const MAX_WAITING_CLAIMS: usize = 256;

/// Plain service and its admission.
pub(crate) struct ServiceBackend {
    client: ServiceClient,
    pool_id: PoolId,
    pool: Mutex<Pool>,
    orders: Option<Arc<OrderLog>>,
    waiting_claims: Mutex<usize>,
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
            waiting_claims: Mutex::default(),
            started_at: Instant::now(),
        }
    }

    pub(super) fn orders(&self) -> Option<&Arc<OrderLog>> {
        self.orders.as_ref()
    }

    /// Applies the settings of the configured service of the pool. The settings stay unchanged if none is configured.
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

    /// Offers a call to the pool. An order is claimed first, on a worker thread.
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

    pub(super) fn cancel(&self, state: &Arc<SidecarState>, id: AttemptId) {
        self.decide(state, |pool, now| pool.on_cancel(now, id));
    }

    /// Refuses all waiting calls; running calls continue.
    pub(super) fn leave(&self, state: &Arc<SidecarState>) {
        self.decide(state, |pool, _| pool.leave());
    }

    /// Runs the ticks of the pool until the sidecar stops.
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
                wait_limit: work.remaining_wait(),
                deadline: now + work.remaining_time(),
            };
            pool.offer(now, call)
        });
    }

    /// Reserves a slot for a waiting claim; returns false if none is free.
    fn begin_claim(&self) -> bool {
        let mut waiting_claims = lock(&self.waiting_claims);
        let is_free = *waiting_claims < MAX_WAITING_CLAIMS;
        *waiting_claims += usize::from(is_free);
        is_free
    }

    fn end_claim(&self) {
        *lock(&self.waiting_claims) -= 1;
    }

    fn load(&self) -> message::Load {
        wire_load(lock(&self.pool).load())
    }

    /// Makes a decision of the pool and performs its actions under the same lock, so that the actions of two decisions
    /// are performed in the order of the decisions. No action blocks.
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
            // The pool never preempts calls.
            Action::Preempt { .. } => {}
        }
    }
}

/// Claims an order and offers it to the pool. Claiming first keeps orders that wait for the key-value service from
/// occupying slots of the pool.
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
        ClaimOutcome::Run => backend.offer(state, work),
        ClaimOutcome::Answered(stored) => {
            state.remove(work.id);
            if let Some(run) = work.begin_run(None) {
                let sent = run
                    .send_head(stored.status, order::wire_headers(&stored))
                    .and_then(|()| run.send_chunk(stored.body.to_vec(), 0))
                    .and_then(|()| run.finish(Outcome::Complete, "", Some(backend.load())));
                debug_assert!(sent.is_ok(), "an order has at most one run");
            }
        }
        ClaimOutcome::Refused(refusal) => {
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

/// Runs a call and relays its response to the entry.
fn run(state: &Arc<SidecarState>, work: &Arc<Work>) {
    let Some(backend) = state.service_backend() else {
        return;
    };
    if let Some(run) = work.begin_run(None) {
        // An order runs even if the link to the entry is lost; its response is stored for a repetition with the same
        // key.
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
    match backend.client.call(&service_call(work)) {
        Ok(response) => {
            let relayed = relay(backend, work, run, response);
            if let Some((key, orders)) = order {
                match relayed {
                    Ok(stored) => orders.finish(&key, stored),
                    // The response had begun, so the order has run and only its response is lost.
                    Err(TruncatedResponse) => orders.finish(&key, None),
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
                orders.mark_response_lost(&key);
            }
            let _ = run.finish(Outcome::Failed, &error.to_string(), Some(backend.load()));
        }
    }
}

fn service_call(work: &Work) -> Call {
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
        timeout: work.remaining_time(),
        is_repeatable: work.is_repeatable(),
    }
}

/// Error of a response whose connection to the backend server broke before its end.
struct TruncatedResponse;

/// Relays a response to the entry and returns it, or `None` if it is too long to be stored.
///
/// The response of an order is read to its end and stored, also when it cannot be sent to the entry. Other calls end then.
fn relay(
    backend: &ServiceBackend,
    work: &Work,
    run: &Run<'_>,
    response: Response,
) -> Result<Option<StoredResponse>, TruncatedResponse> {
    let headers: Vec<_> = response.headers.into_iter().map(wire_header).collect();
    let stored_headers = headers.iter().map(stored_header).collect();
    let _ = run.send_head(response.status, headers);
    let mut body = Some(Vec::new());
    let mut source = response.body;
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        match source.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => {
                let data = &buffer[..count];
                body = body.filter(|body| body.len() + count <= MAX_STORED_RESPONSE_BYTES);
                if let Some(body) = &mut body {
                    body.extend_from_slice(data);
                }
                if run.send_chunk(data.to_vec(), 0).is_err() && work.is_repeatable() {
                    return Err(TruncatedResponse);
                }
            }
            Err(error) => {
                let _ = run.finish(Outcome::Failed, &error.to_string(), Some(backend.load()));
                return Err(TruncatedResponse);
            }
        }
    }
    let _ = run.finish(Outcome::Complete, "", Some(backend.load()));
    Ok(body.map(|body| StoredResponse {
        status: response.status,
        headers: stored_headers,
        body: Bytes::from(body),
    }))
}

fn wire_header(header: Header) -> message::Header {
    message::Header {
        name: header.name,
        value: header.value,
    }
}

fn stored_header(header: &message::Header) -> (String, String) {
    let value = String::from_utf8_lossy(&header.value).into_owned();
    (header.name.clone(), value)
}

//! Model requests: admission schedules them, and worker threads run them on the engine.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tanagerford_core::admission::{
    Action, Admission, AdmissionSettings, FinishKind, Load, LoadReport, Request, TICK_INTERVAL,
};
use tanagerford_core::config::Configuration;
use tanagerford_core::ids::{AttemptId, TierId};
use tanagerford_core::suspect::{RunningRequest, Verdict};
use tanagerford_engine::{EngineClient, EngineError, EngineStream, GenerateRequest};
use tanagerford_link::message::{self, Outcome};
use tanagerford_sync::lock;

use crate::suspects::workspace_hash;

use super::refusal::{SERVER_RETRY_AFTER, not_run};
use super::state::SidecarState;
use super::work::{Run, Superseded, Work};

/// HTTP status with which an engine refuses a request while it is full.
const TOO_MANY_REQUESTS: u16 = 429;

const LOAD_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of health checks of an engine that is down.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Model engine and its admission.
pub(crate) struct ModelBackend {
    pub(super) engine: Arc<EngineClient>,
    admission: Mutex<Admission>,
    /// Whether a crash was detected and the engine has not passed a health check since.
    is_down: Mutex<bool>,
    started_at: Instant,
}

impl ModelBackend {
    pub(super) fn new(engine: Arc<EngineClient>) -> Self {
        Self {
            engine,
            admission: Mutex::new(Admission::new(AdmissionSettings::default())),
            is_down: Mutex::new(false),
            started_at: Instant::now(),
        }
    }

    pub(super) fn set_configuration(
        &self,
        state: &Arc<SidecarState>,
        configuration: &Configuration,
    ) {
        let settings = AdmissionSettings::from_configuration(configuration);
        self.decide(state, |admission, now| {
            admission.set_configuration(now, settings)
        });
    }

    pub(super) fn submit(&self, state: &Arc<SidecarState>, work: &Work) {
        let submit = &work.submit;
        self.decide(state, |admission, now| {
            let request = Request {
                id: work.id,
                tier: TierId::try_from(submit.tier).unwrap_or(TierId::MAX),
                class: submit.class.clone(),
                workspace: submit.workspace.clone(),
                model: submit.model.clone(),
                prompt_tokens: submit.prompt_tokens,
                max_tokens: submit.max_tokens.saturating_sub(submit.resume_tokens),
                wait_limit: work.remaining_wait(),
                deadline: now + work.remaining_time(),
                resumable: submit.resumable,
                max_other_requests: state.suspects.max_other_requests(submit.fingerprint),
            };
            admission.offer(now, request)
        });
    }

    pub(super) fn cancel(&self, state: &Arc<SidecarState>, id: AttemptId) {
        self.decide(state, |admission, now| admission.on_cancel(now, id));
    }

    /// Refuses all waiting work; running work continues.
    pub(super) fn leave(&self, state: &Arc<SidecarState>) {
        self.decide(state, Admission::leave);
    }

    /// Returns the load that is reported to entries with responses and refusals.
    pub(super) fn load(&self) -> Load {
        lock(&self.admission).load()
    }

    /// Runs the ticks of admission, the health checks and the reads of the load report until the sidecar stops.
    pub(super) fn tick_until_stopped(&self, state: &Arc<SidecarState>) {
        let mut reported_at = Instant::now();
        let mut checked_at = Instant::now();
        while !state.stopped.is_raised() {
            std::thread::sleep(TICK_INTERVAL);
            self.decide(state, Admission::on_tick);
            if checked_at.elapsed() >= HEALTH_CHECK_INTERVAL {
                checked_at = Instant::now();
                self.check_for_recovery(state);
            }
            if reported_at.elapsed() >= LOAD_REPORT_INTERVAL {
                reported_at = Instant::now();
                self.read_load_report(state);
            }
        }
    }

    fn read_load_report(&self, state: &Arc<SidecarState>) {
        if let Ok(report) = self.engine.load() {
            let report = LoadReport {
                running: report.running,
                token_gap: Duration::from_micros(report.token_gap_us),
            };
            self.decide(state, |admission, now| {
                admission.on_load_report(now, report)
            });
        }
    }

    /// Checks after a failed call whether the engine is down, and returns the result. The first check that detects a
    /// crash records the running requests as suspects and refuses the waiting work.
    fn check_for_crash(&self, state: &Arc<SidecarState>) -> bool {
        let mut is_down = lock(&self.is_down);
        if *is_down {
            return true;
        }
        if self.engine.is_healthy() {
            return false;
        }
        *is_down = true;
        let running: Vec<_> = state.running().iter().map(running_request).collect();
        tracing::warn!(running = running.len(), "engine is down");
        state.metrics.crashes.inc();
        state.suspects.on_crash(&running);
        self.decide(state, |admission, _| admission.on_engine_down());
        true
    }

    fn check_for_recovery(&self, state: &Arc<SidecarState>) {
        let mut is_down = lock(&self.is_down);
        if *is_down && self.engine.is_healthy() {
            *is_down = false;
            tracing::info!("engine is up again");
            self.decide(state, |admission, _| {
                admission.on_engine_up();
                Vec::new()
            });
        }
    }

    /// Makes a decision of admission and performs its actions under the same lock, so that the actions of two decisions
    /// are performed in the order of the decisions. No action blocks.
    fn decide(
        &self,
        state: &Arc<SidecarState>,
        decision: impl FnOnce(&mut Admission, Duration) -> Vec<Action>,
    ) {
        let mut admission = lock(&self.admission);
        let actions = decision(&mut admission, self.started_at.elapsed());
        if actions.is_empty() {
            return;
        }
        let load = wire_load(admission.load());
        for action in actions {
            perform(state, action, &load);
        }
    }

    fn on_tokens(&self, state: &Arc<SidecarState>, id: AttemptId, tokens: u32) {
        self.decide(state, |admission, now| admission.on_token(now, id, tokens));
    }

    fn on_finish(&self, state: &Arc<SidecarState>, id: AttemptId, kind: FinishKind) {
        self.decide(state, |admission, now| admission.on_finish(now, id, kind));
    }
}

fn perform(state: &Arc<SidecarState>, action: Action, load: &message::Load) {
    match action {
        Action::Start { id } => {
            if let Some(work) = state.work(id) {
                let state = Arc::clone(state);
                let workers = state.workers.clone();
                workers.run(move || run(&state, &work));
            }
        }
        Action::Preempt { id, requeued } => {
            let Some(work) = state.work(id) else {
                return;
            };
            tracing::info!(
                request_id = work.submit.request_id,
                requeued,
                "preempted a request"
            );
            work.interrupt();
            if !requeued {
                let tokens = work.delivered_tokens() - work.submit.resume_tokens;
                state
                    .metrics
                    .count_wasted_tokens("preempted", tokens.into());
                work.end(
                    Outcome::Preempted,
                    "preempted by work of a higher tier",
                    Some(load.clone()),
                );
                state.remove(id);
            }
        }
        Action::Refuse {
            id,
            reason,
            retry_after,
        } => {
            if let Some(work) = state.remove(id) {
                let code = reason.code();
                tracing::info!(
                    request_id = work.submit.request_id,
                    code,
                    "refused a request"
                );
                let detail = "load shedding at the backend server";
                work.refuse(not_run(code, detail, Some(retry_after), Some(load.clone())));
            }
        }
    }
}

/// Runs work on the engine and relays its response to the entry.
fn run(state: &Arc<SidecarState>, work: &Arc<Work>) {
    let Some(backend) = state.model_backend() else {
        return;
    };
    let (agent, cancel) = backend.engine.take_agent();
    let Some(run) = work.begin_run(Some(cancel)) else {
        return;
    };
    if state.suspects.verdict(work.submit.fingerprint) == Verdict::Refuse {
        // A copy of the request crashed another engine while this one waited.
        let detail = "the request crashed backend servers while it waited";
        if run
            .refuse(not_run("quarantined", detail, None, None))
            .is_ok()
        {
            state.remove(work.id);
            backend.on_finish(state, work.id, FinishKind::Failed);
        }
        return;
    }
    if run.accept().is_err() {
        return;
    }
    tracing::info!(
        request_id = work.submit.request_id,
        resume_tokens = work.delivered_tokens(),
        "handed a request to the engine"
    );
    let request = generate_request(work);
    let ended = match backend.engine.generate(agent, &request) {
        Ok(stream) => relay(state, backend, work, &run, stream),
        Err(EngineError::Refused { status, body }) => relay_refusal(backend, &run, status, &body),
        Err(EngineError::Unreachable) => refuse_unreachable(state, backend, &run),
        Err(error) => finish_failed(state, backend, work, &run, &error),
    };
    // A superseded run was preempted or cancelled, which admission has already recorded.
    if let Ok(kind) = ended {
        state.remove(work.id);
        backend.on_finish(state, work.id, kind);
    }
}

fn generate_request(work: &Work) -> GenerateRequest {
    GenerateRequest {
        path: work.submit.path.clone(),
        request_id: work.submit.request_id.clone(),
        body: work.submit.body.clone(),
        priority: u8::try_from(work.submit.tier).unwrap_or(u8::MAX),
        resume_from_tokens: work.delivered_tokens(),
        timeout: work.remaining_time(),
    }
}

fn relay(
    state: &Arc<SidecarState>,
    backend: &ModelBackend,
    work: &Work,
    run: &Run<'_>,
    mut stream: EngineStream,
) -> Result<FinishKind, Superseded> {
    run.send_head(200, vec![content_type("text/event-stream")])?;
    loop {
        match stream.next_event() {
            Ok(Some(event)) => {
                let tokens = u32::from(event.has_text());
                if run.send_chunk(event.raw, tokens).is_err() {
                    state
                        .metrics
                        .count_wasted_tokens("preempted", tokens.into());
                    return Err(Superseded);
                }
                if tokens > 0 {
                    state.metrics.tokens.inc_by(tokens.into());
                    backend.on_tokens(state, work.id, tokens);
                }
            }
            Ok(None) => {
                stream.finish();
                run.finish(Outcome::Complete, "", Some(wire_load(backend.load())))?;
                state.suspects.on_success(work.submit.fingerprint);
                let tokens = work.delivered_tokens();
                tracing::info!(
                    request_id = work.submit.request_id,
                    tokens,
                    "request is complete"
                );
                return Ok(FinishKind::Complete);
            }
            Err(error) => return finish_failed(state, backend, work, run, &error),
        }
    }
}

fn relay_refusal(
    backend: &ModelBackend,
    run: &Run<'_>,
    status: u16,
    body: &str,
) -> Result<FinishKind, Superseded> {
    if status == TOO_MANY_REQUESTS {
        return refuse(backend, run, "overloaded", "engine is full");
    }
    if status >= 500 {
        let detail = format!("engine failed with status {status}");
        run.finish(Outcome::Failed, &detail, Some(wire_load(backend.load())))?;
        return Ok(FinishKind::Failed);
    }
    run.send_head(status, vec![content_type("application/json")])?;
    run.send_chunk(body.as_bytes().to_vec(), 0)?;
    run.finish(Outcome::Complete, "", Some(wire_load(backend.load())))?;
    Ok(FinishKind::Failed)
}

fn refuse(
    backend: &ModelBackend,
    run: &Run<'_>,
    code: &str,
    detail: &str,
) -> Result<FinishKind, Superseded> {
    let load = wire_load(backend.load());
    run.refuse(not_run(code, detail, Some(SERVER_RETRY_AFTER), Some(load)))?;
    Ok(FinishKind::Failed)
}

fn refuse_unreachable(
    state: &Arc<SidecarState>,
    backend: &ModelBackend,
    run: &Run<'_>,
) -> Result<FinishKind, Superseded> {
    // The request never reached the engine, so it is not recorded among those that may have crashed it.
    run.mark_not_sent()?;
    backend.check_for_crash(state);
    refuse(backend, run, "server_down", "cannot connect to the engine")
}

fn running_request(work: &Arc<Work>) -> RunningRequest {
    RunningRequest {
        fingerprint: work.submit.fingerprint,
        workspace: workspace_hash(&work.submit.workspace),
    }
}

fn finish_failed(
    state: &Arc<SidecarState>,
    backend: &ModelBackend,
    work: &Work,
    run: &Run<'_>,
    error: &EngineError,
) -> Result<FinishKind, Superseded> {
    let is_crash = backend.check_for_crash(state);
    run.set_suspicion(state.suspects.summary_of(work.submit.fingerprint));
    let outcome = if is_crash {
        Outcome::Crashed
    } else {
        Outcome::Failed
    };
    run.finish(outcome, &error.to_string(), Some(wire_load(backend.load())))?;
    if !work.submit.resumable {
        let tokens = work.delivered_tokens() - work.submit.resume_tokens;
        state.metrics.count_wasted_tokens("failed", tokens.into());
    }
    tracing::warn!(
        request_id = work.submit.request_id,
        %error,
        outcome = outcome.as_str_name(),
        "engine did not finish a request"
    );
    if is_crash {
        return Ok(FinishKind::Crashed);
    }
    Ok(FinishKind::Failed)
}

fn content_type(value: &str) -> message::Header {
    message::Header {
        name: "content-type".to_owned(),
        value: value.as_bytes().to_vec(),
    }
}

pub(super) fn wire_load(load: Load) -> message::Load {
    message::Load {
        running: load.running,
        waiting: load.waiting,
        batch_limit: load.batch_limit,
        token_gap_us: u32::try_from(load.token_gap.as_micros()).unwrap_or(u32::MAX),
        busy_by_tier: load.busy_by_tier,
        leaving: load.leaving,
    }
}

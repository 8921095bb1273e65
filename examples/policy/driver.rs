//! Discrete-event simulation of the entries, sidecars and backend servers of one deployment under one policy.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::time::Duration;

use tanagerford_core::admission::{Action, LoadReport, Request, TICK_INTERVAL};
use tanagerford_core::retry::{AttemptOutcome, LinkPhase, Progress, RetryBudget, RetryDecision};
use tanagerford_core::routing::{
    LoadHint, ResponseMeasurements, RouteRequest, Router, RouterSettings, Server,
};
use tanagerford_core::suspect::{RunningRequest, SuspectTable, Verdict};

use crate::engine::Engine;
use crate::gate::{Gate, Policy};
use crate::request::{RequestState, hash};
use crate::scenario::{ClassSpec, Job, Scenario, configuration};

/// Names of the pools by their numbers: model engines and application workers.
const POOL_NAMES: [&str; 2] = ["models", "services"];
/// Time from the crash of a backend server to its restart.
const RESTART_DELAY: Duration = Duration::from_secs(10);
const LINK_DELAY: Duration = Duration::from_millis(1);
const TIER_COUNT: u8 = 4;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Deliver(usize),
    StepEnd(usize, u64),
    CallEnd(usize, u64),
    Crash(usize),
    Restart(usize),
    Report(usize, u32, Duration),
    Tick,
    Second,
}

struct Backend {
    name: String,
    pool: usize,
    zone: String,
    gate: Gate,
    engine: Engine,
    incarnation: u64,
    is_up: bool,
    /// Requests that the sidecar has accepted and not ended, waiting or running.
    accepted: BTreeSet<u64>,
    running: BTreeSet<u64>,
}

pub struct Driver {
    scenario: Scenario,
    policy: Policy,
    now: Duration,
    sequence: u64,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    backends: Vec<Backend>,
    routers: Vec<Router>,
    budgets: Vec<RetryBudget>,
    suspects: SuspectTable,
    pub requests: Vec<RequestState>,
    /// Requests that have not ended.
    open_requests: usize,
    pub crashes: u32,
}

impl Driver {
    pub fn new(scenario: &Scenario, policy: Policy, jobs: Vec<Job>) -> Self {
        let deployment = &scenario.deployment;
        let configuration = configuration(deployment);
        let zone = |index: usize| format!("zone{}", index % deployment.zones);
        let backend = |pool: usize, index: usize| Backend {
            name: format!("{}{index}", POOL_NAMES[pool]),
            pool,
            zone: zone(index),
            gate: Gate::new(policy, &configuration, pool == 0),
            engine: Engine::new(),
            incarnation: 1,
            is_up: true,
            accepted: BTreeSet::new(),
            running: BTreeSet::new(),
        };
        let models = (0..deployment.engines).map(|index| backend(0, index));
        let services = (0..deployment.workers).map(|index| backend(1, index));
        let router = |index| RouterSettings {
            tiers: TIER_COUNT,
            zone: zone(index),
            region_zones: Vec::new(),
            seed: index as u64,
        };
        let mut driver = Self {
            backends: models.chain(services).collect(),
            routers: (0..deployment.zones)
                .map(|index| Router::new(router(index)))
                .collect(),
            budgets: vec![RetryBudget::new(TIER_COUNT); deployment.zones],
            suspects: SuspectTable::default(),
            scenario: scenario.clone(),
            policy,
            now: Duration::ZERO,
            sequence: 0,
            events: BinaryHeap::new(),
            open_requests: jobs.len(),
            requests: jobs.into_iter().map(RequestState::new).collect(),
            crashes: 0,
        };
        driver.schedule_initial_events();
        driver
    }

    fn schedule_initial_events(&mut self) {
        self.publish_servers();
        for index in 0..self.requests.len() {
            self.schedule(self.requests[index].job.at, Event::Arrive(index));
        }
        if self.scenario.has_straggler {
            self.backends[0].engine.slowness = 3.0;
        }
        if self.scenario.has_crash {
            self.schedule(Duration::from_secs(50), Event::Crash(1));
        }
        self.schedule(Duration::ZERO, Event::Tick);
        self.schedule(Duration::ZERO, Event::Second);
    }

    /// Runs until every request has ended.
    pub fn run(&mut self) {
        while self.open_requests > 0 {
            let Some(Reverse((at, _, event))) = self.events.pop() else {
                return;
            };
            self.now = at;
            self.handle(&event);
        }
    }

    fn handle(&mut self, event: &Event) {
        match *event {
            Event::Arrive(index) => self.dispatch(index),
            Event::Deliver(index) => self.deliver(index),
            Event::StepEnd(server, step) => self.end_step(server, step),
            Event::CallEnd(server, id) => self.end_call(server, id),
            Event::Crash(server) => self.crash(server),
            Event::Restart(server) => self.restart(server),
            Event::Report(server, running, token_gap) => {
                let actions = self.backends[server]
                    .gate
                    .on_report(self.now, LoadReport { running, token_gap });
                self.apply(server, actions);
            }
            Event::Tick => self.on_tick(),
            Event::Second => self.on_second(),
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn publish_servers(&mut self) {
        for router in &mut self.routers {
            for (pool, name) in POOL_NAMES.iter().enumerate() {
                let servers = self
                    .backends
                    .iter()
                    .filter(|backend| backend.pool == pool)
                    .map(|backend| Server {
                        id: backend.name.clone(),
                        zone: backend.zone.clone(),
                        incarnation: backend.incarnation,
                        leaving: false,
                    });
                router.set_servers(self.now, name, servers.collect::<Vec<_>>());
            }
        }
    }

    fn spec(&self, index: usize) -> &ClassSpec {
        &self.scenario.deployment.classes[self.requests[index].job.class]
    }

    /// Chooses a backend server for a request and sends the request to its sidecar.
    fn dispatch(&mut self, index: usize) {
        let pool = POOL_NAMES[usize::from(self.spec(index).call_ms > 0.0)];
        let state = &self.requests[index];
        let verdict = self.verdict(index);
        if verdict == Verdict::Refuse {
            return self.end_request(index, false);
        }
        let entry = index % self.routers.len();
        let is_isolated = matches!(verdict, Verdict::Isolate { .. });
        let exclude = if is_isolated {
            self.servers_except_trial(index)
        } else {
            state.tried.clone()
        };
        let request = RouteRequest {
            pool,
            tier: state.job.tier,
            prefix_hash: state.prefix_hash(),
        };
        let Some(choice) = self.routers[entry].choose(self.now, &request, &exclude) else {
            return self.retry_or_end(index, AttemptOutcome::NoServer);
        };
        let position = self
            .backends
            .iter()
            .position(|backend| backend.name == choice.server);
        let state = &mut self.requests[index];
        state.server = position.expect("the router chooses only published servers");
        state.attempt = Some(choice.attempt);
        self.schedule(self.now + LINK_DELAY, Event::Deliver(index));
    }

    /// Returns all servers except the trial server of a suspect request. All copies of the request run there one at a time,
    /// so that two copies never crash two servers at the same time. The choice ignores servers that have crashed, which
    /// keeps it stable.
    fn servers_except_trial(&self, index: usize) -> Vec<String> {
        let fingerprint = self.requests[index].fingerprint(index);
        let rank = |backend: &&Backend| {
            hash(&backend.name)
                .wrapping_mul(fingerprint | 1)
                .rotate_left(17)
        };
        let stable = self
            .backends
            .iter()
            .filter(|backend| backend.pool == 0 && backend.incarnation == 1 && backend.is_up);
        let trial = stable.max_by_key(rank).map(|backend| backend.name.clone());
        let others = self
            .backends
            .iter()
            .filter(|backend| Some(&backend.name) != trial.as_ref());
        others.map(|backend| backend.name.clone()).collect()
    }

    fn verdict(&self, index: usize) -> Verdict {
        match self.policy {
            Policy::Tanagerford => self
                .suspects
                .verdict(self.now, self.requests[index].fingerprint(index)),
            Policy::Fifo | Policy::Strict => Verdict::Normal,
        }
    }

    fn deliver(&mut self, index: usize) {
        let server = self.requests[index].server;
        if !self.backends[server].is_up {
            return self.on_failed(
                index,
                AttemptOutcome::LinkLost {
                    phase: LinkPhase::NotSent,
                },
            );
        }
        let max_other_requests = match self.verdict(index) {
            Verdict::Isolate { max_other_requests } => Some(max_other_requests),
            Verdict::Refuse => {
                return self.on_refused(server, index as u64, AttemptOutcome::RefusedNotRun);
            }
            Verdict::Normal => None,
        };
        let spec = *self.spec(index);
        let policy = self.policy;
        let state = &mut self.requests[index];
        state.attempts += 1;
        let remaining = state.remaining_wait(&spec, self.now);
        // The first two servers refuse a request that would wait long, so that the entry tries other servers; the last one
        // may queue it up to its full wait limit.
        let short_wait = Duration::from_millis(spec.target_ms / 4);
        let wait_limit = if policy == Policy::Tanagerford && state.attempts <= 2 {
            remaining.min(short_wait)
        } else {
            remaining
        };
        let request = Request {
            id: index as u64,
            tier: state.job.tier,
            class: spec.name.to_owned(),
            workspace: state.job.workspace.clone(),
            model: "model".to_owned(),
            prompt_tokens: spec.tokens[0] + spec.tokens[1],
            max_tokens: 4_000,
            wait_limit,
            deadline: self.now + Duration::from_mins(10),
            resumable: true,
            max_other_requests,
        };
        self.backends[server].accepted.insert(index as u64);
        let actions = self.backends[server].gate.offer(self.now, request);
        self.apply(server, actions);
    }

    fn apply(&mut self, server: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start { id } => self.start(server, id),
                Action::Preempt { id, requeued } => {
                    self.backends[server].engine.stop(id, true);
                    self.backends[server].running.remove(&id);
                    if !requeued {
                        self.on_refused(server, id, AttemptOutcome::Preempted);
                    }
                }
                Action::Refuse { id, .. } => {
                    self.on_refused(server, id, AttemptOutcome::RefusedNotRun);
                }
            }
        }
    }

    fn start(&mut self, server: usize, id: u64) {
        let index = request_index(id);
        let spec = *self.spec(index);
        let state = &self.requests[index];
        self.backends[server].running.insert(id);
        if spec.call_ms > 0.0 {
            return self.schedule(self.now + state.job.call_time, Event::CallEnd(server, id));
        }
        let context = spec.tokens[0] + spec.tokens[1] + state.generated;
        let shared = (state.prefix_hash().unwrap_or(0), spec.tokens[0]);
        self.backends[server].engine.start(id, context, shared);
        if !self.backends[server].engine.is_stepping {
            self.begin_step(server);
        }
    }

    fn begin_step(&mut self, server: usize) {
        let engine = &mut self.backends[server].engine;
        if let Some(length) = engine.begin_step() {
            engine.steps += 1;
            let step = engine.steps;
            self.schedule(self.now + length, Event::StepEnd(server, step));
        }
    }

    fn end_step(&mut self, server: usize, step: u64) {
        if self.backends[server].engine.steps != step || !self.backends[server].is_up {
            return;
        }
        let mut is_poisoned = false;
        for result in self.backends[server].engine.end_step() {
            let index = request_index(result.id);
            let is_repeated = self.requests[index].has_crashed;
            self.requests[index].on_prefill(result.prefilled, is_repeated);
            if !result.has_token || !self.backends[server].running.contains(&result.id) {
                continue;
            }
            self.requests[index].on_token(self.now);
            let actions = self.backends[server].gate.on_token(self.now, result.id);
            self.apply(server, actions);
            is_poisoned |=
                self.requests[index].job.is_poison && self.requests[index].generated >= 20;
            if self.requests[index].generated >= self.requests[index].job.response_tokens {
                self.backends[server].engine.stop(result.id, false);
                self.complete(server, result.id);
            }
        }
        if is_poisoned {
            return self.crash(server);
        }
        self.begin_step(server);
    }

    fn end_call(&mut self, server: usize, id: u64) {
        if self.backends[server].running.contains(&id) {
            self.requests[request_index(id)].work_done +=
                self.requests[request_index(id)].job.call_time.as_secs_f64() * 1_000.0;
            self.requests[request_index(id)].first_token = Some(self.now);
            self.complete(server, id);
        }
    }

    fn complete(&mut self, server: usize, id: u64) {
        let index = request_index(id);
        let backend = &mut self.backends[server];
        backend.accepted.remove(&id);
        backend.running.remove(&id);
        let batch = backend.gate.load().running;
        let actions = backend.gate.on_finish(self.now, id);
        let entry = index % self.routers.len();
        self.budgets[entry].on_success(self.requests[index].job.tier);
        self.suspects
            .on_success(self.now, self.requests[index].fingerprint(index));
        let spec = *self.spec(index);
        let state = &mut self.requests[index];
        let answer = ResponseMeasurements {
            load: Some(load_hint(&self.backends[server])),
            first_token: state
                .attempt_first_token
                .map(|(at, _)| at.saturating_sub(state.job.at)),
            pace: state.pace_sample(&spec, self.now, batch),
            prompt_tokens: spec.tokens[0] + spec.tokens[1],
        };
        if let Some(attempt) = state.attempt.take() {
            self.routers[entry].on_response(self.now, attempt, &answer);
        }
        self.end_request(index, true);
        self.apply(server, actions);
    }

    /// Ends an attempt that the sidecar refused or preempted.
    fn on_refused(&mut self, server: usize, id: u64, outcome: AttemptOutcome) {
        let index = request_index(id);
        self.backends[server].accepted.remove(&id);
        let load = load_hint(&self.backends[server]);
        if let Some(attempt) = self.requests[index].attempt.take() {
            self.routers[index % self.budgets.len()].on_refusal(self.now, attempt, Some(&load));
        }
        self.retry_or_end(index, outcome);
    }

    /// Ends an attempt whose backend server failed.
    fn on_failed(&mut self, index: usize, outcome: AttemptOutcome) {
        if let Some(attempt) = self.requests[index].attempt.take() {
            self.routers[index % self.budgets.len()].on_failure(self.now, attempt);
        }
        self.retry_or_end(index, outcome);
    }

    /// Retries a request after a failed attempt, or ends it if the retry rules do not allow another attempt.
    fn retry_or_end(&mut self, index: usize, outcome: AttemptOutcome) {
        let spec = *self.spec(index);
        let state = &mut self.requests[index];
        let is_delivered = state.generated > 0;
        let progress = Progress {
            // Calls represent orders in this simulation; an order must not run twice.
            repeatable: spec.call_ms == 0.0,
            resumable: true,
            delivered: is_delivered,
            time_left: state.remaining_wait(&spec, self.now),
            time_needed: Duration::from_millis(50),
        };
        let budget = &mut self.budgets[index % self.routers.len()];
        let decision = state.retry.on_outcome(self.now, outcome, &progress, budget);
        if let RetryDecision::GiveUp { .. } = decision {
            return self.end_request(index, false);
        }
        let tried = self.backends[state.server].name.clone();
        state.tried.push(tried);
        state.attempt_first_token = None;
        self.dispatch(index);
    }

    fn end_request(&mut self, index: usize, is_complete: bool) {
        let state = &mut self.requests[index];
        state.is_complete = is_complete;
        state.ended_at = Some(self.now);
        if !is_complete {
            state.work_wasted = state.work_done;
        }
        self.open_requests -= 1;
    }

    fn crash(&mut self, server: usize) {
        self.crashes += 1;
        let backend = &mut self.backends[server];
        backend.is_up = false;
        backend.engine.reset();
        let refused = backend.gate.on_down();
        let lost_requests = std::mem::take(&mut backend.running);
        backend.accepted.clear();
        self.schedule(self.now + RESTART_DELAY, Event::Restart(server));
        let suspects: Vec<RunningRequest> = lost_requests
            .iter()
            .map(|id| self.running_request(request_index(*id)))
            .collect();
        self.suspects
            .on_crash(self.now, u64::from(self.crashes), &suspects);
        self.refuse_waiting_suspects();
        for id in lost_requests {
            self.requests[request_index(id)].has_crashed = true;
            self.on_failed(request_index(id), AttemptOutcome::Crashed);
        }
        for action in refused {
            if let Action::Refuse { id, .. } = action {
                self.on_failed(request_index(id), AttemptOutcome::RefusedNotRun);
            }
        }
    }

    /// Refuses waiting requests whose verdict has become `Refuse`, as sidecars do when they receive the suspicion.
    fn refuse_waiting_suspects(&mut self) {
        for server in 0..self.backends.len() {
            let waiting = self.backends[server]
                .accepted
                .difference(&self.backends[server].running);
            let refused: Vec<u64> = waiting
                .copied()
                .filter(|id| self.verdict(request_index(*id)) == Verdict::Refuse)
                .collect();
            for id in refused {
                let actions = self.backends[server].gate.on_finish(self.now, id);
                self.on_refused(server, id, AttemptOutcome::RefusedNotRun);
                self.apply(server, actions);
            }
        }
    }

    fn running_request(&self, index: usize) -> RunningRequest {
        let fingerprint = self.requests[index].fingerprint(index);
        RunningRequest {
            fingerprint,
            workspace: hash(&self.requests[index].job.workspace),
        }
    }

    fn restart(&mut self, server: usize) {
        self.backends[server].is_up = true;
        self.backends[server].incarnation += 1;
        self.backends[server].gate.on_up();
        self.publish_servers();
    }

    fn on_tick(&mut self) {
        for server in 0..self.backends.len() {
            let actions = self.backends[server].gate.on_tick(self.now);
            self.apply(server, actions);
        }
        self.schedule(self.now + TICK_INTERVAL, Event::Tick);
    }

    /// Advances the routers' clocks and schedules the engines' load reports.
    fn on_second(&mut self) {
        self.routers
            .iter_mut()
            .for_each(|router| router.on_tick(self.now));
        for server in 0..self.scenario.deployment.engines {
            let load = self.backends[server].gate.load();
            let running = self.backends[server].engine.running();
            let gap = load
                .token_gap
                .mul_f64(self.backends[server].engine.slowness);
            self.schedule(
                self.now + self.scenario.report_delay,
                Event::Report(server, running, gap),
            );
        }
        self.schedule(self.now + Duration::from_secs(1), Event::Second);
    }
}

fn request_index(id: u64) -> usize {
    usize::try_from(id).expect("ids are indices")
}

fn load_hint(backend: &Backend) -> LoadHint {
    let load = backend.gate.load();
    LoadHint {
        running: load.running,
        batch_limit: load.batch_limit,
        busy_by_tier: load.busy_by_tier,
        leaving: false,
    }
}

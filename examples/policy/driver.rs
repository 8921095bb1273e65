//! Driver on a virtual clock: entries, sidecars and fake backend servers of one deployment under one policy.

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
use crate::scenario::{ClassSpec, Job, Scenario, configuration};
use crate::work::{Work, hash};

const POOLS: [&str; 2] = ["models", "services"];
const DOWN_TIME: Duration = Duration::from_secs(10);
const LINK_DELAY: Duration = Duration::from_millis(1);
const TIERS: u8 = 4;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Deliver(usize),
    StepEnd(usize, u64),
    CallEnd(usize, u64),
    Crash(usize),
    Up(usize),
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
    up: bool,
    /// Attempts that the sidecar knows, running or waiting.
    known: BTreeSet<u64>,
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
    pub works: Vec<Work>,
    open: usize,
    pub crashes: u32,
}

impl Driver {
    pub fn new(scenario: &Scenario, policy: Policy, jobs: Vec<Job>) -> Self {
        let deployment = &scenario.deployment;
        let configuration = configuration(deployment);
        let zone = |index: usize| format!("zone{}", index % deployment.zones);
        let backend = |pool: usize, index: usize| Backend {
            name: format!("{}{index}", POOLS[pool]),
            pool,
            zone: zone(index),
            gate: Gate::new(policy, &configuration, pool == 0),
            engine: Engine::new(),
            incarnation: 1,
            up: true,
            known: BTreeSet::new(),
            running: BTreeSet::new(),
        };
        let models = (0..deployment.engines).map(|index| backend(0, index));
        let services = (0..deployment.workers).map(|index| backend(1, index));
        let router = |index| RouterSettings {
            tiers: TIERS,
            zone: zone(index),
            region_zones: Vec::new(),
            seed: index as u64,
        };
        let mut driver = Self {
            backends: models.chain(services).collect(),
            routers: (0..deployment.zones)
                .map(|index| Router::new(router(index)))
                .collect(),
            budgets: vec![RetryBudget::new(TIERS); deployment.zones],
            suspects: SuspectTable::default(),
            scenario: scenario.clone(),
            policy,
            now: Duration::ZERO,
            sequence: 0,
            events: BinaryHeap::new(),
            open: jobs.len(),
            works: jobs.into_iter().map(Work::new).collect(),
            crashes: 0,
        };
        driver.prepare();
        driver
    }

    fn prepare(&mut self) {
        self.publish_servers();
        for index in 0..self.works.len() {
            self.schedule(self.works[index].job.at, Event::Arrive(index));
        }
        if self.scenario.straggler {
            self.backends[0].engine.slowness = 3.0;
        }
        if self.scenario.crash {
            self.schedule(Duration::from_secs(50), Event::Crash(1));
        }
        self.schedule(Duration::ZERO, Event::Tick);
        self.schedule(Duration::ZERO, Event::Second);
    }

    /// Runs until every request has ended.
    pub fn run(&mut self) {
        while self.open > 0 {
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
            Event::Up(server) => self.restart(server),
            Event::Report(server, running, token_gap) => {
                let actions = self.backends[server]
                    .gate
                    .on_report(self.now, LoadReport { running, token_gap });
                self.apply(server, actions);
            }
            Event::Tick => self.tick(),
            Event::Second => self.second(),
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn publish_servers(&mut self) {
        for router in &mut self.routers {
            for (pool, name) in POOLS.iter().enumerate() {
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
        &self.scenario.deployment.classes[self.works[index].job.class]
    }

    /// Chooses a server for a request and sends it there.
    fn dispatch(&mut self, index: usize) {
        let pool = POOLS[usize::from(self.spec(index).call_ms > 0.0)];
        let work = &self.works[index];
        let verdict = self.verdict(index);
        if verdict == Verdict::Refuse {
            return self.end(index, false);
        }
        let entry = index % self.routers.len();
        let isolated = matches!(verdict, Verdict::Isolate { .. });
        let exclude = if isolated {
            self.all_but_trial_server(index)
        } else {
            work.tried.clone()
        };
        let request = RouteRequest {
            pool,
            tier: work.job.tier,
            prefix_hash: work.prefix_hash(),
        };
        let Some(choice) = self.routers[entry].choose(self.now, &request, &exclude) else {
            return self.after(index, AttemptOutcome::NoServer);
        };
        let found = self
            .backends
            .iter()
            .position(|backend| backend.name == choice.server);
        let work = &mut self.works[index];
        work.server = found.expect("the router knows only these servers");
        work.attempt = Some(choice.attempt);
        self.schedule(self.now + LINK_DELAY, Event::Deliver(index));
    }

    /// Returns all servers but the one that runs all copies of a suspect, one after the other, so that two copies never
    /// crash two servers at the same time. A server that crashed a short time ago is not taken, so the choice is stable.
    fn all_but_trial_server(&self, index: usize) -> Vec<String> {
        let fingerprint = self.works[index].fingerprint(index);
        let rank = |backend: &&Backend| {
            hash(&backend.name)
                .wrapping_mul(fingerprint | 1)
                .rotate_left(17)
        };
        let stable = self
            .backends
            .iter()
            .filter(|backend| backend.pool == 0 && backend.incarnation == 1 && backend.up);
        let trial = stable.max_by_key(rank).map(|backend| backend.name.clone());
        let others = self
            .backends
            .iter()
            .filter(|backend| Some(&backend.name) != trial.as_ref());
        others.map(|backend| backend.name.clone()).collect()
    }

    fn verdict(&self, index: usize) -> Verdict {
        match self.policy {
            Policy::Ours => self
                .suspects
                .verdict(self.now, self.works[index].fingerprint(index)),
            Policy::Fifo | Policy::Strict => Verdict::Normal,
        }
    }

    fn deliver(&mut self, index: usize) {
        let server = self.works[index].server;
        if !self.backends[server].up {
            return self.fail(
                index,
                AttemptOutcome::LinkLost {
                    phase: LinkPhase::NotSent,
                },
            );
        }
        let company = match self.verdict(index) {
            Verdict::Isolate { max_other_requests } => Some(max_other_requests),
            Verdict::Refuse => {
                return self.lose(server, index as u64, AttemptOutcome::RefusedNotRun);
            }
            Verdict::Normal => None,
        };
        let spec = *self.spec(index);
        let policy = self.policy;
        let work = &mut self.works[index];
        work.attempts += 1;
        let left = work.wait_left(&spec, self.now);
        // The first two servers refuse what waits long there, so that the entry tries others; the last one may queue it.
        let patience = Duration::from_millis(spec.target_ms / 4);
        let wait_limit = if policy == Policy::Ours && work.attempts <= 2 {
            left.min(patience)
        } else {
            left
        };
        let request = Request {
            id: index as u64,
            tier: work.job.tier,
            class: spec.name.to_owned(),
            workspace: work.job.workspace.clone(),
            model: "model".to_owned(),
            prompt_tokens: spec.tokens[0] + spec.tokens[1],
            max_tokens: 4_000,
            wait_limit,
            deadline: self.now + Duration::from_mins(10),
            resumable: true,
            max_other_requests: company,
        };
        self.backends[server].known.insert(index as u64);
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
                        self.lose(server, id, AttemptOutcome::Preempted);
                    }
                }
                Action::Refuse { id, .. } => self.lose(server, id, AttemptOutcome::RefusedNotRun),
            }
        }
    }

    fn start(&mut self, server: usize, id: u64) {
        let index = index(id);
        let spec = *self.spec(index);
        let work = &self.works[index];
        self.backends[server].running.insert(id);
        if spec.call_ms > 0.0 {
            return self.schedule(self.now + work.job.call, Event::CallEnd(server, id));
        }
        let context = spec.tokens[0] + spec.tokens[1] + work.generated;
        let shared = (work.prefix_hash().unwrap_or(0), spec.tokens[0]);
        self.backends[server].engine.start(id, context, shared);
        if !self.backends[server].engine.stepping {
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
        if self.backends[server].engine.steps != step || !self.backends[server].up {
            return;
        }
        let mut poisoned = false;
        for result in self.backends[server].engine.end_step() {
            let index = index(result.id);
            let repeated = self.works[index].started_before;
            self.works[index].prefilled(result.prefilled, repeated);
            if !result.token || !self.backends[server].running.contains(&result.id) {
                continue;
            }
            self.works[index].token(self.now);
            let actions = self.backends[server].gate.on_token(self.now, result.id);
            self.apply(server, actions);
            poisoned |= self.works[index].job.poison && self.works[index].generated >= 20;
            if self.works[index].generated >= self.works[index].job.answer_tokens {
                self.backends[server].engine.stop(result.id, false);
                self.complete(server, result.id);
            }
        }
        if poisoned {
            return self.crash(server);
        }
        self.begin_step(server);
    }

    fn end_call(&mut self, server: usize, id: u64) {
        if self.backends[server].running.contains(&id) {
            self.works[index(id)].done += self.works[index(id)].job.call.as_secs_f64() * 1_000.0;
            self.works[index(id)].first_token = Some(self.now);
            self.complete(server, id);
        }
    }

    fn complete(&mut self, server: usize, id: u64) {
        let index = index(id);
        let backend = &mut self.backends[server];
        backend.known.remove(&id);
        backend.running.remove(&id);
        let batch = backend.gate.load().running;
        let actions = backend.gate.on_finish(self.now, id);
        let entry = index % self.routers.len();
        self.budgets[entry].on_success(self.works[index].job.tier);
        self.suspects
            .on_success(self.now, self.works[index].fingerprint(index));
        let spec = *self.spec(index);
        let work = &mut self.works[index];
        let answer = ResponseMeasurements {
            load: Some(hint(&self.backends[server])),
            first_token: work
                .attempt_first
                .map(|(at, _)| at.saturating_sub(work.job.at)),
            pace: work.pace(&spec, self.now, batch),
            prompt_tokens: spec.tokens[0] + spec.tokens[1],
        };
        if let Some(attempt) = work.attempt.take() {
            self.routers[entry].on_response(self.now, attempt, &answer);
        }
        self.end(index, true);
        self.apply(server, actions);
    }

    /// Ends an attempt that the sidecar refused or preempted.
    fn lose(&mut self, server: usize, id: u64, outcome: AttemptOutcome) {
        let index = index(id);
        self.backends[server].known.remove(&id);
        let load = hint(&self.backends[server]);
        if let Some(attempt) = self.works[index].attempt.take() {
            self.routers[index % self.budgets.len()].on_refusal(self.now, attempt, Some(&load));
        }
        self.after(index, outcome);
    }

    /// Ends an attempt whose server failed.
    fn fail(&mut self, index: usize, outcome: AttemptOutcome) {
        if let Some(attempt) = self.works[index].attempt.take() {
            self.routers[index % self.budgets.len()].on_failure(self.now, attempt);
        }
        self.after(index, outcome);
    }

    fn after(&mut self, index: usize, outcome: AttemptOutcome) {
        let spec = *self.spec(index);
        let work = &mut self.works[index];
        let delivered = work.generated > 0;
        let progress = Progress {
            // Calls stand for orders here, which must not be repeated.
            repeatable: spec.call_ms == 0.0,
            resumable: true,
            delivered,
            time_left: work.wait_left(&spec, self.now),
            time_needed: Duration::from_millis(50),
        };
        let budget = &mut self.budgets[index % self.routers.len()];
        let decision = work.retry.on_outcome(self.now, outcome, &progress, budget);
        if let RetryDecision::GiveUp { .. } = decision {
            return self.end(index, false);
        }
        let tried = self.backends[work.server].name.clone();
        work.tried.push(tried);
        work.attempt_first = None;
        self.dispatch(index);
    }

    fn end(&mut self, index: usize, complete: bool) {
        let work = &mut self.works[index];
        work.complete = complete;
        work.ended_at = Some(self.now);
        if !complete {
            work.wasted = work.done;
        }
        self.open -= 1;
    }

    fn crash(&mut self, server: usize) {
        self.crashes += 1;
        let backend = &mut self.backends[server];
        backend.up = false;
        backend.engine.reset();
        let refused = backend.gate.on_down();
        let lost = std::mem::take(&mut backend.running);
        backend.known.clear();
        self.schedule(self.now + DOWN_TIME, Event::Up(server));
        let suspects: Vec<RunningRequest> =
            lost.iter().map(|id| self.suspect(index(*id))).collect();
        self.suspects
            .on_crash(self.now, u64::from(self.crashes), &suspects);
        self.refuse_waiting_suspects();
        for id in lost {
            self.works[index(id)].started_before = true;
            self.fail(index(id), AttemptOutcome::Crashed);
        }
        for action in refused {
            if let Action::Refuse { id, .. } = action {
                self.fail(index(id), AttemptOutcome::RefusedNotRun);
            }
        }
    }

    /// Removes waiting copies of a request that is to be refused from now on, as sidecars do when they hear of it.
    fn refuse_waiting_suspects(&mut self) {
        for server in 0..self.backends.len() {
            let waiting = self.backends[server]
                .known
                .difference(&self.backends[server].running);
            let refused: Vec<u64> = waiting
                .copied()
                .filter(|id| self.verdict(index(*id)) == Verdict::Refuse)
                .collect();
            for id in refused {
                let actions = self.backends[server].gate.on_finish(self.now, id);
                self.lose(server, id, AttemptOutcome::RefusedNotRun);
                self.apply(server, actions);
            }
        }
    }

    fn suspect(&self, index: usize) -> RunningRequest {
        let fingerprint = self.works[index].fingerprint(index);
        RunningRequest {
            fingerprint,
            workspace: hash(&self.works[index].job.workspace),
        }
    }

    fn restart(&mut self, server: usize) {
        self.backends[server].up = true;
        self.backends[server].incarnation += 1;
        self.backends[server].gate.on_up();
        self.publish_servers();
    }

    fn tick(&mut self) {
        for server in 0..self.backends.len() {
            let actions = self.backends[server].gate.on_tick(self.now);
            self.apply(server, actions);
        }
        self.schedule(self.now + TICK_INTERVAL, Event::Tick);
    }

    fn second(&mut self) {
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
                self.now + self.scenario.report_lag,
                Event::Report(server, running, gap),
            );
        }
        self.schedule(self.now + Duration::from_secs(1), Event::Second);
    }
}

fn index(id: u64) -> usize {
    usize::try_from(id).expect("ids are indices")
}

fn hint(backend: &Backend) -> LoadHint {
    let load = backend.gate.load();
    LoadHint {
        running: load.running,
        batch_limit: load.batch_limit,
        busy_by_tier: load.busy_by_tier,
        leaving: false,
    }
}

//! Plays a load with one policy and one seed on a virtual clock.

use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;
use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tanagerford_core::dispatch::{
    BUSY_RETRY_AFTER, BudgetLimits, CallNumber, CallOutcome, GATE_POLL_INTERVAL, GateDecision,
    MAX_ATTEMPTS_PER_CALL, OVERLOAD_RETRY_AFTER, PROBE_INTERVAL, RemainingTime, ReportedLoad,
    ServerSpec, lower_ranks_latency, server_number,
};
use tanagerford_core::exchange::{EntryNumber, Message};
use tanagerford_core::ids::ServerId;

use crate::arrivals::{Job, arrivals};
use crate::engine::{Engine, EngineRequest, StepOutput};
use crate::entry::{Entry, Target, entry_number, server_specs, zone_name};
use crate::load::{Class, DisturbanceKind, Load, Placement, Policy};
use crate::processor::{Processor, Work};
use crate::report::{Outcome, Played};
use crate::service::PlainServer;

/// Share of the time left up to which callers wait as they are told, as a fraction.
const RETRY_SHARE: u32 = 3;
/// Time after which work for a caller that has left counts.
const LEAVING_SLACK: Duration = Duration::from_millis(500);
/// Time beyond the last arrival for which answers are awaited.
const TAIL: Duration = Duration::from_secs(15);

/// Position in the list of calls.
type CallIndex = usize;

/// What happens at a moment of the virtual clock.
#[derive(Debug)]
enum Event {
    /// A caller's request arrives at an entry.
    Arrives(CallIndex),
    /// A call that waits for room looks again.
    LooksForRoom(CallIndex),
    /// A call arrives at its server.
    Reaches(CallIndex, CallNumber),
    /// The step of an engine ends; the second number tells steps before a crash from later ones.
    StepEnds(usize, u64),
    /// A request of a plain server ends.
    ServiceEnds(usize, CallIndex, CallNumber),
    /// Something of a server's answer arrives at the entry.
    Answers(CallIndex, CallNumber, Part),
    /// An entry sends the messages that are due.
    Tells(usize),
    /// A message arrives at an entry.
    Hears(usize, Rc<Message>),
    /// The caller leaves.
    Leaves(CallIndex),
    /// The entry notices that the caller has left.
    NoticesLeaving(CallIndex),
    /// An entry measures how late it runs.
    Probes(usize),
    /// The processor of an entry is free for what waits.
    IsFree(usize),
    /// A disturbance begins.
    Begins(usize),
    /// A disturbance ends.
    Ends(usize),
}

/// Part of a server's answer.
#[derive(Debug, Clone, Copy)]
enum Part {
    /// An event of a stream, or the whole answer of a plain service.
    Data {
        is_last: bool,
        is_first: bool,
        load: ReportedLoad,
    },
    /// The server did not take the request.
    Refused(ReportedLoad),
    /// The connection broke.
    Lost,
}

/// Event with its time; the earliest is the greatest, events of one moment keep their order.
#[derive(Debug)]
struct Timed {
    at: Duration,
    order: u64,
    event: Event,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// Call on its way.
#[derive(Debug)]
struct Call {
    job: Job,
    entry: usize,
    target: Target,
    /// Arrival of the present try at its entry.
    arrived: Duration,
    tries: u32,
    tried: Vec<ServerId>,
    runs: u32,
    /// Attempt in flight with its server.
    attempt: Option<(CallNumber, usize)>,
    events: u32,
    first_event: Option<Duration>,
    last_event: Duration,
    longest_pause: Duration,
    outcome: Option<Outcome>,
    /// Time at which the caller left, if it did.
    left: Option<Duration>,
    /// Whether the entry knows that the call has ended.
    is_over: bool,
    /// Whether it is in flight at its entry.
    flies: bool,
}

/// State of a run.
struct Simulation<'a> {
    load: &'a Load,
    policy: &'a Policy,
    random: Pcg64,
    now: Duration,
    queue: BinaryHeap<Timed>,
    order: u64,
    next_attempt: CallNumber,
    entries: Vec<Entry>,
    /// Calls in flight at each entry.
    flights: Vec<usize>,
    /// Processors of the entries.
    processors: Vec<Processor<Event>>,
    /// Positions of the entries by their numbers in messages.
    positions: BTreeMap<EntryNumber, usize>,
    engines: Vec<Engine>,
    /// Count of the crashes of each engine.
    engine_boots: Vec<u64>,
    services: Vec<PlainServer>,
    engine_specs: Vec<ServerSpec>,
    service_specs: Vec<ServerSpec>,
    calls: Vec<Call>,
    /// Calls by the numbers of their attempts at engines.
    attempts: BTreeMap<CallNumber, CallIndex>,
    disturbed: Vec<Vec<usize>>,
    limits: BudgetLimits,
    played: Played,
}

/// Plays a load with a policy.
///
/// # Examples
///
/// ```
/// use tanagerford_emulator::{load, simulation};
///
/// let content = include_bytes!("../loads/small.json");
/// let load = load::decode(content).unwrap();
/// let played = simulation::play(&load, &load.policies[0], 1);
/// let again = simulation::play(&load, &load.policies[0], 1);
/// assert_eq!(played, again);
/// ```
#[must_use]
pub fn play(load: &Load, policy: &Policy, seed: u64) -> Played {
    let mut simulation = Simulation::new(load, policy, seed);
    simulation.run();
    simulation.finish()
}

impl<'a> Simulation<'a> {
    fn new(load: &'a Load, policy: &'a Policy, seed: u64) -> Self {
        let mut random = Pcg64::seed_from_u64(seed);
        let jobs = arrivals(load, &mut random);
        let engine_specs = server_specs(load, Target::Engines);
        let service_specs = server_specs(load, Target::Services);
        let engines = load.engines.iter().flat_map(|pool| {
            let speeds = pool.speeds.iter().cycle();
            let engines = engine_specs.iter().zip(speeds);
            engines.map(|(_, speed)| Engine::new(pool, *speed))
        });
        let engines: Vec<Engine> = engines.collect();
        let services = load.services.iter().flat_map(|pool| {
            let servers = service_specs.iter();
            servers.map(|_| PlainServer::new(pool))
        });
        let entries = 0..load.zones * load.entries_per_zone;
        let mut simulation = Self {
            load,
            policy,
            random,
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            order: 0,
            next_attempt: 1,
            positions: entries
                .clone()
                .map(|index| (entry_number(index), index))
                .collect(),
            flights: vec![0; entries.len()],
            processors: entries
                .clone()
                .map(|index| Processor::new(load.processors.as_ref(), index / load.zones))
                .collect(),
            entries: entries
                .map(|index| Entry::new(load, policy, index))
                .collect(),
            engine_boots: vec![0; engines.len()],
            engines,
            services: services.collect(),
            engine_specs,
            service_specs,
            calls: Vec::new(),
            attempts: BTreeMap::new(),
            disturbed: vec![Vec::new(); load.disturbances.len()],
            limits: BudgetLimits {
                ratio: load.budget.ratio,
                extra: load.budget.extra,
                window: Duration::from_secs_f64(load.budget.window_s),
            },
            played: Played::new(load),
        };
        for job in jobs {
            simulation.add_call(job);
        }
        for entry in 0..simulation.processors.len() {
            if simulation.processors[entry].takes_time() {
                simulation.schedule(Duration::ZERO, Event::Probes(entry));
            }
        }
        for (index, disturbance) in load.disturbances.iter().enumerate() {
            let at = Duration::from_secs_f64(disturbance.at_s);
            simulation.schedule(at, Event::Begins(index));
            let end = at + Duration::from_secs_f64(disturbance.for_s);
            simulation.schedule(end, Event::Ends(index));
        }
        simulation
    }

    fn add_call(&mut self, job: Job) {
        let class = &self.load.classes[job.class];
        let target = if class.stream.is_some() {
            Target::Engines
        } else {
            Target::Services
        };
        let at = job.at + milliseconds(self.load.network.caller_ms);
        let leaves = job.at + job.patience;
        let call = Call {
            entry: self.pick_entry(job.zone),
            job,
            target,
            arrived: at,
            tries: 0,
            tried: Vec::new(),
            runs: 0,
            attempt: None,
            events: 0,
            first_event: None,
            last_event: Duration::ZERO,
            longest_pause: Duration::ZERO,
            outcome: None,
            left: None,
            is_over: false,
            flies: false,
        };
        let index = self.calls.len();
        self.calls.push(call);
        self.schedule(at, Event::Arrives(index));
        self.schedule(leaves, Event::Leaves(index));
    }

    fn pick_entry(&mut self, zone: usize) -> usize {
        let in_zone = self.random.random_range(0..self.load.entries_per_zone);
        in_zone * self.load.zones + zone
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.order += 1;
        let order = self.order;
        self.queue.push(Timed { at, order, event });
    }

    fn run(&mut self) {
        let end = self.load.length() + TAIL;
        while let Some(Timed { at, event, .. }) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            match self.work(&event) {
                Some((entry, work)) => self.run_at(entry, work, event),
                None => self.on_event(event),
            }
        }
    }

    /// Returns the entry whose processor runs what an event brings, and the kind of work.
    fn work(&self, event: &Event) -> Option<(usize, Work)> {
        match event {
            Event::Arrives(index) => Some((self.calls[*index].entry, Work::Request)),
            Event::LooksForRoom(index)
            | Event::Answers(index, ..)
            | Event::NoticesLeaving(index) => Some((self.calls[*index].entry, Work::Event)),
            Event::Probes(entry) => Some((*entry, Work::Event)),
            Event::Tells(entry) | Event::Hears(entry, _) => Some((*entry, Work::Message)),
            _ => None,
        }
    }

    /// Runs work at an entry, or lets it wait for the processor.
    fn run_at(&mut self, entry: usize, work: Work, event: Event) {
        if let Some(event) = self.processors[entry].offer(self.now, event) {
            self.take_time(entry, work);
            self.on_event(event);
        }
    }

    fn take_time(&mut self, entry: usize, work: Work) {
        if let Some(end) = self.processors[entry].run(self.now, work) {
            self.schedule(end, Event::IsFree(entry));
        }
    }

    fn run_next(&mut self, entry: usize) {
        if let Some(event) = self.processors[entry].next(self.now) {
            if let Some((entry, work)) = self.work(&event) {
                self.take_time(entry, work);
            }
            self.on_event(event);
        }
    }

    fn probe(&mut self, entry: usize) {
        if let Some(gate) = &mut self.entries[entry].overload {
            let calls = self.flights[entry];
            gate.on_probe(self.now, calls);
        }
        if self.now < self.load.length() {
            self.schedule(self.now + PROBE_INTERVAL, Event::Probes(entry));
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Arrives(index) => self.arrives(index),
            Event::LooksForRoom(index) => self.look_for_room(index),
            Event::Reaches(index, attempt) => self.reaches(index, attempt),
            Event::StepEnds(engine, boot) => self.step_ends(engine, boot),
            Event::ServiceEnds(server, index, attempt) => self.service_ends(server, index, attempt),
            Event::Answers(index, attempt, part) => self.answers(index, attempt, part),
            Event::Tells(entry) => self.tell(entry),
            Event::Hears(entry, message) => self.hear(entry, &message),
            Event::Leaves(index) => self.leaves(index),
            Event::NoticesLeaving(index) => self.notices_leaving(index),
            Event::Probes(entry) => self.probe(entry),
            Event::IsFree(entry) => self.run_next(entry),
            Event::Begins(index) => self.begin(index),
            Event::Ends(index) => self.end(index),
        }
    }

    fn arrives(&mut self, index: CallIndex) {
        let call = &mut self.calls[index];
        if call.is_over {
            return;
        }
        let class = &self.load.classes[call.job.class];
        call.arrived = self.now;
        call.tried.clear();
        let (entry, target) = (call.entry, call.target);
        if let Some(gate) = &mut self.entries[entry].overload {
            call.arrived = self.now.saturating_sub(gate.delay().latest(self.now));
            let (rank, objective) = match target {
                Target::Engines => (class.rank, longest_objective(self.load, class)),
                Target::Services => (0, milliseconds(class.objective_ms)),
            };
            if !gate.admits(self.now, rank, objective, self.flights[entry]) {
                return self.refuse(index, BUSY_RETRY_AFTER);
            }
        }
        self.calls[index].flies = true;
        self.flights[entry] += 1;
        let limits = self.limits;
        self.entries[entry]
            .budget(target)
            .on_request(self.now, &limits);
        self.look_for_room(index);
    }

    fn look_for_room(&mut self, index: CallIndex) {
        let call = &self.calls[index];
        if call.is_over {
            return;
        }
        let class = &self.load.classes[call.job.class];
        if self.policy.placement == Placement::Cost && call.target == Target::Engines {
            let objective = milliseconds(class.objective_ms);
            let waited = self.now.saturating_sub(call.arrived);
            let entry = &mut self.entries[call.entry];
            let choice = entry.choose(
                self.now,
                call.target,
                &call.job.demand,
                &[],
                &self.engine_specs,
            );
            if let Some(choice) = choice {
                let longest = longest_objective(self.load, class);
                let left = RemainingTime::after(waited, objective, longest);
                match entry.decide_room(self.now, &choice, class.rank, left) {
                    GateDecision::Admit => {}
                    GateDecision::Wait => {
                        let at = self.now + GATE_POLL_INTERVAL;
                        return self.schedule(at, Event::LooksForRoom(index));
                    }
                    GateDecision::Refuse => return self.refuse(index, OVERLOAD_RETRY_AFTER),
                }
            }
        }
        self.send(index);
    }

    /// Sends a call to the cheapest server that was not tried.
    fn send(&mut self, index: CallIndex) {
        let now = self.now;
        let call = &mut self.calls[index];
        let specs = match call.target {
            Target::Engines => &self.engine_specs,
            Target::Services => &self.service_specs,
        };
        let entry = &mut self.entries[call.entry];
        let choice = entry.choose(now, call.target, &call.job.demand, &call.tried, specs);
        let Some(choice) = choice else {
            return self.refuse(index, OVERLOAD_RETRY_AFTER);
        };
        let position = specs.iter().position(|spec| spec.id == choice.server);
        let Some(server) = position else {
            return self.refuse(index, OVERLOAD_RETRY_AFTER);
        };
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        let demand = &call.job.demand;
        entry
            .pool(call.target)
            .on_start(now, &choice.server, attempt, demand);
        let number = server_number(&choice.server);
        entry.exchange.on_sent(now, number, &demand.parts);
        call.tried.push(choice.server);
        call.attempt = Some((attempt, server));
        let is_far = specs[server].zone != zone_name(entry.zone);
        if is_far {
            self.played.cross_zone_bytes += u64::try_from(demand.body_bytes).unwrap_or(0);
        }
        self.played.sends += 1;
        let entry = call.entry;
        self.take_time(entry, Work::Send);
        let delay = self.server_delay(is_far);
        self.attempts.insert(attempt, index);
        self.schedule(now + delay, Event::Reaches(index, attempt));
        self.schedule_messages(entry);
    }

    fn server_delay(&self, is_far: bool) -> Duration {
        let network = self.load.network;
        milliseconds(if is_far {
            network.cross_zone_ms
        } else {
            network.in_zone_ms
        })
    }

    /// Returns the delay between a call's entry and a server.
    fn delay_to(&self, index: CallIndex, server: usize) -> Duration {
        let call = &self.calls[index];
        let specs = match call.target {
            Target::Engines => &self.engine_specs,
            Target::Services => &self.service_specs,
        };
        self.server_delay(specs[server].zone != zone_name(self.entries[call.entry].zone))
    }

    fn reaches(&mut self, index: CallIndex, attempt: CallNumber) {
        let call = &self.calls[index];
        let Some((current, server)) = call.attempt else {
            return;
        };
        if current != attempt || call.is_over {
            return;
        }
        if call
            .left
            .is_some_and(|at| self.now.saturating_sub(at) > LEAVING_SLACK)
        {
            self.played.sent_after_leaving += 1;
        }
        if call.target == Target::Services {
            return self.reaches_service(index, attempt, server);
        }
        let class = &self.load.classes[call.job.class];
        let event_tokens = self
            .load
            .engines
            .as_ref()
            .map_or(1, |pool| pool.event_tokens);
        let request = EngineRequest {
            number: attempt,
            urgency: self.entries[call.entry].urgency(class.rank),
            parts: call.job.demand.parts.clone(),
            prompt_tokens: call.job.demand.prompt_tokens,
            output_tokens: call.job.output_tokens,
            resumed_tokens: call.events * event_tokens,
        };
        let is_down = self.is_down(server);
        if !is_down && self.engines[server].submit(request) {
            self.start_step(server);
            return;
        }
        let delay = self.delay_to(index, server);
        let part = if is_down {
            Part::Lost
        } else {
            Part::Refused(self.engines[server].load())
        };
        self.schedule(self.now + delay, Event::Answers(index, attempt, part));
    }

    fn reaches_service(&mut self, index: CallIndex, attempt: CallNumber, server: usize) {
        let work = self.calls[index].job.work;
        match self.services[server].submit(attempt) {
            Some(true) => {
                self.schedule(self.now + work, Event::ServiceEnds(server, index, attempt));
            }
            Some(false) => {}
            None => {
                let part = Part::Refused(self.services[server].load());
                let delay = self.delay_to(index, server);
                self.schedule(self.now + delay, Event::Answers(index, attempt, part));
            }
        }
    }

    fn start_step(&mut self, engine: usize) {
        if self.engines[engine].is_stepping() {
            return;
        }
        if let Some(length) = self.engines[engine].begin_step() {
            let boot = self.engine_boots[engine];
            self.schedule(self.now + length, Event::StepEnds(engine, boot));
        }
    }

    fn step_ends(&mut self, engine: usize, boot: u64) {
        if self.engine_boots[engine] != boot {
            return;
        }
        let first_token = self
            .load
            .engines
            .as_ref()
            .map_or(0.0, |pool| pool.first_token_ms);
        for output in self.engines[engine].end_step() {
            let StepOutput::Event {
                number,
                is_last,
                is_first,
            } = output
            else {
                continue;
            };
            let Some(index) = self.attempts.get(&number).copied() else {
                continue;
            };
            let load = self.engines[engine].load();
            let mut at = self.now + self.delay_to(index, engine);
            // What an engine needs beside queue and reading delays the whole answer, not the other requests.
            at += milliseconds(first_token);
            let part = Part::Data {
                is_last,
                is_first,
                load,
            };
            self.schedule(at, Event::Answers(index, number, part));
        }
        self.start_step(engine);
    }

    fn service_ends(&mut self, server: usize, index: CallIndex, attempt: CallNumber) {
        let load = self.services[server].load();
        self.free_service(server, attempt);
        let delay = self.delay_to(index, server);
        let part = Part::Data {
            is_last: true,
            is_first: true,
            load,
        };
        self.schedule(self.now + delay, Event::Answers(index, attempt, part));
    }

    /// Frees a slot of a plain server and starts the next request in it.
    fn free_service(&mut self, server: usize, attempt: CallNumber) {
        if let Some(next) = self.services[server].end(attempt)
            && let Some(index) = self.attempts.get(&next).copied()
        {
            let work = self.calls[index].job.work;
            self.schedule(self.now + work, Event::ServiceEnds(server, index, next));
        }
    }

    fn answers(&mut self, index: CallIndex, attempt: CallNumber, part: Part) {
        let call = &self.calls[index];
        let Some((current, server)) = call.attempt else {
            return;
        };
        if current != attempt || call.is_over {
            return;
        }
        match part {
            Part::Data {
                is_last,
                is_first,
                load,
            } => self.on_data(index, attempt, server, (is_last, is_first), load),
            Part::Refused(load) => {
                self.end_attempt(index, attempt, server, CallOutcome::Refused);
                self.with_pool(index, |pool, id, now| pool.on_load(now, id, load));
                self.repeat(index, true);
            }
            Part::Lost => {
                self.end_attempt(index, attempt, server, CallOutcome::Broken);
                self.calls[index].runs += 1;
                self.repeat(index, false);
            }
        }
    }

    fn on_data(
        &mut self,
        index: CallIndex,
        attempt: CallNumber,
        server: usize,
        (is_last, is_first): (bool, bool),
        load: ReportedLoad,
    ) {
        if is_first {
            let end = CallOutcome::Answered { slowness: 1.0 };
            self.with_pool(index, |pool, id, now| {
                pool.on_outcome(now, id, end);
                pool.on_load(now, id, load);
                pool.on_first_part(now, id, attempt);
            });
            let entry = self.calls[index].entry;
            self.changed(entry);
        }
        let received = self.now + milliseconds(self.load.network.caller_ms);
        let call = &mut self.calls[index];
        call.events += 1;
        let pause = call
            .first_event
            .is_some()
            .then(|| received.saturating_sub(call.last_event));
        call.first_event.get_or_insert(received);
        call.longest_pause = call.longest_pause.max(pause.unwrap_or_default());
        call.last_event = received;
        if let Some(pause) = pause {
            self.with_pool(index, |pool, id, now| pool.on_pause(now, id, pause));
        }
        if is_last {
            self.end_attempt(
                index,
                attempt,
                server,
                CallOutcome::Answered { slowness: 1.0 },
            );
            self.complete(index);
        }
    }

    /// Runs `act` on the beliefs about the server of a call's last attempt.
    fn with_pool(
        &mut self,
        index: CallIndex,
        act: impl FnOnce(&mut tanagerford_core::dispatch::Pool, &str, Duration),
    ) {
        let call = &self.calls[index];
        if let Some(server) = call.tried.last() {
            act(self.entries[call.entry].pool(call.target), server, self.now);
        }
    }

    fn end_attempt(
        &mut self,
        index: CallIndex,
        attempt: CallNumber,
        server: usize,
        end: CallOutcome,
    ) {
        self.with_pool(index, |pool, id, now| {
            if !matches!(end, CallOutcome::Answered { .. }) {
                pool.on_outcome(now, id, end);
            }
            pool.on_end(id, attempt);
        });
        self.attempts.remove(&attempt);
        let call = &mut self.calls[index];
        call.attempt = None;
        let (entry, target) = (call.entry, call.target);
        self.changed(entry);
        if target == Target::Engines {
            self.engines[server].cancel(attempt);
        } else {
            self.free_service(server, attempt);
        }
    }

    /// Sends a call to another server after a refusal or a broken connection, as far as budget and class allow it.
    fn repeat(&mut self, index: CallIndex, is_not_run: bool) {
        let entries = self.entries.len();
        let limits = self.limits;
        let call = &self.calls[index];
        let class = &self.load.classes[call.job.class];
        let may_run_again = class.max_attempts > call.runs;
        let may_repeat = call.tried.len() < MAX_ATTEMPTS_PER_CALL && (is_not_run || may_run_again);
        let target = call.target;
        let entry = &mut self.entries[call.entry];
        if may_repeat && entry.budget(target).try_retry(self.now, &limits, entries) {
            self.played.repeats += 1;
            self.send(index);
        } else if is_not_run && self.calls[index].runs == 0 {
            self.refuse(index, OVERLOAD_RETRY_AFTER);
        } else {
            self.set_outcome(index, Outcome::Failed);
        }
    }

    /// Tells the caller that its request has not run; it comes back as it sees fit.
    fn refuse(&mut self, index: CallIndex, retry_after: Duration) {
        self.lands(index);
        let call = &mut self.calls[index];
        let left = (call.job.at + call.job.patience).saturating_sub(self.now);
        let wait = if call.job.is_abusive {
            Duration::ZERO
        } else {
            retry_after.min(left / RETRY_SHARE)
        };
        if call.tries >= call.job.retries || left.is_zero() {
            return self.set_outcome(index, Outcome::Refused);
        }
        call.tries += 1;
        let zone = call.job.zone;
        let entry = self.pick_entry(zone);
        self.calls[index].entry = entry;
        let way = milliseconds(self.load.network.caller_ms) * 2;
        self.schedule(self.now + wait + way, Event::Arrives(index));
    }

    fn complete(&mut self, index: CallIndex) {
        let call = &self.calls[index];
        let class = &self.load.classes[call.job.class];
        let objective = milliseconds(class.objective_ms);
        let first = call.first_event.unwrap_or(self.now);
        let pause = class.stream.as_ref().map(|stream| stream.pause_ms);
        let is_paused = pause.is_some_and(|limit| call.longest_pause > milliseconds(limit));
        let is_slow = first.saturating_sub(call.job.at) > objective;
        let outcome = match (is_slow, is_paused) {
            (false, false) => Outcome::OnTime,
            (true, _) => Outcome::LateStart,
            (false, true) => Outcome::Paused,
        };
        self.set_outcome(index, outcome);
    }

    fn leaves(&mut self, index: CallIndex) {
        let now = self.now;
        let call = &mut self.calls[index];
        if call.outcome.is_some() {
            return;
        }
        call.left = Some(now);
        let outcome = if call.job.gives_up {
            Outcome::GaveUp
        } else if call.tried.is_empty() {
            Outcome::Refused
        } else {
            Outcome::Failed
        };
        let entry = call.entry;
        self.record(index, outcome);
        self.run_at(entry, Work::Event, Event::NoticesLeaving(index));
    }

    fn notices_leaving(&mut self, index: CallIndex) {
        self.lands(index);
        let call = &mut self.calls[index];
        call.is_over = true;
        if call
            .left
            .is_some_and(|at| self.now.saturating_sub(at) > LEAVING_SLACK)
        {
            self.played.noticed_late += 1;
        }
        if let Some((attempt, server)) = call.attempt {
            self.end_attempt(index, attempt, server, CallOutcome::TimedOut);
        }
    }

    /// Records that a call is no longer in flight at its entry.
    fn lands(&mut self, index: CallIndex) {
        let call = &mut self.calls[index];
        if std::mem::take(&mut call.flies) {
            self.flights[call.entry] -= 1;
        }
    }

    fn set_outcome(&mut self, index: CallIndex, outcome: Outcome) {
        self.lands(index);
        self.calls[index].is_over = true;
        self.record(index, outcome);
    }

    /// Records what the caller got, unless it has left before.
    fn record(&mut self, index: CallIndex, outcome: Outcome) {
        let call = &mut self.calls[index];
        if call.outcome.is_none() {
            call.outcome = Some(outcome);
            let first = call.first_event.map(|at| at.saturating_sub(call.job.at));
            self.played.record(&call.job, outcome, first);
        }
    }

    /// Records that the load of an entry has changed.
    fn changed(&mut self, entry: usize) {
        self.entries[entry].exchange.on_change(self.now);
        self.schedule_messages(entry);
    }

    /// Schedules the next messages of an entry.
    fn schedule_messages(&mut self, entry: usize) {
        let state = &mut self.entries[entry];
        let due = state.exchange.next_due();
        if self.policy.summaries.enabled && due < state.asked_at {
            state.asked_at = due;
            self.schedule(due, Event::Tells(entry));
        }
    }

    fn tell(&mut self, entry: usize) {
        let now = self.now;
        let state = &mut self.entries[entry];
        state.asked_at = Duration::MAX;
        let zone = state.zone;
        for outgoing in state.due(now) {
            let message = Rc::new(outgoing.message);
            for receiver in outgoing.receivers {
                let Some(other) = self.positions.get(&receiver).copied() else {
                    continue;
                };
                self.played.messages += 1;
                let at = now + self.server_delay(self.entries[other].zone != zone);
                self.schedule(at, Event::Hears(other, Rc::clone(&message)));
            }
        }
        if now < self.load.length() {
            self.schedule_messages(entry);
        }
    }

    fn hear(&mut self, entry: usize, message: &Message) {
        self.entries[entry].on_message(self.now, message);
        self.schedule_messages(entry);
    }

    fn begin(&mut self, index: usize) {
        let kind = &self.load.disturbances[index].kind;
        match kind {
            DisturbanceKind::SlowEngines { share, x } => {
                for engine in self.pick_engines(index, *share) {
                    self.engines[engine].set_slowness(*x);
                }
            }
            DisturbanceKind::CrashedEngines { share } => {
                for engine in self.pick_engines(index, *share) {
                    self.crash(engine);
                }
            }
            _ => {}
        }
    }

    fn pick_engines(&mut self, index: usize, share: f64) -> Vec<usize> {
        let mut all: Vec<usize> = (0..self.engines.len()).collect();
        all.shuffle(&mut self.random);
        let wanted = f64::from(u32::try_from(all.len()).unwrap_or(0)) * share;
        let taken = all.iter().take_while({
            let mut taken = 0.0;
            move |_| {
                taken += 1.0;
                taken <= wanted.ceil()
            }
        });
        let picked: Vec<usize> = taken.copied().collect();
        self.disturbed[index].clone_from(&picked);
        picked
    }

    fn crash(&mut self, engine: usize) {
        self.engine_boots[engine] += 1;
        for attempt in self.engines[engine].crash() {
            if let Some(index) = self.attempts.get(&attempt).copied() {
                let at = self.now + self.delay_to(index, engine);
                self.schedule(at, Event::Answers(index, attempt, Part::Lost));
            }
        }
    }

    fn end(&mut self, index: usize) {
        let picked = std::mem::take(&mut self.disturbed[index]);
        if matches!(
            self.load.disturbances[index].kind,
            DisturbanceKind::SlowEngines { .. }
        ) {
            for engine in picked {
                self.engines[engine].set_slowness(1.0);
            }
        }
    }

    fn is_down(&self, engine: usize) -> bool {
        let pairs = self.load.disturbances.iter().zip(&self.disturbed);
        pairs
            .filter(|(one, _)| matches!(one.kind, DisturbanceKind::CrashedEngines { .. }))
            .any(|(_, picked)| picked.contains(&engine))
    }

    fn finish(mut self) -> Played {
        self.played.prefilled_tokens = self.engines.iter().map(|one| one.prefilled_tokens).sum();
        self.played.preempted = self.engines.iter().map(|one| one.preempted).sum();
        self.played
    }
}

/// Returns the longest objective of the streams that have the class's rank or a lower one.
fn longest_objective(load: &Load, class: &Class) -> Duration {
    let rank = |class: &Class| (class.rank, milliseconds(class.objective_ms));
    let classes = load.classes.iter();
    let streams = classes.filter(|other| other.stream.is_some());
    lower_ranks_latency(rank(class), streams.map(rank))
}

fn milliseconds(value: f64) -> Duration {
    Duration::from_secs_f64((value / 1_000.0).max(0.0))
}

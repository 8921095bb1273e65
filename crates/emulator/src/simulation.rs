//! Discrete-event simulation of a load with one policy and one seed.

use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;
use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tanagerford_core::availability::{self, PoolAvailability, TrialCall};
use tanagerford_core::dispatch::{
    Arrival, ArrivingCall, BUSY_RETRY_AFTER, BudgetLimits, CallNumber, CallOutcome, EntryShare,
    GATE_POLL_INTERVAL, GateDecision, MAX_ATTEMPTS_PER_CALL, OVERLOAD_RETRY_AFTER, PROBE_INTERVAL,
    PromptPart, Rank, RemainingTime, ReportedLoad, ServerSpec, WaiterNumber, lower_ranks_latency,
    server_number,
};
use tanagerford_core::exchange::{EntryNumber, Message};
use tanagerford_core::ids::ServerId;
use tanagerford_core::server_limit::{
    GRANT_WAIT, LimitStatement, PermitMessage, Place, Selection, max_wait, retry_after, room_after,
};

use crate::arrivals::{Job, arrivals};
use crate::engine::{Engine, EngineRequest, StepOutput};
use crate::entry::{Entry, Target, entry_number, limit_key, server_specs, zone_name};
use crate::links::Links;
use crate::load::{Class, DisturbanceKind, Load, Placement, Policy};
use crate::processor::{Processor, WorkKind};
use crate::report::{LimitedEngine, Outcome, RestingEngine, RunResult};
use crate::service::PlainServer;

/// Callers wait for the advised time before a retry, but at most for this fraction (1/3) of their remaining time.
const RETRY_WAIT_DIVISOR: u32 = 3;
/// Delay after a caller's disconnect up to which a call that reaches a server, or the entry's notice of the disconnect,
/// is not counted as late.
const DISCONNECT_SLACK: Duration = Duration::from_millis(500);
/// Time after the last arrival for which the simulation continues, so that requests can complete.
const DRAIN_TIME: Duration = Duration::from_secs(15);

/// Interval at which a call that waits for a grant looks for a server again.
const GRANT_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Position in the list of calls.
type CallIndex = usize;

/// Event at a time of the virtual clock.
#[derive(Debug)]
enum Event {
    /// A caller's request arrives at an entry.
    RequestArrives(CallIndex),
    /// A waiting long prompt asks for admission again.
    PollGate(CallIndex),
    /// An engine has copied the first parts of a prompt, or found none at the other engine.
    FetchEnds(CallIndex, CallNumber, Vec<PromptPart>),
    /// A call arrives at its server.
    CallArrives(CallIndex, CallNumber),
    /// A step of an engine ends. The second number is the engine's crash count at the start of the step; it identifies
    /// steps that a crash has interrupted.
    StepEnds(usize, u64),
    /// A plain server completes a request.
    ServiceEnds(usize, CallIndex, CallNumber),
    /// A message of a server about an attempt arrives at the entry.
    ServerReplies(CallIndex, CallNumber, Reply),
    /// An entry sends the load summaries that are due.
    SendMessages(usize),
    /// A message of another entry arrives at an entry.
    MessageArrives(usize, Rc<Message>),
    /// An entry sends the messages about permits that are due.
    SendPermits(usize),
    /// A message of another entry about permits arrives at an entry.
    PermitsArrive(usize, Rc<PermitMessage>),
    /// A call that waits for a permit looks for a server again.
    PollPermits(CallIndex),
    /// The caller disconnects or reaches its timeout.
    CallerLeaves(CallIndex),
    /// The entry notices the caller's disconnect.
    LeavingNoticed(CallIndex),
    /// An entry measures its processor delay.
    ProbeProcessor(usize),
    /// The processor of an entry is free for queued work.
    ProcessorFree(usize),
    DisturbanceBegins(usize),
    DisturbanceEnds(usize),
}

/// Message of a server about an attempt.
#[derive(Debug, Clone, Copy)]
enum Reply {
    /// An event of a stream, or the whole response of a plain service.
    Data {
        is_last: bool,
        is_first: bool,
        load: ReportedLoad,
        /// Limit that the server names in the head of its answer.
        limit: Option<f64>,
    },
    /// The server refused the request without running it, and may have asked for a rest.
    Refused {
        load: ReportedLoad,
        rest: Option<Duration>,
    },
    /// The connection broke; the server may have run the request.
    Lost,
}

/// Event with its time. The ordering is reversed for the max-heap: the earliest event is the greatest. Events of the
/// same time keep the order in which they were scheduled.
#[derive(Debug)]
struct ScheduledEvent {
    at: Duration,
    sequence: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// State of a caller's request.
#[derive(Debug)]
struct Call {
    job: Job,
    entry: usize,
    target: Target,
    /// Time at which the caller's latest try arrived at its entry.
    arrived_at: Duration,
    /// Retries by the caller.
    caller_retries: u32,
    /// Servers that attempts of the latest try were sent to.
    tried_servers: Vec<ServerId>,
    /// Broken attempts, which servers may have run.
    broken_attempts: u32,
    /// Attempt in flight with the position of its server.
    attempt: Option<(CallNumber, usize)>,
    /// Position of the engine from which the server of the attempt fetches prompt parts.
    fetch_from: Option<usize>,
    events: u32,
    first_event: Option<Duration>,
    last_event: Duration,
    longest_pause: Duration,
    outcome: Option<Outcome>,
    /// Time of the caller's disconnect.
    left_at: Option<Duration>,
    /// Whether the entry knows that the call has ended.
    is_over: bool,
    /// Whether it counts as in flight at its entry.
    is_in_flight: bool,
    /// Number in the queue of its entry while it waits for admission.
    waiter: Option<WaiterNumber>,
    /// Place in the queue of its entry while it waits for a permit.
    place: Option<Place>,
    /// Time until which it waits for a grant that is expected at once.
    grant_until: Option<Duration>,
    /// Set while it is one of the first calls to its server after a rest.
    trial: Option<TrialCall>,
    /// Time at which the latest attempt was sent.
    sent_at: Duration,
}

/// State of a simulation run.
struct Simulation<'a> {
    load: &'a Load,
    policy: &'a Policy,
    random: Pcg64,
    now: Duration,
    events: BinaryHeap<ScheduledEvent>,
    /// Number of the latest scheduled event.
    sequence: u64,
    next_attempt: CallNumber,
    entries: Vec<Entry>,
    /// Calls in flight at each entry.
    in_flight: Vec<usize>,
    processors: Vec<Processor<Event>>,
    /// Positions of the entries by their numbers in messages.
    entry_positions: BTreeMap<EntryNumber, usize>,
    engines: Vec<Engine>,
    links: Links,
    engine_crash_counts: Vec<u64>,
    services: Vec<PlainServer>,
    engine_specs: Vec<ServerSpec>,
    service_specs: Vec<ServerSpec>,
    calls: Vec<Call>,
    /// Calls by the numbers of their attempts in flight.
    attempts: BTreeMap<CallNumber, CallIndex>,
    /// Engines that each disturbance affects at present.
    affected_engines: Vec<Vec<usize>>,
    /// Engines that limit the rate of their requests, with their positions in the result.
    limited_engines: BTreeMap<usize, usize>,
    /// Engines that ask for rests or did so, with their positions in the result and the time at which they stop asking.
    resting_engines: BTreeMap<usize, (usize, Duration)>,
    retry_limits: BudgetLimits,
    result: RunResult,
}

/// Simulates a load with a policy. Equal arguments give equal results.
///
/// # Examples
///
/// ```
/// use tanagerford_emulator::{load, simulation};
///
/// let content = include_bytes!("../loads/small.json");
/// let load = load::decode(content).unwrap();
/// let result = simulation::run(&load, &load.policies[0], 1);
/// let repeated = simulation::run(&load, &load.policies[0], 1);
/// assert_eq!(result, repeated);
/// ```
#[must_use]
pub fn run(load: &Load, policy: &Policy, seed: u64) -> RunResult {
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
            let time_factors = pool.time_factors.iter().cycle();
            let engines = engine_specs.iter().zip(time_factors);
            engines.map(|(_, time_factor)| Engine::new(pool, *time_factor))
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
            events: BinaryHeap::new(),
            sequence: 0,
            next_attempt: 1,
            entry_positions: entries
                .clone()
                .map(|index| (entry_number(index), index))
                .collect(),
            in_flight: vec![0; entries.len()],
            processors: entries
                .clone()
                .map(|index| Processor::new(load.processors.as_ref(), index / load.zones))
                .collect(),
            entries: entries
                .map(|index| Entry::new(load, policy, index))
                .collect(),
            engine_crash_counts: vec![0; engines.len()],
            links: Links::new(load.transfers, engines.len()),
            engines,
            services: services.collect(),
            engine_specs,
            service_specs,
            calls: Vec::new(),
            attempts: BTreeMap::new(),
            affected_engines: vec![Vec::new(); load.disturbances.len()],
            limited_engines: BTreeMap::new(),
            resting_engines: BTreeMap::new(),
            retry_limits: BudgetLimits {
                ratio: load.budget.ratio,
                extra: load.budget.extra,
                window: Duration::from_secs_f64(load.budget.window_s),
            },
            result: RunResult::new(load),
        };
        for job in jobs {
            simulation.add_call(job);
        }
        for entry in 0..simulation.processors.len() {
            if simulation.processors[entry].is_limited() {
                simulation.schedule(Duration::ZERO, Event::ProbeProcessor(entry));
            }
        }
        for (index, disturbance) in load.disturbances.iter().enumerate() {
            let at = Duration::from_secs_f64(disturbance.at_s);
            simulation.schedule(at, Event::DisturbanceBegins(index));
            let end = at + Duration::from_secs_f64(disturbance.for_s);
            simulation.schedule(end, Event::DisturbanceEnds(index));
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
        let leaves_at = job.at + job.caller_timeout;
        let call = Call {
            entry: self.pick_entry(job.zone),
            job,
            target,
            arrived_at: at,
            caller_retries: 0,
            tried_servers: Vec::new(),
            broken_attempts: 0,
            attempt: None,
            fetch_from: None,
            events: 0,
            first_event: None,
            last_event: Duration::ZERO,
            longest_pause: Duration::ZERO,
            outcome: None,
            left_at: None,
            is_over: false,
            is_in_flight: false,
            waiter: None,
            place: None,
            grant_until: None,
            trial: None,
            sent_at: Duration::ZERO,
        };
        let index = self.calls.len();
        self.calls.push(call);
        self.schedule(at, Event::RequestArrives(index));
        self.schedule(leaves_at, Event::CallerLeaves(index));
    }

    fn pick_entry(&mut self, zone: usize) -> usize {
        let in_zone = self.random.random_range(0..self.load.entries_per_zone);
        in_zone * self.load.zones + zone
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.events.push(ScheduledEvent {
            at,
            sequence,
            event,
        });
    }

    fn run(&mut self) {
        let end = self.load.length() + DRAIN_TIME;
        while let Some(ScheduledEvent { at, event, .. }) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            match self.processor_work(&event) {
                Some((entry, work)) => self.run_or_queue(entry, work, event),
                None => self.on_event(event),
            }
        }
    }

    /// Returns the entry whose processor handles an event, with the kind of work; `None` for events outside of entries.
    fn processor_work(&self, event: &Event) -> Option<(usize, WorkKind)> {
        match event {
            Event::RequestArrives(index) => Some((self.calls[*index].entry, WorkKind::Request)),
            Event::PollGate(index)
            | Event::PollPermits(index)
            | Event::ServerReplies(index, ..)
            | Event::LeavingNoticed(index) => Some((self.calls[*index].entry, WorkKind::Event)),
            Event::ProbeProcessor(entry) => Some((*entry, WorkKind::Event)),
            Event::SendMessages(entry)
            | Event::MessageArrives(entry, _)
            | Event::SendPermits(entry)
            | Event::PermitsArrive(entry, _) => Some((*entry, WorkKind::Message)),
            _ => None,
        }
    }

    /// Handles an event at an entry, or queues it while the entry's processor is busy.
    fn run_or_queue(&mut self, entry: usize, work: WorkKind, event: Event) {
        if let Some(event) = self.processors[entry].admit_or_queue(self.now, event) {
            self.occupy_processor(entry, work);
            self.on_event(event);
        }
    }

    fn occupy_processor(&mut self, entry: usize, work: WorkKind) {
        if let Some(end) = self.processors[entry].occupy(self.now, work) {
            self.schedule(end, Event::ProcessorFree(entry));
        }
    }

    fn run_queued(&mut self, entry: usize) {
        if let Some(event) = self.processors[entry].pop_ready(self.now) {
            if let Some((entry, work)) = self.processor_work(&event) {
                self.occupy_processor(entry, work);
            }
            self.on_event(event);
        }
    }

    fn probe_processor(&mut self, entry: usize) {
        if let Some(gate) = &mut self.entries[entry].overload_gate {
            let calls = self.in_flight[entry];
            gate.on_probe(self.now, calls);
            let is_busy = gate.is_busy(self.now);
            self.entries[entry].exchange.set_busy(is_busy);
        }
        self.settle(entry);
        if self.now < self.load.length() {
            self.schedule(self.now + PROBE_INTERVAL, Event::ProbeProcessor(entry));
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::RequestArrives(index) => self.on_request(index),
            Event::PollGate(index) => self.try_admit(index),
            Event::PollPermits(index) => self.poll_permits(index),
            Event::CallArrives(index, attempt) => self.on_call_arrival(index, attempt),
            Event::FetchEnds(index, attempt, parts) => self.on_fetched(index, attempt, &parts),
            Event::StepEnds(engine, crash_count) => self.on_step_end(engine, crash_count),
            Event::ServiceEnds(server, index, attempt) => {
                self.on_service_end(server, index, attempt);
            }
            Event::ServerReplies(index, attempt, reply) => self.on_reply(index, attempt, reply),
            Event::SendMessages(entry) => self.send_messages(entry),
            Event::MessageArrives(entry, message) => self.on_message(entry, &message),
            Event::SendPermits(entry) => self.send_permits(entry),
            Event::PermitsArrive(entry, message) => self.receive_permits(entry, &message),
            Event::CallerLeaves(index) => self.on_caller_left(index),
            Event::LeavingNoticed(index) => self.on_leaving_noticed(index),
            Event::ProbeProcessor(entry) => self.probe_processor(entry),
            Event::ProcessorFree(entry) => self.run_queued(entry),
            Event::DisturbanceBegins(index) => self.begin_disturbance(index),
            Event::DisturbanceEnds(index) => self.end_disturbance(index),
        }
    }

    fn on_request(&mut self, index: CallIndex) {
        let call = &mut self.calls[index];
        if call.is_over {
            return;
        }
        let class = &self.load.classes[call.job.class];
        call.arrived_at = self.now;
        call.tried_servers.clear();
        let (entry, target) = (call.entry, call.target);
        let Some(gate) = &mut self.entries[entry].overload_gate else {
            return self.on_admitted(index);
        };
        call.arrived_at = self.now.saturating_sub(gate.delay().latest(self.now));
        let (rank, objective) = match target {
            Target::Engines => (class.rank, longest_objective(self.load, class)),
            Target::Services => (highest_rank(self.load), milliseconds(class.objective_ms)),
        };
        let deadline = call.job.at + call.job.caller_timeout;
        let arriving = ArrivingCall {
            rank,
            objective,
            remaining: deadline.saturating_sub(self.now),
        };
        match gate.arrive(self.now, arriving, self.in_flight[entry]) {
            Arrival::Admitted => self.on_admitted(index),
            Arrival::Waits(number) => {
                call.waiter = Some(number);
                self.entries[entry].waiting_calls.insert(number, index);
                self.settle(entry);
            }
        }
    }

    /// Carries out the decisions of an entry about its waiting calls.
    fn settle(&mut self, entry: usize) {
        let Some(gate) = &mut self.entries[entry].overload_gate else {
            return;
        };
        for (number, decision) in gate.settle(self.now, self.in_flight[entry]) {
            let Some(index) = self.entries[entry].waiting_calls.remove(&number) else {
                continue;
            };
            self.calls[index].waiter = None;
            match decision {
                Ok(()) => self.on_admitted(index),
                Err(_) => self.refuse(index, BUSY_RETRY_AFTER),
            }
        }
    }

    fn on_admitted(&mut self, index: CallIndex) {
        let call = &mut self.calls[index];
        let (entry, target) = (call.entry, call.target);
        call.is_in_flight = true;
        self.in_flight[entry] += 1;
        let limits = self.retry_limits;
        self.entries[entry]
            .budget(target)
            .on_request(self.now, &limits);
        self.try_admit(index);
    }

    fn try_admit(&mut self, index: CallIndex) {
        let call = &self.calls[index];
        if call.is_over {
            return;
        }
        let class = &self.load.classes[call.job.class];
        if self.policy.placement == Placement::Cost && call.target == Target::Engines {
            let objective = milliseconds(class.objective_ms);
            let waited = self.now.saturating_sub(call.arrived_at);
            let entry = &mut self.entries[call.entry];
            let choice = entry.preview(self.now, &call.job.demand, &self.engine_specs);
            if let Some(choice) = choice {
                let longest = longest_objective(self.load, class);
                let remaining = RemainingTime::after(waited, objective, longest);
                match entry.decide_long_prompt(self.now, &choice, class.rank, remaining) {
                    GateDecision::Admit => {}
                    GateDecision::Wait => {
                        let at = self.now + GATE_POLL_INTERVAL;
                        return self.schedule(at, Event::PollGate(index));
                    }
                    GateDecision::Refuse => return self.refuse(index, OVERLOAD_RETRY_AFTER),
                }
            }
        }
        self.send_call(index);
    }

    /// Sends a call to the server that the policy chooses among those that have not been tried.
    fn send_call(&mut self, index: CallIndex) {
        let now = self.now;
        let call = &mut self.calls[index];
        let specs = match call.target {
            Target::Engines => &self.engine_specs,
            Target::Services => &self.service_specs,
        };
        let entry = &mut self.entries[call.entry];
        let demand = &call.job.demand;
        let mut selection = Selection::Wait;
        if entry.permit_queue.may_try(demand.rank, call.place) {
            let can_wait = call.grant_until.is_none_or(|until| now < until);
            let tried = &call.tried_servers;
            selection = entry.select(now, call.target, demand, tried, specs, can_wait);
        }
        let choice = match selection {
            Selection::Send { choice, .. } => choice,
            Selection::AwaitGrant => {
                call.grant_until.get_or_insert(now + GRANT_WAIT);
                let entry = call.entry;
                self.schedule(now + GRANT_POLL_INTERVAL, Event::PollPermits(index));
                return self.send_permits(entry);
            }
            Selection::Wait => return self.hold_call(index),
            Selection::NoServer => {
                let availability = entry.pool_availability(now, &call.tried_servers, specs);
                return self.wait_for_rest(index, &availability);
            }
        };
        call.grant_until = None;
        if let Some(place) = call.place.take() {
            entry.permit_queue.leave(place, true);
        }
        call.sent_at = now;
        call.trial = entry.availability.on_send(now, limit_key(&choice.server));
        let position = specs.iter().position(|spec| spec.id == choice.server);
        let Some(server) = position else {
            return self.refuse(index, OVERLOAD_RETRY_AFTER);
        };
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        let demand = &call.job.demand;
        entry
            .pool(call.target)
            .on_start_choice(now, &choice, attempt, demand);
        let source = choice.fetch.as_ref().map(|fetch| &fetch.source);
        call.fetch_from =
            source.and_then(|source| specs.iter().position(|spec| spec.id == *source));
        let number = server_number(&choice.server);
        entry.exchange.on_sent(now, number, &demand.parts);
        call.tried_servers.push(choice.server);
        call.attempt = Some((attempt, server));
        let is_cross_zone = specs[server].zone != zone_name(entry.zone);
        if is_cross_zone {
            self.result.cross_zone_bytes += u64::try_from(demand.body_bytes).unwrap_or(0);
        }
        self.result.sends += 1;
        let entry = call.entry;
        self.occupy_processor(entry, WorkKind::Send);
        let delay = self.server_delay(is_cross_zone);
        self.attempts.insert(attempt, index);
        self.schedule(now + delay, Event::CallArrives(index, attempt));
        self.schedule_messages(entry);
        if !self.entries[entry].limits.is_empty() {
            self.send_permits(entry);
        }
    }

    /// Lets a call wait for the end of the first rest, or refuses it if it cannot use the server or the rest is too long.
    fn wait_for_rest(&mut self, index: CallIndex, availability: &PoolAvailability) {
        let call = &self.calls[index];
        let Some(back_at) = availability.back_at.or(availability.pool_back_at) else {
            return self.refuse(index, OVERLOAD_RETRY_AFTER);
        };
        let back_in = back_at.saturating_sub(self.now);
        let deadline = call.job.at + call.job.caller_timeout;
        let waited = self.now.saturating_sub(call.arrived_at);
        let left = max_wait(deadline.saturating_sub(call.arrived_at)).saturating_sub(waited);
        let can_wait = availability.back_at.is_some() && availability.pool_back_at.is_some();
        if !can_wait || left.is_zero() || back_in > left {
            // A multiplicative hash spreads the retries of successive calls.
            let hash = u64::try_from(index).unwrap_or_default();
            let hash = hash.wrapping_mul(0x9E37_79B9_7F4A_7C15);
            return self.refuse(index, availability::retry_after(back_in, hash));
        }
        self.hold_call(index);
    }

    /// Lets a call wait for a permit, or refuses it if it has waited long enough.
    fn hold_call(&mut self, index: CallIndex) {
        let call = &mut self.calls[index];
        let rank = call.job.demand.rank;
        let entry = &mut self.entries[call.entry];
        let queue = &mut entry.permit_queue;
        let place = *call.place.get_or_insert_with(|| queue.join(rank));
        let deadline = call.job.at + call.job.caller_timeout;
        let waited = self.now.saturating_sub(call.arrived_at);
        let max_wait = max_wait(deadline.saturating_sub(call.arrived_at));
        let keys = self.engine_specs.iter().map(|spec| limit_key(&spec.id));
        let rate = entry.limits.total_rate(keys);
        let ahead = entry.permit_queue.ahead(place);
        let left = max_wait.saturating_sub(waited);
        let entries = entry.limits.entry_count();
        let entry = call.entry;
        if left.is_zero() || room_after(ahead, 1, rate) > left {
            let room_after = room_after(ahead, entries, rate);
            return self.refuse(index, retry_after(room_after));
        }
        self.schedule(self.now + GATE_POLL_INTERVAL, Event::PollPermits(index));
        self.send_permits(entry);
    }

    /// Looks for a server again for a call that waits for a permit.
    fn poll_permits(&mut self, index: CallIndex) {
        let call = &self.calls[index];
        if !call.is_over && (call.place.is_some() || call.grant_until.is_some()) {
            self.send_call(index);
        }
    }

    fn server_delay(&self, is_cross_zone: bool) -> Duration {
        let network = self.load.network;
        milliseconds(if is_cross_zone {
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

    fn on_call_arrival(&mut self, index: CallIndex, attempt: CallNumber) {
        let call = &self.calls[index];
        let Some((current, server)) = call.attempt else {
            return;
        };
        if current != attempt || call.is_over {
            return;
        }
        if call
            .left_at
            .is_some_and(|at| self.now.saturating_sub(at) > DISCONNECT_SLACK)
        {
            self.result.sent_after_leaving += 1;
        }
        if call.target == Target::Services {
            return self.submit_to_service(index, attempt, server);
        }
        if let Some(position) = self.limited_engines.get(&server) {
            let limited = &mut self.result.limited_engines[*position];
            limited.arrivals.push(self.now);
        }
        let rest = self.rest_for(server, self.calls[index].entry);
        if rest.is_none()
            && !self.is_down(server)
            && let Some((source, parts)) = self.fetchable_parts(index, server)
        {
            let tokens = parts.iter().map(|part| part.tokens).sum();
            let zones = [source, server].map(|engine| &self.engine_specs[engine].zone);
            let is_cross_zone = zones[0] != zones[1];
            let pair = (source, server);
            let end = self.links.transfer(self.now, pair, tokens, is_cross_zone);
            return self.schedule(end, Event::FetchEnds(index, attempt, parts));
        }
        self.submit_to_engine(index, attempt, server, rest);
    }

    /// Returns the engine that a call's server copies parts from, and the parts that it has beyond those of the server. The
    /// call no longer waits for a fetch afterwards.
    fn fetchable_parts(
        &mut self,
        index: CallIndex,
        server: usize,
    ) -> Option<(usize, Vec<PromptPart>)> {
        let source = self.calls[index].fetch_from.take()?;
        let parts = &self.calls[index].job.demand.parts;
        let cached_tokens = self.engines[server].cached_tokens(parts);
        let held_tokens = self.engines[source].cached_tokens(parts);
        if self.is_down(source) || held_tokens <= cached_tokens {
            return None;
        }
        let mut end = 0;
        let missing = parts.iter().filter(|part| {
            end += part.tokens;
            end > cached_tokens && end <= held_tokens
        });
        Some((source, missing.copied().collect()))
    }

    fn on_fetched(&mut self, index: CallIndex, attempt: CallNumber, parts: &[PromptPart]) {
        let Some((current, server)) = self.calls[index].attempt else {
            return;
        };
        if current != attempt || self.calls[index].is_over {
            return;
        }
        if !self.is_down(server) {
            let added = self.engines[server].add_copied_parts(parts);
            self.result.fetched_tokens += u64::from(added);
        }
        self.submit_to_engine(index, attempt, server, None);
    }

    /// Submits a call to an engine, which refuses it if it has asked for a rest or has no room.
    fn submit_to_engine(
        &mut self,
        index: CallIndex,
        attempt: CallNumber,
        server: usize,
        rest: Option<Duration>,
    ) {
        let call = &self.calls[index];
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
        if !is_down && rest.is_none() && self.engines[server].submit(request) {
            self.start_step(server);
            return;
        }
        let delay = self.delay_to(index, server);
        let reply = if is_down {
            Reply::Lost
        } else {
            Reply::Refused {
                load: self.engines[server].load(),
                rest,
            }
        };
        self.schedule(
            self.now + delay,
            Event::ServerReplies(index, attempt, reply),
        );
    }

    fn submit_to_service(&mut self, index: CallIndex, attempt: CallNumber, server: usize) {
        let service_time = self.calls[index].job.service_time;
        match self.services[server].submit(attempt) {
            Some(true) => {
                self.schedule(
                    self.now + service_time,
                    Event::ServiceEnds(server, index, attempt),
                );
            }
            Some(false) => {}
            None => {
                let reply = Reply::Refused {
                    load: self.services[server].load(),
                    rest: None,
                };
                let delay = self.delay_to(index, server);
                self.schedule(
                    self.now + delay,
                    Event::ServerReplies(index, attempt, reply),
                );
            }
        }
    }

    fn start_step(&mut self, engine: usize) {
        if self.engines[engine].is_stepping() {
            return;
        }
        if let Some(length) = self.engines[engine].begin_step() {
            let crash_count = self.engine_crash_counts[engine];
            self.schedule(self.now + length, Event::StepEnds(engine, crash_count));
        }
    }

    fn on_step_end(&mut self, engine: usize, crash_count: u64) {
        if self.engine_crash_counts[engine] != crash_count {
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
            // `first_token_ms` delays the response of this request but not the other requests of the engine.
            at += milliseconds(first_token);
            let limited = self.limited_engines.get(&engine);
            let limit = limited.map(|position| self.result.limited_engines[*position].rate);
            let reply = Reply::Data {
                is_last,
                is_first,
                load,
                limit,
            };
            self.schedule(at, Event::ServerReplies(index, number, reply));
        }
        self.start_step(engine);
    }

    fn on_service_end(&mut self, server: usize, index: CallIndex, attempt: CallNumber) {
        let load = self.services[server].load();
        self.free_service_slot(server, attempt);
        let delay = self.delay_to(index, server);
        let reply = Reply::Data {
            is_last: true,
            is_first: true,
            load,
            limit: None,
        };
        self.schedule(
            self.now + delay,
            Event::ServerReplies(index, attempt, reply),
        );
    }

    /// Removes a request from a plain server and starts the next queued one in its slot.
    fn free_service_slot(&mut self, server: usize, attempt: CallNumber) {
        if let Some(next) = self.services[server].end(attempt)
            && let Some(index) = self.attempts.get(&next).copied()
        {
            let service_time = self.calls[index].job.service_time;
            self.schedule(
                self.now + service_time,
                Event::ServiceEnds(server, index, next),
            );
        }
    }

    fn on_reply(&mut self, index: CallIndex, attempt: CallNumber, reply: Reply) {
        let call = &self.calls[index];
        let Some((current, server)) = call.attempt else {
            return;
        };
        if current != attempt || call.is_over {
            return;
        }
        match reply {
            Reply::Data {
                is_last,
                is_first,
                load,
                limit,
            } => {
                if is_first {
                    self.learn_limit(index, limit);
                    self.learn_rest(index, None);
                    self.end_trial(index);
                }
                self.on_data(index, attempt, server, (is_last, is_first), load);
            }
            Reply::Refused { load, rest } => {
                self.learn_rest(index, rest);
                self.end_attempt(index, attempt, server, CallOutcome::Refused);
                self.update_pool(index, |pool, id, now| pool.on_load(now, id, load));
                self.retry(index, true);
            }
            Reply::Lost => {
                self.end_attempt(index, attempt, server, CallOutcome::Broken);
                self.calls[index].broken_attempts += 1;
                self.retry(index, false);
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
            let outcome = CallOutcome::Answered { slowness: 1.0 };
            self.update_pool(index, |pool, id, now| {
                pool.on_outcome(now, id, outcome);
                pool.on_load(now, id, load);
                pool.on_first_part(now, id, attempt);
            });
            let entry = self.calls[index].entry;
            self.on_load_change(entry);
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
            self.update_pool(index, |pool, id, now| pool.on_pause(now, id, pause));
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

    /// Records the limit that the first event of an answer names.
    fn learn_limit(&mut self, index: CallIndex, limit: Option<f64>) {
        let call = &self.calls[index];
        let Some(server) = call.tried_servers.last() else {
            return;
        };
        let statement = LimitStatement {
            limit,
            requested_at: call.sent_at,
            answered_at: self.now,
        };
        let entry = call.entry;
        let limits = &mut self.entries[entry].limits;
        limits.on_answer(self.now, limit_key(server), statement);
        self.schedule_permits(entry);
    }

    /// Records a request that reaches an engine from an entry, and returns the rest that the engine asks for, if any.
    fn rest_for(&mut self, engine: usize, entry: usize) -> Option<Duration> {
        let (position, ends_at) = *self.resting_engines.get(&engine)?;
        let resting = &mut self.result.resting_engines[position];
        resting.arrivals.push((self.now, entry));
        if self.now >= ends_at {
            return None;
        }
        resting.refusals.push((self.now, entry));
        Some(resting.rest)
    }

    /// Records whether an answer asks for a rest.
    fn learn_rest(&mut self, index: CallIndex, rest: Option<Duration>) {
        let call = &self.calls[index];
        let Some(server) = call.tried_servers.last() else {
            return;
        };
        let availability = &mut self.entries[call.entry].availability;
        if let Some(rest) = rest {
            availability.on_rest(self.now, limit_key(server), rest);
        } else {
            availability.on_accepted(call.sent_at, limit_key(server));
        }
    }

    /// Ends the part of a call as one of the first ones after a rest.
    fn end_trial(&mut self, index: CallIndex) {
        let call = &mut self.calls[index];
        if let Some(trial) = call.trial.take() {
            self.entries[call.entry].availability.on_end(trial);
        }
    }

    /// Sends the messages about permits that are due at an entry, and schedules the next step.
    fn send_permits(&mut self, entry: usize) {
        let now = self.now;
        let state = &mut self.entries[entry];
        state.next_permits_at = Duration::MAX;
        state.limits.settle(now);
        let zone = state.zone;
        let outgoing: Vec<_> = state.limits.take_outgoing().collect();
        for (receiver, message) in outgoing {
            let Some(other) = self.entry_positions.get(&receiver).copied() else {
                continue;
            };
            self.result.permit_messages += 1;
            let at = now + self.server_delay(self.entries[other].zone != zone);
            self.schedule(at, Event::PermitsArrive(other, Rc::new(message)));
        }
        self.schedule_permits(entry);
    }

    fn schedule_permits(&mut self, entry: usize) {
        let state = &mut self.entries[entry];
        let Some(due) = state.limits.next_due() else {
            return;
        };
        let due = due.max(self.now);
        if due < state.next_permits_at {
            state.next_permits_at = due;
            self.schedule(due, Event::SendPermits(entry));
        }
    }

    fn receive_permits(&mut self, entry: usize, message: &PermitMessage) {
        self.entries[entry].limits.receive(self.now, message);
        self.send_permits(entry);
    }

    /// Applies `update` to the entry's view of the server of a call's last attempt.
    fn update_pool(
        &mut self,
        index: CallIndex,
        update: impl FnOnce(&mut tanagerford_core::dispatch::Pool, &str, Duration),
    ) {
        let call = &self.calls[index];
        if let Some(server) = call.tried_servers.last() {
            update(self.entries[call.entry].pool(call.target), server, self.now);
        }
    }

    fn end_attempt(
        &mut self,
        index: CallIndex,
        attempt: CallNumber,
        server: usize,
        outcome: CallOutcome,
    ) {
        self.update_pool(index, |pool, id, now| {
            if !matches!(outcome, CallOutcome::Answered { .. }) {
                pool.on_outcome(now, id, outcome);
            }
            pool.on_end(id, attempt);
        });
        self.attempts.remove(&attempt);
        self.end_trial(index);
        let call = &mut self.calls[index];
        call.attempt = None;
        let (entry, target) = (call.entry, call.target);
        self.on_load_change(entry);
        if target == Target::Engines {
            self.engines[server].cancel(attempt);
        } else {
            self.free_service_slot(server, attempt);
        }
    }

    /// Retries a call at another server after a refusal or a broken connection if budget and class allow it; otherwise
    /// ends the caller's try.
    fn retry(&mut self, index: CallIndex, is_not_executed: bool) {
        // The entries of a load start for the first time.
        let share = EntryShare {
            registered: self.entries.len(),
            is_first_process: true,
        };
        let limits = self.retry_limits;
        let call = &self.calls[index];
        let class = &self.load.classes[call.job.class];
        let can_run_again = class.max_attempts > call.broken_attempts;
        let can_retry =
            call.tried_servers.len() < MAX_ATTEMPTS_PER_CALL && (is_not_executed || can_run_again);
        let target = call.target;
        let entry = &mut self.entries[call.entry];
        if can_retry
            && entry
                .budget(target)
                .try_retry(self.now, &limits, share)
                .is_some()
        {
            self.result.repeats += 1;
            self.send_call(index);
        } else if is_not_executed && self.calls[index].broken_attempts == 0 {
            self.refuse(index, OVERLOAD_RETRY_AFTER);
        } else {
            self.set_outcome(index, Outcome::Failed);
        }
    }

    /// Refuses a request that has not run. The caller retries later if it has retries and time left.
    fn refuse(&mut self, index: CallIndex, retry_after: Duration) {
        self.end_flight(index);
        let call = &mut self.calls[index];
        let remaining = (call.job.at + call.job.caller_timeout).saturating_sub(self.now);
        let wait = if call.job.is_abusive {
            Duration::ZERO
        } else {
            retry_after.min(remaining / RETRY_WAIT_DIVISOR)
        };
        if call.caller_retries >= call.job.retries || remaining.is_zero() {
            return self.set_outcome(index, Outcome::Refused);
        }
        call.caller_retries += 1;
        let zone = call.job.zone;
        let entry = self.pick_entry(zone);
        self.calls[index].entry = entry;
        let round_trip = milliseconds(self.load.network.caller_ms) * 2;
        self.schedule(self.now + wait + round_trip, Event::RequestArrives(index));
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

    fn on_caller_left(&mut self, index: CallIndex) {
        let now = self.now;
        let call = &mut self.calls[index];
        if call.outcome.is_some() {
            return;
        }
        call.left_at = Some(now);
        let outcome = if call.job.leaves_early {
            Outcome::GaveUp
        } else if call.tried_servers.is_empty() {
            Outcome::Refused
        } else {
            Outcome::Failed
        };
        let entry = call.entry;
        self.record_outcome(index, outcome);
        self.run_or_queue(entry, WorkKind::Event, Event::LeavingNoticed(index));
    }

    fn on_leaving_noticed(&mut self, index: CallIndex) {
        self.end_flight(index);
        let call = &mut self.calls[index];
        call.is_over = true;
        if let Some(number) = call.waiter.take() {
            let entry = &mut self.entries[call.entry];
            entry.waiting_calls.remove(&number);
            if let Some(gate) = &mut entry.overload_gate {
                gate.leave(number);
            }
        }
        if call
            .left_at
            .is_some_and(|at| self.now.saturating_sub(at) > DISCONNECT_SLACK)
        {
            self.result.noticed_late += 1;
        }
        if let Some((attempt, server)) = call.attempt {
            self.end_attempt(index, attempt, server, CallOutcome::TimedOut);
        }
    }

    /// Removes a call from those in flight at its entry.
    fn end_flight(&mut self, index: CallIndex) {
        let call = &mut self.calls[index];
        let entry = call.entry;
        if let Some(place) = call.place.take() {
            self.entries[entry].permit_queue.leave(place, false);
        }
        if std::mem::take(&mut call.is_in_flight) {
            self.in_flight[entry] -= 1;
            self.settle(entry);
        }
    }

    fn set_outcome(&mut self, index: CallIndex, outcome: Outcome) {
        self.end_flight(index);
        self.calls[index].is_over = true;
        self.record_outcome(index, outcome);
    }

    /// Records the outcome for the caller, unless one is already recorded.
    fn record_outcome(&mut self, index: CallIndex, outcome: Outcome) {
        let call = &mut self.calls[index];
        if call.outcome.is_none() {
            call.outcome = Some(outcome);
            let first = call.first_event.map(|at| at.saturating_sub(call.job.at));
            self.result.record(&call.job, outcome, first);
        }
    }

    /// Notifies an entry's summary exchange that its load has changed.
    fn on_load_change(&mut self, entry: usize) {
        self.entries[entry].exchange.on_change(self.now);
        self.schedule_messages(entry);
    }

    /// Schedules the next summaries of an entry, unless they are already scheduled.
    fn schedule_messages(&mut self, entry: usize) {
        let state = &mut self.entries[entry];
        let due = state.exchange.next_due();
        if self.policy.summaries.enabled && due < state.next_send_at {
            state.next_send_at = due;
            self.schedule(due, Event::SendMessages(entry));
        }
    }

    fn send_messages(&mut self, entry: usize) {
        let now = self.now;
        let state = &mut self.entries[entry];
        state.next_send_at = Duration::MAX;
        let zone = state.zone;
        for outgoing in state.take_due_messages(now) {
            let message = Rc::new(outgoing.message);
            for receiver in outgoing.receivers {
                let Some(other) = self.entry_positions.get(&receiver).copied() else {
                    continue;
                };
                self.result.messages += 1;
                let at = now + self.server_delay(self.entries[other].zone != zone);
                self.schedule(at, Event::MessageArrives(other, Rc::clone(&message)));
            }
        }
        if now < self.load.length() {
            self.schedule_messages(entry);
        }
    }

    fn on_message(&mut self, entry: usize, message: &Message) {
        self.entries[entry].on_message(self.now, message);
        self.schedule_messages(entry);
    }

    fn begin_disturbance(&mut self, index: usize) {
        let kind = &self.load.disturbances[index].kind;
        match kind {
            DisturbanceKind::SlowEngines { share, factor } => {
                for engine in self.pick_engines(index, *share) {
                    self.engines[engine].set_slowness(*factor);
                }
            }
            DisturbanceKind::CrashedEngines { share } => {
                for engine in self.pick_engines(index, *share) {
                    self.crash(engine);
                }
            }
            DisturbanceKind::RestingEngines { share, rest_s } => {
                let ends_at =
                    self.now + Duration::from_secs_f64(self.load.disturbances[index].for_s);
                for engine in self.pick_engines(index, *share) {
                    let position = self.result.resting_engines.len();
                    self.resting_engines.insert(engine, (position, ends_at));
                    self.result.resting_engines.push(RestingEngine {
                        engine,
                        rest: Duration::from_secs_f64(*rest_s),
                        arrivals: Vec::new(),
                        refusals: Vec::new(),
                    });
                }
            }
            DisturbanceKind::LimitedEngines { share, rate } => {
                for engine in self.pick_engines(index, *share) {
                    self.limited_engines
                        .insert(engine, self.result.limited_engines.len());
                    self.result.limited_engines.push(LimitedEngine {
                        engine,
                        rate: *rate,
                        began_at: self.now,
                        arrivals: Vec::new(),
                    });
                }
            }
            _ => {}
        }
    }

    /// Draws the engines that a disturbance affects, rounding their count up.
    fn pick_engines(&mut self, index: usize, share: f64) -> Vec<usize> {
        let mut all: Vec<usize> = (0..self.engines.len()).collect();
        all.shuffle(&mut self.random);
        let wanted = f64::from(u32::try_from(all.len()).unwrap_or(0)) * share;
        let picked = all.iter().take_while({
            let mut count = 0.0;
            move |_| {
                count += 1.0;
                count <= wanted.ceil()
            }
        });
        let picked: Vec<usize> = picked.copied().collect();
        self.affected_engines[index].clone_from(&picked);
        picked
    }

    fn crash(&mut self, engine: usize) {
        self.engine_crash_counts[engine] += 1;
        for attempt in self.engines[engine].crash() {
            if let Some(index) = self.attempts.get(&attempt).copied() {
                let at = self.now + self.delay_to(index, engine);
                self.schedule(at, Event::ServerReplies(index, attempt, Reply::Lost));
            }
        }
    }

    fn end_disturbance(&mut self, index: usize) {
        let picked = std::mem::take(&mut self.affected_engines[index]);
        match self.load.disturbances[index].kind {
            DisturbanceKind::SlowEngines { .. } => {
                for engine in picked {
                    self.engines[engine].set_slowness(1.0);
                }
            }
            DisturbanceKind::LimitedEngines { .. } => {
                for engine in picked {
                    self.limited_engines.remove(&engine);
                }
            }
            _ => {}
        }
    }

    /// Returns whether an engine is down after a crash.
    fn is_down(&self, engine: usize) -> bool {
        let pairs = self.load.disturbances.iter().zip(&self.affected_engines);
        pairs
            .filter(|(disturbance, _)| {
                matches!(disturbance.kind, DisturbanceKind::CrashedEngines { .. })
            })
            .any(|(_, picked)| picked.contains(&engine))
    }

    fn finish(mut self) -> RunResult {
        self.result.prefilled_tokens = self
            .engines
            .iter()
            .map(|engine| engine.prefilled_tokens)
            .sum();
        self.result.preempted = self.engines.iter().map(|engine| engine.preempted).sum();
        self.result
    }
}

/// Returns the longest latency objective among the streams of the class's rank and lower ranks.
fn longest_objective(load: &Load, class: &Class) -> Duration {
    let rank = |class: &Class| (class.rank, milliseconds(class.objective_ms));
    let classes = load.classes.iter();
    let streams = classes.filter(|other| other.stream.is_some());
    lower_ranks_latency(rank(class), streams.map(rank))
}

/// Returns the highest rank of all classes. Entries shed calls of plain services, which need little processor time, last.
fn highest_rank(load: &Load) -> Rank {
    let ranks = load.classes.iter().map(|class| class.rank);
    ranks.min().unwrap_or_default()
}

fn milliseconds(value: f64) -> Duration {
    Duration::from_secs_f64((value / 1_000.0).max(0.0))
}

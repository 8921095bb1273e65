//! Fault matrix of the order log: injects every fault at every step of `OrderStep::ALL`, alone and in pairs. The order
//! log runs on a virtual clock, over a fake key-value service and a fake backend server.
//!
//! `docs/faults.md` is the reviewed table of outcomes. To regenerate it, run
//! `UPDATE_DOCS=1 cargo test -p tanagerford-node --test order_faults`.

mod support;

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::panic::{AssertUnwindSafe, catch_unwind, resume_unwind};
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use support::{FakeKv, KvFault, VirtualClock, answer, core, order, owner};
use tanagerford_core::order::{OrderStep, Owner};
use tanagerford_node::orders::{ClaimDecision, OrderLogCore, OrderRequest, OrderStatus, Ticket};

/// Time within which an order must be claimed.
const DEADLINE: Duration = Duration::from_secs(5);
const TICK: Duration = Duration::from_millis(10);
const OUTAGE: Duration = Duration::from_secs(20);
const SHORT_OUTAGE: Duration = Duration::from_millis(300);
const PAUSE: Duration = Duration::from_mins(1);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Fault {
    Crash,
    LoseAnswer,
    LoseCall,
    Delay,
    Refuse,
    Outage,
    ShortOutage,
    Pause,
    Rival,
    Query,
    Repeat,
}

impl Fault {
    const ALL: [Self; 11] = [
        Self::Crash,
        Self::LoseAnswer,
        Self::LoseCall,
        Self::Delay,
        Self::Refuse,
        Self::Outage,
        Self::ShortOutage,
        Self::Pause,
        Self::Rival,
        Self::Query,
        Self::Repeat,
    ];
}

/// Fault to inject at the given occurrence of a step. If the step does not occur at that time, the fault is injected at
/// its next occurrence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Injection {
    step: OrderStep,
    occurrence: u32,
    fault: Fault,
}

/// Returns the fault without which `step` is not reached. The match has no wildcard, so that a new step does not
/// compile until it is added here.
fn required_fault(step: OrderStep) -> Option<KvFault> {
    match step {
        OrderStep::ReadBack => Some(KvFault::LoseAnswer),
        OrderStep::Lookup
        | OrderStep::LoadShard
        | OrderStep::QueueClaim
        | OrderStep::Gather
        | OrderStep::SendWrite
        | OrderStep::WriteAnswered
        | OrderStep::ApplyWrite
        | OrderStep::StartOrder
        | OrderStep::KeepAnswer
        | OrderStep::AbandonOrder
        | OrderStep::AnswerQuery => None,
    }
}

/// Outcome that a caller received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum CallerOutcome {
    Answered,
    NotRun,
    Unknown,
}

/// Execution of an order by the backend server of the sidecar `by`.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Execution {
    order: &'static str,
    request: &'static str,
    by: Owner,
}

#[derive(Default)]
struct State {
    /// Faults, and whether each was injected.
    injections: Vec<(Injection, bool)>,
    step_counts: BTreeMap<OrderStep, u32>,
    /// Whether the response to the next write is lost, so that the steps after a lost response are reached.
    loses_next_response: bool,
    outage_until: Duration,
    current_order: &'static str,
    executions: Vec<Execution>,
    /// Outcome of each request.
    outcomes: BTreeMap<&'static str, CallerOutcome>,
    /// Orders for which a query was answered with not-run, with the answering sidecar and the number of executions
    /// before.
    not_run_answers: Vec<(&'static str, Owner, usize)>,
    core: Option<Arc<OrderLogCore>>,
    rival: Option<Arc<OrderLogCore>>,
    incarnation: u64,
    /// Whether a fault is being injected; a crash then ends the work that the fault interrupted.
    is_in_fault: bool,
}

#[derive(Clone)]
struct Simulation {
    kv: Arc<FakeKv>,
    clock: VirtualClock,
    state: Arc<Mutex<State>>,
}

/// Payload of the panic that simulates a crash of the sidecar.
struct SimulatedCrash;

impl Simulation {
    fn new(injections: &[Injection]) -> Self {
        let simulation = Self {
            kv: Arc::new(FakeKv::default()),
            clock: VirtualClock::default(),
            state: Arc::default(),
        };
        let rival = Arc::new(core(
            &simulation.kv,
            &simulation.clock,
            owner("w2", 1),
            None,
        ));
        rival.set_owned_shards(&[0]);
        rival.step();
        let mut state = simulation.state();
        state.injections = injections
            .iter()
            .map(|injection| (*injection, false))
            .collect();
        state.loses_next_response = injections
            .iter()
            .any(|injection| required_fault(injection.step).is_some());
        state.rival = Some(rival);
        drop(state);
        simulation.restart();
        simulation
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn core(&self) -> Arc<OrderLogCore> {
        self.state().core.clone().unwrap()
    }

    fn rival(&self) -> Arc<OrderLogCore> {
        self.state().rival.clone().unwrap()
    }

    fn owner(&self) -> Owner {
        owner("w1", self.state().incarnation)
    }

    /// Starts the sidecar with the next incarnation.
    fn restart(&self) {
        self.state().is_in_fault = false;
        self.state().incarnation += 1;
        let incarnation = self.state().incarnation;
        let simulation = self.clone();
        let step_hook = Arc::new(move |step| simulation.on_step(step));
        let started = core(
            &self.kv,
            &self.clock,
            owner("w1", incarnation),
            Some(step_hook),
        );
        self.state().core = Some(Arc::new(started));
        self.rival().observe_alive("w1", incarnation);
    }

    /// Injects the first fault that is due at this step.
    fn on_step(&self, step: OrderStep) {
        let mut state = self.state();
        let count = state.step_counts.entry(step).or_default();
        *count += 1;
        let occurrence = *count;
        if step == OrderStep::SendWrite && std::mem::take(&mut state.loses_next_response) {
            self.kv.fail_next(KvFault::LoseAnswer);
        }
        let is_due = |(injection, was_injected): &&mut (Injection, bool)| {
            !*was_injected && injection.step == step && injection.occurrence <= occurrence
        };
        let Some((injection, was_injected)) = state.injections.iter_mut().find(is_due) else {
            return;
        };
        *was_injected = true;
        let fault = injection.fault;
        let was_in_fault = std::mem::replace(&mut state.is_in_fault, true);
        drop(state);
        self.inject(fault);
        self.state().is_in_fault = was_in_fault;
    }

    fn inject(&self, fault: Fault) {
        match fault {
            Fault::Crash => resume_unwind(Box::new(SimulatedCrash)),
            Fault::LoseAnswer => self.kv.fail_next(KvFault::LoseAnswer),
            Fault::LoseCall => self.kv.fail_next(KvFault::LoseCall),
            Fault::Delay => self.kv.fail_next(KvFault::Delay),
            Fault::Refuse => self.kv.fail_next(KvFault::Refuse),
            Fault::Outage => self.start_outage(OUTAGE),
            Fault::ShortOutage => self.start_outage(SHORT_OUTAGE),
            Fault::Pause => self.clock.advance(PAUSE),
            Fault::Rival => {
                let current_order = self.state().current_order;
                self.request_at_rival(current_order, "rival");
            }
            Fault::Query => {
                let current_order = self.state().current_order;
                self.query(current_order);
            }
            Fault::Repeat => self.repeat_current_order(),
        }
    }

    fn start_outage(&self, time: Duration) {
        self.kv.set_down(true);
        self.state().outage_until = self.clock.now() + time;
    }

    fn tick(&self) {
        self.clock.advance(TICK);
        if self.clock.now() >= self.state().outage_until {
            self.kv.set_down(false);
        }
    }

    fn record_outcome(&self, request: &'static str, outcome: CallerOutcome) {
        self.state().outcomes.insert(request, outcome);
    }

    fn record_execution(&self, name: &'static str, request: &'static str, by: Owner) {
        self.state().executions.push(Execution {
            order: name,
            request,
            by,
        });
    }

    /// Runs `work` of the sidecar. If it crashes, restarts the sidecar and returns `None`. A crash while a fault is
    /// being injected ends the interrupted work instead.
    fn restart_on_crash<T>(&self, work: impl FnOnce() -> T) -> Option<T> {
        if self.state().is_in_fault {
            return Some(work());
        }
        match catch_unwind(AssertUnwindSafe(work)) {
            Ok(result) => Some(result),
            Err(panic) if panic.is::<SimulatedCrash>() => {
                self.restart();
                None
            }
            Err(panic) => resume_unwind(panic),
        }
    }

    /// Queries the sidecar about an order. If the answer is not-run, the sidecar must not run the order afterwards.
    fn query(&self, name: &'static str) -> OrderStatus {
        let answer = self.restart_on_crash(|| self.core().query(&order(name).key));
        let status = answer.unwrap_or(OrderStatus::Unknown);
        let by = self.owner();
        let mut state = self.state();
        if status == OrderStatus::NotRun {
            let executions = state.executions.len();
            state.not_run_answers.push((name, by, executions));
        }
        status
    }

    /// Submits the current order again and gives up at once.
    fn repeat_current_order(&self) {
        let current_order = self.state().current_order;
        let mut ticket = Ticket::default();
        let core = self.core();
        let decision = core.try_claim(&order(current_order), &mut ticket);
        let decision = decision.unwrap_or_else(|| core.give_up(&order(current_order), &mut ticket));
        assert!(
            !matches!(decision, ClaimDecision::Run(_)),
            "a repetition of an order must not run"
        );
        self.record_outcome("repeat", outcome_of_decision(&decision));
    }

    fn claim(&self, core: &OrderLogCore, order: &OrderRequest) -> ClaimDecision {
        let deadline = self.clock.now() + DEADLINE;
        let mut ticket = Ticket::default();
        loop {
            if let Some(decision) = core.try_claim(order, &mut ticket) {
                return decision;
            }
            if self.clock.now() >= deadline {
                return core.give_up(order, &mut ticket);
            }
            core.step();
            self.tick();
        }
    }

    /// Submits an order to the sidecar as an entry does. The call reaches the backend server if `is_sent` is true.
    fn request(&self, name: &'static str, request: &'static str, is_sent: bool) {
        self.state().current_order = name;
        let outcome = self
            .restart_on_crash(|| self.run(name, request, is_sent))
            .unwrap_or(CallerOutcome::Unknown);
        self.record_outcome(request, outcome);
    }

    fn run(&self, name: &'static str, request: &'static str, is_sent: bool) -> CallerOutcome {
        let core = self.core();
        let mut order_request = order(name);
        for _ in 0..2 {
            match self.claim(&core, &order_request) {
                ClaimDecision::Run(_) if is_sent => {
                    self.record_execution(name, request, self.owner());
                    assert!(core.finish(&order_request.key, answer("done")));
                    return CallerOutcome::Answered;
                }
                ClaimDecision::Run(_) => {
                    assert!(core.abandon(&order_request.key));
                    return CallerOutcome::NotRun;
                }
                ClaimDecision::ClaimedElsewhere(claim) => match self
                    .rival()
                    .query(&order_request.key)
                {
                    OrderStatus::Done(_) => return CallerOutcome::Answered,
                    OrderStatus::NotRun => order_request.released = Some(claim),
                    OrderStatus::Running | OrderStatus::Unknown => return CallerOutcome::Unknown,
                },
                decision => return outcome_of_decision(&decision),
            }
        }
        CallerOutcome::Unknown
    }

    /// Submits an order to the rival, another sidecar that also considers itself the owner of the shard.
    fn request_at_rival(&self, name: &'static str, request: &'static str) {
        let rival = self.rival();
        let mut order_request = order(name);
        for _ in 0..2 {
            match self.claim(&rival, &order_request) {
                ClaimDecision::Run(_) => {
                    self.record_execution(name, request, owner("w2", 1));
                    rival.finish(&order_request.key, answer("done by the rival"));
                    return self.record_outcome(request, CallerOutcome::Answered);
                }
                ClaimDecision::ClaimedElsewhere(claim) if claim.owner == self.owner() => {
                    match self.query(name) {
                        OrderStatus::NotRun => order_request.released = Some(claim),
                        status => return self.record_outcome(request, outcome_of_status(&status)),
                    }
                }
                decision => return self.record_outcome(request, outcome_of_decision(&decision)),
            }
        }
        self.record_outcome(request, CallerOutcome::Unknown);
    }

    /// Runs the steps of `core` until all changes are written.
    fn flush(&self, core: &OrderLogCore) {
        for _ in 0..20_000 {
            if core.is_flushed() {
                return;
            }
            core.step();
            self.tick();
        }
        panic!("the order log has unwritten changes after 20,000 steps");
    }

    /// Sends the requests that `HEAD` describes, then writes all changes of both sidecars.
    fn script(&self) {
        self.request("burn", "burn", true);
        self.request("burn", "burn again", true);
        self.request("unsent", "unsent", false);
        self.request("unsent", "unsent again", true);
        self.state().current_order = "late";
        self.query("late");
        self.request("late", "late", true);
        self.request_at_rival("late", "late again");
        while self.restart_on_crash(|| self.flush(&self.core())).is_none() {}
        self.flush(&self.rival());
        self.request_at_rival("burn", "burn at last");
    }

    /// Checks that no order ran twice and that no outcome contradicts the executions.
    fn check(&self, injections: &[Injection]) {
        let state = self.state();
        for name in ["burn", "unsent", "late"] {
            let executions = state
                .executions
                .iter()
                .filter(|execution| execution.order == name)
                .count();
            assert!(
                executions <= 1,
                "{injections:?}: {name} ran {executions} times"
            );
        }
        for (request, outcome) in &state.outcomes {
            let ran = state
                .executions
                .iter()
                .any(|execution| execution.request == *request);
            assert!(
                !(ran && *outcome == CallerOutcome::NotRun),
                "{injections:?}: {request} ran although its outcome was not-run"
            );
        }
        for (name, by, before) in &state.not_run_answers {
            let later = state.executions.iter().skip(*before);
            let ran = later
                .into_iter()
                .any(|execution| execution.order == *name && execution.by == *by);
            assert!(
                !ran,
                "{injections:?}: {by:?} ran {name} after it had answered a query with not-run"
            );
        }
        for (request, name) in [
            ("burn", "burn"),
            ("burn again", "burn"),
            ("unsent again", "unsent"),
        ] {
            let ran = state
                .executions
                .iter()
                .any(|execution| execution.order == name);
            let is_answered = state.outcomes.get(request) == Some(&CallerOutcome::Answered);
            assert!(
                ran || !is_answered,
                "{injections:?}: {request} was answered although {name} did not run"
            );
        }
    }

    /// Returns the last columns of a row of the table.
    fn outcome(&self) -> String {
        let state = self.state();
        let outcome_of = |request| match state.outcomes.get(request) {
            Some(CallerOutcome::Answered) => "answered",
            Some(CallerOutcome::NotRun) => "not-run",
            Some(CallerOutcome::Unknown) => "unknown",
            None => "-",
        };
        let ran = |name| {
            state
                .executions
                .iter()
                .filter(|execution| execution.order == name)
                .count()
        };
        let mut outcome = String::new();
        for (first, again, name) in [
            ("burn", "burn again", "burn"),
            ("unsent", "unsent again", "unsent"),
            ("late", "late again", "late"),
        ] {
            let _ = write!(
                outcome,
                " {}, {}, {} |",
                outcome_of(first),
                outcome_of(again),
                ran(name)
            );
        }
        outcome
    }
}

fn outcome_of_decision(decision: &ClaimDecision) -> CallerOutcome {
    match decision {
        ClaimDecision::Answered(_) => CallerOutcome::Answered,
        ClaimDecision::NotRun { .. } => CallerOutcome::NotRun,
        _ => CallerOutcome::Unknown,
    }
}

fn outcome_of_status(status: &OrderStatus) -> CallerOutcome {
    match status {
        OrderStatus::Done(_) => CallerOutcome::Answered,
        OrderStatus::NotRun => CallerOutcome::NotRun,
        OrderStatus::Running | OrderStatus::Unknown => CallerOutcome::Unknown,
    }
}

/// Runs the script with the given faults and returns its outcome, or `None` if a fault was not injected.
fn run(injections: &[Injection]) -> Option<String> {
    let simulation = Simulation::new(injections);
    simulation.script();
    simulation.check(injections);
    let all_injected = simulation
        .state()
        .injections
        .iter()
        .all(|(_, was_injected)| *was_injected);
    let outcome = simulation.outcome();
    simulation.state().core = None;
    all_injected.then_some(outcome)
}

fn injections(occurrence: u32) -> Vec<Injection> {
    let steps = OrderStep::ALL.iter().copied();
    steps
        .flat_map(|step| {
            Fault::ALL.map(|fault| Injection {
                step,
                occurrence,
                fault,
            })
        })
        .collect()
}

fn table() -> String {
    let mut table = String::new();
    let without_faults = run(&[]).unwrap();
    let _ = writeln!(table, "| none | |{without_faults}");
    for &step in OrderStep::ALL {
        for occurrence in [1, 2] {
            let mut rows: Vec<(String, Vec<String>)> = Vec::new();
            for fault in Fault::ALL {
                let outcome = run(&[Injection {
                    step,
                    occurrence,
                    fault,
                }]);
                assert!(
                    outcome.is_some() || occurrence > 1,
                    "{fault:?} was not injected at {step:?}"
                );
                let Some(outcome) = outcome else { continue };
                match rows.iter_mut().find(|(known, _)| *known == outcome) {
                    Some((_, faults)) => faults.push(format!("{fault:?}")),
                    None => rows.push((outcome, vec![format!("{fault:?}")])),
                }
            }
            for (outcome, faults) in rows {
                let _ = writeln!(
                    table,
                    "| {step:?} {occurrence} | {} |{outcome}",
                    faults.join(", ")
                );
            }
        }
    }
    table
}

const HEAD: &str = "# Outcomes of orders under faults

Written by `UPDATE_DOCS=1 cargo test -p tanagerford-node --test order_faults` and compared by the same test. The steps
are `OrderStep::ALL` of `tanagerford-core`; the number after a step is its occurrence in the script. The test also
checks every pair of faults at first and second occurrences; a pair must keep the invariants, and its outcome is not
listed.

The script sends `burn` and repeats it, sends `unsent` whose call cannot be sent to the backend server and repeats it,
and asks about `late` before it arrives, then sends it to the sidecar and to another one that believes to own the
shard. Each cell gives the outcome of the first request, of the repeated one, and the executions. No cell may show two
executions, and a request that is told `not-run` was not executed itself; its order may have been executed by another
request (the rival's).

- `Crash`: the sidecar stops and starts as a new incarnation; the caller whose link is lost is told `unknown`.
- `LoseAnswer`, `LoseCall`, `Delay`, `Refuse`: the next call to the key-value service takes effect without an answer, is
  lost, takes effect after the next call, or is refused.
- `Outage`, `ShortOutage`: the key-value service is down for 20 s or 0.3 s; orders have a deadline of 5 s.
- `Pause`: the sidecar pauses for 60 s.
- `Rival`: another sidecar claims and runs the order at this moment.
- `Query`, `Repeat`: another process asks about the order, or submits it again and gives up at once.

Faults of the model engines are outside of this table. A prompt part that crashes each server that answers with it is
refused by all entries after three crashes half a second apart; see `crates/core/tests/suspect_parts.rs`.

Faults around the limits and the versions of servers are outside of it as well:

- The entry that grants the permits of a limited server stops: there are no permits until the others notice, at most 3.5 s;
  calls go to other servers or wait. `the_limit_holds_while_entries_are_replaced`.
- Entries are cut off from each other: each group grants its share. `entries_cut_off_from_each_other_share_the_limit`.
- Messages about permits are lost: so are the permits. `lost_messages_only_lose_permits`.
- The entry that began a stream stops: its keepers know the version. All of them stop: the stream ends with a refusal as not
  run. `crates/core/tests/stream_version.rs`, `platform/tests/stream_versions.rs`.

| step | faults | `burn` | `unsent` | `late` |
| --- | --- | --- | --- | --- |
";

/// Guards against two executions, a false not-run, and an unreviewed change of an outcome after any single fault.
#[test]
fn single_faults_have_the_reviewed_outcomes() {
    let outcomes = format!("{HEAD}{}", table());
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/faults.md");
    if std::env::var_os("UPDATE_DOCS").is_some() {
        std::fs::write(&path, &outcomes).unwrap();
    }
    let reviewed = std::fs::read_to_string(&path).unwrap_or_default();
    assert!(
        outcomes == reviewed,
        "docs/faults.md differs from the outcomes:\n{outcomes}"
    );
}

/// Guards against two executions and a false not-run after any pair of faults.
#[test]
fn pairs_of_faults_keep_the_invariants() {
    let all = [injections(1), injections(2)].concat();
    let parts = all.chunks(all.len().div_ceil(4));
    let injected: usize = thread::scope(|scope| {
        let run_part = |part: &[Injection]| {
            let pairs = part
                .iter()
                .flat_map(|first| all.iter().map(move |second| [*first, *second]));
            pairs.filter(|pair| run(pair).is_some()).count()
        };
        let threads: Vec<_> = parts
            .map(|part| scope.spawn(move || run_part(part)))
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .sum()
    });
    println!(
        "{} pairs, both faults injected in {injected}",
        all.len() * all.len()
    );
    assert!(injected > all.len() * all.len() / 2);
}

/// Guards against a check that does not detect a second execution.
#[test]
fn the_check_detects_a_second_execution() {
    let simulation = Simulation::new(&[]);
    simulation.script();
    simulation.record_execution("burn", "burn", owner("w1", 1));
    let check = catch_unwind(AssertUnwindSafe(|| simulation.check(&[])));
    simulation.state().core = None;
    assert!(check.is_err());
}

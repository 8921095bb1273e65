//! Fault matrix of the order log: every fault at every step that the code lists, alone and in pairs, against the real
//! order log over a fake key-value service and backend server on a virtual clock.
//!
//! `docs/faults.md` is the reviewed outcome table. `UPDATE_DOCS=1 cargo test -p tanagerford-node --test order_faults`
//! writes it anew.

mod support;

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::panic::{AssertUnwindSafe, catch_unwind, resume_unwind};
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use support::{FakeKv, KvFault, VirtualClock, answer, book, order, owner};
use tanagerford_core::order::{OrderStep, Owner};
use tanagerford_node::orders::{ClaimDecision, OrderBook, OrderRequest, OrderStatus, Ticket};

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

/// A fault at the given occurrence of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Strike {
    step: OrderStep,
    occurrence: u32,
    fault: Fault,
}

/// What has to happen first so that `step` is reached. A new step does not compile until it is considered here.
fn condition(step: OrderStep) -> Option<KvFault> {
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

/// What a caller was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Told {
    Answered,
    NotRun,
    Unknown,
}

/// One execution by a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Effect {
    order: &'static str,
    request: &'static str,
    by: Owner,
}

#[derive(Default)]
struct State {
    strikes: Vec<(Strike, bool)>,
    passed: BTreeMap<OrderStep, u32>,
    prime_write: bool,
    down_until: Duration,
    current: &'static str,
    effects: Vec<Effect>,
    told: BTreeMap<&'static str, Told>,
    /// Queries that were answered with not-run, with the effects at that time.
    refused: Vec<(&'static str, Owner, usize)>,
    book: Option<Arc<OrderBook>>,
    rival: Option<Arc<OrderBook>>,
    incarnation: u64,
    in_fault: bool,
}

#[derive(Clone)]
struct World {
    kv: Arc<FakeKv>,
    clock: VirtualClock,
    state: Arc<Mutex<State>>,
}

/// Panic that stands for a crash of the sidecar.
struct Crashed;

impl World {
    fn new(strikes: &[Strike]) -> Self {
        let world = Self {
            kv: Arc::new(FakeKv::default()),
            clock: VirtualClock::default(),
            state: Arc::default(),
        };
        let rival = Arc::new(book(&world.kv, &world.clock, owner("w2", 1), None));
        rival.own_shards(&[0]);
        rival.step();
        let mut state = world.state();
        state.strikes = strikes.iter().map(|strike| (*strike, false)).collect();
        state.prime_write = strikes
            .iter()
            .any(|strike| condition(strike.step).is_some());
        state.rival = Some(rival);
        drop(state);
        world.restart();
        world
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn book(&self) -> Arc<OrderBook> {
        self.state().book.clone().unwrap()
    }

    fn rival(&self) -> Arc<OrderBook> {
        self.state().rival.clone().unwrap()
    }

    fn owner(&self) -> Owner {
        owner("w1", self.state().incarnation)
    }

    /// Starts the sidecar as a new incarnation.
    fn restart(&self) {
        self.state().in_fault = false;
        self.state().incarnation += 1;
        let incarnation = self.state().incarnation;
        let world = self.clone();
        let hook = Arc::new(move |step| world.pass(step));
        let started = book(&self.kv, &self.clock, owner("w1", incarnation), Some(hook));
        self.state().book = Some(Arc::new(started));
        self.rival().observe_alive("w1", incarnation);
    }

    /// Lets the faults strike that are due at this step.
    fn pass(&self, step: OrderStep) {
        let mut state = self.state();
        let passed = state.passed.entry(step).or_default();
        *passed += 1;
        let occurrence = *passed;
        if step == OrderStep::SendWrite && std::mem::take(&mut state.prime_write) {
            self.kv.fail_next(KvFault::LoseAnswer);
        }
        let due = |(strike, struck): &&mut (Strike, bool)| {
            !*struck && strike.step == step && strike.occurrence <= occurrence
        };
        let Some((strike, struck)) = state.strikes.iter_mut().find(due) else {
            return;
        };
        *struck = true;
        let fault = strike.fault;
        let nested = std::mem::replace(&mut state.in_fault, true);
        drop(state);
        self.strike(fault);
        self.state().in_fault = nested;
    }

    fn strike(&self, fault: Fault) {
        match fault {
            Fault::Crash => resume_unwind(Box::new(Crashed)),
            Fault::LoseAnswer => self.kv.fail_next(KvFault::LoseAnswer),
            Fault::LoseCall => self.kv.fail_next(KvFault::LoseCall),
            Fault::Delay => self.kv.fail_next(KvFault::Delay),
            Fault::Refuse => self.kv.fail_next(KvFault::Refuse),
            Fault::Outage => self.go_down(OUTAGE),
            Fault::ShortOutage => self.go_down(SHORT_OUTAGE),
            Fault::Pause => self.clock.advance(PAUSE),
            Fault::Rival => {
                let current = self.state().current;
                self.request_at_rival(current, "rival");
            }
            Fault::Query => {
                let current = self.state().current;
                self.query(current);
            }
            Fault::Repeat => self.repeat(),
        }
    }

    fn go_down(&self, time: Duration) {
        self.kv.set_down(true);
        self.state().down_until = self.clock.now() + time;
    }

    fn tick(&self) {
        self.clock.advance(TICK);
        if self.clock.now() >= self.state().down_until {
            self.kv.set_down(false);
        }
    }

    fn tell(&self, request: &'static str, told: Told) {
        self.state().told.insert(request, told);
    }

    fn execute(&self, name: &'static str, request: &'static str, by: Owner) {
        self.state().effects.push(Effect {
            order: name,
            request,
            by,
        });
    }

    /// Runs `work` of the sidecar; restarts the sidecar and returns `None` if it crashes. A crash inside of a fault
    /// ends the work that the fault interrupted.
    fn survive<T>(&self, work: impl FnOnce() -> T) -> Option<T> {
        if self.state().in_fault {
            return Some(work());
        }
        match catch_unwind(AssertUnwindSafe(work)) {
            Ok(done) => Some(done),
            Err(panic) if panic.is::<Crashed>() => {
                self.restart();
                None
            }
            Err(panic) => resume_unwind(panic),
        }
    }

    /// Asks the sidecar about an order; a not-run must stay true.
    fn query(&self, name: &'static str) -> OrderStatus {
        let asked = self.survive(|| self.book().query(&order(name).key));
        let status = asked.unwrap_or(OrderStatus::Unknown);
        let by = self.owner();
        let mut state = self.state();
        if status == OrderStatus::NotRun {
            let effects = state.effects.len();
            state.refused.push((name, by, effects));
        }
        status
    }

    /// Submits the current order once more and gives it up at once.
    fn repeat(&self) {
        let current = self.state().current;
        let mut ticket = Ticket::default();
        let book = self.book();
        let decision = book.try_claim(&order(current), &mut ticket);
        let decision = decision.unwrap_or_else(|| book.give_up(&order(current), &mut ticket));
        assert!(
            !matches!(decision, ClaimDecision::Run(_)),
            "a repeated order is told to run at once"
        );
        self.tell("repeat", told(&decision));
    }

    fn claim(&self, book: &OrderBook, order: &OrderRequest) -> ClaimDecision {
        let deadline = self.clock.now() + DEADLINE;
        let mut ticket = Ticket::default();
        loop {
            if let Some(decision) = book.try_claim(order, &mut ticket) {
                return decision;
            }
            if self.clock.now() >= deadline {
                return book.give_up(order, &mut ticket);
            }
            book.step();
            self.tick();
        }
    }

    /// Sends an order to the sidecar as an entry does, and lets the backend server run it or not.
    fn request(&self, name: &'static str, request: &'static str, sent: bool) {
        self.state().current = name;
        let outcome = self
            .survive(|| self.run(name, request, sent))
            .unwrap_or(Told::Unknown);
        self.tell(request, outcome);
    }

    fn run(&self, name: &'static str, request: &'static str, sent: bool) -> Told {
        let book = self.book();
        let mut wanted = order(name);
        for _ in 0..2 {
            match self.claim(&book, &wanted) {
                ClaimDecision::Run(_) if sent => {
                    self.execute(name, request, self.owner());
                    assert!(book.finish(&wanted.key, answer("done")));
                    return Told::Answered;
                }
                ClaimDecision::Run(_) => {
                    assert!(book.abandon(&wanted.key));
                    return Told::NotRun;
                }
                ClaimDecision::OwnedElsewhere(claim) => match self.rival().query(&wanted.key) {
                    OrderStatus::Done(_) => return Told::Answered,
                    OrderStatus::NotRun => wanted.released = Some(claim),
                    OrderStatus::Running | OrderStatus::Unknown => return Told::Unknown,
                },
                decision => return told(&decision),
            }
        }
        Told::Unknown
    }

    /// Sends an order to the other sidecar, which believes to own the shard too.
    fn request_at_rival(&self, name: &'static str, request: &'static str) {
        let rival = self.rival();
        let mut wanted = order(name);
        for _ in 0..2 {
            match self.claim(&rival, &wanted) {
                ClaimDecision::Run(_) => {
                    self.execute(name, request, owner("w2", 1));
                    rival.finish(&wanted.key, answer("done by the rival"));
                    return self.tell(request, Told::Answered);
                }
                ClaimDecision::OwnedElsewhere(claim) if claim.owner == self.owner() => {
                    match self.query(name) {
                        OrderStatus::NotRun => wanted.released = Some(claim),
                        status => return self.tell(request, told_status(&status)),
                    }
                }
                decision => return self.tell(request, told(&decision)),
            }
        }
        self.tell(request, Told::Unknown);
    }

    /// Runs the steps of `book` until everything is written.
    fn flush(&self, book: &OrderBook) {
        for _ in 0..20_000 {
            if book.is_flushed() {
                return;
            }
            book.step();
            self.tick();
        }
        panic!("the order log does not come to rest");
    }

    fn script(&self) {
        self.request("burn", "burn", true);
        self.request("burn", "burn again", true);
        self.request("unsent", "unsent", false);
        self.request("unsent", "unsent again", true);
        self.state().current = "late";
        self.query("late");
        self.request("late", "late", true);
        self.request_at_rival("late", "late again");
        while self.survive(|| self.flush(&self.book())).is_none() {}
        self.flush(&self.rival());
        self.request_at_rival("burn", "burn at last");
    }

    fn check(&self, strikes: &[Strike]) {
        let state = self.state();
        for name in ["burn", "unsent", "late"] {
            let effects = state
                .effects
                .iter()
                .filter(|effect| effect.order == name)
                .count();
            assert!(effects <= 1, "{strikes:?}: {name} ran {effects} times");
        }
        for (request, told) in &state.told {
            let ran = state
                .effects
                .iter()
                .any(|effect| effect.request == *request);
            assert!(
                !(ran && *told == Told::NotRun),
                "{strikes:?}: {request} was told not-run and ran"
            );
        }
        for (name, by, before) in &state.refused {
            let later = state.effects.iter().skip(*before);
            let ran = later
                .into_iter()
                .any(|effect| effect.order == *name && effect.by == *by);
            assert!(
                !ran,
                "{strikes:?}: {name} ran after {by:?} had answered not-run"
            );
        }
        for (request, name) in [
            ("burn", "burn"),
            ("burn again", "burn"),
            ("unsent again", "unsent"),
        ] {
            let ran = state.effects.iter().any(|effect| effect.order == name);
            let answered = state.told.get(request) == Some(&Told::Answered);
            assert!(
                ran || !answered,
                "{strikes:?}: {request} was answered without a run"
            );
        }
    }

    fn outcome(&self) -> String {
        let state = self.state();
        let told = |request| match state.told.get(request) {
            Some(Told::Answered) => "answered",
            Some(Told::NotRun) => "not-run",
            Some(Told::Unknown) => "unknown",
            None => "-",
        };
        let ran = |name| {
            state
                .effects
                .iter()
                .filter(|effect| effect.order == name)
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
                told(first),
                told(again),
                ran(name)
            );
        }
        outcome
    }
}

fn told(decision: &ClaimDecision) -> Told {
    match decision {
        ClaimDecision::Answered(_) => Told::Answered,
        ClaimDecision::NotRun { .. } => Told::NotRun,
        _ => Told::Unknown,
    }
}

fn told_status(status: &OrderStatus) -> Told {
    match status {
        OrderStatus::Done(_) => Told::Answered,
        OrderStatus::NotRun => Told::NotRun,
        OrderStatus::Running | OrderStatus::Unknown => Told::Unknown,
    }
}

/// Runs the script with the given faults and returns its outcome, or `None` if a fault did not strike.
fn run(strikes: &[Strike]) -> Option<String> {
    let world = World::new(strikes);
    world.script();
    world.check(strikes);
    let struck = world.state().strikes.iter().all(|(_, struck)| *struck);
    let outcome = world.outcome();
    world.state().book = None;
    struck.then_some(outcome)
}

fn strikes(occurrence: u32) -> Vec<Strike> {
    let steps = OrderStep::ALL.iter().copied();
    steps
        .flat_map(|step| {
            Fault::ALL.map(|fault| Strike {
                step,
                occurrence,
                fault,
            })
        })
        .collect()
}

fn table() -> String {
    let mut table = String::new();
    let calm = run(&[]).unwrap();
    let _ = writeln!(table, "| none | |{calm}");
    for &step in OrderStep::ALL {
        for occurrence in [1, 2] {
            let mut rows: Vec<(String, Vec<String>)> = Vec::new();
            for fault in Fault::ALL {
                let outcome = run(&[Strike {
                    step,
                    occurrence,
                    fault,
                }]);
                assert!(
                    outcome.is_some() || occurrence > 1,
                    "{fault:?} did not strike at {step:?}"
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

| step | faults | `burn` | `unsent` | `late` |
| --- | --- | --- | --- | --- |
";

/// Guards against two executions, a false not-run, and an unreviewed change of an outcome, for single faults.
#[test]
fn single_faults_have_the_reviewed_outcomes() {
    let found = format!("{HEAD}{}", table());
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/faults.md");
    if std::env::var_os("UPDATE_DOCS").is_some() {
        std::fs::write(&path, &found).unwrap();
    }
    let reviewed = std::fs::read_to_string(&path).unwrap_or_default();
    assert!(
        found == reviewed,
        "docs/faults.md differs from the outcomes:\n{found}"
    );
}

/// Guards against two executions and a false not-run when two faults come together.
#[test]
fn pairs_of_faults_keep_the_invariants() {
    let all = [strikes(1), strikes(2)].concat();
    let parts = all.chunks(all.len().div_ceil(4));
    let struck: usize = thread::scope(|scope| {
        let run_part = |part: &[Strike]| {
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
        "{} pairs, both faults struck in {struck}",
        all.len() * all.len()
    );
    assert!(struck > all.len() * all.len() / 2);
}

/// Guards against a matrix that cannot see a second execution: the script's own check must fail on one.
#[test]
fn the_check_sees_a_second_execution() {
    let world = World::new(&[]);
    world.script();
    world.execute("burn", "burn", owner("w1", 1));
    let seen = catch_unwind(AssertUnwindSafe(|| world.check(&[])));
    world.state().book = None;
    assert!(seen.is_err());
}

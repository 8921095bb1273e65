//! Tests of planners and slot runners with paused planners, replaced sidecars and outages of the key-value service.
//! They use the in-memory key-value service, the engine stand-in and a virtual clock.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::json;
use tanagerford_engine::{
    EngineClient, EngineError, FencingToken, GenerateRequest, OrderKind, OrderRequest,
};
use tanagerford_kv::kv::{
    Call, Commit, KeyValue, Kv, LeaseId, Revision, Transaction, WatchEvent, Write,
};
use tanagerford_kv::memory::{Faults, Memory};
use tanagerford_kv::weight_store::WeightStore;
use tanagerford_node::placement::{
    LeaseTiming, PLACEMENT_KEY, PlannerRunner, SlotRunner, SlotSettings,
};
use tanagerford_standin::engine::{Behaviour, Engine, OrderCounts};

const TIMEOUT: Duration = Duration::from_secs(1);

/// Rate limit of loads that delays no load in a test with steps of one second.
const FAST_LOADS_PER_HOUR: u32 = 36_000_000;

struct Simulation {
    memory: Memory,
    now: Cell<Duration>,
}

impl Simulation {
    fn new() -> Self {
        Self {
            memory: Memory::with_virtual_clock(),
            now: Cell::default(),
        }
    }

    fn advance(&self, time: Duration) {
        self.now.set(self.now.get() + time);
        self.memory.advance(time);
    }

    fn expire_lease(&self) {
        self.advance(LeaseTiming::default().ttl + Duration::from_secs(1));
    }

    fn planner(&self, name: &str) -> PlannerRunner {
        PlannerRunner::new(Arc::new(self.memory.client()), name, LeaseTiming::default())
    }

    fn sidecar_with(&self, kv: Memory, server: &str, engine: &Engine, rate: u32) -> SlotRunner {
        let settings = SlotSettings {
            server: server.to_owned(),
            lease_timing: LeaseTiming::default(),
            weight_store: WeightStore::new(rate),
        };
        assert_eq!(
            self.memory.revision(),
            kv.revision(),
            "both share one store"
        );
        SlotRunner::new(Arc::new(kv), EngineClient::new(engine.address()), settings)
    }

    fn sidecar(&self, server: &str, engine: &Engine) -> SlotRunner {
        self.sidecar_with(self.memory.client(), server, engine, FAST_LOADS_PER_HOUR)
    }

    /// Runs `rounds` steps of a sidecar, one second apart.
    fn run(&self, sidecar: &mut SlotRunner, rounds: u32) {
        for _ in 0..rounds {
            self.advance(Duration::from_secs(1));
            sidecar.step(&|| self.now.get(), 1);
        }
    }

    /// Writes a placement with `models` on the server w1.
    fn write_placement(&self, generation: u64, models: &[&str]) {
        let models: BTreeMap<_, _> = models.iter().map(|model| (*model, generation)).collect();
        let value = json!({"generation": generation, "wanted": {"w1": models}});
        let write = Write::Put {
            key: PLACEMENT_KEY.into(),
            value: value.to_string().into_bytes(),
            lease: None,
        };
        let transaction = Transaction {
            compares: vec![],
            writes: vec![write],
        };
        let response = self.memory.commit(&transaction, TIMEOUT);
        assert!(matches!(response, Call::Done(Commit::Applied(_))));
    }

    fn stored_placement(&self) -> serde_json::Value {
        let Call::Done(Some(entry)) = self.memory.get(PLACEMENT_KEY, TIMEOUT) else {
            panic!("a placement is stored");
        };
        serde_json::from_slice(&entry.value).expect("the placement is JSON")
    }
}

fn engine(checks_fence: bool) -> Engine {
    Engine::start(Behaviour {
        checks_fence,
        ..Behaviour::default()
    })
    .expect("a port is free")
}

fn demand(counts: &[(&str, usize)]) -> BTreeMap<String, usize> {
    let counts = counts.iter().map(|(model, n)| ((*model).to_owned(), *n));
    counts.collect()
}

fn set(models: &[&str]) -> BTreeSet<String> {
    models.iter().map(|model| (*model).to_owned()).collect()
}

/// Guards against a planner that is paused between reading and writing the placement and then overwrites a newer one.
#[test]
fn a_paused_planner_that_resumes_changes_nothing() {
    let simulation = Simulation::new();
    let engine = engine(true);
    let mut sidecar = simulation.sidecar("w1", &engine);
    simulation.run(&mut sidecar, 1);
    let mut paused = simulation.planner("a");
    let mut other = simulation.planner("b");
    let clock = || simulation.now.get();
    let plan = paused
        .plan(&clock, &demand(&[("old", 1)]))
        .expect("the first planner takes the lease");
    assert!(
        !other.step(&clock, &demand(&[("new", 1)])),
        "the first planner holds the lease"
    );
    simulation.expire_lease();
    simulation.run(&mut sidecar, 2);
    assert!(other.step(&clock, &demand(&[("new", 1)])));
    let stored_placement = simulation.stored_placement();
    assert!(!paused.write(&plan));
    assert!(!paused.step(&clock, &demand(&[("old", 1)])));
    assert_eq!(simulation.stored_placement(), stored_placement);
    simulation.run(&mut sidecar, 2);
    assert_eq!(engine.models(), set(&["new"]));
}

/// Guards against an order of a sidecar that was paused at any reading of its clock while another sidecar took the slot
/// and applied a later placement. The sidecar itself must prevent it, because some engines ignore the fencing token.
#[test]
fn a_paused_sidecar_sends_no_order_after_its_slot_was_taken() {
    for checks_fence in [true, false] {
        let mut pauses = 0;
        for pause_at in 1..=8 {
            pauses += u32::from(resume_old_sidecar(checks_fence, pause_at));
        }
        assert!(pauses >= 4, "only {pauses} pauses were inside a step");
    }
}

/// Returns whether the old sidecar read its clock often enough to be paused.
fn resume_old_sidecar(checks_fence: bool, pause_at: u32) -> bool {
    let simulation = Simulation::new();
    let engine = engine(checks_fence);
    let mut old = simulation.sidecar("w1", &engine);
    let mut new = simulation.sidecar("w1", &engine);
    simulation.run(&mut old, 1);
    assert_eq!(old.slot().incarnation, 1);
    simulation.write_placement(1, &["m"]);
    simulation.advance(Duration::from_secs(1));
    let readings = Cell::new(0);
    let new = Cell::new(Some(&mut new));
    let orders_of_new = Cell::new(OrderCounts::default());
    let clock = || {
        readings.set(readings.get() + 1);
        if readings.get() == pause_at {
            let new = new.take().expect("the old sidecar is paused once");
            simulation.expire_lease();
            simulation.write_placement(2, &["n"]);
            simulation.run(new, 6);
            assert_eq!(new.slot().incarnation, 2);
            assert_eq!(engine.models(), set(&["n"]));
            orders_of_new.set(engine.orders());
        }
        simulation.now.get()
    };
    old.step(&clock, 1);
    let is_paused = readings.get() >= pause_at;
    if is_paused {
        assert_eq!(engine.orders(), orders_of_new.get(), "paused at {pause_at}");
        simulation.run(&mut old, 3);
        assert_eq!(engine.orders(), orders_of_new.get(), "paused at {pause_at}");
    }
    is_paused
}

/// Guards against a sidecar that cannot reach the key-value service and sends orders after another sidecar has taken
/// its slot.
#[test]
fn a_sidecar_without_the_key_value_service_sends_no_order_after_its_lease() {
    for checks_fence in [true, false] {
        let simulation = Simulation::new();
        let engine = engine(checks_fence);
        let kv = simulation.memory.client();
        let mut old = simulation.sidecar_with(kv.clone(), "w1", &engine, FAST_LOADS_PER_HOUR);
        let mut new = simulation.sidecar("w1", &engine);
        simulation.write_placement(1, &["m"]);
        simulation.run(&mut old, 3);
        assert_eq!(engine.models(), set(&["m"]));
        simulation.run(&mut new, 3);
        assert_eq!(
            new.slot().incarnation,
            0,
            "the slot must not be taken before the old lease has ended"
        );
        kv.set_faults(Faults {
            is_down: true,
            ..Faults::default()
        });
        simulation.expire_lease();
        simulation.write_placement(2, &["n"]);
        simulation.run(&mut new, 5);
        let orders = engine.orders();
        simulation.run(&mut old, 5);
        assert_eq!(engine.orders(), orders);
        assert_eq!(engine.models(), set(&["n"]));
    }
}

/// Client whose first renewal of a lease takes effect at once, but whose response arrives after that lease has ended
/// and another sidecar has taken the slot.
struct LateRenewal {
    memory: Memory,
    late_by_s: AtomicU64,
    successor: Mutex<Option<SlotRunner>>,
}

impl Kv for LateRenewal {
    fn get(&self, key: &str, timeout: Duration) -> Call<Option<KeyValue>> {
        self.memory.get(key, timeout)
    }

    fn list(&self, prefix: &str, timeout: Duration) -> Call<Vec<KeyValue>> {
        self.memory.list(prefix, timeout)
    }

    fn commit(&self, transaction: &Transaction, timeout: Duration) -> Call<Commit> {
        self.memory.commit(transaction, timeout)
    }

    fn grant_lease(&self, ttl: Duration, timeout: Duration) -> Call<LeaseId> {
        self.memory.grant_lease(ttl, timeout)
    }

    fn renew_lease(&self, lease: LeaseId, timeout: Duration) -> Call<Duration> {
        let response = self.memory.renew_lease(lease, timeout);
        let successor = self.successor.lock().expect("no test thread panics").take();
        if let Some(mut successor) = successor {
            let late_by = LeaseTiming::default().ttl + Duration::from_secs(1);
            self.memory.advance(late_by);
            self.late_by_s.store(late_by.as_secs(), Ordering::Release);
            successor.step(&|| late_by, 1);
            assert_eq!(successor.slot().incarnation, 2);
        }
        response
    }

    fn revoke_lease(&self, lease: LeaseId, timeout: Duration) -> Call<()> {
        self.memory.revoke_lease(lease, timeout)
    }

    fn watch(&self, prefix: &str, from: Revision, timeout: Duration) -> Call<Vec<WatchEvent>> {
        self.memory.watch(prefix, from, timeout)
    }
}

/// Guards against a sidecar that counts its lease from the arrival of a late response, when another sidecar already
/// holds the slot.
#[test]
fn a_lease_counts_from_before_its_renewal_was_sent() {
    let simulation = Simulation::new();
    let engine = engine(false);
    let successor = simulation.sidecar("w1", &engine);
    let kv = Arc::new(LateRenewal {
        memory: simulation.memory.client(),
        late_by_s: AtomicU64::new(0),
        successor: Mutex::new(Some(successor)),
    });
    let settings = SlotSettings {
        server: "w1".into(),
        lease_timing: LeaseTiming::default(),
        weight_store: WeightStore::new(FAST_LOADS_PER_HOUR),
    };
    let client = EngineClient::new(engine.address());
    let mut old = SlotRunner::new(Arc::clone(&kv) as Arc<dyn Kv>, client, settings);
    let clock = || simulation.now.get() + Duration::from_secs(kv.late_by_s.load(Ordering::Acquire));
    old.step(&clock, 1);
    assert_eq!(old.slot().incarnation, 1);
    simulation.advance(Duration::from_secs(1));
    simulation.write_placement(1, &["m"]);
    // The first load of the successor is not due yet, so any order comes from the old sidecar.
    old.step(&clock, 1);
    assert_ne!(
        kv.late_by_s.load(Ordering::Acquire),
        0,
        "the renewal was late"
    );
    assert_eq!(engine.orders(), OrderCounts::default());
}

/// Guards against a planner that unloads a model from its last server before another server has loaded it.
#[test]
fn a_model_is_never_unloaded_from_its_last_server() {
    let simulation = Simulation::new();
    let (first, second) = (engine(true), engine(false));
    let mut sidecars = [
        simulation.sidecar("w1", &first),
        simulation.sidecar("w2", &second),
    ];
    let mut planner = simulation.planner("a");
    for sidecar in &mut sidecars {
        simulation.run(sidecar, 1);
    }
    let mut is_loaded = false;
    for (step, count) in [1, 1, 2, 1, 2, 2, 0, 2, 1, 0, 1, 2, 2, 2, 0, 0]
        .into_iter()
        .enumerate()
    {
        planner.step(&|| simulation.now.get(), &demand(&[("m", count)]));
        // The second sidecar runs more rarely, so that its reports are outdated.
        for (index, sidecar) in sidecars.iter_mut().enumerate() {
            if index == 0 || step % 3 == 2 {
                simulation.run(sidecar, 2);
            }
            let has_model = |engine: &Engine| engine.models().contains("m");
            let is_held = has_model(&first) || has_model(&second);
            assert!(is_held || !is_loaded, "no server holds the model at {step}");
            is_loaded |= is_held;
        }
    }
    assert!(is_loaded);
    let unloads = first.orders().unload + second.orders().unload;
    assert!(unloads > 0, "surplus servers must unload the model");
}

/// Guards against a planner that counts a server as a holder of a model that the server has been assigned but has not
/// loaded yet.
#[test]
fn a_server_that_still_loads_does_not_count_as_a_holder() {
    let simulation = Simulation::new();
    let (first, second) = (engine(true), engine(false));
    let mut loading = simulation.sidecar("w1", &first);
    let mut holder = simulation.sidecar("w2", &second);
    let mut planner = simulation.planner("a");
    let clock = || simulation.now.get();
    simulation.run(&mut holder, 1);
    assert!(planner.step(&clock, &demand(&[("m", 1)])));
    simulation.run(&mut holder, 2);
    assert_eq!(second.models(), set(&["m"]));
    simulation.run(&mut loading, 1);
    assert!(planner.step(&clock, &demand(&[("m", 2)])));
    assert!(simulation.stored_placement()["wanted"]["w1"]["m"].is_u64());
    planner.step(&clock, &demand(&[("m", 1)]));
    simulation.run(&mut holder, 3);
    assert_eq!(second.models(), set(&["m"]));
}

/// Guards against a first placement that unloads models which an engine held before any planner knew the engine.
#[test]
fn models_loaded_before_the_first_placement_are_kept() {
    let simulation = Simulation::new();
    let (first, second) = (engine(true), engine(true));
    let mut known = simulation.sidecar("w1", &first);
    let mut late = simulation.sidecar("w2", &second);
    let order = OrderRequest {
        kind: OrderKind::Load,
        model: "m".into(),
        fence: FencingToken {
            generation: 0,
            incarnation: 0,
        },
    };
    let client = EngineClient::new(second.address());
    assert_eq!(client.order(&order), Ok(()));
    let mut planner = simulation.planner("a");
    let clock = || simulation.now.get();
    simulation.run(&mut known, 1);
    assert!(planner.step(&clock, &demand(&[("n", 1)])));
    simulation.run(&mut late, 3);
    assert_eq!(second.models(), set(&["m"]));
    assert!(planner.step(&clock, &demand(&[("n", 1)])));
    simulation.run(&mut late, 3);
    assert_eq!(second.models(), set(&["m"]));
    assert_eq!(second.orders().unload, 0);
}

/// Guards against an outage of the key-value service that changes the models of an engine or stops it from serving, and
/// against a sidecar that does not continue after the outage.
#[test]
fn an_outage_of_the_key_value_service_changes_nothing() {
    let simulation = Simulation::new();
    let engine = engine(false);
    let kv = simulation.memory.client();
    let mut sidecar = simulation.sidecar_with(kv.clone(), "w1", &engine, FAST_LOADS_PER_HOUR);
    let mut planner = PlannerRunner::new(Arc::new(kv.clone()), "a", LeaseTiming::default());
    simulation.run(&mut sidecar, 1);
    assert!(planner.step(&|| simulation.now.get(), &demand(&[("m", 1)])));
    simulation.run(&mut sidecar, 2);
    assert_eq!(engine.models(), set(&["m"]));
    kv.set_faults(Faults {
        is_down: true,
        ..Faults::default()
    });
    let (orders, revision) = (engine.orders(), simulation.memory.revision());
    for _ in 0..15 {
        simulation.run(&mut sidecar, 1);
        assert!(!planner.step(&|| simulation.now.get(), &demand(&[("n", 1)])));
    }
    assert_eq!(simulation.memory.revision(), revision);
    assert_serves(&engine);
    simulation.expire_lease();
    simulation.run(&mut sidecar, 3);
    assert_eq!(engine.orders(), orders);
    assert_eq!(engine.models(), set(&["m"]));
    kv.set_faults(Faults::default());
    simulation.run(&mut sidecar, 2);
    assert_eq!(sidecar.slot().incarnation, 2);
    let clock = || simulation.now.get();
    planner.step(&clock, &demand(&[("m", 1), ("n", 1)]));
    planner.step(&clock, &demand(&[("m", 1), ("n", 1)]));
    simulation.run(&mut sidecar, 3);
    assert_eq!(engine.models(), set(&["m", "n"]));
}

fn assert_serves(engine: &Engine) {
    let client = EngineClient::new(engine.address());
    let (agent, _) = client.take_agent();
    let request = GenerateRequest {
        path: "/v1/completions".into(),
        request_id: "r1".into(),
        body: json!({"prompt": "p", "max_tokens": 1})
            .to_string()
            .into_bytes(),
        priority: 0,
        resume_from_tokens: 0,
        timeout: Duration::from_secs(30),
    };
    let stream = client.generate(agent, &request);
    let mut stream = stream.expect("the engine serves");
    while stream
        .next_event()
        .expect("the stream is complete")
        .is_some()
    {}
}

/// Guards against a slot that is never taken, or is taken twice, because the response to any one call was lost.
#[test]
fn a_lost_response_only_delays_taking_the_slot() {
    for responses_before_loss in 0..10 {
        let simulation = Simulation::new();
        let engine = engine(false);
        let kv = simulation.memory.client();
        let mut sidecar = simulation.sidecar_with(kv.clone(), "w1", &engine, FAST_LOADS_PER_HOUR);
        simulation.write_placement(1, &["m"]);
        kv.set_faults(Faults {
            responses_before_loss,
            responses_to_lose: 1,
            ..Faults::default()
        });
        simulation.run(&mut sidecar, 4);
        assert_eq!(
            engine.models(),
            set(&["m"]),
            "response lost after {responses_before_loss} calls"
        );
        assert_eq!(engine.orders().load, 1);
        assert_eq!(kv.faults().responses_to_lose, 0);
    }
}

/// Guards against a server that loads faster than its share of the rate of the weight store.
#[test]
fn loads_stay_within_a_member_share_of_the_weight_store_rate() {
    const LIVE_MEMBERS: u32 = 10;
    const INTERVAL: Duration = Duration::from_secs(10);
    let simulation = Simulation::new();
    let engine = engine(true);
    let mut sidecar = simulation.sidecar_with(simulation.memory.client(), "w1", &engine, 3_600);
    simulation.write_placement(1, &["a", "b", "c"]);
    let mut loaded_at = Vec::new();
    for _ in 0..40 {
        simulation.advance(Duration::from_secs(1));
        sidecar.step(&|| simulation.now.get(), LIVE_MEMBERS);
        while u64::try_from(loaded_at.len()).expect("a small count") < engine.orders().load {
            loaded_at.push(simulation.now.get());
        }
    }
    assert_eq!(engine.models(), set(&["a", "b", "c"]));
    assert!(loaded_at.windows(2).all(|at| at[1] >= at[0] + INTERVAL));
}

/// Guards against an engine that has no models after a crash and gets none, because the placement was already applied.
#[test]
fn a_restarted_engine_gets_its_models_again() {
    let simulation = Simulation::new();
    let behaviour = Behaviour {
        restart_after: Duration::ZERO,
        ..Behaviour::default()
    };
    let engine = Engine::start(behaviour).expect("a port is free");
    let mut sidecar = simulation.sidecar("w1", &engine);
    simulation.write_placement(1, &["m"]);
    simulation.run(&mut sidecar, 3);
    engine.crash();
    assert_eq!(engine.models(), set(&[]));
    simulation.run(&mut sidecar, 2);
    assert_eq!(engine.models(), set(&["m"]));
}

/// Guards against an engine client that reports success when the engine refuses the fencing token.
#[test]
fn an_engine_with_fencing_refuses_an_outdated_token() {
    for checks_fence in [true, false] {
        let engine = engine(checks_fence);
        let client = EngineClient::new(engine.address());
        let order = |generation, model: &str| OrderRequest {
            kind: OrderKind::Load,
            model: model.into(),
            fence: FencingToken {
                generation,
                incarnation: 1,
            },
        };
        assert_eq!(client.order(&order(2, "n")), Ok(()));
        let response = client.order(&order(1, "m"));
        if checks_fence {
            assert!(matches!(
                response,
                Err(EngineError::Refused { status: 409, .. })
            ));
            assert_eq!(engine.orders().refused, 1);
        } else {
            assert_eq!(response, Ok(()));
        }
        let models = client.models().expect("the engine answers");
        assert_eq!(models.loaded, engine.models());
    }
}

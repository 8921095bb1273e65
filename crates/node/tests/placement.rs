//! Runtime of engine orders under paused planners, restarted sidecars and a lost key-value service, over the in-memory
//! key-value service and the engine stand-in, on a virtual clock.

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
    LeasePace, PLACEMENT_KEY, PlannerRunner, SlotRunner, SlotSettings,
};
use tanagerford_standin::engine::{Behaviour, Engine, OrderCounts};

const TIMEOUT: Duration = Duration::from_secs(1);

/// A rate that never delays a load in steps of one second.
const FAST_LOADS_PER_HOUR: u32 = 36_000_000;

struct World {
    memory: Memory,
    now: Cell<Duration>,
}

impl World {
    fn new() -> Self {
        Self {
            memory: Memory::with_virtual_clock(),
            now: Cell::default(),
        }
    }

    fn pass(&self, time: Duration) {
        self.now.set(self.now.get() + time);
        self.memory.advance(time);
    }

    fn pass_lease(&self) {
        self.pass(LeasePace::default().ttl + Duration::from_secs(1));
    }

    fn planner(&self, name: &str) -> PlannerRunner {
        PlannerRunner::new(Arc::new(self.memory.client()), name, LeasePace::default())
    }

    fn sidecar_with(&self, kv: Memory, server: &str, engine: &Engine, rate: u32) -> SlotRunner {
        let settings = SlotSettings {
            server: server.to_owned(),
            pace: LeasePace::default(),
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

    /// Steps a sidecar `rounds` times, one second apart.
    fn run(&self, sidecar: &mut SlotRunner, rounds: u32) {
        for _ in 0..rounds {
            self.pass(Duration::from_secs(1));
            sidecar.step(&|| self.now.get(), 1);
        }
    }

    /// Writes a placement as a planner would that wants `models` on server w1.
    fn want(&self, generation: u64, models: &[&str]) {
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
        let answer = self.memory.commit(&transaction, TIMEOUT);
        assert!(matches!(answer, Call::Done(Commit::Applied(_))));
    }

    fn stored(&self) -> serde_json::Value {
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

/// Guards against a planner that is paused between its read and its write and then reverts a newer placement.
#[test]
fn a_paused_planner_that_resumes_changes_nothing() {
    let world = World::new();
    let engine = engine(true);
    let mut sidecar = world.sidecar("w1", &engine);
    world.run(&mut sidecar, 1);
    let mut paused = world.planner("a");
    let mut other = world.planner("b");
    let clock = || world.now.get();
    let plan = paused
        .plan(&clock, &demand(&[("old", 1)]))
        .expect("the first planner takes the lease");
    assert!(
        !other.step(&clock, &demand(&[("new", 1)])),
        "the lease of the first planner stands"
    );
    world.pass_lease();
    world.run(&mut sidecar, 2);
    assert!(other.step(&clock, &demand(&[("new", 1)])));
    let stored = world.stored();
    assert!(!paused.write(&plan));
    assert!(!paused.step(&clock, &demand(&[("old", 1)])));
    assert_eq!(world.stored(), stored);
    world.run(&mut sidecar, 2);
    assert_eq!(engine.models(), set(&["new"]));
}

/// Guards against an order of an old sidecar that was paused at any reading of its clock while a new sidecar took the
/// slot and carried out a later placement. The sidecar alone must prevent it, since some engines ignore the number.
#[test]
fn an_old_sidecar_of_a_restarted_slot_gives_no_order() {
    for checks_fence in [true, false] {
        let mut pauses = 0;
        for pause_at in 1..=8 {
            pauses += u32::from(resume_old_sidecar(checks_fence, pause_at));
        }
        assert!(pauses >= 4, "only {pauses} pauses fell into a step");
    }
}

/// Returns whether the old sidecar read its clock often enough to be paused.
fn resume_old_sidecar(checks_fence: bool, pause_at: u32) -> bool {
    let world = World::new();
    let engine = engine(checks_fence);
    let mut old = world.sidecar("w1", &engine);
    let mut new = world.sidecar("w1", &engine);
    world.run(&mut old, 1);
    assert_eq!(old.slot().incarnation, 1);
    world.want(1, &["m"]);
    world.pass(Duration::from_secs(1));
    let readings = Cell::new(0);
    let new = Cell::new(Some(&mut new));
    let after_new = Cell::new(OrderCounts::default());
    let clock = || {
        readings.set(readings.get() + 1);
        if readings.get() == pause_at {
            let new = new.take().expect("the old sidecar is paused once");
            world.pass_lease();
            world.want(2, &["n"]);
            world.run(new, 6);
            assert_eq!(new.slot().incarnation, 2);
            assert_eq!(engine.models(), set(&["n"]));
            after_new.set(engine.orders());
        }
        world.now.get()
    };
    old.step(&clock, 1);
    let is_paused = readings.get() >= pause_at;
    if is_paused {
        assert_eq!(engine.orders(), after_new.get(), "paused at {pause_at}");
        world.run(&mut old, 3);
        assert_eq!(engine.orders(), after_new.get(), "paused at {pause_at}");
    }
    is_paused
}

/// Guards against an old sidecar that has lost the key-value service, cannot learn of its successor and gives orders.
#[test]
fn an_old_sidecar_without_the_key_value_service_gives_no_order() {
    for checks_fence in [true, false] {
        let world = World::new();
        let engine = engine(checks_fence);
        let kv = world.memory.client();
        let mut old = world.sidecar_with(kv.clone(), "w1", &engine, FAST_LOADS_PER_HOUR);
        let mut new = world.sidecar("w1", &engine);
        world.want(1, &["m"]);
        world.run(&mut old, 3);
        assert_eq!(engine.models(), set(&["m"]));
        world.run(&mut new, 3);
        assert_eq!(new.slot().incarnation, 0, "the old lease is waited out");
        kv.set_faults(Faults {
            is_down: true,
            ..Faults::default()
        });
        world.pass_lease();
        world.want(2, &["n"]);
        world.run(&mut new, 5);
        let orders = engine.orders();
        world.run(&mut old, 5);
        assert_eq!(engine.orders(), orders);
        assert_eq!(engine.models(), set(&["n"]));
    }
}

/// Client whose first renewal of a lease takes effect at once and is answered after the lease has ended again and
/// another sidecar has taken the slot.
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
        let answer = self.memory.renew_lease(lease, timeout);
        let successor = self.successor.lock().expect("no test thread panics").take();
        if let Some(mut successor) = successor {
            let late_by = LeasePace::default().ttl + Duration::from_secs(1);
            self.memory.advance(late_by);
            self.late_by_s.store(late_by.as_secs(), Ordering::Release);
            successor.step(&|| late_by, 1);
            assert_eq!(successor.slot().incarnation, 2);
        }
        answer
    }

    fn revoke_lease(&self, lease: LeaseId, timeout: Duration) -> Call<()> {
        self.memory.revoke_lease(lease, timeout)
    }

    fn watch(&self, prefix: &str, from: Revision, timeout: Duration) -> Call<Vec<WatchEvent>> {
        self.memory.watch(prefix, from, timeout)
    }
}

/// Guards against a lease that the sidecar counts from the arrival of a late answer, when the slot is another's already.
#[test]
fn a_lease_counts_from_before_its_renewal_was_sent() {
    let world = World::new();
    let engine = engine(false);
    let successor = world.sidecar("w1", &engine);
    let kv = Arc::new(LateRenewal {
        memory: world.memory.client(),
        late_by_s: AtomicU64::new(0),
        successor: Mutex::new(Some(successor)),
    });
    let settings = SlotSettings {
        server: "w1".into(),
        pace: LeasePace::default(),
        weight_store: WeightStore::new(FAST_LOADS_PER_HOUR),
    };
    let client = EngineClient::new(engine.address());
    let mut old = SlotRunner::new(Arc::clone(&kv) as Arc<dyn Kv>, client, settings);
    let clock = || world.now.get() + Duration::from_secs(kv.late_by_s.load(Ordering::Acquire));
    old.step(&clock, 1);
    assert_eq!(old.slot().incarnation, 1);
    world.pass(Duration::from_secs(1));
    world.want(1, &["m"]);
    // The successor's own first load is not due yet, so any order is the old sidecar's.
    old.step(&clock, 1);
    assert_ne!(
        kv.late_by_s.load(Ordering::Acquire),
        0,
        "the renewal was late"
    );
    assert_eq!(engine.orders(), OrderCounts::default());
}

/// Guards against a planner that takes a model from its last server while another server is still to load it.
#[test]
fn the_last_server_of_a_model_is_never_taken_away() {
    let world = World::new();
    let (first, second) = (engine(true), engine(false));
    let mut sidecars = [world.sidecar("w1", &first), world.sidecar("w2", &second)];
    let mut planner = world.planner("a");
    for sidecar in &mut sidecars {
        world.run(sidecar, 1);
    }
    let mut is_loaded = false;
    for (step, count) in [1, 1, 2, 1, 2, 2, 0, 2, 1, 0, 1, 2, 2, 2, 0, 0]
        .into_iter()
        .enumerate()
    {
        planner.step(&|| world.now.get(), &demand(&[("m", count)]));
        // The second sidecar falls behind now and then, so that its reports are old.
        for (index, sidecar) in sidecars.iter_mut().enumerate() {
            if index == 0 || step % 3 == 2 {
                world.run(sidecar, 2);
            }
            let holds = |engine: &Engine| engine.models().contains("m");
            let is_held = holds(&first) || holds(&second);
            assert!(is_held || !is_loaded, "no server holds the model at {step}");
            is_loaded |= is_held;
        }
    }
    assert!(is_loaded);
    let unloads = first.orders().unload + second.orders().unload;
    assert!(unloads > 0, "surplus servers give the model up");
}

/// Guards against a planner that counts a server as a holder of a model because it is wanted there and reports, although
/// it has not loaded the model yet.
#[test]
fn a_server_that_still_loads_does_not_count_as_a_holder() {
    let world = World::new();
    let (first, second) = (engine(true), engine(false));
    let mut loading = world.sidecar("w1", &first);
    let mut holder = world.sidecar("w2", &second);
    let mut planner = world.planner("a");
    let clock = || world.now.get();
    world.run(&mut holder, 1);
    assert!(planner.step(&clock, &demand(&[("m", 1)])));
    world.run(&mut holder, 2);
    assert_eq!(second.models(), set(&["m"]));
    world.run(&mut loading, 1);
    assert!(planner.step(&clock, &demand(&[("m", 2)])));
    assert!(world.stored()["wanted"]["w1"]["m"].is_u64());
    planner.step(&clock, &demand(&[("m", 1)]));
    world.run(&mut holder, 3);
    assert_eq!(second.models(), set(&["m"]));
}

/// Guards against a first placement that unloads the models that an engine held before any planner knew of it.
#[test]
fn models_loaded_before_the_first_placement_are_kept() {
    let world = World::new();
    let (first, second) = (engine(true), engine(true));
    let mut known = world.sidecar("w1", &first);
    let mut late = world.sidecar("w2", &second);
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
    let mut planner = world.planner("a");
    let clock = || world.now.get();
    world.run(&mut known, 1);
    assert!(planner.step(&clock, &demand(&[("n", 1)])));
    world.run(&mut late, 3);
    assert_eq!(second.models(), set(&["m"]));
    assert!(planner.step(&clock, &demand(&[("n", 1)])));
    world.run(&mut late, 3);
    assert_eq!(second.models(), set(&["m"]));
    assert_eq!(second.orders().unload, 0);
}

/// Guards against an outage of the key-value service that changes the models of an engine or stops its service, and
/// against a sidecar that does not go on after the outage.
#[test]
fn an_outage_of_the_key_value_service_changes_nothing() {
    let world = World::new();
    let engine = engine(false);
    let kv = world.memory.client();
    let mut sidecar = world.sidecar_with(kv.clone(), "w1", &engine, FAST_LOADS_PER_HOUR);
    let mut planner = PlannerRunner::new(Arc::new(kv.clone()), "a", LeasePace::default());
    world.run(&mut sidecar, 1);
    assert!(planner.step(&|| world.now.get(), &demand(&[("m", 1)])));
    world.run(&mut sidecar, 2);
    assert_eq!(engine.models(), set(&["m"]));
    kv.set_faults(Faults {
        is_down: true,
        ..Faults::default()
    });
    let (orders, revision) = (engine.orders(), world.memory.revision());
    for _ in 0..15 {
        world.run(&mut sidecar, 1);
        assert!(!planner.step(&|| world.now.get(), &demand(&[("n", 1)])));
    }
    assert_eq!(world.memory.revision(), revision);
    assert_serves(&engine);
    world.pass_lease();
    world.run(&mut sidecar, 3);
    assert_eq!(engine.orders(), orders);
    assert_eq!(engine.models(), set(&["m"]));
    kv.set_faults(Faults::default());
    world.run(&mut sidecar, 2);
    assert_eq!(sidecar.slot().incarnation, 2);
    let clock = || world.now.get();
    planner.step(&clock, &demand(&[("m", 1), ("n", 1)]));
    planner.step(&clock, &demand(&[("m", 1), ("n", 1)]));
    world.run(&mut sidecar, 3);
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

/// Guards against a slot that is never taken, or is taken twice, because the answer to any one call was lost.
#[test]
fn a_lost_answer_delays_the_slot_but_does_not_lose_it() {
    for responses_before_loss in 0..10 {
        let world = World::new();
        let engine = engine(false);
        let kv = world.memory.client();
        let mut sidecar = world.sidecar_with(kv.clone(), "w1", &engine, FAST_LOADS_PER_HOUR);
        world.want(1, &["m"]);
        kv.set_faults(Faults {
            responses_before_loss,
            responses_to_lose: 1,
            ..Faults::default()
        });
        world.run(&mut sidecar, 4);
        assert_eq!(
            engine.models(),
            set(&["m"]),
            "lost after {responses_before_loss}"
        );
        assert_eq!(engine.orders().load, 1);
        assert_eq!(kv.faults().responses_to_lose, 0);
    }
}

/// Guards against a server that loads faster than its share of the weight store's rate.
#[test]
fn loads_keep_the_divided_rate_of_the_weight_store() {
    const LIVE_MEMBERS: u32 = 10;
    const INTERVAL: Duration = Duration::from_secs(10);
    let world = World::new();
    let engine = engine(true);
    let mut sidecar = world.sidecar_with(world.memory.client(), "w1", &engine, 3_600);
    world.want(1, &["a", "b", "c"]);
    let mut loaded_at = Vec::new();
    for _ in 0..40 {
        world.pass(Duration::from_secs(1));
        sidecar.step(&|| world.now.get(), LIVE_MEMBERS);
        while u64::try_from(loaded_at.len()).expect("a small count") < engine.orders().load {
            loaded_at.push(world.now.get());
        }
    }
    assert_eq!(engine.models(), set(&["a", "b", "c"]));
    assert!(loaded_at.windows(2).all(|at| at[1] >= at[0] + INTERVAL));
}

/// Guards against an engine that comes back empty after a crash and stays so, as the placement is carried out already.
#[test]
fn a_restarted_engine_gets_its_models_again() {
    let world = World::new();
    let behaviour = Behaviour {
        restart_after: Duration::ZERO,
        ..Behaviour::default()
    };
    let engine = Engine::start(behaviour).expect("a port is free");
    let mut sidecar = world.sidecar("w1", &engine);
    world.want(1, &["m"]);
    world.run(&mut sidecar, 3);
    engine.crash();
    assert_eq!(engine.models(), set(&[]));
    world.run(&mut sidecar, 2);
    assert_eq!(engine.models(), set(&["m"]));
}

/// Guards against an engine client that takes a refused fencing number for success.
#[test]
fn an_engine_with_fencing_refuses_an_outdated_number() {
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
        let answer = client.order(&order(1, "m"));
        if checks_fence {
            assert!(matches!(
                answer,
                Err(EngineError::Refused { status: 409, .. })
            ));
            assert_eq!(engine.orders().refused, 1);
        } else {
            assert_eq!(answer, Ok(()));
        }
        let models = client.models().expect("the engine answers");
        assert_eq!(models.loaded, engine.models());
    }
}

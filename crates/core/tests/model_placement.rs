//! Model check of engine orders: two planners, an old and a new sidecar of one slot, the key-value service with leases,
//! and an engine that ignores fencing tokens. The steps call the transition functions of
//! `tanagerford_core::placement`. A process is paused when time advances before its next step.

mod explore;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use explore::{Edge, explore, shortest_trace};
use tanagerford_core::placement::{
    EngineOrders, Lease, ObservedPlacement, Placement, ServerReport, Slot, SlotAction, SlotRecord,
};

const TTL: Duration = Duration::from_secs(2);
const LAST_TICK: u64 = 3;
const LAST_GENERATION: u64 = 2;
const SERVER: &str = "w1";

/// Deliberate defects, each of which must violate an invariant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Defect {
    None,
    /// Orders are issued without checking the lease.
    LeaseNotChecked,
    /// The lease is counted from the arrival of the answer.
    LeaseFromAnswer,
    /// A new sidecar acquires the slot before the old lease has expired.
    TakesLeasedSlot,
    /// A placement that was read before the slot was acquired is applied.
    OldPlacement,
    /// A planner writes without compare-and-swap.
    PlannerWithoutCompare,
    /// Orders are issued for any generation, including older ones than the last.
    GivesAnyGeneration,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Sidecar {
    is_started: bool,
    slot: Slot,
    /// Pending lease call: when it was sent, and the incarnation with which the service executed it, if it did.
    call: Option<(u64, Option<u64>)>,
    known: ObservedPlacement,
    /// Response to a read that arrives after those of later reads.
    delayed: Option<ObservedPlacement>,
    orders: EngineOrders,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct World {
    tick: u64,
    placement: Placement,
    planner_lease_ends: [u64; 2],
    planner_leases: [Lease; 2],
    planner_views: [Option<Placement>; 2],
    slot_incarnation: u64,
    /// Sidecar whose leased key exists, and the tick at which its lease expires.
    slot_lease: Option<(usize, u64)>,
    sidecars: [Sidecar; 2],
    /// Highest generation that the engine applied.
    applied: u64,
    has_placement_regressed: bool,
    has_order_regressed: bool,
}

fn at(tick: u64) -> Duration {
    Duration::from_secs(tick)
}

/// Part of the model. The planners and the sidecars share only the placement, so they are explored separately.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    Planners,
    Sidecars,
}

struct Steps<'a> {
    defect: Defect,
    world: &'a World,
    edges: Vec<Edge<World>>,
}

impl Steps<'_> {
    fn add(&mut self, label: impl Into<String>, change: impl FnOnce(&mut World)) {
        let mut next = self.world.clone();
        change(&mut next);
        self.edges.push(Edge {
            label: label.into(),
            is_fault: false,
            next,
        });
    }

    fn planner(&mut self, planner: usize) {
        let world = self.world;
        let other_holds = world.planner_lease_ends[1 - planner] > world.tick;
        if !other_holds && world.planner_lease_ends[planner] <= world.tick && world.tick < LAST_TICK
        {
            self.add(format!("planner {planner}: takes the lease"), |next| {
                next.planner_lease_ends[planner] = next.tick + TTL.as_secs();
                next.planner_leases[planner].on_renewed(at(next.tick), TTL);
            });
        }
        if !world.planner_leases[planner].is_valid(at(world.tick), Duration::ZERO) {
            // A planner that was paused after checking its lease still writes from its view.
            self.write(planner);
            return;
        }
        if world.planner_views[planner].as_ref() != Some(&world.placement) {
            self.add(
                format!(
                    "planner {planner}: reads generation {}",
                    world.placement.generation
                ),
                |next| {
                    next.planner_views[planner] = Some(next.placement.clone());
                },
            );
        }
        self.write(planner);
    }

    fn write(&mut self, planner: usize) {
        let Some(view) = &self.world.planner_views[planner] else {
            return;
        };
        let next_placement = Placement {
            generation: view.generation + 1,
            ..view.clone()
        };
        if next_placement.generation > LAST_GENERATION {
            return;
        }
        let compares = self.defect != Defect::PlannerWithoutCompare;
        self.add(
            format!(
                "planner {planner}: writes generation {}",
                next_placement.generation
            ),
            |next| {
                let holds = next.planner_views[planner]
                    .take()
                    .is_some_and(|view| view == next.placement);
                if holds || !compares {
                    next.has_placement_regressed |=
                        next_placement.generation <= next.placement.generation;
                    next.placement = next_placement;
                }
            },
        );
    }

    fn sidecar(&mut self, number: usize) {
        let sidecar = &self.world.sidecars[number];
        if !sidecar.is_started {
            let predecessor_ran = number == 0 || self.world.sidecars[0].is_started;
            if predecessor_ran {
                self.add(format!("sidecar {number}: starts"), |next| {
                    next.sidecars[number].is_started = true;
                });
            }
            return;
        }
        let observed = ObservedPlacement {
            placement: self.world.placement.clone(),
            read_incarnation: sidecar.slot.incarnation,
        };
        if sidecar.known != observed {
            self.add(
                format!(
                    "sidecar {number}: reads generation {}",
                    self.world.placement.generation
                ),
                |next| {
                    next.sidecars[number].known = observed;
                },
            );
        }
        if sidecar.delayed.is_none() && sidecar.slot.incarnation > 0 {
            let observed = ObservedPlacement {
                placement: self.world.placement.clone(),
                read_incarnation: sidecar.slot.incarnation,
            };
            self.add(
                format!(
                    "sidecar {number}: its read of generation {} is delayed",
                    observed.placement.generation
                ),
                |next| {
                    next.sidecars[number].delayed = Some(observed);
                },
            );
        } else if let Some(observed) = &sidecar.delayed {
            self.add(
                format!(
                    "sidecar {number}: gets the delayed generation {}",
                    observed.placement.generation
                ),
                |next| {
                    next.sidecars[number].known = observed.clone();
                    next.sidecars[number].delayed = None;
                },
            );
        }
        self.lease(number);
        self.issue_order(number);
    }

    fn lease(&mut self, number: usize) {
        let defect = self.defect;
        let world = self.world;
        let sidecar = &world.sidecars[number];
        let Some((sent_at, carried_out)) = sidecar.call else {
            let held = world.slot_lease.is_some_and(|(holder, _)| holder == number);
            let is_leased = world.slot_lease.is_some() && self.defect != Defect::TakesLeasedSlot;
            let found = SlotRecord {
                incarnation: world.slot_incarnation,
                is_leased,
            };
            let take = sidecar.slot.incarnation == 0
                && matches!(Slot::on_found(Some(found)), SlotAction::Take(_));
            if take || held {
                self.add(format!("sidecar {number}: asks for the lease"), |next| {
                    next.sidecars[number].call = Some((next.tick, None));
                });
            }
            return;
        };
        match carried_out {
            None => {
                self.add(format!("service: answers sidecar {number}"), |next| {
                    next.execute_lease_call(defect, number);
                });
                self.add(
                    format!("service: loses the call of sidecar {number}"),
                    |next| {
                        next.sidecars[number].call = None;
                    },
                );
            }
            Some(incarnation) => {
                let counted_from = if self.defect == Defect::LeaseFromAnswer {
                    world.tick
                } else {
                    sent_at
                };
                self.add(format!("sidecar {number}: gets the lease"), |next| {
                    let sidecar = &mut next.sidecars[number];
                    sidecar.call = None;
                    sidecar.slot.on_taken(incarnation, at(counted_from), TTL);
                });
                self.add(
                    format!("service: its answer to sidecar {number} is lost"),
                    |next| {
                        next.sidecars[number].call = None;
                    },
                );
            }
        }
    }

    fn issue_order(&mut self, number: usize) {
        let world = self.world;
        let sidecar = &world.sidecars[number];
        let mut slot = sidecar.slot;
        if self.defect == Defect::LeaseNotChecked && slot.incarnation > 0 {
            slot.lease.on_renewed(at(world.tick), TTL);
        }
        let mut observed = sidecar.known.clone();
        if self.defect == Defect::OldPlacement {
            observed.read_incarnation = slot.incarnation;
        }
        let mut orders = sidecar.orders;
        if self.defect == Defect::GivesAnyGeneration {
            orders = EngineOrders::default();
        }
        let (now, loaded) = (at(world.tick), BTreeSet::new());
        let order = orders.issue(now, Duration::ZERO, &slot, &observed, SERVER, &loaded);
        let Some(order) = order else { return };
        let generation = order.fence.generation;
        self.add(
            format!("sidecar {number}: orders generation {generation}"),
            |next| {
                next.sidecars[number].orders = orders;
                next.has_order_regressed |= generation < next.applied;
                next.applied = next.applied.max(generation);
            },
        );
    }
}

impl World {
    /// Executes the lease call of a sidecar in the service.
    fn execute_lease_call(&mut self, defect: Defect, number: usize) {
        let incarnation = self.sidecars[number].slot.incarnation;
        let renews = self.slot_lease.is_some_and(|(holder, _)| holder == number);
        let free = self.slot_lease.is_none() || defect == Defect::TakesLeasedSlot;
        let Some((sent_at, _)) = self.sidecars[number].call else {
            return;
        };
        if !renews && (!free || incarnation > 0) {
            self.sidecars[number].call = None;
            self.sidecars[number].slot.lease.on_lost();
            return;
        }
        if !renews {
            self.slot_incarnation += 1;
        }
        self.slot_lease = Some((number, self.tick + TTL.as_secs()));
        self.sidecars[number].call = Some((sent_at, Some(self.slot_incarnation)));
    }

    fn advance_time(&mut self) {
        self.tick += 1;
        if self.slot_lease.is_some_and(|(_, ends)| ends <= self.tick) {
            self.slot_lease = None;
        }
    }
}

fn steps(part: Part, defect: Defect, world: &World) -> Vec<Edge<World>> {
    let mut steps = Steps {
        defect,
        world,
        edges: Vec::new(),
    };
    for number in 0..2 {
        match part {
            Part::Planners => steps.planner(number),
            Part::Sidecars => steps.sidecar(number),
        }
    }
    if part == Part::Sidecars && world.placement.generation < LAST_GENERATION {
        let generation = world.placement.generation + 1;
        steps.add(format!("planner: writes generation {generation}"), |next| {
            next.placement.generation = generation;
        });
    }
    if world.tick < LAST_TICK {
        steps.add("time passes", World::advance_time);
    }
    steps.edges
}

/// Returns whether the last placement is written and, in the sidecars' part, applied by the engine. States at the last
/// tick also count as settled, because an expired lease cannot be renewed once time no longer advances.
fn is_settled(part: Part, world: &World) -> bool {
    let carried_out = part == Part::Planners || world.applied == LAST_GENERATION;
    world.placement.generation == LAST_GENERATION && carried_out || world.tick == LAST_TICK
}

fn start() -> World {
    World {
        placement: Placement {
            generation: 1,
            ..Placement::default()
        },
        ..World::default()
    }
}

/// Guards against an engine order older than an applied one, a placement whose generation decreases, and deadlocks.
#[test]
fn engine_order_generations_never_decrease() {
    let is_violation = |world: &World| world.has_placement_regressed || world.has_order_regressed;
    for part in [Part::Planners, Part::Sidecars] {
        let next = |world: &World| steps(part, Defect::None, world);
        let exploration = explore(&start(), next, is_violation, |world| {
            is_settled(part, world)
        });
        println!(
            "placement, {part:?}: {} states, {} steps",
            exploration.states, exploration.steps
        );
        assert_eq!(exploration.violations, 0);
        assert_eq!(
            exploration.dead_ends,
            0,
            "{}",
            exploration.dead_end_trace.join("\n")
        );
    }
}

fn counterexample(part: Part, defect: Defect) -> String {
    let is_violation = |world: &World| world.has_placement_regressed || world.has_order_regressed;
    let trace = shortest_trace(&start(), |world| steps(part, defect, world), is_violation);
    trace.map_or("no counterexample".into(), |labels| labels.join("\n"))
}

/// Guards against a model that cannot detect a decreasing generation.
#[test]
fn defects_have_counterexamples() {
    let sidecars = |defect| counterexample(Part::Sidecars, defect);
    insta::assert_snapshot!(
        "placement_lease_not_checked",
        sidecars(Defect::LeaseNotChecked)
    );
    insta::assert_snapshot!(
        "placement_lease_from_answer",
        sidecars(Defect::LeaseFromAnswer)
    );
    insta::assert_snapshot!(
        "placement_takes_leased_slot",
        sidecars(Defect::TakesLeasedSlot)
    );
    insta::assert_snapshot!("placement_old_placement", sidecars(Defect::OldPlacement));
    insta::assert_snapshot!(
        "placement_gives_any_generation",
        sidecars(Defect::GivesAnyGeneration)
    );
    let planners = counterexample(Part::Planners, Defect::PlannerWithoutCompare);
    insta::assert_snapshot!("placement_planner_without_compare", planners);
}

/// Guards against removal of a model from its last server when the planner uses reports of an earlier placement.
#[test]
fn model_keeps_a_server_when_reports_are_outdated() {
    let servers = ["w1", "w2", "w3"];
    let report = |applied, loaded: &[&str]| ServerReport {
        applied,
        loaded: loaded.iter().map(|model| (*model).to_owned()).collect(),
        capacity: 1,
    };
    let demand = |count| BTreeMap::from([("m".to_owned(), count)]);
    let mut reports: BTreeMap<String, ServerReport> = servers
        .iter()
        .map(|server| ((*server).to_owned(), report(0, &[])))
        .collect();
    let wide = Placement::default().next(&reports, &demand(2)).unwrap();
    assert_eq!(
        wide.next(&reports, &demand(1)),
        None,
        "no server holds the model yet"
    );
    reports.insert("w2".to_owned(), report(1, &["m"]));
    let narrow = wide.next(&reports, &demand(0)).unwrap();
    assert_eq!(narrow.wanted["w2"].len() + narrow.wanted["w1"].len(), 1);
    assert!(narrow.wanted["w2"].contains_key("m"));
    assert_eq!(narrow.next(&reports, &demand(0)), None);
    let again = narrow.next(&reports, &demand(2)).unwrap();
    reports.insert("w1".to_owned(), report(1, &["m"]));
    assert!(
        !again.holds("w1", &reports["w1"], "m"),
        "the report is older than the order to load"
    );
}

//! Model check of engine orders: two planners, an old and a new sidecar of one slot, the key-value service with leases,
//! and an engine that ignores fencing numbers. The steps call the transition functions of
//! `tanagerford_core::placement`. Any process pauses by not taking its next step while time passes.

mod explore;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use explore::{Edge, shortest, survey};
use tanagerford_core::placement::{
    EngineOrders, Lease, Placement, SeenPlacement, ServerReport, Slot, SlotAction, SlotRecord,
};

const TTL: Duration = Duration::from_secs(2);
const LAST_TICK: u64 = 3;
const LAST_GENERATION: u64 = 2;
const SERVER: &str = "w1";

/// Deliberate defects; each must break an invariant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Defect {
    None,
    /// Orders are given without a look at the lease.
    LeaseNotChecked,
    /// The lease counts from the arrival of the answer.
    LeaseFromAnswer,
    /// A new sidecar takes the slot while the old lease stands.
    TakesLeasedSlot,
    /// A placement that was read before the slot was taken is carried out.
    OldPlacement,
    /// A planner writes without comparing the revision.
    PlannerWithoutCompare,
    /// A placement that was carried out may be given again, also an older one.
    GivesAnyGeneration,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Sidecar {
    started: bool,
    slot: Slot,
    /// Call for the slot's lease that is under way: when it was sent and whether the service carried it out.
    call: Option<(u64, Option<u64>)>,
    known: SeenPlacement,
    /// Answer to a read that is delayed behind later ones.
    delayed: Option<SeenPlacement>,
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
    /// Sidecar whose leased key exists, and when its lease ends.
    slot_lease: Option<(usize, u64)>,
    sidecars: [Sidecar; 2],
    /// Highest generation that the engine carried out.
    applied: u64,
    placement_fell: bool,
    order_fell: bool,
}

fn at(tick: u64) -> Duration {
    Duration::from_secs(tick)
}

/// The planners and the sidecars share only the placement, so they are explored apart.
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
            fault: false,
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
                next.planner_leases[planner].renewed(at(next.tick), TTL);
            });
        }
        if !world.planner_leases[planner].is_valid(at(world.tick), Duration::ZERO) {
            // A planner that is paused between its check and its write still has its view.
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
                    next.placement_fell |= next_placement.generation <= next.placement.generation;
                    next.placement = next_placement;
                }
            },
        );
    }

    fn sidecar(&mut self, number: usize) {
        let side = &self.world.sidecars[number];
        if !side.started {
            let predecessor_ran = number == 0 || self.world.sidecars[0].started;
            if predecessor_ran {
                self.add(format!("sidecar {number}: starts"), |next| {
                    next.sidecars[number].started = true;
                });
            }
            return;
        }
        let seen = SeenPlacement {
            placement: self.world.placement.clone(),
            read_under: side.slot.incarnation,
        };
        if side.known != seen {
            self.add(
                format!(
                    "sidecar {number}: reads generation {}",
                    self.world.placement.generation
                ),
                |next| {
                    next.sidecars[number].known = seen;
                },
            );
        }
        if side.delayed.is_none() && side.slot.incarnation > 0 {
            let seen = SeenPlacement {
                placement: self.world.placement.clone(),
                read_under: side.slot.incarnation,
            };
            self.add(
                format!(
                    "sidecar {number}: its read of generation {} is delayed",
                    seen.placement.generation
                ),
                |next| {
                    next.sidecars[number].delayed = Some(seen);
                },
            );
        } else if let Some(seen) = &side.delayed {
            self.add(
                format!(
                    "sidecar {number}: gets the delayed generation {}",
                    seen.placement.generation
                ),
                |next| {
                    next.sidecars[number].known = seen.clone();
                    next.sidecars[number].delayed = None;
                },
            );
        }
        self.lease(number);
        self.give(number);
    }

    fn lease(&mut self, number: usize) {
        let defect = self.defect;
        let world = self.world;
        let side = &world.sidecars[number];
        let Some((sent_at, carried_out)) = side.call else {
            let held = world.slot_lease.is_some_and(|(holder, _)| holder == number);
            let leased = world.slot_lease.is_some() && self.defect != Defect::TakesLeasedSlot;
            let found = SlotRecord {
                incarnation: world.slot_incarnation,
                leased,
            };
            let take = side.slot.incarnation == 0
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
                    next.serve(defect, number);
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
                    let side = &mut next.sidecars[number];
                    side.call = None;
                    side.slot.taken(incarnation, at(counted_from), TTL);
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

    fn give(&mut self, number: usize) {
        let world = self.world;
        let side = &world.sidecars[number];
        let mut slot = side.slot;
        if self.defect == Defect::LeaseNotChecked && slot.incarnation > 0 {
            slot.lease.renewed(at(world.tick), TTL);
        }
        let mut seen = side.known.clone();
        if self.defect == Defect::OldPlacement {
            seen.read_under = slot.incarnation;
        }
        let mut orders = side.orders;
        if self.defect == Defect::GivesAnyGeneration {
            orders = EngineOrders::default();
        }
        let (now, loaded) = (at(world.tick), BTreeSet::new());
        let order = orders.give(now, Duration::ZERO, &slot, &seen, SERVER, &loaded);
        let Some(order) = order else { return };
        let generation = order.fence.generation;
        self.add(
            format!("sidecar {number}: orders generation {generation}"),
            |next| {
                next.sidecars[number].orders = orders;
                next.order_fell |= generation < next.applied;
                next.applied = next.applied.max(generation);
            },
        );
    }
}

impl World {
    /// The service carries out a sidecar's call for the lease.
    fn serve(&mut self, defect: Defect, number: usize) {
        let incarnation = self.sidecars[number].slot.incarnation;
        let renews = self.slot_lease.is_some_and(|(holder, _)| holder == number);
        let free = self.slot_lease.is_none() || defect == Defect::TakesLeasedSlot;
        let Some((sent_at, _)) = self.sidecars[number].call else {
            return;
        };
        if !renews && (!free || incarnation > 0) {
            self.sidecars[number].call = None;
            self.sidecars[number].slot.lease.lost();
            return;
        }
        if !renews {
            self.slot_incarnation += 1;
        }
        self.slot_lease = Some((number, self.tick + TTL.as_secs()));
        self.sidecars[number].call = Some((sent_at, Some(self.slot_incarnation)));
    }

    fn pass_time(&mut self) {
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
        steps.add("time passes", World::pass_time);
    }
    steps.edges
}

/// The last placement is written, and in the sidecars' part the engine has carried it out. At the last tick a lease
/// that has ended cannot be taken again, because time stands still.
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

/// Guards against an engine order below one that was carried out, a placement whose generation falls, and a dead end.
#[test]
fn engine_orders_rise() {
    let bad = |world: &World| world.placement_fell || world.order_fell;
    for part in [Part::Planners, Part::Sidecars] {
        let next = |world: &World| steps(part, Defect::None, world);
        let survey = survey(&start(), next, bad, |world| is_settled(part, world));
        println!(
            "placement, {part:?}: {} states, {} steps",
            survey.states, survey.steps
        );
        assert_eq!(survey.violations, 0);
        assert_eq!(survey.stuck, 0, "{}", survey.first_stuck.join("\n"));
    }
}

fn counterexample(part: Part, defect: Defect) -> String {
    let bad = |world: &World| world.placement_fell || world.order_fell;
    let trace = shortest(&start(), |world| steps(part, defect, world), bad);
    trace.map_or("no counterexample".into(), |labels| labels.join("\n"))
}

/// Guards against a model that cannot see a falling generation.
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

/// Guards against a model that loses its last server when the planner works from reports of an earlier placement.
#[test]
fn a_model_keeps_a_server_with_old_reports() {
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

//! Model check of the configuration's generation: two operators who publish from the same head, the key-value service
//! with lost, delayed and refused calls, and two replicas that receive generations late, twice and out of order. The
//! steps call the transition functions of `tanagerford_core::generation`.

mod explore;

use explore::{Edge, explore, shortest_trace};
use tanagerford_core::generation::{
    Answer, Decision, Head, HeadRead, PublishOutcome, PublishStep, Publisher, Replica, Swap,
};

/// Deliberate defects; each must break an invariant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Defect {
    None,
    /// A lost answer counts as a success.
    LostAnswerIsSuccess,
    /// A lost answer counts as a refusal.
    LostAnswerIsRefusal,
    /// The service does not compare the revision.
    SwapWithoutCompare,
    /// A replica uses each configuration that it receives.
    ReplicaUsesAny,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    head: HeadRead,
    publishers: [Publisher; 2],
    /// Swap that is delayed on its way.
    late: Option<(u64, Head)>,
    replicas: [Replica; 2],
    in_use: [u64; 2],
    replica_fell: bool,
    head_fell: bool,
    faults_left: u8,
}

impl World {
    fn new() -> Self {
        let base = HeadRead {
            head: Head::default().next(9, 0),
            revision: 1,
        };
        Self {
            publishers: [1, 2].map(|write_id| Publisher::new(base.clone(), write_id, 0)),
            head: base,
            late: None,
            replicas: [Replica::default(), Replica::default()],
            in_use: [0, 0],
            replica_fell: false,
            head_fell: false,
            faults_left: 4,
        }
    }

    fn swap(&mut self, defect: Defect, expected: u64, head: &Head) -> Swap {
        if self.head.revision != expected && defect != Defect::SwapWithoutCompare {
            return Swap::Conflict;
        }
        self.head_fell |= head.generation <= self.head.head.generation;
        self.head = HeadRead {
            head: head.clone(),
            revision: self.head.revision + 1,
        };
        Swap::Applied
    }

    fn took_effect(&self, write_id: u64) -> bool {
        self.head
            .head
            .history
            .iter()
            .any(|write| write.write_id == write_id)
    }

    /// An operator was told something that is not so.
    fn outcome_is_false(&self) -> bool {
        (1..)
            .zip(&self.publishers)
            .any(|(write_id, publisher)| match publisher.step() {
                PublishStep::End(PublishOutcome::Applied(_)) => !self.took_effect(write_id),
                PublishStep::End(PublishOutcome::Lost { .. } | PublishOutcome::NotRun) => {
                    self.took_effect(write_id)
                }
                _ => false,
            })
    }
}

struct Steps<'a> {
    defect: Defect,
    world: &'a World,
    edges: Vec<Edge<World>>,
}

impl Steps<'_> {
    fn add(&mut self, label: String, fault: bool, change: impl FnOnce(&mut World)) {
        if fault && self.world.faults_left == 0 {
            return;
        }
        let mut next = self.world.clone();
        next.faults_left -= u8::from(fault);
        change(&mut next);
        self.edges.push(Edge {
            label,
            is_fault: fault,
            next,
        });
    }

    fn publisher(&mut self, number: usize) {
        match self.world.publishers[number].step() {
            PublishStep::ReadHead => {
                self.add(format!("operator {number}: reads back"), false, |next| {
                    let read = Answer::Done(next.head.clone());
                    next.publishers[number].on_read(&read);
                });
                self.add(
                    format!("operator {number}: cannot read back"),
                    true,
                    |next| {
                        next.publishers[number].on_read(&Answer::Refused);
                    },
                );
            }
            PublishStep::Swap { expected, head } => self.swap(number, expected, &head),
            PublishStep::End(_) => {}
        }
    }

    fn swap(&mut self, number: usize, expected: u64, head: &Head) {
        let defect = self.defect;
        let lost = match defect {
            Defect::LostAnswerIsSuccess => Answer::Done(Swap::Applied),
            Defect::LostAnswerIsRefusal => Answer::Refused,
            _ => Answer::Unknown,
        };
        self.add(format!("operator {number}: swaps"), false, |next| {
            let swapped = next.swap(defect, expected, head);
            next.publishers[number].on_swap(&Answer::Done(swapped));
        });
        self.add(
            format!("operator {number}: swaps, the answer is lost"),
            true,
            |next| {
                next.swap(defect, expected, head);
                next.publishers[number].on_swap(&lost);
            },
        );
        self.add(
            format!("operator {number}: swaps, the call is lost"),
            true,
            |next| {
                next.publishers[number].on_swap(&lost);
            },
        );
        self.add(
            format!("operator {number}: swaps, the service refuses"),
            true,
            |next| {
                next.publishers[number].on_swap(&Answer::Refused);
            },
        );
        if self.world.late.is_none() {
            self.add(
                format!("operator {number}: swaps, the call is delayed"),
                true,
                |next| {
                    next.late = Some((expected, head.clone()));
                    next.publishers[number].on_swap(&lost);
                },
            );
        }
    }

    /// A replica may receive any generation that was in force, late and more than once.
    fn replica(&mut self, number: usize) {
        for generation in 1..=self.world.head.head.generation {
            let uses_any = self.defect == Defect::ReplicaUsesAny;
            self.add(
                format!("replica {number}: receives generation {generation}"),
                false,
                |next| {
                    let decision = next.replicas[number].on_offer(generation);
                    if decision == Decision::Use || uses_any {
                        next.replica_fell |= generation < next.in_use[number];
                        next.in_use[number] = generation;
                    }
                },
            );
        }
    }
}

fn steps(defect: Defect, world: &World) -> Vec<Edge<World>> {
    let mut steps = Steps {
        defect,
        world,
        edges: Vec::new(),
    };
    for number in 0..2 {
        steps.publisher(number);
        steps.replica(number);
    }
    if let Some((expected, head)) = &world.late {
        steps.add("network: the delayed swap arrives".into(), false, |next| {
            next.late = None;
            next.swap(defect, *expected, head);
        });
    }
    steps.edges
}

fn bad(world: &World) -> bool {
    world.replica_fell || world.head_fell || world.outcome_is_false()
}

/// Both operators have their outcome and both replicas use the generation in force.
fn is_settled(world: &World) -> bool {
    let ended = |publisher: &Publisher| matches!(publisher.step(), PublishStep::End(_));
    let newest = world.head.head.generation;
    world.publishers.iter().all(ended)
        && world.in_use.iter().all(|used| *used == newest)
        && world.late.is_none()
}

/// Guards against a false outcome for an operator, a generation that falls, and a dead end.
#[test]
fn generations_rise_and_outcomes_are_true() {
    let exploration = explore(
        &World::new(),
        |world| steps(Defect::None, world),
        bad,
        is_settled,
    );
    println!(
        "generation: {} states, {} steps",
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

fn counterexample(defect: Defect) -> String {
    let trace = shortest_trace(&World::new(), |world| steps(defect, world), bad);
    trace.map_or("no counterexample".into(), |labels| labels.join("\n"))
}

/// Guards against a model that cannot see a false outcome or a falling generation.
#[test]
fn defects_have_counterexamples() {
    insta::assert_snapshot!(
        "generation_lost_answer_is_success",
        counterexample(Defect::LostAnswerIsSuccess)
    );
    insta::assert_snapshot!(
        "generation_lost_answer_is_refusal",
        counterexample(Defect::LostAnswerIsRefusal)
    );
    insta::assert_snapshot!(
        "generation_swap_without_compare",
        counterexample(Defect::SwapWithoutCompare)
    );
    insta::assert_snapshot!(
        "generation_replica_uses_any",
        counterexample(Defect::ReplicaUsesAny)
    );
}

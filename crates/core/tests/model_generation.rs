//! Model check of the configuration's generation.
//!
//! The model has two operators who publish from the same head, a key-value service with lost, delayed and refused
//! calls, and two replicas that receive generations late, repeatedly and out of order. Its steps call the state machines of
//! `tanagerford_core::generation`.

mod explore;

use explore::{Edge, explore, shortest_trace};
use tanagerford_core::generation::{
    CallResult, Decision, Head, HeadRead, PublishOutcome, PublishStep, Publisher, Replica,
    SwapResult,
};

/// Deliberate defects, each of which must violate an invariant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Defect {
    None,
    /// A lost response is treated as a success.
    LostAnswerIsSuccess,
    /// A lost response is treated as a refusal.
    LostAnswerIsRefusal,
    /// The store does not compare the revision.
    SwapWithoutCompare,
    /// A replica uses every configuration that it receives.
    ReplicaUsesAny,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ModelState {
    head: HeadRead,
    publishers: [Publisher; 2],
    /// Swap whose call is delayed in the network.
    delayed_swap: Option<(u64, Head)>,
    replicas: [Replica; 2],
    in_use: [u64; 2],
    replica_regressed: bool,
    head_regressed: bool,
    faults_left: u8,
}

impl ModelState {
    fn new() -> Self {
        let base = HeadRead {
            head: Head::default().next(9, 0),
            revision: 1,
        };
        Self {
            publishers: [1, 2].map(|write_id| Publisher::new(base.clone(), write_id, 0)),
            head: base,
            delayed_swap: None,
            replicas: [Replica::default(), Replica::default()],
            in_use: [0, 0],
            replica_regressed: false,
            head_regressed: false,
            faults_left: 4,
        }
    }

    fn swap(&mut self, defect: Defect, expected: u64, head: &Head) -> SwapResult {
        if self.head.revision != expected && defect != Defect::SwapWithoutCompare {
            return SwapResult::Conflict;
        }
        self.head_regressed |= head.generation <= self.head.head.generation;
        self.head = HeadRead {
            head: head.clone(),
            revision: self.head.revision + 1,
        };
        SwapResult::Applied
    }

    fn took_effect(&self, write_id: u64) -> bool {
        self.head
            .head
            .history
            .iter()
            .any(|write| write.write_id == write_id)
    }

    /// Returns whether a publisher reports an outcome that contradicts the store.
    fn reports_false_outcome(&self) -> bool {
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
    state: &'a ModelState,
    edges: Vec<Edge<ModelState>>,
}

impl Steps<'_> {
    fn add(&mut self, label: String, fault: bool, change: impl FnOnce(&mut ModelState)) {
        if fault && self.state.faults_left == 0 {
            return;
        }
        let mut next = self.state.clone();
        next.faults_left -= u8::from(fault);
        change(&mut next);
        self.edges.push(Edge {
            label,
            is_fault: fault,
            next,
        });
    }

    fn add_publisher_steps(&mut self, number: usize) {
        match self.state.publishers[number].step() {
            PublishStep::ReadHead => {
                self.add(format!("operator {number}: reads back"), false, |next| {
                    let read = CallResult::Done(next.head.clone());
                    next.publishers[number].on_read(&read);
                });
                self.add(
                    format!("operator {number}: cannot read back"),
                    true,
                    |next| {
                        next.publishers[number].on_read(&CallResult::Refused);
                    },
                );
            }
            PublishStep::Swap { expected, head } => self.add_swap_steps(number, expected, &head),
            PublishStep::End(_) => {}
        }
    }

    fn add_swap_steps(&mut self, number: usize, expected: u64, head: &Head) {
        let defect = self.defect;
        let lost = match defect {
            Defect::LostAnswerIsSuccess => CallResult::Done(SwapResult::Applied),
            Defect::LostAnswerIsRefusal => CallResult::Refused,
            _ => CallResult::Unknown,
        };
        self.add(format!("operator {number}: swaps"), false, |next| {
            let swapped = next.swap(defect, expected, head);
            next.publishers[number].on_swap(&CallResult::Done(swapped));
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
            format!("operator {number}: swaps, the store refuses"),
            true,
            |next| {
                next.publishers[number].on_swap(&CallResult::Refused);
            },
        );
        if self.state.delayed_swap.is_none() {
            self.add(
                format!("operator {number}: swaps, the call is delayed"),
                true,
                |next| {
                    next.delayed_swap = Some((expected, head.clone()));
                    next.publishers[number].on_swap(&lost);
                },
            );
        }
    }

    /// Adds the delivery of every generation that was ever in effect, since deliveries may be late and repeated.
    fn add_replica_steps(&mut self, number: usize) {
        for generation in 1..=self.state.head.head.generation {
            let uses_any = self.defect == Defect::ReplicaUsesAny;
            self.add(
                format!("replica {number}: receives generation {generation}"),
                false,
                |next| {
                    let decision = next.replicas[number].on_offer(generation);
                    if decision == Decision::Use || uses_any {
                        next.replica_regressed |= generation < next.in_use[number];
                        next.in_use[number] = generation;
                    }
                },
            );
        }
    }
}

fn steps(defect: Defect, state: &ModelState) -> Vec<Edge<ModelState>> {
    let mut steps = Steps {
        defect,
        state,
        edges: Vec::new(),
    };
    for number in 0..2 {
        steps.add_publisher_steps(number);
        steps.add_replica_steps(number);
    }
    if let Some((expected, head)) = &state.delayed_swap {
        steps.add("network: the delayed swap arrives".into(), false, |next| {
            next.delayed_swap = None;
            next.swap(defect, *expected, head);
        });
    }
    steps.edges
}

fn violates_invariant(state: &ModelState) -> bool {
    state.replica_regressed || state.head_regressed || state.reports_false_outcome()
}

/// Returns whether both operators have an outcome and both replicas use the generation in effect.
fn is_settled(state: &ModelState) -> bool {
    let ended = |publisher: &Publisher| matches!(publisher.step(), PublishStep::End(_));
    let newest = state.head.head.generation;
    state.publishers.iter().all(ended)
        && state.in_use.iter().all(|used| *used == newest)
        && state.delayed_swap.is_none()
}

/// Guards against a false outcome for an operator, a generation that decreases, and a state from which the model cannot
/// settle.
#[test]
fn generations_increase_and_outcomes_are_correct() {
    let exploration = explore(
        &ModelState::new(),
        |state| steps(Defect::None, state),
        violates_invariant,
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
    let trace = shortest_trace(
        &ModelState::new(),
        |state| steps(defect, state),
        violates_invariant,
    );
    trace.map_or("no counterexample".into(), |labels| labels.join("\n"))
}

/// Guards against a model that does not detect a false outcome or a decreasing generation.
#[test]
fn each_defect_has_a_counterexample() {
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

//! Exhaustive breadth-first exploration of the states of a model.

#![allow(dead_code, reason = "not every model uses all functions")]

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use pathfinding::directed::bfs::{bfs, bfs_reach};

/// A transition to another state.
#[derive(Debug, Clone)]
pub struct Edge<S> {
    pub label: String,
    pub is_fault: bool,
    pub next: S,
}

/// Statistics of all reachable states.
#[derive(Debug, Default)]
pub struct Exploration {
    pub states: usize,
    pub steps: usize,
    /// Number of states that violate an invariant.
    pub violations: usize,
    /// Number of settled states.
    pub settled: usize,
    /// Number of states from which no settled state is reachable without a further fault.
    pub dead_ends: usize,
    /// Labels of the shortest path to such a state, empty if there is none.
    pub dead_end_trace: Vec<String>,
}

/// Returns the labels of the shortest path to a state for which `is_violation` holds.
pub fn shortest_trace<S: Clone + Eq + Hash>(
    start: &S,
    steps: impl Fn(&S) -> Vec<Edge<S>>,
    is_violation: impl Fn(&S) -> bool,
) -> Option<Vec<String>> {
    let next = |state: &S| {
        steps(state)
            .into_iter()
            .map(|edge| edge.next)
            .collect::<Vec<S>>()
    };
    let path = bfs(start, next, |state| is_violation(state))?;
    let label = |pair: &[S]| {
        let edge = steps(&pair[0])
            .into_iter()
            .find(|edge| edge.next == pair[1]);
        edge.map_or_else(String::new, |edge| edge.label)
    };
    Some(path.windows(2).map(label).collect())
}

fn digest(state: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    state.hash(&mut hasher);
    hasher.finish()
}

/// Visits all reachable states.
pub fn explore<S: Clone + Eq + Hash>(
    start: &S,
    steps: impl Fn(&S) -> Vec<Edge<S>>,
    is_violation: impl Fn(&S) -> bool,
    is_settled: impl Fn(&S) -> bool,
) -> Exploration {
    let mut exploration = Exploration::default();
    let mut edges: Vec<Vec<(bool, u64)>> = Vec::new();
    let next = |state: &S| {
        let edges_of_state = steps(state);
        edges.push(
            edges_of_state
                .iter()
                .map(|edge| (edge.is_fault, digest(&edge.next)))
                .collect(),
        );
        edges_of_state
            .into_iter()
            .map(|edge| edge.next)
            .collect::<Vec<S>>()
    };
    let states: Vec<S> = bfs_reach(start.clone(), next).collect();
    let indices: HashMap<u64, usize> = states.iter().map(digest).zip(0..).collect();
    assert_eq!(
        (edges.len(), indices.len()),
        (states.len(), states.len()),
        "two states have the same digest"
    );
    let mut predecessors: Vec<Vec<usize>> = vec![Vec::new(); states.len()];
    for (index, edges) in edges.iter().enumerate() {
        exploration.steps += edges.len();
        for (_, next) in edges.iter().filter(|(is_fault, _)| !is_fault) {
            predecessors[indices[next]].push(index);
        }
    }
    let mut queue: Vec<usize> = (0..states.len())
        .filter(|index| is_settled(&states[*index]))
        .collect();
    let mut can_settle = vec![false; states.len()];
    for index in &queue {
        can_settle[*index] = true;
    }
    exploration.settled = queue.len();
    while let Some(index) = queue.pop() {
        for predecessor in std::mem::take(&mut predecessors[index]) {
            if !std::mem::replace(&mut can_settle[predecessor], true) {
                queue.push(predecessor);
            }
        }
    }
    exploration.states = states.len();
    exploration.violations = states.iter().filter(|state| is_violation(state)).count();
    exploration.dead_ends = can_settle.iter().filter(|can_settle| !**can_settle).count();
    if let Some(first) = can_settle.iter().position(|can_settle| !can_settle) {
        let dead_end = &states[first];
        exploration.dead_end_trace =
            shortest_trace(start, &steps, |state| state == dead_end).unwrap_or_default();
    }
    exploration
}

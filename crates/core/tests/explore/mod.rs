//! Exhaustive breadth-first search over the states of a model.

#![allow(dead_code, reason = "each model uses a part of the search")]

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use pathfinding::directed::bfs::{bfs, bfs_reach};

/// A step from one state to the next.
#[derive(Debug, Clone)]
pub struct Edge<S> {
    pub label: String,
    pub fault: bool,
    pub next: S,
}

/// Result of visiting every reachable state.
#[derive(Debug, Default)]
pub struct Survey {
    pub states: usize,
    pub steps: usize,
    /// States in which an invariant is broken.
    pub violations: usize,
    /// States that count as settled.
    pub settled: usize,
    /// States from which no settled state can be reached without a further fault.
    pub stuck: usize,
    /// Shortest trace to a stuck state.
    pub first_stuck: Vec<String>,
}

/// Returns the labels of the shortest way to a state that is `bad`.
pub fn shortest<S: Clone + Eq + Hash>(
    start: &S,
    steps: impl Fn(&S) -> Vec<Edge<S>>,
    bad: impl Fn(&S) -> bool,
) -> Option<Vec<String>> {
    let next = |state: &S| {
        steps(state)
            .into_iter()
            .map(|edge| edge.next)
            .collect::<Vec<S>>()
    };
    let path = bfs(start, next, |state| bad(state))?;
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

/// Visits every reachable state.
pub fn survey<S: Clone + Eq + Hash>(
    start: &S,
    steps: impl Fn(&S) -> Vec<Edge<S>>,
    bad: impl Fn(&S) -> bool,
    settled: impl Fn(&S) -> bool,
) -> Survey {
    let mut survey = Survey::default();
    let mut edges: Vec<Vec<(bool, u64)>> = Vec::new();
    let next = |state: &S| {
        let found = steps(state);
        edges.push(
            found
                .iter()
                .map(|edge| (edge.fault, digest(&edge.next)))
                .collect(),
        );
        found.into_iter().map(|edge| edge.next).collect::<Vec<S>>()
    };
    let states: Vec<S> = bfs_reach(start.clone(), next).collect();
    let numbers: HashMap<u64, usize> = states.iter().map(digest).zip(0..).collect();
    assert_eq!(
        (edges.len(), numbers.len()),
        (states.len(), states.len()),
        "two states have the same digest"
    );
    let mut before: Vec<Vec<usize>> = vec![Vec::new(); states.len()];
    for (number, edges) in edges.iter().enumerate() {
        survey.steps += edges.len();
        for (_, next) in edges.iter().filter(|(fault, _)| !fault) {
            before[numbers[next]].push(number);
        }
    }
    let mut open: Vec<usize> = (0..states.len())
        .filter(|number| settled(&states[*number]))
        .collect();
    let mut reaches = vec![false; states.len()];
    for number in &open {
        reaches[*number] = true;
    }
    survey.settled = open.len();
    while let Some(number) = open.pop() {
        for earlier in std::mem::take(&mut before[number]) {
            if !std::mem::replace(&mut reaches[earlier], true) {
                open.push(earlier);
            }
        }
    }
    survey.states = states.len();
    survey.violations = states.iter().filter(|state| bad(state)).count();
    survey.stuck = reaches.iter().filter(|reaches| !**reaches).count();
    if let Some(first) = reaches.iter().position(|reaches| !reaches) {
        let stuck = &states[first];
        survey.first_stuck = shortest(start, &steps, |state| state == stuck).unwrap_or_default();
    }
    survey
}

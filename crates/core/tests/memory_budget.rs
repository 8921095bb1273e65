//! Budget of the bytes that a process holds for others.

use proptest::prelude::*;
use tanagerford_core::memory_budget::{MemoryBudget, SMALL_BYTES};

const CAPACITY_BYTES: usize = 4 * 1024 * 1024;

#[derive(Debug, Clone)]
enum Step {
    Join { rank: u8, bytes: usize },
    Take { bytes: usize },
    End { index: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let bytes = prop_oneof![1..SMALL_BYTES, SMALL_BYTES..2 * CAPACITY_BYTES];
    prop_oneof![
        (0_u8..4, bytes.clone()).prop_map(|(rank, bytes)| Step::Join { rank, bytes }),
        bytes.prop_map(|bytes| Step::Take { bytes }),
        (0_usize..64).prop_map(|index| Step::End { index }),
    ]
}

proptest! {
    /// Guards against a budget that is exceeded, that loses bytes after any order of ends, or that starves a waiter for which
    /// there is room.
    #[test]
    fn it_is_never_exceeded_and_all_is_given_back(steps in prop::collection::vec(step(), 1..200)) {
        let mut budget = MemoryBudget::new(CAPACITY_BYTES);
        let (mut held, mut waiting) = (Vec::new(), Vec::new());
        for step in steps {
            match step {
                Step::Join { rank, bytes } if budget.can_hold(bytes) => {
                    waiting.push((budget.join(rank), bytes));
                }
                Step::Take { bytes } => {
                    if budget.try_take(bytes, None) {
                        held.push(bytes);
                    }
                }
                Step::End { index } if index < held.len() => {
                    budget.give_back(held.swap_remove(index));
                }
                Step::Join { .. } | Step::End { .. } => {}
            }
            prop_assert_eq!(budget.used_bytes(), held.iter().sum::<usize>());
            prop_assert!(budget.used_bytes() <= CAPACITY_BYTES);
        }
        // Each of those that wait gets its turn once the others have ended, in order of rank and arrival.
        waiting.sort_unstable();
        for (place, bytes) in waiting {
            for bytes in held.drain(..) {
                budget.give_back(bytes);
            }
            prop_assert!(budget.try_take(bytes, Some(place)));
            budget.leave(place);
            held.push(bytes);
        }
        for bytes in held {
            budget.give_back(bytes);
        }
        prop_assert_eq!((budget.used_bytes(), budget.waiting_count()), (0, 0));
    }
}

/// Guards against large bodies that take the room of small requests and events, and against a large one that is overtaken.
#[test]
fn small_amounts_neither_wait_nor_overtake() {
    let mut budget = MemoryBudget::new(CAPACITY_BYTES);
    let large = CAPACITY_BYTES / 2;
    assert!(budget.try_take(large, None));
    let first = budget.join(1);
    assert!(!budget.try_take(large, Some(first)));
    assert!(!budget.try_take(SMALL_BYTES + 1, None));
    assert!(budget.try_take(SMALL_BYTES, None));
    budget.give_back(large);
    assert!(budget.try_take(large, Some(first)));
}

/// Guards against a table of waiters that grows without bound, and against one that loses its best ones.
#[test]
fn the_lowest_rank_and_newest_loses_its_place() {
    let mut budget = MemoryBudget::new(CAPACITY_BYTES);
    let low = budget.join(7);
    let last_low = budget.join(7);
    let count = budget.waiting_count();
    let mut high = Vec::new();
    while budget.is_waiting(last_low) {
        high.push(budget.join(0));
        assert!(high.len() < 100_000, "bounded");
    }
    assert!(budget.waiting_count() > count);
    assert!(budget.is_waiting(low));
    assert!(high.iter().all(|place| budget.is_waiting(*place)));
}

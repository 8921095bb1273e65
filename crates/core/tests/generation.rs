//! Tests of the state machines for the configuration's generation.

use std::time::Duration;

use tanagerford_core::generation::{
    CallResult, Comparison, Decision, Head, HeadRead, PublishOutcome, PublishStep, Publisher,
    Replica, SwapResult, WatchAction, WatchMonitor,
};

const SECOND: Duration = Duration::from_secs(1);

/// In-memory store of the head. Tests call `swap` directly to simulate a swap that arrives after the publisher's next
/// step.
#[derive(Default)]
struct Store {
    read: HeadRead,
}

impl Store {
    fn swap(&mut self, expected: u64, head: &Head) -> SwapResult {
        if self.read.revision != expected {
            return SwapResult::Conflict;
        }
        self.read = HeadRead {
            head: head.clone(),
            revision: expected + 1,
        };
        SwapResult::Applied
    }

    fn run(&mut self, publisher: &mut Publisher) -> PublishOutcome {
        loop {
            match publisher.step() {
                PublishStep::End(outcome) => return outcome,
                PublishStep::ReadHead => publisher.on_read(&CallResult::Done(self.read.clone())),
                PublishStep::Swap { expected, head } => {
                    let swap = self.swap(expected, &head);
                    publisher.on_swap(&CallResult::Done(swap));
                }
            }
        }
    }
}

fn swap_of(publisher: &Publisher) -> (u64, Head) {
    match publisher.step() {
        PublishStep::Swap { expected, head } => (expected, head),
        other => panic!("expected a swap, found {other:?}"),
    }
}

/// Guards against reporting success to both operators when two publish from the same head.
#[test]
fn losing_publisher_reports_the_winning_generation() {
    let mut store = Store::default();
    let mut first = Publisher::new(store.read.clone(), 1, 0);
    let mut second = Publisher::new(store.read.clone(), 2, 0);
    assert_eq!(store.run(&mut first), PublishOutcome::Applied(1));
    let mut third = Publisher::new(store.read.clone(), 3, 0);
    assert_eq!(store.run(&mut third), PublishOutcome::Applied(2));
    assert_eq!(store.run(&mut second), PublishOutcome::Lost { winner: 1 });
}

/// Guards against reporting a write as lost although it took effect and only its response was lost, also when another
/// operator has replaced it since.
#[test]
fn lost_response_is_resolved_by_the_write_id() {
    let mut store = Store::default();
    let mut publisher = Publisher::new(store.read.clone(), 1, 0);
    let (expected, head) = swap_of(&publisher);
    store.swap(expected, &head);
    publisher.on_swap(&CallResult::Unknown);
    let mut replaced = publisher.clone();
    assert_eq!(store.run(&mut publisher), PublishOutcome::Applied(1));
    store.run(&mut Publisher::new(store.read.clone(), 2, 0));
    assert_eq!(store.run(&mut replaced), PublishOutcome::Applied(1));
}

/// Guards against reporting a write as not done although its delayed call takes effect later.
#[test]
fn delayed_swap_takes_effect_once() {
    let mut store = Store::default();
    let mut publisher = Publisher::new(store.read.clone(), 1, 0);
    let (expected, head) = swap_of(&publisher);
    publisher.on_swap(&CallResult::Unknown);
    publisher.on_read(&CallResult::Done(store.read.clone()));
    assert!(matches!(publisher.step(), PublishStep::Swap { .. }));
    assert_eq!(store.swap(expected, &head), SwapResult::Applied);
    assert_eq!(store.run(&mut publisher), PublishOutcome::Applied(1));
    assert_eq!(store.read.revision, 1);
}

/// Guards against reporting a definite outcome although the store never responded.
#[test]
fn unresponsive_store_gives_unknown_and_refusing_store_gives_not_run() {
    let mut unknown = Publisher::new(HeadRead::default(), 1, 0);
    unknown.on_swap(&CallResult::Unknown);
    while unknown.step() == PublishStep::ReadHead {
        unknown.on_read(&CallResult::Refused);
    }
    assert_eq!(unknown.step(), PublishStep::End(PublishOutcome::Unknown));
    let mut refused = Publisher::new(HeadRead::default(), 1, 0);
    refused.on_swap(&CallResult::Refused);
    assert_eq!(refused.step(), PublishStep::End(PublishOutcome::NotRun));
}

/// Guards against reporting a definite outcome from a history that no longer reaches back to the write.
#[test]
fn ambiguous_write_older_than_the_history_stays_unknown() {
    let mut store = Store::default();
    let mut publisher = Publisher::new(store.read.clone(), 1, 0);
    publisher.on_swap(&CallResult::Unknown);
    for write_id in 2..40 {
        store.run(&mut Publisher::new(store.read.clone(), write_id, 0));
    }
    assert_eq!(store.run(&mut publisher), PublishOutcome::Unknown);
}

/// Guards against a process that returns to a lower generation.
#[test]
fn generation_in_use_never_decreases() {
    let mut replica = Replica::default();
    assert_eq!(replica.on_offer(5), Decision::Use);
    assert_eq!(replica.on_offer(5), Decision::Drop);
    assert_eq!(replica.on_offer(4), Decision::Drop);
    replica.on_store_generation(3);
    assert_eq!(replica.generation_in_use(), 5);
    assert_eq!(replica.on_message(4), Comparison::SenderIsOlder);
    assert_eq!(replica.on_message(6), Comparison::SenderIsNewer);
    assert_eq!((replica.generation_in_use(), replica.newest_seen()), (5, 6));
}

/// Guards against a process that restarts while the store is unreachable and becomes ready with the outdated
/// configuration of one peer.
#[test]
fn startup_waits_for_the_newest_generation_of_several_peers() {
    let mut replica = Replica::default();
    replica.on_offer(4);
    replica.on_peer_generation("behind", 4, 9);
    replica.on_peer_generation("starting", 0, 9);
    replica.on_peer_generation("second", 5, 9);
    assert!(!replica.is_ready());
    replica.on_peer_generation("third", 5, 9);
    assert!(!replica.is_ready());
    replica.on_offer(5);
    assert!(replica.is_ready());
}

/// Guards against a process that never becomes ready because it waits for a generation that only a failed peer had.
#[test]
fn startup_ignores_a_failed_peer() {
    let mut replica = Replica::default();
    replica.on_offer(4);
    replica.on_peer_generation("failed", 5, 2);
    replica.on_peer_generation("alive", 4, 2);
    assert!(!replica.is_ready());
    replica.on_peer_gone("failed");
    replica.on_peer_generation("other", 4, 2);
    assert!(replica.is_ready());
}

/// Guards against a process that becomes ready with the configuration of a store restored from an old backup.
#[test]
fn startup_waits_for_a_peer_newer_than_a_restored_store() {
    let mut replica = Replica::default();
    replica.on_peer_generation("peer", 9, 5);
    replica.on_offer(3);
    replica.on_store_generation(3);
    assert!(!replica.is_ready());
    replica.on_offer(9);
    replica.on_store_generation(3);
    assert!(replica.is_ready());
}

/// Guards against a watch that stops without an error and leaves a process on an outdated configuration.
#[test]
fn broken_watch_is_detected_within_one_interval() {
    let mut monitor = WatchMonitor::new(5 * SECOND, Duration::ZERO);
    monitor.on_event(4 * SECOND);
    assert_eq!(monitor.next(5 * SECOND), WatchAction::Wait(4 * SECOND));
    assert_eq!(monitor.next(9 * SECOND), WatchAction::ReadHead);
    assert!(!monitor.on_head(9 * SECOND, 7, 7));
    assert_eq!(monitor.next(14 * SECOND), WatchAction::ReadHead);
    assert!(monitor.on_head(14 * SECOND, 8, 7));
    assert_eq!(monitor.missed_changes(), 1);
}

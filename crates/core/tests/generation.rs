//! Tests of the generation's rules.

use std::time::Duration;

use tanagerford_core::generation::{
    Answer, Comparison, Decision, Head, HeadRead, PublishOutcome, PublishStep, Publisher, Replica,
    Swap, WatchAction, WatchMonitor,
};

const SECOND: Duration = Duration::from_secs(1);

/// Store of the head whose swap can be delayed past its sender's next step.
#[derive(Default)]
struct Store {
    read: HeadRead,
}

impl Store {
    fn swap(&mut self, expected: u64, head: &Head) -> Swap {
        if self.read.revision != expected {
            return Swap::Conflict;
        }
        self.read = HeadRead {
            head: head.clone(),
            revision: expected + 1,
        };
        Swap::Applied
    }

    fn run(&mut self, publisher: &mut Publisher) -> PublishOutcome {
        loop {
            match publisher.step() {
                PublishStep::End(outcome) => return outcome,
                PublishStep::ReadHead => publisher.on_read(&Answer::Done(self.read.clone())),
                PublishStep::Swap { expected, head } => {
                    let swap = self.swap(expected, &head);
                    publisher.on_swap(&Answer::Done(swap));
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

/// Guards against two operators who both believe that their configuration won.
#[test]
fn loser_of_a_race_learns_the_winning_generation() {
    let mut store = Store::default();
    let mut first = Publisher::new(store.read.clone(), 1, 0);
    let mut second = Publisher::new(store.read.clone(), 2, 0);
    assert_eq!(store.run(&mut first), PublishOutcome::Applied(1));
    let mut third = Publisher::new(store.read.clone(), 3, 0);
    assert_eq!(store.run(&mut third), PublishOutcome::Applied(2));
    assert_eq!(store.run(&mut second), PublishOutcome::Lost { winner: 1 });
}

/// Guards against a write that is reported as lost although it took effect before its answer was lost, also when
/// another operator has replaced it since.
#[test]
fn lost_answer_is_resolved_by_the_write_id() {
    let mut store = Store::default();
    let mut publisher = Publisher::new(store.read.clone(), 1, 0);
    let (expected, head) = swap_of(&publisher);
    store.swap(expected, &head);
    publisher.on_swap(&Answer::Unknown);
    let mut replacing = publisher.clone();
    assert_eq!(store.run(&mut publisher), PublishOutcome::Applied(1));
    store.run(&mut Publisher::new(store.read.clone(), 2, 0));
    assert_eq!(store.run(&mut replacing), PublishOutcome::Applied(1));
}

/// Guards against a write that is reported as not done and takes effect later, when its delayed message arrives.
#[test]
fn delayed_swap_takes_effect_once() {
    let mut store = Store::default();
    let mut publisher = Publisher::new(store.read.clone(), 1, 0);
    let (expected, head) = swap_of(&publisher);
    publisher.on_swap(&Answer::Unknown);
    publisher.on_read(&Answer::Done(store.read.clone()));
    assert!(matches!(publisher.step(), PublishStep::Swap { .. }));
    assert_eq!(store.swap(expected, &head), Swap::Applied);
    assert_eq!(store.run(&mut publisher), PublishOutcome::Applied(1));
    assert_eq!(store.read.revision, 1);
}

/// Guards against a certain outcome that is claimed although the service never answered.
#[test]
fn silent_service_ends_as_unknown_and_refusing_service_as_not_run() {
    let mut unknown = Publisher::new(HeadRead::default(), 1, 0);
    unknown.on_swap(&Answer::Unknown);
    while unknown.step() == PublishStep::ReadHead {
        unknown.on_read(&Answer::Refused);
    }
    assert_eq!(unknown.step(), PublishStep::End(PublishOutcome::Unknown));
    let mut refused = Publisher::new(HeadRead::default(), 1, 0);
    refused.on_swap(&Answer::Refused);
    assert_eq!(refused.step(), PublishStep::End(PublishOutcome::NotRun));
}

/// Guards against a write that is judged by a history from which its own entry has already been dropped.
#[test]
fn ambiguous_write_beyond_the_history_stays_unknown() {
    let mut store = Store::default();
    let mut publisher = Publisher::new(store.read.clone(), 1, 0);
    publisher.on_swap(&Answer::Unknown);
    for write_id in 2..40 {
        store.run(&mut Publisher::new(store.read.clone(), write_id, 0));
    }
    assert_eq!(store.run(&mut publisher), PublishOutcome::Unknown);
}

/// Guards against a generation that falls in a process.
#[test]
fn replica_never_goes_back() {
    let mut replica = Replica::default();
    assert_eq!(replica.on_offer(5), Decision::Use);
    assert_eq!(replica.on_offer(5), Decision::Drop);
    assert_eq!(replica.on_offer(4), Decision::Drop);
    replica.on_service(3);
    assert_eq!(replica.used(), 5);
    assert_eq!(replica.on_message(4), Comparison::SenderIsOlder);
    assert_eq!(replica.on_message(6), Comparison::SenderIsNewer);
    assert_eq!((replica.used(), replica.newest_heard()), (5, 6));
}

/// Guards against a process that restarts during an outage and serves with the old configuration of one slow peer.
#[test]
fn restart_waits_for_the_newest_of_several_peers() {
    let mut replica = Replica::default();
    replica.on_offer(4);
    replica.on_peer("behind", 4, 9);
    replica.on_peer("starting", 0, 9);
    replica.on_peer("second", 5, 9);
    assert!(!replica.is_ready());
    replica.on_peer("third", 5, 9);
    assert!(!replica.is_ready());
    replica.on_offer(5);
    assert!(replica.is_ready());
}

/// Guards against a restart that waits forever for a generation that only a failed peer had.
#[test]
fn restart_forgets_a_failed_peer() {
    let mut replica = Replica::default();
    replica.on_offer(4);
    replica.on_peer("failed", 5, 2);
    replica.on_peer("alive", 4, 2);
    assert!(!replica.is_ready());
    replica.on_peer_gone("failed");
    replica.on_peer("other", 4, 2);
    assert!(replica.is_ready());
}

/// Guards against a process that becomes ready with the configuration of a service restored from an old backup.
#[test]
fn restored_service_does_not_outweigh_a_peer() {
    let mut replica = Replica::default();
    replica.on_peer("peer", 9, 5);
    replica.on_offer(3);
    replica.on_service(3);
    assert!(!replica.is_ready());
    replica.on_offer(9);
    replica.on_service(3);
    assert!(replica.is_ready());
}

/// Guards against a watch that goes dead silently and keeps a process on an old configuration.
#[test]
fn silent_watch_is_detected_within_one_interval() {
    let mut monitor = WatchMonitor::new(5 * SECOND, Duration::ZERO);
    monitor.on_event(4 * SECOND);
    assert_eq!(monitor.next(5 * SECOND), WatchAction::Wait(4 * SECOND));
    assert_eq!(monitor.next(9 * SECOND), WatchAction::ReadHead);
    assert!(!monitor.on_head(9 * SECOND, 7, 7));
    assert_eq!(monitor.next(14 * SECOND), WatchAction::ReadHead);
    assert!(monitor.on_head(14 * SECOND, 8, 7));
    assert_eq!(monitor.missed(), 1);
}

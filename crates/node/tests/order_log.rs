//! Tests of the order log with its writer thread and on a virtual clock.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

use support::{FakeKv, KvFault, VirtualClock, answer, book, order, owner};
use tanagerford_core::order::Settlement;
use tanagerford_node::orders::{
    ClaimDecision, OrderBook, OrderLog, OrderRequest, OrderSettings, OrderStatus, RefusalCode,
    SettleOutcome, Ticket, UnknownCode,
};

/// Longer than any step of these tests takes; not asserted.
const LONG: Duration = Duration::from_secs(20);

fn log(kv: &Arc<FakeKv>, server: &str, incarnation: u64) -> OrderLog {
    OrderLog::start(
        kv.clone(),
        OrderSettings::new("plates", owner(server, incarnation)),
    )
}

fn run(decision: &ClaimDecision) -> bool {
    matches!(decision, ClaimDecision::Run(_))
}

/// Drives a claim on the virtual clock until it is decided or `deadline` has passed.
fn claim(
    book: &OrderBook,
    clock: &VirtualClock,
    order: &OrderRequest,
    deadline: Duration,
) -> ClaimDecision {
    let mut ticket = Ticket::default();
    loop {
        if let Some(decision) = book.try_claim(order, &mut ticket) {
            return decision;
        }
        if clock.now() >= deadline {
            return book.give_up(order, &mut ticket);
        }
        book.step();
        clock.advance(Duration::from_millis(10));
    }
}

fn claim_soon(book: &OrderBook, clock: &VirtualClock, order: &OrderRequest) -> ClaimDecision {
    claim(book, clock, order, clock.now() + Duration::from_secs(5))
}

/// Guards against a second run of a repeated order, by threads at the same time and later.
#[test]
fn a_repeated_order_runs_once_and_gets_the_first_answer() {
    let kv = Arc::new(FakeKv::default());
    let log = log(&kv, "w1", 1);
    let runs = AtomicU32::new(0);
    let bodies: Vec<String> = thread::scope(|scope| {
        let call = || match log.claim(&order("burn"), LONG) {
            ClaimDecision::Run(_) => {
                runs.fetch_add(1, Ordering::SeqCst);
                log.finish(&order("burn").key, answer("plate 7"));
                "ran".to_owned()
            }
            ClaimDecision::Answered(kept) => String::from_utf8(kept.body.to_vec()).unwrap(),
            other => panic!("{other:?}"),
        };
        let threads: Vec<_> = (0..8).map(|_| scope.spawn(call)).collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .collect()
    });
    assert_eq!(runs.load(Ordering::SeqCst), 1);
    assert_eq!(bodies.iter().filter(|body| *body == "plate 7").count(), 7);
    assert!(log.stop(LONG));
}

/// Guards against lost claims when many orders of several shards share a write.
#[test]
fn orders_of_many_threads_and_shards_all_run_and_finish() {
    let kv = Arc::new(FakeKv::default());
    let log = log(&kv, "w1", 1);
    thread::scope(|scope| {
        for thread in 0..64 {
            let log = &log;
            scope.spawn(move || {
                for number in 0..8 {
                    let order = order(&format!("{thread}-{number}"));
                    assert!(run(&log.claim(&order, LONG)));
                    assert!(log.finish(&order.key, answer("done")));
                }
            });
        }
    });
    assert!(log.stop(LONG));
    assert_eq!(log.counts().keys, 512);
    assert!(log.unsettled().is_empty());
}

/// Guards against a key that is used with two bodies.
#[test]
fn the_same_key_with_another_body_is_refused() {
    let (kv, clock) = (Arc::new(FakeKv::default()), VirtualClock::default());
    let book = book(&kv, &clock, owner("w1", 1), None);
    assert!(run(&claim_soon(&book, &clock, &order("burn"))));
    let other = OrderRequest {
        body: 2,
        ..order("burn")
    };
    assert_eq!(
        claim_soon(&book, &clock, &other),
        ClaimDecision::RefusedOtherBody
    );
}

/// Guards against a run after not-run was said: the order reaches the sidecar after the query.
#[test]
fn a_queried_order_that_arrives_late_is_refused() {
    let (kv, clock) = (Arc::new(FakeKv::default()), VirtualClock::default());
    let book = book(&kv, &clock, owner("w1", 1), None);
    assert_eq!(book.query(&order("burn").key), OrderStatus::NotRun);
    let decision = claim_soon(&book, &clock, &order("burn"));
    assert!(
        matches!(
            decision,
            ClaimDecision::NotRun {
                code: RefusalCode::Refused,
                ..
            }
        ),
        "{decision:?}"
    );
}

/// Guards against two runs when two sidecars believe to own a shard, and against a claim that cannot be moved.
#[test]
fn a_moved_shard_runs_an_order_once_and_a_refused_claim_moves() {
    let (kv, clock) = (Arc::new(FakeKv::default()), VirtualClock::default());
    let first = book(&kv, &clock, owner("w1", 1), None);
    let second = book(&kv, &clock, owner("w2", 1), None);
    first.own_shards(&[0]);
    second.own_shards(&[0]);
    first.step();
    second.step();
    let ClaimDecision::Run(held) = claim_soon(&first, &clock, &order("burn")) else {
        panic!("not run")
    };
    let decision = claim_soon(&second, &clock, &order("burn"));
    assert_eq!(decision, ClaimDecision::OwnedElsewhere(held.clone()));
    assert_eq!(first.query(&order("burn").key), OrderStatus::Running);

    assert!(first.abandon(&order("burn").key));
    assert_eq!(first.query(&order("burn").key), OrderStatus::NotRun);
    let moved = OrderRequest {
        released: Some(held),
        ..order("burn")
    };
    assert!(run(&claim_soon(&second, &clock, &moved)));
    assert!(!run(&claim_soon(&first, &clock, &order("burn"))));
}

/// Guards against a second run of an order whose sidecar was replaced, and against a settlement that is not an
/// operator's.
#[test]
fn a_claim_of_a_gone_incarnation_is_unknown_until_settled() {
    let (kv, clock) = (Arc::new(FakeKv::default()), VirtualClock::default());
    let first = book(&kv, &clock, owner("w1", 1), None);
    assert!(run(&claim_soon(&first, &clock, &order("burn"))));
    let second = book(&kv, &clock, owner("w2", 1), None);
    second.own_shards(&[0]);
    second.step();
    let key = order("burn").key;
    assert_eq!(
        second.begin_settle(&key, Settlement::NotRun).unwrap_err(),
        SettleOutcome::OwnerAlive
    );

    let restarted = book(&kv, &clock, owner("w1", 2), None);
    let unknown = ClaimDecision::Unknown {
        code: UnknownCode::OwnerGone,
    };
    assert_eq!(claim_soon(&restarted, &clock, &order("burn")), unknown);
    let unsettled = restarted.unsettled();
    assert_eq!(unsettled.len(), 1);
    assert!(unsettled[0].is_unknown);
    assert_eq!(restarted.counts().unknown_orders, 1);

    let mut ticket = restarted.begin_settle(&key, Settlement::NotRun).unwrap();
    clock.advance(Duration::from_secs(1));
    restarted.step();
    assert_eq!(
        restarted.try_settle(&key, &mut ticket),
        Some(SettleOutcome::Settled)
    );
    assert!(run(&claim_soon(&restarted, &clock, &order("burn"))));
}

/// Guards against a false not-run and against `unknown` where nothing was sent: the service is down.
#[test]
fn an_outage_gives_a_true_not_run_at_the_deadline() {
    let (kv, clock) = (Arc::new(FakeKv::default()), VirtualClock::default());
    let book = book(&kv, &clock, owner("w1", 1), None);
    kv.set_down(true);
    let decision = claim_soon(&book, &clock, &order("burn"));
    assert!(
        matches!(
            decision,
            ClaimDecision::NotRun {
                code: RefusalCode::StoreUnavailable,
                ..
            }
        ),
        "{decision:?}"
    );
    kv.set_down(false);
    clock.advance(Duration::from_secs(5));
    assert!(run(&claim_soon(&book, &clock, &order("burn"))));
}

/// Guards against not-run before a write with a lost answer is read back: the service fails after the write.
#[test]
fn an_unresolved_claim_is_unknown_and_released_later() {
    let (kv, clock) = (Arc::new(FakeKv::default()), VirtualClock::default());
    let book = book(&kv, &clock, owner("w1", 1), None);
    book.own_shards(&[0]);
    book.step();
    let mut ticket = Ticket::default();
    assert_eq!(book.try_claim(&order("burn"), &mut ticket), None);
    kv.fail_next(KvFault::LoseAnswer);
    book.step();
    kv.set_down(true);
    clock.advance(Duration::from_secs(1));
    book.step();
    let unresolved = ClaimDecision::Unknown {
        code: UnknownCode::ClaimUnresolved,
    };
    assert_eq!(book.give_up(&order("burn"), &mut ticket), unresolved);
    assert_eq!(claim_soon(&book, &clock, &order("burn")), unresolved);

    kv.set_down(false);
    assert!(run(&claim_soon(&book, &clock, &order("burn"))));
}

/// Guards against a claim that is lost or run twice although its write was lost, delayed or refused.
#[test]
fn a_claim_survives_each_fault_of_its_write() {
    for fault in [
        KvFault::LoseAnswer,
        KvFault::LoseCall,
        KvFault::Delay,
        KvFault::Refuse,
    ] {
        let (kv, clock) = (Arc::new(FakeKv::default()), VirtualClock::default());
        let book = book(&kv, &clock, owner("w1", 1), None);
        book.own_shards(&[0]);
        book.step();
        kv.fail_next(fault);
        assert!(run(&claim_soon(&book, &clock, &order("burn"))), "{fault:?}");
        assert!(book.finish(&order("burn").key, answer("done")));
        let again = claim_soon(&book, &clock, &order("burn"));
        assert!(
            matches!(again, ClaimDecision::Answered(_)),
            "{fault:?}: {again:?}"
        );
    }
}

/// Guards against claims on top of pages that cannot be read.
#[test]
fn an_unreadable_page_refuses_orders_until_it_is_repaired() {
    let (kv, clock) = (Arc::new(FakeKv::default()), VirtualClock::default());
    let book = book(&kv, &clock, owner("w1", 1), None);
    kv.put("orders/plates/0000/0000000000", b"damaged".to_vec());
    let decision = claim_soon(&book, &clock, &order("burn"));
    assert!(
        matches!(
            decision,
            ClaimDecision::NotRun {
                code: RefusalCode::LogUnreadable,
                ..
            }
        ),
        "{decision:?}"
    );
}

/// Guards against an order that runs again, or is reported as in progress for ever, after the connection to the backend
/// server was lost: it is unknown until an operator settles it.
#[test]
fn a_lost_call_stays_unknown_until_it_is_settled() {
    let kv = Arc::new(FakeKv::default());
    let log = log(&kv, "w1", 1);
    assert!(run(&log.claim(&order("burn"), LONG)));
    let key = order("burn").key;
    assert_eq!(
        log.settle(&key, Settlement::NotRun, LONG),
        SettleOutcome::OwnerAlive
    );
    assert!(log.lose(&key));
    let unknown = ClaimDecision::Unknown {
        code: UnknownCode::CallLost,
    };
    assert_eq!(log.claim(&order("burn"), LONG), unknown);
    assert_eq!(log.query(&key), OrderStatus::Unknown);
    assert_eq!(log.counts().unknown_orders, 1);
    assert_eq!(log.unsettled().len(), 1);
    assert_eq!(
        log.settle(&key, Settlement::NotRun, LONG),
        SettleOutcome::Settled
    );
    assert!(run(&log.claim(&order("burn"), LONG)));
    assert!(log.finish(&key, answer("plate 7")));
    assert!(log.stop(LONG));
}

/// Guards against not-run while a copy of the claim's write may still arrive: the write is delayed, its repetition is
/// refused, and the deadline passes.
#[test]
fn a_refused_repetition_of_a_doubtful_write_stays_unresolved() {
    let (kv, clock) = (Arc::new(FakeKv::default()), VirtualClock::default());
    let book = book(&kv, &clock, owner("w1", 1), None);
    book.own_shards(&[0]);
    book.step();
    let mut ticket = Ticket::default();
    assert_eq!(book.try_claim(&order("burn"), &mut ticket), None);
    kv.fail_next(KvFault::LoseCall);
    book.step();
    clock.advance(Duration::from_secs(1));
    kv.fail_after(1, KvFault::Refuse);
    book.step();
    let unresolved = ClaimDecision::Unknown {
        code: UnknownCode::ClaimUnresolved,
    };
    assert_eq!(book.give_up(&order("burn"), &mut ticket), unresolved);
}

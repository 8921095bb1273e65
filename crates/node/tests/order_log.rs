//! Tests of the order log, with its writer thread or on a virtual clock.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

use support::{FakeKv, KvFault, VirtualClock, answer, core, order, owner};
use tanagerford_core::order::Settlement;
use tanagerford_node::orders::{
    ClaimDecision, OrderLog, OrderLogCore, OrderRequest, OrderSettings, OrderStatus, RefusalCode,
    SettleOutcome, Ticket, UnknownCode,
};

/// Time limit of blocking calls; no test depends on it.
const TIMEOUT: Duration = Duration::from_secs(20);

fn log(kv: &Arc<FakeKv>, server: &str, incarnation: u64) -> OrderLog {
    OrderLog::start(
        kv.clone(),
        OrderSettings::new("plates", owner(server, incarnation)),
    )
}

fn is_run(decision: &ClaimDecision) -> bool {
    matches!(decision, ClaimDecision::Run(_))
}

/// Claims an order on the virtual clock, giving up at `deadline`.
fn claim(
    core: &OrderLogCore,
    clock: &VirtualClock,
    order: &OrderRequest,
    deadline: Duration,
) -> ClaimDecision {
    let mut ticket = Ticket::default();
    loop {
        if let Some(decision) = core.try_claim(order, &mut ticket) {
            return decision;
        }
        if clock.now() >= deadline {
            return core.give_up(order, &mut ticket);
        }
        core.step();
        clock.advance(Duration::from_millis(10));
    }
}

fn claim_within_deadline(
    core: &OrderLogCore,
    clock: &VirtualClock,
    order: &OrderRequest,
) -> ClaimDecision {
    claim(core, clock, order, clock.now() + Duration::from_secs(5))
}

/// Guards against a second run of an order that several threads submit at the same time.
#[test]
fn a_repeated_order_runs_once_and_gets_the_first_answer() {
    let kv = Arc::new(FakeKv::default());
    let log = log(&kv, "w1", 1);
    let runs = AtomicU32::new(0);
    let bodies: Vec<String> = thread::scope(|scope| {
        let call = || match log.claim(&order("burn"), TIMEOUT) {
            ClaimDecision::Run(_) => {
                runs.fetch_add(1, Ordering::SeqCst);
                log.finish(&order("burn").key, answer("plate 7"));
                "ran".to_owned()
            }
            ClaimDecision::Answered(stored) => String::from_utf8(stored.body.to_vec()).unwrap(),
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
    assert!(log.stop(TIMEOUT));
}

/// Guards against lost claims when one transaction writes the orders of several shards.
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
                    assert!(is_run(&log.claim(&order, TIMEOUT)));
                    assert!(log.finish(&order.key, answer("done")));
                }
            });
        }
    });
    assert!(log.stop(TIMEOUT));
    assert_eq!(log.counts().keys, 512);
    assert!(log.unsettled().is_empty());
}

/// Guards against running a different call under a key that is in use.
#[test]
fn the_same_key_with_another_body_is_refused() {
    let (kv, clock) = (Arc::new(FakeKv::default()), VirtualClock::default());
    let core = core(&kv, &clock, owner("w1", 1), None);
    assert!(is_run(&claim_within_deadline(
        &core,
        &clock,
        &order("burn")
    )));
    let other = OrderRequest {
        body: 2,
        ..order("burn")
    };
    assert_eq!(
        claim_within_deadline(&core, &clock, &other),
        ClaimDecision::BodyMismatch
    );
}

/// Guards against running an order that reaches the sidecar after a query for it was answered with not-run.
#[test]
fn an_order_that_arrives_after_its_query_is_refused() {
    let (kv, clock) = (Arc::new(FakeKv::default()), VirtualClock::default());
    let core = core(&kv, &clock, owner("w1", 1), None);
    assert_eq!(core.query(&order("burn").key), OrderStatus::NotRun);
    let decision = claim_within_deadline(&core, &clock, &order("burn"));
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

/// Guards against two runs when two sidecars consider themselves owners of a shard, and against a released claim that
/// the new owner cannot take.
#[test]
fn a_moved_shard_runs_an_order_once_and_a_released_claim_moves() {
    let (kv, clock) = (Arc::new(FakeKv::default()), VirtualClock::default());
    let first = core(&kv, &clock, owner("w1", 1), None);
    let second = core(&kv, &clock, owner("w2", 1), None);
    first.set_owned_shards(&[0]);
    second.set_owned_shards(&[0]);
    first.step();
    second.step();
    let ClaimDecision::Run(claim) = claim_within_deadline(&first, &clock, &order("burn")) else {
        panic!("the first claim must be granted")
    };
    let decision = claim_within_deadline(&second, &clock, &order("burn"));
    assert_eq!(decision, ClaimDecision::ClaimedElsewhere(claim.clone()));
    assert_eq!(first.query(&order("burn").key), OrderStatus::Running);

    assert!(first.abandon(&order("burn").key));
    assert_eq!(first.query(&order("burn").key), OrderStatus::NotRun);
    let moved = OrderRequest {
        released: Some(claim),
        ..order("burn")
    };
    assert!(is_run(&claim_within_deadline(&second, &clock, &moved)));
    assert!(!is_run(&claim_within_deadline(
        &first,
        &clock,
        &order("burn")
    )));
}

/// Guards against a second run of an order whose sidecar was replaced, and against settling an order while its sidecar
/// may still run it.
#[test]
fn a_claim_of_a_gone_incarnation_is_unknown_until_settled() {
    let (kv, clock) = (Arc::new(FakeKv::default()), VirtualClock::default());
    let first = core(&kv, &clock, owner("w1", 1), None);
    assert!(is_run(&claim_within_deadline(
        &first,
        &clock,
        &order("burn")
    )));
    let second = core(&kv, &clock, owner("w2", 1), None);
    second.set_owned_shards(&[0]);
    second.step();
    let key = order("burn").key;
    assert_eq!(
        second.begin_settle(&key, Settlement::NotRun).unwrap_err(),
        SettleOutcome::OwnerAlive
    );

    let restarted = core(&kv, &clock, owner("w1", 2), None);
    let unknown = ClaimDecision::Unknown {
        code: UnknownCode::OwnerGone,
    };
    assert_eq!(
        claim_within_deadline(&restarted, &clock, &order("burn")),
        unknown
    );
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
    assert!(is_run(&claim_within_deadline(
        &restarted,
        &clock,
        &order("burn")
    )));
}

/// Guards against any other outcome than not-run when the key-value service is down until the deadline.
#[test]
fn an_outage_yields_not_run_at_the_deadline() {
    let (kv, clock) = (Arc::new(FakeKv::default()), VirtualClock::default());
    let core = core(&kv, &clock, owner("w1", 1), None);
    kv.set_down(true);
    let decision = claim_within_deadline(&core, &clock, &order("burn"));
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
    assert!(is_run(&claim_within_deadline(
        &core,
        &clock,
        &order("burn")
    )));
}

/// Guards against not-run before a claim's write is read back: the response to the write is lost, and the key-value
/// service is down until the deadline.
#[test]
fn an_unresolved_claim_is_unknown_and_released_later() {
    let (kv, clock) = (Arc::new(FakeKv::default()), VirtualClock::default());
    let core = core(&kv, &clock, owner("w1", 1), None);
    core.set_owned_shards(&[0]);
    core.step();
    let mut ticket = Ticket::default();
    assert_eq!(core.try_claim(&order("burn"), &mut ticket), None);
    kv.fail_next(KvFault::LoseAnswer);
    core.step();
    kv.set_down(true);
    clock.advance(Duration::from_secs(1));
    core.step();
    let unresolved = ClaimDecision::Unknown {
        code: UnknownCode::ClaimUnresolved,
    };
    assert_eq!(core.give_up(&order("burn"), &mut ticket), unresolved);
    assert_eq!(
        claim_within_deadline(&core, &clock, &order("burn")),
        unresolved
    );

    kv.set_down(false);
    assert!(is_run(&claim_within_deadline(
        &core,
        &clock,
        &order("burn")
    )));
}

/// Guards against losing a claim whose write, or the response to it, is lost, delayed or refused.
#[test]
fn a_claim_succeeds_after_any_single_fault_of_its_write() {
    for fault in [
        KvFault::LoseAnswer,
        KvFault::LoseCall,
        KvFault::Delay,
        KvFault::Refuse,
    ] {
        let (kv, clock) = (Arc::new(FakeKv::default()), VirtualClock::default());
        let core = core(&kv, &clock, owner("w1", 1), None);
        core.set_owned_shards(&[0]);
        core.step();
        kv.fail_next(fault);
        assert!(
            is_run(&claim_within_deadline(&core, &clock, &order("burn"))),
            "{fault:?}"
        );
        assert!(core.finish(&order("burn").key, answer("done")));
        let again = claim_within_deadline(&core, &clock, &order("burn"));
        assert!(
            matches!(again, ClaimDecision::Answered(_)),
            "{fault:?}: {again:?}"
        );
    }
}

/// Guards against writing claims to a shard with a page that cannot be decoded.
#[test]
fn an_unreadable_page_refuses_orders_until_it_is_repaired() {
    let (kv, clock) = (Arc::new(FakeKv::default()), VirtualClock::default());
    let core = core(&kv, &clock, owner("w1", 1), None);
    kv.put("orders/plates/0000/0000000000", b"damaged".to_vec());
    let decision = claim_within_deadline(&core, &clock, &order("burn"));
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

/// Guards against an order that runs again, or stays in progress forever, after the connection to the backend server
/// was lost. Its outcome must be unknown until an operator settles it.
#[test]
fn a_lost_call_stays_unknown_until_it_is_settled() {
    let kv = Arc::new(FakeKv::default());
    let log = log(&kv, "w1", 1);
    assert!(is_run(&log.claim(&order("burn"), TIMEOUT)));
    let key = order("burn").key;
    assert_eq!(
        log.settle(&key, Settlement::NotRun, TIMEOUT),
        SettleOutcome::OwnerAlive
    );
    assert!(log.mark_response_lost(&key));
    let unknown = ClaimDecision::Unknown {
        code: UnknownCode::CallLost,
    };
    assert_eq!(log.claim(&order("burn"), TIMEOUT), unknown);
    assert_eq!(log.query(&key), OrderStatus::Unknown);
    assert_eq!(log.counts().unknown_orders, 1);
    assert_eq!(log.unsettled().len(), 1);
    assert_eq!(
        log.settle(&key, Settlement::NotRun, TIMEOUT),
        SettleOutcome::Settled
    );
    assert!(is_run(&log.claim(&order("burn"), TIMEOUT)));
    assert!(log.finish(&key, answer("plate 7")));
    assert!(log.stop(TIMEOUT));
}

/// Guards against not-run while a lost write of the claim may still take effect: the retry of the write is refused and
/// the deadline passes.
#[test]
fn a_claim_stays_unresolved_when_the_retry_of_its_lost_write_is_refused() {
    let (kv, clock) = (Arc::new(FakeKv::default()), VirtualClock::default());
    let core = core(&kv, &clock, owner("w1", 1), None);
    core.set_owned_shards(&[0]);
    core.step();
    let mut ticket = Ticket::default();
    assert_eq!(core.try_claim(&order("burn"), &mut ticket), None);
    kv.fail_next(KvFault::LoseCall);
    core.step();
    clock.advance(Duration::from_secs(1));
    kv.fail_after(1, KvFault::Refuse);
    core.step();
    let unresolved = ClaimDecision::Unknown {
        code: UnknownCode::ClaimUnresolved,
    };
    assert_eq!(core.give_up(&order("burn"), &mut ticket), unresolved);
}

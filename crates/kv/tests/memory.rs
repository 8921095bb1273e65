//! Tests of the in-memory key-value service, which tests of other crates use in place of the platform's service.

use std::thread;
use std::time::Duration;

use tanagerford_kv::kv::{Call, Commit, Compare, Kv, LeaseId, Refusal, Transaction, Write};
use tanagerford_kv::memory::{Faults, Memory};

const TIMEOUT: Duration = Duration::from_secs(10);
const TTL: Duration = Duration::from_secs(3);

fn put(key: &str, expected: Option<u64>, lease: Option<LeaseId>) -> Transaction {
    let compare = expected.map(|mod_revision| Compare {
        key: key.into(),
        mod_revision,
    });
    let write = Write::Put {
        key: key.into(),
        value: b"v".to_vec(),
        lease,
    };
    Transaction {
        compares: compare.into_iter().collect(),
        writes: vec![write],
    }
}

/// Guards against a compare-and-swap that succeeds for two writers with the same expected revision.
#[test]
fn second_writer_from_the_same_revision_conflicts() {
    let memory = Memory::new();
    assert_eq!(
        memory.commit(&put("k", Some(0), None), TIMEOUT),
        Call::Done(Commit::Applied(1))
    );
    assert_eq!(
        memory.commit(&put("k", Some(0), None), TIMEOUT),
        Call::Done(Commit::Conflict)
    );
    assert_eq!(
        memory.commit(&put("k", Some(1), None), TIMEOUT),
        Call::Done(Commit::Applied(2))
    );
}

/// Guards against a fault injection that loses the write together with the response.
#[test]
fn write_with_a_lost_response_is_applied() {
    let memory = Memory::new();
    memory.set_faults(Faults {
        responses_to_lose: 1,
        ..Faults::default()
    });
    assert_eq!(
        memory.commit(&put("k", Some(0), None), TIMEOUT),
        Call::Unknown
    );
    let Call::Done(Some(found)) = memory.get("k", TIMEOUT) else {
        panic!("the write took effect")
    };
    assert_eq!(found.mod_revision, 1);
}

/// Guards against a slow call that exceeds its timeout or does not take effect.
#[test]
fn call_slower_than_its_timeout_takes_effect_without_a_response() {
    let memory = Memory::new();
    memory.set_faults(Faults {
        delay: TIMEOUT,
        ..Faults::default()
    });
    let result = memory.commit(&put("k", None, None), Duration::from_millis(1));
    assert_eq!(result, Call::Unknown);
    assert_eq!(memory.revision(), 1);
}

/// Guards against a refused call that takes effect, or that is not counted although the platform bills it.
#[test]
fn refused_calls_have_no_effect_and_are_counted() {
    let memory = Memory::new();
    memory.set_faults(Faults {
        calls_until_rate_limit: Some(0),
        ..Faults::default()
    });
    let limited = memory.commit(&put("k", None, None), TIMEOUT);
    assert_eq!(
        limited,
        Call::Refused(Refusal::Rejected("rate limit".into()))
    );
    memory.set_faults(Faults {
        is_down: true,
        ..Faults::default()
    });
    let down = memory.commit(&put("k", None, None), TIMEOUT);
    assert_eq!(down, Call::Refused(Refusal::Unreachable));
    assert_eq!((memory.revision(), memory.calls().commit), (0, 2));
    assert_eq!(memory.client().get("k", TIMEOUT), Call::Done(None));
}

/// Guards against keys that outlive their lease, and against an expired lease that a paused holder can still use.
#[test]
fn expired_lease_deletes_its_keys_and_refuses_writes() {
    let memory = Memory::with_virtual_clock();
    let Call::Done(lease) = memory.grant_lease(TTL, TIMEOUT) else {
        panic!("granted")
    };
    memory.commit(&put("k", None, Some(lease)), TIMEOUT);
    memory.advance(Duration::from_secs(2));
    assert_eq!(memory.renew_lease(lease, TIMEOUT), Call::Done(TTL));
    memory.advance(Duration::from_secs(2));
    assert!(matches!(memory.get("k", TIMEOUT), Call::Done(Some(_))));
    memory.advance(TTL);
    assert_eq!(memory.get("k", TIMEOUT), Call::Done(None));
    let late = memory.commit(&put("k", None, Some(lease)), TIMEOUT);
    assert_eq!(late, Call::Refused(Refusal::LeaseExpired));
    let events = memory.watch("k", 1, TIMEOUT);
    assert!(matches!(events, Call::Done(events) if events.len() == 2 && events[1].value.is_none()));
}

/// Guards against a watch that misses a write made between a read and the watch.
#[test]
fn watch_from_a_revision_reports_earlier_writes() {
    let memory = Memory::new();
    memory.commit(&put("a/1", None, None), TIMEOUT);
    memory.commit(&put("b/1", None, None), TIMEOUT);
    memory.commit(&put("a/2", None, None), TIMEOUT);
    let Call::Done(events) = memory.watch("a/", 2, TIMEOUT) else {
        panic!("answered")
    };
    let seen: Vec<_> = events
        .iter()
        .map(|event| (event.key.as_str(), event.mod_revision))
        .collect();
    assert_eq!(seen, [("a/2", 3)]);
}

/// Guards against a pending watch that a write of another client does not wake.
#[test]
fn pending_watch_wakes_on_a_write() {
    let memory = Memory::new();
    let writer = memory.client();
    let watcher = thread::spawn(move || memory.watch("k", 1, TIMEOUT));
    writer.commit(&put("k", None, None), TIMEOUT);
    let events = watcher.join().expect("the watch does not panic");
    assert!(matches!(events, Call::Done(events) if events.len() == 1));
}

/// Guards against a watch that skips compacted events without reporting it.
#[test]
fn watch_from_a_compacted_revision_is_refused() {
    let memory = Memory::new();
    memory.commit(&put("k", None, None), TIMEOUT);
    memory.compact();
    let refused = memory.watch("k", 1, TIMEOUT);
    assert_eq!(
        refused,
        Call::Refused(Refusal::Rejected("compacted".into()))
    );
    assert_eq!(memory.watch("k", 2, Duration::ZERO), Call::Done(Vec::new()));
}

/// Guards against an injected silent watch that still reports events.
#[test]
fn silent_watch_reports_nothing() {
    let memory = Memory::new();
    memory.commit(&put("k", None, None), TIMEOUT);
    memory.set_faults(Faults {
        has_silent_watches: true,
        ..Faults::default()
    });
    assert_eq!(
        memory.watch("k", 1, Duration::from_millis(1)),
        Call::Done(Vec::new())
    );
}

//! Quarantine of requests that crash backend servers.

mod seeded;

use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use seeded::runner;
use tanagerford_core::suspect::{
    RunningRequest, SummaryEntry, SuspectLimits, SuspectTable, Verdict,
};

const NOW: Duration = Duration::from_secs(1000);
const LIFETIME: Duration = Duration::from_mins(10);
const LIMITS: SuspectLimits = SuspectLimits {
    entries: 16,
    workspace_entries: 6,
};

fn running(fingerprint: u64) -> RunningRequest {
    RunningRequest {
        fingerprint,
        workspace: fingerprint % 5,
    }
}

/// Input of one process.
#[derive(Debug, Clone)]
enum Event {
    /// Report of crash `id`, which may arrive a few seconds late.
    Crash {
        id: u64,
        late_ms: u64,
        fingerprints: BTreeSet<u64>,
    },
    Success(u64),
}

/// Generates tables as of [`NOW`]. Crash `id` happens 40 s times `id` after the start, which is 1000 s before `NOW`.
fn table() -> impl Strategy<Value = SuspectTable> {
    let fingerprints = prop::collection::btree_set(0..40_u64, 1..12);
    let crash = (0..25_u64, 0..3000_u64, fingerprints);
    let crash = crash.prop_map(|(id, late_ms, fingerprints)| Event::Crash {
        id,
        late_ms,
        fingerprints,
    });
    let event = prop_oneof![3 => crash, 1 => (0..40_u64).prop_map(Event::Success)];
    prop::collection::vec(event, 0..25).prop_map(|mut events| {
        let mut table = SuspectTable::new(LIMITS);
        let mut now = Duration::ZERO;
        events.sort_by_key(|event| match event {
            Event::Crash { id, .. } => *id,
            Event::Success(fingerprint) => *fingerprint,
        });
        for event in events {
            match event {
                Event::Crash {
                    id,
                    late_ms,
                    fingerprints,
                } => {
                    now = now.max(Duration::from_secs(id * 40) + Duration::from_millis(late_ms));
                    let batch: Vec<RunningRequest> =
                        fingerprints.into_iter().map(running).collect();
                    table.on_crash(now, id, &batch);
                }
                Event::Success(fingerprint) => table.on_success(now, fingerprint),
            }
        }
        table
    })
}

fn merged(mut table: SuspectTable, other: &SuspectTable) -> SuspectTable {
    table.merge(NOW, &other.summary(NOW, usize::MAX));
    table
}

/// Returns the unexpired records and the verdicts. Expired records have no effect and may differ between processes.
fn effect(table: &SuspectTable) -> (Vec<SummaryEntry>, Vec<Verdict>) {
    let mut entries = table.summary(NOW, usize::MAX);
    for entry in &mut entries {
        entry.records.retain(|record| record.age < LIFETIME);
    }
    entries.retain(|entry| !entry.records.is_empty());
    (
        entries,
        (0..40)
            .map(|fingerprint| table.verdict(NOW, fingerprint))
            .collect(),
    )
}

/// Guards against processes that disagree permanently on a suspect because summaries arrive in different order or
/// repeatedly, also when tables are at their limits.
#[test]
fn merge_is_commutative_and_idempotent() {
    runner(256)
        .run(&(table(), table()), |(left, right)| {
            let both = merged(left.clone(), &right);
            let expected = effect(&both);
            prop_assert_eq!(&expected, &effect(&merged(right.clone(), &left)));
            prop_assert_eq!(&expected, &effect(&merged(both.clone(), &right)));
            prop_assert_eq!(&expected, &effect(&merged(both.clone(), &left)));
            prop_assert_eq!(&expected, &effect(&merged(both.clone(), &both)));
            prop_assert!(expected.0.len() <= LIMITS.entries);
            Ok(())
        })
        .unwrap();
}

/// Guards against a poison request that crashes a third server, and against other requests of its batches that are
/// refused or stay isolated.
#[test]
fn poison_request_crashes_at_most_two_servers_and_other_requests_run() {
    let batches = prop::collection::vec(prop::collection::btree_set(1..60_u64, 0..20), 1..30);
    runner(256)
        .run(&batches, |batches| {
            const POISON: u64 = 0;
            let mut table = SuspectTable::default();
            let mut crashes = 0;
            for (number, others) in (0..).zip(batches) {
                // The server runs the poison request in each batch unless it is refused, and others as permitted.
                let mut batch: Vec<u64> = Vec::new();
                let mut room = u32::MAX;
                for fingerprint in std::iter::once(POISON).chain(others) {
                    match table.verdict(NOW, fingerprint) {
                        Verdict::Normal if room > 0 => room -= 1,
                        Verdict::Isolate { max_other_requests } if batch.is_empty() => {
                            room = max_other_requests;
                        }
                        Verdict::Normal | Verdict::Isolate { .. } => continue,
                        Verdict::Refuse => {
                            prop_assert_eq!(fingerprint, POISON);
                            continue;
                        }
                    }
                    batch.push(fingerprint);
                }
                if batch.contains(&POISON) {
                    crashes += 1;
                    let batch: Vec<RunningRequest> = batch.iter().copied().map(running).collect();
                    table.on_crash(NOW, number, &batch);
                    // A second report of the same crash.
                    table.on_crash(NOW, number, &batch);
                } else {
                    for fingerprint in batch {
                        table.on_success(NOW, fingerprint);
                    }
                }
            }
            prop_assert!(crashes <= 2, "{} crashes", crashes);
            for fingerprint in 1..60 {
                table.on_success(NOW, fingerprint);
                prop_assert_eq!(table.verdict(NOW, fingerprint), Verdict::Normal);
            }
            Ok(())
        })
        .unwrap();
}

/// Guards against isolation of the other requests in the batch of a known suspect, which would spread with each crash.
#[test]
fn crash_is_attributed_to_a_known_suspect() {
    let mut table = SuspectTable::default();
    table.on_crash(NOW, 1, &[running(1)]);
    table.on_crash(NOW, 2, &[running(1), running(2), running(3)]);
    assert_eq!(table.verdict(NOW, 1), Verdict::Refuse);
    assert_eq!(table.verdict(NOW, 2), Verdict::Normal);
}

/// Guards against a workspace that floods the table and displaces the suspects of others, and against unbounded memory.
#[test]
fn one_workspace_cannot_fill_the_table() {
    let mut table = SuspectTable::new(SuspectLimits {
        entries: 50,
        workspace_entries: 40,
    });
    let others: Vec<RunningRequest> = (0..20)
        .map(|fingerprint| RunningRequest {
            fingerprint,
            workspace: fingerprint,
        })
        .collect();
    table.on_crash(NOW, 1, &others);
    for crash in 2..500 {
        table.on_crash(
            NOW,
            crash,
            &[RunningRequest {
                fingerprint: 1000 + crash,
                workspace: 99,
            }],
        );
        assert!(table.len() <= 50);
    }
    assert!(
        others
            .iter()
            .all(|other| table.verdict(NOW, other.fingerprint) != Verdict::Normal)
    );
    assert_eq!(table.len(), 50);
}

/// Guards against records that never end, because a success is lost, an old summary arrives after the success, or two
/// processes renew each other's records by the propagation delay of their summaries.
#[test]
fn suspicion_expires() {
    let mut left = SuspectTable::default();
    let mut right = SuspectTable::default();
    left.on_crash(NOW, 1, &[running(1), running(2)]);
    let old = left.summary(NOW, 10);
    right.merge(NOW, &old);
    right.on_success(NOW, 1);
    left.merge(NOW, &right.summary(NOW, 10));
    left.merge(NOW, &old);
    assert_eq!(left.verdict(NOW, 1), Verdict::Normal);
    assert_eq!(
        left.verdict(NOW, 2),
        Verdict::Isolate {
            max_other_requests: 1
        }
    );

    let mut now = NOW;
    let mut live_until = now;
    while now < NOW + 2 * LIFETIME {
        // Each summary takes 100 ms to arrive.
        let summary = left.summary(now, 10);
        now += Duration::from_millis(100);
        right.merge(now, &summary);
        let summary = right.summary(now, 10);
        now += Duration::from_millis(100);
        left.merge(now, &summary);
        if left.verdict(now, 2) != Verdict::Normal || right.verdict(now, 2) != Verdict::Normal {
            live_until = now;
        }
    }
    assert!(live_until <= NOW + LIFETIME + Duration::from_millis(200));
    assert!(left.is_empty() && right.is_empty());
}

/// Guards against a request that crashes intermittently, is cleared each time, and reaches the record limit.
#[test]
fn many_cleared_crashes_keep_a_request_isolated() {
    let mut table = SuspectTable::default();
    for crash in (0..20).rev() {
        table.on_crash(NOW, crash, &[running(1)]);
        table.on_success(NOW, 1);
    }
    assert_eq!(
        table.verdict(NOW, 1),
        Verdict::Isolate {
            max_other_requests: 0
        }
    );
}

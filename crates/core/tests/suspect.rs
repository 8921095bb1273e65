//! Suspicion of requests that crash backend servers.

mod seeded;

use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use seeded::runner;
use tanagerford_core::suspect::{Running, SummaryEntry, SuspectLimits, SuspectTable, Verdict};

const NOW: Duration = Duration::from_secs(1000);
const LIFETIME: Duration = Duration::from_mins(10);
const LIMITS: SuspectLimits = SuspectLimits {
    entries: 16,
    workspace_entries: 6,
};

fn running(fingerprint: u64) -> Running {
    Running {
        fingerprint,
        workspace: fingerprint % 5,
    }
}

/// What happens at one process; a failed test prints it.
#[derive(Debug, Clone)]
enum Event {
    /// A report of crash `id`, which may reach the process a few seconds late.
    Crash {
        id: u64,
        late_ms: u64,
        fingerprints: BTreeSet<u64>,
    },
    Success(u64),
}

/// A table at [`NOW`]. Crashes have a time of their own, from 17 minutes before on, 40 s apart.
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
                    let batch: Vec<Running> = fingerprints.into_iter().map(running).collect();
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

/// What has an effect: the unexpired records, and the verdicts. Expired records may differ.
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

/// Guards against processes that disagree on a suspect for ever because summaries arrived in another order or twice,
/// with tables at their limits too.
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

/// Guards against a poison request that crashes a third server, and against innocent requests of its batches that are
/// refused or stay isolated.
#[test]
fn poison_crashes_two_servers_and_innocents_run() {
    let batches = prop::collection::vec(prop::collection::btree_set(1..60_u64, 0..20), 1..30);
    runner(256)
        .run(&batches, |batches| {
            const POISON: u64 = 0;
            let mut table = SuspectTable::default();
            let mut crashes = 0;
            for (number, others) in (0..).zip(batches) {
                // The server takes the poison request each time, and the others as far as the verdicts allow.
                let mut batch: Vec<u64> = Vec::new();
                let mut room = u32::MAX;
                for fingerprint in std::iter::once(POISON).chain(others) {
                    match table.verdict(NOW, fingerprint) {
                        Verdict::Normal if room > 0 => room -= 1,
                        Verdict::Isolate { max_company } if batch.is_empty() => room = max_company,
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
                    let batch: Vec<Running> = batch.iter().copied().map(running).collect();
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

/// Guards against company of a known suspect that is isolated as well, which would spread with each crash.
#[test]
fn a_known_suspect_explains_the_crash() {
    let mut table = SuspectTable::default();
    table.on_crash(NOW, 1, &[running(1)]);
    table.on_crash(NOW, 2, &[running(1), running(2), running(3)]);
    assert_eq!(table.verdict(NOW, 1), Verdict::Refuse);
    assert_eq!(table.verdict(NOW, 2), Verdict::Normal);
}

/// Guards against a workspace that floods the table so that others' suspects are forgotten, and against unbounded
/// memory.
#[test]
fn one_workspace_cannot_fill_the_table() {
    let mut table = SuspectTable::new(SuspectLimits {
        entries: 50,
        workspace_entries: 40,
    });
    let others: Vec<Running> = (0..20)
        .map(|fingerprint| Running {
            fingerprint,
            workspace: fingerprint,
        })
        .collect();
    table.on_crash(NOW, 1, &others);
    for crash in 2..500 {
        table.on_crash(
            NOW,
            crash,
            &[Running {
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

/// Guards against suspicion that never ends: by a lost success, by an old summary after the success, or by summaries
/// that renew each other, each record living on at the other process for the time its summary travels.
#[test]
fn suspicion_ends() {
    let mut left = SuspectTable::default();
    let mut right = SuspectTable::default();
    left.on_crash(NOW, 1, &[running(1), running(2)]);
    let old = left.summary(NOW, 10);
    right.merge(NOW, &old);
    right.on_success(NOW, 1);
    left.merge(NOW, &right.summary(NOW, 10));
    left.merge(NOW, &old);
    assert_eq!(left.verdict(NOW, 1), Verdict::Normal);
    assert_eq!(left.verdict(NOW, 2), Verdict::Isolate { max_company: 1 });

    let mut now = NOW;
    let mut live_until = now;
    while now < NOW + 2 * LIFETIME {
        // The summary travels for 100 ms each way.
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

/// Guards against a request that crashes now and then, is cleared each time, and finds no room for its next crash.
#[test]
fn many_cleared_crashes_keep_a_request_isolated() {
    let mut table = SuspectTable::default();
    for crash in (0..20).rev() {
        table.on_crash(NOW, crash, &[running(1)]);
        table.on_success(NOW, 1);
    }
    assert_eq!(table.verdict(NOW, 1), Verdict::Isolate { max_company: 0 });
}

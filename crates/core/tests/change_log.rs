//! Properties of the changes that readers hand on.

use bytes::Bytes;
use proptest::prelude::*;
use tanagerford_core::change_log::{Change, ChangeBatch, ChangeLog, ChangesSince, wire};
use tanagerford_core::store_position::StorePosition;

/// Event in the life of a log.
#[derive(Debug, Clone)]
enum Step {
    /// Changes follow the end of the log, each with a value of this size.
    Extend(Vec<usize>),
    /// The changes up to these many revisions later were not read.
    Skip(u64),
    /// Everything was read anew, these many revisions later.
    Restart(u64),
    /// Everything was read anew after a restoration of the service, these many revisions earlier.
    Restore(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => prop::collection::vec(0..600_000_usize, 0..4).prop_map(Step::Extend),
        1 => (1..5_u64).prop_map(Step::Skip),
        1 => (0..5_u64).prop_map(Step::Restart),
        1 => (0..9_u64).prop_map(Step::Restore),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// Guards against a follower that misses a change, gets one twice or gets one of another era: from any position the log
    /// returns all later changes, or says that it cannot.
    #[test]
    fn changes_are_complete_or_refused(steps in prop::collection::vec(step(), 1..20)) {
        let mut log = ChangeLog::default();
        let mut end = StorePosition::default();
        // Revisions of all changes of the current era that were made, whether or not the log has seen them.
        let mut made: Vec<u64> = Vec::new();
        for step in &steps {
            match step {
                Step::Extend(sizes) => {
                    let after = end;
                    let changes: Vec<_> = sizes.iter().map(|size| {
                        end.revision += 1;
                        made.push(end.revision);
                        Change { key: "k".to_owned(), value: Some(vec![0; *size].into()), revision: end.revision }
                    }).collect();
                    log.extend(after, end, changes);
                }
                Step::Skip(count) => {
                    made.extend(end.revision + 1..=end.revision + count);
                    end.revision += count;
                    log.extend(end, end, []);
                }
                Step::Restart(count) => {
                    made.extend(end.revision + 1..=end.revision + count);
                    end.revision += count;
                    log.restart(end);
                }
                Step::Restore(count) => {
                    end = StorePosition { era: end.era + 1, revision: end.revision.saturating_sub(*count) };
                    made.retain(|revision| *revision <= end.revision);
                    log.restart(end);
                }
            }
            for revision in 0..end.revision + 2 {
                let after = StorePosition { revision, ..end };
                let expected: Vec<u64> = made.iter().copied().filter(|made| *made > revision).collect();
                match log.since(after) {
                    ChangesSince::Batch(batch) => {
                        let got: Vec<u64> = batch.changes.iter().map(|change| change.revision).collect();
                        prop_assert_eq!(got, expected);
                        prop_assert_eq!(batch.as_of, end);
                        let sent = batch.clone().into_plain();
                        let received = wire::decode(&wire::encode(sent)).unwrap();
                        prop_assert_eq!(received.unpack(None), Ok(batch));
                    }
                    ChangesSince::UpToDate => prop_assert!(expected.is_empty()),
                    ChangesSince::Gap => prop_assert!(revision < end.revision),
                }
                if end.era > 0 {
                    let older = StorePosition { era: end.era - 1, revision };
                    prop_assert_eq!(log.since(older), ChangesSince::Gap);
                }
            }
        }
    }
}

/// Guards against small changes, or the value in force, that are left out with the large values that later ones replace.
#[test]
fn only_large_values_that_are_replaced_are_left_out() {
    let large = |byte: u8| Bytes::from(vec![byte; 2_000]);
    let change = |revision, key: &str, value: Option<Bytes>| Change {
        key: key.to_owned(),
        value,
        revision,
    };
    let changes = vec![
        change(1, "a", Some(large(1))),
        change(2, "b", Some("ready".into())),
        change(3, "a", Some(large(3))),
        change(4, "b", Some("leaving".into())),
        change(5, "b", None),
        change(6, "a", Some(large(6))),
        change(7, "c", Some(large(7))),
        change(8, "c", None),
    ];
    let as_of = StorePosition {
        era: 0,
        revision: 8,
    };
    let kept = |in_force: Option<&Bytes>| -> Vec<u64> {
        let changes = changes.clone();
        let mut batch = ChangeBatch { as_of, changes };
        batch.skip_replaced(in_force);
        batch.changes.iter().map(|change| change.revision).collect()
    };
    assert_eq!(kept(None), [2, 4, 5, 6, 8]);
    assert_eq!(kept(Some(&large(3))), [2, 3, 4, 5, 6, 8]);
}

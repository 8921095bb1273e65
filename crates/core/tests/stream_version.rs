//! Versions of streams after the loss of the entries that keep them.

use std::collections::BTreeSet;
use std::time::Duration;

use tanagerford_core::stream_version::{VersionTable, keepers, stream_key, version_id};

/// Guards against keepers that stop together with the entry that began a stream: with four in ten entries stopped at once, at
/// least half of the streams must be able to go on.
#[test]
fn most_versions_outlive_a_stop_of_many_entries() {
    for count in [12_u64, 94, 400] {
        let entries: BTreeSet<u64> = (1..=count).collect();
        let stopped = |entry: &u64| entry % 5 < 2;
        let streams: Vec<_> = (0..1_000)
            .map(|number| stream_key("harbour", &format!("id-{number}")))
            .collect();
        let is_known = |stream: &&u64| !keepers(**stream, &entries).iter().all(stopped);
        let known = streams.iter().filter(is_known).count();
        assert!(known > 500, "{known} of 1000 at {count} entries");
    }
}

/// Guards against a stream that changes its version because an attempt with the same id began another one.
#[test]
fn the_first_record_of_a_stream_holds_until_it_expires() {
    let (now, stream) = (Duration::from_secs(1), stream_key("harbour", "id-1"));
    let mut table = VersionTable::default();
    table.record(now, stream, version_id("engines", "v1"));
    table.record(now, stream, version_id("engines", "v2"));
    assert_eq!(table.version(stream), Some(version_id("engines", "v1")));
    assert_eq!(table.version(stream_key("quay", "id-1")), None);
    let later = now + Duration::from_mins(1);
    table.record(
        later,
        stream_key("harbour", "id-2"),
        version_id("engines", "v1"),
    );
    assert_eq!(table.version(stream), None);
}

//! Compares methods to detect a watch that no longer delivers events. It counts their calls to the key-value service in an
//! hour without configuration changes.
//!
//! Run with `cargo run --release --example watch_calls -p tanagerford-node`. `docs/configuration.md` quotes the output.

use std::time::Duration;

use tanagerford_kv::kv::{Kv, Revision, Transaction, Write};
use tanagerford_kv::memory::Memory;
use tanagerford_node::config_feed::store::{HEAD_KEY, PREFIX};

/// Number of watchers: three in each of eight availability zones.
const WATCHER_COUNT: usize = 24;

/// Time within which a failed watch has to be detected.
const DETECTION_INTERVAL: Duration = Duration::from_secs(5);

/// Number of detection intervals in an hour.
const INTERVAL_COUNT: usize = 720;

/// Timeout of a watch. It is zero, because the simulation does not wait for the end of the interval.
const WATCH_TIMEOUT: Duration = Duration::ZERO;

const CALL_TIMEOUT: Duration = Duration::from_secs(1);

fn main() {
    report("re-read the head after each idle interval", reread_head);
    report(
        "a marker of each watcher, all seen in one event list",
        marker_per_watcher,
    );
    report(
        "a marker of each watcher, each seen alone",
        marker_per_watcher_staggered,
    );
    report(
        "one marker of a lease holder for all watchers",
        shared_marker,
    );
}

fn report(method: &str, run_interval: impl Fn(&Memory)) {
    let memory = Memory::new();
    for _ in 0..INTERVAL_COUNT {
        run_interval(&memory);
    }
    let calls = memory.calls();
    let writes = calls.commit + calls.lease;
    let seconds = f64::from(u32::try_from(INTERVAL_COUNT).unwrap_or(u32::MAX))
        * DETECTION_INTERVAL.as_secs_f64();
    let per_second = |count: u64| f64::from(u32::try_from(count).unwrap_or(u32::MAX)) / seconds;
    println!(
        "{method}: {:.1} calls/s, of these {:.1} writes/s",
        per_second(calls.total()),
        per_second(writes)
    );
}

/// Each watch ends without an event after the interval, and its watcher re-reads the head.
fn reread_head(memory: &Memory) {
    for _ in 0..WATCHER_COUNT {
        let _ = memory.watch(PREFIX, memory.revision() + 1, WATCH_TIMEOUT);
        let _ = memory.get(HEAD_KEY, CALL_TIMEOUT);
    }
}

/// Each watcher writes its own marker and opens one watch, which returns the markers of all watchers in one response.
fn marker_per_watcher(memory: &Memory) {
    let from = memory.revision() + 1;
    for watcher in 0..WATCHER_COUNT {
        write_marker(memory, watcher);
    }
    watch_all(memory, from);
}

/// Like [`marker_per_watcher`], but the markers are written at different times, and each one ends all pending watches.
fn marker_per_watcher_staggered(memory: &Memory) {
    for watcher in 0..WATCHER_COUNT {
        let from = memory.revision() + 1;
        write_marker(memory, watcher);
        watch_all(memory, from);
    }
}

/// The lease holder renews its lease and writes the single marker, which each watch returns.
fn shared_marker(memory: &Memory) {
    let from = memory.revision() + 1;
    let _ = memory.renew_lease(1, CALL_TIMEOUT);
    write_marker(memory, 0);
    watch_all(memory, from);
}

fn watch_all(memory: &Memory, from: Revision) {
    for _ in 0..WATCHER_COUNT {
        let _ = memory.watch(PREFIX, from, WATCH_TIMEOUT);
    }
}

fn write_marker(memory: &Memory, watcher: usize) {
    let write = Write::Put {
        key: format!("{PREFIX}marker/{watcher}"),
        value: Vec::new(),
        lease: None,
    };
    let transaction = Transaction {
        compares: Vec::new(),
        writes: vec![write],
    };
    let _ = memory.commit(&transaction, CALL_TIMEOUT);
}

//! Compares methods to detect a dead watch by the calls that they make to the key-value service in an hour without
//! changes.
//!
//! Run with `cargo run --release --example watch_calls -p tanagerford-node`. `docs/configuration.md` quotes the output.

use std::time::Duration;

use tanagerford_kv::kv::{Kv, Revision, Transaction, Write};
use tanagerford_kv::memory::Memory;
use tanagerford_node::config_feed::store::{HEAD_KEY, PREFIX};

/// Three watchers in each of eight availability zones.
const WATCHERS: usize = 24;

/// Time within which a dead watch has to be detected.
const INTERVAL: Duration = Duration::from_secs(5);

/// Number of intervals in one hour.
const ROUNDS: usize = 720;

/// Timeout of a watch. It is zero, because the simulation does not wait for the end of an interval.
const WATCH_TIMEOUT: Duration = Duration::ZERO;

const CALL_TIMEOUT: Duration = Duration::from_secs(1);

fn main() {
    report("re-read the head after each idle interval", reread_head);
    report(
        "a marker of each watcher, all seen in one event list",
        own_markers,
    );
    report(
        "a marker of each watcher, each seen alone",
        own_markers_one_by_one,
    );
    report(
        "one marker of a lease holder for all watchers",
        shared_marker,
    );
}

fn report(method: &str, round: impl Fn(&Memory)) {
    let memory = Memory::new();
    for _ in 0..ROUNDS {
        round(&memory);
    }
    let calls = memory.calls();
    let writes = calls.commit + calls.lease;
    let seconds = f64::from(u32::try_from(ROUNDS).unwrap_or(u32::MAX)) * INTERVAL.as_secs_f64();
    let per_second = |count: u64| f64::from(u32::try_from(count).unwrap_or(u32::MAX)) / seconds;
    println!(
        "{method}: {:.1} calls/s, of these {:.1} writes/s",
        per_second(calls.total()),
        per_second(writes)
    );
}

/// Each watch ends without an event after the interval, and its watcher reads the head.
fn reread_head(memory: &Memory) {
    for _ in 0..WATCHERS {
        let _ = memory.watch(PREFIX, memory.revision() + 1, WATCH_TIMEOUT);
        let _ = memory.get(HEAD_KEY, CALL_TIMEOUT);
    }
}

/// Each watcher writes its marker and opens one watch, which returns all markers of the interval.
fn own_markers(memory: &Memory) {
    let from = memory.revision() + 1;
    for watcher in 0..WATCHERS {
        write_marker(memory, watcher);
    }
    watch_all(memory, from);
}

/// Like [`own_markers`], but each marker ends the watches that are pending when it is written.
fn own_markers_one_by_one(memory: &Memory) {
    for watcher in 0..WATCHERS {
        let from = memory.revision() + 1;
        write_marker(memory, watcher);
        watch_all(memory, from);
    }
}

/// The holder of a lease renews it and writes the marker, which each watch returns.
fn shared_marker(memory: &Memory) {
    let from = memory.revision() + 1;
    let _ = memory.renew_lease(1, CALL_TIMEOUT);
    write_marker(memory, 0);
    watch_all(memory, from);
}

fn watch_all(memory: &Memory, from: Revision) {
    for _ in 0..WATCHERS {
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

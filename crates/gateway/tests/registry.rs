//! Servers of the registry across outages and restorations of the store.

use std::time::{Duration, Instant};

use tanagerford_gateway::fleet::BackendServer;
use tanagerford_gateway::registry::{RegistryView, Reread};

const HEARTBEAT: Duration = Duration::from_millis(1_200);

fn server(id: &str, is_ready: bool) -> BackendServer {
    BackendServer {
        id: id.to_owned(),
        pool: "plain".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "zone-a".to_owned(),
        slots: 4,
        is_ready,
        born_unix_ms: Some(1_790_000_000_000),
    }
}

/// Returns the names of the servers that take calls.
fn ready(view: &RegistryView) -> Vec<String> {
    let ready = view.servers().filter(|server| server.is_ready);
    ready.map(|server| server.id).collect()
}

/// Guards against an entry that forgets its servers while the store is away, and against servers that it keeps for ever
/// although they did not come back.
#[test]
fn servers_that_lapse_during_an_outage_are_kept_until_they_had_time_to_return() {
    let mut view = RegistryView::new(HEARTBEAT);
    let now = Instant::now();
    let [one, two] = ["a", "b"].map(|id| server(id, true));
    view.replace(now, [one.clone(), two].into_iter(), Reread::Returned);
    view.replace(now, [one.clone()].into_iter(), Reread::Returned);
    let until = now + Duration::from_secs(2);
    assert_eq!(ready(&view), ["a", "b"]);
    assert!(!view.expire(now));
    assert_eq!(view.next_expiry(), Some(until));
    assert!(view.expire(until));
    assert_eq!(ready(&view), ["a"]);

    view.replace(now, [].into_iter(), Reread::Returned);
    view.set(now, one);
    assert!(!view.expire(until));
    assert_eq!(ready(&view), ["a"]);
    view.remove(now, "a");
    assert!(ready(&view).is_empty());
}

/// Guards against a server that lapsed while the store was away, lives, and is taken for one that left.
#[test]
fn a_server_that_lapsed_may_return() {
    let mut view = RegistryView::new(HEARTBEAT);
    let now = Instant::now();
    view.set(now, server("a", true));
    view.remove(now, "a");
    view.set(now, server("a", true));
    assert_eq!(ready(&view), ["a"]);
    view.remove(now, "a");
    view.replace(now, [server("a", true)].into_iter(), Reread::Returned);
    assert_eq!(ready(&view), ["a"]);
}

/// Guards against calls to a server that drains, because a late write or a backup says that it is ready. A new
/// incarnation under the same name is ready.
#[test]
fn a_draining_server_does_not_become_ready_again() {
    let mut view = RegistryView::new(HEARTBEAT);
    let now = Instant::now();
    view.set(now, server("a", true));
    view.set(now, server("a", false));
    view.set(now, server("a", true));
    assert!(ready(&view).is_empty());
    view.replace(now, [server("a", true)].into_iter(), Reread::Restored);
    assert!(ready(&view).is_empty());
    view.remove(now, "a");
    view.set(now, server("a", true));
    assert!(ready(&view).is_empty());
    let mut reborn = server("a", true);
    reborn.born_unix_ms = Some(1_790_000_099_000);
    view.set(now, reborn);
    assert_eq!(ready(&view), ["a"]);
}

/// Guards against calls to a server that left, whose entry is in the backup of a restored store until it lapses, and
/// against a living one that is left out for ever.
#[test]
fn an_entry_from_a_backup_waits_until_it_would_have_lapsed() {
    let mut view = RegistryView::new(HEARTBEAT);
    let now = Instant::now();
    for id in ["gone", "lapsed", "stays"] {
        view.set(now, server(id, true));
    }
    view.remove(now, "gone");
    view.remove(now, "lapsed");
    let backup = ["gone", "lapsed", "stays"].map(|id| server(id, true));
    view.replace(now, backup.into_iter(), Reread::Restored);
    assert_eq!(ready(&view), ["stays"]);
    let later = view.next_expiry().unwrap();
    assert!(later >= now + HEARTBEAT * 3);
    view.remove(now + HEARTBEAT * 3, "gone");
    assert!(view.expire(later));
    assert_eq!(ready(&view), ["lapsed", "stays"]);
}

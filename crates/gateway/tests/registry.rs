//! Tests of the view of the registry across outages and restorations of the store.

use std::time::{Duration, Instant};

use tanagerford_gateway::fleet::BackendServer;
use tanagerford_gateway::registry::{RegistryView, ReloadReason};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);

fn server(id: &str, is_ready: bool) -> BackendServer {
    BackendServer {
        id: id.to_owned(),
        pool: "plain".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "zone-a".to_owned(),
        slots: 4,
        is_ready,
        started_unix_ms: Some(1_790_000_000_000),
        version: "v1".to_owned(),
    }
}

/// Returns the names of the servers that accept new calls.
fn ready_ids(view: &RegistryView) -> Vec<String> {
    let ready = view.servers().filter(|server| server.is_ready);
    ready.map(|server| server.id).collect()
}

/// Guards against an entry that loses its servers in an outage of the store, because their registrations expire, and
/// against servers that are kept forever although they do not register again.
#[test]
fn servers_that_expire_during_an_outage_are_kept_for_a_grace_period() {
    let mut view = RegistryView::new(HEARTBEAT_INTERVAL);
    let now = Instant::now();
    let [one, two] = ["a", "b"].map(|id| server(id, true));
    view.replace(
        now,
        [one.clone(), two].into_iter(),
        ReloadReason::StoreReturned,
    );
    view.replace(now, [one.clone()].into_iter(), ReloadReason::StoreReturned);
    let until = now + Duration::from_secs(2);
    assert_eq!(ready_ids(&view), ["a", "b"]);
    assert!(!view.expire(now));
    assert_eq!(view.next_expiry(), Some(until));
    assert!(view.expire(until));
    assert_eq!(ready_ids(&view), ["a"]);

    view.replace(now, [].into_iter(), ReloadReason::StoreReturned);
    view.set(now, one);
    assert!(!view.expire(until));
    assert_eq!(ready_ids(&view), ["a"]);
    view.remove(now, "a");
    assert!(ready_ids(&view).is_empty());
}

/// Guards against a live server that is treated as departed after its registration expired in an outage of the store.
#[test]
fn a_server_whose_entry_expired_can_register_again() {
    let mut view = RegistryView::new(HEARTBEAT_INTERVAL);
    let now = Instant::now();
    view.set(now, server("a", true));
    view.remove(now, "a");
    view.set(now, server("a", true));
    assert_eq!(ready_ids(&view), ["a"]);
    view.remove(now, "a");
    view.replace(
        now,
        [server("a", true)].into_iter(),
        ReloadReason::StoreReturned,
    );
    assert_eq!(ready_ids(&view), ["a"]);
}

/// Guards against calls to a draining server after a late write or a restored backup sets it to ready. A new
/// incarnation with the same name is ready.
#[test]
fn a_draining_server_does_not_become_ready_again() {
    let mut view = RegistryView::new(HEARTBEAT_INTERVAL);
    let now = Instant::now();
    view.set(now, server("a", true));
    view.set(now, server("a", false));
    view.set(now, server("a", true));
    assert!(ready_ids(&view).is_empty());
    view.replace(
        now,
        [server("a", true)].into_iter(),
        ReloadReason::StoreRestored,
    );
    assert!(ready_ids(&view).is_empty());
    view.remove(now, "a");
    view.set(now, server("a", true));
    assert!(ready_ids(&view).is_empty());
    let mut restarted = server("a", true);
    restarted.started_unix_ms = Some(1_790_000_099_000);
    view.set(now, restarted);
    assert_eq!(ready_ids(&view), ["a"]);
}

/// Guards against calls to a departed server whose entry a restored backup contains until it expires, and against a
/// live server that is left out forever.
#[test]
fn the_entry_of_a_departed_server_in_a_backup_is_unconfirmed_until_it_would_have_expired() {
    let mut view = RegistryView::new(HEARTBEAT_INTERVAL);
    let now = Instant::now();
    for id in ["gone", "expired", "stays"] {
        view.set(now, server(id, true));
    }
    view.remove(now, "gone");
    view.remove(now, "expired");
    let backup = ["gone", "expired", "stays"].map(|id| server(id, true));
    view.replace(now, backup.into_iter(), ReloadReason::StoreRestored);
    assert_eq!(ready_ids(&view), ["stays"]);
    let later = view.next_expiry().unwrap();
    assert!(later >= now + HEARTBEAT_INTERVAL * 3);
    view.remove(now + HEARTBEAT_INTERVAL * 3, "gone");
    assert!(view.expire(later));
    assert_eq!(ready_ids(&view), ["expired", "stays"]);
}

//! Quarantine of requests that crash the backend servers that run them.
//!
//! When the connection of a call breaks, the entry checks whether the server still listens. If the server refuses
//! connections, it has crashed, and the calls that were in flight at it become suspects. After two crashes without a
//! success in between, a request is refused. Entries exchange their suspects with the load summaries, since callers may
//! retry at any entry.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tanagerford_core::ids::{Fingerprint, ServerId};
use tanagerford_core::suspect::{CrashId, RunningRequest, SuspectTable, Verdict, wire};
use tanagerford_sync::lock;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::call::Call;
use crate::fleet::BackendServer;

/// Delay between a broken connection and the check of its server. The other connections of a crashed server break
/// within this time, so that one check covers all its calls.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(30);
/// Timeout of the check. A server that does not respond at all may be partitioned, so it does not count as crashed.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum number of suspects in one summary.
const MAX_SUMMARY_SUSPECTS: usize = 16;

/// Requests that this entry or its peers suspect of crashing servers.
#[derive(Debug, Default)]
pub struct Quarantine {
    table: Mutex<SuspectTable>,
    /// Calls with a broken connection whose server is yet to be checked.
    unchecked_calls: Mutex<HashMap<ServerId, Vec<RunningRequest>>>,
}

/// Returns the identity of a request. It is derived from the workspace, the path and the body, so that all retries of
/// the request share it.
fn running_request(call: &Call) -> RunningRequest {
    let workspace = call
        .workspace
        .as_ref()
        .map_or("", |workspace| &workspace.name);
    let mut hash = Xxh3::new();
    hash.update(workspace.as_bytes());
    hash.update(call.target.path().as_bytes());
    hash.update(&call.body);
    RunningRequest {
        fingerprint: hash.digest(),
        workspace: xxh3_64(workspace.as_bytes()),
    }
}

/// Returns the identifier of a crash of this incarnation of the server, which is the same at every entry.
fn crash_id(server: &BackendServer) -> CrashId {
    let incarnation = server.started_unix_ms.unwrap_or(0);
    let mut hash = Xxh3::new();
    hash.update(server.id.as_bytes());
    hash.update(&incarnation.to_be_bytes());
    hash.digest()
}

impl Quarantine {
    /// Returns whether the call is quarantined.
    pub(crate) fn refuses(&self, now: Duration, call: &Call) -> bool {
        let table = lock(&self.table);
        !table.is_empty()
            && table.verdict(now, running_request(call).fingerprint) == Verdict::Refuse
    }

    /// Clears the suspicion of a call that succeeded.
    pub(crate) fn on_success(&self, now: Duration, call: &Call) {
        let mut table = lock(&self.table);
        if !table.is_empty() {
            table.on_success(now, running_request(call).fingerprint);
        }
    }

    /// Checks whether the server of a call with a broken connection has crashed. `now` returns the time of the fleet's
    /// clock.
    pub(crate) async fn on_connection_broken(
        self: Arc<Self>,
        call: Arc<Call>,
        server: Arc<BackendServer>,
        now: impl Fn() -> Duration,
    ) {
        let suspect = running_request(&call);
        lock(&self.unchecked_calls)
            .entry(server.id.clone())
            .or_default()
            .push(suspect);
        sleep(CRASH_CHECK_DELAY).await;
        let Some(suspects) = lock(&self.unchecked_calls).remove(&server.id) else {
            // The check for another call of this server included this call.
            return;
        };
        let connect = TcpStream::connect(server.address);
        let is_refused = timeout(CRASH_CHECK_TIMEOUT, connect)
            .await
            .is_ok_and(|connected| {
                connected.is_err_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused)
            });
        if !is_refused {
            return;
        }
        tracing::warn!(
            request = call.id,
            server = server.id,
            lost = suspects.len(),
            fingerprint = suspect.fingerprint,
            "server crashed; its lost calls are suspects"
        );
        lock(&self.table).on_crash(now(), crash_id(&server), &suspects);
    }

    /// Returns the encoded newest suspects for the other entries; empty when there are none.
    pub(crate) fn summary(&self, now: Duration) -> Vec<u8> {
        let table = lock(&self.table);
        if table.is_empty() {
            return Vec::new();
        }
        wire::encode(&table.summary(now, MAX_SUMMARY_SUSPECTS))
    }

    /// Merges the encoded suspects of another entry.
    pub(crate) fn merge(&self, now: Duration, summary: &[u8]) {
        if summary.is_empty() {
            return;
        }
        if let Some(entries) = wire::decode(summary) {
            lock(&self.table).merge(now, &entries);
        } else {
            tracing::debug!(
                bytes = summary.len(),
                "cannot decode the suspects of a peer"
            );
        }
    }

    /// Returns the fingerprints of requests whose verdict is not [`Verdict::Normal`], with their verdicts.
    #[must_use]
    pub fn verdicts(&self, now: Duration) -> Vec<(Fingerprint, Verdict)> {
        let table = lock(&self.table);
        let entries = table.summary(now, usize::MAX);
        let verdicts = entries
            .iter()
            .map(|entry| (entry.fingerprint, table.verdict(now, entry.fingerprint)));
        verdicts
            .filter(|(_, verdict)| *verdict != Verdict::Normal)
            .collect()
    }
}

//! Requests that crash the backend servers that run them.
//!
//! An entry that loses its connection to a server looks whether the server still listens. If it does not, the server
//! crashed, and the calls that were lost with it become suspects. After two crashes without a success in between, a
//! request is refused. Entries tell each other their suspects with their load, since callers repeat at any entry.

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

/// Time after a lost connection at which the server is tried; the other connections of a crashed server end meanwhile.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(30);
/// Longest time of that try. A server that does not answer at all may be cut off, so it does not count as crashed.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Suspects in one summary.
const MAX_TOLD: usize = 16;

/// Suspected requests of one entry.
#[derive(Debug, Default)]
pub struct Quarantine {
    table: Mutex<SuspectTable>,
    /// Calls whose connection was lost, until their server was tried.
    lost: Mutex<HashMap<ServerId, Vec<RunningRequest>>>,
}

/// Returns what stays the same when a caller repeats a request: workspace, path and body.
fn running(call: &Call) -> RunningRequest {
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

/// Returns the number of a server's crash, the same at every entry.
fn crash_id(server: &BackendServer) -> CrashId {
    let incarnation = server.born_unix_ms.unwrap_or(0);
    let mut hash = Xxh3::new();
    hash.update(server.id.as_bytes());
    hash.update(&incarnation.to_be_bytes());
    hash.digest()
}

impl Quarantine {
    /// Returns whether a call must not run.
    pub(crate) fn refuses(&self, now: Duration, call: &Call) -> bool {
        let table = lock(&self.table);
        !table.is_empty() && table.verdict(now, running(call).fingerprint) == Verdict::Refuse
    }

    /// Clears a call that ran to its end.
    pub(crate) fn on_success(&self, now: Duration, call: &Call) {
        let mut table = lock(&self.table);
        if !table.is_empty() {
            table.on_success(now, running(call).fingerprint);
        }
    }

    /// Finds out whether the server of a lost call has crashed; `now` tells the time of the beliefs.
    pub(crate) async fn on_lost(
        self: Arc<Self>,
        call: Arc<Call>,
        server: Arc<BackendServer>,
        now: impl Fn() -> Duration,
    ) {
        let suspect = running(&call);
        lock(&self.lost)
            .entry(server.id.clone())
            .or_default()
            .push(suspect);
        sleep(CRASH_CHECK_DELAY).await;
        let Some(lost) = lock(&self.lost).remove(&server.id) else {
            // Another lost call of the same server is already being looked into.
            return;
        };
        let connect = TcpStream::connect(server.address);
        let refused = timeout(CRASH_CHECK_TIMEOUT, connect)
            .await
            .is_ok_and(|tried| {
                tried.is_err_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused)
            });
        if !refused {
            return;
        }
        tracing::warn!(
            request = call.id,
            server = server.id,
            lost = lost.len(),
            fingerprint = suspect.fingerprint,
            "server crashed; its lost calls are suspects"
        );
        lock(&self.table).on_crash(now(), crash_id(&server), &lost);
    }

    /// Returns the newest suspects for the other entries; empty when there are none.
    pub(crate) fn summary(&self, now: Duration) -> Vec<u8> {
        let table = lock(&self.table);
        if table.is_empty() {
            return Vec::new();
        }
        wire::encode(&table.summary(now, MAX_TOLD))
    }

    /// Takes the suspects of another entry.
    pub(crate) fn merge(&self, now: Duration, summary: &[u8]) {
        if summary.is_empty() {
            return;
        }
        if let Some(entries) = wire::decode(summary) {
            lock(&self.table).merge(now, &entries);
        } else {
            tracing::debug!(bytes = summary.len(), "suspects of a peer cannot be read");
        }
    }

    /// Returns how the suspected requests may run.
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

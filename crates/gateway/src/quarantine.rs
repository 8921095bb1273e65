//! Quarantine of requests that crash the backend servers that run them.
//!
//! When the connection of a call breaks, the entry checks whether the server still listens. If the server refuses
//! connections, it has crashed, and the calls that were in flight at it become suspects. After two crashes without a
//! success in between, a request is refused. Requests that share a prompt part which crashes servers are refused for that
//! part (see [`tanagerford_core::suspect_parts`]). Entries exchange their suspects with the load summaries, since callers
//! may send such requests to any entry.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tanagerford_core::dispatch::PartId;
use tanagerford_core::ids::{Fingerprint, ServerId};
use tanagerford_core::suspect::{CrashId, RunningRequest, SuspectTable, Verdict, wire};
use tanagerford_core::suspect_parts::{QuarantineChange, SuspectParts};
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
    parts: Mutex<SuspectParts>,
    /// Calls with a broken connection whose server is yet to be checked.
    unchecked_calls: Mutex<HashMap<ServerId, Vec<LostCall>>>,
}

/// Call whose connection ended at its server.
#[derive(Debug)]
struct LostCall {
    request: RunningRequest,
    parts: Vec<PartId>,
    end: ConnectionEnd,
}

/// How the connection of a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionEnd {
    /// Before the answer was complete.
    Broken,
    /// With an answer that has neither a length nor chunks, so that it may be complete or not.
    Ambiguous,
}

/// State of a server after the connection of a call has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ServerCheck {
    Listening,
    Crashed,
    /// The server does not respond; it may be partitioned.
    Unknown,
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

/// Returns the prompt parts that other requests may share. The last part belongs to the request itself.
fn shared_parts(call: &Call) -> Vec<PartId> {
    let parts = call.demand.parts.split_last();
    let shared = parts.into_iter().flat_map(|(_, shared)| shared);
    shared.map(|part| part.id).collect()
}

/// Returns the name of a prompt part in logs and responses: its identifier in hexadecimal, as callers send it.
pub(crate) fn part_name(part: PartId) -> String {
    format!("{part:x}")
}

impl Quarantine {
    /// Returns the part for which the call is quarantined, if any.
    pub(crate) fn quarantined_part(&self, now: Duration, call: &Call) -> Option<PartId> {
        let parts = lock(&self.parts);
        if parts.is_empty() {
            return None;
        }
        parts.quarantined_part(now, &shared_parts(call))
    }

    /// Returns the quarantined prompt parts.
    #[must_use]
    pub fn quarantined_parts(&self, now: Duration) -> Vec<PartId> {
        lock(&self.parts).quarantined(now)
    }

    /// Returns whether the call is quarantined.
    pub(crate) fn refuses(&self, now: Duration, call: &Call) -> bool {
        let table = lock(&self.table);
        !table.is_empty()
            && table.verdict(now, running_request(call).fingerprint) == Verdict::Refuse
    }

    /// Returns whether a crash was recorded for the call or a part of its prompt that no answer has cleared.
    pub(crate) fn is_suspect(&self, now: Duration, call: &Call) -> bool {
        if self.is_empty() {
            return false;
        }
        let fingerprint = running_request(call).fingerprint;
        !lock(&self.table).live_crashes(now, fingerprint).is_empty()
            || lock(&self.parts).is_suspect(now, &shared_parts(call))
    }

    /// Clears the suspicion of a call that got its complete answer, and of the parts of its prompt.
    pub(crate) fn on_success(&self, now: Duration, call: &Call) {
        let has_suspects = !lock(&self.table).is_empty();
        if has_suspects {
            lock(&self.table).on_success(now, running_request(call).fingerprint);
        }
        let parts = shared_parts(call);
        if !parts.is_empty() {
            let changes = lock(&self.parts).on_complete_answer(now, &parts);
            log_part_changes(&changes);
        }
    }

    fn is_empty(&self) -> bool {
        lock(&self.table).is_empty() && lock(&self.parts).is_empty()
    }

    fn clear(&self, now: Duration, fingerprint: Fingerprint, parts: &[PartId]) {
        lock(&self.table).on_success(now, fingerprint);
        let changes = lock(&self.parts).on_complete_answer(now, parts);
        log_part_changes(&changes);
    }

    /// Checks whether the server has crashed after the connection of a call has ended. `now` returns the time of the fleet's
    /// clock.
    pub(crate) async fn on_connection_end(
        self: Arc<Self>,
        call: Arc<Call>,
        server: Arc<BackendServer>,
        end: ConnectionEnd,
        now: impl Fn() -> Duration,
    ) {
        let request = running_request(&call);
        let lost = LostCall {
            request,
            parts: shared_parts(&call),
            end,
        };
        lock(&self.unchecked_calls)
            .entry(server.id.clone())
            .or_default()
            .push(lost);
        sleep(CRASH_CHECK_DELAY).await;
        let Some(lost_calls) = lock(&self.unchecked_calls).remove(&server.id) else {
            // The check for another call of this server included this call.
            return;
        };
        match check_server(&server).await {
            ServerCheck::Crashed => {}
            ServerCheck::Listening => {
                let complete = lost_calls.iter();
                let complete = complete.filter(|lost| lost.end == ConnectionEnd::Ambiguous);
                for lost in complete {
                    self.clear(now(), lost.request.fingerprint, &lost.parts);
                }
                return;
            }
            ServerCheck::Unknown => return,
        }
        tracing::warn!(
            request = call.id,
            server = server.id,
            lost = lost_calls.len(),
            fingerprint = request.fingerprint,
            "server crashed; its lost calls are suspects"
        );
        let (now, crash_id) = (now(), crash_id(&server));
        let requests: Vec<_> = lost_calls.iter().map(|lost| lost.request).collect();
        lock(&self.table).on_crash(now, crash_id, &requests);
        let parts = lost_calls.into_iter().flat_map(|lost| lost.parts);
        let changes = lock(&self.parts).on_crash(now, crash_id, parts);
        log_part_changes(&changes);
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

    /// Returns the encoded suspect parts for the other entries; empty when there are none.
    pub(crate) fn part_summary(&self, now: Duration) -> Vec<u8> {
        let parts = lock(&self.parts);
        if parts.is_empty() {
            return Vec::new();
        }
        let summary = parts.summary(now);
        drop(parts);
        if summary.is_empty() {
            return Vec::new();
        }
        wire::encode(&summary)
    }

    /// Merges the encoded suspect parts of another entry.
    pub(crate) fn merge_parts(&self, now: Duration, summary: &[u8]) {
        if summary.is_empty() {
            return;
        }
        let Some(entries) = wire::decode(summary) else {
            tracing::debug!(
                bytes = summary.len(),
                "cannot decode the suspect parts of a peer"
            );
            return;
        };
        let changes = lock(&self.parts).merge(now, &entries);
        log_part_changes(&changes);
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

async fn check_server(server: &BackendServer) -> ServerCheck {
    let connect = TcpStream::connect(server.address);
    match timeout(CRASH_CHECK_TIMEOUT, connect).await {
        Ok(Ok(_)) => ServerCheck::Listening,
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            ServerCheck::Crashed
        }
        _ => ServerCheck::Unknown,
    }
}

/// Logs the changes of the quarantine of parts.
fn log_part_changes(changes: &[QuarantineChange]) {
    for change in changes {
        match change {
            QuarantineChange::Began(part) => tracing::warn!(
                part = part_name(*part),
                "prompt part is quarantined; servers crashed that answered requests with it"
            ),
            QuarantineChange::Ended(part) => tracing::info!(
                part = part_name(*part),
                "prompt part is no longer quarantined"
            ),
        }
    }
}

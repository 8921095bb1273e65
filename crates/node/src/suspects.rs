//! Table of the requests that are suspected of crashing backend servers, disseminated by the membership protocol.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use tanagerford_core::ids::{Fingerprint, Incarnation};
use tanagerford_core::membership::Item;
use tanagerford_core::suspect::{RunningRequest, SuspectTable, Verdict, WorkspaceHash, wire};
use tanagerford_gossip::Gossip;
use tanagerford_link::Identity;
use tanagerford_sync::lock;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of table entries per item. An entry with two crashes takes at most 60 bytes, and an item holds 512 bytes.
const ENTRIES_PER_ITEM: usize = 8;

/// Largest number of table entries that a process publishes, those with the most recent crashes.
const MAX_PUBLISHED_ENTRIES: usize = 64;

/// A [`SuspectTable`] that publishes its changes to the other processes.
#[derive(Debug)]
pub struct Suspects {
    table: Mutex<SuspectTable>,
    started_at: Instant,
    /// Seed of crash ids and item keys, different for each incarnation of each process.
    seed: u64,
    crash_count: AtomicU64,
    /// Version of the next item. It starts at 1 in each incarnation, because incarnations use different keys.
    next_version: AtomicU64,
    gossip: OnceLock<Arc<Gossip>>,
}

impl Suspects {
    #[must_use]
    pub fn new(identity: &Identity) -> Self {
        let incarnation: Incarnation = identity.incarnation;
        Self {
            table: Mutex::default(),
            started_at: Instant::now(),
            seed: xxh3_64_with_seed(identity.process_id.as_bytes(), incarnation),
            crash_count: AtomicU64::new(0),
            next_version: AtomicU64::new(1),
            gossip: OnceLock::new(),
        }
    }

    /// Publishes later changes through `gossip`. Only the first call has an effect.
    pub fn publish_to(&self, gossip: Arc<Gossip>) {
        let _ = self.gossip.set(gossip);
    }

    /// Returns whether and how a request may run.
    pub fn verdict(&self, fingerprint: Fingerprint) -> Verdict {
        lock(&self.table).verdict(self.now(), fingerprint)
    }

    /// Returns the number of other requests that may run at the server beside a request that has to be isolated; `None`
    /// for any other request.
    pub fn max_other_requests(&self, fingerprint: Fingerprint) -> Option<u32> {
        match self.verdict(fingerprint) {
            Verdict::Isolate { max_other_requests } => Some(max_other_requests),
            Verdict::Normal | Verdict::Refuse => None,
        }
    }

    /// Records that the backend server crashed while the requests `running` ran, and publishes the table.
    pub fn on_crash(&self, running: &[RunningRequest]) {
        let number = self.crash_count.fetch_add(1, Ordering::Relaxed);
        let crash_id = xxh3_64_with_seed(&number.to_be_bytes(), self.seed);
        lock(&self.table).on_crash(self.now(), crash_id, running);
        self.publish();
    }

    /// Clears the records of a request that ran to completion, and publishes the table if it was suspected.
    pub fn on_success(&self, fingerprint: Fingerprint) {
        let was_suspected = {
            let mut table = lock(&self.table);
            let was_suspected = table.verdict(self.now(), fingerprint) != Verdict::Normal;
            table.on_success(self.now(), fingerprint);
            was_suspected
        };
        if was_suspected {
            self.publish();
        }
    }

    /// Returns the encoded records of a request, to be sent with its attempts and answers; empty for a request that is
    /// not suspected. Gossip takes several rounds, during which a caller could repeat the request at another server.
    pub fn summary_of(&self, fingerprint: Fingerprint) -> Vec<u8> {
        if self.verdict(fingerprint) == Verdict::Normal {
            return Vec::new();
        }
        let mut summary = lock(&self.table).summary(self.now(), usize::MAX);
        summary.retain(|entry| entry.fingerprint == fingerprint);
        wire::encode(&summary)
    }

    /// Merges an item from another process. Items that do not contain a summary are ignored.
    pub fn on_item(&self, item: &Item) {
        self.merge(&item.value);
    }

    /// Merges a summary from another process. Bytes that cannot be decoded are ignored.
    pub fn merge(&self, summary: &[u8]) {
        if summary.is_empty() {
            return;
        }
        if let Some(entries) = wire::decode(summary) {
            lock(&self.table).merge(self.now(), &entries);
        }
    }

    /// Returns the number of fingerprints, including those whose records are cleared.
    pub fn len(&self) -> usize {
        lock(&self.table).len()
    }

    fn publish(&self) {
        let Some(gossip) = self.gossip.get() else {
            return;
        };
        let summary = lock(&self.table).summary(self.now(), MAX_PUBLISHED_ENTRIES);
        for (index, entries) in (0_u64..).zip(summary.chunks(ENTRIES_PER_ITEM)) {
            let item = Item {
                key: xxh3_64_with_seed(&index.to_be_bytes(), self.seed),
                version: self.next_version.fetch_add(1, Ordering::Relaxed),
                value: wire::encode(entries).into(),
            };
            if let Err(error) = gossip.publish(item) {
                tracing::warn!(?error, "cannot publish the suspect table");
            }
        }
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }
}

/// Returns the hash that identifies a workspace in the table.
#[must_use]
pub fn workspace_hash(workspace: &str) -> WorkspaceHash {
    xxh3_64_with_seed(workspace.as_bytes(), 0)
}

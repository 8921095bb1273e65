//! Suspicion table of a process and its spread through the membership protocol.

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

/// Fingerprints in one item. An entry with two crashes takes at most 60 bytes, and an item 512.
const ENTRIES_PER_ITEM: usize = 8;

/// Newest fingerprints that a process spreads.
const MAX_SPREAD: usize = 64;

/// Suspicion table of a process.
#[derive(Debug)]
pub struct Suspects {
    table: Mutex<SuspectTable>,
    started_at: Instant,
    /// Seed of crash numbers and of item keys, different for each incarnation of each process.
    seed: u64,
    crashes: AtomicU64,
    /// Version of the next items. Keys differ between incarnations, so it may begin anew.
    version: AtomicU64,
    gossip: OnceLock<Arc<Gossip>>,
}

impl Suspects {
    /// Creates an empty table of a process.
    #[must_use]
    pub fn new(identity: &Identity) -> Self {
        let incarnation: Incarnation = identity.incarnation;
        Self {
            table: Mutex::default(),
            started_at: Instant::now(),
            seed: xxh3_64_with_seed(identity.process_id.as_bytes(), incarnation),
            crashes: AtomicU64::new(0),
            version: AtomicU64::new(1),
            gossip: OnceLock::new(),
        }
    }

    /// Spreads later changes to all processes.
    pub fn publish_to(&self, gossip: Arc<Gossip>) {
        let _ = self.gossip.set(gossip);
    }

    /// Returns how a request may run.
    pub fn verdict(&self, fingerprint: Fingerprint) -> Verdict {
        lock(&self.table).verdict(self.now(), fingerprint)
    }

    /// Returns how many other requests may run beside a suspected one; `None` for a request that is not suspected.
    pub fn max_company(&self, fingerprint: Fingerprint) -> Option<u32> {
        match self.verdict(fingerprint) {
            Verdict::Isolate { max_other_requests } => Some(max_other_requests),
            Verdict::Normal | Verdict::Refuse => None,
        }
    }

    /// Records that the backend server crashed while `running` ran.
    pub fn on_crash(&self, running: &[RunningRequest]) {
        let number = self.crashes.fetch_add(1, Ordering::Relaxed);
        let crash_id = xxh3_64_with_seed(&number.to_be_bytes(), self.seed);
        lock(&self.table).on_crash(self.now(), crash_id, running);
        self.publish();
    }

    /// Clears a request that has run to its end.
    pub fn on_success(&self, fingerprint: Fingerprint) {
        let suspected = {
            let mut table = lock(&self.table);
            let suspected = table.verdict(self.now(), fingerprint) != Verdict::Normal;
            table.on_success(self.now(), fingerprint);
            suspected
        };
        if suspected {
            self.publish();
        }
    }

    /// Returns what is known about a request, to be sent with its attempts and answers; empty for a request that is not
    /// suspected. The spread by gossip takes some rounds, in which a caller could repeat its request elsewhere.
    pub fn summary_of(&self, fingerprint: Fingerprint) -> Vec<u8> {
        if self.verdict(fingerprint) == Verdict::Normal {
            return Vec::new();
        }
        let mut summary = lock(&self.table).summary(self.now(), usize::MAX);
        summary.retain(|entry| entry.fingerprint == fingerprint);
        wire::encode(&summary)
    }

    /// Takes an item from another process; items of other modules are ignored.
    pub fn on_item(&self, item: &Item) {
        self.merge(&item.value);
    }

    /// Takes what another process knows; anything else than an encoded summary is ignored.
    pub fn merge(&self, summary: &[u8]) {
        if summary.is_empty() {
            return;
        }
        if let Some(entries) = wire::decode(summary) {
            lock(&self.table).merge(self.now(), &entries);
        }
    }

    /// Returns the count of fingerprints.
    pub fn len(&self) -> usize {
        lock(&self.table).len()
    }

    /// Returns whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn publish(&self) {
        let Some(gossip) = self.gossip.get() else {
            return;
        };
        let summary = lock(&self.table).summary(self.now(), MAX_SPREAD);
        for (index, part) in (0_u64..).zip(summary.chunks(ENTRIES_PER_ITEM)) {
            let item = Item {
                key: xxh3_64_with_seed(&index.to_be_bytes(), self.seed),
                version: self.version.fetch_add(1, Ordering::Relaxed),
                value: wire::encode(part).into(),
            };
            if let Err(error) = gossip.publish(item) {
                tracing::warn!(?error, "cannot spread the suspicion table");
            }
        }
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }
}

/// Returns the hash that stands for a workspace in the table.
#[must_use]
pub fn workspace_hash(workspace: &str) -> WorkspaceHash {
    xxh3_64_with_seed(workspace.as_bytes(), 0)
}

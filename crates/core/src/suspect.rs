//! Suspicion table of request fingerprints that crash backend servers.
//!
//! A crash gives a record to each request that ran on the server, with its share of the suspicion: one divided by the
//! requests in question. A request with one record runs isolated: no other suspect runs on its server, and only so much
//! company as its share justifies. A request with two records is refused. When a suspect was among the requests of a
//! crash, it explains the crash, and the others get no record, so company is not quarantined. A success clears all
//! records of its fingerprint.
//!
//! The table is a join semilattice (Shapiro et al.: Conflict-free Replicated Data Types, 2011): records are united by
//! crash, the earliest expiry wins, and a cleared record stays cleared. Summaries therefore may
//! arrive in any order and repeatedly. What the limits remove is chosen by an order in which a record only rises when
//! summaries add to it, so removed entries do not come back either.

mod limits;
pub mod wire;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::Fingerprint;

/// Time after which a crash is forgotten. Callers that repeat a poison request do so within minutes.
const RECORD_LIFETIME: Duration = Duration::from_mins(10);
/// Time for which an expired record is kept. Other processes' records of the same crash expire later by the time that
/// summaries travelled; without the own one, their summaries would renew the suspicion again and again.
const EXPIRED_KEPT: Duration = Duration::from_mins(1);
/// Time for which an expired record is sent. It ends well before the record is removed, for the same reason.
const EXPIRED_SENT: Duration = Duration::from_secs(30);
/// Crashes of one fingerprint that are remembered, cleared ones included.
const MAX_RECORDS: usize = 8;
/// Records without a success in between after which a request is refused.
const REFUSE_AT: usize = 2;
/// A suspect may run with so much company that the expected loss is half a request, in thousandths.
const EXPECTED_LOSS_PERMILLE: u32 = 500;

/// Number of a crash, unique in the fleet: a hash of the server and the incarnation that ended, for example.
pub type CrashId = u64;

/// Hash of a workspace's name.
pub type WorkspaceHash = u64;

/// A request that ran on a server when it crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Running {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Workspace of the request.
    pub workspace: WorkspaceHash,
}

/// How a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Like any other request.
    Normal,
    /// On a server without another suspect. No request starts there before the suspect has ended, unless less than
    /// `max_company` others run.
    Isolate {
        /// Other requests that may run on the server; 0 means that the request runs alone.
        max_company: u32,
    },
    /// Not at all.
    Refuse,
}

/// Limits of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspectLimits {
    /// Largest count of fingerprints.
    pub entries: usize,
    /// Largest count of fingerprints of one workspace.
    pub workspace_entries: usize,
}

impl Default for SuspectLimits {
    /// 4,096 fingerprints take about 1 MB; 128 of a workspace are several large batches.
    fn default() -> Self {
        Self {
            entries: 4096,
            workspace_entries: 128,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Record {
    expires_at: Duration,
    share_permille: u16,
    is_cleared: bool,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Entry {
    workspace: WorkspaceHash,
    records: BTreeMap<CrashId, Record>,
}

/// One crash of a [`SummaryEntry`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SummaryRecord {
    /// Number of the crash.
    pub crash_id: CrashId,
    /// Time since the crash. An age needs no common clock.
    pub age: Duration,
    /// Share of the suspicion, in thousandths.
    pub share_permille: u16,
    /// Whether a success has cleared the record.
    pub is_cleared: bool,
}

/// One fingerprint of a summary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SummaryEntry {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Workspace of the request.
    pub workspace: WorkspaceHash,
    /// Its crashes.
    pub records: Vec<SummaryRecord>,
}

/// Table of fingerprints that were running when a backend server crashed.
///
/// ```
/// use std::time::Duration;
/// use tanagerford_core::suspect::{Running, SuspectTable, Verdict};
///
/// let now = Duration::ZERO;
/// let mut table = SuspectTable::default();
/// let batch = [1, 2, 3, 4].map(|fingerprint| Running { fingerprint, workspace: 9 });
/// table.on_crash(now, 100, &batch);
/// assert_eq!(table.verdict(now, 1), Verdict::Isolate { max_company: 2 });
///
/// // Request 1 runs isolated and succeeds; request 2 crashes the next server, too.
/// table.on_success(now, 1);
/// table.on_crash(now, 101, &batch[1..2]);
/// assert_eq!(table.verdict(now, 1), Verdict::Normal);
/// assert_eq!(table.verdict(now, 2), Verdict::Refuse);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SuspectTable {
    limits: SuspectLimits,
    entries: BTreeMap<Fingerprint, Entry>,
}

impl SuspectTable {
    /// Creates an empty table.
    ///
    /// ```
    /// use tanagerford_core::suspect::{SuspectLimits, SuspectTable};
    ///
    /// assert!(SuspectTable::new(SuspectLimits { entries: 64, workspace_entries: 8 }).is_empty());
    /// ```
    #[must_use]
    pub fn new(limits: SuspectLimits) -> Self {
        Self {
            limits,
            entries: BTreeMap::new(),
        }
    }

    /// Records that a server crashed while `running` ran there. The same crash may be reported repeatedly.
    /// See [`SuspectTable`] for an example.
    pub fn on_crash(&mut self, now: Duration, crash_id: CrashId, running: &[Running]) {
        let distinct: BTreeMap<Fingerprint, WorkspaceHash> = running
            .iter()
            .map(|running| (running.fingerprint, running.workspace))
            .collect();
        let prior = |fingerprint: &Fingerprint| self.earlier_crashes(now, *fingerprint, crash_id);
        let most = distinct.keys().map(prior).max().unwrap_or(0);
        let blamed: Vec<(Fingerprint, WorkspaceHash)> = distinct
            .into_iter()
            .filter(|(fingerprint, _)| prior(fingerprint) == most)
            .collect();
        let share_permille = u16::try_from(1000 / blamed.len().max(1))
            .unwrap_or(1000)
            .max(1);
        let record = Record {
            expires_at: now + RECORD_LIFETIME,
            share_permille,
            is_cleared: false,
        };
        for (fingerprint, workspace) in blamed {
            self.join(fingerprint, workspace, crash_id, record);
        }
        self.enforce_limits(now);
    }

    /// Clears a request that has run to its end. See [`SuspectTable`] for an example.
    pub fn on_success(&mut self, now: Duration, fingerprint: Fingerprint) {
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return;
        };
        let live = entry
            .records
            .values_mut()
            .filter(|record| record.expires_at > now);
        for record in live {
            record.is_cleared = true;
        }
    }

    /// Returns how a request may run. See [`SuspectTable`] for an example.
    #[must_use]
    pub fn verdict(&self, now: Duration, fingerprint: Fingerprint) -> Verdict {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return Verdict::Normal;
        };
        let live: Vec<&Record> = entry
            .records
            .values()
            .filter(|record| record.is_live(now))
            .collect();
        if live.len() >= REFUSE_AT {
            return Verdict::Refuse;
        }
        if let Some(record) = live.first() {
            let max_company = EXPECTED_LOSS_PERMILLE / u32::from(record.share_permille.max(1));
            return Verdict::Isolate { max_company };
        }
        let unexpired = entry
            .records
            .values()
            .filter(|record| record.expires_at > now);
        if unexpired.count() >= MAX_RECORDS {
            // Further crashes find no room, so the request stays isolated whatever its successes.
            return Verdict::Isolate { max_company: 0 };
        }
        Verdict::Normal
    }

    /// Returns the entries whose crashes are the newest, at most `limit`, for other processes.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::suspect::{Running, SuspectTable, Verdict};
    ///
    /// let now = Duration::ZERO;
    /// let mut sidecar = SuspectTable::default();
    /// sidecar.on_crash(now, 100, &[Running { fingerprint: 1, workspace: 9 }]);
    ///
    /// let mut entry = SuspectTable::default();
    /// let other_clock = Duration::from_secs(5000);
    /// entry.merge(other_clock, &sidecar.summary(now, 32));
    /// assert_eq!(entry.verdict(other_clock, 1), Verdict::Isolate { max_company: 0 });
    /// ```
    #[must_use]
    pub fn summary(&self, now: Duration, limit: usize) -> Vec<SummaryEntry> {
        let mut entries: Vec<SummaryEntry> = self
            .entries
            .iter()
            .map(|(&fingerprint, entry)| SummaryEntry {
                fingerprint,
                workspace: entry.workspace,
                records: entry.summary(now),
            })
            .filter(|entry| !entry.records.is_empty())
            .collect();
        entries.sort_by_key(|entry| entry.records.iter().map(|record| record.age).min());
        entries.truncate(limit);
        entries
    }

    /// Adds what another process knows. Merging is commutative and idempotent.
    /// See [`SuspectTable::summary`] for an example.
    pub fn merge(&mut self, now: Duration, summary: &[SummaryEntry]) {
        for entry in summary {
            let records = entry.records.iter();
            for record in records.filter(|record| record.age < RECORD_LIFETIME + EXPIRED_KEPT) {
                let joined = Record {
                    expires_at: (now + RECORD_LIFETIME).saturating_sub(record.age),
                    share_permille: record.share_permille.clamp(1, 1000),
                    is_cleared: record.is_cleared,
                };
                self.join(entry.fingerprint, entry.workspace, record.crash_id, joined);
            }
        }
        self.enforce_limits(now);
    }

    /// Returns the count of fingerprints, cleared ones included.
    ///
    /// ```
    /// use tanagerford_core::suspect::SuspectTable;
    ///
    /// assert_eq!(SuspectTable::default().len(), 0);
    /// ```
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table has no fingerprint. See [`SuspectTable::new`] for an example.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn earlier_crashes(&self, now: Duration, fingerprint: Fingerprint, crash_id: CrashId) -> usize {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return 0;
        };
        let earlier = entry.records.iter().filter(|(id, _)| **id != crash_id);
        earlier.filter(|(_, record)| record.is_live(now)).count()
    }

    fn join(
        &mut self,
        fingerprint: Fingerprint,
        workspace: WorkspaceHash,
        crash_id: CrashId,
        record: Record,
    ) {
        let entry = self.entries.entry(fingerprint).or_insert_with(|| Entry {
            workspace,
            records: BTreeMap::new(),
        });
        entry.workspace = entry.workspace.max(workspace);
        let known = entry.records.entry(crash_id).or_insert(record);
        known.expires_at = known.expires_at.min(record.expires_at);
        known.share_permille = known.share_permille.max(record.share_permille);
        known.is_cleared |= record.is_cleared;
    }
}

impl Record {
    fn is_expired(&self, now: Duration) -> bool {
        self.expires_at <= now
    }

    fn is_live(&self, now: Duration) -> bool {
        !self.is_cleared && !self.is_expired(now)
    }
}

impl Entry {
    fn unexpired(&self, now: Duration) -> impl Iterator<Item = &Record> {
        self.records
            .values()
            .filter(move |record| !record.is_expired(now))
    }

    fn summary(&self, now: Duration) -> Vec<SummaryRecord> {
        let sent = |record: &Record| now < record.expires_at + EXPIRED_SENT;
        let records = self.records.iter().filter(|(_, record)| sent(record));
        let records = records.map(|(&crash_id, record)| SummaryRecord {
            crash_id,
            age: (now + RECORD_LIFETIME).saturating_sub(record.expires_at),
            share_permille: record.share_permille,
            is_cleared: record.is_cleared,
        });
        records.collect()
    }
}

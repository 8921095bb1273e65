//! Quarantine of requests that crash backend servers, identified by their fingerprints.
//!
//! A crash adds a record to each request that was running on the server. Its share is one divided by the number of
//! requests that get a record. A request with one record runs isolated: no other suspect runs on its server, and the
//! number of other requests there is limited according to the share. A request with two records is refused. If requests
//! of a crash have records already, only those with the most records get another one: they most likely caused the
//! crash, and the other requests of the batch must not be quarantined. A success clears all records of its fingerprint.
//!
//! The table is a join semilattice (Shapiro et al.: Conflict-free Replicated Data Types, 2011): records are merged by
//! crash, the earliest expiry wins, and a cleared record stays cleared. Summaries can therefore arrive in any order and
//! repeatedly. The limits remove entries in the order of a priority that merging can only raise, so that removed
//! entries do not reappear.

mod limits;
pub mod wire;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::Fingerprint;

/// Time after which a record expires. Callers that retry a poison request do so within minutes.
const RECORD_LIFETIME: Duration = Duration::from_mins(10);
/// Time for which an expired record is retained. The records of the same crash in other processes expire later by the
/// propagation delay of the summaries. Without the local record, their summaries would renew the suspicion repeatedly.
const EXPIRED_RETENTION: Duration = Duration::from_mins(1);
/// Time for which summaries include an expired record. It ends well before the record is removed, for the same reason.
const EXPIRED_SHARING_PERIOD: Duration = Duration::from_secs(30);
/// Difference between the expiries of a record in two processes that is not worth a merge.
const EXPIRY_TOLERANCE: Duration = Duration::from_secs(1);
/// Default of the largest number of unexpired records of one fingerprint, including cleared ones.
const MAX_RECORDS: usize = 8;
/// Number of live records from which a request is refused.
const REFUSAL_RECORDS: usize = 2;
/// Largest expected loss of other requests when a suspect runs: half a request, in thousandths.
const EXPECTED_LOSS_PERMILLE: u32 = 500;

/// Fleet-wide unique identifier of a crash, such as a hash of the server and the incarnation that ended.
pub type CrashId = u64;

/// Hash of a workspace name.
pub type WorkspaceHash = u64;

/// A request that was running on a server when it crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunningRequest {
    /// Hash that identifies repetitions of the request.
    pub fingerprint: Fingerprint,
    /// Workspace that sent the request.
    pub workspace: WorkspaceHash,
}

/// Restriction on running a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request runs without restriction.
    Normal,
    /// The request runs on a server without another suspect. Until it ends, other requests start there only while fewer
    /// than `max_other_requests` of them run.
    Isolate {
        /// Number of other requests that may run on the server; 0 if the request must run alone.
        max_other_requests: u32,
    },
    /// The request must not run.
    Refuse,
}

/// Size limits of a [`SuspectTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspectLimits {
    /// Largest number of fingerprints.
    pub entries: usize,
    /// Largest number of fingerprints of one workspace.
    pub workspace_entries: usize,
}

impl Default for SuspectLimits {
    /// 4,096 fingerprints use about 1 MB; 128 per workspace hold several large batches.
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

/// One record of a [`SummaryEntry`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SummaryRecord {
    /// Identifier of the crash.
    pub crash_id: CrashId,
    /// Time since the crash, relative because processes do not share a clock.
    pub age: Duration,
    /// Probability, in thousandths, that the request caused the crash.
    pub share_permille: u16,
    /// Whether a success has cleared the record.
    pub is_cleared: bool,
}

/// One fingerprint of a summary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SummaryEntry {
    /// Hash that identifies repetitions of the request.
    pub fingerprint: Fingerprint,
    /// Workspace that sent the request.
    pub workspace: WorkspaceHash,
    /// Records of the request, ordered by crash identifier.
    pub records: Vec<SummaryRecord>,
}

/// Table of the requests that were running when a backend server crashed.
///
/// ```
/// use std::time::Duration;
/// use tanagerford_core::suspect::{RunningRequest, SuspectTable, Verdict};
///
/// let now = Duration::ZERO;
/// let mut table = SuspectTable::default();
/// let batch = [1, 2, 3, 4].map(|fingerprint| RunningRequest { fingerprint, workspace: 9 });
/// table.on_crash(now, 100, &batch);
/// assert_eq!(table.verdict(now, 1), Verdict::Isolate { max_other_requests: 2 });
///
/// // Request 1 runs isolated and succeeds; request 2 crashes the next server, too.
/// table.on_success(now, 1);
/// table.on_crash(now, 101, &batch[1..2]);
/// assert_eq!(table.verdict(now, 1), Verdict::Normal);
/// assert_eq!(table.verdict(now, 2), Verdict::Refuse);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectTable {
    limits: SuspectLimits,
    max_records: usize,
    entries: BTreeMap<Fingerprint, Entry>,
}

impl Default for SuspectTable {
    fn default() -> Self {
        Self::new(SuspectLimits::default())
    }
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
            max_records: MAX_RECORDS,
            entries: BTreeMap::new(),
        }
    }

    /// Changes the largest number of records of one fingerprint.
    #[must_use]
    pub(crate) fn with_max_records(self, max_records: usize) -> Self {
        Self {
            max_records,
            ..self
        }
    }

    /// Records that a server crashed while the requests `running` ran there. Repeated reports of a crash have no effect.
    /// See [`SuspectTable`] for an example.
    pub fn on_crash(&mut self, now: Duration, crash_id: CrashId, running: &[RunningRequest]) {
        let distinct: BTreeMap<Fingerprint, WorkspaceHash> = running
            .iter()
            .map(|running| (running.fingerprint, running.workspace))
            .collect();
        let prior_crashes =
            |fingerprint: &Fingerprint| self.earlier_crashes(now, *fingerprint, crash_id);
        let max_prior = distinct.keys().map(prior_crashes).max().unwrap_or(0);
        let suspects: Vec<RunningRequest> = distinct
            .into_iter()
            .filter(|(fingerprint, _)| prior_crashes(fingerprint) == max_prior)
            .map(|(fingerprint, workspace)| RunningRequest {
                fingerprint,
                workspace,
            })
            .collect();
        self.record_crash(now, crash_id, &suspects);
    }

    /// Adds a record of a crash to each of the distinct requests, whatever records they have.
    pub(crate) fn record_crash(
        &mut self,
        now: Duration,
        crash_id: CrashId,
        suspects: &[RunningRequest],
    ) {
        let share_permille = u16::try_from(1000 / suspects.len().max(1))
            .unwrap_or(1000)
            .max(1);
        let record = Record {
            expires_at: now + RECORD_LIFETIME,
            share_permille,
            is_cleared: false,
        };
        for suspect in suspects {
            self.merge_record(suspect.fingerprint, suspect.workspace, crash_id, record);
        }
        self.enforce_limits(now);
    }

    /// Clears the records of a request that ran to completion. See [`SuspectTable`] for an example.
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

    /// Returns whether and how a request may run. See [`SuspectTable`] for an example.
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
        if live.len() >= REFUSAL_RECORDS {
            return Verdict::Refuse;
        }
        if let Some(record) = live.first() {
            let max_other_requests =
                EXPECTED_LOSS_PERMILLE / u32::from(record.share_permille.max(1));
            return Verdict::Isolate { max_other_requests };
        }
        let unexpired = entry
            .records
            .values()
            .filter(|record| record.expires_at > now);
        if unexpired.count() >= self.max_records {
            // Further crashes cannot be recorded, so the request stays isolated in spite of its successes.
            return Verdict::Isolate {
                max_other_requests: 0,
            };
        }
        Verdict::Normal
    }

    /// Returns all fingerprints, including those whose records are cleared.
    pub fn fingerprints(&self) -> impl Iterator<Item = Fingerprint> {
        self.entries.keys().copied()
    }

    /// Returns the crashes whose records are neither cleared nor expired, each with the time at which it expires.
    #[must_use]
    pub fn live_crashes(
        &self,
        now: Duration,
        fingerprint: Fingerprint,
    ) -> Vec<(CrashId, Duration)> {
        let records = self.entries.get(&fingerprint).into_iter();
        let records = records.flat_map(|entry| &entry.records);
        let live = records.filter(|(_, record)| record.is_live(now));
        live.map(|(id, record)| (*id, record.expires_at)).collect()
    }

    /// Clears the record of one crash.
    pub(crate) fn clear_record(&mut self, fingerprint: Fingerprint, crash_id: CrashId) {
        let entry = self.entries.get_mut(&fingerprint);
        if let Some(record) = entry.and_then(|entry| entry.records.get_mut(&crash_id)) {
            record.is_cleared = true;
        }
    }

    /// Returns whether a success has cleared a record that has not expired.
    #[must_use]
    pub fn has_cleared_record(&self, now: Duration, fingerprint: Fingerprint) -> bool {
        let entry = self.entries.get(&fingerprint);
        entry.is_some_and(|entry| entry.unexpired(now).any(|record| record.is_cleared))
    }

    /// Returns up to `limit` fingerprints with the most recent crashes, to be sent to other processes.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::suspect::{RunningRequest, SuspectTable, Verdict};
    ///
    /// let now = Duration::ZERO;
    /// let mut sidecar = SuspectTable::default();
    /// sidecar.on_crash(now, 100, &[RunningRequest { fingerprint: 1, workspace: 9 }]);
    ///
    /// let mut entry = SuspectTable::default();
    /// let other_clock = Duration::from_secs(5000);
    /// entry.merge(other_clock, &sidecar.summary(now, 32));
    /// assert_eq!(entry.verdict(other_clock, 1), Verdict::Isolate { max_other_requests: 0 });
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

    /// Returns whether merging an entry of a summary would change nothing but the expiry of records, by little.
    #[must_use]
    pub fn knows(&self, now: Duration, summary: &SummaryEntry) -> bool {
        let known = self.entries.get(&summary.fingerprint);
        summary.records.iter().all(|record| {
            let known = known.and_then(|entry| entry.records.get(&record.crash_id));
            known.is_some_and(|known| {
                let expires_at = (now + RECORD_LIFETIME).saturating_sub(record.age);
                (known.is_cleared || !record.is_cleared)
                    && known.expires_at <= expires_at + EXPIRY_TOLERANCE
            })
        })
    }

    /// Merges a summary from another process. Merging is commutative and idempotent.
    /// See [`SuspectTable::summary`] for an example.
    pub fn merge(&mut self, now: Duration, summary: &[SummaryEntry]) {
        for entry in summary {
            let records = entry.records.iter();
            for record in records.filter(|record| record.age < RECORD_LIFETIME + EXPIRED_RETENTION)
            {
                let received = Record {
                    expires_at: (now + RECORD_LIFETIME).saturating_sub(record.age),
                    share_permille: record.share_permille.clamp(1, 1000),
                    is_cleared: record.is_cleared,
                };
                self.merge_record(
                    entry.fingerprint,
                    entry.workspace,
                    record.crash_id,
                    received,
                );
            }
        }
        self.enforce_limits(now);
    }

    /// Returns the number of fingerprints, including those whose records are cleared.
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

    /// Returns whether the table holds no fingerprints. See [`SuspectTable::new`] for an example.
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

    fn merge_record(
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
        let existing = entry.records.entry(crash_id).or_insert(record);
        existing.expires_at = existing.expires_at.min(record.expires_at);
        existing.share_permille = existing.share_permille.max(record.share_permille);
        existing.is_cleared |= record.is_cleared;
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
        let is_shared = |record: &Record| now < record.expires_at + EXPIRED_SHARING_PERIOD;
        let records = self.records.iter().filter(|(_, record)| is_shared(record));
        let records = records.map(|(&crash_id, record)| SummaryRecord {
            crash_id,
            age: (now + RECORD_LIFETIME).saturating_sub(record.expires_at),
            share_permille: record.share_permille,
            is_cleared: record.is_cleared,
        });
        records.collect()
    }
}

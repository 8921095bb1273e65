//! Quarantine of prompt parts that crash each backend server that begins to answer a request with them.
//!
//! A crash adds a record to the prompt parts of the requests that it interrupted, and a complete answer clears the records
//! of the parts of its request. A part is quarantined with three crashes, or with five if an answer has cleared it before.
//! Two rules keep sound parts out:
//!
//! - Crashes count separately only if they are a second apart. Several servers that fail at once therefore count as one, and
//!   a part that other requests share is cleared before the next crash counts.
//! - A crash that a quarantined part explains is no evidence against other parts. The part with the most unexplained
//!   crashes is quarantined first, so the companions of a deadly part stay out.
//!
//! Records are merged between entries like those of [`SuspectTable`], on which this table builds.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::dispatch::PartId;
use crate::suspect::{CrashId, RunningRequest, SummaryEntry, SuspectLimits, SuspectTable};

/// Number of unexplained crashes from which a part is quarantined.
const QUARANTINE_CRASHES: usize = 3;
/// The same for a part that complete answers have cleared before. It is probably sound, or has become deadly since.
const QUARANTINE_CRASHES_OF_CLEARED: usize = 5;
/// Time between two crashes that count separately. It is longer than the propagation of a record and of the complete answer
/// that clears it.
const CRASH_SPACING: Duration = Duration::from_secs(1);
/// Largest number of parts in the table. The parts with the fewest crashes are removed first.
const MAX_PARTS: usize = 512;
/// Largest number of parts in a summary.
const MAX_SUMMARY_PARTS: usize = 32;
/// Time after a change during which all summaries hold the parts.
const CHANGE_SHARING_TIME: Duration = Duration::from_secs(2);
/// Period after that in which the parts are sent for [`REPEAT_SHARING_TIME`], for entries that missed them or have just
/// started. Receiving them takes processor time.
const REPEAT_SHARING_PERIOD: Duration = Duration::from_secs(5);
const REPEAT_SHARING_TIME: Duration = Duration::from_secs(1);

/// Change of the quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineChange {
    /// The part is quarantined.
    Began(PartId),
    /// The part is no longer quarantined.
    Ended(PartId),
}

/// Table of the prompt parts of interrupted requests.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tanagerford_core::suspect_parts::SuspectParts;
///
/// let mut suspects = SuspectParts::default();
/// for crash in 1..=3 {
///     let now = Duration::from_secs(crash);
///     suspects.on_crash(now, crash, [10, 66]);
///     // A request with part 10 and without part 66 is answered completely.
///     suspects.on_complete_answer(now, &[10, 11]);
/// }
/// let now = Duration::from_secs(4);
/// assert_eq!(suspects.quarantined_part(now, &[10, 66]), Some(66));
/// assert_eq!(suspects.quarantined_part(now, &[10, 11]), None);
/// ```
#[derive(Debug)]
pub struct SuspectParts {
    table: SuspectTable,
    /// Quarantined parts with the time of the end.
    quarantined: BTreeMap<PartId, Duration>,
    changed_at: Duration,
}

impl Default for SuspectParts {
    fn default() -> Self {
        Self {
            table: SuspectTable::new(SuspectLimits {
                entries: MAX_PARTS,
                workspace_entries: MAX_PARTS,
            }),
            quarantined: BTreeMap::new(),
            changed_at: Duration::ZERO,
        }
    }
}

impl SuspectParts {
    /// Records that a server crashed and interrupted requests with these parts, which other requests may share.
    pub fn on_crash(
        &mut self,
        now: Duration,
        crash_id: CrashId,
        parts: impl IntoIterator<Item = PartId>,
    ) -> Vec<QuarantineChange> {
        let suspects: Vec<RunningRequest> = parts
            .into_iter()
            .map(|part| RunningRequest {
                fingerprint: part,
                // Workspaces share parts.
                workspace: 0,
            })
            .collect();
        if suspects.is_empty() {
            return Vec::new();
        }
        self.table.record_crash(now, crash_id, &suspects);
        self.update(now)
    }

    /// Clears the parts of a request that got its complete answer.
    pub fn on_complete_answer(&mut self, now: Duration, parts: &[PartId]) -> Vec<QuarantineChange> {
        if !self.is_suspect(now, parts) {
            return Vec::new();
        }
        for part in parts {
            self.table.on_success(now, *part);
        }
        self.update(now)
    }

    /// Returns whether no crash is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Returns the number of parts, including those whose records are cleared.
    #[must_use]
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns whether a crash was recorded for one of the parts that no complete answer has cleared.
    #[must_use]
    pub fn is_suspect(&self, now: Duration, parts: &[PartId]) -> bool {
        let mut parts = parts.iter();
        parts.any(|part| !self.table.live_crashes(now, *part).is_empty())
    }

    /// Returns the first of the parts that is quarantined.
    #[must_use]
    pub fn quarantined_part(&self, now: Duration, parts: &[PartId]) -> Option<PartId> {
        let is_quarantined = |part: &&PartId| {
            let until = self.quarantined.get(*part);
            until.is_some_and(|until| now < *until)
        };
        parts.iter().find(is_quarantined).copied()
    }

    /// Returns all quarantined parts.
    #[must_use]
    pub fn quarantined(&self, now: Duration) -> Vec<PartId> {
        let parts = self.quarantined.iter();
        parts
            .filter(|(_, until)| now < **until)
            .map(|(part, _)| *part)
            .collect()
    }

    /// Returns the parts to be sent to other entries: those with the most crashes, then those with the newest ones. Returns
    /// none most of the time while nothing changes.
    #[must_use]
    pub fn summary(&self, now: Duration) -> Vec<SummaryEntry> {
        let unchanged = now.saturating_sub(self.changed_at).as_millis();
        let in_period = unchanged % REPEAT_SHARING_PERIOD.as_millis();
        if unchanged >= CHANGE_SHARING_TIME.as_millis()
            && in_period >= REPEAT_SHARING_TIME.as_millis()
        {
            return Vec::new();
        }
        let mut entries = self.table.summary(now, usize::MAX);
        // The sort is stable and the table returns the newest crashes first.
        entries.sort_by_key(|entry| {
            let live = entry.records.iter().filter(|record| !record.is_cleared);
            Reverse(live.count())
        });
        entries.truncate(MAX_SUMMARY_PARTS);
        entries
    }

    /// Merges a summary of another entry. Merging is commutative and idempotent.
    pub fn merge(&mut self, now: Duration, summary: &[SummaryEntry]) -> Vec<QuarantineChange> {
        let news = summary.iter().filter(|entry| !self.table.knows(now, entry));
        let news: Vec<SummaryEntry> = news.cloned().collect();
        if news.is_empty() {
            return Vec::new();
        }
        self.table.merge(now, &news);
        self.update(now)
    }

    /// Determines the quarantined parts again and returns the changes.
    fn update(&mut self, now: Duration) -> Vec<QuarantineChange> {
        self.changed_at = now;
        let mut candidates: Vec<Candidate> = self
            .table
            .fingerprints()
            .map(|part| Candidate {
                part,
                crashes: self.table.live_crashes(now, part),
                required: if self.table.has_cleared_record(now, part) {
                    QUARANTINE_CRASHES_OF_CLEARED
                } else {
                    QUARANTINE_CRASHES
                },
            })
            .filter(|candidate| candidate.crashes.len() >= candidate.required)
            .collect();
        let mut explained: BTreeSet<CrashId> = BTreeSet::new();
        let mut quarantined = BTreeMap::new();
        loop {
            for candidate in &mut candidates {
                let crashes = &mut candidate.crashes;
                crashes.retain(|(crash, _)| !explained.contains(crash));
            }
            let guilty = candidates.iter().filter_map(|candidate| {
                let expiries = candidate.separate_expiries();
                // The quarantine ends when too few crashes are left.
                let end = expiries.len().checked_sub(candidate.required)?;
                Some((candidate, expiries.len(), expiries[end]))
            });
            // Among equals, the smallest identifier is first, so that all entries choose the same part.
            let first =
                guilty.max_by_key(|(candidate, crashes, _)| (*crashes, Reverse(candidate.part)));
            let Some((first, _, end)) = first else {
                break;
            };
            quarantined.insert(first.part, end);
            explained.extend(first.crashes.iter().map(|(crash, _)| *crash));
        }
        let before = std::mem::replace(&mut self.quarantined, quarantined);
        let began = self.quarantined.keys();
        let began = began.filter(|part| !before.contains_key(part));
        let ended = before.keys();
        let ended = ended.filter(|part| !self.quarantined.contains_key(part));
        began
            .map(|part| QuarantineChange::Began(*part))
            .chain(ended.map(|part| QuarantineChange::Ended(*part)))
            .collect()
    }
}

/// Part that may have to be quarantined.
struct Candidate {
    part: PartId,
    /// Crashes that no quarantined part explains, each with the time at which its record expires.
    crashes: Vec<(CrashId, Duration)>,
    /// Number of crashes from which the part is quarantined.
    required: usize,
}

impl Candidate {
    /// Returns the expiries of the crashes that count separately, in order.
    fn separate_expiries(&self) -> Vec<Duration> {
        let mut expiries: Vec<Duration> = self.crashes.iter().map(|(_, expiry)| *expiry).collect();
        expiries.sort_unstable();
        let mut separate: Vec<Duration> = Vec::new();
        for expiry in expiries {
            if separate
                .last()
                .is_none_or(|last| expiry >= *last + CRASH_SPACING)
            {
                separate.push(expiry);
            }
        }
        separate
    }
}

//! Quarantine of prompt parts that crash each backend server that begins to answer a request with them.
//!
//! A crash adds a record to the prompt parts of the requests that it interrupted, and a complete answer clears the records
//! of the parts of its request. A part is quarantined with three crashes. Three rules keep sound parts out:
//!
//! - A part of which an entry knows a complete answer is probably sound, or has become deadly since. Its first crash is
//!   cleared at once, and it takes four more to quarantine it. Otherwise a part that all requests share would meet each crash
//!   and be quarantined in place of the deadly one while no answer is complete any more.
//! - Crashes count separately only if they are half a second apart. Several servers that fail at once therefore count as one, and
//!   a part that other requests share is cleared before the next crash counts.
//! - A crash that a quarantined part explains is no evidence against other parts. The part with the most unexplained
//!   crashes beyond the required ones is quarantined first, so the companions of a deadly part stay out.
//!
//! Records are merged between entries like those of [`SuspectTable`], on which this table builds.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::dispatch::PartId;
use crate::suspect::{CrashId, RunningRequest, SummaryEntry, SuspectLimits, SuspectTable};

/// Number of unexplained crashes from which a part is quarantined.
const QUARANTINE_CRASHES: usize = 3;
/// The same for a part that a complete answer has cleared before.
const QUARANTINE_CRASHES_OF_CLEARED: usize = 4;
/// Time for which a complete answer to a request with a part is remembered.
const ANSWER_MEMORY: Duration = Duration::from_mins(10);
/// Largest number of parts whose complete answers are remembered.
const MAX_ANSWERED_PARTS: usize = 1024;
/// Time between two crashes that count separately. Servers that fail together, such as a rack, do so within this time.
const CRASH_SPACING: Duration = Duration::from_millis(500);
/// Largest number of parts in the table. The parts with the fewest crashes are removed first.
const MAX_PARTS: usize = 512;
/// Largest number of crashes of one part. With a few of them, those of a part that crashes several servers a second would
/// lie less than [`CRASH_SPACING`] apart.
const MAX_CRASHES: usize = 32;
/// Largest number of parts in a summary, and of the newest crashes of one part.
const MAX_SUMMARY_PARTS: usize = 32;
const MAX_SUMMARY_CRASHES: usize = 8;
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
    /// Parts of requests with a complete answer, each with the time of the last one.
    answered: BTreeMap<PartId, Duration>,
    changed_at: Duration,
}

impl Default for SuspectParts {
    fn default() -> Self {
        Self {
            table: SuspectTable::new(SuspectLimits {
                entries: MAX_PARTS,
                workspace_entries: MAX_PARTS,
            })
            .with_max_records(MAX_CRASHES),
            quarantined: BTreeMap::new(),
            answered: BTreeMap::new(),
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
        for part in parts {
            self.remember_answer(now, *part);
        }
        if !self.is_suspect(now, parts) {
            return Vec::new();
        }
        for part in parts {
            self.table.on_success(now, *part);
        }
        self.update(now)
    }

    fn remember_answer(&mut self, now: Duration, part: PartId) {
        self.answered.insert(part, now);
        if self.answered.len() > MAX_ANSWERED_PARTS {
            let oldest = self.answered.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(part, _)| *part) {
                self.answered.remove(&oldest);
            }
        }
    }

    /// Clears the first crash of each part of which a complete answer is known.
    fn clear_answered_parts(&mut self, now: Duration) {
        let is_recent = |at: &Duration| now.saturating_sub(*at) < ANSWER_MEMORY;
        let answered = self.table.fingerprints();
        let answered = answered.filter(|part| self.answered.get(part).is_some_and(is_recent));
        let first_crashes: Vec<(PartId, CrashId)> = answered
            .filter(|part| !self.table.has_cleared_record(now, *part))
            .filter_map(|part| {
                let crashes = self.table.live_crashes(now, part);
                let first = crashes.iter().min_by_key(|(_, expiry)| *expiry)?;
                Some((part, first.0))
            })
            .collect();
        for (part, crash) in first_crashes {
            self.table.clear_record(part, crash);
        }
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
        for entry in &mut entries {
            entry.records.sort_by_key(|record| record.age);
            entry.records.truncate(MAX_SUMMARY_CRASHES);
        }
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
        self.clear_answered_parts(now);
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
                Some((candidate, end, expiries[end]))
            });
            // Among equals, the smallest identifier is first, so that all entries choose the same part.
            let first =
                guilty.max_by_key(|(candidate, excess, _)| (*excess, Reverse(candidate.part)));
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

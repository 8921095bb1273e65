//! Enforcement of the size limits of the suspect table.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{CrashId, EXPIRED_RETENTION, Entry, SuspectTable, WorkspaceHash};
use crate::ids::Fingerprint;

/// Largest size of the table including expired entries, as a multiple of the entry limit.
const MAX_EXPIRED_FACTOR: usize = 2;

/// Priority with which the entries of a workspace are retained. Merging a summary never lowers a component.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RetentionPriority {
    records: usize,
    share_permille: u16,
    fingerprint: Fingerprint,
}

impl RetentionPriority {
    fn new(now: Duration, fingerprint: Fingerprint, entry: &Entry) -> Self {
        let shares = entry.unexpired(now).map(|record| record.share_permille);
        Self {
            records: entry.unexpired(now).count(),
            share_permille: shares.max().unwrap_or(0),
            fingerprint,
        }
    }
}

impl Entry {
    /// Removes records past their retention, and excess records by ascending crash identifier. Because the choice
    /// depends on the identifiers alone, a removed record does not reappear by a merge.
    fn trim(&mut self, now: Duration, max_records: usize) {
        self.records
            .retain(|_, record| now < record.expires_at + EXPIRED_RETENTION);
        let excess = self.unexpired(now).count().saturating_sub(max_records);
        let unexpired = self
            .records
            .iter()
            .filter(|(_, record)| !record.is_expired(now));
        let removed: Vec<CrashId> = unexpired.map(|(&id, _)| id).take(excess).collect();
        for id in removed {
            self.records.remove(&id);
        }
    }
}

impl SuspectTable {
    /// Removes records and entries that are past their retention or exceed the limits.
    ///
    /// While there are too many entries, the entry with the lowest priority in the largest workspace is removed, so
    /// that a workspace can only displace entries of workspaces that have at least as many.
    pub(super) fn enforce_limits(&mut self, now: Duration) {
        for entry in self.entries.values_mut() {
            entry.trim(now, self.max_records);
        }
        self.entries.retain(|_, entry| !entry.records.is_empty());

        let mut by_workspace = self.priorities(now);
        for priorities in by_workspace.values_mut() {
            while priorities.len() > self.limits.workspace_entries {
                self.remove_lowest(priorities);
            }
        }
        let mut count: usize = by_workspace.values().map(BTreeSet::len).sum();
        let sizes = by_workspace
            .iter()
            .map(|(&workspace, priorities)| (priorities.len(), workspace));
        let mut by_size: BTreeSet<(usize, WorkspaceHash)> = sizes.collect();
        while count > self.limits.entries {
            let Some((_, workspace)) = by_size.pop_last() else {
                break;
            };
            let priorities = by_workspace.entry(workspace).or_default();
            self.remove_lowest(priorities);
            by_size.insert((priorities.len(), workspace));
            count -= 1;
        }
        if self.entries.len() > self.limits.entries * MAX_EXPIRED_FACTOR {
            self.entries
                .retain(|_, entry| entry.unexpired(now).next().is_some());
        }
    }

    fn priorities(&self, now: Duration) -> BTreeMap<WorkspaceHash, BTreeSet<RetentionPriority>> {
        let mut priorities: BTreeMap<WorkspaceHash, BTreeSet<RetentionPriority>> = BTreeMap::new();
        let unexpired = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.unexpired(now).next().is_some());
        for (&fingerprint, entry) in unexpired {
            let priorities = priorities.entry(entry.workspace).or_default();
            priorities.insert(RetentionPriority::new(now, fingerprint, entry));
        }
        priorities
    }

    fn remove_lowest(&mut self, priorities: &mut BTreeSet<RetentionPriority>) {
        if let Some(priority) = priorities.pop_first() {
            self.entries.remove(&priority.fingerprint);
        }
    }
}

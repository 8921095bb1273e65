//! Counts of calls that servers began.

use std::collections::{BTreeMap, HashMap};

use xxhash_rust::xxh3::xxh3_64;

use super::{BootId, WindowId};
use crate::exchange::EntryNumber;
use crate::ids::WorkspaceId;

/// Hash of a workspace's name, the same at every entry.
pub type WorkspaceHash = u64;
/// Calls by workspace.
pub type Counts = BTreeMap<WorkspaceId, u64>;

/// Windows for which counts are kept, including the open one.
const KEPT_WINDOWS: u64 = 6;
/// Windows ahead of the own one for which counts are accepted, since the entries' estimates of true time differ a little.
const MAX_AHEAD: u64 = 1;
/// Most processes whose counts are kept for one window.
const MAX_SOURCES: usize = 2_048;
/// Most workspaces that are kept for one process and window.
const MAX_WORKSPACES: usize = 8_192;
/// Largest encoded size of an item: the hash and a count.
const ITEM_BYTES: usize = 11;

/// Returns the hash of a workspace's name.
#[must_use]
pub fn workspace_hash(name: &str) -> WorkspaceHash {
    xxh3_64(name.as_bytes())
}

/// Calls that servers began for one workspace in one window, as counted by one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct UsageItem {
    /// Window in which the calls began.
    pub window: WindowId,
    /// Workspace that owns the calls.
    pub workspace: WorkspaceHash,
    /// Number of calls so far; it only grows.
    pub count: u64,
}

/// Process that counts.
type Source = (EntryNumber, BootId);

/// Counts of all processes that one entry knows.
#[derive(Debug, Default)]
pub struct UsageBook {
    windows: BTreeMap<WindowId, HashMap<Source, HashMap<WorkspaceHash, u64>>>,
}

impl UsageBook {
    /// Takes over counts of a process. Counts of windows that are too old or too far ahead are ignored, as are counts below
    /// known ones. Returns the number of ignored items.
    pub fn merge(
        &mut self,
        current: WindowId,
        source: (EntryNumber, BootId),
        items: impl IntoIterator<Item = UsageItem>,
    ) -> usize {
        self.windows.retain(|window, _| is_kept(current, *window));
        let mut ignored = 0;
        for item in items {
            if !is_kept(current, item.window) {
                ignored += 1;
                continue;
            }
            let sources = self.windows.entry(item.window).or_default();
            if sources.len() >= MAX_SOURCES && !sources.contains_key(&source) {
                ignored += 1;
                continue;
            }
            let counts = sources.entry(source).or_default();
            if counts.len() >= MAX_WORKSPACES && !counts.contains_key(&item.workspace) {
                ignored += 1;
                continue;
            }
            let count = counts.entry(item.workspace).or_default();
            *count = item.count.max(*count);
        }
        ignored
    }

    /// Returns whether a window is too far ahead of the own one to take over its counts.
    #[must_use]
    pub fn is_ahead(current: WindowId, window: WindowId) -> bool {
        window > current.saturating_add(MAX_AHEAD)
    }

    /// Returns the sums of a window by workspace.
    #[must_use]
    pub fn sums(&self, window: WindowId) -> HashMap<WorkspaceHash, u64> {
        let mut sums = HashMap::new();
        let sources = self
            .windows
            .get(&window)
            .into_iter()
            .flat_map(HashMap::values);
        for (workspace, count) in sources.flatten() {
            let sum: &mut u64 = sums.entry(*workspace).or_default();
            *sum = sum.saturating_add(*count);
        }
        sums
    }
}

fn is_kept(current: WindowId, window: WindowId) -> bool {
    !UsageBook::is_ahead(current, window) && window.saturating_add(KEPT_WINDOWS) > current
}

/// Counts of this process, and which of them other entries know.
///
/// Each change has a sequence number. A receiver acknowledges the number up to which it has all changes, so that lost
/// messages are repeated and unchanged counts are not sent.
///
/// # Examples
///
/// ```
/// use tanagerford_core::duty::UsageSender;
///
/// let mut sender = UsageSender::default();
/// sender.on_begun(7, 77);
/// sender.on_begun(7, 77);
/// let (base, sequence, items) = sender.pending(5, 1_000).unwrap();
/// assert_eq!((base, items.len(), items[0].count), (0, 1, 2));
/// sender.on_acknowledged(5, 900, sequence);
/// assert!(sender.pending(5, 1_000).is_none());
/// ```
#[derive(Debug, Default)]
pub struct UsageSender {
    sequence: u64,
    counts: HashMap<(WindowId, WorkspaceHash), (u64, u64)>,
    changes: BTreeMap<u64, (WindowId, WorkspaceHash)>,
    receivers: HashMap<EntryNumber, Acknowledged>,
}

#[derive(Debug, Clone, Copy)]
struct Acknowledged {
    boot: BootId,
    sequence: u64,
}

impl UsageSender {
    /// Counts a call that a server began.
    pub fn on_begun(&mut self, window: WindowId, workspace: WorkspaceHash) {
        let key = (window, workspace);
        let is_known = self.counts.contains_key(&key);
        if !is_known && self.counts.len() >= MAX_WORKSPACES * 4 {
            return;
        }
        self.sequence += 1;
        let (count, changed) = self.counts.entry(key).or_default();
        self.changes.remove(changed);
        *count += 1;
        *changed = self.sequence;
        self.changes.insert(self.sequence, key);
    }

    /// Forgets windows that are no longer reported.
    pub fn forget_before(&mut self, current: WindowId) {
        let is_kept = |window: WindowId| window + KEPT_WINDOWS > current;
        self.changes.retain(|_, (window, _)| is_kept(*window));
        self.counts.retain(|(window, _), _| is_kept(*window));
    }

    /// Returns all counts of this process.
    pub fn items(&self) -> impl Iterator<Item = UsageItem> {
        let counts = self.counts.iter();
        counts.map(|((window, workspace), (count, _))| UsageItem {
            window: *window,
            workspace: *workspace,
            count: *count,
        })
    }

    /// Returns the changes that `receiver` has not acknowledged, oldest first and at most about `max_bytes` of them: the
    /// sequence number that precedes them, that of the last one, and the counts.
    #[must_use]
    pub fn pending(
        &self,
        receiver: EntryNumber,
        max_bytes: usize,
    ) -> Option<(u64, u64, Vec<UsageItem>)> {
        let base = self
            .receivers
            .get(&receiver)
            .map_or(0, |known| known.sequence);
        let changed = self.changes.range(base + 1..).take(max_bytes / ITEM_BYTES);
        let mut last = base;
        let items: Vec<_> = changed
            .map(|(sequence, key)| {
                last = *sequence;
                let (window, workspace) = *key;
                let count = self.counts.get(key).map_or(0, |(count, _)| *count);
                UsageItem {
                    window,
                    workspace,
                    count,
                }
            })
            .collect();
        (!items.is_empty()).then_some((base, last, items))
    }

    /// Records that a process of `receiver` has all changes up to `sequence`. A new process of it has none.
    pub fn on_acknowledged(&mut self, receiver: EntryNumber, boot: BootId, sequence: u64) {
        let sequence = sequence.min(self.sequence);
        let known = self
            .receivers
            .entry(receiver)
            .or_insert(Acknowledged { boot, sequence: 0 });
        if known.boot == boot {
            // A lower number than before shows that the receiver has lost its state; repeated counts are harmless.
            known.sequence = sequence;
        } else {
            *known = Acknowledged { boot, sequence };
        }
    }

    /// Forgets receivers to which nothing is sent any more. They get all kept windows if they become receivers again.
    pub fn retain_receivers(&mut self, receivers: &[EntryNumber]) {
        self.receivers
            .retain(|receiver, _| receivers.contains(receiver));
    }
}

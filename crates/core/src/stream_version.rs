//! Software versions at which streams began.
//!
//! A stream may go on only at a server of the version that began it. The entry that forwards the first event of a stream
//! sends its version to a few keepers, which follow from the stream's key and the registered entries. An entry at which a
//! caller takes up the stream asks the keepers. Without a record the stream does not go on: that a version is unknown is no
//! permission to assume one.
//!
//! Keepers are lost when all entries are killed at once. While servers of several versions run, each entry therefore also
//! writes the streams that it began to the key-value service, where entries that start read them.

pub mod wire;

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use crate::exchange::EntryNumber;

/// Number of entries that keep the version of a stream, beside the one that began it. With four in ten entries stopped at
/// once, all keepers of one stream in sixteen are among them.
const KEEPERS: usize = 3;
/// Time for which a version is kept. It exceeds the longest time for which a caller tries.
const RECORD_TTL: Duration = Duration::from_mins(1);
/// Largest number of records, against callers that begin streams without end.
const MAX_RECORDS: usize = 65_536;

/// Largest number of streams that one entry writes to the key-value service, 64 KB.
const MAX_BEGUN_STREAMS: usize = 8_192;

/// Hash of a workspace and of the attempt that brought the first event of a stream.
pub type StreamKey = u64;

/// Hash of a pool and a software version of its servers, the same at every entry. Pools of a split route may have versions of
/// the same name.
pub type VersionId = u64;

/// Returns the key of a stream. Only callers of the same workspace find it.
#[must_use]
pub fn stream_key(workspace: &str, first_attempt: &str) -> StreamKey {
    let seed = xxhash_rust::xxh3::xxh3_64(workspace.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(first_attempt.as_bytes(), seed)
}

/// Returns the identifier of a version of a pool.
#[must_use]
pub fn version_id(pool: &str, version: &str) -> VersionId {
    let seed = xxhash_rust::xxh3::xxh3_64(pool.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(version.as_bytes(), seed)
}

/// Message between two entries about the version of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionMessage {
    /// Entry that sends the message.
    pub sender: EntryNumber,
    /// Stream that it is about.
    pub stream: StreamKey,
    /// Version at which the stream began; `None` asks for it.
    pub version: Option<VersionId>,
}

/// Returns the entries that keep the version of a stream (rendezvous hashing).
///
/// # Examples
///
/// ```
/// use std::collections::BTreeSet;
/// use tanagerford_core::stream_version::keepers;
///
/// let entries: BTreeSet<u64> = (1..=12).collect();
/// let chosen = keepers(77, &entries);
/// assert_eq!(chosen.len(), 3);
/// // Another entry that leaves does not change them.
/// let fewer = entries.iter().copied().filter(|entry| chosen.contains(entry)).collect();
/// assert_eq!(keepers(77, &fewer), chosen);
/// ```
#[must_use]
pub fn keepers(stream: StreamKey, entries: &BTreeSet<EntryNumber>) -> Vec<EntryNumber> {
    let weight =
        |entry: &EntryNumber| xxhash_rust::xxh3::xxh3_64_with_seed(&entry.to_be_bytes(), stream);
    let mut chosen: Vec<_> = entries.iter().copied().collect();
    let last = KEEPERS.min(chosen.len());
    if last < chosen.len() {
        chosen.select_nth_unstable_by_key(last, |entry| std::cmp::Reverse(weight(entry)));
    }
    chosen.truncate(last);
    chosen.sort_unstable();
    chosen
}

/// Streams that one entry began a short time ago, for the key-value service.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tanagerford_core::stream_version::BegunStreams;
///
/// let mut begun = BegunStreams::default();
/// begun.begin(Duration::from_secs(1), 77, 5);
/// assert_eq!(begun.take_changed(Duration::from_secs(2)), Some(vec![(77, 5)]));
/// assert_eq!(begun.take_changed(Duration::from_secs(3)), None);
/// ```
#[derive(Debug, Default)]
pub struct BegunStreams {
    /// Streams with the time at which they began, oldest first.
    streams: VecDeque<(Duration, StreamKey, VersionId)>,
    is_changed: bool,
}

impl BegunStreams {
    /// Adds a stream that began.
    pub fn begin(&mut self, now: Duration, stream: StreamKey, version: VersionId) {
        while let Some((at, ..)) = self.streams.front() {
            let is_old = now.saturating_sub(*at) >= RECORD_TTL;
            if !is_old && self.streams.len() < MAX_BEGUN_STREAMS {
                break;
            }
            self.streams.pop_front();
        }
        self.streams.push_back((now, stream, version));
        self.is_changed = true;
    }

    /// Returns the streams of the last minute if others began since the last call.
    pub fn take_changed(&mut self, now: Duration) -> Option<Vec<(StreamKey, VersionId)>> {
        if !std::mem::take(&mut self.is_changed) {
            return None;
        }
        let recent = self.streams.iter();
        let recent = recent.filter(|(at, ..)| now.saturating_sub(*at) < RECORD_TTL);
        Some(
            recent
                .map(|(_, stream, version)| (*stream, *version))
                .collect(),
        )
    }

    /// Has the streams returned again, since they were not stored.
    pub fn set_changed(&mut self) {
        self.is_changed = true;
    }
}

/// Versions of streams that one entry keeps.
#[derive(Debug, Default)]
pub struct VersionTable {
    versions: HashMap<StreamKey, VersionId>,
    /// Times at which records were made, oldest first.
    recorded: VecDeque<(Duration, StreamKey)>,
}

impl VersionTable {
    /// Keeps the version of a stream. The first record of a stream holds.
    pub fn record(&mut self, now: Duration, stream: StreamKey, version: VersionId) {
        self.expire(now);
        if let std::collections::hash_map::Entry::Vacant(entry) = self.versions.entry(stream) {
            entry.insert(version);
            self.recorded.push_back((now, stream));
        }
    }

    /// Returns the version at which a stream began, if it is known.
    #[must_use]
    pub fn version(&self, stream: StreamKey) -> Option<VersionId> {
        self.versions.get(&stream).copied()
    }

    fn expire(&mut self, now: Duration) {
        while let Some((at, stream)) = self.recorded.front().copied() {
            let is_old = now.saturating_sub(at) >= RECORD_TTL;
            if !is_old && self.recorded.len() < MAX_RECORDS {
                return;
            }
            self.recorded.pop_front();
            self.versions.remove(&stream);
        }
    }
}

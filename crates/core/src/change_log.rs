//! Recent changes of the key-value service, which some entries read there and hand on to the others of their zone.
//!
//! With one watch for each entry, every change costs the service as many calls as there are entries. Instead the
//! [readers](crate::exchange::StoreRole) of each availability zone watch it, and the others ask a reader for the changes
//! after their own position. The log is contiguous: a reader that does not know all changes after a position says so.

pub mod wire;

use std::collections::{BTreeMap, VecDeque};
use std::convert::Infallible;

use bytes::Bytes;

use crate::document::{PackedDocument, UnpackError};
use crate::store_position::StorePosition;

/// Largest number of changes that are kept.
const MAX_CHANGES: usize = 4_096;
/// Largest size of the changes that are kept, in bytes. A configuration has up to a megabyte.
const MAX_BYTES: usize = 4 * 1024 * 1024;
/// Size from which a value is sent as a packed document, in bytes.
const MIN_PACKED_BYTES: usize = 1_024;

/// Change of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change<V = Bytes> {
    /// Key that was written or removed.
    pub key: String,
    /// New value; `None` if the key was removed.
    pub value: Option<V>,
    /// Revision of the change.
    pub revision: u64,
}

/// Changes after a position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeBatch<V = Bytes> {
    /// Position up to which the changes are complete.
    pub as_of: StorePosition,
    /// Changes in the order of their revisions.
    pub changes: Vec<Change<V>>,
}

/// New value of a key as it is sent to another entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SentValue {
    /// The value itself.
    Plain(Bytes),
    /// Large value, as what changed or compressed.
    Packed(PackedDocument),
}

/// Changes as they are sent to another entry.
pub type SentBatch = ChangeBatch<SentValue>;

impl<V> ChangeBatch<V> {
    /// Converts the values.
    fn try_map<W, E>(self, convert: impl Fn(V) -> Result<W, E>) -> Result<ChangeBatch<W>, E> {
        let changes = self.changes.into_iter().map(|change| {
            Ok(Change {
                key: change.key,
                value: change.value.map(&convert).transpose()?,
                revision: change.revision,
            })
        });
        Ok(ChangeBatch {
            as_of: self.as_of,
            changes: changes.collect::<Result<_, _>>()?,
        })
    }

    fn map<W>(self, convert: impl Fn(V) -> W) -> ChangeBatch<W> {
        let converted = self.try_map(|value| Ok::<_, Infallible>(convert(value)));
        converted.unwrap_or_else(|never| match never {})
    }
}

impl ChangeBatch {
    /// Leaves out large values that a later change of the batch replaces, except for `in_force`: a later value can be invalid.
    pub fn skip_replaced(&mut self, in_force: Option<&Bytes>) {
        let last: BTreeMap<_, _> = self
            .changes
            .iter()
            .map(|change| (change.key.clone(), change.revision))
            .collect();
        self.changes.retain(|change| {
            let is_last = last[&change.key] == change.revision;
            let is_in_force = change.value.is_some() && change.value.as_ref() == in_force;
            is_last || is_in_force || !change.value.as_ref().is_some_and(is_large)
        });
    }

    /// Returns the changes as they are sent; `pack` packs a large value.
    #[must_use]
    pub fn pack(self, pack: impl Fn(Bytes) -> PackedDocument) -> SentBatch {
        self.map(|value| {
            if is_large(&value) {
                SentValue::Packed(pack(value))
            } else {
                SentValue::Plain(value)
            }
        })
    }

    /// Returns the changes as they are sent to an entry that does not know packed values.
    #[must_use]
    pub fn into_plain(self) -> SentBatch {
        self.map(SentValue::Plain)
    }

    /// Returns whether a change has a value that is sent packed.
    #[must_use]
    pub fn has_large(&self) -> bool {
        let mut values = self
            .changes
            .iter()
            .filter_map(|change| change.value.as_ref());
        values.any(is_large)
    }
}

impl SentBatch {
    /// Returns the packed values.
    pub fn packed(&self) -> impl Iterator<Item = &PackedDocument> {
        let values = self
            .changes
            .iter()
            .filter_map(|change| change.value.as_ref());
        values.filter_map(|value| match value {
            SentValue::Packed(packed) => Some(packed),
            SentValue::Plain(_) => None,
        })
    }

    /// Returns the changes with the values that were sent. `base` is the document that the receiver has.
    ///
    /// # Errors
    ///
    /// Fails if a packed value cannot be unpacked.
    pub fn unpack(self, base: Option<&[u8]>) -> Result<ChangeBatch, UnpackError> {
        self.try_map(|value| match value {
            SentValue::Plain(value) => Ok(value),
            SentValue::Packed(packed) => packed.unpack(base).map(Bytes::from),
        })
    }
}

fn is_large(value: &Bytes) -> bool {
    value.len() >= MIN_PACKED_BYTES
}

/// Answer of a log about the changes after a position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangesSince {
    /// All changes after the position.
    Batch(ChangeBatch),
    /// No later change is known.
    UpToDate,
    /// The log begins later, or knows another era of the service.
    Gap,
}

/// Contiguous changes up to the position that this entry knows.
///
/// # Examples
///
/// ```
/// use tanagerford_core::change_log::{Change, ChangeLog, ChangesSince};
/// use tanagerford_core::store_position::StorePosition;
///
/// let at = |revision| StorePosition { era: 1, revision };
/// let mut log = ChangeLog::default();
/// log.restart(at(40));
/// let change = Change { key: "servers/s-1".into(), value: None, revision: 41 };
/// log.extend(at(40), at(42), [change]);
/// let ChangesSince::Batch(batch) = log.since(at(40)) else { panic!() };
/// assert_eq!((batch.as_of, batch.changes.len()), (at(42), 1));
/// assert_eq!(log.since(at(42)), ChangesSince::UpToDate);
/// assert_eq!(log.since(at(39)), ChangesSince::Gap);
/// ```
#[derive(Debug, Default)]
pub struct ChangeLog {
    /// Revision after which all changes up to `end` are in the log.
    start_revision: u64,
    end: StorePosition,
    changes: VecDeque<Change>,
    bytes: usize,
}

impl ChangeLog {
    /// Empties the log: everything was read as of `position`, without the changes that led there.
    pub fn restart(&mut self, position: StorePosition) {
        *self = Self {
            start_revision: position.revision,
            end: position,
            ..Self::default()
        };
    }

    /// Appends the changes between two positions of the same era. The log restarts if it does not end at `after`.
    pub fn extend(
        &mut self,
        after: StorePosition,
        as_of: StorePosition,
        changes: impl IntoIterator<Item = Change>,
    ) {
        if after != self.end || as_of.era != after.era {
            return self.restart(as_of);
        }
        for change in changes {
            self.bytes += change.size();
            self.changes.push_back(change);
        }
        self.end = as_of.max(self.end);
        while self.changes.len() > MAX_CHANGES || self.bytes > MAX_BYTES {
            let Some(oldest) = self.changes.pop_front() else {
                break;
            };
            self.bytes -= oldest.size();
            self.start_revision = oldest.revision;
        }
    }

    /// Returns the changes after a position.
    #[must_use]
    pub fn since(&self, after: StorePosition) -> ChangesSince {
        if after.era != self.end.era || after.revision < self.start_revision {
            return ChangesSince::Gap;
        }
        if after >= self.end {
            return ChangesSince::UpToDate;
        }
        let first = self
            .changes
            .partition_point(|change| change.revision <= after.revision);
        ChangesSince::Batch(ChangeBatch {
            as_of: self.end,
            changes: self.changes.range(first..).cloned().collect(),
        })
    }
}

impl Change {
    fn size(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, Bytes::len)
    }
}

//! Wire format of the changes that readers hand on.

use bytes::Bytes;
use prost::Message;

use super::{Change, SentBatch, SentValue};
use crate::document::wire::WirePacked;
use crate::store_position::StorePosition;

#[derive(Clone, PartialEq, Message)]
struct WireBatch {
    #[prost(uint64, tag = "1")]
    era: u64,
    #[prost(uint64, tag = "2")]
    revision: u64,
    #[prost(message, repeated, tag = "3")]
    changes: Vec<WireChange>,
}

#[derive(Clone, PartialEq, Eq, Message)]
struct WireChange {
    #[prost(string, tag = "1")]
    key: String,
    #[prost(bytes = "bytes", optional, tag = "2")]
    value: Option<Bytes>,
    #[prost(uint64, tag = "3")]
    revision: u64,
    /// Large value; excludes `value`.
    #[prost(message, optional, tag = "4")]
    packed: Option<WirePacked>,
}

/// Encodes changes.
///
/// # Examples
///
/// ```
/// use tanagerford_core::change_log::{SentBatch, wire};
/// use tanagerford_core::store_position::StorePosition;
///
/// let batch = SentBatch { as_of: StorePosition { era: 0, revision: 7 }, changes: Vec::new() };
/// assert_eq!(wire::decode(&wire::encode(batch.clone())), Some(batch));
/// assert_eq!(wire::decode(b"\xff"), None);
/// ```
#[must_use]
pub fn encode(batch: SentBatch) -> Vec<u8> {
    let changes = batch.changes.into_iter().map(|change| {
        let (value, packed) = match change.value {
            None => (None, None),
            Some(SentValue::Plain(value)) => (Some(value), None),
            Some(SentValue::Packed(packed)) => (None, Some(packed.into())),
        };
        WireChange {
            key: change.key,
            value,
            revision: change.revision,
            packed,
        }
    });
    WireBatch {
        era: batch.as_of.era,
        revision: batch.as_of.revision,
        changes: changes.collect(),
    }
    .encode_to_vec()
}

/// Decodes changes; `None` if the message is malformed.
#[must_use]
pub fn decode(message: &[u8]) -> Option<SentBatch> {
    let batch = WireBatch::decode(message).ok()?;
    let changes = batch.changes.into_iter().map(|change| {
        let value = match change.packed {
            Some(packed) => Some(SentValue::Packed(packed.into_packed()?)),
            None => change.value.map(SentValue::Plain),
        };
        Some(Change {
            key: change.key,
            value,
            revision: change.revision,
        })
    });
    Some(SentBatch {
        as_of: StorePosition {
            era: batch.era,
            revision: batch.revision,
        },
        changes: changes.collect::<Option<_>>()?,
    })
}

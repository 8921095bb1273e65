//! Wire format of the changes that readers hand on.

use prost::Message;

use super::{Change, ChangeBatch};
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
    #[prost(bytes = "vec", optional, tag = "2")]
    value: Option<Vec<u8>>,
    #[prost(uint64, tag = "3")]
    revision: u64,
}

/// Encodes changes.
///
/// # Examples
///
/// ```
/// use tanagerford_core::change_log::{ChangeBatch, wire};
/// use tanagerford_core::store_position::StorePosition;
///
/// let batch = ChangeBatch { as_of: StorePosition { era: 0, revision: 7 }, changes: Vec::new() };
/// assert_eq!(wire::decode(&wire::encode(batch.clone())), Some(batch));
/// assert_eq!(wire::decode(b"\xff"), None);
/// ```
#[must_use]
pub fn encode(batch: ChangeBatch) -> Vec<u8> {
    let changes = batch.changes.into_iter().map(|change| WireChange {
        key: change.key,
        value: change.value,
        revision: change.revision,
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
pub fn decode(message: &[u8]) -> Option<ChangeBatch> {
    let batch = WireBatch::decode(message).ok()?;
    let changes = batch.changes.into_iter().map(|change| Change {
        key: change.key,
        value: change.value,
        revision: change.revision,
    });
    Some(ChangeBatch {
        as_of: StorePosition {
            era: batch.era,
            revision: batch.revision,
        },
        changes: changes.collect(),
    })
}

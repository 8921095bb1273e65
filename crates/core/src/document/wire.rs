//! Wire format of documents that entries hand on.

use bytes::Bytes;
use prost::Message;

use super::delta::{Delta, Edit};
use super::{PackedDocument, Packing, Step};

/// Message of a packed document; part of other messages as well.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct WirePacked {
    #[prost(bytes = "vec", tag = "1")]
    hash: Vec<u8>,
    /// Compressed document; absent if there are steps.
    #[prost(bytes = "bytes", optional, tag = "2")]
    whole: Option<Bytes>,
    #[prost(message, repeated, tag = "3")]
    steps: Vec<WireStep>,
}

#[derive(Clone, PartialEq, Eq, Message)]
struct WireStep {
    #[prost(bytes = "vec", tag = "1")]
    base: Vec<u8>,
    #[prost(bytes = "bytes", tag = "2")]
    delta: Bytes,
}

#[derive(Clone, PartialEq, Eq, Message)]
struct WireDelta {
    #[prost(message, repeated, tag = "1")]
    edits: Vec<WireEdit>,
}

/// Bytes that are copied from the base if there are none to insert.
#[derive(Clone, PartialEq, Eq, Message)]
struct WireEdit {
    #[prost(uint64, tag = "1")]
    start: u64,
    #[prost(uint64, tag = "2")]
    length: u64,
    #[prost(bytes = "vec", optional, tag = "3")]
    insert: Option<Vec<u8>>,
}

/// Encodes a packed document.
#[must_use]
pub fn encode(document: PackedDocument) -> Vec<u8> {
    WirePacked::from(document).encode_to_vec()
}

/// Decodes a packed document; `None` if the message is malformed.
///
/// # Examples
///
/// ```
/// use tanagerford_core::document::{StoredDocument, wire};
///
/// let packed = StoredDocument::new("document").whole();
/// assert_eq!(wire::decode(&wire::encode(packed.clone())), Some(packed));
/// assert_eq!(wire::decode(b"\xff"), None);
/// ```
#[must_use]
pub fn decode(message: &[u8]) -> Option<PackedDocument> {
    WirePacked::decode(message).ok()?.into_packed()
}

impl From<PackedDocument> for WirePacked {
    fn from(document: PackedDocument) -> Self {
        let (whole, steps) = match document.packing {
            Packing::Whole(compressed) => (Some(compressed), Vec::new()),
            Packing::Steps(steps) => (None, steps),
        };
        let steps = steps.into_iter().map(|step| WireStep {
            base: step.base.to_be_bytes().to_vec(),
            delta: step.delta,
        });
        Self {
            hash: document.hash.to_be_bytes().to_vec(),
            whole,
            steps: steps.collect(),
        }
    }
}

impl WirePacked {
    /// Returns the packed document; `None` if a hash has the wrong length.
    pub(crate) fn into_packed(self) -> Option<PackedDocument> {
        let hash = |bytes: Vec<u8>| Some(u128::from_be_bytes(bytes.try_into().ok()?));
        let steps = self.steps.into_iter().map(|step| {
            Some(Step {
                base: hash(step.base)?,
                delta: step.delta,
            })
        });
        let packing = match self.whole {
            Some(compressed) => Packing::Whole(compressed),
            None => Packing::Steps(steps.collect::<Option<_>>()?),
        };
        Some(PackedDocument {
            hash: hash(self.hash)?,
            packing,
        })
    }
}

pub(super) fn encode_delta(delta: &Delta) -> Vec<u8> {
    let edits = delta.0.iter().map(|edit| match edit {
        Edit::Copy(range) => WireEdit {
            start: range.start as u64,
            length: range.len() as u64,
            insert: None,
        },
        Edit::Insert(bytes) => WireEdit {
            insert: Some(bytes.clone()),
            ..WireEdit::default()
        },
    });
    WireDelta {
        edits: edits.collect(),
    }
    .encode_to_vec()
}

pub(super) fn decode_delta(message: &[u8]) -> Option<Delta> {
    let delta = WireDelta::decode(message).ok()?;
    let edits = delta.edits.into_iter().map(|edit| {
        if let Some(bytes) = edit.insert {
            return Some(Edit::Insert(bytes));
        }
        let start = usize::try_from(edit.start).ok()?;
        let end = start.checked_add(usize::try_from(edit.length).ok()?)?;
        Some(Edit::Copy(start..end))
    });
    Some(Delta(edits.collect::<Option<_>>()?))
}

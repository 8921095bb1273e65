//! Large documents that entries hand on to each other: what changed since a version that the receiver has, or the whole document
//! compressed.
//!
//! Every entry holds the same document, and most changes concern a small part of it. An entry that hands on a document keeps the
//! differences between its recent versions, which are small, and no old versions. A receiver names its own version by its
//! hash; the hash of the result shows that the differences were applied to the right one.

mod delta;
pub mod wire;

use std::collections::VecDeque;
use std::io::{Read, Write};
use std::sync::OnceLock;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use xxhash_rust::xxh3::xxh3_128;

pub use delta::Delta;

/// Hash that identifies a version of a document.
pub type DocumentHash = u128;

/// Largest document that is taken from another entry, in bytes. The key-value service holds documents of up to a megabyte.
pub const MAX_DOCUMENT_BYTES: usize = 16 * 1024 * 1024;
/// Largest number of earlier versions from which the differences are kept.
const MAX_STEPS: usize = 16;
/// Largest size of the compressed differences that are kept, in bytes.
const MAX_STEP_BYTES: usize = 512 * 1024;

/// Returns the hash of a document.
#[must_use]
pub fn hash(document: &[u8]) -> DocumentHash {
    xxh3_128(document)
}

/// Reason why a packed document cannot be unpacked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnpackError {
    /// It consists of changes to a document that the receiver does not have.
    UnknownBase,
    /// It is not in the format of packed documents.
    Malformed,
    /// It is longer than [`MAX_DOCUMENT_BYTES`].
    TooLong,
    /// The result is not the document that was packed.
    WrongHash,
}

/// Changes that lead from one version of a document to the next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// Hash of the version to which the changes apply.
    pub base: DocumentHash,
    /// Compressed [`Delta`].
    pub delta: Bytes,
}

/// Content of a packed document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Packing {
    /// The whole document, compressed.
    Whole(Bytes),
    /// Changes to a version that the receiver has, one after the other.
    Steps(Vec<Step>),
}

/// Document as it is sent to another entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PackedDocument {
    /// Hash of the document.
    pub hash: DocumentHash,
    /// Content.
    pub packing: Packing,
}

impl PackedDocument {
    /// Returns the document. `base` is the version that the receiver has.
    ///
    /// # Errors
    ///
    /// Fails if the content does not lead to the document that was packed; the receiver then needs the whole document.
    pub fn unpack(&self, base: Option<&[u8]>) -> Result<Vec<u8>, UnpackError> {
        let document = match &self.packing {
            Packing::Whole(compressed) => decompress(compressed)?,
            Packing::Steps(steps) => apply_steps(steps, base.ok_or(UnpackError::UnknownBase)?)?,
        };
        if hash(&document) == self.hash {
            Ok(document)
        } else {
            Err(UnpackError::WrongHash)
        }
    }

    /// Returns the size of the content in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        match &self.packing {
            Packing::Whole(compressed) => compressed.len(),
            Packing::Steps(steps) => steps.iter().map(|step| step.delta.len()).sum(),
        }
    }

    /// Returns the name of the packing in logs and metrics.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self.packing {
            Packing::Whole(_) => "whole",
            Packing::Steps(_) => "changes",
        }
    }
}

fn apply_steps(steps: &[Step], base: &[u8]) -> Result<Vec<u8>, UnpackError> {
    if steps.len() > MAX_STEPS {
        return Err(UnpackError::Malformed);
    }
    let first = steps.first().ok_or(UnpackError::Malformed)?;
    if first.base != hash(base) {
        return Err(UnpackError::UnknownBase);
    }
    let mut document = None;
    for step in steps {
        let delta = wire::decode_delta(&decompress(&step.delta)?).ok_or(UnpackError::Malformed)?;
        let base = document.as_deref().unwrap_or(base);
        document = Some(delta.apply(base)?);
    }
    document.ok_or(UnpackError::Malformed)
}

/// Document in force, with the changes that led to it from its recent versions.
///
/// # Examples
///
/// ```
/// use tanagerford_core::document::{StoredDocument, hash};
///
/// let first = StoredDocument::new("{\"a\":1},{\"b\":2}");
/// let second = first.next("{\"a\":1},{\"b\":3}");
/// let packed = second.changes_since(hash(first.document())).unwrap();
/// assert_eq!(packed.unpack(Some(first.document())).unwrap(), second.document()[..]);
/// assert!(second.changes_since(7).is_none());
/// assert_eq!(second.whole().unpack(None).unwrap(), second.document()[..]);
/// ```
#[derive(Debug)]
pub struct StoredDocument {
    document: Bytes,
    hash: DocumentHash,
    /// Changes from the oldest version to this one.
    steps: VecDeque<Step>,
    compressed: OnceLock<Bytes>,
}

impl StoredDocument {
    /// Creates a document whose earlier versions are unknown.
    #[must_use]
    pub fn new(document: impl Into<Bytes>) -> Self {
        let document = document.into();
        Self {
            hash: hash(&document),
            document,
            steps: VecDeque::new(),
            compressed: OnceLock::new(),
        }
    }

    /// Creates the version that follows this one. The cost is in proportion to the length of both.
    #[must_use]
    pub fn next(&self, document: impl Into<Bytes>) -> Self {
        let mut next = Self::new(document);
        next.steps.clone_from(&self.steps);
        let delta = Delta::between(&self.document, &next.document);
        next.steps.push_back(Step {
            base: self.hash,
            delta: compress(&wire::encode_delta(&delta)),
        });
        let mut bytes: usize = next.steps.iter().map(|step| step.delta.len()).sum();
        while next.steps.len() > MAX_STEPS || bytes > MAX_STEP_BYTES {
            let dropped = next.steps.pop_front();
            bytes -= dropped.map_or(bytes, |step| step.delta.len());
        }
        next
    }

    /// Returns the document.
    #[must_use]
    pub fn document(&self) -> &Bytes {
        &self.document
    }

    /// Returns the hash of the document.
    #[must_use]
    pub fn hash(&self) -> DocumentHash {
        self.hash
    }

    /// Returns the changes since the version with a hash; `None` if they are not known.
    #[must_use]
    pub fn changes_since(&self, base: DocumentHash) -> Option<PackedDocument> {
        let first = self.steps.iter().position(|step| step.base == base)?;
        let steps = self.steps.range(first..).cloned().collect();
        Some(PackedDocument {
            hash: self.hash,
            packing: Packing::Steps(steps),
        })
    }

    /// Returns the whole document. The first call compresses it, in proportion to its length.
    #[must_use]
    pub fn whole(&self) -> PackedDocument {
        let compressed = self.compressed.get_or_init(|| compress(&self.document));
        PackedDocument {
            hash: self.hash,
            packing: Packing::Whole(compressed.clone()),
        }
    }
}

fn compress(data: &[u8]) -> Bytes {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    // Writes to memory do not fail.
    let compressed = encoder.write_all(data).and_then(|()| encoder.finish());
    compressed.unwrap_or_default().into()
}

fn decompress(compressed: &[u8]) -> Result<Vec<u8>, UnpackError> {
    let mut data = Vec::new();
    let limit = MAX_DOCUMENT_BYTES as u64 + 1;
    let decoder = DeflateDecoder::new(compressed);
    let read = decoder.take(limit).read_to_end(&mut data);
    match read {
        Ok(length) if length > MAX_DOCUMENT_BYTES => Err(UnpackError::TooLong),
        Ok(_) => Ok(data),
        Err(_) => Err(UnpackError::Malformed),
    }
}

//! Difference between two versions of a document.

use std::collections::HashMap;
use std::ops::Range;

use xxhash_rust::xxh3::xxh3_64;

use super::{MAX_DOCUMENT_BYTES, UnpackError};

/// Byte after which a document is cut into pieces: the end of an object in JSON.
const PIECE_END: u8 = b'}';

/// Part of a new version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Edit {
    /// Bytes that the base has at these positions.
    Copy(Range<usize>),
    /// Bytes that the base does not have in this place.
    Insert(Vec<u8>),
}

/// Parts of a new version in their order, most of them copied from the base.
///
/// # Examples
///
/// ```
/// use tanagerford_core::document::Delta;
///
/// let delta = Delta::between(b"[{1},{2},{3}]", b"[{1},{4},{3}]");
/// assert_eq!(delta.apply(b"[{1},{2},{3}]").unwrap(), b"[{1},{4},{3}]");
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Delta(pub(super) Vec<Edit>);

impl Delta {
    /// Returns the difference by which `target` follows from `base`. Pieces of both that end with the same byte are compared, so the
    /// cost is in proportion to their lengths.
    #[must_use]
    pub fn between(base: &[u8], target: &[u8]) -> Self {
        let mut delta = Self::default();
        let mut index: Option<HashMap<u64, Range<usize>>> = None;
        // Position in the base behind the last copied piece, where the next piece is expected.
        let mut expected = 0;
        for piece in pieces(target) {
            let bytes = &target[piece];
            let follows = base[expected..].starts_with(bytes);
            let found = if follows {
                Some(expected..expected + bytes.len())
            } else {
                let index = index.get_or_insert_with(|| index_pieces(base));
                let candidate = index.get(&xxh3_64(bytes)).cloned();
                candidate.filter(|range| base[range.clone()] == *bytes)
            };
            match found {
                Some(range) => {
                    expected = range.end;
                    delta.copy(range);
                }
                None => delta.insert(bytes),
            }
        }
        delta
    }

    /// Returns the new version.
    ///
    /// # Errors
    ///
    /// Fails if the difference does not fit `base`, or if the result is too long.
    pub fn apply(&self, base: &[u8]) -> Result<Vec<u8>, UnpackError> {
        let mut target = Vec::with_capacity(base.len());
        for edit in &self.0 {
            let bytes = match edit {
                Edit::Copy(range) => base.get(range.clone()).ok_or(UnpackError::Malformed)?,
                Edit::Insert(bytes) => bytes,
            };
            if target.len() + bytes.len() > MAX_DOCUMENT_BYTES {
                return Err(UnpackError::TooLong);
            }
            target.extend_from_slice(bytes);
        }
        Ok(target)
    }

    fn copy(&mut self, range: Range<usize>) {
        match self.0.last_mut() {
            Some(Edit::Copy(last)) if last.end == range.start => last.end = range.end,
            _ => self.0.push(Edit::Copy(range)),
        }
    }

    fn insert(&mut self, bytes: &[u8]) {
        match self.0.last_mut() {
            Some(Edit::Insert(last)) => last.extend_from_slice(bytes),
            _ => self.0.push(Edit::Insert(bytes.to_vec())),
        }
    }
}

/// Returns the positions of the pieces of a document, each up to and including an end of a piece.
fn pieces(document: &[u8]) -> impl Iterator<Item = Range<usize>> {
    let mut start = 0;
    let ends = document.split_inclusive(|byte| *byte == PIECE_END);
    ends.map(move |piece| {
        let range = start..start + piece.len();
        start = range.end;
        range
    })
}

/// Returns the first position of each piece by its hash.
fn index_pieces(document: &[u8]) -> HashMap<u64, Range<usize>> {
    let mut index = HashMap::new();
    for range in pieces(document) {
        index
            .entry(xxh3_64(&document[range.clone()]))
            .or_insert(range);
    }
    index
}

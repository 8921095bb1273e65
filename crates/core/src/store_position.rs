//! Positions in the history of the key-value service.

/// Number of times that the store was restored from a backup.
pub type Era = u64;

/// Position in the history of the store up to which all changes are known.
///
/// A store that was restored from a backup assigns the same revisions again, so a revision is unique only within an
/// era. A position in a later era is newer regardless of its revision.
///
/// # Examples
///
/// ```
/// use tanagerford_core::store_position::StorePosition;
///
/// let before = StorePosition { era: 1, revision: 900 };
/// let restored = StorePosition { era: 2, revision: 850 };
/// assert!(restored > before);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StorePosition {
    /// Number of restorations so far.
    pub era: Era,
    /// Revision of the store, which counts its changes; 0 if none is known.
    pub revision: u64,
}

impl StorePosition {
    /// Position after all others.
    pub const MAX: Self = Self {
        era: Era::MAX,
        revision: u64::MAX,
    };
}

//! Moments in the history of the key-value service.

/// Count of restorations of the store from a backup.
pub type Era = u64;

/// Moment up to which all changes of the store are known.
///
/// A store that was restored from a backup gives its revisions out again, so a revision names a moment only together
/// with the era. A later era is newer, whatever its revision.
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
    /// Restorations of the store so far.
    pub era: Era,
    /// Count of changes; 0 when none is known.
    pub revision: u64,
}

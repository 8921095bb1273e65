//! Record of a duty in the key-value service.

use serde::{Deserialize, Serialize};

use super::{BootId, Counts, FencingNumber, WindowId};
use crate::store_position::Era;

/// Bits of a fencing number that count the holders of one era of the key-value service. A restoration can revert the record,
/// so the era stands above the count: all numbers of a later era are higher.
const ERA_SHIFT: u32 = 32;
/// Largest era that counts. Numbers stay below 2^53, up to which all JSON parsers read them exactly.
const MAX_ERA: Era = (1 << 20) - 1;
/// Largest fencing number that is believed.
pub(super) const MAX_NUMBER: FencingNumber = (1 << 53) - 2;

/// Returns the lowest fencing number of an era that is above all `known` numbers.
///
/// # Examples
///
/// ```
/// use tanagerford_core::duty::fencing_number;
///
/// assert_eq!(fencing_number(0, [4, 7]), 8);
/// // The record was restored from a backup that knows only number 4.
/// assert!(fencing_number(1, [4]) > 8);
/// ```
#[must_use]
pub fn fencing_number(era: Era, known: impl IntoIterator<Item = FencingNumber>) -> FencingNumber {
    let floor = era.min(MAX_ERA) << ERA_SHIFT;
    known
        .into_iter()
        .fold(floor, FencingNumber::max)
        .min(MAX_NUMBER - 1)
        + 1
}

/// Usage of one window.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UsageReport {
    /// Window that the report is about.
    pub window: WindowId,
    /// Calls that servers began, by workspace.
    pub counts: Counts,
}

/// Holder of a duty and what it has decided.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DutyRecord {
    /// Fencing number of the holder.
    pub number: FencingNumber,
    /// VM of the holder.
    pub holder: String,
    /// Start of the holder's process.
    pub boot: BootId,
    /// Lease of the holder, which tells its takeovers apart.
    pub lease: i64,
    /// Era of the key-value service in which the record was written.
    pub era: Era,
    /// Last window that has a report or never gets one.
    pub last_window: WindowId,
    /// Reports that the platform may not have accepted. They are sent exactly as they stand here.
    pub reports: Vec<UsageReport>,
}

impl DutyRecord {
    /// Encodes the record for the key-value service.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        // Maps with text keys and numbers can always be encoded.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes a record; `None` if the value is malformed.
    #[must_use]
    pub fn decode(value: &[u8]) -> Option<Self> {
        let record: Self = serde_json::from_slice(value).ok()?;
        (record.number < MAX_NUMBER).then_some(record)
    }
}

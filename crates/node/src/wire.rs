//! Conversions to the field types of link messages.

use std::time::Duration;

/// Converts a duration to milliseconds, saturating at [`u32::MAX`].
pub(crate) fn milliseconds(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

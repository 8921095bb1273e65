//! Conversions to the fields of link messages.

use std::time::Duration;

/// Returns a time in milliseconds; one that does not fit is the longest that does.
pub(crate) fn milliseconds(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

//! Refusals that a sidecar sends.

use std::time::Duration;

use tanagerford_link::message;

use crate::wire::milliseconds;

/// Retry advice when the sidecar is draining, or its backend server is unreachable or full.
pub(crate) const SERVER_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Returns the refusal of work that did not run, which its caller may therefore repeat.
pub(crate) fn not_run(
    code: &str,
    detail: &str,
    retry_after: Option<Duration>,
    load: Option<message::Load>,
) -> message::Refused {
    message::Refused {
        code: code.to_owned(),
        detail: detail.to_owned(),
        retry_after_ms: retry_after.map_or(0, milliseconds),
        load,
        ..message::Refused::default()
    }
}

/// Returns the refusal of an order that may have run or may still run.
pub(crate) fn unknown(code: &str, detail: &str) -> message::Refused {
    message::Refused {
        unknown: true,
        ..not_run(code, detail, None, None)
    }
}

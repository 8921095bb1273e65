//! Log lines that tell what became of a request.
//!
//! Every request ends with exactly one of the lines `refused`, `answered`, `stream ended` or `caller left`. The fields of
//! all lines of the gateway are in `docs/OPERATIONS.md`; a test of the platform's adapter keeps them to it.

use std::time::{Duration, Instant};

use crate::call::Call;
use crate::codec::CallHead;
use crate::refusal::Refusal;
use crate::table::{Route, Version};

/// Request as far as it is known when it ends.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Subject<'a> {
    /// Name of the attempt; empty when the request has none.
    pub(crate) request: &'a str,
    /// Name of the route; empty when none matched.
    pub(crate) route: &'a str,
    /// Name of the workspace; empty when the key is missing or unknown.
    pub(crate) workspace: &'a str,
    /// Time at which the head arrived.
    pub(crate) arrived: Instant,
}

impl<'a> Subject<'a> {
    /// Request whose head could not be read.
    pub(crate) fn unread(arrived: Instant) -> Self {
        Self {
            request: "",
            route: "",
            workspace: "",
            arrived,
        }
    }

    /// Request whose head was read.
    pub(crate) fn of_head(head: &'a CallHead, arrived: Instant) -> Self {
        Self {
            request: &head.id,
            ..Self::unread(arrived)
        }
    }

    /// Adds the route that matched.
    pub(crate) fn on(self, route: Option<&'a Route>) -> Self {
        Self {
            route: route.map_or("", |route| &route.name),
            ..self
        }
    }

    /// Request that was admitted.
    pub(crate) fn of_call(call: &'a Call) -> Self {
        Self {
            request: &call.id,
            route: &call.route.name,
            workspace: call.workspace_name(),
            arrived: call.arrived,
        }
    }
}

/// Logs an answer of the entry itself; `configuration` is the version that decided it.
pub(crate) fn refused(
    subject: Subject<'_>,
    refusal: Refusal,
    configuration: Option<Version>,
    processor_delay: Duration,
) {
    tracing::info!(
        request = subject.request,
        route = subject.route,
        workspace = subject.workspace,
        reason = refusal.name(),
        not_run = refusal.is_not_run(),
        configuration,
        processor_delay_ms = processor_delay.as_millis(),
        after_ms = subject.arrived.elapsed().as_millis(),
        "refused"
    );
}

/// Logs a final answer that came after the call's time limit.
pub(crate) fn past_limit(call: &Call, past_limit: Duration, processor_delay: Duration) {
    tracing::warn!(
        request = call.id,
        route = call.route.name,
        workspace = call.workspace_name(),
        limit_ms = call
            .deadline()
            .saturating_duration_since(call.arrived)
            .as_millis(),
        past_limit_ms = past_limit.as_millis(),
        processor_delay_ms = processor_delay.as_millis(),
        "ended past the time limit"
    );
}

/// Logs a caller that closed its connection before its answer ended.
pub(crate) fn caller_left(call: &Call) {
    tracing::info!(
        request = call.id,
        route = call.route.name,
        workspace = call.workspace_name(),
        patience_ms = call
            .caller_deadline
            .map(|end| end.saturating_duration_since(call.arrived).as_millis()),
        after_ms = call.arrived.elapsed().as_millis(),
        "caller left"
    );
}

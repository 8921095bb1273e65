//! Log lines about the end of requests.
//!
//! Every request ends with exactly one of the lines `refused`, `answered`, `stream ended`, `answer is cut`, `caller left`,
//! `request dropped` or `request panicked`.
//! `docs/OPERATIONS.md` describes the fields of the gateway's log lines; a snapshot test of the platform's adapter
//! records the fields of the lines about requests.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tanagerford_core::dispatch::{Rank, ShedReason};
use tanagerford_core::document::UnpackError;
use tanagerford_core::ids::PoolId;
use tanagerford_core::stream_version::{VersionId, version_id};

use crate::call::Call;
use crate::codec::CallHead;
use crate::refusal::Refusal;
use crate::request_end::RequestRecord;
use crate::table::{Route, Version};

/// Properties of a request that are known when it ends.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestInfo<'a> {
    /// Identifier of the caller's attempt; empty when the head could not be read.
    pub(crate) request: &'a str,
    /// Name of the route; empty when none matched.
    pub(crate) route: &'a str,
    /// Name of the workspace; empty when the key is missing or unknown.
    pub(crate) workspace: &'a str,
    /// Rank by which an entry that is short of processor time refuses calls; `None` before the key is known.
    pub(crate) rank: Option<Rank>,
    /// What the entry lacks for the call; `None` if the refusal has another reason than load shedding.
    pub(crate) shed_reason: Option<ShedReason>,
    pub(crate) arrived: Instant,
}

impl<'a> RequestInfo<'a> {
    /// Describes a request whose head could not be read.
    pub(crate) fn without_head(arrived: Instant) -> Self {
        Self {
            request: "",
            route: "",
            workspace: "",
            rank: None,
            shed_reason: None,
            arrived,
        }
    }

    /// Describes a request whose head was read.
    pub(crate) fn from_head(head: &'a CallHead, arrived: Instant) -> Self {
        Self {
            request: &head.id,
            ..Self::without_head(arrived)
        }
    }

    /// Adds the route that matched, if any.
    pub(crate) fn with_route(self, route: Option<&'a Route>) -> Self {
        Self {
            route: route.map_or("", |route| &route.name),
            ..self
        }
    }

    /// Describes a request with a valid route and key.
    pub(crate) fn from_call(call: &'a Call) -> Self {
        Self {
            request: &call.id,
            route: &call.route.name,
            workspace: call.workspace_name(),
            rank: Some(call.shedding_rank()),
            shed_reason: None,
            arrived: call.arrived,
        }
    }

    /// Describes a request that was read whole.
    pub(crate) fn from_record(record: &'a RequestRecord) -> Self {
        let (route, workspace) = record
            .route
            .get()
            .map_or((None, None), |(route, workspace)| {
                (Some(&**route), workspace.as_ref())
            });
        Self {
            request: &record.id,
            workspace: workspace.map_or("", |workspace| &workspace.name),
            ..Self::without_head(record.arrived).with_route(route)
        }
    }

    /// Adds the reason for which an entry that is short of processor time refuses the call.
    pub(crate) fn with_shed_reason(self, reason: ShedReason) -> Self {
        Self {
            shed_reason: Some(reason),
            ..self
        }
    }
}

/// Logs a refusal; `configuration` is the version in force.
pub(crate) fn refused(
    info: RequestInfo<'_>,
    refusal: Refusal,
    configuration: Option<Version>,
    processor_delay: Duration,
    link_delay: Duration,
) {
    tracing::info!(
        request = info.request,
        route = info.route,
        workspace = info.workspace,
        rank = info.rank,
        reason = refusal.name(),
        part = refusal.part(),
        shed_reason = info.shed_reason.map(ShedReason::name),
        not_run = refusal.is_not_run(),
        configuration,
        processor_delay_ms = processor_delay.as_millis(),
        link_delay_ms = link_delay.as_millis(),
        after_ms = info.arrived.elapsed().as_millis(),
        "refused"
    );
}

/// Logs a caller that resumes a stream of an earlier attempt. `version` is the one at which the stream began, and `versions`
/// are those of the servers of each pool of the route.
pub(crate) fn stream_taken_up(
    call: &Call,
    versions: &[(PoolId, Arc<BTreeSet<String>>)],
    version: Option<VersionId>,
) {
    let names = versions.iter();
    let mut names = names.flat_map(|(pool, names)| names.iter().map(move |name| (pool, name)));
    let began = names.find(|(pool, name)| version == Some(version_id(pool, name)));
    let versions: BTreeSet<&String> = versions.iter().flat_map(|(_, names)| &**names).collect();
    tracing::info!(
        request = call.id,
        route = call.route.name,
        workspace = call.workspace_name(),
        first_attempt = call.resumed_attempt,
        after_event = call.resume_after,
        pool = began.map(|(pool, _)| pool),
        version = began.map(|(_, name)| name),
        ?versions,
        "stream is taken up"
    );
}

/// Logs a final response that came after the call's deadline.
pub(crate) fn deadline_overrun(
    call: &Call,
    overrun: Duration,
    processor_delay: Duration,
    link_delay: Duration,
) {
    tracing::warn!(
        request = call.id,
        route = call.route.name,
        workspace = call.workspace_name(),
        limit_ms = call
            .deadline()
            .saturating_duration_since(call.arrived)
            .as_millis(),
        past_limit_ms = overrun.as_millis(),
        processor_delay_ms = processor_delay.as_millis(),
        link_delay_ms = link_delay.as_millis(),
        "ended past the time limit"
    );
}

/// Logs a caller that closed its connection before its response was complete.
pub(crate) fn caller_left(record: &RequestRecord) {
    let info = RequestInfo::from_record(record);
    tracing::info!(
        request = info.request,
        route = info.route,
        workspace = info.workspace,
        patience_ms = record
            .caller_deadline
            .map(|end| end.saturating_duration_since(record.arrived).as_millis()),
        after_ms = record.arrived.elapsed().as_millis(),
        "caller left"
    );
}

/// Logs a request whose handling ended without an answer, a refusal or a cut.
pub(crate) fn dropped(record: &RequestRecord) {
    let info = RequestInfo::from_record(record);
    tracing::error!(
        request = info.request,
        route = info.route,
        workspace = info.workspace,
        after_ms = record.arrived.elapsed().as_millis(),
        "request dropped"
    );
}

/// Logs a request whose handling panicked. `panic` is the message of the panic, if it is known.
pub(crate) fn panicked(info: RequestInfo<'_>, panic: Option<&str>) {
    tracing::error!(
        request = info.request,
        route = info.route,
        workspace = info.workspace,
        panic,
        after_ms = info.arrived.elapsed().as_millis(),
        "request panicked"
    );
}

/// Logs that a document which another entry handed on cannot be unpacked; it is then read whole.
pub(crate) fn unpack_failed(peer: SocketAddr, error: UnpackError) {
    tracing::warn!(%peer, ?error, "cannot unpack a document; reading it whole");
}

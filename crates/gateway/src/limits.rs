//! Limits that backend servers name in their answers.

use std::sync::Mutex;
use std::time::Duration;

use tanagerford_core::server_limit::{LimitStatement, LimitTable, RequestRate, server_key};
use tanagerford_sync::lock;

use crate::fleet::BackendServer;

/// What the head of an answer says about the limit of its server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum LimitHeader {
    /// The server names no limit.
    #[default]
    Absent,
    /// Requests per second that the server takes from all entries together.
    PerSecond(RequestRate),
    /// The value is not a number of requests per second.
    Invalid,
}

/// Limits of the servers as known to this entry.
#[derive(Debug, Default)]
pub(crate) struct RequestLimits {
    table: Mutex<LimitTable>,
}

impl RequestLimits {
    /// Records what the head of an answer says about the limit of its server, and logs a change.
    pub(crate) fn on_answer(
        &self,
        server: &BackendServer,
        header: LimitHeader,
        requested_at: Duration,
        answered_at: Duration,
    ) {
        let limit = match header {
            LimitHeader::Absent => None,
            LimitHeader::PerSecond(rate) => Some(rate),
            LimitHeader::Invalid => {
                tracing::warn!(server = server.id, "answer names an unreadable limit");
                return;
            }
        };
        let key = server_key(&server.id, server.started_unix_ms);
        let statement = LimitStatement {
            limit,
            requested_at,
            answered_at,
        };
        let change = lock(&self.table).on_answer(key, statement);
        if let Some(change) = change {
            let message = match (change.before, change.now) {
                (_, None) => "server no longer limits its requests",
                (None, Some(_)) => "server limits its requests",
                (Some(_), Some(_)) => "server changed its limit",
            };
            tracing::info!(
                server = server.id,
                limit_per_s = change.now,
                before_per_s = change.before,
                source = "answer",
                age_ms = 0,
                "{message}"
            );
        }
    }
}

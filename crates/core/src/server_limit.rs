//! Limits that servers set on the rate of requests from all entries together.
//!
//! A server in need names a limit in its answers, for as long as it needs one. [`LimitTable`] holds the newest statement of
//! each server.

mod statement;

use std::collections::HashMap;
use std::time::Duration;

pub use statement::{LimitStatement, RequestRate};

/// Hash of a server's id and incarnation. A restarted server has no limit until it names one again.
pub type ServerKey = u64;

/// Returns the key of an incarnation of a server, which is the same at every entry.
#[must_use]
pub fn server_key(server: &str, started_unix_ms: Option<u64>) -> ServerKey {
    let incarnation = started_unix_ms.unwrap_or(0);
    xxhash_rust::xxh3::xxh3_64_with_seed(server.as_bytes(), incarnation)
}

/// Change of the limit of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitChange {
    /// Limit before; `None` if the server had none.
    pub before: Option<RequestRate>,
    /// Limit now; `None` if it has ended.
    pub now: Option<RequestRate>,
}

/// Limits of servers as known to one entry.
#[derive(Debug, Default)]
pub struct LimitTable {
    statements: HashMap<ServerKey, LimitStatement>,
}

impl LimitTable {
    /// Records the statement of an answer; returns the change of the server's limit, if any.
    pub fn on_answer(
        &mut self,
        server: ServerKey,
        statement: LimitStatement,
    ) -> Option<LimitChange> {
        let known = self.statements.get(&server);
        if known.is_none() && statement.limit.is_none() {
            return None;
        }
        if known.is_some_and(|known| !known.is_replaced_by(&statement)) {
            return None;
        }
        let before = known.and_then(|known| known.limit);
        self.statements.insert(server, statement);
        let change = LimitChange {
            before,
            now: statement.limit,
        };
        (change.before != change.now).then_some(change)
    }

    /// Returns the limit of a server, or `None` if it has named none.
    #[must_use]
    pub fn limit(&self, server: ServerKey) -> Option<RequestRate> {
        self.statements.get(&server)?.limit
    }

    /// Returns the time since the statement that holds for a server was received.
    #[must_use]
    pub fn statement_age(&self, now: Duration, server: ServerKey) -> Option<Duration> {
        let statement = self.statements.get(&server)?;
        Some(now.saturating_sub(statement.answered_at))
    }
}

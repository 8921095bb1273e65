//! Choice of a server among limited and other servers.

use std::time::Duration;

use super::{LimitTable, ServerKey};
use crate::dispatch::{Choice, Demand, Pool, Rank};
use crate::ids::ServerId;

/// Result of [`select`].
#[derive(Debug, Clone, PartialEq)]
pub enum Selection {
    /// The call can be sent; a permit was used if the server is limited.
    Send {
        /// Chosen server.
        choice: Choice,
        /// Cheaper server for which this entry holds no permit.
        avoided: Option<ServerId>,
    },
    /// A permit for the best server was requested and is likely to be granted within [`GRANT_WAIT`](super::GRANT_WAIT).
    AwaitGrant,
    /// All servers are limited and this entry holds no permit for any.
    Wait,
    /// No server is left.
    NoServer,
}

/// Call that needs a server.
#[derive(Debug, Clone, Copy)]
pub struct CallNeed<'a> {
    /// Resources that the call needs.
    pub demand: &'a Demand,
    /// Servers that it was sent to before.
    pub tried_servers: &'a [ServerId],
    /// Rank with which it asks for permits and uses them.
    pub permit_rank: Rank,
    /// Whether the call can wait for a grant that is expected at once.
    pub can_await_grant: bool,
    /// Calls that wait at this entry for permits of the pool.
    pub waiting_calls: usize,
}

impl<'a> CallNeed<'a> {
    /// Describes a call that does not wait.
    #[must_use]
    pub fn new(demand: &'a Demand, tried_servers: &'a [ServerId]) -> Self {
        Self {
            demand,
            tried_servers,
            permit_rank: demand.rank,
            can_await_grant: false,
            waiting_calls: 0,
        }
    }
}

/// Selects a server for a call and uses a permit if the server is limited. Asks for permits where a limited server would be
/// the better choice.
pub fn select(
    pool: &mut Pool,
    limits: &mut LimitTable,
    now: Duration,
    call: CallNeed<'_>,
    key: impl Fn(&str) -> ServerKey,
) -> Selection {
    let (best, permitted) = choose(pool, limits, now, call, &key);
    let Some(best) = best else {
        return Selection::NoServer;
    };
    let Some(choice) = permitted else {
        request_several(pool, limits, now, call, &key);
        return Selection::Wait;
    };
    let avoided = (choice.server != best.server).then_some(best.server);
    if let Some(server) = avoided.as_deref().map(&key) {
        limits.request(now, server, call.permit_rank);
        if call.can_await_grant && limits.are_granted_at_once(now, server) {
            return Selection::AwaitGrant;
        }
    }
    let server = key(&choice.server);
    limits.take(now, server, call.permit_rank);
    if !limits.is_permitted(now, server, call.permit_rank)
        && limits.are_granted_at_once(now, server)
    {
        // The next call finds a permit, since the limit has room.
        limits.request(now, server, call.permit_rank);
    }
    Selection::Send { choice, avoided }
}

/// Returns the server that [`select`] would choose for a call that may not be sent to the `excluded` servers; if all servers
/// are limited and this entry holds no permit, the best of
/// them.
pub fn preview(
    pool: &mut Pool,
    limits: &LimitTable,
    now: Duration,
    demand: &Demand,
    excluded: &[ServerId],
    key: impl Fn(&str) -> ServerKey,
) -> Option<Choice> {
    let call = CallNeed::new(demand, excluded);
    let (best, permitted) = choose(pool, limits, now, call, &key);
    permitted.or(best)
}

/// Returns the best server, and the best one to which the call can be sent now.
fn choose(
    pool: &mut Pool,
    limits: &LimitTable,
    now: Duration,
    call: CallNeed<'_>,
    key: &impl Fn(&str) -> ServerKey,
) -> (Option<Choice>, Option<Choice>) {
    if limits.is_empty() {
        let choice = pool.choose(now, call.demand, call.tried_servers);
        return (choice.clone(), choice);
    }
    pool.choose_permitted(now, call.demand, call.tried_servers, |server| {
        limits.is_permitted(now, key(server), call.permit_rank)
    })
}

/// Number of servers that are asked for permits for each waiting call. Where only calls of lower ranks ask, they are served.
const SERVERS_PER_CALL: usize = 2;

/// Asks several servers for permits, the best first.
fn request_several(
    pool: &mut Pool,
    limits: &mut LimitTable,
    now: Duration,
    call: CallNeed<'_>,
    key: &impl Fn(&str) -> ServerKey,
) {
    let mut excluded = call.tried_servers.to_vec();
    for _ in 0..call.waiting_calls.max(1) * SERVERS_PER_CALL {
        let Some(choice) = pool.choose(now, call.demand, &excluded) else {
            return;
        };
        limits.request(now, key(&choice.server), call.permit_rank);
        excluded.push(choice.server);
    }
}

//! When an entry may send calls to a server, by what the answers of that server asked for.
//!
//! The state belongs to one start of a server. It does not depend on the registry: a server that leaves the registry and
//! returns, or moves to another pool, keeps its state.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::server_limit::ServerKey;

/// Longest rest that is granted. A faulty server would otherwise stay unused for ever.
pub const MAX_REST: Duration = Duration::from_hours(24);
/// Time for which the state of a server that leaves is kept after it was last registered.
const LEAVING_RETENTION: Duration = Duration::from_hours(24);

/// What one start of a server asked for.
#[derive(Debug, Default)]
struct ServerState {
    rest: Option<Rest>,
    leaving: Option<Leaving>,
}

#[derive(Debug)]
struct Rest {
    ends_at: Duration,
}

#[derive(Debug)]
struct Leaving {
    /// Time at which the server last was registered, or said that it leaves.
    last_seen_at: Duration,
}

/// What servers asked this entry for.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tanagerford_core::availability::AvailabilityTable;
///
/// let at = Duration::from_secs;
/// let mut table = AvailabilityTable::default();
/// assert!(table.on_rest(at(10), 77, at(3)));
/// // A shorter rest does not end the longer one.
/// assert!(!table.on_rest(at(11), 77, at(1)));
/// assert_eq!(table.resting_count(at(12)), 1);
/// assert_eq!(table.resting_count(at(13)), 0);
/// assert!(table.on_leaving(at(13), 77));
/// assert!(!table.on_leaving(at(14), 77));
/// assert_eq!(table.leaving_count(), 1);
/// ```
#[derive(Debug, Default)]
pub struct AvailabilityTable {
    servers: BTreeMap<ServerKey, ServerState>,
}

impl AvailabilityTable {
    /// Records that an answer which arrived now asked for a rest; returns whether the rest ends later than known before.
    pub fn on_rest(&mut self, now: Duration, server: ServerKey, rest: Duration) -> bool {
        self.remove_ended(now);
        let ends_at = now + rest.min(MAX_REST);
        let state = self.servers.entry(server).or_default();
        let is_later = state
            .rest
            .as_ref()
            .is_none_or(|rest| rest.ends_at < ends_at);
        if is_later {
            state.rest = Some(Rest { ends_at });
        }
        is_later
    }

    /// Records that a server said in an answer that it leaves; returns whether it said so for the first time.
    pub fn on_leaving(&mut self, now: Duration, server: ServerKey) -> bool {
        let state = self.servers.entry(server).or_default();
        let is_first = state.leaving.is_none();
        state.leaving = Some(Leaving { last_seen_at: now });
        is_first
    }

    /// Returns the number of servers at rest.
    #[must_use]
    pub fn resting_count(&self, now: Duration) -> usize {
        let rests = self
            .servers
            .values()
            .filter_map(|state| state.rest.as_ref());
        rests.filter(|rest| rest.ends_at > now).count()
    }

    /// Returns the number of servers that leave.
    #[must_use]
    pub fn leaving_count(&self) -> usize {
        let servers = self.servers.values();
        servers.filter(|state| state.leaving.is_some()).count()
    }

    /// Forgets servers that left and have not been registered for a day, and rests that have ended.
    pub fn settle(&mut self, now: Duration, is_registered: impl Fn(ServerKey) -> bool) {
        for (server, state) in &mut self.servers {
            state.leaving.take_if(|leaving| {
                if is_registered(*server) {
                    leaving.last_seen_at = now;
                }
                now.saturating_sub(leaving.last_seen_at) >= LEAVING_RETENTION
            });
        }
        self.remove_ended(now);
    }

    fn remove_ended(&mut self, now: Duration) {
        self.servers.retain(|_, state| {
            state.rest.take_if(|rest| rest.ends_at <= now);
            state.rest.is_some() || state.leaving.is_some()
        });
    }
}

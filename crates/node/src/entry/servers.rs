//! Choice of a backend server.

use std::collections::{HashMap, HashSet};
use std::sync::Mutex;

use tanagerford_core::ids::ServerId;

use crate::links::Target;
use crate::sync::lock;

/// What the entry knows about the load of its servers.
#[derive(Debug, Default)]
pub(crate) struct Servers {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    in_flight: HashMap<ServerId, u32>,
    leaving: HashSet<ServerId>,
}

impl Servers {
    /// Chooses the server of `pool` with the fewest requests in flight.
    pub(crate) fn choose(
        &self,
        targets: &[(Target, bool)],
        pool: &str,
        tried: &[ServerId],
    ) -> Option<ServerId> {
        let mut state = lock(&self.state);
        let server = targets
            .iter()
            .filter(|(target, open)| *open && target.pool == pool)
            .map(|(target, _)| &target.server)
            .filter(|server| !tried.contains(server) && !state.leaving.contains(*server))
            .min_by_key(|server| state.in_flight.get(*server).copied().unwrap_or(0))?
            .clone();
        *state.in_flight.entry(server.clone()).or_default() += 1;
        Some(server)
    }

    /// Counts a request of `server` as ended.
    pub(crate) fn release(&self, server: &str) {
        if let Some(count) = lock(&self.state).in_flight.get_mut(server) {
            *count = count.saturating_sub(1);
        }
    }

    /// Sends no new work to `server`.
    pub(crate) fn set_leaving(&self, server: &str) {
        lock(&self.state).leaving.insert(server.to_owned());
    }
}

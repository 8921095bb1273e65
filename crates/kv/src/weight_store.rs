//! Weight store, whose rate limit the members share without talking to each other about it.

use std::time::Duration;

/// Rate limit of the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WeightStore {
    loads_per_hour: u32,
}

impl WeightStore {
    /// Creates the limit; a limit of 0 counts as 1, since a store that serves nothing needs no limit.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_kv::weight_store::WeightStore;
    ///
    /// let store = WeightStore::new(1_800);
    /// assert_eq!(store.load_interval(4), Duration::from_secs(8));
    /// ```
    #[must_use]
    pub fn new(loads_per_hour: u32) -> Self {
        Self {
            loads_per_hour: loads_per_hour.max(1),
        }
    }

    /// Returns the shortest time between two loads of one member while `live_members` share the limit.
    #[must_use]
    pub fn load_interval(&self, live_members: u32) -> Duration {
        Duration::from_hours(1) * live_members.max(1) / self.loads_per_hour
    }

    /// Tells whether a member that loaded last at `last_load_at` may load at `now`.
    #[must_use]
    pub fn may_load(
        &self,
        last_load_at: Option<Duration>,
        now: Duration,
        live_members: u32,
    ) -> bool {
        let interval = self.load_interval(live_members);
        last_load_at.is_none_or(|last| now.saturating_sub(last) >= interval)
    }
}

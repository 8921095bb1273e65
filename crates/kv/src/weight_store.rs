//! Rate limit of the weight store, which the members share without coordination: each one derives its share from the
//! number of live members.

use std::time::Duration;

/// Rate limit of the weight store, over all members together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WeightStore {
    loads_per_hour: u32,
}

impl WeightStore {
    /// Creates the limit. A limit of 0 is treated as 1, to keep the load interval finite.
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

    /// Returns the minimum time between two loads of one member when `live_members` share the limit.
    #[must_use]
    pub fn load_interval(&self, live_members: u32) -> Duration {
        Duration::from_hours(1) * live_members.max(1) / self.loads_per_hour
    }

    /// Returns whether a member may start a load at `now` if its last load was at `last_load_at`, or `None` if it has
    /// not loaded yet.
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

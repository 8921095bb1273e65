//! Runtime of engine orders: the sidecar's [`SlotRunner`] and the [`PlannerRunner`] that any process may run.
//!
//! Both do one round of calls per `step`, which takes the clock as a function, so that a pause between a check and a
//! call is visible to the check before the next call. While the key-value service is down, a step changes nothing:
//! engines keep their models and serve on.

mod planner;
mod record;
mod slot;
mod thread;

pub use planner::{Plan, PlannerRunner};
pub use record::{PLACEMENT_KEY, PLANNER_KEY, REPORT_PREFIX, held_key, report_key, slot_key};
pub use slot::{SlotRunner, SlotSettings};
pub use thread::{live_members, start_planner, start_slot};

use std::time::Duration;

/// Reads the time since an arbitrary start.
pub type Clock<'a> = &'a dyn Fn() -> Duration;

/// Times of the leases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeasePace {
    /// Time after its last renewal at which a lease ends.
    pub ttl: Duration,
    /// Time that a lease must still be valid when an order is sent. It must exceed the timeout of an engine order, so
    /// that no order arrives after the lease has ended.
    pub margin: Duration,
    /// Timeout of each call to the key-value service.
    pub timeout: Duration,
}

impl Default for LeasePace {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(20),
            margin: Duration::from_secs(3),
            timeout: Duration::from_secs(2),
        }
    }
}

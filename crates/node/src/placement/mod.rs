//! Runtime of engine orders: the sidecar's [`SlotRunner`], which loads and unloads models, and the [`PlannerRunner`],
//! which any process may run and which decides where the models are loaded.
//!
//! Each `step` of a runner makes one round of calls. It takes the clock as a function, so that a pause within a step is
//! visible to the check of the lease before the next call. While the key-value service is down, a step changes nothing:
//! engines keep their models and continue to serve.

mod planner;
mod record;
mod slot;
mod thread;

pub use planner::{Plan, PlannerRunner};
pub use record::PLACEMENT_KEY;
pub use slot::{SlotRunner, SlotSettings};
pub use thread::{live_member_count, start_planner, start_slot};

use std::time::Duration;

/// Returns the time since an arbitrary start.
pub type Clock<'a> = &'a dyn Fn() -> Duration;

/// Durations and timeouts of the leases of slots and of the planner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTiming {
    /// Time from the last renewal of a lease to its end.
    pub ttl: Duration,
    /// Minimum remaining time of a slot's lease when an order is sent. It must exceed the timeout of an engine order,
    /// so that no order arrives after the end of the lease.
    pub order_margin: Duration,
    /// Timeout of each call to the key-value service.
    pub call_timeout: Duration,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(20),
            order_margin: Duration::from_secs(3),
            call_timeout: Duration::from_secs(2),
        }
    }
}

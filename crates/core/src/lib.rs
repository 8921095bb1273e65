//! Decisions of the router: admission, scheduling, routing, retries, orders, configuration and membership.
//!
//! Nothing here does I/O, starts a thread or reads a clock. Time enters as a [`Duration`](std::time::Duration) since an
//! arbitrary start and randomness as a seed, so production, tests, the model checker and the policy measurement drive
//! the same code.

pub mod admission;
pub mod capacity;
pub mod config;
pub mod dispatch;
pub mod estimate;
pub mod exchange;
pub mod generation;
pub mod ids;
pub mod membership;
pub mod order;
pub mod placement;
pub mod pool;
pub mod retry;
pub mod routing;
pub mod store_position;
pub mod straggler;
pub mod subset;
pub mod suspect;

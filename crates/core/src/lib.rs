//! Decision logic of the router: admission, scheduling, routing, retries, orders, configuration and membership.
//!
//! This crate performs no I/O, starts no threads and reads no clock. Time is passed in as a
//! [`Duration`](std::time::Duration) since an arbitrary start, and randomness as a seed, so that production, tests, the
//! model checker and the policy simulation run the same code.

pub mod admission;
pub mod availability;
pub mod capacity;
pub mod change_log;
pub mod config;
pub mod dispatch;
pub mod document;
pub mod duty;
pub mod estimate;
pub mod exchange;
pub mod generation;
pub mod ids;
pub mod membership;
pub mod memory_budget;
pub mod order;
pub mod placement;
pub mod pool;
pub mod retry;
pub mod routing;
pub mod server_limit;
pub mod store_position;
pub mod store_view;
pub mod straggler;
pub mod stream_version;
pub mod subset;
pub mod suspect;
pub mod suspect_parts;
pub mod version_history;

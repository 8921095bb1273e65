//! Order log of the sidecar, which prevents a call that must not be repeated from running twice. It writes the claims
//! of orders to the key-value service and stores their responses in memory.
//!
//! [`OrderLog`] has a blocking interface and one writer thread. It wraps [`OrderLogCore`], which makes all decisions
//! and all calls to the key-value service but never waits for time to pass, so that tests and measurements run the same
//! code on a virtual clock.

mod batch;
mod locked_shard;
mod log;
mod log_core;
mod model;
mod response_cache;

pub use log::OrderLog;
pub use log_core::OrderLogCore;
pub use model::{
    ClaimDecision, ORDER_SHARDS, OrderClock, OrderCounts, OrderRequest, OrderSettings, OrderStatus,
    RefusalCode, SettleOutcome, StepHook, StoredResponse, Ticket, UnknownCode, UnsettledOrder,
};

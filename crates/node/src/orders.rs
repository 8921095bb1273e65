//! Order log of the sidecar: claims in the key-value service, the order gate, and answers kept in memory.
//!
//! [`OrderLog`] has a blocking interface and one writer thread. It wraps [`OrderBook`], which makes all decisions and
//! calls and never waits, so tests and measurements drive the same code on a virtual clock.

mod answers;
mod batch;
mod book;
mod cell;
mod log;
mod model;

pub use book::OrderBook;
pub use log::OrderLog;
pub use model::{
    ClaimDecision, KeptAnswer, ORDER_SHARDS, OrderClock, OrderCounts, OrderRequest, OrderSettings,
    OrderStatus, RefusalCode, SettleOutcome, StepHook, Ticket, UnknownCode, UnsettledOrder,
};

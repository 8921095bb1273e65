//! Runtimes of the entry and the sidecar.
//!
//! They connect the decisions of [`tanagerford_core`] with sockets, threads and the key-value service.

pub mod attempts;
pub mod config_feed;
mod entry;
mod exchange;
mod fleet;
mod links;
mod metrics;
pub mod orders;
pub mod placement;
pub mod process;
pub mod sidecar;
pub mod stop;
mod suspects;
mod sync;
mod vm_watch;
mod wire;
pub mod workers;

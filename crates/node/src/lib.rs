//! Runtimes of the entry and the sidecar, which connect the decision core with the peers.

pub mod attempts;
pub mod config_feed;
pub mod entry;
pub mod exchange;
pub mod fleet;
pub mod links;
pub mod metrics;
pub mod orders;
pub mod placement;
pub mod process;
pub mod sidecar;
pub mod stop;
pub mod suspects;
pub mod sync;
pub mod vm_watch;
mod wire;
pub mod workers;

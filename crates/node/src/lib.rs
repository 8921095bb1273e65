//! Runtimes of the entry and the sidecar, which connect the decision core with the peers.

pub mod config_feed;
pub mod orders;

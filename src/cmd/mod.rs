//! Commands of the router, one module for each.

pub mod check;
pub mod config;
pub mod drain;
pub mod entry;
pub mod experiment;
pub mod explain;
pub mod gateway;
pub mod order;
pub mod route;
pub mod sheet;
pub mod sidecar;
pub mod standalone;
pub mod state;

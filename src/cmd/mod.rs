//! Commands, one module each.

pub mod check;
pub mod config;
pub mod sheet;

//! Commands, one module each.

pub mod check;
pub mod config;
pub mod drain;
pub mod sheet;
pub mod standalone;
pub mod state;

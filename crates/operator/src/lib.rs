//! Listener and file checks for operators.

pub mod check;
pub mod explain;
pub mod listener;

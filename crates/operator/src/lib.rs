//! Listener and file checks for operators.

pub mod check;
pub mod listener;

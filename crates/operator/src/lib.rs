//! Tools for operators: the HTTP listener of a process, checks of files, and explanations of requests from logs.

pub mod check;
pub mod explain;
pub mod listener;

//! Explains the outcome of a request from logs, and lists failed requests by cause.
//!
//! The logs of any number of processes are read once, line by line, and memory does not grow with their size. For one
//! request, only its own lines and the latest state changes that each process logged are kept; for the list of causes,
//! counts and a few examples of each.

mod failures;
mod history;
mod record;

pub use failures::{Failures, Filter};
pub use history::{Explanation, RequestHistory};
pub use record::{Record, parse};

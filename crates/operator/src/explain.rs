//! Explains from logs what became of a request, and lists failed requests by cause.
//!
//! The logs of any number of processes are read once, line by line, so memory does not grow with their size: for one
//! request, only its own lines and the latest changes of belief of each process are kept; for the list, counts and a few
//! examples of each cause.

mod failures;
mod record;
mod story;

pub use failures::{Failures, Filter};
pub use record::{Record, parse};
pub use story::{Explanation, Story};

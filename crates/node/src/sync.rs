//! Boolean flag shared between threads.

use std::sync::atomic::{AtomicBool, Ordering};

/// Boolean that starts as false and can be set once.
#[derive(Debug, Default)]
pub struct Flag(AtomicBool);

impl Flag {
    /// Sets the flag. Returns whether it was set before.
    pub fn raise(&self) -> bool {
        self.0.swap(true, Ordering::AcqRel)
    }

    #[must_use]
    pub fn is_raised(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

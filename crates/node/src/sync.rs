//! Flags that are raised once.

use std::sync::atomic::{AtomicBool, Ordering};

/// Flag that is raised once.
#[derive(Debug, Default)]
pub struct Flag(AtomicBool);

impl Flag {
    /// Raises the flag; returns whether it was raised before.
    pub fn raise(&self) -> bool {
        self.0.swap(true, Ordering::AcqRel)
    }

    /// Returns whether the flag is raised.
    #[must_use]
    pub fn is_raised(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

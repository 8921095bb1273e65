//! Locks that go on after a panic of another holder, and flags.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex. A poisoned one is used all the same: every holder leaves its data consistent between statements.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

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

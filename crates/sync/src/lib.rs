//! Locking functions that ignore poisoning.
//!
//! A panic in one request must not fail all others, so a lock that a panicking thread held stays usable. Code that holds
//! a lock must therefore keep the protected data consistent between statements.

use std::sync::{Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

/// Locks a mutex even if it is poisoned.
///
/// # Examples
///
/// ```
/// let shared = std::sync::Mutex::new(3);
/// *tanagerford_sync::lock(&shared) += 1;
/// assert_eq!(*tanagerford_sync::lock(&shared), 4);
/// ```
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Acquires a read lock even if the lock is poisoned.
///
/// # Examples
///
/// ```
/// let shared = std::sync::RwLock::new(3);
/// assert_eq!(*tanagerford_sync::read_lock(&shared), 3);
/// ```
pub fn read_lock<T>(lock: &RwLock<T>) -> RwLockReadGuard<'_, T> {
    lock.read().unwrap_or_else(PoisonError::into_inner)
}

/// Acquires a write lock even if the lock is poisoned.
///
/// # Examples
///
/// ```
/// let shared = std::sync::RwLock::new(3);
/// *tanagerford_sync::write_lock(&shared) = 4;
/// assert_eq!(*tanagerford_sync::read_lock(&shared), 4);
/// ```
pub fn write_lock<T>(lock: &RwLock<T>) -> RwLockWriteGuard<'_, T> {
    lock.write().unwrap_or_else(PoisonError::into_inner)
}

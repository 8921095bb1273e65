//! Locks that stay usable after a panic of another holder.
//!
//! Every holder leaves its data consistent between statements, so a poisoned lock is used all the same: one request that
//! panics must not end all others.

use std::sync::{Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

/// Locks a mutex.
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

/// Locks for reading.
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

/// Locks for writing.
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

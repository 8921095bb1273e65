//! Locking functions that ignore poisoning, and threads that survive a panic.
//!
//! A panic in one request must not fail all others, so a lock that a panicking thread held stays usable. Code that holds
//! a lock must therefore keep the protected data consistent between statements.

use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::{Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};
use std::thread;
use std::time::Duration;

/// Delay before a thread runs again after a panic, so that a panic which repeats does not use up the processor.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Starts a thread that runs `run`, again and again as long as it panics. Without it, a process whose thread ended with a
/// panic would go on with what that thread last knew.
///
/// # Errors
///
/// Fails if the thread cannot be started.
///
/// # Examples
///
/// ```
/// let (sender, received) = std::sync::mpsc::channel();
/// let mut tries = 0;
/// tanagerford_sync::spawn_restarting("example", move || {
///     tries += 1;
///     assert!(tries > 1, "the first run panics");
///     sender.send(tries).unwrap();
/// })
/// .unwrap();
/// assert_eq!(received.recv(), Ok(2));
/// ```
pub fn spawn_restarting(name: &str, mut run: impl FnMut() + Send + 'static) -> io::Result<()> {
    let builder = thread::Builder::new().name(name.to_owned());
    let name = name.to_owned();
    builder.spawn(move || {
        while catch_unwind(AssertUnwindSafe(&mut run)).is_err() {
            tracing::error!(thread = name, "thread panicked; running it again");
            thread::sleep(RESTART_DELAY);
        }
    })?;
    Ok(())
}

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

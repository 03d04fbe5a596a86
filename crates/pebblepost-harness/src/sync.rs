//! Locking that ignores poisoning.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex and ignores poisoning. Use it only for data that is valid after every single operation, so that a panic while
/// the lock is held leaves nothing inconsistent.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

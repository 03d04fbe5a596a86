//! Locks.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex whose data is valid at every step, so that a holder that panicked does no harm.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

//! Flag that the runner is shutting down.
//!
//! [`crate::execution`] implements the shutdown itself.

use std::cell::Cell;

/// Set once, when the shutdown begins.
#[derive(Debug, Default)]
pub(crate) struct ShutdownFlag {
    is_set: Cell<bool>,
}

impl ShutdownFlag {
    /// Begins the shutdown: no new work is taken from now on.
    pub(crate) fn set(&self) {
        self.is_set.set(true);
    }

    /// Returns whether the shutdown has begun.
    pub(crate) fn is_set(&self) -> bool {
        self.is_set.get()
    }
}

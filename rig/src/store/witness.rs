//! What was asked of the group and what it answered, with when. Nobody here knows what a keeper thinks.

use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// An operation on one worker's drain mark.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Op {
    /// Sets it with this tag; one that is there keeps its own.
    Drain(String),
    /// Takes it away.
    Undrain,
    /// Reads its tag.
    Read,
}

/// An operation as it was seen.
#[derive(Clone, Debug)]
pub struct Seen {
    /// On which worker.
    pub worker: String,
    /// What was asked.
    pub op: Op,
    /// When it was asked, in seconds from the start.
    pub asked: f64,
    /// When it was answered, and with what a read found. `None`: it is not known whether it was done.
    pub answered: Option<(f64, Option<String>)>,
}

/// The list of them.
pub struct Witness {
    start: Instant,
    seen: Mutex<Vec<Seen>>,
}

impl Default for Witness {
    fn default() -> Self {
        Self { start: Instant::now(), seen: Mutex::default() }
    }
}

impl Witness {
    /// Seconds from the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Notes one that has ended, or was given up.
    pub fn note(&self, seen: Seen) {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner).push(seen);
    }

    /// All of them.
    pub fn take(&self) -> Vec<Seen> {
        std::mem::take(&mut *self.seen.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

//! Counts of what the proxy does, for a metrics page.

use std::cell::Cell;

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Connections of clients accepted.
    pub connections: u64,
    /// Requests read.
    pub requests: u64,
    /// Answers of transcribers passed on, failures included.
    pub answered: u64,
    /// Requests refused with a promise that they have not run.
    pub refused: u64,
    /// Requests that ended in a 502 or 504 of this proxy.
    pub failed: u64,
    /// Requests rejected as improper: 400, 404, 413, 431.
    pub rejected: u64,
    /// Streams taken up at another transcriber.
    pub resumed: u64,
    /// Streams cut before their end.
    pub cut: u64,
}

/// Counters of one thread.
#[derive(Debug, Default)]
pub(crate) struct Counters(Cell<Counts>);

impl Counters {
    /// Changes one of the counts.
    pub(crate) fn count(&self, change: impl FnOnce(&mut Counts)) {
        let mut counts = self.0.get();
        change(&mut counts);
        self.0.set(counts);
    }

    /// The counts so far.
    pub(crate) fn get(&self) -> Counts {
        self.0.get()
    }
}

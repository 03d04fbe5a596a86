//! Outages of dispatchers, as seen from outside.

/// How an outage began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageCause {
    /// It ended by itself without an error, as a program does that has a permit.
    Voluntary,
    /// By an injected fault.
    Injected,
    /// It ran, and was not ready.
    NotReady,
    /// It ended by itself with an error.
    Crash,
}

/// One dispatcher was certainly out: from its first answer that was not that of a ready one to the last poll that did not find
/// it ready. When it became ready between that poll and the next is not seen; the next dispatcher may go by then.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outage {
    /// Which.
    pub dispatcher: usize,
    /// From when, in seconds of the log.
    pub from: f64,
    /// Until when.
    pub to: f64,
    /// How it began.
    pub cause: OutageCause,
}

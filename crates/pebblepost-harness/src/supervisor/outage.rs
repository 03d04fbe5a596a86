//! Outages of dispatchers, as observed from outside.

/// The cause of an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageCause {
    /// The dispatcher exited on its own without an error, as it does when it has a permit to restart.
    Voluntary,
    /// A fault was injected.
    Injected,
    /// The dispatcher was running but not ready.
    NotReady,
    /// The dispatcher exited on its own with an error.
    Crash,
}

/// A period in which one dispatcher was certainly not ready.
///
/// It extends from the first poll that did not find the dispatcher ready to the last. The dispatcher becomes ready at an unknown
/// time between that last poll and the next, and from then on another dispatcher may be taken out, so this interval is not part
/// of the outage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outage {
    /// Index of the dispatcher.
    pub dispatcher: usize,
    /// Start of the outage, in seconds since the start of the log.
    pub from: f64,
    /// End of the outage, in seconds since the start of the log.
    pub to: f64,
    /// The cause of the outage.
    pub cause: OutageCause,
}

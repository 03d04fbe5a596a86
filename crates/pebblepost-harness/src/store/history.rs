//! What clients asked of the cluster and what it answered, with the times. Nothing here knows the state of a replica.

use crate::event_log::EventLog;

/// An operation on one worker's drain mark.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OperationKind {
    /// Sets it with this tag; one that is there keeps its own.
    Drain(String),
    /// Takes it away.
    Undrain,
    /// Reads its tag.
    Read,
}

/// An operation as it was seen.
#[derive(Clone, Debug)]
pub struct Operation {
    /// On which worker.
    pub worker: String,
    /// What was asked.
    pub kind: OperationKind,
    /// When it was asked, in seconds from the start.
    pub asked: f64,
    /// When it was answered, and with what a read found. `None`: it is not known whether it was done.
    pub answered: Option<(f64, Option<String>)>,
}

/// The list of them; each is noted when it has ended or was given up.
pub type OperationHistory = EventLog<Operation>;

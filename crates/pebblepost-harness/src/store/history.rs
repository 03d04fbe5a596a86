//! What clients asked of the cluster and what it answered, with the times. Nothing here knows the state of a replica.

use crate::event_log::EventLog;

/// An operation on one worker's drain.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OperationKind {
    /// Begins it with this tag; one that has begun keeps its own.
    Drain(String),
    /// Ends it.
    Undrain,
    /// Reads its tag.
    Read,
}

/// An operation as a client saw it.
#[derive(Clone, Debug)]
pub struct Operation {
    /// On which worker.
    pub worker: String,
    /// What was requested.
    pub kind: OperationKind,
    /// When it was requested, in seconds from the start.
    pub requested_at: f64,
    /// When it was answered, and with what a read found. `None`: it is not known whether it was done.
    pub answer: Option<(f64, Option<String>)>,
}

/// The operations, each appended when it has ended or was given up.
pub type OperationHistory = EventLog<Operation>;

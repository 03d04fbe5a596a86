//! What clients requested from the cluster and what it answered, with the times. The history holds no information
//! from inside a replica.

use crate::event_log::EventLog;

/// An operation on one worker's drain.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OperationKind {
    /// Starts a drain with this tag. A drain that has already started keeps its tag.
    Drain(String),
    /// Ends the drain.
    Undrain,
    /// Reads the tag of the drain.
    Read,
}

/// An operation as its client observed it.
#[derive(Clone, Debug)]
pub struct Operation {
    /// Worker that the operation refers to.
    pub worker: String,
    /// What was requested.
    pub kind: OperationKind,
    /// When the operation was requested, in seconds from the start.
    pub requested_at: f64,
    /// When the answer arrived, in seconds from the start, and the tag that a read returned. `None` if the outcome is
    /// unknown.
    pub answer: Option<(f64, Option<String>)>,
}

/// The operations of all clients. Each is appended when it has ended or was given up.
pub type OperationHistory = EventLog<Operation>;

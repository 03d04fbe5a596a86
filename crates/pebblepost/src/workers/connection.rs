//! The state of one connection to a worker.

use crate::buffer::Buffer;
use crate::engine::AttemptId;
use crate::http::{Body, Head};
use pebblepost_dispatch::api::{Time, WorkerId};

/// The current use of a connection to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Task {
    /// Carries an attempt.
    Attempt(AttemptId),
    /// Carries a load probe, which was sent at this time.
    Probe(Time),
    /// Receives the rest of a response whose outcome has been reported already.
    ResponseEnd,
    /// Is in the pool of idle connections.
    Idle,
}

/// A connection to a worker, which carries one request at a time.
#[derive(Debug)]
pub struct WorkerConnection {
    pub(super) worker: WorkerId,
    pub(super) task: Task,
    /// Whether the connection was opened for an attempt whose request has not been sent on it yet.
    pub(super) request_unsent: bool,
    /// Id of the attempt's request. A response line with another id makes the response malformed.
    pub(super) request_id: String,
    pub(super) response: Option<(Head, Body)>,
    /// The decoded part of the response's body that has not been processed yet.
    pub(super) decoded_body: Buffer,
    /// Whether the response is malformed after the bytes in `decoded_body`. Those are still processed.
    pub(super) malformed: bool,
}

impl WorkerConnection {
    pub(super) fn new(worker: WorkerId, task: Task) -> Self {
        Self {
            worker,
            task,
            request_unsent: matches!(task, Task::Attempt(_)),
            request_id: String::new(),
            response: None,
            decoded_body: Buffer::default(),
            malformed: false,
        }
    }
}

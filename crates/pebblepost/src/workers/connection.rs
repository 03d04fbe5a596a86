//! State of one connection to a worker.

use crate::buffer::Buffer;
use crate::engine::AttemptId;
use crate::http::{Body, Head};
use pebblepost_dispatch::api::{Time, WorkerId};

/// What a connection to a worker is in use for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Task {
    /// An attempt.
    Attempt(AttemptId),
    /// A load probe, sent at that time.
    Probe(Time),
    /// The rest of a response whose result is known already.
    ResponseEnd,
    /// Nothing.
    Idle,
}

/// A connection to a worker, which carries one request at a time.
#[derive(Debug)]
pub struct WorkerConnection {
    pub(super) worker: WorkerId,
    pub(super) task: Task,
    /// It was opened for an attempt whose request was not sent on it yet.
    pub(super) unsent: bool,
    /// Id of the attempt's request; lines of the response that name another one are errors.
    pub(super) request_id: String,
    pub(super) response: Option<(Head, Body)>,
    /// Decoded body that was not processed yet.
    pub(super) lines: Buffer,
    /// The response became malformed after what is in `lines`, which still counts.
    pub(super) malformed: bool,
}

impl WorkerConnection {
    pub(super) fn new(worker: WorkerId, task: Task) -> Self {
        Self {
            worker,
            task,
            unsent: matches!(task, Task::Attempt(_)),
            request_id: String::new(),
            response: None,
            lines: Buffer::default(),
            malformed: false,
        }
    }
}

//! Per-connection state of Faktory producers and workers.

/// What a connection waits for. Commands received meanwhile stay buffered.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) enum Waiting {
    #[default]
    Nothing,
    /// The response to a push.
    Response,
    /// A job from one of these queues, by index.
    Job(Vec<usize>),
}

/// State of a connection of a producer or worker.
#[derive(Debug, Default)]
pub struct Session {
    /// Whether a `HELLO` was accepted.
    pub(super) is_greeted: bool,
    /// Salt of the password hash; empty if no password is configured.
    pub(super) salt: String,
    /// Id of the worker process, from the `wid` in its `HELLO`; `None` for producers.
    pub(super) wid: Option<String>,
    pub(super) waiting: Waiting,
}

impl Session {
    /// Returns whether the connection waits for a job of this queue.
    pub(super) fn fetches_from(&self, queue: usize) -> bool {
        matches!(&self.waiting, Waiting::Job(queues) if queues.contains(&queue))
    }
}

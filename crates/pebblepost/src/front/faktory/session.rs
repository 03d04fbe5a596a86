//! State of a connection of a Faktory producer or worker.

/// What a connection waits for; its further commands wait as well.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) enum Waiting {
    #[default]
    Nothing,
    /// The response to its push.
    Response,
    /// A job from one of these queues, by index.
    Job(Vec<usize>),
}

/// A connection of a producer or worker.
#[derive(Debug, Default)]
pub struct Session {
    /// Whether its `HELLO` was accepted.
    pub(super) greeted: bool,
    /// Salt of the password's hash; empty without a password.
    pub(super) salt: String,
    /// Id of its worker process, the `wid` of its `HELLO`; `None` for producers.
    pub(super) wid: Option<String>,
    pub(super) waiting: Waiting,
}

impl Session {
    /// Whether it waits for a job of this queue.
    pub(super) fn fetches_from(&self, queue: usize) -> bool {
        matches!(&self.waiting, Waiting::Job(queues) if queues.contains(&queue))
    }
}

//! Removes from the log the missing answers that exits of dispatchers account for, so that they do not count as violations.

use crate::event_log::{Entry, Event};
use std::collections::HashMap;

/// The exit of a dispatcher, by a kill or on its own, and its restart.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatcherExit {
    /// Index of the dispatcher.
    pub dispatcher: usize,
    /// Time of the exit, in seconds since the start of the log.
    pub ended_at_s: f64,
    /// Time at which it accepted clients again, in seconds since the start of the log.
    pub serving_again_at_s: f64,
    /// Whether it lost the requests that it had accepted. A dispatcher that shuts down on its own has to answer these, and is
    /// excused only for connections that it could not accept.
    pub abrupt: bool,
}

/// A client's attempt: its dispatcher and the period in which the client waits for the answer.
struct PendingAttempt {
    dispatcher: usize,
    sent_at: f64,
    gives_up_at: f64,
}

impl DispatcherExit {
    /// Returns whether this exit accounts for an attempt that ended without an answer.
    ///
    /// It does if the attempt was sent before the dispatcher accepted clients again, and the client was still waiting when the
    /// dispatcher exited. If the exit was not abrupt, the attempt must also have been sent after the exit.
    fn excuses(&self, attempt: &PendingAttempt, ended_at: f64) -> bool {
        let overlaps = attempt.sent_at <= self.serving_again_at_s
            && attempt.gives_up_at.min(ended_at) >= self.ended_at_s;
        self.dispatcher == attempt.dispatcher
            && overlaps
            && (self.abrupt || attempt.sent_at >= self.ended_at_s)
    }
}

/// Returns the log without the closed connections and time-outs of attempts that one of `exits` accounts for.
pub fn remove_excused_events(log: Vec<Entry>, exits: &[DispatcherExit]) -> Vec<Entry> {
    let mut pending: HashMap<String, PendingAttempt> = HashMap::new();
    for (at, event) in &log {
        if let Event::Requested { txn, dispatcher, timeout_s, .. } = event {
            let attempt =
                PendingAttempt { dispatcher: *dispatcher, sent_at: *at, gives_up_at: at + timeout_s };
            pending.insert(txn.clone(), attempt);
        }
    }
    let is_excused = |ended_at: f64, txn: &String| {
        pending.get(txn).is_some_and(|attempt| exits.iter().any(|exit| exit.excuses(attempt, ended_at)))
    };
    let is_kept = |(at, event): &Entry| match event {
        Event::ConnectionClosed { txn } | Event::TimedOut { txn } => !is_excused(*at, txn),
        _ => true,
    };
    log.into_iter().filter(is_kept).collect()
}

//! What dispatchers that ended are excused from: the answers that they owed when they were killed.

use crate::event_log::{Entry, Event};
use std::collections::HashMap;

/// A dispatcher was killed, or ended by itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatcherExit {
    /// Which.
    pub dispatcher: usize,
    /// When, in seconds of the log.
    pub from: f64,
    /// When it took clients again.
    pub back: f64,
    /// It lost the requests that it had accepted. One that ended by itself has to answer these, and is only excused from
    /// connections that it could not accept.
    pub abrupt: bool,
}

/// A client's attempt, as far as an exit concerns it.
struct Pending {
    dispatcher: usize,
    sent_at: f64,
    gives_up_at: f64,
}

impl DispatcherExit {
    /// Whether this exit accounts for an attempt that ended without an answer: sent before the dispatcher was back, still
    /// waited for when it ended, and over after that.
    fn excuses(&self, attempt: &Pending, ended_at: f64) -> bool {
        let meets = attempt.sent_at <= self.back && attempt.gives_up_at.min(ended_at) >= self.from;
        self.dispatcher == attempt.dispatcher && meets && (self.abrupt || attempt.sent_at >= self.from)
    }
}

/// The log without the unanswered ends of those attempts that an exit accounts for.
pub fn without_excused(log: Vec<Entry>, exits: &[DispatcherExit]) -> Vec<Entry> {
    let mut pending: HashMap<String, Pending> = HashMap::new();
    for (at, event) in &log {
        if let Event::Requested { txn, dispatcher, waits, .. } = event {
            let attempt = Pending { dispatcher: *dispatcher, sent_at: *at, gives_up_at: at + waits };
            pending.insert(txn.clone(), attempt);
        }
    }
    let is_excused = |ended_at: f64, txn: &String| {
        pending.get(txn).is_some_and(|attempt| exits.iter().any(|exit| exit.excuses(attempt, ended_at)))
    };
    let stays = |(at, event): &Entry| match event {
        Event::ConnectionClosed { txn } | Event::TimedOut { txn } => !is_excused(*at, txn),
        _ => true,
    };
    log.into_iter().filter(stays).collect()
}

//! What discovery published and sent of each worker, and how soon dispatchers act on it.

use super::limits::Limits;
use crate::event_log::{Availability, Entry, Event};
use std::collections::HashMap;

/// A worker takes nothing new in this state.
fn is_closed(availability: Availability) -> bool {
    matches!(availability, Availability::Draining | Availability::Gone)
}

/// An availability, and when it was seen, in seconds of the log.
type Update = (f64, Availability);

/// The last update of each worker, by the dispatcher that it was sent to; `None`: the one that discovery published.
#[derive(Default)]
pub(super) struct LastUpdates(HashMap<(Option<usize>, usize), Update>);

impl LastUpdates {
    /// Takes in an event, if it is an update. The grace of a drain counts from the first update that closes a worker.
    pub(super) fn observe(&mut self, at: f64, event: &Event) {
        let (key, availability) = match event {
            Event::Notified { dispatcher, worker, availability } => {
                ((Some(*dispatcher), *worker), *availability)
            }
            Event::Published { worker, availability } => ((None, *worker), *availability),
            _ => return,
        };
        let last = self.0.entry(key).or_insert((at, availability));
        if !(is_closed(last.1) && is_closed(availability)) {
            *last = (at, availability);
        }
    }

    /// The last update of a worker that was sent to this dispatcher.
    pub(super) fn sent_to(&self, dispatcher: usize, worker: usize) -> Option<Update> {
        self.0.get(&(Some(dispatcher), worker)).copied()
    }

    /// Since when a dispatcher must know that a worker takes nothing new: since it was notified or, if no update reached
    /// it, [`Limits::assumed_notified_after_s`] after discovery published it.
    pub(super) fn closed_since(&self, limits: &Limits, dispatcher: usize, worker: usize) -> Option<Update> {
        let sent = self.sent_to(dispatcher, worker);
        if let Some(update) = sent.filter(|(_, availability)| is_closed(*availability)) {
            return Some(update);
        }
        let published = self.0.get(&(None, worker)).copied();
        let (at, availability) = published.filter(|(_, availability)| is_closed(*availability))?;
        Some((sent.map_or(at, |(ready, _)| at.max(ready)) + limits.assumed_notified_after_s, availability))
    }
}

/// Longest time, in seconds, from when a dispatcher must have known that a worker drains or is gone to an attempt that it
/// sent there; 0 if it sent none.
pub fn slowest_drain(log: &[Entry], limits: &Limits) -> f64 {
    let (mut updates, mut slowest) = (LastUpdates::default(), 0.0_f64);
    for (at, event) in log {
        updates.observe(*at, event);
        if let Event::AttemptArrived { dispatcher, worker, .. } = event
            && let Some((since, _)) = updates.closed_since(limits, *dispatcher, *worker)
        {
            slowest = slowest.max(at - since);
        }
    }
    slowest
}

//! Tracks the availability of workers that discovery published and sent, and measures how long dispatchers take to act on it.

use super::limits::Limits;
use crate::event_log::{Availability, Entry, Event};
use std::collections::HashMap;

/// Returns whether a worker in this state accepts no new jobs.
fn is_closed(availability: Availability) -> bool {
    matches!(availability, Availability::Draining | Availability::Gone)
}

/// An availability and the time of its update, in seconds since the start of the log.
type Update = (f64, Availability);

/// The last update by dispatcher and worker. The dispatcher `None` stands for the availability that discovery published, whether
/// or not it was sent to any dispatcher.
#[derive(Default)]
pub(super) struct LastUpdates(HashMap<(Option<usize>, usize), Update>);

impl LastUpdates {
    /// Records an event that updates a worker's availability and ignores all others.
    ///
    /// An update from one closed state to another keeps the time of the first: the grace period of a drain begins with the update
    /// that closes the worker.
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

    /// Returns the last update of a worker that was sent to this dispatcher.
    pub(super) fn sent_to(&self, dispatcher: usize, worker: usize) -> Option<Update> {
        self.0.get(&(Some(dispatcher), worker)).copied()
    }

    /// Returns the time from which a dispatcher is expected to know that a worker accepts no new jobs, and the worker's
    /// availability.
    ///
    /// That is the time of its notification or, if no update reached it, [`Limits::assumed_notified_after_s`] after discovery
    /// published the change. Returns `None` if the worker accepts jobs.
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

/// Returns the longest time, in seconds, between the moment at which a dispatcher is expected to know that a worker is draining
/// or gone and an attempt that it sent there. Returns 0 if there was no such attempt.
pub fn longest_drain_delay_s(log: &[Entry], limits: &Limits) -> f64 {
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

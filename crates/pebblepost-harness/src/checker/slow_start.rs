//! The load on workers that have restarted recently, as a multiple of their capacity.

use super::limits::Limits;
use crate::event_log::{Availability, Entry, Event};
use crate::worker::model::{ColdLoad, SentWork};
use std::collections::HashMap;

/// The times at which each dispatcher was notified of the starts of each worker.
#[derive(Default)]
struct StartNotices(HashMap<(usize, usize), Vec<f64>>);

impl StartNotices {
    fn observe(&mut self, at: f64, dispatcher: usize, worker: usize) {
        self.0.entry((dispatcher, worker)).or_default().push(at);
    }

    /// Returns whether a dispatcher, when it sent this work, had been notified of the start that precedes `load`, or counts as
    /// notified because [`Limits::assumed_notified_after_s`] had passed.
    fn was_notified(&self, limits: &Limits, load: &ColdLoad, worker: usize, sent: &SentWork) -> bool {
        let mut notices = self.0.get(&(sent.dispatcher, worker)).into_iter().flatten();
        sent.at > load.since + limits.assumed_notified_after_s
            || notices.any(|notice| (load.since..=sent.at).contains(notice))
    }
}

/// Returns the highest load on a cold worker: the work that it was sent within
/// [`OVERLOAD_WINDOW_S`](crate::worker::model::OVERLOAD_WINDOW_S), as a multiple of its capacity in that window.
///
/// The first value counts only work of dispatchers that had been notified of the worker's start when they sent it, and are
/// therefore responsible. The second counts the work of all dispatchers.
pub fn cold_load_multiples(log: &[Entry], limits: &Limits) -> (f64, f64) {
    let mut notices = StartNotices::default();
    let (mut by_notified, mut by_all) = (0.0_f64, 0.0_f64);
    for (at, event) in log {
        match event {
            Event::Notified { dispatcher, worker, availability: Availability::Ready { cold: true } } => {
                notices.observe(*at, *dispatcher, *worker);
            }
            Event::ColdLoadPeak { worker, load } => {
                let multiple = |counts: &dyn Fn(&SentWork) -> bool| {
                    let sent = load.sent.iter().filter(|sent| counts(sent));
                    sent.map(|sent| sent.work).sum::<f64>() / load.capacity_in_window
                };
                let was_notified = |sent: &SentWork| notices.was_notified(limits, load, *worker, sent);
                by_notified = by_notified.max(multiple(&was_notified));
                by_all = by_all.max(multiple(&|_| true));
            }
            _ => {}
        }
    }
    (by_notified, by_all)
}

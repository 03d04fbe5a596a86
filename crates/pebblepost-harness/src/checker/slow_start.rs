//! Load on workers that have started lately, as a multiple of what they can take.

use super::limits::Limits;
use crate::event_log::{Availability, Entry, Event};
use crate::worker::model::{ColdLoad, SentWork};
use std::collections::HashMap;

/// When each dispatcher was notified of each start of a worker.
#[derive(Default)]
struct StartNotices(HashMap<(usize, usize), Vec<f64>>);

impl StartNotices {
    fn observe(&mut self, at: f64, dispatcher: usize, worker: usize) {
        self.0.entry((dispatcher, worker)).or_default().push(at);
    }

    /// Whether a dispatcher knew, when it sent this work, of the start that the load came after.
    fn knew(&self, limits: &Limits, load: &ColdLoad, worker: usize, sent: &SentWork) -> bool {
        let mut notices = self.0.get(&(sent.dispatcher, worker)).into_iter().flatten();
        sent.at > load.since + limits.assumed_notified_after_s
            || notices.any(|notice| (load.since..=sent.at).contains(notice))
    }
}

/// Most work that a cold worker was sent within the window in which it overloads, as a multiple of what it could do: by the
/// dispatchers that knew of its start when they sent it, which are responsible, and by all.
pub fn cold_multiples(log: &[Entry], limits: &Limits) -> (f64, f64) {
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
                let knew = |sent: &SentWork| notices.knew(limits, load, *worker, sent);
                by_notified = by_notified.max(multiple(&knew));
                by_all = by_all.max(multiple(&|_| true));
            }
            _ => {}
        }
    }
    (by_notified, by_all)
}

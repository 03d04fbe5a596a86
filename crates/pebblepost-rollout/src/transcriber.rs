//! State of one transcriber: what it announced, what it has loaded, and the order that is pending.

use crate::backoff::{Backoff, BackoffBounds};
use crate::message::{LoadOrder, OrderOutcome, TranscriberReport};
use crate::pending_order::PendingOrder;
use pebblepost_messages::feed::{Instance, InstanceState};
use std::collections::BTreeMap;
use std::time::Duration;

/// Backoff after an order was rejected.
const REJECTED_BACKOFF: BackoffBounds =
    BackoffBounds { first: Duration::from_millis(300), max: Duration::from_secs(3) };
/// Backoff after a higher fencing token was seen.
const FENCED_BACKOFF: BackoffBounds =
    BackoffBounds { first: Duration::from_secs(1), max: Duration::from_secs(5) };

/// A transcriber whose incarnation has not ended.
#[derive(Clone, Debug, Default)]
pub(crate) struct Transcriber {
    /// Service that it belongs to.
    pub(crate) backend: String,
    pub(crate) address: String,
    pub(crate) zone: String,
    /// Whether it accepts orders.
    pub(crate) is_ready: bool,
    /// Sequence number of its newest announcement.
    sequence: u64,
    /// Versions that it has surely loaded, by model; they never go back within one incarnation.
    pub(crate) loaded: BTreeMap<String, u64>,
    /// Running requests by its newest report.
    pub(crate) running_requests: u32,
    /// From when on it counts towards the limit on concurrent loads.
    pub(crate) counted_from: Duration,
    pub(crate) pending_order: Option<PendingOrder>,
    /// Time before which it gets no order.
    pub(crate) not_before: Duration,
    backoff: Backoff,
}

impl Transcriber {
    /// A transcriber that counts towards the limit on concurrent loads from `counted_from` on.
    pub(crate) fn new(counted_from: Duration) -> Transcriber {
        Transcriber { counted_from, ..Transcriber::default() }
    }

    /// Takes over an announcement; of one older than the newest, its loaded versions only.
    pub(crate) fn announced(&mut self, instance: &Instance) {
        for loaded in &instance.models {
            self.set_loaded(&loaded.model, loaded.generation);
        }
        if instance.sequence < self.sequence {
            return;
        }
        self.sequence = instance.sequence;
        self.backend.clone_from(&instance.backend);
        self.address.clone_from(&instance.address);
        self.zone.clone_from(&instance.zone);
        self.is_ready = instance.state == InstanceState::Ready;
    }

    /// Whether it may get an order now.
    pub(crate) fn accepts_order(&self, now: Duration) -> bool {
        self.is_ready && self.pending_order.is_none() && now >= self.not_before
    }

    /// Takes in the answer to an order, unless the order is not pending any more; whether it says that the
    /// version is loaded.
    pub(crate) fn order_answered(&mut self, now: Duration, order: &LoadOrder, answer: OrderOutcome) -> bool {
        let Some(pending) = self.pending_order.as_mut().filter(|pending| pending.is(order)) else {
            return false;
        };
        match answer {
            OrderOutcome::Unknown => pending.unanswered(now),
            OrderOutcome::Accepted => {
                pending.accepted(now);
                self.backoff.reset();
            }
            OrderOutcome::AlreadyLoaded => {
                self.pending_order = None;
                self.set_loaded(&order.model, order.generation);
                self.backoff.reset();
                return true;
            }
            OrderOutcome::Conflict => pending.conflicting(now),
            OrderOutcome::Fenced => pending.fenced(now, self.backoff.next_delay(FENCED_BACKOFF)),
            OrderOutcome::Rejected => {
                self.pending_order = None;
                self.not_before = now + self.backoff.next_delay(REJECTED_BACKOFF);
            }
        }
        false
    }

    /// Takes in a report, `None` if it could not be fetched, while an order is pending; the versions that
    /// were not known to be loaded.
    pub(crate) fn reported(
        &mut self, now: Duration, report: Option<TranscriberReport>,
    ) -> Vec<(String, u64)> {
        let Some(pending) = &mut self.pending_order else { return Vec::new() };
        let polled_at = pending.end_poll();
        let Some(report) = report else {
            pending.poll_failed(now);
            return Vec::new();
        };
        pending.report_received(now);
        self.running_requests = report.running;
        if report.is_loading {
            return Vec::new();
        }
        let is_new = |(model, generation): &(String, u64)| self.set_loaded(model, *generation);
        let newly_loaded = report.models.into_iter().filter(is_new).collect();
        self.resolve_order(polled_at);
        newly_loaded
    }

    /// Ends the pending order if a report that was requested at `polled_at` shows its outcome.
    fn resolve_order(&mut self, polled_at: Duration) {
        let loaded = &self.loaded;
        self.pending_order.take_if(|pending| {
            let loaded = loaded.get(&pending.model).copied().unwrap_or(0);
            pending.is_resolved(loaded, polled_at)
        });
    }

    /// Raises the loaded version of a model; whether it was older.
    fn set_loaded(&mut self, model: &str, generation: u64) -> bool {
        match self.loaded.get_mut(model) {
            Some(loaded) if *loaded >= generation => false,
            Some(loaded) => {
                *loaded = generation;
                true
            }
            None => {
                self.loaded.insert(model.to_owned(), generation);
                true
            }
        }
    }
}

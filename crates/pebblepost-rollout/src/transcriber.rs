//! State of one transcriber: its newest announcement, its loaded versions, and its pending load order.

use crate::backoff::{Backoff, BackoffBounds};
use crate::message::{LoadOrder, OrderOutcome, TranscriberReport};
use crate::pending_order::PendingOrder;
use pebblepost_messages::feed::{Instance, InstanceState};
use std::collections::BTreeMap;
use std::time::Duration;

/// Backoff before the next order to a transcriber that rejected one.
const REJECTED_BACKOFF: BackoffBounds =
    BackoffBounds { initial: Duration::from_millis(300), max: Duration::from_secs(3) };
/// Backoff before the next poll of a transcriber that has seen a higher fencing token.
const FENCED_BACKOFF: BackoffBounds =
    BackoffBounds { initial: Duration::from_secs(1), max: Duration::from_secs(5) };

/// An instance of a transcriber that has not terminated.
#[derive(Clone, Debug, Default)]
pub(crate) struct Transcriber {
    /// Name of the service to which the transcriber belongs.
    pub(crate) backend: String,
    pub(crate) address: String,
    pub(crate) zone: String,
    /// Whether the transcriber announced the state `ready`. Otherwise it accepts no orders.
    pub(crate) is_ready: bool,
    /// Sequence number of the newest announcement.
    sequence: u64,
    /// Versions that are known to be loaded, by model. They never decrease during the life of an instance.
    pub(crate) loaded: BTreeMap<String, u64>,
    /// Number of running requests, from the newest report or from the caller.
    pub(crate) running_requests: u32,
    /// Time from which the transcriber counts towards the limit on concurrent loads.
    pub(crate) counts_from: Duration,
    pub(crate) pending_order: Option<PendingOrder>,
    /// Time before which no order is sent to the transcriber.
    pub(crate) not_before: Duration,
    backoff: Backoff,
}

impl Transcriber {
    /// Creates a transcriber that counts towards the limit on concurrent loads from `counts_from`.
    pub(crate) fn new(counts_from: Duration) -> Transcriber {
        Transcriber { counts_from, ..Transcriber::default() }
    }

    /// Applies an announcement. If it is older than the newest one, only its loaded versions are applied.
    pub(crate) fn apply_announcement(&mut self, instance: &Instance) {
        for loaded in &instance.models {
            self.raise_loaded(&loaded.model, loaded.generation);
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

    /// Returns whether an order may be sent to the transcriber now.
    pub(crate) fn accepts_order(&self, now: Duration) -> bool {
        self.is_ready && self.pending_order.is_none() && now >= self.not_before
    }

    /// Applies the outcome of an order. An order that is no longer pending is ignored.
    ///
    /// Returns whether the outcome says that the version is loaded.
    pub(crate) fn apply_order_outcome(
        &mut self, now: Duration, order: &LoadOrder, outcome: OrderOutcome,
    ) -> bool {
        let Some(pending) = self.pending_order.as_mut().filter(|pending| pending.matches(order)) else {
            return false;
        };
        match outcome {
            OrderOutcome::Unknown => pending.on_no_answer(now),
            OrderOutcome::Accepted => {
                pending.on_accepted(now);
                self.backoff.reset();
            }
            OrderOutcome::AlreadyLoaded => {
                self.pending_order = None;
                self.raise_loaded(&order.model, order.generation);
                self.backoff.reset();
                return true;
            }
            OrderOutcome::Conflict => pending.on_conflict(now),
            OrderOutcome::Fenced => pending.on_fenced(now, self.backoff.next_delay(FENCED_BACKOFF)),
            OrderOutcome::Rejected => {
                self.pending_order = None;
                self.not_before = now + self.backoff.next_delay(REJECTED_BACKOFF);
            }
        }
        false
    }

    /// Applies a report that was polled while an order is pending; `None` means that the poll failed.
    ///
    /// Returns the versions that were not known to be loaded. Without a pending order the report is ignored. While a
    /// load is in progress the reported versions are ignored.
    pub(crate) fn apply_report(
        &mut self, now: Duration, report: Option<TranscriberReport>,
    ) -> Vec<(String, u64)> {
        let Some(pending) = &mut self.pending_order else { return Vec::new() };
        let polled_at = pending.end_poll();
        let Some(report) = report else {
            pending.on_poll_failed(now);
            return Vec::new();
        };
        pending.on_report(now);
        self.running_requests = report.running;
        if report.is_loading {
            return Vec::new();
        }
        let is_new = |(model, generation): &(String, u64)| self.raise_loaded(model, *generation);
        let newly_loaded = report.models.into_iter().filter(is_new).collect();
        self.resolve_order(polled_at);
        newly_loaded
    }

    /// Removes the pending order if a report that was requested at `polled_at` settles its outcome.
    fn resolve_order(&mut self, polled_at: Duration) {
        let loaded = &self.loaded;
        self.pending_order.take_if(|pending| {
            let loaded = loaded.get(&pending.model).copied().unwrap_or(0);
            pending.is_resolved(loaded, polled_at)
        });
    }

    /// Raises the loaded version of a model. Returns `false` if this or a newer version is loaded already.
    fn raise_loaded(&mut self, model: &str, generation: u64) -> bool {
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

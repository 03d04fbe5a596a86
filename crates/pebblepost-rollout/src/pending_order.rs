//! An order that was sent to a transcriber and is not known to have ended.
//!
//! Its outcome is found out by polling reports: an order without a clear answer is never simply repeated,
//! as it may have been accepted.

use crate::message::LoadOrder;
use std::time::Duration;

/// Time without a response after which a transcriber does not occupy a slot among the concurrent loads.
pub(crate) const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay of the first poll after an order was accepted.
const FIRST_POLL_DELAY: Duration = Duration::from_millis(350);
/// Time between polls while the outcome of an order is open.
const POLL_PERIOD: Duration = Duration::from_millis(150);
/// Time between polls of an unresponsive transcriber.
const UNRESPONSIVE_POLL_PERIOD: Duration = Duration::from_secs(1);
/// A report that was requested earlier than this after an order may show the state before it.
const MAX_REPORT_LAG: Duration = Duration::from_millis(700);
/// An accepted order that reports still do not show after this time is lost.
const LOST_ORDER_TIMEOUT: Duration = Duration::from_secs(3);

/// How far an order has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Sent and not answered.
    Sent,
    /// Accepted.
    Accepted,
    /// Not answered in time: it may have been accepted.
    Uncertain,
    /// Not accepted, as another load is in progress.
    Conflicting,
    /// Not accepted, as the transcriber has seen a higher fencing token.
    Fenced,
}

/// An order and what is known of its outcome.
#[derive(Clone, Debug)]
pub(crate) struct PendingOrder {
    pub(crate) model: String,
    /// The version to load.
    pub(crate) generation: u64,
    stage: Stage,
    sent_at: Duration,
    /// When the transcriber responded last; at first, when the order was sent.
    last_response: Duration,
    next_poll: Duration,
    /// When the report in flight was requested.
    polled_at: Option<Duration>,
    /// When the last poll was requested.
    last_poll: Option<Duration>,
}

impl PendingOrder {
    /// An order that is sent now.
    pub(crate) fn new(now: Duration, model: &str, generation: u64) -> PendingOrder {
        PendingOrder {
            model: model.to_owned(),
            generation,
            stage: Stage::Sent,
            sent_at: now,
            last_response: now,
            next_poll: now + RESPONSE_TIMEOUT,
            polled_at: None,
            last_poll: None,
        }
    }

    /// Whether this is the given order.
    pub(crate) fn is(&self, order: &LoadOrder) -> bool {
        self.model == order.model && self.generation == order.generation
    }

    /// Whether the transcriber occupies a slot among the concurrent loads of its service.
    pub(crate) fn occupies_slot(&self, now: Duration) -> bool {
        self.stage != Stage::Fenced && !self.is_unresponsive(now)
    }

    /// When something has to be done next: a poll, or another look at whether a slot is occupied.
    pub(crate) fn next_wake(&self, now: Duration) -> Duration {
        let poll = match self.polled_at {
            Some(polled_at) => polled_at + RESPONSE_TIMEOUT,
            None => self.next_poll,
        };
        if self.is_unresponsive(now) { poll } else { poll.min(self.last_response + RESPONSE_TIMEOUT) }
    }

    /// No answer came: the outcome is uncertain, unless an answer came before.
    pub(crate) fn unanswered(&mut self, now: Duration) {
        if self.stage == Stage::Sent {
            self.stage = Stage::Uncertain;
            self.next_poll = now + POLL_PERIOD;
        }
    }

    /// The order was accepted.
    pub(crate) fn accepted(&mut self, now: Duration) {
        self.last_response = now;
        self.stage = Stage::Accepted;
        self.next_poll = now + FIRST_POLL_DELAY;
    }

    /// Another load is in progress.
    pub(crate) fn conflicting(&mut self, now: Duration) {
        self.last_response = now;
        self.stage = Stage::Conflicting;
        self.next_poll = now + POLL_PERIOD;
    }

    /// The transcriber has seen a higher fencing token; it is polled after a delay.
    pub(crate) fn fenced(&mut self, now: Duration, delay: Duration) {
        self.last_response = now;
        self.stage = Stage::Fenced;
        self.next_poll = now + delay;
    }

    /// Ends the poll in flight, and returns when it was requested.
    pub(crate) fn end_poll(&mut self) -> Duration {
        self.polled_at.take().unwrap_or(self.sent_at)
    }

    /// A poll failed.
    pub(crate) fn poll_failed(&mut self, now: Duration) {
        self.next_poll = now + self.poll_period(now);
    }

    /// A report arrived.
    pub(crate) fn report_received(&mut self, now: Duration) {
        self.last_response = now;
        self.next_poll = now + POLL_PERIOD;
    }

    /// Starts a poll if one is due, no sooner than `min_period` after the one before.
    pub(crate) fn start_poll(&mut self, now: Duration, min_period: Duration) -> bool {
        if self.stage == Stage::Sent && self.is_unresponsive(now) {
            self.stage = Stage::Uncertain;
        }
        let is_in_flight = self.polled_at.is_some_and(|polled_at| now < polled_at + RESPONSE_TIMEOUT);
        let is_early = self.last_poll.is_some_and(|last_poll| now < last_poll + min_period);
        if self.stage == Stage::Sent || is_in_flight || is_early || now < self.next_poll {
            return false;
        }
        self.polled_at = Some(now);
        self.last_poll = Some(now);
        self.next_poll = now + self.poll_period(now);
        true
    }

    /// Whether a report without a load in progress, requested at `polled_at`, ends the order: the version
    /// is loaded, or the order was surely not accepted or was lost.
    pub(crate) fn is_resolved(&self, loaded: u64, polled_at: Duration) -> bool {
        match self.stage {
            Stage::Sent => false,
            _ if loaded >= self.generation => true,
            Stage::Accepted => polled_at >= self.sent_at + LOST_ORDER_TIMEOUT,
            Stage::Uncertain | Stage::Conflicting => polled_at >= self.sent_at + MAX_REPORT_LAG,
            Stage::Fenced => true,
        }
    }

    fn is_unresponsive(&self, now: Duration) -> bool {
        now >= self.last_response + RESPONSE_TIMEOUT
    }

    fn poll_period(&self, now: Duration) -> Duration {
        if self.is_unresponsive(now) { UNRESPONSIVE_POLL_PERIOD } else { POLL_PERIOD }
    }
}
